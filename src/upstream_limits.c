#include "upstream_limits.h"

#include <math.h>

/* A higher limit than that in force, or none, takes effect when nothing lower
   was named for this long. */
#define HOLD_MS 1000
/* Between two reports of what an upstream names, so that the leader knows
   within HOLD_MS that the limit in force is still named. */
#define REPORT_MS 400
/* A limit below this counts as this: an upstream that gets no request can't
   say that its limit has ended. */
#define MIN_PER_S 0.1
#define MAX_PER_S 1e6 /* of a limit in a frame */
/* An answer to an older slot request is not used. */
#define ANSWER_LIFETIME_MS 400
/* A slot may be used for this long from its beginning. */
#define SLOT_LIFETIME_MS 200
/* From a send to the arrival at the upstream, at most: the timeout of a
   connection. */
#define TRANSIT_MS 250
/* Time for which unused slots are saved up. */
#define SAVED_MS 250
/* Many gateways that ask for few slots are told to come back later, so that
   about this many ask for each slot, but not later than MAX_RETRY_MS. */
#define ASKS_PER_SLOT 4
#define MAX_RETRY_MS 5000
#define MIN_RETRY_MS 20
#define ASKED_MEAN_MS 1000 /* time constant of the rate of asks */
/* What gateways without a leader may send together in a window: this factor
   times the limit, and a few more.  Slots need (UL_WINDOW_MS +
   ANSWER_LIFETIME_MS + SLOT_LIFETIME_MS + TRANSIT_MS + SAVED_MS) / 1000 = 5.1
   times the limit and two more; the bound is 6 times, and five more. */
#define ALONE_FACTOR 0.75
#define ALONE_SLACK 2
/* Longer than the window by TRANSIT_MS and the rounding of times. */
#define ALONE_WINDOW_MS (UL_WINDOW_MS + TRANSIT_MS + 50)
/* A smaller number of gateways takes effect after this time: those that are
   cut off go on sending. */
#define FLEET_MEMORY_MS 30000
/* State of an upstream without a limit is kept for this long, for one that
   names it again. */
#define IDLE_MS 30000
/* A place at a brittle upstream that is free is taken within this time, or by
   others. */
#define KEPT_MS 2000
#define TICKET_BITS 24 /* of those of one process */

/* A rate that answers name: of requests, or of requests turned away. */
typedef struct {
    double per_s;    /* in force; 0: none */
    uint64_t low_ms; /* it was last named, published or decided on */
} Rate;

typedef struct {
    Rate limit;
    Rate rejects;
    uint64_t reported_ms; /* to the leader */
    uint64_t used_ms;
    bool unreadable; /* the last answer's */
    /* of the leader */
    double next_ms; /* the next slot begins */
    double asked;   /* asks a second */
    uint64_t asked_ms;
    /* of a gateway that sends */
    uint64_t next_known_ms; /* no slot before */
    double next_alone_ms;   /* next use of the own allowance */
    uint32_t kept;          /* free places of its own, if brittle */
    uint64_t kept_ms;
} Entry;

typedef struct {
    char *upstream;
    uint64_t asked_ms;
    uint32_t max_wait_ms;
    uint32_t answer_ms; /* a later answer is not used */
    uint64_t from_ms;
    uint64_t until_ms;
    bool brittle; /* the upstream was */
    bool answered;
    bool granted;
    bool released; /* nobody waits for it */
} Ticket;

struct Ul {
    GHashTable *entries; /* id -> Entry */
    GHashTable *tickets; /* UlTicket -> Ticket */
    uint32_t limited;    /* rates in force */
    UlTicket last_ticket;
    uint64_t start_ms;
    uint64_t lead_ms; /* this gateway leads since; 0: it never did */
    uint32_t fleet;   /* 0: unknown */
    uint64_t fleet_ms;
    BgRandom rng;
};

static void
free_ticket(void *p)
{
    g_free(((Ticket *)p)->upstream);
    g_free(p);
}

Ul *
ul_create(uint64_t now_ms, uint64_t seed)
{
    Ul *l = g_new0(Ul, 1);
    l->start_ms = now_ms;
    l->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    l->tickets = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
                                       free_ticket);
    bg_seed_random(&l->rng, seed);
    /* Not those of the process before this one: slots of brittle upstreams
       outlast it. */
    l->last_ticket = (seed | 1) << TICKET_BITS;
    return l;
}

void
ul_destroy(Ul *l)
{
    g_hash_table_destroy(l->entries);
    g_hash_table_destroy(l->tickets);
    g_free(l);
}

/* ---- limits ------------------------------------------------------------- */

static Entry *
get_entry(Ul *l, const char *upstream)
{
    Entry *e = g_hash_table_lookup(l->entries, upstream);
    if (!e) {
        e = g_new0(Entry, 1);
        g_hash_table_insert(l->entries, g_strdup(upstream), e);
    }
    return e;
}

static UlChange
set_rate(Ul *l, Entry *e, Rate *x, double per_s)
{
    double before = x->per_s;
    x->per_s = per_s > 0 ? MAX(per_s, MIN_PER_S) : 0;
    if (x->per_s > before) {
        e->next_known_ms = 0; /* it was computed for a longer interval */
    }
    l->limited += (x->per_s > 0) - (before > 0);
    return x->per_s == before ? UL_SAME
           : x->per_s == 0    ? UL_ENDED
           : before == 0      ? UL_BEGUN
                              : UL_CHANGED;
}

static bool
is_at_most(double per_s, double other)
{
    return per_s > 0 && (other == 0 || MAX(per_s, MIN_PER_S) <= other);
}

/* PER_S was named: a lower limit is in force at once, a higher one or none
   after HOLD_MS. */
static UlChange
decide_rate(Ul *l, Entry *e, Rate *x, uint64_t now_ms, double per_s)
{
    if (is_at_most(per_s, x->per_s)) {
        x->low_ms = now_ms;
        return set_rate(l, e, x, per_s);
    }
    if (x->per_s == 0 || now_ms < x->low_ms + HOLD_MS) {
        return UL_SAME;
    }
    x->low_ms = now_ms;
    return set_rate(l, e, x, per_s);
}

static UlChange
join_changes(UlChange limit, UlChange rejects)
{
    return limit == UL_SAME ? rejects : limit;
}

static UlChange
decide(Ul *l, Entry *e, uint64_t now_ms, UlValues named)
{
    UlChange limit = decide_rate(l, e, &e->limit, now_ms, named.per_s);
    return join_changes(
        limit, decide_rate(l, e, &e->rejects, now_ms, named.rejects_per_s));
}

static bool
is_in_force(const Entry *e)
{
    return e->limit.per_s > 0 || e->rejects.per_s > 0;
}

static gboolean
is_idle(gpointer id, gpointer entry, gpointer now_ms)
{
    (void)id;
    const Entry *e = entry;
    return !is_in_force(e) && e->used_ms + IDLE_MS < *(uint64_t *)now_ms;
}

static bool
is_report_due(Entry *e, uint64_t now_ms, UlChange change)
{
    if (change == UL_SAME && e->reported_ms &&
        now_ms < e->reported_ms + REPORT_MS) {
        return false;
    }
    e->reported_ms = now_ms;
    return true;
}

UlChange
ul_on_answer(Ul *l, uint64_t now_ms, const char *upstream,
             const UlNamed *named, bool decides, bool *report)
{
    *report = false;
    Entry *e = g_hash_table_lookup(l->entries, upstream);
    bool none = named->kind == UL_UNLIMITED && named->rejects_per_s == 0;
    if (none && (!e || !is_in_force(e))) {
        return UL_SAME;
    }
    if (!e) {
        g_hash_table_foreach_remove(l->entries, is_idle, &now_ms);
        e = get_entry(l, upstream);
    }
    e->used_ms = now_ms;
    bool was_unreadable = e->unreadable;
    e->unreadable = named->kind == UL_UNREADABLE;
    if (e->unreadable) {
        return was_unreadable ? UL_SAME : UL_NOT_READ;
    }
    UlValues values = {named->per_s, named->rejects_per_s};
    bool lower = is_at_most(values.per_s, e->limit.per_s) ||
                 is_at_most(values.rejects_per_s, e->rejects.per_s);
    UlChange change =
        decides || lower ? decide(l, e, now_ms, values) : UL_SAME;
    *report = is_report_due(e, now_ms, change);
    return change;
}

static bool
is_none(UlValues v)
{
    return v.per_s == 0 && v.rejects_per_s == 0;
}

UlChange
ul_on_report(Ul *l, uint64_t now_ms, const char *upstream, UlValues values)
{
    if (is_none(values) && !g_hash_table_contains(l->entries, upstream)) {
        return UL_SAME;
    }
    Entry *e = get_entry(l, upstream);
    e->used_ms = now_ms;
    return decide(l, e, now_ms, values);
}

static UlChange
force_rate(Ul *l, Entry *e, Rate *x, uint64_t now_ms, double per_s)
{
    x->low_ms = now_ms;
    return set_rate(l, e, x, per_s);
}

UlChange
ul_on_limit(Ul *l, uint64_t now_ms, const char *upstream, UlValues values)
{
    if (is_none(values) && !g_hash_table_contains(l->entries, upstream)) {
        return UL_SAME;
    }
    Entry *e = get_entry(l, upstream);
    e->used_ms = now_ms;
    UlChange limit = force_rate(l, e, &e->limit, now_ms, values.per_s);
    return join_changes(
        limit, force_rate(l, e, &e->rejects, now_ms, values.rejects_per_s));
}

static UlChange
take_over(Ul *l, Entry *e, Rate *x, uint64_t now_ms, double per_s,
          uint32_t age_ms)
{
    bool decided = x->per_s > 0 || x->low_ms + age_ms > now_ms;
    return per_s == 0 || decided ? UL_SAME
                                 : force_rate(l, e, x, now_ms, per_s);
}

UlChange
ul_on_known(Ul *l, uint64_t now_ms, const char *upstream, UlValues values,
            uint32_t age_ms)
{
    if (is_none(values)) {
        return UL_SAME;
    }
    Entry *e = get_entry(l, upstream);
    e->used_ms = now_ms;
    UlChange limit = take_over(l, e, &e->limit, now_ms, values.per_s, age_ms);
    return join_changes(limit, take_over(l, e, &e->rejects, now_ms,
                                         values.rejects_per_s, age_ms));
}

void
ul_forget(Ul *l, const char *upstream)
{
    Entry *e = g_hash_table_lookup(l->entries, upstream);
    if (e) {
        set_rate(l, e, &e->limit, 0);
        set_rate(l, e, &e->rejects, 0);
        g_hash_table_remove(l->entries, upstream);
    }
}

bool
ul_is_limit(double per_s)
{
    return isfinite(per_s) && per_s >= 0 && per_s <= MAX_PER_S;
}

bool
ul_has_limits(const Ul *l)
{
    return l->limited > 0;
}

/* NULL: UPSTREAM has no rate in force. */
static Entry *
find_limited(const Ul *l, const char *upstream)
{
    Entry *e = l->limited ? g_hash_table_lookup(l->entries, upstream) : NULL;
    return e && is_in_force(e) ? e : NULL;
}

double
ul_get_limit(const Ul *l, const char *upstream)
{
    const Entry *e = find_limited(l, upstream);
    return e ? e->limit.per_s : 0;
}

double
ul_get_rejects(const Ul *l, const char *upstream)
{
    const Entry *e = find_limited(l, upstream);
    return e ? e->rejects.per_s : 0;
}

bool
ul_needs_slot(const Ul *l, const char *upstream)
{
    return find_limited(l, upstream) != NULL;
}

uint32_t
ul_get_age_ms(const Ul *l, uint64_t now_ms, const char *upstream)
{
    const Entry *e = find_limited(l, upstream);
    uint64_t low_ms = e ? MAX(e->limit.low_ms, e->rejects.low_ms) : now_ms;
    return low_ms < now_ms ? (uint32_t)MIN(now_ms - low_ms, UINT32_MAX) : 0;
}

void
ul_visit(const Ul *l, uint64_t now_ms,
         void (*visit)(void *ctx, const char *upstream, UlValues values),
         void *ctx)
{
    GHashTableIter it;
    gpointer id;
    gpointer v;
    g_hash_table_iter_init(&it, l->entries);
    while (g_hash_table_iter_next(&it, &id, &v)) {
        const Entry *e = v;
        uint64_t low_ms = MAX(e->limit.low_ms, e->rejects.low_ms);
        if (is_in_force(e) || now_ms < low_ms + IDLE_MS) {
            visit(ctx, id, (UlValues){e->limit.per_s, e->rejects.per_s});
        }
    }
}

void
ul_print(const Ul *l, uint64_t now_ms, GString *out)
{
    GHashTableIter it;
    gpointer id;
    gpointer v;
    g_hash_table_iter_init(&it, l->entries);
    while (g_hash_table_iter_next(&it, &id, &v)) {
        const Entry *e = v;
        if (is_in_force(e)) {
            g_string_append_printf(
                out,
                "{\"upstream\":\"%s\",\"per_s\":%.3f,\"rejects_per_s\":%.3f,"
                "\"wait_ms\":%u,\"age_ms\":%u,\"asks_per_s\":%.1f}\n",
                (const char *)id, e->limit.per_s, e->rejects.per_s,
                ul_get_wait_ms(l, now_ms, id), ul_get_age_ms(l, now_ms, id),
                e->asked);
        }
    }
}

/* ---- slots: the gateway that sends -------------------------------------- */

/* Any slot of UPSTREAM that nobody here waits for, and that can be used now;
   0: none. */
static UlTicket
find_spare(const Ul *l, uint64_t now_ms, const char *upstream)
{
    GHashTableIter it;
    gpointer key;
    gpointer v;
    g_hash_table_iter_init(&it, l->tickets);
    while (g_hash_table_iter_next(&it, &key, &v)) {
        const Ticket *t = v;
        if (t->released && t->granted && now_ms >= t->from_ms &&
            now_ms <= t->until_ms && g_str_equal(t->upstream, upstream)) {
            return *(UlTicket *)key;
        }
    }
    return 0;
}

uint32_t
ul_get_wait_ms(const Ul *l, uint64_t now_ms, const char *upstream)
{
    const Entry *e = find_limited(l, upstream);
    if (!e || e->next_known_ms <= now_ms || find_spare(l, now_ms, upstream)) {
        return 0;
    }
    return (uint32_t)(e->next_known_ms - now_ms);
}

static gboolean
is_over(gpointer key, gpointer ticket, gpointer now_ms)
{
    (void)key;
    const Ticket *t = ticket;
    uint64_t end_ms = t->granted ? t->until_ms : t->asked_ms + t->answer_ms;
    return t->released && end_ms < *(uint64_t *)now_ms;
}

UlTicket
ul_ask(Ul *l, uint64_t now_ms, const char *upstream, uint32_t max_wait_ms,
       bool *send)
{
    UlTicket spare = find_spare(l, now_ms, upstream);
    *send = !spare;
    if (spare) {
        Ticket *t = g_hash_table_lookup(l->tickets, &spare);
        t->released = false;
        return spare;
    }
    g_hash_table_foreach_remove(l->tickets, is_over, &now_ms);
    Ticket *t = g_new0(Ticket, 1);
    t->upstream = g_strdup(upstream);
    t->asked_ms = now_ms;
    t->max_wait_ms = max_wait_ms;
    t->brittle = ul_get_rejects(l, upstream) > 0;
    /* An ask for a brittle one waits at the leader. */
    t->answer_ms = ANSWER_LIFETIME_MS + (t->brittle ? max_wait_ms : 0);
    UlTicket *key = g_new(UlTicket, 1);
    *key = ul_make_ticket(l);
    g_hash_table_insert(l->tickets, key, t);
    return *key;
}

UlTicket
ul_make_ticket(Ul *l)
{
    return ++l->last_ticket;
}

/* When the next slot may begin, after the answer to T. */
static uint64_t
estimate_next_ms(const Entry *e, const Ticket *t, uint64_t now_ms,
                 bool granted, uint32_t wait_ms)
{
    if (!granted && t->brittle) {
        return now_ms + MAX(wait_ms, MIN_RETRY_MS);
    }
    if (!granted) {
        /* Later than it was asked for, or it would be asked for again. */
        return now_ms + MAX(wait_ms, t->max_wait_ms + MIN_RETRY_MS);
    }
    /* After a slot that begins at once, the next may begin at once too. */
    double interval_ms = e->limit.per_s > 0 ? 1000 / e->limit.per_s : 0;
    return wait_ms ? now_ms + wait_ms + (uint64_t)interval_ms : now_ms;
}

bool
ul_on_slot(Ul *l, uint64_t now_ms, UlTicket ticket, bool granted,
           uint32_t wait_ms)
{
    Ticket *t = g_hash_table_lookup(l->tickets, &ticket);
    if (!t) {
        return granted; /* it was removed, as it was released */
    }
    if (t->answered) {
        return false;
    }
    t->answered = true;
    t->granted = granted && now_ms <= t->asked_ms + t->answer_ms;
    t->from_ms = now_ms + wait_ms;
    t->until_ms = t->from_ms + SLOT_LIFETIME_MS;
    Entry *e = find_limited(l, t->upstream);
    if (e) {
        e->next_known_ms = estimate_next_ms(e, t, now_ms, granted, wait_ms);
    }
    bool late = granted && !t->granted;
    if (t->brittle && (late || (granted && t->released))) {
        g_hash_table_remove(l->tickets, &ticket);
        return true;
    }
    return false;
}

UlSlot
ul_check(const Ul *l, uint64_t now_ms, UlTicket ticket)
{
    const Ticket *t = g_hash_table_lookup(l->tickets, &ticket);
    if (!t) {
        return UL_SLOT_NONE;
    }
    if (!t->answered) {
        return now_ms <= t->asked_ms + t->answer_ms ? UL_SLOT_ASKED
                                                    : UL_SLOT_NONE;
    }
    if (!t->granted || now_ms > t->until_ms) {
        return UL_SLOT_NONE;
    }
    return now_ms < t->from_ms ? UL_SLOT_LATER : UL_SLOT_NOW;
}

const char *
ul_get_upstream(const Ul *l, UlTicket ticket)
{
    const Ticket *t = g_hash_table_lookup(l->tickets, &ticket);
    return t ? t->upstream : NULL;
}

void
ul_use(Ul *l, UlTicket ticket)
{
    g_hash_table_remove(l->tickets, &ticket);
}

/* A slot request that was not answered in time: the leader is slow or out of
   reach, so it isn't asked again at once. */
static void
note_unanswered(const Ul *l, uint64_t now_ms, const Ticket *t)
{
    Entry *e = find_limited(l, t->upstream);
    if (e && !t->answered) {
        e->next_known_ms =
            MAX(e->next_known_ms, now_ms + UL_NO_LEADER_WAIT_MS);
    }
}

bool
ul_release(Ul *l, uint64_t now_ms, UlTicket ticket)
{
    Ticket *t = g_hash_table_lookup(l->tickets, &ticket);
    if (!t) {
        return false;
    }
    note_unanswered(l, now_ms, t);
    t->released = true;
    bool back = t->brittle && t->granted;
    if (back || (t->answered && !t->granted)) {
        g_hash_table_remove(l->tickets, &ticket);
    }
    return back;
}

/* ---- slots: the leader -------------------------------------------------- */

void
ul_on_lead(Ul *l, uint64_t now_ms)
{
    l->lead_ms = now_ms;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, l->entries);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Entry *e = v;
        e->limit.low_ms = now_ms;
        e->rejects.low_ms = now_ms;
    }
}

static void
count_ask(Entry *e, uint64_t now_ms)
{
    double passed_ms = (double)(now_ms - MIN(e->asked_ms, now_ms));
    e->asked =
        e->asked * exp(-passed_ms / ASKED_MEAN_MS) + 1000. / ASKED_MEAN_MS;
    e->asked_ms = now_ms;
}

/* The wait until a gateway asks again. */
static uint32_t
get_retry_ms(Ul *l, const Entry *e, double wait_ms)
{
    double crowd = e->asked / (ASKS_PER_SLOT * e->limit.per_s);
    double retry_ms = wait_ms * MAX(crowd, 1);
    double spread = 0.75 + bg_pick_random(&l->rng, 500) / 1000.;
    return (uint32_t)MAX(MIN(retry_ms, MAX_RETRY_MS) * spread, MIN_RETRY_MS);
}

bool
ul_schedule(Ul *l, uint64_t now_ms, const char *upstream, uint32_t max_wait_ms,
            uint32_t *wait_ms)
{
    *wait_ms = 0;
    Entry *e = find_limited(l, upstream);
    if (!e || e->limit.per_s == 0) {
        return true;
    }
    e->used_ms = now_ms;
    count_ask(e, now_ms);
    double interval_ms = 1000 / e->limit.per_s;
    double saved_ms = MAX(interval_ms, SAVED_MS);
    e->next_ms = MAX(e->next_ms, (double)now_ms - saved_ms);
    /* The predecessor's slots begin before then. */
    e->next_ms = MAX(e->next_ms, (double)(l->lead_ms + UL_MAX_WAIT_MS));
    /* After a rise of the limit the next slot may be far too late. */
    e->next_ms =
        MIN(e->next_ms, (double)now_ms + UL_MAX_WAIT_MS + interval_ms);
    double left_ms = MAX(e->next_ms - (double)now_ms, 0);
    if (left_ms > MIN(max_wait_ms, UL_MAX_WAIT_MS)) {
        *wait_ms = get_retry_ms(l, e, left_ms);
        return false;
    }
    *wait_ms = (uint32_t)ceil(left_ms);
    e->next_ms += interval_ms;
    return true;
}

/* ---- without a leader --------------------------------------------------- */

void
ul_on_fleet(Ul *l, uint64_t now_ms, uint32_t gateways)
{
    if (gateways >= l->fleet || now_ms > l->fleet_ms + FLEET_MEMORY_MS) {
        l->fleet = gateways;
        l->fleet_ms = now_ms;
    }
}

/* Requests that this gateway may send in a window without a leader. */
static uint32_t
get_allowance(const Ul *l, const Entry *e)
{
    double all = ALONE_FACTOR * e->limit.per_s + ALONE_SLACK;
    return l->fleet ? (uint32_t)(all / l->fleet) : 0;
}

void
ul_keep_slot(Ul *l, uint64_t now_ms, const char *upstream)
{
    Entry *e = find_limited(l, upstream);
    if (e) {
        e->kept = now_ms <= e->kept_ms + KEPT_MS ? e->kept + 1 : 1;
        e->kept_ms = now_ms;
    }
}

/* The place of an own request that was served. */
static bool
take_kept(Entry *e, uint64_t now_ms)
{
    if (e->kept == 0 || now_ms > e->kept_ms + KEPT_MS) {
        e->kept = 0;
        return false;
    }
    e->kept--;
    return true;
}

static bool
take_allowance(Ul *l, Entry *e, uint64_t now_ms, uint32_t *wait_ms)
{
    uint32_t allowance = get_allowance(l, e);
    if (allowance == 0) {
        *wait_ms = UL_NO_LEADER_WAIT_MS;
        return false;
    }
    /* The process before this one may have used its allowance. */
    double first_ms = (double)(l->start_ms + ALONE_WINDOW_MS);
    e->next_alone_ms = MAX(e->next_alone_ms, first_ms);
    if (e->next_alone_ms > (double)now_ms) {
        *wait_ms = (uint32_t)ceil(e->next_alone_ms - (double)now_ms);
        return false;
    }
    e->next_alone_ms = (double)now_ms + (double)ALONE_WINDOW_MS / allowance;
    return true;
}

bool
ul_take_alone(Ul *l, uint64_t now_ms, const char *upstream, uint32_t *wait_ms)
{
    *wait_ms = 0;
    Entry *e = find_limited(l, upstream);
    if (!e) {
        return true;
    }
    if (e->limit.per_s > 0 && !take_allowance(l, e, now_ms, wait_ms)) {
        return false;
    }
    if (e->rejects.per_s > 0 && !take_kept(e, now_ms)) {
        *wait_ms = UL_NO_LEADER_WAIT_MS;
        return false;
    }
    return true;
}
