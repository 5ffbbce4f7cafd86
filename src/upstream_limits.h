/* ul: the limits that upstreams name, which hold over all gateways together.
   An upstream in need says in its answers how many requests a second it takes
   from all of them.  A brittle one says how many it bears to turn away; its
   slots are handed out by ur, and only asked for and used here.

   The gateway that leads hands out slots: each is the right to send one
   request to one upstream at a certain time.  A gateway that wants to send to
   a limited upstream asks for a slot and is told when it begins, or how long
   the wait would be.  The slots of an upstream are spaced by its limit, so
   their sum keeps it, whichever gateways use them; an unused one is lost.  A
   slot that was asked for too long ago is not used, so an answer that comes
   late does no harm.  A new leader hands out no slot in the time for which its
   predecessor may have done so.

   A gateway that hears no leader has a small allowance of its own: an equal
   share of what the bound permits beyond the slots.  Below one request a
   window for each gateway it sends nothing there.

   The bound to keep: in any window of UL_WINDOW_MS an upstream gets at most
   UL_EXCESS times what its limit allows, and UL_SLACK requests.

   The limit in force is the lowest that was named within the last second, so
   answers that overtake each other and a limit that flickers don't open it.

   Workload: a limit may be far below one request a second for each gateway,
   and a model's requests come to any of hundreds of gateways.  Fixed shares
   for each would leave nearly all of such a limit unused.

   No threads, I/O or clock: callers pass the time in. */
#ifndef UPSTREAM_LIMITS_H
#define UPSTREAM_LIMITS_H

#include "base.h"

#define UL_WINDOW_MS 4000
#define UL_EXCESS 1.5
#define UL_SLACK 5
/* Longest wait for a slot that can be asked for. */
#define UL_MAX_WAIT_MS 1000
/* The wait that is assumed where no leader answers. */
#define UL_NO_LEADER_WAIT_MS 500

/* ---- limits ------------------------------------------------------------- */

/* What one answer says of its upstream's limit. */
typedef enum {
    UL_UNLIMITED, /* it names none */
    UL_LIMITED,
    UL_UNREADABLE /* it names one that can't be read */
} UlKind;

typedef struct {
    UlKind kind;
    double per_s;     /* requests; UL_LIMITED only, above 0 */
    const char *text; /* as named; UL_UNREADABLE only, borrowed */
    /* Requests that it bears to turn away; 0: it isn't brittle.  UL_UNREADABLE
       also if this can't be read. */
    double rejects_per_s;
} UlNamed;

/* In force, or reported, of an upstream; 0: none. */
typedef struct {
    double per_s;
    double rejects_per_s;
} UlValues;

typedef enum {
    UL_SAME,
    UL_BEGUN,
    UL_CHANGED,
    UL_ENDED,
    UL_NOT_READ /* the first unreadable one in a row; the limit stays */
} UlChange;

typedef struct Ul Ul;

Ul *ul_create(uint64_t now_ms, uint64_t seed);
void ul_destroy(Ul *l);

/* UPSTREAM named NAMED in an answer to this gateway.  Returns the change of
   the limit in force here.  Sets *REPORT if the leader has to be told what was
   named.  DECIDES: this gateway leads, or hears no leader; elsewhere only a
   lower limit is in force at once, and ul_on_limit decides on the others. */
UlChange ul_on_answer(Ul *l, uint64_t now_ms, const char *upstream,
                      const UlNamed *named, bool decides, bool *report);
/* Another gateway reported to this one, which leads, that an answer of
   UPSTREAM named VALUES. */
UlChange ul_on_report(Ul *l, uint64_t now_ms, const char *upstream,
                      UlValues values);
/* VALUES are in force at another gateway, where they were last confirmed
   AGE_MS ago.  A leader that has none for UPSTREAM, nor had one that ended
   since then, takes them over. */
UlChange ul_on_known(Ul *l, uint64_t now_ms, const char *upstream,
                     UlValues values, uint32_t age_ms);
/* The leader published the values in force. */
UlChange ul_on_limit(Ul *l, uint64_t now_ms, const char *upstream,
                     UlValues values);
/* UPSTREAM is gone, or another process has its id now. */
void ul_forget(Ul *l, const char *upstream);
/* Whether PER_S, received in a frame, is valid. */
bool ul_is_limit(double per_s);
/* Any limit is in force. */
bool ul_has_limits(const Ul *l);
/* Requests a second that UPSTREAM takes; 0: no limit is in force. */
double ul_get_limit(const Ul *l, const char *upstream);
/* Requests that UPSTREAM bears to turn away in a second; 0: it isn't
   brittle. */
double ul_get_rejects(const Ul *l, const char *upstream);
/* UPSTREAM is limited or brittle. */
bool ul_needs_slot(const Ul *l, const char *upstream);
/* Time since the limit in force was last named or published. */
uint32_t ul_get_age_ms(const Ul *l, uint64_t now_ms, const char *upstream);
/* Visits all upstreams with values in force, or that ended lately. */
void ul_visit(const Ul *l, uint64_t now_ms,
              void (*visit)(void *ctx, const char *upstream, UlValues values),
              void *ctx);
/* Appends a line of JSON for each limit in force. */
void ul_print(const Ul *l, uint64_t now_ms, GString *out);

/* ---- slots: the gateway that sends -------------------------------------- */

typedef uint64_t UlTicket; /* a slot request, or the slot; 0: none */

typedef enum {
    UL_SLOT_ASKED, /* not answered yet */
    UL_SLOT_LATER, /* it begins later */
    UL_SLOT_NOW,   /* it may be used */
    UL_SLOT_NONE   /* refused, not answered in time, or not used in time */
} UlSlot;

/* Time until UPSTREAM may have a slot, as far as known here; 0 also if it has
   no limit. */
uint32_t ul_get_wait_ms(const Ul *l, uint64_t now_ms, const char *upstream);
/* Wants a slot of UPSTREAM within MAX_WAIT_MS.  Sets *SEND if the leader has
   to be asked, with the ticket; not if a slot is left over here. */
UlTicket ul_ask(Ul *l, uint64_t now_ms, const char *upstream,
                uint32_t max_wait_ms, bool *send);
/* The answer to a ticket: a slot in WAIT_MS, or none, and the next one is
   expected in WAIT_MS.  True: it is one of a brittle upstream that nobody
   waits for, and has to be given back. */
bool ul_on_slot(Ul *l, uint64_t now_ms, UlTicket ticket, bool granted,
                uint32_t wait_ms);
UlSlot ul_check(const Ul *l, uint64_t now_ms, UlTicket ticket);
/* The upstream of a ticket that is not yet used or released. */
const char *ul_get_upstream(const Ul *l, UlTicket ticket);
/* A request was sent in this slot. */
void ul_use(Ul *l, UlTicket ticket);
/* The slot isn't needed any more: another request here may use it.  True: it
   is one of a brittle upstream, and has to be given back. */
bool ul_release(Ul *l, uint64_t now_ms, UlTicket ticket);
/* A ticket for a request that is at a brittle upstream without one. */
UlTicket ul_make_ticket(Ul *l);

/* ---- slots: the leader -------------------------------------------------- */

/* This gateway leads from now on. */
void ul_on_lead(Ul *l, uint64_t now_ms);
/* Hands out a slot of UPSTREAM that begins in *WAIT_MS, at most MAX_WAIT_MS.
   False: there is none, and a gateway should ask again in *WAIT_MS. */
bool ul_schedule(Ul *l, uint64_t now_ms, const char *upstream,
                 uint32_t max_wait_ms, uint32_t *wait_ms);

/* ---- without a leader --------------------------------------------------- */

/* Number of gateways that may send, this one included. */
void ul_on_fleet(Ul *l, uint64_t now_ms, uint32_t gateways);
/* Takes a request from this gateway's own allowance for UPSTREAM.  False:
   there is none before *WAIT_MS. */
bool ul_take_alone(Ul *l, uint64_t now_ms, const char *upstream,
                   uint32_t *wait_ms);
/* A request of this gateway at the brittle UPSTREAM was served: without a
   leader another one may take its place. */
void ul_keep_slot(Ul *l, uint64_t now_ms, const char *upstream);

#endif
