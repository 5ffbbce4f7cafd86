/* bglade explain: traces one request through the logs of several VMs. */
#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* What the request's own lines name, and the time that they span. */
typedef struct {
    const char *id;
    const char *model;   /* or "" */
    const char *request; /* digest, alike for each of its copies, or "" */
    const char *parts;   /* keys of its prompt's parts, or "" */
    GHashTable *nodes;   /* set of VMs that handled it */
    GHashTable *upstreams;
    int64_t from_ms;
    int64_t to_ms;
} Trace;

static void
add_own_line(Trace *s, const CliLine *e)
{
    s->from_ms = s->from_ms ? MIN(s->from_ms, e->t_ms) : e->t_ms;
    s->to_ms = MAX(s->to_ms, e->t_ms);
    const char *took = "took_ms";
    int64_t took_ms = json_integer_value(json_object_get(e->fields, took));
    s->from_ms = MIN(s->from_ms, e->t_ms - took_ms);
    g_hash_table_add(s->nodes, (void *)cli_get_text(e->fields, "node"));
    g_hash_table_add(s->upstreams,
                     (void *)cli_get_text(e->fields, "upstream"));
    if (*cli_get_text(e->fields, "model")) {
        s->model = cli_get_text(e->fields, "model");
    }
    if (*cli_get_text(e->fields, "request")) {
        s->request = cli_get_text(e->fields, "request");
    }
    if (*cli_get_text(e->fields, "parts")) {
        s->parts = cli_get_text(e->fields, "parts");
    }
}

/* An upstream that held it back had asked its VM for the rest before. */
static bool
is_rest(const Trace *s, const CliLine *e)
{
    int64_t rest_ms =
        json_integer_value(json_object_get(e->fields, "rest_ms"));
    return rest_ms > 0 && e->t_ms <= s->to_ms &&
           e->t_ms + rest_ms >= s->from_ms &&
           g_hash_table_contains(s->nodes, cli_get_text(e->fields, "node")) &&
           g_hash_table_contains(s->upstreams,
                                 cli_get_text(e->fields, "upstream"));
}

/* Lines within the time of the request that may explain its result: orders for
   its model, and events of its upstreams and VMs.  Regular reports of
   upstreams are left out. */
static bool
is_context(const Trace *s, const CliLine *e)
{
    const char *event = cli_get_text(e->fields, "event");
    if (strcmp(event, "suspect") == 0) {
        /* Ends before it came explain why it was stopped. */
        const char *key = cli_get_text(e->fields, "request");
        return *key && (strcmp(key, s->request) == 0 || strstr(s->parts, key));
    }
    if (strcmp(event, "upstream-rest") == 0) {
        return is_rest(s, e);
    }
    if (e->t_ms < s->from_ms || e->t_ms > s->to_ms ||
        *cli_get_text(e->fields, "id")) {
        return false;
    }
    if (strcmp(event, "order-end") == 0) {
        return *s->model &&
               strcmp(cli_get_text(e->fields, "model"), s->model) == 0;
    }
    if (g_str_has_prefix(event, "upstream-")) {
        const char *upstream = cli_get_text(e->fields, "upstream");
        return *upstream && g_hash_table_contains(s->upstreams, upstream) &&
               strcmp(event, "upstream-report") != 0;
    }
    return g_hash_table_contains(s->nodes, cli_get_text(e->fields, "node"));
}

/* A line of the request, or of an attempt that takes up its stream. */
static bool
is_own(const CliLine *e, const char *id)
{
    return strcmp(cli_get_text(e->fields, "id"), id) == 0 ||
           strcmp(cli_get_text(e->fields, "resumes"), id) == 0;
}

static GPtrArray *
select_trace(const GPtrArray *all, const char *id)
{
    Trace s = {.id = id, .model = "", .request = "", .parts = ""};
    s.nodes = g_hash_table_new(g_str_hash, g_str_equal);
    s.upstreams = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < all->len; i++) {
        const CliLine *e = all->pdata[i];
        if (is_own(e, id)) {
            add_own_line(&s, e);
        }
    }
    GPtrArray *out = g_ptr_array_new();
    for (guint i = 0; i < all->len && s.from_ms; i++) {
        CliLine *e = all->pdata[i];
        if (is_own(e, id) || is_context(&s, e)) {
            g_ptr_array_add(out, e);
        }
    }
    g_hash_table_destroy(s.nodes);
    g_hash_table_destroy(s.upstreams);
    return out;
}

static void
print_text(const GPtrArray *trace)
{
    int64_t first_ms = ((CliLine *)trace->pdata[0])->t_ms;
    for (guint i = 0; i < trace->len; i++) {
        const CliLine *e = trace->pdata[i];
        printf("%7lld ms  %s  %s", (long long)(e->t_ms - first_ms),
               cli_get_text(e->fields, "node"),
               cli_get_text(e->fields, "event"));
        const char *field;
        json_t *value;
        json_object_foreach(e->fields, field, value)
        {
            static const char *const shown[] = {"t_ms", "up_ms", "node",
                                                "event", "id"};
            bool skip = false;
            for (size_t k = 0; k < G_N_ELEMENTS(shown); k++) {
                skip = skip || strcmp(field, shown[k]) == 0;
            }
            if (!skip) {
                char *text = json_dumps(value, JSON_ENCODE_ANY);
                printf(" %s=%s", field, text);
                free(text);
            }
        }
        putchar('\n');
    }
}

static void
print_json(const GPtrArray *trace)
{
    json_t *list = json_array();
    for (guint i = 0; i < trace->len; i++) {
        json_array_append(list, ((CliLine *)trace->pdata[i])->fields);
    }
    char *text = json_dumps(list, JSON_INDENT(1));
    puts(text);
    free(text);
    json_decref(list);
}

int
cli_explain(const CliArguments *a)
{
    if (a->word_count < 3) {
        fprintf(stderr,
                "bglade: explain needs a request ID and at least one file\n");
        return CLI_INVALID;
    }
    g_autoptr(GPtrArray) all = cli_read_lines(a->words + 2, a->word_count - 2);
    if (!all) {
        return CLI_INVALID;
    }
    g_autoptr(GPtrArray) trace = select_trace(all, a->words[1]);
    if (trace->len == 0) {
        fprintf(stderr, "bglade: no log line has the request ID %s\n",
                a->words[1]);
        return CLI_FAILED;
    }
    if (a->json) {
        print_json(trace);
    }
    else {
        print_text(trace);
    }
    return CLI_GOOD;
}
