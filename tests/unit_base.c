/* Unit tests of small modules: rings, JSON bounds, batches, templates. */
#include "base.h"
#include "cfg.h"
#include "json_parser.h"
#include "log_records.h"
#include "ring.h"

#include <CUnit/Basic.h>
#include <pthread.h>
#include <string.h>

/* A request that was sent within the tick counted as silent for ever, was
   dropped and answered 502. */
static void
test_age_of_what_comes_later(void)
{
    CU_ASSERT_EQUAL(bg_get_age_ms(1000, 400), 600);
    CU_ASSERT_EQUAL(bg_get_age_ms(1000, 1000), 0);
    CU_ASSERT_EQUAL(bg_get_age_ms(1000, 1001), 0);
}

static void
test_ring_is_bounded_and_in_order(void)
{
    Ring *r = ring_create(2);
    int a;
    int b;
    CU_ASSERT_TRUE(ring_push(r, &a));
    CU_ASSERT_TRUE(ring_push(r, &b));
    CU_ASSERT_FALSE(ring_push(r, &a));
    CU_ASSERT_PTR_EQUAL(ring_pop(r, 0), &a);
    CU_ASSERT_PTR_EQUAL(ring_pop(r, 0), &b);
    CU_ASSERT_PTR_NULL(ring_pop(r, 0));
    ring_destroy(r, NULL);
}

static void *
push_late(void *arg)
{
    bg_sleep_ms(20);
    ring_push(arg, arg);
    return NULL;
}

static void
test_ring_wakes_a_waiter(void)
{
    Ring *r = ring_create(1);
    pthread_t t;
    pthread_create(&t, NULL, push_late, r);
    CU_ASSERT_PTR_EQUAL(ring_pop(r, 10000), r);
    pthread_join(t, NULL);
    ring_close(r);
    CU_ASSERT_FALSE(ring_push(r, r));
    CU_ASSERT_PTR_NULL(ring_pop(r, 10000));
    ring_destroy(r, NULL);
}

static void
test_json_nesting_is_bounded(void)
{
    char deep[400];
    memset(deep, '[', sizeof(deep));
    g_autoptr(GError) err = NULL;
    CU_ASSERT_PTR_NULL(js_parse(deep, sizeof(deep), &err));
    CU_ASSERT_EQUAL(err->code, BG_ERR_INVALID);
    static const char in_string[] = "{\"a\":\"[[[[\\\"[[[[\"}";
    json_t *doc = js_parse(in_string, strlen(in_string), NULL);
    CU_ASSERT_PTR_NOT_NULL(doc);
    json_decref(doc);
}

static uint8_t *
make_batch(const char *id, size_t *len)
{
    Bg__ClaimRecord c = BG__CLAIM_RECORD__INIT;
    c.data_centre = "dc1";
    c.holder = "a";
    Bg__Record r = BG__RECORD__INIT;
    r.body_case = BG__RECORD__BODY_CLAIM;
    r.claim = &c;
    Bg__Record *list = &r;
    return rec_encode_batch(id, &list, 1, len);
}

/* A batch with any byte changed, or truncated anywhere, must be refused rather
   than decoded to something else. */
static void
test_batch_with_a_wrong_byte_is_refused(void)
{
    static const char id[] = "0123456789abcdef0123456789abcdef";
    size_t len;
    g_autofree uint8_t *data = make_batch(id, &len);
    RecBatch b = {0};
    CU_ASSERT_TRUE(rec_decode_batch(data, len, &b, NULL));
    CU_ASSERT_STRING_EQUAL(b.list->records[0]->claim->holder, "a");
    rec_free_batch(&b);
    for (size_t cut = 0; cut < len; cut++) {
        CU_ASSERT_FALSE(rec_decode_batch(data, cut, &b, NULL));
    }
    for (size_t i = 0; i < len; i++) {
        data[i] ^= 1;
        CU_ASSERT_FALSE(rec_decode_batch(data, len, &b, NULL));
        data[i] ^= 1;
    }
}

static const char template_text[] = "[template]\nname = t\n"
                                    "[parameters]\nrate = required\n"
                                    "[upstreams u]\nkind = engine\n"
                                    "[model m]\nupstreams = u\n"
                                    "memory_mb = 5\n"
                                    "[adapter a]\nbase = m\n"
                                    "[workspace]\nmodels = m\n"
                                    "requests_per_second = ${rate}\n";

static CfgSet *
compile_values(const char *rate, GString *faults)
{
    g_autofree char *digest = bg_digest_hex("key", 3);
    g_autofree char *values =
        g_strdup_printf("[workspace]\nname = w\ntemplate = t\n"
                        "keys_sha256 = %s\n[values]\nrate = %s\n",
                        digest, rate);
    CfgSource src = {"t", 7, template_text, &values, 1};
    return cfg_compile(&src, 1, faults);
}

static void
test_template_takes_the_workspace_values(void)
{
    g_autoptr(GString) faults = g_string_new(NULL);
    CfgSet *set = compile_values("12", faults);
    CU_ASSERT_PTR_NOT_NULL_FATAL(set);
    CU_ASSERT_EQUAL(cfg_get_version(set), 7);
    const CfgWorkspace *w = cfg_authenticate(set, "key");
    CU_ASSERT_PTR_NOT_NULL(w);
    if (!w) {
        return; /* the analyser does not know that FATAL ends the test */
    }
    CU_ASSERT_EQUAL(w->requests_per_second, 12);
    CU_ASSERT_TRUE(cfg_may_call_model(w, "m"));
    CU_ASSERT_FALSE(cfg_may_call_model(w, "a"));
    CU_ASSERT_STRING_EQUAL(cfg_find_model(set, "a")->upstreams, "u");
    CU_ASSERT_PTR_NULL(cfg_authenticate(set, "other"));
    cfg_unref(set);
}

static void
test_template_is_taken_whole_or_not(void)
{
    g_autoptr(GString) faults = g_string_new(NULL);
    CU_ASSERT_PTR_NULL(compile_values("0", faults));
    CU_ASSERT_PTR_NOT_NULL(strstr(faults->str, "requests_per_second"));
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite s = CU_add_suite("base", NULL, NULL);
    CU_ADD_TEST(s, test_age_of_what_comes_later);
    CU_ADD_TEST(s, test_ring_is_bounded_and_in_order);
    CU_ADD_TEST(s, test_ring_wakes_a_waiter);
    CU_ADD_TEST(s, test_json_nesting_is_bounded);
    CU_ADD_TEST(s, test_batch_with_a_wrong_byte_is_refused);
    CU_ADD_TEST(s, test_template_takes_the_workspace_values);
    CU_ADD_TEST(s, test_template_is_taken_whole_or_not);
    CU_basic_run_tests();
    unsigned int failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed ? 1 : 0;
}
