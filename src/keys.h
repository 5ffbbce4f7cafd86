/* keys: table of idempotency keys of non-idempotent calls, as recorded in the
   log.  It is part of the fold's state and as deterministic: the same records
   give the same table.

   A key belongs to one workspace.  Keys expire by log time.  For each VM, take
   the highest wall time in its records: log time is the second highest of
   these.  So a single VM with a wrong clock can't expire the keys of all
   others.  With records of only one VM, log time stands still and no key
   expires. */
#ifndef KEYS_H
#define KEYS_H

#include "base.h"
#include "bglade.pb-c.h"

/* A longer answer is not kept; its record has answer_dropped. */
#define KEYS_MAX_BODY_BYTES (64u * 1024)
/* 40 MB at about 400 bytes a key, a sixth of the 256 MB of a process. */
#define KEYS_MAX 100000
/* All kept answers; beyond it the oldest are dropped, but not their keys. */
#define KEYS_MAX_BODIES_BYTES (32u * 1024 * 1024)
/* Nightly runs of callers repeat calls within a day. */
#define KEYS_RETENTION_MS (24ull * 3600 * 1000)
/* Retention when the table is full: far longer than any call lasts, and than a
   paused router is waited for. */
#define KEYS_MIN_RETENTION_MS (3600ull * 1000)

typedef struct {
    Bg__KeyStep step; /* CLAIM (in progress), RESULT or UNKNOWN */
    char *attempt_id;
    uint8_t request_digest[32];
    uint64_t expires_wall_ms; /* of the claim; from then on the call
                                 counts as one that may have run */
    uint32_t status;
    char *content_type;
    uint8_t *body;
    size_t body_len;
    bool answer_dropped; /* the call ran; its status is kept, its body not */

    uint64_t born_ms; /* see keys_get_born_ms */
    char *pair;       /* the table's key */
    GList *link;      /* in the queue of claims */
    GList *body_link; /* in the queue of kept bodies, or NULL */
} KeyEntry;

typedef struct KeyTable KeyTable;

KeyTable *keys_create(void);
void keys_destroy(KeyTable *t);

/* Applies R.  Returns false, with the reason in WHY, if it is rejected. */
bool keys_apply(KeyTable *t, const Bg__KeyRecord *r, GString *why);
const KeyEntry *keys_find(const KeyTable *t, const char *workspace,
                          const char *key);
uint32_t keys_count(const KeyTable *t);

/* The whole table, for checkpoints.  Free with
   bg__snapshot_keys__free_unpacked. */
Bg__SnapshotKeys *keys_save(const KeyTable *t);
/* Fills an empty table from the output of keys_save; NULL: leaves it empty. */
bool keys_load(KeyTable *t, const Bg__SnapshotKeys *s, GError **err);

/* A record of VM AUTHOR carried WALL_MS. */
void keys_note_time(KeyTable *t, const char *author, uint64_t wall_ms);
/* 0: not known yet. */
uint64_t keys_get_log_time_ms(const KeyTable *t);
/* The time from which the age of a record of WALL_MS counts.  Log time stands
   still while only one VM writes and jumps when another VM joins.  The later
   of the two keeps new records from appearing old after the jump. */
uint64_t keys_get_born_ms(const KeyTable *t, uint64_t wall_ms);

#endif
