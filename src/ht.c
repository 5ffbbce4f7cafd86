#include "ht.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <http_parser.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BYTES 65536
#define MAX_PIPELINED (256 * 1024) /* bytes held behind an open request */
#define LINGER_MS 1000  /* for the client to take the last answer */
#define BACKLOG 512     /* a full queue drops opening packets for seconds */
/* Unacknowledged bytes for so long: the far end or the path is dead. */
#define USER_TIMEOUT_MS 4000
/* Engines state their idle timeout in whole seconds, rounded; a request that
   crosses their close is lost, so kept connections end a second before. */
#define KEEP_MARGIN_MS 1100
#define DEFAULT_KEEP_MS 4000 /* no timeout was told */
#define DEFAULT_HEADER_BYTES (64 * 1024)
#define DEFAULT_BODY_BYTES (64u * 1024 * 1024)

/* ---- messages ----------------------------------------------------------- */

typedef struct {
    HtHead head;
    GStringChunk *text;
    GString *name;
    GString *value;
    GString *target;
    size_t header_bytes;
} Message;

static void
start_message(Message *m)
{
    memset(m, 0, sizeof(*m));
    m->head.headers = g_array_new(FALSE, FALSE, sizeof(HtHeader));
    m->text = g_string_chunk_new(512);
    m->name = g_string_new(NULL);
    m->value = g_string_new(NULL);
    m->target = g_string_new(NULL);
}

static void
free_message(Message *m)
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
flush_header(Message *m)
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

static void
add_header_name(Message *m, const char *at, size_t len)
{
    if (m->value->len > 0) {
        flush_header(m);
    }
    g_string_append_len(m->name, at, (gssize)len);
    m->header_bytes += len;
}

static void
add_header_value(Message *m, const char *at, size_t len)
{
    g_string_append_len(m->value, at, (gssize)len);
    m->header_bytes += len;
}

static void
finish_head(Message *m, const http_parser *p)
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
        "Connection",        "Keep-Alive",          "Proxy-Connection", "TE",
        "Trailer",           "Transfer-Encoding",   "Upgrade",
        "Content-Length",    "Proxy-Authorization", "Expect",
        "Proxy-Authenticate"};
    for (size_t i = 0; i < G_N_ELEMENTS(hop); i++) {
        if (g_ascii_strcasecmp(hop[i], name) == 0) {
            return true;
        }
    }
    const char *listed = ht_find_header(head, "Connection");
    return listed && is_listed(listed, name);
}

/* ---- sockets ------------------------------------------------------------ */

static bool
parse_address(const char *text, struct sockaddr_in *out)
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

static void
tune_socket(int fd)
{
    int on = 1;
    unsigned int user_ms = USER_TIMEOUT_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_ms, sizeof(user_ms));
}

/* Bytes on their way are dropped instead of being delivered later, when a
   cut link heals: whoever gave a call up has acted on that. */
static void
reset_on_close(int fd)
{
    struct linger off = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &off, sizeof(off));
}

static bool
is_closed_by_peer(int fd)
{
    char byte;
    ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
}

/* ---- server ------------------------------------------------------------- */

typedef struct HtConn HtConn;

typedef enum { CONN_READING, CONN_BUSY, CONN_LINGERING } ConnState;

struct HtExchange {
    HtConn *conn;
    Message msg;
    GByteArray *body;
    uint64_t arrival_ms;
    void *user;
    bool chunked; /* the answer is sent in chunks */
};

struct HtConn {
    HtServer *server;
    int fd;
    ev_io read_watch;
    ev_io write_watch;
    http_parser parser;
    ConnState state;
    HtExchange *x;      /* being read or answered; NULL: idle */
    GByteArray *behind; /* bytes that came after the open request */
    GByteArray *out;
    size_t out_at;
    bool close_after;  /* the answer being sent ends the connection */
    bool answer_ended; /* close_after: all of it is in OUT */
    uint16_t refuse;   /* status for what broke the limits; 0: none */
    uint64_t since_ms; /* of the current state */
    GList *link;       /* in the server's connections */
};

struct HtServer {
    struct ev_loop *loop;
    int fd;
    ev_io watch;
    HtHandler handler;
    HtLimits limits;
    bool closing;
    GQueue conns; /* HtConn */
};

static void
free_exchange(HtExchange *x)
{
    free_message(&x->msg);
    g_byte_array_free(x->body, TRUE);
    g_free(x);
}

static void
close_conn(HtConn *c)
{
    HtExchange *x = c->x;
    c->x = NULL;
    ev_io_stop(c->server->loop, &c->read_watch);
    ev_io_stop(c->server->loop, &c->write_watch);
    close(c->fd);
    g_queue_delete_link(&c->server->conns, c->link);
    g_byte_array_free(c->behind, TRUE);
    g_byte_array_free(c->out, TRUE);
    if (x) {
        if (c->state == CONN_BUSY) {
            c->server->handler.on_gone(c->server->handler.ctx, x);
        }
        free_exchange(x);
    }
    g_free(c);
}

/* False: the connection is gone. */
static bool
flush_conn(HtConn *c)
{
    while (c->out_at < c->out->len) {
        ssize_t n = send(c->fd, c->out->data + c->out_at,
                         c->out->len - c->out_at, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            ev_io_start(c->server->loop, &c->write_watch);
            return true;
        }
        if (n < 0 && errno != EINTR) {
            close_conn(c);
            return false;
        }
        c->out_at += n > 0 ? (size_t)n : 0;
    }
    g_byte_array_set_size(c->out, 0);
    c->out_at = 0;
    ev_io_stop(c->server->loop, &c->write_watch);
    if (c->answer_ended && c->state != CONN_LINGERING) {
        shutdown(c->fd, SHUT_WR);
        c->state = CONN_LINGERING;
        c->since_ms = bg_boot_ms();
    }
    return true;
}

static void feed_conn(HtConn *c, const uint8_t *data, size_t len);

static int
on_request_begin(http_parser *p)
{
    HtConn *c = p->data;
    HtExchange *x = g_new0(HtExchange, 1);
    x->conn = c;
    x->body = g_byte_array_new();
    x->arrival_ms = bg_boot_ms();
    start_message(&x->msg);
    c->x = x;
    c->since_ms = x->arrival_ms;
    return 0;
}

static int
on_request_target(http_parser *p, const char *at, size_t len)
{
    HtConn *c = p->data;
    g_string_append_len(c->x->msg.target, at, (gssize)len);
    c->x->msg.header_bytes += len;
    return 0;
}

static int
check_header_bytes(HtConn *c)
{
    uint32_t most = c->server->limits.header_bytes;
    if (c->x->msg.header_bytes > (most ? most : DEFAULT_HEADER_BYTES)) {
        c->refuse = 431;
        return 1;
    }
    return 0;
}

static int
on_request_name(http_parser *p, const char *at, size_t len)
{
    HtConn *c = p->data;
    add_header_name(&c->x->msg, at, len);
    return check_header_bytes(c);
}

static int
on_request_value(http_parser *p, const char *at, size_t len)
{
    HtConn *c = p->data;
    add_header_value(&c->x->msg, at, len);
    return check_header_bytes(c);
}

static int
on_request_head(http_parser *p)
{
    HtConn *c = p->data;
    finish_head(&c->x->msg, p);
    uint32_t most = c->server->limits.body_bytes;
    if (p->content_length != ULLONG_MAX &&
        p->content_length > (most ? most : DEFAULT_BODY_BYTES)) {
        c->refuse = 413;
        return 1;
    }
    const char *expect = ht_find_header(&c->x->msg.head, "Expect");
    if (expect && g_ascii_strcasecmp(expect, "100-continue") == 0) {
        static const char go[] = "HTTP/1.1 100 Continue\r\n\r\n";
        g_byte_array_append(c->out, (const guint8 *)go, sizeof(go) - 1);
        ev_io_start(c->server->loop, &c->write_watch);
    }
    return 0;
}

static int
on_request_body(http_parser *p, const char *at, size_t len)
{
    HtConn *c = p->data;
    uint32_t most = c->server->limits.body_bytes;
    if (c->x->body->len + len > (most ? most : DEFAULT_BODY_BYTES)) {
        c->refuse = 413;
        return 1;
    }
    g_byte_array_append(c->x->body, (const guint8 *)at, (guint)len);
    return 0;
}

static int
on_request_end(http_parser *p)
{
    http_parser_pause(p, 1);
    return 0;
}

static const http_parser_settings request_settings = {
    .on_message_begin = on_request_begin,
    .on_url = on_request_target,
    .on_header_field = on_request_name,
    .on_header_value = on_request_value,
    .on_headers_complete = on_request_head,
    .on_body = on_request_body,
    .on_message_complete = on_request_end,
};

/* A request that can't be taken: answered and the connection ended. */
static void
refuse_unreadable(HtConn *c)
{
    if (!c->x) {
        close_conn(c);
        return;
    }
    c->state = CONN_BUSY;
    c->close_after = true;
    ht_start_answer(c->x, c->refuse ? c->refuse : 400, "", 0);
    ht_end_answer(c->x);
}

static void
feed_conn(HtConn *c, const uint8_t *data, size_t len)
{
    size_t used = http_parser_execute(&c->parser, &request_settings,
                                      (const char *)data, len);
    enum http_errno e = HTTP_PARSER_ERRNO(&c->parser);
    if (e == HPE_PAUSED) {
        g_byte_array_append(c->behind, data + used, (guint)(len - used));
        c->state = CONN_BUSY;
        c->close_after =
            !c->x->msg.head.keeps_alive || c->server->closing;
        c->server->handler.on_request(c->server->handler.ctx, c->x);
    }
    else if (e != HPE_OK || c->parser.upgrade) {
        refuse_unreadable(c);
    }
}

static void
on_conn_readable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)events;
    HtConn *c = w->data;
    uint8_t buf[READ_BYTES];
    ssize_t n = recv(c->fd, buf, sizeof(buf), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        close_conn(c);
        return;
    }
    if (c->state == CONN_LINGERING) {
        return;
    }
    if (c->state == CONN_BUSY) {
        g_byte_array_append(c->behind, buf, (guint)n);
        if (c->behind->len > MAX_PIPELINED) {
            ev_io_stop(loop, &c->read_watch);
        }
        return;
    }
    feed_conn(c, buf, (size_t)n);
}

static void
on_conn_writable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)loop;
    (void)events;
    flush_conn(w->data);
}

static void
start_parser(HtConn *c)
{
    http_parser_init(&c->parser, HTTP_REQUEST);
    c->parser.data = c;
}

static void
accept_one(HtServer *s, int fd)
{
    HtConn *c = g_new0(HtConn, 1);
    c->server = s;
    c->fd = fd;
    c->behind = g_byte_array_new();
    c->out = g_byte_array_new();
    c->since_ms = bg_boot_ms();
    tune_socket(fd);
    start_parser(c);
    ev_io_init(&c->read_watch, on_conn_readable, fd, EV_READ);
    ev_io_init(&c->write_watch, on_conn_writable, fd, EV_WRITE);
    c->read_watch.data = c;
    c->write_watch.data = c;
    g_queue_push_tail(&s->conns, c);
    c->link = s->conns.tail;
    ev_io_start(s->loop, &c->read_watch);
}

static void
on_acceptable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)loop;
    (void)events;
    HtServer *s = w->data;
    int fd;
    while ((fd = accept4(s->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC)) >=
           0) {
        accept_one(s, fd);
    }
}

HtServer *
ht_listen(struct ev_loop *loop, const char *address, const HtHandler *handler,
          GError **err)
{
    struct sockaddr_in addr;
    if (!parse_address(address, &addr)) {
        g_set_error(err, BG_ERROR, BG_ERR_INVALID, "%s: not IP:PORT", address);
        return NULL;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (fd < 0 || bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
        listen(fd, BACKLOG) != 0) {
        g_set_error(err, BG_ERROR, BG_ERR_AWAY, "%s: %s", address,
                    g_strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return NULL;
    }
    HtServer *s = g_new0(HtServer, 1);
    s->loop = loop;
    s->fd = fd;
    s->handler = *handler;
    g_queue_init(&s->conns);
    ev_io_init(&s->watch, on_acceptable, fd, EV_READ);
    s->watch.data = s;
    ev_io_start(loop, &s->watch);
    return s;
}

void
ht_destroy_server(HtServer *s)
{
    ev_io_stop(s->loop, &s->watch);
    close(s->fd);
    while (s->conns.head) {
        close_conn(s->conns.head->data);
    }
    g_free(s);
}

void
ht_set_limits(HtServer *s, const HtLimits *limits)
{
    s->limits = *limits;
}

void
ht_close_kept(HtServer *s)
{
    s->closing = true;
    for (GList *l = s->conns.head; l; l = l->next) {
        HtConn *c = l->data;
        c->close_after = true;
    }
}

/* At a stop a kept connection ends when it has been idle for this long: a
   request that was sent just before is still read and answered. */
#define STOP_IDLE_MS 1500

static bool
is_overdue(const HtServer *s, const HtConn *c, uint64_t now_ms)
{
    uint64_t age_ms = now_ms - c->since_ms;
    if (c->state == CONN_LINGERING) {
        return age_ms > LINGER_MS;
    }
    if (c->state == CONN_BUSY) {
        return false;
    }
    if (c->x) {
        return s->limits.header_ms && age_ms > s->limits.header_ms * 2ull;
    }
    if (s->closing) {
        return age_ms > STOP_IDLE_MS;
    }
    return s->limits.idle_ms && age_ms > s->limits.idle_ms;
}

void
ht_tick_server(HtServer *s, uint64_t now_ms)
{
    GList *next;
    for (GList *l = s->conns.head; l; l = next) {
        next = l->next;
        HtConn *c = l->data;
        if (is_overdue(s, c, now_ms)) {
            close_conn(c);
        }
    }
}

uint32_t
ht_count_connections(const HtServer *s)
{
    return s->conns.length;
}

const HtHead *
ht_get_head(const HtExchange *x)
{
    return &x->msg.head;
}

const GByteArray *
ht_get_body(const HtExchange *x)
{
    return x->body;
}

uint64_t
ht_get_arrival_ms(const HtExchange *x)
{
    return x->arrival_ms;
}

void *
ht_get_user(const HtExchange *x)
{
    return x->user;
}

void
ht_set_user(HtExchange *x, void *user)
{
    x->user = user;
}

bool
ht_is_gone(const HtExchange *x)
{
    return is_closed_by_peer(x->conn->fd);
}

static const char *
get_reason(uint16_t status)
{
    switch (status) {
#define XX(num, name, string)                                                 \
    case num:                                                                 \
        return #string;
        HTTP_STATUS_MAP(XX)
#undef XX
    default:
        return "Status";
    }
}

void
ht_start_answer(HtExchange *x, uint16_t status, const char *headers,
                int64_t length)
{
    HtConn *c = x->conn;
    x->chunked = length < 0;
    g_autoptr(GString) head = g_string_new(NULL);
    g_string_append_printf(head, "HTTP/1.1 %u %s\r\n%s", status,
                           get_reason(status), headers);
    if (x->chunked) {
        g_string_append(head, "Transfer-Encoding: chunked\r\n");
    }
    else {
        g_string_append_printf(head, "Content-Length: %lld\r\n",
                               (long long)length);
    }
    g_string_append(head, c->close_after ? "Connection: close\r\n\r\n"
                                         : "\r\n");
    g_byte_array_append(c->out, (const guint8 *)head->str, (guint)head->len);
}

/* Output is sent when the loop comes round, so that a head and its body
   leave in one packet. */
static void
schedule_flush(HtConn *c)
{
    ev_io_start(c->server->loop, &c->write_watch);
}

void
ht_write_answer(HtExchange *x, const char *data, size_t len)
{
    HtConn *c = x->conn;
    if (len > 0 && x->chunked) {
        char line[24];
        int n = snprintf(line, sizeof(line), "%zx\r\n", len);
        g_byte_array_append(c->out, (const guint8 *)line, (guint)n);
    }
    g_byte_array_append(c->out, (const guint8 *)data, (guint)len);
    if (len > 0 && x->chunked) {
        g_byte_array_append(c->out, (const guint8 *)"\r\n", 2);
    }
    schedule_flush(c);
}

void
ht_end_answer(HtExchange *x)
{
    HtConn *c = x->conn;
    if (x->chunked) {
        g_byte_array_append(c->out, (const guint8 *)"0\r\n\r\n", 5);
    }
    c->x = NULL;
    free_exchange(x);
    c->since_ms = bg_boot_ms();
    c->answer_ended = c->close_after;
    if (!c->close_after) {
        c->state = CONN_READING;
        start_parser(c);
        ev_io_start(c->server->loop, &c->read_watch);
    }
    if (!flush_conn(c) || c->close_after || c->behind->len == 0) {
        return;
    }
    GByteArray *behind = c->behind;
    c->behind = g_byte_array_new();
    feed_conn(c, behind->data, behind->len);
    g_byte_array_free(behind, TRUE);
}

void
ht_abort_answer(HtExchange *x)
{
    HtConn *c = x->conn;
    c->state = CONN_READING; /* whoever aborts knows that it is gone */
    if (flush_conn(c)) {
        close_conn(c);
    }
}

/* ---- calls -------------------------------------------------------------- */

typedef struct Wire Wire;

/* One connection of the pool. */
struct Wire {
    HtPool *pool;
    char *address;
    int fd;
    ev_io read_watch;
    ev_io write_watch;
    http_parser parser;
    Message msg;
    HtCall *call; /* NULL: kept */
    bool connecting;
    bool reusable;
    bool passed_over;  /* the message being read is another call's */
    bool got_message;  /* the call's answer is whole */
    bool parsing;      /* inside the parser's callbacks */
    uint32_t keep_ms;  /* how long it may be kept idle */
    uint64_t since_ms; /* kept, or connecting, since */
    GList *link;       /* in the pool's wires */
};

struct HtCall {
    HtPool *pool;
    Wire *wire;
    HtCallHandler handler;
    GByteArray *request;
    size_t sent;
    uint32_t connect_ms;
    char *match_name;
    char *match_value;
    bool fresh;
    bool failed; /* no connection could be begun: ends at the next tick */
    GList *link; /* in the pool's failed calls */
};

struct HtPool {
    struct ev_loop *loop;
    GQueue wires;  /* Wire; kept ones too */
    GQueue failed; /* HtCall */
    ev_timer fail_timer;
};

static void
free_call(HtCall *call)
{
    g_byte_array_free(call->request, TRUE);
    g_free(call->match_name);
    g_free(call->match_value);
    g_free(call);
}

static void
close_wire(Wire *w)
{
    ev_io_stop(w->pool->loop, &w->read_watch);
    ev_io_stop(w->pool->loop, &w->write_watch);
    close(w->fd);
    g_queue_delete_link(&w->pool->wires, w->link);
    free_message(&w->msg);
    g_free(w->address);
    g_free(w);
}

static void
end_call(Wire *w, HtEnd end)
{
    HtCall *call = w->call;
    w->call = NULL;
    call->handler.on_end(call->handler.ctx, call, end);
    free_call(call);
}

static void
break_wire(Wire *w, HtEnd end)
{
    HtCall *call = w->call;
    w->call = NULL;
    close_wire(w);
    if (call) {
        call->wire = NULL;
        call->handler.on_end(call->handler.ctx, call,
                             call->sent == 0 ? HT_NOT_SENT : end);
        free_call(call);
    }
}

/* ---- parsing of answers ---- */

static int
on_answer_begin(http_parser *p)
{
    Wire *w = p->data;
    free_message(&w->msg);
    start_message(&w->msg);
    return 0;
}

static int
on_answer_name(http_parser *p, const char *at, size_t len)
{
    Wire *w = p->data;
    add_header_name(&w->msg, at, len);
    return 0;
}

static int
on_answer_value(http_parser *p, const char *at, size_t len)
{
    Wire *w = p->data;
    add_header_value(&w->msg, at, len);
    return 0;
}

static bool
is_of_other_call(const Wire *w)
{
    const HtCall *call = w->call;
    if (!call->match_name) {
        return false;
    }
    const char *got = ht_find_header(&w->msg.head, call->match_name);
    return got && strcmp(got, call->match_value) != 0;
}

static void
learn_keep_time(Wire *w)
{
    const char *keep = ht_find_header(&w->msg.head, "Keep-Alive");
    const char *timeout = keep ? strstr(keep, "timeout=") : NULL;
    if (!timeout) {
        return;
    }
    long s = strtol(timeout + strlen("timeout="), NULL, 10);
    long ms = s * 1000 - KEEP_MARGIN_MS;
    w->keep_ms = ms > 0 ? (uint32_t)ms : 0;
}

static int
on_answer_head(http_parser *p)
{
    Wire *w = p->data;
    finish_head(&w->msg, p);
    w->passed_over = p->status_code / 100 == 1 || is_of_other_call(w);
    if (w->passed_over) {
        w->reusable = w->reusable && p->status_code / 100 == 1;
        return 0;
    }
    learn_keep_time(w);
    w->call->handler.on_head(w->call->handler.ctx, w->call, &w->msg.head);
    /* The handler may have cancelled the call. */
    return w->call ? 0 : -1;
}

static int
on_answer_body(http_parser *p, const char *at, size_t len)
{
    Wire *w = p->data;
    if (!w->passed_over) {
        w->call->handler.on_data(w->call->handler.ctx, w->call, at, len);
    }
    return w->call ? 0 : -1;
}

static int
on_answer_end(http_parser *p)
{
    Wire *w = p->data;
    if (!w->passed_over) {
        w->got_message = true;
        w->reusable = w->reusable && http_should_keep_alive(p);
        http_parser_pause(p, 1);
    }
    return 0;
}

static const http_parser_settings answer_settings = {
    .on_message_begin = on_answer_begin,
    .on_header_field = on_answer_name,
    .on_header_value = on_answer_value,
    .on_headers_complete = on_answer_head,
    .on_body = on_answer_body,
    .on_message_complete = on_answer_end,
};

static void
keep_wire(Wire *w)
{
    w->got_message = false;
    w->since_ms = bg_boot_ms();
    http_parser_init(&w->parser, HTTP_RESPONSE);
    w->parser.data = w;
    free_message(&w->msg);
}

/* The answer is whole; LEFT bytes came after it and belong to nobody. */
static void
finish_answer(Wire *w, size_t left)
{
    HtCall *call = w->call;
    bool keep = w->reusable && left == 0 && !call->fresh && w->keep_ms > 0 &&
                call->sent == call->request->len;
    w->got_message = false;
    if (keep) {
        keep_wire(w);
        end_call(w, HT_DONE);
        return;
    }
    w->call = NULL;
    close_wire(w);
    call->wire = NULL;
    call->handler.on_end(call->handler.ctx, call, HT_DONE);
    free_call(call);
}

static void
feed_wire(Wire *w, const uint8_t *data, size_t len)
{
    w->parsing = true;
    size_t used = http_parser_execute(&w->parser, &answer_settings,
                                      (const char *)data, len);
    w->parsing = false;
    if (!w->call) { /* cancelled from inside a callback */
        close_wire(w);
        return;
    }
    enum http_errno e = HTTP_PARSER_ERRNO(&w->parser);
    if (w->got_message) {
        finish_answer(w, len - used);
    }
    else if (e != HPE_OK || w->parser.upgrade) {
        break_wire(w, HT_GARBLED);
    }
    else if (len == 0) {
        break_wire(w, HT_BROKEN);
    }
}

static void
on_wire_readable(struct ev_loop *loop, ev_io *watch, int events)
{
    (void)loop;
    (void)events;
    Wire *w = watch->data;
    uint8_t buf[READ_BYTES];
    ssize_t n = recv(w->fd, buf, sizeof(buf), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    /* A kept connection that says anything is of no more use. */
    if (n < 0 || !w->call) {
        break_wire(w, HT_BROKEN);
        return;
    }
    feed_wire(w, buf, (size_t)n);
}

static void
send_request(Wire *w)
{
    HtCall *call = w->call;
    while (call->sent < call->request->len) {
        ssize_t n = send(w->fd, call->request->data + call->sent,
                         call->request->len - call->sent, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return;
        }
        if (n < 0 && errno != EINTR) {
            break_wire(w, HT_BROKEN);
            return;
        }
        call->sent += n > 0 ? (size_t)n : 0;
    }
    ev_io_stop(w->pool->loop, &w->write_watch);
}

static void
on_wire_writable(struct ev_loop *loop, ev_io *watch, int events)
{
    (void)events;
    Wire *w = watch->data;
    if (w->connecting) {
        int e = 0;
        socklen_t len = sizeof(e);
        getsockopt(w->fd, SOL_SOCKET, SO_ERROR, &e, &len);
        if (e != 0) {
            break_wire(w, HT_NOT_SENT);
            return;
        }
        w->connecting = false;
        ev_io_start(loop, &w->read_watch);
    }
    if (!w->call) {
        ev_io_stop(loop, &w->write_watch);
        return;
    }
    send_request(w);
}

static Wire *
open_wire(HtPool *p, const char *address)
{
    struct sockaddr_in addr;
    if (!parse_address(address, &addr)) {
        return NULL;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return NULL;
    }
    tune_socket(fd);
    if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return NULL;
    }
    Wire *w = g_new0(Wire, 1);
    w->pool = p;
    w->address = g_strdup(address);
    w->fd = fd;
    w->connecting = true;
    w->reusable = true;
    w->keep_ms = DEFAULT_KEEP_MS;
    keep_wire(w);
    ev_io_init(&w->read_watch, on_wire_readable, fd, EV_READ);
    ev_io_init(&w->write_watch, on_wire_writable, fd, EV_WRITE);
    w->read_watch.data = w;
    w->write_watch.data = w;
    g_queue_push_head(&p->wires, w);
    w->link = p->wires.head;
    return w;
}

/* The kept connection that was used last: it is the likeliest to live. */
static Wire *
take_kept(HtPool *p, const HtRequest *req)
{
    uint64_t now_ms = bg_boot_ms();
    Wire *best = NULL;
    for (GList *l = p->wires.head; l; l = l->next) {
        Wire *w = l->data;
        uint64_t idle_ms = now_ms - w->since_ms;
        if (!w->call && !w->connecting && idle_ms < w->keep_ms &&
            (!req->max_idle_ms || idle_ms < req->max_idle_ms) &&
            strcmp(w->address, req->address) == 0 &&
            (!best || w->since_ms > best->since_ms)) {
            best = w;
        }
    }
    return best && !is_closed_by_peer(best->fd) ? best : NULL;
}

static void
on_fail_timer(struct ev_loop *loop, ev_timer *t, int events)
{
    (void)loop;
    (void)events;
    HtPool *p = t->data;
    HtCall *call;
    while ((call = g_queue_pop_head(&p->failed))) {
        call->handler.on_end(call->handler.ctx, call, HT_NOT_SENT);
        free_call(call);
    }
}

HtPool *
ht_create_pool(struct ev_loop *loop)
{
    HtPool *p = g_new0(HtPool, 1);
    p->loop = loop;
    g_queue_init(&p->wires);
    g_queue_init(&p->failed);
    ev_timer_init(&p->fail_timer, on_fail_timer, 0., 0.);
    p->fail_timer.data = p;
    return p;
}

void
ht_destroy_pool(HtPool *p)
{
    ev_timer_stop(p->loop, &p->fail_timer);
    while (p->wires.head) {
        Wire *w = p->wires.head->data;
        if (w->call) {
            free_call(w->call);
        }
        close_wire(w);
    }
    HtCall *call;
    while ((call = g_queue_pop_head(&p->failed))) {
        free_call(call);
    }
    g_free(p);
}

static void
attach_call(HtCall *call, Wire *w)
{
    call->wire = w;
    w->call = call;
    /* Bytes sent into a connection that the far side has just closed would
       be lost, so the write waits for the loop to see it writable. */
    ev_io_start(w->pool->loop, &w->write_watch);
}

HtCall *
ht_start_call(HtPool *p, const HtRequest *req, const HtCallHandler *handler)
{
    HtCall *call = g_new0(HtCall, 1);
    call->pool = p;
    call->handler = *handler;
    call->request = req->request;
    call->connect_ms = req->connect_ms;
    call->match_name = g_strdup(req->match_name);
    call->match_value = g_strdup(req->match_value);
    call->fresh = req->fresh;
    Wire *w = req->fresh ? NULL : take_kept(p, req);
    if (!w) {
        w = open_wire(p, req->address);
    }
    if (w) {
        attach_call(call, w);
        return call;
    }
    call->failed = true;
    g_queue_push_tail(&p->failed, call);
    call->link = p->failed.tail;
    ev_timer_set(&p->fail_timer, 0., 0.);
    ev_timer_start(p->loop, &p->fail_timer);
    return call;
}

void
ht_cancel_call(HtCall *call)
{
    if (call->failed) {
        g_queue_delete_link(&call->pool->failed, call->link);
        free_call(call);
        return;
    }
    Wire *w = call->wire;
    w->call = NULL;
    free_call(call);
    reset_on_close(w->fd);
    if (!w->parsing) {
        close_wire(w);
    } /* else the parser's caller closes it */
}

bool
ht_was_sent(const HtCall *call)
{
    return call->sent > 0;
}

void
ht_tick_pool(HtPool *p, uint64_t now_ms)
{
    GList *next;
    for (GList *l = p->wires.head; l; l = next) {
        next = l->next;
        Wire *w = l->data;
        if (w->call && w->connecting &&
            now_ms - w->since_ms > w->call->connect_ms) {
            reset_on_close(w->fd);
            break_wire(w, HT_NOT_SENT);
            next = p->wires.head; /* the handler may have opened or closed */
        }
        else if (!w->call && now_ms - w->since_ms >= w->keep_ms) {
            close_wire(w);
        }
    }
}

void
ht_drop_kept(HtPool *p, const char *address)
{
    GList *next;
    for (GList *l = p->wires.head; l; l = next) {
        next = l->next;
        Wire *w = l->data;
        if (!w->call && strcmp(w->address, address) == 0) {
            close_wire(w);
        }
    }
}

/* ---- collected calls ---------------------------------------------------- */

typedef struct {
    HtCall *call;
    ev_timer timer;
    struct ev_loop *loop;
    HtReplyFn done;
    void *ctx;
    uint16_t status;
    GByteArray *body;
} Fetch;

static void
finish_fetch(Fetch *f, HtEnd end, bool timed_out)
{
    ev_timer_stop(f->loop, &f->timer);
    HtReply reply = {end, timed_out, f->status, f->body};
    f->done(f->ctx, &reply);
    g_byte_array_free(f->body, TRUE);
    g_free(f);
}

static void
on_fetch_head(void *ctx, HtCall *call, const HtHead *head)
{
    (void)call;
    Fetch *f = ctx;
    f->status = head->status;
}

static void
on_fetch_data(void *ctx, HtCall *call, const char *data, size_t len)
{
    (void)call;
    Fetch *f = ctx;
    g_byte_array_append(f->body, (const guint8 *)data, (guint)len);
}

static void
on_fetch_end(void *ctx, HtCall *call, HtEnd end)
{
    (void)call;
    finish_fetch(ctx, end, false);
}

static void
on_fetch_timeout(struct ev_loop *loop, ev_timer *t, int events)
{
    (void)loop;
    (void)events;
    Fetch *f = t->data;
    HtEnd end = ht_was_sent(f->call) ? HT_BROKEN : HT_NOT_SENT;
    ht_cancel_call(f->call);
    f->status = 0;
    finish_fetch(f, end, true);
}

void
ht_fetch(HtPool *p, const char *address, const char *method,
         const char *target, const char *extra, const void *body,
         size_t body_len, uint32_t total_ms, HtReplyFn done, void *ctx)
{
    Fetch *f = g_new0(Fetch, 1);
    f->loop = p->loop;
    f->done = done;
    f->ctx = ctx;
    f->body = g_byte_array_new();
    g_autoptr(GString) head = g_string_new(NULL);
    g_string_printf(head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", method, target,
                    address, extra ? extra : "");
    if (body || strcmp(method, "GET") != 0) {
        g_string_append_printf(head, "Content-Length: %zu\r\n", body_len);
    }
    g_string_append(head, "\r\n");
    GByteArray *request = g_byte_array_new();
    g_byte_array_append(request, (guint8 *)head->str, (guint)head->len);
    if (body) {
        g_byte_array_append(request, body, (guint)body_len);
    }
    HtRequest req = {
        .address = address, .request = request, .connect_ms = total_ms};
    HtCallHandler handler = {f, on_fetch_head, on_fetch_data, on_fetch_end};
    f->call = ht_start_call(p, &req, &handler);
    ev_timer_init(&f->timer, on_fetch_timeout, total_ms / 1000., 0.);
    f->timer.data = f;
    ev_timer_start(p->loop, &f->timer);
}
