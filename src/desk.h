/* desk: where request threads and the core thread of a router meet.

   A request thread posts events and waits for decisions at its Ticket; the
   core thread takes the events through admission by limits, the claim of a
   non-idempotent call and quarantine to the routing core, and hands the
   cores' decisions back.  The desk also keeps what request threads share:
   their number by class, pooled connections, and addresses that fell silent.
 */
#ifndef DESK_H
#define DESK_H

#include "bg_base.h"
#include "hc.h"
#include "lim.h"
#include "node.h"
#include "once.h"
#include "qr.h"
#include "rt.h"

#include <pthread.h>

typedef struct Desk Desk;

typedef enum {
    DECIDED_NONE,
    DECIDED_SEND,
    DECIDED_REFUSE,
    DECIDED_FINISH,
    DECIDED_DROP, /* its caller was gone while it waited */
    DECIDED_ONCE  /* by the at-most-once core; nothing of this call was sent */
} Decision;

/* A copy of an OnceDecision that outlives the core's call. */
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
    bool quarantined; /* DECIDED_FINISH: this was the second death */
} Ticket;

typedef enum { DESK_ARRIVE, DESK_DONE, DESK_CANCEL } DeskEventKind;

/* A request thread's message to the core thread. */
typedef struct {
    DeskEventKind kind;
    uint64_t id;
    Ticket *ticket;    /* ARRIVE; lives on the request thread's stack */
    RtRequest request; /* ARRIVE; text is borrowed from that thread, which
                          waits for the decision and so outlives it */
    RtResult end;      /* DONE */
    uint32_t used;     /* DONE: tokens made */

    uint8_t digest[32]; /* ARRIVE: of the whole request */
    bool keyed;         /* ARRIVE: to be claimed first */
    OnceCall call;      /* ARRIVE, keyed; text is borrowed like request's */
    GBytes *body;       /* DONE, keyed and answered */
    OnceResult result;  /* DONE, keyed and answered */
    char *content_type;
    bool broken_open; /* DONE: the connection broke with bytes out */
    char *upstream;   /* DONE */
} DeskEvent;

/* Limits of one call to an upstream. */
typedef struct {
    uint32_t connect_ms;
    uint32_t first_byte_ms; /* of a stream */
    uint32_t answer_ms;     /* of an unstreamed completion, at least */
    uint32_t idle_ms;       /* between bytes */
    uint32_t pool_idle_ms;  /* of a pooled connection */
} CallLimits;

/* LIMITS is used on the core thread only and stays the caller's. */
Desk *desk_create(Node *n, Lim *limits);
/* The cores that decide about non-idempotent calls and quarantine; both
   must outlive the desk.  Before the first request. */
void desk_use_cores(Desk *d, OnceCore *once, QrCore *quarantine);
void desk_destroy(Desk *d);

/* ---- request threads ---------------------------------------------------- */

/* A request begins and gets its id; it ends with desk_leave. */
uint64_t desk_enter(Desk *d);
void desk_leave(Desk *d);
/* So many are inside that the rest of the threads only refuse. */
bool desk_is_full(const Desk *d);
/* Waiting model calls hold HTTP threads.  Each class may hold only so many,
   so that cold loads and batch work leave some for lookups and services.
   False: too many; desk_leave_class follows in either case. */
bool desk_enter_class(Desk *d, CfgClass class_);
void desk_leave_class(Desk *d, CfgClass class_);
Node *desk_get_node(const Desk *d);
const CallLimits *desk_get_limits(const Desk *d);
HcClient *desk_take_client(Desk *d);
void desk_return_client(Desk *d, HcClient *c);
/* A connection to ADDRESS went silent: others opened before may be as dead,
   and only new ones are used until the pool has forgotten the old. */
void desk_note_silence(Desk *d, const char *address);
bool desk_was_silent(Desk *d, const char *address);
void desk_free_reply(OnceReply *r);

/* ---- core thread -------------------------------------------------------- */

/* An event posted by a request thread; frees it. */
void desk_on_event(Desk *d, RtCore *core, uint64_t now_ms, void *event);
/* The routing core's decisions. */
void desk_on_send(Desk *d, uint64_t id, const char *upstream,
                  const char *address, uint32_t long_run_ms);
void desk_on_refuse(Desk *d, uint64_t id, RtReason reason,
                    uint64_t retry_after_ms);
void desk_on_finish(Desk *d, uint64_t id);
/* What the at-most-once core decided about a call. */
void desk_on_once(Desk *d, RtCore *core, uint64_t now_ms, uint64_t id,
                  const OnceDecision *decision);
/* The fold has applied a death record. */
void desk_on_death(Desk *d, RtCore *core, const uint8_t digest[32]);

/* Requests inside HTTP threads now; any thread. */
uint32_t desk_count(const Desk *d);

#endif
