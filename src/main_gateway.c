/* bglade-gateway: the gateway process.  It routes callers' requests to
   upstreams, and, while this VM is the leader, places models on them.  All
   state that must outlive the process is in the platform's store.

   One loop thread does all I/O and runs the decision cores: routing (ut, rb,
   gw), workspace limits (wl), the lease (ls) and placement (mp).  A second
   thread writes logs.  This file has settings, timers, signals, start and
   stop; the gn_ files connect the cores to the store and to other gateways. */
#include "../platform/pf_store.h"
#include "../platform/pf_wire.h"
#include "gateway_node.h"

#include <argp.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 20
#define SLOW_TICK_MS 100
#define LOOP_LATE_MS 150  /* a later tick is logged */
#define DEMAND_MS 200     /* reporting interval of demand and state */
#define NEAR_LIMIT_MS 100 /* the same while a workspace is near its limit */
/* Delay before demand is reported to the leader when a request starts to wait;
   requests that start to wait meanwhile go into the same report. */
#define DEMAND_DELAY_MS 2
#define RELAYED_DEMAND_DELAY_MS 6 /* a relay: for many gateways at once */
/* An unrenewed lease expires after this.  A shorter term brings a new leader
   sooner; a longer one lets placement continue through short store outages. */
#define LEASE_TERM_MS 1500
#define RENEW_MS 350
/* Without a renewal, the right to send orders expires after this.  That leaves
   room for two lost renewals, or for one on a slow store. */
#define ORDER_MS 1000
/* Added to the guard interval: the time that an order is in transit, and the
   difference of clock rates. */
#define GUARD_MARGIN_MS 200
/* A VM with this share of a core claims the lease at once.  Smaller VMs wait,
   the smallest for SMALL_CLAIM_MS. */
#define LARGE_CPU_SHARE 0.5
#define SMALL_CLAIM_MS 400
/* After two missed heartbeats of the leader, read the lease in the store. */
#define LEADER_QUIET_MS 450
#define CONNECT_MS 250 /* data centres are 1 to 3 ms apart */
/* After the stop signal new connections still come for this long: the load
   balancer probes once a second and takes a VM out after two failures. */
#define LEAVE_MS 2600
/* Open requests are answered CLOSE_MARGIN_MS before the end of grace_s.  The
   process exits GRACE_MARGIN_MS before it, so the answers have time to be
   sent. */
#define CLOSE_MARGIN_MS 1000
#define GRACE_MARGIN_MS 700
#define SETTINGS_POLL_S 2.
#define LIFT_PATH "/suspects/lift/" /* followed by a digest */
#define LOG_STOP_MS 100
#define MAX_NOTES 100000 /* of streams; about 10 MB */
/* A leader that is cut off from more than half of the upstreams for
   YIELD_AFTER_MS gives up the lease, so that another VM can send the orders,
   and doesn't claim it again for YIELD_MS. */
#define YIELD_AFTER_MS 1500
#define YIELD_MS 8000

static const IniRule rules[] = {
    {"gateway", "name", INI_TEXT, true, NULL, 0, 0, NULL, "name of this VM"},
    {"gateway", "data_centre", INI_TEXT, true, NULL, 0, 0, NULL,
     "data centre of this VM"},
    {"gateway", "front", INI_ADDRESS, true, NULL, 0, 0, NULL,
     "address for callers"},
    {"gateway", "ready", INI_ADDRESS, true, NULL, 0, 0, NULL,
     "address of the readiness probe of the load balancer"},
    {"gateway", "control", INI_ADDRESS, false, NULL, 0, 0, NULL,
     "address for metrics, state dump and other starting gateways"},
    {"gateway", "link", INI_ADDRESS, true, NULL, 0, 0, NULL,
     "address for links of other gateways"},
    {"gateway", "advertise", INI_ADDRESS, false, NULL, 0, 0, NULL,
     "address at which others reach link, if it differs"},
    {"gateway", "detour", INI_ADDRESS, false, NULL, 0, 0, NULL,
     "address where other gateways ask for detours to upstreams that they "
     "can't reach; none: this gateway takes no detours"},
    {"gateway", "store", INI_ADDRESS, true, NULL, 0, 0, NULL,
     "address of the platform's store"},
    {"gateway", "seeds", INI_TEXT, false, "", 0, 0, NULL,
     "control addresses of other gateways, separated by commas"},
    {"gateway", "cpu_share", INI_NUMBER, false, "0.25", 0, 1024, NULL,
     "share of a core that this VM has; larger VMs claim the lease first"},
    {"gateway", "prefetch", INI_BOOL, false, "true", 0, 0, NULL,
     "load models that no upstream holds into free memory"},
    {"bounds", "retry_ratio", INI_NUMBER, false, "0.2", 0, 1000, NULL,
     "retries allowed per request"},
    {"bounds", "retry_window_s", INI_NUMBER, false, "10", 0, 3600, NULL,
     "window in which retries are counted"},
    {"bounds", "retry_slack", INI_NUMBER, false, "50", 0, 1000000, NULL,
     "retries allowed in addition, all gateways together"},
    {"bounds", "lease_ms", INI_NUMBER, false, "3000", 0, 600000, NULL,
     "guard interval between the orders of two leaders"},
    {"bounds", "grace_s", INI_NUMBER, false, "8", 0, 600, NULL,
     "time from the stop signal to being killed"},
    {"bounds", "fail_closed", INI_BOOL, false, "false", 0, 0, NULL,
     "accept no key while the configuration may be older than revoke_ms"},
    {"bounds", "revoke_ms", INI_NUMBER, false, "5000", 0, 3600000, NULL,
     "a revoked key is accepted for at most this time"},
    {"bounds", "limit_window_s", INI_NUMBER, false, "8", 0, 3600, NULL,
     "window over which the use of a workspace is counted"},
    {"bounds", "limit_excess", INI_NUMBER, false, "0.1", 0, 1000, NULL,
     "fraction by which a window may exceed a workspace's limit"},
    {"bounds", "limit_slack", INI_NUMBER, false, "0", 0, 1000000000, NULL,
     "tokens or requests by which it may exceed it in addition"},
    {"relays", "direct", INI_INT, false, "24", 0, 10000, NULL,
     "gateways that link to the leader before relays are used"},
    {"relays", "members", INI_INT, false, "64", 1, 10000, NULL,
     "gateways that link to one relay"},
    {"relays", "moves", INI_INT, false, "10", 1, 10000, NULL,
     "of these, how many it is assigned per 100 ms"},
    {"detours", "most", INI_INT, false, "256", 0, 100000, NULL,
     "detours for other gateways at a time"},
    {"answers", "max_event_kb", INI_INT, false, "1024", 1, 1048576, NULL,
     "an upstream's stream with a larger event is broken off"},
    {"answers", "max_body_kb", INI_INT, false, "16384", 1, 1048576, NULL,
     "an upstream's larger answer, other than a stream, is refused (502)"},
    {"answers", "max_unsent_kb", INI_INT, false, "256", 1, 1048576, NULL,
     "of a stream that its caller has not taken; beyond it no more is read"},
    {"machine", "max_fds", INI_NUMBER, false, "4096", 64, 16777216, NULL,
     "descriptors of this process; a third of all but 200 is for callers"},
    {"machine", "memory_mb", INI_NUMBER, false, "1024", 16, 16777216, NULL,
     "memory of this VM for this process; half of it is for what is held for "
     "clients"},
    {NULL, NULL, INI_TEXT, false, NULL, 0, 0, NULL, NULL}};

const char *
gn_get_text(const Gateway *g, const char *key)
{
    return ini_get_text(g->settings, "gateway", key);
}

const char *
gn_get_address(const Gateway *g)
{
    const char *advertised = gn_get_text(g, "advertise");
    return *advertised ? advertised : gn_get_text(g, "link");
}

static double
get_bound(const IniFile *f, const char *key)
{
    return ini_get_number(f, "bounds", key);
}

/* ---- requests ----------------------------------------------------------- */

static void
on_demand_timer(struct ev_loop *loop, ev_timer *t, int events)
{
    (void)loop;
    (void)events;
    gn_send_demand(t->data);
}

void
gn_schedule_demand(Gateway *g)
{
    if (!ev_is_active(&g->demand_timer)) {
        uint32_t wait_ms = lk_count_peers(g->links) > 0
                               ? RELAYED_DEMAND_DELAY_MS
                               : DEMAND_DELAY_MS;
        ev_timer_set(&g->demand_timer, wait_ms / 1000., 0.);
        ev_timer_start(g->loop, &g->demand_timer);
    }
}

static void
on_demand_changed(void *ctx)
{
    gn_schedule_demand(ctx);
}

static void
on_upstream_broke(void *ctx, const char *upstream)
{
    gn_report_suspicion(ctx, upstream);
}

static void
on_upstream_unreachable(void *ctx, const char *upstream)
{
    gn_report_suspicion(ctx, upstream);
}

static bool
is_isolated(void *ctx)
{
    return pt_is_isolated(((Gateway *)ctx)->detours.paths, bg_boot_ms());
}

static void
on_front_request(void *ctx, HtExchange *x)
{
    gw_on_request(((Gateway *)ctx)->gw, x);
}

static void
on_front_gone(void *ctx, HtExchange *x)
{
    gw_on_gone(((Gateway *)ctx)->gw, x);
}

static void
on_front_drained(void *ctx, HtExchange *x)
{
    gw_on_drained(((Gateway *)ctx)->gw, x);
}

static void
on_front_shed(void *ctx, HtExchange *x)
{
    gw_on_shed(((Gateway *)ctx)->gw, x);
}

static void
ignore_disconnect(void *ctx, HtExchange *x)
{
    (void)ctx;
    (void)x;
}

static bool
is_ready(const Gateway *g)
{
    return g->config && !g->stop_ms && gn_knows_upstreams(g);
}

static void
on_ready_request(void *ctx, HtExchange *x)
{
    ht_start_answer(x, is_ready(ctx) ? 200 : 503, "", 0);
    ht_end_answer(x);
}

static void
answer_text(HtExchange *x, const GString *text)
{
    ht_start_answer(x, 200, "Content-Type: text/plain\r\n",
                    (int64_t)text->len);
    ht_write_answer(x, text->str, text->len);
    ht_end_answer(x);
}

static void
print_dump(const Gateway *g, GString *out)
{
    uint64_t now_ms = bg_boot_ms();
    g_string_append_printf(
        out,
        "{\"vm\":\"%s\",\"ready\":%s,\"config\":%llu,\"config_age_ms\":%llu,"
        "\"upstreams\":%u,\"requests\":%u,\"connections\":%u,"
        "\"places\":%s,\"placer\":\"%s\",\"linked\":%s,\"peers\":%u,"
        "\"relay\":\"%s\",\"versions\":%llu,\"versions_settled\":%s,"
        "\"versions_known\":%s}\n",
        gn_get_text(g, "name"), is_ready(g) ? "true" : "false",
        (unsigned long long)(g->config ? g->config->version : 0),
        (unsigned long long)(now_ms - g->config_ms), ut_count(g->upstreams),
        gw_count(g->gw), ht_count_connections(g->front),
        g->is_leader ? "true" : "false",
        ls_get_leader_vm(g->lease) ? ls_get_leader_vm(g->lease) : "",
        lk_is_open(g->links) ? "true" : "false", lk_count_peers(g->links),
        g->uplink.relay ? g->uplink.relay : "",
        (unsigned long long)vp_get_number(g->versions),
        vp_is_settled(g->versions) ? "true" : "false",
        ut_lacks_versions(g->upstreams) ? "false" : "true");
}

/* REQUEST: the digest of a suspect, as in the logs. */
static void
lift_suspect(Gateway *g, HtExchange *x, const char *request)
{
    char *end;
    uint64_t digest = strtoull(request, &end, 16);
    bool whole = *request && !*end;
    bool post = strcmp(ht_get_head(x)->method, "POST") == 0;
    if (whole && post) {
        gn_lift_suspect(g, digest);
    }
    ht_start_answer(x, !post ? 405 : whole ? 200 : 400, "", 0);
    ht_end_answer(x);
}

static void
on_control_request(void *ctx, HtExchange *x)
{
    g_autoptr(GString) out = g_string_new(NULL);
    const char *target = ht_get_head(x)->target;
    if (strcmp(target, "/metrics") == 0) {
        bg_gauge("gateway_log_lines_dropped", jl_count_dropped());
        bg_print_metrics(out);
        gw_print_metrics(((Gateway *)ctx)->gw, out);
        answer_text(x, out);
    }
    else if (strcmp(target, "/introduction") == 0) {
        gn_answer_introduction(ctx, x);
    }
    else if (strcmp(target, "/limits") == 0) {
        wl_print(((Gateway *)ctx)->limits, bg_boot_ms(), out);
        answer_text(x, out);
    }
    else if (strcmp(target, "/paths") == 0) {
        pt_print(((Gateway *)ctx)->detours.paths, bg_boot_ms(), out);
        answer_text(x, out);
    }
    else if (strcmp(target, "/upstream-limits") == 0) {
        ul_print(((Gateway *)ctx)->upstream_limits, bg_boot_ms(), out);
        ur_print(((Gateway *)ctx)->rooms, bg_boot_ms(), out);
        answer_text(x, out);
    }
    else if (strcmp(target, "/upstream-notices") == 0) {
        un_print(((Gateway *)ctx)->notices, bg_boot_ms(), out);
        answer_text(x, out);
    }
    else if (strcmp(target, "/versions") == 0) {
        vp_print(((Gateway *)ctx)->versions, out);
        answer_text(x, out);
    }
    else if (strcmp(target, "/suspects") == 0) {
        sp_print(((Gateway *)ctx)->suspects, bg_boot_ms(), out);
        answer_text(x, out);
    }
    else if (g_str_has_prefix(target, LIFT_PATH)) {
        lift_suspect(ctx, x, target + strlen(LIFT_PATH));
    }
    else if (strcmp(target, "/dump") == 0) {
        print_dump(ctx, out);
        answer_text(x, out);
    }
    else {
        ht_start_answer(x, 404, "", 0);
        ht_end_answer(x);
    }
}

/* ---- time --------------------------------------------------------------- */

static void
consider_yield(Gateway *g, uint64_t now_ms)
{
    uint32_t all;
    uint32_t cut_off;
    g_autoptr(GHashTable) linked = gn_list_linked_data_centres(g);
    mp_count_cut_off(g->placement, now_ms, linked, &all, &cut_off);
    if (gn_is_cut_off(g, now_ms)) {
        cut_off = all; /* reports still come, by detours; orders can't go */
    }
    if (cut_off * 2 <= all) {
        g->cut_off_ms = 0;
        return;
    }
    if (g->cut_off_ms == 0) {
        g->cut_off_ms = now_ms;
    }
    if (now_ms > g->cut_off_ms + YIELD_AFTER_MS) {
        JlLine *l = jl_begin("lease-yielded");
        jl_number(l, "upstreams", all);
        jl_number(l, "cut_off", cut_off);
        jl_end(l);
        g->cut_off_ms = 0;
        ls_yield(g->lease, now_ms, YIELD_MS);
    }
}

static void
follow_lease(Gateway *g, uint64_t now_ms)
{
    bool is_leader = ls_is_leader(g->lease, now_ms);
    if (is_leader != g->is_leader) {
        g->is_leader = is_leader;
        JlLine *l = jl_begin(is_leader ? "lease-held" : "lease-lost");
        jl_number(l, "token", (int64_t)ls_get_token(g->lease));
        jl_end(l);
        g->full_demand_due = true;
        if (is_leader) {
            mp_on_lease_gained(g->placement, now_ms);
            ul_on_lead(g->upstream_limits, now_ms);
            ur_on_lead(g->rooms, now_ms);
            gw_report_slots(g->gw, NULL);
            sp_on_lead(g->suspects, now_ms);
        }
        else {
            ut_mark_placement_stale(g->upstreams);
        }
        g_hash_table_remove_all(g->published_loads);
        gn_on_lease_changed(g);
        gn_watch_mail(g, is_leader);
    }
    if (g->is_leader) {
        gn_update_placement(g, now_ms);
        mp_on_tick(g->placement, now_ms, gn_may_order(g, now_ms));
    }
}

static bool
may_exit(Gateway *g, uint64_t now_ms)
{
    uint64_t since_ms = now_ms - g->stop_ms;
    uint64_t grace_ms = (uint64_t)(get_bound(g->settings, "grace_s") * 1000);
    if (since_ms >= LEAVE_MS) {
        gw_stop_accepting(g->gw);
    }
    if (since_ms + CLOSE_MARGIN_MS >= grace_ms) {
        gw_close(g->gw);
    }
    if (since_ms + GRACE_MARGIN_MS >= grace_ms) {
        return true;
    }
    return since_ms >= LEAVE_MS && gw_count(g->gw) == 0 &&
           ht_count_connections(g->front) == 0;
}

static void
publish_state(Gateway *g, uint64_t now_ms)
{
    if (g->is_leader) {
        gn_send_state(g, now_ms);
        consider_yield(g, now_ms);
    }
    else if (gn_still_aggregates(g)) {
        gn_update_placement(g, now_ms);
        gn_send_state(g, now_ms);
    }
}

static bool
may_miss_revocations(const Gateway *g, uint64_t now_ms)
{
    return ini_get_bool(g->settings, "bounds", "fail_closed") &&
           gn_get_config_age_ms(g, now_ms) >
               (uint64_t)get_bound(g->settings, "revoke_ms");
}

static void
tick_slow(Gateway *g, uint64_t now_ms)
{
    gw_set_config_freshness(g->gw, sr_is_behind(g->reads),
                            may_miss_revocations(g, now_ms));
    gw_set_upstreams_complete(g->gw, gn_knows_upstreams(g));
    ht_tick_server(g->front, now_ms);
    ht_tick_server(g->ready, now_ms);
    if (g->control) {
        ht_tick_server(g->control, now_ms);
    }
    gn_tick_clients(g, now_ms);
    lk_on_tick(g->links, now_ms);
    gn_tick_relay(g, now_ms);
    gn_tick_detours(g, now_ms);
    gn_schedule_store_reads(g, now_ms);
    gn_tick_search(g, now_ms);
    bool near_limit = wl_is_near_limit(g->limits);
    gn_tick_upstream_limits(g, now_ms);
    gn_tick_rooms(g, now_ms);
    gn_tick_notices(g, now_ms);
    if (now_ms >= g->demand_ms + (near_limit ? NEAR_LIMIT_MS : DEMAND_MS)) {
        gn_send_demand(g);
    }
    if (now_ms >= g->limits_ms + (near_limit ? NEAR_LIMIT_MS : DEMAND_MS)) {
        g->limits_ms = now_ms;
        gn_update_fleet(g, now_ms);
        gn_publish_limits(g, now_ms);
    }
    /* Separate from demand_ms: demand is also sent whenever a request starts
       to wait, so a busy leader would never come to send its heartbeat. */
    if (now_ms >= g->state_ms + DEMAND_MS) {
        g->state_ms = now_ms;
        gn_publish_placements(g);
        gn_tick_versions(g, now_ms);
        publish_state(g, now_ms);
    }
}

/* Logs late ticks.  They show that an answer came late because the process was
   suspended, short of CPU time or busy. */
static void
note_lateness(Gateway *g, uint64_t now_ms)
{
    uint64_t due_ms = g->tick_ms + TICK_MS;
    bool late = g->tick_ms && now_ms > due_ms + LOOP_LATE_MS;
    g->tick_ms = now_ms;
    if (late) {
        JlLine *l = jl_begin("loop-late");
        jl_number(l, "late_ms", (int64_t)(now_ms - due_ms));
        jl_end(l);
        bg_count("gateway_loop_late_total", 1);
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *t, int events)
{
    (void)events;
    Gateway *g = t->data;
    uint64_t now_ms = bg_boot_ms();
    note_lateness(g, now_ms);
    gn_tick_lease(g, now_ms);
    ls_on_tick(g->lease, now_ms);
    follow_lease(g, now_ms);
    ht_tick_pool(g->pool, now_ms);
    if (g->detours.server) {
        ds_on_tick(g->detours.server, now_ms);
    }
    gn_tick_suspects(g, now_ms);
    gn_tick_notes(g, now_ms);
    gw_on_tick(g->gw, now_ms);
    if (now_ms >= g->slow_tick_ms) {
        g->slow_tick_ms = now_ms + SLOW_TICK_MS;
        tick_slow(g, now_ms);
    }
    if (g->stop_ms && may_exit(g, now_ms)) {
        ev_break(loop, EVBREAK_ALL);
    }
}

/* ---- signals ------------------------------------------------------------ */

static void
on_term(struct ev_loop *loop, ev_signal *w, int events)
{
    (void)loop;
    (void)events;
    Gateway *g = w->data;
    if (g->stop_ms) {
        return;
    }
    g->stop_ms = bg_boot_ms();
    JlLine *l = jl_begin("stopping");
    jl_number(l, "requests", gw_count(g->gw));
    jl_end(l);
    ls_stop_claiming(g->lease);
    if (!g->is_leader) {
        gn_dismiss_members(g);
    }
    ht_stop_keep_alive(g->front);
}

static void
reload(Gateway *g)
{
    g_autoptr(GString) faults = g_string_new(NULL);
    IniFile *f = ini_load(g->path, rules, faults);
    JlLine *l = jl_begin("reload");
    jl_text(l, "outcome", f ? "taken" : "kept the old settings");
    jl_text(l, "faults", f ? NULL : faults->str);
    jl_end(l);
    if (f) {
        ini_destroy(g->settings);
        g->settings = f;
        gn_note_seeds(g);
        gn_set_client_limits(g);
        rb_set_allowance(g->budget, get_bound(f, "retry_ratio"),
                         get_bound(f, "retry_slack"));
        wl_set_bound(g->limits, get_bound(f, "limit_excess"),
                     get_bound(f, "limit_slack"));
    }
}

static void
on_hup(struct ev_loop *loop, ev_signal *w, int events)
{
    (void)loop;
    (void)events;
    reload(w->data);
}

/* The file may change without a signal. */
static void
on_settings_changed(struct ev_loop *loop, ev_stat *w, int events)
{
    (void)loop;
    (void)events;
    if (w->attr.st_nlink) { /* else the file is being replaced */
        reload(w->data);
    }
}

/* ---- start and stop ----------------------------------------------------- */

static bool
listen_all(Gateway *g, GError **err)
{
    HtHandler front = {g, on_front_request, on_front_gone, on_front_drained,
                       on_front_shed};
    HtHandler ready = {g, on_ready_request, ignore_disconnect, NULL, NULL};
    HtHandler control = {g, on_control_request, ignore_disconnect, NULL, NULL};
    LkHandler link = {g,          gn_fill_hello, gn_on_frame,
                      gn_on_peer, gn_on_link,    gn_on_connect_failed};
    g->links = lk_create(g->loop, gn_get_text(g, "link"), &link, err);
    g->front = g->links
                   ? ht_listen(g->loop, gn_get_text(g, "front"), &front, err)
                   : NULL;
    g->ready = g->front
                   ? ht_listen(g->loop, gn_get_text(g, "ready"), &ready, err)
                   : NULL;
    const char *address = gn_get_text(g, "control");
    if (g->ready && *address) {
        g->control = ht_listen(g->loop, address, &control, err);
        return g->control && gn_create_detours(g, err);
    }
    return g->ready && gn_create_detours(g, err);
}

/* Leadership costs CPU time (0.1 core with 75 gateways), so larger VMs claim
   the lease first. */
static uint32_t
get_claim_delay_ms(const Gateway *g)
{
    double share = ini_get_number(g->settings, "gateway", "cpu_share");
    double lack = CLAMP((LARGE_CPU_SHARE - share) / LARGE_CPU_SHARE, 0, 1);
    return (uint32_t)(lack * SMALL_CLAIM_MS);
}

static size_t
get_answer_bytes(const Gateway *g, const char *key)
{
    return (size_t)ini_get_int(g->settings, "answers", key) * 1024;
}

static void
create_cores(Gateway *g)
{
    uint64_t seed = bg_now_us() ^ g_str_hash(g->process);
    g->upstream_limits = ul_create(bg_boot_ms(), seed);
    g->rooms = ur_create(gn_on_room_answer, g);
    g->room_answers = g_array_new(FALSE, FALSE, sizeof(GnRoomAnswer));
    g->notices = un_create(seed);
    UtParams up = {gn_get_text(g, "data_centre"), seed, g->upstream_limits,
                   g->notices};
    g->upstreams = ut_create(&up);
    RbParams rb = {(uint32_t)(get_bound(g->settings, "retry_window_s") * 1000),
                   get_bound(g->settings, "retry_ratio"),
                   get_bound(g->settings, "retry_slack"), 0};
    g->budget = rb_create(&rb, bg_boot_ms());
    WlParams wl = {(uint32_t)(get_bound(g->settings, "limit_window_s") * 1000),
                   get_bound(g->settings, "limit_excess"),
                   get_bound(g->settings, "limit_slack"), seed};
    g->limits = wl_create(&wl);
    g->suspects = sp_create(bg_boot_ms(), seed);
    g->versions = vp_create();
    g->notes = sn_create(MAX_NOTES);
    g->notes_due = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g->notes_unstored = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GwParams gw = {.connect_ms = CONNECT_MS,
                   .max_body_bytes = get_answer_bytes(g, "max_body_kb"),
                   .max_event_bytes = get_answer_bytes(g, "max_event_kb"),
                   .max_unsent_bytes = get_answer_bytes(g, "max_unsent_kb"),
                   .seed = seed};
    GwOutput gw_out = {g,
                       on_demand_changed,
                       gn_on_run,
                       gn_on_ask_turn,
                       on_upstream_broke,
                       on_upstream_unreachable,
                       is_isolated,
                       gn_on_upstream_named,
                       gn_on_notice,
                       gn_on_ask_slot,
                       gn_on_slot_over,
                       gn_on_slot_held,
                       gn_on_ask_versions,
                       gn_on_ask_process,
                       gn_on_send_note,
                       gn_on_ask_note};
    GwCores cores = {g->upstreams,       g->budget,  g->limits,
                     g->upstream_limits, g->notices, g->suspects,
                     g->versions,        g->notes};
    g->gw = gw_create(&gw, &pf_gw_wire, &gw_out, g->pool, &cores);
    MpParams mp = {ini_get_bool(g->settings, "gateway", "prefetch")};
    MpOutput mp_out = {g,
                       gn_send_order,
                       gn_request_report,
                       gn_on_placed,
                       gn_on_unreachable,
                       gn_on_evaluated};
    g->placement = mp_create(&mp, &mp_out);
    LsParams ls = {gn_get_text(g, "name"),
                   g->process,
                   gn_get_address(g),
                   LEASE_TERM_MS,
                   RENEW_MS,
                   ORDER_MS,
                   (uint32_t)ceil(get_bound(g->settings, "lease_ms")) +
                       GUARD_MARGIN_MS,
                   LEADER_QUIET_MS,
                   get_claim_delay_ms(g),
                   seed};
    LsOutput ls_out = {g, gn_read_lease, gn_append_lease, gn_on_lease_changed};
    g->lease = ls_create(&ls, &ls_out);
}

/* HOW: SIG_BLOCK or SIG_UNBLOCK.  Without a handler SIGHUP ends the process.
 */
static void
hold_reloads(int how)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(how, &set, NULL);
}

static void
start_watchers(Gateway *g)
{
    ev_timer_init(&g->tick, on_tick, TICK_MS / 1000., TICK_MS / 1000.);
    g->tick.data = g;
    ev_timer_start(g->loop, &g->tick);
    ev_timer_init(&g->demand_timer, on_demand_timer, 0., 0.);
    g->demand_timer.data = g;
    ev_timer_init(&g->place_timer, gn_on_place_timer, 0., 0.);
    g->place_timer.data = g;
    ev_signal_init(&g->term, on_term, SIGTERM);
    ev_signal_init(&g->interrupt, on_term, SIGINT);
    ev_signal_init(&g->hup, on_hup, SIGHUP);
    g->term.data = g;
    g->interrupt.data = g;
    g->hup.data = g;
    ev_stat_init(&g->file, on_settings_changed, g->path, SETTINGS_POLL_S);
    g->file.data = g;
    ev_stat_start(g->loop, &g->file);
    ev_signal_start(g->loop, &g->term);
    ev_signal_start(g->loop, &g->interrupt);
    ev_signal_start(g->loop, &g->hup);
    hold_reloads(SIG_UNBLOCK);
}

/* What may still run callbacks is destroyed before what they use. */
static void
destroy_all(Gateway *g)
{
    gw_destroy(g->gw);
    ht_destroy_server(g->front);
    ht_destroy_server(g->ready);
    if (g->control) {
        ht_destroy_server(g->control);
    }
    /* A link that closes may start a call, and a call that ends may send on
       links. */
    lk_close(g->links);
    ht_destroy_pool(g->pool);
    cm_destroy(g->client_memory);
    lk_destroy(g->links);
    gn_destroy_detours(g);
    gn_end_search(g);
    gn_unwatch_store(g);
    dm_destroy(g->demand);
    mp_destroy(g->placement);
    ls_destroy(g->lease);
    g_free(g->renewal.value);
    rb_destroy(g->budget);
    wl_destroy(g->limits);
    ut_destroy(g->upstreams);
    ul_destroy(g->upstream_limits);
    un_destroy(g->notices);
    ur_destroy(g->rooms);
    g_array_free(g->room_answers, TRUE);
    sp_destroy(g->suspects);
    vp_destroy(g->versions);
    sn_destroy(g->notes);
    g_array_free(g->notes_due, TRUE);
    g_array_free(g->notes_unstored, TRUE);
    dep_unref_config(g->config);
    if (g->config_bytes) {
        g_bytes_unref(g->config_bytes);
    }
    g_ptr_array_free(g->unreachable, TRUE);
    g_hash_table_destroy(g->published_loads);
    g_hash_table_destroy(g->unpublished);
    g_free(g->uplink.leader);
    g_free(g->uplink.relay);
    g_free(g->uplink.unreachable_relay);
    g_hash_table_destroy(g->members);
    ini_destroy(g->settings);
    ev_loop_destroy(g->loop);
}

static int
run(Gateway *g)
{
    g_autoptr(GError) err = NULL;
    bg_make_id(g->process);
    g->demand = dm_create();
    g->unpublished = g_hash_table_new_full(
        g_str_hash, g_str_equal, g_free, (GDestroyNotify)g_hash_table_destroy);
    g->unreachable = g_ptr_array_new_with_free_func(g_free);
    g->published_loads =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    bg_seed_random(&g->rng, bg_now_us() ^ g_str_hash(g->process));
    g->members =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g->loop = ev_loop_new(EVBACKEND_EPOLL | EVFLAG_NOENV | EVFLAG_NOINOTIFY);
    if (!g->loop) {
        fprintf(stderr, "can't create the event loop\n");
        return 1;
    }
    g->pool = ht_create_pool(g->loop);
    if (!listen_all(g, &err)) {
        fprintf(stderr, "can't listen: %s\n", err->message);
        return 1;
    }
    gn_create_client_limits(g);
    create_cores(g);
    gn_watch_store(g);
    gn_note_seeds(g);
    start_watchers(g);
    jl_start(gn_get_text(g, "name"));
    JlLine *l = jl_begin("started");
    jl_text(l, "version", BG_VERSION);
    jl_text(l, "process", g->process);
    jl_text(l, "data_centre", gn_get_text(g, "data_centre"));
    jl_number(l, "client_bytes", (int64_t)cm_get_limit(g->client_memory));
    jl_number(l, "client_connections", ht_get_max_connections(g->front));
    jl_end(l);
    ev_run(g->loop, 0);
    l = jl_begin("stopped");
    jl_number(l, "requests", gw_count(g->gw));
    jl_number(l, "after_ms", (int64_t)(bg_boot_ms() - g->stop_ms));
    jl_end(l);
    jl_stop(LOG_STOP_MS);
    destroy_all(g);
    return 0;
}

typedef struct {
    const char *path; /* NULL: not given */
    bool check_only;
    bool print_settings;
} Arguments;

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    Arguments *a = state->input;
    switch (key) {
    case 's':
        a->path = arg;
        return 0;
    case 'k':
        a->check_only = true;
        return 0;
    case 'p':
        a->print_settings = true;
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static void
print_settings(void)
{
    g_autoptr(GString) text = g_string_new(NULL);
    ini_print_schema(rules, text);
    fputs(text->str, stdout);
}

int
main(int argc, char **argv)
{
    hold_reloads(SIG_BLOCK);
    static const struct argp_option options[] = {
        {"settings", 's', "FILE", 0,
         "settings file (else $BITTERNGLADE_SETTINGS)", 0},
        {"check", 'k', NULL, 0, "check the settings and stop", 0},
        {"print-settings", 'p', NULL, 0,
         "print every setting with its default", 0},
        {0}};
    static const struct argp argp = {
        options, parse_option,
        NULL,    "Route callers' requests to the upstreams of a platform.",
        NULL,    NULL,
        NULL};
    Arguments a = {.path = getenv("BITTERNGLADE_SETTINGS")};
    argp_parse(&argp, argc, argv, 0, NULL, &a);
    if (a.print_settings) {
        print_settings();
        return 0;
    }
    if (!a.path) {
        fprintf(
            stderr,
            "no settings file given (--settings or $BITTERNGLADE_SETTINGS)\n");
        return 2;
    }
    /* One malloc arena: the second thread allocates little, and more arenas
       cost memory. */
    cl_init_allocator(1);
    signal(SIGPIPE, SIG_IGN);
    g_autoptr(GString) faults = g_string_new(NULL);
    Gateway g = {.path = a.path, .settings = ini_load(a.path, rules, faults)};
    if (!g.settings) {
        fputs(faults->str, stderr);
        return 2;
    }
    if (a.check_only) {
        puts("settings are good");
        ini_destroy(g.settings);
        return 0;
    }
    return run(&g);
}
