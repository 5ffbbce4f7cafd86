/* hc: HTTP client calls, one at a time on the calling thread, with a limit
   on every phase.  An HcClient keeps its own connections and belongs to one
   thread at a time. */
#ifndef HC_H
#define HC_H

#include "bg_base.h"

typedef enum {
    HC_DONE,      /* the whole answer was received */
    HC_NOT_SENT,  /* no byte of the request left this process */
    HC_BROKEN,    /* the connection failed after bytes were sent */
    HC_TIMEOUT,   /* a phase took longer than its limit */
    HC_CANCELLED, /* is_cancelled or a callback said stop */
    HC_TOO_LARGE  /* the collected body passed max_body */
} HcEnd;

typedef struct {
    const char *method;
    const char *url;
    const char *const *headers; /* "Name: value", NULL-ended; may be NULL */
    const void *body;           /* NULL: none */
    size_t body_len;
    uint32_t connect_ms;
    uint32_t first_byte_ms; /* from start to the answer's first byte */
    uint32_t idle_ms;       /* between bytes of the answer */
    uint32_t total_ms;
    size_t max_body;      /* of a collected body; 0: 16 MiB */
    uint32_t max_idle_ms; /* of a pooled connection; 0: 30 s */
    bool fresh;           /* new connection, closed after use, never retried */
    bool renew;           /* new connection, pooled after use */
    /* Sent as X-Attempt-Id.  An answer that carries another one belongs to
       another call: it is broken.  NULL: none. */
    const char *attempt_id;

    /* All may be NULL.  Returning false stops the call. */
    bool (*on_head)(void *ctx, long status, const char *content_type);
    bool (*on_data)(void *ctx, const char *data, size_t len);
    bool (*is_cancelled)(void *ctx);
    void *ctx;
} HcRequest;

typedef struct {
    HcEnd end;
    long status; /* 0: no status line was received */
    char *content_type;
    char *retry_after;    /* header, or NULL */
    char *upstream_state; /* X-Upstream-State header, or NULL */
    char *outcome;        /* X-Bglade-Outcome header, or NULL */
    GString *body;        /* collected when on_data is NULL */
    uint64_t got_bytes;   /* of the answer's body */
    bool framed;  /* its length was told: by header, chunks or status */
    bool reused;  /* a pooled connection carried it */
    bool crossed; /* it carried another call's X-Attempt-Id */
} HcResult;

typedef struct HcClient HcClient;

HcClient *hc_create(void);
void hc_destroy(HcClient *c);
/* Make one call.  Free OUT with hc_free_result. */
void hc_call(HcClient *c, const HcRequest *req, HcResult *out);
void hc_free_result(HcResult *r);
const char *hc_end_name(HcEnd end);

/* Call once in a process, before threads start, and once at its end. */
void hc_init_process(void);
void hc_end_process(void);

#endif
