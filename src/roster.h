/* roster: which configuration is in force at which process, for operators.
   A placer hears the processes of its data centre by their heartbeats; what
   it heard is passed on to whoever asks.  Nothing is decided by it.

   Decision core: no threads, clock or I/O. */
#ifndef ROSTER_H
#define ROSTER_H

#include "bg_base.h"
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
/* What is known, one message a data centre, newest word of each; free with
   g_ptr_array_free(.., TRUE). */
GPtrArray *roster_make_gossip(Roster *r, uint64_t now_ms);
/* The same as JSON text; free with g_free. */
char *roster_dump(Roster *r, uint64_t now_ms);

#endif
