/* Benchmark of the placement core alone: CPU time for a second of simulated
   time, in steady state and after half of the upstreams have crashed.

   bench_mp UPSTREAMS MODELS ADAPTERS GATEWAYS REQUESTS_PER_S */
#include "model_placement.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>

#define MODEL_MB 30000
#define ENGINE_MB 83000
#define DISK_MS 450
#define STORE_MS 13200
#define COPIES 5
#define REPORT_MS 200
#define TICK_MS 20
#define REQUEST_MS 1200

typedef struct {
    DepUpstream *state;
    MpOrder order;
    char *order_model;
    char *order_adapter;
    char *coming;
    uint64_t ready_ms;
    bool ordered;
    bool report_requested;
} Engine;

typedef struct {
    uint32_t model;
    int engine; /* -1: waiting */
    uint64_t end_ms;
    uint32_t gateway;
} Request;

typedef struct {
    Mp *mp;
    Dm *demand;
    Engine *engines;
    uint32_t engine_count;
    uint32_t models;
    uint32_t adapters;
    uint32_t gateways;
    uint32_t rate;
    GArray *requests;  /* Request */
    uint32_t *arrived; /* by gateway and model */
    uint32_t *row_of;  /* by model: its row in the report, from 1 */
    uint64_t now_ms;
    uint32_t arrivals_due; /* thousandths of a request */
    uint64_t orders;
    BgRandom rng;
    GHashTable *index;
} Bench;

static double
get_cpu_ms(void)
{
    struct timespec t;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
    return (double)t.tv_sec * 1e3 + (double)t.tv_nsec / 1e6;
}

static double core_cpu_ms;
static uint64_t events;

#define MEASURE(call)                                                         \
    do {                                                                      \
        double begin_ms = get_cpu_ms();                                       \
        call;                                                                 \
        core_cpu_ms += get_cpu_ms() - begin_ms;                               \
        events++;                                                             \
    } while (0)

static void
on_order(void *ctx, const MpOrder *o)
{
    Bench *b = ctx;
    Engine *e = g_hash_table_lookup(b->index, o->upstream);
    e->ordered = true;
    e->order = *o;
    e->order_model = g_strdup(o->model);
    e->order_adapter = g_strdup(o->adapter);
    b->orders++;
}

static void
on_request_report(void *ctx, const DepUpstream *of)
{
    Bench *b = ctx;
    ((Engine *)g_hash_table_lookup(b->index, of->id))->report_requested = true;
}

static void
on_publish(void *ctx, const char *upstream, const GPtrArray *models)
{
    (void)ctx;
    (void)upstream;
    (void)models;
}

static void
on_unreachable(void *ctx, const char *upstream)
{
    (void)ctx;
    (void)upstream;
}

static void
on_capacity_estimated(void *ctx, const char *model, double capacity,
                      double slow, double load, uint32_t replicas)
{
    (void)ctx;
    (void)model;
    (void)capacity;
    (void)slow;
    (void)load;
    (void)replicas;
}

static char *
name_model(uint32_t i)
{
    return g_strdup_printf("model%06u", i);
}

static void
step_engine(Bench *b, Engine *e)
{
    if (e->coming && b->now_ms >= e->ready_ms) {
        dep_add_resident(e->state, e->coming);
        g_clear_pointer(&e->coming, g_free);
        MEASURE(mp_on_entry(b->mp, b->now_ms, e->state));
    }
    if (e->ordered) {
        e->ordered = false;
        MpOrderResult result = MP_ORDER_ACCEPTED;
        if (e->coming || e->order.sequence != e->state->sequence) {
            result = MP_ORDER_CONFLICT;
        }
        else {
            e->state->sequence++;
            DepResident *r =
                dep_find_resident(e->state->models, e->order_model);
            if (e->order_adapter && r && !e->order.unload) {
                g_ptr_array_add(r->adapters, g_strdup(e->order_adapter));
            }
            else if (e->order_adapter && r) {
                for (guint i = 0; i < r->adapters->len; i++) {
                    if (strcmp(r->adapters->pdata[i], e->order_adapter) == 0) {
                        g_ptr_array_remove_index(r->adapters, i);
                    }
                }
                result = MP_ORDER_NO_CHANGE;
            }
            else if (!e->order_adapter && e->order.unload && r) {
                g_ptr_array_remove(e->state->models, r);
            }
            else if (!e->order_adapter && !e->order.unload) {
                e->coming = g_strdup(e->order_model);
                e->ready_ms = b->now_ms + DISK_MS;
            }
        }
        g_clear_pointer(&e->order_model, g_free);
        g_clear_pointer(&e->order_adapter, g_free);
        MEASURE(mp_on_order_result(b->mp, b->now_ms, e->state->id, result));
    }
    if (e->report_requested) {
        e->report_requested = false;
        e->state->busy = e->coming != NULL;
        MEASURE(mp_on_report(b->mp, b->now_ms, e->state->id, e->state));
    }
}

static int
find_engine_of(Bench *b, const char *model)
{
    uint32_t from = (uint32_t)bg_pick_random(&b->rng, b->engine_count);
    for (uint32_t i = 0; i < b->engine_count; i++) {
        uint32_t n = (from + i) % b->engine_count;
        if (dep_find_resident(b->engines[n].state->models, model)) {
            return (int)n;
        }
    }
    return -1;
}

/* A tenth of the requests ask for any model, the others for a hot sixth. */
static uint32_t
pick_model(Bench *b)
{
    uint32_t hot = MAX(b->models / 6, 1);
    if (bg_pick_random(&b->rng, 10) == 0) {
        return (uint32_t)bg_pick_random(&b->rng, b->models);
    }
    double u = (double)bg_pick_random(&b->rng, 1000000) / 1e6;
    return (uint32_t)(u * u * u * hot);
}

static void
step_requests(Bench *b)
{
    b->arrivals_due += b->rate;
    while (b->arrivals_due >= 1000) {
        b->arrivals_due -= 1000;
        Request r = {.model = pick_model(b),
                     .engine = -1,
                     .gateway =
                         (uint32_t)bg_pick_random(&b->rng, b->gateways)};
        g_array_append_val(b->requests, r);
        b->arrived[r.gateway * b->models + r.model]++;
    }
    for (guint i = 0; i < b->requests->len;) {
        Request *r = &g_array_index(b->requests, Request, i);
        if (r->engine < 0 && b->now_ms % 10 == 0) {
            g_autofree char *name = name_model(r->model);
            r->engine = find_engine_of(b, name);
            r->end_ms = b->now_ms + REQUEST_MS;
        }
        if (r->engine >= 0 && b->now_ms >= r->end_ms) {
            g_array_remove_index_fast(b->requests, i);
            continue;
        }
        i++;
    }
}

/* Report the demand of GATEWAY.  Its aggregation before the core is measured
   as well. */
static void
report_gateway(Bench *b, uint32_t gateway)
{
    DmDemand *d = dm_create_demand(true);
    memset(b->row_of, 0, sizeof(uint32_t) * b->models);
    uint32_t *row_of = b->row_of;
    for (guint i = 0; i < b->requests->len; i++) {
        const Request *r = &g_array_index(b->requests, Request, i);
        if (r->gateway != gateway) {
            continue;
        }
        if (!row_of[r->model]) {
            g_autofree char *name = name_model(r->model);
            DmModelDemand *w = dm_add_model_demand(d, name, NULL);
            w->arrived = b->arrived[gateway * b->models + r->model];
            b->arrived[gateway * b->models + r->model] = 0;
            row_of[r->model] = d->model_demands->len;
        }
        DmModelDemand *w = d->model_demands->pdata[row_of[r->model] - 1];
        if (r->engine < 0) {
            w->waiting++;
            continue;
        }
        w->running++;
        dm_add_use(d, b->engines[r->engine].state->id, w->model, NULL)
            ->running = 1;
    }
    char name[16];
    snprintf(name, sizeof(name), "g%u", gateway);
    MEASURE(dm_apply(b->demand, b->now_ms, name, d));
    dm_destroy_demand(d);
}

static void
tick(Bench *b)
{
    DmDemand *sums = dm_collect(b->demand, false);
    mp_on_demand(b->mp, b->now_ms, sums);
    dm_destroy_demand(sums);
    mp_on_tick(b->mp, b->now_ms, true);
}

static void
run(Bench *b, uint64_t for_ms, const char *what)
{
    core_cpu_ms = 0;
    events = 0;
    b->orders = 0;
    uint32_t waiting = 0;
    for (uint64_t end = b->now_ms + for_ms; b->now_ms < end; b->now_ms++) {
        step_requests(b);
        for (uint32_t g = b->now_ms % REPORT_MS; g < b->gateways;
             g += REPORT_MS) {
            report_gateway(b, g);
        }
        if (b->now_ms % TICK_MS == 0) {
            MEASURE(tick(b));
        }
        for (uint32_t i = 0; i < b->engine_count; i++) {
            step_engine(b, &b->engines[i]);
        }
    }
    for (guint i = 0; i < b->requests->len; i++) {
        waiting += g_array_index(b->requests, Request, i).engine < 0;
    }
    struct rusage u;
    getrusage(RUSAGE_SELF, &u);
    printf("%-8s %8.1f ms per second, %8.2f us per event (%llu), "
           "%llu orders, %u waiting, %ld MB\n",
           what, core_cpu_ms * 1000 / (double)MAX(for_ms, 1),
           core_cpu_ms * 1000 / (double)MAX(events, 1),
           (unsigned long long)events, (unsigned long long)b->orders, waiting,
           u.ru_maxrss / 1024);
}

static void
start(Bench *b)
{
    MpParams p = {true};
    MpOutput out = {b,          on_order,       on_request_report,
                    on_publish, on_unreachable, on_capacity_estimated};
    b->mp = mp_create(&p, &out);
    b->demand = dm_create();
    DepConfig *c = dep_create_config();
    DepService *s = dep_add_service(c, "s");
    s->has_models = true;
    s->memory_mb = ENGINE_MB;
    s->max_adapters = 8;
    s->loads_per_s = 70;
    for (uint32_t i = 0; i < b->models; i++) {
        g_autofree char *name = name_model(i);
        DepModel *m = dep_add_model(s, name);
        m->memory_mb = MODEL_MB;
        m->load_ms = STORE_MS;
        m->disk_ms = DISK_MS;
        m->warm_ms = DISK_MS / 2;
        m->adapters = b->adapters / b->models;
        m->adapter_mb = 40;
    }
    dep_index_routes(c);
    mp_on_config(b->mp, c);
    dep_unref_config(c);
    b->engines = g_new0(Engine, b->engine_count);
    b->index = g_hash_table_new(g_str_hash, g_str_equal);
    uint32_t next = 0;
    for (uint32_t i = 0; i < b->engine_count; i++) {
        DepUpstream *u = dep_create_upstream();
        u->id = g_strdup_printf("i-%08x", i * 2654435761u);
        u->service = g_strdup("s");
        u->address = g_strdup("10.0.0.1:80");
        u->data_centre = g_strdup("z");
        u->slots = 32;
        u->born_ms = 1;
        for (int k = 0; k < COPIES; k++) {
            char *name = name_model(next++ % MAX(b->models, 1));
            g_ptr_array_add(u->on_disk, name);
            if (k < 2) {
                dep_add_resident(u, name);
            }
        }
        b->engines[i].state = u;
        g_hash_table_insert(b->index, u->id, &b->engines[i]);
        mp_on_entry(b->mp, b->now_ms, u);
    }
    mp_on_lease_gained(b->mp, b->now_ms);
}

static void
crash_half(Bench *b)
{
    for (uint32_t i = 0; i < b->engine_count; i += 2) {
        Engine *e = &b->engines[i];
        mp_on_removed(b->mp, e->state->id);
        g_ptr_array_set_size(e->state->models, 0);
        e->state->born_ms++;
        e->state->sequence = 0;
        e->ordered = false;
        g_clear_pointer(&e->coming, g_free);
        mp_on_entry(b->mp, b->now_ms, e->state);
        for (guint r = 0; r < b->requests->len; r++) {
            Request *q = &g_array_index(b->requests, Request, r);
            q->engine = q->engine == (int)i ? -1 : q->engine;
        }
    }
}

int
main(int argc, char **argv)
{
    if (argc != 6) {
        fprintf(stderr, "bench_mp UPSTREAMS MODELS ADAPTERS GATEWAYS "
                        "REQUESTS_PER_S\n");
        return 2;
    }
    Bench b = {.engine_count = (uint32_t)atoi(argv[1]),
               .models = (uint32_t)atoi(argv[2]),
               .adapters = (uint32_t)atoi(argv[3]),
               .gateways = (uint32_t)atoi(argv[4]),
               .rate = (uint32_t)atoi(argv[5]),
               .now_ms = 100000};
    bg_seed_random(&b.rng, 1);
    b.requests = g_array_new(FALSE, TRUE, sizeof(Request));
    b.row_of = g_new0(uint32_t, b.models);
    b.arrived = g_new0(uint32_t, (size_t)b.gateways * b.models);
    start(&b);
    run(&b, 5000, "warm");
    run(&b, 5000, "calm");
    crash_half(&b);
    run(&b, 1000, "crash");
    run(&b, 4000, "after");
    return 0;
}
