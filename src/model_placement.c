#include "model_placement_internal.h"

#include <string.h>

/* Between reports while the upstream reports an order in progress. */
#define LATE_LOAD_POLL_MS 400
/* An adapter loads in 5 to 6.7 ms, to which the latency of the order adds. */
#define ADAPTER_LOAD_MS 9
/* The lists in a report are about 200 ms older than its numbers.  They are
   used only if no order was accepted for this long before the report. */
#define REPORT_LAG_MS 450
/* The entry of an upstream is written at the end of a load or unload.  It is
   read at most this much later while the store answers. */
#define ENTRY_LAG_MS 1500
#define REPORT_INTERVAL_MS 150
/* A new leader needs a report of every upstream.  On a VM with a fraction of a
   core thousands of answers at once would be handled too late, and their
   upstreams would be taken for unreachable. */
#define MAX_REPORTS_PENDING 96
#define MAX_REPORT_BACKOFFS 3
/* Before the next order after a conflict with our own running order. */
#define CONFLICT_RETRY_MS 25
/* An unload waits for running requests.  So conflicts are expected for this
   long after it is accepted, and are no sign of unknown content. */
#define UNLOAD_DRAIN_MS 1200
/* Steps of the wait after an unload, whenever the next order was refused or
   accepted: one in six is refused then. */
#define UNLOAD_WAIT_MORE_MS 10
#define UNLOAD_WAIT_LESS_MS 2
#define MAX_UNLOAD_WAIT_MS 100
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

static Adapter *
find_adapter(const Replica *r, const char *name)
{
    for (guint i = 0; i < r->adapters->len; i++) {
        Adapter *a = r->adapters->pdata[i];
        if (strcmp(a->name, name) == 0) {
            return a;
        }
    }
    return NULL;
}

static Replica *
add_replica(Up *u, Model *model, uint64_t ready_ms)
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

static void
remove_replica(Up *u, Replica *r)
{
    g_ptr_array_remove_fast(r->model->holders, u);
    g_ptr_array_remove(u->replicas, r);
}

static void
add_adapter(Replica *r, const char *name, uint64_t ready_ms)
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

static void
invalidate_content(Up *u, uint64_t report_ms)
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
        invalidate_content(u, now_ms);
        mp_set_goal(u, NULL);
    }
}

/* ---- reports ------------------------------------------------------------ */

static void
request_report(Mp *m, Up *u)
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
    request_report(m, u);
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
    Replica *r = add_replica(u, mp_get_model(m, d->name), now_ms);
    r->used_ms = 0;
    keep_replica_state(r, old);
    for (guint i = 0; i < d->adapters->len; i++) {
        add_adapter(r, d->adapters->pdata[i], now_ms);
    }
    for (guint i = 0; i < d->coming->len; i++) {
        add_adapter(r, d->coming->pdata[i], now_ms + ADAPTER_LOAD_MS);
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

static void
set_reachable(Mp *m, Up *u, bool reachable)
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
        invalidate_content(u, now_ms);
    }
    set_reachable(m, u, found);
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

/* ---- results of orders -------------------------------------------------- */

static void
add_copies(Up *u, Model *model)
{
    if (!lists_model(u->in_memory, model)) {
        add_copy(u, u->in_memory, model);
    }
    if (!lists_model(u->on_disk, model)) {
        add_copy(u, u->on_disk, model);
    }
}

static void
apply_model_order(const Mp *m, Up *u, uint64_t now_ms)
{
    Replica *r = mp_find_replica(u, u->order_model);
    if (u->order_unload) {
        /* Its memory counts as free from now on: until the unload is done the
           upstream refuses the next order with a conflict. */
        u->unloaded_ms = now_ms;
        u->after_unload = true;
        u->retry_ms = now_ms + m->unload_ms;
        if (r) {
            remove_replica(u, r);
        }
        return;
    }
    if (!r) {
        r = add_replica(u, u->order_model, 0);
    }
    r->ordered_ms = now_ms;
    r->late = false;
    r->expected_ms = now_ms + u->order_load_ms;
    r->integral_at_start_ms = m->load_integral_ms;
    r->ready_ms = u->order_from_store ? WHEN_REPORTED : r->expected_ms;
    r->used_ms = r->expected_ms;
    u->busy_until_ms = r->ready_ms;
    u->next_report_ms = r->expected_ms;
    add_copies(u, u->order_model);
}

static void
apply_adapter_order(Up *u, uint64_t now_ms)
{
    Replica *r = mp_find_replica(u, u->order_model);
    Adapter *a = r ? find_adapter(r, u->order_adapter) : NULL;
    if (u->order_unload && a) {
        /* It occupies its slot until a report no longer lists it. */
        a->leaving = true;
    }
    else if (!u->order_unload && r && !a) {
        add_adapter(r, u->order_adapter, now_ms + ADAPTER_LOAD_MS);
    }
}

/* The adapter was not in use and has been unloaded already. */
static void
remove_adapter(Up *u)
{
    Replica *r = mp_find_replica(u, u->order_model);
    Adapter *a = r ? find_adapter(r, u->order_adapter) : NULL;
    if (a) {
        g_ptr_array_remove(r->adapters, a);
    }
    u->sequence++;
    u->published = false;
}

static void
apply_order(const Mp *m, Up *u, uint64_t now_ms)
{
    if (u->order_adapter) {
        apply_adapter_order(u, now_ms);
    }
    else {
        apply_model_order(m, u, now_ms);
    }
    u->published = false;
}

/* The unload is not known to have been accepted.  The replica is published
   again; otherwise its callers could not use it, and its model would not be
   loaded on this upstream again. */
static void
cancel_unload(Up *u)
{
    Replica *r = mp_find_replica(u, u->order_model);
    if (r) {
        r->unloading = false;
        u->published = false;
    }
}

static void
on_accepted(const Mp *m, Up *u, uint64_t now_ms)
{
    u->sequence++;
    u->changed_ms = now_ms;
    apply_order(m, u, now_ms);
    if (!u->order_unload && !u->order_adapter) {
        mp_set_goal(u, NULL);
    }
    else if (u->order_adapter && u->order_unload) {
        invalidate_content(u, now_ms + REPORT_LAG_MS);
    }
}

static void
on_no_change(const Mp *m, Up *u, uint64_t now_ms)
{
    u->changed_ms = now_ms;
    if (u->order_adapter && u->order_unload) {
        remove_adapter(u);
        return;
    }
    /* The answer does not say whether the order counts in the sequence, so a
       report is needed. */
    u->order_load_ms = 0;
    apply_order(m, u, now_ms);
    invalidate_content(u, now_ms);
    mp_set_goal(u, NULL);
}

/* The first order after an unload shows whether it came too early. */
static void
note_after_unload(Mp *m, Up *u, MpOrderResult result)
{
    uint64_t after_ms = u->order_ms - u->unloaded_ms;
    if (!u->after_unload) {
        return;
    }
    u->after_unload = false;
    if (result == MP_ORDER_CONFLICT && after_ms <= MAX_UNLOAD_WAIT_MS) {
        m->unload_ms =
            MIN(MAX(m->unload_ms, (uint32_t)after_ms) + UNLOAD_WAIT_MORE_MS,
                MAX_UNLOAD_WAIT_MS);
    }
    else if (result == MP_ORDER_ACCEPTED &&
             m->unload_ms >= UNLOAD_WAIT_LESS_MS) {
        m->unload_ms -= UNLOAD_WAIT_LESS_MS;
    }
}

void
mp_on_order_result(Mp *m, uint64_t now_ms, const char *id,
                   MpOrderResult result)
{
    Up *u = g_hash_table_lookup(m->ups, id);
    if (!u || !u->ordered) {
        return;
    }
    u->ordered = false;
    note_after_unload(m, u, result);
    if (u->order_from_store && result != MP_ORDER_ACCEPTED &&
        result != MP_ORDER_UNKNOWN) {
        mp_cancel_store_start(m, u->order_ms);
    }
    if (u->order_unload && !u->order_adapter && result != MP_ORDER_ACCEPTED) {
        cancel_unload(u);
    }
    /* If only the answer is missing the upstream may be healthy: a report is
       requested first.  An order that wasn't sent says nothing of the upstream
       either: orders go directly, and reports come by any way. */
    if (result != MP_ORDER_NOT_SENT) {
        u->unsent_orders = 0;
        set_reachable(m, u, true);
    }
    switch (result) {
    case MP_ORDER_ACCEPTED:
        on_accepted(m, u, now_ms);
        break;
    case MP_ORDER_NO_CHANGE:
        on_no_change(m, u, now_ms);
        break;
    case MP_ORDER_CONFLICT:
        u->retry_ms = now_ms + CONFLICT_RETRY_MS;
        if (now_ms > u->unloaded_ms + UNLOAD_DRAIN_MS) {
            invalidate_content(u, now_ms + CONFLICT_RETRY_MS);
        }
        break;
    case MP_ORDER_NOT_SENT:
        u->retry_ms = now_ms + (REPORT_INTERVAL_MS
                                << MIN(u->unsent_orders, MAX_REPORT_BACKOFFS));
        u->unsent_orders++;
        if (!u->report_pending) {
            request_report(m, u);
        }
        break;
    case MP_ORDER_REFUSED:
    case MP_ORDER_UNKNOWN:
        u->changed_ms = now_ms;
        u->retry_ms = now_ms + REPORT_INTERVAL_MS;
        invalidate_content(u, now_ms + REPORT_INTERVAL_MS);
        mp_set_goal(u, NULL);
        break;
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
            request_report(m, u);
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
        request_report(m, u);
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
