#include "demand_aggregate.h"

#include <stdio.h>
#include <string.h>

#define MAX_KEY 512 /* of a sum; longer names are truncated */

/* ---- updates ------------------------------------------------------------ */

static void
free_model_demand(void *p)
{
    DmModelDemand *w = p;
    g_free(w->model);
    g_free(w->adapter);
    g_free(w->version);
    g_free(w);
}

static void
free_use(void *p)
{
    DmUse *u = p;
    g_free(u->upstream);
    g_free(u->model);
    g_free(u->adapter);
    g_free(u);
}

static void
free_answer_starts(void *p)
{
    g_free(((DmAnswerStarts *)p)->upstream);
    g_free(p);
}

DmDemand *
dm_create_demand(bool whole)
{
    DmDemand *d = g_new0(DmDemand, 1);
    d->whole = whole;
    d->model_demands = g_ptr_array_new_with_free_func(free_model_demand);
    d->uses = g_ptr_array_new_with_free_func(free_use);
    d->answer_starts = g_ptr_array_new_with_free_func(free_answer_starts);
    return d;
}

void
dm_destroy_demand(DmDemand *d)
{
    g_ptr_array_free(d->model_demands, TRUE);
    g_ptr_array_free(d->uses, TRUE);
    g_ptr_array_free(d->answer_starts, TRUE);
    g_free(d);
}

DmModelDemand *
dm_add_model_demand(DmDemand *d, const char *model, const char *adapter)
{
    DmModelDemand *w = g_new0(DmModelDemand, 1);
    w->model = g_strdup(model);
    w->adapter = g_strdup(adapter);
    g_ptr_array_add(d->model_demands, w);
    return w;
}

DmUse *
dm_add_use(DmDemand *d, const char *upstream, const char *model,
           const char *adapter)
{
    DmUse *u = g_new0(DmUse, 1);
    u->upstream = g_strdup(upstream);
    u->model = g_strdup(model);
    u->adapter = g_strdup(adapter);
    g_ptr_array_add(d->uses, u);
    return u;
}

void
dm_add_answer_starts(DmDemand *d, const char *upstream, uint32_t count)
{
    DmAnswerStarts *b = g_new0(DmAnswerStarts, 1);
    b->upstream = g_strdup(upstream);
    b->count = count;
    g_ptr_array_add(d->answer_starts, b);
}

/* ---- the aggregate ------------------------------------------------------ */

typedef enum { SUM_MODEL, SUM_USE, SUM_ANSWER_STARTS } SumKind;

/* Waiting and running of a model; or running, queued and slow of a use. */
#define LEVELS 3
#define COUNTS 3 /* arrived, tight_deadline and refused; or answer starts */

/* The sum over all sources for one model, use or upstream. */
typedef struct {
    char *key;
    SumKind kind;
    char *upstream;
    char *model;
    char *adapter;
    char *version; /* of a SUM_MODEL; NULL: any */
    uint32_t levels[LEVELS];
    uint32_t collected[LEVELS]; /* levels as last collected */
    uint32_t counts[COUNTS];    /* counts since then */
    uint32_t contributions; /* sources that contribute to it; 0: freed by the
                               next collection */
    bool changed;           /* it is in Dm.changes */
} Sum;

/* The share of one source in a sum. */
typedef struct {
    uint32_t levels[LEVELS];
    uint32_t update; /* number of the source's last update that named it */
} Contribution;

typedef struct {
    GHashTable *contributions; /* Sum -> Contribution */
    uint64_t last_update_ms;
    uint32_t update;  /* number of its last update */
    uint32_t waiting; /* requests, for all models */
} Source;

struct Dm {
    GHashTable *sums;    /* key -> Sum */
    GHashTable *sources; /* name -> Source */
    GPtrArray *changes;  /* Sum: to be collected */
};

static void
free_sum(void *p)
{
    Sum *r = p;
    g_free(r->key);
    g_free(r->upstream);
    g_free(r->model);
    g_free(r->adapter);
    g_free(r->version);
    g_free(r);
}

static void
free_source(void *p)
{
    Source *s = p;
    g_hash_table_destroy(s->contributions);
    g_free(s);
}

Dm *
dm_create(void)
{
    Dm *l = g_new0(Dm, 1);
    l->sums = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_sum);
    l->sources =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_source);
    l->changes = g_ptr_array_new();
    return l;
}

void
dm_destroy(Dm *l)
{
    g_ptr_array_free(l->changes, TRUE);
    g_hash_table_destroy(l->sources);
    g_hash_table_destroy(l->sums);
    g_free(l);
}

static void
mark_changed(Dm *l, Sum *r)
{
    if (!r->changed) {
        r->changed = true;
        g_ptr_array_add(l->changes, r);
    }
}

static Sum *
get_sum(Dm *l, SumKind kind, const char *upstream, const char *model,
        const char *adapter, const char *version)
{
    char key[MAX_KEY];
    snprintf(key, sizeof(key), "%d %s %s%s%s%s%s", kind,
             upstream ? upstream : "", model ? model : "", adapter ? "/" : "",
             adapter ? adapter : "", version ? " at " : "",
             version ? version : "");
    Sum *r = g_hash_table_lookup(l->sums, key);
    if (!r) {
        r = g_new0(Sum, 1);
        r->key = g_strdup(key);
        r->kind = kind;
        r->upstream = g_strdup(upstream);
        r->model = g_strdup(model);
        r->adapter = g_strdup(adapter);
        r->version = g_strdup(version);
        g_hash_table_insert(l->sums, r->key, r);
        mark_changed(l, r); /* freed by dm_collect if nothing contributes */
    }
    return r;
}

static void
change_levels(Dm *l, Source *s, Sum *r, Contribution *p,
              const uint32_t levels[LEVELS])
{
    if (r->kind == SUM_MODEL) {
        s->waiting += levels[0] - p->levels[0];
    }
    for (int i = 0; i < LEVELS; i++) {
        if (p->levels[i] != levels[i]) {
            r->levels[i] += levels[i] - p->levels[i];
            p->levels[i] = levels[i];
            mark_changed(l, r);
        }
    }
}

static bool
is_zero(const uint32_t levels[LEVELS])
{
    for (int i = 0; i < LEVELS; i++) {
        if (levels[i] > 0) {
            return false;
        }
    }
    return true;
}

static void
set_contribution(Dm *l, Source *s, Sum *r, const uint32_t levels[LEVELS])
{
    Contribution *p = g_hash_table_lookup(s->contributions, r);
    if (!p && is_zero(levels)) {
        return;
    }
    if (!p) {
        p = g_new0(Contribution, 1);
        g_hash_table_insert(s->contributions, r, p);
        r->contributions++;
    }
    p->update = s->update;
    change_levels(l, s, r, p, levels);
}

static void
remove_contribution(Dm *l, Source *s, Sum *r, Contribution *p)
{
    static const uint32_t none[LEVELS];
    change_levels(l, s, r, p, none);
    r->contributions--;
    mark_changed(l, r); /* freed by dm_collect if it was the last one */
}

/* Remove contributions that are zero, and after a snapshot (WHOLE) those that
   it left out. */
static void
sweep_contributions(Dm *l, Source *s, bool whole)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, s->contributions);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        Contribution *p = v;
        bool left_out = whole && p->update != s->update;
        if (left_out || is_zero(p->levels)) {
            remove_contribution(l, s, k, p);
            g_hash_table_iter_remove(&it);
        }
    }
}

static void
add_count(Dm *l, Sum *r, int index, uint32_t count)
{
    if (count > 0) {
        r->counts[index] += count;
        mark_changed(l, r);
    }
}

static Source *
get_source(Dm *l, const char *name)
{
    Source *s = g_hash_table_lookup(l->sources, name);
    if (!s) {
        s = g_new0(Source, 1);
        s->contributions =
            g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
        g_hash_table_insert(l->sources, g_strdup(name), s);
    }
    return s;
}

static bool
apply_model_demand(Dm *l, Source *s, const DmModelDemand *w)
{
    Sum *r = get_sum(l, SUM_MODEL, NULL, w->model, w->adapter, w->version);
    uint32_t before = r->levels[0];
    uint32_t levels[LEVELS] = {w->waiting, w->running, 0};
    set_contribution(l, s, r, levels);
    add_count(l, r, 0, w->arrived);
    add_count(l, r, 1, w->tight_deadline);
    add_count(l, r, 2, w->refused);
    return r->levels[0] > before;
}

static void
apply_use(Dm *l, Source *s, const DmUse *u)
{
    Sum *r = get_sum(l, SUM_USE, u->upstream, u->model, u->adapter, NULL);
    uint32_t levels[LEVELS] = {u->running, u->queued, u->slow};
    set_contribution(l, s, r, levels);
}

bool
dm_apply(Dm *l, uint64_t now_ms, const char *source, const DmDemand *d)
{
    Source *s = get_source(l, source);
    bool more_waiting = false;
    s->last_update_ms = now_ms;
    s->update++;
    for (guint i = 0; i < d->model_demands->len; i++) {
        more_waiting = apply_model_demand(l, s, d->model_demands->pdata[i]) ||
                       more_waiting;
    }
    for (guint i = 0; i < d->uses->len; i++) {
        apply_use(l, s, d->uses->pdata[i]);
    }
    for (guint i = 0; i < d->answer_starts->len; i++) {
        const DmAnswerStarts *b = d->answer_starts->pdata[i];
        add_count(l,
                  get_sum(l, SUM_ANSWER_STARTS, b->upstream, NULL, NULL, NULL),
                  0, b->count);
    }
    sweep_contributions(l, s, d->whole);
    return more_waiting;
}

static void
remove_contributions(Dm *l, Source *s)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, s->contributions);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        remove_contribution(l, s, k, v);
    }
}

void
dm_remove_source(Dm *l, const char *source)
{
    Source *s = g_hash_table_lookup(l->sources, source);
    if (s) {
        remove_contributions(l, s);
        g_hash_table_remove(l->sources, source);
    }
}

void
dm_expire_sources(Dm *l, uint64_t now_ms, uint32_t life_ms)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, l->sources);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Source *s = v;
        if (now_ms > s->last_update_ms + life_ms) {
            remove_contributions(l, s);
            g_hash_table_iter_remove(&it);
        }
    }
}

/* ---- collection --------------------------------------------------------- */

static void
report_sum(DmDemand *d, Sum *r)
{
    if (r->kind == SUM_MODEL) {
        DmModelDemand *w = dm_add_model_demand(d, r->model, r->adapter);
        w->version = g_strdup(r->version);
        w->waiting = r->levels[0];
        w->running = r->levels[1];
        w->arrived = r->counts[0];
        w->tight_deadline = r->counts[1];
        w->refused = r->counts[2];
    }
    else if (r->kind == SUM_USE) {
        DmUse *u = dm_add_use(d, r->upstream, r->model, r->adapter);
        u->running = r->levels[0];
        u->queued = r->levels[1];
        u->slow = r->levels[2];
    }
    else {
        dm_add_answer_starts(d, r->upstream, r->counts[0]);
    }
}

static bool
has_count(const Sum *r)
{
    for (int i = 0; i < COUNTS; i++) {
        if (r->counts[i] > 0) {
            return true;
        }
    }
    return false;
}

static bool
is_unreported(const Sum *r, bool whole)
{
    if (whole) {
        return !is_zero(r->levels) || has_count(r);
    }
    return memcmp(r->collected, r->levels, sizeof(r->collected)) != 0 ||
           has_count(r);
}

static void
collect_sum(Dm *l, DmDemand *d, Sum *r)
{
    if (is_unreported(r, d->whole)) {
        report_sum(d, r);
    }
    memcpy(r->collected, r->levels, sizeof(r->collected));
    memset(r->counts, 0, sizeof(r->counts));
    r->changed = false;
    if (r->contributions == 0) {
        g_hash_table_remove(l->sums, r->key);
    }
}

static void
mark_all_changed(Dm *l)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, l->sums);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        mark_changed(l, v);
    }
}

DmDemand *
dm_collect(Dm *l, bool whole)
{
    DmDemand *d = dm_create_demand(whole);
    if (whole) {
        mark_all_changed(l);
    }
    for (guint i = 0; i < l->changes->len; i++) {
        collect_sum(l, d, l->changes->pdata[i]);
    }
    g_ptr_array_set_size(l->changes, 0);
    return d;
}

bool
dm_has_waiting(const Dm *l, const char *source)
{
    const Source *s = g_hash_table_lookup(l->sources, source);
    return s && s->waiting > 0;
}

uint32_t
dm_count_sources(const Dm *l)
{
    return g_hash_table_size(l->sources);
}

uint32_t
dm_count_waiting(const Dm *l)
{
    uint32_t n = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, l->sources);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        n += ((Source *)v)->waiting;
    }
    return n;
}
