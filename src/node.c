#include "node.h"

#include "blocking_http.h"
#include "client_limits.h"
#include "feed.h"
#include "log_client.h"
#include "ring.h"
#include "roster.h"

#include <argp.h>
#include <civetweb.h>
#include <jansson.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <urcu-bp.h>

#define RING_EVENTS 8192
#define MAX_ARENAS 4
/* Of the usable descriptors one part each for connections that are served, for
   the calls to upstreams that they make, and for connections that wait for a
   thread. */
#define THREADS_SHARE 3
#define MIN_THREADS 4
#define MAX_QUEUED 512
#define TICK_MS 20
#define APPEND_GIVE_UP_MS 60000
#define STOP_APPEND_MS 3000
#define EXIT_BAD_SETTINGS 2
/* Peers are queried for so long after a request for the status. */
#define STATUS_INTEREST_MS 10000
#define STATUS_FETCH_MS 300

static const IniRule common_rules[] = {
    {"node", "name", INI_TEXT, true, NULL, 0, 0, NULL, "name of this VM"},
    {"node", "data_centre", INI_TEXT, true, NULL, 0, 0, NULL, "where it runs"},
    {"node", "http", INI_ADDRESS, true, NULL, 0, 0, NULL,
     "where it answers HTTP"},
    {"node", "http_threads", INI_INT, false, "64", 4, 4096, NULL,
     "HTTP connections served at once"},
    {"node", "log_level", INI_CHOICE, false, "info", 0, 0,
     "debug|info|warn|fault", "lowest level that is logged"},
    {"node", "drain_ms", INI_INT, false, "60000", 0, 3600000, NULL,
     "maximum wait for requests in flight at a stop"},
    {"node", "drain_notice_ms", INI_INT, false, "500", 0, 3600000, NULL,
     "minimum time from the failing health check to the end of listening"},
    {"node", "operator_key_sha256", INI_TEXT, false, "", 0, 0, NULL,
     "digest of the key that may ask for a stop over HTTP; empty: nobody"},
    {"node", "client_timeout_ms", INI_INT, false, "30000", 100, 3600000, NULL,
     "a client that sends or takes nothing for so long is closed; one body "
     "may take twice as long"},
    {"machine", "memory_mb", INI_NUMBER, false, "1024", 64, 16777216, NULL,
     "memory of this VM for this process; half of it is for what is held for "
     "clients"},
    {"machine", "max_fds", INI_NUMBER, false, "4096", 64, 16777216, NULL,
     "descriptors of this process; of all but 200 a third bounds "
     "http_threads"},
    {"log", "address", INI_ADDRESS, true, NULL, 0, 0, NULL,
     "the platform's log service"},
    {"log", "window_ms", INI_INT, false, "5", 0, 1000, NULL,
     "records that come within it share an append"},
    {"log", "max_queue", INI_INT, false, "8192", 16, 1000000, NULL,
     "records waiting to be appended"},
    {"log", "readers_per_centre", INI_INT, false, "2", 1, 1000, NULL,
     "placers of a data centre that read the log and relay it to the others"},
    {"log", "relay_wait_ms", INI_INT, false, "1000", 50, 600000, NULL,
     "time without a peer to follow, or behind one, until the log is read "
     "directly"},
    {"log", "checkpoint_entries", INI_INT, false, "20000", 1, 100000000, NULL,
     "entries after which a checkpoint is due"},
    {"log", "checkpoint_ms", INI_INT, false, "600000", 100, 2000000000, NULL,
     "time after which one is due; well below the log's retention"},
    {"peers", "listen", INI_ADDRESS, true, NULL, 0, 0, NULL,
     "where other processes of the system connect"},
    {"peers", "dial", INI_TEXT, false, "", 0, 0, NULL,
     "addresses of other processes, comma-separated"},
    {"peers", "bridges", INI_TEXT, false, "", 0, 0, NULL,
     "placers of other data centres, comma-separated; a few placers of each "
     "data centre keep links to them"},
    {"peers", "shared_key", INI_TEXT, true, NULL, 0, 0, NULL,
     "the same in all processes of the system"},
    {"peers", "heartbeat_ms", INI_INT, false, "200", 10, 60000, NULL,
     "between heartbeats on a link"},
    {"peers", "silence_ms", INI_INT, false, "2000", 50, 600000, NULL,
     "a link on which nothing arrives for this time is dropped"},
    {NULL, NULL, INI_TEXT, false, NULL, 0, 0, NULL, NULL}};

typedef enum {
    EV_PAGE,        /* a read of the log succeeded */
    EV_TRIMMED,     /* the log no longer keeps the offset read */
    EV_UNREACHABLE, /* a read failed: the log is unreachable */
    EV_FRAME,
    EV_LINK,
    EV_ROLE,
    EV_DUMP,
    EV_STATUS,
    EV_DRAIN
} EventKind;

/* An event posted to the core thread. */
typedef struct {
    EventKind kind;
    uint64_t offset; /* PAGE: of the read; TRIMMED: first one in the log */
    uint64_t next;   /* TRIMMED: the log's next offset */
    LogPage *page;
    bool up; /* LINK */
    char *node;
    char *data_centre;
    char *role;
    Bg__Frame *frame;
    void *role_event;
    struct CoreCall *call; /* DUMP, STATUS */
} Event;

/* A request of an HTTP thread that waits for the core thread's answer. */
typedef struct CoreCall {
    pthread_mutex_t lock;
    pthread_cond_t done;
    char *text;
} CoreCall;

struct Node {
    NodeRole *role;
    IniFile *settings;
    IniRule *rules; /* the common ones and the role's */
    char *name;
    Ring *ring;
    Fold *fold;
    Feed *feed;
    Roster *roster;
    uint64_t status_asked_ms; /* last request for /status; 0: none */
    uint64_t next_status_fetch_ms;
    LogClient *log;
    PeerNet *peers;
    struct mg_context *http;
    pthread_t core;
    atomic_bool stopping;
    atomic_bool draining;
    atomic_uint connections; /* open at the HTTP server */
    uint32_t http_threads;
    atomic_bool ready;
    atomic_bool drained;
    atomic_bool owner;
    atomic_bool log_usable;
    atomic_bool has_config; /* a version is in force */
    CfgSet *config;         /* RCU-protected pointer */
    uint64_t config_version;
    bool config_published; /* the fold's set was put in force */
    pthread_mutex_t lock;  /* guards the two below */
    Bg__Heartbeat own_heartbeat;
    char *state_line;
};

/* ---- for roles ---------------------------------------------------------- */

const IniFile *
node_get_settings(const Node *n)
{
    return n->settings;
}

const char *
node_get_name(const Node *n)
{
    return n->name;
}

const char *
node_get_data_centre(const Node *n)
{
    return ini_get_text(n->settings, "node", "data_centre");
}

const Fold *
node_get_fold(const Node *n)
{
    return n->fold;
}

CfgSet *
node_get_config(Node *n)
{
    rcu_read_lock();
    CfgSet *cfg = cfg_ref(rcu_dereference(n->config));
    rcu_read_unlock();
    return cfg;
}

static bool
post_event(Node *n, const Event *e)
{
    Event *copy = g_memdup2(e, sizeof(*e));
    if (ring_push(n->ring, copy)) {
        return true;
    }
    g_free(copy);
    return false;
}

static void
post_event_wait(Node *n, const Event *e)
{
    while (!post_event(n, e) && !atomic_load(&n->stopping)) {
        bg_sleep_ms(1);
    }
}

bool
node_post(Node *n, void *event)
{
    Event e = {.kind = EV_ROLE, .role_event = event};
    return post_event(n, &e);
}

void
node_post_wait(Node *n, void *event)
{
    Event e = {.kind = EV_ROLE, .role_event = event};
    post_event_wait(n, &e);
}

bool
node_append(Node *n, Bg__Record *r)
{
    return lc_append(n->log, r);
}

bool
node_is_log_reachable(Node *n)
{
    return atomic_load(&n->log_usable);
}

bool
node_is_draining(const Node *n)
{
    return atomic_load(&n->draining);
}

static uint32_t
get_usable_fds(const Node *n)
{
    return cl_get_usable_fds(
        ini_get_number(n->settings, "machine", "max_fds"));
}

uint32_t
node_get_http_threads(const Node *n)
{
    uint32_t threads =
        (uint32_t)ini_get_int(n->settings, "node", "http_threads");
    return MAX(MIN(threads, get_usable_fds(n) / THREADS_SHARE), MIN_THREADS);
}

uint64_t
node_get_client_bytes(const Node *n)
{
    return cl_get_share_bytes(
        ini_get_number(n->settings, "machine", "memory_mb"));
}

bool
node_is_crowded(const Node *n)
{
    return atomic_load(&n->connections) > n->http_threads / 2;
}

void
node_send(Node *n, const char *node, const char *data_centre, const char *role,
          const Bg__Frame *frame)
{
    peer_send(n->peers, node, data_centre, role, frame);
    /* Residency reaches the routers of other data centres over the bridges
       (links between data centres), which may end at any placer. */
    if (frame->body_case == BG__FRAME__BODY_RESIDENCY && !node) {
        peer_send(n->peers, NULL, data_centre, "placer", frame);
    }
}

/* ---- from other threads to the core ------------------------------------- */

static void
take_page(void *ctx, uint64_t from, LogPage *page)
{
    Event e = {.kind = EV_PAGE, .offset = from, .page = page};
    post_event_wait(ctx, &e);
}

static void
take_trimmed(void *ctx, uint64_t first, uint64_t next)
{
    Event e = {.kind = EV_TRIMMED, .offset = first, .next = next};
    post_event_wait(ctx, &e);
}

static void
take_unreachable(void *ctx)
{
    Event e = {.kind = EV_UNREACHABLE};
    post_event_wait(ctx, &e);
}

static Event
make_peer_event(EventKind kind, const PeerInfo *info)
{
    Event e = {.kind = kind,
               .node = g_strdup(info->node),
               .data_centre = g_strdup(info->data_centre),
               .role = g_strdup(info->role)};
    return e;
}

static void
free_event_parts(Event *e)
{
    lc_free_page(e->page);
    g_free(e->node);
    g_free(e->data_centre);
    g_free(e->role);
    if (e->frame) {
        bg__frame__free_unpacked(e->frame, NULL);
    }
}

static void
take_peer_frame(void *ctx, const PeerInfo *from, Bg__Frame *frame)
{
    Event e = make_peer_event(EV_FRAME, from);
    e.frame = frame;
    if (!post_event(ctx, &e)) {
        /* The core thread is behind.  Peers send their state again, so a
           frame may be dropped. */
        bg_count("node_frames_dropped_total", 1);
        free_event_parts(&e);
    }
}

static void
take_link(void *ctx, const PeerInfo *peer, bool up)
{
    Event e = make_peer_event(EV_LINK, peer);
    e.up = up;
    post_event_wait(ctx, &e);
}

static void
take_link_up(void *ctx, const PeerInfo *peer)
{
    take_link(ctx, peer, true);
}

static void
take_link_down(void *ctx, const PeerInfo *peer)
{
    take_link(ctx, peer, false);
}

static void
fill_heartbeat(void *ctx, Bg__Heartbeat *hb)
{
    Node *n = ctx;
    uint64_t seq = hb->seq;
    pthread_mutex_lock(&n->lock);
    *hb = n->own_heartbeat;
    pthread_mutex_unlock(&n->lock);
    hb->seq = seq;
    hb->owner = atomic_load(&n->owner);
}

/* ---- core thread -------------------------------------------------------- */

static void
observe_record(void *ctx, uint64_t offset, const char *batch_id,
               const Bg__Record *r, FoldResult result, const char *why)
{
    Node *n = ctx;
    (void)batch_id;
    if (result == FOLD_INVALID) {
        bg_log(BG_WARN, "fold", "Record at offset %llu is invalid: %s.",
               (unsigned long long)offset, why);
    }
    if (n->role->on_record) {
        n->role->on_record(n->role->ctx, bg_now_ms(), offset, r, result, why);
    }
}

/* Readers of the old set hold a reference to it.  The RCU grace period only
   covers readers between the load of the pointer and cfg_ref. */
static void
publish_config(Node *n)
{
    CfgSet *next = fold_get_config(n->fold);
    CfgSet *old = rcu_xchg_pointer(&n->config, next);
    synchronize_rcu();
    cfg_unref(old);
    n->config_version = cfg_get_version(next);
    atomic_store(&n->has_config, n->config_version > 0);
    bg_log(BG_INFO, "node", "Configuration %llu is in force.",
           (unsigned long long)n->config_version);
    if (n->role->on_config) {
        n->role->on_config(n->role->ctx, bg_now_ms(), next);
    }
}

/* Publish the fold's configuration if it changed, but not before the state has
   caught up: a starting process would serve an old version meanwhile. */
static void
follow_config(Node *n)
{
    if (!feed_has_state(n->feed)) {
        return;
    }
    CfgSet *cfg = fold_get_config(n->fold);
    if (!n->config_published || cfg_get_version(cfg) != n->config_version) {
        n->config_published = true;
        publish_config(n);
    }
    cfg_unref(cfg);
}

/* Publish the heartbeat and the state line for other threads. */
static void
publish_state(Node *n)
{
    Bg__Heartbeat own_heartbeat = BG__HEARTBEAT__INIT;
    feed_fill_heartbeat(n->feed, &own_heartbeat);
    own_heartbeat.config_version = n->config_version;
    roster_set_self(n->roster, &own_heartbeat);
    char *line = feed_describe(n->feed);
    pthread_mutex_lock(&n->lock);
    n->own_heartbeat = own_heartbeat;
    char *old = n->state_line;
    n->state_line = line;
    pthread_mutex_unlock(&n->lock);
    g_free(old);
}

/* Fetch the status from the linked placers, for STATUS_INTEREST_MS after the
   last request for /status. */
static void
fetch_status(Node *n, uint64_t now_ms)
{
    if (!n->status_asked_ms ||
        now_ms - n->status_asked_ms > STATUS_INTEREST_MS ||
        now_ms < n->next_status_fetch_ms) {
        return;
    }
    n->next_status_fetch_ms = now_ms + STATUS_FETCH_MS;
    Bg__StatusFetch s = BG__STATUS_FETCH__INIT;
    s.relay = true;
    Bg__Frame frame = BG__FRAME__INIT;
    frame.body_case = BG__FRAME__BODY_STATUS_FETCH;
    frame.status_fetch = &s;
    peer_send(n->peers, NULL, NULL, "placer", &frame);
}

static bool
is_own_centre(const Node *n, const char *data_centre)
{
    return strcmp(data_centre, node_get_data_centre(n)) == 0;
}

static void
answer_status(Node *n, uint64_t now_ms, const PeerInfo *to)
{
    g_autoptr(GPtrArray) list = roster_make_gossip(n->roster, now_ms);
    for (guint i = 0; i < list->len; i++) {
        Bg__Frame frame = BG__FRAME__INIT;
        frame.body_case = BG__FRAME__BODY_GOSSIP;
        frame.gossip = list->pdata[i];
        peer_send(n->peers, to->node, NULL, NULL, &frame);
    }
}

/* Forward a status fetch to the linked placers of other data centres; they
   answer it but do not forward it. */
static void
forward_status_fetch(Node *n)
{
    Bg__StatusFetch s = BG__STATUS_FETCH__INIT;
    Bg__Frame frame = BG__FRAME__INIT;
    frame.body_case = BG__FRAME__BODY_STATUS_FETCH;
    frame.status_fetch = &s;
    peer_send_other_centres(n->peers, "placer", &frame);
}

/* Forward residency over at most one bridge: a placer of its data centre sends
   it to placers of others, and these to the routers of theirs. */
static void
forward_residency(Node *n, const PeerInfo *from, const Bg__Frame *frame)
{
    const char *of = frame->residency->data_centre;
    if (strcmp(n->role->role, "placer") != 0 ||
        strcmp(from->data_centre, of) != 0) {
        return;
    }
    if (is_own_centre(n, of)) {
        peer_send_other_centres(n->peers, "placer", frame);
    }
    else {
        peer_send(n->peers, NULL, node_get_data_centre(n), "router", frame);
    }
}

static void
take_common_frame(Node *n, uint64_t now_ms, const PeerInfo *from,
                  const Bg__Frame *frame)
{
    switch (frame->body_case) {
    case BG__FRAME__BODY_HEARTBEAT:
        roster_on_heartbeat(n->roster, now_ms, from, frame->heartbeat);
        break;
    case BG__FRAME__BODY_GOSSIP:
        roster_on_gossip(n->roster, now_ms, frame->gossip);
        break;
    case BG__FRAME__BODY_STATUS_FETCH:
        answer_status(n, now_ms, from);
        if (frame->status_fetch->relay) {
            forward_status_fetch(n);
        }
        break;
    case BG__FRAME__BODY_RESIDENCY:
        forward_residency(n, from, frame);
        break;
    default:
        break;
    }
}

static void
tick(Node *n, uint64_t now_ms)
{
    NodeRole *role = n->role;
    feed_on_tick(n->feed, now_ms);
    follow_config(n);
    publish_state(n);
    fetch_status(n, now_ms);
    peer_set_bridging(n->peers, strcmp(role->role, "placer") == 0 &&
                                    feed_is_reader(n->feed, now_ms));
    bool usable = feed_get_hops(n->feed) > 0 && !feed_get_fault(n->feed) &&
                  lc_can_append(n->log);
    atomic_store(&n->log_usable, usable);
    role->on_log(role->ctx, now_ms, usable,
                 usable && feed_is_caught_up(n->feed));
    role->on_tick(role->ctx, now_ms);
    atomic_store(&n->ready,
                 feed_has_state(n->feed) && role->is_ready(role->ctx));
    atomic_store(&n->drained, role->is_drained(role->ctx));
    atomic_store(&n->owner, role->is_owner && role->is_owner(role->ctx));
}

static void
take_frame(Node *n, uint64_t now_ms, const PeerInfo *from,
           const Bg__Frame *frame)
{
    feed_on_frame(n->feed, now_ms, from, frame);
    take_common_frame(n, now_ms, from, frame);
    n->role->on_frame(n->role->ctx, now_ms, from, frame);
}

static void
take_link_change(Node *n, uint64_t now_ms, const PeerInfo *peer, bool up)
{
    feed_on_link(n->feed, now_ms, peer, up);
    n->role->on_link(n->role->ctx, now_ms, peer, up);
}

static char *
make_dump(Node *n)
{
    g_autofree char *role = n->role->dump(n->role->ctx);
    g_autofree char *fold = fold_dump(n->fold);
    g_autofree char *peers = peer_dump(n->peers);
    const char *fault = feed_get_fault(n->feed);
    return g_strdup_printf(
        "{\"node\":\"%s\",\"data_centre\":\"%s\",\"role\":\"%s\",\"ready\":%s,"
        "\"draining\":%s,\"log_reachable\":%s,\"log_hops\":%u,"
        "\"fault\":\"%s\",\"digest\":\"%016llx\",\"chain\":\"%016llx\","
        "\"config_version\":%llu,\"fold\":%s,\"links\":%s,\"state\":%s}\n",
        n->name, node_get_data_centre(n), n->role->role,
        atomic_load(&n->ready) ? "true" : "false",
        atomic_load(&n->draining) ? "true" : "false",
        atomic_load(&n->log_usable) ? "true" : "false", feed_get_hops(n->feed),
        fault ? fault : "", (unsigned long long)fold_digest(n->fold),
        (unsigned long long)fold_get_chain(n->fold),
        (unsigned long long)n->config_version, fold, peers, role);
}

static void
answer_call(CoreCall *call, char *text)
{
    pthread_mutex_lock(&call->lock);
    call->text = text;
    pthread_cond_signal(&call->done);
    pthread_mutex_unlock(&call->lock);
}

static void
handle_event(Node *n, Event *e)
{
    NodeRole *role = n->role;
    uint64_t now_ms = bg_now_ms();
    PeerInfo info = {e->node, e->data_centre, e->role};
    switch (e->kind) {
    case EV_PAGE:
        feed_on_page(n->feed, now_ms, e->offset, e->page);
        break;
    case EV_TRIMMED:
        feed_on_trimmed(n->feed, now_ms, e->offset, e->next);
        break;
    case EV_UNREACHABLE:
        feed_on_unreachable(n->feed, now_ms);
        break;
    case EV_FRAME:
        take_frame(n, now_ms, &info, e->frame);
        break;
    case EV_LINK:
        take_link_change(n, now_ms, &info, e->up);
        break;
    case EV_ROLE:
        role->on_event(role->ctx, now_ms, e->role_event);
        break;
    case EV_DUMP:
        answer_call(e->call, make_dump(n));
        break;
    case EV_STATUS:
        n->status_asked_ms = now_ms;
        answer_call(e->call, roster_dump(n->roster, now_ms));
        break;
    case EV_DRAIN:
        role->on_drain(role->ctx, now_ms);
        break;
    }
    follow_config(n);
    free_event_parts(e);
    g_free(e);
}

static void *
run_core(void *arg)
{
    Node *n = arg;
    uint64_t next_tick_ms = 0;
    while (!atomic_load(&n->stopping)) {
        uint64_t now_ms = bg_now_ms();
        if (now_ms >= next_tick_ms) {
            next_tick_ms = now_ms + TICK_MS;
            tick(n, now_ms);
            now_ms = bg_now_ms();
        }
        uint32_t wait_ms =
            next_tick_ms > now_ms ? (uint32_t)(next_tick_ms - now_ms) : 0;
        Event *e = ring_pop(n->ring, wait_ms);
        if (e) {
            handle_event(n, e);
        }
    }
    return NULL;
}

/* ---- HTTP for operators ------------------------------------------------- */

static Node *
get_node(const struct mg_connection *conn)
{
    return mg_get_user_data(mg_get_context(conn));
}

static int
send_text(struct mg_connection *conn, int status, const char *type,
          const char *text)
{
    const Node *n = get_node(conn);
    bool close = node_is_draining(n) || node_is_crowded(n);
    if (close) {
        mg_disable_connection_keep_alive(conn);
    }
    mg_printf(conn,
              "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n%s"
              "Content-Length: %zu\r\n\r\n",
              status, mg_get_response_code_text(conn, status), type,
              close ? "Connection: close\r\n" : "", strlen(text));
    mg_write(conn, text, strlen(text));
    return status;
}

/* Have the core thread handle an event of KIND and send its answer. */
static int
send_from_core(Node *n, struct mg_connection *conn, EventKind kind)
{
    CoreCall call = {PTHREAD_MUTEX_INITIALIZER, PTHREAD_COND_INITIALIZER,
                     NULL};
    Event e = {.kind = kind, .call = &call};
    if (!post_event(n, &e)) {
        return send_text(conn, 503, "text/plain", "busy\n");
    }
    pthread_mutex_lock(&call.lock);
    while (!call.text) {
        pthread_cond_wait(&call.done, &call.lock);
    }
    pthread_mutex_unlock(&call.lock);
    int status = send_text(conn, 200, "application/json", call.text);
    g_free(call.text);
    return status;
}

static int
send_metrics(struct mg_connection *conn)
{
    g_autoptr(GString) text = g_string_new(NULL);
    bg_print_metrics(text);
    return send_text(conn, 200, "text/plain; version=0.0.4", text->str);
}

static int
send_ready(Node *n, struct mg_connection *conn)
{
    bool up = atomic_load(&n->ready) && !atomic_load(&n->draining);
    pthread_mutex_lock(&n->lock);
    g_autofree char *text =
        g_strdup_printf("%s; %s\n", up ? "ready" : "not ready",
                        n->state_line ? n->state_line : "starting");
    pthread_mutex_unlock(&n->lock);
    return send_text(conn, up ? 200 : 503, "text/plain", text);
}

/* Without a configuration no caller is known, so a 401 or 404 could be wrong.
   The call was not run. */
static int
refuse_without_config(struct mg_connection *conn)
{
    static const char body[] =
        "{\"error\":{\"message\":\"no configuration yet\","
        "\"code\":\"not_ready\",\"outcome\":\"refused-not-run\"}}\n";
    mg_printf(conn,
              "HTTP/1.1 503 Service Unavailable\r\n"
              "Content-Type: application/json\r\nRetry-After: 1\r\n"
              "X-Bglade-Outcome: refused-not-run\r\n"
              "Connection: close\r\nContent-Length: %zu\r\n\r\n%s",
              strlen(body), body);
    return 503;
}

static bool
is_operator(const Node *n, struct mg_connection *conn)
{
    const char *digest =
        ini_get_text(n->settings, "node", "operator_key_sha256");
    const char *auth = mg_get_header(conn, "Authorization");
    if (!*digest || !auth || !g_str_has_prefix(auth, "Bearer ")) {
        return false;
    }
    /* Compares digests, so that timing reveals nothing of the key. */
    const char *key = auth + strlen("Bearer ");
    g_autofree char *hex = bg_digest_hex(key, strlen(key));
    return strcmp(hex, digest) == 0;
}

/* Callers can reach this port too, so a stop requires the operators' key. */
static int
take_drain(Node *n, struct mg_connection *conn)
{
    if (strcmp(mg_get_request_info(conn)->request_method, "POST") != 0) {
        return send_text(conn, 405, "text/plain", "POST only\n");
    }
    if (!is_operator(n, conn)) {
        return send_text(conn, 403, "text/plain", "not allowed\n");
    }
    bg_log(BG_INFO, "node", "Stop requested by an operator.");
    int status = send_text(conn, 200, "text/plain", "stopping\n");
    kill(getpid(), SIGTERM);
    return status;
}

static int
handle_http(struct mg_connection *conn)
{
    Node *n = get_node(conn);
    const char *path = mg_get_request_info(conn)->local_uri;
    if (strcmp(path, "/healthz") == 0) {
        bool up = !atomic_load(&n->draining);
        return send_text(conn, up ? 200 : 503, "text/plain",
                         up ? "ok\n" : "stopping\n");
    }
    if (strcmp(path, "/readyz") == 0) {
        return send_ready(n, conn);
    }
    if (strcmp(path, "/metrics") == 0) {
        return send_metrics(conn);
    }
    if (strcmp(path, "/dump") == 0) {
        return send_from_core(n, conn, EV_DUMP);
    }
    if (strcmp(path, "/status") == 0) {
        return send_from_core(n, conn, EV_STATUS);
    }
    if (strcmp(path, "/drain") == 0) {
        return take_drain(n, conn);
    }
    if (strncmp(path, "/v1/", 4) == 0 && !atomic_load(&n->has_config)) {
        return refuse_without_config(conn);
    }
    int status = n->role->on_http ? n->role->on_http(n->role->ctx, conn) : 0;
    return status ? status
                  : send_text(conn, 404, "application/json",
                              "{\"error\":{\"message\":\"no such path\","
                              "\"code\":\"not_found\"}}\n");
}

static int
log_http(const struct mg_connection *conn, const char *message)
{
    (void)conn;
    bg_log(BG_WARN, "http", "%s", message);
    return 1;
}

static int
count_opened(const struct mg_connection *conn, void **conn_data)
{
    (void)conn_data;
    atomic_fetch_add(&get_node(conn)->connections, 1);
    return 0;
}

static void
count_closed(const struct mg_connection *conn)
{
    atomic_fetch_sub(&get_node(conn)->connections, 1);
}

static bool
start_http(Node *n, GError **err)
{
    n->http_threads = node_get_http_threads(n);
    uint32_t queued = CLAMP(get_usable_fds(n) / THREADS_SHARE, 1, MAX_QUEUED);
    g_autofree char *threads = g_strdup_printf("%u", n->http_threads);
    g_autofree char *queue = g_strdup_printf("%u", queued);
    const char *options[] = {
        "listening_ports",
        ini_get_text(n->settings, "node", "http"),
        "num_threads",
        threads,
        "enable_keep_alive",
        "yes",
        "keep_alive_timeout_ms",
        "20000",
        "request_timeout_ms",
        ini_get_text(n->settings, "node", "client_timeout_ms"),
        "tcp_nodelay",
        "1",
        "connection_queue",
        queue,
        "listen_backlog",
        "512",
        NULL};
    /* A handler that is set later would miss the first requests. */
    struct mg_callbacks callbacks = {.begin_request = handle_http,
                                     .log_message = log_http,
                                     .init_connection = count_opened,
                                     .connection_closed = count_closed};
    n->http = mg_start(&callbacks, n, options);
    if (!n->http) {
        g_set_error(err, BG_ERROR, BG_ERR_UNREACHABLE, "cannot listen on %s",
                    ini_get_text(n->settings, "node", "http"));
        return false;
    }
    return true;
}

/* ---- start and stop ----------------------------------------------------- */

static char *
make_name(const IniFile *settings)
{
    char id[BG_ID_LEN + 1];
    bg_make_id(id);
    id[8] = '\0';
    return g_strdup_printf("%s-%s", ini_get_text(settings, "node", "name"),
                           id);
}

static void
open_log(Node *n)
{
    const char *address = ini_get_text(n->settings, "log", "address");
    LcHandlers on = {take_page, take_trimmed, take_unreachable, n};
    LcLimits limits = {(uint32_t)ini_get_int(n->settings, "log", "window_ms"),
                       (uint32_t)ini_get_int(n->settings, "log", "max_queue"),
                       APPEND_GIVE_UP_MS};
    n->log =
        lc_create(lc_open_http(address), lc_open_http(address), &on, &limits);
}

static void
read_log_from(void *ctx, uint64_t offset)
{
    lc_read_from(((Node *)ctx)->log, offset);
}

static void
send_to_peer(void *ctx, const char *node, const Bg__Frame *frame)
{
    peer_send(((Node *)ctx)->peers, node, NULL, NULL, frame);
}

static void
append_first(void *ctx, Bg__Record *r)
{
    if (!lc_append_first(((Node *)ctx)->log, r)) {
        bg_log(BG_WARN, "node",
               "Append queue is full; a checkpoint record is dropped.");
    }
}

static void
open_appends(void *ctx, bool open)
{
    lc_open_appends(((Node *)ctx)->log, open);
}

/* The restored state may hold a newer claim than that of an owner that was
   paused.  The owner's next order would carry the restored offset, which is
   above its successor's fencing token.  So the role checks its claim here,
   before any other event. */
static void
take_restored(void *ctx)
{
    Node *n = ctx;
    n->role->on_tick(n->role->ctx, bg_now_ms());
}

static void
open_feed(Node *n)
{
    const IniFile *s = n->settings;
    FeedParams params = {
        .node = n->name,
        .data_centre = node_get_data_centre(n),
        .role = n->role->role,
        .readers_per_centre =
            (uint32_t)ini_get_int(s, "log", "readers_per_centre"),
        .relay_wait_ms = (uint32_t)ini_get_int(s, "log", "relay_wait_ms"),
        .checkpoint_entries =
            (uint32_t)ini_get_int(s, "log", "checkpoint_entries"),
        .checkpoint_ms = (uint32_t)ini_get_int(s, "log", "checkpoint_ms"),
        .seed = bg_now_us()};
    FeedOutput out = {n,
                      read_log_from,
                      send_to_peer,
                      append_first,
                      open_appends,
                      take_restored};
    n->feed = feed_create(&params, n->fold, &out);
}

static void
open_peers(Node *n)
{
    const IniFile *f = n->settings;
    PeerSettings s = {
        .node = n->name,
        .data_centre = node_get_data_centre(n),
        .role = n->role->role,
        .listen = ini_get_text(f, "peers", "listen"),
        .dial = ini_get_text(f, "peers", "dial"),
        .bridges = ini_get_text(f, "peers", "bridges"),
        .shared_key = ini_get_text(f, "peers", "shared_key"),
        .heartbeat_ms = (uint32_t)ini_get_int(f, "peers", "heartbeat_ms"),
        .silence_ms = (uint32_t)ini_get_int(f, "peers", "silence_ms")};
    PeerHandlers on = {take_peer_frame, take_link_up, take_link_down,
                       fill_heartbeat, n};
    n->peers = peer_create(&s, &on);
}

static bool
start_node(Node *n, GError **err)
{
    n->ring = ring_create(RING_EVENTS);
    n->fold = fold_create();
    fold_set_observer(n->fold, observe_record, n);
    n->config = fold_get_config(n->fold);
    pthread_mutex_init(&n->lock, NULL);
    bg__heartbeat__init(&n->own_heartbeat);
    open_log(n);
    open_peers(n);
    open_feed(n);
    n->roster = roster_create(n->name, node_get_data_centre(n), n->role->role);
    if (!n->role->start(n->role->ctx, n, err)) {
        return false;
    }
    if (pthread_create(&n->core, NULL, run_core, n) != 0) {
        g_set_error(err, BG_ERROR, BG_ERR_FULL, "no thread");
        return false;
    }
    if (!peer_start(n->peers, err) || !start_http(n, err)) {
        return false;
    }
    lc_start(n->log);
    bg_log(BG_INFO, "node", "%s %s serves on %s.", n->role->role, n->name,
           ini_get_text(n->settings, "node", "http"));
    return true;
}

/* Graceful stop: the health check fails first, so that the load balancer sends
   no new requests; then requests in flight are finished. */
static void
drain_node(Node *n)
{
    bg_log(BG_INFO, "node", "Stopping: no new work.");
    atomic_store(&n->draining, true);
    Event e = {.kind = EV_DRAIN};
    post_event_wait(n, &e);
    uint64_t until_ms =
        bg_now_ms() + (uint64_t)ini_get_int(n->settings, "node", "drain_ms");
    bg_sleep_ms(2 * TICK_MS);
    /* The load balancer sends requests until it has seen the health check
       fail.  Their callers get a refusal instead of a connection reset. */
    bg_sleep_ms((uint32_t)ini_get_int(n->settings, "node", "drain_notice_ms"));
    while (!atomic_load(&n->drained) && bg_now_ms() < until_ms) {
        bg_sleep_ms(TICK_MS);
    }
}

static void
stop_node(Node *n)
{
    if (n->http) {
        mg_stop(n->http);
    }
    lc_stop(n->log, STOP_APPEND_MS);
    peer_stop(n->peers);
    atomic_store(&n->stopping, true);
    pthread_join(n->core, NULL);
    n->role->stop(n->role->ctx);
    peer_destroy(n->peers);
    lc_destroy(n->log);
    Event *e;
    while ((e = ring_pop(n->ring, 0))) {
        free_event_parts(e);
        g_free(e);
    }
    ring_destroy(n->ring, NULL);
    feed_destroy(n->feed);
    roster_destroy(n->roster);
    fold_destroy(n->fold);
    g_free(n->state_line);
    pthread_mutex_destroy(&n->lock);
    cfg_unref(n->config);
    bg_log(BG_INFO, "node", "Stopped.");
}

/* ---- command line ------------------------------------------------------- */

typedef struct {
    const char *settings_path;
    bool check_only;
    bool print_settings;
} Arguments;

static const struct argp_option options[] = {
    {"config", 'c', "FILE", 0, "Settings file (INI)", 0},
    {"check", 'k', NULL, 0, "Check the settings and stop", 0},
    {"print-settings", 'p', NULL, 0, "Print every setting with its default",
     0},
    {0}};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    Arguments *a = state->input;
    switch (key) {
    case 'c':
        a->settings_path = arg;
        return 0;
    case 'k':
        a->check_only = true;
        return 0;
    case 'p':
        a->print_settings = true;
        return 0;
    case ARGP_KEY_END:
        if (!a->settings_path && !a->print_settings) {
            argp_error(state, "--config is missing");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

const char *argp_program_version = "bitternglade " BG_VERSION;

static IniRule *
join_rules(const IniRule *a, const IniRule *b)
{
    GArray *all = g_array_new(TRUE, TRUE, sizeof(IniRule));
    for (; a->section; a++) {
        g_array_append_val(all, *a);
    }
    for (; b->section; b++) {
        g_array_append_val(all, *b);
    }
    return (IniRule *)(void *)g_array_free(all, FALSE);
}

static IniFile *
load_settings(const char *path, const IniRule *rules)
{
    g_autoptr(GString) faults = g_string_new(NULL);
    IniFile *f = ini_load(path, rules, faults);
    if (!f) {
        fputs(faults->str, stderr);
        return NULL;
    }
    BgLevel level;
    if (bg_parse_log_level(ini_get_text(f, "node", "log_level"), &level)) {
        bg_set_log_level(level);
    }
    return f;
}

static int
serve(Node *n)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    /* Else each thread's heap keeps what its largest request took. */
    cl_init_allocator(MAX_ARENAS);
    hc_init_process();
    g_autoptr(GError) err = NULL;
    if (!start_node(n, &err)) {
        bg_log(BG_FAULT, "node", "Cannot start: %s.", err->message);
        /* The role's threads may already run and use what a return would
           free.  Nothing was served yet, so no cleanup is needed. */
        _exit(EXIT_FAILURE);
    }
    int sig;
    sigwait(&set, &sig);
    drain_node(n);
    stop_node(n);
    hc_end_process();
    return EXIT_SUCCESS;
}

int
node_main(int argc, char **argv, NodeRole *role)
{
    Arguments args = {0};
    struct argp argp = {options, parse_option, NULL, role->doc,
                        NULL,    NULL,         NULL};
    argp_parse(&argp, argc, argv, 0, NULL, &args);
    g_autofree IniRule *rules = join_rules(common_rules, role->rules);
    if (args.print_settings) {
        g_autoptr(GString) text = g_string_new(NULL);
        ini_print_schema(rules, text);
        fputs(text->str, stdout);
        return EXIT_SUCCESS;
    }
    IniFile *settings = load_settings(args.settings_path, rules);
    if (!settings) {
        return EXIT_BAD_SETTINGS;
    }
    int code = EXIT_SUCCESS;
    if (args.check_only) {
        puts("settings are good");
    }
    else {
        Node n = {.role = role, .settings = settings};
        n.name = make_name(settings);
        code = serve(&n);
        g_free(n.name);
    }
    ini_destroy(settings);
    return code;
}
