/* sp: requests, and parts of prompts, under which upstreams ended, over all
   gateways together.

   A request may end each upstream that runs it, and come again at any gateway;
   or one part of its prompt does, and no two requests with that part are
   alike.  Others are under way at an upstream when it ends, for no doing of
   theirs.  This module tells them apart and stops the former.

   A suspect is a key with a count of ends.  A request has several keys: its
   digest, and one for each part of its prompt but the last.

   - An upstream that ends while it runs a request makes each of its keys a
     suspect, at all gateways: a call that breaks off is enough, as being a
     suspect costs little.  Parts that are proved are left out.
   - An end that no unproved part explains puts the parts in doubt at all
     gateways: only later answers prove them.
   - A whole answer proves the parts of its prompt, for SP_PROOF_MS at the
     gateway that saw it: a part that ends upstreams ends each one that begins
     an answer on it.  A gateway that has a proof tells the leader once it
     hears that the part is a suspect.
   - A request with a suspect key is sent only in a turn that the leader
     grants, one at a time for each key over all gateways.  In a solo turn no
     other suspect runs on the same upstream meanwhile, so that one more end
     tells which of them it was: those of parts, and of requests from
     SP_SOLO_ENDS ends on.
   - An answer clears all keys of its request.
   - After SP_STOP_ENDS ends, one of them in a solo turn, a request is stopped:
     no gateway sends it.  It is tried again after SP_FIRST_STOP_MS, and
     SP_LATE_RUNS times in SP_BLOCK_MS at the most, each time in a solo turn.
   - A part is stopped after SP_STOP_ENDS ends as well, SP_PART_SOLO_ENDS of
     them in solo turns, under more than one request: one that comes again and
     again is stopped by itself.  What ran beside it each time is cleared.
   - Parts that came together each time are tied: what has several of them is
     stopped, what has one of them takes turns, so that it can be proved.

   The leader counts and decides; it publishes a row for each suspect, and a
   gateway that links is sent all rows.  A new leader begins with the rows that
   it and the gateways linked to it have, and grants no turn in its first
   second, for which its predecessor may have done so.  The surest stand
   in the lease record as well, for gateways that all start at once.

   A gateway without a leader grants itself one turn of a suspect for which it
   saw the only end, and after SP_ALONE_MS any turn that a leader would grant.

   An end is also counted for a call that was cancelled: the gateway keeps the
   keys of cancelled calls for SP_LEFT_MS, and blames them if the upstream
   ends by then.

   Workload: a hundred requests on an upstream when it ends, copies of one
   request at hundreds of gateways, several requests a second that share a
   part that ends upstreams, and thousands of requests that do so by themselves
   (beyond SP_MAX_ROWS the least sure are dropped, of these the ones that came
   longest ago).

   No threads, I/O or clock: callers pass the time in. */
#ifndef SUSPECTS_H
#define SUSPECTS_H

#include "base.h"

#define SP_SOLO_ENDS 2
#define SP_STOP_ENDS 3
#define SP_LATE_RUNS 3
#define SP_FIRST_STOP_MS 10000
#define SP_BLOCK_MS (24 * 3600 * 1000)
#define SP_ALONE_MS 10000
#define SP_LEFT_MS 2000
/* The wait that is assumed where no leader answers. */
#define SP_NO_LEADER_WAIT_MS 500
#define SP_MAX_ROWS 8192
#define SP_PART_SOLO_ENDS 2
#define SP_PROOF_MS 10000
/* A part that a new version of an upstream's software can't bear was proved
   before.  So an end that no other part explains outweighs the proofs of all
   parts that no answer proves again within this time. */
#define SP_DOUBT_MS 100
/* Proofs of this many parts are kept, or those of the last SP_PROOF_MS / 2 if
   they are more. */
#define SP_MAX_PROOFS 16384

typedef enum {
    SP_CLEAR,   /* it may be sent */
    SP_SUSPECT, /* it may be sent in a turn */
    SP_STOPPED  /* it may not be sent */
} SpVerdict;

typedef enum {
    SP_RUN_ANSWERED, /* whole, and not with a 5xx; its keys name the parts only
                        if it proves them */
    SP_RUN_ENDED,    /* the upstream broke off */
    SP_RUN_LEFT,     /* the call was cancelled, or answered with a 5xx: the
                        upstream may still end under it */
    SP_RUN_NONE,     /* the upstream ran nothing */
    SP_RUN_BLAMED    /* the upstream ended after the call was cancelled */
} SpResult;

/* Of one prompt; further parts are not looked at. */
#define SP_MAX_PARTS 64

/* By what a request can be a suspect: as a whole, and by the parts of its
   prompt that it shares with others.  A part's key differs by workspace and
   service. */
typedef struct {
    uint64_t request; /* its digest */
    uint32_t part_count;
    uint64_t parts[SP_MAX_PARTS]; /* none twice */
} SpKeys;

/* What is known of a suspect; in frames between gateways. */
typedef struct {
    uint64_t request;   /* its digest, or the key of a part */
    uint32_t ends;      /* upstreams that ended under it; 0: it is cleared */
    uint32_t solo_ends; /* of these, with no other suspect beside it */
    uint32_t late_runs; /* begun after SP_STOP_ENDS ends */
    uint32_t hold_ms;   /* it is stopped for so long */
    uint32_t age_ms;    /* since the last end */
    bool part;          /* of prompts */
    bool many;          /* of a part: under more than one request */
    bool tied;          /* of a part: another one explains the same ends */
} SpRow;

typedef struct Sp Sp;

Sp *sp_create(uint64_t now_ms, uint64_t seed);
void sp_destroy(Sp *s);

/* SP_STOPPED: *WAIT_MS is the time until it may be tried again. */
SpVerdict sp_get_verdict(const Sp *s, uint64_t now_ms, const SpKeys *keys,
                         uint32_t *wait_ms);
/* The key for which KEYS are stopped; 0: they are not. */
uint64_t sp_find_stopped(const Sp *s, uint64_t now_ms, const SpKeys *keys);
/* Of COUNT PARTS under which an upstream ended, and no unproved one: only
   answers from now on are proofs.  OUT gets those that weren't in doubt. */
void sp_doubt(Sp *s, uint64_t now_ms, const uint64_t *parts, size_t count,
              SpKeys *out);
/* Proofs of parts that were in doubt for SP_DOUBT_MS go. */
void sp_drop_doubted(Sp *s, uint64_t now_ms);
/* KEYS without the parts that are proved here. */
void sp_copy_unproved(const Sp *s, const SpKeys *keys, SpKeys *out);
uint32_t sp_count(const Sp *s);
/* Visits all suspects, not those that were cleared. */
void sp_visit(const Sp *s, uint64_t now_ms,
              void (*visit)(void *ctx, const SpRow *row), void *ctx);
/* Appends a line of JSON for each suspect. */
void sp_print(const Sp *s, uint64_t now_ms, GString *out);

/* ---- the gateway that sends --------------------------------------------- */

typedef uint64_t SpTurn; /* a turn that was asked for, or granted; 0: none */

typedef enum {
    SP_TURN_ASKED,
    SP_TURN_GRANTED,
    SP_TURN_NONE /* refused, not answered in time, or not used in time */
} SpTurnState;

/* Wants a turn on UPSTREAM for the suspects among KEYS.  0: not now, but in
   *WAIT_MS, since another request here has or asks one for one of them, or one
   was refused just now. */
SpTurn sp_ask(Sp *s, uint64_t now_ms, const SpKeys *keys, const char *upstream,
              uint32_t *wait_ms);
/* The answer to TURN.  False: nobody waits for it; a granted one must be given
   back with SP_RUN_NONE. */
bool sp_on_turn(Sp *s, uint64_t now_ms, SpTurn turn, bool granted,
                uint32_t wait_ms);
SpTurnState sp_check(const Sp *s, uint64_t now_ms, SpTurn turn);
/* The upstream for which TURN was asked; NULL: no such turn. */
const char *sp_get_upstream(const Sp *s, SpTurn turn);
/* The request was sent in this turn. */
void sp_use(Sp *s, SpTurn turn);
/* The turn isn't needed.  True: it has to be given back with SP_RUN_NONE. */
bool sp_release(Sp *s, SpTurn turn);
typedef enum {
    SP_LEADS,
    SP_FOLLOWS, /* a leader is told what is seen here, and publishes it */
    SP_ALONE    /* it hears no leader, and goes by its own counts */
} SpRole;

/* A call here is over; TURN: of its request, or 0.  ROLE: of this gateway.
   True: the leader has to be told (sp_on_result); after an end, of the keys
   that nothing proves. */
bool sp_on_run(Sp *s, uint64_t now_ms, const SpKeys *keys,
               const char *upstream, SpTurn turn, SpResult result,
               SpRole role);
/* UPSTREAM ended: calls BLAME for each request whose call there was cancelled
   lately: SP_RUN_BLAMED.  Not SURE: a call broke off, which blames no part. */
void sp_on_upstream_end(Sp *s, uint64_t now_ms, const char *upstream,
                        bool sure,
                        void (*blame)(void *ctx, const SpKeys *keys,
                                      const char *upstream),
                        void *ctx);
/* Visits each suspected part of another gateway that is proved here, once: the
   leader has to be told, as of an answer. */
void sp_take_proofs(Sp *s, uint64_t now_ms,
                    void (*visit)(void *ctx, const SpKeys *keys), void *ctx);
/* The leader published ROW. */
void sp_on_row(Sp *s, uint64_t now_ms, const SpRow *row);
/* Another gateway, or a lease record, knows ROW. */
void sp_on_known(Sp *s, uint64_t now_ms, const SpRow *row);
/* The row of that key; its ends are 0 if there is none. */
SpRow sp_get_row(const Sp *s, uint64_t now_ms, uint64_t key);

/* ---- the leader --------------------------------------------------------- */

/* This gateway leads from now on. */
void sp_on_lead(Sp *s, uint64_t now_ms);
/* False: the turn is refused, and may be asked for again in *WAIT_MS.
   RUN_MS: the longest time that the run may take. */
bool sp_grant(Sp *s, uint64_t now_ms, const SpKeys *keys, const char *upstream,
              SpTurn turn, uint32_t run_ms, uint32_t *wait_ms);
void sp_on_result(Sp *s, uint64_t now_ms, const SpKeys *keys,
                  const char *upstream, SpTurn turn, SpResult result);
/* An operator lifts the stop of KEY.  False: it is no suspect. */
bool sp_lift(Sp *s, uint64_t now_ms, uint64_t key);
/* Ends turns that lapsed and drops old rows. */
void sp_on_tick(Sp *s, uint64_t now_ms);
/* Visits each row that changed since the last call; ends 0: cleared. */
void sp_take_changed(Sp *s, uint64_t now_ms,
                     void (*visit)(void *ctx, const SpRow *row), void *ctx);

/* ---- without a leader --------------------------------------------------- */

/* SINCE_MS: no leader was heard from since then. */
bool sp_grant_alone(Sp *s, uint64_t now_ms, const SpKeys *keys,
                    const char *upstream, SpTurn turn, uint32_t run_ms,
                    uint64_t since_ms, uint32_t *wait_ms);

/* ---- the lease record --------------------------------------------------- */

/* Some suspects, the surest first, as a word without blanks; NULL: none. */
char *sp_print_note(const Sp *s, uint64_t now_ms);
void sp_read_note(Sp *s, uint64_t now_ms, const char *note);

#endif
