/* lk: links between gateways.  Each gateway keeps one link, to the VM that
   places models or to a relay, and any number of others link to it.  Frames
   are protobuf messages after their length.  A link that said nothing for
   LK_SILENT_MS is closed and opened anew: connections can go silent for good
   while new ones work.  Belongs to the loop's thread. */
#ifndef LK_H
#define LK_H

#include "bg_base.h"
#include "gateway.pb-c.h"

#include <ev.h>

#define LK_SILENT_MS 900
#define LK_BEAT_MS 250 /* both sides say something at least this often */

typedef struct Lk Lk;
typedef struct LkPeer LkPeer;

typedef struct {
    void *ctx;
    /* Fill in the first frame of our link; its text is borrowed. */
    void (*fill_hello)(void *ctx, Gwp__Hello *hello);
    /* FROM: who sent it; NULL: the VM that we are linked to. */
    void (*on_frame)(void *ctx, LkPeer *from, const Gwp__Frame *frame);
    /* A gateway linked to us has come, or is gone (then PEER is freed). */
    void (*on_peer)(void *ctx, LkPeer *peer, bool here);
    /* Our own link opened or ended. */
    void (*on_link)(void *ctx, bool open);
    /* It could not be opened. */
    void (*on_connect_failed)(void *ctx);
} LkHandler;

Lk *lk_create(struct ev_loop *loop, const char *listen_address,
              const LkHandler *handler, GError **err);
void lk_destroy(Lk *l);

/* Link to the gateway at ADDRESS, and again whenever that ends; NULL: to
   none.  A link to another one ends without on_link. */
void lk_set_target(Lk *l, const char *address);
const char *lk_get_target(const Lk *l);
bool lk_is_open(const Lk *l);
/* Since the last whole frame of the VM that we are linked to. */
uint64_t lk_get_quiet_ms(const Lk *l, uint64_t now_ms);
/* To the VM that we are linked to; dropped when there is none. */
void lk_send_up(Lk *l, const Gwp__Frame *frame);
/* To all that are linked to us, or to one of them. */
void lk_send_down(Lk *l, LkPeer *to, const Gwp__Frame *frame);
/* To COUNT that are linked to us, others each time; how many there were. */
uint32_t lk_send_some(Lk *l, uint32_t count, const Gwp__Frame *frame);
/* Callers wait at that gateway: it is told first. */
void lk_set_urgent(LkPeer *p, bool urgent);
/* To all urgent ones that are linked to us. */
void lk_send_urgent(Lk *l, const Gwp__Frame *frame);
uint32_t lk_count_peers(const Lk *l);
void lk_visit_peers(Lk *l, void (*visit)(void *ctx, LkPeer *p), void *ctx);
/* Name of the VM at the other end; "" before it said so. */
const char *lk_get_vm(const LkPeer *p);
/* A former link of that VM is closed: it has opened this one. */
void lk_set_vm(LkPeer *p, const char *vm);
void *lk_get_user(const LkPeer *p);
void lk_set_user(LkPeer *p, void *user);
void lk_on_tick(Lk *l, uint64_t now_ms);

#endif
