#include "http_pool_internal.h"

#include "json_log.h"
#include "sockets.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

/* Engines state their idle timeout in whole seconds, rounded.  A request that
   crosses their close is lost, so idle connections are closed a second
   earlier. */
#define KEEP_MARGIN_MS 1100
/* Of the timeouts that upstreams state. */
#define MAX_KEEP_S 3600
/* A connection that no call waits for, to see whether a path is back. */
#define PROBE_CONNECT_MS 250
/* A helper that has not answered by then is cut off too, or gone. */
#define HELPER_ANSWER_MS 150
/* After so long without a byte from an upstream a new connection shows whether
   it is slow or out of reach. */
#define SILENT_CALL_MS 500
/* Interim answers, blank lines and an unfinished head in all; more than the
   parser takes as one head. */
#define MAX_BEFORE_HEAD_BYTES (128 * 1024)
/* Of answers to other calls, which may come late. */
#define MAX_SKIPPED_BYTES (16 * 1024 * 1024)
/* After an answer that doesn't say whose it is the call's own may follow at
   once; else that was it. */
#define UNNAMED_MS 250
/* On one connection, whose ids are kept. */
#define MAX_KEPT_IDS 512
#define LINE_END "\r\n"

void
ht_free_call(HtCall *call)
{
    g_byte_array_free(call->request, TRUE);
    ae_destroy(call->answer);
    g_ptr_array_free(call->helpers, TRUE);
    g_free(call->address);
    g_free(call->match_name);
    g_free(call->match_value);
    g_free(call);
}

void
ht_free_conn(HtConn *w)
{
    ht_free_message(&w->msg);
    g_byte_array_free(w->framed, TRUE);
    g_array_free(w->ids, TRUE);
    g_free(w->address);
    g_free(w->helper);
    g_free(w);
}

void
ht_forget_opening(HtConn *w)
{
    HtCall *call = w->opener;
    w->opener = NULL;
    if (call && call->direct == w) {
        call->direct = NULL;
    }
    for (size_t i = 0; call && i < HT_MAX_HELPERS; i++) {
        if (call->detours[i] == w) {
            call->detours[i] = NULL;
        }
    }
}

void
ht_close_conn(HtConn *w)
{
    ev_io_stop(w->pool->loop, &w->read_watch);
    ev_io_stop(w->pool->loop, &w->write_watch);
    close(w->fd);
    g_queue_delete_link(&w->pool->conns, w->link);
    ht_forget_opening(w);
    w->closed = true;
    if (!w->unframing) {
        ht_free_conn(w);
    }
}

/* The call is on no connection any more. */
static void
end_call(HtCall *call, AeEnd end)
{
    call->conn = NULL;
    call->handler.on_end(call->handler.ctx, call, end, call->answer);
    ht_free_call(call);
}

void
ht_note_lost(HtConn *w)
{
    uint64_t *at_ms = g_new(uint64_t, 1);
    *at_ms = bg_boot_ms();
    g_hash_table_replace(w->pool->lost, g_strdup(w->address), at_ms);
}

uint64_t
ht_get_lost_ms(const HtPool *p, const char *address)
{
    const uint64_t *at_ms = g_hash_table_lookup(p->lost, address);
    return at_ms ? *at_ms : 0;
}

static void
close_call(HtConn *w, AeEnd end)
{
    HtCall *call = w->call;
    w->call = NULL;
    ht_close_conn(w);
    if (call) {
        end_call(call, call->sent == 0 ? AE_NOT_SENT : end);
    }
}

bool
ht_may_move_call(const HtConn *w)
{
    return w->call && w->call->sent == 0 && w->carried;
}

void
ht_fail_conn(HtConn *w, AeSignal signal)
{
    if (ht_may_move_call(w)) {
        ht_move_call(w);
        return;
    }
    AeEnd end = w->call ? ae_end(w->call->answer, signal) : AE_RESET;
    if (!ae_is_whole(end)) {
        ht_note_lost(w);
    }
    close_call(w, end);
}

/* ---- parsing of answers ---- */

static int
on_answer_begin(http_parser *p)
{
    HtConn *w = p->data;
    ht_free_message(&w->msg);
    ht_start_message(&w->msg, true);
    return 0;
}

static int
on_answer_reason(http_parser *p, const char *at, size_t len)
{
    HtConn *w = p->data;
    ht_add_reason(&w->msg, at, len);
    return 0;
}

static int
on_answer_name(http_parser *p, const char *at, size_t len)
{
    HtConn *w = p->data;
    ht_add_header_name(&w->msg, at, len);
    return 0;
}

static int
on_answer_value(http_parser *p, const char *at, size_t len)
{
    HtConn *w = p->data;
    ht_add_header_value(&w->msg, at, len);
    return 0;
}

typedef enum {
    MATCH_PROVED,
    MATCH_MISSING, /* the answer doesn't say whose it is */
    MATCH_OTHER
} Match;

/* OTHER: the id of another call, or NULL. */
static Match
match_answer(const HtConn *w, const char **other)
{
    const HtCall *call = w->call;
    Match match = MATCH_MISSING;
    for (guint i = 0; i < w->msg.head.headers->len; i++) {
        const HtHeader *h = &g_array_index(w->msg.head.headers, HtHeader, i);
        if (g_ascii_strcasecmp(h->name, call->match_name) != 0) {
            continue;
        }
        if (strcmp(h->value, call->match_value) != 0) {
            *other = h->value;
            return MATCH_OTHER;
        }
        match = MATCH_PROVED;
    }
    return match;
}

/* OTHER: whose it is; NULL: it doesn't say. */
static void
note_skipped(HtConn *w, const char *other)
{
    w->call->skipped++;
    JlLine *l = jl_begin("answer-skipped");
    jl_text(l, "id", w->call->match_value);
    jl_text(l, "of", other);
    jl_number(l, "status", w->msg.head.status);
    jl_text(l, "to", w->address);
    jl_number(l, "connection", (int64_t)w->number);
    jl_number(l, "nth", w->calls);
    jl_number(l, "sent", (int64_t)w->call->sent);
    jl_end(l);
    bg_count(other ? "gateway_answers_of_others_total"
                   : "gateway_answers_of_nobody_total",
             1);
}

/* A late copy of another call's answer may come where ours is due. */
static bool
is_for_other_call(HtConn *w)
{
    const char *other = NULL;
    if (!w->call->match_name) {
        return false;
    }
    Match match = match_answer(w, &other);
    w->reusable = w->reusable && match == MATCH_PROVED;
    if (match == MATCH_PROVED || (match == MATCH_MISSING && !w->carried)) {
        w->call->match = match == MATCH_PROVED ? HT_MATCH_ID : HT_MATCH_FIRST;
        return false;
    }
    note_skipped(w, other);
    if (!other && !w->call->unnamed_ms) {
        w->call->unnamed_ms = bg_boot_ms();
    }
    return true;
}

static void
read_keep_alive(HtConn *w)
{
    const char *keep = ht_find_header(&w->msg.head, "Keep-Alive");
    const char *timeout = keep ? strstr(keep, "timeout=") : NULL;
    if (!timeout) {
        return;
    }
    long s = strtol(timeout + strlen("timeout="), NULL, 10);
    int64_t ms = CLAMP(s, 0, MAX_KEEP_S) * INT64_C(1000) - KEEP_MARGIN_MS;
    w->keep_ms = ms > 0 ? (uint32_t)ms : 0;
}

/* Values that the parser expects of on_headers_complete. */
#define PARSER_GO_ON 0
#define PARSER_NO_BODY 1
#define PARSER_STOP (-1)

/* Its answer has no body, whatever its head says. */
static bool
is_head_request(const HtCall *call)
{
    static const char method[] = "HEAD ";
    size_t len = strlen(method);
    return call->request->len > len &&
           memcmp(call->request->data, method, len) == 0;
}

/* The parser would wait for a body as long as Content-Length says. */
static bool
has_no_body(const HtConn *w)
{
    uint16_t status = w->msg.head.status;
    bool for_head = !w->skipped && is_head_request(w->call);
    return for_head || status == 204 || status == 304;
}

static int
on_answer_head(http_parser *p)
{
    HtConn *w = p->data;
    w->in_body = true;
    w->line_ended = true;
    ht_finish_head(&w->msg, p);
    if (w->msg.torn) {
        bg_count("gateway_torn_heads_total", 1);
    }
    if (w->msg.malformed || !ht_has_known_coding(&w->msg.head)) {
        return PARSER_STOP;
    }
    bool interim = p->status_code / 100 == 1;
    w->before_head_bytes = interim ? w->before_head_bytes : 0;
    w->skipped = interim || is_for_other_call(w);
    bool no_body = !interim && has_no_body(w);
    if (w->skipped) {
        return no_body ? PARSER_NO_BODY : PARSER_GO_ON;
    }
    if (w->call->sent < MIN(1, w->call->request->len)) {
        return PARSER_STOP; /* it came before the request */
    }
    read_keep_alive(w);
    AeHead head = {.status = w->msg.head.status,
                   .framing = no_body ? AE_NO_BODY : w->msg.head.framing,
                   .type = ht_find_header(&w->msg.head, "Content-Type"),
                   .encoding =
                       ht_find_header(&w->msg.head, "Content-Encoding")};
    ae_on_head(w->call->answer, &head);
    w->call->handler.on_head(w->call->handler.ctx, w->call, &w->msg.head);
    return w->cancelled ? PARSER_STOP
           : no_body    ? PARSER_NO_BODY
                        : PARSER_GO_ON;
}

static uint32_t
digest_id(const char *id)
{
    return XXH32(id, strlen(id), 0);
}

/* An id may name several requests, and proves no answer on a connection that
   carried it before.  Equal digests of others only cost a connection. */
static bool
has_carried(const HtConn *w, const char *id)
{
    uint32_t digest = id ? digest_id(id) : 0;
    for (guint i = 0; id && i < w->ids->len; i++) {
        if (g_array_index(w->ids, uint32_t, i) == digest) {
            return true;
        }
    }
    return false;
}

/* The head of an answer that was sent on W: the one being read broke off
   before it.  The ids tell it from a text about HTTP. */
static bool
holds_answer(const HtConn *w, const char *text, size_t len)
{
    const char *name = w->call->match_name;
    const char *end = text + len;
    const char *at = name && len > 0 ? ht_find_status_line(text, len) : NULL;
    while (at && (at = memchr(at, '\n', (size_t)(end - at)))) {
        at++;
        g_autofree char *id = ht_read_field(at, (size_t)(end - at), name);
        if (id && has_carried(w, id)) {
            return true;
        }
    }
    return false;
}

static void
take_body(HtConn *w, const char *data, size_t len)
{
    HtCall *call = w->call;
    call->handler.on_bytes(call->handler.ctx, call, len);
    AeResult r = AE_READ_EVENT;
    while (!w->cancelled && !w->garbled && r == AE_READ_EVENT) {
        EsEvent event;
        size_t used;
        r = ae_read(call->answer, data, len, &used, &event);
        data += used;
        len -= used;
        w->garbled =
            r == AE_READ_EVENT && holds_answer(w, event.text, event.len);
        if (r == AE_READ_EVENT && !w->garbled) {
            call->handler.on_event(call->handler.ctx, call, &event);
        }
    }
    w->too_large = !w->cancelled && r == AE_READ_TOO_LARGE;
}

/* The last DUE bytes of the line end behind a chunk are at AT.  The parser
   skips any two bytes there. */
static void
check_chunk_end(HtConn *w, const char *at, size_t due)
{
    size_t here = MIN(due, (size_t)(w->input_end - at));
    w->garbled =
        w->garbled || memcmp(at, LINE_END + strlen(LINE_END) - due, here) != 0;
    w->chunk_end_due = due - here;
}

/* The parser takes any byte for the last one of a head, or of a chunk's size.
   AT: behind it. */
static bool
follows_line_end(const HtConn *w, const char *at)
{
    char before = at > w->input ? at[-1] : w->last_byte;
    return before == '\n';
}

static int
on_answer_chunk(http_parser *p)
{
    HtConn *w = p->data;
    w->line_ended = true;
    return 0;
}

static int
on_answer_body(http_parser *p, const char *at, size_t len)
{
    HtConn *w = p->data;
    w->garbled = w->garbled || (w->line_ended && !follows_line_end(w, at));
    w->line_ended = false;
    if (p->flags & F_CHUNKED && p->content_length == 0) {
        check_chunk_end(w, at + len, strlen(LINE_END));
    }
    if (w->skipped) {
        w->skipped_bytes += len;
    }
    else if (!w->garbled) {
        take_body(w, at, len);
    }
    return w->cancelled || w->too_large || w->garbled ? -1 : 0;
}

static int
on_answer_end(http_parser *p)
{
    HtConn *w = p->data;
    w->in_body = false;
    if (!w->skipped) {
        w->got_message = true;
        w->reusable = w->reusable && http_should_keep_alive(p);
        http_parser_pause(p, 1);
    }
    return 0;
}

static const http_parser_settings answer_settings = {
    .on_message_begin = on_answer_begin,
    .on_status = on_answer_reason,
    .on_header_field = on_answer_name,
    .on_header_value = on_answer_value,
    .on_headers_complete = on_answer_head,
    .on_chunk_header = on_answer_chunk,
    .on_body = on_answer_body,
    .on_message_complete = on_answer_end,
};

void
ht_make_idle(HtConn *w)
{
    w->got_message = false;
    w->too_large = false;
    w->garbled = false;
    w->chunk_end_due = 0;
    w->in_body = false;
    w->before_head_bytes = 0;
    w->skipped_bytes = 0;
    w->since_ms = bg_boot_ms();
    http_parser_init(&w->parser, HTTP_RESPONSE);
    w->parser.data = w;
    ht_free_message(&w->msg);
}

static void
keep_id(HtConn *w)
{
    if (w->call->match_value) {
        uint32_t digest = digest_id(w->call->match_value);
        g_array_append_val(w->ids, digest);
    }
}

/* Behind a whole answer a copy of one may follow; anything else shows that its
   length is wrong.  REST: bytes behind the answer. */
static bool
is_garbled(const HtConn *w, const uint8_t *rest, size_t left)
{
    Ae *answer = w->call->answer;
    const GByteArray *body = ae_get_body(answer);
    bool has_body = ae_get_framing(answer) != AE_NO_BODY;
    return w->garbled || (has_body && !ht_may_begin_answer(rest, left)) ||
           holds_answer(w, (const char *)body->data, body->len);
}

static void
fail_garbled(HtConn *w)
{
    bg_count("gateway_garbled_bodies_total", 1);
    ht_fail_conn(w, AE_INVALID);
}

/* The message is over; LEFT unexpected bytes followed it, REST. */
static void
finish_answer(HtConn *w, const uint8_t *rest, size_t left)
{
    HtCall *call = w->call;
    if (is_garbled(w, rest, left)) {
        fail_garbled(w);
        return;
    }
    /* A late copy of an answer to HEAD can't be skipped: it has no body, and
       doesn't show that. */
    bool keep = w->reusable && left == 0 && !call->fresh && w->keep_ms > 0 &&
                call->sent == call->request->len && !is_head_request(call) &&
                w->ids->len < MAX_KEPT_IDS;
    AeEnd end = ae_end(call->answer, AE_MESSAGE_OVER);
    if (!keep) {
        close_call(w, end);
        return;
    }
    w->call = NULL;
    w->carried = true;
    ht_resume_call(call); /* an idle connection is read */
    ht_make_idle(w);
    end_call(call, end);
}

Pt *
ht_get_paths(const HtConn *w)
{
    return w->way == HT_WAY_ANY ? w->pool->detours.paths : NULL;
}

static void
note_heard(HtConn *w)
{
    Pt *paths = ht_get_paths(w);
    w->call->heard = true;
    if (paths && w->helper) {
        pt_on_alive_by_detour(paths, bg_boot_ms());
    }
    else if (paths) {
        pt_on_alive(paths, bg_boot_ms(), w->address);
    }
}

/* The upstream sends bytes that are no answer, without end. */
static bool
sends_no_answer(HtConn *w, size_t len)
{
    if (!w->in_body) {
        w->before_head_bytes += len;
    }
    return w->before_head_bytes > MAX_BEFORE_HEAD_BYTES ||
           w->skipped_bytes > MAX_SKIPPED_BYTES;
}

void
ht_parse_input(HtConn *w, const uint8_t *data, size_t len)
{
    if (len > 0) {
        note_heard(w);
    }
    w->input = (const char *)data;
    w->input_end = len > 0 ? w->input + len : NULL;
    if (len > 0 && w->chunk_end_due > 0) {
        check_chunk_end(w, (const char *)data, w->chunk_end_due);
    }
    if (w->garbled) {
        fail_garbled(w);
        return;
    }
    w->parsing = true;
    size_t used = http_parser_execute(&w->parser, &answer_settings,
                                      (const char *)data, len);
    w->parsing = false;
    w->last_byte = len > 0 ? (char)data[len - 1] : w->last_byte;
    if (w->cancelled) {
        ht_close_conn(w);
        return;
    }
    enum http_errno e = HTTP_PARSER_ERRNO(&w->parser);
    if (w->got_message) {
        size_t left = len - used;
        /* Nothing came behind that line. */
        w->garbled = w->garbled ||
                     (w->line_ended && used > 0 && data[used - 1] != '\n');
        finish_answer(w, left > 0 ? data + used : NULL, left);
    }
    else if (w->too_large) {
        close_call(w, AE_TOO_LARGE);
    }
    else if (w->garbled) {
        fail_garbled(w);
    }
    else if (len == 0) {
        ht_fail_conn(w, AE_CLOSED);
    }
    else if (e != HPE_OK || w->parser.upgrade || sends_no_answer(w, len)) {
        ht_fail_conn(w, AE_INVALID);
    }
}

static bool
may_write(HtCall *call)
{
    const HtCallHandler *h = &call->handler;
    return call->sent > 0 || !h->may_write || h->may_write(h->ctx, call);
}

/* The connection is idle again. */
static void
hold_back(HtConn *w)
{
    HtCall *call = w->call;
    if (call->fresh) {
        close_call(w, AE_NOT_SENT);
        return;
    }
    w->call = NULL;
    ht_resume_call(call);
    ht_make_idle(w);
    ev_io_stop(w->pool->loop, &w->write_watch);
    end_call(call, AE_NOT_SENT);
}

void
ht_send_request(HtConn *w)
{
    HtCall *call = w->call;
    if (!may_write(call)) {
        hold_back(w);
        return;
    }
    while (call->sent < call->request->len) {
        ssize_t n = send(w->fd, call->request->data + call->sent,
                         call->request->len - call->sent, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return;
        }
        if (n < 0 && errno != EINTR) {
            ht_fail_conn(w, AE_FAILED);
            return;
        }
        if (call->sent == 0 && n > 0) {
            call->sent_ms = bg_boot_ms();
            keep_id(w);
        }
        call->sent += n > 0 ? (size_t)n : 0;
    }
    ev_io_stop(w->pool->loop, &w->write_watch);
}

static bool
is_unused(const HtConn *w)
{
    return !w->call && !w->connecting && !w->asking;
}

/* Connections by way of a helper are left alone while the own path works. */
static bool
may_reuse(const HtConn *w, const HtRequest *req, bool use_helpers)
{
    return is_unused(w) && strcmp(w->address, req->address) == 0 &&
           (!w->helper || use_helpers) && !has_carried(w, req->match_value);
}

/* The idle connection that was used last, as it is the least likely to have
   been closed. */
static HtConn *
take_idle(HtPool *p, const HtRequest *req)
{
    uint64_t now_ms = bg_boot_ms();
    Pt *paths = req->way == HT_WAY_ANY ? p->detours.paths : NULL;
    bool use_helpers =
        paths && (pt_is_failed(paths, req->address) || pt_is_cut_off(paths));
    HtConn *best = NULL;
    for (GList *l = p->conns.head; l; l = l->next) {
        HtConn *w = l->data;
        uint64_t idle_ms = now_ms - w->since_ms;
        if (may_reuse(w, req, use_helpers) && idle_ms < w->keep_ms &&
            (!req->max_idle_ms || idle_ms < req->max_idle_ms) &&
            (!best || w->since_ms > best->since_ms)) {
            best = w;
        }
    }
    return best && so_is_quiet(best->fd) ? best : NULL;
}

static void
on_fail_timer(struct ev_loop *loop, ev_timer *t, int events)
{
    (void)loop;
    (void)events;
    HtPool *p = t->data;
    HtCall *call;
    while ((call = g_queue_pop_head(&p->failed))) {
        end_call(call, AE_NOT_SENT);
    }
}

HtPool *
ht_create_pool(struct ev_loop *loop)
{
    HtPool *p = g_new0(HtPool, 1);
    p->loop = loop;
    g_queue_init(&p->conns);
    g_queue_init(&p->failed);
    p->lost = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    ev_timer_init(&p->fail_timer, on_fail_timer, 0., 0.);
    p->fail_timer.data = p;
    return p;
}

void
ht_set_detours(HtPool *p, const HtDetours *detours)
{
    p->detours = *detours;
}

void
ht_destroy_pool(HtPool *p)
{
    HtConn *w;
    while ((w = g_queue_peek_head(&p->conns))) {
        HtCall *call = w->opener;
        if (!call) {
            close_call(w, AE_RESET);
            continue;
        }
        ht_close_conn(w);
        if (!ht_is_opening(call)) {
            end_call(call, AE_NOT_SENT);
        }
    }
    on_fail_timer(p->loop, &p->fail_timer, 0);
    ev_timer_stop(p->loop, &p->fail_timer);
    g_hash_table_destroy(p->lost);
    g_free(p);
}

static HtCall *
create_call(HtPool *p, const HtRequest *req, const HtCallHandler *handler)
{
    HtCall *call = g_new0(HtCall, 1);
    call->pool = p;
    call->handler = *handler;
    call->request = req->request;
    call->answer = ae_create(&req->expect);
    call->connect_ms = req->connect_ms;
    call->begun_ms = bg_boot_ms();
    call->detour_at_ms = UINT64_MAX;
    call->helpers = g_ptr_array_new_with_free_func(g_free);
    call->address = g_strdup(req->address);
    call->match_name = g_strdup(req->match_name);
    call->match_value = g_strdup(req->match_value);
    call->way = p->detours.paths ? req->way : HT_WAY_DIRECT;
    call->fresh = req->fresh;
    return call;
}

/* Opens what PLAN says; false: nothing could be opened. */
static bool
open_planned(HtCall *call, const PtPlan *plan)
{
    call->may_detour = plan->detour_after_ms != PT_NEVER;
    if (plan->direct) {
        ht_open_direct(call);
    }
    if (call->may_detour && call->direct) {
        call->detour_at_ms = call->begun_ms + plan->detour_after_ms;
    }
    if (call->may_detour && (plan->detour_after_ms == 0 || !call->direct)) {
        ht_open_detour(call);
    }
    return ht_is_opening(call) || ht_open_direct(call);
}

static void
start_failed(HtPool *p, HtCall *call)
{
    call->failed = true;
    g_queue_push_tail(&p->failed, call);
    call->link = p->failed.tail;
    ev_timer_set(&p->fail_timer, 0., 0.);
    ev_timer_start(p->loop, &p->fail_timer);
}

static PtPlan
plan_opening(const HtCall *call)
{
    static const PtPlan direct = {true, PT_NEVER};
    return call->way == HT_WAY_ANY ? pt_plan(call->pool->detours.paths,
                                             bg_boot_ms(), call->address)
                                   : direct;
}

static void
open_call(HtCall *call)
{
    PtPlan plan = plan_opening(call);
    if (!open_planned(call, &plan)) {
        start_failed(call->pool, call);
    }
}

void
ht_move_call(HtConn *w)
{
    HtCall *call = w->call;
    w->call = NULL;
    call->conn = NULL;
    ht_note_lost(w);
    ht_close_conn(w);
    bg_count("gateway_calls_moved_total", 1);
    open_call(call);
}

HtCall *
ht_start_call(HtPool *p, const HtRequest *req, const HtCallHandler *handler)
{
    HtCall *call = create_call(p, req, handler);
    HtConn *w = req->fresh ? NULL : take_idle(p, req);
    if (!w) {
        open_call(call);
        return call;
    }
    if (w->helper && plan_opening(call).direct) {
        ht_probe(p, req->address);
    }
    ht_attach_call(call, w);
    return call;
}

void
ht_probe(HtPool *p, const char *address)
{
    if (!ht_open_conn(p, address, NULL, HT_WAY_ANY, NULL)) {
        pt_on_direct(p->detours.paths, bg_boot_ms(), address, false);
    }
}

void
ht_cancel_call(HtCall *call)
{
    if (call->failed) {
        g_queue_delete_link(&call->pool->failed, call->link);
        ht_free_call(call);
        return;
    }
    HtConn *w = call->conn;
    if (!w) {
        ht_leave_openings(call);
        ht_free_call(call);
        return;
    }
    w->call = NULL;
    ht_free_call(call);
    so_reset_on_close(w->fd);
    w->cancelled = true;
    if (!w->parsing) {
        ht_close_conn(w);
    } /* else the parser's caller closes it */
}

bool
ht_read_events(HtCall *call, bool continues)
{
    return ae_read_events(call->answer, continues);
}

void
ht_pause_call(HtCall *call)
{
    if (call->conn) {
        ev_io_stop(call->pool->loop, &call->conn->read_watch);
    }
}

void
ht_resume_call(HtCall *call)
{
    if (call->conn) {
        ev_io_start(call->pool->loop, &call->conn->read_watch);
    }
}

bool
ht_was_sent(const HtCall *call)
{
    return call->sent > 0;
}

HtOrigin
ht_get_origin(const HtCall *call)
{
    const HtConn *w = call->conn;
    HtOrigin none = {0};
    HtOrigin origin = {w ? w->number : 0, w ? w->calls : 0, call->skipped,
                       call->match};
    return w ? origin : none;
}

const char *
ht_name_match(HtMatch match)
{
    static const char *const names[HT_MATCHES] = {"none", "id", "first"};
    return names[match];
}

bool
ht_is_cut_off(const HtCall *call)
{
    const HtConn *w = call->conn;
    return w && !w->helper && ht_get_paths(w) &&
           pt_is_failed(ht_get_paths(w), w->address);
}

uint64_t
ht_get_opened_ms(const HtCall *call)
{
    return call->conn ? call->conn->opened_ms : 0;
}

const char *
ht_get_helper(const HtCall *call)
{
    return call->conn ? call->conn->helper : NULL;
}

/* ---- time ---- */

static bool
is_overdue(const HtConn *w, uint64_t now_ms)
{
    const HtCall *opener = w->opener;
    if (w->call) {
        return false;
    }
    if (opener) {
        return now_ms > opener->begun_ms + opener->connect_ms ||
               (w->helper && now_ms > w->since_ms + HELPER_ANSWER_MS);
    }
    return now_ms >=
           w->since_ms + (w->connecting ? PROBE_CONNECT_MS : w->keep_ms);
}

/* 0 when W is overdue at NOW_MS. */
static gint
compare_overdue(gconstpointer w, gconstpointer now_ms)
{
    return is_overdue(w, *(const uint64_t *)now_ms) ? 0 : 1;
}

/* A handler may open and close connections, so each search starts over. */
static HtConn *
find_overdue(HtPool *p, uint64_t now_ms)
{
    GList *found = g_queue_find_custom(&p->conns, &now_ms, compare_overdue);
    return found ? found->data : NULL;
}

/* CALL has no time left: no other helper is asked. */
static void
end_late_opening(HtConn *w, uint64_t now_ms)
{
    HtCall *call = w->opener;
    if (call && now_ms > call->begun_ms + call->connect_ms) {
        call->may_detour = false;
    }
    if (call || w->connecting) {
        ht_fail_opening(w, PT_LOST, true);
    }
    else {
        ht_close_conn(w);
    }
}

static bool
is_silent(const HtConn *w, uint64_t now_ms)
{
    const HtCall *call = w->call;
    return call && !w->helper && ht_get_paths(w) && call->sent > 0 &&
           !call->heard && now_ms > call->sent_ms + SILENT_CALL_MS;
}

/* Its answer came, it seems, without its id. */
static bool
is_unnamed(const HtConn *w, uint64_t now_ms)
{
    const HtCall *call = w->call;
    return call && call->unnamed_ms && call->match == HT_MATCH_NONE &&
           now_ms > call->unnamed_ms + UNNAMED_MS;
}

/* 0 when W is so at NOW_MS. */
static gint
compare_unnamed(gconstpointer w, gconstpointer now_ms)
{
    return is_unnamed(w, *(const uint64_t *)now_ms) ? 0 : 1;
}

/* A handler may open and close connections, so each search starts over. */
static void
end_unnamed(HtPool *p, uint64_t now_ms)
{
    GList *found;
    while (
        (found = g_queue_find_custom(&p->conns, &now_ms, compare_unnamed))) {
        bg_count("gateway_unnamed_answers_total", 1);
        close_call(found->data, AE_NOT_HTTP);
    }
}

static bool
needs_detour(const HtConn *w, uint64_t now_ms)
{
    return w->opener && now_ms >= w->opener->detour_at_ms;
}

/* Opening only adds connections at the head of the list. */
static void
open_due(HtPool *p, uint64_t now_ms)
{
    for (GList *l = p->conns.head; l; l = l->next) {
        HtConn *w = l->data;
        if (needs_detour(w, now_ms)) {
            ht_open_detour(w->opener);
        }
        else if (is_silent(w, now_ms) &&
                 pt_wants_probe(ht_get_paths(w), now_ms, w->address,
                                w->call->sent_ms)) {
            ht_probe(p, w->address);
        }
    }
}

static gboolean
is_old(gpointer address, gpointer at_ms, gpointer now_ms)
{
    (void)address;
    return *(uint64_t *)now_ms > *(uint64_t *)at_ms + HT_LOST_MS;
}

void
ht_tick_pool(HtPool *p, uint64_t now_ms)
{
    g_hash_table_foreach_remove(p->lost, is_old, &now_ms);
    HtConn *w;
    while ((w = find_overdue(p, now_ms))) {
        end_late_opening(w, now_ms);
    }
    end_unnamed(p, now_ms);
    if (p->detours.paths) {
        open_due(p, now_ms);
    }
}

void
ht_drop_idle(HtPool *p, const char *address)
{
    GList *next;
    for (GList *l = p->conns.head; l; l = next) {
        next = l->next;
        HtConn *w = l->data;
        if (is_unused(w) && strcmp(w->address, address) == 0) {
            ht_close_conn(w);
        }
    }
}
