/* vp: the version plan, which says at which software version of a service a
   new stream begins, so that every gateway can tell later at which one it
   began.

   What two versions write doesn't fit together, and the caller of a stream
   that broke off may come to a gateway that knows nothing of it.  So the
   version isn't chosen freely: the attempt ids of each model are divided into
   VP_SHARES shares, and the plan gives each share a version.  A stream that is
   taken up goes on at the version of its first attempt's share.

   The leader changes the plan, in the store: a gateway uses a plan only after
   the store has it.  A share that is given another version is unsettled until
   all streams that began before have ended; of a stream of an unsettled share
   only a note (sn) can tell the version.  That takes the time for which a
   gateway may begin streams by a plan that it couldn't confirm
   (VP_BEGIN_AGE_MS) and the life of a stream, counted anew once all gateways
   are heard of again.

   A version is listed before a share gets it (VP_LIST_MS).  While the plan
   lists one version, a confirmation by the leader's heartbeat is enough to
   take streams up; else each is confirmed by a read of the store that began
   after the caller came.

   Workload: hundreds of gateways answer thousands of streams a second; none of
   them is told of, or keeps, a stream.

   No threads, I/O or clock: callers pass the time in. */
#ifndef VERSION_PLAN_H
#define VERSION_PLAN_H

#include "base.h"

#define VP_SHARES 16
/* Streams of a gateway that has not confirmed its plan for this long begin
   only after it has, unless the plan lists one version. */
#define VP_BEGIN_AGE_MS 10000
/* For this long after the leader's plan was the newest it counts as that, for
   streams that are taken up. */
#define VP_RESUME_AGE_MS 600
/* Between listing a version and giving it a share: longer than
   VP_RESUME_AGE_MS, by more than what clocks may drift apart meanwhile. */
#define VP_LIST_MS 1000
/* A gateway that isn't heard of any more counts as gone after this time.
   Until then it may go on beginning streams at the only version that it knows,
   cut off from all others. */
#define VP_LOST_MS 600000
/* Life of a stream whose route has no timeout. */
#define VP_DEFAULT_LIFE_MS 60000
/* Longer ids are not read. */
#define VP_MAX_ATTEMPT 256

typedef struct Vp Vp;

Vp *vp_create(void);
void vp_destroy(Vp *p);
/* Longest life of a stream that may be taken up; 0: the default. */
void vp_set_life(Vp *p, uint32_t life_ms);
/* So many gateways are linked to the leader, itself included.  While some are
   missing no share settles. */
void vp_on_gateways(Vp *p, uint64_t now_ms, uint32_t gateways);

/* A gateway that begins streams without the plan, as its release has none, is
   linked, or leads. */
void vp_on_unplanned(Vp *p, uint64_t now_ms);
/* Streams that such a gateway began may be under way, at any version: the
   plan tells the version of none, unless the service is single. */
bool vp_may_be_unplanned(const Vp *p, uint64_t now_ms);

/* ---- the plan, as known here -------------------------------------------- */

/* An encoded plan, of the store or of another gateway.  True: it is newer than
   the one known here, and is used from now on. */
bool vp_take(Vp *p, uint64_t now_ms, const void *data, size_t len);
/* The store had no plan at ASKED_MS. */
void vp_on_none(Vp *p, uint64_t asked_ms);
/* Number of an encoded plan; 0: it can't be read. */
uint64_t vp_read_number(const void *data, size_t len);
/* The plan called NUMBER, or the one known here if it is higher, was the
   store's newest at ASKED_MS: before that a read of the store was begun. */
void vp_on_read(Vp *p, uint64_t number, uint64_t asked_ms);
/* The leader's heartbeat names plan NUMBER, which was the newest at some time
   since SINCE_MS by this gateway's clock; 0: it isn't known when. */
void vp_on_heartbeat(Vp *p, uint64_t number, uint64_t since_ms);
/* A newer plan than the one known here exists. */
bool vp_is_behind(const Vp *p);
/* 0: none is known. */
uint64_t vp_get_number(const Vp *p);
/* The plan as bytes; NULL: none is known.  Unref with g_bytes_unref. */
GBytes *vp_encode(const Vp *p);
/* No share is unsettled. */
bool vp_is_settled(const Vp *p);
/* ATTEMPT's share is unsettled. */
bool vp_is_unsettled(const Vp *p, const char *service, const char *model,
                     const char *attempt);
uint32_t vp_get_life_ms(const Vp *p);
/* The plan lists VERSION alone for SERVICE, and nothing of it is unsettled: a
   fleet that has no other needs no change. */
bool vp_has_only(const Vp *p, const char *service, const char *version);
/* The plan lists several versions of SERVICE. */
bool vp_is_mixed(const Vp *p, const char *service);
void vp_print(const Vp *p, GString *out);

/* ---- streams ------------------------------------------------------------ */

typedef enum {
    VP_AT,        /* at *VERSION only */
    VP_UNPLANNED, /* the plan doesn't have the service */
    VP_ASK,       /* the plan must be confirmed first */
    VP_UNSETTLED  /* its version can't be known */
} VpAnswer;

/* Where the stream of ATTEMPT begins.  MODEL: NULL if the route has none.
 *VERSION is borrowed until the next vp_take.  Never VP_UNSETTLED. */
VpAnswer vp_begin(const Vp *p, uint64_t now_ms, const char *service,
                  const char *model, const char *attempt,
                  const char **version);
/* Where the stream goes on that ATTEMPT began, for a caller that came at
   CAME_MS. */
VpAnswer vp_resume(const Vp *p, uint64_t now_ms, uint64_t came_ms,
                   const char *service, const char *model, const char *attempt,
                   const char **version);
/* The same for each gateway, to choose among a route's services. */
uint64_t vp_draw(const char *attempt);

/* ---- changes, by the leader --------------------------------------------- */

/* What serves now, for vp_propose. */
typedef struct VpFleet VpFleet;

VpFleet *vp_create_fleet(void);
void vp_destroy_fleet(VpFleet *f);
/* A ready upstream.  VERSION: empty if it names none. */
void vp_add_upstream(VpFleet *f, const char *service, const char *version);
/* For a stream's life SERVICE had upstreams of one version only. */
void vp_set_single(VpFleet *f, const char *service);
/* ... that holds MODEL. */
void vp_add_replica(VpFleet *f, const char *service, const char *version,
                    const char *model);

/* The next plan, encoded; NULL: no change is due.  It is in force once the
   store has it and vp_take was called. */
GBytes *vp_propose(const Vp *p, uint64_t now_ms, const VpFleet *fleet);

#endif
