#include "gateway_node.h"

#include "../platform/pf_wire.h"

#include <string.h>

#define PLACE_DELAY_MS 2 /* collects the demand of several gateways */

/* ---- placement ---------------------------------------------------------- */

/* No orders are sent while only part of the upstreams is known: models that
   the others hold would be loaded again. */
bool
gn_may_order(const Gateway *g, uint64_t now_ms)
{
    return gn_knows_upstreams(g) && ls_may_order(g->lease, now_ms);
}

void
gn_schedule_placement(Gateway *g)
{
    if (!ev_is_active(&g->place_timer)) {
        ev_timer_set(&g->place_timer, PLACE_DELAY_MS / 1000., 0.);
        ev_timer_start(g->loop, &g->place_timer);
    }
}

void
gn_on_place_timer(struct ev_loop *loop, ev_timer *t, int events)
{
    (void)loop;
    (void)events;
    Gateway *g = t->data;
    uint64_t now_ms = bg_boot_ms();
    if (g->is_leader) {
        gn_update_placement(g, now_ms);
        mp_on_tick(g->placement, now_ms, gn_may_order(g, now_ms));
    }
    gn_publish_unreachable(g);
}

typedef struct {
    Gateway *g;
    char *upstream;
    bool unload;
    bool from_store;
    uint64_t sequence;
    uint64_t sent_ms;
    char *model;
    char *adapter;
} OrderCtx;

static void
on_order_result(void *ctx, MpOrderResult result, uint16_t status,
                const UnNotice *notice)
{
    OrderCtx *o = ctx;
    const Ut *ut = ut_find(o->g->upstreams, o->upstream);
    if (ut) {
        gn_on_notice(o->g, ut_get_entry(ut), o->sent_ms, notice);
    }
    JlLine *l = jl_begin("order-end");
    jl_text(l, "upstream", o->upstream);
    jl_text(l, "op", o->unload ? "unload" : "load");
    jl_text(l, "model", o->model);
    jl_text(l, "adapter", o->adapter);
    jl_number(l, "status", status);
    jl_number(l, "end", result);
    jl_number(l, "from_store", o->from_store);
    jl_number(l, "sequence", (int64_t)o->sequence);
    jl_end(l);
    mp_on_order_result(o->g->placement, bg_boot_ms(), o->upstream, result);
    gn_schedule_placement(o->g);
    g_free(o->upstream);
    g_free(o->model);
    g_free(o->adapter);
    g_free(o);
}

void
gn_send_order(void *ctx, const MpOrder *order)
{
    Gateway *g = ctx;
    OrderCtx *o = g_new0(OrderCtx, 1);
    o->g = g;
    o->upstream = g_strdup(order->upstream);
    o->unload = order->unload;
    o->from_store = order->from_store;
    o->sequence = order->sequence;
    o->sent_ms = bg_boot_ms();
    o->model = g_strdup(order->model);
    o->adapter = g_strdup(order->adapter);
    pf_send_order(g->pool, order, gn_get_text(g, "name"),
                  ls_get_token(g->lease), on_order_result, o);
}

typedef struct {
    Gateway *g;
    char *upstream;
    uint64_t born_ms;
    uint64_t sent_ms;
} ReportCtx;

static void
append_names(GString *out, const GPtrArray *names)
{
    for (guint i = 0; i < names->len; i++) {
        g_string_append_printf(out, "%s%s", i ? " " : "",
                               (const char *)names->pdata[i]);
    }
}

static void
log_report(const char *upstream, const DepUpstream *r)
{
    JlLine *l = jl_begin("upstream-report");
    jl_text(l, "upstream", upstream);
    if (r) {
        g_autoptr(GString) models = g_string_new(NULL);
        for (guint i = 0; i < r->models->len; i++) {
            const DepResident *d = r->models->pdata[i];
            g_string_append_printf(models, "%s%s+%u", i ? " " : "", d->name,
                                   d->adapters->len);
        }
        g_autoptr(GString) memory = g_string_new(NULL);
        append_names(memory, r->in_memory);
        g_autoptr(GString) disk = g_string_new(NULL);
        append_names(disk, r->on_disk);
        jl_number(l, "sequence", (int64_t)r->sequence);
        jl_number(l, "busy", r->busy);
        jl_text(l, "models", models->str);
        jl_text(l, "in_memory", memory->str);
        jl_text(l, "on_disk", disk->str);
    }
    jl_end(l);
}

/* REPORT: that of the process that answered, or NULL. */
static void
note_reported(const ReportCtx *a, const DepUpstream *report,
              const UnNotice *notice)
{
    uint64_t born_ms =
        report && report->born_ms ? report->born_ms : a->born_ms;
    const Ut *ut = ut_find(a->g->upstreams, a->upstream);
    if (ut && ut_get_entry(ut)->born_ms == born_ms) {
        gn_on_notice(a->g, ut_get_entry(ut), a->sent_ms, notice);
    }
}

static void
on_report(void *ctx, DepUpstream *report, const UnNotice *notice)
{
    ReportCtx *a = ctx;
    note_reported(a, report, notice);
    log_report(a->upstream, report);
    mp_on_report(a->g->placement, bg_boot_ms(), a->upstream, report);
    dep_destroy_upstream(report);
    g_free(a->upstream);
    g_free(a);
}

void
gn_request_report(void *ctx, const DepUpstream *of)
{
    ReportCtx *a = g_new0(ReportCtx, 1);
    a->g = ctx;
    a->upstream = g_strdup(of->id);
    a->born_ms = of->born_ms;
    a->sent_ms = bg_boot_ms();
    pf_fetch_report(a->g->pool, of, on_report, a);
}

/* ---- results of placement ----------------------------------------------- */

void
gn_on_placed(void *ctx, const char *upstream, const GPtrArray *models)
{
    gn_set_placement(ctx, upstream, dep_copy_residents(models));
}

/* Upstreams that are found unreachable together are published together. */
void
gn_on_unreachable(void *ctx, const char *upstream)
{
    Gateway *g = ctx;
    bool cut_off = pt_is_cut_off(g->detours.paths);
    JlLine *l = jl_begin("upstream-away");
    jl_text(l, "upstream", upstream);
    jl_number(l, "published", !cut_off);
    jl_end(l);
    if (cut_off) {
        return; /* others may well reach it */
    }
    ut_on_unreachable(g->upstreams, bg_boot_ms(), upstream);
    gn_on_upstream_end(g, upstream);
    g_ptr_array_add(g->unreachable, g_strdup(upstream));
    gn_schedule_placement(g);
}

void
gn_on_evaluated(void *ctx, const char *model, double capacity, double slow,
                double load, uint32_t replicas)
{
    (void)ctx;
    JlLine *l = jl_begin("replicas-judged");
    jl_text(l, "model", model);
    jl_number(l, "good_requests", (int64_t)capacity);
    jl_number(l, "slow_percent", (int64_t)(slow * 100));
    jl_number(l, "load", (int64_t)load);
    jl_number(l, "replicas", replicas);
    jl_end(l);
}

/* ---- suspected upstreams ------------------------------------------------ */

void
gn_report_suspicion(Gateway *g, const char *upstream)
{
    if (g->is_leader) {
        mp_on_suspected(g->placement, bg_boot_ms(), upstream);
        return;
    }
    Gwp__Unreached u = GWP__UNREACHED__INIT;
    u.upstream = (char *)upstream;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_UNREACHED;
    f.unreached = &u;
    lk_send_up(g->links, &f);
}
