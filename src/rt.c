#include "rt.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define MAX_TRIES 3
#define GHOST_WANT_MS 5000
#define MIN_RETRY_AFTER_MS 1000
#define RETRY_BUCKET_MAX 100 /* hundredths of a retry, times the share */

typedef struct Upstream Upstream;
typedef struct Target Target;

typedef struct {
    RtRequest r; /* text members are owned */
    Target *target;
    Upstream *at;     /* where it runs, or NULL while it waits */
    GPtrArray *tried; /* upstream ids, owned */
    GList *link;      /* in target->waiting */
} Request;

/* What requests wait for: a model, or a service's upstreams. */
struct Target {
    char *name;
    bool service;
    char *deployment;
    GQueue waiting; /* Request, by priority, then arrival */
    uint32_t inflight;
    uint32_t load_ms;
    uint64_t last_used_ms;
    uint64_t ghost_until_ms; /* wanted although nobody waits any more */
};

struct Upstream {
    char *id;
    char *deployment;
    char *data_centre;
    char *address;
    bool leaving;
    bool gone;
    GHashTable *loaded; /* models ready here */
    uint32_t inflight;  /* ours */
    bool alone;         /* a suspect runs here: nothing beside it */
    uint32_t reported;  /* everybody's, late */
    uint32_t failures;  /* consecutive */
    uint64_t ejected_until_ms;
};

struct RtCore {
    RtParams params;
    RtOutput out;
    BgRandom rng;
    GHashTable *requests;  /* id -> Request */
    GHashTable *targets;   /* name -> Target */
    GHashTable *upstreams; /* id -> Upstream */
    GHashTable *centres;   /* data centre -> uint64_t newest epoch */
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

/* ---- life --------------------------------------------------------------- */

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
    g_queue_clear(&t->waiting);
    g_free(t->name);
    g_free(t->deployment);
    g_free(t);
}

static void
free_upstream(gpointer p)
{
    Upstream *u = p;
    g_free(u->id);
    g_free(u->deployment);
    g_free(u->data_centre);
    g_free(u->address);
    g_hash_table_destroy(u->loaded);
    g_free(u);
}

RtCore *
rt_create(const RtParams *params, const RtOutput *out)
{
    RtCore *c = g_new0(RtCore, 1);
    c->params = *params;
    c->params.data_centre = g_strdup(params->data_centre);
    c->out = *out;
    bg_seed_random(&c->rng, params->seed);
    c->requests =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_request);
    c->targets =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_target);
    c->upstreams =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_upstream);
    c->centres =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->retry_credit = RETRY_BUCKET_MAX;
    return c;
}

void
rt_destroy(RtCore *c)
{
    if (!c) {
        return;
    }
    g_hash_table_destroy(c->targets);
    g_hash_table_destroy(c->requests);
    g_hash_table_destroy(c->upstreams);
    g_hash_table_destroy(c->centres);
    g_free((char *)c->params.data_centre);
    g_free(c);
}

/* ---- choice of an upstream ---------------------------------------------- */

static bool
was_tried(const Request *q, const Upstream *u)
{
    return g_ptr_array_find_with_equal_func(q->tried, u->id, g_str_equal,
                                            NULL);
}

/* Whatever runs beside a request that kills its upstream dies with it and
   would be taken for the cause; a suspect therefore runs alone. */
static bool
may_share(const Request *q, const Upstream *u)
{
    return !u->alone && (!q->r.suspect || u->inflight == 0);
}

static bool
can_serve(const RtCore *c, const Request *q, const Upstream *u,
          uint64_t now_ms)
{
    if (u->gone || u->leaving || u->ejected_until_ms > now_ms ||
        u->inflight >= c->params.per_upstream ||
        strcmp(u->deployment, q->r.deployment) != 0 || was_tried(q, u)) {
        return false;
    }
    return may_share(q, u) &&
           (!q->r.model || g_hash_table_contains(u->loaded, q->r.model));
}

static uint32_t
get_load(const Upstream *u)
{
    /* The report is late but counts every router's work; our own count is
       exact but only ours. */
    return MAX(u->inflight, u->reported) + u->inflight;
}

static Upstream *
pick_less_loaded(RtCore *c, GPtrArray *list)
{
    if (list->len == 0) {
        return NULL;
    }
    Upstream *a = list->pdata[bg_pick_random(&c->rng, list->len)];
    Upstream *b = list->pdata[bg_pick_random(&c->rng, list->len)];
    return get_load(b) < get_load(a) ? b : a;
}

static Upstream *
choose_upstream(RtCore *c, const Request *q, uint64_t now_ms)
{
    g_autoptr(GPtrArray) near = g_ptr_array_new();
    g_autoptr(GPtrArray) far = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Upstream *u = p;
        if (can_serve(c, q, u, now_ms)) {
            bool here = strcmp(u->data_centre, c->params.data_centre) == 0;
            g_ptr_array_add(here ? near : far, u);
        }
    }
    Upstream *u = pick_less_loaded(c, near);
    return u ? u : pick_less_loaded(c, far);
}

/* ---- queues ------------------------------------------------------------- */

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
        g_queue_init(&t->waiting);
        g_hash_table_insert(c->targets, t->name, t);
    }
    t->load_ms = r->load_ms;
    return t;
}

static void
enqueue(RtCore *c, Request *q)
{
    GQueue *w = &q->target->waiting;
    GList *at = w->tail;
    while (at && ((Request *)at->data)->r.priority < q->r.priority) {
        at = at->prev;
    }
    if (at) {
        g_queue_insert_after(w, at, q);
        q->link = at->next;
    }
    else {
        g_queue_push_head(w, q);
        q->link = w->head;
    }
    c->waiting[q->r.class_]++;
}

static void
dequeue(RtCore *c, Request *q)
{
    if (q->link) {
        g_queue_delete_link(&q->target->waiting, q->link);
        q->link = NULL;
        c->waiting[q->r.class_]--;
    }
}

static void
drop_request(RtCore *c, Request *q)
{
    dequeue(c, q);
    g_hash_table_remove(c->requests, &q->r.id);
}

static void
refuse(RtCore *c, Request *q, RtReason reason, uint64_t retry_after_ms)
{
    bg_count("router_refused_total", 1);
    c->out.refuse(c->out.ctx, q->r.id, reason,
                  MAX(retry_after_ms, MIN_RETRY_AFTER_MS));
    drop_request(c, q);
}

static void
send_to(RtCore *c, Request *q, Upstream *u)
{
    dequeue(c, q);
    q->at = u;
    u->inflight++;
    u->alone = q->r.suspect;
    q->target->inflight++;
    c->out.send(c->out.ctx, q->r.id, u->id, u->address);
}

/* Send what can be sent; the rest waits on. */
static void
pump_target(RtCore *c, Target *t, uint64_t now_ms)
{
    GList *at = t->waiting.head;
    while (at) {
        Request *q = at->data;
        GList *next = at->next;
        Upstream *u = choose_upstream(c, q, now_ms);
        if (u) {
            send_to(c, q, u);
        }
        else if (q->tried->len == 0 && !q->r.suspect) {
            break; /* the ones behind want the same and find none either */
        }
        at = next;
    }
}

static void
pump_all(RtCore *c, uint64_t now_ms)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->targets);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        pump_target(c, p, now_ms);
    }
}

/* ---- events ------------------------------------------------------------- */

/* Whether any upstream holds the model, busy or not. */
static bool
is_warm(const RtCore *c, const Request *q)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Upstream *u = p;
        if (!u->gone && !u->leaving &&
            strcmp(u->deployment, q->r.deployment) == 0 &&
            (!q->r.model || g_hash_table_contains(u->loaded, q->r.model))) {
            return true;
        }
    }
    return false;
}

static Request *
add_request(RtCore *c, const RtRequest *r)
{
    Request *q = g_new0(Request, 1);
    q->r = *r;
    q->r.model = g_strdup(r->model);
    q->r.deployment = g_strdup(r->deployment);
    q->r.base = g_strdup(r->base);
    q->r.workspace = g_strdup(r->workspace);
    q->tried = g_ptr_array_new_with_free_func(g_free);
    q->target = get_target(c, r);
    g_hash_table_insert(c->requests, &q->r.id, q);
    return q;
}

void
rt_on_arrive(RtCore *c, uint64_t now_ms, const RtRequest *r)
{
    Request *q = add_request(c, r);
    Target *t = q->target;
    t->last_used_ms = now_ms;
    c->retry_credit =
        MIN(c->retry_credit + c->params.retry_percent, RETRY_BUCKET_MAX * 100);
    /* A non-idempotent call comes here with its claim settled; it was inside
       before the stop began. */
    if (c->draining && !r->once) {
        refuse(c, q, RT_REFUSED_DRAINING, 0);
        return;
    }
    Upstream *u =
        t->waiting.length == 0 ? choose_upstream(c, q, now_ms) : NULL;
    if (u) {
        send_to(c, q, u);
        return;
    }
    if (c->waiting[r->class_] >= c->params.max_waiting) {
        refuse(c, q, RT_REFUSED_FULL, 0);
        return;
    }
    if (!is_warm(c, q) && now_ms + r->load_ms > r->deadline_ms) {
        /* The load would end too late for this caller, not for the next:
           the model stays wanted. */
        t->ghost_until_ms = now_ms + GHOST_WANT_MS;
        refuse(c, q, RT_REFUSED_DEADLINE, r->load_ms);
        return;
    }
    enqueue(c, q);
    if (((Request *)t->waiting.head->data)->r.suspect) {
        /* A suspect at the head may wait for an empty upstream; others need
           not wait behind it. */
        pump_target(c, t, now_ms);
    }
}

static void
leave_upstream(Request *q)
{
    if (q->at) {
        q->at->inflight--;
        q->at->alone = false;
        q->target->inflight--;
        g_ptr_array_add(q->tried, g_strdup(q->at->id));
        q->at = NULL;
    }
}

static void
note_failure(RtCore *c, Upstream *u, uint64_t now_ms)
{
    u->failures++;
    if (u->failures >= c->params.eject_failures) {
        u->ejected_until_ms = now_ms + c->params.eject_ms;
        u->failures = 0;
        bg_count("router_ejections_total", 1);
    }
}

/* Turned away or not sent: nothing ran, so it may go elsewhere, within the
   retry budget, which keeps a failing deployment from being hit twice as
   hard by its own retries. */
static void
try_again(RtCore *c, Request *q, uint64_t now_ms)
{
    if (q->tried->len >= MAX_TRIES || c->retry_credit < 100 ||
        now_ms >= q->r.deadline_ms) {
        refuse(c, q, RT_REFUSED_UPSTREAM, 0);
        return;
    }
    c->retry_credit -= 100;
    bg_count("router_retries_total", 1);
    enqueue(c, q);
}

void
rt_on_done(RtCore *c, uint64_t now_ms, uint64_t id, RtDone done, bool leaving)
{
    Request *q = g_hash_table_lookup(c->requests, &id);
    if (!q) {
        return;
    }
    Upstream *u = q->at;
    Target *t = q->target;
    leave_upstream(q);
    t->last_used_ms = now_ms;
    if (u && leaving) {
        u->leaving = true;
    }
    switch (done) {
    case RT_DONE_OK:
        if (u) {
            u->failures = 0;
        }
        drop_request(c, q);
        break;
    case RT_DONE_CANCELLED:
        drop_request(c, q);
        break;
    case RT_DONE_TURNED_AWAY:
        if (u && q->r.model && !leaving) {
            /* Not loaded there after all; the owner will tell when it is. */
            g_hash_table_remove(u->loaded, q->r.model);
        }
        try_again(c, q, now_ms);
        break;
    case RT_DONE_NOT_SENT:
        if (u) {
            note_failure(c, u, now_ms);
        }
        try_again(c, q, now_ms);
        break;
    case RT_DONE_BROKEN:
        if (u) {
            note_failure(c, u, now_ms);
        }
        c->out.finish(c->out.ctx, id);
        drop_request(c, q);
        break;
    }
    pump_all(c, now_ms);
}

static Upstream *
get_upstream(RtCore *c, const Bg__UpstreamState *s)
{
    Upstream *u = g_hash_table_lookup(c->upstreams, s->upstream);
    if (!u) {
        u = g_new0(Upstream, 1);
        u->id = g_strdup(s->upstream);
        u->deployment = g_strdup(s->deployment);
        u->data_centre = g_strdup(s->data_centre);
        u->address = g_strdup(s->address);
        u->loaded =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        g_hash_table_insert(c->upstreams, u->id, u);
    }
    if (strcmp(u->address, s->address) != 0) {
        g_free(u->address);
        u->address = g_strdup(s->address);
    }
    return u;
}

static void
take_state(RtCore *c, const Bg__UpstreamState *s, bool current)
{
    Upstream *u = get_upstream(c, s);
    /* Leaving is one-way: whoever says it first is believed, and a list
       that lags never brings a leaver back. */
    u->leaving = u->leaving || s->leaving;
    u->gone = s->gone;
    if (!s->known || !current) {
        return;
    }
    u->reported = s->reported_inflight;
    g_hash_table_remove_all(u->loaded);
    for (size_t i = 0; i < s->n_residents; i++) {
        if (!s->residents[i]->loading) {
            g_hash_table_add(u->loaded, g_strdup(s->residents[i]->model));
        }
    }
}

void
rt_on_residency(RtCore *c, uint64_t now_ms, const Bg__Residency *r)
{
    uint64_t *newest = g_hash_table_lookup(c->centres, r->data_centre);
    if (!newest) {
        newest = g_new0(uint64_t, 1);
        g_hash_table_insert(c->centres, g_strdup(r->data_centre), newest);
    }
    /* An owner that was succeeded may still talk; its residents are old. */
    bool current = r->epoch >= *newest;
    *newest = MAX(*newest, r->epoch);
    for (size_t i = 0; i < r->n_upstreams; i++) {
        take_state(c, r->upstreams[i], current);
    }
    pump_all(c, now_ms);
}

void
rt_on_want_refused(RtCore *c, uint64_t now_ms, const char *model,
                   uint64_t retry_after_ms)
{
    (void)now_ms;
    Target *t = g_hash_table_lookup(c->targets, model);
    while (t && t->waiting.length > 0) {
        refuse(c, t->waiting.head->data, RT_REFUSED_NO_ROOM, retry_after_ms);
    }
}

static void
refuse_late(RtCore *c, Target *t, uint64_t now_ms)
{
    GList *at = t->waiting.head;
    while (at) {
        Request *q = at->data;
        GList *next = at->next;
        if (now_ms >= q->r.deadline_ms) {
            refuse(c, q, RT_REFUSED_DEADLINE, t->load_ms);
        }
        at = next;
    }
}

void
rt_on_tick(RtCore *c, uint64_t now_ms)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->targets);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        refuse_late(c, p, now_ms);
    }
    pump_all(c, now_ms);
}

void
rt_on_drain(RtCore *c, uint64_t now_ms)
{
    (void)now_ms;
    c->draining = true;
}

void
rt_on_death(RtCore *c, uint64_t id, bool quarantined)
{
    Request *q = g_hash_table_lookup(c->requests, &id);
    if (!q || q->at) {
        return;
    }
    q->r.suspect = true;
    if (quarantined) {
        refuse(c, q, RT_REFUSED_QUARANTINE, 0);
    }
}

bool
rt_is_leaving(const RtCore *c, const char *upstream)
{
    const Upstream *u = g_hash_table_lookup(c->upstreams, upstream);
    return !u || u->leaving || u->gone;
}

/* ---- state -------------------------------------------------------------- */

static uint32_t
get_top_priority(const Target *t)
{
    return t->waiting.head ? ((Request *)t->waiting.head->data)->r.priority
                           : 0;
}

static uint64_t
get_slack(const Target *t, uint64_t now_ms)
{
    uint64_t slack_ms = UINT32_MAX;
    for (GList *at = t->waiting.head; at; at = at->next) {
        uint64_t deadline_ms = ((Request *)at->data)->r.deadline_ms;
        slack_ms =
            MIN(slack_ms, deadline_ms > now_ms ? deadline_ms - now_ms : 0);
    }
    return slack_ms;
}

static void
add_want(Bg__Demand *d, const Target *t, uint64_t now_ms)
{
    Bg__Want *w = g_new(Bg__Want, 1);
    bg__want__init(w);
    w->model = g_strdup(t->name);
    w->waiting = MAX(t->waiting.length, 1);
    w->slack_ms = get_slack(t, now_ms);
    w->priority = get_top_priority(t);
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
    guint most = g_hash_table_size(c->targets) + 1;
    d->wants = g_new0(Bg__Want *, most);
    d->usage = g_new0(Bg__Usage *, most);
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->targets);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Target *t = p;
        if (t->service) {
            continue;
        }
        if (t->waiting.length > 0 || t->ghost_until_ms > now_ms) {
            add_want(d, t, now_ms);
        }
        if (t->inflight > 0 || now_ms - t->last_used_ms < 1000) {
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

char *
rt_dump(const RtCore *c)
{
    json_t *ups = json_array();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Upstream *u = p;
        json_array_append_new(
            ups, json_pack("{s:s, s:s, s:b, s:b, s:i, s:i, s:i}", "id", u->id,
                           "data_centre", u->data_centre, "leaving",
                           u->leaving, "gone", u->gone, "inflight",
                           (int)u->inflight, "reported", (int)u->reported,
                           "loaded", (int)g_hash_table_size(u->loaded)));
    }
    json_t *targets = json_array();
    g_hash_table_iter_init(&it, c->targets);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Target *t = p;
        json_array_append_new(targets,
                              json_pack("{s:s, s:i, s:i}", "name", t->name,
                                        "waiting", (int)t->waiting.length,
                                        "inflight", (int)t->inflight));
    }
    json_t *doc = json_pack("{s:i, s:o, s:o, s:b}", "requests",
                            (int)g_hash_table_size(c->requests), "upstreams",
                            ups, "targets", targets, "draining", c->draining);
    char *text = json_dumps(doc, JSON_SORT_KEYS | JSON_COMPACT);
    json_decref(doc);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}
