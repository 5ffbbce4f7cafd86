/* cl: what a process may hold for its clients, from what its VM has. */
#ifndef CLIENT_LIMITS_H
#define CLIENT_LIMITS_H

#include "base.h"

/* Of MEMORY_MB: the rest is the process's own. */
uint64_t cl_get_share_bytes(double memory_mb);
/* Of MAX_FDS, or of what the system allows if that is less, those that aren't
   reserved for files and the process's own sockets. */
uint32_t cl_get_usable_fds(double max_fds);
/* Of a buffer of LEN bytes that grew by doubling. */
uint64_t cl_get_capacity(uint64_t len);

/* When memory goes back to the system: the allocator keeps small pieces that a
   crowd had, and the next crowd would come on top of them. */
typedef struct {
    uint64_t peak_bytes; /* held since memory last went back */
} ClTrim;

/* PEAK_BYTES: held at most since the last call; HELD_BYTES: now.  Call it
   about once a second. */
void cl_trim(ClTrim *t, uint64_t peak_bytes, uint64_t held_bytes);
/* Buffers of clients go back when they are freed, whatever their size was
   before.  Before threads start. */
void cl_init_allocator(int max_arenas);

#endif
