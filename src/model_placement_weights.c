#include "model_placement_internal.h"

#include <math.h>

/* A load is late when it exceeds its declared time by this share of it. */
#define LATE_SHARE 0.3
/* A load is in time if it exceeds its declared time by at most this share of
   it, plus IN_TIME_MS for the delay of the report of its end. */
#define IN_TIME_SHARE 0.1
#define IN_TIME_MS 450
/* Share of a load's time for which a further load must have overlapped with it
   to count as concurrent. */
#define OVERLAP_SHARE 0.25
/* Assumed remaining time of an overdue load. */
#define OVERDUE_MS 1000
/* The upper bound of concurrent loads is dropped so long after the last late
   load, as the store may have been slow for other reasons. */
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

/* Pending orders, and upstreams with an order in progress that we don't know,
   most likely a load ordered by the former leader. */
static uint32_t
count_uncertain_loads(const Mp *m)
{
    uint32_t n = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->ups);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Up *u = v;
        n += (u->ordered && u->order_from_store) ||
             (!u->content_known && u->busy);
    }
    return n;
}

uint32_t
mp_count_store_loads(const Mp *m)
{
    g_autoptr(GPtrArray) loads = list_loads(m);
    return loads->len + count_uncertain_loads(m);
}

/* ---- limit of concurrent loads ------------------------------------------ */

void
mp_integrate_store_loads(Mp *m, uint64_t now_ms)
{
    m->load_integral_ms +=
        (double)(now_ms - m->load_integral_at_ms) * m->loads_in_flight;
    m->load_integral_at_ms = now_ms;
    m->loads_in_flight = mp_count_store_loads(m);
}

/* Mean number of concurrent loads while R was loaded, with R's own. */
static double
get_mean_concurrency(const Mp *m, uint64_t now_ms, const Replica *r)
{
    double passed_ms = (double)(now_ms - r->ordered_ms);
    return passed_ms > 0
               ? (m->load_integral_ms - r->integral_at_start_ms) / passed_ms
               : 1;
}

/* With more loads than the store serves at full speed, all take longer in
   proportion.  So the number that it serves is the concurrency divided by the
   slowdown of R's load. */
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

/* If the load was in time, the store serves at full speed as many concurrent
   loads as there were.  From two on the limit is raised by one more, which
   prolongs the others by half at most. */
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

/* With more loads than the store serves at full speed none is in time.  The
   limit is lowered without waiting for their end, so that the models with the
   most waiting callers are loaded first. */
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
mp_set_store_limits(Mp *m, MpStoreLimits limits)
{
    m->store.at_once = CLAMP(limits.at_once, 1, MP_MAX_STORE_LOADS);
    m->store.most = MIN(limits.most, MP_MAX_STORE_LOADS);
}

MpStoreLimits
mp_get_store_limits(const Mp *m)
{
    return m->store;
}

/* ---- start of a load ---------------------------------------------------- */

/* One load beyond the limit is tried when the others have reached this share
   of their declared time.  If the store can't serve it at full speed, they are
   delayed by the rest of their time at most instead of taking twice as long.
 */
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

/* The weight store limits the number of loads started in any window. */
#define STORE_WINDOW_MS 5000
#define STORE_RATE_SHARE 0.85 /* of that limit that is used */
#define MAX_OVERTAKING 2      /* loads beyond the limit of concurrent ones */
#define OVERTAKE_RATIO 3      /* required ratio of the demands */

/* Demand for the models that are being loaded from the store. */
static double
get_loading_demand(const Mp *m, uint64_t now_ms)
{
    double n = 0;
    g_autoptr(GPtrArray) loads = list_loads(m);
    for (guint i = 0; i < loads->len; i++) {
        const Demand *d = &((Replica *)loads->pdata[i])->model->demand;
        n += d->waiting + mp_get_rate(d, now_ms);
    }
    return n;
}

/* A model with far more demand than all that are being loaded does not wait
   for them.  If the store can't serve it at full speed the loads share the
   store: this one ends no later than if it had waited, the others take up to
   twice as long. */
static bool
may_overtake(const Mp *m, uint64_t now_ms, double gain, uint32_t loads)
{
    return loads < m->store.at_once + MAX_OVERTAKING &&
           gain > OVERTAKE_RATIO * (get_loading_demand(m, now_ms) + 1);
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

/* Two or three orders are typically refused while an upstream still unloads.
   If they counted they would use up the store's limit for the window, and a
   model in high demand would have to wait. */
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

/* ---- expected end of loads ---------------------------------------------- */

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
