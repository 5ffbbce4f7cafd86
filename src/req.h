/* req: the life of one caller's request, on its own HTTP thread: who asks,
   what for, the core's decision, the call to the upstream, the answer.

   Every answer carries X-Bglade-Outcome: answered, streaming,
   refused-not-run or failed-may-have-run.  "Not run" is said only when no
   byte reached an upstream or the upstream itself said so. */
#ifndef REQ_H
#define REQ_H

#include "desk.h"

struct mg_connection;

/* Answer CONN, or return 0 when the path is not ours. */
int req_handle(Desk *d, struct mg_connection *conn);

#endif
