/* so: non-blocking TCP sockets for ht and lk.  Addresses are numeric.  The
   kernel closes a connection with bytes unacknowledged for 4 s. */
#ifndef SOCKETS_H
#define SOCKETS_H

#include "base.h"

/* Whether TEXT is the IP:PORT of one host, as so_connect takes it: a numeric
   IPv4 address and a port from 1 to 65535. */
bool so_is_address(const char *text);
/* Listen on ADDRESS (IP:PORT); -1 with ERR set when that fails. */
int so_listen(const char *address, GError **err);
/* Start to connect.  The socket becomes writable when that is done or failed,
   see so_is_connected.  -1: it failed at once. */
int so_connect(const char *address);
bool so_is_connected(int fd);
/* The next connection of a listening socket; -1: none is pending. */
int so_accept(int fd);
/* The so_accept that has just failed found no descriptor: its socket stays
   readable, so it is best left alone for a while. */
bool so_lacks_descriptors(void);
/* Whether the far end has closed; consumes no input. */
bool so_is_closed_by_peer(int fd);
/* Whether nothing waits to be read: no bytes, end or error. */
bool so_is_quiet(int fd);
/* Make close() drop unsent bytes and reset the connection.  Otherwise a
   request could still be delivered when the network recovers, after its sender
   gave it up and acted on that. */
void so_reset_on_close(int fd);

#endif
