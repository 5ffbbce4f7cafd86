#include "stream_notes.h"

#include <string.h>
#include <xxhash.h>

typedef struct {
    uint64_t key;
    uint64_t until_ms;
    /* Of Sn.names; as in SnNote. */
    const char *version;
    const char *service;
    const char *model;
    char *attempt;
    bool sent;
} Note;

struct Sn {
    GHashTable *notes; /* key -> Note */
    GHashTable *names; /* set of char *: versions, services, models */
    uint32_t most;
};

static void
free_note(void *p)
{
    Note *n = p;
    g_free(n->attempt);
    g_free(n);
}

Sn *
sn_create(uint32_t most)
{
    Sn *s = g_new0(Sn, 1);
    s->notes =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_note);
    s->names = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    s->most = most;
    return s;
}

void
sn_destroy(Sn *s)
{
    g_hash_table_destroy(s->notes);
    g_hash_table_destroy(s->names);
    g_free(s);
}

static uint64_t
digest(uint64_t seed, const char *text)
{
    const char *t = text ? text : "";
    return XXH64(t, strlen(t) + 1, seed);
}

uint64_t
sn_make_key(const char *workspace, const char *service, const char *model,
            const char *attempt)
{
    uint64_t key = digest(0, workspace);
    key = digest(key, service);
    key = digest(key, model);
    return digest(key, attempt);
}

/* Versions, services and models are few and come again. */
static const char *
keep_name(Sn *s, const char *name)
{
    if (!name) {
        return NULL;
    }
    const char *kept = g_hash_table_lookup(s->names, name);
    if (!kept) {
        char *copy = g_strdup(name);
        g_hash_table_add(s->names, copy);
        kept = copy;
    }
    return kept;
}

bool
sn_add(Sn *s, uint64_t now_ms, const SnNote *note)
{
    uint64_t until_ms = now_ms + note->left_ms;
    Note *n = g_hash_table_lookup(s->notes, &note->key);
    if (n) {
        bool differs = g_strcmp0(n->version, note->version) != 0;
        n->version = differs ? NULL : n->version;
        n->until_ms = MAX(n->until_ms, until_ms);
        return false;
    }
    if (g_hash_table_size(s->notes) >= s->most) {
        return false;
    }
    n = g_new0(Note, 1);
    n->key = note->key;
    n->until_ms = until_ms;
    n->version = keep_name(s, note->version);
    n->service = keep_name(s, note->service);
    n->model = keep_name(s, note->model);
    n->attempt = g_strdup(note->attempt);
    g_hash_table_insert(s->notes, &n->key, n);
    return true;
}

void
sn_set_sent(Sn *s, uint64_t key)
{
    Note *n = g_hash_table_lookup(s->notes, &key);
    if (n) {
        n->sent = true;
    }
}

const char *
sn_find(const Sn *s, uint64_t now_ms, uint64_t key)
{
    const Note *n = g_hash_table_lookup(s->notes, &key);
    return n && now_ms < n->until_ms ? n->version : NULL;
}

void
sn_visit(const Sn *s, uint64_t now_ms,
         void (*visit)(void *ctx, const SnNote *note), void *ctx)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->notes);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Note *n = v;
        if (now_ms < n->until_ms) {
            SnNote note = {n->key,     n->version,
                           n->service, n->model,
                           n->attempt, (uint32_t)(n->until_ms - now_ms),
                           n->sent};
            visit(ctx, &note);
        }
    }
}

static gboolean
is_over(gpointer key, gpointer note, gpointer now_ms)
{
    (void)key;
    return *(uint64_t *)now_ms >= ((Note *)note)->until_ms;
}

void
sn_on_tick(Sn *s, uint64_t now_ms)
{
    g_hash_table_foreach_remove(s->notes, is_over, &now_ms);
    if (g_hash_table_size(s->notes) == 0) {
        g_hash_table_remove_all(s->names);
    }
}

uint32_t
sn_count(const Sn *s)
{
    return g_hash_table_size(s->notes);
}
