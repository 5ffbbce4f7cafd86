#include "upstream_table.h"

#include <math.h>
#include <string.h>
#include <xxhash.h>

/* A load report loses its weight linearly over this time. */
#define REPORT_FADE_MS 1000
/* How long an upstream that reported a model as not loaded is not chosen for
   it: a load that was taken for complete may need a little longer.  Tripled
   with each such report in a row, up to the maximum. */
#define MIN_ABSENT_MS 80
#define MAX_ABSENT_MS 1000
#define SHED_BACKOFF_MS 60 /* a full upstream frees slots all the time */
/* Backoff after a call that failed to connect or timed out; doubled each time,
   up to the maximum. */
#define MIN_BACKOFF_MS 250
#define MAX_BACKOFF_MS 3000
/* An unreachable upstream is probed by one call at a time, this long after the
   last failure, also where no other holds the model: a crashed process refuses
   connections at once, and queued requests would reconnect without pause. */
#define MIN_PROBE_INTERVAL_MS 100
/* The interval doubles with each inconclusive probe, up to this. */
#define MAX_PROBE_INTERVAL_MS 1600
/* Weight of a new sample in the averages of failures and first bytes: about
   the last five answers decide. */
#define SAMPLE_WEIGHT 0.2
/* The penalty of a slow or failing upstream halves in this time, so that it is
   tried again. */
#define PENALTY_HALF_LIFE_MS 2500.
/* One that fails half of its requests costs as much as one with 8.5 times the
   load. */
#define FAILURE_COST 15.
/* The preferred upstream for a prompt prefix is passed over when its cost is
   above AFFINITY_LOAD times the mean plus AFFINITY_SLACK. */
#define AFFINITY_LOAD 1.5
#define AFFINITY_SLACK 3.
/* Approximate rate at which engines process prompts (prefill). */
#define TOKENS_PER_MS 30.
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
/* An upstream counts as alive, so as busy rather than down, for this long
   after the end of a call of this gateway that it answered. */
#define ALIVE_MS 700

typedef struct {
    char *what; /* "model" or "model/adapter" */
    uint64_t until_ms;
    uint32_t last_ms; /* its duration */
} Absence;

struct Ut {
    UtSet *set;
    DepUpstream *entry;
    GPtrArray *placed; /* DepResident, by the leader; NULL: see entry */
    bool stale;        /* the next entry replaces PLACED */
    bool gone;         /* no longer listed; kept while calls run */
    bool leaving;
    uint32_t running; /* calls of this gateway */
    /* Running and queued for other gateways, by its last answer. */
    uint32_t reported;
    uint64_t reported_ms;
    /* By the leader's totals (UtTotal). */
    uint32_t others_running; /* for other gateways */
    uint32_t fleet_wait_ms;
    uint32_t fleet_running; /* for all gateways */
    bool stalled;
    uint64_t asked_ms;  /* the report that is under way; 0: none */
    uint64_t proved_ms; /* its process was proved by a report asked for then;
                           0: never */
    uint64_t last_answer_ms; /* end of the last answered call; 0: none */
    uint32_t failures;       /* unreachable or silent in a row */
    uint64_t unreachable_ms; /* last failure to reach it; 0: reachable */
    bool probing;            /* a probe is running */
    uint32_t probe_interval_ms;
    uint64_t reported_unreachable_ms; /* by the leader; 0: no */
    uint64_t backoff_until_ms;
    uint64_t shed_until_ms;
    double fail_rate;    /* 0 to 1 */
    double slowness;     /* time to first byte over the expected; 1: normal */
    uint64_t penalty_ms; /* time up to which these two have decayed */
    GArray *absences;    /* Absence */
    int brittle_kind;    /* by its last answer, see ut_note_brittle */
    double brittle_per_s;
};

struct UtSet {
    char *data_centre;
    BgRandom rng;
    GHashTable *by_id;  /* id -> Ut */
    GHashTable *by_key; /* ut_make_key of its id -> Ut */
    uint64_t totals_ms; /* when the totals were last refreshed */
    GPtrArray *removed; /* Ut: gone, with calls running */
    double plain_ms;    /* mean time to first byte, services without models */
    Ul *limits;         /* NULL: no upstream is limited */
};

static void
clear_absence(void *p)
{
    g_free(((Absence *)p)->what);
}

static void
free_ut(void *p)
{
    Ut *u = p;
    dep_destroy_upstream(u->entry);
    if (u->placed) {
        g_ptr_array_free(u->placed, TRUE);
    }
    g_array_free(u->absences, TRUE);
    g_free(u);
}

UtSet *
ut_create(const UtParams *params)
{
    UtSet *s = g_new0(UtSet, 1);
    s->data_centre = g_strdup(params->data_centre);
    bg_seed_random(&s->rng, params->seed);
    s->limits = params->limits;
    s->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    s->by_key = g_hash_table_new(g_direct_hash, g_direct_equal);
    s->removed = g_ptr_array_new();
    return s;
}

void
ut_destroy(UtSet *s)
{
    GHashTableIter it;
    gpointer u;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &u)) {
        free_ut(u);
    }
    g_hash_table_destroy(s->by_id);
    g_hash_table_destroy(s->by_key);
    for (guint i = 0; i < s->removed->len; i++) {
        free_ut(s->removed->pdata[i]);
    }
    g_ptr_array_free(s->removed, TRUE);
    g_free(s->data_centre);
    g_free(s);
}

/* ---- state -------------------------------------------------------------- */

static void
drop(UtSet *s, Ut *u)
{
    g_hash_table_remove(s->by_id, u->entry->id);
    if (s->limits) {
        ul_forget(s->limits, u->entry->id);
    }
    gpointer key = GUINT_TO_POINTER(ut_make_key(u->entry->id));
    if (g_hash_table_lookup(s->by_key, key) == u) {
        g_hash_table_remove(s->by_key, key);
    }
    u->gone = true;
    if (u->running == 0) {
        free_ut(u);
    }
    else {
        g_ptr_array_add(s->removed, u);
    }
}

/* A restarted process, or another address or service under the same id: what
   was learnt of the former one no longer holds. */
static bool
is_same_instance(const DepUpstream *a, const DepUpstream *b)
{
    return a->born_ms == b->born_ms && strcmp(a->address, b->address) == 0 &&
           strcmp(a->service, b->service) == 0 &&
           g_strcmp0(a->version, b->version) == 0;
}

bool
ut_on_entry(UtSet *s, uint64_t now_ms, DepUpstream *entry)
{
    Ut *u = g_hash_table_lookup(s->by_id, entry->id);
    if (u && !is_same_instance(u->entry, entry)) {
        drop(s, u);
        u = NULL;
    }
    bool is_new = !u;
    if (u) {
        g_hash_table_steal(s->by_id, u->entry->id);
        dep_destroy_upstream(u->entry);
        if (u->stale && u->placed) {
            g_ptr_array_free(u->placed, TRUE);
            u->placed = NULL;
        }
        u->stale = false;
    }
    else {
        u = g_new0(Ut, 1);
        u->set = s;
        g_hash_table_insert(s->by_key,
                            GUINT_TO_POINTER(ut_make_key(entry->id)), u);
        u->absences = g_array_new(FALSE, FALSE, sizeof(Absence));
        g_array_set_clear_func(u->absences, clear_absence);
        u->slowness = 1;
        u->penalty_ms = now_ms;
    }
    u->entry = entry;
    bool leaves = entry->draining && !u->leaving;
    u->leaving = u->leaving || entry->draining;
    g_hash_table_insert(s->by_id, entry->id, u);
    return is_new || leaves;
}

void
ut_on_gone(UtSet *s, uint64_t now_ms, const char *id)
{
    (void)now_ms;
    Ut *u = g_hash_table_lookup(s->by_id, id);
    if (u) {
        drop(s, u);
    }
}

void
ut_keep_only(UtSet *s, uint64_t now_ms, GHashTable *ids)
{
    g_autoptr(GList) known = g_hash_table_get_keys(s->by_id);
    for (GList *l = known; l; l = l->next) {
        if (!g_hash_table_contains(ids, l->data)) {
            ut_on_gone(s, now_ms, l->data);
        }
    }
}

void
ut_on_placement(UtSet *s, uint64_t now_ms, const char *id, GPtrArray *models)
{
    (void)now_ms;
    Ut *u = g_hash_table_lookup(s->by_id, id);
    if (!u) {
        g_ptr_array_free(models, TRUE);
        return;
    }
    if (u->placed) {
        g_ptr_array_free(u->placed, TRUE);
    }
    u->placed = models;
    u->stale = false;
    u->unreachable_ms = 0;
    u->reported_unreachable_ms = 0;
}

bool
ut_is_reported_unreachable(const UtSet *s, const char *id)
{
    const Ut *u = g_hash_table_lookup(s->by_id, id);
    return u && u->reported_unreachable_ms != 0;
}

const GPtrArray *
ut_get_placement(const UtSet *s, const char *id)
{
    const Ut *u = g_hash_table_lookup(s->by_id, id);
    return u && !u->stale ? u->placed : NULL;
}

void
ut_on_unreachable(UtSet *s, uint64_t now_ms, const char *id)
{
    Ut *u = g_hash_table_lookup(s->by_id, id);
    if (u && now_ms >= u->last_answer_ms + ALIVE_MS) {
        u->reported_unreachable_ms = now_ms;
    }
}

void
ut_mark_placement_stale(UtSet *s)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        ((Ut *)v)->stale = true;
    }
}

/* ---- loaded models ------------------------------------------------------ */

static bool
is_absent(const Ut *u, uint64_t now_ms, const char *model, const char *adapter)
{
    for (guint i = 0; i < u->absences->len; i++) {
        const Absence *a = &g_array_index(u->absences, Absence, i);
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
    if (since_ms == 0 || age_ms >= REPORT_FADE_MS) {
        return 0;
    }
    return count * (1. - (double)age_ms / REPORT_FADE_MS);
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
        exp2(-(double)(now_ms - u->penalty_ms) / PENALTY_HALF_LIFE_MS);
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

static bool
hears_leader(const UtSet *s, uint64_t now_ms)
{
    return now_ms < s->totals_ms + REPORT_FADE_MS;
}

/* The leader probes it too and publishes its placement once it is back, so
   hundreds of gateways must not probe it often besides. */
static bool
is_reported_unreachable(const Ut *u, uint64_t now_ms)
{
    return u->reported_unreachable_ms && hears_leader(u->set, now_ms);
}

/* It is unreachable, and the next probe is not due yet or is running. */
static bool
awaits_probe(const Ut *u, uint64_t now_ms)
{
    if (is_reported_unreachable(u, now_ms)) {
        return u->probing ||
               now_ms < MAX(u->reported_unreachable_ms, u->unreachable_ms) +
                            MAX_PROBE_INTERVAL_MS;
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
    if (q->affinity && q->shared_tokens / TOKENS_PER_MS >= MIN_SHARED_MS) {
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
    return limits && ul_get_limit(limits, u->entry->id) > 0;
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

static void
add_option(UtSet *s, Options *o, Ut *u, uint64_t now_ms, const UtQuery *q)
{
    Candidate c = {u, compute_cost(s, u, now_ms, q),
                   q->affinity ? compute_rank(q->affinity, u->entry->id) : 0};
    if (now_ms < u->shed_until_ms && u->running > 0) {
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
        if (u->leaving || strcmp(u->entry->service, q->service) != 0 ||
            (q->version && strcmp(ut_get_version(u), q->version) != 0)) {
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

static UtChoice
describe_none(const Options *o, Ut **out)
{
    if (o->least_busy) {
        *out = o->least_busy;
        return UT_BUSY;
    }
    if (o->first_slot) {
        *out = o->first_slot;
        return UT_LIMITED;
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
    return describe_none(o, out);
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

/* ---- calls -------------------------------------------------------------- */

void
ut_start(Ut *u)
{
    u->running++;
    u->probing = u->unreachable_ms != 0 || u->reported_unreachable_ms != 0;
}

static void
decay_penalty(Ut *u, uint64_t now_ms)
{
    double f = exp2(-(double)(now_ms - u->penalty_ms) / PENALTY_HALF_LIFE_MS);
    u->fail_rate *= f;
    u->slowness = 1 + (u->slowness - 1) * f;
    u->penalty_ms = now_ms;
}

static void
note_first_byte(UtSet *s, Ut *u, uint32_t first_ms, const UtQuery *q)
{
    if (q->model) {
        uint32_t usual = ut_get_usual_ms(s, u, q);
        double x = CLAMP((double)first_ms / MAX(usual, 1), 0.5, 10);
        u->slowness += SAMPLE_WEIGHT * (MAX(x, 1) - u->slowness);
        return;
    }
    if (s->plain_ms > 0) {
        double x = CLAMP(first_ms / s->plain_ms, 0.5, 10);
        u->slowness += SAMPLE_WEIGHT * (MAX(x, 1) - u->slowness);
    }
    double mean = s->plain_ms > 0 ? s->plain_ms : first_ms;
    s->plain_ms = MAX(1, mean + 0.05 * (first_ms - mean));
}

/* The upstream may be back with nothing loaded, and refuse every model that it
   held.  It gets only single probes until it has answered one conclusively or
   its placement is published again. */
static void
note_inconclusive_probe(Ut *u, uint64_t now_ms)
{
    u->probe_interval_ms =
        MIN(u->probe_interval_ms * 2, MAX_PROBE_INTERVAL_MS);
    u->unreachable_ms = now_ms;
}

void
ut_finish(UtSet *s, Ut *u, uint64_t now_ms, UtOutcome outcome,
          uint32_t first_ms, const UtQuery *q)
{
    u->running--;
    u->probing = false;
    decay_penalty(u, now_ms);
    switch (outcome) {
    case UT_OUTCOME_GOOD:
        u->unreachable_ms = 0;
        u->failures = 0;
        u->backoff_until_ms = 0;
        u->fail_rate *= 1 - SAMPLE_WEIGHT;
        break;
    case UT_OUTCOME_FAILED:
        u->unreachable_ms = 0;
        u->fail_rate += SAMPLE_WEIGHT * (1 - u->fail_rate);
        break;
    case UT_OUTCOME_UNREACHABLE:
        u->unreachable_ms = now_ms;
        u->probe_interval_ms = MIN_PROBE_INTERVAL_MS;
        /* fall through */
    case UT_OUTCOME_SILENT:
        u->fail_rate += SAMPLE_WEIGHT * (1 - u->fail_rate);
        u->backoff_until_ms =
            now_ms +
            MIN(MIN_BACKOFF_MS << MIN(u->failures, 10), MAX_BACKOFF_MS);
        u->failures++;
        break;
    case UT_OUTCOME_SHED:
        u->unreachable_ms = 0;
        u->shed_until_ms = now_ms + SHED_BACKOFF_MS;
        break;
    case UT_OUTCOME_NEUTRAL:
        if (u->unreachable_ms) {
            note_inconclusive_probe(u, now_ms);
        }
        break;
    }
    if (first_ms) {
        u->last_answer_ms = now_ms;
        u->reported_unreachable_ms = 0;
        note_first_byte(s, u, first_ms, q);
    }
    if (u->gone && u->running == 0) {
        g_ptr_array_remove_fast(s->removed, u);
        free_ut(u);
    }
}

void
ut_note_absent(UtSet *s, Ut *u, uint64_t now_ms, const char *model,
               const char *adapter)
{
    (void)s;
    g_autofree char *what = dep_make_key(model, adapter);
    uint32_t last_ms = 0;
    for (guint i = 0; i < u->absences->len;) {
        Absence *a = &g_array_index(u->absences, Absence, i);
        bool same = strcmp(a->what, what) == 0;
        if (same && now_ms < a->until_ms + MAX_ABSENT_MS) {
            last_ms = a->last_ms;
        }
        if (same || a->until_ms + MAX_ABSENT_MS <= now_ms) {
            g_array_remove_index_fast(u->absences, i);
        }
        else {
            i++;
        }
    }
    Absence a = {.what = g_steal_pointer(&what)};
    a.last_ms = last_ms ? MIN(last_ms * 3, MAX_ABSENT_MS) : MIN_ABSENT_MS;
    a.until_ms = now_ms + a.last_ms;
    g_array_append_val(u->absences, a);
}

void
ut_note_load(Ut *u, uint64_t now_ms, uint32_t running, uint32_t waiting)
{
    uint32_t all = running + waiting;
    u->reported = all > u->running ? all - u->running : 0;
    u->reported_ms = now_ms;
}

bool
ut_note_brittle(Ut *u, int kind, double per_s)
{
    bool changed = kind != u->brittle_kind || per_s != u->brittle_per_s;
    u->brittle_kind = kind;
    u->brittle_per_s = per_s;
    return changed;
}

static void
set_total(Ut *u, const UtTotal *t)
{
    u->fleet_running = t->running;
    u->others_running = t->running > u->running ? t->running - u->running : 0;
    u->fleet_wait_ms = t->wait_ms;
    u->stalled = t->stalled;
}

void
ut_on_totals(UtSet *s, uint64_t now_ms, const UtTotal *totals, size_t n,
             bool whole)
{
    s->totals_ms = now_ms;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_id);
    static const UtTotal none;
    while (whole && g_hash_table_iter_next(&it, NULL, &v)) {
        set_total(v, &none);
    }
    for (size_t i = 0; i < n; i++) {
        Ut *u =
            g_hash_table_lookup(s->by_key, GUINT_TO_POINTER(totals[i].key));
        if (u) {
            set_total(u, &totals[i]);
        }
    }
}

void
ut_visit_totals(const UtSet *s, void (*visit)(void *ctx, const UtTotal *total),
                void *ctx)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Ut *u = v;
        UtTotal t = {ut_make_key(u->entry->id), u->fleet_running,
                     u->fleet_wait_ms, u->stalled};
        if (t.running > 0) {
            visit(ctx, &t);
        }
    }
}

void
ut_visit(const UtSet *s,
         void (*visit)(void *ctx, const DepUpstream *entry,
                       const GPtrArray *models),
         void *ctx)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Ut *u = v;
        visit(ctx, u->entry, u->placed ? u->placed : u->entry->models);
    }
}

uint32_t
ut_make_key(const char *id)
{
    return XXH32(id, strlen(id), 0);
}

uint32_t
ut_get_wait_ms(const Ut *u, uint64_t now_ms)
{
    return hears_leader(u->set, now_ms) ? u->fleet_wait_ms : 0;
}

/* Time of the first decoding step, after the prompt was processed; queueing
   and concurrent requests add to it. */
#define FIRST_STEP_MS 100.

uint32_t
ut_get_usual_ms(const UtSet *s, const Ut *u, const UtQuery *q)
{
    (void)u;
    if (!q->model) {
        return (uint32_t)s->plain_ms;
    }
    return (uint32_t)(FIRST_STEP_MS + q->prompt_tokens / TOKENS_PER_MS);
}

const char *
ut_get_id(const Ut *u)
{
    return u->entry->id;
}

const DepUpstream *
ut_get_entry(const Ut *u)
{
    return u->entry;
}

const char *
ut_get_version(const Ut *u)
{
    return u->entry->version ? u->entry->version : "";
}

const char *
ut_get_address(const Ut *u)
{
    return u->entry->address;
}

bool
ut_is_gone(const Ut *u)
{
    return u->gone || u->leaving;
}

bool
ut_is_unreachable(const Ut *u)
{
    return u->unreachable_ms != 0;
}

bool
ut_is_alive(const Ut *u, uint64_t now_ms)
{
    if (now_ms < u->last_answer_ms + ALIVE_MS) {
        return true;
    }
    /* The totals are evidence only if other gateways have requests there. */
    return u->others_running > 0 && hears_leader(u->set, now_ms) &&
           !u->stalled && !u->reported_unreachable_ms;
}

uint32_t
ut_get_running(const Ut *u)
{
    return u->running;
}

uint32_t
ut_count(const UtSet *s)
{
    return g_hash_table_size(s->by_id);
}

bool
ut_knows(const UtSet *s, const char *id)
{
    return g_hash_table_contains(s->by_id, id);
}

const char *
ut_find_address(const UtSet *s, const char *id)
{
    const Ut *u = g_hash_table_lookup(s->by_id, id);
    return u ? u->entry->address : NULL;
}

bool
ut_has_address(const UtSet *s, const char *address)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Ut *u = v;
        if (!u->leaving && strcmp(u->entry->address, address) == 0) {
            return true;
        }
    }
    return false;
}

const Ut *
ut_pick_any(UtSet *s)
{
    uint32_t nth = bg_pick_random(&s->rng, g_hash_table_size(s->by_id));
    GHashTableIter it;
    gpointer v = NULL;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v) && nth > 0) {
        nth--;
    }
    return v;
}

const char *
ut_find_only_version(const UtSet *s, const char *service)
{
    const char *found = NULL;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, s->by_id);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Ut *u = v;
        if (u->leaving || strcmp(u->entry->service, service) != 0) {
            continue;
        }
        if (found && strcmp(found, ut_get_version(u)) != 0) {
            return NULL;
        }
        found = ut_get_version(u);
    }
    return found;
}

Ut *
ut_find(const UtSet *s, const char *id)
{
    return g_hash_table_lookup(s->by_id, id);
}

bool
ut_ask_process(Ut *u, uint64_t now_ms)
{
    if (u->asked_ms) {
        return false;
    }
    u->asked_ms = now_ms;
    return true;
}

void
ut_on_process(Ut *u, uint64_t asked_ms, uint64_t born_ms)
{
    if (u->asked_ms != asked_ms) {
        return; /* it was asked of a former process of that id */
    }
    u->asked_ms = 0;
    if (born_ms && born_ms == u->entry->born_ms) {
        u->proved_ms = asked_ms;
    }
}

bool
ut_is_proved(const Ut *u, uint64_t opened_ms)
{
    return u->proved_ms && opened_ms && opened_ms <= u->proved_ms;
}

uint64_t
ut_get_born_ms(const UtSet *s, const char *id)
{
    const Ut *u = g_hash_table_lookup(s->by_id, id);
    return u ? u->entry->born_ms : 0;
}

bool
ut_is_born(const UtSet *s, const char *id, uint64_t born_ms)
{
    return ut_knows(s, id) && ut_get_born_ms(s, id) == born_ms;
}
