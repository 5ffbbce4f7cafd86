/* cm: the sum of what a process holds for its clients, in bytes, and who
   yields when it exceeds a limit.

   Each connection is a holder, whose owner tells how much it holds and in
   which stage it is.  The holder that yields first has the largest product of
   bytes, age and the weight of its stage: so a small request, and one that
   moves on quickly, stays beside large ones that stand still.

   No I/O, no clock.  Not thread-safe. */
#ifndef CLIENT_MEMORY_H
#define CLIENT_MEMORY_H

#include "base.h"

typedef enum {
    CM_READING, /* its request isn't whole */
    CM_WAITING, /* a whole request that was sent to no upstream */
    CM_UNREAD,  /* an answer that the client hasn't taken */
    CM_SENT,    /* a request that may have run */
    CM_FIXED,   /* it doesn't yield */
    CM_STAGES
} CmStage;

/* Embedded in what its owner keeps for a client. */
typedef struct {
    uint64_t bytes;
    uint64_t since_ms; /* in its stage, or of its last progress there */
    CmStage stage;
    void *owner;
    GList *link; /* NULL: not counted */
} CmHolder;

typedef struct Cm Cm;

/* LIMIT_BYTES: of the sum. */
Cm *cm_create(uint64_t limit_bytes);
/* Its holders are removed. */
void cm_destroy(Cm *m);
void cm_set_limit(Cm *m, uint64_t limit_bytes);
uint64_t cm_get_limit(const Cm *m);
uint64_t cm_get_sum(const Cm *m);
/* The largest sum since the last call. */
uint64_t cm_take_peak(Cm *m);
bool cm_is_over(const Cm *m);

/* H holds BYTES now; it is counted from the first call on. */
void cm_set(Cm *m, CmHolder *h, uint64_t bytes, CmStage stage,
            uint64_t since_ms);
/* H holds nothing more; it may be freed. */
void cm_remove(Cm *m, CmHolder *h);

/* How often cm_pick named somebody. */
uint64_t cm_count_picked(const Cm *m);

/* Who yields first; NULL: nobody who holds anything does. */
CmHolder *cm_pick(Cm *m, uint64_t now_ms);

#endif
