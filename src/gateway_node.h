/* gn: the gateway process.  It connects the decision cores (gw, ut, mp, ls,
   rb, wl) to the store, the upstreams and the other gateways:
     gateway_node_store    configuration and upstream entries read from the
                           store
     gateway_node_lease    reads and appends of the lease record
     gateway_node_orders   orders to upstreams and their reports
     gateway_node_links    frames sent to and received from other gateways
     gateway_node_demand   demand of callers, aggregated towards the leader
     gateway_node_content  changes of what each upstream holds
     gateway_node_relay    which gateway this one links to; state of linked
                           gateways
     gateway_node_limits   limits that upstreams name, and slots for them
     gateway_node_rooms    slots of brittle upstreams
     gateway_node_notices  upstreams that ask for rest, or say that they leave
     gateway_node_suspects requests under which upstreams ended, and turns
                           for them
     gateway_node_detours  paths to upstreams, and detours by way of other
                           gateways
     gateway_node_versions the version plan, and which process is at an
                           upstream
     gateway_node_notes    notes of which version began a stream
     gateway_node_clients  what is held for clients, and their limits
     gateway_node_search   finding the leader where the store is unreachable
     main_gateway          settings, listeners, timers, signals
   The leader is the gateway that holds the lease for placement.  Links form a
   tree with the leader at its root and at most one level of relays.  "Up" is
   towards the leader; the members of a gateway are linked to it.  Everything
   runs on the loop's thread; times are of bg_boot_ms. */
#ifndef GATEWAY_NODE_H
#define GATEWAY_NODE_H

#include "client_limits.h"
#include "confirm_stamps.h"
#include "demand_aggregate.h"
#include "detour_server.h"
#include "gateway_request.h"
#include "ini.h"
#include "json_log.h"
#include "lag.h"
#include "lease.h"
#include "model_placement.h"
#include "path_table.h"
#include "relay_plan.h"
#include "retry_budget.h"
#include "store.h"
#include "store_reads.h"
#include "stream_notes.h"
#include "suspects.h"
#include "tcp_links.h"
#include "upstream_table.h"
#include "version_plan.h"
#include "workspace_limits.h"

/* After a read or an append of the version plan that failed. */
#define GN_PLAN_RETRY_MS 100
/* Between batches of notes written to the store, and reads that failed. */
#define GN_NOTES_BATCH_MS 500
/* Between reads of the mailbox where all gateways are linked. */
#define GN_MAIL_READ_INTERVAL_MS 1000

/* The leader's answer to an ask for a slot of a brittle upstream. */
typedef struct {
    UlTicket ticket;
    bool granted;
    uint32_t wait_ms;
} GnRoomAnswer;

/* The last append to the lease topic. */
typedef struct {
    uint64_t id;
    bool pending;    /* not answered yet */
    bool relayed;    /* linked gateways were asked to append it as well */
    bool own_failed; /* the store refused our append or did not answer it */
    StResult own_result;
    uint64_t at; /* appended only if the topic's tail is still here */
    char *value;
    uint64_t sent_ms;
} Renewal;

/* Our own link: to the leader, or to a relay. */
typedef struct {
    char *leader;            /* link address of the leader; NULL: not known */
    char *relay;             /* relay that we were assigned; NULL: none */
    char *unreachable_relay; /* relay that we left last; NULL: none */
    uint64_t leader_timeout_ms; /* without contact to the leader through the
                                   relay: link to the leader itself */
    uint64_t next_search_ms;    /* earliest time of that */
    bool answered; /* a frame came over the link since it opened */
    Lag lag;       /* of the leader's heartbeats */
} Uplink;

/* For whom to link to, see gateway_node_search. */
typedef struct {
    GQueue known; /* char *: control addresses, the last asked first */
    uint64_t next_ms;
} GnSearch;

/* Detours by way of other gateways, and for them. */
typedef struct {
    Pt *paths;
    Ds *server;          /* NULL: this gateway takes none */
    Gwp__Helpers *above; /* as last published to us; NULL: never */
    uint64_t key;        /* of DetourAsk; 0: not known */
    uint64_t former_key; /* still taken */
    bool changed;        /* the helpers known here, since published_ms */
    uint64_t published_ms;
    uint64_t reported_ms;     /* our members were last named to the leader */
    uint64_t reported_digest; /* of what was named then */
    uint64_t probe_ms;        /* an upstream was last probed while cut off */
    uint32_t logged_failed;
    bool logged_cut_off;
} Detours;

typedef struct Gateway {
    struct ev_loop *loop;
    const char *path; /* of the settings */
    IniFile *settings;
    char process[BG_ID_LEN + 1];
    HtPool *pool;
    HtServer *front;
    HtServer *ready;
    HtServer *control; /* NULL: none */
    Cm *client_memory;
    uint64_t clients_shed; /* as last logged */
    uint64_t clients_evicted;
    uint64_t clients_log_ms; /* when that was */
    ClTrim clients_trim;
    St *store;
    StClock *store_clock;
    Sr *reads;
    StWatch *config_watch;
    StWatch *upstream_watch;
    StWatch *mail_watch;     /* NULL: this VM is not the leader */
    Dm *demand;              /* of callers here and at linked gateways */
    GHashTable *members;     /* gateway -> last contact in ms, uint64_t */
    uint64_t mail_ms;        /* last mailbox message sent */
    uint64_t confirmed_ms;   /* the leader last confirmed that ours is the
                                newest configuration */
    GHashTable *odd_entries; /* id -> what is odd about its entry, as logged */
    GHashTable *unpublished; /* upstream -> set of models that changed since
                                the last heartbeat; an empty set: all */
    GPtrArray *unreachable;  /* char *: upstreams found unreachable, not yet
                                published */
    GHashTable *published_loads; /* ut_make_key -> UtTotal, as last sent */
    uint64_t cut_off_ms; /* more than half of the upstreams are cut off from
                            the leader since; 0: no */
    uint64_t tick_ms;    /* the last tick */
    UtSet *upstreams;
    Rb *budget;
    Wl *limits; /* of workspaces */
    Ul *upstream_limits;
    Un *notices;
    Ur *rooms;            /* of brittle upstreams */
    GArray *room_answers; /* GnRoomAnswer: to requests of this gateway */
    Sp *suspects;
    Vp *versions;
    Sn *notes;
    GArray *notes_due;      /* uint64_t: keys of notes that are not sent yet */
    GArray *notes_unstored; /* as leader: keys of those not in the store yet */
    uint64_t notes_ms;      /* a batch was last written to the store */
    uint64_t notes_offset;  /* of the newest batch that was read */
    uint64_t lead_ms;       /* it leads since; 0: it doesn't */
    uint64_t plan_read_ms;  /* a read of the version plan is under way since;
                               0: none is */
    uint64_t plan_asked_ms; /* a request last needed one */
    uint64_t plan_retry_ms; /* no read is begun before */
    uint64_t plan_behind_ms;   /* a newer plan is known since; 0: none */
    uint64_t plan_tail;        /* end of its topic, if plan_listed */
    uint64_t suspects_ms;      /* rows were last published */
    uint64_t suspects_note_ms; /* the note of the lease record was made */
    uint64_t led_ms; /* a leader, or this one as such, was last there */
    Detours detours;
    Gw *gw;
    Mp *placement;
    Ls *lease;
    Renewal renewal;
    Lk *links;
    Uplink uplink;
    BgRandom rng;
    DepConfig *config;    /* NULL: none yet */
    GBytes *config_bytes; /* as written in the store */
    GnSearch search;
    uint64_t config_ms;
    uint64_t start_ms;
    uint64_t leader_ms;   /* the leader's newest heartbeat was sent;
                             0: none received */
    uint32_t fleet;       /* number of gateways, as the leader reported */
    uint32_t notes_batch; /* number of the next */
    uint64_t members_ms;  /* our members were last reported up */
    uint64_t config_request_ms; /* a newer configuration was last requested */
    bool is_leader;             /* at the last tick */
    bool was_leader; /* it is or was the leader, and no other is known since */
    bool leader_reads_store;  /* the leader has current upstream entries */
    bool leader_reads_config; /* and its reads of the configuration are
                                 answered */
    bool informed; /* the leader, or a gateway linked to it, has current
                      upstream entries */
    bool relay_disconnected; /* our relay neither hears the leader nor reads
                                the store */
    bool disconnected;    /* we neither hear the leader nor read the store, as
                             reported to our members */
    bool full_demand_due; /* the next demand goes out whole, not as a
                             delta */
    bool store_unresponsive; /* the last append of the lease got no answer */
    bool has_upstreams;      /* received from another gateway */
    bool asking_room;        /* inside gn_ask_room */
    bool plan_listed;        /* as leader: the topic was read, and only this
                                process has written since */
    bool plan_pending;       /* an append of a plan is under way */
    bool notes_listed;       /* as leader: those of the store were read */
    bool notes_busy;         /* a call of the store is under way */
    ev_timer tick;
    ev_timer demand_timer;
    ev_timer place_timer;
    ev_signal term;
    ev_signal interrupt;
    ev_signal hup;
    ev_stat file; /* the settings */
    uint64_t slow_tick_ms;
    uint64_t demand_ms;          /* demand was last sent */
    uint64_t state_ms;           /* the leader's state was last sent */
    uint64_t limits_ms;          /* levels of limits were last published */
    uint64_t upstream_limits_ms; /* upstreams' limits were last published */
    uint64_t stop_ms;            /* 0: not stopping */
} Gateway;

/* main_gateway */
/* Send demand to the leader within a few ms; calls until then share one
   frame. */
void gn_schedule_demand(Gateway *g);
const char *gn_get_text(const Gateway *g, const char *key);
/* Where other gateways link to this one. */
const char *gn_get_address(const Gateway *g);

/* gateway_node_store */
/* Put C (taken over) in force; WRITTEN is its record in the store. */
void gn_use_config(Gateway *g, DepConfig *c, GBytes *written);
void gn_watch_store(Gateway *g);
void gn_unwatch_store(Gateway *g);
void gn_drop_upstream(Gateway *g, uint64_t now_ms, const char *id);
/* U is taken over.  True if it is new, replaced or draining, which must be
   published. */
bool gn_take_upstream(Gateway *g, uint64_t now_ms, DepUpstream *u);
bool gn_knows_upstreams(const Gateway *g);
/* The store answers this process's reads of the configuration. */
bool gn_reads_config(const Gateway *g, uint64_t now_ms);
/* This process has current upstream entries from the store itself. */
bool gn_reads_store(const Gateway *g, uint64_t now_ms);
/* The link was lost: begins all reads of the store anew. */
void gn_restart_store_reads(Gateway *g, uint64_t now_ms);
/* After the link was lost: wait a random time for updates over a new link
   before the store is read. */
void gn_delay_store_reads(Gateway *g, uint64_t now_ms);
/* Choose which topics are read from the store, and how often. */
void gn_schedule_store_reads(Gateway *g, uint64_t now_ms);
/* The leader reported that VERSION is its configuration. */
void gn_on_config_version(Gateway *g, uint64_t now_ms, uint64_t version);
/* Time since the configuration in force was last known to be the newest. */
uint64_t gn_get_config_age_ms(const Gateway *g, uint64_t now_ms);

/* gateway_node_lease */
void gn_append_lease(void *ctx, uint64_t at, const char *value);
void gn_read_lease(void *ctx, uint64_t from);
void gn_on_lease_changed(void *ctx);
void gn_tick_lease(Gateway *g, uint64_t now_ms);
/* A linked gateway appended for us, or found another record. */
void gn_take_lease_answer(Gateway *g, const Gwp__LeaseAnswer *a);
/* Append for the VM that we are linked to. */
void gn_relay_lease(Gateway *g, const Gwp__LeaseAppend *a);

/* gateway_node_orders */
void gn_on_place_timer(struct ev_loop *loop, ev_timer *t, int events);
void gn_on_placed(void *ctx, const char *upstream, const GPtrArray *models);
void gn_on_unreachable(void *ctx, const char *upstream);
void gn_on_evaluated(void *ctx, const char *model, double capacity,
                     double slow, double load, uint32_t replicas);
void gn_send_order(void *ctx, const MpOrder *order);
void gn_request_report(void *ctx, const DepUpstream *of);
/* Run placement within a few ms; calls until then share one run. */
void gn_schedule_placement(Gateway *g);
/* This VM holds the lease and knows all upstreams. */
bool gn_may_order(const Gateway *g, uint64_t now_ms);
/* A call to UPSTREAM broke off or could not connect: the leader probes it. */
void gn_report_suspicion(Gateway *g, const char *upstream);

/* gateway_node_demand */
/* True: more callers wait than before. */
bool gn_take_demand(Gateway *g, const char *from, const Gwp__Demand *d);
/* Send the demand of callers here and at linked gateways to the leader. */
void gn_send_demand(Gateway *g);
/* Hand the changes of demand to placement. */
void gn_update_placement(Gateway *g, uint64_t now_ms);
void gn_watch_mail(Gateway *g, bool is_leader);
/* Read the mailbox more often while LINKED gateways are fewer than KNOWN. */
void gn_set_mail_interval(Gateway *g, uint32_t linked, uint32_t known);
/* VM was heard from. */
void gn_note_member(Gateway *g, const char *vm);
/* Gateways heard from recently, this one included. */
uint32_t gn_count_members(Gateway *g, uint64_t now_ms);

/* gateway_node_relay */
void gn_fill_hello(void *ctx, Gwp__Hello *hello);
void gn_take_hello(Gateway *g, LkPeer *from, const Gwp__Hello *hello);
void gn_take_members(Gateway *g, LkPeer *from, const Gwp__Members *m);
void gn_take_assign(Gateway *g, const Gwp__Assign *a);
void gn_take_leader(Gateway *g, const Gwp__Holder *h);
void gn_on_peer(void *ctx, LkPeer *peer, bool linked);
void gn_on_link(void *ctx, bool open);
void gn_on_connect_failed(void *ctx);
/* ADDRESS: of the leader's links; NULL: not known. */
void gn_set_leader(Gateway *g, const char *address);
void gn_tick_relay(Gateway *g, uint64_t now_ms);
/* A gateway linked to us reads the store. */
bool gn_has_reader(Gateway *g);
/* One begins streams without the version plan, as its release has none, or
   knew such a one lately. */
bool gn_has_unplanned(Gateway *g);
/* A time stamp of a gateway that is linked to us; see cs. */
void gn_take_stamp(LkPeer *from, uint64_t stamp_ms);
uint64_t gn_find_stamp(const LkPeer *to, uint64_t as_of_ms);
/* A recent heartbeat of the leader arrived, directly or through a relay. */
bool gn_hears_leader(const Gateway *g, uint64_t now_ms);
/* This VM holds the lease at this moment, also if the process was suspended
   since the last tick. */
bool gn_leads(const Gateway *g, uint64_t now_ms);
/* Frames reach another gateway that leads. */
bool gn_has_leader(const Gateway *g, uint64_t now_ms);
/* Set of names of the data centres of this VM and of those linked to it. */
GHashTable *gn_list_linked_data_centres(Gateway *g);
/* Gateways that are linked to us, or to a relay that is. */
uint32_t gn_count_linked(Gateway *g);
/* Adds the helpers (Gwp__Helper *, borrowed) among the gateways linked to us;
   MEMBERS: and among theirs. */
void gn_add_helpers(Gateway *g, bool members, GPtrArray *out);
/* This process stops: order our members to link to the leader. */
void gn_dismiss_members(Gateway *g);
/* The leader's frames arrive too late to be used: a link on the way carries
   less than is sent. */
bool gn_is_lagging(const Gateway *g, uint64_t now_ms);
/* This VM lost the lease and no other leader is known.  It sends no orders
   but still aggregates what its members use and publishes the result. */
bool gn_still_aggregates(const Gateway *g);

/* gateway_node_links */
/* Send FRAME to the linked gateway VM. */
void gn_pass_to_vm(Gateway *g, const char *vm, const Gwp__Frame *frame);
/* Pointers to each of ITEMS, as a repeated field of a frame has them; to be
   freed. */
gpointer *gn_list_pointers(const GArray *items);
/* Publish loads and the heartbeat to all linked gateways. */
void gn_send_state(Gateway *g, uint64_t now_ms);
/* Pass to the limits of workspaces how many gateways there are, and for how
   many this one aggregates.  Without such limits it does nothing. */
void gn_update_fleet(Gateway *g, uint64_t now_ms);
/* Publish the levels of workspaces' limits, unless we get them from an
   aggregator. */
void gn_publish_limits(Gateway *g, uint64_t now_ms);
/* If this VM is the leader, sends its heartbeat to a gateway that has just
   linked, which so hears of the leader at once. */
void gn_send_initial_state(Gateway *g, LkPeer *to);
void gn_on_frame(void *ctx, LkPeer *from, const Gwp__Frame *frame);
void gn_publish_unreachable(Gateway *g);
/* Sends the changes to all linked gateways, and also towards the leader if it
   does not read the store. */
void gn_publish_upstreams(Gateway *g, const GPtrArray *changed,
                          const GPtrArray *gone);
/* Sends all gateways that UPSTREAM, whose entry this is, leaves. */
void gn_publish_leaving(Gateway *g, const DepUpstream *upstream);
/* Report to the VM that we have linked to which upstreams leave: a new leader
   may not know it. */
void gn_report_leaving(Gateway *g);
void gn_request_config(Gateway *g, LkPeer *of);
void gn_publish_all_upstreams(Gateway *g);
/* TO: a linked gateway; NULL: all of them. */
void gn_send_config(Gateway *g, LkPeer *to);
/* Send TO, which has CONFIG_VERSION, the configuration if ours is newer, and
   all upstreams and loads. */
void gn_send_snapshot(Gateway *g, LkPeer *to, uint64_t config_version);

/* gateway_node_content */
/* DepResident list -> Gwp__Resident list that borrows its names. */
void gn_fill_residents(const GPtrArray *models, GPtrArray *out);
GPtrArray *gn_read_residents(size_t n, Gwp__Resident *const *residents);
/* UPSTREAM holds MODELS (taken over) from now on.  The changes go to linked
   gateways with waiting callers at once, to all of them with the next
   heartbeat. */
void gn_set_placement(Gateway *g, const char *upstream, GPtrArray *models);
void gn_take_placement(Gateway *g, const Gwp__Placement *p);
/* Send all linked gateways the changes not yet published. */
void gn_publish_placements(Gateway *g);
/* TO found that its copy of UPSTREAM's models differs from ours. */
void gn_resend_placement(Gateway *g, LkPeer *to, const char *upstream);

/* gateway_node_limits */
/* An answer to this gateway says NAMED of UPSTREAM's limit. */
void gn_on_upstream_named(void *ctx, const char *upstream,
                          const UlNamed *named);
void gn_on_ask_slot(void *ctx, UlTicket ticket, const char *upstream,
                    uint32_t max_wait_ms, uint32_t hold_ms);
/* What is in force here, for a frame; texts are borrowed. */
Gwp__UpstreamLimit gn_make_limit(const Gateway *g, const char *upstream);
/* Whether X is that of a process known here. */
bool gn_is_valid_limit(const Gateway *g, const Gwp__UpstreamLimit *x);
/* FROM: the gateway that sent it; NULL: the VM that we are linked to. */
void gn_take_upstream_limits(Gateway *g, const LkPeer *from,
                             const Gwp__Frame *frame);
void gn_take_slot_ask(Gateway *g, LkPeer *from, const Gwp__Frame *frame);
void gn_take_slot_answer(Gateway *g, const Gwp__Frame *frame);
/* Send all limits known to TO; NULL: to all linked gateways. */
void gn_send_upstream_limits(Gateway *g, LkPeer *to);
/* Report to the VM that we have linked to the limits in force here: a new
   leader may not know them. */
void gn_report_upstream_limits(Gateway *g);
void gn_tick_upstream_limits(Gateway *g, uint64_t now_ms);

/* gateway_node_notices */
/* UPSTREAM's answer to what was sent at SENT_MS says NOTICE. */
void gn_on_notice(void *ctx, const DepUpstream *upstream, uint64_t sent_ms,
                  const UnNotice *notice);
/* From a linked gateway. */
void gn_take_resting(Gateway *g, const Gwp__Frame *frame);
void gn_tick_notices(Gateway *g, uint64_t now_ms);

/* gateway_node_rooms */
/* False: UPSTREAM isn't brittle, so a slot of its room isn't needed. */
bool gn_ask_room(Gateway *g, const char *upstream, const UrAsk *ask);
/* For Ur. */
void gn_on_room_answer(void *ctx, const char *vm, uint64_t ticket,
                       bool granted, uint32_t wait_ms);
/* For GwOutput. */
void gn_on_slot_over(void *ctx, UlTicket ticket, const char *upstream,
                     UrEnd end);
void gn_on_slot_held(void *ctx, UlTicket ticket, const char *upstream,
                     uint32_t hold_ms);
/* From a linked gateway, or this one. */
void gn_take_slot_over(Gateway *g, const Gwp__Frame *frame);
void gn_take_slot_held(Gateway *g, const Gwp__Frame *frame);
void gn_tick_rooms(Gateway *g, uint64_t now_ms);

/* gateway_node_suspects */
/* For GwOutput. */
void gn_on_run(void *ctx, const SpKeys *keys, const char *upstream,
               SpTurn turn, SpResult result);
void gn_on_ask_turn(void *ctx, SpTurn turn, const SpKeys *keys,
                    const char *upstream, uint32_t run_ms);
/* UPSTREAM is gone, can't be reached, or another process has its id. */
void gn_on_upstream_end(Gateway *g, const char *upstream);
/* TO: a linked gateway that is sent all suspects. */
void gn_send_suspects(Gateway *g, LkPeer *to);
/* Report them to the VM that we have linked to. */
void gn_report_suspects(Gateway *g);
/* FROM: the gateway that sent it; NULL: the VM that we are linked to. */
void gn_take_suspects(Gateway *g, const LkPeer *from, const Gwp__Frame *frame);
void gn_take_run(Gateway *g, const Gwp__Frame *frame);
/* FROM: as in gn_take_suspects. */
void gn_take_doubt(Gateway *g, const LkPeer *from, const Gwp__Frame *frame);
void gn_take_turn_ask(Gateway *g, LkPeer *from, const Gwp__Frame *frame);
void gn_take_turn_answer(Gateway *g, const Gwp__Frame *frame);
void gn_tick_suspects(Gateway *g, uint64_t now_ms);
/* The topic of the lease was read. */
void gn_take_lease_note(Gateway *g);
/* An operator lifts the stop of REQUEST. */
void gn_lift_suspect(Gateway *g, uint64_t request);

/* gateway_node_detours */
bool gn_create_detours(Gateway *g, GError **err);
void gn_destroy_detours(Gateway *g);
void gn_tick_detours(Gateway *g, uint64_t now_ms);
/* Helpers among the gateways linked to us, or their members, have changed. */
void gn_on_helpers_changed(Gateway *g);
void gn_take_helpers(Gateway *g, const Gwp__Helpers *m);
/* TO: a linked gateway; NULL: all of them. */
void gn_send_helpers(Gateway *g, LkPeer *to);
/* This gateway alone has no path to the upstreams. */
bool gn_is_cut_off(const Gateway *g, uint64_t now_ms);

/* gateway_node_versions */
/* TO: a linked gateway; NULL: all of them. */
void gn_send_versions(Gateway *g, LkPeer *to);
void gn_take_versions(Gateway *g, const Gwp__VersionPlan *m);
/* Read the version plan in the store. */
void gn_read_versions(Gateway *g);
/* The leader's heartbeat names plan NUMBER as the newest after STAMP_MS, a
   time stamp of ours; 0: it has none. */
void gn_on_plan_number(Gateway *g, uint64_t now_ms, uint64_t number,
                       uint64_t stamp_ms);
/* As leader: change the plan if that is due. */
void gn_tick_versions(Gateway *g, uint64_t now_ms);
/* For GwOutput. */
void gn_on_ask_versions(void *ctx);
void gn_on_ask_process(void *ctx, const DepUpstream *upstream,
                       uint64_t asked_ms);

/* gateway_node_notes */
/* For GwOutput. */
void gn_on_send_note(void *ctx, uint64_t key);
bool gn_on_ask_note(void *ctx, uint64_t key);
/* The plan changed: notes of streams that are unsettled now become due. */
void gn_collect_notes(Gateway *g);
/* Send all notes to the VM that we have linked to: a new leader lacks them. */
void gn_report_notes(Gateway *g);
/* FROM: the gateway that sent it; NULL: the VM that we are linked to. */
void gn_take_notes(Gateway *g, const LkPeer *from, const Gwp__Frame *frame);
void gn_take_note_ask(Gateway *g, LkPeer *from, const Gwp__Frame *frame);
void gn_take_note_answer(Gateway *g, const Gwp__Frame *frame);
/* Send the notes that are due. */
void gn_tick_notes(Gateway *g, uint64_t now_ms);

/* gateway_node_clients */
/* Once all servers listen. */
void gn_create_client_limits(Gateway *g);
/* The settings or the configuration changed. */
void gn_set_client_limits(Gateway *g);
/* For other gateways at a time. */
uint32_t gn_get_max_detours(const Gateway *g);
void gn_tick_clients(Gateway *g, uint64_t now_ms);

/* gateway_node_search */
/* The seeds of the settings may be asked. */
void gn_note_seeds(Gateway *g);
void gn_end_search(Gateway *g);
/* Another gateway answers /introduction at ADDRESS; what is no address of one
   host is ignored. */
void gn_note_control(Gateway *g, const char *address);
/* Ask others where the leader is, if neither it nor the store is heard. */
void gn_tick_search(Gateway *g, uint64_t now_ms);
/* Answer such a request. */
void gn_answer_introduction(Gateway *g, HtExchange *x);

#endif
