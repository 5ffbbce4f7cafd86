#include "http_pool_internal.h"

#include <string.h>

typedef struct {
    HtCall *call;
    ev_timer timer;
    struct ev_loop *loop;
    HtReplyFn done;
    void *ctx;
    uint16_t status;
    GByteArray *body;
} Fetch;

static void
finish_fetch(Fetch *f, HtResult result, bool timed_out)
{
    ev_timer_stop(f->loop, &f->timer);
    HtReply reply = {result, timed_out, f->status, f->body};
    f->done(f->ctx, &reply);
    g_byte_array_free(f->body, TRUE);
    g_free(f);
}

static void
on_fetch_head(void *ctx, HtCall *call, const HtHead *head)
{
    (void)call;
    Fetch *f = ctx;
    f->status = head->status;
}

static void
on_fetch_data(void *ctx, HtCall *call, const char *data, size_t len)
{
    (void)call;
    Fetch *f = ctx;
    g_byte_array_append(f->body, (const guint8 *)data, (guint)len);
}

static void
on_fetch_end(void *ctx, HtCall *call, HtResult result)
{
    (void)call;
    finish_fetch(ctx, result, false);
}

static void
on_fetch_timeout(struct ev_loop *loop, ev_timer *t, int events)
{
    (void)loop;
    (void)events;
    Fetch *f = t->data;
    HtResult result = ht_was_sent(f->call) ? HT_BROKEN : HT_NOT_SENT;
    ht_cancel_call(f->call);
    f->status = 0;
    finish_fetch(f, result, true);
}

static GByteArray *
build_fetch(const HtFetch *r)
{
    g_autoptr(GString) head = g_string_new(NULL);
    g_string_printf(head, "%s %s HTTP/1.1\r\nHost: %s\r\n%s", r->method,
                    r->target, r->address, r->extra ? r->extra : "");
    if (r->body || strcmp(r->method, "GET") != 0) {
        g_string_append_printf(head, "Content-Length: %zu\r\n", r->body_len);
    }
    g_string_append(head, "\r\n");
    GByteArray *request = g_byte_array_new();
    g_byte_array_append(request, (guint8 *)head->str, (guint)head->len);
    if (r->body) {
        g_byte_array_append(request, r->body, (guint)r->body_len);
    }
    return request;
}

void
ht_fetch(HtPool *p, const HtFetch *req, HtReplyFn done, void *ctx)
{
    Fetch *f = g_new0(Fetch, 1);
    f->loop = p->loop;
    f->done = done;
    f->ctx = ctx;
    f->body = g_byte_array_new();
    HtRequest call = {.address = req->address,
                      .way = req->way,
                      .fresh = req->fresh,
                      .request = build_fetch(req),
                      .connect_ms = req->total_ms};
    HtCallHandler handler = {f, on_fetch_head, on_fetch_data, on_fetch_end};
    f->call = ht_start_call(p, &call, &handler);
    ev_timer_init(&f->timer, on_fetch_timeout, req->total_ms / 1000., 0.);
    f->timer.data = f;
    ev_timer_start(p->loop, &f->timer);
}
