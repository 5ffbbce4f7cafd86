#include "placer_internal.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* ---- creation and destruction ------------------------------------------- */

void
pl_free_load(gpointer p)
{
    Load *l = p;
    g_free(l->model);
    g_free(l->boot);
    g_free(l);
}

static void
free_upstream(gpointer p)
{
    Upstream *u = p;
    g_free(u->id);
    g_free(u->deployment);
    g_free(u->address);
    g_free(u->boot);
    g_hash_table_destroy(u->residents);
    g_hash_table_destroy(u->tiers);
    g_hash_table_destroy(u->loads);
    g_free(u);
}

static void
free_model(gpointer p)
{
    Model *m = p;
    g_free(m->name);
    g_hash_table_destroy(m->routers);
    g_free(m);
}

static void
free_closing(gpointer p)
{
    ClosingEpoch *k = p;
    g_ptr_array_free(k->open, TRUE);
    g_free(k);
}

PlCore *
pl_create(const PlParams *params, const Fold *fold, const PlOutput *out)
{
    PlCore *c = g_new0(PlCore, 1);
    c->params = *params;
    c->params.node = g_strdup(params->node);
    c->params.data_centre = g_strdup(params->data_centre);
    c->claim_grace_ms = params->lease_ms;
    c->fold = fold;
    c->out = *out;
    bg_seed_random(&c->rng, params->seed ^
                                XXH64(params->node, strlen(params->node), 0));
    c->upstreams =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_upstream);
    c->models =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_model);
    c->owner_heartbeats =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->closing = g_ptr_array_new_with_free_func(free_closing);
    return c;
}

void
pl_destroy(PlCore *c)
{
    if (!c) {
        return;
    }
    g_hash_table_destroy(c->upstreams);
    g_hash_table_destroy(c->models);
    g_hash_table_destroy(c->owner_heartbeats);
    g_ptr_array_free(c->closing, TRUE);
    g_free(c->claim_holder);
    g_free((char *)c->params.node);
    g_free((char *)c->params.data_centre);
    g_free(c);
}

/* ---- events ------------------------------------------------------------- */

static void
run_upstreams(PlCore *c, uint64_t now_ms)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Upstream *u = p;
        pl_poll_upstream(c, u, now_ms);
        pl_settle_upstream(c, u, now_ms);
        pl_settle_lost(c, u, now_ms);
    }
}

void
pl_on_tick(PlCore *c, uint64_t now_ms)
{
    c->now_ms = now_ms;
    c->start_ms = c->start_ms ? c->start_ms : now_ms;
    pl_note_claim(c, now_ms);
    pl_consider_claim(c, now_ms);
    pl_close_epochs(c, now_ms);
    if (c->owner) {
        run_upstreams(c, now_ms);
    }
    pl_decide(c, now_ms);
    if (c->owner && !c->draining) {
        pl_consider_clear(c, now_ms);
        pl_consider_refresh(c, now_ms);
    }
    pl_hand_over(c, now_ms);
    g_hash_table_foreach_remove(c->upstreams, pl_is_forgettable, c);
}

/* An unknown deployment counts as not fencing, which is the safe assumption.
 */
static void
note_fencing(Upstream *u, const CfgSet *cfg)
{
    const CfgUpstreams *group = cfg_find_upstreams(cfg, u->deployment);
    u->engine = group && group->engine;
    u->fenced = u->engine && group->fenced;
}

void
pl_on_config(PlCore *c, const CfgSet *cfg)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        note_fencing(p, cfg);
    }
}

static void
take_vm(PlCore *c, const CfgSet *cfg, const PlVm *vm)
{
    Upstream *u = pl_get_upstream(c, vm->id);
    if (strcmp(u->deployment, vm->deployment) != 0) {
        g_free(u->deployment);
        u->deployment = g_strdup(vm->deployment);
        u->dirty = true;
    }
    if (g_strcmp0(u->address, vm->address) != 0) {
        /* An id that returns with another address is a new upstream. */
        g_free(u->address);
        u->address = g_strdup(vm->address);
        u->leaving = false;
        u->dirty = true;
    }
    note_fencing(u, cfg);
    /* Leaving is permanent for an id with this address: a list that lags may
       still show a leaving upstream as live. */
    if ((vm->leaving && !u->leaving) || u->gone) {
        u->dirty = true;
    }
    u->leaving = u->leaving || vm->leaving;
    if (u->gone) {
        u->gone = false;
        u->settled_epoch = 0; /* fence it before any order */
    }
}

void
pl_on_vms(PlCore *c, uint64_t now_ms, const PlVm *vms, size_t count)
{
    c->now_ms = now_ms;
    c->vms_known = true;
    CfgSet *cfg = fold_get_config(c->fold);
    g_autoptr(GHashTable) seen = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < count; i++) {
        take_vm(c, cfg, &vms[i]);
        g_hash_table_add(seen, (gpointer)vms[i].id);
    }
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Upstream *u = p;
        if (!u->gone && !g_hash_table_contains(seen, u->id)) {
            u->gone = true;
            u->gone_ms = now_ms;
            u->dirty = true;
        }
    }
    cfg_unref(cfg);
}

/* Settle an intent that took effect after its load was given up.  No order was
   sent under it. */
static void
settle_orphan(PlCore *c, const Bg__IntentRecord *r)
{
    pl_append_settle(c, r->upstream, r->model, r->load_id, SETTLE_ABSENT);
    bg_count("placer_orphan_intents_total", 1);
}

static void
on_intent_won(Load *l, uint64_t now_ms)
{
    l->closed_recorded = false; /* the record opened it for this epoch */
    if (l->phase != LOAD_RECORDING) {
        return;
    }
    pl_set_phase(l, l->found ? LOAD_LOADING : LOAD_ORDERING, now_ms);
    l->found = false;
}

static void
on_intent_lost(const PlCore *c, Load *l, uint64_t now_ms)
{
    bg_count("placer_intents_lost_total", 1);
    if (pl_find_intent(c, l->at->id, l->model)) {
        return; /* counted already; a step-down or report resolves it */
    }
    if (!l->found && !l->granted) {
        if (l->phase == LOAD_RECORDING) {
            pl_remove_load(l);
        }
        return;
    }
    /* The replica exists, or may exist, but the log rejected its intent.  Try
       again, and unload it if the rejections continue. */
    l->next_try_ms = now_ms + REFUSED_RETRY_MS;
    if (++l->lost_intents >= MAX_LOST_INTENTS && !l->order_out) {
        pl_set_phase(l, LOAD_UNLOADING, now_ms);
    }
}

static void
take_intent(PlCore *c, uint64_t now_ms, const Bg__IntentRecord *r,
            FoldResult result)
{
    if (!c->owner || strcmp(r->data_centre, c->params.data_centre) != 0 ||
        r->epoch != c->claim_epoch) {
        return;
    }
    Load *l = pl_find_load(c, r->upstream, r->model);
    bool same = l && strcmp(l->load_id, r->load_id) == 0;
    if (result == FOLD_APPLIED && same) {
        on_intent_won(l, now_ms);
    }
    else if (result == FOLD_APPLIED) {
        settle_orphan(c, r);
    }
    else if (same) {
        on_intent_lost(c, l, now_ms);
    }
}

static void
take_settle(PlCore *c, uint64_t now_ms, const Bg__SettleRecord *r,
            FoldResult result)
{
    Load *l = pl_find_load(c, r->upstream, r->model);
    if (!l || strcmp(r->data_centre, c->params.data_centre) != 0 ||
        strcmp(l->load_id, r->load_id) != 0) {
        return;
    }
    if (result != FOLD_APPLIED) {
        if (l->phase == LOAD_SETTLING) {
            pl_set_phase(l, LOAD_LINGERING, now_ms);
        }
        return;
    }
    if (!r->loaded) {
        pl_remove_load(l);
        return;
    }
    l->loaded_recorded = true;
    l->closed_recorded = l->closed_recorded || r->closed;
}

void
pl_on_record(PlCore *c, uint64_t now_ms, uint64_t offset, const Bg__Record *r,
             FoldResult result)
{
    (void)offset;
    c->now_ms = now_ms;
    switch (r->body_case) {
    case BG__RECORD__BODY_CLAIM:
        pl_note_claim(c, now_ms);
        break;
    case BG__RECORD__BODY_INTENT:
        take_intent(c, now_ms, r->intent, result);
        break;
    case BG__RECORD__BODY_SETTLE:
        take_settle(c, now_ms, r->settle, result);
        break;
    default:
        break;
    }
}

void
pl_on_heartbeat(PlCore *c, uint64_t now_ms, const char *node, bool owner)
{
    if (!owner) {
        return;
    }
    uint64_t *last_ms = g_new(uint64_t, 1);
    *last_ms = now_ms;
    g_hash_table_replace(c->owner_heartbeats, g_strdup(node), last_ms);
}

/* Whether the standing grant allows L on its upstream. */
static bool
is_covered(const PlCore *c, const CfgSet *cfg, const Load *l)
{
    const FoldGrant *g = pl_find_own_grant(c);
    const CfgModel *m = cfg_find_model(cfg, l->model);
    const char *id =
        g && m ? pl_pick_grant_upstream(g, m->upstreams, pl_get_grant_key(m))
               : NULL;
    return id && l->at->fenced && l->at->confirmed &&
           pl_is_settled(c, l->at) && strcmp(id, l->at->id) == 0;
}

/* The log became unreachable: a load whose intent is pending would block its
   model.  If the grant covers it, it is ordered under the grant.  Otherwise it
   is given up: no order was sent for it, and if its intent takes effect later,
   settle_orphan settles it. */
static void
give_up_recording(PlCore *c)
{
    CfgSet *cfg = fold_get_config(c->fold);
    g_autoptr(GPtrArray) list = pl_list_loads(c);
    for (guint i = 0; i < list->len; i++) {
        Load *l = list->pdata[i];
        if (l->phase != LOAD_RECORDING || l->found ||
            pl_find_intent(c, l->at->id, l->model)) {
            continue;
        }
        if (is_covered(c, cfg, l)) {
            l->granted = true;
            pl_set_phase(l, LOAD_ORDERING, c->now_ms);
        }
        else {
            pl_remove_load(l);
        }
    }
    cfg_unref(cfg);
}

/* The grant is valid on a boot of an upstream that was fenced while the claim
   was in force.  Only a log read that began after the fence proves that.  A
   read takes less than GRANT_CONFIRM_MS, so one that ends that long after the
   fence began after it. */
static void
confirm_grants(PlCore *c, uint64_t now_ms)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Upstream *u = p;
        u->confirmed =
            u->confirmed ||
            (pl_is_settled(c, u) && now_ms - u->settled_ms > GRANT_CONFIRM_MS);
    }
}

void
pl_on_log(PlCore *c, uint64_t now_ms, bool reachable, bool caught_up)
{
    c->now_ms = now_ms;
    if (reachable != c->log_reachable) {
        c->log_changed_ms = now_ms;
        if (!reachable) {
            give_up_recording(c);
        }
    }
    c->log_reachable = reachable;
    c->caught_up = caught_up;
    if (c->owner && reachable && caught_up) {
        confirm_grants(c, now_ms);
    }
}

void
pl_on_drain(PlCore *c, uint64_t now_ms)
{
    c->now_ms = now_ms;
    c->draining = true;
    c->drain_ms = now_ms;
}

bool
pl_is_drained(const PlCore *c)
{
    if (!c->draining || c->orders_out > 0) {
        return false;
    }
    bool handed_over =
        c->closing->len == 0 &&
        (!c->owner ||
         fold_is_quiesced(c->fold, c->params.data_centre, c->claim_epoch));
    /* Without the log no quiesce record can be appended; the successor then
       counts the open orders. */
    return handed_over ||
           (!c->log_reachable && c->now_ms - c->drain_ms > DRAIN_LOG_WAIT_MS);
}

/* ---- state -------------------------------------------------------------- */

/* Publish only residents that this owner counts and that are not about to be
   unloaded. */
static void
add_resident(Bg__UpstreamState *s, const Load *l, const Resident *from)
{
    if (!from || l->phase > LOAD_LOADED) {
        return;
    }
    Bg__Resident *r = g_new(Bg__Resident, 1);
    bg__resident__init(r);
    r->model = g_strdup(l->model);
    r->loading = from->state == 1;
    s->residents[s->n_residents++] = r;
}

static Bg__UpstreamState *
make_state(const PlCore *c, const Upstream *u)
{
    Bg__UpstreamState *s = g_new(Bg__UpstreamState, 1);
    bg__upstream_state__init(s);
    s->upstream = g_strdup(u->id);
    s->deployment = g_strdup(u->deployment);
    s->data_centre = g_strdup(c->params.data_centre);
    s->address = g_strdup(u->address ? u->address : "");
    s->leaving = u->leaving;
    s->gone = u->gone;
    s->known =
        c->owner && u->boot != NULL && (!u->engine || pl_is_settled(c, u));
    s->boot = g_strdup(u->boot ? u->boot : "");
    s->reported_inflight = u->inflight;
    s->residents = g_new0(Bg__Resident *, g_hash_table_size(u->loads) + 1);
    GHashTableIter it;
    gpointer name;
    gpointer l;
    g_hash_table_iter_init(&it, u->loads);
    while (g_hash_table_iter_next(&it, &name, &l)) {
        add_resident(s, l, g_hash_table_lookup(u->residents, name));
    }
    return s;
}

Bg__Residency *
pl_take_residency(PlCore *c, bool full)
{
    Bg__Residency *r = g_new(Bg__Residency, 1);
    bg__residency__init(r);
    r->data_centre = g_strdup(c->params.data_centre);
    r->epoch = c->claim_epoch;
    r->seq = ++c->residency_seq;
    r->full = full;
    r->upstreams =
        g_new0(Bg__UpstreamState *, g_hash_table_size(c->upstreams) + 1);
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Upstream *u = p;
        if (u->address && (full || u->dirty)) {
            r->upstreams[r->n_upstreams++] = make_state(c, u);
        }
        if (!full) {
            u->dirty = false;
        }
    }
    if (r->n_upstreams == 0 && !full) {
        bg__residency__free_unpacked(r, NULL);
        return NULL;
    }
    return r;
}

static json_t *
dump_upstream(const PlCore *c, const Upstream *u)
{
    return json_pack("{s:s, s:b, s:b, s:i, s:i, s:b, s:b, s:b}", "id", u->id,
                     "leaving", u->leaving, "gone", u->gone, "capacity_mb",
                     (int)u->capacity_mb, "counted_mb",
                     (int)pl_count_memory(c, u), "settled",
                     pl_is_settled(c, u), "fenced", u->fenced, "confirmed",
                     u->confirmed && pl_is_settled(c, u));
}

char *
pl_dump(const PlCore *c)
{
    json_t *loads = json_array();
    g_autoptr(GPtrArray) list = pl_list_loads(c);
    for (guint i = 0; i < list->len; i++) {
        const Load *l = list->pdata[i];
        json_array_append_new(
            loads, json_pack("{s:s, s:s, s:s, s:b, s:i, s:b, s:b}", "upstream",
                             l->at->id, "model", l->model, "phase",
                             phase_names[l->phase], "order_out", l->order_out,
                             "unknown", (int)l->unknown, "granted", l->granted,
                             "closed", l->closed_recorded));
    }
    json_t *ups = json_array();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        json_array_append_new(ups, dump_upstream(c, p));
    }
    const FoldGrant *g = pl_find_own_grant(c);
    json_t *doc = json_pack(
        "{s:b, s:I, s:i, s:i, s:i, s:o, s:o}", "owner", c->owner, "epoch",
        (json_int_t)c->claim_epoch, "grant", g ? (int)g->upstreams->len : 0,
        "orders_out", (int)c->orders_out, "closing", (int)c->closing->len,
        "loads", loads, "upstreams", ups);
    char *text = json_dumps(doc, JSON_SORT_KEYS | JSON_COMPACT);
    json_decref(doc);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}
