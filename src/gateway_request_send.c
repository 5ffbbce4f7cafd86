#include "gateway_request_internal.h"

#include <string.h>

/* Connections that were idle for longer are not reused for a request that may
   not be sent twice: it would be lost if the upstream closed the connection at
   the same moment. */
#define MAX_IDLE_NO_REPEAT_MS 1500
/* Urgency on the wire: 0 is the most urgent, 5 the default, 9 the least. */
#define FIRST_URGENCY 3
#define URGENCY_STEP 2
#define LAST_URGENCY 9
#define DIGEST_LEN 16 /* hexadecimal digits */
/* A slot of a brittle upstream is held beyond the deadline of its request. */
#define HOLD_SLACK_MS 1000

void
gw_add_count(GHashTable *counts, const char *key)
{
    guint n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, key));
    g_hash_table_insert(counts, g_strdup(key), GUINT_TO_POINTER(n + 1));
}

/* ---- heads of answers and requests -------------------------------------- */

void
gw_append_line(GString *out, const char *name, const char *value)
{
    g_string_append(out, name);
    g_string_append(out, ": ");
    g_string_append(out, value);
    g_string_append(out, "\r\n");
}

void
gw_append_retry(GString *out, uint32_t retry_ms)
{
    if (retry_ms) {
        g_string_append_printf(out, "Retry-After: %.3f\r\n", retry_ms / 1000.);
    }
}

/* ---- results ------------------------------------------------------------ */

static void
count_outcome(const Req *q, const char *outcome, uint64_t now_ms)
{
    static const char *const names[][2] = {
        {"answered", "gateway_answered_total"},
        {"passed-on", "gateway_passed_on_total"},
        {"refused", "gateway_refused_total"},
        {"limited", "gateway_limited_total"},
        {"failed", "gateway_failed_total"},
        {"caller-gone", "gateway_caller_gone_total"}};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(names[i][0], outcome) == 0) {
            bg_count(names[i][1], 1);
        }
    }
    bg_count("gateway_sends_total", q->sends + (q->ut != NULL));
    if (strcmp(outcome, "answered") == 0) {
        hist_add(q->gw->answer_us, (now_ms - q->arrival_ms) * 1000);
    }
    if (strcmp(outcome, "answered") == 0 && q->first_ms) {
        hist_add(q->gw->first_byte_us, (q->first_ms - q->arrival_ms) * 1000);
    }
}

static void
log_parts(JlLine *l, const SpKeys *keys)
{
    if (keys->part_count == 0) {
        return;
    }
    g_autoptr(GString) text = g_string_new(NULL);
    for (uint32_t i = 0; i < keys->part_count; i++) {
        g_string_append_printf(text, "%s%016llx", i ? "," : "",
                               (unsigned long long)keys->parts[i]);
    }
    jl_text(l, "parts", text->str);
}

void
gw_log_keys(JlLine *l, const Req *q)
{
    char text[DIGEST_LEN + 1];
    (void)g_snprintf(text, sizeof(text), "%016llx",
                     (unsigned long long)q->keys.request);
    jl_text(l, "request", text);
    log_parts(l, &q->keys);
}

void
gw_log_body(JlLine *l, const Req *q)
{
    if (q->status == 0) {
        return;
    }
    jl_text(l, "end", q->end == AE_ENDS ? NULL : ae_name_end(q->end));
    jl_text(l, "framing", ae_name_framing(q->framing));
    jl_number(l, "connection", (int64_t)q->origin.connection);
    jl_number(l, "nth", q->origin.nth);
    jl_text(l, "match", ht_name_match(q->origin.match));
    if (q->origin.skipped) {
        jl_number(l, "skipped", q->origin.skipped);
    }
    jl_number(l, "body_bytes", (int64_t)q->body_bytes);
    if (q->forwards_events) {
        jl_number(l, "events", q->events);
        jl_number(l, "rest_bytes", (int64_t)q->rest_bytes);
    }
}

/* The objectives of its route that the answer missed; NULL: none. */
static const char *
describe_lateness(const Req *q)
{
    bool first = q->route->objective_ms && q->first_ms &&
                 q->first_ms - q->arrival_ms > q->route->objective_ms;
    bool pause = q->route->gap_ms && q->max_gap_ms > q->route->gap_ms;
    return first && pause ? "first byte and pause"
           : first        ? "first byte"
           : pause        ? "pause"
                          : NULL;
}

void
gw_log_end(const Req *q, const char *outcome, uint16_t status, const char *why)
{
    uint64_t now_ms = bg_boot_ms();
    JlLine *l = jl_begin("request-end");
    jl_text(l, "id", q->call.attempt_id);
    jl_text(l, "outcome", outcome);
    jl_number(l, "status", status);
    jl_text(l, "why", why);
    if (strcmp(outcome, "answered") != 0) {
        gw_log_keys(l, q);
    }
    jl_text(l, "route", q->route ? q->route->name : NULL);
    jl_text(l, "workspace", q->workspace ? q->workspace->name : NULL);
    jl_text(l, "model", q->call.model);
    jl_text(l, "adapter", q->call.adapter);
    jl_text(l, "upstream", q->last_upstream);
    jl_text(l, "by", q->helper);
    jl_text(l, "version", q->last_version);
    jl_text(l, "resumes", q->call.resumes);
    gw_log_body(l, q);
    jl_number(l, "sends", q->sends);
    jl_number(l, "runs", q->runs);
    jl_number(l, "took_ms", (int64_t)(now_ms - q->arrival_ms));
    if (q->first_ms) {
        jl_number(l, "first_ms", (int64_t)(q->first_ms - q->arrival_ms));
    }
    if (q->max_gap_ms) {
        jl_number(l, "gap_ms", q->max_gap_ms);
        jl_text(l, "gap_upstream", q->gap_upstream);
    }
    jl_text(l, "late", q->route ? describe_lateness(q) : NULL);
    jl_text(l, "waited_for", q->waited_for);
    jl_end(l);
    count_outcome(q, outcome, now_ms);
}

void
gw_drop_ticket(Req *q)
{
    Ul *limits = q->gw->upstream_limits;
    const GwOutput *out = &q->gw->out;
    const char *at = q->ticket ? ul_get_upstream(limits, q->ticket) : NULL;
    g_autofree char *upstream = g_strdup(at);
    if (upstream && ul_release(limits, bg_boot_ms(), q->ticket)) {
        out->slot_over(out->ctx, q->ticket, upstream, UR_UNUSED);
    }
    q->ticket = 0;
    q->query.slot_at = NULL;
}

uint32_t
gw_get_hold_ms(const Req *q, uint64_t now_ms)
{
    uint64_t end_ms = q->answer_by_ms + HOLD_SLACK_MS;
    return (uint32_t)(end_ms > now_ms ? MIN(end_ms - now_ms, UINT32_MAX) : 0);
}

static UrEnd
get_slot_end(const Req *q)
{
    if (q->not_run && q->status != 421) {
        return UR_TURNED_AWAY;
    }
    return q->unsent || q->end == AE_NOT_SENT ? UR_UNUSED
           : q->status == 0                   ? UR_BROKEN
                                              : UR_SERVED;
}

static void
end_slot(Req *q)
{
    const GwOutput *out = &q->gw->out;
    UlTicket ticket = q->room_ticket;
    q->room_ticket = 0;
    if (ticket) {
        out->slot_over(out->ctx, ticket, ut_get_id(q->ut), get_slot_end(q));
    }
}

void
gw_drop_turn(Req *q)
{
    const Gw *g = q->gw;
    const char *at = q->turn ? sp_get_upstream(g->suspects, q->turn) : NULL;
    g_autofree char *upstream = g_strdup(at);
    SpTurn turn = q->turn;
    q->turn = 0;
    if (upstream && sp_release(g->suspects, turn)) {
        g->out.run_over(g->out.ctx, &q->keys, upstream, turn, SP_RUN_NONE);
    }
}

void
gw_free_req(Req *q)
{
    gw_drop_ticket(q);
    gw_drop_turn(q);
    if (q->link) {
        g_queue_delete_link(&q->gw->reqs, q->link);
    }
    dep_clear_call(&q->call);
    dep_unref_config(q->config);
    g_ptr_array_free(q->tried, TRUE);
    po_destroy(q->position);
    if (q->unconfirmed) {
        g_byte_array_unref(q->unconfirmed);
    }
    if (q->check) {
        ht_cancel_check(q->check);
    }
    gw_drop_held(q);
    g_free(q->version);
    g_free(q->planned);
    g_string_free(q->head, TRUE);
    if (q->kept_head) {
        g_string_free(q->kept_head, TRUE);
        g_byte_array_unref(q->kept_body);
    }
    g_free(q->last_upstream);
    g_free(q->last_version);
    g_free(q->helper);
    g_free(q->gap_upstream);
    g_free(q);
}

static SpResult
get_run_result(const Req *q, UtOutcome outcome)
{
    if (q->broke) {
        return q->upstream_ended ? SP_RUN_ENDED : SP_RUN_LEFT;
    }
    bool ran_nothing = q->unsent || q->not_run ||
                       outcome == UT_OUTCOME_UNREACHABLE ||
                       outcome == UT_OUTCOME_SHED;
    if (ran_nothing) {
        return SP_RUN_NONE;
    }
    return outcome == UT_OUTCOME_GOOD ? SP_RUN_ANSWERED : SP_RUN_LEFT;
}

/* The upstream wrote an answer on its parts, which is whole. */
static bool
proves_parts(const Req *q)
{
    return q->status / 100 == 2 && (!q->forwards_events || q->events > 0);
}

static void
note_run(Req *q, UtOutcome outcome)
{
    const GwOutput *out = &q->gw->out;
    SpTurn turn = q->turn;
    q->turn = 0;
    SpResult result = get_run_result(q, outcome);
    SpKeys keys = q->keys;
    if (result == SP_RUN_ANSWERED && !proves_parts(q)) {
        keys.part_count = 0;
    }
    out->run_over(out->ctx, &keys, ut_get_id(q->ut), turn, result);
}

/* Of Q and the texts that it owns. */
#define REQ_BYTES 4096

static uint64_t
count_held(const Req *q)
{
    uint64_t bytes = REQ_BYTES + q->held_bytes;
    if (q->hc) {
        bytes += q->request_bytes;
    }
    if (q->hc && !q->forwards_events) {
        bytes += q->body_bytes * 2; /* it grows by doubling */
    }
    bytes += q->kept_body ? q->kept_body->len : 0;
    bytes += q->unconfirmed ? q->unconfirmed->len : 0;
    bytes += q->held_rest ? q->held_rest->len : 0;
    return bytes;
}

void
gw_weigh(Req *q)
{
    ht_note_held(q->x, count_held(q), q->state == REQ_SENT || q->runs > 0);
}

void
gw_finish_call(Req *q, UtOutcome outcome)
{
    if (!q->ut) {
        return;
    }
    note_run(q, outcome);
    end_slot(q);
    uint32_t first =
        q->first_ms > q->sent_ms && !q->not_run && q->status / 100 == 2
            ? (uint32_t)(q->first_ms - q->sent_ms)
            : 0;
    ut_finish(q->gw->upstreams, q->ut, bg_boot_ms(), outcome, first,
              &q->query);
    q->ut = NULL;
    q->hc = NULL;
    gw_weigh(q);
}

void
gw_cancel_call(Req *q, UtOutcome outcome)
{
    if (q->hc) {
        q->unsent = !ht_was_sent(q->hc);
        ht_cancel_call(q->hc);
    }
    gw_finish_call(q, outcome);
}

void
gw_send_whole(HtExchange *x, uint16_t status, const GString *head,
              const GByteArray *body)
{
    ht_start_answer(x, status, head->str, body->len);
    ht_write_answer(x, (const char *)body->data, body->len);
    ht_end_answer(x);
}

static const char *
name_outcome(uint16_t status)
{
    return status == 503 ? "refused" : status == 429 ? "limited" : "failed";
}

void
gw_refund_limit(Req *q)
{
    if (q->cost > 0) {
        wl_give_back(q->gw->limits, bg_boot_ms(), q->workspace, q->cost);
        q->cost = 0;
    }
}

/* BODY: plain text, or empty. */
static void
answer(Req *q, uint16_t status, uint32_t retry_ms, const char *why,
       const char *body)
{
    gw_log_end(q, name_outcome(status), status, why);
    if (status == 503) {
        gw_refund_limit(q);
    }
    gw_cancel_call(q, UT_OUTCOME_NEUTRAL);
    HtExchange *x = q->x;
    if (q->streaming) {
        /* The head was sent, so the status can't change: the stream is
           visibly truncated. */
        gw_free_req(q);
        ht_abort_answer(x);
        return;
    }
    g_autoptr(GString) head = g_string_new(NULL);
    if (q->call.attempt_id) {
        gw_append_line(head, q->gw->wire->attempt_id, q->call.attempt_id);
    }
    if (*body) {
        gw_append_line(head, "Content-Type", "text/plain");
    }
    gw_append_retry(head, retry_ms);
    gw_free_req(q);
    ht_start_answer(x, status, head->str, (int64_t)strlen(body));
    ht_write_answer(x, body, strlen(body));
    ht_end_answer(x);
}

void
gw_answer(Req *q, uint16_t status, uint32_t retry_ms, const char *why)
{
    answer(q, status, retry_ms, why, "");
}

/* For which of its keys. */
static void
log_stop(const Req *q)
{
    char key[DIGEST_LEN + 1];
    uint64_t stopped =
        sp_find_stopped(q->gw->suspects, bg_boot_ms(), &q->keys);
    (void)g_snprintf(key, sizeof(key), "%016llx", (unsigned long long)stopped);
    JlLine *l = jl_begin("request-stopped");
    jl_text(l, "id", q->call.attempt_id);
    jl_text(l, "kind", stopped == q->keys.request ? "request" : "part");
    jl_text(l, "key", key);
    jl_end(l);
}

void
gw_stop(Req *q, uint32_t wait_ms)
{
    static const char why[] = "upstreams ended while running it";
    static const char body[] =
        "upstreams ended while running this request; it is not sent again\n";
    bg_count("gateway_requests_stopped_total", 1);
    log_stop(q);
    if (q->kept_head) {
        gw_give_up(q, wait_ms, why);
    }
    else if (q->runs == 0) {
        answer(q, 503, wait_ms, why, body);
    }
    else {
        answer(q, 502, 0, why, body);
    }
}

bool
gw_may_repeat(const Req *q)
{
    return q->route->kind == DEP_IDEMPOTENT ||
           (q->route->kind == DEP_STREAM && q->route->resumable &&
            po_may_resume(q->position));
}

void
gw_give_up(Req *q, uint32_t retry_ms, const char *why)
{
    if (q->kept_head && !q->streaming) {
        /* The upstream's own error says more than a 502. */
        HtExchange *x = q->x;
        g_autoptr(GString) head = g_steal_pointer(&q->kept_head);
        g_autoptr(GByteArray) body = g_steal_pointer(&q->kept_body);
        uint16_t status = q->kept_status;
        gw_log_end(q, "passed-on", status, why);
        gw_cancel_call(q, UT_OUTCOME_NEUTRAL);
        gw_free_req(q);
        gw_send_whole(x, status, head, body);
        return;
    }
    if (q->runs == 0) {
        gw_answer(q, 503, retry_ms ? retry_ms : RETRY_SOON_MS, why);
    }
    else {
        gw_answer(q, bg_boot_ms() >= q->answer_by_ms ? 504 : 502, 0, why);
    }
}

/* ---- sending ------------------------------------------------------------ */

uint32_t
gw_get_priority(const Req *q)
{
    return q->workspace && q->workspace->has_priority ? q->workspace->priority
                                                      : q->route->priority;
}

/* Upstreams run the more urgent requests first.  The operators' priority 0
   maps to FIRST_URGENCY, ahead of the default 5; each further one is less
   urgent. */
static uint32_t
get_urgency(const Req *q)
{
    uint32_t priority = MIN(gw_get_priority(q), LAST_URGENCY);
    return MIN(FIRST_URGENCY + priority * URGENCY_STEP, LAST_URGENCY);
}

static GByteArray *
build_request(const Req *q, uint64_t now_ms)
{
    const GwWire *w = q->gw->wire;
    const HtHead *in = ht_get_head(q->x);
    const GByteArray *body = ht_get_body(q->x);
    const char *resume_after = po_get_id(q->position);
    g_autoptr(GString) head = g_string_sized_new(1024);
    g_string_printf(head, "%s %s HTTP/1.1\r\n", in->method, in->target);
    for (guint i = 0; i < in->headers->len; i++) {
        const HtHeader *h = &g_array_index(in->headers, HtHeader, i);
        if (ht_is_hop_header(in, h->name) || w->is_own_header(h->name) ||
            (resume_after &&
             g_ascii_strcasecmp(h->name, w->last_event) == 0)) {
            continue;
        }
        gw_append_line(head, h->name, h->value);
    }
    if (resume_after) {
        gw_append_line(head, w->last_event, resume_after);
    }
    uint64_t left_ms = q->answer_by_ms > now_ms ? q->answer_by_ms - now_ms : 1;
    g_string_append_printf(head, "%s: %llu\r\n", w->deadline_ms,
                           (unsigned long long)left_ms);
    gw_append_line(head, w->expected_upstream, ut_get_id(q->ut));
    if (q->query.model) {
        g_string_append_printf(head, "%s: %u\r\n", w->urgency, get_urgency(q));
    }
    if (q->workspace) {
        gw_append_line(head, w->workspace, q->workspace->name);
    }
    if (body->len > 0 || strcmp(in->method, "POST") == 0) {
        g_string_append_printf(head, "Content-Length: %u\r\n", body->len);
    }
    g_string_append(head, "\r\n");
    GByteArray *out = g_byte_array_sized_new((guint)head->len + body->len);
    g_byte_array_append(out, (guint8 *)head->str, (guint)head->len);
    g_byte_array_append(out, body->data, body->len);
    return out;
}

/* PER_S: the upstream's limit; 0: it names none. */
static void
add_limit(JlLine *l, double per_s)
{
    if (per_s > 0) {
        jl_number(l, "limit_per_1000_s", (int64_t)(per_s * 1000));
    }
}

bool
gw_waits_for_rest(const Req *q)
{
    return q->state == REQ_WAITING &&
           g_strcmp0(q->waiting_for, GW_FOR_REST) == 0;
}

static void
start_call(Req *q, uint64_t now_ms)
{
    const char *id = q->call.attempt_id;
    HtRequest req = {
        .address = ut_get_address(q->ut),
        .way = HT_WAY_ANY,
        .purpose = HT_FOR_REQUEST,
        .request = build_request(q, now_ms),
        .connect_ms = q->gw->params.connect_ms,
        .expect = {q->gw->params.max_body_bytes, q->gw->params.max_event_bytes,
                   NULL},
        .match_name = id ? q->gw->wire->attempt_id : NULL,
        .match_value = id,
        .answer_by_ms = q->answer_by_ms,
        .max_idle_ms = gw_may_repeat(q) ? 0 : MAX_IDLE_NO_REPEAT_MS,
        .fresh = !id, /* nothing else tells whose answer it is */
    };
    q->request_bytes = req.request->len;
    HtCallHandler handler = q->gw->handler;
    handler.ctx = q;
    q->hc = ht_start_call(q->gw->pool, &req, &handler);
}

static void
log_sent(const Req *q, uint64_t now_ms)
{
    const Ut *ut = q->ut;
    JlLine *l = jl_begin("request-sent");
    jl_text(l, "id", q->call.attempt_id);
    jl_text(l, "upstream", ut_get_id(ut));
    jl_text(l, "version", ut_get_version(ut));
    jl_number(l, "send", q->sends + 1);
    jl_number(l, "running", ut_get_running(ut));
    jl_number(l, "load", (int64_t)ut_get_load(ut, now_ms));
    jl_number(l, "tokens", q->call.prompt_tokens);
    jl_number(l, "left_ms", (int64_t)(q->answer_by_ms - now_ms));
    jl_text(l, "turn", q->turn ? "yes" : NULL);
    add_limit(l, ul_get_limit(q->gw->upstream_limits, ut_get_id(ut)));
    jl_end(l);
}

void
gw_send_to(Req *q, Ut *ut, uint64_t now_ms)
{
    if (gw_waits_for_rest(q)) {
        un_on_release(q->gw->notices, now_ms);
    }
    q->state = REQ_SENT;
    q->ut = ut;
    g_free(q->last_upstream);
    q->last_upstream = g_strdup(ut_get_id(ut));
    g_free(q->last_version);
    q->last_version = g_strdup(ut_get_version(ut));
    q->sent_ms = now_ms;
    q->last_data_ms = now_ms;
    q->first_ms = 0;
    q->last_gap_ms = 0;
    q->not_run = false;
    q->broke = false;
    q->upstream_ended = false;
    q->unsent = false;
    q->held_back = false;
    q->paused = false;
    q->forwards_events = false;
    gw_drop_held(q);
    q->status = 0;
    q->events = 0;
    q->body_bytes = 0;
    q->rest_bytes = 0;
    q->end = AE_ENDS;
    po_start_run(q->position);
    ut_start(ut);
    UnProcess process = ut_get_process(ut);
    un_on_send(q->gw->notices, now_ms, &process);
    start_call(q, now_ms);
    gw_weigh(q);
    if (q->sends > 0 || q->query.model) {
        log_sent(q, now_ms);
    }
}
