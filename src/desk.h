/* desk: connects the request threads and the core thread of a router.

   A request thread posts events and waits on its Ticket for decisions.  For
   a new request the core thread checks the limits of its workspace, claims its
   key if it is non-idempotent, checks the quarantine and then passes it to the
   routing core (rt).  It returns the decisions of these cores.  The desk also
   keeps what the request threads share: their number by class, pooled
   connections, and addresses with silent connections. */
#ifndef DESK_H
#define DESK_H

#include "base.h"
#include "blocking_http.h"
#include "client_gate.h"
#include "lim.h"
#include "node.h"
#include "once.h"
#include "quarantine.h"
#include "router.h"

#include <pthread.h>

typedef struct Desk Desk;

typedef enum {
    DECIDED_NONE,
    DECIDED_SEND,
    DECIDED_REFUSE,
    DECIDED_FINISH,
    DECIDED_DROP, /* the caller disconnected while it was queued */
    DECIDED_ONCE  /* by the at-most-once core; this call was not sent */
} Decision;

/* A copy of an OnceDecision, whose members end with the core's callback. */
typedef struct {
    OnceVerdict verdict;
    char *reason;
    uint64_t retry_after_ms;
    uint32_t status;
    char *content_type;
    GBytes *body;
    bool answer_dropped;
} OnceReply;

typedef struct {
    pthread_mutex_t lock;
    pthread_cond_t decided;
    Decision decision;
    char upstream[128];
    char address[64];
    uint32_t long_run_ms;
    RtReason reason;
    uint64_t retry_after_ms;
    OnceReply *reply; /* DECIDED_ONCE; the request thread frees it */
    bool quarantined; /* DECIDED_FINISH: its digest is in quarantine now */
} Ticket;

typedef enum { DESK_ARRIVE, DESK_DONE, DESK_CANCEL } DeskEventKind;

/* A request thread's message to the core thread. */
typedef struct {
    DeskEventKind kind;
    uint64_t id;
    Ticket *ticket;    /* ARRIVE; lives on the request thread's stack */
    RtRequest request; /* ARRIVE; strings belong to the request thread, which
                          waits for the decision and outlives the event */
    RtResult attempt;  /* DONE */
    uint32_t used;     /* DONE: tokens generated */

    uint8_t digest[32]; /* ARRIVE: of the whole request */
    bool keyed;         /* ARRIVE: its key is claimed first */
    OnceCall call;      /* ARRIVE, keyed; strings as in request */
    GBytes *body;       /* DONE, keyed and answered */
    OnceResult result;  /* DONE, keyed and answered */
    char *content_type;
    bool connection_broke; /* DONE: after bytes of the request were sent */
    char *upstream;        /* DONE */
} DeskEvent;

/* Limits of one call to an upstream. */
typedef struct {
    uint32_t connect_ms;
    uint32_t first_byte_ms; /* of a stream */
    uint32_t answer_ms;     /* min. timeout of an unstreamed completion */
    uint32_t idle_ms;       /* between bytes */
    uint32_t pool_idle_ms;  /* of a pooled connection */
} CallLimits;

/* LIMITS is used on the core thread only and remains owned by the caller. */
Desk *desk_create(Node *n, Lim *limits);
/* Sets the cores for non-idempotent calls and quarantine, before the first
   request.  Both must outlive the desk. */
void desk_use_cores(Desk *d, OnceCore *once, QrCore *quarantine);
void desk_destroy(Desk *d);

/* ---- request threads ---------------------------------------------------- */

/* Starts a request and returns its id; desk_leave ends it. */
uint64_t desk_enter(Desk *d);
void desk_leave(Desk *d);
/* Whether so many requests are active that further ones are refused. */
bool desk_is_full(const Desk *d);
/* A queued model call occupies an HTTP thread.  The number of calls of each
   class is limited, so that cold loads and batch work leave threads for
   lookups and services.  False: over the limit.  In both cases the caller
   calls desk_leave_class later. */
bool desk_enter_class(Desk *d, CfgClass class_);
void desk_leave_class(Desk *d, CfgClass class_);
Node *desk_get_node(const Desk *d);
Cg *desk_get_gate(const Desk *d);
/* Gives memory that clients no longer need back to the system; call it about
   once a second. */
void desk_trim_memory(Desk *d);
/* So long a read or a write of a client may take. */
uint32_t desk_get_client_ms(const Desk *d);
const CallLimits *desk_get_limits(const Desk *d);
HcClient *desk_take_client(Desk *d);
void desk_return_client(Desk *d, HcClient *c);
/* A connection to ADDRESS became silent.  Others opened before may be dead
   too, so only new ones are used until the pool has dropped the old ones. */
void desk_mark_silent(Desk *d, const char *address);
bool desk_is_silent(Desk *d, const char *address);
void desk_free_reply(OnceReply *r);

/* ---- core thread -------------------------------------------------------- */

/* Handles an event posted by a request thread, and frees it. */
void desk_on_event(Desk *d, RtCore *core, uint64_t now_ms, void *event);
/* The routing core's decisions. */
void desk_on_send(Desk *d, uint64_t id, const char *upstream,
                  const char *address, uint32_t long_run_ms);
void desk_on_refuse(Desk *d, uint64_t id, RtReason reason,
                    uint64_t retry_after_ms);
void desk_on_finish(Desk *d, uint64_t id);
/* The at-most-once core's decision on a call. */
void desk_on_once(Desk *d, RtCore *core, uint64_t now_ms, uint64_t id,
                  const OnceDecision *decision);
/* The fold applied a record of an upstream's death. */
void desk_on_death(Desk *d, RtCore *core, const uint8_t digest[32]);

/* Number of active requests; callable from any thread. */
uint32_t desk_count(const Desk *d);

#endif
