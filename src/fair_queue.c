#include "fair_queue.h"

#include <string.h>

/* One workspace's items of one priority.  An empty lane is kept while its
   finish tag is ahead of the virtual time: otherwise a workspace that never
   has two items queued would lose its tag each time and be served too
   often. */
struct FqLane {
    char *owner;
    uint64_t finish; /* tag of the last item served, plus its cost */
    GQueue items;    /* FqNode, oldest first */
};

typedef struct {
    uint64_t virtual_time; /* start tag of the item served last */
    GPtrArray *lanes;      /* FqLane */
    uint32_t count;
} Level;

struct Fq {
    Level levels[FQ_PRIORITIES];
    uint32_t count;
};

static void
free_lane(gpointer p)
{
    FqLane *lane = p;
    g_queue_clear(&lane->items);
    g_free(lane->owner);
    g_free(lane);
}

Fq *
fq_create(void)
{
    Fq *q = g_new0(Fq, 1);
    for (int i = 0; i < FQ_PRIORITIES; i++) {
        q->levels[i].lanes = g_ptr_array_new_with_free_func(free_lane);
    }
    return q;
}

void
fq_destroy(Fq *q)
{
    if (!q) {
        return;
    }
    for (int i = 0; i < FQ_PRIORITIES; i++) {
        g_ptr_array_free(q->levels[i].lanes, TRUE);
    }
    g_free(q);
}

static FqLane *
get_lane(Level *level, const char *owner)
{
    for (guint i = 0; i < level->lanes->len; i++) {
        FqLane *lane = level->lanes->pdata[i];
        if (strcmp(lane->owner, owner) == 0) {
            return lane;
        }
    }
    FqLane *lane = g_new0(FqLane, 1);
    lane->owner = g_strdup(owner);
    g_queue_init(&lane->items);
    g_ptr_array_add(level->lanes, lane);
    return lane;
}

static uint64_t
get_start(const Level *level, const FqLane *lane)
{
    return MAX(level->virtual_time, lane->finish);
}

void
fq_push(Fq *q, FqNode *n)
{
    g_assert(n->priority < FQ_PRIORITIES && !n->lane);
    Level *level = &q->levels[n->priority];
    n->lane = get_lane(level, n->owner);
    g_queue_push_tail(&n->lane->items, n);
    n->link = n->lane->items.tail;
    level->count++;
    q->count++;
}

static FqNode *
peek_level(const Level *level)
{
    FqLane *best = NULL;
    for (guint i = 0; i < level->lanes->len; i++) {
        FqLane *lane = level->lanes->pdata[i];
        if (lane->items.length > 0 &&
            (!best || get_start(level, lane) < get_start(level, best))) {
            best = lane;
        }
    }
    return best ? best->items.head->data : NULL;
}

FqNode *
fq_peek(const Fq *q)
{
    for (int i = FQ_PRIORITIES; i-- > 0;) {
        if (q->levels[i].count > 0) {
            return peek_level(&q->levels[i]);
        }
    }
    return NULL;
}

/* Removes empty lanes whose finish tag no longer matters. */
static void
remove_idle_lanes(Level *level)
{
    for (guint i = level->lanes->len; i-- > 0;) {
        const FqLane *lane = level->lanes->pdata[i];
        if (lane->items.length == 0 && lane->finish <= level->virtual_time) {
            g_ptr_array_remove_index_fast(level->lanes, i);
        }
    }
}

void
fq_remove(Fq *q, FqNode *n, bool served)
{
    Level *level = &q->levels[n->priority];
    FqLane *lane = n->lane;
    g_queue_delete_link(&lane->items, n->link);
    n->lane = NULL;
    n->link = NULL;
    level->count--;
    q->count--;
    if (served) {
        uint64_t start = get_start(level, lane);
        lane->finish = start + MAX(n->cost, 1);
        level->virtual_time = start;
        remove_idle_lanes(level);
    }
}

uint32_t
fq_count(const Fq *q)
{
    return q->count;
}

uint32_t
fq_count_ahead(const Fq *q, uint32_t priority)
{
    uint32_t count = 0;
    for (uint32_t i = priority; i < FQ_PRIORITIES; i++) {
        count += q->levels[i].count;
    }
    return count;
}

uint32_t
fq_get_top_priority(const Fq *q)
{
    for (uint32_t i = FQ_PRIORITIES; i-- > 0;) {
        if (q->levels[i].count > 0) {
            return i;
        }
    }
    return 0;
}

void
fq_visit(Fq *q, void (*visit)(void *ctx, FqNode *n), void *ctx)
{
    for (int i = FQ_PRIORITIES; i-- > 0;) {
        GPtrArray *lanes = q->levels[i].lanes;
        for (guint k = 0; k < lanes->len; k++) {
            GList *at = ((FqLane *)lanes->pdata[k])->items.head;
            while (at) {
                GList *next = at->next;
                visit(ctx, at->data);
                at = next;
            }
        }
    }
}
