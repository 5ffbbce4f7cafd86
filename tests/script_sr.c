/* Simulates gateways that read the configuration in the store and publish it
   to each other, in virtual time, with outages, lost requests and answers and
   changes of who leads.  One command a line:

     fleet VMS DIRECT          begins a scenario; DIRECT: most links to the
                               leader, the others go to relays
     hop MS                    most that a message or half a call takes
     outage silent|busy|reset|answers|connections WHO AT_S FOR_S
                               WHO: all, leader, a VM's number, or config (all,
                               for the topic of the configuration).  silent:
                               nothing is answered, then or later; busy: calls
                               are refused; reset: calls end at once, unknown;
                               answers: half of the answers are lost;
                               connections: calls under way get no answer, new
                               ones do
     kill VM|leader AT_S FOR_S its process ends, and starts again after FOR_S;
   0: never freeze VM|leader AT_S FOR_S config AT_S               a version is
   acknowledged policy now|held|forever   held: reads are held open beside any
   leader; forever: these reads are never given up either run SECONDS SEED
   prints late   pairs of a gateway in touch and a version that it took more
   than BOUND_MS after the acknowledgement, or after the store was stable worst
   of these times, in ms, over all pairs taken  pairs reads  calls of all
   gateways peak   of these, the most in a second after an outage calm   reads
   in the last five seconds

     bounds                    prints the worst cases by the constants */
#include "gateway_node.h"
#include "script.h"
#include "store.h"
#include "store_reads.h"

#include <stdlib.h>

#define BOUND_MS 2000   /* of the users, config_ms */
#define CONTACT_MS 3000 /* from the end of a fault until bounds count */
#define TICK_MS 100
#define HEARTBEAT_MS 200
#define LEADER_TIMEOUT_MS 1000
#define LINK_SILENT_MS 900
#define LEASE_MS 1500
#define ELECTION_MS 1500 /* at most, after the lease ended */
#define LEARN_MS 600     /* until a renewal is read, at most */
#define SEARCH_MS 2500   /* by way of others, without the store */
#define LEASE_CALL_MS 300
#define MAX_VERSIONS 16
#define NEVER UINT64_MAX
#define NOBODY (-1)

/* ---- virtual time ------------------------------------------------------- */

typedef struct Sim Sim;
typedef struct Event Event;

struct Event {
    uint64_t at_ms;
    uint64_t nth; /* events of one time run in this order */
    void (*fn)(void *ctx);
    void *ctx;
};

typedef struct {
    StClock base;
    uint64_t now_ms;
    uint64_t nth;
    GSequence *events; /* Event */
} SimClock;

static gint
compare_events(gconstpointer a, gconstpointer b, gpointer ctx)
{
    (void)ctx;
    const Event *x = a;
    const Event *y = b;
    if (x->at_ms != y->at_ms) {
        return x->at_ms < y->at_ms ? -1 : 1;
    }
    return x->nth < y->nth ? -1 : x->nth > y->nth;
}

static uint64_t
get_sim_ms(StClock *c)
{
    return ((SimClock *)c)->now_ms;
}

static void *
start_event(StClock *c, uint32_t delay_ms, void (*fn)(void *ctx), void *ctx)
{
    SimClock *s = (SimClock *)c;
    Event *e = g_new0(Event, 1);
    *e = (Event){s->now_ms + delay_ms, s->nth++, fn, ctx};
    return g_sequence_insert_sorted(s->events, e, compare_events, NULL);
}

static void
stop_event(StClock *c, void *timer)
{
    (void)c;
    g_sequence_remove(timer);
}

static void
destroy_sim_clock(StClock *c)
{
    g_sequence_free(((SimClock *)c)->events);
}

static const StClockOps clock_ops = {get_sim_ms, start_event, stop_event,
                                     destroy_sim_clock};

/* ---- the fleet ---------------------------------------------------------- */

typedef enum {
    OUT_SILENT,
    OUT_BUSY,
    OUT_RESET,
    OUT_ANSWERS,
    OUT_CONNECTIONS
} OutageKind;

typedef enum { WHO_ALL, WHO_LEADER, WHO_CONFIG, WHO_VM } Who;

typedef struct {
    OutageKind kind;
    Who who;
    int vm; /* WHO_VM, or who led as it began */
    uint64_t from_ms;
    uint64_t to_ms;
} Outage;

typedef enum { FAULT_KILL, FAULT_FREEZE } FaultKind;

typedef struct {
    FaultKind kind;
    int vm; /* NOBODY: who leads then */
    uint64_t at_ms;
    uint64_t for_ms;
} Fault;

typedef enum { POLICY_NOW, POLICY_HELD, POLICY_FOREVER } Policy;

typedef struct {
    Sim *sim;
    int nth;
    uint32_t incarnation;
    bool runs;
    bool frozen;
    Sr *reads;
    StWatch *config_watch;
    StWatch *upstream_watch;
    uint64_t version;   /* in force */
    uint64_t born_ms;   /* of its process */
    uint64_t calm_ms;   /* in touch from then on; NEVER: it isn't */
    int leader;         /* as it knows */
    int up;             /* linked to; NOBODY: none */
    uint64_t up_ms;     /* the link opens; NEVER: it doesn't */
    uint64_t leader_ms; /* last heartbeat; 0: none */
    uint64_t lost_ms;   /* neither leader nor store since */
    uint64_t lease_ms;  /* it next reads the lease */
    bool informed;
    bool leader_reads_config;
    bool leader_reads_upstreams;
    GPtrArray *stores; /* VmStore, of each of its processes */
    uint64_t taken_ms[MAX_VERSIONS + 1];
} Vm;

struct Sim {
    SimClock clock;
    St store;
    int vms;
    int direct;
    uint32_t hop_ms;
    Policy policy;
    GArray *outages;  /* Outage */
    GArray *faults;   /* Fault */
    GArray *acked_ms; /* uint64_t, by version - 1 */
    /* of a run */
    BgRandom rng;
    Vm *vm;
    int leader; /* holds the lease; NOBODY: none does */
    uint64_t renewed_ms;
    uint64_t elect_ms;
    uint64_t version; /* in the store */
    uint64_t tail;
    GPtrArray *held; /* Read: pending */
    uint64_t reads;
    uint32_t in_second;
    uint64_t second;
    uint64_t peak;
    uint64_t calm_from_ms;
    uint64_t calm;
    uint64_t length_ms;
};

static uint32_t
draw(Sim *s, uint32_t most)
{
    return most > 0 ? bg_pick_random(&s->rng, most + 1) : 0;
}

static uint32_t
draw_hop(Sim *s)
{
    return 1 + draw(s, s->hop_ms);
}

static uint64_t
get_now(const Sim *s)
{
    return s->clock.now_ms;
}

static void
later(Sim *s, uint32_t delay_ms, void (*fn)(void *ctx), void *ctx)
{
    start_event(&s->clock.base, delay_ms, fn, ctx);
}

static bool
is_up(const Vm *v)
{
    return v->runs && !v->frozen;
}

/* ---- the store ---------------------------------------------------------- */

typedef struct {
    Vm *vm;
    uint32_t incarnation;
    StTopic topic;
    bool lists;
    uint64_t from;
    uint32_t wait_ms;
    uint64_t sent_ms;
    bool lost; /* no answer comes */
    bool over;
    uint32_t refs;
    StReplyFn done;
    void *ctx;
    StResult result;
} Read;

static void
unref_read(Read *r)
{
    if (--r->refs == 0) {
        g_free(r);
    }
}

static bool
hits(const Outage *o, const Read *r, uint64_t now_ms)
{
    bool meant = o->who == WHO_ALL ||
                 (o->who == WHO_CONFIG && r->topic == ST_CONFIG) ||
                 (o->who > WHO_CONFIG && o->vm == r->vm->nth) ||
                 (o->who == WHO_LEADER && o->vm == r->vm->nth);
    return meant && now_ms >= o->from_ms && now_ms < o->to_ms;
}

static const Outage *
find_outage(const Sim *s, const Read *r)
{
    for (guint i = 0; i < s->outages->len; i++) {
        const Outage *o = &g_array_index(s->outages, Outage, i);
        if (o->kind != OUT_CONNECTIONS && hits(o, r, get_now(s))) {
            return o;
        }
    }
    return NULL;
}

static bool
reaches_store(Vm *v)
{
    Read r = {.vm = v, .topic = ST_OWNER};
    return is_up(v) && !find_outage(v->sim, &r);
}

/* The answer, or the timeout, has come. */
static void
finish_read(Read *r, StResult result)
{
    if (r->over) {
        return;
    }
    r->over = true;
    Sim *s = r->vm->sim;
    g_ptr_array_remove_fast(s->held, r);
    bool gone = r->vm->incarnation != r->incarnation;
    if (gone) {
        result = ST_UNREACHABLE; /* its watch went with the process */
    }
    g_autoptr(GPtrArray) records =
        g_ptr_array_new_with_free_func(st_free_record);
    uint64_t tail = r->topic == ST_CONFIG ? s->version : s->tail;
    if (result == ST_OK && r->topic == ST_CONFIG && tail > 0 &&
        (r->lists || tail > r->from)) {
        StRecord *x = st_create_record("config", 6, tail - 1);
        x->value = g_bytes_new(&s->version, sizeof(s->version));
        g_ptr_array_add(records, x);
    }
    StReply reply = {.result = result,
                     .records = result == ST_OK ? records : NULL,
                     .tail = tail,
                     .next = MAX(tail, r->from)};
    r->done(r->ctx, &reply);
}

static void
on_answer(void *ctx)
{
    Read *r = ctx;
    if (!r->lost && !r->vm->frozen) {
        finish_read(r, r->result);
    }
    unref_read(r);
}

static void
on_timeout(void *ctx)
{
    Read *r = ctx;
    finish_read(r, ST_UNREACHABLE);
    unref_read(r);
}

static void
send_answer(Read *r, StResult result)
{
    Sim *s = r->vm->sim;
    const Outage *o = find_outage(s, r);
    bool lost = o && (o->kind == OUT_SILENT ||
                      (o->kind == OUT_ANSWERS && draw(s, 1) == 0));
    if (lost || r->lost || r->over) {
        r->lost = true;
        return;
    }
    r->result = result;
    r->refs++;
    later(s, draw_hop(s), on_answer, r);
}

static void
on_wait_over(void *ctx)
{
    Read *r = ctx;
    if (g_ptr_array_find(r->vm->sim->held, r, NULL)) {
        send_answer(r, ST_OK);
    }
    unref_read(r);
}

static bool
has_news(const Read *r)
{
    const Sim *s = r->vm->sim;
    return r->lists || (r->topic == ST_CONFIG && s->version > r->from);
}

static void
on_arrival(void *ctx)
{
    Read *r = ctx;
    Sim *s = r->vm->sim;
    const Outage *o = find_outage(s, r);
    if (r->vm->frozen || (o && o->kind == OUT_SILENT)) {
        r->lost = true;
    }
    else if (o && (o->kind == OUT_BUSY || o->kind == OUT_RESET)) {
        send_answer(r, o->kind == OUT_BUSY ? ST_REFUSED : ST_UNREACHABLE);
    }
    else if (has_news(r) || r->wait_ms == 0) {
        send_answer(r, ST_OK);
    }
    else {
        g_ptr_array_add(s->held, r);
        r->refs++;
        later(s, r->wait_ms, on_wait_over, r);
    }
    unref_read(r);
}

static void
count_read(Sim *s)
{
    uint64_t second = get_now(s) / 1000;
    s->in_second = second == s->second ? s->in_second + 1 : 1;
    s->second = second;
    s->peak = MAX(s->peak, s->in_second);
    s->reads++;
    s->calm += get_now(s) >= s->calm_from_ms;
}

typedef struct {
    St base;
    Vm *vm;
} VmStore;

static void
begin_read(St *store, StTopic topic, bool lists, uint64_t from,
           uint32_t wait_ms, StReplyFn done, void *ctx)
{
    Vm *v = ((VmStore *)store)->vm;
    Read *r = g_new0(Read, 1);
    *r = (Read){.vm = v,
                .incarnation = v->incarnation,
                .topic = topic,
                .lists = lists,
                .from = from,
                .wait_ms = wait_ms,
                .sent_ms = get_now(v->sim),
                .refs = 2,
                .done = done,
                .ctx = ctx};
    count_read(v->sim);
    later(v->sim, draw_hop(v->sim), on_arrival, r);
    later(v->sim, wait_ms + ST_CALL_TIMEOUT_MS, on_timeout, r);
}

static void
list_topic(St *s, StTopic topic, const char *after, StReplyFn done, void *ctx)
{
    (void)after;
    begin_read(s, topic, true, 0, 0, done, ctx);
}

static void
read_topic(St *s, StTopic topic, uint64_t from, uint32_t wait_ms,
           StReplyFn done, void *ctx)
{
    begin_read(s, topic, false, from, wait_ms, done, ctx);
}

static const StOps store_ops = {list_topic, read_topic, NULL};

static void
answer_held(Sim *s)
{
    for (guint i = s->held->len; i > 0; i--) {
        Read *r = s->held->pdata[i - 1];
        if (has_news(r)) {
            g_ptr_array_remove_index_fast(s->held, i - 1);
            send_answer(r, ST_OK);
        }
    }
}

/* ---- links -------------------------------------------------------------- */

static bool
is_linked(const Vm *v)
{
    return v->up != NOBODY && get_now(v->sim) >= v->up_ms;
}

static bool
hears_leader(const Vm *v)
{
    return v->sim->leader == v->nth ||
           (v->leader_ms &&
            get_now(v->sim) < v->leader_ms + LEADER_TIMEOUT_MS);
}

static bool
has_relay(const Vm *v)
{
    return v->up != NOBODY && v->up != v->leader;
}

typedef struct {
    Vm *to;
    uint32_t incarnation;
    uint64_t version;
    int leader; /* of a heartbeat; NOBODY: it is a configuration */
    bool informed;
    bool reads_config;
    bool reads_upstreams;
    uint64_t sent_ms;
} Frame;

static void take_version(Vm *v, uint64_t version);

static void
on_frame(void *ctx)
{
    Frame *f = ctx;
    Vm *v = f->to;
    bool there = is_up(v) && v->incarnation == f->incarnation;
    if (there && f->leader == NOBODY) {
        take_version(v, f->version);
    }
    else if (there) {
        v->leader_ms = MAX(v->leader_ms, f->sent_ms);
        v->informed = f->informed;
        v->leader_reads_config = f->reads_config;
        v->leader_reads_upstreams = f->reads_upstreams;
        if (sr_on_config_version(v->reads, get_now(v->sim),
                                 f->version > v->version)) {
            st_restart(v->config_watch, get_now(v->sim), SR_SLOW_CALL_MS);
        }
    }
    g_free(f);
}

static void
send_frame(const Vm *from, Vm *to, const Frame *frame)
{
    Frame *f = g_memdup2(frame, sizeof(*frame));
    f->to = to;
    f->incarnation = to->incarnation;
    uint32_t hops = from->nth == to->up || to->nth == from->up ? 1 : 2;
    uint32_t delay_ms = 0;
    for (uint32_t i = 0; i < hops; i++) {
        delay_ms += draw_hop(from->sim);
    }
    later(from->sim, delay_ms, on_frame, f);
}

static void
publish(Vm *v)
{
    Frame f = {.version = v->version, .leader = NOBODY};
    for (int i = 0; i < v->sim->vms; i++) {
        Vm *x = &v->sim->vm[i];
        if (x->up == v->nth && is_linked(x)) {
            send_frame(v, x, &f);
        }
    }
    if (is_linked(v)) { /* it reports the version, and is asked for it */
        f.version = v->version;
        send_frame(v, &v->sim->vm[v->up], &f);
    }
}

static void
take_version(Vm *v, uint64_t version)
{
    if (version <= v->version) {
        return;
    }
    for (uint64_t n = v->version + 1; n <= version; n++) {
        v->taken_ms[n] = get_now(v->sim);
    }
    v->version = version;
    publish(v);
}

static void
on_config_records(void *ctx, const GPtrArray *records, StBatchKind kind,
                  GHashTable *listed)
{
    (void)kind;
    (void)listed;
    for (guint i = 0; i < records->len; i++) {
        const StRecord *r = records->pdata[i];
        take_version(ctx, r->offset + 1);
    }
}

static void
on_upstream_records(void *ctx, const GPtrArray *records, StBatchKind kind,
                    GHashTable *listed)
{
    (void)ctx;
    (void)records;
    (void)kind;
    (void)listed;
}

static void
on_reachable(void *ctx, bool reachable)
{
    (void)ctx;
    (void)reachable;
}

static bool
is_fresh(const Vm *v, const StWatch *w, uint32_t fresh_ms)
{
    return st_get_age_ms(w, get_now(v->sim)) < fresh_ms;
}

static bool
has_reader(const Vm *v)
{
    for (int i = 0; i < v->sim->vms; i++) {
        const Vm *x = &v->sim->vm[i];
        bool linked = x == v || (x->up == v->nth && is_linked(x));
        if (is_up(x) && linked &&
            is_fresh(x, x->upstream_watch, SR_UPSTREAMS_FRESH_MS)) {
            return true;
        }
    }
    return false;
}

/* The leader, and a former one to those that are still linked to it. */
static void
send_heartbeat(Vm *v)
{
    Frame f = {.version = v->version,
               .leader = v->nth,
               .informed = has_reader(v),
               .reads_config =
                   is_fresh(v, v->config_watch, SR_CONFIG_FRESH_MS),
               .reads_upstreams =
                   is_fresh(v, v->upstream_watch, SR_UPSTREAMS_FRESH_MS),
               .sent_ms = get_now(v->sim)};
    for (int i = 0; i < v->sim->vms; i++) {
        Vm *x = &v->sim->vm[i];
        const Vm *up = x->up == NOBODY ? NULL : &v->sim->vm[x->up];
        bool by_relay = up && up->up == v->nth && is_up(up) && is_linked(up);
        if (up && is_linked(x) && (up == v || by_relay)) {
            send_frame(v, x, &f);
        }
    }
}

/* ---- who leads ---------------------------------------------------------- */

static int
count_links(const Sim *s, int to)
{
    int n = 0;
    for (int i = 0; i < s->vms; i++) {
        n += s->vm[i].up == to;
    }
    return n;
}

/* To the leader, or to one of those linked to it if that has its share. */
static void
link_to(Vm *v, int leader)
{
    Sim *s = v->sim;
    v->leader = leader;
    v->up = leader;
    for (int i = 0; i < s->vms && count_links(s, leader) > s->direct; i++) {
        const Vm *relay = &s->vm[i];
        if (i != v->nth && relay->up == leader && is_up(relay)) {
            v->up = i;
        }
    }
    v->up_ms = get_now(s) + 2 * draw_hop(s) + draw(s, 100);
}

static void
lose_link(Vm *v)
{
    uint64_t now_ms = get_now(v->sim);
    v->up = NOBODY;
    v->up_ms = NEVER;
    sr_on_link_lost(v->reads, now_ms);
    if (v->sim->policy != POLICY_FOREVER) {
        st_set_wait(v->config_watch, now_ms, SR_CONFIG_WAIT_MS);
    }
    st_restart(v->config_watch, now_ms, 0);
    st_restart(v->upstream_watch, now_ms, 0);
}

static void
break_links(Sim *s, int to)
{
    for (int i = 0; i < s->vms; i++) {
        if (s->vm[i].up == to && is_up(&s->vm[i])) {
            lose_link(&s->vm[i]);
        }
    }
}

static void
elect(Sim *s)
{
    int first = (int)draw(s, (uint32_t)s->vms - 1);
    for (int i = 0; i < s->vms; i++) {
        Vm *v = &s->vm[(first + i) % s->vms];
        bool waits = v->up != NOBODY && hears_leader(v);
        if (reaches_store(v) && !waits) {
            s->leader = v->nth;
            s->renewed_ms = get_now(s);
            v->up = NOBODY;
            v->leader = v->nth;
            return;
        }
    }
}

static bool
may_renew(Sim *s)
{
    if (!is_up(&s->vm[s->leader])) {
        return false;
    }
    for (int i = 0; i < s->vms; i++) { /* linked gateways append it, too */
        bool linked = i == s->leader || s->vm[i].up == s->leader;
        if (linked && reaches_store(&s->vm[i])) {
            return true;
        }
    }
    return false;
}

static void
tick_lease(Sim *s)
{
    uint64_t now_ms = get_now(s);
    if (s->leader != NOBODY && may_renew(s)) {
        s->renewed_ms = now_ms;
    }
    else if (s->leader != NOBODY && now_ms >= s->renewed_ms + LEASE_MS) {
        s->leader = NOBODY;
        s->elect_ms = now_ms + draw(s, ELECTION_MS);
    }
    else if (s->leader == NOBODY && now_ms >= s->elect_ms) {
        elect(s);
    }
}

/* It reads who leads, or asks others. */
static void
follow_leader(Vm *v)
{
    Sim *s = v->sim;
    uint64_t now_ms = get_now(s);
    bool fits =
        s->leader == NOBODY || s->leader == v->nth || v->leader == s->leader;
    bool may_read = now_ms >= v->lease_ms && reaches_store(v);
    bool blind = !hears_leader(v) && !reaches_store(v);
    v->lost_ms = blind ? (v->lost_ms ? v->lost_ms : now_ms) : 0;
    bool searched = blind && now_ms >= v->lost_ms + SEARCH_MS;
    if (now_ms >= v->lease_ms) {
        v->lease_ms = now_ms + LEASE_CALL_MS + draw(s, LEARN_MS);
    }
    if (!fits && (may_read || searched)) {
        link_to(v, s->leader);
    }
    else if (v->up == NOBODY && v->leader != v->nth && v->leader != NOBODY &&
             is_up(&s->vm[v->leader])) {
        link_to(v, v->leader); /* the link is opened again */
    }
}

/* ---- a gateway ---------------------------------------------------------- */

static SrView
view_reads(const Vm *v)
{
    const Vm *relay = has_relay(v) ? &v->sim->vm[v->up] : NULL;
    bool serves =
        relay && is_linked(v) &&
        (hears_leader(relay) ||
         is_fresh(relay, relay->upstream_watch, SR_UPSTREAMS_FRESH_MS));
    bool held = v->sim->policy != POLICY_NOW;
    return (SrView){.is_leader = v->sim->leader == v->nth,
                    .hears_leader = hears_leader(v),
                    .has_relay = relay != NULL,
                    .relay_serves = serves,
                    .informed = v->informed,
                    .leader_reads_config = v->leader_reads_config || held,
                    .leader_reads_upstreams = v->leader_reads_upstreams,
                    .lacks_state =
                        v->version == 0 || !st_is_listed(v->upstream_watch),
                    .fleet = (uint32_t)v->sim->vms};
}

static void
plan_reads(Vm *v)
{
    uint64_t now_ms = get_now(v->sim);
    SrView view = view_reads(v);
    SrPlan plan = sr_plan(v->reads, now_ms, &view);
    bool gives_up = v->sim->policy != POLICY_FOREVER;
    /* NOW_MS 0: as if the read had just begun. */
    st_set_wait(v->config_watch, gives_up ? now_ms : 0, plan.config_wait_ms);
    st_set_idle(v->config_watch, !plan.reads_config);
    st_set_pause(v->upstream_watch, plan.upstreams_pause_ms);
    st_set_idle(v->upstream_watch, !plan.reads_upstreams);
    st_set_max_backoff(v->config_watch, plan.max_backoff_ms);
    st_set_max_backoff(v->upstream_watch, plan.max_backoff_ms);
}

static void
notice_silent_link(Vm *v)
{
    bool silent = v->up != NOBODY && v->sim->vm[v->up].frozen &&
                  get_now(v->sim) > v->leader_ms + LINK_SILENT_MS;
    if (silent) {
        lose_link(v);
    }
}

static void on_tick(void *ctx);

static void
schedule_tick(Vm *v)
{
    later(v->sim, TICK_MS, on_tick, v);
}

static void
on_tick(void *ctx)
{
    Vm *v = ctx;
    if (v->nth == 0) {
        tick_lease(v->sim);
    }
    if (is_up(v)) {
        notice_silent_link(v);
        follow_leader(v);
        plan_reads(v);
        bool beats = get_now(v->sim) / TICK_MS % (HEARTBEAT_MS / TICK_MS) == 0;
        if (beats && (v->sim->leader == v->nth || v->leader == v->nth)) {
            send_heartbeat(v);
        }
    }
    schedule_tick(v);
}

static void
start_vm(Vm *v)
{
    Sim *s = v->sim;
    VmStore *store = g_new0(VmStore, 1); /* lives as long as its calls */
    g_ptr_array_add(v->stores, store);
    store->base.ops = &store_ops;
    store->vm = v;
    StWatchParams config = {ST_CONFIG, "config", SR_CONFIG_WAIT_MS,
                            SR_CONFIG_PAUSE_MS, draw(s, UINT32_MAX - 1)};
    StWatchHandler on_config = {v, on_config_records, on_reachable};
    StWatchParams ups = {ST_UPSTREAMS, "upstreams", 0, SR_UPSTREAM_PAUSE_MS,
                         draw(s, UINT32_MAX - 1)};
    StWatchHandler on_ups = {v, on_upstream_records, on_reachable};
    v->runs = true;
    v->version = 0;
    v->born_ms = get_now(s);
    v->leader = NOBODY;
    v->up = NOBODY;
    v->up_ms = NEVER;
    v->reads = sr_create(get_now(s), draw(s, UINT32_MAX - 1));
    v->config_watch =
        st_create_watch(&s->clock.base, &store->base, &config, &on_config);
    v->upstream_watch =
        st_create_watch(&s->clock.base, &store->base, &ups, &on_ups);
}

static void
stop_vm(Vm *v)
{
    v->runs = false;
    v->incarnation++;
    v->up = NOBODY;
    st_destroy_watch(v->config_watch);
    st_destroy_watch(v->upstream_watch);
    sr_destroy(v->reads);
}

/* ---- what happens ------------------------------------------------------- */

typedef struct {
    Sim *sim;
    guint index;
} Happening;

static void
begin_outage(void *ctx)
{
    Happening *h = ctx;
    Sim *s = h->sim;
    Outage *o = &g_array_index(s->outages, Outage, h->index);
    if (o->who == WHO_LEADER) {
        o->vm = s->leader;
    }
    for (guint i = s->held->len; o->kind == OUT_CONNECTIONS && i > 0; i--) {
        Read *r = s->held->pdata[i - 1];
        if (hits(o, r, get_now(s))) {
            r->lost = true;
        }
    }
    g_free(h);
}

static void
end_fault(void *ctx)
{
    Vm *v = ctx;
    v->calm_ms = get_now(v->sim) + CONTACT_MS;
    if (v->frozen) {
        v->frozen = false;
    }
    else if (!v->runs) {
        start_vm(v);
    }
}

static void
begin_fault(void *ctx)
{
    Happening *h = ctx;
    Sim *s = h->sim;
    const Fault *f = &g_array_index(s->faults, Fault, h->index);
    int nth = f->vm == NOBODY ? s->leader : f->vm;
    g_free(h);
    if (nth == NOBODY || !is_up(&s->vm[nth])) {
        return;
    }
    Vm *v = &s->vm[nth];
    v->calm_ms = NEVER;
    if (f->kind == FAULT_FREEZE) {
        v->frozen = true;
    }
    else {
        stop_vm(v);
        break_links(s, nth);
    }
    if (f->for_ms > 0) {
        later(s, (uint32_t)f->for_ms, end_fault, v);
    }
}

static void
write_config(void *ctx)
{
    Sim *s = ctx;
    s->version++;
    answer_held(s);
}

static void
plan_happening(Sim *s, guint index, uint64_t at_ms, void (*fn)(void *ctx))
{
    Happening *h = g_new(Happening, 1);
    *h = (Happening){s, index};
    later(s, (uint32_t)at_ms, fn, h);
}

static void
plan_all(Sim *s)
{
    for (guint i = 0; i < s->outages->len; i++) {
        plan_happening(s, i, g_array_index(s->outages, Outage, i).from_ms,
                       begin_outage);
    }
    for (guint i = 0; i < s->faults->len; i++) {
        plan_happening(s, i, g_array_index(s->faults, Fault, i).at_ms,
                       begin_fault);
    }
    for (guint i = 0; i < s->acked_ms->len; i++) {
        later(s, (uint32_t)g_array_index(s->acked_ms, uint64_t, i),
              write_config, s);
    }
}

/* ---- the outcome -------------------------------------------------------- */

/* From when the bound of a version that was acknowledged at AT_MS counts for
   V, also while the store turns others away; NEVER: V isn't in touch. */
static uint64_t
get_due_ms(const Sim *s, const Vm *v, uint64_t at_ms)
{
    if (v->calm_ms == NEVER || !v->runs) {
        return NEVER;
    }
    uint64_t due_ms = MAX(at_ms, v->calm_ms);
    for (guint i = 0; i < s->outages->len; i++) {
        const Outage *o = &g_array_index(s->outages, Outage, i);
        bool of_all = o->who == WHO_ALL || o->who == WHO_CONFIG;
        if (of_all || o->vm == v->nth) {
            due_ms = MAX(due_ms, o->to_ms + CONTACT_MS);
        }
    }
    return due_ms;
}

typedef struct {
    uint64_t late;
    uint64_t worst_ms;
    uint64_t taken;
} Outcome;

static Outcome
judge(const Sim *s)
{
    Outcome out = {0, 0, 0};
    for (int i = 0; i < s->vms; i++) {
        const Vm *v = &s->vm[i];
        for (guint n = 1; n <= s->acked_ms->len; n++) {
            uint64_t at_ms = g_array_index(s->acked_ms, uint64_t, n - 1);
            uint64_t due_ms = get_due_ms(s, v, at_ms);
            uint64_t got_ms = v->taken_ms[n] ? v->taken_ms[n] : s->length_ms;
            if (due_ms == NEVER || due_ms + BOUND_MS >= s->length_ms) {
                continue;
            }
            uint64_t took_ms = got_ms > due_ms ? got_ms - due_ms : 0;
            out.taken++;
            out.late += took_ms > BOUND_MS;
            out.worst_ms = MAX(out.worst_ms, took_ms);
        }
    }
    return out;
}

/* ---- commands ----------------------------------------------------------- */

static void
begin_run(Sim *s, uint64_t length_ms, uint64_t seed)
{
    bg_seed_random(&s->rng, seed);
    s->clock.base.ops = &clock_ops;
    s->clock.now_ms = 1;
    s->clock.events = g_sequence_new(g_free);
    s->held = g_ptr_array_new();
    s->length_ms = length_ms;
    s->calm_from_ms = length_ms - 5000;
    s->leader = 0;
    s->renewed_ms = 1;
    s->reads = s->peak = s->calm = 0;
    s->version = 0;
    s->vm = g_new0(Vm, s->vms);
    for (int i = 0; i < s->vms; i++) {
        s->vm[i].sim = s;
        s->vm[i].nth = i;
        s->vm[i].stores = g_ptr_array_new_with_free_func(g_free);
        start_vm(&s->vm[i]);
        later(s, draw(s, TICK_MS), on_tick, &s->vm[i]);
    }
    plan_all(s);
}

/* As in the pool, each call is answered once, also if its watch is gone. */
static void
drop_read(Read *r)
{
    if (!r->over) {
        StReply none = {.result = ST_UNREACHABLE};
        r->over = true;
        r->done(r->ctx, &none);
    }
    unref_read(r);
}

static void
drop_event(Event *e)
{
    if (e->fn == on_answer || e->fn == on_timeout || e->fn == on_wait_over ||
        e->fn == on_arrival) {
        drop_read(e->ctx);
    }
    else if (e->fn == on_frame || e->fn == begin_outage ||
             e->fn == begin_fault) {
        g_free(e->ctx);
    }
}

/* Events that are still to come are dropped. */
static void
end_run(Sim *s)
{
    for (int i = 0; i < s->vms; i++) {
        Vm *v = &s->vm[i];
        if (v->runs) {
            stop_vm(v);
        }
        g_ptr_array_free(v->stores, TRUE);
    }
    GSequenceIter *it = g_sequence_get_begin_iter(s->clock.events);
    for (; !g_sequence_iter_is_end(it); it = g_sequence_iter_next(it)) {
        drop_event(g_sequence_get(it));
    }
    st_destroy_clock(&s->clock.base);
    g_ptr_array_free(s->held, TRUE);
    g_array_free(s->outages, TRUE);
    g_array_free(s->faults, TRUE);
    g_array_free(s->acked_ms, TRUE);
    g_free(s->vm);
    s->outages = NULL;
}

static void
run(Sim *s, uint64_t length_ms, uint64_t seed)
{
    uint64_t first_ms = 0; /* of the version that is there at the start */
    g_array_prepend_val(s->acked_ms, first_ms);
    begin_run(s, length_ms, seed);
    GSequenceIter *next;
    while (!g_sequence_iter_is_end(
        next = g_sequence_get_begin_iter(s->clock.events))) {
        Event e = *(Event *)g_sequence_get(next);
        if (e.at_ms > length_ms) {
            break;
        }
        s->clock.now_ms = e.at_ms;
        g_sequence_remove(next);
        e.fn(e.ctx);
    }
    Outcome out = judge(s);
    printf("late %llu worst %llu taken %llu reads %llu peak %llu calm %llu\n",
           (unsigned long long)out.late, (unsigned long long)out.worst_ms,
           (unsigned long long)out.taken, (unsigned long long)s->reads,
           (unsigned long long)s->peak, (unsigned long long)s->calm);
    end_run(s);
}

static Who
parse_who(const char *word, int *vm)
{
    *vm = atoi(word);
    return strcmp(word, "all") == 0      ? WHO_ALL
           : strcmp(word, "leader") == 0 ? WHO_LEADER
           : strcmp(word, "config") == 0 ? WHO_CONFIG
                                         : WHO_VM;
}

static uint64_t
parse_ms(const char *seconds)
{
    return (uint64_t)(atof(seconds) * 1000);
}

static bool
add_outage(Sim *s, char **words)
{
    static const char *const kinds[] = {"silent", "busy", "reset", "answers",
                                        "connections"};
    Outage o = {.from_ms = parse_ms(words[3])};
    o.to_ms = o.from_ms + parse_ms(words[4]);
    o.who = parse_who(words[2], &o.vm);
    for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++) {
        if (strcmp(words[1], kinds[i]) == 0) {
            o.kind = (OutageKind)i;
            g_array_append_val(s->outages, o);
            return true;
        }
    }
    return false;
}

static void
add_fault(Sim *s, FaultKind kind, char **words)
{
    Fault f = {kind, NOBODY, parse_ms(words[2]), parse_ms(words[3])};
    if (strcmp(words[1], "leader") != 0) {
        f.vm = atoi(words[1]);
    }
    g_array_append_val(s->faults, f);
}

static Policy
parse_policy(const char *word)
{
    return strcmp(word, "held") == 0      ? POLICY_HELD
           : strcmp(word, "forever") == 0 ? POLICY_FOREVER
                                          : POLICY_NOW;
}

/* From the return of the store until a read that was lost last is answered
   anew: its own timeout and the pause after it, or, if the store failed for
   longer, the longest pause. */
static uint32_t
get_worst_ms(uint32_t wait_ms)
{
    return ST_CALL_TIMEOUT_MS +
           MAX(wait_ms + ST_FIRST_BACKOFF_MS, ST_MAX_BACKOFF_MS);
}

static void
print_bounds(void)
{
    uint32_t noticed_ms =
        MAX(SR_CONFIG_FRESH_MS, SR_CONFIG_WAIT_MS + ST_LATE_ANSWER_MS);
    printf("configuration: %u\n", get_worst_ms(SR_CONFIG_WAIT_MS));
    printf("configuration, held beside the leader: %u\n",
           noticed_ms + HEARTBEAT_MS + TICK_MS);
    printf("upstreams: %u\n", get_worst_ms(0));
    printf("lease: %u\n", ST_CALL_TIMEOUT_MS +
                              (LS_READ_INTERVAL_MS << LS_MAX_READ_DOUBLINGS));
    printf("versions: %u\n",
           ST_CALL_TIMEOUT_MS + GN_PLAN_RETRY_MS + HEARTBEAT_MS);
    printf("notes: %u\n", ST_CALL_TIMEOUT_MS + GN_NOTES_BATCH_MS);
    printf("mailbox: %u\n", get_worst_ms(0) + GN_MAIL_READ_INTERVAL_MS);
}

static bool
run_line(void *ctx, char **words, int count)
{
    Sim *s = ctx;
    if (strcmp(words[0], "fleet") == 0 && count == 3) {
        *s = (Sim){.vms = atoi(words[1]),
                   .direct = atoi(words[2]),
                   .hop_ms = 3,
                   .outages = g_array_new(FALSE, FALSE, sizeof(Outage)),
                   .faults = g_array_new(FALSE, FALSE, sizeof(Fault)),
                   .acked_ms = g_array_new(FALSE, FALSE, sizeof(uint64_t))};
        return s->vms > 0;
    }
    if (strcmp(words[0], "bounds") == 0) {
        print_bounds();
        return true;
    }
    if (!s->outages) {
        return false;
    }
    if (strcmp(words[0], "hop") == 0 && count == 2) {
        s->hop_ms = (uint32_t)atoi(words[1]);
        return true;
    }
    if (strcmp(words[0], "outage") == 0 && count == 5) {
        return add_outage(s, words);
    }
    if (strcmp(words[0], "kill") == 0 && count == 4) {
        add_fault(s, FAULT_KILL, words);
        return true;
    }
    if (strcmp(words[0], "freeze") == 0 && count == 4) {
        add_fault(s, FAULT_FREEZE, words);
        return true;
    }
    if (strcmp(words[0], "config") == 0 && count == 2 &&
        s->acked_ms->len + 1 < MAX_VERSIONS) {
        uint64_t at_ms = parse_ms(words[1]);
        g_array_append_val(s->acked_ms, at_ms);
        return true;
    }
    if (strcmp(words[0], "policy") == 0 && count == 2) {
        s->policy = parse_policy(words[1]);
        return true;
    }
    if (strcmp(words[0], "run") == 0 && count == 3) {
        run(s, parse_ms(words[1]), strtoull(words[2], NULL, 10));
        return true;
    }
    return false;
}

int
main(void)
{
    static Sim sim;
    return script_run(run_line, &sim);
}
