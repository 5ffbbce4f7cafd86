/* once: at-most-once execution of non-idempotent calls, across all routers.

   A state machine without threads, I/O or clock, owned by a router's core
   thread.  A call begins with once_on_begin and gets exactly one decision
   through OnceOutput.  ONCE_RUN is given only after this attempt's claim has
   won its key in the fold.  The caller then routes the call and reports its
   progress with once_on_sent, once_on_unsent and finally one of
   once_on_answered, once_on_broken and once_on_refused, which record the
   outcome.  Events of ids that hold no key are ignored.

   Invariant: between the win of a claim and its release, result or expiry no
   other attempt gets ONCE_RUN for that key, on any router; a release is
   recorded only by the holder itself, and only if no byte was sent. */
#ifndef ONCE_H
#define ONCE_H

#include "base.h"
#include "bglade.pb-c.h"
#include "fold.h"

typedef struct {
    const char *author;     /* name of this VM */
    uint32_t claim_wait_ms; /* timeout for the claim's result */
    uint32_t resend_ms;     /* append a final record again unless seen in the
                               log by then */
} OnceParams;

typedef enum {
    ONCE_RUN,          /* this attempt holds the key: route it */
    ONCE_REPLAY,       /* the call ran before: send the recorded answer */
    ONCE_IN_PROGRESS,  /* another attempt holds the key */
    ONCE_MAY_HAVE_RUN, /* the outcome of an earlier attempt is unknown */
    ONCE_MISMATCH,     /* the key was used for another request */
    ONCE_REFUSED       /* not run, see reason */
} OnceVerdict;

/* The members belong to the core and are valid during the callback. */
typedef struct {
    OnceVerdict verdict;
    const char *reason;      /* REFUSED */
    uint64_t retry_after_ms; /* REFUSED, IN_PROGRESS */
    uint32_t status;         /* this and the next four: REPLAY */
    const char *content_type;
    const uint8_t *body;
    size_t body_len;
    bool answer_dropped; /* too large to keep */
} OnceDecision;

typedef struct {
    uint64_t id; /* unique in this process */
    const char *workspace;
    const char *key;
    const char *attempt_id; /* globally unique */
    uint8_t digest[32];     /* of the whole request */
    uint64_t deadline_ms;   /* monotonic; the call is not sent after it */
} OnceCall;

/* The upstream's answer, with any status. */
typedef struct {
    uint32_t status;
    const char *content_type;
    const uint8_t *body;
    size_t body_len;
} OnceResult;

typedef struct {
    void *ctx;
    void (*decide)(void *ctx, uint64_t id, const OnceDecision *d);
    /* Queues R for the log and takes ownership; false: the queue is full. */
    bool (*append)(void *ctx, Bg__Record *r);
} OnceOutput;

typedef struct OnceCore OnceCore;

/* FOLD is read during the calls below and must outlive the core. */
OnceCore *once_create(const OnceParams *params, const OnceOutput *out,
                      const Fold *fold);
void once_destroy(OnceCore *c);

void once_on_begin(OnceCore *c, uint64_t now_ms, uint64_t wall_ms,
                   const OnceCall *call);
/* The fold applied R; to be called for every key record. */
void once_on_record(OnceCore *c, uint64_t now_ms, uint64_t wall_ms,
                    const Bg__KeyRecord *r, FoldResult result,
                    const char *why);
/* The call is being sent: bytes may have reached the upstream from now on. */
void once_on_sent(OnceCore *c, uint64_t id);
/* No byte was sent, or the upstream reported that it ran nothing. */
void once_on_unsent(OnceCore *c, uint64_t id);
void once_on_answered(OnceCore *c, uint64_t now_ms, uint64_t wall_ms,
                      uint64_t id, const OnceResult *result);
void once_on_broken(OnceCore *c, uint64_t now_ms, uint64_t wall_ms,
                    uint64_t id);
/* The call was refused and will not run. */
void once_on_refused(OnceCore *c, uint64_t now_ms, uint64_t wall_ms,
                     uint64_t id);
void once_on_log(OnceCore *c, bool reachable);
void once_on_tick(OnceCore *c, uint64_t now_ms, uint64_t wall_ms);
/* Refuses new calls; those that have begun go on. */
void once_on_drain(OnceCore *c);

/* Number of calls that have begun and have no final record yet. */
uint32_t once_count_open(const OnceCore *c);
/* JSON; free with g_free. */
char *once_dump(const OnceCore *c);

#endif
