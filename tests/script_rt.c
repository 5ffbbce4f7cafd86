/* Runs the routing core on a script from standard input, one event a line, and
   prints its decisions.  It is used by the scripted tests, the fuzz test and
   the benchmark of upstream selection.

     set KEY VALUE: before the first event; the keys are in run_set
     at MS: sets the clock; a tick follows
     state CENTRE EPOCH UPSTREAM ADDRESS STATE KNOWN INFLIGHT MODELS: STATE is
   live, leaving or gone, KNOWN known or unknown, MODELS a,b or "-"
     arrive ID MODEL DEPLOYMENT WORKSPACE CLASS PRIORITY WAIT_MS LOAD_MS COST
   AFFINITY AGAIN: MODEL may be MODEL/BASE, or "-" for a service; AGAIN is
   once or again
     done ID OUTCOME FLAG: OUTCOME is ok, not_sent, turned_away, broken or
   cancelled, FLAG leaving, silent, late, died or "-"
     death ID VERDICT: VERDICT is suspect or quarantined
     cancel ID
     probe UPSTREAM ADDRESS HEALTH: HEALTH is well or ill
     left UPSTREAM ADDRESS: announced by another router
     no_room MODEL RETRY_MS
     drain, wants, count */
#include "router.h"
#include "script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_WORDS 16

typedef struct {
    RtParams params;
    RtCore *core;
    uint64_t now_ms;
} Script;

static void
print_send(void *ctx, uint64_t id, const char *upstream, const char *address,
           uint32_t long_run_ms)
{
    (void)ctx;
    (void)long_run_ms;
    printf("send %llu %s %s\n", (unsigned long long)id, upstream, address);
}

static void
print_refuse(void *ctx, uint64_t id, RtReason reason, uint64_t retry_after_ms)
{
    (void)ctx;
    printf("refuse %llu %llu %s\n", (unsigned long long)id,
           (unsigned long long)retry_after_ms, rt_reason_name(reason));
}

static void
print_finish(void *ctx, uint64_t id)
{
    (void)ctx;
    printf("finish %llu\n", (unsigned long long)id);
}

static void
print_probe(void *ctx, const char *upstream, const char *address)
{
    (void)ctx;
    printf("probe %s %s\n", upstream, address);
}

static void
print_leaving(void *ctx, const char *upstream, const char *address)
{
    (void)ctx;
    printf("left %s %s\n", upstream, address);
}

static uint64_t
get_number(const char *word)
{
    return strtoull(word, NULL, 10);
}

static int
find_word(const char *const *words, size_t count, const char *word)
{
    for (size_t i = 0; i < count; i++) {
        if (strcmp(words[i], word) == 0) {
            return (int)i;
        }
    }
    return 0;
}

static void
start_core(Script *s)
{
    RtOutput out = {s,           print_send,   print_refuse, print_finish,
                    print_probe, print_leaving};
    if (!s->core) {
        s->core = rt_create(&s->params, &out);
    }
}

static void
run_set(Script *s, char **w)
{
    RtParams *p = &s->params;
    const struct {
        const char *key;
        uint32_t *value;
    } settings[] = {{"per_upstream", &p->up.per_upstream},
                    {"eject_failures", &p->up.eject_failures},
                    {"eject_ms", &p->up.eject_ms},
                    {"return_ms", &p->up.return_ms},
                    {"max_lookup", &p->max_waiting[CFG_LOOKUP]},
                    {"max_interactive", &p->max_waiting[CFG_INTERACTIVE]},
                    {"max_batch", &p->max_waiting[CFG_BATCH]},
                    {"retry_percent", &p->retry_percent},
                    {"max_sends", &p->max_sends}};
    for (size_t i = 0; i < G_N_ELEMENTS(settings); i++) {
        if (strcmp(settings[i].key, w[1]) == 0) {
            *settings[i].value = (uint32_t)get_number(w[2]);
        }
    }
}

static void
run_at(Script *s, char **w)
{
    s->now_ms = get_number(w[1]);
    rt_on_tick(s->core, s->now_ms);
}

static void
run_state(Script *s, char **w)
{
    Bg__UpstreamState u = BG__UPSTREAM_STATE__INIT;
    Bg__UpstreamState *list[] = {&u};
    Bg__Resident residents[MAX_WORDS];
    Bg__Resident *loaded[MAX_WORDS];
    u.data_centre = w[1];
    u.upstream = w[3];
    u.address = w[4];
    u.deployment = "lm";
    u.leaving = strcmp(w[5], "leaving") == 0;
    u.gone = strcmp(w[5], "gone") == 0;
    u.known = strcmp(w[6], "known") == 0;
    u.reported_inflight = (uint32_t)get_number(w[7]);
    u.residents = loaded;
    g_auto(GStrv) models = g_strsplit(w[8], ",", MAX_WORDS);
    for (char **m = models; *m && strcmp(*m, "-") != 0; m++) {
        bg__resident__init(&residents[u.n_residents]);
        residents[u.n_residents].model = *m;
        loaded[u.n_residents] = &residents[u.n_residents];
        u.n_residents++;
    }
    Bg__Residency r = BG__RESIDENCY__INIT;
    r.data_centre = w[1];
    r.epoch = get_number(w[2]);
    r.upstreams = list;
    r.n_upstreams = 1;
    rt_on_residency(s->core, s->now_ms, &r);
}

static void
run_arrive(Script *s, char **w)
{
    static const char *const classes[] = {"lookup", "interactive", "batch"};
    char *base = strchr(w[2], '/');
    if (base) {
        *base++ = '\0';
    }
    RtRequest r = {.id = get_number(w[1]),
                   .model = strcmp(w[2], "-") ? w[2] : NULL,
                   .base = base,
                   .deployment = w[3],
                   .workspace = w[4],
                   .class_ = (CfgClass)find_word(classes, 3, w[5]),
                   .priority = (uint32_t)get_number(w[6]),
                   .deadline_ms = s->now_ms + get_number(w[7]),
                   .load_ms = (uint32_t)get_number(w[8]),
                   .cost = (uint32_t)get_number(w[9]),
                   .affinity = get_number(w[10]),
                   .once = strcmp(w[11], "once") == 0};
    rt_on_arrive(s->core, s->now_ms, &r);
}

static void
run_done(Script *s, char **w)
{
    static const char *const outcomes[] = {"ok", "not_sent", "turned_away",
                                           "broken", "cancelled"};
    RtResult result = {.outcome = (RtOutcome)find_word(outcomes, 5, w[2]),
                       .leaving = strcmp(w[3], "leaving") == 0,
                       .silent_connection = strcmp(w[3], "silent") == 0,
                       .died = strcmp(w[3], "died") == 0,
                       .late = strcmp(w[3], "late") == 0};
    rt_on_done(s->core, s->now_ms, get_number(w[1]), &result);
}

static void
run_cancel(Script *s, char **w)
{
    if (rt_on_cancel(s->core, s->now_ms, get_number(w[1]))) {
        printf("dropped %s\n", w[1]);
    }
}

static void
run_probe(Script *s, char **w)
{
    rt_on_probe(s->core, s->now_ms, w[1], w[2], strcmp(w[3], "well") == 0);
}

static void
run_death(Script *s, char **w)
{
    rt_on_death(s->core, get_number(w[1]), strcmp(w[2], "quarantined") == 0);
}

static void
run_left(Script *s, char **w)
{
    rt_on_leaving(s->core, s->now_ms, w[1], w[2]);
}

static void
run_no_room(Script *s, char **w)
{
    rt_on_demand_refused(s->core, s->now_ms, w[1], get_number(w[2]));
}

static void
run_drain(Script *s, char **w)
{
    (void)w;
    rt_on_drain(s->core, s->now_ms);
}

static void
run_wants(Script *s, char **w)
{
    (void)w;
    Bg__Demand *d = rt_make_demand(s->core, s->now_ms, "node");
    for (size_t i = 0; i < d->n_wants; i++) {
        printf("want %s %u slack %llu priority %u\n", d->wants[i]->model,
               d->wants[i]->waiting, (unsigned long long)d->wants[i]->slack_ms,
               d->wants[i]->priority);
    }
    bg__demand__free_unpacked(d, NULL);
}

static void
run_count(Script *s, char **w)
{
    (void)w;
    printf("%u\n", rt_count_requests(s->core));
}

typedef struct {
    const char *name;
    int words; /* with the command itself */
    void (*run)(Script *s, char **w);
} Command;

static const Command commands[] = {
    {"set", 3, run_set},     {"at", 2, run_at},
    {"state", 9, run_state}, {"arrive", 12, run_arrive},
    {"done", 4, run_done},   {"cancel", 2, run_cancel},
    {"probe", 4, run_probe}, {"no_room", 3, run_no_room},
    {"drain", 1, run_drain}, {"wants", 1, run_wants},
    {"count", 1, run_count}, {"left", 3, run_left},
    {"death", 3, run_death}};

static void
run_line(Script *s, char *line)
{
    char *words[MAX_WORDS] = {0};
    int count = script_split(line, words, MAX_WORDS);
    if (count == 0) {
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, words[0]) == 0 &&
            commands[i].words == count) {
            if (commands[i].run != run_set) {
                start_core(s);
            }
            commands[i].run(s, words);
            return;
        }
    }
    printf("no such command: %s\n", words[0]);
}

int
main(void)
{
    Script s = {.params = {.up = {.data_centre = "dc1",
                                  .per_upstream = 2,
                                  .eject_failures = 3,
                                  .eject_ms = 1000,
                                  .return_ms = 500,
                                  .seed = 1},
                           .max_waiting = {4, 4, 4},
                           .retry_percent = 20,
                           .max_sends = 3,
                           .early_refusal = true,
                           .seed = 1},
                .now_ms = 1000};
    char line[4096];
    while (fgets(line, sizeof(line), stdin)) {
        bool sync = line[0] == '.';
        if (sync) {
            /* Marks the end of the output so far, for the fuzz test. */
            puts(".");
            fflush(stdout);
        }
        else {
            run_line(&s, line);
        }
    }
    rt_destroy(s.core);
    return 0;
}
