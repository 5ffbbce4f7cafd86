#include "load_generator.h"

#include "blocking_http.h"
#include "engine_simulator.h"
#include "hist.h"
#include "json_parser.h"
#include "ring.h"

#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define CONNECT_MS 2000
#define ARRIVAL_RING 65536
#define POP_WAIT_MS 50
#define RESULT_WRONG "wrong answer"

/* A planned request. */
typedef struct {
    uint64_t due_us;
    uint64_t serial;
    uint32_t model; /* index */
} Arrival;

struct LoadRun {
    LdParams params;
    GPtrArray *models;         /* names */
    double *cumulative_shares; /* of each model; the last is 1 */
    char **targets;            /* IP:PORT */
    uint32_t target_count;
    Ring *arrivals; /* open loop */
    atomic_bool stopping;
    atomic_uint_fast64_t serial;
    uint64_t start_us;
    uint64_t end_us;
    Hist *first;       /* until the first token, or the answer's head */
    Hist *complete;    /* until the end of the answer */
    Hist *token_gap;   /* between tokens of a stream */
    Hist *start_delay; /* from the planned arrival to the actual start */
    Hist *refused;     /* until the refusal */
    Hist *retry_after; /* Retry-After of refusals, in seconds */
    atomic_uint_fast64_t answered;
    atomic_uint_fast64_t wrong;
    atomic_uint_fast64_t failed;
    atomic_uint_fast64_t refusals;
    atomic_uint_fast64_t tokens;
    atomic_uint_fast64_t not_started; /* not started, as the ring was full */
    pthread_mutex_t lock;
    GHashTable *outcomes; /* "STATUS OUTCOME" -> count */
};

/* One connection. */
typedef struct {
    LoadRun *run;
    uint32_t index;
    BgRandom rng;
    HcClient *http;
} Worker;

/* A request in progress. */
typedef struct {
    LoadRun *run;
    uint64_t due_us;
    uint64_t first_us;
    uint64_t last_us; /* time of the last token */
    GString *line;
    GString *text;
    bool saw_done;
    long status;
} Exchange;

/* ---- models ------------------------------------------------------------- */

static GPtrArray *
list_models(const LdParams *p)
{
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    g_auto(GStrv) words = g_strsplit(p->models, ",", -1);
    for (char **w = words; *w; w++) {
        char *mark = strchr(*w, '%');
        for (uint32_t i = 0; mark && i < p->model_count; i++) {
            g_ptr_array_add(names,
                            g_strdup_printf("%.*s%u%s", (int)(mark - *w), *w,
                                            i, mark + 1));
        }
        if (!mark && **w) {
            g_ptr_array_add(names, g_strdup(*w));
        }
    }
    return names;
}

static double *
make_shares(uint32_t count, double zipf)
{
    double *cumulative_shares = g_new0(double, count);
    double sum = 0;
    for (uint32_t i = 0; i < count; i++) {
        sum += 1.0 / pow(i + 1.0, zipf);
        cumulative_shares[i] = sum;
    }
    for (uint32_t i = 0; i < count; i++) {
        cumulative_shares[i] /= sum;
    }
    return cumulative_shares;
}

static double
pick_unit(BgRandom *rng)
{
    return (double)(bg_next_random(rng) >> 11) / 9007199254740992.0;
}

static uint32_t
pick_model(const LoadRun *r, BgRandom *rng)
{
    double at = pick_unit(rng);
    uint32_t low = 0;
    uint32_t high = r->models->len - 1;
    while (low < high) {
        uint32_t mid = (low + high) / 2;
        if (r->cumulative_shares[mid] <= at) {
            low = mid + 1;
        }
        else {
            high = mid;
        }
    }
    return low;
}

/* ---- one request -------------------------------------------------------- */

static char *
make_prompt(const LoadRun *r, uint64_t serial)
{
    GString *prompt = g_string_new(NULL);
    g_string_printf(prompt, "load %llu %llu ",
                    (unsigned long long)r->params.seed,
                    (unsigned long long)serial);
    while (prompt->len < r->params.prompt_bytes) {
        g_string_append_c(prompt, 'x');
    }
    return g_string_free(prompt, FALSE);
}

static char *
make_body(const LoadRun *r, const char *model, const char *prompt)
{
    const LdParams *p = &r->params;
    json_t *doc = json_pack("{s:s, s:i, s:b}", "model", model, "max_tokens",
                            (int)p->tokens, "stream", p->stream);
    if (p->chat) {
        json_object_set_new(
            doc, "messages",
            json_pack("[{s:s, s:s}]", "role", "user", "content", prompt));
    }
    else {
        json_object_set_new(doc, "prompt", json_string(prompt));
    }
    char *text = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    return text;
}

/* The text of the first choice, or NULL. */
static const char *
find_text(const json_t *doc)
{
    const json_t *choice = json_array_get(json_object_get(doc, "choices"), 0);
    const json_t *text = json_object_get(choice, "text");
    if (!text) {
        const json_t *part = json_object_get(choice, "delta");
        part = part ? part : json_object_get(choice, "message");
        text = json_object_get(part, "content");
    }
    return json_string_value(text);
}

static void
take_event(Exchange *x, const char *data, size_t len)
{
    if (len >= 6 && memcmp(data, "[DONE]", 6) == 0) {
        x->saw_done = true;
        return;
    }
    json_t *doc = js_parse(data, len, NULL);
    const char *text = find_text(doc);
    if (text) {
        uint64_t now_us = bg_now_us();
        if (!x->first_us) {
            x->first_us = now_us;
        }
        else {
            hist_add(x->run->token_gap, now_us - x->last_us);
        }
        x->last_us = now_us;
        atomic_fetch_add(&x->run->tokens, 1);
        g_string_append(x->text, text);
    }
    json_decref(doc);
}

static bool
take_stream(void *ctx, const char *data, size_t len)
{
    Exchange *x = ctx;
    g_string_append_len(x->line, data, (gssize)len);
    const char *at = x->line->str;
    const char *stop = at + x->line->len;
    const char *end;
    while ((end = memchr(at, '\n', (size_t)(stop - at)))) {
        if (end - at > 6 && memcmp(at, "data: ", 6) == 0) {
            take_event(x, at + 6, (size_t)(end - at) - 6);
        }
        at = end + 1;
    }
    g_string_erase(x->line, 0, at - x->line->str);
    return true;
}

static bool
take_head(void *ctx, long status, const char *content_type)
{
    (void)content_type;
    Exchange *x = ctx;
    x->status = status;
    if (!x->run->params.stream) {
        x->first_us = bg_now_us();
    }
    return true;
}

static bool
is_correct(const Exchange *x, const HcResult *res, const char *prompt)
{
    const LdParams *p = &x->run->params;
    g_autofree char *expected = fe_make_text(prompt, p->tokens);
    if (p->stream) {
        return x->saw_done && strcmp(x->text->str, expected) == 0;
    }
    json_t *doc = js_parse(res->body->str, res->body->len, NULL);
    bool correct = g_strcmp0(find_text(doc), expected) == 0;
    json_decref(doc);
    return correct;
}

static void
count_outcome(LoadRun *r, const char *name)
{
    pthread_mutex_lock(&r->lock);
    uint64_t *n = g_hash_table_lookup(r->outcomes, name);
    if (!n) {
        n = g_new0(uint64_t, 1);
        g_hash_table_insert(r->outcomes, g_strdup(name), n);
    }
    ++*n;
    pthread_mutex_unlock(&r->lock);
}

static void
count_answer(const Exchange *x)
{
    LoadRun *r = x->run;
    hist_add(r->first, x->first_us - x->due_us);
    hist_add(r->complete, bg_now_us() - x->due_us);
    atomic_fetch_add(&r->answered, 1);
}

static void
count_refusal(const Exchange *x, const HcResult *res)
{
    LoadRun *r = x->run;
    hist_add(r->refused, bg_now_us() - x->due_us);
    atomic_fetch_add(&r->refusals, 1);
    if (res->retry_after) {
        hist_add(r->retry_after, g_ascii_strtoull(res->retry_after, NULL, 10));
    }
}

static void
count_exchange(const Exchange *x, const HcResult *res, const char *prompt)
{
    LoadRun *r = x->run;
    if (res->end != HC_DONE) {
        atomic_fetch_add(&r->failed, 1);
        count_outcome(r, hc_end_name(res->end));
        return;
    }
    bool answered = res->status == 200;
    bool correct = answered && is_correct(x, res, prompt);
    g_autofree char *name = g_strdup_printf("%ld %s", res->status,
                                            res->outcome ? res->outcome : "-");
    if (correct) {
        count_answer(x);
    }
    else if (answered) {
        atomic_fetch_add(&r->wrong, 1);
    }
    else if (g_strcmp0(res->outcome, "refused-not-run") == 0) {
        count_refusal(x, res);
    }
    else {
        atomic_fetch_add(&r->failed, 1);
    }
    count_outcome(r, answered && !correct ? RESULT_WRONG : name);
}

static void
send_one(Worker *w, const Arrival *a)
{
    LoadRun *r = w->run;
    const LdParams *p = &r->params;
    hist_add(r->start_delay, bg_now_us() - a->due_us);
    g_autofree char *prompt = make_prompt(r, a->serial);
    char *body = make_body(r, r->models->pdata[a->model], prompt);
    g_autofree char *url = g_strconcat(
        "http://", r->targets[w->index % r->target_count],
        p->chat ? "/v1/chat/completions" : "/v1/completions", NULL);
    g_autofree char *auth =
        g_strconcat("Authorization: Bearer ", p->key ? p->key : "none", NULL);
    const char *headers[] = {auth, "Content-Type: application/json", NULL};
    Exchange x = {.run = r, .due_us = a->due_us};
    x.line = g_string_new(NULL);
    x.text = g_string_new(NULL);
    HcRequest req = {.method = "POST",
                     .url = url,
                     .headers = headers,
                     .body = body,
                     .body_len = strlen(body),
                     .connect_ms = CONNECT_MS,
                     .total_ms = p->timeout_ms,
                     .on_head = take_head,
                     .on_data = p->stream ? take_stream : NULL,
                     .ctx = &x};
    HcResult res;
    hc_call(w->http, &req, &res);
    count_exchange(&x, &res, prompt);
    hc_free_result(&res);
    g_string_free(x.line, TRUE);
    g_string_free(x.text, TRUE);
    free(body);
}

/* ---- loops -------------------------------------------------------------- */

static bool
is_over(const LoadRun *r)
{
    return bg_now_us() >= r->end_us ||
           (r->params.requests &&
            atomic_load(&r->serial) >= r->params.requests);
}

static void
run_closed(Worker *w)
{
    LoadRun *r = w->run;
    uint64_t wait_us =
        (uint64_t)r->params.ramp_ms * 1000 * w->index / r->params.connections;
    usleep((useconds_t)wait_us);
    while (!is_over(r)) {
        uint64_t serial = atomic_fetch_add(&r->serial, 1);
        if (r->params.requests && serial >= r->params.requests) {
            break;
        }
        Arrival a = {bg_now_us(), serial, pick_model(r, &w->rng)};
        send_one(w, &a);
    }
}

static void
run_open(Worker *w)
{
    LoadRun *r = w->run;
    for (;;) {
        Arrival *a = ring_pop(r->arrivals, POP_WAIT_MS);
        if (a) {
            send_one(w, a);
            g_free(a);
        }
        else if (atomic_load(&r->stopping)) {
            return;
        }
    }
}

static void *
run_worker(void *arg)
{
    Worker *w = arg;
    bg_seed_random(&w->rng, w->run->params.seed * 1000003 + w->index);
    w->http = hc_create();
    if (w->run->params.rate > 0) {
        run_open(w);
    }
    else {
        run_closed(w);
    }
    hc_destroy(w->http);
    return NULL;
}

static void
push_arrival(LoadRun *r, uint64_t due_us, uint32_t model)
{
    Arrival *a = g_new(Arrival, 1);
    a->due_us = due_us;
    a->serial = atomic_fetch_add(&r->serial, 1);
    a->model = model;
    if (!ring_push(r->arrivals, a)) {
        atomic_fetch_add(&r->not_started, 1);
        g_free(a);
    }
}

static void
push_burst(LoadRun *r, BgRandom *rng, uint64_t due_us)
{
    uint32_t model = pick_model(r, rng);
    for (uint32_t i = 0; i < r->params.burst; i++) {
        push_arrival(r, due_us, model);
    }
}

/* Queues the arrivals of a Poisson process, and periodic bursts of requests
   for one model. */
static void
plan_arrivals(LoadRun *r)
{
    const LdParams *p = &r->params;
    BgRandom rng;
    bg_seed_random(&rng, p->seed);
    uint64_t burst_us = (uint64_t)p->burst_every_ms * 1000;
    uint64_t next_burst_us =
        p->burst && burst_us ? r->start_us + burst_us : UINT64_MAX;
    double at_us = (double)r->start_us;
    while (!is_over(r)) {
        at_us += -log(1.0 - pick_unit(&rng)) * 1e6 / p->rate;
        uint64_t due_us = (uint64_t)at_us;
        if (due_us >= r->end_us) {
            break;
        }
        uint64_t now_us = bg_now_us();
        if (due_us > now_us) {
            usleep((useconds_t)(due_us - now_us));
        }
        if (due_us >= next_burst_us) {
            push_burst(r, &rng, next_burst_us);
            next_burst_us += burst_us;
        }
        push_arrival(r, due_us, pick_model(r, &rng));
    }
}

/* ---- creation and destruction ------------------------------------------- */

static LoadRun *
create_run(const LdParams *p)
{
    LoadRun *r = g_new0(LoadRun, 1);
    r->params = *p;
    r->models = list_models(p);
    r->targets = g_strsplit(p->to, ",", -1);
    r->target_count = g_strv_length(r->targets);
    r->arrivals = ring_create(ARRIVAL_RING);
    r->first = hist_create();
    r->complete = hist_create();
    r->token_gap = hist_create();
    r->start_delay = hist_create();
    r->refused = hist_create();
    r->retry_after = hist_create();
    r->outcomes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    pthread_mutex_init(&r->lock, NULL);
    if (r->models->len > 0) {
        r->cumulative_shares = make_shares(r->models->len, p->zipf);
    }
    return r;
}

void
ld_destroy(LoadRun *r)
{
    if (!r) {
        return;
    }
    g_ptr_array_free(r->models, TRUE);
    g_strfreev(r->targets);
    ring_destroy(r->arrivals, g_free);
    hist_destroy(r->first);
    hist_destroy(r->complete);
    hist_destroy(r->token_gap);
    hist_destroy(r->start_delay);
    hist_destroy(r->refused);
    hist_destroy(r->retry_after);
    g_hash_table_destroy(r->outcomes);
    pthread_mutex_destroy(&r->lock);
    g_free(r->cumulative_shares);
    g_free(r);
}

static void
run_workers(LoadRun *r)
{
    uint32_t count = r->params.connections;
    Worker *workers = g_new0(Worker, count);
    pthread_t *threads = g_new0(pthread_t, count);
    r->start_us = bg_now_us();
    r->end_us = r->start_us + (uint64_t)r->params.duration_ms * 1000;
    uint32_t started = 0;
    for (; started < count; started++) {
        Worker *w = &workers[started];
        w->run = r;
        w->index = started;
        if (pthread_create(&threads[started], NULL, run_worker, w) != 0) {
            bg_log(BG_WARN, "load", "Only %u connections: no thread.",
                   started);
            break;
        }
    }
    if (r->params.rate > 0) {
        plan_arrivals(r);
        atomic_store(&r->stopping, true);
    }
    for (uint32_t i = 0; i < started; i++) {
        pthread_join(threads[i], NULL);
    }
    r->end_us = bg_now_us();
    g_free(threads);
    g_free(workers);
}

LoadRun *
ld_run(const LdParams *params, GError **err)
{
    LoadRun *r = create_run(params);
    if (r->models->len == 0 || r->target_count == 0 ||
        params->connections == 0) {
        g_set_error(err, BG_ERROR, BG_ERR_INVALID,
                    "no target, no model or no connection");
        ld_destroy(r);
        return NULL;
    }
    run_workers(r);
    return r;
}

/* ---- results ------------------------------------------------------------ */

bool
ld_is_clean(const LoadRun *r)
{
    return atomic_load(&r->wrong) == 0 && atomic_load(&r->failed) == 0 &&
           atomic_load(&r->not_started) == 0;
}

typedef struct {
    const char *name;
    const Hist *hist;
} Series;

enum { SERIES = 5 };

static void
list_series(const LoadRun *r, Series out[SERIES])
{
    const Series all[SERIES] = {{"first_us", r->first},
                                {"whole_us", r->complete},
                                {"between_us", r->token_gap},
                                {"refused_us", r->refused},
                                {"late_us", r->start_delay}};
    memcpy(out, all, sizeof(all));
}

static json_t *
make_series_json(const Hist *h)
{
    return json_pack(
        "{s:I, s:I, s:I, s:I, s:I}", "count", (json_int_t)hist_count(h), "p50",
        (json_int_t)hist_quantile(h, 500), "p95",
        (json_int_t)hist_quantile(h, 950), "p99",
        (json_int_t)hist_quantile(h, 990), "max", (json_int_t)hist_max(h));
}

static json_t *
make_outcomes_json(const LoadRun *r)
{
    json_t *doc = json_object();
    GHashTableIter it;
    gpointer name;
    gpointer count;
    g_hash_table_iter_init(&it, r->outcomes);
    while (g_hash_table_iter_next(&it, &name, &count)) {
        json_object_set_new(doc, name,
                            json_integer((json_int_t) * (uint64_t *)count));
    }
    return doc;
}

char *
ld_print_json(const LoadRun *r)
{
    double elapsed_s = (double)(r->end_us - r->start_us) / 1e6;
    json_t *doc = json_pack(
        "{s:I, s:f, s:I, s:I, s:I, s:I, s:I, s:I, s:o}", "seed",
        (json_int_t)r->params.seed, "elapsed_s", elapsed_s, "answered",
        (json_int_t)r->answered, "refused", (json_int_t)r->refusals, "wrong",
        (json_int_t)r->wrong, "failed", (json_int_t)r->failed, "not_started",
        (json_int_t)r->not_started, "tokens", (json_int_t)r->tokens,
        "outcomes", make_outcomes_json(r));
    Series series[SERIES];
    list_series(r, series);
    for (int i = 0; i < SERIES; i++) {
        json_object_set_new(doc, series[i].name,
                            make_series_json(series[i].hist));
    }
    json_object_set_new(doc, "retry_after_s",
                        make_series_json(r->retry_after));
    char *text = json_dumps(doc, JSON_SORT_KEYS | JSON_COMPACT);
    json_decref(doc);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}

char *
ld_print(const LoadRun *r)
{
    GString *out = g_string_new(NULL);
    g_string_append_printf(
        out,
        "%.1f s, seed %llu: %llu answered, %llu refused, %llu wrong, "
        "%llu failed, %llu not started\n",
        (double)(r->end_us - r->start_us) / 1e6,
        (unsigned long long)r->params.seed, (unsigned long long)r->answered,
        (unsigned long long)r->refusals, (unsigned long long)r->wrong,
        (unsigned long long)r->failed, (unsigned long long)r->not_started);
    Series series[SERIES];
    list_series(r, series);
    for (int i = 0; i < SERIES; i++) {
        const Hist *h = series[i].hist;
        g_string_append_printf(
            out, "%-11s p50 %8llu  p95 %8llu  p99 %8llu  max %8llu  n %llu\n",
            series[i].name, (unsigned long long)hist_quantile(h, 500),
            (unsigned long long)hist_quantile(h, 950),
            (unsigned long long)hist_quantile(h, 990),
            (unsigned long long)hist_max(h),
            (unsigned long long)hist_count(h));
    }
    json_t *outcomes = make_outcomes_json(r);
    char *text = json_dumps(outcomes, JSON_SORT_KEYS);
    g_string_append_printf(out, "outcomes %s, Retry-After at most %llu s\n",
                           text, (unsigned long long)hist_max(r->retry_after));
    free(text);
    json_decref(outcomes);
    return g_string_free(out, FALSE);
}
