/* gn: the gateway's process around its cores, in parts by what they speak
   with: gn_store (configuration, upstreams), gn_lease (the lease), gn_place
   (orders and reports), gn_links (other gateways), gn_demand (what callers
   want, towards the placing VM), gn_placed (what upstreams hold, as it is
   told), gn_relay (who links to whom, and what a new link is told),
   main_gateway (callers, time, signals).  All of it runs on the loop's thread.
 */
#ifndef GN_H
#define GN_H

#include "dm.h"
#include "gw.h"
#include "ini.h"
#include "jl.h"
#include "lag.h"
#include "lk.h"
#include "ls.h"
#include "mp.h"
#include "rb.h"
#include "rl.h"
#include "st.h"
#include "ut.h"
#include "wl.h"

/* The append to the owner topic that is out. */
typedef struct {
    uint64_t id;
    bool out;
    bool relayed;   /* linked gateways were asked for it as well */
    bool own_ended; /* the store did not do it, or did not answer */
    StResult own_end;
    uint64_t at;
    char *value;
    uint64_t sent_ms;
} Renewal;

/* Our own link: to the placing VM, or to a relay. */
typedef struct {
    char *placer;     /* address of the placing VM's links; NULL: not known */
    char *relay;      /* we were sent to; NULL: none */
    char *shunned;    /* relay that could not be reached; NULL: none */
    uint64_t lost_ms; /* it ended last, or the process started */
    uint32_t patience_ms; /* after that the store is asked instead */
    uint64_t alone_ms;    /* without a word of the placing VM for so long we
                            look for it ourselves */
    uint64_t next_try_ms; /* of that look */
    Lag lag;              /* of what the placing VM tells */
} Uplink;

typedef struct Gateway {
    struct ev_loop *loop;
    const char *path;
    IniFile *settings;
    char process[BG_ID_LEN + 1];
    HtPool *pool;
    HtServer *front;
    HtServer *ready;
    HtServer *control; /* NULL: none */
    St *store;
    StWatch *config_watch;
    StWatch *upstream_watch;
    StWatch *mail_watch;   /* NULL: this VM does not place */
    Dm *demand;            /* of callers here and at gateways linked to us */
    GHashTable *members;   /* gateways -> when last heard of, uint64_t */
    uint64_t mail_ms;      /* when mail was last left */
    uint64_t behind_ms;    /* told of a newer configuration since; 0: not */
    uint64_t confirmed_ms; /* ours was the newest, as the placing VM told */
    GHashTable *untold;    /* upstream -> set of models that changed there, for
                              the next beat; an empty set: whole */
    GPtrArray *away;       /* char *: found unreachable, not told yet */
    GHashTable *told;      /* ut_make_key -> UtTotal, as last told down */
    uint64_t cut_off_ms;   /* since when half is cut off; 0: it isn't */
    uint64_t tick_ms;      /* the last */
    UtSet *upstreams;
    Rb *budget;
    Wl *limits; /* of workspaces */
    Gw *gw;
    Mp *placement;
    Ls *lease;
    Renewal renewal;
    Lk *links;
    Uplink uplink;
    BgRandom rng;
    DepConfig *config;    /* NULL: none yet */
    GBytes *config_bytes; /* as written in the store */
    uint64_t next_seed_ms;
    guint next_seed;
    uint64_t config_ms;
    uint64_t start_ms;
    uint64_t
        placer_ms;  /* when what the placing VM last told was sent; 0: never */
    uint32_t fleet; /* gateways, as it told */
    uint64_t members_ms; /* when our members were last told */
    uint64_t asked_ms;   /* for a newer configuration */
    bool placing;        /* this VM held the lease at the last tick */
    bool was_placing;    /* it did, and no other VM is known to place since */
    bool placer_reads;   /* the placing VM reads the store */
    bool informed;       /* it, or a gateway linked to it, does */
    bool relay_blind;    /* our relay neither hears it nor reads the store */
    bool blind;          /* nor do we, as our members were told */
    bool sums_due;       /* all of demand, to whoever places */
    bool store_doubted;  /* it did not answer the last append of the lease */
    bool has_upstreams;  /* taken from another gateway */
    ev_timer tick;
    ev_timer wanted;
    ev_timer place;
    ev_signal term;
    ev_signal interrupt;
    ev_signal hup;
    ev_stat file; /* the settings */
    uint64_t slow_tick_ms;
    uint64_t demand_ms;
    uint64_t state_ms;
    uint64_t limits_ms; /* when levels of limits were last told */
    uint64_t stop_ms;   /* 0: not stopping */
} Gateway;

/* main_gateway */
/* Callers begin to wait: the placing VM is told soon, with what else comes
   meanwhile. */
void gn_schedule_demand(Gateway *g);
const char *gn_get_text(const Gateway *g, const char *key);
/* Where other gateways link to this one. */
const char *gn_get_address(const Gateway *g);

/* gn_store */
void gn_use_config(Gateway *g, DepConfig *c, GBytes *written);
void gn_watch_store(Gateway *g);
void gn_drop_upstream(Gateway *g, uint64_t now_ms, const char *id);
/* U is taken over.  True: others should know, too: it is new, another, or it
   leaves. */
bool gn_take_upstream(Gateway *g, uint64_t now_ms, DepUpstream *u);
bool gn_knows_upstreams(const Gateway *g);
/* This process reads the upstreams' entries of now. */
bool gn_reads_store(const Gateway *g, uint64_t now_ms);
/* The link was lost: whoever has the news will be heard soon. */
void gn_await_news(Gateway *g, uint64_t now_ms);
void gn_follow_store(Gateway *g, uint64_t now_ms);
void gn_follow_version(Gateway *g, uint64_t now_ms, uint64_t version);
/* Since the configuration in force was last known to be the newest. */
uint64_t gn_get_config_age_ms(const Gateway *g, uint64_t now_ms);

/* gn_lease */
void gn_append_lease(void *ctx, uint64_t at, const char *value);
void gn_read_lease(void *ctx, uint64_t from);
void gn_on_lease_changed(void *ctx);
void gn_tick_lease(Gateway *g, uint64_t now_ms);
/* A linked gateway appended for us, or found that another was first. */
void gn_take_lease_answer(Gateway *g, const Gwp__LeaseAnswer *a);
/* Append for the VM that we are linked to. */
void gn_relay_lease(Gateway *g, const Gwp__LeaseAppend *a);

/* gn_place */
void gn_on_place_timer(struct ev_loop *loop, ev_timer *t, int events);
void gn_on_placed(void *ctx, const char *upstream, const GPtrArray *models);
void gn_on_away(void *ctx, const char *upstream);
void gn_on_judged(void *ctx, const char *model, double good, double slow,
                  double load, uint32_t replicas);
void gn_send_order(void *ctx, const MpOrder *order);
void gn_ask_upstream(void *ctx, const DepUpstream *of);
void gn_place_soon(Gateway *g);
/* This VM holds the lease, and knows all upstreams. */
bool gn_may_order(const Gateway *g, uint64_t now_ms);
/* A call to UPSTREAM broke off or found nobody: the placing VM asks it. */
void gn_suspect(Gateway *g, const char *upstream);

/* gn_demand */
/* True: more callers wait than before. */
bool gn_take_demand(Gateway *g, const char *from, const Gwp__Demand *d);
/* What callers here and at linked gateways want, to whoever places. */
void gn_send_demand(Gateway *g);
void gn_update_placement(Gateway *g, uint64_t now_ms);
void gn_watch_mail(Gateway *g, bool places);
void gn_pace_mail(Gateway *g, uint32_t linked, uint32_t known);
void gn_note_member(Gateway *g, const char *vm);
/* Gateways of the last while, this one included. */
uint32_t gn_count_members(Gateway *g, uint64_t now_ms);

/* gn_relay */
void gn_greet(void *ctx, Gwp__Hello *hello);
void gn_take_hello(Gateway *g, LkPeer *from, const Gwp__Hello *hello);
void gn_take_members(Gateway *g, LkPeer *from, const Gwp__Members *m);
void gn_take_assign(Gateway *g, const Gwp__Assign *a);
void gn_take_holder(Gateway *g, const Gwp__Holder *h);
void gn_on_peer(void *ctx, LkPeer *peer, bool here);
void gn_on_link(void *ctx, bool open);
void gn_on_unreached(void *ctx);
/* The placing VM's links are at ADDRESS; NULL: not known. */
void gn_set_placer(Gateway *g, const char *address);
void gn_tick_relay(Gateway *g, uint64_t now_ms);
/* A gateway linked to us reads the store. */
bool gn_has_reader(Gateway *g);
/* The placing VM was heard lately, here or through relays. */
bool gn_hears_placer(const Gateway *g, uint64_t now_ms);
/* Set of names of the data centres of this VM and of those linked to it. */
GHashTable *gn_list_linked_data_centres(Gateway *g);
/* Gateways that are linked to us, or to a relay that is. */
uint32_t gn_count_linked(Gateway *g);
/* Our members are to look for another relay: this process stops. */
void gn_dismiss_members(Gateway *g);

/* What the placing VM tells comes so late that it does not count: a link on
   the way carries less than is sent. */
bool gn_is_told_late(const Gateway *g, uint64_t now_ms);

/* The lease was lost, and nobody else is known to place: this VM orders
   nothing more, but still sums what gateways linked to it use, and tells them.
 */
bool gn_still_sums(const Gateway *g);

/* gn_links */
/* Pointers to each of ITEMS, as a repeated field of a frame has them; to be
   freed. */
gpointer *gn_point_at(const GArray *items);
void gn_send_state(Gateway *g, uint64_t now_ms);
/* How many gateways there are, and for how many this one sums: of use where
   workspaces have limits. */
void gn_follow_fleet(Gateway *g, uint64_t now_ms);
/* What is left of workspaces' limits, where nobody tells us. */
void gn_tell_limits(Gateway *g, uint64_t now_ms);
/* One that has come hears at once that this VM places. */
void gn_greet_member(Gateway *g, LkPeer *to);
void gn_send_death(Gateway *g, uint64_t request, const char *upstream,
                   bool down);
void gn_on_frame(void *ctx, LkPeer *from, const Gwp__Frame *frame);
void gn_tell_away(Gateway *g);
/* To the placing VM as well, where that does not read the store. */
void gn_pass_upstreams(Gateway *g, const GPtrArray *changed,
                       const GPtrArray *gone);
void gn_ask_config(Gateway *g, LkPeer *of);
void gn_pass_all_upstreams(Gateway *g);
void gn_pass_config(Gateway *g, LkPeer *to);
/* All there is, to one that has come. */
void gn_send_all(Gateway *g, LkPeer *to, uint64_t config_version);

/* gn_placed */
/* DepResident list -> Gwp__Resident list that borrows its names. */
void gn_fill_residents(const GPtrArray *models, GPtrArray *out);
GPtrArray *gn_read_residents(size_t n, Gwp__Resident *const *residents);
/* UPSTREAM holds MODELS (taken over) from now on.  All gateways linked to us
   are told what differs: at once where callers wait, the others with the next
   beat. */
void gn_place(Gateway *g, const char *upstream, GPtrArray *models);
void gn_take_placement(Gateway *g, const Gwp__Placement *p);
void gn_tell_the_rest(Gateway *g);
/* One that is linked to us lost count. */
void gn_repeat_placement(Gateway *g, LkPeer *to, const char *upstream);

/* gn_start */
/* Ask another gateway when the store does not answer a starting process. */
void gn_tick_start(Gateway *g, uint64_t now_ms);
/* Answer such a question. */
void gn_answer_introduction(Gateway *g, HtExchange *x);

#endif
