/* gw: the life of callers' requests in a gateway: route, wait for a model,
   choice of an upstream, the call, the answer passed on as it comes, repeats
   and resumption.

   Promises.  A request that may not be repeated is sent on only as long as
   no byte of it left or the upstream said that it ran nothing.  "Refused"
   (503) is said only of what has not run and never will.  An answer is the
   upstream's, unchanged and whole, or visibly broken off.  Work is cancelled
   as soon as its caller is gone. */
#ifndef GW_H
#define GW_H

#include "bg_base.h"
#include "dep.h"
#include "ht.h"
#include "dm.h"
#include "rb.h"
#include "ut.h"
#include "wl.h"

/* What an upstream says of its load in an answer. */
typedef struct {
    uint32_t running;
    uint32_t waiting;
    uint32_t slots;
} GwLoad;

/* How requests and answers look on the wire. */
typedef struct {
    const char *attempt_id;        /* echoed in the answer */
    const char *deadline_ms;       /* what the upstream may take */
    const char *expected_upstream; /* another one answers 421 */
    const char *not_run;           /* of an answer: nothing was run */
    const char *urgency;           /* 0 first, 9 last */
    const char *last_event;        /* resume a stream after this event */
    const char *workspace;         /* that calls, to the upstream */
    /* The caller's key; NULL: none, or more than one. */
    const char *(*read_key)(const HtHead *head);
    /* The gateway's to set: a caller's own is not passed on. */
    bool (*is_own_header)(const char *name);
    /* Text in OUT is borrowed from HEAD or freed by dep_clear_call. */
    void (*read_call)(const HtHead *head, DepCall *out);
    bool (*read_load)(const HtHead *head, GwLoad *out);
} GwWire;

typedef struct {
    uint32_t connect_ms;  /* to an upstream */
    uint32_t death_limit; /* a request under which so many ended is refused */
    uint64_t seed;
} GwParams;

typedef struct {
    void *ctx;
    /* Callers begin to wait for a model: tell the placing VM soon. */
    void (*demand_changed)(void *ctx);
    /* An upstream broke off under the request with this digest. */
    void (*upstream_died)(void *ctx, uint64_t request, const char *upstream);
    /* No connection to an upstream that could be reached before. */
    void (*upstream_unreachable)(void *ctx, const char *upstream);
} GwOutput;

typedef struct Gw Gw;

/* POOL, UPSTREAMS, BUDGET and LIMITS stay the caller's. */
Gw *gw_create(const GwParams *params, const GwWire *wire, const GwOutput *out,
              HtPool *pool, UtSet *upstreams, Rb *budget, Wl *limits);
void gw_destroy(Gw *g);

void gw_on_config(Gw *g, DepConfig *c);
/* Take what came before the first configuration, which is in force now. */
void gw_admit_early(Gw *g);
/* Whether the configuration in force may be older than the newest one: BEHIND,
   a newer one is known to exist; STALE, nothing was heard of it for so long
   that keys may have been taken away, and none is let in. */
void gw_set_config_freshness(Gw *g, bool behind, bool stale);
/* Whether all upstreams are known: what none of the known ones can serve waits
   a little for the others. */
void gw_set_upstreams_complete(Gw *g, bool complete);
/* Upstreams or what they hold changed: what waits is looked at again. */
void gw_on_change(Gw *g);
void gw_on_tick(Gw *g, uint64_t now_ms);
/* The placing VM was heard; it gives its first order in REST_MS. */
void gw_on_leader(Gw *g, uint64_t now_ms, uint32_t guard_ms);
/* The placing VM's estimate for a model that is not held. */
void gw_on_wait_estimate(Gw *g, uint64_t now_ms, const char *model,
                         uint32_t wait_ms);
/* An upstream broke off under that request, here or elsewhere. */
void gw_on_death(Gw *g, uint64_t now_ms, uint64_t request,
                 const char *upstream);

/* For HtHandler. */
void gw_on_request(Gw *g, HtExchange *x);
void gw_on_gone(Gw *g, HtExchange *x);

/* The process is about to stop: what comes from now on, and what would have
   to wait, is refused, so that its caller goes to another gateway. */
void gw_stop_accepting(Gw *g);
/* The process ends: everything still open is answered now, and what comes
   from now on is refused. */
void gw_close(Gw *g);

/* What callers here want and use now; arrivals and beginnings are those since
   the last call.  To be freed with dm_destroy_demand. */
DmDemand *gw_collect_demand(Gw *g);
/* Latencies so far, as Prometheus text. */
void gw_print_metrics(const Gw *g, GString *out);
uint32_t gw_count(const Gw *g);
uint32_t gw_count_waiting(const Gw *g);

#endif
