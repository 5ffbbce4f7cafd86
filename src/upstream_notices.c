#include "upstream_notices.h"

#include <math.h>
#include <string.h>

/* After a rest: one request, and then twice as many in each step, up to
   LAST_STEP, from which on any number may go.  An upstream that is still full
   turns the first ones away within a step. */
#define STEP_MS 40
#define LAST_STEP 6
/* The first request after a rest is delayed by a random part of this time for
   each gateway, and of MAX_SPREAD_MS at most. */
#define SPREAD_PER_GATEWAY_MS 2
#define MAX_SPREAD_MS 800
/* The upstream's clock and ours both round. */
#define ROUNDING_MS 2
/* Part of the requests that were there when one was turned away.  Fewer than
   MIN_INSIDE don't show how many this gateway may have there. */
#define ROOM_AFTER 0.75
#define MIN_INSIDE 2
/* A try for one more that fails costs a rest, so there is one in this part of
   its length. */
#define GROWS_PER_REST 2
/* From so many rests after the end on, and REMEMBER_MS at least, the room
   doubles in each ROOM_DOUBLES_MS, until it is MAX_ROOM_FACTOR times as large:
   then any number may go. */
#define REMEMBER_RESTS 3
#define REMEMBER_MS 5000
#define MAX_REMEMBER_MS 30000
#define ROOM_DOUBLES_MS 1000.
#define MAX_ROOM_FACTOR 64
/* Before it is tried again whether there is room. */
#define ROOM_RETRY_MS 20
/* Longer ones end by then. */
#define MAX_REST_MS (1000ULL * 1000 * 1000 * 1000)
/* From the choice of an upstream until the first byte of a request sent in a
   rest, at most. */
#define PROBE_WRITE_MS 1000
#define MOST_PROBES 2
/* Of requests that waited: the time for which their rate is taken, and how
   many may wait whatever it is. */
#define RELEASE_MS 4000.
#define FREE_WAITING 16
/* The rate of some seconds with rests in them says little. */
#define WAITING_SLACK 1.5
#define LOG_INTERVAL_MS 10000 /* of what can't be read, for one upstream */
/* One that leaves is gone long before. */
#define LEAVING_MS (3600ULL * 1000)

typedef struct {
    char *vm;
    uint64_t until_ms;
} Told;

typedef struct {
    uint64_t born_ms;
    /* The rest; asked_ms is 0: there was none lately. */
    uint64_t asked_ms; /* the first of the wishes that overlap */
    uint64_t until_ms; /* the latest end */
    uint64_t rest_ms;  /* between the two */
    uint64_t open_ms;  /* the first request goes out */
    bool end_told;     /* to VISIT of un_on_tick */
    uint32_t probes;   /* sent in the rest */
    uint64_t probe_ms; /* the last of them */
    /* After the rest. */
    uint64_t first_ms; /* the first request was sent; 0: none was */
    uint32_t sent;
    double room;       /* requests at a time; 0: any number */
    uint64_t grown_ms; /* it last grew */
    bool leaving;
    uint64_t leaving_ms; /* last said */
    uint64_t logged_ms;  /* something unreadable; 0: never */
    GArray *told;        /* Told; NULL: none */
} Entry;

struct Un {
    GHashTable *entries; /* id -> Entry */
    uint32_t gateways;
    double released;      /* requests that waited, decayed; at released_ms */
    uint64_t released_ms; /* 0: never */
    uint64_t first_release_ms; /* of those that follow each other */
    BgRandom rng;
};

static void
clear_told(void *p)
{
    g_free(((Told *)p)->vm);
}

static void
free_entry(void *p)
{
    Entry *e = p;
    if (e->told) {
        g_array_free(e->told, TRUE);
    }
    g_free(e);
}

Un *
un_create(uint64_t seed)
{
    Un *n = g_new0(Un, 1);
    n->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_entry);
    n->gateways = 1;
    bg_seed_random(&n->rng, seed);
    return n;
}

void
un_destroy(Un *n)
{
    g_hash_table_destroy(n->entries);
    g_free(n);
}

void
un_on_gateways(Un *n, uint32_t gateways)
{
    n->gateways = MAX(gateways, 1);
}

/* ---- entries ------------------------------------------------------------ */

static bool
is_other_process(const Entry *e, const UnProcess *u)
{
    return e->born_ms && u->born_ms && e->born_ms != u->born_ms;
}

/* NULL: nothing is known of U. */
static Entry *
find(const Un *n, const UnProcess *u)
{
    if (g_hash_table_size(n->entries) == 0) {
        return NULL;
    }
    Entry *e = g_hash_table_lookup(n->entries, u->id);
    return e && !is_other_process(e, u) ? e : NULL;
}

static void
end_rest(Entry *e)
{
    e->asked_ms = 0;
    e->until_ms = 0;
    e->first_ms = 0;
    e->sent = 0;
    e->room = 0;
}

static Entry *
ensure(Un *n, const UnProcess *u)
{
    Entry *e = g_hash_table_lookup(n->entries, u->id);
    if (e && is_other_process(e, u)) {
        end_rest(e);
        g_hash_table_remove(n->entries, u->id);
        e = NULL;
    }
    if (!e) {
        e = g_new0(Entry, 1);
        g_hash_table_insert(n->entries, g_strdup(u->id), e);
    }
    e->born_ms = u->born_ms ? u->born_ms : e->born_ms;
    return e;
}

/* ---- answers ------------------------------------------------------------ */

static bool
rests(const Entry *e, uint64_t now_ms)
{
    return e->asked_ms && now_ms < e->until_ms;
}

/* So that hundreds of gateways which were asked at the same time don't return
   at the same time. */
static uint64_t
draw_spread_ms(Un *n)
{
    uint64_t most_ms = MIN((uint64_t)n->gateways * SPREAD_PER_GATEWAY_MS,
                           (uint64_t)MAX_SPREAD_MS);
    return bg_pick_random(&n->rng, (uint32_t)most_ms + 1);
}

/* RUNNING: with the request that was turned away. */
static double
shrink_room(const Entry *e, uint32_t running)
{
    double inside = running > 1 ? running - 1 : 0;
    return inside >= MIN_INSIDE ? MAX(inside * ROOM_AFTER, 1) : e->room;
}

static bool
begin_rest(Un *n, Entry *e, uint64_t now_ms, uint64_t rest_ms,
           uint32_t running)
{
    uint64_t until_ms = now_ms + MIN(rest_ms, MAX_REST_MS);
    if (rests(e, now_ms) && until_ms <= e->until_ms) {
        return false;
    }
    if (!rests(e, now_ms)) {
        e->asked_ms = MAX(now_ms, 1);
        e->probes = 0;
        e->probe_ms = 0;
        e->room = shrink_room(e, running);
    }
    e->until_ms = until_ms;
    e->rest_ms = until_ms - e->asked_ms;
    e->open_ms = until_ms + ROUNDING_MS + draw_spread_ms(n);
    e->end_told = false;
    e->first_ms = 0;
    e->sent = 0;
    return true;
}

static bool
is_to_be_logged(Entry *e, uint64_t now_ms)
{
    if (e->logged_ms && now_ms < e->logged_ms + LOG_INTERVAL_MS) {
        return false;
    }
    e->logged_ms = MAX(now_ms, 1);
    return true;
}

static bool
says_nothing(const UnNotice *notice)
{
    return notice->rest == UN_NO_REST && !notice->leaving;
}

/* The answer to a request that was sent in the rest, which is served. */
static bool
ends_rest(const Entry *e, uint64_t now_ms, uint64_t sent_ms)
{
    return rests(e, now_ms) && e->probes > 0 && sent_ms >= e->probe_ms;
}

/* A request that was sent after the rest is answered. */
static void
grow_room(Entry *e, uint64_t now_ms, uint64_t sent_ms, uint32_t running)
{
    bool is_used = e->room > 0 && running + 1 > e->room;
    uint64_t from_ms =
        MAX(e->grown_ms, e->open_ms) + e->rest_ms / GROWS_PER_REST;
    if (is_used && sent_ms >= e->until_ms && now_ms >= from_ms) {
        e->room += 1;
        e->grown_ms = now_ms;
    }
}

UnChange
un_on_answer(Un *n, uint64_t now_ms, const UnProcess *u, uint64_t sent_ms,
             uint32_t running, const UnNotice *notice)
{
    UnChange change = {0};
    if (says_nothing(notice) && !find(n, u)) {
        return change;
    }
    Entry *e = ensure(n, u);
    switch (notice->rest) {
    case UN_NO_REST:
        change.rest_is_over = ends_rest(e, now_ms, sent_ms);
        grow_room(e, now_ms, sent_ms, running);
        break;
    case UN_REST:
        change.rests = begin_rest(n, e, now_ms, notice->rest_ms, running);
        break;
    case UN_REST_UNREADABLE:
        change.not_read = is_to_be_logged(e, now_ms);
        break;
    }
    if (change.rest_is_over) {
        e->until_ms = now_ms;
        e->open_ms = now_ms;
    }
    if (notice->leaving) {
        change.leaves = un_on_leaving(n, now_ms, u);
    }
    return change;
}

bool
un_on_leaving(Un *n, uint64_t now_ms, const UnProcess *u)
{
    Entry *e = ensure(n, u);
    bool news = !e->leaving;
    e->leaving = true;
    e->leaving_ms = now_ms;
    return news;
}

/* ---- sending ------------------------------------------------------------ */

/* When a request may be sent in the rest; UINT64_MAX: none more. */
static uint64_t
get_probe_ms(const Entry *e)
{
    static const uint64_t after_ms[MOST_PROBES] = {UN_PROBE_MS,
                                                   UN_LAST_PROBE_MS};
    return e->probes < MOST_PROBES ? e->asked_ms + after_ms[e->probes]
                                   : UINT64_MAX;
}

/* Requests that may have been sent by then, all in all. */
static uint64_t
count_allowed(uint64_t step)
{
    return (2ULL << step) - 1;
}

/* How many times the room there is by now. */
static double
get_room_factor(const Entry *e, uint64_t now_ms)
{
    uint64_t length_ms =
        CLAMP(e->rest_ms * REMEMBER_RESTS, (uint64_t)REMEMBER_MS,
              (uint64_t)MAX_REMEMBER_MS);
    uint64_t from_ms = e->open_ms + length_ms;
    return now_ms > from_ms
               ? exp2((double)(now_ms - from_ms) / ROOM_DOUBLES_MS)
               : 1;
}

static bool
has_room(const Entry *e, uint64_t now_ms, uint32_t running)
{
    return e->room <= 0 || running + 1 <= e->room * get_room_factor(e, now_ms);
}

static UnVerdict
check_rested(const Entry *e, uint64_t now_ms, uint32_t running,
             uint64_t *from_ms)
{
    if (now_ms < e->open_ms) {
        *from_ms = e->open_ms;
        return UN_LATER;
    }
    if (!has_room(e, now_ms, running)) {
        *from_ms = now_ms + ROOM_RETRY_MS;
        return UN_LATER;
    }
    if (e->first_ms == 0) {
        return UN_MAY_SEND;
    }
    uint64_t step = (now_ms - e->first_ms) / STEP_MS;
    if (step >= LAST_STEP || e->sent < count_allowed(step)) {
        return UN_MAY_SEND;
    }
    *from_ms = e->first_ms + (step + 1) * STEP_MS;
    return UN_LATER;
}

UnVerdict
un_check(const Un *n, uint64_t now_ms, const UnProcess *u, uint32_t running,
         uint64_t *from_ms)
{
    const Entry *e = find(n, u);
    if (!e) {
        return UN_MAY_SEND;
    }
    if (e->leaving) {
        return UN_NEVER;
    }
    if (!e->asked_ms) {
        return UN_MAY_SEND;
    }
    if (!rests(e, now_ms)) {
        return check_rested(e, now_ms, running, from_ms);
    }
    uint64_t probe_ms = get_probe_ms(e);
    if (now_ms >= probe_ms) {
        return UN_MAY_SEND;
    }
    *from_ms = MIN(e->open_ms, probe_ms);
    return UN_LATER;
}

void
un_on_send(Un *n, uint64_t now_ms, const UnProcess *u)
{
    Entry *e = find(n, u);
    if (!e || !e->asked_ms) {
        return;
    }
    if (rests(e, now_ms)) {
        e->probes++;
        e->probe_ms = now_ms;
        return;
    }
    e->first_ms = e->first_ms ? e->first_ms : now_ms;
    e->sent++;
}

bool
un_may_write(const Un *n, uint64_t now_ms, const UnProcess *u)
{
    const Entry *e = find(n, u);
    if (!e) {
        return true;
    }
    bool is_probe = e->probes > 0 && now_ms < e->probe_ms + PROBE_WRITE_MS;
    return !e->leaving && (!rests(e, now_ms) || is_probe);
}

static double
get_released(const Un *n, uint64_t now_ms)
{
    return n->released * exp(-(double)(now_ms - n->released_ms) / RELEASE_MS);
}

void
un_on_release(Un *n, uint64_t now_ms)
{
    if (n->released_ms == 0 ||
        now_ms > n->released_ms + 2 * (uint64_t)RELEASE_MS) {
        n->first_release_ms = now_ms;
    }
    n->released = get_released(n, now_ms) + 1;
    n->released_ms = now_ms;
}

bool
un_may_wait(const Un *n, uint64_t now_ms, uint32_t waiting, uint64_t left_ms)
{
    bool is_known = n->released_ms &&
                    now_ms <= n->released_ms + 2 * (uint64_t)RELEASE_MS &&
                    now_ms >= n->first_release_ms + (uint64_t)RELEASE_MS;
    if (!is_known || waiting < FREE_WAITING) {
        return true;
    }
    return waiting < get_released(n, now_ms) * (double)left_ms / RELEASE_MS *
                         WAITING_SLACK;
}

uint64_t
un_get_rest_end_ms(const Un *n, uint64_t now_ms, const UnProcess *u)
{
    const Entry *e = find(n, u);
    return e && rests(e, now_ms) ? e->until_ms : 0;
}

bool
un_is_leaving(const Un *n, const UnProcess *u)
{
    const Entry *e = find(n, u);
    return e && e->leaving;
}

/* ---- the leader --------------------------------------------------------- */

static Told *
ensure_told(Entry *e, const char *vm)
{
    if (!e->told) {
        e->told = g_array_new(FALSE, FALSE, sizeof(Told));
        g_array_set_clear_func(e->told, clear_told);
    }
    for (guint i = 0; i < e->told->len; i++) {
        Told *t = &g_array_index(e->told, Told, i);
        if (strcmp(t->vm, vm) == 0) {
            return t;
        }
    }
    Told t = {g_strdup(vm), 0};
    g_array_append_val(e->told, t);
    return &g_array_index(e->told, Told, e->told->len - 1);
}

void
un_on_told(Un *n, uint64_t now_ms, const UnProcess *u, const char *vm,
           uint64_t until_ms)
{
    Told *t = ensure_told(ensure(n, u), vm);
    t->until_ms = MAX(t->until_ms, MIN(until_ms, now_ms + MAX_REST_MS));
}

/* The latest first. */
static gint
compare_ends(gconstpointer a, gconstpointer b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;
    return x > y ? -1 : x < y;
}

uint64_t
un_get_fleet_end_ms(const Un *n, uint64_t now_ms, const UnProcess *u)
{
    const Entry *e = find(n, u);
    if (!e || !e->told) {
        return 0;
    }
    g_autoptr(GArray) ends = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (guint i = 0; i < e->told->len; i++) {
        uint64_t end_ms = g_array_index(e->told, Told, i).until_ms;
        if (end_ms > now_ms) {
            g_array_append_val(ends, end_ms);
        }
    }
    guint half = (n->gateways + 1) / 2;
    if (ends->len < half) {
        return 0;
    }
    g_array_sort(ends, compare_ends);
    return g_array_index(ends, uint64_t, half - 1);
}

/* ---- time and state ----------------------------------------------------- */

static void
forget_told(Entry *e, uint64_t now_ms)
{
    for (guint i = 0; e->told && i < e->told->len;) {
        if (g_array_index(e->told, Told, i).until_ms <= now_ms) {
            g_array_remove_index_fast(e->told, i);
        }
        else {
            i++;
        }
    }
}

static bool
is_over(const Entry *e, uint64_t now_ms)
{
    bool leaves = e->leaving && now_ms < e->leaving_ms + LEAVING_MS;
    bool logged = e->logged_ms && now_ms < e->logged_ms + LOG_INTERVAL_MS;
    return !e->asked_ms && !leaves && !logged &&
           (!e->told || e->told->len == 0);
}

void
un_on_tick(Un *n, uint64_t now_ms, void (*visit)(void *ctx, const char *id),
           void *ctx)
{
    GHashTableIter it;
    gpointer id;
    gpointer v;
    g_hash_table_iter_init(&it, n->entries);
    while (g_hash_table_iter_next(&it, &id, &v)) {
        Entry *e = v;
        forget_told(e, now_ms);
        bool rested = e->asked_ms && now_ms >= e->until_ms;
        if (rested && !e->end_told && visit) {
            visit(ctx, id);
        }
        e->end_told = e->end_told || rested;
        if (rested && get_room_factor(e, now_ms) >= MAX_ROOM_FACTOR) {
            end_rest(e);
        }
        if (is_over(e, now_ms)) {
            g_hash_table_iter_remove(&it);
        }
    }
}

void
un_print(const Un *n, uint64_t now_ms, GString *out)
{
    GHashTableIter it;
    gpointer id;
    gpointer v;
    g_hash_table_iter_init(&it, n->entries);
    while (g_hash_table_iter_next(&it, &id, &v)) {
        const Entry *e = v;
        uint64_t left_ms = rests(e, now_ms) ? e->until_ms - now_ms : 0;
        g_string_append_printf(
            out,
            "{\"upstream\":\"%s\",\"born_ms\":%llu,\"rest_left_ms\":%llu,"
            "\"sent_since\":%u,\"room\":%.1f,\"leaving\":%s,\"gateways_held_"
            "back\":%u}\n",
            (const char *)id, (unsigned long long)e->born_ms,
            (unsigned long long)left_ms, e->sent, e->room,
            e->leaving ? "true" : "false", e->told ? e->told->len : 0);
    }
}
