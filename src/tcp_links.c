#include "tcp_links.h"

#include "frames.h"
#include "sockets.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Limit of the output queued for a far end that does not read.  Frames beyond
   it are dropped, and a peer's link is closed. */
#define MAX_UNSENT_BYTES (16 * 1024 * 1024)
#define CONNECT_TIMEOUT_MS 400
/* The jitter spreads the members of a lost relay. */
#define RECONNECT_MS 100
#define RECONNECT_JITTER_MS 100

struct LkPeer {
    Lk *links;
    int fd;
    bool outgoing; /* our own link */
    bool connecting;
    bool urgent;
    bool dispatching; /* inside on_frame for one of its frames */
    bool dropped;     /* closed meanwhile: freed after the dispatch */
    bool overflowed; /* frames for it were dropped: a tick closes the link of a
                        peer, but not our own */
    ev_io read_watch;
    ev_io write_watch;
    GByteArray *in;
    GByteArray *out;
    char *vm;
    void *user;
    uint64_t received_ms; /* the last byte */
    uint64_t frame_ms;    /* the last whole frame */
    uint64_t sent_ms;
    GList *link; /* in the peers of its Lk; NULL: our own link */
};

struct Lk {
    struct ev_loop *loop;
    int fd;
    ev_io accept_watch;
    LkHandler handler;
    BgRandom rng;
    GQueue peers;       /* LkPeer, linked to us */
    uint32_t max_peers; /* 0: not limited */
    guint next_chosen;  /* index of the next peer of lk_send_some */
    char *target;       /* NULL: none */
    LkPeer *up;         /* our own link; NULL: none */
    uint64_t next_connect_ms;
};

static void
free_peer(LkPeer *p)
{
    g_byte_array_free(p->in, TRUE);
    g_byte_array_free(p->out, TRUE);
    g_free(p->vm);
    g_free(p);
}

static void
drop_peer(LkPeer *p)
{
    ev_io_stop(p->links->loop, &p->read_watch);
    ev_io_stop(p->links->loop, &p->write_watch);
    close(p->fd);
    p->dropped = p->dispatching;
    if (!p->dropped) {
        free_peer(p);
    }
}

static void
close_peer(LkPeer *p)
{
    Lk *l = p->links;
    if (!p->outgoing) {
        g_queue_delete_link(&l->peers, p->link);
        l->handler.on_peer(l->handler.ctx, p, false);
        drop_peer(p);
        return;
    }
    bool was_open = !p->connecting;
    l->up = NULL;
    l->next_connect_ms = bg_boot_ms() + RECONNECT_MS +
                         bg_pick_random(&l->rng, RECONNECT_JITTER_MS);
    drop_peer(p);
    if (was_open) {
        l->handler.on_link(l->handler.ctx, false);
    }
    else {
        l->handler.on_connect_failed(l->handler.ctx);
    }
}

static void
flush_peer(LkPeer *p)
{
    while (p->out->len > 0) {
        ssize_t n = send(p->fd, p->out->data, p->out->len, MSG_NOSIGNAL);
        if (n <= 0) {
            /* on_readable gets the error and closes the link. */
            return;
        }
        g_byte_array_remove_range(p->out, 0, (guint)n);
    }
    ev_io_stop(p->links->loop, &p->write_watch);
}

static void
send_bytes(LkPeer *p, const GByteArray *bytes)
{
    p->overflowed =
        p->overflowed || p->out->len + bytes->len > MAX_UNSENT_BYTES;
    if (p->overflowed) {
        return;
    }
    g_byte_array_append(p->out, bytes->data, bytes->len);
    p->sent_ms = bg_boot_ms();
    if (!p->connecting) {
        ev_io_start(p->links->loop, &p->write_watch);
    }
}

static void
send_frame(LkPeer *p, const Gwp__Frame *frame)
{
    g_autoptr(GByteArray) bytes = fr_pack(frame);
    send_bytes(p, bytes);
}

/* A frame without a body. */
static void
send_heartbeat(LkPeer *p)
{
    Gwp__Frame f = GWP__FRAME__INIT;
    send_frame(p, &f);
}

/* Handles all whole frames of the input.  Handling one may close this link.
   False: the input is not a valid frame. */
static bool
dispatch_frames(LkPeer *p, size_t *taken)
{
    Gwp__Frame *f;
    FrResult r = FR_PARTIAL;
    while (!p->dropped &&
           (r = fr_next(p->in, taken, FR_MAX_BYTES, &f)) == FR_WHOLE) {
        p->frame_ms = bg_boot_ms();
        p->links->handler.on_frame(p->links->handler.ctx,
                                   p->outgoing ? NULL : p, f);
        gwp__frame__free_unpacked(f, NULL);
    }
    return r != FR_INVALID;
}

static void
read_frames(LkPeer *p)
{
    size_t taken = 0;
    p->dispatching = true;
    bool valid = dispatch_frames(p, &taken);
    p->dispatching = false;
    if (p->dropped) {
        free_peer(p);
    }
    else if (!valid) {
        close_peer(p);
    }
    else {
        g_byte_array_remove_range(p->in, 0, (guint)taken);
    }
}

static void
on_readable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)loop;
    (void)events;
    LkPeer *p = w->data;
    uint8_t buf[16384];
    ssize_t n = recv(p->fd, buf, sizeof(buf), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (n <= 0) {
        close_peer(p);
        return;
    }
    p->received_ms = bg_boot_ms();
    g_byte_array_append(p->in, buf, (guint)n);
    read_frames(p);
}

static void
send_hello(LkPeer *p)
{
    Gwp__Hello hello = GWP__HELLO__INIT;
    p->links->handler.fill_hello(p->links->handler.ctx, &hello);
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_HELLO;
    f.hello = &hello;
    send_frame(p, &f);
}

static void
on_writable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)events;
    LkPeer *p = w->data;
    if (p->connecting) {
        if (!so_is_connected(p->fd)) {
            close_peer(p);
            return;
        }
        p->connecting = false;
        p->received_ms = bg_boot_ms();
        ev_io_start(loop, &p->read_watch);
        send_hello(p);
        p->links->handler.on_link(p->links->handler.ctx, true);
    }
    flush_peer(p);
}

static LkPeer *
create_peer(Lk *l, int fd)
{
    LkPeer *p = g_new0(LkPeer, 1);
    p->links = l;
    p->fd = fd;
    p->in = g_byte_array_new();
    p->out = g_byte_array_new();
    p->vm = g_strdup("");
    p->received_ms = bg_boot_ms();
    p->frame_ms = p->received_ms;
    ev_io_init(&p->read_watch, on_readable, fd, EV_READ);
    ev_io_init(&p->write_watch, on_writable, fd, EV_WRITE);
    p->read_watch.data = p;
    p->write_watch.data = p;
    return p;
}

/* The one that has said nothing of itself for the longest time; NULL: all
   have. */
static LkPeer *
find_stranger(const Lk *l)
{
    for (GList *p = l->peers.head; p; p = p->next) {
        LkPeer *peer = p->data;
        if (!peer->vm) {
            return peer;
        }
    }
    return NULL;
}

/* False: all links are of gateways that are known. */
static bool
make_room(Lk *l)
{
    if (!l->max_peers || l->peers.length < l->max_peers) {
        return true;
    }
    bg_count("gateway_links_refused_total", 1);
    LkPeer *stranger = find_stranger(l);
    if (stranger) {
        close_peer(stranger);
    }
    return stranger != NULL;
}

static void
on_acceptable(struct ev_loop *loop, ev_io *w, int events)
{
    (void)events;
    Lk *l = w->data;
    int fd;
    while ((fd = so_accept(l->fd)) >= 0) {
        if (!make_room(l)) {
            close(fd);
            continue;
        }
        LkPeer *p = create_peer(l, fd);
        g_queue_push_tail(&l->peers, p);
        p->link = l->peers.tail;
        ev_io_start(loop, &p->read_watch);
        l->handler.on_peer(l->handler.ctx, p, true);
    }
    if (so_lacks_descriptors()) {
        ev_io_stop(loop, w); /* until the next tick */
    }
}

Lk *
lk_create(struct ev_loop *loop, const char *listen_address,
          const LkHandler *handler, GError **err)
{
    int fd = so_listen(listen_address, err);
    if (fd < 0) {
        return NULL;
    }
    Lk *l = g_new0(Lk, 1);
    l->loop = loop;
    l->fd = fd;
    l->handler = *handler;
    bg_seed_random(&l->rng, bg_now_us() ^ g_str_hash(listen_address));
    g_queue_init(&l->peers);
    ev_io_init(&l->accept_watch, on_acceptable, fd, EV_READ);
    l->accept_watch.data = l;
    ev_io_start(loop, &l->accept_watch);
    return l;
}

void
lk_set_max_peers(Lk *l, uint32_t most)
{
    l->max_peers = most;
}

void
lk_close(Lk *l)
{
    ev_io_stop(l->loop, &l->accept_watch);
    close(l->fd);
    lk_set_target(l, NULL);
    LkPeer *p;
    while ((p = g_queue_peek_head(&l->peers))) {
        close_peer(p);
    }
}

void
lk_destroy(Lk *l)
{
    g_free(l->target);
    g_free(l);
}

static void
connect_up(Lk *l, uint64_t now_ms)
{
    l->next_connect_ms = now_ms + RECONNECT_MS;
    int fd = so_connect(l->target);
    if (fd < 0) {
        return;
    }
    l->up = create_peer(l, fd);
    l->up->outgoing = true;
    l->up->connecting = true;
    ev_io_start(l->loop, &l->up->write_watch);
}

void
lk_set_target(Lk *l, const char *address)
{
    if (g_strcmp0(l->target, address) == 0) {
        return;
    }
    g_free(l->target);
    l->target = g_strdup(address);
    if (l->up) {
        drop_peer(l->up);
        l->up = NULL;
    }
    uint64_t now_ms = bg_boot_ms();
    if (l->target && now_ms >= l->next_connect_ms) {
        connect_up(l, now_ms);
    }
}

const char *
lk_get_target(const Lk *l)
{
    return l->target;
}

bool
lk_is_open(const Lk *l)
{
    return l->up && !l->up->connecting;
}

uint64_t
lk_get_frame_age_ms(const Lk *l, uint64_t now_ms)
{
    return l->up ? now_ms - l->up->frame_ms : UINT64_MAX;
}

void
lk_send_up(Lk *l, const Gwp__Frame *frame)
{
    if (lk_is_open(l)) {
        send_frame(l->up, frame);
    }
}

void
lk_send_down(Lk *l, LkPeer *to, const Gwp__Frame *frame)
{
    if (to) {
        send_frame(to, frame);
        return;
    }
    g_autoptr(GByteArray) bytes = fr_pack(frame);
    for (GList *p = l->peers.head; p; p = p->next) {
        send_bytes(p->data, bytes);
    }
}

uint32_t
lk_send_some(Lk *l, uint32_t count, const Gwp__Frame *frame)
{
    uint32_t n = MIN(count, l->peers.length);
    for (uint32_t i = 0; i < n; i++) {
        guint nth = (l->next_chosen + i) % l->peers.length;
        send_frame(g_queue_peek_nth(&l->peers, nth), frame);
    }
    l->next_chosen += n;
    return n;
}

void
lk_set_urgent(LkPeer *p, bool urgent)
{
    p->urgent = urgent;
}

void
lk_send_urgent(Lk *l, const Gwp__Frame *frame)
{
    g_autoptr(GByteArray) bytes = NULL;
    for (GList *p = l->peers.head; p; p = p->next) {
        if (((LkPeer *)p->data)->urgent) {
            bytes = bytes ? bytes : fr_pack(frame);
            send_bytes(p->data, bytes);
        }
    }
}

uint32_t
lk_count_peers(const Lk *l)
{
    return l->peers.length;
}

void
lk_visit_peers(Lk *l, void (*visit)(void *ctx, LkPeer *p), void *ctx)
{
    for (GList *p = l->peers.head; p; p = p->next) {
        visit(ctx, p->data);
    }
}

const char *
lk_get_vm(const LkPeer *p)
{
    return p->vm;
}

void
lk_set_vm(LkPeer *p, const char *vm)
{
    GList *next;
    for (GList *l = p->links->peers.head; l; l = next) {
        next = l->next;
        LkPeer *former = l->data;
        if (former != p && strcmp(former->vm, vm) == 0) {
            close_peer(former);
        }
    }
    g_free(p->vm);
    p->vm = g_strdup(vm);
}

void *
lk_get_user(const LkPeer *p)
{
    return p->user;
}

void
lk_set_user(LkPeer *p, void *user)
{
    p->user = user;
}

static void
send_due_heartbeat(LkPeer *p, uint64_t now_ms)
{
    if (!p->connecting && now_ms >= p->sent_ms + LK_HEARTBEAT_MS) {
        send_heartbeat(p);
    }
}

static void
check_up(Lk *l, uint64_t now_ms)
{
    uint64_t max_ms = l->up->connecting ? CONNECT_TIMEOUT_MS : LK_SILENT_MS;
    if (now_ms > l->up->received_ms + max_ms) {
        close_peer(l->up);
        return;
    }
    send_due_heartbeat(l->up, now_ms);
}

void
lk_on_tick(Lk *l, uint64_t now_ms)
{
    ev_io_start(l->loop, &l->accept_watch);
    if (l->up) {
        check_up(l, now_ms);
    }
    else if (l->target && now_ms >= l->next_connect_ms) {
        connect_up(l, now_ms);
    }
    GList *next;
    for (GList *p = l->peers.head; p; p = next) {
        next = p->next;
        LkPeer *peer = p->data;
        if (peer->overflowed ||
            now_ms > peer->received_ms + LK_SILENT_MS * 2) {
            close_peer(peer);
            continue;
        }
        send_due_heartbeat(peer, now_ms);
    }
}
