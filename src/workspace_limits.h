/* wl: limits of workspaces, which hold over all gateways together.

   Each gateway admits requests locally and reports their cost to its
   aggregator: a relay aggregates for its members, the leader for the whole
   fleet.  For each workspace near its limit the aggregator publishes the level
   of the workspace's token bucket and the rate of demand, and every gateway
   then admits the same fraction of that workspace's requests.

   A limit is a token bucket, filled at the rate up to a capacity.  Requests
   admitted before the others learnt of them may leave it below zero; the debt
   is repaid from the rate.  A gateway that gets no levels goes on with the
   last ones for a moment (LEVELS_LIFETIME_MS in workspace_limits.c) and then
   keeps, together with those that it aggregates for, to its share of the
   fleet's limit.  Its next aggregator counts that share as full, and the
   gateway reports what is missing from it; until that report is in the
   published levels, the gateway keeps to its share.

   Workload: a workspace's requests come to any gateway, a few a second at
   each, and one request may cost a good part of what the limit admits in a
   second; at other times a workspace asks for several times its limit.  Fixed
   shares for each gateway would refuse requests of the first kind.

   No threads, I/O or clock: callers pass the time in. */
#ifndef WORKSPACE_LIMITS_H
#define WORKSPACE_LIMITS_H

#include "base.h"
#include "gateway_types.h"

typedef struct {
    /* Bound to keep: in any window of WINDOW_MS at most
       (rate * window + burst) * (1 + EXCESS) + SLACK is admitted. */
    uint32_t window_ms;
    double excess;
    double slack;
    uint64_t seed;
} WlParams;

/* Usage since the last report: amounts admitted and asked for, in tokens or
   requests, as the workspace's limit is. */
typedef struct {
    const char *workspace;
    double spent; /* below 0: more was refunded than spent */
    double asked;
} WlSpent;

/* Whether amounts received in a frame are valid. */
bool wl_is_amount(double amount, double asked);

/* State of a workspace's limit, as an aggregator publishes it. */
typedef struct {
    const char *workspace;
    double level; /* of the bucket; below 0: in debt */
    double asked; /* a second */
} WlLevel;

/* Why a request was refused. */
typedef struct {
    uint32_t retry_ms;   /* until the limit has room again, unless other
                            requests use it */
    const char *counts;  /* by which it was decided: "own", "alone" (isolated)
                            or "told" (published levels) */
    double level;        /* of the bucket */
    double asked;        /* a second */
    double let_in;       /* fraction of requests of this cost admitted */
    int64_t told_ms_ago; /* age of the last levels received; -1: none */
} WlRefusal;

typedef struct Wl Wl;

Wl *wl_create(const WlParams *params);
void wl_destroy(Wl *l);
void wl_on_config(Wl *l, DepConfig *c);
/* The settings of the bound changed. */
void wl_set_bound(Wl *l, double excess, double slack);

/* This gateway aggregates for GROUP_SIZE of FLEET_SIZE gateways (0: unknown),
   itself included.  IS_ROOT: it does so for the whole fleet, as the leader;
   other gateways go by their own counts only while no aggregator publishes to
   them. */
void wl_on_fleet(Wl *l, uint64_t now_ms, bool is_root, uint32_t group_size,
                 uint32_t fleet_size);
/* A new link to an aggregator, which counts this gateway as a new member. */
void wl_on_link(Wl *l);
/* Believed number of gateways in the fleet; 0: unknown. */
uint32_t wl_get_fleet(const Wl *l);
/* Some workspace is near its limit: usage and levels should be sent more
   often. */
bool wl_is_near_limit(const Wl *l);

/* Admits or refuses a request of W that costs COST.  Sets *WHY if refused. */
bool wl_take(Wl *l, uint64_t now_ms, const DepWorkspace *w, double cost,
             WlRefusal *why);
/* Refunds an admitted request that has not run and never will. */
void wl_give_back(Wl *l, uint64_t now_ms, const DepWorkspace *w, double cost);

/* Usage reported by a gateway that this one aggregates for. */
void wl_on_spent(Wl *l, uint64_t now_ms, const WlSpent *spent);
/* Collects the usage since the last call, of this gateway and those that it
   aggregates for, to report to its aggregator.  VISIT's argument is
   borrowed. */
void wl_collect_spent(Wl *l, void (*visit)(void *ctx, const WlSpent *spent),
                      void *ctx);
/* The aggregator published at SENT_MS, by this gateway's clock, the levels of
   all workspaces near their limit, and the share of the fleet's limit that it
   aggregates. */
void wl_on_levels(Wl *l, uint64_t now_ms, uint64_t sent_ms, double share,
                  const WlLevel *levels, size_t n);
/* Whether any workspace has a limit. */
bool wl_has_limits(const Wl *l);
/* No aggregator publishes to this gateway, so it publishes its own levels to
   those that it aggregates for. */
bool wl_publishes(const Wl *l, uint64_t now_ms);
/* Visits the levels of all workspaces near their limit.  Returns the share to
   publish with them. */
double wl_visit_levels(Wl *l, uint64_t now_ms,
                       void (*visit)(void *ctx, const WlLevel *level),
                       void *ctx);
/* Appends a line of JSON for each workspace that is active here. */
void wl_print(Wl *l, uint64_t now_ms, GString *out);

#endif
