/* Encodes the fold's state to bytes and decodes it, with one encoder and one
   decoder per section of the fold.  A field that is added to the fold must be
   added here. */
#include "fold_internal.h"

#include <string.h>
#include <xxhash.h>

#define SNAPSHOT_FORMAT 1
#define RAW_ID_BYTES (BG_ID_LEN / 2)
#define RAW_BATCH_BYTES (RAW_ID_BYTES + 8)

/* A snapshot is built as a protobuf message that points into the fold, and to
   arrays and submessages that live until it is packed. */
typedef struct {
    const Fold *fold;
    GPtrArray *owned; /* freed with g_free after packing */
} Encoder;

/* Has P freed after packing. */
static gpointer
own(Encoder *e, gpointer p)
{
    g_ptr_array_add(e->owned, p);
    return p;
}

static int
compare_text(gconstpointer a, gconstpointer b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

/* Keys of TABLE, sorted; the caller frees only the array. */
static GPtrArray *
sort_keys(GHashTable *table)
{
    GPtrArray *keys = g_ptr_array_new();
    GHashTableIter it;
    gpointer key;
    g_hash_table_iter_init(&it, table);
    while (g_hash_table_iter_next(&it, &key, NULL)) {
        g_ptr_array_add(keys, key);
    }
    g_ptr_array_sort(keys, compare_text);
    return keys;
}

/* ---- configuration ------------------------------------------------------ */

static Bg__SnapshotVersion *
encode_version(Encoder *e, const FoldConfig *c, const char *name)
{
    Bg__ConfigRecord *r = own(e, g_new(Bg__ConfigRecord, 1));
    bg__config_record__init(r);
    r->name = (char *)name;
    r->template_text = c->template_text;
    r->values_text = c->values_text;
    r->n_values_text = g_strv_length(c->values_text);
    r->author = c->author;
    r->note = c->note;
    r->wall_ms = c->wall_ms;
    Bg__SnapshotVersion *v = own(e, g_new(Bg__SnapshotVersion, 1));
    bg__snapshot_version__init(v);
    v->version = c->version;
    v->config = r;
    return v;
}

static void
encode_templates(Encoder *e, Bg__Snapshot *s)
{
    g_autoptr(GPtrArray) names = sort_keys(e->fold->history);
    s->n_templates = names->len;
    s->templates = own(e, g_new0(Bg__SnapshotTemplate *, names->len + 1));
    for (guint i = 0; i < names->len; i++) {
        GPtrArray *h = g_hash_table_lookup(e->fold->history, names->pdata[i]);
        Bg__SnapshotTemplate *t = own(e, g_new(Bg__SnapshotTemplate, 1));
        bg__snapshot_template__init(t);
        t->name = names->pdata[i];
        t->n_versions = h->len;
        t->versions = own(e, g_new0(Bg__SnapshotVersion *, h->len + 1));
        for (guint v = 0; v < h->len; v++) {
            t->versions[v] = encode_version(e, h->pdata[v], t->name);
        }
        s->templates[i] = t;
    }
}

static bool
decode_templates(Fold *f, const Bg__Snapshot *s, GError **err)
{
    for (size_t i = 0; i < s->n_templates; i++) {
        const Bg__SnapshotTemplate *t = s->templates[i];
        for (size_t v = 0; v < t->n_versions; v++) {
            if (!t->versions[v]->config) {
                continue;
            }
            fold_add_version(f, t->name,
                             fold_make_config(t->versions[v]->config,
                                              t->versions[v]->version));
        }
    }
    g_autoptr(GString) faults = g_string_new(NULL);
    CfgSet *set = fold_compile(f, NULL, faults);
    if (!set) {
        g_set_error(err, BG_ERROR, BG_ERR_FORMAT,
                    "templates do not compile: %s", faults->str);
        return false;
    }
    cfg_unref(f->config);
    f->config = set;
    return true;
}

/* ---- placement ---------------------------------------------------------- */

static int
compare_numbers(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;
    return x < y ? -1 : x > y;
}

static Bg__SnapshotIntent *
encode_intent(Encoder *e, const FoldIntent *in)
{
    Bg__IntentRecord *r = own(e, g_new(Bg__IntentRecord, 1));
    bg__intent_record__init(r);
    r->upstream = in->upstream;
    r->model = in->model;
    r->load_id = in->load_id;
    r->memory_mb = in->memory_mb;
    r->epoch = in->epoch;
    r->fenced = in->fenced;
    r->adapter = in->adapter;
    r->boot = in->boot;
    Bg__SnapshotIntent *s = own(e, g_new(Bg__SnapshotIntent, 1));
    bg__snapshot_intent__init(s);
    s->intent = r;
    s->loaded = in->loaded;
    /* Sorted, so that the bytes don't depend on the order in which epochs
       were removed. */
    s->n_open = in->open->len;
    s->open = own(e, g_new0(uint64_t, in->open->len + 1));
    if (s->n_open) {
        memcpy(s->open, in->open->data, s->n_open * sizeof(uint64_t));
    }
    qsort(s->open, s->n_open, sizeof(uint64_t), compare_numbers);
    return s;
}

static void
decode_intent(Centre *c, const Bg__SnapshotIntent *s)
{
    const Bg__IntentRecord *r = s->intent;
    if (!r) {
        return;
    }
    FoldIntent *in = g_new0(FoldIntent, 1);
    in->upstream = g_strdup(r->upstream);
    in->model = g_strdup(r->model);
    in->load_id = g_strdup(r->load_id);
    in->memory_mb = r->memory_mb;
    in->epoch = r->epoch;
    in->fenced = r->fenced;
    in->adapter = r->adapter;
    in->loaded = s->loaded;
    in->boot = g_strdup(r->boot);
    in->open = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    g_array_append_vals(in->open, s->open, (guint)s->n_open);
    fold_add_intent(c, in);
}

static void
encode_quiesced(Encoder *e, const Centre *c, Bg__SnapshotCentre *s)
{
    guint count = g_hash_table_size(c->quiesced);
    s->quiesced = own(e, g_new0(uint64_t, count + 1));
    GHashTableIter it;
    gpointer epoch;
    g_hash_table_iter_init(&it, c->quiesced);
    while (g_hash_table_iter_next(&it, &epoch, NULL)) {
        s->quiesced[s->n_quiesced++] = *(const uint64_t *)epoch;
    }
    qsort(s->quiesced, s->n_quiesced, sizeof(uint64_t), compare_numbers);
}

static Bg__SnapshotGrant *
encode_grant(Encoder *e, const FoldGrant *g)
{
    Bg__SnapshotGrant *s = own(e, g_new(Bg__SnapshotGrant, 1));
    bg__snapshot_grant__init(s);
    s->first_epoch = g->first_epoch;
    s->last_epoch = g->last_epoch;
    s->upstreams = own(e, g_new0(Bg__GrantUpstream *, g->upstreams->len + 1));
    for (guint i = 0; i < g->upstreams->len; i++) {
        Bg__GrantUpstream *u = own(e, g_new(Bg__GrantUpstream, 1));
        bg__grant_upstream__init(u);
        u->upstream = g->upstreams->pdata[i];
        u->deployment = g->deployments->pdata[i];
        s->upstreams[s->n_upstreams++] = u;
    }
    return s;
}

static void
encode_grants(Encoder *e, const Centre *c, Bg__SnapshotCentre *s)
{
    s->grants = own(e, g_new0(Bg__SnapshotGrant *, c->grants->len + 1));
    for (guint i = 0; i < c->grants->len; i++) {
        s->grants[s->n_grants++] = encode_grant(e, c->grants->pdata[i]);
    }
}

static void
decode_grant(Centre *c, const Bg__SnapshotGrant *s)
{
    FoldGrant *g = g_new0(FoldGrant, 1);
    g->first_epoch = s->first_epoch;
    g->last_epoch = s->last_epoch;
    g->upstreams = g_ptr_array_new_with_free_func(g_free);
    g->deployments = g_ptr_array_new_with_free_func(g_free);
    for (size_t i = 0; i < s->n_upstreams; i++) {
        g_ptr_array_add(g->upstreams, g_strdup(s->upstreams[i]->upstream));
        g_ptr_array_add(g->deployments, g_strdup(s->upstreams[i]->deployment));
    }
    g_ptr_array_add(c->grants, g);
}

static Bg__SnapshotCentre *
encode_centre(Encoder *e, const char *name, const Centre *c)
{
    Bg__SnapshotCentre *s = own(e, g_new(Bg__SnapshotCentre, 1));
    bg__snapshot_centre__init(s);
    s->name = (char *)name;
    s->holder = c->claim.holder ? c->claim.holder : s->holder;
    s->epoch = c->claim.epoch;
    g_autoptr(GPtrArray) pairs = sort_keys(c->intents);
    s->n_intents = pairs->len;
    s->intents = own(e, g_new0(Bg__SnapshotIntent *, pairs->len + 1));
    for (guint i = 0; i < pairs->len; i++) {
        s->intents[i] =
            encode_intent(e, g_hash_table_lookup(c->intents, pairs->pdata[i]));
    }
    encode_quiesced(e, c, s);
    encode_grants(e, c, s);
    return s;
}

static void
encode_centres(Encoder *e, Bg__Snapshot *s)
{
    g_autoptr(GPtrArray) names = sort_keys(e->fold->centres);
    s->n_centres = names->len;
    s->centres = own(e, g_new0(Bg__SnapshotCentre *, names->len + 1));
    for (guint i = 0; i < names->len; i++) {
        s->centres[i] = encode_centre(
            e, names->pdata[i],
            g_hash_table_lookup(e->fold->centres, names->pdata[i]));
    }
}

static void
decode_centres(Fold *f, const Bg__Snapshot *s)
{
    for (size_t i = 0; i < s->n_centres; i++) {
        const Bg__SnapshotCentre *sc = s->centres[i];
        Centre *c = fold_ensure_centre(f, sc->name);
        c->claim.epoch = sc->epoch;
        c->claim.holder = sc->epoch ? g_strdup(sc->holder) : NULL;
        for (size_t n = 0; n < sc->n_intents; n++) {
            decode_intent(c, sc->intents[n]);
        }
        for (size_t n = 0; n < sc->n_quiesced; n++) {
            g_hash_table_add(c->quiesced,
                             g_memdup2(&sc->quiesced[n], sizeof(uint64_t)));
        }
        for (size_t n = 0; n < sc->n_grants; n++) {
            decode_grant(c, sc->grants[n]);
        }
    }
}

/* ---- deadly requests ---------------------------------------------------- */

static void
encode_deaths(Encoder *e, Bg__Snapshot *s)
{
    guint count = g_hash_table_size(e->fold->deaths);
    s->deaths = own(e, g_new0(Bg__SnapshotDeaths *, count + 1));
    for (GList *l = e->fold->death_order.head; l; l = l->next) {
        Deaths *d = g_hash_table_lookup(e->fold->deaths, l->data);
        Bg__SnapshotDeaths *r = own(e, g_new(Bg__SnapshotDeaths, 1));
        bg__snapshot_deaths__init(r);
        r->digest.data = d->digest;
        r->digest.len = sizeof(d->digest);
        r->upstreams = (char **)d->upstreams->pdata;
        r->n_upstreams = d->upstreams->len;
        r->born_ms = d->born_ms;
        s->deaths[s->n_deaths++] = r;
    }
}

static bool
decode_deaths(Fold *f, const Bg__Snapshot *s, GError **err)
{
    for (size_t i = 0; i < s->n_deaths; i++) {
        const Bg__SnapshotDeaths *r = s->deaths[i];
        if (r->digest.len != 32) {
            g_set_error(err, BG_ERROR, BG_ERR_FORMAT, "a death's bad digest");
            return false;
        }
        Deaths *d = fold_ensure_deaths(f, r->digest.data, r->born_ms);
        for (size_t n = 0; n < r->n_upstreams; n++) {
            g_ptr_array_add(d->upstreams, g_strdup(r->upstreams[n]));
        }
    }
    return true;
}

/* ---- batches ------------------------------------------------------------ */

static void
pack_batch(const char *id, uint64_t digest, uint8_t *out)
{
    for (size_t i = 0; i < RAW_ID_BYTES; i++) {
        out[i] = (uint8_t)(g_ascii_xdigit_value(id[2 * i]) << 4 |
                           g_ascii_xdigit_value(id[2 * i + 1]));
    }
    digest = GUINT64_TO_LE(digest);
    memcpy(out + RAW_ID_BYTES, &digest, sizeof(digest));
}

static void
encode_batches(Encoder *e, Bg__Snapshot *s)
{
    guint count = g_queue_get_length((GQueue *)&e->fold->batch_order);
    s->batches.len = count * RAW_BATCH_BYTES;
    s->batches.data = own(e, g_malloc(s->batches.len + 1));
    uint8_t *out = s->batches.data;
    for (GList *l = e->fold->batch_order.head; l; l = l->next) {
        const uint64_t *digest =
            g_hash_table_lookup(e->fold->batches, l->data);
        pack_batch(l->data, *digest, out);
        out += RAW_BATCH_BYTES;
    }
}

static void
decode_batches(Fold *f, const Bg__Snapshot *s)
{
    for (size_t at = 0; at + RAW_BATCH_BYTES <= s->batches.len;
         at += RAW_BATCH_BYTES) {
        const uint8_t *raw = s->batches.data + at;
        char id[BG_ID_LEN + 1];
        bg_format_hex(raw, RAW_ID_BYTES, id);
        uint64_t digest;
        memcpy(&digest, raw + RAW_ID_BYTES, sizeof(digest));
        fold_add_batch_id(f, id, GUINT64_FROM_LE(digest));
    }
}

/* ---- checkpoints -------------------------------------------------------- */

static Bg__SnapshotCheckpoint *
encode_checkpoint(Encoder *e, const FoldCheckpoint *c)
{
    Bg__SnapshotCheckpoint *s = own(e, g_new(Bg__SnapshotCheckpoint, 1));
    bg__snapshot_checkpoint__init(s);
    s->checkpoint_id = c->id;
    s->covered_offset = c->covered;
    s->chunks = c->chunks;
    s->seen.data = c->seen;
    s->seen.len = c->chunks;
    s->first_offset = c->first_offset;
    s->last_offset = c->last_offset;
    return s;
}

static FoldCheckpoint *
decode_checkpoint(const Bg__SnapshotCheckpoint *s)
{
    if (s->seen.len != s->chunks) {
        return NULL;
    }
    FoldCheckpoint *c = g_new0(FoldCheckpoint, 1);
    c->id = g_strdup(s->checkpoint_id);
    c->covered = s->covered_offset;
    c->chunks = s->chunks;
    c->seen = g_memdup2(s->seen.data, s->seen.len);
    c->first_offset = s->first_offset;
    c->last_offset = s->last_offset;
    return c;
}

static void
encode_checkpoints(Encoder *e, Bg__Snapshot *s)
{
    const Fold *f = e->fold;
    s->entries_since = f->entries_since;
    if (f->checkpoint) {
        s->checkpoint = encode_checkpoint(e, f->checkpoint);
    }
    s->n_pending = f->pending->len;
    s->pending = own(e, g_new0(Bg__SnapshotCheckpoint *, f->pending->len + 1));
    for (guint i = 0; i < f->pending->len; i++) {
        s->pending[i] = encode_checkpoint(e, f->pending->pdata[i]);
    }
}

static void
decode_checkpoints(Fold *f, const Bg__Snapshot *s)
{
    f->entries_since = s->entries_since;
    if (s->checkpoint) {
        f->checkpoint = decode_checkpoint(s->checkpoint);
    }
    for (size_t i = 0; i < s->n_pending; i++) {
        FoldCheckpoint *c = decode_checkpoint(s->pending[i]);
        if (c) {
            g_ptr_array_add(f->pending, c);
        }
    }
}

/* ---- whole state -------------------------------------------------------- */

GByteArray *
fold_encode(const Fold *f)
{
    Encoder e = {f, g_ptr_array_new_with_free_func(g_free)};
    Bg__Snapshot s = BG__SNAPSHOT__INIT;
    s.format = SNAPSHOT_FORMAT;
    s.offset = f->offset;
    s.chain = f->chain;
    encode_templates(&e, &s);
    encode_centres(&e, &s);
    s.keys = keys_save(f->keys);
    encode_deaths(&e, &s);
    encode_batches(&e, &s);
    encode_checkpoints(&e, &s);
    size_t len = bg__snapshot__get_packed_size(&s);
    GByteArray *out = g_byte_array_sized_new((guint)len);
    g_byte_array_set_size(out, (guint)len);
    bg__snapshot__pack(&s, out->data);
    bg__snapshot_keys__free_unpacked(s.keys, NULL);
    g_ptr_array_free(e.owned, TRUE);
    return out;
}

uint64_t
fold_digest(const Fold *f)
{
    g_autoptr(GByteArray) bytes = fold_encode(f);
    return XXH64(bytes->data, bytes->len, 0);
}

static bool
check_snapshot(const Fold *f, const Bg__Snapshot *s, GError **err)
{
    if (!s) {
        g_set_error(err, BG_ERROR, BG_ERR_FORMAT, "not a snapshot");
        return false;
    }
    if (s->format != SNAPSHOT_FORMAT || s->base.n_unknown_fields > 0) {
        g_set_error(err, BG_ERROR, BG_ERR_NEWER, "snapshot format %u",
                    s->format);
        return false;
    }
    /* An older snapshot would revert records that were applied since. */
    if (s->offset <= f->offset) {
        g_set_error(err, BG_ERROR, BG_ERR_CONFLICT,
                    "snapshot at %llu is not above %llu",
                    (unsigned long long)s->offset,
                    (unsigned long long)f->offset);
        return false;
    }
    return true;
}

/* Decodes into a new fold, so that a bad snapshot leaves the old state
   unchanged. */
static Fold *
decode_snapshot(const Bg__Snapshot *s, GError **err)
{
    Fold *f = fold_create();
    f->offset = s->offset;
    f->chain = s->chain;
    decode_centres(f, s);
    decode_batches(f, s);
    decode_checkpoints(f, s);
    if (decode_templates(f, s, err) && keys_load(f->keys, s->keys, err) &&
        decode_deaths(f, s, err)) {
        return f;
    }
    fold_destroy(f);
    return NULL;
}

bool
fold_restore(Fold *f, const uint8_t *data, size_t len, GError **err)
{
    Bg__Snapshot *s = bg__snapshot__unpack(NULL, len, data);
    Fold *next = check_snapshot(f, s, err) ? decode_snapshot(s, err) : NULL;
    if (s) {
        bg__snapshot__free_unpacked(s, NULL);
    }
    if (!next) {
        return false;
    }
    next->observe = f->observe;
    next->observe_ctx = f->observe_ctx;
    Fold old = *f;
    *f = *next;
    *next = old;
    fold_destroy(next);
    return true;
}
