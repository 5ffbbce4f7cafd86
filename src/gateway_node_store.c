#include "gateway_node.h"

#include "../platform/pf_store.h"
#include "../platform/pf_wire.h"

#include <string.h>

/* Entries that can't be used are named in the log up to this number. */
#define MAX_ODD_ENTRIES 1000

/* ---- configuration ------------------------------------------------------ */

void
gn_use_config(Gateway *g, DepConfig *c, GBytes *written)
{
    if (g->config_bytes) {
        g_bytes_unref(g->config_bytes);
    }
    g->config_bytes = g_bytes_ref(written);
    dep_unref_config(g->config);
    g->config = c;
    g->config_ms = bg_boot_ms();
    g->members_ms = 0; /* reports the version to the leader at once */
    gw_on_config(g->gw, c);
    wl_on_config(g->limits, c);
    vp_set_life(g->versions, dep_get_stream_life_ms(c));
    gn_update_fleet(g, g->config_ms);
    mp_on_config(g->placement, c);
    gn_send_config(g, NULL);
    gn_set_client_limits(g);
    JlLine *l = jl_begin("config-taken");
    jl_number(l, "version", (int64_t)c->version);
    jl_number(l, "routes", c->routes->len);
    jl_end(l);
    gw_admit_early(g->gw);
}

static DepConfig *
decode_record(const StRecord *r)
{
    gsize len;
    const void *data = g_bytes_get_data(r->value, &len);
    g_autoptr(GError) err = NULL;
    DepConfig *c = pf_decode_config(data, len, &err);
    if (!c) {
        bg_log(BG_WARN, "config", "ignored the record at offset %llu: %s",
               (unsigned long long)r->offset, err->message);
    }
    return c;
}

/* Takes the highest of several versions.  The version in force never goes
   back. */
static void
on_config_records(void *ctx, const GPtrArray *records, StBatchKind kind,
                  GHashTable *listed)
{
    (void)kind;
    (void)listed;
    Gateway *g = ctx;
    DepConfig *best = NULL;
    GBytes *written = NULL;
    for (guint i = 0; i < records->len; i++) {
        const StRecord *r = records->pdata[i];
        DepConfig *c = strcmp(r->key, "config") == 0 && r->value
                           ? decode_record(r)
                           : NULL;
        bool newer = c && c->version > (best        ? best->version
                                        : g->config ? g->config->version
                                                    : 0);
        if (newer) {
            dep_unref_config(best);
            best = c;
            written = r->value;
        }
        else {
            dep_unref_config(c);
        }
    }
    if (best) {
        gn_use_config(g, best, written);
    }
}

/* ---- upstreams ---------------------------------------------------------- */

static void
log_upstream(const char *event, const DepUpstream *u)
{
    JlLine *l = jl_begin(event);
    jl_text(l, "upstream", u->id);
    jl_text(l, "service", u->service);
    jl_text(l, "address", u->address);
    jl_text(l, "version", u->version);
    jl_end(l);
}

void
gn_drop_upstream(Gateway *g, uint64_t now_ms, const char *id)
{
    const char *address = ut_find_address(g->upstreams, id);
    if (address) {
        pt_forget(g->detours.paths, address);
    }
    ut_on_gone(g->upstreams, now_ms, id);
    gn_on_upstream_end(g, id);
    mp_on_removed(g->placement, id);
}

bool
gn_take_upstream(Gateway *g, uint64_t now_ms, DepUpstream *u)
{
    const char *address = u->address;
    uint64_t former_ms = ut_get_born_ms(g->upstreams, u->id);
    if (former_ms && u->born_ms && u->born_ms != former_ms) {
        gn_on_upstream_end(g, u->id); /* another process has its id */
    }
    bool changed = ut_on_entry(g->upstreams, now_ms, u);
    if (changed) {
        pt_forget(g->detours.paths, address);
    }
    return changed;
}

bool
gn_knows_upstreams(const Gateway *g)
{
    return g->has_upstreams || st_is_listed(g->upstream_watch);
}

/* Changes found by one read, to be published to linked gateways, which seldom
   read the store. */
typedef struct {
    GPtrArray *changed; /* DepUpstream */
    GPtrArray *gone;    /* char *, borrowed */
} Changes;

static void
free_upstream(void *u)
{
    dep_destroy_upstream(u);
}

/* Only a gateway that read the removal in the store logs it. */
static void
log_gone(const char *id)
{
    JlLine *l = jl_begin("upstream-gone");
    jl_text(l, "upstream", id);
    jl_end(l);
}

static void
take_gone(Gateway *g, uint64_t now_ms, const StRecord *r, Changes *changes)
{
    if (ut_knows(g->upstreams, r->key)) {
        log_gone(r->key);
        g_ptr_array_add(changes->gone, r->key);
    }
    gn_drop_upstream(g, now_ms, r->key);
}

/* Entries are written anew every second or so: what is odd about one is
   logged once for as long as that stays the same. */
static void
note_odd_entry(Gateway *g, const char *id, const char *why)
{
    bg_count("gateway_entries_not_taken_total", 1);
    bool noted = g_strcmp0(g_hash_table_lookup(g->odd_entries, id), why) == 0;
    bool full = g_hash_table_size(g->odd_entries) >= MAX_ODD_ENTRIES &&
                !g_hash_table_contains(g->odd_entries, id);
    if (noted || full) {
        return;
    }
    g_hash_table_replace(g->odd_entries, g_strdup(id), g_strdup(why));
    JlLine *l = jl_begin("entry-not-taken");
    jl_text(l, "upstream", id);
    jl_text(l, "why", why);
    jl_end(l);
    bool filled = g_hash_table_size(g->odd_entries) == MAX_ODD_ENTRIES;
    if (filled) {
        bg_log(BG_WARN, "upstreams",
               "%d entries can't be used, further ones are not named",
               MAX_ODD_ENTRIES);
    }
}

static void
take_entry(Gateway *g, uint64_t now_ms, const StRecord *r, Changes *changes)
{
    gsize len;
    const void *data = g_bytes_get_data(r->value, &len);
    g_autoptr(GError) err = NULL;
    DepUpstream *u = pf_decode_upstream(r->key, data, len, &err);
    if (!u) {
        note_odd_entry(g, r->key, err->message);
        /* The invalid entry replaced the former one: its upstream is gone. */
        take_gone(g, now_ms, r, changes);
        return;
    }
    g_hash_table_remove(g->odd_entries, r->key);
    UnProcess process = {u->id, u->born_ms};
    u->draining = u->draining || un_is_leaving(g->notices, &process);
    mp_on_entry(g->placement, now_ms, u);
    if (!gn_take_upstream(g, now_ms, u)) {
        return;
    }
    /* U was taken over.  Most entries are heartbeats and return above. */
    DepUpstream *copy = pf_decode_upstream(r->key, data, len, NULL);
    log_upstream(copy->draining ? "upstream-leaves" : "upstream-taken", copy);
    g_ptr_array_add(changes->changed, copy);
}

typedef struct {
    GHashTable *ids;
    GPtrArray *missing; /* char * */
} Missing;

static void
note_missing(void *ctx, const DepUpstream *u, const GPtrArray *models)
{
    (void)models;
    Missing *m = ctx;
    if (!g_hash_table_contains(m->ids, u->id)) {
        g_ptr_array_add(m->missing, g_strdup(u->id));
    }
}

/* Drops upstreams that were removed while the store was not read. */
static void
drop_missing(Gateway *g, GHashTable *ids, GPtrArray *missing, Changes *changes)
{
    Missing m = {ids, missing};
    ut_visit(g->upstreams, note_missing, &m);
    for (guint i = 0; i < missing->len; i++) {
        log_gone(missing->pdata[i]);
        g_ptr_array_add(changes->gone, missing->pdata[i]);
    }
    ut_keep_only(g->upstreams, bg_boot_ms(), ids);
    mp_keep_only(g->placement, ids);
}

static void
on_upstream_records(void *ctx, const GPtrArray *records, StBatchKind kind,
                    GHashTable *listed)
{
    Gateway *g = ctx;
    uint64_t now_ms = bg_boot_ms();
    g_autoptr(GPtrArray) changed =
        g_ptr_array_new_with_free_func(free_upstream);
    g_autoptr(GPtrArray) gone = g_ptr_array_new();
    g_autoptr(GPtrArray) missing = g_ptr_array_new_with_free_func(g_free);
    Changes changes = {changed, gone};
    for (guint i = 0; i < records->len; i++) {
        const StRecord *r = records->pdata[i];
        if (r->value) {
            take_entry(g, now_ms, r, &changes);
        }
        else {
            g_hash_table_remove(g->odd_entries, r->key);
            take_gone(g, now_ms, r, &changes);
        }
    }
    if (kind == ST_LAST_PAGE) {
        drop_missing(g, listed, missing, &changes);
        gn_publish_all_upstreams(g);
    }
    /* Pages of a first listing are not published, only the whole of it. */
    if (gn_knows_upstreams(g)) {
        gn_publish_upstreams(g, changed, gone);
    }
}

static void
log_reachable(const char *what, bool reachable)
{
    JlLine *l = jl_begin(reachable ? "store-reached" : "store-lost");
    jl_text(l, "topic", what);
    jl_end(l);
}

static void
on_config_reachable(void *ctx, bool reachable)
{
    (void)ctx;
    log_reachable("config", reachable);
}

static void
on_upstream_reachable(void *ctx, bool reachable)
{
    (void)ctx;
    log_reachable("upstreams", reachable);
}

/* ---- how often the store is read ----------------------------------------

   It depends on who publishes the store's changes to us: the leader, a relay,
   or nobody. */

bool
gn_reads_store(const Gateway *g, uint64_t now_ms)
{
    return st_get_age_ms(g->upstream_watch, now_ms) < SR_UPSTREAMS_FRESH_MS;
}

bool
gn_reads_config(const Gateway *g, uint64_t now_ms)
{
    return st_get_age_ms(g->config_watch, now_ms) < SR_CONFIG_FRESH_MS;
}

static SrView
view_reads(const Gateway *g, uint64_t now_ms)
{
    return (SrView){
        .is_leader = g->is_leader,
        .hears_leader = gn_hears_leader(g, now_ms),
        .has_relay = g->uplink.relay != NULL,
        .relay_serves = lk_is_open(g->links) && !g->relay_disconnected &&
                        !gn_is_lagging(g, now_ms),
        .informed = g->informed,
        .leader_reads_config = g->leader_reads_config,
        .leader_reads_upstreams = g->leader_reads_store,
        .lacks_state = !g->config || !gn_knows_upstreams(g),
        .lacks_versions = ut_lacks_versions(g->upstreams),
        .has_waiting = gw_count_waiting(g->gw) > 0,
        .fleet = g->fleet,
    };
}

void
gn_schedule_store_reads(Gateway *g, uint64_t now_ms)
{
    SrView view = view_reads(g, now_ms);
    SrPlan plan = sr_plan(g->reads, now_ms, &view);
    st_set_wait(g->config_watch, now_ms, plan.config_wait_ms);
    st_set_idle(g->config_watch, !plan.reads_config);
    st_set_pause(g->upstream_watch, plan.upstreams_pause_ms);
    st_set_idle(g->upstream_watch, !plan.reads_upstreams);
    st_set_max_backoff(g->config_watch, plan.max_backoff_ms);
    st_set_max_backoff(g->upstream_watch, plan.max_backoff_ms);
}

/* The reads under way may be lost, and nobody else publishes what they bring.
 */
void
gn_restart_store_reads(Gateway *g, uint64_t now_ms)
{
    ht_drop_idle(g->pool, gn_get_text(g, "store"));
    st_set_wait(g->config_watch, now_ms, SR_CONFIG_WAIT_MS);
    st_restart(g->config_watch, now_ms, 0);
    st_restart(g->upstream_watch, now_ms, 0);
}

/* If we lack VERSION, the pending read of the configuration should return it.
   One that may be on a connection that went silent is dropped with that. */
void
gn_on_config_version(Gateway *g, uint64_t now_ms, uint64_t version)
{
    bool lacks = !g->config || version > g->config->version;
    if (sr_on_config_version(g->reads, now_ms, lacks)) {
        ht_drop_idle(g->pool, gn_get_text(g, "store"));
        st_restart(g->config_watch, now_ms, SR_SLOW_CALL_MS);
    }
}

uint64_t
gn_get_config_age_ms(const Gateway *g, uint64_t now_ms)
{
    uint64_t age_ms = now_ms - MIN(g->confirmed_ms, now_ms);
    return MIN(age_ms, st_get_age_ms(g->config_watch, now_ms));
}

static uint64_t
draw_seed(Gateway *g)
{
    return bg_pick_random(&g->rng, UINT32_MAX);
}

void
gn_watch_store(Gateway *g)
{
    g->store = pf_create_store(g->pool, gn_get_text(g, "store"));
    g->odd_entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g->store_clock = st_create_loop_clock(g->loop);
    StWatchParams config = {ST_CONFIG, "config", SR_CONFIG_WAIT_MS,
                            SR_CONFIG_PAUSE_MS, draw_seed(g)};
    StWatchHandler on_config = {g, on_config_records, on_config_reachable};
    g->config_watch =
        st_create_watch(g->store_clock, g->store, &config, &on_config);
    StWatchParams ups = {ST_UPSTREAMS, "upstreams", 0, SR_UPSTREAM_PAUSE_MS,
                         draw_seed(g)};
    StWatchHandler on_ups = {g, on_upstream_records, on_upstream_reachable};
    g->upstream_watch =
        st_create_watch(g->store_clock, g->store, &ups, &on_ups);
    g->start_ms = bg_boot_ms();
    g->reads = sr_create(g->start_ms, draw_seed(g));
}

void
gn_unwatch_store(Gateway *g)
{
    st_destroy_watch(g->config_watch);
    st_destroy_watch(g->upstream_watch);
    if (g->mail_watch) {
        st_destroy_watch(g->mail_watch);
    }
    pf_destroy_store(g->store);
    st_destroy_clock(g->store_clock);
    sr_destroy(g->reads);
    g_hash_table_destroy(g->odd_entries);
}

void
gn_delay_store_reads(Gateway *g, uint64_t now_ms)
{
    sr_on_link_lost(g->reads, now_ms);
}
