#include "dm.h"

#include <stdio.h>
#include <string.h>

#define MAX_KEY 512 /* of a row; a longer name is cut */

/* ---- what is told ------------------------------------------------------- */

static void
free_want(void *p)
{
    DmModelDemand *w = p;
    g_free(w->model);
    g_free(w->adapter);
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
free_began(void *p)
{
    g_free(((DmBegan *)p)->upstream);
    g_free(p);
}

DmDemand *
dm_create_demand(bool whole)
{
    DmDemand *d = g_new0(DmDemand, 1);
    d->whole = whole;
    d->wants = g_ptr_array_new_with_free_func(free_want);
    d->uses = g_ptr_array_new_with_free_func(free_use);
    d->began = g_ptr_array_new_with_free_func(free_began);
    return d;
}

void
dm_destroy_demand(DmDemand *d)
{
    g_ptr_array_free(d->wants, TRUE);
    g_ptr_array_free(d->uses, TRUE);
    g_ptr_array_free(d->began, TRUE);
    g_free(d);
}

DmModelDemand *
dm_add_model_demand(DmDemand *d, const char *model, const char *adapter)
{
    DmModelDemand *w = g_new0(DmModelDemand, 1);
    w->model = g_strdup(model);
    w->adapter = g_strdup(adapter);
    g_ptr_array_add(d->wants, w);
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
dm_add_began(DmDemand *d, const char *upstream, uint32_t count)
{
    DmBegan *b = g_new0(DmBegan, 1);
    b->upstream = g_strdup(upstream);
    b->count = count;
    g_ptr_array_add(d->began, b);
}

/* ---- the ledger --------------------------------------------------------- */

typedef enum { ROW_MODEL, ROW_USE, ROW_BEGAN } RowKind;

/* Waiting and running; or running, queued and slow. */
#define LEVELS 3
#define FLOWS 3 /* arrived, hurried and refused; or began */

/* One sum. */
typedef struct {
    char *key;
    RowKind kind;
    char *upstream;
    char *model;
    char *adapter;
    uint32_t levels[LEVELS];
    uint32_t told[LEVELS];  /* as last collected */
    uint32_t flows[FLOWS];  /* since then */
    uint32_t contributions; /* sources that have a part in it */
    bool changed;           /* it is in the list of changes */
} Row;

/* What one source has in a sum. */
typedef struct {
    uint32_t levels[LEVELS];
    uint32_t update; /* the last word of the source that named it */
} Contribution;

typedef struct {
    GHashTable *contributions; /* Row -> Part */
    uint64_t last_update_ms;
    uint32_t update;
    uint32_t waiting; /* callers, of all its wants */
} Source;

struct Dm {
    GHashTable *rows;    /* key -> Row */
    GHashTable *sources; /* name -> Source */
    GPtrArray *changes;  /* Row */
};

static void
free_row(void *p)
{
    Row *r = p;
    g_free(r->key);
    g_free(r->upstream);
    g_free(r->model);
    g_free(r->adapter);
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
    l->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
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
    g_hash_table_destroy(l->rows);
    g_free(l);
}

static void
mark_changed(Dm *l, Row *r)
{
    if (!r->changed) {
        r->changed = true;
        g_ptr_array_add(l->changes, r);
    }
}

static Row *
get_row(Dm *l, RowKind kind, const char *upstream, const char *model,
        const char *adapter)
{
    char key[MAX_KEY];
    snprintf(key, sizeof(key), "%d %s %s%s%s", kind, upstream ? upstream : "",
             model ? model : "", adapter ? "/" : "", adapter ? adapter : "");
    Row *r = g_hash_table_lookup(l->rows, key);
    if (!r) {
        r = g_new0(Row, 1);
        r->key = g_strdup(key);
        r->kind = kind;
        r->upstream = g_strdup(upstream);
        r->model = g_strdup(model);
        r->adapter = g_strdup(adapter);
        g_hash_table_insert(l->rows, r->key, r);
        mark_changed(l, r); /* one that comes to nothing goes again */
    }
    return r;
}

static void
change_levels(Dm *l, Source *s, Row *r, Contribution *p,
              const uint32_t levels[LEVELS])
{
    if (r->kind == ROW_MODEL) {
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
set_contribution(Dm *l, Source *s, Row *r, const uint32_t levels[LEVELS])
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
remove_contribution(Dm *l, Source *s, Row *r, Contribution *p)
{
    static const uint32_t none[LEVELS];
    change_levels(l, s, r, p, none);
    r->contributions--;
    mark_changed(l, r); /* it may go */
}

/* Parts without a share go; if WHOLE also those that the last word left
   out. */
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
add_flow(Dm *l, Row *r, int flow, uint32_t count)
{
    if (count > 0) {
        r->flows[flow] += count;
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
    Row *r = get_row(l, ROW_MODEL, NULL, w->model, w->adapter);
    uint32_t before = r->levels[0];
    uint32_t levels[LEVELS] = {w->waiting, w->running, 0};
    set_contribution(l, s, r, levels);
    add_flow(l, r, 0, w->arrived);
    add_flow(l, r, 1, w->hurried);
    add_flow(l, r, 2, w->refused);
    return r->levels[0] > before;
}

static void
apply_use(Dm *l, Source *s, const DmUse *u)
{
    Row *r = get_row(l, ROW_USE, u->upstream, u->model, u->adapter);
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
    for (guint i = 0; i < d->wants->len; i++) {
        more_waiting =
            apply_model_demand(l, s, d->wants->pdata[i]) || more_waiting;
    }
    for (guint i = 0; i < d->uses->len; i++) {
        apply_use(l, s, d->uses->pdata[i]);
    }
    for (guint i = 0; i < d->began->len; i++) {
        const DmBegan *b = d->began->pdata[i];
        add_flow(l, get_row(l, ROW_BEGAN, b->upstream, NULL, NULL), 0,
                 b->count);
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

/* ---- sums that changed -------------------------------------------------- */

static void
add_row(DmDemand *d, Row *r)
{
    if (r->kind == ROW_MODEL) {
        DmModelDemand *w = dm_add_model_demand(d, r->model, r->adapter);
        w->waiting = r->levels[0];
        w->running = r->levels[1];
        w->arrived = r->flows[0];
        w->hurried = r->flows[1];
        w->refused = r->flows[2];
    }
    else if (r->kind == ROW_USE) {
        DmUse *u = dm_add_use(d, r->upstream, r->model, r->adapter);
        u->running = r->levels[0];
        u->queued = r->levels[1];
        u->slow = r->levels[2];
    }
    else {
        dm_add_began(d, r->upstream, r->flows[0]);
    }
}

static bool
has_flow(const Row *r)
{
    for (int i = 0; i < FLOWS; i++) {
        if (r->flows[i] > 0) {
            return true;
        }
    }
    return false;
}

static bool
has_update(const Row *r, bool whole)
{
    if (whole) {
        return !is_zero(r->levels) || has_flow(r);
    }
    return memcmp(r->told, r->levels, sizeof(r->told)) != 0 || has_flow(r);
}

static void
collect_row(Dm *l, DmDemand *d, Row *r)
{
    if (has_update(r, d->whole)) {
        add_row(d, r);
    }
    memcpy(r->told, r->levels, sizeof(r->told));
    memset(r->flows, 0, sizeof(r->flows));
    r->changed = false;
    if (r->contributions == 0) {
        g_hash_table_remove(l->rows, r->key);
    }
}

static void
list_all_rows(Dm *l)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, l->rows);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        mark_changed(l, v);
    }
}

DmDemand *
dm_collect(Dm *l, bool whole)
{
    DmDemand *d = dm_create_demand(whole);
    if (whole) {
        list_all_rows(l);
    }
    for (guint i = 0; i < l->changes->len; i++) {
        collect_row(l, d, l->changes->pdata[i]);
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
