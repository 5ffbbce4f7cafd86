#include "feed.h"

#include "ckpt.h"
#include "log_records.h"

#include <string.h>
#include <xxhash.h>

#define START_WAIT_MS 300        /* for the first heartbeats of peers */
#define START_WAIT_EMPTY_MS 1500 /* the same, if the log is empty */
#define PEER_LIVE_MS 1500        /* max. age of a live peer's heartbeat */
#define READ_LIVE_MS 3000        /* max. age of a read of a reachable log */
#define ENTRIES_RETRY_MS 300
#define SNAPSHOT_RETRY_MS 1000
#define RESCAN_DELAY_MS 1000
#define RESET_CONFIRM_MS 1000
#define MAX_HOPS 8
#define RECENT_BYTES (4u * 1024 * 1024)
#define RECENT_ENTRIES 8192
#define RELAY_BYTES (1024u * 1024)
#define RELAY_MAX_BYTES (3u * 1024 * 1024)
#define SNAPSHOT_CHUNK_BYTES (1024u * 1024)
#define SNAPSHOT_MAX_BYTES (256u * 1024 * 1024)
#define SNAPSHOT_KEEP_MS 10000
#define SCAN_WIDEN_FACTOR 8
#define CHECKPOINT_JITTER_MS 1500   /* between writers of data centres */
#define CHECKPOINT_HOLD_OFF_MS 5000 /* after a checkpoint was begun */
#define MAX_APPEND_HOLD_MS 5000

typedef enum {
    PHASE_START, /* choosing where to get the initial state */
    PHASE_SCAN,  /* reading the log for a checkpoint */
    PHASE_FOLLOW /* applying entries as they arrive */
} Phase;

/* Another process, as known from its links and heartbeats. */
typedef struct {
    char *name;
    char *data_centre;
    bool placer;
    uint32_t links;
    uint64_t heartbeat_ms; /* time of the last one; 0: none yet */
    uint64_t applied;      /* its applied offset; 0: it has no state */
    uint32_t hops;
    uint64_t name_hash;   /* digest of its name */
    uint64_t reader_hash; /* of the name of the process that reads the log for
                             it, directly or over further hops */
    uint64_t log_first;
    uint64_t log_next;
    bool held;       /* a fault keeps it from applying entries */
    bool differs;    /* it applied different entries up to our offset */
    bool subscribed; /* it wants entries as they are applied here */
    uint64_t sent;   /* offset of the last entry sent to it */
} Peer;

/* An applied entry, kept for peers that follow this process. */
typedef struct {
    uint64_t offset;
    uint64_t chain_before;
    uint8_t *data;
    size_t len;
} RecentEntry;

/* A snapshot that is being fetched from a peer. */
typedef struct {
    bool wanted;
    char *peer;        /* it is fetched from, or NULL */
    uint64_t asked_ms; /* when the last chunk was requested */
    uint64_t offset;
    uint64_t digest;
    uint32_t chunks;
    uint32_t next;    /* chunk to fetch next */
    GByteArray *data; /* the chunks before it */
} Fetch;

/* A snapshot that is being served to peers. */
typedef struct {
    GByteArray *data;
    uint64_t offset;
    uint64_t digest;
    uint64_t used_ms;
} Served;

struct Feed {
    FeedParams params;
    Fold *fold;
    FeedOutput out;
    BgRandom rng;
    Phase phase;
    uint64_t start_ms; /* first tick */
    bool has_state;    /* see feed_has_state */
    uint64_t target;   /* the log's next offset when following it began; once
                          it is reached, has_state is set */
    GHashTable *peers; /* name -> Peer */

    uint64_t read_offset; /* offset from which the log is read; 0: not read */
    bool log_ok;          /* the last read succeeded */
    bool log_tried;       /* a read succeeded or failed */
    uint64_t log_ok_ms;
    uint64_t log_first; /* bounds of the log at the last successful read */
    uint64_t log_next;

    CkptCollector *scan;
    uint64_t scan_from;  /* next offset to scan */
    uint64_t scan_start; /* the scan covers scan_start .. scan_end - 1 */
    uint64_t scan_end;
    uint64_t scan_window; /* entries to scan, back from the log's end */
    uint64_t rescan_ms;   /* when to scan again */

    char *source;                /* peer that is followed, or NULL */
    uint64_t fetch_ms;           /* when entries were last requested */
    uint64_t no_source_since_ms; /* 0: a peer can be followed */
    uint64_t behind_since_ms;    /* 0: no live peer is ahead */
    GQueue recent;               /* RecentEntry, oldest first */
    size_t recent_bytes;

    Fetch fetch;
    Served served;

    char *fault;             /* why no more entries are applied, or NULL */
    uint64_t bad_offset;     /* last entry read that did not decode */
    uint64_t bad_digest;     /* of its bytes */
    uint64_t reset_since_ms; /* since when the log ends below our offset */
    bool was_reset;          /* set once it has for RESET_CONFIRM_MS */

    uint64_t checkpoint_covered; /* offset of the newest checkpoint */
    uint64_t checkpoint_ms;      /* when it was first seen */
    uint64_t write_at_ms;        /* when this process writes one; 0: not due */
    uint64_t hold_since_ms; /* since when appends are held; 0: they are not */
    bool appends_open;
};

/* ---- construction ------------------------------------------------------- */

static void
free_peer(gpointer p)
{
    Peer *peer = p;
    g_free(peer->name);
    g_free(peer->data_centre);
    g_free(peer);
}

static void
free_recent(gpointer p)
{
    RecentEntry *r = p;
    g_free(r->data);
    g_free(r);
}

Feed *
feed_create(const FeedParams *params, Fold *fold, const FeedOutput *output)
{
    Feed *f = g_new0(Feed, 1);
    f->params = *params;
    f->params.node = g_strdup(params->node);
    f->params.data_centre = g_strdup(params->data_centre);
    f->params.role = g_strdup(params->role);
    f->fold = fold;
    f->out = *output;
    bg_seed_random(&f->rng, params->seed);
    f->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_peer);
    f->scan_window = 2 * (uint64_t)params->checkpoint_entries + 64;
    g_queue_init(&f->recent);
    return f;
}

static void
clear_fetch(Feed *f)
{
    g_clear_pointer(&f->fetch.peer, g_free);
    if (f->fetch.data) {
        g_byte_array_free(f->fetch.data, TRUE);
    }
    f->fetch.data = NULL;
    f->fetch.next = f->fetch.chunks = 0;
}

static void
clear_served(Feed *f)
{
    if (f->served.data) {
        g_byte_array_free(f->served.data, TRUE);
        f->served.data = NULL;
    }
}

static void
clear_recent(Feed *f)
{
    g_queue_clear_full(&f->recent, free_recent);
    f->recent_bytes = 0;
}

void
feed_destroy(Feed *f)
{
    if (!f) {
        return;
    }
    clear_fetch(f);
    clear_served(f);
    clear_recent(f);
    ckpt_destroy_collector(f->scan);
    g_hash_table_destroy(f->peers);
    g_free(f->source);
    g_free(f->fault);
    g_free((char *)f->params.node);
    g_free((char *)f->params.data_centre);
    g_free((char *)f->params.role);
    g_free(f);
}

/* ---- peers -------------------------------------------------------------- */

static Peer *
find_peer(const Feed *f, const char *name)
{
    return name ? g_hash_table_lookup(f->peers, name) : NULL;
}

static bool
is_live(const Peer *p, uint64_t now_ms)
{
    return p->links > 0 && p->heartbeat_ms &&
           now_ms - p->heartbeat_ms < PEER_LIVE_MS;
}

/* The live peer with the highest offset, without those held by a fault, or
   NULL. */
static Peer *
find_highest(const Feed *f, uint64_t now_ms)
{
    Peer *best = NULL;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, f->peers);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Peer *peer = p;
        if (is_live(peer, now_ms) && !peer->held &&
            (!best || peer->applied > best->applied)) {
            best = peer;
        }
    }
    return best;
}

static uint64_t
rendezvous_hash(const char *a, const char *b)
{
    return XXH64(a, strlen(a), XXH64(b, strlen(b), 0));
}

/* Whether P is a better source than BEST: fewer hops to the log, then the
   higher rendezvous hash with this process, which spreads the followers. */
static bool
is_better(const Feed *f, const Peer *p, const Peer *best)
{
    if (!best || p->hops != best->hops) {
        return !best || p->hops < best->hops;
    }
    return rendezvous_hash(f->params.node, p->name) >
           rendezvous_hash(f->params.node, best->name);
}

static uint64_t
hash_name(const char *name)
{
    return XXH64(name, strlen(name), 0);
}

/* Whether READER_HASH names a process that no longer reads the log: this
   process, which is looking for a source itself, or a peer that is not live
   or reports other than one hop.  Without this check processes would follow
   each other in a loop for a while and take the log for reachable. */
static bool
is_stale_reader(const Feed *f, uint64_t now_ms, uint64_t reader_hash)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, f->peers);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Peer *peer = p;
        if (peer->name_hash == reader_hash) {
            return !is_live(peer, now_ms) || peer->hops != 1;
        }
    }
    return reader_hash == hash_name(f->params.node);
}

static Peer *
find_source(const Feed *f, uint64_t now_ms)
{
    Peer *best = NULL;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, f->peers);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Peer *peer = p;
        if (is_live(peer, now_ms) && !peer->held && peer->hops > 0 &&
            peer->hops < MAX_HOPS &&
            !is_stale_reader(f, now_ms, peer->reader_hash) &&
            is_better(f, peer, best)) {
            best = peer;
        }
    }
    return best;
}

/* Rendezvous hashing: all processes of a data centre rank its live placers by
   the same hash, so they agree on the readers without any messages. */
bool
feed_is_reader(const Feed *f, uint64_t now_ms)
{
    if (strcmp(f->params.role, "placer") != 0) {
        return false;
    }
    uint64_t mine = rendezvous_hash(f->params.node, f->params.data_centre);
    uint32_t above = 0;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, f->peers);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Peer *peer = p;
        if (peer->placer && is_live(peer, now_ms) && !peer->held &&
            strcmp(peer->data_centre, f->params.data_centre) == 0 &&
            rendezvous_hash(peer->name, f->params.data_centre) > mine) {
            above++;
        }
    }
    return above < f->params.readers_per_centre;
}

static bool
reads_log(const Feed *f, uint64_t now_ms)
{
    return f->read_offset && f->log_ok && now_ms - f->log_ok_ms < READ_LIVE_MS;
}

/* ---- applying entries --------------------------------------------------- */

static void
add_recent(Feed *f, uint64_t offset, uint64_t chain_before,
           const uint8_t *data, size_t len)
{
    RecentEntry *r = g_new0(RecentEntry, 1);
    r->offset = offset;
    r->chain_before = chain_before;
    r->data = g_memdup2(data, len);
    r->len = len;
    g_queue_push_tail(&f->recent, r);
    f->recent_bytes += len;
    while (f->recent.length > 1 && (f->recent_bytes > RECENT_BYTES ||
                                    f->recent.length > RECENT_ENTRIES)) {
        RecentEntry *old = g_queue_pop_head(&f->recent);
        f->recent_bytes -= old->len;
        free_recent(old);
    }
}

static void
set_fault(Feed *f, char *text)
{
    bg_log(BG_FAULT, "feed", "%s.", text);
    g_free(f->fault);
    f->fault = text;
}

/* Apply the next entry.  False if it is of a newer format: this process then
   stays at the offset before it. */
static bool
apply_entry(Feed *f, uint64_t offset, const uint8_t *data, size_t len)
{
    uint64_t chain = fold_get_chain(f->fold);
    g_autoptr(GError) err = NULL;
    if (!fold_apply(f->fold, offset, data, len, &err)) {
        if (err->code == BG_ERR_NEWER) {
            set_fault(f, g_strdup_printf("Held at offset %llu: %s; the last "
                                         "configuration stays in force",
                                         (unsigned long long)offset,
                                         err->message));
            return false;
        }
        bg_count("feed_refused_entries_total", 1);
        bg_log(BG_FAULT, "feed", "Entry %llu is skipped: %s.",
               (unsigned long long)offset, err->message);
    }
    add_recent(f, offset, chain, data, len);
    f->behind_since_ms = 0;
    return true;
}

/* Whether E can be handed to the fold.  Bytes may be damaged on the way to
   this process only, and skipping an entry that others apply would make this
   state differ for good.  So an entry that does not decode is accepted, and
   then skipped, only after two reads returned the same bytes. */
static bool
is_confirmed(Feed *f, const LogEntry *e)
{
    RecBatch batch = {0};
    g_autoptr(GError) err = NULL;
    if (rec_decode_batch(e->data, e->len, &batch, &err)) {
        rec_free_batch(&batch);
        return true;
    }
    uint64_t digest = XXH64(e->data, e->len, 0);
    if (err->code == BG_ERR_NEWER ||
        (f->bad_offset == e->offset && f->bad_digest == digest)) {
        return true;
    }
    f->bad_offset = e->offset;
    f->bad_digest = digest;
    bg_log(BG_WARN, "feed",
           "Entry %llu does not decode (%s); reading it again.",
           (unsigned long long)e->offset, err->message);
    return false;
}

/* Apply the entries of one read, in the order in which the log service
   returned them.  Entries that were applied before are skipped.  The first
   entry beyond the next offset ends it, as a gap would omit records. */
static void
apply_page(Feed *f, const LogPage *page)
{
    for (guint i = 0; i < page->entries->len && !f->fault; i++) {
        const LogEntry *e = &g_array_index(page->entries, LogEntry, i);
        uint64_t next = fold_get_offset(f->fold) + 1;
        if (e->offset < next) {
            continue;
        }
        if (e->offset > next) {
            bg_log(BG_WARN, "feed",
                   "The log returned entry %llu instead of entry %llu.",
                   (unsigned long long)e->offset, (unsigned long long)next);
            break;
        }
        if (!is_confirmed(f, e) ||
            !apply_entry(f, e->offset, e->data, e->len)) {
            break;
        }
    }
}

/* ---- entries for followers ---------------------------------------------- */

static void
send_relay(Feed *f, Peer *to, uint64_t after, uint64_t chain, GPtrArray *list,
           bool trimmed)
{
    Bg__Relay r = BG__RELAY__INIT;
    r.after = after;
    r.chain = chain;
    r.trimmed = trimmed;
    r.n_entries = list ? list->len : 0;
    r.entries = list ? (Bg__Entry **)list->pdata : NULL;
    Bg__Frame frame = BG__FRAME__INIT;
    frame.body_case = BG__FRAME__BODY_RELAY;
    frame.relay = &r;
    f->out.send(f->out.ctx, to->name, &frame);
}

static Bg__Entry *
make_entry(const RecentEntry *r)
{
    Bg__Entry *e = g_new(Bg__Entry, 1);
    bg__entry__init(e);
    e->offset = r->offset;
    e->data.data = r->data;
    e->data.len = r->len;
    e->digest = XXH64(r->data, r->len, 0);
    return e;
}

/* Send TO the entries that it lacks.  If they are no longer kept here, report
   them as trimmed: it then needs a snapshot. */
static void
serve_peer(Feed *f, Peer *to)
{
    GList *l = f->recent.tail;
    while (l && ((RecentEntry *)l->data)->offset > to->sent + 1) {
        l = l->prev;
    }
    const RecentEntry *first = l ? l->data : NULL;
    if (!first || first->offset != to->sent + 1 ||
        first->len > RELAY_MAX_BYTES) {
        send_relay(f, to, to->sent, 0, NULL, true);
        to->subscribed = false;
        return;
    }
    while (l) {
        g_autoptr(GPtrArray) list = g_ptr_array_new_with_free_func(g_free);
        size_t bytes = 0;
        const RecentEntry *head = l->data;
        for (; l; l = l->next) {
            const RecentEntry *r = l->data;
            if (list->len > 0 && bytes + r->len > RELAY_BYTES) {
                break;
            }
            bytes += r->len;
            g_ptr_array_add(list, make_entry(r));
            to->sent = r->offset;
        }
        send_relay(f, to, head->offset - 1, head->chain_before, list, false);
    }
}

static void
push_to_followers(Feed *f)
{
    uint64_t offset = fold_get_offset(f->fold);
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, f->peers);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Peer *peer = p;
        if (peer->subscribed && peer->sent < offset) {
            serve_peer(f, peer);
        }
    }
}

static void
take_relay_fetch(Feed *f, Peer *from, const Bg__RelayFetch *r)
{
    from->subscribed = !r->stop && r->after <= fold_get_offset(f->fold);
    from->sent = r->after;
    if (from->subscribed && r->after < fold_get_offset(f->fold)) {
        serve_peer(f, from);
    }
}

/* ---- entries from a peer ------------------------------------------------ */

static void
request_entries(Feed *f, uint64_t now_ms, const char *peer, bool stop)
{
    Bg__RelayFetch r = BG__RELAY_FETCH__INIT;
    r.after = fold_get_offset(f->fold);
    r.stop = stop;
    Bg__Frame frame = BG__FRAME__INIT;
    frame.body_case = BG__FRAME__BODY_RELAY_FETCH;
    frame.relay_fetch = &r;
    f->out.send(f->out.ctx, peer, &frame);
    f->fetch_ms = now_ms;
}

/* Whether the entries of R continue this process's history: the digests up to
   the applied offset agree, there is no gap, and no entry is damaged. */
static bool
check_relay(const Feed *f, const Bg__Relay *r, const char *from)
{
    uint64_t chain = r->chain;
    uint64_t next = r->after + 1;
    uint64_t mine = fold_get_offset(f->fold);
    bool joined = r->after == mine && chain == fold_get_chain(f->fold);
    for (size_t i = 0; i < r->n_entries; i++) {
        const Bg__Entry *e = r->entries[i];
        if (e->offset != next++ ||
            XXH64(e->data.data, e->data.len, 0) != e->digest) {
            bg_log(BG_WARN, "feed",
                   "Entries from %s have a gap or a wrong digest.", from);
            return false;
        }
        chain = XXH64(e->data.data, e->data.len, chain);
        joined =
            joined || (e->offset == mine && chain == fold_get_chain(f->fold));
    }
    return joined;
}

static void
take_relay(Feed *f, uint64_t now_ms, const Peer *from, const Bg__Relay *r)
{
    uint64_t mine = fold_get_offset(f->fold);
    uint64_t last = r->after + r->n_entries;
    if (f->phase != PHASE_FOLLOW || f->fault ||
        (!r->trimmed && last <= mine)) {
        return;
    }
    if (r->trimmed) {
        f->fetch.wanted = from->applied > mine;
        return;
    }
    if (r->after > mine) {
        request_entries(f, now_ms, from->name, false);
        return;
    }
    if (!check_relay(f, r, from->name)) {
        bg_log(BG_FAULT, "feed",
               "Entries from %s do not continue the history at offset %llu.",
               from->name, (unsigned long long)mine);
        f->fetch.wanted = true;
        return;
    }
    for (size_t i = 0; i < r->n_entries; i++) {
        const Bg__Entry *e = r->entries[i];
        if (e->offset > mine &&
            !apply_entry(f, e->offset, e->data.data, e->data.len)) {
            break;
        }
    }
    bg_count("feed_relayed_entries_total", r->n_entries);
    push_to_followers(f);
}

/* ---- snapshots ---------------------------------------------------------- */

static void
request_chunk(Feed *f, uint64_t now_ms)
{
    Bg__SnapshotFetch s = BG__SNAPSHOT_FETCH__INIT;
    s.offset = f->fetch.next ? f->fetch.offset : 0;
    s.chunk = f->fetch.next;
    Bg__Frame frame = BG__FRAME__INIT;
    frame.body_case = BG__FRAME__BODY_SNAPSHOT_FETCH;
    frame.snapshot_fetch = &s;
    f->out.send(f->out.ctx, f->fetch.peer, &frame);
    f->fetch.asked_ms = now_ms;
}

static void
start_fetch(Feed *f, uint64_t now_ms)
{
    const Peer *peer = find_highest(f, now_ms);
    if (f->fetch.peer && now_ms - f->fetch.asked_ms < SNAPSHOT_RETRY_MS) {
        return;
    }
    clear_fetch(f);
    if (peer && peer->applied > fold_get_offset(f->fold)) {
        f->fetch.peer = g_strdup(peer->name);
        request_chunk(f, now_ms);
    }
}

static void
refresh_served(Feed *f, uint64_t now_ms)
{
    clear_served(f);
    f->served.data = fold_encode(f->fold);
    f->served.offset = fold_get_offset(f->fold);
    f->served.digest = XXH64(f->served.data->data, f->served.data->len, 0);
    f->served.used_ms = now_ms;
}

static void
take_snapshot_fetch(Feed *f, uint64_t now_ms, const Peer *from,
                    const Bg__SnapshotFetch *r)
{
    if (!f->has_state || f->fault) {
        return;
    }
    bool newest = r->offset == 0 || r->offset != f->served.offset;
    if (!f->served.data ||
        (newest && f->served.offset != fold_get_offset(f->fold))) {
        refresh_served(f, now_ms);
    }
    f->served.used_ms = now_ms;
    uint32_t chunks = (f->served.data->len + SNAPSHOT_CHUNK_BYTES - 1) /
                      SNAPSHOT_CHUNK_BYTES;
    uint32_t chunk = newest ? 0 : r->chunk;
    if (chunk >= chunks) {
        return;
    }
    size_t at = (size_t)chunk * SNAPSHOT_CHUNK_BYTES;
    Bg__SnapshotChunk c = BG__SNAPSHOT_CHUNK__INIT;
    c.offset = f->served.offset;
    c.digest = f->served.digest;
    c.chunk = chunk;
    c.chunks = chunks;
    c.data.data = f->served.data->data + at;
    c.data.len = MIN(SNAPSHOT_CHUNK_BYTES, f->served.data->len - at);
    Bg__Frame frame = BG__FRAME__INIT;
    frame.body_case = BG__FRAME__BODY_SNAPSHOT_CHUNK;
    frame.snapshot_chunk = &c;
    f->out.send(f->out.ctx, from->name, &frame);
}

static void
resume_reading(Feed *f)
{
    f->read_offset = fold_get_offset(f->fold) + 1;
    f->out.read_from(f->out.ctx, f->read_offset);
}

static void
set_reading(Feed *f, bool on)
{
    if (on && !f->read_offset) {
        /* The result of the last read may be out of date. */
        f->log_ok = false;
        resume_reading(f);
    }
    else if (!on && f->read_offset) {
        f->read_offset = 0;
        f->out.read_from(f->out.ctx, 0);
    }
}

/* Replace the fold's state by STATE; false, and no change, if the fold
   rejects it.  ORIGIN: where it came from, for the log text. */
static bool
restore_state(Feed *f, const GByteArray *state, const char *origin)
{
    g_autoptr(GError) err = NULL;
    if (!fold_restore(f->fold, state->data, state->len, &err)) {
        bg_log(err->code == BG_ERR_CONFLICT ? BG_INFO : BG_FAULT, "feed",
               "State from %s is rejected: %s.", origin, err->message);
        return false;
    }
    clear_recent(f);
    clear_served(f);
    f->behind_since_ms = 0;
    f->phase = PHASE_FOLLOW;
    f->fetch.wanted = false;
    f->target = f->log_next;
    bg_count("feed_restores_total", 1);
    if (f->out.on_restored) {
        f->out.on_restored(f->out.ctx);
    }
    bg_log(BG_INFO, "feed", "State at offset %llu restored from %s, %u bytes.",
           (unsigned long long)fold_get_offset(f->fold), origin, state->len);
    return true;
}

static void
finish_fetch(Feed *f)
{
    GByteArray *data = f->fetch.data;
    if (XXH64(data->data, data->len, 0) != f->fetch.digest) {
        bg_log(BG_WARN, "feed", "Snapshot from %s has a wrong digest.",
               f->fetch.peer);
    }
    else if (restore_state(f, data, f->fetch.peer)) {
        f->has_state = true;
        resume_reading(f);
    }
    clear_fetch(f);
}

static void
take_snapshot_chunk(Feed *f, uint64_t now_ms, const Peer *from,
                    const Bg__SnapshotChunk *c)
{
    if (!f->fetch.peer || strcmp(f->fetch.peer, from->name) != 0) {
        return;
    }
    if (c->chunk == 0) {
        g_autofree char *peer = g_strdup(f->fetch.peer);
        clear_fetch(f);
        f->fetch.peer = g_steal_pointer(&peer);
        f->fetch.data = g_byte_array_new();
        f->fetch.offset = c->offset;
        f->fetch.digest = c->digest;
        f->fetch.chunks = c->chunks;
    }
    if (!f->fetch.data || c->offset != f->fetch.offset ||
        c->chunk != f->fetch.next ||
        f->fetch.data->len + c->data.len > SNAPSHOT_MAX_BYTES) {
        return;
    }
    g_byte_array_append(f->fetch.data, c->data.data, (guint)c->data.len);
    if (++f->fetch.next == f->fetch.chunks) {
        finish_fetch(f);
    }
    else {
        request_chunk(f, now_ms);
    }
}

/* ---- initial state ------------------------------------------------------ */

static void
start_scan(Feed *f)
{
    uint64_t back = f->scan_window;
    uint64_t from = f->log_next > back ? f->log_next - back : 1;
    ckpt_destroy_collector(f->scan);
    f->scan = ckpt_create_collector();
    f->phase = PHASE_SCAN;
    f->scan_from = f->scan_start = MAX(from, f->log_first);
    f->scan_end = f->log_next;
    f->read_offset = f->scan_from;
    f->out.read_from(f->out.ctx, f->read_offset);
}

static void
follow_log(Feed *f)
{
    f->phase = PHASE_FOLLOW;
    f->target = MAX(f->log_next, 1);
    resume_reading(f);
}

static bool
take_checkpoint(Feed *f)
{
    uint64_t covered;
    const GByteArray *state = ckpt_get_newest(f->scan, &covered);
    return state && covered + 1 >= f->log_first &&
           covered > fold_get_offset(f->fold) &&
           restore_state(f, state, "the log");
}

static void
finish_scan(Feed *f, uint64_t now_ms)
{
    bool taken = take_checkpoint(f);
    if (!taken && f->scan_start > f->log_first) {
        f->scan_window *= SCAN_WIDEN_FACTOR;
        start_scan(f);
        return;
    }
    if (taken || fold_get_offset(f->fold) + 1 >= f->log_first) {
        follow_log(f);
    }
    else {
        /* The log begins above the applied offset and holds no checkpoint:
           only a peer's snapshot can close the gap. */
        bg_log(BG_WARN, "feed", "The log holds no checkpoint to start from.");
        f->fetch.wanted = true;
        f->rescan_ms = now_ms + RESCAN_DELAY_MS;
        f->read_offset = 0;
        f->out.read_from(f->out.ctx, 0);
    }
    ckpt_destroy_collector(f->scan);
    f->scan = NULL;
}

static void
scan_page(Feed *f, uint64_t now_ms, uint64_t from, const LogPage *page)
{
    if (!f->scan || from != f->scan_from) {
        return;
    }
    for (guint i = 0; i < page->entries->len; i++) {
        const LogEntry *e = &g_array_index(page->entries, LogEntry, i);
        ckpt_collect(f->scan, e->data, e->len);
        f->scan_from = MAX(f->scan_from, e->offset + 1);
    }
    if (f->scan_from >= f->scan_end || page->entries->len == 0) {
        finish_scan(f, now_ms);
        return;
    }
    f->read_offset = f->scan_from;
    f->out.read_from(f->out.ctx, f->read_offset);
}

/* Choose the source of the initial state, once the first read has succeeded
   or failed and peers had time to send heartbeats. */
static void
decide_start(Feed *f, uint64_t now_ms)
{
    const Peer *peer = find_highest(f, now_ms);
    uint64_t theirs = peer ? peer->applied : 0;
    bool empty = f->log_ok && f->log_next <= 1;
    uint32_t wait_ms = empty ? START_WAIT_EMPTY_MS : START_WAIT_MS;
    if (now_ms - f->start_ms < wait_ms || !f->log_tried) {
        return;
    }
    if (!f->log_ok || theirs >= f->log_next) {
        /* The log is unreachable, or ends below what a peer has applied. */
        f->fetch.wanted = theirs > 0;
        return;
    }
    f->fetch.wanted = false;
    if (f->log_first <= 1 && f->log_next <= f->scan_window) {
        follow_log(f);
    }
    else {
        start_scan(f);
    }
}

/* ---- results of reads --------------------------------------------------- */

/* Detects a log that ends below the applied offset: it was replaced or lost
   its tail.  The applied state stays in force.  The log's new entries belong
   to another history, so they are ignored until the log holds the last
   applied entry again. */
static void
detect_reset(Feed *f, uint64_t now_ms, const LogPage *page)
{
    uint64_t mine = fold_get_offset(f->fold);
    if (!f->was_reset && page->next > mine) {
        f->reset_since_ms = 0;
        return;
    }
    if (!f->reset_since_ms) {
        f->reset_since_ms = now_ms;
    }
    if (!f->was_reset && now_ms - f->reset_since_ms >= RESET_CONFIRM_MS) {
        f->was_reset = true;
        bg_log(BG_FAULT, "feed",
               "The log ends at %llu, below the applied offset %llu; the "
               "applied state stays in force.",
               (unsigned long long)page->next, (unsigned long long)mine);
    }
}

static bool
shows_last_entry(const Feed *f, const LogPage *page)
{
    const RecentEntry *last = g_queue_peek_tail((GQueue *)&f->recent);
    if (!last || page->entries->len == 0) {
        return false;
    }
    const LogEntry *e = &g_array_index(page->entries, LogEntry, 0);
    return e->offset == last->offset && e->len == last->len &&
           memcmp(e->data, last->data, e->len) == 0;
}

static void
follow_page(Feed *f, uint64_t now_ms, const LogPage *page)
{
    detect_reset(f, now_ms, page);
    if (f->was_reset && shows_last_entry(f, page)) {
        bg_log(BG_INFO, "feed", "The log holds the last applied entry again.");
        f->was_reset = false;
        f->reset_since_ms = 0;
    }
    if (!f->was_reset) {
        apply_page(f, page);
        push_to_followers(f);
    }
    if (f->fault) {
        set_reading(f, false);
    }
    else if (f->read_offset) {
        f->read_offset = fold_get_offset(f->fold) + (f->was_reset ? 0 : 1);
        f->out.read_from(f->out.ctx, f->read_offset);
    }
}

static void
update_log_range(Feed *f, uint64_t now_ms, uint64_t first, uint64_t next)
{
    f->log_ok = f->log_tried = true;
    f->log_ok_ms = now_ms;
    f->log_first = first;
    f->log_next = next;
}

void
feed_on_page(Feed *f, uint64_t now_ms, uint64_t from, const LogPage *page)
{
    update_log_range(f, now_ms, page->first, page->next);
    if (f->phase == PHASE_SCAN) {
        scan_page(f, now_ms, from, page);
    }
    else if (f->phase == PHASE_FOLLOW) {
        follow_page(f, now_ms, page);
    }
}

void
feed_on_trimmed(Feed *f, uint64_t now_ms, uint64_t first, uint64_t next)
{
    update_log_range(f, now_ms, first, next);
    if (f->phase == PHASE_SCAN && f->scan) {
        start_scan(f);
    }
    else if (f->phase == PHASE_FOLLOW &&
             fold_get_offset(f->fold) + 1 < first && !f->fault) {
        bg_log(BG_WARN, "feed",
               "The log begins at %llu, beyond the applied offset %llu.",
               (unsigned long long)first,
               (unsigned long long)fold_get_offset(f->fold));
        f->fetch.wanted = true;
        start_scan(f);
    }
}

void
feed_on_unreachable(Feed *f, uint64_t now_ms)
{
    (void)now_ms;
    f->log_ok = false;
    f->log_tried = true;
}

/* ---- choice of source --------------------------------------------------- */

static void
set_source(Feed *f, uint64_t now_ms, const Peer *p)
{
    const char *name = p ? p->name : NULL;
    if (g_strcmp0(name, f->source) == 0) {
        return;
    }
    if (f->source) {
        request_entries(f, now_ms, f->source, true);
    }
    g_free(f->source);
    f->source = g_strdup(name);
    if (name) {
        request_entries(f, now_ms, name, false);
    }
}

/* Track since when a live peer is ahead of this process. */
static void
update_lag(Feed *f, uint64_t now_ms)
{
    uint64_t mine = fold_get_offset(f->fold);
    const Peer *top = find_highest(f, now_ms);
    bool behind = top && top->applied > mine;
    if (!behind) {
        f->behind_since_ms = 0;
    }
    else if (!f->behind_since_ms) {
        f->behind_since_ms = now_ms;
    }
}

static bool
is_lagging(const Feed *f, uint64_t now_ms)
{
    return f->behind_since_ms &&
           now_ms - f->behind_since_ms > f->params.relay_wait_ms;
}

static void
choose_source(Feed *f, uint64_t now_ms)
{
    const Peer *best = find_source(f, now_ms);
    if (best) {
        f->no_source_since_ms = 0;
    }
    else if (!f->no_source_since_ms) {
        f->no_source_since_ms = now_ms;
    }
    bool isolated = f->no_source_since_ms &&
                    now_ms - f->no_source_since_ms >= f->params.relay_wait_ms;
    update_lag(f, now_ms);
    set_reading(f, !f->fault && (!f->has_state || feed_is_reader(f, now_ms) ||
                                 isolated || is_lagging(f, now_ms)));
    bool direct = reads_log(f, now_ms) && !f->was_reset;
    set_source(f, now_ms, direct && !is_lagging(f, now_ms) ? NULL : best);
    const Peer *ahead = is_lagging(f, now_ms) ? find_highest(f, now_ms)
                                              : find_peer(f, f->source);
    if (ahead && ahead->applied > fold_get_offset(f->fold) &&
        now_ms - f->fetch_ms > ENTRIES_RETRY_MS) {
        request_entries(f, now_ms, ahead->name, false);
    }
}

uint32_t
feed_get_hops(const Feed *f)
{
    if (f->fault || f->phase != PHASE_FOLLOW) {
        return 0;
    }
    if (f->read_offset && f->log_ok && !f->was_reset) {
        return 1;
    }
    const Peer *p = find_peer(f, f->source);
    return p && p->hops && p->hops < MAX_HOPS ? p->hops + 1 : 0;
}

/* ---- checkpoints -------------------------------------------------------- */

/* The oldest offset in the log, as last seen by this process or its source. */
static uint64_t
get_log_first(const Feed *f)
{
    const Peer *p = find_peer(f, f->source);
    return MAX(f->log_first, p ? p->log_first : 0);
}

/* Whether the log no longer holds all records of the state, nor a complete
   checkpoint that replaces them. */
static bool
lacks_checkpoint(const Feed *f)
{
    const FoldCheckpoint *c = fold_get_checkpoint(f->fold);
    uint64_t first = get_log_first(f);
    return first > 1 && fold_get_offset(f->fold) > 0 &&
           (!c || c->first_offset < first);
}

/* Retention removes old entries by age, so a checkpoint is due again after
   checkpoint_ms even without new entries. */
static bool
is_due(const Feed *f, uint64_t now_ms)
{
    return lacks_checkpoint(f) ||
           fold_count_entries_since(f->fold) >= f->params.checkpoint_entries ||
           now_ms - f->checkpoint_ms >= f->params.checkpoint_ms;
}

/* In each data centre one placer writes checkpoints: of those that read the
   log, the one whose name sorts first. */
static bool
may_write(const Feed *f, uint64_t now_ms)
{
    if (strcmp(f->params.role, "placer") != 0 || !f->has_state || f->fault ||
        f->was_reset || !reads_log(f, now_ms) ||
        fold_get_offset(f->fold) == 0 ||
        fold_get_offset(f->fold) + 1 < f->log_next) {
        return false;
    }
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, f->peers);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Peer *peer = p;
        if (peer->placer && is_live(peer, now_ms) && peer->hops == 1 &&
            strcmp(peer->data_centre, f->params.data_centre) == 0 &&
            strcmp(peer->name, f->params.node) < 0) {
            return false;
        }
    }
    return true;
}

static void
write_checkpoint(Feed *f, uint64_t now_ms)
{
    g_autoptr(GPtrArray) records = ckpt_make_records(f->fold);
    for (guint i = 0; i < records->len; i++) {
        f->out.append(f->out.ctx, records->pdata[i]);
    }
    f->write_at_ms = now_ms + CHECKPOINT_HOLD_OFF_MS;
    bg_count("feed_checkpoints_total", 1);
    bg_log(BG_INFO, "feed", "Writing checkpoint of offset %llu, %u chunks.",
           (unsigned long long)fold_get_offset(f->fold), records->len);
}

static void
maintain_checkpoints(Feed *f, uint64_t now_ms)
{
    const FoldCheckpoint *c = fold_get_checkpoint(f->fold);
    if (c && c->covered != f->checkpoint_covered) {
        f->checkpoint_covered = c->covered;
        f->checkpoint_ms = now_ms;
        f->write_at_ms = 0;
    }
    if (!is_due(f, now_ms) || !may_write(f, now_ms)) {
        return;
    }
    if (!f->write_at_ms) {
        /* Random delay: writers of other data centres find it due at the same
           time. */
        uint32_t spread_ms = lacks_checkpoint(f) ? CHECKPOINT_JITTER_MS / 4
                                                 : CHECKPOINT_JITTER_MS;
        f->write_at_ms = now_ms + 1 + bg_pick_random(&f->rng, spread_ms);
    }
    else if (now_ms >= f->write_at_ms) {
        if (fold_has_pending_checkpoint(f->fold) &&
            f->write_at_ms + CHECKPOINT_HOLD_OFF_MS > now_ms) {
            return;
        }
        write_checkpoint(f, now_ms);
    }
}

/* After an outage longer than the log's retention only the processes still
   hold the state.  Other appends are held until a checkpoint is written, so
   that a process which starts then never finds a log with records but without
   the state that they build on.  The hold is bounded by MAX_APPEND_HOLD_MS in
   case no process writes a checkpoint. */
static void
gate_appends(Feed *f, uint64_t now_ms)
{
    bool wait = f->has_state && lacks_checkpoint(f);
    if (!wait) {
        f->hold_since_ms = 0;
    }
    else if (!f->hold_since_ms) {
        f->hold_since_ms = now_ms;
    }
    bool appends_open =
        feed_get_hops(f) > 0 && f->has_state &&
        (!wait || now_ms - f->hold_since_ms > MAX_APPEND_HOLD_MS);
    if (appends_open != f->appends_open) {
        f->appends_open = appends_open;
        f->out.open_appends(f->out.ctx, appends_open);
    }
}

/* ---- frames and links --------------------------------------------------- */

/* Detects a peer that applied different entries up to the same offset: one of
   the two read a damaged log.  Which one can't be determined here; operators
   have to find out. */
static void
compare_chain(const Feed *f, Peer *p, const Bg__Heartbeat *hb)
{
    bool differs = f->has_state && hb->ready && hb->applied_offset > 0 &&
                   hb->applied_offset == fold_get_offset(f->fold) &&
                   hb->chain != fold_get_chain(f->fold);
    if (differs && !p->differs) {
        bg_count("feed_differing_peers_total", 1);
        bg_log(BG_FAULT, "feed",
               "%s applied different entries up to offset %llu.", p->name,
               (unsigned long long)hb->applied_offset);
    }
    p->differs = differs;
}

static void
take_heartbeat(Peer *p, uint64_t now_ms, const Bg__Heartbeat *hb)
{
    p->heartbeat_ms = now_ms;
    p->applied = hb->ready ? hb->applied_offset : 0;
    p->hops = hb->log_hops;
    p->reader_hash = hb->log_root;
    p->log_first = hb->log_first;
    p->log_next = hb->log_next;
    p->held = hb->held;
}

void
feed_on_frame(Feed *f, uint64_t now_ms, const PeerInfo *from,
              const Bg__Frame *frame)
{
    Peer *p = find_peer(f, from->node);
    if (!p) {
        return;
    }
    switch (frame->body_case) {
    case BG__FRAME__BODY_HEARTBEAT:
        take_heartbeat(p, now_ms, frame->heartbeat);
        compare_chain(f, p, frame->heartbeat);
        break;
    case BG__FRAME__BODY_RELAY_FETCH:
        take_relay_fetch(f, p, frame->relay_fetch);
        break;
    case BG__FRAME__BODY_RELAY:
        take_relay(f, now_ms, p, frame->relay);
        break;
    case BG__FRAME__BODY_SNAPSHOT_FETCH:
        take_snapshot_fetch(f, now_ms, p, frame->snapshot_fetch);
        break;
    case BG__FRAME__BODY_SNAPSHOT_CHUNK:
        take_snapshot_chunk(f, now_ms, p, frame->snapshot_chunk);
        break;
    default:
        break;
    }
}

void
feed_on_link(Feed *f, uint64_t now_ms, const PeerInfo *info, bool up)
{
    Peer *p = find_peer(f, info->node);
    if (up && !p) {
        p = g_new0(Peer, 1);
        p->name = g_strdup(info->node);
        p->name_hash = hash_name(info->node);
        p->data_centre = g_strdup(info->data_centre);
        p->placer = strcmp(info->role, "placer") == 0;
        g_hash_table_insert(f->peers, p->name, p);
    }
    if (up) {
        p->links++;
        return;
    }
    if (!p || --p->links > 0) {
        return;
    }
    if (g_strcmp0(f->source, info->node) == 0) {
        set_source(f, now_ms, NULL);
    }
    g_hash_table_remove(f->peers, info->node);
}

/* ---- time --------------------------------------------------------------- */

static void
start_reading(Feed *f, uint64_t now_ms)
{
    f->start_ms = f->checkpoint_ms = now_ms;
    f->read_offset = 1;
    f->out.read_from(f->out.ctx, 1);
}

void
feed_on_tick(Feed *f, uint64_t now_ms)
{
    if (!f->start_ms) {
        start_reading(f, now_ms);
    }
    if (f->phase == PHASE_START) {
        decide_start(f, now_ms);
    }
    else if (f->phase == PHASE_SCAN && !f->scan && now_ms >= f->rescan_ms) {
        start_scan(f);
    }
    else if (f->phase == PHASE_FOLLOW) {
        f->has_state = f->has_state ||
                       fold_get_offset(f->fold) + 1 >= f->target || f->fault;
        choose_source(f, now_ms);
        maintain_checkpoints(f, now_ms);
    }
    if (f->fetch.wanted && !f->fault) {
        start_fetch(f, now_ms);
    }
    if (f->served.data && now_ms - f->served.used_ms > SNAPSHOT_KEEP_MS) {
        clear_served(f);
    }
    gate_appends(f, now_ms);
}

/* ---- queries ------------------------------------------------------------ */

bool
feed_has_state(const Feed *f)
{
    return f->has_state;
}

bool
feed_is_caught_up(const Feed *f)
{
    const Peer *p = find_peer(f, f->source);
    uint64_t next = f->read_offset && f->log_ok ? f->log_next
                    : p                         ? p->log_next
                                                : UINT64_MAX;
    return f->has_state && feed_get_hops(f) > 0 &&
           fold_get_offset(f->fold) + 1 >= next;
}

const char *
feed_get_fault(const Feed *f)
{
    return f->fault ? f->fault
           : f->was_reset
               ? "The log ends below what was seen of it; what was accepted "
                 "stays in force"
               : NULL;
}

void
feed_fill_heartbeat(const Feed *f, Bg__Heartbeat *hb)
{
    hb->applied_offset = fold_get_offset(f->fold);
    hb->log_hops = feed_get_hops(f);
    hb->log_first = get_log_first(f);
    const Peer *p = find_peer(f, f->source);
    hb->log_root = hb->log_hops == 1 ? hash_name(f->params.node)
                   : p               ? p->reader_hash
                                     : 0;
    hb->log_next = f->read_offset && f->log_ok ? f->log_next
                   : p                         ? p->log_next
                                               : 0;
    hb->held = f->fault != NULL;
    hb->ready = f->has_state;
    hb->chain = fold_get_chain(f->fold);
}

char *
feed_describe(const Feed *f)
{
    static const char *const phases[] = {"starting", "looking for a state",
                                         "following"};
    return g_strdup_printf("offset %llu, %s, log %u away%s%s",
                           (unsigned long long)fold_get_offset(f->fold),
                           phases[f->phase], feed_get_hops(f),
                           feed_get_fault(f) ? ", " : "",
                           feed_get_fault(f) ? feed_get_fault(f) : "");
}
