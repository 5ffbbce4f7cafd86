#include "version_plan_internal.h"

#include "gateway.pb-c.h"

#include <string.h>
#include <xxhash.h>

/* ---- memory ------------------------------------------------------------- */

static void
clear_version(void *p)
{
    g_free(((VpVersion *)p)->name);
}

static void
free_service(void *p)
{
    VpService *s = p;
    g_array_free(s->versions, TRUE);
    g_hash_table_destroy(s->models);
    g_free(s);
}

VpService *
vp_create_service(void)
{
    VpService *s = g_new0(VpService, 1);
    s->versions = g_array_new(FALSE, FALSE, sizeof(VpVersion));
    g_array_set_clear_func(s->versions, clear_version);
    s->models = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return s;
}

static VpPlan *
create_plan(uint64_t number)
{
    VpPlan *p = g_new0(VpPlan, 1);
    p->number = number;
    p->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_service);
    return p;
}

void
vp_destroy_plan(VpPlan *p)
{
    if (p) {
        g_hash_table_destroy(p->services);
        g_free(p);
    }
}

static VpService *
copy_service(const VpService *of)
{
    VpService *s = vp_create_service();
    for (guint i = 0; i < of->versions->len; i++) {
        VpVersion v = g_array_index(of->versions, VpVersion, i);
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
                            g_memdup2(v, sizeof(VpShares)));
    }
    return s;
}

VpPlan *
vp_copy_plan(const VpPlan *of)
{
    VpPlan *p = create_plan(of ? of->number : 0);
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
    vp_destroy_plan(p->plan);
    g_free(p);
}

void
vp_set_life(Vp *p, uint32_t life_ms)
{
    p->life_ms = life_ms ? life_ms : VP_DEFAULT_LIFE_MS;
}

void
vp_on_gateways(Vp *p, uint64_t now_ms, uint32_t gateways)
{
    if (gateways >= p->gateways || now_ms > p->gateways_ms + VP_LOST_MS) {
        p->gateways = gateways;
        p->gateways_ms = now_ms;
    }
    else {
        p->missing_ms = now_ms;
    }
}

void
vp_on_unplanned(Vp *p, uint64_t now_ms)
{
    p->unplanned_ms = now_ms;
    p->missing_ms = now_ms;
}

bool
vp_may_be_unplanned(const Vp *p, uint64_t now_ms)
{
    return p->unplanned_ms && now_ms <= p->unplanned_ms + p->life_ms;
}

/* ---- encoding ----------------------------------------------------------- */

const VpVersion *
vp_get_version_at(const VpService *s, guint i)
{
    return &g_array_index(s->versions, VpVersion, i);
}

int
vp_find_version(const VpService *s, const char *name)
{
    for (guint i = 0; i < s->versions->len; i++) {
        if (strcmp(vp_get_version_at(s, i)->name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static Gwp__VersionShares *
encode_shares(const char *model, const VpShares *x)
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
GPtrArray *
vp_sort_keys(GHashTable *table)
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
encode_service(Rows *rows, const char *name, const VpService *s)
{
    Gwp__ServiceVersions *m = g_new0(Gwp__ServiceVersions, 1);
    gwp__service_versions__init(m);
    m->service = (char *)name;
    GPtrArray *names = g_ptr_array_new();
    for (guint i = 0; i < s->versions->len; i++) {
        g_ptr_array_add(names, vp_get_version_at(s, i)->name);
    }
    GPtrArray *shares = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(shares, encode_shares("", &s->rest));
    g_autoptr(GPtrArray) models = vp_sort_keys(s->models);
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

GBytes *
vp_encode_plan(const VpPlan *p)
{
    Rows rows = {g_ptr_array_new_with_free_func(g_free),
                 g_ptr_array_new_with_free_func(free_list)};
    g_autoptr(GPtrArray) names = vp_sort_keys(p->services);
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
decode_shares(VpService *s, const Gwp__VersionShares *m)
{
    VpShares x = {.unsettled = (uint16_t)m->unsettled};
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
decode_service(VpPlan *p, const Gwp__ServiceVersions *m)
{
    VpService *s = vp_create_service();
    for (size_t i = 0; i < m->n_versions; i++) {
        VpVersion v = {.name = g_strdup(m->versions[i])};
        g_array_append_val(s->versions, v);
    }
    g_hash_table_replace(p->services, g_strdup(m->service), s);
    bool good = m->n_versions > 0 && m->n_versions <= VP_MAX_VERSIONS;
    for (size_t i = 0; good && i < m->n_shares; i++) {
        good = decode_shares(s, m->shares[i]);
    }
    return good;
}

static VpPlan *
decode_plan(const void *data, size_t len)
{
    Gwp__VersionPlan *m = gwp__version_plan__unpack(NULL, len, data);
    if (!m) {
        return NULL;
    }
    VpPlan *p = create_plan(m->number);
    bool good = m->number > 0;
    for (size_t i = 0; good && i < m->n_services; i++) {
        good = decode_service(p, m->services[i]);
    }
    gwp__version_plan__free_unpacked(m, NULL);
    if (!good) {
        vp_destroy_plan(p);
        return NULL;
    }
    return p;
}

uint64_t
vp_read_number(const void *data, size_t len)
{
    VpPlan *p = decode_plan(data, len);
    uint64_t number = p ? p->number : 0;
    vp_destroy_plan(p);
    return number;
}

/* ---- the plan, as known here -------------------------------------------- */

const VpShares *
vp_get_shares(const VpService *s, const char *model)
{
    const VpShares *x = model ? g_hash_table_lookup(s->models, model) : NULL;
    return x ? x : &s->rest;
}

bool
vp_is_share_unsettled(const VpShares *x, int share)
{
    return x->unsettled >> share & 1;
}

static const char *
get_name(const VpService *s, const VpShares *x, int share)
{
    return vp_get_version_at(s, x->at[share])->name;
}

/* When each share of X, in S, came into force: NOW_MS for those that FORMER
   doesn't have like that. */
static void
date_shares(const VpService *s, VpShares *x, const VpService *former,
            const char *model, uint64_t now_ms)
{
    const VpShares *y = former ? vp_get_shares(former, model) : NULL;
    for (int i = 0; i < VP_SHARES; i++) {
        bool same =
            y && strcmp(get_name(s, x, i), get_name(former, y, i)) == 0 &&
            (vp_is_share_unsettled(y, i) || !vp_is_share_unsettled(x, i));
        x->since_ms[i] = same ? y->since_ms[i] : now_ms;
    }
}

static void
date_service(VpService *s, const VpService *former, uint64_t now_ms)
{
    for (guint i = 0; i < s->versions->len; i++) {
        VpVersion *v = &g_array_index(s->versions, VpVersion, i);
        int k = former ? vp_find_version(former, v->name) : -1;
        v->listed_ms =
            k >= 0 ? vp_get_version_at(former, (guint)k)->listed_ms : now_ms;
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

static const VpService *
find_service(const VpPlan *p, const char *service)
{
    return p ? g_hash_table_lookup(p->services, service) : NULL;
}

bool
vp_take(Vp *p, uint64_t now_ms, const void *data, size_t len)
{
    VpPlan *plan = decode_plan(data, len);
    if (!plan) {
        bg_log(BG_WARN, "versions", "ignored a plan that can't be read");
        return false;
    }
    if (p->plan && plan->number <= p->plan->number) {
        vp_destroy_plan(plan);
        return false;
    }
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, plan->services);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        date_service(v, find_service(p->plan, k), now_ms);
    }
    vp_destroy_plan(p->plan);
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
vp_on_heartbeat(Vp *p, uint64_t number, uint64_t since_ms)
{
    p->newest = MAX(p->newest, number);
    if (p->plan && p->plan->number == number) {
        p->heartbeat_ms = MAX(p->heartbeat_ms, since_ms);
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
    return p->plan ? vp_encode_plan(p->plan) : NULL;
}

bool
vp_has_unsettled_share(const VpService *s)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->models);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (((const VpShares *)v)->unsettled) {
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
        if (vp_has_unsettled_share(v)) {
            return false;
        }
    }
    return true;
}

bool
vp_is_plain_service(const VpService *s)
{
    return s->versions->len == 1 && g_hash_table_size(s->models) == 0 &&
           !s->rest.unsettled;
}

bool
vp_has_only(const Vp *p, const char *service, const char *version)
{
    const VpService *s = find_service(p->plan, service);
    return s && vp_is_plain_service(s) &&
           strcmp(vp_get_version_at(s, 0)->name, version) == 0;
}

bool
vp_is_mixed(const Vp *p, const char *service)
{
    const VpService *s = find_service(p->plan, service);
    return s && s->versions->len > 1;
}

static void
print_shares(const VpService *s, const char *model, const VpShares *x,
             GString *out)
{
    g_string_append_printf(out, "  %s", model);
    for (int i = 0; i < VP_SHARES; i++) {
        g_string_append_printf(out, " %s%s", get_name(s, x, i),
                               vp_is_share_unsettled(x, i) ? "?" : "");
    }
    g_string_append_c(out, '\n');
}

void
vp_print(const Vp *p, GString *out)
{
    g_string_append_printf(out, "plan %llu\n",
                           (unsigned long long)vp_get_number(p));
    g_autoptr(GPtrArray) names =
        p->plan ? vp_sort_keys(p->plan->services) : NULL;
    for (guint i = 0; names && i < names->len; i++) {
        const VpService *s = find_service(p->plan, names->pdata[i]);
        g_string_append_printf(out, "%s\n", (char *)names->pdata[i]);
        print_shares(s, "(others)", &s->rest, out);
        g_autoptr(GPtrArray) models = vp_sort_keys(s->models);
        for (guint k = 0; k < models->len; k++) {
            print_shares(s, models->pdata[k],
                         vp_get_shares(s, models->pdata[k]), out);
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
    const VpService *s = find_service(p->plan, service);
    return s &&
           vp_is_share_unsettled(vp_get_shares(s, model), get_share(attempt));
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
    const VpService *s = find_service(p->plan, service);
    if (!s) {
        return p->plan || p->none ? VP_UNPLANNED : VP_ASK;
    }
    uint64_t confirmed_ms = MAX(p->read_ms, p->heartbeat_ms);
    if (s->versions->len > 1 &&
        !is_recent(confirmed_ms, now_ms, VP_BEGIN_AGE_MS)) {
        return VP_ASK;
    }
    *version = get_name(s, vp_get_shares(s, model), get_share(attempt));
    return VP_AT;
}

static bool
may_resume(const Vp *p, const VpService *s, uint64_t now_ms, uint64_t came_ms)
{
    bool one = s && s->versions->len == 1;
    return (p->read_ms && p->read_ms >= came_ms) ||
           (one && is_recent(p->heartbeat_ms, now_ms, VP_RESUME_AGE_MS));
}

VpAnswer
vp_resume(const Vp *p, uint64_t now_ms, uint64_t came_ms, const char *service,
          const char *model, const char *attempt, const char **version)
{
    const VpService *s = find_service(p->plan, service);
    if (vp_is_behind(p) || !may_resume(p, s, now_ms, came_ms)) {
        return VP_ASK;
    }
    if (!s) {
        return VP_UNPLANNED;
    }
    int share = get_share(attempt);
    const VpShares *x = vp_get_shares(s, model);
    if (vp_is_share_unsettled(x, share)) {
        return VP_UNSETTLED;
    }
    *version = get_name(s, x, share);
    return VP_AT;
}
