/* wl: limits of workspaces, which hold over all gateways together.

   The load that it answers: a workspace's callers come at any gateway, a few
   requests a second at each, and one of them may hold a good part of what the
   limit lets through in a second; another day a workspace asks for several
   times its limit.  Shares for each gateway would refuse the first of these
   callers, so requests are let in where they come, and what they cost is told
   and summed: by relays for their members, by the placing VM for all.  It
   tells what is left of each workspace that comes near its limit, and how much
   is asked for; every gateway then lets the same part of that workspace's
   requests in.

   A limit is a bucket, filled at the rate up to a capacity; what was let in
   before others heard of it leaves it below zero, and is paid back.  A gateway
   that the sums don't reach goes on for a moment as it was told, and then
   keeps, with those that it sums for, to its part of the fleet's limit.  Who
   sums for it next counts that part as full, and is told what is missing
   there; until that is in the sums the gateway keeps to its part.

   No threads, I/O or clock. */
#ifndef WL_H
#define WL_H

#include "bg_base.h"
#include "dep.h"

typedef struct {
    /* Of the bound that a limit is held to: in any window of so long, rate and
       burst may be exceeded by a part of them and by a fixed amount. */
    uint32_t window_ms;
    double excess;
    double slack;
    uint64_t seed;
} WlParams;

/* What was asked for and let in since the last word; an amount is in tokens
   or requests, as the workspace's limit is. */
typedef struct {
    const char *workspace;
    double spent; /* below 0: more was given back */
    double asked;
} WlSpent;

/* An amount that a frame tells makes sense. */
bool wl_is_amount(double amount, double asked);

/* What is left of a limit. */
typedef struct {
    const char *workspace;
    double level; /* of the bucket; below 0: in debt */
    double asked; /* a second */
} WlLevel;

/* Why a request was refused. */
typedef struct {
    uint32_t retry_ms;   /* a caller that comes back then finds room if nobody
                            else took it */
    const char *counts;  /* that it was judged by: own, alone, told */
    double level;        /* of the bucket */
    double asked;        /* a second */
    double let_in;       /* part of requests like this one */
    int64_t told_ms_ago; /* -1: never */
} WlRefusal;

typedef struct Wl Wl;

Wl *wl_create(const WlParams *params);
void wl_destroy(Wl *l);
void wl_on_config(Wl *l, DepConfig *c);
/* The settings changed. */
void wl_set_bound(Wl *l, double excess, double slack);

/* Of KNOWN gateways (0: unknown) this one sums for HEARD, itself included.
   SUMS: for all that there are; else only while nobody tells it. */
void wl_on_fleet(Wl *l, uint64_t now_ms, bool is_root, uint32_t group_size,
                 uint32_t fleet_size);
/* Who sums for us is another than before, or counts us anew. */
void wl_on_link(Wl *l);
/* Gateways that there are, as far as is believed; 0: not known. */
uint32_t wl_get_fleet(const Wl *l);
/* Some workspace is near its limit: sums are worth telling more often. */
bool wl_is_near_limit(const Wl *l);

/* Let in a request of W that costs COST.  False: it is refused. */
bool wl_take(Wl *l, uint64_t now_ms, const DepWorkspace *w, double cost,
             WlRefusal *why);
/* What was let in has not run and never will. */
void wl_give_back(Wl *l, uint64_t now_ms, const DepWorkspace *w, double cost);

/* Gateways that we sum for spent so much since they last told. */
void wl_on_spent(Wl *l, uint64_t now_ms, const WlSpent *spent);
/* What this gateway, and those that it sums for, spent since the last call,
   for who sums for us.  VISIT's argument is borrowed. */
void wl_collect_spent(Wl *l, void (*visit)(void *ctx, const WlSpent *spent),
                      void *ctx);
/* Who sums for us told at SENT_MS, by our clock, all levels that matter, and
   the part of the fleet's limit that it sums for. */
void wl_on_levels(Wl *l, uint64_t now_ms, uint64_t sent_ms, double share,
                  const WlLevel *levels, size_t n);
/* Of any workspace. */
bool wl_has_limits(const Wl *l);
/* Nobody tells us: we tell those that we sum for. */
bool wl_publishes(const Wl *l, uint64_t now_ms);
/* The levels that matter; returns the share to tell with them. */
double wl_visit_levels(Wl *l, uint64_t now_ms,
                       void (*visit)(void *ctx, const WlLevel *level),
                       void *ctx);
/* Every workspace that is active here, as a line of text. */
void wl_print(Wl *l, uint64_t now_ms, GString *out);

#endif
