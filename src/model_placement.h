/* mp: model placement, which decides what is loaded on which upstream.  It
   runs on the leader, the one VM that holds the lease for placement.

   A model is loaded when requests wait for it, gets more replicas as its load
   grows, and is prefetched where memory is free.  Memory is accounted for from
   the moment an order is sent; an order without an answer counts until it is
   certain that it can no longer take effect.  Each order carries the
   upstream's sequence, the number of orders that it had accepted when its
   content was last known.  A delayed order of this or a former leader no
   longer matches the sequence and is refused, so nothing is ever loaded onto
   unknown content.

   The module is a state machine without threads, I/O or clock.  The caller
   feeds it events (mp_on_*) with the current time and calls mp_on_tick
   periodically; orders and updates go out through MpOutput.

   Workload: a few models get most requests, and which ones changes within
   seconds.  Many more models than fit into memory are requested now and then,
   so loads and unloads never stop.  Slots are assigned by the number of
   callers a second that would be served too late with and without a replica,
   estimated from arrivals, requests at each upstream and refusals.  A popular
   model spreads until its replicas serve it in time, a model whose demand
   drops releases its slots at once, and rare models share the remaining
   memory by the cost of reloading them. */
#ifndef MODEL_PLACEMENT_H
#define MODEL_PLACEMENT_H

#include "base.h"
#include "demand_aggregate.h"
#include "gateway_types.h"

typedef enum {
    MP_ORDER_ACCEPTED,  /* it is being carried out */
    MP_ORDER_NO_CHANGE, /* the upstream was already in the ordered state */
    MP_ORDER_CONFLICT,  /* another is in progress, or the sequence differs */
    MP_ORDER_REFUSED,   /* not carried out: wrong upstream or unknown model */
    MP_ORDER_NOT_SENT,
    MP_ORDER_UNKNOWN /* no clear answer: it may still take effect */
} MpOrderResult;

typedef struct {
    const char *upstream; /* id; sent as the instance expected at ADDRESS */
    const char *address;
    const char *model;
    const char *adapter; /* NULL: the model itself */
    bool unload;
    bool from_store;   /* the upstream has no local copy of the weights */
    uint64_t sequence; /* orders accepted by the upstream before this one */
} MpOrder;

typedef struct {
    void *ctx;
    /* Send ORDER; answered by mp_on_order_result.  There is at most one
       pending order for each upstream. */
    void (*order)(void *ctx, const MpOrder *order);
    /* Ask the upstream for a report; answered by mp_on_report. */
    void (*request_report)(void *ctx, const DepUpstream *of);
    /* Announce to all gateways that exactly MODELS (DepResident, borrowed) can
       be used on UPSTREAM. */
    void (*publish)(void *ctx, const char *upstream, const GPtrArray *models);
    /* Announce that UPSTREAM did not answer: gateways send it only single
       probes until the next publish for it or until it answers them. */
    void (*publish_unreachable)(void *ctx, const char *upstream);
    /* For the log: a replica of MODEL is now estimated to serve CAPACITY
       concurrent requests in time.  SLOW is the share of requests that were
       slow with LOAD concurrent requests at each of the REPLICAS. */
    void (*capacity_estimated)(void *ctx, const char *model, double capacity,
                               double slow, double load, uint32_t replicas);
} MpOutput;

typedef struct {
    bool prefetch; /* load models ahead of demand into free memory */
} MpParams;

/* How many concurrent loads the weight store serves at full speed, estimated
   from load times. */
typedef struct {
    uint32_t at_once; /* limit of concurrent loads */
    uint32_t most;    /* upper bound of at_once, as loads were late with more;
                         0: no late load recently */
} MpStoreLimits;

typedef struct Mp Mp;

Mp *mp_create(const MpParams *params, const MpOutput *out);
void mp_destroy(Mp *m);

void mp_on_config(Mp *m, DepConfig *c);
/* The entry of an upstream in the store is new or has changed. */
void mp_on_entry(Mp *m, uint64_t now_ms, const DepUpstream *entry);
void mp_on_removed(Mp *m, const char *id);
/* The upstream is shutting down: nothing more is loaded there. */
void mp_on_draining(Mp *m, const char *id);
/* An upstream asked for rest: nothing is sent to it before OWN_END_MS, and its
   models count as usable again from FLEET_END_MS on, until when at least half
   of the gateways hold back.  0: not so. */
void mp_on_rest(Mp *m, const char *id, uint64_t own_end_ms,
                uint64_t fleet_end_ms);
/* Remove all upstreams whose id is not in IDS. */
void mp_keep_only(Mp *m, GHashTable *ids);

/* This VM became the leader: the known content of upstreams is out of date,
   and reports are requested. */
void mp_on_lease_gained(Mp *m, uint64_t now_ms);
/* SUMS: demand aggregated over all gateways, in full or only what changed. */
void mp_on_demand(Mp *m, uint64_t now_ms, const DmDemand *sums);
/* A gateway's connection to the upstream broke, so it may be down: a report is
   requested. */
void mp_on_suspected(Mp *m, uint64_t now_ms, const char *id);
/* REPORT: NULL when the upstream did not answer. */
void mp_on_report(Mp *m, uint64_t now_ms, const char *id,
                  const DepUpstream *report);
void mp_on_order_result(Mp *m, uint64_t now_ms, const char *id,
                        MpOrderResult result);
/* Make all decisions that are due; orders are sent only if MAY_ORDER. */
void mp_on_tick(Mp *m, uint64_t now_ms, bool may_order);

/* Call VISIT for each model in demand without a usable replica, with the
   estimated time until it has one. */
void mp_visit_waits(Mp *m, uint64_t now_ms,
                    void (*visit)(void *ctx, const char *model,
                                  uint32_t wait_ms),
                    void *ctx);
/* ALL: usable upstreams with models.  CUT_OFF: those of them that only this VM
   seems unable to reach.  They did not answer, and either gateways still get
   answers from them or their data centre is not in LINKED, the set of data
   centres with a linked gateway.  A mere crash does not count: other VMs can't
   reach that upstream either. */
void mp_count_cut_off(const Mp *m, uint64_t now_ms, GHashTable *linked,
                      uint32_t *all, uint32_t *cut_off);
/* Start from the former leader's estimate. */
void mp_set_store_limits(Mp *m, MpStoreLimits limits);
MpStoreLimits mp_get_store_limits(const Mp *m);

/* Requests of all gateways at an upstream. */
typedef struct {
    uint32_t running; /* as last reported */
    uint32_t wait_ms; /* estimated time to first byte of a new request: queued
                         requests times the mean interval between first bytes
                         of answers there */
    bool stalled;     /* requests are queued, and no answer begins */
} MpLoad;

/* Call VISIT for each upstream that has requests.  Must be called a few times
   a second, as it also samples the intervals between first bytes. */
void mp_visit_loads(Mp *m, uint64_t now_ms,
                    void (*visit)(void *ctx, const char *upstream,
                                  const MpLoad *load),
                    void *ctx);

#endif
