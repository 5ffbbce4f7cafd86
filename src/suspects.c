#include "suspects_internal.h"

#include <string.h>

/* Over this time the gateways tell of their proofs of a part. */
#define PROOF_SPREAD_MS 100

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
    s->proved = g_hash_table_new(NULL, NULL);
    s->proved_before = g_hash_table_new(NULL, NULL);
    s->doubted =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    s->proved_ms = now_ms;
    s->proofs = g_array_new(FALSE, FALSE, sizeof(Proof));
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
    g_hash_table_destroy(s->proved);
    g_hash_table_destroy(s->proved_before);
    g_hash_table_destroy(s->doubted);
    g_array_free(s->proofs, TRUE);
    g_free(s);
}

/* ---- rows --------------------------------------------------------------- */

Suspect *
sp_find_row(const Sp *s, uint64_t key)
{
    return g_hash_table_lookup(s->rows, &key);
}

void
sp_note_changed(Sp *s, Suspect *x)
{
    if (!x->changed) {
        x->changed = true;
        g_array_append_val(s->changed, x->request);
    }
}

void
sp_set_ends(Sp *s, Suspect *x, uint32_t ends)
{
    s->suspects += (ends > 0) - (x->ends > 0);
    x->ends = ends;
}

static void
drop_row(Sp *s, Suspect *x)
{
    sp_set_ends(s, x, 0);
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

void
sp_make_room(Sp *s)
{
    if (g_hash_table_size(s->rows) + SP_MAX_PARTS >= SP_MAX_ROWS) {
        evict(s);
    }
}

Suspect *
sp_add_row(Sp *s, uint64_t key, bool part)
{
    Suspect *x = sp_find_row(s, key);
    if (x) {
        return x;
    }
    if (g_hash_table_size(s->rows) >= SP_MAX_ROWS) {
        evict(s);
    }
    x = g_new0(Suspect, 1);
    x->request = key;
    x->part = part;
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
    return (SpRow){.request = x->request,
                   .ends = x->ends,
                   .solo_ends = x->solo_ends,
                   .late_runs = x->late_runs,
                   .hold_ms = sp_get_time_left(x->hold_until_ms, now_ms),
                   .age_ms = sp_get_time_left(now_ms, x->last_ms),
                   .part = x->part,
                   .many = x->many,
                   .tied = x->tied};
}

SpRow
sp_get_row(const Sp *s, uint64_t now_ms, uint64_t key)
{
    const Suspect *x = sp_find_row(s, key);
    return x ? make_row(x, now_ms) : (SpRow){.request = key};
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
        "{\"request\":\"%016llx\",\"kind\":\"%s\",\"ends\":%u,"
        "\"solo_ends\":%u,\"late_runs\":%u,\"stopped_ms\":%u,"
        "\"age_ms\":%u,\"tied\":%s}\n",
        (unsigned long long)row->request, row->part ? "part" : "request",
        row->ends, row->solo_ends, row->late_runs, row->hold_ms, row->age_ms,
        row->tied ? "true" : "false");
}

void
sp_print(const Sp *s, uint64_t now_ms, GString *out)
{
    sp_visit(s, now_ms, print_row, out);
}

void
sp_clear_row(Sp *s, Suspect *x, uint64_t now_ms)
{
    sp_set_ends(s, x, 0);
    x->solo_ends = 0;
    x->late_runs = 0;
    x->hold_until_ms = 0;
    x->third_ms = 0;
    x->last_ms = now_ms;
    x->cleared_ms = now_ms;
    x->own = false;
    x->many = false;
    x->tied = false;
    x->by = 0;
    sp_note_changed(s, x);
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

/* ---- verdicts ----------------------------------------------------------- */

bool
sp_is_proved(const Sp *s, uint64_t part)
{
    return g_hash_table_contains(s->proved, GSIZE_TO_POINTER(part)) ||
           g_hash_table_contains(s->proved_before, GSIZE_TO_POINTER(part));
}

static void
add_suspect(const Sp *s, SuspectList *l, uint64_t key)
{
    Suspect *x = sp_find_row(s, key);
    bool proved =
        x && x->part && x->ends < SP_STOP_ENDS && sp_is_proved(s, x->request);
    if (x && x->ends > 0 && !proved) {
        l->rows[l->count++] = x;
    }
}

void
sp_list_suspects(const Sp *s, const SpKeys *keys, SuspectList *out)
{
    out->count = 0;
    if (s->suspects == 0) {
        return;
    }
    add_suspect(s, out, keys->request);
    for (uint32_t i = 0; i < keys->part_count; i++) {
        add_suspect(s, out, keys->parts[i]);
    }
}

/* A tied part is stopped in what has another part that may be the one. */
const Suspect *
sp_find_stop(const SuspectList *l, uint64_t now_ms, uint32_t *wait_ms)
{
    const Suspect *stop = NULL;
    uint32_t parts = 0;
    *wait_ms = 0;
    for (uint32_t i = 0; i < l->count; i++) {
        parts += l->rows[i]->part && l->rows[i]->ends >= SP_SOLO_ENDS;
    }
    for (uint32_t i = 0; i < l->count; i++) {
        const Suspect *x = l->rows[i];
        uint32_t left_ms = sp_get_time_left(x->hold_until_ms, now_ms);
        bool stops = !x->tied || parts > 1;
        if (stops && left_ms > *wait_ms) {
            stop = x;
            *wait_ms = left_ms;
        }
    }
    return stop;
}

SpVerdict
sp_get_verdict(const Sp *s, uint64_t now_ms, const SpKeys *keys,
               uint32_t *wait_ms)
{
    SuspectList l;
    sp_list_suspects(s, keys, &l);
    return sp_find_stop(&l, now_ms, wait_ms) ? SP_STOPPED
           : l.count > 0                     ? SP_SUSPECT
                                             : SP_CLEAR;
}

uint64_t
sp_find_stopped(const Sp *s, uint64_t now_ms, const SpKeys *keys)
{
    SuspectList l;
    uint32_t wait_ms;
    sp_list_suspects(s, keys, &l);
    const Suspect *x = sp_find_stop(&l, now_ms, &wait_ms);
    return x ? x->request : 0;
}

void
sp_copy_unproved(const Sp *s, const SpKeys *keys, SpKeys *out)
{
    out->request = keys->request;
    out->part_count = 0;
    for (uint32_t i = 0; i < keys->part_count; i++) {
        if (!sp_is_proved(s, keys->parts[i])) {
            out->parts[out->part_count++] = keys->parts[i];
        }
    }
}

/* ---- rows of other gateways --------------------------------------------- */

/* Other gateways tell of it as well: the first ones spare the rest that. */
static void
plan_proof(Sp *s, uint64_t now_ms, const SpRow *row)
{
    if (!row->part || row->ends == 0 || !sp_is_proved(s, row->request)) {
        return;
    }
    Proof p = {row->request,
               now_ms + bg_pick_random(&s->rng, PROOF_SPREAD_MS)};
    g_array_append_val(s->proofs, p);
}

void
sp_on_row(Sp *s, uint64_t now_ms, const SpRow *row)
{
    if (row->ends == 0 && !sp_find_row(s, row->request)) {
        return;
    }
    plan_proof(s, now_ms, row);
    Suspect *x = sp_add_row(s, row->request, row->part);
    sp_set_ends(s, x, row->ends);
    x->solo_ends = row->solo_ends;
    x->late_runs = row->late_runs;
    x->hold_until_ms = row->hold_ms ? now_ms + row->hold_ms : 0;
    x->last_ms = now_ms - MIN(now_ms, row->age_ms);
    x->used_ms = now_ms;
    x->own = x->own && row->ends > 0;
    x->many = row->many;
    x->tied = row->tied;
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
    plan_proof(s, now_ms, row);
    Suspect *x = sp_add_row(s, row->request, row->part);
    bool more = row->ends > x->ends || row->solo_ends > x->solo_ends ||
                row->late_runs > x->late_runs;
    if (!more) {
        return;
    }
    sp_set_ends(s, x, MAX(x->ends, row->ends));
    x->solo_ends = MAX(x->solo_ends, row->solo_ends);
    x->late_runs = MAX(x->late_runs, row->late_runs);
    x->last_ms = MAX(x->last_ms, last_ms);
    x->used_ms = MAX(x->used_ms, last_ms);
    x->many = x->many || row->many;
    x->tied = row->tied;
    if (row->hold_ms) {
        x->hold_until_ms = MAX(x->hold_until_ms, now_ms + row->hold_ms);
    }
    sp_note_changed(s, x);
}

void
sp_take_proofs(Sp *s, uint64_t now_ms,
               void (*visit)(void *ctx, const SpKeys *keys), void *ctx)
{
    for (guint i = s->proofs->len; i-- > 0;) {
        Proof p = g_array_index(s->proofs, Proof, i);
        if (now_ms < p.due_ms) {
            continue;
        }
        g_array_remove_index_fast(s->proofs, i);
        const Suspect *x = sp_find_row(s, p.part);
        if (x && x->ends > 0 && sp_is_proved(s, p.part)) {
            SpKeys keys = {.part_count = 1, .parts = {p.part}};
            visit(ctx, &keys);
        }
    }
}
