#include "log_client.h"

#include "blocking_http.h"
#include "json_parser.h"
#include "ring.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#define CONNECT_MS 500
#define APPEND_MS 2000
/* An unresponsive log is detected after the sum of both. */
#define READ_WAIT_MS 500
#define READ_MARGIN_MS 700
#define PAGE_TOTAL_MS 10000
#define REPEAT_PAUSE_MS 100
#define RECENT_FAILURE_MS 3000
#define OPEN_POLL_MS 10
#define BACKOFF_MIN_MS 50
#define BACKOFF_MAX_MS 1000
#define MAX_BATCH_RECORDS 512
#define PAGE_ENTRIES 500
#define PAGE_BYTES (64u * 1024 * 1024)
#define URGENT_RECORDS 4096

/* ---- HTTP adapter ------------------------------------------------------- */

typedef struct {
    LogApi api; /* first member: the vtable */
    HcClient *http;
    char *base;
    uint32_t page_entries; /* requested; fewer if entries are large */
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
                     /* On a pooled connection curl sends the append again by
                        itself if the first answer is lost; a refusal of the
                        second would look as if nothing was appended. */
                     .fresh = true};
    HcResult res;
    hc_call(h->http, &req, &res);
    bool ok = false;
    json_t *doc = NULL;
    if (res.end == HC_DONE && res.status == 200) {
        doc = js_parse(res.body->str, res.body->len, NULL);
        *offset = (uint64_t)json_integer_value(json_object_get(doc, "offset"));
        ok = *offset > 0;
    }
    if (!ok) {
        /* Rejected without effect.  Any other 5xx may come from a proxy that
           lost the service's answer. */
        bool none =
            res.end == HC_NOT_SENT ||
            (res.end == HC_DONE &&
             ((res.status >= 400 && res.status < 500) || res.status == 503));
        g_set_error(err, BG_ERROR, none ? BG_ERR_UNREACHABLE : BG_ERR_UNKNOWN,
                    "append: %s, status %ld", hc_end_name(res.end),
                    res.status);
    }
    json_decref(doc);
    hc_free_result(&res);
    return ok;
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

/* Reads one page.  If it is too large (entries can be checkpoints), the number
   of entries is halved until it fits. */
static void
call_read(HttpLog *h, uint64_t from, uint32_t wait_ms, HcResult *res)
{
    for (;;) {
        g_autofree char *url = g_strdup_printf(
            "%s/v1/records?from=%llu&wait_ms=%u&max=%u", h->base,
            (unsigned long long)from, wait_ms, h->page_entries);
        HcRequest req = {.method = "GET",
                         .url = url,
                         .connect_ms = CONNECT_MS,
                         .first_byte_ms = wait_ms + READ_MARGIN_MS,
                         .idle_ms = READ_MARGIN_MS,
                         .total_ms = wait_ms + PAGE_TOTAL_MS,
                         .max_body = PAGE_BYTES};
        hc_call(h->http, &req, res);
        if (res->end != HC_TOO_LARGE || h->page_entries == 1) {
            break;
        }
        h->page_entries /= 2;
        hc_free_result(res);
    }
    h->page_entries = MIN(h->page_entries * 2, PAGE_ENTRIES);
}

static bool
read_http(LogApi *a, uint64_t from, uint32_t wait_ms, LogPage *page,
          GError **err)
{
    HttpLog *h = (HttpLog *)a;
    HcResult res;
    call_read(h, from, wait_ms, &res);
    page->entries = g_array_new(FALSE, TRUE, sizeof(LogEntry));
    json_t *doc = res.end == HC_DONE
                      ? js_parse(res.body->str, res.body->len, NULL)
                      : NULL;
    bool ok = doc && parse_page(doc, page);
    if (!ok) {
        g_set_error(err, BG_ERROR, BG_ERR_UNREACHABLE, "read: %s, status %ld",
                    hc_end_name(res.end), res.status);
    }
    else if (res.status == 410) {
        g_set_error(err, BG_ERROR, BG_ERR_TRIMMED, "offset %llu is not kept",
                    (unsigned long long)from);
        ok = false;
    }
    else if (res.status != 200) {
        g_set_error(err, BG_ERROR, BG_ERR_UNREACHABLE, "read: status %ld",
                    res.status);
        ok = false;
    }
    json_decref(doc);
    hc_free_result(&res);
    return ok;
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
    h->page_entries = PAGE_ENTRIES;
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

void
lc_free_page(LogPage *page)
{
    if (page) {
        lc_clear_page(page);
        g_free(page);
    }
}

/* ---- client ------------------------------------------------------------- */

struct LogClient {
    LogApi *read_api;
    LogApi *write_api;
    LcHandlers on;
    LcLimits limits;
    Ring *queue;  /* Bg__Record */
    Ring *urgent; /* Bg__Record, written before queue */
    pthread_t reader;
    pthread_t appender;
    bool started;
    atomic_bool stopping;
    atomic_bool open;             /* queue may be written */
    pthread_mutex_t lock;         /* protects from */
    pthread_cond_t requested;     /* from was set */
    uint64_t from;                /* offset to read; 0: no read requested */
    uint64_t served;              /* reader only: last offset read */
    atomic_uint_fast64_t fail_ms; /* last failed append; 0: none since the
                                     last success */
    atomic_uint_fast64_t stop_ms; /* after lc_stop: when to give up */
    BgRandom rng;                 /* appender only: jitter */
};

LogClient *
lc_create(LogApi *read_api, LogApi *write_api, const LcHandlers *handlers,
          const LcLimits *limits)
{
    LogClient *c = g_new0(LogClient, 1);
    c->read_api = read_api;
    c->write_api = write_api;
    c->on = *handlers;
    c->limits = *limits;
    c->queue = ring_create(limits->max_queue);
    c->urgent = ring_create(URGENT_RECORDS);
    pthread_mutex_init(&c->lock, NULL);
    pthread_cond_init(&c->requested, NULL);
    bg_seed_random(&c->rng, bg_now_us());
    return c;
}

/* ---- reader ------------------------------------------------------------- */

/* Waits for a read request and returns its offset; 0: stopping. */
static uint64_t
wait_for_request(LogClient *c)
{
    pthread_mutex_lock(&c->lock);
    while (!c->from && !atomic_load(&c->stopping)) {
        pthread_cond_wait(&c->requested, &c->lock);
    }
    uint64_t from = c->from;
    pthread_mutex_unlock(&c->lock);
    return from;
}

/* Clears the read request, unless there is a new one. */
static void
clear_request(LogClient *c, uint64_t from)
{
    pthread_mutex_lock(&c->lock);
    if (c->from == from) {
        c->from = 0;
    }
    pthread_mutex_unlock(&c->lock);
}

static void
read_once(LogClient *c, uint64_t from, uint32_t *backoff_ms)
{
    LogPage *page = g_new0(LogPage, 1);
    g_autoptr(GError) err = NULL;
    if (c->read_api->read(c->read_api, from, READ_WAIT_MS, page, &err)) {
        /* A repeated request for the same entries: the receiver could not use
           them.  The pause avoids a busy loop. */
        if (from == c->served && page->entries->len > 0) {
            bg_sleep_ms(REPEAT_PAUSE_MS);
        }
        c->served = from;
        *backoff_ms = BACKOFF_MIN_MS;
        clear_request(c, from);
        c->on.on_page(c->on.ctx, from, page);
        return;
    }
    if (err->code == BG_ERR_TRIMMED) {
        c->on.on_trimmed(c->on.ctx, page->first, page->next);
        bg_sleep_ms(REPEAT_PAUSE_MS);
    }
    else {
        c->on.on_unreachable(c->on.ctx);
        bg_sleep_ms(*backoff_ms);
        *backoff_ms = MIN(*backoff_ms * 2, BACKOFF_MAX_MS);
    }
    lc_free_page(page);
}

static void *
run_reader(void *arg)
{
    LogClient *c = arg;
    uint32_t backoff_ms = BACKOFF_MIN_MS;
    while (!atomic_load(&c->stopping)) {
        uint64_t from = wait_for_request(c);
        if (from) {
            read_once(c, from, &backoff_ms);
        }
    }
    return NULL;
}

void
lc_read_from(LogClient *c, uint64_t offset)
{
    pthread_mutex_lock(&c->lock);
    c->from = offset;
    pthread_cond_signal(&c->requested);
    pthread_mutex_unlock(&c->lock);
}

/* ---- appender ----------------------------------------------------------- */

/* Collects a batch: the first record and those that follow within the
   window. */
static GPtrArray *
collect_batch(LogClient *c, Ring *queue, uint32_t first_wait_ms)
{
    Bg__Record *first = ring_pop(queue, first_wait_ms);
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
        Bg__Record *r = ring_pop(queue, wait_ms);
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

static void wait_until_open(LogClient *c, uint64_t start_ms);

/* Writes a batch until the service acknowledges it.  After a lost
   acknowledgement the same bytes are written again with the same id: if both
   took effect, the fold ignores the second.  A batch that is not URGENT waits
   before each attempt until appends are open. */
static void
write_batch(LogClient *c, GPtrArray *records, bool urgent)
{
    char id[BG_ID_LEN + 1];
    bg_make_id(id);
    size_t len;
    g_autofree uint8_t *data = rec_encode_batch(
        id, (Bg__Record **)records->pdata, records->len, &len);
    uint64_t start_ms = bg_now_ms();
    uint32_t backoff_ms = BACKOFF_MIN_MS;
    for (;;) {
        if (!urgent) {
            wait_until_open(c, start_ms);
        }
        g_autoptr(GError) err = NULL;
        uint64_t offset;
        if (c->write_api->append(c->write_api, data, len, &offset, &err)) {
            atomic_store(&c->fail_ms, 0);
            bg_count("log_appends_total", 1);
            bg_count("log_records_total", records->len);
            return;
        }
        atomic_store(&c->fail_ms, bg_now_ms());
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

static bool
write_from(LogClient *c, Ring *queue, uint32_t first_wait_ms)
{
    GPtrArray *records = collect_batch(c, queue, first_wait_ms);
    if (!records) {
        return false;
    }
    write_batch(c, records, queue == c->urgent);
    g_ptr_array_free(records, TRUE);
    return true;
}

static void
wait_until_open(LogClient *c, uint64_t start_ms)
{
    while (!atomic_load(&c->open) && !should_give_up(c, start_ms)) {
        write_from(c, c->urgent, OPEN_POLL_MS);
    }
}

static bool
has_records(LogClient *c)
{
    return ring_count(c->queue) > 0 || ring_count(c->urgent) > 0;
}

static void *
run_appender(void *arg)
{
    LogClient *c = arg;
    while (!atomic_load(&c->stopping) || has_records(c)) {
        bool stopping = atomic_load(&c->stopping);
        if (ring_count(c->urgent) > 0) {
            write_from(c, c->urgent, 0);
        }
        else if (atomic_load(&c->open) || stopping) {
            write_from(c, c->queue, OPEN_POLL_MS);
        }
        else {
            write_from(c, c->urgent, OPEN_POLL_MS);
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
    ring_close(c->urgent);
    lc_read_from(c, 0);
    pthread_join(c->appender, NULL);
    pthread_join(c->reader, NULL);
}

void
lc_destroy(LogClient *c)
{
    lc_stop(c, 0);
    ring_destroy(c->queue, (void (*)(void *))rec_free);
    ring_destroy(c->urgent, (void (*)(void *))rec_free);
    pthread_cond_destroy(&c->requested);
    pthread_mutex_destroy(&c->lock);
    c->read_api->destroy(c->read_api);
    c->write_api->destroy(c->write_api);
    g_free(c);
}

static bool
push_record(Ring *queue, Bg__Record *r)
{
    if (ring_push(queue, r)) {
        return true;
    }
    rec_free(r);
    return false;
}

bool
lc_append(LogClient *c, Bg__Record *r)
{
    return push_record(c->queue, r);
}

bool
lc_append_first(LogClient *c, Bg__Record *r)
{
    return push_record(c->urgent, r);
}

void
lc_open_appends(LogClient *c, bool open)
{
    atomic_store(&c->open, open);
}

bool
lc_can_append(LogClient *c)
{
    uint64_t fail_ms = atomic_load(&c->fail_ms);
    return !fail_ms || bg_now_ms() - fail_ms > RECENT_FAILURE_MS;
}
