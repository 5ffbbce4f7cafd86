/* bglade explain: the story of one request from the logs of several VMs. */
#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
    int64_t t_ms; /* wall time of the VM that wrote it */
    guint order;  /* as read: lines of one file stay in order */
    json_t *line;
} Entry;

static void
free_entry(void *p)
{
    Entry *e = p;
    json_decref(e->line);
    g_free(e);
}

static const char *
get_text(const json_t *line, const char *field)
{
    const char *text = json_string_value(json_object_get(line, field));
    return text ? text : "";
}

/* A collector may have put something before the object. */
static void
take_line(GPtrArray *all, const char *text)
{
    const char *object = strchr(text, '{');
    json_t *line = object ? json_loads(object, 0, NULL) : NULL;
    if (!json_is_object(line) || !json_object_get(line, "event")) {
        json_decref(line);
        return;
    }
    Entry *e = g_new0(Entry, 1);
    e->t_ms = json_integer_value(json_object_get(line, "t_ms"));
    e->order = all->len;
    e->line = line;
    g_ptr_array_add(all, e);
}

static bool
read_file(GPtrArray *all, const char *path)
{
    FILE *f = fopen(path, "r");
    if (!f) {
        perror(path);
        return false;
    }
    char *text = NULL;
    size_t size = 0;
    while (getline(&text, &size, f) >= 0) {
        take_line(all, text);
    }
    free(text);
    fclose(f);
    return true;
}

static gint
compare_entries(gconstpointer a, gconstpointer b)
{
    const Entry *x = *(Entry *const *)a;
    const Entry *y = *(Entry *const *)b;
    if (x->t_ms != y->t_ms) {
        return x->t_ms < y->t_ms ? -1 : 1;
    }
    return x->order < y->order ? -1 : x->order > y->order;
}

/* What the request's own lines name, and when. */
typedef struct {
    const char *id;
    const char *model; /* or "" */
    GHashTable *nodes; /* set of VMs that had it */
    GHashTable *upstreams;
    int64_t from_ms;
    int64_t to_ms;
} Story;

static void
note_own_line(Story *s, const Entry *e)
{
    s->from_ms = s->from_ms ? MIN(s->from_ms, e->t_ms) : e->t_ms;
    s->to_ms = MAX(s->to_ms, e->t_ms);
    const char *took = "took_ms";
    int64_t took_ms = json_integer_value(json_object_get(e->line, took));
    s->from_ms = MIN(s->from_ms, e->t_ms - took_ms);
    g_hash_table_add(s->nodes, (void *)get_text(e->line, "node"));
    g_hash_table_add(s->upstreams, (void *)get_text(e->line, "upstream"));
    if (*get_text(e->line, "model")) {
        s->model = get_text(e->line, "model");
    }
}

/* Lines of the same time that may have decided it: orders for its model, and
   what befell its upstreams and its VMs. */
static bool
is_context(const Story *s, const Entry *e)
{
    const char *event = get_text(e->line, "event");
    if (e->t_ms < s->from_ms || e->t_ms > s->to_ms ||
        *get_text(e->line, "id")) {
        return false;
    }
    if (strcmp(event, "order-end") == 0) {
        return *s->model && strcmp(get_text(e->line, "model"), s->model) == 0;
    }
    if (g_str_has_prefix(event, "upstream-")) {
        const char *upstream = get_text(e->line, "upstream");
        return *upstream && g_hash_table_contains(s->upstreams, upstream) &&
               strcmp(event, "upstream-report") != 0;
    }
    return g_hash_table_contains(s->nodes, get_text(e->line, "node"));
}

static GPtrArray *
select_story(const GPtrArray *all, const char *id)
{
    Story s = {.id = id, .model = ""};
    s.nodes = g_hash_table_new(g_str_hash, g_str_equal);
    s.upstreams = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < all->len; i++) {
        const Entry *e = all->pdata[i];
        if (strcmp(get_text(e->line, "id"), id) == 0) {
            note_own_line(&s, e);
        }
    }
    GPtrArray *out = g_ptr_array_new();
    for (guint i = 0; i < all->len && s.from_ms; i++) {
        Entry *e = all->pdata[i];
        if (strcmp(get_text(e->line, "id"), id) == 0 || is_context(&s, e)) {
            g_ptr_array_add(out, e);
        }
    }
    g_hash_table_destroy(s.nodes);
    g_hash_table_destroy(s.upstreams);
    return out;
}

static void
print_for_people(const GPtrArray *story)
{
    int64_t first_ms = ((Entry *)story->pdata[0])->t_ms;
    for (guint i = 0; i < story->len; i++) {
        const Entry *e = story->pdata[i];
        printf("%7lld ms  %s  %s", (long long)(e->t_ms - first_ms),
               get_text(e->line, "node"), get_text(e->line, "event"));
        const char *field;
        json_t *value;
        json_object_foreach(e->line, field, value)
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
print_json(const GPtrArray *story)
{
    json_t *list = json_array();
    for (guint i = 0; i < story->len; i++) {
        json_array_append(list, ((Entry *)story->pdata[i])->line);
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
        fprintf(stderr, "bglade: explain ID FILE...\n");
        return CLI_INVALID;
    }
    g_autoptr(GPtrArray) all = g_ptr_array_new_with_free_func(free_entry);
    for (int i = 2; i < a->word_count; i++) {
        if (!read_file(all, a->words[i])) {
            return CLI_INVALID;
        }
    }
    g_ptr_array_sort(all, compare_entries);
    g_autoptr(GPtrArray) story = select_story(all, a->words[1]);
    if (story->len == 0) {
        fprintf(stderr, "bglade: no line about %s\n", a->words[1]);
        return CLI_FAILED;
    }
    if (a->json) {
        print_json(story);
    }
    else {
        print_for_people(story);
    }
    return CLI_GOOD;
}
