/* watch: tells whether a caller has closed its connection while its request
   is still being worked on.  CivetWeb does not hand out the socket, so it is
   found among the process's own by its two addresses. */
#ifndef WATCH_H
#define WATCH_H

#include "bg_base.h"

struct mg_request_info;

typedef struct {
    int fd; /* -1: not found yet */
    uint64_t next_look_ms;
} Watch;

/* The caller of a short request is never looked at. */
void watch_start(Watch *w, uint64_t now_ms);
/* True once the far end has closed.  Looks at most every 100 ms. */
bool watch_is_gone(Watch *w, uint64_t now_ms,
                   const struct mg_request_info *info);

#endif
