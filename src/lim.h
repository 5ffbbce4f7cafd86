/* lim: enforces the limits of each workspace across all routers.

   Every router has a home share of each limit: the limit divided by the
   number of routers, so that the shares never exceed the limit in sum.  A
   router that needs more asks the others; one with spare share lends it for a
   lease.  The lender counts the loan until the end of the lease, measured
   from the lending, plus a margin; the borrower uses it until the end of the
   lease measured from its request, which was earlier.  So messages may be
   lost, duplicated or delayed, and an isolated router is back at its home
   share after a lease.

   Requests per second and tokens per minute are token buckets; concurrency is
   a counter.  No threads, I/O or clock. */
#ifndef LIM_H
#define LIM_H

#include "base.h"
#include "bglade.pb-c.h"
#include "cfg.h"

typedef enum { LIM_REQUESTS, LIM_TOKENS, LIM_CONCURRENCY } LimKind;
#define LIM_KINDS 3
/* Amounts are in thousandths of a request or token per period, or of one
   request in flight. */
#define LIM_UNIT 1000

typedef struct {
    uint32_t routers;  /* number in the whole system */
    uint32_t lease_ms; /* of a loan */
} LimParams;

typedef struct {
    void *ctx;
    /* To all other routers. */
    void (*ask)(void *ctx, const Bg__LimitAsk *ask);
    void (*lend)(void *ctx, const char *to, const Bg__LimitLoan *loan);
} LimOutput;

typedef struct Lim Lim;

/* For a lease from NOW_MS on, a new process lends nothing and uses at most
   half of its home shares: its predecessor may have lent the other half. */
Lim *lim_create(const LimParams *params, const LimOutput *out,
                uint64_t now_ms);
void lim_destroy(Lim *l);

void lim_on_config(Lim *l, const CfgSet *cfg);
/* The same for one workspace. */
void lim_set(Lim *l, const char *workspace, const uint32_t limits[LIM_KINDS]);
/* How many other routers are linked. */
void lim_on_peers(Lim *l, uint32_t count);

/* Admits a request that may generate TOKENS.  False: over a limit; a retry
   after RETRY_AFTER_MS succeeds unless other requests used up the room. */
bool lim_admit(Lim *l, uint64_t now_ms, const char *workspace, uint32_t tokens,
               uint64_t *retry_after_ms);
/* An admitted request ended after HELD_MS; it generated USED tokens of the
   TOKENS that were reserved. */
void lim_release(Lim *l, uint64_t now_ms, const char *workspace,
                 uint32_t tokens, uint32_t used, uint64_t held_ms);

void lim_on_ask(Lim *l, uint64_t now_ms, const char *from,
                const Bg__LimitAsk *ask);
void lim_on_loan(Lim *l, uint64_t now_ms, const char *from,
                 const Bg__LimitLoan *loan);

/* The share that this router may use now, in LIM_UNIT. */
uint64_t lim_get_share(Lim *l, uint64_t now_ms, const char *workspace,
                       LimKind kind);

#endif
