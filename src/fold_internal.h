/* fold_internal: internals of the fold, shared by fold.c (applies records),
   snap.c (encodes and decodes the state) and fold_dump.c (shows it). */
#ifndef FOLD_INTERNAL_H
#define FOLD_INTERNAL_H

#include "fold.h"

/* The placement of one data centre. */
typedef struct {
    FoldClaim claim;
    GHashTable *intents;  /* "upstream\nmodel" -> FoldIntent */
    GHashTable *memory;   /* upstream -> MB of its intents (GUINT) */
    GHashTable *replicas; /* model -> number of its intents (GUINT) */
    GHashTable *quiesced; /* set of epochs (uint64_t *) */
    GPtrArray *grants;    /* FoldGrant, oldest first */
} Centre;

/* Upstreams that died while they ran one request. */
typedef struct {
    uint8_t digest[32];   /* of the request */
    GPtrArray *upstreams; /* distinct names */
    uint64_t born_ms;     /* time of the first death, see keys_get_born_ms */
    GList *link;          /* in death_order */
} Deaths;

/* Every field but the observer is part of the checkpoint.  A field that is
   added here must be added to its section's encoder and decoder in snap.c, or
   a process that starts from a checkpoint silently differs from the others. */
struct Fold {
    uint64_t offset;
    uint64_t chain; /* digest of all entries applied, in order */
    FoldObserver observe;
    void *observe_ctx;
    GHashTable *batches; /* batch id -> digest of its bytes (uint64_t *) */
    GQueue batch_order;  /* ids, oldest first; owned by the table */
    GHashTable *history; /* template name -> GPtrArray of FoldConfig */
    CfgSet *config;
    GHashTable *centres; /* data centre -> Centre */
    KeyTable *keys;
    GHashTable *deaths;         /* hex digest -> Deaths */
    GQueue death_order;         /* hex digests, oldest first */
    FoldCheckpoint *checkpoint; /* newest complete one, or NULL */
    GPtrArray *pending;         /* incomplete FoldCheckpoint, oldest first */
    uint64_t entries_since;     /* see fold_count_entries_since */
};

/* The state of data centre NAME, created if it does not exist. */
Centre *fold_ensure_centre(Fold *f, const char *name);
/* Add IN and count its memory and replica; takes ownership. */
void fold_add_intent(Centre *c, FoldIntent *in);
/* The deaths of request DIGEST (32 bytes), created with BORN_MS if there are
   none. */
Deaths *fold_ensure_deaths(Fold *f, const uint8_t *digest, uint64_t born_ms);
void fold_add_version(Fold *f, const char *name, FoldConfig *c);
FoldConfig *fold_make_config(const Bg__ConfigRecord *r, uint64_t offset);
void fold_add_batch_id(Fold *f, const char *id, uint64_t digest);
void fold_free_checkpoint(FoldCheckpoint *c);
char *fold_join_pair(const char *a, const char *b);
/* Compile all current templates, CANDIDATE (or NULL) in place of the one of
   its name.  NULL, and the errors in FAULTS, if that fails. */
CfgSet *fold_compile(const Fold *f, const CfgSource *candidate,
                     GString *faults);

#endif
