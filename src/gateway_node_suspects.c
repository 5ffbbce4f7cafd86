#include "gateway_node.h"

#include <string.h>

/* Rows that change sooner after others are published with the next tick, so
   that a hundred requests on an upstream that ends make few frames. */
#define PUBLISH_MS 5
/* The note of the lease record is made anew, as long as nothing changes. */
#define NOTE_MS 300

/* ---- frames ------------------------------------------------------------- */

static Gwp__Suspect
make_row(const SpRow *row)
{
    Gwp__Suspect x;
    gwp__suspect__init(&x);
    x.request = row->request;
    x.ends = row->ends;
    x.solo_ends = row->solo_ends;
    x.late_runs = row->late_runs;
    x.hold_ms = row->hold_ms;
    x.age_ms = row->age_ms;
    x.part = row->part;
    x.many = row->many;
    x.tied = row->tied;
    return x;
}

static SpRow
read_row(const Gwp__Suspect *x)
{
    return (SpRow){.request = x->request,
                   .ends = x->ends,
                   .solo_ends = x->solo_ends,
                   .late_runs = x->late_runs,
                   .hold_ms = x->hold_ms,
                   .age_ms = x->age_ms,
                   .part = x->part,
                   .many = x->many,
                   .tied = x->tied};
}

/* Parts beyond SP_MAX_PARTS, of a newer release, are passed over. */
static SpKeys
read_keys(uint64_t request, const uint64_t *parts, size_t count)
{
    SpKeys keys = {.request = request,
                   .part_count = (uint32_t)MIN(count, SP_MAX_PARTS)};
    for (uint32_t i = 0; i < keys.part_count; i++) {
        keys.parts[i] = parts[i];
    }
    return keys;
}

static void
add_row(void *ctx, const SpRow *row)
{
    Gwp__Suspect x = make_row(row);
    g_array_append_val(ctx, x);
}

/* UP: to the VM that we are linked to; else to TO, or to all linked gateways
   if it is NULL. */
static void
send_rows(Gateway *g, LkPeer *to, const GArray *rows, bool whole, bool up)
{
    g_autofree gpointer *refs = gn_list_pointers(rows);
    Gwp__Suspects m = GWP__SUSPECTS__INIT;
    m.n_rows = rows->len;
    m.rows = (Gwp__Suspect **)refs;
    m.whole = whole;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_SUSPECTS;
    f.suspects = &m;
    if (up) {
        lk_send_up(g->links, &f);
    }
    else {
        lk_send_down(g->links, to, &f);
    }
}

void
gn_send_suspects(Gateway *g, LkPeer *to)
{
    g_autoptr(GArray) rows = g_array_new(FALSE, FALSE, sizeof(Gwp__Suspect));
    sp_visit(g->suspects, bg_boot_ms(), add_row, rows);
    send_rows(g, to, rows, true, false);
}

void
gn_report_suspects(Gateway *g)
{
    g_autoptr(GArray) rows = g_array_new(FALSE, FALSE, sizeof(Gwp__Suspect));
    sp_visit(g->suspects, bg_boot_ms(), add_row, rows);
    if (rows->len > 0) {
        send_rows(g, NULL, rows, true, true);
    }
}

/* ---- publishing --------------------------------------------------------- */

static void
log_row(const SpRow *row)
{
    char request[20];
    (void)g_snprintf(request, sizeof(request), "%016llx",
                     (unsigned long long)row->request);
    JlLine *l = jl_begin("suspect");
    jl_text(l, "request", request);
    jl_text(l, "kind", row->part ? "part" : "request");
    jl_text(l, "what",
            row->ends == 0   ? "cleared"
            : row->hold_ms   ? "stopped"
            : row->ends == 1 ? "suspected"
                             : "ended again");
    jl_number(l, "ends", row->ends);
    jl_number(l, "solo_ends", row->solo_ends);
    jl_number(l, "late_runs", row->late_runs);
    jl_number(l, "stopped_ms", row->hold_ms);
    jl_text(l, "tied", row->tied ? "yes" : NULL);
    jl_end(l);
    bg_count(row->ends == 0 ? "gateway_suspects_cleared_total"
             : row->hold_ms ? "gateway_suspects_stopped_total"
                            : "gateway_suspects_ends_total",
             1);
}

static void
take_change(void *ctx, const SpRow *row)
{
    log_row(row);
    add_row(ctx, row);
}

static void
publish_changes(Gateway *g, uint64_t now_ms)
{
    g_autoptr(GArray) rows = g_array_new(FALSE, FALSE, sizeof(Gwp__Suspect));
    sp_take_changed(g->suspects, now_ms, take_change, rows);
    if (rows->len == 0) {
        return;
    }
    g->suspects_ms = now_ms;
    if (g->is_leader) {
        send_rows(g, NULL, rows, false, false);
        g->suspects_note_ms = 0;
    }
}

static void
publish_soon(Gateway *g, uint64_t now_ms)
{
    if (now_ms >= g->suspects_ms + PUBLISH_MS) {
        publish_changes(g, now_ms);
    }
}

/* The times in the note run on. */
static void
renew_note(Gateway *g, uint64_t now_ms)
{
    if (g->is_leader && now_ms >= g->suspects_note_ms + NOTE_MS) {
        g->suspects_note_ms = now_ms;
        g_autofree char *note = sp_print_note(g->suspects, now_ms);
        ls_set_note(g->lease, note);
    }
}

void
gn_take_lease_note(Gateway *g)
{
    const char *note = ls_get_note(g->lease);
    if (note && !g->is_leader) {
        sp_read_note(g->suspects, bg_boot_ms(), note);
    }
    gw_set_suspects_known(g->gw);
}

/* ---- results of runs ---------------------------------------------------- */

static void
take_result(Gateway *g, const SpKeys *keys, const char *upstream, SpTurn turn,
            SpResult result)
{
    uint64_t now_ms = bg_boot_ms();
    sp_on_result(g->suspects, now_ms, keys, upstream, turn, result);
    publish_soon(g, now_ms);
}

static void
report_run(Gateway *g, const SpKeys *keys, const char *upstream, SpTurn turn,
           SpResult result)
{
    static const Gwp__RunResult words[] = {
        [SP_RUN_ANSWERED] = GWP__RUN_RESULT__RUN_ANSWERED,
        [SP_RUN_ENDED] = GWP__RUN_RESULT__RUN_ENDED,
        [SP_RUN_LEFT] = GWP__RUN_RESULT__RUN_LEFT,
        [SP_RUN_NONE] = GWP__RUN_RESULT__RUN_NONE,
        [SP_RUN_BLAMED] = GWP__RUN_RESULT__RUN_BLAMED};
    if (g->is_leader) {
        take_result(g, keys, upstream, turn, result);
        return;
    }
    Gwp__Run r = GWP__RUN__INIT;
    r.request = keys->request;
    r.n_parts = keys->part_count;
    r.parts = (uint64_t *)keys->parts;
    r.upstream = (char *)upstream;
    r.turn = turn;
    r.result = words[result];
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_RUN;
    f.run = &r;
    lk_send_up(g->links, &f);
}

/* UP: from here, or a linked gateway; the leader passes it to all. */
static void
spread_doubt(Gateway *g, const SpKeys *parts, bool up)
{
    Gwp__Doubt m = GWP__DOUBT__INIT;
    m.n_parts = parts->part_count;
    m.parts = (uint64_t *)parts->parts;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_DOUBT;
    f.doubt = &m;
    if (g->is_leader || !up) {
        lk_send_down(g->links, NULL, &f);
    }
    else {
        lk_send_up(g->links, &f);
    }
}

/* The proofs of all PARTS must be renewed. */
static void
doubt(Gateway *g, const uint64_t *parts, size_t count, bool up)
{
    SpKeys news;
    sp_doubt(g->suspects, bg_boot_ms(), parts, count, &news);
    if (news.part_count > 0) {
        bg_count("gateway_parts_doubted_total", news.part_count);
        spread_doubt(g, &news, up);
    }
}

void
gn_take_doubt(Gateway *g, const LkPeer *from, const Gwp__Frame *frame)
{
    const Gwp__Doubt *m = frame->doubt;
    if (from && !g->is_leader) {
        lk_send_up(g->links, frame);
        return;
    }
    doubt(g, m->parts, MIN(m->n_parts, SP_MAX_PARTS), from != NULL);
}

static void
note_run(Gateway *g, const SpKeys *keys, const char *upstream, SpTurn turn,
         SpResult result)
{
    uint64_t now_ms = bg_boot_ms();
    SpRole role = g->is_leader               ? SP_LEADS
                  : gn_has_leader(g, now_ms) ? SP_FOLLOWS
                                             : SP_ALONE;
    if (!sp_on_run(g->suspects, now_ms, keys, upstream, turn, result, role)) {
        return;
    }
    SpKeys told = *keys;
    if (result == SP_RUN_ENDED || result == SP_RUN_BLAMED) {
        sp_copy_unproved(g->suspects, keys, &told);
    }
    if (result == SP_RUN_ENDED && told.part_count == 0) {
        doubt(g, keys->parts, keys->part_count, true);
    }
    report_run(g, &told, upstream, turn, result);
}

static void
blame(void *ctx, const SpKeys *keys, const char *upstream)
{
    note_run(ctx, keys, upstream, 0, SP_RUN_BLAMED);
}

static void
report_proof(void *ctx, const SpKeys *keys)
{
    report_run(ctx, keys, "", 0, SP_RUN_ANSWERED);
}

void
gn_on_upstream_end(Gateway *g, const char *upstream)
{
    sp_on_upstream_end(g->suspects, bg_boot_ms(), upstream, true, blame, g);
}

void
gn_on_run(void *ctx, const SpKeys *keys, const char *upstream, SpTurn turn,
          SpResult result)
{
    Gateway *g = ctx;
    note_run(g, keys, upstream, turn, result);
    if (result == SP_RUN_ENDED) {
        bool sure = keys->part_count > 0; /* its process was asked for */
        sp_on_upstream_end(g->suspects, bg_boot_ms(), upstream, sure, blame,
                           g);
    }
}

void
gn_take_run(Gateway *g, const Gwp__Frame *frame)
{
    static const SpResult results[] = {
        [GWP__RUN_RESULT__RUN_ENDED] = SP_RUN_ENDED,
        [GWP__RUN_RESULT__RUN_ANSWERED] = SP_RUN_ANSWERED,
        [GWP__RUN_RESULT__RUN_LEFT] = SP_RUN_LEFT,
        [GWP__RUN_RESULT__RUN_NONE] = SP_RUN_NONE,
        [GWP__RUN_RESULT__RUN_BLAMED] = SP_RUN_BLAMED};
    const Gwp__Run *r = frame->run;
    if (!g->is_leader) {
        lk_send_up(g->links, frame);
        return;
    }
    if ((size_t)r->result >= G_N_ELEMENTS(results)) {
        return; /* of a newer gateway */
    }
    SpKeys keys = read_keys(r->request, r->parts, r->n_parts);
    take_result(g, &keys, r->upstream, r->turn, results[r->result]);
}

/* ---- time -------------------------------------------------------------- */

void
gn_tick_suspects(Gateway *g, uint64_t now_ms)
{
    if (gn_leads(g, now_ms) || gn_has_leader(g, now_ms)) {
        g->led_ms = now_ms;
    }
    sp_on_tick(g->suspects, now_ms);
    sp_drop_doubted(g->suspects, now_ms);
    sp_take_proofs(g->suspects, now_ms, report_proof, g);
    publish_changes(g, now_ms);
    renew_note(g, now_ms);
    bg_gauge("gateway_suspects", sp_count(g->suspects));
}

/* ---- rows of other gateways --------------------------------------------- */

static void
take_published(Gateway *g, const Gwp__Suspects *m)
{
    uint64_t now_ms = bg_boot_ms();
    for (size_t i = 0; i < m->n_rows; i++) {
        SpRow row = read_row(m->rows[i]);
        if (m->whole) {
            sp_on_known(g->suspects, now_ms, &row);
        }
        else {
            sp_on_row(g->suspects, now_ms, &row);
        }
    }
    gw_set_suspects_known(g->gw);
    gw_on_change(g->gw);
}

static void
take_reported(Gateway *g, const Gwp__Suspects *m)
{
    uint64_t now_ms = bg_boot_ms();
    for (size_t i = 0; i < m->n_rows; i++) {
        SpRow row = read_row(m->rows[i]);
        sp_on_known(g->suspects, now_ms, &row);
    }
    publish_soon(g, now_ms);
}

void
gn_take_suspects(Gateway *g, const LkPeer *from, const Gwp__Frame *frame)
{
    if (!from) {
        take_published(g, frame->suspects);
        lk_send_down(g->links, NULL, frame);
    }
    else if (g->is_leader) {
        take_reported(g, frame->suspects);
    }
    else {
        lk_send_up(g->links, frame);
    }
}

void
gn_lift_suspect(Gateway *g, uint64_t request)
{
    uint64_t now_ms = bg_boot_ms();
    (void)sp_lift(g->suspects, now_ms, request);
    if (!g->is_leader) {
        SpKeys keys = {.request = request};
        report_run(g, &keys, "", 0, SP_RUN_ANSWERED);
    }
    publish_changes(g, now_ms);
}

/* ---- turns -------------------------------------------------------------- */

static void
send_ask(Gateway *g, SpTurn turn, const SpKeys *keys, const char *upstream,
         uint32_t run_ms)
{
    SpKeys unproved;
    sp_copy_unproved(g->suspects, keys, &unproved);
    Gwp__TurnAsk a = GWP__TURN_ASK__INIT;
    a.vm = (char *)gn_get_text(g, "name");
    a.turn = turn;
    a.upstream = (char *)upstream;
    a.run_ms = run_ms;
    a.request = keys->request;
    a.n_parts = unproved.part_count;
    a.parts = unproved.parts;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_TURN_ASK;
    f.turn_ask = &a;
    lk_send_up(g->links, &f);
}

void
gn_on_ask_turn(void *ctx, SpTurn turn, const SpKeys *keys,
               const char *upstream, uint32_t run_ms)
{
    Gateway *g = ctx;
    uint64_t now_ms = bg_boot_ms();
    uint32_t wait_ms = 0;
    bool granted;
    if (gn_leads(g, now_ms)) {
        granted = sp_grant(g->suspects, now_ms, keys, upstream, turn, run_ms,
                           &wait_ms);
    }
    else if (!g->is_leader && gn_has_leader(g, now_ms)) {
        send_ask(g, turn, keys, upstream, run_ms);
        return;
    }
    else {
        granted =
            sp_grant_alone(g->suspects, now_ms, keys, upstream, turn, run_ms,
                           MAX(g->led_ms, g->start_ms), &wait_ms);
    }
    sp_on_turn(g->suspects, now_ms, turn, granted, wait_ms);
}

static void
answer_ask(Gateway *g, LkPeer *to, const Gwp__TurnAsk *ask, bool granted,
           uint32_t wait_ms)
{
    Gwp__TurnAnswer a = GWP__TURN_ANSWER__INIT;
    a.vm = ask->vm;
    a.turn = ask->turn;
    a.granted = granted;
    a.wait_ms = wait_ms;
    a.request = ask->request;
    a.upstream = ask->upstream;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_TURN_ANSWER;
    f.turn_answer = &a;
    lk_send_down(g->links, to, &f);
}

void
gn_take_turn_ask(Gateway *g, LkPeer *from, const Gwp__Frame *frame)
{
    uint64_t now_ms = bg_boot_ms();
    const Gwp__TurnAsk *a = frame->turn_ask;
    if (!g->is_leader && gn_has_leader(g, now_ms)) {
        lk_send_up(g->links, frame);
        return;
    }
    uint32_t wait_ms = SP_NO_LEADER_WAIT_MS;
    bool granted = false;
    if (gn_leads(g, now_ms)) {
        SpKeys keys = read_keys(a->request, a->parts, a->n_parts);
        granted = sp_grant(g->suspects, now_ms, &keys, a->upstream, a->turn,
                           a->run_ms, &wait_ms);
        publish_soon(g, now_ms);
    }
    answer_ask(g, from, a, granted, wait_ms);
}

void
gn_take_turn_answer(Gateway *g, const Gwp__Frame *frame)
{
    const Gwp__TurnAnswer *a = frame->turn_answer;
    if (strcmp(a->vm, gn_get_text(g, "name")) != 0) {
        gn_pass_to_vm(g, a->vm, frame);
        return;
    }
    uint64_t now_ms = bg_boot_ms();
    bool wanted =
        sp_on_turn(g->suspects, now_ms, a->turn, a->granted, a->wait_ms);
    if (wanted) {
        gw_on_turn(g->gw, a->turn);
    }
    else if (a->granted) {
        SpKeys keys = {.request = a->request};
        report_run(g, &keys, a->upstream, a->turn, SP_RUN_NONE);
    }
}
