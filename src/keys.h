/* keys: what the log says of non-idempotent calls; a part of the fold's
   state, and like it deterministic: the same records give the same table.

   A key belongs to one workspace.  Its life runs in log time: the second
   highest wall time that any two VMs put into their records, so that one
   VM with a broken clock can't age the keys of all others.  With records
   of one VM only, log time stands still and no key ages. */
#ifndef KEYS_H
#define KEYS_H

#include "bg_base.h"
#include "bglade.pb-c.h"

/* A longer answer is not kept; the record says so. */
#define KEYS_MAX_BODY (64u * 1024)
/* About 40 MB at 400 bytes a key, a sixth of a process's 256 MB. */
#define KEYS_MAX 100000
/* Kept answers together; the oldest are dropped first, their keys stay. */
#define KEYS_MAX_BODIES (32u * 1024 * 1024)
/* A key is kept for a day: callers' nightly runs repeat calls by then. */
#define KEYS_LIFE_MS (24ull * 3600 * 1000)
/* When the table is full, keys older than an hour make room; that is far
   longer than any call or paused router is waited for. */
#define KEYS_MIN_LIFE_MS (3600ull * 1000)

typedef struct {
    Bg__KeyStep step; /* CLAIM: under way; RESULT; UNKNOWN */
    char *attempt_id;
    uint8_t request_digest[32];
    uint64_t expires_wall_ms; /* a claim past it may have run */
    uint32_t status;
    char *content_type;
    uint8_t *body;
    size_t body_len;
    bool answer_dropped; /* it ran; status is known, body is not kept */

    uint64_t born_ms; /* see keys_get_birth */
    char *pair;       /* the table's key */
    GList *link;      /* in order of claims */
    GList *body_link; /* in order of kept bodies, or NULL */
} KeyEntry;

typedef struct KeyTable KeyTable;

KeyTable *keys_create(void);
void keys_destroy(KeyTable *t);

/* Apply R; false, with the reason in WHY, when it loses. */
bool keys_apply(KeyTable *t, const Bg__KeyRecord *r, GString *why);
const KeyEntry *keys_find(const KeyTable *t, const char *workspace,
                          const char *key);
uint32_t keys_count(const KeyTable *t);

/* The whole table, for checkpoints; free with the protobuf call. */
Bg__SnapshotKeys *keys_save(const KeyTable *t);
/* Fill an empty table from what keys_save made; NULL is the empty one. */
bool keys_load(KeyTable *t, const Bg__SnapshotKeys *s, GError **err);

/* A record of VM AUTHOR carried WALL_MS. */
void keys_note_time(KeyTable *t, const char *author, uint64_t wall_ms);
/* Log time; 0: not known yet. */
uint64_t keys_get_time(const KeyTable *t);
/* When something recorded now at WALL_MS begins to age.  Log time stands
   still while one VM alone writes and leaps when another joins; the record's
   own time keeps what is new from being taken for old then. */
uint64_t keys_get_birth(const KeyTable *t, uint64_t wall_ms);

#endif
