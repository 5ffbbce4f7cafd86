/* rl: which gateways stay linked to the placing VM, and to which relay the
   others go.

   The load that it answers: hundreds of gateways all need what is placed
   where, and the placing VM's link and processor carry a few dozen of them.
   The fittest of a data centre relay to the others there: what is told goes
   once to each relay and once to each of its members, and what is asked for
   comes back summed.  A further VM of each data centre stays linked to the
   placing one, to take a lost relay's place at once.

   No threads, I/O or clock. */
#ifndef RL_H
#define RL_H

#include "bg_base.h"

typedef struct {
    uint32_t direct;  /* links that the placing VM serves without relays */
    uint32_t members; /* that one relay serves */
    uint32_t moves;   /* members that one relay gets at a time: each is told
                         all there is */
} RlParams;

/* A gateway that is linked to the placing VM. */
typedef struct {
    const char *vm;
    const char *data_centre;
    const char *address; /* where others link to it */
    const char *shunned; /* relay that it could not reach; NULL: none */
    uint32_t fitness;    /* share of a core, in thousandths */
    uint32_t members;    /* linked to it */
    bool leaving;        /* it should relay to nobody */
} RlPeer;

/* PEERS[WHICH] is to link to the relay at ADDRESS. */
typedef void (*RlMove)(void *ctx, size_t which, const char *address);

void rl_plan(const RlParams *params, const RlPeer *peers, size_t count,
             RlMove move, void *ctx);

#endif
