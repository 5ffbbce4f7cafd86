/* up: the upstreams known to one router, and the selection among them.

   Its inputs are the residency messages of the placers that own upstreams,
   the results of the router's own calls, and probes.  No threads, I/O or
   clock.

   The load of an upstream is the number of this router's calls in flight,
   which is exact, plus an estimate of the calls of others: the reported count
   minus this router's own at the time of the report.  As a report is stale
   when it arrives, the estimate decays to 0 over UP_REPORT_MS. */
#ifndef ROUTER_UPSTREAMS_H
#define ROUTER_UPSTREAMS_H

#include "base.h"
#include "bglade.pb-c.h"

#define UP_REPORT_MS 1000

typedef struct {
    const char *data_centre;
    uint32_t per_upstream;   /* max. calls of this router in flight on one */
    uint32_t eject_failures; /* consecutive failures before ejection */
    uint32_t eject_ms;       /* time before the first and between probes */
    uint32_t return_ms;      /* each step of the slow start after ejection */
    uint64_t seed;
} UpParams;

typedef struct UpSet UpSet;
typedef struct Up Up;

/* Checks the health of UPSTREAM over a new connection; the result is passed
   to up_on_probe. */
typedef void (*UpProbe)(void *ctx, const char *upstream, const char *address);

/* Which upstreams can serve a request.  MODEL NULL: any of the deployment. */
typedef struct {
    const char *deployment;
    const char *model;
    const char *base;         /* base model of an adapter, or NULL */
    uint64_t affinity;        /* 0: none */
    bool exclusive;           /* only upstreams without calls of this router */
    const GPtrArray *avoided; /* upstream ids, or NULL */
} UpQuery;

typedef enum {
    UP_OUTCOME_GOOD,   /* it answered */
    UP_OUTCOME_FAILED, /* counts towards ejection */
    UP_OUTCOME_NEUTRAL /* no evidence of its health */
} UpOutcome;

UpSet *up_create(const UpParams *params, UpProbe probe, void *ctx);
void up_destroy(UpSet *s);

void up_on_residency(UpSet *s, uint64_t now_ms, const Bg__Residency *r);
/* Another router announced that UPSTREAM is leaving. */
void up_on_leaving(UpSet *s, uint64_t now_ms, const char *upstream,
                   const char *address);
void up_on_probe(UpSet *s, uint64_t now_ms, const char *upstream,
                 const char *address, bool healthy);
/* Sends the probes that are due. */
void up_on_tick(UpSet *s, uint64_t now_ms);

/* The upstream to send to now, or NULL.  The own data centre is preferred.
   Within a data centre: with affinity the first by rendezvous hash whose load
   is within a bound, otherwise the less loaded of two random ones.  An
   upstream in slow start competes with the probability of its traffic share;
   otherwise it is chosen only if there is no other. */
Up *up_choose(UpSet *s, uint64_t now_ms, const UpQuery *q);
/* Number of calls that the upstreams that can serve Q take at once, ejected
   ones included; 0: the model is cold. */
uint32_t up_count_slots(const UpSet *s, const UpQuery *q);

/* A call starts; U stays valid until up_finish.  EXCLUSIVE: no other call
   is started on U meanwhile. */
void up_start(Up *u, bool exclusive);
void up_finish(UpSet *s, Up *u, uint64_t now_ms, UpOutcome outcome);
/* U reported that it is leaving: it gets no new calls, even if a residency
   message still lists it. */
void up_mark_leaving(UpSet *s, Up *u, uint64_t now_ms);
/* U answered that MODEL is not loaded; corrected by the next report. */
void up_forget_model(UpSet *s, Up *u, const char *model);

/* Whether UPSTREAM is leaving, gone or unknown. */
bool up_is_leaving(const UpSet *s, const char *upstream);

const char *up_get_id(const Up *u);
const char *up_get_address(const Up *u);
/* A new JSON array, owned by the caller. */
struct json_t *up_dump(const UpSet *s);

#endif
