/* Runs the limits of several routers on a script from standard input, which
   also delivers the messages between them.  One event a line:

     routers COUNT LEASE_MS REQUESTS TOKENS CONCURRENCY   first
     at MS                   sets the clock
     take ROUTER TOKENS      lim_admit; prints "taken" or "refused RETRY_MS"
     give ROUTER TOKENS USED lim_release
     deliver|drop|double N   the Nth message in transit, from 0; double: it is
                             delivered and stays in transit
     restart ROUTER          replaces it by a new process
     shares                  prints the sum of the shares of each limit */
#include "lim.h"
#include "script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_ROUTERS 16
#define WORKSPACE "w"

typedef struct Script Script;

typedef struct {
    Script *script;
    int index;
    char name[16];
    uint32_t generation;
    Lim *lim;
} Router;

/* A message in transit, an ask or a loan. */
typedef struct {
    char from[16];
    char to[16];
    bool is_loan;
    uint32_t kind;
    uint64_t amount;
    uint64_t ask_id;
} Message;

struct Script {
    Router routers[MAX_ROUTERS];
    int count;
    LimParams params;
    uint32_t limits[LIM_KINDS];
    uint64_t now_ms;
    GPtrArray *messages;
};

static void
send_to(Script *s, const char *from, const char *to, const Message *m)
{
    Message *copy = g_memdup2(m, sizeof(*m));
    g_strlcpy(copy->from, from, sizeof(copy->from));
    g_strlcpy(copy->to, to, sizeof(copy->to));
    g_ptr_array_add(s->messages, copy);
}

static void
take_ask(void *ctx, const Bg__LimitAsk *ask)
{
    Router *r = ctx;
    Message m = {
        .kind = ask->kind, .amount = ask->amount, .ask_id = ask->ask_id};
    for (int i = 0; i < r->script->count; i++) {
        if (i != r->index) {
            send_to(r->script, r->name, r->script->routers[i].name, &m);
        }
    }
}

static void
take_loan(void *ctx, const char *to, const Bg__LimitLoan *loan)
{
    Router *r = ctx;
    Message m = {.is_loan = true,
                 .kind = loan->kind,
                 .amount = loan->amount,
                 .ask_id = loan->ask_id};
    send_to(r->script, r->name, to, &m);
}

static void
start_router(Router *r)
{
    Script *s = r->script;
    LimOutput out = {r, take_ask, take_loan};
    snprintf(r->name, sizeof(r->name), "r%d-%u", r->index, r->generation++);
    r->lim = lim_create(&s->params, &out, s->now_ms);
    lim_on_peers(r->lim, (uint32_t)s->count - 1);
    lim_set(r->lim, WORKSPACE, s->limits);
}

static uint32_t
get_number(const char *word)
{
    return (uint32_t)strtoul(word, NULL, 10);
}

static void
run_routers(Script *s, char **w)
{
    for (int i = 0; i < s->count; i++) {
        lim_destroy(s->routers[i].lim);
    }
    s->count = (int)get_number(w[1]);
    s->params.routers = (uint32_t)s->count;
    s->params.lease_ms = get_number(w[2]);
    for (int k = 0; k < LIM_KINDS; k++) {
        s->limits[k] = get_number(w[3 + k]);
    }
    for (int i = 0; i < s->count; i++) {
        s->routers[i].script = s;
        s->routers[i].index = i;
        start_router(&s->routers[i]);
    }
}

static void
run_at(Script *s, char **w)
{
    s->now_ms = get_number(w[1]);
}

static void
run_take(Script *s, char **w)
{
    uint64_t retry_ms;
    if (lim_admit(s->routers[get_number(w[1])].lim, s->now_ms, WORKSPACE,
                  get_number(w[2]), &retry_ms)) {
        puts("taken");
    }
    else {
        printf("refused %llu\n", (unsigned long long)retry_ms);
    }
}

static void
run_give(Script *s, char **w)
{
    lim_release(s->routers[get_number(w[1])].lim, s->now_ms, WORKSPACE,
                get_number(w[2]), get_number(w[3]), 10);
}

static void
deliver_message(Script *s, const Message *m)
{
    Router *to = NULL;
    for (int i = 0; i < s->count; i++) {
        to = strcmp(s->routers[i].name, m->to) == 0 ? &s->routers[i] : to;
    }
    if (!to) {
        return; /* the addressed process was replaced */
    }
    if (m->is_loan) {
        Bg__LimitLoan loan = BG__LIMIT_LOAN__INIT;
        loan.workspace = WORKSPACE;
        loan.kind = m->kind;
        loan.amount = m->amount;
        loan.ask_id = m->ask_id;
        lim_on_loan(to->lim, s->now_ms, m->from, &loan);
        return;
    }
    Bg__LimitAsk ask = BG__LIMIT_ASK__INIT;
    ask.workspace = WORKSPACE;
    ask.kind = m->kind;
    ask.amount = m->amount;
    ask.ask_id = m->ask_id;
    lim_on_ask(to->lim, s->now_ms, m->from, &ask);
}

static void
run_message(Script *s, char **w)
{
    if (s->messages->len == 0) {
        return;
    }
    guint at = get_number(w[1]) % s->messages->len;
    Message m = *(Message *)s->messages->pdata[at];
    if (strcmp(w[0], "double") != 0) {
        g_ptr_array_remove_index(s->messages, at);
    }
    if (strcmp(w[0], "drop") != 0) {
        deliver_message(s, &m);
    }
}

static void
run_restart(Script *s, char **w)
{
    Router *r = &s->routers[get_number(w[1])];
    lim_destroy(r->lim);
    start_router(r);
}

static void
run_shares(Script *s, char **w)
{
    (void)w;
    uint64_t sums[LIM_KINDS] = {0};
    for (int i = 0; i < s->count; i++) {
        for (int k = 0; k < LIM_KINDS; k++) {
            sums[k] += lim_get_share(s->routers[i].lim, s->now_ms, WORKSPACE,
                                     (LimKind)k);
        }
    }
    printf("%llu %llu %llu\n", (unsigned long long)sums[LIM_REQUESTS],
           (unsigned long long)sums[LIM_TOKENS],
           (unsigned long long)sums[LIM_CONCURRENCY]);
}

typedef struct {
    const char *name;
    int words; /* with the command itself */
    void (*run)(Script *s, char **w);
} Command;

static const Command commands[] = {
    {"routers", 6, run_routers}, {"at", 2, run_at},
    {"take", 3, run_take},       {"give", 4, run_give},
    {"deliver", 2, run_message}, {"drop", 2, run_message},
    {"double", 2, run_message},  {"restart", 2, run_restart},
    {"shares", 1, run_shares}};

static void
run_line(Script *s, char *line)
{
    char *words[8] = {0};
    int count = script_split(line, words, 8);
    if (count == 0) {
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, words[0]) == 0 &&
            commands[i].words == count) {
            commands[i].run(s, words);
            fflush(stdout);
            return;
        }
    }
    printf("no such command: %s\n", words[0]);
}

int
main(void)
{
    Script s = {.now_ms = 1000,
                .messages = g_ptr_array_new_with_free_func(g_free)};
    char line[256];
    while (fgets(line, sizeof(line), stdin)) {
        run_line(&s, line);
    }
    for (int i = 0; i < s.count; i++) {
        lim_destroy(s.routers[i].lim);
    }
    g_ptr_array_free(s.messages, TRUE);
    return 0;
}
