/* once: non-idempotent calls run at most once, whatever router they reach.

   A state machine without threads, I/O or clock, owned by a router's core
   thread.  A call begins with once_on_begin and gets exactly one decision
   through OnceOutput.  ONCE_RUN is given only after the fold has named this
   attempt the holder of its key; the call is then routed, and what became
   of it is told with once_on_sent, once_on_unsent and, at last, one of
   once_on_answered, once_on_broken and once_on_refused, which record it.
   Events for ids that hold no key are passed over.

   Invariant: between the win of a claim and its release, result or expiry no
   other attempt gets ONCE_RUN for that key, on any router; a release is
   recorded only by the holder itself, and only when no byte went out. */
#ifndef ONCE_H
#define ONCE_H

#include "bg_base.h"
#include "bglade.pb-c.h"
#include "fold.h"

typedef struct {
    const char *author;     /* name of this VM */
    uint32_t claim_wait_ms; /* longest wait for the claim to be settled */
    uint32_t resend_ms;     /* an ending not yet seen is appended again */
} OnceParams;

typedef enum {
    ONCE_RUN,          /* this attempt holds the key: route it */
    ONCE_REPLAY,       /* the call ran before; its answer */
    ONCE_IN_PROGRESS,  /* another attempt holds the key */
    ONCE_MAY_HAVE_RUN, /* an earlier attempt's fate is not known */
    ONCE_MISMATCH,     /* the key came with another request */
    ONCE_REFUSED       /* not run; REASON says why */
} OnceVerdict;

/* The members belong to the core and end with the call. */
typedef struct {
    OnceVerdict verdict;
    const char *reason;      /* REFUSED */
    uint64_t retry_after_ms; /* REFUSED, IN_PROGRESS */
    uint32_t status;         /* REPLAY, and the next four */
    const char *content_type;
    const uint8_t *body;
    size_t body_len;
    bool answer_dropped; /* too large to keep */
} OnceDecision;

typedef struct {
    uint64_t id; /* unique in this process */
    const char *workspace;
    const char *key;
    const char *attempt_id; /* unique everywhere */
    uint8_t digest[32];     /* of the whole request */
    uint64_t deadline_ms;   /* monotonic; nothing is sent after it */
} OnceCall;

/* The upstream's own answer, whatever its status. */
typedef struct {
    uint32_t status;
    const char *content_type;
    const uint8_t *body;
    size_t body_len;
} OnceResult;

typedef struct {
    void *ctx;
    void (*decide)(void *ctx, uint64_t id, const OnceDecision *d);
    /* Queue R for the log and take it; false when there is no room. */
    bool (*append)(void *ctx, Bg__Record *r);
} OnceOutput;

typedef struct OnceCore OnceCore;

/* FOLD is read during the calls below and must outlive the core. */
OnceCore *once_create(const OnceParams *params, const OnceOutput *out,
                      const Fold *fold);
void once_destroy(OnceCore *c);

void once_on_begin(OnceCore *c, uint64_t now_ms, uint64_t wall_ms,
                   const OnceCall *call);
/* The fold has applied R; to be called for every key record. */
void once_on_record(OnceCore *c, uint64_t now_ms, uint64_t wall_ms,
                    const Bg__KeyRecord *r, FoldResult result,
                    const char *why);
/* The call goes to an upstream now; bytes may leave at any time. */
void once_on_sent(OnceCore *c, uint64_t id);
/* No byte left, or the upstream said that it ran nothing. */
void once_on_unsent(OnceCore *c, uint64_t id);
void once_on_answered(OnceCore *c, uint64_t now_ms, uint64_t wall_ms,
                      uint64_t id, const OnceResult *result);
void once_on_broken(OnceCore *c, uint64_t now_ms, uint64_t wall_ms,
                    uint64_t id);
/* Finally not run. */
void once_on_refused(OnceCore *c, uint64_t now_ms, uint64_t wall_ms,
                     uint64_t id);
void once_on_log(OnceCore *c, bool reachable);
void once_on_tick(OnceCore *c, uint64_t now_ms, uint64_t wall_ms);
/* Begin no more; what has begun goes on. */
void once_on_drain(OnceCore *c);

/* Calls that were begun and have no ending yet. */
uint32_t once_count_open(const OnceCore *c);
/* JSON; free with g_free. */
char *once_dump(const OnceCore *c);

#endif
