/* rec: encoding of records for the log.  A batch is what one append writes: a
   format number, a unique id chosen by the writer, a digest and the
   records. */
#ifndef LOG_RECORDS_H
#define LOG_RECORDS_H

#include "base.h"
#include "bglade.pb-c.h"

#define REC_FORMAT 1
#define REC_MAX_BATCH_BYTES (1024 * 1024)

/* A decoded batch; owns LIST. */
typedef struct {
    char batch_id[BG_ID_LEN + 1];
    Bg__RecordList *list;
} RecBatch;

/* The digest of a batch.  It covers the id, as a batch with a damaged id would
   pass for a new one and its records could take effect twice. */
uint64_t rec_digest(uint32_t format, const char *batch_id,
                    const uint8_t *payload, size_t len);
/* Encode RECORDS as a batch with BATCH_ID; free with g_free. */
uint8_t *rec_encode_batch(const char *batch_id, Bg__Record **records,
                          size_t count, size_t *len);
/* False with BG_ERR_FORMAT when the bytes are truncated or corrupt, and with
   BG_ERR_NEWER when they are intact but of a newer format or record kind; no
   record of them may then be applied.  Every change to what a record means,
   or to which records take effect, must raise REC_FORMAT. */
bool rec_decode_batch(const uint8_t *data, size_t len, RecBatch *out,
                      GError **err);
void rec_free_batch(RecBatch *b);

/* A deep copy, made by packing and unpacking; free with rec_free. */
Bg__Record *rec_copy(const Bg__Record *r);
void rec_free(Bg__Record *r);

#endif
