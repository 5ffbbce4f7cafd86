#include "pl.h"

#include "rec.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define CLAIM_RETRY_MS 2000
#define RECORD_RETRY_MS 3000
#define ORDER_RETRY_MS 200
#define DEMAND_AGE_MS 3000
#define IDLE_MIN_MS 2000
#define IDLE_MAX_MS (30u * 60 * 1000)
#define GIVE_UP_RETRY_AFTER_MS 2000

typedef enum {
    LOAD_RECORDING, /* intent appended, not yet in effect */
    LOAD_ORDERING,  /* in effect; the upstream has not acknowledged */
    LOAD_LOADING,   /* acknowledged */
    LOAD_LOADED,
    LOAD_UNLOADING, /* unload ordered, not acknowledged */
    LOAD_SETTLING   /* absent; the record is on its way */
} LoadPhase;

static const char *const phase_names[] = {
    "recording", "ordering", "loading", "loaded", "unloading", "settling"};

/* One replica, or what may become one, on one upstream. */
typedef struct {
    char *upstream;
    char *model;
    char load_id[BG_ID_LEN + 1];
    LoadPhase phase;
    uint32_t memory_mb;
    uint64_t phase_ms;    /* when the phase began */
    uint64_t next_try_ms; /* of its order or record */
    bool order_out;       /* an order's answer is awaited */
    uint64_t order_fence; /* highest number a load order carried */
    uint64_t ack_seq;     /* reports above it know of the order */
    bool loaded_recorded;
    uint64_t last_used_ms;
} Load;

typedef struct {
    char *id;
    char *deployment;
    char *address;
    bool fenced;
    bool leaving;
    bool gone;            /* off the list */
    bool dirty;           /* routers do not know its state yet */
    uint32_t capacity_mb; /* 0: no report yet */
    uint32_t inflight;
    uint64_t seq; /* of the newest report taken */
    char *boot;   /* the upstream process that made it */
    uint64_t next_poll_ms;
    bool poll_out;
    uint64_t settled_epoch; /* epoch under which it may be ordered */
    bool fence_out;
    uint64_t next_fence_ms;
    GHashTable *residents; /* model -> GINT: 1 loading, 2 loaded */
    GHashTable *tiers;     /* model -> GINT: 1 disk, 2 memory */
} Upstream;

/* What the routers want of one model, and how it was used. */
typedef struct {
    char *name;
    GHashTable *routers; /* node -> Want */
    uint64_t last_used_ms;
    uint64_t refused_ms;
    bool was_full; /* could not be placed at the last try */
} Model;

typedef struct {
    uint32_t waiting;
    uint64_t deadline_ms;
    uint32_t priority;
    uint32_t inflight;
    uint64_t seen_ms;
} RouterWant;

struct PlCore {
    PlParams params;
    const Fold *fold;
    PlOutput out;
    BgRandom rng;
    GHashTable *upstreams; /* id -> Upstream */
    GHashTable *loads;     /* "upstream\nmodel" -> Load */
    GHashTable *models;    /* name -> Model */
    GHashTable *beats;     /* node -> uint64_t last heard */
    bool log_reachable;
    bool caught_up;
    bool draining;
    uint64_t claim_tried_ms;
    uint64_t claim_seen_ms; /* when the claim in force was first seen */
    uint64_t claim_epoch;
    uint64_t residency_seq;
    bool owner;
};

/* ---- life --------------------------------------------------------------- */

static void
free_load(gpointer p)
{
    Load *l = p;
    g_free(l->upstream);
    g_free(l->model);
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

PlCore *
pl_create(const PlParams *params, const Fold *fold, const PlOutput *out)
{
    PlCore *c = g_new0(PlCore, 1);
    c->params = *params;
    c->params.node = g_strdup(params->node);
    c->params.data_centre = g_strdup(params->data_centre);
    c->fold = fold;
    c->out = *out;
    bg_seed_random(&c->rng, params->seed);
    c->upstreams =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_upstream);
    c->loads =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_load);
    c->models =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_model);
    c->beats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return c;
}

void
pl_destroy(PlCore *c)
{
    if (!c) {
        return;
    }
    g_hash_table_destroy(c->loads);
    g_hash_table_destroy(c->upstreams);
    g_hash_table_destroy(c->models);
    g_hash_table_destroy(c->beats);
    g_free((char *)c->params.node);
    g_free((char *)c->params.data_centre);
    g_free(c);
}

/* ---- look-ups ----------------------------------------------------------- */

static char *
join_pair(const char *upstream, const char *model)
{
    return g_strconcat(upstream, "\n", model, NULL);
}

static Load *
find_load(const PlCore *c, const char *upstream, const char *model)
{
    g_autofree char *pair = join_pair(upstream, model);
    return g_hash_table_lookup(c->loads, pair);
}

static Load *
add_load(PlCore *c, const char *upstream, const char *model, LoadPhase phase,
         uint64_t now_ms)
{
    Load *l = g_new0(Load, 1);
    l->upstream = g_strdup(upstream);
    l->model = g_strdup(model);
    l->phase = phase;
    l->phase_ms = now_ms;
    l->last_used_ms = now_ms;
    g_hash_table_replace(c->loads, join_pair(upstream, model), l);
    return l;
}

static void
remove_load(PlCore *c, const Load *l)
{
    g_autofree char *pair = join_pair(l->upstream, l->model);
    g_hash_table_remove(c->loads, pair);
}

static void
set_phase(Load *l, LoadPhase phase, uint64_t now_ms)
{
    l->phase = phase;
    l->phase_ms = now_ms;
    l->next_try_ms = now_ms;
}

static Model *
get_model(PlCore *c, const char *name)
{
    Model *m = g_hash_table_lookup(c->models, name);
    if (!m) {
        m = g_new0(Model, 1);
        m->name = g_strdup(name);
        m->routers =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(c->models, m->name, m);
    }
    return m;
}

bool
pl_is_owner(const PlCore *c)
{
    return c->owner;
}

/* Whether U may be given orders under the claim in force. */
static bool
is_settled(const PlCore *c, const Upstream *u)
{
    return u->settled_epoch == c->claim_epoch && u->settled_epoch > 0;
}

/* ---- records ------------------------------------------------------------ */

static void
append_claim(PlCore *c, uint64_t base)
{
    Bg__ClaimRecord r = BG__CLAIM_RECORD__INIT;
    r.data_centre = (char *)c->params.data_centre;
    r.holder = (char *)c->params.node;
    r.base_epoch = base;
    Bg__Record rec = BG__RECORD__INIT;
    rec.body_case = BG__RECORD__BODY_CLAIM;
    rec.claim = &r;
    c->out.append(c->out.ctx, rec_copy(&rec));
}

static void
append_intent(PlCore *c, const Upstream *u, const CfgModel *m, const Load *l)
{
    Bg__IntentRecord r = BG__INTENT_RECORD__INIT;
    r.data_centre = (char *)c->params.data_centre;
    r.epoch = c->claim_epoch;
    r.upstream = u->id;
    r.model = m->name;
    r.memory_mb = m->memory_mb;
    r.capacity_mb = u->capacity_mb;
    r.load_id = (char *)l->load_id;
    r.ceiling = m->replicas;
    r.fenced = u->fenced;
    r.adapter = m->base != NULL;
    Bg__Record rec = BG__RECORD__INIT;
    rec.body_case = BG__RECORD__BODY_INTENT;
    rec.intent = &r;
    c->out.append(c->out.ctx, rec_copy(&rec));
}

static void
append_settle(PlCore *c, const char *upstream, const char *model,
              const char *load_id, bool loaded)
{
    Bg__SettleRecord r = BG__SETTLE_RECORD__INIT;
    r.data_centre = (char *)c->params.data_centre;
    r.epoch = c->claim_epoch;
    r.upstream = (char *)upstream;
    r.model = (char *)model;
    r.load_id = (char *)load_id;
    r.loaded = loaded;
    Bg__Record rec = BG__RECORD__INIT;
    rec.body_case = BG__RECORD__BODY_SETTLE;
    rec.settle = &r;
    c->out.append(c->out.ctx, rec_copy(&rec));
}

static void
append_quiesce(PlCore *c, uint64_t epoch)
{
    Bg__QuiesceRecord r = BG__QUIESCE_RECORD__INIT;
    r.data_centre = (char *)c->params.data_centre;
    r.epoch = epoch;
    r.holder = (char *)c->params.node;
    Bg__Record rec = BG__RECORD__INIT;
    rec.body_case = BG__RECORD__BODY_QUIESCE;
    rec.quiesce = &r;
    c->out.append(c->out.ctx, rec_copy(&rec));
}

/* ---- ownership ---------------------------------------------------------- */

static bool
is_heard(const PlCore *c, const char *node, uint64_t now_ms)
{
    const uint64_t *beat = g_hash_table_lookup(c->beats, node);
    uint64_t since_ms =
        beat && *beat > c->claim_seen_ms ? *beat : c->claim_seen_ms;
    return now_ms - since_ms < c->params.lease_ms;
}

/* Claim the data centre when nobody holds it or its holder fell silent.
   Silence only starts the race; the log decides it, and the fencing number
   and the recorded intents keep a holder that was merely paused harmless. */
static void
consider_claim(PlCore *c, uint64_t now_ms)
{
    if (!c->log_reachable || !c->caught_up || c->draining || c->owner ||
        now_ms - c->claim_tried_ms < CLAIM_RETRY_MS) {
        return;
    }
    const FoldClaim *claim = fold_find_claim(c->fold, c->params.data_centre);
    if (claim && is_heard(c, claim->holder, now_ms)) {
        return;
    }
    c->claim_tried_ms = now_ms;
    append_claim(c, claim ? claim->epoch : 0);
}

static void
forget_loads(PlCore *c)
{
    g_hash_table_remove_all(c->loads);
}

/* Take up an intent of the log, whoever recorded it. */
static void
adopt_intent(void *ctx, const FoldIntent *in)
{
    PlCore *c = ctx;
    if (find_load(c, in->upstream, in->model)) {
        return;
    }
    Load *l = add_load(c, in->upstream, in->model,
                       in->loaded ? LOAD_LOADED : LOAD_LOADING, 0);
    g_strlcpy(l->load_id, in->load_id, sizeof(l->load_id));
    l->memory_mb = in->memory_mb;
    l->loaded_recorded = in->loaded;
    /* Its order's fate is unknown: reports settle it, see take_report. */
    l->ack_seq = UINT64_MAX;
}

static void
become_owner(PlCore *c, uint64_t epoch, uint64_t now_ms)
{
    c->owner = true;
    c->claim_epoch = epoch;
    forget_loads(c);
    fold_visit_intents(c->fold, c->params.data_centre, adopt_intent, c);
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->loads);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        ((Load *)p)->last_used_ms = now_ms;
    }
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        ((Upstream *)p)->dirty = true;
    }
    bg_log(BG_INFO, "place", "Owner of %s under epoch %llu.",
           c->params.data_centre, (unsigned long long)epoch);
}

static void
step_down(PlCore *c)
{
    bg_log(BG_WARN, "place", "No longer owner of %s.", c->params.data_centre);
    c->owner = false;
    /* Nothing is sent from here on under the old epoch; orders already
       handed to a worker are answered or closed before this runs dry. */
    if (pl_is_idle(c)) {
        append_quiesce(c, c->claim_epoch);
    }
    forget_loads(c);
}

static void
note_claim(PlCore *c, uint64_t now_ms)
{
    const FoldClaim *claim = fold_find_claim(c->fold, c->params.data_centre);
    if (!claim || claim->epoch == c->claim_epoch) {
        return;
    }
    bool own = strcmp(claim->holder, c->params.node) == 0;
    if (c->owner) {
        step_down(c);
    }
    c->claim_seen_ms = now_ms;
    c->claim_epoch = claim->epoch;
    if (own) {
        become_owner(c, claim->epoch, now_ms);
    }
}

/* ---- orders ------------------------------------------------------------- */

/* The fencing number of an order is the log's offset as this owner knows
   it.  A successor's claim has a higher offset than any that this owner
   saw while it held the claim, and a later order of this owner outranks
   its earlier ones, so an order that was stuck on the way is refused. */
static uint64_t
get_fence(const PlCore *c)
{
    return fold_get_offset(c->fold);
}

static void
send_order(PlCore *c, PlOrderKind kind, const Upstream *u, const CfgModel *m,
           Load *l)
{
    PlOrder o = {.kind = kind,
                 .upstream = u->id,
                 .address = u->address,
                 .fence = get_fence(c)};
    if (l) {
        o.model = l->model;
        o.load_id = l->load_id;
        o.memory_mb = l->memory_mb;
        o.base = m ? m->base : NULL;
        o.load_ms = m ? m->load_ms : 0;
        l->order_out = true;
        if (kind == PL_LOAD) {
            l->order_fence = o.fence;
        }
    }
    c->out.order(c->out.ctx, &o);
}

static void
poll_upstream(PlCore *c, Upstream *u, uint64_t now_ms)
{
    if (u->poll_out || now_ms < u->next_poll_ms || u->gone) {
        return;
    }
    u->poll_out = true;
    u->next_poll_ms = now_ms + c->params.poll_ms;
    send_order(c, PL_POLL, u, NULL, NULL);
}

/* Before the first order of an epoch: raise a fencing upstream's number,
   so that nothing of an older epoch is taken after the answer.  The answer
   carries a report made after the raise.  An upstream that ignores numbers
   is usable at once, since every order that may still arrive is recorded
   and stays counted. */
static void
settle_upstream(PlCore *c, Upstream *u, uint64_t now_ms)
{
    if (is_settled(c, u) || u->gone || !u->capacity_mb) {
        return;
    }
    if (!u->fenced) {
        u->settled_epoch = c->claim_epoch;
        return;
    }
    if (!u->fence_out && now_ms >= u->next_fence_ms) {
        u->fence_out = true;
        u->next_fence_ms = now_ms + ORDER_RETRY_MS;
        send_order(c, PL_FENCE, u, NULL, NULL);
    }
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
        int have = GPOINTER_TO_INT(
            g_hash_table_lookup(u->residents, r->residents[i].model));
        if (have != (r->residents[i].loaded ? 2 : 1)) {
            return false;
        }
    }
    return true;
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
    g_hash_table_remove_all(u->residents);
    for (size_t i = 0; i < r->resident_count; i++) {
        g_hash_table_replace(u->residents, g_strdup(r->residents[i].model),
                             GINT_TO_POINTER(r->residents[i].loaded ? 2 : 1));
    }
    g_hash_table_remove_all(u->tiers);
    copy_tier(u->tiers, r->disk_tier, 1);
    copy_tier(u->tiers, r->memory_tier, 2);
}

/* Whether a report that lacks the model proves that no order of an older
   epoch can still bring it. */
static bool
is_absence_final(const PlCore *c, const Upstream *u, const Load *l)
{
    if (u->fenced) {
        return is_settled(c, u);
    }
    const FoldIntent *in = fold_find_intent(c->fold, c->params.data_centre,
                                            l->upstream, l->model);
    return in && (in->epoch == c->claim_epoch ||
                  fold_is_quiesced(c->fold, c->params.data_centre, in->epoch));
}

static void
settle_absent(PlCore *c, Load *l, uint64_t now_ms)
{
    set_phase(l, LOAD_SETTLING, now_ms);
    l->next_try_ms = now_ms + RECORD_RETRY_MS;
    append_settle(c, l->upstream, l->model, l->load_id, false);
}

static void
match_load(PlCore *c, Upstream *u, Load *l, uint64_t now_ms)
{
    int state = GPOINTER_TO_INT(g_hash_table_lookup(u->residents, l->model));
    if (l->phase == LOAD_RECORDING || l->phase == LOAD_SETTLING ||
        l->phase == LOAD_UNLOADING) {
        return;
    }
    if (state == 2) {
        if (l->phase != LOAD_LOADED) {
            set_phase(l, LOAD_LOADED, now_ms);
        }
        if (!l->loaded_recorded && now_ms >= l->next_try_ms) {
            l->next_try_ms = now_ms + RECORD_RETRY_MS;
            append_settle(c, l->upstream, l->model, l->load_id, true);
        }
        return;
    }
    if (state == 1) {
        return;
    }
    /* Absent.  Reports lag: one that is older than the order's
       acknowledgement says nothing about it. */
    bool newer = l->ack_seq != UINT64_MAX && u->seq > l->ack_seq;
    bool adopted = l->ack_seq == UINT64_MAX;
    if ((newer || adopted) && l->phase != LOAD_ORDERING &&
        is_absence_final(c, u, l)) {
        settle_absent(c, l, now_ms);
    }
}

static GPtrArray *
list_loads(const PlCore *c, const char *upstream)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->loads);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        if (!upstream || strcmp(((Load *)p)->upstream, upstream) == 0) {
            g_ptr_array_add(list, p);
        }
    }
    return list;
}

/* A restarted upstream has lost its replicas, its count of reports and the
   fencing number it was raised to: what was acknowledged before counts for
   nothing, and it must be fenced again before the next order. */
static void
note_boot(PlCore *c, Upstream *u, const char *boot)
{
    if (g_strcmp0(u->boot, boot) == 0) {
        return;
    }
    if (u->boot) {
        bg_log(BG_WARN, "place", "Upstream %s was restarted.", u->id);
        u->settled_epoch = 0;
        g_autoptr(GPtrArray) list = list_loads(c, u->id);
        for (guint i = 0; i < list->len; i++) {
            Load *l = list->pdata[i];
            l->ack_seq = l->ack_seq == UINT64_MAX ? UINT64_MAX : 0;
        }
    }
    u->seq = 0;
    g_free(u->boot);
    u->boot = g_strdup(boot);
}

static void
take_report(PlCore *c, Upstream *u, const PlReport *r, uint64_t now_ms)
{
    note_boot(c, u, r->boot);
    if (r->seq <= u->seq) {
        return; /* older than what is known */
    }
    copy_report(u, r);
    if (!c->owner || !is_settled(c, u)) {
        return;
    }
    g_autoptr(GPtrArray) list = list_loads(c, u->id);
    for (guint i = 0; i < list->len; i++) {
        match_load(c, u, list->pdata[i], now_ms);
    }
}

static void
finish_load_order(PlCore *c, Load *l, const PlOrderResult *r, uint64_t now_ms)
{
    if (r->end == PL_ACKED) {
        l->ack_seq = r->seq;
        if (l->phase == LOAD_ORDERING) {
            set_phase(l, LOAD_LOADING, now_ms);
        }
        return;
    }
    /* Refused, lost or unknown: the same load is ordered again.  It is the
       same replica on the same upstream, so a second arrival adds none. */
    (void)c;
    l->next_try_ms = now_ms + ORDER_RETRY_MS;
}

static void
finish_unload_order(PlCore *c, Load *l, const PlOrderResult *r,
                    uint64_t now_ms)
{
    if (r->end == PL_ACKED) {
        settle_absent(c, l, now_ms);
    }
    else if (r->end == PL_BUSY) {
        set_phase(l, LOAD_LOADED, now_ms);
        l->last_used_ms = now_ms;
    }
    else {
        l->next_try_ms = now_ms + ORDER_RETRY_MS;
    }
}

void
pl_on_order_done(PlCore *c, uint64_t now_ms, const PlOrderResult *r)
{
    Upstream *u = g_hash_table_lookup(c->upstreams, r->upstream);
    if (!u) {
        return;
    }
    if (r->kind == PL_POLL) {
        u->poll_out = false;
    }
    if (r->kind == PL_FENCE) {
        u->fence_out = false;
        if (r->end == PL_ACKED && c->owner && r->fence >= c->claim_epoch) {
            u->settled_epoch = c->claim_epoch;
        }
    }
    if (r->report) {
        take_report(c, u, r->report, now_ms);
    }
    if (r->kind != PL_LOAD && r->kind != PL_UNLOAD) {
        return;
    }
    Load *l = find_load(c, r->upstream, r->model);
    if (!l || strcmp(l->load_id, r->load_id) != 0) {
        return; /* of an earlier ownership */
    }
    l->order_out = false;
    if (r->kind == PL_LOAD) {
        finish_load_order(c, l, r, now_ms);
    }
    else if (l->phase == LOAD_UNLOADING) {
        finish_unload_order(c, l, r, now_ms);
    }
}

/* ---- choice ------------------------------------------------------------- */

/* Memory that U must be taken to use: what the log counts and what waits
   to be recorded. */
static uint32_t
count_memory(const PlCore *c, const Upstream *u)
{
    uint32_t mb = fold_count_memory(c->fold, c->params.data_centre, u->id);
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->loads);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Load *l = p;
        if (l->phase == LOAD_RECORDING && strcmp(l->upstream, u->id) == 0) {
            mb += l->memory_mb;
        }
    }
    return mb;
}

typedef struct {
    uint32_t counted; /* replicas, loaded or on the way */
    uint32_t coming;  /* of these, not loaded yet */
} Replicas;

static Replicas
count_replicas(const PlCore *c, const char *model)
{
    Replicas n = {fold_count_replicas(c->fold, c->params.data_centre, model),
                  0};
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->loads);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Load *l = p;
        if (strcmp(l->model, model) != 0) {
            continue;
        }
        n.counted += l->phase == LOAD_RECORDING;
        n.coming += l->phase < LOAD_LOADED;
    }
    return n;
}

static uint32_t
count_running_loads(const PlCore *c)
{
    uint32_t n = 0;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->loads);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        n += ((Load *)p)->phase < LOAD_LOADED;
    }
    return n;
}

static bool
is_base_loaded(const PlCore *c, const Upstream *u, const char *base)
{
    const Load *l = find_load(c, u->id, base);
    return l && l->phase == LOAD_LOADED && l->loaded_recorded;
}

static bool
can_take(const PlCore *c, const Upstream *u, const CfgModel *m)
{
    return !u->gone && !u->leaving && is_settled(c, u) &&
           strcmp(u->deployment, m->upstreams) == 0 &&
           !find_load(c, u->id, m->name) &&
           (!m->base || is_base_loaded(c, u, m->base));
}

/* Higher is better: nearest checkpoint first, then free memory. */
static int64_t
score_upstream(const PlCore *c, const Upstream *u, const CfgModel *m)
{
    int tier = GPOINTER_TO_INT(g_hash_table_lookup(u->tiers, m->name));
    int64_t free_mb = (int64_t)u->capacity_mb - count_memory(c, u);
    return ((int64_t)tier << 40) + (free_mb << 8) -
           (int64_t)MIN(u->inflight, 255);
}

/* The best upstream for M that has room (or, with ANY_ROOM, could have);
   NULL when there is none. */
static Upstream *
choose_upstream(PlCore *c, const CfgModel *m, bool any_room)
{
    Upstream *best = NULL;
    int64_t best_score = INT64_MIN;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Upstream *u = p;
        if (!can_take(c, u, m) || m->memory_mb > u->capacity_mb) {
            continue;
        }
        if (!any_room && count_memory(c, u) + m->memory_mb > u->capacity_mb) {
            continue;
        }
        int64_t score = score_upstream(c, u, m);
        if (!best || score > best_score ||
            (score == best_score && strcmp(u->id, best->id) < 0)) {
            best = u;
            best_score = score;
        }
    }
    return best;
}

static void
start_load(PlCore *c, Upstream *u, const CfgModel *m, uint64_t now_ms)
{
    Load *l = add_load(c, u->id, m->name, LOAD_RECORDING, now_ms);
    bg_make_id(l->load_id);
    l->memory_mb = m->memory_mb;
    l->next_try_ms = now_ms + RECORD_RETRY_MS;
    append_intent(c, u, m, l);
    bg_count("placer_intents_total", 1);
}

/* ---- demand ------------------------------------------------------------- */

typedef struct {
    uint32_t waiting;
    uint32_t inflight;
    uint64_t deadline_ms; /* earliest */
    uint32_t priority;    /* highest */
} Demand;

static Demand
merge_demand(const Model *m, uint64_t now_ms)
{
    Demand d = {0, 0, UINT64_MAX, 0};
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, m->routers);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const RouterWant *w = p;
        if (now_ms - w->seen_ms > DEMAND_AGE_MS) {
            continue;
        }
        d.waiting += w->waiting;
        d.inflight += w->inflight;
        if (w->waiting) {
            d.deadline_ms = MIN(d.deadline_ms, w->deadline_ms);
            d.priority = MAX(d.priority, w->priority);
        }
    }
    return d;
}

static RouterWant *
get_router_want(Model *m, const char *node)
{
    RouterWant *w = g_hash_table_lookup(m->routers, node);
    if (!w) {
        w = g_new0(RouterWant, 1);
        g_hash_table_insert(m->routers, g_strdup(node), w);
    }
    return w;
}

void
pl_on_demand(PlCore *c, uint64_t now_ms, const char *from, const Bg__Demand *d)
{
    GHashTableIter it;
    gpointer p;
    /* Each message carries all wants of its router: what it leaves out is
       wanted no more. */
    g_hash_table_iter_init(&it, c->models);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        RouterWant *w = g_hash_table_lookup(((Model *)p)->routers, from);
        if (w) {
            w->waiting = 0;
            w->inflight = 0;
        }
    }
    for (size_t i = 0; i < d->n_wants; i++) {
        Model *m = get_model(c, d->wants[i]->model);
        RouterWant *w = get_router_want(m, from);
        w->waiting = d->wants[i]->waiting;
        w->deadline_ms = now_ms + d->wants[i]->slack_ms;
        w->priority = d->wants[i]->priority;
        w->seen_ms = now_ms;
        m->last_used_ms = now_ms;
    }
    for (size_t i = 0; i < d->n_usage; i++) {
        Model *m = get_model(c, d->usage[i]->model);
        RouterWant *w = get_router_want(m, from);
        w->inflight = d->usage[i]->inflight;
        w->seen_ms = now_ms;
        m->last_used_ms = now_ms;
    }
}

/* ---- decisions ---------------------------------------------------------- */

typedef struct {
    const CfgModel *cfg;
    Model *model;
    Demand demand;
} Wanted;

static int
compare_wanted(gconstpointer a, gconstpointer b)
{
    const Wanted *x = a;
    const Wanted *y = b;
    if (x->demand.priority != y->demand.priority) {
        return x->demand.priority > y->demand.priority ? -1 : 1;
    }
    if (x->demand.deadline_ms != y->demand.deadline_ms) {
        return x->demand.deadline_ms < y->demand.deadline_ms ? -1 : 1;
    }
    if (x->cfg->memory_mb != y->cfg->memory_mb) {
        return x->cfg->memory_mb < y->cfg->memory_mb ? -1 : 1;
    }
    return strcmp(x->cfg->name, y->cfg->name);
}

static GArray *
list_wanted(PlCore *c, const CfgSet *cfg, uint64_t now_ms)
{
    GArray *list = g_array_new(FALSE, TRUE, sizeof(Wanted));
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->models);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Model *m = p;
        Wanted w = {cfg_find_model(cfg, m->name), m, merge_demand(m, now_ms)};
        if (w.cfg && w.demand.waiting > 0) {
            g_array_append_val(list, w);
        }
    }
    g_array_sort(list, compare_wanted);
    return list;
}

static bool
is_adapter_base(const PlCore *c, const CfgSet *cfg, const Load *l)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->loads);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Load *other = p;
        const CfgModel *m = cfg_find_model(cfg, other->model);
        if (strcmp(other->upstream, l->upstream) == 0 && m && m->base &&
            strcmp(m->base, l->model) == 0) {
            return true;
        }
    }
    return false;
}

/* A replica that may be dropped: loaded, recorded so, with no request
   waiting or in flight for its model, and no adapter on it. */
static bool
is_droppable(PlCore *c, const CfgSet *cfg, const Load *l, uint64_t now_ms)
{
    if (l->phase != LOAD_LOADED || !l->loaded_recorded) {
        return false;
    }
    Demand d = merge_demand(get_model(c, l->model), now_ms);
    return d.waiting == 0 && d.inflight == 0 && !is_adapter_base(c, cfg, l);
}

static uint64_t
get_last_use(PlCore *c, const Load *l)
{
    return MAX(l->last_used_ms, get_model(c, l->model)->last_used_ms);
}

static void
start_unload(PlCore *c, Load *l, uint64_t now_ms)
{
    set_phase(l, LOAD_UNLOADING, now_ms);
    Upstream *u = g_hash_table_lookup(c->upstreams, l->upstream);
    if (u) {
        u->dirty = true; /* routers stop sending to it */
    }
}

/* Drop the longest unused replica on U; true when one is on its way. */
static bool
evict_one(PlCore *c, const CfgSet *cfg, Upstream *u, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list = list_loads(c, u->id);
    Load *oldest = NULL;
    for (guint i = 0; i < list->len; i++) {
        Load *l = list->pdata[i];
        if (l->phase == LOAD_UNLOADING || l->phase == LOAD_SETTLING) {
            return true;
        }
        if (is_droppable(c, cfg, l, now_ms) &&
            (!oldest || get_last_use(c, l) < get_last_use(c, oldest))) {
            oldest = l;
        }
    }
    if (oldest) {
        start_unload(c, oldest, now_ms);
    }
    return oldest != NULL;
}

static void
refuse_want(PlCore *c, Wanted *w, uint64_t now_ms)
{
    if (now_ms - w->model->refused_ms < ORDER_RETRY_MS) {
        return;
    }
    w->model->refused_ms = now_ms;
    c->out.refuse(c->out.ctx, w->cfg->name, GIVE_UP_RETRY_AFTER_MS,
                  "no room for the model");
}

static void
place_wanted(PlCore *c, const CfgSet *cfg, Wanted *w, uint64_t now_ms)
{
    Replicas n = count_replicas(c, w->cfg->name);
    uint32_t asked =
        1 + (w->demand.waiting - 1) / MAX(c->params.per_replica, 1);
    if (n.counted >= MIN(asked, w->cfg->replicas)) {
        return;
    }
    if (!w->cfg->base && count_running_loads(c) >= c->params.max_loads) {
        return;
    }
    Upstream *u = choose_upstream(c, w->cfg, false);
    if (u) {
        start_load(c, u, w->cfg, now_ms);
        return;
    }
    u = choose_upstream(c, w->cfg, true);
    bool coming = u && evict_one(c, cfg, u, now_ms);
    if (!coming && n.counted == 0 && u) {
        refuse_want(c, w, now_ms);
    }
}

/* An adapter needs its base first. */
static void
want_base(PlCore *c, const CfgSet *cfg, Wanted *w, uint64_t now_ms)
{
    Wanted base = *w;
    base.cfg = cfg_find_model(cfg, w->cfg->base);
    base.model = get_model(c, w->cfg->base);
    base.model->last_used_ms = now_ms;
    if (base.cfg) {
        place_wanted(c, cfg, &base, now_ms);
    }
}

/* How long an unused replica stays: the ski-rental point, where idling has
   cost as much as one more cold start would. */
static uint64_t
get_keep_ms(const CfgModel *m)
{
    double hours = m->cold_second_cost * ((double)m->load_ms / 1000.0) /
                   MAX(m->idle_hour_cost, 0.001);
    double keep_ms = hours * 3600.0 * 1000.0;
    return (uint64_t)CLAMP(keep_ms, IDLE_MIN_MS, IDLE_MAX_MS);
}

static void
release_idle(PlCore *c, const CfgSet *cfg, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list = list_loads(c, NULL);
    for (guint i = 0; i < list->len; i++) {
        Load *l = list->pdata[i];
        const CfgModel *m = cfg_find_model(cfg, l->model);
        uint64_t keep_ms = m ? get_keep_ms(m) : 0;
        if (now_ms - get_last_use(c, l) > keep_ms &&
            is_droppable(c, cfg, l, now_ms)) {
            start_unload(c, l, now_ms);
            bg_count("placer_idle_releases_total", 1);
        }
    }
}

/* Order or record again what was not answered. */
static void
push_load(PlCore *c, const CfgSet *cfg, Load *l, uint64_t now_ms)
{
    Upstream *u = g_hash_table_lookup(c->upstreams, l->upstream);
    if (!u || l->order_out || now_ms < l->next_try_ms || !is_settled(c, u)) {
        return;
    }
    const CfgModel *m = cfg_find_model(cfg, l->model);
    l->next_try_ms = now_ms + ORDER_RETRY_MS;
    switch (l->phase) {
    case LOAD_ORDERING:
        send_order(c, PL_LOAD, u, m, l);
        break;
    case LOAD_UNLOADING:
        send_order(c, PL_UNLOAD, u, m, l);
        break;
    case LOAD_SETTLING:
        l->next_try_ms = now_ms + RECORD_RETRY_MS;
        append_settle(c, l->upstream, l->model, l->load_id, false);
        break;
    default:
        break;
    }
}

static void
decide(PlCore *c, uint64_t now_ms)
{
    if (!c->owner || c->draining) {
        return;
    }
    CfgSet *cfg = fold_get_config(c->fold);
    g_autoptr(GArray) wanted = list_wanted(c, cfg, now_ms);
    for (guint i = 0; i < wanted->len; i++) {
        Wanted *w = &g_array_index(wanted, Wanted, i);
        if (w->cfg->base) {
            want_base(c, cfg, w, now_ms);
        }
        place_wanted(c, cfg, w, now_ms);
    }
    release_idle(c, cfg, now_ms);
    g_autoptr(GPtrArray) list = list_loads(c, NULL);
    for (guint i = 0; i < list->len; i++) {
        push_load(c, cfg, list->pdata[i], now_ms);
    }
    cfg_unref(cfg);
}

/* ---- events ------------------------------------------------------------- */

void
pl_on_tick(PlCore *c, uint64_t now_ms)
{
    note_claim(c, now_ms);
    consider_claim(c, now_ms);
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (c->owner && g_hash_table_iter_next(&it, NULL, &p)) {
        poll_upstream(c, p, now_ms);
        settle_upstream(c, p, now_ms);
    }
    decide(c, now_ms);
}

static void
take_vm(PlCore *c, const CfgSet *cfg, const PlVm *vm)
{
    Upstream *u = g_hash_table_lookup(c->upstreams, vm->id);
    if (!u) {
        u = g_new0(Upstream, 1);
        u->id = g_strdup(vm->id);
        u->deployment = g_strdup(vm->deployment);
        u->residents =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        u->tiers =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        u->dirty = true;
        g_hash_table_insert(c->upstreams, u->id, u);
    }
    if (g_strcmp0(u->address, vm->address) != 0) {
        /* An id that is back under another address is a new upstream. */
        g_free(u->address);
        u->address = g_strdup(vm->address);
        u->leaving = false;
        u->dirty = true;
    }
    const CfgUpstreams *group = cfg_find_upstreams(cfg, vm->deployment);
    u->fenced = group && group->fenced;
    /* A list that lags may still call a leaver live: leaving is one-way
       for an id. */
    if ((vm->leaving && !u->leaving) || u->gone) {
        u->dirty = true;
    }
    u->leaving = u->leaving || vm->leaving;
    u->gone = false;
}

void
pl_on_vms(PlCore *c, uint64_t now_ms, const PlVm *vms, size_t count)
{
    (void)now_ms;
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
            u->dirty = true;
        }
    }
    cfg_unref(cfg);
}

static bool
is_own_intent(const PlCore *c, const Bg__IntentRecord *r)
{
    return c->owner && strcmp(r->data_centre, c->params.data_centre) == 0 &&
           r->epoch == c->claim_epoch;
}

static void
take_intent(PlCore *c, uint64_t now_ms, const Bg__IntentRecord *r,
            FoldResult result)
{
    Load *l = find_load(c, r->upstream, r->model);
    if (!is_own_intent(c, r) || !l || strcmp(l->load_id, r->load_id) != 0 ||
        l->phase != LOAD_RECORDING) {
        return;
    }
    if (result == FOLD_WON) {
        set_phase(l, LOAD_ORDERING, now_ms);
    }
    else {
        bg_count("placer_intents_lost_total", 1);
        remove_load(c, l);
    }
}

static void
take_settle(PlCore *c, const Bg__SettleRecord *r, FoldResult result)
{
    Load *l = find_load(c, r->upstream, r->model);
    if (!l || strcmp(r->data_centre, c->params.data_centre) != 0 ||
        strcmp(l->load_id, r->load_id) != 0 || result != FOLD_WON) {
        return;
    }
    if (r->loaded) {
        l->loaded_recorded = true;
    }
    else {
        remove_load(c, l);
    }
}

void
pl_on_record(PlCore *c, uint64_t now_ms, uint64_t offset, const Bg__Record *r,
             FoldResult result)
{
    (void)offset;
    switch (r->body_case) {
    case BG__RECORD__BODY_CLAIM:
        note_claim(c, now_ms);
        break;
    case BG__RECORD__BODY_INTENT:
        take_intent(c, now_ms, r->intent, result);
        break;
    case BG__RECORD__BODY_SETTLE:
        take_settle(c, r->settle, result);
        break;
    default:
        break;
    }
}

void
pl_on_beat(PlCore *c, uint64_t now_ms, const char *node, bool owner)
{
    (void)owner;
    uint64_t *beat = g_new(uint64_t, 1);
    *beat = now_ms;
    g_hash_table_replace(c->beats, g_strdup(node), beat);
}

void
pl_on_log(PlCore *c, uint64_t now_ms, bool reachable, bool caught_up)
{
    (void)now_ms;
    c->log_reachable = reachable;
    c->caught_up = caught_up;
}

void
pl_on_drain(PlCore *c, uint64_t now_ms)
{
    (void)now_ms;
    c->draining = true;
}

bool
pl_is_idle(const PlCore *c)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->loads);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Load *l = p;
        if (l->order_out || l->phase == LOAD_RECORDING) {
            return false;
        }
    }
    return true;
}

/* ---- state -------------------------------------------------------------- */

static Bg__UpstreamState *
make_state(const PlCore *c, const Upstream *u)
{
    Bg__UpstreamState *s = g_new(Bg__UpstreamState, 1);
    bg__upstream_state__init(s);
    s->upstream = g_strdup(u->id);
    s->deployment = g_strdup(u->deployment);
    s->data_centre = g_strdup(c->params.data_centre);
    s->address = g_strdup(u->address);
    s->leaving = u->leaving;
    s->gone = u->gone;
    s->known = c->owner && u->boot != NULL;
    s->reported_inflight = u->inflight;
    s->residents = g_new0(Bg__Resident *, g_hash_table_size(u->residents) + 1);
    GHashTableIter it;
    gpointer name;
    gpointer state;
    g_hash_table_iter_init(&it, u->residents);
    while (g_hash_table_iter_next(&it, &name, &state)) {
        const Load *l = find_load(c, u->id, name);
        /* A replica about to be dropped takes no new work. */
        if (l && l->phase >= LOAD_UNLOADING) {
            continue;
        }
        Bg__Resident *r = g_new(Bg__Resident, 1);
        bg__resident__init(r);
        r->model = g_strdup(name);
        r->loading = GPOINTER_TO_INT(state) == 1;
        s->residents[s->n_residents++] = r;
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
        if (full || u->dirty) {
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

char *
pl_dump(const PlCore *c)
{
    json_t *loads = json_array();
    g_autoptr(GPtrArray) list = list_loads(c, NULL);
    for (guint i = 0; i < list->len; i++) {
        const Load *l = list->pdata[i];
        json_array_append_new(
            loads, json_pack("{s:s, s:s, s:s, s:b}", "upstream", l->upstream,
                             "model", l->model, "phase", phase_names[l->phase],
                             "order_out", l->order_out));
    }
    json_t *ups = json_array();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Upstream *u = p;
        json_array_append_new(
            ups, json_pack("{s:s, s:b, s:b, s:i, s:i, s:b, s:b}", "id", u->id,
                           "leaving", u->leaving, "gone", u->gone,
                           "capacity_mb", (int)u->capacity_mb, "counted_mb",
                           (int)count_memory(c, u), "settled",
                           is_settled(c, u), "fenced", u->fenced));
    }
    json_t *doc = json_pack("{s:b, s:I, s:o, s:o}", "owner", c->owner, "epoch",
                            (json_int_t)c->claim_epoch, "loads", loads,
                            "upstreams", ups);
    char *text = json_dumps(doc, JSON_SORT_KEYS | JSON_COMPACT);
    json_decref(doc);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}
