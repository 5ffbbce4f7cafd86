/* A process that starts while the store is unreachable asks the gateways whose
   control addresses its settings list (the seeds) where it may link to.  Over
   the link it gets the configuration and the upstreams.  Until it has them
   from there or from the store it refuses all requests (503). */
#include "gateway_node.h"

#define STORE_TIMEOUT_MS 400 /* at the start, before a seed is asked */
#define SEED_INTERVAL_MS 300
#define SEED_CALL_TIMEOUT_MS 500

static void
on_introduction(void *ctx, const HtReply *reply)
{
    Gateway *g = ctx;
    if (!ae_is_whole(reply->end) || reply->status != 200 || g->uplink.leader) {
        return; /* the next seed is asked, or the leader is known already */
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
        gn_set_leader(g, i->link);
    }
    gwp__introduction__free_unpacked(i, NULL);
}

void
gn_tick_start(Gateway *g, uint64_t now_ms)
{
    if (g->next_seed_ms == 0) {
        g->next_seed_ms = now_ms + STORE_TIMEOUT_MS;
    }
    bool done = g->config && gn_knows_upstreams(g);
    if (done || g->uplink.leader || now_ms < g->next_seed_ms) {
        return;
    }
    g->next_seed_ms = now_ms + SEED_INTERVAL_MS;
    g_auto(GStrv) seeds = g_strsplit(gn_get_text(g, "seeds"), ",", -1);
    guint count = g_strv_length(seeds);
    if (count == 0) {
        return;
    }
    const char *seed = g_strstrip(seeds[g->next_seed++ % count]);
    if (g_strcmp0(seed, gn_get_text(g, "control")) != 0) {
        HtFetch get = {.address = seed,
                       .method = "GET",
                       .target = "/introduction",
                       .may_end = ae_is_never_whole,
                       .total_ms = SEED_CALL_TIMEOUT_MS};
        ht_fetch(g->pool, &get, on_introduction, g);
    }
}

/* Names the VM that we are linked to, or this gateway, which sends what it
   knows over its own links. */
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
