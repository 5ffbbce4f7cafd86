#include "gateway_node.h"

#include <string.h>

/* Of the helpers known here, a random choice is published to each gateway. */
#define MAX_HELPERS 32
/* Between two publications. */
#define PUBLISH_MS 500
/* A gateway that is cut off probes one upstream so often, which shows that it
   is not, or no longer. */
#define PROBE_MS 250
/* One that is cut off leaves the lease to others for this long. */
#define HOLD_OFF_MS 500

/* ---- detours for this gateway's calls ----------------------------------- */

static void
fill_ask(void *ctx, Gwp__DetourAsk *ask)
{
    const Gateway *g = ctx;
    ask->vm = (char *)gn_get_text(g, "name");
    ask->key = g->detours.key;
}

static void
on_detour(void *ctx, const HtDetour *d)
{
    (void)ctx;
    static const char *const answers[] = {"open", "no path", "cut off",
                                          "full", "lost",    "refused"};
    bool opened = d->answer == PT_OPENED;
    JlLine *l = jl_begin(opened ? "detour-opened" : "detour-failed");
    jl_text(l, "id", d->request);
    jl_text(l, "to", d->address);
    jl_text(l, "by", d->helper);
    jl_text(l, "why", opened ? NULL : answers[d->answer]);
    jl_number(l, "after_ms", d->after_ms);
    jl_number(l, "had_failed", d->had_failed);
    jl_end(l);
    bg_count(opened ? "gateway_detours_opened_total"
                    : "gateway_detours_failed_total",
             1);
}

/* ---- detours for other gateways ----------------------------------------- */

static Gwp__DetourResult
check_ask(void *ctx, const Gwp__DetourAsk *ask)
{
    Gateway *g = ctx;
    const Detours *d = &g->detours;
    bool known = ask->key && (ask->key == d->key || ask->key == d->former_key);
    if (!known || !ut_has_address(g->upstreams, ask->address)) {
        return GWP__DETOUR_RESULT__DETOUR_REFUSED;
    }
    if (g->stop_ms) {
        return GWP__DETOUR_RESULT__DETOUR_FULL;
    }
    if (!pt_may_connect(d->paths, bg_boot_ms(), ask->address)) {
        return pt_is_cut_off(d->paths) ? GWP__DETOUR_RESULT__DETOUR_CUT
                                       : GWP__DETOUR_RESULT__DETOUR_NO_PATH;
    }
    return GWP__DETOUR_RESULT__DETOUR_OPEN;
}

static void
on_connect(void *ctx, const char *address, bool opened)
{
    const Gateway *g = ctx;
    pt_on_direct(g->detours.paths, bg_boot_ms(), address, opened);
}

/* ---- which gateways take detours ---------------------------------------- */

/* Helpers known here, this gateway included (OWN). */
static GPtrArray *
list_helpers(Gateway *g, Gwp__Helper *own)
{
    GPtrArray *list = g_ptr_array_new();
    const Gwp__Helpers *above = g->detours.above;
    gwp__helper__init(own);
    own->vm = (char *)gn_get_text(g, "name");
    own->data_centre = (char *)gn_get_text(g, "data_centre");
    own->address = (char *)gn_get_text(g, "detour");
    own->control = (char *)gn_get_text(g, "control");
    if (*own->address) {
        g_ptr_array_add(list, own);
    }
    gn_add_helpers(g, true, list);
    /* A leader knows all by its links, once these are there. */
    for (size_t i = 0; above && i < above->n_helpers &&
                       !(g->is_leader && lk_count_peers(g->links) > 0);
         i++) {
        g_ptr_array_add(list, above->helpers[i]);
    }
    return list;
}

/* Moves a random choice of N helpers to the front. */
static void
shuffle(Gateway *g, GPtrArray *list, guint n)
{
    for (guint i = 0; i < n; i++) {
        guint j = i + bg_pick_random(&g->rng, list->len - i);
        gpointer x = list->pdata[i];
        list->pdata[i] = list->pdata[j];
        list->pdata[j] = x;
    }
}

static void
send_helpers(Gateway *g, LkPeer *to, GPtrArray *list)
{
    Gwp__Helpers m = GWP__HELPERS__INIT;
    m.n_helpers = MIN(list->len, MAX_HELPERS);
    shuffle(g, list, (guint)m.n_helpers);
    m.helpers = (Gwp__Helper **)list->pdata;
    m.key = g->detours.key;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_HELPERS;
    f.helpers = &m;
    lk_send_down(g->links, to, &f);
}

static void
make_key(Gateway *g)
{
    while (g->is_leader && g->detours.key == 0) {
        char id[BG_ID_LEN + 1];
        bg_make_id(id);
        g->detours.key = g_ascii_strtoull(id + BG_ID_LEN / 2, NULL, 16);
    }
}

void
gn_send_helpers(Gateway *g, LkPeer *to)
{
    Gwp__Helper own;
    g_autoptr(GPtrArray) list = list_helpers(g, &own);
    make_key(g);
    send_helpers(g, to, list);
}

static void
use_helpers(Gateway *g, const GPtrArray *list)
{
    g_autoptr(GArray) helpers = g_array_new(FALSE, FALSE, sizeof(PtHelper));
    g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < list->len; i++) {
        const Gwp__Helper *h = list->pdata[i];
        PtHelper helper = {h->vm, h->data_centre, h->address};
        if (g_hash_table_add(seen, h->address)) {
            g_array_append_val(helpers, helper);
        }
    }
    pt_set_helpers(g->detours.paths, bg_boot_ms(), (PtHelper *)helpers->data,
                   helpers->len);
}

typedef struct {
    Gateway *g;
    GPtrArray *list;
} Publication;

static void
publish_to(void *ctx, LkPeer *peer)
{
    const Publication *p = ctx;
    send_helpers(p->g, peer, p->list);
}

static void
publish_helpers(Gateway *g, uint64_t now_ms)
{
    if (!g->detours.changed || now_ms < g->detours.published_ms + PUBLISH_MS) {
        return;
    }
    g->detours.changed = false;
    g->detours.published_ms = now_ms;
    Gwp__Helper own;
    g_autoptr(GPtrArray) list = list_helpers(g, &own);
    use_helpers(g, list);
    make_key(g);
    Publication p = {g, list};
    lk_visit_peers(g->links, publish_to, &p);
}

void
gn_on_helpers_changed(Gateway *g)
{
    g->detours.changed = true;
}

void
gn_take_helpers(Gateway *g, const Gwp__Helpers *m)
{
    Detours *d = &g->detours;
    size_t len = gwp__helpers__get_packed_size(m);
    g_autofree uint8_t *bytes = g_malloc(len + 1);
    gwp__helpers__pack(m, bytes);
    if (d->above) {
        gwp__helpers__free_unpacked(d->above, NULL);
    }
    d->above = gwp__helpers__unpack(NULL, len, bytes);
    for (size_t i = 0; i < m->n_helpers; i++) {
        gn_note_control(g, m->helpers[i]->control);
    }
    if (m->key && m->key != d->key) {
        d->former_key = d->key;
        d->key = m->key;
    }
    d->changed = true;
}

/* ---- time --------------------------------------------------------------- */

bool
gn_is_cut_off(const Gateway *g, uint64_t now_ms)
{
    return pt_is_cut_off_alone(g->detours.paths, now_ms);
}

static void
log_paths(Gateway *g)
{
    Detours *d = &g->detours;
    uint32_t failed = pt_count_failed(d->paths);
    bool cut_off = pt_is_cut_off(d->paths);
    bg_gauge("gateway_paths_failed", failed);
    bg_gauge("gateway_cut_off", cut_off);
    bg_gauge("gateway_detours_open", d->server ? ds_count(d->server) : 0);
    if (failed == d->logged_failed && cut_off == d->logged_cut_off) {
        return;
    }
    d->logged_failed = failed;
    d->logged_cut_off = cut_off;
    JlLine *l = jl_begin("paths-changed");
    jl_number(l, "failed", failed);
    jl_number(l, "upstreams", ut_count(g->upstreams));
    jl_number(l, "cut_off", cut_off);
    jl_end(l);
}

static void
probe_any(Gateway *g, uint64_t now_ms)
{
    const Ut *u = ut_pick_any(g->upstreams);
    if (u && now_ms >= g->detours.probe_ms + PROBE_MS) {
        g->detours.probe_ms = now_ms;
        ht_probe(g->pool, ut_get_address(u));
    }
}

void
gn_tick_detours(Gateway *g, uint64_t now_ms)
{
    publish_helpers(g, now_ms);
    pt_on_tick(g->detours.paths, now_ms);
    if (pt_is_cut_off(g->detours.paths)) {
        probe_any(g, now_ms);
    }
    if (!g->is_leader && gn_is_cut_off(g, now_ms)) {
        ls_hold_off(g->lease, now_ms + HOLD_OFF_MS);
    }
    log_paths(g);
}

/* ---- start and stop ----------------------------------------------------- */

bool
gn_create_detours(Gateway *g, GError **err)
{
    Detours *d = &g->detours;
    PtParams paths = {gn_get_text(g, "data_centre"), gn_get_text(g, "detour"),
                      bg_now_us() ^ g_str_hash(g->process)};
    d->paths = pt_create(&paths);
    HtDetours calls = {d->paths, g, fill_ask, on_detour};
    ht_set_detours(g->pool, &calls);
    DsParams server = {gn_get_text(g, "detour"), gn_get_max_detours(g)};
    DsHandler handler = {g, check_ask, on_connect};
    if (!*server.address) {
        return true;
    }
    d->server = ds_create(g->loop, &server, &handler, err);
    return d->server != NULL;
}

void
gn_destroy_detours(Gateway *g)
{
    Detours *d = &g->detours;
    if (d->server) {
        ds_destroy(d->server);
    }
    if (d->above) {
        gwp__helpers__free_unpacked(d->above, NULL);
    }
    pt_destroy(d->paths);
}
