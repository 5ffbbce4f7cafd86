/* jl: structured log, one JSON object a line on standard output.  A writer
   thread takes the lines from a bounded ring, so a reader of the log that
   stalls never blocks the process.  Lines that find the ring full are dropped
   and counted; the count is logged when there is room again. */
#ifndef JSON_LOG_H
#define JSON_LOG_H

#include "base.h"

typedef struct JlLine JlLine;

/* Start the writer; NODE is in every line.  Lines are dropped before this and
   after jl_stop. */
void jl_start(const char *node);
/* Write what is queued, for at most WAIT_MS. */
void jl_stop(uint32_t wait_ms);

/* Start a line; EVENT is lower case with hyphens.  NULL: the line is dropped;
   the other calls accept NULL. */
JlLine *jl_begin(const char *event);
void jl_text(JlLine *l, const char *field, const char *value);
void jl_number(JlLine *l, const char *field, int64_t value);
void jl_end(JlLine *l);
uint64_t jl_count_dropped(void);

#endif
