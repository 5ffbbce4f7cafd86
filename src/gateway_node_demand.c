#include "gateway_node.h"

#define MAIL_INTERVAL_MS 300 /* between messages left in the store */
/* The leader reads its mailbox in the store, more often while fewer gateways
   are linked than are known: the others may have no link and use the mailbox.
 */
#define MAIL_SHORT_READ_INTERVAL_MS 250
#define MEMBER_TIMEOUT_MS 30000 /* without contact: the gateway is gone */
/* The demand of a gateway is dropped after this long without an update. */
#define DEMAND_TIMEOUT_MS 2000

/* ---- known gateways ----------------------------------------------------- */

void
gn_note_member(Gateway *g, const char *vm)
{
    uint64_t *seen_ms = g_new(uint64_t, 1);
    *seen_ms = bg_boot_ms();
    g_hash_table_replace(g->members, g_strdup(vm), seen_ms);
}

static gboolean
is_expired_member(gpointer vm, gpointer seen_ms, gpointer now_ms)
{
    (void)vm;
    return *(uint64_t *)seen_ms + MEMBER_TIMEOUT_MS < *(uint64_t *)now_ms;
}

uint32_t
gn_count_members(Gateway *g, uint64_t now_ms)
{
    g_hash_table_foreach_remove(g->members, is_expired_member, &now_ms);
    return g_hash_table_size(g->members) + 1;
}

/* ---- demand received ---------------------------------------------------- */

static const char *
to_optional(const char *wire)
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
            dm_add_model_demand(demand, x->model, to_optional(x->adapter));
        w->version = g_strdup(to_optional(x->version));
        w->waiting = x->waiting;
        w->running = x->running;
        w->arrived = x->arrived;
        w->refused = x->refused;
        w->tight_deadline = x->hurried;
    }
    for (size_t i = 0; i < d->n_uses; i++) {
        const Gwp__Use *x = d->uses[i];
        DmUse *u =
            dm_add_use(demand, x->upstream, x->model, to_optional(x->adapter));
        u->running = x->running;
        u->queued = x->queued;
        u->slow = x->slow;
    }
    for (size_t i = 0; i < d->n_began; i++) {
        dm_add_answer_starts(demand, d->began[i]->upstream,
                             d->began[i]->count);
    }
    return demand;
}

static void
take_spent(Gateway *g, uint64_t now_ms, const Gwp__Demand *d)
{
    for (size_t i = 0; i < d->n_spent; i++) {
        const Gwp__Spent *x = d->spent[i];
        if (!wl_is_amount(x->spent, x->asked)) {
            bg_log(BG_WARN, "limits", "invalid amount of workspace %s",
                   x->workspace);
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
    if (more && g->is_leader) {
        gn_schedule_placement(g);
    }
    return more;
}

void
gn_update_placement(Gateway *g, uint64_t now_ms)
{
    dm_expire_sources(g->demand, now_ms, DEMAND_TIMEOUT_MS);
    DmDemand *total = dm_collect(g->demand, g->full_demand_due);
    g->full_demand_due = false;
    mp_on_demand(g->placement, now_ms, total);
    dm_destroy_demand(total);
}

/* ---- mailbox ------------------------------------------------------------

   A gateway that has no link leaves its demand in a topic of the store, which
   the leader reads. */

/* What a gateway leaves is whole, and some of its callers wait. */
static bool
is_mail(const Gwp__Demand *d)
{
    bool waits = false;
    for (size_t i = 0; i < d->n_wants; i++) {
        waits = waits || d->wants[i]->waiting > 0;
    }
    return d->whole && waits;
}

static void
on_mail_records(void *ctx, const GPtrArray *records, StBatchKind kind,
                GHashTable *listed)
{
    (void)listed;
    Gateway *g = ctx;
    for (guint i = 0; kind == ST_UPDATES && i < records->len; i++) {
        const StRecord *r = records->pdata[i];
        gsize len = 0;
        const uint8_t *data =
            r->value ? g_bytes_get_data(r->value, &len) : NULL;
        Gwp__Frame *f = data ? gwp__frame__unpack(NULL, len, data) : NULL;
        if (f && f->body_case == GWP__FRAME__BODY_DEMAND &&
            is_mail(f->demand)) {
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
on_mail_reachable(void *ctx, bool reachable)
{
    (void)ctx;
    (void)reachable;
}

void
gn_set_mail_interval(Gateway *g, uint32_t linked, uint32_t known)
{
    st_set_pause(g->mail_watch, linked + 1 < known
                                    ? MAIL_SHORT_READ_INTERVAL_MS
                                    : GN_MAIL_READ_INTERVAL_MS);
}

void
gn_watch_mail(Gateway *g, bool is_leader)
{
    if (!is_leader && g->mail_watch) {
        st_destroy_watch(g->mail_watch);
        g->mail_watch = NULL;
    }
    else if (is_leader && !g->mail_watch) {
        StWatchParams mail = {ST_MAILBOX, "mail", 0,
                              MAIL_SHORT_READ_INTERVAL_MS,
                              bg_pick_random(&g->rng, UINT32_MAX)};
        StWatchHandler on_mail = {g, on_mail_records, on_mail_reachable};
        g->mail_watch =
            st_create_watch(g->store_clock, g->store, &mail, &on_mail);
        st_set_idle(g->mail_watch, false);
    }
}

static void
on_mail_appended(void *ctx, const StReply *reply)
{
    (void)ctx;
    (void)reply; /* the next message replaces a lost one */
}

static void
append_mail(Gateway *g, const Gwp__Frame *f)
{
    size_t len = gwp__frame__get_packed_size(f);
    g_autofree uint8_t *bytes = g_malloc(len + 1);
    gwp__frame__pack(f, bytes);
    g->mail_ms = bg_boot_ms();
    g->store->ops->append(g->store, ST_MAILBOX, ST_ANY_TAIL,
                          gn_get_text(g, "name"), bytes, len, on_mail_appended,
                          g);
}

/* ---- demand sent -------------------------------------------------------- */

/* Lists of a frame, freed together.  Their texts belong to the demand. */
typedef struct {
    Gwp__Want *model_demands;
    Gwp__Want **model_demand_refs;
    Gwp__Use *uses;
    Gwp__Use **use_refs;
    Gwp__Began *began;
    Gwp__Began **began_refs;
    GArray *spent; /* Gwp__Spent */
    Gwp__Spent **spent_refs;
} DemandLists;

static void
list_model_demands(DemandLists *l, const GPtrArray *models)
{
    l->model_demands = g_new0(Gwp__Want, models->len + 1);
    l->model_demand_refs = g_new0(Gwp__Want *, models->len + 1);
    for (guint i = 0; i < models->len; i++) {
        const DmModelDemand *x = models->pdata[i];
        Gwp__Want *w = &l->model_demands[i];
        gwp__want__init(w);
        w->model = x->model;
        w->adapter = x->adapter ? x->adapter : (char *)"";
        w->version = x->version ? x->version : (char *)"";
        w->waiting = x->waiting;
        w->running = x->running;
        w->arrived = x->arrived;
        w->refused = x->refused;
        w->hurried = x->tight_deadline;
        l->model_demand_refs[i] = w;
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
        const DmAnswerStarts *x = began->pdata[i];
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
    l->spent_refs = (Gwp__Spent **)gn_list_pointers(l->spent);
}

static void
clear_lists(DemandLists *l)
{
    g_free(l->model_demands);
    g_free(l->model_demand_refs);
    g_free(l->uses);
    g_free(l->use_refs);
    g_free(l->began);
    g_free(l->began_refs);
    g_array_free(l->spent, TRUE);
    g_free(l->spent_refs);
}

/* Sends DEMAND over the link, or to the mailbox if the link is not open. */
static void
send_demand_up(Gateway *g, const DmDemand *demand)
{
    DemandLists lists;
    list_model_demands(&lists, demand->model_demands);
    list_uses(&lists, demand->uses);
    list_began(&lists, demand->answer_starts);
    list_spent(&lists, g->limits);
    Gwp__Demand d = GWP__DEMAND__INIT;
    d.whole = demand->whole;
    d.stamp_ms = bg_boot_ms();
    d.n_wants = demand->model_demands->len;
    d.wants = lists.model_demand_refs;
    d.n_uses = demand->uses->len;
    d.uses = lists.use_refs;
    d.n_began = demand->answer_starts->len;
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
        append_mail(g, &f);
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

/* Without a link, a message is due while calls wait here or at a member. */
static bool
is_mail_due(const Gateway *g, uint64_t now_ms)
{
    return dm_count_waiting(g->demand) > 0 &&
           now_ms >= g->mail_ms + MAIL_INTERVAL_MS;
}

void
gn_send_demand(Gateway *g)
{
    uint64_t now_ms = bg_boot_ms();
    g->demand_ms = now_ms;
    dm_expire_sources(g->demand, now_ms, DEMAND_TIMEOUT_MS);
    bool more = take_own_demand(g, now_ms);
    if (g->is_leader) {
        if (more) {
            gn_schedule_placement(g);
        }
        return;
    }
    bool linked = lk_is_open(g->links);
    if (!linked && !is_mail_due(g, now_ms)) {
        return;
    }
    DmDemand *total = dm_collect(g->demand, g->full_demand_due || !linked);
    g->full_demand_due = !linked;
    send_demand_up(g, total);
    dm_destroy_demand(total);
}
