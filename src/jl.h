/* jl: structured log, one JSON object a line on standard output.  Lines go
   through a bounded ring to a thread of their own, so a reader that stops
   reading never stops serving; lines that find the ring full are left out
   and counted, and the count is logged when there is room again. */
#ifndef JL_H
#define JL_H

#include "bg_base.h"

typedef struct JlLine JlLine;

/* Start the writer; NODE is in every line.  Before it and after jl_stop
   lines are dropped. */
void jl_start(const char *node);
/* Write what is queued, for at most WAIT_MS. */
void jl_stop(uint32_t wait_ms);

/* A line about EVENT, a word with hyphens.  NULL when it would be dropped;
   all calls take NULL. */
JlLine *jl_begin(const char *event);
void jl_text(JlLine *l, const char *field, const char *value);
void jl_number(JlLine *l, const char *field, int64_t value);
void jl_end(JlLine *l);
uint64_t jl_count_dropped(void);

#endif
