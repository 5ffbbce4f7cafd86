#include "model_placement_internal.h"

/* Initial interval between first bytes of answers on an upstream: the
   processing of a prompt of 3,000 tokens. */
#define INITIAL_INTERVAL_MS 80.
/* Longest time between two samples; after a longer gap the sample is invalid.
 */
#define MAX_SAMPLE_MS 1000
/* Weight of a new sample, so that about the last second counts. */
#define SAMPLE_WEIGHT 0.3
/* Queued requests from which on the upstream is surely not idle. */
#define MIN_QUEUED 3

/* ---- usable models ------------------------------------------------------ */

/* The models and adapters that gateways can use on U now. */
static DepUpstream *
make_view(const Up *u, uint64_t now_ms)
{
    DepUpstream *view = dep_create_upstream();
    for (guint i = 0; i < u->replicas->len; i++) {
        const Replica *r = u->replicas->pdata[i];
        if (r->ready_ms > now_ms || r->unloading) {
            continue;
        }
        DepResident *d = dep_add_resident(view, r->model->name);
        for (guint j = 0; j < r->adapters->len; j++) {
            const Adapter *a = r->adapters->pdata[j];
            if (a->ready_ms <= now_ms && !a->leaving) {
                g_ptr_array_add(d->adapters, g_strdup(a->name));
            }
        }
    }
    return view;
}

void
mp_publish(Mp *m, Up *u, uint64_t now_ms)
{
    DepUpstream *view = make_view(u, now_ms);
    u->published = true;
    m->out.publish(m->out.ctx, u->entry->id, view->models);
    dep_destroy_upstream(view);
}

/* Most loads end by the clock, without an event that would cause an update. */
bool
mp_has_just_become_ready(const Up *u, uint64_t now_ms, uint64_t before_ms)
{
    for (guint i = 0; i < u->replicas->len; i++) {
        const Replica *r = u->replicas->pdata[i];
        if (r->ready_ms > before_ms && r->ready_ms <= now_ms) {
            return true;
        }
        for (guint j = 0; j < r->adapters->len; j++) {
            const Adapter *a = r->adapters->pdata[j];
            if (a->ready_ms > before_ms && a->ready_ms <= now_ms) {
                return true;
            }
        }
    }
    return false;
}

/* ---- load of upstreams -------------------------------------------------- */

/* The interval between first bytes shows the speed of an upstream only while
   requests are queued; otherwise it shows how seldom requests arrive. */
static void
sample_start_interval(Up *u, uint64_t now_ms)
{
    uint64_t passed_ms = now_ms - u->sampled_ms;
    UpstreamLoad *l = u->load;
    bool waited = u->last_queued >= MIN_QUEUED && l->queued >= MIN_QUEUED;
    if (u->start_interval_ms == 0) {
        u->start_interval_ms = INITIAL_INTERVAL_MS;
    }
    if (waited && passed_ms <= MAX_SAMPLE_MS) {
        double sample_ms = (double)passed_ms / MAX(l->answer_starts, 1);
        if (l->answer_starts > 0 || sample_ms > u->start_interval_ms) {
            u->start_interval_ms +=
                SAMPLE_WEIGHT * (sample_ms - u->start_interval_ms);
        }
    }
    l->answer_starts = 0;
    u->last_queued = l->queued;
    u->sampled_ms = now_ms;
}

/* Longer than the processing of any prompt plus the delay of reports. */
#define STALLED_MS 1500

/* A single gateway sees too few answers of an upstream to distinguish a busy
   one from one that hangs. */
static bool
is_stalled(const UpstreamLoad *l, uint64_t now_ms)
{
    return l->queued_since_ms &&
           now_ms > MAX(l->queued_since_ms, l->last_start_ms) + STALLED_MS;
}

void
mp_visit_loads(Mp *m, uint64_t now_ms,
               void (*visit)(void *ctx, const char *upstream,
                             const MpLoad *load),
               void *ctx)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->ups);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Up *u = v;
        UpstreamLoad *l = u->load;
        if (!u->service) {
            continue;
        }
        sample_start_interval(u, now_ms);
        MpLoad load = {l->running,
                       (uint32_t)(l->queued * u->start_interval_ms),
                       is_stalled(l, now_ms)};
        if (load.running > 0) {
            visit(ctx, u->entry->id, &load);
        }
    }
}

/* ---- waits for models --------------------------------------------------- */

static uint32_t
get_replica_wait_ms(const Replica *r, uint64_t now_ms)
{
    uint64_t ready_ms = r->ready_ms == WHEN_REPORTED
                            ? MAX(r->expected_ms, now_ms + 1)
                            : r->ready_ms;
    return ready_ms > now_ms ? (uint32_t)(ready_ms - now_ms) : 0;
}

static uint32_t
get_holder_wait_ms(const Up *u, const Model *model, uint64_t now_ms)
{
    uint32_t wait_ms = get_replica_wait_ms(mp_find_replica(u, model), now_ms);
    uint32_t rest_ms =
        mp_rests(u, now_ms)
            ? (uint32_t)MIN(u->rested_ms - now_ms, UINT32_MAX - 1)
            : 0;
    return MAX(wait_ms, rest_ms);
}

#define ORDER_DELAY_MS 100 /* typical time from a goal to its order */

static uint32_t
get_wait_ms(uint64_t now_ms, const Model *model)
{
    uint32_t best = UINT32_MAX;
    for (guint i = 0; i < model->holders->len; i++) {
        const Up *u = model->holders->pdata[i];
        if (mp_can_use(u) && mp_find_declared(u, model)) {
            best = MIN(best, get_holder_wait_ms(u, model, now_ms));
        }
    }
    for (guint i = 0; i < model->goals->len; i++) {
        const Up *u = model->goals->pdata[i];
        const DepModel *d = mp_find_declared(u, model);
        bool from_store;
        if (mp_can_use(u) && d && !mp_find_replica(u, model)) {
            best = MIN(best, mp_get_load_ms(u, d, model, &from_store) +
                                 ORDER_DELAY_MS);
        }
    }
    return best;
}

static uint32_t
get_longest_load_ms(const Mp *m, const Model *model)
{
    GHashTableIter it;
    gpointer v;
    uint32_t longest = 0;
    g_hash_table_iter_init(&it, m->config->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const DepModel *d =
            g_hash_table_lookup(((DepService *)v)->models, model->name);
        longest = d ? MAX(longest, d->load_ms) : longest;
    }
    return longest;
}

void
mp_visit_waits(Mp *m, uint64_t now_ms,
               void (*visit)(void *ctx, const char *model, uint32_t wait_ms),
               void *ctx)
{
    if (!m->config) {
        return;
    }
    uint64_t free_in_ms[MP_MAX_STORE_LOADS] = {0};
    mp_list_store_slots(m, now_ms, free_in_ms);
    mp_count_replicas(m);
    g_autoptr(GArray) shortages = mp_list_shortages(m, now_ms, true);
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->models);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Model *model = v;
        uint32_t wait_ms =
            model->demand.waiting > 0 ? get_wait_ms(now_ms, model) : 0;
        if (wait_ms > 0 && wait_ms != UINT32_MAX) {
            visit(ctx, model->name, wait_ms);
        }
    }
    /* Models that need the weight store are queued for its slots. */
    for (guint i = 0; i < shortages->len; i++) {
        const Shortage *w = &g_array_index(shortages, Shortage, i);
        if (w->no_replica && !mp_is_cached(w->model)) {
            uint64_t *first = mp_pick_first_slot(m, free_in_ms);
            *first += get_longest_load_ms(m, w->model);
            visit(ctx, w->model->name, (uint32_t)*first);
        }
    }
    mp_visit_adapter_waits(m, now_ms, visit, ctx);
}
