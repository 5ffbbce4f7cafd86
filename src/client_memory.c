#include "client_memory.h"

/* Added to the age: of those that have just come the larger ones yield. */
#define MIN_AGE_MS 100

struct Cm {
    uint64_t limit_bytes;
    uint64_t sum_bytes;
    uint64_t peak_bytes;
    uint64_t picked;
    GQueue holders; /* CmHolder */
};

Cm *
cm_create(uint64_t limit_bytes)
{
    Cm *m = g_new0(Cm, 1);
    m->limit_bytes = limit_bytes;
    g_queue_init(&m->holders);
    return m;
}

void
cm_destroy(Cm *m)
{
    CmHolder *h;
    while ((h = g_queue_pop_head(&m->holders))) {
        h->link = NULL;
    }
    g_free(m);
}

void
cm_set_limit(Cm *m, uint64_t limit_bytes)
{
    m->limit_bytes = limit_bytes;
}

uint64_t
cm_get_limit(const Cm *m)
{
    return m->limit_bytes;
}

uint64_t
cm_get_sum(const Cm *m)
{
    return m->sum_bytes;
}

uint64_t
cm_take_peak(Cm *m)
{
    uint64_t peak_bytes = m->peak_bytes;
    m->peak_bytes = m->sum_bytes;
    return peak_bytes;
}

uint64_t
cm_count_picked(const Cm *m)
{
    return m->picked;
}

bool
cm_is_over(const Cm *m)
{
    return m->sum_bytes > m->limit_bytes;
}

void
cm_set(Cm *m, CmHolder *h, uint64_t bytes, CmStage stage, uint64_t since_ms)
{
    if (!h->link) {
        h->bytes = 0;
        g_queue_push_tail(&m->holders, h);
        h->link = m->holders.tail;
    }
    m->sum_bytes = m->sum_bytes - h->bytes + bytes;
    m->peak_bytes = MAX(m->peak_bytes, m->sum_bytes);
    h->bytes = bytes;
    h->stage = stage;
    h->since_ms = since_ms;
}

void
cm_remove(Cm *m, CmHolder *h)
{
    if (!h->link) {
        return;
    }
    m->sum_bytes -= h->bytes;
    g_queue_delete_link(&m->holders, h->link);
    h->link = NULL;
}

/* What nobody has run yet yields sooner, as a refusal costs its caller the
   least. */
static double
get_weight(CmStage stage)
{
    static const double weights[CM_STAGES] = {[CM_READING] = 16,
                                              [CM_WAITING] = 4,
                                              [CM_UNREAD] = 4,
                                              [CM_SENT] = 1,
                                              [CM_FIXED] = 0};
    return weights[stage];
}

static double
get_burden(const CmHolder *h, uint64_t now_ms)
{
    uint64_t age_ms = bg_get_age_ms(now_ms, h->since_ms) + MIN_AGE_MS;
    return (double)h->bytes * (double)age_ms * get_weight(h->stage);
}

CmHolder *
cm_pick(Cm *m, uint64_t now_ms)
{
    CmHolder *first = NULL;
    double most = 0;
    for (const GList *l = m->holders.head; l; l = l->next) {
        CmHolder *h = l->data;
        double burden = get_burden(h, now_ms);
        if (burden > most) {
            most = burden;
            first = h;
        }
    }
    m->picked += first != NULL;
    return first;
}
