/* hist: quantiles compared with exact ones, counts, maximum, merge. */
#include "hist.h"

#include <CUnit/Basic.h>
#include <stdlib.h>

static void
test_empty(void)
{
    Hist *h = hist_create();
    CU_ASSERT_EQUAL(hist_count(h), 0);
    CU_ASSERT_EQUAL(hist_max(h), 0);
    CU_ASSERT_EQUAL(hist_quantile(h, 500), 0);
    hist_destroy(h);
}

static void
test_small_values_are_exact(void)
{
    Hist *h = hist_create();
    for (uint64_t us = 0; us < 64; us++) {
        hist_add(h, us);
    }
    CU_ASSERT_EQUAL(hist_quantile(h, 1), 0);
    CU_ASSERT_EQUAL(hist_quantile(h, 500), 31);
    CU_ASSERT_EQUAL(hist_quantile(h, 1000), 63);
    hist_destroy(h);
}

static int
compare_values(const void *a, const void *b)
{
    uint64_t x = *(const uint64_t *)a;
    uint64_t y = *(const uint64_t *)b;
    return x < y ? -1 : x > y;
}

/* Values over ten powers of ten: each quantile is at least the exact one, and
   at most 1/64 above it. */
static void
test_error_bound(void)
{
    enum { COUNT = 20000 };
    static uint64_t values[COUNT];
    Hist *h = hist_create();
    BgRandom rng;
    bg_seed_random(&rng, 7);
    for (int i = 0; i < COUNT; i++) {
        uint32_t bits = bg_pick_random(&rng, 34) + 1;
        values[i] = bg_next_random(&rng) >> (64 - bits);
        hist_add(h, values[i]);
    }
    qsort(values, COUNT, sizeof(values[0]), compare_values);
    for (uint32_t permille = 1; permille <= 1000; permille++) {
        uint64_t exact = values[((uint64_t)COUNT * permille + 999) / 1000 - 1];
        uint64_t got = hist_quantile(h, permille);
        CU_ASSERT_TRUE(got >= exact);
        CU_ASSERT_TRUE(got <= exact + exact / 64 + 1);
    }
    CU_ASSERT_EQUAL(hist_max(h), values[COUNT - 1]);
    hist_destroy(h);
}

static void
test_huge_values_share_a_bucket(void)
{
    Hist *h = hist_create();
    hist_add(h, UINT64_MAX);
    hist_add(h, (uint64_t)1 << 50);
    CU_ASSERT_EQUAL(hist_count(h), 2);
    CU_ASSERT_EQUAL(hist_max(h), UINT64_MAX);
    hist_destroy(h);
}

static void
test_merge(void)
{
    Hist *a = hist_create();
    Hist *b = hist_create();
    hist_add(a, 10);
    hist_add(b, 1000000);
    hist_merge(a, b);
    CU_ASSERT_EQUAL(hist_count(a), 2);
    CU_ASSERT_EQUAL(hist_quantile(a, 500), 10);
    CU_ASSERT_EQUAL(hist_max(a), 1000000);
    hist_destroy(a);
    hist_destroy(b);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite s = CU_add_suite("hist", NULL, NULL);
    CU_add_test(s, "empty", test_empty);
    CU_add_test(s, "small values are exact", test_small_values_are_exact);
    CU_add_test(s, "error bound", test_error_bound);
    CU_add_test(s, "huge values", test_huge_values_share_a_bucket);
    CU_add_test(s, "merge", test_merge);
    CU_basic_set_mode(CU_BRM_NORMAL);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
