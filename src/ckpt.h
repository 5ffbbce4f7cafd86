/* ckpt: checkpoints as records.  The fold's state is cut into chunks that
   are appended to the log; a starting process collects them again. */
#ifndef CKPT_H
#define CKPT_H

#include "bg_base.h"
#include "bglade.pb-c.h"
#include "fold.h"

#define CKPT_CHUNK_BYTES (256u * 1024)

/* The records of a checkpoint of F, under a fresh id; each is the caller's
   (rec_free). */
GPtrArray *ckpt_make_records(const Fold *f);

typedef struct CkptCollector CkptCollector;

CkptCollector *ckpt_create_collector(void);
void ckpt_destroy_collector(CkptCollector *c);
/* Look through one entry of the log; entries that do not decode are passed
   over.  False when it holds a batch of a newer format. */
bool ckpt_collect(CkptCollector *c, const uint8_t *data, size_t len);
/* The state of the newest whole checkpoint whose digest is right, or NULL;
   COVERED is its offset.  Belongs to the collector. */
const GByteArray *ckpt_get_newest(const CkptCollector *c, uint64_t *covered);

#endif
