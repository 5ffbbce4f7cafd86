#include "store.h"

#include <ev.h>
#include <string.h>

/* A watch that was idle, and had no answer for this long, lists anew.
   Reading all records appended meanwhile would take longer, and the store may
   no longer keep them. */
#define RELIST_MS 3000

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

/* ---- the clock of an event loop ----------------------------------------- */

typedef struct {
    StClock base;
    struct ev_loop *loop;
} LoopClock;

typedef struct {
    ev_timer timer;
    void (*fn)(void *ctx);
    void *ctx;
} LoopTimer;

static uint64_t
get_loop_ms(StClock *c)
{
    (void)c;
    return bg_boot_ms();
}

static void
on_loop_timer(struct ev_loop *loop, ev_timer *t, int events)
{
    (void)loop;
    (void)events;
    LoopTimer *timer = t->data;
    void (*fn)(void *) = timer->fn;
    void *ctx = timer->ctx;
    g_free(timer);
    fn(ctx);
}

static void *
start_loop_timer(StClock *c, uint32_t delay_ms, void (*fn)(void *ctx),
                 void *ctx)
{
    LoopTimer *t = g_new0(LoopTimer, 1);
    t->fn = fn;
    t->ctx = ctx;
    ev_timer_init(&t->timer, on_loop_timer, delay_ms / 1000., 0.);
    t->timer.data = t;
    ev_timer_start(((LoopClock *)c)->loop, &t->timer);
    return t;
}

static void
stop_loop_timer(StClock *c, void *timer)
{
    LoopTimer *t = timer;
    ev_timer_stop(((LoopClock *)c)->loop, &t->timer);
    g_free(t);
}

static void
destroy_loop_clock(StClock *c)
{
    g_free(c);
}

StClock *
st_create_loop_clock(struct ev_loop *loop)
{
    static const StClockOps ops = {get_loop_ms, start_loop_timer,
                                   stop_loop_timer, destroy_loop_clock};
    LoopClock *c = g_new0(LoopClock, 1);
    c->base.ops = &ops;
    c->loop = loop;
    return &c->base;
}

void
st_destroy_clock(StClock *c)
{
    c->ops->destroy(c);
}

/* ---- following a topic -------------------------------------------------- */

struct StWatch {
    StClock *clock;
    St *store;
    StWatchParams params;
    StWatchHandler handler;
    void *timer; /* the next call; NULL: none is scheduled */
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
on_timer(void *ctx)
{
    StWatch *w = ctx;
    w->timer = NULL;
    send_call(w);
}

static void
stop_timer(StWatch *w)
{
    if (w->timer) {
        w->clock->ops->stop(w->clock, w->timer);
        w->timer = NULL;
    }
}

static void
schedule_call(StWatch *w, uint32_t wait_ms)
{
    stop_timer(w);
    if (!w->idle) {
        w->timer = w->clock->ops->start(w->clock, wait_ms, on_timer, w);
    }
}

static uint64_t
get_now_ms(const StWatch *w)
{
    return w->clock->ops->get_ms(w->clock);
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
                                  : ST_FIRST_BACKOFF_MS;
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
    w->last_answer_ms = get_now_ms(w);
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
    w->call_ms = get_now_ms(w);
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
st_create_watch(StClock *clock, St *s, const StWatchParams *params,
                const StWatchHandler *handler)
{
    StWatch *w = g_new0(StWatch, 1);
    w->clock = clock;
    w->store = s;
    w->params = *params;
    w->handler = *handler;
    bg_seed_random(&w->rng, params->seed);
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
    stop_timer(w);
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
        stop_timer(w);
        return;
    }
    uint64_t now_ms = get_now_ms(w);
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
                    now_ms >= w->call_ms + wait_ms + ST_LATE_ANSWER_MS;
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
