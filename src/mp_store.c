#include "mp_int.h"

#include <math.h>

#define LATE_SHARE 0.3 /* of its stated time: then a load is late */
/* Ended in its stated time: so much more, and the lag of the word of it. */
#define IN_TIME_SHARE 0.1
#define IN_TIME_MS 450
#define OVERLAP_SHARE 0.25 /* of a load's time, that others were beside it */
#define OVERDUE_MS 1000    /* a load that is overdue ends about then */
/* The store may have been slow for other reasons: more are tried again. */
#define CEILING_LIFETIME_MS 60000

/* Replicas that are being loaded from the store. */
static GPtrArray *
list_loads(const Mp *m)
{
    GPtrArray *loads = g_ptr_array_new();
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->ups);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Up *u = v;
        for (guint i = 0; i < u->replicas->len; i++) {
            Replica *r = u->replicas->pdata[i];
            if (r->ready_ms == WHEN_REPORTED) {
                g_ptr_array_add(loads, r);
            }
        }
    }
    return loads;
}

/* Orders that are out, and upstreams at one that we don't know: most likely a
   load that the VM before us ordered. */
static uint32_t
count_uncertain_loads(const Mp *m)
{
    uint32_t n = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->ups);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Up *u = v;
        n += (u->ordered && u->order_from_store) || (!u->known && u->busy);
    }
    return n;
}

uint32_t
mp_count_store_loads(const Mp *m)
{
    g_autoptr(GPtrArray) loads = list_loads(m);
    return loads->len + count_uncertain_loads(m);
}

/* ---- how many it serves ---- */

void
mp_integrate_store_loads(Mp *m, uint64_t now_ms)
{
    m->load_integral_ms +=
        (double)(now_ms - m->load_integral_at_ms) * m->loads_in_flight;
    m->load_integral_at_ms = now_ms;
    m->loads_in_flight = mp_count_store_loads(m);
}

/* Loads side by side while R was loaded, in the mean. */
static double
get_mean_concurrency(const Mp *m, uint64_t now_ms, const Replica *r)
{
    double passed_ms = (double)(now_ms - r->ordered_ms);
    return passed_ms > 0
               ? (m->load_integral_ms - r->integral_at_start_ms) / passed_ms
               : 1;
}

/* Beyond what the store serves at full speed all loads take longer, in
   proportion: the share of its stated time that a load came late by tells how
   many are served. */
static void
note_late_load(Mp *m, uint64_t now_ms, const Replica *r)
{
    double declared_ms = (double)(r->expected_ms - r->ordered_ms);
    double served = get_mean_concurrency(m, now_ms, r) * declared_ms /
                    (double)(now_ms - r->ordered_ms);
    m->store.most = MAX((uint32_t)lround(served), 1);
    m->store.at_once = MIN(m->store.at_once, m->store.most);
    m->store_late_ms = now_ms;
}

/* A load has ended.  In its time: as many as were beside it for a quarter of
   it and more are served at full speed; where that holds of two and more, one
   more is begun at once: it can cost the others a half of their time. */
void
mp_on_store_load_end(Mp *m, uint64_t now_ms, const Replica *r)
{
    uint64_t declared_ms = r->expected_ms - r->ordered_ms;
    uint64_t limit_ms = r->expected_ms +
                        (uint64_t)((double)declared_ms * IN_TIME_SHARE) +
                        IN_TIME_MS;
    if (m->store.most && now_ms > m->store_late_ms + CEILING_LIFETIME_MS) {
        m->store.most = 0;
    }
    if (now_ms > limit_ms) {
        note_late_load(m, now_ms, r);
        return;
    }
    double concurrency =
        get_mean_concurrency(m, now_ms, r) + 1 - OVERLAP_SHARE;
    uint32_t served = MAX((uint32_t)concurrency, 1);
    uint32_t next = served > 1 ? served + 1 : 1;
    uint32_t most = m->store.most ? m->store.most : MP_MAX_STORE_LOADS;
    m->store.at_once = MAX(m->store.at_once, MIN(next, most));
}

/* Beyond what the store serves at full speed all loads take longer, so none
   of them comes in time: fewer at once, of those that are missed most. */
void
mp_check_overdue_loads(Mp *m, uint64_t now_ms, Up *u)
{
    for (guint i = 0; i < u->replicas->len; i++) {
        Replica *r = u->replicas->pdata[i];
        if (r->ready_ms != WHEN_REPORTED || r->late) {
            continue;
        }
        uint64_t declared_ms = r->expected_ms - r->ordered_ms;
        if (now_ms > r->expected_ms + declared_ms * LATE_SHARE) {
            r->late = true;
            note_late_load(m, now_ms, r);
        }
    }
}

void
mp_set_store_limits(Mp *m, MpStoreLimits rate)
{
    m->store.at_once = CLAMP(rate.at_once, 1, MP_MAX_STORE_LOADS);
    m->store.most = MIN(rate.most, MP_MAX_STORE_LOADS);
}

MpStoreLimits
mp_get_store_limits(const Mp *m)
{
    return m->store;
}

/* ---- may a load begin ---- */

/* A trial of one load more than is known to be served at full speed begins
   when those under way have so much of their time behind them: where the store
   can't, they come later by the rest at most, not after twice their time. */
#define TRIAL_PROGRESS 0.75

static bool
may_try_more(const Mp *m, uint64_t now_ms, uint32_t loads)
{
    if (loads > m->store.at_once ||
        (m->store.most && loads + 1 > m->store.most)) {
        return false;
    }
    if (count_uncertain_loads(m) > 0) {
        return false;
    }
    g_autoptr(GPtrArray) under_way = list_loads(m);
    for (guint i = 0; i < under_way->len; i++) {
        const Replica *r = under_way->pdata[i];
        double declared_ms = (double)(r->expected_ms - r->ordered_ms);
        if ((double)(now_ms - r->ordered_ms) < declared_ms * TRIAL_PROGRESS) {
            return false;
        }
    }
    return true;
}

/* The weight store allows a number of loads begun in any window. */
#define STORE_WINDOW_MS 5000
#define STORE_RATE_SHARE 0.85
#define MAX_OVERTAKING 2 /* loads that go before others, at most */
#define OVERTAKE_RATIO 3 /* times the callers */

/* Callers that miss what the weight store is loading now. */
static double
count_callers_of_loads(const Mp *m, uint64_t now_ms)
{
    double n = 0;
    g_autoptr(GPtrArray) loads = list_loads(m);
    for (guint i = 0; i < loads->len; i++) {
        const Demand *d = &((Replica *)loads->pdata[i])->model->demand;
        n += d->waiting + mp_get_rate(d, now_ms);
    }
    return n;
}

/* A model that far more callers miss than all that is being loaded does not
   wait for that.  Where the store serves fewer at full speed they share it:
   this one is there no later than if it had waited, the others take up to
   twice their time. */
static bool
may_overtake(const Mp *m, uint64_t now_ms, double gain, uint32_t loads)
{
    return loads < m->store.at_once + MAX_OVERTAKING &&
           gain > OVERTAKE_RATIO * (count_callers_of_loads(m, now_ms) + 1);
}

bool
mp_may_start_store_load(Mp *m, uint64_t now_ms, const DepService *s,
                        double gain)
{
    while (m->store_starts->len &&
           g_array_index(m->store_starts, uint64_t, 0) + STORE_WINDOW_MS <
               now_ms) {
        g_array_remove_index(m->store_starts, 0);
    }
    if (m->store_starts->len + 1 >
        s->loads_per_s * STORE_WINDOW_MS / 1000 * STORE_RATE_SHARE) {
        return false;
    }
    uint32_t loads = mp_count_store_loads(m);
    return loads < m->store.at_once || may_try_more(m, now_ms, loads) ||
           may_overtake(m, now_ms, gain, loads);
}

/* It was not begun: counted, the two or three orders that are turned away
   while an upstream makes room would use up what the store allows in a
   window, and a model that everybody misses would wait for that. */
void
mp_cancel_store_start(Mp *m, uint64_t order_ms)
{
    for (guint i = m->store_starts->len; i > 0; i--) {
        if (g_array_index(m->store_starts, uint64_t, i - 1) == order_ms) {
            g_array_remove_index(m->store_starts, i - 1);
            return;
        }
    }
}

/* ---- when one ends ---- */

/* When each of the loads that the weight store serves side by side ends; 0: no
   load is under way there. */
void
mp_list_store_slots(const Mp *m, uint64_t now_ms, uint64_t *free_in_ms)
{
    g_autoptr(GPtrArray) loads = list_loads(m);
    for (guint i = 0; i < loads->len && i < m->store.at_once; i++) {
        const Replica *r = loads->pdata[i];
        free_in_ms[i] = MAX(r->expected_ms, now_ms + OVERDUE_MS) - now_ms;
    }
}

uint64_t *
mp_pick_first_slot(const Mp *m, uint64_t *free_in_ms)
{
    uint32_t best = 0;
    for (uint32_t i = 1; i < m->store.at_once; i++) {
        best = free_in_ms[i] < free_in_ms[best] ? i : best;
    }
    return &free_in_ms[best];
}
