/* fe: a fast stand-in for model engines, for measurements.  One process
   stands for several engines, one at each port, and speaks the same HTTP as
   the engines of the tests: /v1/completions and /v1/chat/completions (whole
   or streamed), /control/load, unload, fence, role, report and audit.  The
   answer to a prompt is fixed, see fe_make_token. */
#ifndef FE_H
#define FE_H

#include "bg_base.h"

#define FE_DIGEST_LEN 12

typedef struct {
    const char *address; /* numeric; every engine listens on it */
    uint16_t first_port;
    uint32_t engines;    /* on consecutive ports */
    uint32_t threads;    /* connections served at once, all engines */
    uint32_t memory_mb;  /* of each engine */
    uint32_t token_us;   /* before each token */
    uint32_t load_scale; /* per cent of an order's load_ms */
    bool fencing;        /* refuse orders with an old number */
    const char *models;  /* loaded from the start, comma-separated */
} FeParams;

typedef struct FakeEngines FakeEngines;

/* Listen and serve; NULL with ERR set when that fails. */
FakeEngines *fe_start(const FeParams *params, GError **err);
void fe_stop(FakeEngines *f);

/* Token INDEX of COUNT + 2 of the answer to PROMPT: the first digits of the
   prompt's digest, then " t0" to " tN", then " end". */
char *fe_make_token(const char *digest, uint32_t index, uint32_t count);
/* The whole answer; free with g_free. */
char *fe_make_text(const char *prompt, uint32_t count);

#endif
