#include "workspace_limits.h"

#include <math.h>

/* Time constant of the mean rate of demand, and the time in which a level is
   steered back to zero.  Aggregation takes about half of it; a shorter time
   would make the admitted fraction oscillate. */
#define SETTLE_MS 700
/* Part of the allowance (what the bound permits beyond rate and burst) that is
   added to the bucket for bursts; the rest covers the delay of aggregation. */
#define CAPACITY_PART 0.15
/* The same for a relay that goes by its own counts.  It does not depend on the
   relay's share: a request is as large for few gateways as for all. */
#define GROUP_PART 0.12
/* Levels are published several times a second; older ones are not used. */
#define LEVELS_LIFETIME_MS 500
/* Part of its share of the bucket with which a new process starts, until it
   first gets levels: the process before it may have spent the rest. */
#define START_PART 0.5
/* Time until a report of what is missing from this gateway's share is included
   in the published levels. */
#define JOIN_DELAY_MS 400
/* Number of gateways assumed while the fleet's size is unknown. */
#define ASSUMED_FLEET 64
/* Minimum share of the root aggregator.  While it does not hear from some
   gateways it leaves their shares unused, but goes on using at least this part
   of the limit: most of those gateways are down, and their callers come to the
   others. */
#define MIN_SHARE 0.6
/* A workspace is near its limit, and its level is published, while less than
   this many times its demand could be admitted. */
#define NEAR_LIMIT 2
/* A decrease of the fleet's size takes effect after this time: a new root
   aggregator knows only a few gateways at first, and gateways that are cut off
   go on spending. */
#define FLEET_MEMORY_MS 30000
/* Part of the allowance that may be owed before nothing more is admitted,
   however low the demand. */
#define MAX_DEBT_PART 0.4
/* The decision on a request counts its cost as at most this part of the
   bucket. */
#define MAX_REQUEST_PART 0.5
/* Accounts unused for this long are removed. */
#define IDLE_MS 30000
#define ROUNDING 1e-9 /* of a bucket: rounding error of summed fractions */
#define MIN_RETRY_MS 200
#define RETRY_SPREAD_MS 1000 /* so that callers don't all retry at once */

/* The counts by which requests are admitted. */
typedef enum {
    VIEW_OWN,      /* of this gateway and those that it aggregates for */
    VIEW_ISOLATED, /* the last levels received, while this gateway's share
                      lasts; for gateways that aggregate for no other */
    VIEW_PUBLISHED /* levels published by the aggregator */
} View;

/* As logged. */
static const char *const view_names[] = {"own", "alone", "told"};

typedef struct {
    char *workspace;
    double rate; /* a second */
    double burst;
    double allowance; /* by the bound, beyond rate and burst */
    double capacity;  /* of the bucket, all gateways together */
    /* counted here, for this gateway and those that it aggregates for */
    double level;
    double asked;          /* a second */
    double detached_spent; /* since detached_ms, not reported */
    uint64_t counted_ms;
    uint64_t detached_ms; /* when it last left VIEW_PUBLISHED; 0: never */
    /* last received from the aggregator; a workspace that it did not list has
       a full bucket and no demand */
    double published_level;
    double published_asked; /* a second */
    double spent_since;     /* spent here after it */
    double spent_in_flight; /* spent here before, may not be included in it */
    /* not reported to the aggregator yet */
    double unreported_spent;
    double unreported_asked;
    uint64_t used_ms;
    View view; /* last used */
} Account;

struct Wl {
    WlParams params;
    DepConfig *config;      /* NULL: none yet */
    bool has_limits;        /* of any workspace */
    GHashTable *accounts;   /* workspace -> Account */
    uint64_t published_ms;  /* when the last levels were sent; 0: none yet */
    double published_share; /* part of the fleet's limit that they are for */
    bool is_root;           /* aggregates for the whole fleet */
    uint32_t group_size;    /* gateways aggregated here, including this one */
    uint32_t fleet_size;    /* 0: unknown */
    uint64_t fleet_size_ms; /* when it was last reported as large as that */
    bool near_limit;        /* some workspace is near its limit */
    bool join_pending;      /* the next levels are from a new aggregator */
    uint64_t joined_ms;     /* when what is missing here was reported to it */
    BgRandom rng;
};

/* ---- accounts ----------------------------------------------------------- */

static void
free_account(void *p)
{
    g_free(((Account *)p)->workspace);
    g_free(p);
}

static bool
has_limit(const DepWorkspace *w)
{
    return w->rate_per_s > 0;
}

static void
set_limit(const Wl *l, Account *a, const DepWorkspace *w)
{
    double window_s = l->params.window_ms / 1000.;
    a->rate = w->rate_per_s;
    a->burst = w->burst;
    a->allowance = l->params.excess * (w->rate_per_s * window_s + w->burst) +
                   l->params.slack;
    /* A limit without a burst must also admit single requests. */
    a->capacity = MAX(a->burst + CAPACITY_PART * a->allowance,
                      a->rate * SETTLE_MS / 1000.);
}

/* Part of the fleet's limit for this gateway and those that it aggregates for,
   where they go by their own counts. */
static double
get_share(const Wl *l)
{
    uint32_t fleet_size =
        l->fleet_size ? MAX(l->fleet_size, l->group_size) : ASSUMED_FLEET;
    double share = MIN((double)l->group_size / fleet_size, 1);
    return l->is_root ? MAX(share, MIN_SHARE) : share;
}

/* Capacity of the bucket that is counted here. */
static double
get_own_capacity(const Wl *l, const Account *a)
{
    double share = get_share(l);
    bool group = !l->is_root && l->group_size > 1;
    return group
               ? MIN(share * a->burst + GROUP_PART * a->allowance, a->capacity)
               : share * a->capacity;
}

static View
choose_view(const Wl *l, uint64_t now_ms)
{
    bool has_levels = l->published_ms > 0;
    if (!l->is_root && has_levels &&
        now_ms < l->published_ms + LEVELS_LIFETIME_MS &&
        now_ms >= l->joined_ms + JOIN_DELAY_MS) {
        return VIEW_PUBLISHED;
    }
    return !l->is_root && has_levels && l->group_size == 1 ? VIEW_ISOLATED
                                                           : VIEW_OWN;
}

/* Starts own counts, from this group's share of the level last published less
   what was spent here since. */
static void
detach(const Wl *l, Account *a, uint64_t now_ms)
{
    double share = get_share(l);
    double own_capacity = get_own_capacity(l, a);
    double filled =
        a->rate * share * (double)(now_ms - l->published_ms) / 1000.;
    double part =
        MIN(a->published_level / (a->capacity * l->published_share), 1);
    double left = part * share * a->capacity;
    double in_flight = a->spent_since + a->spent_in_flight;
    a->level = MIN(left + filled, own_capacity) - in_flight;
    a->asked = MAX(a->asked, a->published_asked * share / l->published_share);
    a->counted_ms = now_ms;
    a->detached_ms = now_ms;
    a->view = VIEW_OWN;
    a->detached_spent = a->unreported_spent;
    a->unreported_spent = 0;
    a->unreported_asked = 0;
}

/* Returns to the published levels.  If the aggregator is the same as before,
   it went on counting this group's share of the rate, so demand and usage from
   meanwhile are reported to it. */
static void
reattach(const Wl *l, Account *a)
{
    a->view = VIEW_PUBLISHED;
    if (a->detached_ms > l->joined_ms) {
        a->unreported_asked += a->asked * SETTLE_MS / 1000.;
        a->unreported_spent += a->detached_spent;
    }
}

/* A new aggregator counts this group's share of the bucket as full; what is
   missing from it is reported. */
static void
report_missing(const Wl *l, Account *a)
{
    a->unreported_asked = a->asked * SETTLE_MS / 1000.;
    a->unreported_spent = MAX(get_share(l) * a->capacity - a->level, 0);
}

/* The group's share of the fleet changed from SHARE.  A gateway that joins
   brings a full share of the bucket, and reports what is missing from it; one
   that leaves takes its part of the level, or of the debt. */
static void
resize(const Wl *l, Account *a, double share, bool joined)
{
    double now = get_share(l);
    if (joined && now > share) {
        a->level += (now - share) * a->capacity;
    }
    else {
        a->level *= now / share;
    }
}

/* Advances A's own counts to NOW_MS. */
static void
count_time(const Wl *l, Account *a, uint64_t now_ms)
{
    View view = choose_view(l, now_ms);
    if (a->view == VIEW_PUBLISHED && view != VIEW_PUBLISHED) {
        detach(l, a, now_ms);
    }
    else if (a->view != VIEW_PUBLISHED && view == VIEW_PUBLISHED) {
        reattach(l, a);
    }
    a->view = view;
    if (now_ms <= a->counted_ms) {
        return;
    }
    double passed_ms = (double)(now_ms - a->counted_ms);
    double share = get_share(l);
    a->counted_ms = now_ms;
    a->asked *= exp(-passed_ms / SETTLE_MS);
    a->level = MIN(a->level + a->rate * share * passed_ms / 1000.,
                   get_own_capacity(l, a));
}

/* NULL: WORKSPACE has no limit. */
static Account *
get_account(Wl *l, uint64_t now_ms, const char *workspace)
{
    Account *a = g_hash_table_lookup(l->accounts, workspace);
    if (!a) {
        const DepWorkspace *w =
            l->config ? g_hash_table_lookup(l->config->workspaces, workspace)
                      : NULL;
        if (!w || !has_limit(w)) {
            return NULL;
        }
        a = g_new0(Account, 1);
        a->workspace = g_strdup(workspace);
        a->counted_ms = now_ms;
        set_limit(l, a, w);
        a->published_level = a->capacity;
        bool fresh = !l->is_root && l->published_ms == 0;
        a->level = get_own_capacity(l, a) * (fresh ? START_PART : 1);
        g_hash_table_insert(l->accounts, a->workspace, a);
    }
    a->used_ms = now_ms;
    count_time(l, a, now_ms);
    return a;
}

/* ---- admission ---------------------------------------------------------- */

/* The fraction of requests of COST to admit; 1 or more: all.  While the
   configured burst covers COST, every request is within the limit, however
   high the demand.  A request that is large compared with the bucket counts
   only in part, or none would be admitted. */
static double
compute_admitted_part(const Account *a, double share, double level,
                      double asked, double cost)
{
    if (level < -MAX_DEBT_PART * a->allowance * share) {
        return 0;
    }
    level -= MIN(cost, a->capacity * share * MAX_REQUEST_PART);
    double allowed = a->rate * share + level * 1000. / SETTLE_MS;
    double part = asked > 0 ? MAX(allowed, 0) / asked : NEAR_LIMIT;
    double beyond_burst = share < MIN_SHARE ? 0 : a->capacity - a->burst;
    bool within = level >= beyond_burst * share - a->capacity * ROUNDING;
    return within ? MAX(part, 1) : part;
}

/* The published level, decayed by its age: levels are steered towards zero
   from above and below. */
static double
get_published_level(const Wl *l, const Account *a, uint64_t now_ms)
{
    double age_ms =
        now_ms > l->published_ms ? (double)(now_ms - l->published_ms) : 0;
    return a->published_level * exp(-age_ms / SETTLE_MS);
}

/* The fraction of requests of COST to admit by A's view; 1 or more: all. */
static double
get_admitted_part(const Wl *l, const Account *a, uint64_t now_ms, double cost)
{
    if (a->view == VIEW_OWN) {
        return compute_admitted_part(a, get_share(l), a->level, a->asked,
                                     cost);
    }
    if (a->view == VIEW_ISOLATED && a->level <= 0) {
        return 0;
    }
    return compute_admitted_part(a, l->published_share,
                                 get_published_level(l, a, now_ms),
                                 a->published_asked, cost);
}

/* The level that applies in A's view. */
static double
get_known_level(const Account *a)
{
    return a->view == VIEW_PUBLISHED ? a->published_level : a->level;
}

static uint32_t
get_retry_ms(Wl *l, const Account *a, double cost)
{
    double share =
        a->view == VIEW_PUBLISHED ? l->published_share : get_share(l);
    double debt = MAX(-get_known_level(a), 0) + cost;
    double wait_ms = debt / (a->rate * share) * 1000;
    return (uint32_t)CLAMP(wait_ms, MIN_RETRY_MS, l->params.window_ms) +
           bg_pick_random(&l->rng, RETRY_SPREAD_MS);
}

static bool
admit_randomly(Wl *l, double part)
{
    const uint32_t steps = 1 << 20;
    return bg_pick_random(&l->rng, steps) < part * steps;
}

/* The gateway goes by its own counts but reports its usage: it has never got
   levels, so no aggregator knows its share, or it has just reported what is
   missing from its share. */
static bool
is_joining(const Wl *l)
{
    return !l->is_root && (l->published_ms == 0 ||
                           l->published_ms < l->joined_ms + JOIN_DELAY_MS);
}

static void
count(const Wl *l, Account *a, double spent, double asked)
{
    a->level -= spent;
    a->asked += asked * 1000. / SETTLE_MS;
    a->spent_since += spent;
    if (a->view == VIEW_PUBLISHED || is_joining(l)) {
        a->unreported_spent += spent;
        a->unreported_asked += asked;
    }
    else {
        a->detached_spent += spent;
    }
}

static void
explain(Wl *l, const Account *a, uint64_t now_ms, double cost, WlRefusal *why)
{
    why->retry_ms = get_retry_ms(l, a, cost);
    why->counts = view_names[a->view];
    why->level = get_known_level(a);
    why->asked = a->view == VIEW_PUBLISHED ? a->published_asked : a->asked;
    why->let_in = get_admitted_part(l, a, now_ms, cost);
    why->told_ms_ago =
        l->published_ms ? (int64_t)(now_ms - l->published_ms) : -1;
}

bool
wl_take(Wl *l, uint64_t now_ms, const DepWorkspace *w, double cost,
        WlRefusal *why)
{
    Account *a = get_account(l, now_ms, w->name);
    if (!a) {
        return true;
    }
    count(l, a, 0, cost);
    if (!admit_randomly(l, get_admitted_part(l, a, now_ms, cost))) {
        explain(l, a, now_ms, cost, why);
        return false;
    }
    count(l, a, cost, 0);
    return true;
}

void
wl_give_back(Wl *l, uint64_t now_ms, const DepWorkspace *w, double cost)
{
    Account *a = get_account(l, now_ms, w->name);
    if (a) {
        count(l, a, -cost, 0);
    }
}

/* ---- aggregation -------------------------------------------------------- */

bool
wl_is_amount(double amount, double asked)
{
    return isfinite(amount) && isfinite(asked) && asked >= 0;
}

void
wl_on_spent(Wl *l, uint64_t now_ms, const WlSpent *spent)
{
    Account *a = get_account(l, now_ms, spent->workspace);
    if (a) {
        count(l, a, spent->spent, spent->asked);
    }
}

void
wl_collect_spent(Wl *l, void (*visit)(void *ctx, const WlSpent *spent),
                 void *ctx)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, l->accounts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Account *a = v;
        if (a->unreported_spent != 0 || a->unreported_asked != 0) {
            WlSpent spent = {a->workspace, a->unreported_spent,
                             a->unreported_asked};
            visit(ctx, &spent);
        }
        a->unreported_spent = 0;
        a->unreported_asked = 0;
    }
}

/* A process that has not got levels before has nothing to do here: all its
   usage is in unreported_spent already. */
static void
join(Wl *l, uint64_t now_ms)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, l->accounts);
    while (l->published_ms > 0 && g_hash_table_iter_next(&it, NULL, &v)) {
        Account *a = v;
        if (a->view == VIEW_PUBLISHED) {
            detach(l, a, now_ms);
        }
        count_time(l, a, now_ms);
        report_missing(l, a);
    }
    l->join_pending = false;
    l->joined_ms = now_ms;
}

static void
reset_published(Wl *l)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, l->accounts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Account *a = v;
        a->published_level = a->capacity;
        a->published_asked = 0;
        a->spent_in_flight = a->spent_since;
        a->spent_since = 0;
    }
}

void
wl_on_levels(Wl *l, uint64_t now_ms, uint64_t sent_ms, double share,
             const WlLevel *levels, size_t n)
{
    if (l->join_pending || l->published_ms == 0) {
        join(l, now_ms);
    }
    l->published_ms = sent_ms;
    l->published_share = share;
    l->near_limit = n > 0;
    reset_published(l);
    for (size_t i = 0; i < n; i++) {
        Account *a = get_account(l, now_ms, levels[i].workspace);
        if (a) {
            a->published_level = levels[i].level;
            a->published_asked = levels[i].asked;
        }
    }
}

bool
wl_has_limits(const Wl *l)
{
    return l->has_limits;
}

bool
wl_publishes(const Wl *l, uint64_t now_ms)
{
    return choose_view(l, now_ms) != VIEW_PUBLISHED;
}

static gboolean
is_idle(gpointer workspace, gpointer account, gpointer now_ms)
{
    (void)workspace;
    return ((Account *)account)->used_ms + IDLE_MS < *(uint64_t *)now_ms;
}

double
wl_visit_levels(Wl *l, uint64_t now_ms,
                void (*visit)(void *ctx, const WlLevel *level), void *ctx)
{
    g_hash_table_foreach_remove(l->accounts, is_idle, &now_ms);
    l->near_limit = false;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, l->accounts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Account *a = v;
        count_time(l, a, now_ms);
        if (get_admitted_part(l, a, now_ms, 0) < NEAR_LIMIT) {
            WlLevel level = {a->workspace, a->level, a->asked};
            l->near_limit = true;
            visit(ctx, &level);
        }
    }
    return get_share(l);
}

void
wl_print(Wl *l, uint64_t now_ms, GString *out)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, l->accounts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Account *a = v;
        WlRefusal now;
        count_time(l, a, now_ms);
        explain(l, a, now_ms, 0, &now);
        g_string_append_printf(
            out,
            "{\"workspace\":\"%s\",\"rate\":%.3f,\"burst\":%.3f,"
            "\"counts\":\"%s\",\"level\":%.3f,\"asked\":%.3f,"
            "\"told_ms_ago\":%lld,\"let_in\":%.3f}\n",
            a->workspace, a->rate, a->burst, now.counts, now.level, now.asked,
            (long long)now.told_ms_ago, MIN(now.let_in, 1));
    }
}

/* ---- fleet and settings ------------------------------------------------- */

/* This gateway becomes the root: its counts start from its group's share of
   the published levels, and the others report what is missing from theirs. */
static void
detach_all(const Wl *l, uint64_t now_ms)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, l->accounts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Account *a = v;
        if (a->view == VIEW_PUBLISHED) {
            detach(l, a, now_ms);
        }
    }
}

void
wl_on_fleet(Wl *l, uint64_t now_ms, bool is_root, uint32_t group_size,
            uint32_t fleet_size)
{
    double share = get_share(l);
    bool begins = is_root && !l->is_root;
    bool joined = begins || group_size > l->group_size;
    if (begins) {
        detach_all(l, now_ms);
    }
    l->is_root = is_root;
    l->group_size = group_size;
    if (fleet_size >= l->fleet_size ||
        now_ms > l->fleet_size_ms + FLEET_MEMORY_MS) {
        l->fleet_size = fleet_size;
        l->fleet_size_ms = now_ms;
    }
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, l->accounts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        resize(l, v, share, joined);
    }
}

void
wl_on_link(Wl *l)
{
    l->join_pending = true;
}

uint32_t
wl_get_fleet(const Wl *l)
{
    return l->fleet_size;
}

bool
wl_is_near_limit(const Wl *l)
{
    return l->near_limit;
}

/* Returns false if the workspace has no limit any more. */
static bool
update_limit(const Wl *l, Account *a)
{
    const DepWorkspace *w =
        g_hash_table_lookup(l->config->workspaces, a->workspace);
    if (!w || !has_limit(w)) {
        return false;
    }
    set_limit(l, a, w);
    return true;
}

static void
update_limits(Wl *l)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, l->accounts);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        if (!update_limit(l, v)) {
            g_hash_table_iter_remove(&it);
        }
    }
}

void
wl_on_config(Wl *l, DepConfig *c)
{
    dep_unref_config(l->config);
    l->config = dep_ref_config(c);
    l->has_limits = false;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, c->workspaces);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        l->has_limits = l->has_limits || has_limit(v);
    }
    update_limits(l);
}

void
wl_set_bound(Wl *l, double excess, double slack)
{
    l->params.excess = excess;
    l->params.slack = slack;
    update_limits(l);
}

Wl *
wl_create(const WlParams *params)
{
    Wl *l = g_new0(Wl, 1);
    l->params = *params;
    l->group_size = 1;
    l->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_account);
    bg_seed_random(&l->rng, params->seed);
    return l;
}

void
wl_destroy(Wl *l)
{
    g_hash_table_destroy(l->accounts);
    dep_unref_config(l->config);
    g_free(l);
}
