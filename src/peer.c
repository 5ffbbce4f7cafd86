#include "peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <openssl/crypto.h>
#include <openssl/hmac.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#define PROTOCOL_VERSION 2
#define NONCE_BYTES 32
#define PROOF_BYTES 32
#define MAX_HANDSHAKE_FRAME 4096 /* bytes, until the link is authenticated */
#define MAX_QUEUED (8u * 1024 * 1024) /* bytes to send, for each link */
#define REDIAL_MS 200
#define POLL_MS 50
#define READ_CHUNK 65536

typedef struct {
    int fd;
    int dial_index; /* index of the dialled target; -1: accepted link */
    bool connecting;
    bool hello_seen;                /* node, data_centre and role are set */
    bool up;                        /* the far end is authenticated */
    uint8_t nonce[NONCE_BYTES];     /* this end's challenge */
    uint8_t far_nonce[NONCE_BYTES]; /* the far end's challenge */
    bool closing;                   /* the link thread will drop it */
    char *node;
    char *data_centre;
    char *role;
    GByteArray *in;
    GByteArray *out; /* under the net's lock */
    uint64_t last_in_ms;
    uint64_t opened_ms;
} Link;

typedef struct {
    struct sockaddr_in addr;
    uint64_t next_try_ms;
    bool linked;       /* a link dialled to it exists */
    bool bridge;       /* in another data centre */
    char *node;        /* process last reached there */
    char *data_centre; /* of that process */
} Target;

struct PeerNet {
    PeerSettings settings;
    PeerHandlers on;
    int listen_fd;
    int wake_fd;
    pthread_t thread;
    bool started;
    atomic_bool stopping;
    pthread_mutex_t lock; /* guards LINKS and each link's out buffer */
    GPtrArray *links;     /* Link */
    GArray *targets;      /* Target */
    uint64_t next_heartbeat_ms;
    uint64_t heartbeat_seq;
    atomic_bool bridging;
};

/* ---- addresses ---------------------------------------------------------- */

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
    const char *colon = strrchr(text, ':');
    if (!colon) {
        return false;
    }
    g_autofree char *host = g_strndup(text, (gsize)(colon - text));
    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    out->sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10));
    return inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

static void
clear_target(gpointer p)
{
    Target *t = p;
    g_free(t->node);
    g_free(t->data_centre);
}

static void
add_targets(PeerNet *n, const char *dial, bool bridge)
{
    g_auto(GStrv) words = g_strsplit(dial, ",", -1);
    for (char **w = words; *w; w++) {
        Target t = {.bridge = bridge};
        g_strstrip(*w);
        if (**w && parse_address(*w, &t.addr)) {
            g_array_append_val(n->targets, t);
        }
    }
}

/* ---- creation and destruction ------------------------------------------- */

static void
free_link(gpointer p)
{
    Link *l = p;
    close(l->fd);
    g_byte_array_free(l->in, TRUE);
    g_byte_array_free(l->out, TRUE);
    g_free(l->node);
    g_free(l->data_centre);
    g_free(l->role);
    g_free(l);
}

PeerNet *
peer_create(const PeerSettings *s, const PeerHandlers *handlers)
{
    PeerNet *n = g_new0(PeerNet, 1);
    n->settings = *s;
    n->settings.node = g_strdup(s->node);
    n->settings.data_centre = g_strdup(s->data_centre);
    n->settings.role = g_strdup(s->role);
    n->settings.listen = g_strdup(s->listen);
    n->settings.shared_key = g_strdup(s->shared_key);
    n->settings.dial = n->settings.bridges = NULL;
    n->on = *handlers;
    n->listen_fd = -1;
    n->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    pthread_mutex_init(&n->lock, NULL);
    n->links = g_ptr_array_new_with_free_func(free_link);
    n->targets = g_array_new(FALSE, TRUE, sizeof(Target));
    g_array_set_clear_func(n->targets, clear_target);
    add_targets(n, s->dial, false);
    add_targets(n, s->bridges ? s->bridges : "", true);
    return n;
}

void
peer_destroy(PeerNet *n)
{
    if (!n) {
        return;
    }
    peer_stop(n);
    g_ptr_array_free(n->links, TRUE);
    g_array_free(n->targets, TRUE);
    if (n->listen_fd >= 0) {
        close(n->listen_fd);
    }
    close(n->wake_fd);
    pthread_mutex_destroy(&n->lock);
    g_free((char *)n->settings.node);
    g_free((char *)n->settings.data_centre);
    g_free((char *)n->settings.role);
    g_free((char *)n->settings.listen);
    g_free((char *)n->settings.shared_key);
    g_free(n);
}

/* ---- frames out --------------------------------------------------------- */

static GByteArray *
pack_frame(const Bg__Frame *frame)
{
    size_t len = bg__frame__get_packed_size(frame);
    GByteArray *bytes = g_byte_array_sized_new((guint)len + 4);
    g_byte_array_set_size(bytes, (guint)len + 4);
    uint32_t head = htonl((uint32_t)len);
    memcpy(bytes->data, &head, 4);
    bg__frame__pack(frame, bytes->data + 4);
    return bytes;
}

/* Under the lock. */
static void
queue_bytes(Link *l, const GByteArray *bytes)
{
    if (l->out->len + bytes->len > MAX_QUEUED) {
        l->closing = true;
        bg_count("peer_overflows_total", 1);
        return;
    }
    g_byte_array_append(l->out, bytes->data, bytes->len);
}

static bool
matches(const char *want, const char *have)
{
    return !want || (have && strcmp(want, have) == 0);
}

typedef struct {
    const char *node;
    const char *data_centre;
    const char *not_data_centre;
    const char *role;
} LinkFilter;

static bool
matches_filter(const LinkFilter *f, const Link *l)
{
    return l->up && !l->closing && matches(f->node, l->node) &&
           matches(f->data_centre, l->data_centre) &&
           matches(f->role, l->role) &&
           (!f->not_data_centre ||
            strcmp(f->not_data_centre, l->data_centre) != 0);
}

static void
send_filtered(PeerNet *n, const LinkFilter *f, const Bg__Frame *frame)
{
    GByteArray *bytes = pack_frame(frame);
    pthread_mutex_lock(&n->lock);
    for (guint i = 0; i < n->links->len; i++) {
        Link *l = n->links->pdata[i];
        if (matches_filter(f, l)) {
            queue_bytes(l, bytes);
            bg_count("peer_sent_bytes_total", bytes->len);
        }
    }
    pthread_mutex_unlock(&n->lock);
    g_byte_array_free(bytes, TRUE);
    uint64_t one = 1;
    ssize_t done = write(n->wake_fd, &one, sizeof(one));
    (void)done; /* fails only if the eventfd is full, which wakes it too */
}

void
peer_send(PeerNet *n, const char *node, const char *data_centre,
          const char *role, const Bg__Frame *frame)
{
    LinkFilter f = {node, data_centre, NULL, role};
    send_filtered(n, &f, frame);
}

void
peer_send_other_centres(PeerNet *n, const char *role, const Bg__Frame *frame)
{
    LinkFilter f = {NULL, NULL, n->settings.data_centre, role};
    send_filtered(n, &f, frame);
}

/* HMAC by which one end proves that it holds the key.  It covers both nonces,
   so that a proof captured on one link is invalid on another.  The prover's
   nonce comes second, so that a proof reflected to its sender is invalid too.
   */
static void
make_proof(const PeerNet *n, const uint8_t *challenge,
           const uint8_t *own_nonce, const char *node, const char *data_centre,
           const char *role, uint8_t out[PROOF_BYTES])
{
    g_autoptr(GByteArray) text = g_byte_array_new();
    g_byte_array_append(text, challenge, NONCE_BYTES);
    g_byte_array_append(text, own_nonce, NONCE_BYTES);
    g_autofree char *identity = g_strjoin("\n", node, data_centre, role, NULL);
    g_byte_array_append(text, (const uint8_t *)identity,
                        (guint)strlen(identity));
    const char *key = n->settings.shared_key;
    unsigned int len = PROOF_BYTES;
    if (!HMAC(EVP_sha256(), key, (int)strlen(key), text->data, text->len, out,
              &len)) {
        g_error("peer: HMAC-SHA256 is not available");
    }
}

static void
make_nonce(uint8_t out[NONCE_BYTES])
{
    char a[BG_ID_LEN + 1];
    bg_make_id(a);
    bg_digest(a, BG_ID_LEN, out);
}

/* Queue FRAME on a link that is not up yet, which send_filtered skips. */
static void
send_handshake(PeerNet *n, Link *l, const Bg__Frame *frame)
{
    GByteArray *bytes = pack_frame(frame);
    pthread_mutex_lock(&n->lock);
    queue_bytes(l, bytes);
    pthread_mutex_unlock(&n->lock);
    g_byte_array_free(bytes, TRUE);
}

static void
send_hello(PeerNet *n, Link *l)
{
    make_nonce(l->nonce);
    Bg__Hello hello = BG__HELLO__INIT;
    hello.node = (char *)n->settings.node;
    hello.data_centre = (char *)n->settings.data_centre;
    hello.role = (char *)n->settings.role;
    hello.version = PROTOCOL_VERSION;
    hello.nonce.data = l->nonce;
    hello.nonce.len = NONCE_BYTES;
    Bg__Frame frame = BG__FRAME__INIT;
    frame.body_case = BG__FRAME__BODY_HELLO;
    frame.hello = &hello;
    send_handshake(n, l, &frame);
}

static void
send_proof(PeerNet *n, Link *l)
{
    uint8_t proof[PROOF_BYTES];
    make_proof(n, l->far_nonce, l->nonce, n->settings.node,
               n->settings.data_centre, n->settings.role, proof);
    Bg__HelloProof p = BG__HELLO_PROOF__INIT;
    p.proof.data = proof;
    p.proof.len = PROOF_BYTES;
    Bg__Frame frame = BG__FRAME__INIT;
    frame.body_case = BG__FRAME__BODY_HELLO_PROOF;
    frame.hello_proof = &p;
    send_handshake(n, l, &frame);
}

static void
send_heartbeats(PeerNet *n, uint64_t now_ms)
{
    if (now_ms < n->next_heartbeat_ms) {
        return;
    }
    n->next_heartbeat_ms = now_ms + n->settings.heartbeat_ms;
    Bg__Heartbeat hb = BG__HEARTBEAT__INIT;
    hb.seq = ++n->heartbeat_seq;
    if (n->on.fill_heartbeat) {
        n->on.fill_heartbeat(n->on.ctx, &hb);
    }
    Bg__Frame frame = BG__FRAME__INIT;
    frame.body_case = BG__FRAME__BODY_HEARTBEAT;
    frame.heartbeat = &hb;
    peer_send(n, NULL, NULL, NULL, &frame);
}

/* ---- frames in ---------------------------------------------------------- */

static bool
take_hello(PeerNet *n, Link *l, const Bg__Hello *hello)
{
    if (hello->version != PROTOCOL_VERSION ||
        hello->nonce.len != NONCE_BYTES ||
        strcmp(hello->node, n->settings.node) == 0) {
        bg_log(BG_WARN, "peer",
               "Refused a link: wrong protocol version, nonce or name.");
        return false;
    }
    memcpy(l->far_nonce, hello->nonce.data, NONCE_BYTES);
    pthread_mutex_lock(&n->lock);
    l->node = g_strdup(hello->node);
    l->data_centre = g_strdup(hello->data_centre);
    l->role = g_strdup(hello->role);
    l->hello_seen = true;
    pthread_mutex_unlock(&n->lock);
    send_proof(n, l);
    return true;
}

/* Of two links between the same processes, the one dialled by the process
   with the lower name is kept.  Both ends decide alike. */
static bool
is_preferred(const PeerNet *n, const Link *l)
{
    bool lower = strcmp(n->settings.node, l->node) < 0;
    return lower == (l->dial_index >= 0);
}

/* Under the lock.  L came up: close the link that it duplicates, or L. */
static void
drop_duplicates(PeerNet *n, Link *l)
{
    bool bridge = l->dial_index >= 0 &&
                  g_array_index(n->targets, Target, l->dial_index).bridge;
    for (guint i = 0; i < n->links->len; i++) {
        Link *other = n->links->pdata[i];
        if (other == l || !other->up || other->closing) {
            continue;
        }
        if (strcmp(other->node, l->node) == 0) {
            *(is_preferred(n, l) ? &other->closing : &l->closing) = true;
        }
        else if (bridge && other->dial_index >= 0 &&
                 strcmp(other->data_centre, l->data_centre) == 0 &&
                 g_array_index(n->targets, Target, other->dial_index).bridge) {
            l->closing = true; /* one bridge for each data centre */
        }
    }
}

static void
update_target(PeerNet *n, const Link *l)
{
    if (l->dial_index < 0) {
        return;
    }
    Target *t = &g_array_index(n->targets, Target, l->dial_index);
    g_free(t->node);
    g_free(t->data_centre);
    t->node = g_strdup(l->node);
    t->data_centre = g_strdup(l->data_centre);
}

static bool
take_proof(PeerNet *n, Link *l, const Bg__HelloProof *p)
{
    uint8_t proof[PROOF_BYTES];
    make_proof(n, l->nonce, l->far_nonce, l->node, l->data_centre, l->role,
               proof);
    if (p->proof.len != PROOF_BYTES ||
        CRYPTO_memcmp(p->proof.data, proof, PROOF_BYTES) != 0) {
        bg_log(BG_WARN, "peer", "Refused a link: wrong key.");
        return false;
    }
    update_target(n, l);
    pthread_mutex_lock(&n->lock);
    l->up = true;
    drop_duplicates(n, l);
    pthread_mutex_unlock(&n->lock);
    bg_log(BG_INFO, "peer", "Link to %s is up.", l->node);
    if (n->on.on_up) {
        PeerInfo info = {l->node, l->data_centre, l->role};
        n->on.on_up(n->on.ctx, &info);
    }
    return true;
}

/* Before a link is up only a Hello, then its proof, are accepted. */
static bool
take_handshake_frame(PeerNet *n, Link *l, const Bg__Frame *frame)
{
    if (!l->hello_seen) {
        return frame->body_case == BG__FRAME__BODY_HELLO &&
               take_hello(n, l, frame->hello);
    }
    return frame->body_case == BG__FRAME__BODY_HELLO_PROOF &&
           take_proof(n, l, frame->hello_proof);
}

static bool
take_frame(PeerNet *n, Link *l, const uint8_t *data, uint32_t len)
{
    Bg__Frame *frame = bg__frame__unpack(NULL, len, data);
    if (!frame) {
        return false;
    }
    if (!l->up) {
        bool good = take_handshake_frame(n, l, frame);
        bg__frame__free_unpacked(frame, NULL);
        return good;
    }
    PeerInfo info = {l->node, l->data_centre, l->role};
    n->on.on_frame(n->on.ctx, &info, frame);
    return true;
}

/* Handle every complete frame in the link's buffer. */
static bool
take_frames(PeerNet *n, Link *l)
{
    guint at = 0;
    bool good = true;
    while (good && l->in->len - at >= 4) {
        uint32_t len;
        memcpy(&len, l->in->data + at, 4);
        len = ntohl(len);
        if (len > (l->up ? PEER_MAX_FRAME : MAX_HANDSHAKE_FRAME)) {
            return false;
        }
        if (l->in->len - at - 4 < len) {
            break;
        }
        good = take_frame(n, l, l->in->data + at + 4, len);
        at += 4 + len;
    }
    if (at > 0) {
        g_byte_array_remove_range(l->in, 0, at);
    }
    return good;
}

static bool
read_link(PeerNet *n, Link *l)
{
    uint8_t chunk[READ_CHUNK];
    ssize_t got = recv(l->fd, chunk, sizeof(chunk), 0);
    if (got < 0) {
        return errno == EAGAIN || errno == EINTR;
    }
    if (got == 0) {
        return false;
    }
    l->last_in_ms = bg_now_ms();
    g_byte_array_append(l->in, chunk, (guint)got);
    return take_frames(n, l);
}

static bool
write_link(PeerNet *n, Link *l)
{
    bool good = true;
    pthread_mutex_lock(&n->lock);
    if (l->out->len > 0) {
        ssize_t sent = send(l->fd, l->out->data, l->out->len, MSG_NOSIGNAL);
        if (sent > 0) {
            g_byte_array_remove_range(l->out, 0, (guint)sent);
        }
        else {
            good = sent < 0 && (errno == EAGAIN || errno == EINTR);
        }
    }
    pthread_mutex_unlock(&n->lock);
    return good;
}

/* ---- links -------------------------------------------------------------- */

static Link *
add_link(PeerNet *n, int fd, int dial_index, bool connecting)
{
    int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    Link *l = g_new0(Link, 1);
    l->fd = fd;
    l->dial_index = dial_index;
    l->connecting = connecting;
    l->in = g_byte_array_new();
    l->out = g_byte_array_new();
    l->opened_ms = l->last_in_ms = bg_now_ms();
    pthread_mutex_lock(&n->lock);
    g_ptr_array_add(n->links, l);
    pthread_mutex_unlock(&n->lock);
    send_hello(n, l);
    return l;
}

/* Whether a link to T's process, or for a bridge to its data centre, is up. */
static bool
is_already_linked(const PeerNet *n, const Target *t)
{
    for (guint i = 0; t->node && i < n->links->len; i++) {
        const Link *l = n->links->pdata[i];
        if (!l->up) {
            continue;
        }
        bool dialled = t->bridge && l->dial_index >= 0;
        if (strcmp(l->node, t->node) == 0 ||
            (dialled && strcmp(l->data_centre, t->data_centre) == 0)) {
            return true;
        }
    }
    return false;
}

static void
dial_targets(PeerNet *n, uint64_t now_ms)
{
    bool bridging = atomic_load(&n->bridging);
    for (guint i = 0; i < n->targets->len; i++) {
        Target *t = &g_array_index(n->targets, Target, i);
        if (t->linked || now_ms < t->next_try_ms || (t->bridge && !bridging) ||
            is_already_linked(n, t)) {
            continue;
        }
        t->next_try_ms = now_ms + REDIAL_MS;
        int fd =
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        if (fd < 0) {
            continue;
        }
        int r = connect(fd, (struct sockaddr *)&t->addr, sizeof(t->addr));
        if (r != 0 && errno != EINPROGRESS) {
            close(fd);
            continue;
        }
        t->linked = true;
        add_link(n, fd, (int)i, r != 0);
    }
}

static void
accept_links(PeerNet *n)
{
    int fd;
    while ((fd = accept4(n->listen_fd, NULL, NULL,
                         SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
        add_link(n, fd, -1, false);
    }
}

static void
drop_link(PeerNet *n, guint index)
{
    Link *l = n->links->pdata[index];
    if (l->dial_index >= 0) {
        g_array_index(n->targets, Target, l->dial_index).linked = false;
    }
    if (l->up) {
        bg_log(BG_INFO, "peer", "Link to %s is down.", l->node);
        if (n->on.on_down) {
            PeerInfo info = {l->node, l->data_centre, l->role};
            n->on.on_down(n->on.ctx, &info);
        }
    }
    pthread_mutex_lock(&n->lock);
    g_ptr_array_remove_index_fast(n->links, index);
    pthread_mutex_unlock(&n->lock);
}

/* A middlebox may lose a connection's state: sends then succeed but nothing
   arrives, and no error is reported.  Only a timeout on received data
   detects it. */
static bool
is_silent(const PeerNet *n, const Link *l, uint64_t now_ms)
{
    uint64_t since_ms = l->up ? l->last_in_ms : l->opened_ms;
    return now_ms - since_ms > n->settings.silence_ms;
}

/* A bridge of a process that no longer keeps bridges. */
static bool
is_unneeded_bridge(const PeerNet *n, const Link *l)
{
    return l->dial_index >= 0 && !atomic_load(&n->bridging) &&
           g_array_index(n->targets, Target, l->dial_index).bridge;
}

static bool
serve_link(PeerNet *n, Link *l, short revents)
{
    if (l->closing || is_unneeded_bridge(n, l) ||
        is_silent(n, l, bg_now_ms())) {
        return false;
    }
    if (revents & (POLLERR | POLLNVAL)) {
        return false;
    }
    if (revents & POLLOUT) {
        l->connecting = false;
        if (!write_link(n, l)) {
            return false;
        }
    }
    return !(revents & (POLLIN | POLLHUP)) || read_link(n, l);
}

static void
poll_once(PeerNet *n, GArray *fds)
{
    g_array_set_size(fds, 0);
    struct pollfd p = {n->wake_fd, POLLIN, 0};
    g_array_append_val(fds, p);
    p.fd = n->listen_fd; /* poll ignores a negative descriptor */
    g_array_append_val(fds, p);
    guint count = n->links->len;
    for (guint i = 0; i < count; i++) {
        Link *l = n->links->pdata[i];
        pthread_mutex_lock(&n->lock);
        bool pending = l->out->len > 0 || l->connecting;
        pthread_mutex_unlock(&n->lock);
        p.fd = l->fd;
        p.events = (short)(POLLIN | (pending ? POLLOUT : 0));
        g_array_append_val(fds, p);
    }
    poll((struct pollfd *)(void *)fds->data, fds->len, POLL_MS);
    uint64_t drained;
    ssize_t done = read(n->wake_fd, &drained, sizeof(drained));
    (void)done;
    for (guint i = count; i-- > 0;) {
        short revents = g_array_index(fds, struct pollfd, i + 2).revents;
        if (!serve_link(n, n->links->pdata[i], revents)) {
            drop_link(n, i);
        }
    }
    if (g_array_index(fds, struct pollfd, 1).revents & POLLIN) {
        accept_links(n);
    }
}

static void *
run_links(void *arg)
{
    PeerNet *n = arg;
    GArray *fds = g_array_new(FALSE, TRUE, sizeof(struct pollfd));
    while (!atomic_load(&n->stopping)) {
        uint64_t now_ms = bg_now_ms();
        dial_targets(n, now_ms);
        send_heartbeats(n, now_ms);
        poll_once(n, fds);
    }
    g_array_free(fds, TRUE);
    return NULL;
}

static bool
open_listener(PeerNet *n, GError **err)
{
    struct sockaddr_in addr;
    if (!parse_address(n->settings.listen, &addr)) {
        g_set_error(err, BG_ERROR, BG_ERR_INVALID, "bad address '%s'",
                    n->settings.listen);
        return false;
    }
    n->listen_fd =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int one = 1;
    setsockopt(n->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (bind(n->listen_fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
        listen(n->listen_fd, 512) != 0) {
        g_set_error(err, BG_ERROR, BG_ERR_UNREACHABLE,
                    "cannot listen on %s: %s", n->settings.listen,
                    g_strerror(errno));
        return false;
    }
    return true;
}

bool
peer_start(PeerNet *n, GError **err)
{
    if (*n->settings.listen && !open_listener(n, err)) {
        return false;
    }
    n->started = pthread_create(&n->thread, NULL, run_links, n) == 0;
    return n->started;
}

void
peer_stop(PeerNet *n)
{
    if (n->started) {
        atomic_store(&n->stopping, true);
        pthread_join(n->thread, NULL);
        n->started = false;
    }
}

void
peer_set_bridging(PeerNet *n, bool on)
{
    atomic_store(&n->bridging, on);
}

char *
peer_dump(PeerNet *n)
{
    json_t *list = json_array();
    pthread_mutex_lock(&n->lock);
    for (guint i = 0; i < n->links->len; i++) {
        Link *l = n->links->pdata[i];
        if (l->up) {
            json_array_append_new(
                list, json_pack("{s:s, s:s, s:s, s:i}", "node", l->node,
                                "data_centre", l->data_centre, "role", l->role,
                                "queued_bytes", (int)l->out->len));
        }
    }
    pthread_mutex_unlock(&n->lock);
    char *text = json_dumps(list, JSON_COMPACT);
    json_decref(list);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}
