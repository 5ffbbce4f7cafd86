/* Simulates suspects (sp) over a fleet of gateways in virtual time: requests
   that end each upstream that runs them, others beside them, and faults.  One
   command a line:

     fleet GATEWAYS UPSTREAMS  begins a scenario
     deadly COUNT PER_S RUN_MS COUNT requests that end their upstreams RUN_MS
                               after they began, each sent PER_S times a second
     common COUNT PER_S RUN_MS COUNT requests that many callers send
     unique PER_S RUN_MS       requests that each come once
     prompts FIRSTS SHARED SESSIONS
                               parts of the prompts of what follows
     parted COUNT PER_S RUN_MS requests that each come once, with one of COUNT
                               parts that end their upstreams
     sound PER_S RUN_MS        requests that each come once, with the others
     from AT_S                 the load before it begins then
     leave PERCENT             of the callers, halfway through the run
     ends PER_S                upstreams that end by themselves
     all_end AT_S              all upstreams end by themselves
     same_id 0|1               whether an upstream comes back under its id
     kill leader|all|N AT_S DOWN_S
     restart AT_S GAP_S        all gateways, one after the other
     cut N FROM_S TO_S         from the leader; callers and upstreams stay
     policy turns|together|count|share|whole|ratio
     run SECONDS SEED

   Policies: together: no suspect runs alone; count: no turns, only the count
   of ends; share: no turns, and of n requests at an upstream that ends each
   counts 1/n; whole: prompts are not looked at; ratio: no turns, a part is
   stopped for 10 s after three ends without an answer in between.

   run prints
     late     sends of one deadly request more than 0.6 s after the third end,
              by gateways that heard the leader for 3 s: the most
     total    ends by deadly requests, and how many of these there are
     refused  others refused as stopped, of how many
     longest  time for which one common request was refused
     waited   of the requests served, 99 in 100 waited at most, ms
   and, with parted requests,
     parted   late sends with one such part, after the fifth end: the most
     ends     ends by them, and how many parts there are
     sound    thousandths of the sound requests that were served, of those
              that came 1.2 s after the fifth end (or the last) or later
     before   of those that came before the first
     frames   to and from the leader in all */
#include "script.h"
#include "suspects.h"

#include <stdlib.h>

#define HOP_MS 2         /* least delay of a frame; the most is five times */
#define FIRST_MS 3000    /* first request; the leader grants turns by then */
#define FAILOVER_MS 2500 /* from the loss of the leader to the next one */
#define VMS_MS 5         /* between two looks at links and the lease */
#define TICK_MS 20       /* between two tries of a request that waits */
#define DEADLINE_MS 4000
#define ATTEMPTS 2
#define LATE_MS 600
#define TOUCH_MS 3000
#define STOP_SHARE 1.5
#define UPSTREAM_LEN 16

#define PART_ENDS 5
#define SETTLED_MS 1200
#define RATIO_STOP_MS 10000
/* Keys of parts, from these on. */
#define FIRST_PARTS 1000000
#define SHARED_PARTS 2000000
#define SESSION_PARTS 3000000
#define DEADLY_PARTS 4000000

typedef enum { DEADLY, COMMON, UNIQUE, PARTED, SOUND } Kind;

typedef enum { TURNS, TOGETHER, COUNT, SHARE, WHOLE, RATIO } Policy;

/* A sound request. */
typedef struct {
    uint64_t arrival_ms;
    bool served;
} Sound;

/* A copy of a request at a gateway. */
typedef struct {
    Kind kind;
    uint64_t request;
    SpKeys keys;
    uint64_t part; /* that ends its upstream; 0: none */
    int gateway;
    uint32_t incarnation;
    uint64_t arrival_ms;
    uint64_t first_sent_ms;
    uint32_t run_ms;
    bool leaves;
    uint32_t runs;
    SpTurn turn;
    int upstream; /* it runs there; -1: it waits */
    uint32_t upstream_life;
    uint64_t sent_ms;
    Sound *sound; /* in Sim.sounds; NULL: its caller leaves */
    bool over;
    bool gone; /* the caller left */
} Copy;

typedef struct {
    char id[UPSTREAM_LEN];
    uint32_t life;
    uint64_t down_until_ms;
} Upstream;

typedef struct {
    Sp *suspects;
    uint32_t incarnation;
    uint64_t down_until_ms;
    uint64_t led_ms;      /* a leader was last there */
    uint64_t touch_ms;    /* a leader is heard since */
    uint64_t up_ms;       /* its last frame arrives at the leader */
    uint64_t down_ms;     /* the leader's last frame arrives here */
    int linked;           /* leader that it is linked to; -1: none */
    uint32_t linked_life; /* incarnation of that leader */
} Vm;

typedef enum { TO_LEADER_RUN, TO_LEADER_ASK, TO_VM_ROW, TO_VM_TURN } FrameKind;

typedef struct {
    uint64_t at_ms;
    uint64_t order;
    FrameKind kind;
    int from;
    int to;
    uint32_t life; /* of the receiver */
    SpKeys keys;
    char upstream[UPSTREAM_LEN];
    SpTurn turn;
    SpResult result;
    SpRow row;
    uint32_t run_ms;
    bool granted;
    bool whole;
    uint32_t wait_ms;
} Frame;

typedef enum { EV_KILL, EV_CUT, EV_ALL_END, EV_RESTART } EventKind;

typedef struct {
    EventKind kind;
    int who; /* -1: all; -2: the leader */
    uint64_t from_ms;
    uint64_t to_ms;
    bool begun;
} Event;

typedef struct {
    Kind kind;
    uint32_t count;
    double per_s;
    uint32_t run_ms;
    uint64_t from_ms;
} Load;

/* What happened to one request. */
typedef struct {
    Kind kind;
    uint32_t ends;
    uint64_t third_ms;
    uint64_t first_ms; /* of a part: its ends up to the fifth */
    uint64_t last_ms;
    uint32_t since_answer; /* of a part: ends */
    uint64_t stopped_until_ms;
    uint32_t late;
    uint64_t refused_ms; /* first refusal since it was last let through */
    uint64_t longest_ms;
    double share;
} Fate;

typedef struct {
    int vms;
    int upstreams;
    Policy policy;
    uint32_t leave_percent;
    double ends_per_s;
    bool same_id;
    int firsts;
    int shared;
    int sessions;
    GArray *loads;  /* Load */
    GArray *events; /* Event */
    /* of a run */
    BgRandom rng;
    uint64_t now_ms;
    uint64_t orders;
    Vm *fleet;
    Upstream *engines;
    GSequence *frames; /* Frame, by time */
    GPtrArray *copies; /* Copy: not over */
    GHashTable *fates; /* request -> Fate */
    GArray *waits;     /* uint32_t */
    GPtrArray *sounds; /* Sound */
    uint64_t frame_count;
    char *note; /* of the lease record */
    int leader; /* -1: none */
    uint64_t lost_ms;
    uint64_t last_unique;
    uint32_t asked;
    uint32_t refused;
} Sim;

static double
draw(Sim *s)
{
    return bg_pick_random(&s->rng, 1000000) / 1e6;
}

static Fate *
get_fate(Sim *s, uint64_t request, Kind kind)
{
    Fate *f = g_hash_table_lookup(s->fates, &request);
    if (!f) {
        f = g_new0(Fate, 1);
        f->kind = kind;
        uint64_t *key = g_new(uint64_t, 1);
        *key = request;
        g_hash_table_insert(s->fates, key, f);
    }
    return f;
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

static bool
is_up(const Sim *s, int vm)
{
    return s->now_ms >= s->fleet[vm].down_until_ms;
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
has_leader(const Sim *s, int vm)
{
    const Vm *v = &s->fleet[vm];
    return s->leader >= 0 && v->linked == s->leader &&
           v->linked_life == s->fleet[s->leader].incarnation;
}

static void
send_frame(Sim *s, Frame f)
{
    bool up = f.kind == TO_LEADER_RUN || f.kind == TO_LEADER_ASK;
    Vm *v = &s->fleet[up ? f.from : f.to];
    uint64_t *last_ms = up ? &v->up_ms : &v->down_ms;
    f.at_ms = s->now_ms + HOP_MS + bg_pick_random(&s->rng, 4 * HOP_MS);
    f.at_ms = MAX(f.at_ms, *last_ms); /* a link keeps their order */
    *last_ms = f.at_ms;
    f.order = s->orders++;
    s->frame_count++;
    f.life = s->fleet[f.to].incarnation;
    g_sequence_insert_sorted(s->frames, g_memdup2(&f, sizeof(f)),
                             compare_frames, NULL);
}

typedef struct {
    Sim *s;
    int to; /* -1: all that are linked */
    bool whole;
} Sending;

static void
send_row(void *ctx, const SpRow *row)
{
    const Sending *x = ctx;
    Sim *s = x->s;
    Frame f = {
        .kind = TO_VM_ROW, .from = s->leader, .row = *row, .whole = x->whole};
    for (int i = 0; i < s->vms; i++) {
        f.to = i;
        if (i != s->leader && has_leader(s, i) && (x->to < 0 || x->to == i)) {
            send_frame(s, f);
        }
    }
}

static void
publish(Sim *s)
{
    Sp *sp = s->fleet[s->leader].suspects;
    Sending x = {s, -1, false};
    sp_take_changed(sp, s->now_ms, send_row, &x);
}

static void
renew_note(Sim *s)
{
    g_free(s->note);
    s->note = sp_print_note(s->fleet[s->leader].suspects, s->now_ms);
}

static void
report(Sim *s, int vm, const SpKeys *keys, const char *upstream, SpTurn turn,
       SpResult result)
{
    if (vm == s->leader) {
        sp_on_result(s->fleet[vm].suspects, s->now_ms, keys, upstream, turn,
                     result);
        publish(s);
    }
    else if (has_leader(s, vm)) {
        Frame f = {.kind = TO_LEADER_RUN,
                   .from = vm,
                   .to = s->leader,
                   .keys = *keys,
                   .turn = turn,
                   .result = result};
        g_strlcpy(f.upstream, upstream, sizeof(f.upstream));
        send_frame(s, f);
    }
}

typedef struct {
    Sim *s;
    int vm;
} Blamed;

static void
note_run(Sim *s, int vm, const SpKeys *keys, const char *upstream, SpTurn turn,
         SpResult result)
{
    Sp *sp = s->fleet[vm].suspects;
    SpRole role = vm == s->leader     ? SP_LEADS
                  : has_leader(s, vm) ? SP_FOLLOWS
                                      : SP_ALONE;
    if (!sp_on_run(sp, s->now_ms, keys, upstream, turn, result, role)) {
        return;
    }
    SpKeys told = *keys;
    if (result == SP_RUN_ENDED || result == SP_RUN_BLAMED) {
        sp_copy_unproved(sp, keys, &told);
    }
    report(s, vm, &told, upstream, turn, result);
}

static void
blame(void *ctx, const SpKeys *keys, const char *upstream)
{
    const Blamed *b = ctx;
    note_run(b->s, b->vm, keys, upstream, 0, SP_RUN_BLAMED);
}

static void
report_proof(void *ctx, const SpKeys *keys)
{
    const Blamed *b = ctx;
    report(b->s, b->vm, keys, "", 0, SP_RUN_ANSWERED);
}

static void
take_frame(Sim *s, const Frame *f)
{
    Sp *sp = s->fleet[f->to].suspects;
    bool lost = s->fleet[f->to].incarnation != f->life || !is_up(s, f->to) ||
                is_cut(s, f->to) || is_cut(s, f->from);
    bool to_leader = f->kind == TO_LEADER_RUN || f->kind == TO_LEADER_ASK;
    if (lost || (to_leader && f->to != s->leader)) {
        return;
    }
    switch (f->kind) {
    case TO_LEADER_RUN:
        sp_on_result(sp, s->now_ms, &f->keys, f->upstream, f->turn, f->result);
        publish(s);
        break;
    case TO_LEADER_ASK: {
        Frame a = *f;
        a.kind = TO_VM_TURN;
        a.from = f->to;
        a.to = f->from;
        a.granted = sp_grant(sp, s->now_ms, &f->keys, f->upstream, f->turn,
                             f->run_ms, &a.wait_ms);
        publish(s);
        send_frame(s, a);
        break;
    }
    case TO_VM_ROW:
        if (f->whole) {
            sp_on_known(sp, s->now_ms, &f->row);
        }
        else {
            sp_on_row(sp, s->now_ms, &f->row);
        }
        break;
    case TO_VM_TURN:
        if (!sp_on_turn(sp, s->now_ms, f->turn, f->granted, f->wait_ms) &&
            f->granted) {
            report(s, f->to, &f->keys, f->upstream, f->turn, SP_RUN_NONE);
        }
        break;
    }
}

/* ---- upstreams ---------------------------------------------------------- */

static void
rename_upstream(Sim *s, int u)
{
    (void)g_snprintf(s->engines[u].id, UPSTREAM_LEN, "u%d-%u", u,
                     s->same_id ? 0 : s->engines[u].life);
}

static uint32_t
count_at(const Sim *s, int u)
{
    uint32_t n = 0;
    for (guint i = 0; i < s->copies->len; i++) {
        const Copy *c = s->copies->pdata[i];
        n += !c->over && c->upstream == u;
    }
    return n;
}

/* An upstream ended under C. */
static void
count_ratio(Sim *s, const Copy *c)
{
    for (uint32_t i = 0; s->policy == RATIO && i < c->keys.part_count; i++) {
        Fate *f = get_fate(s, c->keys.parts[i], PARTED);
        f->since_answer++;
        if (f->since_answer >= SP_STOP_ENDS) {
            f->stopped_until_ms = s->now_ms + RATIO_STOP_MS;
        }
    }
}

static void
note_part_end(Sim *s, uint64_t part)
{
    Fate *f = get_fate(s, part, PARTED);
    f->ends++;
    f->first_ms = f->ends == 1 ? s->now_ms : f->first_ms;
    f->last_ms = f->ends <= PART_ENDS ? s->now_ms : f->last_ms;
}

static void
break_copy(Sim *s, Copy *c, const char *upstream, uint32_t beside)
{
    c->upstream = -1;
    c->runs++;
    get_fate(s, c->request, c->kind)->share += 1. / beside;
    count_ratio(s, c);
    note_run(s, c->gateway, &c->keys, upstream, c->turn, SP_RUN_ENDED);
    c->turn = 0;
}

/* BY: the deadly request that ends it; 0: none does. */
static void
end_upstream(Sim *s, int u, uint64_t by)
{
    char id[UPSTREAM_LEN];
    uint32_t beside = count_at(s, u);
    g_strlcpy(id, s->engines[u].id, sizeof(id));
    if (by) {
        Fate *f = get_fate(s, by, DEADLY);
        f->ends++;
        f->third_ms = f->ends == 3 ? s->now_ms : f->third_ms;
    }
    s->engines[u].life++;
    s->engines[u].down_until_ms =
        s->now_ms + 300 + bg_pick_random(&s->rng, 900);
    rename_upstream(s, u);
    bool broken[300] = {false};
    for (guint i = 0; i < s->copies->len; i++) {
        Copy *c = s->copies->pdata[i];
        if (c->over || c->upstream != u) {
            continue;
        }
        if (c->gone) {
            c->over = true;
            continue;
        }
        broken[c->gateway] = true;
        break_copy(s, c, id, beside);
    }
    /* The others hear of it, as its entry changes. */
    for (int i = 0; i < s->vms; i++) {
        Blamed b = {s, i};
        if (is_up(s, i) && (broken[i] || has_leader(s, i) || i == s->leader)) {
            sp_on_upstream_end(s->fleet[i].suspects, s->now_ms, id, true,
                               blame, &b);
        }
    }
}

static int
pick_upstream(Sim *s)
{
    int first = (int)bg_pick_random(&s->rng, (uint32_t)s->upstreams);
    for (int i = 0; i < s->upstreams; i++) {
        int u = (first + i) % s->upstreams;
        if (s->now_ms >= s->engines[u].down_until_ms) {
            return u;
        }
    }
    return -1;
}

/* ---- requests ----------------------------------------------------------- */

static bool
is_stopped(Sim *s, const Copy *c)
{
    uint32_t wait_ms;
    const Fate *f = get_fate(s, c->request, c->kind);
    if (s->policy == SHARE) {
        return f->share >= STOP_SHARE;
    }
    for (uint32_t i = 0; s->policy == RATIO && i < c->keys.part_count; i++) {
        if (s->now_ms <
            get_fate(s, c->keys.parts[i], PARTED)->stopped_until_ms) {
            return true;
        }
    }
    Sp *sp = s->fleet[c->gateway].suspects;
    if (s->policy == COUNT) {
        SpRow row = sp_get_row(sp, s->now_ms, c->request);
        return row.ends >= SP_STOP_ENDS && row.age_ms < SP_FIRST_STOP_MS;
    }
    return sp_get_verdict(sp, s->now_ms, &c->keys, &wait_ms) == SP_STOPPED;
}

static void
refuse(Sim *s, Copy *c, bool stopped)
{
    c->over = true;
    if (!stopped || c->kind == DEADLY || c->part) {
        return;
    }
    Fate *f = get_fate(s, c->request, c->kind);
    s->refused++;
    f->refused_ms = f->refused_ms ? f->refused_ms : s->now_ms;
    f->longest_ms = MAX(f->longest_ms, s->now_ms - f->refused_ms);
}

/* True: the copy may be sent to U now. */
static bool
take_turn(Sim *s, Copy *c, int u)
{
    Vm *v = &s->fleet[c->gateway];
    uint32_t wait_ms;
    if (s->policy == COUNT || s->policy == SHARE || s->policy == RATIO ||
        sp_get_verdict(v->suspects, s->now_ms, &c->keys, &wait_ms) ==
            SP_CLEAR) {
        return true;
    }
    const char *at = sp_get_upstream(v->suspects, c->turn);
    bool here =
        at && (s->policy == TOGETHER || strcmp(at, s->engines[u].id) == 0);
    SpTurnState state =
        here ? sp_check(v->suspects, s->now_ms, c->turn) : SP_TURN_NONE;
    if (state != SP_TURN_NONE) {
        return state == SP_TURN_GRANTED;
    }
    g_autofree char *former = g_strdup(at);
    if (c->turn && sp_release(v->suspects, c->turn)) {
        report(s, c->gateway, &c->keys, former, c->turn, SP_RUN_NONE);
    }
    char id[UPSTREAM_LEN];
    g_strlcpy(id, s->engines[u].id, sizeof(id));
    if (s->policy == TOGETHER) {
        /* No two suspects are at the same upstream, by these names. */
        (void)g_snprintf(id, sizeof(id), "x%llu",
                         (unsigned long long)s->orders++);
    }
    c->turn = sp_ask(v->suspects, s->now_ms, &c->keys, id, &wait_ms);
    if (!c->turn) {
        return false;
    }
    bool granted = false;
    if (c->gateway == s->leader) {
        granted = sp_grant(v->suspects, s->now_ms, &c->keys, id, c->turn,
                           DEADLINE_MS, &wait_ms);
        publish(s);
    }
    else if (has_leader(s, c->gateway)) {
        Frame f = {.kind = TO_LEADER_ASK,
                   .from = c->gateway,
                   .to = s->leader,
                   .turn = c->turn,
                   .run_ms = DEADLINE_MS};
        sp_copy_unproved(v->suspects, &c->keys, &f.keys);
        g_strlcpy(f.upstream, id, sizeof(f.upstream));
        send_frame(s, f);
        return false;
    }
    else {
        granted = sp_grant_alone(v->suspects, s->now_ms, &c->keys, id, c->turn,
                                 DEADLINE_MS, v->led_ms, &wait_ms);
    }
    sp_on_turn(v->suspects, s->now_ms, c->turn, granted, wait_ms);
    if (!granted) {
        c->turn = 0;
    }
    return granted;
}

static bool
is_in_touch(const Sim *s, int vm)
{
    const Vm *v = &s->fleet[vm];
    return (vm == s->leader || has_leader(s, vm)) &&
           s->now_ms >= v->touch_ms + TOUCH_MS;
}

static void
send_copy(Sim *s, Copy *c, int u)
{
    Fate *f = get_fate(s, c->request, c->kind);
    c->upstream = u;
    c->upstream_life = s->engines[u].life;
    c->sent_ms = s->now_ms;
    c->first_sent_ms = c->first_sent_ms ? c->first_sent_ms : s->now_ms;
    sp_use(s->fleet[c->gateway].suspects, c->turn);
    f->refused_ms = 0;
    f->late += f->ends >= 3 && s->now_ms > f->third_ms + LATE_MS &&
               is_in_touch(s, c->gateway);
    if (c->part) {
        Fate *p = get_fate(s, c->part, PARTED);
        p->late += p->ends >= PART_ENDS && s->now_ms > p->last_ms + LATE_MS &&
                   is_in_touch(s, c->gateway);
    }
}

static void
try_copy(Sim *s, Copy *c)
{
    if (s->now_ms >= c->arrival_ms + DEADLINE_MS || c->runs >= ATTEMPTS) {
        refuse(s, c, false);
        return;
    }
    if (is_stopped(s, c)) {
        refuse(s, c, true);
        return;
    }
    const char *at =
        c->turn ? sp_get_upstream(s->fleet[c->gateway].suspects, c->turn)
                : NULL;
    int u = pick_upstream(s);
    for (int i = 0; at && i < s->upstreams; i++) {
        bool asked = strcmp(at, s->engines[i].id) == 0 &&
                     s->now_ms >= s->engines[i].down_until_ms;
        u = asked ? i : u;
    }
    if (u >= 0 && take_turn(s, c, u)) {
        send_copy(s, c, u);
    }
}

static void
finish_copy(Sim *s, Copy *c)
{
    const char *id = s->engines[c->upstream].id;
    uint64_t took_ms = s->now_ms - c->sent_ms;
    if (c->leaves && !c->gone && took_ms >= c->run_ms / 2) {
        c->gone = true;
        note_run(s, c->gateway, &c->keys, id, c->turn, SP_RUN_LEFT);
        c->turn = 0;
    }
    if (took_ms < c->run_ms) {
        return;
    }
    if (c->part) {
        note_part_end(s, c->part);
    }
    if (c->kind == DEADLY || c->part) {
        end_upstream(s, c->upstream, c->part ? 0 : c->request);
        return;
    }
    c->over = true;
    if (!c->gone) {
        if (c->sound) {
            c->sound->served = true;
        }
        for (uint32_t i = 0; i < c->keys.part_count; i++) {
            get_fate(s, c->keys.parts[i], PARTED)->since_answer = 0;
        }
        uint32_t waited_ms = (uint32_t)(c->first_sent_ms - c->arrival_ms);
        g_array_append_val(s->waits, waited_ms);
        get_fate(s, c->request, c->kind)->share = 0;
        note_run(s, c->gateway, &c->keys, id, c->turn, SP_RUN_ANSWERED);
        c->turn = 0;
    }
}

static void
add_part(Sim *s, Copy *c, uint64_t from, int count)
{
    if (count > 0) {
        c->keys.parts[c->keys.part_count++] =
            from + bg_pick_random(&s->rng, (uint32_t)count);
    }
}

static void
add_prompt(Sim *s, Copy *c, const Load *l)
{
    if (l->kind != PARTED && l->kind != SOUND) {
        return;
    }
    add_part(s, c, FIRST_PARTS, s->firsts);
    add_part(s, c, SHARED_PARTS, s->shared);
    add_part(s, c, SESSION_PARTS, s->sessions);
    if (l->kind == PARTED) {
        add_part(s, c, DEADLY_PARTS, (int)l->count);
        c->part = c->keys.parts[c->keys.part_count - 1];
    }
    else if (!c->leaves) {
        c->sound = g_new0(Sound, 1);
        c->sound->arrival_ms = s->now_ms;
        g_ptr_array_add(s->sounds, c->sound);
    }
    if (s->policy == WHOLE) {
        c->keys.part_count = 0;
    }
}

static void
add_copy(Sim *s, const Load *l, uint64_t request)
{
    int vm = (int)bg_pick_random(&s->rng, (uint32_t)s->vms);
    if (!is_up(s, vm)) {
        return;
    }
    Copy *c = g_new0(Copy, 1);
    c->kind = l->kind;
    c->request = request;
    c->keys.request = request;
    c->gateway = vm;
    c->incarnation = s->fleet[vm].incarnation;
    c->arrival_ms = s->now_ms;
    c->run_ms = MAX(1, l->run_ms);
    c->leaves = bg_pick_random(&s->rng, 100) < s->leave_percent;
    c->upstream = -1;
    add_prompt(s, c, l);
    s->asked += l->kind != DEADLY && l->kind != PARTED;
    g_ptr_array_add(s->copies, c);
    try_copy(s, c);
}

static void
add_arrivals(Sim *s)
{
    for (guint i = 0; i < s->loads->len; i++) {
        const Load *l = &g_array_index(s->loads, Load, i);
        uint32_t count = l->kind == PARTED ? 1 : l->count;
        for (uint32_t k = 0; s->now_ms >= l->from_ms && k < count; k++) {
            if (draw(s) < l->per_s / 1000) {
                uint64_t fixed = (uint64_t)(i + 1) * 100000 + k;
                add_copy(s, l,
                         l->kind >= UNIQUE ? 1e12 + ++s->last_unique : fixed);
            }
        }
    }
}

static void
drop_over(Sim *s)
{
    for (guint i = 0; i < s->copies->len;) {
        Copy *c = s->copies->pdata[i];
        const Vm *v = &s->fleet[c->gateway];
        if (!is_up(s, c->gateway) || v->incarnation != c->incarnation) {
            /* Its upstream works on. */
            c->gone = true;
            c->over = c->over || c->upstream < 0;
        }
        if (!c->over) {
            i++;
            continue;
        }
        if (c->turn && sp_release(v->suspects, c->turn)) {
            report(s, c->gateway, &c->keys, "", c->turn, SP_RUN_NONE);
        }
        g_free(c);
        g_ptr_array_remove_index_fast(s->copies, i);
    }
}

static void
run_copies(Sim *s)
{
    for (guint i = 0; i < s->copies->len; i++) {
        Copy *c = s->copies->pdata[i];
        if (c->over) {
            continue;
        }
        if (c->upstream >= 0) {
            finish_copy(s, c);
        }
        else if ((s->now_ms - c->arrival_ms) % TICK_MS == 0 || c->turn) {
            try_copy(s, c);
        }
    }
}

/* ---- gateways ----------------------------------------------------------- */

static void
kill_vm(Sim *s, int vm, uint64_t until_ms)
{
    Vm *v = &s->fleet[vm];
    sp_destroy(v->suspects);
    v->suspects = sp_create(until_ms, bg_next_random(&s->rng));
    v->incarnation++;
    v->down_until_ms = until_ms;
    v->linked = -1;
    v->led_ms = until_ms;
    v->touch_ms = until_ms; /* also if it leads then */
    if (s->note) {
        sp_read_note(v->suspects, until_ms, s->note);
    }
    if (vm == s->leader) {
        s->leader = -1;
        s->lost_ms = s->now_ms;
    }
}

static void
begin_event(Sim *s, Event *e)
{
    e->begun = true;
    if (e->kind == EV_ALL_END) {
        for (int u = 0; u < s->upstreams; u++) {
            end_upstream(s, u, 0);
        }
        return;
    }
    if (e->kind != EV_KILL) {
        return;
    }
    int who = e->who == -2 ? s->leader : e->who;
    for (int i = 0; i < s->vms; i++) {
        if (e->who == -1 || i == who) {
            kill_vm(s, i, e->to_ms);
        }
    }
}

static void
run_events(Sim *s)
{
    for (guint i = 0; i < s->events->len; i++) {
        Event *e = &g_array_index(s->events, Event, i);
        if (!e->begun && s->now_ms >= e->from_ms) {
            begin_event(s, e);
        }
    }
    if (draw(s) < s->ends_per_s / 1000) {
        int u = pick_upstream(s);
        if (u >= 0) {
            end_upstream(s, u, 0);
        }
    }
}

static void
elect(Sim *s)
{
    if (s->leader >= 0 && is_cut(s, s->leader)) {
        s->leader = -1;
        s->lost_ms = s->now_ms;
    }
    bool waits = s->lost_ms && s->now_ms < s->lost_ms + FAILOVER_MS;
    if (s->leader >= 0 || waits) {
        return;
    }
    for (int i = 0; i < s->vms && s->leader < 0; i++) {
        s->leader = is_up(s, i) && !is_cut(s, i) ? i : -1;
    }
    if (s->leader >= 0) {
        sp_on_lead(s->fleet[s->leader].suspects, s->now_ms);
    }
}

typedef struct {
    Sim *s;
} Merge;

static void
merge_row(void *ctx, const SpRow *row)
{
    Sim *s = ((Merge *)ctx)->s;
    sp_on_known(s->fleet[s->leader].suspects, s->now_ms, row);
}

static void
link_vm(Sim *s, int vm)
{
    Vm *v = &s->fleet[vm];
    bool may = s->leader >= 0 && vm != s->leader && !is_cut(s, vm);
    if (!may) {
        v->linked = -1;
        return;
    }
    if (has_leader(s, vm)) {
        return;
    }
    v->linked = s->leader;
    v->linked_life = s->fleet[s->leader].incarnation;
    v->touch_ms = s->now_ms;
    Merge m = {s};
    sp_visit(v->suspects, s->now_ms, merge_row, &m);
    publish(s);
    Sending x = {s, vm, true};
    sp_visit(s->fleet[s->leader].suspects, s->now_ms, send_row, &x);
}

static void
run_vms(Sim *s)
{
    elect(s);
    for (int i = 0; i < s->vms; i++) {
        if (!is_up(s, i)) {
            continue;
        }
        link_vm(s, i);
        bool led = i == s->leader || has_leader(s, i);
        s->fleet[i].led_ms = led ? s->now_ms : s->fleet[i].led_ms;
        if (s->now_ms % TICK_MS == 0) {
            Blamed b = {s, i};
            sp_on_tick(s->fleet[i].suspects, s->now_ms);
            sp_take_proofs(s->fleet[i].suspects, s->now_ms, report_proof, &b);
        }
    }
    if (s->leader >= 0 && s->now_ms % TICK_MS == 0) {
        publish(s);
        renew_note(s);
    }
}

/* ---- a run -------------------------------------------------------------- */

static void
begin_run(Sim *s, uint64_t seed)
{
    bg_seed_random(&s->rng, seed);
    s->now_ms = 1000;
    s->fleet = g_new0(Vm, (gsize)s->vms);
    s->engines = g_new0(Upstream, (gsize)s->upstreams);
    s->frames = g_sequence_new(g_free);
    s->copies = g_ptr_array_new();
    s->fates =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    s->waits = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    s->sounds = g_ptr_array_new_with_free_func(g_free);
    s->frame_count = 0;
    s->leader = -1;
    s->lost_ms = 0;
    s->asked = 0;
    s->refused = 0;
    for (int i = 0; i < s->vms; i++) {
        s->fleet[i].suspects = sp_create(s->now_ms, bg_next_random(&s->rng));
        s->fleet[i].linked = -1;
    }
    for (int i = 0; i < s->upstreams; i++) {
        rename_upstream(s, i);
    }
}

static gint
compare_waits(gconstpointer a, gconstpointer b)
{
    return (gint)(*(const uint32_t *)a) - (gint)(*(const uint32_t *)b);
}

/* Thousandths of the sound requests of that time that were served. */
static uint32_t
get_served(const Sim *s, uint64_t from_ms, uint64_t to_ms)
{
    uint32_t asked = 0;
    uint32_t served = 0;
    for (guint i = 0; i < s->sounds->len; i++) {
        const Sound *x = s->sounds->pdata[i];
        if (x->arrival_ms >= from_ms && x->arrival_ms < to_ms) {
            asked++;
            served += x->served;
        }
    }
    return asked ? served * 1000 / asked : 1000;
}

static void
print_parts(const Sim *s)
{
    uint32_t late = 0;
    uint32_t ends = 0;
    uint32_t parts = 0;
    uint64_t first_ms = s->now_ms;
    uint64_t settled_ms = 0;
    GHashTableIter it;
    const Fate *f;
    g_hash_table_iter_init(&it, s->fates);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&f)) {
        if (f->first_ms) {
            late = MAX(late, f->late);
            ends += f->ends;
            parts++;
            first_ms = MIN(first_ms, f->first_ms);
            settled_ms = MAX(settled_ms, f->last_ms + SETTLED_MS);
        }
    }
    printf("parted %u ends %u of %u sound %u before %u frames %llu\n", late,
           ends, parts, get_served(s, settled_ms, s->now_ms - DEADLINE_MS),
           get_served(s, 0, first_ms), (unsigned long long)s->frame_count);
}

static void
print_run(Sim *s)
{
    uint32_t late = 0;
    uint32_t ends = 0;
    uint32_t deadly = 0;
    uint64_t longest_ms = 0;
    GHashTableIter it;
    const Fate *f;
    g_hash_table_iter_init(&it, s->fates);
    while (g_hash_table_iter_next(&it, NULL, (gpointer *)&f)) {
        if (f->kind == DEADLY) {
            late = MAX(late, f->late);
            ends += f->ends;
            deadly++;
        }
        else {
            longest_ms = MAX(longest_ms, f->longest_ms);
        }
    }
    g_array_sort(s->waits, compare_waits);
    uint32_t waited_ms =
        s->waits->len
            ? g_array_index(s->waits, uint32_t, s->waits->len * 99 / 100)
            : 0;
    printf("late %u total %u of %u refused %u of %u longest %llu waited %u\n",
           late, ends, deadly, s->refused, s->asked,
           (unsigned long long)longest_ms, waited_ms);
    if (s->sounds->len > 0) {
        print_parts(s);
    }
}

static void
end_run(Sim *s)
{
    for (int i = 0; i < s->vms; i++) {
        sp_destroy(s->fleet[i].suspects);
    }
    g_free(s->fleet);
    g_free(s->engines);
    g_sequence_free(s->frames);
    g_ptr_array_set_free_func(s->copies, g_free);
    g_ptr_array_free(s->copies, TRUE);
    g_hash_table_destroy(s->fates);
    g_array_free(s->waits, TRUE);
    g_ptr_array_free(s->sounds, TRUE);
    g_clear_pointer(&s->note, g_free);
}

static void
run(Sim *s, double seconds, uint64_t seed)
{
    begin_run(s, seed);
    uint64_t end_ms = s->now_ms + (uint64_t)(seconds * 1000);
    for (; s->now_ms < end_ms; s->now_ms++) {
        run_events(s);
        if (s->now_ms % VMS_MS == 0) {
            run_vms(s);
        }
        GSequenceIter *first;
        while (!g_sequence_is_empty(s->frames) &&
               (first = g_sequence_get_begin_iter(s->frames)) &&
               ((Frame *)g_sequence_get(first))->at_ms <= s->now_ms) {
            Frame f = *(Frame *)g_sequence_get(first);
            g_sequence_remove(first);
            take_frame(s, &f);
        }
        if (s->now_ms >= FIRST_MS) {
            add_arrivals(s);
        }
        run_copies(s);
        drop_over(s);
    }
    print_run(s);
    end_run(s);
}

/* ---- commands ----------------------------------------------------------- */

static uint64_t
read_ms(const char *word)
{
    return 1000 + (uint64_t)(strtod(word, NULL) * 1000);
}

static void
begin_scenario(Sim *s, char **words)
{
    if (s->loads) {
        g_array_free(s->loads, TRUE);
        g_array_free(s->events, TRUE);
    }
    *s = (Sim){.vms = atoi(words[1]),
               .upstreams = atoi(words[2]),
               .same_id = true,
               .loads = g_array_new(FALSE, FALSE, sizeof(Load)),
               .events = g_array_new(FALSE, FALSE, sizeof(Event))};
}

static void
add_load(Sim *s, Kind kind, uint32_t count, const char *per_s,
         const char *run_ms)
{
    Load l = {kind, count, strtod(per_s, NULL),
              (uint32_t)strtoul(run_ms, NULL, 10), 0};
    g_array_append_val(s->loads, l);
}

static void
add_event(Sim *s, EventKind kind, const char *who, uint64_t from_ms,
          uint64_t to_ms)
{
    int number = strcmp(who, "all") == 0      ? -1
                 : strcmp(who, "leader") == 0 ? -2
                                              : atoi(who);
    Event e = {kind, number, from_ms, to_ms, false};
    g_array_append_val(s->events, e);
}

static void
add_restarts(Sim *s, char **words)
{
    uint64_t gap_ms = (uint64_t)(strtod(words[2], NULL) * 1000);
    for (int i = 0; i < s->vms; i++) {
        uint64_t at_ms = read_ms(words[1]) + gap_ms * (uint64_t)i;
        Event e = {EV_KILL, i, at_ms, at_ms + 300, false};
        g_array_append_val(s->events, e);
    }
}

static Policy
read_policy(const char *word)
{
    static const char *const words[] = {"turns", "together", "count",
                                        "share", "whole",    "ratio"};
    for (size_t i = 0; i < G_N_ELEMENTS(words); i++) {
        if (strcmp(word, words[i]) == 0) {
            return (Policy)i;
        }
    }
    return TURNS;
}

static bool
run_line(void *ctx, char **words, int count)
{
    Sim *s = ctx;
    const char *w = words[0];
    if (strcmp(w, "fleet") == 0 && count == 3) {
        begin_scenario(s, words);
    }
    else if (strcmp(w, "deadly") == 0 && count == 4) {
        add_load(s, DEADLY, (uint32_t)atoi(words[1]), words[2], words[3]);
    }
    else if (strcmp(w, "common") == 0 && count == 4) {
        add_load(s, COMMON, (uint32_t)atoi(words[1]), words[2], words[3]);
    }
    else if (strcmp(w, "unique") == 0 && count == 3) {
        add_load(s, UNIQUE, 1, words[1], words[2]);
    }
    else if (strcmp(w, "prompts") == 0 && count == 4) {
        s->firsts = atoi(words[1]);
        s->shared = atoi(words[2]);
        s->sessions = atoi(words[3]);
    }
    else if (strcmp(w, "parted") == 0 && count == 4) {
        add_load(s, PARTED, (uint32_t)atoi(words[1]), words[2], words[3]);
    }
    else if (strcmp(w, "sound") == 0 && count == 3) {
        add_load(s, SOUND, 1, words[1], words[2]);
    }
    else if (strcmp(w, "from") == 0 && count == 2 && s->loads &&
             s->loads->len > 0) {
        g_array_index(s->loads, Load, s->loads->len - 1).from_ms =
            read_ms(words[1]);
    }
    else if (strcmp(w, "leave") == 0 && count == 2) {
        s->leave_percent = (uint32_t)atoi(words[1]);
    }
    else if (strcmp(w, "ends") == 0 && count == 2) {
        s->ends_per_s = strtod(words[1], NULL);
    }
    else if (strcmp(w, "all_end") == 0 && count == 2) {
        add_event(s, EV_ALL_END, "all", read_ms(words[1]), 0);
    }
    else if (strcmp(w, "same_id") == 0 && count == 2) {
        s->same_id = words[1][0] == '1';
    }
    else if (strcmp(w, "kill") == 0 && count == 4) {
        uint64_t at_ms = read_ms(words[2]);
        add_event(s, EV_KILL, words[1], at_ms,
                  at_ms + read_ms(words[3]) - 1000);
    }
    else if (strcmp(w, "restart") == 0 && count == 3) {
        add_restarts(s, words);
    }
    else if (strcmp(w, "cut") == 0 && count == 4) {
        add_event(s, EV_CUT, words[1], read_ms(words[2]), read_ms(words[3]));
    }
    else if (strcmp(w, "policy") == 0 && count == 2) {
        s->policy = read_policy(words[1]);
    }
    else if (strcmp(w, "run") == 0 && count == 3) {
        run(s, strtod(words[1], NULL), strtoull(words[2], NULL, 10));
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
    return script_run(run_line, &s);
}
