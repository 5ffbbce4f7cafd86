/* node: the process around a router or a placer.  Command line, settings, the
   core thread, the log client, the links to other processes, and HTTP for
   operators:

   /healthz  200 while the process serves, 503 from the start of a stop
   /readyz   200 once it has a state and its role is ready
   /metrics  counters in the text format
   /dump     the process's state as JSON
   /status   configuration in force at all processes, as far as known
   /drain    POST with the operators' key: a graceful stop

   Threads: the core thread owns the fold, the feed and the role's state, and
   no other thread touches them.  Other threads post events to it over a ring.
   A request is handled on its HTTP thread, connections belong to the peer and
   HTTP threads, and the configuration in force is an RCU-protected pointer
   that any thread may read. */
#ifndef NODE_H
#define NODE_H

#include "base.h"
#include "bglade.pb-c.h"
#include "cfg.h"
#include "fold.h"
#include "ini.h"
#include "peer.h"

struct mg_connection;

typedef struct Node Node;

/* As the settings and the descriptors allow. */
uint32_t node_get_http_threads(const Node *n);
/* That may be held for clients, all together. */
uint64_t node_get_client_bytes(const Node *n);

/* The callbacks of a role, router or placer.  All run on the core thread,
   except start and stop (main thread) and on_http. */
typedef struct {
    const char *role;
    const char *doc;
    const IniRule *rules; /* settings of the role, besides the common ones */

    /* Create the role's state; on false the process exits with ERR. */
    bool (*start)(void *ctx, Node *n, GError **err);
    void (*stop)(void *ctx);
    void (*on_record)(void *ctx, uint64_t now_ms, uint64_t offset,
                      const Bg__Record *r, FoldResult result, const char *why);
    void (*on_config)(void *ctx, uint64_t now_ms, const CfgSet *cfg);
    void (*on_frame)(void *ctx, uint64_t now_ms, const PeerInfo *from,
                     const Bg__Frame *frame);
    void (*on_link)(void *ctx, uint64_t now_ms, const PeerInfo *peer, bool up);
    void (*on_log)(void *ctx, uint64_t now_ms, bool reachable, bool caught_up);
    void (*on_event)(void *ctx, uint64_t now_ms, void *event);
    void (*on_tick)(void *ctx, uint64_t now_ms);
    void (*on_drain)(void *ctx, uint64_t now_ms);
    bool (*is_drained)(void *ctx);
    bool (*is_ready)(void *ctx);
    bool (*is_owner)(void *ctx); /* may be NULL */
    char *(*dump)(void *ctx);
    /* On an HTTP thread: the status that was answered, or 0 if the path is
       not the role's. */
    int (*on_http)(void *ctx, struct mg_connection *conn);
    void *ctx;
} NodeRole;

/* Run the process: parse the command line, load the settings, serve until
   SIGTERM or SIGINT, drain and stop.  Returns the exit code: 0 after a clean
   stop, 2 for bad settings. */
int node_main(int argc, char **argv, NodeRole *role);

/* ---- for roles ---------------------------------------------------------- */
const IniFile *node_get_settings(const Node *n);
/* The VM's name with a suffix that is unique to this process. */
const char *node_get_name(const Node *n);
const char *node_get_data_centre(const Node *n);
/* Core thread only. */
const Fold *node_get_fold(const Node *n);
/* Any thread: the set in force; the caller gets a reference. */
CfgSet *node_get_config(Node *n);
/* Any thread.  Queue an event for on_event; false when the ring is full. */
bool node_post(Node *n, void *event);
/* The same, but waits while the ring is full, unless the process stops. */
void node_post_wait(Node *n, void *event);
/* Any thread: queue R to be appended to the log; takes ownership. */
bool node_append(Node *n, Bg__Record *r);
bool node_is_log_reachable(Node *n);
bool node_is_draining(const Node *n);
/* More than half of the HTTP threads hold a connection. */
bool node_is_crowded(const Node *n);
void node_send(Node *n, const char *node, const char *data_centre,
               const char *role, const Bg__Frame *frame);

#endif
