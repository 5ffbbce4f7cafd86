/* dm: the demand of many gateways, aggregated: which models their callers ask
   for, and which upstreams serve them.

   A source (a gateway, or a relay with the aggregate of its gateways) sends a
   snapshot once and then deltas with the rows that changed.  dm_apply adds an
   update to the aggregate; dm_collect returns the sums that changed, which can
   be applied to another aggregate as they are.  Levels (such as waiting) are
   current values of a source.  Counts (such as arrived) are added up and
   cover the time since the previous update or collection.

   Values without threads, I/O or clock.

   Workload: hundreds of gateways with a few requests each, which report
   several times a second with few changes between reports. */
#ifndef DEMAND_AGGREGATE_H
#define DEMAND_AGGREGATE_H

#include "base.h"

/* Demand for one model or adapter.  Waiting and running are levels; the others
   are counts since the last update. */
typedef struct {
    char *model;
    char *adapter;    /* NULL: the model itself */
    char *version;    /* only on upstreams of this software version, and only
                         the waiting ones; NULL: on any */
    uint32_t waiting; /* requests, for it to be loaded */
    uint32_t running;
    uint32_t arrived;
    uint32_t tight_deadline; /* of these, due before a load from disk ends */
    uint32_t refused;        /* of these, because too many wait already */
} DmModelDemand;

/* Requests on one upstream for one model or adapter; levels. */
typedef struct {
    char *upstream;
    char *model;
    char *adapter; /* NULL: the model itself */
    uint32_t running;
    uint32_t queued; /* of these, waiting for the first byte of the answer */
    uint32_t slow;   /* of these, about to be late: the wait for the first
                        byte, or a pause in the answer, has used up much of
                        what their route allows */
} DmUse;

/* Answers that began on one upstream. */
typedef struct {
    char *upstream;
    uint32_t count; /* since the last update */
} DmAnswerStarts;

typedef struct {
    bool whole; /* a snapshot: rows left out are zero; otherwise a delta:
                   they are unchanged */
    GPtrArray *model_demands; /* DmModelDemand */
    GPtrArray *uses;          /* DmUse */
    GPtrArray *answer_starts; /* DmAnswerStarts */
} DmDemand;

DmDemand *dm_create_demand(bool whole);
void dm_destroy_demand(DmDemand *d);
DmModelDemand *dm_add_model_demand(DmDemand *d, const char *model,
                                   const char *adapter);
DmUse *dm_add_use(DmDemand *d, const char *upstream, const char *model,
                  const char *adapter);
void dm_add_answer_starts(DmDemand *d, const char *upstream, uint32_t count);

typedef struct Dm Dm;

Dm *dm_create(void);
void dm_destroy(Dm *l);
/* Apply an update of SOURCE.  True: more requests wait than before for some
   model or adapter. */
bool dm_apply(Dm *l, uint64_t now_ms, const char *source, const DmDemand *d);
/* Remove SOURCE and its contributions. */
void dm_remove_source(Dm *l, const char *source);
/* Remove all sources without an update for LIFE_MS. */
void dm_expire_sources(Dm *l, uint64_t now_ms, uint32_t life_ms);
/* The sums that changed since the last collection, or all of them if WHOLE,
   with the counts since then; free with dm_destroy_demand. */
DmDemand *dm_collect(Dm *l, bool whole);
/* SOURCE has waiting requests. */
bool dm_has_waiting(const Dm *l, const char *source);
uint32_t dm_count_waiting(const Dm *l);
uint32_t dm_count_sources(const Dm *l);

#endif
