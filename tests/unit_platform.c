/* Decoding of the platform's formats: valid, malformed, truncated, or from
   another writer. */
#include "../platform/pf_store.h"
#include "../platform/pf_wire.h"

#include <CUnit/Basic.h>
#include <string.h>

static const uint8_t head[16] = {0, 0, 0, 0, 0, 0, 0, 9,
                                 0, 0, 0, 0, 0, 0, 0, 1};

static GByteArray *
start_body(void)
{
    GByteArray *b = g_byte_array_new();
    g_byte_array_append(b, head, sizeof(head));
    return b;
}

static void
add_record(GByteArray *b, const char *key, const char *value)
{
    GByteArray *r = pf_encode_record(key, value, strlen(value));
    g_byte_array_append(b, r->data, r->len);
    g_byte_array_free(r, TRUE);
}

static void
test_records(void)
{
    GByteArray *b = start_body();
    add_record(b, "k1", "one");
    add_record(b, "k2", ""); /* deleted key */
    uint64_t tail = 0;
    uint64_t next = 0;
    GPtrArray *r = pf_decode_records(b->data, b->len, 5, &tail, &next);
    CU_ASSERT_EQUAL(tail, 9);
    CU_ASSERT_EQUAL(next, 7);
    CU_ASSERT_EQUAL(r->len, 2);
    const StRecord *first = r->pdata[0];
    const StRecord *second = r->pdata[1];
    CU_ASSERT_STRING_EQUAL(first->key, "k1");
    CU_ASSERT_EQUAL(first->offset, 5);
    CU_ASSERT_EQUAL(g_bytes_get_size(first->value), 3);
    CU_ASSERT_PTR_NULL(second->value);
    CU_ASSERT_EQUAL(second->offset, 6);
    g_ptr_array_free(r, TRUE);
    g_byte_array_free(b, TRUE);
}

/* Truncated at every byte: only the complete records are returned. */
static void
test_records_cut_off(void)
{
    GByteArray *b = start_body();
    add_record(b, "k1", "one");
    add_record(b, "k2", "two");
    for (guint len = 0; len < b->len; len++) {
        uint64_t tail;
        uint64_t next;
        GPtrArray *r = pf_decode_records(b->data, len, 0, &tail, &next);
        if (len < sizeof(head)) {
            CU_ASSERT_PTR_NULL(r);
            continue;
        }
        CU_ASSERT_PTR_NOT_NULL_FATAL(r);
        g_assert(r != NULL);
        CU_ASSERT(r->len <= (len - sizeof(head)) / 10);
        CU_ASSERT_EQUAL(next, r->len);
        g_ptr_array_free(r, TRUE);
    }
    g_byte_array_free(b, TRUE);
}

/* Invalid lengths: past the end, zero, a key longer than its record. */
static void
test_records_malformed(void)
{
    static const uint8_t bad[][8] = {{0xff, 0xff, 0xff, 0xff, 1, 'a', 'b'},
                                     {0, 0, 0, 0, 0, 0, 0},
                                     {0, 0, 0, 2, 9, 'a', 0}};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        GByteArray *b = start_body();
        g_byte_array_append(b, bad[i], sizeof(bad[i]));
        uint64_t tail;
        uint64_t next;
        GPtrArray *r = pf_decode_records(b->data, b->len, 0, &tail, &next);
        CU_ASSERT_PTR_NOT_NULL_FATAL(r);
        g_assert(r != NULL);
        CU_ASSERT_EQUAL(r->len, 0);
        g_ptr_array_free(r, TRUE);
        g_byte_array_free(b, TRUE);
    }
}

/* Records that can't be read are skipped: those behind them are not. */
static void
test_records_behind_odd_ones(void)
{
    static const uint8_t odd[] = {0, 0, 0, 0,                       /* empty */
                                  0, 0, 0, 2, 9, 'a',               /* short */
                                  0, 0, 0, 5, 2, 'k', 0, 'x', 'y'}; /* zero */
    GByteArray *b = start_body();
    g_byte_array_append(b, odd, sizeof(odd));
    add_record(b, "k", "one");
    uint64_t tail;
    uint64_t next;
    GPtrArray *r = pf_decode_records(b->data, b->len, 5, &tail, &next);
    CU_ASSERT_EQUAL_FATAL(r->len, 1);
    const StRecord *last = r->pdata[0];
    CU_ASSERT_STRING_EQUAL(last->key, "k");
    CU_ASSERT_EQUAL(last->offset, 8);
    CU_ASSERT_EQUAL(next, 9);
    g_ptr_array_free(r, TRUE);
    g_byte_array_free(b, TRUE);
}

#define ITEM(key) "{\"key\":\"" key "\",\"value\":\"e30=\",\"offset\":3}"

typedef struct {
    const char *text;
    bool good;
    guint records;
    const char *after; /* NULL: it is the last page */
} Page;

/* A key that can't be one hides neither the other items nor the next page. */
static void
test_pages(void)
{
    static const Page pages[] = {
        {"{\"items\":[" ITEM("a") "],\"has_more\":false,\"end\":9}", true, 1,
         NULL},
        {"{\"items\":[" ITEM("a") "," ITEM(
             "b/\\u0000") "],"
                          "\"has_more\":true,\"end\":9}",
         true, 1, "b%2F%00"},
        {"{\"items\":[" ITEM("a\xff") "],\"has_more\":true,\"end\":9}", true,
         1, "a%EF%BF%BD"},
        {"{\"items\":[{\"key\":\"a\",\"value\":7}],\"has_more\":true}", true,
         1, "a"},
        {"{\"items\":[7],\"has_more\":false}", true, 0, NULL},
        {"{\"items\":[" ITEM("a") ",{}],\"has_more\":true}", false, 0, NULL},
        {"{\"items\":[],\"has_more\":true}", false, 0, NULL},
        {"[]", false, 0, NULL},
        {"", false, 0, NULL}};
    for (size_t i = 0; i < G_N_ELEMENTS(pages); i++) {
        const Page *p = &pages[i];
        StReply reply = {.result = ST_OK};
        bool good = pf_decode_page(p->text, strlen(p->text), &reply);
        CU_ASSERT_EQUAL(good, p->good);
        if (good) {
            CU_ASSERT_EQUAL(reply.records->len, p->records);
            CU_ASSERT_EQUAL(g_strcmp0(reply.after, p->after), 0);
        }
        pf_clear_page(&reply);
    }
}

static DepUpstream *
decode_upstream(const char *text)
{
    g_autoptr(GError) err = NULL;
    DepUpstream *u = pf_decode_upstream("id", text, strlen(text), &err);
    CU_ASSERT((u == NULL) == (err != NULL));
    return u;
}

#define GOOD                                                                  \
    "\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","           \
    "\"slots\":4"

static void
test_upstream(void)
{
    DepUpstream *u = decode_upstream(
        "{" GOOD ",\"state\":\"ready\",\"sequence\":7,\"born\":12,"
        "\"models\":[{\"name\":\"m\",\"version\":2,\"adapters\":[\"a1\",3]},"
        "{\"name\":5}],\"coming\":[\"m/a2@1\",\"x/a3@1\",9],"
        "\"at_hand\":{\"in_memory\":[\"m\"],\"on_disk\":[\"m\",\"n\"]},"
        "\"colour\":\"unknown field\"}");
    CU_ASSERT_PTR_NOT_NULL_FATAL(u);
    /* In an entry "sequence" counts heartbeats, not orders: it is ignored. */
    CU_ASSERT_EQUAL(u->sequence, 0);
    CU_ASSERT_EQUAL(u->born_ms, 12);
    CU_ASSERT_EQUAL(u->models->len, 1);
    const DepResident *r = u->models->pdata[0];
    CU_ASSERT_EQUAL(r->adapters->len, 1);
    CU_ASSERT_EQUAL(r->coming->len, 1);
    CU_ASSERT_STRING_EQUAL(r->coming->pdata[0], "a2");
    CU_ASSERT_EQUAL(u->on_disk->len, 2);
    dep_destroy_upstream(u);
}

#define ENTRY(address, slots)                                                 \
    "{\"service\":\"s\",\"address\":\"" address "\",\"zone\":\"z\","          \
    "\"slots\":" slots ",\"state\":\"ready\"}"

static void
test_upstream_foreign(void)
{
    static const char *const bad[] = {
        "",
        "{",
        "[]",
        "7",
        "null",
        "\xff\xfe",
        "{}",
        "{" GOOD "}",
        "{" GOOD ",\"state\":\"odd\"}",
        "{" GOOD ",\"state\":7}",
        "{\"service\":1,\"address\":\"a:1\",\"zone\":\"z\",\"slots\":1,"
        "\"state\":\"ready\"}",
        "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"z\","
        "\"slots\":1,\"state\":\"ready\"}",
        "{\"service\":\"s\",\"address\":\"a:1\",\"zone\":\"z\","
        "\"slots\":\"1\",\"state\":\"ready\"}",
        ENTRY("10.0.0.1:0", "4"),
        ENTRY("10.0.0.1:65536", "4"),
        ENTRY("10.0.0.1:-1", "4"),
        ENTRY("10.0.0.1:", "4"),
        ENTRY("10.0.0.1:80x", "4"),
        ENTRY("10.0.0.1:+80", "4"),
        ENTRY("10.0.0.1: 80", "4"),
        ENTRY("10.0.0.1:000080", "4"),
        ENTRY("10.0.0.256:80", "4"),
        ENTRY("10.0.0:80", "4"),
        ENTRY("0.0.0.0:80", "4"),
        ENTRY("224.0.0.1:80", "4"),
        ENTRY("255.255.255.255:80", "4"),
        ENTRY("localhost:80", "4"),
        ENTRY("[::1]:80", "4"),
        ENTRY("::1:80", "4"),
        ENTRY("10.0.0.1:80", "-1"),
        ENTRY("10.0.0.1:80", "4294967296"),
        ENTRY("10.0.0.1:80", "1e400"),
        ENTRY("10.0.0.1:80", "1.5"),
        ENTRY("10.0.0.1:80", "99999999999999999999")};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        CU_ASSERT_PTR_NULL(decode_upstream(bad[i]));
    }
}

/* An id with a line end would put a field of its own into each request. */
static void
test_upstream_names(void)
{
    static const char text[] = ENTRY("10.0.0.1:80", "4");
    static const char *const bad[] = {"", "a b", "a\r\nX: 1", "a\x7f"};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_autoptr(GError) err = NULL;
        CU_ASSERT_PTR_NULL(
            pf_decode_upstream(bad[i], text, strlen(text), &err));
        CU_ASSERT_PTR_NOT_NULL(err);
    }
    DepUpstream *u = decode_upstream(text);
    CU_ASSERT_PTR_NOT_NULL_FATAL(u);
    dep_destroy_upstream(u);
}

/* The operator names data centres and services: blanks are no fault. */
static void
test_upstream_places(void)
{
    static const char *const zones[] = {"", "hall 2", "Z\xc3\xbcrich"};
    for (size_t i = 0; i < G_N_ELEMENTS(zones); i++) {
        g_autofree char *text = g_strdup_printf(
            "{\"service\":\"a b\",\"address\":\"10.0.0.1:80\",\"zone\":\"%s\","
            "\"slots\":4,\"state\":\"ready\"}",
            zones[i]);
        DepUpstream *u = decode_upstream(text);
        CU_ASSERT_PTR_NOT_NULL_FATAL(u);
        CU_ASSERT_STRING_EQUAL(u->data_centre, zones[i]);
        dep_destroy_upstream(u);
    }
}

/* Numbers out of range become the nearest that there is, or none. */
static void
test_upstream_numbers(void)
{
    DepUpstream *u = decode_upstream(
        "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
        "\"slots\":1000000,\"state\":\"draining\",\"remaining_ms\":1e300,"
        "\"born\":9000000000000000000}");
    CU_ASSERT_PTR_NOT_NULL_FATAL(u);
    CU_ASSERT_EQUAL(u->slots, 1000000);
    CU_ASSERT_EQUAL(u->gone_in_ms, UINT32_MAX);
    CU_ASSERT_EQUAL(u->born_ms, 0);
    dep_destroy_upstream(u);
}

static void
test_config(void)
{
    static const char text[] =
        "{\"version\":9,\"new\":{},\"routes\":[{\"name\":\"r\",\"host\":"
        "\"H.Example\",\"path_prefix\":\"/a/\",\"route_type\":\"streaming\","
        "\"timeout_ms\":5000,\"target_latency_ms\":800,\"gap_target_ms\":400,"
        "\"attempts\":2,\"resumable\":true,\"sticky\":true,"
        "\"traffic_split\":[{\"service\":\"s\",\"weight\":90},"
        "{\"service\":\"t\",\"weight\":10}]},"
        "{\"name\":\"q\",\"host\":\"h\",\"path_prefix\":\"/\","
        "\"route_type\":\"novel\",\"service\":\"s\"}],"
        "\"services\":[{\"name\":\"s\",\"engine\":{\"weights_mb\":83000.0,"
        "\"max_adapters\":8,\"models\":[{\"name\":\"m\",\"weights_mb\":"
        "16100.000000000002,\"load_time_s\":6.0,\"disk_s\":0.35}]}}]}";
    g_autoptr(GError) err = NULL;
    DepConfig *c = pf_decode_config(text, strlen(text), &err);
    CU_ASSERT_PTR_NOT_NULL_FATAL(c);
    g_assert(c != NULL);
    CU_ASSERT_EQUAL(c->version, 9);
    const DepRoute *r = dep_find_route(c, "h.example", "/a/b");
    CU_ASSERT_PTR_NOT_NULL_FATAL(r);
    g_assert(r != NULL);
    CU_ASSERT(r->kind == DEP_STREAM && r->resumable && r->by_model);
    CU_ASSERT_EQUAL(r->event_timeout_ms, 3200);
    CU_ASSERT_EQUAL(r->splits->len, 2);
    /* Requests of an unknown kind are never repeated. */
    const DepRoute *novel = dep_find_route(c, "h", "/x");
    CU_ASSERT_PTR_NOT_NULL_FATAL(novel);
    g_assert(novel != NULL);
    CU_ASSERT_EQUAL(novel->kind, DEP_NON_IDEMPOTENT);
    const DepService *s = g_hash_table_lookup(c->services, "s");
    const DepModel *m = g_hash_table_lookup(s->models, "m");
    CU_ASSERT_EQUAL(m->memory_mb, 16100);
    CU_ASSERT_EQUAL(m->disk_ms, 350);
    dep_unref_config(c);
}

static void
test_config_malformed(void)
{
    static const char *const bad[] = {
        "", "[]", "{\"routes\":[{\"name\":\"r\",\"host\":\"h\"}]}",
        "{\"routes\":[{\"host\":\"h\",\"path_prefix\":\"/\"}]}"};
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        g_autoptr(GError) err = NULL;
        CU_ASSERT_PTR_NULL(pf_decode_config(bad[i], strlen(bad[i]), &err));
        CU_ASSERT_PTR_NOT_NULL(err);
    }
}

static void
add_header(HtHead *h, const char *name, const char *value)
{
    HtHeader x = {name, value};
    g_array_append_val(h->headers, x);
}

/* The digest of a prompt's part covers the parts before it: two prompts that
   differ in the first part have no digest in common. */
static void
test_call_headers(void)
{
    HtHead h = {.headers = g_array_new(FALSE, FALSE, sizeof(HtHeader))};
    add_header(&h, "x-attempt-id", "id");
    add_header(&h, "X-Model", "m/a7");
    add_header(&h, "X-Token-Count", "1460,80");
    add_header(&h, "X-Prompt-Prefix", "5c:800,91:410,e4:250");
    add_header(&h, "X-Deadline-Ms", "5000");
    add_header(&h, "Last-Event-Id", "12");
    DepCall one;
    pf_gw_wire.read_call(&h, &one);
    CU_ASSERT_STRING_EQUAL(one.attempt_id, "id");
    CU_ASSERT_STRING_EQUAL(one.model, "m");
    CU_ASSERT_STRING_EQUAL(one.adapter, "a7");
    CU_ASSERT(one.prompt_tokens == 1460 && one.output_tokens == 80);
    CU_ASSERT(one.deadline_ms == 5000 && one.resume_after == 12);
    CU_ASSERT_EQUAL(one.parts->len, 3);
    g_array_set_size(h.headers, 0);
    add_header(&h, "X-Prompt-Prefix", "00:800,91:410,e4:250");
    DepCall two;
    pf_gw_wire.read_call(&h, &two);
    for (guint i = 0; i < 3; i++) {
        CU_ASSERT_NOT_EQUAL(g_array_index(one.parts, DepPart, i).digest,
                            g_array_index(two.parts, DepPart, i).digest);
    }
    CU_ASSERT_PTR_NULL(two.attempt_id);
    CU_ASSERT_EQUAL(two.resume_after, -1);
    dep_clear_call(&one);
    dep_clear_call(&two);
    g_array_free(h.headers, TRUE);
}

static UlNamed
read_limit(const char *one, const char *two)
{
    HtHead h = {.headers = g_array_new(FALSE, FALSE, sizeof(HtHeader))};
    UlNamed n;
    if (one) {
        add_header(&h, "server-limit", one);
    }
    if (two) {
        add_header(&h, "Server-Limit", two);
    }
    pf_gw_wire.read_limit(&h, &n);
    g_array_free(h.headers, TRUE);
    return n;
}

/* A limit that can't be read neither sets nor ends one. */
static void
test_limit_header(void)
{
    static const char *const bad[] = {
        "",    "x",     "-1",   "0",   "0.0", "1x",    "nan",
        "inf", "1e400", "0x10", "1,5", "1 2", "1.2.3", "99999999999"};
    CU_ASSERT_EQUAL(read_limit(NULL, NULL).kind, UL_UNLIMITED);
    CU_ASSERT_EQUAL(read_limit("1", NULL).kind, UL_LIMITED);
    CU_ASSERT_DOUBLE_EQUAL(read_limit("0.25", NULL).per_s, 0.25, 1e-9);
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        CU_ASSERT_EQUAL(read_limit(bad[i], NULL).kind, UL_UNREADABLE);
    }
    CU_ASSERT_EQUAL(read_limit("2", "2").kind, UL_UNREADABLE);
}

static UnNotice
read_notice(uint16_t status, const char *one, const char *two)
{
    HtHead h = {.status = status,
                .headers = g_array_new(FALSE, FALSE, sizeof(HtHeader))};
    UnNotice n;
    if (one) {
        add_header(&h, "retry-after", one);
    }
    if (two) {
        add_header(&h, "Retry-After", two);
    }
    pf_gw_wire.read_notice(&h, &n);
    g_array_free(h.headers, TRUE);
    return n;
}

/* A date, a sign or two values ask for no rest, nor does another status. */
static void
test_rest_header(void)
{
    static const char *const bad[] = {
        "",     "abc",   "-5",  "+5",
        "1e9",  "nan",   "inf", "3, 4",
        "0x10", "1.2.3", ".",   "Fri, 04 Dec 2026 12:00:00 GMT"};
    CU_ASSERT_EQUAL(read_notice(503, "3", NULL).rest_ms, 3000);
    CU_ASSERT_EQUAL(read_notice(503, "0.25", NULL).rest_ms, 250);
    CU_ASSERT_EQUAL(read_notice(503, "0", NULL).rest, UN_NO_REST);
    CU_ASSERT_EQUAL(read_notice(503, "12345678901234567890", NULL).rest,
                    UN_REST);
    CU_ASSERT_EQUAL(read_notice(503, NULL, NULL).rest, UN_NO_REST);
    CU_ASSERT_EQUAL(read_notice(200, "3", NULL).rest, UN_NO_REST);
    CU_ASSERT_EQUAL(read_notice(429, "3", NULL).rest, UN_NO_REST);
    CU_ASSERT_EQUAL(read_notice(503, "3", "4").rest, UN_REST_UNREADABLE);
    for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
        CU_ASSERT_EQUAL(read_notice(503, bad[i], NULL).rest,
                        UN_REST_UNREADABLE);
    }
}

/* A value that can't be read says nothing, and 0 is a value. */
static void
test_brittle_header(void)
{
    static const struct {
        const char *text;
        GwBrittle kind;
        double per_s;
    } cases[] = {{"0", GW_BRITTLE, 0},
                 {"50", GW_BRITTLE, 50},
                 {"2.5", GW_BRITTLE, 2.5},
                 {"", GW_BRITTLE_UNREADABLE, 0},
                 {"-1", GW_BRITTLE_UNREADABLE, 0},
                 {"many", GW_BRITTLE_UNREADABLE, 0},
                 {"1e3", GW_BRITTLE_UNREADABLE, 0}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        HtHead h = {.headers = g_array_new(FALSE, FALSE, sizeof(HtHeader))};
        double per_s;
        CU_ASSERT_EQUAL(pf_gw_wire.read_brittle(&h, &per_s), GW_NOT_BRITTLE);
        add_header(&h, "server-brittle", cases[i].text);
        CU_ASSERT_EQUAL(pf_gw_wire.read_brittle(&h, &per_s), cases[i].kind);
        CU_ASSERT(cases[i].kind != GW_BRITTLE || per_s == cases[i].per_s);
        add_header(&h, "Server-Brittle", "1");
        CU_ASSERT_EQUAL(pf_gw_wire.read_brittle(&h, &per_s),
                        GW_BRITTLE_UNREADABLE);
        g_array_free(h.headers, TRUE);
    }
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"records", test_records},
        {"records cut off", test_records_cut_off},
        {"records malformed", test_records_malformed},
        {"records behind odd ones", test_records_behind_odd_ones},
        {"pages", test_pages},
        {"upstream", test_upstream},
        {"upstream foreign", test_upstream_foreign},
        {"upstream names", test_upstream_names},
        {"upstream places", test_upstream_places},
        {"upstream numbers", test_upstream_numbers},
        {"config", test_config},
        {"config malformed", test_config_malformed},
        {"call headers", test_call_headers},
        {"limit header", test_limit_header},
        {"rest header", test_rest_header},
        {"brittle header", test_brittle_header},
        CU_TEST_INFO_NULL};
    static CU_SuiteInfo suites[] = {
        {"platform", NULL, NULL, NULL, NULL, (CU_TestInfo *)tests},
        CU_SUITE_INFO_NULL};
    CU_initialize_registry();
    CU_register_suites(suites);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned int failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed ? 1 : 0;
}
