/* dep: the deployment that a gateway serves, as last decided by operators:
   routes, services, the models of a service; and what upstreams say of
   themselves.  Values without threads, I/O or clock. */
#ifndef DEP_H
#define DEP_H

#include "bg_base.h"

/* ---- configuration ------------------------------------------------------ */

typedef enum {
    DEP_IDEMPOTENT,     /* may run more than once */
    DEP_NON_IDEMPOTENT, /* runs at most once */
    DEP_STREAM          /* answered by events; resumable or at most once */
} DepKind;

typedef struct {
    char *service;
    uint32_t weight;
} DepSplit;

/* Who calls: keys belong to it, and limits and a priority hold for all that it
   asks for. */
typedef struct {
    char *name;
    bool has_priority; /* which goes before a route's */
    uint32_t priority; /* 0 is the highest */
    /* Limit over all gateways, in requests, or in tokens of prompt and answer.
     */
    bool counts_tokens;
    uint32_t plain_tokens; /* of a request that tells none */
    double rate_per_s;     /* 0: no limit */
    double burst;
} DepWorkspace;

typedef struct {
    char *name;
    char *host;
    char *prefix;   /* begins and ends with a slash */
    bool is_public; /* no key is asked for */
    DepKind kind;
    bool resumable;            /* streams only */
    bool by_model;             /* its requests name a model */
    uint32_t timeout_ms;       /* to the whole answer; 0: none */
    uint32_t objective_ms;     /* to the first byte, for full credit */
    uint32_t gap_ms;           /* longest pause between events; 0: not told */
    uint32_t event_timeout_ms; /* callers leave after so long without an event;
                             0: not told */
    uint32_t attempts;         /* upstreams that one request may run on */
    uint32_t priority;         /* 0 is the highest */
    GArray *splits;            /* DepSplit; at least one */
} DepRoute;

typedef struct {
    char *name;
    uint32_t memory_mb;
    uint32_t load_ms; /* from the weight store */
    uint32_t disk_ms; /* from the upstream's disk */
    uint32_t warm_ms; /* from the upstream's main memory */
    uint32_t adapters;
    uint32_t adapter_mb;
} DepModel;

typedef struct {
    char *name;
    char *health_path;
    uint32_t max_connections; /* to one upstream, from all callers */
    bool has_models;
    /* of one upstream of a service with models */
    uint32_t slots;
    uint32_t kv_tokens;
    uint32_t memory_mb; /* for models and adapters */
    uint32_t max_adapters;
    double loads_per_s; /* from the weight store, all upstreams */
    GHashTable *models; /* name -> DepModel */
} DepService;

#define DEP_FINGERPRINT_LEN 8

/* SHA-256 of a key.  Its leading bytes are the fingerprint by which a key is
   named in logs. */
typedef struct {
    uint8_t bytes[BG_DIGEST_BYTES];
} DepKey;

typedef struct {
    uint64_t version;
    GPtrArray *routes;    /* DepRoute */
    GHashTable *hosts;    /* host -> GPtrArray of DepRoute, longest first */
    GHashTable *services; /* name -> DepService */
    /* Requests carry the key of a workspace, but on public routes. */
    bool requires_keys;
    GHashTable *workspaces; /* name -> DepWorkspace */
    GHashTable *keys;       /* DepKey -> DepWorkspace; never the keys
                               themselves, which would show in a core */
    uint32_t max_header_bytes;
    uint32_t max_body_bytes;
    uint32_t header_timeout_ms;
    uint32_t idle_timeout_ms;
    gint refs;
} DepConfig;

DepConfig *dep_create_config(void);
DepConfig *dep_ref_config(DepConfig *c);
void dep_unref_config(DepConfig *c);
DepRoute *dep_add_route(DepConfig *c);
DepService *dep_add_service(DepConfig *c, const char *name);
DepModel *dep_add_model(DepService *s, const char *name);
DepWorkspace *dep_add_workspace(DepConfig *c, const char *name);
/* KEY is one of W's, which is C's. */
void dep_add_key(DepConfig *c, DepWorkspace *w, const char *key);
DepKey dep_digest_key(const char *key);
/* In hexadecimal, and a terminating zero. */
void dep_print_fingerprint(const DepKey *key,
                           char out[DEP_FINGERPRINT_LEN + 1]);
/* The workspace that holds KEY, or NULL. */
const DepWorkspace *dep_find_workspace(const DepConfig *c, const DepKey *key);
/* Once all routes are in: index them by host. */
void dep_index_routes(DepConfig *c);
/* Of the routes of HOST (a port in it is ignored) the one with the longest
   prefix of PATH, or NULL. */
const DepRoute *dep_find_route(const DepConfig *c, const char *host,
                               const char *path);
/* The service that takes the request whose digest is HASH. */
const char *dep_pick_service(const DepRoute *r, uint64_t hash);

/* ---- upstreams ---------------------------------------------------------- */

typedef struct {
    char *name;
    uint64_t version;
    GPtrArray *adapters; /* char * */
    GPtrArray *coming;   /* char *: adapters on their way */
} DepResident;

/* What an upstream said of itself. */
typedef struct {
    char *id;
    char *service;
    char *address; /* IP:PORT */
    char *data_centre;
    bool draining;
    uint32_t gone_in_ms; /* draining: until it ends; 0: not told */
    uint32_t slots;
    uint64_t born_ms;  /* of this life; 0: not told */
    uint64_t sequence; /* of a report: orders accepted in this life */
    bool reports_models;
    bool busy;            /* of a report: an order is being carried out */
    GPtrArray *models;    /* DepResident */
    GPtrArray *in_memory; /* char *: models with a copy in main memory */
    GPtrArray *on_disk;   /* char *: models with a copy on disk */
} DepUpstream;

DepUpstream *dep_create_upstream(void);
void dep_destroy_upstream(DepUpstream *u);
DepResident *dep_add_resident(DepUpstream *u, const char *name);
/* What U holds, to be freed; U is destroyed. */
GPtrArray *dep_take_residents(DepUpstream *u);
GPtrArray *dep_copy_residents(const GPtrArray *models);
/* Of a DepResident list; NULL: it isn't there. */
DepResident *dep_find_resident(const GPtrArray *models, const char *name);

/* Lists of names (char *). */
bool dep_has_name(const GPtrArray *list, const char *name);
/* Append copies of all of FROM. */
void dep_copy_names(GPtrArray *to, const GPtrArray *from);
/* "model", or "model/adapter" with an adapter: a key for what callers ask
   for; free with g_free. */
char *dep_make_key(const char *model, const char *adapter);

/* ---- one request -------------------------------------------------------- */

typedef struct {
    uint64_t digest; /* of the part and all parts before it */
    uint32_t tokens;
} DepPart;

/* What a request's headers say. */
typedef struct {
    const char *attempt_id; /* NULL: missing */
    uint32_t deadline_ms;   /* from its arrival; 0: none */
    char *model;            /* NULL: none */
    char *adapter;          /* NULL: none */
    uint32_t prompt_tokens; /* 0: not told */
    uint32_t output_tokens; /* at most; 0: not told */
    GArray *parts;          /* DepPart, leading parts of the prompt in order;
                               NULL: none */
    int64_t resume_after;   /* last event the caller has; -1: none */
} DepCall;

void dep_clear_call(DepCall *call);

#endif
