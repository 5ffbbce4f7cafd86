/* fq: fair queue of requests.  Higher priorities are served first; within a
   priority start-time fair queueing gives each workspace an equal share by
   cost, so that a workspace with many requests does not delay another with
   few. */
#ifndef FAIR_QUEUE_H
#define FAIR_QUEUE_H

#include "base.h"

#define FQ_PRIORITIES 10

typedef struct FqLane FqLane;

/* A queue entry, embedded in the item.  The caller sets the first three
   members and does not change them while the item is queued. */
typedef struct {
    const char *owner; /* workspace */
    uint32_t priority; /* below FQ_PRIORITIES */
    uint32_t cost;     /* at least 1 */
    FqLane *lane;      /* NULL while not queued */
    GList *link;       /* in its lane */
} FqNode;

typedef struct Fq Fq;

Fq *fq_create(void);
void fq_destroy(Fq *q);

void fq_push(Fq *q, FqNode *n);
/* The one to serve next, or NULL. */
FqNode *fq_peek(const Fq *q);
/* Removes N.  SERVED: its cost is charged to its workspace. */
void fq_remove(Fq *q, FqNode *n, bool served);

uint32_t fq_count(const Fq *q);
/* Number of items to be served before a new one of PRIORITY. */
uint32_t fq_count_ahead(const Fq *q, uint32_t priority);
/* Highest priority of a queued item; 0 if the queue is empty. */
uint32_t fq_get_top_priority(const Fq *q);
/* Calls VISIT for each item; it may remove the node it is given. */
void fq_visit(Fq *q, void (*visit)(void *ctx, FqNode *n), void *ctx);

#endif
