#include "detour_server.h"

#include "frames.h"
#include "json_log.h"
#include "sockets.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Within the time for which the asking gateway waits for an answer. */
#define CONNECT_MS 100
#define ASK_MS 1000 /* from the connection to its first frame */
#define MAX_ASK_BYTES 2048
/* Of each direction: read on only when these were passed on. */
#define PIECE_BYTES (16 * 1024)
/* Besides the detours that may be open: connections that are refused, with
   the reason. */
#define MAX_REFUSALS 64

typedef enum {
    DETOUR_WAITS, /* for the ask */
    DETOUR_CONNECTS,
    DETOUR_PASSES,
    DETOUR_ENDS /* the last bytes go to the gateway */
} DetourState;

typedef struct {
    Ds *server;
    DetourState state;
    int gateway_fd;
    int upstream_fd; /* -1: none */
    ev_io gateway_read;
    ev_io gateway_write;
    ev_io upstream_read;
    ev_io upstream_write;
    GByteArray *up;   /* to the upstream; the ask before that */
    GByteArray *down; /* to the gateway */
    char *vm;
    char *address;
    char *request;
    uint64_t since_ms; /* in this state */
    uint64_t bytes_up;
    uint64_t bytes_down;
    GList *link;
} Detour;

struct Ds {
    struct ev_loop *loop;
    int fd;
    ev_io accept_watch;
    DsHandler handler;
    uint32_t most;
    uint32_t open; /* connecting or passing */
    GQueue detours;
};

static bool
is_open(const Detour *d)
{
    return d->upstream_fd >= 0;
}

static void
log_end(const Detour *d, const char *why)
{
    JlLine *l = jl_begin("detour-served");
    jl_text(l, "id", d->request);
    jl_text(l, "for", d->vm);
    jl_text(l, "to", d->address);
    jl_text(l, "why", why);
    jl_number(l, "bytes_up", (int64_t)d->bytes_up);
    jl_number(l, "bytes_down", (int64_t)d->bytes_down);
    jl_end(l);
}

/* Bytes under way are dropped: a request that was given up must not reach the
   upstream later. */
static void
close_upstream(Detour *d)
{
    if (!is_open(d)) {
        return;
    }
    ev_io_stop(d->server->loop, &d->upstream_read);
    ev_io_stop(d->server->loop, &d->upstream_write);
    so_reset_on_close(d->upstream_fd);
    close(d->upstream_fd);
    d->upstream_fd = -1;
    d->server->open--;
}

static void
close_detour(Detour *d, const char *why)
{
    if (d->state == DETOUR_PASSES || d->state == DETOUR_ENDS) {
        log_end(d, why);
    }
    close_upstream(d);
    ev_io_stop(d->server->loop, &d->gateway_read);
    ev_io_stop(d->server->loop, &d->gateway_write);
    close(d->gateway_fd);
    g_queue_delete_link(&d->server->detours, d->link);
    g_byte_array_free(d->up, TRUE);
    g_byte_array_free(d->down, TRUE);
    g_free(d->vm);
    g_free(d->address);
    g_free(d->request);
    g_free(d);
}

static void
set_state(Detour *d, DetourState state)
{
    d->state = state;
    d->since_ms = bg_boot_ms();
}

/* ---- writing ------------------------------------------------------------ */

/* Sends what it can of BYTES; false: the connection failed. */
static bool
flush_bytes(int fd, GByteArray *bytes)
{
    while (bytes->len > 0) {
        ssize_t n = send(fd, bytes->data, bytes->len, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return true;
        }
        if (n < 0 && errno != EINTR) {
            return false;
        }
        if (n > 0) {
            g_byte_array_remove_range(bytes, 0, (guint)n);
        }
    }
    return true;
}

static void
queue_frame(Detour *d, const Gwp__Frame *f)
{
    g_autoptr(GByteArray) bytes = fr_pack(f);
    g_byte_array_append(d->down, bytes->data, bytes->len);
    ev_io_start(d->server->loop, &d->gateway_write);
}

static void
queue_answer(Detour *d, Gwp__DetourResult result)
{
    Gwp__DetourAnswer a = GWP__DETOUR_ANSWER__INIT;
    a.result = result;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_DETOUR_ANSWER;
    f.detour_answer = &a;
    queue_frame(d, &f);
}

static void
refuse(Detour *d, Gwp__DetourResult result)
{
    static const char *const names[] = {"open", "no path", "cut off", "full",
                                        "refused"};
    JlLine *l = jl_begin("detour-refused");
    jl_text(l, "id", d->request);
    jl_text(l, "for", d->vm);
    jl_text(l, "to", d->address);
    jl_text(l, "why", names[result]);
    jl_end(l);
    bg_count("gateway_detours_refused_total", 1);
    close_upstream(d);
    queue_answer(d, result);
    set_state(d, DETOUR_ENDS);
}

static void
end_orderly(Detour *d)
{
    Gwp__DetourEnd end = GWP__DETOUR_END__INIT;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_DETOUR_END;
    f.detour_end = &end;
    queue_frame(d, &f);
    close_upstream(d);
    set_state(d, DETOUR_ENDS);
}

/* ---- the upstream's side ------------------------------------------------ */

static void
queue_data(Detour *d, uint8_t *data, size_t len)
{
    Gwp__DetourData m = GWP__DETOUR_DATA__INIT;
    m.data.data = data;
    m.data.len = len;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_DETOUR_DATA;
    f.detour_data = &m;
    queue_frame(d, &f);
    d->bytes_down += len;
    ev_io_stop(d->server->loop, &d->upstream_read);
}

static void
on_upstream_readable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)loop;
    (void)events;
    Detour *d = w->data;
    uint8_t buf[PIECE_BYTES];
    ssize_t n = recv(d->upstream_fd, buf, sizeof(buf), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n > 0) {
        queue_data(d, buf, (size_t)n);
    }
    else if (n == 0) {
        end_orderly(d);
    }
    else {
        close_detour(d, "upstream broke off");
    }
}

static void
finish_connect(Detour *d)
{
    Ds *s = d->server;
    bool opened = so_is_connected(d->upstream_fd);
    s->handler.on_connect(s->handler.ctx, d->address, opened);
    if (!opened) {
        refuse(d, GWP__DETOUR_RESULT__DETOUR_NO_PATH);
        return;
    }
    bg_count("gateway_detours_served_total", 1);
    set_state(d, DETOUR_PASSES);
    queue_answer(d, GWP__DETOUR_RESULT__DETOUR_OPEN);
    ev_io_stop(s->loop, &d->upstream_write);
    ev_io_start(s->loop, &d->upstream_read);
}

static void
on_upstream_writable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)events;
    Detour *d = w->data;
    if (d->state == DETOUR_CONNECTS) {
        finish_connect(d);
        return;
    }
    if (!flush_bytes(d->upstream_fd, d->up)) {
        close_detour(d, "upstream broke off");
        return;
    }
    if (d->up->len == 0) {
        ev_io_stop(loop, w);
        ev_io_start(loop, &d->gateway_read);
    }
}

static bool
connect_upstream(Detour *d)
{
    d->upstream_fd = so_connect(d->address);
    if (!is_open(d)) {
        return false;
    }
    d->server->open++;
    ev_io_init(&d->upstream_read, on_upstream_readable, d->upstream_fd,
               EV_READ);
    ev_io_init(&d->upstream_write, on_upstream_writable, d->upstream_fd,
               EV_WRITE);
    d->upstream_read.data = d;
    d->upstream_write.data = d;
    ev_io_start(d->server->loop, &d->upstream_write);
    set_state(d, DETOUR_CONNECTS);
    return true;
}

/* ---- the gateway's side ------------------------------------------------- */

static void
take_ask(Detour *d, const Gwp__DetourAsk *ask)
{
    Ds *s = d->server;
    d->vm = g_strdup(ask->vm);
    d->address = g_strdup(ask->address);
    d->request = g_strdup(ask->request);
    Gwp__DetourResult result = s->handler.check(s->handler.ctx, ask);
    if (result == GWP__DETOUR_RESULT__DETOUR_OPEN && s->open >= s->most) {
        result = GWP__DETOUR_RESULT__DETOUR_FULL;
    }
    if (result != GWP__DETOUR_RESULT__DETOUR_OPEN) {
        refuse(d, result);
    }
    else if (!connect_upstream(d)) {
        refuse(d, GWP__DETOUR_RESULT__DETOUR_NO_PATH);
    }
}

static void
read_ask(Detour *d)
{
    size_t at = 0;
    Gwp__Frame *f;
    FrResult r = fr_next(d->up, &at, MAX_ASK_BYTES, &f);
    if (r == FR_PARTIAL) {
        return;
    }
    /* The gateway sends nothing else before it has an answer. */
    bool valid = r == FR_WHOLE && at == d->up->len &&
                 f->body_case == GWP__FRAME__BODY_DETOUR_ASK;
    g_byte_array_set_size(d->up, 0);
    if (valid) {
        take_ask(d, f->detour_ask);
    }
    if (r == FR_WHOLE) {
        gwp__frame__free_unpacked(f, NULL);
    }
    if (!valid) {
        bg_log(BG_WARN, "detour", "closed a connection that begins with %s",
               r == FR_WHOLE ? "another frame" : "no frame");
        close_detour(d, "no ask");
    }
}

static void
pass_up(Detour *d)
{
    d->bytes_up += d->up->len;
    ev_io_stop(d->server->loop, &d->gateway_read);
    ev_io_start(d->server->loop, &d->upstream_write);
}

static void
on_gateway_readable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)loop;
    (void)events;
    Detour *d = w->data;
    uint8_t buf[PIECE_BYTES];
    ssize_t n = recv(d->gateway_fd, buf, sizeof(buf), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    /* The other gateway gave the request up, has its answer, or is gone. */
    if (n <= 0) {
        close_detour(d, "closed by the gateway");
        return;
    }
    if (d->state == DETOUR_ENDS) {
        return; /* sent before it read the end */
    }
    g_byte_array_append(d->up, buf, (guint)n);
    if (d->state == DETOUR_WAITS) {
        read_ask(d);
    }
    else if (d->state == DETOUR_CONNECTS) {
        close_detour(d, "bytes before the answer");
    }
    else {
        pass_up(d);
    }
}

static void
on_gateway_writable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)events;
    Detour *d = w->data;
    if (!flush_bytes(d->gateway_fd, d->down)) {
        close_detour(d, "gateway broke off");
        return;
    }
    if (d->down->len > 0) {
        return;
    }
    ev_io_stop(loop, w);
    if (d->state == DETOUR_ENDS) {
        close_detour(d, "ended by the upstream");
    }
    else {
        ev_io_start(loop, &d->upstream_read);
    }
}

static void
add_detour(Ds *s, int fd)
{
    Detour *d = g_new0(Detour, 1);
    d->server = s;
    d->gateway_fd = fd;
    d->upstream_fd = -1;
    d->up = g_byte_array_new();
    d->down = g_byte_array_new();
    set_state(d, DETOUR_WAITS);
    ev_io_init(&d->gateway_read, on_gateway_readable, fd, EV_READ);
    ev_io_init(&d->gateway_write, on_gateway_writable, fd, EV_WRITE);
    d->gateway_read.data = d;
    d->gateway_write.data = d;
    ev_io_start(s->loop, &d->gateway_read);
    g_queue_push_tail(&s->detours, d);
    d->link = s->detours.tail;
}

static void
on_acceptable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)events;
    Ds *s = w->data;
    int fd;
    while ((fd = so_accept(s->fd)) >= 0) {
        if (s->detours.length >= s->most + MAX_REFUSALS) {
            bg_count("gateway_detours_dropped_total", 1);
            close(fd);
            continue;
        }
        add_detour(s, fd);
    }
    if (so_lacks_descriptors()) {
        ev_io_stop(loop, w); /* until the next tick */
    }
}

/* ---- the server --------------------------------------------------------- */

Ds *
ds_create(struct ev_loop *loop, const DsParams *params,
          const DsHandler *handler, GError **err)
{
    int fd = so_listen(params->address, err);
    if (fd < 0) {
        return NULL;
    }
    Ds *s = g_new0(Ds, 1);
    s->loop = loop;
    s->fd = fd;
    s->handler = *handler;
    s->most = params->most;
    g_queue_init(&s->detours);
    ev_io_init(&s->accept_watch, on_acceptable, fd, EV_READ);
    s->accept_watch.data = s;
    ev_io_start(loop, &s->accept_watch);
    return s;
}

void
ds_destroy(Ds *s)
{
    ev_io_stop(s->loop, &s->accept_watch);
    close(s->fd);
    Detour *d;
    while ((d = g_queue_peek_head(&s->detours))) {
        close_detour(d, "the gateway stops");
    }
    g_free(s);
}

static void
check_detour(Detour *d, uint64_t now_ms)
{
    Ds *s = d->server;
    uint64_t age_ms = now_ms - d->since_ms;
    if (d->state == DETOUR_CONNECTS && age_ms >= CONNECT_MS) {
        s->handler.on_connect(s->handler.ctx, d->address, false);
        refuse(d, GWP__DETOUR_RESULT__DETOUR_NO_PATH);
    }
    else if (d->state == DETOUR_PASSES && d->up->len > 0 &&
             !so_is_connected(d->gateway_fd)) {
        /* It is not read while the upstream does not take what it sent. */
        close_detour(d, "closed by the gateway");
    }
    else if ((d->state == DETOUR_WAITS || d->state == DETOUR_ENDS) &&
             age_ms >= ASK_MS && d->down->len == 0) {
        close_detour(d, "no ask");
    }
}

void
ds_on_tick(Ds *s, uint64_t now_ms)
{
    ev_io_start(s->loop, &s->accept_watch);
    GList *next;
    for (GList *l = s->detours.head; l; l = next) {
        next = l->next;
        check_detour(l->data, now_ms);
    }
}

uint32_t
ds_count(const Ds *s)
{
    return s->open;
}
