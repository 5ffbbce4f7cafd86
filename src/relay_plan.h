/* rl: the plan of relays.  It decides which gateways stay linked to the
   leader, and to which relay the others move their link.

   Above a number of direct links the fittest VMs of each data centre become
   relays for the other gateways there.  An update of the leader is sent once
   to each relay and by it once to each of its members; demand comes back
   aggregated.  One more VM of each data centre stays linked to the leader as a
   spare, to replace a lost relay at once.

   Workload: hundreds of gateways all need the placement of models, and the
   leader's link and processor can serve a few dozen of them.

   No threads, I/O or clock. */
#ifndef RELAY_PLAN_H
#define RELAY_PLAN_H

#include "base.h"

typedef struct {
    uint32_t direct;  /* links that the leader serves without relays */
    uint32_t members; /* maximum of one relay */
    uint32_t moves;   /* maximum of new members of one relay in a plan: each is
                         sent the full state */
} RlParams;

/* A gateway that is linked to the leader. */
typedef struct {
    const char *vm;
    const char *data_centre;
    const char *address; /* where others link to it */
    /* Address of a relay that it could not reach; NULL: none. */
    const char *unreachable_relay;
    uint32_t fitness; /* share of a core, in thousandths */
    uint32_t members; /* gateways that are linked to it */
    bool leaving;     /* it should not be a relay */
} RlPeer;

/* PEERS[WHICH] should link to the relay at ADDRESS. */
typedef void (*RlMove)(void *ctx, size_t which, const char *address);

/* Calls MOVE for each peer whose link should move from the leader to a relay.
   PEERS: all gateways linked to the leader. */
void rl_plan(const RlParams *params, const RlPeer *peers, size_t count,
             RlMove move, void *ctx);

#endif
