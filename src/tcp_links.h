/* lk: TCP links between gateways.  Each gateway keeps one link up, to the
   leader or to a relay, and any number of others (its peers) link to it.  A
   frame is a protobuf message preceded by its length.  Our own link is closed
   when nothing arrived for LK_SILENT_MS, and opened again: a connection can go
   silent for good while new ones work.  A peer has twice that time.  All calls
   and callbacks are on the loop's thread. */
#ifndef TCP_LINKS_H
#define TCP_LINKS_H

#include "base.h"
#include "gateway.pb-c.h"

#include <ev.h>

#define LK_SILENT_MS 900
#define LK_HEARTBEAT_MS 250 /* both sides send something this often */

typedef struct Lk Lk;
typedef struct LkPeer LkPeer;

typedef struct {
    void *ctx;
    /* Fill in the first frame that we send on our link; its texts are
       borrowed. */
    void (*fill_hello)(void *ctx, Gwp__Hello *hello);
    /* FROM: the peer that sent it; NULL: the VM that we are linked to. */
    void (*on_frame)(void *ctx, LkPeer *from, const Gwp__Frame *frame);
    /* A gateway linked to us, or its link ended and PEER will be freed. */
    void (*on_peer)(void *ctx, LkPeer *peer, bool linked);
    /* Our own link opened or ended. */
    void (*on_link)(void *ctx, bool open);
    /* Our own link could not be opened. */
    void (*on_connect_failed)(void *ctx);
} LkHandler;

Lk *lk_create(struct ev_loop *loop, const char *listen_address,
              const LkHandler *handler, GError **err);
/* Closes all links, through the handler.  What is sent later is dropped. */
void lk_close(Lk *l);
/* After lk_close. */
void lk_destroy(Lk *l);

/* Link to the gateway at ADDRESS, and again whenever that link ends; NULL: to
   none.  A link to a former target is closed without on_link. */
void lk_set_target(Lk *l, const char *address);
const char *lk_get_target(const Lk *l);
bool lk_is_open(const Lk *l);
/* Since the last whole frame of the VM that we are linked to; UINT64_MAX
   without a link. */
uint64_t lk_get_frame_age_ms(const Lk *l, uint64_t now_ms);
/* To the VM that we are linked to; dropped without an open link. */
void lk_send_up(Lk *l, const Gwp__Frame *frame);
/* To the peer TO, or to all peers if it is NULL. */
void lk_send_down(Lk *l, LkPeer *to, const Gwp__Frame *frame);
/* To at most COUNT peers, in turn; returns to how many it was sent. */
uint32_t lk_send_some(Lk *l, uint32_t count, const Gwp__Frame *frame);
/* Callers wait at that gateway: lk_send_urgent includes it. */
void lk_set_urgent(LkPeer *p, bool urgent);
/* To all urgent peers. */
void lk_send_urgent(Lk *l, const Gwp__Frame *frame);
uint32_t lk_count_peers(const Lk *l);
void lk_visit_peers(Lk *l, void (*visit)(void *ctx, LkPeer *p), void *ctx);
/* Name of the VM at the other end; "" before its first frame. */
const char *lk_get_vm(const LkPeer *p);
/* Names the peer.  A former link of the same VM is closed, as the VM opened
   this one in its place. */
void lk_set_vm(LkPeer *p, const char *vm);
void *lk_get_user(const LkPeer *p);
void lk_set_user(LkPeer *p, void *user);
/* Beyond MOST links of other gateways (0: not limited) one that hasn't said
   whose it is makes room for a new one; else the new one is closed. */
void lk_set_max_peers(Lk *l, uint32_t most);
void lk_on_tick(Lk *l, uint64_t now_ms);

#endif
