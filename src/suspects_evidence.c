#include "suspects_internal.h"

#include <string.h>

/* Reports within this time of each other are of one end of an upstream. */
#define SAME_END_MS 1000
/* What was under way elsewhere at the third end is no late run. */
#define UNDER_WAY_MS 3000
#define MAX_UPSTREAMS 1024 /* of which ends are kept */

/* How long a suspect is stopped after its last end, by its solo ends; and by
   its late runs, if it may have been another one each time. */
static const uint32_t stop_ms[SP_LATE_RUNS] = {SP_FIRST_STOP_MS, 60000,
                                               600000};
#define UNSURE_STOPS 4
static const uint32_t unsure_stop_ms[UNSURE_STOPS] = {
    0, 2000, SP_FIRST_STOP_MS, 600000};
/* Many requests may have a part for which nothing speaks but that no answer
   came yet. */
static const uint32_t unsure_part_stop_ms[UNSURE_STOPS] = {0, 0, 2000,
                                                           SP_FIRST_STOP_MS};

/* ---- proofs ------------------------------------------------------------- */

void
sp_renew_proofs(Sp *s, uint64_t now_ms)
{
    bool old = now_ms >= s->proved_ms + SP_PROOF_MS / 2;
    if (!old && g_hash_table_size(s->proved) < SP_MAX_PROOFS / 2) {
        return;
    }
    g_hash_table_destroy(s->proved_before);
    s->proved_before = s->proved;
    s->proved = g_hash_table_new(NULL, NULL);
    s->proved_ms = now_ms;
}

void
sp_prove(Sp *s, uint64_t now_ms, const SpKeys *keys)
{
    sp_renew_proofs(s, now_ms);
    for (uint32_t i = 0; i < keys->part_count; i++) {
        g_hash_table_add(s->proved, GSIZE_TO_POINTER(keys->parts[i]));
        g_hash_table_remove(s->doubted, &keys->parts[i]);
    }
}

void
sp_doubt(Sp *s, uint64_t now_ms, const uint64_t *parts, size_t count,
         SpKeys *out)
{
    out->request = 0;
    out->part_count = 0;
    for (size_t i = 0; i < count; i++) {
        if (g_hash_table_contains(s->doubted, &parts[i]) ||
            out->part_count == SP_MAX_PARTS) {
            continue;
        }
        uint64_t *part = g_memdup2(&parts[i], sizeof(parts[i]));
        g_hash_table_insert(s->doubted, part,
                            g_memdup2(&now_ms, sizeof(now_ms)));
        out->parts[out->part_count++] = parts[i];
    }
}

static gboolean
drop_if_doubted(gpointer part, gpointer since_ms, gpointer sp)
{
    Sp *s = sp;
    gpointer key = GSIZE_TO_POINTER(*(uint64_t *)part);
    if (s->now_ms < *(uint64_t *)since_ms + SP_DOUBT_MS) {
        return FALSE;
    }
    g_hash_table_remove(s->proved, key);
    g_hash_table_remove(s->proved_before, key);
    return TRUE;
}

void
sp_drop_doubted(Sp *s, uint64_t now_ms)
{
    s->now_ms = now_ms;
    g_hash_table_foreach_remove(s->doubted, drop_if_doubted, s);
}

/* ---- stops -------------------------------------------------------------- */

bool
sp_is_sure(const Suspect *x)
{
    return x->part ? x->many && x->solo_ends >= SP_PART_SOLO_ENDS
                   : x->solo_ends > 0;
}

static bool
is_ripe(const Suspect *x)
{
    return x->part && x->ends >= SP_STOP_ENDS && sp_is_sure(x);
}

/* How long X is stopped from its last end on. */
static uint32_t
get_stop_ms(const Suspect *x)
{
    if (sp_is_sure(x) && x->late_runs >= SP_LATE_RUNS) {
        return SP_BLOCK_MS;
    }
    if (sp_is_sure(x)) {
        return stop_ms[MIN(x->solo_ends, SP_LATE_RUNS) - 1];
    }
    uint32_t i = MIN(x->late_runs, UNSURE_STOPS - 1);
    return x->part ? unsure_part_stop_ms[i] : unsure_stop_ms[i];
}

void
sp_stop(Suspect *x, uint64_t now_ms)
{
    if (x->ends >= SP_STOP_ENDS) {
        x->hold_until_ms = MAX(x->hold_until_ms, now_ms + get_stop_ms(x));
    }
}

/* ---- counting ends ------------------------------------------------------ */

uint64_t
sp_get_seen_ms(const Suspect *x, const char *upstream)
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

void
sp_note_seen(Suspect *x, uint64_t at_ms, const char *upstream, bool solo)
{
    uint32_t key = g_str_hash(upstream);
    for (uint32_t i = 0; i < SP_SEEN_ENDS; i++) {
        if (x->seen[i] == key && x->seen_ms[i] == at_ms) {
            x->seen_solo[i] = solo;
            return;
        }
    }
    x->seen[x->next_seen] = key;
    x->seen_ms[x->next_seen] = at_ms;
    x->seen_solo[x->next_seen] = solo;
    x->next_seen = (x->next_seen + 1) % SP_SEEN_ENDS;
}

static void
note_request(Suspect *x, uint64_t request)
{
    if (request == 0) {
        return; /* of a call that was cancelled, and counted before */
    }
    if (x->by && x->by != request) {
        x->many = true;
    }
    x->by = request;
}

void
sp_count_end(Sp *s, Suspect *x, uint64_t now_ms, uint64_t request, bool solo,
             bool late)
{
    sp_set_ends(s, x, x->ends + 1);
    note_request(x, request);
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
    sp_stop(x, now_ms);
    sp_note_changed(s, x);
}

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

bool
sp_has_ended_since(const Sp *s, const char *upstream, uint64_t since_ms)
{
    const UpstreamEnd *e = g_hash_table_lookup(s->ends, upstream);
    return e && e->at_ms >= since_ms;
}

/* What was under way before it was a suspect runs beside others' solo turns:
   the end is no longer sure to be X's. */
static void
withdraw_blame(Sp *s, Suspect *x)
{
    if (x->solo_ends > 0) {
        x->solo_ends--;
    }
    for (uint32_t i = 0; i < SP_SEEN_ENDS; i++) {
        x->seen_solo[i] = x->seen_solo[i] && x->seen_ms[i] != x->solo_at_ms;
    }
    x->solo_at_ms = 0;
    if (!sp_is_sure(x)) {
        x->hold_until_ms = x->last_ms + get_stop_ms(x);
    }
    sp_note_changed(s, x);
}

void
sp_note_beside(Sp *s, UpstreamEnd *e, const Suspect *beside)
{
    e->beside = beside->request;
    if (!e->blamed) {
        return;
    }
    e->blamed = false;
    GHashTableIter it;
    Suspect *x;
    g_hash_table_iter_init(&it, s->rows);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&x)) {
        if (x != beside && x->solo_at_ms == e->at_ms) {
            withdraw_blame(s, x);
        }
    }
}

bool
sp_take_blame(UpstreamEnd *e, Suspect *x)
{
    if (x->solo_at_ms == e->at_ms || (e->beside && e->beside != x->request)) {
        return false;
    }
    x->solo_at_ms = e->at_ms;
    e->blamed = true;
    return true;
}

/* ---- what explains which ends ------------------------------------------- */

/* Ends before X was cleared don't count. */
static bool
is_counted(const Suspect *x, uint32_t i)
{
    return x->seen_ms[i] > x->cleared_ms;
}

/* The ends of X that are kept are all of them, or the last ones. */
static bool
has_seen_all(const Suspect *x)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < SP_SEEN_ENDS; i++) {
        kept += is_counted(x, i);
    }
    return kept >= MIN(x->ends, SP_SEEN_ENDS);
}

static bool
has_seen_solo(const Suspect *x)
{
    uint32_t kept = 0;
    for (uint32_t i = 0; i < SP_SEEN_ENDS; i++) {
        kept += is_counted(x, i) && x->seen_solo[i];
    }
    return kept >= MIN(x->solo_ends, SP_PART_SOLO_ENDS);
}

static bool
has_seen(const Suspect *x, uint32_t upstream, uint64_t at_ms)
{
    for (uint32_t i = 0; i < SP_SEEN_ENDS; i++) {
        if (x->seen[i] == upstream && x->seen_ms[i] == at_ms) {
            return true;
        }
    }
    return false;
}

/* Each end of X that is kept, or each that is sure to be its own (SOLO), was
   also one of a row in COVER, which is not X. */
static bool
is_covered(const Suspect *x, const GPtrArray *cover, bool solo)
{
    for (uint32_t i = 0; i < SP_SEEN_ENDS; i++) {
        bool covered = !is_counted(x, i) || (solo && !x->seen_solo[i]);
        for (guint k = 0; k < cover->len && !covered; k++) {
            const Suspect *y = cover->pdata[k];
            covered = y != x && has_seen(y, x->seen[i], x->seen_ms[i]);
        }
        if (!covered) {
            return false;
        }
    }
    return true;
}

/* Clears what ran beside the stopped part X each time. */
static void
clear_beside(Sp *s, const Suspect *x, uint64_t now_ms)
{
    g_autoptr(GPtrArray) cover = g_ptr_array_new();
    g_ptr_array_add(cover, (void *)x);
    GHashTableIter it;
    Suspect *y;
    g_hash_table_iter_init(&it, s->rows);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&y)) {
        if (y != x && y->ends > 0 && !is_ripe(y) && has_seen_all(y) &&
            is_covered(y, cover, false)) {
            sp_clear_row(s, y, now_ms);
        }
    }
}

static void
weigh_part(Sp *s, Suspect *x, const GPtrArray *cover, uint64_t now_ms)
{
    /* A leader that didn't count its ends believes the one that did. */
    bool tied = has_seen_solo(x) ? is_covered(x, cover, true)
                                 : x->tied && cover->len > 1;
    if (tied != x->tied) {
        x->tied = tied;
        sp_note_changed(s, x);
    }
    if (!tied) {
        clear_beside(s, x, now_ms);
    }
}

void
sp_weigh_parts(Sp *s, uint64_t now_ms)
{
    g_autoptr(GPtrArray) ripe = g_ptr_array_new();
    g_autoptr(GPtrArray) cover = g_ptr_array_new();
    GHashTableIter it;
    Suspect *x;
    g_hash_table_iter_init(&it, s->rows);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&x)) {
        if (x->part && x->ends >= SP_SOLO_ENDS) {
            g_ptr_array_add(cover, x);
        }
        if (is_ripe(x)) {
            g_ptr_array_add(ripe, x);
        }
    }
    for (guint i = 0; i < ripe->len; i++) {
        weigh_part(s, ripe->pdata[i], cover, now_ms);
    }
}
