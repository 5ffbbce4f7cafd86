/* hist: counters of durations in log-linear buckets, for quantiles of long
   runs in fixed memory.  A bucket is at most 1/64 of its value wide.  Any
   thread may add; readers see each counter whole, not all at one instant. */
#ifndef HIST_H
#define HIST_H

#include "bg_base.h"

typedef struct Hist Hist;

Hist *hist_create(void);
void hist_destroy(Hist *h);

/* Count one duration. */
void hist_add(Hist *h, uint64_t us);
uint64_t hist_count(const Hist *h);
/* The largest duration added, exact; 0 when there was none. */
uint64_t hist_max(const Hist *h);
/* Upper bound, in microseconds, of the bucket that holds the PERMILLE-th
   thousandth (500: the median), never above the maximum. */
uint64_t hist_quantile(const Hist *h, uint32_t permille);
/* Add what FROM has counted to INTO. */
void hist_merge(Hist *into, const Hist *from);

#endif
