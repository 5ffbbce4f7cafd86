#include "gateway_request_internal.h"

/* A request is counted as slow after this part of its route's objective_ms
   without a first byte, or of its gap_ms without a next event. */
#define SLOW_FIRST_BYTE 0.6
#define SLOW_PAUSE 0.8

/* ---- demand ------------------------------------------------------------- */

/* A demand under construction. */
typedef struct {
    uint64_t now_ms;
    DmDemand *demand;
    GHashTable *models; /* model or "model/adapter", or one of these with a
                           blank and a version -> DmModelDemand */
    GHashTable *uses; /* "upstream model" or "upstream model/adapter" -> DmUse
                       */
} Collection;

static DmModelDemand *
find_demand(Collection *c, const char *model, const char *adapter)
{
    g_autofree char *key = dep_make_key(model, adapter);
    DmModelDemand *w = g_hash_table_lookup(c->models, key);
    if (!w) {
        w = dm_add_model_demand(c->demand, model, adapter);
        g_hash_table_insert(c->models, g_steal_pointer(&key), w);
    }
    return w;
}

static DmUse *
find_use(Collection *c, const Req *q)
{
    g_autofree char *name = dep_make_key(q->query.model, q->query.adapter);
    g_autofree char *key = g_strconcat(ut_get_id(q->ut), " ", name, NULL);
    DmUse *u = g_hash_table_lookup(c->uses, key);
    if (!u) {
        u = dm_add_use(c->demand, ut_get_id(q->ut), q->query.model,
                       q->query.adapter);
        g_hash_table_insert(c->uses, g_steal_pointer(&key), u);
    }
    return u;
}

/* Whether the answer is about to miss an objective of its route. */
static bool
is_slow(const Req *q, uint64_t now_ms)
{
    const DepRoute *r = q->route;
    if (!q->first_ms) {
        return r->objective_ms && bg_get_age_ms(now_ms, q->sent_ms) >
                                      r->objective_ms * SLOW_FIRST_BYTE;
    }
    uint64_t since_ms = MAX(q->last_event_ms, q->first_ms);
    uint64_t pause_ms = MAX(bg_get_age_ms(now_ms, since_ms), q->last_gap_ms);
    return r->gap_ms && pause_ms > r->gap_ms * SLOW_PAUSE;
}

/* Q waits for its model, or adapter, on upstreams of its version. */
static void
collect_version_wait(Collection *c, const Req *q)
{
    g_autofree char *name =
        dep_make_key(q->query.model, q->lacks_model ? NULL : q->query.adapter);
    g_autofree char *key = g_strconcat(name, " ", q->query.version, NULL);
    DmModelDemand *w = g_hash_table_lookup(c->models, key);
    if (!w) {
        w = dm_add_model_demand(c->demand, q->query.model,
                                q->lacks_model ? NULL : q->query.adapter);
        w->version = g_strdup(q->query.version);
        g_hash_table_insert(c->models, g_steal_pointer(&key), w);
    }
    w->waiting++;
}

static void
collect_request(Collection *c, const Req *q)
{
    DmModelDemand *w = find_demand(c, q->query.model, NULL);
    DmModelDemand *a = q->query.adapter
                           ? find_demand(c, q->query.model, q->query.adapter)
                           : NULL;
    if (q->ut) {
        DmUse *u = find_use(c, q);
        w->running++;
        u->running++;
        /* What this gateway alone doesn't hear says nothing of the queue
           there. */
        bool heard = !(q->hc && ht_is_cut_off(q->hc));
        u->queued += heard && q->first_ms == 0;
        u->slow += heard && is_slow(q, c->now_ms);
        return;
    }
    if (q->turn) {
        return; /* what it waits for is no replica */
    }
    if (q->lacks_version) {
        collect_version_wait(c, q);
        return;
    }
    (a ? a : w)->waiting++;
    w->waiting += a && q->lacks_model;
}

/* Moves COUNTS, keyed by model or "model/adapter", to the field at OFFSET of
   each DmModelDemand. */
static void
collect_counts(Collection *c, GHashTable *counts, size_t offset)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, counts);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        g_auto(GStrv) words = g_strsplit(k, "/", 2);
        DmModelDemand *w = find_demand(c, words[0], words[1]);
        G_STRUCT_MEMBER(uint32_t, w, offset) = GPOINTER_TO_UINT(v);
    }
    g_hash_table_remove_all(counts);
}

DmDemand *
gw_collect_demand(Gw *g)
{
    Collection c = {
        bg_boot_ms(), dm_create_demand(true),
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL)};
    for (GList *l = g->reqs.head; l; l = l->next) {
        const Req *q = l->data;
        if (q->query.model) {
            collect_request(&c, q);
        }
    }
    collect_counts(&c, g->arrived, offsetof(DmModelDemand, arrived));
    collect_counts(&c, g->arrived_tight_deadline,
                   offsetof(DmModelDemand, tight_deadline));
    collect_counts(&c, g->refused_busy, offsetof(DmModelDemand, refused));
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, g->begun_answers);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        dm_add_answer_starts(c.demand, k, GPOINTER_TO_UINT(v));
    }
    g_hash_table_remove_all(g->begun_answers);
    g_hash_table_destroy(c.models);
    g_hash_table_destroy(c.uses);
    return c.demand;
}

static void
print_latency(GString *out, const char *name, const Hist *h)
{
    static const uint32_t permilles[] = {500, 950, 990};
    g_string_append_printf(out, "# TYPE bglade_%s_seconds summary\n", name);
    for (size_t i = 0; i < G_N_ELEMENTS(permilles); i++) {
        g_string_append_printf(
            out, "bglade_%s_seconds{quantile=\"%.2f\"} %.6f\n", name,
            permilles[i] / 1000., hist_quantile(h, permilles[i]) / 1e6);
    }
    g_string_append_printf(out, "bglade_%s_seconds_count %llu\n", name,
                           (unsigned long long)hist_count(h));
}

void
gw_print_metrics(const Gw *g, GString *out)
{
    print_latency(out, "gateway_answer", g->answer_us);
    print_latency(out, "gateway_first_byte", g->first_byte_us);
}

uint32_t
gw_count(const Gw *g)
{
    return g->reqs.length;
}

uint32_t
gw_count_waiting(const Gw *g)
{
    uint32_t n = 0;
    for (GList *l = g->reqs.head; l; l = l->next) {
        n += ((Req *)l->data)->state == REQ_WAITING;
    }
    return n;
}
