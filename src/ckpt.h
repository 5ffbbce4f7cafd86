/* ckpt: checkpoints in the log.  The fold's state is cut into chunks, each of
   which is appended to the log as a record.  A starting process collects the
   chunks again and restores the state from them. */
#ifndef CKPT_H
#define CKPT_H

#include "base.h"
#include "bglade.pb-c.h"
#include "fold.h"

#define CKPT_CHUNK_BYTES (256u * 1024)

/* The records of a checkpoint of F, under a new id.  The caller frees the
   array and each record (rec_free). */
GPtrArray *ckpt_make_records(const Fold *f);

typedef struct CkptCollector CkptCollector;

CkptCollector *ckpt_create_collector(void);
void ckpt_destroy_collector(CkptCollector *c);
/* Collect the chunks in one entry of the log.  Entries that do not decode are
   skipped.  False if the entry is a batch of a newer format. */
bool ckpt_collect(CkptCollector *c, const uint8_t *data, size_t len);
/* The state of the newest complete checkpoint with a matching digest, or
   NULL; COVERED is its offset.  Belongs to the collector. */
const GByteArray *ckpt_get_newest(const CkptCollector *c, uint64_t *covered);

#endif
