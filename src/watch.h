/* watch: detects that a caller has closed its connection while its request is
   still in progress.  CivetWeb does not expose the socket, so it is searched
   among the file descriptors of the process by its two addresses. */
#ifndef WATCH_H
#define WATCH_H

#include "base.h"

struct mg_request_info;

typedef struct {
    int fd; /* -1: not searched yet; below: not found */
    uint64_t next_check_ms;
} Watch;

/* The first check is due after 250 ms, so short requests cost none. */
void watch_start(Watch *w, uint64_t now_ms);
/* True if the caller has closed its connection.  Checks at most every 100 ms
   and returns false in between. */
bool watch_is_gone(Watch *w, uint64_t now_ms,
                   const struct mg_request_info *info);

/* Reads of that connection end, on whatever thread they are. */
void watch_interrupt(const struct mg_request_info *info);

#endif
