/* Unit tests of notes of streams (sn). */
#include "stream_notes.h"

#include <CUnit/Basic.h>

static const char *
take(Sn *s, uint64_t now_ms, uint64_t key, const char *version,
     uint32_t left_ms)
{
    SnNote note = {.key = key, .version = version, .left_ms = left_ms};
    (void)sn_add(s, now_ms, &note);
    return sn_find(s, now_ms, key);
}

static void
test_found_until_its_time_is_over(void)
{
    Sn *s = sn_create(10);
    CU_ASSERT_STRING_EQUAL(take(s, 100, 7, "v1", 50), "v1");
    CU_ASSERT_PTR_NULL(sn_find(s, 100, 8));
    CU_ASSERT_STRING_EQUAL(sn_find(s, 149, 7), "v1");
    CU_ASSERT_PTR_NULL(sn_find(s, 150, 7));
    sn_on_tick(s, 150);
    CU_ASSERT_EQUAL(sn_count(s), 0);
    sn_destroy(s);
}

/* A caller that used another's attempt id made its stream go on at another
   version. */
static void
test_notes_that_differ_cancel_each_other(void)
{
    Sn *s = sn_create(10);
    (void)take(s, 100, 7, "v1", 50);
    CU_ASSERT_PTR_NULL(take(s, 110, 7, "v2", 50));
    CU_ASSERT_PTR_NULL(take(s, 120, 7, "v1", 50));
    sn_destroy(s);
}

static void
test_longer_time_stays(void)
{
    Sn *s = sn_create(10);
    (void)take(s, 100, 7, "v1", 50);
    (void)take(s, 110, 7, "v1", 10);
    CU_ASSERT_STRING_EQUAL(sn_find(s, 140, 7), "v1");
    sn_destroy(s);
}

static void
test_no_more_than_allowed(void)
{
    Sn *s = sn_create(1);
    (void)take(s, 100, 7, "v1", 50);
    CU_ASSERT_PTR_NULL(take(s, 100, 8, "v1", 50));
    sn_destroy(s);
}

/* One workspace can't name another's stream. */
static void
test_keys_tell_workspaces_and_models_apart(void)
{
    uint64_t key = sn_make_key("a", "s", "m", "1");
    CU_ASSERT_EQUAL(key, sn_make_key("a", "s", "m", "1"));
    CU_ASSERT_NOT_EQUAL(key, sn_make_key("b", "s", "m", "1"));
    CU_ASSERT_NOT_EQUAL(key, sn_make_key("a", "t", "m", "1"));
    CU_ASSERT_NOT_EQUAL(key, sn_make_key("a", "s", NULL, "m1"));
    CU_ASSERT_NOT_EQUAL(key, sn_make_key("as", "", "m", "1"));
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("notes", NULL, NULL);
    CU_ADD_TEST(suite, test_found_until_its_time_is_over);
    CU_ADD_TEST(suite, test_notes_that_differ_cancel_each_other);
    CU_ADD_TEST(suite, test_longer_time_stays);
    CU_ADD_TEST(suite, test_no_more_than_allowed);
    CU_ADD_TEST(suite, test_keys_tell_workspaces_and_models_apart);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed ? 1 : 0;
}
