#include "placer_internal.h"

#include <string.h>

/* ---- orders ------------------------------------------------------------- */

/* The fencing token of an order is the newest log offset that this owner has
   applied.  A successor's claim has a higher offset than any that this owner
   saw while its claim was in force, and later orders of this owner have higher
   numbers than its earlier ones.  So a delayed order is refused. */
uint64_t
pl_get_fence(const PlCore *c)
{
    return fold_get_offset(c->fold);
}

void
pl_send_order(PlCore *c, PlOrderKind kind, const Upstream *u,
              const CfgModel *m, Load *l)
{
    PlOrder o = {.kind = kind,
                 .upstream = u->id,
                 .address = u->address,
                 .fence = pl_get_fence(c),
                 .epoch = c->claim_epoch};
    if (l) {
        o.model = l->model;
        o.load_id = l->load_id;
        o.memory_mb = l->memory_mb;
        o.base = m ? m->base : NULL;
        o.load_ms = m ? m->load_ms : 0;
        o.boot = l->boot;
        l->order_out = true;
        c->orders_out++;
        if (kind == PL_LOAD) {
            l->order_fence = o.fence;
            l->seen_absent = false;
        }
    }
    c->out.order(c->out.ctx, &o);
}

/* Shorter while a load is in progress, as requests wait for its completion. */
static uint32_t
get_poll_interval_ms(const PlCore *c, const Upstream *u)
{
    if (u->gone) {
        return GONE_POLL_MS;
    }
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, u->loads);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Load *l = p;
        if (l->phase == LOAD_ORDERING || l->phase == LOAD_LOADING) {
            return MIN(c->params.poll_ms, LOADING_POLL_MS);
        }
    }
    return c->params.poll_ms;
}

/* An upstream that is off the VM list is polled too, less often: the list lags
   and may be wrong, and an upstream that answers exists. */
void
pl_poll_upstream(PlCore *c, Upstream *u, uint64_t now_ms)
{
    if (u->poll_out || now_ms < u->next_poll_ms || !u->address) {
        return;
    }
    u->poll_out = true;
    u->poll_sent_ms = now_ms;
    u->next_poll_ms = now_ms + get_poll_interval_ms(c, u);
    pl_send_order(c, PL_POLL, u, NULL, NULL);
}

/* Send the fence that precedes the first order of an epoch.  An upstream that
   checks fencing tokens accepts no older order from then on.  With either
   kind of upstream, the answer carries a report made after the fence was sent,
   while other reports lag. */
void
pl_settle_upstream(PlCore *c, Upstream *u, uint64_t now_ms)
{
    bool needed = !pl_is_settled(c, u) || u->needs_fresh_report;
    /* Without the log this owner cannot know whether it was succeeded, and a
       restarted upstream has lost the fencing token of a successor. */
    if (!needed || !u->engine || !c->log_reachable || u->gone || !u->address ||
        u->fence_out || c->draining || now_ms < u->next_fence_ms) {
        return;
    }
    u->fence_out = true;
    u->fence_sent_ms = now_ms;
    u->next_fence_ms = now_ms + ORDER_RETRY_MS;
    pl_send_order(c, PL_FENCE, u, NULL, NULL);
}

/* ---- reports ------------------------------------------------------------ */

static void
copy_tier(GHashTable *tiers, const char *const *names, int tier)
{
    for (; names && *names; names++) {
        g_hash_table_replace(tiers, g_strdup(*names), GINT_TO_POINTER(tier));
    }
}

static bool
same_residents(const Upstream *u, const PlReport *r)
{
    if (g_hash_table_size(u->residents) != r->resident_count) {
        return false;
    }
    for (size_t i = 0; i < r->resident_count; i++) {
        const Resident *have =
            g_hash_table_lookup(u->residents, r->residents[i].model);
        if (!have || have->state != (r->residents[i].loaded ? 2 : 1)) {
            return false;
        }
    }
    return true;
}

static void
copy_residents(Upstream *u, const PlReport *r)
{
    g_hash_table_remove_all(u->residents);
    for (size_t i = 0; i < r->resident_count; i++) {
        const PlResident *from = &r->residents[i];
        Resident *to = g_new0(Resident, 1);
        to->state = from->loaded ? 2 : 1;
        to->memory_mb = from->memory_mb;
        g_strlcpy(to->load_id, from->load_id, sizeof(to->load_id));
        g_hash_table_replace(u->residents, g_strdup(from->model), to);
    }
}

static void
copy_report(Upstream *u, const PlReport *r)
{
    bool leaving = u->leaving || r->leaving;
    if (leaving != u->leaving || !same_residents(u, r) ||
        u->capacity_mb == 0) {
        u->dirty = true;
    }
    u->seq = r->seq;
    u->capacity_mb = r->capacity_mb;
    u->inflight = r->inflight;
    u->leaving = leaving;
    copy_residents(u, r);
    g_hash_table_remove_all(u->tiers);
    copy_tier(u->tiers, r->disk_tier, 1);
    copy_tier(u->tiers, r->memory_tier, 2);
}

/* Whether no order that could load L can arrive any more, so that a report
   without it is final.  Three kinds of orders could:
   - ours with a worker: order_out;
   - ours of unknown outcome: void once a fencing upstream acknowledged a
     higher number (for a restart see end_previous_boot);
   - those of earlier owners: void on a fencing upstream that was fenced in
     this epoch; on any other only once the fold has them closed. */
static bool
is_absence_final(const PlCore *c, const Load *l)
{
    const Upstream *u = l->at;
    if (l->order_out) {
        return false;
    }
    if (u->fenced) {
        return pl_is_settled(c, u) &&
               (l->unknown == 0 || u->fenced_to > l->order_fence);
    }
    const FoldIntent *in = pl_find_intent(c, u->id, l->model);
    return l->unknown == 0 &&
           (!in || !fold_has_pending_order(in, c->claim_epoch));
}

static void
settle_absent(PlCore *c, Load *l, uint64_t now_ms)
{
    if (!pl_find_intent(c, l->at->id, l->model)) {
        pl_remove_load(l); /* was never recorded */
        return;
    }
    pl_set_phase(l, LOAD_SETTLING, now_ms);
    l->next_try_ms = now_ms + RECORD_RETRY_MS;
    pl_append_settle(c, l->at->id, l->model, l->load_id, SETTLE_ABSENT);
}

static void
note_failure(PlCore *c, const Load *l, uint64_t now_ms)
{
    Model *m = pl_get_model(c, l->model);
    uint32_t shift = MIN(m->failures, 5);
    m->failures++;
    m->next_load_ms = now_ms + MIN(BACKOFF_MIN_MS << shift, BACKOFF_MAX_MS);
    bg_count("placer_load_failures_total", 1);
    bg_log(BG_WARN, "place", "Load of %s on %s failed.", l->model, l->at->id);
}

/* Record that L is loaded and, once no load order of ours for it can still
   arrive, that it is closed: then its absence is final for a successor. */
static void
record_loaded(PlCore *c, Load *l, uint64_t now_ms)
{
    bool closed = !l->order_out && l->unknown == 0;
    bool needed = !l->loaded_recorded || (closed && !l->closed_recorded);
    if (!needed || now_ms < l->next_try_ms || !c->log_reachable ||
        !pl_find_intent(c, l->at->id, l->model)) {
        return;
    }
    l->next_try_ms = now_ms + RECORD_RETRY_MS;
    pl_append_settle(c, l->at->id, l->model, l->load_id,
                     closed ? SETTLE_CLOSED : SETTLE_LOADED);
}

static void
take_present(PlCore *c, Load *l, const Resident *r, uint64_t now_ms)
{
    if (l->unknown > 0 && l->acked == 0 &&
        strcmp(r->load_id, l->load_id) == 0) {
        l->unknown--; /* the order that loaded it */
        l->acked++;
    }
    if (r->state == 1) {
        if (l->phase == LOAD_LINGERING) {
            pl_set_phase(l, LOAD_LOADING, now_ms);
        }
        return;
    }
    if (l->phase != LOAD_LOADED) {
        pl_set_phase(l, LOAD_LOADED, now_ms);
        pl_get_model(c, l->model)->failures = 0;
    }
    record_loaded(c, l, now_ms);
}

void
pl_take_absent(PlCore *c, Load *l, uint64_t now_ms)
{
    Upstream *u = l->at;
    l->seen_absent = true;
    if (l->phase == LOAD_ORDERING) {
        return;
    }
    if (!is_absence_final(c, l)) {
        if (l->phase != LOAD_LINGERING) {
            pl_set_phase(l, LOAD_LINGERING, now_ms);
        }
        l->final_ms = 0;
        u->needs_fresh_report =
            u->needs_fresh_report || (u->fenced && l->unknown > 0);
        return;
    }
    /* Reports lag: one made before the last of its orders arrived proves
       nothing.  For our own orders ack_seq shows this; of an earlier owner's
       we know only that none could arrive after final_ms. */
    if (l->adopted) {
        l->final_ms = l->final_ms ? l->final_ms : now_ms;
        if (u->fresh_ms < l->final_ms) {
            u->needs_fresh_report = true;
            return;
        }
    }
    if (l->phase == LOAD_LOADING) {
        note_failure(c, l, now_ms);
    }
    settle_absent(c, l, now_ms);
}

static void
match_load(PlCore *c, Load *l, uint64_t now_ms)
{
    const Resident *r = g_hash_table_lookup(l->at->residents, l->model);
    if (l->phase == LOAD_RECORDING || l->phase == LOAD_SETTLING ||
        l->phase == LOAD_UNLOADING || l->at->seq <= l->ack_seq) {
        return;
    }
    if (r) {
        take_present(c, l, r, now_ms);
    }
    else {
        pl_take_absent(c, l, now_ms);
    }
}

/* A resident without a record: loaded under a grant by an owner that died
   before the log was reachable again, or left on an upstream that was presumed
   not to exist.  It is counted from now on, and then recorded or unloaded. */
static void
find_resident(PlCore *c, Upstream *u, const char *model, const Resident *r,
              uint64_t now_ms)
{
    if (g_hash_table_contains(u->loads, model)) {
        return;
    }
    Load *l = pl_add_load(u, model, LOAD_RECORDING, now_ms);
    g_strlcpy(l->load_id, r->load_id, sizeof(l->load_id));
    l->memory_mb = r->memory_mb;
    CfgSet *cfg = fold_get_config(c->fold);
    const CfgModel *m = cfg_find_model(cfg, model);
    if (m && l->memory_mb == 0) {
        l->memory_mb = m->memory_mb; /* not in the report */
    }
    cfg_unref(cfg);
    l->boot = g_strdup(u->boot);
    l->found = true;
    l->ack_seq = u->seq;
    bg_count("placer_unrecorded_total", 1);
    bg_log(BG_WARN, "place", "Upstream %s holds %s without a record.", u->id,
           model);
}

static void
find_residents(PlCore *c, Upstream *u, uint64_t now_ms)
{
    GHashTableIter it;
    gpointer name;
    gpointer r;
    g_hash_table_iter_init(&it, u->residents);
    while (g_hash_table_iter_next(&it, &name, &r)) {
        find_resident(c, u, name, r, now_ms);
    }
}

/* Check the boot of a report.  A restarted upstream has lost its replicas, its
   report sequence and its fencing token, and must be fenced again before the
   next order.  Answers may overtake each other: false if this one is of an
   earlier boot, and so to be ignored. */
static bool
note_boot(Upstream *u, const char *boot, uint64_t sent_ms)
{
    if (g_strcmp0(u->boot, boot) == 0) {
        u->boot_ms = MAX(u->boot_ms, sent_ms);
        return true;
    }
    if (u->boot && sent_ms <= u->boot_ms) {
        return false;
    }
    if (u->boot) {
        bg_log(BG_WARN, "place", "Upstream %s was restarted.", u->id);
        u->settled_epoch = 0;
        u->fenced_to = 0;
        u->fresh_ms = 0;
        u->ack_seq = 0;
        u->dirty = true;
    }
    u->seq = 0;
    u->boot_ms = sent_ms;
    g_free(u->boot);
    u->boot = g_strdup(boot);
    return true;
}

/* A load for an earlier boot of the upstream ended with that boot: its orders
   go over connections to that boot only, see check_boot in main_placer.c. */
static void
end_previous_boot(PlCore *c, Load *l, uint64_t now_ms)
{
    if (!l->boot || l->order_out || l->phase == LOAD_SETTLING ||
        strcmp(l->boot, l->at->boot) == 0) {
        return;
    }
    if (l->phase == LOAD_LOADING || l->phase == LOAD_ORDERING) {
        note_failure(c, l, now_ms);
    }
    if (!pl_find_intent(c, l->at->id, l->model)) {
        pl_remove_load(l);
        return;
    }
    pl_set_phase(l, LOAD_SETTLING, now_ms);
    l->ended = true;
    l->next_try_ms = now_ms + RECORD_RETRY_MS;
    pl_append_settle(c, l->at->id, l->model, l->load_id, SETTLE_ENDED);
}

static void
take_report(PlCore *c, Upstream *u, const PlReport *r, uint64_t sent_ms,
            uint64_t now_ms)
{
    if (!note_boot(u, r->boot, sent_ms)) {
        return;
    }
    u->report_ms = now_ms;
    if (r->seq <= u->seq) {
        return; /* older than the last one applied */
    }
    copy_report(u, r);
    if (!c->owner) {
        return;
    }
    g_autoptr(GPtrArray) list = pl_list_loads_at(u);
    for (guint i = 0; i < list->len; i++) {
        end_previous_boot(c, list->pdata[i], now_ms);
    }
    if (!pl_is_settled(c, u)) {
        return;
    }
    g_ptr_array_unref(g_steal_pointer(&list));
    list = pl_list_loads_at(u);
    for (guint i = 0; i < list->len; i++) {
        match_load(c, list->pdata[i], now_ms);
    }
    if (u->seq > u->ack_seq) {
        find_residents(c, u, now_ms);
    }
}

/* ---- answers ------------------------------------------------------------ */

static void
finish_load_order(Load *l, const PlOrderResult *r, uint64_t now_ms)
{
    Upstream *u = l->at;
    l->next_try_ms = now_ms + ORDER_RETRY_MS;
    switch (r->outcome) {
    case PL_ACKED:
        l->acked++;
        l->ack_seq = r->seq;
        if (l->phase == LOAD_ORDERING) {
            pl_set_phase(l, LOAD_LOADING, now_ms);
        }
        break;
    case PL_UNKNOWN:
        /* The same load is ordered again.  It is the same replica on the same
           upstream, so that a second arrival adds none. */
        l->unknown++;
        break;
    case PL_STALE:
        /* Fence again; the fence is refused if a successor has fenced. */
        u->settled_epoch = 0;
        break;
    case PL_BUSY:
        l->next_try_ms = now_ms + REFUSED_RETRY_MS;
        break;
    case PL_NOT_SENT:
        break;
    }
}

static void
finish_unload_order(PlCore *c, Load *l, const PlOrderResult *r,
                    uint64_t now_ms)
{
    l->next_try_ms = now_ms + ORDER_RETRY_MS;
    if (r->outcome == PL_ACKED) {
        l->ack_seq = r->seq;
        if (is_absence_final(c, l) && !l->adopted) {
            settle_absent(c, l, now_ms);
        }
        else {
            pl_set_phase(l, LOAD_LINGERING, now_ms); /* until a report */
        }
    }
    else if (r->outcome == PL_BUSY) {
        pl_set_phase(l, LOAD_LOADED, now_ms);
        l->last_used_ms = now_ms;
        l->next_try_ms = now_ms + REFUSED_RETRY_MS;
    }
    else if (r->outcome == PL_STALE) {
        l->at->settled_epoch = 0;
    }
}

static ClosingEpoch *
find_closing(const PlCore *c, uint64_t epoch)
{
    for (guint i = 0; i < c->closing->len; i++) {
        ClosingEpoch *k = c->closing->pdata[i];
        if (k->epoch == epoch) {
            return k;
        }
    }
    return NULL;
}

/* The answer to an order of an epoch that has ended. */
static void
finish_old_order(PlCore *c, const Upstream *u, const PlOrderResult *r)
{
    ClosingEpoch *k = find_closing(c, r->epoch);
    if (!k || k->orders_out == 0) {
        return;
    }
    k->orders_out--;
    if (r->kind == PL_LOAD && r->outcome == PL_UNKNOWN && !u->fenced) {
        g_ptr_array_add(k->open,
                        g_strconcat(r->upstream, "\n", r->model, NULL));
    }
}

static void
finish_load_call(PlCore *c, Upstream *u, const PlOrderResult *r,
                 uint64_t now_ms)
{
    if (!c->owner || r->epoch != c->claim_epoch) {
        finish_old_order(c, u, r);
        return;
    }
    c->orders_out--;
    Load *l = pl_find_load(c, r->upstream, r->model);
    if (!l || strcmp(l->load_id, r->load_id) != 0) {
        return;
    }
    l->order_out = false;
    if (r->outcome == PL_ACKED) {
        u->ack_seq = MAX(u->ack_seq, r->seq);
    }
    if (r->kind == PL_LOAD) {
        finish_load_order(l, r, now_ms);
    }
    else if (l->phase == LOAD_UNLOADING) {
        finish_unload_order(c, l, r, now_ms);
    }
}

static void
finish_fence(PlCore *c, Upstream *u, const PlOrderResult *r)
{
    if (!c->owner || r->epoch != c->claim_epoch) {
        return;
    }
    u->fence_out = false;
    if (r->outcome == PL_ACKED && r->report) {
        if (!note_boot(u, r->report->boot, u->fence_sent_ms)) {
            return;
        }
        if (!pl_is_settled(c, u)) {
            u->settled_ms = c->now_ms;
            u->confirmed = false;
        }
        u->settled_epoch = c->claim_epoch;
        u->fresh_ms = u->fence_sent_ms;
        u->fenced_to = MAX(u->fenced_to, r->fence);
        u->needs_fresh_report = false;
    }
}

void
pl_on_order_done(PlCore *c, uint64_t now_ms, const PlOrderResult *r)
{
    c->now_ms = now_ms;
    Upstream *u = g_hash_table_lookup(c->upstreams, r->upstream);
    if (!u) {
        return;
    }
    if (r->kind == PL_POLL) {
        u->poll_out = false;
        u->missed_polls = r->report ? 0 : u->missed_polls + 1;
    }
    if (r->kind == PL_FENCE) {
        finish_fence(c, u, r);
    }
    if (r->report) {
        bool fence =
            r->kind == PL_FENCE && c->owner && r->epoch == c->claim_epoch;
        uint64_t sent_ms = r->kind == PL_POLL ? u->poll_sent_ms
                           : fence            ? u->fence_sent_ms
                                              : 0;
        take_report(c, u, r->report, sent_ms, now_ms);
    }
    if (r->kind == PL_LOAD || r->kind == PL_UNLOAD) {
        finish_load_call(c, u, r, now_ms);
    }
}
