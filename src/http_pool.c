#include "http_internal.h"
#include "sockets.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Engines state their idle timeout in whole seconds, rounded.  A request that
   crosses their close is lost, so idle connections are closed a second
   earlier. */
#define KEEP_MARGIN_MS 1100
#define DEFAULT_KEEP_MS 4000 /* without a Keep-Alive header */

typedef struct Conn Conn;

/* One connection of the pool. */
struct Conn {
    HtPool *pool;
    char *address;
    int fd;
    ev_io read_watch;
    ev_io write_watch;
    http_parser parser;
    HtMessage msg;
    HtCall *call; /* NULL: idle */
    bool connecting;
    bool reusable;
    bool skipped;     /* the message being read is interim or another call's */
    bool got_message; /* the call's answer is whole */
    bool parsing;     /* inside the parser's callbacks */
    bool cancelled;   /* by a handler, inside the parser's callbacks */
    uint32_t keep_ms; /* how long it may be idle */
    uint64_t since_ms; /* idle, or connecting, since */
    GList *link;       /* in the pool's conns */
};

struct HtCall {
    HtPool *pool;
    Conn *conn;
    HtCallHandler handler;
    GByteArray *request;
    size_t sent;
    uint32_t connect_ms;
    char *match_name;
    char *match_value;
    bool fresh;
    bool failed; /* no connection could be opened: ends at fail_timer */
    GList *link; /* in the pool's failed calls */
};

struct HtPool {
    struct ev_loop *loop;
    GQueue conns;  /* Conn; also the idle ones */
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
close_conn(Conn *w)
{
    ev_io_stop(w->pool->loop, &w->read_watch);
    ev_io_stop(w->pool->loop, &w->write_watch);
    close(w->fd);
    g_queue_delete_link(&w->pool->conns, w->link);
    ht_free_message(&w->msg);
    g_free(w->address);
    g_free(w);
}

static void
end_call(Conn *w, HtResult result)
{
    HtCall *call = w->call;
    w->call = NULL;
    call->handler.on_end(call->handler.ctx, call, result);
    free_call(call);
}

static void
fail_conn(Conn *w, HtResult result)
{
    HtCall *call = w->call;
    w->call = NULL;
    close_conn(w);
    if (call) {
        call->conn = NULL;
        call->handler.on_end(call->handler.ctx, call,
                             call->sent == 0 ? HT_NOT_SENT : result);
        free_call(call);
    }
}

/* ---- parsing of answers ---- */

static int
on_answer_begin(http_parser *p)
{
    Conn *w = p->data;
    ht_free_message(&w->msg);
    ht_start_message(&w->msg);
    return 0;
}

static int
on_answer_name(http_parser *p, const char *at, size_t len)
{
    Conn *w = p->data;
    ht_add_header_name(&w->msg, at, len);
    return 0;
}

static int
on_answer_value(http_parser *p, const char *at, size_t len)
{
    Conn *w = p->data;
    ht_add_header_value(&w->msg, at, len);
    return 0;
}

static bool
is_for_other_call(const Conn *w)
{
    const HtCall *call = w->call;
    if (!call->match_name) {
        return false;
    }
    const char *got = ht_find_header(&w->msg.head, call->match_name);
    return got && strcmp(got, call->match_value) != 0;
}

static void
read_keep_alive(Conn *w)
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
    Conn *w = p->data;
    ht_finish_head(&w->msg, p);
    w->skipped = p->status_code / 100 == 1 || is_for_other_call(w);
    if (w->skipped) {
        w->reusable = w->reusable && p->status_code / 100 == 1;
        return 0;
    }
    read_keep_alive(w);
    w->call->handler.on_head(w->call->handler.ctx, w->call, &w->msg.head);
    return w->cancelled ? -1 : 0;
}

static int
on_answer_body(http_parser *p, const char *at, size_t len)
{
    Conn *w = p->data;
    if (!w->skipped) {
        w->call->handler.on_data(w->call->handler.ctx, w->call, at, len);
    }
    return w->cancelled ? -1 : 0;
}

static int
on_answer_end(http_parser *p)
{
    Conn *w = p->data;
    if (!w->skipped) {
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
make_idle(Conn *w)
{
    w->got_message = false;
    w->since_ms = bg_boot_ms();
    http_parser_init(&w->parser, HTTP_RESPONSE);
    w->parser.data = w;
    ht_free_message(&w->msg);
}

/* The answer is whole; LEFT unexpected bytes followed it. */
static void
finish_answer(Conn *w, size_t left)
{
    HtCall *call = w->call;
    bool keep = w->reusable && left == 0 && !call->fresh && w->keep_ms > 0 &&
                call->sent == call->request->len;
    w->got_message = false;
    if (keep) {
        make_idle(w);
        end_call(w, HT_DONE);
        return;
    }
    w->call = NULL;
    close_conn(w);
    call->conn = NULL;
    call->handler.on_end(call->handler.ctx, call, HT_DONE);
    free_call(call);
}

static void
parse_input(Conn *w, const uint8_t *data, size_t len)
{
    w->parsing = true;
    size_t used = http_parser_execute(&w->parser, &answer_settings,
                                      (const char *)data, len);
    w->parsing = false;
    if (w->cancelled) {
        close_conn(w);
        return;
    }
    enum http_errno e = HTTP_PARSER_ERRNO(&w->parser);
    if (w->got_message) {
        finish_answer(w, len - used);
    }
    else if (e != HPE_OK || w->parser.upgrade) {
        fail_conn(w, HT_GARBLED);
    }
    else if (len == 0) {
        fail_conn(w, HT_BROKEN);
    }
}

static void
on_readable(struct ev_loop *loop, ev_io *watch, int events)
{
    (void)loop;
    (void)events;
    Conn *w = watch->data;
    uint8_t buf[HT_READ_BYTES];
    ssize_t n = recv(w->fd, buf, sizeof(buf), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    /* An idle connection that sends anything can't be used again. */
    if (n < 0 || !w->call) {
        fail_conn(w, HT_BROKEN);
        return;
    }
    parse_input(w, buf, (size_t)n);
}

static void
send_request(Conn *w)
{
    HtCall *call = w->call;
    while (call->sent < call->request->len) {
        ssize_t n = send(w->fd, call->request->data + call->sent,
                         call->request->len - call->sent, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return;
        }
        if (n < 0 && errno != EINTR) {
            fail_conn(w, HT_BROKEN);
            return;
        }
        call->sent += n > 0 ? (size_t)n : 0;
    }
    ev_io_stop(w->pool->loop, &w->write_watch);
}

static void
on_writable(struct ev_loop *loop, ev_io *watch, int events)
{
    (void)events;
    Conn *w = watch->data;
    if (w->connecting) {
        if (!so_is_connected(w->fd)) {
            fail_conn(w, HT_NOT_SENT);
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

static Conn *
open_conn(HtPool *p, const char *address)
{
    int fd = so_connect(address);
    if (fd < 0) {
        return NULL;
    }
    Conn *w = g_new0(Conn, 1);
    w->pool = p;
    w->address = g_strdup(address);
    w->fd = fd;
    w->connecting = true;
    w->reusable = true;
    w->keep_ms = DEFAULT_KEEP_MS;
    make_idle(w);
    ev_io_init(&w->read_watch, on_readable, fd, EV_READ);
    ev_io_init(&w->write_watch, on_writable, fd, EV_WRITE);
    w->read_watch.data = w;
    w->write_watch.data = w;
    g_queue_push_head(&p->conns, w);
    w->link = p->conns.head;
    return w;
}

/* The idle connection that was used last, as it is the least likely to have
   been closed. */
static Conn *
take_idle(HtPool *p, const HtRequest *req)
{
    uint64_t now_ms = bg_boot_ms();
    Conn *best = NULL;
    for (GList *l = p->conns.head; l; l = l->next) {
        Conn *w = l->data;
        uint64_t idle_ms = now_ms - w->since_ms;
        if (!w->call && !w->connecting && idle_ms < w->keep_ms &&
            (!req->max_idle_ms || idle_ms < req->max_idle_ms) &&
            strcmp(w->address, req->address) == 0 &&
            (!best || w->since_ms > best->since_ms)) {
            best = w;
        }
    }
    return best && !so_is_closed_by_peer(best->fd) ? best : NULL;
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
    g_queue_init(&p->conns);
    g_queue_init(&p->failed);
    ev_timer_init(&p->fail_timer, on_fail_timer, 0., 0.);
    p->fail_timer.data = p;
    return p;
}

void
ht_destroy_pool(HtPool *p)
{
    Conn *w;
    while ((w = g_queue_peek_head(&p->conns))) {
        fail_conn(w, HT_BROKEN);
    }
    on_fail_timer(p->loop, &p->fail_timer, 0);
    ev_timer_stop(p->loop, &p->fail_timer);
    g_free(p);
}

static void
attach_call(HtCall *call, Conn *w)
{
    call->conn = w;
    w->call = call;
    /* Bytes sent into a connection that the far side has just closed would
       be lost, so the write waits until the loop reports it writable. */
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
    Conn *w = req->fresh ? NULL : take_idle(p, req);
    if (!w) {
        w = open_conn(p, req->address);
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
    Conn *w = call->conn;
    w->call = NULL;
    free_call(call);
    so_reset_on_close(w->fd);
    w->cancelled = true;
    if (!w->parsing) {
        close_conn(w);
    } /* else the parser's caller closes it */
}

bool
ht_was_sent(const HtCall *call)
{
    return call->sent > 0;
}

/* 0 when the connection's time is over at NOW_MS. */
static gint
compare_overdue(gconstpointer conn, gconstpointer now_ms)
{
    const Conn *w = conn;
    uint64_t age_ms = *(const uint64_t *)now_ms - w->since_ms;
    bool overdue = w->call ? w->connecting && age_ms > w->call->connect_ms
                           : age_ms >= w->keep_ms;
    return overdue ? 0 : 1;
}

static Conn *
find_overdue(HtPool *p, uint64_t now_ms)
{
    GList *found = g_queue_find_custom(&p->conns, &now_ms, compare_overdue);
    return found ? found->data : NULL;
}

/* A handler may open and close connections, so each search starts over. */
void
ht_tick_pool(HtPool *p, uint64_t now_ms)
{
    Conn *w;
    while ((w = find_overdue(p, now_ms))) {
        if (w->call) {
            so_reset_on_close(w->fd);
            fail_conn(w, HT_NOT_SENT);
        }
        else {
            close_conn(w);
        }
    }
}

void
ht_drop_idle(HtPool *p, const char *address)
{
    GList *next;
    for (GList *l = p->conns.head; l; l = next) {
        next = l->next;
        Conn *w = l->data;
        if (!w->call && strcmp(w->address, address) == 0) {
            close_conn(w);
        }
    }
}

/* ---- ht_fetch ----------------------------------------------------------- */

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
finish_fetch(Fetch *f, HtResult result, bool timed_out)
{
    ev_timer_stop(f->loop, &f->timer);
    HtReply reply = {result, timed_out, f->status, f->body};
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
on_fetch_end(void *ctx, HtCall *call, HtResult result)
{
    (void)call;
    finish_fetch(ctx, result, false);
}

static void
on_fetch_timeout(struct ev_loop *loop, ev_timer *t, int events)
{
    (void)loop;
    (void)events;
    Fetch *f = t->data;
    HtResult result = ht_was_sent(f->call) ? HT_BROKEN : HT_NOT_SENT;
    ht_cancel_call(f->call);
    f->status = 0;
    finish_fetch(f, result, true);
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
