/* ds: takes detours: connects to an upstream for another gateway that can't
   reach it, and passes the bytes on.  The other gateway keeps the request and
   all decisions about it; nothing here reads or repeats what is passed on, so
   what may run at most once is never sent a second time here.

   A connection begins with a DetourAsk (see gateway.proto).  Each end's close
   closes the other; an upstream's orderly close is passed on as DetourEnd, so
   that a detour that is broken off doesn't look complete.  Each direction
   holds a bounded number of bytes, and a slow reader slows the sender.

   All calls and callbacks are on the loop's thread. */
#ifndef DETOUR_SERVER_H
#define DETOUR_SERVER_H

#include "base.h"
#include "gateway.pb-c.h"

#include <ev.h>

typedef struct Ds Ds;

typedef struct {
    void *ctx;
    /* Whether ASK may be granted: DETOUR_OPEN to connect to its address. */
    Gwp__DetourResult (*check)(void *ctx, const Gwp__DetourAsk *ask);
    /* The connection to ADDRESS was opened, or could not be. */
    void (*on_connect)(void *ctx, const char *address, bool opened);
} DsHandler;

typedef struct {
    const char *address; /* to listen on, IP:PORT */
    uint32_t most;       /* detours at a time */
} DsParams;

/* NULL with ERR set when listening fails. */
Ds *ds_create(struct ev_loop *loop, const DsParams *params,
              const DsHandler *handler, GError **err);
void ds_destroy(Ds *s);
/* Ends detours that do not get on; call about every 20 ms. */
void ds_on_tick(Ds *s, uint64_t now_ms);
/* Detours that are open. */
uint32_t ds_count(const Ds *s);

#endif
