/* Appends records through the log client for SECONDS and prints the
   throughput and the median delay as JSON; for benchmarks.

     script_append IP:PORT SECONDS WINDOW_MS
   WINDOW_MS -1: one record per append. */
#include "base.h"
#include "blocking_http.h"
#include "log_client.h"
#include "log_records.h"

#include <stdio.h>
#include <stdlib.h>

#define QUEUE 2000

typedef struct {
    LogApi api; /* first member: the vtable */
    LogApi *inner;
    uint64_t appends;
    uint64_t records;
    GArray *delays_ms; /* uint64_t, of each append's oldest record */
} CountingApi;

/* The wall_ms of a batch's first record is the time when it was queued. */
static void
note_batch(CountingApi *c, const uint8_t *data, size_t len)
{
    RecBatch b = {0};
    if (!rec_decode_batch(data, len, &b, NULL)) {
        return;
    }
    uint64_t delay_ms = bg_wall_ms() - b.list->records[0]->death->wall_ms;
    g_array_append_val(c->delays_ms, delay_ms);
    c->appends++;
    c->records += b.list->n_records;
    rec_free_batch(&b);
}

static bool
append_counted(LogApi *a, const uint8_t *data, size_t len, uint64_t *offset,
               GError **err)
{
    CountingApi *c = (CountingApi *)a;
    bool good = c->inner->append(c->inner, data, len, offset, err);
    if (good) {
        note_batch(c, data, len);
    }
    return good;
}

static void
destroy_counted(LogApi *a)
{
    CountingApi *c = (CountingApi *)a;
    c->inner->destroy(c->inner);
}

static Bg__Record *
make_record(void)
{
    static uint8_t digest[32];
    Bg__DeathRecord d = BG__DEATH_RECORD__INIT;
    d.request_digest.data = digest;
    d.request_digest.len = sizeof(digest);
    d.upstream = "bench";
    d.wall_ms = bg_wall_ms();
    Bg__Record r = BG__RECORD__INIT;
    r.body_case = BG__RECORD__BODY_DEATH;
    r.death = &d;
    return rec_copy(&r);
}

static int
compare_delays(gconstpointer a, gconstpointer b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;
    return x < y ? -1 : x > y;
}

/* One record per append, one append at a time. */
static void
append_single(CountingApi *c, uint64_t until_ms)
{
    while (bg_now_ms() < until_ms) {
        Bg__Record *r = make_record();
        char id[BG_ID_LEN + 1];
        bg_make_id(id);
        size_t len;
        g_autofree uint8_t *data = rec_encode_batch(id, &r, 1, &len);
        uint64_t offset;
        append_counted(&c->api, data, len, &offset, NULL);
        rec_free(r);
    }
}

static void
append_batched(CountingApi *c, const char *address, uint32_t window_ms,
               uint64_t until_ms)
{
    LcHandlers on = {0};
    LcLimits limits = {window_ms, QUEUE, 1000};
    LogClient *lc = lc_create(lc_open_http(address), &c->api, &on, &limits);
    lc_open_appends(lc, true);
    lc_start(lc);
    while (bg_now_ms() < until_ms) {
        if (!lc_append(lc, make_record())) {
            bg_sleep_ms(1);
        }
    }
    lc_stop(lc, 0);
    lc_destroy(lc);
}

int
main(int argc, char **argv)
{
    if (argc != 4) {
        return 2;
    }
    hc_init_process();
    uint32_t seconds = (uint32_t)strtoul(argv[2], NULL, 10);
    long window_ms = strtol(argv[3], NULL, 10);
    CountingApi c = {.api = {append_counted, NULL, destroy_counted},
                     .inner = lc_open_http(argv[1]),
                     .delays_ms = g_array_new(FALSE, TRUE, sizeof(uint64_t))};
    uint64_t until_ms = bg_now_ms() + seconds * 1000ull;
    if (window_ms < 0) {
        append_single(&c, until_ms);
        destroy_counted(&c.api);
    }
    else {
        append_batched(&c, argv[1], (uint32_t)window_ms, until_ms);
    }
    g_array_sort(c.delays_ms, compare_delays);
    guint middle = c.delays_ms->len / 2;
    uint64_t p50_ms =
        middle ? g_array_index(c.delays_ms, uint64_t, middle) : 0;
    printf("{\"records_per_s\": %.1f, \"appends_per_s\": %.1f, "
           "\"p50_ms\": %llu}\n",
           (double)c.records / seconds, (double)c.appends / seconds,
           (unsigned long long)p50_ms);
    g_array_free(c.delays_ms, TRUE);
    hc_end_process();
    return 0;
}
