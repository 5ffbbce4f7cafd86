#include "gateway_request_internal.h"

#include <string.h>

#define MIN_RETRY_MS 20 /* with less time left a request is not sent again */
/* A brittle upstream that bears none is one all the same. */
#define MIN_REJECTS_PER_S 0.1

/* ---- upstream answers --------------------------------------------------- */

static void
copy_headers(const HtHead *head, GString *out)
{
    g_string_truncate(out, 0);
    for (guint i = 0; i < head->headers->len; i++) {
        const HtHeader *h = &g_array_index(head->headers, HtHeader, i);
        if (!ht_is_hop_header(head, h->name)) {
            gw_append_line(out, h->name, h->value);
        }
    }
}

static void
read_brittle(const Req *q, const HtHead *head, UlNamed *named)
{
    double per_s = 0;
    switch (q->gw->wire->read_brittle(head, &per_s)) {
    case GW_NOT_BRITTLE:
        break;
    case GW_BRITTLE:
        named->rejects_per_s = MAX(per_s, MIN_REJECTS_PER_S);
        break;
    case GW_BRITTLE_UNREADABLE:
        named->kind = UL_UNREADABLE;
        break;
    }
}

static void
note_limit(const Req *q, const HtHead *head)
{
    const GwOutput *out = &q->gw->out;
    UlNamed named;
    if (head->status == 421) {
        return; /* it may be of another process at the same address */
    }
    q->gw->wire->read_limit(head, &named);
    read_brittle(q, head, &named);
    out->upstream_named(out->ctx, ut_get_id(q->ut), &named);
}

/* The answer 421 may be of another process at the same address. */
static void
note_notice(const Req *q, const HtHead *head)
{
    const GwOutput *out = &q->gw->out;
    UnNotice notice;
    if (head->status == 421) {
        return;
    }
    q->gw->wire->read_notice(head, &notice);
    out->upstream_noticed(out->ctx, ut_get_entry(q->ut), q->sent_ms, &notice);
}

bool
gw_may_write(void *ctx, HtCall *call)
{
    (void)call;
    Req *q = ctx;
    UnProcess u = ut_get_process(q->ut);
    q->held_back = !un_may_write(q->gw->notices, bg_boot_ms(), &u);
    return !q->held_back;
}

void
gw_on_call_head(void *ctx, HtCall *call, const HtHead *head)
{
    Req *q = ctx;
    g_free(q->helper);
    q->helper = g_strdup(ht_get_helper(call));
    const GwWire *w = q->gw->wire;
    uint64_t now_ms = bg_boot_ms();
    q->first_ms = now_ms;
    q->last_data_ms = now_ms;
    q->status = head->status;
    q->framing = head->framing;
    q->origin = ht_get_origin(call);
    q->not_run = head->status == 421 || ht_find_header(head, w->not_run);
    if (q->query.model && !q->not_run) {
        gw_add_count(q->gw->begun_answers, ut_get_id(q->ut));
    }
    GwLoad load;
    if (w->read_load(head, &load)) {
        ut_note_load(q->ut, now_ms, load.running, load.waiting);
    }
    note_limit(q, head);
    note_notice(q, head);
    if (!q->streaming) {
        copy_headers(head, q->head);
    }
    q->forwards_events = q->route->kind == DEP_STREAM && head->status == 200 &&
                         !q->not_run && ht_read_events(call, q->streaming);
    if (q->forwards_events) {
        gw_hold(q, call);
    }
}

static void
start_stream(Req *q)
{
    if (!q->streaming) {
        q->streaming = true;
        ht_start_answer(q->x, q->status, q->head->str, -1);
    }
}

static void
note_event(Req *q)
{
    uint64_t now_ms = bg_boot_ms();
    uint64_t gap_ms = q->last_event_ms ? now_ms - q->last_event_ms : 0;
    if (gap_ms > q->max_gap_ms) {
        q->max_gap_ms = (uint32_t)gap_ms;
        g_free(q->gap_upstream);
        q->gap_upstream = g_strdup(ut_get_id(q->ut));
    }
    q->last_gap_ms = gap_ms;
    q->last_event_ms = now_ms;
}

void
gw_on_call_bytes(void *ctx, HtCall *call, size_t len)
{
    (void)call;
    Req *q = ctx;
    q->last_data_ms = bg_boot_ms();
    q->body_bytes += len;
    gw_weigh(q);
}

/* Reads no more until the caller has taken what was read, or what is held back
   is passed on. */
static void
pause_reading(Req *q)
{
    if (q->hc) {
        q->paused = true;
        ht_pause_call(q->hc);
    }
}

/* Forwards only complete events, so that after a break the next upstream
   resumes exactly behind what the caller has. */
static void
pass_event(Req *q, const EsEvent *event)
{
    /* A mark is one only at the begin of the caller's stream. */
    size_t from = po_has_begun(q->position) ? event->mark_len : 0;
    if (!po_take(q->position, event)) {
        return;
    }
    gw_begin_stream(q);
    start_stream(q);
    ht_write_answer(q->x, event->text + from, event->len - from);
    q->events++;
    note_event(q);
    if (ht_get_unsent(q->x) > q->gw->params.max_unsent_bytes) {
        pause_reading(q);
    }
}

void
gw_on_call_event(void *ctx, HtCall *call, const EsEvent *event)
{
    (void)call;
    Req *q = ctx;
    if (!q->held) {
        pass_event(q, event);
        return;
    }
    gw_hold_event(q, event);
    gw_weigh(q);
    if (q->held_bytes > q->gw->params.max_unsent_bytes) {
        pause_reading(q);
    }
}

/* REST: what followed the last event. */
static void
finish_stream(Req *q, const GByteArray *rest)
{
    start_stream(q);
    ht_write_answer(q->x, (const char *)rest->data, rest->len);
    gw_log_end(q, "answered", q->status, NULL);
    gw_finish_call(q, UT_OUTCOME_GOOD);
    HtExchange *x = q->x;
    gw_free_req(q);
    ht_end_answer(x);
}

static void
forward_answer(Req *q, const GByteArray *body)
{
    HtExchange *x = q->x;
    gw_log_end(q, "answered", q->status, NULL);
    gw_finish_call(q, q->status >= 500 ? UT_OUTCOME_FAILED : UT_OUTCOME_GOOD);
    uint16_t status = q->status;
    g_autoptr(GString) head =
        g_string_new_len(q->head->str, (gssize)q->head->len);
    gw_free_req(q);
    gw_send_whole(x, status, head, body);
}

/* Whether the request may be sent again after an upstream may have run it. */
static bool
may_run_again(const Req *q, uint64_t now_ms)
{
    return gw_may_repeat(q) && q->runs < q->route->attempts &&
           now_ms + MIN_RETRY_MS < q->answer_by_ms;
}

/* 0: the upstream doesn't rest. */
static uint64_t
get_rest_ms(const Req *q, uint64_t now_ms)
{
    UnProcess u = ut_get_process(q->ut);
    uint64_t end_ms = un_get_rest_end_ms(q->gw->notices, now_ms, &u);
    return end_ms ? end_ms - now_ms : 0;
}

static void
log_not_run(const Req *q, uint64_t now_ms)
{
    JlLine *l = jl_begin("request-not-run");
    jl_text(l, "id", q->call.attempt_id);
    jl_text(l, "upstream", ut_get_id(q->ut));
    jl_number(l, "status", q->status);
    jl_number(l, "after_ms", (int64_t)(now_ms - q->sent_ms));
    jl_number(l, "left_ms", (int64_t)(q->answer_by_ms - q->sent_ms));
    jl_text(l, "model", q->query.model);
    jl_text(l, "adapter", q->query.adapter);
    uint64_t rest_ms = get_rest_ms(q, now_ms);
    if (rest_ms) {
        jl_number(l, "rest_ms", (int64_t)rest_ms);
    }
    jl_end(l);
}

/* The upstream ran nothing, so the request may go to another in any case. */
static void
handle_not_run(Req *q, uint64_t now_ms)
{
    q->sends++;
    Ut *ut = q->ut;
    bool other = q->status == 421;
    log_not_run(q, now_ms);
    if (!other && get_rest_ms(q, now_ms)) {
        /* Its wish says when it may be chosen again. */
        q->rested_ms = ut_get_rested_ms(ut, now_ms);
        gw_finish_call(q, UT_OUTCOME_NEUTRAL);
    }
    else if (q->query.model && (other || q->status == 503)) {
        /* It lacks the model, or an order for that model is in progress. */
        ut_note_absent(q->gw->upstreams, ut, now_ms, q->query.model,
                       q->query.adapter);
        gw_finish_call(q, UT_OUTCOME_NEUTRAL);
    }
    else {
        g_ptr_array_add(q->tried, ut);
        gw_finish_call(q, other ? UT_OUTCOME_NEUTRAL : UT_OUTCOME_SHED);
    }
    gw_try_send(q);
}

static void
log_broken(const Req *q, uint64_t now_ms, const char *why)
{
    JlLine *l = jl_begin("request-broken");
    jl_text(l, "id", q->call.attempt_id);
    gw_log_keys(l, q);
    jl_text(l, "upstream", ut_get_id(q->ut));
    jl_text(l, "why", why);
    jl_number(l, "after_ms", (int64_t)(now_ms - q->sent_ms));
    jl_text(l, "last_event", po_get_id(q->position));
    gw_log_body(l, q);
    jl_end(l);
}

static void
count_run(Req *q)
{
    q->sends++;
    q->runs++;
}

/* Its call failed, and is counted. */
static void
fail_over(Req *q, UtOutcome outcome, const char *why)
{
    uint64_t now_ms = bg_boot_ms();
    log_broken(q, now_ms, why);
    g_ptr_array_add(q->tried, q->ut);
    gw_finish_call(q, outcome);
    if (!may_run_again(q, now_ms)) {
        gw_give_up(q, 0, why);
        return;
    }
    gw_try_send(q);
}

void
gw_handle_failure(Req *q, UtOutcome outcome, const char *why)
{
    count_run(q);
    fail_over(q, outcome, why);
}

/* The upstream answered 5xx.  A request that may run again is sent to another
   upstream.  The answer is kept, and forwarded if no other upstream answers.
 */
static void
handle_error_status(Req *q, GByteArray *body)
{
    uint64_t now_ms = bg_boot_ms();
    if (q->status == 504 || !may_run_again(q, now_ms)) {
        forward_answer(q, body);
        return;
    }
    q->sends++;
    if (q->kept_head) {
        g_string_free(q->kept_head, TRUE);
        g_byte_array_unref(q->kept_body);
    }
    q->kept_status = q->status;
    q->kept_head = q->head;
    q->kept_body = g_byte_array_ref(body);
    q->head = g_string_new(NULL);
    g_ptr_array_add(q->tried, q->ut);
    gw_finish_call(q, UT_OUTCOME_FAILED);
    gw_try_send(q);
}

static void
log_not_connected(const Req *q, uint64_t now_ms)
{
    JlLine *l = jl_begin("request-not-connected");
    jl_text(l, "id", q->call.attempt_id);
    jl_text(l, "upstream", ut_get_id(q->ut));
    jl_number(l, "after_ms", (int64_t)(now_ms - q->sent_ms));
    jl_end(l);
    bg_count("gateway_not_connected_total", 1);
}

/* Its upstream asked for rest, or said that it leaves, while it waited for a
   connection. */
static void
handle_held_back(Req *q)
{
    q->unsent = true;
    gw_finish_call(q, UT_OUTCOME_NEUTRAL);
    q->retry_counted = q->sends > 0; /* the retry never left this process */
    gw_try_send(q);
}

static void
handle_not_sent(Req *q)
{
    log_not_connected(q, bg_boot_ms());
    g_ptr_array_add(q->tried, q->ut);
    if (!ut_is_unreachable(q->ut)) {
        q->gw->out.upstream_unreachable(q->gw->out.ctx, ut_get_id(q->ut));
    }
    gw_finish_call(q, UT_OUTCOME_UNREACHABLE);
    q->retry_counted = q->sends > 0; /* the retry never left this process */
    gw_try_send(q);
}

/* Another run would end alike, so there is none. */
static void
handle_too_large(Req *q)
{
    const char *why = ae_name_end(AE_TOO_LARGE);
    q->sends++;
    q->runs++;
    log_broken(q, bg_boot_ms(), why);
    gw_finish_call(q, UT_OUTCOME_NEUTRAL);
    gw_give_up(q, 0, why);
}

/* The status promises that the request has not run, and the upstream didn't
   say so: a caller would send what must run once again. */
static bool
promises_falsely(const Req *q)
{
    bool promise = q->status == 408 || q->status == 429 || q->status == 503;
    return promise && !q->streaming && !gw_may_repeat(q);
}

/* It has run, and its answer is complete. */
static void
pass_on(Req *q, GByteArray *body)
{
    if (q->forwards_events) {
        finish_stream(q, body);
    }
    else if (promises_falsely(q)) {
        bg_count("gateway_false_promises_total", 1);
        q->sends++;
        gw_finish_call(q, UT_OUTCOME_FAILED);
        gw_give_up(q, 0, "the upstream doesn't say that it has not run");
    }
    else if (q->streaming) {
        q->sends++;
        fail_over(q, UT_OUTCOME_FAILED, "resumption refused");
    }
    else if (q->status >= 500) {
        handle_error_status(q, body);
    }
    else {
        forward_answer(q, body);
    }
}

static void
drop_unconfirmed(Req *q)
{
    g_byte_array_unref(q->unconfirmed);
    q->unconfirmed = NULL;
    q->end = AE_SHORT;
    q->broke = true;
    q->sends++;
    bg_count("gateway_unframed_broken_total", 1);
    q->gw->out.upstream_broke(q->gw->out.ctx, ut_get_id(q->ut));
}

void
gw_on_process_known(Req *q, GwProcess process)
{
    q->asks_since_ms = 0;
    if (q->unconfirmed && process == GW_PROCESS_LIVES) {
        g_autoptr(GByteArray) body = g_steal_pointer(&q->unconfirmed);
        pass_on(q, body);
        return;
    }
    if (q->unconfirmed) {
        drop_unconfirmed(q);
    }
    q->upstream_ended = process == GW_PROCESS_ENDED;
    fail_over(q, UT_OUTCOME_FAILED, ae_name_end(q->end));
}

static void
on_process_checked(void *ctx, bool lives)
{
    Req *q = ctx;
    q->check = NULL;
    gw_on_process_known(q, lives ? GW_PROCESS_LIVES : GW_PROCESS_ENDED);
}

/* The process itself is asked, by way of another gateway if need be.  That a
   connection is opened says less, as one that ends may still accept some. */
static void
ask_for_process(Req *q)
{
    q->paused = false;
    if (ut_get_entry(q->ut)->born_ms != 0) {
        /* A question under way may have been answered before the end. */
        bool asked = gw_ask_birth(q);
        q->asks_since_ms = bg_boot_ms() + (asked ? 0 : 1);
        return;
    }
    q->check = ht_check_process(q->gw->pool, ut_get_address(q->ut),
                                on_process_checked, q);
}

/* An answer without a length looks alike whether it is whole or its process
   was killed: it is whole if that process lives on. */
static void
confirm_whole(Req *q, GByteArray *body)
{
    bg_count("gateway_unframed_asked_total", 1);
    q->unconfirmed = g_byte_array_ref(body);
    ask_for_process(q);
}

static void
handle_whole(Req *q, GByteArray *body)
{
    if (q->not_run) {
        handle_not_run(q, bg_boot_ms());
        return;
    }
    q->runs++;
    if (q->end == AE_WHOLE_CLOSE) {
        confirm_whole(q, body);
    }
    else {
        pass_on(q, body);
    }
}

static void
count_end(AeEnd end)
{
    static const char *const names[AE_ENDS] = {
        [AE_WHOLE_NO_BODY] = "gateway_ends_no_body_total",
        [AE_WHOLE_LENGTH] = "gateway_ends_length_total",
        [AE_WHOLE_CHUNKS] = "gateway_ends_last_chunk_total",
        [AE_WHOLE_CLOSE] = "gateway_ends_close_total",
        [AE_NOT_SENT] = "gateway_ends_not_sent_total",
        [AE_UNANSWERED] = "gateway_ends_no_answer_total",
        [AE_SHORT] = "gateway_ends_broken_off_total",
        [AE_RESET] = "gateway_ends_reset_total",
        [AE_INSIDE] = "gateway_ends_inside_total",
        [AE_NOT_HTTP] = "gateway_ends_garbled_total",
        [AE_TOO_LARGE] = "gateway_ends_too_large_total",
        [AE_TIMED_OUT] = "gateway_ends_timed_out_total"};
    bg_count(names[end], 1);
}

/* A path that broke looks like an end of the process, and so does an answer
   that was broken off. */
static void
handle_break(Req *q)
{
    if (!q->broke) {
        gw_handle_failure(q, UT_OUTCOME_FAILED, ae_name_end(q->end));
        return;
    }
    count_run(q); /* it may be answered before its process is known */
    ask_for_process(q);
}

void
gw_on_call_end(void *ctx, HtCall *call, AeEnd end, Ae *answer)
{
    (void)call;
    Req *q = ctx;
    q->hc = NULL;
    q->end = end;
    q->rest_bytes = ae_get_rest_bytes(answer);
    count_end(end);
    if (q->held && ae_is_whole(end)) {
        gw_hold_end(q, answer);
        return;
    }
    gw_drop_held(q);
    if (end == AE_NOT_SENT && q->held_back) {
        handle_held_back(q);
    }
    else if (end == AE_NOT_SENT) {
        handle_not_sent(q);
    }
    else if (end == AE_TOO_LARGE) {
        handle_too_large(q);
    }
    else if (ae_is_whole(end)) {
        handle_whole(q, ae_get_body(answer));
    }
    else {
        q->broke = ae_is_break(end);
        if (!q->broke) {
            gw_ask_process(q); /* so that the next stream there needn't wait */
        }
        q->gw->out.upstream_broke(q->gw->out.ctx, ut_get_id(q->ut));
        handle_break(q);
    }
}

void
gw_release_held(Req *q)
{
    g_autoptr(GPtrArray) events = g_steal_pointer(&q->held);
    g_autoptr(GByteArray) rest = g_steal_pointer(&q->held_rest);
    if (q->paused && q->hc) {
        q->paused = false;
        ht_resume_call(q->hc);
    }
    for (guint i = 0; i < events->len; i++) {
        pass_event(q, events->pdata[i]);
    }
    if (rest) {
        handle_whole(q, rest);
    }
}

void
gw_refuse_held(Req *q, const char *why)
{
    gw_drop_held(q);
    bg_count("gateway_other_processes_total", 1);
    if (q->hc) {
        ht_cancel_call(q->hc);
        q->hc = NULL;
    }
    gw_handle_failure(q, UT_OUTCOME_NEUTRAL, why);
}
