#include "placer_internal.h"

#include <stdio.h>
#include <string.h>

/* ---- invariants --------------------------------------------------------- */

static void
check_load(const PlCore *c, const Load *l, GString *faults)
{
    const FoldIntent *in = pl_find_intent(c, l->at->id, l->model);
    bool ordered = l->phase != LOAD_RECORDING;
    if (ordered && !in && !l->granted && !l->found &&
        l->phase != LOAD_UNLOADING) {
        g_string_append_printf(faults, "%s on %s is %s without a record\n",
                               l->model, l->at->id, phase_names[l->phase]);
    }
    if (l->granted && !l->at->fenced) {
        g_string_append_printf(
            faults, "%s on %s: granted, but the upstream does not fence\n",
            l->model, l->at->id);
    }
    if (in && strcmp(in->load_id, l->load_id) != 0 &&
        l->phase != LOAD_RECORDING) {
        g_string_append_printf(faults,
                               "%s on %s: the record has another load id\n",
                               l->model, l->at->id);
    }
}

static void
check_upstream(const PlCore *c, const Upstream *u, GString *faults)
{
    uint32_t mb = fold_count_memory(c->fold, c->params.data_centre, u->id);
    if (u->capacity_mb && mb > u->capacity_mb) {
        g_string_append_printf(faults, "%s: %u MB recorded, capacity %u MB\n",
                               u->id, mb, u->capacity_mb);
    }
    if (u->settled_epoch > c->claim_epoch) {
        g_string_append_printf(
            faults, "%s: settled under a later epoch than the claim's\n",
            u->id);
    }
    g_autoptr(GPtrArray) list = pl_list_loads_at(u);
    for (guint i = 0; c->owner && i < list->len; i++) {
        check_load(c, list->pdata[i], faults);
    }
}

uint32_t
pl_check(const PlCore *c, GString *faults)
{
    gsize before = faults->len;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->upstreams);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        check_upstream(c, p, faults);
    }
    const FoldClaim *claim = fold_find_claim(c->fold, c->params.data_centre);
    if (c->owner && (!claim || claim->epoch < c->claim_epoch)) {
        g_string_append(faults, "owner without a claim\n");
    }
    uint32_t n = 0;
    for (gsize i = before; i < faults->len; i++) {
        n += faults->str[i] == '\n';
    }
    return n;
}
