/* cfg: templates with parameters and the values of each workspace.

   A template (INI) names models, adapters, services and upstreams, and one
   [workspace] section whose values may use ${parameter}; a values file
   (INI) names a workspace and gives its parameters.  A set of templates is
   compiled into one immutable CfgSet; readers hold it by reference. */
#ifndef CFG_H
#define CFG_H

#include "bg_base.h"

typedef enum { CFG_LOOKUP, CFG_INTERACTIVE, CFG_BATCH } CfgClass;
#define CFG_CLASSES 3

/* A group of upstreams under one name in the VM list. */
typedef struct {
    char *name;
    bool engine; /* else a plain service */
    bool fenced; /* refuses orders with an old fencing number */
} CfgUpstreams;

typedef struct {
    char *name;
    char *upstreams; /* CfgUpstreams name */
    char *base;      /* base model of an adapter, else NULL */
    uint32_t memory_mb;
    uint32_t replicas; /* ceiling in each data centre */
    uint32_t load_ms;  /* expected cold load, until one was seen */
    uint32_t wait_ms;  /* how long a caller may wait, whole */
    CfgClass class_;
    double cold_second_cost; /* of its template */
    double idle_hour_cost;
    char *template_name;
} CfgModel;

typedef struct {
    char *name;
    char *upstreams;
    bool idempotency_required; /* every call carries Idempotency-Key */
    uint32_t wait_ms;
    char *template_name;
} CfgService;

typedef struct {
    char *name;
    char *template_name;
    char **key_digests; /* SHA-256 of each bearer key, hex */
    char **models;      /* names, or "*" alone */
    char **services;
    uint32_t priority; /* 0 to 9, higher goes first */
    uint32_t requests_per_second;
    uint32_t concurrency;
    uint32_t tokens_per_minute;
} CfgWorkspace;

typedef struct CfgSet CfgSet;

/* One template's source: its text and its workspaces' values. */
typedef struct {
    const char *name;
    uint64_t version; /* offset it took effect at */
    const char *template_text;
    char **values_text;
    size_t values_count;
} CfgSource;

/* Compile SOURCES into a set.  NULL when any rule is broken; every fault
   goes to FAULTS, one a line. */
CfgSet *cfg_compile(const CfgSource *sources, size_t count, GString *faults);
/* The name a template's text gives itself, or NULL; free with g_free. */
char *cfg_read_template_name(const char *text);

CfgSet *cfg_ref(CfgSet *s);
void cfg_unref(CfgSet *s);

/* Highest version among the sources; 0 for the empty set. */
uint64_t cfg_get_version(const CfgSet *s);

const CfgModel *cfg_find_model(const CfgSet *s, const char *name);
const CfgService *cfg_find_service(const CfgSet *s, const char *name);
const CfgUpstreams *cfg_find_upstreams(const CfgSet *s, const char *name);
const CfgWorkspace *cfg_find_workspace(const CfgSet *s, const char *name);
/* The workspace whose bearer key is KEY, or NULL. */
const CfgWorkspace *cfg_authenticate(const CfgSet *s, const char *key);
bool cfg_may_call_model(const CfgWorkspace *w, const char *model);
bool cfg_may_call_service(const CfgWorkspace *w, const char *service);

/* Every item, sorted by name; the arrays belong to the set. */
GPtrArray *cfg_list_models(const CfgSet *s);     /* CfgModel */
GPtrArray *cfg_list_workspaces(const CfgSet *s); /* CfgWorkspace */

const char *cfg_class_name(CfgClass class_);

#endif
