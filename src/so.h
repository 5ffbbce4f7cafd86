/* so: TCP sockets as ht and lk use them: numeric addresses, never blocking,
   and closed by the kernel when the far end or the path is dead. */
#ifndef SO_H
#define SO_H

#include "bg_base.h"

/* Listen on ADDRESS (IP:PORT); -1 with ERR set when that fails. */
int so_listen(const char *address, GError **err);
/* Begin to connect; the socket is writable when that ended, see
   so_is_connected.  -1: it can't be begun. */
int so_connect(const char *address);
bool so_is_connected(int fd);
/* The next connection of a listening socket; -1: none waits. */
int so_accept(int fd);
/* Whether the far end has closed, asked without taking a byte. */
bool so_is_closed_by_peer(int fd);
/* Bytes on their way are dropped when FD is closed instead of being delivered
   later, when a cut link heals: whoever gave a call up has acted on that. */
void so_reset_on_close(int fd);

#endif
