/* dep: the data model that the gateway's modules share.

   DepConfig    the operators' configuration: routes, services with their
                models, workspaces.  Reference-counted, and not changed once
                dep_index_routes was called.
   DepUpstream  what one upstream reports of itself: address, state, the
                models that it holds.
   DepCall      what the headers of one request say.

   Plain values: no I/O, no clock, no threads. */
#ifndef GATEWAY_TYPES_H
#define GATEWAY_TYPES_H

#include "base.h"

/* ---- configuration ------------------------------------------------------ */

typedef enum {
    DEP_IDEMPOTENT,     /* may run more than once */
    DEP_NON_IDEMPOTENT, /* runs at most once */
    DEP_STREAM          /* answered by events; runs again only if resumable */
} DepKind;

typedef struct {
    char *service;
    uint32_t weight;
} DepSplit;

/* A customer.  Its API keys identify the caller; its limit and priority apply
   to all requests with one of them. */
typedef struct {
    char *name;
    bool has_priority; /* overrides the route's */
    uint32_t priority; /* 0 is the highest */
    /* Limit over all gateways together, in requests, or in tokens of prompt
       and answer. */
    bool counts_tokens;
    uint32_t plain_tokens; /* cost of a request without token counts */
    double rate_per_s;     /* 0: no limit */
    double burst;
} DepWorkspace;

typedef struct {
    char *name;
    char *host;
    char *prefix;   /* begins and ends with a slash */
    bool is_public; /* no API key is required */
    DepKind kind;
    bool resumable;            /* streams only */
    bool by_model;             /* its requests name a model */
    uint32_t timeout_ms;       /* to the end of the answer; 0: none */
    uint32_t objective_ms;     /* target time to the first byte */
    uint32_t gap_ms;           /* longest pause between events; 0: no target */
    uint32_t event_timeout_ms; /* callers leave after this time without an
                                  event; 0: not given */
    uint32_t attempts;         /* upstreams that one request may run on */
    uint32_t priority;         /* 0 is the highest */
    GArray *splits;            /* DepSplit; at least one */
} DepRoute;

typedef struct {
    char *name;
    uint32_t memory_mb;
    uint32_t load_ms;  /* from the weight store */
    uint32_t disk_ms;  /* from the upstream's disk */
    uint32_t warm_ms;  /* from the upstream's main memory */
    uint32_t adapters; /* how many exist */
    uint32_t adapter_mb;
} DepModel;

typedef struct {
    char *name;
    char *health_path;
    uint32_t max_connections; /* to one upstream, from all callers */
    bool has_models;
    /* capacity of one upstream, if has_models */
    uint32_t slots;
    uint32_t kv_tokens;
    uint32_t memory_mb; /* for models and adapters */
    uint32_t max_adapters;
    double loads_per_s; /* from the weight store, all upstreams together */
    GHashTable *models; /* name -> DepModel */
} DepService;

#define DEP_FINGERPRINT_LEN 8

/* SHA-256 of an API key.  Logs name a key by its fingerprint, the leading
   bytes in hexadecimal. */
typedef struct {
    uint8_t bytes[BG_DIGEST_BYTES];
} DepKey;

typedef struct {
    uint64_t version;
    GPtrArray *routes;    /* DepRoute */
    GHashTable *hosts;    /* host -> GPtrArray of DepRoute, longest
                             prefix first */
    GHashTable *services; /* name -> DepService */
    /* Requests need the key of a workspace, except on public routes. */
    bool requires_keys;
    GHashTable *workspaces; /* name -> DepWorkspace */
    GHashTable *keys;       /* DepKey -> DepWorkspace; only digests, so that a
                               core dump shows no key */
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
/* KEY, in clear, identifies workspace W of C. */
void dep_add_key(DepConfig *c, DepWorkspace *w, const char *key);
DepKey dep_digest_key(const char *key);
/* With a terminating zero. */
void dep_print_fingerprint(const DepKey *key,
                           char out[DEP_FINGERPRINT_LEN + 1]);
/* The workspace that holds KEY, or NULL. */
const DepWorkspace *dep_find_workspace(const DepConfig *c, const DepKey *key);
/* Builds hosts.  Call it once, after the last dep_add_route. */
void dep_index_routes(DepConfig *c);
/* The route of HOST with the longest prefix of PATH, or NULL.  Case and a port
   in HOST are ignored. */
const DepRoute *dep_find_route(const DepConfig *c, const char *host,
                               const char *path);
/* Longest timeout of C's resumable streams; 0: there are none, or one has
   none. */
uint32_t dep_get_stream_life_ms(const DepConfig *c);
/* Picks one of R's services by weight; DRAW: a random number. */
const char *dep_pick_service(const DepRoute *r, uint64_t draw);

/* ---- upstreams ---------------------------------------------------------- */

/* A model that an upstream holds. */
typedef struct {
    char *name;
    uint64_t version;
    GPtrArray *adapters; /* char * */
    GPtrArray *coming;   /* char *: adapters that are being loaded */
} DepResident;

/* What an upstream reports of itself, in the store or in answer to a request
   for a report. */
typedef struct {
    char *id;
    char *service;
    char *address; /* IP:PORT */
    char *data_centre;
    bool draining;
    uint32_t gone_in_ms; /* draining: time until it exits; 0: not given */
    uint32_t slots;
    char *version;     /* of its software; empty: it names none; NULL: not
                          known, as in a report */
    uint64_t born_ms;  /* when the process started; 0: not given */
    uint64_t sequence; /* in a report: orders accepted since then */
    bool reports_models;
    bool busy;            /* in a report: an order is in progress */
    GPtrArray *models;    /* DepResident */
    GPtrArray *in_memory; /* char *: models with cached weights in main
                             memory */
    GPtrArray *on_disk;   /* char *: models with cached weights on disk */
} DepUpstream;

DepUpstream *dep_create_upstream(void);
/* Whether calls can be sent to U, whoever wrote its entry: its id can stand in
   a header, its address is one that can be connected to, and no text or list
   is longer than that of any upstream.  Else ERR names field and reason. */
bool dep_check_upstream(const DepUpstream *u, GError **err);
void dep_destroy_upstream(DepUpstream *u);
DepResident *dep_add_resident(DepUpstream *u, const char *name);
/* Takes U's models, owned by the caller now, and destroys U. */
GPtrArray *dep_take_residents(DepUpstream *u);
/* Copies names and adapters, but no versions and no coming adapters. */
GPtrArray *dep_copy_residents(const GPtrArray *models);
/* MODELS: DepResident list.  NULL if NAME isn't in it. */
DepResident *dep_find_resident(const GPtrArray *models, const char *name);

/* Lists of names (char *). */
bool dep_has_name(const GPtrArray *list, const char *name);
/* Appends copies of all names of FROM. */
void dep_copy_names(GPtrArray *to, const GPtrArray *from);
/* "model", or "model/adapter" if ADAPTER isn't NULL; free with g_free. */
char *dep_make_key(const char *model, const char *adapter);

/* ---- one request -------------------------------------------------------- */

typedef struct {
    uint64_t id;     /* of this part alone */
    uint64_t digest; /* of this part and all parts before it */
    uint32_t tokens;
} DepPart;

/* What the headers of a request say. */
typedef struct {
    const char *attempt_id; /* NULL: missing */
    uint32_t deadline_ms;   /* from its arrival; 0: none */
    char *model;            /* NULL: none */
    char *adapter;          /* NULL: none */
    uint32_t prompt_tokens; /* 0: not given */
    uint32_t output_tokens; /* at most; 0: not given */
    GArray *parts;          /* DepPart, leading parts of the prompt in order;
                               NULL: none */
    int64_t resume_after;   /* id of the last event the caller has; -1: none */
    /* The caller takes a stream up: the attempt that brought its first event;
       NULL: it names none, or none that can be read. */
    const char *resumes;
    bool takes_up; /* it has events, or says that it takes a stream up */
} DepCall;

void dep_clear_call(DepCall *call);

#endif
