#include "gn.h"

#include <string.h>

/* The placing VM's own read is at most so old, or others read themselves. */
#define STORE_FRESH_MS 700
/* Upstreams with fewer requests are left out of what all are told. */
#define MIN_TOLD_LOAD 3
#define MAIL_MS 300 /* between frames left in the store for it */
/* The placing VM reads that mail, more often while gateways are missing. */
#define MAIL_PAUSE_MS 1000
#define MAIL_BUSY_PAUSE_MS 250
#define MEMBER_MS 30000 /* a gateway not linked for so long is gone */
/* A gateway that said nothing for so long has no callers waiting. */
#define DEMAND_LIFE_MS 2000

/* ---- links -------------------------------------------------------------- */

static DmDemand *
read_demand(const Gwp__Demand *d)
{
    DmDemand *demand = dm_create_demand(d->whole);
    for (size_t i = 0; i < d->n_wants; i++) {
        const Gwp__Want *x = d->wants[i];
        DmWant *w =
            dm_add_want(demand, x->model, *x->adapter ? x->adapter : NULL);
        w->waiting = x->waiting;
        w->running = x->running;
        w->arrived = x->arrived;
        w->refused = x->refused;
        w->hurried = x->hurried;
    }
    for (size_t i = 0; i < d->n_uses; i++) {
        const Gwp__Use *x = d->uses[i];
        DmUse *u = dm_add_use(demand, x->upstream, x->model,
                              *x->adapter ? x->adapter : NULL);
        u->running = x->running;
        u->queued = x->queued;
    }
    for (size_t i = 0; i < d->n_began; i++) {
        dm_add_began(demand, d->began[i]->upstream, d->began[i]->count);
    }
    return demand;
}

/* True: more callers wait than before. */
static bool
take_demand(Gateway *g, const char *from, const Gwp__Demand *d)
{
    DmDemand *demand = read_demand(d);
    bool more = dm_take(g->demand, bg_boot_ms(), from, demand);
    dm_destroy_demand(demand);
    if (more && g->placing) {
        gn_place_soon(g);
    }
    return more;
}

/* What callers want and use, as far as it changed, to the placement. */
void
gn_update_placement(Gateway *g, uint64_t now_ms)
{
    dm_drop_silent(g->demand, now_ms, DEMAND_LIFE_MS);
    DmDemand *sums = dm_collect(g->demand, g->sums_due);
    g->sums_due = false;
    mp_on_demand(g->placement, now_ms, sums);
    dm_destroy_demand(sums);
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

/* An upstream's entry as the placing VM read it. */
static void
take_entry(Gateway *g, const Gwp__Entry *e)
{
    StRecord r = {e->upstream, NULL, 0};
    if (e->value.len > 0) {
        r.value = g_bytes_new(e->value.data, e->value.len);
        gn_take_upstream(g, bg_boot_ms(), &r);
        g_bytes_unref(r.value);
    }
    else {
        gn_drop_upstream(g, bg_boot_ms(), e->upstream);
    }
}

static void
take_state(Gateway *g, const Gwp__State *s)
{
    uint64_t now_ms = bg_boot_ms();
    ls_on_heard(g->lease, now_ms);
    gw_on_placer(g->gw, now_ms, s->rest_ms);
    rb_on_gateways(g->budget, now_ms, s->gateways);
    gn_follow_version(g, now_ms, s->config_version);
    MpStoreRate rate = {s->store_at_once, s->store_most};
    mp_set_store_rate(g->placement, rate);
    if (g->placer_reads != s->reads_store) {
        g->placer_reads = s->reads_store;
        gn_follow_store(g);
    }
    for (size_t i = 0; i < s->n_loads; i++) {
        ut_on_total(g->upstreams, now_ms, s->loads[i]->upstream,
                    s->loads[i]->running, s->loads[i]->wait_ms);
    }
    for (size_t i = 0; i < s->n_waits; i++) {
        gw_on_wait(g->gw, now_ms, s->waits[i]->model, s->waits[i]->wait_ms);
    }
}

void
gn_send_death(Gateway *g, uint64_t request, const char *upstream, bool down)
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

void
gn_suspect(Gateway *g, const char *upstream)
{
    if (g->placing) {
        mp_on_suspicion(g->placement, bg_boot_ms(), upstream);
        return;
    }
    Gwp__Unreached u = GWP__UNREACHED__INIT;
    u.upstream = (char *)upstream;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_UNREACHED;
    f.unreached = &u;
    lk_send_up(g->links, &f);
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
            g_autofree char *source = g_strconcat("mail ", r->key, NULL);
            take_demand(g, source, f->demand);
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

void
gn_watch_mail(Gateway *g, bool places)
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

void
gn_on_frame(void *ctx, LkPeer *from, const Gwp__Frame *frame)
{
    Gateway *g = ctx;
    switch (frame->body_case) {
    case GWP__FRAME__BODY_HELLO:
        if (from) {
            lk_set_vm(from, frame->hello->vm);
            gn_tell_newcomer(g, from);
        }
        break;
    case GWP__FRAME__BODY_DEMAND:
        if (from) {
            note_member(g, lk_get_vm(from));
            take_demand(g, lk_get_vm(from), frame->demand);
            lk_set_urgent(from, dm_waits(g->demand, lk_get_vm(from)));
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
            gn_send_death(g, frame->death->request, frame->death->upstream,
                          true);
        }
        break;
    case GWP__FRAME__BODY_UNREACHED:
        if (from && g->placing) {
            gn_suspect(g, frame->unreached->upstream);
        }
        break;
    case GWP__FRAME__BODY_LEASE_APPEND:
        if (!from) {
            gn_relay_lease(g, frame->lease_append);
        }
        break;
    case GWP__FRAME__BODY_LEASE_ANSWER:
        if (from) {
            gn_take_lease_answer(g, frame->lease_answer);
        }
        break;
    default:
        break; /* of a newer gateway */
    }
}

void
gn_on_peer(void *ctx, LkPeer *peer, bool here)
{
    Gateway *g = ctx;
    if (!here) {
        dm_drop(g->demand, lk_get_vm(peer));
        JlLine *l = jl_begin("peer-gone");
        jl_text(l, "vm", lk_get_vm(peer));
        jl_end(l);
    }
}

void
gn_on_link(void *ctx, bool open)
{
    Gateway *g = ctx;
    JlLine *l = jl_begin(open ? "placer-linked" : "placer-lost");
    jl_text(l, "vm", g->lease ? ls_get_holder_vm(g->lease) : NULL);
    jl_end(l);
    g->placer_reads = false;
    gn_follow_store(g);
    if (open) {
        g->sums_due = true;
        gn_send_demand(g);
    }
    else {
        /* Whatever silenced the link may have silenced the others. */
        ht_drop_kept(g->pool, gn_get_text(g, "store"));
        uint64_t now_ms = bg_boot_ms();
        st_restart(g->config_watch, now_ms, 0);
        st_restart(g->upstream_watch, now_ms, 0);
        ut_outdate_placement(g->upstreams);
    }
}

/* Lists of a frame, freed together; what they point to stays the demand's. */
typedef struct {
    Gwp__Want *wants;
    Gwp__Want **want_refs;
    Gwp__Use *uses;
    Gwp__Use **use_refs;
    Gwp__Began *began;
    Gwp__Began **began_refs;
} DemandLists;

static void
list_wants(DemandLists *l, const GPtrArray *wants)
{
    l->wants = g_new0(Gwp__Want, wants->len + 1);
    l->want_refs = g_new0(Gwp__Want *, wants->len + 1);
    for (guint i = 0; i < wants->len; i++) {
        const DmWant *x = wants->pdata[i];
        Gwp__Want *w = &l->wants[i];
        gwp__want__init(w);
        w->model = x->model;
        w->adapter = x->adapter ? x->adapter : (char *)"";
        w->waiting = x->waiting;
        w->running = x->running;
        w->arrived = x->arrived;
        w->refused = x->refused;
        w->hurried = x->hurried;
        l->want_refs[i] = w;
    }
}

static void
list_uses(DemandLists *l, const GPtrArray *uses)
{
    l->uses = g_new0(Gwp__Use, uses->len + 1);
    l->use_refs = g_new0(Gwp__Use *, uses->len + 1);
    for (guint i = 0; i < uses->len; i++) {
        const DmUse *x = uses->pdata[i];
        Gwp__Use *u = &l->uses[i];
        gwp__use__init(u);
        u->upstream = x->upstream;
        u->model = x->model;
        u->adapter = x->adapter ? x->adapter : (char *)"";
        u->running = x->running;
        u->queued = x->queued;
        l->use_refs[i] = u;
    }
}

static void
list_began(DemandLists *l, const GPtrArray *began)
{
    l->began = g_new0(Gwp__Began, began->len + 1);
    l->began_refs = g_new0(Gwp__Began *, began->len + 1);
    for (guint i = 0; i < began->len; i++) {
        const DmBegan *x = began->pdata[i];
        Gwp__Began *b = &l->began[i];
        gwp__began__init(b);
        b->upstream = x->upstream;
        b->count = x->count;
        l->began_refs[i] = b;
    }
}

static void
clear_lists(DemandLists *l)
{
    g_free(l->wants);
    g_free(l->want_refs);
    g_free(l->uses);
    g_free(l->use_refs);
    g_free(l->began);
    g_free(l->began_refs);
}

/* Over the link to the placing VM, or as mail where that is cut. */
static void
send_demand_up(Gateway *g, const DmDemand *demand)
{
    DemandLists lists;
    list_wants(&lists, demand->wants);
    list_uses(&lists, demand->uses);
    list_began(&lists, demand->began);
    Gwp__Demand d = GWP__DEMAND__INIT;
    d.whole = demand->whole;
    d.n_wants = demand->wants->len;
    d.wants = lists.want_refs;
    d.n_uses = demand->uses->len;
    d.uses = lists.use_refs;
    d.n_began = demand->began->len;
    d.began = lists.began_refs;
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
                              gn_get_text(g, "name"), bytes, len, on_mail_left,
                              g);
    }
    clear_lists(&lists);
}

/* What callers here want, to whoever places. */
void
gn_send_demand(Gateway *g)
{
    g->demand_ms = bg_boot_ms();
    if (!g->placing && !lk_is_open(g->links)) {
        bool waits = gw_count_waiting(g->gw) > 0;
        gn_hurry_store(g, waits);
        if (!waits || g->demand_ms < g->mail_ms + MAIL_MS) {
            return;
        }
        g->mail_ms = g->demand_ms;
    }
    DmDemand *own = gw_collect_demand(g->gw);
    bool more = dm_take(g->demand, g->demand_ms, gn_get_text(g, "name"), own);
    dm_destroy_demand(own);
    if (g->placing) {
        if (more) {
            gn_place_soon(g);
        }
        return;
    }
    DmDemand *sums =
        dm_collect(g->demand, g->sums_due || !lk_is_open(g->links));
    g->sums_due = false;
    send_demand_up(g, sums);
    dm_destroy_demand(sums);
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
add_load(void *ctx, const char *upstream, uint32_t running, uint32_t wait_ms)
{
    LoadList *list = ctx;
    ut_on_total(list->g->upstreams, list->now_ms, upstream, running, wait_ms);
    if (running < MIN_TOLD_LOAD) {
        return;
    }
    Gwp__Load *l = g_new0(Gwp__Load, 1);
    gwp__load__init(l);
    l->upstream = (char *)upstream;
    l->running = running;
    l->wait_ms = wait_ms;
    g_ptr_array_add(list->loads, l);
}

void
gn_send_state(Gateway *g, uint64_t now_ms)
{
    g_autoptr(GPtrArray) loads = g_ptr_array_new_with_free_func(g_free);
    LoadList load_list = {loads, g, now_ms};
    mp_visit_loads(g->placement, now_ms, add_load, &load_list);
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
    MpStoreRate rate = mp_get_store_rate(g->placement);
    s.store_at_once = rate.at_once;
    s.store_most = rate.most;
    rb_on_gateways(g->budget, now_ms, s.gateways);
    st_set_pause(g->mail_watch, lk_count_peers(g->links) + 1 < s.gateways
                                    ? MAIL_BUSY_PAUSE_MS
                                    : MAIL_PAUSE_MS);
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_STATE;
    f.state = &s;
    lk_send_down(g->links, NULL, &f);
}
