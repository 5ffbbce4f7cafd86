#include "http_pool_internal.h"

#include "sockets.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A connection that no call waits for, to see whether a path is back. */
#define PROBE_CONNECT_MS 250
/* A helper that has not answered by then is cut off too, or gone. */
#define HELPER_ANSWER_MS 150
/* After so long without a byte from an upstream a new connection shows whether
   it is slow or out of reach. */
#define SILENT_CALL_MS 500
/* After an answer that doesn't say whose it is the call's own may follow at
   once; else that was it. */
#define UNNAMED_MS 250

void
ht_free_call(HtCall *call)
{
    g_byte_array_free(call->request, TRUE);
    ae_destroy(call->answer);
    g_ptr_array_free(call->helpers, TRUE);
    g_free(call->address);
    g_free(call->match_name);
    g_free(call->match_value);
    g_free(call);
}

void
ht_free_conn(HtConn *w)
{
    ht_free_message(&w->msg);
    g_byte_array_free(w->framed, TRUE);
    g_byte_array_free(w->rest, TRUE);
    g_array_free(w->ids, TRUE);
    g_free(w->address);
    g_free(w->helper);
    g_free(w);
}

void
ht_forget_opening(HtConn *w)
{
    HtCall *call = w->opener;
    w->opener = NULL;
    if (call && call->direct == w) {
        call->direct = NULL;
    }
    for (size_t i = 0; call && i < HT_MAX_HELPERS; i++) {
        if (call->detours[i] == w) {
            call->detours[i] = NULL;
        }
    }
}

void
ht_close_conn(HtConn *w)
{
    ev_io_stop(w->pool->loop, &w->read_watch);
    ev_io_stop(w->pool->loop, &w->write_watch);
    close(w->fd);
    g_queue_delete_link(&w->pool->conns, w->link);
    ht_forget_opening(w);
    w->closed = true;
    if (!w->unframing) {
        ht_free_conn(w);
    }
}

void
ht_end_call(HtCall *call, AeEnd end)
{
    call->conn = NULL;
    call->handler.on_end(call->handler.ctx, call, end, call->answer);
    ht_free_call(call);
}

void
ht_note_lost(HtConn *w)
{
    uint64_t *at_ms = g_new(uint64_t, 1);
    *at_ms = bg_boot_ms();
    g_hash_table_replace(w->pool->lost, g_strdup(w->address), at_ms);
}

uint64_t
ht_get_lost_ms(const HtPool *p, const char *address)
{
    const uint64_t *at_ms = g_hash_table_lookup(p->lost, address);
    return at_ms ? *at_ms : 0;
}

void
ht_close_call(HtConn *w, AeEnd end)
{
    HtCall *call = w->call;
    w->call = NULL;
    ht_close_conn(w);
    if (call) {
        ht_end_call(call, call->sent == 0 ? AE_NOT_SENT : end);
    }
}

bool
ht_may_move_call(const HtConn *w)
{
    return w->call && w->call->sent == 0 && w->carried;
}

void
ht_fail_conn(HtConn *w, AeSignal signal)
{
    if (w->held_ms) {
        w->reusable = false;
        ht_end_held(w); /* it is whole, whatever ended its connection */
        return;
    }
    if (ht_may_move_call(w)) {
        ht_move_call(w);
        return;
    }
    AeEnd end = w->call ? ae_end(w->call->answer, signal) : AE_RESET;
    if (!ae_is_whole(end)) {
        ht_note_lost(w);
    }
    ht_close_call(w, end);
}

static bool
may_write(HtCall *call)
{
    const HtCallHandler *h = &call->handler;
    return call->sent > 0 || !h->may_write || h->may_write(h->ctx, call);
}

/* The connection is idle again. */
static void
hold_back(HtConn *w)
{
    HtCall *call = w->call;
    if (call->fresh) {
        ht_close_call(w, AE_NOT_SENT);
        return;
    }
    w->call = NULL;
    ht_resume_call(call);
    ht_make_idle(w);
    ev_io_stop(w->pool->loop, &w->write_watch);
    ht_end_call(call, AE_NOT_SENT);
}

void
ht_send_request(HtConn *w)
{
    HtCall *call = w->call;
    if (!may_write(call)) {
        hold_back(w);
        return;
    }
    while (call->sent < call->request->len) {
        ssize_t n = send(w->fd, call->request->data + call->sent,
                         call->request->len - call->sent, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
            return;
        }
        if (n < 0 && errno != EINTR) {
            ht_fail_conn(w, AE_FAILED);
            return;
        }
        if (call->sent == 0 && n > 0) {
            call->sent_ms = bg_boot_ms();
            ht_keep_id(w);
        }
        call->sent += n > 0 ? (size_t)n : 0;
    }
    ev_io_stop(w->pool->loop, &w->write_watch);
}

static bool
is_unused(const HtConn *w)
{
    return !w->call && !w->connecting && !w->asking;
}

/* Connections by way of a helper are left alone while the own path works. */
static bool
may_reuse(const HtConn *w, const HtRequest *req, bool use_helpers)
{
    return is_unused(w) && strcmp(w->address, req->address) == 0 &&
           (!w->helper || use_helpers) && !ht_has_carried(w, req->match_value);
}

/* The idle connection that was used last, as it is the least likely to have
   been closed. */
static HtConn *
take_idle(HtPool *p, const HtRequest *req)
{
    uint64_t now_ms = bg_boot_ms();
    Pt *paths = req->way == HT_WAY_ANY ? p->detours.paths : NULL;
    bool use_helpers =
        paths && (pt_is_failed(paths, req->address) || pt_is_cut_off(paths));
    HtConn *best = NULL;
    for (GList *l = p->conns.head; l; l = l->next) {
        HtConn *w = l->data;
        uint64_t idle_ms = now_ms - w->since_ms;
        if (may_reuse(w, req, use_helpers) && idle_ms < w->keep_ms &&
            (!req->max_idle_ms || idle_ms < req->max_idle_ms) &&
            (!best || w->since_ms > best->since_ms)) {
            best = w;
        }
    }
    return best && so_is_quiet(best->fd) ? best : NULL;
}

static void
on_fail_timer(struct ev_loop *loop, ev_timer *t, int events)
{
    (void)loop;
    (void)events;
    HtPool *p = t->data;
    HtCall *call;
    while ((call = g_queue_pop_head(&p->failed))) {
        ht_end_call(call, AE_NOT_SENT);
    }
}

HtPool *
ht_create_pool(struct ev_loop *loop)
{
    HtPool *p = g_new0(HtPool, 1);
    p->loop = loop;
    g_queue_init(&p->conns);
    g_queue_init(&p->failed);
    p->lost = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    ev_timer_init(&p->fail_timer, on_fail_timer, 0., 0.);
    p->fail_timer.data = p;
    return p;
}

void
ht_set_pool_memory(HtPool *p, const Cm *memory)
{
    p->memory = memory;
}

void
ht_set_detours(HtPool *p, const HtDetours *detours)
{
    p->detours = *detours;
}

void
ht_destroy_pool(HtPool *p)
{
    HtConn *w;
    while ((w = g_queue_peek_head(&p->conns))) {
        HtCall *call = w->opener;
        if (!call) {
            ht_close_call(w, AE_RESET);
            continue;
        }
        ht_close_conn(w);
        if (!ht_is_opening(call)) {
            ht_end_call(call, AE_NOT_SENT);
        }
    }
    on_fail_timer(p->loop, &p->fail_timer, 0);
    ev_timer_stop(p->loop, &p->fail_timer);
    g_hash_table_destroy(p->lost);
    g_free(p);
}

static HtCall *
create_call(HtPool *p, const HtRequest *req, const HtCallHandler *handler)
{
    HtCall *call = g_new0(HtCall, 1);
    call->pool = p;
    call->handler = *handler;
    call->request = req->request;
    call->answer = ae_create(&req->expect);
    call->connect_ms = req->connect_ms;
    call->answer_by_ms = req->answer_by_ms;
    call->begun_ms = bg_boot_ms();
    call->detour_at_ms = UINT64_MAX;
    call->helpers = g_ptr_array_new_with_free_func(g_free);
    call->address = g_strdup(req->address);
    call->match_name = g_strdup(req->match_name);
    call->match_value = g_strdup(req->match_value);
    call->way = p->detours.paths ? req->way : HT_WAY_DIRECT;
    call->fresh = req->fresh;
    call->purpose = req->purpose;
    return call;
}

/* Opens what PLAN says; false: nothing could be opened. */
static bool
open_planned(HtCall *call, const PtPlan *plan)
{
    call->may_detour = plan->detour_after_ms != PT_NEVER;
    if (plan->direct) {
        ht_open_direct(call);
    }
    if (call->may_detour && call->direct) {
        call->detour_at_ms = call->begun_ms + plan->detour_after_ms;
    }
    if (call->may_detour && (plan->detour_after_ms == 0 || !call->direct)) {
        ht_open_detour(call);
    }
    return ht_is_opening(call) || ht_open_direct(call);
}

static void
start_failed(HtPool *p, HtCall *call)
{
    call->failed = true;
    g_queue_push_tail(&p->failed, call);
    call->link = p->failed.tail;
    ev_timer_set(&p->fail_timer, 0., 0.);
    ev_timer_start(p->loop, &p->fail_timer);
}

static PtPlan
plan_opening(const HtCall *call)
{
    static const PtPlan direct = {true, PT_NEVER};
    return call->way == HT_WAY_ANY ? pt_plan(call->pool->detours.paths,
                                             bg_boot_ms(), call->address)
                                   : direct;
}

static void
open_call(HtCall *call)
{
    PtPlan plan = plan_opening(call);
    if (!open_planned(call, &plan)) {
        start_failed(call->pool, call);
    }
}

void
ht_move_call(HtConn *w)
{
    HtCall *call = w->call;
    w->call = NULL;
    call->conn = NULL;
    ht_note_lost(w);
    ht_close_conn(w);
    bg_count("gateway_calls_moved_total", 1);
    open_call(call);
}

HtCall *
ht_start_call(HtPool *p, const HtRequest *req, const HtCallHandler *handler)
{
    HtCall *call = create_call(p, req, handler);
    HtConn *w = req->fresh ? NULL : take_idle(p, req);
    if (!w) {
        open_call(call);
        return call;
    }
    if (w->helper && plan_opening(call).direct) {
        ht_probe(p, req->address);
    }
    ht_attach_call(call, w);
    return call;
}

void
ht_probe(HtPool *p, const char *address)
{
    if (!ht_open_conn(p, address, NULL, HT_WAY_ANY, NULL)) {
        pt_on_direct(p->detours.paths, bg_boot_ms(), address, false);
    }
}

void
ht_cancel_call(HtCall *call)
{
    if (call->failed) {
        g_queue_delete_link(&call->pool->failed, call->link);
        ht_free_call(call);
        return;
    }
    HtConn *w = call->conn;
    if (!w) {
        ht_leave_openings(call);
        ht_free_call(call);
        return;
    }
    w->call = NULL;
    ht_free_call(call);
    so_reset_on_close(w->fd);
    w->cancelled = true;
    if (!w->parsing) {
        ht_close_conn(w);
    } /* else the parser's caller closes it */
}

bool
ht_read_events(HtCall *call, bool continues)
{
    return ae_read_events(call->answer, continues);
}

void
ht_pause_call(HtCall *call)
{
    if (call->conn) {
        ev_io_stop(call->pool->loop, &call->conn->read_watch);
    }
}

void
ht_resume_call(HtCall *call)
{
    if (call->conn) {
        ev_io_start(call->pool->loop, &call->conn->read_watch);
    }
}

bool
ht_was_sent(const HtCall *call)
{
    return call->sent > 0;
}

HtOrigin
ht_get_origin(const HtCall *call)
{
    const HtConn *w = call->conn;
    HtOrigin none = {0};
    HtOrigin origin = {w ? w->number : 0, w ? w->calls : 0, call->skipped,
                       call->match};
    return w ? origin : none;
}

const char *
ht_name_match(HtMatch match)
{
    static const char *const names[HT_MATCHES] = {"none", "id", "first"};
    return names[match];
}

bool
ht_is_cut_off(const HtCall *call)
{
    const HtConn *w = call->conn;
    return w && !w->helper && ht_get_paths(w) &&
           pt_is_failed(ht_get_paths(w), w->address);
}

uint64_t
ht_get_opened_ms(const HtCall *call)
{
    return call->conn ? call->conn->opened_ms : 0;
}

const char *
ht_get_helper(const HtCall *call)
{
    return call->conn ? call->conn->helper : NULL;
}

/* ---- time ---- */

static bool
is_overdue(const HtConn *w, uint64_t now_ms)
{
    const HtCall *opener = w->opener;
    if (w->call) {
        return false;
    }
    if (opener) {
        return now_ms > opener->begun_ms + opener->connect_ms ||
               (w->helper && now_ms > w->since_ms + HELPER_ANSWER_MS);
    }
    return now_ms >=
           w->since_ms + (w->connecting ? PROBE_CONNECT_MS : w->keep_ms);
}

typedef struct {
    bool (*is_due)(const HtConn *w, uint64_t now_ms);
    uint64_t now_ms;
} DueSearch;

/* 0 when W is due. */
static gint
compare_due(gconstpointer w, gconstpointer search)
{
    const DueSearch *s = search;
    return s->is_due(w, s->now_ms) ? 0 : 1;
}

/* A handler may open and close connections, so each search starts over. */
static HtConn *
find_due(HtPool *p, bool (*is_due)(const HtConn *w, uint64_t now_ms),
         uint64_t now_ms)
{
    DueSearch search = {is_due, now_ms};
    GList *found = g_queue_find_custom(&p->conns, &search, compare_due);
    return found ? found->data : NULL;
}

/* CALL has no time left: no other helper is asked. */
static void
end_late_opening(HtConn *w, uint64_t now_ms)
{
    HtCall *call = w->opener;
    if (call && now_ms > call->begun_ms + call->connect_ms) {
        call->may_detour = false;
    }
    if (call || w->connecting) {
        ht_fail_opening(w, PT_LOST, true);
    }
    else {
        ht_close_conn(w);
    }
}

static bool
is_silent(const HtConn *w, uint64_t now_ms)
{
    const HtCall *call = w->call;
    return call && !w->helper && ht_get_paths(w) && call->sent > 0 &&
           !call->heard && now_ms > call->sent_ms + SILENT_CALL_MS;
}

/* Its answer came, it seems, without its id. */
static bool
is_unnamed(const HtConn *w, uint64_t now_ms)
{
    const HtCall *call = w->call;
    return call && call->unnamed_ms && call->match == HT_MATCH_NONE &&
           now_ms > call->unnamed_ms + UNNAMED_MS && !ht_has_unread(w);
}

static void
end_unnamed(HtPool *p, uint64_t now_ms)
{
    HtConn *w;
    while ((w = find_due(p, is_unnamed, now_ms))) {
        bg_count("gateway_unnamed_answers_total", 1);
        ht_close_call(w, AE_NOT_HTTP);
    }
}

static void
end_held(HtPool *p, uint64_t now_ms)
{
    HtConn *w;
    while ((w = find_due(p, ht_was_held, now_ms))) {
        ht_end_held(w);
    }
}

static bool
needs_detour(const HtConn *w, uint64_t now_ms)
{
    return w->opener && now_ms >= w->opener->detour_at_ms;
}

/* Opening only adds connections at the head of the list. */
static void
open_due(HtPool *p, uint64_t now_ms)
{
    for (GList *l = p->conns.head; l; l = l->next) {
        HtConn *w = l->data;
        if (needs_detour(w, now_ms)) {
            ht_open_detour(w->opener);
        }
        else if (is_silent(w, now_ms) &&
                 pt_wants_probe(ht_get_paths(w), now_ms, w->address,
                                w->call->sent_ms)) {
            ht_probe(p, w->address);
        }
    }
}

static gboolean
is_old(gpointer address, gpointer at_ms, gpointer now_ms)
{
    (void)address;
    return *(uint64_t *)now_ms > *(uint64_t *)at_ms + HT_LOST_MS;
}

void
ht_tick_pool(HtPool *p, uint64_t now_ms)
{
    g_hash_table_foreach_remove(p->lost, is_old, &now_ms);
    HtConn *w;
    while ((w = find_due(p, is_overdue, now_ms))) {
        end_late_opening(w, now_ms);
    }
    end_unnamed(p, now_ms);
    end_held(p, now_ms);
    if (p->detours.paths) {
        open_due(p, now_ms);
    }
}

void
ht_drop_idle(HtPool *p, const char *address)
{
    GList *next;
    for (GList *l = p->conns.head; l; l = next) {
        next = l->next;
        HtConn *w = l->data;
        if (is_unused(w) && strcmp(w->address, address) == 0) {
            ht_close_conn(w);
        }
    }
}
