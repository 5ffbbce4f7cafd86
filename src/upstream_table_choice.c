#include "upstream_table_internal.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* One that fails half of its requests costs as much as one with 8.5 times the
   load. */
#define FAILURE_COST 15.
/* The preferred upstream for a prompt prefix is passed over when its cost is
   above AFFINITY_LOAD times the mean plus AFFINITY_SLACK. */
#define AFFINITY_LOAD 1.5
#define AFFINITY_SLACK 3.
/* Prefixes that take less time to process don't justify concentrating load on
   the upstream that has them cached. */
#define MIN_SHARED_MS 25
/* An upstream in another data centre costs a round trip and paid traffic, so
   its load is weighted by this factor. */
#define REMOTE_COST 1.15
#define CANDIDATES_SAMPLED 4
/* The longest queue wait accepted, in percent of the request's max_wait_ms,
   is spread over requests from this to 100 more. */
#define MIN_WAIT_PERCENT 50

/* ---- loaded models ------------------------------------------------------ */

static bool
is_absent(const Ut *u, uint64_t now_ms, const char *model, const char *adapter)
{
    for (guint i = 0; i < u->absences->len; i++) {
        const UtAbsence *a = &g_array_index(u->absences, UtAbsence, i);
        size_t len = strlen(model);
        if (a->until_ms <= now_ms || strncmp(a->what, model, len) != 0) {
            continue;
        }
        if (a->what[len] == '\0' ||
            (adapter && a->what[len] == '/' &&
             strcmp(a->what + len + 1, adapter) == 0)) {
            return true;
        }
    }
    return false;
}

typedef enum { HOLDS_NOT, HOLDS_MODEL, HOLDS_ALL } Holds;

static Holds
check_holds(const Ut *u, uint64_t now_ms, const UtQuery *q)
{
    if (!q->model) {
        return HOLDS_ALL;
    }
    const GPtrArray *models = u->placed ? u->placed : u->entry->models;
    for (guint i = 0; i < models->len; i++) {
        const DepResident *r = models->pdata[i];
        if (strcmp(r->name, q->model) != 0) {
            continue;
        }
        if (is_absent(u, now_ms, q->model, NULL)) {
            return HOLDS_NOT;
        }
        if (!q->adapter) {
            return HOLDS_ALL;
        }
        return dep_has_name(r->adapters, q->adapter) &&
                       !is_absent(u, now_ms, q->model, q->adapter)
                   ? HOLDS_ALL
                   : HOLDS_MODEL;
    }
    return HOLDS_NOT;
}

/* ---- choice ------------------------------------------------------------- */

static double
fade(uint32_t count, uint64_t since_ms, uint64_t now_ms)
{
    uint64_t age_ms = now_ms - since_ms;
    if (since_ms == 0 || age_ms >= UT_REPORT_FADE_MS) {
        return 0;
    }
    return count * (1. - (double)age_ms / UT_REPORT_FADE_MS);
}

/* Load from other gateways: the larger of what the last answer of U and the
   leader's totals show.  With many gateways each sees few answers of each
   upstream, so the totals fill the gaps. */
static double
get_others(const Ut *u, uint64_t now_ms)
{
    return MAX(fade(u->reported, u->reported_ms, now_ms),
               fade(u->others_running, u->set->totals_ms, now_ms));
}

double
ut_get_load(const Ut *u, uint64_t now_ms)
{
    return u->running + get_others(u, now_ms);
}

/* Cost factor for slowness and failures, with their decay until now; 1:
   none. */
static double
get_penalty(const Ut *u, uint64_t now_ms)
{
    double decay =
        exp2(-(double)(now_ms - u->penalty_ms) / UT_PENALTY_HALF_LIFE_MS);
    double slow = 1 + (u->slowness - 1) * decay;
    return slow * (1 + FAILURE_COST * u->fail_rate * decay);
}

static double
compute_cost(const UtSet *s, const Ut *u, uint64_t now_ms, const UtQuery *q)
{
    double cost = (ut_get_load(u, now_ms) + 1) * get_penalty(u, now_ms);
    if (strcmp(u->entry->data_centre, s->data_centre) != 0) {
        /* A call without a model is short: the round trip is much of it. */
        cost *= q->model ? REMOTE_COST : REMOTE_COST * 1.3;
    }
    return cost;
}

static bool
was_tried(const UtQuery *q, const Ut *u)
{
    for (guint i = 0; q->tried && i < q->tried->len; i++) {
        if (q->tried->pdata[i] == u) {
            return true;
        }
    }
    return false;
}

typedef struct {
    Ut *ut;
    double cost;
    uint64_t rank; /* rendezvous hash; the highest is preferred */
} Candidate;

bool
ut_hears_leader(const UtSet *s, uint64_t now_ms)
{
    return now_ms < s->totals_ms + UT_REPORT_FADE_MS;
}

/* The leader probes it too and publishes its placement once it is back, so
   hundreds of gateways must not probe it often besides. */
static bool
is_reported_unreachable(const Ut *u, uint64_t now_ms)
{
    return u->reported_unreachable_ms && ut_hears_leader(u->set, now_ms);
}

/* It is unreachable, and the next probe is not due yet or is running. */
static bool
awaits_probe(const Ut *u, uint64_t now_ms)
{
    if (is_reported_unreachable(u, now_ms)) {
        return u->probing ||
               now_ms < MAX(u->reported_unreachable_ms, u->unreachable_ms) +
                            UT_MAX_PROBE_INTERVAL_MS;
    }
    return u->unreachable_ms &&
           (u->probing || now_ms < u->unreachable_ms + u->probe_interval_ms);
}

/* The queue there is too long for this request.  The threshold differs by
   request: with one for all, hundreds of gateways would stop and resume
   sending at the same moment. */
static bool
is_wait_too_long(const Ut *u, uint64_t now_ms, const UtQuery *q)
{
    double threshold = (MIN_WAIT_PERCENT + q->draw) / 100.;
    return ut_get_wait_ms(u, now_ms) > q->max_wait_ms * threshold;
}

static uint64_t
compute_rank(uint64_t affinity, const char *id)
{
    return XXH64(id, strlen(id), affinity);
}

/* The upstream that all gateways prefer for this prompt prefix (rendezvous
   hashing), passing over those that cost far more than the mean. */
static const Candidate *
prefer_by_affinity(const GArray *c, double mean)
{
    const Candidate *best = NULL;
    for (guint i = 0; i < c->len; i++) {
        const Candidate *x = &g_array_index(c, Candidate, i);
        if (x->cost <= mean * AFFINITY_LOAD + AFFINITY_SLACK &&
            (!best || x->rank > best->rank)) {
            best = x;
        }
    }
    return best;
}

static const Candidate *
pick(UtSet *s, const GArray *c, const UtQuery *q)
{
    double sum = 0;
    for (guint i = 0; i < c->len; i++) {
        sum += g_array_index(c, Candidate, i).cost;
    }
    if (q->affinity && q->shared_tokens / UT_TOKENS_PER_MS >= MIN_SHARED_MS) {
        const Candidate *x = prefer_by_affinity(c, sum / c->len);
        if (x) {
            return x;
        }
    }
    /* The cheapest of a few random candidates: gateways that know the same,
       slightly stale loads would otherwise all choose the same upstream. */
    const Candidate *best = NULL;
    for (int i = 0; i < CANDIDATES_SAMPLED; i++) {
        const Candidate *x =
            &g_array_index(c, Candidate, bg_pick_random(&s->rng, c->len));
        if (!best || x->cost < best->cost) {
            best = x;
        }
    }
    return best;
}

static Ut *
get_less_busy(Ut *a, Ut *b, uint64_t now_ms)
{
    return a && ut_get_wait_ms(a, now_ms) < ut_get_wait_ms(b, now_ms) ? a : b;
}

/* The upstreams that could serve a query, by what stands in the way. */
typedef struct {
    GArray *available; /* Candidate */
    GArray *backed_off;
    GArray *limited; /* a slot is needed, and may be had in time */
    bool any;
    bool model;
    bool all;
    bool full;
    bool unreachable;
    Ut *first_rested;
    Ut *least_busy;
    Ut *first_slot; /* of those without a slot in time, the soonest */
    Ut *at_slot;    /* the request has a slot there */
} Options;

static uint32_t
get_slot_wait_ms(const Ut *u, uint64_t now_ms)
{
    return ul_get_wait_ms(u->set->limits, now_ms, u->entry->id);
}

static bool
is_limited(const Ut *u)
{
    const Ul *limits = u->set->limits;
    return limits && ul_needs_slot(limits, u->entry->id);
}

static void
add_limited(Options *o, const Candidate *c, uint64_t now_ms, const UtQuery *q)
{
    uint32_t wait_ms = get_slot_wait_ms(c->ut, now_ms);
    if (q->slot_at && strcmp(q->slot_at, c->ut->entry->id) == 0) {
        o->at_slot = c->ut;
    }
    else if (wait_ms <= q->max_slot_wait_ms) {
        g_array_append_val(o->limited, *c);
    }
    else if (!o->first_slot ||
             wait_ms < get_slot_wait_ms(o->first_slot, now_ms)) {
        o->first_slot = c->ut;
    }
}

/* Apart from what it holds. */
static bool
serves(const Ut *u, const UtQuery *q)
{
    return !u->leaving && strcmp(u->entry->service, q->service) == 0 &&
           (!q->version || g_strcmp0(u->entry->version, q->version) == 0);
}

uint64_t
ut_get_rested_ms(const Ut *u, uint64_t now_ms)
{
    const Un *notices = u->set->notices;
    UnProcess process = ut_get_process(u);
    uint64_t from_ms = now_ms;
    if (notices) {
        (void)un_check(notices, now_ms, &process, u->running, &from_ms);
    }
    return from_ms;
}

static Ut *
get_sooner_rested(Ut *a, Ut *b, uint64_t now_ms)
{
    return a && ut_get_rested_ms(a, now_ms) <= ut_get_rested_ms(b, now_ms) ? a
                                                                           : b;
}

bool
ut_has_awake(const UtSet *s, uint64_t now_ms, const UtQuery *q)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Ut *u = v;
        if (serves(u, q) && ut_get_rested_ms(u, now_ms) <= now_ms) {
            return true;
        }
    }
    return false;
}

static void
add_option(UtSet *s, Options *o, Ut *u, uint64_t now_ms, const UtQuery *q)
{
    Candidate c = {u, compute_cost(s, u, now_ms, q),
                   q->affinity ? compute_rank(q->affinity, u->entry->id) : 0};
    if (ut_get_rested_ms(u, now_ms) > now_ms) {
        o->first_rested = get_sooner_rested(o->first_rested, u, now_ms);
    }
    else if (now_ms < u->shed_until_ms && u->running > 0) {
        o->full = true;
    }
    else if (awaits_probe(u, now_ms)) {
        o->unreachable = true;
    }
    else if (q->max_wait_ms && is_wait_too_long(u, now_ms, q)) {
        o->least_busy = get_less_busy(o->least_busy, u, now_ms);
    }
    else if (is_limited(u)) {
        add_limited(o, &c, now_ms, q);
    }
    else if (now_ms < u->backoff_until_ms) {
        g_array_append_val(o->backed_off, c);
    }
    else {
        g_array_append_val(o->available, c);
    }
}

static void
list_options(UtSet *s, Options *o, uint64_t now_ms, const UtQuery *q)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Ut *u = v;
        if (!serves(u, q)) {
            continue;
        }
        o->any = true;
        Holds holds = check_holds(u, now_ms, q);
        o->model = o->model || holds != HOLDS_NOT;
        if (holds != HOLDS_ALL) {
            continue;
        }
        o->all = true;
        if (!was_tried(q, u)) {
            add_option(s, o, u, now_ms, q);
        }
    }
}

/* One rests, and could serve Q after that. */
static bool
is_rested_in_time(const Options *o, uint64_t now_ms, const UtQuery *q)
{
    return o->first_rested && ut_get_rested_ms(o->first_rested, now_ms) <=
                                  now_ms + q->max_rest_ms;
}

static UtChoice
describe_none(const Options *o, uint64_t now_ms, const UtQuery *q, Ut **out)
{
    if (is_rested_in_time(o, now_ms, q)) {
        *out = o->first_rested;
        return UT_RESTING;
    }
    if (o->least_busy) {
        *out = o->least_busy;
        return UT_BUSY;
    }
    if (o->first_slot) {
        *out = o->first_slot;
        return UT_LIMITED;
    }
    if (o->first_rested && !o->full) {
        *out = o->first_rested;
        return UT_RESTING;
    }
    return !o->any          ? UT_NONE
           : !o->model      ? UT_COLD
           : !o->all        ? UT_ADAPTER
           : o->full        ? UT_FULL
           : o->unreachable ? UT_UNREACHABLE
                            : UT_TRIED;
}

/* Adds the limited ones that may have a slot at once to those AVAILABLE. */
static void
add_brief(GArray *available, const GArray *limited, uint64_t now_ms)
{
    for (guint i = 0; i < limited->len; i++) {
        const Candidate *c = &g_array_index(limited, Candidate, i);
        if (get_slot_wait_ms(c->ut, now_ms) <= UT_BRIEF_SLOT_WAIT_MS) {
            g_array_append_val(available, *c);
        }
    }
}

static UtChoice
choose_option(UtSet *s, const Options *o, uint64_t now_ms, const UtQuery *q,
              Ut **out)
{
    if (o->at_slot) {
        *out = o->at_slot;
        return UT_FOUND;
    }
    if (o->available->len > 0) {
        add_brief(o->available, o->limited, now_ms);
        *out = pick(s, o->available, q)->ut;
        return is_limited(*out) ? UT_ASK_BRIEFLY : UT_FOUND;
    }
    if (o->limited->len > 0) {
        *out = pick(s, o->limited, q)->ut;
        return UT_ASK;
    }
    if (o->backed_off->len > 0) {
        *out = pick(s, o->backed_off, q)->ut;
        return UT_FOUND;
    }
    return describe_none(o, now_ms, q, out);
}

UtChoice
ut_choose(UtSet *s, uint64_t now_ms, const UtQuery *q, Ut **out)
{
    Options o = {.available = g_array_new(FALSE, FALSE, sizeof(Candidate)),
                 .backed_off = g_array_new(FALSE, FALSE, sizeof(Candidate)),
                 .limited = g_array_new(FALSE, FALSE, sizeof(Candidate))};
    list_options(s, &o, now_ms, q);
    UtChoice choice = choose_option(s, &o, now_ms, q, out);
    g_array_free(o.available, TRUE);
    g_array_free(o.backed_off, TRUE);
    g_array_free(o.limited, TRUE);
    return choice;
}
