#include "fold_internal.h"

#include "log_records.h"

#include <string.h>
#include <xxhash.h>

/* Ids against which retried batches are deduplicated.  An append without
   acknowledgement is retried within minutes, with a back-off of up to one
   second.  At several hundred appends a second these ids cover about half a
   minute of the whole system's batches. */
#define KEPT_BATCH_IDS 16384
#define KEPT_VERSIONS 20
/* Per template, without the current version; bounds the checkpoint's size. */
#define KEPT_VERSION_BYTES (4u * 1024 * 1024)
#define MAX_PENDING_CHECKPOINTS 4
#define MAX_CHUNKS 65536
#define MAX_DEATHS 4096
/* A quarantined request is tried again after a day: the bug that it triggered
   may have been fixed. */
#define DEATH_RETENTION_MS (24ull * 3600 * 1000)

/* ---- construction ------------------------------------------------------- */

static void
free_config(gpointer p)
{
    FoldConfig *c = p;
    g_free(c->template_text);
    g_strfreev(c->values_text);
    g_free(c->author);
    g_free(c->note);
    g_free(c);
}

static void
free_intent(gpointer p)
{
    FoldIntent *in = p;
    g_free(in->upstream);
    g_free(in->model);
    g_free(in->load_id);
    g_free(in->boot);
    g_array_free(in->open, TRUE);
    g_free(in);
}

static void
free_grant(gpointer p)
{
    FoldGrant *g = p;
    g_ptr_array_free(g->upstreams, TRUE);
    g_ptr_array_free(g->deployments, TRUE);
    g_free(g);
}

static void
free_centre(gpointer p)
{
    Centre *c = p;
    g_free(c->claim.holder);
    g_hash_table_destroy(c->intents);
    g_hash_table_destroy(c->memory);
    g_hash_table_destroy(c->replicas);
    g_hash_table_destroy(c->quiesced);
    g_ptr_array_free(c->grants, TRUE);
    g_free(c);
}

static void
free_deaths(gpointer p)
{
    Deaths *d = p;
    g_ptr_array_free(d->upstreams, TRUE);
    g_free(d);
}

void
fold_free_checkpoint(FoldCheckpoint *c)
{
    if (c) {
        g_free(c->id);
        g_free(c->seen);
        g_free(c);
    }
}

static void
free_checkpoint(gpointer p)
{
    fold_free_checkpoint(p);
}

static GHashTable *
make_table(GDestroyNotify free_value)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_value);
}

Fold *
fold_create(void)
{
    Fold *f = g_new0(Fold, 1);
    f->batches = make_table(g_free);
    g_queue_init(&f->batch_order);
    f->history = make_table((GDestroyNotify)g_ptr_array_unref);
    f->centres = make_table(free_centre);
    f->keys = keys_create();
    f->deaths = make_table(free_deaths);
    g_queue_init(&f->death_order);
    f->pending = g_ptr_array_new_with_free_func(free_checkpoint);
    g_autoptr(GString) faults = g_string_new(NULL);
    f->config = cfg_compile(NULL, 0, faults);
    return f;
}

void
fold_destroy(Fold *f)
{
    if (!f) {
        return;
    }
    g_queue_clear(&f->batch_order);
    g_queue_clear(&f->death_order);
    g_hash_table_destroy(f->batches);
    g_hash_table_destroy(f->history);
    g_hash_table_destroy(f->centres);
    keys_destroy(f->keys);
    g_hash_table_destroy(f->deaths);
    g_ptr_array_free(f->pending, TRUE);
    fold_free_checkpoint(f->checkpoint);
    cfg_unref(f->config);
    g_free(f);
}

void
fold_set_observer(Fold *f, FoldObserver observe, void *ctx)
{
    f->observe = observe;
    f->observe_ctx = ctx;
}

uint64_t
fold_get_offset(const Fold *f)
{
    return f->offset;
}

uint64_t
fold_get_chain(const Fold *f)
{
    return f->chain;
}

/* ---- configuration ------------------------------------------------------ */

static FoldConfig *
get_current(const Fold *f, const char *name)
{
    GPtrArray *h = g_hash_table_lookup(f->history, name);
    return h && h->len ? h->pdata[h->len - 1] : NULL;
}

CfgSet *
fold_compile(const Fold *f, const CfgSource *candidate, GString *faults)
{
    g_autoptr(GArray) sources = g_array_new(FALSE, TRUE, sizeof(CfgSource));
    g_autoptr(GPtrArray) names = fold_list_templates(f);
    for (guint i = 0; i < names->len; i++) {
        const char *name = names->pdata[i];
        if (candidate && strcmp(name, candidate->name) == 0) {
            continue;
        }
        FoldConfig *c = get_current(f, name);
        CfgSource s = {name, c->version, c->template_text, c->values_text,
                       g_strv_length(c->values_text)};
        g_array_append_val(sources, s);
    }
    if (candidate) {
        g_array_append_val(sources, *candidate);
    }
    return cfg_compile((CfgSource *)(void *)sources->data, sources->len,
                       faults);
}

FoldConfig *
fold_make_config(const Bg__ConfigRecord *r, uint64_t offset)
{
    FoldConfig *c = g_new0(FoldConfig, 1);
    c->version = offset;
    c->template_text = g_strdup(r->template_text);
    c->values_text = g_new0(char *, r->n_values_text + 1);
    for (size_t i = 0; i < r->n_values_text; i++) {
        c->values_text[i] = g_strdup(r->values_text[i]);
    }
    c->author = g_strdup(r->author);
    c->note = g_strdup(r->note);
    c->wall_ms = r->wall_ms;
    return c;
}

/* Bytes of all versions but the current one. */
static size_t
count_older_bytes(const GPtrArray *h)
{
    size_t bytes = 0;
    for (guint i = 0; i + 1 < h->len; i++) {
        const FoldConfig *c = h->pdata[i];
        bytes += strlen(c->template_text);
        for (char **v = c->values_text; *v; v++) {
            bytes += strlen(*v);
        }
    }
    return bytes;
}

void
fold_add_version(Fold *f, const char *name, FoldConfig *c)
{
    GPtrArray *h = g_hash_table_lookup(f->history, name);
    if (!h) {
        h = g_ptr_array_new_with_free_func(free_config);
        g_hash_table_insert(f->history, g_strdup(name), h);
    }
    g_ptr_array_add(h, c);
    while (h->len > 1 && (h->len > KEPT_VERSIONS ||
                          count_older_bytes(h) > KEPT_VERSION_BYTES)) {
        g_ptr_array_remove_index(h, 0);
    }
}

static FoldResult
apply_config(Fold *f, uint64_t offset, const Bg__ConfigRecord *r, GString *why)
{
    const FoldConfig *current = get_current(f, r->name);
    uint64_t version = current ? current->version : 0;
    if (r->base_version != version) {
        g_string_printf(why, "version %llu is current, not %llu",
                        (unsigned long long)version,
                        (unsigned long long)r->base_version);
        return FOLD_CONFLICT;
    }
    CfgSource s = {r->name, offset, r->template_text, r->values_text,
                   r->n_values_text};
    CfgSet *next = fold_compile(f, &s, why);
    if (!next) {
        return FOLD_INVALID;
    }
    cfg_unref(f->config);
    f->config = next;
    fold_add_version(f, r->name, fold_make_config(r, offset));
    return FOLD_APPLIED;
}

CfgSet *
fold_get_config(const Fold *f)
{
    return cfg_ref(f->config);
}

const FoldConfig *
fold_find_template(const Fold *f, const char *name)
{
    return get_current(f, name);
}

const GPtrArray *
fold_get_history(const Fold *f, const char *name)
{
    return g_hash_table_lookup(f->history, name);
}

static int
compare_text(gconstpointer a, gconstpointer b)
{
    return strcmp(*(char *const *)a, *(char *const *)b);
}

GPtrArray *
fold_list_templates(const Fold *f)
{
    GPtrArray *names = g_ptr_array_new();
    GHashTableIter it;
    gpointer name;
    g_hash_table_iter_init(&it, f->history);
    while (g_hash_table_iter_next(&it, &name, NULL)) {
        g_ptr_array_add(names, name);
    }
    g_ptr_array_sort(names, compare_text);
    return names;
}

/* ---- placement ---------------------------------------------------------- */

Centre *
fold_ensure_centre(Fold *f, const char *name)
{
    Centre *c = g_hash_table_lookup(f->centres, name);
    if (!c) {
        c = g_new0(Centre, 1);
        c->intents = make_table(free_intent);
        c->memory = make_table(NULL);
        c->replicas = make_table(NULL);
        c->quiesced =
            g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
        c->grants = g_ptr_array_new_with_free_func(free_grant);
        g_hash_table_insert(f->centres, g_strdup(name), c);
    }
    return c;
}

static uint32_t
get_number(GHashTable *table, const char *name)
{
    return GPOINTER_TO_UINT(g_hash_table_lookup(table, name));
}

static void
add_number(GHashTable *table, const char *name, int64_t delta)
{
    int64_t n = (int64_t)get_number(table, name) + delta;
    if (n > 0) {
        g_hash_table_replace(table, g_strdup(name),
                             GUINT_TO_POINTER((guint)n));
    }
    else {
        g_hash_table_remove(table, name);
    }
}

char *
fold_join_pair(const char *a, const char *b)
{
    return g_strconcat(a, "\n", b, NULL);
}

void
fold_add_intent(Centre *c, FoldIntent *in)
{
    add_number(c->memory, in->upstream, in->memory_mb);
    add_number(c->replicas, in->model, 1);
    g_hash_table_insert(c->intents, fold_join_pair(in->upstream, in->model),
                        in);
}

static FoldResult
set_conflict(GString *why, const char *text)
{
    g_string_assign(why, text);
    return FOLD_CONFLICT;
}

static FoldGrant *
make_grant(const Bg__ClaimRecord *r, uint64_t epoch)
{
    FoldGrant *g = g_new0(FoldGrant, 1);
    g->first_epoch = epoch;
    g->last_epoch = epoch;
    g->upstreams = g_ptr_array_new_with_free_func(g_free);
    g->deployments = g_ptr_array_new_with_free_func(g_free);
    for (size_t i = 0; i < r->n_grant; i++) {
        g_ptr_array_add(g->upstreams, g_strdup(r->grant[i]->upstream));
        g_ptr_array_add(g->deployments, g_strdup(r->grant[i]->deployment));
    }
    return g;
}

static bool
is_same_list(const GPtrArray *a, const GPtrArray *b)
{
    if (a->len != b->len) {
        return false;
    }
    for (guint i = 0; i < a->len; i++) {
        if (strcmp(a->pdata[i], b->pdata[i]) != 0) {
            return false;
        }
    }
    return true;
}

/* A grant stays until an owner clears it: an earlier owner may have used it
   without a record.  With FOLD_MAX_GRANTS different lists outstanding, a
   claim with another list gets no grant. */
static void
add_grant(Centre *c, const Bg__ClaimRecord *r, uint64_t epoch)
{
    FoldGrant *g = make_grant(r, epoch);
    for (guint i = 0; i < c->grants->len; i++) {
        FoldGrant *old = c->grants->pdata[i];
        if (is_same_list(old->upstreams, g->upstreams) &&
            is_same_list(old->deployments, g->deployments)) {
            old->last_epoch = epoch;
            free_grant(g);
            return;
        }
    }
    if (g->upstreams->len == 0 || c->grants->len >= FOLD_MAX_GRANTS) {
        free_grant(g);
        return;
    }
    g_ptr_array_add(c->grants, g);
}

static FoldResult
apply_claim(Fold *f, uint64_t offset, const Bg__ClaimRecord *r, GString *why)
{
    Centre *c = fold_ensure_centre(f, r->data_centre);
    if (r->base_epoch != c->claim.epoch) {
        return set_conflict(why, "another claim came first");
    }
    g_free(c->claim.holder);
    c->claim.holder = g_strdup(r->holder);
    c->claim.epoch = offset;
    add_grant(c, r, offset);
    return FOLD_APPLIED;
}

static FoldResult
apply_clear(Fold *f, const Bg__ClearRecord *r, GString *why)
{
    Centre *c = fold_ensure_centre(f, r->data_centre);
    if (r->epoch != c->claim.epoch) {
        return set_conflict(why, "the epoch is not current");
    }
    for (guint i = c->grants->len; i > 0; i--) {
        FoldGrant *g = c->grants->pdata[i - 1];
        if (g->last_epoch < r->epoch) {
            g_ptr_array_remove_index(c->grants, i - 1);
        }
        else {
            g->first_epoch = r->epoch;
        }
    }
    return FOLD_APPLIED;
}

/* ---- orders that may still arrive --------------------------------------- */

static void
add_open_epoch(FoldIntent *in, uint64_t epoch)
{
    for (guint i = 0; i < in->open->len; i++) {
        if (g_array_index(in->open, uint64_t, i) == epoch) {
            return;
        }
    }
    g_array_append_val(in->open, epoch);
}

static void
remove_open_epoch(FoldIntent *in, uint64_t epoch)
{
    for (guint i = 0; i < in->open->len; i++) {
        if (g_array_index(in->open, uint64_t, i) == epoch) {
            g_array_remove_index_fast(in->open, i);
            return;
        }
    }
}

bool
fold_has_pending_order(const FoldIntent *in, uint64_t except)
{
    for (guint i = 0; i < in->open->len; i++) {
        if (g_array_index(in->open, uint64_t, i) != except) {
            return true;
        }
    }
    return false;
}

/* The limits on memory and replicas are checked here, at the record's offset,
   so that no owner, even a paused or late one, can record a load that does
   not fit.  An order is sent only after its record took effect. */
static FoldResult
check_intent(const Centre *c, const Bg__IntentRecord *r, GString *why)
{
    if (r->epoch != c->claim.epoch) {
        return set_conflict(why, "the epoch is not current");
    }
    if (g_hash_table_contains(c->quiesced, &r->epoch)) {
        return set_conflict(why, "the epoch was handed over");
    }
    g_autofree char *pair = fold_join_pair(r->upstream, r->model);
    if (g_hash_table_contains(c->intents, pair)) {
        return set_conflict(why, "already counted there");
    }
    uint64_t memory = (uint64_t)get_number(c->memory, r->upstream);
    if (memory + r->memory_mb > r->capacity_mb) {
        return set_conflict(why, "does not fit the memory");
    }
    if (get_number(c->replicas, r->model) >= r->ceiling) {
        return set_conflict(why, "replica ceiling is reached");
    }
    return FOLD_APPLIED;
}

/* The load that R names, if it was recorded before and the current owner may
   order it again.  That owner's orders may then still arrive too. */
static FoldIntent *
find_same_load(const Centre *c, const Bg__IntentRecord *r)
{
    g_autofree char *pair = fold_join_pair(r->upstream, r->model);
    FoldIntent *in = g_hash_table_lookup(c->intents, pair);
    bool same = in && strcmp(in->load_id, r->load_id) == 0 &&
                strcmp(in->boot, r->boot) == 0 &&
                in->memory_mb == r->memory_mb;
    bool may_order = r->epoch == c->claim.epoch &&
                     !g_hash_table_contains(c->quiesced, &r->epoch);
    return same && may_order ? in : NULL;
}

static FoldResult
apply_intent(Fold *f, const Bg__IntentRecord *r, GString *why)
{
    Centre *c = fold_ensure_centre(f, r->data_centre);
    FoldIntent *in = find_same_load(c, r);
    if (in) {
        add_open_epoch(in, r->epoch);
        return FOLD_APPLIED;
    }
    FoldResult result = check_intent(c, r, why);
    if (result != FOLD_APPLIED) {
        return result;
    }
    in = g_new0(FoldIntent, 1);
    in->open = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    add_open_epoch(in, r->epoch);
    in->upstream = g_strdup(r->upstream);
    in->model = g_strdup(r->model);
    in->load_id = g_strdup(r->load_id);
    in->boot = g_strdup(r->boot);
    in->memory_mb = r->memory_mb;
    in->epoch = r->epoch;
    in->fenced = r->fenced;
    in->adapter = r->adapter;
    fold_add_intent(c, in);
    return FOLD_APPLIED;
}

static FoldResult
apply_settle(Fold *f, const Bg__SettleRecord *r, GString *why)
{
    Centre *c = fold_ensure_centre(f, r->data_centre);
    if (r->epoch != c->claim.epoch) {
        return set_conflict(why, "the epoch is not current");
    }
    g_autofree char *pair = fold_join_pair(r->upstream, r->model);
    FoldIntent *in = g_hash_table_lookup(c->intents, pair);
    if (!in || strcmp(in->load_id, r->load_id) != 0) {
        return set_conflict(why, "no such load");
    }
    if (r->loaded) {
        in->loaded = true;
        if (r->closed) {
            remove_open_epoch(in, r->epoch);
        }
        return FOLD_APPLIED;
    }
    /* An upstream without fencing accepts a late order of a former owner, so
       the load counts until that order can no longer arrive. */
    if (!in->fenced && !r->life_ended &&
        fold_has_pending_order(in, r->epoch)) {
        return set_conflict(why, "an order may still arrive");
    }
    add_number(c->memory, in->upstream, -(int64_t)in->memory_mb);
    add_number(c->replicas, in->model, -1);
    g_hash_table_remove(c->intents, pair);
    return FOLD_APPLIED;
}

static bool
is_excepted(const Bg__QuiesceRecord *r, const FoldIntent *in)
{
    for (size_t i = 0; i < r->n_open; i++) {
        if (strcmp(r->open[i]->upstream, in->upstream) == 0 &&
            strcmp(r->open[i]->model, in->model) == 0) {
            return true;
        }
    }
    return false;
}

static FoldResult
apply_quiesce(Fold *f, const Bg__QuiesceRecord *r)
{
    Centre *c = fold_ensure_centre(f, r->data_centre);
    uint64_t *epoch = g_new(uint64_t, 1);
    *epoch = r->epoch;
    g_hash_table_add(c->quiesced, epoch);
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->intents);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        FoldIntent *in = p;
        if (!is_excepted(r, in)) {
            remove_open_epoch(in, r->epoch);
        }
    }
    return FOLD_APPLIED;
}

static const Centre *
find_centre(const Fold *f, const char *name)
{
    return g_hash_table_lookup(f->centres, name);
}

const FoldClaim *
fold_find_claim(const Fold *f, const char *data_centre)
{
    const Centre *c = find_centre(f, data_centre);
    return c && c->claim.epoch ? &c->claim : NULL;
}

const FoldIntent *
fold_find_intent(const Fold *f, const char *data_centre, const char *upstream,
                 const char *model)
{
    const Centre *c = find_centre(f, data_centre);
    g_autofree char *pair = fold_join_pair(upstream, model);
    return c ? g_hash_table_lookup(c->intents, pair) : NULL;
}

void
fold_visit_intents(const Fold *f, const char *data_centre,
                   FoldIntentVisitor visit, void *ctx)
{
    const Centre *c = find_centre(f, data_centre);
    if (!c) {
        return;
    }
    GHashTableIter it;
    gpointer in;
    g_hash_table_iter_init(&it, c->intents);
    while (g_hash_table_iter_next(&it, NULL, &in)) {
        visit(ctx, in);
    }
}

uint32_t
fold_count_memory(const Fold *f, const char *data_centre, const char *upstream)
{
    const Centre *c = find_centre(f, data_centre);
    return c ? get_number(c->memory, upstream) : 0;
}

uint32_t
fold_count_replicas(const Fold *f, const char *data_centre, const char *model)
{
    const Centre *c = find_centre(f, data_centre);
    return c ? get_number(c->replicas, model) : 0;
}

bool
fold_is_quiesced(const Fold *f, const char *data_centre, uint64_t epoch)
{
    const Centre *c = find_centre(f, data_centre);
    return c && g_hash_table_contains(c->quiesced, &epoch);
}

const GPtrArray *
fold_get_grants(const Fold *f, const char *data_centre)
{
    const Centre *c = find_centre(f, data_centre);
    return c ? c->grants : NULL;
}

/* ---- non-idempotent calls ----------------------------------------------- */

static FoldResult
apply_key(Fold *f, const Bg__KeyRecord *r, GString *why)
{
    return keys_apply(f->keys, r, why) ? FOLD_APPLIED : FOLD_CONFLICT;
}

const KeyEntry *
fold_find_key(const Fold *f, const char *workspace, const char *key)
{
    return keys_find(f->keys, workspace, key);
}

uint32_t
fold_count_keys(const Fold *f)
{
    return keys_count(f->keys);
}

/* ---- deadly requests ---------------------------------------------------- */

static char *
format_digest(const uint8_t *digest)
{
    char *hex = g_malloc(2 * BG_DIGEST_BYTES + 1);
    bg_format_hex(digest, BG_DIGEST_BYTES, hex);
    return hex;
}

static void
remove_deaths(Fold *f, Deaths *d)
{
    char *hex = d->link->data;
    g_queue_delete_link(&f->death_order, d->link);
    g_hash_table_remove(f->deaths, hex);
}

static void
expire_deaths(Fold *f)
{
    uint64_t now_ms = keys_get_log_time_ms(f->keys);
    while (f->death_order.head) {
        Deaths *d = g_hash_table_lookup(f->deaths, f->death_order.head->data);
        bool old = now_ms > d->born_ms + DEATH_RETENTION_MS;
        if (!old && g_hash_table_size(f->deaths) < MAX_DEATHS) {
            return;
        }
        remove_deaths(f, d);
    }
}

Deaths *
fold_ensure_deaths(Fold *f, const uint8_t *digest, uint64_t born_ms)
{
    char *hex = format_digest(digest);
    Deaths *d = g_hash_table_lookup(f->deaths, hex);
    if (d) {
        g_free(hex);
        return d;
    }
    expire_deaths(f);
    d = g_new0(Deaths, 1);
    memcpy(d->digest, digest, 32);
    d->upstreams = g_ptr_array_new_with_free_func(g_free);
    d->born_ms = born_ms;
    g_hash_table_insert(f->deaths, hex, d);
    g_queue_push_tail(&f->death_order, hex);
    d->link = f->death_order.tail;
    return d;
}

static const Deaths *
find_deaths(const Fold *f, const uint8_t *digest)
{
    g_autofree char *hex = format_digest(digest);
    return g_hash_table_lookup(f->deaths, hex);
}

/* A death is also counted for harmless requests in flight on the same
   upstream.  It is cleared once such a request ran alone and was answered,
   else two unrelated deaths would quarantine it. */
static FoldResult
clear_deaths(Fold *f, const Bg__DeathRecord *r, GString *why)
{
    Deaths *d = (Deaths *)find_deaths(f, r->request_digest.data);
    if (!d) {
        return set_conflict(why, "nothing to clear");
    }
    if (d->upstreams->len >= FOLD_DEATHS_TO_QUARANTINE) {
        return set_conflict(why, "it is quarantined");
    }
    remove_deaths(f, d);
    return FOLD_APPLIED;
}

static FoldResult
apply_death(Fold *f, const Bg__DeathRecord *r, GString *why)
{
    if (r->request_digest.len != 32) {
        g_string_assign(why, "bad digest");
        return FOLD_INVALID;
    }
    keys_note_time(f->keys, r->author, r->wall_ms);
    if (r->cleared) {
        return clear_deaths(f, r, why);
    }
    Deaths *d = fold_ensure_deaths(f, r->request_digest.data,
                                   keys_get_born_ms(f->keys, r->wall_ms));
    if (g_ptr_array_find_with_equal_func(d->upstreams, r->upstream,
                                         g_str_equal, NULL)) {
        return set_conflict(why, "already counted");
    }
    g_ptr_array_add(d->upstreams, g_strdup(r->upstream));
    return FOLD_APPLIED;
}

uint32_t
fold_count_deaths(const Fold *f, const uint8_t digest[32])
{
    const Deaths *d = find_deaths(f, digest);
    if (!d ||
        keys_get_log_time_ms(f->keys) > d->born_ms + DEATH_RETENTION_MS) {
        return 0;
    }
    return d->upstreams->len;
}

bool
fold_has_death(const Fold *f, const uint8_t digest[32], const char *upstream)
{
    const Deaths *d = find_deaths(f, digest);
    return d && g_ptr_array_find_with_equal_func(d->upstreams, upstream,
                                                 g_str_equal, NULL);
}

/* ---- checkpoints -------------------------------------------------------- */

static FoldCheckpoint *
find_pending(Fold *f, uint64_t offset, const Bg__CheckpointRecord *r)
{
    for (guint i = 0; i < f->pending->len; i++) {
        FoldCheckpoint *c = f->pending->pdata[i];
        if (strcmp(c->id, r->checkpoint_id) == 0) {
            return c;
        }
    }
    FoldCheckpoint *c = g_new0(FoldCheckpoint, 1);
    c->id = g_strdup(r->checkpoint_id);
    c->covered = r->covered_offset;
    c->first_offset = offset;
    c->chunks = r->chunks;
    c->seen = g_malloc0(r->chunks);
    g_ptr_array_add(f->pending, c);
    if (f->pending->len > MAX_PENDING_CHECKPOINTS) {
        g_ptr_array_remove_index(f->pending, 0);
    }
    return c;
}

/* Every process tracks which checkpoints the log holds, so that all know when
   the next one is due and none is written twice. */
static FoldResult
apply_checkpoint(Fold *f, uint64_t offset, const Bg__CheckpointRecord *r,
                 GString *why)
{
    if (r->chunks == 0 || r->chunks > MAX_CHUNKS || r->chunk >= r->chunks ||
        r->covered_offset >= offset) {
        g_string_assign(why, "bad checkpoint");
        return FOLD_INVALID;
    }
    FoldCheckpoint *c = find_pending(f, offset, r);
    if (c->chunks != r->chunks || c->covered != r->covered_offset) {
        g_string_assign(why, "differs from its other parts");
        return FOLD_INVALID;
    }
    c->last_offset = offset;
    c->seen[r->chunk] = 1;
    if (memchr(c->seen, 0, c->chunks)) {
        return FOLD_APPLIED;
    }
    g_ptr_array_set_free_func(f->pending, NULL);
    g_ptr_array_remove(f->pending, c);
    g_ptr_array_set_free_func(f->pending, free_checkpoint);
    if (f->checkpoint && c->covered <= f->checkpoint->covered) {
        fold_free_checkpoint(c);
        return set_conflict(why, "a newer checkpoint is whole");
    }
    fold_free_checkpoint(f->checkpoint);
    f->checkpoint = c;
    f->entries_since = 0;
    return FOLD_APPLIED;
}

const FoldCheckpoint *
fold_get_checkpoint(const Fold *f)
{
    return f->checkpoint;
}

bool
fold_has_pending_checkpoint(const Fold *f)
{
    return f->pending->len > 0;
}

uint64_t
fold_count_entries_since(const Fold *f)
{
    return f->entries_since;
}

/* ---- entries ------------------------------------------------------------ */

static FoldResult
apply_record(Fold *f, uint64_t offset, const Bg__Record *r, GString *why)
{
    switch (r->body_case) {
    case BG__RECORD__BODY_CONFIG:
        return apply_config(f, offset, r->config, why);
    case BG__RECORD__BODY_CLAIM:
        return apply_claim(f, offset, r->claim, why);
    case BG__RECORD__BODY_INTENT:
        return apply_intent(f, r->intent, why);
    case BG__RECORD__BODY_SETTLE:
        return apply_settle(f, r->settle, why);
    case BG__RECORD__BODY_QUIESCE:
        return apply_quiesce(f, r->quiesce);
    case BG__RECORD__BODY_CLEAR:
        return apply_clear(f, r->clear, why);
    case BG__RECORD__BODY_KEY:
        return apply_key(f, r->key, why);
    case BG__RECORD__BODY_DEATH:
        return apply_death(f, r->death, why);
    case BG__RECORD__BODY_CHECKPOINT:
        return apply_checkpoint(f, offset, r->checkpoint, why);
    default:
        g_string_assign(why, "unknown kind");
        return FOLD_INVALID;
    }
}

void
fold_add_batch_id(Fold *f, const char *id, uint64_t digest)
{
    char *copy = g_strdup(id);
    uint64_t *value = g_new(uint64_t, 1);
    *value = digest;
    g_hash_table_insert(f->batches, copy, value);
    g_queue_push_tail(&f->batch_order, copy);
    if (g_queue_get_length(&f->batch_order) > KEPT_BATCH_IDS) {
        g_hash_table_remove(f->batches, g_queue_pop_head(&f->batch_order));
    }
}

/* Whether a batch with this id was applied before. */
static bool
is_duplicate(const Fold *f, const char *id, uint64_t digest)
{
    const uint64_t *seen = g_hash_table_lookup(f->batches, id);
    if (seen && *seen != digest) {
        bg_log(BG_FAULT, "fold", "Batch id %s was reused with other bytes.",
               id);
    }
    return seen != NULL;
}

static bool
is_checkpoint(const RecBatch *b)
{
    return b->list->n_records > 0 &&
           b->list->records[0]->body_case == BG__RECORD__BODY_CHECKPOINT;
}

static void
apply_batch(Fold *f, uint64_t offset, const RecBatch *batch)
{
    g_autoptr(GString) why = g_string_new(NULL);
    for (size_t i = 0; i < batch->list->n_records; i++) {
        const Bg__Record *r = batch->list->records[i];
        g_string_truncate(why, 0);
        FoldResult result = apply_record(f, offset, r, why);
        if (f->observe) {
            f->observe(f->observe_ctx, offset, batch->batch_id, r, result,
                       why->str);
        }
    }
}

bool
fold_apply(Fold *f, uint64_t offset, const uint8_t *data, size_t len,
           GError **err)
{
    if (offset <= f->offset) {
        return true;
    }
    /* A batch is decoded completely before any of it takes effect. */
    RecBatch batch = {0};
    g_autoptr(GError) bad = NULL;
    bool good = rec_decode_batch(data, len, &batch, &bad);
    if (!good && bad->code == BG_ERR_NEWER) {
        /* Skipping an entry that newer processes apply would silently give
           two different states at one offset. */
        g_propagate_error(err, g_steal_pointer(&bad));
        return false;
    }
    f->offset = offset;
    f->chain = XXH64(data, len, f->chain);
    f->entries_since++;
    if (!good) {
        g_propagate_error(err, g_steal_pointer(&bad));
        return false;
    }
    uint64_t digest = XXH64(data, len, 0);
    if (!is_duplicate(f, batch.batch_id, digest)) {
        fold_add_batch_id(f, batch.batch_id, digest);
        if (is_checkpoint(&batch)) {
            f->entries_since--;
        }
        apply_batch(f, offset, &batch);
    }
    rec_free_batch(&batch);
    return true;
}
