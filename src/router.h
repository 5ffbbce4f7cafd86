/* rt: routing decisions of one router: admission, queueing, wait estimates
   and retries.  The upstream is selected by up.

   A state machine without threads, I/O or clock.  The caller passes a request
   to rt_on_arrive and gets one callback of RtOutput: refuse (final, not run)
   or send.  It reports the result of each send with rt_on_done, which ends
   the request or leads to another send, to finish (final) or to refuse.  A
   request is refused as soon as its deadline can no longer be met. */
#ifndef ROUTER_H
#define ROUTER_H

#include "base.h"
#include "bglade.pb-c.h"
#include "cfg.h"
#include "router_upstreams.h"

typedef struct {
    UpParams up;
    uint32_t max_waiting[CFG_CLASSES]; /* queued requests of a class */
    uint32_t retry_percent;            /* retry budget, share of requests */
    uint32_t max_sends; /* attempts of one request that reach an upstream */
    bool early_refusal; /* refuse what is estimated to miss its deadline */
    uint64_t seed;
} RtParams;

/* Why a request was refused.  A refused request did not run; one that may
   have run is finished instead. */
typedef enum {
    RT_REFUSED_FULL,      /* the queue of its class is full */
    RT_REFUSED_DEADLINE,  /* can't be served in time */
    RT_REFUSED_NO_ROOM,   /* the placer has no slot for the model */
    RT_REFUSED_LIMIT,     /* a limit of its workspace */
    RT_REFUSED_DRAINING,  /* this router is stopping */
    RT_REFUSED_UPSTREAM,  /* no upstream started it in any attempt */
    RT_REFUSED_QUARANTINE /* upstreams died running equal requests */
} RtReason;

typedef struct {
    uint64_t id;            /* unique in this process */
    const char *model;      /* or NULL for a service */
    const char *deployment; /* group of upstreams that can serve it */
    const char *base;       /* base model of an adapter, or NULL */
    const char *workspace;
    CfgClass class_;
    uint32_t priority;    /* below FQ_PRIORITIES */
    uint32_t cost;        /* weight in fair queueing, at least 1; of a model
                             call also the tokens reserved from its limit */
    uint64_t deadline_ms; /* monotonic */
    uint32_t load_ms;     /* expected time of a cold load of the model */
    uint64_t affinity;    /* hash of the prompt's prefix; 0: none */
    bool once;            /* not sent again once it may have run */
    bool claimed;         /* non-idempotent, and its claim was won */
    bool suspect;         /* an upstream died while running an equal request:
                             it gets an upstream without other calls */
} RtRequest;

typedef enum {
    RT_OUTCOME_OK,
    RT_OUTCOME_NOT_SENT, /* no byte was sent; the upstream may be down */
    RT_OUTCOME_REJECTED, /* the upstream answered that it ran nothing */
    RT_OUTCOME_BROKEN,   /* failed after bytes were sent: may have run */
    RT_OUTCOME_CANCELLED /* the caller disconnected */
} RtOutcome;

/* The result of one attempt. */
typedef struct {
    RtOutcome outcome;
    bool leaving;           /* the upstream reported that it is leaving */
    bool silent_connection; /* the connection may be dead, not the upstream */
    bool late;              /* stopped at the request's own deadline */
    bool died;              /* the upstream's process ended meanwhile */
} RtResult;

typedef struct {
    void *ctx;
    /* LONG_RUN_MS: a duration that calls like this one seldom exceed, from
       measured runs; 0: unknown. */
    void (*send)(void *ctx, uint64_t id, const char *upstream,
                 const char *address, uint32_t long_run_ms);
    void (*refuse)(void *ctx, uint64_t id, RtReason reason,
                   uint64_t retry_after_ms);
    /* The request may have run and is not sent again. */
    void (*finish)(void *ctx, uint64_t id);
    UpProbe probe;
    /* Announces to the other routers that an upstream is leaving. */
    void (*announce_leaving)(void *ctx, const char *upstream,
                             const char *address);
} RtOutput;

typedef struct RtCore RtCore;

RtCore *rt_create(const RtParams *params, const RtOutput *out);
void rt_destroy(RtCore *c);

void rt_on_arrive(RtCore *c, uint64_t now_ms, const RtRequest *r);
void rt_on_done(RtCore *c, uint64_t now_ms, uint64_t id,
                const RtResult *result);
/* The caller disconnected.  True: the request was queued and is dropped
   without further output.  False: an upstream has it, and rt_on_done
   follows. */
bool rt_on_cancel(RtCore *c, uint64_t now_ms, uint64_t id);
void rt_on_probe(RtCore *c, uint64_t now_ms, const char *upstream,
                 const char *address, bool healthy);
void rt_on_residency(RtCore *c, uint64_t now_ms, const Bg__Residency *r);
/* Another router announced that an upstream is leaving. */
void rt_on_leaving(RtCore *c, uint64_t now_ms, const char *upstream,
                   const char *address);
/* The placer refused to load MODEL: its queued requests are refused, unless it
   is loaded by now. */
void rt_on_demand_refused(RtCore *c, uint64_t now_ms, const char *model,
                          uint64_t retry_after_ms);
/* Upstreams died while running a request equal to ID.  If ID is queued, it
   becomes a suspect, or is refused if QUARANTINED. */
void rt_on_death(RtCore *c, uint64_t id, bool quarantined);
void rt_on_tick(RtCore *c, uint64_t now_ms);
void rt_on_drain(RtCore *c, uint64_t now_ms);
/* Whether UPSTREAM is leaving, gone or unknown. */
bool rt_is_leaving(const RtCore *c, const char *upstream);

/* Models that this router has queued requests for, and models it uses; free
   with bg__demand__free_unpacked. */
Bg__Demand *rt_make_demand(const RtCore *c, uint64_t now_ms, const char *node);
uint32_t rt_count_requests(const RtCore *c);
const char *rt_reason_name(RtReason reason);
/* JSON; free with g_free. */
char *rt_dump(const RtCore *c);

#endif
