#include "store.h"

#include <ev.h>
#include <string.h>

/* Pause after a failed call; it doubles each time, so that all VMs together
   don't overload a store in trouble.  Half of it is random, so that they do
   not come back at the same moment. */
#define FIRST_BACKOFF_MS 80
/* A watch that was idle, and had no answer for this long, lists anew.
   Reading all records appended meanwhile would take longer, and the store may
   no longer keep them. */
#define RELIST_MS 3000
/* A held read that has no answer by so long after its wait was lost. */
#define LATE_ANSWER_MS 500

StRecord *
st_create_record(const char *key, size_t key_len, uint64_t offset)
{
    StRecord *r = g_new0(StRecord, 1);
    r->key = g_strndup(key, key_len);
    r->offset = offset;
    return r;
}

void
st_free_record(void *record)
{
    StRecord *r = record;
    g_free(r->key);
    if (r->value) {
        g_bytes_unref(r->value);
    }
    g_free(r);
}

struct StWatch {
    struct ev_loop *loop;
    St *store;
    StWatchParams params;
    StWatchHandler handler;
    ev_timer timer; /* the next call */
    BgRandom rng;
    uint64_t last_answer_ms; /* 0: never */
    uint64_t call_ms;        /* when the pending call began */
    uint32_t call_wait_ms;   /* it is held open for so long */
    bool idle;
    bool listed;
    bool listing; /* a listing is in progress */
    bool reachable;
    struct Call *call;       /* the pending call, or NULL */
    uint64_t next;           /* offset to read from */
    GHashTable *listed_keys; /* of the listing in progress */
    char *after;             /* where the next page begins; NULL: none yet */
    uint32_t backoff_ms;
    uint32_t max_backoff_ms;
};

/* One call to the store.  It outlives its watch if that has dropped it. */
typedef struct Call {
    StWatch *watch; /* NULL: dropped */
} Call;

static void send_call(StWatch *w);

static void
on_timer(struct ev_loop *loop, ev_timer *t, int events)
{
    (void)loop;
    (void)events;
    send_call(t->data);
}

static void
schedule_call(StWatch *w, uint32_t wait_ms)
{
    ev_timer_stop(w->loop, &w->timer);
    if (!w->idle) {
        ev_timer_set(&w->timer, wait_ms / 1000., 0.);
        ev_timer_start(w->loop, &w->timer);
    }
}

static void
set_reachable(StWatch *w, bool reachable)
{
    if (w->reachable != reachable) {
        w->reachable = reachable;
        w->handler.on_reachable(w->handler.ctx, reachable);
    }
}

static void
back_off(StWatch *w)
{
    set_reachable(w, false);
    w->backoff_ms = w->backoff_ms ? MIN(w->backoff_ms * 2, w->max_backoff_ms)
                                  : FIRST_BACKOFF_MS;
    schedule_call(w, w->backoff_ms / 2 +
                         bg_pick_random(&w->rng, w->backoff_ms / 2 + 1));
}

static void
begin_listing(StWatch *w)
{
    w->listing = true;
    g_hash_table_remove_all(w->listed_keys);
    g_clear_pointer(&w->after, g_free);
}

static void
note_keys(StWatch *w, const GPtrArray *records)
{
    for (guint i = 0; i < records->len; i++) {
        const StRecord *r = records->pdata[i];
        g_hash_table_add(w->listed_keys, g_strdup(r->key));
    }
}

static void
take_page(StWatch *w, const StReply *r)
{
    /* Pages are no snapshot: changes made meanwhile are read afterwards, from
       the tail that came with the first page. */
    if (!w->after) {
        w->next = r->tail;
    }
    note_keys(w, r->records);
    g_free(w->after);
    w->after = g_strdup(r->after);
    bool more = r->after != NULL;
    if (more) {
        w->handler.on_records(w->handler.ctx, r->records, ST_PAGE, NULL);
    }
    if (more && w->idle) {
        begin_listing(w); /* from the start when needed again */
        return;
    }
    if (more) {
        send_call(w);
        return;
    }
    w->listing = false;
    w->listed = true;
    w->handler.on_records(w->handler.ctx, r->records, ST_LAST_PAGE,
                          w->listed_keys);
    g_hash_table_remove_all(w->listed_keys);
    schedule_call(w, w->params.pause_ms);
}

static void
take_records(StWatch *w, const StReply *r)
{
    bool has_read = r->next > w->next;
    /* Behind records that can't be read, too: these would be read again and
       again. */
    w->next = MAX(w->next, r->next);
    if (r->records->len > 0) {
        w->handler.on_records(w->handler.ctx, r->records, ST_UPDATES, NULL);
    }
    else if (!has_read && r->tail < w->next) {
        /* The tail is below what was read: the log was replaced. */
        bg_log(BG_WARN, "store",
               "%s: tail %llu is below the next offset %llu, listing again",
               w->params.name, (unsigned long long)r->tail,
               (unsigned long long)w->next);
        begin_listing(w);
    }
    schedule_call(w, w->params.pause_ms);
}

static void
on_reply(void *ctx, const StReply *r)
{
    Call *c = ctx;
    StWatch *w = c->watch;
    g_free(c);
    if (!w) {
        return;
    }
    w->call = NULL;
    if (r->result == ST_TRIMMED) {
        begin_listing(w);
        schedule_call(w, 0);
        return;
    }
    if (r->result != ST_OK) {
        back_off(w);
        return;
    }
    w->backoff_ms = 0;
    w->last_answer_ms = bg_boot_ms();
    set_reachable(w, true);
    if (w->listing) {
        take_page(w, r);
    }
    else {
        take_records(w, r);
    }
}

static void
send_call(StWatch *w)
{
    w->call = g_new0(Call, 1);
    w->call->watch = w;
    w->call_ms = bg_boot_ms();
    /* Without a wait if the last call failed: a long poll would notice only at
       its end whether the store answers again. */
    w->call_wait_ms = w->listing || !w->reachable ? 0 : w->params.wait_ms;
    if (!w->listing) {
        w->store->ops->read(w->store, w->params.topic, w->next,
                            w->call_wait_ms, on_reply, w->call);
        return;
    }
    w->store->ops->list(w->store, w->params.topic, w->after, on_reply,
                        w->call);
}

StWatch *
st_create_watch(struct ev_loop *loop, St *s, const StWatchParams *params,
                const StWatchHandler *handler)
{
    StWatch *w = g_new0(StWatch, 1);
    w->loop = loop;
    w->store = s;
    w->params = *params;
    w->handler = *handler;
    bg_seed_random(&w->rng, bg_now_us() ^ (uint64_t)(uintptr_t)w);
    ev_timer_init(&w->timer, on_timer, 0., 0.);
    w->timer.data = w;
    w->idle = true;
    w->max_backoff_ms = ST_MAX_BACKOFF_MS;
    w->listed_keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    begin_listing(w);
    return w;
}

static void
drop_call(StWatch *w)
{
    if (w->call) {
        w->call->watch = NULL;
        w->call = NULL;
    }
}

void
st_destroy_watch(StWatch *w)
{
    ev_timer_stop(w->loop, &w->timer);
    drop_call(w);
    g_hash_table_destroy(w->listed_keys);
    g_free(w->after);
    g_free(w);
}

void
st_set_idle(StWatch *w, bool idle)
{
    if (w->idle == idle) {
        return;
    }
    w->idle = idle;
    drop_call(w);
    if (idle) {
        ev_timer_stop(w->loop, &w->timer);
        return;
    }
    uint64_t now_ms = bg_boot_ms();
    if (!w->listing && now_ms > w->last_answer_ms + RELIST_MS) {
        begin_listing(w);
    }
    w->backoff_ms = 0;
    schedule_call(w, 0);
}

void
st_restart(StWatch *w, uint64_t now_ms, uint32_t min_age_ms)
{
    if (w->call && now_ms < w->call_ms + min_age_ms) {
        return;
    }
    drop_call(w);
    schedule_call(w, 0);
}

void
st_set_max_backoff(StWatch *w, uint32_t max_backoff_ms)
{
    w->max_backoff_ms = max_backoff_ms;
    if (w->backoff_ms > max_backoff_ms) {
        w->backoff_ms = max_backoff_ms;
        if (!w->call) {
            schedule_call(w, bg_pick_random(&w->rng, max_backoff_ms));
        }
    }
}

void
st_set_wait(StWatch *w, uint64_t now_ms, uint32_t wait_ms)
{
    w->params.wait_ms = wait_ms;
    bool outlived = w->call && w->call_wait_ms > wait_ms &&
                    now_ms >= w->call_ms + wait_ms + LATE_ANSWER_MS;
    if (outlived) {
        drop_call(w);
        schedule_call(w, 0);
    }
}

void
st_set_pause(StWatch *w, uint32_t pause_ms)
{
    bool sooner = pause_ms < w->params.pause_ms;
    w->params.pause_ms = pause_ms;
    if (sooner && !w->idle && !w->call && w->backoff_ms == 0) {
        schedule_call(w, pause_ms);
    }
}

bool
st_is_listed(const StWatch *w)
{
    return w->listed;
}

uint64_t
st_get_age_ms(const StWatch *w, uint64_t now_ms)
{
    return w->last_answer_ms ? now_ms - w->last_answer_ms : UINT64_MAX;
}
