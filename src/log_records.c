#include "log_records.h"

#include <string.h>
#include <xxhash.h>

uint64_t
rec_digest(uint32_t format, const char *batch_id, const uint8_t *payload,
           size_t len)
{
    return XXH64(payload, len, XXH64(batch_id, strlen(batch_id), format));
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
    batch.digest = rec_digest(REC_FORMAT, batch_id, batch.payload.data,
                              batch.payload.len);
    *len = bg__batch__get_packed_size(&batch);
    uint8_t *out = g_malloc(*len);
    bg__batch__pack(&batch, out);
    g_free(batch.payload.data);
    return out;
}

static void
set_format_error(GError **err, const char *text)
{
    g_set_error_literal(err, BG_ERROR, BG_ERR_FORMAT, text);
}

static bool
is_hex_id(const char *id)
{
    return strlen(id) == BG_ID_LEN &&
           strspn(id, "0123456789abcdef") == BG_ID_LEN;
}

/* The digest is checked before the format: corrupt bytes must not be taken
   for a newer format, at which this process would stop applying entries. */
static bool
check_batch(const Bg__Batch *b, GError **err)
{
    if (rec_digest(b->format, b->batch_id, b->payload.data, b->payload.len) !=
        b->digest) {
        set_format_error(err, "digest does not match");
        return false;
    }
    if (!is_hex_id(b->batch_id)) {
        set_format_error(err, "bad batch id");
        return false;
    }
    if (b->format != REC_FORMAT) {
        g_set_error(err, BG_ERROR,
                    b->format > REC_FORMAT ? BG_ERR_NEWER : BG_ERR_FORMAT,
                    "format %u is not known", b->format);
        return false;
    }
    return true;
}

/* A record without a known body comes from a newer version if it has unknown
   fields, else from a faulty writer. */
static bool
check_kinds(const Bg__RecordList *list, GError **err)
{
    for (size_t i = 0; i < list->n_records; i++) {
        const Bg__Record *r = list->records[i];
        if (r->body_case != BG__RECORD__BODY__NOT_SET) {
            continue;
        }
        if (r->base.n_unknown_fields > 0) {
            g_set_error(err, BG_ERROR, BG_ERR_NEWER,
                        "a record's kind is not known");
        }
        else {
            set_format_error(err, "a record has no kind");
        }
        return false;
    }
    return true;
}

bool
rec_decode_batch(const uint8_t *data, size_t len, RecBatch *out, GError **err)
{
    Bg__Batch *b = bg__batch__unpack(NULL, len, data);
    if (!b) {
        set_format_error(err, "not a batch");
        return false;
    }
    bool good = check_batch(b, err);
    if (good) {
        out->list =
            bg__record_list__unpack(NULL, b->payload.len, b->payload.data);
        g_strlcpy(out->batch_id, b->batch_id, sizeof(out->batch_id));
        if (!out->list) {
            set_format_error(err, "records do not parse");
            good = false;
        }
    }
    bg__batch__free_unpacked(b, NULL);
    if (good && !check_kinds(out->list, err)) {
        rec_free_batch(out);
        return false;
    }
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
