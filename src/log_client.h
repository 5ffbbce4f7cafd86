/* lc: client of the platform's append-only log.

   LogApi is the interface to a log service; lc_open_http implements it.
   LogClient runs two threads over it: a reader that makes the requested
   reads, and an appender that writes queued records in batches.  If an
   acknowledgement is lost, the appender writes the batch again with the same
   id; the fold ignores the second of two batches with one id. */
#ifndef LOG_CLIENT_H
#define LOG_CLIENT_H

#include "base.h"
#include "log_records.h"

/* One entry.  The receiver frees data with g_free. */
typedef struct {
    uint64_t offset;
    uint8_t *data;
    size_t len;
} LogEntry;

typedef struct {
    uint64_t first;  /* oldest retained offset */
    uint64_t next;   /* offset of the next append */
    GArray *entries; /* LogEntry */
} LogPage;

typedef struct LogApi LogApi;
struct LogApi {
    /* BG_ERR_UNREACHABLE: the append had no effect.  BG_ERR_UNKNOWN: it may
       have had one, or still have it later. */
    bool (*append)(LogApi *a, const uint8_t *data, size_t len,
                   uint64_t *offset, GError **err);
    /* Entries from FROM on, waiting up to WAIT_MS for the first.
       BG_ERR_TRIMMED: FROM is no longer retained; page->first is set. */
    bool (*read)(LogApi *a, uint64_t from, uint32_t wait_ms, LogPage *page,
                 GError **err);
    void (*destroy)(LogApi *a);
};

/* HTTP/JSON log service at ADDRESS (IP:PORT):
   POST /v1/append (bytes) -> {"offset":N};
   GET /v1/records?from=N&wait_ms=W&max=M ->
   {"first":F,"next":X,"records":[{"offset":N,"data":BASE64}]}, 410 if N is
   no longer retained.  Offsets are consecutive and begin at 1. */
LogApi *lc_open_http(const char *address);

void lc_clear_page(LogPage *page);
/* The same for a page from g_new. */
void lc_free_page(LogPage *page);

typedef struct {
    /* All handlers run on the reader thread.  on_page: the result of a read
       from FROM on; the receiver owns PAGE (lc_free_page). */
    void (*on_page)(void *ctx, uint64_t from, LogPage *page);
    /* The log retains nothing below FIRST.  The read is repeated until
       lc_read_from asks for another offset. */
    void (*on_trimmed)(void *ctx, uint64_t first, uint64_t next);
    void (*on_unreachable)(void *ctx);
    void *ctx;
} LcHandlers;

typedef struct {
    uint32_t window_ms;  /* group commit: time to wait for more records */
    uint32_t max_queue;  /* records queued for the appender */
    uint32_t give_up_ms; /* age from which a batch is not retried */
} LcLimits;

typedef struct LogClient LogClient;

/* The client takes ownership of READ_API and WRITE_API.  Nothing is read
   before lc_read_from, and queued records are not appended before
   lc_open_appends. */
LogClient *lc_create(LogApi *read_api, LogApi *write_api,
                     const LcHandlers *handlers, const LcLimits *limits);
void lc_start(LogClient *c);
/* Stops both threads; queued records are still tried for WAIT_MS. */
void lc_stop(LogClient *c, uint32_t wait_ms);
void lc_destroy(LogClient *c);

/* Queues R for the log and takes ownership.  False: the queue is full, and R
   was freed. */
bool lc_append(LogClient *c, Bg__Record *r);
/* The same, but R goes before all queued records, also while appends are not
   open. */
bool lc_append_first(LogClient *c, Bg__Record *r);
/* Whether queued records may be appended now. */
void lc_open_appends(LogClient *c, bool open);
/* False for some time after a failed append, until one succeeds. */
bool lc_can_append(LogClient *c);
/* Requests one read from OFFSET on, retried until the log answers; 0: cancels
   the request. */
void lc_read_from(LogClient *c, uint64_t offset);

#endif
