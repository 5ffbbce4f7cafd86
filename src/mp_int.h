/* mp_int: what the files of mp share: mp.c keeps what upstreams hold and were
   ordered, mp_demand.c what callers ask for, mp_place.c decides what is loaded
   where, mp_adapter.c the same of adapters, mp_store.c how many loads the
   weight store is asked for at once, mp_publish.c what gateways are told. */
#ifndef MP_INT_H
#define MP_INT_H

#include "mp.h"

/* Not by the clock, but when the upstream says so. */
#define WHEN_REPORTED UINT64_MAX

typedef struct Model Model;
typedef struct Up Up;

/* What callers ask for, of a model or an adapter. */
typedef struct {
    uint32_t waiting;
    uint32_t running;
    double rate; /* uses a second, decayed */
    uint64_t rated_ms;
    double hurried; /* of the rate: those with no time for a load */
    double refused; /* a second, decayed */
    uint64_t refused_ms;
    uint64_t waiting_since_ms; /* 0: nobody waits */
    uint64_t next_try_ms;      /* no place was found: not looked for before */
} Demand;

struct Model {
    char *name;
    /* Of the first service that declares it, which nearly always is the only
       one; NULL: none does. */
    const DepService *service;
    const DepModel *declared;
    Demand demand;
    GPtrArray *holders; /* Up: with a replica, whatever its state */
    GPtrArray *copies;  /* Up: with a copy on disk or in memory */
    GPtrArray *goals;   /* Up: it is to be loaded there */
    uint32_t replicas;  /* usable, or to be; derived anew at each tick */
    /* Requests at once that one replica serves well, as far as is known, and
       what it follows from. */
    double capacity;
    uint32_t slow;           /* requests that are about to come late */
    double slow_integral_ms; /* time times these, since it was last judged */
    double running_integral_ms; /* the same of all */
    uint64_t integrated_ms;
    uint64_t estimated_ms;
};

typedef struct {
    char *name;
    uint64_t ready_ms; /* usable from then on */
    uint64_t used_ms;
    bool leaving; /* its unload waits for requests that use it */
} Adapter;

typedef struct {
    Model *model;
    uint64_t ready_ms;           /* usable from then on, or WHEN_REPORTED */
    uint64_t expected_ms;        /* when its load should end */
    uint64_t ordered_ms;         /* when it was ordered */
    double integral_at_start_ms; /* Mp.load_integral_ms when its load began */
    bool late;                   /* its load takes longer than it should */
    bool unloading;
    uint64_t used_ms;
    GPtrArray *adapters; /* Adapter */
} Replica;

/* Requests of all gateways that use one model or adapter there. */
typedef struct {
    char *model;
    char *adapter; /* NULL: the model itself */
    uint32_t running;
    uint32_t queued;
    uint32_t slow;
} Use;

/* What is at an upstream, by its id: told of before and after its entry. */
typedef struct {
    GPtrArray *uses; /* Use */
    uint32_t running;
    uint32_t queued;   /* of these, that wait for their first byte */
    uint32_t began;    /* answers that began since it was last looked at */
    uint64_t began_ms; /* when the last one was told */
    uint64_t queued_since_ms; /* since when some wait; 0: none does */
} UpstreamLoad;

struct Up {
    DepUpstream *entry;        /* id, address, service */
    const DepService *service; /* NULL: none with models */
    uint32_t reserved_mb;      /* of its memory, kept for adapters */
    GPtrArray *in_memory;      /* Model: copies */
    GPtrArray *on_disk;
    bool known; /* content is known, and the sequence it is at */
    bool report_pending;
    bool busy; /* at an order of which we don't know, as last reported */
    uint64_t next_report_ms;
    uint32_t missed_reports; /* questions in a row */
    uint64_t sequence;
    GPtrArray *replicas; /* Replica */
    uint64_t busy_until_ms;
    uint64_t retry_ms;    /* no order before */
    uint64_t changed_ms;  /* an order was accepted, or may have been */
    uint64_t unloaded_ms; /* of a model, the last */
    Model *goal;          /* that is to be loaded here; NULL: none */
    uint64_t goal_until_ms;
    double goal_gain; /* callers a second, when it was set */
    /* the order that is out */
    bool ordered;
    bool order_unload;
    Model *order_model;
    char *order_adapter;
    uint64_t order_ms; /* when it was sent */
    uint64_t order_load_ms;
    bool order_from_store;
    bool told;      /* gateways know the present content */
    bool unreached; /* it did not answer last time */
    uint64_t suspected_ms;
    uint64_t verified_ms;
    UpstreamLoad *load;
    uint32_t last_queued; /* when it was last looked at */
    uint64_t sampled_ms;
    double start_interval_ms; /* between beginnings while others wait */
};

/* Callers of one adapter. */
typedef struct {
    Model *model;
    char *name;
    Demand demand;
} AdapterDemand;

struct Mp {
    MpParams params;
    MpOutput out;
    DepConfig *config;    /* NULL: none yet */
    GHashTable *ups;      /* id -> Up */
    GHashTable *reserves; /* DepService -> MB kept free for adapters */
    GHashTable *models;   /* name -> Model */
    GHashTable *adapters; /* "model/adapter" -> AdapterDemand */
    GHashTable *loads;    /* id of an upstream -> Load */
    uint64_t now_ms;      /* of the last tick */
    double capacity;      /* of a model of which nothing is known */
    GArray *store_starts; /* uint64_t: loads from the store begun */
    uint64_t next_prefetch_ms;
    uint64_t idle_checked_ms;        /* when idle models were last forgotten */
    bool asked;                      /* callers asked for some model lately */
    uint32_t reports_pending;        /* upstreams that haven't answered yet */
    const DepService *store_blocked; /* its loads wait for a later tick */
    MpStoreLimits store;
    uint64_t store_late_ms;  /* when a load was last found late */
    double load_integral_ms; /* time times loads from the store, as summed */
    uint64_t load_integral_at_ms;
    uint32_t loads_in_flight; /* when it was last summed */
};

/* A model that lacks replicas. */
typedef struct {
    Model *model;
    uint64_t since_ms;
    bool none;   /* nobody holds it */
    double gain; /* callers a second that a replica more serves in time */
} Shortage;

/* mp.c */
Model *mp_get_model(Mp *m, const char *name);
Replica *mp_find_replica(const Up *u, const Model *model);
/* As the service of U declares it; NULL: it doesn't. */
const DepModel *mp_find_declared(const Up *u, const Model *model);
bool mp_has_copy(const Up *u, const Model *model);
void mp_set_goal(Up *u, Model *model); /* NULL: none */

/* mp_demand.c */
/* Requests at a replica, before anything is known. */
#define MP_INITIAL_CAPACITY 16.
Demand *mp_find_adapter_demand(const Mp *m, const Model *model,
                               const char *adapter);
bool mp_is_in_use(const Up *u, const Model *model, const char *adapter);
double mp_get_rate(const Demand *d, uint64_t now_ms);
double mp_get_hurried_rate(const Demand *d, uint64_t now_ms);
double mp_get_refused_rate(const Demand *d, uint64_t now_ms);
UpstreamLoad *mp_get_upstream_load(Mp *m, const char *upstream);
void mp_free_upstream_load(void *load);
void mp_free_adapter_demand(void *wanted);
/* Limits of replicas follow from the answers that were slow. */
void mp_estimate_capacity(Mp *m, uint64_t now_ms);
/* What nobody asks for any more is left out. */
void mp_forget_idle(Mp *m, uint64_t now_ms);

/* mp_publish.c */
void mp_publish(Mp *m, Up *u, uint64_t now_ms);
bool mp_has_just_become_ready(const Up *u, uint64_t now_ms,
                              uint64_t before_ms);

/* mp_store.c */
#define MP_MAX_STORE_LOADS 16
uint32_t mp_count_store_loads(const Mp *m);
/* At each tick, before loads are begun: what is beside each is averaged. */
void mp_integrate_store_loads(Mp *m, uint64_t now_ms);
/* The load of R from the store has ended. */
void mp_on_store_load_end(Mp *m, uint64_t now_ms, const Replica *r);
/* Of loads at U that take too long and have not ended. */
void mp_check_overdue_loads(Mp *m, uint64_t now_ms, Up *u);
/* A load of a model whose loading gains GAIN may be begun now. */
bool mp_may_start_store_load(Mp *m, uint64_t now_ms, const DepService *s,
                             double gain);
/* One that was ordered at ORDER_MS was not begun. */
void mp_cancel_store_start(Mp *m, uint64_t order_ms);
/* FREE_IN_MS: for each load that is served side by side, until it ends. */
void mp_list_store_slots(const Mp *m, uint64_t now_ms, uint64_t *free_in_ms);
uint64_t *mp_pick_first_slot(const Mp *m, uint64_t *free_in_ms);

/* mp_place.c */
bool mp_can_use(const Up *u);
bool mp_can_order(const Up *u, uint64_t now_ms);
void mp_send_order(Mp *m, uint64_t now_ms, Up *u, Model *model,
                   const char *adapter, bool unload);
void mp_count_replicas(Mp *m);
void mp_place_models(Mp *m, uint64_t now_ms);
/* Its load does not need the weight store everywhere. */
bool mp_is_cached(const Model *model);
uint32_t mp_get_load_ms(const Up *u, const DepModel *d, const Model *model,
                        bool *from_store);
GArray *mp_list_shortages(const Mp *m, uint64_t now_ms, bool all);
void mp_prefetch(Mp *m, uint64_t now_ms);
void mp_pursue_goal(Mp *m, uint64_t now_ms, Up *u);

/* mp_adapter.c */
void mp_place_adapters(Mp *m, uint64_t now_ms);

#endif
