/* rt: routing decisions of one router: admission, queues, the choice of an
   upstream, retries and ejection.

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

typedef struct {
    const char *data_centre;
    uint32_t max_waiting;    /* requests queued, each class */
    uint32_t per_upstream;   /* in flight on one upstream */
    uint32_t eject_failures; /* consecutive, before an upstream rests */
    uint32_t eject_ms;       /* how long it rests */
    uint32_t retry_percent;  /* retries allowed, share of requests */
    uint64_t seed;
} RtParams;

/* Why a request was refused.  All of them: not run. */
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
    uint32_t priority;
    uint64_t deadline_ms; /* monotonic */
    uint32_t load_ms;     /* expected cold load of the model */
    uint64_t affinity;    /* digest of the prompt's beginning; 0: none */
    bool once;            /* non-idempotent: never sent a second time */
    bool suspect;         /* an upstream died under it: it runs alone */
} RtRequest;

typedef enum {
    RT_DONE_OK,
    RT_DONE_NOT_SENT,    /* no byte left: the upstream may be gone */
    RT_DONE_TURNED_AWAY, /* the upstream said that it ran nothing */
    RT_DONE_BROKEN,      /* it may have run */
    RT_DONE_CANCELLED    /* the caller is gone */
} RtDone;

typedef struct {
    void *ctx;
    void (*send)(void *ctx, uint64_t id, const char *upstream,
                 const char *address);
    void (*refuse)(void *ctx, uint64_t id, RtReason reason,
                   uint64_t retry_after_ms);
    /* A broken request that may not be sent again. */
    void (*finish)(void *ctx, uint64_t id);
} RtOutput;

typedef struct RtCore RtCore;

RtCore *rt_create(const RtParams *params, const RtOutput *out);
void rt_destroy(RtCore *c);

void rt_on_arrive(RtCore *c, uint64_t now_ms, const RtRequest *r);
/* LEAVING: the upstream said of itself that it leaves. */
void rt_on_done(RtCore *c, uint64_t now_ms, uint64_t id, RtDone done,
                bool leaving);
void rt_on_residency(RtCore *c, uint64_t now_ms, const Bg__Residency *r);
void rt_on_want_refused(RtCore *c, uint64_t now_ms, const char *model,
                        uint64_t retry_after_ms);
void rt_on_tick(RtCore *c, uint64_t now_ms);
void rt_on_drain(RtCore *c, uint64_t now_ms);
/* Upstreams died under a request equal to ID: one that waits becomes a
   suspect, or is refused when QUARANTINED. */
void rt_on_death(RtCore *c, uint64_t id, bool quarantined);
/* Whether UPSTREAM leaves or is gone, by anyone's word. */
bool rt_is_leaving(const RtCore *c, const char *upstream);

/* What this router waits for and uses; free with the protobuf call. */
Bg__Demand *rt_make_demand(const RtCore *c, uint64_t now_ms, const char *node);
uint32_t rt_count_requests(const RtCore *c);
const char *rt_reason_name(RtReason reason);
/* JSON; free with g_free. */
char *rt_dump(const RtCore *c);

#endif
