#include "gn.h"

#include <string.h>

/* Without a word of the placing VM for so long it is looked for: by those that
   are linked to it at once, by a relay's members later and not all together,
   since their relay looks for them. */
#define HEARD_MS 1000
#define ALONE_MS 2500
#define ALONE_JITTER_MS 1500
#define RETRY_ALONE_MS 4000
/* A lost link is opened anew before the store is asked who places. */
#define RELINK_MS 500
#define MEMBERS_MS 1000 /* between words of who is linked to us */
/* Between questions for a newer configuration: a read of our own that is on
   its way is there by then. */
#define CONFIG_PAUSE_MS 250
/* Here for so long, it was not sent on: it is told all. */
#define SETTLED_MS 250
/* One that was sent to a relay is there, and told of, after so long. */
#define ARRIVAL_MS 1500
/* A relay that could not be reached may be back. */
#define SHUN_MS 5000

/* What is known of a gateway that is linked to us. */
typedef struct {
    char *data_centre;
    char *address;
    char *shunned;
    GPtrArray *members;   /* char *: linked to it */
    uint32_t expected;    /* members, with those that were sent to it */
    uint64_t expected_ms; /* when the last one was */
    uint32_t fitness;
    uint64_t config_version;
    uint64_t since_ms;
    bool leaving;
    bool reads_store;
    bool told; /* all there is */
} Peer;

static void
free_member_info(Peer *p)
{
    g_free(p->data_centre);
    g_free(p->address);
    g_free(p->shunned);
    g_ptr_array_free(p->members, TRUE);
    g_free(p);
}

/* ---- whom we are linked to ---------------------------------------------- */

bool
gn_hears_placer(const Gateway *g, uint64_t now_ms)
{
    return g->placing || (g->placer_ms && now_ms < g->placer_ms + HEARD_MS);
}

bool
gn_is_told_late(const Gateway *g, uint64_t now_ms)
{
    return g->uplink.lag.late_ms > HEARD_MS ||
           lk_get_quiet_ms(g->links, now_ms) > HEARD_MS;
}

bool
gn_still_sums(const Gateway *g)
{
    return !g->placing && g->was_placing && lk_count_peers(g->links) > 0;
}

static void
choose_target(Gateway *g)
{
    const Uplink *u = &g->uplink;
    const char *target = g->placing ? NULL : u->relay ? u->relay : u->placer;
    if (g_strcmp0(target, gn_get_address(g)) == 0) {
        target = NULL; /* of a process before this one on our VM */
    }
    g->was_placing = g->placing || (g->was_placing && !target);
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
    u->alone_ms = ALONE_MS + bg_pick_random(&g->rng, ALONE_JITTER_MS);
    u->next_try_ms = now_ms + u->alone_ms;
    choose_target(g);
}

/* For the placing VM itself. */
static void
leave_relay(Gateway *g)
{
    g_free(g->uplink.shunned);
    g->uplink.shunned = g_steal_pointer(&g->uplink.relay);
    choose_target(g);
}

/* TO: one of those linked to us; NULL: all of them. */
static void
send_holder(Gateway *g, LkPeer *to)
{
    Gwp__Holder h = GWP__HOLDER__INIT;
    h.address = g->uplink.placer ? g->uplink.placer : (char *)"";
    h.blind = g->blind;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_HOLDER;
    f.holder = &h;
    lk_send_down(g->links, to, &f);
}

void
gn_set_placer(Gateway *g, const char *address)
{
    Uplink *u = &g->uplink;
    if (g_strcmp0(u->placer, address) != 0) {
        g_free(u->placer);
        u->placer = g_strdup(address);
        lag_reset(&u->lag);
        send_holder(g, NULL);
    }
    choose_target(g);
}

void
gn_take_holder(Gateway *g, const Gwp__Holder *h)
{
    g->relay_blind = h->blind;
    gn_set_placer(g, *h->address ? h->address : NULL);
}

/* Members of a relay that learns nothing any more ask the store themselves. */
static void
tell_blindness(Gateway *g, uint64_t now_ms)
{
    bool blind = !gn_hears_placer(g, now_ms) && !gn_reads_store(g, now_ms);
    if (g->blind != blind) {
        g->blind = blind;
        send_holder(g, NULL);
    }
}

void
gn_take_assign(Gateway *g, const Gwp__Assign *a)
{
    if (!*a->address) {
        leave_relay(g);
        return;
    }
    /* Who was linked to us goes there as well: no chains. */
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
    g->members_ms = 0; /* that we leave is told at the next tick */
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
    g->relay_blind = false;
    lag_reset(&g->uplink.lag);
    if (open) {
        g->sums_due = true;
        g->members_ms = 0;
        wl_on_link(g->limits);
        gn_send_demand(g);
        return;
    }
    gn_await_news(g, now_ms);
    ls_hold_off(g->lease, now_ms + RELINK_MS);
    /* Whatever silenced the link may have silenced the others. */
    ht_drop_kept(g->pool, gn_get_text(g, "store"));
    st_restart(g->config_watch, now_ms, 0);
    st_restart(g->upstream_watch, now_ms, 0);
    ut_outdate_placement(g->upstreams);
    if (g->uplink.relay) {
        leave_relay(g);
    }
}

void
gn_on_unreached(void *ctx)
{
    Gateway *g = ctx;
    if (g->uplink.relay) {
        leave_relay(g);
    }
    else if (g->uplink.shunned) {
        /* The placing VM can't be reached from here: the relay, which may
           share that, is better than none. */
        set_relay(g, g->uplink.shunned);
    }
}

/* A relay that has lost the placing VM is left for a try to reach it. */
static void
look_for_placer(Gateway *g, uint64_t now_ms)
{
    Uplink *u = &g->uplink;
    if (g->placing || !u->relay || gn_hears_placer(g, now_ms) ||
        now_ms < MAX(u->next_try_ms, g->placer_ms + u->alone_ms)) {
        return;
    }
    u->next_try_ms =
        now_ms + RETRY_ALONE_MS + bg_pick_random(&g->rng, ALONE_JITTER_MS);
    leave_relay(g);
}

/* A relay's members leave it to the relay to ask the store who places, as long
   as it may find out. */
static void
hold_off_lease(Gateway *g, uint64_t now_ms)
{
    if (g->uplink.relay && lk_is_open(g->links) &&
        now_ms < g->placer_ms + g->uplink.alone_ms) {
        ls_hold_off(g->lease, now_ms + RELINK_MS);
    }
}

/* ---- who is linked to us ------------------------------------------------ */

void
gn_greet(void *ctx, Gwp__Hello *hello)
{
    const Gateway *g = ctx;
    double share = ini_get_number(g->settings, "gateway", "cpu_share");
    hello->vm = (char *)gn_get_text(g, "name");
    hello->process = (char *)g->process;
    hello->data_centre = (char *)gn_get_text(g, "data_centre");
    hello->address = (char *)gn_get_address(g);
    hello->fitness = (uint32_t)(share * 1000);
    hello->shunned = g->uplink.shunned ? g->uplink.shunned : (char *)"";
    hello->config_version = g->config ? g->config->version : 0;
}

void
gn_take_hello(Gateway *g, LkPeer *from, const Gwp__Hello *hello)
{
    lk_set_vm(from, hello->vm);
    Peer *p = g_new0(Peer, 1);
    p->data_centre = g_strdup(hello->data_centre);
    p->address = g_strdup(hello->address);
    p->shunned = *hello->shunned ? g_strdup(hello->shunned) : NULL;
    p->members = g_ptr_array_new_with_free_func(g_free);
    p->fitness = hello->fitness;
    p->config_version = hello->config_version;
    p->since_ms = bg_boot_ms();
    lk_set_user(from, p);
    gn_note_member(g, hello->vm);
    g->members_ms = 0;
    send_holder(g, from);
    gn_greet_member(g, from);
    /* The placing VM may send it on first. */
    uint32_t direct = (uint32_t)ini_get_int(g->settings, "relays", "direct");
    if (!g->placing || lk_count_peers(g->links) <= direct) {
        p->told = true;
        gn_send_all(g, from, p->config_version);
    }
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
    p->config_version = MAX(p->config_version, m->config_version);
    g_ptr_array_set_size(p->members, 0);
    for (size_t i = 0; i < m->n_vms; i++) {
        g_ptr_array_add(p->members, g_strdup(m->vms[i]));
        gn_note_member(g, m->vms[i]);
    }
}

void
gn_on_peer(void *ctx, LkPeer *peer, bool here)
{
    Gateway *g = ctx;
    Peer *p = lk_get_user(peer);
    if (here) {
        return;
    }
    dm_remove_source(g->demand, lk_get_vm(peer));
    if (p) {
        free_member_info(p);
        lk_set_user(peer, NULL);
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

static void
send_members(Gateway *g, uint64_t now_ms)
{
    if (g->placing || !lk_is_open(g->links) ||
        now_ms < g->members_ms + MEMBERS_MS) {
        return;
    }
    g->members_ms = now_ms;
    g_autoptr(GPtrArray) vms = g_ptr_array_new();
    lk_visit_peers(g->links, add_member, vms);
    Gwp__Members m = GWP__MEMBERS__INIT;
    m.n_vms = vms->len;
    m.vms = (char **)vms->pdata;
    m.leaving = g->stop_ms != 0 || gn_is_told_late(g, now_ms);
    m.reads_store = gn_reads_store(g, now_ms);
    m.config_version = g->config ? g->config->version : 0;
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

/* The store is cut off from here, and not from there. */
static void
ask_newer_config(Gateway *g, uint64_t now_ms)
{
    Newest n = {g->config ? g->config->version : 0, NULL};
    lk_visit_peers(g->links, note_version, &n);
    if (n.peer && now_ms >= g->asked_ms + CONFIG_PAUSE_MS) {
        g->asked_ms = now_ms;
        gn_ask_config(g, n.peer);
    }
}

/* ---- the plan of the placing VM ----------------------------------------- */

typedef struct {
    GArray *rows;     /* RlPeer */
    GPtrArray *links; /* LkPeer, of the same order */
} PlanInput;

static uint32_t
count_expected(const Peer *p)
{
    bool lately = bg_boot_ms() < p->expected_ms + ARRIVAL_MS;
    return lately ? MAX(p->members->len, p->expected) : p->members->len;
}

static void
add_row(void *ctx, LkPeer *peer)
{
    PlanInput *in = ctx;
    const Peer *p = lk_get_user(peer);
    if (p) {
        bool shuns = bg_boot_ms() < p->since_ms + SHUN_MS;
        RlPeer row = {.vm = lk_get_vm(peer),
                      .data_centre = p->data_centre,
                      .address = p->address,
                      .shunned = shuns ? p->shunned : NULL,
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

static void
note_coming(const PlanInput *in, const char *address)
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
    note_coming(plan->in, address);
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
tell_if_settled(void *ctx, LkPeer *peer)
{
    Gateway *g = ctx;
    Peer *p = lk_get_user(peer);
    if (p && !p->told && bg_boot_ms() >= p->since_ms + SETTLED_MS) {
        p->told = true;
        gn_send_all(g, peer, p->config_version);
    }
}

void
gn_tick_relay(Gateway *g, uint64_t now_ms)
{
    if (g->placing) {
        plan_relays(g);
    }
    lk_visit_peers(g->links, tell_if_settled, g);
    tell_blindness(g, now_ms);
    ask_newer_config(g, now_ms);
    send_members(g, now_ms);
    hold_off_lease(g, now_ms);
    look_for_placer(g, now_ms);
}
