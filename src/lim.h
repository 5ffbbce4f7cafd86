/* lim: limits of each workspace that hold across all routers.

   Every router has a home share of each limit: the limit divided by the
   number of routers, so that the shares never add up to more.  A router
   that needs more asks the others; one that has more than it uses lends,
   for a lease.  The lender counts a loan until the lease has surely ended,
   measured from when it lent; the borrower uses it only until the lease has
   ended measured from when it asked, which was earlier.  Messages may
   therefore be lost, doubled or late, and a router that is cut off is back
   at its home share after a lease.

   Requests a second and tokens a minute are token buckets; concurrency is a
   count.  No threads, I/O or clock. */
#ifndef LIM_H
#define LIM_H

#include "bg_base.h"
#include "bglade.pb-c.h"
#include "cfg.h"

typedef enum { LIM_REQUESTS, LIM_TOKENS, LIM_CONCURRENCY } LimKind;
#define LIM_KINDS 3
/* Amounts are in thousandths: of a request or token per period, or of one
   request in flight. */
#define LIM_UNIT 1000

typedef struct {
    uint32_t routers;  /* of the whole system */
    uint32_t lease_ms; /* of a loan */
} LimParams;

typedef struct {
    void *ctx;
    /* To all other routers. */
    void (*ask)(void *ctx, const Bg__LimitAsk *ask);
    void (*lend)(void *ctx, const char *to, const Bg__LimitLoan *loan);
} LimOutput;

typedef struct Lim Lim;

/* NOW_MS: for a lease a new process lends nothing and uses half of its
   shares: its predecessor may have lent the other half. */
Lim *lim_create(const LimParams *params, const LimOutput *out,
                uint64_t now_ms);
void lim_destroy(Lim *l);

void lim_on_config(Lim *l, const CfgSet *cfg);
/* The same for one workspace. */
void lim_set(Lim *l, const char *workspace, const uint32_t limits[LIM_KINDS]);
/* How many other routers are linked. */
void lim_on_peers(Lim *l, uint32_t count);

/* Admit a request that may make TOKENS.  False: refused, and a caller that
   comes back after RETRY_AFTER_MS finds room if nobody else took it. */
bool lim_take(Lim *l, uint64_t now_ms, const char *workspace, uint32_t tokens,
              uint64_t *retry_after_ms);
/* An admitted request has ended; it made USED of its TOKENS. */
void lim_give(Lim *l, uint64_t now_ms, const char *workspace, uint32_t tokens,
              uint32_t used, uint64_t held_ms);

void lim_on_ask(Lim *l, uint64_t now_ms, const char *from,
                const Bg__LimitAsk *ask);
void lim_on_loan(Lim *l, uint64_t now_ms, const char *from,
                 const Bg__LimitLoan *loan);

/* What this router may use now, in LIM_UNIT. */
uint64_t lim_get_share(Lim *l, uint64_t now_ms, const char *workspace,
                       LimKind kind);

#endif
