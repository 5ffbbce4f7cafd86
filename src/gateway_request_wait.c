#include "gateway_request_internal.h"

#include <string.h>

/* A request for a service without upstreams waits this long: the list may be
   out of date. */
#define EMPTY_WAIT_MS 150
/* The longest list of upstreams is complete within this time after the first
   configuration, unless the store is unreachable. */
#define FIRST_LIST_TIMEOUT_MS 5000
/* The leader counts as lost after this time without contact. */
#define LEADER_LOST_MS 1000
/* From the last contact with a lost leader to the first order of the next: the
   rest of the lease, the claim, the guard interval. */
#define LEADER_CHANGE_MS 5200
/* The wait that is assumed after LEADER_CHANGE_MS: a leader is overdue and may
   send orders at any moment. */
#define LEADER_OVERDUE_MS 400
#define ESTIMATE_MAX_AGE_MS 1500 /* older ones are ignored */
/* A request is refused rather than queued at an upstream where it would wait
   longer than this multiple of its route's objective.  A longer queue makes
   all answers late and raises no throughput: the upstream begins as many
   requests a second with a short one. */
#define MAX_QUEUE_OBJECTIVES 1.25
/* Least time that a model needs to answer once its load has ended.  If the
   caller leaves earlier, the request does not wait for the model. */
#define MIN_SERVE_MS 150
/* An answer to a slot request isn't waited for longer than this where
   others could serve the request. */
#define BRIEF_ANSWER_MS 60
/* Without a leader a slot is refused at once, and may be asked for again at
   the same upstream: without an end, each time deeper in the stack. */
#define MAX_ASKS_AT_ONCE 8
/* The leader tells within this time when a model is loaded elsewhere. */
#define ESTIMATE_WAIT_MS 200
/* What returns after a rest is spread over this time. */
#define RETURN_SPREAD_MS 400
/* For the next version plan: the leader finds out, and the store takes it. */
#define PLAN_WAIT_MS 1500
/* Of one request, including sends that ran nothing; anew after it waited for
   the end of a rest. */
#define MAX_SENDS 6

/* ---- waiting ------------------------------------------------------------ */

/* Time until a leader can send orders; 0: it can now. */
static uint32_t
get_leader_wait_ms(const Gw *g, uint64_t now_ms)
{
    if (now_ms > g->leader_ms + LEADER_LOST_MS) {
        uint64_t back_ms = g->leader_ms + LEADER_CHANGE_MS;
        return back_ms > now_ms + LEADER_OVERDUE_MS
                   ? (uint32_t)(back_ms - now_ms)
                   : LEADER_OVERDUE_MS;
    }
    return g->first_order_ms > now_ms ? (uint32_t)(g->first_order_ms - now_ms)
                                      : 0;
}

static uint32_t
get_wait_ms(const Req *q, uint64_t now_ms)
{
    uint32_t leader_ms = get_leader_wait_ms(q->gw, now_ms);
    g_autofree char *key =
        dep_make_key(q->query.model, q->lacks_model ? NULL : q->query.adapter);
    const WaitEstimate *w = g_hash_table_lookup(q->gw->wait_estimates, key);
    if (!w || now_ms - w->reported_ms > ESTIMATE_MAX_AGE_MS) {
        return leader_ms;
    }
    uint64_t gone_ms = now_ms - w->reported_ms;
    uint32_t load_ms =
        w->wait_ms > gone_ms ? w->wait_ms - (uint32_t)gone_ms : 1;
    return leader_ms + load_ms;
}

static void
wait_for(Req *q, uint64_t now_ms, const char *what)
{
    if (q->gw->closed) {
        gw_give_up(q, RETRY_STOPPING_MS, "the gateway stops");
        return;
    }
    bool begins = q->state != REQ_WAITING || !q->waiting_for;
    q->state = REQ_WAITING;
    q->waiting_for = what;
    q->waited_for = q->waited_for ? q->waited_for : what;
    if (begins && q->query.model) {
        JlLine *l = jl_begin("request-waits");
        jl_text(l, "id", q->call.attempt_id);
        gw_log_keys(l, q);
        jl_text(l, "for", what);
        jl_text(l, "model", q->call.model);
        jl_text(l, "adapter", q->call.adapter);
        jl_number(l, "estimate_ms", get_wait_ms(q, now_ms));
        jl_end(l);
        q->gw->out.demand_changed(q->gw->out.ctx);
    }
}

/* Time at which the caller disconnects if it receives nothing more. */
static uint64_t
get_disconnect_ms(const Req *q)
{
    if (!q->streaming) {
        return q->first_byte_by_ms;
    }
    return q->route->event_timeout_ms
               ? MIN(q->answer_by_ms,
                     q->last_event_ms + q->route->event_timeout_ms)
               : q->answer_by_ms;
}

/* Refuses the request at once if the model is estimated to come too late, with
   the estimate as Retry-After. */
static void
wait_for_model(Req *q, uint64_t now_ms, const char *what)
{
    uint32_t wait_ms = get_wait_ms(q, now_ms);
    if (wait_ms && now_ms + wait_ms + MIN_SERVE_MS > get_disconnect_ms(q)) {
        gw_give_up(q, wait_ms, "model can't be loaded in time");
        return;
    }
    wait_for(q, now_ms, what);
}

/* Longest queueing time to accept at an upstream; 0: any, if the request has
   already run somewhere, waits for a rest or its route has no objective. */
static uint32_t
get_max_wait_ms(const Req *q, uint64_t now_ms)
{
    /* What waited for a rest is most of the queue that is seen at its end. */
    if (q->runs > 0 || q->route->objective_ms == 0 || gw_waits_for_rest(q)) {
        return 0;
    }
    uint64_t left_ms = q->first_byte_by_ms - now_ms;
    return (uint32_t)MAX(
        MIN(q->route->objective_ms * MAX_QUEUE_OBJECTIVES, (double)left_ms),
        1);
}

/* Even on the least busy upstream the request can't begin in time.
   Retry-After is the time until the queue there is short enough, plus a random
   part that spreads the retries. */
static void
refuse_busy(Req *q, uint64_t now_ms, const Ut *least_busy)
{
    uint32_t over_ms =
        ut_get_wait_ms(least_busy, now_ms) - q->query.max_wait_ms;
    uint32_t spread = (uint32_t)bg_pick_random(&q->gw->rng, RETRY_LATER_MS);
    if (q->query.model) {
        gw_add_count(q->gw->refused_busy, q->query.model);
    }
    gw_give_up(q, RETRY_SOON_MS + over_ms + spread, "too many wait");
}

/* The process has just started: an upstream that could serve the request may
   be in the part of the list that was not read yet. */
static bool
may_be_unlisted(const Req *q, uint64_t now_ms)
{
    const Gw *g = q->gw;
    return !g->upstreams_complete &&
           now_ms < g->config_ms + FIRST_LIST_TIMEOUT_MS &&
           now_ms < q->arrival_ms + START_MAX_WAIT_MS;
}

/* No gateway can serve the request while things are as they are. */
static void
refuse_for_good(Req *q, const char *why)
{
    if (q->runs == 0) {
        gw_answer(q, 503, 0, why);
    }
    else {
        gw_give_up(q, 0, why);
    }
}

/* False: the request waits, or was refused. */
static bool
pick_version(Req *q, uint64_t now_ms)
{
    const char *why = NULL;
    switch (gw_pick_version(q, now_ms, &why)) {
    case GW_VERSION_PICKED:
        return true;
    case GW_VERSION_ASKED:
        q->lacks_model = false;
        wait_for(q, now_ms, "version");
        return false;
    case GW_VERSION_UNCONFIRMED:
        gw_give_up(q, RETRY_SOON_MS, why);
        return false;
    case GW_VERSION_UNKNOWN:
        refuse_for_good(q, why);
        return false;
    }
    return false;
}

/* Upstreams of other versions can't serve it.  A stream that has not begun is
   given to a version that holds its model. */
static bool
is_bound(const Req *q)
{
    return q->query.version && vp_is_mixed(q->gw->versions, q->service);
}

/* The leader gives the stream's share to another version once it finds that
   none of this one serves. */
static void
wait_for_plan(Req *q, uint64_t now_ms)
{
    if (now_ms > q->arrival_ms + PLAN_WAIT_MS) {
        gw_give_up(q, RETRY_SOON_MS, "no upstream of its version");
        return;
    }
    q->lacks_model = false;
    wait_for(q, now_ms, "version");
}

static void
wait_for_list(Req *q, uint64_t now_ms)
{
    q->lacks_model = false;
    wait_for(q, now_ms, "upstream");
}

/* ---- slots of limited upstreams ----------------------------------------- */

/* Its upstream rests or leaves: the slot goes back. */
static bool
is_slot_vain(const Req *q, uint64_t now_ms)
{
    const char *at = ul_get_upstream(q->gw->upstream_limits, q->ticket);
    const Ut *ut = at ? ut_find(q->gw->upstreams, at) : NULL;
    return ut && (ut_is_gone(ut) || ut_get_rested_ms(ut, now_ms) > now_ms);
}

/* False: the request goes on waiting for its slot. */
static bool
check_slot(Req *q, uint64_t now_ms)
{
    Ul *limits = q->gw->upstream_limits;
    if (is_slot_vain(q, now_ms)) {
        gw_drop_ticket(q);
        return true;
    }
    switch (ul_check(limits, now_ms, q->ticket)) {
    case UL_SLOT_ASKED:
        if (!q->others_serve || now_ms < q->slot_asked_ms + BRIEF_ANSWER_MS) {
            return false;
        }
        break;
    case UL_SLOT_LATER:
        return false;
    case UL_SLOT_NOW:
        q->query.slot_at = ul_get_upstream(limits, q->ticket);
        return true;
    case UL_SLOT_NONE:
        break;
    }
    gw_drop_ticket(q);
    return true;
}

/* Asks the leader for a slot of UT. */
static void
ask_slot(Req *q, const Ut *ut, uint64_t now_ms, bool others_serve)
{
    const GwOutput *out = &q->gw->out;
    bool send;
    uint32_t max_wait_ms =
        others_serve ? UT_BRIEF_SLOT_WAIT_MS : q->query.max_slot_wait_ms;
    q->ticket = ul_ask(q->gw->upstream_limits, now_ms, ut_get_id(ut),
                       max_wait_ms, &send);
    q->slot_asked_ms = now_ms;
    q->others_serve = others_serve;
    q->state = REQ_WAITING;
    q->waiting_for = "limit";
    q->waited_for = q->waited_for || others_serve ? q->waited_for : "limit";
    if (send) {
        bg_count("gateway_slots_asked_total", 1);
        out->ask_slot(out->ctx, q->ticket, ut_get_id(ut), max_wait_ms,
                      gw_get_hold_ms(q, now_ms));
    }
}

/* A request that was sent before waits on, until its caller leaves.  Any other
   is refused at once, with the time until the next slot as Retry-After. */
static void
handle_limited(Req *q, uint64_t now_ms, const Ut *first)
{
    uint32_t wait_ms =
        ul_get_wait_ms(q->gw->upstream_limits, now_ms, ut_get_id(first));
    bg_count("gateway_held_for_limit_total", 1);
    if (q->runs > 0 && now_ms + wait_ms < get_disconnect_ms(q)) {
        wait_for(q, now_ms, "limit");
        return;
    }
    if (q->query.model) {
        gw_add_count(q->gw->refused_busy, q->query.model);
    }
    gw_give_up(q, wait_ms, "over the upstream's limit");
}

/* The request is sent to UT: its slot is used, or another request may have
   it. */
static void
settle_ticket(Req *q, const Ut *ut)
{
    Ul *limits = q->gw->upstream_limits;
    if (q->ticket && strcmp(q->query.slot_at, ut_get_id(ut)) == 0) {
        ul_use(limits, q->ticket);
        bool brittle = ul_get_rejects(limits, ut_get_id(ut)) > 0;
        q->room_ticket = brittle ? q->ticket : 0;
        q->ticket = 0;
    }
    gw_drop_ticket(q);
}

/* ---- upstreams that rest ------------------------------------------------ */

static uint32_t
get_max_rest_ms(const Req *q, uint64_t now_ms)
{
    uint64_t end_ms = get_disconnect_ms(q);
    return end_ms > now_ms + MIN_SERVE_MS
               ? (uint32_t)(end_ms - now_ms - MIN_SERVE_MS)
               : 0;
}

static void
refuse_resting(Req *q, uint32_t wait_ms)
{
    uint32_t spread = (uint32_t)bg_pick_random(&q->gw->rng, RETURN_SPREAD_MS);
    bg_count("gateway_refused_for_rest_total", 1);
    if (q->query.model) {
        gw_add_count(q->gw->refused_busy, q->query.model);
    }
    gw_give_up(q, wait_ms + spread, "upstreams ask for rest");
}

/* Time until the first of those that rest may be sent to, or until the model
   is loaded elsewhere if that is sooner; 0: that isn't known yet. */
static uint32_t
get_rest_wait_ms(const Req *q, uint64_t now_ms, const Ut *first)
{
    uint32_t rest_ms =
        (uint32_t)MIN(ut_get_rested_ms(first, now_ms) - now_ms, UINT32_MAX);
    if (!q->query.model ||
        !ut_has_awake(q->gw->upstreams, now_ms, &q->query)) {
        return rest_ms;
    }
    uint32_t load_ms = get_wait_ms(q, now_ms);
    return load_ms                                     ? MIN(rest_ms, load_ms)
           : now_ms < q->arrival_ms + ESTIMATE_WAIT_MS ? 0
                                                       : rest_ms;
}

static void
log_rest(const Req *q, uint64_t now_ms, const Ut *first)
{
    JlLine *l = jl_begin("request-rests");
    jl_text(l, "id", q->call.attempt_id);
    jl_text(l, "upstream", ut_get_id(first));
    jl_number(l, "rested_in_ms",
              (int64_t)(ut_get_rested_ms(first, now_ms) - now_ms));
    jl_end(l);
}

static uint32_t
count_resting(const Gw *g)
{
    uint32_t n = 0;
    for (const GList *l = g->reqs.head; l; l = l->next) {
        n += gw_waits_for_rest(l->data);
    }
    return n;
}

/* Those that wait already will take all that can be sent in its time. */
static bool
is_rest_crowded(const Req *q, uint64_t now_ms)
{
    return q->sends == 0 && !gw_waits_for_rest(q) &&
           !un_may_wait(q->gw->notices, now_ms, count_resting(q->gw),
                        get_max_rest_ms(q, now_ms));
}

/* FIRST: the upstream whose rest ends first. */
static void
wait_for_rest(Req *q, uint64_t now_ms, const Ut *first)
{
    if (!gw_waits_for_rest(q)) {
        log_rest(q, now_ms, first);
    }
    gw_drop_turn(q);
    uint32_t wait_ms = get_rest_wait_ms(q, now_ms, first);
    if (wait_ms > get_max_rest_ms(q, now_ms) || is_rest_crowded(q, now_ms)) {
        refuse_resting(q, wait_ms);
        return;
    }
    q->lacks_model = true;
    q->lacks_version = q->version && is_bound(q);
    wait_for(q, now_ms, GW_FOR_REST);
}

/* It waited so long that its answer would come too late. */
static bool
has_rested_away(const Req *q, uint64_t now_ms)
{
    return gw_waits_for_rest(q) && get_max_rest_ms(q, now_ms) == 0;
}

/* As many upstreams turned it away as may be asked at a time: the rest of the
   last one is waited for.  False: it may be sent. */
static bool
rests_after_sends(Req *q, uint64_t now_ms)
{
    if (q->rested_ms && now_ms >= q->rested_ms) {
        q->rested_ms = 0;
        q->sends_before_rest = q->sends;
    }
    if (q->sends < q->sends_before_rest + MAX_SENDS || !q->rested_ms) {
        return false;
    }
    uint32_t wait_ms = (uint32_t)MIN(q->rested_ms - now_ms, UINT32_MAX);
    if (wait_ms > get_max_rest_ms(q, now_ms)) {
        refuse_resting(q, wait_ms);
    }
    else {
        wait_for(q, now_ms, GW_FOR_REST);
    }
    return true;
}

typedef struct {
    Req *req;
    uint32_t priority; /* 0: the most urgent */
} Rested;

static gint
compare_urgency(gconstpointer a, gconstpointer b)
{
    const Rested *x = a;
    const Rested *y = b;
    if (x->priority != y->priority) {
        return x->priority < y->priority ? -1 : 1;
    }
    return x->req->answer_by_ms < y->req->answer_by_ms
               ? -1
               : x->req->answer_by_ms > y->req->answer_by_ms;
}

void
gw_try_rested(Gw *g)
{
    g_autoptr(GArray) list = g_array_new(FALSE, FALSE, sizeof(Rested));
    for (GList *l = g->reqs.head; l; l = l->next) {
        Req *q = l->data;
        if (gw_waits_for_rest(q)) {
            Rested r = {q, gw_get_priority(q)};
            g_array_append_val(list, r);
        }
    }
    g_array_sort(list, compare_urgency);
    for (guint i = 0; i < list->len; i++) {
        gw_try_send(g_array_index(list, Rested, i).req);
    }
}

/* ---- turns of suspects -------------------------------------------------- */

static void
wait_for_turn(Req *q, uint64_t now_ms, uint32_t wait_ms)
{
    if (now_ms + wait_ms > get_disconnect_ms(q)) {
        gw_give_up(q, wait_ms, "no turn in time");
        return;
    }
    wait_for(q, now_ms, "turn");
}

static bool
use_turn(Req *q)
{
    sp_use(q->gw->suspects, q->turn);
    bg_count("gateway_turns_used_total", 1);
    return true;
}

/* Asks for a turn on UT.  True: it was granted at once. */
static bool
ask_turn(Req *q, const Ut *ut, uint64_t now_ms)
{
    Sp *suspects = q->gw->suspects;
    const GwOutput *out = &q->gw->out;
    uint32_t wait_ms;
    q->turn = sp_ask(suspects, now_ms, &q->keys, ut_get_id(ut), &wait_ms);
    if (!q->turn) {
        wait_for_turn(q, now_ms, wait_ms);
        return false;
    }
    bg_count("gateway_turns_asked_total", 1);
    uint32_t run_ms = (uint32_t)(q->answer_by_ms - now_ms);
    out->ask_turn(out->ctx, q->turn, &q->keys, ut_get_id(ut), run_ms);
    switch (sp_check(suspects, now_ms, q->turn)) {
    case SP_TURN_GRANTED:
        return use_turn(q);
    case SP_TURN_ASKED:
        break;
    case SP_TURN_NONE:
        gw_drop_turn(q);
        break;
    }
    wait_for(q, now_ms, "turn");
    return false;
}

/* False: Q waits for its turn, or was refused. */
static bool
take_turn(Req *q, const Ut *ut, uint64_t now_ms)
{
    Sp *suspects = q->gw->suspects;
    uint32_t wait_ms;
    if (sp_get_verdict(suspects, now_ms, &q->keys, &wait_ms) == SP_CLEAR) {
        gw_drop_turn(q);
        return true;
    }
    const char *at = sp_get_upstream(suspects, q->turn);
    SpTurnState state = at && strcmp(at, ut_get_id(ut)) == 0
                            ? sp_check(suspects, now_ms, q->turn)
                            : SP_TURN_NONE;
    switch (state) {
    case SP_TURN_GRANTED:
        return use_turn(q);
    case SP_TURN_ASKED:
        wait_for(q, now_ms, "turn");
        return false;
    case SP_TURN_NONE:
        break;
    }
    gw_drop_turn(q);
    return ask_turn(q, ut, now_ms);
}

/* ---- the next step of a request ----------------------------------------- */

/* Longest wait for a slot, if no other upstream can serve the request. */
static uint32_t
get_max_slot_wait_ms(const Req *q, uint64_t now_ms)
{
    uint64_t end_ms = get_disconnect_ms(q);
    uint64_t left_ms = end_ms > now_ms ? end_ms - now_ms : 0;
    uint64_t most_ms = MIN(left_ms, UL_MAX_WAIT_MS);
    return (uint32_t)(q->query.max_wait_ms ? MIN(q->query.max_wait_ms, most_ms)
                                           : most_ms);
}

/* The configuration changed while the request waited. */
static bool
is_key_taken_away(const Req *q)
{
    const DepConfig *now = q->gw->config;
    return q->workspace && now != q->config &&
           !dep_find_workspace(now, &q->key);
}

static void
refuse_key(Req *q)
{
    if (q->runs > 0) {
        gw_give_up(q, 0, "key taken away");
        return;
    }
    bg_count("gateway_keys_refused_total", 1);
    gw_refund_limit(q);
    gw_answer(q, 401, 0, "key taken away");
}

static void try_send(Req *q, uint32_t asks);

/* UT has slots only for some.  ASKS: as in try_send. */
static void
ask_and_try(Req *q, uint64_t now_ms, Ut *ut, bool others_serve, uint32_t asks)
{
    if (asks >= MAX_ASKS_AT_ONCE) {
        handle_limited(q, now_ms, ut);
        return;
    }
    ask_slot(q, ut, now_ms, others_serve);
    if (check_slot(q, now_ms)) {
        try_send(q, asks + 1); /* it was answered at once */
    }
}

void
gw_try_send(Req *q)
{
    try_send(q, 0);
}

/* ASKS: slots that Q has asked for since gw_try_send. */
static void
try_send(Req *q, uint32_t asks)
{
    uint64_t now_ms = bg_boot_ms();
    if (now_ms >= q->answer_by_ms ||
        (!q->streaming && now_ms >= q->first_byte_by_ms)) {
        gw_give_up(q, RETRY_SOON_MS, "deadline");
        return;
    }
    /* The caller left while the request waited: don't send it. */
    if (ht_is_gone(q->x)) {
        q->state = REQ_WAITING;
        q->waiting_for = "nothing: caller disconnected";
        return;
    }
    if (rests_after_sends(q, now_ms)) {
        return;
    }
    if (q->sends >= q->sends_before_rest + MAX_SENDS) {
        gw_give_up(q, RETRY_SOON_MS, "too many sends");
        return;
    }
    if (is_key_taken_away(q)) {
        refuse_key(q);
        return;
    }
    uint32_t stopped_ms;
    if (sp_get_verdict(q->gw->suspects, now_ms, &q->keys, &stopped_ms) ==
        SP_STOPPED) {
        gw_stop(q, stopped_ms);
        return;
    }
    if (q->ticket && !check_slot(q, now_ms)) {
        return;
    }
    if (!pick_version(q, now_ms)) {
        return;
    }
    Ut *ut = NULL;
    q->lacks_version = false;
    q->query.max_wait_ms = get_max_wait_ms(q, now_ms);
    q->query.max_slot_wait_ms = get_max_slot_wait_ms(q, now_ms);
    q->query.max_rest_ms = get_max_rest_ms(q, now_ms);
    UtChoice found = ut_choose(q->gw->upstreams, now_ms, &q->query, &ut);
    if (found != UT_FOUND) {
        gw_drop_ticket(q);
    }
    if (!ut && may_be_unlisted(q, now_ms)) {
        wait_for_list(q, now_ms);
        return;
    }
    switch (found) {
    case UT_BUSY:
        refuse_busy(q, now_ms, ut);
        return;
    case UT_FOUND:
        if (has_rested_away(q, now_ms)) {
            refuse_resting(q, 0);
            return;
        }
        if (!take_turn(q, ut, now_ms)) {
            return;
        }
        if (q->sends > 0 && !q->retry_counted &&
            !rb_take(q->gw->budget, now_ms, q->service)) {
            gw_give_up(q, RETRY_LATER_MS, "no budget for a retry");
            return;
        }
        q->retry_counted = false;
        settle_ticket(q, ut);
        gw_send_to(q, ut, now_ms);
        return;
    case UT_ASK:
    case UT_ASK_BRIEFLY:
        ask_and_try(q, now_ms, ut, found == UT_ASK_BRIEFLY, asks);
        return;
    case UT_LIMITED:
        handle_limited(q, now_ms, ut);
        return;
    case UT_RESTING:
        wait_for_rest(q, now_ms, ut);
        return;
    case UT_COLD:
        q->lacks_model = true;
        q->lacks_version = q->version && is_bound(q);
        wait_for_model(q, now_ms, "model");
        return;
    case UT_ADAPTER:
        q->lacks_model = false;
        q->lacks_version = is_bound(q);
        wait_for_model(q, now_ms, "adapter");
        return;
    case UT_FULL:
        wait_for(q, now_ms, "slot");
        return;
    case UT_UNREACHABLE:
        if (q->runs == 0 && q->gw->out.is_isolated(q->gw->out.ctx)) {
            gw_give_up(q, RETRY_LATER_MS, "cut off from the upstreams");
            return;
        }
        /* The leader may have the model loaded elsewhere. */
        q->lacks_model = true;
        q->lacks_version = q->version && is_bound(q);
        if (q->query.model) {
            wait_for_model(q, now_ms, "reachable upstream");
        }
        else {
            wait_for(q, now_ms, "reachable upstream");
        }
        return;
    case UT_NONE:
        if (gw_may_move(q)) {
            wait_for_plan(q, now_ms);
            return;
        }
        if (now_ms < MAX(q->arrival_ms, q->gw->config_ms) + EMPTY_WAIT_MS) {
            wait_for(q, now_ms, "upstream");
            return;
        }
        if (q->version) {
            refuse_for_good(q, "no upstream of its version");
            return;
        }
        gw_give_up(q, RETRY_LATER_MS, "the service has no upstream");
        return;
    case UT_TRIED:
        if (q->runs == 0 && q->gw->out.is_isolated(q->gw->out.ctx)) {
            gw_give_up(q, RETRY_LATER_MS, "cut off from the upstreams");
            return;
        }
        if (q->tried->len > 0 && (q->runs == 0 || gw_may_repeat(q))) {
            /* Try the upstreams that broke off once more: most of them are
               well, and one that is gone will be found unreachable, so that
               the leader has the model loaded elsewhere. */
            g_ptr_array_set_size(q->tried, 0);
            wait_for(q, now_ms, "slot");
            return;
        }
        gw_give_up(q, RETRY_SOON_MS, "no other upstream");
        return;
    }
}
