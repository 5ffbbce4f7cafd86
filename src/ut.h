/* ut: the upstreams that a gateway knows, what they hold, how they do, and
   the choice among them.  Fed by their entries in the store, by the word of
   the VM that places models, and by the ends of this gateway's own calls.
   No threads, I/O or clock. */
#ifndef UT_H
#define UT_H

#include "bg_base.h"
#include "dep.h"

typedef struct {
    const char *data_centre; /* of this gateway */
    uint64_t seed;
} UtParams;

typedef struct UtSet UtSet;
typedef struct Ut Ut;

UtSet *ut_create(const UtParams *params);
void ut_destroy(UtSet *s);

/* ENTRY is taken over.  True: the upstream is new, another than before under
   its id, or it leaves. */
bool ut_on_entry(UtSet *s, uint64_t now_ms, DepUpstream *entry);
void ut_on_gone(UtSet *s, uint64_t now_ms, const char *id);
/* Only IDS (a set of char *) are left. */
void ut_keep_only(UtSet *s, uint64_t now_ms, GHashTable *ids);
/* What the placing VM says that UPSTREAM holds: DepResident list, taken
   over.  It goes before the entry, until ut_mark_placement_stale. */
void ut_on_placement(UtSet *s, uint64_t now_ms, const char *id,
                     GPtrArray *models);
/* As told, and not placed since. */
bool ut_is_reported_unreachable(const UtSet *s, const char *id);
/* That list; NULL: none was told, or it may be over. */
const GPtrArray *ut_get_placement(const UtSet *s, const char *id);
/* The placing VM could not reach it: it is left alone, but for a single try
   now and then, until it is placed anew or answers here. */
void ut_on_unreachable(UtSet *s, uint64_t now_ms, const char *id);
/* The placing VM is not heard any more: what it told counts only until an
   upstream's next entry, which is read from now on and is newer. */
void ut_mark_placement_stale(UtSet *s);

/* Who could serve. */
typedef struct {
    const char *service;
    const char *model;      /* NULL: any upstream of the service */
    const char *adapter;    /* NULL: the model itself */
    uint64_t affinity;      /* digest of the shared leading parts; 0: none */
    uint32_t shared_tokens; /* of these parts */
    uint32_t prompt_tokens;
    uint32_t max_wait_ms; /* where about as much wait is told nothing is sent;
                              0: any */
    uint32_t draw;        /* of this request, by chance: 0 to 99 */
    const GPtrArray *tried; /* Ut * that are not to be used again, or NULL */
} UtQuery;

typedef enum {
    UT_FOUND,
    UT_NONE,        /* the service has no upstream at all */
    UT_COLD,        /* nobody holds the model */
    UT_ADAPTER,     /* the model is held, the adapter is not */
    UT_TRIED,       /* all that could serve were tried */
    UT_FULL,        /* all that could serve have as much as they take */
    UT_UNREACHABLE, /* none that could serve can be reached just now */
    UT_BUSY /* all that could serve have more than they serve in time */
} UtChoice;

/* The upstream to send to now, in *OUT if UT_FOUND; if UT_BUSY, the one with
   the least wait. */
UtChoice ut_choose(UtSet *s, uint64_t now_ms, const UtQuery *q, Ut **out);

/* A call to U starts; U stays valid until ut_finish. */
void ut_start(Ut *u);

typedef enum {
    UT_OUTCOME_GOOD,        /* it answered */
    UT_OUTCOME_FAILED,      /* it failed the request, or broke off */
    UT_OUTCOME_UNREACHABLE, /* it can't be reached */
    UT_OUTCOME_SILENT,      /* it did not answer in time */
    UT_OUTCOME_SHED,        /* it said that it ran nothing: it is full */
    UT_OUTCOME_NEUTRAL      /* tells nothing of it */
} UtOutcome;

/* FIRST_MS: to its first byte; 0: not known. */
void ut_finish(UtSet *s, Ut *u, uint64_t now_ms, UtOutcome end,
               uint32_t first_ms, const UtQuery *q);
/* It said that it does not hold this (for now). */
void ut_note_absent(UtSet *s, Ut *u, uint64_t now_ms, const char *model,
                    const char *adapter);
/* What an answer said of its load. */
void ut_note_load(Ut *u, uint64_t now_ms, uint32_t running, uint32_t waiting);
/* What all gateways together have running at an upstream, and how long one
   that comes now waits for its first byte behind those that wait. */
typedef struct {
    uint32_t key; /* ut_make_key of its id */
    uint32_t running;
    uint32_t wait_ms;
    bool stalled; /* requests wait there, and no answer begins */
} UtTotal;

uint32_t ut_make_key(const char *id);
/* Totals that changed, as the placing VM tells them; WHOLE: all others are
   none.  They hold as long as it is heard, so it says that they do, also
   without any. */
void ut_on_totals(UtSet *s, uint64_t now_ms, const UtTotal *totals, size_t n,
                  bool whole);
/* VISIT each that is not none. */
void ut_visit_totals(const UtSet *s,
                     void (*visit)(void *ctx, const UtTotal *total),
                     void *ctx);
/* VISIT each upstream with what it holds, as last told: DepResident list. */
void ut_visit(const UtSet *s,
              void (*visit)(void *ctx, const DepUpstream *entry,
                            const GPtrArray *models),
              void *ctx);
/* That wait, as last told and so long ago as counts; 0: none is known. */
uint32_t ut_get_wait_ms(const Ut *u, uint64_t now_ms);
/* A first byte within so long is usual for this query; 0: not known. */
uint32_t ut_get_usual_ms(const UtSet *s, const Ut *u, const UtQuery *q);

const char *ut_get_id(const Ut *u);
const char *ut_get_address(const Ut *u);
bool ut_is_gone(const Ut *u);
/* It could not be reached by the last call that ended there. */
bool ut_is_unreachable(const Ut *u);
uint32_t ut_get_running(const Ut *u);
/* Ours and what is known of others'. */
double ut_get_load(const Ut *u, uint64_t now_ms);
/* It begins answers, as far as is known: of all gateways while the placing VM
   is heard, else of this one. */
bool ut_is_alive(const Ut *u, uint64_t now_ms);
uint32_t ut_count(const UtSet *s);
bool ut_knows(const UtSet *s, const char *id);

#endif
