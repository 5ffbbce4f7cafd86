#include "lag.h"

/* The clocks of VMs drift by less than 1 %, which within two windows is far
   less than what counts as late. */
#define WINDOW_MS 15000

void
lag_reset(Lag *l)
{
    *l = (Lag){0};
}

static void
start_window(Lag *l, uint64_t now_ms, int64_t difference_ms)
{
    bool follows = l->window_ms && now_ms < l->window_ms + 2 * WINDOW_MS;
    l->last_min_ms = follows ? l->min_ms : difference_ms;
    l->min_ms = difference_ms;
    l->window_ms = now_ms;
}

uint64_t
lag_update(Lag *l, uint64_t now_ms, uint64_t sent_ms)
{
    int64_t difference_ms = (int64_t)(now_ms - sent_ms);
    if (!l->window_ms || now_ms >= l->window_ms + WINDOW_MS) {
        start_window(l, now_ms, difference_ms);
    }
    l->min_ms = MIN(l->min_ms, difference_ms);
    l->late_ms = (uint64_t)(difference_ms - MIN(l->min_ms, l->last_min_ms));
    return l->late_ms;
}
