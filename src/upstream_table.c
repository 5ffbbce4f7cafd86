#include "upstream_table_internal.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* How long an upstream that reported a model as not loaded is not chosen for
   it: a load that was taken for complete may need a little longer.  Tripled
   with each such report in a row, up to the maximum. */
#define MIN_ABSENT_MS 80
#define MAX_ABSENT_MS 1000
#define SHED_BACKOFF_MS 60 /* a full upstream frees slots all the time */
/* Backoff after a call that failed to connect or timed out; doubled each time,
   up to the maximum. */
#define MIN_BACKOFF_MS 250
#define MAX_BACKOFF_MS 3000
/* An unreachable upstream is probed by one call at a time, this long after the
   last failure, also where no other holds the model: a crashed process refuses
   connections at once, and queued requests would reconnect without pause. */
#define MIN_PROBE_INTERVAL_MS 100
/* Weight of a new sample in the averages of failures and first bytes: about
   the last five answers decide. */
#define SAMPLE_WEIGHT 0.2
/* An upstream counts as alive, so as busy rather than down, for this long
   after the end of a call of this gateway that it answered. */
#define ALIVE_MS 700

static void
clear_absence(void *p)
{
    g_free(((UtAbsence *)p)->what);
}

static void
clear_gone(void *gone)
{
    g_free(((UtGone *)gone)->service);
    g_free(((UtGone *)gone)->version);
}

static void
free_ut(void *p)
{
    Ut *u = p;
    dep_destroy_upstream(u->entry);
    if (u->placed) {
        g_ptr_array_free(u->placed, TRUE);
    }
    g_array_free(u->absences, TRUE);
    g_free(u);
}

UtSet *
ut_create(const UtParams *params)
{
    UtSet *s = g_new0(UtSet, 1);
    s->data_centre = g_strdup(params->data_centre);
    bg_seed_random(&s->rng, params->seed);
    s->limits = params->limits;
    s->notices = params->notices;
    s->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    s->by_key = g_hash_table_new(g_direct_hash, g_direct_equal);
    s->removed = g_ptr_array_new();
    s->versions_gone = g_array_new(FALSE, FALSE, sizeof(UtGone));
    g_array_set_clear_func(s->versions_gone, clear_gone);
    return s;
}

void
ut_destroy(UtSet *s)
{
    GHashTableIter it;
    gpointer u;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &u)) {
        free_ut(u);
    }
    g_hash_table_destroy(s->by_id);
    g_hash_table_destroy(s->by_key);
    for (guint i = 0; i < s->removed->len; i++) {
        free_ut(s->removed->pdata[i]);
    }
    g_ptr_array_free(s->removed, TRUE);
    g_array_free(s->versions_gone, TRUE);
    g_free(s->data_centre);
    g_free(s);
}

/* ---- state -------------------------------------------------------------- */

static void
note_gone(UtSet *s, uint64_t now_ms, const DepUpstream *u)
{
    for (guint i = 0; i < s->versions_gone->len; i++) {
        UtGone *x = &g_array_index(s->versions_gone, UtGone, i);
        if (strcmp(x->service, u->service) == 0 &&
            g_strcmp0(x->version, u->version) == 0) {
            x->ms = now_ms;
            return;
        }
    }
    UtGone x = {g_strdup(u->service), g_strdup(u->version), now_ms};
    g_array_append_val(s->versions_gone, x);
}

static void
drop(UtSet *s, uint64_t now_ms, Ut *u)
{
    note_gone(s, now_ms, u->entry);
    g_hash_table_remove(s->by_id, u->entry->id);
    s->unversioned -= !u->entry->version;
    if (s->limits) {
        ul_forget(s->limits, u->entry->id);
    }
    gpointer key = GUINT_TO_POINTER(ut_make_key(u->entry->id));
    if (g_hash_table_lookup(s->by_key, key) == u) {
        g_hash_table_remove(s->by_key, key);
    }
    u->gone = true;
    if (u->running == 0) {
        free_ut(u);
    }
    else {
        g_ptr_array_add(s->removed, u);
    }
}

/* Else it is a restarted process, or another address or service under the
   same id: what was learnt of the former one no longer holds. */
static bool
is_same_instance(const DepUpstream *a, const DepUpstream *b)
{
    bool differs =
        a->version && b->version && strcmp(a->version, b->version) != 0;
    return a->born_ms == b->born_ms && strcmp(a->address, b->address) == 0 &&
           strcmp(a->service, b->service) == 0 && !differs;
}

/* A process that leaves does so whatever a later entry says, also one that was
   removed in between. */
static void
note_entry_leaving(UtSet *s, uint64_t now_ms, DepUpstream *entry)
{
    UnProcess u = {entry->id, entry->born_ms};
    if (!s->notices) {
        return;
    }
    if (entry->draining) {
        un_on_leaving(s->notices, now_ms, &u);
    }
    entry->draining = un_is_leaving(s->notices, &u);
}

bool
ut_on_entry(UtSet *s, uint64_t now_ms, DepUpstream *entry)
{
    Ut *u = g_hash_table_lookup(s->by_id, entry->id);
    if (u && !is_same_instance(u->entry, entry)) {
        drop(s, now_ms, u);
        u = NULL;
    }
    bool is_new = !u;
    bool learnt = u && !u->entry->version && entry->version;
    if (u && !entry->version) {
        entry->version = g_strdup(u->entry->version);
    }
    if (u) {
        s->unversioned -= !u->entry->version;
        g_hash_table_steal(s->by_id, u->entry->id);
        dep_destroy_upstream(u->entry);
        if (u->stale && u->placed) {
            g_ptr_array_free(u->placed, TRUE);
            u->placed = NULL;
        }
        u->stale = false;
    }
    else {
        u = g_new0(Ut, 1);
        u->set = s;
        g_hash_table_insert(s->by_key,
                            GUINT_TO_POINTER(ut_make_key(entry->id)), u);
        u->absences = g_array_new(FALSE, FALSE, sizeof(UtAbsence));
        g_array_set_clear_func(u->absences, clear_absence);
        u->slowness = 1;
        u->penalty_ms = now_ms;
    }
    u->entry = entry;
    s->first_ms = s->first_ms ? s->first_ms : MAX(now_ms, 1);
    s->unversioned += !entry->version;
    note_entry_leaving(s, now_ms, entry);
    bool leaves = entry->draining && !u->leaving;
    u->leaving = u->leaving || entry->draining;
    entry->draining = u->leaving;
    g_hash_table_insert(s->by_id, entry->id, u);
    return is_new || leaves || learnt;
}

const DepUpstream *
ut_on_leaving(UtSet *s, const UnProcess *process)
{
    Ut *u = g_hash_table_lookup(s->by_id, process->id);
    bool other = u && process->born_ms && u->entry->born_ms &&
                 process->born_ms != u->entry->born_ms;
    if (!u || other || u->leaving) {
        return NULL;
    }
    u->leaving = true;
    u->entry->draining = true;
    return u->entry;
}

void
ut_visit_leaving(const UtSet *s,
                 void (*visit)(void *ctx, const DepUpstream *entry), void *ctx)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Ut *u = v;
        if (u->leaving) {
            visit(ctx, u->entry);
        }
    }
}

void
ut_on_gone(UtSet *s, uint64_t now_ms, const char *id)
{
    Ut *u = g_hash_table_lookup(s->by_id, id);
    if (u) {
        drop(s, now_ms, u);
    }
}

void
ut_keep_only(UtSet *s, uint64_t now_ms, GHashTable *ids)
{
    g_autoptr(GList) known = g_hash_table_get_keys(s->by_id);
    for (GList *l = known; l; l = l->next) {
        if (!g_hash_table_contains(ids, l->data)) {
            ut_on_gone(s, now_ms, l->data);
        }
    }
}

void
ut_on_placement(UtSet *s, uint64_t now_ms, const char *id, GPtrArray *models)
{
    (void)now_ms;
    Ut *u = g_hash_table_lookup(s->by_id, id);
    if (!u) {
        g_ptr_array_free(models, TRUE);
        return;
    }
    if (u->placed) {
        g_ptr_array_free(u->placed, TRUE);
    }
    u->placed = models;
    u->stale = false;
    u->unreachable_ms = 0;
    u->reported_unreachable_ms = 0;
}

bool
ut_is_reported_unreachable(const UtSet *s, const char *id)
{
    const Ut *u = g_hash_table_lookup(s->by_id, id);
    return u && u->reported_unreachable_ms != 0;
}

const GPtrArray *
ut_get_placement(const UtSet *s, const char *id)
{
    const Ut *u = g_hash_table_lookup(s->by_id, id);
    return u && !u->stale ? u->placed : NULL;
}

void
ut_on_unreachable(UtSet *s, uint64_t now_ms, const char *id)
{
    Ut *u = g_hash_table_lookup(s->by_id, id);
    if (!u) {
        return;
    }
    u->away_ms = now_ms;
    if (now_ms >= u->last_answer_ms + ALIVE_MS) {
        u->reported_unreachable_ms = now_ms;
    }
}

void
ut_mark_placement_stale(UtSet *s)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        ((Ut *)v)->stale = true;
    }
}

/* ---- calls -------------------------------------------------------------- */

void
ut_start(Ut *u)
{
    u->running++;
    u->probing = u->unreachable_ms != 0 || u->reported_unreachable_ms != 0;
}

static void
decay_penalty(Ut *u, uint64_t now_ms)
{
    double f =
        exp2(-(double)(now_ms - u->penalty_ms) / UT_PENALTY_HALF_LIFE_MS);
    u->fail_rate *= f;
    u->slowness = 1 + (u->slowness - 1) * f;
    u->penalty_ms = now_ms;
}

static void
note_first_byte(UtSet *s, Ut *u, uint32_t first_ms, const UtQuery *q)
{
    if (q->model) {
        uint32_t usual = ut_get_usual_ms(s, u, q);
        double x = CLAMP((double)first_ms / MAX(usual, 1), 0.5, 10);
        u->slowness += SAMPLE_WEIGHT * (MAX(x, 1) - u->slowness);
        return;
    }
    if (s->plain_ms > 0) {
        double x = CLAMP(first_ms / s->plain_ms, 0.5, 10);
        u->slowness += SAMPLE_WEIGHT * (MAX(x, 1) - u->slowness);
    }
    double mean = s->plain_ms > 0 ? s->plain_ms : first_ms;
    s->plain_ms = MAX(1, mean + 0.05 * (first_ms - mean));
}

/* The upstream may be back with nothing loaded, and refuse every model that it
   held.  It gets only single probes until it has answered one conclusively or
   its placement is published again. */
static void
note_inconclusive_probe(Ut *u, uint64_t now_ms)
{
    u->probe_interval_ms =
        MIN(u->probe_interval_ms * 2, UT_MAX_PROBE_INTERVAL_MS);
    u->unreachable_ms = now_ms;
}

void
ut_finish(UtSet *s, Ut *u, uint64_t now_ms, UtOutcome outcome,
          uint32_t first_ms, const UtQuery *q)
{
    u->running--;
    u->probing = false;
    decay_penalty(u, now_ms);
    switch (outcome) {
    case UT_OUTCOME_GOOD:
        u->unreachable_ms = 0;
        u->failures = 0;
        u->backoff_until_ms = 0;
        u->fail_rate *= 1 - SAMPLE_WEIGHT;
        break;
    case UT_OUTCOME_FAILED:
        u->unreachable_ms = 0;
        u->fail_rate += SAMPLE_WEIGHT * (1 - u->fail_rate);
        break;
    case UT_OUTCOME_UNREACHABLE:
        u->unreachable_ms = now_ms;
        u->probe_interval_ms = MIN_PROBE_INTERVAL_MS;
        /* fall through */
    case UT_OUTCOME_SILENT:
        u->fail_rate += SAMPLE_WEIGHT * (1 - u->fail_rate);
        u->backoff_until_ms =
            now_ms +
            MIN(MIN_BACKOFF_MS << MIN(u->failures, 10), MAX_BACKOFF_MS);
        u->failures++;
        break;
    case UT_OUTCOME_SHED:
        u->unreachable_ms = 0;
        u->shed_until_ms = now_ms + SHED_BACKOFF_MS;
        break;
    case UT_OUTCOME_NEUTRAL:
        if (u->unreachable_ms) {
            note_inconclusive_probe(u, now_ms);
        }
        break;
    }
    if (first_ms) {
        u->last_answer_ms = now_ms;
        u->reported_unreachable_ms = 0;
        note_first_byte(s, u, first_ms, q);
    }
    if (u->gone && u->running == 0) {
        g_ptr_array_remove_fast(s->removed, u);
        free_ut(u);
    }
}

void
ut_note_absent(UtSet *s, Ut *u, uint64_t now_ms, const char *model,
               const char *adapter)
{
    (void)s;
    g_autofree char *what = dep_make_key(model, adapter);
    uint32_t last_ms = 0;
    for (guint i = 0; i < u->absences->len;) {
        UtAbsence *a = &g_array_index(u->absences, UtAbsence, i);
        bool same = strcmp(a->what, what) == 0;
        if (same && now_ms < a->until_ms + MAX_ABSENT_MS) {
            last_ms = a->last_ms;
        }
        if (same || a->until_ms + MAX_ABSENT_MS <= now_ms) {
            g_array_remove_index_fast(u->absences, i);
        }
        else {
            i++;
        }
    }
    UtAbsence a = {.what = g_steal_pointer(&what)};
    a.last_ms = last_ms ? MIN(last_ms * 3, MAX_ABSENT_MS) : MIN_ABSENT_MS;
    a.until_ms = now_ms + a.last_ms;
    g_array_append_val(u->absences, a);
}

void
ut_note_load(Ut *u, uint64_t now_ms, uint32_t running, uint32_t waiting)
{
    uint32_t all = running + waiting;
    u->reported = all > u->running ? all - u->running : 0;
    u->reported_ms = now_ms;
}

static void
set_total(Ut *u, const UtTotal *t)
{
    u->fleet_running = t->running;
    u->others_running = t->running > u->running ? t->running - u->running : 0;
    u->fleet_wait_ms = t->wait_ms;
    u->stalled = t->stalled;
}

void
ut_on_totals(UtSet *s, uint64_t now_ms, const UtTotal *totals, size_t n,
             bool whole)
{
    s->totals_ms = now_ms;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_id);
    static const UtTotal none;
    while (whole && g_hash_table_iter_next(&it, NULL, &v)) {
        set_total(v, &none);
    }
    for (size_t i = 0; i < n; i++) {
        Ut *u =
            g_hash_table_lookup(s->by_key, GUINT_TO_POINTER(totals[i].key));
        if (u) {
            set_total(u, &totals[i]);
        }
    }
}

void
ut_visit_totals(const UtSet *s, void (*visit)(void *ctx, const UtTotal *total),
                void *ctx)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Ut *u = v;
        UtTotal t = {ut_make_key(u->entry->id), u->fleet_running,
                     u->fleet_wait_ms, u->stalled};
        if (t.running > 0) {
            visit(ctx, &t);
        }
    }
}

void
ut_visit(const UtSet *s,
         void (*visit)(void *ctx, const DepUpstream *entry,
                       const GPtrArray *models),
         void *ctx)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Ut *u = v;
        visit(ctx, u->entry, u->placed ? u->placed : u->entry->models);
    }
}

uint32_t
ut_make_key(const char *id)
{
    return XXH32(id, strlen(id), 0);
}

uint32_t
ut_get_wait_ms(const Ut *u, uint64_t now_ms)
{
    return ut_hears_leader(u->set, now_ms) ? u->fleet_wait_ms : 0;
}

/* Time of the first decoding step, after the prompt was processed; queueing
   and concurrent requests add to it. */
#define FIRST_STEP_MS 100.

uint32_t
ut_get_usual_ms(const UtSet *s, const Ut *u, const UtQuery *q)
{
    (void)u;
    if (!q->model) {
        return (uint32_t)s->plain_ms;
    }
    return (uint32_t)(FIRST_STEP_MS + q->prompt_tokens / UT_TOKENS_PER_MS);
}

const char *
ut_get_id(const Ut *u)
{
    return u->entry->id;
}

UnProcess
ut_get_process(const Ut *u)
{
    return (UnProcess){u->entry->id, u->entry->born_ms};
}

const DepUpstream *
ut_get_entry(const Ut *u)
{
    return u->entry;
}

const char *
ut_get_version(const Ut *u)
{
    return u->entry->version ? u->entry->version : "";
}

const char *
ut_get_address(const Ut *u)
{
    return u->entry->address;
}

bool
ut_is_gone(const Ut *u)
{
    return u->gone || u->leaving;
}

bool
ut_is_unreachable(const Ut *u)
{
    return u->unreachable_ms != 0;
}

bool
ut_is_alive(const Ut *u, uint64_t now_ms)
{
    if (now_ms < u->last_answer_ms + ALIVE_MS) {
        return true;
    }
    /* The totals are evidence only if other gateways have requests there. */
    return u->others_running > 0 && ut_hears_leader(u->set, now_ms) &&
           !u->stalled && !u->reported_unreachable_ms;
}

uint32_t
ut_get_running(const Ut *u)
{
    return u->running;
}

uint32_t
ut_count(const UtSet *s)
{
    return g_hash_table_size(s->by_id);
}

bool
ut_knows(const UtSet *s, const char *id)
{
    return g_hash_table_contains(s->by_id, id);
}

const char *
ut_find_address(const UtSet *s, const char *id)
{
    const Ut *u = g_hash_table_lookup(s->by_id, id);
    return u ? u->entry->address : NULL;
}

bool
ut_has_address(const UtSet *s, const char *address)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Ut *u = v;
        if (!u->leaving && strcmp(u->entry->address, address) == 0) {
            return true;
        }
    }
    return false;
}

const Ut *
ut_pick_any(UtSet *s)
{
    uint32_t nth = bg_pick_random(&s->rng, g_hash_table_size(s->by_id));
    GHashTableIter it;
    gpointer v = NULL;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v) && nth > 0) {
        nth--;
    }
    return v;
}

const char *
ut_find_only_version(const UtSet *s, const char *service)
{
    const char *found = NULL;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Ut *u = v;
        if (u->leaving || strcmp(u->entry->service, service) != 0) {
            continue;
        }
        if (!u->entry->version ||
            (found && strcmp(found, u->entry->version) != 0)) {
            return NULL;
        }
        found = u->entry->version;
    }
    return found;
}

/* The version of all of SERVICE's upstreams; NULL: several, none, or not known
   of all. */
static const char *
find_any_only(const UtSet *s, const char *service)
{
    const char *found = NULL;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const DepUpstream *u = ((const Ut *)v)->entry;
        if (strcmp(u->service, service) != 0) {
            continue;
        }
        if (!u->version || (found && strcmp(found, u->version) != 0)) {
            return NULL;
        }
        found = u->version;
    }
    return found;
}

bool
ut_is_single(const UtSet *s, uint64_t now_ms, const char *service,
             uint64_t for_ms)
{
    const char *only = find_any_only(s, service);
    if (!only || !s->first_ms || now_ms < s->first_ms + for_ms) {
        return false;
    }
    for (guint i = 0; i < s->versions_gone->len; i++) {
        const UtGone *x = &g_array_index(s->versions_gone, UtGone, i);
        if (strcmp(x->service, service) == 0 &&
            g_strcmp0(x->version, only) != 0 && now_ms < x->ms + for_ms) {
            return false;
        }
    }
    return true;
}

bool
ut_lacks_versions(const UtSet *s)
{
    return s->unversioned > 0;
}

Ut *
ut_find(const UtSet *s, const char *id)
{
    return g_hash_table_lookup(s->by_id, id);
}

bool
ut_ask_process(Ut *u, uint64_t now_ms)
{
    if (u->asked_ms) {
        return false;
    }
    u->asked_ms = now_ms;
    return true;
}

void
ut_on_process(Ut *u, uint64_t asked_ms, uint64_t born_ms)
{
    if (u->asked_ms != asked_ms) {
        return; /* it was asked of a former process of that id */
    }
    u->asked_ms = 0;
    if (born_ms && born_ms == u->entry->born_ms) {
        u->proved_ms = asked_ms;
    }
}

bool
ut_is_proved(const Ut *u, uint64_t opened_ms)
{
    return u->entry->born_ms == 0 ||
           (u->proved_ms && opened_ms && opened_ms <= u->proved_ms);
}

bool
ut_is_doubted(const Ut *u, uint64_t opened_ms, uint64_t lost_ms)
{
    bool lost = lost_ms > u->proved_ms && opened_ms >= lost_ms;
    return lost || u->away_ms > u->proved_ms;
}

uint64_t
ut_get_born_ms(const UtSet *s, const char *id)
{
    const Ut *u = g_hash_table_lookup(s->by_id, id);
    return u ? u->entry->born_ms : 0;
}

bool
ut_is_born(const UtSet *s, const char *id, uint64_t born_ms)
{
    return ut_knows(s, id) && ut_get_born_ms(s, id) == born_ms;
}
