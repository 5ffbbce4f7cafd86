#include "http_pool_internal.h"

/* Until the connection is open or refused, by way of another gateway too. */
#define CONNECT_MS 250
/* A process that ends closes its connections within this time, and then the
   socket that accepts new ones. */
#define SIGN_MS 10

struct HtCheck {
    HtPool *pool;
    char *address;
    HtCall *call; /* NULL: waits */
    ev_timer timer;
    bool lives;
    HtCheckFn done;
    void *ctx;
};

void
ht_cancel_check(HtCheck *check)
{
    ev_timer_stop(check->pool->loop, &check->timer);
    if (check->call) {
        ht_cancel_call(check->call);
    }
    g_free(check->address);
    g_free(check);
}

/* The connection is open, and that is all that was asked. */
static bool
note_open(void *ctx, HtCall *call)
{
    (void)call;
    HtCheck *check = ctx;
    check->lives = true;
    return false;
}

/* Upstreams may close new connections with an answer of their own. */
static void
on_head(void *ctx, HtCall *call, const HtHead *head)
{
    (void)head;
    (void)note_open(ctx, call);
}

static void
on_bytes(void *ctx, HtCall *call, size_t len)
{
    (void)ctx;
    (void)call;
    (void)len;
}

static void
on_end(void *ctx, HtCall *call, AeEnd end, Ae *answer)
{
    (void)call;
    (void)end;
    (void)answer;
    HtCheck *check = ctx;
    HtCheckFn done = check->done;
    void *done_ctx = check->ctx;
    bool lives = check->lives;
    check->call = NULL;
    ht_cancel_check(check);
    done(done_ctx, lives);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    HtCheck *check = timer->data;
    HtRequest req = {.address = check->address,
                     .way = HT_WAY_ANY,
                     .purpose = HT_FOR_CHECK,
                     .request = g_byte_array_new(),
                     .connect_ms = CONNECT_MS,
                     .fresh = true};
    HtCallHandler handler = {.ctx = check,
                             .on_head = on_head,
                             .on_bytes = on_bytes,
                             .on_end = on_end,
                             .may_write = note_open};
    check->call = ht_start_call(check->pool, &req, &handler);
}

HtCheck *
ht_check_process(HtPool *p, const char *address, HtCheckFn done, void *ctx)
{
    HtCheck *check = g_new0(HtCheck, 1);
    check->pool = p;
    check->address = g_strdup(address);
    check->done = done;
    check->ctx = ctx;
    ev_timer_init(&check->timer, on_timer, SIGN_MS / 1000., 0.);
    check->timer.data = check;
    ev_timer_start(p->loop, &check->timer);
    return check;
}
