/* hist: histogram of durations in log-linear buckets; gives quantiles of long
   runs in fixed memory.  A bucket is at most 1/64 of its value wide.  Any
   thread may add; a reader sees each counter atomically, but not all of them
   at the same instant. */
#ifndef HIST_H
#define HIST_H

#include "base.h"

typedef struct Hist Hist;

Hist *hist_create(void);
void hist_destroy(Hist *h);

/* Counts one duration. */
void hist_add(Hist *h, uint64_t us);
uint64_t hist_count(const Hist *h);
/* The largest duration added, exact; 0 if there was none. */
uint64_t hist_max(const Hist *h);
/* The PERMILLE quantile (500: the median) in microseconds, rounded up to the
   upper bound of its bucket, but not above the maximum. */
uint64_t hist_quantile(const Hist *h, uint32_t permille);
/* Adds the counts of FROM to INTO. */
void hist_merge(Hist *into, const Hist *from);

#endif
