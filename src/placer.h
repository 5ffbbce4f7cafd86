/* pl: placement of models on the upstreams of one data centre.  It decides
   which model is loaded on which upstream and when it is unloaded.

   Several placers run in a data centre.  One of them owns it: its claim is
   the newest in the log.  The owner records an intent in the log before it
   orders a load, and sends the order only once the intent is in effect.  So
   whatever a paused or dead owner still sends is already counted.  The one
   exception is the standing grant of the claim, under which some loads may be
   ordered while the log is unreachable (placer_ownership.c).

   Terms: an epoch is the term of one claim.  A fencing upstream refuses
   orders whose fencing token is below the highest that it has seen.  A boot
   is one run of an upstream's process, from start to exit.

   A state machine without threads, I/O or clock: events come in as calls
   with the time, actions go out through PlOutput.  It reads the Fold, which
   its caller applies and owns. */
#ifndef PLACER_H
#define PLACER_H

#include "base.h"
#include "bglade.pb-c.h"
#include "fold.h"
#include "keep.h"

typedef struct {
    const char *node;        /* this process */
    const char *data_centre; /* whose upstreams it places on */
    uint32_t lease_ms;       /* an owner not heard from for this time is
                                succeeded */
    uint32_t poll_ms;        /* between polls of one upstream */
    uint32_t max_loads;      /* concurrent loads from the weight store, this
                                data centre's share */
    uint32_t load_gap_ms;    /* between starts of such loads, this data
                                centre's share */
    uint32_t max_adapters;   /* being loaded at once, this data centre's
                                share */
    uint32_t gone_ms;        /* an upstream that is off the VM list and silent
                                for this time is presumed not to exist */
    KeepPolicy keep_policy;
    uint32_t keep_min_ms;
    uint32_t keep_fixed_ms;
    uint32_t per_replica; /* waiting requests for each replica */
    uint64_t seed;
} PlParams;

typedef enum { PL_POLL, PL_FENCE, PL_LOAD, PL_UNLOAD } PlOrderKind;

/* A call to an upstream.  Strings are valid during the callback only. */
typedef struct {
    PlOrderKind kind;
    const char *upstream;
    const char *address;
    const char *model; /* LOAD and UNLOAD */
    const char *base;  /* LOAD of an adapter */
    const char *load_id;
    uint32_t memory_mb;
    uint32_t load_ms;
    uint64_t fence;   /* fencing token */
    uint64_t epoch;   /* not to be sent once the owner's epoch has changed */
    const char *boot; /* LOAD and UNLOAD: to this boot of the upstream only */
} PlOrder;

typedef enum {
    PL_ACKED,    /* accepted; seq and, for POLL and FENCE, report are set */
    PL_STALE,    /* refused: fencing token too low */
    PL_BUSY,     /* refused for another reason, such as a model in use */
    PL_NOT_SENT, /* never reached the upstream, or it runs another boot */
    PL_UNKNOWN   /* no answer: the order may have been carried out, or may
                    still be at any later time */
} PlOrderOutcome;

typedef struct {
    const char *model;
    const char *load_id;
    bool loaded; /* else loading */
    uint32_t memory_mb;
} PlResident;

/* An upstream's report of its state. */
typedef struct {
    const char *boot; /* id of this run of its process */
    uint64_t seq;     /* rises with each report of a boot */
    uint32_t capacity_mb;
    uint32_t inflight;
    bool leaving;
    const PlResident *residents;
    size_t resident_count;
    const char *const *memory_tier; /* checkpoints in memory; NULL-ended */
    const char *const *disk_tier;   /* on local disk; NULL-ended */
} PlReport;

typedef struct {
    PlOrderKind kind;
    const char *upstream;
    const char *model;
    const char *load_id;
    PlOrderOutcome outcome;
    uint64_t fence;         /* as in the order */
    uint64_t epoch;         /* as in the order */
    uint64_t seq;           /* the upstream's seq when it acknowledged */
    const PlReport *report; /* or NULL */
} PlOrderResult;

/* An entry of the platform's VM list, in this data centre. */
typedef struct {
    const char *id;
    const char *deployment;
    const char *address;
    bool leaving;
} PlVm;

typedef struct {
    void *ctx;
    /* Append R to the log; the callee owns R. */
    void (*append)(void *ctx, Bg__Record *r);
    /* Answered by pl_on_order_done, never from within this call. */
    void (*order)(void *ctx, const PlOrder *o);
    /* Routers refuse all requests that wait for MODEL. */
    void (*refuse)(void *ctx, const char *model, uint64_t retry_after_ms,
                   const char *reason);
} PlOutput;

typedef struct PlCore PlCore;

PlCore *pl_create(const PlParams *params, const Fold *fold,
                  const PlOutput *out);
void pl_destroy(PlCore *c);

/* ---- events ------------------------------------------------------------- */
void pl_on_tick(PlCore *c, uint64_t now_ms);
void pl_on_vms(PlCore *c, uint64_t now_ms, const PlVm *vms, size_t count);
void pl_on_config(PlCore *c, const CfgSet *cfg);
void pl_on_order_done(PlCore *c, uint64_t now_ms, const PlOrderResult *r);
/* The fold has applied record R, at OFFSET in the log, with RESULT. */
void pl_on_record(PlCore *c, uint64_t now_ms, uint64_t offset,
                  const Bg__Record *r, FoldResult result);
void pl_on_demand(PlCore *c, uint64_t now_ms, const char *from,
                  const Bg__Demand *d);
/* A heartbeat of another placer of this data centre.  OWNER: it is the owner
   and active (see pl_is_active). */
void pl_on_heartbeat(PlCore *c, uint64_t now_ms, const char *node, bool owner);
/* Whether the log is reachable, and whether the fold has applied all of it. */
void pl_on_log(PlCore *c, uint64_t now_ms, bool reachable, bool caught_up);
/* The process is stopping: make no more decisions, and hand over. */
void pl_on_drain(PlCore *c, uint64_t now_ms);

/* ---- state -------------------------------------------------------------- */
bool pl_is_owner(const PlCore *c);
/* The epoch under which orders may be sent now; 0 if this is no owner. */
uint64_t pl_get_order_epoch(const PlCore *c);
/* Owner, and neither draining nor without the log for longer than the lease.
   Heartbeats carry this; a placer that receives it does not claim. */
bool pl_is_active(const PlCore *c);
/* Draining is complete: no order is pending and all epochs are handed over, or
   can't be as the log has been unreachable for too long. */
bool pl_is_drained(const PlCore *c);
/* Check the invariants of this core and its fold; append a line for each
   violation to FAULTS.  Returns their number. */
uint32_t pl_check(const PlCore *c, GString *faults);
/* State of the upstreams to publish to routers: a snapshot when FULL, else a
   delta since the last delta, or NULL if nothing changed.  Free with the
   protobuf call. */
Bg__Residency *pl_take_residency(PlCore *c, bool full);
/* JSON; free with g_free. */
char *pl_dump(const PlCore *c);

#endif
