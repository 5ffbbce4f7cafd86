#include "gateway_request_internal.h"

#include <string.h>
#include <xxhash.h>

/* Subtracted from the caller's deadline: its clock started before ours, and
   the answer still has to reach it. */
#define DEADLINE_MARGIN_MS 80
/* If neither the caller nor the route sets one. */
#define DEFAULT_TIMEOUT_MS 60000
/* An upstream counts as silent after SILENT_FACTOR times its usual time to
   first byte, but not before the minimum for the kind of route, nor, for a
   stream, before SILENT_OBJECTIVE of its objective_ms.  Only requests that may
   be repeated are then sent elsewhere. */
#define SILENT_FACTOR 4
#define SILENT_MIN_PLAIN_MS 120
#define SILENT_MIN_STREAM_MS 700
#define SILENT_OBJECTIVE 0.8
/* An upstream that tells nothing of its process by then has ended, or is out
   of reach for all. */
#define ASK_END_MS 150
/* ... of an answer whose end tells nothing: it has all but that end. */
#define CONFIRM_END_MS 1000
/* Pause within a stream after which it is resumed elsewhere, as a multiple of
   the route's gap_ms, or SILENT_GAP_MS if the route has none. */
#define SILENT_GAPS 2
#define SILENT_GAP_MS 1000
/* A silent upstream that still answers others is busy.  A request moves from
   it only to one whose load plus BUSY_SWITCH_FEWER_REQUESTS is below
   BUSY_SWITCH_LOAD_RATIO of the load of the busy one. */
#define BUSY_SWITCH_LOAD_RATIO 0.5
#define BUSY_SWITCH_FEWER_REQUESTS 2
/* From one that answers nobody, the request moves unless the other has at
   least this many requests more. */
#define DEAD_SWITCH_MORE_REQUESTS 4
/* After its start a process gets the first configuration within this time,
   unless the store is unreachable.  Requests that come earlier wait for it:
   other gateways may be starting as well, and callers retry only once or
   twice. */
#define FIRST_CONFIG_TIMEOUT_MS 1000

/* ---- arrival ------------------------------------------------------------ */

/* TEXT with its NUL, so that two texts can't be cut elsewhere. */
static uint64_t
digest_text(uint64_t digest, const char *text)
{
    const char *t = text ? text : "";
    return XXH64(t, strlen(t) + 1, digest);
}

/* The caller is part of it: one can't get another's requests stopped by
   sending the same bytes. */
static uint64_t
digest_request(const HtExchange *x, const DepWorkspace *workspace)
{
    const HtHead *head = ht_get_head(x);
    const GByteArray *body = ht_get_body(x);
    uint64_t d = digest_text(0, ht_find_header(head, "Host"));
    d = digest_text(d, workspace ? workspace->name : NULL);
    d = digest_text(d, head->method);
    d = digest_text(d, head->target);
    return XXH64(body->data, body->len, d);
}

static bool
has_part(const SpKeys *keys, uint64_t part)
{
    for (uint32_t i = 0; i < keys->part_count; i++) {
        if (keys->parts[i] == part) {
            return true;
        }
    }
    return false;
}

/* The workspace is part of each key: one can't get another's prompts stopped.
   The last part of a prompt is left out, as no other request has it. */
static void
list_parts(Req *q)
{
    const GArray *parts = q->call.parts;
    SpKeys *keys = &q->keys;
    uint64_t owner = digest_text(0, q->workspace ? q->workspace->name : NULL);
    owner = digest_text(owner, q->service);
    for (guint i = 0; parts && i + 1 < parts->len; i++) {
        uint64_t id = g_array_index(parts, DepPart, i).id;
        uint64_t part = XXH64(&id, sizeof(id), owner);
        if (keys->part_count < SP_MAX_PARTS && !has_part(keys, part)) {
            keys->parts[keys->part_count++] = part;
        }
    }
}

/* Answers a request that has no Req yet.  TEXT: the body. */
static void
refuse_unadmitted(HtExchange *x, uint16_t status, uint32_t retry_ms,
                  const char *text)
{
    g_autoptr(GString) head = g_string_new(NULL);
    if (*text) {
        gw_append_line(head, "Content-Type", "text/plain");
    }
    gw_append_retry(head, retry_ms);
    ht_start_answer(x, status, head->str, (int64_t)strlen(text));
    ht_write_answer(x, text, strlen(text));
    ht_end_answer(x);
}

static void
set_deadlines(Req *q)
{
    uint32_t left_ms = q->route->timeout_ms;
    if (q->call.deadline_ms) {
        uint32_t d = q->call.deadline_ms > DEADLINE_MARGIN_MS
                         ? q->call.deadline_ms - DEADLINE_MARGIN_MS
                         : 1;
        left_ms = left_ms ? MIN(left_ms, d) : d;
    }
    q->answer_by_ms = q->arrival_ms + (left_ms ? left_ms : DEFAULT_TIMEOUT_MS);
    q->first_byte_by_ms = q->answer_by_ms;
    if (q->route->event_timeout_ms) {
        q->first_byte_by_ms =
            MIN(q->answer_by_ms, q->arrival_ms + q->route->event_timeout_ms -
                                     DEADLINE_MARGIN_MS);
    }
}

static void
fill_query(Req *q)
{
    q->query.service = q->service;
    q->query.draw = (uint32_t)bg_pick_random(&q->gw->rng, 100);
    q->query.tried = q->tried;
    q->query.prompt_tokens = q->call.prompt_tokens;
    if (!q->route->by_model || !q->call.model) {
        return;
    }
    q->query.model = q->call.model;
    q->query.adapter = q->call.adapter;
    const GArray *parts = q->call.parts;
    if (parts && parts->len > 1) {
        /* The last part is not shared with other requests. */
        q->query.affinity =
            g_array_index(parts, DepPart, parts->len - 2).digest;
        for (guint i = 0; i + 1 < parts->len; i++) {
            q->query.shared_tokens += g_array_index(parts, DepPart, i).tokens;
        }
    }
}

static void
note_arrival(Req *q)
{
    if (!q->query.model) {
        return;
    }
    g_autofree char *key = dep_make_key(q->query.model, q->query.adapter);
    gw_add_count(q->gw->arrived, key);
    const DepService *s = g_hash_table_lookup(q->config->services, q->service);
    const DepModel *m =
        s ? g_hash_table_lookup(s->models, q->query.model) : NULL;
    if (m && q->route->objective_ms < (m->disk_ms ? m->disk_ms : m->load_ms)) {
        gw_add_count(q->gw->arrived_tight_deadline, key);
    }
}

/* A stream that is taken up goes to the service that began it. */
static uint64_t
draw_service(Req *q)
{
    const char *attempt =
        q->call.takes_up ? q->call.resumes : q->call.attempt_id;
    return q->route->resumable && attempt ? vp_draw(attempt)
                                          : bg_next_random(&q->gw->rng);
}

static Req *
create_req(Gw *g, HtExchange *x, const DepRoute *route,
           const DepWorkspace *workspace, const DepKey *key)
{
    Req *q = g_new0(Req, 1);
    q->gw = g;
    q->x = x;
    q->config = dep_ref_config(g->config);
    q->route = route;
    q->workspace = workspace;
    q->key = *key;
    q->tried = g_ptr_array_new();
    q->head = g_string_new(NULL);
    q->arrival_ms = ht_get_arrival_ms(x);
    g->wire->read_call(ht_get_head(x), &q->call);
    q->position = po_create(q->call.resume_after);
    q->service = dep_pick_service(route, draw_service(q));
    q->keys.request = digest_request(x, workspace);
    list_parts(q);
    set_deadlines(q);
    fill_query(q);
    g_queue_push_tail(&g->reqs, q);
    q->link = g->reqs.tail;
    ht_set_user(x, q);
    return q;
}

static void
log_key(const Gw *g, const HtHead *head, const DepKey *key, const char *why)
{
    char fingerprint[DEP_FINGERPRINT_LEN + 1] = "";
    if (key) {
        dep_print_fingerprint(key, fingerprint);
    }
    JlLine *l = jl_begin("key-refused");
    jl_text(l, "id", ht_find_header(head, g->wire->attempt_id));
    jl_text(l, "key", key ? fingerprint : NULL);
    jl_text(l, "why", why);
    jl_number(l, "version", (int64_t)g->config->version);
    jl_end(l);
    bg_count("gateway_keys_refused_total", 1);
}

/* The workspace of the caller's key, which is written to *KEY.  NULL: the
   request was answered. */
static const DepWorkspace *
admit_key(Gw *g, HtExchange *x, DepKey *key)
{
    const HtHead *head = ht_get_head(x);
    const char *text = g->wire->read_key(head);
    if (!text) {
        log_key(g, head, NULL, "no key, or more than one");
        refuse_unadmitted(x, 401, 0, "one key is needed\n");
        return NULL;
    }
    *key = dep_digest_key(text);
    const DepWorkspace *w = dep_find_workspace(g->config, key);
    if (g->stale) {
        log_key(g, head, key, "configuration may be out of date");
        refuse_unadmitted(x, 503, RETRY_LATER_MS, "keys can't be checked\n");
        return NULL;
    }
    if (!w && g->behind) {
        /* The newer configuration may contain the key. */
        log_key(g, head, key, "unknown; a newer configuration exists");
        refuse_unadmitted(x, 503, RETRY_SOON_MS, "keys can't be checked\n");
        return NULL;
    }
    if (!w) {
        log_key(g, head, key, "unknown");
        refuse_unadmitted(x, 401, 0, "unknown key\n");
    }
    return w;
}

static double
get_cost(const Req *q)
{
    if (!q->workspace->counts_tokens) {
        return 1;
    }
    double tokens = (double)q->call.prompt_tokens + q->call.output_tokens;
    return tokens > 0 ? tokens : q->workspace->plain_tokens;
}

static void
log_limit(const Req *q, double cost, const WlRefusal *why)
{
    JlLine *l = jl_begin("limit-refused");
    jl_text(l, "id", q->call.attempt_id);
    jl_text(l, "workspace", q->workspace->name);
    jl_number(l, "cost", (int64_t)cost);
    jl_number(l, "level", (int64_t)why->level);
    jl_number(l, "asked", (int64_t)why->asked);
    jl_number(l, "let_in_percent", (int64_t)(why->let_in * 100));
    jl_text(l, "counts", why->counts);
    jl_number(l, "told_ms_ago", why->told_ms_ago);
    jl_number(l, "version", (int64_t)q->config->version);
    jl_end(l);
}

static bool
take_limit(Req *q, uint32_t *retry_ms)
{
    double cost = get_cost(q);
    WlRefusal why;
    if (!wl_take(q->gw->limits, bg_boot_ms(), q->workspace, cost, &why)) {
        *retry_ms = why.retry_ms;
        log_limit(q, cost, &why);
        return false;
    }
    q->cost = cost;
    return true;
}

static void
refuse_unready(const Gw *g, HtExchange *x)
{
    JlLine *l = jl_begin("request-unready");
    jl_text(l, "id", ht_find_header(ht_get_head(x), g->wire->attempt_id));
    jl_text(l, "why", g->closed ? "the gateway stops" : "no configuration");
    jl_number(l, "waited_ms", (int64_t)(bg_boot_ms() - ht_get_arrival_ms(x)));
    jl_end(l);
    bg_count("gateway_unready_total", 1);
    refuse_unadmitted(x, 503, g->closed ? RETRY_STOPPING_MS : RETRY_SOON_MS,
                      "not ready\n");
}

static void
admit(Gw *g, HtExchange *x)
{
    const HtHead *head = ht_get_head(x);
    const char *host = ht_find_header(head, "Host");
    g_autofree char *path =
        g_strndup(head->target, strcspn(head->target, "?"));
    const DepRoute *route =
        host ? dep_find_route(g->config, host, path) : NULL;
    if (!route) {
        JlLine *l = jl_begin("request-no-route");
        jl_text(l, "id", ht_find_header(head, g->wire->attempt_id));
        jl_text(l, "host", host);
        jl_text(l, "path", path);
        jl_number(l, "version", (int64_t)g->config->version);
        jl_end(l);
        refuse_unadmitted(x, 404, 0, "no such route\n");
        return;
    }
    const DepWorkspace *workspace = NULL;
    DepKey key = {0};
    if (g->config->requires_keys && !route->is_public) {
        workspace = admit_key(g, x, &key);
        if (!workspace) {
            return;
        }
    }
    Req *q = create_req(g, x, route, workspace, &key);
    rb_on_request(g->budget, bg_boot_ms(), q->service);
    uint32_t retry_ms;
    if (workspace && !take_limit(q, &retry_ms)) {
        gw_answer(q, 429, retry_ms, "over the workspace's limit");
        return;
    }
    uint32_t stopped_ms;
    if (sp_get_verdict(g->suspects, bg_boot_ms(), &q->keys, &stopped_ms) ==
        SP_STOPPED) {
        gw_stop(q, stopped_ms); /* no model is loaded for it */
        return;
    }
    note_arrival(q);
    gw_try_send(q);
}

/* Without the suspects it serves all the same once it had the time to get
   them. */
static bool
may_admit(const Gw *g, uint64_t now_ms)
{
    return g->config && !g->closed &&
           (g->suspects_known ||
            now_ms >= g->start_ms + FIRST_CONFIG_TIMEOUT_MS);
}

void
gw_on_request(Gw *g, HtExchange *x)
{
    uint64_t now_ms = bg_boot_ms();
    if (may_admit(g, now_ms)) {
        admit(g, x);
    }
    else if (g->closed || now_ms >= g->start_ms + FIRST_CONFIG_TIMEOUT_MS) {
        refuse_unready(g, x);
    }
    else {
        g_queue_push_tail(&g->early, x);
    }
}

/* Refuses early requests that waited too long; all when the process stops. */
static void
refuse_early(Gw *g, uint64_t now_ms)
{
    HtExchange *x;
    while ((x = g_queue_peek_head(&g->early)) &&
           (g->closed || now_ms >= ht_get_arrival_ms(x) + START_MAX_WAIT_MS)) {
        g_queue_pop_head(&g->early);
        if (g->config && !g->closed) {
            admit(g, x);
        }
        else {
            refuse_unready(g, x);
        }
    }
}

void
gw_admit_early(Gw *g)
{
    HtExchange *x;
    while (may_admit(g, bg_boot_ms()) && (x = g_queue_pop_head(&g->early))) {
        admit(g, x);
    }
}

void
gw_set_suspects_known(Gw *g)
{
    if (!g->suspects_known) {
        g->suspects_known = true;
        gw_admit_early(g);
    }
}

void
gw_on_gone(Gw *g, HtExchange *x)
{
    Req *q = ht_get_user(x);
    if (!q) {
        g_queue_remove(&g->early, x);
        return;
    }
    gw_log_end(q, "caller-gone", 0,
               q->state == REQ_WAITING ? q->waiting_for : "");
    if (q->state == REQ_WAITING && q->runs == 0) {
        gw_refund_limit(q);
    }
    gw_cancel_call(q, UT_OUTCOME_NEUTRAL);
    gw_free_req(q);
}

void
gw_on_shed(Gw *g, HtExchange *x)
{
    static const char why[] = "too much is held for all clients";
    Req *q = ht_get_user(x);
    if (!q) {
        g_queue_remove(&g->early, x);
        refuse_unadmitted(x, 503, RETRY_LATER_MS, "too many wait\n");
        return;
    }
    q->runs += q->held_rest || (q->hc && ht_was_sent(q->hc));
    gw_give_up(q, RETRY_LATER_MS, why);
}

void
gw_on_drained(Gw *g, HtExchange *x)
{
    (void)g;
    Req *q = ht_get_user(x);
    if (q && q->paused && q->hc) {
        q->paused = false;
        q->last_data_ms = bg_boot_ms();
        ht_resume_call(q->hc);
    }
}

/* ---- time --------------------------------------------------------------- */

static bool
has_better_upstream(const Req *q, uint64_t now_ms)
{
    Ut *other = NULL;
    g_ptr_array_add(q->tried, q->ut);
    UtChoice a = ut_choose(q->gw->upstreams, now_ms, &q->query, &other);
    g_ptr_array_set_size(q->tried, (gint)q->tried->len - 1);
    if (a != UT_FOUND) {
        return false;
    }
    /* One that answers others is busy, not dead: moving the request loses its
       place in the queue there, which pays only if the other has far less
       load. */
    bool lives = ut_is_alive(q->ut, now_ms);
    double here = ut_get_load(q->ut, now_ms);
    double there = ut_get_load(other, now_ms);
    return lives ? there + BUSY_SWITCH_FEWER_REQUESTS <
                       here * BUSY_SWITCH_LOAD_RATIO
                 : there < here + DEAD_SWITCH_MORE_REQUESTS;
}

static bool
is_silent(const Req *q, uint64_t now_ms)
{
    if (!q->hc || q->paused || !gw_may_repeat(q) ||
        q->runs + 1 >= q->route->attempts) {
        return false;
    }
    bool stream = q->route->kind == DEP_STREAM;
    if (q->first_ms && stream && q->forwards_events) {
        uint64_t silent_ms = q->route->gap_ms
                                 ? (uint64_t)q->route->gap_ms * SILENT_GAPS
                                 : SILENT_GAP_MS;
        return bg_get_age_ms(now_ms, q->last_data_ms) > silent_ms &&
               has_better_upstream(q, now_ms);
    }
    uint32_t usual = ut_get_usual_ms(q->gw->upstreams, q->ut, &q->query);
    uint64_t silent_ms =
        MAX((uint64_t)usual * SILENT_FACTOR,
            stream ? SILENT_MIN_STREAM_MS : SILENT_MIN_PLAIN_MS);
    if (stream) {
        silent_ms = MAX(silent_ms, q->route->objective_ms * SILENT_OBJECTIVE);
    }
    return bg_get_age_ms(now_ms, q->sent_ms) > silent_ms &&
           has_better_upstream(q, now_ms);
}

static void
end_at_deadline(Req *q)
{
    if (q->unconfirmed) {
        gw_cancel_call(q, UT_OUTCOME_NEUTRAL);
    }
    else if (q->state == REQ_SENT) {
        bool held = q->held_rest != NULL; /* a whole answer */
        bool sent = q->broke || held || (q->hc && ht_was_sent(q->hc));
        q->runs += held || (q->hc && sent);
        gw_cancel_call(q, sent ? UT_OUTCOME_FAILED : UT_OUTCOME_UNREACHABLE);
    }
    gw_give_up(q, RETRY_SOON_MS, "deadline");
}

/* Nothing was heard of its upstream's process in time. */
static bool
is_process_unheard(const Req *q, uint64_t now_ms)
{
    uint32_t wait_ms = q->unconfirmed ? CONFIRM_END_MS : ASK_END_MS;
    return q->asks_since_ms && now_ms >= q->asks_since_ms + wait_ms;
}

static void
check_request(Req *q, uint64_t now_ms)
{
    if (now_ms >= q->answer_by_ms) {
        end_at_deadline(q);
    }
    else if (is_process_unheard(q, now_ms)) {
        gw_on_process_known(q, q->unconfirmed ? GW_PROCESS_UNKNOWN
                                              : GW_PROCESS_ENDED);
    }
    else if (gw_waits_for_rest(q)) {
        return; /* gw_try_rested follows */
    }
    else if (q->state == REQ_WAITING) {
        gw_try_send(q);
    }
    else if (is_silent(q, now_ms) &&
             rb_take(q->gw->budget, now_ms, q->service)) {
        q->retry_counted = true;
        ht_cancel_call(q->hc);
        q->hc = NULL;
        ht_drop_idle(q->gw->pool, ut_get_address(q->ut));
        gw_handle_failure(q, UT_OUTCOME_SILENT, "silent");
    }
}

/* check_request may free its own request, but no other. */
void
gw_on_tick(Gw *g, uint64_t now_ms)
{
    refuse_early(g, now_ms);
    GList *next;
    for (GList *l = g->reqs.head; l; l = next) {
        next = l->next;
        check_request(l->data, now_ms);
    }
    gw_try_rested(g);
}

void
gw_stop_accepting(Gw *g)
{
    g->closed = true;
}

void
gw_close(Gw *g)
{
    g->closed = true;
    refuse_early(g, bg_boot_ms());
    Req *q;
    while ((q = g_queue_peek_head(&g->reqs))) {
        q->runs += q->held_rest || (q->hc && ht_was_sent(q->hc));
        gw_give_up(q, RETRY_SOON_MS, "the gateway stops");
    }
}

void
gw_on_change(Gw *g)
{
    GList *next;
    for (GList *l = g->reqs.head; l; l = next) {
        next = l->next;
        Req *q = l->data;
        if (q->state == REQ_WAITING) {
            gw_try_send(q);
        }
    }
}

/* ---- reports from other processes --------------------------------------- */

void
gw_on_leader(Gw *g, uint64_t now_ms, uint32_t guard_ms)
{
    g->leader_ms = now_ms;
    g->first_order_ms = now_ms + guard_ms;
}

void
gw_on_wait_estimate(Gw *g, uint64_t now_ms, const char *model,
                    uint32_t wait_ms)
{
    WaitEstimate *w = g_new0(WaitEstimate, 1);
    w->reported_ms = now_ms;
    w->wait_ms = wait_ms;
    g_hash_table_replace(g->wait_estimates, g_strdup(model), w);
}

void
gw_on_slot(Gw *g, uint64_t now_ms, UlTicket ticket, bool granted,
           uint32_t wait_ms)
{
    if (ul_on_slot(g->upstream_limits, now_ms, ticket, granted, wait_ms)) {
        g->out.slot_over(g->out.ctx, ticket, NULL, UR_UNUSED);
    }
    for (GList *l = g->reqs.head; l; l = l->next) {
        Req *q = l->data;
        if (q->ticket == ticket) {
            gw_try_send(q); /* it may free Q */
            return;
        }
    }
}

/* 0: Q has no call at a brittle upstream, or not at UPSTREAM. */
static UlTicket
get_room_ticket(Req *q, const char *upstream)
{
    Ul *limits = q->gw->upstream_limits;
    const char *at = q->ut ? ut_get_id(q->ut) : NULL;
    if (!at || (upstream && strcmp(at, upstream) != 0) ||
        ul_get_rejects(limits, at) == 0) {
        return 0;
    }
    if (!q->room_ticket) {
        q->room_ticket = ul_make_ticket(limits);
    }
    return q->room_ticket;
}

void
gw_report_slots(Gw *g, const char *upstream)
{
    uint64_t now_ms = bg_boot_ms();
    for (GList *l = g->reqs.head; l; l = l->next) {
        Req *q = l->data;
        UlTicket ticket = get_room_ticket(q, upstream);
        if (ticket) {
            g->out.slot_held(g->out.ctx, ticket, ut_get_id(q->ut),
                             gw_get_hold_ms(q, now_ms));
        }
    }
}

void
gw_on_turn(Gw *g, SpTurn turn)
{
    for (GList *l = g->reqs.head; l; l = l->next) {
        Req *q = l->data;
        if (q->turn == turn && q->state == REQ_WAITING) {
            gw_try_send(q); /* it may free Q */
            return;
        }
    }
}

void
gw_on_note(Gw *g, uint64_t key, const char *version)
{
    if (version) {
        SnNote note = {.key = key,
                       .version = version,
                       .left_ms = vp_get_life_ms(g->versions)};
        sn_add(g->notes, bg_boot_ms(), &note);
    }
    GList *next;
    for (GList *l = g->reqs.head; l; l = next) {
        next = l->next;
        Req *q = l->data;
        if (q->state == REQ_WAITING && q->note_wait_ms && !q->version &&
            gw_get_stream_key(q) == key) {
            q->note_missing = !version;
            gw_try_send(q);
        }
    }
}

void
gw_note_streams(Gw *g)
{
    for (GList *l = g->reqs.head; l; l = l->next) {
        gw_note_stream(l->data);
    }
}

/* Of Q's upstream, whose process was asked for at ASKED_MS.  May free Q. */
static void
check_end(Req *q, uint64_t asked_ms, uint64_t born_ms)
{
    const Gw *g = q->gw;
    if (asked_ms < q->asks_since_ms) {
        gw_ask_birth(q); /* the answer may be from before the end */
        return;
    }
    bool unheard = born_ms == 0;
    bool same = born_ms == ut_get_entry(q->ut)->born_ms;
    if (unheard && g->out.is_isolated(g->out.ctx)) {
        /* It is the paths that are gone. */
        gw_on_process_known(q, GW_PROCESS_UNKNOWN);
        return;
    }
    gw_on_process_known(q, same ? GW_PROCESS_LIVES : GW_PROCESS_ENDED);
}

/* Whether Q's answer came from the process of its upstream.  May free Q. */
static void
check_process(Req *q, uint64_t born_ms)
{
    if (ut_is_proved(q->ut, q->opened_ms)) {
        gw_release_held(q);
    }
    else if (born_ms == 0) {
        gw_refuse_held(q, "its process isn't known");
    }
    else if (born_ms != ut_get_entry(q->ut)->born_ms) {
        gw_refuse_held(q, "another process answered");
    }
    else {
        gw_ask_process(q); /* its connection was opened later */
    }
}

void
gw_on_process(Gw *g, const char *upstream, uint64_t asked_ms, uint64_t born_ms)
{
    bg_count("gateway_processes_told_total", 1);
    Ut *known = ut_find(g->upstreams, upstream);
    if (known) {
        ut_on_process(known, asked_ms, born_ms);
    }
    GList *next;
    for (GList *l = g->reqs.head; l; l = next) {
        next = l->next;
        Req *q = l->data;
        if (!q->ut || strcmp(ut_get_id(q->ut), upstream) != 0) {
            continue;
        }
        if (q->held) {
            ut_on_process(q->ut, asked_ms, born_ms);
            check_process(q, born_ms);
        }
        else if (q->asks_since_ms) {
            ut_on_process(q->ut, asked_ms, born_ms);
            check_end(q, asked_ms, born_ms);
        }
    }
}

/* ---- the gateway -------------------------------------------------------- */

Gw *
gw_create(const GwParams *params, const GwWire *wire, const GwOutput *out,
          HtPool *pool, const GwCores *cores)
{
    Gw *g = g_new0(Gw, 1);
    g->params = *params;
    g->wire = wire;
    g->out = *out;
    g->handler = (HtCallHandler){
        NULL,           gw_on_call_head, gw_on_call_bytes, gw_on_call_event,
        gw_on_call_end, gw_may_write};
    g->pool = pool;
    g->upstreams = cores->upstreams;
    g->budget = cores->budget;
    g->limits = cores->limits;
    g->upstream_limits = cores->upstream_limits;
    g->notices = cores->notices;
    g->suspects = cores->suspects;
    g->versions = cores->versions;
    g->notes = cores->notes;
    g->leader_ms = bg_boot_ms();
    g->answer_us = hist_create();
    g->first_byte_us = hist_create();
    g->start_ms = bg_boot_ms();
    g_queue_init(&g->early);
    g_queue_init(&g->reqs);
    g->arrived = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g->arrived_tight_deadline =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g->refused_busy =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g->begun_answers =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g->wait_estimates =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    bg_seed_random(&g->rng, params->seed);
    return g;
}

void
gw_destroy(Gw *g)
{
    Req *q;
    while ((q = g_queue_peek_head(&g->reqs))) {
        ht_set_user(q->x, NULL);
        gw_cancel_call(q, UT_OUTCOME_NEUTRAL);
        gw_free_req(q);
    }
    g_queue_clear(&g->early);
    dep_unref_config(g->config);
    g_hash_table_destroy(g->arrived);
    g_hash_table_destroy(g->arrived_tight_deadline);
    g_hash_table_destroy(g->refused_busy);
    g_hash_table_destroy(g->begun_answers);
    g_hash_table_destroy(g->wait_estimates);
    hist_destroy(g->answer_us);
    hist_destroy(g->first_byte_us);
    g_free(g);
}

void
gw_on_config(Gw *g, DepConfig *c)
{
    if (!g->config) {
        g->config_ms = bg_boot_ms();
    }
    dep_unref_config(g->config);
    g->config = dep_ref_config(c);
}

void
gw_set_upstreams_complete(Gw *g, bool complete)
{
    g->upstreams_complete = complete;
}

void
gw_set_config_freshness(Gw *g, bool behind, bool stale)
{
    g->behind = behind;
    g->stale = stale;
}
