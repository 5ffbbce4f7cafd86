#include "keep.h"

#define KEEP_MIN_MS 64u
/* Weight of older gaps is multiplied by this for each new one: about the last
   30 gaps count. */
#define KEEP_DECAY 0.97f
#define KEEP_MIN_TOTAL 4.0f
/* A learnt timeout is at most this many times the break-even point, which
   bounds the loss when the pattern of use changes. */
#define KEEP_MAX_STRETCH 2.0

static uint64_t
get_edge_ms(int bucket)
{
    uint64_t octave_ms = (uint64_t)KEEP_MIN_MS
                         << (bucket / KEEP_OCTAVE_BUCKETS);
    return octave_ms + octave_ms *
                           (uint64_t)(bucket % KEEP_OCTAVE_BUCKETS + 1) /
                           KEEP_OCTAVE_BUCKETS;
}

static int
find_bucket(uint64_t gap_ms)
{
    int at = 0;
    while (at < KEEP_BUCKETS - 1 && get_edge_ms(at) < gap_ms) {
        at++;
    }
    return at;
}

void
keep_add_gap(KeepStats *s, uint64_t gap_ms)
{
    for (int i = 0; i < KEEP_BUCKETS; i++) {
        s->counts[i] *= KEEP_DECAY;
    }
    s->total = s->total * KEEP_DECAY + 1.0f;
    s->counts[find_bucket(gap_ms)] += 1.0f;
}

uint64_t
keep_choose_ms(const KeepStats *s, double cold_cost, double idle_cost)
{
    double even_ms = cold_cost / idle_cost;
    if (s->total < KEEP_MIN_TOTAL) {
        return (uint64_t)even_ms;
    }
    /* Starts from timeout 0, where every gap ends in a cold start.  Each
       further edge adds a bucket of gaps through which the replica stays
       loaded. */
    double kept = 0;
    double cold = (double)s->total;
    double best_cost = cold * cold_cost;
    uint64_t best_ms = 0;
    for (int i = 0; i < KEEP_BUCKETS; i++) {
        double edge_ms = (double)get_edge_ms(i);
        if (edge_ms > even_ms * KEEP_MAX_STRETCH) {
            break;
        }
        kept += (double)s->counts[i] * edge_ms * idle_cost;
        cold -= (double)s->counts[i];
        double cost = kept + cold * (edge_ms * idle_cost + cold_cost);
        if (cost < best_cost) {
            best_cost = cost;
            best_ms = (uint64_t)edge_ms;
        }
    }
    return best_ms;
}
