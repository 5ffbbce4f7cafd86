/* feed: replicates the log into this process's fold.

   Entries come from the log itself, or are relayed by a peer (a linked
   process) that is fewer hops away from it.  The initial state comes from a
   checkpoint in the log or, if there is none, from a peer's snapshot.  On
   every path entries take effect in offset order without a gap, and the
   offset never goes back.  The log's offsets are dense: each append gets the
   next number.

   The feed also decides which placers read the log, when a checkpoint is
   written, and whether records may be appended.

   A state machine without threads, clock or I/O; one thread owns a Feed. */
#ifndef FEED_H
#define FEED_H

#include "base.h"
#include "bglade.pb-c.h"
#include "fold.h"
#include "log_client.h"
#include "peer.h"

typedef struct {
    const char *node;
    const char *data_centre;
    const char *role;
    uint32_t readers_per_centre; /* placers that read the log directly */
    uint32_t relay_wait_ms;      /* the log is read directly after this time
                                    without a peer to follow, or behind a live
                                    peer */
    /* A checkpoint is due after so many entries, or after this time. */
    uint32_t checkpoint_entries;
    uint32_t checkpoint_ms;
    uint64_t seed;
} FeedParams;

typedef struct {
    void *ctx;
    /* Read the log from OFFSET on; 0: stop reading. */
    void (*read_from)(void *ctx, uint64_t offset);
    void (*send)(void *ctx, const char *node, const Bg__Frame *frame);
    /* Append R before all other records; takes ownership. */
    void (*append)(void *ctx, Bg__Record *r);
    /* Whether other records may be appended now. */
    void (*open_appends)(void *ctx, bool open);
    /* The fold was restored from a checkpoint or snapshot; its observer was
       not called for the records in between.  May be NULL. */
    void (*on_restored)(void *ctx);
} FeedOutput;

typedef struct Feed Feed;

Feed *feed_create(const FeedParams *params, Fold *fold,
                  const FeedOutput *output);
void feed_destroy(Feed *f);

/* A read from offset FROM succeeded; PAGE has the entries in the order in
   which the log service returned them. */
void feed_on_page(Feed *f, uint64_t now_ms, uint64_t from,
                  const LogPage *page);
/* The read failed as the log no longer keeps entries below FIRST; NEXT is its
   next offset. */
void feed_on_trimmed(Feed *f, uint64_t now_ms, uint64_t first, uint64_t next);
/* A read failed: the log is unreachable. */
void feed_on_unreachable(Feed *f, uint64_t now_ms);
/* Any frame from a peer; frames of other modules are ignored. */
void feed_on_frame(Feed *f, uint64_t now_ms, const PeerInfo *from,
                   const Bg__Frame *frame);
void feed_on_link(Feed *f, uint64_t now_ms, const PeerInfo *peer, bool up);
void feed_on_tick(Feed *f, uint64_t now_ms);

/* Whether the state has once caught up with the log or with a peer, or was
   stopped on the way by a fault. */
bool feed_has_state(const Feed *f);
/* Hops to the log: 0 disconnected, 1 read directly, more: through peers. */
uint32_t feed_get_hops(const Feed *f);
/* Whether the log is reachable, directly or through peers, and all entries
   that it is known to have were applied. */
bool feed_is_caught_up(const Feed *f);
/* Whether this process is one of the readers_per_centre placers of its data
   centre that read the log and keep links to other data centres. */
bool feed_is_reader(const Feed *f, uint64_t now_ms);
/* Why new entries are not applied, or NULL if they are. */
const char *feed_get_fault(const Feed *f);
void feed_fill_heartbeat(const Feed *f, Bg__Heartbeat *hb);
/* One line for /readyz; free with g_free. */
char *feed_describe(const Feed *f);

#endif
