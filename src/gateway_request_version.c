#include "gateway_request_internal.h"

#include <string.h>

/* The plan is confirmed by one call of the store, or known to be out of reach
   by then. */
#define CONFIRM_WAIT_MS 500
/* Meanwhile the next leader is there, and gets the notes of the others. */
#define NOTE_WAIT_MS 5000
#define NOTE_ASK_MS 100 /* between questions for one note */

/* ---- at which version --------------------------------------------------- */

static bool
is_resumable(const Req *q)
{
    return q->route->kind == DEP_STREAM && q->route->resumable;
}

static void
log_taken_up(const Req *q, const char *version, const char *why)
{
    JlLine *l = jl_begin("stream-taken-up");
    jl_text(l, "id", q->call.attempt_id);
    jl_text(l, "resumes", q->call.resumes);
    jl_number(l, "after", q->call.resume_after);
    jl_text(l, "version", version);
    jl_text(l, "why", why);
    jl_number(l, "plan", (int64_t)vp_get_number(q->gw->versions));
    jl_end(l);
    bg_count(version ? "gateway_streams_taken_up_total"
                     : "gateway_streams_not_taken_up_total",
             1);
}

static GwVersion
pin(Req *q, const char *version)
{
    q->version = g_strdup(version);
    q->query.version = q->version;
    log_taken_up(q, version, NULL);
    return GW_VERSION_PICKED;
}

static GwVersion
refuse(const Req *q, const char *reason, const char **why)
{
    *why = reason;
    log_taken_up(q, NULL, reason);
    return GW_VERSION_UNKNOWN;
}

static GwVersion
ask(Req *q, uint64_t now_ms, const char **why)
{
    if (q->versions_wait_ms == 0) {
        q->versions_wait_ms = now_ms;
    }
    if (now_ms > q->versions_wait_ms + CONFIRM_WAIT_MS) {
        *why = "the version plan can't be confirmed";
        return GW_VERSION_UNCONFIRMED;
    }
    q->gw->out.ask_versions(q->gw->out.ctx);
    return GW_VERSION_ASKED;
}

/* The attempt that began the stream. */
static const char *
get_attempt(const Req *q)
{
    return q->call.takes_up ? q->call.resumes : q->call.attempt_id;
}

uint64_t
gw_get_stream_key(const Req *q)
{
    return sn_make_key(q->workspace ? q->workspace->name : NULL, q->service,
                       q->query.model, get_attempt(q));
}

/* The version by a note, of this gateway or another. */
static GwVersion
ask_note(Req *q, uint64_t now_ms, const char **why)
{
    const GwOutput *out = &q->gw->out;
    if (q->note_wait_ms == 0) {
        q->note_wait_ms = now_ms;
    }
    if (q->note_missing) {
        return refuse(q, "its version isn't known", why);
    }
    if (now_ms > q->note_wait_ms + NOTE_WAIT_MS) {
        (void)refuse(q, "no leader tells its version", why);
        return GW_VERSION_UNCONFIRMED;
    }
    if (now_ms >= q->note_asked_ms + NOTE_ASK_MS) {
        q->note_asked_ms = now_ms;
        bg_count("gateway_stream_notes_asked_total", 1);
        q->note_missing = !out->ask_note(out->ctx, gw_get_stream_key(q));
    }
    return q->note_missing ? refuse(q, "its version isn't known", why)
                           : GW_VERSION_ASKED;
}

/* Streams may be under way that were begun without the plan, at several
   versions. */
static bool
may_be_unplanned(const Req *q, uint64_t now_ms)
{
    const Gw *g = q->gw;
    return vp_may_be_unplanned(g->versions, now_ms) &&
           !ut_is_single(g->upstreams, now_ms, q->service,
                         vp_get_life_ms(g->versions));
}

/* There is no plan at all yet, or the leader writes none: gateways that follow
   none may be there. */
static bool
lacks_plan(const Req *q, uint64_t now_ms)
{
    const Gw *g = q->gw;
    return vp_get_number(g->versions) == 0 &&
           !ut_is_single(g->upstreams, now_ms, q->service,
                         vp_get_life_ms(g->versions));
}

/* The caller has events of another attempt. */
static GwVersion
pick_for_rest(Req *q, uint64_t now_ms, const char **why)
{
    const Vp *versions = q->gw->versions;
    const char *attempt = q->call.resumes;
    const char *version =
        attempt ? sn_find(q->gw->notes, now_ms, gw_get_stream_key(q)) : NULL;
    if (version) {
        return pin(q, version);
    }
    if (may_be_unplanned(q, now_ms) &&
        !vp_is_unsettled(versions, q->service, q->query.model,
                         attempt ? attempt : "")) {
        return refuse(q, "its version isn't known", why);
    }
    switch (vp_resume(versions, now_ms, q->arrival_ms, q->service,
                      q->query.model, attempt ? attempt : "", &version)) {
    case VP_AT:
        return attempt || !vp_is_mixed(versions, q->service)
                   ? pin(q, version)
                   : refuse(q, "it names no attempt", why);
    case VP_UNPLANNED:
        if (lacks_plan(q, now_ms)) {
            break;
        }
        version = ut_find_only_version(q->gw->upstreams, q->service);
        return version ? pin(q, version)
                       : refuse(q, "its version isn't known", why);
    case VP_UNSETTLED:
        return attempt ? ask_note(q, now_ms, why)
                       : refuse(q, "it names no attempt", why);
    case VP_ASK:
        break;
    }
    return ask(q, now_ms, why);
}

static GwVersion
pick_for_begin(Req *q, uint64_t now_ms, const char **why)
{
    const Vp *versions = q->gw->versions;
    const char *version;
    const char *only;
    switch (vp_begin(versions, now_ms, q->service, q->query.model,
                     q->call.attempt_id, &version)) {
    case VP_AT:
        q->versions_wait_ms = 0;
        g_free(q->planned);
        q->planned = g_strdup(version); /* the next plan frees VERSION */
        q->query.version = q->planned;
        return GW_VERSION_PICKED;
    case VP_UNPLANNED:
    case VP_UNSETTLED:
    case VP_ASK:
        break;
    }
    only = ut_find_only_version(q->gw->upstreams, q->service);
    /* The first plan will have that one, or settles nothing. */
    if (vp_get_number(versions) == 0 &&
        (only || vp_may_be_unplanned(versions, now_ms))) {
        return GW_VERSION_PICKED;
    }
    return ask(q, now_ms, why);
}

GwVersion
gw_pick_version(Req *q, uint64_t now_ms, const char **why)
{
    q->query.version = q->version;
    if (q->version || !is_resumable(q)) {
        return GW_VERSION_PICKED;
    }
    if (q->unversioned) {
        return refuse(q, "its version isn't known", why);
    }
    if (q->call.takes_up) {
        return pick_for_rest(q, now_ms, why);
    }
    /* Nobody can take a stream up whose attempt has no name. */
    return q->call.attempt_id ? pick_for_begin(q, now_ms, why)
                              : GW_VERSION_PICKED;
}

bool
gw_may_move(const Req *q)
{
    return q->query.version && !q->version;
}

/* A note may be all that tells the version later. */
static bool
needs_note(const Req *q)
{
    return vp_is_mixed(q->gw->versions, q->service) ||
           may_be_unplanned(q, bg_boot_ms());
}

void
gw_note_stream(Req *q)
{
    Gw *g = q->gw;
    const char *attempt = get_attempt(q);
    if (!q->version || !attempt || !needs_note(q)) {
        return;
    }
    SnNote note = {gw_get_stream_key(q),
                   q->version,
                   q->service,
                   q->query.model,
                   attempt,
                   vp_get_life_ms(g->versions),
                   false};
    bool is_new = sn_add(g->notes, bg_boot_ms(), &note);
    if (is_new &&
        vp_is_unsettled(g->versions, q->service, q->query.model, attempt)) {
        g->out.send_note(g->out.ctx, note.key);
    }
}

void
gw_begin_stream(Req *q)
{
    if (!q->version && !q->unversioned && is_resumable(q)) {
        const char *version = ut_get_entry(q->ut)->version;
        q->version = g_strdup(version);
        q->unversioned = !version;
        gw_note_stream(q);
    }
}

/* ---- what is held back -------------------------------------------------- */

static void
free_event(void *p)
{
    EsEvent *e = p;
    g_free((char *)e->text);
    g_free((char *)e->id);
    g_free(e);
}

void
gw_ask_process(const Req *q)
{
    if (ut_get_entry(q->ut)->born_ms != 0 && is_resumable(q)) {
        gw_ask_birth(q);
    }
}

bool
gw_ask_birth(const Req *q)
{
    const GwOutput *out = &q->gw->out;
    uint64_t now_ms = bg_boot_ms();
    if (!ut_ask_process(q->ut, now_ms)) {
        return false;
    }
    bg_count("gateway_processes_asked_total", 1);
    out->ask_process(out->ctx, ut_get_entry(q->ut), now_ms);
    return true;
}

void
gw_hold(Req *q, const HtCall *call)
{
    const char *address = ut_get_entry(q->ut)->address;
    uint64_t lost_ms = ht_get_lost_ms(q->gw->pool, address);
    q->opened_ms = ht_get_opened_ms(call);
    bool sure = !vp_is_mixed(q->gw->versions, q->service) &&
                !ut_is_doubted(q->ut, q->opened_ms, lost_ms);
    if (!is_resumable(q) || sure || ut_is_proved(q->ut, q->opened_ms)) {
        return;
    }
    q->held = g_ptr_array_new_with_free_func(free_event);
    q->held_bytes = 0;
    gw_ask_process(q);
}

void
gw_hold_event(Req *q, const EsEvent *event)
{
    EsEvent *copy = g_memdup2(event, sizeof(*event));
    copy->text = g_memdup2(event->text, event->len);
    copy->id = g_strdup(event->id);
    g_ptr_array_add(q->held, copy);
    q->held_bytes += event->len;
}

void
gw_hold_end(Req *q, const Ae *answer)
{
    q->held_rest = g_byte_array_ref(ae_get_body((Ae *)answer));
}

void
gw_drop_held(Req *q)
{
    if (q->held) {
        g_ptr_array_unref(q->held);
        q->held = NULL;
    }
    if (q->held_rest) {
        g_byte_array_unref(q->held_rest);
        q->held_rest = NULL;
    }
}
