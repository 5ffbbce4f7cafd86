/* A process that starts while the store is away asks the gateways whose
   control addresses its settings name where it may link to: over the link it
   is told the configuration and the upstreams.  Without them it refuses
   everything (503) until the store is back. */
#include "gn.h"

#define PATIENCE_MS 400 /* with the store, before another gateway is asked */
#define SEED_PAUSE_MS 300
#define SEED_CALL_MS 500

static void
on_introduction(void *ctx, const HtReply *reply)
{
    Gateway *g = ctx;
    if (reply->end != HT_DONE || reply->status != 200 || g->uplink.placer) {
        return; /* the next seed is asked, or the store was faster */
    }
    Gwp__Introduction *i =
        gwp__introduction__unpack(NULL, reply->body->len, reply->body->data);
    if (!i) {
        return;
    }
    JlLine *l = jl_begin("introduced");
    jl_text(l, "link", i->link);
    jl_end(l);
    if (*i->link) {
        gn_set_placer(g, i->link);
    }
    gwp__introduction__free_unpacked(i, NULL);
}

void
gn_tick_start(Gateway *g, uint64_t now_ms)
{
    if (g->next_seed_ms == 0) {
        g->next_seed_ms = now_ms + PATIENCE_MS;
    }
    bool done = g->config && gn_knows_upstreams(g);
    if (done || g->uplink.placer || now_ms < g->next_seed_ms) {
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
        ht_fetch(g->pool, seed, "GET", "/introduction", NULL, NULL, 0,
                 SEED_CALL_MS, on_introduction, g);
    }
}

/* Itself, where it knows nobody better: over its links it tells what it
   knows. */
void
gn_answer_introduction(Gateway *g, HtExchange *x)
{
    if (!g->config) {
        ht_start_answer(x, 503, "", 0);
        ht_end_answer(x);
        return;
    }
    const char *target = lk_is_open(g->links) ? lk_get_target(g->links) : NULL;
    Gwp__Introduction i = GWP__INTRODUCTION__INIT;
    i.link = (char *)(target ? target : gn_get_address(g));
    size_t size = gwp__introduction__get_packed_size(&i);
    g_autofree uint8_t *bytes = g_malloc(size + 1);
    gwp__introduction__pack(&i, bytes);
    ht_start_answer(x, 200, "", (int64_t)size);
    ht_write_answer(x, (const char *)bytes, size);
    ht_end_answer(x);
}
