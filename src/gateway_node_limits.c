#include "gateway_node.h"

#include <string.h>

/* All known limits are published again after this time, for gateways that had
   not known the upstream. */
#define PUBLISH_MS 1000

/* ---- limits ------------------------------------------------------------- */

static void
log_change(const Gateway *g, const char *upstream, UlChange change,
           const UlNamed *named)
{
    static const char *const words[] = {[UL_BEGUN] = "named",
                                        [UL_CHANGED] = "changed",
                                        [UL_ENDED] = "ended",
                                        [UL_NOT_READ] = "not read"};
    if (change == UL_SAME) {
        return;
    }
    JlLine *l = jl_begin("upstream-limit");
    jl_text(l, "upstream", upstream);
    jl_text(l, "what", words[change]);
    jl_text(l, "by", named ? "answer" : "gateway");
    jl_text(l, "text", named ? named->text : NULL);
    double per_s = ul_get_limit(g->upstream_limits, upstream);
    if (per_s > 0) {
        jl_number(l, "limit_per_1000_s", (int64_t)(per_s * 1000));
    }
    double rejects = ul_get_rejects(g->upstream_limits, upstream);
    if (rejects > 0) {
        jl_number(l, "rejects_per_1000_s", (int64_t)(rejects * 1000));
    }
    jl_end(l);
    bg_count("gateway_upstream_limits_total", 1);
}

static Gwp__UpstreamLimit
make_row(const Gateway *g, const char *upstream, UlValues values)
{
    Gwp__UpstreamLimit x;
    gwp__upstream_limit__init(&x);
    x.upstream = (char *)upstream;
    x.born_ms = ut_get_born_ms(g->upstreams, upstream);
    x.per_s = values.per_s;
    x.rejects_per_s = values.rejects_per_s;
    return x;
}

Gwp__UpstreamLimit
gn_make_limit(const Gateway *g, const char *upstream)
{
    UlValues values = {ul_get_limit(g->upstream_limits, upstream),
                       ul_get_rejects(g->upstream_limits, upstream)};
    Gwp__UpstreamLimit x = make_row(g, upstream, values);
    x.known = true;
    x.age_ms = ul_get_age_ms(g->upstream_limits, bg_boot_ms(), upstream);
    return x;
}

/* Rows of a frame, whose texts are borrowed. */
typedef struct {
    const Gateway *g;
    GArray *rows; /* Gwp__UpstreamLimit */
} Rows;

static void
add_known(void *ctx, const char *upstream, UlValues values)
{
    (void)values;
    const Rows *r = ctx;
    Gwp__UpstreamLimit x = gn_make_limit(r->g, upstream);
    g_array_append_val(r->rows, x);
}

/* UP: to the VM that we are linked to; else to TO, or to all linked gateways
   if it is NULL. */
static void
send_rows(const Gateway *g, LkPeer *to, const GArray *rows, bool up)
{
    g_autofree gpointer *refs = gn_list_pointers(rows);
    Gwp__UpstreamLimits m = GWP__UPSTREAM_LIMITS__INIT;
    m.n_rows = rows->len;
    m.rows = (Gwp__UpstreamLimit **)refs;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_UPSTREAM_LIMITS;
    f.upstream_limits = &m;
    if (up) {
        lk_send_up(g->links, &f);
    }
    else {
        lk_send_down(g->links, to, &f);
    }
}

static void
send_row(const Gateway *g, Gwp__UpstreamLimit row, bool up)
{
    g_autoptr(GArray) list =
        g_array_new(FALSE, FALSE, sizeof(Gwp__UpstreamLimit));
    g_array_append_val(list, row);
    send_rows(g, NULL, list, up);
}

static void
publish_change(const Gateway *g, const char *upstream, UlChange change)
{
    if (g->is_leader && change != UL_SAME && change != UL_NOT_READ) {
        send_row(g, gn_make_limit(g, upstream), false);
    }
}

/* Requests that are at an upstream which turns out to be brittle take up its
   room. */
static void
report_slots(Gateway *g, const char *upstream, UlChange change)
{
    bool news = change != UL_SAME && change != UL_NOT_READ;
    if (news && ul_get_rejects(g->upstream_limits, upstream) > 0) {
        gw_report_slots(g->gw, upstream);
    }
}

void
gn_on_upstream_named(void *ctx, const char *upstream, const UlNamed *named)
{
    Gateway *g = ctx;
    uint64_t now_ms = bg_boot_ms();
    bool report;
    bool decides = g->is_leader || !gn_hears_leader(g, now_ms);
    UlChange change = ul_on_answer(g->upstream_limits, now_ms, upstream, named,
                                   decides, &report);
    log_change(g, upstream, change, named);
    publish_change(g, upstream, change);
    if (report && !g->is_leader) {
        UlValues values = {named->per_s, named->rejects_per_s};
        send_row(g, make_row(g, upstream, values), true);
    }
    report_slots(g, upstream, change);
}

/* To TO, or all linked gateways if it is NULL; UP: to the VM that we are
   linked to. */
static void
send_known(Gateway *g, LkPeer *to, bool up)
{
    g_autoptr(GArray) list =
        g_array_new(FALSE, FALSE, sizeof(Gwp__UpstreamLimit));
    Rows rows = {g, list};
    ul_visit(g->upstream_limits, bg_boot_ms(), add_known, &rows);
    if (list->len > 0) {
        send_rows(g, to, list, up);
    }
}

void
gn_send_upstream_limits(Gateway *g, LkPeer *to)
{
    send_known(g, to, false);
}

void
gn_report_upstream_limits(Gateway *g)
{
    send_known(g, NULL, true);
}

void
gn_tick_upstream_limits(Gateway *g, uint64_t now_ms)
{
    if (g->is_leader && now_ms >= g->upstream_limits_ms + PUBLISH_MS) {
        g->upstream_limits_ms = now_ms;
        gn_send_upstream_limits(g, NULL);
    }
}

/* Whether the limit is that of a process known here. */
bool
gn_is_valid_limit(const Gateway *g, const Gwp__UpstreamLimit *x)
{
    if (!ul_is_limit(x->per_s) || !ul_is_limit(x->rejects_per_s)) {
        bg_log(BG_WARN, "limits", "invalid limit of upstream %s", x->upstream);
        return false;
    }
    return ut_is_born(g->upstreams, x->upstream, x->born_ms);
}

static void
take_report(Gateway *g, const Gwp__UpstreamLimit *x)
{
    uint64_t now_ms = bg_boot_ms();
    UlValues values = {x->per_s, x->rejects_per_s};
    UlChange change = x->known ? ul_on_known(g->upstream_limits, now_ms,
                                             x->upstream, values, x->age_ms)
                               : ul_on_report(g->upstream_limits, now_ms,
                                              x->upstream, values);
    log_change(g, x->upstream, change, NULL);
    publish_change(g, x->upstream, change);
    report_slots(g, x->upstream, change);
}

static void
take_reports(Gateway *g, const Gwp__UpstreamLimits *m)
{
    for (size_t i = 0; i < m->n_rows; i++) {
        const Gwp__UpstreamLimit *x = m->rows[i];
        if (gn_is_valid_limit(g, x)) {
            take_report(g, x);
        }
    }
}

static void
take_limits(Gateway *g, const Gwp__UpstreamLimits *m)
{
    uint64_t now_ms = bg_boot_ms();
    for (size_t i = 0; i < m->n_rows; i++) {
        const Gwp__UpstreamLimit *x = m->rows[i];
        if (gn_is_valid_limit(g, x)) {
            UlValues values = {x->per_s, x->rejects_per_s};
            UlChange change =
                ul_on_limit(g->upstream_limits, now_ms, x->upstream, values);
            log_change(g, x->upstream, change, NULL);
            report_slots(g, x->upstream, change);
        }
    }
    gw_on_change(g->gw);
}

void
gn_take_upstream_limits(Gateway *g, const LkPeer *from,
                        const Gwp__Frame *frame)
{
    if (!from) {
        take_limits(g, frame->upstream_limits);
        lk_send_down(g->links, NULL, frame);
    }
    else if (g->is_leader) {
        take_reports(g, frame->upstream_limits);
    }
    else {
        lk_send_up(g->links, frame);
    }
}

/* ---- slots -------------------------------------------------------------- */

static void
send_ask(const Gateway *g, UlTicket ticket, const char *upstream,
         uint32_t max_wait_ms, uint32_t hold_ms)
{
    Gwp__SlotAsk a = GWP__SLOT_ASK__INIT;
    a.vm = (char *)gn_get_text(g, "name");
    a.ticket = ticket;
    Gwp__UpstreamLimit limit = gn_make_limit(g, upstream);
    a.limit = &limit;
    a.max_wait_ms = max_wait_ms;
    a.hold_ms = hold_ms;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_SLOT_ASK;
    f.slot_ask = &a;
    lk_send_up(g->links, &f);
}

void
gn_on_ask_slot(void *ctx, UlTicket ticket, const char *upstream,
               uint32_t max_wait_ms, uint32_t hold_ms)
{
    Gateway *g = ctx;
    uint64_t now_ms = bg_boot_ms();
    uint32_t wait_ms;
    bool granted;
    if (gn_leads(g, now_ms)) {
        granted = ul_schedule(g->upstream_limits, now_ms, upstream,
                              max_wait_ms, &wait_ms);
        UrAsk ask = {gn_get_text(g, "name"), ticket, max_wait_ms, hold_ms};
        if (granted && gn_ask_room(g, upstream, &ask)) {
            return;
        }
    }
    else if (!g->is_leader && gn_has_leader(g, now_ms)) {
        send_ask(g, ticket, upstream, max_wait_ms, hold_ms);
        return;
    }
    else {
        granted =
            ul_take_alone(g->upstream_limits, now_ms, upstream, &wait_ms);
    }
    ul_on_slot(g->upstream_limits, now_ms, ticket, granted, wait_ms);
}

static void
answer_ask(const Gateway *g, LkPeer *to, const Gwp__SlotAsk *ask, bool granted,
           uint32_t wait_ms)
{
    Gwp__SlotAnswer a = GWP__SLOT_ANSWER__INIT;
    a.vm = ask->vm;
    a.ticket = ask->ticket;
    a.granted = granted;
    a.wait_ms = wait_ms;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_SLOT_ANSWER;
    f.slot_answer = &a;
    lk_send_down(g->links, to, &f);
}

void
gn_take_slot_ask(Gateway *g, LkPeer *from, const Gwp__Frame *frame)
{
    uint64_t now_ms = bg_boot_ms();
    const Gwp__SlotAsk *a = frame->slot_ask;
    if (!g->is_leader && gn_has_leader(g, now_ms)) {
        lk_send_up(g->links, frame);
        return;
    }
    uint32_t wait_ms = UL_NO_LEADER_WAIT_MS;
    bool granted = false;
    if (gn_leads(g, now_ms) && a->limit && gn_is_valid_limit(g, a->limit)) {
        take_report(g, a->limit);
        granted = ul_schedule(g->upstream_limits, now_ms, a->limit->upstream,
                              a->max_wait_ms, &wait_ms);
        UrAsk ask = {a->vm, a->ticket, a->max_wait_ms, a->hold_ms};
        if (granted && gn_ask_room(g, a->limit->upstream, &ask)) {
            return;
        }
    }
    answer_ask(g, from, a, granted, wait_ms);
}

void
gn_take_slot_answer(Gateway *g, const Gwp__Frame *frame)
{
    const Gwp__SlotAnswer *x = frame->slot_answer;
    if (strcmp(x->vm, gn_get_text(g, "name")) == 0) {
        gw_on_slot(g->gw, bg_boot_ms(), x->ticket, x->granted, x->wait_ms);
        return;
    }
    gn_pass_to_vm(g, x->vm, frame);
}
