/* version_plan_internal: the plan's parts, for the version_plan*.c files only.
     version_plan.c         the plan as known here, and where streams go on
     version_plan_change.c  changes of the plan, by the leader */
#ifndef VERSION_PLAN_INTERNAL_H
#define VERSION_PLAN_INTERNAL_H

#include "version_plan.h"

/* Versions of one service beyond this are not listed; none of its streams
   begins there. */
#define VP_MAX_VERSIONS 64

typedef struct {
    uint8_t at[VP_SHARES]; /* index of its version */
    uint16_t unsettled;    /* a bit for each share */
    /* The plan gives it that version, here, since then. */
    uint64_t since_ms[VP_SHARES];
} VpShares;

typedef struct {
    char *name;
    uint64_t listed_ms; /* here */
} VpVersion;

typedef struct {
    GArray *versions;   /* VpVersion */
    VpShares rest;      /* of the models that aren't in MODELS */
    GHashTable *models; /* name -> VpShares */
} VpService;

typedef struct {
    uint64_t number;
    GHashTable *services; /* name -> VpService */
} VpPlan;

struct Vp {
    VpPlan *plan;    /* NULL: none is known */
    bool none;       /* the store had none when it was last read */
    uint64_t newest; /* the highest number heard of */
    uint64_t taken_ms;
    uint64_t read_ms;      /* it was the store's newest then; 0: never */
    uint64_t heartbeat_ms; /* ... the leader's; 0: never */
    uint32_t life_ms;
    uint32_t gateways;    /* that were linked to the leader, or still are */
    uint64_t gateways_ms; /* all of them were, last */
    uint64_t missing_ms;  /* some weren't, last; 0: never */
    /* A gateway that begins streams without the plan was there; 0: never. */
    uint64_t unplanned_ms;
};

VpPlan *vp_copy_plan(const VpPlan *of);
void vp_destroy_plan(VpPlan *p);
GBytes *vp_encode_plan(const VpPlan *p);
VpService *vp_create_service(void);
const VpVersion *vp_get_version_at(const VpService *s, guint i);
/* Its index, or -1. */
int vp_find_version(const VpService *s, const char *name);
/* Of MODEL; of those without a row if it has none, or is NULL. */
const VpShares *vp_get_shares(const VpService *s, const char *model);
bool vp_is_share_unsettled(const VpShares *x, int share);
bool vp_has_unsettled_share(const VpService *s);
/* It lists one version, and nothing of it is unsettled. */
bool vp_is_plain_service(const VpService *s);
/* The keys of TABLE (char *, borrowed), sorted: equal tables give equal
   lists. */
GPtrArray *vp_sort_keys(GHashTable *table);

#endif
