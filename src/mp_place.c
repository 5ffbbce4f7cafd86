#include "mp_int.h"

#include <math.h>
#include <string.h>

/* Between looks for a place for a model that found none. */
#define RETRY_INTERVAL_MS 80
#define PREFETCH_INTERVAL_MS 200
/* A replica stays at least this long: until its first uses are told. */
#define MIN_LIFETIME_MS 450
/* A load is taken for done this much after its stated time. */
#define LOAD_MARGIN_MS 15
/* A refused request would have been at its upstream for about so long. */
#define REFUSED_DURATION_S 1.5
/* Bounds of what is observed of stays: few samples, or a stuck upstream. */
#define MIN_DURATION_S 0.3
#define MAX_DURATION_S 4.
/* A caller that has time for a load from a disk comes late this often after
   all, as the load has to wait for room or for others. */
#define RELOAD_LATE_SHARE 0.2
/* Even a model that nobody asked for lately may be asked for. */
#define IDLE_MODEL_LOSS 0.02
/* Of callers that have no time for a load, the part that would miss a model
   with one replica as its upstream may be lost. */
#define UPSTREAM_LOSS_SHARE 0.05
/* What a replica more must gain beyond what its room costs, in callers a
   second: or two models would take each other's place in turn. */
#define MIN_NET_GAIN 0.3
#define MIN_REPLICA_GAIN 1. /* to look for a place for a replica more at all  \
                             */
/* A load ahead of need: may cost a model that hardly anybody asks for its
   place, never one that callers wait for. */
#define PREFETCH_GAIN 0.5
/* What a place costs in callers a second, it costs for about so long: the
   memory of the rates that tell it. */
#define HORIZON_S 5.
/* An upstream with as many requests as one replica serves well is as good a
   place as an idle one so much later. */
#define SPREAD_PENALTY_S 0.3
/* Nothing is gained by waiting for a copy when so many callers miss it. */
#define STORE_AT_ONCE_GAIN 8.
/* A replica in use makes room for no less: its own callers come later. */
#define MIN_GAIN_IN_USE 16.
/* An unload of an idle replica takes so long: free room goes before it. */
#define IDLE_UNLOAD_S 0.1
#define IDLE_AFTER_MS 100 /* after its last use was told */
#define GOAL_TIMEOUT_MS 4000
/* Upstreams with a copy are waited for so long before the weight store. */
#define COPY_WAIT_MS 1500
/* Those beside an upstream that is away are waited for at least this part of
   a load from the store. */
#define UNREACHABLE_WAIT_DIVISOR 3

/* ---- replicas ----------------------------------------------------------- */

bool
mp_can_use(const Up *u)
{
    return !u->entry->draining && u->service;
}

/* What is on one that can't be reached serves nobody: its callers wait for
   another replica. */
static void
count_replicas_of(const Up *u)
{
    if (!mp_can_use(u) || u->unreached) {
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
        count_replicas_of(v);
    }
}

static int64_t
get_free_mb(const Up *u)
{
    int64_t free_mb = (int64_t)u->service->memory_mb - u->reserved_mb;
    for (guint i = 0; i < u->replicas->len; i++) {
        const Replica *r = u->replicas->pdata[i];
        const DepModel *d = mp_find_declared(u, r->model);
        /* A model that is no longer declared has an unknown size: nothing
           more is loaded beside it. */
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

/* ---- what a replica is worth -------------------------------------------- */

/* Requests there would be at once if none were refused. */
static double
get_offered_load(const Demand *d, uint64_t now_ms)
{
    return d->running + d->waiting +
           mp_get_refused_rate(d, now_ms) * REFUSED_DURATION_S;
}

/* Of these, how many come too late with so many replicas: none while each
   has what it serves well, all with twice that. */
static double
get_late_load(double asked, uint32_t replicas, double capacity)
{
    return asked * CLAMP(asked / replicas / capacity - 1, 0, 1);
}

/* Callers a second that a further replica of a model with REPLICAS, at least
   one, serves in time. */
static double
get_gain(const Model *model, uint64_t now_ms, uint32_t replicas)
{
    const Demand *d = &model->demand;
    double asked = get_offered_load(d, now_ms);
    double gain = get_late_load(asked, replicas, model->capacity) -
                  get_late_load(asked, replicas + 1, model->capacity);
    if (replicas == 1) {
        gain += mp_get_hurried_rate(d, now_ms) * UPSTREAM_LOSS_SHARE;
    }
    return gain;
}

/* Callers a second that come too late without this replica. */
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
    double hurried = mp_get_hurried_rate(d, now_ms);
    double tolerant = MAX(mp_get_rate(d, now_ms) - hurried, 0);
    if (!mp_has_copy(u, r->model)) {
        /* It would come back from the weight store, and be loaded ahead of
           need in its turn: models that have no copy must not push each other
           out without end. */
        return MAX(hurried + tolerant, PREFETCH_GAIN);
    }
    return IDLE_MODEL_LOSS + hurried + tolerant * RELOAD_LATE_SHARE;
}

/* How long requests for it stay at an upstream: as many are there at once as
   come in that time. */
static double
get_duration_s(const Demand *d, uint64_t now_ms)
{
    double rate = mp_get_rate(d, now_ms);
    return rate > 0 ? CLAMP(d->running / rate, MIN_DURATION_S, MAX_DURATION_S)
                    : MIN_DURATION_S;
}

/* What loading something in place of a replica costs: callers a second that
   come too late, and the time until its last request has ended. */
typedef struct {
    double loss;
    double wait_s;
} EvictionCost;

/* One in use makes room only for much: its upstream takes no other order until
   its last request has ended.  False: it makes none for GAIN. */
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

#define MAX_VICTIMS 16 /* for one load; smaller models make no more room */

typedef struct {
    Replica *list[MAX_VICTIMS];
    uint32_t count;
    EvictionCost price; /* of all together */
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

/* One more that makes room for a model whose loading gains GAIN, at the least
   cost; NULL: there is none. */
static Replica *
pick_victim(uint64_t now_ms, const Up *u, double gain, Victims *victims)
{
    Replica *best = NULL;
    EvictionCost price = {0, 0};
    for (guint i = 0; i < u->replicas->len; i++) {
        Replica *r = u->replicas->pdata[i];
        EvictionCost p;
        if (!is_victim(victims, r) &&
            get_eviction_cost(now_ms, u, r, gain, &p) &&
            (!best ||
             get_total_cost(&p, gain) < get_total_cost(&price, gain))) {
            best = r;
            price = p;
        }
    }
    if (!best || victims->count == MAX_VICTIMS) {
        return NULL;
    }
    victims->list[victims->count++] = best;
    victims->price.loss += price.loss;
    victims->price.wait_s = MAX(victims->price.wait_s, price.wait_s);
    return best;
}

/* What it costs to load MODEL on U, in caller seconds; below 0: it can't be,
   or costs others more than it gains. */
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
    const EvictionCost *all = &victims.price;
    if (all->loss > 0 && all->loss + MIN_NET_GAIN > gain) {
        return -1;
    }
    /* Spread: an upstream that serves much already is slower. */
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
    return u->known && !u->ordered && now_ms >= u->retry_ms &&
           now_ms >= u->busy_until_ms && !u->entry->draining;
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
        u->told = false;
    }
}

/* Gateways send nothing more to a victim from now on.  It is unloaded when
   its requests have ended: until then the upstream would take no order. */
static void
make_room(Mp *m, uint64_t now_ms, Up *u)
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
        u->told = false;
    }
    if (is_idle(now_ms, u, r)) {
        mp_send_order(m, now_ms, u, r->model, NULL, true);
    }
}

/* Closed for one model it is closed for all with less to gain, which come
   after it in a round. */
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

/* Work on U's goal: make room, then load. */
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
        make_room(m, now_ms, u);
        return;
    }
    bool from_store;
    mp_get_load_ms(u, d, u->goal, &from_store);
    if (!from_store ||
        mp_may_start_store_load(m, now_ms, u->service, u->goal_gain)) {
        mp_send_order(m, now_ms, u, u->goal, NULL, false);
    }
}

/* ---- places ------------------------------------------------------------- */

typedef enum {
    COPY_NONE,
    COPY_UNREACHABLE, /* beside an upstream that does not answer just now */
    COPY_REACHABLE    /* beside one that does; it may be busy */
} CopyState;

static CopyState
get_copy_state(const Model *model)
{
    CopyState best = COPY_NONE;
    for (guint i = 0; i < model->copies->len; i++) {
        const Up *u = model->copies->pdata[i];
        if (mp_can_use(u) && (u->unreached || !mp_find_replica(u, model))) {
            best = MAX(best, u->unreached ? COPY_UNREACHABLE : COPY_REACHABLE);
        }
    }
    return best;
}

/* The weight store is slow and shared: it is left for models that callers
   wait for in vain, that is whose copies beside upstreams can't be used. */
static bool
may_use_store(uint64_t now_ms, const Shortage *w)
{
    CopyState copy = get_copy_state(w->model);
    if (copy == COPY_NONE || w->gain >= STORE_AT_ONCE_GAIN) {
        return true;
    }
    /* A process that crashed is back before the store could have served. */
    uint32_t load_ms = w->model->declared ? w->model->declared->load_ms : 0;
    uint64_t wait_ms =
        copy == COPY_REACHABLE
            ? COPY_WAIT_MS
            : MAX(COPY_WAIT_MS, load_ms / UNREACHABLE_WAIT_DIVISOR);
    return w->none && w->model->demand.waiting > 0 &&
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
    if (!d || !mp_can_use(u) || u->goal || !u->known || u->ordered ||
        u->unreached || mp_find_replica(u, w->model)) {
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

/* Callers a second that miss a model that nobody holds.  Also those that are
   refused at once count, or a model that many ask for would be loaded after
   each that a single patient caller waits for. */
static double
get_unserved_rate(const Demand *d, uint64_t now_ms)
{
    return d->waiting + mp_get_rate(d, now_ms);
}

/* Models that lack replicas, those with most to gain first; ALL: also those
   for which a place was looked for just now. */
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
                      .none = have == 0};
        w.gain = w.none ? get_unserved_rate(d, now_ms)
                        : get_gain(model, now_ms, have);
        if (w.gain > (w.none ? IDLE_MODEL_LOSS : MIN_REPLICA_GAIN)) {
            g_array_append_val(out, w);
        }
    }
    g_array_sort(out, compare_shortages);
    return out;
}

void
mp_place_models(Mp *m, uint64_t now_ms)
{
    g_autoptr(GArray) wanted = mp_list_shortages(m, now_ms, false);
    for (guint i = 0; i < wanted->len; i++) {
        const Shortage *w = &g_array_index(wanted, Shortage, i);
        Up *u = find_best_upstream(m, now_ms, w);
        if (u) {
            begin_goal(m, now_ms, u, w->model, w->gain);
        }
        else {
            w->model->demand.next_try_ms = now_ms + RETRY_INTERVAL_MS;
        }
    }
}

/* ---- ahead of need ------------------------------------------------------ */

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

/* A declared model that no upstream has a copy of, even where another that
   has its copy beside it must make room: its first callers then wait for a
   disk, not for the weight store. */
static void
prefetch_one(Mp *m, uint64_t now_ms, const DepService *s)
{
    /* Callers' loads go before: what is begun ahead of need holds the store
       for as long as they would wait. */
    bool scarce = m->asked && m->store.at_once <= 1;
    uint32_t most = m->asked ? m->store.at_once / 2 : m->store.at_once;
    if (scarce || mp_count_store_loads(m) >= most ||
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
