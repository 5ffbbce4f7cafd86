/* Simulates upstreams that ask gateways for rest when their queues are full,
   in virtual time, with delays and faults.  One command a line:

     fleet VMS UPSTREAMS      begins a scenario
     upstream SLOTS QUEUE WORK_MS
     rest MS SPREAD_PERCENT   that each refusal names
     load PER_S FROM_S TO_S   requests, at all VMs together
     patience MS              of the callers
     hop MS                   most that a message takes
     connect MS               most that a request waits for its connection
     kill VM|all AT_S         it has restarted at once, and knows nothing
     reborn UPSTREAM AT_S     another process has its id
     policy alone|burst|leader|none
                              burst: all that waited go at the end of a rest;
                              leader: one gateway's rest holds for all, and the
                              leader hands out the first requests after it;
                              none: 60 ms of pause after each refusal
     run SECONDS SEED         prints
       late     requests over the two allowed in a rest
       most     in one rest
       rests    that were asked for
       again    of these, within a second after the end of one there
       served   part of the requests, in their callers' time
       sat      of those refused, the part that had waited over 250 ms
       wait     until the answer, mean, in ms
       messages between gateways */
#include "script.h"
#include "upstream_notices.h"

#include <stdlib.h>

#define TICK_MS 20
#define GRACE_MS 500 /* from the answer until requests are late */
#define MOST_LATE 2
#define SHED_MS 60
#define SAT_MS 250
#define MAX_SENDS 6
#define AGAIN_MS 1000
#define LEADER_STEP_MS 40
#define LEADER_STEPS 10

typedef enum { POLICY_ALONE, POLICY_BURST, POLICY_LEADER, POLICY_NONE } Policy;

typedef struct {
    int vm;
    uint32_t incarnation; /* of VM */
    uint64_t born_ms;
    uint64_t sent_ms;
    uint32_t sends;
    bool waits;
    bool over;
} Request;

typedef enum { MSG_WRITE, MSG_ARRIVE, MSG_DONE, MSG_ANSWER, MSG_TOLD } Kind;

typedef struct {
    Kind kind;
    int vm; /* MSG_TOLD */
    int upstream;
    uint64_t upstream_born_ms;
    Request *request;
    uint64_t rest_ms; /* MSG_ANSWER: 0: it was served; MSG_TOLD: until then */
} Msg;

/* As the rule has it. */
typedef struct {
    int vm;
    uint32_t incarnation;
    uint64_t from_ms;
    uint64_t end_ms;
    uint32_t count;
} Promise;

typedef struct {
    char id[16];
    uint64_t born_ms;
    uint32_t running;
    GQueue queue;     /* Request */
    GArray *promises; /* Promise */
    uint64_t last_end_ms;
    /* Policy leader. */
    uint64_t told_ms;
    uint64_t first_ms;
    uint32_t granted;
} Upstream;

typedef struct {
    Un *notices;
    uint32_t incarnation;
    GPtrArray *waiting; /* Request */
    uint64_t *pause_ms; /* of each upstream, by the other policies */
    uint32_t *running;
} Vm;

typedef enum { EV_KILL, EV_REBORN } EventKind;

typedef struct {
    EventKind kind;
    int who; /* -1: all */
    uint64_t at_ms;
} Event;

typedef struct {
    int vms;
    int upstreams;
    uint32_t slots;
    uint32_t queue;
    uint32_t work_ms;
    uint32_t rest_ms;
    uint32_t rest_spread;
    double per_s;
    uint64_t from_ms;
    uint64_t to_ms;
    uint32_t patience_ms;
    uint32_t hop_ms;
    uint32_t connect_ms;
    Policy policy;
    GArray *events;
    /* of a run */
    BgRandom rng;
    uint64_t now_ms;
    uint64_t length_ms;
    GArray **at; /* Msg, by time */
    Vm *vm;
    Upstream *up;
    GPtrArray *requests;
    uint64_t late;
    uint64_t most;
    uint64_t rests;
    uint64_t again;
    uint64_t served;
    uint64_t refused;
    uint64_t sat;
    uint64_t wait_ms;
    uint64_t messages;
} Sim;

/* ---- messages ----------------------------------------------------------- */

static void
post(Sim *s, uint64_t delay_ms, Msg m)
{
    uint64_t at_ms = s->now_ms + delay_ms;
    if (at_ms < s->length_ms) {
        g_array_append_val(s->at[at_ms], m);
    }
}

static uint32_t
draw(Sim *s, uint32_t most)
{
    return most ? bg_pick_random(&s->rng, most + 1) : 0;
}

static uint32_t
draw_hop(Sim *s)
{
    return 1 + draw(s, s->hop_ms - 1);
}

static UnProcess
get_process(const Upstream *u)
{
    return (UnProcess){u->id, u->born_ms};
}

/* ---- gateways ----------------------------------------------------------- */

/* Until when it may be sent. */
static uint64_t
get_patience_end_ms(const Sim *s, const Request *r)
{
    return r->born_ms + s->patience_ms - s->work_ms;
}

static uint64_t
get_leader_from_ms(const Sim *s, const Upstream *u)
{
    if (s->now_ms < u->told_ms) {
        return u->told_ms;
    }
    uint64_t step =
        u->first_ms ? (s->now_ms - u->first_ms) / LEADER_STEP_MS : 0;
    if (u->told_ms == 0 || step >= LEADER_STEPS ||
        u->granted < (2ULL << step) - 1) {
        return s->now_ms;
    }
    return u->first_ms + (step + 1) * LEADER_STEP_MS;
}

/* When VM may send to UPSTREAM; now_ms: at once. */
static uint64_t
get_from_ms(const Sim *s, const Vm *v, int upstream)
{
    const Upstream *u = &s->up[upstream];
    uint64_t from_ms = s->now_ms;
    if (s->policy == POLICY_ALONE) {
        UnProcess p = get_process(u);
        (void)un_check(v->notices, s->now_ms, &p, v->running[upstream],
                       &from_ms);
    }
    else if (s->policy == POLICY_LEADER) {
        from_ms = MAX(get_leader_from_ms(s, u), v->pause_ms[upstream]);
    }
    else {
        from_ms = v->pause_ms[upstream];
    }
    return MAX(from_ms, s->now_ms);
}

static void
end_request(Sim *s, Request *r, bool served)
{
    r->over = true;
    if (served) {
        s->served++;
        s->wait_ms += s->now_ms - r->born_ms;
        return;
    }
    s->refused++;
    s->sat += s->now_ms > r->born_ms + SAT_MS;
}

static void
send_to(Sim *s, Request *r, int upstream)
{
    Vm *v = &s->vm[r->vm];
    UnProcess p = get_process(&s->up[upstream]);
    un_on_send(v->notices, s->now_ms, &p);
    if (s->policy == POLICY_LEADER && s->up[upstream].told_ms) {
        Upstream *u = &s->up[upstream];
        bool ramps = !u->first_ms ||
                     s->now_ms < u->first_ms + LEADER_STEP_MS * LEADER_STEPS;
        s->messages += ramps ? 2 : 0;
        u->first_ms = u->first_ms ? u->first_ms : s->now_ms;
        u->granted++;
    }
    v->running[upstream]++;
    r->sent_ms = s->now_ms;
    r->sends++;
    post(s, draw(s, s->connect_ms),
         (Msg){.kind = MSG_WRITE, .upstream = upstream, .request = r});
}

static bool
may_wait(const Sim *s, const Request *r)
{
    const Vm *v = &s->vm[r->vm];
    return s->policy != POLICY_ALONE ||
           un_may_wait(v->notices, s->now_ms, v->waiting->len,
                       get_patience_end_ms(s, r) - s->now_ms);
}

/* False: R waits on. */
static bool
try_request(Sim *s, Request *r)
{
    const Vm *v = &s->vm[r->vm];
    if (s->now_ms >= get_patience_end_ms(s, r)) {
        end_request(s, r, false);
        return true;
    }
    int best = -1;
    uint64_t first_ms = UINT64_MAX;
    int offset = (int)draw(s, (uint32_t)s->upstreams - 1);
    for (int i = 0; i < s->upstreams; i++) {
        int u = (i + offset) % s->upstreams;
        uint64_t from_ms = get_from_ms(s, v, u);
        first_ms = MIN(first_ms, from_ms);
        if (from_ms <= s->now_ms &&
            (best < 0 || v->running[u] < v->running[best])) {
            best = u;
        }
    }
    if (best >= 0 && r->sends < MAX_SENDS) {
        if (r->waits) {
            un_on_release(s->vm[r->vm].notices, s->now_ms);
        }
        r->waits = false;
        send_to(s, r, best);
        return true;
    }
    if (first_ms > get_patience_end_ms(s, r) || r->sends >= MAX_SENDS ||
        (!r->waits && !may_wait(s, r))) {
        end_request(s, r, false);
        return true;
    }
    r->waits = true;
    return false;
}

static gint
compare_deadlines(gconstpointer a, gconstpointer b)
{
    const Request *x = *(Request *const *)a;
    const Request *y = *(Request *const *)b;
    return x->born_ms < y->born_ms ? -1 : x->born_ms > y->born_ms;
}

static void
try_waiting(Sim *s, Vm *v)
{
    g_autoptr(GPtrArray) list = v->waiting;
    v->waiting = g_ptr_array_new();
    g_ptr_array_sort(list, compare_deadlines);
    for (guint i = 0; i < list->len; i++) {
        Request *r = list->pdata[i];
        if (!try_request(s, r)) {
            g_ptr_array_add(v->waiting, r);
        }
    }
}

static void
begin_request(Sim *s)
{
    Request *r = g_new0(Request, 1);
    g_ptr_array_add(s->requests, r);
    r->vm = (int)draw(s, (uint32_t)s->vms - 1);
    r->incarnation = s->vm[r->vm].incarnation;
    r->born_ms = s->now_ms;
    if (!try_request(s, r)) {
        g_ptr_array_add(s->vm[r->vm].waiting, r);
    }
}

static void
retry(Sim *s, Request *r)
{
    if (!try_request(s, r)) {
        g_ptr_array_add(s->vm[r->vm].waiting, r);
    }
}

static void
on_write(Sim *s, const Msg *m)
{
    Request *r = m->request;
    Vm *v = &s->vm[r->vm];
    UnProcess p = get_process(&s->up[m->upstream]);
    if (r->over || r->incarnation != v->incarnation) {
        return;
    }
    bool held = s->policy == POLICY_ALONE
                    ? !un_may_write(v->notices, s->now_ms, &p)
                    : s->policy != POLICY_NONE &&
                          get_from_ms(s, v, m->upstream) > s->now_ms &&
                          s->now_ms < v->pause_ms[m->upstream];
    if (held) {
        v->running[m->upstream]--;
        r->sends--;
        retry(s, r);
        return;
    }
    post(s, draw_hop(s),
         (Msg){.kind = MSG_ARRIVE, .upstream = m->upstream, .request = r});
}

static void
pause_others(Sim *s, int upstream, uint64_t until_ms)
{
    Upstream *u = &s->up[upstream];
    if (until_ms <= u->told_ms) {
        return;
    }
    u->told_ms = until_ms;
    u->first_ms = 0;
    u->granted = 0;
    for (int i = 0; i < s->vms; i++) {
        s->messages++;
        post(s, draw_hop(s) + draw_hop(s),
             (Msg){.kind = MSG_TOLD,
                   .vm = i,
                   .upstream = upstream,
                   .rest_ms = until_ms});
    }
}

static void
note_rest(Sim *s, Vm *v, const Msg *m)
{
    uint64_t pause_ms = s->policy == POLICY_NONE ? SHED_MS : m->rest_ms;
    v->pause_ms[m->upstream] =
        MAX(v->pause_ms[m->upstream], s->now_ms + pause_ms);
    if (s->policy == POLICY_LEADER) {
        pause_others(s, m->upstream, v->pause_ms[m->upstream]);
    }
}

static void
on_answer(Sim *s, const Msg *m)
{
    Request *r = m->request;
    Vm *v = &s->vm[r->vm];
    if (r->over || r->incarnation != v->incarnation) {
        return;
    }
    v->running[m->upstream]--;
    UnProcess p = {s->up[m->upstream].id, m->upstream_born_ms};
    UnNotice notice = {.rest = m->rest_ms ? UN_REST : UN_NO_REST,
                       .rest_ms = m->rest_ms};
    UnChange change = un_on_answer(v->notices, s->now_ms, &p, r->sent_ms,
                                   v->running[m->upstream] + 1, &notice);
    if (change.rests && s->policy == POLICY_ALONE) {
        s->messages++; /* to the leader */
    }
    if (!m->rest_ms) {
        end_request(s, r, s->now_ms <= r->born_ms + s->patience_ms);
        return;
    }
    note_rest(s, v, m);
    retry(s, r);
}

/* ---- upstreams ---------------------------------------------------------- */

static void
count_arrival(Sim *s, Upstream *u, const Request *r)
{
    for (guint i = 0; i < u->promises->len;) {
        Promise *p = &g_array_index(u->promises, Promise, i);
        if (p->end_ms < s->now_ms) {
            g_array_remove_index_fast(u->promises, i);
            continue;
        }
        i++;
        if (p->vm != r->vm || p->incarnation != r->incarnation ||
            s->now_ms <= p->from_ms) {
            continue;
        }
        p->count++;
        s->most = MAX(s->most, p->count);
        s->late += p->count > MOST_LATE;
    }
}

static void
turn_away(Sim *s, int upstream, Request *r)
{
    Upstream *u = &s->up[upstream];
    uint32_t spread = s->rest_ms * s->rest_spread / 100;
    uint64_t rest_ms = s->rest_ms - spread / 2 + draw(s, spread);
    uint64_t end_ms = s->now_ms + rest_ms;
    s->rests++;
    s->again += u->last_end_ms && s->now_ms >= u->last_end_ms &&
                s->now_ms < u->last_end_ms + AGAIN_MS;
    u->last_end_ms = end_ms;
    Promise p = {r->vm, r->incarnation, s->now_ms + GRACE_MS, end_ms, 0};
    g_array_append_val(u->promises, p);
    post(s, draw_hop(s),
         (Msg){.kind = MSG_ANSWER,
               .upstream = upstream,
               .upstream_born_ms = u->born_ms,
               .request = r,
               .rest_ms = rest_ms});
}

static void
run_request(Sim *s, int upstream, Request *r)
{
    s->up[upstream].running++;
    post(s, s->work_ms,
         (Msg){.kind = MSG_DONE,
               .upstream = upstream,
               .upstream_born_ms = s->up[upstream].born_ms,
               .request = r});
}

static void
on_arrive(Sim *s, const Msg *m)
{
    Upstream *u = &s->up[m->upstream];
    count_arrival(s, u, m->request);
    if (u->running < s->slots) {
        run_request(s, m->upstream, m->request);
    }
    else if (g_queue_get_length(&u->queue) < s->queue) {
        g_queue_push_tail(&u->queue, m->request);
    }
    else {
        turn_away(s, m->upstream, m->request);
    }
}

static void
on_done(Sim *s, const Msg *m)
{
    Upstream *u = &s->up[m->upstream];
    if (m->upstream_born_ms != u->born_ms) {
        return;
    }
    u->running--;
    post(s, draw_hop(s),
         (Msg){.kind = MSG_ANSWER,
               .upstream = m->upstream,
               .upstream_born_ms = u->born_ms,
               .request = m->request});
    Request *next = g_queue_pop_head(&u->queue);
    if (next) {
        run_request(s, m->upstream, next);
    }
}

/* ---- faults ------------------------------------------------------------- */

static void
kill_vm(Sim *s, int vm)
{
    Vm *v = &s->vm[vm];
    v->incarnation++;
    un_destroy(v->notices);
    v->notices = un_create(s->now_ms + (uint64_t)vm);
    un_on_gateways(v->notices, (uint32_t)s->vms);
    g_ptr_array_set_size(v->waiting, 0);
    memset(v->pause_ms, 0, sizeof(uint64_t) * (size_t)s->upstreams);
    memset(v->running, 0, sizeof(uint32_t) * (size_t)s->upstreams);
}

static void
replace_upstream(Sim *s, int upstream)
{
    Upstream *u = &s->up[upstream];
    u->born_ms = s->now_ms;
    u->running = 0;
    g_queue_clear(&u->queue);
    g_array_set_size(u->promises, 0);
    for (int i = 0; i < s->vms; i++) {
        s->vm[i].pause_ms[upstream] = 0;
    }
}

static void
apply_events(Sim *s)
{
    for (guint i = 0; i < s->events->len; i++) {
        const Event *e = &g_array_index(s->events, Event, i);
        if (e->at_ms != s->now_ms) {
            continue;
        }
        if (e->kind == EV_REBORN) {
            replace_upstream(s, e->who % s->upstreams);
            continue;
        }
        for (int v = 0; v < s->vms; v++) {
            if (e->who < 0 || e->who == v) {
                kill_vm(s, v);
            }
        }
    }
}

/* ---- a run -------------------------------------------------------------- */

static void
handle(Sim *s, const Msg *m)
{
    switch (m->kind) {
    case MSG_WRITE:
        on_write(s, m);
        break;
    case MSG_ARRIVE:
        on_arrive(s, m);
        break;
    case MSG_DONE:
        on_done(s, m);
        break;
    case MSG_ANSWER:
        on_answer(s, m);
        break;
    case MSG_TOLD:
        s->vm[m->vm].pause_ms[m->upstream] =
            MAX(s->vm[m->vm].pause_ms[m->upstream], m->rest_ms);
        break;
    }
}

static void
create_all(Sim *s, uint64_t seed)
{
    bg_seed_random(&s->rng, seed);
    s->requests = g_ptr_array_new_with_free_func(g_free);
    s->at = g_new0(GArray *, s->length_ms);
    for (uint64_t t = 0; t < s->length_ms; t++) {
        s->at[t] = g_array_new(FALSE, FALSE, sizeof(Msg));
    }
    s->up = g_new0(Upstream, s->upstreams);
    for (int i = 0; i < s->upstreams; i++) {
        (void)g_snprintf(s->up[i].id, sizeof(s->up[i].id), "u%d", i);
        s->up[i].born_ms = 1;
        s->up[i].promises = g_array_new(FALSE, FALSE, sizeof(Promise));
        g_queue_init(&s->up[i].queue);
    }
    s->vm = g_new0(Vm, s->vms);
    for (int i = 0; i < s->vms; i++) {
        Vm *v = &s->vm[i];
        v->notices = un_create(seed * 1000 + (uint64_t)i);
        un_on_gateways(v->notices, (uint32_t)s->vms);
        v->waiting = g_ptr_array_new();
        v->pause_ms = g_new0(uint64_t, s->upstreams);
        v->running = g_new0(uint32_t, s->upstreams);
    }
}

static void
destroy_all(Sim *s)
{
    for (int i = 0; i < s->vms; i++) {
        un_destroy(s->vm[i].notices);
        g_ptr_array_free(s->vm[i].waiting, TRUE);
        g_free(s->vm[i].pause_ms);
        g_free(s->vm[i].running);
    }
    for (int i = 0; i < s->upstreams; i++) {
        g_array_free(s->up[i].promises, TRUE);
        g_queue_clear(&s->up[i].queue);
    }
    for (uint64_t t = 0; t < s->length_ms; t++) {
        g_array_free(s->at[t], TRUE);
    }
    g_free(s->at);
    g_free(s->vm);
    g_free(s->up);
    g_ptr_array_free(s->requests, TRUE);
}

static void
step(Sim *s, double *due)
{
    apply_events(s);
    *due +=
        s->now_ms >= s->from_ms && s->now_ms < s->to_ms ? s->per_s / 1000 : 0;
    for (; *due >= 1; *due -= 1) {
        begin_request(s);
    }
    /* A handler may add messages to the same time. */
    for (guint i = 0; i < s->at[s->now_ms]->len; i++) {
        Msg m = g_array_index(s->at[s->now_ms], Msg, i);
        handle(s, &m);
    }
    for (int i = 0; i < s->vms; i++) {
        if ((s->now_ms + (uint64_t)i) % TICK_MS == 0) {
            try_waiting(s, &s->vm[i]);
            un_on_tick(s->vm[i].notices, s->now_ms, NULL, NULL);
        }
    }
}

static void
run(Sim *s, double seconds, uint64_t seed)
{
    s->length_ms = (uint64_t)(seconds * 1000);
    s->late = s->most = s->rests = s->again = s->served = s->refused = 0;
    s->sat = s->wait_ms = s->messages = 0;
    create_all(s, seed);
    double due = 0;
    for (s->now_ms = 1; s->now_ms < s->length_ms; s->now_ms++) {
        step(s, &due);
    }
    uint64_t asked = MAX(s->requests->len, 1);
    printf("late %llu most %llu rests %llu again %llu served %.2f sat %.2f "
           "wait %llu messages %llu\n",
           (unsigned long long)s->late, (unsigned long long)s->most,
           (unsigned long long)s->rests, (unsigned long long)s->again,
           (double)s->served / (double)asked,
           (double)s->sat / (double)MAX(s->refused, 1),
           (unsigned long long)(s->wait_ms / MAX(s->served, 1)),
           (unsigned long long)s->messages);
    destroy_all(s);
}

/* ---- commands ----------------------------------------------------------- */

static void
begin_fleet(Sim *s, int vms, int upstreams)
{
    if (s->events) {
        g_array_free(s->events, TRUE);
    }
    *s = (Sim){.vms = vms,
               .upstreams = upstreams,
               .slots = 8,
               .queue = 4,
               .work_ms = 200,
               .rest_ms = 3000,
               .patience_ms = 4000,
               .hop_ms = 2,
               .connect_ms = 2,
               .events = g_array_new(FALSE, FALSE, sizeof(Event))};
}

static void
add_event(Sim *s, EventKind kind, const char *who, const char *at_s)
{
    Event e = {kind, strcmp(who, "all") == 0 ? -1 : atoi(who),
               (uint64_t)(strtod(at_s, NULL) * 1000)};
    g_array_append_val(s->events, e);
}

static bool
read_policy(Sim *s, const char *name)
{
    static const char *const names[] = {"alone", "burst", "leader", "none"};
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        if (strcmp(name, names[i]) == 0) {
            s->policy = (Policy)i;
            return true;
        }
    }
    return false;
}

static bool
run_line(void *ctx, char **w, int n)
{
    Sim *s = ctx;
    uint32_t a = n > 1 ? (uint32_t)strtoul(w[1], NULL, 10) : 0;
    uint32_t b = n > 2 ? (uint32_t)strtoul(w[2], NULL, 10) : 0;
    if (strcmp(w[0], "fleet") == 0 && n == 3) {
        begin_fleet(s, (int)a, (int)b);
        return a > 0 && b > 0;
    }
    if (!s->events) {
        return false;
    }
    if (strcmp(w[0], "upstream") == 0 && n == 4) {
        s->slots = a;
        s->queue = b;
        s->work_ms = (uint32_t)strtoul(w[3], NULL, 10);
    }
    else if (strcmp(w[0], "rest") == 0 && n == 3) {
        s->rest_ms = a;
        s->rest_spread = b;
    }
    else if (strcmp(w[0], "load") == 0 && n == 4) {
        s->per_s = strtod(w[1], NULL);
        s->from_ms = (uint64_t)(strtod(w[2], NULL) * 1000);
        s->to_ms = (uint64_t)(strtod(w[3], NULL) * 1000);
    }
    else if (strcmp(w[0], "patience") == 0 && n == 2) {
        s->patience_ms = a;
    }
    else if (strcmp(w[0], "hop") == 0 && n == 2 && a > 0) {
        s->hop_ms = a;
    }
    else if (strcmp(w[0], "connect") == 0 && n == 2) {
        s->connect_ms = a;
    }
    else if (strcmp(w[0], "kill") == 0 && n == 3) {
        add_event(s, EV_KILL, w[1], w[2]);
    }
    else if (strcmp(w[0], "reborn") == 0 && n == 3) {
        add_event(s, EV_REBORN, w[1], w[2]);
    }
    else if (strcmp(w[0], "policy") == 0 && n == 2) {
        return read_policy(s, w[1]);
    }
    else if (strcmp(w[0], "run") == 0 && n == 3) {
        run(s, strtod(w[1], NULL), strtoull(w[2], NULL, 10));
    }
    else {
        return false;
    }
    return true;
}

int
main(void)
{
    Sim s = {0};
    int status = script_run(run_line, &s);
    if (s.events) {
        g_array_free(s.events, TRUE);
    }
    return status;
}
