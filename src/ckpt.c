#include "ckpt.h"

#include "rec.h"

#include <string.h>
#include <xxhash.h>

#define MAX_PARTS 4
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

/* One checkpoint, as far as it was read. */
typedef struct {
    char *id;
    uint64_t covered;
    uint64_t digest;
    uint32_t chunks;
    uint32_t got;
    GBytes **data; /* one a chunk, NULL until read */
} Part;

struct CkptCollector {
    GPtrArray *parts; /* Part, oldest first */
    GByteArray *newest;
    uint64_t covered;
};

static void
free_part(gpointer p)
{
    Part *part = p;
    for (uint32_t i = 0; i < part->chunks; i++) {
        if (part->data[i]) {
            g_bytes_unref(part->data[i]);
        }
    }
    g_free(part->data);
    g_free(part->id);
    g_free(part);
}

CkptCollector *
ckpt_create_collector(void)
{
    CkptCollector *c = g_new0(CkptCollector, 1);
    c->parts = g_ptr_array_new_with_free_func(free_part);
    return c;
}

void
ckpt_destroy_collector(CkptCollector *c)
{
    if (c) {
        g_ptr_array_free(c->parts, TRUE);
        if (c->newest) {
            g_byte_array_free(c->newest, TRUE);
        }
        g_free(c);
    }
}

static Part *
find_part(CkptCollector *c, const Bg__CheckpointRecord *r)
{
    for (guint i = 0; i < c->parts->len; i++) {
        Part *part = c->parts->pdata[i];
        if (strcmp(part->id, r->checkpoint_id) == 0) {
            return part;
        }
    }
    Part *part = g_new0(Part, 1);
    part->id = g_strdup(r->checkpoint_id);
    part->covered = r->covered_offset;
    part->digest = r->digest;
    part->chunks = r->chunks;
    part->data = g_new0(GBytes *, r->chunks);
    g_ptr_array_add(c->parts, part);
    if (c->parts->len > MAX_PARTS) {
        g_ptr_array_remove_index(c->parts, 0);
    }
    return part;
}

static GByteArray *
join_part(const Part *part)
{
    GByteArray *state = g_byte_array_new();
    for (uint32_t i = 0; i < part->chunks; i++) {
        gsize len;
        const void *data = g_bytes_get_data(part->data[i], &len);
        g_byte_array_append(state, data, (guint)len);
    }
    return state;
}

/* A whole checkpoint whose digest is wrong is passed over: an older one, or
   the peers, serve then. */
static void
take_whole(CkptCollector *c, Part *part)
{
    GByteArray *state = join_part(part);
    if (XXH64(state->data, state->len, 0) != part->digest ||
        part->covered <= c->covered) {
        bg_log(BG_WARN, "ckpt", "Checkpoint of %llu is not used.",
               (unsigned long long)part->covered);
        g_byte_array_free(state, TRUE);
    }
    else {
        if (c->newest) {
            g_byte_array_free(c->newest, TRUE);
        }
        c->newest = state;
        c->covered = part->covered;
    }
    g_ptr_array_remove(c->parts, part);
}

static void
collect_record(CkptCollector *c, const Bg__CheckpointRecord *r)
{
    if (r->chunks == 0 || r->chunks > MAX_CHUNKS || r->chunk >= r->chunks) {
        return;
    }
    Part *part = find_part(c, r);
    if (part->chunks != r->chunks || part->covered != r->covered_offset ||
        part->data[r->chunk]) {
        return;
    }
    part->data[r->chunk] = g_bytes_new(r->data.data, r->data.len);
    if (++part->got == part->chunks) {
        take_whole(c, part);
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
