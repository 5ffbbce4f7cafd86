/* ae: whether an answer is complete, and how that is known.

   The one place that decides this, for answers that go to callers and for
   those that the gateway reads itself.  Three things count: how the answer
   marks its end, how its connection ended, and what the bytes mean.  An answer
   without length and chunks ends with its connection, so only the bytes can
   show that it was broken off: a stream that ends inside an event, a document
   that ends halfway.

   Collects the body, or takes an event stream apart, within bounds.

   Workload: bodies and events of some megabytes in thousands of pieces; each
   byte is looked at once.

   No I/O or clock.  Not thread-safe. */
#ifndef ANSWER_END_H
#define ANSWER_END_H

#include "base.h"
#include "event_stream.h"

/* How an answer marks its end. */
typedef enum {
    AE_NO_BODY, /* its status allows none */
    AE_BY_LENGTH,
    AE_BY_CHUNKS,
    AE_BY_CLOSE /* it ends with its connection */
} AeFraming;

/* The last event of its connection. */
typedef enum {
    AE_MESSAGE_OVER, /* all that the framing announced came */
    AE_CLOSED,       /* it was closed in order before that */
    AE_FAILED,       /* it was reset, or its helper was lost */
    AE_INVALID       /* what came is no HTTP */
} AeSignal;

typedef enum {
    AE_WHOLE_NO_BODY,
    AE_WHOLE_LENGTH,
    AE_WHOLE_CHUNKS,
    AE_WHOLE_CLOSE, /* the connection ended in order, at a place where the
                       answer may end */
    AE_NOT_SENT,    /* no byte of the request left this process */
    AE_UNANSWERED,  /* the connection ended in order before the head */
    AE_SHORT,       /* ... before the length or the last chunk */
    AE_RESET,
    AE_INSIDE, /* the message is over inside an event or document */
    AE_NOT_HTTP,
    AE_TOO_LARGE,
    AE_TIMED_OUT,
    AE_ENDS
} AeEnd;

bool ae_is_whole(AeEnd end);
/* The connection broke, or carried no HTTP: the upstream's process may have
   ended.  The other ends are no sign of that. */
bool ae_is_break(AeEnd end);
/* For logs. */
const char *ae_name_end(AeEnd end);
const char *ae_name_framing(AeFraming framing);

typedef struct {
    size_t max_body_bytes;  /* kept; 0: not limited */
    size_t max_event_bytes; /* 0: not limited */
    /* Whether BODY, of status 200 and without length and chunks, may end
       there.  NULL: anywhere. */
    bool (*may_end)(const GByteArray *body);
} AeExpect;

/* For AeExpect: BODY is JSON. */
bool ae_is_json(const GByteArray *body);
/* For AeExpect: such an answer always has a length. */
bool ae_is_never_whole(const GByteArray *body);

typedef struct {
    uint16_t status;
    AeFraming framing;
    const char *type;     /* Content-Type, or NULL */
    const char *encoding; /* Content-Encoding, or NULL */
} AeHead;

typedef struct Ae Ae;

Ae *ae_create(const AeExpect *expect);
void ae_destroy(Ae *a);
void ae_on_head(Ae *a, const AeHead *head);
/* The answer should be an event stream.  False: its head says otherwise, and
   its body is collected.  CONTINUES: the one of a stream that has begun, so it
   has to be one also if its head names no type. */
bool ae_read_events(Ae *a, bool continues);

typedef enum {
    AE_READ_ALL,
    AE_READ_EVENT, /* call it again for the bytes behind it */
    AE_READ_TOO_LARGE
} AeResult;

AeResult ae_read(Ae *a, const char *data, size_t len, size_t *used,
                 EsEvent *event);
AeEnd ae_end(Ae *a, AeSignal signal);

AeFraming ae_get_framing(const Ae *a);
/* Bytes of the body so far. */
uint64_t ae_get_bytes(const Ae *a);
/* Of an event stream: those behind the last event. */
size_t ae_get_rest_bytes(const Ae *a);
/* Call it when the message is over.  Of an event stream: the rest, which is no
   event. Borrowed. */
GByteArray *ae_get_body(Ae *a);

/* An answer's first line inside TEXT, up to its status; NULL: there is none.
   A head that breaks off runs on into the one behind it: the reason or the
   field that it ends in holds that one's. */
const char *ae_find_status_line(const char *text, size_t len);
bool ae_holds_status_line(const char *text);
/* TEXT holds a whole head with a field, blank line included. */
bool ae_holds_head(const char *text, size_t len);

/* Whether another answer's head begins inside a body, and goes on behind it.
 */
typedef enum {
    AE_INSIDE_NOT,
    AE_INSIDE_MAYBE, /* more bytes will tell */
    AE_INSIDE_SURE
} AeInside;

/* TEXT: a body of BODY_LEN bytes, and what came behind it. */
AeInside ae_find_head_across(const char *text, size_t len, size_t body_len);

#endif
