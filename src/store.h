/* st: interface to the platform's store, a log that outlives every process.

   A topic is a log of records with a key; the store keeps at least the newest
   record of each key.  A topic can be listed (newest record of each key), read
   from an offset, and appended to; an append may be conditional on the tail,
   that is, on no other append since.  Calls are asynchronous.

   StWatch follows a topic: it lists it, then reads what is appended, and lists
   again when it can't continue. */
#ifndef STORE_H
#define STORE_H

#include "base.h"

typedef enum {
    ST_CONFIG,    /* written by operators, under one key */
    ST_UPSTREAMS, /* written by upstreams, each under its own id */
    ST_OWNER,     /* written by gateways: the lease, see ls */
    ST_VERSIONS,  /* written by the leader: the version plan, see vp */
    ST_NOTES,     /* written by the leader: batches of notes, see sn */
    ST_MAILBOX    /* written by gateways that can't link to the leader:
                     link frames, each under its VM's name */
} StTopic;

#define ST_ANY_TAIL UINT64_MAX /* unconditional append */

typedef enum {
    ST_OK,
    ST_CONFLICT,   /* the tail had moved on; nothing was appended */
    ST_REFUSED,    /* nothing was appended */
    ST_TRIMMED,    /* records from that offset are no longer kept */
    ST_UNREACHABLE /* no usable answer: an append may have taken effect, or
                       may yet */
} StResult;

typedef struct {
    char *key;
    GBytes *value; /* NULL: the key was deleted */
    uint64_t offset;
} StRecord;

typedef struct {
    StResult result;
    GPtrArray *records; /* StRecord; NULL unless ST_OK of a list or read */
    uint64_t tail;      /* offset of the next record to be appended */
    uint64_t next;      /* behind the records: of a read, it may be below the
                           tail */
    uint64_t offset;    /* of the appended record */
    char *after;        /* of a list: where the next page begins, as list
                           takes it; NULL: there is none */
} StReply;

typedef void (*StReplyFn)(void *ctx, const StReply *reply);

typedef struct St St;

/* A call ends within this time, a read within this time more than its wait:
   far longer than a slow store takes. */
#define ST_CALL_TIMEOUT_MS 900

typedef struct {
    /* The newest record of each key, page by page: the page that begins at
       AFTER of the reply before (NULL: the first page). */
    void (*list)(St *s, StTopic topic, const char *after, StReplyFn done,
                 void *ctx);
    /* Records from offset FROM on.  Answered as soon as there is one, or after
       WAIT_MS. */
    void (*read)(St *s, StTopic topic, uint64_t from, uint32_t wait_ms,
                 StReplyFn done, void *ctx);
    /* Appends one record if the topic's tail is still AT, or if AT is
       ST_ANY_TAIL. */
    void (*append)(St *s, StTopic topic, uint64_t at, const char *key,
                   const void *value, size_t len, StReplyFn done, void *ctx);
} StOps;

struct St {
    const StOps *ops;
};

StRecord *st_create_record(const char *key, size_t key_len, uint64_t offset);
void st_free_record(void *record);

/* ---- following a topic -------------------------------------------------- */

typedef struct StWatch StWatch;

/* Time and timers of watches, those of an event loop or simulated ones. */
typedef struct StClock StClock;

typedef struct {
    uint64_t (*get_ms)(StClock *c);
    /* Calls FN once after DELAY_MS, unless it is stopped before.  The handle
       is valid until then. */
    void *(*start)(StClock *c, uint32_t delay_ms, void (*fn)(void *ctx),
                   void *ctx);
    void (*stop)(StClock *c, void *timer);
    void (*destroy)(StClock *c);
} StClockOps;

struct StClock {
    const StClockOps *ops;
};

struct ev_loop;

/* Its time is that of bg_boot_ms. */
StClock *st_create_loop_clock(struct ev_loop *loop);
/* After all watches that use it. */
void st_destroy_clock(StClock *c);

typedef struct {
    StTopic topic;
    const char *name;  /* for the log */
    uint32_t wait_ms;  /* of a long poll; 0: reads return at once */
    uint32_t pause_ms; /* between reads */
    uint64_t seed;
} StWatchParams;

typedef enum {
    ST_UPDATES,  /* records appended since the last call */
    ST_PAGE,     /* page of a listing; more follow */
    ST_LAST_PAGE /* last page: keys that no page had don't exist */
} StBatchKind;

typedef struct {
    void *ctx;
    /* LISTED: with ST_LAST_PAGE the set of the keys of all pages, else
       NULL. */
    void (*on_records)(void *ctx, const GPtrArray *records, StBatchKind kind,
                       GHashTable *listed);
    /* The store answers again (REACHABLE), or stopped answering. */
    void (*on_reachable)(void *ctx, bool reachable);
} StWatchHandler;

/* CLOCK and S are borrowed. */
StWatch *st_create_watch(StClock *clock, St *s, const StWatchParams *params,
                         const StWatchHandler *handler);
void st_destroy_watch(StWatch *w);
/* An idle watch makes no calls, as the updates come from another process.  A
   new watch is idle. */
void st_set_idle(StWatch *w, bool idle);
void st_set_pause(StWatch *w, uint32_t pause_ms);
/* Pause after a failed call; it doubles each time, so that all VMs together
   don't overload a store in trouble.  Half of it is random, so that they do
   not come back at the same moment. */
#define ST_FIRST_BACKOFF_MS 80
/* Default of the longest of these pauses. */
#define ST_MAX_BACKOFF_MS 700
void st_set_max_backoff(StWatch *w, uint32_t max_backoff_ms);
/* A held read that has no answer by so long after its wait was lost. */
#define ST_LATE_ANSWER_MS 500
/* How long reads are held open.  The pending one, if begun with a longer wait,
   is given up once this one is over, too: the reason to hold it is gone. */
void st_set_wait(StWatch *w, uint64_t now_ms, uint32_t wait_ms);
/* Drops the pending call, which may never be answered, and calls again.  A
   call younger than MIN_AGE_MS may just be slow: then nothing is done. */
void st_restart(StWatch *w, uint64_t now_ms, uint32_t min_age_ms);
/* Whether a listing was completed. */
bool st_is_listed(const StWatch *w);
/* Time since the store's last answer; UINT64_MAX: there was none. */
uint64_t st_get_age_ms(const StWatch *w, uint64_t now_ms);

#endif
