/* ur: slots of brittle upstreams.

   A brittle upstream falls over once it has to turn away more requests in a
   second, of all gateways together, than it names.  How many requests it has
   room for it doesn't say.  The gateway that leads hands out the slots: each
   is the right to have one request there until it is over.  How many there
   may be at a time is learned: more while requests are accepted, fewer after
   one was turned away.

   The bound to keep: in a window of UR_WINDOW_MS the requests that were turned
   away, and those sent so lately that they may be yet, are at most what the
   upstream bears in a second.  Slots beyond what was accepted lately count for
   longer, since they are more likely to be turned away.

   A new leader is told of the slots that gateways hold, and hands out none
   before it had time to hear of them.

   Workload: hundreds of gateways, each with few requests for an upstream that
   has room for a few.  Shares for each of them would leave most of the room
   unused, and what each learns by itself costs a request turned away for each
   of them.

   No threads, I/O or clock: callers pass the time in. */
#ifndef UPSTREAM_ROOM_H
#define UPSTREAM_ROOM_H

#include "base.h"

#define UR_WINDOW_MS 1200
/* For so long after it began to lead a leader only listens. */
#define UR_GATHER_MS 1000

typedef struct Ur Ur;

/* Answers an ask of VM: a slot, or none, and another ask makes sense in
   WAIT_MS.  It must not call this module. */
typedef void (*UrAnswerFn)(void *ctx, const char *vm, uint64_t ticket,
                           bool granted, uint32_t wait_ms);

Ur *ur_create(UrAnswerFn answer, void *ctx);
void ur_destroy(Ur *r);
/* This gateway leads from now on. */
void ur_on_lead(Ur *r, uint64_t now_ms);

typedef struct {
    const char *vm; /* that asks */
    uint64_t ticket;
    uint32_t max_wait_ms; /* for the answer */
    uint32_t hold_ms;     /* the slot is over after this time in any case */
} UrAsk;

/* VM wants a slot of UPSTREAM, which bears REJECTS_PER_S.  The answer may come
   before this returns. */
void ur_ask(Ur *r, uint64_t now_ms, const char *upstream, double rejects_per_s,
            const UrAsk *ask);
/* VM has a request at UPSTREAM, which was accepted, under ASK's ticket. */
void ur_on_held(Ur *r, uint64_t now_ms, const char *upstream,
                double rejects_per_s, const UrAsk *ask);

typedef enum {
    UR_SERVED,
    UR_TURNED_AWAY,
    UR_BROKEN, /* nobody knows whether it was accepted */
    UR_UNUSED  /* nothing was sent */
} UrEnd;

void ur_on_over(Ur *r, uint64_t now_ms, const char *vm, uint64_t ticket,
                UrEnd end);
/* Hands out what has become free.  Call it every few ms. */
void ur_on_tick(Ur *r, uint64_t now_ms);
/* Appends a line of JSON for each upstream. */
void ur_print(const Ur *r, uint64_t now_ms, GString *out);

#endif
