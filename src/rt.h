/* rt: routing decisions of one router: admission, queues, estimates of the
   wait, and retries.  The choice of an upstream is in up.

   A state machine without threads, I/O or clock.  A request enters with
   rt_on_arrive and gets, through RtOutput, exactly one of: refuse (final,
   nothing was sent), or send, answered by rt_on_done, which may lead to a
   further send, to finish (final) or to refuse.  A deadline that can't be
   met is refused as soon as that is known. */
#ifndef RT_H
#define RT_H

#include "bg_base.h"
#include "bglade.pb-c.h"
#include "cfg.h"
#include "up.h"

typedef struct {
    UpParams up;
    uint32_t max_waiting[CFG_CLASSES]; /* requests queued */
    uint32_t retry_percent;            /* retries allowed, share of requests */
    uint32_t max_sends; /* of one request that reach an upstream */
    bool early_refusal; /* of what can't be served in time */
    uint64_t seed;
} RtParams;

/* Why a request was refused.  All of them: not run.  A request that was
   sent and may have run is never refused but finished. */
typedef enum {
    RT_REFUSED_FULL,      /* its queue has no room */
    RT_REFUSED_DEADLINE,  /* can't be served in time */
    RT_REFUSED_NO_ROOM,   /* the placer has no place for the model */
    RT_REFUSED_LIMIT,     /* a limit of its workspace */
    RT_REFUSED_DRAINING,  /* this router stops */
    RT_REFUSED_UPSTREAM,  /* every try was turned away unstarted */
    RT_REFUSED_QUARANTINE /* upstreams died while they ran it */
} RtReason;

typedef struct {
    uint64_t id;            /* unique in this process */
    const char *model;      /* or NULL for a service */
    const char *deployment; /* upstreams that can serve it */
    const char *base;       /* base model of an adapter, or NULL */
    const char *workspace;
    CfgClass class_;
    uint32_t priority;    /* below FQ_PRIORITIES */
    uint32_t cost;        /* share of its workspace it uses, at least 1 */
    uint64_t deadline_ms; /* monotonic */
    uint32_t load_ms;     /* expected cold load of the model */
    uint64_t affinity;    /* digest of the prompt's beginning; 0: none */
    bool once;            /* not sent again once it may have run */
} RtRequest;

typedef enum {
    RT_DONE_OK,
    RT_DONE_NOT_SENT,    /* no byte left: the upstream may be gone */
    RT_DONE_TURNED_AWAY, /* the upstream said that it ran nothing */
    RT_DONE_BROKEN,      /* it may have run */
    RT_DONE_CANCELLED    /* the caller is gone */
} RtDone;

/* How one sending ended. */
typedef struct {
    RtDone done;
    bool leaving;           /* the upstream said of itself that it leaves */
    bool silent_connection; /* it may be dead and the upstream well */
    bool late;              /* cut off by the request's own deadline */
} RtEnd;

typedef struct {
    void *ctx;
    /* LONG_RUN_MS: what a call like it seldom takes longer than, measured;
       0: not known. */
    void (*send)(void *ctx, uint64_t id, const char *upstream,
                 const char *address, uint32_t long_run_ms);
    void (*refuse)(void *ctx, uint64_t id, RtReason reason,
                   uint64_t retry_after_ms);
    /* It may have run and is not sent again. */
    void (*finish)(void *ctx, uint64_t id);
    UpProbe probe;
} RtOutput;

typedef struct RtCore RtCore;

RtCore *rt_create(const RtParams *params, const RtOutput *out);
void rt_destroy(RtCore *c);

void rt_on_arrive(RtCore *c, uint64_t now_ms, const RtRequest *r);
void rt_on_done(RtCore *c, uint64_t now_ms, uint64_t id, const RtEnd *end);
/* The caller is gone.  True: the request waited and is dropped without
   further output; false: it is at an upstream, and rt_on_done will tell. */
bool rt_on_cancel(RtCore *c, uint64_t now_ms, uint64_t id);
void rt_on_probe(RtCore *c, uint64_t now_ms, const char *upstream,
                 const char *address, bool well);
void rt_on_residency(RtCore *c, uint64_t now_ms, const Bg__Residency *r);
void rt_on_want_refused(RtCore *c, uint64_t now_ms, const char *model,
                        uint64_t retry_after_ms);
void rt_on_tick(RtCore *c, uint64_t now_ms);
void rt_on_drain(RtCore *c, uint64_t now_ms);

/* What this router waits for and uses; free with the protobuf call. */
Bg__Demand *rt_make_demand(const RtCore *c, uint64_t now_ms, const char *node);
uint32_t rt_count_requests(const RtCore *c);
const char *rt_reason_name(RtReason reason);
/* JSON; free with g_free. */
char *rt_dump(const RtCore *c);

#endif
