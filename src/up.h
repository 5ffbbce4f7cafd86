/* up: the upstreams that one router knows, and the choice among them.

   Fed by the owners' residency messages, by the ends of the router's own
   calls and by probes.  No threads, I/O or clock.

   Load of an upstream: our own calls in flight, which we know exactly, plus
   what others have there: the reported count less our own at the time the
   report came.  A report is late, so it fades out over UP_REPORT_MS. */
#ifndef UP_H
#define UP_H

#include "bg_base.h"
#include "bglade.pb-c.h"

#define UP_REPORT_MS 1000

typedef struct {
    const char *data_centre;
    uint32_t per_upstream;   /* our calls in flight on one at once */
    uint32_t eject_failures; /* consecutive, before it is ejected */
    uint32_t eject_ms;       /* rest before a probe, and between probes */
    uint32_t return_ms;      /* each step of the slow return */
    uint64_t seed;
} UpParams;

typedef struct UpSet UpSet;
typedef struct Up Up;

/* Ask UPSTREAM, on a fresh connection, whether it is well. */
typedef void (*UpProbe)(void *ctx, const char *upstream, const char *address);

/* Who could serve.  MODEL NULL: any upstream of the deployment. */
typedef struct {
    const char *deployment;
    const char *model;
    const char *base;         /* that an adapter needs, or NULL */
    uint64_t affinity;        /* 0: none */
    const GPtrArray *avoided; /* upstream ids, or NULL */
} UpQuery;

typedef enum {
    UP_END_GOOD,        /* it answered */
    UP_END_FAILED,      /* counts against it */
    UP_END_SAID_NOTHING /* tells nothing of it */
} UpEnd;

UpSet *up_create(const UpParams *params, UpProbe probe, void *ctx);
void up_destroy(UpSet *s);

void up_on_residency(UpSet *s, uint64_t now_ms, const Bg__Residency *r);
void up_on_probe(UpSet *s, uint64_t now_ms, const char *upstream,
                 const char *address, bool well);
/* Send the probes that are due. */
void up_on_tick(UpSet *s, uint64_t now_ms);

/* The upstream to send to now, or NULL.  Here before elsewhere; then by
   rendezvous hash of the affinity, within a bound on load; without
   affinity the less loaded of two random ones. */
Up *up_choose(UpSet *s, uint64_t now_ms, const UpQuery *q);
/* Calls that fit beside each other on those that could serve, ejected ones
   included; 0: the model is cold. */
uint32_t up_count_slots(const UpSet *s, const UpQuery *q);

/* A call starts; U stays valid until up_finish. */
void up_start(Up *u);
void up_finish(UpSet *s, Up *u, uint64_t now_ms, UpEnd end);
/* It said itself that it leaves: no new work, whatever a list says. */
void up_mark_leaving(UpSet *s, Up *u, uint64_t now_ms);
/* It said that it does not hold MODEL; the next report tells better. */
void up_forget_model(UpSet *s, Up *u, const char *model);

const char *up_get_id(const Up *u);
const char *up_get_address(const Up *u);
/* As a JSON array, borrowed by nobody: the caller owns it. */
struct json_t *up_dump(const UpSet *s);

#endif
