#include "rec.h"

#include <string.h>
#include <xxhash.h>

/* Over all that a batch says, its id too: with a wrong id a repeated batch
   would be taken for a new one. */
static uint64_t
compute_digest(const Bg__Batch *b)
{
    uint64_t seed = XXH64(b->batch_id, strlen(b->batch_id), b->format);
    return XXH64(b->payload.data, b->payload.len, seed);
}

uint8_t *
rec_encode_batch(const char *batch_id, Bg__Record **records, size_t count,
                 size_t *len)
{
    Bg__RecordList list = BG__RECORD_LIST__INIT;
    list.n_records = count;
    list.records = records;
    Bg__Batch batch = BG__BATCH__INIT;
    batch.format = REC_FORMAT;
    batch.batch_id = (char *)batch_id;
    batch.payload.len = bg__record_list__get_packed_size(&list);
    batch.payload.data = g_malloc(batch.payload.len + 1);
    bg__record_list__pack(&list, batch.payload.data);
    batch.digest = compute_digest(&batch);
    *len = bg__batch__get_packed_size(&batch);
    uint8_t *out = g_malloc(*len);
    bg__batch__pack(&batch, out);
    g_free(batch.payload.data);
    return out;
}

static bool
check_batch(const Bg__Batch *b, GError **err)
{
    if (b->format != REC_FORMAT) {
        g_set_error(err, BG_ERROR, BG_ERR_FORMAT, "format %u is not known",
                    b->format);
        return false;
    }
    if (strlen(b->batch_id) != BG_ID_LEN) {
        g_set_error(err, BG_ERROR, BG_ERR_FORMAT, "bad batch id");
        return false;
    }
    if (compute_digest(b) != b->digest) {
        g_set_error(err, BG_ERROR, BG_ERR_FORMAT, "digest does not match");
        return false;
    }
    return true;
}

bool
rec_decode_batch(const uint8_t *data, size_t len, RecBatch *out, GError **err)
{
    Bg__Batch *b = bg__batch__unpack(NULL, len, data);
    if (!b) {
        g_set_error(err, BG_ERROR, BG_ERR_FORMAT, "not a batch");
        return false;
    }
    bool good = check_batch(b, err);
    if (good) {
        out->list =
            bg__record_list__unpack(NULL, b->payload.len, b->payload.data);
        g_strlcpy(out->batch_id, b->batch_id, sizeof(out->batch_id));
        if (!out->list) {
            g_set_error(err, BG_ERROR, BG_ERR_FORMAT, "records do not parse");
            good = false;
        }
    }
    bg__batch__free_unpacked(b, NULL);
    return good;
}

void
rec_free_batch(RecBatch *b)
{
    if (b->list) {
        bg__record_list__free_unpacked(b->list, NULL);
        b->list = NULL;
    }
}

Bg__Record *
rec_copy(const Bg__Record *r)
{
    size_t len = bg__record__get_packed_size(r);
    uint8_t *data = g_malloc(len + 1);
    bg__record__pack(r, data);
    Bg__Record *copy = bg__record__unpack(NULL, len, data);
    g_free(data);
    return copy;
}

void
rec_free(Bg__Record *r)
{
    if (r) {
        bg__record__free_unpacked(r, NULL);
    }
}
