#include "cfg.h"

#include "ini.h"

#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#define MAX_MEMORY_MB 4000000
#define MAX_WAIT_MS 3600000
#define CLASS_NAMES "lookup|interactive|batch"

struct CfgSet {
    atomic_int refs;
    uint64_t version;
    GHashTable *models;        /* name -> CfgModel */
    GHashTable *services;      /* name -> CfgService */
    GHashTable *upstreams;     /* name -> CfgUpstreams */
    GHashTable *workspaces;    /* name -> CfgWorkspace */
    GHashTable *keys;          /* digest -> CfgWorkspace, borrowed */
    GPtrArray *model_list;     /* borrowed */
    GPtrArray *workspace_list; /* borrowed */
};

static const IniRule template_rules[] = {
    {"template", "name", INI_TEXT, true, NULL, 0, 0, NULL, "its name"},
    {"template", "cold_second_cost", INI_INT, false, "10", 0, 1000000, NULL,
     "cost of one second that a request waits for a cold load"},
    {"template", "idle_hour_cost", INI_INT, false, "10", 0, 1000000, NULL,
     "cost of one idle accelerator hour, in the same unit"},
    {"upstreams", "kind", INI_CHOICE, true, NULL, 0, 0, "engine|service",
     "kind of these upstreams"},
    {"upstreams", "fencing", INI_CHOICE, false, "checked", 0, 0,
     "checked|ignored", "whether they refuse old fencing tokens"},
    {"model", "upstreams", INI_TEXT, true, NULL, 0, 0, NULL,
     "upstreams that run it"},
    {"model", "memory_mb", INI_INT, true, NULL, 1, MAX_MEMORY_MB, NULL,
     "accelerator memory of one replica"},
    {"model", "replicas", INI_INT, false, "1", 1, 10000, NULL,
     "max replicas in each data centre"},
    {"model", "load_ms", INI_INT, false, "10000", 1, MAX_WAIT_MS, NULL,
     "expected duration of a cold load"},
    {"model", "wait_ms", INI_INT, false, "60000", 1, MAX_WAIT_MS, NULL,
     "timeout of a request until the answer is complete"},
    {"model", "class", INI_CHOICE, false, "interactive", 0, 0, CLASS_NAMES,
     "queue of its requests"},
    {"adapter", "base", INI_TEXT, true, NULL, 0, 0, NULL, "its base model"},
    {"adapter", "memory_mb", INI_INT, false, "64", 1, MAX_MEMORY_MB, NULL,
     "accelerator memory of one replica"},
    {"adapter", "replicas", INI_INT, false, "1", 1, 10000, NULL,
     "max replicas in each data centre"},
    {"adapter", "load_ms", INI_INT, false, "20", 1, MAX_WAIT_MS, NULL,
     "expected duration of a load"},
    {"adapter", "wait_ms", INI_INT, false, "60000", 1, MAX_WAIT_MS, NULL,
     "timeout of a request until the answer is complete"},
    {"adapter", "class", INI_CHOICE, false, "interactive", 0, 0, CLASS_NAMES,
     "queue of its requests"},
    {"service", "upstreams", INI_TEXT, true, NULL, 0, 0, NULL,
     "upstreams that serve it"},
    {"service", "idempotency", INI_CHOICE, false, "none", 0, 0,
     "none|required", "whether every call must carry Idempotency-Key"},
    {"service", "wait_ms", INI_INT, false, "10000", 1, MAX_WAIT_MS, NULL,
     "timeout of a request"},
    {"workspace", "models", INI_TEXT, false, "*", 0, 0, NULL,
     "models it may call"},
    {"workspace", "services", INI_TEXT, false, "*", 0, 0, NULL,
     "services it may call"},
    {"workspace", "priority", INI_INT, false, "5", 0, 9, NULL,
     "higher is served first"},
    {"workspace", "requests_per_second", INI_INT, false, "1000", 1, 1000000,
     NULL, "over all routers"},
    {"workspace", "concurrency", INI_INT, false, "1000", 1, 1000000, NULL,
     "requests in flight over all routers"},
    {"workspace", "tokens_per_minute", INI_INT, false, "100000000", 1,
     2000000000, NULL, "over all routers"},
    {NULL, NULL, INI_TEXT, false, NULL, 0, 0, NULL, NULL}};

static const IniRule values_rules[] = {
    {"workspace", "name", INI_TEXT, true, NULL, 0, 0, NULL, "its name"},
    {"workspace", "template", INI_TEXT, true, NULL, 0, 0, NULL,
     "template it uses"},
    {"workspace", "keys_sha256", INI_TEXT, true, NULL, 0, 0, NULL,
     "SHA-256 digests of its bearer keys"},
    {NULL, NULL, INI_TEXT, false, NULL, 0, 0, NULL, NULL}};

/* ---- reading one file --------------------------------------------------- */

/* State of reading one template or values text. */
typedef struct {
    const char *where; /* prefix of errors: template or workspace name */
    GString *faults;
    GHashTable *params; /* parameter name -> value; NULL: none allowed */
} Reader;

static void G_GNUC_PRINTF(3, 4)
    add_fault(Reader *rd, const char *sec, const char *fmt, ...)
{
    va_list args;
    va_start(args, fmt);
    g_string_append_printf(rd->faults, "%s: [%s] ", rd->where, sec);
    g_string_append_vprintf(rd->faults, fmt, args);
    g_string_append_c(rd->faults, '\n');
    va_end(args);
}

/* VALUE with every ${name} replaced.  A name without a value is an error. */
static char *
substitute_parameters(Reader *rd, const char *sec, const char *key,
                      const char *value)
{
    GString *out = g_string_new(NULL);
    const char *at = value;
    const char *open;
    while ((open = strstr(at, "${"))) {
        const char *end = strchr(open, '}');
        if (!end) {
            add_fault(rd, sec, "%s: ${ without closing }", key);
            break;
        }
        g_string_append_len(out, at, open - at);
        g_autofree char *name = g_strndup(open + 2, (gsize)(end - open - 2));
        const char *param =
            rd->params ? g_hash_table_lookup(rd->params, name) : NULL;
        if (!param) {
            add_fault(rd, sec, "%s: no value for parameter '%s'", key, name);
        }
        else {
            g_string_append(out, param);
        }
        at = end + 1;
    }
    g_string_append(out, at);
    return g_string_free(out, FALSE);
}

/* Checks section SEC against the rules of KIND and returns its values, with
   defaults for absent keys.  The caller destroys the table. */
static GHashTable *
read_section(Reader *rd, GKeyFile *kf, const char *sec, const char *kind,
             const IniRule *rules)
{
    GHashTable *values =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_auto(GStrv) keys = g_key_file_get_keys(kf, sec, NULL, NULL);
    for (char **k = keys; k && *k; k++) {
        const IniRule *rule = ini_find_rule(rules, kind, *k);
        if (!rule) {
            add_fault(rd, sec, "%s: unknown key", *k);
            continue;
        }
        g_autofree char *raw = g_key_file_get_value(kf, sec, *k, NULL);
        char *value = substitute_parameters(rd, sec, *k, raw);
        g_strstrip(value);
        g_autofree char *wrong = ini_check_value(rule, value);
        if (wrong) {
            add_fault(rd, sec, "%s: %s", *k, wrong);
        }
        g_hash_table_replace(values, g_strdup(*k), value);
    }
    for (const IniRule *r = rules; r->section; r++) {
        if (strcmp(r->section, kind) != 0 ||
            g_hash_table_contains(values, r->key)) {
            continue;
        }
        if (r->required) {
            add_fault(rd, sec, "%s: is missing", r->key);
        }
        g_hash_table_replace(values, g_strdup(r->key),
                             g_strdup(r->fallback ? r->fallback : ""));
    }
    return values;
}

static uint32_t
get_uint(GHashTable *values, const char *key)
{
    return (uint32_t)strtoul(g_hash_table_lookup(values, key), NULL, 10);
}

static char *
dup_value(GHashTable *values, const char *key)
{
    return g_strdup(g_hash_table_lookup(values, key));
}

static CfgClass
get_class(GHashTable *values)
{
    const char *word = g_hash_table_lookup(values, "class");
    if (strcmp(word, "lookup") == 0) {
        return CFG_LOOKUP;
    }
    return strcmp(word, "batch") == 0 ? CFG_BATCH : CFG_INTERACTIVE;
}

static char **
get_list(GHashTable *values, const char *key)
{
    char **words = g_strsplit(g_hash_table_lookup(values, key), ",", -1);
    for (char **w = words; *w; w++) {
        g_strstrip(*w);
    }
    return words;
}

/* ---- items -------------------------------------------------------------- */

static void
free_model(gpointer p)
{
    CfgModel *m = p;
    g_free(m->name);
    g_free(m->upstreams);
    g_free(m->base);
    g_free(m->template_name);
    g_free(m);
}

static void
free_service(gpointer p)
{
    CfgService *s = p;
    g_free(s->name);
    g_free(s->upstreams);
    g_free(s->template_name);
    g_free(s);
}

static void
free_upstreams(gpointer p)
{
    CfgUpstreams *u = p;
    g_free(u->name);
    g_free(u);
}

static void
free_workspace(gpointer p)
{
    CfgWorkspace *w = p;
    g_free(w->name);
    g_free(w->template_name);
    g_strfreev(w->key_digests);
    g_strfreev(w->models);
    g_strfreev(w->services);
    g_free(w);
}

/* Names are unique across all templates: a second item of the same name is an
   error, and ITEM is destroyed. */
static void
add_item(Reader *rd, const char *sec, GHashTable *table, char *name,
         gpointer item, GDestroyNotify destroy)
{
    if (g_hash_table_contains(table, name)) {
        add_fault(rd, sec, "'%s' is defined twice", name);
        destroy(item);
        return;
    }
    g_hash_table_insert(table, name, item);
}

static CfgModel *
make_model(GHashTable *values, const char *name)
{
    CfgModel *m = g_new0(CfgModel, 1);
    m->name = g_strdup(name);
    m->memory_mb = get_uint(values, "memory_mb");
    m->replicas = get_uint(values, "replicas");
    m->load_ms = get_uint(values, "load_ms");
    m->wait_ms = get_uint(values, "wait_ms");
    m->class_ = get_class(values);
    return m;
}

/* ---- one template ------------------------------------------------------- */

/* Where the items of one template go, and what they have in common. */
typedef struct {
    CfgSet *set;
    const char *template_name;
    double cold_second_cost;
    double idle_hour_cost;
} Target;

static void
read_model(Reader *rd, Target *t, GKeyFile *kf, const char *sec,
           const char *kind, const char *name)
{
    g_autoptr(GHashTable) values =
        read_section(rd, kf, sec, kind, template_rules);
    CfgModel *m = make_model(values, name);
    if (strcmp(kind, "model") == 0) {
        m->upstreams = dup_value(values, "upstreams");
    }
    else {
        m->base = dup_value(values, "base");
    }
    m->cold_second_cost = t->cold_second_cost;
    m->idle_hour_cost = t->idle_hour_cost;
    m->template_name = g_strdup(t->template_name);
    add_item(rd, sec, t->set->models, m->name, m, free_model);
}

static void
read_service(Reader *rd, Target *t, GKeyFile *kf, const char *sec,
             const char *name)
{
    g_autoptr(GHashTable) values =
        read_section(rd, kf, sec, "service", template_rules);
    CfgService *s = g_new0(CfgService, 1);
    s->name = g_strdup(name);
    s->upstreams = dup_value(values, "upstreams");
    s->idempotency_required =
        strcmp(g_hash_table_lookup(values, "idempotency"), "required") == 0;
    s->wait_ms = get_uint(values, "wait_ms");
    s->template_name = g_strdup(t->template_name);
    add_item(rd, sec, t->set->services, s->name, s, free_service);
}

static void
read_upstreams(Reader *rd, Target *t, GKeyFile *kf, const char *sec,
               const char *name)
{
    g_autoptr(GHashTable) values =
        read_section(rd, kf, sec, "upstreams", template_rules);
    CfgUpstreams *u = g_new0(CfgUpstreams, 1);
    u->name = g_strdup(name);
    u->engine = strcmp(g_hash_table_lookup(values, "kind"), "engine") == 0;
    u->fenced = strcmp(g_hash_table_lookup(values, "fencing"), "checked") == 0;
    add_item(rd, sec, t->set->upstreams, u->name, u, free_upstreams);
}

static void
read_item(Reader *rd, Target *t, GKeyFile *kf, const char *sec)
{
    g_auto(GStrv) words = g_strsplit(sec, " ", 2);
    const char *name = words[1];
    const char *kind = name && *name ? words[0] : "";
    if (strcmp(sec, "template") == 0 || strcmp(sec, "parameters") == 0 ||
        strcmp(sec, "workspace") == 0) {
        return;
    }
    if (strcmp(kind, "model") == 0 || strcmp(kind, "adapter") == 0) {
        read_model(rd, t, kf, sec, kind, name);
    }
    else if (strcmp(kind, "service") == 0) {
        read_service(rd, t, kf, sec, name);
    }
    else if (strcmp(kind, "upstreams") == 0) {
        read_upstreams(rd, t, kf, sec, name);
    }
    else {
        add_fault(rd, sec, "unknown section");
    }
}

/* ---- one workspace ------------------------------------------------------ */

static bool
is_hex_digest(const char *text)
{
    return strlen(text) == 64 && strspn(text, "0123456789abcdef") == 64;
}

static void
add_keys(Reader *rd, CfgSet *set, CfgWorkspace *w)
{
    for (char **k = w->key_digests; *k; k++) {
        if (!is_hex_digest(*k)) {
            add_fault(rd, "workspace", "keys_sha256: '%s' is not a SHA-256",
                      *k);
        }
        else if (g_hash_table_contains(set->keys, *k)) {
            add_fault(rd, "workspace", "keys_sha256: a key is used twice");
        }
        else {
            g_hash_table_insert(set->keys, *k, w);
        }
    }
}

/* Defaults of the template, overridden by the values of the workspace. */
static GHashTable *
collect_parameters(Reader *rd, GKeyFile *tpl, GKeyFile *values)
{
    GHashTable *params =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_auto(GStrv) names = g_key_file_get_keys(tpl, "parameters", NULL, NULL);
    for (char **n = names; n && *n; n++) {
        char *def = g_key_file_get_value(tpl, "parameters", *n, NULL);
        /* The value "required" means no default: the workspace must set it. */
        if (strcmp(def, "required") == 0) {
            g_free(def);
        }
        else {
            g_hash_table_replace(params, g_strdup(*n), def);
        }
    }
    g_auto(GStrv) given = g_key_file_get_keys(values, "values", NULL, NULL);
    for (char **n = given; n && *n; n++) {
        if (!g_key_file_has_key(tpl, "parameters", *n, NULL)) {
            add_fault(rd, "values", "%s: the template has no such parameter",
                      *n);
            continue;
        }
        g_hash_table_replace(params, g_strdup(*n),
                             g_key_file_get_value(values, "values", *n, NULL));
    }
    return params;
}

static void
read_workspace(Reader *rd, CfgSet *set, GKeyFile *tpl, const char *tpl_name,
               GKeyFile *kf)
{
    g_auto(GStrv) groups = g_key_file_get_groups(kf, NULL);
    for (char **g = groups; *g; g++) {
        if (strcmp(*g, "workspace") != 0 && strcmp(*g, "values") != 0) {
            add_fault(rd, *g, "unknown section");
        }
    }
    g_autoptr(GHashTable) head =
        read_section(rd, kf, "workspace", "workspace", values_rules);
    const char *name = g_hash_table_lookup(head, "name");
    if (strcmp(g_hash_table_lookup(head, "template"), tpl_name) != 0) {
        add_fault(rd, "workspace", "template: must be '%s'", tpl_name);
    }
    Reader wrd = {*name ? name : rd->where, rd->faults, NULL};
    wrd.params = collect_parameters(&wrd, tpl, kf);
    g_autoptr(GHashTable) values =
        read_section(&wrd, tpl, "workspace", "workspace", template_rules);
    CfgWorkspace *w = g_new0(CfgWorkspace, 1);
    w->name = g_strdup(name);
    w->template_name = g_strdup(tpl_name);
    w->key_digests = get_list(head, "keys_sha256");
    w->models = get_list(values, "models");
    w->services = get_list(values, "services");
    w->priority = get_uint(values, "priority");
    w->requests_per_second = get_uint(values, "requests_per_second");
    w->concurrency = get_uint(values, "concurrency");
    w->tokens_per_minute = get_uint(values, "tokens_per_minute");
    g_hash_table_destroy(wrd.params);
    if (g_hash_table_contains(set->workspaces, w->name)) {
        add_fault(rd, "workspace", "'%s' is defined twice", w->name);
        free_workspace(w);
        return;
    }
    add_keys(&wrd, set, w);
    g_hash_table_insert(set->workspaces, w->name, w);
}

static GKeyFile *
parse_text(Reader *rd, const char *text)
{
    GKeyFile *kf = g_key_file_new();
    g_autoptr(GError) err = NULL;
    if (!g_key_file_load_from_data(kf, text, strlen(text), G_KEY_FILE_NONE,
                                   &err)) {
        g_string_append_printf(rd->faults, "%s: %s\n", rd->where,
                               err->message);
        g_key_file_free(kf);
        return NULL;
    }
    return kf;
}

static void
read_source(CfgSet *set, const CfgSource *src, GString *faults)
{
    Reader rd = {src->name, faults, NULL};
    g_autoptr(GKeyFile) kf = parse_text(&rd, src->template_text);
    if (!kf) {
        return;
    }
    g_autoptr(GHashTable) head =
        read_section(&rd, kf, "template", "template", template_rules);
    if (strcmp(g_hash_table_lookup(head, "name"), src->name) != 0) {
        add_fault(&rd, "template", "name: must be '%s'", src->name);
    }
    Target t = {set, src->name, get_uint(head, "cold_second_cost"),
                get_uint(head, "idle_hour_cost")};
    g_auto(GStrv) groups = g_key_file_get_groups(kf, NULL);
    for (char **g = groups; *g; g++) {
        read_item(&rd, &t, kf, *g);
    }
    for (size_t i = 0; i < src->values_count; i++) {
        g_autofree char *where =
            g_strdup_printf("%s/values %zu", src->name, i + 1);
        Reader vrd = {where, faults, NULL};
        g_autoptr(GKeyFile) vkf = parse_text(&vrd, src->values_text[i]);
        if (vkf) {
            read_workspace(&vrd, set, kf, src->name, vkf);
        }
    }
}

/* ---- references between items ------------------------------------------- */

static void
check_upstreams(CfgSet *set, Reader *rd, const char *sec, const char *name,
                bool engine)
{
    const CfgUpstreams *u = cfg_find_upstreams(set, name);
    if (!u) {
        add_fault(rd, sec, "upstreams: no [upstreams %s]", name);
    }
    else if (u->engine != engine) {
        add_fault(rd, sec, "upstreams: '%s' is not %s", name,
                  engine ? "an engine" : "a service");
    }
}

static void
check_model(CfgSet *set, CfgModel *m, GString *faults)
{
    Reader rd = {m->template_name, faults, NULL};
    if (!m->base) {
        check_upstreams(set, &rd, m->name, m->upstreams, true);
        return;
    }
    const CfgModel *base = cfg_find_model(set, m->base);
    if (!base || base->base) {
        add_fault(&rd, m->name, "base: no [model %s]", m->base);
        return;
    }
    m->upstreams = g_strdup(base->upstreams);
}

static void
check_names(Reader *rd, char **names, GHashTable *table, const char *key)
{
    for (char **n = names; *n; n++) {
        if (strcmp(*n, "*") != 0 && !g_hash_table_contains(table, *n)) {
            add_fault(rd, "workspace", "%s: no '%s'", key, *n);
        }
    }
}

static int
compare_names(gconstpointer a, gconstpointer b)
{
    /* The name is the first member of every listed type. */
    return strcmp(**(char *const *const *)a, **(char *const *const *)b);
}

static GPtrArray *
sort_values(GHashTable *table)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer item;
    g_hash_table_iter_init(&it, table);
    while (g_hash_table_iter_next(&it, NULL, &item)) {
        g_ptr_array_add(list, item);
    }
    g_ptr_array_sort(list, compare_names);
    return list;
}

static void
check_references(CfgSet *set, GString *faults)
{
    for (guint i = 0; i < set->model_list->len; i++) {
        check_model(set, set->model_list->pdata[i], faults);
    }
    GHashTableIter it;
    gpointer item;
    g_hash_table_iter_init(&it, set->services);
    while (g_hash_table_iter_next(&it, NULL, &item)) {
        CfgService *s = item;
        Reader rd = {s->template_name, faults, NULL};
        check_upstreams(set, &rd, s->name, s->upstreams, false);
    }
    for (guint i = 0; i < set->workspace_list->len; i++) {
        CfgWorkspace *w = set->workspace_list->pdata[i];
        Reader rd = {w->name, faults, NULL};
        check_names(&rd, w->models, set->models, "models");
        check_names(&rd, w->services, set->services, "services");
    }
}

/* ---- the set ------------------------------------------------------------ */

CfgSet *
cfg_compile(const CfgSource *sources, size_t count, GString *faults)
{
    CfgSet *set = g_new0(CfgSet, 1);
    atomic_init(&set->refs, 1);
    set->models =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_model);
    set->services =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_service);
    set->upstreams =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_upstreams);
    set->workspaces =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_workspace);
    set->keys = g_hash_table_new(g_str_hash, g_str_equal);
    gsize before = faults->len;
    for (size_t i = 0; i < count; i++) {
        read_source(set, &sources[i], faults);
        set->version = MAX(set->version, sources[i].version);
    }
    set->model_list = sort_values(set->models);
    set->workspace_list = sort_values(set->workspaces);
    check_references(set, faults);
    if (faults->len > before) {
        cfg_unref(set);
        return NULL;
    }
    return set;
}

char *
cfg_read_template_name(const char *text)
{
    g_autoptr(GKeyFile) kf = g_key_file_new();
    if (!g_key_file_load_from_data(kf, text, strlen(text), G_KEY_FILE_NONE,
                                   NULL)) {
        return NULL;
    }
    char *name = g_key_file_get_value(kf, "template", "name", NULL);
    return name ? g_strstrip(name) : NULL;
}

CfgSet *
cfg_ref(CfgSet *s)
{
    atomic_fetch_add(&s->refs, 1);
    return s;
}

void
cfg_unref(CfgSet *s)
{
    if (!s || atomic_fetch_sub(&s->refs, 1) > 1) {
        return;
    }
    g_hash_table_destroy(s->keys);
    g_ptr_array_free(s->model_list, TRUE);
    g_ptr_array_free(s->workspace_list, TRUE);
    g_hash_table_destroy(s->workspaces);
    g_hash_table_destroy(s->upstreams);
    g_hash_table_destroy(s->services);
    g_hash_table_destroy(s->models);
    g_free(s);
}

uint64_t
cfg_get_version(const CfgSet *s)
{
    return s->version;
}

const CfgModel *
cfg_find_model(const CfgSet *s, const char *name)
{
    return g_hash_table_lookup(s->models, name);
}

const CfgService *
cfg_find_service(const CfgSet *s, const char *name)
{
    return g_hash_table_lookup(s->services, name);
}

const CfgUpstreams *
cfg_find_upstreams(const CfgSet *s, const char *name)
{
    return g_hash_table_lookup(s->upstreams, name);
}

const CfgWorkspace *
cfg_find_workspace(const CfgSet *s, const char *name)
{
    return g_hash_table_lookup(s->workspaces, name);
}

const CfgWorkspace *
cfg_authenticate(const CfgSet *s, const char *key)
{
    /* Digests are compared, so the timing reveals nothing of the key. */
    g_autofree char *hex = bg_digest_hex(key, strlen(key));
    return g_hash_table_lookup(s->keys, hex);
}

static bool
list_allows(char **list, const char *name)
{
    return g_strv_contains((const char *const *)list, "*") ||
           g_strv_contains((const char *const *)list, name);
}

bool
cfg_may_call_model(const CfgWorkspace *w, const char *model)
{
    return list_allows(w->models, model);
}

bool
cfg_may_call_service(const CfgWorkspace *w, const char *service)
{
    return list_allows(w->services, service);
}

GPtrArray *
cfg_list_models(const CfgSet *s)
{
    return s->model_list;
}

GPtrArray *
cfg_list_workspaces(const CfgSet *s)
{
    return s->workspace_list;
}

const char *
cfg_class_name(CfgClass class_)
{
    static const char *const names[] = {"lookup", "interactive", "batch"};
    return names[class_];
}
