#include "router_upstreams.h"

#include <jansson.h>
#include <string.h>
#include <xxhash.h>

#define SHARE_FULL 16u /* traffic share; slow start begins at 1 */
#define BOUND_NUM 5    /* affinity up to 5/4 of the mean load */
#define BOUND_DEN 4
#define DEPARTED_KEEP_MS (3600u * 1000)

struct Up {
    char *id;
    char *deployment;
    char *data_centre;
    char *address;
    bool leaving;       /* never reset for this id and address */
    bool gone;          /* no longer in the VM list */
    bool replaced;      /* its id has a new address; no longer in the set */
    GHashTable *loaded; /* models ready on it */
    uint32_t inflight;  /* calls of this router; keep the object alive */
    bool exclusive;     /* runs a call that excludes others */
    uint32_t others_inflight; /* calls of others at the last report */
    uint64_t reported_ms;
    uint32_t failures; /* consecutive */
    bool ejected;      /* until a probe succeeds */
    uint64_t next_probe_ms;
    uint32_t share; /* of SHARE_FULL */
    uint64_t next_share_ms;
};

struct UpSet {
    UpParams params;
    UpProbe probe;
    void *ctx;
    BgRandom rng;
    GHashTable *ups;               /* id -> Up */
    GHashTable *ups_by_model;      /* model -> GPtrArray of Up */
    GHashTable *ups_by_deployment; /* name -> GPtrArray of Up */
    GHashTable *newest_epochs;     /* data centre -> uint64_t newest epoch */
    /* "id address" of upstreams that are leaving or left -> time.  A stale
       list may still name the old address after the id got a new one. */
    GHashTable *departed;
};

/* ---- creation and destruction ------------------------------------------- */

static void
free_up(Up *u)
{
    g_free(u->id);
    g_free(u->deployment);
    g_free(u->data_centre);
    g_free(u->address);
    g_hash_table_destroy(u->loaded);
    g_free(u);
}

static void
free_up_value(gpointer p)
{
    free_up(p);
}

static void
free_list(gpointer p)
{
    g_ptr_array_free(p, TRUE);
}

UpSet *
up_create(const UpParams *params, UpProbe probe, void *ctx)
{
    UpSet *s = g_new0(UpSet, 1);
    s->params = *params;
    s->params.data_centre = g_strdup(params->data_centre);
    s->probe = probe;
    s->ctx = ctx;
    bg_seed_random(&s->rng, params->seed);
    s->ups =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_up_value);
    s->ups_by_model =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_list);
    s->ups_by_deployment =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_list);
    s->newest_epochs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s->departed =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return s;
}

void
up_destroy(UpSet *s)
{
    if (!s) {
        return;
    }
    g_hash_table_destroy(s->ups_by_model);
    g_hash_table_destroy(s->ups_by_deployment);
    g_hash_table_destroy(s->ups);
    g_hash_table_destroy(s->newest_epochs);
    g_hash_table_destroy(s->departed);
    g_free((char *)s->params.data_centre);
    g_free(s);
}

/* ---- indexes ------------------------------------------------------------ */

static void
add_to_index(GHashTable *index, const char *name, Up *u)
{
    GPtrArray *list = g_hash_table_lookup(index, name);
    if (!list) {
        list = g_ptr_array_new();
        g_hash_table_insert(index, g_strdup(name), list);
    }
    g_ptr_array_add(list, u);
}

static void
remove_from_index(GHashTable *index, const char *name, Up *u)
{
    GPtrArray *list = g_hash_table_lookup(index, name);
    if (list && g_ptr_array_remove_fast(list, u) && list->len == 0) {
        g_hash_table_remove(index, name);
    }
}

static void
clear_loaded(UpSet *s, Up *u)
{
    GHashTableIter it;
    gpointer name;
    g_hash_table_iter_init(&it, u->loaded);
    while (g_hash_table_iter_next(&it, &name, NULL)) {
        remove_from_index(s->ups_by_model, name, u);
    }
    g_hash_table_remove_all(u->loaded);
}

static void
add_loaded(UpSet *s, Up *u, const char *model)
{
    if (g_hash_table_add(u->loaded, g_strdup(model))) {
        add_to_index(s->ups_by_model, model, u);
    }
}

void
up_forget_model(UpSet *s, Up *u, const char *model)
{
    if (g_hash_table_remove(u->loaded, model)) {
        remove_from_index(s->ups_by_model, model, u);
    }
}

/* ---- leaving ------------------------------------------------------------ */

static char *
make_departed_key(const char *id, const char *address)
{
    return g_strconcat(id, " ", address, NULL);
}

static bool
has_departed(const UpSet *s, const char *id, const char *address)
{
    g_autofree char *key = make_departed_key(id, address);
    return g_hash_table_contains(s->departed, key);
}

static void
add_departed(UpSet *s, const char *id, const char *address, uint64_t now_ms)
{
    uint64_t *when = g_new(uint64_t, 1);
    *when = now_ms;
    g_hash_table_replace(s->departed, make_departed_key(id, address), when);
}

void
up_mark_leaving(UpSet *s, Up *u, uint64_t now_ms)
{
    u->leaving = true;
    add_departed(s, u->id, u->address, now_ms);
}

void
up_on_leaving(UpSet *s, uint64_t now_ms, const char *upstream,
              const char *address)
{
    Up *u = g_hash_table_lookup(s->ups, upstream);
    add_departed(s, upstream, address, now_ms);
    if (u && strcmp(u->address, address) == 0) {
        u->leaving = true;
    }
}

static gboolean
is_departure_expired(gpointer key, gpointer value, gpointer ctx)
{
    (void)key;
    return *(uint64_t *)value + DEPARTED_KEEP_MS < *(uint64_t *)ctx;
}

/* ---- residency messages of the owners ----------------------------------- */

static Up *
add_up(UpSet *s, const Bg__UpstreamState *state)
{
    Up *u = g_new0(Up, 1);
    u->id = g_strdup(state->upstream);
    u->deployment = g_strdup(state->deployment);
    u->data_centre = g_strdup(state->data_centre);
    u->address = g_strdup(state->address);
    u->share = SHARE_FULL;
    u->loaded = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    u->leaving = has_departed(s, u->id, u->address);
    g_hash_table_insert(s->ups, u->id, u);
    add_to_index(s->ups_by_deployment, u->deployment, u);
    return u;
}

/* Takes U out of the set; calls in flight keep the object alive. */
static void
replace_up(UpSet *s, Up *u, uint64_t now_ms)
{
    up_mark_leaving(s, u, now_ms);
    clear_loaded(s, u);
    remove_from_index(s->ups_by_deployment, u->deployment, u);
    g_hash_table_steal(s->ups, u->id);
    u->replaced = true;
    if (u->inflight == 0) {
        free_up(u);
    }
}

/* An id with a new address is a new upstream: the state of the old one does
   not apply to it. */
static Up *
get_up(UpSet *s, uint64_t now_ms, const Bg__UpstreamState *state, bool current)
{
    Up *u = g_hash_table_lookup(s->ups, state->upstream);
    if (u && strcmp(u->address, state->address) != 0) {
        /* Only the newest owner may change an address, and never back to one
           that the upstream has left. */
        if (!current || has_departed(s, state->upstream, state->address)) {
            return NULL;
        }
        replace_up(s, u, now_ms);
        u = NULL;
    }
    return u ? u : add_up(s, state);
}

static void
apply_state(UpSet *s, uint64_t now_ms, const Bg__UpstreamState *state,
            bool current)
{
    /* Leaving is final: the first report counts, whoever sent it, also for an
       address that the id does not have yet, and a stale list does not undo
       it. */
    if (state->leaving) {
        add_departed(s, state->upstream, state->address, now_ms);
    }
    Up *u = get_up(s, now_ms, state, current);
    if (!u) {
        return;
    }
    u->leaving = u->leaving || state->leaving;
    u->gone = state->gone;
    if (!state->known || !current) {
        return;
    }
    u->reported_ms = now_ms;
    u->others_inflight = state->reported_inflight > u->inflight
                             ? state->reported_inflight - u->inflight
                             : 0;
    clear_loaded(s, u);
    for (size_t i = 0; i < state->n_residents; i++) {
        if (!state->residents[i]->loading) {
            add_loaded(s, u, state->residents[i]->model);
        }
    }
}

void
up_on_residency(UpSet *s, uint64_t now_ms, const Bg__Residency *r)
{
    uint64_t *newest = g_hash_table_lookup(s->newest_epochs, r->data_centre);
    if (!newest) {
        newest = g_new0(uint64_t, 1);
        g_hash_table_insert(s->newest_epochs, g_strdup(r->data_centre),
                            newest);
    }
    /* A former owner may still send messages; its lists are stale. */
    bool current = r->epoch >= *newest;
    *newest = MAX(*newest, r->epoch);
    for (size_t i = 0; i < r->n_upstreams; i++) {
        apply_state(s, now_ms, r->upstreams[i], current);
    }
}

/* ---- ejection, probes, slow start --------------------------------------- */

static void
note_failure(UpSet *s, Up *u, uint64_t now_ms)
{
    u->failures++;
    if (u->failures >= s->params.eject_failures && !u->ejected) {
        u->ejected = true;
        u->next_probe_ms = now_ms + s->params.eject_ms;
        bg_count("router_ejections_total", 1);
    }
}

/* The traffic share of an upstream that recovered doubles step by step, as a
   burst of queued requests could overload it again. */
void
up_on_probe(UpSet *s, uint64_t now_ms, const char *upstream,
            const char *address, bool healthy)
{
    Up *u = g_hash_table_lookup(s->ups, upstream);
    if (!u || !u->ejected || strcmp(u->address, address) != 0 || !healthy) {
        return;
    }
    u->ejected = false;
    u->failures = 0;
    u->share = 1;
    u->next_share_ms = now_ms + s->params.return_ms;
    bg_count("router_returns_total", 1);
}

static void
step_share(const UpSet *s, Up *u, uint64_t now_ms)
{
    while (u->share < SHARE_FULL && now_ms >= u->next_share_ms) {
        u->share *= 2;
        u->next_share_ms += s->params.return_ms;
    }
}

void
up_on_tick(UpSet *s, uint64_t now_ms)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, s->ups);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        Up *u = p;
        step_share(s, u, now_ms);
        if (u->ejected && !u->gone && !u->leaving &&
            now_ms >= u->next_probe_ms) {
            u->next_probe_ms = now_ms + s->params.eject_ms;
            s->probe(s->ctx, u->id, u->address);
        }
    }
    g_hash_table_foreach_remove(s->departed, is_departure_expired, &now_ms);
}

/* ---- calls -------------------------------------------------------------- */

void
up_start(Up *u, bool exclusive)
{
    u->inflight++;
    u->exclusive = exclusive;
}

void
up_finish(UpSet *s, Up *u, uint64_t now_ms, UpOutcome outcome)
{
    u->inflight--;
    u->exclusive = false;
    if (u->replaced) {
        if (u->inflight == 0) {
            free_up(u);
        }
        return;
    }
    if (outcome == UP_OUTCOME_GOOD) {
        u->failures = 0;
    }
    else if (outcome == UP_OUTCOME_FAILED) {
        note_failure(s, u, now_ms);
    }
}

/* ---- choice ------------------------------------------------------------- */

static bool
can_serve(const Up *u, const UpQuery *q)
{
    if (u->gone || u->leaving || strcmp(u->deployment, q->deployment) != 0) {
        return false;
    }
    return !q->base || g_hash_table_contains(u->loaded, q->base);
}

static bool
is_free(const UpSet *s, const Up *u, const UpQuery *q)
{
    return can_serve(u, q) && !u->ejected && !u->exclusive &&
           (!q->exclusive || u->inflight == 0) &&
           u->inflight < s->params.per_upstream &&
           !(q->avoided &&
             g_ptr_array_find_with_equal_func((GPtrArray *)q->avoided, u->id,
                                              g_str_equal, NULL));
}

/* In thousandths of a call.  The reported calls of others count less the
   older the report is, as calls end and new ones begin. */
static uint64_t
get_load(const Up *u, uint64_t now_ms)
{
    uint64_t age_ms = now_ms - u->reported_ms;
    uint64_t left_ms = age_ms < UP_REPORT_MS ? UP_REPORT_MS - age_ms : 0;
    return (uint64_t)u->inflight * 1000 +
           (uint64_t)u->others_inflight * 1000 * left_ms / UP_REPORT_MS;
}

/* 5/4 of the mean load with one more call, rounded up, so that at least one
   upstream is always below it.  UNIT is one call. */
static uint64_t
get_bound(uint64_t total, guint count, uint64_t unit)
{
    uint64_t parts = (uint64_t)count * BOUND_DEN * unit;
    return ((total + unit) * BOUND_NUM + parts - 1) / parts * unit;
}

/* The bound is also applied to this router's own calls: the load caused by
   others is known late, and routers that all see a free upstream would
   overload it together. */
static Up *
pick_by_affinity(const GPtrArray *list, uint64_t now_ms, uint64_t affinity)
{
    uint64_t total = 0;
    uint64_t own = 0;
    for (guint i = 0; i < list->len; i++) {
        total += get_load(list->pdata[i], now_ms);
        own += ((Up *)list->pdata[i])->inflight;
    }
    uint64_t bound = get_bound(total, list->len, 1000);
    uint64_t own_bound = get_bound(own, list->len, 1);
    Up *best = NULL;
    uint64_t best_score = 0;
    for (guint i = 0; i < list->len; i++) {
        Up *u = list->pdata[i];
        uint64_t score = XXH64(u->id, strlen(u->id), affinity);
        if (get_load(u, now_ms) < bound && u->inflight < own_bound &&
            (!best || score > best_score)) {
            best = u;
            best_score = score;
        }
    }
    return best;
}

static Up *
pick_of_two(UpSet *s, const GPtrArray *list, uint64_t now_ms)
{
    Up *a = list->pdata[bg_pick_random(&s->rng, list->len)];
    Up *b = list->pdata[bg_pick_random(&s->rng, list->len)];
    return get_load(b, now_ms) < get_load(a, now_ms) ? b : a;
}

static Up *
pick(UpSet *s, const GPtrArray *list, uint64_t now_ms, uint64_t affinity)
{
    if (list->len == 0) {
        return NULL;
    }
    Up *u = affinity ? pick_by_affinity(list, now_ms, affinity) : NULL;
    return u ? u : pick_of_two(s, list, now_ms);
}

static const GPtrArray *
list_candidates(const UpSet *s, const UpQuery *q)
{
    return q->model ? g_hash_table_lookup(s->ups_by_model, q->model)
                    : g_hash_table_lookup(s->ups_by_deployment, q->deployment);
}

Up *
up_choose(UpSet *s, uint64_t now_ms, const UpQuery *q)
{
    const GPtrArray *all = list_candidates(s, q);
    g_autoptr(GPtrArray) local = g_ptr_array_new();
    g_autoptr(GPtrArray) remote = g_ptr_array_new();
    g_autoptr(GPtrArray) returning = g_ptr_array_new();
    for (guint i = 0; all && i < all->len; i++) {
        Up *u = all->pdata[i];
        if (!is_free(s, u, q)) {
            continue;
        }
        bool here = strcmp(u->data_centre, s->params.data_centre) == 0;
        bool now = u->share >= SHARE_FULL ||
                   bg_pick_random(&s->rng, SHARE_FULL) < u->share;
        g_ptr_array_add(!now ? returning : here ? local : remote, u);
    }
    Up *u = pick(s, local, now_ms, q->affinity);
    if (!u) {
        u = pick(s, remote, now_ms, q->affinity);
    }
    return u ? u : pick(s, returning, now_ms, q->affinity);
}

uint32_t
up_count_slots(const UpSet *s, const UpQuery *q)
{
    const GPtrArray *all = list_candidates(s, q);
    uint32_t slots = 0;
    for (guint i = 0; all && i < all->len; i++) {
        if (can_serve(all->pdata[i], q)) {
            slots += s->params.per_upstream;
        }
    }
    return slots;
}

/* ---- state -------------------------------------------------------------- */

bool
up_is_leaving(const UpSet *s, const char *upstream)
{
    const Up *u = g_hash_table_lookup(s->ups, upstream);
    return !u || u->leaving || u->gone;
}

const char *
up_get_id(const Up *u)
{
    return u->id;
}

const char *
up_get_address(const Up *u)
{
    return u->address;
}

json_t *
up_dump(const UpSet *s)
{
    json_t *list = json_array();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, s->ups);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Up *u = p;
        json_array_append_new(
            list,
            json_pack("{s:s, s:s, s:s, s:b, s:b, s:b, s:i, s:i, s:i, s:i}",
                      "id", u->id, "data_centre", u->data_centre, "address",
                      u->address, "leaving", u->leaving, "gone", u->gone,
                      "ejected", u->ejected, "share", (int)u->share,
                      "inflight", (int)u->inflight, "others",
                      (int)u->others_inflight, "loaded",
                      (int)g_hash_table_size(u->loaded)));
    }
    return list;
}
