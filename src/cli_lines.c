/* Reads structured logs, one JSON object a line. */
#include "cli.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void
free_line(void *p)
{
    CliLine *l = p;
    json_decref(l->fields);
    g_free(l);
}

const char *
cli_get_text(const json_t *fields, const char *name)
{
    const char *text = json_string_value(json_object_get(fields, name));
    return text ? text : "";
}

/* Log collectors may put a prefix before the object; lines without an object
   that has an event are skipped. */
static void
add_line(GPtrArray *all, const char *text)
{
    const char *object = strchr(text, '{');
    json_t *fields = object ? json_loads(object, 0, NULL) : NULL;
    if (!json_is_object(fields) || !json_object_get(fields, "event")) {
        json_decref(fields);
        return;
    }
    CliLine *l = g_new0(CliLine, 1);
    l->t_ms = json_integer_value(json_object_get(fields, "t_ms"));
    l->read_index = all->len;
    l->fields = fields;
    g_ptr_array_add(all, l);
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
        add_line(all, text);
    }
    free(text);
    fclose(f);
    return true;
}

static gint
compare_lines(gconstpointer a, gconstpointer b)
{
    const CliLine *x = *(CliLine *const *)a;
    const CliLine *y = *(CliLine *const *)b;
    if (x->t_ms != y->t_ms) {
        return x->t_ms < y->t_ms ? -1 : 1;
    }
    return x->read_index < y->read_index ? -1 : x->read_index > y->read_index;
}

GPtrArray *
cli_read_lines(char **paths, int count)
{
    GPtrArray *all = g_ptr_array_new_with_free_func(free_line);
    for (int i = 0; i < count; i++) {
        if (!read_file(all, paths[i])) {
            g_ptr_array_unref(all);
            return NULL;
        }
    }
    g_ptr_array_sort(all, compare_lines);
    return all;
}
