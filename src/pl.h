/* pl: placement decisions of one data centre.  What is loaded where, by
   which owner, and when it is dropped.

   A state machine without threads, I/O or clock: events come in as calls
   with the time, actions go out through PlOutput.  It reads the Fold, which
   its caller applies and owns, and follows one rule: an order is given only
   under a record in effect, so whatever a paused or dead owner still sends
   is already counted. */
#ifndef PL_H
#define PL_H

#include "bg_base.h"
#include "bglade.pb-c.h"
#include "fold.h"
#include "keep.h"

typedef struct {
    const char *node;        /* this process */
    const char *data_centre; /* whose upstreams it may own */
    uint32_t lease_ms;       /* an owner silent for so long is succeeded */
    uint32_t poll_ms;        /* between reports of one upstream */
    uint32_t max_loads;      /* from the store at once, this centre's share */
    uint32_t load_gap_ms;    /* between starts of them, this centre's share */
    uint32_t max_adapters;   /* in transit at once, this centre's share */
    uint32_t gone_ms;        /* off the VM list and silent for so long: the
                                upstream's VM no longer exists */
    KeepPolicy keep_policy;
    uint32_t keep_min_ms;
    uint32_t keep_fixed_ms;
    uint32_t per_replica; /* waiting requests that ask for one replica */
    uint64_t seed;
} PlParams;

typedef enum { PL_POLL, PL_FENCE, PL_LOAD, PL_UNLOAD } PlOrderKind;

/* A call to an upstream.  Text is valid during the callback only. */
typedef struct {
    PlOrderKind kind;
    const char *upstream;
    const char *address;
    const char *model; /* LOAD and UNLOAD */
    const char *base;  /* LOAD of an adapter */
    const char *load_id;
    uint32_t memory_mb;
    uint32_t load_ms;
    uint64_t fence;   /* refused by a fencing upstream that saw a higher one */
    uint64_t epoch;   /* not to be sent once this is no longer the owner's */
    const char *boot; /* LOAD and UNLOAD: only to this life of it */
} PlOrder;

typedef enum {
    PL_ACKED,    /* taken; seq and, for POLL and FENCE, report are set */
    PL_STALE,    /* refused: old fencing number */
    PL_BUSY,     /* refused for another reason, such as in use */
    PL_NOT_SENT, /* never reached the upstream, or not the life it is for */
    PL_UNKNOWN   /* may have been taken, or may be at any later time */
} PlOrderOutcome;

typedef struct {
    const char *model;
    const char *load_id;
    bool loaded; /* else loading */
    uint32_t memory_mb;
} PlResident;

/* An upstream's own report.  seq rises with each report it makes. */
typedef struct {
    const char *boot; /* differs after each restart */
    uint64_t seq;
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
    uint64_t fence;         /* the number the order carried */
    uint64_t epoch;         /* as in the order */
    uint64_t seq;           /* of the upstream when it acknowledged */
    const PlReport *report; /* or NULL */
} PlOrderResult;

/* One line of the platform's VM list, of this data centre. */
typedef struct {
    const char *id;
    const char *deployment;
    const char *address;
    bool leaving;
} PlVm;

typedef struct {
    void *ctx;
    void (*append)(void *ctx, Bg__Record *r); /* takes R */
    void (*order)(void *ctx, const PlOrder *o);
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
/* After the fold took an entry: R had RESULT at OFFSET. */
void pl_on_record(PlCore *c, uint64_t now_ms, uint64_t offset,
                  const Bg__Record *r, FoldResult result);
void pl_on_demand(PlCore *c, uint64_t now_ms, const char *from,
                  const Bg__Demand *d);
/* A placer of this data centre was heard.  OWNER: it owns the data centre
   and reads the log. */
void pl_on_heartbeat(PlCore *c, uint64_t now_ms, const char *node, bool owner);
/* Whether the log answers, and whether the fold has all of it. */
void pl_on_log(PlCore *c, uint64_t now_ms, bool reachable, bool caught_up);
/* Stop giving orders and hand over. */
void pl_on_drain(PlCore *c, uint64_t now_ms);

/* ---- state -------------------------------------------------------------- */
bool pl_is_owner(const PlCore *c);
/* The epoch under which orders may be sent now; 0: none. */
uint64_t pl_get_order_epoch(const PlCore *c);
/* Owner, and neither stopping nor long without the log: whoever hears so
   need not succeed it. */
bool pl_is_active(const PlCore *c);
/* Nothing of this process is under way or left to hand over. */
bool pl_is_drained(const PlCore *c);
/* Check every invariant of this core and its fold that one process can see;
   a line for each broken one goes to FAULTS.  Returns their number. */
uint32_t pl_check(const PlCore *c, GString *faults);
/* What routers should know: everything when FULL, else what changed since
   the last call; NULL when nothing did.  Free with the protobuf call. */
Bg__Residency *pl_take_residency(PlCore *c, bool full);
/* JSON; free with g_free. */
char *pl_dump(const PlCore *c);

#endif
