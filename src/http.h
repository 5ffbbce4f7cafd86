/* ht: HTTP/1.1 server and client on an event loop (libev, http-parser).  The
   server passes on requests once they were read whole and sends answers in
   pieces.  The client is a pool of keep-alive connections.  All calls and
   callbacks are on the loop's thread. */
#ifndef HTTP_H
#define HTTP_H

#include "answer_end.h"
#include "base.h"
#include "client_memory.h"
#include "gateway.pb-c.h"
#include "path_table.h"

#include <ev.h>

typedef struct {
    const char *name;
    const char *value;
} HtHeader;

/* Head of a request or an answer, which owns its texts. */
typedef struct {
    const char *method; /* of a request */
    const char *target; /* of a request: path and query, as sent */
    uint16_t status;    /* of an answer */
    AeFraming framing;  /* of an answer */
    bool keeps_alive;
    GArray *headers; /* HtHeader, in the order of arrival */
} HtHead;

/* Value of the first header called NAME in any case, or NULL. */
const char *ht_find_header(const HtHead *head, const char *name);
/* Headers that concern one connection only and are never passed on. */
bool ht_is_hop_header(const HtHead *head, const char *name);

/* ---- server ------------------------------------------------------------- */

typedef struct HtServer HtServer;
typedef struct HtExchange HtExchange;

/* What a client may send; 0: not limited. */
typedef struct {
    uint32_t header_bytes;
    uint32_t body_bytes;
    uint32_t header_ms; /* a request not read whole, with its body, within
                           twice this from its first byte is cut off */
    uint32_t idle_ms;   /* of a keep-alive connection */
} HtLimits;

typedef struct {
    void *ctx;
    /* A request was read whole.  Answer it with ht_start_answer,
       ht_write_answer and ht_end_answer, or close it with ht_abort_answer;
       X is freed by ht_end_answer and ht_abort_answer. */
    void (*on_request)(void *ctx, HtExchange *x);
    /* The client closed before its answer ended; X is freed after this. */
    void (*on_gone)(void *ctx, HtExchange *x);
    /* The client has taken all of the answer so far; NULL: not wanted. */
    void (*on_drained)(void *ctx, HtExchange *x);
    /* Too much is held for all clients, and X yields: answer it now, or abort
       it.  NULL: it is aborted. */
    void (*on_shed)(void *ctx, HtExchange *x);
} HtHandler;

/* Listen on ADDRESS (IP:PORT); NULL with ERR set when that fails. */
HtServer *ht_listen(struct ev_loop *loop, const char *address,
                    const HtHandler *handler, GError **err);
void ht_destroy_server(HtServer *s);
void ht_set_limits(HtServer *s, const HtLimits *limits);
/* Beyond MOST open connections (0: not limited) the one that is idle for the
   longest time is closed for a new one, else one whose request isn't whole,
   else one that doesn't take its answer; else the new one is refused. */
void ht_set_max_connections(HtServer *s, uint32_t most);
uint32_t ht_get_max_connections(const HtServer *s);
/* Connections that were closed or refused for that. */
uint64_t ht_count_evicted(const HtServer *s);
/* What S holds for its clients is counted in MEMORY (borrowed).  Beyond its
   limit nothing more is read, and those that yield are answered 503 or
   closed. */
void ht_set_memory(HtServer *s, Cm *memory);
/* For X, BYTES are held elsewhere; SENT: it may have run. */
void ht_note_held(HtExchange *x, uint64_t bytes, bool sent);
/* From now on close connections after their answer, and idle ones soon. */
void ht_stop_keep_alive(HtServer *s);
/* Closes connections that were idle or slow for too long; call about every
   100 ms. */
void ht_tick_server(HtServer *s, uint64_t now_ms);
uint32_t ht_count_connections(const HtServer *s);

const HtHead *ht_get_head(const HtExchange *x);
const GByteArray *ht_get_body(const HtExchange *x);
/* When its first byte was read, by bg_boot_ms. */
uint64_t ht_get_arrival_ms(const HtExchange *x);
void *ht_get_user(const HtExchange *x);
void ht_set_user(HtExchange *x, void *user);
/* Whether the client has closed; checks the socket. */
bool ht_is_gone(const HtExchange *x);

/* HEADERS: header lines, each with its CRLF, without those that frame the
   body.  LENGTH below 0: the body is sent chunked, or, to a client of
   HTTP/1.0, ends with the connection. */
void ht_start_answer(HtExchange *x, uint16_t status, const char *headers,
                     int64_t length);
void ht_write_answer(HtExchange *x, const char *data, size_t len);
/* Bytes of the answer that the kernel has not taken. */
size_t ht_get_unsent(const HtExchange *x);
void ht_end_answer(HtExchange *x);
/* Close without the rest: the client sees that the answer is incomplete. */
void ht_abort_answer(HtExchange *x);

/* ---- calls -------------------------------------------------------------- */

typedef struct HtPool HtPool;
typedef struct HtCall HtCall;

/* Why an answer was taken for its call's. */
typedef enum {
    HT_MATCH_NONE,  /* no answer came, or the call has no id */
    HT_MATCH_ID,    /* it repeats the call's */
    HT_MATCH_FIRST, /* it names none, and the connection carried no other */
    HT_MATCHES
} HtMatch;

/* Where an answer came from. */
typedef struct {
    uint64_t connection; /* number of it in this process, from 1 */
    uint32_t nth;        /* request on that connection, from 1 */
    uint32_t skipped;    /* answers before it that were not the call's */
    HtMatch match;
} HtOrigin;

typedef enum {
    HT_WAY_DIRECT,
    HT_WAY_ANY /* also by way of another gateway, see ht_set_detours */
} HtWay;

/* What a connection is opened for, as counted. */
typedef enum {
    HT_FOR_OTHERS, /* no upstream is called */
    HT_FOR_REQUEST,
    HT_FOR_REPORT,
    HT_FOR_ORDER,
    HT_FOR_CHECK,
    HT_FOR_PROBE,
    HT_PURPOSES
} HtPurpose;

typedef struct {
    const char *address; /* IP:PORT */
    HtWay way;
    HtPurpose purpose;
    /* Head and body; taken over by the call. */
    GByteArray *request;
    uint32_t connect_ms;
    AeExpect expect;
    /* The upstream repeats this header of the request in its answer, which is
       ours if it does: no connection carries one value twice.  An answer
       without it is ours only as the first on a connection that carried no
       other call, which is then closed.  All others are skipped.  NULL: any
       answer is ours. */
    const char *match_name;
    const char *match_value;
    uint64_t
        answer_by_ms; /* a whole answer isn't held back beyond; 0: no end */
    uint32_t max_idle_ms; /* reuse no connection that was idle for longer; 0:
                             any */
    bool fresh;           /* use a new connection, and close it afterwards */
} HtRequest;

typedef struct {
    void *ctx;
    /* It may call ht_read_events. */
    void (*on_head)(void *ctx, HtCall *call, const HtHead *head);
    /* LEN bytes of the body came. */
    void (*on_bytes)(void *ctx, HtCall *call, size_t len);
    void (*on_event)(void *ctx, HtCall *call, const EsEvent *event);
    /* Called exactly once; the call is freed after it.  ANSWER: what was
       received, as in ae_end and ae_get_body. */
    void (*on_end)(void *ctx, HtCall *call, AeEnd end, Ae *answer);
    /* Asked just before the first byte of the request is written; false: the
       call ends as AE_NOT_SENT, and its connection is kept.  NULL: it is
       always written. */
    bool (*may_write)(void *ctx, HtCall *call);
} HtCallHandler;

HtPool *ht_create_pool(struct ev_loop *loop);
/* While MEMORY (borrowed) is over its limit no answers are read. */
void ht_set_pool_memory(HtPool *p, const Cm *memory);

/* A connection was opened by way of a helper, or was not. */
typedef struct {
    const char *address; /* of the upstream */
    const char *helper;
    const char *request; /* match_value of the call; NULL: none */
    PtAnswer answer;
    uint32_t after_ms;
    bool had_failed; /* own connections to it fail */
} HtDetour;

/* Lets calls go by way of other gateways. */
typedef struct {
    Pt *paths; /* borrowed */
    void *ctx;
    /* Sets vm and key, whose texts are borrowed. */
    void (*fill_ask)(void *ctx, Gwp__DetourAsk *ask);
    void (*on_detour)(void *ctx, const HtDetour *detour);
} HtDetours;

void ht_set_detours(HtPool *p, const HtDetours *detours);
/* When a connection to ADDRESS last ended that this side would have kept: the
   process there may have ended.  0: not lately. */
uint64_t ht_get_lost_ms(const HtPool *p, const char *address);
/* Calls in progress end as AE_RESET, or as AE_NOT_SENT if no byte was sent;
   their handlers must start no others. */
void ht_destroy_pool(HtPool *p);
/* The result always arrives through HANDLER, never before this returns. */
HtCall *ht_start_call(HtPool *p, const HtRequest *req,
                      const HtCallHandler *handler);
/* Close its connection, so that the far side drops the work.  No on_end
   follows. */
void ht_cancel_call(HtCall *call);
/* As ae_read_events, for the answer of CALL. */
bool ht_read_events(HtCall *call, bool continues);
/* Reads no more of its answer until ht_resume_call. */
void ht_pause_call(HtCall *call);
void ht_resume_call(HtCall *call);
typedef struct HtCheck HtCheck;
typedef void (*HtCheckFn)(void *ctx, bool lives);

/* Finds out whether a process accepts connections at ADDRESS, also by way of
   another gateway, a moment after a connection to it ended.  DONE is never
   called before this returns, and frees the check. */
HtCheck *ht_check_process(HtPool *p, const char *address, HtCheckFn done,
                          void *ctx);
/* DONE isn't called. */
void ht_cancel_check(HtCheck *check);
/* Whether any byte of the request was handed to the kernel. */
bool ht_was_sent(const HtCall *call);
/* Of the answer whose head has come; without one all is 0. */
HtOrigin ht_get_origin(const HtCall *call);
const char *ht_name_match(HtMatch match);
/* It was sent on an own connection, of a path that failed meanwhile: neither
   end hears the other. */
bool ht_is_cut_off(const HtCall *call);
/* By then its connection was open; 0: it has none. */
uint64_t ht_get_opened_ms(const HtCall *call);
/* Address of the gateway by whose way it is sent; NULL: none. */
const char *ht_get_helper(const HtCall *call);
/* Opens a connection to ADDRESS, for calls to come, and notes in the paths
   whether that succeeds. */
void ht_probe(HtPool *p, const char *address);
void ht_tick_pool(HtPool *p, uint64_t now_ms);
/* Close the idle connections to ADDRESS, after one of them went silent. */
void ht_drop_idle(HtPool *p, const char *address);

/* Result of ht_fetch. */
typedef struct {
    AeEnd end;       /* AE_TIMED_OUT: after bytes were sent */
    uint16_t status; /* 0: no answer came */
    const GByteArray *body;
} HtReply;

typedef void (*HtReplyFn)(void *ctx, const HtReply *reply);
typedef void (*HtHeadFn)(void *ctx, const HtHead *head);

/* Texts are borrowed during the call of ht_fetch. */
typedef struct {
    const char *address; /* IP:PORT */
    HtWay way;
    HtPurpose purpose;
    bool fresh; /* as in HtRequest */
    const char *method;
    const char *target;
    const char *extra; /* header lines, or NULL */
    const void *body;  /* NULL: none */
    size_t body_len;
    uint32_t total_ms;
    bool (*may_end)(const GByteArray *body); /* as in AeExpect */
    HtHeadFn on_head; /* of the answer, before DONE; or NULL */
} HtFetch;

/* Sends REQ, and calls DONE with the whole answer or after total_ms. */
void ht_fetch(HtPool *p, const HtFetch *req, HtReplyFn done, void *ctx);

#endif
