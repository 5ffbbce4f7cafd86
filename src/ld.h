/* ld: a load driver.  Sends completions over N connections, either one after
   the other on each (closed loop) or at the arrival times of a seeded
   Poisson process (open loop), checks every answer against the stand-in
   engine's fixed one, and counts durations and outcomes.

   In the open loop a duration runs from the planned arrival, so that a slow
   server cannot hide its delay by slowing the driver down. */
#ifndef LD_H
#define LD_H

#include "bg_base.h"

typedef struct {
    const char *to;       /* IP:PORT, comma-separated; used in turn */
    const char *key;      /* workspace key, or NULL */
    const char *models;   /* comma-separated; %N is numbered, see below */
    uint32_t model_count; /* "m%": m0 to mN; 0: MODELS as it is */
    double zipf;          /* share of the k-th model: 1 / k^zipf */
    bool stream;
    bool chat;
    uint32_t connections;
    double rate; /* requests a second; 0: closed loop */
    uint32_t duration_ms;
    uint64_t requests; /* stop after so many; 0: by time only */
    uint32_t tokens;
    uint32_t prompt_bytes;
    uint32_t burst;          /* open loop: so many at once, one model ... */
    uint32_t burst_every_ms; /* ... so often */
    uint32_t timeout_ms;     /* of one request */
    uint32_t ramp_ms;        /* closed loop: connections start over it */
    uint64_t seed;
} LdParams;

typedef struct LoadRun LoadRun;

/* Run to the end; NULL with ERR set when PARAMS make no sense. */
LoadRun *ld_run(const LdParams *params, GError **err);
void ld_destroy(LoadRun *r);

/* Whether every answer was whole and right, or a refusal that says so. */
bool ld_is_clean(const LoadRun *r);
/* The results as text lines, or as one JSON object; free with g_free. */
char *ld_print(const LoadRun *r);
char *ld_print_json(const LoadRun *r);

#endif
