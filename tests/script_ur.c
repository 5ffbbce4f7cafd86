/* Simulates brittle upstreams (ur) before a fleet of gateways in virtual time,
   with a leader, delays and faults.  One command a line:

     fleet VMS UPSTREAMS      begins a scenario
     bears REJECTS_PER_S      an upstream falls over beyond this
     room SLOTS AT_S          of each upstream, from then on
     work MS SPREAD_PERCENT   time of a request there
     load PER_S FROM_S TO_S   requests, at all VMs together
     wait MS                  longest wait of a request for a slot
     hop MS                   most that a message takes, to a VM or an upstream
     cut VM FROM_S TO_S       it and the leader don't hear each other
     kill leader|all|VM AT_S DOWN_S
     policy slots|local|free  local: each gateway learns the room by itself;
                              free: it waits after a request was turned away
     run SECONDS SEED         prints
       falls    of all upstreams, from the third second on
       used     part of the room, from then on, while they are up
       away     requests turned away a second
       refused  part of the requests that weren't sent */
#include "script.h"
#include "upstream_limits.h"
#include "upstream_room.h"

#include <stdlib.h>

#define FAILOVER_MS 1800 /* from the loss of the leader to the next one */
#define LEADER_TIMEOUT_MS 1000
#define TICK_MS 20
#define DOWN_MS 1500  /* of an upstream that fell */
#define LINGER_MS 3   /* a place is free so long after the answer, at most */
#define GRACE_MS 3000 /* from the begin to what is judged */
#define SHED_MS 500   /* policy free: no request after one was turned away */
#define NO_VM (-1)

typedef enum { POLICY_SLOTS, POLICY_LOCAL, POLICY_FREE } Policy;

typedef enum {
    MSG_ASK,
    MSG_SLOT,
    MSG_OVER,
    MSG_HELD,
    MSG_REQUEST,
    MSG_FREE,
    MSG_ANSWER
} MsgKind;

typedef struct {
    uint64_t at_ms;
    uint64_t order; /* of equal times */
    MsgKind kind;
    int vm; /* that asked */
    int to; /* VM; of MSG_REQUEST and MSG_FREE the upstream */
    int upstream;
    uint32_t incarnation; /* of VM; of MSG_FREE of the upstream */
    UlTicket ticket;
    bool granted;
    uint32_t wait_ms;
    UrEnd end;
} Msg;

typedef struct {
    UlTicket ticket;
    int upstream;
    uint64_t until_ms;
} Want;

typedef struct {
    UlTicket ticket;
    int upstream;
} Running;

typedef struct Sim Sim;

/* Whose rooms answer. */
typedef struct {
    Sim *sim;
    int vm;
} VmCtx;

typedef struct {
    VmCtx ctx;
    Ul *limits;
    Ur *rooms;
    uint32_t incarnation;
    uint64_t down_until_ms;
    uint64_t heard_ms;
    int linked; /* leader that was told what this one holds */
    uint32_t linked_incarnation;
    GArray *wants;     /* Want */
    GArray *runs;      /* Running */
    uint64_t *shed_ms; /* of each upstream: nothing is sent before */
} Vm;

typedef struct {
    uint32_t inside;
    uint32_t incarnation;
    uint64_t up_ms;
    GArray *rejected_ms;
} Upstream;

typedef enum { EV_LOAD, EV_ROOM, EV_CUT, EV_KILL } EventKind;
enum { WHO_LEADER = -2, WHO_ALL = -1 };

typedef struct {
    EventKind kind;
    int who;
    double a;
    uint64_t from_ms;
    uint64_t to_ms;
    bool begun;
} Event;

struct Sim {
    int vms;
    int upstreams;
    double bears;
    uint32_t work_ms;
    uint32_t spread;
    uint32_t wait_ms;
    uint32_t hop_ms;
    Policy policy;
    GArray *events; /* Event */
    /* of a run */
    BgRandom rng;
    uint64_t start_ms;
    uint64_t now_ms;
    uint64_t orders;
    Vm *fleet;
    Upstream *up;
    GSequence *msgs; /* Msg, by time */
    int leader;
    uint64_t lost_ms;
    int asking; /* the VM that is inside ur_ask */
    uint32_t asked;
    uint32_t refused;
    uint32_t falls;
    uint32_t away;
    double used;
    double room;
};

/* ---- faults ------------------------------------------------------------- */

static bool
is_up(const Sim *s, int vm)
{
    return vm != NO_VM && s->fleet[vm].down_until_ms <= s->now_ms;
}

static bool
is_cut(const Sim *s, int vm)
{
    for (guint i = 0; i < s->events->len; i++) {
        const Event *e = &g_array_index(s->events, Event, i);
        if (e->kind == EV_CUT && e->who == vm && s->now_ms >= e->from_ms &&
            s->now_ms < e->to_ms) {
            return true;
        }
    }
    return false;
}

static bool
reaches(const Sim *s, int a, int b)
{
    return a == b || (!is_cut(s, a) && !is_cut(s, b));
}

static uint32_t
get_room(const Sim *s)
{
    double room = 1;
    for (guint i = 0; i < s->events->len; i++) {
        const Event *e = &g_array_index(s->events, Event, i);
        room = e->kind == EV_ROOM && s->now_ms >= e->from_ms ? e->a : room;
    }
    return (uint32_t)room;
}

static double
get_load(const Sim *s)
{
    double sum = 0;
    for (guint i = 0; i < s->events->len; i++) {
        const Event *e = &g_array_index(s->events, Event, i);
        bool now = s->now_ms >= e->from_ms && s->now_ms < e->to_ms;
        sum += e->kind == EV_LOAD && now ? e->a : 0;
    }
    return sum;
}

/* ---- messages ----------------------------------------------------------- */

static gint
compare_msgs(gconstpointer a, gconstpointer b, gpointer ctx)
{
    (void)ctx;
    const Msg *x = a;
    const Msg *y = b;
    if (x->at_ms != y->at_ms) {
        return x->at_ms < y->at_ms ? -1 : 1;
    }
    return x->order < y->order ? -1 : x->order > y->order;
}

static void
add_msg(Sim *s, const Msg *m, uint64_t delay_ms)
{
    Msg *copy = g_memdup2(m, sizeof(*m));
    copy->at_ms = s->now_ms + delay_ms;
    copy->order = ++s->orders;
    g_sequence_insert_sorted(s->msgs, copy, compare_msgs, NULL);
}

static void
send_msg(Sim *s, const Msg *m)
{
    add_msg(s, m, 1 + bg_pick_random(&s->rng, s->hop_ms));
}

static char *
make_name(const char *kind, int nth)
{
    return g_strdup_printf("%s%d", kind, nth);
}

/* ---- a gateway ---------------------------------------------------------- */

static bool
leads(const Sim *s, int vm)
{
    return vm == s->leader && is_up(s, vm) && !is_cut(s, vm);
}

static bool
hears_leader(const Sim *s, int vm)
{
    uint64_t heard_ms = s->fleet[vm].heard_ms;
    return heard_ms && s->now_ms < heard_ms + LEADER_TIMEOUT_MS;
}

static void
give_back(Sim *s, int vm, UlTicket ticket, int upstream, UrEnd end)
{
    Vm *v = &s->fleet[vm];
    g_autofree char *name = make_name("vm", vm);
    g_autofree char *id = make_name("u", upstream);
    if (leads(s, vm) || s->policy == POLICY_LOCAL) {
        ur_on_over(v->rooms, s->now_ms, name, ticket, end);
    }
    else if (hears_leader(s, vm)) {
        Msg m = {.kind = MSG_OVER,
                 .vm = vm,
                 .to = s->leader,
                 .ticket = ticket,
                 .end = end};
        if (s->leader != NO_VM && reaches(s, vm, s->leader)) {
            send_msg(s, &m);
        }
    }
    else if (end == UR_SERVED || end == UR_UNUSED) {
        ul_keep_slot(v->limits, s->now_ms, id);
    }
}

static void
on_slot(Sim *s, int vm, UlTicket ticket, bool granted, uint32_t wait_ms)
{
    if (ul_on_slot(s->fleet[vm].limits, s->now_ms, ticket, granted, wait_ms)) {
        give_back(s, vm, ticket, 0, UR_UNUSED);
    }
}

static void
on_room_answer(void *ctx, const char *vm, uint64_t ticket, bool granted,
               uint32_t wait_ms)
{
    const VmCtx *c = ctx;
    Sim *s = c->sim;
    int to = atoi(vm + 2);
    Msg m = {.kind = MSG_SLOT,
             .vm = to,
             .to = to,
             .ticket = ticket,
             .incarnation = s->fleet[to].incarnation,
             .granted = granted,
             .wait_ms = wait_ms};
    if (to == c->vm && s->asking == to) {
        on_slot(s, to, ticket, granted, wait_ms);
    }
    else if (to == c->vm) {
        add_msg(s, &m, 0);
    }
    else if (reaches(s, c->vm, to)) {
        send_msg(s, &m);
    }
}

static void
ask(Sim *s, int vm, UlTicket ticket, int upstream)
{
    Vm *v = &s->fleet[vm];
    g_autofree char *name = make_name("vm", vm);
    g_autofree char *id = make_name("u", upstream);
    uint32_t wait_ms = 0;
    if (leads(s, vm) || s->policy == POLICY_LOCAL) {
        UrAsk a = {name, ticket, s->wait_ms, 10 * s->work_ms + 1000};
        s->asking = vm;
        ur_ask(v->rooms, s->now_ms, id, s->bears, &a);
        s->asking = NO_VM;
    }
    else if (hears_leader(s, vm) && s->leader != NO_VM) {
        Msg m = {.kind = MSG_ASK,
                 .vm = vm,
                 .to = s->leader,
                 .upstream = upstream,
                 .ticket = ticket};
        if (reaches(s, vm, s->leader)) {
            send_msg(s, &m);
        }
    }
    else {
        bool granted = ul_take_alone(v->limits, s->now_ms, id, &wait_ms);
        on_slot(s, vm, ticket, granted, wait_ms);
    }
}

static void
send_request(Sim *s, int vm, UlTicket ticket, int upstream)
{
    Vm *v = &s->fleet[vm];
    Running r = {ticket, upstream};
    g_array_append_val(v->runs, r);
    Msg m = {.kind = MSG_REQUEST,
             .vm = vm,
             .to = upstream,
             .upstream = upstream,
             .incarnation = v->incarnation,
             .ticket = ticket};
    send_msg(s, &m);
}

/* False: it is over. */
static bool
check_want(Sim *s, int vm, const Want *w)
{
    Ul *l = s->fleet[vm].limits;
    switch (ul_check(l, s->now_ms, w->ticket)) {
    case UL_SLOT_ASKED:
    case UL_SLOT_LATER:
        if (s->now_ms < w->until_ms) {
            return true;
        }
        break;
    case UL_SLOT_NOW:
        ul_use(l, w->ticket);
        send_request(s, vm, w->ticket, w->upstream);
        return false;
    case UL_SLOT_NONE:
        break;
    }
    s->refused++;
    if (ul_release(l, s->now_ms, w->ticket)) {
        give_back(s, vm, w->ticket, w->upstream, UR_UNUSED);
    }
    return false;
}

static void
check_wants(Sim *s, int vm)
{
    GArray *wants = s->fleet[vm].wants;
    for (guint i = 0; i < wants->len;) {
        Want w = g_array_index(wants, Want, i);
        if (check_want(s, vm, &w)) {
            i++;
        }
        else {
            g_array_remove_index(wants, i);
        }
    }
}

/* The upstream with the shortest wait, of those the one with the fewest own
   requests; NO_VM: none may be had in time. */
static int
choose(const Sim *s, int vm)
{
    const Vm *v = &s->fleet[vm];
    int best = NO_VM;
    uint32_t least = UINT32_MAX;
    int first = (int)(s->orders % (uint64_t)s->upstreams);
    for (int i = 0; i < s->upstreams; i++) {
        int u = (first + i) % s->upstreams;
        g_autofree char *id = make_name("u", u);
        uint32_t load = 0;
        for (guint k = 0; k < v->runs->len; k++) {
            load += g_array_index(v->runs, Running, k).upstream == u;
        }
        for (guint k = 0; k < v->wants->len; k++) {
            load += g_array_index(v->wants, Want, k).upstream == u;
        }
        bool free_now = s->now_ms >= v->shed_ms[u];
        if (free_now && load < least &&
            ul_get_wait_ms(v->limits, s->now_ms, id) <= s->wait_ms) {
            least = load;
            best = u;
        }
    }
    return best;
}

static void
add_request(Sim *s, int vm)
{
    Vm *v = &s->fleet[vm];
    s->asked++;
    s->orders++;
    int u = choose(s, vm);
    if (u == NO_VM) {
        s->refused++;
        return;
    }
    if (s->policy == POLICY_FREE) {
        send_request(s, vm, ul_make_ticket(v->limits), u);
        return;
    }
    g_autofree char *id = make_name("u", u);
    bool send;
    Want w = {ul_ask(v->limits, s->now_ms, id, s->wait_ms, &send), u,
              s->now_ms + s->wait_ms + 500};
    if (send) {
        ask(s, vm, w.ticket, u);
    }
    if (check_want(s, vm, &w)) {
        g_array_append_val(v->wants, w);
    }
}

static void
take_answer(Sim *s, const Msg *m)
{
    Vm *v = &s->fleet[m->vm];
    if (v->incarnation != m->incarnation) {
        return;
    }
    for (guint i = 0; i < v->runs->len; i++) {
        if (g_array_index(v->runs, Running, i).ticket == m->ticket) {
            g_array_remove_index(v->runs, i);
            break;
        }
    }
    if (m->end == UR_TURNED_AWAY && s->policy == POLICY_FREE) {
        v->shed_ms[m->upstream] = s->now_ms + SHED_MS;
    }
    if (s->policy != POLICY_FREE) {
        give_back(s, m->vm, m->ticket, m->upstream, m->end);
    }
}

/* ---- upstreams ---------------------------------------------------------- */

static void
fall(Sim *s, Upstream *u)
{
    s->falls += s->now_ms >= s->start_ms + GRACE_MS;
    u->up_ms = s->now_ms + DOWN_MS;
    u->incarnation++;
    u->inside = 0;
    g_array_set_size(u->rejected_ms, 0);
}

static void
turn_away(Sim *s, Upstream *u)
{
    while (u->rejected_ms->len > 0 &&
           s->now_ms > g_array_index(u->rejected_ms, uint64_t, 0) + 1000) {
        g_array_remove_index(u->rejected_ms, 0);
    }
    g_array_append_val(u->rejected_ms, s->now_ms);
    s->away += s->now_ms >= s->start_ms + GRACE_MS;
    if (u->rejected_ms->len > s->bears) {
        fall(s, u);
    }
}

static void
take_request(Sim *s, const Msg *m)
{
    Upstream *u = &s->up[m->to];
    Msg answer = *m;
    answer.kind = MSG_ANSWER;
    answer.to = m->vm;
    answer.end = UR_SERVED;
    uint32_t work_ms = 0;
    if (s->now_ms < u->up_ms) {
        answer.end = UR_UNUSED;
    }
    else if (u->inside >= get_room(s)) {
        answer.end = UR_TURNED_AWAY;
        turn_away(s, u);
    }
    else {
        u->inside++;
        uint32_t spread_ms = s->work_ms * s->spread / 100;
        work_ms = s->work_ms - spread_ms +
                  bg_pick_random(&s->rng, 2 * spread_ms + 1);
        Msg end = {
            .kind = MSG_FREE, .to = m->to, .incarnation = u->incarnation};
        add_msg(s, &end, work_ms + bg_pick_random(&s->rng, LINGER_MS + 1));
    }
    add_msg(s, &answer, work_ms + 1 + bg_pick_random(&s->rng, s->hop_ms));
}

/* ---- messages that come ------------------------------------------------- */

static void
take_at_leader(Sim *s, const Msg *m)
{
    if (!leads(s, m->to)) {
        return;
    }
    Ur *rooms = s->fleet[m->to].rooms;
    g_autofree char *name = make_name("vm", m->vm);
    g_autofree char *id = make_name("u", m->upstream);
    UrAsk a = {name, m->ticket, s->wait_ms, 10 * s->work_ms + 1000};
    if (m->kind == MSG_ASK) {
        ur_ask(rooms, s->now_ms, id, s->bears, &a);
    }
    else if (m->kind == MSG_HELD) {
        ur_on_held(rooms, s->now_ms, id, s->bears, &a);
    }
    else {
        ur_on_over(rooms, s->now_ms, name, m->ticket, m->end);
    }
}

static void
take_msg(Sim *s, const Msg *m)
{
    switch (m->kind) {
    case MSG_REQUEST:
        take_request(s, m);
        break;
    case MSG_FREE:
        if (s->up[m->to].incarnation == m->incarnation) {
            s->up[m->to].inside--;
        }
        break;
    case MSG_ANSWER:
        if (is_up(s, m->to)) {
            take_answer(s, m);
        }
        break;
    case MSG_SLOT:
        if (is_up(s, m->to) && s->fleet[m->to].incarnation == m->incarnation) {
            on_slot(s, m->to, m->ticket, m->granted, m->wait_ms);
            check_wants(s, m->to);
        }
        break;
    case MSG_ASK:
    case MSG_OVER:
    case MSG_HELD:
        if (is_up(s, m->to)) {
            take_at_leader(s, m);
        }
        break;
    }
}

static void
take_msgs(Sim *s)
{
    GSequenceIter *it;
    while (!g_sequence_iter_is_end(it = g_sequence_get_begin_iter(s->msgs))) {
        Msg m = *(Msg *)g_sequence_get(it);
        if (m.at_ms > s->now_ms) {
            return;
        }
        g_sequence_remove(it);
        take_msg(s, &m);
    }
}

/* ---- the fleet ---------------------------------------------------------- */

static void
start_process(Sim *s, int vm)
{
    Vm *v = &s->fleet[vm];
    v->ctx = (VmCtx){s, vm};
    if (v->limits) {
        ul_destroy(v->limits);
        ur_destroy(v->rooms);
    }
    v->limits = ul_create(s->now_ms, bg_next_random(&s->rng));
    v->rooms = ur_create(on_room_answer, &v->ctx);
    v->incarnation++;
    v->heard_ms = 0;
    v->linked = NO_VM;
    g_array_set_size(v->wants, 0);
    g_array_set_size(v->runs, 0);
    for (int u = 0; u < s->upstreams; u++) {
        g_autofree char *id = make_name("u", u);
        ul_on_limit(v->limits, s->now_ms, id,
                    (UlValues){.rejects_per_s =
                                   s->policy == POLICY_FREE ? 0 : s->bears});
        v->shed_ms[u] = 0;
    }
}

static void
begin_faults(Sim *s)
{
    for (guint i = 0; i < s->events->len; i++) {
        Event *e = &g_array_index(s->events, Event, i);
        if (e->kind != EV_KILL || e->begun || s->now_ms < e->from_ms) {
            continue;
        }
        e->begun = true;
        for (int vm = 0; vm < s->vms; vm++) {
            if (e->who == WHO_ALL || e->who == vm ||
                (e->who == WHO_LEADER && vm == s->leader)) {
                s->fleet[vm].down_until_ms = e->to_ms;
                start_process(s, vm);
                /* A new process has to acquire the lease. */
                s->leader = vm == s->leader ? NO_VM : s->leader;
            }
        }
    }
}

static void
follow_lease(Sim *s)
{
    if (s->leader != NO_VM && is_up(s, s->leader) && !is_cut(s, s->leader)) {
        s->lost_ms = s->now_ms;
        return;
    }
    if (s->now_ms < s->lost_ms + FAILOVER_MS) {
        return;
    }
    int first = (int)bg_pick_random(&s->rng, (uint32_t)s->vms);
    s->leader = NO_VM;
    for (int i = 0; s->leader == NO_VM && i < s->vms; i++) {
        int vm = (first + i) % s->vms;
        if (is_up(s, vm) && !is_cut(s, vm)) {
            s->leader = vm;
            s->lost_ms = s->now_ms;
            ur_on_lead(s->fleet[vm].rooms, s->now_ms);
        }
    }
}

/* On a new link to the leader. */
static void
report_held(Sim *s, int vm)
{
    Vm *v = &s->fleet[vm];
    uint32_t incarnation = s->fleet[s->leader].incarnation;
    if (v->linked == s->leader && v->linked_incarnation == incarnation) {
        return;
    }
    v->linked = s->leader;
    v->linked_incarnation = incarnation;
    for (guint i = 0; i < v->runs->len; i++) {
        const Running *r = &g_array_index(v->runs, Running, i);
        Msg m = {.kind = MSG_HELD,
                 .vm = vm,
                 .to = s->leader,
                 .upstream = r->upstream,
                 .ticket = r->ticket};
        add_msg(s, &m, vm == s->leader ? 0 : 1);
    }
}

static void
tick_vm(Sim *s, int vm)
{
    Vm *v = &s->fleet[vm];
    if (s->leader != NO_VM && is_up(s, s->leader) &&
        reaches(s, vm, s->leader)) {
        v->heard_ms = s->now_ms;
        report_held(s, vm);
    }
    if (leads(s, vm) || s->policy == POLICY_LOCAL) {
        ur_on_tick(v->rooms, s->now_ms);
    }
    check_wants(s, vm);
}

static void
add_requests(Sim *s)
{
    double per_ms = get_load(s) / 1000;
    while (per_ms > 0) {
        uint32_t draw = bg_pick_random(&s->rng, 1 << 20);
        int vm = (int)bg_pick_random(&s->rng, (uint32_t)s->vms);
        if (draw < MIN(per_ms, 1) * (1 << 20) && is_up(s, vm)) {
            add_request(s, vm);
        }
        per_ms -= 1;
    }
}

static void
count_use(Sim *s)
{
    if (s->now_ms < s->start_ms + GRACE_MS) {
        return;
    }
    for (int i = 0; i < s->upstreams; i++) {
        s->used += MIN(s->up[i].inside, get_room(s));
        s->room += get_room(s);
    }
}

static void
begin_run(Sim *s, uint64_t seed)
{
    bg_seed_random(&s->rng, seed);
    s->now_ms = s->start_ms = 10000;
    s->leader = NO_VM;
    s->lost_ms = 0;
    s->asking = NO_VM;
    s->asked = s->refused = s->falls = s->away = 0;
    s->used = s->room = 0;
    s->msgs = g_sequence_new(g_free);
    s->fleet = g_new0(Vm, s->vms);
    s->up = g_new0(Upstream, s->upstreams);
    for (int i = 0; i < s->upstreams; i++) {
        s->up[i].rejected_ms = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    }
    for (int i = 0; i < s->vms; i++) {
        Vm *v = &s->fleet[i];
        v->wants = g_array_new(FALSE, FALSE, sizeof(Want));
        v->runs = g_array_new(FALSE, FALSE, sizeof(Running));
        v->shed_ms = g_new0(uint64_t, s->upstreams);
        start_process(s, i);
    }
    for (guint i = 0; i < s->events->len; i++) {
        g_array_index(s->events, Event, i).begun = false;
    }
}

static void
end_run(Sim *s)
{
    for (int i = 0; i < s->vms; i++) {
        Vm *v = &s->fleet[i];
        ul_destroy(v->limits);
        ur_destroy(v->rooms);
        g_array_free(v->wants, TRUE);
        g_array_free(v->runs, TRUE);
        g_free(v->shed_ms);
    }
    for (int i = 0; i < s->upstreams; i++) {
        g_array_free(s->up[i].rejected_ms, TRUE);
    }
    g_free(s->fleet);
    g_free(s->up);
    g_sequence_free(s->msgs);
}

static void
run(Sim *s, double seconds, uint64_t seed)
{
    begin_run(s, seed);
    uint64_t end_ms = s->now_ms + (uint64_t)(seconds * 1000);
    for (; s->now_ms < end_ms; s->now_ms++) {
        begin_faults(s);
        follow_lease(s);
        take_msgs(s);
        add_requests(s);
        for (int i = 0; i < s->vms; i++) {
            bool due = (s->now_ms + (uint64_t)i * 7) % TICK_MS == 0;
            if (due && is_up(s, i)) {
                tick_vm(s, i);
            }
        }
        count_use(s);
    }
    printf("falls %u used %.2f away %.2f refused %.2f\n", s->falls,
           s->room > 0 ? s->used / s->room : 0,
           s->away / MAX(seconds - GRACE_MS / 1000., 1),
           s->asked ? (double)s->refused / s->asked : 0);
    end_run(s);
}

/* ---- commands ----------------------------------------------------------- */

static uint64_t
read_ms(const char *seconds)
{
    return 10000 + (uint64_t)(atof(seconds) * 1000);
}

static void
add_event(Sim *s, EventKind kind, int who, double a, uint64_t from_ms,
          uint64_t to_ms)
{
    Event e = {kind, who, a, from_ms, to_ms, false};
    g_array_append_val(s->events, e);
}

static void
add_kill(Sim *s, char **words)
{
    uint64_t at_ms = read_ms(words[2]);
    int who = strcmp(words[1], "leader") == 0 ? WHO_LEADER
              : strcmp(words[1], "all") == 0  ? WHO_ALL
                                              : atoi(words[1]);
    add_event(s, EV_KILL, who, 0, at_ms,
              at_ms + (uint64_t)(atof(words[3]) * 1000));
}

static void
begin_scenario(Sim *s, char **words)
{
    s->vms = atoi(words[1]);
    s->upstreams = atoi(words[2]);
    s->bears = 2;
    s->work_ms = 200;
    s->spread = 0;
    s->wait_ms = 800;
    s->hop_ms = 3;
    s->policy = POLICY_SLOTS;
    g_array_set_size(s->events, 0);
}

static Policy
read_policy(const char *word)
{
    return strcmp(word, "local") == 0  ? POLICY_LOCAL
           : strcmp(word, "free") == 0 ? POLICY_FREE
                                       : POLICY_SLOTS;
}

static bool
run_line(void *ctx, char **words, int count)
{
    Sim *s = ctx;
    const char *w = words[0];
    if (strcmp(w, "fleet") == 0 && count == 3) {
        begin_scenario(s, words);
    }
    else if (strcmp(w, "bears") == 0 && count == 2) {
        s->bears = atof(words[1]);
    }
    else if (strcmp(w, "room") == 0 && count == 3) {
        add_event(s, EV_ROOM, 0, atof(words[1]), read_ms(words[2]), 0);
    }
    else if (strcmp(w, "work") == 0 && count == 3) {
        s->work_ms = (uint32_t)atoi(words[1]);
        s->spread = (uint32_t)atoi(words[2]);
    }
    else if (strcmp(w, "load") == 0 && count == 4) {
        add_event(s, EV_LOAD, 0, atof(words[1]), read_ms(words[2]),
                  read_ms(words[3]));
    }
    else if (strcmp(w, "wait") == 0 && count == 2) {
        s->wait_ms = (uint32_t)atoi(words[1]);
    }
    else if (strcmp(w, "hop") == 0 && count == 2) {
        s->hop_ms = (uint32_t)atoi(words[1]);
    }
    else if (strcmp(w, "cut") == 0 && count == 4) {
        add_event(s, EV_CUT, atoi(words[1]), 0, read_ms(words[2]),
                  read_ms(words[3]));
    }
    else if (strcmp(w, "kill") == 0 && count == 4) {
        add_kill(s, words);
    }
    else if (strcmp(w, "policy") == 0 && count == 2) {
        s->policy = read_policy(words[1]);
    }
    else if (strcmp(w, "run") == 0 && count == 3) {
        run(s, atof(words[1]), strtoull(words[2], NULL, 10));
    }
    else {
        return false;
    }
    return true;
}

int
main(void)
{
    Sim s = {.events = g_array_new(FALSE, FALSE, sizeof(Event))};
    int status = script_run(run_line, &s);
    g_array_free(s.events, TRUE);
    return status;
}
