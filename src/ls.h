/* ls: the lease under which one VM at a time may order upstreams.

   The lease is the newest record of a topic of its own.  Whoever appends
   under the condition that nothing was written since holds it, and renews it
   the same way.  A holder counts its right from the moment at which it sent
   the renewal that was acknowledged; a successor counts from the moment at
   which it saw that renewal, which is later, and its own append fails if
   there was another.  So two rights never overlap, whatever is lost, late or
   paused.  The first order of a successor waits REST_MS more, for upstreams
   that don't check tokens.

   A state machine without threads, I/O or clock; times are of a clock that
   goes on while the VM is suspended (bg_boot_ms). */
#ifndef LS_H
#define LS_H

#include "bg_base.h"
#include "st.h"

typedef struct {
    const char *vm;      /* this VM */
    const char *process; /* this process, unlike any other's */
    const char *address; /* where others reach its links */
    uint32_t lease_ms;   /* how long an unrenewed right lasts */
    uint32_t renew_ms;   /* between renewals */
    uint32_t order_ms;   /* how long an unrenewed right to order lasts */
    uint32_t rest_ms;    /* from another VM's right to order to ours */
    uint32_t quiet_ms;   /* without a word of the holder: ask the store */
    uint32_t claim_ms;   /* later than others: this VM is less fit */
    uint64_t seed;
} LsParams;

typedef struct {
    void *ctx;
    /* Answered by ls_on_read; at most one is out. */
    void (*read)(void *ctx, uint64_t from);
    /* Answered by ls_on_append; at most one is out. */
    void (*append)(void *ctx, uint64_t at, const char *value);
    /* Another holder is known, or this VM's right began or ended. */
    void (*changed)(void *ctx);
} LsOutput;

typedef struct Ls Ls;

Ls *ls_create(const LsParams *params, const LsOutput *out);
void ls_destroy(Ls *l);

void ls_on_tick(Ls *l, uint64_t now_ms);
/* END and TAIL as of StReply; VALUE: of the newest record read, or NULL. */
void ls_on_read(Ls *l, uint64_t now_ms, StResult end, const char *value,
                uint64_t offset, uint64_t tail);
void ls_on_append(Ls *l, uint64_t now_ms, StResult end, uint64_t offset,
                  uint64_t tail);
/* The holder was heard over a link: it lived at HEARD_MS. */
void ls_on_heard(Ls *l, uint64_t heard_ms);
/* Somebody else follows the lease for this VM: it reads and claims nothing
   until UNTIL_MS. */
void ls_hold_off(Ls *l, uint64_t until_ms);
/* Give the lease up, and leave it to others for PAUSE_MS: what this VM
   should order it can't reach. */
void ls_yield(Ls *l, uint64_t now_ms, uint32_t pause_ms);
/* This process is about to stop: it claims the lease no more, but goes on
   renewing one that it holds.  Its successor on the same VM, which is there
   in less time than a lease, takes it over without a rest. */
void ls_leave(Ls *l);

/* Whether an order may be sent at this moment. */
bool ls_may_order(const Ls *l, uint64_t now_ms);
bool ls_is_holder(const Ls *l, uint64_t now_ms);
/* Token of our right: higher than that of any holder before. */
uint64_t ls_get_token(const Ls *l);
/* Until the first order of this holder; 0: it may order. */
uint32_t ls_get_rest_ms(const Ls *l, uint64_t now_ms);
/* Link address of the holder, NULL when it is not known. */
const char *ls_get_holder_address(const Ls *l);
const char *ls_get_holder_vm(const Ls *l);
/* Gateways that there are, written with each renewal: a process that has just
   started learns it before any gateway tells it. */
void ls_set_fleet(Ls *l, uint32_t gateways);
/* As the newest record tells; 0: it doesn't. */
uint32_t ls_get_fleet(const Ls *l);

#endif
