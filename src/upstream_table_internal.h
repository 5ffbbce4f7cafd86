/* upstream_table_internal: upstreams, for the upstream_table*.c files only.
     upstream_table.c         entries, placement, calls and what they show
     upstream_table_choice.c  the choice of the upstream for a request */
#ifndef UPSTREAM_TABLE_INTERNAL_H
#define UPSTREAM_TABLE_INTERNAL_H

#include "upstream_table.h"

/* A load report loses its weight linearly over this time. */
#define UT_REPORT_FADE_MS 1000
/* The penalty of a slow or failing upstream halves in this time, so that it is
   tried again. */
#define UT_PENALTY_HALF_LIFE_MS 2500.
/* Approximate rate at which engines process prompts (prefill). */
#define UT_TOKENS_PER_MS 30.
/* The interval between probes doubles with each inconclusive one, up to
   this. */
#define UT_MAX_PROBE_INTERVAL_MS 1600

/* A version of a service, of which an upstream went. */
typedef struct {
    char *service;
    char *version; /* NULL: not known */
    uint64_t ms;   /* the last one went */
} UtGone;

typedef struct {
    char *what; /* "model" or "model/adapter" */
    uint64_t until_ms;
    uint32_t last_ms; /* its duration */
} UtAbsence;

struct Ut {
    UtSet *set;
    DepUpstream *entry;
    GPtrArray *placed; /* DepResident, by the leader; NULL: see entry */
    bool stale;        /* the next entry replaces PLACED */
    bool gone;         /* no longer listed; kept while calls run */
    bool leaving;
    uint32_t running; /* calls of this gateway */
    /* Running and queued for other gateways, by its last answer. */
    uint32_t reported;
    uint64_t reported_ms;
    /* By the leader's totals (UtTotal). */
    uint32_t others_running; /* for other gateways */
    uint32_t fleet_wait_ms;
    uint32_t fleet_running; /* for all gateways */
    bool stalled;
    uint64_t asked_ms;  /* the report that is under way; 0: none */
    uint64_t away_ms;   /* last ut_on_unreachable; 0: never */
    uint64_t proved_ms; /* its process was proved by a report asked for then;
                           0: never */
    uint64_t last_answer_ms; /* end of the last answered call; 0: none */
    uint32_t failures;       /* unreachable or silent in a row */
    uint64_t unreachable_ms; /* last failure to reach it; 0: reachable */
    bool probing;            /* a probe is running */
    uint32_t probe_interval_ms;
    uint64_t reported_unreachable_ms; /* by the leader; 0: no */
    uint64_t backoff_until_ms;
    uint64_t shed_until_ms;
    double fail_rate;    /* 0 to 1 */
    double slowness;     /* time to first byte over the expected; 1: normal */
    uint64_t penalty_ms; /* time up to which these two have decayed */
    GArray *absences;    /* UtAbsence */
};

struct UtSet {
    char *data_centre;
    BgRandom rng;
    GHashTable *by_id;     /* id -> Ut */
    GHashTable *by_key;    /* ut_make_key of its id -> Ut */
    uint32_t unversioned;  /* of these, whose version isn't known */
    GArray *versions_gone; /* UtGone */
    uint64_t first_ms;     /* the first entry came; 0: none did */
    uint64_t totals_ms;    /* when the totals were last refreshed */
    GPtrArray *removed;    /* Ut: gone, with calls running */
    double plain_ms; /* mean time to first byte, services without models */
    Ul *limits;      /* NULL: no upstream is limited */
    Un *notices;     /* NULL: no upstream says anything of itself */
};

/* The leader's totals are current. */
bool ut_hears_leader(const UtSet *s, uint64_t now_ms);

#endif
