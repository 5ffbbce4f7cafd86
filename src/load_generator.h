/* ld: a load generator.  Sends completions over N connections, either one
   after the other on each (closed loop) or at the arrival times of a seeded
   Poisson process (open loop), compares every answer with the expected one of
   the simulated engine (fe), and records durations and outcomes.

   In the open loop durations are measured from the planned arrival, so that a
   slow server can't hide its latency by slowing down the generator. */
#ifndef LOAD_GENERATOR_H
#define LOAD_GENERATOR_H

#include "base.h"

typedef struct {
    const char *to;       /* IP:PORT, comma-separated; used round-robin */
    const char *key;      /* API key of a workspace, or NULL */
    const char *models;   /* comma-separated; may contain "%" */
    uint32_t model_count; /* N: "m%" stands for m0 to m(N-1) */
    double zipf;          /* share of the k-th model: 1 / k^zipf */
    bool stream;
    bool chat;
    uint32_t connections;
    double rate; /* requests a second; 0: closed loop */
    uint32_t duration_ms;
    uint64_t requests; /* max. number of requests; 0: no limit */
    uint32_t tokens;
    uint32_t prompt_bytes;
    uint32_t burst;          /* open loop: requests for one model at once */
    uint32_t burst_every_ms; /* interval between bursts */
    uint32_t timeout_ms;     /* of one request */
    uint32_t ramp_ms;        /* closed loop: time to start connections */
    uint64_t seed;
} LdParams;

typedef struct LoadRun LoadRun;

/* Runs to the end.  NULL: PARAMS are invalid, and ERR is set. */
LoadRun *ld_run(const LdParams *params, GError **err);
void ld_destroy(LoadRun *r);

/* Whether every request got a complete and correct answer or a refusal that
   is marked as not run. */
bool ld_is_clean(const LoadRun *r);
/* The results as text lines, or as one JSON object; free with g_free. */
char *ld_print(const LoadRun *r);
char *ld_print_json(const LoadRun *r);

#endif
