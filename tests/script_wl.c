/* Simulates the limits of workspaces (wl) over a fleet of gateways in virtual
   time, with links, relays and delays as on the platform.  One command a line:

     fleet VMS DATA_CENTRES     begins a scenario; there are relays if VMS is
                                more than 24
     bound WINDOW_MS EXCESS SLACK              as WlParams
     workspace NAME RATE BURST
     load NAME PER_S COST FROM_S TO_S [VMS]    requests, at the first VMS only
     limit NAME RATE BURST AT_S                changes a workspace's limit
     cut DATA_CENTRE FROM_S TO_S               disconnects it from the others
     kill leader|all|DATA_CENTRE AT_S DOWN_S
     slow MS FROM_S TO_S                       adds MS to the delay of frames
     policy aggregate|shares|home
                                what admits requests: wl; an equal share for
                                each VM; one VM for each workspace, asked for
                                each request
     run SECONDS SEED           prints a line for each workspace:
       asked        requests
       in           fraction of them that was admitted
       below        refused ones that a single bucket for the whole fleet
                    would have admitted, per 1000 that it admits
       worst        largest amount that ran in a window, over what the bound
                    allows */
#include "script.h"
#include "workspace_limits.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define DIRECT_VMS 24
#define HOP_MS 4 /* minimum delay of a frame; the maximum is twice as long */
#define LINK_MS 300       /* to open a link to another VM */
#define FAILOVER_MS 2300  /* from the loss of the leader to the next one */
#define LEASE_READ_MS 200 /* until a new process has read the lease */
#define SETTLE_MS 4000    /* of a run before the first request */
#define TICK_MS 100
#define CALM_TICK_MS 200
#define FRAMES_MS 2048 /* longest delay of a frame, and size of the ring */
#define NO_VM (-1)

typedef enum { POLICY_AGGREGATE, POLICY_SHARES, POLICY_HOME } Policy;

typedef struct {
    double rate;
    double burst;
    uint64_t from_ms;
} Limit;

typedef struct {
    uint64_t at_ms;
    double cost;
    bool ran;
} Run;

typedef struct {
    char *name;
    GArray *limits; /* Limit, by time */
    GArray *runs;   /* Run: all requests */
    /* a single bucket for the whole fleet, for comparison */
    double ideal_level;
    uint64_t ideal_ms;
    uint32_t below;  /* requests refused that the ideal bucket admits */
    uint32_t within; /* requests that the ideal bucket admits */
    /* bucket of POLICY_HOME */
    double home_level;
    uint64_t home_ms;
} Workspace;

typedef struct {
    int workspace;
    double per_s;
    double cost;
    uint64_t from_ms;
    uint64_t to_ms;
    int vms; /* 0: all */
    double next_ms;
} Load;

typedef enum { FAULT_CUT, FAULT_KILL, FAULT_SLOW } FaultKind;
typedef enum { WHO_LEADER = -2, WHO_ALL = -1 } Who;

typedef struct {
    FaultKind kind;
    int who; /* Who, or a data centre */
    uint64_t slow_ms;
    uint64_t from_ms;
    uint64_t to_ms;
    bool begun;
} Fault;

typedef struct {
    Wl *limits;
    int data_centre;
    uint64_t down_until_ms;
    int target; /* VM that it links to, or NO_VM */
    uint64_t linked_ms;
    uint64_t tick_ms;
    uint64_t reported_ms;
    uint64_t published_ms;
    uint64_t started_ms;
    /* by workspace, for POLICY_SHARES, and POLICY_HOME if home is down */
    double *share_levels;
    uint64_t *share_ms;
} Vm;

typedef struct {
    int from;
    int to;
    bool is_report;
    uint64_t published_ms; /* when the root published its levels */
    double share;
    GArray *spent;  /* WlSpent */
    GArray *levels; /* WlLevel */
} Frame;

typedef struct {
    Policy policy;
    int vms;
    int data_centres;
    WlParams bound;
    GPtrArray *workspaces;
    GArray *loads;
    GArray *faults;
    /* of a run */
    BgRandom rng;
    uint64_t now_ms;
    Vm *fleet;
    int leader;
    int former_leader;          /* cut off, still aggregates; or NO_VM */
    uint64_t lost_ms;           /* when the last leader was lost */
    GPtrArray *ring[FRAMES_MS]; /* Frame */
    DepConfig *config;
} Sim;

/* ---- the fleet ---------------------------------------------------------- */

static bool
is_up(const Sim *s, int vm)
{
    return vm != NO_VM && s->fleet[vm].down_until_ms <= s->now_ms;
}

static bool
is_cut(const Sim *s, int data_centre)
{
    for (guint i = 0; i < s->faults->len; i++) {
        const Fault *f = &g_array_index(s->faults, Fault, i);
        if (f->kind == FAULT_CUT && f->who == data_centre &&
            s->now_ms >= f->from_ms && s->now_ms < f->to_ms) {
            return true;
        }
    }
    return false;
}

static bool
reaches(const Sim *s, int a, int b)
{
    int x = s->fleet[a].data_centre;
    int y = s->fleet[b].data_centre;
    return x == y || (!is_cut(s, x) && !is_cut(s, y));
}

static int
get_relay(const Sim *s, int data_centre)
{
    for (int i = 0; s->vms > DIRECT_VMS && i < s->vms; i++) {
        if (s->fleet[i].data_centre == data_centre && i != s->leader &&
            is_up(s, i)) {
            return i;
        }
    }
    return NO_VM;
}

static int
find_target(const Sim *s, int vm)
{
    int relay = get_relay(s, s->fleet[vm].data_centre);
    if (vm == s->leader || vm == s->former_leader) {
        return NO_VM;
    }
    if (relay != NO_VM && relay != vm) {
        return relay;
    }
    if (is_up(s, s->leader) && reaches(s, vm, s->leader)) {
        return s->leader;
    }
    if (is_up(s, s->former_leader) && reaches(s, vm, s->former_leader)) {
        return s->former_leader;
    }
    return NO_VM;
}

static bool
is_linked(const Sim *s, int vm)
{
    const Vm *v = &s->fleet[vm];
    return is_up(s, vm) && v->target != NO_VM && is_up(s, v->target) &&
           reaches(s, vm, v->target) && s->now_ms >= v->linked_ms;
}

/* Counts the VMs that are linked to VM, directly or through others. */
static uint32_t
count_linked(const Sim *s, int vm)
{
    uint32_t n = 0;
    for (int i = 0; i < s->vms; i++) {
        if (is_linked(s, i) && s->fleet[i].target == vm) {
            n += 1 + count_linked(s, i);
        }
    }
    return n;
}

static void
start_vm(Sim *s, int vm)
{
    Vm *v = &s->fleet[vm];
    if (v->limits) {
        wl_destroy(v->limits);
    }
    WlParams p = s->bound;
    p.seed = bg_next_random(&s->rng);
    v->limits = wl_create(&p);
    wl_on_config(v->limits, s->config);
    v->target = NO_VM;
    v->started_ms = s->now_ms;
    v->tick_ms = s->now_ms + bg_pick_random(&s->rng, TICK_MS);
    for (guint i = 0; i < s->workspaces->len; i++) {
        v->share_levels[i] = 0;
        v->share_ms[i] = s->now_ms;
    }
}

static void
kill_vm(Sim *s, int vm, uint64_t until_ms)
{
    s->fleet[vm].down_until_ms = until_ms;
    start_vm(s, vm);
}

static void
begin_kill(Sim *s, const Fault *f)
{
    for (int i = 0; i < s->vms; i++) {
        bool hit = f->who == WHO_ALL ||
                   (f->who == WHO_LEADER && i == s->leader) ||
                   f->who == s->fleet[i].data_centre;
        if (hit) {
            kill_vm(s, i, f->to_ms);
        }
    }
}

static void
begin_faults(Sim *s)
{
    for (guint i = 0; i < s->faults->len; i++) {
        Fault *f = &g_array_index(s->faults, Fault, i);
        if (!f->begun && s->now_ms >= f->from_ms) {
            f->begun = true;
            if (f->kind == FAULT_KILL) {
                begin_kill(s, f);
            }
        }
    }
}

static bool
holds_lease(const Sim *s, int vm)
{
    return is_up(s, vm) && !is_cut(s, s->fleet[vm].data_centre);
}

static void
follow_lease(Sim *s)
{
    if (s->leader != NO_VM && !holds_lease(s, s->leader)) {
        s->former_leader = is_up(s, s->leader) ? s->leader : NO_VM;
        s->leader = NO_VM;
        s->lost_ms = s->now_ms;
    }
    for (int i = 0; s->leader == NO_VM && i < s->vms &&
                    s->now_ms >= s->lost_ms + FAILOVER_MS;
         i++) {
        if (holds_lease(s, i)) {
            s->leader = i;
        }
    }
    if (s->leader == s->former_leader ||
        (s->former_leader != NO_VM && s->leader != NO_VM &&
         reaches(s, s->leader, s->former_leader))) {
        s->former_leader = NO_VM;
    }
}

static void
follow_links(Sim *s)
{
    for (int i = 0; i < s->vms; i++) {
        int target = is_up(s, i) ? find_target(s, i) : NO_VM;
        if (target != s->fleet[i].target) {
            s->fleet[i].target = target;
            s->fleet[i].linked_ms = s->now_ms + LINK_MS;
            wl_on_link(s->fleet[i].limits);
        }
    }
}

/* ---- frames ------------------------------------------------------------- */

static void
free_frame(void *p)
{
    Frame *f = p;
    g_array_free(f->spent, TRUE);
    g_array_free(f->levels, TRUE);
    g_free(f);
}

static uint64_t
get_slow_ms(const Sim *s)
{
    for (guint i = 0; i < s->faults->len; i++) {
        const Fault *f = &g_array_index(s->faults, Fault, i);
        if (f->kind == FAULT_SLOW && s->now_ms >= f->from_ms &&
            s->now_ms < f->to_ms) {
            return f->slow_ms;
        }
    }
    return 0;
}

static void
send_frame(Sim *s, const Frame *f)
{
    if (!reaches(s, f->from, f->to)) {
        return;
    }
    uint64_t latency_ms = HOP_MS + bg_pick_random(&s->rng, HOP_MS);
    uint64_t at_ms =
        s->now_ms + MIN(latency_ms + get_slow_ms(s), FRAMES_MS - 1);
    Frame *copy = g_memdup2(f, sizeof(*f));
    copy->spent = g_array_copy(f->spent);
    copy->levels = g_array_copy(f->levels);
    g_ptr_array_add(s->ring[at_ms % FRAMES_MS], copy);
}

static void
send_down(Sim *s, const Frame *f)
{
    for (int i = 0; i < s->vms; i++) {
        if (is_linked(s, i) && s->fleet[i].target == f->from) {
            Frame copy = *f;
            copy.to = i;
            send_frame(s, &copy);
        }
    }
}

static void
deliver_frame(Sim *s, const Frame *f)
{
    Vm *v = &s->fleet[f->to];
    if (!is_up(s, f->to)) {
        return;
    }
    for (guint i = 0; i < f->spent->len; i++) {
        wl_on_spent(v->limits, s->now_ms,
                    &g_array_index(f->spent, WlSpent, i));
    }
    if (!f->is_report && v->target == f->from) {
        wl_on_levels(v->limits, s->now_ms, f->published_ms, f->share,
                     (const WlLevel *)f->levels->data, f->levels->len);
        Frame down = *f;
        down.from = f->to;
        send_down(s, &down);
    }
}

static void
deliver_frames(Sim *s)
{
    GPtrArray *due = s->ring[s->now_ms % FRAMES_MS];
    for (guint i = 0; i < due->len; i++) {
        deliver_frame(s, due->pdata[i]);
    }
    g_ptr_array_set_size(due, 0);
}

/* The workspace's own name: unlike the visitor's argument it outlives the
   frame. */
static const char *
intern_name(const Sim *s, const char *name)
{
    for (guint i = 0; i < s->workspaces->len; i++) {
        const Workspace *w = s->workspaces->pdata[i];
        if (strcmp(w->name, name) == 0) {
            return w->name;
        }
    }
    return NULL;
}

typedef struct {
    const Sim *sim;
    Frame *frame;
} FrameBuilder;

static void
add_spent(void *ctx, const WlSpent *spent)
{
    FrameBuilder *f = ctx;
    WlSpent row = *spent;
    row.workspace = intern_name(f->sim, spent->workspace);
    g_array_append_val(f->frame->spent, row);
}

static void
add_level(void *ctx, const WlLevel *level)
{
    FrameBuilder *f = ctx;
    WlLevel row = *level;
    row.workspace = intern_name(f->sim, level->workspace);
    g_array_append_val(f->frame->levels, row);
}

static void
tick_vm(Sim *s, int vm)
{
    Vm *v = &s->fleet[vm];
    Frame f = {.from = vm,
               .spent = g_array_new(FALSE, FALSE, sizeof(WlSpent)),
               .levels = g_array_new(FALSE, FALSE, sizeof(WlLevel))};
    FrameBuilder builder = {s, &f};
    uint64_t pause_ms = wl_is_near_limit(v->limits) ? TICK_MS : CALM_TICK_MS;
    if (s->now_ms >= v->reported_ms + pause_ms && is_linked(s, vm)) {
        v->reported_ms = s->now_ms;
        f.to = v->target;
        f.is_report = true;
        wl_collect_spent(v->limits, add_spent, &builder);
        send_frame(s, &f);
        g_array_set_size(f.spent, 0);
    }
    if (s->now_ms >= v->published_ms + pause_ms) {
        v->published_ms = s->now_ms;
        bool knows_fleet = s->now_ms > v->started_ms + LEASE_READ_MS;
        wl_on_fleet(v->limits, s->now_ms, vm == s->leader,
                    count_linked(s, vm) + 1,
                    knows_fleet ? (uint32_t)s->vms : 0);
        if (wl_publishes(v->limits, s->now_ms)) {
            f.is_report = false;
            f.published_ms = s->now_ms;
            f.share =
                wl_visit_levels(v->limits, s->now_ms, add_level, &builder);
            send_down(s, &f);
        }
    }
    g_array_free(f.spent, TRUE);
    g_array_free(f.levels, TRUE);
}

static void
tick_fleet(Sim *s)
{
    for (int i = 0; i < s->vms; i++) {
        if (is_up(s, i) && s->now_ms >= s->fleet[i].tick_ms) {
            s->fleet[i].tick_ms = s->now_ms + TICK_MS;
            tick_vm(s, i);
        }
    }
}

/* ---- requests ----------------------------------------------------------- */

static const Limit *
get_limit(const Sim *s, const Workspace *w)
{
    const Limit *now = &g_array_index(w->limits, Limit, 0);
    for (guint i = 1; i < w->limits->len; i++) {
        const Limit *l = &g_array_index(w->limits, Limit, i);
        now = l->from_ms <= s->now_ms ? l : now;
    }
    return now;
}

static bool
take_from_bucket(double *level, uint64_t *at_ms, uint64_t now_ms, double rate,
                 double capacity, double cost)
{
    *level = MIN(*level + rate * (double)(now_ms - *at_ms) / 1000., capacity);
    *at_ms = now_ms;
    bool in = *level > 0;
    *level -= in ? cost : 0;
    return in;
}

static bool
take_share(Sim *s, int vm, int workspace, const Limit *l, double cost)
{
    Vm *v = &s->fleet[vm];
    return take_from_bucket(&v->share_levels[workspace],
                            &v->share_ms[workspace], s->now_ms,
                            l->rate / s->vms, l->burst / s->vms, cost);
}

static bool
take_at_home(Sim *s, int vm, int workspace, Workspace *w, const Limit *l,
             double cost)
{
    int home = workspace % s->vms;
    if (!is_up(s, home) || !reaches(s, vm, home)) {
        return take_share(s, vm, workspace, l, cost);
    }
    return take_from_bucket(&w->home_level, &w->home_ms, s->now_ms, l->rate,
                            l->burst, cost);
}

static bool
take(Sim *s, int vm, int workspace, double cost)
{
    Workspace *w = s->workspaces->pdata[workspace];
    const Limit *l = get_limit(s, w);
    if (s->policy == POLICY_SHARES) {
        return take_share(s, vm, workspace, l, cost);
    }
    if (s->policy == POLICY_HOME) {
        return take_at_home(s, vm, workspace, w, l, cost);
    }
    WlRefusal why;
    DepWorkspace asks = {.name = w->name};
    return wl_take(s->fleet[vm].limits, s->now_ms, &asks, cost, &why);
}

static void
arrive(Sim *s, const Load *load)
{
    int vm = (int)bg_pick_random(&s->rng,
                                 (uint32_t)(load->vms ? load->vms : s->vms));
    if (!is_up(s, vm)) {
        return;
    }
    Workspace *w = s->workspaces->pdata[load->workspace];
    const Limit *l = get_limit(s, w);
    bool within = take_from_bucket(&w->ideal_level, &w->ideal_ms, s->now_ms,
                                   l->rate, l->burst, load->cost);
    Run run = {s->now_ms, load->cost,
               take(s, vm, load->workspace, load->cost)};
    w->within += within;
    w->below += within && !run.ran;
    g_array_append_val(w->runs, run);
}

static void
offer_loads(Sim *s)
{
    for (guint i = 0; i < s->loads->len; i++) {
        Load *l = &g_array_index(s->loads, Load, i);
        while (l->next_ms <= (double)s->now_ms && l->per_s > 0) {
            if (s->now_ms >= l->from_ms && s->now_ms < l->to_ms) {
                arrive(s, l);
            }
            double draw = (bg_pick_random(&s->rng, 1 << 20) + 1.) / (1 << 20);
            l->next_ms += -log(draw) * 1000. / l->per_s;
        }
    }
}

/* ---- a run -------------------------------------------------------------- */

static double
get_allowed(const Sim *s, const Workspace *w, uint64_t from_ms)
{
    double max_amount = 0;
    for (guint i = 0; i < w->limits->len; i++) {
        const Limit *l = &g_array_index(w->limits, Limit, i);
        bool past = i + 1 < w->limits->len &&
                    g_array_index(w->limits, Limit, i + 1).from_ms +
                            s->bound.window_ms <=
                        from_ms;
        bool later = l->from_ms > from_ms + s->bound.window_ms;
        double rated = l->rate * s->bound.window_ms / 1000. + l->burst;
        if (!past && !later) {
            max_amount = MAX(max_amount, rated);
        }
    }
    return max_amount * (1 + s->bound.excess) + s->bound.slack;
}

static double
get_worst_window(const Sim *s, const Workspace *w)
{
    double worst = 0;
    double sum = 0;
    guint end = 0;
    for (guint i = 0; i < w->runs->len; i++) {
        const Run *first = &g_array_index(w->runs, Run, i);
        for (; end < w->runs->len; end++) {
            const Run *r = &g_array_index(w->runs, Run, end);
            if (r->at_ms > first->at_ms + s->bound.window_ms) {
                break;
            }
            sum += r->ran ? r->cost : 0;
        }
        worst = MAX(worst, sum / get_allowed(s, w, first->at_ms));
        sum -= first->ran ? first->cost : 0;
    }
    return worst;
}

static void
print_workspace(const Sim *s, const Workspace *w)
{
    uint32_t in = 0;
    for (guint i = 0; i < w->runs->len; i++) {
        in += g_array_index(w->runs, Run, i).ran;
    }
    printf("  %s asked %u in %.2f below %.0f worst %.2f\n", w->name,
           w->runs->len, in / MAX((double)w->runs->len, 1),
           1000. * w->below / MAX(w->within, 1), get_worst_window(s, w));
}

static void
use_config(Sim *s)
{
    dep_unref_config(s->config);
    s->config = dep_create_config();
    for (guint i = 0; i < s->workspaces->len; i++) {
        const Workspace *w = s->workspaces->pdata[i];
        const Limit *l = get_limit(s, w);
        DepWorkspace *d = dep_add_workspace(s->config, w->name);
        d->rate_per_s = l->rate;
        d->burst = l->burst;
    }
}

static void
follow_config(Sim *s)
{
    bool due = false;
    for (guint i = 0; i < s->workspaces->len; i++) {
        const Workspace *w = s->workspaces->pdata[i];
        for (guint j = 1; j < w->limits->len; j++) {
            due =
                due || g_array_index(w->limits, Limit, j).from_ms == s->now_ms;
        }
    }
    if (due) {
        use_config(s);
        for (int i = 0; i < s->vms; i++) {
            wl_on_config(s->fleet[i].limits, s->config);
        }
    }
}

static void
begin_run(Sim *s, uint64_t seed)
{
    bg_seed_random(&s->rng, seed);
    s->now_ms = 1;
    s->leader = NO_VM;
    s->former_leader = NO_VM;
    s->lost_ms = 0;
    use_config(s);
    s->fleet = g_new0(Vm, s->vms);
    for (int i = 0; i < s->vms; i++) {
        s->fleet[i].data_centre = i % s->data_centres;
        s->fleet[i].share_levels = g_new0(double, s->workspaces->len);
        s->fleet[i].share_ms = g_new0(uint64_t, s->workspaces->len);
        start_vm(s, i);
    }
    for (guint i = 0; i < s->workspaces->len; i++) {
        Workspace *w = s->workspaces->pdata[i];
        w->ideal_level = g_array_index(w->limits, Limit, 0).burst;
        w->ideal_ms = w->home_ms = s->now_ms;
        w->home_level = w->ideal_level;
        w->below = w->within = 0;
        g_array_set_size(w->runs, 0);
    }
    for (int i = 0; i < FRAMES_MS; i++) {
        s->ring[i] = g_ptr_array_new_with_free_func(free_frame);
    }
}

static void
end_run(Sim *s)
{
    for (int i = 0; i < s->vms; i++) {
        wl_destroy(s->fleet[i].limits);
        g_free(s->fleet[i].share_levels);
        g_free(s->fleet[i].share_ms);
    }
    g_free(s->fleet);
    for (int i = 0; i < FRAMES_MS; i++) {
        g_ptr_array_free(s->ring[i], TRUE);
    }
    for (guint i = 0; i < s->loads->len; i++) {
        g_array_index(s->loads, Load, i).next_ms = 0;
    }
    for (guint i = 0; i < s->faults->len; i++) {
        g_array_index(s->faults, Fault, i).begun = false;
    }
}

static void
run(Sim *s, uint64_t length_ms, uint64_t seed)
{
    begin_run(s, seed);
    for (; s->now_ms < SETTLE_MS + length_ms; s->now_ms++) {
        begin_faults(s);
        follow_config(s);
        follow_lease(s);
        follow_links(s);
        deliver_frames(s);
        tick_fleet(s);
        offer_loads(s);
    }
    printf("run %llu:\n", (unsigned long long)seed);
    for (guint i = 0; i < s->workspaces->len; i++) {
        print_workspace(s, s->workspaces->pdata[i]);
    }
    end_run(s);
}

/* ---- the script --------------------------------------------------------- */

static uint64_t
read_time(const char *word)
{
    return SETTLE_MS + (uint64_t)(atof(word) * 1000);
}

static int
find_workspace(const Sim *s, const char *name)
{
    for (guint i = 0; i < s->workspaces->len; i++) {
        if (strcmp(((Workspace *)s->workspaces->pdata[i])->name, name) == 0) {
            return (int)i;
        }
    }
    fprintf(stderr, "no workspace '%s'\n", name);
    exit(2);
}

static void
read_workspace(Sim *s, char **words)
{
    Workspace *w = g_new0(Workspace, 1);
    w->name = g_strdup(words[1]);
    w->limits = g_array_new(FALSE, TRUE, sizeof(Limit));
    w->runs = g_array_new(FALSE, TRUE, sizeof(Run));
    Limit l = {atof(words[2]), atof(words[3]), 0};
    g_array_append_val(w->limits, l);
    g_ptr_array_add(s->workspaces, w);
}

static void
read_load(Sim *s, char **words, int count)
{
    Load l = {.workspace = find_workspace(s, words[1]),
              .per_s = atof(words[2]),
              .cost = atof(words[3]),
              .from_ms = read_time(words[4]),
              .to_ms = read_time(words[5]),
              .vms = count > 6 ? atoi(words[6]) : 0};
    g_array_append_val(s->loads, l);
}

static void
read_kill(Sim *s, char **words)
{
    Fault f = {.kind = FAULT_KILL, .from_ms = read_time(words[2])};
    f.who = strcmp(words[1], "leader") == 0 ? WHO_LEADER
            : strcmp(words[1], "all") == 0  ? WHO_ALL
                                            : atoi(words[1]);
    f.to_ms = f.from_ms + (uint64_t)(atof(words[3]) * 1000);
    g_array_append_val(s->faults, f);
}

static void
clear_scenario(Sim *s)
{
    for (guint i = 0; i < s->workspaces->len; i++) {
        Workspace *w = s->workspaces->pdata[i];
        g_free(w->name);
        g_array_free(w->limits, TRUE);
        g_array_free(w->runs, TRUE);
        g_free(w);
    }
    g_ptr_array_set_size(s->workspaces, 0);
    g_array_set_size(s->loads, 0);
    g_array_set_size(s->faults, 0);
    s->policy = POLICY_AGGREGATE;
}

static bool
run_line(void *ctx, char **words, int count)
{
    Sim *s = ctx;
    if (strcmp(words[0], "fleet") == 0 && count == 3) {
        clear_scenario(s);
        s->vms = atoi(words[1]);
        s->data_centres = atoi(words[2]);
    }
    else if (strcmp(words[0], "bound") == 0 && count == 4) {
        s->bound = (WlParams){(uint32_t)atoi(words[1]), atof(words[2]),
                              atof(words[3]), 0};
    }
    else if (strcmp(words[0], "workspace") == 0 && count == 4) {
        read_workspace(s, words);
    }
    else if (strcmp(words[0], "load") == 0 && count >= 6) {
        read_load(s, words, count);
    }
    else if (strcmp(words[0], "limit") == 0 && count == 5) {
        Limit l = {atof(words[2]), atof(words[3]), read_time(words[4])};
        Workspace *w = s->workspaces->pdata[find_workspace(s, words[1])];
        g_array_append_val(w->limits, l);
    }
    else if (strcmp(words[0], "cut") == 0 && count == 4) {
        Fault f = {FAULT_CUT,           atoi(words[1]),      0,
                   read_time(words[2]), read_time(words[3]), false};
        g_array_append_val(s->faults, f);
    }
    else if (strcmp(words[0], "kill") == 0 && count == 4) {
        read_kill(s, words);
    }
    else if (strcmp(words[0], "slow") == 0 && count == 4) {
        Fault f = {FAULT_SLOW,
                   0,
                   (uint64_t)atoi(words[1]),
                   read_time(words[2]),
                   read_time(words[3]),
                   false};
        g_array_append_val(s->faults, f);
    }
    else if (strcmp(words[0], "policy") == 0 && count == 2) {
        s->policy = strcmp(words[1], "shares") == 0 ? POLICY_SHARES
                    : strcmp(words[1], "home") == 0 ? POLICY_HOME
                                                    : POLICY_AGGREGATE;
    }
    else if (strcmp(words[0], "run") == 0 && count == 3) {
        run(s, (uint64_t)(atof(words[1]) * 1000),
            (uint64_t)strtoull(words[2], NULL, 10));
    }
    else {
        return false;
    }
    return true;
}

int
main(void)
{
    Sim s = {.workspaces = g_ptr_array_new(),
             .loads = g_array_new(FALSE, TRUE, sizeof(Load)),
             .faults = g_array_new(FALSE, TRUE, sizeof(Fault))};
    int status = script_run(run_line, &s);
    clear_scenario(&s);
    dep_unref_config(s.config);
    return status;
}
