#include "store_reads.h"

#include "store.h"

/* A process that lost its link waits this long for updates over a new one
   before it reads the store; the jitter spreads the reads of many. */
#define STORE_DELAY_MS 400
#define STORE_DELAY_JITTER_MS 300
/* The same at the start; shorter, as requests are refused meanwhile. */
#define START_DELAY_MS 150
#define START_DELAY_JITTER_MS 150
/* A newer configuration that the leader reported must arrive within this time,
   or we read the store. */
#define BEHIND_MS 250
/* Longest pause after failed calls of a gateway that hears the leader.  It
   grows with the number of gateways, so that all of them together call the
   store about as often as one that hears nobody. */
#define MAX_BACKOFF_MS 6000
#define BACKOFF_PER_GATEWAY_MS 30
/* A relay has read the store, and published what it found, by then. */
#define RELAY_READ_MS 1000

struct Sr {
    BgRandom rng;
    uint64_t start_ms;
    uint64_t lost_ms;   /* the link was lost, or the process started */
    uint32_t delay_ms;  /* after lost_ms, until the store is read */
    uint64_t behind_ms; /* a newer configuration is known since; 0: none */
    uint64_t unversioned_ms; /* some upstreams lack their version since; 0:
                                none does */
};

Sr *
sr_create(uint64_t now_ms, uint64_t seed)
{
    Sr *s = g_new0(Sr, 1);
    bg_seed_random(&s->rng, seed);
    s->start_ms = now_ms;
    s->lost_ms = now_ms;
    s->delay_ms =
        START_DELAY_MS + bg_pick_random(&s->rng, START_DELAY_JITTER_MS);
    return s;
}

void
sr_destroy(Sr *s)
{
    g_free(s);
}

void
sr_on_link_lost(Sr *s, uint64_t now_ms)
{
    s->lost_ms = now_ms;
    s->delay_ms =
        STORE_DELAY_MS + bg_pick_random(&s->rng, STORE_DELAY_JITTER_MS);
}

bool
sr_on_config_version(Sr *s, uint64_t now_ms, bool lacks)
{
    if (!lacks) {
        s->behind_ms = 0;
        return false;
    }
    if (s->behind_ms == 0) {
        s->behind_ms = now_ms;
        return false;
    }
    bool slow = now_ms > s->behind_ms + SR_SLOW_CALL_MS;
    s->behind_ms = slow ? now_ms : s->behind_ms;
    return slow;
}

bool
sr_is_behind(const Sr *s)
{
    return s->behind_ms != 0;
}

/* Linked to the leader itself. */
static bool
is_direct(const SrView *v)
{
    return v->hears_leader && !v->has_relay;
}

/* Changes in the store reach us over our link. */
static bool
gets_updates(const SrView *v)
{
    return v->hears_leader ? v->informed : v->has_relay && v->relay_serves;
}

/* Gateways of a release that knows no versions publish upstreams without.
   A relay reads them, and publishes them to its members. */
static bool
must_read_versions(Sr *s, uint64_t now_ms, const SrView *v)
{
    if (!v->lacks_versions) {
        s->unversioned_ms = 0;
        return false;
    }
    s->unversioned_ms = s->unversioned_ms ? s->unversioned_ms : now_ms;
    return is_direct(v) || now_ms >= s->unversioned_ms + RELAY_READ_MS;
}

/* The first gateway that reaches the store publishes to all that hear the
   leader, so they need not all retry often against a failing store. */
static uint32_t
get_max_backoff_ms(const SrView *v)
{
    uint32_t max_ms = v->fleet * BACKOFF_PER_GATEWAY_MS;
    return v->hears_leader && !v->is_leader
               ? CLAMP(max_ms, ST_MAX_BACKOFF_MS, MAX_BACKOFF_MS)
               : ST_MAX_BACKOFF_MS;
}

SrPlan
sr_plan(Sr *s, uint64_t now_ms, const SrView *v)
{
    bool updated = gets_updates(v);
    bool direct = is_direct(v);
    bool isolated = !updated && now_ms >= s->lost_ms + s->delay_ms;
    bool behind = s->behind_ms && now_ms > s->behind_ms + BEHIND_MS;
    /* Still missing after this time: the gateway that we link to has them
       neither. */
    bool overdue =
        v->lacks_state && now_ms >= s->start_ms + SR_START_TIMEOUT_MS;
    bool held_open = direct && updated && v->leader_reads_config &&
                     !v->is_leader && !behind;
    bool unversioned = must_read_versions(s, now_ms, v);
    bool waits = !v->hears_leader && v->has_waiting;
    return (SrPlan){
        .reads_config =
            v->is_leader || direct || isolated || behind || overdue,
        .reads_upstreams = v->is_leader || isolated || overdue ||
                           unversioned ||
                           (direct && !v->leader_reads_upstreams),
        .config_wait_ms =
            held_open ? SR_LINKED_CONFIG_WAIT_MS : SR_CONFIG_WAIT_MS,
        .upstreams_pause_ms = v->is_leader ? SR_LEADER_UPSTREAM_PAUSE_MS
                              : waits      ? SR_WAITING_UPSTREAM_PAUSE_MS
                                           : SR_UPSTREAM_PAUSE_MS,
        .max_backoff_ms = get_max_backoff_ms(v),
    };
}
