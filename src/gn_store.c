#include "gn.h"

#include "../platform/pf_store.h"
#include "../platform/pf_wire.h"

#include <string.h>

/* A read of the configuration is held open for so long.  It ends with the
   first change; a silent connection costs this long to be noticed. */
#define CONFIG_WAIT_MS 1500
#define CONFIG_PAUSE_MS 5 /* and the next one begins */
/* An upstream's entry is seen this late at most; well under the time in
   which one that leaves may still get work. */
#define UPSTREAM_PAUSE_MS 500
#define PLACING_UPSTREAM_PAUSE_MS 250
/* Linked to the placing VM itself: it passes news on, and a read of our own
   finds those that it misses. */
#define LINKED_CONFIG_WAIT_MS 25000
/* Callers wait for a model and no link to the placing VM is open: entries are
   all that tells of loads that end. */
#define ALONE_PAUSE_MS 200
/* A process that has lost its link waits so long to hear from others before it
   asks the store; not all of them together. */
#define LONELY_MS 400
#define LONELY_JITTER_MS 300
/* The same of one that starts: its callers are turned away meanwhile. */
#define START_LONELY_MS 150
#define START_JITTER_MS 150
/* A process that by then was told nothing asks the store itself. */
#define OVERDUE_MS 2000
/* News that the placing VM told of must have come by then. */
#define BEHIND_MS 250
#define SLOW_CALL_MS 1000 /* a call as old as this may be silent */
/* Longest pause between calls that fail, of a gateway among many that hear
   each other, which together ask as often as one that hears nobody. */
#define MOST_BACKOFF_MS 6000
#define BACKOFF_OF_ONE_MS 30
/* A read is at most so old, or others read themselves. */
#define STORE_FRESH_MS 1200

/* ---- configuration ------------------------------------------------------ */

/* C is taken over; WRITTEN is as it stands in the store. */
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
    g->members_ms = 0; /* the placing VM hears of it at once */
    gw_on_config(g->gw, c);
    wl_on_config(g->limits, c);
    gn_follow_fleet(g, g->config_ms);
    mp_on_config(g->placement, c);
    gn_pass_config(g, NULL);
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
        bg_log(BG_WARN, "config", "offset %llu not taken: %s",
               (unsigned long long)r->offset, err->message);
    }
    return c;
}

/* Of several versions the highest is taken at once; what came in force never
   goes back. */
static void
on_config_records(void *ctx, const GPtrArray *records, StPart part,
                  GHashTable *listed)
{
    (void)part;
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
    jl_end(l);
}

void
gn_drop_upstream(Gateway *g, uint64_t now_ms, const char *id)
{
    ut_on_gone(g->upstreams, now_ms, id);
    mp_on_removed(g->placement, id);
}

bool
gn_take_upstream(Gateway *g, uint64_t now_ms, DepUpstream *u)
{
    return ut_on_entry(g->upstreams, now_ms, u);
}

bool
gn_knows_upstreams(const Gateway *g)
{
    return g->has_upstreams || st_is_listed(g->upstream_watch);
}

/* News of one reading, for the gateways that are linked to us, which seldom
   ask the store. */
typedef struct {
    GPtrArray *changed; /* DepUpstream */
    GPtrArray *gone;    /* char *, borrowed */
} News;

static void
free_upstream(void *u)
{
    dep_destroy_upstream(u);
}

/* Whoever reads the store logs it; others believe what is told. */
static void
log_gone(const char *id)
{
    JlLine *l = jl_begin("upstream-gone");
    jl_text(l, "upstream", id);
    jl_end(l);
}

static void
take_gone(Gateway *g, uint64_t now_ms, const StRecord *r, News *news)
{
    if (ut_knows(g->upstreams, r->key)) {
        log_gone(r->key);
        g_ptr_array_add(news->gone, r->key);
    }
    gn_drop_upstream(g, now_ms, r->key);
}

static void
take_entry(Gateway *g, uint64_t now_ms, const StRecord *r, News *news)
{
    gsize len;
    const void *data = g_bytes_get_data(r->value, &len);
    g_autoptr(GError) err = NULL;
    DepUpstream *u = pf_decode_upstream(r->key, data, len, &err);
    if (!u) {
        JlLine *l = jl_begin("entry-not-taken");
        jl_text(l, "upstream", r->key);
        jl_text(l, "why", err->message);
        jl_end(l);
        /* It names no upstream, so what it named before is no more. */
        take_gone(g, now_ms, r, news);
        return;
    }
    mp_on_entry(g->placement, now_ms, u);
    if (!gn_take_upstream(g, now_ms, u)) {
        return;
    }
    /* U is taken over; most entries are heartbeats and end before this. */
    DepUpstream *copy = pf_decode_upstream(r->key, data, len, NULL);
    if (copy->draining) {
        log_upstream("upstream-leaves", copy);
    }
    g_ptr_array_add(news->changed, copy);
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

/* Those that went while the store was not read. */
static void
drop_missing(Gateway *g, GHashTable *ids, GPtrArray *missing, News *news)
{
    Missing m = {ids, missing};
    ut_visit(g->upstreams, note_missing, &m);
    for (guint i = 0; i < missing->len; i++) {
        log_gone(missing->pdata[i]);
        g_ptr_array_add(news->gone, missing->pdata[i]);
    }
    ut_keep_only(g->upstreams, bg_boot_ms(), ids);
    mp_keep_only(g->placement, ids);
}

static void
on_upstream_records(void *ctx, const GPtrArray *records, StPart part,
                    GHashTable *listed)
{
    Gateway *g = ctx;
    uint64_t now_ms = bg_boot_ms();
    g_autoptr(GPtrArray) changed =
        g_ptr_array_new_with_free_func(free_upstream);
    g_autoptr(GPtrArray) gone = g_ptr_array_new();
    g_autoptr(GPtrArray) missing = g_ptr_array_new_with_free_func(g_free);
    News news = {changed, gone};
    for (guint i = 0; i < records->len; i++) {
        const StRecord *r = records->pdata[i];
        if (r->value) {
            take_entry(g, now_ms, r, &news);
        }
        else {
            take_gone(g, now_ms, r, &news);
        }
    }
    if (part == ST_LAST_PAGE) {
        drop_missing(g, listed, missing, &news);
        gn_pass_all_upstreams(g);
    }
    /* Others take no part of a first listing: they are told all of it. */
    if (gn_knows_upstreams(g)) {
        gn_pass_upstreams(g, changed, gone);
    }
}

static void
log_reach(const char *what, bool reached)
{
    JlLine *l = jl_begin(reached ? "store-reached" : "store-lost");
    jl_text(l, "topic", what);
    jl_end(l);
}

static void
on_config_reach(void *ctx, bool reached)
{
    (void)ctx;
    log_reach("config", reached);
}

static void
on_upstream_reach(void *ctx, bool reached)
{
    (void)ctx;
    log_reach("upstreams", reached);
}

/* ---- how often the store is asked --------------------------------------- */

/* How often the store is asked follows from who tells us its news: the placing
   VM, a relay, or nobody. */
bool
gn_reads_store(const Gateway *g, uint64_t now_ms)
{
    return st_get_age_ms(g->upstream_watch, now_ms) < STORE_FRESH_MS;
}

/* News of the store come over our link. */
static bool
is_told(const Gateway *g, uint64_t now_ms)
{
    if (gn_hears_placer(g, now_ms)) {
        return g->informed;
    }
    return g->uplink.relay && lk_is_open(g->links) && !g->relay_blind &&
           !gn_is_told_late(g, now_ms);
}

/* Whoever reaches the store first tells the others that hear the placing VM,
   so they needn't all press a store that is in trouble. */
static uint32_t
get_most_backoff_ms(const Gateway *g, bool heard)
{
    uint32_t most_ms = g->fleet * BACKOFF_OF_ONE_MS;
    return heard ? CLAMP(most_ms, ST_MOST_BACKOFF_MS, MOST_BACKOFF_MS)
                 : ST_MOST_BACKOFF_MS;
}

void
gn_follow_store(Gateway *g, uint64_t now_ms)
{
    bool heard = gn_hears_placer(g, now_ms);
    bool told = is_told(g, now_ms);
    bool direct = heard && !g->uplink.relay;
    bool lonely = !told && now_ms >= g->uplink.lost_ms + g->uplink.patience_ms;
    bool behind = g->behind_ms && now_ms > g->behind_ms + BEHIND_MS;
    /* Whoever should have told it does not know it either. */
    bool lacks = !g->config || !gn_knows_upstreams(g);
    bool overdue = lacks && now_ms >= g->start_ms + OVERDUE_MS;
    bool held_open = direct && told && !g->placing && !behind;
    st_set_wait(g->config_watch,
                held_open ? LINKED_CONFIG_WAIT_MS : CONFIG_WAIT_MS);
    st_set_idle(g->config_watch,
                !(g->placing || direct || lonely || behind || overdue));
    bool waits = !heard && gw_count_waiting(g->gw) > 0;
    st_set_pause(g->upstream_watch, g->placing ? PLACING_UPSTREAM_PAUSE_MS
                                    : waits    ? ALONE_PAUSE_MS
                                               : UPSTREAM_PAUSE_MS);
    bool reads =
        g->placing || lonely || overdue || (direct && !g->placer_reads);
    st_set_idle(g->upstream_watch, !reads);
    uint32_t backoff_ms = get_most_backoff_ms(g, heard && !g->placing);
    st_set_most_backoff(g->config_watch, backoff_ms);
    st_set_most_backoff(g->upstream_watch, backoff_ms);
}

/* A newer configuration was told of; our own read should have ended with it
   by now. */
void
gn_follow_version(Gateway *g, uint64_t now_ms, uint64_t version)
{
    if (g->config && version <= g->config->version) {
        g->behind_ms = 0;
    }
    else if (g->behind_ms == 0) {
        g->behind_ms = now_ms;
    }
    else if (now_ms > g->behind_ms + SLOW_CALL_MS) {
        g->behind_ms = now_ms;
        ht_drop_kept(g->pool, gn_get_text(g, "store"));
        st_restart(g->config_watch, now_ms, SLOW_CALL_MS);
    }
}

uint64_t
gn_get_config_age_ms(const Gateway *g, uint64_t now_ms)
{
    uint64_t told_ms = now_ms - MIN(g->confirmed_ms, now_ms);
    return MIN(told_ms, st_get_age_ms(g->config_watch, now_ms));
}

void
gn_watch_store(Gateway *g)
{
    g->store = pf_create_store(g->pool, gn_get_text(g, "store"));
    StWatchParams config = {ST_CONFIG, "config", CONFIG_WAIT_MS,
                            CONFIG_PAUSE_MS};
    StWatchHandler on_config = {g, on_config_records, on_config_reach};
    g->config_watch = st_create_watch(g->loop, g->store, &config, &on_config);
    StWatchParams ups = {ST_UPSTREAMS, "upstreams", 0, UPSTREAM_PAUSE_MS};
    StWatchHandler on_ups = {g, on_upstream_records, on_upstream_reach};
    g->upstream_watch = st_create_watch(g->loop, g->store, &ups, &on_ups);
    g->start_ms = bg_boot_ms();
    g->uplink.lost_ms = g->start_ms;
    g->uplink.patience_ms =
        START_LONELY_MS + bg_pick_random(&g->rng, START_JITTER_MS);
}

void
gn_await_news(Gateway *g, uint64_t now_ms)
{
    g->uplink.lost_ms = now_ms;
    g->uplink.patience_ms =
        LONELY_MS + bg_pick_random(&g->rng, LONELY_JITTER_MS);
}
