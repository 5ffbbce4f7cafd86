#include "gateway_node.h"

#include "../platform/pf_wire.h"

#include <stdlib.h>

/* An upstream with fewer requests is published as idle: for the choice of an
   upstream it makes no difference. */
#define MIN_PUBLISHED_LOAD 3
/* A count of requests is published again when it changed by more than one
   request plus 1/8 of it, a wait when it changed by more than 50 ms plus
   1/8. */
#define LOAD_CHANGE_DIVISOR 8
#define MIN_WAIT_CHANGE_MS 50

/* ---- sending: upstreams and what they hold ------------------------------ */

/* Rows of a frame of upstreams. */
typedef struct {
    GPtrArray *rows;      /* Gwp__Upstream */
    GPtrArray *residents; /* GPtrArray of Gwp__Resident, one a row */
} UpstreamRows;

static void
free_list(void *p)
{
    g_ptr_array_free(p, TRUE);
}

static void
add_upstream(void *ctx, const DepUpstream *u, const GPtrArray *models)
{
    UpstreamRows *rows = ctx;
    GPtrArray *residents = g_ptr_array_new_with_free_func(g_free);
    gn_fill_residents(models, residents);
    Gwp__Upstream *x = g_new0(Gwp__Upstream, 1);
    gwp__upstream__init(x);
    x->id = u->id;
    x->service = u->service;
    x->address = u->address;
    x->data_centre = u->data_centre;
    x->draining = u->draining;
    x->born_ms = u->born_ms;
    x->version = u->version ? u->version : (char *)"";
    x->versioned = u->version != NULL;
    x->n_residents = residents->len;
    x->residents = (Gwp__Resident **)residents->pdata;
    g_ptr_array_add(rows->rows, x);
    g_ptr_array_add(rows->residents, residents);
}

static Gwp__Upstreams
make_upstreams(const UpstreamRows *rows)
{
    Gwp__Upstreams m = GWP__UPSTREAMS__INIT;
    m.n_upstreams = rows->rows->len;
    m.upstreams = (Gwp__Upstream **)rows->rows->pdata;
    return m;
}

static void
send_upstreams(Gateway *g, LkPeer *to, const UpstreamRows *rows,
               const GPtrArray *gone, bool whole)
{
    Gwp__Upstreams m = make_upstreams(rows);
    m.n_gone = gone ? gone->len : 0;
    m.gone = gone ? (char **)gone->pdata : NULL;
    m.whole = whole;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_UPSTREAMS;
    f.upstreams = &m;
    lk_send_down(g->links, to, &f);
    if (!to && !whole && !g->is_leader && !g->leader_reads_store) {
        lk_send_up(g->links, &f);
    }
}

void
gn_publish_upstreams(Gateway *g, const GPtrArray *changed,
                     const GPtrArray *gone)
{
    g_autoptr(GPtrArray) list = g_ptr_array_new_with_free_func(g_free);
    g_autoptr(GPtrArray) residents = g_ptr_array_new_with_free_func(free_list);
    UpstreamRows rows = {list, residents};
    for (guint i = 0; i < changed->len; i++) {
        const DepUpstream *u = changed->pdata[i];
        const GPtrArray *placed = ut_get_placement(g->upstreams, u->id);
        add_upstream(&rows, u, placed ? placed : u->models);
    }
    if (rows.rows->len + gone->len > 0) {
        send_upstreams(g, NULL, &rows, gone, false);
    }
}

static void
add_leaving(void *ctx, const DepUpstream *u)
{
    add_upstream(ctx, u, u->models);
}

/* DOWN: also to all linked gateways. */
static void
send_leaving(Gateway *g, const UpstreamRows *rows, bool down)
{
    Gwp__Upstreams m = make_upstreams(rows);
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_UPSTREAMS;
    f.upstreams = &m;
    if (down) {
        lk_send_down(g->links, NULL, &f);
    }
    if (!g->is_leader && m.n_upstreams > 0) {
        lk_send_up(g->links, &f);
    }
}

void
gn_publish_leaving(Gateway *g, const DepUpstream *upstream)
{
    g_autoptr(GPtrArray) list = g_ptr_array_new_with_free_func(g_free);
    g_autoptr(GPtrArray) residents = g_ptr_array_new_with_free_func(free_list);
    UpstreamRows rows = {list, residents};
    const GPtrArray *placed = ut_get_placement(g->upstreams, upstream->id);
    add_upstream(&rows, upstream, placed ? placed : upstream->models);
    send_leaving(g, &rows, true);
}

void
gn_report_leaving(Gateway *g)
{
    g_autoptr(GPtrArray) list = g_ptr_array_new_with_free_func(g_free);
    g_autoptr(GPtrArray) residents = g_ptr_array_new_with_free_func(free_list);
    UpstreamRows rows = {list, residents};
    ut_visit_leaving(g->upstreams, add_leaving, &rows);
    send_leaving(g, &rows, false);
}

void
gn_request_config(Gateway *g, LkPeer *of)
{
    Gwp__ConfigWanted w = GWP__CONFIG_WANTED__INIT;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_CONFIG_WANTED;
    f.config_wanted = &w;
    lk_send_down(g->links, of, &f);
}

/* False: this process does not know the upstreams yet.  An empty set that is
   known is sent. */
static bool
send_all_upstreams(Gateway *g, LkPeer *to)
{
    if (!gn_knows_upstreams(g)) {
        return false;
    }
    g_autoptr(GPtrArray) list = g_ptr_array_new_with_free_func(g_free);
    g_autoptr(GPtrArray) residents = g_ptr_array_new_with_free_func(free_list);
    UpstreamRows rows = {list, residents};
    ut_visit(g->upstreams, add_upstream, &rows);
    send_upstreams(g, to, &rows, NULL, true);
    return true;
}

void
gn_publish_all_upstreams(Gateway *g)
{
    if (lk_count_peers(g->links) > 0) {
        send_all_upstreams(g, NULL);
    }
}

/* UP: to the VM that we are linked to; else to the linked gateway TO, or to
   all of them if it is NULL. */
static void
send_config(Gateway *g, LkPeer *to, bool up)
{
    gsize len;
    const void *data = g_bytes_get_data(g->config_bytes, &len);
    Gwp__Config c = GWP__CONFIG__INIT;
    c.written.data = (uint8_t *)data;
    c.written.len = len;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_CONFIG;
    f.config = &c;
    if (up) {
        lk_send_up(g->links, &f);
    }
    else {
        lk_send_down(g->links, to, &f);
    }
}

void
gn_send_config(Gateway *g, LkPeer *to)
{
    if (g->config_bytes && (to || lk_count_peers(g->links) > 0)) {
        send_config(g, to, false);
    }
}

void
gn_publish_unreachable(Gateway *g)
{
    if (g->unreachable->len == 0) {
        return;
    }
    Gwp__Away a = GWP__AWAY__INIT;
    a.n_upstreams = g->unreachable->len;
    a.upstreams = (char **)g->unreachable->pdata;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_AWAY;
    f.away = &a;
    lk_send_down(g->links, NULL, &f);
    g_ptr_array_set_size(g->unreachable, 0);
}

/* ---- sending: loads ----------------------------------------------------- */

static void
send_totals(Gateway *g, LkPeer *to, const GArray *totals, bool whole)
{
    g_autofree uint32_t *columns = g_new(uint32_t, totals->len * 3 + 1);
    Gwp__Loads m = GWP__LOADS__INIT;
    m.keys = columns;
    m.running = columns + totals->len;
    m.wait_ms = columns + totals->len * 2;
    m.n_keys = m.n_running = m.n_wait_ms = totals->len;
    m.n_stalled = totals->len;
    g_autofree protobuf_c_boolean *stalled =
        g_new(protobuf_c_boolean, totals->len + 1);
    m.stalled = stalled;
    m.whole = whole;
    for (guint i = 0; i < totals->len; i++) {
        const UtTotal *t = &g_array_index(totals, UtTotal, i);
        m.keys[i] = t->key;
        m.running[i] = t->running;
        m.wait_ms[i] = t->wait_ms;
        m.stalled[i] = t->stalled;
    }
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_LOADS;
    f.loads = &m;
    lk_send_down(g->links, to, &f);
}

static void
add_total(void *ctx, const UtTotal *total)
{
    g_array_append_val((GArray *)ctx, *total);
}

static bool
has_changed_enough(const UtTotal *now, const UtTotal *published)
{
    uint32_t slack = 1 + published->running / LOAD_CHANGE_DIVISOR;
    uint32_t wait_slack =
        MIN_WAIT_CHANGE_MS + published->wait_ms / LOAD_CHANGE_DIVISOR;
    return ABS((int64_t)now->running - published->running) > slack ||
           ABS((int64_t)now->wait_ms - published->wait_ms) > wait_slack ||
           now->stalled != published->stalled;
}

typedef struct {
    Gateway *g;
    GHashTable *seen; /* key */
    GArray *changes;  /* UtTotal */
} LoadList;

static void
note_total(LoadList *list, const UtTotal *now)
{
    gpointer key = GUINT_TO_POINTER(now->key);
    UtTotal none = {.key = now->key};
    UtTotal *published = g_hash_table_lookup(list->g->published_loads, key);
    if (has_changed_enough(now, published ? published : &none)) {
        g_array_append_val(list->changes, *now);
        g_hash_table_replace(list->g->published_loads, key,
                             g_memdup2(now, sizeof(*now)));
    }
}

static void
add_load(void *ctx, const char *upstream, const MpLoad *load)
{
    LoadList *list = ctx;
    UtTotal t = {ut_make_key(upstream), load->running, load->wait_ms,
                 load->stalled};
    if (load->running < MIN_PUBLISHED_LOAD) {
        t.running = 0;
        t.wait_ms = 0;
    }
    g_hash_table_add(list->seen, GUINT_TO_POINTER(t.key));
    note_total(list, &t);
}

static gboolean
remove_stale_load(gpointer key, gpointer total, gpointer ctx)
{
    const UtTotal *published = total;
    LoadList *list = ctx;
    if (g_hash_table_contains(list->seen, key)) {
        return FALSE;
    }
    UtTotal none = {.key = published->key};
    if (published->running > 0) {
        g_array_append_val(list->changes, none);
    }
    return TRUE;
}

/* Publishes the loads that changed enough since they were last sent. */
static void
send_loads(Gateway *g, uint64_t now_ms)
{
    g_autoptr(GHashTable) seen =
        g_hash_table_new(g_direct_hash, g_direct_equal);
    g_autoptr(GArray) changes = g_array_new(FALSE, FALSE, sizeof(UtTotal));
    LoadList list = {g, seen, changes};
    mp_visit_loads(g->placement, now_ms, add_load, &list);
    g_hash_table_foreach_remove(g->published_loads, remove_stale_load, &list);
    ut_on_totals(g->upstreams, now_ms, (UtTotal *)changes->data, changes->len,
                 false);
    if (changes->len > 0) {
        send_totals(g, NULL, changes, false);
    }
}

/* ---- sending: a snapshot ------------------------------------------------ */

void
gn_send_snapshot(Gateway *g, LkPeer *to, uint64_t config_version)
{
    if (g->config && g->config->version > config_version) {
        gn_send_config(g, to);
    }
    gn_send_versions(g, to); /* before upstreams of a new version */
    if (!send_all_upstreams(g, to)) {
        return; /* the first listing is sent to all linked gateways */
    }
    g_autoptr(GArray) totals = g_array_new(FALSE, FALSE, sizeof(UtTotal));
    ut_visit_totals(g->upstreams, add_total, totals);
    send_totals(g, to, totals, true);
    gn_send_upstream_limits(g, to);
}

/* ---- sending: the leader's heartbeat ------------------------------------ */

typedef struct {
    GPtrArray *waits; /* Gwp__Wait */
    Gateway *g;
    uint64_t now_ms;
} WaitList;

static void
free_wait(void *p)
{
    g_free(((Gwp__Wait *)p)->model);
    g_free(p);
}

static void
add_wait(void *ctx, const char *model, uint32_t wait_ms)
{
    WaitList *list = ctx;
    Gwp__Wait *w = g_new0(Gwp__Wait, 1);
    gwp__wait__init(w);
    w->model = g_strdup(model);
    w->wait_ms = wait_ms;
    g_ptr_array_add(list->waits, w);
    gw_on_wait_estimate(list->g->gw, list->now_ms, model, wait_ms);
}

/* What is known here as of a time, on its way to those linked to us. */
typedef struct {
    Gateway *g;
    Gwp__State *state;
    uint64_t as_of_ms;
} StateOut;

static void
pass_state(void *ctx, LkPeer *to)
{
    const StateOut *out = ctx;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_STATE;
    f.state = out->state;
    f.state->confirms_ms = gn_find_stamp(to, out->as_of_ms);
    lk_send_down(out->g->links, to, &f);
}

/* S names the newest plan as of AS_OF_MS; 0: as of no known time.  Each gets
   its own stamp back. */
static void
pass_state_down(Gateway *g, Gwp__State *s, uint64_t as_of_ms)
{
    StateOut out = {g, s, as_of_ms};
    lk_visit_peers(g->links, pass_state, &out);
}

/* The plan known here is the newest at NOW_MS. */
static bool
confirms_plan(const Gateway *g, uint64_t now_ms)
{
    return gn_leads(g, now_ms) && g->plan_listed;
}

/* TO: a linked gateway; NULL: all of them. */
static void
send_state(Gateway *g, LkPeer *to, uint64_t now_ms, uint32_t gateways)
{
    g_autoptr(GPtrArray) waits = g_ptr_array_new_with_free_func(free_wait);
    WaitList list = {waits, g, now_ms};
    if (g->is_leader) {
        mp_visit_waits(g->placement, now_ms, add_wait, &list);
    }
    Gwp__State s = GWP__STATE__INIT;
    s.n_waits = waits->len;
    s.waits = (Gwp__Wait **)waits->pdata;
    s.gateways = gateways;
    s.rest_ms = ls_get_order_delay_ms(g->lease, now_ms);
    s.reads_store = gn_reads_store(g, now_ms);
    s.reads_config = gn_reads_config(g, now_ms);
    s.informed = s.reads_store || gn_has_reader(g);
    s.config_version = g->config ? g->config->version : 0;
    s.address = (char *)gn_get_address(g);
    s.sent_ms = now_ms;
    s.idle = !g->is_leader;
    bool confirms = confirms_plan(g, now_ms);
    s.version_plan = confirms ? vp_get_number(g->versions) : 0;
    s.plans = true;
    MpStoreLimits rate = mp_get_store_limits(g->placement);
    s.store_at_once = rate.at_once;
    s.store_most = rate.most;
    StateOut out = {g, &s, confirms ? now_ms : 0};
    if (to) {
        pass_state(&out, to);
    }
    else {
        pass_state_down(g, &s, out.as_of_ms);
    }
}

void
gn_send_state(Gateway *g, uint64_t now_ms)
{
    uint32_t gateways = gn_count_members(g, now_ms);
    send_loads(g, now_ms);
    send_state(g, NULL, now_ms, gateways);
    rb_on_gateways(g->budget, now_ms, gateways);
    ul_on_fleet(g->upstream_limits, now_ms, gateways);
    un_on_gateways(g->notices, gateways);
    if (g->is_leader) {
        bg_gauge("gateway_fleet", gateways);
        vp_on_gateways(g->versions, now_ms, gn_count_linked(g) + 1);
        gw_on_leader(g->gw, now_ms, ls_get_order_delay_ms(g->lease, now_ms));
        gn_set_mail_interval(g, gn_count_linked(g), gateways);
    }
}

void
gn_send_initial_state(Gateway *g, LkPeer *to)
{
    if (g->is_leader) {
        uint64_t now_ms = bg_boot_ms();
        send_state(g, to, now_ms, gn_count_members(g, now_ms));
    }
}

/* ---- sending: limits ---------------------------------------------------- */

gpointer *
gn_list_pointers(const GArray *items)
{
    gpointer *refs = g_new(gpointer, items->len + 1);
    guint size = g_array_get_element_size((GArray *)items);
    for (guint i = 0; i < items->len; i++) {
        refs[i] = items->data + (size_t)i * size;
    }
    return refs;
}

static void
add_level(void *ctx, const WlLevel *x)
{
    Gwp__Level l;
    gwp__level__init(&l);
    l.workspace = (char *)x->workspace;
    l.level = x->level;
    l.asked = x->asked;
    g_array_append_val((GArray *)ctx, l);
}

void
gn_update_fleet(Gateway *g, uint64_t now_ms)
{
    if (!wl_has_limits(g->limits)) {
        return;
    }
    bool counts = g->is_leader || gn_still_aggregates(g);
    uint32_t reported = g->fleet ? g->fleet : ls_get_fleet(g->lease);
    wl_on_fleet(g->limits, now_ms, g->is_leader, gn_count_linked(g) + 1,
                counts ? gn_count_members(g, now_ms) : reported);
    ls_set_fleet(g->lease, wl_get_fleet(g->limits));
}

void
gn_publish_limits(Gateway *g, uint64_t now_ms)
{
    if (!wl_has_limits(g->limits) || !wl_publishes(g->limits, now_ms)) {
        return;
    }
    g_autoptr(GArray) levels = g_array_new(FALSE, FALSE, sizeof(Gwp__Level));
    Gwp__Limits m = GWP__LIMITS__INIT;
    m.share = wl_visit_levels(g->limits, now_ms, add_level, levels);
    g_autofree gpointer *refs = gn_list_pointers(levels);
    m.n_levels = levels->len;
    m.levels = (Gwp__Level **)refs;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_LIMITS;
    f.limits = &m;
    lk_send_down(g->links, NULL, &f);
}

/* ---- receiving ---------------------------------------------------------- */

static void
take_limits(Gateway *g, const Gwp__Limits *m)
{
    if (!(m->share > 0 && m->share <= 1)) {
        bg_log(BG_WARN, "limits",
               "ignored a frame: its share %f is not in (0, 1]", m->share);
        return;
    }
    g_autoptr(GArray) levels = g_array_new(FALSE, FALSE, sizeof(WlLevel));
    for (size_t i = 0; i < m->n_levels; i++) {
        const Gwp__Level *x = m->levels[i];
        if (!wl_is_amount(x->level, x->asked)) {
            bg_log(BG_WARN, "limits", "invalid level of workspace %s",
                   x->workspace);
            continue;
        }
        WlLevel level = {x->workspace, x->level, x->asked};
        g_array_append_val(levels, level);
    }
    uint64_t now_ms = bg_boot_ms();
    uint64_t sent_ms = now_ms - MIN(g->uplink.lag.late_ms, now_ms);
    wl_on_levels(g->limits, now_ms, sent_ms, m->share,
                 (const WlLevel *)levels->data, levels->len);
}

/* NULL: no calls can be sent to it, as the gateway that read its entry, of
   another release, didn't notice. */
static DepUpstream *
read_upstream(const Gwp__Upstream *x)
{
    DepUpstream *u = dep_create_upstream();
    u->id = g_strdup(x->id);
    u->service = g_strdup(x->service);
    u->address = g_strdup(x->address);
    u->data_centre = g_strdup(x->data_centre);
    u->draining = x->draining;
    u->born_ms = x->born_ms;
    u->version = x->versioned ? g_strdup(x->version) : NULL;
    g_autoptr(GError) err = NULL;
    if (!dep_check_upstream(u, &err)) {
        bg_log(BG_WARN, "upstreams", "ignored a linked gateway's %s: %s",
               x->id, err->message);
        dep_destroy_upstream(u);
        u = NULL;
    }
    return u;
}

static void
take_upstream_row(Gateway *g, uint64_t now_ms, const Gwp__Upstream *x,
                  DepUpstream *u)
{
    gn_take_upstream(g, now_ms, u);
    if (x->draining) {
        mp_on_draining(g->placement, x->id);
    }
    ut_on_placement(g->upstreams, now_ms, x->id,
                    gn_read_residents(x->n_residents, x->residents));
}

static void
take_upstreams(Gateway *g, const Gwp__Upstreams *m)
{
    uint64_t now_ms = bg_boot_ms();
    g_autoptr(GHashTable) ids = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < m->n_upstreams; i++) {
        const Gwp__Upstream *x = m->upstreams[i];
        DepUpstream *u = read_upstream(x);
        if (u) {
            g_hash_table_add(ids, x->id);
            take_upstream_row(g, now_ms, x, u);
        }
    }
    for (size_t i = 0; i < m->n_gone; i++) {
        gn_drop_upstream(g, now_ms, m->gone[i]);
    }
    if (m->whole) {
        ut_keep_only(g->upstreams, now_ms, ids);
        g->has_upstreams = true;
    }
    gw_on_change(g->gw);
}

/* X is of a process before the one that is known here: the sender lacks the
   store's newer entry. */
static bool
is_outdated(const Gateway *g, const Gwp__Upstream *x)
{
    uint64_t known_ms = ut_get_born_ms(g->upstreams, x->id);
    return x->born_ms && x->born_ms < known_ms;
}

/* Takes upstreams from a gateway that read them in the store.  Residents are
   taken for new upstreams only: those of an entry are older than what is known
   here. */
static void
take_upstreams_from_below(Gateway *g, const Gwp__Frame *f)
{
    uint64_t now_ms = bg_boot_ms();
    const Gwp__Upstreams *m = f->upstreams;
    bool changed = false;
    for (size_t i = 0; i < m->n_upstreams; i++) {
        const Gwp__Upstream *x = m->upstreams[i];
        if (is_outdated(g, x)) {
            continue;
        }
        DepUpstream *u = read_upstream(x);
        if (!u) {
            continue;
        }
        if (!ut_knows(g->upstreams, x->id)) {
            g_ptr_array_free(u->models, TRUE);
            u->models = gn_read_residents(x->n_residents, x->residents);
        }
        if (x->draining) {
            mp_on_draining(g->placement, x->id);
        }
        changed = gn_take_upstream(g, now_ms, u) || changed;
    }
    for (size_t i = 0; i < m->n_gone; i++) {
        changed = ut_knows(g->upstreams, m->gone[i]) || changed;
        gn_drop_upstream(g, now_ms, m->gone[i]);
    }
    if (changed) {
        lk_send_down(g->links, NULL, f);
        if (!g->is_leader) {
            lk_send_up(g->links, f);
        }
        gw_on_change(g->gw);
    }
}

static void
take_loads(Gateway *g, const Gwp__Loads *m)
{
    size_t n = MIN(m->n_keys, MIN(m->n_running, m->n_wait_ms));
    n = MIN(n, m->n_stalled);
    g_autoptr(GArray) totals = g_array_new(FALSE, FALSE, sizeof(UtTotal));
    for (size_t i = 0; i < n; i++) {
        UtTotal t = {m->keys[i], m->running[i], m->wait_ms[i], m->stalled[i]};
        g_array_append_val(totals, t);
    }
    ut_on_totals(g->upstreams, bg_boot_ms(), (UtTotal *)totals->data, n,
                 m->whole);
}

static void
take_unreachable(Gateway *g, const Gwp__Away *a)
{
    for (size_t i = 0; i < a->n_upstreams; i++) {
        ut_on_unreachable(g->upstreams, bg_boot_ms(), a->upstreams[i]);
        gn_on_upstream_end(g, a->upstreams[i]);
    }
}

static void
take_state(Gateway *g, const Gwp__State *s)
{
    uint64_t now_ms = bg_boot_ms();
    gn_set_leader(g, s->address);
    uint64_t sent_ms = now_ms - lag_update(&g->uplink.lag, now_ms, s->sent_ms);
    g->leader_ms = MAX(g->leader_ms, sent_ms);
    g->fleet = s->gateways;
    g->leader_reads_store = s->reads_store;
    g->leader_reads_config = s->reads_config;
    g->informed = s->informed;
    ut_on_totals(g->upstreams, sent_ms, NULL, 0, false);
    if (!s->idle) {
        bool possible = s->confirms_ms <= now_ms;
        gn_on_plan_number(g, now_ms, s->version_plan,
                          possible ? s->confirms_ms : 0);
        if (!s->plans) {
            vp_on_unplanned(g->versions, now_ms);
        }
        ls_on_leader_contact(g->lease, sent_ms);
        gw_on_leader(g->gw, now_ms, s->rest_ms);
    }
    rb_on_gateways(g->budget, now_ms, s->gateways);
    ul_on_fleet(g->upstream_limits, now_ms, s->gateways);
    un_on_gateways(g->notices, s->gateways);
    vp_on_gateways(g->versions, now_ms, s->gateways);
    gn_on_config_version(g, now_ms, s->config_version);
    if (s->informed && !sr_is_behind(g->reads)) {
        g->confirmed_ms = sent_ms;
    }
    MpStoreLimits rate = {s->store_at_once, s->store_most};
    mp_set_store_limits(g->placement, rate);
    for (size_t i = 0; i < s->n_waits; i++) {
        gw_on_wait_estimate(g->gw, now_ms, s->waits[i]->model,
                            s->waits[i]->wait_ms);
    }
}

static void
take_config(Gateway *g, const Gwp__Config *m)
{
    g_autoptr(GError) err = NULL;
    DepConfig *c = pf_decode_config(m->written.data, m->written.len, &err);
    if (!c) {
        bg_log(BG_WARN, "config", "not taken from a link: %s", err->message);
        return;
    }
    if (g->config && c->version <= g->config->version) {
        dep_unref_config(c);
        return;
    }
    g_autoptr(GBytes) written = g_bytes_new(m->written.data, m->written.len);
    gn_use_config(g, c, written);
}

typedef struct {
    Gateway *g;
    const char *vm;
    const Gwp__Frame *frame;
} Passed;

static void
pass_on(void *ctx, LkPeer *p)
{
    const Passed *x = ctx;
    if (strcmp(lk_get_vm(p), x->vm) == 0) {
        lk_send_down(x->g->links, p, x->frame);
    }
}

void
gn_pass_to_vm(Gateway *g, const char *vm, const Gwp__Frame *frame)
{
    Passed x = {g, vm, frame};
    lk_visit_peers(g->links, pass_on, &x);
}

/* A frame of the VM that we are linked to. */
static void
take_from_above(Gateway *g, const Gwp__Frame *f)
{
    g->uplink.answered = true;
    switch (f->body_case) {
    case GWP__FRAME__BODY_PLACEMENT:
        gn_take_placement(g, f->placement);
        break;
    case GWP__FRAME__BODY_STATE:
        take_state(g, f->state);
        pass_state_down(g, f->state, f->state->confirms_ms);
        break;
    case GWP__FRAME__BODY_LOADS:
        take_loads(g, f->loads);
        lk_send_down(g->links, NULL, f);
        break;
    case GWP__FRAME__BODY_UPSTREAMS:
        take_upstreams(g, f->upstreams);
        lk_send_down(g->links, NULL, f);
        break;
    case GWP__FRAME__BODY_CONFIG:
        take_config(g, f->config);
        break;
    case GWP__FRAME__BODY_VERSION_PLAN:
        gn_take_versions(g, f->version_plan);
        break;
    case GWP__FRAME__BODY_STREAM_NOTES:
        gn_take_notes(g, NULL, f);
        break;
    case GWP__FRAME__BODY_NOTE_ANSWER:
        gn_take_note_answer(g, f);
        break;
    case GWP__FRAME__BODY_LIMITS:
        take_limits(g, f->limits);
        lk_send_down(g->links, NULL, f);
        break;
    case GWP__FRAME__BODY_UPSTREAM_LIMITS:
        gn_take_upstream_limits(g, NULL, f);
        break;
    case GWP__FRAME__BODY_SLOT_ANSWER:
        gn_take_slot_answer(g, f);
        break;
    case GWP__FRAME__BODY_HELPERS:
        gn_take_helpers(g, f->helpers);
        break;
    case GWP__FRAME__BODY_AWAY:
        take_unreachable(g, f->away);
        lk_send_down(g->links, NULL, f);
        break;
    case GWP__FRAME__BODY_SUSPECTS:
        gn_take_suspects(g, NULL, f);
        break;
    case GWP__FRAME__BODY_DOUBT:
        gn_take_doubt(g, NULL, f);
        break;
    case GWP__FRAME__BODY_TURN_ANSWER:
        gn_take_turn_answer(g, f);
        break;
    case GWP__FRAME__BODY_LEASE_APPEND:
        gn_relay_lease(g, f->lease_append);
        break;
    case GWP__FRAME__BODY_ASSIGN:
        gn_take_assign(g, f->assign);
        break;
    case GWP__FRAME__BODY_HOLDER:
        gn_take_leader(g, f->holder);
        break;
    case GWP__FRAME__BODY_CONFIG_WANTED:
        if (g->config_bytes) {
            send_config(g, NULL, true);
        }
        break;
    default:
        break; /* empty heartbeat, or of a newer gateway */
    }
}

/* A frame of a gateway that is linked to us. */
static void
take_from_below(Gateway *g, LkPeer *from, const Gwp__Frame *f)
{
    switch (f->body_case) {
    case GWP__FRAME__BODY_HELLO:
        gn_take_hello(g, from, f->hello);
        break;
    case GWP__FRAME__BODY_MEMBERS:
        gn_take_members(g, from, f->members);
        break;
    case GWP__FRAME__BODY_DEMAND:
        gn_take_stamp(from, f->demand->stamp_ms);
        if (gn_take_demand(g, lk_get_vm(from), f->demand) && !g->is_leader) {
            gn_schedule_demand(g);
        }
        lk_set_urgent(from, dm_has_waiting(g->demand, lk_get_vm(from)));
        break;
    case GWP__FRAME__BODY_RUN:
        gn_take_run(g, f);
        break;
    case GWP__FRAME__BODY_DOUBT:
        gn_take_doubt(g, from, f);
        break;
    case GWP__FRAME__BODY_SUSPECTS:
        gn_take_suspects(g, from, f);
        break;
    case GWP__FRAME__BODY_TURN_ASK:
        gn_take_turn_ask(g, from, f);
        break;
    case GWP__FRAME__BODY_UPSTREAM_LIMITS:
        gn_take_upstream_limits(g, from, f);
        break;
    case GWP__FRAME__BODY_SLOT_ASK:
        gn_take_slot_ask(g, from, f);
        break;
    case GWP__FRAME__BODY_SLOT_OVER:
        gn_take_slot_over(g, f);
        break;
    case GWP__FRAME__BODY_SLOT_HELD:
        gn_take_slot_held(g, f);
        break;
    case GWP__FRAME__BODY_STREAM_NOTES:
        gn_take_notes(g, from, f);
        break;
    case GWP__FRAME__BODY_NOTE_ASK:
        gn_take_note_ask(g, from, f);
        break;
    case GWP__FRAME__BODY_PLACEMENT_WANTED:
        gn_resend_placement(g, from, f->placement_wanted->upstream);
        break;
    case GWP__FRAME__BODY_RESTING:
        gn_take_resting(g, f);
        break;
    case GWP__FRAME__BODY_UNREACHED:
        gn_report_suspicion(g, f->unreached->upstream);
        break;
    case GWP__FRAME__BODY_LEASE_ANSWER:
        gn_take_lease_answer(g, f->lease_answer);
        break;
    case GWP__FRAME__BODY_UPSTREAMS:
        take_upstreams_from_below(g, f);
        break;
    case GWP__FRAME__BODY_CONFIG:
        take_config(g, f->config);
        break;
    default:
        break; /* empty heartbeat, or of a newer gateway */
    }
}

void
gn_on_frame(void *ctx, LkPeer *from, const Gwp__Frame *frame)
{
    if (from) {
        take_from_below(ctx, from, frame);
    }
    else {
        take_from_above(ctx, frame);
    }
}
