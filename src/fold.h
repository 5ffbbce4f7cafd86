/* fold: the state that the log's records make, in offset order.

   Deterministic: the same entries give the same state in every process.  A
   conditional record takes effect only if what it builds on is current at
   its offset; otherwise it loses, visibly, and changes nothing.  No clock,
   threads or I/O inside; one thread owns a Fold. */
#ifndef FOLD_H
#define FOLD_H

#include "bg_base.h"
#include "bglade.pb-c.h"
#include "cfg.h"

typedef enum {
    FOLD_WON,  /* took effect */
    FOLD_LOST, /* what it builds on was not current */
    FOLD_BAD   /* breaks a rule of its own; never takes effect */
} FoldResult;

/* Told of each record once, in order.  WHY is set for LOST and BAD. */
typedef void (*FoldObserver)(void *ctx, uint64_t offset, const char *batch_id,
                             const Bg__Record *r, FoldResult result,
                             const char *why);

typedef struct Fold Fold;

Fold *fold_create(void);
void fold_destroy(Fold *f);
void fold_set_observer(Fold *f, FoldObserver observe, void *ctx);

/* Apply the entry at OFFSET.  Offsets at or below the applied one are
   passed over.  A batch that does not decode moves the offset on and
   changes nothing else (BG_ERR_FORMAT).  A batch of a newer format changes
   nothing at all (BG_ERR_NEWER): the fold holds at the offset before it. */
bool fold_apply(Fold *f, uint64_t offset, const uint8_t *data, size_t len,
                GError **err);
/* Offset of the last entry applied; 0: none. */
uint64_t fold_get_offset(const Fold *f);
/* A digest of all entries applied, in their order: two processes at one
   offset with different ones have read different logs. */
uint64_t fold_get_chain(const Fold *f);

/* ---- whole state --------------------------------------------------------
   The state as bytes: equal states have equal bytes. */
GByteArray *fold_encode(const Fold *f);
/* A digest of those bytes, comparable between processes at one offset. */
uint64_t fold_digest(const Fold *f);
/* Take the state in DATA, made by fold_encode, if its offset is above the
   applied one; BG_ERR_CONFLICT when it is not, BG_ERR_FORMAT or
   BG_ERR_NEWER when it can't be read.  All or nothing; the observer stays
   and is told of no record. */
bool fold_restore(Fold *f, const uint8_t *data, size_t len, GError **err);

/* A checkpoint in the log.  covered: the offset its state stands at. */
typedef struct {
    char *id;
    uint64_t covered;
    uint64_t first_offset; /* of its records in the log */
    uint64_t last_offset;
    uint32_t chunks;
    uint8_t *seen; /* one flag a chunk */
} FoldCheckpoint;

/* The newest whole checkpoint that was read, or NULL. */
const FoldCheckpoint *fold_get_checkpoint(const Fold *f);
/* Whether one is being written. */
bool fold_has_pending_checkpoint(const Fold *f);
/* Entries, checkpoints left out, since it was whole. */
uint64_t fold_count_entries_since(const Fold *f);

/* ---- configuration ------------------------------------------------------ */
typedef struct {
    uint64_t version; /* offset */
    char *template_text;
    char **values_text; /* NULL-ended */
    char *author;
    char *note;
    uint64_t wall_ms;
} FoldConfig;

/* The set in force; a reference for the caller. */
CfgSet *fold_get_config(const Fold *f);
/* Current source of template NAME, or NULL. */
const FoldConfig *fold_find_template(const Fold *f, const char *name);
/* Kept versions of NAME, oldest first (FoldConfig), or NULL. */
const GPtrArray *fold_get_history(const Fold *f, const char *name);
/* Names of all templates, sorted; free with g_ptr_array_free(.., TRUE). */
GPtrArray *fold_list_templates(const Fold *f);

/* ---- placement ---------------------------------------------------------- */
typedef struct {
    char *holder;
    uint64_t epoch; /* offset of the claim: the fencing number */
} FoldClaim;

/* A load that was recorded and not settled as absent: its memory and its
   replica count, loaded or not. */
typedef struct {
    char *upstream;
    char *model;
    char *load_id;
    uint32_t memory_mb;
    uint64_t epoch; /* of the owner that recorded it */
    bool fenced;    /* the upstream refuses old fencing numbers */
    bool adapter;
    bool loaded; /* the upstream was seen to hold it */
} FoldIntent;

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
/* Whether the owner of EPOCH has said that none of its orders is still
   under way. */
bool fold_is_quiesced(const Fold *f, const char *data_centre, uint64_t epoch);

/* ---- non-idempotent calls ----------------------------------------------- */
typedef struct {
    Bg__KeyStep step; /* CLAIM: under way; RESULT; UNKNOWN */
    char *attempt_id;
    uint8_t request_digest[32];
    uint64_t expires_wall_ms; /* a claim past it may have run */
    uint32_t status;
    char *content_type;
    uint8_t *body;
    size_t body_len;
} FoldKey;

const FoldKey *fold_find_key(const Fold *f, const char *workspace,
                             const char *key);
uint32_t fold_count_keys(const Fold *f);

/* ---- deadly requests ---------------------------------------------------- */
/* How many distinct upstreams died while they ran this request. */
uint32_t fold_count_deaths(const Fold *f, const uint8_t digest[32]);

/* The whole state as JSON text for dumps; free with g_free. */
char *fold_dump(const Fold *f);

#endif
