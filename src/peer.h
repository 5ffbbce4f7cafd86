/* peer: links to the system's other processes.  A frame on the wire is a
   four-byte length (network order) and a protobuf Frame.  One thread serves
   all links: it listens, redials the configured addresses until they are
   linked, and drops a link on which nothing arrives within silence_ms.

   Each end challenges the other: a Hello carries a fresh nonce, and the answer
   is an HMAC-SHA256 under the shared key over both nonces and the identity
   that the answering end stated in its Hello.  Links are authenticated, not
   encrypted. */
#ifndef PEER_H
#define PEER_H

#include "base.h"
#include "bglade.pb-c.h"

#define PEER_MAX_FRAME (4u * 1024 * 1024)

typedef struct {
    const char *node;        /* unique name of this process */
    const char *data_centre; /* where it runs */
    const char *role;        /* "router" or "placer" */
    const char *listen;      /* IP:PORT, or "" to only dial */
    const char *dial;        /* IP:PORT, comma-separated; may be "" */
    const char *bridges;     /* the same, for other data centres */
    const char *shared_key;  /* both ends must hold it */
    uint32_t heartbeat_ms;
    uint32_t silence_ms; /* a link without traffic for this time is dropped */
} PeerSettings;

/* The far end of a link, valid during a callback only. */
typedef struct {
    const char *node;
    const char *data_centre;
    const char *role;
} PeerInfo;

typedef struct {
    /* All run on the link thread.  The callee owns FRAME. */
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

/* Send FRAME on every link whose far end matches NODE, DATA_CENTRE and ROLE
   (NULL: any).  Callable from any thread.  A link whose send queue is full is
   dropped; on_up of the next link is the time to send the full state again.
   */
void peer_send(PeerNet *n, const char *node, const char *data_centre,
               const char *role, const Bg__Frame *frame);
/* Send FRAME to every linked process of ROLE in the other data centres. */
void peer_send_other_centres(PeerNet *n, const char *role,
                             const Bg__Frame *frame);
/* Whether to dial the addresses in PeerSettings.bridges; one link is kept to
   each other data centre.  Callable from any thread. */
void peer_set_bridging(PeerNet *n, bool on);
/* Established links, as JSON; free with g_free. */
char *peer_dump(PeerNet *n);

#endif
