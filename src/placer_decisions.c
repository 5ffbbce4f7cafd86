#include "placer_internal.h"

#include <stdio.h>
#include <string.h>

/* ---- counts ------------------------------------------------------------- */

/* Memory of replicas on U that have no record in the log: loads under the
   grant, and residents that were found in a report.  EXCEPT is not counted. */
uint32_t
pl_count_unrecorded(const PlCore *c, const Upstream *u, const char *except)
{
    uint32_t mb = 0;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, u->loads);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Load *l = p;
        if ((l->found || l->granted) && g_strcmp0(l->model, except) != 0 &&
            !pl_find_intent(c, u->id, l->model)) {
            mb += l->memory_mb;
        }
    }
    return mb;
}

/* Upper bound of the memory in use on U: what the log counts, and every load
   that is not in the log yet. */
uint32_t
pl_count_memory(const PlCore *c, const Upstream *u)
{
    uint32_t mb = fold_count_memory(c->fold, c->params.data_centre, u->id);
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, u->loads);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Load *l = p;
        if (!pl_find_intent(c, u->id, l->model)) {
            mb += l->memory_mb;
        }
    }
    return mb;
}

/* A dead engine that is still on the VM list looks the same as a frozen one.
   Its replicas keep counting against the ceiling.  They don't count as usable,
   or requests would wait for them until their deadlines: another replica is
   loaded if the ceiling allows it. */
static bool
is_reachable(const Upstream *u)
{
    return u->missed_polls < MAX_MISSED_POLLS;
}

static Replicas
count_replicas(const PlCore *c, const CfgModel *m)
{
    Replicas n = {
        fold_count_replicas(c->fold, c->params.data_centre, m->name) +
            pl_count_possible(c, m),
        0, NULL};
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Upstream *u = p;
        Load *l = g_hash_table_lookup(u->loads, m->name);
        if (!l) {
            continue;
        }
        n.counted += !pl_find_intent(c, u->id, m->name);
        n.usable += l->phase <= LOAD_LOADED && !u->leaving && !u->gone &&
                    is_reachable(u);
        if (l->phase == LOAD_LINGERING && pl_is_settled(c, u) && !u->gone &&
            !u->leaving && l->memory_mb == m->memory_mb) {
            n.lingering = l;
        }
    }
    return n;
}

typedef struct {
    uint32_t store; /* loads in progress from the weight store */
    uint32_t adapters;
} Transit;

static Transit
count_transit(const PlCore *c, const CfgSet *cfg)
{
    Transit t = {0, 0};
    g_autoptr(GPtrArray) list = pl_list_loads(c);
    for (guint i = 0; i < list->len; i++) {
        const Load *l = list->pdata[i];
        const CfgModel *m = cfg_find_model(cfg, l->model);
        if (l->phase >= LOAD_LOADED || l->found) {
            continue;
        }
        t.adapters += m && m->base;
        t.store += l->from_store;
    }
    return t;
}

/* ---- choice ------------------------------------------------------------- */

static bool
is_base_loaded(const Upstream *u, const char *base)
{
    const Load *l = g_hash_table_lookup(u->loads, base);
    return l && l->phase == LOAD_LOADED;
}

static bool
can_take(const PlCore *c, const Upstream *u, const CfgModel *m)
{
    return !u->gone && !u->leaving && pl_is_settled(c, u) && is_reachable(u) &&
           strcmp(u->deployment, m->upstreams) == 0 &&
           !g_hash_table_contains(u->loads, m->name) &&
           (!m->base || is_base_loaded(u, m->base));
}

/* Checkpoint tier: 0 remote, 1 disk, 2 memory.  Reports and cache events
   are delayed and incomplete, so this is a hint for the choice only. */
static int
get_tier(const Upstream *u, const char *model)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(u->tiers, model));
}

/* Higher is better: by checkpoint tier, then free memory, then few requests
   in flight. */
static int64_t
score_upstream(const PlCore *c, const Upstream *u, const CfgModel *m)
{
    int64_t free_mb = (int64_t)u->capacity_mb - pl_count_memory(c, u);
    return ((int64_t)get_tier(u, m->name) << 40) + (free_mb << 8) -
           (int64_t)MIN(u->inflight, 255);
}

/* The best upstream for M with enough free memory or, with ANY_ROOM, enough
   capacity; NULL if there is none. */
static Upstream *
choose_upstream(PlCore *c, const CfgModel *m, bool any_room)
{
    Upstream *best = NULL;
    int64_t best_score = INT64_MIN;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Upstream *u = p;
        if (!can_take(c, u, m) || m->memory_mb > u->capacity_mb) {
            continue;
        }
        if (!any_room &&
            pl_count_memory(c, u) + m->memory_mb > u->capacity_mb) {
            continue;
        }
        int64_t score = score_upstream(c, u, m);
        if (!best || score > best_score ||
            (score == best_score && strcmp(u->id, best->id) < 0)) {
            best = u;
            best_score = score;
        }
    }
    return best;
}

/* Unique: the generator is seeded with the node's name, which differs for each
   run of each process. */
static void
make_load_id(PlCore *c, Load *l)
{
    unsigned long long low = bg_next_random(&c->rng);
    unsigned long long high = bg_next_random(&c->rng);
    snprintf(l->load_id, sizeof(l->load_id), "%016llx%016llx", high, low);
}

static void
note_start(PlCore *c, Load *l, const CfgModel *m, uint64_t now_ms)
{
    l->from_store = !m->base && get_tier(l->at, m->name) == 0;
    if (l->from_store) {
        c->store_start_ms = now_ms;
    }
}

static Load *
start_load(PlCore *c, Upstream *u, const CfgModel *m, uint64_t now_ms)
{
    Load *l = pl_add_load(u, m->name, LOAD_RECORDING, now_ms);
    make_load_id(c, l);
    l->boot = g_strdup(u->boot);
    l->memory_mb = m->memory_mb;
    l->next_try_ms = now_ms + RECORD_RETRY_MS;
    note_start(c, l, m, now_ms);
    pl_append_intent(c, l, m->replicas, m->base != NULL);
    bg_count("placer_intents_total", 1);
    return l;
}

/* Load a lingering replica again on the same upstream, under the record that
   still counts it.  A new intent first opens that record for this epoch. */
static void
restart_load(PlCore *c, Load *l, const CfgModel *m, uint64_t now_ms)
{
    pl_set_phase(l, LOAD_RECORDING, now_ms);
    l->next_try_ms = now_ms + RECORD_RETRY_MS;
    l->closed_recorded = false;
    note_start(c, l, m, now_ms);
    pl_append_intent(c, l, m->replicas, m->base != NULL);
}

/* ---- demand ------------------------------------------------------------- */

typedef struct {
    uint32_t waiting;
    uint32_t inflight;
    uint64_t deadline_ms; /* earliest */
    uint32_t priority;    /* highest */
} Demand;

static Demand
merge_demand(const Model *m, uint64_t now_ms)
{
    Demand d = {0, 0, UINT64_MAX, 0};
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, m->routers);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const RouterDemand *w = p;
        if (now_ms - w->seen_ms > DEMAND_MAX_AGE_MS) {
            continue;
        }
        d.waiting += w->waiting;
        d.inflight += w->inflight;
        if (w->waiting) {
            d.deadline_ms = MIN(d.deadline_ms, w->deadline_ms);
            d.priority = MAX(d.priority, w->priority);
        }
    }
    return d;
}

static RouterDemand *
get_router_demand(Model *m, const char *node)
{
    RouterDemand *w = g_hash_table_lookup(m->routers, node);
    if (!w) {
        w = g_new0(RouterDemand, 1);
        g_hash_table_insert(m->routers, g_strdup(node), w);
    }
    return w;
}

static RouterDemand *
note_use(PlCore *c, const char *model, const char *from, uint64_t now_ms)
{
    Model *m = pl_get_model(c, model);
    if (m->last_used_ms && now_ms - m->last_used_ms > MIN_GAP_MS) {
        keep_add_gap(&m->gaps, now_ms - m->last_used_ms);
    }
    m->last_used_ms = now_ms;
    RouterDemand *w = get_router_demand(m, from);
    w->seen_ms = now_ms;
    return w;
}

void
pl_on_demand(PlCore *c, uint64_t now_ms, const char *from, const Bg__Demand *d)
{
    GHashTableIter it;
    gpointer p;
    /* Each message carries the whole demand of its router: there is none for
       the models that it omits. */
    g_hash_table_iter_init(&it, c->models);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        RouterDemand *w = g_hash_table_lookup(((Model *)p)->routers, from);
        if (w) {
            w->waiting = 0;
            w->inflight = 0;
        }
    }
    for (size_t i = 0; i < d->n_wants; i++) {
        RouterDemand *w = note_use(c, d->wants[i]->model, from, now_ms);
        w->waiting = d->wants[i]->waiting;
        w->deadline_ms = now_ms + d->wants[i]->slack_ms;
        w->priority = d->wants[i]->priority;
    }
    for (size_t i = 0; i < d->n_usage; i++) {
        RouterDemand *w = note_use(c, d->usage[i]->model, from, now_ms);
        w->inflight = d->usage[i]->inflight;
    }
}

/* ---- decisions ---------------------------------------------------------- */

typedef struct {
    const CfgModel *cfg;
    Model *model;
    Demand demand;
    int64_t rank; /* lower goes first */
} ModelDemand;

/* By deadline slack, reduced for priority and increased for model size.  The
   time that requests have waited is subtracted in full, so that a steady
   stream of urgent demand cannot starve other models. */
static int64_t
rank_model(const ModelDemand *w, uint64_t now_ms)
{
    uint64_t slack_ms =
        w->demand.deadline_ms > now_ms ? w->demand.deadline_ms - now_ms : 0;
    return (int64_t)MIN(slack_ms, 600000) -
           (int64_t)w->demand.priority * PRIORITY_SLACK_MS +
           w->cfg->memory_mb / MB_PER_SLACK_MS -
           (int64_t)(now_ms - w->model->demand_since_ms);
}

static int
compare_ranks(gconstpointer a, gconstpointer b)
{
    const ModelDemand *x = a;
    const ModelDemand *y = b;
    if (x->rank != y->rank) {
        return x->rank < y->rank ? -1 : 1;
    }
    return strcmp(x->cfg->name, y->cfg->name);
}

static GArray *
list_waiting_models(PlCore *c, const CfgSet *cfg, uint64_t now_ms)
{
    GArray *list = g_array_new(FALSE, TRUE, sizeof(ModelDemand));
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->models);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Model *m = p;
        ModelDemand w = {cfg_find_model(cfg, m->name), m,
                         merge_demand(m, now_ms), 0};
        if (!w.cfg || w.demand.waiting == 0) {
            m->demand_since_ms = 0;
            continue;
        }
        m->demand_since_ms = m->demand_since_ms ? m->demand_since_ms : now_ms;
        w.rank = rank_model(&w, now_ms);
        g_array_append_val(list, w);
    }
    g_array_sort(list, compare_ranks);
    return list;
}

static bool
is_adapter_base(const CfgSet *cfg, const Load *l)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, l->at->loads);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const CfgModel *m = cfg_find_model(cfg, ((Load *)p)->model);
        if (m && m->base && strcmp(m->base, l->model) == 0) {
            return true;
        }
    }
    return false;
}

/* Whether L may be unloaded: it is loaded and recorded as loaded, no router
   has requests waiting or in flight for its model, and it is the base of no
   adapter on that upstream.  On a leaving upstream demand is not considered:
   routers send no more requests to it, and the upstream refuses the unload
   while a request is running. */
static bool
is_droppable(PlCore *c, const CfgSet *cfg, const Load *l, uint64_t now_ms)
{
    if (l->phase != LOAD_LOADED || !l->loaded_recorded ||
        is_adapter_base(cfg, l)) {
        return false;
    }
    if (l->at->leaving) {
        return now_ms >= l->next_try_ms;
    }
    Demand d = merge_demand(pl_get_model(c, l->model), now_ms);
    return d.waiting == 0 && d.inflight == 0;
}

static uint64_t
get_last_use(PlCore *c, const Load *l)
{
    return MAX(l->last_used_ms, pl_get_model(c, l->model)->last_used_ms);
}

/* The next published residency omits L, so that routers stop using it. */
static void
start_unload(Load *l, uint64_t now_ms)
{
    pl_set_phase(l, LOAD_UNLOADING, now_ms);
}

static uint64_t
get_keep_ms(PlCore *c, const CfgModel *m)
{
    if (c->params.keep_policy == KEEP_LRU) {
        return UINT64_MAX;
    }
    if (c->params.keep_policy == KEEP_FIXED) {
        return c->params.keep_fixed_ms;
    }
    double cold_cost = m->cold_second_cost * (double)m->load_ms / 1000.0;
    double idle_cost = MAX(m->idle_hour_cost, 0.001) / 3600e3;
    uint64_t keep_ms =
        keep_choose_ms(&pl_get_model(c, m->name)->gaps, cold_cost, idle_cost);
    return CLAMP(keep_ms, c->params.keep_min_ms, KEEP_MAX_MS);
}

/* Idle time as a fraction of the keep time; the replica with the highest is
   evicted first. */
static double
get_staleness(PlCore *c, const CfgSet *cfg, const Load *l, uint64_t now_ms)
{
    const CfgModel *m = cfg_find_model(cfg, l->model);
    double idle_ms = (double)(now_ms - get_last_use(c, l));
    uint64_t keep_ms = m ? get_keep_ms(c, m) : 0;
    return idle_ms / (double)MAX(MIN(keep_ms, KEEP_MAX_MS), 1);
}

/* Evict an unused replica from U.  True if one is being unloaded or will be
   evictable later: a replica is kept for at least its load time, so that two
   models do not evict each other in turn. */
static bool
evict_one(PlCore *c, const CfgSet *cfg, Upstream *u, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list = pl_list_loads_at(u);
    Load *victim = NULL;
    bool young = false;
    for (guint i = 0; i < list->len; i++) {
        Load *l = list->pdata[i];
        if (l->phase == LOAD_UNLOADING || l->phase == LOAD_SETTLING) {
            return true;
        }
        if (!is_droppable(c, cfg, l, now_ms)) {
            continue;
        }
        const CfgModel *m = cfg_find_model(cfg, l->model);
        if (m && now_ms - l->phase_ms < m->load_ms) {
            young = true;
        }
        else if (!victim || get_staleness(c, cfg, l, now_ms) >
                                get_staleness(c, cfg, victim, now_ms)) {
            victim = l;
        }
    }
    if (victim) {
        start_unload(victim, now_ms);
        bg_count("placer_evictions_total", 1);
    }
    return victim != NULL || young;
}

/* Have routers refuse all waiting requests for the model. */
static void
refuse_model(PlCore *c, const ModelDemand *w, uint64_t retry_after_ms,
             const char *reason, uint64_t now_ms)
{
    if (now_ms - w->model->refused_ms < ORDER_RETRY_MS) {
        return;
    }
    w->model->refused_ms = now_ms;
    bg_count("placer_wants_refused_total", 1);
    c->out.refuse(c->out.ctx, w->cfg->name, retry_after_ms, reason);
}

/* Load under the standing grant while the log is unreachable. */
static void
place_granted(PlCore *c, const ModelDemand *w, const Replicas *n,
              uint64_t now_ms)
{
    const FoldGrant *g = pl_find_own_grant(c);
    const char *id = g ? pl_pick_grant_upstream(g, w->cfg->upstreams,
                                                pl_get_grant_key(w->cfg))
                       : NULL;
    Upstream *u = id ? g_hash_table_lookup(c->upstreams, id) : NULL;
    bool fits = u && u->fenced && u->confirmed && can_take(c, u, w->cfg) &&
                pl_count_memory(c, u) + w->cfg->memory_mb <= u->capacity_mb;
    if (!fits) {
        /* The base of an adapter may still be loading there. */
        if (n->usable == 0 && !(w->cfg->base && u && u->fenced)) {
            refuse_model(c, w, LOG_UNREACHABLE_RETRY_AFTER_MS,
                         "the log is away and the model is not loaded",
                         now_ms);
        }
        return;
    }
    Load *l = pl_add_load(u, w->cfg->name, LOAD_ORDERING, now_ms);
    make_load_id(c, l);
    l->boot = g_strdup(u->boot);
    l->memory_mb = w->cfg->memory_mb;
    l->granted = true;
    note_start(c, l, w->cfg, now_ms);
    bg_count("placer_granted_loads_total", 1);
    bg_log(BG_WARN, "place",
           "Log unreachable: loading %s on %s under the grant.", w->cfg->name,
           u->id);
}

/* Whether loading M now keeps to this data centre's share of the limits for
   loads from the store and for adapters. */
static bool
has_budget(const PlCore *c, const CfgSet *cfg, const CfgModel *m, int tier,
           uint64_t now_ms)
{
    Transit t = count_transit(c, cfg);
    if (m->base) {
        return t.adapters < c->params.max_adapters;
    }
    if (tier > 0) {
        return true;
    }
    return t.store < c->params.max_loads &&
           (c->store_start_ms == 0 ||
            now_ms - c->store_start_ms >= c->params.load_gap_ms);
}

static void
refuse_if_late(PlCore *c, const ModelDemand *w, uint64_t start_ms,
               uint64_t now_ms)
{
    if (start_ms + w->cfg->load_ms > w->demand.deadline_ms) {
        refuse_model(c, w, start_ms + w->cfg->load_ms - now_ms,
                     "loads of the model fail", now_ms);
    }
}

static void
place_new(PlCore *c, const CfgSet *cfg, ModelDemand *w, const Replicas *n,
          uint64_t now_ms)
{
    Upstream *u = choose_upstream(c, w->cfg, false);
    if (u) {
        if (has_budget(c, cfg, w->cfg, get_tier(u, w->cfg->name), now_ms)) {
            start_load(c, u, w->cfg, now_ms);
        }
        return;
    }
    u = choose_upstream(c, w->cfg, true);
    bool coming = u && evict_one(c, cfg, u, now_ms);
    if (!coming && n->usable == 0 && u) {
        refuse_model(c, w, NO_ROOM_RETRY_AFTER_MS, "no room for the model",
                     now_ms);
    }
}

static void
place_model(PlCore *c, const CfgSet *cfg, ModelDemand *w, uint64_t now_ms)
{
    Replicas n = count_replicas(c, w->cfg);
    uint32_t asked =
        1 + (w->demand.waiting - 1) / MAX(c->params.per_replica, 1);
    if (n.usable >= MIN(asked, w->cfg->replicas)) {
        return;
    }
    if (now_ms < w->model->next_load_ms) {
        if (n.usable == 0) {
            refuse_if_late(c, w, w->model->next_load_ms, now_ms);
        }
        return;
    }
    if (n.lingering && c->log_reachable) {
        if (has_budget(c, cfg, w->cfg, 0, now_ms)) {
            restart_load(c, n.lingering, w->cfg, now_ms);
        }
    }
    else if (n.counted >= w->cfg->replicas) {
        return; /* at the ceiling, though not all replicas are usable */
    }
    else if (!c->log_reachable) {
        place_granted(c, w, &n, now_ms);
    }
    else {
        place_new(c, cfg, w, &n, now_ms);
    }
}

/* Place the base of an adapter, which must be loaded first. */
static void
place_base(PlCore *c, const CfgSet *cfg, ModelDemand *w, uint64_t now_ms)
{
    ModelDemand base = *w;
    base.cfg = cfg_find_model(cfg, w->cfg->base);
    base.model = pl_get_model(c, w->cfg->base);
    base.model->last_used_ms = now_ms;
    if (base.cfg) {
        place_model(c, cfg, &base, now_ms);
    }
}

/* Unload idle replicas.  Not without the log: the memory could not be recorded
   as free, and a successor may already use the replica. */
static void
release_idle(PlCore *c, const CfgSet *cfg, uint64_t now_ms)
{
    if (!c->log_reachable) {
        return;
    }
    g_autoptr(GPtrArray) list = pl_list_loads(c);
    for (guint i = 0; i < list->len; i++) {
        Load *l = list->pdata[i];
        const CfgModel *m = cfg_find_model(cfg, l->model);
        uint64_t keep_ms = m && !l->at->leaving ? get_keep_ms(c, m) : 0;
        if (now_ms - get_last_use(c, l) > keep_ms && pl_is_settled(c, l->at) &&
            is_droppable(c, cfg, l, now_ms)) {
            start_unload(l, now_ms);
            bg_count("placer_idle_releases_total", 1);
        }
    }
}

static uint32_t
get_ceiling(const CfgModel *m)
{
    return m ? m->replicas : 0;
}

/* Send or repeat the record or order that L's phase requires. */
static void
advance_load(PlCore *c, const CfgSet *cfg, Load *l, uint64_t now_ms)
{
    Upstream *u = l->at;
    const CfgModel *m = cfg_find_model(cfg, l->model);
    if (l->order_out || now_ms < l->next_try_ms ||
        (!pl_is_settled(c, u) && l->phase != LOAD_SETTLING)) {
        return;
    }
    bool unsafe = !u->fenced && l->unknown > 0 && !l->seen_absent;
    bool unrecorded = !pl_find_intent(c, u->id, l->model);
    l->next_try_ms = now_ms + ORDER_RETRY_MS;
    if (l->phase == LOAD_RECORDING || (l->granted && unrecorded)) {
        l->next_try_ms = now_ms + RECORD_RETRY_MS;
        if (c->log_reachable) {
            pl_append_intent(c, l, get_ceiling(m), m && m->base);
        }
    }
    if (l->phase == LOAD_ORDERING && !unsafe) {
        pl_send_order(c, PL_LOAD, u, m, l);
    }
    else if (l->phase == LOAD_UNLOADING) {
        pl_send_order(c, PL_UNLOAD, u, m, l);
    }
    else if (l->phase == LOAD_SETTLING && c->log_reachable) {
        l->next_try_ms = now_ms + RECORD_RETRY_MS;
        pl_append_settle(c, u->id, l->model, l->load_id,
                         l->ended ? SETTLE_ENDED : SETTLE_ABSENT);
    }
    else if (l->phase == LOAD_LINGERING && u->fenced && l->unknown > 0 &&
             pl_get_fence(c) <= l->order_fence && c->log_reachable) {
        /* Any record advances the log's offset, and so the fencing token. */
        l->next_try_ms = now_ms + RECORD_RETRY_MS;
        pl_append_intent(c, l, get_ceiling(m), m && m->base);
    }
}

void
pl_decide(PlCore *c, uint64_t now_ms)
{
    if (!c->owner || c->draining) {
        return;
    }
    CfgSet *cfg = fold_get_config(c->fold);
    g_autoptr(GArray) wanted = list_waiting_models(c, cfg, now_ms);
    for (guint i = 0; i < wanted->len; i++) {
        ModelDemand *w = &g_array_index(wanted, ModelDemand, i);
        if (w->cfg->base) {
            place_base(c, cfg, w, now_ms);
        }
        place_model(c, cfg, w, now_ms);
    }
    release_idle(c, cfg, now_ms);
    g_autoptr(GPtrArray) list = pl_list_loads(c);
    for (guint i = 0; i < list->len; i++) {
        advance_load(c, cfg, list->pdata[i], now_ms);
    }
    cfg_unref(cfg);
}

/* ---- upstreams that no longer exist ------------------------------------- */

/* Settle the loads of an upstream whose VM is presumed not to exist.  Absence
   from the VM list alone is no proof: the list lags, and a frozen VM may be
   missing from it.  Off the list and silent for gone_ms is taken as the end of
   the VM.  If it returns, it is fenced and its report counted before anything
   is placed there. */
void
pl_settle_lost(PlCore *c, Upstream *u, uint64_t now_ms)
{
    if (!pl_is_lost(c, u) || !c->log_reachable) {
        return;
    }
    g_autoptr(GPtrArray) list = pl_list_loads_at(u);
    for (guint i = 0; i < list->len; i++) {
        Load *l = list->pdata[i];
        if (l->phase == LOAD_SETTLING && now_ms < l->next_try_ms) {
            continue;
        }
        if (!pl_find_intent(c, u->id, l->model)) {
            pl_remove_load(l);
            continue;
        }
        pl_set_phase(l, LOAD_SETTLING, now_ms);
        l->ended = true;
        l->next_try_ms = now_ms + RECORD_RETRY_MS;
        pl_append_settle(c, u->id, l->model, l->load_id, SETTLE_ENDED);
    }
}

gboolean
pl_is_forgettable(gpointer id, gpointer p, gpointer ctx)
{
    (void)id;
    const PlCore *c = ctx;
    const Upstream *u = p;
    return u->gone && !u->dirty && !u->poll_out && !u->fence_out &&
           c->now_ms - u->gone_ms > FORGET_GONE_MS + c->params.gone_ms &&
           g_hash_table_size(u->loads) == 0;
}
