/* po: what the caller of an event stream has, and where the stream goes on
   after a break.

   A run of the request that goes on may repeat events: those up to the last
   one that the caller has are left out.  Ids need not be numbers, nor rise.

   Workload: one object for each open stream.

   No I/O or clock. */
#ifndef STREAM_POSITION_H
#define STREAM_POSITION_H

#include "event_stream.h"

typedef struct Po Po;

/* AFTER: id of the last event that the caller had before; -1: none. */
Po *po_create(int64_t after);
void po_destroy(Po *p);

/* The next run begins behind po_get_id. */
void po_start_run(Po *p);
/* The run brought EVENT.  True: it is new to the caller, and counts as passed
   on to it. */
bool po_take(Po *p, const EsEvent *event);
/* An event was passed on. */
bool po_has_begun(const Po *p);
/* False: the caller has events behind the last one with an id, so that no run
   could go on behind them. */
bool po_may_resume(const Po *p);
/* Id of the last event that the caller got here; NULL: none. */
const char *po_get_id(const Po *p);

#endif
