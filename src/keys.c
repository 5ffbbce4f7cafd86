#include "keys.h"

#include <string.h>

/* Dropping the oldest is safe: if its claim still arrives, no router sends the
   call; the key then answers "may have run" until it expires. */
#define MAX_VOID_ATTEMPTS 16384
/* Bounds the work of a claim. */
#define EXPIRY_CHECKS_PER_CLAIM 8

typedef struct {
    char *author;
    uint64_t wall_ms;
} Clock;

struct KeyTable {
    GHashTable *keys; /* "workspace\nkey" -> KeyEntry */
    GQueue order;     /* KeyEntry, oldest claim first */
    GQueue bodies;    /* KeyEntry with a kept body, oldest first */
    size_t body_bytes;
    GHashTable *void_attempts; /* ids of released attempts: their claims are
                                  rejected */
    GQueue void_order;         /* owned by void_attempts */
    Clock highest;             /* the VM with the highest wall time */
    Clock second_highest;      /* highest of the other VMs: log time */
};

/* ---- creation ----------------------------------------------------------- */

static void
free_entry(gpointer p)
{
    KeyEntry *k = p;
    g_free(k->attempt_id);
    g_free(k->content_type);
    g_free(k->body);
    g_free(k->pair);
    g_free(k);
}

KeyTable *
keys_create(void)
{
    KeyTable *t = g_new0(KeyTable, 1);
    t->keys = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_entry);
    g_queue_init(&t->order);
    g_queue_init(&t->bodies);
    t->void_attempts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_queue_init(&t->void_order);
    return t;
}

void
keys_destroy(KeyTable *t)
{
    if (!t) {
        return;
    }
    g_queue_clear(&t->order);
    g_queue_clear(&t->bodies);
    g_queue_clear(&t->void_order);
    g_hash_table_destroy(t->keys);
    g_hash_table_destroy(t->void_attempts);
    g_free(t->highest.author);
    g_free(t->second_highest.author);
    g_free(t);
}

/* ---- log time ----------------------------------------------------------- */

static void
set_clock(Clock *c, const char *author, uint64_t wall_ms)
{
    if (g_strcmp0(c->author, author) != 0) {
        g_free(c->author);
        c->author = g_strdup(author);
    }
    c->wall_ms = MAX(c->wall_ms, wall_ms);
}

/* If log time were the highest time, a single wrong clock would expire all
   keys at once, and their calls could run again.  The second highest, of
   another VM, is no further ahead than that VM's clock. */
void
keys_note_time(KeyTable *t, const char *author, uint64_t wall_ms)
{
    if (!*author || wall_ms == 0) {
        return;
    }
    if (g_strcmp0(t->highest.author, author) == 0) {
        set_clock(&t->highest, author, wall_ms);
    }
    else if (wall_ms > t->highest.wall_ms) {
        g_free(t->second_highest.author);
        t->second_highest = t->highest;
        t->highest = (Clock){NULL, 0};
        set_clock(&t->highest, author, wall_ms);
    }
    else if (wall_ms > t->second_highest.wall_ms) {
        set_clock(&t->second_highest, author, wall_ms);
    }
}

uint64_t
keys_get_log_time_ms(const KeyTable *t)
{
    return t->second_highest.wall_ms;
}

uint64_t
keys_get_born_ms(const KeyTable *t, uint64_t wall_ms)
{
    return MAX(keys_get_log_time_ms(t), wall_ms);
}

/* ---- the table ---------------------------------------------------------- */

static void
drop_body(KeyTable *t, KeyEntry *k)
{
    if (k->body_link) {
        g_queue_delete_link(&t->bodies, k->body_link);
        k->body_link = NULL;
        t->body_bytes -= k->body_len;
    }
    g_clear_pointer(&k->body, g_free);
    k->body_len = 0;
}

static void
remove_key(KeyTable *t, KeyEntry *k)
{
    drop_body(t, k);
    g_queue_delete_link(&t->order, k->link);
    g_hash_table_remove(t->keys, k->pair);
}

static bool
is_expired(const KeyTable *t, const KeyEntry *k)
{
    uint64_t now_ms = keys_get_log_time_ms(t);
    bool full = g_hash_table_size(t->keys) >= KEYS_MAX;
    uint64_t retention_ms = full ? KEYS_MIN_RETENTION_MS : KEYS_RETENTION_MS;
    return now_ms > k->born_ms && now_ms - k->born_ms > retention_ms;
}

/* The queue is checked from its head.  A key with a time in the future, of a
   VM whose clock is ahead, would block all behind it: it moves to the end. */
static void
remove_expired(KeyTable *t)
{
    for (int i = 0; i < EXPIRY_CHECKS_PER_CLAIM && t->order.head; i++) {
        KeyEntry *k = t->order.head->data;
        if (is_expired(t, k)) {
            remove_key(t, k);
        }
        else if (k->born_ms > keys_get_log_time_ms(t)) {
            g_queue_unlink(&t->order, k->link);
            g_queue_push_tail_link(&t->order, k->link);
        }
        else {
            return;
        }
    }
}

static void
add_void(KeyTable *t, const char *attempt_id)
{
    if (g_hash_table_contains(t->void_attempts, attempt_id)) {
        return;
    }
    char *copy = g_strdup(attempt_id);
    g_hash_table_add(t->void_attempts, copy);
    g_queue_push_tail(&t->void_order, copy);
    if (g_queue_get_length(&t->void_order) > MAX_VOID_ATTEMPTS) {
        g_hash_table_remove(t->void_attempts,
                            g_queue_pop_head(&t->void_order));
    }
}

static bool
reject(GString *why, const char *text)
{
    g_string_assign(why, text);
    return false;
}

static void
add_key(KeyTable *t, const Bg__KeyRecord *r, const char *pair)
{
    KeyEntry *k = g_new0(KeyEntry, 1);
    k->step = BG__KEY_STEP__KEY_CLAIM;
    k->attempt_id = g_strdup(r->attempt_id);
    memcpy(k->request_digest, r->request_digest.data, 32);
    k->expires_wall_ms = r->expires_wall_ms;
    k->born_ms = keys_get_born_ms(t, r->wall_ms);
    k->pair = g_strdup(pair);
    g_queue_push_tail(&t->order, k);
    k->link = t->order.tail;
    g_hash_table_insert(t->keys, k->pair, k);
}

static bool
apply_claim(KeyTable *t, const Bg__KeyRecord *r, const char *pair,
            GString *why)
{
    /* A router that answered "not run" has released the attempt.  Its claim
       may still arrive after the release, or a second time after a lost
       acknowledgement, and must have no effect. */
    if (g_hash_table_contains(t->void_attempts, r->attempt_id)) {
        return reject(why, "the attempt was given up");
    }
    if (r->request_digest.len != 32) {
        return reject(why, "bad digest");
    }
    remove_expired(t);
    if (g_hash_table_contains(t->keys, pair)) {
        return reject(why, "the key is taken");
    }
    if (g_hash_table_size(t->keys) >= KEYS_MAX) {
        return reject(why, "the key table is full");
    }
    add_key(t, r, pair);
    return true;
}

static void
keep_answer(KeyTable *t, KeyEntry *k, const Bg__KeyRecord *r)
{
    k->status = r->status;
    g_free(k->content_type);
    k->content_type = g_strdup(r->content_type);
    drop_body(t, k);
    k->answer_dropped = r->answer_dropped || r->body.len > KEYS_MAX_BODY_BYTES;
    if (k->answer_dropped || r->body.len == 0) {
        return;
    }
    k->body = g_memdup2(r->body.data, r->body.len);
    k->body_len = r->body.len;
    g_queue_push_tail(&t->bodies, k);
    k->body_link = t->bodies.tail;
    t->body_bytes += k->body_len;
    while (t->body_bytes > KEYS_MAX_BODIES_BYTES) {
        KeyEntry *oldest = t->bodies.head->data;
        oldest->answer_dropped = true;
        drop_body(t, oldest);
    }
}

static bool
apply_release(KeyTable *t, const Bg__KeyRecord *r, KeyEntry *k, GString *why)
{
    if (k->step == BG__KEY_STEP__KEY_UNKNOWN) {
        return reject(why, "the call may have run");
    }
    add_void(t, r->attempt_id);
    remove_key(t, k);
    return true;
}

static bool
apply_outcome(KeyTable *t, const Bg__KeyRecord *r, const char *pair,
              GString *why)
{
    KeyEntry *k = g_hash_table_lookup(t->keys, pair);
    bool release = r->step == BG__KEY_STEP__KEY_RELEASE;
    if (!k || strcmp(k->attempt_id, r->attempt_id) != 0) {
        if (release) {
            add_void(t, r->attempt_id);
        }
        return reject(why, "the attempt does not hold the key");
    }
    if (k->step == BG__KEY_STEP__KEY_RESULT) {
        return reject(why, "the result is already recorded");
    }
    if (release) {
        return apply_release(t, r, k, why);
    }
    k->step = r->step;
    keep_answer(t, k, r);
    return true;
}

static char *
join_pair(const char *workspace, const char *key)
{
    return g_strconcat(workspace, "\n", key, NULL);
}

bool
keys_apply(KeyTable *t, const Bg__KeyRecord *r, GString *why)
{
    keys_note_time(t, r->author, r->wall_ms);
    g_autofree char *pair = join_pair(r->workspace, r->key);
    if (r->step == BG__KEY_STEP__KEY_CLAIM) {
        return apply_claim(t, r, pair, why);
    }
    return apply_outcome(t, r, pair, why);
}

const KeyEntry *
keys_find(const KeyTable *t, const char *workspace, const char *key)
{
    g_autofree char *pair = join_pair(workspace, key);
    return g_hash_table_lookup(t->keys, pair);
}

uint32_t
keys_count(const KeyTable *t)
{
    return g_hash_table_size(t->keys);
}

/* ---- checkpoints -------------------------------------------------------- */

static Bg__KeyRecord *
save_record(const KeyEntry *k)
{
    g_auto(GStrv) words = g_strsplit(k->pair, "\n", 2);
    Bg__KeyRecord *r = g_new(Bg__KeyRecord, 1);
    bg__key_record__init(r);
    r->workspace = g_strdup(words[0]);
    r->key = g_strdup(words[1]);
    r->step = k->step;
    r->attempt_id = g_strdup(k->attempt_id);
    r->request_digest.data = g_memdup2(k->request_digest, 32);
    r->request_digest.len = 32;
    r->expires_wall_ms = k->expires_wall_ms;
    r->status = k->status;
    if (k->content_type) {
        r->content_type = g_strdup(k->content_type);
    }
    r->body.data = g_memdup2(k->body, k->body_len);
    r->body.len = k->body_len;
    r->answer_dropped = k->answer_dropped;
    return r;
}

static void
save_bodies(const KeyTable *t, GHashTable *indexes, Bg__SnapshotKeys *s)
{
    s->bodies = g_new0(uint32_t, g_queue_get_length((GQueue *)&t->bodies) + 1);
    for (GList *l = t->bodies.head; l; l = l->next) {
        s->bodies[s->n_bodies++] =
            GPOINTER_TO_UINT(g_hash_table_lookup(indexes, l->data));
    }
}

static void
save_clock(const Clock *c, char **author, uint64_t *wall_ms)
{
    if (c->author) {
        *author = g_strdup(c->author);
    }
    *wall_ms = c->wall_ms;
}

Bg__SnapshotKeys *
keys_save(const KeyTable *t)
{
    Bg__SnapshotKeys *s = g_new(Bg__SnapshotKeys, 1);
    bg__snapshot_keys__init(s);
    g_autoptr(GHashTable) indexes = g_hash_table_new(NULL, NULL);
    s->keys = g_new0(Bg__SnapshotKey *, g_hash_table_size(t->keys) + 1);
    for (GList *l = t->order.head; l; l = l->next) {
        const KeyEntry *k = l->data;
        Bg__SnapshotKey *out = g_new(Bg__SnapshotKey, 1);
        bg__snapshot_key__init(out);
        out->record = save_record(k);
        out->born_ms = k->born_ms;
        g_hash_table_insert(indexes, l->data, GUINT_TO_POINTER(s->n_keys));
        s->keys[s->n_keys++] = out;
    }
    save_bodies(t, indexes, s);
    s->void_attempts = g_new0(char *, g_hash_table_size(t->void_attempts) + 1);
    for (GList *l = t->void_order.head; l; l = l->next) {
        s->void_attempts[s->n_void_attempts++] = g_strdup(l->data);
    }
    save_clock(&t->highest, &s->ahead_author, &s->ahead_ms);
    save_clock(&t->second_highest, &s->second_author, &s->second_ms);
    return s;
}

static KeyEntry *
load_key(KeyTable *t, const Bg__SnapshotKey *s)
{
    const Bg__KeyRecord *r = s->record;
    if (!r || r->request_digest.len != 32) {
        return NULL;
    }
    g_autofree char *pair = join_pair(r->workspace, r->key);
    add_key(t, r, pair);
    KeyEntry *k = t->order.tail->data;
    k->born_ms = s->born_ms;
    k->step = r->step;
    k->status = r->status;
    k->answer_dropped = r->answer_dropped;
    if (r->step != BG__KEY_STEP__KEY_CLAIM) {
        k->content_type = g_strdup(r->content_type);
    }
    k->body = g_memdup2(r->body.data, r->body.len);
    k->body_len = r->body.len;
    return k;
}

static bool
load_bodies(KeyTable *t, const Bg__SnapshotKeys *s, GPtrArray *entries)
{
    for (size_t i = 0; i < s->n_bodies; i++) {
        KeyEntry *k =
            s->bodies[i] < entries->len ? entries->pdata[s->bodies[i]] : NULL;
        if (!k || !k->body || k->body_link) {
            return false;
        }
        g_queue_push_tail(&t->bodies, k);
        k->body_link = t->bodies.tail;
        t->body_bytes += k->body_len;
    }
    return true;
}

static void
load_clock(Clock *c, const char *author, uint64_t wall_ms)
{
    if (*author) {
        set_clock(c, author, wall_ms);
    }
}

bool
keys_load(KeyTable *t, const Bg__SnapshotKeys *s, GError **err)
{
    if (!s) {
        return true;
    }
    g_autoptr(GPtrArray) entries = g_ptr_array_new();
    bool good = true;
    for (size_t i = 0; good && i < s->n_keys; i++) {
        KeyEntry *k = load_key(t, s->keys[i]);
        good = k != NULL;
        g_ptr_array_add(entries, k);
    }
    if (!good || !load_bodies(t, s, entries)) {
        g_set_error(err, BG_ERROR, BG_ERR_FORMAT,
                    "invalid record of an idempotency key");
        return false;
    }
    for (size_t i = 0; i < s->n_void_attempts; i++) {
        add_void(t, s->void_attempts[i]);
    }
    load_clock(&t->highest, s->ahead_author, s->ahead_ms);
    load_clock(&t->second_highest, s->second_author, s->second_ms);
    return true;
}
