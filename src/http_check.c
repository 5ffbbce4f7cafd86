#include "http_pool_internal.h"

#include "sockets.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Until the connection is open or refused. */
#define CONNECT_MS 100
/* A process that ends closes its connections within this time, and then the
   socket that accepts new ones. */
#define SIGN_MS (2 * HT_END_MS)

struct HtCheck {
    HtPool *pool;
    char *address;
    int fd;           /* -1: waits */
    bool needs_signs; /* connects only if there are any */
    ev_io watch;
    ev_timer timer;
    HtCheckFn done;
    void *ctx;
};

void
ht_cancel_check(HtCheck *check)
{
    ev_timer_stop(check->pool->loop, &check->timer);
    if (check->fd >= 0) {
        ev_io_stop(check->pool->loop, &check->watch);
        so_reset_on_close(check->fd);
        close(check->fd);
    }
    g_free(check->address);
    g_free(check);
}

static void
finish_check(HtCheck *check, HtLife life)
{
    HtCheckFn done = check->done;
    void *ctx = check->ctx;
    ht_cancel_check(check);
    done(ctx, life);
}

static void
on_connected(struct ev_loop *loop, ev_io *watch, int events)
{
    (void)loop;
    (void)events;
    HtCheck *check = watch->data;
    int e = 0;
    socklen_t len = sizeof(e);
    bool known = getsockopt(check->fd, SOL_SOCKET, SO_ERROR, &e, &len) == 0;
    finish_check(check, known && e == 0              ? HT_LIVES
                        : known && e == ECONNREFUSED ? HT_ENDED
                                                     : HT_UNKNOWN);
}

static void
connect_to(HtCheck *check)
{
    struct ev_loop *loop = check->pool->loop;
    check->fd = so_connect(check->address);
    if (check->fd < 0) {
        finish_check(check, HT_UNKNOWN);
        return;
    }
    ev_io_init(&check->watch, on_connected, check->fd, EV_WRITE);
    check->watch.data = check;
    ev_io_start(loop, &check->watch);
    ev_timer_set(&check->timer, CONNECT_MS / 1000., 0.);
    ev_timer_start(loop, &check->timer);
}

/* ---- signs -------------------------------------------------------------- */

static bool
is_in_use(const HtConn *w, const char *address)
{
    return w->call && w->call->sent > 0 && !w->helper &&
           strcmp(w->address, address) == 0;
}

static bool
has_other_calls(const HtPool *p, const char *address)
{
    for (const GList *l = p->conns.head; l; l = l->next) {
        if (is_in_use(l->data, address)) {
            return true;
        }
    }
    return false;
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
    (void)loop;
    (void)events;
    HtCheck *check = timer->data;
    if (check->fd >= 0) {
        finish_check(check, HT_UNKNOWN);
    }
    else if (!check->needs_signs ||
             ht_count_ends(check->pool, check->address) > 1) {
        connect_to(check);
    }
    else {
        finish_check(check, HT_LIVES);
    }
}

static HtCheck *
create_check(HtPool *p, const char *address, HtCheckFn done, void *ctx)
{
    HtCheck *check = g_new0(HtCheck, 1);
    check->pool = p;
    check->address = g_strdup(address);
    check->fd = -1;
    check->done = done;
    check->ctx = ctx;
    ev_timer_init(&check->timer, on_timer, SIGN_MS / 1000., 0.);
    check->timer.data = check;
    ev_timer_start(p->loop, &check->timer);
    return check;
}

HtCheck *
ht_check_process(HtPool *p, const char *address, HtCheckFn done, void *ctx)
{
    return create_check(p, address, done, ctx);
}

HtCheck *
ht_start_check(HtPool *p, const char *address, HtCheckFn done, void *ctx)
{
    if (!has_other_calls(p, address) && ht_count_ends(p, address) < 2) {
        return NULL;
    }
    HtCheck *check = create_check(p, address, done, ctx);
    check->needs_signs = true;
    return check;
}
