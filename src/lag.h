/* lag: how late the words of a sender come, from the times that it writes into
   them, without clocks that agree.

   The load that it answers: a link on the way carries less than is sent, words
   queue up there, and what was true seconds ago keeps coming at the usual
   pace.

   No threads, I/O or clock. */
#ifndef LAG_H
#define LAG_H

#include "bg_base.h"

typedef struct {
    /* Least difference of the two clocks, of this window and the one before;
       the clocks may drift. */
    int64_t min_ms;
    int64_t last_min_ms;
    uint64_t window_ms; /* when it began; 0: nothing was heard */
    uint64_t late_ms;   /* the last word */
} Lag;

/* Of another sender, or on another link. */
void lag_reset(Lag *l);
/* A word that was sent at SENT_MS by the sender's clock is there.  How much
   later it came than those that came soonest, in ms. */
uint64_t lag_update(Lag *l, uint64_t now_ms, uint64_t sent_ms);

#endif
