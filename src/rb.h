/* rb: the budget of repeats.  A service must not get more arrivals beyond
   the first of each request, in any window, than a share of its requests and
   a fixed slack, summed over all gateways.  Gateways don't ask one another:
   each keeps the share of its own requests and an equal part of the slack.
   No threads, I/O or clock. */
#ifndef RB_H
#define RB_H

#include "bg_base.h"

typedef struct {
    uint32_t window_ms;
    double ratio;      /* repeats allowed for each request */
    double slack;      /* repeats allowed besides, all gateways */
    uint32_t gateways; /* that may exist at once */
} RbParams;

typedef struct Rb Rb;

/* Until a window after NOW_MS most of the slack is left alone: a process that
   ended here may have spent it. */
Rb *rb_create(const RbParams *params, uint64_t now_ms);
void rb_destroy(Rb *b);
/* The settings changed. */
void rb_set_allowance(Rb *b, double ratio, double slack);
/* So many are seen now.  Fewer than before are believed only when nobody saw
   more for RB_MEMORY_MS: those cut off from us go on spending. */
#define RB_MEMORY_MS 30000
void rb_on_gateways(Rb *b, uint64_t now_ms, uint32_t gateways);

/* A request for SERVICE has come. */
void rb_on_request(Rb *b, uint64_t now_ms, const char *service);
/* True: one more arrival beyond the first is allowed, and counted. */
bool rb_take(Rb *b, uint64_t now_ms, const char *service);

#endif
