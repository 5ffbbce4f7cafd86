/* Drives an aggregate of demand (dm) with scripted updates.  One command a
   line:

     at MS                        sets the time
     update SOURCE whole|delta    begins an update; its rows follow
     demand MODEL[/ADAPTER] WAITING RUNNING [ARRIVED HURRIED REFUSED]
     use UPSTREAM MODEL[/ADAPTER] RUNNING QUEUED
     began UPSTREAM COUNT         answers that began there
     end                          applies the update; prints "more waiting" if
                                  dm_apply returns true
     remove SOURCE
     silent LIFE_MS               expires sources without an update
     collect whole|changed        prints the sums, sorted
     sources                      prints their number */
#include "demand_aggregate.h"
#include "script.h"

#include <stdio.h>
#include <stdlib.h>

typedef struct {
    Dm *dm;
    DmDemand *update; /* being read */
    char *source;
    uint64_t now_ms;
} Script;

static uint32_t
get_number(char **words, int count, int at)
{
    return at < count ? (uint32_t)strtoul(words[at], NULL, 10) : 0;
}

static void
read_model_demand(const Script *s, char **words, int count)
{
    g_auto(GStrv) names = g_strsplit(words[1], "/", 2);
    DmModelDemand *w = dm_add_model_demand(s->update, names[0], names[1]);
    w->waiting = get_number(words, count, 2);
    w->running = get_number(words, count, 3);
    w->arrived = get_number(words, count, 4);
    w->tight_deadline = get_number(words, count, 5);
    w->refused = get_number(words, count, 6);
}

static void
read_use(const Script *s, char **words, int count)
{
    g_auto(GStrv) names = g_strsplit(words[2], "/", 2);
    DmUse *u = dm_add_use(s->update, words[1], names[0], names[1]);
    u->running = get_number(words, count, 3);
    u->queued = get_number(words, count, 4);
}

static void
apply_update(Script *s)
{
    if (dm_apply(s->dm, s->now_ms, s->source, s->update)) {
        puts("more waiting");
    }
    dm_destroy_demand(s->update);
    g_free(s->source);
}

static gint
compare_lines(gconstpointer a, gconstpointer b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

static void
print_sums(const DmDemand *d)
{
    g_autoptr(GPtrArray) lines = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < d->model_demands->len; i++) {
        const DmModelDemand *w = d->model_demands->pdata[i];
        g_ptr_array_add(
            lines, g_strdup_printf(
                       "demand %s%s%s waiting %u running %u arrived "
                       "%u hurried %u refused %u",
                       w->model, w->adapter ? "/" : "",
                       w->adapter ? w->adapter : "", w->waiting, w->running,
                       w->arrived, w->tight_deadline, w->refused));
    }
    for (guint i = 0; i < d->uses->len; i++) {
        const DmUse *u = d->uses->pdata[i];
        g_ptr_array_add(
            lines, g_strdup_printf(
                       "use %s %s%s%s running %u queued %u", u->upstream,
                       u->model, u->adapter ? "/" : "",
                       u->adapter ? u->adapter : "", u->running, u->queued));
    }
    for (guint i = 0; i < d->answer_starts->len; i++) {
        const DmAnswerStarts *b = d->answer_starts->pdata[i];
        g_ptr_array_add(lines,
                        g_strdup_printf("began %s %u", b->upstream, b->count));
    }
    g_ptr_array_sort(lines, compare_lines);
    printf("%s:\n", d->whole ? "all" : "changed");
    for (guint i = 0; i < lines->len; i++) {
        printf("  %s\n", (const char *)lines->pdata[i]);
    }
}

static bool
run_line(void *ctx, char **words, int count)
{
    Script *s = ctx;
    const char *verb = words[0];
    if (strcmp(verb, "at") == 0 && count == 2) {
        s->now_ms = strtoull(words[1], NULL, 10);
    }
    else if (strcmp(verb, "update") == 0 && count == 3) {
        s->source = g_strdup(words[1]);
        s->update = dm_create_demand(strcmp(words[2], "whole") == 0);
    }
    else if (strcmp(verb, "demand") == 0 && count >= 4) {
        read_model_demand(s, words, count);
    }
    else if (strcmp(verb, "use") == 0 && count == 5) {
        read_use(s, words, count);
    }
    else if (strcmp(verb, "began") == 0 && count == 3) {
        dm_add_answer_starts(s->update, words[1], get_number(words, count, 2));
    }
    else if (strcmp(verb, "end") == 0) {
        apply_update(s);
    }
    else if (strcmp(verb, "remove") == 0 && count == 2) {
        dm_remove_source(s->dm, words[1]);
    }
    else if (strcmp(verb, "silent") == 0 && count == 2) {
        dm_expire_sources(s->dm, s->now_ms, get_number(words, count, 1));
    }
    else if (strcmp(verb, "collect") == 0 && count == 2) {
        DmDemand *d = dm_collect(s->dm, strcmp(words[1], "whole") == 0);
        print_sums(d);
        dm_destroy_demand(d);
    }
    else if (strcmp(verb, "sources") == 0) {
        printf("%u sources\n", dm_count_sources(s->dm));
    }
    else {
        return false;
    }
    return true;
}

int
main(void)
{
    Script s = {.dm = dm_create()};
    int status = script_run(run_line, &s);
    dm_destroy(s.dm);
    return status;
}
