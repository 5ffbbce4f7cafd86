/* st: the store that outlives every process, as the product uses it: topics
   of records with a key, of which the newest of each key stays; reads from
   an offset; appends under the condition that nobody wrote since. */
#ifndef ST_H
#define ST_H

#include "bg_base.h"

typedef enum {
    ST_CONFIG,    /* written by operators, under one key */
    ST_UPSTREAMS, /* written by upstreams, each under its id */
    ST_OWNER,     /* ours: who may order upstreams, see ls */
    ST_MAILBOX    /* ours: frames of gateways that can't link, by VM */
} StTopic;

#define ST_ANY_TAIL UINT64_MAX /* append whatever was written since */

typedef enum {
    ST_OK,
    ST_CONFLICT,   /* somebody wrote since; nothing was done */
    ST_REFUSED,    /* nothing was done */
    ST_TRIMMED,    /* the records asked for are no longer kept */
    ST_UNREACHABLE /* no answer: an append may have been done, or be done yet
                    */
} StResult;

typedef struct {
    char *key;
    GBytes *value; /* NULL: the key was dropped */
    uint64_t offset;
} StRecord;

typedef struct {
    StResult end;
    GPtrArray *records; /* StRecord; NULL unless ST_OK of a list or read */
    uint64_t tail;      /* offset that the next record will get */
    uint64_t offset;    /* of an append */
    bool has_more;      /* of a list: go on after the last key */
} StReply;

typedef void (*StReplyFn)(void *ctx, const StReply *reply);

typedef struct St St;

typedef struct {
    /* The newest record of each key, from the one after AFTER (NULL: all). */
    void (*list)(St *s, StTopic topic, const char *after, StReplyFn done,
                 void *ctx);
    /* Records from FROM on, as soon as there is one or WAIT_MS are over. */
    void (*read)(St *s, StTopic topic, uint64_t from, uint32_t wait_ms,
                 StReplyFn done, void *ctx);
    /* Append one record if the topic's tail is still AT, or ST_ANY_TAIL. */
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
struct ev_loop;

typedef struct {
    StTopic topic;
    const char *name;  /* for the log */
    uint32_t wait_ms;  /* a read is held open for so long; 0: polled */
    uint32_t pause_ms; /* between reads */
} StWatchParams;

typedef enum {
    ST_UPDATES,  /* appended since the last */
    ST_PAGE,     /* of a listing that goes on */
    ST_LAST_PAGE /* of a listing: what no page has is gone */
} StBatchKind;

typedef struct {
    void *ctx;
    /* LISTED: a set of the keys of all pages, with the last one; else NULL. */
    void (*on_records)(void *ctx, const GPtrArray *records, StBatchKind part,
                       GHashTable *listed);
    /* The store answered again after it did not, or stopped answering. */
    void (*on_reachable)(void *ctx, bool reached);
} StWatchHandler;

StWatch *st_create_watch(struct ev_loop *loop, St *s,
                         const StWatchParams *params,
                         const StWatchHandler *handler);
void st_destroy_watch(StWatch *w);
/* An idle watch asks for nothing; others tell what it would.  It begins
   idle. */
void st_set_idle(StWatch *w, bool idle);
void st_set_pause(StWatch *w, uint32_t pause_ms);
/* The longest pause after calls that failed, where none is set. */
#define ST_MAX_BACKOFF_MS 700
void st_set_max_backoff(StWatch *w, uint32_t max_ms);
void st_set_wait(StWatch *w, uint32_t wait_ms);
/* Forget the call that is out, which may be silent, and ask anew; a call that
   is younger than MIN_AGE_MS may just be slow and is left. */
void st_restart(StWatch *w, uint64_t now_ms, uint32_t min_age_ms);
/* A first listing has come. */
bool st_is_listed(const StWatch *w);
/* Since the store last answered it; UINT64_MAX: never. */
uint64_t st_get_age_ms(const StWatch *w, uint64_t now_ms);

#endif
