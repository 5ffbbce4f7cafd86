#include "gateway_node.h"

#include <string.h>
#include <xxhash.h>

/* Without a heartbeat of the leader for this long it counts as lost. */
#define LEADER_TIMEOUT_MS 1000
/* A relay's members look for a lost leader later than the relay, which looks
   for it on their behalf, and spread over the jitter. */
#define MEMBER_LEADER_TIMEOUT_MS 2500
#define LEADER_SEARCH_JITTER_MS 1500
#define LEADER_SEARCH_INTERVAL_MS 4000
/* After the link is lost, the lease is not read or claimed for this long, as
   the link may be opened again. */
#define RELINK_MS 500
#define MEMBERS_INTERVAL_MS 1000 /* between reports of who is linked to us */
/* Between requests for a newer configuration: a read of the store that is in
   flight is answered by then. */
#define CONFIG_REQUEST_INTERVAL_MS 250
/* The leader moves a new gateway to a relay within this time, or it stays and
   gets the snapshot. */
#define SNAPSHOT_DELAY_MS 250
/* A gateway that was assigned to a relay has linked to it and is in the
   relay's members report after this time. */
#define ARRIVAL_MS 1500
/* A relay that could not be reached is tried again after this time. */
#define UNREACHABLE_RELAY_MS 5000

/* A relay names so many of its members as helpers for other data centres. */
#define MAX_REPORTED_HELPERS 16
#define HELPERS_INTERVAL_MS 15000

/* What is known of a gateway that is linked to us. */
typedef struct {
    char *data_centre;
    char *address;
    char *unreachable_relay; /* NULL: none */
    GPtrArray *members;      /* char *: linked to it */
    Gwp__Helper helper;      /* it itself; its texts are this struct's */
    Gwp__Members *reported;  /* by it last; NULL: never */
    char *vm;
    char *detour;
    char *control;
    uint32_t expected;    /* members, and those assigned to it since */
    uint64_t expected_ms; /* the last one was assigned */
    uint32_t fitness;
    uint64_t config_version;
    uint64_t since_ms; /* linked */
    bool leaving;
    bool reads_store;
    bool former;       /* its release has no version plan */
    bool unplanned;    /* it, or one behind it, knows of streams that may have
                          been begun without the plan */
    bool has_snapshot; /* it was sent */
    Cs stamps;
} Peer;

static void
free_peer_info(Peer *p)
{
    g_free(p->data_centre);
    g_free(p->address);
    g_free(p->unreachable_relay);
    g_ptr_array_free(p->members, TRUE);
    if (p->reported) {
        gwp__members__free_unpacked(p->reported, NULL);
    }
    g_free(p->vm);
    g_free(p->detour);
    g_free(p->control);
    g_free(p);
}

/* ---- our own link ------------------------------------------------------- */

bool
gn_hears_leader(const Gateway *g, uint64_t now_ms)
{
    return g->is_leader ||
           (g->leader_ms && now_ms < g->leader_ms + LEADER_TIMEOUT_MS);
}

bool
gn_leads(const Gateway *g, uint64_t now_ms)
{
    return g->is_leader && ls_is_leader(g->lease, now_ms);
}

bool
gn_has_leader(const Gateway *g, uint64_t now_ms)
{
    return lk_is_open(g->links) && gn_hears_leader(g, now_ms);
}

bool
gn_is_lagging(const Gateway *g, uint64_t now_ms)
{
    return g->uplink.lag.late_ms > LEADER_TIMEOUT_MS ||
           lk_get_frame_age_ms(g->links, now_ms) > LEADER_TIMEOUT_MS;
}

bool
gn_still_aggregates(const Gateway *g)
{
    return !g->is_leader && g->was_leader && lk_count_peers(g->links) > 0;
}

static void
choose_target(Gateway *g)
{
    const Uplink *u = &g->uplink;
    const char *target = g->is_leader ? NULL : u->relay ? u->relay : u->leader;
    if (g_strcmp0(target, gn_get_address(g)) == 0) {
        target = NULL; /* our own, or that of our VM's former process */
    }
    g->was_leader = g->is_leader || (g->was_leader && !target);
    lk_set_target(g->links, target);
}

static void
set_relay(Gateway *g, const char *address)
{
    Uplink *u = &g->uplink;
    if (g_strcmp0(u->relay, address) != 0) {
        g_free(u->relay);
        u->relay = g_strdup(address);
        JlLine *l = jl_begin("relay-chosen");
        jl_text(l, "relay", address);
        jl_end(l);
    }
    uint64_t now_ms = bg_boot_ms();
    u->leader_timeout_ms = MEMBER_LEADER_TIMEOUT_MS +
                           bg_pick_random(&g->rng, LEADER_SEARCH_JITTER_MS);
    u->next_search_ms = now_ms + u->leader_timeout_ms;
    choose_target(g);
}

/* Links to the leader itself, and counts the relay as unreachable. */
static void
leave_relay(Gateway *g)
{
    g_free(g->uplink.unreachable_relay);
    g->uplink.unreachable_relay = g_steal_pointer(&g->uplink.relay);
    choose_target(g);
}

/* TO: a linked gateway; NULL: all of them. */
static void
send_leader(Gateway *g, LkPeer *to)
{
    Gwp__Holder h = GWP__HOLDER__INIT;
    h.address = g->uplink.leader ? g->uplink.leader : (char *)"";
    h.blind = g->disconnected;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_HOLDER;
    f.holder = &h;
    lk_send_down(g->links, to, &f);
}

void
gn_set_leader(Gateway *g, const char *address)
{
    Uplink *u = &g->uplink;
    if (g_strcmp0(u->leader, address) != 0) {
        g_free(u->leader);
        u->leader = g_strdup(address);
        lag_reset(&u->lag);
        send_leader(g, NULL);
    }
    choose_target(g);
}

void
gn_take_leader(Gateway *g, const Gwp__Holder *h)
{
    g->relay_disconnected = h->blind;
    gn_set_leader(g, *h->address ? h->address : NULL);
}

/* Members of a relay that neither hears the leader nor reads the store read
   the store themselves. */
static void
publish_disconnected(Gateway *g, uint64_t now_ms)
{
    bool disconnected =
        !gn_hears_leader(g, now_ms) && !gn_reads_store(g, now_ms);
    if (g->disconnected != disconnected) {
        g->disconnected = disconnected;
        send_leader(g, NULL);
    }
}

void
gn_take_assign(Gateway *g, const Gwp__Assign *a)
{
    if (!*a->address) {
        leave_relay(g);
        return;
    }
    /* Our members move there as well: relays are not chained. */
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_ASSIGN;
    f.assign = (Gwp__Assign *)a;
    lk_send_down(g->links, NULL, &f);
    set_relay(g, a->address);
}

void
gn_dismiss_members(Gateway *g)
{
    Gwp__Assign a = GWP__ASSIGN__INIT;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_ASSIGN;
    f.assign = &a;
    lk_send_down(g->links, NULL, &f);
    g->members_ms = 0; /* the next tick reports that we leave */
}

static void
log_link(const Gateway *g, bool open)
{
    JlLine *l = jl_begin(open ? "placer-linked" : "placer-lost");
    jl_text(l, "to", lk_get_target(g->links));
    jl_text(l, "relay", g->uplink.relay ? "yes" : NULL);
    jl_end(l);
}

void
gn_on_link(void *ctx, bool open)
{
    Gateway *g = ctx;
    uint64_t now_ms = bg_boot_ms();
    log_link(g, open);
    g->relay_disconnected = false;
    lag_reset(&g->uplink.lag);
    if (open) {
        g->uplink.answered = false;
        g->detours.reported_ms = 0;
        g->full_demand_due = true;
        g->members_ms = 0;
        wl_on_link(g->limits);
        gn_report_upstream_limits(g);
        gn_report_leaving(g);
        gw_report_slots(g->gw, NULL);
        gn_report_suspects(g);
        gn_report_notes(g);
        gn_send_demand(g);
        return;
    }
    /* Whatever accepts links at that address and never answers is no gateway:
       it must not keep this one from the lease. */
    if (g->uplink.answered) {
        gn_delay_store_reads(g, now_ms);
        ls_hold_off(g->lease, now_ms + RELINK_MS);
    }
    /* What broke the link may have broken connections to the store too. */
    gn_restart_store_reads(g, now_ms);
    ut_mark_placement_stale(g->upstreams);
    if (g->uplink.relay) {
        leave_relay(g);
    }
}

void
gn_on_connect_failed(void *ctx)
{
    Gateway *g = ctx;
    if (g->uplink.relay) {
        leave_relay(g);
    }
    else if (g->uplink.unreachable_relay) {
        /* The leader can't be reached from here: go back to the relay, even
           if it may be disconnected as well. */
        set_relay(g, g->uplink.unreachable_relay);
    }
}

/* When our relay has lost the leader, try to reach the leader directly. */
static void
search_leader(Gateway *g, uint64_t now_ms)
{
    Uplink *u = &g->uplink;
    if (g->is_leader || !u->relay || gn_hears_leader(g, now_ms) ||
        now_ms < MAX(u->next_search_ms, g->leader_ms + u->leader_timeout_ms)) {
        return;
    }
    u->next_search_ms = now_ms + LEADER_SEARCH_INTERVAL_MS +
                        bg_pick_random(&g->rng, LEADER_SEARCH_JITTER_MS);
    leave_relay(g);
}

/* A relay's members let the relay read the lease from the store, until their
   timeout for the leader is over. */
static void
hold_off_lease(Gateway *g, uint64_t now_ms)
{
    if (g->uplink.relay && lk_is_open(g->links) &&
        now_ms < g->leader_ms + g->uplink.leader_timeout_ms) {
        ls_hold_off(g->lease, now_ms + RELINK_MS);
    }
}

/* ---- gateways that are linked to us ------------------------------------- */

void
gn_fill_hello(void *ctx, Gwp__Hello *hello)
{
    const Gateway *g = ctx;
    double share = ini_get_number(g->settings, "gateway", "cpu_share");
    hello->vm = (char *)gn_get_text(g, "name");
    hello->process = (char *)g->process;
    hello->data_centre = (char *)gn_get_text(g, "data_centre");
    hello->address = (char *)gn_get_address(g);
    hello->fitness = (uint32_t)(share * 1000);
    const char *unreachable = g->uplink.unreachable_relay;
    hello->shunned = (char *)(unreachable ? unreachable : "");
    hello->config_version = g->config ? g->config->version : 0;
    hello->detour = (char *)gn_get_text(g, "detour");
    hello->control = (char *)gn_get_text(g, "control");
    hello->plans = true;
    hello->unplanned = vp_may_be_unplanned(g->versions, bg_boot_ms());
}

void
gn_take_hello(Gateway *g, LkPeer *from, const Gwp__Hello *hello)
{
    lk_set_vm(from, hello->vm);
    Peer *p = g_new0(Peer, 1);
    p->data_centre = g_strdup(hello->data_centre);
    p->address = g_strdup(hello->address);
    p->unreachable_relay = *hello->shunned ? g_strdup(hello->shunned) : NULL;
    p->members = g_ptr_array_new_with_free_func(g_free);
    p->fitness = hello->fitness;
    p->config_version = hello->config_version;
    p->since_ms = bg_boot_ms();
    p->vm = g_strdup(hello->vm);
    p->detour = g_strdup(hello->detour);
    p->control = g_strdup(hello->control);
    gn_note_control(g, p->control);
    p->former = !hello->plans;
    p->unplanned = p->former || hello->unplanned;
    gwp__helper__init(&p->helper);
    p->helper.vm = p->vm;
    p->helper.data_centre = p->data_centre;
    p->helper.address = p->detour;
    p->helper.control = p->control;
    lk_set_user(from, p);
    gn_on_helpers_changed(g);
    gn_note_member(g, hello->vm);
    g->members_ms = 0;
    send_leader(g, from);
    gn_send_helpers(g, from);
    gn_send_suspects(g, from);
    gn_send_initial_state(g, from);
    /* Beyond DIRECT links the leader may assign it to a relay first, see
       send_due_snapshot. */
    uint32_t direct = (uint32_t)ini_get_int(g->settings, "relays", "direct");
    if (!g->is_leader || lk_count_peers(g->links) <= direct) {
        p->has_snapshot = true;
        gn_send_snapshot(g, from, p->config_version);
    }
}

static bool
same_helpers(const Gwp__Members *a, const Gwp__Members *b)
{
    if (!a || a->n_helpers != b->n_helpers) {
        return !a && b->n_helpers == 0;
    }
    for (size_t i = 0; i < a->n_helpers; i++) {
        if (strcmp(a->helpers[i]->address, b->helpers[i]->address) != 0) {
            return false;
        }
    }
    return true;
}

/* Keeps a copy of M. */
static void
keep_report(Gateway *g, Peer *p, const Gwp__Members *m)
{
    if (!m->with_helpers || same_helpers(p->reported, m)) {
        return;
    }
    size_t len = gwp__members__get_packed_size(m);
    g_autofree uint8_t *bytes = g_malloc(len + 1);
    gwp__members__pack(m, bytes);
    if (p->reported) {
        gwp__members__free_unpacked(p->reported, NULL);
    }
    p->reported = gwp__members__unpack(NULL, len, bytes);
    gn_on_helpers_changed(g);
}

void
gn_take_members(Gateway *g, LkPeer *from, const Gwp__Members *m)
{
    Peer *p = lk_get_user(from);
    if (!p) {
        return;
    }
    gn_note_member(g, lk_get_vm(from));
    p->leaving = m->leaving;
    p->reads_store = m->reads_store;
    p->unplanned = p->former || m->unplanned;
    p->config_version = MAX(p->config_version, m->config_version);
    keep_report(g, p, m);
    g_ptr_array_set_size(p->members, 0);
    for (size_t i = 0; i < m->n_vms; i++) {
        g_ptr_array_add(p->members, g_strdup(m->vms[i]));
        gn_note_member(g, m->vms[i]);
    }
}

void
gn_take_stamp(LkPeer *from, uint64_t stamp_ms)
{
    Peer *p = lk_get_user(from);
    if (p) {
        cs_take(&p->stamps, bg_boot_ms(), stamp_ms);
    }
}

uint64_t
gn_find_stamp(const LkPeer *to, uint64_t as_of_ms)
{
    const Peer *p = lk_get_user(to);
    return p ? cs_find(&p->stamps, as_of_ms) : 0;
}

void
gn_on_peer(void *ctx, LkPeer *peer, bool linked)
{
    Gateway *g = ctx;
    Peer *p = lk_get_user(peer);
    if (linked) {
        return;
    }
    dm_remove_source(g->demand, lk_get_vm(peer));
    if (p) {
        free_peer_info(p);
        lk_set_user(peer, NULL);
        gn_on_helpers_changed(g);
    }
    g->members_ms = 0;
    JlLine *l = jl_begin("peer-gone");
    jl_text(l, "vm", lk_get_vm(peer));
    jl_end(l);
}

static void
add_member(void *ctx, LkPeer *peer)
{
    const Peer *p = lk_get_user(peer);
    if (p) {
        g_ptr_array_add(ctx, (void *)lk_get_vm(peer));
        for (guint i = 0; i < p->members->len; i++) {
            g_ptr_array_add(ctx, p->members->pdata[i]);
        }
    }
}

typedef struct {
    bool members;
    GPtrArray *out;
} HelperList;

static void
add_helpers(void *ctx, LkPeer *peer)
{
    HelperList *list = ctx;
    Peer *p = lk_get_user(peer);
    if (!p || p->leaving) {
        return;
    }
    if (*p->detour) {
        g_ptr_array_add(list->out, &p->helper);
    }
    for (size_t i = 0;
         list->members && p->reported && i < p->reported->n_helpers; i++) {
        g_ptr_array_add(list->out, p->reported->helpers[i]);
    }
}

void
gn_add_helpers(Gateway *g, bool members, GPtrArray *out)
{
    HelperList list = {members, out};
    lk_visit_peers(g->links, add_helpers, &list);
}

static void
add_data_centre(void *ctx, LkPeer *peer)
{
    const Peer *p = lk_get_user(peer);
    if (p) {
        g_hash_table_add(ctx, p->data_centre);
    }
}

GHashTable *
gn_list_linked_data_centres(Gateway *g)
{
    GHashTable *set = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_add(set, (void *)gn_get_text(g, "data_centre"));
    lk_visit_peers(g->links, add_data_centre, set);
    return set;
}

uint32_t
gn_count_linked(Gateway *g)
{
    g_autoptr(GPtrArray) vms = g_ptr_array_new();
    lk_visit_peers(g->links, add_member, vms);
    return vms->len;
}

/* Names our members as helpers where these have changed, or the last report
   may be lost. */
static void
fill_helpers(Gateway *g, uint64_t now_ms, GPtrArray *helpers,
             Gwp__Members *out)
{
    Detours *d = &g->detours;
    gn_add_helpers(g, false, helpers);
    guint n = MIN(helpers->len, MAX_REPORTED_HELPERS);
    uint64_t digest = n;
    for (guint i = 0; i < n; i++) {
        const char *address = ((Gwp__Helper *)helpers->pdata[i])->address;
        digest = XXH64(address, strlen(address), digest);
    }
    out->with_helpers = digest != d->reported_digest ||
                        now_ms >= d->reported_ms + HELPERS_INTERVAL_MS;
    if (out->with_helpers) {
        d->reported_digest = digest;
        d->reported_ms = now_ms;
        out->n_helpers = n;
        out->helpers = (Gwp__Helper **)helpers->pdata;
    }
}

static void
send_members(Gateway *g, uint64_t now_ms)
{
    if (g->is_leader || !lk_is_open(g->links) ||
        now_ms < g->members_ms + MEMBERS_INTERVAL_MS) {
        return;
    }
    g->members_ms = now_ms;
    g_autoptr(GPtrArray) vms = g_ptr_array_new();
    lk_visit_peers(g->links, add_member, vms);
    Gwp__Members m = GWP__MEMBERS__INIT;
    m.n_vms = vms->len;
    m.vms = (char **)vms->pdata;
    m.leaving = g->stop_ms != 0 || gn_is_lagging(g, now_ms);
    m.reads_store = gn_reads_store(g, now_ms);
    m.unplanned =
        gn_has_unplanned(g) || vp_may_be_unplanned(g->versions, now_ms);
    m.config_version = g->config ? g->config->version : 0;
    g_autoptr(GPtrArray) helpers = g_ptr_array_new();
    fill_helpers(g, now_ms, helpers, &m);
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_MEMBERS;
    f.members = &m;
    lk_send_up(g->links, &f);
}

static void
note_reader(void *ctx, LkPeer *peer)
{
    const Peer *p = lk_get_user(peer);
    bool *found = ctx;
    *found = *found || (p && p->reads_store);
}

bool
gn_has_reader(Gateway *g)
{
    bool found = false;
    lk_visit_peers(g->links, note_reader, &found);
    return found;
}

static void
note_unplanned(void *ctx, LkPeer *peer)
{
    const Peer *p = lk_get_user(peer);
    bool *found = ctx;
    *found = *found || (p && p->unplanned);
}

bool
gn_has_unplanned(Gateway *g)
{
    bool found = false;
    lk_visit_peers(g->links, note_unplanned, &found);
    return found;
}

typedef struct {
    uint64_t version;
    LkPeer *peer; /* NULL: none has a newer one */
} Newest;

static void
note_version(void *ctx, LkPeer *peer)
{
    Newest *n = ctx;
    const Peer *p = lk_get_user(peer);
    if (p && p->config_version > n->version) {
        *n = (Newest){p->config_version, peer};
    }
}

/* Asks a member that has a newer configuration: the store may be unreachable
   from here but not from there. */
static void
request_newer_config(Gateway *g, uint64_t now_ms)
{
    Newest n = {g->config ? g->config->version : 0, NULL};
    lk_visit_peers(g->links, note_version, &n);
    if (n.peer &&
        now_ms >= g->config_request_ms + CONFIG_REQUEST_INTERVAL_MS) {
        g->config_request_ms = now_ms;
        gn_request_config(g, n.peer);
    }
}

/* ---- assignment of relays, by the leader -------------------------------- */

typedef struct {
    GArray *rows;     /* RlPeer */
    GPtrArray *links; /* LkPeer, of the same order */
} PlanInput;

static uint32_t
count_expected(const Peer *p)
{
    bool recent = bg_boot_ms() < p->expected_ms + ARRIVAL_MS;
    return recent ? MAX(p->members->len, p->expected) : p->members->len;
}

static void
add_row(void *ctx, LkPeer *peer)
{
    PlanInput *in = ctx;
    const Peer *p = lk_get_user(peer);
    if (p) {
        bool recent = bg_boot_ms() < p->since_ms + UNREACHABLE_RELAY_MS;
        RlPeer row = {.vm = lk_get_vm(peer),
                      .data_centre = p->data_centre,
                      .address = p->address,
                      .unreachable_relay =
                          recent ? p->unreachable_relay : NULL,
                      .fitness = p->fitness,
                      .members = count_expected(p),
                      .leaving = p->leaving};
        g_array_append_val(in->rows, row);
        g_ptr_array_add(in->links, peer);
    }
}

typedef struct {
    Gateway *g;
    const PlanInput *in;
} Plan;

/* Counts the gateway just assigned to the relay at ADDRESS. */
static void
add_expected(const PlanInput *in, const char *address)
{
    for (guint i = 0; i < in->links->len; i++) {
        Peer *p = lk_get_user(in->links->pdata[i]);
        if (strcmp(p->address, address) == 0) {
            p->expected = count_expected(p) + 1;
            p->expected_ms = bg_boot_ms();
        }
    }
}

static void
assign(void *ctx, size_t which, const char *address)
{
    const Plan *plan = ctx;
    Gwp__Assign a = GWP__ASSIGN__INIT;
    a.address = (char *)address;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_ASSIGN;
    f.assign = &a;
    lk_send_down(plan->g->links, plan->in->links->pdata[which], &f);
    add_expected(plan->in, address);
}

static void
plan_relays(Gateway *g)
{
    g_autoptr(GArray) rows = g_array_new(FALSE, FALSE, sizeof(RlPeer));
    g_autoptr(GPtrArray) links = g_ptr_array_new();
    PlanInput in = {rows, links};
    lk_visit_peers(g->links, add_row, &in);
    const IniFile *f = g->settings;
    RlParams params = {
        (uint32_t)ini_get_int(f, "relays", "direct"),
        (uint32_t)ini_get_int(f, "relays", "members"),
        (uint32_t)ini_get_int(f, "relays", "moves"),
    };
    Plan plan = {g, &in};
    rl_plan(&params, (RlPeer *)rows->data, rows->len, assign, &plan);
}

static void
send_due_snapshot(void *ctx, LkPeer *peer)
{
    Gateway *g = ctx;
    Peer *p = lk_get_user(peer);
    if (p && !p->has_snapshot &&
        bg_boot_ms() >= p->since_ms + SNAPSHOT_DELAY_MS) {
        p->has_snapshot = true;
        gn_send_snapshot(g, peer, p->config_version);
    }
}

void
gn_tick_relay(Gateway *g, uint64_t now_ms)
{
    if (g->is_leader) {
        plan_relays(g);
    }
    lk_visit_peers(g->links, send_due_snapshot, g);
    publish_disconnected(g, now_ms);
    request_newer_config(g, now_ms);
    send_members(g, now_ms);
    hold_off_lease(g, now_ms);
    search_leader(g, now_ms);
}
