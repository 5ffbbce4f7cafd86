#include "event_stream.h"

#include <string.h>

static const char byte_order_mark[] = "\xEF\xBB\xBF";

struct Es {
    size_t max_event_bytes;
    GByteArray *text;  /* lines of the current event, and a part of the next */
    size_t line_at;    /* in text: the current line */
    size_t mark_len;   /* of the mark that text begins with */
    GString *id;       /* of the current event */
    bool has_id;       /* a line of it names one, perhaps an empty one */
    bool has_data;     /* a line of it does */
    bool has_field;    /* a line of it is no comment */
    bool known_fields; /* any line so far had a known one */
    bool begun;        /* the first line was read */
    bool after_cr;     /* an LF that comes now belongs to that line's end */
    bool given;        /* text is that of the event handed out last */
};

Es *
es_create(size_t max_event_bytes)
{
    Es *s = g_new0(Es, 1);
    s->max_event_bytes = max_event_bytes;
    s->text = g_byte_array_new();
    s->id = g_string_new(NULL);
    return s;
}

void
es_destroy(Es *s)
{
    if (s) {
        g_byte_array_free(s->text, TRUE);
        g_string_free(s->id, TRUE);
        g_free(s);
    }
}

static void
start_event(Es *s)
{
    g_byte_array_set_size(s->text, 0);
    s->line_at = 0;
    s->mark_len = 0;
    s->has_id = false;
    s->has_data = false;
    s->has_field = false;
    s->given = false;
}

/* ---- lines -------------------------------------------------------------- */

static bool
is_name(const char *line, size_t len, const char *name)
{
    return len == strlen(name) && memcmp(line, name, len) == 0;
}

static bool
is_known(const char *line, size_t len)
{
    static const char *const names[] = {"id", "data", "event", "retry"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (is_name(line, len, names[i])) {
            return true;
        }
    }
    return false;
}

/* Bytes of the field's name; LEN if the line has no colon. */
static size_t
get_name_len(const char *line, size_t len)
{
    const char *colon = memchr(line, ':', len);
    return colon ? (size_t)(colon - line) : len;
}

static void
take_id(Es *s, const char *value, size_t len)
{
    if (memchr(value, '\0', len)) {
        return; /* the standard ignores such a field */
    }
    g_string_truncate(s->id, 0);
    g_string_append_len(s->id, value, (gssize)len);
    s->has_id = true;
}

static void
take_field(Es *s, const char *line, size_t len)
{
    size_t name_len = get_name_len(line, len);
    size_t at = MIN(name_len + 1, len);
    if (at < len && line[at] == ' ') {
        at++;
    }
    s->has_field = true;
    s->known_fields = s->known_fields || is_known(line, name_len);
    s->has_data = s->has_data || is_name(line, name_len, "data");
    if (is_name(line, name_len, "id")) {
        take_id(s, line + at, len - at);
    }
}

/* The line from line_at to END, without its end.  True: it is blank. */
static bool
take_line(Es *s, size_t end)
{
    const char *line = (const char *)s->text->data + s->line_at;
    size_t len = end - s->line_at;
    size_t mark = strlen(byte_order_mark);
    if (!s->begun && len >= mark && memcmp(line, byte_order_mark, mark) == 0) {
        s->mark_len = mark;
        line += mark;
        len -= mark;
    }
    s->begun = true;
    if (len > 0 && line[0] != ':') {
        take_field(s, line, len);
    }
    return len == 0;
}

/* ---- input -------------------------------------------------------------- */

/* Bytes of DATA up to the end of a line; LEN if there is none. */
static size_t
find_line_end(const char *data, size_t len)
{
    size_t at = 0;
    while (at < len && data[at] != '\n' && data[at] != '\r') {
        at++;
    }
    return at;
}

static void
append(Es *s, const char *data, size_t len)
{
    g_byte_array_append(s->text, (const guint8 *)data, (guint)len);
}

static void
fill_event(Es *s, EsEvent *event)
{
    event->text = (const char *)s->text->data;
    event->len = s->text->len;
    event->mark_len = s->mark_len;
    event->id = s->has_id ? s->id->str : NULL;
    event->has_data = s->has_data;
    s->given = true;
}

/* The LF of a CRLF of which the CR was read.  Returns the bytes used. */
static size_t
skip_line_feed(Es *s, const char *data, size_t len)
{
    bool is_lf = s->after_cr && len > 0 && data[0] == '\n';
    s->after_cr = s->after_cr && len == 0;
    if (is_lf) {
        append(s, data, 1);
        s->line_at = s->text->len;
    }
    return is_lf;
}

EsResult
es_read(Es *s, const char *data, size_t len, size_t *used, EsEvent *event)
{
    if (s->given) {
        start_event(s);
    }
    size_t at = skip_line_feed(s, data, len);
    bool blank = false;
    while (at < len && !blank) {
        size_t n = find_line_end(data + at, len - at);
        if (s->text->len + n >= s->max_event_bytes) {
            *used = at;
            return ES_TOO_LARGE;
        }
        bool ended = at + n < len;
        append(s, data + at, n + ended);
        at += n + ended;
        if (!ended) {
            break;
        }
        s->after_cr = data[at - 1] == '\r';
        blank = take_line(s, s->text->len - 1);
        s->line_at = s->text->len;
        at += skip_line_feed(s, data + at, len - at);
    }
    *used = at;
    if (!blank) {
        return ES_MORE;
    }
    fill_event(s, event);
    return ES_EVENT;
}

/* ---- the end ------------------------------------------------------------ */

static size_t
get_line_len(const Es *s)
{
    return s->given ? 0 : s->text->len - s->line_at;
}

/* A mark alone is no line. */
static bool
is_only_mark(const Es *s)
{
    size_t mark = strlen(byte_order_mark);
    return !s->begun && get_line_len(s) == mark &&
           memcmp(s->text->data, byte_order_mark, mark) == 0;
}

bool
es_is_inside(const Es *s)
{
    bool in_line = get_line_len(s) > 0 && !is_only_mark(s);
    return in_line || (!s->given && s->has_field);
}

bool
es_has_fields(const Es *s)
{
    size_t len = get_line_len(s);
    const char *line = len ? (const char *)s->text->data + s->line_at : NULL;
    size_t name_len = len ? get_name_len(line, len) : 0;
    bool begun = name_len < len && is_known(line, name_len);
    return s->known_fields || begun;
}

const char *
es_get_rest(const Es *s, size_t *len)
{
    *len = s->given ? 0 : s->text->len;
    return *len ? (const char *)s->text->data : "";
}
