/* pt: the paths from this gateway to upstreams.  Whether an upstream can be
   reached is a fact about a pair, gateway and upstream: kept here for this
   gateway's own connections, and for those by way of another gateway, a
   helper.  It answers the loads in which some gateways can't connect to some
   or all upstreams that others reach.

   A path whose connection failed is used again after a probe succeeded.  Where
   several upstreams failed and none was reached since, or far fewer than that
   lately, the gateway counts as cut off: it then takes both ways at once also
   to the others.  An upstream that no helper reaches either gets no detour for
   a while.

   No threads, I/O or clock: callers pass the time in. */
#ifndef PATH_TABLE_H
#define PATH_TABLE_H

#include "base.h"

/* A connection that isn't open after this time is tried by way of a helper as
   well: many round trips between data centres. */
#define PT_DETOUR_AFTER_MS 60
#define PT_NEVER UINT32_MAX

typedef struct {
    const char *data_centre; /* of this gateway */
    const char *address;     /* where it takes detours itself; never a
                                helper */
    uint64_t seed;
} PtParams;

typedef struct Pt Pt;

Pt *pt_create(const PtParams *params);
void pt_destroy(Pt *t);

typedef struct {
    const char *vm;
    const char *data_centre;
    const char *address; /* IP:PORT */
} PtHelper;

/* The gateways that take detours now, N of them.  Former ones stay for a
   while: when the leader is lost, so are the links that name them.  Texts are
   copied. */
void pt_set_helpers(Pt *t, uint64_t now_ms, const PtHelper *helpers, size_t n);
uint32_t pt_count_helpers(const Pt *t);

typedef struct {
    bool direct;              /* open a connection to the upstream */
    uint32_t detour_after_ms; /* then also one by way of a helper; PT_NEVER */
} PtPlan;

/* Another process has ADDRESS, or none. */
void pt_forget(Pt *t, const char *address);
/* How to connect to the upstream at ADDRESS now. */
PtPlan pt_plan(Pt *t, uint64_t now_ms, const char *address);
/* The helper to ask for the upstream at ADDRESS; TRIED: addresses (char *) of
   those asked before.  NULL: none is left.  The text is valid until
   pt_set_helpers. */
const char *pt_pick_helper(Pt *t, uint64_t now_ms, const char *address,
                           const GPtrArray *tried);

/* An own connection to ADDRESS was opened, or could not be. */
void pt_on_direct(Pt *t, uint64_t now_ms, const char *address, bool opened);
/* Bytes came from ADDRESS on an own connection. */
void pt_on_alive(Pt *t, uint64_t now_ms, const char *address);

/* Bytes came from an upstream by way of a helper. */
void pt_on_alive_by_detour(Pt *t, uint64_t now_ms);

typedef enum {
    PT_OPENED,
    PT_NO_PATH, /* the helper does not reach this upstream */
    PT_CUT,     /* nor others */
    PT_FULL,    /* it takes no more detours */
    PT_LOST,    /* it does not answer */
    PT_REFUSED  /* it does not know us, or the upstream */
} PtAnswer;

void pt_on_detour(Pt *t, uint64_t now_ms, const char *address,
                  const char *helper, PtAnswer answer);
/* No helper reached the upstream at ADDRESS. */
void pt_on_no_detour(Pt *t, uint64_t now_ms, const char *address);

/* A call to ADDRESS was sent at SENT_MS on an own connection, and nothing came
   back: whether to open another connection, to see if the path is there.
   True at most once in a while for each upstream. */
bool pt_wants_probe(Pt *t, uint64_t now_ms, const char *address,
                    uint64_t sent_ms);
/* Whether to connect to ADDRESS for another gateway: not to one that failed,
   but for a probe now and then. */
bool pt_may_connect(Pt *t, uint64_t now_ms, const char *address);
/* Own connections to ADDRESS fail at present. */
bool pt_is_failed(const Pt *t, const char *address);
/* Own connections to several upstreams fail, and to none, or few, they
   succeed. */
bool pt_is_cut_off(const Pt *t);
/* The same, and a helper reached some: so the fault is this gateway's. */
bool pt_is_cut_off_alone(const Pt *t, uint64_t now_ms);
/* It has been cut off for a while, and no helper reached one for it: no
   upstream can be reached by any way. */
bool pt_is_isolated(const Pt *t, uint64_t now_ms);
/* Upstreams to which own connections fail at present. */
uint32_t pt_count_failed(const Pt *t);
/* Call it about every 100 ms. */
void pt_on_tick(Pt *t, uint64_t now_ms);
/* What is known of paths and helpers, for the state dump, as JSON lines. */
void pt_print(const Pt *t, uint64_t now_ms, GString *out);

#endif
