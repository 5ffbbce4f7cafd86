/* Notes of which version began a stream (sn).  The leader has those of streams
   of unsettled shares, and writes them to the store, many at a time, so that
   they outlast all gateways.  Two of the gateways that are linked to it have
   those that it began itself.  A new leader reads those of the store and is
   sent the notes of all. */
#include "gateway_node.h"

#include <stdlib.h>

#define BACKUPS 2
#define MAX_ROWS 2000 /* of one frame or batch */
/* For so long after it began to lead a leader may lack the notes of others. */
#define GATHER_MS 1500
/* Batches that the store keeps; a newer one takes the place of the oldest.
   Together they outlast a stream. */
#define BATCHES 128

/* ---- sending ------------------------------------------------------------ */

/* Rows of a frame that is being filled. */
typedef struct {
    Gateway *g;
    GPtrArray *versions; /* char *, borrowed */
    GArray *keys;
    GArray *at;
    GArray *left_ms;
} Rows;

static Rows
create_rows(Gateway *g)
{
    return (Rows){g, g_ptr_array_new(),
                  g_array_new(FALSE, FALSE, sizeof(uint64_t)),
                  g_array_new(FALSE, FALSE, sizeof(uint32_t)),
                  g_array_new(FALSE, FALSE, sizeof(uint32_t))};
}

static void
clear_rows(Rows *r)
{
    g_ptr_array_set_size(r->versions, 0);
    g_array_set_size(r->keys, 0);
    g_array_set_size(r->at, 0);
    g_array_set_size(r->left_ms, 0);
}

static void
free_rows(Rows *r)
{
    g_ptr_array_free(r->versions, TRUE);
    g_array_free(r->keys, TRUE);
    g_array_free(r->at, TRUE);
    g_array_free(r->left_ms, TRUE);
}

static uint32_t
find_index(GPtrArray *versions, const char *version)
{
    for (guint i = 0; i < versions->len; i++) {
        if (strcmp(versions->pdata[i], version) == 0) {
            return i;
        }
    }
    g_ptr_array_add(versions, (char *)version);
    return versions->len - 1;
}

static Gwp__StreamNotes
borrow_rows(const Rows *r)
{
    Gwp__StreamNotes m = GWP__STREAM_NOTES__INIT;
    m.n_versions = r->versions->len;
    m.versions = (char **)r->versions->pdata;
    m.n_keys = m.n_at = m.n_left_ms = r->keys->len;
    m.keys = (uint64_t *)r->keys->data;
    m.at = (uint32_t *)r->at->data;
    m.left_ms = (uint32_t *)r->left_ms->data;
    return m;
}

/* The leader has two others keep them. */
static void
send_rows(Rows *r)
{
    if (r->keys->len == 0) {
        return;
    }
    Gwp__StreamNotes m = borrow_rows(r);
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_STREAM_NOTES;
    f.stream_notes = &m;
    if (r->g->is_leader) {
        lk_send_some(r->g->links, BACKUPS, &f);
    }
    else {
        lk_send_up(r->g->links, &f);
    }
    bg_count("gateway_stream_notes_sent_total", r->keys->len);
    clear_rows(r);
}

static void
add_row(Rows *r, const SnNote *note)
{
    if (!note->version) {
        return;
    }
    uint32_t at = find_index(r->versions, note->version);
    g_array_append_val(r->keys, note->key);
    g_array_append_val(r->at, at);
    g_array_append_val(r->left_ms, note->left_ms);
    if (r->keys->len >= MAX_ROWS) {
        send_rows(r);
    }
}

static void
add_any(void *ctx, const SnNote *note)
{
    Rows *r = ctx;
    /* Those of settled shares are known by the plan. */
    bool foreign = !note->attempt;
    if (foreign || vp_is_unsettled(r->g->versions, note->service, note->model,
                                   note->attempt)) {
        add_row(r, note);
    }
}

void
gn_report_notes(Gateway *g)
{
    Rows r = create_rows(g);
    sn_visit(g->notes, bg_boot_ms(), add_any, &r);
    send_rows(&r);
    free_rows(&r);
}

static void
add_unsent(void *ctx, const SnNote *note)
{
    Gateway *g = ctx;
    if (note->attempt && !note->sent &&
        vp_is_unsettled(g->versions, note->service, note->model,
                        note->attempt)) {
        g_array_append_val(g->notes_due, note->key);
    }
}

void
gn_collect_notes(Gateway *g)
{
    g_array_set_size(g->notes_due, 0);
    sn_visit(g->notes, bg_boot_ms(), add_unsent, g);
}

void
gn_on_send_note(void *ctx, uint64_t key)
{
    Gateway *g = ctx;
    g_array_append_val(g->notes_due, key);
}

static void
add_due(Rows *r, uint64_t now_ms)
{
    Gateway *g = r->g;
    for (guint i = 0; i < g->notes_due->len; i++) {
        SnNote note = {.key = g_array_index(g->notes_due, uint64_t, i),
                       .left_ms = vp_get_life_ms(g->versions)};
        note.version = sn_find(g->notes, now_ms, note.key);
        add_row(r, &note);
        sn_set_sent(g->notes, note.key);
        if (g->is_leader) {
            g_array_append_val(g->notes_unstored, note.key);
        }
    }
    g_array_set_size(g->notes_due, 0);
}

static void
send_due(Gateway *g, uint64_t now_ms)
{
    if (g->notes_due->len == 0 || !(g->is_leader || lk_is_open(g->links))) {
        return;
    }
    Rows r = create_rows(g);
    add_due(&r, now_ms);
    send_rows(&r);
    free_rows(&r);
}

/* ---- receiving ---------------------------------------------------------- */

/* STORE: those that are new are to be written to the store. */
static void
take_rows(Gateway *g, const Gwp__StreamNotes *m, bool store)
{
    uint64_t now_ms = bg_boot_ms();
    size_t n = MIN(m->n_keys, MIN(m->n_at, m->n_left_ms));
    for (size_t i = 0; i < n; i++) {
        if (m->at[i] >= m->n_versions) {
            continue;
        }
        SnNote note = {.key = m->keys[i],
                       .version = m->versions[m->at[i]],
                       .left_ms =
                           MIN(m->left_ms[i], vp_get_life_ms(g->versions))};
        if (sn_add(g->notes, now_ms, &note) && store) {
            g_array_append_val(g->notes_unstored, note.key);
        }
    }
}

void
gn_take_notes(Gateway *g, const LkPeer *from, const Gwp__Frame *frame)
{
    if (from && !g->is_leader) {
        lk_send_up(g->links, frame);
        return;
    }
    take_rows(g, frame->stream_notes, g->is_leader);
}

/* ---- the store ---------------------------------------------------------- */

typedef struct {
    Gateway *g;
    GArray *keys; /* of the batch */
} BatchCtx;

static void
on_batch_written(void *ctx, const StReply *r)
{
    BatchCtx *c = ctx;
    Gateway *g = c->g;
    g->notes_busy = false;
    if (r->result != ST_OK) { /* the next batch has them too */
        g_array_append_vals(g->notes_unstored, c->keys->data, c->keys->len);
    }
    g_array_free(c->keys, TRUE);
    g_free(c);
}

/* Takes up to a batch of those that aren't in the store. */
static GArray *
take_unstored(Gateway *g)
{
    GArray *keys = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    guint n = MIN(g->notes_unstored->len, MAX_ROWS - 1);
    g_array_append_vals(keys, g->notes_unstored->data, n);
    g_array_remove_range(g->notes_unstored, 0, n);
    return keys;
}

static void
append_batch(Gateway *g, const Gwp__StreamNotes *m, GArray *keys)
{
    size_t len = gwp__stream_notes__get_packed_size(m);
    g_autofree uint8_t *data = g_malloc(len + 1);
    gwp__stream_notes__pack(m, data);
    g_autofree char *key = g_strdup_printf("%03u", g->notes_batch++ % BATCHES);
    BatchCtx *c = g_new0(BatchCtx, 1);
    c->g = g;
    c->keys = keys;
    bg_count("gateway_stream_note_batches_total", 1);
    g->store->ops->append(g->store, ST_NOTES, ST_ANY_TAIL, key, data, len,
                          on_batch_written, c);
}

static void
write_batch(Gateway *g, uint64_t now_ms)
{
    Rows r = create_rows(g);
    GArray *keys = take_unstored(g);
    for (guint i = 0; i < keys->len; i++) {
        SnNote note = {.key = g_array_index(keys, uint64_t, i),
                       .left_ms = vp_get_life_ms(g->versions)};
        note.version = sn_find(g->notes, now_ms, note.key);
        add_row(&r, &note);
    }
    Gwp__StreamNotes m = borrow_rows(&r);
    g->notes_busy = true;
    g->notes_ms = now_ms;
    append_batch(g, &m, keys);
    free_rows(&r);
}

static void
take_batch(Gateway *g, const StRecord *record)
{
    gsize len = 0;
    const uint8_t *data =
        record->value ? g_bytes_get_data(record->value, &len) : NULL;
    Gwp__StreamNotes *m =
        data ? gwp__stream_notes__unpack(NULL, len, data) : NULL;
    if (!m) {
        bg_log(BG_WARN, "notes", "ignored batch %s, which can't be read",
               record->key);
        return;
    }
    take_rows(g, m, false);
    gwp__stream_notes__free_unpacked(m, NULL);
}

static void
on_batches_read(void *ctx, const StReply *r)
{
    Gateway *g = ctx;
    g->notes_busy = false;
    if (r->result != ST_OK) {
        return; /* it is read again */
    }
    for (guint i = 0; i < r->records->len; i++) {
        const StRecord *x = r->records->pdata[i];
        take_batch(g, x);
        if (x->offset >= g->notes_offset) {
            g->notes_offset = x->offset;
            g->notes_batch = (uint32_t)strtoul(x->key, NULL, 10) + 1;
        }
    }
    if (r->after) {
        g->notes_busy = true;
        g->store->ops->list(g->store, ST_NOTES, r->after, on_batches_read, g);
        return;
    }
    g->notes_listed = true;
}

static void
read_batches(Gateway *g, uint64_t now_ms)
{
    g->notes_ms = now_ms;
    if (vp_is_settled(g->versions)) {
        g->notes_listed = true; /* nobody asks for notes */
        return;
    }
    g->notes_busy = true;
    g->notes_offset = 0;
    g->store->ops->list(g->store, ST_NOTES, NULL, on_batches_read, g);
}

/* As leader. */
static void
tick_store(Gateway *g, uint64_t now_ms)
{
    if (!g->is_leader) {
        g->notes_listed = false;
        g_array_set_size(g->notes_unstored, 0);
        return;
    }
    if (g->notes_busy || !g->plan_listed ||
        now_ms < g->notes_ms + GN_NOTES_BATCH_MS) {
        return;
    }
    if (!g->notes_listed) {
        read_batches(g, now_ms);
    }
    else if (g->notes_unstored->len > 0) {
        write_batch(g, now_ms);
    }
}

void
gn_tick_notes(Gateway *g, uint64_t now_ms)
{
    sn_on_tick(g->notes, now_ms);
    send_due(g, now_ms);
    tick_store(g, now_ms);
}

/* ---- questions ---------------------------------------------------------- */

/* This leader has the notes of the store, and of the gateways that linked to
   it by now. */
static bool
has_gathered(const Gateway *g, uint64_t now_ms)
{
    return g->lead_ms && now_ms >= g->lead_ms + GATHER_MS && g->notes_listed;
}

bool
gn_on_ask_note(void *ctx, uint64_t key)
{
    Gateway *g = ctx;
    if (g->is_leader) {
        return !has_gathered(g, bg_boot_ms());
    }
    if (!lk_is_open(g->links)) {
        return true;
    }
    Gwp__NoteAsk a = GWP__NOTE_ASK__INIT;
    a.vm = (char *)gn_get_text(g, "name");
    a.key = key;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_NOTE_ASK;
    f.note_ask = &a;
    lk_send_up(g->links, &f);
    return true;
}

void
gn_take_note_ask(Gateway *g, LkPeer *from, const Gwp__Frame *frame)
{
    if (!g->is_leader) {
        lk_send_up(g->links, frame);
        return;
    }
    uint64_t now_ms = bg_boot_ms();
    const Gwp__NoteAsk *a = frame->note_ask;
    const char *version = sn_find(g->notes, now_ms, a->key);
    if (!version && !has_gathered(g, now_ms)) {
        return; /* it may come; the gateway asks again */
    }
    Gwp__NoteAnswer answer = GWP__NOTE_ANSWER__INIT;
    answer.vm = a->vm;
    answer.key = a->key;
    answer.known = version != NULL;
    answer.version = (char *)(version ? version : "");
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_NOTE_ANSWER;
    f.note_answer = &answer;
    lk_send_down(g->links, from, &f);
}

void
gn_take_note_answer(Gateway *g, const Gwp__Frame *frame)
{
    const Gwp__NoteAnswer *a = frame->note_answer;
    if (strcmp(a->vm, gn_get_text(g, "name")) != 0) {
        gn_pass_to_vm(g, a->vm, frame);
        return;
    }
    gw_on_note(g->gw, a->key, a->known ? a->version : NULL);
}
