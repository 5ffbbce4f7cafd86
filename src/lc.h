/* lc: the platform's append-only log.

   LogApi is the vtable behind which a log service's wire format stands.
   LogClient runs two threads over it: a reader that delivers batches in
   offset order, and an appender that writes queued records in batches and
   settles lost acknowledgements by writing the same batch id again (the
   fold takes only the first of two batches with one id). */
#ifndef LC_H
#define LC_H

#include "bg_base.h"
#include "rec.h"

/* One entry read.  data is freed by the receiver with g_free. */
typedef struct {
    uint64_t offset;
    uint8_t *data;
    size_t len;
} LogEntry;

typedef struct {
    uint64_t first;  /* oldest offset kept */
    uint64_t next;   /* offset the next append gets */
    GArray *entries; /* LogEntry */
} LogPage;

typedef struct LogApi LogApi;
struct LogApi {
    /* BG_ERR_AWAY: had no effect.  BG_ERR_UNKNOWN: may take effect. */
    bool (*append)(LogApi *a, const uint8_t *data, size_t len,
                   uint64_t *offset, GError **err);
    /* Entries from FROM on, waiting up to WAIT_MS for the first.
       BG_ERR_TRIMMED: FROM is no longer kept; page->first is set. */
    bool (*read)(LogApi *a, uint64_t from, uint32_t wait_ms, LogPage *page,
                 GError **err);
    void (*destroy)(LogApi *a);
};

/* HTTP/JSON log service at ADDRESS (IP:PORT):
   POST /v1/append (bytes) -> {"offset":N};
   GET /v1/records?from=N&wait_ms=W&max=M ->
   {"first":F,"next":X,"records":[{"offset":N,"data":BASE64}]}, 410 when N
   is no longer kept. */
LogApi *lc_open_http(const char *address);

void lc_clear_page(LogPage *page);

typedef struct {
    /* Called on the reader thread.  DATA is the receiver's to free. */
    void (*on_entry)(void *ctx, uint64_t offset, uint8_t *data, size_t len);
    /* The log no longer keeps FROM; reading goes on at FIRST only after
       lc_seek. */
    void (*on_trimmed)(void *ctx, uint64_t first);
    void (*on_reachable)(void *ctx, bool reachable, uint64_t next);
    void *ctx;
} LcHandlers;

typedef struct {
    uint32_t window_ms;  /* group commit: wait for more records */
    uint32_t max_queue;  /* records waiting for the appender */
    uint32_t give_up_ms; /* age at which a batch is no longer retried */
} LcLimits;

typedef struct LogClient LogClient;

/* READ_API and WRITE_API become the client's. */
LogClient *lc_create(LogApi *read_api, LogApi *write_api, uint64_t from,
                     const LcHandlers *handlers, const LcLimits *limits);
void lc_start(LogClient *c);
/* Stop both threads; records still queued are tried until WAIT_MS ends. */
void lc_stop(LogClient *c, uint32_t wait_ms);
void lc_destroy(LogClient *c);

/* Queue a record for the log; takes R.  False (R freed) when full. */
bool lc_append(LogClient *c, Bg__Record *r);
/* Whether the last read succeeded. */
bool lc_is_reachable(LogClient *c);
/* Go on reading at OFFSET. */
void lc_seek(LogClient *c, uint64_t offset);

#endif
