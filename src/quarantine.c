#include "quarantine.h"

#include "log_records.h"

#include <string.h>

/* An upstream's restart is reported within seconds. */
#define BOOT_WAIT_MS 30000
#define MAX_BROKEN_CALLS 1024
#define MAX_PENDING_DEATHS 1024

/* A call whose connection broke, while a restart of its upstream may still be
   reported. */
typedef struct {
    uint8_t digest[32];
    char *upstream;
    char *boot; /* known when the connection broke */
    uint64_t until_ms;
} BrokenCall;

/* A death record that was not seen in the log yet. */
typedef struct {
    Bg__Record *record;
    uint64_t append_at_ms;
} PendingDeath;

struct QrCore {
    QrParams params;
    QrOutput out;
    const Fold *fold;
    GHashTable *boots; /* upstream -> its last reported boot */
    GQueue broken;     /* BrokenCall, oldest first */
    GQueue pending;    /* PendingDeath, oldest first */
};

static void
free_broken(gpointer p)
{
    BrokenCall *b = p;
    g_free(b->upstream);
    g_free(b->boot);
    g_free(b);
}

static void
free_pending(gpointer p)
{
    PendingDeath *d = p;
    rec_free(d->record);
    g_free(d);
}

QrCore *
qr_create(const QrParams *params, const QrOutput *out, const Fold *fold)
{
    QrCore *c = g_new0(QrCore, 1);
    c->params = *params;
    c->params.author = g_strdup(params->author);
    c->out = *out;
    c->fold = fold;
    c->boots = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&c->broken);
    g_queue_init(&c->pending);
    return c;
}

void
qr_destroy(QrCore *c)
{
    if (!c) {
        return;
    }
    g_queue_clear_full(&c->broken, free_broken);
    g_queue_clear_full(&c->pending, free_pending);
    g_hash_table_destroy(c->boots);
    g_free((char *)c->params.author);
    g_free(c);
}

/* ---- verdict ------------------------------------------------------------ */

static uint32_t
count_pending(const QrCore *c, const uint8_t digest[32])
{
    uint32_t n = 0;
    for (GList *at = c->pending.head; at; at = at->next) {
        const Bg__DeathRecord *d = ((PendingDeath *)at->data)->record->death;
        /* Another router may have recorded the same death first. */
        n += memcmp(d->request_digest.data, digest, 32) == 0 &&
             !fold_has_death(c->fold, digest, d->upstream);
    }
    return n;
}

QrVerdict
qr_get_verdict(const QrCore *c, const uint8_t digest[32])
{
    uint32_t deaths =
        fold_count_deaths(c->fold, digest) + count_pending(c, digest);
    if (deaths >= FOLD_DEATHS_TO_QUARANTINE) {
        return QR_QUARANTINED;
    }
    return deaths > 0 ? QR_SUSPECT : QR_CLEAR;
}

/* ---- records ------------------------------------------------------------ */

static Bg__Record *
make_record(const QrCore *c, uint64_t wall_ms, const uint8_t digest[32],
            const char *upstream, bool cleared)
{
    Bg__DeathRecord *d = g_new(Bg__DeathRecord, 1);
    bg__death_record__init(d);
    d->request_digest.data = g_memdup2(digest, 32);
    d->request_digest.len = 32;
    d->upstream = g_strdup(upstream);
    d->author = g_strdup(c->params.author);
    d->wall_ms = wall_ms;
    d->cleared = cleared;
    Bg__Record *r = g_new(Bg__Record, 1);
    bg__record__init(r);
    r->body_case = BG__RECORD__BODY_DEATH;
    r->death = d;
    return r;
}

static bool
is_same_death(const Bg__DeathRecord *a, const Bg__DeathRecord *b)
{
    return a->request_digest.len == 32 && b->request_digest.len == 32 &&
           memcmp(a->request_digest.data, b->request_digest.data, 32) == 0 &&
           strcmp(a->upstream, b->upstream) == 0;
}

static GList *
find_pending(QrCore *c, const Bg__DeathRecord *d)
{
    GList *at = c->pending.head;
    while (at &&
           !is_same_death(((PendingDeath *)at->data)->record->death, d)) {
        at = at->next;
    }
    return at;
}

static void
add_death(QrCore *c, uint64_t now_ms, uint64_t wall_ms,
          const uint8_t digest[32], const char *upstream)
{
    Bg__Record *r = make_record(c, wall_ms, digest, upstream, false);
    if (fold_has_death(c->fold, digest, upstream) ||
        find_pending(c, r->death) ||
        g_queue_get_length(&c->pending) >= MAX_PENDING_DEATHS) {
        rec_free(r);
        return;
    }
    bg_count("router_upstream_deaths_total", 1);
    bg_log(BG_WARN, "quarantine",
           "Upstream %s died while it processed a request.", upstream);
    PendingDeath *p = g_new0(PendingDeath, 1);
    p->record = r;
    p->append_at_ms = now_ms + c->params.resend_ms;
    g_queue_push_tail(&c->pending, p);
    c->out.append(c->out.ctx, rec_copy(r));
}

/* ---- events ------------------------------------------------------------- */

void
qr_on_broken(QrCore *c, uint64_t now_ms, uint64_t wall_ms,
             const uint8_t digest[32], const char *upstream, bool refused)
{
    if (refused) {
        add_death(c, now_ms, wall_ms, digest, upstream);
        return;
    }
    const char *boot = g_hash_table_lookup(c->boots, upstream);
    if (!boot) {
        return;
    }
    BrokenCall *b = g_new0(BrokenCall, 1);
    memcpy(b->digest, digest, 32);
    b->upstream = g_strdup(upstream);
    b->boot = g_strdup(boot);
    b->until_ms = now_ms + BOOT_WAIT_MS;
    g_queue_push_tail(&c->broken, b);
    if (g_queue_get_length(&c->broken) > MAX_BROKEN_CALLS) {
        free_broken(g_queue_pop_head(&c->broken));
    }
}

void
qr_on_suspect_answered(QrCore *c, uint64_t wall_ms, const uint8_t digest[32],
                       const char *upstream)
{
    c->out.append(c->out.ctx, make_record(c, wall_ms, digest, upstream, true));
}

void
qr_on_boot(QrCore *c, uint64_t now_ms, uint64_t wall_ms, const char *upstream,
           const char *boot)
{
    if (g_strcmp0(g_hash_table_lookup(c->boots, upstream), boot) == 0) {
        return;
    }
    g_hash_table_replace(c->boots, g_strdup(upstream), g_strdup(boot));
    GList *at = c->broken.head;
    while (at) {
        BrokenCall *b = at->data;
        GList *next = at->next;
        if (strcmp(b->upstream, upstream) == 0 && strcmp(b->boot, boot) != 0) {
            add_death(c, now_ms, wall_ms, b->digest, upstream);
            g_queue_delete_link(&c->broken, at);
            free_broken(b);
        }
        at = next;
    }
}

void
qr_on_record(QrCore *c, const Bg__DeathRecord *r)
{
    GList *at = r->cleared ? NULL : find_pending(c, r);
    if (at) {
        free_pending(at->data);
        g_queue_delete_link(&c->pending, at);
    }
}

void
qr_on_tick(QrCore *c, uint64_t now_ms)
{
    while (c->broken.head &&
           ((BrokenCall *)c->broken.head->data)->until_ms <= now_ms) {
        free_broken(g_queue_pop_head(&c->broken));
    }
    for (GList *at = c->pending.head; at; at = at->next) {
        PendingDeath *p = at->data;
        if (now_ms >= p->append_at_ms) {
            p->append_at_ms = now_ms + c->params.resend_ms;
            c->out.append(c->out.ctx, rec_copy(p->record));
        }
    }
}
