/* fold: the replicated state machine.  It applies the log's records in offset
   order to the configuration, the placement, the idempotency keys and the
   record of requests after which upstreams died.

   Deterministic: the same entries give the same state in every process.  A
   conditional record (compare and set) takes effect only if the version or
   epoch that it names is current at its offset.  Otherwise it changes nothing
   and is reported to the observer as a conflict.  No clock, threads or I/O;
   one thread owns a Fold. */
#ifndef FOLD_H
#define FOLD_H

#include "base.h"
#include "bglade.pb-c.h"
#include "cfg.h"
#include "keys.h"

typedef enum {
    FOLD_APPLIED,  /* took effect */
    FOLD_CONFLICT, /* its preconditions did not hold at its offset */
    FOLD_INVALID   /* its content is invalid; never takes effect */
} FoldResult;

/* Called once for each record, in order.  WHY: the reason of a conflict or
   of an invalid record, else empty. */
typedef void (*FoldObserver)(void *ctx, uint64_t offset, const char *batch_id,
                             const Bg__Record *r, FoldResult result,
                             const char *why);

typedef struct Fold Fold;

Fold *fold_create(void);
void fold_destroy(Fold *f);
void fold_set_observer(Fold *f, FoldObserver observe, void *ctx);

/* Apply the entry at OFFSET.  Offsets at or below the applied one are
   ignored.  A batch that does not decode advances the offset and changes
   nothing else (BG_ERR_FORMAT).  A batch of a newer format changes nothing
   at all (BG_ERR_NEWER): the fold stays at the offset before it. */
bool fold_apply(Fold *f, uint64_t offset, const uint8_t *data, size_t len,
                GError **err);
/* Offset of the last entry applied; 0: none. */
uint64_t fold_get_offset(const Fold *f);
/* Running digest of all entries applied, in order.  If it differs between
   two processes at one offset, they have read different logs. */
uint64_t fold_get_chain(const Fold *f);

/* ---- serialized state ---------------------------------------------------
   Equal states have equal bytes. */
GByteArray *fold_encode(const Fold *f);
/* A digest of those bytes, comparable between processes at one offset. */
uint64_t fold_digest(const Fold *f);
/* Replace the state by DATA, made by fold_encode, if its offset is above the
   applied one.  BG_ERR_CONFLICT when it is not, BG_ERR_FORMAT or
   BG_ERR_NEWER when it can't be read; the state is then unchanged.  The
   observer stays and is not called for the records in between. */
bool fold_restore(Fold *f, const uint8_t *data, size_t len, GError **err);

/* A checkpoint in the log: a serialized state, cut into chunks. */
typedef struct {
    char *id;
    uint64_t covered;      /* offset of the state in it */
    uint64_t first_offset; /* of its records in the log */
    uint64_t last_offset;
    uint32_t chunks;
    uint8_t *seen; /* per chunk: whether it was read */
} FoldCheckpoint;

/* The newest checkpoint of which all chunks were read, or NULL. */
const FoldCheckpoint *fold_get_checkpoint(const Fold *f);
/* Whether one was read in part: a process may be writing it. */
bool fold_has_pending_checkpoint(const Fold *f);
/* Entries since the newest checkpoint, without those of checkpoints. */
uint64_t fold_count_entries_since(const Fold *f);

/* ---- configuration ------------------------------------------------------ */
typedef struct {
    uint64_t version; /* offset of its record */
    char *template_text;
    char **values_text; /* one per workspace; NULL-terminated */
    char *author;
    char *note;
    uint64_t wall_ms;
} FoldConfig;

/* The set in force; the caller gets a reference. */
CfgSet *fold_get_config(const Fold *f);
/* Current version of template NAME, or NULL. */
const FoldConfig *fold_find_template(const Fold *f, const char *name);
/* Retained versions of NAME (FoldConfig), oldest first, or NULL. */
const GPtrArray *fold_get_history(const Fold *f, const char *name);
/* Names of all templates, sorted; free with g_ptr_array_free(.., TRUE). */
GPtrArray *fold_list_templates(const Fold *f);

/* ---- placement ---------------------------------------------------------- */
typedef struct {
    char *holder;
    uint64_t epoch; /* offset of the claim; also the fencing token */
} FoldClaim;

/* A load that was recorded and not settled as absent.  Its memory and its
   replica count against the limits, whether or not it was loaded. */
typedef struct {
    char *upstream;
    char *model;
    char *load_id;
    uint32_t memory_mb;
    uint64_t epoch; /* of the owner that recorded it */
    bool fenced;    /* the upstream refuses old fencing tokens */
    bool adapter;
    bool loaded;  /* the upstream reported it as loaded */
    char *boot;   /* upstream's process instance that its orders are for */
    GArray *open; /* uint64_t: epochs whose orders may still arrive */
} FoldIntent;

#define FOLD_MAX_GRANTS 16 /* per data centre, not cleared */

/* Standing grant: upstreams on which the owner of an epoch may load without
   an intent while the log is unreachable, see placer_ownership.c. */
typedef struct {
    uint64_t first_epoch; /* first and last claim with this list */
    uint64_t last_epoch;
    GPtrArray *upstreams;   /* names, sorted */
    GPtrArray *deployments; /* deployment of each upstream */
} FoldGrant;

/* The claim on DATA_CENTRE, or NULL. */
const FoldClaim *fold_find_claim(const Fold *f, const char *data_centre);
const FoldIntent *fold_find_intent(const Fold *f, const char *data_centre,
                                   const char *upstream, const char *model);
typedef void (*FoldIntentVisitor)(void *ctx, const FoldIntent *in);
void fold_visit_intents(const Fold *f, const char *data_centre,
                        FoldIntentVisitor visit, void *ctx);
/* Memory counted on UPSTREAM and replicas counted of MODEL. */
uint32_t fold_count_memory(const Fold *f, const char *data_centre,
                           const char *upstream);
uint32_t fold_count_replicas(const Fold *f, const char *data_centre,
                             const char *model);
/* Whether an order of an epoch other than EXCEPT may still arrive. */
bool fold_has_pending_order(const FoldIntent *in, uint64_t except);
/* Grants of DATA_CENTRE not yet cleared (FoldGrant), or NULL. */
const GPtrArray *fold_get_grants(const Fold *f, const char *data_centre);
/* Whether the owner of EPOCH has recorded that it sends no more orders and
   that none is in flight, except those it listed. */
bool fold_is_quiesced(const Fold *f, const char *data_centre, uint64_t epoch);

/* ---- non-idempotent calls ----------------------------------------------- */
const KeyEntry *fold_find_key(const Fold *f, const char *workspace,
                              const char *key);
uint32_t fold_count_keys(const Fold *f);

/* ---- deadly requests ---------------------------------------------------- */
/* A request is deadly if upstreams crash while they run it.  It is
   quarantined after the death of this many distinct upstreams.  One death is
   not enough: it is counted for every request in flight on that upstream. */
#define FOLD_DEATHS_TO_QUARANTINE 2

/* Number of distinct upstreams that died while they ran this request. */
uint32_t fold_count_deaths(const Fold *f, const uint8_t digest[32]);
/* Whether UPSTREAM is one of them. */
bool fold_has_death(const Fold *f, const uint8_t digest[32],
                    const char *upstream);

/* The whole state as JSON text for dumps; free with g_free. */
char *fold_dump(const Fold *f);

#endif
