#include "http_pool_internal.h"

#include "frames.h"
#include "sockets.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#define DEFAULT_KEEP_MS 4000 /* without a Keep-Alive header */
/* A helper that has not answered by then may be cut off too: the next is
   asked. */
#define NEXT_HELPER_MS 30
/* So many helpers without a path show that the upstream is down, rather than
   that they are cut off as well. */
#define MIN_NO_PATHS 2
/* Counter of idle connections on which bytes came. */
#define IDLE_BYTES "gateway_idle_bytes_total"
/* Of a helper's frame: what it read from the upstream at once. */
#define MAX_DETOUR_FRAME_BYTES (64 * 1024)

/* ---- ways to an upstream ---- */

static void on_readable(struct ev_loop *loop, ev_io *watch, int events);
static void on_writable(struct ev_loop *loop, ev_io *watch, int events);

static void
count_opened(const HtCall *opener)
{
    static const char *const names[HT_PURPOSES] = {
        "gateway_connections_for_others_total",
        "gateway_connections_for_requests_total",
        "gateway_connections_for_reports_total",
        "gateway_connections_for_orders_total",
        "gateway_connections_for_checks_total",
        "gateway_connections_for_probes_total"};
    bg_count(names[opener ? opener->purpose : HT_FOR_PROBE], 1);
}

HtConn *
ht_open_conn(HtPool *p, const char *address, const char *helper, HtWay way,
             HtCall *opener)
{
    int fd = so_connect(helper ? helper : address);
    if (fd < 0) {
        return NULL;
    }
    HtConn *w = g_new0(HtConn, 1);
    w->pool = p;
    w->number = ++p->opened;
    count_opened(opener);
    w->address = g_strdup(address);
    w->helper = g_strdup(helper);
    w->framed = g_byte_array_new();
    w->rest = g_byte_array_new();
    w->ids = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    w->way = way;
    w->opener = opener;
    w->fd = fd;
    w->connecting = true;
    w->reusable = true;
    w->keep_ms = DEFAULT_KEEP_MS;
    ht_make_idle(w);
    ev_io_init(&w->read_watch, on_readable, fd, EV_READ);
    ev_io_init(&w->write_watch, on_writable, fd, EV_WRITE);
    w->read_watch.data = w;
    w->write_watch.data = w;
    g_queue_push_head(&p->conns, w);
    w->link = p->conns.head;
    ev_io_start(p->loop, &w->write_watch);
    return w;
}

bool
ht_open_direct(HtCall *call)
{
    call->direct =
        ht_open_conn(call->pool, call->address, NULL, call->way, call);
    return call->direct != NULL;
}

bool
ht_is_opening(const HtCall *call)
{
    bool opening = call->direct != NULL;
    for (size_t i = 0; i < HT_MAX_HELPERS; i++) {
        opening = opening || call->detours[i];
    }
    return opening;
}

/* Opens a connection by way of HELPER; false: it fails at once. */
static bool
open_by(HtCall *call, const char *helper)
{
    guint nth = call->helpers->len;
    g_ptr_array_add(call->helpers, g_strdup(helper));
    call->detours[nth] =
        ht_open_conn(call->pool, call->address, helper, HT_WAY_ANY, call);
    return call->detours[nth] != NULL;
}

bool
ht_open_detour(HtCall *call)
{
    Pt *paths = call->pool->detours.paths;
    uint64_t now_ms = bg_boot_ms();
    call->detour_at_ms = UINT64_MAX;
    while (call->may_detour && call->helpers->len < HT_MAX_HELPERS) {
        const char *helper =
            pt_pick_helper(paths, now_ms, call->address, call->helpers);
        if (!helper) {
            return false;
        }
        if (open_by(call, helper)) {
            call->detour_at_ms = now_ms + NEXT_HELPER_MS;
            return true;
        }
    }
    return false;
}

static void
report_detour(HtConn *w, PtAnswer answer)
{
    const HtDetours *d = &w->pool->detours;
    uint64_t now_ms = bg_boot_ms();
    HtDetour detour = {
        .address = w->address,
        .helper = w->helper,
        .request = w->opener ? w->opener->match_value : NULL,
        .answer = answer,
        .after_ms = (uint32_t)(now_ms - w->since_ms),
        .had_failed = pt_is_failed(d->paths, w->address),
    };
    pt_on_detour(d->paths, now_ms, w->address, w->helper, answer);
    d->on_detour(d->ctx, &detour);
}

static void
end_unsent(HtCall *call)
{
    HtPool *p = call->pool;
    if (call->no_paths >= MIN_NO_PATHS) {
        pt_on_no_detour(p->detours.paths, bg_boot_ms(), call->address);
    }
    call->handler.on_end(call->handler.ctx, call, AE_NOT_SENT, call->answer);
    ht_free_call(call);
}

/* A connection for CALL could not be opened.  Asks a helper, or another one;
   ends the call if none is left. */
static void
try_other_way(HtCall *call)
{
    if (!ht_open_detour(call) && !ht_is_opening(call)) {
        end_unsent(call);
    }
}

static void
drop_idle_direct(HtPool *p, const char *address)
{
    GList *next;
    for (GList *l = p->conns.head; l; l = next) {
        next = l->next;
        HtConn *w = l->data;
        if (!w->call && !w->opener && !w->connecting && !w->helper &&
            w->way == HT_WAY_ANY &&
            (!address || strcmp(w->address, address) == 0)) {
            ht_close_conn(w);
        }
    }
}

/* Connections from before a path went silent carry nothing any more, and what
   is sent on them is lost. */
static void
note_direct_timeout(HtPool *p, const char *address)
{
    Pt *paths = p->detours.paths;
    pt_on_direct(paths, bg_boot_ms(), address, false);
    drop_idle_direct(p, pt_is_cut_off(paths) ? NULL : address);
}

void
ht_fail_opening(HtConn *w, PtAnswer answer, bool timed_out)
{
    HtPool *p = w->pool;
    HtCall *call = w->opener;
    if (w->helper) {
        report_detour(w, answer);
        if (call) {
            call->no_paths += answer == PT_NO_PATH;
        }
    }
    else if (ht_get_paths(w) && !timed_out) {
        pt_on_direct(ht_get_paths(w), bg_boot_ms(), w->address, false);
    }
    g_autofree char *silent = ht_get_paths(w) && !w->helper && timed_out
                                  ? g_strdup(w->address)
                                  : NULL;
    so_reset_on_close(w->fd);
    ht_close_conn(w);
    if (silent) {
        note_direct_timeout(p, silent);
    }
    if (call) {
        try_other_way(call);
    }
}

void
ht_attach_call(HtCall *call, HtConn *w)
{
    call->conn = w;
    w->call = call;
    w->calls++;
    w->opened_ms = w->opened_ms ? w->opened_ms : bg_boot_ms();
    /* Bytes sent into a connection that the far side has just closed would
       be lost, so the write waits until the loop reports it writable. */
    ev_io_start(w->pool->loop, &w->write_watch);
}

static void
leave_opening(HtConn *w)
{
    if (w && w->helper) {
        so_reset_on_close(w->fd);
        ht_close_conn(w);
    }
    else if (w) {
        ht_forget_opening(w);
    }
}

void
ht_leave_openings(HtCall *call)
{
    leave_opening(call->direct);
    for (size_t i = 0; i < HT_MAX_HELPERS; i++) {
        leave_opening(call->detours[i]);
    }
}

static void
use_opened(HtConn *w)
{
    HtCall *call = w->opener;
    if (!w->helper && ht_get_paths(w)) {
        pt_on_direct(ht_get_paths(w), bg_boot_ms(), w->address, true);
    }
    ht_forget_opening(w);
    ht_make_idle(w);
    if (!call) {
        ev_io_stop(w->pool->loop, &w->write_watch);
        return;
    }
    ht_leave_openings(call);
    ht_attach_call(call, w);
}

/* ---- a helper's frames ---- */

static void
ask_helper(HtConn *w)
{
    const HtDetours *d = &w->pool->detours;
    Gwp__DetourAsk ask = GWP__DETOUR_ASK__INIT;
    d->fill_ask(d->ctx, &ask);
    ask.address = w->address;
    const char *request = w->opener ? w->opener->match_value : NULL;
    ask.request = (char *)(request ? request : "");
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_DETOUR_ASK;
    f.detour_ask = &ask;
    g_autoptr(GByteArray) bytes = fr_pack(&f);
    ev_io_stop(w->pool->loop, &w->write_watch);
    w->asking = true;
    /* The first bytes of a connection always fit into its buffer. */
    if (send(w->fd, bytes->data, bytes->len, MSG_NOSIGNAL) !=
        (ssize_t)bytes->len) {
        ht_fail_opening(w, PT_LOST, false);
    }
}

static PtAnswer
read_answer(const Gwp__DetourAnswer *a)
{
    switch (a->result) {
    case GWP__DETOUR_RESULT__DETOUR_OPEN:
        return PT_OPENED;
    case GWP__DETOUR_RESULT__DETOUR_NO_PATH:
        return PT_NO_PATH;
    case GWP__DETOUR_RESULT__DETOUR_CUT:
        return PT_CUT;
    case GWP__DETOUR_RESULT__DETOUR_FULL:
        return PT_FULL;
    default:
        return PT_REFUSED;
    }
}

static void
take_answer(HtConn *w, const Gwp__DetourAnswer *a)
{
    PtAnswer answer = read_answer(a);
    if (answer != PT_OPENED) {
        ht_fail_opening(w, answer, false);
        return;
    }
    report_detour(w, PT_OPENED);
    w->asking = false;
    use_opened(w);
}

static void
take_frame(HtConn *w, const Gwp__Frame *f)
{
    if (w->asking && f->body_case == GWP__FRAME__BODY_DETOUR_ANSWER) {
        take_answer(w, f->detour_answer);
    }
    else if (w->asking) {
        ht_fail_opening(w, PT_LOST, false);
    }
    else if (!w->call) {
        if (f->body_case == GWP__FRAME__BODY_DETOUR_DATA) {
            bg_count(IDLE_BYTES, 1);
        }
        ht_note_lost(w); /* ended by the upstream, or bytes without a call */
        ht_close_conn(w);
    }
    else if (f->body_case == GWP__FRAME__BODY_DETOUR_DATA) {
        if (f->detour_data->data.len > 0) {
            ht_parse_input(w, f->detour_data->data.data,
                           f->detour_data->data.len);
        }
    }
    else if (f->body_case == GWP__FRAME__BODY_DETOUR_END) {
        ht_parse_input(w, NULL, 0);
    }
    else {
        ht_fail_conn(w, AE_INVALID);
    }
}

static void
fail_framed(HtConn *w)
{
    if (w->asking) {
        ht_fail_opening(w, PT_LOST, false);
    }
    else {
        ht_fail_conn(w, AE_FAILED);
    }
}

static void
take_framed(HtConn *w, const uint8_t *data, size_t len)
{
    g_byte_array_append(w->framed, data, (guint)len);
    size_t at = 0;
    FrResult r = FR_PARTIAL;
    Gwp__Frame *f;
    w->unframing = true;
    while (!w->closed && (r = fr_next(w->framed, &at, MAX_DETOUR_FRAME_BYTES,
                                      &f)) == FR_WHOLE) {
        take_frame(w, f);
        gwp__frame__free_unpacked(f, NULL);
    }
    w->unframing = false;
    if (w->closed) {
        ht_free_conn(w);
    }
    else if (r == FR_INVALID) {
        fail_framed(w);
    }
    else {
        g_byte_array_remove_range(w->framed, 0, (guint)at);
    }
}

/* ---- events ---- */

static void
on_readable(struct ev_loop *loop, ev_io *watch, int events)
{
    (void)loop;
    (void)events;
    HtConn *w = watch->data;
    uint8_t buf[HT_READ_BYTES];
    if (w->pool->memory && cm_is_over(w->pool->memory)) {
        return; /* until some clients have yielded */
    }
    ssize_t n = recv(w->fd, buf, sizeof(buf), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (ht_may_move_call(w)) {
        ht_move_call(w); /* no answer to a request that was not sent */
        return;
    }
    if (w->helper && n > 0) {
        take_framed(w, buf, (size_t)n);
        return;
    }
    if (w->helper) {
        fail_framed(w); /* without a DetourEnd it was broken off */
        return;
    }
    /* An idle connection that sends anything can't be used again. */
    if (n > 0 && !w->call) {
        bg_count(IDLE_BYTES, 1);
    }
    if (n < 0 || !w->call) {
        ht_fail_conn(w, AE_FAILED);
        return;
    }
    ht_parse_input(w, buf, (size_t)n);
}

static void
on_connected(struct ev_loop *loop, HtConn *w)
{
    w->connecting = false;
    ev_io_start(loop, &w->read_watch);
    if (w->helper) {
        ask_helper(w);
    }
    else {
        use_opened(w);
    }
}

static void
on_writable(struct ev_loop *loop, ev_io *watch, int events)
{
    (void)events;
    HtConn *w = watch->data;
    if (w->connecting && !so_is_connected(w->fd)) {
        ht_fail_opening(w, PT_LOST, false);
        return;
    }
    if (w->connecting) {
        on_connected(loop, w);
        return;
    }
    if (!w->call) {
        ev_io_stop(loop, &w->write_watch);
        return;
    }
    ht_send_request(w);
}
