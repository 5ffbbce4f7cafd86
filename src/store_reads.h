/* sr: when a gateway reads the configuration and the upstreams' entries in the
   store, and how long a read is held open.

   It depends on who publishes the store's changes to this gateway: the leader,
   a relay, or nobody.  The wait in force is decided at each tick, and a read
   that was begun with a longer one is given up (st_set_wait): a held read
   never outlives its reason, also if its request or its answer was lost.

   No threads, I/O or clock. */
#ifndef STORE_READS_H
#define STORE_READS_H

#include "base.h"

/* A read of the configuration is held open for this long or until the first
   change.  A connection that went silent is noticed after this time. */
#define SR_CONFIG_WAIT_MS 1500
/* Beside a leader that publishes changes; our own read finds those that it
   misses. */
#define SR_LINKED_CONFIG_WAIT_MS 25000
#define SR_CONFIG_PAUSE_MS 5 /* between such reads */
/* Between reads of upstream entries; well under the time in which a draining
   upstream may still get requests. */
#define SR_UPSTREAM_PAUSE_MS 500
#define SR_LEADER_UPSTREAM_PAUSE_MS 250
/* When requests wait for a model and the leader is not heard, entries are the
   only source that shows the end of a load. */
#define SR_WAITING_UPSTREAM_PAUSE_MS 200
/* A process that got no configuration or upstreams over a link by then reads
   the store. */
#define SR_START_TIMEOUT_MS 2000
/* A read that is older than this may be on a connection that went silent. */
#define SR_SLOW_CALL_MS 1000
/* Reads of the configuration are answered if one was within this time. */
#define SR_CONFIG_FRESH_MS 2000
/* Entries read from the store count as current for this long. */
#define SR_UPSTREAMS_FRESH_MS 1200

/* What a gateway knows at a tick. */
typedef struct {
    bool is_leader;
    bool hears_leader;
    bool has_relay;    /* its link goes to a relay, not to the leader */
    bool relay_serves; /* that one is linked, current, and hears the leader or
                          reads the store */
    bool informed;     /* the leader, or a gateway linked to it, has current
                          entries */
    bool leader_reads_config;
    bool leader_reads_upstreams;
    bool lacks_state; /* a configuration, or the upstreams, was never there */
    bool lacks_versions; /* of some upstreams, as their publisher knows none */
    bool has_waiting;    /* requests wait for a model */
    uint32_t fleet;      /* number of gateways */
} SrView;

typedef struct {
    bool reads_config;
    bool reads_upstreams;
    uint32_t config_wait_ms;
    uint32_t upstreams_pause_ms;
    uint32_t max_backoff_ms; /* of both */
} SrPlan;

typedef struct Sr Sr;

/* The process starts at NOW_MS. */
Sr *sr_create(uint64_t now_ms, uint64_t seed);
void sr_destroy(Sr *s);
/* The link was lost: updates may soon come over a new one, so the store is
   read only after a random time. */
void sr_on_link_lost(Sr *s, uint64_t now_ms);
/* The leader named the newest configuration that it knows; LACKS: ours is
   older.  True: the read that should return it is to be begun anew, if it is
   older than SR_SLOW_CALL_MS. */
bool sr_on_config_version(Sr *s, uint64_t now_ms, bool lacks);
/* A newer configuration is known, and missing here. */
bool sr_is_behind(const Sr *s);
/* What is read from now on. */
SrPlan sr_plan(Sr *s, uint64_t now_ms, const SrView *view);

#endif
