/* bglade-router: serves client requests and forwards them to upstreams.  It
   connects the cores (routing, limits, at-most-once, quarantine) to the node,
   the HTTP server and the probe thread. */
#include "blocking_http.h"
#include "node.h"
#include "req.h"
#include "ring.h"
#include "router.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#define DEMAND_INTERVAL_MS 100
#define TRIM_INTERVAL_MS 1000
#define PROBE_RING 256
#define PROBE_CONNECT_MS 300
#define PROBE_TOTAL_MS 1000
#define DEMAND_REPEAT_MS 1000 /* below its time to live at the placer */
/* Longer than the log client retries a batch. */
#define RESEND_MS 70000

static const IniRule rules[] = {
    {"router", "max_waiting_lookup", INI_INT, false, "1000", 1, 1000000, NULL,
     "max. queued lookups and service calls"},
    {"router", "max_waiting_interactive", INI_INT, false, "1000", 1, 1000000,
     NULL, "max. queued interactive requests"},
    {"router", "max_waiting_batch", INI_INT, false, "1000", 1, 1000000, NULL,
     "max. queued batch requests"},
    {"router", "per_upstream", INI_INT, false, "64", 1, 100000, NULL,
     "max. requests of this router in flight on one upstream"},
    {"router", "eject_failures", INI_INT, false, "3", 1, 1000, NULL,
     "consecutive failures after which an upstream is ejected"},
    {"router", "eject_ms", INI_INT, false, "1000", 1, 600000, NULL,
     "time from ejection to the first probe, and between probes"},
    {"router", "return_ms", INI_INT, false, "500", 1, 600000, NULL,
     "interval at which a recovered upstream's traffic share doubles"},
    {"router", "retry_percent", INI_INT, false, "20", 0, 100, NULL,
     "retry budget, retries per hundred requests"},
    {"router", "max_sends", INI_INT, false, "4", 1, 100, NULL,
     "max. attempts of one request"},
    {"router", "early_refusal", INI_BOOL, false, "true", 0, 0, NULL,
     "refuse requests at once that can't be served in time"},
    {"router", "routers", INI_INT, false, "1", 1, 100000, NULL,
     "number of routers in the whole system, which share the limits"},
    {"router", "limit_lease_ms", INI_INT, false, "5000", 100, 3600000, NULL,
     "time for which a share of a limit is lent to another router"},
    {"router", "connect_ms", INI_INT, false, "300", 10, 60000, NULL,
     "timeout for connecting to an upstream"},
    {"router", "first_byte_ms", INI_INT, false, "5000", 50, 3600000, NULL,
     "timeout for the first byte of a stream"},
    {"router", "answer_ms", INI_INT, false, "10000", 50, 3600000, NULL,
     "timeout for an unstreamed completion; three long runs if longer"},
    {"router", "idle_ms", INI_INT, false, "5000", 50, 3600000, NULL,
     "timeout between bytes of an answer"},
    {"router", "pool_idle_ms", INI_INT, false, "10000", 1000, 600000, NULL,
     "pooled connections idle for longer are not used again"},
    {"router", "claim_wait_ms", INI_INT, false, "2000", 1, 600000, NULL,
     "timeout for the claim of a non-idempotent call"},
    {NULL, NULL, INI_TEXT, false, NULL, 0, 0, NULL, NULL}};

/* A health check of an upstream, over a new connection. */
typedef struct {
    char *upstream;
    char *address;
    bool healthy;
} Probe;

typedef struct {
    Node *node;
    RtCore *core;
    Desk *desk;
    Lim *lim;
    GHashTable *linked_routers; /* names of the routers that are linked */
    Ring *probes;               /* Probe, to the probe thread */
    Ring *probed;               /* Probe, back from it */
    pthread_t probe_thread;
    atomic_bool stopping;
    OnceCore *once;
    QrCore *quarantine;
    uint64_t next_demand_ms;
    uint64_t next_trim_ms;
    uint64_t repeat_demand_ms;
    GByteArray *last_demand; /* packed; NULL: none */
    bool configured;         /* a configuration is in force */
    bool draining;
} Router;

/* ---- probes ------------------------------------------------------------- */

static void
free_probe(void *p)
{
    Probe *probe = p;
    g_free(probe->upstream);
    g_free(probe->address);
    g_free(probe);
}

static bool
check_health(HcClient *http, const char *address)
{
    g_autofree char *url =
        g_strconcat("http://", address, "/control/report", NULL);
    HcRequest req = {.method = "GET",
                     .url = url,
                     .connect_ms = PROBE_CONNECT_MS,
                     .total_ms = PROBE_TOTAL_MS,
                     .fresh = true};
    HcResult res;
    hc_call(http, &req, &res);
    bool healthy = res.end == HC_DONE && res.status == 200;
    hc_free_result(&res);
    return healthy;
}

static void *
run_probes(void *arg)
{
    Router *r = arg;
    HcClient *http = hc_create();
    while (!atomic_load(&r->stopping)) {
        Probe *p = ring_pop(r->probes, 100);
        if (!p) {
            continue;
        }
        p->healthy = check_health(http, p->address);
        if (!ring_push(r->probed, p)) {
            free_probe(p); /* the core requests it again */
        }
    }
    hc_destroy(http);
    return NULL;
}

static void
apply_probes(Router *r, uint64_t now_ms)
{
    Probe *p;
    while ((p = ring_pop(r->probed, 0))) {
        rt_on_probe(r->core, now_ms, p->upstream, p->address, p->healthy);
        free_probe(p);
    }
}

/* ---- output of the core ------------------------------------------------- */

static void
output_send(void *ctx, uint64_t id, const char *upstream, const char *address,
            uint32_t long_run_ms)
{
    Router *r = ctx;
    once_on_sent(r->once, id);
    desk_on_send(r->desk, id, upstream, address, long_run_ms);
}

static void
output_refuse(void *ctx, uint64_t id, RtReason reason, uint64_t retry_after_ms)
{
    Router *r = ctx;
    once_on_refused(r->once, bg_now_ms(), bg_wall_ms(), id);
    desk_on_refuse(r->desk, id, reason, retry_after_ms);
}

static void
output_finish(void *ctx, uint64_t id)
{
    Router *r = ctx;
    once_on_broken(r->once, bg_now_ms(), bg_wall_ms(), id);
    desk_on_finish(r->desk, id);
}

static void
output_once(void *ctx, uint64_t id, const OnceDecision *decision)
{
    Router *r = ctx;
    desk_on_once(r->desk, r->core, bg_now_ms(), id, decision);
}

static bool
output_append(void *ctx, Bg__Record *record)
{
    return node_append(((Router *)ctx)->node, record);
}

/* Creates the cores that are based on the log: at-most-once, quarantine. */
static void
create_log_cores(Router *r)
{
    const IniFile *f = node_get_settings(r->node);
    const char *author = ini_get_text(f, "node", "name");
    OnceParams once = {author,
                       (uint32_t)ini_get_int(f, "router", "claim_wait_ms"),
                       RESEND_MS};
    OnceOutput once_out = {r, output_once, output_append};
    r->once = once_create(&once, &once_out, node_get_fold(r->node));
    QrParams quarantine = {author, RESEND_MS};
    QrOutput quarantine_out = {r, output_append};
    r->quarantine =
        qr_create(&quarantine, &quarantine_out, node_get_fold(r->node));
    desk_use_cores(r->desk, r->once, r->quarantine);
}

static void
output_probe(void *ctx, const char *upstream, const char *address)
{
    Router *r = ctx;
    Probe *p = g_new0(Probe, 1);
    p->upstream = g_strdup(upstream);
    p->address = g_strdup(address);
    if (!ring_push(r->probes, p)) {
        free_probe(p); /* the core requests it again */
    }
}

static void
output_ask(void *ctx, const Bg__LimitAsk *ask)
{
    Bg__Frame frame = BG__FRAME__INIT;
    frame.body_case = BG__FRAME__BODY_LIMIT_ASK;
    frame.limit_ask = (Bg__LimitAsk *)ask;
    node_send(((Router *)ctx)->node, NULL, NULL, "router", &frame);
}

static void
output_lend(void *ctx, const char *to, const Bg__LimitLoan *loan)
{
    Bg__Frame frame = BG__FRAME__INIT;
    frame.body_case = BG__FRAME__BODY_LIMIT_LOAN;
    frame.limit_loan = (Bg__LimitLoan *)loan;
    node_send(((Router *)ctx)->node, to, NULL, "router", &frame);
}

static void
output_leaving(void *ctx, const char *upstream, const char *address)
{
    Bg__UpstreamLeft message = BG__UPSTREAM_LEFT__INIT;
    message.upstream = (char *)upstream;
    message.address = (char *)address;
    Bg__Frame frame = BG__FRAME__INIT;
    frame.body_case = BG__FRAME__BODY_UPSTREAM_LEFT;
    frame.upstream_left = &message;
    node_send(((Router *)ctx)->node, NULL, NULL, "router", &frame);
}

static uint32_t
get_setting(const IniFile *f, const char *key)
{
    return (uint32_t)ini_get_int(f, "router", key);
}

static bool
start_router(void *ctx, Node *n, GError **err)
{
    (void)err;
    Router *r = ctx;
    r->node = n;
    const IniFile *f = node_get_settings(n);
    RtParams params = {
        .up = {.data_centre = node_get_data_centre(n),
               .per_upstream = get_setting(f, "per_upstream"),
               .eject_failures = get_setting(f, "eject_failures"),
               .eject_ms = get_setting(f, "eject_ms"),
               .return_ms = get_setting(f, "return_ms"),
               .seed = bg_now_us()},
        .max_waiting = {get_setting(f, "max_waiting_lookup"),
                        get_setting(f, "max_waiting_interactive"),
                        get_setting(f, "max_waiting_batch")},
        .retry_percent = get_setting(f, "retry_percent"),
        .max_sends = get_setting(f, "max_sends"),
        .early_refusal = ini_get_bool(f, "router", "early_refusal"),
        .seed = bg_now_us()};
    RtOutput out = {r,
                    output_send,
                    output_refuse,
                    output_finish,
                    output_probe,
                    output_leaving};
    LimParams limits = {get_setting(f, "routers"),
                        get_setting(f, "limit_lease_ms")};
    LimOutput limit_out = {r, output_ask, output_lend};
    r->lim = lim_create(&limits, &limit_out, bg_now_ms());
    r->linked_routers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    r->desk = desk_create(n, r->lim);
    r->core = rt_create(&params, &out);
    create_log_cores(r);
    r->probes = ring_create(PROBE_RING);
    r->probed = ring_create(PROBE_RING);
    pthread_create(&r->probe_thread, NULL, run_probes, r);
    return true;
}

static void
stop_router(void *ctx)
{
    Router *r = ctx;
    atomic_store(&r->stopping, true);
    pthread_join(r->probe_thread, NULL);
    ring_destroy(r->probes, free_probe);
    ring_destroy(r->probed, free_probe);
    rt_destroy(r->core);
    desk_destroy(r->desk);
    lim_destroy(r->lim);
    g_hash_table_destroy(r->linked_routers);
    once_destroy(r->once);
    qr_destroy(r->quarantine);
    if (r->last_demand) {
        g_byte_array_free(r->last_demand, TRUE);
    }
}

static void
on_record(void *ctx, uint64_t now_ms, uint64_t offset, const Bg__Record *rec,
          FoldResult result, const char *why)
{
    (void)offset;
    Router *r = ctx;
    if (rec->body_case == BG__RECORD__BODY_KEY) {
        once_on_record(r->once, now_ms, bg_wall_ms(), rec->key, result, why);
    }
    else if (rec->body_case == BG__RECORD__BODY_DEATH) {
        qr_on_record(r->quarantine, rec->death);
        if (result == FOLD_APPLIED) {
            desk_on_death(r->desk, r->core, rec->death->request_digest.data);
        }
    }
}

static void
report_boots(Router *r, uint64_t now_ms, const Bg__Residency *m)
{
    for (size_t i = 0; i < m->n_upstreams; i++) {
        const Bg__UpstreamState *s = m->upstreams[i];
        if (*s->boot) {
            qr_on_boot(r->quarantine, now_ms, bg_wall_ms(), s->upstream,
                       s->boot);
        }
    }
}

static void
on_config(void *ctx, uint64_t now_ms, const CfgSet *cfg)
{
    (void)now_ms;
    Router *r = ctx;
    lim_on_config(r->lim, cfg);
    r->configured = true;
}

static void
on_frame(void *ctx, uint64_t now_ms, const PeerInfo *from,
         const Bg__Frame *frame)
{
    Router *r = ctx;
    switch (frame->body_case) {
    case BG__FRAME__BODY_RESIDENCY:
        report_boots(r, now_ms, frame->residency);
        rt_on_residency(r->core, now_ms, frame->residency);
        break;
    case BG__FRAME__BODY_WANT_REFUSED:
        rt_on_demand_refused(r->core, now_ms, frame->want_refused->model,
                             frame->want_refused->retry_after_ms);
        break;
    case BG__FRAME__BODY_LIMIT_ASK:
        lim_on_ask(r->lim, now_ms, from->node, frame->limit_ask);
        break;
    case BG__FRAME__BODY_LIMIT_LOAN:
        lim_on_loan(r->lim, now_ms, from->node, frame->limit_loan);
        break;
    case BG__FRAME__BODY_UPSTREAM_LEFT:
        rt_on_leaving(r->core, now_ms, frame->upstream_left->upstream,
                      frame->upstream_left->address);
        break;
    default:
        break;
    }
}

static void
on_link(void *ctx, uint64_t now_ms, const PeerInfo *peer, bool up)
{
    (void)now_ms;
    Router *r = ctx;
    if (up) {
        r->repeat_demand_ms = 0; /* send it to a newly linked placer */
    }
    if (strcmp(peer->role, "router") != 0) {
        return;
    }
    if (up) {
        g_hash_table_add(r->linked_routers, g_strdup(peer->node));
    }
    else {
        g_hash_table_remove(r->linked_routers, peer->node);
    }
    lim_on_peers(r->lim, g_hash_table_size(r->linked_routers));
}

static void
on_log(void *ctx, uint64_t now_ms, bool reachable, bool caught_up)
{
    (void)now_ms;
    (void)caught_up;
    once_on_log(((Router *)ctx)->once, reachable);
}

static void
on_event(void *ctx, uint64_t now_ms, void *event)
{
    Router *r = ctx;
    desk_on_event(r->desk, r->core, now_ms, event);
}

/* Unchanged demand is repeated periodically, as a frame may be lost.  Empty
   demand is not: at the placer the former demand expires, which has the same
   effect. */
static bool
is_demand_due(Router *r, uint64_t now_ms, const Bg__Demand *d)
{
    GByteArray *bytes = g_byte_array_new();
    g_byte_array_set_size(bytes, (guint)bg__demand__get_packed_size(d));
    bg__demand__pack(d, bytes->data);
    GByteArray *last = r->last_demand;
    bool same = last && last->len == bytes->len &&
                memcmp(last->data, bytes->data, bytes->len) == 0;
    bool empty = d->n_wants == 0 && d->n_usage == 0;
    bool due = !same || (!empty && now_ms >= r->repeat_demand_ms);
    if (last) {
        g_byte_array_free(last, TRUE);
    }
    r->last_demand = bytes;
    return due;
}

static void
send_demand(Router *r, uint64_t now_ms)
{
    Bg__Demand *d = rt_make_demand(r->core, now_ms, node_get_name(r->node));
    if (is_demand_due(r, now_ms, d)) {
        r->repeat_demand_ms = now_ms + DEMAND_REPEAT_MS;
        Bg__Frame frame = BG__FRAME__INIT;
        frame.body_case = BG__FRAME__BODY_DEMAND;
        frame.demand = d;
        node_send(r->node, NULL, node_get_data_centre(r->node), "placer",
                  &frame);
    }
    bg__demand__free_unpacked(d, NULL);
}

static void
on_tick(void *ctx, uint64_t now_ms)
{
    Router *r = ctx;
    once_on_tick(r->once, now_ms, bg_wall_ms());
    qr_on_tick(r->quarantine, now_ms);
    apply_probes(r, now_ms);
    rt_on_tick(r->core, now_ms);
    if (now_ms >= r->next_trim_ms) {
        r->next_trim_ms = now_ms + TRIM_INTERVAL_MS;
        desk_trim_memory(r->desk);
    }
    if (now_ms >= r->next_demand_ms) {
        r->next_demand_ms = now_ms + DEMAND_INTERVAL_MS;
        send_demand(r, now_ms);
    }
}

static void
on_drain(void *ctx, uint64_t now_ms)
{
    Router *r = ctx;
    r->draining = true;
    once_on_drain(r->once);
    rt_on_drain(r->core, now_ms);
}

static bool
is_drained(void *ctx)
{
    Router *r = ctx;
    return r->draining && rt_count_requests(r->core) == 0 &&
           once_count_open(r->once) == 0 && desk_count(r->desk) == 0;
}

static bool
is_ready(void *ctx)
{
    return ((Router *)ctx)->configured;
}

static char *
dump(void *ctx)
{
    Router *r = ctx;
    g_autofree char *routing = rt_dump(r->core);
    g_autofree char *once = once_dump(r->once);
    /* One object: the routing core's members and "once". */
    return g_strdup_printf("{\"once\":%s,%s", once, routing + 1);
}

static int
on_http(void *ctx, struct mg_connection *conn)
{
    return req_handle(((Router *)ctx)->desk, conn);
}

int
main(int argc, char **argv)
{
    Router router = {0};
    NodeRole role = {
        .role = "router",
        .doc = "Serves client requests: admission, routing, streaming.",
        .rules = rules,
        .start = start_router,
        .stop = stop_router,
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
        .dump = dump,
        .on_http = on_http,
        .ctx = &router};
    return node_main(argc, argv, &role);
}
