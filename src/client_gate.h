/* cg: cm for a process with a thread for each request.  A thread asks before
   it holds more for its client.  Where that would exceed the limit, those that
   weigh most and are still reading are interrupted, and their threads give up;
   the one that asks is refused if it weighs most itself.

   Thread-safe, apart from cg_create and cg_destroy. */
#ifndef CLIENT_GATE_H
#define CLIENT_GATE_H

#include "client_memory.h"

typedef struct Cg Cg;

/* Of one request; zeroed by its owner. */
typedef struct {
    CmHolder held;
    uint64_t arrival_ms; /* by bg_now_ms */
    /* Makes the thread that reads for it return; called by other threads. */
    void (*interrupt)(void *ctx);
    void *ctx;
    bool yields; /* it was interrupted */
} CgHolder;

Cg *cg_create(uint64_t limit_bytes);
void cg_destroy(Cg *g);
/* H holds BYTES from now on.  READING: it may be interrupted for others.
   False: it must not, and gives up what it holds. */
bool cg_hold(Cg *g, CgHolder *h, uint64_t bytes, bool reading);
/* H was interrupted: its request hasn't run. */
bool cg_must_yield(Cg *g, CgHolder *h);
void cg_leave(Cg *g, CgHolder *h);
uint64_t cg_get_sum(Cg *g);
/* As cm_take_peak. */
uint64_t cg_take_peak(Cg *g);

#endif
