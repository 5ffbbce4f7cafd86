/* rb: the retry budget.  A retry is any arrival of a request at its service
   after the first.  In any window, the retries that a service receives from
   all gateways together must not exceed a ratio of its requests plus a fixed
   slack.  Gateways don't coordinate: each keeps to the ratio of its own
   requests and an equal part of the slack, or none of it while it doesn't know
   how many share it.

   No threads, I/O or clock. */
#ifndef RETRY_BUDGET_H
#define RETRY_BUDGET_H

#include "base.h"

typedef struct {
    uint32_t window_ms;
    double ratio;      /* retries allowed for each request */
    double slack;      /* further retries allowed, for all gateways */
    uint32_t gateways; /* that may share the slack; 0: not known yet */
} RbParams;

typedef struct Rb Rb;

/* For one window from NOW_MS only a small part of the slack is used: a former
   process of this gateway may have spent the rest. */
Rb *rb_create(const RbParams *params, uint64_t now_ms);
void rb_destroy(Rb *b);
/* The settings of ratio and slack changed. */
void rb_set_allowance(Rb *b, double ratio, double slack);
/* GATEWAYS: number of gateways known now.  A decrease takes effect only when
   no number as large as the former was known for RB_MEMORY_MS: gateways that
   are cut off go on spending. */
#define RB_MEMORY_MS 30000
void rb_on_gateways(Rb *b, uint64_t now_ms, uint32_t gateways);

/* A request for SERVICE has arrived. */
void rb_on_request(Rb *b, uint64_t now_ms, const char *service);
/* Returns true, and counts the retry, if one more is within the budget. */
bool rb_take(Rb *b, uint64_t now_ms, const char *service);

#endif
