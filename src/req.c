#include "req.h"

#include "answer_end.h"
#include "blocking_http.h"
#include "client_limits.h"
#include "json_parser.h"
#include "watch.h"

#include <civetweb.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define MAX_BODY (1024 * 1024)
#define MAX_DISCARD (16u * 1024 * 1024)
#define AFFINITY_BYTES 512
/* Interval of checks for a disconnected caller. */
#define CALLER_POLL_MS 100
#define DEFAULT_MAX_TOKENS 256
#define BUSY_RETRY_MS 1000
#define ANSWER_TIMEOUT_RUNS 3  /* answer timeout, in long runs of the model */
#define STATUS_CALLER_GONE 499 /* only logged, the caller is gone */
#define DEATH_PROBE_MS 500
/* A dying process gets 500 ms to close its last socket. */
#define DEATH_PROBES 6
#define DEATH_PROBE_PAUSE_MS 100
#define MAX_KEY_LEN 255
#define CHUNK_FRAME 24 /* bytes for the size line and line ends of a chunk */

/* ---- one request -------------------------------------------------------- */

/* State of a request, owned by its HTTP thread. */
typedef struct {
    Desk *desk;
    struct mg_connection *conn;
    const struct mg_request_info *info;
    CfgSet *cfg;
    const CfgWorkspace *workspace;
    const CfgModel *model;     /* NULL: a call of a service */
    const CfgService *service; /* NULL: a call of a model */
    const char *service_path;
    const char *key; /* Idempotency-Key of a call that needs one, or NULL */
    char attempt_id[BG_ID_LEN + 1]; /* of the claim */
    uint8_t digest[32];             /* of the whole request */
    GByteArray *body;
    bool chat;
    bool stream;
    uint64_t id;
    char *caller_id; /* X-Request-Id, of the caller or generated */
    uint64_t start_ms;
    uint64_t deadline_ms;
    Ticket ticket;
    Watch watch;
    CgHolder holder;  /* what is held for it */
    bool out_of_room; /* its answer was given up, as too much is held */
    bool client_gone;
    bool close; /* close the connection after this answer */
    uint32_t max_tokens;
    /* Of a streamed answer. */
    bool head_sent;
    GString *line; /* an incomplete SSE line */
    bool saw_done; /* data: [DONE] */
    uint32_t tokens_sent;
    long upstream_status;
} Req;

/* An idle connection occupies an HTTP thread.  So the connection is closed
   after the answer if few threads are free or the router is draining. */
static const char *
end_connection(Req *q)
{
    const Node *n = desk_get_node(q->desk);
    if (!q->close && !node_is_draining(n) && !node_is_crowded(n)) {
        return "";
    }
    mg_disable_connection_keep_alive(q->conn);
    return "Connection: close\r\n";
}

static int
send_json(Req *q, int status, const char *outcome, uint64_t retry_after_ms,
          const char *text)
{
    mg_printf(q->conn,
              "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
              "X-Bglade-Outcome: %s\r\nX-Request-Id: %s\r\n%s",
              status, mg_get_response_code_text(q->conn, status), outcome,
              q->caller_id ? q->caller_id : "", end_connection(q));
    if (retry_after_ms) {
        mg_printf(q->conn, "Retry-After: %llu\r\n",
                  (unsigned long long)(retry_after_ms + 999) / 1000);
    }
    mg_printf(q->conn, "Content-Length: %zu\r\n\r\n", strlen(text));
    mg_write(q->conn, text, strlen(text));
    return status;
}

static int
send_error(Req *q, int status, const char *outcome, const char *code,
           const char *message, uint64_t retry_after_ms)
{
    json_t *doc = json_pack(
        "{s:{s:s, s:s, s:s, s:s, s:I}}", "error", "message", message, "type",
        status < 500 ? "invalid_request_error" : "server_error", "code", code,
        "outcome", outcome, "retry_after_ms", (json_int_t)retry_after_ms);
    char *text = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    int sent = send_json(q, status, outcome, retry_after_ms, text);
    free(text);
    return sent;
}

static int
refuse_call(Req *q, int status, const char *code, const char *message)
{
    return send_error(q, status, "refused-not-run", code, message, 0);
}

static int
refuse_busy(Req *q)
{
    bg_count("router_busy_total", 1);
    return send_error(q, 503, "refused-not-run", "busy",
                      "not run: the router is full", BUSY_RETRY_MS);
}

/* ---- what is held for it ------------------------------------------------ */

/* Of a thread at work, without body and answer. */
#define REQUEST_BYTES 16384

/* READING: its body of LEN bytes, which isn't whole. */
static bool
may_read(Req *q, size_t len)
{
    return cg_hold(desk_get_gate(q->desk), &q->holder,
                   REQUEST_BYTES + cl_get_capacity(len), true);
}

/* Besides its whole body, MORE bytes. */
static bool
may_hold(Req *q, uint64_t more)
{
    return cg_hold(desk_get_gate(q->desk), &q->holder,
                   REQUEST_BYTES + cl_get_capacity(q->body->len) + more,
                   false);
}

/* The answer to a call with a key is always taken: it isn't made again. */
static bool
may_collect(void *ctx, size_t len)
{
    Req *q = ctx;
    q->out_of_room = !may_hold(q, cl_get_capacity(len)) && !q->key;
    return !q->out_of_room;
}

static void
interrupt_read(void *ctx)
{
    const Req *q = ctx;
    watch_interrupt(q->info);
}

/* ---- authentication and parsing ----------------------------------------- */

static const char *
get_header(const Req *q, const char *name)
{
    return mg_get_header(q->conn, name);
}

static const CfgWorkspace *
authenticate(const Req *q)
{
    const char *auth = get_header(q, "Authorization");
    if (!auth || strncmp(auth, "Bearer ", 7) != 0) {
        return NULL;
    }
    return cfg_authenticate(q->cfg, auth + 7);
}

/* Its client had twice the time of one read for the whole body. */
static bool
is_overdue(const Req *q)
{
    return bg_now_ms() > q->start_ms + 2ull * desk_get_client_ms(q->desk);
}

/* A client that is still sending would get a connection reset instead of the
   answer, so a bounded part of the excess is read and discarded. */
static void
discard_rest(Req *q)
{
    uint8_t chunk[16384];
    size_t dropped = 0;
    int got = 1;
    while (got > 0 && dropped < MAX_DISCARD && !is_overdue(q)) {
        got = mg_read(q->conn, chunk, sizeof(chunk));
        dropped += got > 0 ? (size_t)got : 0;
    }
}

static int
refuse_large(Req *q)
{
    discard_rest(q);
    q->close = true;
    return refuse_call(q, 413, "too_large", "the body is too large");
}

/* Too much is held for all clients: it hasn't run. */
static int
refuse_crowded(Req *q)
{
    if (!cg_must_yield(desk_get_gate(q->desk), &q->holder)) {
        discard_rest(q);
    }
    q->close = true;
    return refuse_busy(q);
}

static bool
is_whole(const Req *q, int last_read)
{
    int64_t length = q->info->content_length;
    return last_read == 0 && (length < 0 || q->body->len == (guint)length);
}

/* 0, or the HTTP status of the refusal that was sent. */
static int
read_body(Req *q)
{
    if (q->info->content_length > MAX_BODY) {
        return refuse_large(q);
    }
    q->body = g_byte_array_new();
    uint8_t chunk[16384];
    int got;
    while ((got = mg_read(q->conn, chunk, sizeof(chunk))) > 0) {
        if (q->body->len + (guint)got > MAX_BODY) {
            return refuse_large(q);
        }
        if (!may_read(q, q->body->len + (guint)got)) {
            return refuse_crowded(q);
        }
        if (is_overdue(q)) {
            q->close = true;
            return refuse_call(q, 408, "slow", "the body came too slowly");
        }
        g_byte_array_append(q->body, chunk, (guint)got);
    }
    if (cg_must_yield(desk_get_gate(q->desk), &q->holder)) {
        return refuse_crowded(q);
    }
    if (!is_whole(q, got)) {
        q->close = true;
        return refuse_call(q, 400, "truncated", "the body is not whole");
    }
    return 0;
}

static int
read_model_call(Req *q)
{
    g_autoptr(GError) err = NULL;
    const char *text = (const char *)q->body->data;
    if (!may_hold(q, js_estimate_bytes(text, q->body->len))) {
        return refuse_crowded(q);
    }
    json_t *doc = js_parse((const char *)q->body->data, q->body->len, &err);
    int status = 0;
    const char *name = json_string_value(json_object_get(doc, "model"));
    const char *part = q->chat ? "messages" : "prompt";
    if (!doc) {
        status = refuse_call(q, 400, "bad_json", err->message);
    }
    else if (!name) {
        status = refuse_call(q, 400, "no_model", "\"model\" is missing");
    }
    else if (!json_object_get(doc, part)) {
        status = refuse_call(q, 400, "no_prompt",
                             q->chat ? "\"messages\" is missing"
                                     : "\"prompt\" is missing");
    }
    else if (!cfg_find_model(q->cfg, name) ||
             !cfg_may_call_model(q->workspace, name)) {
        /* The same message for both, so as not to disclose names. */
        status = refuse_call(q, 404, "no_such_model",
                             "the workspace has no such model");
    }
    else {
        q->model = cfg_find_model(q->cfg, name);
        q->stream = json_is_true(json_object_get(doc, "stream"));
        json_int_t tokens =
            json_integer_value(json_object_get(doc, "max_tokens"));
        q->max_tokens = tokens > 0 && tokens < UINT32_MAX ? (uint32_t)tokens
                                                          : DEFAULT_MAX_TOKENS;
    }
    json_decref(doc);
    may_hold(q, 0);
    return status;
}

static int
read_key(Req *q)
{
    const char *key = get_header(q, "Idempotency-Key");
    if (!key || !*key) {
        return refuse_call(q, 400, "no_idempotency_key",
                           "Idempotency-Key is required");
    }
    if (strlen(key) > MAX_KEY_LEN) {
        return refuse_call(q, 400, "bad_idempotency_key",
                           "Idempotency-Key is too long");
    }
    q->key = key;
    bg_make_id(q->attempt_id);
    return 0;
}

static int
read_service_call(Req *q)
{
    const char *rest = q->info->local_uri + strlen("/v1/services/");
    const char *slash = strchr(rest, '/');
    g_autofree char *name =
        slash ? g_strndup(rest, (gsize)(slash - rest)) : g_strdup(rest);
    const CfgService *s = cfg_find_service(q->cfg, name);
    if (!s || !cfg_may_call_service(q->workspace, name)) {
        return refuse_call(q, 404, "no_such_service",
                           "the workspace has no such service");
    }
    q->service = s;
    q->service_path = slash ? slash : "/";
    return s->idempotency_required ? read_key(q) : 0;
}

/* ---- decisions ---------------------------------------------------------- */

static void
post_cancel(Req *q)
{
    DeskEvent *e = g_new0(DeskEvent, 1);
    e->kind = DESK_CANCEL;
    e->id = q->id;
    node_post_wait(desk_get_node(q->desk), e);
}

static void
wait_on_ticket(Ticket *t)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_nsec += CALLER_POLL_MS * 1000000L;
    until.tv_sec += until.tv_nsec / 1000000000L;
    until.tv_nsec %= 1000000000L;
    pthread_cond_timedwait(&t->decided, &t->lock, &until);
}

/* A call with a key goes on when its caller disconnects: the caller gets the
   recorded answer when it retries. */
static bool
is_caller_gone(void *ctx)
{
    Req *q = ctx;
    if (q->key) {
        return false;
    }
    q->client_gone =
        q->client_gone || watch_is_gone(&q->watch, bg_now_ms(), q->info);
    return q->client_gone;
}

/* Waits for the core's decision even if the caller is gone: until then the
   core holds a pointer to the ticket, which is on this thread's stack. */
static void
await_decision(Req *q, Ticket *out)
{
    Ticket *t = &q->ticket;
    bool cancelled = q->client_gone;
    pthread_mutex_lock(&t->lock);
    while (t->decision == DECIDED_NONE) {
        wait_on_ticket(t);
        if (t->decision == DECIDED_NONE && !cancelled && is_caller_gone(q)) {
            cancelled = true;
            pthread_mutex_unlock(&t->lock);
            post_cancel(q);
            pthread_mutex_lock(&t->lock);
        }
    }
    *out = *t;
    t->decision = DECIDED_NONE;
    pthread_mutex_unlock(&t->lock);
}

static uint64_t
compute_affinity(const Req *q)
{
    return XXH64(q->body->data, MIN(q->body->len, AFFINITY_BYTES), 0);
}

/* Digest of all that identifies equal requests: workspace, method, path,
   query, model or service, and body. */
static void
compute_digest(Req *q)
{
    const char *query = q->info->query_string;
    g_autofree char *head =
        g_strjoin("\n", q->workspace->name, q->info->request_method,
                  q->info->local_uri, query ? query : "",
                  q->model ? q->model->name : q->service->name, "", NULL);
    bg_digest_two(head, strlen(head), q->body->data, q->body->len, q->digest);
}

static void
fill_call(const Req *q, OnceCall *call)
{
    call->id = q->id;
    call->workspace = q->workspace->name;
    call->key = q->key;
    call->attempt_id = q->attempt_id;
    memcpy(call->digest, q->digest, sizeof(call->digest));
    call->deadline_ms = q->deadline_ms;
}

static bool
post_arrival(Req *q)
{
    DeskEvent *e = g_new0(DeskEvent, 1);
    e->kind = DESK_ARRIVE;
    e->id = q->id;
    e->ticket = &q->ticket;
    memcpy(e->digest, q->digest, sizeof(e->digest));
    RtRequest *r = &e->request;
    r->id = q->id;
    r->workspace = q->workspace->name;
    r->priority = q->workspace->priority;
    r->deadline_ms = q->deadline_ms;
    r->cost = 1;
    /* A call of a service is not sent again once it may have run. */
    r->once = q->service != NULL;
    if (q->model) {
        r->cost = q->max_tokens;
        r->model = q->model->name;
        r->deployment = q->model->upstreams;
        r->base = q->model->base;
        r->class_ = q->model->class_;
        r->load_ms = q->model->load_ms;
        r->affinity = compute_affinity(q);
    }
    else {
        g_assert(q->service != NULL);
        r->deployment = q->service->upstreams;
        r->class_ = CFG_LOOKUP;
    }
    if (q->key) {
        e->keyed = true;
        r->claimed = true;
        fill_call(q, &e->call);
    }
    if (node_post(desk_get_node(q->desk), e)) {
        return true;
    }
    g_free(e);
    return false;
}

/* ---- streamed answers --------------------------------------------------- */

static void
send_stream_head(Req *q)
{
    q->head_sent = true;
    mg_printf(q->conn,
              "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
              "Cache-Control: no-cache\r\nX-Bglade-Outcome: streaming\r\n"
              "X-Request-Id: %s\r\nConnection: close\r\n"
              "Transfer-Encoding: chunked\r\n\r\n",
              q->caller_id);
    mg_disable_connection_keep_alive(q->conn);
}

/* One write for each chunk: mg_send_chunk makes three, each of them a system
   call and a packet. */
static bool
send_stream_text(Req *q, const char *text, size_t len)
{
    g_autoptr(GString) chunk = g_string_sized_new(len + CHUNK_FRAME);
    g_string_printf(chunk, "%zx\r\n", len);
    g_string_append_len(chunk, text, (gssize)len);
    g_string_append(chunk, "\r\n");
    if (mg_write(q->conn, chunk->str, chunk->len) < (int)chunk->len) {
        q->client_gone = true;
        return false;
    }
    return true;
}

/* The answer broke off inside LINE, and the head of another one fills it up.
   An event is JSON, which may speak of HTTP. */
static bool
holds_other_head(const char *line, size_t len)
{
    if (!ae_find_status_line(line, len)) {
        return false;
    }
    bool event = strncmp(line, "data:", 5) == 0;
    json_t *doc = event ? js_parse(line + 5, len - 5, NULL) : NULL;
    bool whole = doc != NULL;
    json_decref(doc);
    return !whole;
}

/* Forwards one SSE line as a complete event, so that the caller never gets
   part of an event when the upstream breaks off. */
static bool
forward_line(Req *q, const char *line, size_t len)
{
    if (holds_other_head(line, len)) {
        bg_count("router_garbled_streams_total", 1);
        return false;
    }
    if (len > 5 && strncmp(line, "data:", 5) == 0) {
        /* [DONE] marks the answer as complete: it is sent at the end. */
        if (g_strstr_len(line, (gssize)len, "[DONE]") == line + 6) {
            q->saw_done = true;
            return true;
        }
        q->tokens_sent++;
        g_autofree char *event = g_strdup_printf("%.*s\n\n", (int)len, line);
        return send_stream_text(q, event, strlen(event));
    }
    return true;
}

static bool
take_stream_data(void *ctx, const char *data, size_t len)
{
    Req *q = ctx;
    if (q->saw_done) {
        return true;
    }
    if (q->upstream_status != 200) {
        /* Not a stream but an error: buffered and forwarded unchanged. */
        g_string_append_len(q->line, data, (gssize)len);
        return q->line->len <= MAX_BODY;
    }
    if (!q->head_sent) {
        send_stream_head(q);
    }
    g_string_append_len(q->line, data, (gssize)len);
    char *end;
    while ((end = memchr(q->line->str, '\n', q->line->len))) {
        size_t n = (size_t)(end - q->line->str);
        size_t text = n > 0 && q->line->str[n - 1] == '\r' ? n - 1 : n;
        bool good = forward_line(q, q->line->str, text);
        g_string_erase(q->line, 0, (gssize)n + 1);
        if (!good) {
            return false;
        }
    }
    return true;
}

/* A stream that cannot be completed ends with an error event and without the
   last chunk, so that no client takes it for complete. */
static void
abort_stream(Req *q)
{
    static const char event[] =
        "data: {\"error\":{\"message\":\"the answer broke off\","
        "\"code\":\"broken\",\"outcome\":\"failed-may-have-run\"}}\n\n";
    if (!q->client_gone) {
        send_stream_text(q, event, sizeof(event) - 1);
    }
    mg_disable_connection_keep_alive(q->conn);
}

/* ---- the call to the upstream ------------------------------------------- */

typedef struct {
    HcResult res;
    RtResult result;
    const char *upstream;
    bool connection_broke; /* the connection broke (no timeout) after bytes of
                         the request were sent */
} Attempt;

static uint32_t
get_remaining_ms(const Req *q)
{
    uint64_t now_ms = bg_now_ms();
    return now_ms < q->deadline_ms ? (uint32_t)(q->deadline_ms - now_ms) : 1;
}

static char *
make_url(const Req *q, const char *address)
{
    if (q->model) {
        return g_strconcat(
            "http://", address,
            q->chat ? "/v1/chat/completions" : "/v1/completions", NULL);
    }
    const char *query = q->info->query_string;
    return g_strconcat("http://", address, q->service_path, query ? "?" : "",
                       query ? query : "", NULL);
}

static GPtrArray *
make_headers(const Req *q)
{
    static const char *const forwarded[] = {"Content-Type", "Idempotency-Key",
                                            "X-Run-Id"};
    GPtrArray *h = g_ptr_array_new_with_free_func(g_free);
    for (size_t i = 0; i < G_N_ELEMENTS(forwarded); i++) {
        const char *value = get_header(q, forwarded[i]);
        if (value) {
            g_ptr_array_add(h, g_strdup_printf("%s: %s", forwarded[i], value));
        }
    }
    g_ptr_array_add(h, g_strdup_printf("X-Request-Id: %s", q->caller_id));
    g_ptr_array_add(h,
                    g_strdup_printf("X-Priority: %u", q->workspace->priority));
    g_ptr_array_add(h, NULL);
    return h;
}

/* Also reads the number of generated tokens. */
static bool
is_complete_json(Req *q, const HcResult *res)
{
    json_t *doc = js_parse(res->body->str, res->body->len, NULL);
    bool valid = json_is_object(doc);
    json_t *usage = json_object_get(doc, "usage");
    json_int_t made =
        json_integer_value(json_object_get(usage, "completion_tokens"));
    q->tokens_sent = made > 0 && made < UINT32_MAX ? (uint32_t)made : 0;
    json_decref(doc);
    return valid;
}

static bool
is_rejected(const HcResult *res)
{
    return res->upstream_state && (res->status == 404 || res->status == 503);
}

/* Whether the answer is complete: a stream by its [DONE], any other answer by
   its declared length, a completion also by being valid JSON. */
static bool
is_complete(Req *q, const HcResult *res)
{
    if (q->stream && res->status == 200) {
        return q->saw_done;
    }
    if (q->head_sent || !res->framed) {
        return false;
    }
    return !q->model || res->status != 200 || is_complete_json(q, res);
}

static RtOutcome
classify(Req *q, const HcResult *res)
{
    if (q->client_gone || q->out_of_room) {
        return RT_OUTCOME_CANCELLED;
    }
    if (res->end == HC_NOT_SENT) {
        return RT_OUTCOME_NOT_SENT;
    }
    if (res->end != HC_DONE && !(q->stream && q->saw_done)) {
        return RT_OUTCOME_BROKEN;
    }
    if (is_rejected(res)) {
        return RT_OUTCOME_REJECTED;
    }
    return is_complete(q, res) ? RT_OUTCOME_OK : RT_OUTCOME_BROKEN;
}

static bool
take_stream_head(void *ctx, long status, const char *content_type)
{
    (void)content_type;
    Req *q = ctx;
    q->upstream_status = status;
    return true;
}

/* The request body that resumes a broken stream after the last token the
   caller has.  Free with free(); NULL: send the caller's body. */
static char *
make_resuming_body(const Req *q)
{
    if (q->tokens_sent == 0) {
        return NULL;
    }
    json_t *doc = js_parse((const char *)q->body->data, q->body->len, NULL);
    json_object_set_new(doc, "resume_from_token",
                        json_integer(q->tokens_sent));
    char *text = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    bg_count("router_resumed_streams_total", 1);
    return text;
}

/* An unstreamed completion sends nothing before its end.  A timeout that is
   too short would run long completions again and eject healthy engines, so it
   is derived from measured runs; without any, only the deadline applies. */
static uint32_t
get_answer_ms(const Req *q, uint32_t long_run_ms, uint32_t remaining_ms)
{
    uint64_t limit_ms = (uint64_t)long_run_ms * ANSWER_TIMEOUT_RUNS;
    return long_run_ms == 0
               ? remaining_ms
               : (uint32_t)MIN(
                     remaining_ms,
                     MAX(limit_ms, desk_get_limits(q->desk)->answer_ms));
}

static uint32_t
get_first_byte_ms(const Req *q, const Ticket *t, uint32_t remaining_ms)
{
    if (!q->model) {
        return remaining_ms;
    }
    return q->stream
               ? MIN(remaining_ms, desk_get_limits(q->desk)->first_byte_ms)
               : get_answer_ms(q, t->long_run_ms, remaining_ms);
}

/* A pooled connection without any answer, or a connection that became silent
   within an answer, may be dead while the upstream is healthy; one with an
   answer that may be an earlier call's says nothing of this call. */
static bool
is_connection_at_fault(const HcResult *res)
{
    if (res->unproved) {
        return res->reused;
    }
    return res->status == 0 ? res->reused : res->end == HC_TIMEOUT;
}

/* Whether the upstream's process died: a new connection is refused.  Repeated
   while new connections break without an answer, as a dying process accepts
   connections until its last socket is closed. */
static bool
has_process_died(const Desk *d, HcClient *c, const char *address)
{
    g_autofree char *url =
        g_strconcat("http://", address, "/control/report", NULL);
    HcRequest req = {.method = "GET",
                     .url = url,
                     .connect_ms = desk_get_limits(d)->connect_ms,
                     .total_ms = DEATH_PROBE_MS,
                     .fresh = true};
    bool refused = false;
    bool broken = true;
    for (int i = 0; i < DEATH_PROBES && broken && !refused; i++) {
        if (i > 0) {
            g_usleep(DEATH_PROBE_PAUSE_MS * 1000);
        }
        HcResult res;
        hc_call(c, &req, &res);
        refused = res.refused;
        broken = res.end == HC_BROKEN;
        hc_free_result(&res);
    }
    return refused;
}

/* A router that was paused after it won the claim must not send after the
   deadline, as the claim may expire soon after. */
static bool
is_past_deadline(const Req *q)
{
    return q->key && bg_now_ms() >= q->deadline_ms;
}

static void
set_result(Req *q, const Ticket *t, Attempt *a)
{
    a->result.outcome = classify(q, &a->res);
    a->result.leaving =
        !a->res.unproved && g_strcmp0(a->res.upstream_state, "leaving") == 0;
    a->result.late = a->res.end == HC_TIMEOUT && get_remaining_ms(q) <= 1;
    a->result.silent_connection = is_connection_at_fault(&a->res);
    if (a->res.end == HC_TIMEOUT && !a->result.late) {
        desk_mark_silent(q->desk, t->address);
    }
    if (a->result.outcome == RT_OUTCOME_BROKEN) {
        bg_count("router_broken_attempts_total", 1);
        bg_log(BG_WARN, "req", "Request %s failed at %s: %s, status %ld%s.",
               q->caller_id, t->upstream, hc_end_name(a->res.end),
               a->res.status,
               a->res.crossed    ? ", answer to another call"
               : a->res.unproved ? ", answer to an unknown call"
                                 : "");
    }
}

static void
run_attempt(Req *q, const Ticket *t, Attempt *a)
{
    a->upstream = t->upstream;
    if (is_past_deadline(q)) {
        a->result.outcome = RT_OUTCOME_REJECTED;
        return;
    }
    const CallLimits *l = desk_get_limits(q->desk);
    g_autofree char *url = make_url(q, t->address);
    g_autoptr(GPtrArray) headers = make_headers(q);
    char *resuming = make_resuming_body(q);
    uint32_t remaining_ms = get_remaining_ms(q);
    char attempt_id[BG_ID_LEN + 1];
    bg_make_id(attempt_id);
    HcRequest req = {.method = q->info->request_method,
                     .url = url,
                     .headers = (const char *const *)headers->pdata,
                     .body = q->body->len ? q->body->data : NULL,
                     .body_len = q->body->len,
                     .connect_ms = l->connect_ms,
                     .first_byte_ms = get_first_byte_ms(q, t, remaining_ms),
                     .total_ms = remaining_ms,
                     .idle_ms = l->idle_ms,
                     .max_idle_ms = l->pool_idle_ms,
                     /* An unstreamed generation sends nothing before its
                        end: a dead pooled connection would use up the
                        deadline, and a new one is cheap in comparison.  It is
                        closed after use: calls of this kind take none from
                        the pool, and an idle one would hold a thread of the
                        engine until the engine closes or drops it. */
                     .fresh = !q->stream,
                     .renew = desk_is_silent(q->desk, t->address),
                     .attempt_id = attempt_id,
                     .on_head = take_stream_head,
                     .on_data = NULL,
                     .may_collect = may_collect,
                     .is_cancelled = is_caller_gone,
                     .ctx = q};
    if (resuming) {
        req.body = resuming;
        req.body_len = strlen(resuming);
    }
    if (q->stream) {
        req.on_data = take_stream_data;
        g_string_truncate(q->line, 0);
    }
    HcClient *c = desk_take_client(q->desk);
    hc_call(c, &req, &a->res);
    free(resuming);
    set_result(q, t, a);
    if (a->res.end == HC_BROKEN && a->result.outcome == RT_OUTCOME_BROKEN) {
        a->connection_broke = true;
        a->result.died = has_process_died(q->desk, c, t->address);
    }
    desk_return_client(q->desk, c);
}

/* Fills in the answer to record; a too large one is recorded without body. */
static void
fill_result(const Req *q, const Attempt *a, DeskEvent *e)
{
    if (!q->key || a->result.outcome != RT_OUTCOME_OK) {
        return;
    }
    const GString *body = a->res.body;
    e->content_type = g_strdup(a->res.content_type);
    e->result.status = (uint32_t)a->res.status;
    e->result.content_type = e->content_type;
    e->result.body_len = body->len;
    if (body->len <= KEYS_MAX_BODY_BYTES) {
        e->body = g_bytes_new(body->str, body->len);
        e->result.body = g_bytes_get_data(e->body, NULL);
    }
}

static void
post_done(const Req *q, const Attempt *a)
{
    DeskEvent *e = g_new0(DeskEvent, 1);
    e->kind = DESK_DONE;
    e->id = q->id;
    e->attempt = a->result;
    e->used = q->tokens_sent;
    e->connection_broke = a->connection_broke;
    e->upstream = g_strdup(a->upstream);
    fill_result(q, a, e);
    node_post_wait(desk_get_node(q->desk), e);
}

static int
send_answer(Req *q, const HcResult *res)
{
    if (q->head_sent) {
        static const char done[] = "data: [DONE]\n\n";
        if (send_stream_text(q, done, sizeof(done) - 1)) {
            mg_send_chunk(q->conn, "", 0);
        }
        return 200;
    }
    const GString *body = q->stream ? q->line : res->body;
    mg_printf(q->conn,
              "HTTP/1.1 %ld %s\r\nContent-Type: %s\r\n"
              "X-Bglade-Outcome: answered\r\nX-Request-Id: %s\r\n%s"
              "Content-Length: %zu\r\n\r\n",
              res->status,
              mg_get_response_code_text(q->conn, (int)res->status),
              res->content_type ? res->content_type : "text/plain",
              q->caller_id, end_connection(q), body->len);
    mg_write(q->conn, body->str, body->len);
    return (int)res->status;
}

/* Not retryable: an equal request would kill the next upstream. */
static int
send_quarantined(Req *q, const char *outcome)
{
    return send_error(q, 422, outcome, "quarantined",
                      "upstreams died while they ran this request", 0);
}

static int
send_refusal(Req *q, const Ticket *t)
{
    static const char *const codes[] = {
        "queue_full", "deadline",    "no_room",    "limit",
        "stopping",   "no_upstream", "quarantined"};
    if (t->reason == RT_REFUSED_QUARANTINE) {
        return send_quarantined(q, "refused-not-run");
    }
    int status = t->reason == RT_REFUSED_LIMIT ? 429 : 503;
    g_autofree char *message =
        g_strdup_printf("not run: %s", rt_reason_name(t->reason));
    return send_error(q, status, "refused-not-run", codes[t->reason], message,
                      t->retry_after_ms);
}

static int
send_replay(Req *q, const OnceReply *r)
{
    g_autofree char *text = NULL;
    size_t len;
    const char *body = g_bytes_get_data(r->body, &len);
    const char *type = r->content_type;
    if (r->answer_dropped) {
        text = g_strdup_printf(
            "{\"replayed\":true,\"answer_kept\":false,\"status\":%u,"
            "\"message\":\"the call ran; its answer was not kept\"}",
            r->status);
        body = text;
        len = strlen(text);
        type = "application/json";
    }
    mg_printf(q->conn,
              "HTTP/1.1 %u %s\r\nContent-Type: %s\r\n"
              "X-Bglade-Outcome: answered\r\nX-Bglade-Replayed: true\r\n"
              "X-Bglade-Answer-Kept: %s\r\n"
              "X-Request-Id: %s\r\nContent-Length: %zu\r\n\r\n",
              r->status, mg_get_response_code_text(q->conn, (int)r->status),
              type, r->answer_dropped ? "false" : "true", q->caller_id, len);
    mg_write(q->conn, body, len);
    return (int)r->status;
}

/* Answers by the recorded state of the key. */
static int
send_once(Req *q, const OnceReply *r)
{
    switch (r->verdict) {
    case ONCE_REPLAY:
        return send_replay(q, r);
    case ONCE_IN_PROGRESS:
        return send_error(q, 409, "refused-not-run", "in_progress",
                          "an earlier call with this key is in progress",
                          r->retry_after_ms);
    case ONCE_MISMATCH:
        return refuse_call(q, 422, "key_reused",
                           "this key was used for another request");
    case ONCE_REFUSED: {
        g_autofree char *message = g_strdup_printf("not run: %s", r->reason);
        return send_error(q, 503, "refused-not-run", "refused", message,
                          r->retry_after_ms);
    }
    default:
        return send_error(q, 502, "failed-may-have-run", "may_have_run",
                          "an earlier call with this key may have run", 0);
    }
}

static int
send_failure(Req *q, const Ticket *t)
{
    if (q->head_sent) {
        abort_stream(q);
        return 200;
    }
    if (t->quarantined) {
        return send_quarantined(q, "failed-may-have-run");
    }
    return send_error(q, get_remaining_ms(q) > 1 ? 502 : 504,
                      "failed-may-have-run", "failed",
                      "the upstream did not answer; the call may have run", 0);
}

/* There was no room for its answer. */
static int
fail_crowded(Req *q)
{
    q->close = true;
    return send_error(q, 502, "failed-may-have-run", "crowded",
                      "the answer didn't fit beside those of others", 0);
}

/* Makes the attempt that T describes.  True: the request is answered. */
static bool
serve_attempt(Req *q, const Ticket *t, int *status)
{
    Attempt a = {0};
    run_attempt(q, t, &a);
    /* The core thread, which records the result in the log, gets it before the
       caller does. */
    post_done(q, &a);
    bool over = true;
    if (a.result.outcome == RT_OUTCOME_OK) {
        *status = send_answer(q, &a.res);
    }
    else if (a.result.outcome == RT_OUTCOME_CANCELLED) {
        bg_count("router_cancelled_total", 1);
        *status = q->out_of_room ? fail_crowded(q) : STATUS_CALLER_GONE;
    }
    else {
        over = false;
    }
    hc_free_result(&a.res);
    return over;
}

/* Carries out the core's decisions until one is final. */
static int
run_request(Req *q)
{
    if (!may_hold(q, 0)) {
        return refuse_crowded(q);
    }
    compute_digest(q);
    if (!post_arrival(q)) {
        return refuse_busy(q);
    }
    for (;;) {
        Ticket t;
        int status;
        await_decision(q, &t);
        switch (t.decision) {
        case DECIDED_NONE:
        case DECIDED_DROP:
            bg_count("router_cancelled_total", 1);
            return STATUS_CALLER_GONE;
        case DECIDED_REFUSE:
            return send_refusal(q, &t);
        case DECIDED_FINISH:
            return send_failure(q, &t);
        case DECIDED_ONCE:
            status = send_once(q, t.reply);
            desk_free_reply(t.reply);
            return status;
        case DECIDED_SEND:
            if (serve_attempt(q, &t, &status)) {
                return status;
            }
            break;
        }
    }
}

/* Sets the deadline: by the template's wait_ms, or earlier if the caller asks
   for it.  False: refused, and STATUS is set. */
static bool
set_deadline(Req *q, uint32_t wait_ms, int *status)
{
    const char *given = get_header(q, "X-Deadline-Ms");
    q->deadline_ms = q->start_ms + wait_ms;
    if (!given) {
        return true;
    }
    char *end;
    unsigned long long given_ms = strtoull(given, &end, 10);
    if (*given < '0' || *given > '9' || *end || given_ms == 0) {
        *status = refuse_call(q, 400, "bad_deadline",
                              "X-Deadline-Ms is not a number of ms");
        return false;
    }
    q->deadline_ms = q->start_ms + MIN(given_ms, wait_ms);
    return true;
}

/* ---- paths -------------------------------------------------------------- */

static int
send_models(Req *q)
{
    json_t *list = json_array();
    GPtrArray *models = cfg_list_models(q->cfg);
    for (guint i = 0; i < models->len; i++) {
        const CfgModel *m = models->pdata[i];
        if (cfg_may_call_model(q->workspace, m->name)) {
            json_array_append_new(
                list, json_pack("{s:s, s:s, s:s}", "id", m->name, "object",
                                "model", "owned_by", m->template_name));
        }
    }
    json_t *doc = json_pack("{s:s, s:o}", "object", "list", "data", list);
    char *text = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    int status = send_json(q, 200, "answered", 0, text);
    free(text);
    return status;
}

static bool
is_post(const Req *q)
{
    return strcmp(q->info->request_method, "POST") == 0;
}

static int
serve_model(Req *q, bool chat)
{
    q->chat = chat;
    if (!is_post(q)) {
        return refuse_call(q, 405, "method", "POST is expected");
    }
    int status = read_body(q);
    if (!status) {
        status = read_model_call(q);
    }
    if (status) {
        return status;
    }
    if (!set_deadline(q, q->model->wait_ms, &status)) {
        return status;
    }
    status = desk_enter_class(q->desk, q->model->class_) ? run_request(q)
                                                         : refuse_busy(q);
    desk_leave_class(q->desk, q->model->class_);
    return status;
}

static int
serve_service(Req *q)
{
    int status = read_body(q);
    if (!status) {
        status = read_service_call(q);
    }
    if (status) {
        return status;
    }
    if (!set_deadline(q, q->service->wait_ms, &status)) {
        return status;
    }
    return run_request(q);
}

static int
serve_path(Req *q)
{
    const char *path = q->info->local_uri;
    if (desk_is_full(q->desk)) {
        q->close = true;
        return refuse_busy(q);
    }
    q->workspace = authenticate(q);
    if (!q->workspace) {
        return refuse_call(q, 401, "bad_key", "no workspace has this key");
    }
    if (strcmp(path, "/v1/models") == 0) {
        return send_models(q);
    }
    if (strcmp(path, "/v1/chat/completions") == 0) {
        return serve_model(q, true);
    }
    if (strcmp(path, "/v1/completions") == 0) {
        return serve_model(q, false);
    }
    if (strncmp(path, "/v1/services/", 13) == 0) {
        return serve_service(q);
    }
    return refuse_call(q, 404, "not_found", "no such path");
}

/* The caller's id if it is short and has only plain characters, else a new
   one. */
static char *
make_caller_id(const Req *q)
{
    const char *given = get_header(q, "X-Request-Id");
    static const char plain[] = "abcdefghijklmnopqrstuvwxyz"
                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    if (given && *given && strlen(given) <= 64 &&
        strspn(given, plain) == strlen(given)) {
        return g_strdup(given);
    }
    char id[BG_ID_LEN + 1];
    bg_make_id(id);
    return g_strdup(id);
}

int
req_handle(Desk *d, struct mg_connection *conn)
{
    Req q = {.desk = d,
             .conn = conn,
             .info = mg_get_request_info(conn),
             .start_ms = bg_now_ms()};
    q.holder.arrival_ms = q.start_ms;
    q.holder.interrupt = interrupt_read;
    q.holder.ctx = &q;
    if (strncmp(q.info->local_uri, "/v1/", 4) != 0) {
        return 0;
    }
    pthread_mutex_init(&q.ticket.lock, NULL);
    pthread_cond_init(&q.ticket.decided, NULL);
    q.id = desk_enter(d);
    q.cfg = node_get_config(desk_get_node(d));
    q.caller_id = make_caller_id(&q);
    q.line = g_string_new(NULL);
    watch_start(&q.watch, q.start_ms);
    int status = serve_path(&q);
    bg_count("router_requests_total", 1);
    g_string_free(q.line, TRUE);
    g_free(q.caller_id);
    if (q.body) {
        g_byte_array_free(q.body, TRUE);
    }
    cg_leave(desk_get_gate(d), &q.holder);
    cfg_unref(q.cfg);
    pthread_cond_destroy(&q.ticket.decided);
    pthread_mutex_destroy(&q.ticket.lock);
    desk_leave(d);
    return status;
}
