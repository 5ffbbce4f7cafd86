/* What upstreams hold is published as changes of single models.  Each change
   carries the whole new state of its model, so receiving it twice does no
   harm.  A digest of all models of the upstream shows a gateway that it missed
   a change; it then requests all of them. */
#include "gateway_node.h"

#include <string.h>

void
gn_fill_residents(const GPtrArray *models, GPtrArray *out)
{
    for (guint i = 0; i < models->len; i++) {
        const DepResident *r = models->pdata[i];
        Gwp__Resident *x = g_new0(Gwp__Resident, 1);
        gwp__resident__init(x);
        x->model = r->name;
        x->n_adapters = r->adapters->len;
        x->adapters = (char **)r->adapters->pdata;
        g_ptr_array_add(out, x);
    }
}

static void
add_resident(DepUpstream *u, const Gwp__Resident *r)
{
    DepResident *d = dep_add_resident(u, r->model);
    for (size_t i = 0; i < r->n_adapters; i++) {
        g_ptr_array_add(d->adapters, g_strdup(r->adapters[i]));
    }
}

GPtrArray *
gn_read_residents(size_t n, Gwp__Resident *const *residents)
{
    DepUpstream *u = dep_create_upstream();
    for (size_t i = 0; i < n; i++) {
        add_resident(u, residents[i]);
    }
    return dep_take_residents(u);
}

/* ---- comparing ---------------------------------------------------------- */

/* The same for any order of the adapters. */
static uint32_t
digest_resident(const DepResident *r)
{
    uint32_t sum = g_str_hash(r->name);
    for (guint i = 0; i < r->adapters->len; i++) {
        sum += g_str_hash(r->adapters->pdata[i]);
    }
    return sum * g_str_hash(r->name);
}

static uint32_t
digest_models(const GPtrArray *models)
{
    uint32_t sum = 0;
    for (guint i = 0; i < models->len; i++) {
        sum += digest_resident(models->pdata[i]);
    }
    return sum;
}

/* Models of A that B lacks or that differ there. */
static void
add_changed(const GPtrArray *a, const GPtrArray *b, GHashTable *names)
{
    for (guint i = 0; i < a->len; i++) {
        const DepResident *x = a->pdata[i];
        const DepResident *y = dep_find_resident(b, x->name);
        if (!y || digest_resident(x) != digest_resident(y)) {
            g_hash_table_add(names, g_strdup(x->name));
        }
    }
}

static GHashTable *
create_names(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

/* ---- sending ------------------------------------------------------------ */

typedef enum { TO_URGENT, TO_ALL, TO_ONE } Audience;

static void
send_frame(Gateway *g, Audience to, LkPeer *one, Gwp__Placement *m)
{
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_PLACEMENT;
    f.placement = m;
    if (to == TO_URGENT) {
        lk_send_urgent(g->links, &f);
    }
    else {
        lk_send_down(g->links, to == TO_ONE ? one : NULL, &f);
    }
}

/* Those of MODELS that are among NAMES; all if NAMES is empty. */
static GPtrArray *
choose_models(const GPtrArray *models, GHashTable *names)
{
    GPtrArray *chosen = g_ptr_array_new();
    bool all = g_hash_table_size(names) == 0;
    for (guint i = 0; i < models->len; i++) {
        DepResident *r = models->pdata[i];
        if (all || g_hash_table_contains(names, r->name)) {
            g_ptr_array_add(chosen, r);
        }
    }
    return chosen;
}

/* Those of NAMES that are not among MODELS, borrowed. */
static GPtrArray *
list_dropped(const GPtrArray *models, GHashTable *names)
{
    GPtrArray *dropped = g_ptr_array_new();
    GHashTableIter it;
    gpointer name;
    g_hash_table_iter_init(&it, names);
    while (g_hash_table_iter_next(&it, &name, NULL)) {
        if (!dep_find_resident(models, name)) {
            g_ptr_array_add(dropped, name);
        }
    }
    return dropped;
}

/* NAMES: of models that changed; all are sent if it is empty. */
static void
send_placement(Gateway *g, Audience to, LkPeer *one, const char *upstream,
               const GPtrArray *models, GHashTable *names)
{
    g_autoptr(GPtrArray) chosen = choose_models(models, names);
    g_autoptr(GPtrArray) dropped = list_dropped(models, names);
    g_autoptr(GPtrArray) rows = g_ptr_array_new_with_free_func(g_free);
    gn_fill_residents(chosen, rows);
    Gwp__Placement m = GWP__PLACEMENT__INIT;
    m.upstream = (char *)upstream;
    m.n_residents = rows->len;
    m.residents = (Gwp__Resident **)rows->pdata;
    m.n_dropped = dropped->len;
    m.dropped = (char **)dropped->pdata;
    m.whole = g_hash_table_size(names) == 0;
    m.digest = digest_models(models);
    send_frame(g, to, one, &m);
}

/* An empty set stands for all models, and a change adds nothing to that. */
static void
note_unpublished(Gateway *g, const char *upstream, GHashTable *names)
{
    GHashTable *known = g_hash_table_lookup(g->unpublished, upstream);
    if (known && g_hash_table_size(known) == 0) {
        return;
    }
    if (!known || g_hash_table_size(names) == 0) {
        known = create_names();
        g_hash_table_replace(g->unpublished, g_strdup(upstream), known);
    }
    GHashTableIter it;
    gpointer name;
    g_hash_table_iter_init(&it, names);
    while (g_hash_table_iter_next(&it, &name, NULL)) {
        g_hash_table_add(known, g_strdup(name));
    }
}

void
gn_set_placement(Gateway *g, const char *upstream, GPtrArray *models)
{
    const GPtrArray *before = ut_get_placement(g->upstreams, upstream);
    g_autoptr(GHashTable) names = create_names();
    if (before) {
        add_changed(before, models, names);
        add_changed(models, before, names);
    }
    bool same = before && g_hash_table_size(names) == 0 &&
                !ut_is_reported_unreachable(g->upstreams, upstream);
    if (!same && lk_count_peers(g->links) > 0) {
        send_placement(g, TO_URGENT, NULL, upstream, models, names);
        note_unpublished(g, upstream, names);
    }
    ut_on_placement(g->upstreams, bg_boot_ms(), upstream, models);
    gw_on_change(g->gw);
}

void
gn_publish_placements(Gateway *g)
{
    GHashTableIter it;
    gpointer upstream;
    gpointer names;
    g_hash_table_iter_init(&it, g->unpublished);
    while (g_hash_table_iter_next(&it, &upstream, &names)) {
        const GPtrArray *models = ut_get_placement(g->upstreams, upstream);
        if (models) {
            send_placement(g, TO_ALL, NULL, upstream, models, names);
        }
    }
    g_hash_table_remove_all(g->unpublished);
}

void
gn_resend_placement(Gateway *g, LkPeer *to, const char *upstream)
{
    const GPtrArray *models = ut_get_placement(g->upstreams, upstream);
    if (models) {
        g_autoptr(GHashTable) all = create_names();
        send_placement(g, TO_ONE, to, upstream, models, all);
    }
}

/* ---- receiving ---------------------------------------------------------- */

static bool
is_in_update(const Gwp__Placement *p, const char *model)
{
    for (size_t i = 0; i < p->n_residents; i++) {
        if (strcmp(p->residents[i]->model, model) == 0) {
            return true;
        }
    }
    for (size_t i = 0; i < p->n_dropped; i++) {
        if (strcmp(p->dropped[i], model) == 0) {
            return true;
        }
    }
    return false;
}

static GPtrArray *
apply_changes(const GPtrArray *before, const Gwp__Placement *p)
{
    DepUpstream *u = dep_create_upstream();
    for (guint i = 0; before && i < before->len; i++) {
        const DepResident *r = before->pdata[i];
        if (!is_in_update(p, r->name)) {
            dep_copy_names(dep_add_resident(u, r->name)->adapters,
                           r->adapters);
        }
    }
    for (size_t i = 0; i < p->n_residents; i++) {
        add_resident(u, p->residents[i]);
    }
    return dep_take_residents(u);
}

static void
request_all(Gateway *g, const char *upstream)
{
    Gwp__PlacementWanted w = GWP__PLACEMENT_WANTED__INIT;
    w.upstream = (char *)upstream;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_PLACEMENT_WANTED;
    f.placement_wanted = &w;
    lk_send_up(g->links, &f);
}

void
gn_take_placement(Gateway *g, const Gwp__Placement *p)
{
    if (!ut_knows(g->upstreams, p->upstream)) {
        return; /* its entry will bring all that it holds */
    }
    const GPtrArray *before =
        p->whole ? NULL : ut_get_placement(g->upstreams, p->upstream);
    GPtrArray *models = apply_changes(before, p);
    if (digest_models(models) != p->digest) {
        g_ptr_array_free(models, TRUE);
        request_all(g, p->upstream);
        return;
    }
    gn_set_placement(g, p->upstream, models);
}
