/* ls: the lease for placement.  It elects the leader, the one VM at a time
   that may send orders to upstreams.

   The lease is the newest record of a topic of its own in the store.  A VM
   acquires and renews it by a conditional append, which fails if another
   record was written since it read the topic.  The leader's lease runs from
   the moment at which it sent the acknowledged renewal.  A successor counts
   from the moment at which it saw that renewal, which is later.  So the leases
   of two VMs never overlap, whatever is lost, late or paused.  Upstreams that
   don't check tokens could still act on a late order of the former leader:
   the first order of its successor waits for a further guard interval
   (guard_ms).

   A state machine without threads, I/O or clock; times are of a clock that
   goes on while the VM is suspended (bg_boot_ms). */
#ifndef LEASE_H
#define LEASE_H

#include "base.h"
#include "store.h"

/* Between reads of the topic while there is no contact with the leader;
   doubled with each failed read after the first, up to LS_MAX_READ_DOUBLINGS
   times. */
#define LS_READ_INTERVAL_MS 300
#define LS_MAX_READ_DOUBLINGS 2

typedef struct {
    const char *vm;      /* this VM */
    const char *process; /* unique id of this process */
    const char *address; /* where others reach its links */
    uint32_t lease_ms;   /* duration of the lease from its last renewal */
    uint32_t renew_ms;   /* between renewals */
    uint32_t order_ms;   /* how long after a renewal orders may be sent */
    uint32_t guard_ms;   /* guard interval between the former leader's last
                           order and the first of this VM */
    uint32_t leader_timeout_ms; /* no contact for so long: read the store */
    uint32_t claim_delay_ms;    /* before a claim; larger on less fit VMs */
    uint64_t seed;
} LsParams;

typedef struct {
    void *ctx;
    /* Answered by ls_on_read; at most one is pending. */
    void (*read)(void *ctx, uint64_t from);
    /* Answered by ls_on_append; at most one is pending. */
    void (*append)(void *ctx, uint64_t at, const char *value);
    /* The known leader changed, or this VM began or ceased to lead.  Also
       called for each renewal. */
    void (*changed)(void *ctx);
} LsOutput;

typedef struct Ls Ls;

Ls *ls_create(const LsParams *params, const LsOutput *out);
void ls_destroy(Ls *l);

void ls_on_tick(Ls *l, uint64_t now_ms);
/* RESULT is StReply.result and TAIL is StReply.tail; VALUE: of the newest
   record read, or NULL. */
void ls_on_read(Ls *l, uint64_t now_ms, StResult result, const char *value,
                uint64_t offset, uint64_t tail);
void ls_on_append(Ls *l, uint64_t now_ms, StResult result, uint64_t offset,
                  uint64_t tail);
/* The leader was heard from over a link: it was alive at CONTACT_MS. */
void ls_on_leader_contact(Ls *l, uint64_t contact_ms);
/* This VM does not read or claim the lease until UNTIL_MS: its relay follows
   it meanwhile. */
void ls_hold_off(Ls *l, uint64_t until_ms);
/* Releases the lease, as this VM can't reach the upstreams, and does not claim
   it again for PAUSE_MS. */
void ls_yield(Ls *l, uint64_t now_ms, uint32_t pause_ms);
/* This process is about to stop: it does not claim the lease any more, but
   goes on renewing it if it has it.  Its successor on the same VM, which
   starts before the lease ends, takes it over without a new guard interval. */
void ls_stop_claiming(Ls *l);

/* Whether orders may be sent at this moment. */
bool ls_may_order(const Ls *l, uint64_t now_ms);
bool ls_is_leader(const Ls *l, uint64_t now_ms);
/* Fencing token of this VM's lease: higher than that of any former leader. */
uint64_t ls_get_token(const Ls *l);
/* Time until this leader may send its first order; 0: it has passed. */
uint32_t ls_get_order_delay_ms(const Ls *l, uint64_t now_ms);
/* Link address and VM of the leader; NULL: unknown. */
const char *ls_get_leader_address(const Ls *l);
const char *ls_get_leader_vm(const Ls *l);
/* Time until the leader's first order, as of its newest record. */
uint32_t ls_get_leader_delay_ms(const Ls *l);
/* Number of gateways in the fleet, written with each renewal, so that a newly
   started process has it before it gets any heartbeat. */
void ls_set_fleet(Ls *l, uint32_t gateways);
/* The number in the newest record; 0: none. */
uint32_t ls_get_fleet(const Ls *l);
/* A word without blanks, written with each renewal; NULL: none. */
void ls_set_note(Ls *l, const char *note);
/* The note in the newest record; NULL: none. */
const char *ls_get_note(const Ls *l);

#endif
