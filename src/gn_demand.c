#include "gn.h"

#define MAIL_MS 300 /* between frames left in the store for the placing VM */
/* The placing VM reads that mail, more often while gateways are missing. */
#define MAIL_PAUSE_MS 1000
#define MAIL_BUSY_PAUSE_MS 250
#define MEMBER_MS 30000 /* a gateway not heard of for so long is gone */
/* A gateway that said nothing for so long has no callers waiting. */
#define DEMAND_LIFE_MS 2000

/* ---- who is there ------------------------------------------------------- */

void
gn_note_member(Gateway *g, const char *vm)
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

uint32_t
gn_count_members(Gateway *g, uint64_t now_ms)
{
    g_hash_table_foreach_remove(g->members, is_past_member, &now_ms);
    return g_hash_table_size(g->members) + 1;
}

/* ---- demand that is told ------------------------------------------------ */

static const char *
to_adapter(const char *wire)
{
    return *wire ? wire : NULL;
}

static DmDemand *
read_demand(const Gwp__Demand *d)
{
    DmDemand *demand = dm_create_demand(d->whole);
    for (size_t i = 0; i < d->n_wants; i++) {
        const Gwp__Want *x = d->wants[i];
        DmModelDemand *w =
            dm_add_model_demand(demand, x->model, to_adapter(x->adapter));
        w->waiting = x->waiting;
        w->running = x->running;
        w->arrived = x->arrived;
        w->refused = x->refused;
        w->hurried = x->hurried;
    }
    for (size_t i = 0; i < d->n_uses; i++) {
        const Gwp__Use *x = d->uses[i];
        DmUse *u =
            dm_add_use(demand, x->upstream, x->model, to_adapter(x->adapter));
        u->running = x->running;
        u->queued = x->queued;
        u->slow = x->slow;
    }
    for (size_t i = 0; i < d->n_began; i++) {
        dm_add_began(demand, d->began[i]->upstream, d->began[i]->count);
    }
    return demand;
}

static void
take_spent(Gateway *g, uint64_t now_ms, const Gwp__Demand *d)
{
    for (size_t i = 0; i < d->n_spent; i++) {
        const Gwp__Spent *x = d->spent[i];
        if (!wl_is_amount(x->spent, x->asked)) {
            bg_log(BG_WARN, "limits", "no amount of %s", x->workspace);
            continue;
        }
        WlSpent spent = {x->workspace, x->spent, x->asked};
        wl_on_spent(g->limits, now_ms, &spent);
    }
}

bool
gn_take_demand(Gateway *g, const char *from, const Gwp__Demand *d)
{
    take_spent(g, bg_boot_ms(), d);
    DmDemand *demand = read_demand(d);
    bool more = dm_apply(g->demand, bg_boot_ms(), from, demand);
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
    dm_expire_sources(g->demand, now_ms, DEMAND_LIFE_MS);
    DmDemand *sums = dm_collect(g->demand, g->sums_due);
    g->sums_due = false;
    mp_on_demand(g->placement, now_ms, sums);
    dm_destroy_demand(sums);
}

/* ---- mail, where links are cut ------------------------------------------ */

static void
on_mail_records(void *ctx, const GPtrArray *records, StPart part,
                GHashTable *listed)
{
    (void)listed;
    Gateway *g = ctx;
    for (guint i = 0; part == ST_NEWS && i < records->len; i++) {
        const StRecord *r = records->pdata[i];
        gsize len = 0;
        const uint8_t *data =
            r->value ? g_bytes_get_data(r->value, &len) : NULL;
        Gwp__Frame *f = data ? gwp__frame__unpack(NULL, len, data) : NULL;
        if (f && f->body_case == GWP__FRAME__BODY_DEMAND) {
            g_autofree char *source = g_strconcat("mail ", r->key, NULL);
            gn_note_member(g, r->key);
            gn_take_demand(g, source, f->demand);
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

/* More often while gateways are missing, which may have no link. */
void
gn_pace_mail(Gateway *g, uint32_t linked, uint32_t known)
{
    st_set_pause(g->mail_watch,
                 linked + 1 < known ? MAIL_BUSY_PAUSE_MS : MAIL_PAUSE_MS);
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
        st_set_idle(g->mail_watch, false);
    }
}

static void
on_mail_left(void *ctx, const StReply *reply)
{
    (void)ctx;
    (void)reply; /* a frame that was lost is followed by the next */
}

static void
leave_mail(Gateway *g, const Gwp__Frame *f)
{
    size_t len = gwp__frame__get_packed_size(f);
    g_autofree uint8_t *bytes = g_malloc(len + 1);
    gwp__frame__pack(f, bytes);
    g->mail_ms = bg_boot_ms();
    g->store->ops->append(g->store, ST_MAIL, ST_ANY_TAIL,
                          gn_get_text(g, "name"), bytes, len, on_mail_left, g);
}

/* ---- demand of ours ----------------------------------------------------- */

/* Lists of a frame, freed together; what they point to stays the demand's. */
typedef struct {
    Gwp__Want *wants;
    Gwp__Want **want_refs;
    Gwp__Use *uses;
    Gwp__Use **use_refs;
    Gwp__Began *began;
    Gwp__Began **began_refs;
    GArray *spent; /* Gwp__Spent */
    Gwp__Spent **spent_refs;
} DemandLists;

static void
list_wants(DemandLists *l, const GPtrArray *wants)
{
    l->wants = g_new0(Gwp__Want, wants->len + 1);
    l->want_refs = g_new0(Gwp__Want *, wants->len + 1);
    for (guint i = 0; i < wants->len; i++) {
        const DmModelDemand *x = wants->pdata[i];
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
        u->slow = x->slow;
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
add_spent(void *ctx, const WlSpent *x)
{
    Gwp__Spent s;
    gwp__spent__init(&s);
    s.workspace = (char *)x->workspace;
    s.spent = x->spent;
    s.asked = x->asked;
    g_array_append_val((GArray *)ctx, s);
}

static void
list_spent(DemandLists *l, Wl *limits)
{
    l->spent = g_array_new(FALSE, FALSE, sizeof(Gwp__Spent));
    wl_collect_spent(limits, add_spent, l->spent);
    l->spent_refs = (Gwp__Spent **)gn_point_at(l->spent);
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
    g_array_free(l->spent, TRUE);
    g_free(l->spent_refs);
}

/* Over the link, or as mail where that is cut. */
static void
send_demand_up(Gateway *g, const DmDemand *demand)
{
    DemandLists lists;
    list_wants(&lists, demand->wants);
    list_uses(&lists, demand->uses);
    list_began(&lists, demand->began);
    list_spent(&lists, g->limits);
    Gwp__Demand d = GWP__DEMAND__INIT;
    d.whole = demand->whole;
    d.n_wants = demand->wants->len;
    d.wants = lists.want_refs;
    d.n_uses = demand->uses->len;
    d.uses = lists.use_refs;
    d.n_began = demand->began->len;
    d.began = lists.began_refs;
    d.n_spent = lists.spent->len;
    d.spent = lists.spent_refs;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_DEMAND;
    f.demand = &d;
    if (lk_is_open(g->links)) {
        lk_send_up(g->links, &f);
    }
    else {
        leave_mail(g, &f);
    }
    clear_lists(&lists);
}

/* True: more callers wait than before. */
static bool
take_own_demand(Gateway *g, uint64_t now_ms)
{
    DmDemand *own = gw_collect_demand(g->gw);
    bool more = dm_apply(g->demand, now_ms, gn_get_text(g, "name"), own);
    dm_destroy_demand(own);
    return more;
}

/* Neither linked to the placing VM nor to a relay that is; others' callers
   may wait here as well. */
static bool
is_mail_due(const Gateway *g, uint64_t now_ms)
{
    return dm_count_waiting(g->demand) > 0 && now_ms >= g->mail_ms + MAIL_MS;
}

void
gn_send_demand(Gateway *g)
{
    uint64_t now_ms = bg_boot_ms();
    g->demand_ms = now_ms;
    dm_expire_sources(g->demand, now_ms, DEMAND_LIFE_MS);
    bool more = take_own_demand(g, now_ms);
    if (g->placing) {
        if (more) {
            gn_place_soon(g);
        }
        return;
    }
    bool linked = lk_is_open(g->links);
    if (!linked && !is_mail_due(g, now_ms)) {
        return;
    }
    DmDemand *sums = dm_collect(g->demand, g->sums_due || !linked);
    g->sums_due = !linked;
    send_demand_up(g, sums);
    dm_destroy_demand(sums);
}
