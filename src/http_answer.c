/* Reads what upstreams answer: whose an answer is, and whether it is whole.

   An upstream may send some answers twice, the second time late, and break any
   of them off.  Its bytes have no mark of where an answer begins but that the
   one before is over. */
#include "http_pool_internal.h"

#include "json_log.h"
#include "sockets.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Engines state their idle timeout in whole seconds, rounded.  A request that
   crosses their close is lost, so idle connections are closed a second
   earlier. */
#define KEEP_MARGIN_MS 1100
/* Of the timeouts that upstreams state. */
#define MAX_KEEP_S 3600
/* Interim answers, blank lines and an unfinished head in all; more than the
   parser takes as one head. */
#define MAX_BEFORE_HEAD_BYTES (128 * 1024)
/* Of answers to other calls, which may come late. */
#define MAX_SKIPPED_BYTES (16 * 1024 * 1024)
/* On one connection, whose ids are kept. */
#define MAX_KEPT_IDS 512
#define LINE_END "\r\n"
/* So long the rest of a copy that fills up a broken body may take. */
#define HELD_MS 250
/* Before its caller's deadline a held answer is passed on. */
#define ANSWER_MARGIN_MS 50

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

/* Our own answer without an id, on a connection that carried no other call,
   unless the upstream mixes up its answers. */
static bool
is_first_answer(const HtConn *w)
{
    return !w->carried && w->call->skipped == 0;
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
    if (match == MATCH_PROVED ||
        (match == MATCH_MISSING && is_first_answer(w))) {
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

bool
ht_has_carried(const HtConn *w, const char *id)
{
    uint32_t digest = id ? digest_id(id) : 0;
    for (guint i = 0; id && i < w->ids->len; i++) {
        if (g_array_index(w->ids, uint32_t, i) == digest) {
            return true;
        }
    }
    return false;
}

/* An id that W carried stands in a line behind AT. */
static bool
holds_id(const HtConn *w, const char *at, const char *end)
{
    const char *name = w->call->match_name;
    while ((at = memchr(at, '\n', (size_t)(end - at)))) {
        at++;
        g_autofree char *id = ht_read_field(at, (size_t)(end - at), name);
        if (id && ht_has_carried(w, id)) {
            return true;
        }
    }
    return false;
}

static bool
holds_field(const HtHeader *h, const char *at, const char *end)
{
    bool found = false;
    while (!found && (at = memchr(at, '\n', (size_t)(end - at)))) {
        at++;
        g_autofree char *value =
            ht_read_field(at, (size_t)(end - at), h->name);
        found = g_strcmp0(value, h->value) == 0;
    }
    return found;
}

/* All fields of the answer being read stand in lines behind AT. */
static bool
holds_own_fields(const HtConn *w, const char *at, const char *end)
{
    const GArray *fields = w->msg.head.headers;
    bool found = fields->len > 0;
    for (guint i = 0; found && i < fields->len; i++) {
        found = holds_field(&g_array_index(fields, HtHeader, i), at, end);
    }
    return found;
}

/* The head of an answer that was sent on W: the one being read broke off
   before it.  The ids tell it from a text about HTTP; where there are none, it
   is a copy of the only answer, fields and all. */
static bool
holds_answer(const HtConn *w, const char *text, size_t len)
{
    const char *end = text + len;
    const char *at = ae_find_status_line(text, len);
    if (!at) {
        return false;
    }
    bool by_id = w->call->match_name && w->call->match != HT_MATCH_FIRST;
    return by_id ? holds_id(w, at, end) : holds_own_fields(w, at, end);
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
        w->garbled = w->garbled || holds_answer(w, at, len);
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
    w->input_over = false;
    g_byte_array_set_size(w->rest, 0);
    w->held_ms = 0;
    w->chunk_end_due = 0;
    w->in_body = false;
    w->before_head_bytes = 0;
    w->skipped_bytes = 0;
    w->since_ms = bg_boot_ms();
    http_parser_init(&w->parser, HTTP_RESPONSE);
    w->parser.data = w;
    ht_free_message(&w->msg);
}

void
ht_keep_id(HtConn *w)
{
    if (w->call->match_value) {
        uint32_t digest = digest_id(w->call->match_value);
        g_array_append_val(w->ids, digest);
    }
}

/* The body is over, and what follows is no answer's begin: the body is whole,
   and these bytes are nobody's, unless an answer begins inside it. */
static bool
runs_on(const HtConn *w)
{
    const GByteArray *body = ae_get_body(w->call->answer);
    return body->len > 0 && w->rest->len > 0 &&
           !ht_may_begin_answer(w->rest->data, w->rest->len) &&
           ae_find_status_line((const char *)body->data, body->len);
}

/* No id shows whose the whole head inside its body is. */
static bool
holds_unknown_head(const HtConn *w)
{
    const GByteArray *body = ae_get_body(w->call->answer);
    return ae_holds_head((const char *)body->data, body->len);
}

/* What came behind the body is another answer, or may become one. */
static bool
begins_answer(const GByteArray *rest)
{
    size_t len = MIN(rest->len, strlen(HT_FIRST_BYTES));
    return len > 0 && memcmp(rest->data, HT_FIRST_BYTES, len) == 0;
}

static AeInside
find_head_across(const HtConn *w)
{
    const GByteArray *body = ae_get_body(w->call->answer);
    size_t kept = MIN(body->len, MAX_BEFORE_HEAD_BYTES);
    const char *tail = (const char *)body->data + body->len - kept;
    if (w->rest->len == 0) {
        return ae_find_head_across(tail, kept, kept);
    }
    g_autoptr(GString) text = g_string_new_len(tail, (gssize)kept);
    g_string_append_len(text, (const char *)w->rest->data, w->rest->len);
    return ae_find_head_across(text->str, text->len, kept);
}

/* Whether the whole body holds a part of another answer. */
static AeInside
judge_body(const HtConn *w)
{
    const GByteArray *body = ae_get_body(w->call->answer);
    if (w->garbled || runs_on(w) ||
        holds_answer(w, (const char *)body->data, body->len)) {
        return AE_INSIDE_SURE;
    }
    AeInside found = find_head_across(w);
    if (begins_answer(w->rest) && found != AE_INSIDE_NOT) {
        bool known = w->rest->len >= strlen(HT_FIRST_BYTES);
        return known ? AE_INSIDE_NOT : AE_INSIDE_MAYBE;
    }
    return found == AE_INSIDE_NOT && holds_unknown_head(w) ? AE_INSIDE_MAYBE
                                                           : found;
}

static void
fail_garbled(HtConn *w)
{
    bg_count("gateway_garbled_bodies_total", 1);
    w->held_ms = 0;
    ht_fail_conn(w, AE_INVALID);
}

/* Only so long is it waited for what follows an answer. */
static bool
may_hold(const HtConn *w)
{
    return !w->input_over && w->rest->len < MAX_BEFORE_HEAD_BYTES;
}

bool
ht_has_unread(const HtConn *w)
{
    return ev_is_active(&w->read_watch) && !so_is_quiet(w->fd);
}

bool
ht_was_held(const HtConn *w, uint64_t now_ms)
{
    if (!w->held_ms) {
        return false;
    }
    uint64_t by_ms = w->call->answer_by_ms;
    return (by_ms && now_ms + ANSWER_MARGIN_MS >= by_ms) ||
           (now_ms > w->held_ms + HELD_MS && !ht_has_unread(w));
}

/* The message is over; LEFT unexpected bytes followed it, REST. */
static void
finish_answer(HtConn *w, const uint8_t *rest, size_t left)
{
    HtCall *call = w->call;
    g_byte_array_append(w->rest, rest, (guint)left);
    AeInside inside = judge_body(w);
    if (inside == AE_INSIDE_MAYBE && may_hold(w)) {
        w->held_ms = w->held_ms ? w->held_ms : bg_boot_ms();
        return;
    }
    if (inside == AE_INSIDE_SURE) {
        fail_garbled(w);
        return;
    }
    /* A late copy of an answer to HEAD can't be skipped: it has no body, and
       doesn't show that. */
    bool keep = w->reusable && inside == AE_INSIDE_NOT && w->rest->len == 0 &&
                !call->fresh && w->keep_ms > 0 &&
                call->sent == call->request->len && !is_head_request(call) &&
                w->ids->len < MAX_KEPT_IDS;
    AeEnd end = ae_end(call->answer, AE_MESSAGE_OVER);
    if (!keep) {
        ht_close_call(w, end);
        return;
    }
    w->call = NULL;
    w->carried = true;
    ht_resume_call(call); /* an idle connection is read */
    ht_make_idle(w);
    ht_end_call(call, end);
}

void
ht_end_held(HtConn *w)
{
    w->input_over = true;
    finish_answer(w, NULL, 0);
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
    w->input_over = len == 0;
    w->reusable = w->reusable && !w->input_over;
    if (w->held_ms) {
        finish_answer(w, data, len);
        return;
    }
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
        ht_close_call(w, AE_TOO_LARGE);
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
