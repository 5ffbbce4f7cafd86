#include "ht_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* Unacknowledged bytes for so long: the far end or the path is dead. */
#define USER_TIMEOUT_MS 4000

/* ---- messages ----------------------------------------------------------- */

void
ht_start_message(HtMessage *m)
{
    memset(m, 0, sizeof(*m));
    m->head.headers = g_array_new(FALSE, FALSE, sizeof(HtHeader));
    m->text = g_string_chunk_new(512);
    m->name = g_string_new(NULL);
    m->value = g_string_new(NULL);
    m->target = g_string_new(NULL);
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
        m->text = NULL;
    }
}

static void
flush_header(HtMessage *m)
{
    if (m->name->len == 0) {
        return;
    }
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
    if (m->value->len > 0) {
        flush_header(m);
    }
    g_string_append_len(m->name, at, (gssize)len);
    m->header_bytes += len;
}

void
ht_add_header_value(HtMessage *m, const char *at, size_t len)
{
    g_string_append_len(m->value, at, (gssize)len);
    m->header_bytes += len;
}

void
ht_finish_head(HtMessage *m, const http_parser *p)
{
    flush_header(m);
    m->head.method = http_method_str((enum http_method)p->method);
    m->head.target = m->target->str;
    m->head.status = (uint16_t)p->status_code;
    m->head.chunked = (p->flags & F_CHUNKED) != 0;
    m->head.keeps_alive = http_should_keep_alive(p) != 0;
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

/* ---- sockets ------------------------------------------------------------ */

bool
ht_parse_address(const char *text, struct sockaddr_in *out)
{
    char host[64];
    const char *colon = strrchr(text, ':');
    if (!colon || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    long port = strtol(colon + 1, NULL, 10);
    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)port);
    return port > 0 && port < 65536 &&
           inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

void
ht_tune_socket(int fd)
{
    int on = 1;
    unsigned int user_ms = USER_TIMEOUT_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_ms, sizeof(user_ms));
}

/* Bytes on their way are dropped instead of being delivered later, when a
   cut link heals: whoever gave a call up has acted on that. */
void
ht_reset_on_close(int fd)
{
    struct linger off = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &off, sizeof(off));
}

bool
ht_is_closed_by_peer(int fd)
{
    char byte;
    ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
}
