/* mp: what is loaded on which upstream, decided by the one VM that holds the
   lease for it.

   Models are loaded when callers wait for them, on more upstreams as their
   use grows, and where room is left before anybody asks.  Memory is counted
   from the order on: an order of which no answer came counts until something
   proves that it can't act.  Each order names the number of orders that the
   upstream had accepted (its sequence) when its content was last known, so an
   order of this or an earlier holder that acts late finds another number and
   is refused, and nothing is ever loaded onto content that is not known.

   The load that it answers: a few models have most requests, which of them
   changes within seconds; many are asked for now and then, more than there is
   room for, so that loads and unloads go on all the time.  Who gets a place is
   decided by callers a second that come too late with and without it, observed
   from arrivals, from requests at each upstream and from refusals.  A hot
   model then spreads until its upstreams serve it well, a fallen one gives its
   places up at once, and rare ones share the rest by what coming back costs.

   A state machine without threads, I/O or clock. */
#ifndef MP_H
#define MP_H

#include "bg_base.h"
#include "dep.h"
#include "dm.h"

typedef enum {
    MP_ORDER_ACCEPTED,  /* it is being carried out */
    MP_ORDER_NO_CHANGE, /* already so */
    MP_ORDER_CONFLICT,  /* another is in progress, or the sequence differs */
    MP_ORDER_REFUSED,   /* not carried out: wrong upstream or unknown model */
    MP_ORDER_NOT_SENT,
    MP_ORDER_UNKNOWN /* may act yet */
} MpOrderResult;

typedef struct {
    const char *upstream; /* id; with the life that is expected there */
    const char *address;
    const char *model;
    const char *adapter; /* NULL: the model itself */
    bool unload;
    bool from_store; /* no copy is beside the upstream */
    uint64_t sequence;
} MpOrder;

typedef void (*MpOrderFn)(void *ctx, MpOrderResult end, uint16_t status);

typedef struct {
    void *ctx;
    /* Answered by mp_on_order_result; one at a time for each upstream. */
    void (*order)(void *ctx, const MpOrder *order);
    /* Ask the upstream for a report; answered by mp_on_report. */
    void (*request_report)(void *ctx, const DepUpstream *of);
    /* Gateways are to believe this of UPSTREAM: DepResident list, borrowed. */
    void (*publish)(void *ctx, const char *upstream, const GPtrArray *models);
    /* UPSTREAM did not answer: they are to leave it alone until it is placed
       anew. */
    void (*away)(void *ctx, const char *upstream);
    /* For the log: a replica of MODEL is believed to serve GOOD requests at
       once well, as SLOW of its answers were slow with LOAD at each of its
       REPLICAS. */
    void (*capacity_estimated)(void *ctx, const char *model, double capacity,
                               double slow, double load, uint32_t replicas);
} MpOutput;

typedef struct {
    bool prefetch; /* into room that nobody needs */
} MpParams;

/* Loads that the weight store serves side by side at full speed, as learnt
   from how long they took. */
typedef struct {
    uint32_t at_once; /* that are begun side by side */
    uint32_t most;    /* with more they came late; 0: not seen yet */
} MpStoreLimits;

typedef struct Mp Mp;

Mp *mp_create(const MpParams *params, const MpOutput *out);
void mp_destroy(Mp *m);

void mp_on_config(Mp *m, DepConfig *c);
void mp_on_entry(Mp *m, uint64_t now_ms, const DepUpstream *entry);
void mp_on_removed(Mp *m, const char *id);
/* It is about to end: nothing more is loaded there. */
void mp_on_draining(Mp *m, const char *id);
void mp_keep_only(Mp *m, GHashTable *ids);

/* The lease was gained: nothing that was believed before counts. */
void mp_on_lease_gained(Mp *m, uint64_t now_ms);
/* SUMS over all gateways that changed, or all that there are. */
void mp_on_demand(Mp *m, uint64_t now_ms, const DmDemand *sums);
/* A gateway's call broke off there: it may be down, so it is asked. */
void mp_on_suspected(Mp *m, uint64_t now_ms, const char *id);
/* REPORT: NULL when the upstream did not answer. */
void mp_on_report(Mp *m, uint64_t now_ms, const char *id,
                  const DepUpstream *report);
void mp_on_order_result(Mp *m, uint64_t now_ms, const char *id,
                        MpOrderResult end);
/* Decide what is due; orders are given only when MAY_ORDER. */
void mp_on_tick(Mp *m, uint64_t now_ms, bool may_order);

/* Each model that is wanted and not held: VISIT with its wait. */
void mp_visit_waits(Mp *m, uint64_t now_ms,
                    void (*visit)(void *ctx, const char *model,
                                  uint32_t wait_ms),
                    void *ctx);
/* Upstreams with models that there are, and those of them that are cut off
   from here: they did not answer, and others use them, or no gateway of their
   data centre is among LINKED (a set of names) either.  One that merely
   crashed is no more within another VM's reach. */
void mp_count_cut_off(const Mp *m, uint64_t now_ms, GHashTable *linked,
                      uint32_t *all, uint32_t *cut_off);
/* What the VM that placed before had learnt of the weight store. */
void mp_set_store_limits(Mp *m, MpStoreLimits rate);
MpStoreLimits mp_get_store_limits(const Mp *m);
/* What all gateways together have at an upstream. */
typedef struct {
    uint32_t running; /* requests, as last said */
    uint32_t wait_ms; /* of one that comes now, for its first byte behind those
                         that wait: as many times the pause between beginnings
                         there */
    bool stalled;     /* requests wait there, and no answer begins */
} MpLoad;

/* VISIT each upstream that has requests.  To be called a few times a second:
   the pauses are learnt by it. */
void mp_visit_loads(Mp *m, uint64_t now_ms,
                    void (*visit)(void *ctx, const char *upstream,
                                  const MpLoad *load),
                    void *ctx);

#endif
