#include "placer_internal.h"

#include "log_records.h"

#include <string.h>

/* ---- look-ups ----------------------------------------------------------- */

Upstream *
pl_get_upstream(PlCore *c, const char *id)
{
    Upstream *u = g_hash_table_lookup(c->upstreams, id);
    if (!u) {
        u = g_new0(Upstream, 1);
        u->id = g_strdup(id);
        u->deployment = g_strdup("");
        u->gone = true;
        u->gone_ms = c->now_ms;
        u->dirty = true;
        u->residents =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        u->tiers =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        u->loads =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pl_free_load);
        g_hash_table_insert(c->upstreams, u->id, u);
    }
    return u;
}

Load *
pl_find_load(const PlCore *c, const char *upstream, const char *model)
{
    Upstream *u = g_hash_table_lookup(c->upstreams, upstream);
    return u ? g_hash_table_lookup(u->loads, model) : NULL;
}

Load *
pl_add_load(Upstream *u, const char *model, LoadPhase phase, uint64_t now_ms)
{
    Load *l = g_new0(Load, 1);
    l->at = u;
    l->model = g_strdup(model);
    l->phase = phase;
    l->phase_ms = now_ms;
    l->last_used_ms = now_ms;
    g_hash_table_replace(u->loads, l->model, l);
    return l;
}

void
pl_remove_load(Load *l)
{
    l->at->dirty = true;
    g_hash_table_remove(l->at->loads, l->model);
}

void
pl_set_phase(Load *l, LoadPhase phase, uint64_t now_ms)
{
    l->phase = phase;
    l->phase_ms = now_ms;
    l->next_try_ms = now_ms;
    l->at->dirty = true;
}

Model *
pl_get_model(PlCore *c, const char *name)
{
    Model *m = g_hash_table_lookup(c->models, name);
    if (!m) {
        m = g_new0(Model, 1);
        m->name = g_strdup(name);
        m->routers =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(c->models, m->name, m);
    }
    return m;
}

GPtrArray *
pl_list_loads_at(const Upstream *u)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, u->loads);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        g_ptr_array_add(list, p);
    }
    return list;
}

GPtrArray *
pl_list_loads(const PlCore *c)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        GHashTableIter at;
        gpointer l;
        g_hash_table_iter_init(&at, ((Upstream *)p)->loads);
        while (g_hash_table_iter_next(&at, NULL, &l)) {
            g_ptr_array_add(list, l);
        }
    }
    return list;
}

const FoldIntent *
pl_find_intent(const PlCore *c, const char *upstream, const char *model)
{
    return fold_find_intent(c->fold, c->params.data_centre, upstream, model);
}

bool
pl_is_owner(const PlCore *c)
{
    return c->owner;
}

uint64_t
pl_get_order_epoch(const PlCore *c)
{
    return c->owner ? c->claim_epoch : 0;
}

bool
pl_is_active(const PlCore *c)
{
    return c->owner && !c->draining &&
           (c->log_reachable ||
            c->now_ms - c->log_changed_ms < c->params.lease_ms);
}

/* Whether U was fenced and reported under the claim in force, and so may be
   sent orders. */
bool
pl_is_settled(const PlCore *c, const Upstream *u)
{
    return u->settled_epoch == c->claim_epoch && u->settled_epoch > 0;
}

/* Off the VM list and silent for gone_ms: its VM is presumed not to exist. */
bool
pl_is_lost(const PlCore *c, const Upstream *u)
{
    return u->gone && c->now_ms - u->gone_ms > c->params.gone_ms &&
           c->now_ms - MAX(u->report_ms, c->claim_seen_ms) > c->params.gone_ms;
}

/* ---- records ------------------------------------------------------------ */

static bool
is_grantable(const Upstream *u)
{
    return u->fenced && !u->gone && !u->leaving;
}

static int
compare_id(gconstpointer a, gconstpointer b)
{
    return strcmp((*(Upstream *const *)a)->id, (*(Upstream *const *)b)->id);
}

/* Upstreams that a grant would list now, sorted by id. */
GPtrArray *
pl_list_grant_upstreams(const PlCore *c)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        if (is_grantable(p)) {
            g_ptr_array_add(list, p);
        }
    }
    g_ptr_array_sort(list, compare_id);
    return list;
}

static Bg__GrantUpstream *
make_grant_entry(const Upstream *u)
{
    Bg__GrantUpstream *name = g_new(Bg__GrantUpstream, 1);
    bg__grant_upstream__init(name);
    name->upstream = g_strdup(u->id);
    name->deployment = g_strdup(u->deployment);
    return name;
}

void
pl_append_claim(PlCore *c, uint64_t base)
{
    Bg__ClaimRecord r = BG__CLAIM_RECORD__INIT;
    r.data_centre = (char *)c->params.data_centre;
    r.holder = (char *)c->params.node;
    r.base_epoch = base;
    Bg__Record rec = BG__RECORD__INIT;
    rec.body_case = BG__RECORD__BODY_CLAIM;
    rec.claim = &r;
    Bg__Record *copy = rec_copy(&rec);
    g_autoptr(GPtrArray) list = pl_list_grant_upstreams(c);
    Bg__ClaimRecord *claim = copy->claim;
    claim->grant = g_new0(Bg__GrantUpstream *, list->len + 1);
    for (guint i = 0; i < list->len; i++) {
        claim->grant[claim->n_grant++] = make_grant_entry(list->pdata[i]);
    }
    c->out.append(c->out.ctx, copy);
}

void
pl_append_intent(PlCore *c, const Load *l, uint32_t ceiling, bool adapter)
{
    const Upstream *u = l->at;
    uint32_t unrecorded_mb = pl_count_unrecorded(c, u, l->model);
    Bg__IntentRecord r = BG__INTENT_RECORD__INIT;
    r.data_centre = (char *)c->params.data_centre;
    r.epoch = c->claim_epoch;
    r.upstream = u->id;
    r.model = l->model;
    r.memory_mb = l->memory_mb;
    r.capacity_mb =
        u->capacity_mb > unrecorded_mb ? u->capacity_mb - unrecorded_mb : 0;
    r.load_id = (char *)l->load_id;
    r.ceiling = ceiling;
    r.fenced = u->fenced;
    r.adapter = adapter;
    r.boot = l->boot;
    Bg__Record rec = BG__RECORD__INIT;
    rec.body_case = BG__RECORD__BODY_INTENT;
    rec.intent = &r;
    c->out.append(c->out.ctx, rec_copy(&rec));
}

void
pl_append_settle(PlCore *c, const char *upstream, const char *model,
                 const char *load_id, SettleOutcome outcome)
{
    Bg__SettleRecord r = BG__SETTLE_RECORD__INIT;
    r.data_centre = (char *)c->params.data_centre;
    r.epoch = c->claim_epoch;
    r.upstream = (char *)upstream;
    r.model = (char *)model;
    r.load_id = (char *)load_id;
    r.loaded = outcome == SETTLE_LOADED || outcome == SETTLE_CLOSED;
    r.closed = outcome == SETTLE_CLOSED;
    r.life_ended = outcome == SETTLE_ENDED;
    Bg__Record rec = BG__RECORD__INIT;
    rec.body_case = BG__RECORD__BODY_SETTLE;
    rec.settle = &r;
    c->out.append(c->out.ctx, rec_copy(&rec));
}

void
pl_append_clear(PlCore *c)
{
    Bg__ClearRecord r = BG__CLEAR_RECORD__INIT;
    r.data_centre = (char *)c->params.data_centre;
    r.epoch = c->claim_epoch;
    Bg__Record rec = BG__RECORD__INIT;
    rec.body_case = BG__RECORD__BODY_CLEAR;
    rec.clear = &r;
    c->out.append(c->out.ctx, rec_copy(&rec));
}

/* OPEN: "upstream\nmodel" of orders whose outcome is unknown. */
void
pl_append_quiesce(PlCore *c, uint64_t epoch, const GPtrArray *open)
{
    Bg__QuiesceRecord r = BG__QUIESCE_RECORD__INIT;
    r.data_centre = (char *)c->params.data_centre;
    r.epoch = epoch;
    r.holder = (char *)c->params.node;
    Bg__Record rec = BG__RECORD__INIT;
    rec.body_case = BG__RECORD__BODY_QUIESCE;
    rec.quiesce = &r;
    Bg__Record *copy = rec_copy(&rec);
    Bg__QuiesceRecord *q = copy->quiesce;
    q->open = g_new0(Bg__OpenOrder *, open->len + 1);
    for (guint i = 0; i < open->len; i++) {
        g_auto(GStrv) pair = g_strsplit(open->pdata[i], "\n", 2);
        Bg__OpenOrder *o = g_new(Bg__OpenOrder, 1);
        bg__open_order__init(o);
        o->upstream = g_strdup(pair[0]);
        o->model = g_strdup(pair[1]);
        q->open[q->n_open++] = o;
    }
    c->out.append(c->out.ctx, copy);
}
