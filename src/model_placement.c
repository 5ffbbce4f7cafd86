#include "model_placement_internal.h"

#include <string.h>

/* Between reports while the upstream reports an order in progress. */
#define LATE_LOAD_POLL_MS 400
/* The entry of an upstream is written at the end of a load or unload.  It is
   read at most this much later while the store answers. */
#define ENTRY_LAG_MS 1500
/* A new leader needs a report of every upstream.  On a VM with a fraction of a
   core thousands of answers at once would be handled too late, and their
   upstreams would be taken for unreachable. */
#define MAX_REPORTS_PENDING 96
/* Between reports requested for broken connections of one upstream. */
#define SUSPECT_INTERVAL_MS 500
/* If requests wait this long for a model with a usable replica, the known
   content of its upstream may be wrong. */
#define VERIFY_AFTER_MS 700

/* ---- memory ------------------------------------------------------------- */

static void
free_adapter(void *p)
{
    g_free(((Adapter *)p)->name);
    g_free(p);
}

static void
free_replica(void *p)
{
    Replica *r = p;
    g_ptr_array_free(r->adapters, TRUE);
    g_free(r);
}

static void
free_model(void *p)
{
    Model *model = p;
    g_free(model->name);
    g_ptr_array_free(model->holders, TRUE);
    g_ptr_array_free(model->copies, TRUE);
    g_ptr_array_free(model->goals, TRUE);
    g_free(model);
}

/* Remove U from the holders of the models of REPLICAS. */
static void
unlink_replicas(Up *u, const GPtrArray *replicas)
{
    for (guint i = 0; i < replicas->len; i++) {
        g_ptr_array_remove_fast(
            ((Replica *)replicas->pdata[i])->model->holders, u);
    }
}

/* Remove U from the copies of the models that it has cached. */
static void
unlink_copies(Up *u)
{
    for (guint i = 0; i < u->on_disk->len; i++) {
        g_ptr_array_remove_fast(((Model *)u->on_disk->pdata[i])->copies, u);
    }
    for (guint i = 0; i < u->in_memory->len; i++) {
        g_ptr_array_remove_fast(((Model *)u->in_memory->pdata[i])->copies, u);
    }
}

static void
free_up(void *p)
{
    Up *u = p;
    mp_set_goal(u, NULL);
    unlink_copies(u);
    unlink_replicas(u, u->replicas);
    dep_destroy_upstream(u->entry);
    g_ptr_array_free(u->in_memory, TRUE);
    g_ptr_array_free(u->on_disk, TRUE);
    g_ptr_array_free(u->replicas, TRUE);
    g_free(u->order_adapter);
    g_free(u);
}

Mp *
mp_create(const MpParams *params, const MpOutput *out)
{
    Mp *m = g_new0(Mp, 1);
    m->params = *params;
    m->out = *out;
    m->store.at_once = 1;
    m->capacity = MP_INITIAL_CAPACITY;
    m->ups = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_up);
    m->reserves = g_hash_table_new(g_direct_hash, g_direct_equal);
    m->models =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_model);
    m->adapters = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        mp_free_adapter_demand);
    m->versions = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        mp_free_version_demand);
    m->loads = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                     mp_free_upstream_load);
    m->store_starts = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    return m;
}

void
mp_destroy(Mp *m)
{
    g_hash_table_destroy(m->ups);
    g_hash_table_destroy(m->adapters);
    g_hash_table_destroy(m->versions);
    g_hash_table_destroy(m->loads);
    g_hash_table_destroy(m->models);
    g_hash_table_destroy(m->reserves);
    g_array_free(m->store_starts, TRUE);
    dep_unref_config(m->config);
    g_free(m);
}

/* ---- models and services ------------------------------------------------ */

static void
find_declaration(const DepConfig *c, Model *model)
{
    model->service = NULL;
    model->declared = NULL;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->services);
    while (!model->declared && g_hash_table_iter_next(&it, NULL, &v)) {
        const DepService *s = v;
        model->declared = g_hash_table_lookup(s->models, model->name);
        model->service = s;
    }
}

Model *
mp_get_model(Mp *m, const char *name)
{
    Model *model = g_hash_table_lookup(m->models, name);
    if (!model) {
        model = g_new0(Model, 1);
        model->name = g_strdup(name);
        model->holders = g_ptr_array_new();
        model->copies = g_ptr_array_new();
        model->goals = g_ptr_array_new();
        model->capacity = m->capacity;
        model->integrated_ms = m->now_ms;
        model->estimated_ms = m->now_ms;
        g_hash_table_insert(m->models, model->name, model);
        if (m->config) {
            find_declaration(m->config, model);
        }
    }
    return model;
}

const DepModel *
mp_find_declared(const Up *u, const Model *model)
{
    if (!u->service) {
        return NULL;
    }
    return u->service == model->service
               ? model->declared
               : g_hash_table_lookup(u->service->models, model->name);
}

/* Memory for as many adapters of the largest size as the service allows. */
static uint32_t
compute_adapter_reserve_mb(const DepService *s)
{
    uint32_t max_mb = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->models);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const DepModel *d = v;
        max_mb = MAX(max_mb, d->adapters ? d->adapter_mb : 0);
    }
    return max_mb * s->max_adapters;
}

static uint32_t
find_reserved_mb(const Mp *m, const DepService *s)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(m->reserves, s));
}

static void
find_service(const Mp *m, Up *u)
{
    const DepService *s =
        m->config ? g_hash_table_lookup(m->config->services, u->entry->service)
                  : NULL;
    u->service = s && s->has_models ? s : NULL;
    u->reserved_mb = u->service ? find_reserved_mb(m, u->service) : 0;
}

static void
compute_reserves(Mp *m)
{
    g_hash_table_remove_all(m->reserves);
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->config->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        g_hash_table_insert(m->reserves, v,
                            GUINT_TO_POINTER(compute_adapter_reserve_mb(v)));
    }
}

static void
add_declared_models(Mp *m)
{
    GHashTableIter it;
    gpointer s;
    g_hash_table_iter_init(&it, m->config->services);
    while (g_hash_table_iter_next(&it, NULL, &s)) {
        GHashTableIter models;
        gpointer name;
        g_hash_table_iter_init(&models, ((DepService *)s)->models);
        while (g_hash_table_iter_next(&models, &name, NULL)) {
            mp_get_model(m, name);
        }
    }
}

void
mp_on_config(Mp *m, DepConfig *c)
{
    DepConfig *former = m->config;
    m->config = dep_ref_config(c);
    compute_reserves(m);
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->models);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        find_declaration(c, v);
    }
    add_declared_models(m);
    g_hash_table_iter_init(&it, m->ups);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        find_service(m, v);
    }
    dep_unref_config(former);
}

/* ---- content of upstreams ----------------------------------------------- */

Replica *
mp_find_replica(const Up *u, const Model *model)
{
    for (guint i = 0; i < u->replicas->len; i++) {
        Replica *r = u->replicas->pdata[i];
        if (r->model == model) {
            return r;
        }
    }
    return NULL;
}

Adapter *
mp_find_adapter(const Replica *r, const char *name)
{
    for (guint i = 0; i < r->adapters->len; i++) {
        Adapter *a = r->adapters->pdata[i];
        if (strcmp(a->name, name) == 0) {
            return a;
        }
    }
    return NULL;
}

Replica *
mp_add_replica(Up *u, Model *model, uint64_t ready_ms)
{
    Replica *r = g_new0(Replica, 1);
    r->model = model;
    r->ready_ms = ready_ms;
    r->used_ms = ready_ms;
    r->adapters = g_ptr_array_new_with_free_func(free_adapter);
    g_ptr_array_add(u->replicas, r);
    g_ptr_array_add(model->holders, u);
    return r;
}

void
mp_remove_replica(Up *u, Replica *r)
{
    g_ptr_array_remove_fast(r->model->holders, u);
    g_ptr_array_remove(u->replicas, r);
}

void
mp_add_adapter(Replica *r, const char *name, uint64_t ready_ms)
{
    Adapter *a = g_new0(Adapter, 1);
    a->name = g_strdup(name);
    a->ready_ms = ready_ms;
    a->used_ms = ready_ms;
    g_ptr_array_add(r->adapters, a);
}

static bool
lists_model(GPtrArray *list, const Model *model)
{
    return g_ptr_array_find(list, model, NULL);
}

bool
mp_has_copy(const Up *u, const Model *model)
{
    return lists_model(u->on_disk, model) || lists_model(u->in_memory, model);
}

static bool
is_same_list(const GPtrArray *models, const GPtrArray *names)
{
    if (models->len != names->len) {
        return false;
    }
    for (guint i = 0; i < names->len; i++) {
        if (strcmp(((Model *)models->pdata[i])->name, names->pdata[i]) != 0) {
            return false;
        }
    }
    return true;
}

static void
add_copy(Up *u, GPtrArray *list, Model *model)
{
    g_ptr_array_add(list, model);
    g_ptr_array_add(model->copies, u);
}

void
mp_add_copies(Up *u, Model *model)
{
    if (!lists_model(u->in_memory, model)) {
        add_copy(u, u->in_memory, model);
    }
    if (!lists_model(u->on_disk, model)) {
        add_copy(u, u->on_disk, model);
    }
}

static void
set_copies(Mp *m, Up *u, const GPtrArray *in_memory, const GPtrArray *on_disk)
{
    if (is_same_list(u->in_memory, in_memory) &&
        is_same_list(u->on_disk, on_disk)) {
        return;
    }
    unlink_copies(u);
    g_ptr_array_set_size(u->in_memory, 0);
    g_ptr_array_set_size(u->on_disk, 0);
    for (guint i = 0; i < in_memory->len; i++) {
        add_copy(u, u->in_memory, mp_get_model(m, in_memory->pdata[i]));
    }
    for (guint i = 0; i < on_disk->len; i++) {
        add_copy(u, u->on_disk, mp_get_model(m, on_disk->pdata[i]));
    }
}

void
mp_set_goal(Up *u, Model *model)
{
    if (u->goal) {
        g_ptr_array_remove_fast(u->goal->goals, u);
    }
    u->goal = model;
    if (model) {
        g_ptr_array_add(model->goals, u);
    }
}

void
mp_invalidate_content(Up *u, uint64_t report_ms)
{
    u->content_known = false;
    u->next_report_ms = MAX(u->next_report_ms, report_ms);
}

static DepUpstream *
copy_entry(const DepUpstream *e)
{
    DepUpstream *c = dep_create_upstream();
    c->id = g_strdup(e->id);
    c->service = g_strdup(e->service);
    c->address = g_strdup(e->address);
    c->data_centre = g_strdup(e->data_centre);
    c->version = g_strdup(e->version);
    c->draining = e->draining;
    c->slots = e->slots;
    c->born_ms = e->born_ms;
    return c;
}

/* Finish the loads whose models are listed in ENTRY, which is written when a
   load ends.  An entry from before the order can't list the model: it is being
   loaded from the weight store as the upstream has no copy, so the upstream
   has not held it for long. */
static void
finish_reported_loads(Mp *m, Up *u, uint64_t now_ms, const DepUpstream *entry)
{
    for (guint i = 0; i < entry->models->len; i++) {
        const DepResident *d = entry->models->pdata[i];
        const Model *model = g_hash_table_lookup(m->models, d->name);
        Replica *r = model ? mp_find_replica(u, model) : NULL;
        if (r && r->ready_ms == WHEN_REPORTED) {
            mp_on_store_load_end(m, now_ms, r);
            r->ready_ms = now_ms;
            u->busy_until_ms = now_ms;
            u->published = false;
        }
    }
}

/* False shows that a delayed order of this or a former leader took effect:
   ENTRY lists an unexpected model or lacks an expected one. */
static bool
matches_entry(const Mp *m, const Up *u, const DepUpstream *entry)
{
    for (guint i = 0; i < entry->models->len; i++) {
        const DepResident *d = entry->models->pdata[i];
        const Model *model = g_hash_table_lookup(m->models, d->name);
        if (!model || !mp_find_replica(u, model)) {
            return false;
        }
    }
    return entry->models->len == u->replicas->len;
}

static Up *
create_up(Mp *m, const DepUpstream *entry)
{
    Up *u = g_new0(Up, 1);
    u->entry = copy_entry(entry);
    u->in_memory = g_ptr_array_new();
    u->on_disk = g_ptr_array_new();
    u->replicas = g_ptr_array_new_with_free_func(free_replica);
    u->load = mp_get_upstream_load(m, entry->id);
    g_hash_table_insert(m->ups, u->entry->id, u);
    return u;
}

static void
replace_entry(Mp *m, Up *u, const DepUpstream *entry)
{
    DepUpstream *copy = copy_entry(entry);
    copy->draining = copy->draining || u->entry->draining;
    g_hash_table_steal(m->ups, u->entry->id);
    dep_destroy_upstream(u->entry);
    u->entry = copy;
    g_hash_table_insert(m->ups, copy->id, u);
}

void
mp_on_entry(Mp *m, uint64_t now_ms, const DepUpstream *entry)
{
    Up *u = g_hash_table_lookup(m->ups, entry->id);
    if (u && (u->entry->born_ms != entry->born_ms ||
              strcmp(u->entry->address, entry->address) != 0)) {
        mp_on_removed(m, entry->id);
        u = NULL;
    }
    bool is_new = !u;
    if (is_new) {
        u = create_up(m, entry);
    }
    else {
        replace_entry(m, u, entry);
    }
    find_service(m, u);
    set_copies(m, u, entry->in_memory, entry->on_disk);
    if (is_new) {
        return;
    }
    finish_reported_loads(m, u, now_ms, entry);
    if (u->content_known &&
        now_ms > MAX(u->changed_ms, u->busy_until_ms) + ENTRY_LAG_MS &&
        !matches_entry(m, u, entry)) {
        mp_on_suspected(m, now_ms, entry->id);
    }
}

void
mp_on_removed(Mp *m, const char *id)
{
    g_hash_table_remove(m->ups, id);
}

void
mp_on_draining(Mp *m, const char *id)
{
    Up *u = g_hash_table_lookup(m->ups, id);
    if (u) {
        u->entry->draining = true;
    }
}

void
mp_on_rest(Mp *m, const char *id, uint64_t own_end_ms, uint64_t fleet_end_ms)
{
    Up *u = g_hash_table_lookup(m->ups, id);
    if (u) {
        u->quiet_ms = MAX(u->quiet_ms, own_end_ms);
        u->rested_ms = MAX(u->rested_ms, fleet_end_ms);
    }
}

void
mp_keep_only(Mp *m, GHashTable *ids)
{
    g_autoptr(GList) all_ids = g_hash_table_get_keys(m->ups);
    for (GList *l = all_ids; l; l = l->next) {
        if (!g_hash_table_contains(ids, l->data)) {
            mp_on_removed(m, l->data);
        }
    }
}

void
mp_on_lease_gained(Mp *m, uint64_t now_ms)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->ups);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Up *u = v;
        u->next_report_ms = 0;
        mp_invalidate_content(u, now_ms);
        mp_set_goal(u, NULL);
    }
}

/* ---- reports ------------------------------------------------------------ */

void
mp_request_report(Mp *m, Up *u)
{
    u->report_pending = true;
    m->reports_pending++;
    m->out.request_report(m->out.ctx, u->entry);
}

/* A crash breaks many connections at once, for which one report is enough. */
void
mp_on_suspected(Mp *m, uint64_t now_ms, const char *id)
{
    Up *u = g_hash_table_lookup(m->ups, id);
    if (!u || !u->service || u->report_pending || u->ordered ||
        now_ms < u->quiet_ms ||
        now_ms < u->suspected_ms + SUSPECT_INTERVAL_MS) {
        return;
    }
    u->suspected_ms = now_ms;
    mp_request_report(m, u);
}

/* Keep what was known of a replica before the report.  A report must not count
   as a use, or it would protect idle replicas from eviction. */
static void
keep_replica_state(Replica *r, const GPtrArray *old)
{
    for (guint i = 0; i < old->len; i++) {
        const Replica *o = old->pdata[i];
        if (o->model == r->model) {
            r->used_ms = o->used_ms;
            r->unloading = o->unloading;
            r->ready_ms = MIN(o->ready_ms, r->ready_ms);
        }
    }
}

static void
add_resident(Mp *m, Up *u, uint64_t now_ms, const DepResident *d,
             const GPtrArray *old)
{
    Replica *r = mp_add_replica(u, mp_get_model(m, d->name), now_ms);
    r->used_ms = 0;
    keep_replica_state(r, old);
    for (guint i = 0; i < d->adapters->len; i++) {
        mp_add_adapter(r, d->adapters->pdata[i], now_ms);
    }
    for (guint i = 0; i < d->coming->len; i++) {
        mp_add_adapter(r, d->coming->pdata[i], now_ms + ADAPTER_LOAD_MS);
    }
}

static void
apply_report(Mp *m, Up *u, uint64_t now_ms, const DepUpstream *report)
{
    u->content_known = true;
    u->published = false;
    u->sequence = report->sequence;
    u->busy_until_ms = 0;
    GPtrArray *old = u->replicas;
    unlink_replicas(u, old);
    u->replicas = g_ptr_array_new_with_free_func(free_replica);
    for (guint i = 0; i < report->models->len; i++) {
        add_resident(m, u, now_ms, report->models->pdata[i], old);
    }
    g_ptr_array_free(old, TRUE);
    set_copies(m, u, report->in_memory, report->on_disk);
}

void
mp_set_reachable(Mp *m, Up *u, bool reachable)
{
    if (!reachable && !u->unreachable) {
        m->out.publish_unreachable(m->out.ctx, u->entry->id);
    }
    u->unreachable = !reachable;
}

/* Reports of an upstream that does not answer are requested at doubling
   intervals, as a crash may make half of all upstreams unreachable for
   seconds.  A restart is noticed by its entry. */
static uint64_t
get_report_interval_ms(Up *u, bool answered)
{
    u->missed_reports = answered ? 0 : u->missed_reports + 1;
    return REPORT_INTERVAL_MS << MIN(u->missed_reports, MAX_REPORT_BACKOFFS);
}

static bool
is_same_process(const Up *u, const DepUpstream *report)
{
    return !report->born_ms || !u->entry->born_ms ||
           report->born_ms == u->entry->born_ms;
}

void
mp_on_report(Mp *m, uint64_t now_ms, const char *id, const DepUpstream *report)
{
    Up *u = g_hash_table_lookup(m->ups, id);
    if (!u) {
        return;
    }
    /* What answers in an upstream's place is of an unknown version until its
       entry comes: nothing is loaded there. */
    bool found = report && is_same_process(u, report);
    u->report_pending = false;
    u->next_report_ms = now_ms + get_report_interval_ms(u, found);
    if (!found && !u->unreachable) {
        /* Request reports until it answers: if it has restarted its content
           has changed. */
        mp_invalidate_content(u, now_ms);
    }
    mp_set_reachable(m, u, found);
    if (now_ms < u->changed_ms + REPORT_LAG_MS) {
        u->next_report_ms = u->changed_ms + REPORT_LAG_MS;
        return;
    }
    u->busy = report && report->busy;
    /* The report does not yet include the effect of an order in progress. */
    if (u->busy) {
        u->next_report_ms = now_ms + LATE_LOAD_POLL_MS;
    }
    if (!found || report->busy || u->ordered) {
        return;
    }
    /* The report may be from before our last order. */
    if (report->sequence >= u->sequence) {
        apply_report(m, u, now_ms, report);
    }
}

/* ---- tick --------------------------------------------------------------- */

/* Request a report if requests keep waiting for a model that U should have
   usable.  Until the answer U stays in use: the cause may be a single gateway
   that is cut off from the leader and has not received the update. */
static void
verify_waited_models(Mp *m, uint64_t now_ms, Up *u)
{
    if (!u->content_known || u->report_pending || u->ordered ||
        u->busy_until_ms > now_ms || u->quiet_ms > now_ms ||
        now_ms < u->verified_ms + VERIFY_AFTER_MS) {
        return;
    }
    for (guint i = 0; i < u->replicas->len; i++) {
        const Replica *r = u->replicas->pdata[i];
        uint64_t since_ms = r->model->demand.waiting_since_ms;
        if (since_ms && r->ready_ms <= now_ms &&
            now_ms > MAX(since_ms, r->ready_ms) + VERIFY_AFTER_MS) {
            u->verified_ms = now_ms;
            mp_request_report(m, u);
            return;
        }
    }
}

static bool
is_load_late(const Up *u, uint64_t now_ms)
{
    for (guint i = 0; i < u->replicas->len; i++) {
        const Replica *r = u->replicas->pdata[i];
        if (r->ready_ms == WHEN_REPORTED && now_ms > r->expected_ms &&
            now_ms >= u->changed_ms + REPORT_LAG_MS) {
            return true;
        }
    }
    return false;
}

static void
update_upstream(Mp *m, uint64_t now_ms, Up *u, bool may_order)
{
    verify_waited_models(m, now_ms, u);
    mp_check_overdue_loads(m, now_ms, u);
    if ((!u->content_known || is_load_late(u, now_ms)) && !u->report_pending &&
        !u->ordered && now_ms >= MAX(u->next_report_ms, u->quiet_ms) &&
        m->reports_pending < MAX_REPORTS_PENDING) {
        mp_request_report(m, u);
    }
    if (may_order && u->goal) {
        mp_pursue_goal(m, now_ms, u);
    }
}

static uint32_t
count_reports_pending(const Mp *m)
{
    uint32_t n = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->ups);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        n += ((Up *)v)->report_pending;
    }
    return n;
}

static void
publish_changes(Mp *m, uint64_t now_ms, uint64_t last_ms)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->ups);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Up *u = v;
        if (u->service && u->content_known &&
            (!u->published || mp_has_just_become_ready(u, now_ms, last_ms))) {
            mp_publish(m, u, now_ms);
        }
    }
}

void
mp_on_tick(Mp *m, uint64_t now_ms, bool may_order)
{
    if (!m->config) {
        return;
    }
    uint64_t last_ms = m->now_ms;
    m->now_ms = now_ms;
    mp_forget_idle(m, now_ms);
    mp_count_replicas(m);
    mp_estimate_capacity(m, now_ms);
    mp_integrate_store_loads(m, now_ms);
    m->store_blocked = NULL;
    m->reports_pending = count_reports_pending(m);
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->ups);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Up *u = v;
        if (u->service) {
            update_upstream(m, now_ms, u, may_order);
        }
    }
    if (may_order) {
        mp_place_models(m, now_ms);
        mp_place_adapters(m, now_ms);
        mp_place_versions(m, now_ms);
        mp_prefetch(m, now_ms);
    }
    publish_changes(m, now_ms, last_ms);
}

/* An upstream whose last answer began within this time is in use by gateways.
 */
#define RECENT_ANSWER_MS 1500

static bool
is_cut_off(const Up *u, uint64_t now_ms, GHashTable *linked)
{
    return u->unreachable &&
           (now_ms < u->load->last_start_ms + RECENT_ANSWER_MS ||
            !g_hash_table_contains(linked, u->entry->data_centre));
}

void
mp_count_cut_off(const Mp *m, uint64_t now_ms, GHashTable *linked,
                 uint32_t *all, uint32_t *cut_off)
{
    *all = 0;
    *cut_off = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->ups);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Up *u = v;
        if (mp_can_use(u)) {
            *all += 1;
            *cut_off += is_cut_off(u, now_ms, linked);
        }
    }
}
