#include "model_placement_internal.h"

#include <math.h>
#include <string.h>

#define IDLE_RATE 0.0005  /* arrivals a second; below it a model is idle */
#define IDLE_CHECK_MS 500 /* between checks for idle models */
/* Time constants of the exponential decay of rates. */
#define RATE_WINDOW_MS 5000.
#define REFUSED_WINDOW_MS 2000.

/* ---- rates -------------------------------------------------------------- */

/* RATE, last updated at THEN_MS, as of NOW_MS. */
static double
decay(double rate, uint64_t now_ms, uint64_t then_ms, double window_ms)
{
    return rate > 0 ? rate * exp(-(double)(now_ms - then_ms) / window_ms) : 0;
}

double
mp_get_rate(const Demand *d, uint64_t now_ms)
{
    return decay(d->rate, now_ms, d->rated_ms, RATE_WINDOW_MS);
}

double
mp_get_tight_deadline_rate(const Demand *d, uint64_t now_ms)
{
    return decay(d->tight_deadline, now_ms, d->rated_ms, RATE_WINDOW_MS);
}

double
mp_get_refused_rate(const Demand *d, uint64_t now_ms)
{
    return decay(d->refused, now_ms, d->refused_ms, REFUSED_WINDOW_MS);
}

static void
add_refused(Demand *d, uint64_t now_ms, uint32_t count)
{
    d->refused =
        mp_get_refused_rate(d, now_ms) + count * 1000. / REFUSED_WINDOW_MS;
    d->refused_ms = now_ms;
}

static void
add_arrivals(Demand *d, uint64_t now_ms, uint32_t count,
             uint32_t tight_deadline)
{
    d->tight_deadline = mp_get_tight_deadline_rate(d, now_ms) +
                        tight_deadline * 1000. / RATE_WINDOW_MS;
    d->rate = mp_get_rate(d, now_ms) + count * 1000. / RATE_WINDOW_MS;
    d->rated_ms = now_ms;
}

static void
set_levels(Demand *d, uint64_t now_ms, uint32_t waiting, uint32_t running)
{
    d->waiting = waiting;
    d->running = running;
    if (waiting == 0) {
        d->waiting_since_ms = 0;
    }
    else if (d->waiting_since_ms == 0) {
        d->waiting_since_ms = now_ms;
    }
}

/* ---- demand ------------------------------------------------------------- */

void
mp_free_adapter_demand(void *demand)
{
    g_free(((AdapterDemand *)demand)->name);
    g_free(demand);
}

Demand *
mp_find_adapter_demand(const Mp *m, const Model *model, const char *adapter)
{
    g_autofree char *key = dep_make_key(model->name, adapter);
    AdapterDemand *w = g_hash_table_lookup(m->adapters, key);
    return w ? &w->demand : NULL;
}

static Demand *
get_adapter_demand(Mp *m, Model *model, const char *adapter)
{
    g_autofree char *key = dep_make_key(model->name, adapter);
    AdapterDemand *w = g_hash_table_lookup(m->adapters, key);
    if (!w) {
        w = g_new0(AdapterDemand, 1);
        w->model = model;
        w->name = g_strdup(adapter);
        g_hash_table_insert(m->adapters, g_steal_pointer(&key), w);
    }
    return &w->demand;
}

void
mp_free_version_demand(void *demand)
{
    VersionDemand *d = demand;
    g_free(d->adapter);
    g_free(d->version);
    g_free(d);
}

static void
apply_version_demand(Mp *m, uint64_t now_ms, const DmModelDemand *w)
{
    g_autofree char *name = dep_make_key(w->model, w->adapter);
    g_autofree char *key = g_strconcat(name, " ", w->version, NULL);
    if (w->waiting == 0) {
        g_hash_table_remove(m->versions, key);
        return;
    }
    VersionDemand *d = g_hash_table_lookup(m->versions, key);
    if (!d) {
        d = g_new0(VersionDemand, 1);
        d->model = mp_get_model(m, w->model);
        d->adapter = g_strdup(w->adapter);
        d->version = g_strdup(w->version);
        d->since_ms = now_ms;
        g_hash_table_insert(m->versions, g_steal_pointer(&key), d);
    }
    d->waiting = w->waiting;
}

static void
apply_model_demand(Mp *m, uint64_t now_ms, const DmModelDemand *w)
{
    if (w->version) {
        apply_version_demand(m, now_ms, w);
        return;
    }
    Model *model = mp_get_model(m, w->model);
    Demand *d = &model->demand;
    if (w->adapter) {
        d = get_adapter_demand(m, model, w->adapter);
    }
    set_levels(d, now_ms, w->waiting, w->running);
    if (w->arrived > 0) {
        add_arrivals(&model->demand, now_ms, w->arrived, w->tight_deadline);
    }
    if (w->arrived > 0 && w->adapter) {
        add_arrivals(d, now_ms, w->arrived, w->tight_deadline);
    }
    if (w->refused > 0) {
        add_refused(&model->demand, now_ms, w->refused);
    }
}

/* ---- capacity of a replica ---------------------------------------------- */

/* Slow requests at a load below this have another cause than the load. */
#define MIN_CAPACITY 10.
#define MAX_CAPACITY 64.
/* Running requests of a model, in the mean; fewer are too small a sample. */
#define MIN_RUNNING 3.
#define ESTIMATE_INTERVAL_MS 1000
/* Share of slow requests above which a replica is overloaded. */
#define OVERLOAD_SLOW_SHARE 0.15
/* Share of slow requests up to which its capacity may be raised. */
#define HEALTHY_SLOW_SHARE 0.05
#define DECREASE_FACTOR 0.8 /* of the load that was too high */
#define INCREASE_FACTOR 1.1 /* of the load that was served in time */
#define LOGGED_CHANGE 0.15  /* relative change that is logged */
#define DEFAULT_WEIGHT 0.05 /* of one estimate in the one for new models */

/* The estimate follows the share of slow requests.  That reflects the lengths
   of prompts and answers and the other work on the machine, which differ by
   model, site and hour. */
static void
estimate_capacity(Mp *m, Model *model, uint64_t passed_ms)
{
    double running = model->running_integral_ms / (double)passed_ms;
    if (running < MIN_RUNNING) {
        return;
    }
    double slow = model->slow_integral_ms / model->running_integral_ms;
    double load = running / MAX(model->replicas, 1);
    double before = model->capacity;
    if (slow > OVERLOAD_SLOW_SHARE) {
        model->capacity = MIN(model->capacity, load) * DECREASE_FACTOR;
    }
    else if (slow <= HEALTHY_SLOW_SHARE &&
             load * INCREASE_FACTOR > model->capacity) {
        model->capacity = load * INCREASE_FACTOR;
    }
    model->capacity = CLAMP(model->capacity, MIN_CAPACITY, MAX_CAPACITY);
    if (fabs(model->capacity - before) > before * LOGGED_CHANGE) {
        m->out.capacity_estimated(m->out.ctx, model->name, model->capacity,
                                  slow, load, model->replicas);
    }
    m->capacity += DEFAULT_WEIGHT * (model->capacity - m->capacity);
}

static void
integrate_model(Model *model, uint64_t now_ms)
{
    double passed_ms = (double)(now_ms - model->integrated_ms);
    model->slow_integral_ms += passed_ms * model->slow;
    model->running_integral_ms += passed_ms * model->demand.running;
    model->integrated_ms = now_ms;
}

void
mp_estimate_capacity(Mp *m, uint64_t now_ms)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->models);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Model *model = v;
        integrate_model(model, now_ms);
        uint64_t passed_ms = now_ms - model->estimated_ms;
        if (passed_ms < ESTIMATE_INTERVAL_MS) {
            continue;
        }
        estimate_capacity(m, model, passed_ms);
        model->estimated_ms = now_ms;
        model->slow_integral_ms = 0;
        model->running_integral_ms = 0;
    }
}

/* ---- requests at upstreams ---------------------------------------------- */

static void
free_use(void *p)
{
    Use *u = p;
    g_free(u->model);
    g_free(u->adapter);
    g_free(u);
}

void
mp_free_upstream_load(void *load)
{
    g_ptr_array_free(((UpstreamLoad *)load)->uses, TRUE);
    g_free(load);
}

UpstreamLoad *
mp_get_upstream_load(Mp *m, const char *upstream)
{
    UpstreamLoad *l = g_hash_table_lookup(m->loads, upstream);
    if (!l) {
        l = g_new0(UpstreamLoad, 1);
        l->uses = g_ptr_array_new_with_free_func(free_use);
        g_hash_table_insert(m->loads, g_strdup(upstream), l);
    }
    return l;
}

static Use *
find_use(const UpstreamLoad *l, const char *model, const char *adapter)
{
    for (guint i = 0; i < l->uses->len; i++) {
        Use *u = l->uses->pdata[i];
        if (strcmp(u->model, model) == 0 &&
            g_strcmp0(u->adapter, adapter) == 0) {
            return u;
        }
    }
    return NULL;
}

static Use *
get_use(UpstreamLoad *l, const char *model, const char *adapter)
{
    Use *u = find_use(l, model, adapter);
    if (!u) {
        u = g_new0(Use, 1);
        u->model = g_strdup(model);
        u->adapter = g_strdup(adapter);
        g_ptr_array_add(l->uses, u);
    }
    return u;
}

/* The end of a use counts as well: the replica is idle from then on. */
static void
note_used(const Mp *m, uint64_t now_ms, const DmUse *use)
{
    const Up *u = g_hash_table_lookup(m->ups, use->upstream);
    const Model *model = g_hash_table_lookup(m->models, use->model);
    Replica *r = u && model ? mp_find_replica(u, model) : NULL;
    if (!r) {
        return;
    }
    r->used_ms = MAX(r->used_ms, now_ms);
    for (guint i = 0; use->adapter && i < r->adapters->len; i++) {
        Adapter *a = r->adapters->pdata[i];
        if (strcmp(a->name, use->adapter) == 0) {
            a->used_ms = MAX(a->used_ms, now_ms);
        }
    }
}

static void
apply_use(Mp *m, uint64_t now_ms, const DmUse *use)
{
    UpstreamLoad *l = mp_get_upstream_load(m, use->upstream);
    Use *u = get_use(l, use->model, use->adapter);
    l->running += use->running - u->running;
    l->queued += use->queued - u->queued;
    mp_get_model(m, use->model)->slow += use->slow - u->slow;
    u->running = use->running;
    u->queued = use->queued;
    u->slow = use->slow;
    l->queued_since_ms = l->queued == 0       ? 0
                         : l->queued_since_ms ? l->queued_since_ms
                                              : now_ms;
    note_used(m, now_ms, use);
    if (u->running == 0) {
        g_ptr_array_remove_fast(l->uses, u);
    }
}

/* A request for an adapter uses its model as well. */
bool
mp_is_in_use(const Up *u, const Model *model, const char *adapter)
{
    for (guint i = 0; i < u->load->uses->len; i++) {
        const Use *x = u->load->uses->pdata[i];
        if (strcmp(x->model, model->name) == 0 &&
            (!adapter || g_strcmp0(x->adapter, adapter) == 0)) {
            return true;
        }
    }
    return false;
}

/* ---- updates ------------------------------------------------------------ */

static void
clear_levels(Mp *m, uint64_t now_ms)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->models);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        set_levels(&((Model *)v)->demand, now_ms, 0, 0);
        ((Model *)v)->slow = 0;
    }
    g_hash_table_remove_all(m->versions);
    g_hash_table_iter_init(&it, m->adapters);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        set_levels(&((AdapterDemand *)v)->demand, now_ms, 0, 0);
    }
    g_hash_table_iter_init(&it, m->loads);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        UpstreamLoad *l = v;
        g_ptr_array_set_size(l->uses, 0);
        l->running = 0;
        l->queued = 0;
        l->queued_since_ms = 0;
    }
}

void
mp_on_demand(Mp *m, uint64_t now_ms, const DmDemand *sums)
{
    if (sums->whole) {
        clear_levels(m, now_ms);
    }
    for (guint i = 0; i < sums->model_demands->len; i++) {
        apply_model_demand(m, now_ms, sums->model_demands->pdata[i]);
    }
    for (guint i = 0; i < sums->uses->len; i++) {
        apply_use(m, now_ms, sums->uses->pdata[i]);
    }
    for (guint i = 0; i < sums->answer_starts->len; i++) {
        const DmAnswerStarts *b = sums->answer_starts->pdata[i];
        UpstreamLoad *l = mp_get_upstream_load(m, b->upstream);
        l->answer_starts += b->count;
        l->last_start_ms = now_ms;
    }
}

static bool
has_demand(const Demand *d, uint64_t now_ms)
{
    return d->waiting > 0 || mp_get_rate(d, now_ms) >= IDLE_RATE;
}

static gboolean
is_idle_adapter(gpointer key, gpointer demand, gpointer now_ms)
{
    (void)key;
    return !has_demand(&((AdapterDemand *)demand)->demand,
                       *(uint64_t *)now_ms);
}

static gboolean
is_idle_load(gpointer upstream, gpointer load, gpointer mp)
{
    return ((UpstreamLoad *)load)->uses->len == 0 &&
           !g_hash_table_contains(((Mp *)mp)->ups, upstream);
}

static bool
has_adapter_demand(const Mp *m, const Model *model)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->adapters);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (((AdapterDemand *)v)->model == model) {
            return true;
        }
    }
    return false;
}

static bool
has_version_demand(const Mp *m, const Model *model)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->versions);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (((VersionDemand *)v)->model == model) {
            return true;
        }
    }
    return false;
}

static bool
is_ordered(const Mp *m, const Model *model)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->ups);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Up *u = v;
        if (u->ordered && u->order_model == model) {
            return true;
        }
    }
    return false;
}

/* Callers may request any name.  Models that are not declared are dropped when
   nothing refers to them any more. */
static bool
is_unreferenced(const Mp *m, const Model *model)
{
    return !model->declared && model->holders->len == 0 &&
           model->copies->len == 0 && model->goals->len == 0 &&
           !has_adapter_demand(m, model) && !is_ordered(m, model) &&
           !has_version_demand(m, model);
}

void
mp_forget_idle(Mp *m, uint64_t now_ms)
{
    if (now_ms < m->idle_checked_ms + IDLE_CHECK_MS) {
        return;
    }
    m->idle_checked_ms = now_ms;
    m->any_demand = false;
    g_hash_table_foreach_remove(m->adapters, is_idle_adapter, &now_ms);
    g_hash_table_foreach_remove(m->loads, is_idle_load, m);
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->models);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Model *model = v;
        if (has_demand(&model->demand, now_ms)) {
            m->any_demand = true;
        }
        else if (is_unreferenced(m, model)) {
            g_hash_table_iter_remove(&it);
        }
    }
}
