/* Unit tests of the gateway's modules that run without threads, I/O or clock:
   lease (ls), retry budget (rb), choice of an upstream (ut), lag (lag),
   placement (mp), routes (dep).  Time is a number that the tests advance. */
#include "gateway_types.h"
#include "lag.h"
#include "lease.h"
#include "model_placement.h"
#include "retry_budget.h"
#include "upstream_table.h"

#include <CUnit/Basic.h>
#include <string.h>

/* ---- lease -------------------------------------------------------------- */

/* The lease's topic in the store. */
typedef struct {
    char *newest; /* value of the newest record, or NULL */
    uint64_t tail;
} Topic;

/* A VM whose lease reads and writes the topic. */
typedef struct {
    Ls *lease;
    Topic *topic;
    bool cut;     /* can't reach the store */
    bool reading; /* a read from FROM is pending */
    uint64_t from;
    bool writing; /* an append of VALUE at AT is pending */
    uint64_t at;
    char *value;
} Vm;

static void
vm_read(void *ctx, uint64_t from)
{
    Vm *v = ctx;
    v->reading = true;
    v->from = from;
}

static void
vm_append(void *ctx, uint64_t at, const char *value)
{
    Vm *v = ctx;
    v->writing = true;
    v->at = at;
    g_free(v->value);
    v->value = g_strdup(value);
}

static void
vm_changed(void *ctx)
{
    (void)ctx;
}

static void
vm_start(Vm *v, Topic *t, const char *name, const char *process)
{
    memset(v, 0, sizeof(*v));
    v->topic = t;
    LsParams p = {name, process, "127.0.0.1:1", 1000, 300,
                  700,  3000,    500,           0,    7};
    LsOutput out = {v, vm_read, vm_append, vm_changed};
    v->lease = ls_create(&p, &out);
}

static void
vm_stop(Vm *v)
{
    ls_destroy(v->lease);
    g_free(v->value);
}

static void
vm_answer(Vm *v, uint64_t now_ms)
{
    if (v->reading) {
        v->reading = false;
        bool has_new = v->topic->newest && v->topic->tail > v->from;
        ls_on_read(v->lease, now_ms, v->cut ? ST_UNREACHABLE : ST_OK,
                   has_new ? v->topic->newest : NULL, v->topic->tail - 1,
                   v->topic->tail);
    }
    if (v->writing) {
        v->writing = false;
        bool matches = v->at == v->topic->tail;
        if (!v->cut && matches) {
            g_free(v->topic->newest);
            v->topic->newest = g_strdup(v->value);
            v->topic->tail++;
        }
        ls_on_append(v->lease, now_ms,
                     v->cut    ? ST_UNREACHABLE
                     : matches ? ST_OK
                               : ST_CONFLICT,
                     v->topic->tail - 1, v->topic->tail);
    }
}

static void
vm_run(Vm *vms, int n, uint64_t *now_ms, uint64_t for_ms)
{
    for (uint64_t end = *now_ms + for_ms; *now_ms < end; *now_ms += 20) {
        int leaders = 0;
        for (int i = 0; i < n; i++) {
            ls_on_tick(vms[i].lease, *now_ms);
            vm_answer(&vms[i], *now_ms);
            leaders += ls_is_leader(vms[i].lease, *now_ms);
        }
        CU_ASSERT(leaders <= 1);
    }
}

/* The first VM that claims the lease becomes leader and may order at once.  It
   stays leader. */
static void
test_lease_first_leader(void)
{
    Topic t = {0};
    Vm v[2];
    uint64_t now_ms = 1000;
    vm_start(&v[0], &t, "a", "a1");
    vm_start(&v[1], &t, "b", "b1");
    vm_run(v, 2, &now_ms, 5000);
    CU_ASSERT(ls_may_order(v[0].lease, now_ms) ||
              ls_may_order(v[1].lease, now_ms));
    vm_stop(&v[0]);
    vm_stop(&v[1]);
    g_free(t.newest);
}

/* The leader can't reach the store.  Its lease ends before another VM's
   begins.  The new leader's first order also waits for the guard interval, and
   its token is higher. */
static void
test_lease_failover(void)
{
    Topic t = {0};
    Vm v[2];
    uint64_t now_ms = 1000;
    vm_start(&v[0], &t, "a", "a1");
    vm_run(v, 1, &now_ms, 1000);
    CU_ASSERT(ls_may_order(v[0].lease, now_ms));
    uint64_t token = ls_get_token(v[0].lease);
    vm_start(&v[1], &t, "b", "b1");
    vm_run(v, 2, &now_ms, 1000);
    v[0].cut = true;
    uint64_t cut_ms = now_ms;
    vm_run(v, 2, &now_ms, 2500);
    CU_ASSERT_FALSE(ls_is_leader(v[0].lease, now_ms));
    CU_ASSERT(ls_is_leader(v[1].lease, now_ms));
    CU_ASSERT_FALSE(ls_may_order(v[1].lease, now_ms));
    CU_ASSERT(ls_get_token(v[1].lease) > token);
    vm_run(v, 2, &now_ms, 3000);
    CU_ASSERT(ls_may_order(v[1].lease, now_ms));
    CU_ASSERT(now_ms - cut_ms >= 4000);
    vm_stop(&v[0]);
    vm_stop(&v[1]);
    g_free(t.newest);
}

/* The leader is suspended for longer than its lease.  It must not order when
   it resumes, even before any timer of its own has run. */
static void
test_lease_expires_while_suspended(void)
{
    Topic t = {0};
    Vm v;
    uint64_t now_ms = 1000;
    vm_start(&v, &t, "a", "a1");
    vm_run(&v, 1, &now_ms, 1000);
    CU_ASSERT(ls_may_order(v.lease, now_ms));
    CU_ASSERT_FALSE(ls_may_order(v.lease, now_ms + 5000));
    vm_stop(&v);
    g_free(t.newest);
}

#define SCHEDULE_VMS 3
#define SCHEDULE_SEEDS 200
#define SCHEDULE_MS 60000
#define SCHEDULE_GUARD_MS 3000

/* A VM with faults that last for some seconds. */
typedef struct {
    Vm vm;
    uint64_t frozen_until_ms;
    uint64_t cut_until_ms;
    uint64_t lost_until_ms; /* its appends take effect, their answers are
                               lost */
    uint32_t incarnation;   /* index of the VM + 10 for each restart */
} FaultyVm;

static void
inject_fault(FaultyVm *x, Topic *t, uint64_t now_ms, BgRandom *rng)
{
    uint64_t until_ms = now_ms + 100 + bg_pick_random(rng, 4000);
    switch (bg_pick_random(rng, 4)) {
    case 0:
        x->frozen_until_ms = until_ms;
        break;
    case 1:
        x->cut_until_ms = until_ms;
        break;
    case 2:
        x->lost_until_ms = until_ms;
        break;
    default: {
        const char *name = ls_get_leader_vm(x->vm.lease);
        (void)name;
        g_autofree char *vm = g_strdup_printf("v%u", x->incarnation % 10);
        g_autofree char *process =
            g_strdup_printf("%s-%u", vm, x->incarnation / 10 + 1);
        x->incarnation += 10;
        vm_stop(&x->vm);
        vm_start(&x->vm, t, vm, process);
        break;
    }
    }
}

static void
answer_faulty_vm(FaultyVm *x, uint64_t now_ms)
{
    Vm *v = &x->vm;
    v->cut = now_ms < x->cut_until_ms;
    if (v->writing && !v->cut && now_ms < x->lost_until_ms &&
        v->at == v->topic->tail) {
        v->writing = false;
        g_free(v->topic->newest);
        v->topic->newest = g_strdup(v->value);
        v->topic->tail++;
        ls_on_append(v->lease, now_ms, ST_UNREACHABLE, 0, 0);
    }
    vm_answer(v, now_ms);
}

/* VMs freeze, can't reach the store, lose its answers and restart, in any
   order and at the same time.  Orders of two leaders in turn would harm
   upstreams that don't check tokens.  So the guard interval must always lie
   between the orders of two VMs, and a later leader's token must be higher. */
static void
test_lease_random_schedules(void)
{
    int changes = 0;
    for (uint64_t seed = 1; seed <= SCHEDULE_SEEDS; seed++) {
        Topic t = {0};
        FaultyVm x[SCHEDULE_VMS] = {0};
        BgRandom rng;
        bg_seed_random(&rng, seed);
        for (uint32_t i = 0; i < SCHEDULE_VMS; i++) {
            g_autofree char *vm = g_strdup_printf("v%u", i);
            g_autofree char *process = g_strdup_printf("v%u-0", i);
            x[i].incarnation = i;
            vm_start(&x[i].vm, &t, vm, process);
        }
        int last = -1;
        uint64_t last_ms = 0;
        uint64_t token = 0;
        uint64_t from_ms = 1000;
        for (uint64_t now_ms = from_ms; now_ms < from_ms + SCHEDULE_MS;
             now_ms += 20) {
            if (bg_pick_random(&rng, 60) == 0) {
                inject_fault(&x[bg_pick_random(&rng, SCHEDULE_VMS)], &t,
                             now_ms, &rng);
            }
            for (int i = 0; i < SCHEDULE_VMS; i++) {
                if (now_ms < x[i].frozen_until_ms) {
                    continue;
                }
                if (ls_may_order(x[i].vm.lease, now_ms)) {
                    bool leader_changed = last >= 0 && last != i;
                    CU_ASSERT(!leader_changed ||
                              now_ms >= last_ms + SCHEDULE_GUARD_MS);
                    CU_ASSERT(ls_get_token(x[i].vm.lease) >= token);
                    changes += leader_changed;
                    last = i;
                    last_ms = now_ms;
                    token = ls_get_token(x[i].vm.lease);
                }
                ls_on_tick(x[i].vm.lease, now_ms);
                answer_faulty_vm(&x[i], now_ms);
            }
        }
        for (int i = 0; i < SCHEDULE_VMS; i++) {
            vm_stop(&x[i].vm);
        }
        g_free(t.newest);
    }
    CU_ASSERT(changes > SCHEDULE_SEEDS);
}

/* The leader renewed the lease, and was last heard from, just before its VM
   was lost.  The guard interval runs from the last order that the former
   leader may have sent.  Guards against an interval that starts after the
   lease and the claim: nothing was loaded for two seconds more. */
static void
test_lease_guard_starts_at_last_order(void)
{
    Topic t = {0};
    Vm v[2];
    uint64_t now_ms = 1000;
    vm_start(&v[0], &t, "a", "a1");
    vm_run(v, 1, &now_ms, 1000);
    vm_start(&v[1], &t, "b", "b1");
    vm_run(v, 2, &now_ms, 1000);
    v[0].cut = true;
    uint64_t lost_ms = now_ms;
    while (!ls_may_order(v[1].lease, now_ms) && now_ms < lost_ms + 9000) {
        vm_run(v, 2, &now_ms, 20);
    }
    CU_ASSERT(now_ms >= lost_ms + 700 + 3000 - 300);
    CU_ASSERT(now_ms <= lost_ms + 500 + 300 + 700 + 3000 + 60);
    vm_stop(&v[0]);
    vm_stop(&v[1]);
    g_free(t.newest);
}

/* A new process on the leader's VM takes over without waiting for the end of
   the lease or the guard interval: the former process is gone, and both have
   the same VM name. */
static void
test_lease_after_restart(void)
{
    Topic t = {0};
    Vm v;
    uint64_t now_ms = 1000;
    vm_start(&v, &t, "a", "a1");
    vm_run(&v, 1, &now_ms, 1000);
    uint64_t token = ls_get_token(v.lease);
    vm_stop(&v);
    vm_start(&v, &t, "a", "a2");
    vm_run(&v, 1, &now_ms, 300);
    CU_ASSERT(ls_may_order(v.lease, now_ms));
    CU_ASSERT(ls_get_token(v.lease) > token);
    vm_stop(&v);
    g_free(t.newest);
}

/* A leader yields its lease.  Another VM takes it without waiting for its end,
   but still keeps the guard interval before its first order.  The former
   leader doesn't claim the lease for the pause that it was given. */
static void
test_lease_yielded(void)
{
    Topic t = {0};
    Vm v[2];
    uint64_t now_ms = 1000;
    vm_start(&v[0], &t, "a", "a1");
    vm_run(v, 1, &now_ms, 1000);
    vm_start(&v[1], &t, "b", "b1");
    vm_run(v, 2, &now_ms, 400);
    ls_yield(v[0].lease, now_ms, 5000);
    vm_run(v, 2, &now_ms, 900);
    CU_ASSERT(ls_is_leader(v[1].lease, now_ms));
    CU_ASSERT_FALSE(ls_may_order(v[1].lease, now_ms));
    CU_ASSERT(ls_get_order_delay_ms(v[1].lease, now_ms) > 2000);
    CU_ASSERT_STRING_EQUAL(ls_get_leader_vm(v[0].lease), "b");
    vm_stop(&v[0]);
    vm_stop(&v[1]);
    g_free(t.newest);
}

/* Guards against a leader that yields while a renewal is pending, gets its
   acknowledgement, and is leader again. */
static void
test_lease_yielded_during_renewal(void)
{
    Topic t = {0};
    Vm v[2];
    uint64_t now_ms = 1000;
    vm_start(&v[0], &t, "a", "a1");
    vm_run(v, 1, &now_ms, 1000);
    vm_start(&v[1], &t, "b", "b1");
    vm_run(v, 2, &now_ms, 400);
    while (!v[0].writing) {
        now_ms += 20;
        ls_on_tick(v[0].lease, now_ms);
    }
    ls_yield(v[0].lease, now_ms, 5000);
    vm_answer(&v[0], now_ms);
    CU_ASSERT_FALSE(ls_is_leader(v[0].lease, now_ms));
    vm_run(v, 2, &now_ms, 1200);
    CU_ASSERT(ls_is_leader(v[1].lease, now_ms));
    vm_run(v, 2, &now_ms, 2000);
    CU_ASSERT_FALSE(ls_is_leader(v[0].lease, now_ms));
    vm_stop(&v[0]);
    vm_stop(&v[1]);
    g_free(t.newest);
}

/* A leader that is about to stop goes on renewing.  The next process on the
   same VM takes over and orders at once.  If none starts, another VM becomes
   leader when the lease has ended. */
static void
test_lease_during_shutdown(void)
{
    Topic t = {0};
    Vm v[2];
    uint64_t now_ms = 1000;
    vm_start(&v[0], &t, "a", "a1");
    vm_run(v, 1, &now_ms, 1000);
    vm_start(&v[1], &t, "b", "b1");
    vm_run(v, 2, &now_ms, 400);
    ls_stop_claiming(v[0].lease);
    vm_run(v, 2, &now_ms, 3000);
    CU_ASSERT(ls_may_order(v[0].lease, now_ms));
    vm_stop(&v[0]);
    vm_run(&v[1], 1, &now_ms, 500);
    vm_start(&v[0], &t, "a", "a2");
    vm_run(v, 2, &now_ms, 300);
    CU_ASSERT(ls_may_order(v[0].lease, now_ms));
    ls_stop_claiming(v[0].lease);
    vm_stop(&v[0]);
    vm_run(&v[1], 1, &now_ms, 2000);
    CU_ASSERT(ls_is_leader(v[1].lease, now_ms));
    vm_stop(&v[1]);
    g_free(t.newest);
}

/* A gateway that has just started learns the size of the fleet from the lease.
   Guards against one that assumes a small fleet. */
static void
test_lease_carries_fleet_size(void)
{
    Topic t = {0};
    Vm v[2];
    uint64_t now_ms = 1000;
    vm_start(&v[0], &t, "a", "a1");
    ls_set_fleet(v[0].lease, 90);
    vm_run(v, 1, &now_ms, 1000);
    vm_start(&v[1], &t, "b", "b1");
    CU_ASSERT_EQUAL(ls_get_fleet(v[1].lease), 0);
    vm_run(v, 2, &now_ms, 400);
    CU_ASSERT_EQUAL(ls_get_fleet(v[1].lease), 90);
    CU_ASSERT_STRING_EQUAL(ls_get_leader_address(v[1].lease), "127.0.0.1:1");
    vm_stop(&v[0]);
    vm_stop(&v[1]);
    g_free(t.newest);
}

/* ---- budget ------------------------------------------------------------- */

/* The retries of several gateways together stay within the service's allowance
   in every window, even if one of them restarts in between. */
static void
test_budget_in_every_window(void)
{
    enum { GATEWAYS = 5, END_MS = 40000 };
    RbParams p = {10000, 0.2, 54, GATEWAYS};
    Rb *b[GATEWAYS];
    static uint32_t requests[END_MS / 10];
    static uint32_t retries[END_MS / 10];
    memset(requests, 0, sizeof(requests));
    memset(retries, 0, sizeof(retries));
    for (int i = 0; i < GATEWAYS; i++) {
        b[i] = rb_create(&p, 0);
    }
    for (uint64_t now_ms = 0; now_ms < END_MS; now_ms += 10) {
        if (now_ms == 15000) {
            rb_destroy(b[0]);
            b[0] = rb_create(&p, now_ms);
        }
        Rb *one = b[now_ms / 10 % GATEWAYS];
        rb_on_request(one, now_ms, "s");
        requests[now_ms / 10]++;
        while (rb_take(one, now_ms, "s")) {
            retries[now_ms / 10]++;
        }
    }
    for (int from = 0; from + 1000 <= END_MS / 10; from += 7) {
        uint32_t total_requests = 0;
        uint32_t total_retries = 0;
        for (int i = from; i < from + 1000; i++) {
            total_requests += requests[i];
            total_retries += retries[i];
        }
        CU_ASSERT(total_retries <= 0.2 * total_requests + 54);
    }
    for (int i = 0; i < GATEWAYS; i++) {
        rb_destroy(b[i]);
    }
}

/* Gateways that are cut off go on spending their part of the slack.  If fewer
   of them are seen, this gateway's part must not grow before RB_MEMORY_MS. */
static void
test_budget_keeps_share_of_lost_gateways(void)
{
    RbParams p = {1000, 0, 100, 10};
    Rb *b = rb_create(&p, 0);
    rb_on_gateways(b, 2000, 1);
    int taken = 0;
    while (rb_take(b, 2000, "s")) {
        taken++;
    }
    CU_ASSERT(taken <= 10);
    rb_on_gateways(b, 2000 + RB_MEMORY_MS, 1);
    taken = 0;
    while (rb_take(b, 2000 + RB_MEMORY_MS, "s")) {
        taken++;
    }
    CU_ASSERT(taken > 50);
    rb_destroy(b);
}

/* Guards against the slack spent many times over by gateways that all start
   at once and have not heard how many they are. */
static void
test_budget_of_new_gateways(void)
{
    enum { GATEWAYS = 300, SLACK = 220 };
    RbParams p = {10000, 0.2, SLACK, 0};
    int taken = 0;
    for (int i = 0; i < GATEWAYS; i++) {
        Rb *b = rb_create(&p, 0);
        while (rb_take(b, 100, "s") || rb_take(b, 11000, "s")) {
            taken++;
        }
        rb_on_gateways(b, 11000, GATEWAYS);
        while (rb_take(b, 11000, "s")) {
            taken++;
        }
        rb_destroy(b);
    }
    CU_ASSERT(taken <= SLACK);
}

/* ---- limits of upstreams ------------------------------------------------ */

#define LIMIT_START_MS 100000

/* A gateway at which upstream "u" named a limit of PER_S. */
#define TWO_PER_S ((UlValues){.per_s = 2})
#define NO_LIMIT ((UlValues){0, 0})

static Ul *
make_limited(double per_s)
{
    Ul *l = ul_create(0, 1);
    UlNamed named = {.kind = UL_LIMITED, .per_s = per_s};
    bool report;
    CU_ASSERT_EQUAL(
        ul_on_answer(l, LIMIT_START_MS, "u", &named, true, &report), UL_BEGUN);
    return l;
}

/* Guards against two leaders' slots at the same time. */
static void
test_limit_new_leader_waits(void)
{
    Ul *l = make_limited(10);
    uint32_t wait_ms;
    ul_on_lead(l, LIMIT_START_MS);
    CU_ASSERT(ul_schedule(l, LIMIT_START_MS, "u", UL_MAX_WAIT_MS, &wait_ms));
    CU_ASSERT_EQUAL(wait_ms, UL_MAX_WAIT_MS);
    CU_ASSERT(!ul_schedule(l, LIMIT_START_MS, "u", UL_MAX_WAIT_MS, &wait_ms));
    ul_destroy(l);
}

/* Guards against slots without end from a leader that has just started: it
   takes the limit over from those that ask, but not one that ended since. */
static void
test_limit_is_told_to_new_leader(void)
{
    Ul *l = ul_create(0, 1);
    uint64_t now_ms = LIMIT_START_MS;
    CU_ASSERT_EQUAL(ul_on_known(l, now_ms, "u", TWO_PER_S, 300), UL_BEGUN);
    CU_ASSERT_DOUBLE_EQUAL(ul_get_limit(l, "u"), 2, 1e-9);
    CU_ASSERT_EQUAL(ul_on_limit(l, now_ms, "u", NO_LIMIT), UL_ENDED);
    CU_ASSERT_EQUAL(ul_on_known(l, now_ms + 200, "u", TWO_PER_S, 300),
                    UL_SAME);
    CU_ASSERT_EQUAL(ul_on_known(l, now_ms + 400, "u", TWO_PER_S, 300),
                    UL_BEGUN);
    ul_destroy(l);
}

/* Guards against slots that are used after their time: answers that come late,
   and gateways that were suspended. */
static void
test_limit_slots_expire(void)
{
    Ul *l = make_limited(10);
    uint64_t now_ms = LIMIT_START_MS;
    bool send;
    UlTicket late = ul_ask(l, now_ms, "u", 100, &send);
    UlTicket used = ul_ask(l, now_ms, "u", 100, &send);
    ul_on_slot(l, now_ms + 10, used, true, 50);
    CU_ASSERT_EQUAL(ul_check(l, now_ms + 20, used), UL_SLOT_LATER);
    CU_ASSERT_EQUAL(ul_check(l, now_ms + 60, used), UL_SLOT_NOW);
    CU_ASSERT_EQUAL(ul_check(l, now_ms + 400, used), UL_SLOT_NONE);
    CU_ASSERT_EQUAL(ul_check(l, now_ms + 300, late), UL_SLOT_ASKED);
    ul_on_slot(l, now_ms + 500, late, true, 0);
    CU_ASSERT_EQUAL(ul_check(l, now_ms + 500, late), UL_SLOT_NONE);
    ul_destroy(l);
}

/* Guards against a slot lost because its request left: another uses it. */
static void
test_limit_released_slot_is_used(void)
{
    Ul *l = make_limited(10);
    bool send;
    UlTicket first = ul_ask(l, LIMIT_START_MS, "u", 100, &send);
    CU_ASSERT(send);
    ul_release(l, LIMIT_START_MS, first);
    ul_on_slot(l, LIMIT_START_MS + 5, first, true, 0);
    UlTicket second = ul_ask(l, LIMIT_START_MS + 6, "u", 100, &send);
    CU_ASSERT(!send);
    CU_ASSERT_EQUAL(ul_check(l, LIMIT_START_MS + 6, second), UL_SLOT_NOW);
    ul_use(l, second);
    ul_ask(l, LIMIT_START_MS + 7, "u", 100, &send);
    CU_ASSERT(send);
    ul_destroy(l);
}

/* Guards against an allowance used again by each new process, and by more
   gateways than share it. */
static void
test_limit_without_leader(void)
{
    Ul *l = make_limited(10);
    uint32_t wait_ms;
    uint64_t now_ms = LIMIT_START_MS;
    CU_ASSERT(!ul_take_alone(l, now_ms, "u", &wait_ms));
    ul_on_fleet(l, now_ms, 9);
    CU_ASSERT(ul_take_alone(l, now_ms, "u", &wait_ms));
    CU_ASSERT(!ul_take_alone(l, now_ms + UL_WINDOW_MS, "u", &wait_ms));
    ul_on_fleet(l, now_ms, 300);
    CU_ASSERT(!ul_take_alone(l, now_ms + 60000, "u", &wait_ms));
    ul_destroy(l);
    l = ul_create(LIMIT_START_MS, 1);
    ul_on_limit(l, now_ms, "u", (UlValues){.per_s = 10});
    ul_on_fleet(l, now_ms, 9);
    CU_ASSERT(!ul_take_alone(l, now_ms + 100, "u", &wait_ms));
    CU_ASSERT(wait_ms >= UL_WINDOW_MS - 100);
    ul_destroy(l);
}

/* Guards against an upstream that gets nothing after its limit rose: the next
   slot was computed for the lower one. */
static void
test_limit_rises(void)
{
    Ul *l = make_limited(0.1);
    uint64_t now_ms = LIMIT_START_MS;
    uint32_t wait_ms;
    bool send;
    while (ul_schedule(l, now_ms, "u", 0, &wait_ms)) {
    }
    UlTicket t = ul_ask(l, now_ms, "u", 0, &send);
    ul_on_slot(l, now_ms, t, false, wait_ms);
    CU_ASSERT(ul_get_wait_ms(l, now_ms, "u") > 3000);
    ul_on_limit(l, now_ms, "u", (UlValues){.per_s = 100});
    CU_ASSERT_EQUAL(ul_get_wait_ms(l, now_ms, "u"), 0);
    now_ms += 100;
    CU_ASSERT(!ul_schedule(l, now_ms, "u", 0, &wait_ms));
    CU_ASSERT(ul_schedule(l, now_ms + 1100, "u", 0, &wait_ms));
    ul_destroy(l);
}

static void
count_limit(void *ctx, const char *upstream, UlValues values)
{
    (void)upstream;
    (void)values;
    (*(int *)ctx)++;
}

/* Guards against limits that ended long ago and are published for ever. */
static void
test_limit_ended_is_forgotten(void)
{
    Ul *l = make_limited(2);
    int visited = 0;
    ul_on_limit(l, LIMIT_START_MS, "u", NO_LIMIT);
    ul_visit(l, LIMIT_START_MS + 1000, count_limit, &visited);
    CU_ASSERT_EQUAL(visited, 1);
    ul_visit(l, LIMIT_START_MS + 60000, count_limit, &visited);
    CU_ASSERT_EQUAL(visited, 1);
    ul_destroy(l);
}

/* Guards against a limit opened by an answer that overtook another one. */
static void
test_limit_lowest_of_last_second(void)
{
    Ul *l = make_limited(2);
    UlNamed more = {.kind = UL_LIMITED, .per_s = 50};
    UlNamed none = {.kind = UL_UNLIMITED};
    bool report;
    uint64_t now_ms = LIMIT_START_MS;
    CU_ASSERT_EQUAL(ul_on_answer(l, now_ms + 500, "u", &more, true, &report),
                    UL_SAME);
    CU_ASSERT_EQUAL(ul_on_answer(l, now_ms + 900, "u", &none, true, &report),
                    UL_SAME);
    CU_ASSERT_EQUAL(ul_on_answer(l, now_ms + 1000, "u", &more, true, &report),
                    UL_CHANGED);
    CU_ASSERT_EQUAL(ul_on_answer(l, now_ms + 2100, "u", &none, true, &report),
                    UL_ENDED);
    CU_ASSERT(!ul_has_limits(l));
    ul_destroy(l);
}

/* ---- choice ------------------------------------------------------------- */

static DepUpstream *
make_upstream(const char *id, const char *service, const char *model)
{
    DepUpstream *u = dep_create_upstream();
    u->id = g_strdup(id);
    u->service = g_strdup(service);
    u->address = g_strdup_printf("127.0.0.1:%u", 1000 + g_str_hash(id) % 999);
    u->data_centre = g_strdup("z");
    u->slots = 4;
    u->born_ms = 1;
    if (model) {
        dep_add_resident(u, model);
    }
    return u;
}

static UtSet *
make_set(int n, const char *model)
{
    UtParams p = {"z", 3, NULL, NULL};
    UtSet *s = ut_create(&p);
    for (int i = 0; i < n; i++) {
        g_autofree char *id = g_strdup_printf("u%d", i);
        ut_on_entry(s, 0, make_upstream(id, "s", model));
    }
    return s;
}

static GPtrArray *
list_models(const char *model)
{
    DepUpstream *e = dep_create_upstream();
    dep_add_resident(e, model);
    GPtrArray *models = e->models;
    e->models = g_ptr_array_new();
    dep_destroy_upstream(e);
    return models;
}

static void
test_choice_balances_load(void)
{
    UtSet *s = make_set(4, NULL);
    UtQuery q = {.service = "s"};
    uint32_t max_running = 0;
    for (int i = 0; i < 40; i++) {
        Ut *u = NULL;
        CU_ASSERT_EQUAL(ut_choose(s, 10, &q, &u), UT_FOUND);
        ut_start(u);
        max_running = MAX(max_running, ut_get_running(u));
    }
    CU_ASSERT(max_running <= 12);
    ut_destroy(s);
}

/* One upstream fails its requests at once, so it always looks idle.  It must
   not attract more requests because of that. */
static void
test_choice_avoids_failing(void)
{
    UtSet *s = make_set(4, NULL);
    UtQuery q = {.service = "s"};
    int failed = 0;
    for (uint64_t now_ms = 0; now_ms < 4000; now_ms += 20) {
        Ut *u = NULL;
        if (ut_choose(s, now_ms, &q, &u) != UT_FOUND) {
            continue;
        }
        ut_start(u);
        bool bad = strcmp(ut_get_id(u), "u1") == 0;
        failed += bad;
        ut_finish(s, u, now_ms + 10, bad ? UT_OUTCOME_FAILED : UT_OUTCOME_GOOD,
                  10, &q);
    }
    CU_ASSERT(failed < 25); /* of 200; an equal share would be 50 */
    ut_destroy(s);
}

/* An unreachable upstream is left out for a while, longer after each attempt.
   It is tried all the same if there is no other. */
static void
test_choice_backs_off_unreachable(void)
{
    UtSet *s = make_set(2, NULL);
    UtQuery q = {.service = "s"};
    int unreachable_calls = 0;
    for (uint64_t now_ms = 0; now_ms < 10000; now_ms += 10) {
        Ut *u = NULL;
        CU_ASSERT_EQUAL(ut_choose(s, now_ms, &q, &u), UT_FOUND);
        ut_start(u);
        bool bad = strcmp(ut_get_id(u), "u1") == 0;
        unreachable_calls += bad;
        ut_finish(s, u, now_ms, bad ? UT_OUTCOME_UNREACHABLE : UT_OUTCOME_GOOD,
                  0, &q);
    }
    CU_ASSERT(unreachable_calls >= 1 && unreachable_calls < 20);
    ut_on_gone(s, 10000, "u0");
    Ut *u = NULL;
    CU_ASSERT_EQUAL(ut_choose(s, 10000, &q, &u), UT_FOUND);
    ut_destroy(s);
}

/* The only upstream that holds a model crashes, and its port refuses each
   connection at once.  Waiting requests must not retry it without a pause
   (fifty callers would take the VM's processor for seconds), but must find it
   soon after it is back. */
static void
test_choice_probes_only_replica(void)
{
    UtSet *s = make_set(1, "m0");
    UtQuery q = {.service = "s", .model = "m0"};
    int tries = 0;
    for (uint64_t now_ms = 0; now_ms < 3000; now_ms += 4) {
        Ut *u = NULL;
        UtChoice a = ut_choose(s, now_ms, &q, &u);
        CU_ASSERT(a == UT_FOUND || a == UT_UNREACHABLE);
        if (a == UT_FOUND) {
            ut_start(u);
            ut_finish(s, u, now_ms, UT_OUTCOME_UNREACHABLE, 0, &q);
            tries++;
        }
    }
    CU_ASSERT(tries >= 10 && tries <= 40);
    Ut *u = NULL;
    CU_ASSERT_EQUAL(ut_choose(s, 3200, &q, &u), UT_FOUND);
    ut_start(u);
    Ut *second = NULL;
    CU_ASSERT_EQUAL(ut_choose(s, 3200, &q, &second), UT_UNREACHABLE);
    ut_finish(s, u, 3210, UT_OUTCOME_GOOD, 10, &q);
    CU_ASSERT_EQUAL(ut_choose(s, 3210, &q, &second), UT_FOUND);
    ut_destroy(s);
}

/* Guards against hundreds of gateways that each try a crashed upstream ten
   times a second.  The leader reports it unreachable and probes it for all of
   them. */
static void
test_choice_avoids_reported_unreachable(void)
{
    UtSet *s = make_set(2, "m0");
    UtQuery q = {.service = "s", .model = "m0"};
    Ut *u = NULL;
    ut_on_unreachable(s, 1000, "u0");
    int tries = 0;
    for (uint64_t now_ms = 1000; now_ms < 3000; now_ms += 4) {
        ut_on_totals(s, now_ms, NULL, 0, false);
        CU_ASSERT_EQUAL(ut_choose(s, now_ms, &q, &u), UT_FOUND);
        if (strcmp(ut_get_id(u), "u0") == 0) {
            ut_start(u);
            ut_finish(s, u, now_ms, UT_OUTCOME_UNREACHABLE, 0, &q);
            tries++;
        }
    }
    CU_ASSERT(tries <= 1);
    ut_on_unreachable(s, 3000, "u1");
    ut_on_totals(s, 3000, NULL, 0, false);
    CU_ASSERT_EQUAL(ut_choose(s, 3010, &q, &u), UT_UNREACHABLE);
    ut_on_placement(s, 3020, "u1", list_models("m0"));
    CU_ASSERT_EQUAL(ut_choose(s, 3020, &q, &u), UT_FOUND);
    CU_ASSERT_STRING_EQUAL(ut_get_id(u), "u1");
    /* Contact with the leader is lost: its report counts no longer. */
    ut_on_unreachable(s, 3030, "u1");
    CU_ASSERT_EQUAL(ut_choose(s, 9000, &q, &u), UT_FOUND);
    ut_destroy(s);
}

/* An upstream crashes and is back a second later with nothing loaded.  Its
   entry still lists its models, and it refuses each request for them.  Each
   refusal costs a retry, of which there are few.  So only single requests may
   try it until its new content is published. */
static void
test_choice_after_upstream_restart(void)
{
    UtSet *s = make_set(1, "m0");
    UtQuery q = {.service = "s", .model = "m0"};
    Ut *u = NULL;
    ut_choose(s, 0, &q, &u);
    ut_start(u);
    ut_finish(s, u, 0, UT_OUTCOME_UNREACHABLE, 0, &q);
    int turned_away = 0;
    for (uint64_t now_ms = 1000; now_ms < 4000; now_ms += 4) {
        if (ut_choose(s, now_ms, &q, &u) == UT_FOUND) {
            ut_start(u);
            ut_note_absent(s, u, now_ms, "m0", NULL);
            ut_finish(s, u, now_ms, UT_OUTCOME_NEUTRAL, 0, &q);
            turned_away++;
        }
    }
    CU_ASSERT(turned_away >= 2 && turned_away <= 5);
    ut_on_placement(s, 6000, "u0", list_models("m0"));
    CU_ASSERT_EQUAL(ut_choose(s, 6000, &q, &u), UT_FOUND);
    ut_destroy(s);
}

/* A relay's link carried a third of what was sent.  Its members received the
   leader's updates at the usual rate and took state from ten seconds ago for
   current. */
static void
test_lag_of_saturated_link(void)
{
    Lag l = {0};
    for (uint64_t sent_ms = 0; sent_ms < 4000; sent_ms += 200) {
        uint64_t late_ms = lag_update(&l, 900000 + sent_ms, sent_ms);
        CU_ASSERT_EQUAL(late_ms, 0);
    }
    uint64_t late_ms = 0;
    for (uint64_t sent_ms = 4000; sent_ms < 10000; sent_ms += 200) {
        uint64_t queued_ms = (sent_ms - 4000) * 2;
        late_ms = lag_update(&l, 900000 + sent_ms + queued_ms, sent_ms);
        CU_ASSERT_EQUAL(late_ms, queued_ms);
    }
    CU_ASSERT(late_ms > 10000);
    /* Another link, and a clock that drifts by 0.05 %. */
    lag_reset(&l);
    for (uint64_t sent_ms = 0; sent_ms < 600000; sent_ms += 200) {
        late_ms = lag_update(&l, 5000000 + sent_ms + sent_ms / 2000, sent_ms);
        CU_ASSERT(late_ms < 50);
    }
}

/* The gateway loses contact with the leader and with the store.  The entries
   that it has read are older than the leader's last placement.  Requests
   follow that placement until a newer entry is read. */
static void
test_choice_keeps_last_placement(void)
{
    UtSet *s = make_set(1, "m0");
    UtQuery q = {.service = "s", .model = "m1"};
    Ut *u = NULL;
    ut_on_placement(s, 100, "u0", list_models("m1"));
    ut_mark_placement_stale(s);
    CU_ASSERT_EQUAL(ut_choose(s, 200, &q, &u), UT_FOUND);
    ut_on_entry(s, 300, make_upstream("u0", "s", "m0"));
    CU_ASSERT_EQUAL(ut_choose(s, 300, &q, &u), UT_COLD);
    ut_destroy(s);
}

/* A model in rising demand is loaded on two upstreams, and more requests are
   queued there than can begin in time.  A gateway that knows this from the
   leader's totals sends no more of them, and returns the upstream with the
   shorter queue.  A request that has already run elsewhere is still sent: its
   max_wait_ms is 0. */
static void
test_choice_avoids_long_queues(void)
{
    UtSet *s = make_set(2, "m0");
    UtTotal totals[] = {{ut_make_key("u0"), 60, 5000, false},
                        {ut_make_key("u1"), 40, 3000, false}};
    ut_on_totals(s, 1000, totals, 2, false);
    UtQuery q = {
        .service = "s", .model = "m0", .max_wait_ms = 1000, .draw = 50};
    Ut *u = NULL;
    CU_ASSERT_EQUAL(ut_choose(s, 1100, &q, &u), UT_BUSY);
    CU_ASSERT_STRING_EQUAL(ut_get_id(u), "u1");
    CU_ASSERT_EQUAL(ut_get_wait_ms(u, 1100), 3000);
    q.max_wait_ms = 4000;
    CU_ASSERT_EQUAL(ut_choose(s, 1100, &q, &u), UT_FOUND);
    CU_ASSERT_STRING_EQUAL(ut_get_id(u), "u1");
    /* The threshold varies by request, so that not all are sent at the same
       moment. */
    q.draw = 0;
    CU_ASSERT_EQUAL(ut_choose(s, 1100, &q, &u), UT_BUSY);
    q.max_wait_ms = 2100;
    q.draw = 99;
    CU_ASSERT_EQUAL(ut_choose(s, 1100, &q, &u), UT_FOUND);
    q.max_wait_ms = 0;
    CU_ASSERT_EQUAL(ut_choose(s, 1100, &q, &u), UT_FOUND);
    /* The totals have expired. */
    q.max_wait_ms = 1000;
    CU_ASSERT_EQUAL(ut_choose(s, 2500, &q, &u), UT_FOUND);
    ut_destroy(s);
}

static void
test_choice_by_model(void)
{
    UtSet *s = make_set(2, "m0");
    ut_on_entry(s, 0, make_upstream("x", "s", "m1"));
    Ut *u = NULL;
    UtQuery q = {.service = "s", .model = "m1"};
    CU_ASSERT_EQUAL(ut_choose(s, 0, &q, &u), UT_FOUND);
    CU_ASSERT_STRING_EQUAL(ut_get_id(u), "x");
    q.adapter = "a1";
    CU_ASSERT_EQUAL(ut_choose(s, 0, &q, &u), UT_ADAPTER);
    q = (UtQuery){.service = "s", .model = "m9"};
    CU_ASSERT_EQUAL(ut_choose(s, 0, &q, &u), UT_COLD);
    q = (UtQuery){.service = "t"};
    CU_ASSERT_EQUAL(ut_choose(s, 0, &q, &u), UT_NONE);
    ut_destroy(s);
}

/* An upstream answers that it doesn't have the model.  It gets no requests for
   it for a while, longer each time, so that a wrong assumption doesn't use up
   the retry budget. */
static void
test_choice_after_missing_model(void)
{
    UtSet *s = make_set(1, "m0");
    UtQuery q = {.service = "s", .model = "m0"};
    int sends = 0;
    for (uint64_t now_ms = 0; now_ms < 3000; now_ms += 10) {
        Ut *u = NULL;
        if (ut_choose(s, now_ms, &q, &u) == UT_FOUND) {
            ut_start(u);
            ut_note_absent(s, u, now_ms, "m0", NULL);
            ut_finish(s, u, now_ms, UT_OUTCOME_NEUTRAL, 0, &q);
            sends++;
        }
    }
    CU_ASSERT(sends <= 6);
    ut_destroy(s);
}

/* Requests that share a prompt prefix go to the same upstream while it isn't
   far more loaded than the others, and spread when it is. */
static void
test_choice_prefix_affinity(void)
{
    UtSet *s = make_set(5, "m0");
    UtQuery q = {.service = "s", .model = "m0", .affinity = 77};
    Ut *first = NULL;
    CU_ASSERT_EQUAL(ut_choose(s, 0, &q, &first), UT_FOUND);
    int same = 0;
    for (int i = 0; i < 30; i++) {
        Ut *u = NULL;
        ut_choose(s, 0, &q, &u);
        ut_start(u);
        same += u == first;
    }
    CU_ASSERT(same >= 4 && same < 20);
    ut_destroy(s);
}

/* An upstream is replaced by a new one with the same id, born later or at
   another address.  What was learnt about the former one is dropped, and a
   running call to it may still end. */
static void
test_choice_replaced_upstream(void)
{
    UtSet *s = make_set(1, "m0");
    UtQuery q = {.service = "s", .model = "m0"};
    Ut *u = NULL;
    ut_choose(s, 0, &q, &u);
    ut_start(u);
    DepUpstream *e = make_upstream("u0", "s", NULL);
    e->born_ms = 2;
    CU_ASSERT_TRUE(ut_on_entry(s, 5, e));
    CU_ASSERT_TRUE(ut_is_gone(u));
    Ut *other = NULL;
    CU_ASSERT_EQUAL(ut_choose(s, 5, &q, &other), UT_COLD);
    ut_finish(s, u, 9, UT_OUTCOME_GOOD, 3, &q);
    ut_destroy(s);
}

/* ---- placement ---------------------------------------------------------- */

/* A simulated engine that carries out orders. */
typedef struct {
    DepUpstream *state;
    uint32_t used_mb;
    double left_ms;        /* of the load, at full speed */
    char *loading;         /* model; NULL: none */
    bool report_requested; /* and not answered yet */
    int report_requests;
    int reported_unreachable; /* times */
    bool down;                /* refuses connections */
    bool cut;                 /* from the leader, but not from others */
    MpOrder order;            /* pending if upstream is set */
    char *order_model;
    char *order_adapter;
    int loads;
    int unloads;
    uint64_t unloaded_ms;
    GHashTable *usable; /* set of models published to gateways */
} Engine;

#define ENGINES 4
#define MODEL_MB 30000
#define ENGINE_MB 83000
#define LOAD_MS 500
#define STEP_MS 20

/* A simulated fleet: the placement on the leader, engines and the demand that
   gateways report. */
typedef struct {
    Mp *mp;
    Dm *demand; /* of all gateways */
    DepConfig *config;
    Engine engines[ENGINES];
    int answers_to_lose; /* that many next answers to orders are lost */
    bool refuse_unloads;
    uint32_t store_concurrency; /* loads served at full speed; more share
                                   its rate; 0: no limit */
    uint32_t load_ms;           /* at full speed */
    int refused;                /* unloads */
    uint32_t unload_ms; /* no order is accepted for so long after one */
    int early;          /* orders refused for that */
    bool overcommitted;
    uint64_t now_ms;
} Site;

static Engine *
find_engine(Site *s, const char *id)
{
    return &s->engines[id[1] - '0'];
}

static void
site_order(void *ctx, const MpOrder *o)
{
    Engine *e = find_engine(ctx, o->upstream);
    CU_ASSERT_PTR_NULL(e->order.upstream);
    e->order = *o;
    e->order.upstream = e->state->id;
    e->order_model = g_strdup(o->model);
    e->order_adapter = g_strdup(o->adapter);
}

static void
site_request_report(void *ctx, const DepUpstream *of)
{
    Engine *e = find_engine(ctx, of->id);
    e->report_requested = true;
    e->report_requests++;
}

static void
site_publish(void *ctx, const char *upstream, const GPtrArray *models)
{
    Engine *e = find_engine(ctx, upstream);
    g_hash_table_remove_all(e->usable);
    for (guint i = 0; i < models->len; i++) {
        const DepResident *r = models->pdata[i];
        g_hash_table_add(e->usable, g_strdup(r->name));
    }
}

static void
site_mark_unreachable(void *ctx, const char *upstream)
{
    Engine *e = find_engine(ctx, upstream);
    e->reported_unreachable++;
}

static void
site_capacity_estimated(void *ctx, const char *model, double capacity,
                        double slow, double load, uint32_t replicas)
{
    (void)ctx;
    (void)model;
    (void)capacity;
    (void)slow;
    (void)load;
    (void)replicas;
}

static MpOrderResult
execute_order(Site *s, Engine *e)
{
    const MpOrder *o = &e->order;
    if (e->loading || o->sequence != e->state->sequence) {
        return MP_ORDER_CONFLICT;
    }
    if (s->now_ms < e->unloaded_ms + s->unload_ms) {
        s->early++;
        return MP_ORDER_CONFLICT;
    }
    if (o->unload && !e->order_adapter && s->refuse_unloads) {
        s->refused++;
        return MP_ORDER_CONFLICT;
    }
    e->state->sequence++;
    DepResident *r = dep_find_resident(e->state->models, e->order_model);
    if (e->order_adapter) {
        if (r && !o->unload) {
            g_ptr_array_add(r->adapters, g_strdup(e->order_adapter));
        }
        guint n = 0;
        for (guint i = 0; i < e->state->models->len; i++) {
            n += ((DepResident *)e->state->models->pdata[i])->adapters->len;
        }
        s->overcommitted = s->overcommitted || n > 8;
        if (r && o->unload) {
            for (guint i = 0; i < r->adapters->len; i++) {
                if (strcmp(r->adapters->pdata[i], e->order_adapter) == 0) {
                    g_ptr_array_remove_index(r->adapters, i);
                }
            }
            return MP_ORDER_NO_CHANGE;
        }
        return MP_ORDER_ACCEPTED;
    }
    if (o->unload) {
        e->unloads++;
        e->unloaded_ms = s->now_ms;
        if (r) {
            e->used_mb -= MODEL_MB;
            g_ptr_array_remove(e->state->models, r);
        }
        return MP_ORDER_ACCEPTED;
    }
    e->loads++;
    e->used_mb += MODEL_MB;
    s->overcommitted = s->overcommitted || e->used_mb > ENGINE_MB;
    e->loading = g_strdup(e->order_model);
    e->left_ms = s->load_ms;
    return MP_ORDER_ACCEPTED;
}

static int
count_loading(const Site *s)
{
    int n = 0;
    for (int i = 0; i < ENGINES; i++) {
        n += s->engines[i].loading != NULL;
    }
    return n;
}

static void
advance_loads(Site *s)
{
    double full_speed_loads =
        s->store_concurrency ? s->store_concurrency : ENGINES;
    double share = MAX(count_loading(s) / full_speed_loads, 1);
    for (int i = 0; i < ENGINES; i++) {
        s->engines[i].left_ms -= STEP_MS / share;
    }
}

static void
answer_engine(Site *s, Engine *e)
{
    if (e->loading && e->left_ms <= 0) {
        dep_add_resident(e->state, e->loading);
        g_clear_pointer(&e->loading, g_free);
        mp_on_entry(s->mp, s->now_ms, e->state);
    }
    if (e->order.upstream) {
        MpOrderResult result =
            e->down || e->cut ? MP_ORDER_NOT_SENT : execute_order(s, e);
        if (s->answers_to_lose > 0) {
            s->answers_to_lose--;
            result = MP_ORDER_UNKNOWN;
        }
        e->order.upstream = NULL;
        g_clear_pointer(&e->order_model, g_free);
        g_clear_pointer(&e->order_adapter, g_free);
        mp_on_order_result(s->mp, s->now_ms, e->state->id, result);
    }
    if (e->report_requested) {
        e->report_requested = false;
        e->state->busy = e->loading != NULL;
        mp_on_report(s->mp, s->now_ms, e->state->id,
                     e->down ? NULL : e->state);
    }
}

static void
start_site(Site *s, int models)
{
    memset(s, 0, sizeof(*s));
    s->now_ms = 100000;
    s->load_ms = LOAD_MS;
    MpParams p = {false};
    MpOutput out = {s,
                    site_order,
                    site_request_report,
                    site_publish,
                    site_mark_unreachable,
                    site_capacity_estimated};
    s->mp = mp_create(&p, &out);
    s->demand = dm_create();
    s->config = dep_create_config();
    s->config->version = 1;
    DepService *svc = dep_add_service(s->config, "s");
    svc->has_models = true;
    svc->memory_mb = ENGINE_MB;
    svc->max_adapters = 8;
    svc->loads_per_s = 3;
    for (int i = 0; i < models; i++) {
        g_autofree char *name = g_strdup_printf("m%d", i);
        DepModel *m = dep_add_model(svc, name);
        m->memory_mb = MODEL_MB;
        m->load_ms = 500;
        m->disk_ms = 500;
        m->warm_ms = 500;
        m->adapters = 30;
        m->adapter_mb = 40;
    }
    dep_index_routes(s->config);
    mp_on_config(s->mp, s->config);
    for (int i = 0; i < ENGINES; i++) {
        g_autofree char *id = g_strdup_printf("u%d", i);
        s->engines[i].state = make_upstream(id, "s", NULL);
        s->engines[i].usable =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        mp_on_entry(s->mp, s->now_ms, s->engines[i].state);
    }
    mp_on_lease_gained(s->mp, s->now_ms);
}

static void
stop_site(Site *s)
{
    CU_ASSERT_FALSE(s->overcommitted);
    mp_destroy(s->mp);
    dm_destroy(s->demand);
    dep_unref_config(s->config);
    for (int i = 0; i < ENGINES; i++) {
        dep_destroy_upstream(s->engines[i].state);
        g_free(s->engines[i].loading);
        g_hash_table_destroy(s->engines[i].usable);
    }
}

#define DEMAND_LIFE_MS 2000

static void
collect_demand(Site *s)
{
    DmDemand *aggregate = dm_collect(s->demand, false);
    mp_on_demand(s->mp, s->now_ms, aggregate);
    dm_destroy_demand(aggregate);
}

/* DEMAND: a snapshot of GATEWAY's demand.  Takes ownership. */
static void
apply_demand(Site *s, const char *gateway, DmDemand *demand)
{
    dm_apply(s->demand, s->now_ms, gateway, demand);
    dm_destroy_demand(demand);
    collect_demand(s);
}

static void
run_site(Site *s, uint64_t for_ms, bool may_order)
{
    uint64_t end = s->now_ms + for_ms;
    for (; s->now_ms < end; s->now_ms += STEP_MS) {
        advance_loads(s);
        dm_expire_sources(s->demand, s->now_ms, DEMAND_LIFE_MS);
        collect_demand(s);
        mp_on_tick(s->mp, s->now_ms, may_order);
        for (int i = 0; i < ENGINES; i++) {
            answer_engine(s, &s->engines[i]);
        }
    }
}

static void
report_demand(Site *s, const char *gateway, const char *model,
              const char *adapter, uint32_t waiting, uint32_t arrived)
{
    DmDemand *demand = dm_create_demand(true);
    DmModelDemand *w = dm_add_model_demand(demand, model, adapter);
    w->waiting = waiting;
    w->arrived = arrived;
    apply_demand(s, gateway, demand);
}

static void
report_waiting(Site *s, const char *gateway, const char *model,
               const char *adapter, uint32_t waiting)
{
    report_demand(s, gateway, model, adapter, waiting, waiting);
}

static int
count_loads(const Site *s)
{
    int n = 0;
    for (int i = 0; i < ENGINES; i++) {
        n += s->engines[i].loads;
    }
    return n;
}

/* A burst of requests for one model that isn't loaded arrives at ten gateways
   at once.  It causes one load. */
static void
test_placement_one_load_for_a_burst(void)
{
    Site s;
    start_site(&s, 3);
    run_site(&s, 500, true);
    for (int i = 0; i < 10; i++) {
        g_autofree char *name = g_strdup_printf("g%d", i);
        report_waiting(&s, name, "m0", NULL, i < 3 ? 1 : 0);
    }
    run_site(&s, 400, true);
    CU_ASSERT_EQUAL(count_loads(&s), 1);
    stop_site(&s);
}

static int
count_reported_unreachable(const Site *s)
{
    int n = 0;
    for (int i = 0; i < ENGINES; i++) {
        n += s->engines[i].reported_unreachable;
    }
    return n;
}

/* An engine was loaded whose version nobody knew yet: it had restarted, and
   its entry was that of the former process. */
static void
test_placement_leaves_a_restarted_engine_until_its_entry(void)
{
    Site s;
    start_site(&s, 3);
    s.load_ms = 100000;
    for (int i = 0; i < ENGINES; i++) {
        s.engines[i].state->born_ms = 1;
        mp_on_entry(s.mp, s.now_ms, s.engines[i].state);
    }
    run_site(&s, 500, true);
    for (int i = 0; i < ENGINES; i++) {
        s.engines[i].state->born_ms = 2;
    }
    report_waiting(&s, "g", "m0", NULL, 1);
    run_site(&s, 1000, true);
    CU_ASSERT_EQUAL(count_loads(&s), 1);
    CU_ASSERT_EQUAL(count_reported_unreachable(&s), 1);
    stop_site(&s);
}

static void
test_placement_waits_until_it_may_order(void)
{
    Site s;
    start_site(&s, 3);
    report_waiting(&s, "g", "m0", NULL, 1);
    run_site(&s, 1000, false);
    CU_ASSERT_EQUAL(count_loads(&s), 0);
    run_site(&s, 1000, true);
    CU_ASSERT_EQUAL(count_loads(&s), 1);
    stop_site(&s);
}

/* More models than fit are requested in turn, and every second answer to an
   order is lost.  No engine is ever loaded over its memory, and each model is
   loaded in the end. */
static void
test_placement_never_overcommits(void)
{
    Site s;
    start_site(&s, 12);
    for (int i = 0; i < 36; i++) {
        g_autofree char *model = g_strdup_printf("m%d", i * 5 % 12);
        s.answers_to_lose = i % 2;
        report_waiting(&s, "g", model, NULL, 1);
        run_site(&s, 1500, true);
        bool held = false;
        for (int e = 0; e < ENGINES; e++) {
            held =
                held || dep_find_resident(s.engines[e].state->models, model);
        }
        run_site(&s, held ? 0 : 4000, true);
        for (int e = 0; e < ENGINES; e++) {
            held =
                held || dep_find_resident(s.engines[e].state->models, model);
        }
        CU_ASSERT(held);
    }
    stop_site(&s);
}

/* A second unload soon after a first is refused, as the upstream is still
   carrying out an order.  The model that was to be evicted must stay usable.
   Otherwise it would count as loaded, be unavailable to its callers, and never
   be loaded again. */
static void
test_placement_after_refused_unload(void)
{
    Site s;
    start_site(&s, 6);
    for (int i = 1; i < ENGINES; i++) {
        mp_on_removed(s.mp, s.engines[i].state->id);
    }
    Engine *e = &s.engines[0];
    report_waiting(&s, "g", "m0", NULL, 1);
    run_site(&s, 1500, true);
    report_waiting(&s, "g", "m1", NULL, 1);
    run_site(&s, 3500, true);
    CU_ASSERT_EQUAL(e->state->models->len, 2);
    report_waiting(&s, "g", "m2", NULL, 1);
    run_site(&s, 900, true);
    CU_ASSERT_EQUAL(e->unloads, 1);
    s.refuse_unloads = true;
    report_waiting(&s, "g", "m3", NULL, 1);
    run_site(&s, 100, true);
    CU_ASSERT(s.refused > 0);
    report_waiting(&s, "g", "m4", NULL, 0);
    run_site(&s, 300, false);
    for (guint i = 0; i < e->state->models->len; i++) {
        const DepResident *r = e->state->models->pdata[i];
        CU_ASSERT(g_hash_table_contains(e->usable, r->name));
    }
    stop_site(&s);
}

/* An upstream that unloads takes no order: most orders are sent after that. */
static void
test_placement_waits_for_unloads(void)
{
    Site s;
    start_site(&s, 6);
    s.unload_ms = 60;
    for (int i = 1; i < ENGINES; i++) {
        mp_on_removed(s.mp, s.engines[i].state->id);
    }
    for (int i = 0; i < 60; i++) {
        g_autofree char *model = g_strdup_printf("m%d", i % 6);
        report_waiting(&s, "g", model, NULL, 1);
        run_site(&s, 2500, true);
    }
    CU_ASSERT(s.engines[0].unloads > 30);
    CU_ASSERT(s.early * 3 < s.engines[0].unloads);
    stop_site(&s);
}

/* The same as test_placement_never_overcommits for adapters, of which an
   engine can hold eight. */
static void
test_placement_of_adapters(void)
{
    Site s;
    start_site(&s, 2);
    for (int i = 0; i < 120; i++) {
        g_autofree char *adapter = g_strdup_printf("a%d", i % 30);
        s.answers_to_lose = i % 7 == 0;
        report_waiting(&s, "g", i % 2 ? "m0" : "m1", adapter, 1);
        run_site(&s, 400, true);
    }
    stop_site(&s);
}

#define WAITING_ADAPTERS 12

/* Requests wait for adapters FROM to TO - 1 of m0. */
static void
report_adapters(Site *s, int from, int to)
{
    DmDemand *demand = dm_create_demand(true);
    dm_add_model_demand(demand, "m0", NULL);
    for (int i = from; i < to; i++) {
        g_autofree char *name = g_strdup_printf("a%d", i * 7 % 30);
        dm_add_model_demand(demand, "m0", name)->waiting = 1;
    }
    apply_demand(s, "g", demand);
}

static bool
holds_adapter(const Site *s, int nth)
{
    g_autofree char *name = g_strdup_printf("a%d", nth * 7 % 30);
    for (int i = 0; i < ENGINES; i++) {
        const DepResident *r =
            dep_find_resident(s->engines[i].state->models, "m0");
        if (r && dep_has_name(r->adapters, name)) {
            return true;
        }
    }
    return false;
}

/* Slots went by the order of a hash table: requests for an adapter that came
   late there waited to their deadline while others took turns. */
static void
test_adapters_take_turns(void)
{
    Site s;
    start_site(&s, 1);
    DepService *svc = g_hash_table_lookup(s.config->services, "s");
    svc->max_adapters = 1;
    mp_on_config(s.mp, s.config);
    report_waiting(&s, "g", "m0", NULL, 1);
    run_site(&s, 1500, true);
    for (int i = 1; i <= WAITING_ADAPTERS; i++) {
        report_adapters(&s, 0, i);
        run_site(&s, STEP_MS, false); /* no order yet */
    }
    for (int served = 0; served < WAITING_ADAPTERS; served++) {
        int waited_ms = 0;
        while (!holds_adapter(&s, served) && waited_ms < 1500) {
            report_adapters(&s, served, WAITING_ADAPTERS);
            run_site(&s, STEP_MS, true);
            waited_ms += STEP_MS;
        }
        CU_ASSERT(holds_adapter(&s, served));
    }
    stop_site(&s);
}

static void
note_wait(void *ctx, const char *key, uint32_t wait_ms)
{
    uint32_t *most_ms = ctx;
    *most_ms = MAX(*most_ms, strchr(key, '/') ? wait_ms : 0);
}

/* A queue that began later than the tick had waited for 2^64 ms: its requests
   were told of a wait of weeks, and refused. */
static void
test_adapter_queue_begins_within_the_tick(void)
{
    Site s;
    start_site(&s, 1);
    report_waiting(&s, "g", "m0", NULL, 1);
    run_site(&s, 1500, true);
    report_adapters(&s, 0, 3);
    uint32_t most_ms = 0;
    mp_visit_waits(s.mp, s.now_ms - 1, note_wait, &most_ms);
    CU_ASSERT_EQUAL(most_ms, 0);
    run_site(&s, 600, false);
    mp_visit_waits(s.mp, s.now_ms, note_wait, &most_ms);
    CU_ASSERT(most_ms >= 500);
    CU_ASSERT(most_ms <= 700);
    stop_site(&s);
}

/* The upstream of a model in use announces that it drains.  The model is
   loaded elsewhere before a request misses it. */
static void
test_placement_replaces_draining(void)
{
    Site s;
    start_site(&s, 3);
    report_waiting(&s, "g", "m0", NULL, 1);
    run_site(&s, 1500, true);
    CU_ASSERT_EQUAL(count_loads(&s), 1);
    for (int i = 0; i < ENGINES; i++) {
        if (dep_find_resident(s.engines[i].state->models, "m0")) {
            s.engines[i].state->draining = true;
            mp_on_entry(s.mp, s.now_ms, s.engines[i].state);
        }
    }
    report_waiting(&s, "g", "m0", NULL, 0);
    run_site(&s, 1000, true);
    CU_ASSERT_EQUAL(count_loads(&s), 2);
    stop_site(&s);
}

/* The only upstream with a model in use crashes, and its entry stays in the
   store for seconds.  Calls break off, and gateways report that.  The model
   must be loaded at once from the cached weights of another upstream, not when
   the entry expires.  The crashed one comes back later with nothing loaded:
   reports are requested until it answers. */
static void
test_placement_replaces_unreachable(void)
{
    Site s;
    start_site(&s, 3);
    report_waiting(&s, "g", "m0", NULL, 1);
    run_site(&s, 1500, true);
    int at = 0;
    while (at < ENGINES - 1 &&
           !dep_find_resident(s.engines[at].state->models, "m0")) {
        at++;
    }
    Engine *holder = &s.engines[at];
    Engine *other = &s.engines[(at + 1) % ENGINES];
    CU_ASSERT_PTR_NOT_NULL(dep_find_resident(holder->state->models, "m0"));
    DepService *svc = g_hash_table_lookup(s.config->services, "s");
    ((DepModel *)g_hash_table_lookup(svc->models, "m0"))->load_ms = 6000;
    g_ptr_array_add(other->state->on_disk, g_strdup("m0"));
    mp_on_entry(s.mp, s.now_ms, other->state);
    holder->down = true;
    mp_on_suspected(s.mp, s.now_ms, holder->state->id);
    report_waiting(&s, "g", "m0", NULL, 1);
    run_site(&s, 700, true);
    CU_ASSERT_PTR_NOT_NULL(dep_find_resident(other->state->models, "m0"));
    CU_ASSERT_EQUAL(count_loads(&s), 2);
    holder->down = false;
    g_ptr_array_set_size(holder->state->models, 0);
    holder->used_mb = 0;
    run_site(&s, 1500, true);
    CU_ASSERT_FALSE(g_hash_table_contains(holder->usable, "m0"));
    stop_site(&s);
}

#define MANY_UPSTREAMS 1000

typedef struct {
    GPtrArray *open; /* ids of upstreams, borrowed */
    guint max_open;
} PendingReports;

static void
record_report_request(void *ctx, const DepUpstream *of)
{
    PendingReports *q = ctx;
    g_ptr_array_add(q->open, of->id);
    q->max_open = MAX(q->max_open, q->open->len);
}

static void
free_upstream(void *u)
{
    dep_destroy_upstream(u);
}

static void
ignore_publish(void *ctx, const char *upstream, const GPtrArray *models)
{
    (void)ctx;
    (void)upstream;
    (void)models;
}

static DepConfig *
make_small_config(void)
{
    DepConfig *c = dep_create_config();
    c->version = 1;
    DepService *s = dep_add_service(c, "s");
    s->has_models = true;
    s->memory_mb = ENGINE_MB;
    dep_add_model(s, "m0")->memory_mb = MODEL_MB;
    dep_index_routes(c);
    return c;
}

/* Guards against a leader that takes a thousand upstreams for unreachable,
   because it requested all their reports at once and handled the answers too
   late. */
static void
test_placement_limits_report_requests(void)
{
    g_autoptr(GPtrArray) open = g_ptr_array_new();
    PendingReports q = {open, 0};
    MpOutput out = {.ctx = &q,
                    .request_report = record_report_request,
                    .publish = ignore_publish};
    MpParams params = {false};
    Mp *m = mp_create(&params, &out);
    DepConfig *c = make_small_config();
    mp_on_config(m, c);
    g_autoptr(GPtrArray) states =
        g_ptr_array_new_with_free_func(free_upstream);
    for (int i = 0; i < MANY_UPSTREAMS; i++) {
        g_autofree char *id = g_strdup_printf("u%d", i);
        g_ptr_array_add(states, make_upstream(id, "s", NULL));
        mp_on_entry(m, 1, states->pdata[i]);
    }
    mp_on_lease_gained(m, 1);
    g_autoptr(GHashTable) answered = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint64_t now_ms = 10; now_ms < 1000; now_ms += 20) {
        mp_on_tick(m, now_ms, false);
        while (open->len > 0) {
            char *id = g_ptr_array_steal_index(open, open->len - 1);
            g_hash_table_add(answered, id);
            mp_on_report(m, now_ms + 5, id, states->pdata[atoi(id + 1)]);
        }
    }
    CU_ASSERT(q.max_open <= 100);
    CU_ASSERT_EQUAL(g_hash_table_size(answered), MANY_UPSTREAMS);
    mp_destroy(m);
    dep_unref_config(c);
}

static void
add_uses(DmDemand *d, const char *upstream, uint32_t queued, uint32_t began)
{
    DmUse *u = dm_add_use(d, upstream, "m0", NULL);
    u->running = queued + began;
    u->queued = queued;
}

typedef struct {
    uint32_t running;
    uint32_t wait_ms;
} SeenLoad;

static void
record_load(void *ctx, const char *upstream, const MpLoad *load)
{
    SeenLoad *seen = ctx;
    if (strcmp(upstream, "u0") == 0) {
        seen->running = load->running;
        seen->wait_ms = load->wait_ms;
    }
}

/* Twenty requests are queued on an upstream that begins five a second, as two
   gateways report.  A new request would wait for four seconds.  All gateways
   need this estimate, since each of them sees only its own part of the
   queue. */
static void
test_placement_publishes_queue_waits(void)
{
    Site s;
    start_site(&s, 3);
    run_site(&s, 300, true);
    SeenLoad seen = {0, 0};
    for (int i = 0; i < 30; i++) {
        for (int g = 0; g < 2; g++) {
            DmDemand *d = dm_create_demand(true);
            add_uses(d, "u0", 10, 4);
            if (g == 0) {
                dm_add_answer_starts(d, "u0", 1);
            }
            apply_demand(&s, g ? "g1" : "g0", d);
        }
        run_site(&s, 200, true);
        mp_visit_loads(s.mp, s.now_ms, record_load, &seen);
    }
    CU_ASSERT_EQUAL(seen.running, 28);
    CU_ASSERT(seen.wait_ms > 3500 && seen.wait_ms < 4500);
    stop_site(&s);
}

/* Demand for a model rises.  Its one replica serves what it can, and gateways
   refuse the rest, so hardly any request is queued.  The refused requests must
   count as load, or the model would look served and get no second replica. */
static void
test_placement_counts_refused_requests(void)
{
    Site s;
    start_site(&s, 3);
    report_waiting(&s, "g", "m0", NULL, 1);
    run_site(&s, 1500, true);
    CU_ASSERT_EQUAL(count_loads(&s), 1);
    for (int i = 0; i < 10; i++) {
        DmDemand *d = dm_create_demand(true);
        DmModelDemand *w = dm_add_model_demand(d, "m0", NULL);
        w->running = 5;
        w->refused = 10;
        apply_demand(&s, "g", d);
        run_site(&s, 200, true);
    }
    CU_ASSERT(count_loads(&s) >= 3);
    stop_site(&s);
}

#define STORE_LOAD_MS 6000

static void
record_wait(void *ctx, const char *model, uint32_t wait_ms)
{
    if (strcmp(model, "m7") == 0) {
        *(uint32_t *)ctx = wait_ms;
    }
}

static void
start_store_site(Site *s)
{
    start_site(s, 8);
    s->load_ms = STORE_LOAD_MS;
    DepService *svc = g_hash_table_lookup(s->config->services, "s");
    GHashTableIter it;
    gpointer m;
    g_hash_table_iter_init(&it, svc->models);
    while (g_hash_table_iter_next(&it, NULL, &m)) {
        ((DepModel *)m)->load_ms = STORE_LOAD_MS;
    }
}

static void
report_waiting_for_all(Site *s)
{
    for (int i = 0; i < 8; i++) {
        g_autofree char *gateway = g_strdup_printf("g%d", i);
        g_autofree char *model = g_strdup_printf("m%d", i);
        report_demand(s, gateway, model, NULL, 1, 0);
    }
}

/* The weight store serves one load at full speed and divides its rate among
   more.  Eight models are requested at once.  They are loaded one by one; a
   second load is tried once near the end of the first and found to delay it.
   Four that started together would all have taken four times as long. */
static void
test_placement_learns_serial_store(void)
{
    Site s;
    start_store_site(&s);
    s.store_concurrency = 1;
    int overlap_ms = 0;
    uint64_t end_ms = s.now_ms + 8 * (STORE_LOAD_MS + 500);
    while (s.now_ms < end_ms) {
        report_waiting_for_all(&s);
        run_site(&s, STEP_MS, true);
        overlap_ms += count_loading(&s) > 1 ? STEP_MS : 0;
        CU_ASSERT(count_loading(&s) <= 2);
    }
    CU_ASSERT(overlap_ms <= STORE_LOAD_MS * 2 / 3);
    CU_ASSERT(count_loads(&s) >= 7);
    stop_site(&s);
}

/* A VM becomes leader while a load ordered by the former leader is in
   progress, and knows only that the upstream is carrying out an order.  It
   starts no other load meanwhile: the store serves one at full speed, so the
   model in demand would be loaded no sooner. */
static void
test_placement_waits_for_former_leaders_load(void)
{
    Site s;
    start_store_site(&s);
    s.store_concurrency = 1;
    Engine *e = &s.engines[0];
    e->loading = g_strdup("m0");
    e->left_ms = 4000;
    e->used_mb = MODEL_MB;
    e->state->sequence = 1;
    run_site(&s, 600, false);
    report_demand(&s, "g", "m1", NULL, 1, 0);
    run_site(&s, 1500, true);
    CU_ASSERT_EQUAL(count_loads(&s), 0);
    stop_site(&s);
}

/* Eight models need a store that loads one at a time.  Each update must say
   that the last of them takes many times one load.  Without an estimate its
   callers would be held until their deadline. */
static void
test_placement_always_estimates_wait(void)
{
    Site s;
    start_store_site(&s);
    s.store_concurrency = 1;
    for (int i = 0; i < 20; i++) {
        report_waiting_for_all(&s);
        run_site(&s, 100, true);
        uint32_t wait_ms = 0;
        mp_visit_waits(s.mp, s.now_ms, record_wait, &wait_ms);
        CU_ASSERT(wait_ms >= 2 * STORE_LOAD_MS);
    }
    stop_site(&s);
}

/* A store that serves many loads at full speed is recognised by loads that
   finish in time.  The next leader starts from the former one's estimate. */
static void
test_placement_learns_parallel_store(void)
{
    Site s;
    start_store_site(&s);
    int max_loading = 0;
    uint64_t end_ms = s.now_ms + 2 * STORE_LOAD_MS;
    while (s.now_ms < end_ms) {
        report_waiting_for_all(&s);
        run_site(&s, STEP_MS, true);
        max_loading = MAX(max_loading, count_loading(&s));
    }
    CU_ASSERT(max_loading >= 3);
    MpStoreLimits learnt = mp_get_store_limits(s.mp);
    CU_ASSERT(learnt.at_once >= 3);
    stop_site(&s);
    start_store_site(&s);
    mp_set_store_limits(s.mp, learnt);
    report_waiting_for_all(&s);
    run_site(&s, 300, true);
    CU_ASSERT(count_loads(&s) >= 3);
    stop_site(&s);
}

/* An upstream rewrites its entry at each heartbeat and after each order, with
   a number that counts these writes.  Guards against taking them for orders of
   another leader: its content was then suspected after each load, and callers
   waited 0.4 s for a report, longer than for the load itself. */
static void
test_placement_heartbeats_are_not_orders(void)
{
    Site s;
    start_site(&s, 3);
    for (int i = 0; i < ENGINES; i++) {
        g_ptr_array_add(s.engines[i].state->on_disk, g_strdup("m0"));
    }
    run_site(&s, 200, true);
    report_waiting(&s, "g", "m0", NULL, 1);
    run_site(&s, 100, true);
    Engine *e = NULL;
    for (int i = 0; i < ENGINES; i++) {
        Engine *x = &s.engines[i];
        e = x->loading ? x : e;
        x->report_requests = 0;
        DepUpstream *entry = make_upstream(x->state->id, "s", NULL);
        entry->sequence = 9;
        mp_on_entry(s.mp, s.now_ms, entry);
        dep_destroy_upstream(entry);
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(e);
    run_site(&s, LOAD_MS, true);
    CU_ASSERT(g_hash_table_contains(e->usable, "m0"));
    CU_ASSERT_EQUAL(e->report_requests, 0);
    stop_site(&s);
}

/* An order of a former leader takes effect seconds late and loads a model that
   the leader does not expect.  The upstream's entry shows it, and a report is
   requested. */
static void
test_placement_checks_unexpected_entry(void)
{
    Site s;
    start_site(&s, 3);
    run_site(&s, 3000, true);
    Engine *e = &s.engines[0];
    dep_add_resident(e->state, "m2");
    e->used_mb = MODEL_MB;
    e->state->sequence++;
    mp_on_entry(s.mp, s.now_ms, e->state);
    run_site(&s, 100, true);
    CU_ASSERT(g_hash_table_contains(e->usable, "m2"));
    stop_site(&s);
}

/* A caller with a long deadline waits for a rare model.  Then a model with
   twenty requests a second loses its last replica, and these are refused at
   once, since a load from the weight store takes longer than they can wait.
   The store serves one load, which must be that of the second model.  In the
   order of waiting requests it was loaded after each rare model, 27 s
   later. */
static void
test_placement_prefers_higher_arrival_rate(void)
{
    Site s;
    start_store_site(&s);
    run_site(&s, 200, false);
    for (int i = 0; i < 10; i++) {
        report_demand(&s, "g0", "m0", NULL, 1, 0);
        report_demand(&s, "g1", "m1", NULL, 0, 4);
        run_site(&s, 200, i == 9);
    }
    CU_ASSERT_EQUAL(count_loads(&s), 1);
    for (int i = 0; i < ENGINES; i++) {
        const Engine *e = &s.engines[i];
        CU_ASSERT(!e->loading || strcmp(e->loading, "m1") == 0);
    }
    stop_site(&s);
}

/* All upstreams are full of idle models, and a report of each is requested.  A
   model in demand then gets a slot at once: a report must not make idle models
   count as recently used. */
static void
test_placement_evicts_idle_after_reports(void)
{
    Site s;
    start_site(&s, 9);
    for (int i = 0; i < 8; i++) {
        g_autofree char *model = g_strdup_printf("m%d", i);
        report_waiting(&s, "g", model, NULL, 1);
        run_site(&s, 1000, true);
    }
    report_waiting(&s, "g", "m7", NULL, 0);
    run_site(&s, 1500, true);
    int before = count_loads(&s);
    CU_ASSERT_EQUAL(before, 8);
    for (int i = 0; i < ENGINES; i++) {
        mp_on_suspected(s.mp, s.now_ms, s.engines[i].state->id);
    }
    run_site(&s, 60, true);
    report_waiting(&s, "g", "m8", NULL, 1);
    run_site(&s, 200, true);
    CU_ASSERT_EQUAL(count_loads(&s), before + 1);
    stop_site(&s);
}

/* A gateway that is cut off waits for a model that was loaded long ago.
   Reports of its upstream are requested now and then, but it stays in use.
   Guards against suspecting it at each check: it then got no order for twenty
   seconds, and new models found fewer slots. */
static void
test_placement_suspicion_keeps_upstream_in_use(void)
{
    Site s;
    start_site(&s, 3);
    for (int i = 1; i < ENGINES; i++) {
        mp_on_removed(s.mp, s.engines[i].state->id);
    }
    Engine *e = &s.engines[0];
    report_waiting(&s, "g", "m0", NULL, 1);
    run_site(&s, 1500, true);
    e->report_requests = 0;
    for (int i = 0; i < 10; i++) {
        report_waiting(&s, "cut", "m0", NULL, 1);
        run_site(&s, 200, true);
    }
    CU_ASSERT(e->report_requests >= 1 && e->report_requests <= 3);
    report_waiting(&s, "g", "m1", NULL, 1);
    run_site(&s, 80, true);
    CU_ASSERT_EQUAL(e->loads, 2);
    stop_site(&s);
}

/* Guards against a leader without a path to an upstream that has all gateways
   leave it alone: it can't send its order, but the upstream reports, by way of
   another gateway. */
static void
test_placement_unsent_order_says_nothing_of_the_upstream(void)
{
    Site s;
    start_site(&s, 3);
    for (int i = 1; i < ENGINES; i++) {
        mp_on_removed(s.mp, s.engines[i].state->id);
    }
    Engine *e = &s.engines[0];
    run_site(&s, 400, true);
    e->report_requests = 0;
    e->cut = true;
    report_waiting(&s, "g", "m0", NULL, 1);
    run_site(&s, 3000, true);
    CU_ASSERT_EQUAL(e->loads, 0);
    CU_ASSERT_EQUAL(e->reported_unreachable, 0);
    CU_ASSERT(e->report_requests >= 1 && e->report_requests <= 10);
    e->cut = false;
    report_waiting(&s, "g", "m0", NULL, 1);
    run_site(&s, 3000, true);
    CU_ASSERT_EQUAL(e->loads, 1);
    stop_site(&s);
}

/* SLOW: each of the requests is about to be late. */
static void
report_uses(Site *s, const char *gateway, const char *model, uint32_t running,
            uint32_t arrived, bool slow)
{
    DmDemand *d = dm_create_demand(true);
    DmModelDemand *w = dm_add_model_demand(d, model, NULL);
    w->running = running;
    w->arrived = arrived;
    for (int i = 0; i < ENGINES; i++) {
        Engine *e = &s->engines[i];
        if (running > 0 && dep_find_resident(e->state->models, model)) {
            DmUse *u = dm_add_use(d, e->state->id, model, NULL);
            u->running = 1;
            u->slow = slow;
        }
    }
    apply_demand(s, gateway, d);
}

static void
report_running(Site *s, const char *gateway, const char *model,
               uint32_t running, uint32_t arrived)
{
    report_uses(s, gateway, model, running, arrived, false);
}

static int
count_replicas(const Site *s, const char *model)
{
    int n = 0;
    for (int i = 0; i < ENGINES; i++) {
        n += dep_find_resident(s->engines[i].state->models, model) != NULL;
    }
    return n;
}

/* Seven models hold all other slots and get one request a second each.  The
   load of an eighth rises to 36 concurrent requests on its one replica, where
   twice what it serves well makes nearly all answers late.  It takes slots of
   the others, whose few callers have time for a load, until it has enough. */
static void
test_placement_popular_model_gets_slots(void)
{
    Site s;
    start_site(&s, 8);
    for (int i = 0; i < 8; i++) {
        g_autofree char *model = g_strdup_printf("m%d", i);
        report_waiting(&s, model, model, NULL, 1);
        run_site(&s, 1000, true);
    }
    CU_ASSERT_EQUAL(count_replicas(&s, "m0"), 1);
    for (int t = 0; t < 20; t++) {
        report_running(&s, "m0", "m0", 36, 10);
        for (int i = 1; i < 8 && t % 5 == 0; i++) {
            g_autofree char *model = g_strdup_printf("m%d", i);
            report_running(&s, model, model, 0, 1);
        }
        run_site(&s, 200, true);
    }
    CU_ASSERT(count_replicas(&s, "m0") >= 2);
    CU_ASSERT(count_replicas(&s, "m0") <= 3);
    stop_site(&s);
}

/* Guards against a model that takes slots of others although its few requests
   are slow for another reason than too many concurrent ones. */
static void
test_placement_few_slow_requests_take_no_slots(void)
{
    Site s;
    start_site(&s, 8);
    for (int i = 0; i < 8; i++) {
        g_autofree char *model = g_strdup_printf("m%d", i);
        report_waiting(&s, model, model, NULL, 1);
        run_site(&s, 1000, true);
    }
    int before = count_loads(&s);
    for (int t = 0; t < 50; t++) {
        report_uses(&s, "m0", "m0", 6, 1, true);
        for (int i = 1; i < 8 && t % 5 == 0; i++) {
            g_autofree char *model = g_strdup_printf("m%d", i);
            report_running(&s, model, model, 0, 1);
        }
        run_site(&s, 200, true);
    }
    CU_ASSERT_EQUAL(count_replicas(&s, "m0"), 1);
    CU_ASSERT_EQUAL(count_loads(&s), before);
    stop_site(&s);
}

static uint32_t
count_cut_off(const Site *s, const char *linked)
{
    uint32_t all = 0;
    uint32_t cut_off = 0;
    g_autoptr(GHashTable) set = g_hash_table_new(g_str_hash, g_str_equal);
    g_hash_table_add(set, (void *)linked);
    mp_count_cut_off(s->mp, s->now_ms, set, &all, &cut_off);
    CU_ASSERT_EQUAL(all, ENGINES);
    return cut_off;
}

/* Guards against a leader that yields its lease because upstreams crashed: no
   other VM reaches them either, and no orders are sent until the guard
   interval is over.  If other gateways still use them, or their data centre is
   out of reach as well, it is a network partition. */
static void
test_placement_tells_crash_from_partition(void)
{
    Site s;
    start_site(&s, 3);
    run_site(&s, 300, true);
    for (int i = 0; i < ENGINES - 1; i++) {
        s.engines[i].down = true;
        mp_on_suspected(s.mp, s.now_ms, s.engines[i].state->id);
    }
    run_site(&s, 2000, true);
    CU_ASSERT_EQUAL(count_cut_off(&s, s.engines[0].state->data_centre), 0);
    CU_ASSERT_EQUAL(count_cut_off(&s, "elsewhere"), ENGINES - 1);
    DmDemand *d = dm_create_demand(true);
    dm_add_answer_starts(d, "u0", 1);
    apply_demand(&s, "g", d);
    CU_ASSERT_EQUAL(count_cut_off(&s, s.engines[0].state->data_centre), 1);
    stop_site(&s);
}

/* Two models fill an upstream each and have replicas to spare; other upstreams
   have free memory.  A third model is loaded there, and nothing is unloaded
   for it. */
static void
test_placement_uses_free_memory_first(void)
{
    Site s;
    start_site(&s, 3);
    for (int i = 0; i < 2; i++) {
        for (int m = 0; m < 2; m++) {
            g_autofree char *model = g_strdup_printf("m%d", m);
            dep_add_resident(s.engines[i].state, model);
        }
        s.engines[i].used_mb = 2 * MODEL_MB;
    }
    run_site(&s, 1500, true);
    report_waiting(&s, "g", "m2", NULL, 1);
    run_site(&s, 200, true);
    CU_ASSERT_EQUAL(count_loads(&s), 1);
    for (int i = 0; i < ENGINES; i++) {
        CU_ASSERT_EQUAL(s.engines[i].unloads, 0);
    }
    stop_site(&s);
}

/* Nine models, room for eight, and no upstream keeps a local copy of the
   weights of an unloaded model.  There are no requests: one model is not
   loaded and stays so.  Guards against models that take each other's slots in
   turn without end. */
static void
test_placement_is_stable_without_local_copies(void)
{
    Site s;
    start_site(&s, 9);
    MpParams p = {true};
    MpOutput out = {&s,
                    site_order,
                    site_request_report,
                    site_publish,
                    site_mark_unreachable,
                    site_capacity_estimated};
    mp_destroy(s.mp);
    s.mp = mp_create(&p, &out);
    mp_on_config(s.mp, s.config);
    for (int i = 0; i < ENGINES; i++) {
        mp_on_entry(s.mp, s.now_ms, s.engines[i].state);
    }
    mp_on_lease_gained(s.mp, s.now_ms);
    for (int t = 0; t < 60; t++) {
        run_site(&s, 500, true);
        for (int i = 0; i < ENGINES; i++) {
            mp_on_entry(s.mp, s.now_ms, s.engines[i].state);
        }
    }
    CU_ASSERT(count_loads(&s) >= 8 && count_loads(&s) <= 9);
    stop_site(&s);
}

/* All replicas are in use when the load of another model rises.  The victim
   gets no new requests, and its unload is ordered when its last request has
   ended.  Ordered at once, the unload would keep the upstream from all other
   orders until then, and the load would be refused again and again. */
static void
test_placement_victim_finishes_requests(void)
{
    Site s;
    start_site(&s, 3);
    for (int i = 1; i < ENGINES; i++) {
        mp_on_removed(s.mp, s.engines[i].state->id);
    }
    Engine *e = &s.engines[0];
    for (int i = 0; i < 2; i++) {
        g_autofree char *model = g_strdup_printf("m%d", i);
        report_waiting(&s, "g", model, NULL, 1);
        run_site(&s, 1500, true);
    }
    CU_ASSERT_EQUAL(e->state->models->len, 2);
    for (int i = 0; i < 5; i++) {
        report_running(&s, "g0", "m0", 1, 0);
        report_running(&s, "g1", "m1", 1, 0);
        report_demand(&s, "g2", "m2", NULL, 40, 8);
        run_site(&s, 200, true);
    }
    CU_ASSERT_EQUAL(e->unloads, 0);
    CU_ASSERT_EQUAL(g_hash_table_size(e->usable), 1);
    const char *kept = g_hash_table_contains(e->usable, "m0") ? "m0" : "m1";
    const char *victim = strcmp(kept, "m0") == 0 ? "m1" : "m0";
    report_running(&s, strcmp(victim, "m0") == 0 ? "g0" : "g1", victim, 0, 0);
    run_site(&s, 400, true);
    CU_ASSERT_PTR_NULL(dep_find_resident(e->state->models, victim));
    CU_ASSERT_EQUAL(e->loads, 3);
    stop_site(&s);
}

/* A load from the weight store finishes in time; another had just started
   before it ended.  That says nothing about two at once.  Guards against
   counting it: up to eight loads were started together at a store that serves
   four, took twice their time, and kept their upstreams from all other
   orders. */
static void
test_placement_ignores_brief_overlap(void)
{
    Site s;
    start_store_site(&s);
    mp_set_store_limits(s.mp, (MpStoreLimits){.at_once = 2, .most = 0});
    run_site(&s, 100, true);
    for (int t = 0; t < 8; t++) {
        report_demand(&s, "g0", "m0", NULL, 1, 0);
        report_demand(&s, "g1", "m1", NULL, t >= 5, 0);
        run_site(&s, 1000, true);
        CU_ASSERT(mp_get_store_limits(s.mp).at_once == 2);
    }
    CU_ASSERT_EQUAL(count_loads(&s), 2);
    stop_site(&s);
}

/* The store serves two loads at full speed.  Four that started together take
   twice their time.  The limit of two follows from that at once, not by
   halving. */
static void
test_placement_learns_from_late_loads(void)
{
    Site s;
    start_store_site(&s);
    s.store_concurrency = 2;
    mp_set_store_limits(s.mp, (MpStoreLimits){.at_once = 4, .most = 0});
    run_site(&s, 100, true);
    for (int t = 0; t < 14; t++) {
        report_waiting_for_all(&s);
        run_site(&s, 1000, true);
    }
    CU_ASSERT_EQUAL(mp_get_store_limits(s.mp).most, 2);
    CU_ASSERT_EQUAL(mp_get_store_limits(s.mp).at_once, 2);
    stop_site(&s);
}

/* ---- routes ------------------------------------------------------------- */

static DepUpstream *
make_versioned(const char *id, const char *version)
{
    DepUpstream *u = make_upstream(id, "s", "m0");
    u->version = g_strdup(version);
    return u;
}

/* Guards against taking upstreams whose version a gateway of a former release
   left out for ones of a single version. */
static void
test_version_that_isnt_told_is_not_known(void)
{
    UtSet *s = make_set(0, NULL);
    ut_on_entry(s, 0, make_versioned("u0", NULL));
    ut_on_entry(s, 0, make_versioned("u1", NULL));
    CU_ASSERT_TRUE(ut_lacks_versions(s));
    CU_ASSERT_PTR_NULL(ut_find_only_version(s, "s"));
    CU_ASSERT_TRUE(ut_on_entry(s, 1, make_versioned("u0", "v1")));
    CU_ASSERT_TRUE(ut_lacks_versions(s));
    CU_ASSERT_TRUE(ut_on_entry(s, 1, make_versioned("u1", "v1")));
    CU_ASSERT_FALSE(ut_lacks_versions(s));
    CU_ASSERT_FALSE(ut_on_entry(s, 2, make_versioned("u0", NULL)));
    CU_ASSERT_FALSE(ut_lacks_versions(s));
    CU_ASSERT_STRING_EQUAL(ut_find_only_version(s, "s"), "v1");
    CU_ASSERT_TRUE(ut_on_entry(s, 3, make_versioned("u0", "v2")));
    CU_ASSERT_PTR_NULL(ut_find_only_version(s, "s"));
    ut_on_entry(s, 4, make_versioned("u2", NULL));
    CU_ASSERT_TRUE(ut_lacks_versions(s));
    ut_on_gone(s, 5, "u2");
    CU_ASSERT_FALSE(ut_lacks_versions(s));
    ut_destroy(s);
}

static void
test_route_split(void)
{
    DepConfig *c = dep_create_config();
    DepRoute *r = dep_add_route(c);
    r->host = g_strdup("h");
    r->prefix = g_strdup("/a/");
    DepSplit one = {g_strdup("one"), 90};
    DepSplit two = {g_strdup("two"), 10};
    g_array_append_val(r->splits, one);
    g_array_append_val(r->splits, two);
    dep_index_routes(c);
    CU_ASSERT_PTR_EQUAL(dep_find_route(c, "H:80", "/a/b"), r);
    CU_ASSERT_PTR_NULL(dep_find_route(c, "h", "/ab"));
    int second = 0;
    for (uint64_t i = 0; i < 1000; i++) {
        second += strcmp(dep_pick_service(r, i), "two") == 0;
    }
    CU_ASSERT_EQUAL(second, 100);
    dep_unref_config(c);
}

int
main(void)
{
    static const CU_TestInfo tests[] = {
        {"first leader", test_lease_first_leader},
        {"lease failover", test_lease_failover},
        {"lease expires while suspended", test_lease_expires_while_suspended},
        {"lease in random schedules", test_lease_random_schedules},
        {"guard interval starts at last order",
         test_lease_guard_starts_at_last_order},
        {"lease after restart", test_lease_after_restart},
        {"lease yielded", test_lease_yielded},
        {"lease yielded during renewal", test_lease_yielded_during_renewal},
        {"lease during shutdown", test_lease_during_shutdown},
        {"lease carries fleet size", test_lease_carries_fleet_size},
        {"budget in every window", test_budget_in_every_window},
        {"budget keeps share of lost gateways",
         test_budget_keeps_share_of_lost_gateways},
        {"budget of new gateways", test_budget_of_new_gateways},
        {"limit: new leader waits", test_limit_new_leader_waits},
        {"limit is told to new leader", test_limit_is_told_to_new_leader},
        {"limit: slots expire", test_limit_slots_expire},
        {"limit: released slot is used", test_limit_released_slot_is_used},
        {"limit without leader", test_limit_without_leader},
        {"limit rises", test_limit_rises},
        {"limit: ended is forgotten", test_limit_ended_is_forgotten},
        {"limit: lowest of last second", test_limit_lowest_of_last_second},
        {"choice balances load", test_choice_balances_load},
        {"choice avoids failing upstream", test_choice_avoids_failing},
        {"choice backs off unreachable upstream",
         test_choice_backs_off_unreachable},
        {"choice probes only replica", test_choice_probes_only_replica},
        {"choice avoids reported unreachable",
         test_choice_avoids_reported_unreachable},
        {"choice after upstream restart", test_choice_after_upstream_restart},
        {"choice keeps last placement", test_choice_keeps_last_placement},
        {"choice avoids long queues", test_choice_avoids_long_queues},
        {"choice by model", test_choice_by_model},
        {"choice after missing model", test_choice_after_missing_model},
        {"choice prefix affinity", test_choice_prefix_affinity},
        {"choice replaced upstream", test_choice_replaced_upstream},
        {"one load for a burst", test_placement_one_load_for_a_burst},
        {"waits until it may order", test_placement_waits_until_it_may_order},
        {"leaves a restarted engine until its entry",
         test_placement_leaves_a_restarted_engine_until_its_entry},
        {"never overcommits", test_placement_never_overcommits},
        {"waits for unloads", test_placement_waits_for_unloads},
        {"after refused unload", test_placement_after_refused_unload},
        {"adapters", test_placement_of_adapters},
        {"adapters take turns", test_adapters_take_turns},
        {"adapter queue begins within the tick",
         test_adapter_queue_begins_within_the_tick},
        {"replaces draining upstream", test_placement_replaces_draining},
        {"replaces unreachable upstream", test_placement_replaces_unreachable},
        {"limits report requests", test_placement_limits_report_requests},
        {"publishes queue waits", test_placement_publishes_queue_waits},
        {"counts refused requests", test_placement_counts_refused_requests},
        {"learns serial store", test_placement_learns_serial_store},
        {"waits for former leader's load",
         test_placement_waits_for_former_leaders_load},
        {"always estimates wait", test_placement_always_estimates_wait},
        {"learns parallel store", test_placement_learns_parallel_store},
        {"heartbeats are not orders",
         test_placement_heartbeats_are_not_orders},
        {"checks unexpected entry", test_placement_checks_unexpected_entry},
        {"prefers higher arrival rate",
         test_placement_prefers_higher_arrival_rate},
        {"evicts idle after reports",
         test_placement_evicts_idle_after_reports},
        {"ignores brief overlap", test_placement_ignores_brief_overlap},
        {"learns from late loads", test_placement_learns_from_late_loads},
        {"suspicion keeps upstream in use",
         test_placement_suspicion_keeps_upstream_in_use},
        {"unsent order says nothing of the upstream",
         test_placement_unsent_order_says_nothing_of_the_upstream},
        {"popular model gets slots", test_placement_popular_model_gets_slots},
        {"few slow requests take no slots",
         test_placement_few_slow_requests_take_no_slots},
        {"tells crash from partition",
         test_placement_tells_crash_from_partition},
        {"uses free memory first", test_placement_uses_free_memory_first},
        {"is stable without local copies",
         test_placement_is_stable_without_local_copies},
        {"victim finishes requests", test_placement_victim_finishes_requests},
        {"lag of saturated link", test_lag_of_saturated_link},
        {"version that isn't told is not known",
         test_version_that_isnt_told_is_not_known},
        {"route split", test_route_split},
        CU_TEST_INFO_NULL};
    static CU_SuiteInfo suites[] = {
        {"gateway", NULL, NULL, NULL, NULL, (CU_TestInfo *)tests},
        CU_SUITE_INFO_NULL};
    CU_initialize_registry();
    CU_register_suites(suites);
    CU_basic_set_mode(CU_BRM_VERBOSE);
    CU_basic_run_tests();
    unsigned int failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed ? 1 : 0;
}
