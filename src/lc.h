/* lc: the platform's append-only log.

   LogApi is the vtable behind which a log service's wire format stands.
   LogClient runs two threads over it: a reader that makes the reads it is
   asked for, and an appender that writes queued records in batches and
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
    /* BG_ERR_UNREACHABLE: had no effect.  BG_ERR_UNKNOWN: may take effect. */
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
   is no longer kept.  Offsets are dense and begin at 1. */
LogApi *lc_open_http(const char *address);

void lc_clear_page(LogPage *page);
/* The same for a page from g_new. */
void lc_free_page(LogPage *page);

typedef struct {
    /* All run on the reader thread.  The answer to one read from FROM on;
       PAGE is the receiver's to clear and free (lc_free_page). */
    void (*on_page)(void *ctx, uint64_t from, LogPage *page);
    /* The log keeps nothing below FIRST; it is read again until another
       offset is asked for. */
    void (*on_trimmed)(void *ctx, uint64_t first, uint64_t next);
    void (*on_away)(void *ctx);
    void *ctx;
} LcHandlers;

typedef struct {
    uint32_t window_ms;  /* group commit: wait for more records */
    uint32_t max_queue;  /* records waiting for the appender */
    uint32_t give_up_ms; /* age at which a batch is no longer retried */
} LcLimits;

typedef struct LogClient LogClient;

/* READ_API and WRITE_API become the client's.  Nothing is read before
   lc_read_from, nothing queued is appended before lc_open_appends. */
LogClient *lc_create(LogApi *read_api, LogApi *write_api,
                     const LcHandlers *handlers, const LcLimits *limits);
void lc_start(LogClient *c);
/* Stop both threads; records still queued are tried until WAIT_MS ends. */
void lc_stop(LogClient *c, uint32_t wait_ms);
void lc_destroy(LogClient *c);

/* Queue a record for the log; takes R.  False (R freed) when full. */
bool lc_append(LogClient *c, Bg__Record *r);
/* The same, before all that is queued, open or not. */
bool lc_append_first(LogClient *c, Bg__Record *r);
/* Whether queued records may be appended now. */
void lc_open_appends(LogClient *c, bool open);
/* Whether no append failed lately without one succeeding since. */
bool lc_can_append(LogClient *c);
/* Read once from OFFSET on, as soon as the log answers; 0: read nothing. */
void lc_read_from(LogClient *c, uint64_t offset);

#endif
