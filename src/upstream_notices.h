/* un: what upstreams say of themselves in their answers, beyond their limits
   (ul): that they want nothing from this gateway for a while, and that they
   leave.  Every answer of an upstream is noted here, and un_check is asked
   before anything is sent to it.

   A wish for rest counts from when its answer was read.  The latest end holds:
   neither a shorter wish nor the answer to a request that was sent before ends
   it sooner.  After the end the gateway's requests go out a few at first, and
   twice as many in each step: what waited must not fill the upstream in one
   instant.  The first one is delayed by a random part of a time that grows
   with the number of gateways.

   An upstream that asks for rest whenever it is full would do so again at
   once, and stand idle meanwhile.  So for some seconds after a rest this
   gateway has fewer requests there at a time than when it was turned away, and
   one more with each round of them that is answered.

   In a rest of more than UN_PROBE_MS two requests are sent all the same, the
   first after UN_PROBE_MS and the second after UN_LAST_PROBE_MS: if one is
   served, the rest is over.

   A notice is of one process, known by its birth: the next one under the
   upstream's id owes nothing to it.  One that leaves does so until its end.

   The gateway that leads also keeps which gateways an upstream asked for rest:
   where half of them are, its models are wanted elsewhere.

   Workload: upstreams whose queues are full, asked by hundreds of gateways
   that all hold back for the same seconds; and none for days, when only the
   emptiness of the table is looked at.

   No threads, I/O or clock: callers pass the time in. */
#ifndef UPSTREAM_NOTICES_H
#define UPSTREAM_NOTICES_H

#include "base.h"

#define UN_PROBE_MS 60000
#define UN_LAST_PROBE_MS 600000

/* What one answer says. */
typedef enum {
    UN_NO_REST,
    UN_REST,
    UN_REST_UNREADABLE /* it names a time that can't be read: no wish */
} UnRest;

typedef struct {
    UnRest rest;
    uint64_t rest_ms; /* UN_REST only, above 0 */
    const char *text; /* UN_REST_UNREADABLE only: as named, borrowed */
    bool leaving;
} UnNotice;

/* A process of an upstream. */
typedef struct {
    const char *id;
    uint64_t born_ms; /* 0: not known, which is the same as any */
} UnProcess;

/* What an answer changed. */
typedef struct {
    bool rests;        /* a rest began, or lasts longer */
    bool leaves;       /* it was not known to leave */
    bool not_read;     /* to be logged: the first one in a while */
    bool rest_is_over; /* by an answer to a request sent in the rest */
} UnChange;

typedef struct Un Un;

Un *un_create(uint64_t seed);
void un_destroy(Un *n);

/* U answered a request that was sent at SENT_MS, while RUNNING requests of
   this gateway were there, this one included. */
UnChange un_on_answer(Un *n, uint64_t now_ms, const UnProcess *u,
                      uint64_t sent_ms, uint32_t running,
                      const UnNotice *notice);
/* U leaves, as its entry or another gateway says.  True: it wasn't known. */
bool un_on_leaving(Un *n, uint64_t now_ms, const UnProcess *u);
/* Number of gateways, this one included. */
void un_on_gateways(Un *n, uint32_t gateways);

typedef enum {
    UN_MAY_SEND,
    UN_LATER, /* it rests, or has just rested */
    UN_NEVER  /* it leaves */
} UnVerdict;

/* Whether a request may be chosen to go to U now, where RUNNING requests of
   this gateway are.  UN_LATER: not before *FROM_MS. */
UnVerdict un_check(const Un *n, uint64_t now_ms, const UnProcess *u,
                   uint32_t running, uint64_t *from_ms);
/* A request is sent to U, as un_check allowed. */
void un_on_send(Un *n, uint64_t now_ms, const UnProcess *u);
/* The same question for a request that un_on_send counted, when its first byte
   is about to be written: it may have waited for a connection. */
bool un_may_write(const Un *n, uint64_t now_ms, const UnProcess *u);

/* A request that waited for the end of a rest is sent. */
void un_on_release(Un *n, uint64_t now_ms);
/* Whether a request may wait as well, where WAITING do so and its caller
   leaves in LEFT_MS: no more than were sent in that time of late. */
bool un_may_wait(const Un *n, uint64_t now_ms, uint32_t waiting,
                 uint64_t left_ms);

/* When U's rest ends; 0: it doesn't rest. */
uint64_t un_get_rest_end_ms(const Un *n, uint64_t now_ms, const UnProcess *u);
bool un_is_leaving(const Un *n, const UnProcess *u);

/* ---- the leader --------------------------------------------------------- */

/* U asked gateway VM for rest until UNTIL_MS. */
void un_on_told(Un *n, uint64_t now_ms, const UnProcess *u, const char *vm,
                uint64_t until_ms);
/* Until when at least half of the gateways hold back for U; 0: fewer do. */
uint64_t un_get_fleet_end_ms(const Un *n, uint64_t now_ms, const UnProcess *u);

/* ---- time and state ----------------------------------------------------- */

/* Forgets what is over; VISIT, unless NULL, is called for each rest that has
   just ended. */
void un_on_tick(Un *n, uint64_t now_ms,
                void (*visit)(void *ctx, const char *id), void *ctx);
/* Appends a line of JSON for each upstream that rests or leaves. */
void un_print(const Un *n, uint64_t now_ms, GString *out);

#endif
