#include "ring.h"

#include <pthread.h>
#include <time.h>

struct Ring {
    pthread_mutex_t lock;
    pthread_cond_t filled;
    uint32_t capacity;
    uint32_t head;  /* next to pop */
    uint32_t count; /* <= capacity */
    bool closed;
    void *items[];
};

Ring *
ring_create(uint32_t capacity)
{
    Ring *r = g_malloc0(sizeof(*r) + capacity * sizeof(void *));
    r->capacity = capacity;
    pthread_mutex_init(&r->lock, NULL);
    pthread_condattr_t attr;
    pthread_condattr_init(&attr);
    pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
    pthread_cond_init(&r->filled, &attr);
    pthread_condattr_destroy(&attr);
    return r;
}

void
ring_destroy(Ring *r, void (*free_item)(void *))
{
    while (r->count > 0) {
        if (free_item) {
            free_item(r->items[r->head]);
        }
        r->head = (r->head + 1) % r->capacity;
        r->count--;
    }
    pthread_cond_destroy(&r->filled);
    pthread_mutex_destroy(&r->lock);
    g_free(r);
}

bool
ring_push(Ring *r, void *item)
{
    pthread_mutex_lock(&r->lock);
    bool taken = !r->closed && r->count < r->capacity;
    if (taken) {
        r->items[(r->head + r->count) % r->capacity] = item;
        r->count++;
        pthread_cond_signal(&r->filled);
    }
    pthread_mutex_unlock(&r->lock);
    return taken;
}

static void
compute_until(struct timespec *ts, uint32_t wait_ms)
{
    clock_gettime(CLOCK_MONOTONIC, ts);
    ts->tv_sec += wait_ms / 1000;
    ts->tv_nsec += (long)(wait_ms % 1000) * 1000000;
    if (ts->tv_nsec >= 1000000000) {
        ts->tv_sec++;
        ts->tv_nsec -= 1000000000;
    }
}

void *
ring_pop(Ring *r, uint32_t wait_ms)
{
    struct timespec until;
    compute_until(&until, wait_ms);
    void *item = NULL;
    pthread_mutex_lock(&r->lock);
    while (r->count == 0 && !r->closed && wait_ms > 0) {
        if (pthread_cond_timedwait(&r->filled, &r->lock, &until) != 0) {
            break;
        }
    }
    if (r->count > 0) {
        item = r->items[r->head];
        r->head = (r->head + 1) % r->capacity;
        r->count--;
    }
    pthread_mutex_unlock(&r->lock);
    return item;
}

void
ring_close(Ring *r)
{
    pthread_mutex_lock(&r->lock);
    r->closed = true;
    pthread_cond_broadcast(&r->filled);
    pthread_mutex_unlock(&r->lock);
}

uint32_t
ring_count(Ring *r)
{
    pthread_mutex_lock(&r->lock);
    uint32_t n = r->count;
    pthread_mutex_unlock(&r->lock);
    return n;
}
