#include "gateway_types.h"

#include "sockets.h"

#include <openssl/crypto.h>
#include <string.h>

/* Of an upstream's id, service and data centre: keys of the store have no
   more. */
#define MAX_NAME_BYTES 255
/* Of each of its lists; far more models than a fleet has. */
#define MAX_LISTED 4096

/* ---- configuration ------------------------------------------------------ */

static void
clear_split(void *p)
{
    g_free(((DepSplit *)p)->service);
}

static void
free_route(void *p)
{
    DepRoute *r = p;
    g_free(r->name);
    g_free(r->host);
    g_free(r->prefix);
    g_array_free(r->splits, TRUE);
    g_free(r);
}

static void
free_model(void *p)
{
    g_free(((DepModel *)p)->name);
    g_free(p);
}

static void
free_service(void *p)
{
    DepService *s = p;
    g_free(s->name);
    g_free(s->health_path);
    g_hash_table_destroy(s->models);
    g_free(s);
}

static void
free_workspace(void *p)
{
    g_free(((DepWorkspace *)p)->name);
    g_free(p);
}

/* The bits of a SHA-256 digest are evenly distributed, so any of them serve as
   a hash. */
static guint
hash_key(gconstpointer p)
{
    guint h;
    memcpy(&h, ((const DepKey *)p)->bytes, sizeof(h));
    return h;
}

static gboolean
are_keys_equal(gconstpointer a, gconstpointer b)
{
    return CRYPTO_memcmp(a, b, sizeof(DepKey)) == 0;
}

DepConfig *
dep_create_config(void)
{
    DepConfig *c = g_new0(DepConfig, 1);
    c->refs = 1;
    c->routes = g_ptr_array_new_with_free_func(free_route);
    c->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    c->workspaces =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_workspace);
    c->keys = g_hash_table_new_full(hash_key, are_keys_equal, g_free, NULL);
    return c;
}

DepConfig *
dep_ref_config(DepConfig *c)
{
    g_atomic_int_inc(&c->refs);
    return c;
}

void
dep_unref_config(DepConfig *c)
{
    if (!c || !g_atomic_int_dec_and_test(&c->refs)) {
        return;
    }
    if (c->hosts) {
        g_hash_table_destroy(c->hosts);
    }
    g_ptr_array_free(c->routes, TRUE);
    g_hash_table_destroy(c->services);
    g_hash_table_destroy(c->keys);
    g_hash_table_destroy(c->workspaces);
    g_free(c);
}

DepRoute *
dep_add_route(DepConfig *c)
{
    DepRoute *r = g_new0(DepRoute, 1);
    r->splits = g_array_new(FALSE, TRUE, sizeof(DepSplit));
    g_array_set_clear_func(r->splits, clear_split);
    g_ptr_array_add(c->routes, r);
    return r;
}

DepService *
dep_add_service(DepConfig *c, const char *name)
{
    DepService *s = g_new0(DepService, 1);
    s->name = g_strdup(name);
    s->models =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_model);
    g_hash_table_insert(c->services, s->name, s);
    return s;
}

DepModel *
dep_add_model(DepService *s, const char *name)
{
    DepModel *m = g_new0(DepModel, 1);
    m->name = g_strdup(name);
    g_hash_table_insert(s->models, m->name, m);
    return m;
}

DepWorkspace *
dep_add_workspace(DepConfig *c, const char *name)
{
    DepWorkspace *w = g_new0(DepWorkspace, 1);
    w->name = g_strdup(name);
    g_hash_table_insert(c->workspaces, w->name, w);
    return w;
}

DepKey
dep_digest_key(const char *key)
{
    DepKey k = {{0}};
    bg_digest(key, strlen(key), k.bytes);
    return k;
}

void
dep_print_fingerprint(const DepKey *key, char out[DEP_FINGERPRINT_LEN + 1])
{
    bg_format_hex(key->bytes, DEP_FINGERPRINT_LEN / 2, out);
}

void
dep_add_key(DepConfig *c, DepWorkspace *w, const char *key)
{
    DepKey k = dep_digest_key(key);
    g_hash_table_insert(c->keys, g_memdup2(&k, sizeof(k)), w);
}

const DepWorkspace *
dep_find_workspace(const DepConfig *c, const DepKey *key)
{
    return g_hash_table_lookup(c->keys, key);
}

static gint
compare_prefix_length(gconstpointer a, gconstpointer b)
{
    const DepRoute *x = *(DepRoute *const *)a;
    const DepRoute *y = *(DepRoute *const *)b;
    size_t x_len = strlen(x->prefix);
    size_t y_len = strlen(y->prefix);
    return x_len < y_len ? 1 : x_len > y_len ? -1 : 0;
}

static void
free_route_list(void *p)
{
    g_ptr_array_free(p, TRUE);
}

void
dep_index_routes(DepConfig *c)
{
    c->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_route_list);
    for (guint i = 0; i < c->routes->len; i++) {
        DepRoute *r = c->routes->pdata[i];
        GPtrArray *list = g_hash_table_lookup(c->hosts, r->host);
        if (!list) {
            list = g_ptr_array_new();
            g_hash_table_insert(c->hosts, r->host, list);
        }
        g_ptr_array_add(list, r);
    }
    GHashTableIter it;
    gpointer list;
    g_hash_table_iter_init(&it, c->hosts);
    while (g_hash_table_iter_next(&it, NULL, &list)) {
        g_ptr_array_sort(list, compare_prefix_length);
    }
}

const DepRoute *
dep_find_route(const DepConfig *c, const char *host, const char *path)
{
    const char *colon = strchr(host, ':');
    g_autofree char *bare =
        g_ascii_strdown(host, colon ? (gssize)(colon - host) : -1);
    const GPtrArray *list = g_hash_table_lookup(c->hosts, bare);
    for (guint i = 0; list && i < list->len; i++) {
        const DepRoute *r = list->pdata[i];
        if (g_str_has_prefix(path, r->prefix)) {
            return r;
        }
    }
    return NULL;
}

uint32_t
dep_get_stream_life_ms(const DepConfig *c)
{
    uint32_t longest_ms = 0;
    for (guint i = 0; i < c->routes->len; i++) {
        const DepRoute *r = c->routes->pdata[i];
        if (r->resumable && r->timeout_ms == 0) {
            return 0;
        }
        longest_ms = MAX(longest_ms, r->resumable ? r->timeout_ms : 0);
    }
    return longest_ms;
}

const char *
dep_pick_service(const DepRoute *r, uint64_t draw)
{
    uint64_t total = 0;
    for (guint i = 0; i < r->splits->len; i++) {
        total += g_array_index(r->splits, DepSplit, i).weight;
    }
    uint64_t at = total ? draw % total : 0;
    for (guint i = 0; i < r->splits->len; i++) {
        const DepSplit *s = &g_array_index(r->splits, DepSplit, i);
        if (at < s->weight) {
            return s->service;
        }
        at -= s->weight;
    }
    return g_array_index(r->splits, DepSplit, 0).service;
}

/* ---- upstreams ---------------------------------------------------------- */

static void
free_resident(void *p)
{
    DepResident *r = p;
    g_free(r->name);
    g_ptr_array_free(r->adapters, TRUE);
    g_ptr_array_free(r->coming, TRUE);
    g_free(r);
}

DepUpstream *
dep_create_upstream(void)
{
    DepUpstream *u = g_new0(DepUpstream, 1);
    u->models = g_ptr_array_new_with_free_func(free_resident);
    u->in_memory = g_ptr_array_new_with_free_func(g_free);
    u->on_disk = g_ptr_array_new_with_free_func(g_free);
    return u;
}

void
dep_destroy_upstream(DepUpstream *u)
{
    if (!u) {
        return;
    }
    g_free(u->id);
    g_free(u->service);
    g_free(u->address);
    g_free(u->data_centre);
    g_free(u->version);
    g_ptr_array_free(u->models, TRUE);
    g_ptr_array_free(u->in_memory, TRUE);
    g_ptr_array_free(u->on_disk, TRUE);
    g_free(u);
}

static bool
is_name(const char *text)
{
    size_t len = strlen(text);
    for (size_t i = 0; i < len; i++) {
        if (g_ascii_iscntrl(text[i])) {
            return false;
        }
    }
    return len <= MAX_NAME_BYTES;
}

/* It stands in a header of each request: blanks around it would be lost there,
   and a line end would begin another header. */
static bool
is_id(const char *text)
{
    return *text && !strchr(text, ' ') && is_name(text);
}

static bool
is_short(const DepUpstream *u)
{
    guint adapters = 0;
    for (guint i = 0; i < u->models->len; i++) {
        const DepResident *r = u->models->pdata[i];
        adapters += r->adapters->len + r->coming->len;
    }
    return u->models->len <= MAX_LISTED && adapters <= MAX_LISTED &&
           u->in_memory->len <= MAX_LISTED && u->on_disk->len <= MAX_LISTED;
}

bool
dep_check_upstream(const DepUpstream *u, GError **err)
{
    const char *fault = !is_id(u->id)              ? "id: not a plain name"
                        : !is_name(u->service)     ? "service: no name"
                        : !is_name(u->data_centre) ? "data centre: no name"
                        : !so_is_address(u->address)
                            ? "address: not IP:PORT of one host"
                        : !is_short(u) ? "models: too many"
                                       : NULL;
    if (fault) {
        g_set_error_literal(err, BG_ERROR, BG_ERR_FORMAT, fault);
    }
    return fault == NULL;
}

DepResident *
dep_add_resident(DepUpstream *u, const char *name)
{
    DepResident *r = g_new0(DepResident, 1);
    r->name = g_strdup(name);
    r->adapters = g_ptr_array_new_with_free_func(g_free);
    r->coming = g_ptr_array_new_with_free_func(g_free);
    g_ptr_array_add(u->models, r);
    return r;
}

GPtrArray *
dep_take_residents(DepUpstream *u)
{
    GPtrArray *models = g_steal_pointer(&u->models);
    u->models = g_ptr_array_new();
    dep_destroy_upstream(u);
    return models;
}

GPtrArray *
dep_copy_residents(const GPtrArray *models)
{
    DepUpstream *u = dep_create_upstream();
    for (guint i = 0; i < models->len; i++) {
        const DepResident *r = models->pdata[i];
        dep_copy_names(dep_add_resident(u, r->name)->adapters, r->adapters);
    }
    return dep_take_residents(u);
}

DepResident *
dep_find_resident(const GPtrArray *models, const char *name)
{
    for (guint i = 0; i < models->len; i++) {
        DepResident *r = models->pdata[i];
        if (strcmp(r->name, name) == 0) {
            return r;
        }
    }
    return NULL;
}

bool
dep_has_name(const GPtrArray *list, const char *name)
{
    for (guint i = 0; i < list->len; i++) {
        if (strcmp(list->pdata[i], name) == 0) {
            return true;
        }
    }
    return false;
}

void
dep_copy_names(GPtrArray *to, const GPtrArray *from)
{
    for (guint i = 0; i < from->len; i++) {
        g_ptr_array_add(to, g_strdup(from->pdata[i]));
    }
}

char *
dep_make_key(const char *model, const char *adapter)
{
    return adapter ? g_strconcat(model, "/", adapter, NULL) : g_strdup(model);
}

/* ---- one request -------------------------------------------------------- */

void
dep_clear_call(DepCall *call)
{
    g_free(call->model);
    g_free(call->adapter);
    if (call->parts) {
        g_array_free(call->parts, TRUE);
    }
    memset(call, 0, sizeof(*call));
}
