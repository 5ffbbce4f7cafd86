/* feed: keeps one process's fold in line with the log.

   Entries come from the log itself, or from a linked process that is nearer
   to it; a state to start from comes from a checkpoint in the log or, when
   that can't be had, from a linked process.  Whatever the path, entries take
   effect in offset order without a gap, and the offset never steps back.

   The offsets of the log are dense: each append gets the next number.

   Decision core: no threads, clock or I/O.  One thread owns a Feed. */
#ifndef FEED_H
#define FEED_H

#include "bg_base.h"
#include "bglade.pb-c.h"
#include "fold.h"
#include "lc.h"
#include "peer.h"

typedef struct {
    const char *node;
    const char *data_centre;
    const char *role;
    uint32_t readers_per_centre; /* placers that read the log themselves */
    uint32_t relay_wait_ms;      /* without a source: read the log oneself */
    uint32_t checkpoint_entries; /* a checkpoint is due after so many ... */
    uint32_t checkpoint_ms;      /* ... or after so long */
    uint64_t seed;
} FeedParams;

typedef struct {
    void *ctx;
    /* Read the log from OFFSET on; 0: leave it alone. */
    void (*read_from)(void *ctx, uint64_t offset);
    void (*send)(void *ctx, const char *node, const Bg__Frame *frame);
    /* Append R (takes it) before all other records. */
    void (*append)(void *ctx, Bg__Record *r);
    /* Whether other records may be appended now. */
    void (*open_appends)(void *ctx, bool open);
} FeedOutput;

typedef struct Feed Feed;

Feed *feed_create(const FeedParams *params, Fold *fold,
                  const FeedOutput *output);
void feed_destroy(Feed *f);

/* One successful read that asked for FROM on: entries as they came. */
void feed_on_page(Feed *f, uint64_t now_ms, uint64_t from,
                  const LogPage *page);
/* The log keeps nothing below FIRST; NEXT is its next offset. */
void feed_on_trimmed(Feed *f, uint64_t now_ms, uint64_t first, uint64_t next);
/* A read failed. */
void feed_on_away(Feed *f, uint64_t now_ms);
/* Every frame of a peer; those of other duties are passed over. */
void feed_on_frame(Feed *f, uint64_t now_ms, const PeerInfo *from,
                   const Bg__Frame *frame);
void feed_on_link(Feed *f, uint64_t now_ms, const PeerInfo *peer, bool up);
void feed_on_tick(Feed *f, uint64_t now_ms);

/* Whether the state was once as new as the log, or as a peer's. */
bool feed_has_state(const Feed *f);
/* How far the log is: 0 cut off, 1 read directly, more: through peers. */
uint32_t feed_get_hops(const Feed *f);
/* Whether the log can be read, by whatever path, and nothing of it that was
   seen is missing here. */
bool feed_is_caught_up(const Feed *f);
/* Whether this process is one of the few of its data centre that read the
   log and keep links to others. */
bool feed_is_reader(const Feed *f, uint64_t now_ms);
/* Why no entry takes effect any more, or NULL. */
const char *feed_get_fault(const Feed *f);
void feed_fill_heartbeat(const Feed *f, Bg__Heartbeat *hb);
/* One line for /readyz; free with g_free. */
char *feed_describe(const Feed *f);

#endif
