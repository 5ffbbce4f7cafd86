#include "model_placement_internal.h"

#include <math.h>
#include <string.h>

/* Gains, losses and rates are in callers a second. */

/* Between attempts for a model for which no upstream was found. */
#define RETRY_INTERVAL_MS 80
#define PREFETCH_INTERVAL_MS 200
/* No replica is evicted before its first uses have been reported. */
#define MIN_LIFETIME_MS 450
/* Added to the declared time of a load. */
#define LOAD_MARGIN_MS 15
/* Assumed duration of a request that was refused. */
#define REFUSED_DURATION_S 1.5
/* Bounds of the observed duration of requests, against few samples and stuck
   upstreams. */
#define MIN_DURATION_S 0.3
#define MAX_DURATION_S 4.
/* Share of the callers with time for a load from disk that are late all the
   same, as the load waits for memory or for other loads. */
#define RELOAD_LATE_SHARE 0.2
/* Loss of a model without recent requests, which may still be requested. */
#define IDLE_MODEL_LOSS 0.02
/* Share of the callers without time for a load that miss a model with a single
   replica, as its upstream may fail. */
#define UPSTREAM_LOSS_SHARE 0.05
/* Required gain of a replica beyond the loss by its evictions, so that two
   models don't evict each other in turn. */
#define MIN_NET_GAIN 0.3
/* Required gain of a replica beyond the first. */
#define MIN_REPLICA_GAIN 1.
/* Gain of a prefetch: enough to evict a model with hardly any requests, never
   one with waiting requests. */
#define PREFETCH_GAIN 0.5
/* How long the loss by an eviction is assumed to last: the decay time of the
   rates that it follows from. */
#define HORIZON_S 5.
/* An upstream with as many running requests as one replica's capacity ranks
   like an idle one that is ready this much later. */
#define SPREAD_PENALTY_S 0.3
/* From this gain on, waiting for an upstream with a local copy does not pay:
   the model is loaded from the weight store at once. */
#define STORE_AT_ONCE_GAIN 8.
/* Required gain for evicting a replica in use, whose own callers are delayed.
 */
#define MIN_GAIN_IN_USE 16.
/* An unload of an idle replica takes this long, so free memory is preferred to
   an eviction. */
#define IDLE_UNLOAD_S 0.1
#define IDLE_AFTER_MS 100 /* after the last use was reported */
#define GOAL_TIMEOUT_MS 4000
/* Wait for an upstream with a local copy before a load from the weight store.
   If all such upstreams are unreachable, the wait is at least the time of that
   load divided by UNREACHABLE_WAIT_DIVISOR. */
#define COPY_WAIT_MS 1500
#define UNREACHABLE_WAIT_DIVISOR 3

/* ---- replicas ----------------------------------------------------------- */

bool
mp_can_use(const Up *u)
{
    return !u->entry->draining && u->service;
}

bool
mp_rests(const Up *u, uint64_t now_ms)
{
    return now_ms < u->rested_ms;
}

/* Replicas on upstreams that are unreachable or rest don't count: their
   callers wait for another one. */
static void
count_replicas_of(const Up *u, uint64_t now_ms)
{
    if (!mp_can_use(u) || u->unreachable || mp_rests(u, now_ms)) {
        return;
    }
    for (guint i = 0; i < u->replicas->len; i++) {
        const Replica *r = u->replicas->pdata[i];
        r->model->replicas += !r->unloading;
    }
    if (u->goal && !mp_find_replica(u, u->goal)) {
        u->goal->replicas++;
    }
}

void
mp_count_replicas(Mp *m)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->models);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        ((Model *)v)->replicas = 0;
    }
    g_hash_table_iter_init(&it, m->ups);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        count_replicas_of(v, m->now_ms);
    }
}

static int64_t
get_free_mb(const Up *u)
{
    int64_t free_mb = (int64_t)u->service->memory_mb - u->reserved_mb;
    for (guint i = 0; i < u->replicas->len; i++) {
        const Replica *r = u->replicas->pdata[i];
        const DepModel *d = mp_find_declared(u, r->model);
        /* The size of a model that is no longer declared is unknown: assume
           all memory. */
        free_mb -= d ? d->memory_mb : u->service->memory_mb;
    }
    return free_mb;
}

uint32_t
mp_get_load_ms(const Up *u, const DepModel *d, const Model *model,
               bool *from_store)
{
    *from_store = false;
    if (g_ptr_array_find(u->in_memory, model, NULL)) {
        return d->warm_ms ? d->warm_ms : d->load_ms;
    }
    if (g_ptr_array_find(u->on_disk, model, NULL)) {
        return d->disk_ms ? d->disk_ms : d->load_ms;
    }
    *from_store = true;
    return d->load_ms;
}

static bool
is_idle(uint64_t now_ms, const Up *u, const Replica *r)
{
    return now_ms >= r->used_ms + IDLE_AFTER_MS &&
           !mp_is_in_use(u, r->model, NULL);
}

/* ---- gain and loss of a replica ----------------------------------------- */

/* Concurrent requests if none were refused. */
static double
get_offered_load(const Demand *d, uint64_t now_ms)
{
    return d->running + d->waiting +
           mp_get_refused_rate(d, now_ms) * REFUSED_DURATION_S;
}

/* How many of OFFERED concurrent requests are too late with REPLICAS: none up
   to the capacity of each replica, all from twice that on. */
static double
get_late_load(double offered, uint32_t replicas, double capacity)
{
    return offered * CLAMP(offered / replicas / capacity - 1, 0, 1);
}

/* Gain of a further replica of a model that has REPLICAS, at least one. */
static double
get_gain(const Model *model, uint64_t now_ms, uint32_t replicas)
{
    const Demand *d = &model->demand;
    double offered = get_offered_load(d, now_ms);
    double gain = get_late_load(offered, replicas, model->capacity) -
                  get_late_load(offered, replicas + 1, model->capacity);
    if (replicas == 1) {
        gain += mp_get_tight_deadline_rate(d, now_ms) * UPSTREAM_LOSS_SHARE;
    }
    return gain;
}

/* Callers a second that are too late without this replica. */
static double
get_loss(uint64_t now_ms, const Up *u, const Replica *r)
{
    if (!mp_find_declared(u, r->model)) {
        return 0;
    }
    const Demand *d = &r->model->demand;
    uint32_t replicas = r->model->replicas;
    if (replicas > 1) {
        return get_gain(r->model, now_ms, replicas - 1);
    }
    double tight_deadline = mp_get_tight_deadline_rate(d, now_ms);
    double tolerant = MAX(mp_get_rate(d, now_ms) - tight_deadline, 0);
    if (!mp_has_copy(u, r->model)) {
        /* It would have to be reloaded from the weight store, and would be
           prefetched again: models without a copy must not evict each other
           endlessly. */
        return MAX(tight_deadline + tolerant, PREFETCH_GAIN);
    }
    return IDLE_MODEL_LOSS + tight_deadline + tolerant * RELOAD_LATE_SHARE;
}

/* Mean duration of the requests for a model by Little's law: the number
   running divided by the arrival rate. */
static double
get_duration_s(const Demand *d, uint64_t now_ms)
{
    double rate = mp_get_rate(d, now_ms);
    return rate > 0 ? CLAMP(d->running / rate, MIN_DURATION_S, MAX_DURATION_S)
                    : MIN_DURATION_S;
}

/* Cost of loading a model in place of a replica. */
typedef struct {
    double loss;   /* callers a second that are too late without it */
    double wait_s; /* until its last request has ended and it is unloaded */
} EvictionCost;

/* False: R can't be evicted for GAIN.  A replica in use is evicted only for
   a high gain, as its upstream accepts no other order until its last request
   has ended. */
static bool
get_eviction_cost(uint64_t now_ms, const Up *u, const Replica *r, double gain,
                  EvictionCost *out)
{
    const Demand *d = &r->model->demand;
    bool waited = d->waiting > 0 && r->model->replicas < 2;
    if (waited || r->unloading || r->ready_ms == WHEN_REPORTED ||
        now_ms < r->ready_ms + MIN_LIFETIME_MS) {
        return false;
    }
    bool idle = is_idle(now_ms, u, r);
    if (!idle && gain < MIN_GAIN_IN_USE) {
        return false;
    }
    out->loss = get_loss(now_ms, u, r);
    out->wait_s = IDLE_UNLOAD_S + (idle ? 0 : get_duration_s(d, now_ms));
    return out->loss + MIN_NET_GAIN <= gain;
}

static double
get_total_cost(const EvictionCost *p, double gain)
{
    return p->loss * HORIZON_S + p->wait_s * gain;
}

/* Maximum number of evictions for one load.  Where replicas are so small that
   more would be needed, no room is made. */
#define MAX_VICTIMS 16

typedef struct {
    Replica *list[MAX_VICTIMS];
    uint32_t count;
    EvictionCost cost; /* of all together */
} Victims;

static bool
is_victim(const Victims *v, const Replica *r)
{
    for (uint32_t i = 0; i < v->count; i++) {
        if (v->list[i] == r) {
            return true;
        }
    }
    return false;
}

/* Add the replica with the lowest cost that may be evicted for GAIN; NULL:
   there is none. */
static Replica *
pick_victim(uint64_t now_ms, const Up *u, double gain, Victims *victims)
{
    Replica *best = NULL;
    EvictionCost cost = {0, 0};
    for (guint i = 0; i < u->replicas->len; i++) {
        Replica *r = u->replicas->pdata[i];
        EvictionCost c;
        if (!is_victim(victims, r) &&
            get_eviction_cost(now_ms, u, r, gain, &c) &&
            (!best ||
             get_total_cost(&c, gain) < get_total_cost(&cost, gain))) {
            best = r;
            cost = c;
        }
    }
    if (!best || victims->count == MAX_VICTIMS) {
        return NULL;
    }
    victims->list[victims->count++] = best;
    victims->cost.loss += cost.loss;
    victims->cost.wait_s = MAX(victims->cost.wait_s, cost.wait_s);
    return best;
}

/* Cost of loading MODEL on U, in callers that are too late; negative: it is
   impossible, or the loss by evictions exceeds the gain. */
static double
compute_load_cost(uint64_t now_ms, const Up *u, const Model *model,
                  const DepModel *d, double gain)
{
    bool from_store;
    double ready_s = mp_get_load_ms(u, d, model, &from_store) / 1000.;
    if (u->busy_until_ms == WHEN_REPORTED) {
        return -1;
    }
    if (u->busy_until_ms > now_ms) {
        ready_s += (double)(u->busy_until_ms - now_ms) / 1000;
    }
    Victims victims = {.count = 0};
    int64_t free_mb = get_free_mb(u);
    while (free_mb < (int64_t)d->memory_mb) {
        const Replica *r = pick_victim(now_ms, u, gain, &victims);
        const DepModel *rd = r ? mp_find_declared(u, r->model) : NULL;
        if (!rd) {
            return -1;
        }
        free_mb += rd->memory_mb;
    }
    const EvictionCost *all = &victims.cost;
    if (all->loss > 0 && all->loss + MIN_NET_GAIN > gain) {
        return -1;
    }
    /* Spread the load: a busy upstream is slower. */
    double spread_penalty_s =
        u->load->running / model->capacity * SPREAD_PENALTY_S;
    return get_total_cost(all, gain) + gain * (ready_s + spread_penalty_s);
}

/* ---- orders ------------------------------------------------------------- */

void
mp_send_order(Mp *m, uint64_t now_ms, Up *u, Model *model, const char *adapter,
              bool unload)
{
    g_free(u->order_adapter);
    u->order_model = model;
    u->order_adapter = g_strdup(adapter);
    u->order_unload = unload;
    u->order_from_store = false;
    u->order_load_ms = 0;
    u->ordered = true;
    u->order_ms = now_ms;
    if (!unload && !adapter) {
        const DepModel *d = mp_find_declared(u, model);
        bool from_store;
        u->order_load_ms =
            mp_get_load_ms(u, d, model, &from_store) + LOAD_MARGIN_MS;
        u->order_from_store = from_store;
        if (from_store) {
            g_array_append_val(m->store_starts, now_ms);
        }
    }
    MpOrder o = {.upstream = u->entry->id,
                 .address = u->entry->address,
                 .model = model->name,
                 .adapter = u->order_adapter,
                 .unload = unload,
                 .from_store = u->order_from_store,
                 .sequence = u->sequence};
    m->out.order(m->out.ctx, &o);
}

bool
mp_can_order(const Up *u, uint64_t now_ms)
{
    return u->content_known && !u->ordered && now_ms >= u->retry_ms &&
           now_ms >= u->busy_until_ms && now_ms >= u->quiet_ms &&
           !u->entry->draining;
}

static Replica *
find_unloading(const Up *u)
{
    for (guint i = 0; i < u->replicas->len; i++) {
        Replica *r = u->replicas->pdata[i];
        if (r->unloading) {
            return r;
        }
    }
    return NULL;
}

static void
drop_goal(Up *u)
{
    mp_set_goal(u, NULL);
    Replica *r = find_unloading(u);
    if (r) {
        r->unloading = false;
        u->published = false;
    }
}

/* Evict a replica to free memory for U's goal.  Gateways send no more requests
   to it from now on.  It is unloaded after its running requests, as the
   upstream would accept no other order while an unload waits for them. */
static void
evict_for_goal(Mp *m, uint64_t now_ms, Up *u)
{
    Replica *r = find_unloading(u);
    if (!r) {
        Victims victims = {.count = 0};
        r = pick_victim(now_ms, u, u->goal_gain, &victims);
        if (!r) {
            drop_goal(u);
            return;
        }
        r->unloading = true;
        u->published = false;
    }
    if (is_idle(now_ms, u, r)) {
        mp_send_order(m, now_ms, u, r->model, NULL, true);
    }
}

/* Models are tried by descending gain: if one may not start, later ones of the
   same service may not either. */
static bool
may_start_store_load(Mp *m, uint64_t now_ms, const DepService *s, double gain)
{
    if (m->store_blocked == s) {
        return false;
    }
    bool open = mp_may_start_store_load(m, now_ms, s, gain);
    m->store_blocked = open ? m->store_blocked : s;
    return open;
}

void
mp_pursue_goal(Mp *m, uint64_t now_ms, Up *u)
{
    const DepModel *d = mp_find_declared(u, u->goal);
    if (!d || now_ms > u->goal_until_ms || u->entry->draining ||
        mp_find_replica(u, u->goal)) {
        drop_goal(u);
        return;
    }
    if (!mp_can_order(u, now_ms)) {
        return;
    }
    if (get_free_mb(u) < (int64_t)d->memory_mb) {
        evict_for_goal(m, now_ms, u);
        return;
    }
    bool from_store;
    mp_get_load_ms(u, d, u->goal, &from_store);
    if (!from_store ||
        mp_may_start_store_load(m, now_ms, u->service, u->goal_gain)) {
        mp_send_order(m, now_ms, u, u->goal, NULL, false);
    }
}

/* ---- choice of an upstream ---------------------------------------------- */

/* Where a new replica of a model could be loaded from a local copy. */
typedef enum {
    COPY_NONE,
    COPY_UNREACHABLE, /* only on upstreams that don't answer at present */
    COPY_REACHABLE    /* on an upstream that answers; it may be busy */
} CopyState;

static CopyState
get_copy_state(const Model *model)
{
    CopyState best = COPY_NONE;
    for (guint i = 0; i < model->copies->len; i++) {
        const Up *u = model->copies->pdata[i];
        if (mp_can_use(u) && (u->unreachable || !mp_find_replica(u, model))) {
            best =
                MAX(best, u->unreachable ? COPY_UNREACHABLE : COPY_REACHABLE);
        }
    }
    return best;
}

/* The weight store is slow and shared.  It is used at once for models without
   usable local copies and for those with a high gain, otherwise only after a
   wait in vain. */
static bool
may_use_store(uint64_t now_ms, const Shortage *w)
{
    CopyState copy = get_copy_state(w->model);
    if (copy == COPY_NONE || w->gain >= STORE_AT_ONCE_GAIN) {
        return true;
    }
    /* An upstream that crashed has restarted before a load from the store
       would end. */
    uint32_t load_ms = w->model->declared ? w->model->declared->load_ms : 0;
    uint64_t wait_ms =
        copy == COPY_REACHABLE
            ? COPY_WAIT_MS
            : MAX(COPY_WAIT_MS, load_ms / UNREACHABLE_WAIT_DIVISOR);
    return w->no_replica && w->model->demand.waiting > 0 &&
           now_ms > w->since_ms + wait_ms;
}

typedef struct {
    Up *up; /* NULL: none */
    double cost;
} Candidate;

static void
consider_upstream(uint64_t now_ms, const Shortage *w, Up *u, Candidate *best)
{
    const DepModel *d = mp_find_declared(u, w->model);
    if (!d || !mp_can_use(u) || u->goal || !u->content_known || u->ordered ||
        u->unreachable || mp_find_replica(u, w->model) ||
        now_ms < MAX(u->quiet_ms, u->rested_ms)) {
        return;
    }
    double cost = compute_load_cost(now_ms, u, w->model, d, w->gain);
    if (cost >= 0 && (!best->up || cost < best->cost)) {
        *best = (Candidate){u, cost};
    }
}

static void
consider_store_loads(Mp *m, uint64_t now_ms, const Shortage *w,
                     Candidate *best)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->ups);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Up *u = v;
        if (u->service && !mp_has_copy(u, w->model) &&
            may_start_store_load(m, now_ms, u->service, w->gain)) {
            consider_upstream(now_ms, w, u, best);
        }
    }
}

static Up *
find_best_upstream(Mp *m, uint64_t now_ms, const Shortage *w)
{
    Candidate best = {NULL, 0};
    for (guint i = 0; i < w->model->copies->len; i++) {
        consider_upstream(now_ms, w, w->model->copies->pdata[i], &best);
    }
    if (may_use_store(now_ms, w)) {
        consider_store_loads(m, now_ms, w, &best);
    }
    return best.up;
}

static void
begin_goal(Mp *m, uint64_t now_ms, Up *u, Model *model, double gain)
{
    mp_set_goal(u, model);
    u->goal_until_ms = now_ms + GOAL_TIMEOUT_MS;
    u->goal_gain = gain;
    model->replicas++;
    mp_pursue_goal(m, now_ms, u);
}

static gint
compare_shortages(gconstpointer a, gconstpointer b)
{
    const Shortage *x = a;
    const Shortage *y = b;
    if (x->gain != y->gain) {
        return x->gain > y->gain ? -1 : 1;
    }
    return x->since_ms < y->since_ms ? -1 : x->since_ms > y->since_ms;
}

/* Callers a second that a model without a replica can't serve.  The rate
   includes callers that are refused at once; otherwise a popular model would
   be loaded after any model for which a single tolerant caller waits. */
static double
get_unserved_rate(const Demand *d, uint64_t now_ms)
{
    return d->waiting + mp_get_rate(d, now_ms);
}

GArray *
mp_list_shortages(const Mp *m, uint64_t now_ms, bool all)
{
    GArray *out = g_array_new(FALSE, FALSE, sizeof(Shortage));
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->models);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Model *model = v;
        const Demand *d = &model->demand;
        if (!all && now_ms < d->next_try_ms) {
            continue;
        }
        uint32_t have = model->replicas;
        Shortage w = {.model = model,
                      .since_ms =
                          d->waiting_since_ms ? d->waiting_since_ms : now_ms,
                      .no_replica = have == 0};
        w.gain = w.no_replica ? get_unserved_rate(d, now_ms)
                              : get_gain(model, now_ms, have);
        if (w.gain > (w.no_replica ? IDLE_MODEL_LOSS : MIN_REPLICA_GAIN)) {
            g_array_append_val(out, w);
        }
    }
    g_array_sort(out, compare_shortages);
    return out;
}

void
mp_place_models(Mp *m, uint64_t now_ms)
{
    g_autoptr(GArray) shortages = mp_list_shortages(m, now_ms, false);
    for (guint i = 0; i < shortages->len; i++) {
        const Shortage *w = &g_array_index(shortages, Shortage, i);
        Up *u = find_best_upstream(m, now_ms, w);
        if (u) {
            begin_goal(m, now_ms, u, w->model, w->gain);
        }
        else {
            w->model->demand.next_try_ms = now_ms + RETRY_INTERVAL_MS;
        }
    }
}

/* ---- streams that go on at one version ---------------------------------- */

/* MODEL is usable, being loaded, or chosen to be on an upstream of VERSION. */
static bool
is_placed_at(Mp *m, const Model *model, const char *version)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->ups);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Up *u = v;
        if (mp_can_use(u) && !u->unreachable &&
            g_strcmp0(u->entry->version, version) == 0 &&
            (u->goal == model || mp_find_replica(u, model))) {
            return true;
        }
    }
    return false;
}

static Up *
find_upstream_at(Mp *m, uint64_t now_ms, const Shortage *w,
                 const char *version)
{
    Candidate best = {NULL, 0};
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->ups);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Up *u = v;
        if (u->service && g_strcmp0(u->entry->version, version) == 0 &&
            (mp_has_copy(u, w->model) ||
             may_start_store_load(m, now_ms, u->service, w->gain))) {
            consider_upstream(now_ms, w, u, &best);
        }
    }
    return best.up;
}

static void
place_version(Mp *m, uint64_t now_ms, const VersionDemand *d)
{
    Shortage w = {.model = d->model,
                  .since_ms = d->since_ms,
                  .no_replica = true,
                  .gain = d->waiting + IDLE_MODEL_LOSS};
    Up *u = find_upstream_at(m, now_ms, &w, d->version);
    if (u) {
        begin_goal(m, now_ms, u, d->model, w.gain);
    }
}

void
mp_place_versions(Mp *m, uint64_t now_ms)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->versions);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const VersionDemand *d = v;
        if (!is_placed_at(m, d->model, d->version)) {
            place_version(m, now_ms, d);
        }
        else if (d->adapter) {
            mp_place_adapter_at(m, now_ms, d);
        }
    }
}

/* ---- prefetching -------------------------------------------------------- */

static bool
has_usable(const GPtrArray *ups)
{
    for (guint i = 0; i < ups->len; i++) {
        if (mp_can_use(ups->pdata[i])) {
            return true;
        }
    }
    return false;
}

bool
mp_is_cached(const Model *model)
{
    return has_usable(model->holders) || has_usable(model->copies) ||
           has_usable(model->goals);
}

/* Load a declared model of which no upstream has a copy, even if an idle model
   with a local copy must be evicted: its first callers then wait for a load
   from disk, not from the weight store. */
static void
prefetch_one(Mp *m, uint64_t now_ms, const DepService *s)
{
    /* Loads on demand take precedence, as they would have to wait for a
       prefetch that occupies the store. */
    bool scarce = m->any_demand && m->store.at_once <= 1;
    uint32_t max_loads =
        m->any_demand ? m->store.at_once / 2 : m->store.at_once;
    if (scarce || mp_count_store_loads(m) >= max_loads ||
        !mp_may_start_store_load(m, now_ms, s, 0)) {
        return;
    }
    GHashTableIter it;
    gpointer k;
    g_hash_table_iter_init(&it, s->models);
    while (g_hash_table_iter_next(&it, &k, NULL)) {
        Model *model = mp_get_model(m, k);
        if (mp_is_cached(model)) {
            continue;
        }
        Shortage w = {
            .model = model, .gain = PREFETCH_GAIN, .since_ms = now_ms};
        Up *u = find_best_upstream(m, now_ms, &w);
        if (u) {
            begin_goal(m, now_ms, u, model, w.gain);
            return;
        }
    }
}

void
mp_prefetch(Mp *m, uint64_t now_ms)
{
    if (!m->params.prefetch || now_ms < m->next_prefetch_ms) {
        return;
    }
    m->next_prefetch_ms = now_ms + PREFETCH_INTERVAL_MS;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->config->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const DepService *s = v;
        if (s->has_models) {
            prefetch_one(m, now_ms, s);
        }
    }
}
