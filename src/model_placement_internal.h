/* model_placement_internal: internals of placement, for the model_placement*.c
   files only.

     model_placement.c          state of upstreams: content and reports
     model_placement_orders.c   results of orders
     model_placement_demand.c   demand of callers, and the estimated capacity
                                of a replica
     model_placement_choice.c   which model is loaded on which upstream
     model_placement_adapter.c  the same for adapters
     model_placement_weights.c  how many loads from the weight store run
                                concurrently
     model_placement_publish.c  what is published to gateways */
#ifndef MODEL_PLACEMENT_INTERNAL_H
#define MODEL_PLACEMENT_INTERNAL_H

#include "model_placement.h"

/* As a time: not known in advance, but reported by the upstream. */
#define WHEN_REPORTED UINT64_MAX
/* An adapter loads in 5 to 6.7 ms, to which the latency of the order adds. */
#define ADAPTER_LOAD_MS 9
/* The lists in a report are about 200 ms older than its numbers.  They are
   used only if no order was accepted for this long before the report. */
#define REPORT_LAG_MS 450
#define REPORT_INTERVAL_MS 150
#define MAX_REPORT_BACKOFFS 3

typedef struct Model Model;
typedef struct Up Up;

/* Demand for a model or an adapter. */
typedef struct {
    uint32_t waiting; /* requests, for it to be loaded */
    uint32_t running;
    double rate;           /* arrivals a second, decayed */
    uint64_t rated_ms;     /* time of rate and tight_deadline */
    double tight_deadline; /* part of rate: due before a load from disk ends */
    double refused;        /* refusals a second, decayed */
    uint64_t refused_ms;
    uint64_t waiting_since_ms; /* 0: no request waits */
    uint64_t next_try_ms;      /* no upstream was found: next attempt */
} Demand;

struct Model {
    char *name;
    /* The first service that declares it, nearly always the only one, and the
       declaration there; NULL: none does. */
    const DepService *service;
    const DepModel *declared;
    Demand demand;
    GPtrArray *holders; /* Up: with a replica in any state */
    GPtrArray *copies;  /* Up: with cached weights on disk or in memory */
    GPtrArray *goals;   /* Up: whose goal it is */
    uint32_t replicas;  /* usable or planned; recounted at each tick */
    double capacity; /* estimated concurrent requests that one replica serves
                        in time */
    /* Samples for the next estimate of the capacity. */
    uint32_t slow;           /* running requests that are about to be late */
    double slow_integral_ms; /* of slow over time, since estimated_ms */
    double running_integral_ms; /* of demand.running, likewise */
    uint64_t integrated_ms;     /* end of both integrals */
    uint64_t estimated_ms;
};

typedef struct {
    char *name;
    uint64_t ready_ms; /* usable from then on */
    uint64_t used_ms;  /* last use */
    bool leaving;      /* its unload waits for the requests that use it */
} Adapter;

typedef struct {
    Model *model;
    uint64_t ready_ms;           /* usable from then on, or WHEN_REPORTED */
    uint64_t expected_ms;        /* end of its load, by the declared time */
    uint64_t ordered_ms;         /* start of its load */
    double integral_at_start_ms; /* Mp.load_integral_ms when its load began */
    bool late;                   /* its load was found overdue */
    bool unloading;              /* or about to be: no longer published */
    uint64_t used_ms;            /* last use */
    GPtrArray *adapters;         /* Adapter */
} Replica;

/* Requests of all gateways for one model or adapter at an upstream. */
typedef struct {
    char *model;
    char *adapter; /* NULL: the model itself */
    uint32_t running;
    uint32_t queued; /* of these, waiting for their first byte */
    uint32_t slow;   /* of these, about to be late */
} Use;

/* Requests at an upstream.  Kept by its id apart from Up, as requests are also
   reported before its entry has been read and after its removal. */
typedef struct {
    GPtrArray *uses; /* Use */
    uint32_t running;
    uint32_t queued;        /* of these, waiting for their first byte */
    uint32_t answer_starts; /* first bytes of answers since the last sample */
    uint64_t last_start_ms; /* when the last of them was reported */
    uint64_t queued_since_ms; /* 0: none is queued */
} UpstreamLoad;

/* An upstream. */
struct Up {
    DepUpstream *entry;        /* id, address, service */
    const DepService *service; /* NULL: not a service with models */
    uint32_t reserved_mb;      /* of its memory, for adapters */
    GPtrArray *in_memory;      /* Model: with cached weights in main memory */
    GPtrArray *on_disk;        /* Model: with cached weights on disk */
    bool content_known;        /* replicas and sequence are up to date */
    bool report_pending;       /* a report was requested */
    bool busy;                 /* last report: an order is in progress */
    uint64_t next_report_ms;   /* no report is requested before */
    uint32_t missed_reports;   /* requests without an answer, in a row */
    uint32_t unsent_orders;    /* in a row: it can't be connected to */
    uint64_t sequence;         /* orders that it accepted */
    GPtrArray *replicas;       /* Replica */
    uint64_t busy_until_ms;    /* end of the load in progress */
    uint64_t retry_ms;         /* no order is sent before */
    uint64_t changed_ms;       /* last order that was accepted, or may be */
    uint64_t unloaded_ms;      /* last unload of a model that was accepted */
    bool after_unload;         /* of a model; no order was answered since */
    uint64_t quiet_ms;         /* nothing is sent to it before */
    uint64_t rested_ms;        /* most gateways send nothing to it before */
    Model *goal;               /* model chosen to be loaded here; NULL: none */
    uint64_t goal_until_ms;    /* then it is given up */
    double goal_gain;          /* callers a second, when the goal was set */
    /* The pending order. */
    bool ordered;
    bool order_unload;
    Model *order_model;
    char *order_adapter;
    uint64_t order_ms;      /* when it was sent */
    uint64_t order_load_ms; /* expected time of a model's load */
    bool order_from_store;
    /* Other state. */
    bool published;        /* its present content */
    bool unreachable;      /* last report unanswered or last order not sent */
    uint64_t suspected_ms; /* last report requested for a broken connection */
    uint64_t verified_ms;  /* last report requested by verify_waited_models */
    UpstreamLoad *load;
    /* Last sample of the load. */
    uint32_t last_queued;
    uint64_t sampled_ms;
    double start_interval_ms; /* mean time between first bytes of answers while
                                 requests are queued */
};

/* Demand for one adapter. */
typedef struct {
    Model *model;
    char *name;
    Demand demand;
} AdapterDemand;

/* Requests that wait for a model or adapter on upstreams of one software
   version: streams that began there. */
typedef struct {
    Model *model;
    char *adapter; /* NULL: the model itself */
    char *version;
    uint32_t waiting;
    uint64_t since_ms;
} VersionDemand;

struct Mp {
    MpParams params;
    MpOutput out;
    DepConfig *config;    /* NULL: none yet */
    GHashTable *ups;      /* id -> Up */
    GHashTable *reserves; /* DepService -> MB reserved for adapters */
    GHashTable *models;   /* name -> Model */
    GHashTable *adapters; /* "model/adapter" -> AdapterDemand */
    GHashTable *versions; /* "model version" or "model/adapter version" ->
                             VersionDemand */
    GHashTable *loads;    /* id of an upstream -> UpstreamLoad */
    uint64_t now_ms;      /* of the last tick */
    double capacity;      /* initial estimate for a new model */
    GArray *store_starts; /* uint64_t: start times of loads from the store */
    uint64_t next_prefetch_ms;
    uint64_t idle_checked_ms;        /* last check for idle models */
    bool any_demand;                 /* some model has demand */
    uint32_t reports_pending;        /* upstreams with a requested report */
    const DepService *store_blocked; /* in this tick the store starts no more
                                        loads for it */
    MpStoreLimits store;
    uint32_t unload_ms; /* after an unload, before most upstreams take the next
                           order */
    uint64_t store_late_ms;       /* when a load was last found late */
    double load_integral_ms;      /* of concurrent store loads over time */
    uint64_t load_integral_at_ms; /* end of the integral */
    uint32_t loads_in_flight;     /* store loads at that time */
};

/* A model that needs a further replica. */
typedef struct {
    Model *model;
    uint64_t since_ms;
    bool no_replica; /* it has no replica, nor is one planned */
    double gain;     /* callers a second that the replica serves in time */
} Shortage;

/* model_placement.c */
Model *mp_get_model(Mp *m, const char *name);
Replica *mp_find_replica(const Up *u, const Model *model);
/* MODEL as the service of U declares it; NULL: it doesn't. */
const DepModel *mp_find_declared(const Up *u, const Model *model);
bool mp_has_copy(const Up *u, const Model *model);
void mp_set_goal(Up *u, Model *model); /* NULL: none */
/* NULL: R doesn't have it. */
Adapter *mp_find_adapter(const Replica *r, const char *name);
/* READY_MS: usable from then on, or WHEN_REPORTED. */
Replica *mp_add_replica(Up *u, Model *model, uint64_t ready_ms);
void mp_remove_replica(Up *u, Replica *r);
void mp_add_adapter(Replica *r, const char *name, uint64_t ready_ms);
/* What U holds isn't known until a report, which is asked for at REPORT_MS. */
void mp_invalidate_content(Up *u, uint64_t report_ms);
void mp_set_reachable(Mp *m, Up *u, bool reachable);
void mp_request_report(Mp *m, Up *u);
/* U has MODEL's weights in memory and on disk. */
void mp_add_copies(Up *u, Model *model);

/* model_placement_demand.c */
/* Estimate of the concurrent requests that a replica serves in time, before
   any sample. */
#define MP_INITIAL_CAPACITY 16.
Demand *mp_find_adapter_demand(const Mp *m, const Model *model,
                               const char *adapter);
bool mp_is_in_use(const Up *u, const Model *model, const char *adapter);
double mp_get_rate(const Demand *d, uint64_t now_ms);
double mp_get_tight_deadline_rate(const Demand *d, uint64_t now_ms);
double mp_get_refused_rate(const Demand *d, uint64_t now_ms);
UpstreamLoad *mp_get_upstream_load(Mp *m, const char *upstream);
void mp_free_upstream_load(void *load);
void mp_free_adapter_demand(void *demand);
void mp_free_version_demand(void *demand);
/* Estimate the capacity of replicas from the share of slow requests. */
void mp_estimate_capacity(Mp *m, uint64_t now_ms);
/* Free records of models, adapters and upstreams that are no longer used. */
void mp_forget_idle(Mp *m, uint64_t now_ms);

/* model_placement_publish.c */
void mp_publish(Mp *m, Up *u, uint64_t now_ms);
/* A load on U ended between BEFORE_MS and NOW_MS. */
bool mp_has_just_become_ready(const Up *u, uint64_t now_ms,
                              uint64_t before_ms);

/* model_placement_weights.c */
#define MP_MAX_STORE_LOADS 16
uint32_t mp_count_store_loads(const Mp *m);
/* Update the integral of concurrent loads; at each tick before loads are
   started. */
void mp_integrate_store_loads(Mp *m, uint64_t now_ms);
/* The load of R from the store has ended. */
void mp_on_store_load_end(Mp *m, uint64_t now_ms, const Replica *r);
/* Lower the limit if a load on U is overdue. */
void mp_check_overdue_loads(Mp *m, uint64_t now_ms, Up *u);
/* A model whose load gains GAIN may be loaded from the store now. */
bool mp_may_start_store_load(Mp *m, uint64_t now_ms, const DepService *s,
                             double gain);
/* The load ordered at ORDER_MS was not started. */
void mp_cancel_store_start(Mp *m, uint64_t order_ms);
/* FREE_IN_MS: for each concurrent load of the store, the time until it ends;
   0: the slot is free.  MP_MAX_STORE_LOADS entries, which the caller sets to
   0 before the call. */
void mp_list_store_slots(const Mp *m, uint64_t now_ms, uint64_t *free_in_ms);
uint64_t *mp_pick_first_slot(const Mp *m, uint64_t *free_in_ms);

/* model_placement_choice.c */
bool mp_can_use(const Up *u);
bool mp_rests(const Up *u, uint64_t now_ms);
bool mp_can_order(const Up *u, uint64_t now_ms);
void mp_send_order(Mp *m, uint64_t now_ms, Up *u, Model *model,
                   const char *adapter, bool unload);
void mp_count_replicas(Mp *m);
void mp_place_models(Mp *m, uint64_t now_ms);
/* A usable upstream has MODEL loaded or cached, or is about to load it. */
bool mp_is_cached(const Model *model);
/* Expected time to load MODEL on U, from the nearest copy of its weights. */
uint32_t mp_get_load_ms(const Up *u, const DepModel *d, const Model *model,
                        bool *from_store);
/* Models that need a further replica, by descending gain; ALL: also those
   whose next attempt is not due yet. */
GArray *mp_list_shortages(const Mp *m, uint64_t now_ms, bool all);
void mp_prefetch(Mp *m, uint64_t now_ms);
/* Send the next order towards U's goal: an unload to free memory, or the
   load. */
void mp_pursue_goal(Mp *m, uint64_t now_ms, Up *u);

/* Load what streams of one version wait for on upstreams of that version. */
void mp_place_versions(Mp *m, uint64_t now_ms);

/* model_placement_adapter.c */
/* As mp_visit_waits, for adapters without a slot; KEY: as dep_make_key has it.
   They are given slots in turn, so each waits as long as the first of the
   queue does, and that is estimated to take as long again as it has taken. */
void mp_visit_adapter_waits(const Mp *m, uint64_t now_ms,
                            void (*visit)(void *ctx, const char *key,
                                          uint32_t wait_ms),
                            void *ctx);
void mp_place_adapters(Mp *m, uint64_t now_ms);
/* D names an adapter. */
void mp_place_adapter_at(Mp *m, uint64_t now_ms, const VersionDemand *d);

#endif
