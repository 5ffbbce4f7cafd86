#include "version_plan.h"

#include "gateway.pb-c.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Versions of one service beyond this are not listed; none of its streams
   begins there. */
#define MAX_VERSIONS 64
/* Shares are moved between versions that both hold the model only if one has
   this many more or fewer than its part of the replicas. */
#define UNEVEN_SHARES 4.
/* Each change unsettles shares, and costs the store a record. */
#define MIN_CHANGE_MS 300
/* A former leader may confirm the former plan for so long after the store has
   the next one. */
#define FORMER_LEADER_MS 3000
#define SHARE_BITS 0xffffu

typedef struct {
    uint8_t at[VP_SHARES]; /* index of its version */
    uint16_t unsettled;    /* a bit for each share */
    /* The plan gives it that version, here, since then. */
    uint64_t since_ms[VP_SHARES];
} Shares;

typedef struct {
    char *name;
    uint64_t listed_ms; /* here */
} Version;

typedef struct {
    GArray *versions;   /* Version */
    Shares rest;        /* of the models that aren't in MODELS */
    GHashTable *models; /* name -> Shares */
} Service;

typedef struct {
    uint64_t number;
    GHashTable *services; /* name -> Service */
} Plan;

struct Vp {
    Plan *plan;      /* NULL: none is known */
    bool none;       /* the store had none when it was last read */
    uint64_t newest; /* the highest number heard of */
    uint64_t taken_ms;
    uint64_t read_ms;      /* it was the store's newest then; 0: never */
    uint64_t heartbeat_ms; /* ... the leader's; 0: never */
    uint32_t life_ms;
};

/* ---- memory ------------------------------------------------------------- */

static void
clear_version(void *p)
{
    g_free(((Version *)p)->name);
}

static void
free_service(void *p)
{
    Service *s = p;
    g_array_free(s->versions, TRUE);
    g_hash_table_destroy(s->models);
    g_free(s);
}

static Service *
create_service(void)
{
    Service *s = g_new0(Service, 1);
    s->versions = g_array_new(FALSE, FALSE, sizeof(Version));
    g_array_set_clear_func(s->versions, clear_version);
    s->models = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return s;
}

static Plan *
create_plan(uint64_t number)
{
    Plan *p = g_new0(Plan, 1);
    p->number = number;
    p->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_service);
    return p;
}

static void
destroy_plan(Plan *p)
{
    if (p) {
        g_hash_table_destroy(p->services);
        g_free(p);
    }
}

static Service *
copy_service(const Service *of)
{
    Service *s = create_service();
    for (guint i = 0; i < of->versions->len; i++) {
        Version v = g_array_index(of->versions, Version, i);
        v.name = g_strdup(v.name);
        g_array_append_val(s->versions, v);
    }
    s->rest = of->rest;
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, of->models);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        g_hash_table_insert(s->models, g_strdup(k),
                            g_memdup2(v, sizeof(Shares)));
    }
    return s;
}

static Plan *
copy_plan(const Plan *of)
{
    Plan *p = create_plan(of ? of->number : 0);
    if (!of) {
        return p;
    }
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, of->services);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        g_hash_table_insert(p->services, g_strdup(k), copy_service(v));
    }
    return p;
}

Vp *
vp_create(void)
{
    Vp *p = g_new0(Vp, 1);
    p->life_ms = VP_DEFAULT_LIFE_MS;
    return p;
}

void
vp_destroy(Vp *p)
{
    destroy_plan(p->plan);
    g_free(p);
}

void
vp_set_life(Vp *p, uint32_t life_ms)
{
    p->life_ms = life_ms ? life_ms : VP_DEFAULT_LIFE_MS;
}

/* ---- encoding ----------------------------------------------------------- */

static const Version *
get_version(const Service *s, guint i)
{
    return &g_array_index(s->versions, Version, i);
}

static int
find_version(const Service *s, const char *name)
{
    for (guint i = 0; i < s->versions->len; i++) {
        if (strcmp(get_version(s, i)->name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static Gwp__VersionShares *
encode_shares(const char *model, const Shares *x)
{
    Gwp__VersionShares *m = g_new0(Gwp__VersionShares, 1);
    gwp__version_shares__init(m);
    m->model = (char *)model;
    m->at.data = (uint8_t *)x->at;
    m->at.len = VP_SHARES;
    m->unsettled = x->unsettled;
    return m;
}

/* Rows of a plan that is being encoded, freed together. */
typedef struct {
    GPtrArray *services; /* Gwp__ServiceVersions */
    GPtrArray *lists;    /* GPtrArray: of names, and of Gwp__VersionShares */
} Rows;

static void
free_list(void *p)
{
    g_ptr_array_free(p, TRUE);
}

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Sorted, so that equal plans have equal bytes. */
static GPtrArray *
sort_keys(GHashTable *table)
{
    GPtrArray *keys = g_ptr_array_new();
    GHashTableIter it;
    gpointer k;
    g_hash_table_iter_init(&it, table);
    while (g_hash_table_iter_next(&it, &k, NULL)) {
        g_ptr_array_add(keys, k);
    }
    g_ptr_array_sort(keys, compare_names);
    return keys;
}

static void
encode_service(Rows *rows, const char *name, const Service *s)
{
    Gwp__ServiceVersions *m = g_new0(Gwp__ServiceVersions, 1);
    gwp__service_versions__init(m);
    m->service = (char *)name;
    GPtrArray *names = g_ptr_array_new();
    for (guint i = 0; i < s->versions->len; i++) {
        g_ptr_array_add(names, get_version(s, i)->name);
    }
    GPtrArray *shares = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(shares, encode_shares("", &s->rest));
    g_autoptr(GPtrArray) models = sort_keys(s->models);
    for (guint i = 0; i < models->len; i++) {
        const char *model = models->pdata[i];
        g_ptr_array_add(shares, encode_shares(model, g_hash_table_lookup(
                                                         s->models, model)));
    }
    m->n_versions = names->len;
    m->versions = (char **)names->pdata;
    m->n_shares = shares->len;
    m->shares = (Gwp__VersionShares **)shares->pdata;
    g_ptr_array_add(rows->lists, names);
    g_ptr_array_add(rows->lists, shares);
    g_ptr_array_add(rows->services, m);
}

static GBytes *
encode_plan(const Plan *p)
{
    Rows rows = {g_ptr_array_new_with_free_func(g_free),
                 g_ptr_array_new_with_free_func(free_list)};
    g_autoptr(GPtrArray) names = sort_keys(p->services);
    for (guint i = 0; i < names->len; i++) {
        const char *name = names->pdata[i];
        encode_service(&rows, name, g_hash_table_lookup(p->services, name));
    }
    Gwp__VersionPlan m = GWP__VERSION_PLAN__INIT;
    m.number = p->number;
    m.n_services = rows.services->len;
    m.services = (Gwp__ServiceVersions **)rows.services->pdata;
    size_t len = gwp__version_plan__get_packed_size(&m);
    uint8_t *data = g_malloc(len + 1);
    gwp__version_plan__pack(&m, data);
    g_ptr_array_free(rows.services, TRUE);
    g_ptr_array_free(rows.lists, TRUE);
    return g_bytes_new_take(data, len);
}

/* False: it names a version that isn't listed. */
static bool
decode_shares(Service *s, const Gwp__VersionShares *m)
{
    Shares x = {.unsettled = (uint16_t)m->unsettled};
    if (m->at.len != VP_SHARES) {
        return false;
    }
    memcpy(x.at, m->at.data, VP_SHARES);
    for (int i = 0; i < VP_SHARES; i++) {
        if (x.at[i] >= s->versions->len) {
            return false;
        }
    }
    if (*m->model) {
        g_hash_table_replace(s->models, g_strdup(m->model),
                             g_memdup2(&x, sizeof(x)));
    }
    else {
        s->rest = x;
    }
    return true;
}

static bool
decode_service(Plan *p, const Gwp__ServiceVersions *m)
{
    Service *s = create_service();
    for (size_t i = 0; i < m->n_versions; i++) {
        Version v = {.name = g_strdup(m->versions[i])};
        g_array_append_val(s->versions, v);
    }
    g_hash_table_replace(p->services, g_strdup(m->service), s);
    bool good = m->n_versions > 0 && m->n_versions <= MAX_VERSIONS;
    for (size_t i = 0; good && i < m->n_shares; i++) {
        good = decode_shares(s, m->shares[i]);
    }
    return good;
}

static Plan *
decode_plan(const void *data, size_t len)
{
    Gwp__VersionPlan *m = gwp__version_plan__unpack(NULL, len, data);
    if (!m) {
        return NULL;
    }
    Plan *p = create_plan(m->number);
    bool good = m->number > 0;
    for (size_t i = 0; good && i < m->n_services; i++) {
        good = decode_service(p, m->services[i]);
    }
    gwp__version_plan__free_unpacked(m, NULL);
    if (!good) {
        destroy_plan(p);
        return NULL;
    }
    return p;
}

uint64_t
vp_read_number(const void *data, size_t len)
{
    Plan *p = decode_plan(data, len);
    uint64_t number = p ? p->number : 0;
    destroy_plan(p);
    return number;
}

/* ---- the plan, as known here -------------------------------------------- */

static const Shares *
get_shares(const Service *s, const char *model)
{
    const Shares *x = model ? g_hash_table_lookup(s->models, model) : NULL;
    return x ? x : &s->rest;
}

static bool
is_unsettled(const Shares *x, int share)
{
    return x->unsettled >> share & 1;
}

static const char *
get_name(const Service *s, const Shares *x, int share)
{
    return get_version(s, x->at[share])->name;
}

/* When each share of X, in S, came into force: NOW_MS for those that FORMER
   doesn't have like that. */
static void
date_shares(const Service *s, Shares *x, const Service *former,
            const char *model, uint64_t now_ms)
{
    const Shares *y = former ? get_shares(former, model) : NULL;
    for (int i = 0; i < VP_SHARES; i++) {
        bool same = y &&
                    strcmp(get_name(s, x, i), get_name(former, y, i)) == 0 &&
                    (is_unsettled(y, i) || !is_unsettled(x, i));
        x->since_ms[i] = same ? y->since_ms[i] : now_ms;
    }
}

static void
date_service(Service *s, const Service *former, uint64_t now_ms)
{
    for (guint i = 0; i < s->versions->len; i++) {
        Version *v = &g_array_index(s->versions, Version, i);
        int k = former ? find_version(former, v->name) : -1;
        v->listed_ms =
            k >= 0 ? get_version(former, (guint)k)->listed_ms : now_ms;
    }
    date_shares(s, &s->rest, former, NULL, now_ms);
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, s->models);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        date_shares(s, v, former, k, now_ms);
    }
}

static const Service *
find_service(const Plan *p, const char *service)
{
    return p ? g_hash_table_lookup(p->services, service) : NULL;
}

bool
vp_take(Vp *p, uint64_t now_ms, const void *data, size_t len)
{
    Plan *plan = decode_plan(data, len);
    if (!plan) {
        bg_log(BG_WARN, "versions", "ignored a plan that can't be read");
        return false;
    }
    if (p->plan && plan->number <= p->plan->number) {
        destroy_plan(plan);
        return false;
    }
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, plan->services);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        date_service(v, find_service(p->plan, k), now_ms);
    }
    destroy_plan(p->plan);
    p->plan = plan;
    p->none = false;
    p->newest = MAX(p->newest, plan->number);
    p->taken_ms = now_ms;
    return true;
}

void
vp_on_none(Vp *p, uint64_t asked_ms)
{
    if (!p->plan) {
        p->none = true;
        p->read_ms = MAX(p->read_ms, asked_ms);
    }
}

void
vp_on_read(Vp *p, uint64_t number, uint64_t asked_ms)
{
    p->newest = MAX(p->newest, number);
    if (p->plan && p->plan->number >= number) {
        p->read_ms = MAX(p->read_ms, asked_ms);
    }
}

void
vp_on_heartbeat(Vp *p, uint64_t number, uint64_t sent_ms)
{
    p->newest = MAX(p->newest, number);
    if (p->plan && p->plan->number == number) {
        p->heartbeat_ms = MAX(p->heartbeat_ms, sent_ms);
    }
}

bool
vp_is_behind(const Vp *p)
{
    return p->newest > vp_get_number(p);
}

uint64_t
vp_get_number(const Vp *p)
{
    return p->plan ? p->plan->number : 0;
}

GBytes *
vp_encode(const Vp *p)
{
    return p->plan ? encode_plan(p->plan) : NULL;
}

static bool
has_unsettled(const Service *s)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->models);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (((const Shares *)v)->unsettled) {
            return true;
        }
    }
    return s->rest.unsettled != 0;
}

bool
vp_is_settled(const Vp *p)
{
    if (!p->plan) {
        return false;
    }
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, p->plan->services);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (has_unsettled(v)) {
            return false;
        }
    }
    return true;
}

static bool
is_plain(const Service *s)
{
    return s->versions->len == 1 && g_hash_table_size(s->models) == 0 &&
           !s->rest.unsettled;
}

bool
vp_has_only(const Vp *p, const char *service, const char *version)
{
    const Service *s = find_service(p->plan, service);
    return s && is_plain(s) && strcmp(get_version(s, 0)->name, version) == 0;
}

bool
vp_is_mixed(const Vp *p, const char *service)
{
    const Service *s = find_service(p->plan, service);
    return s && s->versions->len > 1;
}

static void
print_shares(const Service *s, const char *model, const Shares *x,
             GString *out)
{
    g_string_append_printf(out, "  %s", model);
    for (int i = 0; i < VP_SHARES; i++) {
        g_string_append_printf(out, " %s%s", get_name(s, x, i),
                               is_unsettled(x, i) ? "?" : "");
    }
    g_string_append_c(out, '\n');
}

void
vp_print(const Vp *p, GString *out)
{
    g_string_append_printf(out, "plan %llu\n",
                           (unsigned long long)vp_get_number(p));
    g_autoptr(GPtrArray) names = p->plan ? sort_keys(p->plan->services) : NULL;
    for (guint i = 0; names && i < names->len; i++) {
        const Service *s = find_service(p->plan, names->pdata[i]);
        g_string_append_printf(out, "%s\n", (char *)names->pdata[i]);
        print_shares(s, "(others)", &s->rest, out);
        g_autoptr(GPtrArray) models = sort_keys(s->models);
        for (guint k = 0; k < models->len; k++) {
            print_shares(s, models->pdata[k], get_shares(s, models->pdata[k]),
                         out);
        }
    }
}

/* ---- streams ------------------------------------------------------------ */

static uint64_t
digest_attempt(const char *attempt)
{
    return XXH64(attempt, strlen(attempt), 0);
}

static int
get_share(const char *attempt)
{
    return (int)(digest_attempt(attempt) % VP_SHARES);
}

uint64_t
vp_draw(const char *attempt)
{
    return digest_attempt(attempt) / VP_SHARES;
}

bool
vp_is_unsettled(const Vp *p, const char *service, const char *model,
                const char *attempt)
{
    const Service *s = find_service(p->plan, service);
    return s && is_unsettled(get_shares(s, model), get_share(attempt));
}

uint32_t
vp_get_life_ms(const Vp *p)
{
    return p->life_ms;
}

static bool
is_recent(uint64_t then_ms, uint64_t now_ms, uint64_t age_ms)
{
    return then_ms && now_ms <= then_ms + age_ms;
}

VpAnswer
vp_begin(const Vp *p, uint64_t now_ms, const char *service, const char *model,
         const char *attempt, const char **version)
{
    const Service *s = find_service(p->plan, service);
    if (!s) {
        return p->plan || p->none ? VP_UNPLANNED : VP_ASK;
    }
    uint64_t confirmed_ms = MAX(p->read_ms, p->heartbeat_ms);
    if (s->versions->len > 1 &&
        !is_recent(confirmed_ms, now_ms, VP_BEGIN_AGE_MS)) {
        return VP_ASK;
    }
    *version = get_name(s, get_shares(s, model), get_share(attempt));
    return VP_AT;
}

static bool
may_resume(const Vp *p, const Service *s, uint64_t now_ms, uint64_t came_ms)
{
    bool one = s && s->versions->len == 1;
    return (p->read_ms && p->read_ms >= came_ms) ||
           (one && is_recent(p->heartbeat_ms, now_ms, VP_RESUME_AGE_MS));
}

VpAnswer
vp_resume(const Vp *p, uint64_t now_ms, uint64_t came_ms, const char *service,
          const char *model, const char *attempt, const char **version)
{
    const Service *s = find_service(p->plan, service);
    if (vp_is_behind(p) || !may_resume(p, s, now_ms, came_ms)) {
        return VP_ASK;
    }
    if (!s) {
        return VP_UNPLANNED;
    }
    int share = get_share(attempt);
    const Shares *x = get_shares(s, model);
    if (is_unsettled(x, share)) {
        return VP_UNSETTLED;
    }
    *version = get_name(s, x, share);
    return VP_AT;
}

/* ---- what serves now ---------------------------------------------------- */

typedef struct {
    GHashTable *versions; /* name -> number of upstreams */
    GHashTable *models;   /* name -> (version -> number of replicas) */
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
    Service *service;
    const FleetService *fleet;
    bool changed;
} Change;

/* The version with the most upstreams; of several the first by name.  An
   empty name only if there is no other. */
static const char *
find_largest(GHashTable *counts)
{
    const char *best = "";
    g_autoptr(GPtrArray) names = sort_keys(counts);
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
    Version v = {g_strdup(name), c->now_ms};
    g_array_append_val(c->service->versions, v);
    c->changed = true;
}

/* An upstream that names no version may be of any. */
static bool
may_list(const Change *c, const char *name)
{
    return find_version(c->service, name) < 0 && *name &&
           c->service->versions->len < MAX_VERSIONS;
}

static void
list_versions(Change *c)
{
    g_autoptr(GPtrArray) names = sort_keys(c->fleet->versions);
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
    uint64_t listed_ms = get_version(c->service, version)->listed_ms;
    return c->now_ms >= listed_ms + VP_LIST_MS;
}

static void
move_share(Change *c, Shares *x, int share, guint to)
{
    x->at[share] = (uint8_t)to;
    x->unsettled |= (uint16_t)(1u << share);
    c->changed = true;
}

/* How many more of X's shares each version has than its part of COUNTS. */
static void
compute_excess(const Change *c, const Shares *x, GHashTable *counts,
               double excess[MAX_VERSIONS])
{
    double all = 0;
    for (guint i = 0; i < c->service->versions->len; i++) {
        excess[i] = 0;
        all += may_use(c, i)
                   ? get_count(counts, get_version(c->service, i)->name)
                   : 0;
    }
    for (int i = 0; i < VP_SHARES; i++) {
        excess[x->at[i]] += 1;
    }
    for (guint i = 0; all > 0 && i < c->service->versions->len; i++) {
        const char *name = get_version(c->service, i)->name;
        excess[i] -=
            may_use(c, i) ? get_count(counts, name) / all * VP_SHARES : 0;
    }
}

static guint
find_lowest(const Change *c, GHashTable *counts,
            const double excess[MAX_VERSIONS])
{
    guint best = MAX_VERSIONS;
    for (guint i = 0; i < c->service->versions->len; i++) {
        bool serves = may_use(c, i) &&
                      get_count(counts, get_version(c->service, i)->name) > 0;
        if (serves && (best == MAX_VERSIONS || excess[i] < excess[best])) {
            best = i;
        }
    }
    return best;
}

static bool
is_uneven(const Change *c, const double excess[MAX_VERSIONS])
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
move_shares(Change *c, Shares *x, GHashTable *counts, bool even)
{
    double excess[MAX_VERSIONS];
    compute_excess(c, x, counts, excess);
    bool uneven = even && is_uneven(c, excess);
    for (int i = 0; i < VP_SHARES; i++) {
        guint from = x->at[i];
        guint to = find_lowest(c, counts, excess);
        bool unheld =
            get_count(counts, get_version(c->service, from)->name) == 0;
        if (to == MAX_VERSIONS || to == from ||
            !(unheld || (uneven && excess[from] >= 1 && excess[to] <= -1))) {
            continue;
        }
        excess[from] -= 1;
        excess[to] += 1;
        move_share(c, x, i, to);
    }
}

static Shares *
get_own_shares(Change *c, const char *model)
{
    Shares *x = g_hash_table_lookup(c->service->models, model);
    if (!x) {
        x = g_memdup2(&c->service->rest, sizeof(*x));
        g_hash_table_insert(c->service->models, g_strdup(model), x);
    }
    return x;
}

static void
move_models(Change *c)
{
    g_autoptr(GPtrArray) models = sort_keys(c->fleet->models);
    for (guint i = 0; i < models->len; i++) {
        const char *model = models->pdata[i];
        GHashTable *counts = g_hash_table_lookup(c->fleet->models, model);
        Shares moved = *get_shares(c->service, model);
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
has_ended(const Change *c, uint64_t since_ms)
{
    return c->now_ms >=
           since_ms + FORMER_LEADER_MS + VP_BEGIN_AGE_MS + c->vp->life_ms;
}

static void
settle_shares(Change *c, Shares *x)
{
    for (int i = 0; i < VP_SHARES; i++) {
        if (is_unsettled(x, i) && has_ended(c, x->since_ms[i])) {
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
is_like_rest(const Shares *x, const Shares *rest)
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
is_used(const Service *s, guint version)
{
    bool used = memchr(s->rest.at, (int)version, VP_SHARES) != NULL;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->models);
    while (!used && g_hash_table_iter_next(&it, NULL, &v)) {
        used = memchr(((Shares *)v)->at, (int)version, VP_SHARES) != NULL;
    }
    return used;
}

static void
shift_shares(Shares *x, guint removed)
{
    for (int i = 0; i < VP_SHARES; i++) {
        x->at[i] -= x->at[i] > removed;
    }
}

static void
remove_version(Change *c, guint version)
{
    Service *s = c->service;
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
        const char *name = get_version(c->service, i)->name;
        if (get_count(c->fleet->versions, name) == 0 &&
            !is_used(c->service, i) && !has_unsettled(c->service) &&
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
    Shares moved = c->service->rest;
    bool before = c->changed;
    c->changed = false;
    move_shares(c, &moved, c->fleet->versions, false);
    if (c->changed) {
        g_autoptr(GPtrArray) models = sort_keys(c->fleet->models);
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
    const Service *s = c->service;
    return is_plain(s) && g_hash_table_size(c->fleet->versions) == 1 &&
           get_count(c->fleet->versions, get_version(s, 0)->name) > 0;
}

static void
change_service(Change *c)
{
    if (needs_no_change(c)) {
        return;
    }
    list_versions(c);
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
begin_service(Change *c, Plan *plan, const char *name)
{
    c->service = create_service();
    g_hash_table_insert(plan->services, g_strdup(name), c->service);
    list_version(c, find_largest(c->fleet->versions));
    if (g_hash_table_size(c->fleet->versions) > 1) {
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
    Plan *next = copy_plan(p->plan);
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
    GBytes *bytes = changed ? encode_plan(next) : NULL;
    destroy_plan(next);
    return bytes;
}
