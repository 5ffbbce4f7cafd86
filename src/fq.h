/* fq: fair queue of waiting requests.  Higher priority first; inside one
   priority each workspace gets an equal share, counted by cost (start-time
   fair queueing), so that one with many requests does not hold up another
   with few. */
#ifndef FQ_H
#define FQ_H

#include "bg_base.h"

#define FQ_PRIORITIES 10

typedef struct FqLane FqLane;

/* One waiting item; lives inside it.  The first three are the caller's and
   stay as they are while it waits. */
typedef struct {
    const char *owner; /* workspace */
    uint32_t priority; /* below FQ_PRIORITIES */
    uint32_t cost;     /* at least 1 */
    FqLane *lane;      /* NULL while it does not wait */
    GList *link;       /* in its lane */
} FqNode;

typedef struct Fq Fq;

Fq *fq_create(void);
void fq_destroy(Fq *q);

void fq_push(Fq *q, FqNode *n);
/* The one to serve next, or NULL. */
FqNode *fq_peek(const Fq *q);
/* Take N out.  SERVED: it was served and its cost counts. */
void fq_remove(Fq *q, FqNode *n, bool served);

uint32_t fq_count(const Fq *q);
/* Items that go before a new one of PRIORITY. */
uint32_t fq_count_ahead(const Fq *q, uint32_t priority);
/* Highest priority that waits; 0 when none does. */
uint32_t fq_get_top_priority(const Fq *q);
/* VISIT may remove the node it is given. */
void fq_visit(Fq *q, void (*visit)(void *ctx, FqNode *n), void *ctx);

#endif
