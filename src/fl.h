/* fl: a fast in-memory stand-in for the platform's append-only log, for
   measurements.  The API is the one of lc.h; GET /test/state tells how many
   appends and bytes there were. */
#ifndef FL_H
#define FL_H

#include "bg_base.h"

typedef struct {
    const char *listen;  /* IP:PORT */
    uint32_t threads;    /* connections served at once */
    uint32_t rate;       /* appends a second at most; 0: no limit */
    uint32_t latency_ms; /* of an append, beside the wait for its turn */
    uint32_t keep;       /* entries kept; 0: all */
} FlParams;

typedef struct FakeLog FakeLog;

/* Listen and serve; NULL with ERR set when that fails. */
FakeLog *fl_start(const FlParams *params, GError **err);
void fl_stop(FakeLog *f);

#endif
