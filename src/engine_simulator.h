/* fe: a fast simulator of model engines, for benchmarks.  One process
   simulates several engines, one on each port, with the HTTP API of the
   engines in the tests: /v1/completions and /v1/chat/completions (streamed or
   not), /control/load, unload, fence, role, report and audit.  The answer is
   a function of the prompt, see fe_make_token. */
#ifndef ENGINE_SIMULATOR_H
#define ENGINE_SIMULATOR_H

#include "base.h"

#define FE_DIGEST_LEN 12

typedef struct {
    const char *address; /* numeric; every engine listens on it */
    uint16_t first_port;
    uint32_t engines;    /* on consecutive ports */
    uint32_t threads;    /* concurrent connections of all engines */
    uint32_t memory_mb;  /* of each engine */
    uint32_t token_us;   /* time for each token */
    uint32_t load_scale; /* load time as a percentage of load_ms */
    bool fencing;        /* refuse orders with an outdated fencing token */
    const char *models;  /* loaded from the start, comma-separated */
} FeParams;

typedef struct FakeEngines FakeEngines;

/* Starts to serve; NULL: failed to listen, and ERR is set. */
FakeEngines *fe_start(const FeParams *params, GError **err);
void fe_stop(FakeEngines *f);

/* Token INDEX of the COUNT + 2 tokens of an answer: the first FE_DIGEST_LEN
   digits of DIGEST, the prompt's, then " t0" to " t(COUNT-1)", then " end". */
char *fe_make_token(const char *digest, uint32_t index, uint32_t count);
/* The whole answer; free with g_free. */
char *fe_make_text(const char *prompt, uint32_t count);

#endif
