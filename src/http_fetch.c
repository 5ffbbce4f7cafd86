#include "http_pool_internal.h"

#include <string.h>

/* Of an answer; those that are read here are far smaller. */
#define MAX_BODY_BYTES (64 * 1024 * 1024)

typedef struct {
    HtCall *call;
    ev_timer timer;
    struct ev_loop *loop;
    HtReplyFn done;
    HtHeadFn on_head; /* or NULL */
    void *ctx;
    char *target; /* for the log */
    uint16_t status;
} Fetch;

static void
log_broken(const Fetch *f, AeEnd end, const GByteArray *body)
{
    bg_log(BG_WARN, "http", "%s: answer with status %u, %u bytes: %s",
           f->target, f->status, body->len, ae_name_end(end));
    bg_count("gateway_reads_broken_total", 1);
}

static void
finish_fetch(Fetch *f, AeEnd end, const GByteArray *body)
{
    ev_timer_stop(f->loop, &f->timer);
    HtReply reply = {end, f->status, body};
    f->done(f->ctx, &reply);
    g_free(f->target);
    g_free(f);
}

static void
on_fetch_head(void *ctx, HtCall *call, const HtHead *head)
{
    (void)call;
    Fetch *f = ctx;
    f->status = head->status;
    if (f->on_head) {
        f->on_head(f->ctx, head);
    }
}

static void
on_fetch_bytes(void *ctx, HtCall *call, size_t len)
{
    (void)ctx;
    (void)call;
    (void)len;
}

static void
on_fetch_end(void *ctx, HtCall *call, AeEnd end, Ae *answer)
{
    (void)call;
    Fetch *f = ctx;
    const GByteArray *body = ae_get_body(answer);
    if (f->status && !ae_is_whole(end)) {
        log_broken(f, end, body);
    }
    finish_fetch(f, end, body);
}

static void
on_fetch_timeout(struct ev_loop *loop, ev_timer *t, int events)
{
    (void)loop;
    (void)events;
    Fetch *f = t->data;
    AeEnd end = ht_was_sent(f->call) ? AE_TIMED_OUT : AE_NOT_SENT;
    ht_cancel_call(f->call);
    f->status = 0;
    g_autoptr(GByteArray) none = g_byte_array_new();
    finish_fetch(f, end, none);
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
    f->on_head = req->on_head;
    f->ctx = ctx;
    f->target = g_strdup(req->target);
    HtRequest call = {.address = req->address,
                      .way = req->way,
                      .purpose = req->purpose,
                      .fresh = req->fresh,
                      .request = build_fetch(req),
                      .expect = {MAX_BODY_BYTES, MAX_BODY_BYTES, req->may_end},
                      .connect_ms = req->total_ms};
    HtCallHandler handler = {.ctx = f,
                             .on_head = on_fetch_head,
                             .on_bytes = on_fetch_bytes,
                             .on_end = on_fetch_end};
    f->call = ht_start_call(p, &call, &handler);
    ev_timer_init(&f->timer, on_fetch_timeout, req->total_ms / 1000., 0.);
    f->timer.data = f;
    ev_timer_start(p->loop, &f->timer);
}
