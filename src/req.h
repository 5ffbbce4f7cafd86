/* req: handles one client request on its HTTP thread: authentication,
   parsing, waiting for the core thread's decisions, the call to the upstream,
   and the answer.

   Every answer carries X-Bglade-Outcome: answered, streaming,
   refused-not-run or failed-may-have-run.  Refused-not-run is sent only if no
   byte reached an upstream or the upstream reported that it ran nothing. */
#ifndef REQ_H
#define REQ_H

#include "desk.h"

struct mg_connection;

/* Answers CONN and returns the HTTP status; 0: not a path of this module. */
int req_handle(Desk *d, struct mg_connection *conn);

#endif
