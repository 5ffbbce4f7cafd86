#include "client_gate.h"

#include <pthread.h>

/* So much is never refused: each thread may hold it besides, so that ordinary
   requests pass while large ones fill the rest. */
#define SMALL_BYTES (64 * 1024)
/* For those that were interrupted to give up what they hold. */
#define MAX_WAIT_MS 500

struct Cg {
    pthread_mutex_t lock;
    pthread_cond_t left;
    Cm *memory;
    uint64_t yielding_bytes; /* of those interrupted, which still hold them */
};

Cg *
cg_create(uint64_t limit_bytes)
{
    Cg *g = g_new0(Cg, 1);
    pthread_mutex_init(&g->lock, NULL);
    pthread_cond_init(&g->left, NULL);
    g->memory = cm_create(limit_bytes);
    return g;
}

void
cg_destroy(Cg *g)
{
    cm_destroy(g->memory);
    pthread_cond_destroy(&g->left);
    pthread_mutex_destroy(&g->lock);
    g_free(g);
}

static void
set_held(Cg *g, CgHolder *h, uint64_t bytes, bool reading)
{
    cm_set(g->memory, &h->held, bytes, reading ? CM_READING : CM_FIXED,
           h->arrival_ms);
    h->held.owner = h;
}

static void
interrupt_one(Cg *g, CgHolder *h)
{
    h->yields = true;
    g->yielding_bytes += h->held.bytes;
    set_held(g, h, h->held.bytes, false);
    bg_count("router_clients_shed_total", 1);
    h->interrupt(h->ctx);
}

/* False: H itself weighs most, or nobody else can yield. */
static bool
make_room(Cg *g, const CgHolder *h)
{
    while (cm_get_sum(g->memory) >
           cm_get_limit(g->memory) + g->yielding_bytes) {
        const CmHolder *first = cm_pick(g->memory, bg_now_ms());
        if (!first || first->owner == h) {
            return false;
        }
        interrupt_one(g, first->owner);
    }
    return true;
}

/* Until those that were interrupted have left; false: they didn't in time. */
static bool
await_room(Cg *g)
{
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_nsec += MAX_WAIT_MS * 1000000L;
    until.tv_sec += until.tv_nsec / 1000000000L;
    until.tv_nsec %= 1000000000L;
    while (cm_is_over(g->memory)) {
        if (pthread_cond_timedwait(&g->left, &g->lock, &until) != 0) {
            return !cm_is_over(g->memory);
        }
    }
    return true;
}

static bool
try_hold(Cg *g, CgHolder *h, uint64_t bytes, bool reading)
{
    uint64_t before_bytes = h->held.link ? h->held.bytes : 0;
    if (h->yields) {
        return false;
    }
    set_held(g, h, bytes, reading);
    if (bytes <= SMALL_BYTES || bytes <= before_bytes) {
        return true;
    }
    if (make_room(g, h) && await_room(g) && !h->yields) {
        return true;
    }
    if (!h->yields) {
        set_held(g, h, before_bytes, reading);
    }
    return false;
}

bool
cg_hold(Cg *g, CgHolder *h, uint64_t bytes, bool reading)
{
    pthread_mutex_lock(&g->lock);
    bool holds = try_hold(g, h, bytes, reading);
    pthread_mutex_unlock(&g->lock);
    return holds;
}

bool
cg_must_yield(Cg *g, CgHolder *h)
{
    pthread_mutex_lock(&g->lock);
    bool yields = h->yields;
    pthread_mutex_unlock(&g->lock);
    return yields;
}

void
cg_leave(Cg *g, CgHolder *h)
{
    pthread_mutex_lock(&g->lock);
    if (h->yields) {
        g->yielding_bytes -= h->held.bytes;
    }
    cm_remove(g->memory, &h->held);
    pthread_cond_broadcast(&g->left);
    pthread_mutex_unlock(&g->lock);
}

uint64_t
cg_get_sum(Cg *g)
{
    pthread_mutex_lock(&g->lock);
    uint64_t bytes = cm_get_sum(g->memory);
    pthread_mutex_unlock(&g->lock);
    return bytes;
}

uint64_t
cg_take_peak(Cg *g)
{
    pthread_mutex_lock(&g->lock);
    uint64_t bytes = cm_take_peak(g->memory);
    pthread_mutex_unlock(&g->lock);
    return bytes;
}
