/* placer_internal: internals of the placement core, for the placer_*.c files
   only.

   placer.c            creation, events, and the published state
   placer_loads.c      look-ups of upstreams, loads and models; records for the
                       log
   placer_ownership.c  ownership of the data centre, and the standing grant
   placer_order.c      orders to upstreams, their answers and reports
   placer_decisions.c  counting of replicas and memory, choice of upstreams,
                       decisions
   placer_check.c      invariants */
#ifndef PLACER_INTERNAL_H
#define PLACER_INTERNAL_H

#include "placer.h"

#define MAX_MISSED_POLLS 3 /* then an upstream is unreachable */
#define CLAIM_RETRY_MS 2000
#define CLAIM_GRACE_MAX_MS 60000
#define VM_LIST_WAIT_MS 3000
#define GRANT_FIRST_MS 1000
#define GRANT_REFRESH_MS 10000
#define GRANT_CONFIRM_MS 3500 /* more than the longest read of the log */
#define RECORD_RETRY_MS 3000
#define ORDER_RETRY_MS 200
#define REFUSED_RETRY_MS 1000
#define GONE_POLL_MS 1000
#define LOADING_POLL_MS 40
#define FORGET_GONE_MS 60000
#define DEMAND_MAX_AGE_MS 3000
#define MIN_GAP_MS 1500
#define KEEP_MAX_MS (30u * 60 * 1000)

#define BACKOFF_MIN_MS 500
#define BACKOFF_MAX_MS 15000
#define NO_ROOM_RETRY_AFTER_MS 2000
#define LOG_UNREACHABLE_RETRY_AFTER_MS 5000
/* Deadline slack that a priority step is worth, and the model size that counts
   as 1 ms of slack. */
#define PRIORITY_SLACK_MS 2000
#define MB_PER_SLACK_MS 100
#define DRAIN_LOG_WAIT_MS 5000
/* An unrecorded replica is unloaded once the log has rejected its intent this
   many times. */
#define MAX_LOST_INTENTS 5

typedef enum {
    LOAD_RECORDING, /* intent appended, not yet in effect */
    LOAD_ORDERING,  /* intent in effect; order not yet acknowledged */
    LOAD_LOADING,   /* acknowledged */
    LOAD_LOADED,
    LOAD_UNLOADING, /* unload ordered, not acknowledged */
    LOAD_LINGERING, /* absent, but a load order for it may still arrive */
    LOAD_SETTLING   /* absent for good; settle record not yet in effect */
} LoadPhase;

static const char *const phase_names[] = {
    "recording", "ordering",  "loading", "loaded",
    "unloading", "lingering", "settling"};

/* A replica, or a possible replica, of a model on an upstream. */
typedef struct {
    struct Upstream *at;
    char *model;
    char load_id[BG_ID_LEN + 1];
    LoadPhase phase;
    uint32_t memory_mb;
    uint64_t phase_ms;    /* when the phase began */
    uint64_t next_try_ms; /* next attempt at its order or record */
    bool order_out;       /* an order is with a worker */
    uint64_t order_fence; /* highest fencing token of its load orders */
    uint64_t ack_seq;     /* reports above it reflect the last acknowledged
                             order */
    uint32_t acked;       /* load orders known to have been accepted */
    char *boot;           /* of the upstream, that its orders are for */
    /* Load orders whose outcome is unknown.  Each may still arrive until that
       boot ends or, on a fencing upstream, a higher number was seen. */
    uint32_t unknown;
    bool seen_absent;      /* in a report since the last load order */
    bool adopted;          /* taken over from the log when ownership began */
    bool found;            /* reported without a record; being recorded */
    uint32_t lost_intents; /* intents that the log rejected */
    uint64_t final_ms;     /* ADOPTED: since when no order for it can arrive */
    bool ended;            /* its boot has ended */
    bool granted;          /* ordered under the standing grant */
    bool loaded_recorded;  /* the log has it as loaded */
    bool closed_recorded;  /* the log has that no load order of this epoch for
                              it can still arrive */
    bool from_store;       /* weights come from the store, not a local tier */
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
    uint64_t gone_ms;     /* when it left the VM list */
    uint32_t capacity_mb; /* 0: no report yet */
    uint32_t inflight;
    uint64_t seq;       /* of the newest report applied */
    char *boot;         /* of that report */
    uint64_t boot_ms;   /* when the newest report of this boot was requested */
    uint64_t report_ms; /* when the last report arrived */
    uint64_t next_poll_ms;
    uint64_t poll_sent_ms;
    uint32_t missed_polls;  /* since the last report */
    uint64_t settled_epoch; /* epoch in which it was fenced and reported: it
                               may be sent orders of that epoch */
    uint64_t settled_ms;    /* when that was */
    uint64_t fence_sent_ms;
    uint64_t next_fence_ms;
    uint64_t fresh_ms;     /* the newest report was made after this time */
    uint64_t fenced_to;    /* highest number it acknowledged in this boot */
    uint64_t ack_seq;      /* reports above it reflect all answered orders */
    GHashTable *residents; /* model -> Resident */
    GHashTable *tiers;     /* model -> int: 1 disk, 2 memory */
    GHashTable *loads;     /* model -> Load */
    bool engine;           /* accepts orders; other services are only polled */
    bool fenced;           /* checks fencing tokens */
    bool leaving;
    bool gone;  /* not on the VM list */
    bool dirty; /* its state changed and is not yet published to routers */
    bool poll_out;
    bool confirmed; /* a log read that began after the fence showed this
                       placer's claim still in force */
    bool fence_out;
    bool needs_fresh_report; /* one that is made from now on */
} Upstream;

/* The routers' demand for a model, and its usage. */
typedef struct {
    char *name;
    GHashTable *routers; /* node -> RouterDemand */
    uint64_t last_used_ms;
    uint64_t demand_since_ms; /* since when requests wait; 0: none do */
    uint64_t refused_ms;      /* when its waiting requests were refused */
    uint32_t failures;        /* consecutive failed loads */
    uint64_t next_load_ms;    /* no load before: back-off after failures */
    KeepStats gaps;           /* times between uses */
} Model;

typedef struct {
    uint32_t waiting;
    uint64_t deadline_ms;
    uint32_t priority;
    uint32_t inflight;
    uint64_t seen_ms;
} RouterDemand;

/* An epoch of this process that ended and is not yet quiesced. */
typedef struct {
    uint64_t epoch;
    uint32_t orders_out; /* still with workers */
    GPtrArray *open; /* "upstream\nmodel" of orders whose outcome is unknown */
    uint64_t next_try_ms;
} ClosingEpoch;

struct PlCore {
    PlParams params;
    const Fold *fold;
    PlOutput out;
    BgRandom rng;
    GHashTable *upstreams;        /* id -> Upstream */
    GHashTable *models;           /* name -> Model */
    GHashTable *owner_heartbeats; /* node -> uint64_t time of its last
                                       heartbeat as owner */
    GPtrArray *closing;           /* ClosingEpoch */
    uint64_t now_ms;
    uint64_t start_ms;
    bool vms_known;
    bool log_reachable;
    bool caught_up;
    uint64_t log_changed_ms; /* when reachability last changed */
    bool draining;
    uint64_t drain_ms;
    uint64_t quiesce_try_ms;
    uint64_t claim_tried_ms;
    uint64_t claim_seen_ms;  /* when the claim in force was first seen */
    uint64_t claim_grace_ms; /* how long a claim is respected without a
                                heartbeat of its holder */
    uint64_t claim_epoch;
    char *claim_holder;
    uint64_t clear_try_ms;
    uint64_t grant_changed_ms; /* since when the grant's list of upstreams is
                                  out of date; 0: it is not */
    uint64_t store_start_ms;   /* last start of a load from the store */
    uint32_t orders_out;       /* of claim_epoch, with workers; while owner */
    uint64_t residency_seq;
    bool owner;
};

typedef enum {
    SETTLE_LOADED,
    SETTLE_CLOSED,
    SETTLE_ABSENT,
    SETTLE_ENDED
} SettleOutcome;

typedef struct {
    uint32_t counted; /* against the ceiling: recorded, not yet recorded, or
                         possible */
    uint32_t usable;  /* loaded or to be loaded, on an upstream that is
                         reachable and not leaving */
    Load *lingering;  /* one that may be loaded again under its record */
} Replicas;

/* ---- placer.c: creation, events, and the published state ---- */
void pl_free_load(gpointer p);

/* ---- placer_loads.c: look-ups and records for the log ---- */
Upstream *pl_get_upstream(PlCore *c, const char *id);
Load *pl_find_load(const PlCore *c, const char *upstream, const char *model);
Load *pl_add_load(Upstream *u, const char *model, LoadPhase phase,
                  uint64_t now_ms);
void pl_remove_load(Load *l);
void pl_set_phase(Load *l, LoadPhase phase, uint64_t now_ms);
Model *pl_get_model(PlCore *c, const char *name);
GPtrArray *pl_list_loads_at(const Upstream *u);
GPtrArray *pl_list_loads(const PlCore *c);
const FoldIntent *pl_find_intent(const PlCore *c, const char *upstream,
                                 const char *model);
bool pl_is_settled(const PlCore *c, const Upstream *u);
bool pl_is_lost(const PlCore *c, const Upstream *u);
GPtrArray *pl_list_grant_upstreams(const PlCore *c);
void pl_append_claim(PlCore *c, uint64_t base);
void pl_append_intent(PlCore *c, const Load *l, uint32_t ceiling,
                      bool adapter);
void pl_append_settle(PlCore *c, const char *upstream, const char *model,
                      const char *load_id, SettleOutcome outcome);
void pl_append_clear(PlCore *c);
void pl_append_quiesce(PlCore *c, uint64_t epoch, const GPtrArray *open);

/* ---- placer_ownership.c: ownership and the standing grant ---- */
void pl_consider_claim(PlCore *c, uint64_t now_ms);
void pl_note_claim(PlCore *c, uint64_t now_ms);
void pl_close_epochs(PlCore *c, uint64_t now_ms);
void pl_hand_over(PlCore *c, uint64_t now_ms);
const char *pl_pick_grant_upstream(const FoldGrant *g, const char *deployment,
                                   const char *key);
const char *pl_get_grant_key(const CfgModel *m);
const FoldGrant *pl_find_own_grant(const PlCore *c);
uint32_t pl_count_possible(const PlCore *c, const CfgModel *m);
void pl_consider_clear(PlCore *c, uint64_t now_ms);
void pl_consider_refresh(PlCore *c, uint64_t now_ms);

/* ---- placer_order.c: orders to upstreams, their answers and reports ---- */
uint64_t pl_get_fence(const PlCore *c);
void pl_send_order(PlCore *c, PlOrderKind kind, const Upstream *u,
                   const CfgModel *m, Load *l);
void pl_poll_upstream(PlCore *c, Upstream *u, uint64_t now_ms);
void pl_settle_upstream(PlCore *c, Upstream *u, uint64_t now_ms);
void pl_take_absent(PlCore *c, Load *l, uint64_t now_ms);

/* ---- placer_decisions.c: counting, choice and decisions ---- */
uint32_t pl_count_unrecorded(const PlCore *c, const Upstream *u,
                             const char *except);
uint32_t pl_count_memory(const PlCore *c, const Upstream *u);
void pl_decide(PlCore *c, uint64_t now_ms);
void pl_settle_lost(PlCore *c, Upstream *u, uint64_t now_ms);
gboolean pl_is_forgettable(gpointer id, gpointer p, gpointer ctx);

#endif
