/* Runs several at-most-once cores, each with its own fold, on a script from
   standard input.  They share one log; a router sees an entry when the script
   delivers it.  With --prompt a line "." ends each command's output.

     begin R KEY BODY      starts a call at router R and prints its id
     flush R [lost]        writes R's queued records as one entry; lost: R gets
                           no acknowledgement and writes the batch again with
                           the next flush
     hold R                R's queued records are in transit to the log
     drop R                discards R's queued records
     arrive                the oldest batch in transit reaches the log
     again                 the batch that arrived last is written once more
     deliver R COUNT       R applies the next COUNT entries
     sent R ID / unsent R ID / answered R ID STATUS / broken R ID
     refused R ID          the events of once.h for call ID
     log R up|down         once_on_log
     time MS               advances the time of all routers
     tick R                once_on_tick
     kill R                replaces R by a new process without state
     drain R
     open R                prints the number of calls without a final record */
#include "base.h"
#include "fold.h"
#include "log_records.h"
#include "once.h"
#include "script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_WORDS 6
#define ROUTERS 3
#define CLAIM_WAIT_MS 1000
#define CALL_MS 3000
#define RESEND_MS 5000
#define START_MS 1000000

typedef struct {
    uint8_t *data;
    size_t len;
} Bytes;

typedef struct {
    struct Script *script;
    uint32_t number;
    Fold *fold;
    OnceCore *core;
    GQueue queue;         /* Bg__Record */
    Bytes unacknowledged; /* batch whose acknowledgement was lost */
    guint seen;           /* number of entries applied */
} Router;

typedef struct Script {
    Router routers[ROUTERS];
    GArray *log;  /* Bytes */
    GQueue *held; /* Bytes */
    Bytes arrived;
    uint64_t now_ms;
    uint64_t last_id;
    uint32_t batches;
} Script;

static uint64_t
get_number(const char *word)
{
    return strtoull(word, NULL, 10);
}

static uint64_t
get_wall(const Script *s)
{
    return s->now_ms + 1700000000000;
}

/* ---- a router ----------------------------------------------------------- */

static void
print_decision(void *ctx, uint64_t id, const OnceDecision *d)
{
    static const char *const names[] = {
        "run", "replay", "in-progress", "may-have-run", "mismatch", "refused"};
    const Router *r = ctx;
    printf("%u %llu %s", r->number, (unsigned long long)id, names[d->verdict]);
    if (d->verdict == ONCE_REPLAY) {
        printf(" %u", d->status);
    }
    if (d->verdict == ONCE_REFUSED) {
        printf(" %s", d->reason);
    }
    puts("");
}

static bool
queue_record(void *ctx, Bg__Record *record)
{
    g_queue_push_tail(&((Router *)ctx)->queue, record);
    return true;
}

static void
observe(void *ctx, uint64_t offset, const char *batch_id, const Bg__Record *r,
        FoldResult result, const char *why)
{
    (void)offset;
    (void)batch_id;
    Router *router = ctx;
    once_on_record(router->core, router->script->now_ms,
                   get_wall(router->script), r->key, result, why);
}

static void
start_router(Script *s, Router *r, uint32_t number)
{
    g_autofree char *author = g_strdup_printf("vm%u", number);
    OnceParams params = {author, CLAIM_WAIT_MS, RESEND_MS};
    OnceOutput out = {r, print_decision, queue_record};
    r->script = s;
    r->number = number;
    r->fold = fold_create();
    r->core = once_create(&params, &out, r->fold);
    fold_set_observer(r->fold, observe, r);
    g_queue_init(&r->queue);
    r->seen = 0;
    once_on_log(r->core, true);
}

static void
stop_router(Router *r)
{
    once_destroy(r->core);
    fold_destroy(r->fold);
    g_queue_clear_full(&r->queue, (GDestroyNotify)rec_free);
    g_free(r->unacknowledged.data);
    r->unacknowledged = (Bytes){NULL, 0};
}

static Router *
get_router(Script *s, const char *word)
{
    return &s->routers[get_number(word) % ROUTERS];
}

/* ---- the log ------------------------------------------------------------ */

static void
write_bytes(Script *s, Bytes b)
{
    Bytes copy = {g_memdup2(b.data, b.len), b.len};
    g_array_append_val(s->log, copy);
}

/* Encodes R's queued records as a batch; data NULL: there are none. */
static Bytes
take_batch(Script *s, Router *r)
{
    Bytes b = {NULL, 0};
    g_autoptr(GPtrArray) records =
        g_ptr_array_new_with_free_func((GDestroyNotify)rec_free);
    Bg__Record *record;
    while ((record = g_queue_pop_head(&r->queue))) {
        g_ptr_array_add(records, record);
    }
    if (records->len > 0) {
        char id[BG_ID_LEN + 1];
        snprintf(id, sizeof(id), "%032x", ++s->batches);
        b.data = rec_encode_batch(id, (Bg__Record **)records->pdata,
                                  records->len, &b.len);
    }
    return b;
}

static void
run_flush(Script *s, char **w)
{
    Router *r = get_router(s, w[1]);
    if (r->unacknowledged.data) {
        write_bytes(s, r->unacknowledged);
        g_clear_pointer(&r->unacknowledged.data, g_free);
    }
    Bytes b = take_batch(s, r);
    if (!b.data) {
        return;
    }
    write_bytes(s, b);
    if (w[2]) {
        r->unacknowledged = b;
    }
    else {
        g_free(b.data);
    }
}

static void
run_hold(Script *s, char **w)
{
    Bytes b = take_batch(s, get_router(s, w[1]));
    if (b.data) {
        g_queue_push_tail(s->held, g_memdup2(&b, sizeof(b)));
    }
}

static void
run_drop(Script *s, char **w)
{
    Bytes b = take_batch(s, get_router(s, w[1]));
    g_free(b.data);
}

static void
run_arrive(Script *s, char **w)
{
    (void)w;
    Bytes *b = g_queue_pop_head(s->held);
    if (b) {
        write_bytes(s, *b);
        g_free(s->arrived.data);
        s->arrived = *b;
        g_free(b);
    }
}

static void
run_again(Script *s, char **w)
{
    (void)w;
    if (s->arrived.data) {
        write_bytes(s, s->arrived);
    }
}

static void
run_deliver(Script *s, char **w)
{
    Router *r = get_router(s, w[1]);
    uint64_t count = get_number(w[2]);
    for (; count > 0 && r->seen < s->log->len; count--) {
        const Bytes *b = &g_array_index(s->log, Bytes, r->seen);
        r->seen++;
        fold_apply(r->fold, r->seen, b->data, b->len, NULL);
    }
}

/* ---- calls -------------------------------------------------------------- */

static void
run_begin(Script *s, char **w)
{
    Router *r = get_router(s, w[1]);
    uint64_t id = ++s->last_id;
    g_autofree char *attempt =
        g_strdup_printf("attempt-%llu", (unsigned long long)id);
    OnceCall call = {.id = id,
                     .workspace = "w",
                     .key = w[2],
                     .attempt_id = attempt,
                     .digest = {(uint8_t)get_number(w[3])},
                     .deadline_ms = s->now_ms + CALL_MS};
    printf("call %llu\n", (unsigned long long)id);
    once_on_begin(r->core, s->now_ms, get_wall(s), &call);
}

static void
run_sent(Script *s, char **w)
{
    once_on_sent(get_router(s, w[1])->core, get_number(w[2]));
}

static void
run_unsent(Script *s, char **w)
{
    once_on_unsent(get_router(s, w[1])->core, get_number(w[2]));
}

static void
run_answered(Script *s, char **w)
{
    OnceResult result = {.status = (uint32_t)get_number(w[3]),
                         .content_type = "text/plain",
                         .body = (const uint8_t *)"body",
                         .body_len = 4};
    once_on_answered(get_router(s, w[1])->core, s->now_ms, get_wall(s),
                     get_number(w[2]), &result);
}

static void
run_broken(Script *s, char **w)
{
    once_on_broken(get_router(s, w[1])->core, s->now_ms, get_wall(s),
                   get_number(w[2]));
}

static void
run_refused(Script *s, char **w)
{
    once_on_refused(get_router(s, w[1])->core, s->now_ms, get_wall(s),
                    get_number(w[2]));
}

/* ---- the rest ----------------------------------------------------------- */

static void
run_log(Script *s, char **w)
{
    once_on_log(get_router(s, w[1])->core, strcmp(w[2], "up") == 0);
}

static void
run_time(Script *s, char **w)
{
    s->now_ms += get_number(w[1]);
}

static void
run_tick(Script *s, char **w)
{
    once_on_tick(get_router(s, w[1])->core, s->now_ms, get_wall(s));
}

static void
run_kill(Script *s, char **w)
{
    Router *r = get_router(s, w[1]);
    stop_router(r);
    start_router(s, r, r->number);
}

static void
run_drain(Script *s, char **w)
{
    once_on_drain(get_router(s, w[1])->core);
}

static void
run_open(Script *s, char **w)
{
    printf("%u\n", once_count_open(get_router(s, w[1])->core));
}

typedef struct {
    const char *name;
    int words; /* minimum, including the command itself */
    void (*run)(Script *s, char **w);
} Command;

static const Command commands[] = {
    {"begin", 4, run_begin},     {"flush", 2, run_flush},
    {"hold", 2, run_hold},       {"drop", 2, run_drop},
    {"arrive", 1, run_arrive},   {"again", 1, run_again},
    {"deliver", 3, run_deliver}, {"sent", 3, run_sent},
    {"unsent", 3, run_unsent},   {"answered", 4, run_answered},
    {"broken", 3, run_broken},   {"refused", 3, run_refused},
    {"log", 3, run_log},         {"time", 2, run_time},
    {"tick", 2, run_tick},       {"kill", 2, run_kill},
    {"drain", 2, run_drain},     {"open", 2, run_open}};

static void
run_line(Script *s, char *line)
{
    char *words[MAX_WORDS + 1] = {0};
    int count = script_split(line, words, MAX_WORDS);
    if (count == 0) {
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, words[0]) == 0 &&
            commands[i].words <= count) {
            commands[i].run(s, words);
            return;
        }
    }
    printf("no such command: %s\n", words[0]);
}

static void
free_script(Script *s)
{
    for (uint32_t i = 0; i < ROUTERS; i++) {
        stop_router(&s->routers[i]);
    }
    for (guint i = 0; i < s->log->len; i++) {
        g_free(g_array_index(s->log, Bytes, i).data);
    }
    g_array_free(s->log, TRUE);
    Bytes *b;
    while ((b = g_queue_pop_head(s->held))) {
        g_free(b->data);
        g_free(b);
    }
    g_queue_free(s->held);
    g_free(s->arrived.data);
}

int
main(int argc, char **argv)
{
    bool prompt = argc > 1 && strcmp(argv[1], "--prompt") == 0;
    Script s = {.now_ms = START_MS};
    s.log = g_array_new(FALSE, FALSE, sizeof(Bytes));
    s.held = g_queue_new();
    for (uint32_t i = 0; i < ROUTERS; i++) {
        start_router(&s, &s.routers[i], i);
    }
    char line[256];
    while (fgets(line, sizeof(line), stdin)) {
        run_line(&s, line);
        if (prompt) {
            puts(".");
        }
        fflush(stdout);
    }
    free_script(&s);
    return 0;
}
