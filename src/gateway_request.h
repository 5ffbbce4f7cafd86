/* gw: the life of a caller's request in a gateway: routing, admission (key,
   limit), queueing for a model, choice of an upstream, the upstream call,
   forwarding of the answer, retries and resumption of streams.

   Guarantees.
   - A request that is not idempotent or resumable is sent again only if no
     byte of it left this process, or the upstream said that it ran nothing.
   - A stream goes on only at the software version that began it.
   - 503 (refused) means that the request has not run and never will.
   - An answer is forwarded unchanged and complete, or is visibly truncated.
   - The upstream call is cancelled as soon as the caller disconnects.

   Not thread-safe: all functions run in the loop thread. */
#ifndef GATEWAY_REQUEST_H
#define GATEWAY_REQUEST_H

#include "base.h"
#include "gateway_types.h"
#include "http.h"
#include "demand_aggregate.h"
#include "retry_budget.h"
#include "stream_notes.h"
#include "suspects.h"
#include "upstream_limits.h"
#include "upstream_notices.h"
#include "upstream_room.h"
#include "upstream_table.h"
#include "version_plan.h"
#include "workspace_limits.h"

/* Load of an upstream, as reported in the head of an answer. */
typedef struct {
    uint32_t running;
    uint32_t waiting;
    uint32_t slots;
} GwLoad;

/* A brittle upstream falls over once it has to turn away more requests a
   second, of all gateways together, than it says. */
typedef enum { GW_NOT_BRITTLE, GW_BRITTLE, GW_BRITTLE_UNREADABLE } GwBrittle;

/* Header names of the platform, and functions that read its headers. */
typedef struct {
    const char *attempt_id;        /* echoed in the answer */
    const char *deadline_ms;       /* time that is left for the answer */
    const char *expected_upstream; /* any other upstream answers 421 */
    const char *not_run;           /* in an answer: the request was not run */
    const char *urgency;           /* 0 (most urgent) to 9 */
    const char *last_event;        /* resume a stream after this event */
    const char *workspace; /* names the calling workspace to the upstream */
    /* The caller's API key; NULL if there is none, or more than one. */
    const char *(*read_key)(const HtHead *head);
    /* Whether only the gateway sets this header: one that a caller sent is not
       forwarded. */
    bool (*is_own_header)(const char *name);
    /* Strings in OUT are borrowed from HEAD or freed by dep_clear_call. */
    void (*read_call)(const HtHead *head, DepCall *out);
    bool (*read_load)(const HtHead *head, GwLoad *out);
    /* The upstream's limit; its text is borrowed from HEAD. */
    void (*read_limit)(const HtHead *head, UlNamed *out);
    /* GW_BRITTLE: PER_S is what it says. */
    GwBrittle (*read_brittle)(const HtHead *head, double *per_s);
    /* Its text is borrowed from HEAD. */
    void (*read_notice)(const HtHead *head, UnNotice *out);
} GwWire;

typedef struct {
    uint32_t connect_ms; /* timeout of a connection to an upstream */
    /* Of an answer that is kept whole, and of an event; 0: not limited. */
    size_t max_body_bytes;
    size_t max_event_bytes;
    /* Of a stream that its caller has not taken yet: no more is read. */
    size_t max_unsent_bytes;
    uint64_t seed;
} GwParams;

typedef struct {
    void *ctx;
    /* A request starts to wait for a model: send the demand to the leader
       soon. */
    void (*demand_changed)(void *ctx);
    /* A call is over; TURN: that of a suspect, or 0. */
    void (*run_over)(void *ctx, const SpKeys *keys, const char *upstream,
                     SpTurn turn, SpResult result);
    /* A suspect wants a turn: answered by sp_on_turn before this returns, or
       by gw_on_turn after that. */
    void (*ask_turn)(void *ctx, SpTurn turn, const SpKeys *keys,
                     const char *upstream, uint32_t run_ms);
    /* A call to UPSTREAM broke off. */
    void (*upstream_broke)(void *ctx, const char *upstream);
    /* Connecting failed to an upstream that was not yet known to be
       unreachable. */
    void (*upstream_unreachable)(void *ctx, const char *upstream);
    /* This gateway reaches no upstream, by any way. */
    bool (*is_isolated)(void *ctx);
    /* What an answer says of its upstream's limit. */
    void (*upstream_named)(void *ctx, const char *upstream,
                           const UlNamed *named);
    /* UPSTREAM's answer to a request sent at SENT_MS says NOTICE. */
    void (*upstream_noticed)(void *ctx, const DepUpstream *upstream,
                             uint64_t sent_ms, const UnNotice *notice);
    /* A request wants a slot of UPSTREAM within MAX_WAIT_MS: answered by
       ul_on_slot before this returns, or by gw_on_slot later.  It is done
       there in HOLD_MS. */
    void (*ask_slot)(void *ctx, UlTicket ticket, const char *upstream,
                     uint32_t max_wait_ms, uint32_t hold_ms);
    /* A slot of the brittle UPSTREAM is over; UPSTREAM is NULL if the answer
       to its ticket came too late. */
    void (*slot_over)(void *ctx, UlTicket ticket, const char *upstream,
                      UrEnd end);
    /* A request under way at the brittle UPSTREAM is done in HOLD_MS. */
    void (*slot_held)(void *ctx, UlTicket ticket, const char *upstream,
                      uint32_t hold_ms);
    /* The version plan must be confirmed: gw_on_change follows. */
    void (*ask_versions)(void *ctx);
    /* Which process is at UPSTREAM: answered by gw_on_process, with the same
       ASKED_MS. */
    void (*ask_process)(void *ctx, const DepUpstream *upstream,
                        uint64_t asked_ms);
    /* The note called KEY is of a stream of an unsettled share. */
    void (*send_note)(void *ctx, uint64_t key);
    /* Whether another gateway has that note: answered by gw_on_note.  False:
       none has. */
    bool (*ask_note)(void *ctx, uint64_t key);
} GwOutput;

typedef struct Gw Gw;

/* The cores that a Gw uses, all borrowed. */
typedef struct {
    UtSet *upstreams;
    Rb *budget;
    Wl *limits; /* of workspaces */
    Ul *upstream_limits;
    Un *notices;
    Sp *suspects;
    Vp *versions;
    Sn *notes; /* of streams */
} GwCores;

/* POOL is borrowed. */
Gw *gw_create(const GwParams *params, const GwWire *wire, const GwOutput *out,
              HtPool *pool, const GwCores *cores);
void gw_destroy(Gw *g);

void gw_on_config(Gw *g, DepConfig *c);
/* Admits the requests that came before the first configuration and the first
   list of suspects.  Call it once the configuration is in force. */
void gw_admit_early(Gw *g);
/* The suspects that another process knew of are known here.  Until then a
   process that has just started sends nothing. */
void gw_set_suspects_known(Gw *g);
/* BEHIND: a newer configuration is known to exist, so an unknown key is
   answered 503, not 401.  STALE: the configuration was not confirmed as the
   newest for so long that keys may have been revoked since; no key is
   accepted. */
void gw_set_config_freshness(Gw *g, bool behind, bool stale);
/* COMPLETE: the list of upstreams was read to its end.  Until then a request
   that no known upstream can serve waits a little for the rest. */
void gw_set_upstreams_complete(Gw *g, bool complete);
/* Upstreams, or the models on them, changed: waiting requests are tried
   again. */
void gw_on_change(Gw *g);
void gw_on_tick(Gw *g, uint64_t now_ms);
/* The leader was heard from; it sends no order for another GUARD_MS. */
void gw_on_leader(Gw *g, uint64_t now_ms, uint32_t guard_ms);
/* The leader's estimate of when a model will be loaded that no upstream
   holds. */
void gw_on_wait_estimate(Gw *g, uint64_t now_ms, const char *model,
                         uint32_t wait_ms);
/* The answer to ask_slot, as in ul_on_slot. */
void gw_on_slot(Gw *g, uint64_t now_ms, UlTicket ticket, bool granted,
                uint32_t wait_ms);
/* Calls slot_held for all requests at brittle upstreams; at UPSTREAM only,
   unless it is NULL. */
void gw_report_slots(Gw *g, const char *upstream);

/* The report of the upstream with that id; the others as in ut_on_process. */
void gw_on_process(Gw *g, const char *upstream, uint64_t asked_ms,
                   uint64_t born_ms);

/* The answer to ask_note.  VERSION: NULL: no gateway knows. */
void gw_on_note(Gw *g, uint64_t key, const char *version);
/* The version plan changed: notes of the streams under way whose shares are
   unsettled now are sent. */
void gw_note_streams(Gw *g);

/* TURN was granted or refused. */
void gw_on_turn(Gw *g, SpTurn turn);

/* For HtHandler. */
void gw_on_request(Gw *g, HtExchange *x);
void gw_on_gone(Gw *g, HtExchange *x);
void gw_on_drained(Gw *g, HtExchange *x);
void gw_on_shed(Gw *g, HtExchange *x);

/* The process is about to stop.  New requests, and those that would have to
   wait, are refused, so that their callers go to another gateway. */
void gw_stop_accepting(Gw *g);
/* Answers all open requests now and refuses new ones. */
void gw_close(Gw *g);

/* Current demand of the requests here.  Arrivals and begun answers are counted
   since the last call.  Free with dm_destroy_demand. */
DmDemand *gw_collect_demand(Gw *g);
/* Latency quantiles since the start, as Prometheus text. */
void gw_print_metrics(const Gw *g, GString *out);
uint32_t gw_count(const Gw *g);
uint32_t gw_count_waiting(const Gw *g);

#endif
