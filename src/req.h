/* req: the life of one caller's request, on its own HTTP thread: who asks,
   what for, the core's decision, the call to the upstream, the answer.

   Every answer carries X-Bglade-Outcome: answered, refused-not-run or
   failed-may-have-run.  "Not run" is said only when no byte reached an
   upstream or the upstream itself said so. */
#ifndef REQ_H
#define REQ_H

#include "bg_base.h"
#include "lim.h"
#include "node.h"
#include "rt.h"

/* Between request threads and the core thread. */
typedef struct ReqDesk ReqDesk;

/* LIMITS is used on the core thread only and stays the caller's. */
ReqDesk *req_create_desk(Node *n, Lim *limits);
void req_destroy_desk(ReqDesk *d);

/* HTTP thread: answer CONN, or return 0 when the path is not ours. */
int req_handle(ReqDesk *d, struct mg_connection *conn);

/* Core thread: an event posted by a request thread; frees it. */
void req_on_event(ReqDesk *d, RtCore *core, uint64_t now_ms, void *event);
/* Core thread: the core's decisions. */
void req_on_send(ReqDesk *d, uint64_t id, const char *upstream,
                 const char *address, uint32_t long_run_ms);
void req_on_refuse(ReqDesk *d, uint64_t id, RtReason reason,
                   uint64_t retry_after_ms);
void req_on_finish(ReqDesk *d, uint64_t id);

/* Requests inside HTTP threads now. */
uint32_t req_count(const ReqDesk *d);

#endif
