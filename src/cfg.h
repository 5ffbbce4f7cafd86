/* cfg: the configuration: templates, and the values of their workspaces.

   A template (INI) defines models, adapters, services and upstreams.  It may
   have a [parameters] section, and a [workspace] section whose values may
   contain ${parameter}.  A values file (INI) defines one workspace and its
   parameters.  All templates together are compiled into one CfgSet, which is
   immutable and reference counted: any thread may read it. */
#ifndef CFG_H
#define CFG_H

#include "base.h"

typedef enum { CFG_LOOKUP, CFG_INTERACTIVE, CFG_BATCH } CfgClass;
#define CFG_CLASSES 3

/* A group of upstreams, which the VM list has under this name. */
typedef struct {
    char *name;
    bool engine; /* else a service */
    bool fenced; /* refuses orders with an old fencing token */
} CfgUpstreams;

typedef struct {
    char *name;
    char *upstreams; /* CfgUpstreams name */
    char *base;      /* base model of an adapter, else NULL */
    uint32_t memory_mb;
    uint32_t replicas; /* max in each data centre */
    uint32_t load_ms;  /* assumed until a cold load was measured */
    uint32_t wait_ms;  /* timeout of a request as a whole */
    CfgClass class_;
    /* The template's costs of a second of a cold load, and of an hour in which
       a replica is idle. */
    double cold_second_cost;
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
    uint64_t version; /* log offset of its record */
    const char *template_text;
    char **values_text;
    size_t values_count;
} CfgSource;

/* Compiles SOURCES into a set.  If there is any error in them, returns NULL;
   all errors are appended to FAULTS, one a line. */
CfgSet *cfg_compile(const CfgSource *sources, size_t count, GString *faults);
/* The name in the [template] section of TEXT, or NULL; free with g_free. */
char *cfg_read_template_name(const char *text);

CfgSet *cfg_ref(CfgSet *s);
void cfg_unref(CfgSet *s);

/* Highest version among the sources; 0 for the empty set. */
uint64_t cfg_get_version(const CfgSet *s);

const CfgModel *cfg_find_model(const CfgSet *s, const char *name);
const CfgService *cfg_find_service(const CfgSet *s, const char *name);
const CfgUpstreams *cfg_find_upstreams(const CfgSet *s, const char *name);
const CfgWorkspace *cfg_find_workspace(const CfgSet *s, const char *name);
/* The workspace that has the bearer key KEY, or NULL. */
const CfgWorkspace *cfg_authenticate(const CfgSet *s, const char *key);
bool cfg_may_call_model(const CfgWorkspace *w, const char *model);
bool cfg_may_call_service(const CfgWorkspace *w, const char *service);

/* All items, sorted by name; the arrays belong to the set. */
GPtrArray *cfg_list_models(const CfgSet *s);     /* CfgModel */
GPtrArray *cfg_list_workspaces(const CfgSet *s); /* CfgWorkspace */

const char *cfg_class_name(CfgClass class_);

#endif
