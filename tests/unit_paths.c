/* Unit tests of the table of paths (pt).  Time is a number that the tests
   advance. */
#include "path_table.h"

#include <CUnit/Basic.h>
#include <string.h>

#define UPSTREAM "10.0.0.1:1"
#define OTHER "10.0.0.2:1"

static const PtHelper helpers[] = {{"vm1", "near", "10.1.0.1:2"},
                                   {"vm2", "far", "10.2.0.1:2"},
                                   {"vm3", "far", "10.3.0.1:2"}};

static Pt *
create_paths(size_t n)
{
    PtParams params = {"near", "10.9.0.1:2", 7};
    Pt *t = pt_create(&params);
    pt_set_helpers(t, 0, helpers, n);
    return t;
}

static const char *
pick_first(Pt *t, uint64_t now_ms, const char *address)
{
    g_autoptr(GPtrArray) none = g_ptr_array_new();
    return pt_pick_helper(t, now_ms, address, none);
}

/* Guards against a gateway that gives up where its own connection fails, and
   one that stays on the detour when its own path is back. */
static void
test_failed_path_takes_detour(void)
{
    Pt *t = create_paths(3);
    PtPlan plan = pt_plan(t, 1000, UPSTREAM);
    CU_ASSERT(plan.direct && plan.detour_after_ms == PT_DETOUR_AFTER_MS);
    pt_on_direct(t, 1000, UPSTREAM, false);
    CU_ASSERT(pt_is_failed(t, UPSTREAM) && !pt_is_failed(t, OTHER));
    plan = pt_plan(t, 1001, UPSTREAM);
    CU_ASSERT(!plan.direct && plan.detour_after_ms == 0);
    plan = pt_plan(t, 1600, UPSTREAM);
    CU_ASSERT(plan.direct && plan.detour_after_ms == 0);
    CU_ASSERT_FALSE(pt_plan(t, 1601, UPSTREAM).direct);
    pt_on_direct(t, 1610, UPSTREAM, true);
    plan = pt_plan(t, 1611, UPSTREAM);
    CU_ASSERT(plan.direct && plan.detour_after_ms == PT_DETOUR_AFTER_MS);
    pt_destroy(t);
}

/* Guards against probes that grow so rare that a path which is back stays
   unused for seconds. */
static void
test_failed_path_is_probed_within_two_seconds(void)
{
    Pt *t = create_paths(3);
    uint64_t last_ms = 1000;
    pt_on_direct(t, 1000, UPSTREAM, false);
    for (uint64_t now_ms = 1000; now_ms < 60000; now_ms += 20) {
        if (pt_plan(t, now_ms, UPSTREAM).direct) {
            CU_ASSERT(now_ms - last_ms <= 2000);
            last_ms = now_ms;
            pt_on_direct(t, now_ms, UPSTREAM, false);
        }
    }
    CU_ASSERT(last_ms > 57000);
    pt_destroy(t);
}

/* Guards against one crashed upstream that is taken for a cut, and a cut that
   is not seen because a single upstream is still reached. */
static void
test_cut_off_is_told_from_a_crash(void)
{
    Pt *t = create_paths(3);
    pt_on_direct(t, 1000, UPSTREAM, false);
    pt_on_direct(t, 1010, UPSTREAM, false);
    CU_ASSERT_FALSE(pt_is_cut_off(t));
    pt_on_direct(t, 1020, OTHER, false);
    CU_ASSERT(pt_is_cut_off(t) && !pt_is_cut_off_alone(t, 1020));
    CU_ASSERT_EQUAL(pt_plan(t, 1030, "10.0.0.3:1").detour_after_ms, 0);
    pt_on_detour(t, 1030, OTHER, "10.1.0.1:2", PT_OPENED);
    CU_ASSERT(pt_is_cut_off_alone(t, 1040));
    pt_on_alive(t, 1050, "10.0.0.3:1");
    pt_on_tick(t, 1060);
    CU_ASSERT_FALSE(pt_is_cut_off(t));
    for (int i = 4; i < 8; i++) {
        g_autofree char *address = g_strdup_printf("10.0.0.%d:1", i);
        pt_on_direct(t, 1070, address, false);
        pt_on_alive(t, 1071, "10.0.0.3:1");
    }
    pt_on_tick(t, 1080);
    CU_ASSERT(pt_is_cut_off(t));
    pt_forget(t, "10.0.0.3:1");
    pt_forget(t, UPSTREAM);
    CU_ASSERT_EQUAL(pt_count_failed(t), 5);
    pt_destroy(t);
}

/* Guards against refusing callers in the first moments of a cut, before a
   detour is open, and against holding them where no gateway has a path. */
static void
test_isolated_is_told_from_cut_off(void)
{
    Pt *t = create_paths(3);
    pt_on_direct(t, 1000, UPSTREAM, false);
    pt_on_direct(t, 1000, OTHER, false);
    pt_on_tick(t, 1100);
    CU_ASSERT(pt_is_cut_off(t) && !pt_is_isolated(t, 2000));
    CU_ASSERT(pt_is_isolated(t, 2100));
    pt_on_detour(t, 2200, OTHER, "10.1.0.1:2", PT_OPENED);
    CU_ASSERT_FALSE(pt_is_isolated(t, 2300));
    CU_ASSERT(pt_is_isolated(t, 5200));
    pt_on_direct(t, 5300, OTHER, true);
    pt_on_tick(t, 5400);
    CU_ASSERT_FALSE(pt_is_isolated(t, 5400));
    pt_destroy(t);
}

/* Guards against asking helpers again that are cut off as well, while another
   reaches the upstream. */
static void
test_helper_without_a_path_goes_last(void)
{
    Pt *t = create_paths(3);
    CU_ASSERT_STRING_EQUAL(pick_first(t, 1000, UPSTREAM), "10.1.0.1:2");
    pt_on_detour(t, 1000, UPSTREAM, "10.1.0.1:2", PT_NO_PATH);
    pt_on_detour(t, 1001, UPSTREAM, "10.2.0.1:2", PT_NO_PATH);
    CU_ASSERT_STRING_EQUAL(pick_first(t, 1002, UPSTREAM), "10.3.0.1:2");
    pt_on_detour(t, 1003, UPSTREAM, "10.3.0.1:2", PT_OPENED);
    CU_ASSERT_STRING_EQUAL(pick_first(t, 9000, UPSTREAM), "10.3.0.1:2");
    pt_on_detour(t, 9001, UPSTREAM, "10.3.0.1:2", PT_CUT);
    CU_ASSERT_STRING_NOT_EQUAL(pick_first(t, 9002, UPSTREAM), "10.3.0.1:2");
    pt_on_detour(t, 9003, UPSTREAM, "10.1.0.1:2", PT_LOST);
    pt_on_detour(t, 9003, UPSTREAM, "10.2.0.1:2", PT_FULL);
    CU_ASSERT_PTR_NULL(pick_first(t, 9004, UPSTREAM));
    CU_ASSERT_STRING_EQUAL(pick_first(t, 9300, UPSTREAM), "10.2.0.1:2");
    pt_destroy(t);
}

/* Guards against detours that end because the leader, whose links name the
   helpers, is lost. */
static void
test_helpers_stay_through_a_change_of_leader(void)
{
    Pt *t = create_paths(3);
    PtHelper self = {"vm9", "near", "10.9.0.1:2"};
    pt_set_helpers(t, 600000, &self, 1);
    CU_ASSERT_EQUAL(pt_count_helpers(t), 3);
    pt_set_helpers(t, 605000, helpers, 3);
    pt_set_helpers(t, 700000, NULL, 0);
    pt_set_helpers(t, 714000, &self, 1);
    CU_ASSERT_EQUAL(pt_count_helpers(t), 3);
    pt_set_helpers(t, 715000, &self, 1);
    CU_ASSERT_EQUAL(pt_count_helpers(t), 0);
    CU_ASSERT_EQUAL(pt_plan(t, 720000, UPSTREAM).detour_after_ms, PT_NEVER);
    pt_destroy(t);
}

/* Guards against detours for an upstream that crashed: nobody reaches it. */
static void
test_crashed_upstream_gets_no_detour(void)
{
    Pt *t = create_paths(3);
    pt_on_direct(t, 1000, UPSTREAM, false);
    pt_on_no_detour(t, 1010, UPSTREAM);
    CU_ASSERT_EQUAL(pt_plan(t, 1020, UPSTREAM).detour_after_ms, PT_NEVER);
    CU_ASSERT_EQUAL(pt_plan(t, 1300, UPSTREAM).detour_after_ms, 0);
    pt_on_no_detour(t, 1310, UPSTREAM);
    CU_ASSERT_EQUAL(pt_plan(t, 1700, UPSTREAM).detour_after_ms, PT_NEVER);
    pt_on_direct(t, 1800, UPSTREAM, true);
    CU_ASSERT_EQUAL(pt_plan(t, 1810, UPSTREAM).detour_after_ms,
                    PT_DETOUR_AFTER_MS);
    pt_destroy(t);
}

#define CUT 75
#define ALL 300
#define NAMED 32 /* helpers that each gateway knows */
#define PICKS 20

/* Guards against a data centre's gateways that all go by way of one
   neighbour. */
static void
test_many_cut_gateways_spread_over_helpers(void)
{
    static char names[ALL][24];
    uint32_t load[ALL] = {0};
    uint32_t most = 0;
    BgRandom rng;
    bg_seed_random(&rng, 3);
    for (int i = 0; i < ALL; i++) {
        g_snprintf(names[i], sizeof(names[i]), "10.1.%d.%d:2", i / 200,
                   i % 200);
    }
    for (int g = 0; g < CUT; g++) {
        PtParams params = {"a", names[g], (uint64_t)g};
        Pt *t = pt_create(&params);
        PtHelper list[NAMED];
        for (int i = 0; i < NAMED; i++) {
            uint32_t nth = CUT + bg_pick_random(&rng, ALL - CUT);
            list[i] = (PtHelper){"vm", "b", names[nth]};
        }
        pt_set_helpers(t, 0, list, NAMED);
        for (int i = 0; i < PICKS; i++) {
            g_autofree char *upstream = g_strdup_printf("10.8.0.%d:1", i);
            const char *h = pick_first(t, 1000, upstream);
            pt_on_detour(t, 1000, upstream, h, PT_OPENED);
            for (int k = CUT; k < ALL; k++) {
                load[k] += strcmp(names[k], h) == 0;
            }
        }
        pt_destroy(t);
    }
    for (int k = CUT; k < ALL; k++) {
        most = MAX(most, load[k]);
    }
    CU_ASSERT(most <= 5 * CUT * PICKS / (ALL - CUT));
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"failed path takes a detour", test_failed_path_takes_detour},
        {"failed path is probed within two seconds",
         test_failed_path_is_probed_within_two_seconds},
        {"cut off is told from a crash", test_cut_off_is_told_from_a_crash},
        {"isolated is told from cut off", test_isolated_is_told_from_cut_off},
        {"helper without a path goes last",
         test_helper_without_a_path_goes_last},
        {"helpers stay through a change of leader",
         test_helpers_stay_through_a_change_of_leader},
        {"crashed upstream gets no detour",
         test_crashed_upstream_gets_no_detour},
        {"many cut gateways spread over helpers",
         test_many_cut_gateways_spread_over_helpers},
        CU_TEST_INFO_NULL};
    static CU_SuiteInfo suites[] = {
        {"paths", NULL, NULL, NULL, NULL, (CU_TestInfo *)tests},
        CU_SUITE_INFO_NULL};
    CU_initialize_registry();
    CU_register_suites(suites);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned int failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed ? 1 : 0;
}
