/* bglade-gateway: answers callers on a platform whose store holds what must
   last.  One loop thread does all I/O and runs the decision cores: routing
   (ut, rb, gw), the lease (ls) and placement (mp); a second writes logs. */
#include "../platform/pf_store.h"
#include "../platform/pf_wire.h"
#include "gw.h"
#include "ini.h"
#include "jl.h"
#include "lk.h"
#include "ls.h"
#include "mp.h"
#include "rb.h"
#include "ut.h"

#include <argp.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_MS 20
#define SLOW_TICK_MS 100
#define DEMAND_MS 200
/* A call that starts to wait is told to the placing VM this soon, with what
   else comes meanwhile. */
#define WANTED_MS 2
#define PLACE_MS 2
/* A read of the configuration is held open for so long.  It ends with the
   first change; a silent connection costs this long to be noticed. */
#define CONFIG_WAIT_MS 1500
#define CONFIG_PAUSE_MS 5
/* An upstream's entry is seen this late at most; well under the time in
   which one that leaves may still get work. */
#define UPSTREAM_PAUSE_MS 500
/* While linked to the placing VM, which passes news on, the store is asked
   this seldom: calls are dear, and 400 VMs would not fit its limits. */
#define LINKED_CONFIG_WAIT_MS 10000
#define LINKED_UPSTREAM_PAUSE_MS 5000
#define PLACING_UPSTREAM_PAUSE_MS 250
/* News that the placing VM told of must have come from the store by then. */
#define BEHIND_MS 250
/* The placing VM's own read is at most so old, or others read themselves. */
#define STORE_FRESH_MS 700
/* An unrenewed lease ends after this.  Shorter: a successor comes sooner;
   longer: placement goes on through a short outage of the store. */
#define LEASE_MS 1500
#define RENEW_MS 350
#define REST_MARGIN_MS 150
/* A VM with this share of a core claims the lease at once, smaller ones up to
   so much later. */
#define LARGE_CPU_SHARE 0.5
#define SMALL_CLAIM_MS 400
#define QUIET_MS 700   /* of the link to the holder: then ask the store */
#define CONNECT_MS 250 /* data centres are 1 to 3 ms apart */
#define DEATH_LIMIT 3
/* The balancer asks once a second and takes a VM out after two misses; until
   then new connections come. */
#define LEAVE_MS 2600
/* What is still open is answered this long before the process is killed,
   and the answers have a moment to leave. */
#define CLOSE_MARGIN_MS 1000
#define GRACE_MARGIN_MS 700
#define LOG_STOP_MS 100
#define STORE_AT_ONCE                                                         \
    4 /* loads that the weight store serves at full speed                     \
       */
/* Gateways are counted by the placing VM; until it has told, so many are
   assumed to share the budget of repeats. */
#define ASSUMED_GATEWAYS 16
/* Without a link to the placing VM: */
/* Upstreams with fewer requests are left out of what all are told. */
#define MIN_TOLD_LOAD 3
#define MAIL_MS 300        /* between frames left in the store for it */
#define ALONE_PAUSE_MS 200 /* between reads of upstreams' entries */
/* The placing VM reads that mail, more often while gateways are missing. */
#define MAIL_PAUSE_MS 1000
#define MAIL_BUSY_PAUSE_MS 250
#define MEMBER_MS 30000 /* a gateway not linked for so long is gone */
/* A placing VM that can't reach half of what it should order leaves that to
   another for a while. */
#define YIELD_AFTER_MS 1500
#define YIELD_MS 8000

static const IniRule rules[] = {
    {"gateway", "name", INI_TEXT, true, NULL, 0, 0, NULL, "this VM"},
    {"gateway", "data_centre", INI_TEXT, true, NULL, 0, 0, NULL,
     "where it stands"},
    {"gateway", "front", INI_ADDRESS, true, NULL, 0, 0, NULL,
     "where callers connect"},
    {"gateway", "ready", INI_ADDRESS, true, NULL, 0, 0, NULL,
     "where the balancer asks for readiness"},
    {"gateway", "control", INI_ADDRESS, false, NULL, 0, 0, NULL,
     "metrics, state dump and what a starting gateway asks of others"},
    {"gateway", "link", INI_ADDRESS, true, NULL, 0, 0, NULL,
     "where other gateways link to this one"},
    {"gateway", "advertise", INI_ADDRESS, false, NULL, 0, 0, NULL,
     "where others reach the link address, if not there"},
    {"gateway", "store", INI_ADDRESS, true, NULL, 0, 0, NULL,
     "the platform's store"},
    {"gateway", "seeds", INI_TEXT, false, "", 0, 0, NULL,
     "control addresses of other gateways, by commas"},
    {"gateway", "cpu_share", INI_TEXT, false, "0.25", 0, 0, NULL,
     "of a core that this VM has; the larger places rather"},
    {"gateway", "prefetch", INI_BOOL, false, "true", 0, 0, NULL,
     "load models that nobody holds into room that is free"},
    {"bounds", "retry_ratio", INI_TEXT, false, "0.2", 0, 0, NULL,
     "repeats allowed for each request"},
    {"bounds", "retry_window_s", INI_INT, false, "10", 1, 3600, NULL,
     "window in which repeats are counted"},
    {"bounds", "retry_slack", INI_INT, false, "50", 0, 1000000, NULL,
     "repeats allowed besides, all gateways together"},
    {"bounds", "lease_ms", INI_INT, false, "3000", 0, 600000, NULL,
     "rest between the orders of two VMs to one upstream"},
    {"bounds", "grace_s", INI_INT, false, "8", 1, 600, NULL,
     "from the signal to stop to being killed"},
    {NULL, NULL, INI_TEXT, false, NULL, 0, 0, NULL, NULL}};

typedef struct {
    struct ev_loop *loop;
    const char *path;
    IniFile *settings;
    char process[BG_ID_LEN + 1];
    HtPool *pool;
    HtServer *front;
    HtServer *ready;
    HtServer *control; /* NULL: none */
    St *store;
    StWatch *config_watch;
    StWatch *upstream_watch;
    StWatch *mail_watch; /* NULL: this VM does not place */
    GHashTable *members; /* gateways -> when last linked, uint64_t */
    uint64_t mail_ms;    /* when mail was last left */
    uint64_t behind_ms;  /* told of a newer configuration since; 0: not */
    GHashTable *untold;  /* upstream -> DepResident list, for the next beat */
    uint64_t unreached_ms; /* since when half is out of reach; 0: it isn't */
    UtSet *upstreams;
    Rb *budget;
    Gw *gw;
    Mp *placement;
    Ls *lease;
    Lk *links;
    DepConfig *config; /* NULL: none yet */
    uint64_t config_ms;
    bool placing;      /* this VM held the lease at the last tick */
    bool placer_reads; /* the VM that we are linked to reads the store */
    bool dirty;        /* what waits should be looked at again */
    ev_timer tick;
    ev_timer wanted;
    ev_timer place;
    ev_signal term;
    ev_signal interrupt;
    ev_signal hup;
    uint64_t slow_tick_ms;
    uint64_t demand_ms;
    uint64_t state_ms;
    uint64_t stop_ms; /* 0: not stopping */
} Gateway;

static const char *
get_text(const Gateway *g, const char *key)
{
    return ini_get_text(g->settings, "gateway", key);
}

/* ---- configuration ------------------------------------------------------ */

static void
use_config(Gateway *g, DepConfig *c)
{
    dep_unref_config(g->config);
    g->config = c;
    g->config_ms = bg_boot_ms();
    gw_on_config(g->gw, c);
    mp_on_config(g->placement, c);
    HtLimits limits = {c->max_header_bytes, c->max_body_bytes,
                       c->header_timeout_ms, c->idle_timeout_ms};
    ht_set_limits(g->front, &limits);
    g->dirty = true;
    JlLine *l = jl_begin("config-taken");
    jl_number(l, "version", (int64_t)c->version);
    jl_number(l, "routes", c->routes->len);
    jl_end(l);
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
on_config_records(void *ctx, const GPtrArray *records, bool whole)
{
    (void)whole;
    Gateway *g = ctx;
    DepConfig *best = NULL;
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
        }
        else {
            dep_unref_config(c);
        }
    }
    if (best) {
        use_config(g, best);
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
    jl_number(l, "sequence", (int64_t)u->sequence);
    jl_end(l);
}

static void
drop_upstream(Gateway *g, uint64_t now_ms, const char *id)
{
    JlLine *l = jl_begin("upstream-gone");
    jl_text(l, "upstream", id);
    jl_end(l);
    ut_on_gone(g->upstreams, now_ms, id);
    mp_on_gone(g->placement, id);
}

/* To the gateways that are linked to us, which seldom ask the store. */
static void
pass_entry_on(Gateway *g, const StRecord *r)
{
    if (!g->placing) {
        return;
    }
    Gwp__Entry e = GWP__ENTRY__INIT;
    gsize len = 0;
    e.upstream = r->key;
    e.value.data =
        r->value ? (uint8_t *)g_bytes_get_data(r->value, &len) : NULL;
    e.value.len = len;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_ENTRY;
    f.entry = &e;
    lk_send_down(g->links, NULL, &f);
}

/* True: others should know, too: it is new, another, or it leaves. */
static bool
take_upstream(Gateway *g, uint64_t now_ms, const StRecord *r)
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
        ut_on_gone(g->upstreams, now_ms, r->key);
        mp_on_gone(g->placement, r->key);
        return true;
    }
    bool draining = u->draining;
    if (draining) {
        log_upstream("upstream-leaves", u);
    }
    mp_on_entry(g->placement, now_ms, u);
    return ut_on_entry(g->upstreams, now_ms, u) || draining;
}

static void
on_upstream_records(void *ctx, const GPtrArray *records, bool whole)
{
    Gateway *g = ctx;
    uint64_t now_ms = bg_boot_ms();
    g_autoptr(GHashTable) ids = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < records->len; i++) {
        const StRecord *r = records->pdata[i];
        if (r->value) {
            g_hash_table_add(ids, r->key);
            if (take_upstream(g, now_ms, r)) {
                pass_entry_on(g, r);
            }
            continue;
        }
        drop_upstream(g, now_ms, r->key);
        pass_entry_on(g, r);
    }
    if (whole) {
        ut_keep_only(g->upstreams, now_ms, ids);
        mp_keep_only(g->placement, ids);
    }
    g->dirty = g->dirty || records->len > 0;
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

/* ---- lease -------------------------------------------------------------- */

static void
on_lease_read(void *ctx, const StReply *r)
{
    Gateway *g = ctx;
    const char *value = NULL;
    g_autofree char *text = NULL;
    uint64_t offset = 0;
    if (r->end == ST_OK && r->records->len > 0) {
        const StRecord *newest = r->records->pdata[0];
        for (guint i = 1; i < r->records->len; i++) {
            const StRecord *x = r->records->pdata[i];
            newest = x->offset > newest->offset ? x : newest;
        }
        gsize len = 0;
        const char *data =
            newest->value ? g_bytes_get_data(newest->value, &len) : "";
        text = g_strndup(data, len);
        value = text;
        offset = newest->offset;
    }
    ls_on_read(g->lease, bg_boot_ms(), r->end, value, offset, r->tail);
}

static void
list_lease(Gateway *g)
{
    g->store->ops->list(g->store, ST_OWNER, NULL, on_lease_read, g);
}

static void
on_lease_tail(void *ctx, const StReply *r)
{
    if (r->end == ST_TRIMMED) {
        list_lease(ctx);
        return;
    }
    on_lease_read(ctx, r);
}

static void
read_lease(void *ctx, uint64_t from)
{
    Gateway *g = ctx;
    if (from == 0) {
        list_lease(g);
        return;
    }
    g->store->ops->read(g->store, ST_OWNER, from, 0, on_lease_tail, g);
}

static void
on_lease_append(void *ctx, const StReply *r)
{
    Gateway *g = ctx;
    ls_on_append(g->lease, bg_boot_ms(), r->end, r->offset, r->tail);
}

static void
append_lease(void *ctx, uint64_t at, const char *value)
{
    Gateway *g = ctx;
    g->store->ops->append(g->store, ST_OWNER, at, "owner", value,
                          strlen(value), on_lease_append, g);
}

static void
on_lease_changed(void *ctx)
{
    Gateway *g = ctx;
    uint64_t now_ms = bg_boot_ms();
    bool holds = g->lease && ls_is_holder(g->lease, now_ms);
    const char *address = g->lease ? ls_get_holder_address(g->lease) : NULL;
    lk_set_target(g->links, holds ? NULL : address);
}

/* ---- placement ---------------------------------------------------------- */

/* Demand comes from many gateways: decided once for what comes together. */
static void
place_soon(Gateway *g)
{
    if (!ev_is_active(&g->place)) {
        ev_timer_set(&g->place, PLACE_MS / 1000., 0.);
        ev_timer_start(g->loop, &g->place);
    }
}

static void
on_place_timer(struct ev_loop *loop, ev_timer *t, int events)
{
    (void)loop;
    (void)events;
    Gateway *g = t->data;
    uint64_t now_ms = bg_boot_ms();
    if (g->placing) {
        mp_on_tick(g->placement, now_ms, ls_may_order(g->lease, now_ms));
    }
}

typedef struct {
    Gateway *g;
    char *upstream;
    bool unload;
    char *model;
    char *adapter;
} OrderCtx;

static void
on_order_end(void *ctx, MpOrderEnd end, uint16_t status)
{
    OrderCtx *o = ctx;
    JlLine *l = jl_begin("order-end");
    jl_text(l, "upstream", o->upstream);
    jl_text(l, "op", o->unload ? "unload" : "load");
    jl_text(l, "model", o->model);
    jl_text(l, "adapter", o->adapter);
    jl_number(l, "status", status);
    jl_number(l, "end", end);
    jl_end(l);
    mp_on_order_end(o->g->placement, bg_boot_ms(), o->upstream, end);
    place_soon(o->g);
    g_free(o->upstream);
    g_free(o->model);
    g_free(o->adapter);
    g_free(o);
}

static void
send_order(void *ctx, const MpOrder *order)
{
    Gateway *g = ctx;
    OrderCtx *o = g_new0(OrderCtx, 1);
    o->g = g;
    o->upstream = g_strdup(order->upstream);
    o->unload = order->unload;
    o->model = g_strdup(order->model);
    o->adapter = g_strdup(order->adapter);
    pf_send_order(g->pool, order, get_text(g, "name"), ls_get_token(g->lease),
                  on_order_end, o);
}

typedef struct {
    Gateway *g;
    char *upstream;
} AskCtx;

static void
append_names(GString *out, const GPtrArray *names)
{
    for (guint i = 0; i < names->len; i++) {
        g_string_append_printf(out, "%s%s", i ? " " : "",
                               (const char *)names->pdata[i]);
    }
}

static void
log_report(const char *upstream, const DepUpstream *r)
{
    JlLine *l = jl_begin("upstream-report");
    jl_text(l, "upstream", upstream);
    if (r) {
        g_autoptr(GString) models = g_string_new(NULL);
        for (guint i = 0; i < r->models->len; i++) {
            const DepResident *d = r->models->pdata[i];
            g_string_append_printf(models, "%s%s+%u", i ? " " : "", d->name,
                                   d->adapters->len);
        }
        g_autoptr(GString) memory = g_string_new(NULL);
        append_names(memory, r->in_memory);
        g_autoptr(GString) disk = g_string_new(NULL);
        append_names(disk, r->on_disk);
        jl_number(l, "sequence", (int64_t)r->sequence);
        jl_number(l, "busy", r->busy);
        jl_text(l, "models", models->str);
        jl_text(l, "in_memory", memory->str);
        jl_text(l, "on_disk", disk->str);
    }
    jl_end(l);
}

static void
on_report(void *ctx, DepUpstream *report)
{
    AskCtx *a = ctx;
    log_report(a->upstream, report);
    mp_on_report(a->g->placement, bg_boot_ms(), a->upstream, report);
    dep_destroy_upstream(report);
    g_free(a->upstream);
    g_free(a);
}

static void
ask_upstream(void *ctx, const DepUpstream *of)
{
    AskCtx *a = g_new0(AskCtx, 1);
    a->g = ctx;
    a->upstream = g_strdup(of->id);
    pf_fetch_report(a->g->pool, of, on_report, a);
}

static GPtrArray *
copy_residents(const GPtrArray *models)
{
    DepUpstream *u = dep_create_upstream();
    for (guint i = 0; i < models->len; i++) {
        const DepResident *r = models->pdata[i];
        DepResident *c = dep_add_resident(u, r->name);
        for (guint j = 0; j < r->adapters->len; j++) {
            g_ptr_array_add(c->adapters, g_strdup(r->adapters->pdata[j]));
        }
    }
    GPtrArray *list = u->models;
    u->models = g_ptr_array_new();
    dep_destroy_upstream(u);
    return list;
}

typedef enum { TELL_URGENT, TELL_ALL, TELL_ONE } Tell;

/* ONE: of TELL_ONE. */
static void
send_placement(Gateway *g, Tell to, LkPeer *one, const char *upstream,
               const GPtrArray *models)
{
    Gwp__Placement m = GWP__PLACEMENT__INIT;
    Gwp__Resident *list = g_new0(Gwp__Resident, models->len + 1);
    Gwp__Resident **refs = g_new0(Gwp__Resident *, models->len + 1);
    for (guint i = 0; i < models->len; i++) {
        const DepResident *r = models->pdata[i];
        gwp__resident__init(&list[i]);
        list[i].model = r->name;
        list[i].n_adapters = r->adapters->len;
        list[i].adapters = (char **)r->adapters->pdata;
        refs[i] = &list[i];
    }
    m.upstream = (char *)upstream;
    m.n_residents = models->len;
    m.residents = refs;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_PLACEMENT;
    f.placement = &m;
    if (to != TELL_URGENT) {
        lk_send_down(g->links, to == TELL_ONE ? one : NULL, &f);
    }
    else {
        lk_send_urgent(g->links, &f);
    }
    g_free(refs);
    g_free(list);
}

/* Gateways where callers wait are told at once, the others with the next
   beat: one frame a change and gateway would be most of the placing VM's
   work with many gateways and adapters. */
static void
on_placed(void *ctx, const char *upstream, const GPtrArray *models)
{
    Gateway *g = ctx;
    GPtrArray *copy = copy_residents(models);
    send_placement(g, TELL_URGENT, NULL, upstream, models);
    g_hash_table_replace(g->untold, g_strdup(upstream),
                         copy_residents(models));
    ut_on_placement(g->upstreams, bg_boot_ms(), upstream, copy);
    g->dirty = true;
}

static void
tell_the_rest(Gateway *g)
{
    GHashTableIter it;
    gpointer upstream;
    gpointer models;
    g_hash_table_iter_init(&it, g->untold);
    while (g_hash_table_iter_next(&it, &upstream, &models)) {
        send_placement(g, TELL_ALL, NULL, upstream, models);
    }
    g_hash_table_remove_all(g->untold);
}

typedef struct {
    Gateway *g;
    LkPeer *to;
} Newcomer;

static void
tell_one(void *ctx, const char *upstream, const GPtrArray *models)
{
    const Newcomer *n = ctx;
    send_placement(n->g, TELL_ONE, n->to, upstream, models);
}

/* All that is placed, to it alone: telling everybody at each arrival would be
   many times the placing VM's time when all arrive at once, after it took
   over; it would lose the lease again. */
static void
tell_newcomer(Gateway *g, LkPeer *peer)
{
    Newcomer n = {g, peer};
    if (g->placing) {
        mp_visit_placed(g->placement, bg_boot_ms(), tell_one, &n);
    }
}

static void
free_residents(void *p)
{
    g_ptr_array_free(p, TRUE);
}

/* ---- links -------------------------------------------------------------- */

static void
free_want(void *p)
{
    MpWant *w = p;
    g_free(w->model);
    g_free(w->adapter);
    g_free(w);
}

static void
free_use(void *p)
{
    MpUse *u = p;
    g_free(u->upstream);
    g_free(u->model);
    g_free(u->adapter);
    g_free(u);
}

static char *
to_text(const char *wire)
{
    return *wire ? g_strdup(wire) : NULL;
}

static bool
has_waiting(const Gwp__Demand *d)
{
    for (size_t i = 0; i < d->n_wants; i++) {
        if (d->wants[i]->waiting > 0) {
            return true;
        }
    }
    return false;
}

static void
take_demand(Gateway *g, const char *from, const Gwp__Demand *d)
{
    g_autoptr(GPtrArray) wants = g_ptr_array_new_with_free_func(free_want);
    g_autoptr(GPtrArray) uses = g_ptr_array_new_with_free_func(free_use);
    for (size_t i = 0; i < d->n_wants; i++) {
        MpWant *w = g_new0(MpWant, 1);
        w->model = g_strdup(d->wants[i]->model);
        w->adapter = to_text(d->wants[i]->adapter);
        w->waiting = d->wants[i]->waiting;
        w->running = d->wants[i]->running;
        w->arrived = d->wants[i]->arrived;
        g_ptr_array_add(wants, w);
    }
    for (size_t i = 0; i < d->n_uses; i++) {
        MpUse *u = g_new0(MpUse, 1);
        u->upstream = g_strdup(d->uses[i]->upstream);
        u->model = g_strdup(d->uses[i]->model);
        u->adapter = to_text(d->uses[i]->adapter);
        g_ptr_array_add(uses, u);
    }
    if (mp_on_demand(g->placement, bg_boot_ms(), from, wants, uses)) {
        place_soon(g);
    }
}

static void
take_placement(Gateway *g, const Gwp__Placement *p)
{
    DepUpstream *u = dep_create_upstream();
    for (size_t i = 0; i < p->n_residents; i++) {
        const Gwp__Resident *r = p->residents[i];
        DepResident *d = dep_add_resident(u, r->model);
        for (size_t j = 0; j < r->n_adapters; j++) {
            g_ptr_array_add(d->adapters, g_strdup(r->adapters[j]));
        }
    }
    GPtrArray *list = u->models;
    u->models = g_ptr_array_new();
    dep_destroy_upstream(u);
    ut_on_placement(g->upstreams, bg_boot_ms(), p->upstream, list);
    gw_on_change(g->gw);
}

/* How often the store is asked, by whether others tell us its news. */
static void
follow_store(Gateway *g)
{
    bool linked = lk_is_open(g->links) && !g->placing && g->placer_reads;
    st_set_wait(g->config_watch,
                linked ? LINKED_CONFIG_WAIT_MS : CONFIG_WAIT_MS);
    st_set_pause(g->upstream_watch, linked       ? LINKED_UPSTREAM_PAUSE_MS
                                    : g->placing ? PLACING_UPSTREAM_PAUSE_MS
                                                 : UPSTREAM_PAUSE_MS);
}

/* A newer configuration was told of; our own read should have ended with it
   by now. */
static void
follow_version(Gateway *g, uint64_t now_ms, uint64_t version)
{
    if (g->config && version <= g->config->version) {
        g->behind_ms = 0;
    }
    else if (g->behind_ms == 0) {
        g->behind_ms = now_ms;
    }
    else if (now_ms > g->behind_ms + BEHIND_MS) {
        g->behind_ms = 0;
        ht_drop_kept(g->pool, get_text(g, "store"));
        st_restart(g->config_watch);
    }
}

/* An upstream's entry as the placing VM read it. */
static void
take_entry(Gateway *g, const Gwp__Entry *e)
{
    StRecord r = {e->upstream, NULL, 0};
    if (e->value.len > 0) {
        r.value = g_bytes_new(e->value.data, e->value.len);
        take_upstream(g, bg_boot_ms(), &r);
        g_bytes_unref(r.value);
    }
    else {
        drop_upstream(g, bg_boot_ms(), e->upstream);
    }
}

static void
take_state(Gateway *g, const Gwp__State *s)
{
    uint64_t now_ms = bg_boot_ms();
    ls_on_heard(g->lease, now_ms);
    gw_on_placer(g->gw, now_ms, s->rest_ms);
    rb_on_gateways(g->budget, now_ms, s->gateways);
    follow_version(g, now_ms, s->config_version);
    if (g->placer_reads != s->reads_store) {
        g->placer_reads = s->reads_store;
        follow_store(g);
    }
    for (size_t i = 0; i < s->n_loads; i++) {
        ut_on_total(g->upstreams, now_ms, s->loads[i]->upstream,
                    s->loads[i]->running);
    }
    for (size_t i = 0; i < s->n_waits; i++) {
        gw_on_wait(g->gw, now_ms, s->waits[i]->model, s->waits[i]->wait_ms);
    }
}

static void
send_death(Gateway *g, uint64_t request, const char *upstream, bool down)
{
    Gwp__Death d = GWP__DEATH__INIT;
    d.request = request;
    d.upstream = (char *)upstream;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_DEATH;
    f.death = &d;
    if (down) {
        lk_send_down(g->links, NULL, &f);
    }
    else {
        lk_send_up(g->links, &f);
    }
}

/* ---- who is there ---- */

static void
note_member(Gateway *g, const char *vm)
{
    uint64_t *seen_ms = g_new(uint64_t, 1);
    *seen_ms = bg_boot_ms();
    g_hash_table_replace(g->members, g_strdup(vm), seen_ms);
}

static gboolean
is_past_member(gpointer vm, gpointer seen_ms, gpointer now_ms)
{
    (void)vm;
    return *(uint64_t *)seen_ms + MEMBER_MS < *(uint64_t *)now_ms;
}

/* Gateways of the last while, this one included. */
static uint32_t
count_members(Gateway *g, uint64_t now_ms)
{
    g_hash_table_foreach_remove(g->members, is_past_member, &now_ms);
    return g_hash_table_size(g->members) + 1;
}

/* ---- mail, where links are cut ---- */

static void
on_mail_records(void *ctx, const GPtrArray *records, bool whole)
{
    Gateway *g = ctx;
    for (guint i = 0; !whole && i < records->len; i++) {
        const StRecord *r = records->pdata[i];
        gsize len = 0;
        const uint8_t *data =
            r->value ? g_bytes_get_data(r->value, &len) : NULL;
        Gwp__Frame *f = data ? gwp__frame__unpack(NULL, len, data) : NULL;
        if (f && f->body_case == GWP__FRAME__BODY_DEMAND) {
            note_member(g, r->key);
            take_demand(g, r->key, f->demand);
        }
        if (f) {
            gwp__frame__free_unpacked(f, NULL);
        }
    }
}

static void
on_mail_reach(void *ctx, bool reached)
{
    (void)ctx;
    (void)reached;
}

static void
watch_mail(Gateway *g, bool places)
{
    if (!places && g->mail_watch) {
        st_destroy_watch(g->mail_watch);
        g->mail_watch = NULL;
    }
    else if (places && !g->mail_watch) {
        StWatchParams mail = {ST_MAIL, "mail", 0, MAIL_BUSY_PAUSE_MS};
        StWatchHandler on_mail = {g, on_mail_records, on_mail_reach};
        g->mail_watch = st_create_watch(g->loop, g->store, &mail, &on_mail);
    }
}

static void
on_mail_left(void *ctx, const StReply *reply)
{
    (void)ctx;
    (void)reply; /* a frame that was lost is followed by the next */
}

static void
on_frame(void *ctx, LkPeer *from, const Gwp__Frame *frame)
{
    Gateway *g = ctx;
    switch (frame->body_case) {
    case GWP__FRAME__BODY_HELLO:
        if (from) {
            lk_set_vm(from, frame->hello->vm);
            tell_newcomer(g, from);
        }
        break;
    case GWP__FRAME__BODY_DEMAND:
        if (from) {
            note_member(g, lk_get_vm(from));
            lk_set_urgent(from, has_waiting(frame->demand));
            take_demand(g, lk_get_vm(from), frame->demand);
        }
        break;
    case GWP__FRAME__BODY_PLACEMENT:
        if (!from) {
            take_placement(g, frame->placement);
        }
        break;
    case GWP__FRAME__BODY_STATE:
        if (!from) {
            take_state(g, frame->state);
        }
        break;
    case GWP__FRAME__BODY_ENTRY:
        if (!from) {
            take_entry(g, frame->entry);
            gw_on_change(g->gw);
        }
        break;
    case GWP__FRAME__BODY_DEATH:
        gw_on_death(g->gw, bg_boot_ms(), frame->death->request,
                    frame->death->upstream);
        if (from) {
            send_death(g, frame->death->request, frame->death->upstream, true);
        }
        break;
    default:
        break; /* of a newer gateway */
    }
}

static void
on_peer(void *ctx, LkPeer *peer, bool here)
{
    (void)ctx;
    if (!here) {
        JlLine *l = jl_begin("peer-gone");
        jl_text(l, "vm", lk_get_vm(peer));
        jl_end(l);
    }
}

static void send_demand(Gateway *g);

static void
on_link(void *ctx, bool open)
{
    Gateway *g = ctx;
    JlLine *l = jl_begin(open ? "placer-linked" : "placer-lost");
    jl_text(l, "vm", g->lease ? ls_get_holder_vm(g->lease) : NULL);
    jl_end(l);
    g->placer_reads = false;
    follow_store(g);
    if (open) {
        send_demand(g);
    }
    else {
        /* Whatever silenced the link may have silenced the others. */
        ht_drop_kept(g->pool, get_text(g, "store"));
        st_restart(g->config_watch);
        st_restart(g->upstream_watch);
        ut_forget_placement(g->upstreams);
    }
}

static void
send_demand_up(Gateway *g, const GPtrArray *wants, const GPtrArray *uses)
{
    Gwp__Demand d = GWP__DEMAND__INIT;
    Gwp__Want *w = g_new0(Gwp__Want, wants->len + 1);
    Gwp__Want **wr = g_new0(Gwp__Want *, wants->len + 1);
    for (guint i = 0; i < wants->len; i++) {
        const MpWant *x = wants->pdata[i];
        gwp__want__init(&w[i]);
        w[i].model = x->model;
        w[i].adapter = x->adapter ? x->adapter : (char *)"";
        w[i].waiting = x->waiting;
        w[i].running = x->running;
        w[i].arrived = x->arrived;
        wr[i] = &w[i];
    }
    Gwp__Use *u = g_new0(Gwp__Use, uses->len + 1);
    Gwp__Use **ur = g_new0(Gwp__Use *, uses->len + 1);
    for (guint i = 0; i < uses->len; i++) {
        const MpUse *x = uses->pdata[i];
        gwp__use__init(&u[i]);
        u[i].upstream = x->upstream;
        u[i].model = x->model;
        u[i].adapter = x->adapter ? x->adapter : (char *)"";
        ur[i] = &u[i];
    }
    d.n_wants = wants->len;
    d.wants = wr;
    d.n_uses = uses->len;
    d.uses = ur;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_DEMAND;
    f.demand = &d;
    if (lk_is_open(g->links)) {
        lk_send_up(g->links, &f);
    }
    else {
        size_t len = gwp__frame__get_packed_size(&f);
        g_autofree uint8_t *bytes = g_malloc(len + 1);
        gwp__frame__pack(&f, bytes);
        g->store->ops->append(g->store, ST_MAIL, ST_ANY_TAIL,
                              get_text(g, "name"), bytes, len, on_mail_left,
                              g);
    }
    g_free(wr);
    g_free(w);
    g_free(ur);
    g_free(u);
}

/* What callers here want, to whoever places. */
static void
send_demand(Gateway *g)
{
    g->demand_ms = bg_boot_ms();
    if (!g->placing && !lk_is_open(g->links)) {
        bool waits = gw_count_waiting(g->gw) > 0;
        st_set_pause(g->upstream_watch,
                     waits ? ALONE_PAUSE_MS : UPSTREAM_PAUSE_MS);
        if (!waits || g->demand_ms < g->mail_ms + MAIL_MS) {
            return;
        }
        g->mail_ms = g->demand_ms;
    }
    g_autoptr(GPtrArray) wants = g_ptr_array_new_with_free_func(free_want);
    g_autoptr(GPtrArray) uses = g_ptr_array_new_with_free_func(free_use);
    gw_collect_demand(g->gw, wants, uses);
    if (g->placing) {
        if (mp_on_demand(g->placement, g->demand_ms, get_text(g, "name"),
                         wants, uses)) {
            place_soon(g);
        }
    }
    else {
        send_demand_up(g, wants, uses);
    }
}

typedef struct {
    GPtrArray *waits; /* Gwp__Wait */
    Gateway *g;
    uint64_t now_ms;
} WaitList;

static void
add_wait(void *ctx, const char *model, uint32_t wait_ms)
{
    WaitList *list = ctx;
    Gwp__Wait *w = g_new0(Gwp__Wait, 1);
    gwp__wait__init(w);
    w->model = (char *)model;
    w->wait_ms = wait_ms;
    g_ptr_array_add(list->waits, w);
    gw_on_wait(list->g->gw, list->now_ms, model, wait_ms);
}

typedef struct {
    GPtrArray *loads; /* Gwp__Load */
    Gateway *g;
    uint64_t now_ms;
} LoadList;

static void
add_load(void *ctx, const char *upstream, uint32_t running)
{
    LoadList *list = ctx;
    ut_on_total(list->g->upstreams, list->now_ms, upstream, running);
    if (running < MIN_TOLD_LOAD) {
        return;
    }
    Gwp__Load *l = g_new0(Gwp__Load, 1);
    gwp__load__init(l);
    l->upstream = (char *)upstream;
    l->running = running;
    g_ptr_array_add(list->loads, l);
}

static void
send_state(Gateway *g, uint64_t now_ms)
{
    g_autoptr(GPtrArray) loads = g_ptr_array_new_with_free_func(g_free);
    LoadList load_list = {loads, g, now_ms};
    mp_visit_loads(g->placement, add_load, &load_list);
    g_autoptr(GPtrArray) waits = g_ptr_array_new_with_free_func(g_free);
    WaitList list = {waits, g, now_ms};
    mp_visit_waits(g->placement, now_ms, add_wait, &list);
    Gwp__State s = GWP__STATE__INIT;
    s.n_waits = waits->len;
    s.waits = (Gwp__Wait **)waits->pdata;
    s.n_loads = loads->len;
    s.loads = (Gwp__Load **)loads->pdata;
    s.gateways = count_members(g, now_ms);
    s.rest_ms = ls_get_rest_ms(g->lease, now_ms);
    gw_on_placer(g->gw, now_ms, s.rest_ms);
    s.reads_store = st_get_age_ms(g->upstream_watch, now_ms) < STORE_FRESH_MS;
    s.config_version = g->config ? g->config->version : 0;
    rb_on_gateways(g->budget, now_ms, s.gateways);
    st_set_pause(g->mail_watch, lk_count_peers(g->links) + 1 < s.gateways
                                    ? MAIL_BUSY_PAUSE_MS
                                    : MAIL_PAUSE_MS);
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_STATE;
    f.state = &s;
    lk_send_down(g->links, NULL, &f);
}

/* ---- requests ----------------------------------------------------------- */

static void
on_wanted_timer(struct ev_loop *loop, ev_timer *t, int events)
{
    (void)loop;
    (void)events;
    send_demand(t->data);
}

static void
on_wanted(void *ctx)
{
    Gateway *g = ctx;
    if (!ev_is_active(&g->wanted)) {
        ev_timer_set(&g->wanted, WANTED_MS / 1000., 0.);
        ev_timer_start(g->loop, &g->wanted);
    }
}

static void
on_died(void *ctx, uint64_t request, const char *upstream)
{
    Gateway *g = ctx;
    gw_on_death(g->gw, bg_boot_ms(), request, upstream);
    send_death(g, request, upstream, g->placing);
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
on_any_gone(void *ctx, HtExchange *x)
{
    (void)ctx;
    (void)x;
}

static bool
is_ready(const Gateway *g)
{
    return g->config && !g->stop_ms && st_is_listed(g->upstream_watch);
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
        "\"places\":%s,\"placer\":\"%s\",\"linked\":%s,\"peers\":%u}\n",
        get_text(g, "name"), is_ready(g) ? "true" : "false",
        (unsigned long long)(g->config ? g->config->version : 0),
        (unsigned long long)(now_ms - g->config_ms), ut_count(g->upstreams),
        gw_count(g->gw), ht_count_connections(g->front),
        g->placing ? "true" : "false",
        ls_get_holder_vm(g->lease) ? ls_get_holder_vm(g->lease) : "",
        lk_is_open(g->links) ? "true" : "false", lk_count_peers(g->links));
}

static void
on_control_request(void *ctx, HtExchange *x)
{
    g_autoptr(GString) out = g_string_new(NULL);
    const char *target = ht_get_head(x)->target;
    if (strcmp(target, "/metrics") == 0) {
        bg_print_metrics(out);
        answer_text(x, out);
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
    uint32_t unreached;
    mp_count_unreached(g->placement, &all, &unreached);
    if (unreached * 2 <= all) {
        g->unreached_ms = 0;
        return;
    }
    if (g->unreached_ms == 0) {
        g->unreached_ms = now_ms;
    }
    if (now_ms > g->unreached_ms + YIELD_AFTER_MS) {
        JlLine *l = jl_begin("lease-yielded");
        jl_number(l, "upstreams", all);
        jl_number(l, "unreached", unreached);
        jl_end(l);
        g->unreached_ms = 0;
        ls_yield(g->lease, now_ms, YIELD_MS);
    }
}

static void
follow_lease(Gateway *g, uint64_t now_ms)
{
    bool places = ls_is_holder(g->lease, now_ms);
    if (places != g->placing) {
        g->placing = places;
        JlLine *l = jl_begin(places ? "lease-held" : "lease-lost");
        jl_number(l, "token", (int64_t)ls_get_token(g->lease));
        jl_end(l);
        if (places) {
            mp_begin(g->placement, now_ms);
        }
        else {
            ut_forget_placement(g->upstreams);
        }
        on_lease_changed(g);
        follow_store(g);
        watch_mail(g, places);
    }
    if (g->placing) {
        mp_on_tick(g->placement, now_ms, ls_may_order(g->lease, now_ms));
        consider_yield(g, now_ms);
    }
}

static bool
may_exit(Gateway *g, uint64_t now_ms)
{
    uint64_t since_ms = now_ms - g->stop_ms;
    uint64_t grace_ms =
        (uint64_t)ini_get_int(g->settings, "bounds", "grace_s") * 1000;
    if (since_ms >= LEAVE_MS) {
        gw_stop_taking(g->gw);
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
tick_slow(Gateway *g, uint64_t now_ms)
{
    ht_tick_server(g->front, now_ms);
    ht_tick_server(g->ready, now_ms);
    if (g->control) {
        ht_tick_server(g->control, now_ms);
    }
    lk_on_tick(g->links, now_ms);
    if (now_ms >= g->demand_ms + DEMAND_MS) {
        send_demand(g);
    }
    /* By a clock of its own: demand is also sent whenever callers begin to
       wait, and a busy placing VM would never get to say that it lives. */
    if (g->placing && now_ms >= g->state_ms + DEMAND_MS) {
        g->state_ms = now_ms;
        tell_the_rest(g);
        send_state(g, now_ms);
    }
}

static void
on_tick(struct ev_loop *loop, ev_timer *t, int events)
{
    (void)events;
    Gateway *g = t->data;
    uint64_t now_ms = bg_boot_ms();
    ls_on_tick(g->lease, now_ms);
    follow_lease(g, now_ms);
    ht_tick_pool(g->pool, now_ms);
    g->dirty = false;
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
    ls_leave(g->lease);
    ht_close_kept(g->front);
}

static void
apply_bounds(Gateway *g)
{
    (void)g; /* read where they are used; the rest holds for a process */
}

static void
on_hup(struct ev_loop *loop, ev_signal *w, int events)
{
    (void)loop;
    (void)events;
    Gateway *g = w->data;
    g_autoptr(GString) faults = g_string_new(NULL);
    IniFile *f = ini_load(g->path, rules, faults);
    JlLine *l = jl_begin("reload");
    jl_text(l, "outcome", f ? "taken" : "kept the old settings");
    jl_text(l, "faults", f ? NULL : faults->str);
    jl_end(l);
    if (f) {
        ini_destroy(g->settings);
        g->settings = f;
        apply_bounds(g);
    }
}

/* ---- start and stop ----------------------------------------------------- */

static bool
listen_all(Gateway *g, GError **err)
{
    HtHandler front = {g, on_front_request, on_front_gone};
    HtHandler ready = {g, on_ready_request, on_any_gone};
    HtHandler control = {g, on_control_request, on_any_gone};
    LkHandler link = {g, on_frame, on_peer, on_link};
    g->links = lk_create(g->loop, get_text(g, "link"), get_text(g, "name"),
                         g->process, &link, err);
    g->front = g->links ? ht_listen(g->loop, get_text(g, "front"), &front, err)
                        : NULL;
    g->ready = g->front ? ht_listen(g->loop, get_text(g, "ready"), &ready, err)
                        : NULL;
    const char *address = get_text(g, "control");
    if (g->ready && address) {
        g->control = ht_listen(g->loop, address, &control, err);
        return g->control != NULL;
    }
    return g->ready != NULL;
}

/* Placing takes a core's share on one VM: with 75 gateways 0.1 core. */
static uint32_t
get_claim_delay_ms(const Gateway *g)
{
    double share = g_ascii_strtod(get_text(g, "cpu_share"), NULL);
    double lack = CLAMP((LARGE_CPU_SHARE - share) / LARGE_CPU_SHARE, 0, 1);
    return (uint32_t)(lack * SMALL_CLAIM_MS);
}

static void
create_cores(Gateway *g)
{
    uint64_t seed = bg_now_us() ^ g_str_hash(g->process);
    UtParams up = {get_text(g, "data_centre"), seed};
    g->upstreams = ut_create(&up);
    RbParams rb = {
        (uint32_t)ini_get_int(g->settings, "bounds", "retry_window_s") * 1000,
        g_ascii_strtod(ini_get_text(g->settings, "bounds", "retry_ratio"),
                       NULL),
        (double)ini_get_int(g->settings, "bounds", "retry_slack"),
        ASSUMED_GATEWAYS};
    g->budget = rb_create(&rb, bg_boot_ms());
    GwParams gw = {get_text(g, "name"), CONNECT_MS, DEATH_LIMIT, seed};
    GwOutput gw_out = {g, on_wanted, on_died};
    g->gw =
        gw_create(&gw, &pf_gw_wire, &gw_out, g->pool, g->upstreams, g->budget);
    MpParams mp = {0, STORE_AT_ONCE,
                   ini_get_bool(g->settings, "gateway", "prefetch")};
    MpOutput mp_out = {g, send_order, ask_upstream, on_placed};
    g->placement = mp_create(&mp, &mp_out);
    LsParams ls = {get_text(g, "name"),
                   g->process,
                   get_text(g, "link"),
                   LEASE_MS,
                   RENEW_MS,
                   (uint32_t)ini_get_int(g->settings, "bounds", "lease_ms") +
                       REST_MARGIN_MS,
                   QUIET_MS,
                   get_claim_delay_ms(g),
                   seed};
    LsOutput ls_out = {g, read_lease, append_lease, on_lease_changed};
    g->lease = ls_create(&ls, &ls_out);
}

static void
watch_store(Gateway *g)
{
    g->store = pf_create_store(g->pool, get_text(g, "store"));
    StWatchParams config = {ST_CONFIG, "config", CONFIG_WAIT_MS,
                            CONFIG_PAUSE_MS};
    StWatchHandler on_config = {g, on_config_records, on_config_reach};
    g->config_watch = st_create_watch(g->loop, g->store, &config, &on_config);
    StWatchParams ups = {ST_UPSTREAMS, "upstreams", 0, UPSTREAM_PAUSE_MS};
    StWatchHandler on_ups = {g, on_upstream_records, on_upstream_reach};
    g->upstream_watch = st_create_watch(g->loop, g->store, &ups, &on_ups);
}

static void
start_watchers(Gateway *g)
{
    ev_timer_init(&g->tick, on_tick, TICK_MS / 1000., TICK_MS / 1000.);
    g->tick.data = g;
    ev_timer_start(g->loop, &g->tick);
    ev_timer_init(&g->wanted, on_wanted_timer, 0., 0.);
    g->wanted.data = g;
    ev_timer_init(&g->place, on_place_timer, 0., 0.);
    g->place.data = g;
    ev_signal_init(&g->term, on_term, SIGTERM);
    ev_signal_init(&g->interrupt, on_term, SIGINT);
    ev_signal_init(&g->hup, on_hup, SIGHUP);
    g->term.data = g;
    g->interrupt.data = g;
    g->hup.data = g;
    ev_signal_start(g->loop, &g->term);
    ev_signal_start(g->loop, &g->interrupt);
    ev_signal_start(g->loop, &g->hup);
}

static int
run(Gateway *g)
{
    g_autoptr(GError) err = NULL;
    bg_make_id(g->process);
    g->untold =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_residents);
    g->members =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g->loop = ev_loop_new(EVBACKEND_EPOLL | EVFLAG_NOENV);
    if (!g->loop) {
        fprintf(stderr, "no event loop\n");
        return 1;
    }
    g->pool = ht_create_pool(g->loop);
    if (!listen_all(g, &err)) {
        fprintf(stderr, "can't listen: %s\n", err->message);
        return 1;
    }
    create_cores(g);
    watch_store(g);
    start_watchers(g);
    jl_start(get_text(g, "name"));
    JlLine *l = jl_begin("started");
    jl_text(l, "version", BG_VERSION);
    jl_text(l, "process", g->process);
    jl_text(l, "data_centre", get_text(g, "data_centre"));
    jl_end(l);
    ev_run(g->loop, 0);
    l = jl_begin("stopped");
    jl_number(l, "requests", gw_count(g->gw));
    jl_number(l, "after_ms", (int64_t)(bg_boot_ms() - g->stop_ms));
    jl_end(l);
    jl_stop(LOG_STOP_MS);
    return 0;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    Gateway *g = state->input;
    if (key == 's') {
        g->path = arg;
        return 0;
    }
    return ARGP_ERR_UNKNOWN;
}

int
main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"settings", 's', "FILE", 0,
         "settings file (else $BITTERNGLADE_SETTINGS)", 0},
        {0}};
    static const struct argp argp = {
        options, parse_option, NULL, "Answer callers of a platform.",
        NULL,    NULL,         NULL};
    Gateway g = {.path = getenv("BITTERNGLADE_SETTINGS")};
    argp_parse(&argp, argc, argv, 0, NULL, &g);
    if (!g.path) {
        fprintf(stderr, "no settings file was named\n");
        return 2;
    }
    /* One arena: threads here allocate little, and memory is dear. */
    mallopt(M_ARENA_MAX, 1);
    signal(SIGPIPE, SIG_IGN);
    g_autoptr(GString) faults = g_string_new(NULL);
    g.settings = ini_load(g.path, rules, faults);
    if (!g.settings) {
        fputs(faults->str, stderr);
        return 2;
    }
    return run(&g);
}
