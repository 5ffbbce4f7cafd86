#include "client_limits.h"

#include <malloc.h>
#include <sys/resource.h>

#define MIB (1024. * 1024)
#define CLIENTS_SHARE 2 /* of the memory */
#define RESERVED_FDS 200
/* Memory goes back once so much was given up. */
#define TRIM_BYTES (4ull << 20)
/* Larger buffers are mapped.  A fixed bound: else it grows with those that are
   freed, and later ones of that size stay in the heap. */
#define MAPPED_BYTES (128 * 1024)

uint64_t
cl_get_share_bytes(double memory_mb)
{
    return (uint64_t)(memory_mb * MIB) / CLIENTS_SHARE;
}

uint32_t
cl_get_usable_fds(double max_fds)
{
    uint64_t most = (uint64_t)max_fds;
    struct rlimit limit;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        most = MIN(most, limit.rlim_cur);
    }
    return (uint32_t)(most - MIN(RESERVED_FDS, most / 2));
}

uint64_t
cl_get_capacity(uint64_t len)
{
    uint64_t bytes = 1;
    while (bytes < len) {
        bytes *= 2;
    }
    return len ? bytes : 0;
}

void
cl_trim(ClTrim *t, uint64_t peak_bytes, uint64_t held_bytes)
{
    t->peak_bytes = MAX(t->peak_bytes, peak_bytes);
    if (t->peak_bytes > held_bytes + TRIM_BYTES) {
        t->peak_bytes = held_bytes;
        malloc_trim(0);
    }
}

void
cl_init_allocator(int max_arenas)
{
    mallopt(M_ARENA_MAX, max_arenas);
    mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES);
}
