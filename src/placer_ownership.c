#include "placer_internal.h"

#include <string.h>
#include <xxhash.h>

/* ---- ownership ---------------------------------------------------------- */

/* Whether the claim of NODE must be respected: its heartbeats are recent, or
   too little time has passed to tell since the claim was first seen or the
   log's reachability changed. */
static bool
is_claim_respected(const PlCore *c, const char *node, uint64_t now_ms)
{
    const uint64_t *last_ms = g_hash_table_lookup(c->owner_heartbeats, node);
    uint64_t since_ms = MAX(c->claim_seen_ms, c->log_changed_ms);
    if (now_ms - since_ms < c->claim_grace_ms) {
        return true;
    }
    return last_ms && now_ms - *last_ms < c->params.lease_ms;
}

/* Claim the data centre if it has no claim, or if the holder has handed over
   or has not been heard from within the lease.  Several placers may claim at
   once: the log decides.  A holder that was only paused can do no harm, since
   its orders carry lower fencing tokens and its intents are recorded. */
void
pl_consider_claim(PlCore *c, uint64_t now_ms)
{
    if (!c->log_reachable || !c->caught_up || c->draining || c->owner ||
        now_ms - c->claim_tried_ms < CLAIM_RETRY_MS ||
        (!c->vms_known && now_ms - c->start_ms < VM_LIST_WAIT_MS)) {
        return;
    }
    const FoldClaim *claim = fold_find_claim(c->fold, c->params.data_centre);
    bool handed_over =
        claim &&
        fold_is_quiesced(c->fold, c->params.data_centre, claim->epoch);
    if (claim && !handed_over &&
        is_claim_respected(c, claim->holder, now_ms)) {
        return;
    }
    c->claim_tried_ms = now_ms;
    pl_append_claim(c, claim ? claim->epoch : 0);
}

static void
forget_loads(PlCore *c)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        g_hash_table_remove_all(((Upstream *)p)->loads);
    }
}

/* Take over an intent from the log, whoever recorded it.  The outcome of its
   orders is unknown; reports resolve it, see pl_take_absent. */
static void
adopt_intent(void *ctx, const FoldIntent *in)
{
    PlCore *c = ctx;
    Upstream *u = pl_get_upstream(c, in->upstream);
    Load *l = pl_add_load(u, in->model,
                          in->loaded ? LOAD_LOADED : LOAD_LOADING, c->now_ms);
    g_strlcpy(l->load_id, in->load_id, sizeof(l->load_id));
    l->memory_mb = in->memory_mb;
    l->loaded_recorded = in->loaded;
    l->boot = g_strdup(in->boot);
    l->adopted = true;
}

static void
become_owner(PlCore *c, uint64_t epoch)
{
    c->owner = true;
    c->claim_epoch = epoch;
    c->orders_out = 0;
    c->grant_changed_ms = 0;
    forget_loads(c);
    fold_visit_intents(c->fold, c->params.data_centre, adopt_intent, c);
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Upstream *u = p;
        u->dirty = true;
        u->settled_epoch = 0;
        u->fence_out = false;
        u->next_fence_ms = 0;
    }
    bg_log(BG_INFO, "place", "Owner of %s under epoch %llu.",
           c->params.data_centre, (unsigned long long)epoch);
}

/* Load orders of unknown outcome on upstreams that do not fence: they may
   arrive at any later time. */
static GPtrArray *
list_open_orders(const PlCore *c)
{
    GPtrArray *open = g_ptr_array_new_with_free_func(g_free);
    g_autoptr(GPtrArray) list = pl_list_loads(c);
    for (guint i = 0; i < list->len; i++) {
        const Load *l = list->pdata[i];
        if (l->unknown > 0 && !l->at->fenced) {
            g_ptr_array_add(open,
                            g_strconcat(l->at->id, "\n", l->model, NULL));
        }
    }
    return open;
}

/* Takes ownership of OPEN. */
static void
add_closing(PlCore *c, uint64_t epoch, uint32_t orders_out, GPtrArray *open)
{
    ClosingEpoch *k = g_new0(ClosingEpoch, 1);
    k->epoch = epoch;
    k->orders_out = orders_out;
    k->open = open;
    g_ptr_array_add(c->closing, k);
}

/* No order is given under the old epoch from here on.  Orders that workers
   still hold are counted.  Once each of them was answered, has failed or was
   dropped unsent, the quiesce record is appended, and the successor stops
   counting what they might have loaded.  A worker checks the epoch just before
   it sends, which makes late orders rare; that none of them exceeds a ceiling
   is ensured by the count alone. */
static void
step_down(PlCore *c)
{
    bg_log(BG_WARN, "place", "No longer owner of %s.", c->params.data_centre);
    c->owner = false;
    add_closing(c, c->claim_epoch, c->orders_out, list_open_orders(c));
    c->orders_out = 0;
    forget_loads(c);
}

/* Two placers that are not linked would take the data centre from each other
   at every lease.  So each change of holder in quick succession doubles the
   time for which a claim is respected without heartbeats. */
static void
adapt_claim_grace(PlCore *c, bool other, uint64_t now_ms)
{
    bool quick =
        other && c->caught_up && c->claim_seen_ms &&
        now_ms - c->claim_seen_ms < 4 * c->claim_grace_ms &&
        !fold_is_quiesced(c->fold, c->params.data_centre, c->claim_epoch);
    c->claim_grace_ms = quick ? MIN(2 * c->claim_grace_ms, CLAIM_GRACE_MAX_MS)
                              : c->params.lease_ms;
}

void
pl_note_claim(PlCore *c, uint64_t now_ms)
{
    const FoldClaim *claim = fold_find_claim(c->fold, c->params.data_centre);
    if (!claim || claim->epoch == c->claim_epoch) {
        return;
    }
    bool own = strcmp(claim->holder, c->params.node) == 0;
    if (c->owner) {
        step_down(c);
    }
    if (!own && c->claim_epoch) {
        adapt_claim_grace(c, g_strcmp0(c->claim_holder, claim->holder) != 0,
                          now_ms);
    }
    g_free(c->claim_holder);
    c->claim_holder = g_strdup(claim->holder);
    c->claim_seen_ms = now_ms;
    c->claim_epoch = claim->epoch;
    if (own && !c->draining) {
        become_owner(c, claim->epoch);
    }
    else if (own) {
        add_closing(c, claim->epoch, 0, g_ptr_array_new());
    }
}

void
pl_close_epochs(PlCore *c, uint64_t now_ms)
{
    for (guint i = c->closing->len; i > 0; i--) {
        ClosingEpoch *k = c->closing->pdata[i - 1];
        if (fold_is_quiesced(c->fold, c->params.data_centre, k->epoch)) {
            g_ptr_array_remove_index(c->closing, i - 1);
        }
        else if (k->orders_out == 0 && c->log_reachable &&
                 now_ms >= k->next_try_ms) {
            k->next_try_ms = now_ms + RECORD_RETRY_MS;
            pl_append_quiesce(c, k->epoch, k->open);
        }
    }
}

static bool
has_recording(const PlCore *c)
{
    g_autoptr(GPtrArray) list = pl_list_loads(c);
    for (guint i = 0; i < list->len; i++) {
        const Load *l = list->pdata[i];
        if (l->phase == LOAD_RECORDING || l->order_out) {
            return true;
        }
    }
    return false;
}

/* Hand over while draining.  Once no order or intent is pending, the quiesce
   record ends the epoch, and a successor claims without waiting for the lease.
   Loads that an upstream has acknowledged continue there. */
void
pl_hand_over(PlCore *c, uint64_t now_ms)
{
    if (!c->owner || !c->draining || c->orders_out > 0 || has_recording(c) ||
        !c->log_reachable || now_ms < c->quiesce_try_ms) {
        return;
    }
    c->quiesce_try_ms = now_ms + RECORD_RETRY_MS;
    g_autoptr(GPtrArray) open = list_open_orders(c);
    pl_append_quiesce(c, c->claim_epoch, open);
}

/* ---- standing grant ----------------------------------------------------- */

/* While the log is unreachable no placer can record an intent or claim.  The
   claim in force carries a grant, which lists the data centre's fencing
   upstreams.  Under it the owner may load each model without an intent on one
   of these, the first by rendezvous hash.  A successor counts a possible
   replica there until it has fenced that upstream and seen its report.
   Upstreams that do not fence are not in the grant, as nothing could stop a
   former owner from loading there later. */

const char *
pl_pick_grant_upstream(const FoldGrant *g, const char *deployment,
                       const char *key)
{
    const char *best = NULL;
    uint64_t best_hash = 0;
    uint64_t seed = XXH64(key, strlen(key), 0);
    for (guint i = 0; i < g->upstreams->len; i++) {
        const char *id = g->upstreams->pdata[i];
        uint64_t hash = XXH64(id, strlen(id), seed);
        if (strcmp(g->deployments->pdata[i], deployment) == 0 &&
            (!best || hash > best_hash)) {
            best = id;
            best_hash = hash;
        }
    }
    return best;
}

/* The key of the rendezvous hash; an adapter goes where its base goes. */
const char *
pl_get_grant_key(const CfgModel *m)
{
    return m->base ? m->base : m->name;
}

const FoldGrant *
pl_find_own_grant(const PlCore *c)
{
    const GPtrArray *all = fold_get_grants(c->fold, c->params.data_centre);
    for (guint i = 0; all && i < all->len; i++) {
        const FoldGrant *g = all->pdata[i];
        if (g->last_epoch == c->claim_epoch) {
            return g;
        }
    }
    return NULL;
}

/* Whether M may have been loaded by an earlier owner, without a record, on the
   upstream that G grants for it in DEPLOYMENT. */
static bool
is_grant_pending(const PlCore *c, const FoldGrant *g, const char *deployment,
                 const CfgModel *m)
{
    const char *id =
        pl_pick_grant_upstream(g, deployment, pl_get_grant_key(m));
    Upstream *u = id ? g_hash_table_lookup(c->upstreams, id) : NULL;
    if (!id || pl_find_intent(c, id, m->name)) {
        return false;
    }
    if (!u) {
        return !c->vms_known ||
               c->now_ms - c->claim_seen_ms < c->params.gone_ms;
    }
    return !pl_is_settled(c, u) && !pl_is_lost(c, u);
}

/* Replicas of M that earlier owners may have loaded under their grants. */
uint32_t
pl_count_possible(const PlCore *c, const CfgModel *m)
{
    const GPtrArray *all = fold_get_grants(c->fold, c->params.data_centre);
    uint32_t n = 0;
    for (guint i = 0; all && i < all->len; i++) {
        const FoldGrant *g = all->pdata[i];
        bool pending = false;
        for (guint j = 0; j < g->deployments->len && !pending; j++) {
            pending = g->first_epoch < c->claim_epoch &&
                      is_grant_pending(c, g, g->deployments->pdata[j], m);
        }
        n += pending;
    }
    return n;
}

/* Whether U holds a replica without an intent. */
static bool
has_unrecorded(const PlCore *c, const Upstream *u)
{
    GHashTableIter it;
    gpointer name;
    g_hash_table_iter_init(&it, u->residents);
    while (g_hash_table_iter_next(&it, &name, NULL)) {
        if (!pl_find_intent(c, u->id, name)) {
            return true;
        }
    }
    return false;
}

/* Once all upstreams of earlier grants are fenced, and all their replicas
   recorded, append a clear record, which ends those grants. */
void
pl_consider_clear(PlCore *c, uint64_t now_ms)
{
    const GPtrArray *all = fold_get_grants(c->fold, c->params.data_centre);
    if (!c->log_reachable || now_ms < c->clear_try_ms || !all) {
        return;
    }
    bool old = false;
    for (guint i = 0; i < all->len; i++) {
        const FoldGrant *g = all->pdata[i];
        if (g->first_epoch == c->claim_epoch) {
            continue;
        }
        old = true;
        for (guint j = 0; j < g->upstreams->len; j++) {
            Upstream *u =
                g_hash_table_lookup(c->upstreams, g->upstreams->pdata[j]);
            bool done = u ? pl_is_lost(c, u) ||
                                (pl_is_settled(c, u) && !has_unrecorded(c, u))
                          : c->now_ms - c->claim_seen_ms > c->params.gone_ms;
            if (!done) {
                return;
            }
        }
    }
    if (old) {
        c->clear_try_ms = now_ms + RECORD_RETRY_MS;
        pl_append_clear(c);
    }
}

/* The grant lists the upstreams that were known at the time of the claim.  If
   they differ for GRANT_REFRESH_MS (or GRANT_FIRST_MS without a grant), the
   owner claims again. */
void
pl_consider_refresh(PlCore *c, uint64_t now_ms)
{
    const FoldGrant *g = pl_find_own_grant(c);
    g_autoptr(GPtrArray) list = pl_list_grant_upstreams(c);
    bool same = g ? g->upstreams->len == list->len : list->len == 0;
    for (guint i = 0; same && i < list->len; i++) {
        same = strcmp(((Upstream *)list->pdata[i])->id,
                      g->upstreams->pdata[i]) == 0;
    }
    if (same) {
        c->grant_changed_ms = 0;
        return;
    }
    if (!c->grant_changed_ms) {
        c->grant_changed_ms = now_ms;
    }
    const GPtrArray *all = fold_get_grants(c->fold, c->params.data_centre);
    if (all && all->len >= FOLD_MAX_GRANTS) {
        return; /* a new claim would get no grant until some are cleared */
    }
    uint32_t wait_ms = g ? GRANT_REFRESH_MS : GRANT_FIRST_MS;
    if (!c->log_reachable || now_ms - c->grant_changed_ms < wait_ms ||
        now_ms - c->claim_tried_ms < wait_ms) {
        return;
    }
    c->claim_tried_ms = now_ms;
    pl_append_claim(c, c->claim_epoch);
}
