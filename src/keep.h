/* keep: how long an unused replica stays.  A histogram of one model's gaps
   between uses, and the choice of the time-out that costs least over it. */
#ifndef KEEP_H
#define KEEP_H

#include "bg_base.h"

#define KEEP_OCTAVES 22
#define KEEP_PARTS 4 /* linear parts of an octave */
#define KEEP_BUCKETS (KEEP_OCTAVES * KEEP_PARTS)

typedef enum {
    KEEP_BREAK_EVEN, /* least cost over the model's own gaps */
    KEEP_FIXED,      /* the same time for every model */
    KEEP_LRU         /* stay until the memory is needed */
} KeepPolicy;

/* Decayed counts of gaps, in log-linear buckets from KEEP_FIRST_MS on. */
typedef struct {
    float counts[KEEP_BUCKETS];
    float total;
} KeepStats;

/* A model was used again after GAP_MS without use. */
void keep_add_gap(KeepStats *s, uint64_t gap_ms);

/* The time-out in ms that costs least when a cold start costs COLD_COST and
   an idle millisecond IDLE_COST.  With few gaps seen it is the break-even
   point (ski rental), where idling has cost as much as one cold start: that
   never costs more than twice the best choice in hindsight. */
uint64_t keep_choose_ms(const KeepStats *s, double cold_cost,
                        double idle_cost);

#endif
