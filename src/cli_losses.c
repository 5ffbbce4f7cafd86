/* bglade losses: counts late and failed requests in the logs of all gateways:
   the reasons by route and by workspace, streams that paused too long by
   upstream, waits and refusals by model, and periods without any order while
   requests waited for a model. */
#include "cli.h"

#include "hist.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_PRINTED 8         /* upstreams and models that are printed */
#define MIN_ORDER_GAP_MS 2000 /* shorter periods are not printed */

/* Requests of a route or of a workspace. */
typedef struct {
    uint32_t total;
    GHashTable *reasons; /* text -> count */
} Group;

typedef struct {
    Hist *wait_us; /* from the start of a wait for the model to the send */
    uint32_t refused;
} Model;

typedef struct {
    GHashTable *routes;     /* name -> Group */
    GHashTable *workspaces; /* name -> Group */
    GHashTable *models;     /* name -> Model */
    GHashTable *pauses;     /* upstream -> count of late streams */
    GHashTable *waiting;    /* request id -> CliLine of its wait for a model */
    int64_t order_ms;       /* of the last accepted order; 0: none */
    bool model_awaited;     /* a request waited for a model since order_ms */
} Losses;

static void
free_group(void *p)
{
    g_hash_table_destroy(((Group *)p)->reasons);
    g_free(p);
}

static void
free_model(void *p)
{
    hist_destroy(((Model *)p)->wait_us);
    g_free(p);
}

static void
add_count(GHashTable *counts, const char *key)
{
    guint n = GPOINTER_TO_UINT(g_hash_table_lookup(counts, key));
    g_hash_table_insert(counts, g_strdup(key), GUINT_TO_POINTER(n + 1));
}

static void
add_request(GHashTable *groups, const char *name, const char *reason)
{
    Group *g = g_hash_table_lookup(groups, name);
    if (!g) {
        g = g_new0(Group, 1);
        g->reasons =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_hash_table_insert(groups, g_strdup(name), g);
    }
    g->total++;
    add_count(g->reasons, reason);
}

static Model *
get_model(Losses *l, const char *name)
{
    Model *m = g_hash_table_lookup(l->models, name);
    if (!m) {
        m = g_new0(Model, 1);
        m->wait_us = hist_create();
        g_hash_table_insert(l->models, g_strdup(name), m);
    }
    return m;
}

static char *
describe_result(const json_t *f)
{
    const char *outcome = cli_get_text(f, "outcome");
    const char *late = cli_get_text(f, "late");
    const char *waited = cli_get_text(f, "waited_for");
    if (strcmp(outcome, "answered") != 0) {
        return g_strdup_printf("%s: %s", outcome, cli_get_text(f, "why"));
    }
    if (!*late) {
        return g_strdup("in time");
    }
    return g_strdup_printf("late by %s%s%s", late,
                           *waited ? ", waited for " : "", waited);
}

static void
count_result(Losses *l, const json_t *f)
{
    const char *route = cli_get_text(f, "route");
    if (!*route) {
        return;
    }
    const char *workspace = cli_get_text(f, "workspace");
    g_autofree char *reason = describe_result(f);
    add_request(l->routes, route, reason);
    if (*workspace) {
        add_request(l->workspaces, workspace, reason);
    }
    if (strstr(cli_get_text(f, "late"), "pause")) {
        add_count(l->pauses, cli_get_text(f, "gap_upstream"));
    }
    if (*cli_get_text(f, "model") &&
        strcmp(cli_get_text(f, "outcome"), "refused") == 0) {
        get_model(l, cli_get_text(f, "model"))->refused++;
    }
}

static void
begin_wait(Losses *l, const CliLine *line)
{
    if (strcmp(cli_get_text(line->fields, "for"), "model") == 0) {
        g_hash_table_replace(l->waiting,
                             (void *)cli_get_text(line->fields, "id"),
                             (void *)line);
        l->model_awaited = true;
    }
}

static void
end_wait(Losses *l, const CliLine *line)
{
    const char *id = cli_get_text(line->fields, "id");
    const CliLine *wait = g_hash_table_lookup(l->waiting, id);
    if (wait) {
        Model *m = get_model(l, cli_get_text(wait->fields, "model"));
        hist_add(m->wait_us, (uint64_t)(line->t_ms - wait->t_ms) * 1000);
        g_hash_table_remove(l->waiting, id);
    }
}

/* While requests wait for models the leader sends orders all the time.  A long
   period without one means that no VM could place models. */
static void
count_order(Losses *l, const CliLine *line)
{
    if (json_integer_value(json_object_get(line->fields, "status")) != 202) {
        return;
    }
    int64_t gap_ms = l->order_ms ? line->t_ms - l->order_ms : 0;
    if (l->model_awaited && gap_ms >= MIN_ORDER_GAP_MS) {
        printf("no order for %lld ms until %lld\n", (long long)gap_ms,
               (long long)line->t_ms);
    }
    l->order_ms = line->t_ms;
    l->model_awaited = false;
}

static void
count_line(Losses *l, const CliLine *line)
{
    const char *event = cli_get_text(line->fields, "event");
    if (strcmp(event, "request-end") == 0) {
        count_result(l, line->fields);
    }
    else if (strcmp(event, "request-waits") == 0) {
        begin_wait(l, line);
    }
    else if (strcmp(event, "request-sent") == 0) {
        end_wait(l, line);
    }
    else if (strcmp(event, "order-end") == 0) {
        count_order(l, line);
    }
}

/* ---- printing ----------------------------------------------------------- */

static gint
compare_names(gconstpointer a, gconstpointer b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

static GPtrArray *
list_names(GHashTable *table)
{
    GPtrArray *names = g_ptr_array_new();
    GHashTableIter it;
    gpointer k;
    g_hash_table_iter_init(&it, table);
    while (g_hash_table_iter_next(&it, &k, NULL)) {
        g_ptr_array_add(names, k);
    }
    g_ptr_array_sort(names, compare_names);
    return names;
}

static gint
compare_counts(gconstpointer a, gconstpointer b, gpointer counts)
{
    const char *x = *(char *const *)a;
    const char *y = *(char *const *)b;
    guint nx = GPOINTER_TO_UINT(g_hash_table_lookup(counts, x));
    guint ny = GPOINTER_TO_UINT(g_hash_table_lookup(counts, y));
    return nx != ny ? (nx > ny ? -1 : 1) : strcmp(x, y);
}

static void
print_counts(GHashTable *counts, guint max, const char *indent)
{
    g_autoptr(GPtrArray) names = list_names(counts);
    g_ptr_array_sort_with_data(names, compare_counts, counts);
    for (guint i = 0; i < names->len && i < max; i++) {
        printf("%s%7u  %s\n", indent,
               GPOINTER_TO_UINT(g_hash_table_lookup(counts, names->pdata[i])),
               (const char *)names->pdata[i]);
    }
}

static gint
compare_models(gconstpointer a, gconstpointer b, gpointer models)
{
    const Model *x = g_hash_table_lookup(models, *(char *const *)a);
    const Model *y = g_hash_table_lookup(models, *(char *const *)b);
    uint64_t nx = hist_count(x->wait_us) + x->refused;
    uint64_t ny = hist_count(y->wait_us) + y->refused;
    return nx != ny ? (nx > ny ? -1 : 1) : compare_names(a, b);
}

static void
print_models(const Losses *l)
{
    g_autoptr(GPtrArray) names = list_names(l->models);
    g_ptr_array_sort_with_data(names, compare_models, l->models);
    puts("models, by callers that waited for them or were refused");
    for (guint i = 0; i < names->len && i < MAX_PRINTED; i++) {
        const Model *m = g_hash_table_lookup(l->models, names->pdata[i]);
        printf("  %s: %llu waited, median %llu ms, 95 in 100 %llu ms; %u "
               "refused\n",
               (const char *)names->pdata[i],
               (unsigned long long)hist_count(m->wait_us),
               (unsigned long long)hist_quantile(m->wait_us, 500) / 1000,
               (unsigned long long)hist_quantile(m->wait_us, 950) / 1000,
               m->refused);
    }
}

static void
print_groups(GHashTable *groups, const char *what)
{
    g_autoptr(GPtrArray) names = list_names(groups);
    for (guint i = 0; i < names->len; i++) {
        const Group *g = g_hash_table_lookup(groups, names->pdata[i]);
        printf("%s %s: %u requests\n", what, (const char *)names->pdata[i],
               g->total);
        print_counts(g->reasons, G_MAXUINT, "  ");
    }
}

static void
print_losses(const Losses *l)
{
    print_groups(l->routes, "route");
    print_groups(l->workspaces, "workspace");
    puts("upstreams, by streams that paused too long there");
    print_counts(l->pauses, MAX_PRINTED, "  ");
    print_models(l);
}

int
cli_losses(const CliArguments *a)
{
    if (a->word_count < 2) {
        fprintf(stderr, "bglade: losses needs at least one file\n");
        return CLI_INVALID;
    }
    g_autoptr(GPtrArray) all = cli_read_lines(a->words + 1, a->word_count - 1);
    if (!all) {
        return CLI_INVALID;
    }
    Losses l = {
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_group),
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_group),
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_model),
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        g_hash_table_new(g_str_hash, g_str_equal),
        0,
        false};
    for (guint i = 0; i < all->len; i++) {
        count_line(&l, all->pdata[i]);
    }
    print_losses(&l);
    g_hash_table_destroy(l.routes);
    g_hash_table_destroy(l.workspaces);
    g_hash_table_destroy(l.models);
    g_hash_table_destroy(l.pauses);
    g_hash_table_destroy(l.waiting);
    return CLI_GOOD;
}
