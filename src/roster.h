/* roster: which configuration is in force at which process.  It is shown to
   operators and not used for decisions.  A placer collects it from the
   heartbeats of its data centre's processes; the placers exchange their lists
   by gossip.

   No threads, clock or I/O. */
#ifndef ROSTER_H
#define ROSTER_H

#include "base.h"
#include "bglade.pb-c.h"
#include "peer.h"

typedef struct Roster Roster;

Roster *roster_create(const char *node, const char *data_centre,
                      const char *role);
void roster_destroy(Roster *r);
/* This process's own state. */
void roster_set_self(Roster *r, const Bg__Heartbeat *self);
void roster_on_heartbeat(Roster *r, uint64_t now_ms, const PeerInfo *from,
                         const Bg__Heartbeat *hb);
void roster_on_gossip(Roster *r, uint64_t now_ms, const Bg__Gossip *g);
/* The newest known list of each data centre, as Bg__Gossip; free with
   g_ptr_array_free(.., TRUE). */
GPtrArray *roster_make_gossip(Roster *r, uint64_t now_ms);
/* All lists as JSON text; free with g_free. */
char *roster_dump(Roster *r, uint64_t now_ms);

#endif
