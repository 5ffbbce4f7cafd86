#include "desk.h"

#include "client_limits.h"
#include "ini.h"

#include <stdatomic.h>
#include <string.h>

#define MAX_POOLED_CLIENTS 256

/* The core thread's state of a request.  The ticket is on the stack of a
   thread that returns once its call is done, so only a decision may access
   it; what the core needs again is copied here. */
typedef struct {
    Ticket *ticket;
    uint8_t digest[32]; /* of the whole request */
    bool suspect;       /* an upstream died while running an equal request */
} RequestState;

struct Desk {
    Node *node;
    /* Core thread only. */
    GHashTable *tickets;      /* id -> RequestState */
    GHashTable *claiming;     /* id -> DeskEvent whose claim is pending */
    GHashTable *reservations; /* id -> Reservation */
    Lim *lim;
    OnceCore *once;
    QrCore *quarantine;

    atomic_uint_fast64_t next_id;
    atomic_uint active;
    uint32_t max_active; /* beyond it requests are refused */
    atomic_uint active_models[CFG_CLASSES]; /* active model calls, by class */
    CallLimits limits;
    GHashTable *silent; /* address -> uint64_t ms; under pool_lock */
    pthread_mutex_t pool_lock;
    GQueue pool; /* idle HcClient */
    Cg *gate;
    uint32_t client_ms;
    ClTrim trim;
};

/* What an admitted request takes up of its workspace's limits. */
typedef struct {
    uint64_t id;
    char *workspace;
    uint32_t tokens;
    uint64_t start_ms;
} Reservation;

static void
free_reservation(gpointer p)
{
    g_free(((Reservation *)p)->workspace);
    g_free(p);
}

static CallLimits
read_limits(const IniFile *f)
{
    CallLimits l = {
        .connect_ms = (uint32_t)ini_get_int(f, "router", "connect_ms"),
        .first_byte_ms = (uint32_t)ini_get_int(f, "router", "first_byte_ms"),
        .answer_ms = (uint32_t)ini_get_int(f, "router", "answer_ms"),
        .idle_ms = (uint32_t)ini_get_int(f, "router", "idle_ms"),
        .pool_idle_ms = (uint32_t)ini_get_int(f, "router", "pool_idle_ms")};
    return l;
}

Desk *
desk_create(Node *n, Lim *limits)
{
    Desk *d = g_new0(Desk, 1);
    d->node = n;
    d->tickets =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    d->claiming = g_hash_table_new(g_int64_hash, g_int64_equal);
    uint32_t threads = node_get_http_threads(n);
    /* Some threads stay free to refuse requests and for the health checks of
       the load balancer. */
    d->max_active = threads - MAX(threads / 8, 2);
    d->lim = limits;
    d->reservations = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
                                            free_reservation);
    d->limits = read_limits(node_get_settings(n));
    d->silent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    pthread_mutex_init(&d->pool_lock, NULL);
    g_queue_init(&d->pool);
    d->gate = cg_create(node_get_client_bytes(n));
    d->client_ms = (uint32_t)ini_get_int(node_get_settings(n), "node",
                                         "client_timeout_ms");
    return d;
}

void
desk_use_cores(Desk *d, OnceCore *once, QrCore *quarantine)
{
    d->once = once;
    d->quarantine = quarantine;
}

static void
free_event(DeskEvent *e)
{
    if (e->body) {
        g_bytes_unref(e->body);
    }
    g_free(e->content_type);
    g_free(e->upstream);
    g_free(e);
}

void
desk_destroy(Desk *d)
{
    GHashTableIter it;
    gpointer e;
    g_hash_table_iter_init(&it, d->claiming);
    while (g_hash_table_iter_next(&it, NULL, &e)) {
        free_event(e);
    }
    g_hash_table_destroy(d->claiming);
    g_queue_clear_full(&d->pool, (GDestroyNotify)hc_destroy);
    pthread_mutex_destroy(&d->pool_lock);
    g_hash_table_destroy(d->tickets);
    g_hash_table_destroy(d->silent);
    g_hash_table_destroy(d->reservations);
    cg_destroy(d->gate);
    g_free(d);
}

uint32_t
desk_count(const Desk *d)
{
    return atomic_load(&d->active);
}

HcClient *
desk_take_client(Desk *d)
{
    pthread_mutex_lock(&d->pool_lock);
    HcClient *c = g_queue_pop_head(&d->pool);
    pthread_mutex_unlock(&d->pool_lock);
    return c ? c : hc_create();
}

void
desk_return_client(Desk *d, HcClient *c)
{
    pthread_mutex_lock(&d->pool_lock);
    bool keep = g_queue_get_length(&d->pool) < MAX_POOLED_CLIENTS;
    if (keep) {
        g_queue_push_head(&d->pool, c);
    }
    pthread_mutex_unlock(&d->pool_lock);
    if (!keep) {
        hc_destroy(c);
    }
}

void
desk_mark_silent(Desk *d, const char *address)
{
    uint64_t *when = g_new(uint64_t, 1);
    *when = bg_now_ms();
    pthread_mutex_lock(&d->pool_lock);
    g_hash_table_replace(d->silent, g_strdup(address), when);
    pthread_mutex_unlock(&d->pool_lock);
    bg_count("router_silent_connections_total", 1);
}

bool
desk_is_silent(Desk *d, const char *address)
{
    pthread_mutex_lock(&d->pool_lock);
    const uint64_t *when = g_hash_table_lookup(d->silent, address);
    bool silent = when && bg_now_ms() < *when + d->limits.pool_idle_ms;
    if (when && !silent) {
        g_hash_table_remove(d->silent, address);
    }
    pthread_mutex_unlock(&d->pool_lock);
    return silent;
}

/* ---- request threads ---------------------------------------------------- */

uint64_t
desk_enter(Desk *d)
{
    atomic_fetch_add(&d->active, 1);
    return atomic_fetch_add(&d->next_id, 1) + 1;
}

void
desk_leave(Desk *d)
{
    atomic_fetch_sub(&d->active, 1);
}

Cg *
desk_get_gate(const Desk *d)
{
    return d->gate;
}

void
desk_trim_memory(Desk *d)
{
    uint64_t peak_bytes = cg_take_peak(d->gate);
    uint64_t held_bytes = cg_get_sum(d->gate);
    bg_gauge("router_client_bytes", held_bytes);
    cl_trim(&d->trim, peak_bytes, held_bytes);
}

uint32_t
desk_get_client_ms(const Desk *d)
{
    return d->client_ms;
}

bool
desk_is_full(const Desk *d)
{
    return atomic_load(&d->active) > d->max_active;
}

bool
desk_enter_class(Desk *d, CfgClass class_)
{
    uint32_t max_active = d->max_active;
    uint32_t calls[CFG_CLASSES];
    atomic_fetch_add(&d->active_models[class_], 1);
    for (int i = 0; i < CFG_CLASSES; i++) {
        calls[i] = atomic_load(&d->active_models[i]);
    }
    switch (class_) {
    case CFG_BATCH:
        return calls[CFG_BATCH] <= max_active / 2;
    case CFG_INTERACTIVE:
        return calls[CFG_BATCH] + calls[CFG_INTERACTIVE] <= max_active / 4 * 3;
    case CFG_LOOKUP:
        return calls[CFG_LOOKUP] + calls[CFG_BATCH] + calls[CFG_INTERACTIVE] <=
               max_active / 8 * 7;
    }
    return false;
}

void
desk_leave_class(Desk *d, CfgClass class_)
{
    atomic_fetch_sub(&d->active_models[class_], 1);
}

Node *
desk_get_node(const Desk *d)
{
    return d->node;
}

const CallLimits *
desk_get_limits(const Desk *d)
{
    return &d->limits;
}

/* ---- core thread -------------------------------------------------------- */

/* Reserves what the request may use; false: over a limit. */
static bool
reserve_limits(Desk *d, uint64_t now_ms, const RtRequest *r,
               uint64_t *retry_after_ms)
{
    uint32_t tokens = r->model ? r->cost : 0;
    if (!lim_admit(d->lim, now_ms, r->workspace, tokens, retry_after_ms)) {
        return false;
    }
    Reservation *held = g_new0(Reservation, 1);
    held->id = r->id;
    held->workspace = g_strdup(r->workspace);
    held->tokens = tokens;
    held->start_ms = now_ms;
    g_hash_table_replace(d->reservations, &held->id, held);
    return true;
}

static void
release_limits(Desk *d, uint64_t id, uint32_t used)
{
    const Reservation *held = g_hash_table_lookup(d->reservations, &id);
    if (held) {
        uint64_t now_ms = bg_now_ms();
        lim_release(d->lim, now_ms, held->workspace, held->tokens, used,
                    now_ms - held->start_ms);
        g_hash_table_remove(d->reservations, &id);
    }
}

/* Passes a decision to the request thread; false: none waits for it. */
static bool
deliver_decision(Desk *d, uint64_t id, const Ticket *decided)
{
    RequestState *w = g_hash_table_lookup(d->tickets, &id);
    if (!w) {
        return false;
    }
    Ticket *t = w->ticket;
    /* The ticket is on the waiting thread's stack and must not be accessed
       after the final decision, so it leaves the table first. */
    if (decided->decision != DECIDED_SEND) {
        g_hash_table_remove(d->tickets, &id);
        release_limits(d, id, 0);
    }
    pthread_mutex_lock(&t->lock);
    t->decision = decided->decision;
    t->reason = decided->reason;
    t->retry_after_ms = decided->retry_after_ms;
    t->long_run_ms = decided->long_run_ms;
    t->reply = decided->reply;
    t->quarantined = decided->quarantined;
    g_strlcpy(t->upstream, decided->upstream, sizeof(t->upstream));
    g_strlcpy(t->address, decided->address, sizeof(t->address));
    pthread_cond_signal(&t->decided);
    pthread_mutex_unlock(&t->lock);
    return true;
}

void
desk_on_send(Desk *d, uint64_t id, const char *upstream, const char *address,
             uint32_t long_run_ms)
{
    Ticket t = {.decision = DECIDED_SEND, .long_run_ms = long_run_ms};
    g_strlcpy(t.upstream, upstream, sizeof(t.upstream));
    g_strlcpy(t.address, address, sizeof(t.address));
    deliver_decision(d, id, &t);
}

void
desk_on_refuse(Desk *d, uint64_t id, RtReason reason, uint64_t retry_after_ms)
{
    Ticket t = {.decision = DECIDED_REFUSE,
                .reason = reason,
                .retry_after_ms = retry_after_ms};
    deliver_decision(d, id, &t);
}

void
desk_on_finish(Desk *d, uint64_t id)
{
    Ticket t = {.decision = DECIDED_FINISH};
    const RequestState *w = g_hash_table_lookup(d->tickets, &id);
    t.quarantined =
        w && qr_get_verdict(d->quarantine, w->digest) == QR_QUARANTINED;
    deliver_decision(d, id, &t);
}

/* ---- core thread: at most once, quarantine ------------------------------ */

void
desk_free_reply(OnceReply *r)
{
    if (r) {
        g_free(r->reason);
        g_free(r->content_type);
        if (r->body) {
            g_bytes_unref(r->body);
        }
        g_free(r);
    }
}

static OnceReply *
copy_decision(const OnceDecision *o)
{
    OnceReply *r = g_new0(OnceReply, 1);
    r->verdict = o->verdict;
    r->reason = g_strdup(o->reason);
    r->retry_after_ms = o->retry_after_ms;
    r->status = o->status;
    r->content_type = g_strdup(o->content_type);
    r->body = g_bytes_new(o->body, o->body_len);
    r->answer_dropped = o->answer_dropped;
    return r;
}

/* Routes a request whose claim, if any, was won, unless it is in quarantine.
 */
static void
route_request(Desk *d, RtCore *core, uint64_t now_ms, DeskEvent *e)
{
    QrVerdict verdict = qr_get_verdict(d->quarantine, e->digest);
    if (verdict == QR_QUARANTINED) {
        once_on_refused(d->once, now_ms, bg_wall_ms(), e->id);
        desk_on_refuse(d, e->id, RT_REFUSED_QUARANTINE, 0);
        return;
    }
    RequestState *w = g_hash_table_lookup(d->tickets, &e->id);
    w->suspect = verdict == QR_SUSPECT;
    e->request.suspect = w->suspect;
    rt_on_arrive(core, now_ms, &e->request);
}

void
desk_on_once(Desk *d, RtCore *core, uint64_t now_ms, uint64_t id,
             const OnceDecision *decision)
{
    DeskEvent *e = g_hash_table_lookup(d->claiming, &id);
    if (!e) {
        return;
    }
    g_hash_table_remove(d->claiming, &id);
    if (decision->verdict == ONCE_RUN) {
        route_request(d, core, now_ms, e);
    }
    else {
        Ticket t = {.decision = DECIDED_ONCE,
                    .reply = copy_decision(decision)};
        if (!deliver_decision(d, id, &t)) {
            desk_free_reply(t.reply);
        }
    }
    free_event(e);
}

void
desk_on_death(Desk *d, RtCore *core, const uint8_t digest[32])
{
    QrVerdict verdict = qr_get_verdict(d->quarantine, digest);
    g_autoptr(GArray) ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GHashTableIter it;
    gpointer id;
    gpointer w;
    g_hash_table_iter_init(&it, d->tickets);
    while (verdict != QR_CLEAR && g_hash_table_iter_next(&it, &id, &w)) {
        if (memcmp(((RequestState *)w)->digest, digest, 32) == 0) {
            g_array_append_val(ids, *(uint64_t *)id);
        }
    }
    /* Not within the iteration: a refusal removes its ticket from the table.
     */
    for (guint i = 0; i < ids->len; i++) {
        rt_on_death(core, g_array_index(ids, uint64_t, i),
                    verdict == QR_QUARANTINED);
    }
}

/* Called before the routing core gets the result: a refusal or finish that
   follows must find the key and the deaths updated by this attempt. */
static void
record_result(Desk *d, RtCore *core, uint64_t now_ms, const DeskEvent *e)
{
    uint64_t wall_ms = bg_wall_ms();
    if (e->attempt.outcome == RT_OUTCOME_OK) {
        once_on_answered(d->once, now_ms, wall_ms, e->id, &e->result);
    }
    else if (e->attempt.outcome == RT_OUTCOME_NOT_SENT ||
             e->attempt.outcome == RT_OUTCOME_REJECTED) {
        once_on_unsent(d->once, e->id);
    }
    else {
        once_on_broken(d->once, now_ms, wall_ms, e->id);
    }
    RequestState *w = g_hash_table_lookup(d->tickets, &e->id);
    if (!w || !e->upstream) {
        return;
    }
    /* From now on it is only sent to an upstream without other calls. */
    w->suspect = w->suspect || e->attempt.died;
    /* The VM of a leaving upstream is removed on purpose: the request is not
       the cause. */
    if (e->connection_broke && !rt_is_leaving(core, e->upstream)) {
        qr_on_broken(d->quarantine, now_ms, wall_ms, w->digest, e->upstream,
                     e->attempt.died);
    }
    if (e->attempt.outcome == RT_OUTCOME_OK && w->suspect) {
        qr_on_suspect_answered(d->quarantine, wall_ms, w->digest, e->upstream);
    }
}

static void
begin_request(Desk *d, RtCore *core, uint64_t now_ms, DeskEvent *e)
{
    uint64_t *id = g_new(uint64_t, 1);
    *id = e->id;
    RequestState *w = g_new0(RequestState, 1);
    w->ticket = e->ticket;
    memcpy(w->digest, e->digest, sizeof(w->digest));
    g_hash_table_insert(d->tickets, id, w);
    uint64_t retry_after_ms;
    if (!reserve_limits(d, now_ms, &e->request, &retry_after_ms)) {
        desk_on_refuse(d, e->id, RT_REFUSED_LIMIT, retry_after_ms);
        free_event(e);
        return;
    }
    if (e->keyed) {
        g_hash_table_insert(d->claiming, &e->id, e);
        once_on_begin(d->once, now_ms, bg_wall_ms(), &e->call);
        return;
    }
    route_request(d, core, now_ms, e);
    free_event(e);
}

static void
cancel_request(Desk *d, RtCore *core, uint64_t now_ms, uint64_t id)
{
    Ticket drop = {.decision = DECIDED_DROP};
    if (rt_on_cancel(core, now_ms, id)) {
        deliver_decision(d, id, &drop);
    }
}

static void
end_attempt(Desk *d, RtCore *core, uint64_t now_ms, const DeskEvent *e)
{
    record_result(d, core, now_ms, e);
    if (e->attempt.outcome == RT_OUTCOME_OK ||
        e->attempt.outcome == RT_OUTCOME_CANCELLED) {
        g_hash_table_remove(d->tickets, &e->id);
        release_limits(d, e->id, e->used);
    }
    rt_on_done(core, now_ms, e->id, &e->attempt);
}

void
desk_on_event(Desk *d, RtCore *core, uint64_t now_ms, void *event)
{
    DeskEvent *e = event;
    switch (e->kind) {
    case DESK_ARRIVE:
        begin_request(d, core, now_ms, e); /* owns the event from here */
        return;
    case DESK_CANCEL:
        cancel_request(d, core, now_ms, e->id);
        break;
    case DESK_DONE:
        end_attempt(d, core, now_ms, e);
        break;
    }
    free_event(e);
}
