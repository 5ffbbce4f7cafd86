#include "once.h"

#include "log_records.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Attempts in memory, including those whose final record was not yet seen in
   the log. */
#define MAX_ATTEMPTS 8192
/* From a call's deadline to the expiry of its claim: time to record a result
   that came just before the deadline. */
#define EXPIRY_MARGIN_MS 5000
#define RETRY_AFTER_MS 1000
#define APPEND_RETRY_MS 1000

typedef enum {
    CLAIMING, /* claim appended, its result not seen */
    HELD,     /* holds the key; no byte was sent */
    SENT,     /* bytes may have been sent */
    ENDING    /* ended; its final record was not yet seen in the fold */
} AttemptState;

typedef struct {
    uint64_t id;
    AttemptState state;
    char *workspace;
    char *key;
    char *pair; /* "workspace\nkey" */
    char *attempt_id;
    uint8_t digest[32];
    uint64_t claim_deadline_ms; /* CLAIMING: timeout */
    Bg__Record *ending;         /* ENDING: the final record */
    uint64_t append_at_ms;      /* ENDING: when it is appended (again) */
} Attempt;

struct OnceCore {
    OnceParams params;
    OnceOutput out;
    const Fold *fold;
    GHashTable *by_attempt; /* attempt id -> Attempt, owns it */
    GHashTable *by_id;      /* id -> Attempt that is not ENDING */
    GHashTable *by_pair;    /* pair -> newest Attempt of this router */
    bool log_reachable;
    bool draining;
};

/* ---- creation and destruction ------------------------------------------- */

static void
free_attempt(gpointer p)
{
    Attempt *a = p;
    g_free(a->workspace);
    g_free(a->key);
    g_free(a->pair);
    g_free(a->attempt_id);
    rec_free(a->ending);
    g_free(a);
}

OnceCore *
once_create(const OnceParams *params, const OnceOutput *out, const Fold *fold)
{
    OnceCore *c = g_new0(OnceCore, 1);
    c->params = *params;
    c->params.author = g_strdup(params->author);
    c->out = *out;
    c->fold = fold;
    c->by_attempt =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_attempt);
    c->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
    c->by_pair = g_hash_table_new(g_str_hash, g_str_equal);
    return c;
}

void
once_destroy(OnceCore *c)
{
    if (!c) {
        return;
    }
    g_hash_table_destroy(c->by_id);
    g_hash_table_destroy(c->by_pair);
    g_hash_table_destroy(c->by_attempt);
    g_free((char *)c->params.author);
    g_free(c);
}

static Attempt *
add_attempt(OnceCore *c, uint64_t now_ms, const OnceCall *call)
{
    Attempt *a = g_new0(Attempt, 1);
    a->id = call->id;
    a->state = CLAIMING;
    a->workspace = g_strdup(call->workspace);
    a->key = g_strdup(call->key);
    a->pair = g_strconcat(call->workspace, "\n", call->key, NULL);
    a->attempt_id = g_strdup(call->attempt_id);
    memcpy(a->digest, call->digest, sizeof(a->digest));
    a->claim_deadline_ms =
        MIN(now_ms + c->params.claim_wait_ms, call->deadline_ms);
    g_hash_table_insert(c->by_attempt, a->attempt_id, a);
    g_hash_table_insert(c->by_id, &a->id, a);
    g_hash_table_replace(c->by_pair, a->pair, a);
    return a;
}

static void
remove_attempt(OnceCore *c, Attempt *a)
{
    if (g_hash_table_lookup(c->by_id, &a->id) == a) {
        g_hash_table_remove(c->by_id, &a->id);
    }
    if (g_hash_table_lookup(c->by_pair, a->pair) == a) {
        g_hash_table_remove(c->by_pair, a->pair);
    }
    g_hash_table_remove(c->by_attempt, a->attempt_id);
}

/* ---- records ------------------------------------------------------------ */

static Bg__Record *
make_record(const OnceCore *c, const Attempt *a, Bg__KeyStep step,
            uint64_t wall_ms)
{
    Bg__KeyRecord *k = g_new(Bg__KeyRecord, 1);
    bg__key_record__init(k);
    k->step = step;
    k->workspace = g_strdup(a->workspace);
    k->key = g_strdup(a->key);
    k->attempt_id = g_strdup(a->attempt_id);
    k->author = g_strdup(c->params.author);
    k->wall_ms = wall_ms;
    Bg__Record *r = g_new(Bg__Record, 1);
    bg__record__init(r);
    r->body_case = BG__RECORD__BODY_KEY;
    r->key = k;
    return r;
}

static Bg__Record *
make_claim(const OnceCore *c, const Attempt *a, uint64_t wall_ms,
           uint64_t left_ms)
{
    Bg__Record *r = make_record(c, a, BG__KEY_STEP__KEY_CLAIM, wall_ms);
    r->key->request_digest.data = g_memdup2(a->digest, sizeof(a->digest));
    r->key->request_digest.len = sizeof(a->digest);
    r->key->expires_wall_ms = wall_ms + left_ms + EXPIRY_MARGIN_MS;
    return r;
}

static Bg__Record *
make_result(const OnceCore *c, const Attempt *a, uint64_t wall_ms,
            const OnceResult *result)
{
    Bg__Record *r = make_record(c, a, BG__KEY_STEP__KEY_RESULT, wall_ms);
    Bg__KeyRecord *k = r->key;
    k->status = result->status;
    k->content_type =
        g_strdup(result->content_type ? result->content_type : "text/plain");
    k->answer_dropped = result->body_len > KEYS_MAX_BODY_BYTES;
    if (!k->answer_dropped && result->body_len > 0) {
        k->body.data = g_memdup2(result->body, result->body_len);
        k->body.len = result->body_len;
    }
    return r;
}

/* Appends the final record, repeatedly until it is seen in the fold.  If it
   were lost, a call that ran would have no answer, or an unused key would not
   be released. */
static void
append_ending(OnceCore *c, Attempt *a, uint64_t now_ms)
{
    bool queued = c->out.append(c->out.ctx, rec_copy(a->ending));
    a->append_at_ms =
        now_ms + (queued ? c->params.resend_ms : APPEND_RETRY_MS);
}

static void
end_attempt(OnceCore *c, Attempt *a, uint64_t now_ms, Bg__Record *ending)
{
    a->state = ENDING;
    a->ending = ending;
    g_hash_table_remove(c->by_id, &a->id);
    append_ending(c, a, now_ms);
}

/* ---- decisions ---------------------------------------------------------- */

static void
refuse(OnceCore *c, uint64_t id, const char *reason)
{
    bg_count("once_refused_total", 1);
    OnceDecision d = {.verdict = ONCE_REFUSED,
                      .reason = reason,
                      .retry_after_ms = RETRY_AFTER_MS};
    c->out.decide(c->out.ctx, id, &d);
}

static void
decide(OnceCore *c, uint64_t id, OnceVerdict verdict)
{
    OnceDecision d = {.verdict = verdict, .retry_after_ms = RETRY_AFTER_MS};
    c->out.decide(c->out.ctx, id, &d);
}

/* Replays an answer whose record was not yet seen in the log. */
static void
replay_record(OnceCore *c, uint64_t id, const Bg__KeyRecord *k)
{
    bg_count("once_replayed_total", 1);
    OnceDecision d = {.verdict = ONCE_REPLAY,
                      .status = k->status,
                      .content_type = k->content_type,
                      .body = k->body.data,
                      .body_len = k->body.len,
                      .answer_dropped = k->answer_dropped};
    c->out.decide(c->out.ctx, id, &d);
}

static void
replay_entry(OnceCore *c, uint64_t id, const KeyEntry *k)
{
    bg_count("once_replayed_total", 1);
    OnceDecision d = {.verdict = ONCE_REPLAY,
                      .status = k->status,
                      .content_type = k->content_type,
                      .body = k->body,
                      .body_len = k->body_len,
                      .answer_dropped = k->answer_dropped};
    c->out.decide(c->out.ctx, id, &d);
}

/* Decides on a call whose key is in the fold. */
static void
decide_by_entry(OnceCore *c, uint64_t wall_ms, uint64_t id,
                const uint8_t digest[32], const KeyEntry *k)
{
    if (memcmp(k->request_digest, digest, 32) != 0) {
        decide(c, id, ONCE_MISMATCH);
    }
    else if (k->step == BG__KEY_STEP__KEY_RESULT) {
        replay_entry(c, id, k);
    }
    else if (k->step == BG__KEY_STEP__KEY_UNKNOWN) {
        decide(c, id, ONCE_MAY_HAVE_RUN);
    }
    else {
        /* A holder that died or is paused does not record an outcome.  Its
           call may have run or may still run, so it must not run again. */
        bool expired = wall_ms > k->expires_wall_ms;
        decide(c, id, expired ? ONCE_MAY_HAVE_RUN : ONCE_IN_PROGRESS);
    }
}

static bool
is_released(const Attempt *a)
{
    return a->state == ENDING &&
           a->ending->key->step == BG__KEY_STEP__KEY_RELEASE;
}

/* Decides on a call whose key an attempt of this router uses, before its
   records are seen in the log. */
static void
decide_by_attempt(OnceCore *c, const OnceCall *call, const Attempt *a)
{
    if (memcmp(a->digest, call->digest, 32) != 0) {
        decide(c, call->id, ONCE_MISMATCH);
    }
    else if (a->state != ENDING) {
        decide(c, call->id, ONCE_IN_PROGRESS);
    }
    else if (a->ending->key->step == BG__KEY_STEP__KEY_RESULT) {
        replay_record(c, call->id, a->ending->key);
    }
    else {
        decide(c, call->id, ONCE_MAY_HAVE_RUN);
    }
}

/* Decides on CALL if its key is known; false: the key is free. */
static bool
decide_if_known(OnceCore *c, uint64_t wall_ms, const OnceCall *call)
{
    g_autofree char *pair =
        g_strconcat(call->workspace, "\n", call->key, NULL);
    const Attempt *a = g_hash_table_lookup(c->by_pair, pair);
    if (a && !is_released(a)) {
        decide_by_attempt(c, call, a);
        return true;
    }
    const KeyEntry *k = fold_find_key(c->fold, call->workspace, call->key);
    if (!k || (a && strcmp(k->attempt_id, a->attempt_id) == 0)) {
        return false; /* free, or about to be released by this router */
    }
    decide_by_entry(c, wall_ms, call->id, call->digest, k);
    return true;
}

static const char *
find_refusal(const OnceCore *c)
{
    if (c->draining) {
        return "stopping";
    }
    if (!c->log_reachable) {
        return "the log cannot be reached";
    }
    if (g_hash_table_size(c->by_attempt) >= MAX_ATTEMPTS) {
        return "too many calls are open";
    }
    return NULL;
}

/* ---- events ------------------------------------------------------------- */

void
once_on_begin(OnceCore *c, uint64_t now_ms, uint64_t wall_ms,
              const OnceCall *call)
{
    if (decide_if_known(c, wall_ms, call)) {
        return;
    }
    const char *why = find_refusal(c);
    if (why || now_ms >= call->deadline_ms) {
        refuse(c, call->id, why ? why : "deadline");
        return;
    }
    Attempt *a = add_attempt(c, now_ms, call);
    bg_count("once_claims_total", 1);
    uint64_t left_ms = call->deadline_ms - now_ms;
    if (!c->out.append(c->out.ctx, make_claim(c, a, wall_ms, left_ms))) {
        remove_attempt(c, a);
        refuse(c, call->id, "the log's queue is full");
    }
}

/* The caller gets "not run" now.  If the claim still wins, nothing is sent
   for it, and the release appended here frees the key. */
static void
give_up_claim(OnceCore *c, Attempt *a, uint64_t now_ms, uint64_t wall_ms)
{
    uint64_t id = a->id;
    end_attempt(c, a, now_ms,
                make_record(c, a, BG__KEY_STEP__KEY_RELEASE, wall_ms));
    refuse(c, id, "the claim was not settled in time");
}

static void
on_claim_won(OnceCore *c, Attempt *a, uint64_t now_ms, uint64_t wall_ms)
{
    if (a->state != CLAIMING) {
        return;
    }
    if (now_ms >= a->claim_deadline_ms) {
        give_up_claim(c, a, now_ms, wall_ms);
        return;
    }
    a->state = HELD;
    decide(c, a->id, ONCE_RUN);
}

static void
on_claim_lost(OnceCore *c, Attempt *a, uint64_t wall_ms, const char *why)
{
    if (a->state != CLAIMING) {
        return; /* a duplicate of a claim that won */
    }
    uint64_t id = a->id;
    uint8_t digest[32];
    memcpy(digest, a->digest, sizeof(digest));
    const KeyEntry *k = fold_find_key(c->fold, a->workspace, a->key);
    remove_attempt(c, a);
    if (k) {
        decide_by_entry(c, wall_ms, id, digest, k);
    }
    else {
        refuse(c, id, why);
    }
}

void
once_on_record(OnceCore *c, uint64_t now_ms, uint64_t wall_ms,
               const Bg__KeyRecord *r, FoldResult result, const char *why)
{
    Attempt *a = g_hash_table_lookup(c->by_attempt, r->attempt_id);
    if (!a) {
        return;
    }
    if (r->step != BG__KEY_STEP__KEY_CLAIM) {
        if (a->state == ENDING && a->ending->key->step == r->step) {
            remove_attempt(c, a);
        }
        return;
    }
    if (result == FOLD_APPLIED) {
        on_claim_won(c, a, now_ms, wall_ms);
    }
    else {
        on_claim_lost(c, a, wall_ms, why);
    }
}

void
once_on_sent(OnceCore *c, uint64_t id)
{
    Attempt *a = g_hash_table_lookup(c->by_id, &id);
    if (a) {
        g_assert(a->state != CLAIMING);
        a->state = SENT;
    }
}

void
once_on_unsent(OnceCore *c, uint64_t id)
{
    Attempt *a = g_hash_table_lookup(c->by_id, &id);
    if (a && a->state == SENT) {
        a->state = HELD;
    }
}

void
once_on_answered(OnceCore *c, uint64_t now_ms, uint64_t wall_ms, uint64_t id,
                 const OnceResult *result)
{
    Attempt *a = g_hash_table_lookup(c->by_id, &id);
    if (a && a->state == SENT) {
        bg_count("once_runs_total", 1);
        end_attempt(c, a, now_ms, make_result(c, a, wall_ms, result));
    }
}

void
once_on_broken(OnceCore *c, uint64_t now_ms, uint64_t wall_ms, uint64_t id)
{
    Attempt *a = g_hash_table_lookup(c->by_id, &id);
    if (a) {
        bg_count("once_unknown_total", 1);
        end_attempt(c, a, now_ms,
                    make_record(c, a, BG__KEY_STEP__KEY_UNKNOWN, wall_ms));
    }
}

void
once_on_refused(OnceCore *c, uint64_t now_ms, uint64_t wall_ms, uint64_t id)
{
    Attempt *a = g_hash_table_lookup(c->by_id, &id);
    if (a) {
        /* Once bytes may have been sent, the key must not be released, even
           if the request is refused. */
        Bg__KeyStep step = a->state == SENT ? BG__KEY_STEP__KEY_UNKNOWN
                                            : BG__KEY_STEP__KEY_RELEASE;
        end_attempt(c, a, now_ms, make_record(c, a, step, wall_ms));
    }
}

void
once_on_log(OnceCore *c, bool reachable)
{
    c->log_reachable = reachable;
}

void
once_on_tick(OnceCore *c, uint64_t now_ms, uint64_t wall_ms)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->by_attempt);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Attempt *a = p;
        if (a->state == CLAIMING && now_ms >= a->claim_deadline_ms) {
            give_up_claim(c, a, now_ms, wall_ms);
        }
        else if (a->state == ENDING && now_ms >= a->append_at_ms) {
            append_ending(c, a, now_ms);
        }
    }
}

void
once_on_drain(OnceCore *c)
{
    c->draining = true;
}

/* ---- state -------------------------------------------------------------- */

uint32_t
once_count_open(const OnceCore *c)
{
    return g_hash_table_size(c->by_id);
}

char *
once_dump(const OnceCore *c)
{
    static const char *const names[] = {"claiming", "held", "sent", "ending"};
    int counts[G_N_ELEMENTS(names)] = {0};
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->by_attempt);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        counts[((Attempt *)p)->state]++;
    }
    json_t *doc = json_object();
    for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
        json_object_set_new(doc, names[i], json_integer(counts[i]));
    }
    char *text = json_dumps(doc, JSON_SORT_KEYS | JSON_COMPACT);
    json_decref(doc);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}
