#include "suspects_internal.h"

#include <stdio.h>
#include <stdlib.h>
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
/* Copies that were under way at one upstream are reported within this time of
   each other: one end. */
#define SAME_END_MS 1000
/* Copies that were under way elsewhere at the third end are not late runs. */
#define UNDER_WAY_MS 3000
/* A suspect that is not stopped is forgotten after this time without an end.
 */
#define KEEP_MS 600000
/* What was cleared is kept, for gateways that still report older ends. */
#define CLEARED_MS 10000
#define SWEEP_MS 500       /* between two looks at all rows */
#define MAX_UPSTREAMS 1024 /* of which ends are kept */
#define NOTE_ROWS 32       /* of a lease record, which is written often */
#define MAX_NOTE 2048      /* bytes of one that is read */

/* How long a request is stopped after its last end, by its solo ends; and by
   its late runs, if it may have been another suspect each time. */
static const uint32_t stop_ms[SP_LATE_RUNS] = {SP_FIRST_STOP_MS, 60000,
                                               600000};
#define UNSURE_STOPS 4
static const uint32_t unsure_stop_ms[UNSURE_STOPS] = {
    0, 2000, SP_FIRST_STOP_MS, 600000};

static void
free_suspect(void *p)
{
    Suspect *x = p;
    g_free(x->turn.upstream);
    g_free(x->past.upstream);
    g_free(x);
}

static void
free_ticket(void *p)
{
    g_free(((Ticket *)p)->upstream);
    g_free(p);
}

void
sp_free_left(void *p)
{
    g_free(((Left *)p)->upstream);
    g_free(p);
}

Sp *
sp_create(uint64_t now_ms, uint64_t seed)
{
    Sp *s = g_new0(Sp, 1);
    s->rows =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_suspect);
    s->tickets = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                       free_ticket);
    s->ends = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s->changed = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    s->lead_ms = now_ms;
    g_queue_init(&s->left);
    bg_seed_random(&s->rng, seed);
    return s;
}

void
sp_destroy(Sp *s)
{
    g_hash_table_destroy(s->rows);
    g_hash_table_destroy(s->tickets);
    g_hash_table_destroy(s->ends);
    g_queue_clear_full(&s->left, sp_free_left);
    g_array_free(s->changed, TRUE);
    g_free(s);
}

/* ---- rows --------------------------------------------------------------- */

Suspect *
sp_find_row(const Sp *s, uint64_t request)
{
    return g_hash_table_lookup(s->rows, &request);
}

static void
note_changed(Sp *s, Suspect *x)
{
    if (!x->changed) {
        x->changed = true;
        g_array_append_val(s->changed, x->request);
    }
}

/* Keeps Sp.suspects in step. */
static void
set_ends(Sp *s, Suspect *x, uint32_t ends)
{
    s->suspects += (ends > 0) - (x->ends > 0);
    x->ends = ends;
}

static void
drop_row(Sp *s, Suspect *x)
{
    set_ends(s, x, 0);
    g_hash_table_remove(s->rows, &x->request);
}

/* The least sure first, of these the one that came longest ago. */
static gint
compare_use(gconstpointer a, gconstpointer b)
{
    const Suspect *x = a;
    const Suspect *y = b;
    if (x->ends != y->ends) {
        return x->ends < y->ends ? -1 : 1;
    }
    return (x->used_ms > y->used_ms) - (x->used_ms < y->used_ms);
}

/* Many at a time, so that a burst of new rows doesn't sort them for each. */
static void
evict(Sp *s)
{
    GList *rows = g_list_sort(g_hash_table_get_values(s->rows), compare_use);
    GList *l = rows;
    for (guint i = 0; l && i < SP_MAX_ROWS / 8; i++) {
        drop_row(s, l->data);
        l = l->next;
    }
    g_list_free(rows);
}

Suspect *
sp_add_row(Sp *s, uint64_t request)
{
    Suspect *x = sp_find_row(s, request);
    if (x) {
        return x;
    }
    if (g_hash_table_size(s->rows) >= SP_MAX_ROWS) {
        evict(s);
    }
    x = g_new0(Suspect, 1);
    x->request = request;
    g_hash_table_insert(s->rows, &x->request, x);
    return x;
}

uint32_t
sp_get_time_left(uint64_t until_ms, uint64_t now_ms)
{
    return until_ms > now_ms ? (uint32_t)(until_ms - now_ms) : 0;
}

static SpRow
make_row(const Suspect *x, uint64_t now_ms)
{
    return (SpRow){x->request,
                   x->ends,
                   x->solo_ends,
                   x->late_runs,
                   sp_get_time_left(x->hold_until_ms, now_ms),
                   sp_get_time_left(now_ms, x->last_ms)};
}

SpRow
sp_get_row(const Sp *s, uint64_t now_ms, uint64_t request)
{
    const Suspect *x = sp_find_row(s, request);
    return x ? make_row(x, now_ms) : (SpRow){.request = request};
}

SpVerdict
sp_get_verdict(const Sp *s, uint64_t now_ms, uint64_t request,
               uint32_t *wait_ms)
{
    *wait_ms = 0;
    const Suspect *x = s->suspects > 0 ? sp_find_row(s, request) : NULL;
    if (!x || x->ends == 0) {
        return SP_CLEAR;
    }
    *wait_ms = sp_get_time_left(x->hold_until_ms, now_ms);
    return *wait_ms > 0 ? SP_STOPPED : SP_SUSPECT;
}

uint32_t
sp_count(const Sp *s)
{
    return s->suspects;
}

void
sp_visit(const Sp *s, uint64_t now_ms,
         void (*visit)(void *ctx, const SpRow *row), void *ctx)
{
    GHashTableIter it;
    Suspect *x;
    g_hash_table_iter_init(&it, s->rows);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&x)) {
        if (x->ends > 0) {
            SpRow row = make_row(x, now_ms);
            visit(ctx, &row);
        }
    }
}

static void
print_row(void *ctx, const SpRow *row)
{
    g_string_append_printf(
        ctx,
        "{\"request\":\"%016llx\",\"ends\":%u,\"solo_ends\":%u,"
        "\"late_runs\":%u,\"stopped_ms\":%u,\"age_ms\":%u}\n",
        (unsigned long long)row->request, row->ends, row->solo_ends,
        row->late_runs, row->hold_ms, row->age_ms);
}

void
sp_print(const Sp *s, uint64_t now_ms, GString *out)
{
    sp_visit(s, now_ms, print_row, out);
}

void
sp_clear_row(Sp *s, Suspect *x, uint64_t now_ms)
{
    set_ends(s, x, 0);
    x->solo_ends = 0;
    x->late_runs = 0;
    x->hold_until_ms = 0;
    x->third_ms = 0;
    x->last_ms = now_ms;
    x->own = false;
    note_changed(s, x);
}

void
sp_on_row(Sp *s, uint64_t now_ms, const SpRow *row)
{
    if (row->ends == 0 && !sp_find_row(s, row->request)) {
        return;
    }
    Suspect *x = sp_add_row(s, row->request);
    set_ends(s, x, row->ends);
    x->solo_ends = row->solo_ends;
    x->late_runs = row->late_runs;
    x->hold_until_ms = row->hold_ms ? now_ms + row->hold_ms : 0;
    x->last_ms = now_ms - MIN(now_ms, row->age_ms);
    x->used_ms = now_ms;
    x->own = x->own && row->ends > 0;
    x->third_ms = row->ends < SP_STOP_ENDS ? 0 : x->third_ms;
}

void
sp_on_known(Sp *s, uint64_t now_ms, const SpRow *row)
{
    const Suspect *known = sp_find_row(s, row->request);
    uint64_t last_ms = now_ms - MIN(now_ms, row->age_ms);
    bool cleared_since =
        known && known->ends == 0 && known->last_ms >= last_ms;
    if (row->ends == 0 || cleared_since) {
        return;
    }
    Suspect *x = sp_add_row(s, row->request);
    bool more = row->ends > x->ends || row->solo_ends > x->solo_ends ||
                row->late_runs > x->late_runs;
    if (!more) {
        return;
    }
    set_ends(s, x, MAX(x->ends, row->ends));
    x->solo_ends = MAX(x->solo_ends, row->solo_ends);
    x->late_runs = MAX(x->late_runs, row->late_runs);
    x->last_ms = MAX(x->last_ms, last_ms);
    x->used_ms = MAX(x->used_ms, last_ms);
    if (row->hold_ms) {
        x->hold_until_ms = MAX(x->hold_until_ms, now_ms + row->hold_ms);
    }
    note_changed(s, x);
}

/* ---- counting ends ------------------------------------------------------ */

/* When an end of UPSTREAM was last counted for X; 0: not among the last. */
static uint64_t
get_seen_ms(const Suspect *x, const char *upstream)
{
    uint32_t key = g_str_hash(upstream);
    uint64_t seen_ms = 0;
    for (uint32_t i = 0; i < SP_SEEN_ENDS; i++) {
        if (x->seen[i] == key) {
            seen_ms = MAX(seen_ms, x->seen_ms[i]);
        }
    }
    return seen_ms;
}

static void
note_seen(Suspect *x, uint64_t now_ms, const char *upstream)
{
    x->seen[x->next_seen] = g_str_hash(upstream);
    x->seen_ms[x->next_seen] = now_ms;
    x->next_seen = (x->next_seen + 1) % SP_SEEN_ENDS;
}

/* How long X is stopped from its last end on. */
static uint32_t
get_stop_ms(const Suspect *x)
{
    bool sure = x->solo_ends > 0;
    if (sure && x->late_runs >= SP_LATE_RUNS) {
        return SP_BLOCK_MS;
    }
    return sure ? stop_ms[MIN(x->solo_ends, SP_LATE_RUNS) - 1]
                : unsure_stop_ms[MIN(x->late_runs, UNSURE_STOPS - 1)];
}

static void
stop(Suspect *x, uint64_t now_ms)
{
    if (x->ends >= SP_STOP_ENDS) {
        x->hold_until_ms = MAX(x->hold_until_ms, now_ms + get_stop_ms(x));
    }
}

/* SOLO, LATE: as the turn of the run was. */
void
sp_count_end(Sp *s, Suspect *x, uint64_t now_ms, bool solo, bool late)
{
    set_ends(s, x, x->ends + 1);
    x->solo_ends += solo;
    x->last_ms = now_ms;
    x->used_ms = now_ms;
    if (x->ends >= SP_STOP_ENDS && !x->third_ms) {
        x->third_ms = now_ms; /* also if another leader counted the third */
    }
    if (x->ends > SP_STOP_ENDS && !late &&
        now_ms > x->third_ms + UNDER_WAY_MS) {
        x->late_runs++;
    }
    stop(x, now_ms);
    note_changed(s, x);
}

/* The end of UPSTREAM that is reported now, of a run that began after
   SINCE_MS: all reports within SAME_END_MS are of the same one. */
UpstreamEnd *
sp_note_upstream_end(Sp *s, uint64_t now_ms, const char *upstream,
                     uint64_t since_ms)
{
    UpstreamEnd *e = g_hash_table_lookup(s->ends, upstream);
    if (e && now_ms < e->at_ms + SAME_END_MS && e->at_ms >= since_ms) {
        return e;
    }
    if (g_hash_table_size(s->ends) >= MAX_UPSTREAMS) {
        g_hash_table_remove_all(s->ends);
    }
    e = g_new0(UpstreamEnd, 1);
    e->at_ms = now_ms;
    g_hash_table_replace(s->ends, g_strdup(upstream), e);
    return e;
}

static bool
has_ended_since(const Sp *s, const char *upstream, uint64_t since_ms)
{
    const UpstreamEnd *e = g_hash_table_lookup(s->ends, upstream);
    return e && e->at_ms >= since_ms;
}

/* Copies that were under way before they were suspects run beside others'
   solo turns: the end is no longer sure to be X's. */
static void
withdraw_blame(Sp *s, Suspect *x)
{
    if (x->solo_ends > 0) {
        x->solo_ends--;
    }
    if (x->solo_ends == 0) {
        x->hold_until_ms = x->last_ms + get_stop_ms(x);
    }
    note_changed(s, x);
}

/* X, a suspect of some ends before this one, ran there without a solo turn. */
static void
note_beside(Sp *s, UpstreamEnd *e, const Suspect *x)
{
    e->beside = x->request;
    Suspect *blamed = e->blamed && e->blamed != x->request
                          ? sp_find_row(s, e->blamed)
                          : NULL;
    if (blamed) {
        e->blamed = 0;
        withdraw_blame(s, blamed);
    }
}

/* Whether the end is sure to be that of X, which ran there in a solo turn. */
static bool
take_blame(UpstreamEnd *e, const Suspect *x)
{
    if (e->beside && e->beside != x->request) {
        return false;
    }
    e->blamed = x->request;
    return true;
}

/* ---- turns: the leader -------------------------------------------------- */

void
sp_on_lead(Sp *s, uint64_t now_ms)
{
    s->lead_ms = now_ms;
}

static void
release_turn(Suspect *x)
{
    x->last_turn = x->turn.id;
    x->turn.id = 0;
}

/* The upstream of turn T ended.  Copies without a turn may have reported that
   end.  BROKE: the call of T saw it. */
static void
count_turn(Sp *s, Suspect *x, uint64_t now_ms, const Turn *t, bool broke)
{
    UpstreamEnd *e = sp_note_upstream_end(s, now_ms, t->upstream, t->since_ms);
    bool sure = t->solo && e->blamed != x->request && take_blame(e, x);
    if (broke && !t->solo) {
        note_beside(s, e, x);
    }
    if (get_seen_ms(x, t->upstream) >= t->since_ms) {
        x->solo_ends += sure;
        stop(x, now_ms);
        note_changed(s, x);
        return;
    }
    note_seen(x, now_ms, t->upstream);
    sp_count_end(s, x, now_ms, sure, t->late);
}

/* The upstream of turn T ran nothing, or runs on. */
static void
refund_turn(Sp *s, Suspect *x, const Turn *t)
{
    if (t->late && x->late_runs > 0) {
        x->late_runs--;
        note_changed(s, x);
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
    if (has_ended_since(s, x->turn.upstream, x->turn.since_ms)) {
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
    if (has_ended_since(s, x->past.upstream, x->past.since_ms)) {
        end_past(s, x, now_ms);
    }
    else if (now_ms >= x->past.until_ms) {
        x->past.id = 0;
        refund_turn(s, x, &x->past);
    }
}

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

/* The longer a run takes, the less often the next one asks. */
static uint32_t
get_wait_ms(const Turn *t, uint64_t now_ms)
{
    return (uint32_t)CLAMP((now_ms - t->since_ms) / 2, SP_MIN_WAIT_MS,
                           MAX_WAIT_MS);
}

static void
begin_turn(Sp *s, Suspect *x, uint64_t now_ms, const char *upstream,
           SpTurn turn, uint32_t run_ms)
{
    g_free(x->turn.upstream);
    x->turn = (Turn){.id = turn,
                     .upstream = g_strdup(upstream),
                     .since_ms = now_ms,
                     .until_ms = now_ms + run_ms + TURN_MARGIN_MS,
                     .solo = x->ends >= SP_SOLO_ENDS,
                     .late = x->ends >= SP_STOP_ENDS};
    if (x->turn.late) {
        x->late_runs++;
        note_changed(s, x);
    }
}

bool
sp_grant(Sp *s, uint64_t now_ms, uint64_t request, const char *upstream,
         SpTurn turn, uint32_t run_ms, uint32_t *wait_ms)
{
    *wait_ms = sp_get_time_left(s->lead_ms + SETTLE_MS, now_ms);
    if (*wait_ms) {
        return false;
    }
    Suspect *x = sp_find_row(s, request);
    if (!x || x->ends == 0) {
        return true;
    }
    x->used_ms = now_ms;
    x->asked++;
    settle(s, x, now_ms);
    *wait_ms = sp_get_time_left(x->hold_until_ms, now_ms);
    if (*wait_ms) {
        return false;
    }
    if (x->turn.id) {
        *wait_ms = get_wait_ms(&x->turn, now_ms);
        return false;
    }
    if (x->solo_ends > 0 && x->late_runs >= SP_LATE_RUNS) {
        x->hold_until_ms = now_ms + SP_BLOCK_MS;
        note_changed(s, x);
        *wait_ms = SP_BLOCK_MS;
        return false;
    }
    if (is_occupied(s, upstream, x->ends >= SP_SOLO_ENDS)) {
        *wait_ms = SP_MIN_WAIT_MS;
        return false;
    }
    begin_turn(s, x, now_ms, upstream, turn, run_ms);
    return true;
}

/* Whether T is a turn there whose call nobody waits for. */
static bool
is_left_at(const Turn *t, const char *upstream)
{
    return t->id && t->left && strcmp(t->upstream, upstream) == 0;
}

/* BLAMED: no call broke off. */
void
sp_note_end(Sp *s, uint64_t now_ms, uint64_t request, const char *upstream,
            SpTurn turn, bool blamed)
{
    Suspect *x = sp_add_row(s, request);
    bool in_turn = turn && x->turn.id == turn;
    if (in_turn || is_left_at(&x->turn, upstream)) {
        end_turn(s, x, now_ms, in_turn);
        return;
    }
    if (is_left_at(&x->past, upstream)) {
        end_past(s, x, now_ms);
        return;
    }
    if (blamed && x->ends >= SP_SOLO_ENDS) {
        return; /* only an end in a turn may stop it */
    }
    UpstreamEnd *e = sp_note_upstream_end(s, now_ms, upstream, 0);
    uint64_t seen_ms = get_seen_ms(x, upstream);
    bool counted = turn && turn == x->last_turn;
    if (counted || (seen_ms && now_ms < seen_ms + SAME_END_MS)) {
        return;
    }
    if (x->ends >= SP_SOLO_ENDS) {
        note_beside(s, e, x);
    }
    note_seen(x, now_ms, upstream);
    sp_count_end(s, x, now_ms, false, false);
}

void
sp_on_result(Sp *s, uint64_t now_ms, uint64_t request, const char *upstream,
             SpTurn turn, SpResult result)
{
    if (result == SP_RUN_ENDED || result == SP_RUN_BLAMED) {
        sp_note_end(s, now_ms, request, upstream, turn,
                    result == SP_RUN_BLAMED);
        return;
    }
    Suspect *x = sp_find_row(s, request);
    if (!x) {
        return;
    }
    bool in_turn = turn && x->turn.id == turn;
    if (result == SP_RUN_ANSWERED) {
        if (in_turn) {
            release_turn(x);
        }
        if (x->ends > 0) {
            sp_clear_row(s, x, now_ms);
        }
    }
    else if (result == SP_RUN_LEFT && in_turn) {
        x->turn.left = true;
        x->turn.until_ms = now_ms + UNKNOWN_MS;
    }
    else if (result == SP_RUN_NONE && in_turn) {
        refund_turn(s, x, &x->turn);
        release_turn(x);
    }
}

bool
sp_lift(Sp *s, uint64_t now_ms, uint64_t request)
{
    Suspect *x = sp_find_row(s, request);
    if (!x || x->ends == 0) {
        return false;
    }
    sp_clear_row(s, x, now_ms);
    return true;
}

static uint64_t
get_end_ms(const Suspect *x)
{
    if (x->ends == 0) {
        return x->last_ms + CLEARED_MS;
    }
    return x->last_ms + (x->ends < SP_STOP_ENDS ? KEEP_MS : SP_BLOCK_MS);
}

/* A row that a copy here still refers to is kept. */
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
    GHashTableIter it;
    Suspect *x;
    g_hash_table_iter_init(&it, s->rows);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&x)) {
        settle(s, x, now_ms);
        if (is_over(x, now_ms)) {
            set_ends(s, x, 0);
            g_hash_table_iter_remove(&it);
        }
    }
}

void
sp_take_changed(Sp *s, uint64_t now_ms,
                void (*visit)(void *ctx, const SpRow *row), void *ctx)
{
    for (guint i = 0; i < s->changed->len; i++) {
        Suspect *x = sp_find_row(s, g_array_index(s->changed, uint64_t, i));
        if (x && x->changed) {
            x->changed = false;
            SpRow row = make_row(x, now_ms);
            visit(ctx, &row);
        }
    }
    g_array_set_size(s->changed, 0);
}

bool
sp_grant_alone(Sp *s, uint64_t now_ms, uint64_t request, const char *upstream,
               SpTurn turn, uint32_t run_ms, uint64_t since_ms,
               uint32_t *wait_ms)
{
    const Suspect *x = sp_find_row(s, request);
    bool own_first = x && x->own && x->ends == 1;
    if (!own_first && now_ms < since_ms + SP_ALONE_MS) {
        *wait_ms = SP_NO_LEADER_WAIT_MS;
        return false;
    }
    return sp_grant(s, now_ms, request, upstream, turn, run_ms, wait_ms);
}

/* ---- the lease record --------------------------------------------------- */

/* The surest first, of these the ones that come most often. */
static gint
compare_surety(gconstpointer a, gconstpointer b)
{
    const Suspect *x = a;
    const Suspect *y = b;
    if (x->ends != y->ends) {
        return x->ends < y->ends ? 1 : -1;
    }
    return (x->asked < y->asked) - (x->asked > y->asked);
}

char *
sp_print_note(const Sp *s, uint64_t now_ms)
{
    if (s->suspects == 0) {
        return NULL;
    }
    GList *rows =
        g_list_sort(g_hash_table_get_values(s->rows), compare_surety);
    GString *out = g_string_new(NULL);
    uint32_t count = 0;
    for (GList *l = rows; l && count < NOTE_ROWS; l = l->next) {
        const Suspect *x = l->data;
        if (x->ends == 0) {
            break;
        }
        g_string_append_printf(out, "%s%llx.%u.%u.%u.%u", count ? "," : "",
                               (unsigned long long)x->request, x->ends,
                               x->solo_ends, x->late_runs,
                               sp_get_time_left(x->hold_until_ms, now_ms));
        count++;
    }
    g_list_free(rows);
    return g_string_free(out, FALSE);
}

void
sp_read_note(Sp *s, uint64_t now_ms, const char *note)
{
    if (strlen(note) > MAX_NOTE) {
        bg_log(BG_WARN, "suspects", "ignored a lease record's note");
        return;
    }
    g_auto(GStrv) words = g_strsplit(note, ",", NOTE_ROWS);
    for (char **w = words; *w; w++) {
        unsigned long long request;
        unsigned ends;
        unsigned solo_ends;
        unsigned late_runs;
        unsigned hold_ms;
        int length = 0;
        int fields = sscanf(*w, "%16llx.%9u.%9u.%9u.%9u%n", &request, &ends,
                            &solo_ends, &late_runs, &hold_ms, &length);
        if (fields != 5 || (*w)[length]) {
            bg_log(BG_WARN, "suspects", "ignored '%s' of a lease record", *w);
            continue;
        }
        SpRow row = {request,
                     ends,
                     MIN(solo_ends, ends),
                     MIN(late_runs, SP_LATE_RUNS),
                     MIN(hold_ms, SP_BLOCK_MS),
                     CLEARED_MS}; /* what was cleared since then stays so */
        sp_on_known(s, now_ms, &row);
    }
}
