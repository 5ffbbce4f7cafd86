/* bglade-router: answers callers.  Shell around the routing core. */
#include "node.h"
#include "req.h"
#include "rt.h"

#include <string.h>

#define DEMAND_MS 100
#define DEMAND_REPEAT_MS 1000 /* less than the age at which it lapses */

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
    {NULL, NULL, INI_TEXT, false, NULL, 0, 0, NULL, NULL}};

typedef struct {
    Node *node;
    RtCore *core;
    ReqDesk *desk;
    uint64_t next_demand_ms;
    uint64_t repeat_demand_ms;
    GByteArray *last_demand; /* as sent; NULL: none */
    bool configured;         /* a configuration has come in force */
    bool draining;
} Router;

static void
output_send(void *ctx, uint64_t id, const char *upstream, const char *address)
{
    req_on_send(((Router *)ctx)->desk, id, upstream, address);
}

static void
output_refuse(void *ctx, uint64_t id, RtReason reason, uint64_t retry_after_ms)
{
    req_on_refuse(((Router *)ctx)->desk, id, reason, retry_after_ms);
}

static void
output_finish(void *ctx, uint64_t id)
{
    req_on_finish(((Router *)ctx)->desk, id);
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
    return true;
}

static void
stop_router(void *ctx)
{
    Router *r = ctx;
    rt_destroy(r->core);
    req_destroy_desk(r->desk);
    if (r->last_demand) {
        g_byte_array_free(r->last_demand, TRUE);
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
    (void)now_ms;
    (void)peer;
    if (up) {
        ((Router *)ctx)->repeat_demand_ms = 0; /* a new placer knows none */
    }
}

static void
on_log(void *ctx, uint64_t now_ms, bool reachable, bool caught_up)
{
    (void)ctx;
    (void)now_ms;
    (void)reachable;
    (void)caught_up;
}

static void
on_event(void *ctx, uint64_t now_ms, void *event)
{
    Router *r = ctx;
    req_on_event(r->desk, r->core, now_ms, event);
}

/* Demand that has not changed is repeated now and then, for a frame may be
   lost; an empty one is not, for on the other side it lapses to the same. */
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
    rt_on_drain(r->core, now_ms);
}

static bool
is_drained(void *ctx)
{
    Router *r = ctx;
    return r->draining && rt_count_requests(r->core) == 0 &&
           req_count(r->desk) == 0;
}

static bool
is_ready(void *ctx)
{
    return ((Router *)ctx)->configured;
}

static char *
dump(void *ctx)
{
    return rt_dump(((Router *)ctx)->core);
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
