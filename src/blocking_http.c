#include "blocking_http.h"

#include "answer_end.h"

#include <curl/curl.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#define POLL_MS 20
#define DEFAULT_MAX_BODY (16u * 1024 * 1024)
/* Pooled connections idle for longer are not used again: a network device may
   have dropped their state. */
#define MAX_IDLE_MS 30000u
#define MAX_LIFE_S 300L
/* TCP_USER_TIMEOUT: the connection is dead if sent bytes are unacknowledged
   for so long. */
#define UNACKED_MS 5000
#define MAX_POOLED 16L

struct HcClient {
    CURLM *multi;
};

/* A call in progress. */
typedef struct {
    const HcRequest *req;
    HcResult *out;
    CURL *easy;
    uint64_t start_ms;
    uint64_t last_byte_ms;
    bool in_head; /* its first line came */
    bool head_over;
    bool named; /* the head has the call's id */
    bool head_reported;
    bool stopped;
    bool too_large;
} Call;

void
hc_init_process(void)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

void
hc_end_process(void)
{
    curl_global_cleanup();
}

HcClient *
hc_create(void)
{
    HcClient *c = g_new0(HcClient, 1);
    c->multi = curl_multi_init();
    g_assert(c->multi != NULL);
    curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS, MAX_POOLED);
    return c;
}

void
hc_destroy(HcClient *c)
{
    if (c) {
        curl_multi_cleanup(c->multi);
        g_free(c);
    }
}

const char *
hc_end_name(HcEnd end)
{
    static const char *const names[] = {"done",    "not sent",  "broken",
                                        "timeout", "cancelled", "too large"};
    return names[end];
}

/* ---- callbacks from curl ------------------------------------------------ */

static char *
copy_header_value(const char *line, size_t len, const char *name)
{
    size_t n = strlen(name);
    if (len <= n + 1 || strncasecmp(line, name, n) != 0 || line[n] != ':') {
        return NULL;
    }
    return g_strstrip(g_strndup(line + n + 1, len - n - 1));
}

static void
keep_header(char **slot, const char *line, size_t len, const char *name)
{
    char *value = copy_header_value(line, len, name);
    if (value) {
        g_free(*slot);
        *slot = value;
    }
}

static void
note_framing(HcResult *out, const char *line, size_t len)
{
    static const char *const names[] = {"Content-Length", "Transfer-Encoding"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        g_autofree char *value = copy_header_value(line, len, names[i]);
        out->framed = out->framed || value;
    }
}

/* Whether the answer belongs to another call, by its X-Attempt-Id.  A proxy
   or a faulty upstream may mix up answers, and the caller would get another
   caller's text. */
static bool
is_crossed(Call *call, const char *line, size_t len)
{
    g_autofree char *id = copy_header_value(line, len, "X-Attempt-Id");
    bool own = id && g_strcmp0(id, call->req->attempt_id) == 0;
    call->named = call->named || own;
    return id && call->req->attempt_id && !own;
}

/* A head that broke off, and then the next answer's. */
static bool
is_torn(Call *call, const char *line, size_t len)
{
    size_t own = call->in_head ? 0 : 1; /* the first line is one itself */
    g_autofree char *text = g_strndup(line + own, len - own);
    call->in_head = true;
    return ae_holds_status_line(text);
}

static bool
is_reused(const Call *call)
{
    long connects = 0;
    curl_easy_getinfo(call->easy, CURLINFO_NUM_CONNECTS, &connects);
    return connects == 0;
}

/* The head is over.  False: the answer names no call, and on this connection
   may be a late copy of an earlier one's. */
static bool
finish_head(Call *call)
{
    long status = 0;
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    bool proved = call->named || !call->req->attempt_id;
    call->in_head = false;
    call->named = false;
    if (status / 100 == 1) {
        return true;
    }
    call->head_over = true;
    if (!proved) {
        curl_easy_setopt(call->easy, CURLOPT_FORBID_REUSE, 1L);
    }
    return proved || !is_reused(call);
}

/* False: the answer isn't the call's, or can't be known to be. */
static bool
check_line(Call *call, const char *line, size_t len)
{
    bool last = len <= 2 && (line[0] == '\r' || line[0] == '\n');
    call->out->crossed = is_crossed(call, line, len);
    if (!call->head_over && last) {
        call->out->unproved = !finish_head(call);
    }
    else if (!call->head_over) {
        call->out->unproved = is_torn(call, line, len);
    }
    return !call->out->crossed && !call->out->unproved;
}

static size_t
take_header(char *line, size_t size, size_t count, void *ctx)
{
    Call *call = ctx;
    size_t len = size * count;
    call->last_byte_ms = bg_now_ms();
    note_framing(call->out, line, len);
    if (!check_line(call, line, len)) {
        return 0;
    }
    keep_header(&call->out->content_type, line, len, "Content-Type");
    keep_header(&call->out->retry_after, line, len, "Retry-After");
    keep_header(&call->out->upstream_state, line, len, "X-Upstream-State");
    keep_header(&call->out->outcome, line, len, "X-Bglade-Outcome");
    return len;
}

static bool
report_head(Call *call)
{
    if (call->head_reported) {
        return true;
    }
    call->head_reported = true;
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &call->out->status);
    return !call->req->on_head ||
           call->req->on_head(call->req->ctx, call->out->status,
                              call->out->content_type);
}

static size_t
take_data(char *data, size_t size, size_t count, void *ctx)
{
    Call *call = ctx;
    size_t len = size * count;
    size_t limit =
        call->req->max_body ? call->req->max_body : DEFAULT_MAX_BODY;
    call->last_byte_ms = bg_now_ms();
    call->out->got_bytes += len;
    if (!report_head(call)) {
        call->stopped = true;
        return 0;
    }
    if (call->req->on_data) {
        call->stopped = !call->req->on_data(call->req->ctx, data, len);
        return call->stopped ? 0 : len;
    }
    if (call->out->body->len + len > limit) {
        call->too_large = true;
        return 0;
    }
    if (call->req->may_collect &&
        !call->req->may_collect(call->req->ctx, call->out->body->len + len)) {
        call->stopped = true;
        return 0;
    }
    g_string_append_len(call->out->body, data, (gssize)len);
    return len;
}

/* ---- one call ----------------------------------------------------------- */

static curl_socket_t
refuse_socket(void *ctx, curlsocktype purpose, struct curl_sockaddr *addr)
{
    (void)ctx;
    (void)purpose;
    (void)addr;
    return CURL_SOCKET_BAD;
}

static void
set_connection(CURL *e, const HcRequest *req)
{
    if (req->fresh || req->renew || req->pair_first) {
        /* If a pooled connection turns out to be dead, curl sends the request
           again by itself; on a new connection it does not. */
        curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
    }
    if (req->fresh || req->pair_second) {
        curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
    }
    if (req->pair_second) {
        curl_easy_setopt(e, CURLOPT_OPENSOCKETFUNCTION, refuse_socket);
    }
}

static int
set_socket(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
    (void)ctx;
    (void)purpose;
    unsigned int unacked_ms = UNACKED_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacked_ms,
               sizeof(unacked_ms));
    return CURL_SOCKOPT_OK;
}

static struct curl_slist *
make_headers(const HcRequest *req)
{
    struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
    for (const char *const *h = req->headers; h && *h; h++) {
        headers = curl_slist_append(headers, *h);
    }
    if (req->attempt_id) {
        g_autofree char *line =
            g_strconcat("X-Attempt-Id: ", req->attempt_id, NULL);
        headers = curl_slist_append(headers, line);
    }
    return headers;
}

static struct curl_slist *
set_options(Call *call)
{
    const HcRequest *req = call->req;
    CURL *e = call->easy;
    struct curl_slist *headers = make_headers(req);
    uint32_t idle_ms = req->max_idle_ms ? req->max_idle_ms : MAX_IDLE_MS;
    curl_easy_setopt(e, CURLOPT_URL, req->url);
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    curl_easy_setopt(e, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(e, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(e, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, (long)req->connect_ms);
    curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, (long)(idle_ms + 999) / 1000);
    curl_easy_setopt(e, CURLOPT_MAXLIFETIME_CONN, MAX_LIFE_S);
    curl_easy_setopt(e, CURLOPT_SOCKOPTFUNCTION, set_socket);
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, req->method);
    if (req->body) {
        curl_easy_setopt(e, CURLOPT_POSTFIELDS, req->body);
        curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)req->body_len);
    }
    set_connection(e, req);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, take_header);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, call);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, take_data);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, call);
    return headers;
}

/* The result if the call is cancelled or a timeout passed, else HC_DONE. */
static HcEnd
check_limits(const Call *call)
{
    const HcRequest *req = call->req;
    uint64_t now_ms = bg_now_ms();
    if (req->is_cancelled && req->is_cancelled(req->ctx)) {
        return HC_CANCELLED;
    }
    if (req->total_ms && now_ms - call->start_ms > req->total_ms) {
        return HC_TIMEOUT;
    }
    if (!call->last_byte_ms) {
        return req->first_byte_ms &&
                       now_ms - call->start_ms > req->first_byte_ms
                   ? HC_TIMEOUT
                   : HC_DONE;
    }
    return req->idle_ms && now_ms - call->last_byte_ms > req->idle_ms
               ? HC_TIMEOUT
               : HC_DONE;
}

/* Whether bytes of the request may have reached the server. */
static bool
was_sent(const Call *call)
{
    long sent = 0;
    curl_easy_getinfo(call->easy, CURLINFO_REQUEST_SIZE, &sent);
    return sent > 0;
}

static HcEnd
classify_code(Call *call, CURLcode code)
{
    if (code == CURLE_OK) {
        return report_head(call) ? HC_DONE : HC_CANCELLED;
    }
    if (call->too_large) {
        return HC_TOO_LARGE;
    }
    if (call->stopped) {
        return HC_CANCELLED;
    }
    if (call->out->crossed || call->out->unproved) {
        return HC_BROKEN;
    }
    return was_sent(call) ? HC_BROKEN : HC_NOT_SENT;
}

static HcEnd
run_call(HcClient *c, Call *call)
{
    if (check_limits(call) == HC_CANCELLED) {
        return HC_CANCELLED;
    }
    for (;;) {
        int running = 0;
        curl_multi_perform(c->multi, &running);
        int left;
        CURLMsg *msg = curl_multi_info_read(c->multi, &left);
        if (msg && msg->msg == CURLMSG_DONE) {
            return classify_code(call, msg->data.result);
        }
        HcEnd end = check_limits(call);
        if (end != HC_DONE) {
            return was_sent(call)        ? end
                   : end == HC_CANCELLED ? HC_CANCELLED
                                         : HC_NOT_SENT;
        }
        curl_multi_poll(c->multi, NULL, 0, POLL_MS, NULL);
    }
}

static void
count_bytes(CURL *easy)
{
    long sent_head = 0;
    long got_head = 0;
    curl_off_t sent = 0;
    curl_off_t got = 0;
    curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent_head);
    curl_easy_getinfo(easy, CURLINFO_HEADER_SIZE, &got_head);
    curl_easy_getinfo(easy, CURLINFO_SIZE_UPLOAD_T, &sent);
    curl_easy_getinfo(easy, CURLINFO_SIZE_DOWNLOAD_T, &got);
    bg_count("http_calls_total", 1);
    bg_count("http_sent_bytes_total", (uint64_t)(sent_head + sent));
    bg_count("http_got_bytes_total", (uint64_t)(got_head + got));
}

void
hc_call(HcClient *c, const HcRequest *req, HcResult *out)
{
    memset(out, 0, sizeof(*out));
    out->body = g_string_new(NULL);
    Call call = {.req = req, .out = out, .start_ms = bg_now_ms()};
    call.easy = curl_easy_init();
    g_assert(call.easy != NULL);
    struct curl_slist *headers = set_options(&call);
    curl_multi_add_handle(c->multi, call.easy);
    out->end = run_call(c, &call);
    curl_easy_getinfo(call.easy, CURLINFO_RESPONSE_CODE, &out->status);
    count_bytes(call.easy);
    out->reused = is_reused(&call);
    out->framed = out->framed || out->status == 204 || out->status == 304;
    long os_error = 0;
    curl_easy_getinfo(call.easy, CURLINFO_OS_ERRNO, &os_error);
    out->refused = out->end == HC_NOT_SENT && os_error == ECONNREFUSED;
    /* Removing an unfinished transfer closes its connection, so the next call
       can't read a late answer. */
    curl_multi_remove_handle(c->multi, call.easy);
    curl_easy_cleanup(call.easy);
    curl_slist_free_all(headers);
}

void
hc_free_result(HcResult *r)
{
    g_free(r->content_type);
    g_free(r->retry_after);
    g_free(r->upstream_state);
    g_free(r->outcome);
    if (r->body) {
        g_string_free(r->body, TRUE);
    }
    memset(r, 0, sizeof(*r));
}
