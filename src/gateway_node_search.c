/* A gateway that neither hears a leader nor reads the store asks others where
   it may link to: those that it has learnt of, and the seeds of its settings.
   One that starts while the store is unreachable gets the configuration and
   the upstreams that way; until then it refuses all requests (503).  One that
   lost the lease, or its leader, while the store turns it away learns of the
   new leader. */
#include "gateway_node.h"

#include "sockets.h"

#include <string.h>

/* At the start the store, and a link, are waited for so long. */
#define START_TIMEOUT_MS 400
/* Later: longer than a link and the store take to come back, and than another
   leader takes to be elected, where the store answers. */
#define BLIND_TIMEOUT_MS 2000
#define ASK_INTERVAL_MS 300
#define ASK_TIMEOUT_MS 500
#define MAX_KNOWN 16

void
gn_note_seeds(Gateway *g)
{
    g_auto(GStrv) seeds = g_strsplit(gn_get_text(g, "seeds"), ",", -1);
    for (char **seed = seeds; *seed; seed++) {
        gn_note_control(g, g_strstrip(*seed));
    }
}

void
gn_end_search(Gateway *g)
{
    g_queue_clear_full(&g->search.known, g_free);
}

void
gn_note_control(Gateway *g, const char *address)
{
    GQueue *known = &g->search.known;
    bool own = strcmp(address, gn_get_text(g, "control")) == 0;
    if (own || !so_is_address(address) ||
        g_queue_find_custom(known, address, (GCompareFunc)strcmp)) {
        return;
    }
    g_queue_push_head(known, g_strdup(address));
    if (g_queue_get_length(known) > MAX_KNOWN) {
        g_free(g_queue_pop_tail(known));
    }
}

/* Whether the configuration and the upstreams were ever there. */
static bool
has_started(const Gateway *g)
{
    return g->config && gn_knows_upstreams(g);
}

/* Nobody tells us of changes, nor whom to ask. */
static bool
is_blind(const Gateway *g, uint64_t now_ms)
{
    bool linked = lk_is_open(g->links) || lk_count_peers(g->links) > 0;
    if (!has_started(g)) {
        return !g->uplink.leader && now_ms >= g->start_ms + START_TIMEOUT_MS;
    }
    uint64_t age_ms = st_get_age_ms(g->upstream_watch, now_ms);
    return !linked && !g->is_leader && age_ms > BLIND_TIMEOUT_MS &&
           now_ms >= MAX(g->start_ms, g->led_ms) + BLIND_TIMEOUT_MS;
}

static void
on_introduction(void *ctx, const HtReply *reply)
{
    Gateway *g = ctx;
    if (!ae_is_whole(reply->end) || reply->status != 200 ||
        !is_blind(g, bg_boot_ms())) {
        return; /* the next is asked, or it is no longer needed */
    }
    Gwp__Introduction *i =
        gwp__introduction__unpack(NULL, reply->body->len, reply->body->data);
    if (!i) {
        bg_log(BG_WARN, "search", "an introduction can't be read");
        return;
    }
    if (*i->link && (i->led || !has_started(g))) {
        JlLine *l = jl_begin("introduced");
        jl_text(l, "link", i->link);
        jl_end(l);
        gn_set_leader(g, i->link);
    }
    gwp__introduction__free_unpacked(i, NULL);
}

/* The one that was asked longest ago. */
static void
ask_next(Gateway *g)
{
    char *address = g_queue_pop_tail(&g->search.known);
    if (!address) {
        return;
    }
    g_queue_push_head(&g->search.known, address);
    HtFetch get = {.address = address,
                   .method = "GET",
                   .target = "/introduction",
                   .may_end = ae_is_never_whole,
                   .total_ms = ASK_TIMEOUT_MS};
    ht_fetch(g->pool, &get, on_introduction, g);
}

void
gn_tick_search(Gateway *g, uint64_t now_ms)
{
    if (is_blind(g, now_ms) && now_ms >= g->search.next_ms) {
        g->search.next_ms = now_ms + ASK_INTERVAL_MS;
        ask_next(g);
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
    i.led = gn_hears_leader(g, bg_boot_ms());
    size_t size = gwp__introduction__get_packed_size(&i);
    g_autofree uint8_t *bytes = g_malloc(size + 1);
    gwp__introduction__pack(&i, bytes);
    ht_start_answer(x, 200, "", (int64_t)size);
    ht_write_answer(x, (const char *)bytes, size);
    ht_end_answer(x);
}
