#include "keep.h"

#include <CUnit/Basic.h>

#define COLD_COST 10.0  /* of one cold start */
#define IDLE_COST 0.001 /* of an idle millisecond: break-even after 10 s */

static void
test_break_even_until_enough_gaps(void)
{
    KeepStats s = {0};
    CU_ASSERT_EQUAL(keep_choose_ms(&s, COLD_COST, IDLE_COST), 10000);
    keep_add_gap(&s, 500);
    CU_ASSERT_EQUAL(keep_choose_ms(&s, COLD_COST, IDLE_COST), 10000);
}

static void
test_short_gaps_are_kept_through(void)
{
    KeepStats s = {0};
    for (int i = 0; i < 20; i++) {
        keep_add_gap(&s, 3000);
    }
    uint64_t keep_ms = keep_choose_ms(&s, COLD_COST, IDLE_COST);
    CU_ASSERT(keep_ms >= 3000 && keep_ms < 4000);
}

static void
test_long_gaps_are_not_waited_for(void)
{
    KeepStats s = {0};
    for (int i = 0; i < 20; i++) {
        keep_add_gap(&s, 600000);
    }
    CU_ASSERT_EQUAL(keep_choose_ms(&s, COLD_COST, IDLE_COST), 0);
}

/* Some gaps are just below the break-even point and some far beyond it: the
   timeout stays within twice the break-even point. */
static void
test_bound_is_twice_break_even(void)
{
    KeepStats s = {0};
    for (int i = 0; i < 20; i++) {
        keep_add_gap(&s, 9000);
        keep_add_gap(&s, 3600000);
    }
    CU_ASSERT(keep_choose_ms(&s, COLD_COST, IDLE_COST) <= 20000);
}

static void
test_old_gaps_are_forgotten(void)
{
    KeepStats s = {0};
    for (int i = 0; i < 50; i++) {
        keep_add_gap(&s, 600000);
    }
    for (int i = 0; i < 100; i++) {
        keep_add_gap(&s, 2000);
    }
    uint64_t keep_ms = keep_choose_ms(&s, COLD_COST, IDLE_COST);
    CU_ASSERT(keep_ms >= 2000 && keep_ms < 3000);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("keep", NULL, NULL);
    CU_ADD_TEST(suite, test_break_even_until_enough_gaps);
    CU_ADD_TEST(suite, test_short_gaps_are_kept_through);
    CU_ADD_TEST(suite, test_long_gaps_are_not_waited_for);
    CU_ADD_TEST(suite, test_bound_is_twice_break_even);
    CU_ADD_TEST(suite, test_old_gaps_are_forgotten);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed ? 1 : 0;
}
