/* keep: how long an unused replica stays loaded.  Holds a histogram of the
   idle gaps between uses of one model and chooses the idle timeout with the
   least cost over it. */
#ifndef KEEP_H
#define KEEP_H

#include "base.h"

#define KEEP_OCTAVES 22
#define KEEP_OCTAVE_BUCKETS 4 /* linear buckets per octave */
#define KEEP_BUCKETS (KEEP_OCTAVES * KEEP_OCTAVE_BUCKETS)

typedef enum {
    KEEP_BREAK_EVEN, /* timeout with the least cost over the model's gaps */
    KEEP_FIXED,      /* the same timeout for every model */
    KEEP_LRU         /* evict the least recently used when memory is needed */
} KeepPolicy;

/* Exponentially decayed counts of gaps, in log-linear buckets that begin at
   KEEP_MIN_MS (keep.c). */
typedef struct {
    float counts[KEEP_BUCKETS];
    float total;
} KeepStats;

/* The model was used again after it was idle for GAP_MS. */
void keep_add_gap(KeepStats *s, uint64_t gap_ms);

/* The idle timeout in ms with the least cost, if a cold start costs COLD_COST
   and an idle millisecond IDLE_COST.  While few gaps were seen it is the
   break-even point (ski rental), at which idling has cost as much as one cold
   start; that costs at most twice the best choice in hindsight. */
uint64_t keep_choose_ms(const KeepStats *s, double cold_cost,
                        double idle_cost);

#endif
