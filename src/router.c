#include "router.h"

#include "fair_queue.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define UNMET_DEMAND_MS 5000
#define MIN_RETRY_AFTER_MS 1000
#define RETRY_COST 100       /* hundredths of a request */
#define RETRY_CREDIT_MAX 100 /* retries that can accumulate */
#define RETRY_JITTER_MS 10   /* doubles with each attempt */
#define AVOID_TRIED_MS 200
#define MAX_BACKOFF_STEPS 5
#define NO_UPSTREAM_WAIT_MS 1000
#define EWMA_WEIGHT 4 /* a new sample counts for a quarter */
#define RECENT_USE_MS 1000
#define MAX_DEATHS 2 /* of upstreams that ran one request */

typedef struct Target Target;

typedef struct {
    RtRequest r; /* text members are owned */
    Target *target;
    FqNode node;       /* in target->queue before its first attempt */
    GList *retry_link; /* in target->retrying afterwards */
    Up *at;            /* the upstream that runs it, or NULL while queued */
    GPtrArray *tried;  /* upstream ids, owned */
    uint32_t sends;    /* attempts that reached an upstream */
    bool may_have_run; /* then it is never refused as not run */
    uint32_t deaths;   /* upstreams that died while running it */
    uint64_t arrived_ms;
    uint64_t sent_ms;
    uint64_t not_before_ms;        /* of a retry: backoff with jitter */
    uint64_t avoid_tried_until_ms; /* until then only untried upstreams */
    uint64_t latest_start_ms;      /* a later start would miss the deadline */
} Request;

/* What requests are queued for: a model, or the upstreams of a service. */
struct Target {
    char *name;
    bool service;
    char *deployment;
    char *base;
    Fq *queue;       /* Request; all can use the same upstreams */
    GQueue retrying; /* Request; each with its own upstreams to avoid */
    GList *active;   /* in core->active while requests are queued */
    uint32_t inflight;
    uint32_t load_ms;          /* moving average, initially the template's */
    uint32_t run_ms;           /* of one call, moving average; 0: none yet */
    uint32_t run_deviation_ms; /* mean deviation from run_ms */
    uint32_t run_cost;         /* mean cost of the measured calls */
    uint64_t cold_since_ms;    /* in demand and not loaded; 0: no */
    uint64_t last_used_ms;
    uint64_t demand_until_ms; /* in demand without queued requests */
};

struct RtCore {
    RtParams params;
    RtOutput out;
    BgRandom rng;
    UpSet *ups;
    GHashTable *requests; /* id -> Request */
    GHashTable *targets;  /* name -> Target */
    GQueue active;        /* Target, served round-robin */
    uint32_t waiting[CFG_CLASSES];
    int64_t retry_credit; /* in hundredths of a request */
    bool draining;
};

const char *
rt_reason_name(RtReason reason)
{
    static const char *const names[] = {"queue full", "deadline", "no room",
                                        "limit",      "stopping", "upstreams",
                                        "quarantine"};
    return names[reason];
}

/* ---- creation and destruction ------------------------------------------- */

static void
free_request(gpointer p)
{
    Request *q = p;
    g_free((char *)q->r.model);
    g_free((char *)q->r.deployment);
    g_free((char *)q->r.base);
    g_free((char *)q->r.workspace);
    g_ptr_array_free(q->tried, TRUE);
    g_free(q);
}

static void
free_target(gpointer p)
{
    Target *t = p;
    fq_destroy(t->queue);
    g_queue_clear(&t->retrying);
    g_free(t->name);
    g_free(t->deployment);
    g_free(t->base);
    g_free(t);
}

RtCore *
rt_create(const RtParams *params, const RtOutput *out)
{
    RtCore *c = g_new0(RtCore, 1);
    c->params = *params;
    c->out = *out;
    bg_seed_random(&c->rng, params->seed);
    c->ups = up_create(&params->up, out->probe, out->ctx);
    c->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_request);
    c->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_target);
    g_queue_init(&c->active);
    c->retry_credit = RETRY_CREDIT_MAX * RETRY_COST;
    return c;
}

void
rt_destroy(RtCore *c)
{
    if (!c) {
        return;
    }
    g_queue_clear(&c->active);
    g_hash_table_destroy(c->targets);
    g_hash_table_destroy(c->requests);
    up_destroy(c->ups);
    g_free(c);
}

/* ---- targets ------------------------------------------------------------ */

static Target *
get_target(RtCore *c, const RtRequest *r)
{
    const char *name = r->model ? r->model : r->deployment;
    Target *t = g_hash_table_lookup(c->targets, name);
    if (!t) {
        t = g_new0(Target, 1);
        t->name = g_strdup(name);
        t->service = r->model == NULL;
        t->deployment = g_strdup(r->deployment);
        t->base = g_strdup(r->base);
        t->load_ms = r->load_ms;
        t->queue = fq_create();
        g_queue_init(&t->retrying);
        g_hash_table_insert(c->targets, t->name, t);
    }
    return t;
}

static UpQuery
make_query(const Target *t)
{
    UpQuery query = {.deployment = t->deployment,
                     .model = t->service ? NULL : t->name,
                     .base = t->base};
    return query;
}

static uint32_t
count_slots(const RtCore *c, const Target *t)
{
    UpQuery query = make_query(t);
    return up_count_slots(c->ups, &query);
}

static uint32_t
count_queued(const Target *t)
{
    return fq_count(t->queue) + t->retrying.length;
}

static uint32_t
average(uint32_t old, uint64_t sample)
{
    return (uint32_t)((old * (uint64_t)(EWMA_WEIGHT - 1) + sample) /
                      EWMA_WEIGHT);
}

/* Updates the average load time once a model in demand is loaded. */
static void
note_loaded(RtCore *c, Target *t, uint64_t now_ms)
{
    if (t->cold_since_ms && count_slots(c, t) > 0) {
        t->load_ms = average(t->load_ms, now_ms - t->cold_since_ms);
        t->cold_since_ms = 0;
    }
}

static void
note_run(Target *t, uint32_t cost, uint64_t run_ms)
{
    uint64_t old_ms = t->run_ms ? t->run_ms : run_ms;
    uint64_t deviation_ms =
        run_ms > old_ms ? run_ms - old_ms : old_ms - run_ms;
    t->run_deviation_ms = average(t->run_deviation_ms, deviation_ms);
    t->run_ms = average((uint32_t)old_ms, run_ms);
    t->run_cost = t->run_cost ? average(t->run_cost, cost) : cost;
}

/* A duration that calls of T seldom exceed. */
static uint32_t
get_long_run_ms(const Target *t)
{
    return t->run_ms + 2 * t->run_deviation_ms;
}

/* Starts the measurement of a cold load.  It starts anew if the demand had
   ended in between, as the load may have been given up. */
static void
start_load_timer(Target *t, uint64_t now_ms)
{
    bool in_demand = count_queued(t) > 0 || t->demand_until_ms > now_ms;
    if (!t->cold_since_ms || !in_demand) {
        t->cold_since_ms = now_ms;
    }
}

static void
note_all_loaded(RtCore *c, uint64_t now_ms)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->targets);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        note_loaded(c, p, now_ms);
    }
}

/* ---- queueing ----------------------------------------------------------- */

static void
mark_active(RtCore *c, Target *t)
{
    bool has_queued = count_queued(t) > 0;
    if (has_queued && !t->active) {
        g_queue_push_tail(&c->active, t);
        t->active = c->active.tail;
    }
    else if (!has_queued && t->active) {
        g_queue_delete_link(&c->active, t->active);
        t->active = NULL;
    }
}

static void
enqueue(RtCore *c, Request *q)
{
    fq_push(q->target->queue, &q->node);
    c->waiting[q->r.class_]++;
    mark_active(c, q->target);
}

static void
enqueue_retry(RtCore *c, Request *q)
{
    g_queue_push_tail(&q->target->retrying, q);
    q->retry_link = q->target->retrying.tail;
    c->waiting[q->r.class_]++;
    mark_active(c, q->target);
}

static bool
is_queued(const Request *q)
{
    return q->node.lane || q->retry_link;
}

static void
dequeue(RtCore *c, Request *q, bool served)
{
    if (!is_queued(q)) {
        return;
    }
    if (q->retry_link) {
        g_queue_delete_link(&q->target->retrying, q->retry_link);
        q->retry_link = NULL;
    }
    else {
        fq_remove(q->target->queue, &q->node, served);
    }
    c->waiting[q->r.class_]--;
    mark_active(c, q->target);
}

static void
drop_request(RtCore *c, Request *q)
{
    dequeue(c, q, false);
    g_hash_table_remove(c->requests, &q->r.id);
}

/* ---- final decisions ---------------------------------------------------- */

static void
finish(RtCore *c, Request *q)
{
    bg_count("router_unfinished_total", 1);
    c->out.finish(c->out.ctx, q->r.id);
    drop_request(c, q);
}

/* A request that may have run must not be reported as not run: it is finished
   instead, whatever the reason. */
static void
refuse(RtCore *c, Request *q, RtReason reason, uint64_t retry_after_ms)
{
    if (q->may_have_run) {
        finish(c, q);
        return;
    }
    bg_count("router_refused_total", 1);
    c->out.refuse(c->out.ctx, q->r.id, reason,
                  MAX(retry_after_ms, MIN_RETRY_AFTER_MS));
    drop_request(c, q);
}

/* ---- sending ------------------------------------------------------------ */

static Up *
choose_upstream(RtCore *c, const Request *q, uint64_t now_ms)
{
    UpQuery query = make_query(q->target);
    query.affinity = q->r.affinity;
    query.exclusive = q->r.suspect;
    if (q->tried->len == 0) {
        return up_choose(c->ups, now_ms, &query);
    }
    query.avoided = q->tried;
    Up *u = up_choose(c->ups, now_ms, &query);
    if (u || now_ms < q->avoid_tried_until_ms) {
        return u;
    }
    query.avoided = NULL;
    return up_choose(c->ups, now_ms, &query);
}

/* get_long_run_ms for Q: scaled by its cost if that is above the average. */
static uint32_t
get_request_long_run_ms(const Request *q)
{
    const Target *t = q->target;
    uint64_t long_ms = get_long_run_ms(t);
    if (q->node.cost > t->run_cost && t->run_cost > 0) {
        long_ms = long_ms * q->node.cost / t->run_cost;
    }
    return (uint32_t)MIN(long_ms, UINT32_MAX);
}

static void
send_to(RtCore *c, Request *q, Up *u, uint64_t now_ms)
{
    dequeue(c, q, true);
    q->at = u;
    q->sent_ms = now_ms;
    q->target->inflight++;
    up_start(u, q->r.suspect);
    c->out.send(c->out.ctx, q->r.id, up_get_id(u), up_get_address(u),
                get_request_long_run_ms(q));
}

static bool
send_retry(RtCore *c, Target *t, uint64_t now_ms)
{
    for (GList *at = t->retrying.head; at; at = at->next) {
        Request *q = at->data;
        Up *u =
            now_ms >= q->not_before_ms ? choose_upstream(c, q, now_ms) : NULL;
        if (u) {
            send_to(c, q, u, now_ms);
            return true;
        }
    }
    return false;
}

static Request *
get_request(FqNode *n)
{
    return n ? (Request *)((char *)n - offsetof(Request, node)) : NULL;
}

/* Sends one queued request; false if none can be sent now. */
static bool
send_next(RtCore *c, Target *t, uint64_t now_ms)
{
    if (send_retry(c, t, now_ms)) {
        return true;
    }
    Request *q = get_request(fq_peek(t->queue));
    Up *u = q ? choose_upstream(c, q, now_ms) : NULL;
    if (u) {
        send_to(c, q, u, now_ms);
    }
    return u != NULL;
}

/* Sends all queued requests that can be sent now.  Targets share upstreams,
   so they take turns of one request; the next call continues the round. */
static void
dispatch(RtCore *c, uint64_t now_ms)
{
    uint32_t idle = 0;
    while (c->active.length > 0 && idle < c->active.length) {
        Target *t = c->active.head->data;
        idle = send_next(c, t, now_ms) ? 0 : idle + 1;
        if (t->active) {
            g_queue_unlink(&c->active, t->active);
            g_queue_push_tail_link(&c->active, t->active);
        }
    }
}

/* ---- estimates ---------------------------------------------------------- */

/* Remaining time of a cold load.  A load that takes longer than the average
   is estimated to need another quarter of the average. */
static uint64_t
estimate_load(const Target *t, uint64_t now_ms)
{
    uint64_t elapsed_ms = t->cold_since_ms ? now_ms - t->cold_since_ms : 0;
    uint64_t remaining_ms =
        t->load_ms > elapsed_ms ? t->load_ms - elapsed_ms : 0;
    return MAX(remaining_ms, t->load_ms / 4);
}

/* Time until a request of PRIORITY that arrives now would be sent. */
static uint64_t
estimate_wait(const RtCore *c, const Target *t, uint32_t priority,
              uint64_t now_ms)
{
    uint32_t slots = count_slots(c, t);
    if (slots == 0) {
        return t->service ? 0 : estimate_load(t, now_ms);
    }
    uint64_t ahead =
        fq_count_ahead(t->queue, priority) + t->retrying.length + 1;
    return ahead * t->run_ms / slots;
}

/* ---- admission ---------------------------------------------------------- */

static Request *
add_request(RtCore *c, uint64_t now_ms, const RtRequest *r)
{
    Request *q = g_new0(Request, 1);
    q->r = *r;
    q->r.model = g_strdup(r->model);
    q->r.deployment = g_strdup(r->deployment);
    q->r.base = g_strdup(r->base);
    q->r.workspace = g_strdup(r->workspace);
    q->node.owner = q->r.workspace;
    q->node.priority = MIN(r->priority, FQ_PRIORITIES - 1);
    q->node.cost = MAX(r->cost, 1);
    q->tried = g_ptr_array_new_with_free_func(g_free);
    q->arrived_ms = now_ms;
    q->target = get_target(c, r);
    g_hash_table_insert(c->requests, &q->r.id, q);
    return q;
}

/* A request is given up when a call that starts then would usually miss its
   deadline, but not before half of its time has passed. */
static void
set_latest_start(const RtCore *c, Request *q)
{
    const Target *t = q->target;
    uint64_t left_ms = q->r.deadline_ms > q->arrived_ms
                           ? q->r.deadline_ms - q->arrived_ms
                           : 0;
    q->latest_start_ms = q->r.deadline_ms;
    if (c->params.early_refusal) {
        q->latest_start_ms -= MIN(get_long_run_ms(t), left_ms / 2);
    }
    if (t->service && count_slots(c, t) == 0) {
        q->latest_start_ms =
            MIN(q->latest_start_ms, q->arrived_ms + NO_UPSTREAM_WAIT_MS);
    }
}

static void
mark_suspect(RtCore *c, Request *q)
{
    q->r.suspect = true;
    if (q->node.lane) {
        /* In the queue it would block those behind it until an upstream is
           idle. */
        dequeue(c, q, false);
        enqueue_retry(c, q);
    }
}

/* Queues Q, or refuses it at once if it can't be served in time. */
static void
admit(RtCore *c, Request *q, uint64_t now_ms)
{
    Target *t = q->target;
    bool cold = !t->service && count_slots(c, t) == 0;
    uint64_t wait_ms = estimate_wait(c, t, q->node.priority, now_ms);
    if (c->waiting[q->r.class_] >= c->params.max_waiting[q->r.class_]) {
        refuse(c, q, RT_REFUSED_FULL, wait_ms);
        return;
    }
    if (cold) {
        start_load_timer(t, now_ms);
    }
    set_latest_start(c, q);
    if (c->params.early_refusal && now_ms + wait_ms > q->latest_start_ms) {
        if (cold) {
            /* The load ends too late for this caller but helps later ones:
               the demand is kept up. */
            t->demand_until_ms = now_ms + MAX(UNMET_DEMAND_MS, 2 * wait_ms);
        }
        refuse(c, q, RT_REFUSED_DEADLINE, wait_ms);
        return;
    }
    enqueue(c, q);
    if (q->r.suspect) {
        mark_suspect(c, q);
    }
}

void
rt_on_arrive(RtCore *c, uint64_t now_ms, const RtRequest *r)
{
    Request *q = add_request(c, now_ms, r);
    Target *t = q->target;
    t->last_used_ms = now_ms;
    c->retry_credit = MIN(c->retry_credit + c->params.retry_percent,
                          RETRY_CREDIT_MAX * RETRY_COST);
    /* A claimed request was accepted before draining began. */
    if (c->draining && !r->claimed) {
        refuse(c, q, RT_REFUSED_DRAINING, 0);
        return;
    }
    Up *u = count_queued(t) == 0 ? choose_upstream(c, q, now_ms) : NULL;
    if (u) {
        send_to(c, q, u, now_ms);
        return;
    }
    bool behind_others = t->retrying.length > 0;
    admit(c, q, now_ms);
    if (behind_others) {
        dispatch(c, now_ms); /* Q may use upstreams that the retries avoid */
    }
}

/* ---- results of attempts ------------------------------------------------ */

/* Queues a retry.  The retry budget keeps retries from multiplying the load
   on a failing deployment; jitter spreads requests that failed together. */
static void
try_again(RtCore *c, Request *q, uint64_t now_ms)
{
    if (q->sends >= c->params.max_sends || c->retry_credit < RETRY_COST ||
        now_ms >= q->r.deadline_ms) {
        refuse(c, q, RT_REFUSED_UPSTREAM, 0);
        return;
    }
    c->retry_credit -= RETRY_COST;
    bg_count("router_retries_total", 1);
    uint32_t tries = MIN(q->tried->len, MAX_BACKOFF_STEPS);
    q->not_before_ms =
        now_ms + bg_pick_random(&c->rng, RETRY_JITTER_MS << tries);
    q->avoid_tried_until_ms =
        now_ms + AVOID_TRIED_MS +
        bg_pick_random(&c->rng, AVOID_TRIED_MS << (tries - 1));
    q->latest_start_ms = q->r.deadline_ms;
    enqueue_retry(c, q);
}

static UpOutcome
get_upstream_outcome(const RtResult *result)
{
    bool failed = result->outcome == RT_OUTCOME_NOT_SENT ||
                  result->outcome == RT_OUTCOME_BROKEN;
    if (result->outcome == RT_OUTCOME_OK) {
        return UP_OUTCOME_GOOD;
    }
    /* A reused connection without an answer, or one that became silent, may be
       dead while the upstream is healthy: such a failure does not count. */
    return failed && !result->silent_connection && !result->late
               ? UP_OUTCOME_FAILED
               : UP_OUTCOME_NEUTRAL;
}

static void
end_attempt(RtCore *c, Request *q, uint64_t now_ms, const RtResult *result)
{
    Up *u = q->at;
    Target *t = q->target;
    q->at = NULL;
    t->inflight--;
    g_ptr_array_add(q->tried, g_strdup(up_get_id(u)));
    q->sends += result->outcome != RT_OUTCOME_NOT_SENT;
    if (result->leaving) {
        c->out.announce_leaving(c->out.ctx, up_get_id(u), up_get_address(u));
        up_mark_leaving(c->ups, u, now_ms);
    }
    else if (result->outcome == RT_OUTCOME_REJECTED && q->r.model) {
        up_forget_model(c->ups, u, q->r.model);
    }
    up_finish(c->ups, u, now_ms, get_upstream_outcome(result));
}

void
rt_on_done(RtCore *c, uint64_t now_ms, uint64_t id, const RtResult *result)
{
    Request *q = g_hash_table_lookup(c->requests, &id);
    if (!q || !q->at) {
        return;
    }
    Target *t = q->target;
    end_attempt(c, q, now_ms, result);
    t->last_used_ms = now_ms;
    switch (result->outcome) {
    case RT_OUTCOME_OK:
        note_run(t, q->node.cost, now_ms - q->sent_ms);
        drop_request(c, q);
        break;
    case RT_OUTCOME_CANCELLED:
        drop_request(c, q);
        break;
    case RT_OUTCOME_REJECTED:
    case RT_OUTCOME_NOT_SENT:
        try_again(c, q, now_ms);
        break;
    case RT_OUTCOME_BROKEN:
        q->may_have_run = true;
        if (result->late) {
            note_run(t, q->node.cost, now_ms - q->sent_ms); /* a lower bound */
        }
        /* Requests that ran beside the one that killed the upstream failed
           with it and look like the cause.  So each of them is retried on an
           upstream of its own, and not again after a second death. */
        q->deaths += result->died;
        q->r.suspect = q->r.suspect || result->died;
        if (q->r.once || q->deaths >= MAX_DEATHS) {
            finish(c, q);
        }
        else {
            try_again(c, q, now_ms);
        }
        break;
    }
    dispatch(c, now_ms);
}

bool
rt_on_cancel(RtCore *c, uint64_t now_ms, uint64_t id)
{
    (void)now_ms;
    Request *q = g_hash_table_lookup(c->requests, &id);
    if (!q || !is_queued(q)) {
        return false;
    }
    drop_request(c, q);
    return true;
}

void
rt_on_death(RtCore *c, uint64_t id, bool quarantined)
{
    Request *q = g_hash_table_lookup(c->requests, &id);
    if (!q || q->at) {
        return;
    }
    if (quarantined) {
        refuse(c, q, RT_REFUSED_QUARANTINE, 0);
    }
    else {
        mark_suspect(c, q);
    }
}

bool
rt_is_leaving(const RtCore *c, const char *upstream)
{
    return up_is_leaving(c->ups, upstream);
}

/* ---- other events ------------------------------------------------------- */

void
rt_on_residency(RtCore *c, uint64_t now_ms, const Bg__Residency *r)
{
    up_on_residency(c->ups, now_ms, r);
    note_all_loaded(c, now_ms);
    dispatch(c, now_ms);
}

void
rt_on_probe(RtCore *c, uint64_t now_ms, const char *upstream,
            const char *address, bool healthy)
{
    up_on_probe(c->ups, now_ms, upstream, address, healthy);
    dispatch(c, now_ms);
}

void
rt_on_leaving(RtCore *c, uint64_t now_ms, const char *upstream,
              const char *address)
{
    up_on_leaving(c->ups, now_ms, upstream, address);
}

typedef struct {
    RtCore *core;
    uint64_t now_ms;
    bool all;
    RtReason reason;
    uint64_t retry_after_ms;
} Sweep;

static void
sweep_request(Sweep *s, Request *q)
{
    if (s->all || s->now_ms >= q->latest_start_ms) {
        refuse(s->core, q, s->reason, s->retry_after_ms);
    }
}

static void
sweep_node(void *ctx, FqNode *n)
{
    sweep_request(ctx, get_request(n));
}

static void
sweep_target(Sweep *s, Target *t)
{
    fq_visit(t->queue, sweep_node, s);
    GList *at = t->retrying.head;
    while (at) {
        Request *q = at->data;
        at = at->next;
        sweep_request(s, q);
    }
}

void
rt_on_demand_refused(RtCore *c, uint64_t now_ms, const char *model,
                     uint64_t retry_after_ms)
{
    Target *t = g_hash_table_lookup(c->targets, model);
    if (t && count_slots(c, t) == 0) {
        Sweep s = {c, now_ms, true, RT_REFUSED_NO_ROOM, retry_after_ms};
        sweep_target(&s, t);
    }
}

static void
refuse_late(RtCore *c, uint64_t now_ms)
{
    GList *at = c->active.head;
    while (at) {
        Target *t = at->data;
        at = at->next;
        Sweep s = {c, now_ms, false, RT_REFUSED_DEADLINE,
                   estimate_wait(c, t, 0, now_ms)};
        sweep_target(&s, t);
    }
}

void
rt_on_tick(RtCore *c, uint64_t now_ms)
{
    up_on_tick(c->ups, now_ms);
    refuse_late(c, now_ms);
    dispatch(c, now_ms);
}

void
rt_on_drain(RtCore *c, uint64_t now_ms)
{
    (void)now_ms;
    c->draining = true;
}

/* ---- state -------------------------------------------------------------- */

typedef struct {
    uint64_t now_ms;
    uint64_t slack_ms;
} SlackScan;

static void
scan_slack(SlackScan *scan, const Request *q)
{
    uint64_t deadline_ms = q->r.deadline_ms;
    uint64_t slack_ms =
        deadline_ms > scan->now_ms ? deadline_ms - scan->now_ms : 0;
    scan->slack_ms = MIN(scan->slack_ms, slack_ms);
}

static void
scan_node(void *ctx, FqNode *n)
{
    scan_slack(ctx, get_request(n));
}

static uint64_t
get_slack(const Target *t, uint64_t now_ms)
{
    SlackScan scan = {now_ms, UINT32_MAX};
    fq_visit(t->queue, scan_node, &scan);
    for (GList *at = t->retrying.head; at; at = at->next) {
        scan_slack(&scan, at->data);
    }
    return scan.slack_ms;
}

static void
add_model_demand(Bg__Demand *d, const Target *t, uint64_t now_ms)
{
    Bg__Want *w = g_new(Bg__Want, 1);
    bg__want__init(w);
    w->model = g_strdup(t->name);
    w->waiting = MAX(count_queued(t), 1);
    w->slack_ms = get_slack(t, now_ms);
    w->priority = fq_get_top_priority(t->queue);
    d->wants[d->n_wants++] = w;
}

static void
add_usage(Bg__Demand *d, const Target *t)
{
    Bg__Usage *u = g_new(Bg__Usage, 1);
    bg__usage__init(u);
    u->model = g_strdup(t->name);
    u->inflight = t->inflight;
    d->usage[d->n_usage++] = u;
}

Bg__Demand *
rt_make_demand(const RtCore *c, uint64_t now_ms, const char *node)
{
    Bg__Demand *d = g_new(Bg__Demand, 1);
    bg__demand__init(d);
    d->node = g_strdup(node);
    guint max_rows = g_hash_table_size(c->targets) + 1;
    d->wants = g_new0(Bg__Want *, max_rows);
    d->usage = g_new0(Bg__Usage *, max_rows);
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->targets);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Target *t = p;
        if (t->service) {
            continue;
        }
        if (count_queued(t) > 0 || t->demand_until_ms > now_ms) {
            add_model_demand(d, t, now_ms);
        }
        if (t->inflight > 0 || now_ms - t->last_used_ms < RECENT_USE_MS) {
            add_usage(d, t);
        }
    }
    return d;
}

uint32_t
rt_count_requests(const RtCore *c)
{
    return g_hash_table_size(c->requests);
}

static json_t *
dump_targets(const RtCore *c)
{
    json_t *targets = json_array();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->targets);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Target *t = p;
        json_array_append_new(
            targets,
            json_pack("{s:s, s:i, s:i, s:i, s:i}", "name", t->name, "waiting",
                      (int)count_queued(t), "inflight", (int)t->inflight,
                      "load_ms", (int)t->load_ms, "run_ms", (int)t->run_ms));
    }
    return targets;
}

char *
rt_dump(const RtCore *c)
{
    json_t *doc = json_pack("{s:i, s:o, s:o, s:b}", "requests",
                            (int)g_hash_table_size(c->requests), "upstreams",
                            up_dump(c->ups), "targets", dump_targets(c),
                            "draining", c->draining);
    char *text = json_dumps(doc, JSON_SORT_KEYS | JSON_COMPACT);
    json_decref(doc);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}
