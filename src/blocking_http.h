/* hc: blocking HTTP client calls on the calling thread, with a timeout for
   every phase.  An HcClient has its own connection pool and may be used by
   one thread at a time. */
#ifndef BLOCKING_HTTP_H
#define BLOCKING_HTTP_H

#include "base.h"

typedef enum {
    HC_DONE,      /* the whole answer was received */
    HC_NOT_SENT,  /* no byte of the request left this process */
    HC_BROKEN,    /* the connection failed after bytes were sent */
    HC_TIMEOUT,   /* a phase exceeded its timeout after bytes were sent */
    HC_CANCELLED, /* by is_cancelled or a callback */
    HC_TOO_LARGE  /* the collected body exceeds max_body */
} HcEnd;

typedef struct {
    const char *method;
    const char *url;
    const char *const *headers; /* "Name: value", NULL-terminated, or NULL */
    const void *body;           /* NULL: none */
    size_t body_len;
    uint32_t connect_ms;
    uint32_t first_byte_ms; /* from the start to the answer's first byte */
    uint32_t idle_ms;       /* between bytes of the answer */
    uint32_t total_ms;
    size_t max_body;      /* of a collected body; 0: 16 MiB */
    uint32_t max_idle_ms; /* of a pooled connection; 0: 30 s */
    bool fresh;           /* new connection, closed after use, never retried */
    bool renew;           /* new connection, pooled after use */
    /* Sent as X-Attempt-Id; NULL: none.  An answer with a different one
       belongs to another call: the result is HC_BROKEN.  One without any is
       taken only on a new connection, which is then closed. */
    const char *attempt_id;
    /* Two calls over one connection, and so to the same run of the remote
       process: the first opens it, the second uses no other and closes it. */
    bool pair_first;
    bool pair_second;

    /* All may be NULL.  Returning false stops the call. */
    bool (*on_head)(void *ctx, long status, const char *content_type);
    bool (*on_data)(void *ctx, const char *data, size_t len);
    /* The collected body is about to have LEN bytes. */
    bool (*may_collect)(void *ctx, size_t len);
    bool (*is_cancelled)(void *ctx);
    void *ctx;
} HcRequest;

typedef struct {
    HcEnd end;
    bool refused; /* NOT_SENT: connection refused */
    long status;  /* 0: no status line was received */
    char *content_type;
    char *retry_after;    /* header, or NULL */
    char *upstream_state; /* X-Upstream-State header, or NULL */
    char *outcome;        /* X-Bglade-Outcome header, or NULL */
    GString *body;        /* collected when on_data is NULL */
    uint64_t got_bytes;   /* of the answer's body */
    bool framed;  /* its length is defined by header, chunks or status */
    bool reused;  /* made over a pooled connection */
    bool crossed; /* the answer had another call's X-Attempt-Id */
    /* It may be another call's, or its head is of two answers. */
    bool unproved;
} HcResult;

typedef struct HcClient HcClient;

HcClient *hc_create(void);
void hc_destroy(HcClient *c);
/* Makes one call.  Free OUT with hc_free_result. */
void hc_call(HcClient *c, const HcRequest *req, HcResult *out);
void hc_free_result(HcResult *r);
const char *hc_end_name(HcEnd end);

/* Called once in a process, before threads start, and once at its end. */
void hc_init_process(void);
void hc_end_process(void);

#endif
