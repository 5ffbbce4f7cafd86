/* dm: what the callers of many gateways want and use, summed.

   The load that it answers: hundreds of gateways with a few requests each.
   Each tells several times a second, and little of it differs from what it
   told before.  So a source tells all it has once, and then only the rows
   that changed; the ledger hands on only the sums that changed.  Ledgers can
   stand behind each other: what one collects is what another takes.

   Values without threads, I/O or clock. */
#ifndef DM_H
#define DM_H

#include "bg_base.h"

/* What callers of one model or adapter want.  WAITING and RUNNING are as they
   stand; the others have come since the last word. */
typedef struct {
    char *model;
    char *adapter;    /* NULL: the model itself */
    uint32_t waiting; /* callers, for it to be loaded */
    uint32_t running;
    uint32_t arrived;
    uint32_t hurried; /* of these, that are late after a load from a disk */
    uint32_t refused; /* of these, as too many wait already */
} DmModelDemand;

/* Requests on one upstream, as they stand. */
typedef struct {
    char *upstream;
    char *model;
    char *adapter; /* NULL: the model itself */
    uint32_t running;
    uint32_t queued; /* of these, whose answer has not begun */
    uint32_t slow;   /* of these, that are about to come late: they wait for
                        their first byte, or pause, for much of what their
                        route allows */
} DmUse;

/* Answers that began on one upstream since the last word. */
typedef struct {
    char *upstream;
    uint32_t count;
} DmBegan;

typedef struct {
    bool whole;       /* a row that is not named is zero; else unchanged */
    GPtrArray *wants; /* DmModelDemand */
    GPtrArray *uses;  /* DmUse */
    GPtrArray *began; /* DmBegan */
} DmDemand;

DmDemand *dm_create_demand(bool whole);
void dm_destroy_demand(DmDemand *d);
DmModelDemand *dm_add_model_demand(DmDemand *d, const char *model,
                                   const char *adapter);
DmUse *dm_add_use(DmDemand *d, const char *upstream, const char *model,
                  const char *adapter);
void dm_add_began(DmDemand *d, const char *upstream, uint32_t count);

typedef struct Dm Dm;

Dm *dm_create(void);
void dm_destroy(Dm *l);
/* The word of SOURCE at NOW_MS.  True: more callers wait than before. */
bool dm_apply(Dm *l, uint64_t now_ms, const char *source, const DmDemand *d);
/* SOURCE is gone, with all that it wanted and used. */
void dm_remove_source(Dm *l, const char *source);
/* So are those that said nothing for LIFE_MS. */
void dm_expire_sources(Dm *l, uint64_t now_ms, uint32_t life_ms);
/* Sums that changed since the last collection, or all of them if WHOLE, and
   what came since then; to be freed by dm_destroy_demand. */
DmDemand *dm_collect(Dm *l, bool whole);
/* Callers of SOURCE wait. */
bool dm_has_waiting(const Dm *l, const char *source);
uint32_t dm_count_waiting(const Dm *l);
uint32_t dm_count_sources(const Dm *l);

#endif
