#include "lc.h"

#include "hc.h"
#include "js.h"
#include "ring.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#define CONNECT_MS 500
#define APPEND_MS 2000
#define READ_WAIT_MS 1000
#define READ_MARGIN_MS 2000
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 1000
#define MAX_BATCH_RECORDS 512
#define PAGE_ENTRIES 500

/* ---- HTTP adapter ------------------------------------------------------- */

typedef struct {
    LogApi api; /* first member: the vtable */
    HcClient *http;
    char *base;
} HttpLog;

static bool
append_http(LogApi *a, const uint8_t *data, size_t len, uint64_t *offset,
            GError **err)
{
    HttpLog *h = (HttpLog *)a;
    g_autofree char *url = g_strconcat(h->base, "/v1/append", NULL);
    HcRequest req = {.method = "POST",
                     .url = url,
                     .body = data,
                     .body_len = len,
                     .connect_ms = CONNECT_MS,
                     .total_ms = APPEND_MS,
                     .fresh = false};
    HcResult res;
    hc_call(h->http, &req, &res);
    bool good = false;
    json_t *doc = NULL;
    if (res.end == HC_DONE && res.status == 200) {
        doc = js_parse(res.body->str, res.body->len, NULL);
        *offset = (uint64_t)json_integer_value(json_object_get(doc, "offset"));
        good = *offset > 0;
    }
    if (!good) {
        bool none = res.end == HC_NOT_SENT ||
                    (res.end == HC_DONE && res.status >= 400);
        g_set_error(err, BG_ERROR, none ? BG_ERR_AWAY : BG_ERR_UNKNOWN,
                    "append: %s, status %ld", hc_end_name(res.end),
                    res.status);
    }
    json_decref(doc);
    hc_free_result(&res);
    return good;
}

static bool
parse_page(json_t *doc, LogPage *page)
{
    json_t *first = json_object_get(doc, "first");
    json_t *next = json_object_get(doc, "next");
    json_t *records = json_object_get(doc, "records");
    if (!json_is_integer(first) || !json_is_integer(next)) {
        return false;
    }
    page->first = (uint64_t)json_integer_value(first);
    page->next = (uint64_t)json_integer_value(next);
    size_t i;
    json_t *r;
    json_array_foreach(records, i, r)
    {
        const char *text = json_string_value(json_object_get(r, "data"));
        json_int_t at = json_integer_value(json_object_get(r, "offset"));
        if (!text || at <= 0) {
            return false;
        }
        LogEntry e = {(uint64_t)at, NULL, 0};
        e.data = g_base64_decode(text, &e.len);
        g_array_append_val(page->entries, e);
    }
    return true;
}

static bool
read_http(LogApi *a, uint64_t from, uint32_t wait_ms, LogPage *page,
          GError **err)
{
    HttpLog *h = (HttpLog *)a;
    g_autofree char *url =
        g_strdup_printf("%s/v1/records?from=%llu&wait_ms=%u&max=%u", h->base,
                        (unsigned long long)from, wait_ms, PAGE_ENTRIES);
    HcRequest req = {.method = "GET",
                     .url = url,
                     .connect_ms = CONNECT_MS,
                     .total_ms = wait_ms + READ_MARGIN_MS,
                     .max_body = 64u * 1024 * 1024};
    HcResult res;
    hc_call(h->http, &req, &res);
    page->entries = g_array_new(FALSE, TRUE, sizeof(LogEntry));
    json_t *doc = res.end == HC_DONE
                      ? js_parse(res.body->str, res.body->len, NULL)
                      : NULL;
    bool good = doc && parse_page(doc, page);
    if (!good) {
        g_set_error(err, BG_ERROR, BG_ERR_AWAY, "read: %s, status %ld",
                    hc_end_name(res.end), res.status);
    }
    else if (res.status == 410) {
        g_set_error(err, BG_ERROR, BG_ERR_TRIMMED, "offset %llu is not kept",
                    (unsigned long long)from);
        good = false;
    }
    else if (res.status != 200) {
        g_set_error(err, BG_ERROR, BG_ERR_AWAY, "read: status %ld",
                    res.status);
        good = false;
    }
    json_decref(doc);
    hc_free_result(&res);
    return good;
}

static void
destroy_http(LogApi *a)
{
    HttpLog *h = (HttpLog *)a;
    hc_destroy(h->http);
    g_free(h->base);
    g_free(h);
}

LogApi *
lc_open_http(const char *address)
{
    HttpLog *h = g_new0(HttpLog, 1);
    h->api.append = append_http;
    h->api.read = read_http;
    h->api.destroy = destroy_http;
    h->http = hc_create();
    h->base = g_strconcat("http://", address, NULL);
    return &h->api;
}

void
lc_clear_page(LogPage *page)
{
    for (guint i = 0; page->entries && i < page->entries->len; i++) {
        g_free(g_array_index(page->entries, LogEntry, i).data);
    }
    if (page->entries) {
        g_array_free(page->entries, TRUE);
    }
    memset(page, 0, sizeof(*page));
}

/* ---- client ------------------------------------------------------------- */

struct LogClient {
    LogApi *read_api;
    LogApi *write_api;
    LcHandlers on;
    LcLimits limits;
    Ring *queue; /* Bg__Record */
    pthread_t reader;
    pthread_t appender;
    bool started;
    atomic_bool stopping;
    atomic_bool reachable;
    atomic_uint_fast64_t from;    /* next offset to read */
    atomic_uint_fast64_t stop_ms; /* when the appender gives up at a stop */
    BgRandom rng;                 /* appender only: jitter */
};

LogClient *
lc_create(LogApi *read_api, LogApi *write_api, uint64_t from,
          const LcHandlers *handlers, const LcLimits *limits)
{
    LogClient *c = g_new0(LogClient, 1);
    c->read_api = read_api;
    c->write_api = write_api;
    c->on = *handlers;
    c->limits = *limits;
    c->queue = ring_create(limits->max_queue);
    atomic_store(&c->from, from);
    bg_seed_random(&c->rng, bg_now_us());
    return c;
}

static void
set_reachable(LogClient *c, bool reachable, uint64_t next)
{
    bool was = atomic_exchange(&c->reachable, reachable);
    if (was != reachable) {
        bg_log(reachable ? BG_INFO : BG_WARN, "log", "%s",
               reachable ? "The log is reachable."
                         : "The log cannot be reached.");
    }
    if (c->on.on_reachable) {
        c->on.on_reachable(c->on.ctx, reachable, next);
    }
}

/* Hand over the entries of PAGE in order; each changes hands. */
static void
deliver_page(LogClient *c, LogPage *page, uint64_t from)
{
    for (guint i = 0; i < page->entries->len; i++) {
        LogEntry *e = &g_array_index(page->entries, LogEntry, i);
        /* A service that repeats or reorders entries must not make the
           fold step back: only the next higher offset goes on. */
        if (e->offset < from) {
            bg_log(BG_WARN, "log", "Entry %llu came again; passed over.",
                   (unsigned long long)e->offset);
            continue;
        }
        from = e->offset + 1;
        c->on.on_entry(c->on.ctx, e->offset, e->data, e->len);
        e->data = NULL;
    }
    atomic_store(&c->from, from);
}

static void
read_once(LogClient *c, uint32_t *backoff_ms)
{
    LogPage page = {0};
    g_autoptr(GError) err = NULL;
    uint64_t from = atomic_load(&c->from);
    if (c->read_api->read(c->read_api, from, READ_WAIT_MS, &page, &err)) {
        deliver_page(c, &page, from);
        set_reachable(c, true, page.next);
        *backoff_ms = BACKOFF_MIN_MS;
    }
    else if (err->code == BG_ERR_TRIMMED) {
        set_reachable(c, true, page.next);
        c->on.on_trimmed(c->on.ctx, page.first);
        bg_sleep_ms(BACKOFF_MIN_MS);
    }
    else {
        set_reachable(c, false, 0);
        bg_sleep_ms(*backoff_ms);
        *backoff_ms = MIN(*backoff_ms * 2, BACKOFF_MAX_MS);
    }
    lc_clear_page(&page);
}

static void *
run_reader(void *arg)
{
    LogClient *c = arg;
    uint32_t backoff_ms = BACKOFF_MIN_MS;
    while (!atomic_load(&c->stopping)) {
        read_once(c, &backoff_ms);
    }
    return NULL;
}

/* Records for one batch: the first, then what comes within the window. */
static GPtrArray *
collect_batch(LogClient *c)
{
    Bg__Record *first = ring_pop(c->queue, 100);
    if (!first) {
        return NULL;
    }
    GPtrArray *records =
        g_ptr_array_new_with_free_func((GDestroyNotify)rec_free);
    g_ptr_array_add(records, first);
    size_t bytes = bg__record__get_packed_size(first);
    uint64_t until_ms = bg_now_ms() + c->limits.window_ms;
    while (records->len < MAX_BATCH_RECORDS &&
           bytes < REC_MAX_BATCH_BYTES / 2) {
        uint64_t now_ms = bg_now_ms();
        uint32_t wait_ms =
            now_ms < until_ms ? (uint32_t)(until_ms - now_ms) : 0;
        Bg__Record *r = ring_pop(c->queue, wait_ms);
        if (!r) {
            break;
        }
        bytes += bg__record__get_packed_size(r);
        g_ptr_array_add(records, r);
    }
    return records;
}

static bool
should_give_up(LogClient *c, uint64_t start_ms)
{
    uint64_t now_ms = bg_now_ms();
    uint64_t stop_ms = atomic_load(&c->stop_ms);
    return now_ms - start_ms > c->limits.give_up_ms ||
           (stop_ms && now_ms > stop_ms);
}

/* Write until the service acknowledges.  After a lost acknowledgement the
   same bytes with the same id go out again: if both took effect the fold
   passes over the second. */
static void
write_batch(LogClient *c, GPtrArray *records)
{
    char id[BG_ID_LEN + 1];
    bg_make_id(id);
    size_t len;
    g_autofree uint8_t *data = rec_encode_batch(
        id, (Bg__Record **)records->pdata, records->len, &len);
    uint64_t start_ms = bg_now_ms();
    uint32_t backoff_ms = BACKOFF_MIN_MS;
    for (;;) {
        g_autoptr(GError) err = NULL;
        uint64_t offset;
        if (c->write_api->append(c->write_api, data, len, &offset, &err)) {
            bg_count("log_appends_total", 1);
            bg_count("log_records_total", records->len);
            return;
        }
        bg_count("log_append_failures_total", 1);
        if (should_give_up(c, start_ms)) {
            bg_log(BG_WARN, "log", "Gave up a batch of %u records: %s.",
                   records->len, err->message);
            return;
        }
        bg_sleep_ms(backoff_ms + bg_pick_random(&c->rng, backoff_ms));
        backoff_ms = MIN(backoff_ms * 2, BACKOFF_MAX_MS);
    }
}

static void *
run_appender(void *arg)
{
    LogClient *c = arg;
    while (!atomic_load(&c->stopping) || ring_count(c->queue) > 0) {
        GPtrArray *records = collect_batch(c);
        if (records) {
            write_batch(c, records);
            g_ptr_array_free(records, TRUE);
        }
    }
    return NULL;
}

void
lc_start(LogClient *c)
{
    c->started = true;
    pthread_create(&c->reader, NULL, run_reader, c);
    pthread_create(&c->appender, NULL, run_appender, c);
}

void
lc_stop(LogClient *c, uint32_t wait_ms)
{
    if (!c->started) {
        return;
    }
    c->started = false;
    atomic_store(&c->stop_ms, bg_now_ms() + wait_ms);
    atomic_store(&c->stopping, true);
    ring_close(c->queue);
    pthread_join(c->appender, NULL);
    pthread_join(c->reader, NULL);
}

void
lc_destroy(LogClient *c)
{
    lc_stop(c, 0);
    ring_destroy(c->queue, (void (*)(void *))rec_free);
    c->read_api->destroy(c->read_api);
    c->write_api->destroy(c->write_api);
    g_free(c);
}

bool
lc_append(LogClient *c, Bg__Record *r)
{
    if (ring_push(c->queue, r)) {
        return true;
    }
    rec_free(r);
    return false;
}

bool
lc_is_reachable(LogClient *c)
{
    return atomic_load(&c->reachable);
}

void
lc_seek(LogClient *c, uint64_t offset)
{
    atomic_store(&c->from, offset);
}
