/* lag: delay of a sender's messages, estimated from their time stamps without
   synchronised clocks.

   The least difference between receive time and time stamp, taken over the
   last one to two windows, is the offset of the clocks plus the least delay.
   A message's lag is what its difference exceeds that by.

   No threads, I/O or clock.

   Workload: a link carries less than is sent, so messages queue up, and state
   from seconds ago keeps arriving at the usual rate. */
#ifndef LAG_H
#define LAG_H

#include "base.h"

typedef struct {
    /* Least difference in this window and in the previous one.  Windows let
       the estimate follow the drift of the clocks. */
    int64_t min_ms;
    int64_t last_min_ms;
    uint64_t window_ms; /* start of this window; 0: no message yet */
    uint64_t late_ms;   /* lag of the last message */
} Lag;

/* Start again, for another sender or link. */
void lag_reset(Lag *l);
/* A message that was sent at SENT_MS by the sender's clock has arrived.
   Returns its lag in ms, relative to the fastest messages. */
uint64_t lag_update(Lag *l, uint64_t now_ms, uint64_t sent_ms);

#endif
