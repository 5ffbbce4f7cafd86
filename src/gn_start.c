/* A process that starts while the store is away takes the configuration and
   the upstreams from another gateway, through the control addresses that its
   settings name; without them it refuses everything (503) until the store is
   back.  What the store says later goes before it: newer configurations as
   ever, and the store's list of upstreams replaces this one. */
#include "gn.h"

#include "../platform/pf_wire.h"

#include <string.h>

#define PATIENCE_MS 400 /* with the store, before another gateway is asked */
#define SEED_PAUSE_MS 300
#define SEED_CALL_MS 500

static void
take_config(Gateway *g, const ProtobufCBinaryData *data)
{
    g_autoptr(GError) err = NULL;
    DepConfig *c = pf_decode_config(data->data, data->len, &err);
    if (!c || (g->config && c->version <= g->config->version)) {
        dep_unref_config(c);
        return;
    }
    g_autoptr(GBytes) written = g_bytes_new(data->data, data->len);
    gn_use_config(g, c, written);
}

static void
take_snapshot(Gateway *g, const Gwp__Snapshot *s)
{
    if (s->config.len > 0) {
        take_config(g, &s->config);
    }
    for (size_t i = 0; i < s->n_upstreams; i++) {
        const Gwp__Entry *e = s->upstreams[i];
        g_autoptr(GBytes) value = g_bytes_new(e->value.data, e->value.len);
        StRecord r = {e->upstream, value, 0};
        gn_take_upstream(g, bg_boot_ms(), &r);
    }
    g->has_snapshot = g->has_snapshot || g->config;
    if (*s->placer_link && !ls_get_holder_address(g->lease)) {
        lk_set_target(g->links, s->placer_link);
    }
    JlLine *l = jl_begin("snapshot-taken");
    jl_number(l, "version", g->config ? (int64_t)g->config->version : 0);
    jl_number(l, "upstreams", (int64_t)s->n_upstreams);
    jl_end(l);
}

static void
on_snapshot(void *ctx, const HtReply *reply)
{
    Gateway *g = ctx;
    if (reply->end != HT_DONE || reply->status != 200 ||
        st_is_listed(g->upstream_watch)) {
        return; /* the next seed is asked, or the store was faster */
    }
    Gwp__Snapshot *s =
        gwp__snapshot__unpack(NULL, reply->body->len, reply->body->data);
    if (s) {
        take_snapshot(g, s);
        gwp__snapshot__free_unpacked(s, NULL);
    }
}

void
gn_tick_start(Gateway *g, uint64_t now_ms)
{
    if (g->next_seed_ms == 0) {
        g->next_seed_ms = now_ms + PATIENCE_MS;
    }
    bool done =
        g->config && (g->has_snapshot || st_is_listed(g->upstream_watch));
    if (done || now_ms < g->next_seed_ms) {
        return;
    }
    g->next_seed_ms = now_ms + SEED_PAUSE_MS;
    g_auto(GStrv) seeds = g_strsplit(gn_get_text(g, "seeds"), ",", -1);
    guint count = g_strv_length(seeds);
    if (count == 0) {
        return;
    }
    const char *seed = g_strstrip(seeds[g->next_seed++ % count]);
    if (g_strcmp0(seed, gn_get_text(g, "control")) != 0) {
        ht_fetch(g->pool, seed, "GET", "/snapshot", NULL, NULL, 0,
                 SEED_CALL_MS, on_snapshot, g);
    }
}

static void
fill_entries(const Gateway *g, Gwp__Snapshot *s, GPtrArray *entries)
{
    GHashTableIter it;
    gpointer id;
    gpointer value;
    g_hash_table_iter_init(&it, g->entries);
    while (g_hash_table_iter_next(&it, &id, &value)) {
        Gwp__Entry *e = g_new0(Gwp__Entry, 1);
        gwp__entry__init(e);
        gsize len;
        e->upstream = id;
        e->value.data = (uint8_t *)g_bytes_get_data(value, &len);
        e->value.len = len;
        g_ptr_array_add(entries, e);
    }
    s->n_upstreams = entries->len;
    s->upstreams = (Gwp__Entry **)entries->pdata;
}

void
gn_answer_snapshot(Gateway *g, HtExchange *x)
{
    if (!g->config_bytes) {
        ht_start_answer(x, 503, "", 0);
        ht_end_answer(x);
        return;
    }
    g_autoptr(GPtrArray) entries = g_ptr_array_new_with_free_func(g_free);
    Gwp__Snapshot s = GWP__SNAPSHOT__INIT;
    gsize len;
    s.config.data = (uint8_t *)g_bytes_get_data(g->config_bytes, &len);
    s.config.len = len;
    fill_entries(g, &s, entries);
    const char *link =
        g->placing ? gn_get_text(g, "link") : ls_get_holder_address(g->lease);
    s.placer_link = (char *)(link ? link : "");
    size_t size = gwp__snapshot__get_packed_size(&s);
    g_autofree uint8_t *bytes = g_malloc(size + 1);
    gwp__snapshot__pack(&s, bytes);
    ht_start_answer(x, 200, "", (int64_t)size);
    ht_write_answer(x, (const char *)bytes, size);
    ht_end_answer(x);
}
