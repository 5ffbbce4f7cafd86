/* ring: a bounded queue of pointers between threads.  Many may push, one
   or many may pop. */
#ifndef RING_H
#define RING_H

#include "bg_base.h"

typedef struct Ring Ring;

/* CAPACITY items at most. */
Ring *ring_create(uint32_t capacity);
/* Items still inside are passed to FREE_ITEM if it is not NULL. */
void ring_destroy(Ring *r, void (*free_item)(void *));

/* Add ITEM; false when the ring is full or closed (ITEM stays yours). */
bool ring_push(Ring *r, void *item);
/* Take the oldest item, waiting up to WAIT_MS; NULL when none came. */
void *ring_pop(Ring *r, uint32_t wait_ms);
/* Refuse further pushes and wake every waiter. */
void ring_close(Ring *r);
uint32_t ring_count(Ring *r);

#endif
