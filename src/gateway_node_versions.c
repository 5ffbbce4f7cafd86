/* The version plan (vp): its record in the store, its frames, and the leader's
   changes. */
#include "gateway_node.h"

#include "../platform/pf_wire.h"

#define PLAN_KEY "plan"
/* The heartbeat names a plan that should have come over the link by then. */
#define BEHIND_MS 250

/* ---- frames ------------------------------------------------------------- */

/* TO: a linked gateway; NULL: all of them. */
void
gn_send_versions(Gateway *g, LkPeer *to)
{
    g_autoptr(GBytes) bytes = vp_encode(g->versions);
    if (!bytes || (!to && lk_count_peers(g->links) == 0)) {
        return;
    }
    gsize len;
    const uint8_t *data = g_bytes_get_data(bytes, &len);
    Gwp__VersionPlan *m = gwp__version_plan__unpack(NULL, len, data);
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_VERSION_PLAN;
    f.version_plan = m;
    lk_send_down(g->links, to, &f);
    gwp__version_plan__free_unpacked(m, NULL);
}

static void
log_plan(const Gateway *g, const char *from)
{
    g_autoptr(GString) text = g_string_new(NULL);
    vp_print(g->versions, text);
    JlLine *l = jl_begin("version-plan");
    jl_number(l, "number", (int64_t)vp_get_number(g->versions));
    jl_text(l, "from", from);
    jl_number(l, "settled", vp_is_settled(g->versions));
    jl_text(l, "plan", text->str);
    jl_end(l);
}

static void
take_plan(Gateway *g, const void *data, size_t len, const char *from)
{
    if (!vp_take(g->versions, bg_boot_ms(), data, len)) {
        return;
    }
    log_plan(g, from);
    g->plan_behind_ms = 0;
    gn_send_versions(g, NULL);
    gw_note_streams(g->gw);
    gn_collect_notes(g);
    gw_on_change(g->gw);
}

void
gn_take_versions(Gateway *g, const Gwp__VersionPlan *m)
{
    size_t len = gwp__version_plan__get_packed_size(m);
    g_autofree uint8_t *data = g_malloc(len + 1);
    gwp__version_plan__pack(m, data);
    take_plan(g, data, len, "link");
}

/* ---- reads -------------------------------------------------------------- */

typedef struct {
    Gateway *g;
    uint64_t asked_ms;
} ReadCtx;

static const StRecord *
find_plan(const GPtrArray *records)
{
    const StRecord *found = NULL;
    for (guint i = 0; i < records->len; i++) {
        const StRecord *r = records->pdata[i];
        if (strcmp(r->key, PLAN_KEY) == 0 && r->value) {
            found = r;
        }
    }
    return found;
}

static void
on_read(void *ctx, const StReply *r)
{
    ReadCtx *c = ctx;
    Gateway *g = c->g;
    uint64_t asked_ms = c->asked_ms;
    g_free(c);
    g->plan_read_ms = 0;
    if (r->result != ST_OK) {
        g->plan_retry_ms = bg_boot_ms() + GN_PLAN_RETRY_MS;
        return;
    }
    const StRecord *plan = find_plan(r->records);
    g->plan_tail = r->next;
    g->plan_listed = true;
    if (plan) {
        gsize len;
        const void *data = g_bytes_get_data(plan->value, &len);
        take_plan(g, data, len, "store");
        vp_on_read(g->versions, vp_read_number(data, len), asked_ms);
    }
    else {
        vp_on_none(g->versions, asked_ms);
    }
    gw_on_change(g->gw);
    if (g->plan_asked_ms > asked_ms) {
        gn_read_versions(g);
    }
}

void
gn_read_versions(Gateway *g)
{
    uint64_t now_ms = bg_boot_ms();
    if (g->plan_read_ms || now_ms < g->plan_retry_ms) {
        return;
    }
    g->plan_read_ms = now_ms;
    ReadCtx *c = g_new0(ReadCtx, 1);
    c->g = g;
    c->asked_ms = now_ms;
    bg_count("gateway_version_plan_reads_total", 1);
    g->store->ops->list(g->store, ST_VERSIONS, NULL, on_read, c);
}

/* A request needs a read that begins from now on. */
void
gn_on_ask_versions(void *ctx)
{
    Gateway *g = ctx;
    g->plan_asked_ms = bg_boot_ms();
    gn_read_versions(g);
}

void
gn_on_plan_number(Gateway *g, uint64_t now_ms, uint64_t number,
                  uint64_t stamp_ms)
{
    vp_on_heartbeat(g->versions, number, stamp_ms);
    if (!vp_is_behind(g->versions)) {
        g->plan_behind_ms = 0;
    }
    else if (g->plan_behind_ms == 0) {
        g->plan_behind_ms = now_ms;
    }
    else if (now_ms > g->plan_behind_ms + BEHIND_MS) {
        gn_read_versions(g);
    }
}

/* ---- the leader's changes ----------------------------------------------- */

typedef struct {
    Gateway *g;
    GBytes *plan;
} AppendCtx;

static void
on_append(void *ctx, const StReply *r)
{
    AppendCtx *c = ctx;
    Gateway *g = c->g;
    g->plan_pending = false;
    if (r->result == ST_OK) {
        gsize len;
        const void *data = g_bytes_get_data(c->plan, &len);
        g->plan_tail = r->offset + 1;
        take_plan(g, data, len, "own change");
    }
    else {
        /* Another gateway wrote one, or ours may be there all the same. */
        g->plan_listed = false;
        g->plan_retry_ms = bg_boot_ms() + GN_PLAN_RETRY_MS;
    }
    g_bytes_unref(c->plan);
    g_free(c);
}

typedef struct {
    Gateway *g;
    VpFleet *fleet;
    GHashTable *services; /* that were looked at; NULL: none need to be */
    uint64_t now_ms;
} FleetCtx;

/* Each service once. */
static void
look_for_single(FleetCtx *c, const char *service)
{
    const Gateway *g = c->g;
    if (c->services && g_hash_table_add(c->services, (char *)service) &&
        ut_is_single(g->upstreams, c->now_ms, service,
                     vp_get_life_ms(g->versions))) {
        vp_set_single(c->fleet, service);
    }
}

static void
add_upstream(void *ctx, const DepUpstream *u, const GPtrArray *models)
{
    FleetCtx *c = ctx;
    const char *version = u->version ? u->version : "";
    if (u->draining || ut_is_reported_unreachable(c->g->upstreams, u->id)) {
        return;
    }
    vp_add_upstream(c->fleet, u->service, version);
    look_for_single(c, u->service);
    for (guint i = 0; i < models->len; i++) {
        const DepResident *r = models->pdata[i];
        vp_add_replica(c->fleet, u->service, version, r->name);
    }
}

typedef struct {
    const Vp *versions;
    bool found;
} OddCtx;

/* An upstream of another version than the only one that the plan lists. */
static void
find_odd(void *ctx, const DepUpstream *u, const GPtrArray *models)
{
    (void)models;
    OddCtx *c = ctx;
    const char *version = u->version ? u->version : "";
    c->found = c->found || !vp_has_only(c->versions, u->service, version);
}

/* With one version the fleet isn't counted. */
static bool
may_change(const Gateway *g, uint64_t now_ms)
{
    OddCtx c = {g->versions, vp_may_be_unplanned(g->versions, now_ms)};
    ut_visit(g->upstreams, find_odd, &c);
    return c.found;
}

static void
append_plan(Gateway *g, GBytes *plan)
{
    gsize len;
    const void *data = g_bytes_get_data(plan, &len);
    AppendCtx *c = g_new0(AppendCtx, 1);
    c->g = g;
    c->plan = plan;
    g->plan_pending = true;
    bg_count("gateway_version_plans_written_total", 1);
    g->store->ops->append(g->store, ST_VERSIONS, g->plan_tail, PLAN_KEY, data,
                          len, on_append, c);
}

/* Another one led before, and wrote no plan. */
static bool
was_led_without(const Gateway *g)
{
    return vp_get_number(g->versions) == 0 && ls_get_token(g->lease) > 1;
}

void
gn_tick_versions(Gateway *g, uint64_t now_ms)
{
    if (!g->is_leader) {
        g->plan_listed = false; /* another leader may write from now on */
        g->lead_ms = 0;
        return;
    }
    g->lead_ms = g->lead_ms ? g->lead_ms : now_ms;
    if (g->plan_pending || !gn_knows_upstreams(g)) {
        return;
    }
    if (!g->plan_listed) {
        gn_read_versions(g);
        return;
    }
    vp_on_heartbeat(g->versions, vp_get_number(g->versions), now_ms);
    if (gn_has_unplanned(g) || was_led_without(g)) {
        vp_on_unplanned(g->versions, now_ms);
    }
    if (ut_lacks_versions(g->upstreams) || !may_change(g, now_ms)) {
        return;
    }
    bool unplanned =
        vp_may_be_unplanned(g->versions, now_ms) && gn_reads_store(g, now_ms);
    g_autoptr(GHashTable) services = g_hash_table_new(g_str_hash, g_str_equal);
    FleetCtx c = {g, vp_create_fleet(), unplanned ? services : NULL, now_ms};
    ut_visit(g->upstreams, add_upstream, &c);
    GBytes *plan = vp_propose(g->versions, now_ms, c.fleet);
    vp_destroy_fleet(c.fleet);
    if (plan) {
        append_plan(g, plan);
    }
}

/* ---- which process is at an upstream ------------------------------------ */

typedef struct {
    Gateway *g;
    char *upstream;
    uint64_t asked_ms;
} ProcessCtx;

static void
on_process_report(void *ctx, DepUpstream *report, const UnNotice *notice)
{
    (void)notice; /* it is read from the answers that are in doubt */
    ProcessCtx *c = ctx;
    uint64_t born_ms = report ? report->born_ms : 0;
    dep_destroy_upstream(report);
    gw_on_process(c->g->gw, c->upstream, c->asked_ms, born_ms);
    g_free(c->upstream);
    g_free(c);
}

void
gn_on_ask_process(void *ctx, const DepUpstream *upstream, uint64_t asked_ms)
{
    Gateway *g = ctx;
    ProcessCtx *c = g_new0(ProcessCtx, 1);
    c->g = g;
    c->upstream = g_strdup(upstream->id);
    c->asked_ms = asked_ms;
    pf_fetch_report(g->pool, upstream, on_process_report, c);
}
