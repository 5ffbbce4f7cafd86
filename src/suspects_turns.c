#include "suspects_internal.h"

#include <string.h>

#define MAX_WAIT_MS 500 /* from one refused turn to the next question */
/* A new leader grants none: its predecessor's turns begin by then, and the
   gateways linked to it have told it what they know. */
#define SETTLE_MS 1000
/* Added to the longest time of a run, for frames on the way. */
#define TURN_MARGIN_MS 1000
/* After a cancelled call the upstream may still end under it; an end that
   comes later is counted, but not as that of a solo turn. */
#define UNKNOWN_MS 500
/* Requests that were under way at one upstream are reported within this time
   of each other: one end. */
#define SAME_REPORT_MS 1000
/* A suspect that is not stopped is forgotten after this time without an end.
 */
#define KEEP_MS 600000
/* What was cleared is kept, for gateways that still report older ends. */
#define CLEARED_MS 10000
#define SWEEP_MS 500 /* between two looks at all rows */

void
sp_on_lead(Sp *s, uint64_t now_ms)
{
    s->lead_ms = now_ms;
}

/* ---- ends of turns ------------------------------------------------------ */

static void
release_turn(Suspect *x)
{
    x->last_turn = x->turn.id;
    x->turn.id = 0;
}

/* The upstream of turn T ended.  Others without a turn may have reported that
   end.  BROKE: the call of T saw it. */
static void
count_turn(Sp *s, Suspect *x, uint64_t now_ms, const Turn *t, bool broke)
{
    UpstreamEnd *e = sp_note_upstream_end(s, now_ms, t->upstream, t->since_ms);
    bool sure = t->solo && sp_take_blame(e, x);
    if (broke && !t->solo) {
        sp_note_beside(s, e, x);
    }
    if (sp_get_seen_ms(x, t->upstream) >= t->since_ms) {
        if (sure) {
            x->solo_ends++;
            sp_note_seen(x, e->at_ms, t->upstream, true);
        }
        sp_stop(x, now_ms);
        sp_note_changed(s, x);
        return;
    }
    sp_note_seen(x, e->at_ms, t->upstream, sure);
    sp_count_end(s, x, now_ms, t->request, sure, t->late);
}

/* The upstream of turn T ran nothing, or runs on. */
static void
refund_turn(Sp *s, Suspect *x, const Turn *t)
{
    if (t->late && x->late_runs > 0) {
        x->late_runs--;
        sp_note_changed(s, x);
    }
}

static void
end_turn(Sp *s, Suspect *x, uint64_t now_ms, bool broke)
{
    release_turn(x);
    count_turn(s, x, now_ms, &x->turn, broke);
}

static void
end_past(Sp *s, Suspect *x, uint64_t now_ms)
{
    x->past.id = 0;
    count_turn(s, x, now_ms, &x->past, false);
}

/* The result of a turn that lapsed is not known.  Its upstream may have ended,
   or end yet. */
static void
settle_turn(Sp *s, Suspect *x, uint64_t now_ms)
{
    if (sp_has_ended_since(s, x->turn.upstream, x->turn.since_ms)) {
        end_turn(s, x, now_ms, false);
        return;
    }
    if (x->past.id) {
        refund_turn(s, x, &x->past);
    }
    g_free(x->past.upstream);
    x->past = x->turn;
    x->past.until_ms = now_ms + SP_LEFT_MS;
    x->past.solo = false; /* others may run there from now on */
    x->turn.upstream = NULL;
    release_turn(x);
}

static void
settle(Sp *s, Suspect *x, uint64_t now_ms)
{
    if (x->turn.id && now_ms >= x->turn.until_ms) {
        settle_turn(s, x, now_ms);
    }
    if (!x->past.id) {
        return;
    }
    if (sp_has_ended_since(s, x->past.upstream, x->past.since_ms)) {
        end_past(s, x, now_ms);
    }
    else if (now_ms >= x->past.until_ms) {
        x->past.id = 0;
        refund_turn(s, x, &x->past);
    }
}

/* ---- granting ----------------------------------------------------------- */

/* Whether suspects that run on UPSTREAM forbid one more. */
static bool
is_occupied(const Sp *s, const char *upstream, bool solo)
{
    GHashTableIter it;
    const Suspect *x;
    g_hash_table_iter_init(&it, s->rows);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&x)) {
        if (x->turn.id && (solo || x->turn.solo) &&
            strcmp(x->turn.upstream, upstream) == 0) {
            return true;
        }
    }
    return false;
}

static bool
needs_solo(const SuspectList *l)
{
    for (uint32_t i = 0; i < l->count; i++) {
        if (l->rows[i]->part || l->rows[i]->ends >= SP_SOLO_ENDS) {
            return true;
        }
    }
    return false;
}

/* The longer a run takes, the less often the next one asks. */
static uint32_t
get_wait_ms(const Turn *t, uint64_t now_ms)
{
    return (uint32_t)CLAMP((now_ms - t->since_ms) / 2, SP_MIN_WAIT_MS,
                           MAX_WAIT_MS);
}

/* The wait until X may take part in a turn; 0: it may now. */
static uint32_t
get_turn_wait_ms(Sp *s, Suspect *x, uint64_t now_ms)
{
    if (x->turn.id) {
        return get_wait_ms(&x->turn, now_ms);
    }
    if (sp_is_sure(x) && x->late_runs >= SP_LATE_RUNS) {
        x->hold_until_ms = now_ms + SP_BLOCK_MS;
        sp_note_changed(s, x);
        return SP_BLOCK_MS;
    }
    return 0;
}

static void
begin_turn(Sp *s, Suspect *x, uint64_t now_ms, const Turn *turn)
{
    g_free(x->turn.upstream);
    x->turn = *turn;
    x->turn.upstream = g_strdup(turn->upstream);
    x->turn.since_ms = now_ms;
    x->turn.late = x->ends >= SP_STOP_ENDS;
    if (x->turn.late) {
        x->late_runs++;
        sp_note_changed(s, x);
    }
}

/* 0: all of L may run on UPSTREAM together now. */
static uint32_t
get_list_wait_ms(Sp *s, uint64_t now_ms, const SuspectList *l,
                 const char *upstream)
{
    uint32_t wait_ms;
    if (sp_find_stop(l, now_ms, &wait_ms)) {
        return wait_ms;
    }
    for (uint32_t i = 0; i < l->count; i++) {
        wait_ms = MAX(wait_ms, get_turn_wait_ms(s, l->rows[i], now_ms));
    }
    if (wait_ms == 0 && is_occupied(s, upstream, needs_solo(l))) {
        return SP_MIN_WAIT_MS;
    }
    return wait_ms;
}

/* An end in the turn may be that of a part that is no suspect yet. */
static void
add_unproved(Sp *s, const SpKeys *keys, SuspectList *l)
{
    for (uint32_t i = 0; l->count > 0 && i < keys->part_count; i++) {
        uint64_t part = keys->parts[i];
        const Suspect *known = sp_find_row(s, part);
        bool is_suspect = known && (known->ends > 0 || known->turn.id);
        if (!is_suspect && !sp_is_proved(s, part)) {
            l->rows[l->count++] = sp_add_row(s, part, true);
        }
    }
}

bool
sp_grant(Sp *s, uint64_t now_ms, const SpKeys *keys, const char *upstream,
         SpTurn turn, uint32_t run_ms, uint32_t *wait_ms)
{
    *wait_ms = sp_get_time_left(s->lead_ms + SETTLE_MS, now_ms);
    if (*wait_ms) {
        return false;
    }
    SuspectList l;
    sp_make_room(s);
    sp_list_suspects(s, keys, &l);
    for (uint32_t i = 0; i < l.count; i++) {
        l.rows[i]->used_ms = now_ms;
        l.rows[i]->asked++;
        settle(s, l.rows[i], now_ms);
    }
    *wait_ms = get_list_wait_ms(s, now_ms, &l, upstream);
    if (*wait_ms) {
        return false;
    }
    Turn t = {.id = turn,
              .upstream = (char *)upstream,
              .request = keys->request,
              .until_ms = now_ms + run_ms + TURN_MARGIN_MS,
              .solo = needs_solo(&l)};
    add_unproved(s, keys, &l);
    for (uint32_t i = 0; i < l.count; i++) {
        begin_turn(s, l.rows[i], now_ms, &t);
    }
    return true;
}

bool
sp_grant_alone(Sp *s, uint64_t now_ms, const SpKeys *keys,
               const char *upstream, SpTurn turn, uint32_t run_ms,
               uint64_t since_ms, uint32_t *wait_ms)
{
    SuspectList l;
    sp_list_suspects(s, keys, &l);
    bool own_first = l.count > 0;
    for (uint32_t i = 0; i < l.count; i++) {
        own_first = own_first && l.rows[i]->own && l.rows[i]->ends == 1;
    }
    if (!own_first && now_ms < since_ms + SP_ALONE_MS) {
        *wait_ms = SP_NO_LEADER_WAIT_MS;
        return false;
    }
    return sp_grant(s, now_ms, keys, upstream, turn, run_ms, wait_ms);
}

/* ---- results ------------------------------------------------------------ */

/* Whether T is a turn there whose call nobody waits for. */
static bool
is_left_at(const Turn *t, const char *upstream)
{
    return t->id && t->left && strcmp(t->upstream, upstream) == 0;
}

/* A stopped part ended that upstream: nothing else is counted. */
static bool
is_explained(const Sp *s, const UpstreamEnd *e, const Suspect *x)
{
    const Suspect *part = e->part ? sp_find_row(s, e->part) : NULL;
    return part && part != x && part->hold_until_ms && !part->tied;
}

void
sp_note_end(Sp *s, uint64_t now_ms, uint64_t key, bool part, const RunEnd *end)
{
    Suspect *x = sp_add_row(s, key, part);
    bool in_turn = end->turn && x->turn.id == end->turn;
    if (in_turn || is_left_at(&x->turn, end->upstream)) {
        end_turn(s, x, now_ms, in_turn);
        return;
    }
    if (is_left_at(&x->past, end->upstream)) {
        end_past(s, x, now_ms);
        return;
    }
    if (end->blamed && x->ends >= SP_SOLO_ENDS) {
        return; /* only an end in a turn may stop it */
    }
    UpstreamEnd *e = sp_note_upstream_end(s, now_ms, end->upstream, 0);
    uint64_t seen_ms = sp_get_seen_ms(x, end->upstream);
    bool counted = end->turn && end->turn == x->last_turn;
    if (counted || (seen_ms && now_ms < seen_ms + SAME_REPORT_MS)) {
        return;
    }
    if (is_explained(s, e, x) || (part && sp_is_proved(s, key))) {
        sp_note_changed(s, x); /* the gateway that reported it is told */
        return;
    }
    if (x->ends >= SP_SOLO_ENDS) {
        sp_note_beside(s, e, x);
    }
    sp_note_seen(x, e->at_ms, end->upstream, false);
    sp_count_end(s, x, now_ms, end->request, false, false);
}

/* The stopped part among KEYS, if there is one, explains the end. */
static void
note_explanation(Sp *s, uint64_t now_ms, const SpKeys *keys,
                 const char *upstream)
{
    for (uint32_t i = 0; i < keys->part_count; i++) {
        const Suspect *x = sp_find_row(s, keys->parts[i]);
        if (x && x->ends >= SP_STOP_ENDS && sp_is_sure(x) && !x->tied) {
            sp_note_upstream_end(s, now_ms, upstream, 0)->part = x->request;
        }
    }
}

void
sp_note_ends(Sp *s, uint64_t now_ms, const SpKeys *keys, RunEnd end)
{
    end.request = keys->request;
    for (uint32_t i = 0; i < keys->part_count; i++) {
        sp_note_end(s, now_ms, keys->parts[i], true, &end);
    }
    if (keys->part_count > 0) {
        sp_weigh_parts(s, now_ms);
        note_explanation(s, now_ms, keys, end.upstream);
    }
    if (keys->request) {
        sp_note_end(s, now_ms, keys->request, false, &end);
    }
}

/* Those of turn TURN that are not among the keys of its run: they were proved
   meanwhile. */
static void
release_rest(Sp *s, SpTurn turn)
{
    GHashTableIter it;
    Suspect *x;
    g_hash_table_iter_init(&it, s->rows);
    while (turn && g_hash_table_iter_next(&it, NULL, (gpointer *)&x)) {
        if (x->turn.id == turn) {
            refund_turn(s, x, &x->turn);
            release_turn(x);
        }
    }
}

static void
leave_turn(Sp *s, uint64_t now_ms, SpTurn turn)
{
    GHashTableIter it;
    Suspect *x;
    g_hash_table_iter_init(&it, s->rows);
    while (turn && g_hash_table_iter_next(&it, NULL, (gpointer *)&x)) {
        if (x->turn.id == turn) {
            x->turn.left = true;
            x->turn.until_ms = now_ms + UNKNOWN_MS;
        }
    }
}

static void
clear_key(Sp *s, uint64_t now_ms, uint64_t key, SpTurn turn)
{
    Suspect *x = sp_find_row(s, key);
    if (x && turn && x->turn.id == turn) {
        release_turn(x);
    }
    if (x && x->ends > 0) {
        sp_clear_row(s, x, now_ms);
    }
}

static void
clear_keys(Sp *s, uint64_t now_ms, const SpKeys *keys, SpTurn turn)
{
    if (s->suspects == 0) {
        return;
    }
    clear_key(s, now_ms, keys->request, turn);
    for (uint32_t i = 0; i < keys->part_count; i++) {
        clear_key(s, now_ms, keys->parts[i], turn);
    }
    if (keys->part_count > 0) {
        sp_weigh_parts(s, now_ms);
    }
}

void
sp_on_result(Sp *s, uint64_t now_ms, const SpKeys *keys, const char *upstream,
             SpTurn turn, SpResult result)
{
    switch (result) {
    case SP_RUN_ENDED:
    case SP_RUN_BLAMED:
        sp_note_ends(s, now_ms, keys,
                     (RunEnd){.upstream = upstream,
                              .turn = turn,
                              .blamed = result == SP_RUN_BLAMED});
        release_rest(s, turn);
        return;
    case SP_RUN_ANSWERED:
        sp_prove(s, now_ms, keys);
        clear_keys(s, now_ms, keys, turn);
        release_rest(s, turn);
        return;
    case SP_RUN_LEFT:
        leave_turn(s, now_ms, turn);
        return;
    case SP_RUN_NONE:
        release_rest(s, turn);
        return;
    }
}

bool
sp_lift(Sp *s, uint64_t now_ms, uint64_t key)
{
    Suspect *x = sp_find_row(s, key);
    if (!x || x->ends == 0) {
        return false;
    }
    sp_clear_row(s, x, now_ms);
    return true;
}

/* ---- time --------------------------------------------------------------- */

static uint64_t
get_end_ms(const Suspect *x)
{
    if (x->ends == 0) {
        return x->last_ms + CLEARED_MS;
    }
    return x->last_ms + (x->ends < SP_STOP_ENDS ? KEEP_MS : SP_BLOCK_MS);
}

/* A row that a request here still refers to is kept. */
static bool
is_over(const Suspect *x, uint64_t now_ms)
{
    return now_ms >= get_end_ms(x) && !x->here && !x->turn.id && !x->past.id &&
           !x->changed;
}

void
sp_on_tick(Sp *s, uint64_t now_ms)
{
    if (now_ms < s->swept_ms + SWEEP_MS) {
        return;
    }
    s->swept_ms = now_ms;
    sp_renew_proofs(s, now_ms);
    GHashTableIter it;
    Suspect *x;
    g_hash_table_iter_init(&it, s->rows);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&x)) {
        settle(s, x, now_ms);
        if (is_over(x, now_ms)) {
            sp_set_ends(s, x, 0);
            g_hash_table_iter_remove(&it);
        }
    }
}
