/* Unit tests of suspects (sp): rows, turns and the note of the lease record.
 */
#include "suspects.h"

#include <CUnit/Basic.h>
#include <string.h>

/* A request whose prompt has no shared parts. */
#define KEYS(r) (&(SpKeys){.request = (r)})

#define START_MS 100000
#define LEADS_MS                                                              \
    (START_MS + 1000) /* a new leader grants turns from then on               \
                       */

static Sp *
create_leader(void)
{
    Sp *s = sp_create(START_MS, 1);
    sp_on_lead(s, START_MS);
    return s;
}

static SpVerdict
judge(const Sp *s, uint64_t now_ms, uint64_t request)
{
    uint32_t wait_ms;
    return sp_get_verdict(s, now_ms, KEYS(request), &wait_ms);
}

/* Ends REQUEST three times: without a turn, in a turn, in a solo turn. */
static uint64_t
end_three_times(Sp *s, uint64_t request)
{
    static const char *const upstreams[] = {"a", "b", "c"};
    uint32_t wait_ms;
    uint64_t now_ms = LEADS_MS;
    sp_on_result(s, now_ms, KEYS(request), upstreams[0], 0, SP_RUN_ENDED);
    for (uint64_t turn = 1; turn < G_N_ELEMENTS(upstreams); turn++) {
        CU_ASSERT_EQUAL(judge(s, now_ms, request), SP_SUSPECT);
        CU_ASSERT(sp_grant(s, now_ms, KEYS(request), upstreams[turn], turn,
                           1000, &wait_ms));
        now_ms += 100;
        sp_on_result(s, now_ms, KEYS(request), upstreams[turn], turn,
                     SP_RUN_ENDED);
    }
    return now_ms;
}

static void
test_third_end_stops(void)
{
    Sp *s = create_leader();
    uint64_t now_ms = end_three_times(s, 7);
    uint32_t wait_ms;
    CU_ASSERT_EQUAL(sp_get_verdict(s, now_ms, KEYS(7), &wait_ms), SP_STOPPED);
    CU_ASSERT_EQUAL(wait_ms, SP_FIRST_STOP_MS);
    CU_ASSERT_FALSE(sp_grant(s, now_ms, KEYS(7), "d", 9, 1000, &wait_ms));
    now_ms += SP_FIRST_STOP_MS;
    CU_ASSERT_EQUAL(judge(s, now_ms, 7), SP_SUSPECT);
    CU_ASSERT_EQUAL(judge(s, now_ms, 8), SP_CLEAR);
    sp_destroy(s);
}

/* A request was tried again for ever, once in a while. */
static void
test_late_runs_are_bounded(void)
{
    Sp *s = create_leader();
    uint64_t now_ms = end_three_times(s, 7);
    uint64_t end_ms = now_ms + SP_BLOCK_MS / 2;
    uint32_t runs = 0;
    uint32_t wait_ms;
    for (uint64_t turn = 10; now_ms < end_ms; now_ms += wait_ms, turn++) {
        if (sp_grant(s, now_ms, KEYS(7), "d", turn, 1000, &wait_ms)) {
            runs++;
            wait_ms = 10;
            sp_on_result(s, now_ms + wait_ms, KEYS(7), "d", turn,
                         SP_RUN_ENDED);
        }
    }
    CU_ASSERT_EQUAL(runs, SP_LATE_RUNS);
    sp_destroy(s);
}

/* A turn that was given back counted as a late run. */
static void
test_unused_turn_is_no_late_run(void)
{
    Sp *s = create_leader();
    uint64_t now_ms = end_three_times(s, 7) + SP_FIRST_STOP_MS;
    uint32_t wait_ms;
    for (uint64_t turn = 10; turn < 20; turn++) {
        CU_ASSERT(sp_grant(s, now_ms, KEYS(7), "d", turn, 1000, &wait_ms));
        sp_on_result(s, now_ms, KEYS(7), "d", turn, SP_RUN_NONE);
    }
    CU_ASSERT_EQUAL(sp_get_row(s, now_ms, 7).late_runs, 0);
    sp_destroy(s);
}

static void
test_answer_clears(void)
{
    Sp *s = create_leader();
    sp_on_result(s, LEADS_MS, KEYS(7), "a", 0, SP_RUN_ENDED);
    CU_ASSERT_EQUAL(judge(s, LEADS_MS, 7), SP_SUSPECT);
    sp_on_result(s, LEADS_MS, KEYS(7), "b", 0, SP_RUN_ANSWERED);
    CU_ASSERT_EQUAL(judge(s, LEADS_MS, 7), SP_CLEAR);
    /* An older row of a gateway that has not heard of it. */
    SpRow old = {.request = 7, .ends = 2, .solo_ends = 1, .age_ms = 500};
    sp_on_known(s, LEADS_MS + 100, &old);
    CU_ASSERT_EQUAL(judge(s, LEADS_MS + 100, 7), SP_CLEAR);
    sp_destroy(s);
}

/* Two suspects on one upstream: its end said nothing of either. */
static void
test_solo_turns_exclude_each_other(void)
{
    Sp *s = create_leader();
    uint32_t wait_ms;
    for (uint64_t request = 1; request <= 2; request++) {
        sp_on_result(s, LEADS_MS, KEYS(request), "a", 0, SP_RUN_ENDED);
        sp_on_result(s, LEADS_MS, KEYS(request), "b", 0, SP_RUN_ENDED);
    }
    CU_ASSERT(sp_grant(s, LEADS_MS, KEYS(1), "c", 11, 1000, &wait_ms));
    CU_ASSERT_FALSE(sp_grant(s, LEADS_MS, KEYS(2), "c", 12, 1000, &wait_ms));
    CU_ASSERT(wait_ms > 0);
    CU_ASSERT(sp_grant(s, LEADS_MS, KEYS(2), "d", 13, 1000, &wait_ms));
    CU_ASSERT_FALSE(sp_grant(s, LEADS_MS, KEYS(1), "e", 14, 1000, &wait_ms));
    sp_destroy(s);
}

/* A copy of another suspect, sent before it was known, ran beside a solo turn
   and ended the upstream: the wrong one was stopped. */
static void
test_blame_is_withdrawn(void)
{
    Sp *s = create_leader();
    uint32_t wait_ms;
    for (uint64_t request = 1; request <= 2; request++) {
        sp_on_result(s, LEADS_MS, KEYS(request), "a", 0, SP_RUN_ENDED);
        sp_on_result(s, LEADS_MS, KEYS(request), "b", 0, SP_RUN_ENDED);
    }
    CU_ASSERT(sp_grant(s, LEADS_MS, KEYS(1), "c", 11, 1000, &wait_ms));
    sp_on_result(s, LEADS_MS + 50, KEYS(1), "c", 11, SP_RUN_ENDED);
    CU_ASSERT_EQUAL(judge(s, LEADS_MS + 50, 1), SP_STOPPED);
    sp_on_result(s, LEADS_MS + 55, KEYS(2), "c", 0, SP_RUN_ENDED);
    CU_ASSERT_EQUAL(judge(s, LEADS_MS + 55, 1), SP_SUSPECT);
    sp_destroy(s);
}

/* The caller of a turn had left when its upstream ended, seconds later: the
   end counted for nobody, and the request came again for ever. */
static void
test_end_after_its_turn_lapsed(void)
{
    Sp *s = create_leader();
    uint32_t wait_ms;
    uint64_t now_ms = LEADS_MS;
    sp_on_result(s, now_ms, KEYS(7), "a", 0, SP_RUN_ENDED);
    sp_on_result(s, now_ms, KEYS(7), "b", 0, SP_RUN_ENDED);
    CU_ASSERT(sp_grant(s, now_ms, KEYS(7), "c", 11, 1000, &wait_ms));
    sp_on_result(s, now_ms, KEYS(7), "c", 11, SP_RUN_LEFT);
    now_ms += 600; /* the upstream may be used for another suspect */
    CU_ASSERT(sp_grant(s, now_ms, KEYS(7), "d", 12, 1000, &wait_ms));
    sp_on_result(s, now_ms, KEYS(7), "d", 12, SP_RUN_NONE);
    now_ms += 600;
    sp_on_result(s, now_ms, KEYS(7), "c", 0, SP_RUN_BLAMED);
    CU_ASSERT_EQUAL(sp_get_row(s, now_ms, 7).ends, 3);
    sp_destroy(s);
}

/* A new leader granted a turn beside one of its predecessor. */
static void
test_new_leader_waits(void)
{
    Sp *s = create_leader();
    uint32_t wait_ms;
    sp_on_result(s, START_MS, KEYS(7), "a", 0, SP_RUN_ENDED);
    CU_ASSERT_FALSE(
        sp_grant(s, START_MS + 1, KEYS(7), "b", 11, 1000, &wait_ms));
    CU_ASSERT_EQUAL(wait_ms, LEADS_MS - START_MS - 1);
    CU_ASSERT(sp_grant(s, LEADS_MS, KEYS(7), "b", 12, 1000, &wait_ms));
    sp_destroy(s);
}

static void
test_note_carries_rows(void)
{
    Sp *s = create_leader();
    uint64_t now_ms = end_three_times(s, UINT64_MAX);
    sp_on_result(s, now_ms, KEYS(8), "x", 0, SP_RUN_ENDED);
    g_autofree char *note = sp_print_note(s, now_ms);
    Sp *other = sp_create(now_ms, 2);
    sp_read_note(other, now_ms, note);
    CU_ASSERT_EQUAL(judge(other, now_ms, UINT64_MAX), SP_STOPPED);
    CU_ASSERT_EQUAL(judge(other, now_ms, 8), SP_SUSPECT);
    CU_ASSERT_PTR_NULL(strchr(note, ' '));
    sp_destroy(s);
    sp_destroy(other);
}

/* A note of an unknown form stopped a process, or requests at random. */
static void
test_malformed_notes_are_ignored(void)
{
    static const char *const notes[] = {
        "",       "x",          "7.3",         "7.3.1.0",
        "..,,..", "zz.3.1.0.9", "7.3.1.0.9.1", "99999999999999999.3.1.0.9"};
    Sp *s = sp_create(START_MS, 1);
    for (size_t i = 0; i < G_N_ELEMENTS(notes); i++) {
        sp_read_note(s, START_MS, notes[i]);
    }
    g_autofree char *large = g_strnfill(100000, '7');
    sp_read_note(s, START_MS, large);
    CU_ASSERT_EQUAL(sp_count(s), 0);
    sp_destroy(s);
}

/* Thousands of requests that end upstreams filled the memory. */
static void
test_rows_are_bounded(void)
{
    Sp *s = create_leader();
    uint64_t now_ms = end_three_times(s, 7);
    for (uint64_t request = 1000; request < 1000 + 3 * SP_MAX_ROWS;
         request++) {
        sp_on_result(s, now_ms, KEYS(request), "x", 0, SP_RUN_ENDED);
    }
    CU_ASSERT(sp_count(s) <= SP_MAX_ROWS);
    CU_ASSERT_EQUAL(judge(s, now_ms, 7), SP_STOPPED);
    sp_destroy(s);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"third end stops", test_third_end_stops},
        {"late runs are bounded", test_late_runs_are_bounded},
        {"unused turn is no late run", test_unused_turn_is_no_late_run},
        {"answer clears", test_answer_clears},
        {"solo turns exclude each other", test_solo_turns_exclude_each_other},
        {"blame is withdrawn", test_blame_is_withdrawn},
        {"end after its turn lapsed", test_end_after_its_turn_lapsed},
        {"new leader waits", test_new_leader_waits},
        {"note carries rows", test_note_carries_rows},
        {"malformed notes are ignored", test_malformed_notes_are_ignored},
        {"rows are bounded", test_rows_are_bounded},
        CU_TEST_INFO_NULL};
    static CU_SuiteInfo suites[] = {
        {"suspects", NULL, NULL, NULL, NULL, (CU_TestInfo *)tests},
        CU_SUITE_INFO_NULL};
    CU_initialize_registry();
    CU_register_suites(suites);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned int failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed ? 1 : 0;
}
