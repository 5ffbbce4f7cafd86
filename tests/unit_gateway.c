/* The gateway's decision cores, without threads, I/O or clock: the lease, the
   budget of repeats, the choice of an upstream, placement. */
#include "dep.h"
#include "lag.h"
#include "ls.h"
#include "mp.h"
#include "rb.h"
#include "ut.h"

#include <CUnit/Basic.h>
#include <string.h>

/* ---- lease -------------------------------------------------------------- */

/* A topic of the store, and processes that read and write it. */
typedef struct {
    char *newest; /* value of the newest record, or NULL */
    uint64_t tail;
} Topic;

typedef struct {
    Ls *lease;
    Topic *topic;
    bool cut; /* from the store */
    bool reading;
    uint64_t from;
    bool writing;
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
        bool news = v->topic->newest && v->topic->tail > v->from;
        ls_on_read(v->lease, now_ms, v->cut ? ST_UNREACHABLE : ST_OK,
                   news ? v->topic->newest : NULL, v->topic->tail - 1,
                   v->topic->tail);
    }
    if (v->writing) {
        v->writing = false;
        bool fits = v->at == v->topic->tail;
        if (!v->cut && fits) {
            g_free(v->topic->newest);
            v->topic->newest = g_strdup(v->value);
            v->topic->tail++;
        }
        ls_on_append(v->lease, now_ms,
                     v->cut ? ST_UNREACHABLE
                     : fits ? ST_OK
                            : ST_CONFLICT,
                     v->topic->tail - 1, v->topic->tail);
    }
}

static void
vm_run(Vm *vms, int n, uint64_t *now_ms, uint64_t for_ms)
{
    for (uint64_t end = *now_ms + for_ms; *now_ms < end; *now_ms += 20) {
        int holders = 0;
        for (int i = 0; i < n; i++) {
            ls_on_tick(vms[i].lease, *now_ms);
            vm_answer(&vms[i], *now_ms);
            holders += ls_is_leader(vms[i].lease, *now_ms);
        }
        CU_ASSERT(holders <= 1);
    }
}

/* The first VM that claims holds the lease and may order at once; it goes on
   holding it. */
static void
test_lease_first_holder(void)
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

/* The holder is cut from the store.  Its right ends by itself before another
   VM's begins, and that one's first order waits for the rest as well; its
   token is higher. */
static void
test_lease_moves_on(void)
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

/* The holder stands still for longer than its lease: at the moment it wakes
   it may order nothing, before any timer of its own has run. */
static void
test_lease_of_a_sleeper(void)
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
#define SCHEDULE_REST_MS 3000

/* What may happen to a VM for some seconds. */
typedef struct {
    Vm vm;
    uint64_t frozen_until_ms;
    uint64_t cut_until_ms;
    uint64_t lost_until_ms; /* its appends are done, their answers lost */
    uint32_t lives;
} Stressed;

static void
schedule_trouble(Stressed *x, Topic *t, uint64_t now_ms, BgRandom *rng)
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
        g_autofree char *vm = g_strdup_printf("v%u", x->lives % 10);
        g_autofree char *process =
            g_strdup_printf("%s-%u", vm, x->lives / 10 + 1);
        x->lives += 10;
        vm_stop(&x->vm);
        vm_start(&x->vm, t, vm, process);
        break;
    }
    }
}

static void
answer_stressed(Stressed *x, uint64_t now_ms)
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

/* VMs freeze, are cut from the store, lose its answers and start anew, in any
   order and together.  Upstreams that don't check tokens are harmed when two
   of them order in turn: between the orders of two VMs there must always lie
   the rest, and a later holder's token must be higher. */
static void
test_lease_random_schedules(void)
{
    int changes = 0;
    for (uint64_t seed = 1; seed <= SCHEDULE_SEEDS; seed++) {
        Topic t = {0};
        Stressed x[SCHEDULE_VMS] = {0};
        BgRandom rng;
        bg_seed_random(&rng, seed);
        for (uint32_t i = 0; i < SCHEDULE_VMS; i++) {
            g_autofree char *vm = g_strdup_printf("v%u", i);
            g_autofree char *process = g_strdup_printf("v%u-0", i);
            x[i].lives = i;
            vm_start(&x[i].vm, &t, vm, process);
        }
        int last = -1;
        uint64_t last_ms = 0;
        uint64_t token = 0;
        uint64_t from_ms = 1000;
        for (uint64_t now_ms = from_ms; now_ms < from_ms + SCHEDULE_MS;
             now_ms += 20) {
            if (bg_pick_random(&rng, 60) == 0) {
                schedule_trouble(&x[bg_pick_random(&rng, SCHEDULE_VMS)], &t,
                                 now_ms, &rng);
            }
            for (int i = 0; i < SCHEDULE_VMS; i++) {
                if (now_ms < x[i].frozen_until_ms) {
                    continue;
                }
                if (ls_may_order(x[i].vm.lease, now_ms)) {
                    bool turn = last >= 0 && last != i;
                    CU_ASSERT(!turn || now_ms >= last_ms + SCHEDULE_REST_MS);
                    CU_ASSERT(ls_get_token(x[i].vm.lease) >= token);
                    changes += turn;
                    last = i;
                    last_ms = now_ms;
                    token = ls_get_token(x[i].vm.lease);
                }
                ls_on_tick(x[i].vm.lease, now_ms);
                answer_stressed(&x[i], now_ms);
            }
        }
        for (int i = 0; i < SCHEDULE_VMS; i++) {
            vm_stop(&x[i].vm);
        }
        g_free(t.newest);
    }
    CU_ASSERT(changes > SCHEDULE_SEEDS);
}

/* The holder was last heard, and renewed, just before its VM was lost.  Its
   successor's first order comes after what the former may still have ordered
   and the rest: not also after the lease and the claim, in which nobody was
   loaded for two seconds more. */
static void
test_lease_rest_begins_with_the_last_order(void)
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

/* A new process on the holder's VM goes on without the lease's time and the
   rest: the former process is gone, and one VM is one holder. */
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

/* A holder that yields gives the lease up: another takes it without waiting
   for its end, and still rests before its first order.  The former one leaves
   it alone for the time it said. */
static void
test_lease_given_up(void)
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

/* Guards against a holder that yields while a renewal is out, is told that it
   was done, and holds the lease again. */
static void
test_lease_given_up_in_a_renewal(void)
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

/* A holder that is about to stop goes on renewing; the process after it on
   the same VM takes over and orders at once.  If none comes, another VM does
   after the lease. */
static void
test_lease_of_a_leaver(void)
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

/* A process that has just started must not take itself for one of few. */
static void
test_lease_tells_the_fleet(void)
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

/* Repeats of several gateways together stay within the service's allowance in
   every window, also when one of them starts anew in the middle. */
static void
test_budget_in_every_window(void)
{
    enum { GATEWAYS = 5, END_MS = 40000 };
    RbParams p = {10000, 0.2, 54, GATEWAYS};
    Rb *b[GATEWAYS];
    static uint32_t requests[END_MS / 10];
    static uint32_t repeats[END_MS / 10];
    memset(requests, 0, sizeof(requests));
    memset(repeats, 0, sizeof(repeats));
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
            repeats[now_ms / 10]++;
        }
    }
    for (int from = 0; from + 1000 <= END_MS / 10; from += 7) {
        uint32_t asked = 0;
        uint32_t again = 0;
        for (int i = from; i < from + 1000; i++) {
            asked += requests[i];
            again += repeats[i];
        }
        CU_ASSERT(again <= 0.2 * asked + 54);
    }
    for (int i = 0; i < GATEWAYS; i++) {
        rb_destroy(b[i]);
    }
}

/* Gateways that are cut off go on spending their part: fewer of them in sight
   don't make ours larger. */
static void
test_budget_remembers_gateways(void)
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
    UtParams p = {"z", 3};
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
test_choice_spreads(void)
{
    UtSet *s = make_set(4, NULL);
    UtQuery q = {.service = "s"};
    uint32_t most = 0;
    for (int i = 0; i < 40; i++) {
        Ut *u = NULL;
        CU_ASSERT_EQUAL(ut_choose(s, 10, &q, &u), UT_FOUND);
        ut_start(u);
        most = MAX(most, ut_get_running(u));
    }
    CU_ASSERT(most <= 12);
    ut_destroy(s);
}

/* One upstream fails what it is given at once, and so always looks idle: it
   must not draw the requests to it. */
static void
test_choice_shuns_what_fails(void)
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
    CU_ASSERT(failed < 25); /* of 200; a quarter would be 50 */
    ut_destroy(s);
}

/* An upstream that can't be reached rests, longer each time, and is tried all
   the same when there is no other. */
static void
test_choice_rests_the_dead(void)
{
    UtSet *s = make_set(2, NULL);
    UtQuery q = {.service = "s"};
    int dead = 0;
    for (uint64_t now_ms = 0; now_ms < 10000; now_ms += 10) {
        Ut *u = NULL;
        CU_ASSERT_EQUAL(ut_choose(s, now_ms, &q, &u), UT_FOUND);
        ut_start(u);
        bool bad = strcmp(ut_get_id(u), "u1") == 0;
        dead += bad;
        ut_finish(s, u, now_ms, bad ? UT_OUTCOME_UNREACHABLE : UT_OUTCOME_GOOD,
                  0, &q);
    }
    CU_ASSERT(dead >= 1 && dead < 20);
    ut_on_gone(s, 10000, "u0");
    Ut *u = NULL;
    CU_ASSERT_EQUAL(ut_choose(s, 10000, &q, &u), UT_FOUND);
    ut_destroy(s);
}

/* The only holder of a model crashes; its port refuses each connection at
   once.  What waits for it must not connect without pause (fifty callers
   would take the VM's processor for seconds), yet finds it soon after it is
   back. */
static void
test_choice_probes_the_only_holder(void)
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
   times a second: the placing VM tells of it, and tries it for all. */
static void
test_choice_leaves_what_is_told_away(void)
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
    /* Nobody tells when it is back: it is tried as if nothing was told. */
    ut_on_unreachable(s, 3030, "u1");
    CU_ASSERT_EQUAL(ut_choose(s, 9000, &q, &u), UT_FOUND);
    ut_destroy(s);
}

/* An upstream crashes and is back a second later with nothing loaded; its
   entry still lists its models, and it turns away each request for them.  Each
   costs a repeat, of which there are few: single calls find out, until its new
   content is told. */
static void
test_choice_doubts_the_restarted(void)
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

/* A relay's link carried a third of what was sent: its members heard the
   placing VM at the usual pace, and took what was true ten seconds before for
   news. */
static void
test_lag_of_a_full_link(void)
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
    /* Another link, and a clock that drifts by half a thousandth. */
    lag_reset(&l);
    for (uint64_t sent_ms = 0; sent_ms < 600000; sent_ms += 200) {
        late_ms = lag_update(&l, 5000000 + sent_ms + sent_ms / 2000, sent_ms);
        CU_ASSERT(late_ms < 50);
    }
}

/* The placing VM falls silent, and with it the store.  The entries that this
   gateway read are older than what it was told last: until it reads newer
   ones, requests go where that VM said. */
static void
test_choice_keeps_what_was_told(void)
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

/* A model that rises has two holders; more wait there than begin in time.  A
   gateway that hears of it sends nothing more behind them, and says which is
   the less busy; what has run elsewhere already goes on all the same. */
static void
test_choice_leaves_long_queues_alone(void)
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
    /* Some hold back sooner, some later, or all would send at one moment. */
    q.draw = 0;
    CU_ASSERT_EQUAL(ut_choose(s, 1100, &q, &u), UT_BUSY);
    q.max_wait_ms = 2100;
    q.draw = 99;
    CU_ASSERT_EQUAL(ut_choose(s, 1100, &q, &u), UT_FOUND);
    q.max_wait_ms = 0;
    CU_ASSERT_EQUAL(ut_choose(s, 1100, &q, &u), UT_FOUND);
    /* What was told long ago tells nothing. */
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

/* It says that it lacks the model: nothing is sent there for a while, longer
   each time, so that a wrong belief doesn't spend the budget of repeats. */
static void
test_choice_after_absence(void)
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

/* Requests that share their leading parts go to one holder while it isn't far
   more loaded than the others, and spread when it is. */
static void
test_choice_keeps_prompts_together(void)
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

/* The same id in another life, or at another address: what was learnt of the
   former is forgotten, and a call that is out there may still end. */
static void
test_choice_reborn(void)
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

/* Engines that carry orders out, with what they were ordered. */
typedef struct {
    DepUpstream *state;
    uint32_t used_mb;
    double left_ms; /* of the load, at full speed */
    char *coming;
    bool asked;
    int asks;
    int told_away;
    bool down;     /* refuses connections */
    MpOrder order; /* out, if upstream is set */
    char *order_model;
    char *order_adapter;
    int loads;
    int unloads;
    GHashTable *usable; /* set of models that gateways were told of */
} Engine;

#define ENGINES 4
#define MODEL_MB 30000
#define ENGINE_MB 83000
#define LOAD_MS 500
#define STEP_MS 20

typedef struct {
    Mp *mp;
    Dm *demand; /* of all gateways */
    DepConfig *config;
    Engine engines[ENGINES];
    int lose; /* answers of orders that are lost */
    bool refuse_unloads;
    uint32_t store_serves; /* loads at full speed; more share its rate;
                              0: any number */
    uint32_t load_ms;      /* at full speed */
    int refused;
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
site_ask(void *ctx, const DepUpstream *of)
{
    Engine *e = find_engine(ctx, of->id);
    e->asked = true;
    e->asks++;
}

static void
site_placed(void *ctx, const char *upstream, const GPtrArray *models)
{
    Engine *e = find_engine(ctx, upstream);
    g_hash_table_remove_all(e->usable);
    for (guint i = 0; i < models->len; i++) {
        const DepResident *r = models->pdata[i];
        g_hash_table_add(e->usable, g_strdup(r->name));
    }
}

static void
site_away(void *ctx, const char *upstream)
{
    Engine *e = find_engine(ctx, upstream);
    e->told_away++;
}

static void
site_judged(void *ctx, const char *model, double good, double slow,
            double load, uint32_t replicas)
{
    (void)ctx;
    (void)model;
    (void)good;
    (void)slow;
    (void)load;
    (void)replicas;
}

static MpOrderResult
carry_out(Site *s, Engine *e)
{
    const MpOrder *o = &e->order;
    if (e->coming || o->sequence != e->state->sequence) {
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
        if (r) {
            e->used_mb -= MODEL_MB;
            g_ptr_array_remove(e->state->models, r);
        }
        return MP_ORDER_ACCEPTED;
    }
    e->loads++;
    e->used_mb += MODEL_MB;
    s->overcommitted = s->overcommitted || e->used_mb > ENGINE_MB;
    e->coming = g_strdup(e->order_model);
    e->left_ms = s->load_ms;
    return MP_ORDER_ACCEPTED;
}

static int
count_loading(const Site *s)
{
    int n = 0;
    for (int i = 0; i < ENGINES; i++) {
        n += s->engines[i].coming != NULL;
    }
    return n;
}

static void
advance_loads(Site *s)
{
    double serves = s->store_serves ? s->store_serves : ENGINES;
    double share = MAX(count_loading(s) / serves, 1);
    for (int i = 0; i < ENGINES; i++) {
        s->engines[i].left_ms -= STEP_MS / share;
    }
}

static void
answer_engine(Site *s, Engine *e)
{
    if (e->coming && e->left_ms <= 0) {
        dep_add_resident(e->state, e->coming);
        g_clear_pointer(&e->coming, g_free);
        mp_on_entry(s->mp, s->now_ms, e->state);
    }
    if (e->order.upstream) {
        MpOrderResult end = e->down ? MP_ORDER_NOT_SENT : carry_out(s, e);
        if (s->lose > 0) {
            s->lose--;
            end = MP_ORDER_UNKNOWN;
        }
        e->order.upstream = NULL;
        g_clear_pointer(&e->order_model, g_free);
        g_clear_pointer(&e->order_adapter, g_free);
        mp_on_order_result(s->mp, s->now_ms, e->state->id, end);
    }
    if (e->asked) {
        e->asked = false;
        e->state->busy = e->coming != NULL;
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
    MpOutput out = {s,           site_order, site_ask,
                    site_placed, site_away,  site_judged};
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
        g_free(s->engines[i].coming);
        g_hash_table_destroy(s->engines[i].usable);
    }
}

#define DEMAND_LIFE_MS 2000

static void
tell_sums(Site *s)
{
    DmDemand *sums = dm_collect(s->demand, false);
    mp_on_demand(s->mp, s->now_ms, sums);
    dm_destroy_demand(sums);
}

/* DEMAND is all that GATEWAY has now; freed. */
static void
take_demand(Site *s, const char *gateway, DmDemand *demand)
{
    dm_apply(s->demand, s->now_ms, gateway, demand);
    dm_destroy_demand(demand);
    tell_sums(s);
}

static void
run_site(Site *s, uint64_t for_ms, bool may_order)
{
    uint64_t end = s->now_ms + for_ms;
    for (; s->now_ms < end; s->now_ms += STEP_MS) {
        advance_loads(s);
        dm_expire_sources(s->demand, s->now_ms, DEMAND_LIFE_MS);
        tell_sums(s);
        mp_on_tick(s->mp, s->now_ms, may_order);
        for (int i = 0; i < ENGINES; i++) {
            answer_engine(s, &s->engines[i]);
        }
    }
}

static void
say_demand(Site *s, const char *gateway, const char *model,
           const char *adapter, uint32_t waiting, uint32_t arrived)
{
    DmDemand *demand = dm_create_demand(true);
    DmModelDemand *w = dm_add_model_demand(demand, model, adapter);
    w->waiting = waiting;
    w->arrived = arrived;
    take_demand(s, gateway, demand);
}

static void
want(Site *s, const char *gateway, const char *model, const char *adapter,
     uint32_t waiting)
{
    say_demand(s, gateway, model, adapter, waiting, waiting);
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

/* A burst for one cold model reaches ten gateways at once: one load. */
static void
test_placement_one_load_for_a_burst(void)
{
    Site s;
    start_site(&s, 3);
    run_site(&s, 500, true);
    for (int i = 0; i < 10; i++) {
        g_autofree char *name = g_strdup_printf("g%d", i);
        want(&s, name, "m0", NULL, i < 3 ? 1 : 0);
    }
    run_site(&s, 400, true);
    CU_ASSERT_EQUAL(count_loads(&s), 1);
    stop_site(&s);
}

static void
test_placement_waits_for_its_right(void)
{
    Site s;
    start_site(&s, 3);
    want(&s, "g", "m0", NULL, 1);
    run_site(&s, 1000, false);
    CU_ASSERT_EQUAL(count_loads(&s), 0);
    run_site(&s, 1000, true);
    CU_ASSERT_EQUAL(count_loads(&s), 1);
    stop_site(&s);
}

/* More models than fit are asked for in turn, and every second answer to an
   order is lost: no engine is ever loaded over its memory, and each model
   comes in the end. */
static void
test_placement_never_overcommits(void)
{
    Site s;
    start_site(&s, 12);
    for (int i = 0; i < 36; i++) {
        g_autofree char *model = g_strdup_printf("m%d", i * 5 % 12);
        s.lose = i % 2;
        want(&s, "g", model, NULL, 1);
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

/* A second unload soon after a first is turned away, as its upstream is still
   at an order.  The model that was to make room must stay usable: left out of
   use it would count as held, be missed by its callers, and never be loaded
   again. */
static void
test_placement_after_refused_unload(void)
{
    Site s;
    start_site(&s, 6);
    for (int i = 1; i < ENGINES; i++) {
        mp_on_removed(s.mp, s.engines[i].state->id);
    }
    Engine *e = &s.engines[0];
    want(&s, "g", "m0", NULL, 1);
    run_site(&s, 1500, true);
    want(&s, "g", "m1", NULL, 1);
    run_site(&s, 3500, true);
    CU_ASSERT_EQUAL(e->state->models->len, 2);
    want(&s, "g", "m2", NULL, 1);
    run_site(&s, 900, true);
    CU_ASSERT_EQUAL(e->unloads, 1);
    s.refuse_unloads = true;
    want(&s, "g", "m3", NULL, 1);
    run_site(&s, 100, true);
    CU_ASSERT(s.refused > 0);
    want(&s, "g", "m4", NULL, 0);
    run_site(&s, 300, false);
    for (guint i = 0; i < e->state->models->len; i++) {
        const DepResident *r = e->state->models->pdata[i];
        CU_ASSERT(g_hash_table_contains(e->usable, r->name));
    }
    stop_site(&s);
}

/* The same for adapters, of which an engine has room for eight. */
static void
test_placement_of_adapters(void)
{
    Site s;
    start_site(&s, 2);
    for (int i = 0; i < 120; i++) {
        g_autofree char *adapter = g_strdup_printf("a%d", i % 30);
        s.lose = i % 7 == 0;
        want(&s, "g", i % 2 ? "m0" : "m1", adapter, 1);
        run_site(&s, 400, true);
    }
    stop_site(&s);
}

/* The upstream of a model that is in use says that it leaves: the model is
   loaded elsewhere before anybody misses it. */
static void
test_placement_moves_on_notice(void)
{
    Site s;
    start_site(&s, 3);
    want(&s, "g", "m0", NULL, 1);
    run_site(&s, 1500, true);
    CU_ASSERT_EQUAL(count_loads(&s), 1);
    for (int i = 0; i < ENGINES; i++) {
        if (dep_find_resident(s.engines[i].state->models, "m0")) {
            s.engines[i].state->draining = true;
            mp_on_entry(s.mp, s.now_ms, s.engines[i].state);
        }
    }
    want(&s, "g", "m0", NULL, 0);
    run_site(&s, 1000, true);
    CU_ASSERT_EQUAL(count_loads(&s), 2);
    stop_site(&s);
}

/* The only holder of a model in use crashes, and its entry stays for seconds.
   Calls break off, gateways say so; the model must be loaded from the copy
   beside another upstream at once, not when the entry lapses.  The crashed
   one is back later with nothing loaded: it is asked until it answers. */
static void
test_placement_replaces_the_unreachable(void)
{
    Site s;
    start_site(&s, 3);
    want(&s, "g", "m0", NULL, 1);
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
    want(&s, "g", "m0", NULL, 1);
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

#define MANY 1000

typedef struct {
    GPtrArray *open; /* ids, borrowed */
    guint most;
} Questions;

static void
note_question(void *ctx, const DepUpstream *of)
{
    Questions *q = ctx;
    g_ptr_array_add(q->open, of->id);
    q->most = MAX(q->most, q->open->len);
}

static void
free_upstream(void *u)
{
    dep_destroy_upstream(u);
}

static void
ignore_placed(void *ctx, const char *upstream, const GPtrArray *models)
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

/* Guards against a placing VM that takes a thousand upstreams for away, since
   it asked all of them at once and was late for their answers. */
static void
test_placement_asks_a_few_at_a_time(void)
{
    g_autoptr(GPtrArray) open = g_ptr_array_new();
    Questions q = {open, 0};
    MpOutput out = {
        .ctx = &q, .request_report = note_question, .publish = ignore_placed};
    MpParams params = {false};
    Mp *m = mp_create(&params, &out);
    DepConfig *c = make_small_config();
    mp_on_config(m, c);
    g_autoptr(GPtrArray) states =
        g_ptr_array_new_with_free_func(free_upstream);
    for (int i = 0; i < MANY; i++) {
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
    CU_ASSERT(q.most <= 100);
    CU_ASSERT_EQUAL(g_hash_table_size(answered), MANY);
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
see_load(void *ctx, const char *upstream, const MpLoad *load)
{
    SeenLoad *seen = ctx;
    if (strcmp(upstream, "u0") == 0) {
        seen->running = load->running;
        seen->wait_ms = load->wait_ms;
    }
}

/* Twenty requests wait on an upstream that begins five a second; two gateways
   say so.  One that came now would wait for four seconds: all gateways have to
   hear that, since none of them sees more than its own part. */
static void
test_placement_tells_of_queues(void)
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
            take_demand(&s, g ? "g1" : "g0", d);
        }
        run_site(&s, 200, true);
        mp_visit_loads(s.mp, s.now_ms, see_load, &seen);
    }
    CU_ASSERT_EQUAL(seen.running, 28);
    CU_ASSERT(seen.wait_ms > 3500 && seen.wait_ms < 4500);
    stop_site(&s);
}

/* A model rises; its one replica serves what it can, gateways refuse the
   rest, so that hardly anything waits.  The refused count as its load, or it
   would look served and get no second replica. */
static void
test_placement_counts_the_refused(void)
{
    Site s;
    start_site(&s, 3);
    want(&s, "g", "m0", NULL, 1);
    run_site(&s, 1500, true);
    CU_ASSERT_EQUAL(count_loads(&s), 1);
    for (int i = 0; i < 10; i++) {
        DmDemand *d = dm_create_demand(true);
        DmModelDemand *w = dm_add_model_demand(d, "m0", NULL);
        w->running = 5;
        w->refused = 10;
        take_demand(&s, "g", d);
        run_site(&s, 200, true);
    }
    CU_ASSERT(count_loads(&s) >= 3);
    stop_site(&s);
}

#define STORE_LOAD_MS 6000

static void
note_wait(void *ctx, const char *model, uint32_t wait_ms)
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
want_many(Site *s)
{
    for (int i = 0; i < 8; i++) {
        g_autofree char *gateway = g_strdup_printf("g%d", i);
        g_autofree char *model = g_strdup_printf("m%d", i);
        say_demand(s, gateway, model, NULL, 1, 0);
    }
}

/* The weight store serves one load at full speed and shares its rate among
   more.  Eight models are asked for at once: they are taken one by one, a
   second is tried once beside the end of the first, and found to make it late.
   Four begun together would all have come after four times their time. */
static void
test_placement_learns_a_narrow_store(void)
{
    Site s;
    start_store_site(&s);
    s.store_serves = 1;
    int together_ms = 0;
    uint64_t end_ms = s.now_ms + 8 * (STORE_LOAD_MS + 500);
    while (s.now_ms < end_ms) {
        want_many(&s);
        run_site(&s, STEP_MS, true);
        together_ms += count_loading(&s) > 1 ? STEP_MS : 0;
        CU_ASSERT(count_loading(&s) <= 2);
    }
    CU_ASSERT(together_ms <= STORE_LOAD_MS * 2 / 3);
    CU_ASSERT(count_loads(&s) >= 7);
    stop_site(&s);
}

/* A VM begins to place while a load that the former ordered is under way, and
   knows only that its upstream is at an order.  Nothing is begun beside it:
   the store serves one at full speed, and the wanted model would come no
   sooner. */
static void
test_placement_waits_for_a_former_load(void)
{
    Site s;
    start_store_site(&s);
    s.store_serves = 1;
    Engine *e = &s.engines[0];
    e->coming = g_strdup("m0");
    e->left_ms = 4000;
    e->used_mb = MODEL_MB;
    e->state->sequence = 1;
    run_site(&s, 600, false);
    say_demand(&s, "g", "m1", NULL, 1, 0);
    run_site(&s, 1500, true);
    CU_ASSERT_EQUAL(count_loads(&s), 0);
    stop_site(&s);
}

/* Eight models need a store that loads one at a time.  Callers of the last are
   to hear at once that it takes many times one load, each time that they are
   told anything: without an estimate they would be held to their deadline. */
static void
test_placement_always_estimates(void)
{
    Site s;
    start_store_site(&s);
    s.store_serves = 1;
    for (int i = 0; i < 20; i++) {
        want_many(&s);
        run_site(&s, 100, true);
        uint32_t wait_ms = 0;
        mp_visit_waits(s.mp, s.now_ms, note_wait, &wait_ms);
        CU_ASSERT(wait_ms >= 2 * STORE_LOAD_MS);
    }
    stop_site(&s);
}

/* A store that serves many at full speed is found out from the loads that
   come in time; the VM that places next begins with what was learnt. */
static void
test_placement_learns_a_wide_store(void)
{
    Site s;
    start_store_site(&s);
    int most = 0;
    uint64_t end_ms = s.now_ms + 2 * STORE_LOAD_MS;
    while (s.now_ms < end_ms) {
        want_many(&s);
        run_site(&s, STEP_MS, true);
        most = MAX(most, count_loading(&s));
    }
    CU_ASSERT(most >= 3);
    MpStoreLimits learnt = mp_get_store_limits(s.mp);
    CU_ASSERT(learnt.at_once >= 3);
    stop_site(&s);
    start_store_site(&s);
    mp_set_store_limits(s.mp, learnt);
    want_many(&s);
    run_site(&s, 300, true);
    CU_ASSERT(count_loads(&s) >= 3);
    stop_site(&s);
}

/* An upstream writes its entry anew at each heartbeat and after each order,
   with a number that counts these.  Taken for orders of somebody else it made
   its content doubted after each load: callers waited for a question and its
   answer, 0.4 s, longer than they waited for the load itself. */
static void
test_placement_heartbeats_are_no_orders(void)
{
    Site s;
    start_site(&s, 3);
    for (int i = 0; i < ENGINES; i++) {
        g_ptr_array_add(s.engines[i].state->on_disk, g_strdup("m0"));
    }
    run_site(&s, 200, true);
    want(&s, "g", "m0", NULL, 1);
    run_site(&s, 100, true);
    Engine *e = NULL;
    for (int i = 0; i < ENGINES; i++) {
        Engine *x = &s.engines[i];
        e = x->coming ? x : e;
        x->asks = 0;
        DepUpstream *entry = make_upstream(x->state->id, "s", NULL);
        entry->sequence = 9;
        mp_on_entry(s.mp, s.now_ms, entry);
        dep_destroy_upstream(entry);
    }
    CU_ASSERT_PTR_NOT_NULL_FATAL(e);
    run_site(&s, LOAD_MS, true);
    CU_ASSERT(g_hash_table_contains(e->usable, "m0"));
    CU_ASSERT_EQUAL(e->asks, 0);
    stop_site(&s);
}

/* An order of a VM that placed before acts seconds late and loads a model that
   nobody expects: the entry shows it, and the upstream is asked. */
static void
test_placement_looks_into_a_strange_entry(void)
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

/* A patient caller waits for a rare model; then a model that twenty callers a
   second ask for loses its last replica, and these are refused at once, since
   a load from the weight store takes longer than they stay.  The store serves
   one load, and it has to be the second model's: in the order of those that
   wait it was loaded after each rare model, 27 s later. */
static void
test_placement_counts_whom_it_misses(void)
{
    Site s;
    start_store_site(&s);
    run_site(&s, 200, false);
    for (int i = 0; i < 10; i++) {
        say_demand(&s, "g0", "m0", NULL, 1, 0);
        say_demand(&s, "g1", "m1", NULL, 0, 4);
        run_site(&s, 200, i == 9);
    }
    CU_ASSERT_EQUAL(count_loads(&s), 1);
    for (int i = 0; i < ENGINES; i++) {
        const Engine *e = &s.engines[i];
        CU_ASSERT(!e->coming || strcmp(e->coming, "m1") == 0);
    }
    stop_site(&s);
}

/* All upstreams are full of models that nobody uses just now, and each is
   asked for a report.  A model that is missed then finds room at once: what
   is idle is no newer for having been reported. */
static void
test_placement_room_after_reports(void)
{
    Site s;
    start_site(&s, 9);
    for (int i = 0; i < 8; i++) {
        g_autofree char *model = g_strdup_printf("m%d", i);
        want(&s, "g", model, NULL, 1);
        run_site(&s, 1000, true);
    }
    want(&s, "g", "m7", NULL, 0);
    run_site(&s, 1500, true);
    int before = count_loads(&s);
    CU_ASSERT_EQUAL(before, 8);
    for (int i = 0; i < ENGINES; i++) {
        mp_on_suspected(s.mp, s.now_ms, s.engines[i].state->id);
    }
    run_site(&s, 60, true);
    want(&s, "g", "m8", NULL, 1);
    run_site(&s, 200, true);
    CU_ASSERT_EQUAL(count_loads(&s), before + 1);
    stop_site(&s);
}

/* A gateway that is cut off waits for a model that others have long had.  Its
   upstream is asked, now and then, but goes on to be used: doubted at each
   look it took no order for twenty seconds, and new models found less room. */
static void
test_placement_doubt_keeps_in_use(void)
{
    Site s;
    start_site(&s, 3);
    for (int i = 1; i < ENGINES; i++) {
        mp_on_removed(s.mp, s.engines[i].state->id);
    }
    Engine *e = &s.engines[0];
    want(&s, "g", "m0", NULL, 1);
    run_site(&s, 1500, true);
    e->asks = 0;
    for (int i = 0; i < 10; i++) {
        want(&s, "cut", "m0", NULL, 1);
        run_site(&s, 200, true);
    }
    CU_ASSERT(e->asks >= 1 && e->asks <= 3);
    want(&s, "g", "m1", NULL, 1);
    run_site(&s, 80, true);
    CU_ASSERT_EQUAL(e->loads, 2);
    stop_site(&s);
}

/* SLOW: each of them is about to come late. */
static void
say_uses(Site *s, const char *gateway, const char *model, uint32_t running,
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
    take_demand(s, gateway, d);
}

static void
say_running(Site *s, const char *gateway, const char *model, uint32_t running,
            uint32_t arrived)
{
    say_uses(s, gateway, model, running, arrived, false);
}

static int
count_holders(const Site *s, const char *model)
{
    int n = 0;
    for (int i = 0; i < ENGINES; i++) {
        n += dep_find_resident(s->engines[i].state->models, model) != NULL;
    }
    return n;
}

/* Seven models hold all other places and are asked for once a second each;
   an eighth rises until 36 requests at once press its one replica, where twice
   what it serves well makes nearly all answers late.  It takes the place of
   others, whose few callers have time for a load, until it has enough. */
static void
test_placement_risen_model_gets_places(void)
{
    Site s;
    start_site(&s, 8);
    for (int i = 0; i < 8; i++) {
        g_autofree char *model = g_strdup_printf("m%d", i);
        want(&s, model, model, NULL, 1);
        run_site(&s, 1000, true);
    }
    CU_ASSERT_EQUAL(count_holders(&s, "m0"), 1);
    for (int t = 0; t < 20; t++) {
        say_running(&s, "m0", "m0", 36, 10);
        for (int i = 1; i < 8 && t % 5 == 0; i++) {
            g_autofree char *model = g_strdup_printf("m%d", i);
            say_running(&s, model, model, 0, 1);
        }
        run_site(&s, 200, true);
    }
    CU_ASSERT(count_holders(&s, "m0") >= 2);
    CU_ASSERT(count_holders(&s, "m0") <= 3);
    stop_site(&s);
}

/* Guards against a model that takes the places of others although its few
   requests are slow for another reason than too many beside them. */
static void
test_placement_few_slow_take_no_places(void)
{
    Site s;
    start_site(&s, 8);
    for (int i = 0; i < 8; i++) {
        g_autofree char *model = g_strdup_printf("m%d", i);
        want(&s, model, model, NULL, 1);
        run_site(&s, 1000, true);
    }
    int before = count_loads(&s);
    for (int t = 0; t < 50; t++) {
        say_uses(&s, "m0", "m0", 6, 1, true);
        for (int i = 1; i < 8 && t % 5 == 0; i++) {
            g_autofree char *model = g_strdup_printf("m%d", i);
            say_running(&s, model, model, 0, 1);
        }
        run_site(&s, 200, true);
    }
    CU_ASSERT_EQUAL(count_holders(&s, "m0"), 1);
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

/* Guards against a placing VM that gives its lease up since upstreams crashed:
   nobody else reaches them either, and nobody orders until the rest is over.
   Where others use them, or their data centre is out of reach as well, it is
   a cut. */
static void
test_placement_tells_crash_from_cut(void)
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
    take_demand(&s, "g", d);
    CU_ASSERT_EQUAL(count_cut_off(&s, s.engines[0].state->data_centre), 1);
    stop_site(&s);
}

/* Two models fill an upstream each and have replicas to spare; others have
   free room.  A third model is loaded into that, and nothing is unloaded for
   it. */
static void
test_placement_free_room_first(void)
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
    want(&s, "g", "m2", NULL, 1);
    run_site(&s, 200, true);
    CU_ASSERT_EQUAL(count_loads(&s), 1);
    for (int i = 0; i < ENGINES; i++) {
        CU_ASSERT_EQUAL(s.engines[i].unloads, 0);
    }
    stop_site(&s);
}

/* Nine models, of which no upstream keeps a copy once they are unloaded, and
   room for eight.  Nobody asks for them: one is missing and stays so.  Each
   had taken the place of another in turn, all day long. */
static void
test_placement_without_copies_is_calm(void)
{
    Site s;
    start_site(&s, 9);
    MpParams p = {true};
    MpOutput out = {&s,          site_order, site_ask,
                    site_placed, site_away,  site_judged};
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

/* All replicas are in use when a model rises.  The one that is to go gets no
   new requests, and its unload is ordered when its last has ended: ordered at
   once it would keep the upstream from all orders for as long, and the load
   would be turned away again and again. */
static void
test_placement_victim_ends_its_requests(void)
{
    Site s;
    start_site(&s, 3);
    for (int i = 1; i < ENGINES; i++) {
        mp_on_removed(s.mp, s.engines[i].state->id);
    }
    Engine *e = &s.engines[0];
    for (int i = 0; i < 2; i++) {
        g_autofree char *model = g_strdup_printf("m%d", i);
        want(&s, "g", model, NULL, 1);
        run_site(&s, 1500, true);
    }
    CU_ASSERT_EQUAL(e->state->models->len, 2);
    for (int i = 0; i < 5; i++) {
        say_running(&s, "g0", "m0", 1, 0);
        say_running(&s, "g1", "m1", 1, 0);
        say_demand(&s, "g2", "m2", NULL, 40, 8);
        run_site(&s, 200, true);
    }
    CU_ASSERT_EQUAL(e->unloads, 0);
    CU_ASSERT_EQUAL(g_hash_table_size(e->usable), 1);
    const char *stays = g_hash_table_contains(e->usable, "m0") ? "m0" : "m1";
    const char *goes = strcmp(stays, "m0") == 0 ? "m1" : "m0";
    say_running(&s, strcmp(goes, "m0") == 0 ? "g0" : "g1", goes, 0, 0);
    run_site(&s, 400, true);
    CU_ASSERT_PTR_NULL(dep_find_resident(e->state->models, goes));
    CU_ASSERT_EQUAL(e->loads, 3);
    stop_site(&s);
}

/* A load from the weight store comes in its time, and one that had just begun
   was beside it at its end.  That tells nothing of two at once: counted so, up
   to eight were begun side by side at a store that serves four, took twice
   their time, and kept their upstreams from all other orders. */
static void
test_placement_learns_from_loads_beside(void)
{
    Site s;
    start_store_site(&s);
    mp_set_store_limits(s.mp, (MpStoreLimits){.at_once = 2, .most = 0});
    run_site(&s, 100, true);
    for (int t = 0; t < 8; t++) {
        say_demand(&s, "g0", "m0", NULL, 1, 0);
        say_demand(&s, "g1", "m1", NULL, t >= 5, 0);
        run_site(&s, 1000, true);
        CU_ASSERT(mp_get_store_limits(s.mp).at_once == 2);
    }
    CU_ASSERT_EQUAL(count_loads(&s), 2);
    stop_site(&s);
}

/* The store serves two at full speed.  Four that were begun together come
   after twice their time: two is learnt from that at once, not by halves. */
static void
test_placement_learns_from_lateness(void)
{
    Site s;
    start_store_site(&s);
    s.store_serves = 2;
    mp_set_store_limits(s.mp, (MpStoreLimits){.at_once = 4, .most = 0});
    run_site(&s, 100, true);
    for (int t = 0; t < 14; t++) {
        want_many(&s);
        run_site(&s, 1000, true);
    }
    CU_ASSERT_EQUAL(mp_get_store_limits(s.mp).most, 2);
    CU_ASSERT_EQUAL(mp_get_store_limits(s.mp).at_once, 2);
    stop_site(&s);
}

/* ---- routes ------------------------------------------------------------- */

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
        {"first holder", test_lease_first_holder},
        {"lease moves on", test_lease_moves_on},
        {"lease of a sleeper", test_lease_of_a_sleeper},
        {"lease in random schedules", test_lease_random_schedules},
        {"rest begins with the last order",
         test_lease_rest_begins_with_the_last_order},
        {"lease after restart", test_lease_after_restart},
        {"lease given up", test_lease_given_up},
        {"lease given up in a renewal", test_lease_given_up_in_a_renewal},
        {"lease of a leaver", test_lease_of_a_leaver},
        {"lease tells the fleet", test_lease_tells_the_fleet},
        {"budget in every window", test_budget_in_every_window},
        {"budget remembers gateways", test_budget_remembers_gateways},
        {"choice spreads", test_choice_spreads},
        {"choice shuns what fails", test_choice_shuns_what_fails},
        {"choice rests the dead", test_choice_rests_the_dead},
        {"choice probes the only holder", test_choice_probes_the_only_holder},
        {"choice leaves what is told away",
         test_choice_leaves_what_is_told_away},
        {"choice doubts the restarted", test_choice_doubts_the_restarted},
        {"choice keeps what was told", test_choice_keeps_what_was_told},
        {"choice leaves long queues alone",
         test_choice_leaves_long_queues_alone},
        {"choice by model", test_choice_by_model},
        {"choice after absence", test_choice_after_absence},
        {"prompts together", test_choice_keeps_prompts_together},
        {"reborn", test_choice_reborn},
        {"one load for a burst", test_placement_one_load_for_a_burst},
        {"waits for its right", test_placement_waits_for_its_right},
        {"never overcommits", test_placement_never_overcommits},
        {"after refused unload", test_placement_after_refused_unload},
        {"adapters", test_placement_of_adapters},
        {"moves on notice", test_placement_moves_on_notice},
        {"replaces the unreachable", test_placement_replaces_the_unreachable},
        {"asks a few at a time", test_placement_asks_a_few_at_a_time},
        {"tells of queues", test_placement_tells_of_queues},
        {"counts the refused", test_placement_counts_the_refused},
        {"learns a narrow store", test_placement_learns_a_narrow_store},
        {"waits for a former load", test_placement_waits_for_a_former_load},
        {"always estimates", test_placement_always_estimates},
        {"learns a wide store", test_placement_learns_a_wide_store},
        {"heartbeats are no orders", test_placement_heartbeats_are_no_orders},
        {"looks into a strange entry",
         test_placement_looks_into_a_strange_entry},
        {"counts whom it misses", test_placement_counts_whom_it_misses},
        {"room after reports", test_placement_room_after_reports},
        {"learns from loads beside", test_placement_learns_from_loads_beside},
        {"learns from lateness", test_placement_learns_from_lateness},
        {"doubt keeps in use", test_placement_doubt_keeps_in_use},
        {"risen model gets places", test_placement_risen_model_gets_places},
        {"few slow take no places", test_placement_few_slow_take_no_places},
        {"tells crash from cut", test_placement_tells_crash_from_cut},
        {"free room first", test_placement_free_room_first},
        {"without copies is calm", test_placement_without_copies_is_calm},
        {"victim ends its requests", test_placement_victim_ends_its_requests},
        {"lag of a full link", test_lag_of_a_full_link},
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
