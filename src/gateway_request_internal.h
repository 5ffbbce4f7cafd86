/* gateway_request_internal: a caller's request, for the gateway_request*.c
   files only.  Calls go one way, each file to those above it:
     gateway_request_send    heads, the final answer, sending to an upstream
     gateway_request_version at which software version a stream begins, and
                             goes on; events held back until it is sure
     gateway_request_wait    waiting, refusing, slots, the next step
     gateway_request_answer  what an upstream answers
     gateway_request         arrival, time, reports from other processes
     gateway_request_demand  the demand of the requests here */
#ifndef GATEWAY_REQUEST_INTERNAL_H
#define GATEWAY_REQUEST_INTERNAL_H

#include "gateway_request.h"

#include "hist.h"
#include "json_log.h"
#include "stream_position.h"

/* Retry-After of a refusal without a better estimate: about the time until a
   VM or upstream is back. */
#define RETRY_SOON_MS 200
#define RETRY_LATER_MS 1000
#define RETRY_STOPPING_MS 50  /* another gateway accepts it at once */
#define START_MAX_WAIT_MS 450 /* limit for one request */

typedef enum { REQ_WAITING, REQ_SENT } ReqState;

typedef struct {
    Gw *gw;
    HtExchange *x;
    DepConfig *config;
    const DepRoute *route;         /* in config */
    const DepWorkspace *workspace; /* in config; NULL: no key is required */
    DepKey key;                    /* of the caller, if there is a workspace */
    const char *service;           /* picked from route's splits */
    DepCall call;
    UtQuery query;
    GPtrArray *tried; /* Ut: excluded from the choice */
    double cost;      /* charged to the workspace's limit; 0: none */
    /* Its digest is of host, workspace, target and body: the same for each
       copy and retry. */
    SpKeys keys;
    uint64_t arrival_ms;
    uint64_t answer_by_ms;     /* any answer is sent by then */
    uint64_t first_byte_by_ms; /* the caller leaves without a byte by then */
    ReqState state;
    const char *waiting_for; /* for the log */
    const char *waited_for;  /* first value of waiting_for */
    GList *link;             /* in gw->reqs */

    /* the upstream call in progress */
    HtCall *hc;
    uint64_t request_bytes; /* that HC holds */
    Ut *ut;
    char *last_upstream; /* for the log */
    char *last_version;  /* of its software; for the log */
    char *helper; /* the gateway by whose way the last answer came; NULL:
                     none; for the log */
    uint64_t sent_ms;
    uint64_t first_ms; /* 0: no byte of an answer yet */
    uint64_t last_data_ms;
    uint64_t last_event_ms; /* last event forwarded at; 0: none yet */
    uint32_t max_gap_ms;    /* between two forwarded events */
    uint64_t last_gap_ms;   /* between the last two */
    char *gap_upstream;     /* that caused max_gap_ms, for the log */

    uint32_t sends;     /* that reached an upstream */
    uint64_t rested_ms; /* end of the rest that an upstream last asked it for;
                           0: none did */
    uint32_t runs;      /* that may have run */
    uint32_t sends_before_rest; /* of SENDS, before it waited for the end of a
                                   rest */

    /* the answer, unless its events are forwarded as they come */
    GString *head;
    /* an upstream's 5xx answer, kept while another upstream is tried */
    GString *kept_head;
    GByteArray *kept_body;

    /* The software version that began the stream: it goes on only there.
       NULL: no event came yet. */
    char *version;
    bool unversioned; /* an upstream began it whose version isn't known */
    char *planned;    /* by the plan, until then; or NULL */
    uint64_t versions_wait_ms; /* the plan is being confirmed since; 0: no */
    uint64_t note_wait_ms;  /* a note of VERSION is asked for since; 0: no */
    uint64_t note_asked_ms; /* it was last asked for */
    /* Of an upstream whose process isn't proved yet: what it sent. */
    GPtrArray *held; /* EsEvent; NULL: nothing is held back */
    size_t held_bytes;
    uint64_t opened_ms;    /* by then the call's connection was open */
    GByteArray *held_rest; /* the end of its answer is held back too; or
                              NULL */

    /* the stream that is forwarded */
    Po *position;
    /* Its call broke off, or its answer is unconfirmed: whether the upstream's
       process ended is being asked since then; 0: it isn't. */
    uint64_t asks_since_ms;
    /* Body, or what followed the last event, of an answer that ended with its
       connection: it is whole if the process lives.  NULL: none. */
    GByteArray *unconfirmed;
    HtCheck *check; /* whether its upstream's process lives; NULL: none */

    /* the slot of a limited upstream that it waits for */
    UlTicket ticket; /* 0: none */
    uint64_t slot_asked_ms;
    bool others_serve;    /* could serve the request without one */
    UlTicket room_ticket; /* of the current call at a brittle upstream; 0:
                             none */

    SpTurn turn; /* of a suspect: asked for, granted or used; 0: none */

    /* Of the answer to the current call, for the log. */
    HtOrigin origin;
    AeFraming framing;
    AeEnd end;           /* AE_ENDS: not yet */
    uint32_t events;     /* forwarded */
    uint64_t body_bytes; /* received */
    uint64_t rest_bytes; /* of these, behind the last event */

    uint16_t status;      /* of the answer to the current call */
    uint16_t kept_status; /* of the kept answer */
    bool lacks_model;     /* waiting: for the model, not an adapter */
    bool note_missing;    /* no gateway has the note that it asked for */
    bool lacks_version;   /* waiting: for it at query.version */
    bool not_run;         /* as the upstream's answer says */
    bool forwards_events; /* of the current call, to the caller */
    bool streaming;       /* the head of the stream was sent */
    bool retry_counted;   /* the budget already paid for the next send */
    bool paused;         /* the current call, until the caller has read more */
    bool broke;          /* the upstream broke off the current call */
    bool upstream_ended; /* ... and its process has ended */
    bool held_back; /* the current call, as its upstream rests or leaves */
    bool unsent;    /* the current call was cancelled before it was sent
                     */
} Req;

/* The leader's estimate of when a model is loaded. */
typedef struct {
    uint64_t reported_ms;
    uint32_t wait_ms;
} WaitEstimate;

struct Gw {
    GwParams params;
    const GwWire *wire;
    GwOutput out;
    HtCallHandler handler; /* of the upstream calls; without their context */
    HtPool *pool;
    UtSet *upstreams;
    Rb *budget;
    Wl *limits; /* of workspaces */
    Ul *upstream_limits;
    Un *notices;
    Sp *suspects;
    Vp *versions;
    Sn *notes;
    DepConfig *config;  /* NULL: none yet */
    uint64_t config_ms; /* when the first came */
    uint64_t start_ms;
    GQueue early;        /* HtExchange: before the first configuration */
    GQueue reqs;         /* Req */
    GHashTable *arrived; /* model or "model/adapter" -> count */
    GHashTable
        *arrived_tight_deadline; /* of these: late after a load from disk */
    GHashTable *refused_busy;    /* model -> count: the queue was too long */
    GHashTable *begun_answers;   /* upstream -> count */
    GHashTable *wait_estimates;  /* model -> WaitEstimate */
    Hist *answer_us; /* from a request's arrival to the end of its answer */
    Hist *first_byte_us;     /* ... to its first byte */
    uint64_t leader_ms;      /* last contact with the leader */
    uint64_t first_order_ms; /* when the leader sends its first order */
    BgRandom rng;
    bool closed;             /* accepts no more requests */
    bool behind;             /* a newer configuration exists */
    bool stale;              /* keys may have been revoked since */
    bool upstreams_complete; /* the list was read to its end */
    bool suspects_known;     /* those that another process knew of */
};

/* gateway_request_send */
void gw_add_count(GHashTable *counts, const char *key);
void gw_append_line(GString *out, const char *name, const char *value);
/* RETRY_MS: time until the caller may retry; 0: no header. */
void gw_append_retry(GString *out, uint32_t retry_ms);
/* Names the request, alike for each of its copies, and the parts of its
   prompt that it shares. */
void gw_log_keys(JlLine *l, const Req *q);
/* What was received of the current answer, and how its end is marked. */
void gw_log_body(JlLine *l, const Req *q);
void gw_log_end(const Req *q, const char *outcome, uint16_t status,
                const char *why);
/* Withdraws the slot request, or gives up the slot. */
void gw_drop_ticket(Req *q);
/* The longest that Q may be at an upstream from now on. */
uint32_t gw_get_hold_ms(const Req *q, uint64_t now_ms);
void gw_free_req(Req *q);
/* Call it whenever more or less is held for Q than before. */
void gw_weigh(Req *q);
/* The call is over; OUTCOME updates the state of its upstream. */
void gw_finish_call(Req *q, UtOutcome outcome);
void gw_cancel_call(Req *q, UtOutcome outcome);
void gw_send_whole(HtExchange *x, uint16_t status, const GString *head,
                   const GByteArray *body);
/* Q has not run and never will: its cost is credited to the workspace. */
void gw_refund_limit(Req *q);
/* Sends the gateway's own answer.  Frees Q. */
void gw_answer(Req *q, uint16_t status, uint32_t retry_ms, const char *why);
/* Gives its turn back, or withdraws the question for one. */
void gw_drop_turn(Req *q);
/* Upstreams ended under Q: it isn't sent for WAIT_MS.  Frees Q. */
void gw_stop(Req *q, uint32_t wait_ms);
bool gw_may_repeat(const Req *q);
/* 0: the most urgent. */
uint32_t gw_get_priority(const Req *q);
/* Ends a request that can't be served.  503 may be sent only if nothing ran.
   Frees Q. */
void gw_give_up(Req *q, uint32_t retry_ms, const char *why);
void gw_send_to(Req *q, Ut *ut, uint64_t now_ms);

/* gateway_request_version */
typedef enum {
    GW_VERSION_PICKED, /* q->query.version is set */
    GW_VERSION_ASKED,  /* it is tried again after an answer or the next tick */
    GW_VERSION_UNCONFIRMED, /* the plan can't be confirmed now */
    GW_VERSION_UNKNOWN /* the stream can't go on, for the reason in *WHY */
} GwVersion;

/* Sets q->query.version: at which version the stream may run now. */
GwVersion gw_pick_version(Req *q, uint64_t now_ms, const char **why);
/* The version is given by the plan, and no event came yet: another may be
   given later. */
bool gw_may_move(const Req *q);
/* The first event is there. */
void gw_begin_stream(Req *q);
/* Takes a note of it, if there are several versions. */
void gw_note_stream(Req *q);
/* Names the stream that Q goes on with, or begins. */
uint64_t gw_get_stream_key(const Req *q);
/* Holds the answer back if another process may have sent it, and that would
   matter: there are several versions, or the upstream may have restarted. */
void gw_hold(Req *q, const HtCall *call);
void gw_hold_event(Req *q, const EsEvent *event);
void gw_hold_end(Req *q, const Ae *answer);
void gw_drop_held(Req *q);
/* Asks which process is at the upstream of the current call, if that matters
   for streams. */
void gw_ask_process(const Req *q);
/* The same for any request whose call ended.  False: it is being asked
   already. */
bool gw_ask_birth(const Req *q);

/* Of Req.waiting_for: the end of a rest. */
#define GW_FOR_REST "rest"
bool gw_waits_for_rest(const Req *q);

/* gateway_request_wait */
void gw_try_send(Req *q);
/* Tries those that wait for the end of a rest, the more urgent first. */
void gw_try_rested(Gw *g);

/* gateway_request_answer */
void gw_handle_failure(Req *q, UtOutcome outcome, const char *why);
/* For Gw.handler. */
void gw_on_call_head(void *ctx, HtCall *call, const HtHead *head);
void gw_on_call_bytes(void *ctx, HtCall *call, size_t len);
void gw_on_call_event(void *ctx, HtCall *call, const EsEvent *event);
void gw_on_call_end(void *ctx, HtCall *call, AeEnd end, Ae *answer);
bool gw_may_write(void *ctx, HtCall *call);
typedef enum {
    GW_PROCESS_LIVES,
    GW_PROCESS_ENDED,
    GW_PROCESS_UNKNOWN
} GwProcess;

/* What became of the upstream's process under Q's call, which broke off or
   ended with its connection.  May free Q. */
void gw_on_process_known(Req *q, GwProcess process);
/* Passes on what was held back. */
void gw_release_held(Req *q);
/* Another process answered: its answer is dropped. */
void gw_refuse_held(Req *q, const char *why);

#endif
