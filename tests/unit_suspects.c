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

/* ---- parts of prompts --------------------------------------------------- */

#define FIRST 101
#define BAD 102

/* A request whose prompt has one or two shared parts; 0: none. */
#define PROMPT(r, a, b)                                                       \
    (&(SpKeys){.request = (r),                                                \
               .part_count = ((a) != 0) + ((b) != 0),                         \
               .parts = {(a), (b)}})

static SpVerdict
judge_prompt(const Sp *s, uint64_t now_ms, const SpKeys *keys)
{
    uint32_t wait_ms;
    return sp_get_verdict(s, now_ms, keys, &wait_ms);
}

/* Three requests with parts A and B end an upstream each, the second and third
   in turns; they are requests FROM to FROM + 2. */
static uint64_t
end_under_parts(Sp *s, uint64_t from, uint64_t a, uint64_t b)
{
    static const char *const upstreams[] = {"a", "b", "c"};
    uint64_t now_ms = LEADS_MS;
    uint32_t wait_ms;
    for (uint64_t i = 0; i < G_N_ELEMENTS(upstreams); i++) {
        const SpKeys *keys = PROMPT(from + i, a, b);
        uint64_t turn = i ? from + i : 0;
        if (turn) {
            CU_ASSERT(
                sp_grant(s, now_ms, keys, upstreams[i], turn, 1000, &wait_ms));
        }
        now_ms += 100;
        sp_on_result(s, now_ms, keys, upstreams[i], turn, SP_RUN_ENDED);
    }
    return now_ms;
}

/* No two requests with the part are alike. */
static void
test_part_is_stopped(void)
{
    Sp *s = create_leader();
    sp_on_result(s, LEADS_MS, PROMPT(9, FIRST, 0), "z", 0, SP_RUN_ANSWERED);
    uint64_t now_ms = end_under_parts(s, 1, FIRST, BAD);
    uint32_t wait_ms;
    CU_ASSERT_EQUAL(sp_get_verdict(s, now_ms, PROMPT(5, FIRST, BAD), &wait_ms),
                    SP_STOPPED);
    CU_ASSERT(wait_ms >= SP_FIRST_STOP_MS);
    CU_ASSERT_EQUAL(sp_find_stopped(s, now_ms, PROMPT(5, FIRST, BAD)), BAD);
    CU_ASSERT_EQUAL(judge_prompt(s, now_ms, PROMPT(6, FIRST, 0)), SP_CLEAR);
    sp_destroy(s);
}

/* A request that comes again and again is stopped by itself. */
static void
test_part_of_one_request_is_not_stopped(void)
{
    Sp *s = create_leader();
    uint32_t wait_ms;
    static const char *const upstreams[] = {"a", "b", "c"};
    for (uint64_t i = 0; i < G_N_ELEMENTS(upstreams); i++) {
        if (i) {
            CU_ASSERT(sp_grant(s, LEADS_MS + i * 100, PROMPT(7, BAD, 0),
                               upstreams[i], i, 1000, &wait_ms));
        }
        sp_on_result(s, LEADS_MS + i * 100 + 50, PROMPT(7, BAD, 0),
                     upstreams[i], i, SP_RUN_ENDED);
    }
    uint64_t now_ms = LEADS_MS + 400;
    CU_ASSERT_EQUAL(judge_prompt(s, now_ms, PROMPT(7, BAD, 0)), SP_STOPPED);
    CU_ASSERT_EQUAL(judge_prompt(s, now_ms, PROMPT(8, BAD, 0)), SP_SUSPECT);
    sp_destroy(s);
}

/* Upstreams that end by themselves stopped a part that runs there. */
static void
test_part_needs_ends_in_solo_turns(void)
{
    Sp *s = create_leader();
    static const char *const upstreams[] = {"a", "b", "c", "d"};
    for (uint64_t i = 0; i < G_N_ELEMENTS(upstreams); i++) {
        sp_on_result(s, LEADS_MS, PROMPT(1 + i, FIRST, 0), upstreams[i], 0,
                     SP_RUN_ENDED);
    }
    CU_ASSERT_EQUAL(judge_prompt(s, LEADS_MS, PROMPT(9, FIRST, 0)),
                    SP_SUSPECT);
    sp_destroy(s);
}

/* A sound part that came with the other one each time was stopped too. */
static void
test_tied_parts_can_be_proved(void)
{
    Sp *s = create_leader();
    uint64_t now_ms = end_under_parts(s, 1, FIRST, BAD);
    uint32_t wait_ms;
    CU_ASSERT_EQUAL(judge_prompt(s, now_ms, PROMPT(5, FIRST, BAD)),
                    SP_STOPPED);
    CU_ASSERT_EQUAL(judge_prompt(s, now_ms, PROMPT(6, FIRST, 0)), SP_SUSPECT);
    CU_ASSERT_EQUAL(judge_prompt(s, now_ms, PROMPT(7, BAD, 0)), SP_SUSPECT);
    CU_ASSERT(
        sp_grant(s, now_ms, PROMPT(6, FIRST, 0), "d", 66, 1000, &wait_ms));
    sp_on_result(s, now_ms + 50, PROMPT(6, FIRST, 0), "d", 66,
                 SP_RUN_ANSWERED);
    CU_ASSERT_EQUAL(judge_prompt(s, now_ms + 50, PROMPT(6, FIRST, 0)),
                    SP_CLEAR);
    CU_ASSERT_EQUAL(judge_prompt(s, now_ms + 50, PROMPT(7, BAD, 0)),
                    SP_STOPPED);
    sp_destroy(s);
}

/* A part that was no suspect when the turn began may be the one. */
static void
test_new_part_counts_in_the_turn_of_another(void)
{
    Sp *s = create_leader();
    uint32_t wait_ms;
    sp_on_result(s, LEADS_MS, PROMPT(1, FIRST, 0), "a", 0, SP_RUN_ENDED);
    CU_ASSERT(
        sp_grant(s, LEADS_MS, PROMPT(2, FIRST, BAD), "b", 12, 1000, &wait_ms));
    sp_on_result(s, LEADS_MS + 50, PROMPT(2, FIRST, BAD), "b", 12,
                 SP_RUN_ENDED);
    CU_ASSERT_EQUAL(sp_get_row(s, LEADS_MS + 50, BAD).solo_ends, 1);
    sp_destroy(s);
}

/* Requests that ran beside a stopped part went on as suspects, hundreds of
   them. */
static void
test_what_ran_beside_a_stopped_part_is_cleared(void)
{
    Sp *s = create_leader();
    sp_on_result(s, LEADS_MS + 100, KEYS(50), "a", 0, SP_RUN_ENDED);
    uint64_t now_ms = end_under_parts(s, 1, BAD, 0);
    CU_ASSERT_EQUAL(judge(s, now_ms, 50), SP_CLEAR);
    CU_ASSERT_EQUAL(judge(s, now_ms, 1), SP_CLEAR);
    sp_on_result(s, now_ms, KEYS(51), "c", 0, SP_RUN_ENDED);
    CU_ASSERT_EQUAL(judge(s, now_ms, 51), SP_CLEAR);
    sp_on_result(s, now_ms, KEYS(52), "other", 0, SP_RUN_ENDED);
    CU_ASSERT_EQUAL(judge(s, now_ms, 52), SP_SUSPECT);
    sp_destroy(s);
}

static void
count_proof(void *ctx, const SpKeys *keys)
{
    CU_ASSERT_EQUAL(keys->request, 0);
    CU_ASSERT_EQUAL(keys->parts[0], FIRST);
    (*(int *)ctx)++;
}

/* A gateway that had answers of a suspected part kept them to itself. */
static void
test_proof_is_told_once(void)
{
    Sp *s = sp_create(START_MS, 1);
    int told = 0;
    SpRow row = {.request = FIRST, .ends = 1, .part = true};
    CU_ASSERT_FALSE(sp_on_run(s, START_MS, PROMPT(1, FIRST, 0), "a", 0,
                              SP_RUN_ANSWERED, SP_FOLLOWS));
    sp_on_row(s, START_MS, &row);
    CU_ASSERT_EQUAL(judge_prompt(s, START_MS, PROMPT(2, FIRST, 0)), SP_CLEAR);
    sp_take_proofs(s, START_MS + 200, count_proof, &told);
    sp_take_proofs(s, START_MS + 300, count_proof, &told);
    CU_ASSERT_EQUAL(told, 1);
    row.ends = SP_STOP_ENDS;
    sp_on_row(s, START_MS, &row);
    CU_ASSERT_EQUAL(judge_prompt(s, START_MS, PROMPT(2, FIRST, 0)),
                    SP_SUSPECT);
    sp_destroy(s);
}

/* A part that a new version of an upstream can't bear was never suspected. */
static void
test_proofs_are_bounded(void)
{
    Sp *s = sp_create(START_MS, 1);
    SpKeys unproved;
    sp_on_run(s, START_MS, PROMPT(1, FIRST, 0), "a", 0, SP_RUN_ANSWERED,
              SP_FOLLOWS);
    sp_copy_unproved(s, PROMPT(2, FIRST, BAD), &unproved);
    CU_ASSERT_EQUAL(unproved.part_count, 1);
    CU_ASSERT_EQUAL(unproved.parts[0], BAD);
    for (uint64_t part = 1000; part < 1000 + SP_MAX_PROOFS; part++) {
        sp_on_run(s, START_MS, PROMPT(1, part, 0), "a", 0, SP_RUN_ANSWERED,
                  SP_FOLLOWS);
    }
    sp_copy_unproved(s, PROMPT(2, FIRST, 0), &unproved);
    CU_ASSERT_EQUAL(unproved.part_count, 1);
    sp_on_run(s, START_MS, PROMPT(1, FIRST, 0), "a", 0, SP_RUN_ANSWERED,
              SP_FOLLOWS);
    sp_on_tick(s, START_MS + SP_PROOF_MS / 2);
    sp_on_tick(s, START_MS + SP_PROOF_MS);
    sp_copy_unproved(s, PROMPT(2, FIRST, 0), &unproved);
    CU_ASSERT_EQUAL(unproved.part_count, 1);
    sp_destroy(s);
}

/* All gateways were killed at once. */
static void
test_note_tells_of_parts(void)
{
    Sp *s = create_leader();
    uint64_t now_ms = end_under_parts(s, 1, BAD, 0);
    g_autofree char *note = sp_print_note(s, now_ms);
    Sp *other = sp_create(now_ms, 2);
    sp_read_note(other, now_ms, note);
    CU_ASSERT_EQUAL(judge_prompt(other, now_ms, PROMPT(8, BAD, 0)),
                    SP_STOPPED);
    CU_ASSERT(sp_get_row(other, now_ms, BAD).part);
    CU_ASSERT(sp_get_row(other, now_ms, BAD).many);
    sp_destroy(s);
    sp_destroy(other);
}

static void
blame_keys(void *ctx, const SpKeys *keys, const char *upstream)
{
    CU_ASSERT_STRING_EQUAL(upstream, "a");
    *(SpKeys *)ctx = *keys;
}

/* A caller that had left was blamed for its prompt by another's broken call.
 */
static void
test_parts_of_a_cancelled_call(void)
{
    Sp *s = sp_create(START_MS, 1);
    SpKeys blamed = {0};
    sp_on_run(s, START_MS, PROMPT(1, BAD, 0), "a", 0, SP_RUN_LEFT, SP_FOLLOWS);
    sp_on_upstream_end(s, START_MS + 10, "a", false, blame_keys, &blamed);
    CU_ASSERT_EQUAL(blamed.request, 1);
    CU_ASSERT_EQUAL(blamed.part_count, 0);
    sp_on_upstream_end(s, START_MS + 20, "a", true, blame_keys, &blamed);
    CU_ASSERT_EQUAL(blamed.request, 0);
    CU_ASSERT_EQUAL(blamed.part_count, 1);
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
        {"part is stopped", test_part_is_stopped},
        {"part of one request", test_part_of_one_request_is_not_stopped},
        {"part needs solo turns", test_part_needs_ends_in_solo_turns},
        {"tied parts can be proved", test_tied_parts_can_be_proved},
        {"new part in a turn", test_new_part_counts_in_the_turn_of_another},
        {"beside a stopped part",
         test_what_ran_beside_a_stopped_part_is_cleared},
        {"proof is told once", test_proof_is_told_once},
        {"proofs are bounded", test_proofs_are_bounded},
        {"note tells of parts", test_note_tells_of_parts},
        {"parts of a cancelled call", test_parts_of_a_cancelled_call},
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
