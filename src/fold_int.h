/* fold_int: inside of the fold, for fold.c and snap.c only. */
#ifndef FOLD_INT_H
#define FOLD_INT_H

#include "fold.h"

/* What the log says of one data centre's placement. */
typedef struct {
    FoldClaim claim;
    GHashTable *intents;  /* "upstream\nmodel" -> FoldIntent */
    GHashTable *memory;   /* upstream -> MB counted (GUINT) */
    GHashTable *replicas; /* model -> replicas counted (GUINT) */
    GHashTable *quiesced; /* epoch (uint64_t *) -> set */
    GPtrArray *grants;    /* FoldGrant, oldest first */
} Centre;

typedef struct {
    uint8_t digest[32];
    GPtrArray *upstreams; /* distinct names */
    uint64_t born_ms;     /* of the first, see keys_get_born_ms */
    GList *link;          /* in death_order */
} Deaths;

/* Every field is part of the checkpoint: what is added here must be added
   to the section's encoder and decoder in snap.c, or a process that starts
   from a checkpoint differs from the others without a word. */
struct Fold {
    uint64_t offset;
    uint64_t chain; /* digest of all entries applied, in order */
    FoldObserver observe;
    void *observe_ctx;
    GHashTable *batches; /* batch id -> digest of its bytes */
    GQueue batch_order;  /* ids, oldest first; owned by the table */
    GHashTable *history; /* template name -> GPtrArray of FoldConfig */
    CfgSet *config;
    GHashTable *centres; /* data centre -> Centre */
    KeyTable *keys;
    GHashTable *deaths;         /* hex digest -> Deaths */
    GQueue death_order;         /* hex digests, oldest first */
    FoldCheckpoint *checkpoint; /* newest whole one, or NULL */
    GPtrArray *pending;         /* FoldCheckpoint, not whole; oldest first */
    uint64_t entries_since;     /* others than checkpoints, since then */
};

/* The state of data centre NAME, made when it is new. */
Centre *fold_make_centre(Fold *f, const char *name);
/* Count IN, which becomes the fold's. */
void fold_add_intent(Centre *c, FoldIntent *in);
/* The deaths of DIGEST (32 bytes), made when new with that birth. */
Deaths *fold_make_deaths(Fold *f, const uint8_t *digest, uint64_t born_ms);
void fold_keep_version(Fold *f, const char *name, FoldConfig *c);
FoldConfig *fold_make_config(const Bg__ConfigRecord *r, uint64_t offset);
void fold_note_batch(Fold *f, const char *id, uint64_t digest);
void fold_free_checkpoint(FoldCheckpoint *c);
char *fold_join_pair(const char *a, const char *b);
/* Compile every current template anew. */
CfgSet *fold_compile(const Fold *f, const CfgSource *candidate,
                     GString *faults);

#endif
