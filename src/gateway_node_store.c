#include "gateway_node.h"

#include "../platform/pf_store.h"
#include "../platform/pf_wire.h"

#include <string.h>

/* A read of the configuration is held open for this long or until the first
   change.  A connection that went silent is noticed after this time. */
#define CONFIG_WAIT_MS 1500
#define CONFIG_PAUSE_MS 5 /* between such reads */
/* Between reads of upstream entries; well under the time in which a draining
   upstream may still get requests. */
#define UPSTREAM_PAUSE_MS 500
#define LEADER_UPSTREAM_PAUSE_MS 250
/* With a link to the leader itself, which publishes changes; our own read
   finds those that the leader misses. */
#define LINKED_CONFIG_WAIT_MS 25000
/* When requests wait for a model and the leader is not heard, entries are the
   only source that shows the end of a load. */
#define WAITING_UPSTREAM_PAUSE_MS 200
/* A process that lost its link waits this long for updates over a new one
   before it reads the store; the jitter spreads the reads of many. */
#define STORE_DELAY_MS 400
#define STORE_DELAY_JITTER_MS 300
/* The same at the start; shorter, as requests are refused meanwhile. */
#define START_STORE_DELAY_MS 150
#define START_STORE_DELAY_JITTER_MS 150
/* A process that got no configuration or upstreams over a link by then reads
   the store. */
#define START_TIMEOUT_MS 2000
/* A newer configuration that the leader reported must arrive within this time,
   or we read the store. */
#define BEHIND_MS 250
/* A read that is older than this may be on a connection that went silent. */
#define SLOW_CALL_MS 1000
/* Longest pause after failed calls of a gateway that hears the leader.  It
   grows with the number of gateways, so that all of them together call the
   store about as often as one that hears nobody. */
#define MAX_BACKOFF_MS 6000
#define BACKOFF_PER_GATEWAY_MS 30
/* Reads of the configuration are answered if one was within this time. */
#define CONFIG_FRESH_MS (CONFIG_WAIT_MS + 500)
/* Entries read from the store count as current for this long. */
#define STORE_FRESH_MS 1200
/* Entries that can't be used are named in the log up to this number. */
#define MAX_ODD_ENTRIES 1000
/* A relay has read the store, and published what it found, by then. */
#define RELAY_READ_MS 1000

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
    HtLimits limits = {c->max_header_bytes, c->max_body_bytes,
                       c->header_timeout_ms, c->idle_timeout_ms};
    ht_set_limits(g->front, &limits);
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
    return st_get_age_ms(g->upstream_watch, now_ms) < STORE_FRESH_MS;
}

bool
gn_reads_config(const Gateway *g, uint64_t now_ms)
{
    return st_get_age_ms(g->config_watch, now_ms) < CONFIG_FRESH_MS;
}

/* Changes in the store reach us over our link. */
static bool
gets_updates(const Gateway *g, uint64_t now_ms)
{
    if (gn_hears_leader(g, now_ms)) {
        return g->informed;
    }
    return g->uplink.relay && lk_is_open(g->links) && !g->relay_disconnected &&
           !gn_is_lagging(g, now_ms);
}

/* The first gateway that reaches the store publishes to all that hear the
   leader, so they need not all retry often against a failing store. */
static uint32_t
get_max_backoff_ms(const Gateway *g, bool hears_leader)
{
    uint32_t max_ms = g->fleet * BACKOFF_PER_GATEWAY_MS;
    return hears_leader ? CLAMP(max_ms, ST_MAX_BACKOFF_MS, MAX_BACKOFF_MS)
                        : ST_MAX_BACKOFF_MS;
}

/* Gateways of a release that knows no versions publish upstreams without.
   A relay reads them, and publishes them to its members. */
static bool
lacks_versions(Gateway *g, uint64_t now_ms, bool direct)
{
    if (!ut_lacks_versions(g->upstreams)) {
        g->unversioned_ms = 0;
        return false;
    }
    if (g->unversioned_ms == 0) {
        g->unversioned_ms = now_ms;
    }
    return direct || now_ms >= g->unversioned_ms + RELAY_READ_MS;
}

void
gn_schedule_store_reads(Gateway *g, uint64_t now_ms)
{
    bool hears_leader = gn_hears_leader(g, now_ms);
    bool updated = gets_updates(g, now_ms);
    bool direct = hears_leader && !g->uplink.relay;
    bool isolated =
        !updated && now_ms >= g->uplink.lost_ms + g->uplink.store_delay_ms;
    bool behind = g->behind_ms && now_ms > g->behind_ms + BEHIND_MS;
    /* Still missing after START_TIMEOUT_MS: the gateway that we link to has
       them neither. */
    bool lacks = !g->config || !gn_knows_upstreams(g);
    bool overdue = lacks && now_ms >= g->start_ms + START_TIMEOUT_MS;
    bool held_open = direct && updated && g->leader_reads_config &&
                     !g->is_leader && !behind;
    st_set_wait(g->config_watch, now_ms,
                held_open ? LINKED_CONFIG_WAIT_MS : CONFIG_WAIT_MS);
    st_set_idle(g->config_watch,
                !(g->is_leader || direct || isolated || behind || overdue));
    bool waits = !hears_leader && gw_count_waiting(g->gw) > 0;
    st_set_pause(g->upstream_watch, g->is_leader ? LEADER_UPSTREAM_PAUSE_MS
                                    : waits      ? WAITING_UPSTREAM_PAUSE_MS
                                                 : UPSTREAM_PAUSE_MS);
    bool unversioned = lacks_versions(g, now_ms, direct);
    bool reads = g->is_leader || isolated || overdue || unversioned ||
                 (direct && !g->leader_reads_store);
    st_set_idle(g->upstream_watch, !reads);
    uint32_t backoff_ms = get_max_backoff_ms(g, hears_leader && !g->is_leader);
    st_set_max_backoff(g->config_watch, backoff_ms);
    st_set_max_backoff(g->upstream_watch, backoff_ms);
}

/* The reads under way may be lost, and nobody else publishes what they bring.
 */
void
gn_restart_store_reads(Gateway *g, uint64_t now_ms)
{
    ht_drop_idle(g->pool, gn_get_text(g, "store"));
    st_set_wait(g->config_watch, now_ms, CONFIG_WAIT_MS);
    st_restart(g->config_watch, now_ms, 0);
    st_restart(g->upstream_watch, now_ms, 0);
}

/* If we lack VERSION, the pending read of the configuration should return it.
   A read that is still pending after SLOW_CALL_MS is dropped with its
   connection. */
void
gn_on_config_version(Gateway *g, uint64_t now_ms, uint64_t version)
{
    if (g->config && version <= g->config->version) {
        g->behind_ms = 0;
    }
    else if (g->behind_ms == 0) {
        g->behind_ms = now_ms;
    }
    else if (now_ms > g->behind_ms + SLOW_CALL_MS) {
        g->behind_ms = now_ms;
        ht_drop_idle(g->pool, gn_get_text(g, "store"));
        st_restart(g->config_watch, now_ms, SLOW_CALL_MS);
    }
}

uint64_t
gn_get_config_age_ms(const Gateway *g, uint64_t now_ms)
{
    uint64_t age_ms = now_ms - MIN(g->confirmed_ms, now_ms);
    return MIN(age_ms, st_get_age_ms(g->config_watch, now_ms));
}

void
gn_watch_store(Gateway *g)
{
    g->odd_entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g->store = pf_create_store(g->pool, gn_get_text(g, "store"));
    StWatchParams config = {ST_CONFIG, "config", CONFIG_WAIT_MS,
                            CONFIG_PAUSE_MS};
    StWatchHandler on_config = {g, on_config_records, on_config_reachable};
    g->config_watch = st_create_watch(g->loop, g->store, &config, &on_config);
    StWatchParams ups = {ST_UPSTREAMS, "upstreams", 0, UPSTREAM_PAUSE_MS};
    StWatchHandler on_ups = {g, on_upstream_records, on_upstream_reachable};
    g->upstream_watch = st_create_watch(g->loop, g->store, &ups, &on_ups);
    g->start_ms = bg_boot_ms();
    g->uplink.lost_ms = g->start_ms;
    g->uplink.store_delay_ms =
        START_STORE_DELAY_MS +
        bg_pick_random(&g->rng, START_STORE_DELAY_JITTER_MS);
}

void
gn_delay_store_reads(Gateway *g, uint64_t now_ms)
{
    g->uplink.lost_ms = now_ms;
    g->uplink.store_delay_ms =
        STORE_DELAY_MS + bg_pick_random(&g->rng, STORE_DELAY_JITTER_MS);
}
