/* fl: a fast in-memory simulator of the platform's append-only log, for
   benchmarks.  It has the HTTP API described in log_client.h; GET /test/state
   returns the numbers of appends, reads and bytes. */
#ifndef LOG_SIMULATOR_H
#define LOG_SIMULATOR_H

#include "base.h"

typedef struct {
    const char *listen;  /* IP:PORT */
    uint32_t threads;    /* concurrent connections */
    uint32_t rate;       /* max. appends per second; 0: no limit */
    uint32_t latency_ms; /* of an append, after the wait due to rate */
    uint32_t keep;       /* min. entries retained; 0: all */
} FlParams;

typedef struct FakeLog FakeLog;

/* Starts to serve; NULL: failed to listen, and ERR is set. */
FakeLog *fl_start(const FlParams *params, GError **err);
void fl_stop(FakeLog *f);

#endif
