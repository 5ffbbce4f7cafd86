/* ring: a bounded FIFO queue of pointers between threads, for any number of
   producers and consumers. */
#ifndef RING_H
#define RING_H

#include "base.h"

typedef struct Ring Ring;

/* CAPACITY: max. number of items. */
Ring *ring_create(uint32_t capacity);
/* Remaining items are passed to FREE_ITEM if it is not NULL. */
void ring_destroy(Ring *r, void (*free_item)(void *));

/* Adds ITEM.  False: the ring is full or closed, and the caller still owns
   ITEM. */
bool ring_push(Ring *r, void *item);
/* Removes the oldest item, waiting up to WAIT_MS for one; NULL: none came. */
void *ring_pop(Ring *r, uint32_t wait_ms);
/* Refuses further pushes and wakes all waiting threads. */
void ring_close(Ring *r);
uint32_t ring_count(Ring *r);

#endif
