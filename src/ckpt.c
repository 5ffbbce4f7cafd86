#include "ckpt.h"

#include "log_records.h"

#include <string.h>
#include <xxhash.h>

#define MAX_PARTIALS 4
#define MAX_CHUNKS 65536

static Bg__Record *
make_record(const GByteArray *state, uint64_t covered, const char *id,
            uint32_t chunk, uint32_t chunks, uint64_t digest)
{
    size_t at = (size_t)chunk * CKPT_CHUNK_BYTES;
    Bg__CheckpointRecord c = BG__CHECKPOINT_RECORD__INIT;
    c.covered_offset = covered;
    c.chunk = chunk;
    c.chunks = chunks;
    c.digest = digest;
    c.checkpoint_id = (char *)id;
    c.data.data = state->data + at;
    c.data.len = MIN(CKPT_CHUNK_BYTES, state->len - at);
    Bg__Record r = BG__RECORD__INIT;
    r.body_case = BG__RECORD__BODY_CHECKPOINT;
    r.checkpoint = &c;
    return rec_copy(&r);
}

GPtrArray *
ckpt_make_records(const Fold *f)
{
    g_autoptr(GByteArray) state = fold_encode(f);
    char id[BG_ID_LEN + 1];
    bg_make_id(id);
    uint64_t digest = XXH64(state->data, state->len, 0);
    uint32_t chunks = (state->len + CKPT_CHUNK_BYTES - 1) / CKPT_CHUNK_BYTES;
    GPtrArray *records = g_ptr_array_new();
    for (uint32_t i = 0; i < chunks; i++) {
        g_ptr_array_add(records, make_record(state, fold_get_offset(f), id, i,
                                             chunks, digest));
    }
    return records;
}

/* ---- collecting --------------------------------------------------------- */

/* A checkpoint of which some chunks were read. */
typedef struct {
    char *id;
    uint64_t covered;
    uint64_t digest;
    uint32_t chunks;
    uint32_t chunks_read;
    GBytes **data; /* one per chunk, NULL until read */
} PartialCheckpoint;

struct CkptCollector {
    GPtrArray *partials; /* PartialCheckpoint, oldest first */
    GByteArray *newest;
    uint64_t covered;
};

static void
free_partial(gpointer p)
{
    PartialCheckpoint *partial = p;
    for (uint32_t i = 0; i < partial->chunks; i++) {
        if (partial->data[i]) {
            g_bytes_unref(partial->data[i]);
        }
    }
    g_free(partial->data);
    g_free(partial->id);
    g_free(partial);
}

CkptCollector *
ckpt_create_collector(void)
{
    CkptCollector *c = g_new0(CkptCollector, 1);
    c->partials = g_ptr_array_new_with_free_func(free_partial);
    return c;
}

void
ckpt_destroy_collector(CkptCollector *c)
{
    if (c) {
        g_ptr_array_free(c->partials, TRUE);
        if (c->newest) {
            g_byte_array_free(c->newest, TRUE);
        }
        g_free(c);
    }
}

static PartialCheckpoint *
find_partial(CkptCollector *c, const Bg__CheckpointRecord *r)
{
    for (guint i = 0; i < c->partials->len; i++) {
        PartialCheckpoint *partial = c->partials->pdata[i];
        if (strcmp(partial->id, r->checkpoint_id) == 0) {
            return partial;
        }
    }
    PartialCheckpoint *partial = g_new0(PartialCheckpoint, 1);
    partial->id = g_strdup(r->checkpoint_id);
    partial->covered = r->covered_offset;
    partial->digest = r->digest;
    partial->chunks = r->chunks;
    partial->data = g_new0(GBytes *, r->chunks);
    g_ptr_array_add(c->partials, partial);
    if (c->partials->len > MAX_PARTIALS) {
        g_ptr_array_remove_index(c->partials, 0);
    }
    return partial;
}

static GByteArray *
join_chunks(const PartialCheckpoint *partial)
{
    GByteArray *state = g_byte_array_new();
    for (uint32_t i = 0; i < partial->chunks; i++) {
        gsize len;
        const void *data = g_bytes_get_data(partial->data[i], &len);
        g_byte_array_append(state, data, (guint)len);
    }
    return state;
}

/* A complete checkpoint with a wrong digest is skipped; the state then comes
   from an older checkpoint or from a peer. */
static void
finish_checkpoint(CkptCollector *c, PartialCheckpoint *partial)
{
    GByteArray *state = join_chunks(partial);
    if (XXH64(state->data, state->len, 0) != partial->digest ||
        partial->covered <= c->covered) {
        bg_log(BG_WARN, "ckpt",
               "Checkpoint of offset %llu skipped: wrong digest or not newer "
               "than one already read.",
               (unsigned long long)partial->covered);
        g_byte_array_free(state, TRUE);
    }
    else {
        if (c->newest) {
            g_byte_array_free(c->newest, TRUE);
        }
        c->newest = state;
        c->covered = partial->covered;
    }
    g_ptr_array_remove(c->partials, partial);
}

static void
collect_record(CkptCollector *c, const Bg__CheckpointRecord *r)
{
    if (r->chunks == 0 || r->chunks > MAX_CHUNKS || r->chunk >= r->chunks) {
        return;
    }
    PartialCheckpoint *partial = find_partial(c, r);
    if (partial->chunks != r->chunks ||
        partial->covered != r->covered_offset || partial->data[r->chunk]) {
        return;
    }
    partial->data[r->chunk] = g_bytes_new(r->data.data, r->data.len);
    if (++partial->chunks_read == partial->chunks) {
        finish_checkpoint(c, partial);
    }
}

bool
ckpt_collect(CkptCollector *c, const uint8_t *data, size_t len)
{
    RecBatch batch = {0};
    g_autoptr(GError) err = NULL;
    if (!rec_decode_batch(data, len, &batch, &err)) {
        return err->code != BG_ERR_NEWER;
    }
    for (size_t i = 0; i < batch.list->n_records; i++) {
        const Bg__Record *r = batch.list->records[i];
        if (r->body_case == BG__RECORD__BODY_CHECKPOINT) {
            collect_record(c, r->checkpoint);
        }
    }
    rec_free_batch(&batch);
    return true;
}

const GByteArray *
ckpt_get_newest(const CkptCollector *c, uint64_t *covered)
{
    *covered = c->covered;
    return c->newest;
}
