/* What upstreams say of themselves (un): wishes for rest, and leaving. */
#include "upstream_notices.h"

#include <CUnit/Basic.h>
#include <stdio.h>

#define T0 100000

static const UnProcess up = {"u1", 7};
static const UnProcess next_up = {"u1", 8};

static UnNotice
ask(uint64_t rest_ms)
{
    return (UnNotice){.rest = UN_REST, .rest_ms = rest_ms};
}

static const UnNotice nothing = {.rest = UN_NO_REST};

/* Requests that are sent at once until one has to wait; it notes them. */
static uint32_t
send_all(Un *n, uint64_t now_ms, uint32_t most)
{
    uint64_t from_ms;
    uint32_t sent = 0;
    while (sent < most &&
           un_check(n, now_ms, &up, 0, &from_ms) == UN_MAY_SEND) {
        un_on_send(n, now_ms, &up);
        sent++;
    }
    return sent;
}

static bool
may_send(const Un *n, uint64_t now_ms, const UnProcess *u)
{
    uint64_t from_ms;
    return un_check(n, now_ms, u, 0, &from_ms) == UN_MAY_SEND;
}

/* A shorter wish, or an answer to an earlier request, ended a rest. */
static void
test_latest_end_holds(void)
{
    Un *n = un_create(1);
    UnNotice longer = ask(3000);
    UnNotice shorter = ask(500);
    CU_ASSERT(may_send(n, T0, &up));
    CU_ASSERT(un_on_answer(n, T0, &up, T0 - 5, 1, &longer).rests);
    CU_ASSERT_FALSE(un_on_answer(n, T0 + 9, &up, T0 - 5, 1, &shorter).rests);
    CU_ASSERT_FALSE(
        un_on_answer(n, T0 + 9, &up, T0 - 5, 1, &nothing).rest_is_over);
    CU_ASSERT_EQUAL(un_get_rest_end_ms(n, T0 + 10, &up), T0 + 3000);
    CU_ASSERT_FALSE(may_send(n, T0 + 2999, &up));
    CU_ASSERT_FALSE(un_may_write(n, T0 + 2999, &up));
    CU_ASSERT(may_send(n, T0 + 3010, &up));
    un_destroy(n);
}

/* All that waited filled the upstream in one instant. */
static void
test_few_go_first(void)
{
    Un *n = un_create(1);
    UnNotice rest = ask(1000);
    un_on_answer(n, T0, &up, T0, 1, &rest);
    uint64_t open_ms = T0 + 1010;
    CU_ASSERT_EQUAL(send_all(n, open_ms, 1000), 1);
    CU_ASSERT_EQUAL(send_all(n, open_ms + 40, 1000), 2);
    CU_ASSERT_EQUAL(send_all(n, open_ms + 80, 1000), 4);
    CU_ASSERT_EQUAL(send_all(n, open_ms + 240, 1000), 1000);
    un_destroy(n);
}

/* An upstream that was full of this gateway's requests was filled again. */
static void
test_fewer_at_a_time_after_a_rest(void)
{
    Un *n = un_create(1);
    UnNotice rest = ask(1000);
    uint64_t from_ms;
    un_on_answer(n, T0, &up, T0 - 5, 9, &rest);
    uint64_t later_ms = T0 + 2000;
    CU_ASSERT_EQUAL(un_check(n, later_ms, &up, 5, &from_ms), UN_MAY_SEND);
    CU_ASSERT_EQUAL(un_check(n, later_ms, &up, 6, &from_ms), UN_LATER);
    /* One more when one is answered. */
    un_on_answer(n, later_ms, &up, later_ms - 5, 6, &nothing);
    CU_ASSERT_EQUAL(un_check(n, later_ms, &up, 6, &from_ms), UN_MAY_SEND);
    CU_ASSERT_EQUAL(un_check(n, later_ms, &up, 7, &from_ms), UN_LATER);
    CU_ASSERT_EQUAL(un_check(n, T0 + 20000, &up, 300, &from_ms), UN_MAY_SEND);
    un_destroy(n);
}

/* A rest of years kept an upstream from all requests. */
static void
test_long_rest_is_probed_twice(void)
{
    Un *n = un_create(1);
    UnNotice rest = ask(UINT64_MAX);
    un_on_answer(n, T0, &up, T0, 1, &rest);
    CU_ASSERT_EQUAL(send_all(n, T0 + UN_PROBE_MS - 1, 9), 0);
    CU_ASSERT_EQUAL(send_all(n, T0 + UN_PROBE_MS, 9), 1);
    CU_ASSERT(un_may_write(n, T0 + UN_PROBE_MS, &up));
    un_on_answer(n, T0 + UN_PROBE_MS, &up, T0 + UN_PROBE_MS, 1, &rest);
    CU_ASSERT_EQUAL(send_all(n, T0 + UN_LAST_PROBE_MS - 1, 9), 0);
    CU_ASSERT_EQUAL(send_all(n, T0 + UN_LAST_PROBE_MS, 9), 1);
    CU_ASSERT_EQUAL(send_all(n, T0 + 100 * UN_LAST_PROBE_MS, 9), 0);
    un_destroy(n);
}

static void
test_served_probe_ends_a_long_rest(void)
{
    Un *n = un_create(1);
    UnNotice rest = ask(UINT64_MAX);
    uint64_t at_ms = T0 + UN_PROBE_MS;
    un_on_answer(n, T0, &up, T0, 1, &rest);
    CU_ASSERT_EQUAL(send_all(n, at_ms, 9), 1);
    CU_ASSERT(
        un_on_answer(n, at_ms + 5, &up, at_ms, 1, &nothing).rest_is_over);
    CU_ASSERT(may_send(n, at_ms + 10, &up));
    un_destroy(n);
}

/* The next process under an id was held to the former one's words. */
static void
test_next_process_owes_nothing(void)
{
    Un *n = un_create(1);
    UnNotice rest = ask(3000);
    rest.leaving = true;
    UnChange change = un_on_answer(n, T0, &up, T0, 1, &rest);
    CU_ASSERT(change.rests && change.leaves);
    CU_ASSERT_FALSE(may_send(n, T0 + 5000, &up));
    CU_ASSERT(un_is_leaving(n, &up));
    CU_ASSERT(may_send(n, T0, &next_up));
    CU_ASSERT_FALSE(un_is_leaving(n, &next_up));
    un_destroy(n);
}

/* What can't be read is logged once in a while, and asks for nothing. */
static void
test_unreadable_asks_for_nothing(void)
{
    Un *n = un_create(1);
    UnNotice bad = {.rest = UN_REST_UNREADABLE, .text = "abc"};
    CU_ASSERT(un_on_answer(n, T0, &up, T0, 1, &bad).not_read);
    CU_ASSERT_FALSE(un_on_answer(n, T0 + 1, &up, T0, 1, &bad).not_read);
    CU_ASSERT(un_on_answer(n, T0 + 60000, &up, T0, 1, &bad).not_read);
    CU_ASSERT(may_send(n, T0 + 60000, &up));
    un_destroy(n);
}

/* Models were wanted elsewhere although most gateways could use them. */
static void
test_fleet_rests_once_half_do(void)
{
    Un *n = un_create(1);
    un_on_gateways(n, 4);
    un_on_told(n, T0, &up, "vm1", T0 + 3000);
    CU_ASSERT_EQUAL(un_get_fleet_end_ms(n, T0, &up), 0);
    un_on_told(n, T0, &up, "vm1", T0 + 4000);
    un_on_told(n, T0, &up, "vm2", T0 + 1000);
    CU_ASSERT_EQUAL(un_get_fleet_end_ms(n, T0, &up), T0 + 1000);
    CU_ASSERT_EQUAL(un_get_fleet_end_ms(n, T0 + 1000, &up), 0);
    un_destroy(n);
}

static void
count_end(void *ctx, const char *id)
{
    (void)id;
    *(int *)ctx += 1;
}

/* State of upstreams that are long over was kept. */
static void
test_what_is_over_is_forgotten(void)
{
    Un *n = un_create(1);
    UnNotice rest = ask(1000);
    g_autoptr(GString) out = g_string_new(NULL);
    int ended = 0;
    un_on_answer(n, T0, &up, T0, 1, &rest);
    un_on_tick(n, T0 + 999, count_end, &ended);
    CU_ASSERT_EQUAL(ended, 0);
    un_on_tick(n, T0 + 1000, count_end, &ended);
    un_on_tick(n, T0 + 1001, count_end, &ended);
    CU_ASSERT_EQUAL(ended, 1);
    un_on_tick(n, T0 + 60000, NULL, NULL);
    un_print(n, T0 + 60000, out);
    CU_ASSERT_EQUAL(out->len, 0);
    un_destroy(n);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("notices", NULL, NULL);
    CU_ADD_TEST(suite, test_latest_end_holds);
    CU_ADD_TEST(suite, test_few_go_first);
    CU_ADD_TEST(suite, test_fewer_at_a_time_after_a_rest);
    CU_ADD_TEST(suite, test_long_rest_is_probed_twice);
    CU_ADD_TEST(suite, test_served_probe_ends_a_long_rest);
    CU_ADD_TEST(suite, test_next_process_owes_nothing);
    CU_ADD_TEST(suite, test_unreadable_asks_for_nothing);
    CU_ADD_TEST(suite, test_fleet_rests_once_half_do);
    CU_ADD_TEST(suite, test_what_is_over_is_forgotten);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed ? 1 : 0;
}
