/* bglade-router: answers callers.  Shell around the routing core. */
#include "node.h"
#include "req.h"
#include "rt.h"

#include <string.h>

#define DEMAND_MS 100
/* Longer than the log client keeps trying one batch. */
#define RESEND_MS 70000

static const IniRule rules[] = {
    {"router", "max_waiting", INI_INT, false, "1000", 1, 1000000, NULL,
     "requests that may wait, in each class"},
    {"router", "per_upstream", INI_INT, false, "64", 1, 100000, NULL,
     "requests of this router on one upstream at once"},
    {"router", "eject_failures", INI_INT, false, "3", 1, 1000, NULL,
     "consecutive failures after which an upstream rests"},
    {"router", "eject_ms", INI_INT, false, "2000", 1, 600000, NULL,
     "how long it rests"},
    {"router", "retry_percent", INI_INT, false, "20", 0, 100, NULL,
     "retries allowed for each hundred requests"},
    {"router", "claim_wait_ms", INI_INT, false, "2000", 1, 600000, NULL,
     "longest wait for the claim of a non-idempotent call"},
    {NULL, NULL, INI_TEXT, false, NULL, 0, 0, NULL, NULL}};

typedef struct {
    Node *node;
    RtCore *core;
    ReqDesk *desk;
    OnceCore *once;
    QrCore *quarantine;
    uint64_t next_demand_ms;
    bool configured; /* a configuration has come in force */
    bool draining;
} Router;

static void
output_send(void *ctx, uint64_t id, const char *upstream, const char *address)
{
    Router *r = ctx;
    once_on_sent(r->once, id);
    req_on_send(r->desk, id, upstream, address);
}

static void
output_refuse(void *ctx, uint64_t id, RtReason reason, uint64_t retry_after_ms)
{
    Router *r = ctx;
    once_on_refused(r->once, bg_now_ms(), bg_wall_ms(), id);
    req_on_refuse(r->desk, id, reason, retry_after_ms);
}

static void
output_finish(void *ctx, uint64_t id)
{
    Router *r = ctx;
    once_on_broken(r->once, bg_now_ms(), bg_wall_ms(), id);
    req_on_finish(r->desk, id);
}

static void
output_once(void *ctx, uint64_t id, const OnceDecision *decision)
{
    Router *r = ctx;
    req_on_once(r->desk, r->core, bg_now_ms(), id, decision);
}

static bool
output_append(void *ctx, Bg__Record *record)
{
    return node_append(((Router *)ctx)->node, record);
}

/* The two cores that decide by the log: at most once, and quarantine. */
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
    req_use_cores(r->desk, r->once, r->quarantine);
}

static bool
start_router(void *ctx, Node *n, GError **err)
{
    (void)err;
    Router *r = ctx;
    r->node = n;
    const IniFile *f = node_get_settings(n);
    RtParams params = {
        .data_centre = node_get_data_centre(n),
        .max_waiting = (uint32_t)ini_get_int(f, "router", "max_waiting"),
        .per_upstream = (uint32_t)ini_get_int(f, "router", "per_upstream"),
        .eject_failures = (uint32_t)ini_get_int(f, "router", "eject_failures"),
        .eject_ms = (uint32_t)ini_get_int(f, "router", "eject_ms"),
        .retry_percent = (uint32_t)ini_get_int(f, "router", "retry_percent"),
        .seed = bg_now_us()};
    RtOutput out = {r, output_send, output_refuse, output_finish};
    r->desk = req_create_desk(n);
    r->core = rt_create(&params, &out);
    create_log_cores(r);
    return true;
}

static void
stop_router(void *ctx)
{
    Router *r = ctx;
    rt_destroy(r->core);
    req_destroy_desk(r->desk);
    once_destroy(r->once);
    qr_destroy(r->quarantine);
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
        if (result == FOLD_WON) {
            req_on_death(r->desk, r->core, rec->death->request_digest.data);
        }
    }
}

static void
note_boots(Router *r, uint64_t now_ms, const Bg__Residency *m)
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
    (void)cfg;
    ((Router *)ctx)->configured = true;
}

static void
on_frame(void *ctx, uint64_t now_ms, const PeerInfo *from,
         const Bg__Frame *frame)
{
    (void)from;
    Router *r = ctx;
    if (frame->body_case == BG__FRAME__BODY_RESIDENCY) {
        note_boots(r, now_ms, frame->residency);
        rt_on_residency(r->core, now_ms, frame->residency);
    }
    else if (frame->body_case == BG__FRAME__BODY_WANT_REFUSED) {
        rt_on_want_refused(r->core, now_ms, frame->want_refused->model,
                           frame->want_refused->retry_after_ms);
    }
}

static void
on_link(void *ctx, uint64_t now_ms, const PeerInfo *peer, bool up)
{
    (void)ctx;
    (void)now_ms;
    (void)peer;
    (void)up;
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
    req_on_event(r->desk, r->core, now_ms, event);
}

static void
send_demand(Router *r, uint64_t now_ms)
{
    Bg__Demand *d = rt_make_demand(r->core, now_ms, node_get_name(r->node));
    Bg__Frame frame = BG__FRAME__INIT;
    frame.body_case = BG__FRAME__BODY_DEMAND;
    frame.demand = d;
    node_send(r->node, NULL, node_get_data_centre(r->node), "placer", &frame);
    bg__demand__free_unpacked(d, NULL);
}

static void
on_tick(void *ctx, uint64_t now_ms)
{
    Router *r = ctx;
    once_on_tick(r->once, now_ms, bg_wall_ms());
    qr_on_tick(r->quarantine, now_ms);
    rt_on_tick(r->core, now_ms);
    if (now_ms >= r->next_demand_ms) {
        r->next_demand_ms = now_ms + DEMAND_MS;
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
           once_count_open(r->once) == 0 && req_count(r->desk) == 0;
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
    NodeRole role = {.role = "router",
                     .doc = "Answers callers: admission, routing, streams.",
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
