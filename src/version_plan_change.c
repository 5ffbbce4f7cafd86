#include "version_plan_internal.h"

#include <math.h>
#include <string.h>

/* Shares are moved between versions that both hold the model only if one has
   this many more or fewer than its part of the replicas. */
#define UNEVEN_SHARES 4.
/* Each change unsettles shares, and costs the store a record. */
#define MIN_CHANGE_MS 300
/* A former leader may confirm the former plan for so long after the store has
   the next one. */
#define FORMER_LEADER_MS 3000
#define SHARE_BITS 0xffffu

/* ---- what serves now ---------------------------------------------------- */

typedef struct {
    GHashTable *versions; /* name -> number of upstreams */
    GHashTable *models;   /* name -> (version -> number of replicas) */
    bool single;          /* it had one version for a stream's life */
} FleetService;

struct VpFleet {
    GHashTable *services; /* name -> FleetService */
};

static void
free_fleet_service(void *p)
{
    FleetService *s = p;
    g_hash_table_destroy(s->versions);
    g_hash_table_destroy(s->models);
    g_free(s);
}

static GHashTable *
create_counts(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

VpFleet *
vp_create_fleet(void)
{
    VpFleet *f = g_new0(VpFleet, 1);
    f->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                        free_fleet_service);
    return f;
}

void
vp_destroy_fleet(VpFleet *f)
{
    g_hash_table_destroy(f->services);
    g_free(f);
}

static FleetService *
get_fleet_service(VpFleet *f, const char *name)
{
    FleetService *s = g_hash_table_lookup(f->services, name);
    if (!s) {
        s = g_new0(FleetService, 1);
        s->versions = create_counts();
        s->models =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                  (GDestroyNotify)g_hash_table_destroy);
        g_hash_table_insert(f->services, g_strdup(name), s);
    }
    return s;
}

static void
add_count(GHashTable *counts, const char *key)
{
    guint n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, key));
    g_hash_table_replace(counts, g_strdup(key), GUINT_TO_POINTER(n + 1));
}

static guint
get_count(GHashTable *counts, const char *key)
{
    return counts ? GPOINTER_TO_UINT(g_hash_table_lookup(counts, key)) : 0;
}

void
vp_add_upstream(VpFleet *f, const char *service, const char *version)
{
    add_count(get_fleet_service(f, service)->versions, version);
}

void
vp_set_single(VpFleet *f, const char *service)
{
    get_fleet_service(f, service)->single = true;
}

void
vp_add_replica(VpFleet *f, const char *service, const char *version,
               const char *model)
{
    FleetService *s = get_fleet_service(f, service);
    GHashTable *counts = g_hash_table_lookup(s->models, model);
    if (!counts) {
        counts = create_counts();
        g_hash_table_insert(s->models, g_strdup(model), counts);
    }
    add_count(counts, version);
}

/* ---- changes, by the leader --------------------------------------------- */

/* A plan under construction: SERVICE of the next plan. */
typedef struct {
    const Vp *vp;
    uint64_t now_ms;
    VpService *service;
    const FleetService *fleet;
    bool changed;
} Change;

/* The version with the most upstreams; of several the first by name.  An
   empty name only if there is no other. */
static const char *
find_largest(GHashTable *counts)
{
    const char *best = "";
    g_autoptr(GPtrArray) names = vp_sort_keys(counts);
    for (guint i = 0; i < names->len; i++) {
        const char *name = names->pdata[i];
        if (!*best || get_count(counts, name) > get_count(counts, best)) {
            best = name;
        }
    }
    return best;
}

static void
list_version(Change *c, const char *name)
{
    VpVersion v = {g_strdup(name), c->now_ms};
    g_array_append_val(c->service->versions, v);
    c->changed = true;
}

/* An upstream that names no version may be of any. */
static bool
may_list(const Change *c, const char *name)
{
    return vp_find_version(c->service, name) < 0 && *name &&
           c->service->versions->len < VP_MAX_VERSIONS;
}

static void
list_versions(Change *c)
{
    g_autoptr(GPtrArray) names = vp_sort_keys(c->fleet->versions);
    for (guint i = 0; i < names->len; i++) {
        if (may_list(c, names->pdata[i])) {
            list_version(c, names->pdata[i]);
        }
    }
}

/* The plan with this version listed is in force long enough. */
static bool
may_use(const Change *c, guint version)
{
    uint64_t listed_ms = vp_get_version_at(c->service, version)->listed_ms;
    return c->now_ms >= listed_ms + VP_LIST_MS;
}

static void
move_share(Change *c, VpShares *x, int share, guint to)
{
    x->at[share] = (uint8_t)to;
    x->unsettled |= (uint16_t)(1u << share);
    c->changed = true;
}

/* How many more of X's shares each version has than its part of COUNTS. */
static void
compute_excess(const Change *c, const VpShares *x, GHashTable *counts,
               double excess[VP_MAX_VERSIONS])
{
    double all = 0;
    for (guint i = 0; i < c->service->versions->len; i++) {
        excess[i] = 0;
        all += may_use(c, i)
                   ? get_count(counts, vp_get_version_at(c->service, i)->name)
                   : 0;
    }
    for (int i = 0; i < VP_SHARES; i++) {
        excess[x->at[i]] += 1;
    }
    for (guint i = 0; all > 0 && i < c->service->versions->len; i++) {
        const char *name = vp_get_version_at(c->service, i)->name;
        excess[i] -=
            may_use(c, i) ? get_count(counts, name) / all * VP_SHARES : 0;
    }
}

static guint
find_lowest(const Change *c, GHashTable *counts,
            const double excess[VP_MAX_VERSIONS])
{
    guint best = VP_MAX_VERSIONS;
    for (guint i = 0; i < c->service->versions->len; i++) {
        bool serves =
            may_use(c, i) &&
            get_count(counts, vp_get_version_at(c->service, i)->name) > 0;
        if (serves && (best == VP_MAX_VERSIONS || excess[i] < excess[best])) {
            best = i;
        }
    }
    return best;
}

static bool
is_uneven(const Change *c, const double excess[VP_MAX_VERSIONS])
{
    for (guint i = 0; i < c->service->versions->len; i++) {
        if (fabs(excess[i]) >= UNEVEN_SHARES) {
            return true;
        }
    }
    return false;
}

/* Moves the shares of versions that hold no replica; EVEN: and, where the
   shares are uneven, as many as it takes to even them out. */
static void
move_shares(Change *c, VpShares *x, GHashTable *counts, bool even)
{
    double excess[VP_MAX_VERSIONS];
    compute_excess(c, x, counts, excess);
    bool uneven = even && is_uneven(c, excess);
    for (int i = 0; i < VP_SHARES; i++) {
        guint from = x->at[i];
        guint to = find_lowest(c, counts, excess);
        bool unheld =
            get_count(counts, vp_get_version_at(c->service, from)->name) == 0;
        if (to == VP_MAX_VERSIONS || to == from ||
            !(unheld || (uneven && excess[from] >= 1 && excess[to] <= -1))) {
            continue;
        }
        excess[from] -= 1;
        excess[to] += 1;
        move_share(c, x, i, to);
    }
}

static VpShares *
get_own_shares(Change *c, const char *model)
{
    VpShares *x = g_hash_table_lookup(c->service->models, model);
    if (!x) {
        x = g_memdup2(&c->service->rest, sizeof(*x));
        g_hash_table_insert(c->service->models, g_strdup(model), x);
    }
    return x;
}

static void
move_models(Change *c)
{
    g_autoptr(GPtrArray) models = vp_sort_keys(c->fleet->models);
    for (guint i = 0; i < models->len; i++) {
        const char *model = models->pdata[i];
        GHashTable *counts = g_hash_table_lookup(c->fleet->models, model);
        VpShares moved = *vp_get_shares(c->service, model);
        bool before = c->changed;
        c->changed = false;
        move_shares(c, &moved, counts, true);
        if (c->changed) {
            *get_own_shares(c, model) = moved;
        }
        c->changed = c->changed || before;
    }
}

static bool
may_be_unplanned(const Change *c)
{
    return vp_may_be_unplanned(c->vp, c->now_ms) && !c->fleet->single;
}

/* All streams that are under way are of the single version. */
static void
settle_single(Change *c, VpShares *x)
{
    c->changed = c->changed || x->unsettled;
    x->unsettled = 0;
}

static void
unsettle(Change *c, VpShares *x)
{
    c->changed = c->changed || x->unsettled != SHARE_BITS;
    x->unsettled = SHARE_BITS;
}

/* Streams that were begun without the plan may be of any version. */
static void
settle_unplanned(Change *c)
{
    bool settles = c->fleet->single && c->service->versions->len == 1;
    void (*act)(Change *, VpShares *) = may_be_unplanned(c) ? unsettle
                                        : settles           ? settle_single
                                                            : NULL;
    if (!act) {
        return;
    }
    act(c, &c->service->rest);
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->service->models);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        act(c, v);
    }
}

static bool
has_ended(const Change *c, uint64_t since_ms)
{
    uint64_t last_ms = MAX(since_ms, c->vp->missing_ms);
    return c->now_ms >=
           last_ms + FORMER_LEADER_MS + VP_BEGIN_AGE_MS + c->vp->life_ms;
}

static void
settle_shares(Change *c, VpShares *x)
{
    for (int i = 0; i < VP_SHARES; i++) {
        if (vp_is_share_unsettled(x, i) && has_ended(c, x->since_ms[i])) {
            x->unsettled &= (uint16_t) ~(1u << i);
            c->changed = true;
        }
    }
}

static void
settle(Change *c)
{
    settle_shares(c, &c->service->rest);
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->service->models);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        settle_shares(c, v);
    }
}

/* The same as those of the models without a row. */
static bool
is_like_rest(const VpShares *x, const VpShares *rest)
{
    return memcmp(x->at, rest->at, sizeof(x->at)) == 0 && !x->unsettled &&
           !rest->unsettled;
}

static void
drop_rows(Change *c)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->service->models);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (is_like_rest(v, &c->service->rest)) {
            g_hash_table_iter_remove(&it);
            c->changed = true;
        }
    }
}

static bool
is_used(const VpService *s, guint version)
{
    bool used = memchr(s->rest.at, (int)version, VP_SHARES) != NULL;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->models);
    while (!used && g_hash_table_iter_next(&it, NULL, &v)) {
        used = memchr(((VpShares *)v)->at, (int)version, VP_SHARES) != NULL;
    }
    return used;
}

static void
shift_shares(VpShares *x, guint removed)
{
    for (int i = 0; i < VP_SHARES; i++) {
        x->at[i] -= x->at[i] > removed;
    }
}

static void
remove_version(Change *c, guint version)
{
    VpService *s = c->service;
    g_array_remove_index(s->versions, version);
    shift_shares(&s->rest, version);
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->models);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        shift_shares(v, version);
    }
    c->changed = true;
}

/* A version of which no stream can be under way, and that nobody has. */
static void
remove_versions(Change *c)
{
    for (guint i = c->service->versions->len; i-- > 0;) {
        const char *name = vp_get_version_at(c->service, i)->name;
        if (get_count(c->fleet->versions, name) == 0 &&
            !is_used(c->service, i) && !vp_has_unsettled_share(c->service) &&
            c->service->versions->len > 1) {
            remove_version(c, i);
        }
    }
}

/* Models without a row keep their version while any upstream has it.  Those
   with replicas get rows before it moves. */
static void
move_rest(Change *c)
{
    VpShares moved = c->service->rest;
    bool before = c->changed;
    c->changed = false;
    move_shares(c, &moved, c->fleet->versions, false);
    if (c->changed) {
        g_autoptr(GPtrArray) models = vp_sort_keys(c->fleet->models);
        for (guint i = 0; i < models->len; i++) {
            get_own_shares(c, models->pdata[i]);
        }
        c->service->rest = moved;
    }
    c->changed = c->changed || before;
}

static bool
needs_no_change(const Change *c)
{
    const VpService *s = c->service;
    return vp_is_plain_service(s) &&
           g_hash_table_size(c->fleet->versions) == 1 &&
           get_count(c->fleet->versions, vp_get_version_at(s, 0)->name) > 0;
}

static void
change_service(Change *c)
{
    if (needs_no_change(c) && !may_be_unplanned(c)) {
        return;
    }
    list_versions(c);
    settle_unplanned(c);
    if (c->service->versions->len == 1) {
        settle(c);
        drop_rows(c);
        return;
    }
    settle(c);
    move_models(c);
    move_rest(c);
    drop_rows(c);
    remove_versions(c);
}

/* Where several versions are found at once, streams may be under way at each
   of them. */
static void
begin_service(Change *c, VpPlan *plan, const char *name)
{
    c->service = vp_create_service();
    g_hash_table_insert(plan->services, g_strdup(name), c->service);
    list_version(c, find_largest(c->fleet->versions));
    if (g_hash_table_size(c->fleet->versions) > 1 || may_be_unplanned(c)) {
        c->service->rest.unsettled = SHARE_BITS;
        list_versions(c);
    }
}

GBytes *
vp_propose(const Vp *p, uint64_t now_ms, const VpFleet *fleet)
{
    if (p->plan && now_ms < p->taken_ms + MIN_CHANGE_MS) {
        return NULL;
    }
    VpPlan *next = vp_copy_plan(p->plan);
    bool changed = false;
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, fleet->services);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        Change c = {p, now_ms, g_hash_table_lookup(next->services, k), v,
                    false};
        if (c.service) {
            change_service(&c);
        }
        else {
            begin_service(&c, next, k);
        }
        changed = changed || c.changed;
    }
    next->number++;
    GBytes *bytes = changed ? vp_encode_plan(next) : NULL;
    vp_destroy_plan(next);
    return bytes;
}
