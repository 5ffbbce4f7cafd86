/* Simulates the limit of an upstream (ul) over a fleet of gateways in virtual
   time, with a leader, delays and faults.  One command a line:

     fleet VMS DATA_CENTRES   begins a scenario
     limit PER_S AT_S         the upstream names it from then on; 0: none
     load PER_S FROM_S TO_S   requests, at all VMs together
     wait MS                  longest wait of a request for a slot
     transit MS               longest time from a send to the arrival
     delay MS FROM_S TO_S     frames take up to so much longer
     cut DATA_CENTRE FROM_S TO_S         from the others; callers stay
     kill leader|all|VM AT_S DOWN_S
     freeze leader|VM FROM_S TO_S
     reborn AT_S              another process has the upstream's id, and the
                              same limit
     policy slots|unscheduled
                              unscheduled: the leader grants every slot at once
     run SECONDS SEED         prints
       asked    requests
       in       of them, sent
       used     part of what the limit allows that arrived, while the load is
                above it
       worst    largest number of arrivals in a window over what the bound
                allows; above 1: over */
#include "script.h"
#include "upstream_limits.h"

#include <math.h>
#include <stdlib.h>

#define ID "u"
#define HOP_MS 2         /* least delay of a frame; the most is five times */
#define FAILOVER_MS 1800 /* from the loss of the leader to the next one */
#define LEASE_MS 1500    /* a leader that is cut off leads for so long */
#define SERVE_MS 60      /* from an arrival to the head of its answer */
#define HEARTBEAT_MS 200
#define PUBLISH_MS 1000
#define LEADER_TIMEOUT_MS 1000
#define TOLD_MS                                                               \
    500               /* a process that knows the limit for less is           \
                         excused */
#define GRACE_MS 3000 /* and so is what follows a new, lower limit */
#define NO_VM (-1)

typedef enum {
    FRAME_ASK,
    FRAME_SLOT,
    FRAME_REPORT,
    FRAME_LIMIT,
    FRAME_BEAT,
    FRAME_KNOWN,
    FRAME_ARRIVAL,
    FRAME_ANSWER
} FrameKind;

typedef struct {
    uint64_t at_ms;
    uint64_t order; /* of equal times */
    FrameKind kind;
    int from;
    int to;
    uint32_t incarnation; /* of the receiver, for slots and answers */
    UlTicket ticket;
    bool granted;
    uint32_t wait_ms;
    double per_s;
    uint32_t age_ms;
} Frame;

typedef struct {
    UlTicket ticket;
    uint64_t until_ms;
} Want;

typedef struct {
    Ul *limits;
    int data_centre;
    uint32_t incarnation;
    bool must_lead; /* a new process, which has to acquire the lease */
    uint64_t down_until_ms;
    uint64_t frozen_until_ms;
    uint64_t heard_ms; /* the leader */
    uint64_t beat_ms;
    uint64_t published_ms;
    int linked; /* leader to which what is known here was reported */
    uint32_t linked_incarnation;
    uint64_t knows_ms; /* the limit, in this process; 0: not yet */
    GArray *wants;     /* Want */
} Vm;

typedef struct {
    double a;
    uint64_t from_ms;
    uint64_t to_ms;
    int who; /* VM, data centre, or WHO_ */
    int kind;
    bool begun;
} Event;

enum { WHO_LEADER = -2, WHO_ALL = -1 };
enum { EV_LIMIT, EV_LOAD, EV_DELAY, EV_CUT, EV_KILL, EV_FREEZE, EV_REBORN };

typedef struct {
    uint64_t at_ms;
    bool counts; /* its VM knows the limit long enough */
} Arrival;

typedef struct {
    int vms;
    int data_centres;
    uint32_t wait_ms;
    uint32_t transit_ms;
    bool unscheduled;
    GArray *events; /* Event */
    /* of a run */
    BgRandom rng;
    uint64_t now_ms;
    uint64_t orders;
    Vm *fleet;
    GSequence *frames; /* Frame, by time */
    int leader;
    uint64_t lost_ms;
    GArray *arrivals; /* Arrival */
    uint32_t asked;
    uint32_t sent;
} Sim;

/* ---- faults ------------------------------------------------------------- */

static const Event *
find_event(const Sim *s, int kind, int who)
{
    for (guint i = 0; i < s->events->len; i++) {
        const Event *e = &g_array_index(s->events, Event, i);
        if (e->kind == kind && (who == WHO_ALL || e->who == who) &&
            s->now_ms >= e->from_ms && s->now_ms < e->to_ms) {
            return e;
        }
    }
    return NULL;
}

static bool
is_up(const Sim *s, int vm)
{
    return vm != NO_VM && s->fleet[vm].down_until_ms <= s->now_ms;
}

static bool
is_frozen(const Sim *s, int vm)
{
    return s->fleet[vm].frozen_until_ms > s->now_ms;
}

static bool
reaches(const Sim *s, int a, int b)
{
    int x = s->fleet[a].data_centre;
    int y = s->fleet[b].data_centre;
    return x == y || (!find_event(s, EV_CUT, x) && !find_event(s, EV_CUT, y));
}

static double
get_limit(const Sim *s, uint64_t at_ms)
{
    double per_s = 0;
    for (guint i = 0; i < s->events->len; i++) {
        const Event *e = &g_array_index(s->events, Event, i);
        if (e->kind == EV_LIMIT && at_ms >= e->from_ms) {
            per_s = e->a;
        }
    }
    return per_s;
}

static double
get_load(const Sim *s)
{
    double sum = 0;
    for (guint i = 0; i < s->events->len; i++) {
        const Event *e = &g_array_index(s->events, Event, i);
        if (e->kind == EV_LOAD && s->now_ms >= e->from_ms &&
            s->now_ms < e->to_ms) {
            sum += e->a;
        }
    }
    return sum;
}

static void
start_process(Sim *s, int vm)
{
    Vm *v = &s->fleet[vm];
    if (v->limits) {
        ul_destroy(v->limits);
    }
    v->limits = ul_create(s->now_ms, bg_next_random(&s->rng));
    v->incarnation++;
    v->must_lead = true;
    v->heard_ms = 0;
    v->knows_ms = 0;
    v->beat_ms = 0;
    v->linked = NO_VM;
    g_array_set_size(v->wants, 0);
}

static bool
is_hit(const Sim *s, const Event *e, int vm)
{
    return e->who == WHO_ALL || e->who == vm ||
           (e->who == WHO_LEADER && vm == s->leader);
}

static void
begin_faults(Sim *s)
{
    for (guint i = 0; i < s->events->len; i++) {
        Event *e = &g_array_index(s->events, Event, i);
        if (e->begun || s->now_ms < e->from_ms) {
            continue;
        }
        e->begun = true;
        for (int vm = 0; vm < s->vms; vm++) {
            if (e->kind == EV_REBORN) {
                ul_forget(s->fleet[vm].limits, ID);
                s->fleet[vm].knows_ms = 0;
            }
            else if (e->kind == EV_KILL && is_hit(s, e, vm)) {
                s->fleet[vm].down_until_ms = e->to_ms;
                start_process(s, vm);
            }
            else if (e->kind == EV_FREEZE && is_hit(s, e, vm)) {
                s->fleet[vm].frozen_until_ms = e->to_ms;
            }
        }
    }
}

/* ---- frames ------------------------------------------------------------- */

static gint
compare_frames(gconstpointer a, gconstpointer b, gpointer ctx)
{
    (void)ctx;
    const Frame *x = a;
    const Frame *y = b;
    if (x->at_ms != y->at_ms) {
        return x->at_ms < y->at_ms ? -1 : 1;
    }
    return x->order < y->order ? -1 : x->order > y->order;
}

static void
add_frame(Sim *s, const Frame *f, uint64_t delay_ms)
{
    Frame *copy = g_memdup2(f, sizeof(*f));
    copy->at_ms = s->now_ms + delay_ms;
    copy->order = ++s->orders;
    g_sequence_insert_sorted(s->frames, copy, compare_frames, NULL);
}

static void
send_frame(Sim *s, const Frame *f)
{
    if (!reaches(s, f->from, f->to)) {
        return;
    }
    const Event *slow = find_event(s, EV_DELAY, WHO_ALL);
    uint32_t more_ms = slow ? (uint32_t)slow->a : 0;
    add_frame(s, f,
              HOP_MS + bg_pick_random(&s->rng, HOP_MS * 4) +
                  bg_pick_random(&s->rng, more_ms + 1));
}

static void
broadcast(Sim *s, int from, FrameKind kind, double per_s)
{
    for (int i = 0; i < s->vms; i++) {
        if (i != from && is_up(s, i)) {
            Frame f = {.kind = kind, .from = from, .to = i, .per_s = per_s};
            send_frame(s, &f);
        }
    }
}

/* ---- the lease ---------------------------------------------------------- */

static bool
may_lead(const Sim *s, int vm)
{
    return is_up(s, vm) && !is_frozen(s, vm) &&
           !find_event(s, EV_CUT, s->fleet[vm].data_centre);
}

static bool
leads(const Sim *s, int vm)
{
    return vm == s->leader && is_up(s, vm) &&
           (may_lead(s, vm) || s->now_ms < s->lost_ms + LEASE_MS);
}

static void
follow_lease(Sim *s)
{
    if (s->leader != NO_VM && may_lead(s, s->leader)) {
        s->lost_ms = s->now_ms;
        Vm *v = &s->fleet[s->leader];
        if (v->must_lead) {
            v->must_lead = false;
            ul_on_lead(v->limits, s->now_ms);
        }
        return;
    }
    if (s->now_ms < s->lost_ms + FAILOVER_MS) {
        return;
    }
    s->leader = NO_VM;
    int first = (int)bg_pick_random(&s->rng, (uint32_t)s->vms);
    for (int i = 0; s->leader == NO_VM && i < s->vms; i++) {
        int vm = (first + i) % s->vms;
        if (may_lead(s, vm)) {
            s->leader = vm;
            s->lost_ms = s->now_ms;
            s->fleet[vm].must_lead = true;
        }
    }
}

static bool
hears_leader(const Sim *s, const Vm *v)
{
    return v->heard_ms && s->now_ms < v->heard_ms + LEADER_TIMEOUT_MS;
}

/* ---- requests ----------------------------------------------------------- */

static void
send_request(Sim *s, int vm, UlTicket ticket)
{
    Vm *v = &s->fleet[vm];
    ul_use(v->limits, ticket);
    s->sent++;
    Frame f = {.kind = FRAME_ARRIVAL,
               .from = vm,
               .to = vm,
               .incarnation = v->incarnation};
    add_frame(s, &f, 1 + bg_pick_random(&s->rng, s->transit_ms));
}

static void
ask(Sim *s, int vm, UlTicket ticket)
{
    Vm *v = &s->fleet[vm];
    uint32_t wait_ms = 0;
    bool granted;
    if (leads(s, vm)) {
        granted = s->unscheduled ||
                  ul_schedule(v->limits, s->now_ms, ID, s->wait_ms, &wait_ms);
    }
    else if (hears_leader(s, v) && s->leader != NO_VM) {
        Frame f = {.kind = FRAME_ASK,
                   .from = vm,
                   .to = s->leader,
                   .ticket = ticket,
                   .wait_ms = s->wait_ms,
                   .incarnation = v->incarnation,
                   .per_s = ul_get_limit(v->limits, ID),
                   .age_ms = ul_get_age_ms(v->limits, s->now_ms, ID)};
        send_frame(s, &f);
        return;
    }
    else {
        granted = ul_take_alone(v->limits, s->now_ms, ID, &wait_ms);
    }
    ul_on_slot(v->limits, s->now_ms, ticket, granted, wait_ms);
}

/* False: it is over. */
static bool
check_want(Sim *s, int vm, const Want *w)
{
    Vm *v = &s->fleet[vm];
    switch (ul_check(v->limits, s->now_ms, w->ticket)) {
    case UL_SLOT_ASKED:
    case UL_SLOT_LATER:
        if (s->now_ms < w->until_ms) {
            return true;
        }
        break;
    case UL_SLOT_NOW:
        send_request(s, vm, w->ticket);
        return false;
    case UL_SLOT_NONE:
        break;
    }
    ul_release(v->limits, s->now_ms, w->ticket);
    return false;
}

static void
add_request(Sim *s, int vm)
{
    Vm *v = &s->fleet[vm];
    s->asked++;
    if (ul_get_limit(v->limits, ID) == 0) {
        send_request(s, vm, 0);
        return;
    }
    if (ul_get_wait_ms(v->limits, s->now_ms, ID) > s->wait_ms) {
        return;
    }
    bool send;
    Want w = {ul_ask(v->limits, s->now_ms, ID, s->wait_ms, &send),
              s->now_ms + s->wait_ms + 500};
    if (send) {
        ask(s, vm, w.ticket);
    }
    if (check_want(s, vm, &w)) {
        g_array_append_val(v->wants, w);
    }
}

static void
check_wants(Sim *s, int vm)
{
    GArray *wants = s->fleet[vm].wants;
    for (guint i = 0; i < wants->len;) {
        if (check_want(s, vm, &g_array_index(wants, Want, i))) {
            i++;
        }
        else {
            g_array_remove_index(wants, i);
        }
    }
}

/* ---- the upstream ------------------------------------------------------- */

static void
take_arrival(Sim *s, const Frame *f)
{
    const Vm *v = &s->fleet[f->from];
    bool knows = v->incarnation == f->incarnation && v->knows_ms &&
                 s->now_ms >= v->knows_ms + TOLD_MS;
    Arrival a = {s->now_ms, knows};
    g_array_append_val(s->arrivals, a);
    Frame answer = *f;
    answer.kind = FRAME_ANSWER;
    answer.per_s = get_limit(s, s->now_ms);
    add_frame(s, &answer, SERVE_MS + bg_pick_random(&s->rng, 10));
}

static void
publish(Sim *s, int vm, UlChange change)
{
    if (leads(s, vm) && change != UL_SAME) {
        broadcast(s, vm, FRAME_LIMIT, ul_get_limit(s->fleet[vm].limits, ID));
    }
}

static void
take_answer(Sim *s, const Frame *f)
{
    Vm *v = &s->fleet[f->to];
    if (v->incarnation != f->incarnation) {
        return;
    }
    UlNamed named = {.kind = f->per_s > 0 ? UL_LIMITED : UL_UNLIMITED,
                     .per_s = f->per_s};
    bool report;
    bool decides = leads(s, f->to) || !hears_leader(s, v);
    UlChange change =
        ul_on_answer(v->limits, s->now_ms, ID, &named, decides, &report);
    publish(s, f->to, change);
    if (report && !leads(s, f->to) && s->leader != NO_VM) {
        Frame r = {.kind = FRAME_REPORT,
                   .from = f->to,
                   .to = s->leader,
                   .per_s = f->per_s};
        send_frame(s, &r);
    }
}

/* ---- frames received ---------------------------------------------------- */

static void
take_known(Sim *s, const Frame *f)
{
    if (leads(s, f->to)) {
        publish(s, f->to,
                ul_on_known(s->fleet[f->to].limits, s->now_ms, ID,
                            (UlValues){.per_s = f->per_s}, f->age_ms));
    }
}

/* On a new link to the leader. */
static void
report_known(Sim *s, int vm, int leader)
{
    Vm *v = &s->fleet[vm];
    uint32_t incarnation = s->fleet[leader].incarnation;
    if (v->linked == leader && v->linked_incarnation == incarnation) {
        return;
    }
    v->linked = leader;
    v->linked_incarnation = incarnation;
    Frame f = {.kind = FRAME_KNOWN,
               .from = vm,
               .to = leader,
               .per_s = ul_get_limit(v->limits, ID),
               .age_ms = ul_get_age_ms(v->limits, s->now_ms, ID)};
    send_frame(s, &f);
}

static void
take_ask(Sim *s, const Frame *f)
{
    uint32_t wait_ms = UL_NO_LEADER_WAIT_MS;
    bool granted = false;
    take_known(s, f);
    if (leads(s, f->to) && s->unscheduled) {
        granted = true;
        wait_ms = 0;
    }
    else if (leads(s, f->to)) {
        granted = ul_schedule(s->fleet[f->to].limits, s->now_ms, ID,
                              f->wait_ms, &wait_ms);
    }
    Frame a = *f;
    a.kind = FRAME_SLOT;
    a.from = f->to;
    a.to = f->from;
    a.granted = granted;
    a.wait_ms = wait_ms;
    send_frame(s, &a);
}

static void
take_frame(Sim *s, const Frame *f)
{
    Vm *v = &s->fleet[f->to];
    switch (f->kind) {
    case FRAME_ASK:
        take_ask(s, f);
        break;
    case FRAME_SLOT:
        if (v->incarnation == f->incarnation) {
            ul_on_slot(v->limits, s->now_ms, f->ticket, f->granted,
                       f->wait_ms);
        }
        break;
    case FRAME_REPORT:
        if (leads(s, f->to)) {
            publish(s, f->to,
                    ul_on_report(v->limits, s->now_ms, ID,
                                 (UlValues){.per_s = f->per_s}));
        }
        break;
    case FRAME_LIMIT:
        ul_on_limit(v->limits, s->now_ms, ID, (UlValues){.per_s = f->per_s});
        break;
    case FRAME_BEAT:
        v->heard_ms = s->now_ms;
        ul_on_fleet(v->limits, s->now_ms, (uint32_t)s->vms);
        report_known(s, f->to, f->from);
        break;
    case FRAME_KNOWN:
        take_known(s, f);
        break;
    case FRAME_ARRIVAL:
        break;
    case FRAME_ANSWER:
        take_answer(s, f);
        break;
    }
}

/* Frames for a frozen VM wait for it. */
static void
take_frames(Sim *s)
{
    GSequenceIter *it;
    while (
        !g_sequence_iter_is_end(it = g_sequence_get_begin_iter(s->frames))) {
        Frame f = *(Frame *)g_sequence_get(it);
        if (f.at_ms > s->now_ms) {
            return;
        }
        g_sequence_remove(it);
        if (f.kind == FRAME_ARRIVAL) {
            take_arrival(s, &f);
        }
        else if (is_up(s, f.to) && is_frozen(s, f.to)) {
            add_frame(s, &f, s->fleet[f.to].frozen_until_ms - s->now_ms);
        }
        else if (is_up(s, f.to)) {
            take_frame(s, &f);
        }
    }
}

/* ---- a run -------------------------------------------------------------- */

typedef struct {
    Sim *sim;
    int vm;
} Publication;

static void
publish_known(void *ctx, const char *upstream, UlValues values)
{
    (void)upstream;
    const Publication *p = ctx;
    broadcast(p->sim, p->vm, FRAME_LIMIT, values.per_s);
}

static void
tick_vm(Sim *s, int vm)
{
    Vm *v = &s->fleet[vm];
    bool knows = ul_get_limit(v->limits, ID) > 0;
    v->knows_ms = knows ? (v->knows_ms ? v->knows_ms : s->now_ms) : 0;
    check_wants(s, vm);
    if (leads(s, vm)) {
        v->heard_ms = s->now_ms;
        ul_on_fleet(v->limits, s->now_ms, (uint32_t)s->vms);
        if (s->now_ms >= v->beat_ms + HEARTBEAT_MS) {
            v->beat_ms = s->now_ms;
            broadcast(s, vm, FRAME_BEAT, 0);
        }
        if (s->now_ms >= v->published_ms + PUBLISH_MS) {
            v->published_ms = s->now_ms;
            Publication p = {s, vm};
            ul_visit(v->limits, s->now_ms, publish_known, &p);
        }
    }
}

static void
add_requests(Sim *s)
{
    double per_ms = get_load(s) / 1000;
    while (per_ms > 0) {
        uint32_t draw = bg_pick_random(&s->rng, 1 << 20);
        if (draw < MIN(per_ms, 1) * (1 << 20)) {
            int vm = (int)bg_pick_random(&s->rng, (uint32_t)s->vms);
            if (is_up(s, vm) && !is_frozen(s, vm)) {
                add_request(s, vm);
            }
        }
        per_ms -= 1;
    }
}

/* The highest limit of the last GRACE_MS; INFINITY: there was none. */
static double
get_judged_limit(const Sim *s, uint64_t at_ms)
{
    double most = 0;
    for (uint64_t back_ms = 0; back_ms <= GRACE_MS; back_ms += 50) {
        double per_s = get_limit(s, at_ms > back_ms ? at_ms - back_ms : 0);
        most = MAX(most, per_s > 0 ? per_s : INFINITY);
    }
    return most;
}

static double
find_worst(const Sim *s)
{
    double worst = 0;
    for (guint i = 0; i < s->arrivals->len; i++) {
        uint64_t from_ms = g_array_index(s->arrivals, Arrival, i).at_ms;
        uint32_t n = 0;
        for (guint j = i; j < s->arrivals->len; j++) {
            const Arrival *a = &g_array_index(s->arrivals, Arrival, j);
            if (a->at_ms >= from_ms + UL_WINDOW_MS) {
                break;
            }
            n += a->counts;
        }
        double allowed = 0;
        for (uint64_t t = 0; t < UL_WINDOW_MS; t += 100) {
            allowed += get_judged_limit(s, from_ms + t) / 10;
        }
        worst = MAX(worst, n / (allowed * UL_EXCESS + UL_SLACK));
    }
    return worst;
}

typedef struct {
    double allowed;
    double arrived;
} Use;

static void
count_use(const Sim *s, Use *use)
{
    double per_s = get_limit(s, s->now_ms);
    if (per_s > 0 && get_load(s) >= per_s * 1.5 &&
        get_judged_limit(s, s->now_ms) == per_s) {
        use->allowed += per_s / 1000;
        for (guint i = s->arrivals->len; i > 0; i--) {
            const Arrival *a = &g_array_index(s->arrivals, Arrival, i - 1);
            if (a->at_ms < s->now_ms) {
                break;
            }
            use->arrived++;
        }
    }
}

static void
begin_run(Sim *s, uint64_t seed)
{
    bg_seed_random(&s->rng, seed);
    s->now_ms = 10000;
    s->leader = NO_VM;
    s->lost_ms = 0;
    s->asked = 0;
    s->sent = 0;
    s->frames = g_sequence_new(g_free);
    s->arrivals = g_array_new(FALSE, FALSE, sizeof(Arrival));
    s->fleet = g_new0(Vm, s->vms);
    for (int i = 0; i < s->vms; i++) {
        s->fleet[i].data_centre = i % s->data_centres;
        s->fleet[i].wants = g_array_new(FALSE, FALSE, sizeof(Want));
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
        ul_destroy(s->fleet[i].limits);
        g_array_free(s->fleet[i].wants, TRUE);
    }
    g_free(s->fleet);
    g_sequence_free(s->frames);
    g_array_free(s->arrivals, TRUE);
}

static void
run(Sim *s, double seconds, uint64_t seed)
{
    begin_run(s, seed);
    uint64_t end_ms = s->now_ms + (uint64_t)(seconds * 1000);
    Use use = {0, 0};
    for (; s->now_ms < end_ms; s->now_ms++) {
        begin_faults(s);
        follow_lease(s);
        take_frames(s);
        add_requests(s);
        for (int i = 0; i < s->vms; i++) {
            bool due = (s->now_ms + (uint64_t)i) % 5 == 0;
            if (due && is_up(s, i) && !is_frozen(s, i)) {
                tick_vm(s, i);
            }
        }
        count_use(s, &use);
    }
    printf("asked %u in %u used %.2f worst %.2f\n", s->asked, s->sent,
           use.allowed > 0 ? use.arrived / use.allowed : 0, find_worst(s));
    end_run(s);
}

/* ---- commands ----------------------------------------------------------- */

static uint64_t
read_ms(const char *seconds)
{
    return 10000 + (uint64_t)(atof(seconds) * 1000);
}

static int
read_who(const char *word)
{
    return strcmp(word, "leader") == 0 ? WHO_LEADER
           : strcmp(word, "all") == 0  ? WHO_ALL
                                       : atoi(word);
}

static void
add_event(Sim *s, int kind, int who, double a, uint64_t from_ms,
          uint64_t to_ms)
{
    Event e = {a, from_ms, to_ms, who, kind, false};
    g_array_append_val(s->events, e);
}

static void
begin_scenario(Sim *s, char **words)
{
    s->vms = atoi(words[1]);
    s->data_centres = atoi(words[2]);
    s->wait_ms = 800;
    s->transit_ms = 5;
    s->unscheduled = false;
    g_array_set_size(s->events, 0);
}

static bool
run_line(void *ctx, char **words, int count)
{
    Sim *s = ctx;
    const char *w = words[0];
    if (strcmp(w, "fleet") == 0 && count == 3) {
        begin_scenario(s, words);
    }
    else if (strcmp(w, "limit") == 0 && count == 3) {
        add_event(s, EV_LIMIT, 0, atof(words[1]), read_ms(words[2]), 0);
    }
    else if (strcmp(w, "load") == 0 && count == 4) {
        add_event(s, EV_LOAD, 0, atof(words[1]), read_ms(words[2]),
                  read_ms(words[3]));
    }
    else if (strcmp(w, "wait") == 0 && count == 2) {
        s->wait_ms = (uint32_t)atoi(words[1]);
    }
    else if (strcmp(w, "transit") == 0 && count == 2) {
        s->transit_ms = (uint32_t)atoi(words[1]);
    }
    else if (strcmp(w, "delay") == 0 && count == 4) {
        add_event(s, EV_DELAY, 0, atof(words[1]), read_ms(words[2]),
                  read_ms(words[3]));
    }
    else if (strcmp(w, "cut") == 0 && count == 4) {
        add_event(s, EV_CUT, atoi(words[1]), 0, read_ms(words[2]),
                  read_ms(words[3]));
    }
    else if (strcmp(w, "kill") == 0 && count == 4) {
        uint64_t at_ms = read_ms(words[2]);
        add_event(s, EV_KILL, read_who(words[1]), 0, at_ms,
                  at_ms + (uint64_t)(atof(words[3]) * 1000));
    }
    else if (strcmp(w, "freeze") == 0 && count == 4) {
        add_event(s, EV_FREEZE, read_who(words[1]), 0, read_ms(words[2]),
                  read_ms(words[3]));
    }
    else if (strcmp(w, "reborn") == 0 && count == 2) {
        add_event(s, EV_REBORN, 0, 0, read_ms(words[1]), 0);
    }
    else if (strcmp(w, "policy") == 0 && count == 2) {
        s->unscheduled = strcmp(words[1], "unscheduled") == 0;
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
