#include "gateway_node.h"

/* A whole request is held as it came, as it is sent, and once more while it
   grows. */
#define COPIES_OF_BODY 3
/* Without max_body_bytes a body may take this part of what clients may. */
#define UNLIMITED_BODY_SHARE 4
/* Parts of the usable descriptors: callers; each other listener; detours for
   other gateways, of two descriptors each; links of other gateways.  What
   remains is for upstreams. */
#define FRONT_SHARE 3
#define SIDE_SHARE 16
#define DETOURS_SHARE 16
/* Of a leader: all gateways link to it until they have relays. */
#define LINKS_SHARE 4
#define LOG_MS 1000 /* at most one line in this time */

/* One whole request passes in any case, within three quarters of the
   machine's memory. */
static uint64_t
get_limit_bytes(const Gateway *g)
{
    double memory_mb = ini_get_number(g->settings, "machine", "memory_mb");
    uint64_t share_bytes = cl_get_share_bytes(memory_mb);
    uint64_t body_bytes = g->config ? g->config->max_body_bytes : 0;
    uint64_t least_bytes = body_bytes * COPIES_OF_BODY;
    return MAX(share_bytes, MIN(least_bytes, share_bytes / 2 * 3));
}

static uint32_t
get_usable_fds(const Gateway *g)
{
    return cl_get_usable_fds(
        ini_get_number(g->settings, "machine", "max_fds"));
}

uint32_t
gn_get_max_detours(const Gateway *g)
{
    uint32_t most = (uint32_t)ini_get_int(g->settings, "detours", "most");
    return MIN(most, get_usable_fds(g) / DETOURS_SHARE);
}

static void
set_max_connections(Gateway *g)
{
    uint32_t usable = get_usable_fds(g);
    lk_set_max_peers(g->links, usable / LINKS_SHARE);
    ht_set_max_connections(g->front, usable / FRONT_SHARE);
    ht_set_max_connections(g->ready, usable / SIDE_SHARE);
    if (g->control) {
        ht_set_max_connections(g->control, usable / SIDE_SHARE);
    }
}

void
gn_set_client_limits(Gateway *g)
{
    set_max_connections(g);
    cm_set_limit(g->client_memory, get_limit_bytes(g));
    const DepConfig *c = g->config;
    if (!c) {
        return;
    }
    uint64_t unlimited_bytes = get_limit_bytes(g) / UNLIMITED_BODY_SHARE;
    uint32_t body_bytes = c->max_body_bytes
                              ? c->max_body_bytes
                              : (uint32_t)MIN(unlimited_bytes, UINT32_MAX);
    HtLimits limits = {c->max_header_bytes, body_bytes, c->header_timeout_ms,
                       c->idle_timeout_ms};
    ht_set_limits(g->front, &limits);
}

void
gn_create_client_limits(Gateway *g)
{
    g->client_memory = cm_create(get_limit_bytes(g));
    ht_set_memory(g->front, g->client_memory);
    ht_set_memory(g->ready, g->client_memory);
    if (g->control) {
        ht_set_memory(g->control, g->client_memory);
    }
    ht_set_pool_memory(g->pool, g->client_memory);
    gn_set_client_limits(g);
}

static uint64_t
count_evicted(const Gateway *g)
{
    return ht_count_evicted(g->front) + ht_count_evicted(g->ready) +
           (g->control ? ht_count_evicted(g->control) : 0);
}

/* What clients were closed or refused for, since the last line. */
static void
log_yielded(Gateway *g)
{
    uint64_t shed = cm_count_picked(g->client_memory);
    uint64_t evicted = count_evicted(g);
    if (shed == g->clients_shed && evicted == g->clients_evicted) {
        return;
    }
    JlLine *l = jl_begin("clients-yielded");
    jl_number(l, "for_memory", (int64_t)(shed - g->clients_shed));
    jl_number(l, "for_connections", (int64_t)(evicted - g->clients_evicted));
    jl_number(l, "held_bytes", (int64_t)cm_get_sum(g->client_memory));
    jl_number(l, "limit_bytes", (int64_t)cm_get_limit(g->client_memory));
    jl_number(l, "connections", ht_count_connections(g->front));
    jl_end(l);
    g->clients_shed = shed;
    g->clients_evicted = evicted;
}

static void
trim_memory(Gateway *g)
{
    uint64_t peak_bytes = cm_take_peak(g->client_memory);
    cl_trim(&g->clients_trim, peak_bytes, cm_get_sum(g->client_memory));
}

void
gn_tick_clients(Gateway *g, uint64_t now_ms)
{
    bg_gauge("gateway_client_bytes", cm_get_sum(g->client_memory));
    if (now_ms >= g->clients_log_ms + LOG_MS) {
        g->clients_log_ms = now_ms;
        log_yielded(g);
        trim_memory(g);
    }
}
