#include "pl.h"

#include "rec.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define CLAIM_RETRY_MS 2000
#define CLAIM_HOLD_MAX_MS 60000
#define VM_LIST_WAIT_MS 3000
#define GRANT_FIRST_MS 1000
#define GRANT_REFRESH_MS 10000
#define GRANT_CONFIRM_MS 3500 /* longer than a read of the log may take */
#define RECORD_RETRY_MS 3000
#define ORDER_RETRY_MS 200
#define REFUSED_RETRY_MS 1000
#define GONE_POLL_MS 1000
#define LOADING_POLL_MS 40
#define FORGET_GONE_MS 60000
#define DEMAND_AGE_MS 3000
#define MIN_GAP_MS 1500
#define KEEP_MAX_MS (30u * 60 * 1000)

#define BACKOFF_MIN_MS 500
#define BACKOFF_MAX_MS 15000
#define NO_ROOM_RETRY_AFTER_MS 2000
#define LOG_AWAY_RETRY_AFTER_MS 5000
#define PRIORITY_WORTH_MS 2000 /* of slack, one step of priority */
#define MB_PER_SLACK_MS 100
#define DRAIN_LOG_WAIT_MS 5000
/* A replica that is there without a record is dropped after its intent lost
   so often. */
#define FOUND_TRIES 5

typedef enum {
    LOAD_RECORDING, /* intent appended, not yet in effect */
    LOAD_ORDERING,  /* may be ordered; the upstream has not acknowledged */
    LOAD_LOADING,   /* acknowledged */
    LOAD_LOADED,
    LOAD_UNLOADING, /* unload ordered, not acknowledged */
    LOAD_LINGERING, /* absent, but an order for it may still arrive */
    LOAD_SETTLING   /* absent for good; the record is on its way */
} LoadPhase;

static const char *const phase_names[] = {
    "recording", "ordering",  "loading", "loaded",
    "unloading", "lingering", "settling"};

/* One replica, or what may become one, on one upstream. */
typedef struct {
    struct Upstream *at;
    char *model;
    char load_id[BG_ID_LEN + 1];
    LoadPhase phase;
    uint32_t memory_mb;
    uint64_t phase_ms;    /* when the phase began */
    uint64_t next_try_ms; /* of its order or record */
    bool order_out;       /* an order's answer is awaited */
    uint64_t order_fence; /* highest number a load order carried */
    uint64_t ack_seq;     /* reports above it know of the last order */
    uint32_t acked;       /* load orders known to have been taken */
    char *boot;           /* life of the upstream that its orders are for */
    /* Load orders of unknown fate.  Each may still arrive, until that life
       ends or, if the upstream fences, it saw a higher number. */
    uint32_t unknown;
    bool seen_absent; /* by a report since the last load order */
    bool adopted;     /* recorded by an earlier owner */
    bool found;       /* reported without a record; being recorded */
    uint32_t found_tries;
    uint64_t final_ms; /* ADOPTED: when its orders were first known dead */
    bool ended;        /* the life it was for ended */
    bool granted;      /* ordered under the standing grant */
    bool loaded_recorded;
    bool closed_recorded;
    bool from_store;
    uint64_t last_used_ms;
} Load;

typedef struct {
    int state; /* 1 loading, 2 loaded */
    uint32_t memory_mb;
    char load_id[BG_ID_LEN + 1];
} Resident;

typedef struct Upstream {
    char *id;
    char *deployment;
    char *address;        /* NULL: known from records only */
    uint64_t gone_ms;     /* since when */
    uint32_t capacity_mb; /* 0: no report yet */
    uint32_t inflight;
    uint64_t seq;       /* of the newest report taken */
    char *boot;         /* the upstream process that made it */
    uint64_t boot_ms;   /* when the newest report of it was asked for */
    uint64_t report_ms; /* when the last report came */
    uint64_t next_poll_ms;
    uint64_t poll_sent_ms;
    uint64_t settled_epoch; /* epoch under which it may be ordered */
    uint64_t settled_ms;
    uint64_t fence_sent_ms;
    uint64_t next_fence_ms;
    uint64_t fresh_ms;     /* SEQ's report was made after this time */
    uint64_t fenced_to;    /* highest number it acknowledged in this life */
    uint64_t ack_seq;      /* reports above it know of every answered order */
    GHashTable *residents; /* model -> Resident */
    GHashTable *tiers;     /* model -> GINT: 1 disk, 2 memory */
    GHashTable *loads;     /* model -> Load */
    bool fenced;
    bool leaving;
    bool gone;  /* off the list */
    bool dirty; /* routers do not know its state yet */
    bool poll_out;
    bool confirmed; /* SETTLED_EPOCH was still ours by the log, later */
    bool fence_out;
    bool want_fresh; /* a report made from now on is needed */
} Upstream;

/* What the routers want of one model, and how it was used. */
typedef struct {
    char *name;
    GHashTable *routers; /* node -> RouterWant */
    uint64_t last_used_ms;
    uint64_t wanted_ms; /* since when somebody waits; 0: nobody */
    uint64_t refused_ms;
    uint32_t failures;     /* loads that died, in a row */
    uint64_t next_load_ms; /* not before */
    KeepStats gaps;
} Model;

typedef struct {
    uint32_t waiting;
    uint64_t deadline_ms;
    uint32_t priority;
    uint32_t inflight;
    uint64_t seen_ms;
} RouterWant;

/* An epoch of this process that has ended: its orders under way. */
typedef struct {
    uint64_t epoch;
    uint32_t orders_out;
    GPtrArray *open; /* "upstream\nmodel": orders of unknown fate */
    uint64_t next_try_ms;
} Closing;

struct PlCore {
    PlParams params;
    const Fold *fold;
    PlOutput out;
    BgRandom rng;
    GHashTable *upstreams; /* id -> Upstream */
    GHashTable *models;    /* name -> Model */
    GHashTable *beats;     /* node -> uint64_t last heard as owner */
    GPtrArray *closing;    /* Closing */
    uint64_t now_ms;
    uint64_t start_ms;
    bool vms_known;
    bool log_reachable;
    bool caught_up;
    uint64_t log_turned_ms; /* when reachability last changed */
    bool draining;
    uint64_t drain_ms;
    uint64_t quiesce_try_ms;
    uint64_t claim_tried_ms;
    uint64_t claim_seen_ms; /* when the claim in force was first seen */
    uint64_t claim_hold_ms; /* how long a claim is respected unheard */
    uint64_t claim_epoch;
    char *claim_holder;
    uint64_t clear_try_ms;
    uint64_t grant_changed_ms; /* since when the grant's list is out of date */
    uint64_t store_start_ms;   /* last start of a load from the store */
    uint32_t orders_out;       /* of claim_epoch, while owner */
    uint64_t residency_seq;
    bool owner;
};

/* ---- life --------------------------------------------------------------- */

static void
free_load(gpointer p)
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
    Closing *k = p;
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
    c->claim_hold_ms = params->lease_ms;
    c->fold = fold;
    c->out = *out;
    bg_seed_random(&c->rng, params->seed ^
                                XXH64(params->node, strlen(params->node), 0));
    c->upstreams =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_upstream);
    c->models =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_model);
    c->beats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
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
    g_hash_table_destroy(c->beats);
    g_ptr_array_free(c->closing, TRUE);
    g_free(c->claim_holder);
    g_free((char *)c->params.node);
    g_free((char *)c->params.data_centre);
    g_free(c);
}

/* ---- look-ups ----------------------------------------------------------- */

static Upstream *
get_upstream(PlCore *c, const char *id)
{
    Upstream *u = g_hash_table_lookup(c->upstreams, id);
    if (!u) {
        u = g_new0(Upstream, 1);
        u->id = g_strdup(id);
        u->deployment = g_strdup("");
        u->gone = true;
        u->gone_ms = c->now_ms;
        u->dirty = true;
        u->residents =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        u->tiers =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        u->loads =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_load);
        g_hash_table_insert(c->upstreams, u->id, u);
    }
    return u;
}

static Load *
find_load(const PlCore *c, const char *upstream, const char *model)
{
    Upstream *u = g_hash_table_lookup(c->upstreams, upstream);
    return u ? g_hash_table_lookup(u->loads, model) : NULL;
}

static Load *
add_load(Upstream *u, const char *model, LoadPhase phase, uint64_t now_ms)
{
    Load *l = g_new0(Load, 1);
    l->at = u;
    l->model = g_strdup(model);
    l->phase = phase;
    l->phase_ms = now_ms;
    l->last_used_ms = now_ms;
    g_hash_table_replace(u->loads, l->model, l);
    return l;
}

static void
remove_load(Load *l)
{
    l->at->dirty = true;
    g_hash_table_remove(l->at->loads, l->model);
}

static void
set_phase(Load *l, LoadPhase phase, uint64_t now_ms)
{
    l->phase = phase;
    l->phase_ms = now_ms;
    l->next_try_ms = now_ms;
    l->at->dirty = true;
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

static GPtrArray *
list_loads_at(const Upstream *u)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, u->loads);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        g_ptr_array_add(list, p);
    }
    return list;
}

static GPtrArray *
list_loads(const PlCore *c)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        GHashTableIter at;
        gpointer l;
        g_hash_table_iter_init(&at, ((Upstream *)p)->loads);
        while (g_hash_table_iter_next(&at, NULL, &l)) {
            g_ptr_array_add(list, l);
        }
    }
    return list;
}

static const FoldIntent *
find_intent(const PlCore *c, const char *upstream, const char *model)
{
    return fold_find_intent(c->fold, c->params.data_centre, upstream, model);
}

bool
pl_is_owner(const PlCore *c)
{
    return c->owner;
}

uint64_t
pl_get_order_epoch(const PlCore *c)
{
    return c->owner ? c->claim_epoch : 0;
}

bool
pl_is_active(const PlCore *c)
{
    return c->owner && !c->draining &&
           (c->log_reachable ||
            c->now_ms - c->log_turned_ms < c->params.lease_ms);
}

/* Whether U may be given orders under the claim in force. */
static bool
is_settled(const PlCore *c, const Upstream *u)
{
    return u->settled_epoch == c->claim_epoch && u->settled_epoch > 0;
}

/* Off the list and silent for so long that its VM is taken not to exist. */
static bool
is_lost(const PlCore *c, const Upstream *u)
{
    return u->gone && c->now_ms - u->gone_ms > c->params.gone_ms &&
           c->now_ms - MAX(u->report_ms, c->claim_seen_ms) > c->params.gone_ms;
}

/* ---- records ------------------------------------------------------------ */

static bool
is_granting(const Upstream *u)
{
    return u->fenced && !u->gone && !u->leaving;
}

static int
compare_id(gconstpointer a, gconstpointer b)
{
    return strcmp((*(Upstream *const *)a)->id, (*(Upstream *const *)b)->id);
}

/* Upstreams of the standing grant, as far as they are known now. */
static GPtrArray *
list_granting(const PlCore *c)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        if (is_granting(p)) {
            g_ptr_array_add(list, p);
        }
    }
    g_ptr_array_sort(list, compare_id);
    return list;
}

static Bg__GrantUpstream *
make_grant_name(const Upstream *u)
{
    Bg__GrantUpstream *name = g_new(Bg__GrantUpstream, 1);
    bg__grant_upstream__init(name);
    name->upstream = g_strdup(u->id);
    name->deployment = g_strdup(u->deployment);
    return name;
}

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
    Bg__Record *copy = rec_copy(&rec);
    g_autoptr(GPtrArray) list = list_granting(c);
    Bg__ClaimRecord *claim = copy->claim;
    claim->grant = g_new0(Bg__GrantUpstream *, list->len + 1);
    for (guint i = 0; i < list->len; i++) {
        claim->grant[claim->n_grant++] = make_grant_name(list->pdata[i]);
    }
    c->out.append(c->out.ctx, copy);
}

static uint32_t count_unrecorded(const PlCore *c, const Upstream *u,
                                 const char *except);

static void
append_intent(PlCore *c, const Load *l, uint32_t ceiling, bool adapter)
{
    const Upstream *u = l->at;
    uint32_t unrecorded_mb = count_unrecorded(c, u, l->model);
    Bg__IntentRecord r = BG__INTENT_RECORD__INIT;
    r.data_centre = (char *)c->params.data_centre;
    r.epoch = c->claim_epoch;
    r.upstream = u->id;
    r.model = l->model;
    r.memory_mb = l->memory_mb;
    r.capacity_mb =
        u->capacity_mb > unrecorded_mb ? u->capacity_mb - unrecorded_mb : 0;
    r.load_id = (char *)l->load_id;
    r.ceiling = ceiling;
    r.fenced = u->fenced;
    r.adapter = adapter;
    r.boot = l->boot;
    Bg__Record rec = BG__RECORD__INIT;
    rec.body_case = BG__RECORD__BODY_INTENT;
    rec.intent = &r;
    c->out.append(c->out.ctx, rec_copy(&rec));
}

typedef enum {
    SETTLE_LOADED,
    SETTLE_CLOSED,
    SETTLE_ABSENT,
    SETTLE_ENDED
} Fate;

static void
append_settle(PlCore *c, const char *upstream, const char *model,
              const char *load_id, Fate fate)
{
    Bg__SettleRecord r = BG__SETTLE_RECORD__INIT;
    r.data_centre = (char *)c->params.data_centre;
    r.epoch = c->claim_epoch;
    r.upstream = (char *)upstream;
    r.model = (char *)model;
    r.load_id = (char *)load_id;
    r.loaded = fate == SETTLE_LOADED || fate == SETTLE_CLOSED;
    r.closed = fate == SETTLE_CLOSED;
    r.life_ended = fate == SETTLE_ENDED;
    Bg__Record rec = BG__RECORD__INIT;
    rec.body_case = BG__RECORD__BODY_SETTLE;
    rec.settle = &r;
    c->out.append(c->out.ctx, rec_copy(&rec));
}

static void
append_clear(PlCore *c)
{
    Bg__ClearRecord r = BG__CLEAR_RECORD__INIT;
    r.data_centre = (char *)c->params.data_centre;
    r.epoch = c->claim_epoch;
    Bg__Record rec = BG__RECORD__INIT;
    rec.body_case = BG__RECORD__BODY_CLEAR;
    rec.clear = &r;
    c->out.append(c->out.ctx, rec_copy(&rec));
}

/* OPEN: "upstream\nmodel" of orders of unknown fate. */
static void
append_quiesce(PlCore *c, uint64_t epoch, const GPtrArray *open)
{
    Bg__QuiesceRecord r = BG__QUIESCE_RECORD__INIT;
    r.data_centre = (char *)c->params.data_centre;
    r.epoch = epoch;
    r.holder = (char *)c->params.node;
    Bg__Record rec = BG__RECORD__INIT;
    rec.body_case = BG__RECORD__BODY_QUIESCE;
    rec.quiesce = &r;
    Bg__Record *copy = rec_copy(&rec);
    Bg__QuiesceRecord *q = copy->quiesce;
    q->open = g_new0(Bg__OpenOrder *, open->len + 1);
    for (guint i = 0; i < open->len; i++) {
        g_auto(GStrv) pair = g_strsplit(open->pdata[i], "\n", 2);
        Bg__OpenOrder *o = g_new(Bg__OpenOrder, 1);
        bg__open_order__init(o);
        o->upstream = g_strdup(pair[0]);
        o->model = g_strdup(pair[1]);
        q->open[q->n_open++] = o;
    }
    c->out.append(c->out.ctx, copy);
}

/* ---- ownership ---------------------------------------------------------- */

static bool
is_heard(const PlCore *c, const char *node, uint64_t now_ms)
{
    const uint64_t *beat = g_hash_table_lookup(c->beats, node);
    uint64_t since_ms = MAX(c->claim_seen_ms, c->log_turned_ms);
    if (now_ms - since_ms < c->claim_hold_ms) {
        return true;
    }
    return beat && now_ms - *beat < c->params.lease_ms;
}

/* Claim the data centre when nobody holds it, its holder has handed over or
   fell silent.  Silence only starts the race; the log decides it, and the
   fencing number and the recorded intents keep a holder that was merely
   paused harmless. */
static void
consider_claim(PlCore *c, uint64_t now_ms)
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
    if (claim && !handed_over && is_heard(c, claim->holder, now_ms)) {
        return;
    }
    c->claim_tried_ms = now_ms;
    append_claim(c, claim ? claim->epoch : 0);
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

/* Take up an intent of the log, whoever recorded it.  The fate of its
   orders is unknown; reports settle it, see take_absent. */
static void
adopt_intent(void *ctx, const FoldIntent *in)
{
    PlCore *c = ctx;
    Upstream *u = get_upstream(c, in->upstream);
    Load *l = add_load(u, in->model, in->loaded ? LOAD_LOADED : LOAD_LOADING,
                       c->now_ms);
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

/* Orders of unknown fate on upstreams that do not fence: they may arrive
   at any later time. */
static GPtrArray *
list_open_orders(const PlCore *c)
{
    GPtrArray *open = g_ptr_array_new_with_free_func(g_free);
    g_autoptr(GPtrArray) list = list_loads(c);
    for (guint i = 0; i < list->len; i++) {
        const Load *l = list->pdata[i];
        if (l->unknown > 0 && !l->at->fenced) {
            g_ptr_array_add(open,
                            g_strconcat(l->at->id, "\n", l->model, NULL));
        }
    }
    return open;
}

/* OPEN is taken over. */
static void
add_closing(PlCore *c, uint64_t epoch, uint32_t orders_out, GPtrArray *open)
{
    Closing *k = g_new0(Closing, 1);
    k->epoch = epoch;
    k->orders_out = orders_out;
    k->open = open;
    g_ptr_array_add(c->closing, k);
}

/* Nothing is ordered from here on under the old epoch.  Orders that are
   with a worker are counted; once each was answered, failed or was dropped
   unsent, the quiesce record says so and a successor stops counting what
   they might have loaded.  A worker checks the epoch just before it sends,
   which makes a late order rare; that no late order breaks a ceiling rests
   on the count alone. */
static void
step_down(PlCore *c)
{
    bg_log(BG_WARN, "place", "No longer owner of %s.", c->params.data_centre);
    c->owner = false;
    add_closing(c, c->claim_epoch, c->orders_out, list_open_orders(c));
    c->orders_out = 0;
    forget_loads(c);
}

/* Two placers that cannot hear each other would take the data centre from
   one another at every lease; each change in quick succession doubles the
   time a claim is respected unheard. */
static void
adapt_hold(PlCore *c, bool other, uint64_t now_ms)
{
    bool quick =
        other && c->caught_up && c->claim_seen_ms &&
        now_ms - c->claim_seen_ms < 4 * c->claim_hold_ms &&
        !fold_is_quiesced(c->fold, c->params.data_centre, c->claim_epoch);
    c->claim_hold_ms = quick ? MIN(2 * c->claim_hold_ms, CLAIM_HOLD_MAX_MS)
                             : c->params.lease_ms;
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
    if (!own && c->claim_epoch) {
        adapt_hold(c, g_strcmp0(c->claim_holder, claim->holder) != 0, now_ms);
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

static void
close_epochs(PlCore *c, uint64_t now_ms)
{
    for (guint i = c->closing->len; i > 0; i--) {
        Closing *k = c->closing->pdata[i - 1];
        if (fold_is_quiesced(c->fold, c->params.data_centre, k->epoch)) {
            g_ptr_array_remove_index(c->closing, i - 1);
        }
        else if (k->orders_out == 0 && c->log_reachable &&
                 now_ms >= k->next_try_ms) {
            k->next_try_ms = now_ms + RECORD_RETRY_MS;
            append_quiesce(c, k->epoch, k->open);
        }
    }
}

static bool
has_recording(const PlCore *c)
{
    g_autoptr(GPtrArray) list = list_loads(c);
    for (guint i = 0; i < list->len; i++) {
        const Load *l = list->pdata[i];
        if (l->phase == LOAD_RECORDING || l->order_out) {
            return true;
        }
    }
    return false;
}

/* Hand over at a stop: once nothing is under way the quiesce record ends
   the epoch, and a successor claims without waiting for the lease.  Loads
   that an upstream has acknowledged go on there. */
static void
hand_over(PlCore *c, uint64_t now_ms)
{
    if (!c->owner || !c->draining || c->orders_out > 0 || has_recording(c) ||
        !c->log_reachable || now_ms < c->quiesce_try_ms) {
        return;
    }
    c->quiesce_try_ms = now_ms + RECORD_RETRY_MS;
    g_autoptr(GPtrArray) open = list_open_orders(c);
    append_quiesce(c, c->claim_epoch, open);
}

/* ---- standing grant ------------------------------------------------------
   While the log is away nobody can record an intent, and nobody can claim.
   The claim in force names the data centre's fencing upstreams; each model
   may be loaded on one of them, the first by rendezvous hash, without an
   intent.  A successor counts a possible replica there until it has fenced
   that upstream and seen its report.  Upstreams that do not fence have no
   grant: nothing would end what a former owner might still load there. */

static const char *
pick_grant(const FoldGrant *g, const char *deployment, const char *key)
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

/* An adapter goes where its base goes. */
static const char *
get_grant_key(const CfgModel *m)
{
    return m->base ? m->base : m->name;
}

static const FoldGrant *
find_own_grant(const PlCore *c)
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

/* Whether an earlier owner may hold a replica of M on the upstream that
   DEPLOYMENT's grant names, unknown to the log. */
static bool
is_grant_pending(const PlCore *c, const FoldGrant *g, const char *deployment,
                 const CfgModel *m)
{
    const char *id = pick_grant(g, deployment, get_grant_key(m));
    Upstream *u = id ? g_hash_table_lookup(c->upstreams, id) : NULL;
    if (!id || find_intent(c, id, m->name)) {
        return false;
    }
    if (!u) {
        return !c->vms_known ||
               c->now_ms - c->claim_seen_ms < c->params.gone_ms;
    }
    return !is_settled(c, u) && !is_lost(c, u);
}

/* Replicas of M that earlier owners may have loaded under their grants. */
static uint32_t
count_possible(const PlCore *c, const CfgModel *m)
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

/* Whether U holds something that no intent counts. */
static bool
has_unrecorded(const PlCore *c, const Upstream *u)
{
    GHashTableIter it;
    gpointer name;
    g_hash_table_iter_init(&it, u->residents);
    while (g_hash_table_iter_next(&it, &name, NULL)) {
        if (!find_intent(c, u->id, name)) {
            return true;
        }
    }
    return false;
}

/* Once all that earlier grants cover was fenced and is recorded, say so. */
static void
consider_clear(PlCore *c, uint64_t now_ms)
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
            bool done = u ? is_lost(c, u) ||
                                (is_settled(c, u) && !has_unrecorded(c, u))
                          : c->now_ms - c->claim_seen_ms > c->params.gone_ms;
            if (!done) {
                return;
            }
        }
    }
    if (old) {
        c->clear_try_ms = now_ms + RECORD_RETRY_MS;
        append_clear(c);
    }
}

/* A claim's grant names the upstreams that were known then.  When they have
   changed for a while the owner claims anew. */
static void
consider_refresh(PlCore *c, uint64_t now_ms)
{
    const FoldGrant *g = find_own_grant(c);
    g_autoptr(GPtrArray) list = list_granting(c);
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
        return; /* a claim would have none; wait until some are cleared */
    }
    uint32_t wait_ms = g ? GRANT_REFRESH_MS : GRANT_FIRST_MS;
    if (!c->log_reachable || now_ms - c->grant_changed_ms < wait_ms ||
        now_ms - c->claim_tried_ms < wait_ms) {
        return;
    }
    c->claim_tried_ms = now_ms;
    append_claim(c, c->claim_epoch);
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
                 .fence = get_fence(c),
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

/* While a load is under way its callers wait for the next report. */
static uint32_t
get_poll_gap(const PlCore *c, const Upstream *u)
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

/* An upstream off the list is asked too, less often: the list lags and may
   be wrong, and an upstream that answers is there. */
static void
poll_upstream(PlCore *c, Upstream *u, uint64_t now_ms)
{
    if (u->poll_out || now_ms < u->next_poll_ms || !u->address) {
        return;
    }
    u->poll_out = true;
    u->poll_sent_ms = now_ms;
    u->next_poll_ms = now_ms + get_poll_gap(c, u);
    send_order(c, PL_POLL, u, NULL, NULL);
}

/* Before the first order of an epoch the upstream is sent a fence.  One
   that checks numbers takes nothing older from then on.  Its answer, of
   either kind of upstream, carries a report made after the fence was sent,
   while other reports lag. */
static void
settle_upstream(PlCore *c, Upstream *u, uint64_t now_ms)
{
    bool needed = !is_settled(c, u) || u->want_fresh;
    /* Without the log this owner cannot know whether it was succeeded, and
       an upstream that was restarted has forgotten its successor's number. */
    if (!needed || !c->log_reachable || u->gone || !u->address ||
        u->fence_out || c->draining || now_ms < u->next_fence_ms) {
        return;
    }
    u->fence_out = true;
    u->fence_sent_ms = now_ms;
    u->next_fence_ms = now_ms + ORDER_RETRY_MS;
    send_order(c, PL_FENCE, u, NULL, NULL);
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

/* Whether no order that could bring L is left: then a report that lacks it
   is its end.  Three kinds of orders could.  Ours with a worker: order_out.
   Ours of unknown fate: dead once a fencing upstream acknowledged a higher
   number (a restart ends the load itself, see end_former_life).  Those
   of earlier owners: dead on a fencing upstream that was fenced in this
   epoch; on any other only when the fold has them closed. */
static bool
is_final(const PlCore *c, const Load *l)
{
    const Upstream *u = l->at;
    if (l->order_out) {
        return false;
    }
    if (u->fenced) {
        return is_settled(c, u) &&
               (l->unknown == 0 || u->fenced_to > l->order_fence);
    }
    const FoldIntent *in = find_intent(c, u->id, l->model);
    return l->unknown == 0 && (!in || !fold_is_open(in, c->claim_epoch));
}

static void
settle_absent(PlCore *c, Load *l, uint64_t now_ms)
{
    if (!find_intent(c, l->at->id, l->model)) {
        remove_load(l); /* was never recorded */
        return;
    }
    set_phase(l, LOAD_SETTLING, now_ms);
    l->next_try_ms = now_ms + RECORD_RETRY_MS;
    append_settle(c, l->at->id, l->model, l->load_id, SETTLE_ABSENT);
}

static void
note_failure(PlCore *c, const Load *l, uint64_t now_ms)
{
    Model *m = get_model(c, l->model);
    uint32_t shift = MIN(m->failures, 5);
    m->failures++;
    m->next_load_ms = now_ms + MIN(BACKOFF_MIN_MS << shift, BACKOFF_MAX_MS);
    bg_count("placer_load_failures_total", 1);
    bg_log(BG_WARN, "place", "Load of %s on %s died.", l->model, l->at->id);
}

/* Record that it is loaded, and that no load order of ours for it can
   still arrive, once that is so: then its absence is final for whoever
   succeeds us. */
static void
record_loaded(PlCore *c, Load *l, uint64_t now_ms)
{
    bool closed = !l->order_out && l->unknown == 0;
    bool needed = !l->loaded_recorded || (closed && !l->closed_recorded);
    if (!needed || now_ms < l->next_try_ms || !c->log_reachable ||
        !find_intent(c, l->at->id, l->model)) {
        return;
    }
    l->next_try_ms = now_ms + RECORD_RETRY_MS;
    append_settle(c, l->at->id, l->model, l->load_id,
                  closed ? SETTLE_CLOSED : SETTLE_LOADED);
}

static void
take_present(PlCore *c, Load *l, const Resident *r, uint64_t now_ms)
{
    if (l->unknown > 0 && l->acked == 0 &&
        strcmp(r->load_id, l->load_id) == 0) {
        l->unknown--; /* this one brought it */
        l->acked++;
    }
    if (r->state == 1) {
        if (l->phase == LOAD_LINGERING) {
            set_phase(l, LOAD_LOADING, now_ms);
        }
        return;
    }
    if (l->phase != LOAD_LOADED) {
        set_phase(l, LOAD_LOADED, now_ms);
        get_model(c, l->model)->failures = 0;
    }
    record_loaded(c, l, now_ms);
}

static void
take_absent(PlCore *c, Load *l, uint64_t now_ms)
{
    Upstream *u = l->at;
    l->seen_absent = true;
    if (l->phase == LOAD_ORDERING) {
        return;
    }
    if (!is_final(c, l)) {
        if (l->phase != LOAD_LINGERING) {
            set_phase(l, LOAD_LINGERING, now_ms);
        }
        l->final_ms = 0;
        u->want_fresh = u->want_fresh || (u->fenced && l->unknown > 0);
        return;
    }
    /* Reports lag: one made before the last of its orders arrived says
       nothing.  For our own orders ack_seq tells; of an earlier owner's we
       know only that by final_ms none was left. */
    if (l->adopted) {
        l->final_ms = l->final_ms ? l->final_ms : now_ms;
        if (u->fresh_ms < l->final_ms) {
            u->want_fresh = true;
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
        take_absent(c, l, now_ms);
    }
}

/* A resident that no record counts: loaded under a grant by an owner that
   died before the log was back, or left over on an upstream that was taken
   for gone.  It is counted from now on; then it is recorded or dropped. */
static void
find_resident(PlCore *c, Upstream *u, const char *model, const Resident *r,
              uint64_t now_ms)
{
    if (g_hash_table_contains(u->loads, model)) {
        return;
    }
    Load *l = add_load(u, model, LOAD_RECORDING, now_ms);
    g_strlcpy(l->load_id, r->load_id, sizeof(l->load_id));
    l->memory_mb = r->memory_mb;
    CfgSet *cfg = fold_get_config(c->fold);
    const CfgModel *m = cfg_find_model(cfg, model);
    if (m && l->memory_mb == 0) {
        l->memory_mb = m->memory_mb; /* the report does not say */
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

/* A restarted upstream has lost its replicas, its count of reports and the
   fencing number it was raised to: it must be fenced again before the next
   order.  Answers overtake each other; one of a former life is passed over.
   False then. */
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

/* A load for a former life of the upstream ended with it: orders for it go
   over connections to that life, see the worker's check. */
static void
end_former_life(PlCore *c, Load *l, uint64_t now_ms)
{
    if (!l->boot || l->order_out || l->phase == LOAD_SETTLING ||
        strcmp(l->boot, l->at->boot) == 0) {
        return;
    }
    if (l->phase == LOAD_LOADING || l->phase == LOAD_ORDERING) {
        note_failure(c, l, now_ms);
    }
    if (!find_intent(c, l->at->id, l->model)) {
        remove_load(l);
        return;
    }
    set_phase(l, LOAD_SETTLING, now_ms);
    l->ended = true;
    l->next_try_ms = now_ms + RECORD_RETRY_MS;
    append_settle(c, l->at->id, l->model, l->load_id, SETTLE_ENDED);
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
        return; /* older than what is known */
    }
    copy_report(u, r);
    if (!c->owner) {
        return;
    }
    g_autoptr(GPtrArray) list = list_loads_at(u);
    for (guint i = 0; i < list->len; i++) {
        end_former_life(c, list->pdata[i], now_ms);
    }
    if (!is_settled(c, u)) {
        return;
    }
    g_ptr_array_unref(g_steal_pointer(&list));
    list = list_loads_at(u);
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
    switch (r->end) {
    case PL_ACKED:
        l->acked++;
        l->ack_seq = r->seq;
        if (l->phase == LOAD_ORDERING) {
            set_phase(l, LOAD_LOADING, now_ms);
        }
        break;
    case PL_UNKNOWN:
        /* The same load is ordered again; it is the same replica on the
           same upstream, so a second arrival adds none. */
        l->unknown++;
        break;
    case PL_STALE:
        u->settled_epoch = 0; /* fence again; refused if we are succeeded */
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
    if (r->end == PL_ACKED) {
        l->ack_seq = r->seq;
        if (is_final(c, l) && !l->adopted) {
            settle_absent(c, l, now_ms);
        }
        else {
            set_phase(l, LOAD_LINGERING, now_ms); /* reports decide */
        }
    }
    else if (r->end == PL_BUSY) {
        set_phase(l, LOAD_LOADED, now_ms);
        l->last_used_ms = now_ms;
        l->next_try_ms = now_ms + REFUSED_RETRY_MS;
    }
    else if (r->end == PL_STALE) {
        l->at->settled_epoch = 0;
    }
}

static Closing *
find_closing(const PlCore *c, uint64_t epoch)
{
    for (guint i = 0; i < c->closing->len; i++) {
        Closing *k = c->closing->pdata[i];
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
    Closing *k = find_closing(c, r->epoch);
    if (!k || k->orders_out == 0) {
        return;
    }
    k->orders_out--;
    if (r->kind == PL_LOAD && r->end == PL_UNKNOWN && !u->fenced) {
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
    Load *l = find_load(c, r->upstream, r->model);
    if (!l || strcmp(l->load_id, r->load_id) != 0) {
        return;
    }
    l->order_out = false;
    if (r->end == PL_ACKED) {
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
    if (r->end == PL_ACKED && r->report) {
        if (!note_boot(u, r->report->boot, u->fence_sent_ms)) {
            return;
        }
        if (!is_settled(c, u)) {
            u->settled_ms = c->now_ms;
            u->confirmed = false;
        }
        u->settled_epoch = c->claim_epoch;
        u->fresh_ms = u->fence_sent_ms;
        u->fenced_to = MAX(u->fenced_to, r->fence);
        u->want_fresh = false;
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

/* ---- counts ------------------------------------------------------------- */

/* Memory of what U holds, or may come to hold, without a record: loads
   under the grant and found residents. */
static uint32_t
count_unrecorded(const PlCore *c, const Upstream *u, const char *except)
{
    uint32_t mb = 0;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, u->loads);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Load *l = p;
        if ((l->found || l->granted) && g_strcmp0(l->model, except) != 0 &&
            !find_intent(c, u->id, l->model)) {
            mb += l->memory_mb;
        }
    }
    return mb;
}

/* Memory that U must be taken to use: what the log counts, and every load
   that is not in the log yet. */
static uint32_t
count_memory(const PlCore *c, const Upstream *u)
{
    uint32_t mb = fold_count_memory(c->fold, c->params.data_centre, u->id);
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, u->loads);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Load *l = p;
        if (!find_intent(c, u->id, l->model)) {
            mb += l->memory_mb;
        }
    }
    return mb;
}

typedef struct {
    uint32_t counted; /* replicas, loaded, on the way or possible */
    uint32_t usable;  /* of these: loaded or on the way */
    uint32_t coming;  /* on the way */
    Load *lingering;  /* one that may be loaded again under its record */
} Replicas;

static Replicas
count_replicas(const PlCore *c, const CfgModel *m)
{
    Replicas n = {
        fold_count_replicas(c->fold, c->params.data_centre, m->name) +
            count_possible(c, m),
        0, 0, NULL};
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Upstream *u = p;
        Load *l = g_hash_table_lookup(u->loads, m->name);
        if (!l) {
            continue;
        }
        n.counted += !find_intent(c, u->id, m->name);
        n.coming += l->phase < LOAD_LOADED && !l->found;
        n.usable += l->phase <= LOAD_LOADED && !u->leaving && !u->gone;
        if (l->phase == LOAD_LINGERING && is_settled(c, u) && !u->gone &&
            !u->leaving && l->memory_mb == m->memory_mb) {
            n.lingering = l;
        }
    }
    return n;
}

typedef struct {
    uint32_t store; /* loads under way from the weight store */
    uint32_t adapters;
} Transit;

static Transit
count_transit(const PlCore *c, const CfgSet *cfg)
{
    Transit t = {0, 0};
    g_autoptr(GPtrArray) list = list_loads(c);
    for (guint i = 0; i < list->len; i++) {
        const Load *l = list->pdata[i];
        const CfgModel *m = cfg_find_model(cfg, l->model);
        if (l->phase >= LOAD_LOADED || l->found) {
            continue;
        }
        t.adapters += m && m->base;
        t.store += l->from_store;
    }
    return t;
}

/* ---- choice ------------------------------------------------------------- */

static bool
is_base_loaded(const Upstream *u, const char *base)
{
    const Load *l = g_hash_table_lookup(u->loads, base);
    return l && l->phase == LOAD_LOADED;
}

static bool
can_take(const PlCore *c, const Upstream *u, const CfgModel *m)
{
    return !u->gone && !u->leaving && is_settled(c, u) &&
           strcmp(u->deployment, m->upstreams) == 0 &&
           !g_hash_table_contains(u->loads, m->name) &&
           (!m->base || is_base_loaded(u, m->base));
}

/* Checkpoint tier: 0 remote, 1 disk, 2 memory.  Reports and cache events
   come late and with gaps, so this is a hint for the choice only. */
static int
get_tier(const Upstream *u, const char *model)
{
    return GPOINTER_TO_INT(g_hash_table_lookup(u->tiers, model));
}

/* Higher is better: nearest checkpoint first, then free memory. */
static int64_t
score_upstream(const PlCore *c, const Upstream *u, const CfgModel *m)
{
    int64_t free_mb = (int64_t)u->capacity_mb - count_memory(c, u);
    return ((int64_t)get_tier(u, m->name) << 40) + (free_mb << 8) -
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

/* Unique by the node's name, which is that of one life of one process. */
static void
make_load_id(PlCore *c, Load *l)
{
    snprintf(l->load_id, sizeof(l->load_id), "%016llx%016llx",
             (unsigned long long)bg_next_random(&c->rng),
             (unsigned long long)bg_next_random(&c->rng));
}

static void
note_start(PlCore *c, Load *l, const CfgModel *m, uint64_t now_ms)
{
    l->from_store = !m->base && get_tier(l->at, m->name) == 0;
    if (l->from_store) {
        c->store_start_ms = now_ms;
    }
}

static Load *
start_load(PlCore *c, Upstream *u, const CfgModel *m, uint64_t now_ms)
{
    Load *l = add_load(u, m->name, LOAD_RECORDING, now_ms);
    make_load_id(c, l);
    l->boot = g_strdup(u->boot);
    l->memory_mb = m->memory_mb;
    l->next_try_ms = now_ms + RECORD_RETRY_MS;
    note_start(c, l, m, now_ms);
    append_intent(c, l, m->replicas, m->base != NULL);
    bg_count("placer_intents_total", 1);
    return l;
}

/* A load that still counts is ordered again on the same upstream, under its
   record; the record opens it for this epoch first. */
static void
restart_load(PlCore *c, Load *l, const CfgModel *m, uint64_t now_ms)
{
    set_phase(l, LOAD_RECORDING, now_ms);
    l->next_try_ms = now_ms + RECORD_RETRY_MS;
    l->closed_recorded = false;
    note_start(c, l, m, now_ms);
    append_intent(c, l, m->replicas, m->base != NULL);
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

static RouterWant *
note_use(PlCore *c, const char *model, const char *from, uint64_t now_ms)
{
    Model *m = get_model(c, model);
    if (m->last_used_ms && now_ms - m->last_used_ms > MIN_GAP_MS) {
        keep_add_gap(&m->gaps, now_ms - m->last_used_ms);
    }
    m->last_used_ms = now_ms;
    RouterWant *w = get_router_want(m, from);
    w->seen_ms = now_ms;
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
        RouterWant *w = note_use(c, d->wants[i]->model, from, now_ms);
        w->waiting = d->wants[i]->waiting;
        w->deadline_ms = now_ms + d->wants[i]->slack_ms;
        w->priority = d->wants[i]->priority;
    }
    for (size_t i = 0; i < d->n_usage; i++) {
        RouterWant *w = note_use(c, d->usage[i]->model, from, now_ms);
        w->inflight = d->usage[i]->inflight;
    }
}

/* ---- decisions ---------------------------------------------------------- */

typedef struct {
    const CfgModel *cfg;
    Model *model;
    Demand demand;
    int64_t rank; /* lower goes first */
} Wanted;

/* Deadline slack first; a step of priority is worth some slack, and a large
   model a little less.  What was waited counts in full, so that a steady
   stream of urgent wants cannot starve the others. */
static int64_t
rank_wanted(const Wanted *w, uint64_t now_ms)
{
    uint64_t slack_ms =
        w->demand.deadline_ms > now_ms ? w->demand.deadline_ms - now_ms : 0;
    return (int64_t)MIN(slack_ms, 600000) -
           (int64_t)w->demand.priority * PRIORITY_WORTH_MS +
           w->cfg->memory_mb / MB_PER_SLACK_MS -
           (int64_t)(now_ms - w->model->wanted_ms);
}

static int
compare_wanted(gconstpointer a, gconstpointer b)
{
    const Wanted *x = a;
    const Wanted *y = b;
    if (x->rank != y->rank) {
        return x->rank < y->rank ? -1 : 1;
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
        Wanted w = {cfg_find_model(cfg, m->name), m, merge_demand(m, now_ms),
                    0};
        if (!w.cfg || w.demand.waiting == 0) {
            m->wanted_ms = 0;
            continue;
        }
        m->wanted_ms = m->wanted_ms ? m->wanted_ms : now_ms;
        w.rank = rank_wanted(&w, now_ms);
        g_array_append_val(list, w);
    }
    g_array_sort(list, compare_wanted);
    return list;
}

static bool
is_adapter_base(const CfgSet *cfg, const Load *l)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, l->at->loads);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const CfgModel *m = cfg_find_model(cfg, ((Load *)p)->model);
        if (m && m->base && strcmp(m->base, l->model) == 0) {
            return true;
        }
    }
    return false;
}

/* A replica that may be dropped: loaded, recorded so, with no request
   waiting or in flight for its model on any router, and no adapter on it.
   On an upstream that leaves no request can go to it any more, and the
   upstream itself refuses while one still runs. */
static bool
is_droppable(PlCore *c, const CfgSet *cfg, const Load *l, uint64_t now_ms)
{
    if (l->phase != LOAD_LOADED || !l->loaded_recorded ||
        is_adapter_base(cfg, l)) {
        return false;
    }
    if (l->at->leaving) {
        return now_ms >= l->next_try_ms;
    }
    Demand d = merge_demand(get_model(c, l->model), now_ms);
    return d.waiting == 0 && d.inflight == 0;
}

static uint64_t
get_last_use(PlCore *c, const Load *l)
{
    return MAX(l->last_used_ms, get_model(c, l->model)->last_used_ms);
}

/* Routers stop sending to it with the next residency. */
static void
start_unload(Load *l, uint64_t now_ms)
{
    set_phase(l, LOAD_UNLOADING, now_ms);
}

static uint64_t
get_keep_ms(PlCore *c, const CfgModel *m)
{
    if (c->params.keep_policy == KEEP_LRU) {
        return UINT64_MAX;
    }
    if (c->params.keep_policy == KEEP_FIXED) {
        return c->params.keep_fixed_ms;
    }
    double cold_cost = m->cold_second_cost * (double)m->load_ms / 1000.0;
    double idle_cost = MAX(m->idle_hour_cost, 0.001) / 3600e3;
    uint64_t keep_ms =
        keep_choose_ms(&get_model(c, m->name)->gaps, cold_cost, idle_cost);
    return CLAMP(keep_ms, c->params.keep_min_ms, KEEP_MAX_MS);
}

/* Share of its keep time that an idle replica has used up: the one that is
   furthest past it goes first. */
static double
get_staleness(PlCore *c, const CfgSet *cfg, const Load *l, uint64_t now_ms)
{
    const CfgModel *m = cfg_find_model(cfg, l->model);
    double idle_ms = (double)(now_ms - get_last_use(c, l));
    uint64_t keep_ms = m ? get_keep_ms(c, m) : 0;
    return idle_ms / (double)MAX(MIN(keep_ms, KEEP_MAX_MS), 1);
}

/* Drop one unused replica on U; true when one is on its way, or will be:
   one that has not stayed for as long as its load takes is spared, so that
   two models do not push each other out in turn. */
static bool
evict_one(PlCore *c, const CfgSet *cfg, Upstream *u, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list = list_loads_at(u);
    Load *victim = NULL;
    bool young = false;
    for (guint i = 0; i < list->len; i++) {
        Load *l = list->pdata[i];
        if (l->phase == LOAD_UNLOADING || l->phase == LOAD_SETTLING) {
            return true;
        }
        if (!is_droppable(c, cfg, l, now_ms)) {
            continue;
        }
        const CfgModel *m = cfg_find_model(cfg, l->model);
        if (m && now_ms - l->phase_ms < m->load_ms) {
            young = true;
        }
        else if (!victim || get_staleness(c, cfg, l, now_ms) >
                                get_staleness(c, cfg, victim, now_ms)) {
            victim = l;
        }
    }
    if (victim) {
        start_unload(victim, now_ms);
        bg_count("placer_evictions_total", 1);
    }
    return victim != NULL || young;
}

/* Routers refuse all that wait for the model, at once. */
static void
refuse_want(PlCore *c, const Wanted *w, uint64_t retry_after_ms,
            const char *reason, uint64_t now_ms)
{
    if (now_ms - w->model->refused_ms < ORDER_RETRY_MS) {
        return;
    }
    w->model->refused_ms = now_ms;
    bg_count("placer_wants_refused_total", 1);
    c->out.refuse(c->out.ctx, w->cfg->name, retry_after_ms, reason);
}

/* The log is away: the standing grant only. */
static void
place_granted(PlCore *c, const Wanted *w, const Replicas *n, uint64_t now_ms)
{
    const FoldGrant *g = find_own_grant(c);
    const char *id =
        g ? pick_grant(g, w->cfg->upstreams, get_grant_key(w->cfg)) : NULL;
    Upstream *u = id ? g_hash_table_lookup(c->upstreams, id) : NULL;
    bool fits = u && u->fenced && u->confirmed && can_take(c, u, w->cfg) &&
                count_memory(c, u) + w->cfg->memory_mb <= u->capacity_mb;
    if (!fits) {
        /* An adapter's base may be on its way there. */
        if (n->usable == 0 && !(w->cfg->base && u && u->fenced)) {
            refuse_want(c, w, LOG_AWAY_RETRY_AFTER_MS,
                        "the log is away and the model is not loaded", now_ms);
        }
        return;
    }
    Load *l = add_load(u, w->cfg->name, LOAD_ORDERING, now_ms);
    make_load_id(c, l);
    l->boot = g_strdup(u->boot);
    l->memory_mb = w->cfg->memory_mb;
    l->granted = true;
    note_start(c, l, w->cfg, now_ms);
    bg_count("placer_granted_loads_total", 1);
    bg_log(BG_WARN, "place", "Log away: %s goes on %s under the grant.",
           w->cfg->name, u->id);
}

/* This data centre's standing share of the store's rate and of adapters in
   transit. */
static bool
has_budget(const PlCore *c, const CfgSet *cfg, const CfgModel *m, int tier,
           uint64_t now_ms)
{
    Transit t = count_transit(c, cfg);
    if (m->base) {
        return t.adapters < c->params.max_adapters;
    }
    if (tier > 0) {
        return true;
    }
    return t.store < c->params.max_loads &&
           (c->store_start_ms == 0 ||
            now_ms - c->store_start_ms >= c->params.load_gap_ms);
}

static void
refuse_if_late(PlCore *c, const Wanted *w, uint64_t start_ms, uint64_t now_ms)
{
    if (start_ms + w->cfg->load_ms > w->demand.deadline_ms) {
        refuse_want(c, w, start_ms + w->cfg->load_ms - now_ms,
                    "loads of the model fail", now_ms);
    }
}

static void
place_new(PlCore *c, const CfgSet *cfg, Wanted *w, const Replicas *n,
          uint64_t now_ms)
{
    Upstream *u = choose_upstream(c, w->cfg, false);
    if (u) {
        if (has_budget(c, cfg, w->cfg, get_tier(u, w->cfg->name), now_ms)) {
            start_load(c, u, w->cfg, now_ms);
        }
        return;
    }
    u = choose_upstream(c, w->cfg, true);
    bool coming = u && evict_one(c, cfg, u, now_ms);
    if (!coming && n->usable == 0 && u) {
        refuse_want(c, w, NO_ROOM_RETRY_AFTER_MS, "no room for the model",
                    now_ms);
    }
}

static void
place_wanted(PlCore *c, const CfgSet *cfg, Wanted *w, uint64_t now_ms)
{
    Replicas n = count_replicas(c, w->cfg);
    uint32_t asked =
        1 + (w->demand.waiting - 1) / MAX(c->params.per_replica, 1);
    if (n.usable >= MIN(asked, w->cfg->replicas)) {
        return;
    }
    if (now_ms < w->model->next_load_ms) {
        if (n.usable == 0) {
            refuse_if_late(c, w, w->model->next_load_ms, now_ms);
        }
        return;
    }
    if (n.lingering && c->log_reachable) {
        if (has_budget(c, cfg, w->cfg, 0, now_ms)) {
            restart_load(c, n.lingering, w->cfg, now_ms);
        }
    }
    else if (n.counted >= w->cfg->replicas) {
        return; /* the ceiling: what counts is not all usable */
    }
    else if (!c->log_reachable) {
        place_granted(c, w, &n, now_ms);
    }
    else {
        place_new(c, cfg, w, &n, now_ms);
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

/* With the log away nothing is released: the memory could not be counted
   free, and a successor may already use the replica. */
static void
release_idle(PlCore *c, const CfgSet *cfg, uint64_t now_ms)
{
    if (!c->log_reachable) {
        return;
    }
    g_autoptr(GPtrArray) list = list_loads(c);
    for (guint i = 0; i < list->len; i++) {
        Load *l = list->pdata[i];
        const CfgModel *m = cfg_find_model(cfg, l->model);
        uint64_t keep_ms = m && !l->at->leaving ? get_keep_ms(c, m) : 0;
        if (now_ms - get_last_use(c, l) > keep_ms && is_settled(c, l->at) &&
            is_droppable(c, cfg, l, now_ms)) {
            start_unload(l, now_ms);
            bg_count("placer_idle_releases_total", 1);
        }
    }
}

static uint32_t
get_ceiling(const CfgModel *m)
{
    return m ? m->replicas : 0;
}

/* Record again what was not seen in the log, order again what was not
   answered. */
static void
push_load(PlCore *c, const CfgSet *cfg, Load *l, uint64_t now_ms)
{
    Upstream *u = l->at;
    const CfgModel *m = cfg_find_model(cfg, l->model);
    if (l->order_out || now_ms < l->next_try_ms ||
        (!is_settled(c, u) && l->phase != LOAD_SETTLING)) {
        return;
    }
    bool unsafe = !u->fenced && l->unknown > 0 && !l->seen_absent;
    bool unrecorded = !find_intent(c, u->id, l->model);
    l->next_try_ms = now_ms + ORDER_RETRY_MS;
    if (l->phase == LOAD_RECORDING || (l->granted && unrecorded)) {
        l->next_try_ms = now_ms + RECORD_RETRY_MS;
        if (c->log_reachable) {
            append_intent(c, l, get_ceiling(m), m && m->base);
        }
    }
    if (l->phase == LOAD_ORDERING && !unsafe) {
        send_order(c, PL_LOAD, u, m, l);
    }
    else if (l->phase == LOAD_UNLOADING) {
        send_order(c, PL_UNLOAD, u, m, l);
    }
    else if (l->phase == LOAD_SETTLING && c->log_reachable) {
        l->next_try_ms = now_ms + RECORD_RETRY_MS;
        append_settle(c, u->id, l->model, l->load_id,
                      l->ended ? SETTLE_ENDED : SETTLE_ABSENT);
    }
    else if (l->phase == LOAD_LINGERING && u->fenced && l->unknown > 0 &&
             get_fence(c) <= l->order_fence && c->log_reachable) {
        /* Any record moves the offset on, and with it the fencing number. */
        l->next_try_ms = now_ms + RECORD_RETRY_MS;
        append_intent(c, l, get_ceiling(m), m && m->base);
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
    g_autoptr(GPtrArray) list = list_loads(c);
    for (guint i = 0; i < list->len; i++) {
        push_load(c, cfg, list->pdata[i], now_ms);
    }
    cfg_unref(cfg);
}

/* ---- upstreams that are gone -------------------------------------------- */

/* The list alone proves nothing: it lags, and a frozen VM may be missing
   from it.  Off the list and silent for gone_ms together is taken as the
   end of the VM.  Should it come back, it is fenced and its report counted
   before anything else is placed there. */
static void
settle_lost(PlCore *c, Upstream *u, uint64_t now_ms)
{
    if (!is_lost(c, u) || !c->log_reachable) {
        return;
    }
    g_autoptr(GPtrArray) list = list_loads_at(u);
    for (guint i = 0; i < list->len; i++) {
        Load *l = list->pdata[i];
        if (l->phase == LOAD_SETTLING && now_ms < l->next_try_ms) {
            continue;
        }
        if (!find_intent(c, u->id, l->model)) {
            remove_load(l);
            continue;
        }
        set_phase(l, LOAD_SETTLING, now_ms);
        l->ended = true;
        l->next_try_ms = now_ms + RECORD_RETRY_MS;
        append_settle(c, u->id, l->model, l->load_id, SETTLE_ENDED);
    }
}

static gboolean
is_forgettable(gpointer id, gpointer p, gpointer ctx)
{
    (void)id;
    const PlCore *c = ctx;
    const Upstream *u = p;
    return u->gone && !u->dirty && !u->poll_out && !u->fence_out &&
           c->now_ms - u->gone_ms > FORGET_GONE_MS + c->params.gone_ms &&
           g_hash_table_size(u->loads) == 0;
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
        poll_upstream(c, u, now_ms);
        settle_upstream(c, u, now_ms);
        settle_lost(c, u, now_ms);
    }
}

void
pl_on_tick(PlCore *c, uint64_t now_ms)
{
    c->now_ms = now_ms;
    c->start_ms = c->start_ms ? c->start_ms : now_ms;
    note_claim(c, now_ms);
    consider_claim(c, now_ms);
    close_epochs(c, now_ms);
    if (c->owner) {
        run_upstreams(c, now_ms);
    }
    decide(c, now_ms);
    if (c->owner && !c->draining) {
        consider_clear(c, now_ms);
        consider_refresh(c, now_ms);
    }
    hand_over(c, now_ms);
    g_hash_table_foreach_remove(c->upstreams, is_forgettable, c);
}

/* Unknown deployments count as ignoring the numbers: the safe side. */
static void
note_fencing(Upstream *u, const CfgSet *cfg)
{
    const CfgUpstreams *group = cfg_find_upstreams(cfg, u->deployment);
    u->fenced = group && group->fenced && group->engine;
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
    Upstream *u = get_upstream(c, vm->id);
    if (strcmp(u->deployment, vm->deployment) != 0) {
        g_free(u->deployment);
        u->deployment = g_strdup(vm->deployment);
        u->dirty = true;
    }
    if (g_strcmp0(u->address, vm->address) != 0) {
        /* An id that is back under another address is a new upstream. */
        g_free(u->address);
        u->address = g_strdup(vm->address);
        u->leaving = false;
        u->dirty = true;
    }
    note_fencing(u, cfg);
    /* A list that lags may still call a leaver live: leaving is one-way
       for an id. */
    if ((vm->leaving && !u->leaving) || u->gone) {
        u->dirty = true;
    }
    u->leaving = u->leaving || vm->leaving;
    if (u->gone) {
        u->gone = false;
        u->settled_epoch = 0; /* fence and report before any order */
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

/* An intent took effect that was given up before: it was never ordered. */
static void
drop_orphan(PlCore *c, const Bg__IntentRecord *r)
{
    append_settle(c, r->upstream, r->model, r->load_id, SETTLE_ABSENT);
    bg_count("placer_orphan_intents_total", 1);
}

static void
win_intent(Load *l, uint64_t now_ms)
{
    l->closed_recorded = false; /* the record opened it for this epoch */
    if (l->phase != LOAD_RECORDING) {
        return;
    }
    set_phase(l, l->found ? LOAD_LOADING : LOAD_ORDERING, now_ms);
    l->found = false;
}

static void
lose_intent(const PlCore *c, Load *l, uint64_t now_ms)
{
    bg_count("placer_intents_lost_total", 1);
    if (find_intent(c, l->at->id, l->model)) {
        return; /* counts already; step down or the next report decides */
    }
    if (!l->found && !l->granted) {
        if (l->phase == LOAD_RECORDING) {
            remove_load(l);
        }
        return;
    }
    /* It is there, or may be, beyond what was decided: drop it unless what
       stands against it goes first. */
    l->next_try_ms = now_ms + REFUSED_RETRY_MS;
    if (++l->found_tries >= FOUND_TRIES && !l->order_out) {
        set_phase(l, LOAD_UNLOADING, now_ms);
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
    Load *l = find_load(c, r->upstream, r->model);
    bool same = l && strcmp(l->load_id, r->load_id) == 0;
    if (result == FOLD_WON && same) {
        win_intent(l, now_ms);
    }
    else if (result == FOLD_WON) {
        drop_orphan(c, r);
    }
    else if (same) {
        lose_intent(c, l, now_ms);
    }
}

static void
take_settle(PlCore *c, uint64_t now_ms, const Bg__SettleRecord *r,
            FoldResult result)
{
    Load *l = find_load(c, r->upstream, r->model);
    if (!l || strcmp(r->data_centre, c->params.data_centre) != 0 ||
        strcmp(l->load_id, r->load_id) != 0) {
        return;
    }
    if (result != FOLD_WON) {
        if (l->phase == LOAD_SETTLING) {
            set_phase(l, LOAD_LINGERING, now_ms);
        }
        return;
    }
    if (!r->loaded) {
        remove_load(l);
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
        note_claim(c, now_ms);
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
pl_on_beat(PlCore *c, uint64_t now_ms, const char *node, bool owner)
{
    if (!owner) {
        return;
    }
    uint64_t *beat = g_new(uint64_t, 1);
    *beat = now_ms;
    g_hash_table_replace(c->beats, g_strdup(node), beat);
}

/* Whether the standing grant covers L where it is. */
static bool
is_covered(const PlCore *c, const CfgSet *cfg, const Load *l)
{
    const FoldGrant *g = find_own_grant(c);
    const CfgModel *m = cfg_find_model(cfg, l->model);
    const char *id =
        g && m ? pick_grant(g, m->upstreams, get_grant_key(m)) : NULL;
    return id && l->at->fenced && l->at->confirmed && is_settled(c, l->at) &&
           strcmp(id, l->at->id) == 0;
}

/* An intent that waits for a log that went away blocks its model.  Under the
   grant the load goes on.  Any other is given up: nothing was ordered under
   it, and should it take effect later it is settled then. */
static void
give_up_recording(PlCore *c)
{
    CfgSet *cfg = fold_get_config(c->fold);
    g_autoptr(GPtrArray) list = list_loads(c);
    for (guint i = 0; i < list->len; i++) {
        Load *l = list->pdata[i];
        if (l->phase != LOAD_RECORDING || l->found ||
            find_intent(c, l->at->id, l->model)) {
            continue;
        }
        if (is_covered(c, cfg, l)) {
            l->granted = true;
            set_phase(l, LOAD_ORDERING, c->now_ms);
        }
        else {
            remove_load(l);
        }
    }
    cfg_unref(cfg);
}

/* A grant holds on a life of an upstream that was fenced while the claim
   was in force.  Only a log read that began after the fence proves that, so
   one that ends a read's longest time after it. */
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
            (is_settled(c, u) && now_ms - u->settled_ms > GRANT_CONFIRM_MS);
    }
}

void
pl_on_log(PlCore *c, uint64_t now_ms, bool reachable, bool caught_up)
{
    c->now_ms = now_ms;
    if (reachable != c->log_reachable) {
        c->log_turned_ms = now_ms;
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
    /* Without the log there is nothing to hand over with; the successor
       then counts what is open. */
    return handed_over ||
           (!c->log_reachable && c->now_ms - c->drain_ms > DRAIN_LOG_WAIT_MS);
}

/* ---- invariants ----------------------------------------------------------
 */

static void
check_load(const PlCore *c, const Load *l, GString *faults)
{
    const FoldIntent *in = find_intent(c, l->at->id, l->model);
    bool ordered = l->phase != LOAD_RECORDING;
    if (ordered && !in && !l->granted && !l->found &&
        l->phase != LOAD_UNLOADING) {
        g_string_append_printf(faults, "%s on %s is %s without a record\n",
                               l->model, l->at->id, phase_names[l->phase]);
    }
    if (l->granted && !l->at->fenced) {
        g_string_append_printf(faults, "%s on %s: grant without fencing\n",
                               l->model, l->at->id);
    }
    if (in && strcmp(in->load_id, l->load_id) != 0 &&
        l->phase != LOAD_RECORDING) {
        g_string_append_printf(faults, "%s on %s: another load is recorded\n",
                               l->model, l->at->id);
    }
}

static void
check_upstream(const PlCore *c, const Upstream *u, GString *faults)
{
    uint32_t mb = fold_count_memory(c->fold, c->params.data_centre, u->id);
    if (u->capacity_mb && mb > u->capacity_mb) {
        g_string_append_printf(faults, "%s: %u MB recorded of %u\n", u->id, mb,
                               u->capacity_mb);
    }
    if (u->settled_epoch > c->claim_epoch) {
        g_string_append_printf(faults, "%s: settled in the future\n", u->id);
    }
    g_autoptr(GPtrArray) list = list_loads_at(u);
    for (guint i = 0; c->owner && i < list->len; i++) {
        check_load(c, list->pdata[i], faults);
    }
}

uint32_t
pl_check(const PlCore *c, GString *faults)
{
    gsize before = faults->len;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        check_upstream(c, p, faults);
    }
    const FoldClaim *claim = fold_find_claim(c->fold, c->params.data_centre);
    if (c->owner && (!claim || claim->epoch < c->claim_epoch)) {
        g_string_append(faults, "owner without a claim\n");
    }
    uint32_t n = 0;
    for (gsize i = before; i < faults->len; i++) {
        n += faults->str[i] == '\n';
    }
    return n;
}

/* ---- state -------------------------------------------------------------- */

/* Only what this owner counts is told to routers, and nothing that is about
   to be dropped. */
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
    s->known = c->owner && is_settled(c, u) && u->boot != NULL;
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
    return json_pack(
        "{s:s, s:b, s:b, s:i, s:i, s:b, s:b, s:b}", "id", u->id, "leaving",
        u->leaving, "gone", u->gone, "capacity_mb", (int)u->capacity_mb,
        "counted_mb", (int)count_memory(c, u), "settled", is_settled(c, u),
        "fenced", u->fenced, "confirmed", u->confirmed && is_settled(c, u));
}

char *
pl_dump(const PlCore *c)
{
    json_t *loads = json_array();
    g_autoptr(GPtrArray) list = list_loads(c);
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
    const FoldGrant *g = find_own_grant(c);
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
