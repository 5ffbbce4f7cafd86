#include "gateway_request.h"

#include "hist.h"
#include "json_log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Subtracted from the caller's deadline: its clock started before ours, and
   the answer still has to reach it. */
#define DEADLINE_MARGIN_MS 80
/* If neither the caller nor the route sets one. */
#define DEFAULT_TIMEOUT_MS 60000
/* An upstream counts as silent after SILENT_FACTOR times its usual time to
   first byte, but not before the minimum for the kind of route, nor, for a
   stream, before SILENT_OBJECTIVE of its objective_ms.  Only requests that may
   be repeated are then sent elsewhere. */
#define SILENT_FACTOR 4
#define SILENT_MIN_PLAIN_MS 120
#define SILENT_MIN_STREAM_MS 700
#define SILENT_OBJECTIVE 0.8
/* Pause within a stream after which it is resumed elsewhere, as a multiple of
   the route's gap_ms, or SILENT_GAP_MS if the route has none. */
#define SILENT_GAPS 2
#define SILENT_GAP_MS 1000
/* A silent upstream that still answers others is busy.  A request moves from
   it only to one whose load plus BUSY_SWITCH_FEWER_REQUESTS is below
   BUSY_SWITCH_LOAD_RATIO of the load of the busy one. */
#define BUSY_SWITCH_LOAD_RATIO 0.5
#define BUSY_SWITCH_FEWER_REQUESTS 2
/* From one that answers nobody, the request moves unless the other has at
   least this many requests more. */
#define DEAD_SWITCH_MORE_REQUESTS 4
/* Connections that were idle for longer are not reused for a request that may
   not be sent twice: it would be lost if the upstream closed the connection at
   the same moment. */
#define MAX_IDLE_NO_REPEAT_MS 1500
#define BREAK_KEEP_MS 120000
/* Retry-After of a refusal without a better estimate: about the time until a
   VM or upstream is back. */
#define RETRY_SOON_MS 200
#define RETRY_LATER_MS 1000
#define RETRY_STOPPING_MS 50 /* another gateway accepts it at once */
/* A request for a service without upstreams waits this long: the list may be
   out of date. */
#define EMPTY_WAIT_MS 150
/* After its start a process gets the first configuration within this time,
   unless the store is unreachable.  Requests that come earlier wait for it:
   other gateways may be starting as well, and callers retry only once or
   twice. */
#define FIRST_CONFIG_TIMEOUT_MS 1000
#define START_MAX_WAIT_MS 450 /* limit for one request */
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
/* Urgency on the wire: 0 is the most urgent, 5 the default, 9 the least. */
#define FIRST_URGENCY 3
#define URGENCY_STEP 2
#define LAST_URGENCY 9
/* A request is counted as slow after this part of its route's objective_ms
   without a first byte, or of its gap_ms without a next event. */
#define SLOW_FIRST_BYTE 0.6
#define SLOW_PAUSE 0.8
/* An answer to a slot request isn't waited for longer than this where
   others could serve the request. */
#define BRIEF_ANSWER_MS 60
#define MAX_SENDS 6     /* of one request, including sends that ran nothing */
#define MIN_RETRY_MS 20 /* with less time left a request is not sent again */

typedef enum { REQ_WAITING, REQ_SENT } ReqState;

typedef struct {
    Gw *gw;
    HtExchange *x;
    DepConfig *config;
    const DepRoute *route;         /* in config */
    const DepWorkspace *workspace; /* in config; NULL: no key is required */
    const char *service;           /* picked from route's splits */
    DepCall call;
    UtQuery query;
    GPtrArray *tried; /* Ut: excluded from the choice */
    double cost;      /* charged to the workspace's limit; 0: none */
    uint64_t digest;  /* of target and body; the same for each retry */
    uint64_t arrival_ms;
    uint64_t answer_by_ms;     /* any answer is sent by then */
    uint64_t first_byte_by_ms; /* the caller leaves without a byte by then */
    ReqState state;
    const char *waiting_for; /* for the log */
    const char *waited_for;  /* first value of waiting_for */
    GList *link;             /* in gw->reqs */

    /* the upstream call in progress */
    HtCall *hc;
    Ut *ut;
    char *last_upstream; /* for the log */
    char *helper; /* the gateway by whose way the last answer came; NULL:
                     none; for the log */
    uint64_t sent_ms;
    uint64_t first_ms; /* 0: no byte of an answer yet */
    uint64_t last_data_ms;
    uint64_t last_event_ms; /* last event forwarded at; 0: none yet */
    uint32_t max_gap_ms;    /* between two forwarded events */
    uint64_t last_gap_ms;   /* between the last two */
    char *gap_upstream;     /* that caused max_gap_ms, for the log */

    uint32_t sends; /* that reached an upstream */
    uint32_t runs;  /* that may have run */

    /* the answer, unless its events are forwarded as they come */
    GString *head;
    GByteArray *body;
    /* an upstream's 5xx answer, kept while another upstream is tried */
    GString *kept_head;
    GByteArray *kept_body;

    /* the stream that is forwarded */
    GString *partial;   /* bytes of an incomplete event */
    int64_t last_event; /* id of the last one that the caller has */

    /* the slot of a limited upstream that it waits for */
    UlTicket ticket; /* 0: none */
    uint64_t slot_asked_ms;
    bool others_serve; /* could serve the request without one */

    uint16_t status;      /* of the answer to the current call */
    uint16_t kept_status; /* of the kept answer */
    bool lacks_model;     /* waiting: for the model, not an adapter */
    bool not_run;         /* as the upstream's answer says */
    bool forwards_events; /* of the current call, to the caller */
    bool streaming;       /* the head of the stream was sent */
    bool retry_counted;   /* the budget already paid for the next send */
} Req;

/* Upstreams that broke off while they ran one request. */
typedef struct {
    GHashTable *upstreams; /* set of ids */
    uint64_t last_ms;
} Breaks;

/* The leader's estimate of when a model is loaded. */
typedef struct {
    uint64_t reported_ms;
    uint32_t wait_ms;
} WaitEstimate;

struct Gw {
    GwParams params;
    const GwWire *wire;
    GwOutput out;
    HtPool *pool;
    UtSet *upstreams;
    Rb *budget;
    Wl *limits; /* of workspaces */
    Ul *upstream_limits;
    DepConfig *config;  /* NULL: none yet */
    uint64_t config_ms; /* when the first came */
    uint64_t start_ms;
    GQueue early;        /* HtExchange: before the first configuration */
    GQueue reqs;         /* Req */
    GHashTable *arrived; /* model or "model/adapter" -> count */
    GHashTable
        *arrived_tight_deadline; /* of these: late after a load from disk */
    GHashTable *refused_busy;    /* model -> count: the queue was too long */
    GHashTable *begun_answers;   /* upstream -> count */
    GHashTable *wait_estimates;  /* model -> WaitEstimate */
    GHashTable *breaks;          /* digest -> Breaks */
    Hist *answer_us; /* from a request's arrival to the end of its answer */
    Hist *first_byte_us;     /* ... to its first byte */
    uint64_t leader_ms;      /* last contact with the leader */
    uint64_t first_order_ms; /* when the leader sends its first order */
    BgRandom rng;
    bool closed;             /* accepts no more requests */
    bool behind;             /* a newer configuration exists */
    bool stale;              /* keys may have been revoked since */
    bool upstreams_complete; /* the list was read to its end */
};

static void try_send(Req *q);

static void
add_count(GHashTable *counts, const char *key)
{
    guint n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, key));
    g_hash_table_insert(counts, g_strdup(key), GUINT_TO_POINTER(n + 1));
}

/* ---- heads of answers and requests -------------------------------------- */

static void
append_line(GString *out, const char *name, const char *value)
{
    g_string_append(out, name);
    g_string_append(out, ": ");
    g_string_append(out, value);
    g_string_append(out, "\r\n");
}

/* RETRY_MS: time until the caller may retry; 0: no header. */
static void
append_retry(GString *out, uint32_t retry_ms)
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
        hist_add(q->gw->first_byte_us, (q->first_ms - q->arrival_ms) * 1000);
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

static void
log_end(const Req *q, const char *outcome, uint16_t status, const char *why)
{
    uint64_t now_ms = bg_boot_ms();
    JlLine *l = jl_begin("request-end");
    jl_text(l, "id", q->call.attempt_id);
    jl_text(l, "outcome", outcome);
    jl_number(l, "status", status);
    jl_text(l, "why", why);
    jl_text(l, "route", q->route ? q->route->name : NULL);
    jl_text(l, "workspace", q->workspace ? q->workspace->name : NULL);
    jl_text(l, "model", q->call.model);
    jl_text(l, "adapter", q->call.adapter);
    jl_text(l, "upstream", q->last_upstream);
    jl_text(l, "by", q->helper);
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

/* Withdraws the slot request, or gives up the slot. */
static void
drop_ticket(Req *q)
{
    if (q->ticket) {
        ul_release(q->gw->upstream_limits, bg_boot_ms(), q->ticket);
    }
    q->ticket = 0;
    q->query.slot_at = NULL;
}

static void
free_req(Req *q)
{
    drop_ticket(q);
    if (q->link) {
        g_queue_delete_link(&q->gw->reqs, q->link);
    }
    dep_clear_call(&q->call);
    dep_unref_config(q->config);
    g_ptr_array_free(q->tried, TRUE);
    g_string_free(q->head, TRUE);
    g_byte_array_free(q->body, TRUE);
    if (q->kept_head) {
        g_string_free(q->kept_head, TRUE);
        g_byte_array_free(q->kept_body, TRUE);
    }
    g_string_free(q->partial, TRUE);
    g_free(q->last_upstream);
    g_free(q->helper);
    g_free(q->gap_upstream);
    g_free(q);
}

/* The call is over; OUTCOME updates the state of its upstream. */
static void
finish_call(Req *q, UtOutcome outcome)
{
    if (!q->ut) {
        return;
    }
    uint32_t first =
        q->first_ms > q->sent_ms && !q->not_run && q->status / 100 == 2
            ? (uint32_t)(q->first_ms - q->sent_ms)
            : 0;
    ut_finish(q->gw->upstreams, q->ut, bg_boot_ms(), outcome, first,
              &q->query);
    q->ut = NULL;
    q->hc = NULL;
}

static void
cancel_call(Req *q, UtOutcome outcome)
{
    if (q->hc) {
        ht_cancel_call(q->hc);
    }
    finish_call(q, outcome);
}

static void
send_whole(HtExchange *x, uint16_t status, const GString *head,
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

/* Q has not run and never will: its cost is credited to the workspace. */
static void
refund_limit(Req *q)
{
    if (q->cost > 0) {
        wl_give_back(q->gw->limits, bg_boot_ms(), q->workspace, q->cost);
        q->cost = 0;
    }
}

/* Sends the gateway's own answer.  Frees Q. */
static void
answer(Req *q, uint16_t status, uint32_t retry_ms, const char *why)
{
    log_end(q, name_outcome(status), status, why);
    if (status == 503) {
        refund_limit(q);
    }
    cancel_call(q, UT_OUTCOME_NEUTRAL);
    HtExchange *x = q->x;
    if (q->streaming) {
        /* The head was sent, so the status can't change: the stream is
           visibly truncated. */
        free_req(q);
        ht_abort_answer(x);
        return;
    }
    g_autoptr(GString) head = g_string_new(NULL);
    if (q->call.attempt_id) {
        append_line(head, q->gw->wire->attempt_id, q->call.attempt_id);
    }
    append_retry(head, retry_ms);
    free_req(q);
    ht_start_answer(x, status, head->str, 0);
    ht_end_answer(x);
}

static bool
may_repeat(const Req *q)
{
    return q->route->kind == DEP_IDEMPOTENT ||
           (q->route->kind == DEP_STREAM && q->route->resumable);
}

/* Ends a request that can't be served.  503 may be sent only if nothing ran.
   Frees Q. */
static void
give_up(Req *q, uint32_t retry_ms, const char *why)
{
    if (q->kept_head && !q->streaming) {
        /* The upstream's own error says more than a 502. */
        HtExchange *x = q->x;
        g_autoptr(GString) head = g_steal_pointer(&q->kept_head);
        g_autoptr(GByteArray) body = g_steal_pointer(&q->kept_body);
        uint16_t status = q->kept_status;
        log_end(q, "passed-on", status, why);
        cancel_call(q, UT_OUTCOME_NEUTRAL);
        free_req(q);
        send_whole(x, status, head, body);
        return;
    }
    if (q->runs == 0) {
        answer(q, 503, retry_ms ? retry_ms : RETRY_SOON_MS, why);
    }
    else {
        answer(q, bg_boot_ms() >= q->answer_by_ms ? 504 : 502, 0, why);
    }
}

/* ---- sending ------------------------------------------------------------ */

static uint32_t
get_priority(const Req *q)
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
    uint32_t priority = MIN(get_priority(q), LAST_URGENCY);
    return MIN(FIRST_URGENCY + priority * URGENCY_STEP, LAST_URGENCY);
}

static GByteArray *
build_request(const Req *q, uint64_t now_ms)
{
    const GwWire *w = q->gw->wire;
    const HtHead *in = ht_get_head(q->x);
    const GByteArray *body = ht_get_body(q->x);
    bool resuming = q->last_event > q->call.resume_after;
    g_autoptr(GString) head = g_string_sized_new(1024);
    g_string_printf(head, "%s %s HTTP/1.1\r\n", in->method, in->target);
    for (guint i = 0; i < in->headers->len; i++) {
        const HtHeader *h = &g_array_index(in->headers, HtHeader, i);
        if (ht_is_hop_header(in, h->name) || w->is_own_header(h->name) ||
            (resuming && g_ascii_strcasecmp(h->name, w->last_event) == 0)) {
            continue;
        }
        append_line(head, h->name, h->value);
    }
    if (resuming) {
        g_string_append_printf(head, "%s: %lld\r\n", w->last_event,
                               (long long)q->last_event);
    }
    uint64_t left_ms = q->answer_by_ms > now_ms ? q->answer_by_ms - now_ms : 1;
    g_string_append_printf(head, "%s: %llu\r\n", w->deadline_ms,
                           (unsigned long long)left_ms);
    append_line(head, w->expected_upstream, ut_get_id(q->ut));
    if (q->query.model) {
        g_string_append_printf(head, "%s: %u\r\n", w->urgency, get_urgency(q));
    }
    if (q->workspace) {
        append_line(head, w->workspace, q->workspace->name);
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

static void on_call_head(void *ctx, HtCall *call, const HtHead *head);
static void on_call_data(void *ctx, HtCall *call, const char *data,
                         size_t len);
static void on_call_end(void *ctx, HtCall *call, HtResult result);

/* PER_S: the upstream's limit; 0: it names none. */
static void
add_limit(JlLine *l, double per_s)
{
    if (per_s > 0) {
        jl_number(l, "limit_per_1000_s", (int64_t)(per_s * 1000));
    }
}

static void
send_to(Req *q, Ut *ut, uint64_t now_ms)
{
    q->state = REQ_SENT;
    q->ut = ut;
    g_free(q->last_upstream);
    q->last_upstream = g_strdup(ut_get_id(ut));
    q->sent_ms = now_ms;
    q->last_data_ms = now_ms;
    q->first_ms = 0;
    q->last_gap_ms = 0;
    q->not_run = false;
    q->forwards_events = false;
    q->status = 0;
    g_string_truncate(q->partial, 0);
    ut_start(ut);
    HtRequest req = {
        .address = ut_get_address(ut),
        .way = HT_WAY_ANY,
        .request = build_request(q, now_ms),
        .connect_ms = q->gw->params.connect_ms,
        .match_name = q->gw->wire->attempt_id,
        .match_value = q->call.attempt_id,
        .max_idle_ms = may_repeat(q) ? 0 : MAX_IDLE_NO_REPEAT_MS,
    };
    if (!q->call.attempt_id) {
        req.match_name = NULL;
    }
    HtCallHandler handler = {q, on_call_head, on_call_data, on_call_end};
    q->hc = ht_start_call(q->gw->pool, &req, &handler);
    if (q->sends > 0 || q->query.model) {
        JlLine *l = jl_begin("request-sent");
        jl_text(l, "id", q->call.attempt_id);
        jl_text(l, "upstream", ut_get_id(ut));
        jl_number(l, "send", q->sends + 1);
        jl_number(l, "running", ut_get_running(ut));
        jl_number(l, "load", (int64_t)ut_get_load(ut, now_ms));
        jl_number(l, "tokens", q->call.prompt_tokens);
        jl_number(l, "left_ms", (int64_t)(q->answer_by_ms - now_ms));
        add_limit(l, ul_get_limit(q->gw->upstream_limits, ut_get_id(ut)));
        jl_end(l);
    }
}

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
    const WaitEstimate *w =
        g_hash_table_lookup(q->gw->wait_estimates, q->query.model);
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
        give_up(q, RETRY_STOPPING_MS, "the gateway stops");
        return;
    }
    bool begins = q->state != REQ_WAITING || !q->waiting_for;
    q->state = REQ_WAITING;
    q->waiting_for = what;
    q->waited_for = q->waited_for ? q->waited_for : what;
    if (begins && q->query.model) {
        JlLine *l = jl_begin("request-waits");
        jl_text(l, "id", q->call.attempt_id);
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
        give_up(q, wait_ms, "model can't be loaded in time");
        return;
    }
    wait_for(q, now_ms, what);
}

/* Longest queueing time to accept at an upstream; 0: any, if the request has
   already run somewhere or its route has no objective. */
static uint32_t
get_max_wait_ms(const Req *q, uint64_t now_ms)
{
    if (q->runs > 0 || q->route->objective_ms == 0) {
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
        add_count(q->gw->refused_busy, q->query.model);
    }
    give_up(q, RETRY_SOON_MS + over_ms + spread, "too many wait");
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

static void
wait_for_list(Req *q, uint64_t now_ms)
{
    q->lacks_model = false;
    wait_for(q, now_ms, "upstream");
}

/* ---- slots of limited upstreams ----------------------------------------- */

/* False: the request goes on waiting for its slot. */
static bool
check_slot(Req *q, uint64_t now_ms)
{
    Ul *limits = q->gw->upstream_limits;
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
    drop_ticket(q);
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
        out->ask_slot(out->ctx, q->ticket, ut_get_id(ut), max_wait_ms);
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
        add_count(q->gw->refused_busy, q->query.model);
    }
    give_up(q, wait_ms, "over the upstream's limit");
}

/* The request is sent to UT: its slot is used, or another request may have
   it. */
static void
settle_ticket(Req *q, const Ut *ut)
{
    if (q->ticket && strcmp(q->query.slot_at, ut_get_id(ut)) == 0) {
        ul_use(q->gw->upstream_limits, q->ticket);
        q->ticket = 0;
    }
    drop_ticket(q);
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

static void
try_send(Req *q)
{
    uint64_t now_ms = bg_boot_ms();
    if (now_ms >= q->answer_by_ms ||
        (!q->streaming && now_ms >= q->first_byte_by_ms)) {
        give_up(q, RETRY_SOON_MS, "deadline");
        return;
    }
    /* The caller left while the request waited: don't send it. */
    if (ht_is_gone(q->x)) {
        q->state = REQ_WAITING;
        q->waiting_for = "nothing: caller disconnected";
        return;
    }
    if (q->sends >= MAX_SENDS) {
        give_up(q, RETRY_SOON_MS, "too many sends");
        return;
    }
    if (q->ticket && !check_slot(q, now_ms)) {
        return;
    }
    Ut *ut = NULL;
    q->query.max_wait_ms = get_max_wait_ms(q, now_ms);
    q->query.max_slot_wait_ms = get_max_slot_wait_ms(q, now_ms);
    UtChoice found = ut_choose(q->gw->upstreams, now_ms, &q->query, &ut);
    if (found != UT_FOUND) {
        drop_ticket(q);
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
        if (q->sends > 0 && !q->retry_counted &&
            !rb_take(q->gw->budget, now_ms, q->service)) {
            give_up(q, RETRY_LATER_MS, "no budget for a retry");
            return;
        }
        q->retry_counted = false;
        settle_ticket(q, ut);
        send_to(q, ut, now_ms);
        return;
    case UT_ASK:
    case UT_ASK_BRIEFLY:
        ask_slot(q, ut, now_ms, found == UT_ASK_BRIEFLY);
        if (check_slot(q, now_ms)) {
            try_send(q); /* it was answered at once */
        }
        return;
    case UT_LIMITED:
        handle_limited(q, now_ms, ut);
        return;
    case UT_COLD:
        q->lacks_model = true;
        wait_for_model(q, now_ms, "model");
        return;
    case UT_ADAPTER:
        q->lacks_model = false;
        wait_for_model(q, now_ms, "adapter");
        return;
    case UT_FULL:
        wait_for(q, now_ms, "slot");
        return;
    case UT_UNREACHABLE:
        if (q->runs == 0 && q->gw->out.is_isolated(q->gw->out.ctx)) {
            give_up(q, RETRY_LATER_MS, "cut off from the upstreams");
            return;
        }
        /* The leader may have the model loaded elsewhere. */
        q->lacks_model = true;
        if (q->query.model) {
            wait_for_model(q, now_ms, "reachable upstream");
        }
        else {
            wait_for(q, now_ms, "reachable upstream");
        }
        return;
    case UT_NONE:
        if (now_ms < MAX(q->arrival_ms, q->gw->config_ms) + EMPTY_WAIT_MS) {
            wait_for(q, now_ms, "upstream");
            return;
        }
        give_up(q, RETRY_LATER_MS, "the service has no upstream");
        return;
    case UT_TRIED:
        if (q->runs == 0 && q->gw->out.is_isolated(q->gw->out.ctx)) {
            give_up(q, RETRY_LATER_MS, "cut off from the upstreams");
            return;
        }
        if (q->tried->len > 0 && (q->runs == 0 || may_repeat(q))) {
            /* Try the upstreams that broke off once more: most of them are
               well, and one that is gone will be found unreachable, so that
               the leader has the model loaded elsewhere. */
            g_ptr_array_set_size(q->tried, 0);
            wait_for(q, now_ms, "slot");
            return;
        }
        give_up(q, RETRY_SOON_MS, "no other upstream");
        return;
    }
}

/* ---- upstream answers --------------------------------------------------- */

static void
copy_headers(const HtHead *head, GString *out)
{
    g_string_truncate(out, 0);
    for (guint i = 0; i < head->headers->len; i++) {
        const HtHeader *h = &g_array_index(head->headers, HtHeader, i);
        if (!ht_is_hop_header(head, h->name)) {
            append_line(out, h->name, h->value);
        }
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
    out->upstream_named(out->ctx, ut_get_id(q->ut), &named);
}

static void
note_brittle(const Req *q, const HtHead *head)
{
    static const char *const words[] = {"no longer", "named", "unreadable"};
    double per_s = 0;
    if (head->status == 421) {
        return; /* as for a limit */
    }
    GwBrittle kind = q->gw->wire->read_brittle(head, &per_s);
    per_s = kind == GW_BRITTLE ? per_s : 0;
    if (!ut_note_brittle(q->ut, kind, per_s)) {
        return;
    }
    JlLine *l = jl_begin("upstream-brittle");
    jl_text(l, "upstream", ut_get_id(q->ut));
    jl_text(l, "what", words[kind]);
    if (kind == GW_BRITTLE) {
        jl_number(l, "rejects_per_1000_s", (int64_t)(per_s * 1000));
    }
    jl_end(l);
}

static void
on_call_head(void *ctx, HtCall *call, const HtHead *head)
{
    Req *q = ctx;
    g_free(q->helper);
    q->helper = g_strdup(ht_get_helper(call));
    const GwWire *w = q->gw->wire;
    uint64_t now_ms = bg_boot_ms();
    q->first_ms = now_ms;
    q->last_data_ms = now_ms;
    q->status = head->status;
    q->not_run = head->status == 421 || ht_find_header(head, w->not_run);
    if (q->query.model && !q->not_run) {
        add_count(q->gw->begun_answers, ut_get_id(q->ut));
    }
    GwLoad load;
    if (w->read_load(head, &load)) {
        ut_note_load(q->ut, now_ms, load.running, load.waiting);
    }
    note_limit(q, head);
    note_brittle(q, head);
    g_byte_array_set_size(q->body, 0);
    if (!q->streaming) {
        copy_headers(head, q->head);
    }
    q->forwards_events =
        q->route->kind == DEP_STREAM && head->status == 200 && !q->not_run;
}

/* Length of the first event in TEXT with its blank line; 0: incomplete. */
static size_t
find_event_end(const GString *text)
{
    const char *lf = strstr(text->str, "\n\n");
    const char *crlf = strstr(text->str, "\n\r\n");
    if (crlf && (!lf || crlf < lf)) {
        return (size_t)(crlf - text->str) + 3;
    }
    return lf ? (size_t)(lf - text->str) + 2 : 0;
}

static int64_t
read_event_id(const char *text, size_t len)
{
    const char *end = text + len;
    for (const char *line = text; line < end;) {
        if (strncmp(line, "id:", 3) == 0) {
            return strtoll(line + 3, NULL, 10);
        }
        const char *lf = memchr(line, '\n', (size_t)(end - line));
        line = lf ? lf + 1 : end;
    }
    return -1;
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

/* Forwards only complete events, so that after a break the next upstream
   resumes exactly behind what the caller has. */
static void
forward_events(Req *q)
{
    size_t len;
    while ((len = find_event_end(q->partial)) > 0) {
        int64_t id = read_event_id(q->partial->str, len);
        if (id < 0 || id > q->last_event) {
            start_stream(q);
            ht_write_answer(q->x, q->partial->str, len);
            note_event(q);
        }
        q->last_event = MAX(q->last_event, id);
        g_string_erase(q->partial, 0, (gssize)len);
    }
}

static void
on_call_data(void *ctx, HtCall *call, const char *data, size_t len)
{
    (void)call;
    Req *q = ctx;
    q->last_data_ms = bg_boot_ms();
    if (q->forwards_events) {
        g_string_append_len(q->partial, data, (gssize)len);
        forward_events(q);
        return;
    }
    g_byte_array_append(q->body, (const guint8 *)data, (guint)len);
}

static void
finish_stream(Req *q)
{
    start_stream(q);
    ht_write_answer(q->x, q->partial->str, q->partial->len);
    log_end(q, "answered", q->status, NULL);
    finish_call(q, UT_OUTCOME_GOOD);
    HtExchange *x = q->x;
    free_req(q);
    ht_end_answer(x);
}

static void
forward_answer(Req *q)
{
    HtExchange *x = q->x;
    log_end(q, "answered", q->status, NULL);
    finish_call(q, q->status >= 500 ? UT_OUTCOME_FAILED : UT_OUTCOME_GOOD);
    uint16_t status = q->status;
    g_autoptr(GString) head =
        g_string_new_len(q->head->str, (gssize)q->head->len);
    g_autoptr(GByteArray) body = g_byte_array_ref(q->body);
    q->body = g_byte_array_new();
    free_req(q);
    send_whole(x, status, head, body);
}

/* Whether the request may be sent again after an upstream may have run it. */
static bool
may_run_again(const Req *q, uint64_t now_ms)
{
    const Breaks *d = g_hash_table_lookup(q->gw->breaks, &q->digest);
    return may_repeat(q) && q->runs < q->route->attempts &&
           now_ms + MIN_RETRY_MS < q->answer_by_ms &&
           !(d && g_hash_table_size(d->upstreams) > 1);
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
    if (q->query.model && (other || q->status == 503)) {
        /* It lacks the model, or an order for that model is in progress. */
        ut_note_absent(q->gw->upstreams, ut, now_ms, q->query.model,
                       q->query.adapter);
        finish_call(q, UT_OUTCOME_NEUTRAL);
    }
    else {
        g_ptr_array_add(q->tried, ut);
        finish_call(q, other ? UT_OUTCOME_NEUTRAL : UT_OUTCOME_SHED);
    }
    try_send(q);
}

static void
handle_failure(Req *q, UtOutcome outcome, const char *why)
{
    uint64_t now_ms = bg_boot_ms();
    Ut *ut = q->ut;
    q->sends++;
    q->runs++;
    JlLine *l = jl_begin("request-broken");
    jl_text(l, "id", q->call.attempt_id);
    jl_text(l, "upstream", ut_get_id(ut));
    jl_text(l, "why", why);
    jl_number(l, "after_ms", (int64_t)(now_ms - q->sent_ms));
    jl_number(l, "last_event", q->last_event);
    jl_end(l);
    g_ptr_array_add(q->tried, ut);
    finish_call(q, outcome);
    if (!may_run_again(q, now_ms)) {
        give_up(q, 0, why);
        return;
    }
    try_send(q);
}

/* The upstream answered 5xx.  A request that may run again is sent to another
   upstream.  The answer is kept, and forwarded if no other upstream answers.
 */
static void
handle_error_status(Req *q)
{
    uint64_t now_ms = bg_boot_ms();
    q->runs++;
    if (q->status == 504 || !may_run_again(q, now_ms)) {
        forward_answer(q);
        return;
    }
    q->sends++;
    if (q->kept_head) {
        g_string_free(q->kept_head, TRUE);
        g_byte_array_free(q->kept_body, TRUE);
    }
    q->kept_status = q->status;
    q->kept_head = q->head;
    q->kept_body = q->body;
    q->head = g_string_new(NULL);
    q->body = g_byte_array_new();
    g_ptr_array_add(q->tried, q->ut);
    finish_call(q, UT_OUTCOME_FAILED);
    try_send(q);
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

static void
on_call_end(void *ctx, HtCall *call, HtResult result)
{
    (void)call;
    Req *q = ctx;
    uint64_t now_ms = bg_boot_ms();
    q->hc = NULL;
    if (result == HT_NOT_SENT) {
        log_not_connected(q, now_ms);
        g_ptr_array_add(q->tried, q->ut);
        if (!ut_is_unreachable(q->ut)) {
            q->gw->out.upstream_unreachable(q->gw->out.ctx, ut_get_id(q->ut));
        }
        finish_call(q, UT_OUTCOME_UNREACHABLE);
        q->retry_counted =
            q->sends > 0; /* the retry never left this process */
        try_send(q);
        return;
    }
    if (result == HT_DONE && q->not_run) {
        handle_not_run(q, now_ms);
    }
    else if (result == HT_DONE && q->forwards_events) {
        q->runs++;
        finish_stream(q);
    }
    else if (result == HT_DONE && q->streaming) {
        /* The resumption was not answered with a stream. */
        handle_failure(q, UT_OUTCOME_FAILED, "resumption refused");
    }
    else if (result == HT_DONE && q->status >= 500) {
        handle_error_status(q);
    }
    else if (result == HT_DONE) {
        q->runs++;
        forward_answer(q);
    }
    else {
        q->gw->out.upstream_broke(q->gw->out.ctx, q->digest, ut_get_id(q->ut));
        handle_failure(q, UT_OUTCOME_FAILED,
                       result == HT_GARBLED ? "garbled" : "broken off");
    }
}

/* ---- arrival ------------------------------------------------------------ */

static uint64_t
digest_request(const HtExchange *x)
{
    const HtHead *head = ht_get_head(x);
    const GByteArray *body = ht_get_body(x);
    uint64_t d = XXH64(head->target, strlen(head->target), 0);
    return XXH64(body->data, body->len, d);
}

/* Answers a request that has no Req yet.  TEXT: the body. */
static void
refuse_unadmitted(HtExchange *x, uint16_t status, uint32_t retry_ms,
                  const char *text)
{
    g_autoptr(GString) head = g_string_new(NULL);
    if (*text) {
        append_line(head, "Content-Type", "text/plain");
    }
    append_retry(head, retry_ms);
    ht_start_answer(x, status, head->str, (int64_t)strlen(text));
    ht_write_answer(x, text, strlen(text));
    ht_end_answer(x);
}

static void
set_deadlines(Req *q)
{
    uint32_t left_ms = q->route->timeout_ms;
    if (q->call.deadline_ms) {
        uint32_t d = q->call.deadline_ms > DEADLINE_MARGIN_MS
                         ? q->call.deadline_ms - DEADLINE_MARGIN_MS
                         : 1;
        left_ms = left_ms ? MIN(left_ms, d) : d;
    }
    q->answer_by_ms = q->arrival_ms + (left_ms ? left_ms : DEFAULT_TIMEOUT_MS);
    q->first_byte_by_ms = q->answer_by_ms;
    if (q->route->event_timeout_ms) {
        q->first_byte_by_ms =
            MIN(q->answer_by_ms, q->arrival_ms + q->route->event_timeout_ms -
                                     DEADLINE_MARGIN_MS);
    }
}

static void
fill_query(Req *q)
{
    q->query.service = q->service;
    q->query.draw = (uint32_t)bg_pick_random(&q->gw->rng, 100);
    q->query.tried = q->tried;
    q->query.prompt_tokens = q->call.prompt_tokens;
    if (!q->route->by_model || !q->call.model) {
        return;
    }
    q->query.model = q->call.model;
    q->query.adapter = q->call.adapter;
    const GArray *parts = q->call.parts;
    if (parts && parts->len > 1) {
        /* The last part is not shared with other requests. */
        q->query.affinity =
            g_array_index(parts, DepPart, parts->len - 2).digest;
        for (guint i = 0; i + 1 < parts->len; i++) {
            q->query.shared_tokens += g_array_index(parts, DepPart, i).tokens;
        }
    }
}

static void
note_arrival(Req *q)
{
    if (!q->query.model) {
        return;
    }
    g_autofree char *key = dep_make_key(q->query.model, q->query.adapter);
    add_count(q->gw->arrived, key);
    const DepService *s = g_hash_table_lookup(q->config->services, q->service);
    const DepModel *m =
        s ? g_hash_table_lookup(s->models, q->query.model) : NULL;
    if (m && q->route->objective_ms < (m->disk_ms ? m->disk_ms : m->load_ms)) {
        add_count(q->gw->arrived_tight_deadline, key);
    }
}

static Req *
create_req(Gw *g, HtExchange *x, const DepRoute *route,
           const DepWorkspace *workspace)
{
    Req *q = g_new0(Req, 1);
    q->gw = g;
    q->x = x;
    q->config = dep_ref_config(g->config);
    q->route = route;
    q->workspace = workspace;
    q->tried = g_ptr_array_new();
    q->head = g_string_new(NULL);
    q->body = g_byte_array_new();
    q->partial = g_string_new(NULL);
    q->arrival_ms = ht_get_arrival_ms(x);
    q->digest = digest_request(x);
    g->wire->read_call(ht_get_head(x), &q->call);
    q->last_event = q->call.resume_after;
    q->service = dep_pick_service(route, bg_next_random(&g->rng));
    set_deadlines(q);
    fill_query(q);
    g_queue_push_tail(&g->reqs, q);
    q->link = g->reqs.tail;
    ht_set_user(x, q);
    return q;
}

static bool
is_quarantined(const Gw *g, uint64_t digest)
{
    const Breaks *d = g_hash_table_lookup(g->breaks, &digest);
    return d && g_hash_table_size(d->upstreams) >= g->params.break_limit;
}

static void
log_key(const Gw *g, const HtHead *head, const DepKey *key, const char *why)
{
    char fingerprint[DEP_FINGERPRINT_LEN + 1] = "";
    if (key) {
        dep_print_fingerprint(key, fingerprint);
    }
    JlLine *l = jl_begin("key-refused");
    jl_text(l, "id", ht_find_header(head, g->wire->attempt_id));
    jl_text(l, "key", key ? fingerprint : NULL);
    jl_text(l, "why", why);
    jl_number(l, "version", (int64_t)g->config->version);
    jl_end(l);
    bg_count("gateway_keys_refused_total", 1);
}

/* The workspace of the caller's key.  NULL: the request was answered. */
static const DepWorkspace *
admit_key(Gw *g, HtExchange *x)
{
    const HtHead *head = ht_get_head(x);
    const char *text = g->wire->read_key(head);
    if (!text) {
        log_key(g, head, NULL, "no key, or more than one");
        refuse_unadmitted(x, 401, 0, "one key is needed\n");
        return NULL;
    }
    DepKey key = dep_digest_key(text);
    const DepWorkspace *w = dep_find_workspace(g->config, &key);
    if (g->stale) {
        log_key(g, head, &key, "configuration may be out of date");
        refuse_unadmitted(x, 503, RETRY_LATER_MS, "keys can't be checked\n");
        return NULL;
    }
    if (!w && g->behind) {
        /* The newer configuration may contain the key. */
        log_key(g, head, &key, "unknown; a newer configuration exists");
        refuse_unadmitted(x, 503, RETRY_SOON_MS, "keys can't be checked\n");
        return NULL;
    }
    if (!w) {
        log_key(g, head, &key, "unknown");
        refuse_unadmitted(x, 401, 0, "unknown key\n");
    }
    return w;
}

static double
get_cost(const Req *q)
{
    if (!q->workspace->counts_tokens) {
        return 1;
    }
    double tokens = (double)q->call.prompt_tokens + q->call.output_tokens;
    return tokens > 0 ? tokens : q->workspace->plain_tokens;
}

static void
log_limit(const Req *q, double cost, const WlRefusal *why)
{
    JlLine *l = jl_begin("limit-refused");
    jl_text(l, "id", q->call.attempt_id);
    jl_text(l, "workspace", q->workspace->name);
    jl_number(l, "cost", (int64_t)cost);
    jl_number(l, "level", (int64_t)why->level);
    jl_number(l, "asked", (int64_t)why->asked);
    jl_number(l, "let_in_percent", (int64_t)(why->let_in * 100));
    jl_text(l, "counts", why->counts);
    jl_number(l, "told_ms_ago", why->told_ms_ago);
    jl_number(l, "version", (int64_t)q->config->version);
    jl_end(l);
}

static bool
take_limit(Req *q, uint32_t *retry_ms)
{
    double cost = get_cost(q);
    WlRefusal why;
    if (!wl_take(q->gw->limits, bg_boot_ms(), q->workspace, cost, &why)) {
        *retry_ms = why.retry_ms;
        log_limit(q, cost, &why);
        return false;
    }
    q->cost = cost;
    return true;
}

static void
refuse_unready(const Gw *g, HtExchange *x)
{
    JlLine *l = jl_begin("request-unready");
    jl_text(l, "id", ht_find_header(ht_get_head(x), g->wire->attempt_id));
    jl_text(l, "why", g->closed ? "the gateway stops" : "no configuration");
    jl_number(l, "waited_ms", (int64_t)(bg_boot_ms() - ht_get_arrival_ms(x)));
    jl_end(l);
    bg_count("gateway_unready_total", 1);
    refuse_unadmitted(x, 503, g->closed ? RETRY_STOPPING_MS : RETRY_SOON_MS,
                      "not ready\n");
}

static void
admit(Gw *g, HtExchange *x)
{
    const HtHead *head = ht_get_head(x);
    const char *host = ht_find_header(head, "Host");
    g_autofree char *path =
        g_strndup(head->target, strcspn(head->target, "?"));
    const DepRoute *route =
        host ? dep_find_route(g->config, host, path) : NULL;
    if (!route) {
        JlLine *l = jl_begin("request-no-route");
        jl_text(l, "id", ht_find_header(head, g->wire->attempt_id));
        jl_text(l, "host", host);
        jl_text(l, "path", path);
        jl_number(l, "version", (int64_t)g->config->version);
        jl_end(l);
        refuse_unadmitted(x, 404, 0, "no such route\n");
        return;
    }
    const DepWorkspace *workspace = NULL;
    if (g->config->requires_keys && !route->is_public) {
        workspace = admit_key(g, x);
        if (!workspace) {
            return;
        }
    }
    Req *q = create_req(g, x, route, workspace);
    rb_on_request(g->budget, bg_boot_ms(), q->service);
    uint32_t retry_ms;
    if (workspace && !take_limit(q, &retry_ms)) {
        answer(q, 429, retry_ms, "over the workspace's limit");
        return;
    }
    note_arrival(q);
    if (is_quarantined(g, q->digest)) {
        answer(q, 503, RETRY_LATER_MS * 10,
               "upstreams broke off while running it");
        return;
    }
    try_send(q);
}

void
gw_on_request(Gw *g, HtExchange *x)
{
    if (g->config && !g->closed) {
        admit(g, x);
    }
    else if (g->closed ||
             bg_boot_ms() >= g->start_ms + FIRST_CONFIG_TIMEOUT_MS) {
        refuse_unready(g, x);
    }
    else {
        g_queue_push_tail(&g->early, x);
    }
}

/* Refuses early requests that waited too long; all when the process stops. */
static void
refuse_early(Gw *g, uint64_t now_ms)
{
    HtExchange *x;
    while ((x = g_queue_peek_head(&g->early)) &&
           (g->closed || now_ms >= ht_get_arrival_ms(x) + START_MAX_WAIT_MS)) {
        g_queue_pop_head(&g->early);
        refuse_unready(g, x);
    }
}

void
gw_admit_early(Gw *g)
{
    HtExchange *x;
    while (!g->closed && (x = g_queue_pop_head(&g->early))) {
        admit(g, x);
    }
}

void
gw_on_gone(Gw *g, HtExchange *x)
{
    Req *q = ht_get_user(x);
    if (!q) {
        g_queue_remove(&g->early, x);
        return;
    }
    log_end(q, "caller-gone", 0,
            q->state == REQ_WAITING ? q->waiting_for : "");
    if (q->state == REQ_WAITING && q->runs == 0) {
        refund_limit(q);
    }
    cancel_call(q, UT_OUTCOME_NEUTRAL);
    free_req(q);
}

/* ---- time --------------------------------------------------------------- */

static bool
has_better_upstream(const Req *q, uint64_t now_ms)
{
    Ut *other = NULL;
    g_ptr_array_add(q->tried, q->ut);
    UtChoice a = ut_choose(q->gw->upstreams, now_ms, &q->query, &other);
    g_ptr_array_set_size(q->tried, (gint)q->tried->len - 1);
    if (a != UT_FOUND) {
        return false;
    }
    /* One that answers others is busy, not dead: moving the request loses its
       place in the queue there, which pays only if the other has far less
       load. */
    bool lives = ut_is_alive(q->ut, now_ms);
    double here = ut_get_load(q->ut, now_ms);
    double there = ut_get_load(other, now_ms);
    return lives ? there + BUSY_SWITCH_FEWER_REQUESTS <
                       here * BUSY_SWITCH_LOAD_RATIO
                 : there < here + DEAD_SWITCH_MORE_REQUESTS;
}

static bool
is_silent(const Req *q, uint64_t now_ms)
{
    if (!may_repeat(q) || q->runs + 1 >= q->route->attempts) {
        return false;
    }
    bool stream = q->route->kind == DEP_STREAM;
    if (q->first_ms && stream && q->forwards_events) {
        uint64_t silent_ms = q->route->gap_ms
                                 ? (uint64_t)q->route->gap_ms * SILENT_GAPS
                                 : SILENT_GAP_MS;
        return now_ms - q->last_data_ms > silent_ms &&
               has_better_upstream(q, now_ms);
    }
    uint32_t usual = ut_get_usual_ms(q->gw->upstreams, q->ut, &q->query);
    uint64_t silent_ms =
        MAX((uint64_t)usual * SILENT_FACTOR,
            stream ? SILENT_MIN_STREAM_MS : SILENT_MIN_PLAIN_MS);
    if (stream) {
        silent_ms = MAX(silent_ms, q->route->objective_ms * SILENT_OBJECTIVE);
    }
    return now_ms - q->sent_ms > silent_ms && has_better_upstream(q, now_ms);
}

static void
check_request(Req *q, uint64_t now_ms)
{
    if (now_ms >= q->answer_by_ms) {
        if (q->state == REQ_SENT) {
            bool sent = q->hc && ht_was_sent(q->hc);
            q->runs += sent;
            cancel_call(q, sent ? UT_OUTCOME_FAILED : UT_OUTCOME_UNREACHABLE);
        }
        give_up(q, RETRY_SOON_MS, "deadline");
    }
    else if (q->state == REQ_WAITING) {
        try_send(q);
    }
    else if (is_silent(q, now_ms) &&
             rb_take(q->gw->budget, now_ms, q->service)) {
        q->retry_counted = true;
        ht_cancel_call(q->hc);
        q->hc = NULL;
        ht_drop_idle(q->gw->pool, ut_get_address(q->ut));
        handle_failure(q, UT_OUTCOME_SILENT, "silent");
    }
}

/* check_request may free its own request, but no other. */
void
gw_on_tick(Gw *g, uint64_t now_ms)
{
    refuse_early(g, now_ms);
    GList *next;
    for (GList *l = g->reqs.head; l; l = next) {
        next = l->next;
        check_request(l->data, now_ms);
    }
}

void
gw_stop_accepting(Gw *g)
{
    g->closed = true;
}

void
gw_close(Gw *g)
{
    g->closed = true;
    refuse_early(g, bg_boot_ms());
    Req *q;
    while ((q = g_queue_peek_head(&g->reqs))) {
        q->runs += q->hc && ht_was_sent(q->hc);
        give_up(q, RETRY_SOON_MS, "the gateway stops");
    }
}

void
gw_on_change(Gw *g)
{
    GList *next;
    for (GList *l = g->reqs.head; l; l = next) {
        next = l->next;
        Req *q = l->data;
        if (q->state == REQ_WAITING) {
            try_send(q);
        }
    }
}

/* ---- reports from other processes --------------------------------------- */

void
gw_on_leader(Gw *g, uint64_t now_ms, uint32_t guard_ms)
{
    g->leader_ms = now_ms;
    g->first_order_ms = now_ms + guard_ms;
}

void
gw_on_wait_estimate(Gw *g, uint64_t now_ms, const char *model,
                    uint32_t wait_ms)
{
    WaitEstimate *w = g_new0(WaitEstimate, 1);
    w->reported_ms = now_ms;
    w->wait_ms = wait_ms;
    g_hash_table_replace(g->wait_estimates, g_strdup(model), w);
}

static void
free_breaks(void *p)
{
    Breaks *d = p;
    g_hash_table_destroy(d->upstreams);
    g_free(d);
}

static gboolean
is_old_break(gpointer key, gpointer value, gpointer now_ms)
{
    (void)key;
    return ((Breaks *)value)->last_ms + BREAK_KEEP_MS < *(uint64_t *)now_ms;
}

void
gw_on_upstream_break(Gw *g, uint64_t now_ms, uint64_t request,
                     const char *upstream)
{
    g_hash_table_foreach_remove(g->breaks, is_old_break, &now_ms);
    Breaks *d = g_hash_table_lookup(g->breaks, &request);
    if (!d) {
        d = g_new0(Breaks, 1);
        d->upstreams =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        gint64 *key = g_new(gint64, 1);
        *key = (gint64)request;
        g_hash_table_insert(g->breaks, key, d);
    }
    d->last_ms = now_ms;
    g_hash_table_add(d->upstreams, g_strdup(upstream));
}

void
gw_on_slot(Gw *g, uint64_t now_ms, UlTicket ticket, bool granted,
           uint32_t wait_ms)
{
    ul_on_slot(g->upstream_limits, now_ms, ticket, granted, wait_ms);
    for (GList *l = g->reqs.head; l; l = l->next) {
        Req *q = l->data;
        if (q->ticket == ticket) {
            try_send(q); /* it may free Q */
            return;
        }
    }
}

/* ---- demand ------------------------------------------------------------- */

/* A demand under construction. */
typedef struct {
    uint64_t now_ms;
    DmDemand *demand;
    GHashTable *models; /* model or "model/adapter" -> DmModelDemand */
    GHashTable *uses; /* "upstream model" or "upstream model/adapter" -> DmUse
                       */
} Collection;

static DmModelDemand *
find_demand(Collection *c, const char *model, const char *adapter)
{
    g_autofree char *key = dep_make_key(model, adapter);
    DmModelDemand *w = g_hash_table_lookup(c->models, key);
    if (!w) {
        w = dm_add_model_demand(c->demand, model, adapter);
        g_hash_table_insert(c->models, g_steal_pointer(&key), w);
    }
    return w;
}

static DmUse *
find_use(Collection *c, const Req *q)
{
    g_autofree char *name = dep_make_key(q->query.model, q->query.adapter);
    g_autofree char *key = g_strconcat(ut_get_id(q->ut), " ", name, NULL);
    DmUse *u = g_hash_table_lookup(c->uses, key);
    if (!u) {
        u = dm_add_use(c->demand, ut_get_id(q->ut), q->query.model,
                       q->query.adapter);
        g_hash_table_insert(c->uses, g_steal_pointer(&key), u);
    }
    return u;
}

/* Whether the answer is about to miss an objective of its route. */
static bool
is_slow(const Req *q, uint64_t now_ms)
{
    const DepRoute *r = q->route;
    if (!q->first_ms) {
        return r->objective_ms &&
               now_ms - q->sent_ms > r->objective_ms * SLOW_FIRST_BYTE;
    }
    uint64_t since_ms = MAX(q->last_event_ms, q->first_ms);
    uint64_t pause_ms = MAX(now_ms - since_ms, q->last_gap_ms);
    return r->gap_ms && pause_ms > r->gap_ms * SLOW_PAUSE;
}

static void
collect_request(Collection *c, const Req *q)
{
    DmModelDemand *w = find_demand(c, q->query.model, NULL);
    DmModelDemand *a = q->query.adapter
                           ? find_demand(c, q->query.model, q->query.adapter)
                           : NULL;
    if (q->ut) {
        DmUse *u = find_use(c, q);
        w->running++;
        u->running++;
        /* What this gateway alone doesn't hear says nothing of the queue
           there. */
        bool heard = !(q->hc && ht_is_cut_off(q->hc));
        u->queued += heard && q->first_ms == 0;
        u->slow += heard && is_slow(q, c->now_ms);
        return;
    }
    (a ? a : w)->waiting++;
    w->waiting += a && q->lacks_model;
}

/* Moves COUNTS, keyed by model or "model/adapter", to the field at OFFSET of
   each DmModelDemand. */
static void
collect_counts(Collection *c, GHashTable *counts, size_t offset)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, counts);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        g_auto(GStrv) words = g_strsplit(k, "/", 2);
        DmModelDemand *w = find_demand(c, words[0], words[1]);
        G_STRUCT_MEMBER(uint32_t, w, offset) = GPOINTER_TO_UINT(v);
    }
    g_hash_table_remove_all(counts);
}

DmDemand *
gw_collect_demand(Gw *g)
{
    Collection c = {
        bg_boot_ms(), dm_create_demand(true),
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
    for (GList *l = g->reqs.head; l; l = l->next) {
        const Req *q = l->data;
        if (q->query.model) {
            collect_request(&c, q);
        }
    }
    collect_counts(&c, g->arrived, offsetof(DmModelDemand, arrived));
    collect_counts(&c, g->arrived_tight_deadline,
                   offsetof(DmModelDemand, tight_deadline));
    collect_counts(&c, g->refused_busy, offsetof(DmModelDemand, refused));
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, g->begun_answers);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        dm_add_answer_starts(c.demand, k, GPOINTER_TO_UINT(v));
    }
    g_hash_table_remove_all(g->begun_answers);
    g_hash_table_destroy(c.models);
    g_hash_table_destroy(c.uses);
    return c.demand;
}

static void
print_latency(GString *out, const char *name, const Hist *h)
{
    static const uint32_t permilles[] = {500, 950, 990};
    g_string_append_printf(out, "# TYPE bglade_%s_seconds summary\n", name);
    for (size_t i = 0; i < G_N_ELEMENTS(permilles); i++) {
        g_string_append_printf(
            out, "bglade_%s_seconds{quantile=\"%.2f\"} %.6f\n", name,
            permilles[i] / 1000., hist_quantile(h, permilles[i]) / 1e6);
    }
    g_string_append_printf(out, "bglade_%s_seconds_count %llu\n", name,
                           (unsigned long long)hist_count(h));
}

void
gw_print_metrics(const Gw *g, GString *out)
{
    print_latency(out, "gateway_answer", g->answer_us);
    print_latency(out, "gateway_first_byte", g->first_byte_us);
}

uint32_t
gw_count(const Gw *g)
{
    return g->reqs.length;
}

uint32_t
gw_count_waiting(const Gw *g)
{
    uint32_t n = 0;
    for (GList *l = g->reqs.head; l; l = l->next) {
        n += ((Req *)l->data)->state == REQ_WAITING;
    }
    return n;
}

/* ---- the gateway -------------------------------------------------------- */

Gw *
gw_create(const GwParams *params, const GwWire *wire, const GwOutput *out,
          HtPool *pool, UtSet *upstreams, Rb *budget, Wl *limits,
          Ul *upstream_limits)
{
    Gw *g = g_new0(Gw, 1);
    g->params = *params;
    g->wire = wire;
    g->out = *out;
    g->pool = pool;
    g->upstreams = upstreams;
    g->budget = budget;
    g->limits = limits;
    g->upstream_limits = upstream_limits;
    g->leader_ms = bg_boot_ms();
    g->answer_us = hist_create();
    g->first_byte_us = hist_create();
    g->start_ms = bg_boot_ms();
    g_queue_init(&g->early);
    g_queue_init(&g->reqs);
    g->arrived = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g->arrived_tight_deadline =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g->refused_busy =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g->begun_answers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g->wait_estimates =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g->breaks = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                      free_breaks);
    bg_seed_random(&g->rng, params->seed);
    return g;
}

void
gw_destroy(Gw *g)
{
    Req *q;
    while ((q = g_queue_peek_head(&g->reqs))) {
        ht_set_user(q->x, NULL);
        cancel_call(q, UT_OUTCOME_NEUTRAL);
        free_req(q);
    }
    g_queue_clear(&g->early);
    dep_unref_config(g->config);
    g_hash_table_destroy(g->arrived);
    g_hash_table_destroy(g->arrived_tight_deadline);
    g_hash_table_destroy(g->refused_busy);
    g_hash_table_destroy(g->begun_answers);
    g_hash_table_destroy(g->wait_estimates);
    g_hash_table_destroy(g->breaks);
    hist_destroy(g->answer_us);
    hist_destroy(g->first_byte_us);
    g_free(g);
}

void
gw_on_config(Gw *g, DepConfig *c)
{
    if (!g->config) {
        g->config_ms = bg_boot_ms();
    }
    dep_unref_config(g->config);
    g->config = dep_ref_config(c);
}

void
gw_set_upstreams_complete(Gw *g, bool complete)
{
    g->upstreams_complete = complete;
}

void
gw_set_config_freshness(Gw *g, bool behind, bool stale)
{
    g->behind = behind;
    g->stale = stale;
}
