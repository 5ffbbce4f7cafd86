#include "gateway_node.h"

/* ---- leaving ------------------------------------------------------------ */

static void
take_leaving(Gateway *g, const UnProcess *process)
{
    const DepUpstream *entry = ut_on_leaving(g->upstreams, process);
    if (!entry) {
        return;
    }
    JlLine *l = jl_begin("upstream-leaves");
    jl_text(l, "upstream", entry->id);
    jl_text(l, "service", entry->service);
    jl_text(l, "address", entry->address);
    jl_text(l, "version", entry->version);
    jl_text(l, "by", "answer");
    jl_end(l);
    bg_count("gateway_leaving_noticed_total", 1);
    mp_on_draining(g->placement, entry->id);
    gn_publish_leaving(g, entry);
}

/* ---- rest --------------------------------------------------------------- */

/* The leader's requests to it wait as well, and its models are wanted
   elsewhere if half of the gateways hold back. */
static void
update_placement(Gateway *g, uint64_t now_ms, const UnProcess *process)
{
    uint64_t own_ms = un_get_rest_end_ms(g->notices, now_ms, process);
    uint64_t fleet_ms = un_get_fleet_end_ms(g->notices, now_ms, process);
    mp_on_rest(g->placement, process->id, own_ms, fleet_ms);
    if (g->is_leader) {
        gn_schedule_placement(g);
    }
}

static void
tell_leader(Gateway *g, uint64_t now_ms, const UnProcess *process)
{
    uint64_t end_ms = un_get_rest_end_ms(g->notices, now_ms, process);
    const char *vm = gn_get_text(g, "name");
    un_on_told(g->notices, now_ms, process, vm, end_ms);
    if (g->is_leader) {
        return;
    }
    Gwp__Resting m = GWP__RESTING__INIT;
    m.vm = (char *)vm;
    m.upstream = (char *)process->id;
    m.born_ms = process->born_ms;
    m.rest_ms = end_ms - now_ms;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_RESTING;
    f.resting = &m;
    lk_send_up(g->links, &f);
}

void
gn_take_resting(Gateway *g, const Gwp__Frame *frame)
{
    const Gwp__Resting *m = frame->resting;
    uint64_t now_ms = bg_boot_ms();
    UnProcess process = {m->upstream, m->born_ms};
    if (!g->is_leader) {
        lk_send_up(g->links, frame);
        return;
    }
    un_on_told(g->notices, now_ms, &process, m->vm,
               now_ms + MIN(m->rest_ms, UN_LAST_PROBE_MS));
    update_placement(g, now_ms, &process);
}

/* ---- answers ------------------------------------------------------------ */

static void
log_rest(const char *upstream, const char *what, uint64_t rest_ms)
{
    JlLine *l = jl_begin("upstream-rest");
    jl_text(l, "upstream", upstream);
    jl_text(l, "what", what);
    if (rest_ms) {
        jl_number(l, "rest_ms", (int64_t)rest_ms);
    }
    jl_end(l);
}

static void
log_not_read(const char *upstream, const char *text)
{
    JlLine *l = jl_begin("upstream-rest");
    jl_text(l, "upstream", upstream);
    jl_text(l, "what", "not read");
    jl_text(l, "text", text);
    jl_end(l);
}

static void
log_change(const Gateway *g, uint64_t now_ms, const UnProcess *process,
           const UnNotice *notice, UnChange change)
{
    if (change.rests) {
        bg_count("gateway_rests_asked_total", 1);
        log_rest(process->id, "asked",
                 un_get_rest_end_ms(g->notices, now_ms, process) - now_ms);
    }
    if (change.rest_is_over) {
        log_rest(process->id, "ended by an answer", 0);
    }
    if (change.not_read) {
        log_not_read(process->id, notice->text);
    }
}

void
gn_on_notice(void *ctx, const DepUpstream *upstream, uint64_t sent_ms,
             const UnNotice *notice)
{
    Gateway *g = ctx;
    uint64_t now_ms = bg_boot_ms();
    UnProcess process = {upstream->id, upstream->born_ms};
    const Ut *ut = ut_find(g->upstreams, upstream->id);
    UnChange change = un_on_answer(g->notices, now_ms, &process, sent_ms,
                                   ut ? ut_get_running(ut) : 0, notice);
    if (notice->rest == UN_REST_UNREADABLE) {
        bg_count("gateway_rests_unreadable_total", 1);
    }
    log_change(g, now_ms, &process, notice, change);
    if (change.rests) {
        tell_leader(g, now_ms, &process);
        update_placement(g, now_ms, &process);
    }
    if (change.leaves) {
        take_leaving(g, &process);
    }
}

static void
on_rest_over(void *ctx, const char *upstream)
{
    (void)ctx;
    log_rest(upstream, "over", 0);
}

void
gn_tick_notices(Gateway *g, uint64_t now_ms)
{
    un_on_tick(g->notices, now_ms, on_rest_over, g);
}
