/* bglade-placer: decides which models are loaded on the upstreams of its data
   centre.  The decisions are made by the placement core (placer.h).  This file
   does its I/O: worker threads call upstreams for orders and reports, and a
   thread of its own fetches the VM list. */
#include "blocking_http.h"
#include "json_parser.h"
#include "node.h"
#include "placer.h"
#include "ring.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#define ORDER_THREADS 8
#define POLL_THREADS 8
#define JOB_RING 1024
#define ORDER_CONNECT_MS 300
#define ORDER_TOTAL_MS 2000
#define POLL_TOTAL_MS 1000
#define RESIDENCY_FULL_MS 5000
/* An order that waited longer for a worker is not sent: the process was paused
   or is overloaded, and the core has decided anew since. */
#define ORDER_MAX_AGE_MS 1500

static const IniRule rules[] = {
    {"vms", "address", INI_ADDRESS, true, NULL, 0, 0, NULL,
     "the platform's list of VMs"},
    {"vms", "poll_ms", INI_INT, false, "500", 10, 600000, NULL,
     "between polls of the list"},
    {"placer", "lease_ms", INI_INT, false, "2000", 100, 600000, NULL,
     "an owner not heard from for this time is succeeded"},
    {"placer", "poll_ms", INI_INT, false, "200", 10, 600000, NULL,
     "between polls of one upstream"},
    {"placer", "data_centres", INI_INT, false, "1", 1, 1000, NULL,
     "data centres that share the weight store in equal parts"},
    {"placer", "store_at_once", INI_INT, false, "4", 1, 100000, NULL,
     "loads from the store at once, all data centres together"},
    {"placer", "store_starts_per_minute", INI_INT, false, "180", 1, 1000000,
     NULL, "loads started from the store, all data centres together"},
    {"placer", "adapters_at_once", INI_INT, false, "32", 1, 100000, NULL,
     "adapters in transit at once, all data centres together"},
    {"placer", "gone_ms", INI_INT, false, "10000", 100, 3600000, NULL,
     "an upstream off the list and silent for this time is presumed gone"},
    {"placer", "keep_policy", INI_CHOICE, false, "break_even", 0, 0,
     "break_even|fixed|lru", "when an unused replica is released"},
    {"placer", "keep_min_ms", INI_INT, false, "2000", 0, 3600000, NULL,
     "break_even: shortest time an unused replica stays"},
    {"placer", "fixed_keep_ms", INI_INT, false, "60000", 0, 86400000, NULL,
     "fixed: time an unused replica stays"},
    {"placer", "per_replica", INI_INT, false, "64", 1, 100000, NULL,
     "waiting requests for which one replica is loaded"},
    {NULL, NULL, INI_TEXT, false, NULL, 0, 0, NULL, NULL}};

/* A call to an upstream, and its result. */
typedef struct {
    PlOrderKind kind;
    char *upstream;
    char *address;
    char *model;
    char *base;
    char *load_id;
    uint32_t memory_mb;
    uint32_t load_ms;
    uint64_t fence;
    uint64_t epoch;
    char *boot;
    uint64_t made_ms;
    HcResult res;
} Job;

typedef enum { PEV_JOB, PEV_VMS } PlacerEventKind;

typedef struct {
    PlacerEventKind kind;
    Job *job;
    json_t *vms;
} PlacerEvent;

typedef struct {
    Node *node;
    PlCore *core;
    Ring *orders; /* Job */
    Ring *polls;  /* Job */
    pthread_t threads[ORDER_THREADS + POLL_THREADS];
    pthread_t vm_thread;
    atomic_bool stopping;
    atomic_uint_fast64_t order_epoch; /* only orders of it are sent */
    uint64_t next_full_ms;
    bool log_ok;
    bool draining;
} Placer;

/* A worker takes jobs from one ring. */
typedef struct {
    Placer *placer;
    Ring *jobs;
} Worker;

/* ---- calls to upstreams ------------------------------------------------- */

static void
free_job(void *p)
{
    Job *j = p;
    g_free(j->upstream);
    g_free(j->address);
    g_free(j->model);
    g_free(j->base);
    g_free(j->load_id);
    g_free(j->boot);
    hc_free_result(&j->res);
    g_free(j);
}

static char *
make_body(const Job *j)
{
    json_t *doc = json_pack("{s:I}", "fence", (json_int_t)j->fence);
    if (j->model) {
        json_object_set_new(doc, "model", json_string(j->model));
        json_object_set_new(doc, "load_id", json_string(j->load_id));
        json_object_set_new(doc, "memory_mb", json_integer(j->memory_mb));
        json_object_set_new(doc, "load_ms", json_integer(j->load_ms));
    }
    if (j->base) {
        json_object_set_new(doc, "base", json_string(j->base));
    }
    char *text = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    return text;
}

static void
drop_job(Job *j)
{
    bg_count("placer_orders_dropped_total", 1);
    j->res.end = HC_NOT_SENT;
    j->res.body = g_string_new(NULL);
}

/* Whether the process at J's address is still the boot that J is for.  The
   order is then sent over the same connection, which ends with that process:
   so it reaches this boot or none.  Otherwise an order of a paused owner could
   reach a restarted upstream, which has lost its fencing token. */
static bool
check_boot(HcClient *http, const Job *j)
{
    g_autofree char *url =
        g_strconcat("http://", j->address, "/control/report", NULL);
    HcRequest req = {.method = "GET",
                     .url = url,
                     .connect_ms = ORDER_CONNECT_MS,
                     .total_ms = POLL_TOTAL_MS,
                     .pair_first = true};
    HcResult res;
    hc_call(http, &req, &res);
    json_t *doc = res.end == HC_DONE && res.status == 200
                      ? js_parse(res.body->str, res.body->len, NULL)
                      : NULL;
    const char *boot = json_string_value(json_object_get(doc, "boot"));
    bool same = boot && g_strcmp0(boot, j->boot) == 0;
    json_decref(doc);
    hc_free_result(&res);
    return same;
}

static void
run_job(HcClient *http, Job *j)
{
    bool bound = j->kind == PL_LOAD || j->kind == PL_UNLOAD;
    if (bound && !check_boot(http, j)) {
        drop_job(j);
        return;
    }
    static const char *const paths[] = {"/control/report", "/control/fence",
                                        "/control/load", "/control/unload"};
    static const char *const headers[] = {"Content-Type: application/json",
                                          NULL};
    g_autofree char *url =
        g_strconcat("http://", j->address, paths[j->kind], NULL);
    bool poll = j->kind == PL_POLL;
    char *body = poll ? NULL : make_body(j);
    HcRequest req = {.method = poll ? "GET" : "POST",
                     .url = url,
                     .headers = headers,
                     .body = body,
                     .body_len = body ? strlen(body) : 0,
                     .connect_ms = ORDER_CONNECT_MS,
                     .total_ms = poll ? POLL_TOTAL_MS : ORDER_TOTAL_MS,
                     /* The HTTP library must not repeat an order. */
                     .fresh = j->kind == PL_FENCE,
                     .pair_second = bound};
    hc_call(http, &req, &j->res);
    free(body);
}

/* Best effort: the process may be paused between this check and the send.  The
   records, not this check, ensure that a late order exceeds no ceiling. */
static bool
may_send(Placer *p, const Job *j)
{
    if (j->kind == PL_POLL) {
        return true;
    }
    return j->epoch == atomic_load(&p->order_epoch) &&
           bg_now_ms() - j->made_ms < ORDER_MAX_AGE_MS;
}

static void *
run_worker(void *arg)
{
    Worker *w = arg;
    HcClient *http = hc_create();
    while (!atomic_load(&w->placer->stopping)) {
        Job *j = ring_pop(w->jobs, 100);
        if (j) {
            if (may_send(w->placer, j)) {
                run_job(http, j);
            }
            else {
                drop_job(j);
            }
            PlacerEvent *e = g_new0(PlacerEvent, 1);
            e->kind = PEV_JOB;
            e->job = j;
            node_post_wait(w->placer->node, e);
        }
    }
    hc_destroy(http);
    g_free(w);
    return NULL;
}

/* ---- the VM list -------------------------------------------------------- */

static void
fetch_vms(Placer *p, HcClient *http)
{
    const IniFile *f = node_get_settings(p->node);
    g_autofree char *url = g_strconcat(
        "http://", ini_get_text(f, "vms", "address"), "/v1/vms", NULL);
    HcRequest req = {.method = "GET",
                     .url = url,
                     .connect_ms = ORDER_CONNECT_MS,
                     .total_ms = ORDER_TOTAL_MS};
    HcResult res;
    hc_call(http, &req, &res);
    json_t *doc = res.end == HC_DONE && res.status == 200
                      ? js_parse(res.body->str, res.body->len, NULL)
                      : NULL;
    if (json_is_array(json_object_get(doc, "vms"))) {
        PlacerEvent *e = g_new0(PlacerEvent, 1);
        e->kind = PEV_VMS;
        e->vms = doc;
        node_post_wait(p->node, e);
    }
    else {
        bg_count("placer_vm_list_failures_total", 1);
        json_decref(doc);
    }
    hc_free_result(&res);
}

static void *
run_vm_list(void *arg)
{
    Placer *p = arg;
    HcClient *http = hc_create();
    uint32_t poll_ms =
        (uint32_t)ini_get_int(node_get_settings(p->node), "vms", "poll_ms");
    while (!atomic_load(&p->stopping)) {
        fetch_vms(p, http);
        bg_sleep_ms(poll_ms);
    }
    hc_destroy(http);
    return NULL;
}

static const char *
get_text(const json_t *doc, const char *key)
{
    const char *text = json_string_value(json_object_get(doc, key));
    return text ? text : "";
}

static void
take_vms(Placer *p, uint64_t now_ms, json_t *doc)
{
    g_autoptr(GArray) vms = g_array_new(FALSE, TRUE, sizeof(PlVm));
    size_t i;
    json_t *v;
    json_array_foreach(json_object_get(doc, "vms"), i, v)
    {
        PlVm vm = {get_text(v, "id"), get_text(v, "deployment"),
                   get_text(v, "address"),
                   strcmp(get_text(v, "state"), "leaving") == 0};
        if (strcmp(get_text(v, "data_centre"),
                   node_get_data_centre(p->node)) == 0 &&
            *vm.id && ini_check_address(vm.address)) {
            g_array_append_val(vms, vm);
        }
    }
    pl_on_vms(p->core, now_ms, (PlVm *)(void *)vms->data, vms->len);
}

/* ---- answers of upstreams ----------------------------------------------- */

/* A parsed report; its strings belong to the JSON document. */
typedef struct {
    PlReport report;
    GArray *residents;
    GPtrArray *memory_tier;
    GPtrArray *disk_tier;
} ParsedReport;

static void
parse_tiers(ParsedReport *p, json_t *tiers)
{
    const char *name;
    json_t *tier;
    json_object_foreach(tiers, name, tier)
    {
        const char *word = json_string_value(tier);
        if (g_strcmp0(word, "memory") == 0) {
            g_ptr_array_add(p->memory_tier, (gpointer)name);
        }
        else if (g_strcmp0(word, "disk") == 0) {
            g_ptr_array_add(p->disk_tier, (gpointer)name);
        }
    }
    g_ptr_array_add(p->memory_tier, NULL);
    g_ptr_array_add(p->disk_tier, NULL);
    p->report.memory_tier = (const char *const *)p->memory_tier->pdata;
    p->report.disk_tier = (const char *const *)p->disk_tier->pdata;
}

static void
parse_residents(ParsedReport *p, json_t *models)
{
    size_t i;
    json_t *m;
    json_array_foreach(models, i, m)
    {
        PlResident r = {
            get_text(m, "name"), get_text(m, "load_id"),
            strcmp(get_text(m, "state"), "loaded") == 0,
            (uint32_t)json_integer_value(json_object_get(m, "memory_mb"))};
        g_array_append_val(p->residents, r);
    }
    p->report.residents = (PlResident *)(void *)p->residents->data;
    p->report.resident_count = p->residents->len;
}

static bool
parse_report(ParsedReport *p, json_t *doc)
{
    memset(p, 0, sizeof(*p));
    p->residents = g_array_new(FALSE, TRUE, sizeof(PlResident));
    p->memory_tier = g_ptr_array_new();
    p->disk_tier = g_ptr_array_new();
    if (!json_is_integer(json_object_get(doc, "seq"))) {
        return false;
    }
    PlReport *r = &p->report;
    r->boot = get_text(doc, "boot");
    r->seq = (uint64_t)json_integer_value(json_object_get(doc, "seq"));
    r->capacity_mb =
        (uint32_t)json_integer_value(json_object_get(doc, "capacity_mb"));
    r->inflight =
        (uint32_t)json_integer_value(json_object_get(doc, "inflight"));
    r->leaving = json_is_true(json_object_get(doc, "leaving"));
    parse_residents(p, json_object_get(doc, "models"));
    parse_tiers(p, json_object_get(doc, "tiers"));
    return true;
}

static void
clear_report(ParsedReport *p)
{
    g_array_free(p->residents, TRUE);
    g_ptr_array_free(p->memory_tier, TRUE);
    g_ptr_array_free(p->disk_tier, TRUE);
}

static PlOrderOutcome
classify(const Job *j, json_t *doc)
{
    if (j->res.end == HC_NOT_SENT) {
        return PL_NOT_SENT;
    }
    if (j->res.end != HC_DONE) {
        return PL_UNKNOWN;
    }
    if (j->res.status == 200 || j->res.status == 202) {
        return PL_ACKED;
    }
    if (j->res.status == 409) {
        return strcmp(get_text(doc, "error"), "fence") == 0 ? PL_STALE
                                                            : PL_BUSY;
    }
    /* 4xx: the upstream itself refused the order.  Other errors leave open
       whether it was carried out. */
    return j->res.status >= 400 && j->res.status < 500 ? PL_BUSY : PL_UNKNOWN;
}

static void
take_job(Placer *p, uint64_t now_ms, Job *j)
{
    json_t *doc = js_parse(j->res.body->str, j->res.body->len, NULL);
    ParsedReport parsed;
    bool has_report = parse_report(&parsed, doc) &&
                      (j->kind == PL_POLL || j->kind == PL_FENCE) &&
                      j->res.status == 200;
    PlOrderResult r = {
        .kind = j->kind,
        .upstream = j->upstream,
        .model = j->model,
        .load_id = j->load_id,
        .outcome = classify(j, doc),
        .fence = j->fence,
        .epoch = j->epoch,
        .seq = (uint64_t)json_integer_value(json_object_get(doc, "seq")),
        .report = has_report ? &parsed.report : NULL};
    pl_on_order_done(p->core, now_ms, &r);
    clear_report(&parsed);
    json_decref(doc);
    free_job(j);
}

/* ---- output of the core ------------------------------------------------- */

static void
output_append(void *ctx, Bg__Record *r)
{
    Placer *p = ctx;
    if (!node_append(p->node, r)) {
        bg_count("placer_append_full_total", 1);
    }
}

static void
output_order(void *ctx, const PlOrder *o)
{
    Placer *p = ctx;
    Job *j = g_new0(Job, 1);
    j->kind = o->kind;
    j->upstream = g_strdup(o->upstream);
    j->address = g_strdup(o->address);
    j->model = g_strdup(o->model);
    j->base = g_strdup(o->base);
    j->load_id = g_strdup(o->load_id);
    j->memory_mb = o->memory_mb;
    j->load_ms = o->load_ms;
    j->fence = o->fence;
    j->epoch = o->epoch;
    j->boot = g_strdup(o->boot);
    j->made_ms = bg_now_ms();
    if (o->kind != PL_POLL) {
        atomic_store(&p->order_epoch, o->epoch);
    }
    Ring *ring = o->kind == PL_POLL ? p->polls : p->orders;
    if (!ring_push(ring, j)) {
        /* Report it as not sent by an event, as the core must not be called
           back from within a decision. */
        drop_job(j);
        PlacerEvent *e = g_new0(PlacerEvent, 1);
        e->kind = PEV_JOB;
        e->job = j;
        if (!node_post(p->node, e)) {
            bg_log(BG_FAULT, "placer",
                   "An order was lost: its ring and the event ring are full.");
            g_free(e);
            free_job(j);
        }
    }
}

static void
output_refuse(void *ctx, const char *model, uint64_t retry_after_ms,
              const char *reason)
{
    Placer *p = ctx;
    Bg__WantRefused w = BG__WANT_REFUSED__INIT;
    w.model = (char *)model;
    w.retry_after_ms = retry_after_ms;
    w.reason = (char *)reason;
    Bg__Frame frame = BG__FRAME__INIT;
    frame.body_case = BG__FRAME__BODY_WANT_REFUSED;
    frame.want_refused = &w;
    node_send(p->node, NULL, node_get_data_centre(p->node), "router", &frame);
}

static void
send_residency(Placer *p, const char *to, bool full)
{
    Bg__Residency *r = pl_take_residency(p->core, full);
    if (!r) {
        return;
    }
    Bg__Frame frame = BG__FRAME__INIT;
    frame.body_case = BG__FRAME__BODY_RESIDENCY;
    frame.residency = r;
    node_send(p->node, to, NULL, "router", &frame);
    bg__residency__free_unpacked(r, NULL);
}

/* ---- role --------------------------------------------------------------- */

static void
start_threads(Placer *p)
{
    p->orders = ring_create(JOB_RING);
    p->polls = ring_create(JOB_RING);
    for (int i = 0; i < ORDER_THREADS + POLL_THREADS; i++) {
        Worker *w = g_new0(Worker, 1);
        w->placer = p;
        w->jobs = i < ORDER_THREADS ? p->orders : p->polls;
        pthread_create(&p->threads[i], NULL, run_worker, w);
    }
    pthread_create(&p->vm_thread, NULL, run_vm_list, p);
}

static KeepPolicy
get_keep_policy(const IniFile *f)
{
    const char *word = ini_get_text(f, "placer", "keep_policy");
    if (strcmp(word, "fixed") == 0) {
        return KEEP_FIXED;
    }
    return strcmp(word, "lru") == 0 ? KEEP_LRU : KEEP_BREAK_EVEN;
}

/* Each data centre has an equal fixed share, so that all together keep to the
   store's limits even when they cannot reach each other. */
static void
set_shares(PlParams *params, const IniFile *f)
{
    uint32_t centres = (uint32_t)ini_get_int(f, "placer", "data_centres");
    uint32_t at_once = (uint32_t)ini_get_int(f, "placer", "store_at_once");
    uint32_t starts =
        (uint32_t)ini_get_int(f, "placer", "store_starts_per_minute");
    uint32_t adapters = (uint32_t)ini_get_int(f, "placer", "adapters_at_once");
    params->max_loads = MAX(at_once / centres, 1);
    params->load_gap_ms = 60000 * centres / starts;
    params->max_adapters = MAX(adapters / centres, 1);
}

static bool
start_placer(void *ctx, Node *n, GError **err)
{
    (void)err;
    Placer *p = ctx;
    p->node = n;
    const IniFile *f = node_get_settings(n);
    PlParams params = {
        .node = node_get_name(n),
        .data_centre = node_get_data_centre(n),
        .lease_ms = (uint32_t)ini_get_int(f, "placer", "lease_ms"),
        .poll_ms = (uint32_t)ini_get_int(f, "placer", "poll_ms"),
        .gone_ms = (uint32_t)ini_get_int(f, "placer", "gone_ms"),
        .keep_policy = get_keep_policy(f),
        .keep_min_ms = (uint32_t)ini_get_int(f, "placer", "keep_min_ms"),
        .keep_fixed_ms = (uint32_t)ini_get_int(f, "placer", "fixed_keep_ms"),
        .per_replica = (uint32_t)ini_get_int(f, "placer", "per_replica"),
        .seed = bg_now_us()};
    set_shares(&params, f);
    PlOutput out = {p, output_append, output_order, output_refuse};
    p->core = pl_create(&params, node_get_fold(n), &out);
    start_threads(p);
    return true;
}

static void
stop_placer(void *ctx)
{
    Placer *p = ctx;
    atomic_store(&p->stopping, true);
    for (int i = 0; i < ORDER_THREADS + POLL_THREADS; i++) {
        pthread_join(p->threads[i], NULL);
    }
    pthread_join(p->vm_thread, NULL);
    ring_destroy(p->orders, free_job);
    ring_destroy(p->polls, free_job);
    pl_destroy(p->core);
}

static void
on_record(void *ctx, uint64_t now_ms, uint64_t offset, const Bg__Record *r,
          FoldResult result, const char *why)
{
    (void)why;
    Placer *p = ctx;
    pl_on_record(p->core, now_ms, offset, r, result);
    atomic_store(&p->order_epoch, pl_get_order_epoch(p->core));
}

static void
on_config(void *ctx, uint64_t now_ms, const CfgSet *cfg)
{
    (void)now_ms;
    pl_on_config(((Placer *)ctx)->core, cfg);
}

static void
on_frame(void *ctx, uint64_t now_ms, const PeerInfo *from,
         const Bg__Frame *frame)
{
    Placer *p = ctx;
    if (frame->body_case == BG__FRAME__BODY_DEMAND) {
        pl_on_demand(p->core, now_ms, from->node, frame->demand);
    }
    else if (frame->body_case == BG__FRAME__BODY_HEARTBEAT &&
             strcmp(from->role, "placer") == 0) {
        pl_on_heartbeat(p->core, now_ms, from->node, frame->heartbeat->owner);
    }
}

static void
on_link(void *ctx, uint64_t now_ms, const PeerInfo *peer, bool up)
{
    (void)now_ms;
    Placer *p = ctx;
    if (up && strcmp(peer->role, "router") == 0) {
        send_residency(p, peer->node, true);
    }
}

static void
on_log(void *ctx, uint64_t now_ms, bool reachable, bool caught_up)
{
    Placer *p = ctx;
    p->log_ok = p->log_ok || caught_up;
    pl_on_log(p->core, now_ms, reachable, caught_up);
}

static void
on_event(void *ctx, uint64_t now_ms, void *event)
{
    Placer *p = ctx;
    PlacerEvent *e = event;
    if (e->kind == PEV_JOB) {
        take_job(p, now_ms, e->job);
    }
    else {
        take_vms(p, now_ms, e->vms);
        json_decref(e->vms);
    }
    g_free(e);
}

static void
on_tick(void *ctx, uint64_t now_ms)
{
    Placer *p = ctx;
    pl_on_tick(p->core, now_ms);
    atomic_store(&p->order_epoch, pl_get_order_epoch(p->core));
    send_residency(p, NULL, false);
    /* A lost delta is corrected by the owner's next snapshot.  Placers that
       are not the owner send none: theirs hold little and would be most of the
       traffic. */
    if (now_ms >= p->next_full_ms && pl_is_owner(p->core)) {
        p->next_full_ms = now_ms + RESIDENCY_FULL_MS;
        send_residency(p, NULL, true);
    }
}

static void
on_drain(void *ctx, uint64_t now_ms)
{
    Placer *p = ctx;
    p->draining = true;
    pl_on_drain(p->core, now_ms);
}

static bool
is_drained(void *ctx)
{
    Placer *p = ctx;
    return p->draining && pl_is_drained(p->core);
}

static bool
is_ready(void *ctx)
{
    return ((Placer *)ctx)->log_ok;
}

static bool
is_owner(void *ctx)
{
    return pl_is_active(((Placer *)ctx)->core);
}

static char *
dump(void *ctx)
{
    return pl_dump(((Placer *)ctx)->core);
}

int
main(int argc, char **argv)
{
    Placer placer = {0};
    NodeRole role = {.role = "placer",
                     .doc = "Decides what is loaded where in its data centre "
                            "and orders it.",
                     .rules = rules,
                     .start = start_placer,
                     .stop = stop_placer,
                     .on_record = on_record,
                     .on_config = on_config,
                     .on_frame = on_frame,
                     .on_link = on_link,
                     .on_log = on_log,
                     .on_event = on_event,
                     .on_tick = on_tick,
                     .on_drain = on_drain,
                     .is_drained = is_drained,
                     .is_ready = is_ready,
                     .is_owner = is_owner,
                     .dump = dump,
                     .ctx = &placer};
    return node_main(argc, argv, &role);
}
