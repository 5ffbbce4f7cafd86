/* ut: the table of upstreams known to a gateway (loaded models, load, health)
   and the choice of the upstream for a request.  Its inputs are the entries
   of upstreams in the store, the placement and load totals published by the
   leader (the VM that places models), and the outcomes of this gateway's own
   calls.

   No threads, I/O or clock: callers pass the time in. */
#ifndef UPSTREAM_TABLE_H
#define UPSTREAM_TABLE_H

#include "base.h"
#include "gateway_types.h"
#include "upstream_limits.h"
#include "upstream_notices.h"

typedef struct {
    const char *data_centre; /* of this gateway */
    uint64_t seed;
    Ul *limits;  /* borrowed; NULL: no upstream is limited */
    Un *notices; /* borrowed; NULL: no upstream says anything of itself */
} UtParams;

typedef struct UtSet UtSet;
typedef struct Ut Ut;

UtSet *ut_create(const UtParams *params);
void ut_destroy(UtSet *s);

/* Takes ownership of ENTRY.  Returns true if the upstream is new, replaces
   another one with the same id, or has begun to drain, or if its version was
   not known before.  A version that is known isn't lost by an entry that has
   none. */
bool ut_on_entry(UtSet *s, uint64_t now_ms, DepUpstream *entry);
void ut_on_gone(UtSet *s, uint64_t now_ms, const char *id);
/* Removes all upstreams but IDS (a set of char *). */
void ut_keep_only(UtSet *s, uint64_t now_ms, GHashTable *ids);
/* The leader published what upstream ID holds.  Takes ownership of MODELS
   (DepResident).  It takes precedence over the upstream's entry until the
   first entry after ut_mark_placement_stale. */
void ut_on_placement(UtSet *s, uint64_t now_ms, const char *id,
                     GPtrArray *models);
/* The leader reported it as unreachable, and since then has published no
   placement for it, nor has it answered this gateway. */
bool ut_is_reported_unreachable(const UtSet *s, const char *id);
/* The models last published by the leader; NULL: none, or stale. */
const GPtrArray *ut_get_placement(const UtSet *s, const char *id);
/* The leader could not reach it, by no way.  It gets only single probes until
   the leader publishes its placement again or it answers this gateway. Ignored
   if it answered this gateway just now: the leader may be the one that is cut
   off. */
void ut_on_unreachable(UtSet *s, uint64_t now_ms, const char *id);
/* Contact with the leader was lost.  Its placement of an upstream is used only
   until the upstream's next entry, which is newer: entries are read from the
   store from now on. */
void ut_mark_placement_stale(UtSet *s);

typedef struct {
    const char *service;
    const char *model;      /* NULL: any upstream of the service */
    const char *adapter;    /* NULL: the model itself */
    const char *version;    /* of its software; NULL: any */
    uint64_t affinity;      /* digest of the shared prompt prefix; 0: none */
    uint32_t shared_tokens; /* of that prefix */
    uint32_t prompt_tokens;
    uint32_t max_wait_ms;   /* longest queue wait, about; 0: any */
    uint32_t draw;          /* random, 0 to 99: varies max_wait_ms */
    const GPtrArray *tried; /* Ut * that are not to be used again, or NULL */
    uint32_t max_slot_wait_ms; /* longest wait for a slot of a limited
                                  upstream */
    uint32_t max_rest_ms;      /* longest wait for the end of a rest */
    const char *slot_at; /* id of a limited upstream of which the request has a
                            slot, or NULL */
} UtQuery;

typedef enum {
    UT_FOUND,
    UT_NONE,        /* the service has no upstream (of that version) */
    UT_COLD,        /* no upstream holds the model */
    UT_ADAPTER,     /* the model is loaded, the adapter is not */
    UT_TRIED,       /* all that could serve were tried */
    UT_FULL,        /* some are left, but have just shed a call */
    UT_UNREACHABLE, /* none that could serve can be reached just now */
    UT_BUSY,        /* the queues of all that could serve are too long */
    UT_ASK,         /* a slot of a limited upstream is needed */
    UT_ASK_BRIEFLY, /* the same, but others could serve it without one */
    UT_LIMITED,     /* all that could serve have no slot in time */
    UT_RESTING      /* all that could serve rest */
} UtChoice;

/* A slot isn't waited for longer than this where others could serve the
   request. */
#define UT_BRIEF_SLOT_WAIT_MS 30

/* Sets *OUT to the upstream to send to (UT_FOUND), to ask a slot of (UT_ASK,
   UT_ASK_BRIEFLY), with the shortest queue wait (UT_BUSY), with the shortest
   wait for a slot (UT_LIMITED) or with the first end of a rest (UT_RESTING).
 */
UtChoice ut_choose(UtSet *s, uint64_t now_ms, const UtQuery *q, Ut **out);
/* When a request may be sent to U, if it rests or has just rested; else
   NOW_MS. */
uint64_t ut_get_rested_ms(const Ut *u, uint64_t now_ms);
/* An upstream of Q's service and version neither rests nor leaves: what rests
   elsewhere could be loaded there. */
bool ut_has_awake(const UtSet *s, uint64_t now_ms, const UtQuery *q);
/* The upstream with that id, if U is its process, leaves from now on.  Returns
   its entry, which says so too; NULL: it wasn't news, or another process has
   the id. */
const DepUpstream *ut_on_leaving(UtSet *s, const UnProcess *u);
/* Calls VISIT for each upstream that leaves and is still listed. */
void ut_visit_leaving(const UtSet *s,
                      void (*visit)(void *ctx, const DepUpstream *entry),
                      void *ctx);

/* A call to U starts.  U stays valid until ut_finish. */
void ut_start(Ut *u);

typedef enum {
    UT_OUTCOME_GOOD,        /* it answered */
    UT_OUTCOME_FAILED,      /* it failed the request, or broke off */
    UT_OUTCOME_UNREACHABLE, /* connection failed */
    UT_OUTCOME_SILENT,      /* it did not answer in time */
    UT_OUTCOME_SHED,        /* it is full; the request was not run */
    UT_OUTCOME_NEUTRAL      /* says nothing about its health */
} UtOutcome;

/* FIRST_MS: time to the first byte; 0: unknown. */
void ut_finish(UtSet *s, Ut *u, uint64_t now_ms, UtOutcome outcome,
               uint32_t first_ms, const UtQuery *q);
/* U answered that it does not have MODEL (with ADAPTER, if not NULL) loaded.
   It is not chosen for it for a short time. */
void ut_note_absent(UtSet *s, Ut *u, uint64_t now_ms, const char *model,
                    const char *adapter);
/* The load that U reported in an answer. */
void ut_note_load(Ut *u, uint64_t now_ms, uint32_t running, uint32_t waiting);
/* Load of an upstream, summed over all gateways. */
typedef struct {
    uint32_t key; /* ut_make_key of its id */
    uint32_t running;
    uint32_t wait_ms; /* estimated time to first byte for a new request, due to
                         the queued ones */
    bool stalled;     /* requests are queued, and no answer begins */
} UtTotal;

uint32_t ut_make_key(const char *id);
/* Totals published by the leader: those that changed, or all (WHOLE: those not
   listed become zero).  Totals expire unless refreshed, so this is called for
   every heartbeat of the leader, with N = 0 if none changed. */
void ut_on_totals(UtSet *s, uint64_t now_ms, const UtTotal *totals, size_t n,
                  bool whole);
/* Calls VISIT for each total with running requests. */
void ut_visit_totals(const UtSet *s,
                     void (*visit)(void *ctx, const UtTotal *total),
                     void *ctx);
/* Calls VISIT for each upstream with the models (DepResident) that it holds,
   by the leader's placement or else by its entry. */
void ut_visit(const UtSet *s,
              void (*visit)(void *ctx, const DepUpstream *entry,
                            const GPtrArray *models),
              void *ctx);
/* UtTotal.wait_ms as last published; 0: unknown or expired. */
uint32_t ut_get_wait_ms(const Ut *u, uint64_t now_ms);
/* Expected time to first byte for this query; 0: unknown. */
uint32_t ut_get_usual_ms(const UtSet *s, const Ut *u, const UtQuery *q);

const char *ut_get_id(const Ut *u);
UnProcess ut_get_process(const Ut *u);
const DepUpstream *ut_get_entry(const Ut *u);
const char *ut_get_address(const Ut *u);
/* Of its software, by its entry; empty: it names none, or it isn't known. */
const char *ut_get_version(const Ut *u);
/* It is no longer listed, or it drains. */
bool ut_is_gone(const Ut *u);
/* A call of this gateway could not reach it, and neither an answer nor a
   placement has come since. */
bool ut_is_unreachable(const Ut *u);
uint32_t ut_get_running(const Ut *u);
/* Running calls of this gateway plus the known load from others. */
double ut_get_load(const Ut *u, uint64_t now_ms);
/* A call of this gateway that it answered ended recently; or the leader's
   totals are current, and by them it has requests of other gateways and is
   neither stalled nor unreachable. */
bool ut_is_alive(const Ut *u, uint64_t now_ms);
uint32_t ut_count(const UtSet *s);
bool ut_knows(const UtSet *s, const char *id);
/* NULL: not known. */
const char *ut_find_address(const UtSet *s, const char *id);
/* An upstream that is listed, and does not drain, has ADDRESS. */
bool ut_has_address(const UtSet *s, const char *address);
/* A random one that is listed; NULL: none. */
const Ut *ut_pick_any(UtSet *s);
/* It is known, and the process that was born at BORN_MS has its id. */
bool ut_is_born(const UtSet *s, const char *id, uint64_t born_ms);
/* The version of some upstream isn't known: its entry came from a gateway
   whose release knows none. */
bool ut_lacks_versions(const UtSet *s);
/* For FOR_MS none of SERVICE's upstreams, also of those that drain, was of
   another version than the others, as far as is known here. */
bool ut_is_single(const UtSet *s, uint64_t now_ms, const char *service,
                  uint64_t for_ms);
/* The one software version of SERVICE's upstreams; NULL: several, none, or not
   known of all. */
const char *ut_find_only_version(const UtSet *s, const char *service);

/* Whether the process behind a connection is the one that an upstream's entry
   describes: an id and an address may be those of its next process before the
   entry says so.  If its report, asked for at ASKED_MS, names the entry's
   birth, then every connection that was open by then leads to that process. */

/* A report was asked for; false: one that was asked for before isn't there
   yet. */
bool ut_ask_process(Ut *u, uint64_t now_ms);
/* BORN_MS: as in that report; 0: none came, or it names no birth. */
void ut_on_process(Ut *u, uint64_t asked_ms, uint64_t born_ms);
/* NULL: not known. */
Ut *ut_find(const UtSet *s, const char *id);
/* A connection to U that was open at OPENED_MS leads to U's process.  Always
   true if U's entry names no birth: then it is known by its id alone. */
bool ut_is_proved(const Ut *u, uint64_t opened_ms);
/* A connection to U that was open at OPENED_MS may lead to another process: no
   report has proved U's process since the leader couldn't reach U, or since
   one was lost at LOST_MS, before this one was opened. */
bool ut_is_doubted(const Ut *u, uint64_t opened_ms, uint64_t lost_ms);
/* 0: unknown, or not given. */
uint64_t ut_get_born_ms(const UtSet *s, const char *id);

#endif
