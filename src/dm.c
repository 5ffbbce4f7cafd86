#include "dm.h"

#include <stdio.h>
#include <string.h>

#define MAX_KEY 512 /* of a row; a longer name is cut */

/* ---- what is told ------------------------------------------------------- */

static void
free_want(void *p)
{
    DmWant *w = p;
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

DmWant *
dm_add_want(DmDemand *d, const char *model, const char *adapter)
{
    DmWant *w = g_new0(DmWant, 1);
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

typedef enum { ROW_WANT, ROW_USE, ROW_BEGAN } RowKind;

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
    uint32_t told[LEVELS]; /* as last collected */
    uint32_t flows[FLOWS]; /* since then */
    uint32_t parts;        /* sources that have a part in it */
    bool changed;          /* it is in the list of changes */
} Row;

/* What one source has in a sum. */
typedef struct {
    uint32_t levels[LEVELS];
    uint32_t word; /* the last word of the source that named it */
} Part;

typedef struct {
    GHashTable *parts; /* Row -> Part */
    uint64_t said_ms;
    uint32_t word;
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
    g_hash_table_destroy(s->parts);
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
note_change(Dm *l, Row *r)
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
        note_change(l, r); /* one that comes to nothing goes again */
    }
    return r;
}

static void
change_levels(Dm *l, Source *s, Row *r, Part *p, const uint32_t levels[LEVELS])
{
    if (r->kind == ROW_WANT) {
        s->waiting += levels[0] - p->levels[0];
    }
    for (int i = 0; i < LEVELS; i++) {
        if (p->levels[i] != levels[i]) {
            r->levels[i] += levels[i] - p->levels[i];
            p->levels[i] = levels[i];
            note_change(l, r);
        }
    }
}

static bool
is_none(const uint32_t levels[LEVELS])
{
    for (int i = 0; i < LEVELS; i++) {
        if (levels[i] > 0) {
            return false;
        }
    }
    return true;
}

static void
set_part(Dm *l, Source *s, Row *r, const uint32_t levels[LEVELS])
{
    Part *p = g_hash_table_lookup(s->parts, r);
    if (!p && is_none(levels)) {
        return;
    }
    if (!p) {
        p = g_new0(Part, 1);
        g_hash_table_insert(s->parts, r, p);
        r->parts++;
    }
    p->word = s->word;
    change_levels(l, s, r, p, levels);
}

static void
drop_part(Dm *l, Source *s, Row *r, Part *p)
{
    static const uint32_t none[LEVELS];
    change_levels(l, s, r, p, none);
    r->parts--;
    note_change(l, r); /* it may go */
}

/* Parts without a share go; if WHOLE also those that the last word left
   out. */
static void
sweep_parts(Dm *l, Source *s, bool whole)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, s->parts);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        Part *p = v;
        bool left_out = whole && p->word != s->word;
        if (left_out || is_none(p->levels)) {
            drop_part(l, s, k, p);
            g_hash_table_iter_remove(&it);
        }
    }
}

static void
add_flow(Dm *l, Row *r, int flow, uint32_t count)
{
    if (count > 0) {
        r->flows[flow] += count;
        note_change(l, r);
    }
}

static Source *
get_source(Dm *l, const char *name)
{
    Source *s = g_hash_table_lookup(l->sources, name);
    if (!s) {
        s = g_new0(Source, 1);
        s->parts =
            g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
        g_hash_table_insert(l->sources, g_strdup(name), s);
    }
    return s;
}

static bool
take_want(Dm *l, Source *s, const DmWant *w)
{
    Row *r = get_row(l, ROW_WANT, NULL, w->model, w->adapter);
    uint32_t before = r->levels[0];
    uint32_t levels[LEVELS] = {w->waiting, w->running, 0};
    set_part(l, s, r, levels);
    add_flow(l, r, 0, w->arrived);
    add_flow(l, r, 1, w->hurried);
    add_flow(l, r, 2, w->refused);
    return r->levels[0] > before;
}

static void
take_use(Dm *l, Source *s, const DmUse *u)
{
    Row *r = get_row(l, ROW_USE, u->upstream, u->model, u->adapter);
    uint32_t levels[LEVELS] = {u->running, u->queued, u->slow};
    set_part(l, s, r, levels);
}

bool
dm_take(Dm *l, uint64_t now_ms, const char *source, const DmDemand *d)
{
    Source *s = get_source(l, source);
    bool more_wait = false;
    s->said_ms = now_ms;
    s->word++;
    for (guint i = 0; i < d->wants->len; i++) {
        more_wait = take_want(l, s, d->wants->pdata[i]) || more_wait;
    }
    for (guint i = 0; i < d->uses->len; i++) {
        take_use(l, s, d->uses->pdata[i]);
    }
    for (guint i = 0; i < d->began->len; i++) {
        const DmBegan *b = d->began->pdata[i];
        add_flow(l, get_row(l, ROW_BEGAN, b->upstream, NULL, NULL), 0,
                 b->count);
    }
    sweep_parts(l, s, d->whole);
    return more_wait;
}

static void
drop_parts(Dm *l, Source *s)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, s->parts);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        drop_part(l, s, k, v);
    }
}

void
dm_drop(Dm *l, const char *source)
{
    Source *s = g_hash_table_lookup(l->sources, source);
    if (s) {
        drop_parts(l, s);
        g_hash_table_remove(l->sources, source);
    }
}

void
dm_drop_silent(Dm *l, uint64_t now_ms, uint32_t life_ms)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, l->sources);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Source *s = v;
        if (now_ms > s->said_ms + life_ms) {
            drop_parts(l, s);
            g_hash_table_iter_remove(&it);
        }
    }
}

/* ---- sums that changed -------------------------------------------------- */

static void
tell_row(DmDemand *d, Row *r)
{
    if (r->kind == ROW_WANT) {
        DmWant *w = dm_add_want(d, r->model, r->adapter);
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
is_news(const Row *r, bool whole)
{
    if (whole) {
        return !is_none(r->levels) || has_flow(r);
    }
    return memcmp(r->told, r->levels, sizeof(r->told)) != 0 || has_flow(r);
}

static void
collect_row(Dm *l, DmDemand *d, Row *r)
{
    if (is_news(r, d->whole)) {
        tell_row(d, r);
    }
    memcpy(r->told, r->levels, sizeof(r->told));
    memset(r->flows, 0, sizeof(r->flows));
    r->changed = false;
    if (r->parts == 0) {
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
        note_change(l, v);
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
dm_waits(const Dm *l, const char *source)
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
