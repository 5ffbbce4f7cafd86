#include "hist.h"

#include <stdatomic.h>

#define SUB_BITS 6
#define SUB_BUCKETS (1u << SUB_BITS) /* for each power of two */
#define MAX_BITS 40                  /* longer ones share the last bucket */
#define BUCKETS ((MAX_BITS - SUB_BITS + 1) * SUB_BUCKETS)

struct Hist {
    atomic_uint_fast64_t counts[BUCKETS];
    atomic_uint_fast64_t total;
    atomic_uint_fast64_t max_us;
};

Hist *
hist_create(void)
{
    return g_new0(Hist, 1);
}

void
hist_destroy(Hist *h)
{
    g_free(h);
}

/* Each value below SUB_BUCKETS has its own bucket.  Above, the position of the
   highest bit and the SUB_BITS bits after it select the bucket. */
static uint32_t
find_bucket(uint64_t us)
{
    if (us < SUB_BUCKETS) {
        return (uint32_t)us;
    }
    uint32_t top = 63u - (uint32_t)__builtin_clzll(us);
    if (top >= MAX_BITS) {
        return BUCKETS - 1;
    }
    uint32_t shift = top - SUB_BITS;
    uint32_t sub = (uint32_t)(us >> shift) & (SUB_BUCKETS - 1);
    return (shift + 1) * SUB_BUCKETS + sub;
}

/* The largest value that BUCKET holds. */
static uint64_t
get_upper(uint32_t bucket)
{
    if (bucket < SUB_BUCKETS) {
        return bucket;
    }
    uint32_t shift = bucket / SUB_BUCKETS - 1;
    uint64_t sub = bucket % SUB_BUCKETS + SUB_BUCKETS;
    return ((sub + 1) << shift) - 1;
}

static void
raise_max(Hist *h, uint64_t us)
{
    uint_fast64_t seen = atomic_load(&h->max_us);
    while (us > seen && !atomic_compare_exchange_weak(&h->max_us, &seen, us)) {
    }
}

void
hist_add(Hist *h, uint64_t us)
{
    atomic_fetch_add_explicit(&h->counts[find_bucket(us)], 1,
                              memory_order_relaxed);
    raise_max(h, us);
    atomic_fetch_add(&h->total, 1);
}

uint64_t
hist_count(const Hist *h)
{
    return atomic_load(&h->total);
}

uint64_t
hist_max(const Hist *h)
{
    return atomic_load(&h->max_us);
}

uint64_t
hist_quantile(const Hist *h, uint32_t permille)
{
    uint64_t total = atomic_load(&h->total);
    uint64_t max_us = atomic_load(&h->max_us);
    uint64_t rank = (total * permille + 999) / 1000;
    uint64_t seen = 0;
    for (uint32_t i = 0; i < BUCKETS && total > 0; i++) {
        seen += atomic_load(&h->counts[i]);
        if (seen >= MAX(rank, 1)) {
            return i == BUCKETS - 1 ? max_us : MIN(get_upper(i), max_us);
        }
    }
    return max_us;
}

void
hist_merge(Hist *into, const Hist *from)
{
    for (uint32_t i = 0; i < BUCKETS; i++) {
        atomic_fetch_add(&into->counts[i], atomic_load(&from->counts[i]));
    }
    raise_max(into, atomic_load(&from->max_us));
    atomic_fetch_add(&into->total, atomic_load(&from->total));
}
