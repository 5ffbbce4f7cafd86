#include "http_internal.h"

#include <string.h>

#define MIN_STATUS 100 /* of HTTP; the parser takes lower ones */

/* ---- messages ----------------------------------------------------------- */

void
ht_start_message(HtMessage *m, bool is_answer)
{
    memset(m, 0, sizeof(*m));
    m->is_answer = is_answer;
    m->head.headers = g_array_new(FALSE, FALSE, sizeof(HtHeader));
    m->text = g_string_chunk_new(512);
    m->name = g_string_new(NULL);
    m->value = g_string_new(NULL);
    m->target = g_string_new(NULL);
    m->reason = g_string_new(NULL);
}

void
ht_free_message(HtMessage *m)
{
    if (m->text) {
        g_array_free(m->head.headers, TRUE);
        g_string_chunk_free(m->text);
        g_string_free(m->name, TRUE);
        g_string_free(m->value, TRUE);
        g_string_free(m->target, TRUE);
        g_string_free(m->reason, TRUE);
        m->text = NULL;
    }
}

static bool
is_token(const char *name)
{
    for (const char *at = name; *at; at++) {
        if (!g_ascii_isalnum(*at) && !strchr("!#$%&'*+-.^_`|~", *at)) {
            return false;
        }
    }
    return *name;
}

static bool
is_framing_name(const char *name)
{
    static const char *const names[] = {"Content-Length", "Transfer-Encoding",
                                        "Connection"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (g_ascii_strcasecmp(name, names[i]) == 0) {
            return true;
        }
    }
    return false;
}

static void
drop_trailing_blanks(GString *text)
{
    while (text->len > 0 && (text->str[text->len - 1] == ' ' ||
                             text->str[text->len - 1] == '\t')) {
        g_string_truncate(text, text->len - 1);
    }
}

/* Blanks before the colon are dropped of an answer, unless the parser may have
   missed how the answer ends. */
static bool
check_name(const HtMessage *m)
{
    size_t sent_len = m->name->len;
    if (m->is_answer) {
        drop_trailing_blanks(m->name);
    }
    bool cut = m->name->len < sent_len;
    return is_token(m->name->str) && strlen(m->name->str) == m->name->len &&
           !(cut && is_framing_name(m->name->str));
}

bool
ht_may_begin_answer(const uint8_t *data, size_t len)
{
    size_t blank = 0;
    while (blank < len && (data[blank] == '\r' || data[blank] == '\n')) {
        blank++;
    }
    size_t first = MIN(len - blank, strlen(HT_FIRST_BYTES));
    return first == 0 || memcmp(data + blank, HT_FIRST_BYTES, first) == 0;
}

char *
ht_read_field(const char *line, size_t len, const char *name)
{
    size_t name_len = strlen(name);
    const char *line_end = memchr(line, '\n', len);
    if (!line_end || (size_t)(line_end - line) <= name_len ||
        g_ascii_strncasecmp(line, name, name_len) != 0 ||
        line[name_len] != ':') {
        return NULL;
    }
    const char *value = line + name_len + 1;
    return g_strstrip(g_strndup(value, (gsize)(line_end - value)));
}

void
ht_add_reason(HtMessage *m, const char *at, size_t len)
{
    m->header_bytes += len;
    g_string_append_len(m->reason, at, (gssize)len);
}

static void
finish_header(HtMessage *m)
{
    if (!m->in_value) {
        return;
    }
    m->in_value = false;
    drop_trailing_blanks(m->value);
    bool whole = strlen(m->value->str) == m->value->len; /* no zero byte */
    m->torn = m->torn || (m->is_answer && ae_holds_status_line(m->value->str));
    m->malformed = !check_name(m) || !whole || m->malformed;
    HtHeader h = {
        g_string_chunk_insert_len(m->text, m->name->str, (gssize)m->name->len),
        g_string_chunk_insert_len(m->text, m->value->str,
                                  (gssize)m->value->len)};
    g_array_append_val(m->head.headers, h);
    g_string_truncate(m->name, 0);
    g_string_truncate(m->value, 0);
}

void
ht_add_header_name(HtMessage *m, const char *at, size_t len)
{
    m->header_bytes += len;
    if (m->head_over) {
        return;
    }
    finish_header(m);
    g_string_append_len(m->name, at, (gssize)len);
}

void
ht_add_header_value(HtMessage *m, const char *at, size_t len)
{
    m->header_bytes += len;
    if (m->head_over) {
        return;
    }
    m->in_value = true;
    g_string_append_len(m->value, at, (gssize)len);
}

static AeFraming
read_framing(const http_parser *p)
{
    if (p->status_code / 100 == 1 || p->status_code == 204 ||
        p->status_code == 304) {
        return AE_NO_BODY;
    }
    if (p->flags & F_CHUNKED) {
        return AE_BY_CHUNKS;
    }
    return p->content_length != ULLONG_MAX ? AE_BY_LENGTH : AE_BY_CLOSE;
}

void
ht_finish_head(HtMessage *m, const http_parser *p)
{
    finish_header(m);
    m->torn = m->torn || ae_holds_status_line(m->reason->str);
    bool is_status = !m->is_answer || p->status_code >= MIN_STATUS;
    m->malformed = m->malformed || m->torn || !is_status;
    m->head_over = true;
    m->head.framing = read_framing(p);
    m->head.method = http_method_str((enum http_method)p->method);
    m->head.target = m->target->str;
    m->head.status = (uint16_t)p->status_code;
    m->head.keeps_alive = http_should_keep_alive(p) != 0;
}

bool
ht_has_known_coding(const HtHead *head)
{
    uint32_t count = 0;
    bool known = true;
    for (guint i = 0; i < head->headers->len; i++) {
        const HtHeader *h = &g_array_index(head->headers, HtHeader, i);
        if (g_ascii_strcasecmp(h->name, "Transfer-Encoding") == 0) {
            count++;
            known = known && g_ascii_strcasecmp(h->value, "chunked") == 0;
        }
    }
    return known && count <= 1;
}

const char *
ht_find_header(const HtHead *head, const char *name)
{
    for (guint i = 0; i < head->headers->len; i++) {
        const HtHeader *h = &g_array_index(head->headers, HtHeader, i);
        if (g_ascii_strcasecmp(h->name, name) == 0) {
            return h->value;
        }
    }
    return NULL;
}

static bool
is_listed(const char *list, const char *name)
{
    g_auto(GStrv) words = g_strsplit(list, ",", -1);
    for (char **w = words; *w; w++) {
        if (g_ascii_strcasecmp(g_strstrip(*w), name) == 0) {
            return true;
        }
    }
    return false;
}

bool
ht_is_hop_header(const HtHead *head, const char *name)
{
    static const char *const hop[] = {
        "Connection", "Keep-Alive",        "Proxy-Connection",
        "TE",         "Trailer",           "Transfer-Encoding",
        "Upgrade",    "Content-Length",    "Proxy-Authorization",
        "Expect",     "Proxy-Authenticate"};
    for (size_t i = 0; i < G_N_ELEMENTS(hop); i++) {
        if (g_ascii_strcasecmp(hop[i], name) == 0) {
            return true;
        }
    }
    const char *listed = ht_find_header(head, "Connection");
    return listed && is_listed(listed, name);
}
