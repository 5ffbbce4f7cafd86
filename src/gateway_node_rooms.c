/* Slots of brittle upstreams (ur), which the leader hands out. */
#include "gateway_node.h"

/* ---- the leader --------------------------------------------------------- */

static void
answer_vm(Gateway *g, const char *vm, uint64_t ticket, bool granted,
          uint32_t wait_ms)
{
    Gwp__SlotAnswer a = GWP__SLOT_ANSWER__INIT;
    a.vm = (char *)vm;
    a.ticket = ticket;
    a.granted = granted;
    a.wait_ms = wait_ms;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_SLOT_ANSWER;
    f.slot_answer = &a;
    gn_pass_to_vm(g, vm, &f);
}

void
gn_on_room_answer(void *ctx, const char *vm, uint64_t ticket, bool granted,
                  uint32_t wait_ms)
{
    Gateway *g = ctx;
    uint64_t now_ms = bg_boot_ms();
    bg_count(granted ? "gateway_room_granted_total"
                     : "gateway_room_refused_total",
             1);
    if (strcmp(vm, gn_get_text(g, "name")) != 0) {
        answer_vm(g, vm, ticket, granted, wait_ms);
    }
    else if (g->asking_room) {
        (void)ul_on_slot(g->upstream_limits, now_ms, ticket, granted, wait_ms);
    }
    else {
        GnRoomAnswer answer = {ticket, granted, wait_ms};
        g_array_append_val(g->room_answers, answer);
    }
}

bool
gn_ask_room(Gateway *g, const char *upstream, const UrAsk *ask)
{
    double rejects_per_s = ul_get_rejects(g->upstream_limits, upstream);
    if (rejects_per_s == 0) {
        return false;
    }
    g->asking_room = true;
    ur_ask(g->rooms, bg_boot_ms(), upstream, rejects_per_s, ask);
    g->asking_room = false;
    return true;
}

/* Requests that are answered may ask for another slot at once. */
static void
pass_on_answers(Gateway *g, uint64_t now_ms)
{
    g_autoptr(GArray) answers = g_steal_pointer(&g->room_answers);
    g->room_answers = g_array_new(FALSE, FALSE, sizeof(GnRoomAnswer));
    for (guint i = 0; i < answers->len; i++) {
        const GnRoomAnswer *a = &g_array_index(answers, GnRoomAnswer, i);
        gw_on_slot(g->gw, now_ms, a->ticket, a->granted, a->wait_ms);
    }
}

void
gn_tick_rooms(Gateway *g, uint64_t now_ms)
{
    if (!g->is_leader) {
        return;
    }
    ur_on_tick(g->rooms, now_ms);
    if (g->room_answers->len > 0) {
        pass_on_answers(g, now_ms);
    }
}

/* ---- slots that are over ------------------------------------------------ */

static void
send_over(Gateway *g, UlTicket ticket, UrEnd end)
{
    Gwp__SlotOver o = GWP__SLOT_OVER__INIT;
    o.vm = (char *)gn_get_text(g, "name");
    o.ticket = ticket;
    o.end = end;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_SLOT_OVER;
    f.slot_over = &o;
    lk_send_up(g->links, &f);
}

void
gn_on_slot_over(void *ctx, UlTicket ticket, const char *upstream, UrEnd end)
{
    Gateway *g = ctx;
    uint64_t now_ms = bg_boot_ms();
    if (end == UR_TURNED_AWAY) {
        bg_count("gateway_turned_away_total", 1);
    }
    if (g->is_leader) {
        ur_on_over(g->rooms, now_ms, gn_get_text(g, "name"), ticket, end);
    }
    else if (gn_has_leader(g, now_ms)) {
        send_over(g, ticket, end);
    }
    else if (upstream && (end == UR_SERVED || end == UR_UNUSED)) {
        ul_keep_slot(g->upstream_limits, now_ms, upstream);
    }
}

void
gn_take_slot_over(Gateway *g, const Gwp__Frame *frame)
{
    const Gwp__SlotOver *o = frame->slot_over;
    if (!g->is_leader) {
        lk_send_up(g->links, frame);
        return;
    }
    UrEnd end = o->end <= UR_UNUSED ? (UrEnd)o->end : UR_BROKEN;
    ur_on_over(g->rooms, bg_boot_ms(), o->vm, o->ticket, end);
}

/* ---- slots of a former leader, or from before --------------------------- */

void
gn_on_slot_held(void *ctx, UlTicket ticket, const char *upstream,
                uint32_t hold_ms)
{
    Gateway *g = ctx;
    Gwp__UpstreamLimit limit = gn_make_limit(g, upstream);
    Gwp__SlotHeld h = GWP__SLOT_HELD__INIT;
    h.vm = (char *)gn_get_text(g, "name");
    h.ticket = ticket;
    h.limit = &limit;
    h.hold_ms = hold_ms;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_SLOT_HELD;
    f.slot_held = &h;
    gn_take_slot_held(g, &f);
}

void
gn_take_slot_held(Gateway *g, const Gwp__Frame *frame)
{
    const Gwp__SlotHeld *h = frame->slot_held;
    if (!g->is_leader) {
        lk_send_up(g->links, frame);
        return;
    }
    const Gwp__UpstreamLimit *x = h->limit;
    if (x && gn_is_valid_limit(g, x) && x->rejects_per_s > 0) {
        UrAsk ask = {h->vm, h->ticket, 0, h->hold_ms};
        ur_on_held(g->rooms, bg_boot_ms(), x->upstream, x->rejects_per_s,
                   &ask);
    }
}
