/* peer: links to the system's other processes.  Frames are a four-byte
   length (network order) and a protobuf Frame.  One thread serves all
   links: it listens, dials the configured addresses again and again, and
   drops a link that was silent for too long.

   Each end challenges the other: a Hello carries a fresh nonce, the answer
   is an HMAC-SHA256 under the shared key over both nonces and what the end
   says of itself.  Links are authenticated, not encrypted. */
#ifndef PEER_H
#define PEER_H

#include "bg_base.h"
#include "bglade.pb-c.h"

#define PEER_MAX_FRAME (4u * 1024 * 1024)

typedef struct {
    const char *node;        /* this process, unique */
    const char *data_centre; /* where it runs */
    const char *role;        /* "router" or "placer" */
    const char *listen;      /* IP:PORT, or "" to only dial */
    const char *dial;        /* IP:PORT, comma-separated; may be "" */
    const char *bridges;     /* the same, in other data centres */
    const char *shared_key;  /* both ends must hold it */
    uint32_t heartbeat_ms;
    uint32_t silence_ms; /* a link without a frame for so long is dropped */
} PeerSettings;

/* The far end of a link, valid during a callback only. */
typedef struct {
    const char *node;
    const char *data_centre;
    const char *role;
} PeerInfo;

typedef struct {
    /* All run on the link thread.  FRAME belongs to the callee. */
    void (*on_frame)(void *ctx, const PeerInfo *from, Bg__Frame *frame);
    void (*on_up)(void *ctx, const PeerInfo *peer);
    void (*on_down)(void *ctx, const PeerInfo *peer);
    /* Fill in this process's heartbeat. */
    void (*fill_heartbeat)(void *ctx, Bg__Heartbeat *hb);
    void *ctx;
} PeerHandlers;

typedef struct PeerNet PeerNet;

PeerNet *peer_create(const PeerSettings *settings,
                     const PeerHandlers *handlers);
bool peer_start(PeerNet *n, GError **err);
void peer_stop(PeerNet *n);
void peer_destroy(PeerNet *n);

/* Send FRAME on every link that NODE, DATA_CENTRE and ROLE match (NULL:
   any).  From any thread.  A link whose queue is full is dropped; its far
   end gets the whole state again when it is back. */
void peer_send(PeerNet *n, const char *node, const char *data_centre,
               const char *role, const Bg__Frame *frame);
/* Send FRAME to every linked process of ROLE in other data centres. */
void peer_send_abroad(PeerNet *n, const char *role, const Bg__Frame *frame);
/* Whether the addresses of other data centres are dialled; one link is kept
   to each of them.  From any thread. */
void peer_set_bridging(PeerNet *n, bool on);
/* Links up, for dumps; free with g_free. */
char *peer_dump(PeerNet *n);

#endif
