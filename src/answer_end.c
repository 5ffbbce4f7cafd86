#include "answer_end.h"

#include <jansson.h>
#include <string.h>

#define FIRST_BYTES "HTTP/"               /* of each answer */
#define STATUS_LINE FIRST_BYTES "#.# ###" /* #: a digit */
#define MAX_REASON_BYTES 64

struct Ae {
    AeExpect expect;
    AeFraming framing;
    uint16_t status; /* 0: no head yet */
    bool typed;      /* the head names the type of the body */
    bool is_stream;  /* ... an event stream, and no encoding */
    bool continues;  /* a stream that has begun */
    Es *events;      /* NULL: the body is collected */
    GByteArray *body;
    uint64_t bytes;
};

bool
ae_is_whole(AeEnd end)
{
    return end <= AE_WHOLE_CLOSE;
}

bool
ae_is_break(AeEnd end)
{
    return end == AE_UNANSWERED || end == AE_SHORT || end == AE_RESET ||
           end == AE_NOT_HTTP;
}

const char *
ae_name_end(AeEnd end)
{
    static const char *const names[AE_ENDS] = {
        "no body",  "length",    "last chunk", "connection's end",
        "not sent", "no answer", "broken off", "reset",
        "inside",   "garbled",   "too large",  "timed out"};
    return names[end];
}

const char *
ae_name_framing(AeFraming framing)
{
    static const char *const names[] = {"no body", "length", "chunks",
                                        "close"};
    return names[framing];
}

bool
ae_is_json(const GByteArray *body)
{
    json_t *doc =
        json_loadb((const char *)body->data, body->len, JSON_DECODE_ANY, NULL);
    json_decref(doc);
    return doc != NULL;
}

bool
ae_is_never_whole(const GByteArray *body)
{
    (void)body;
    return false;
}

Ae *
ae_create(const AeExpect *expect)
{
    Ae *a = g_new0(Ae, 1);
    a->expect = *expect;
    a->body = g_byte_array_new();
    return a;
}

void
ae_destroy(Ae *a)
{
    es_destroy(a->events);
    g_byte_array_unref(a->body);
    g_free(a);
}

static bool
is_event_stream(const char *type)
{
    static const char name[] = "text/event-stream";
    size_t len = strlen(name);
    return g_ascii_strncasecmp(type, name, len) == 0 &&
           (type[len] == '\0' || strchr("; \t", type[len]));
}

void
ae_on_head(Ae *a, const AeHead *head)
{
    a->status = head->status;
    a->framing = head->framing;
    a->typed = head->type || head->encoding;
    a->is_stream =
        !head->encoding && head->type && is_event_stream(head->type);
}

bool
ae_read_events(Ae *a, bool continues)
{
    if (a->typed && !a->is_stream) {
        return false;
    }
    a->continues = continues;
    size_t max = a->expect.max_event_bytes;
    a->events = es_create(max ? max : SIZE_MAX);
    return true;
}

static AeResult
read_event(Ae *a, const char *data, size_t len, size_t *used, EsEvent *event)
{
    EsResult r = es_read(a->events, data, len, used, event);
    a->bytes += *used;
    return r == ES_EVENT  ? AE_READ_EVENT
           : r == ES_MORE ? AE_READ_ALL
                          : AE_READ_TOO_LARGE;
}

AeResult
ae_read(Ae *a, const char *data, size_t len, size_t *used, EsEvent *event)
{
    if (a->events) {
        return read_event(a, data, len, used, event);
    }
    size_t max = a->expect.max_body_bytes;
    if (max && a->body->len + len > max) {
        *used = 0;
        return AE_READ_TOO_LARGE;
    }
    g_byte_array_append(a->body, (const guint8 *)data, (guint)len);
    a->bytes += len;
    *used = len;
    return AE_READ_ALL;
}

/* ---- the end ------------------------------------------------------------ */

/* Text without a type, of which no line looks like an event's, is no stream.
 */
static bool
is_no_stream(const Ae *a)
{
    return !a->typed && !a->continues && !es_has_fields(a->events);
}

static bool
is_inside(const Ae *a)
{
    if (a->events) {
        return es_is_inside(a->events) && !is_no_stream(a);
    }
    return a->framing == AE_BY_CLOSE && a->status == 200 &&
           a->expect.may_end && !a->expect.may_end(a->body);
}

AeEnd
ae_end(Ae *a, AeSignal signal)
{
    static const AeEnd whole[] = {[AE_NO_BODY] = AE_WHOLE_NO_BODY,
                                  [AE_BY_LENGTH] = AE_WHOLE_LENGTH,
                                  [AE_BY_CHUNKS] = AE_WHOLE_CHUNKS,
                                  [AE_BY_CLOSE] = AE_WHOLE_CLOSE};
    switch (signal) {
    case AE_INVALID:
        return AE_NOT_HTTP;
    case AE_FAILED:
        return AE_RESET;
    case AE_CLOSED:
        return a->status == 0 ? AE_UNANSWERED : AE_SHORT;
    default:
        return is_inside(a) ? AE_INSIDE : whole[a->framing];
    }
}

AeFraming
ae_get_framing(const Ae *a)
{
    return a->framing;
}

uint64_t
ae_get_bytes(const Ae *a)
{
    return a->bytes;
}

size_t
ae_get_rest_bytes(const Ae *a)
{
    size_t len = 0;
    if (a->events) {
        es_get_rest(a->events, &len);
    }
    return len;
}

GByteArray *
ae_get_body(Ae *a)
{
    if (a->events) {
        size_t len;
        const char *rest = es_get_rest(a->events, &len);
        g_byte_array_set_size(a->body, 0);
        g_byte_array_append(a->body, (const guint8 *)rest, (guint)len);
    }
    return a->body;
}

typedef enum {
    LINE_OTHER,
    LINE_BEGUN, /* the text ends inside it */
    LINE_WHOLE
} LineMatch;

/* Whether TEXT begins with a first line, up to its status.  Blanks as the
   parser takes them.  BEHIND: its status; or NULL. */
static LineMatch
match_status_line(const char *text, const char *end, const char **behind)
{
    static const char pattern[] = STATUS_LINE;
    const char *at = text;
    for (const char *p = pattern; *p; p++, at++) {
        if (at == end) {
            return LINE_BEGUN;
        }
        if (*p == '#' ? !g_ascii_isdigit(*at) : *at != *p) {
            return LINE_OTHER;
        }
        while (*p == ' ' && end - at > 1 && at[1] == ' ') {
            at++;
        }
    }
    if (behind) {
        *behind = at;
    }
    return LINE_WHOLE;
}

const char *
ae_find_status_line(const char *text, size_t len)
{
    if (len == 0) {
        return NULL;
    }
    const char *end = text + len;
    const char *at = memmem(text, len, FIRST_BYTES, strlen(FIRST_BYTES));
    while (at && match_status_line(at, end, NULL) != LINE_WHOLE) {
        at++;
        at = memmem(at, (size_t)(end - at), FIRST_BYTES, strlen(FIRST_BYTES));
    }
    return at;
}

bool
ae_holds_status_line(const char *text)
{
    return ae_find_status_line(text, strlen(text)) != NULL;
}

static const char *
skip_line_end(const char *text, const char *end)
{
    const char *at = text < end && *text == '\r' ? text + 1 : text;
    return at < end && *at == '\n' ? at + 1 : text;
}

/* Behind the last blank line of TEXT. */
static const char *
skip_blank_lines(const char *text, const char *end)
{
    const char *behind = skip_line_end(text, end);
    const char *at = text;
    while (at < end && (at = memchr(at, '\n', (size_t)(end - at)))) {
        at++;
        const char *next = at < end && *at == '\r' ? at + 1 : at;
        behind = next < end && *next == '\n' ? next + 1 : behind;
    }
    return behind;
}

/* Of a reason; a text in quotes that speaks of HTTP ends them first. */
static bool
may_be_reason(char c)
{
    return c == '\r' || (g_ascii_isprint(c) && !strchr("\"\\{}", c));
}

static bool
is_token(char c)
{
    return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

static const char *
skip_reason(const char *at, const char *end)
{
    const char *most =
        end - at > MAX_REASON_BYTES ? at + MAX_REASON_BYTES : end;
    while (at < most && may_be_reason(*at)) {
        at++;
    }
    return at;
}

/* The line end, or END if the text ends before it; NULL: no field's line. */
static const char *
match_field_line(const char *line, const char *end)
{
    const char *at = line;
    while (at < end && is_token(*at)) {
        at++;
    }
    if (at < end && (at == line || *at != ':')) {
        return NULL;
    }
    const char *line_end = memchr(at, '\n', (size_t)(end - at));
    return line_end ? line_end : end;
}

static bool
is_blank_line(const char *line, const char *end)
{
    return *line == '\n' ||
           (*line == '\r' && (line + 1 == end || line[1] == '\n'));
}

/* The line that a status ends before TEXT goes on as a first line does. */
static bool
ends_as_first_line(const char *text, const char *end)
{
    const char *at = skip_reason(text, end);
    return at == end || *at == '\n';
}

/* An answer's first line ends the line. */
static bool
holds_first_line(const char *line, const char *line_end)
{
    const char *at = line;
    const char *behind = NULL;
    size_t len = strlen(FIRST_BYTES);
    while (at < line_end &&
           (at = memmem(at, (size_t)(line_end - at), FIRST_BYTES, len))) {
        if (match_status_line(at, line_end, &behind) == LINE_WHOLE &&
            ends_as_first_line(behind, line_end)) {
            return true;
        }
        at++;
    }
    return false;
}

/* The begin of the last line from TEXT on that is no part of a head, up to a
   blank one; TEXT: all are. */
static const char *
find_last_other_line(const char *text, const char *end)
{
    const char *other = text;
    const char *line = text;
    while (line < end && !is_blank_line(line, end)) {
        const char *line_end = memchr(line, '\n', (size_t)(end - line));
        line_end = line_end ? line_end : end;
        if (!match_field_line(line, end) &&
            !holds_first_line(line, line_end)) {
            other = line;
        }
        line = line_end < end ? line_end + 1 : end;
    }
    return other;
}

bool
ae_holds_head(const char *text, size_t len)
{
    const char *end = text + len;
    bool inside = false;
    bool has_field = false;
    for (const char *line = text; line < end;) {
        const char *line_end = memchr(line, '\n', (size_t)(end - line));
        line_end = line_end ? line_end : end;
        if (holds_first_line(line, line_end)) {
            inside = true;
            has_field = false;
        }
        else if (inside && is_blank_line(line, end)) {
            if (has_field) {
                return true;
            }
            inside = false;
        }
        else if (inside) {
            inside = match_field_line(line, end) != NULL;
            has_field = inside;
        }
        line = line_end < end ? line_end + 1 : end;
    }
    return false;
}

AeInside
ae_find_head_across(const char *text, size_t len, size_t body_len)
{
    const char *end = text + len;
    const char *body_end = text + body_len;
    AeInside found = AE_INSIDE_NOT;
    const char *at =
        body_len > 0 ? skip_blank_lines(text, body_end) : body_end;
    const char *other = find_last_other_line(at, end);
    while (at < body_end &&
           (at = memchr(at, *FIRST_BYTES, (size_t)(body_end - at)))) {
        const char *behind = NULL;
        LineMatch match = match_status_line(at, end, &behind);
        bool runs = match == LINE_WHOLE && at >= other &&
                    ends_as_first_line(behind, end);
        if (runs && len > body_len) {
            return AE_INSIDE_SURE;
        }
        if (runs || match == LINE_BEGUN) {
            found = AE_INSIDE_MAYBE;
        }
        at++;
    }
    return found;
}
