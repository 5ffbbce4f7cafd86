/* Feeds the decoders of what others write, with the sanitizers: entries,
   configurations, records and pages of the store, frames of links, headers of
   requests and answers.  Each input is a sound one, changed at random, or one
   that holds sound parts, which must come out whatever is beside them.

     fuzz_decoders SEED RUNS   stops at the first fault, naming its run */
#include "../platform/pf_store.h"
#include "../platform/pf_wire.h"

#include "frames.h"
#include "lease.h"
#include "sockets.h"
#include "version_plan.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_CHANGES 4
#define MAX_PARTS 12
#define MAX_NESTED 3000

typedef struct {
    BgRandom rng;
    uint64_t run;
} Fuzz;

static uint32_t
draw(Fuzz *f, uint32_t bound)
{
    return bg_pick_random(&f->rng, bound);
}

static void
expect(const Fuzz *f, bool holds, const char *what)
{
    if (!holds) {
        fprintf(stderr, "run %llu: %s\n", (unsigned long long)f->run, what);
        abort();
    }
}

/* ---- changing inputs ---------------------------------------------------- */

static const char *const odd_words[] = {"-1",
                                        "0",
                                        "65536",
                                        "4294967295",
                                        "4294967296",
                                        "1e400",
                                        "1e308",
                                        "-1e308",
                                        "NaN",
                                        "1.5",
                                        "null",
                                        "true",
                                        "[]",
                                        "{}",
                                        "\"\"",
                                        "\"\\u0000\"",
                                        "\"\xff\"",
                                        "[[[[",
                                        "]}",
                                        "\\",
                                        "9223372036854775807",
                                        "18446744073709551616",
                                        "\r\n",
                                        ":",
                                        "127.0.0.1:0",
                                        "[::1]:80",
                                        "\"a\\r\\nb\"",
                                        "99999999999999999999999999999999",
                                        "0x10",
                                        "+5"};

static void
insert(GByteArray *b, guint at, const void *data, size_t len)
{
    g_autofree uint8_t *rest = g_memdup2(b->data + at, b->len - at);
    guint rest_len = b->len - at;
    g_byte_array_set_size(b, at);
    g_byte_array_append(b, data, (guint)len);
    if (rest_len > 0) {
        g_byte_array_append(b, rest, rest_len);
    }
}

static void
nest(Fuzz *f, GByteArray *b, guint at)
{
    g_autofree char *deep = g_strnfill(draw(f, MAX_NESTED), '[');
    insert(b, at, deep, strlen(deep));
}

/* Replaces the number or word that begins at or behind AT. */
static void
replace_word(Fuzz *f, GByteArray *b, guint at)
{
    while (at < b->len && !g_ascii_isalnum(b->data[at])) {
        at++;
    }
    guint end = at;
    while (end < b->len && g_ascii_isalnum(b->data[end])) {
        end++;
    }
    if (end > at) {
        g_byte_array_remove_range(b, at, end - at);
    }
    const char *word = odd_words[draw(f, G_N_ELEMENTS(odd_words))];
    insert(b, at, word, strlen(word));
}

static void
change_once(Fuzz *f, GByteArray *b)
{
    guint at = draw(f, b->len + 1);
    uint8_t byte = (uint8_t)draw(f, 256);
    switch (draw(f, 7)) {
    case 0:
        if (at < b->len) {
            b->data[at] = byte;
        }
        break;
    case 1:
        insert(b, at, &byte, 1);
        break;
    case 2:
        if (at < b->len) {
            g_byte_array_remove_range(b, at, 1 + draw(f, b->len - at));
        }
        break;
    case 3:
        g_byte_array_set_size(b, at);
        break;
    case 4:
        nest(f, b, at);
        break;
    default:
        replace_word(f, b, at);
        break;
    }
}

static GByteArray *
make_bytes(const void *data, size_t len)
{
    GByteArray *b = g_byte_array_new();
    g_byte_array_append(b, data, (guint)len);
    return b;
}

/* TEXT, changed up to MAX_CHANGES times. */
static GByteArray *
change(Fuzz *f, const char *text)
{
    GByteArray *b = make_bytes(text, strlen(text));
    for (uint32_t n = draw(f, MAX_CHANGES + 1); n > 0; n--) {
        change_once(f, b);
    }
    return b;
}

/* ---- documents ---------------------------------------------------------- */

static const char entry[] =
    "{\"service\":\"llm\",\"address\":\"10.0.0.1:8080\",\"zone\":\"z1\","
    "\"version\":\"v1\",\"slots\":96,\"state\":\"ready\",\"cold_left_ms\":0,"
    "\"sequence\":7,\"born\":1700000000000,\"remaining_ms\":500,\"models\":[{"
    "\"name\":\"m0\",\"version\":2,\"adapters\":[\"a1\",\"a2\"]}],\"coming\":["
    "\"m0/a3@1\"],\"at_hand\":{\"in_memory\":[\"m0\"],\"on_disk\":[\"m1\"]},"
    "\"busy\":false}";

static const char configuration[] =
    "{\"version\":9,\"routes\":[{\"name\":\"r\",\"host\":\"app.example\","
    "\"path_prefix\":\"/r/\",\"route_type\":\"streaming\",\"timeout_ms\":4000,"
    "\"target_latency_ms\":500,\"gap_target_ms\":200,\"priority\":1,"
    "\"attempts\":2,\"sticky\":true,\"resumable\":true,\"traffic_split\":[{"
    "\"service\":\"llm\",\"weight\":3},{\"service\":\"app\",\"weight\":1}]}],"
    "\"services\":[{\"name\":\"llm\",\"health_path\":\"/h\","
    "\"max_connections\":100,\"engine\":{\"slots\":8,\"kv_capacity\":100000,"
    "\"weights_mb\":83000.5,\"max_adapters\":8,\"loads_per_s\":3.1,\"models\":"
    "["
    "{\"name\":\"m0\",\"weights_mb\":30000.000001,\"load_time_s\":6.5,"
    "\"adapters\":20,\"adapter_mb\":40.5,\"disk_s\":2,\"warm_s\":0.5}]}}],"
    "\"tenants\":[{\"name\":\"w\",\"api_keys\":[\"k\"],\"priority\":1,"
    "\"unit\":"
    "\"token_budget\",\"plain_tokens\":5,\"rate_per_s\":2.5,\"burst\":9}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
    "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}";

static void
try_entry(Fuzz *f)
{
    g_autoptr(GByteArray) b = change(f, entry);
    g_autoptr(GByteArray) id = change(f, "i-1");
    g_byte_array_append(id, (const guint8 *)"", 1);
    g_autoptr(GError) err = NULL;
    DepUpstream *u =
        pf_decode_upstream((const char *)id->data, b->data, b->len, &err);
    expect(f, (u == NULL) == (err != NULL), "an entry without a reason");
    if (u) {
        expect(f, so_is_address(u->address), "an address that can't be used");
        expect(f, dep_check_upstream(u, NULL), "an entry that can't be used");
        dep_destroy_upstream(u);
    }
}

static void
try_config(Fuzz *f)
{
    g_autoptr(GByteArray) b = change(f, configuration);
    g_autoptr(GError) err = NULL;
    DepConfig *c = pf_decode_config(b->data, b->len, &err);
    expect(f, (c == NULL) == (err != NULL),
           "a configuration without a reason");
    if (c) {
        const DepRoute *r = dep_find_route(c, "app.example:80", "/r/x");
        expect(f, !r || dep_pick_service(r, draw(f, 1000)), "no service");
        dep_get_stream_life_ms(c);
        dep_unref_config(c);
    }
}

/* ---- records and pages of the store ------------------------------------- */

static void
append_length(GByteArray *b, uint32_t n)
{
    uint8_t bytes[4] = {(uint8_t)(n >> 24), (uint8_t)(n >> 16),
                        (uint8_t)(n >> 8), (uint8_t)n};
    g_byte_array_append(b, bytes, sizeof(bytes));
}

/* Its key would pass for a sound one's. */
static void
append_alias(GByteArray *b)
{
    static const char record[] = "\011good-key\0{}";
    append_length(b, sizeof(record) - 1);
    g_byte_array_append(b, (const guint8 *)record, sizeof(record) - 1);
}

static void
append_odd_record(Fuzz *f, GByteArray *b)
{
    if (draw(f, 4) == 0) {
        append_alias(b);
        return;
    }
    uint32_t len = draw(f, 6);
    append_length(b, len);
    for (uint32_t i = 0; i < len; i++) {
        uint8_t byte = (uint8_t)draw(f, 256);
        g_byte_array_append(b, &byte, 1);
    }
}

static void
append_good_record(GByteArray *b, const char *key)
{
    GByteArray *r = pf_encode_record(key, entry, strlen(entry));
    g_byte_array_append(b, r->data, r->len);
    g_byte_array_free(r, TRUE);
}

static bool
has_record(const GPtrArray *records, const char *key, uint64_t offset)
{
    for (guint i = 0; i < records->len; i++) {
        const StRecord *r = records->pdata[i];
        if (strcmp(r->key, key) == 0 && r->offset == offset) {
            return true;
        }
    }
    return false;
}

static void
try_records(Fuzz *f)
{
    static const uint8_t head[16] = {0};
    g_autoptr(GByteArray) b = make_bytes(head, sizeof(head));
    bool good[MAX_PARTS];
    uint32_t parts = draw(f, MAX_PARTS + 1);
    for (uint32_t i = 0; i < parts; i++) {
        good[i] = draw(f, 2) == 0;
        if (good[i]) {
            append_good_record(b, "good-key");
        }
        else {
            append_odd_record(f, b);
        }
    }
    uint64_t tail;
    uint64_t next;
    GPtrArray *r = pf_decode_records(b->data, b->len, 100, &tail, &next);
    expect(f, r && next == 100 + parts, "records that were not passed");
    for (uint32_t i = 0; i < parts; i++) {
        expect(f, good[i] == has_record(r, "good-key", 100 + i),
               "a record that is hidden, or passes for another");
    }
    g_ptr_array_free(r, TRUE);
}

static void
try_broken_records(Fuzz *f)
{
    static const uint8_t head[16] = {0};
    g_autoptr(GByteArray) b = make_bytes(head, sizeof(head));
    append_good_record(b, "a");
    append_good_record(b, "b");
    for (uint32_t n = draw(f, MAX_CHANGES); n > 0; n--) {
        change_once(f, b);
    }
    uint64_t tail;
    uint64_t next = 0;
    GPtrArray *r = pf_decode_records(b->data, b->len, 1, &tail, &next);
    if (r) {
        expect(f, next >= 1 + r->len, "more records than offsets");
        g_ptr_array_free(r, TRUE);
    }
}

static const char *const odd_items[] = {
    "{\"key\":\"x\\u0000y\",\"value\":\"e30=\",\"offset\":1}",
    "{\"key\":\"\xff\xfe\",\"value\":\"e30=\",\"offset\":1}",
    "{\"key\":\"\",\"value\":null}",
    "{\"key\":\"good-1\\r\",\"value\":\"!!!!\",\"offset\":-1}",
    "{\"key\":\"k\",\"value\":\"\xc3\x28\",\"offset\":99999999}",
    "{\"key\":\"k\",\"value\":7,\"offset\":\"1\"}"};

/* Items of any kind beside sound ones. */
static void
try_page(Fuzz *f)
{
    g_autoptr(GString) page = g_string_new("{\"items\":[");
    uint32_t good = 0;
    for (uint32_t n = 1 + draw(f, MAX_PARTS); n > 0; n--) {
        if (draw(f, 2) == 0) {
            g_string_append_printf(
                page, "{\"key\":\"good-%u\",\"value\":\"e30=\",\"offset\":5},",
                good++);
        }
        else {
            g_string_append_printf(
                page, "%s,", odd_items[draw(f, G_N_ELEMENTS(odd_items))]);
        }
    }
    g_string_append(page,
                    "{\"key\":\"last\",\"value\":\"e30=\",\"offset\":5}],"
                    "\"has_more\":true,\"end\":9}");
    StReply reply = {.result = ST_OK};
    expect(f, pf_decode_page(page->str, page->len, &reply), "no page");
    uint32_t found = 0;
    for (guint i = 0; i < reply.records->len; i++) {
        const StRecord *r = reply.records->pdata[i];
        g_autofree char *key = g_strdup_printf("good-%u", found);
        found += strcmp(r->key, key) == 0;
    }
    expect(f, found == good, "an item that is hidden");
    expect(f, g_strcmp0(reply.after, "last") == 0, "no next page");
    pf_clear_page(&reply);
}

static void
try_broken_page(Fuzz *f)
{
    g_autoptr(GByteArray) b = change(
        f, "{\"items\":[{\"key\":\"a\",\"value\":\"e30=\",\"offset\":1}],"
           "\"has_more\":true,\"end\":9}");
    StReply reply = {.result = ST_OK};
    pf_decode_page(b->data, b->len, &reply);
    pf_clear_page(&reply);
}

/* ---- frames, the lease and the version plan ----------------------------- */

static GByteArray *
pack_sound_frame(Fuzz *f)
{
    Gwp__Frame frame = GWP__FRAME__INIT;
    Gwp__Upstream row = GWP__UPSTREAM__INIT;
    Gwp__Upstream *rows[] = {&row, &row};
    Gwp__Upstreams ups = GWP__UPSTREAMS__INIT;
    Gwp__State state = GWP__STATE__INIT;
    Gwp__Hello hello = GWP__HELLO__INIT;
    row.id = (char *)"i-1";
    row.address = (char *)"10.0.0.1:80";
    ups.n_upstreams = 2;
    ups.upstreams = rows;
    state.config_version = 7;
    hello.vm = (char *)"vm";
    uint32_t which = draw(f, 3);
    frame.body_case = which == 0   ? GWP__FRAME__BODY_UPSTREAMS
                      : which == 1 ? GWP__FRAME__BODY_STATE
                                   : GWP__FRAME__BODY_HELLO;
    frame.upstreams = which == 0 ? &ups : NULL;
    frame.state = which == 1 ? &state : frame.state;
    frame.hello = which == 2 ? &hello : frame.hello;
    return fr_pack(&frame);
}

static void
try_frames(Fuzz *f)
{
    g_autoptr(GByteArray) b = pack_sound_frame(f);
    for (uint32_t n = draw(f, MAX_CHANGES); n > 0; n--) {
        change_once(f, b);
    }
    size_t at = 0;
    Gwp__Frame *frame;
    while (fr_next(b, &at, FR_MAX_BYTES, &frame) == FR_WHOLE) {
        expect(f, at <= b->len, "a frame beyond its bytes");
        gwp__frame__free_unpacked(frame, NULL);
    }
}

static void
ignore_read(void *ctx, uint64_t from)
{
    (void)ctx;
    (void)from;
}

static void
ignore_append(void *ctx, uint64_t at, const char *value)
{
    (void)ctx;
    (void)at;
    (void)value;
}

static void
ignore_change(void *ctx)
{
    (void)ctx;
}

static void
try_lease(Fuzz *f)
{
    g_autoptr(GByteArray) b =
        change(f, "vm1 0123456789abcdef 10.0.0.1:7380 1500 3 note");
    g_byte_array_append(b, (const guint8 *)"", 1);
    LsParams params = {"vm0", "p", "10.0.0.2:7380", 1500, 350, 1000, 3000,
                       1000,  100, f->run};
    LsOutput out = {NULL, ignore_read, ignore_append, ignore_change};
    Ls *l = ls_create(&params, &out);
    ls_on_read(l, 5000, ST_OK, (const char *)b->data, 3, 4);
    ls_on_tick(l, 9000);
    ls_destroy(l);
}

static void
try_plan(Fuzz *f)
{
    Gwp__Frame frame = GWP__FRAME__INIT;
    Gwp__VersionPlan plan = GWP__VERSION_PLAN__INIT;
    frame.body_case = GWP__FRAME__BODY_VERSION_PLAN;
    frame.version_plan = &plan;
    g_autoptr(GByteArray) b = fr_pack(&frame);
    for (uint32_t n = draw(f, MAX_CHANGES + 4); n > 0; n--) {
        change_once(f, b);
    }
    Vp *p = vp_create();
    vp_take(p, 1000, b->data, b->len);
    vp_read_number(b->data, b->len);
    vp_destroy(p);
}

/* ---- headers ------------------------------------------------------------ */

static const char *const header_names[] = {
    "X-Attempt-Id",    "X-Deadline-Ms", "X-Model",        "X-Token-Count",
    "X-Prompt-Prefix", "Last-Event-Id", "Resumes",        "X-Api-Key",
    "X-Instance-Load", "Server-Limit",  "Server-Brittle", "Retry-After",
    "Server-Leaving",  "X-Not-Executed"};
static const char *const header_values[] = {"9c41d07be2a35f68",
                                            "5000",
                                            "m0/a1",
                                            "1460,80",
                                            "5c1e:800,91bd:410",
                                            "12",
                                            "3,0,8",
                                            "2.5",
                                            "1",
                                            ""};

static void
read_all_headers(const HtHead *head)
{
    DepCall call;
    pf_gw_wire.read_call(head, &call);
    dep_clear_call(&call);
    GwLoad load;
    pf_gw_wire.read_load(head, &load);
    UlNamed named;
    pf_gw_wire.read_limit(head, &named);
    double per_s;
    pf_gw_wire.read_brittle(head, &per_s);
    UnNotice notice;
    pf_gw_wire.read_notice(head, &notice);
    pf_gw_wire.read_key(head);
}

static void
try_headers(Fuzz *f)
{
    HtHead head = {.status = draw(f, 2) ? 503 : 200,
                   .headers = g_array_new(FALSE, FALSE, sizeof(HtHeader))};
    g_autoptr(GPtrArray) texts =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_byte_array_unref);
    for (uint32_t n = draw(f, MAX_PARTS); n > 0; n--) {
        GByteArray *b =
            change(f, header_values[draw(f, G_N_ELEMENTS(header_values))]);
        g_byte_array_append(b, (const guint8 *)"", 1);
        g_ptr_array_add(texts, b);
        HtHeader h = {header_names[draw(f, G_N_ELEMENTS(header_names))],
                      (const char *)b->data};
        g_array_append_val(head.headers, h);
    }
    read_all_headers(&head);
    g_array_free(head.headers, TRUE);
}

int
main(int argc, char **argv)
{
    static void (*const tries[])(Fuzz *) = {
        try_entry, try_config,      try_records, try_broken_records,
        try_page,  try_broken_page, try_frames,  try_lease,
        try_plan,  try_headers};
    if (argc != 3) {
        fprintf(stderr, "usage: fuzz_decoders SEED RUNS\n");
        return 2;
    }
    uint64_t seed = strtoull(argv[1], NULL, 10);
    uint64_t runs = strtoull(argv[2], NULL, 10);
    for (uint64_t i = 0; i < runs; i++) {
        Fuzz f = {.run = i};
        bg_seed_random(&f.rng, seed * 1000003 + i);
        tries[i % G_N_ELEMENTS(tries)](&f);
    }
    printf("%llu runs, no fault\n", (unsigned long long)runs);
    return 0;
}
