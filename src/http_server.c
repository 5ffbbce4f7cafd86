#include "client_limits.h"
#include "http_internal.h"
#include "sockets.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_PIPELINED_BYTES (256 * 1024) /* read after an open request */
/* Of answers that the client hasn't taken: no further request is begun. */
#define MAX_UNSENT_BYTES (256 * 1024)
#define KEPT_OUTPUT_BYTES 4096 /* of a buffer whose bytes were all sent */
#define LINGER_MS 1000         /* for the client to read the last answer */
/* A client that takes nothing of an ended answer for so long is closed. */
#define STALLED_MS 30000
/* Of a request that yields, as too much is held for all clients. */
#define SHED_HEADERS "Retry-After: 1\r\n"
#define DEFAULT_HEADER_BYTES (64 * 1024)
#define DEFAULT_BODY_BYTES (64u * 1024 * 1024)

typedef struct HtConn HtConn;

typedef enum { CONN_READING, CONN_BUSY, CONN_LINGERING } ConnState;

struct HtExchange {
    HtConn *conn;
    HtMessage msg;
    GByteArray *body;
    uint64_t arrival_ms;
    uint64_t max_head_bytes; /* limits in force when its first byte came */
    uint64_t max_body_bytes;
    uint64_t held_bytes; /* elsewhere, as the handler says */
    bool sent;           /* it may have run */
    void *user;
    bool chunked;      /* the answer is sent in chunks */
    bool reads_chunks; /* the client does */
    bool until_close;  /* the answer ends with the connection */
    bool no_body;      /* of the answer, as the method is HEAD */
};

struct HtConn {
    HtServer *server;
    int fd;
    ev_io read_watch;
    ev_io write_watch;
    http_parser parser;
    ConnState state;
    HtExchange *x;  /* being read or answered; NULL: idle */
    GByteArray *in; /* read; parsed up to in_at */
    size_t in_at;
    uint64_t in_bytes;     /* that IN occupies */
    uint64_t unread_bytes; /* that the kernel holds, as it isn't read on */
    GByteArray *out;
    size_t out_at;
    uint64_t out_bytes;     /* that OUT occupies */
    bool running;           /* inside run_input */
    bool closed;            /* in the server's closed */
    uint64_t sent_ms;       /* the kernel last took some of OUT */
    bool close_after;       /* the answer being sent ends the connection */
    bool answer_ended;      /* with close_after: OUT has all of the answer */
    uint16_t refuse_status; /* a limit was exceeded; 0: none was */
    uint64_t since_ms;      /* of the current state */
    bool turned_away;       /* refused, as there were too many */
    GList *link;            /* in the server's connections */
    CmHolder holder;
};

struct HtServer {
    struct ev_loop *loop;
    int fd;
    ev_io watch;
    ev_prepare shed_watch;
    Cm *memory; /* NULL: not counted */
    HtHandler handler;
    HtLimits limits;
    uint32_t max_connections; /* 0: not limited */
    uint32_t turned_away;     /* of CONNS, refused for that limit */
    uint64_t evicted;         /* closed or refused for it, since the start */
    bool closing;
    GQueue conns; /* HtConn */
    /* HtConn; freed by the next tick, as their callers may look at them. */
    GQueue closed;
};

static void
free_exchange(HtExchange *x)
{
    ht_free_message(&x->msg);
    g_byte_array_free(x->body, TRUE);
    g_free(x);
}

static void
free_conn(HtConn *c)
{
    g_byte_array_free(c->in, TRUE);
    g_byte_array_free(c->out, TRUE);
    g_free(c);
}

static void
free_closed(HtServer *s)
{
    HtConn *c;
    while ((c = g_queue_pop_head(&s->closed))) {
        free_conn(c);
    }
}

static size_t
count_unsent(const HtConn *c)
{
    return c->out->len - c->out_at;
}

/* ---- what is held for clients -------------------------------------------
   An allocation holds up to twice what was asked for, as buffers grow by
   doubling. */

#define CONN_BYTES 1024     /* of a connection without any input or output */
#define EXCHANGE_BYTES 2048 /* of a request without fields or body */

static uint64_t
count_exchange(const HtExchange *x)
{
    /* Names and values stand in pieces of their own behind their texts. */
    return EXCHANGE_BYTES + 2 * x->msg.header_bytes +
           cl_get_capacity(x->msg.head.headers->len * sizeof(HtHeader)) +
           cl_get_capacity(x->body->len) + x->held_bytes;
}

static CmStage
get_stage(const HtConn *c)
{
    if (c->x && c->x->sent && count_unsent(c) == 0) {
        return CM_SENT;
    }
    if (count_unsent(c) > 0) {
        return CM_UNREAD;
    }
    return c->x && c->state == CONN_BUSY ? CM_WAITING : CM_READING;
}

static uint64_t
get_stage_ms(const HtConn *c)
{
    if (count_unsent(c) > 0) {
        return c->sent_ms;
    }
    return c->x ? c->x->arrival_ms : c->since_ms;
}

/* Call it whenever C may hold more or less than before. */
static void
weigh(HtConn *c)
{
    Cm *memory = c->server->memory;
    if (!memory || c->closed) {
        return;
    }
    uint64_t bytes = CONN_BYTES + c->in_bytes + c->out_bytes + c->unread_bytes;
    bytes += c->x ? count_exchange(c->x) : 0;
    cm_set(memory, &c->holder, bytes, get_stage(c), get_stage_ms(c));
}

static void
append_input(HtConn *c, const uint8_t *data, size_t len)
{
    g_byte_array_append(c->in, data, (guint)len);
    c->in_bytes = MAX(c->in_bytes, cl_get_capacity(c->in->len));
}

static void
append_output(HtConn *c, const char *data, size_t len)
{
    g_byte_array_append(c->out, (const guint8 *)data, (guint)len);
    c->out_bytes = MAX(c->out_bytes, cl_get_capacity(c->out->len));
    weigh(c);
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
    if (x) {
        if (c->state == CONN_BUSY) {
            c->server->handler.on_gone(c->server->handler.ctx, x);
        }
        free_exchange(x);
    }
    c->closed = true;
    c->server->turned_away -= c->turned_away;
    if (c->server->memory) {
        cm_remove(c->server->memory, &c->holder);
    }
    g_queue_push_tail(&c->server->closed, c);
}

/* All of OUT was sent. */
static void
note_drained(HtConn *c)
{
    if (c->x && c->state == CONN_BUSY && c->server->handler.on_drained) {
        c->server->handler.on_drained(c->server->handler.ctx, c->x);
    }
    if (!c->x && c->state == CONN_READING) {
        c->since_ms = bg_boot_ms(); /* idle from now on */
    }
    if (c->answer_ended && c->state != CONN_LINGERING) {
        shutdown(c->fd, SHUT_WR);
        c->state = CONN_LINGERING;
        c->since_ms = bg_boot_ms();
    }
}

/* A connection that waits for its next request holds little for its last
   answer. */
static void
drop_sent(HtConn *c)
{
    if (c->out_bytes > KEPT_OUTPUT_BYTES) {
        g_byte_array_free(c->out, TRUE);
        c->out = g_byte_array_new();
        c->out_bytes = 0;
    }
    g_byte_array_set_size(c->out, 0);
    c->out_at = 0;
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
        c->sent_ms = bg_boot_ms();
    }
    drop_sent(c);
    ev_io_stop(c->server->loop, &c->write_watch);
    note_drained(c);
    return true;
}

/* Results of the parser's callbacks.  Of on_headers_complete 1 and 2 are no
   errors: they mean that no body follows. */
#define PARSER_GO_ON 0
#define PARSER_REFUSE (-1)

static int
on_request_begin(http_parser *p)
{
    HtConn *c = p->data;
    const HtLimits *limits = &c->server->limits;
    HtExchange *x = g_new0(HtExchange, 1);
    x->conn = c;
    x->body = g_byte_array_new();
    x->arrival_ms = bg_boot_ms();
    x->max_head_bytes =
        limits->header_bytes ? limits->header_bytes : DEFAULT_HEADER_BYTES;
    x->max_body_bytes =
        limits->body_bytes ? limits->body_bytes : DEFAULT_BODY_BYTES;
    ht_start_message(&x->msg, false);
    c->x = x;
    c->since_ms = x->arrival_ms;
    return 0;
}

/* The connection ends with an answer of STATUS: nothing that follows is read
   as a request. */
static int
refuse_input(HtConn *c, uint16_t status)
{
    c->refuse_status = status;
    bg_count("gateway_unread_refused_total", 1);
    return PARSER_REFUSE;
}

static int
check_head_bytes(HtConn *c)
{
    return c->x->msg.header_bytes > c->x->max_head_bytes ? refuse_input(c, 431)
                                                         : PARSER_GO_ON;
}

static int
on_request_target(http_parser *p, const char *at, size_t len)
{
    HtConn *c = p->data;
    g_string_append_len(c->x->msg.target, at, (gssize)len);
    c->x->msg.header_bytes += len;
    return check_head_bytes(c);
}

static int
on_request_name(http_parser *p, const char *at, size_t len)
{
    HtConn *c = p->data;
    ht_add_header_name(&c->x->msg, at, len);
    return check_head_bytes(c);
}

static int
on_request_value(http_parser *p, const char *at, size_t len)
{
    HtConn *c = p->data;
    ht_add_header_value(&c->x->msg, at, len);
    return check_head_bytes(c);
}

static void
send_continue(HtConn *c)
{
    static const char go[] = "HTTP/1.1 100 Continue\r\n\r\n";
    append_output(c, go, sizeof(go) - 1);
    ev_io_start(c->server->loop, &c->write_watch);
}

/* Routes go by the host: two of them, and others may read the other one. */
static bool
has_two_hosts(const HtHead *head)
{
    uint32_t count = 0;
    for (guint i = 0; i < head->headers->len; i++) {
        const HtHeader *h = &g_array_index(head->headers, HtHeader, i);
        count += g_ascii_strcasecmp(h->name, "Host") == 0;
    }
    return count > 1;
}

static int
on_request_head(http_parser *p)
{
    HtConn *c = p->data;
    HtExchange *x = c->x;
    ht_finish_head(&x->msg, p);
    x->reads_chunks =
        p->http_major > 1 || (p->http_major == 1 && p->http_minor > 0);
    if (x->msg.malformed || has_two_hosts(&x->msg.head)) {
        return refuse_input(c, 400);
    }
    /* What follows CONNECT is no HTTP. */
    if (p->method == HTTP_CONNECT || !ht_has_known_coding(&x->msg.head)) {
        return refuse_input(c, 501);
    }
    if (p->content_length != ULLONG_MAX &&
        p->content_length > x->max_body_bytes) {
        return refuse_input(c, 413);
    }
    const char *expect = ht_find_header(&x->msg.head, "Expect");
    if (expect && x->reads_chunks &&
        g_ascii_strcasecmp(expect, "100-continue") == 0) {
        send_continue(c);
    }
    return PARSER_GO_ON;
}

static int
on_request_body(http_parser *p, const char *at, size_t len)
{
    HtConn *c = p->data;
    if (c->x->body->len + len > c->x->max_body_bytes) {
        return refuse_input(c, 413);
    }
    g_byte_array_append(c->x->body, (const guint8 *)at, (guint)len);
    return PARSER_GO_ON;
}

static int
on_request_end(http_parser *p)
{
    http_parser_pause(p, 1); /* until it is answered; no error */
    return PARSER_GO_ON;
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

/* The request is invalid or too large: answer it and close the connection. */
static void
refuse_request(HtConn *c)
{
    if (!c->x) {
        close_conn(c);
        return;
    }
    c->state = CONN_BUSY;
    c->close_after = true;
    ht_start_answer(c->x, c->refuse_status ? c->refuse_status : 400, "", 0);
    ht_end_answer(c->x);
}

/* Up to the end of a request, or of what was read. */
static void
parse_input(HtConn *c)
{
    c->in_at += http_parser_execute(&c->parser, &request_settings,
                                    (const char *)c->in->data + c->in_at,
                                    c->in->len - c->in_at);
    enum http_errno e = HTTP_PARSER_ERRNO(&c->parser);
    if (e == HPE_PAUSED) {
        c->state = CONN_BUSY;
        c->close_after = !c->x->msg.head.keeps_alive || c->server->closing;
        c->server->handler.on_request(c->server->handler.ctx, c->x);
    }
    else if (e != HPE_OK || c->parser.upgrade) {
        refuse_request(c);
    }
}

static bool
may_parse(const HtConn *c)
{
    return !c->closed && c->state == CONN_READING && c->in_at < c->in->len &&
           count_unsent(c) < MAX_UNSENT_BYTES;
}

/* More is read only while there is room for it. */
static void
drop_parsed(HtConn *c)
{
    if (c->in_at == c->in->len && c->in_at > 0) {
        /* An idle connection holds no memory for its last request. */
        g_byte_array_free(c->in, TRUE);
        c->in = g_byte_array_new();
        c->in_at = 0;
        c->in_bytes = 0;
    }
    else if (c->in_at > c->in->len / 2) {
        g_byte_array_remove_range(c->in, 0, (guint)c->in_at);
        c->in_at = 0;
    }
    if (c->in->len - c->in_at > MAX_PIPELINED_BYTES) {
        ev_io_stop(c->server->loop, &c->read_watch);
    }
    else {
        ev_io_start(c->server->loop, &c->read_watch);
    }
}

/* Begins the requests that were read, as far as one may follow the other.  An
   answer that is given at once leads here again: the loop goes on. */
static void
run_input(HtConn *c)
{
    if (c->running) {
        return;
    }
    c->running = true;
    while (may_parse(c)) {
        parse_input(c);
    }
    c->running = false;
    if (!c->closed) {
        drop_parsed(c);
        weigh(c);
    }
}

static void
on_conn_readable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)loop;
    (void)events;
    HtConn *c = w->data;
    uint8_t buf[HT_READ_BYTES];
    if (c->server->memory && cm_is_over(c->server->memory)) {
        return; /* shed_most comes first */
    }
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
    append_input(c, buf, (size_t)n);
    run_input(c);
}

static void
on_conn_writable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)loop;
    (void)events;
    HtConn *c = w->data;
    if (flush_conn(c)) {
        run_input(c);
    }
}

static void
start_parser(HtConn *c)
{
    http_parser_init(&c->parser, HTTP_REQUEST);
    c->parser.data = c;
}

static HtConn *
accept_one(HtServer *s, int fd)
{
    HtConn *c = g_new0(HtConn, 1);
    c->server = s;
    c->fd = fd;
    c->in = g_byte_array_new();
    c->out = g_byte_array_new();
    c->since_ms = bg_boot_ms();
    c->sent_ms = c->since_ms;
    start_parser(c);
    ev_io_init(&c->read_watch, on_conn_readable, fd, EV_READ);
    ev_io_init(&c->write_watch, on_conn_writable, fd, EV_WRITE);
    c->read_watch.data = c;
    c->write_watch.data = c;
    g_queue_push_tail(&s->conns, c);
    c->link = s->conns.tail;
    c->holder.owner = c;
    weigh(c);
    ev_io_start(s->loop, &c->read_watch);
    return c;
}

/* ---- those that yield --------------------------------------------------- */

/* Its buffers needn't wait for the next tick: nobody looks at them now. */
static void
drop_buffers(HtConn *c)
{
    g_byte_array_free(c->in, TRUE);
    g_byte_array_free(c->out, TRUE);
    c->in = g_byte_array_new();
    c->out = g_byte_array_new();
    c->in_at = 0;
    c->out_at = 0;
    c->in_bytes = 0;
    c->out_bytes = 0;
}

/* What was sent of its answer mustn't look complete. */
static void
cut_conn(HtConn *c)
{
    if (count_unsent(c) > 0) {
        so_reset_on_close(c->fd);
    }
    close_conn(c);
}

/* It has run nothing, and its client is told so.  What follows isn't read. */
static void
refuse_unread(HtConn *c)
{
    drop_buffers(c);
    g_byte_array_set_size(c->x->body, 0);
    c->state = CONN_BUSY;
    c->close_after = true;
    ht_start_answer(c->x, 503, SHED_HEADERS, 0);
    ht_end_answer(c->x);
}

static void
shed_conn(HtConn *c)
{
    const HtHandler *h = &c->server->handler;
    c->close_after = true;
    if (c->x && c->state == CONN_BUSY && h->on_shed) {
        h->on_shed(h->ctx, c->x);
    }
    else if (c->x && c->state == CONN_READING && count_unsent(c) == 0) {
        refuse_unread(c);
    }
    else {
        cut_conn(c);
    }
    if (c->closed) {
        drop_buffers(c);
    }
}

/* Of those allowed, so many may be refused besides, at a time. */
#define REFUSED_SHARE 8
/* A client that takes nothing of its answer for so long may be closed for a
   new one. */
#define EVICT_STALLED_MS 1000

/* Which connection is closed first when there are too many.  One whose request
   is being served is kept, unless its client doesn't take the answer. */
typedef enum { EVICT_IDLE, EVICT_READING, EVICT_UNREAD, EVICT_NEVER } Evict;

static Evict
get_eviction(const HtConn *c, uint64_t now_ms)
{
    if (c->turned_away) {
        return EVICT_NEVER;
    }
    if (count_unsent(c) > 0) {
        bool stalled = now_ms > c->sent_ms + EVICT_STALLED_MS;
        return stalled ? EVICT_UNREAD : EVICT_NEVER;
    }
    if (c->x && c->state == CONN_BUSY) {
        return EVICT_NEVER;
    }
    return c->x ? EVICT_READING : EVICT_IDLE;
}

/* The one that is so for the longest time; NULL: none may be closed. */
static HtConn *
find_evicted(const HtServer *s)
{
    uint64_t now_ms = bg_boot_ms();
    HtConn *found = NULL;
    Evict best = EVICT_NEVER;
    for (GList *l = s->conns.head; l; l = l->next) {
        HtConn *c = l->data;
        Evict e = get_eviction(c, now_ms);
        if (e < best ||
            (found && e == best && get_stage_ms(c) < get_stage_ms(found))) {
            best = e;
            found = c;
        }
    }
    return found;
}

/* False: all connections are at work. */
static bool
evict_one(HtServer *s)
{
    HtConn *c = find_evicted(s);
    if (!c) {
        return false;
    }
    cut_conn(c);
    drop_buffers(c);
    s->evicted++;
    bg_count("gateway_connections_evicted_total", 1);
    return true;
}

/* Refused, and open until its client has read that. */
static void
turn_away(HtConn *c)
{
    static const char answer[] =
        "HTTP/1.1 503 Service Unavailable\r\n" SHED_HEADERS
        "Connection: close\r\nContent-Length: 0\r\n\r\n";
    HtServer *s = c->server;
    c->turned_away = true;
    s->turned_away++;
    s->evicted++;
    bg_count("gateway_connections_refused_total", 1);
    c->state = CONN_BUSY;
    c->close_after = true;
    c->answer_ended = true;
    append_output(c, answer, sizeof(answer) - 1);
    flush_conn(c);
}

static bool
is_full(const HtServer *s)
{
    return s->max_connections &&
           s->conns.length - s->turned_away >= s->max_connections;
}

/* The one that was refused first had the most time to read that. */
static void
close_refused(HtServer *s)
{
    for (GList *l = s->conns.head; l; l = l->next) {
        HtConn *c = l->data;
        if (c->turned_away) {
            close_conn(c);
            return;
        }
    }
}

static void
refuse_conn(HtServer *s, int fd)
{
    if (s->turned_away > s->max_connections / REFUSED_SHARE) {
        close_refused(s);
    }
    turn_away(accept_one(s, fd));
}

/* So many in one turn of the loop: what they send is read before more come, so
   that those that send nothing are told from the others. */
#define MAX_ACCEPTS 32

static void
on_acceptable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)events;
    HtServer *s = w->data;
    for (int i = 0; i < MAX_ACCEPTS; i++) {
        int fd = so_accept(s->fd);
        if (fd < 0 && so_lacks_descriptors() && !evict_one(s)) {
            ev_io_stop(loop, w); /* until the next tick */
        }
        if (fd < 0) {
            return;
        }
        if (is_full(s) && !evict_one(s)) {
            refuse_conn(s, fd);
            continue;
        }
        accept_one(s, fd);
    }
}

/* Before the loop waits, so never inside a callback that looks at one of
   them. */
static void
shed_most(struct ev_loop *loop, ev_prepare *w, int events)
{
    (void)loop;
    (void)events;
    const HtServer *s = w->data;
    while (s->memory && cm_is_over(s->memory)) {
        CmHolder *h = cm_pick(s->memory, bg_boot_ms());
        if (!h) {
            return;
        }
        shed_conn(h->owner);
        bg_count("gateway_clients_shed_total", 1);
    }
}

HtServer *
ht_listen(struct ev_loop *loop, const char *address, const HtHandler *handler,
          GError **err)
{
    int fd = so_listen(address, err);
    if (fd < 0) {
        return NULL;
    }
    HtServer *s = g_new0(HtServer, 1);
    s->loop = loop;
    s->fd = fd;
    s->handler = *handler;
    g_queue_init(&s->conns);
    g_queue_init(&s->closed);
    ev_io_init(&s->watch, on_acceptable, fd, EV_READ);
    s->watch.data = s;
    ev_io_start(loop, &s->watch);
    ev_prepare_init(&s->shed_watch, shed_most);
    s->shed_watch.data = s;
    ev_prepare_start(loop, &s->shed_watch);
    return s;
}

void
ht_destroy_server(HtServer *s)
{
    ev_io_stop(s->loop, &s->watch);
    ev_prepare_stop(s->loop, &s->shed_watch);
    close(s->fd);
    HtConn *c;
    while ((c = g_queue_peek_head(&s->conns))) {
        close_conn(c);
    }
    free_closed(s);
    g_free(s);
}

void
ht_set_limits(HtServer *s, const HtLimits *limits)
{
    s->limits = *limits;
}

void
ht_set_max_connections(HtServer *s, uint32_t most)
{
    s->max_connections = most;
}

uint32_t
ht_get_max_connections(const HtServer *s)
{
    return s->max_connections;
}

uint64_t
ht_count_evicted(const HtServer *s)
{
    return s->evicted;
}

void
ht_set_memory(HtServer *s, Cm *memory)
{
    s->memory = memory;
}

void
ht_note_held(HtExchange *x, uint64_t bytes, bool sent)
{
    x->held_bytes = bytes;
    x->sent = sent;
    weigh(x->conn);
}

void
ht_stop_keep_alive(HtServer *s)
{
    s->closing = true;
    for (GList *l = s->conns.head; l; l = l->next) {
        HtConn *c = l->data;
        c->close_after = true;
    }
}

/* When the server stops, connections are closed only after this idle time, so
   that a request sent just before is still read and answered. */
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
    if (count_unsent(c) > 0) {
        return now_ms > c->sent_ms + STALLED_MS;
    }
    if (c->x) {
        return s->limits.header_ms && age_ms > s->limits.header_ms * 2ull;
    }
    if (s->closing) {
        return age_ms > STOP_IDLE_MS;
    }
    return s->limits.idle_ms && age_ms > s->limits.idle_ms;
}

/* What was received and isn't read is in the VM's memory, too. */
static void
count_unread(HtConn *c)
{
    int unread = 0;
    if (!ev_is_active(&c->read_watch) &&
        ioctl(c->fd, FIONREAD, &unread) != 0) {
        unread = 0;
    }
    if (c->unread_bytes != (uint64_t)unread) {
        c->unread_bytes = (uint64_t)unread;
        weigh(c);
    }
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
        else {
            count_unread(c);
        }
    }
    free_closed(s);
    ev_io_start(s->loop, &s->watch); /* descriptors may have been lacking */
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
    return so_is_closed_by_peer(x->conn->fd);
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
    x->no_body = g_strcmp0(x->msg.head.method, "HEAD") == 0;
    x->chunked = length < 0 && x->reads_chunks && !x->no_body;
    x->until_close = length < 0 && !x->reads_chunks && !x->no_body;
    c->close_after = c->close_after || x->until_close;
    g_autoptr(GString) head = g_string_new(NULL);
    g_string_append_printf(head, "HTTP/1.1 %u %s\r\n%s", status,
                           get_reason(status), headers);
    if (x->chunked) {
        g_string_append(head, "Transfer-Encoding: chunked\r\n");
    }
    else if (!x->until_close && !x->no_body) {
        g_string_append_printf(head, "Content-Length: %lld\r\n",
                               (long long)length);
    }
    g_string_append(head,
                    c->close_after ? "Connection: close\r\n\r\n" : "\r\n");
    append_output(c, head->str, head->len);
}

/* Output is sent from the event loop, so that a head and its body leave in one
   packet. */
static void
schedule_flush(HtConn *c)
{
    ev_io_start(c->server->loop, &c->write_watch);
}

void
ht_write_answer(HtExchange *x, const char *data, size_t len)
{
    HtConn *c = x->conn;
    if (x->no_body) {
        schedule_flush(c);
        return;
    }
    if (len > 0 && x->chunked) {
        char line[24];
        int n = snprintf(line, sizeof(line), "%zx\r\n", len);
        append_output(c, line, (size_t)n);
    }
    append_output(c, data, len);
    if (len > 0 && x->chunked) {
        append_output(c, "\r\n", 2);
    }
    schedule_flush(c);
}

size_t
ht_get_unsent(const HtExchange *x)
{
    return count_unsent(x->conn);
}

void
ht_end_answer(HtExchange *x)
{
    HtConn *c = x->conn;
    if (x->chunked) {
        append_output(c, "0\r\n\r\n", 5);
    }
    c->x = NULL;
    free_exchange(x);
    c->since_ms = bg_boot_ms();
    c->answer_ended = c->close_after;
    if (!c->close_after) {
        c->state = CONN_READING;
        start_parser(c);
    }
    c->sent_ms = c->since_ms;
    if (flush_conn(c)) {
        run_input(c);
    }
}

void
ht_abort_answer(HtExchange *x)
{
    HtConn *c = x->conn;
    bool until_close = x->until_close;
    c->state = CONN_READING; /* close_conn won't call on_gone */
    if (!flush_conn(c)) {
        return;
    }
    if (until_close) {
        so_reset_on_close(c->fd); /* an orderly end would look complete */
    }
    close_conn(c);
}
