/* Runs the version plan (vp) for the gateways of a script, in virtual time.
   One command a line:

   One plan, without a fleet:
   - plan: begins anew, at 1 s
   - at MS: the time is MS from now on
   - upstream SERVICE VERSION MODEL,...: it is ready; VERSION -: none
   - gone: no upstream is ready any more
   - unplanned: a gateway that follows no plan is linked now
   - propose: the leader's next plan comes into force
   - heartbeat: the leader names its plan now
   - read: the store is read now
   - begin SERVICE MODEL ATTEMPT, resume SERVICE MODEL ATTEMPT: prints the
     answer; ATTEMPT came just now
   - print: prints the plan

   A fleet, whose engines change their version, and whose callers break off
   streams and take them up again; times in ms:
   - fleet GATEWAYS ENGINES MODELS SEED
   - policy notes|plan|keepers|local: how a gateway knows the version that
     began a stream.  plan: by the plan alone.  notes: and by notes of
     unsettled shares, which the leader has, and writes to the store.  keepers:
     three gateways by hash of the attempt are told and asked
   - lag MS, late MS: of messages; how much too young a heartbeat is estimated
   - rollout AT MS: engines change one after another, each MS
   - crash AT SHARE FOR: engines, back at their version under new ids
   - kill WHO|all|leader AT FOR, cut WHO|leader AT FOR, freeze WHO|leader AT
     FOR, outage AT FOR: a cut gateway reaches neither the store nor another
     gateway
   - former WHO FROM TO: it is of the release before the plan between these
     times; what it takes up itself isn't counted
   - link WHO AT MS: its frames take MS longer, on a new connection from AT on;
   slow WHO AT MS: on the same connection.  relay WHO BY: they go through BY.
   With any of these a plan is confirmed by stamps, as the program does, and
   frames wait in the sockets of who stands still
 - reads MS: a new leader's first read of the plan takes so long
 - impatient: all callers take their streams up within 1.2 s, and there are
   more of them
 - run MS: prints how many streams were taken up, might have gone on (an
     upstream of their version serves), did, and are mixed; new ones begun and
     refused at gateways that run; bytes sent for them; and by how many ms
     first events were held back, all together
 */
#include "confirm_stamps.h"
#include "script.h"
#include "tcp_links.h"
#include "version_plan.h"

#include <stdlib.h>
#include <xxhash.h>

#define MAX_GATEWAYS 400
#define MAX_ENGINES 400
#define MAX_VERSIONS 8
#define STEP_MS 20
#define HEARTBEAT_MS 200
#define CHANGE_MS 200 /* between the leader's looks at the fleet */
#define STORE_MS 8
#define LEASE_MS 2500 /* from the loss of a leader to the next one */
#define LIFE_MS 15000
#define ENTRY_MS 500 /* between reads of the engines' entries */
#define KEEPERS 3
#define FRAME_BYTES 40 /* a note to a keeper, a question, or an answer */
#define ROW_BYTES 13   /* a note among others in one frame */
#define BACKUPS 2
#define GATHER_MS 400 /* until a new leader has the notes of others */
#define START_MS 1000
#define NOTE_WAIT_MS 5000 /* a gateway waits so long for a leader's answer */
#define BATCH_MS 500
#define REOPEN_MS 200 /* until a link that was closed is open again */
#define IMPATIENT_MS 1200

typedef struct {
    char name[8];
    uint64_t models; /* a bit for each */
    uint32_t id;
    bool up;
} Engine;

/* A frame on its way. */
typedef struct {
    uint64_t due_ms;
    uint64_t sent_ms;
    uint64_t number; /* of a heartbeat, if PLAN is NULL */
    GBytes *plan;
    bool unplanned; /* of a leader that writes no plan */
    int to;
    int by; /* the relay that it waits for; -1: none, or it has passed it */
    uint64_t confirms_ms; /* stamp of who gets it next; 0: none */
    int from;             /* of a stamp: whose */
    uint64_t stamp_ms;    /* 0: it isn't one */
    uint32_t opened;      /* the link that it is for, counted */
} Frame;

/* A gateway's link, to the leader or to a relay. */
typedef struct {
    uint32_t delay_ms;
    uint64_t due_ms;    /* its last frame comes then: they keep their order */
    uint64_t frozen_ms; /* its gateway stands still since; 0: it doesn't */
    uint64_t open_ms;   /* it is open from then on */
    bool is_relayed;
    int relay;
    bool drops;         /* its gateway looked at the time before it read */
    uint32_t opened;    /* so often */
    uint64_t up_due_ms; /* its last stamp comes then */
    Cs stamps;          /* as whom it is linked to has them */
} Link;

typedef struct {
    Vp *vp;
    GHashTable *notes;  /* attempt -> version */
    uint64_t down_ms;   /* until then; 0: it is up */
    uint64_t cut_ms;    /* until then; 0: it isn't cut */
    uint64_t frozen_ms; /* until then */
    Engine known[MAX_ENGINES];
    uint64_t known_ms;
    uint64_t first_ms;              /* it knows engines since; 0: none */
    uint64_t seen_ms[MAX_VERSIONS]; /* an engine of it was last known */
} Gateway;

typedef struct {
    char attempt[24];
    char version[8];
    uint64_t begun_ms;
    uint64_t resume_ms; /* its caller takes it up then */
    int model;
    int gateway;
    bool unplanned; /* a gateway that follows no plan began it */
    int tries;
    int back_at;      /* the gateway to which its caller came back */
    uint64_t came_ms; /* when; 0: it has not */
} Stream;

typedef struct {
    char kind; /* k, c, f, o, e; l, s: a link's delay is FOR_MS from then on */
    int who;   /* -1: the leader; -2: all */
    uint64_t at_ms;
    uint64_t for_ms;
    double share;
} Fault;

/* Times between which a gateway is of the release before the plan. */
typedef struct {
    uint64_t from_ms;
    uint64_t to_ms;
} Former;

typedef enum { BY_NOTES, BY_PLAN, BY_KEEPERS, BY_LOCAL } Policy;

typedef struct {
    /* one plan */
    Vp *vp;
    VpFleet *fleet;
    uint64_t now_ms;
    /* a fleet */
    BgRandom rng;
    Policy policy;
    uint32_t lag_ms;
    uint32_t late_ms;
    int gateways;
    int engines;
    int models;
    Gateway *all;
    Former *former; /* of each gateway */
    Link *links;    /* the same */
    bool measured;  /* plans are confirmed by stamps */
    bool impatient;
    uint32_t reads_ms;
    uint64_t read_ms; /* the leader's first read is answered then */
    Engine real[MAX_ENGINES];
    uint32_t next_id;
    GBytes *stored;
    GHashTable *notes;    /* of the store: attempt -> version */
    GHashTable *unstored; /* of the leader: the same */
    uint64_t batch_ms;
    uint64_t outage_ms;
    int leader; /* -1: none */
    uint64_t elect_ms;
    uint32_t elections;
    bool leader_read;   /* it has read the store */
    uint64_t gather_ms; /* it has the others' notes then; 0: it has them */
    uint64_t change_ms;
    uint64_t append_ms; /* its append is acknowledged then; 0: none */
    GBytes *appended;
    GQueue frames;
    GArray *faults;
    GPtrArray *streams;
    uint64_t rollout_ms;
    uint64_t rollout_step_ms;
    int rolled;
    int version;
    /* results */
    uint64_t begun;
    uint64_t refused_begins;
    uint64_t taken_up;
    uint64_t possible;
    uint64_t went_on;
    uint64_t mixed;
    uint64_t bytes;
    uint64_t delay_ms;
} Script;

/* ---- one plan ----------------------------------------------------------- */

static void
print_answer(VpAnswer answer, const char *version)
{
    static const char *const names[] = {[VP_AT] = "at",
                                        [VP_UNPLANNED] = "unplanned",
                                        [VP_ASK] = "ask",
                                        [VP_UNSETTLED] = "unsettled"};
    printf("%s%s%s\n", names[answer], answer == VP_AT ? " " : "",
           answer == VP_AT ? version : "");
}

static void
begin_plan(Script *s)
{
    if (s->vp) {
        vp_destroy(s->vp);
        vp_destroy_fleet(s->fleet);
    }
    s->vp = vp_create();
    vp_set_life(s->vp, LIFE_MS);
    s->fleet = vp_create_fleet();
    s->now_ms = START_MS;
}

static void
add_ready(Script *s, char **words)
{
    const char *version = strcmp(words[2], "-") == 0 ? "" : words[2];
    vp_add_upstream(s->fleet, words[1], version);
    char *save;
    for (char *m = strtok_r(words[3], ",", &save); m;
         m = strtok_r(NULL, ",", &save)) {
        vp_add_replica(s->fleet, words[1], version, m);
    }
}

static void
propose(Script *s)
{
    g_autoptr(GBytes) plan = vp_propose(s->vp, s->now_ms, s->fleet);
    if (!plan) {
        puts("no change");
        return;
    }
    gsize len;
    const void *data = g_bytes_get_data(plan, &len);
    printf("plan %llu: %s\n", (unsigned long long)vp_read_number(data, len),
           vp_take(s->vp, s->now_ms, data, len) ? "taken" : "not taken");
}

static void
print_plan(const Script *s)
{
    g_autoptr(GString) out = g_string_new(NULL);
    vp_print(s->vp, out);
    fputs(out->str, stdout);
}

static bool
run_plan_line(Script *s, char **words, int count)
{
    const char *version = NULL;
    if (strcmp(words[0], "plan") == 0) {
        begin_plan(s);
    }
    else if (strcmp(words[0], "at") == 0 && count == 2) {
        s->now_ms = strtoull(words[1], NULL, 10);
    }
    else if (strcmp(words[0], "upstream") == 0 && count == 4) {
        add_ready(s, words);
    }
    else if (strcmp(words[0], "gone") == 0) {
        vp_destroy_fleet(s->fleet);
        s->fleet = vp_create_fleet();
    }
    else if (strcmp(words[0], "propose") == 0) {
        propose(s);
    }
    else if (strcmp(words[0], "heartbeat") == 0) {
        vp_on_heartbeat(s->vp, vp_get_number(s->vp), s->now_ms);
    }
    else if (strcmp(words[0], "read") == 0) {
        vp_on_none(s->vp, s->now_ms);
        vp_on_read(s->vp, vp_get_number(s->vp), s->now_ms);
    }
    else if (strcmp(words[0], "begin") == 0 && count == 4) {
        VpAnswer a =
            vp_begin(s->vp, s->now_ms, words[1], words[2], words[3], &version);
        print_answer(a, version);
    }
    else if (strcmp(words[0], "resume") == 0 && count == 4) {
        VpAnswer a = vp_resume(s->vp, s->now_ms, s->now_ms, words[1], words[2],
                               words[3], &version);
        print_answer(a, version);
    }
    else if (strcmp(words[0], "unplanned") == 0) {
        vp_on_unplanned(s->vp, s->now_ms);
    }
    else if (strcmp(words[0], "print") == 0) {
        print_plan(s);
    }
    else {
        return false;
    }
    return true;
}

/* ---- a fleet: its parts ------------------------------------------------- */

static const char *const SERVICE = "llm";

static void
name_model(int model, char out[8])
{
    (void)g_snprintf(out, 8, "m%d", model);
}

static uint32_t
pick(Script *s, uint32_t below)
{
    return (uint32_t)bg_pick_random(&s->rng, below);
}

static void
start_engine(Script *s, Engine *e, int version, uint64_t models)
{
    (void)g_snprintf(e->name, sizeof(e->name), "v%d", version);
    e->models = models;
    e->id = s->next_id++;
    e->up = true;
}

static void
start_gateway(Gateway *g)
{
    if (g->vp) {
        vp_destroy(g->vp);
        g_hash_table_destroy(g->notes);
    }
    memset(g, 0, sizeof(*g));
    g->vp = vp_create();
    vp_set_life(g->vp, LIFE_MS);
    g->notes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void
create_fleet(Script *s, char **words)
{
    s->gateways = (int)strtol(words[1], NULL, 10);
    s->engines = (int)strtol(words[2], NULL, 10);
    s->models = (int)strtol(words[3], NULL, 10);
    bg_seed_random(&s->rng, strtoull(words[4], NULL, 10));
    s->all = g_new0(Gateway, s->gateways);
    s->former = g_new0(Former, s->gateways);
    s->links = g_new0(Link, s->gateways);
    for (int i = 0; i < s->gateways; i++) {
        start_gateway(&s->all[i]);
    }
    for (int i = 0; i < s->engines; i++) {
        /* The first model is held by all, each other one by one or two. */
        uint64_t models = 1;
        for (int m = 1; m < s->models; m++) {
            bool holds = m % s->engines == i || (m * 7 + 3) % s->engines == i;
            models |= (uint64_t)holds << m;
        }
        start_engine(s, &s->real[i], 1, models);
    }
    s->version = 1;
    s->leader = -1;
    s->lag_ms = 5;
    s->faults = g_array_new(FALSE, FALSE, sizeof(Fault));
    s->streams = g_ptr_array_new_with_free_func(g_free);
    s->notes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    s->unstored =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    g_queue_init(&s->frames);
}

static bool
is_up(const Script *s, const Gateway *g)
{
    return s->now_ms >= g->down_ms && s->now_ms >= g->frozen_ms;
}

static bool
is_linked(const Script *s, const Gateway *g)
{
    return is_up(s, g) && s->now_ms >= g->cut_ms;
}

static bool
is_former(const Script *s, int gateway)
{
    const Former *f = &s->former[gateway];
    return s->now_ms >= f->from_ms && s->now_ms < f->to_ms;
}

static bool
reaches_store(const Script *s, const Gateway *g)
{
    return is_linked(s, g) && s->now_ms >= s->outage_ms;
}

static void
take_stored(Script *s, Gateway *g, uint64_t asked_ms)
{
    if (!s->stored) {
        vp_on_none(g->vp, asked_ms);
        return;
    }
    gsize len;
    const void *data = g_bytes_get_data(s->stored, &len);
    vp_take(g->vp, s->now_ms, data, len);
    vp_on_read(g->vp, vp_read_number(data, len), asked_ms);
}

/* ---- notes -------------------------------------------------------------- */

static void
take_note(Gateway *g, const char *attempt, const char *version)
{
    g_hash_table_replace(g->notes, g_strdup(attempt), g_strdup(version));
}

/* To the leader, and by it to others. */
static void
send_note(Script *s, Gateway *from, const char *attempt, const char *version)
{
    Gateway *to = s->leader >= 0 ? &s->all[s->leader] : NULL;
    if (!to || !is_linked(s, from) || !is_linked(s, to)) {
        return;
    }
    take_note(to, attempt, version);
    g_hash_table_replace(s->unstored, g_strdup(attempt), g_strdup(version));
    s->bytes += ROW_BYTES;
    for (int i = 0; from == to && i < BACKUPS; i++) {
        Gateway *backup = &s->all[pick(s, (uint32_t)s->gateways)];
        s->bytes += ROW_BYTES;
        if (is_linked(s, backup)) {
            take_note(backup, attempt, version);
        }
    }
}

static bool
has_unsettled_share(const Gateway *g, const Stream *x)
{
    char model[8];
    name_model(x->model, model);
    return vp_is_unsettled(g->vp, SERVICE, model, x->attempt);
}

/* G has taken a plan. */
static void
send_unsettled(Script *s, int gateway)
{
    Gateway *g = &s->all[gateway];
    for (guint i = 0; s->policy == BY_NOTES && i < s->streams->len; i++) {
        const Stream *x = s->streams->pdata[i];
        if (x->gateway == gateway && has_unsettled_share(g, x) &&
            g_hash_table_contains(g->notes, x->attempt)) {
            send_note(s, g, x->attempt, x->version);
        }
    }
}

static void
store_notes(Script *s)
{
    if (s->leader < 0 || s->now_ms < s->batch_ms + BATCH_MS ||
        !reaches_store(s, &s->all[s->leader])) {
        return;
    }
    s->batch_ms = s->now_ms;
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, s->unstored);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        g_hash_table_replace(s->notes, g_strdup(k), g_strdup(v));
        s->bytes += ROW_BYTES;
    }
    g_hash_table_remove_all(s->unstored);
}

static void
read_stored_notes(Script *s)
{
    GHashTableIter it;
    gpointer k;
    gpointer v;
    g_hash_table_iter_init(&it, s->notes);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        take_note(&s->all[s->leader], k, v);
    }
}

static void
gather_notes(Script *s)
{
    if (s->policy != BY_NOTES || s->leader < 0 || s->gather_ms == 0 ||
        s->now_ms < s->gather_ms || !reaches_store(s, &s->all[s->leader])) {
        return;
    }
    s->gather_ms = 0;
    read_stored_notes(s);
    for (int i = 0; i < s->gateways; i++) {
        Gateway *g = &s->all[i];
        GHashTableIter it;
        gpointer k;
        gpointer v;
        g_hash_table_iter_init(&it, g->notes);
        while (i != s->leader && g_hash_table_iter_next(&it, &k, &v)) {
            send_note(s, g, k, v);
        }
    }
}

/* ---- the leader --------------------------------------------------------- */

/* Frames reach its socket: who stands still is missed only after a time. */
static bool
is_reached(const Script *s, int who)
{
    const Gateway *g = &s->all[who];
    uint64_t since_ms = s->links[who].frozen_ms;
    if (!s->measured) {
        return is_linked(s, g);
    }
    return s->now_ms >= g->down_ms && s->now_ms >= g->cut_ms &&
           s->now_ms >= s->links[who].open_ms &&
           (!since_ms || s->now_ms < since_ms + 2 * LK_SILENT_MS);
}

/* The relay of WHO; -1: it is linked to the leader. */
static int
get_relay(const Script *s, int who)
{
    const Link *l = &s->links[who];
    return l->is_relayed && l->relay != s->leader && l->relay != who ? l->relay
                                                                     : -1;
}

/* F is put on the way of the link of WHO. */
static void
pass_link(Script *s, Frame *f, int who)
{
    Link *l = &s->links[who];
    l->due_ms = MAX(l->due_ms, f->due_ms + l->delay_ms);
    f->due_ms = l->due_ms;
}

/* The stamp of WHO that the leader's plan is sent back with. */
static uint64_t
confirm(const Script *s, int who)
{
    return s->leader_read ? cs_find(&s->links[who].stamps, s->now_ms) : 0;
}

static void
open_link(Script *s, int who)
{
    Link *l = &s->links[who];
    l->stamps = (Cs){0};
    l->opened++;
}

static Frame *
send_frame(Script *s, int to, GBytes *plan, uint64_t number)
{
    const Gateway *from = &s->all[s->leader];
    int by = get_relay(s, to);
    if (to == s->leader || !is_linked(s, from) ||
        !is_reached(s, by >= 0 ? by : to)) {
        return NULL;
    }
    Frame *f = g_new0(Frame, 1);
    f->due_ms = s->now_ms + 1 + pick(s, s->lag_ms * 2);
    f->sent_ms = s->now_ms;
    f->number = number;
    f->plan = plan ? g_bytes_ref(plan) : NULL;
    f->to = to;
    f->by = by;
    if (s->measured) {
        int first = by >= 0 ? by : to;
        f->opened = s->links[to].opened;
        f->confirms_ms = confirm(s, first);
        pass_link(s, f, first);
    }
    g_queue_push_tail(&s->frames, f);
    return f;
}

/* As of when F's heartbeat confirms the plan, as its receiver takes it. */
static uint64_t
find_confirmed(const Script *s, const Frame *f)
{
    return s->measured ? f->confirms_ms : f->sent_ms + s->late_ms;
}

/* As the program's messages of demand do. */
static void
send_stamps(Script *s)
{
    for (int i = 0; s->measured && s->now_ms % HEARTBEAT_MS == 0 &&
                    s->leader >= 0 && i < s->gateways;
         i++) {
        Link *l = &s->links[i];
        int relay = get_relay(s, i);
        int to = relay >= 0 ? relay : s->leader;
        if (i == s->leader || !is_linked(s, &s->all[i]) ||
            s->now_ms < l->open_ms || !is_reached(s, to)) {
            continue;
        }
        Frame *f = g_new0(Frame, 1);
        l->up_due_ms =
            MAX(l->up_due_ms,
                s->now_ms + 1 + pick(s, s->lag_ms * 2) + l->delay_ms);
        f->due_ms = l->up_due_ms;
        f->to = to;
        f->by = -1;
        f->from = i;
        f->stamp_ms = s->now_ms;
        f->opened = l->opened;
        g_queue_push_tail(&s->frames, f);
    }
}

static void
take_stamp(Script *s, const Frame *f)
{
    Link *l = &s->links[f->from];
    int relay = get_relay(s, f->from);
    if (f->opened == l->opened && f->to == (relay >= 0 ? relay : s->leader) &&
        is_linked(s, &s->all[f->to])) {
        cs_take(&l->stamps, s->now_ms, f->stamp_ms);
    }
}

static void
deliver(Script *s, Frame *f)
{
    Gateway *g = &s->all[f->to];
    if (s->now_ms < g->down_ms || s->now_ms < g->cut_ms) {
        return; /* lost with its connection */
    }
    if (is_former(s, f->to)) {
        return;
    }
    if (f->unplanned) {
        vp_on_unplanned(g->vp, s->now_ms);
    }
    else if (f->plan) {
        gsize len;
        const void *data = g_bytes_get_data(f->plan, &len);
        vp_take(g->vp, s->now_ms, data, len);
        send_unsettled(s, f->to);
    }
    else {
        vp_on_heartbeat(g->vp, f->number, find_confirmed(s, f));
    }
}

static void
free_frame(Frame *f)
{
    if (f->plan) {
        g_bytes_unref(f->plan);
    }
    g_free(f);
}

/* True: F has reached its relay, and goes on. */
static bool
relay_frame(Script *s, Frame *f)
{
    bool goes_on = f->by >= 0 && !s->links[f->by].drops &&
                   is_linked(s, &s->all[f->by]) && is_reached(s, f->to);
    if (goes_on) {
        f->by = -1;
        f->confirms_ms = cs_find(&s->links[f->to].stamps, f->confirms_ms);
        f->opened = s->links[f->to].opened;
        f->due_ms = s->now_ms + 1;
        pass_link(s, f, f->to);
    }
    return goes_on;
}

static void
take_frame(Script *s, Frame *f)
{
    if (f->by >= 0 || s->links[f->to].drops) {
        return;
    }
    if (f->stamp_ms) {
        take_stamp(s, f);
    }
    else {
        deliver(s, f);
    }
}

static bool
was_silent(const Script *s, int who)
{
    const Link *l = &s->links[who];
    return l->frozen_ms && s->now_ms >= s->all[who].frozen_ms &&
           s->now_ms > l->frozen_ms + LK_SILENT_MS;
}

/* Links of who stood still for long are closed by whoever waits for them, and
   by their gateway, before or after it reads what waited there. */
static void
wake_links(Script *s)
{
    for (int i = 0; s->measured && i < s->gateways; i++) {
        s->links[i].drops = was_silent(s, i) && pick(s, 2);
        for (int k = 0; was_silent(s, i) && k < s->gateways; k++) {
            if (get_relay(s, k) == i) {
                open_link(s, k);
            }
        }
    }
}

static void
reopen_links(Script *s)
{
    for (int i = 0; s->measured && i < s->gateways; i++) {
        Link *l = &s->links[i];
        bool is_cut = s->now_ms < s->all[i].cut_ms && !l->frozen_ms;
        if (was_silent(s, i) || is_cut) {
            open_link(s, i);
            l->open_ms = s->now_ms + REOPEN_MS;
        }
        l->drops = false;
        l->frozen_ms = s->now_ms >= s->all[i].frozen_ms ? 0 : l->frozen_ms;
    }
}

static void
deliver_frames(Script *s)
{
    wake_links(s);
    for (GList *l = s->frames.head; l;) {
        GList *next = l->next;
        Frame *f = l->data;
        const Gateway *at = &s->all[f->by >= 0 ? f->by : f->to];
        if (s->now_ms >= MAX(f->due_ms, at->frozen_ms) && !relay_frame(s, f)) {
            take_frame(s, f);
            free_frame(f);
            g_queue_delete_link(&s->frames, l);
        }
        l = next;
    }
    reopen_links(s);
}

static void
elect(Script *s)
{
    if (s->leader >= 0 && reaches_store(s, &s->all[s->leader])) {
        s->elect_ms = s->now_ms + LEASE_MS;
        return;
    }
    if (s->now_ms < s->elect_ms) {
        return;
    }
    for (int tries = 0; tries < s->gateways; tries++) {
        int i = (int)pick(s, (uint32_t)s->gateways);
        if (reaches_store(s, &s->all[i])) {
            s->leader = i;
            s->leader_read = false;
            s->elections++;
            s->append_ms = 0;
            s->read_ms = s->now_ms + s->reads_ms;
            for (int k = 0; k < s->gateways; k++) {
                open_link(s, k);
            }
            g_hash_table_remove_all(s->unstored); /* with its process */
            s->gather_ms = s->now_ms + GATHER_MS;
            s->elect_ms = s->now_ms + LEASE_MS;
            return;
        }
    }
}

/* For a stream's life it knew engines of one version only. */
static bool
is_single(const Script *s, const Gateway *g)
{
    int recent = 0;
    for (int i = 0; i < MAX_VERSIONS; i++) {
        recent += g->seen_ms[i] && s->now_ms < g->seen_ms[i] + LIFE_MS;
    }
    bool fresh = s->now_ms < g->known_ms + 2 * ENTRY_MS;
    return fresh && g->first_ms && s->now_ms >= g->first_ms + LIFE_MS &&
           recent == 1;
}

static GBytes *
propose_plan(Script *s, const Gateway *g)
{
    VpFleet *fleet = vp_create_fleet();
    for (int i = 0; i < s->engines; i++) {
        const Engine *e = &g->known[i];
        if (!e->up) {
            continue;
        }
        vp_add_upstream(fleet, SERVICE, e->name);
        for (int m = 0; m < s->models; m++) {
            char model[8];
            name_model(m, model);
            if (e->models >> m & 1) {
                vp_add_replica(fleet, SERVICE, e->name, model);
            }
        }
    }
    if (is_single(s, g)) {
        vp_set_single(fleet, SERVICE);
    }
    GBytes *plan = vp_propose(g->vp, s->now_ms, fleet);
    vp_destroy_fleet(fleet);
    return plan;
}

static void
finish_append(Script *s, Gateway *g)
{
    gsize len;
    const void *data = g_bytes_get_data(s->appended, &len);
    s->append_ms = 0;
    vp_take(g->vp, s->now_ms, data, len);
    send_unsettled(s, s->leader);
    for (int i = 0; i < s->gateways; i++) {
        send_frame(s, i, s->appended, 0);
    }
}

/* The leader tells all that are linked to it how many they are. */
static void
count_gateways(Script *s)
{
    uint32_t linked = 0;
    for (int i = 0; i < s->gateways; i++) {
        linked += is_linked(s, &s->all[i]);
    }
    for (int i = 0; i < s->gateways; i++) {
        if (is_linked(s, &s->all[i])) {
            vp_on_gateways(s->all[i].vp, s->now_ms, linked);
        }
    }
}

static void
lead_unplanned(Script *s)
{
    for (int i = 0; s->now_ms % HEARTBEAT_MS == 0 && i < s->gateways; i++) {
        Frame *f = send_frame(s, i, NULL, 0);
        if (f) {
            f->unplanned = true;
        }
    }
}

/* The leader sees whom it is linked to. */
static void
find_unplanned(Script *s, Gateway *g)
{
    for (int i = 0; is_linked(s, g) && i < s->gateways; i++) {
        const Gateway *other = &s->all[i];
        bool knows =
            is_former(s, i) || vp_may_be_unplanned(other->vp, s->now_ms);
        if (other != g && knows && is_linked(s, other)) {
            vp_on_unplanned(g->vp, s->now_ms);
        }
    }
}

static void
lead(Script *s)
{
    if (s->leader < 0 || s->policy > BY_PLAN) {
        return;
    }
    if (is_former(s, s->leader)) {
        lead_unplanned(s);
        return;
    }
    Gateway *g = &s->all[s->leader];
    bool leads = s->now_ms + LEASE_MS / 2 < s->elect_ms;
    if (!is_up(s, g) || !leads) {
        return;
    }
    find_unplanned(s, g);
    if (!s->leader_read && s->now_ms >= s->read_ms && reaches_store(s, g)) {
        take_stored(s, g, s->now_ms);
        s->leader_read = true;
    }
    if (s->leader_read && vp_get_number(g->vp) == 0 && s->elections > 1) {
        vp_on_unplanned(g->vp, s->now_ms);
    }
    if (s->append_ms && s->now_ms >= s->append_ms && is_linked(s, g)) {
        finish_append(s, g);
    }
    if (s->now_ms % HEARTBEAT_MS == 0 && (s->leader_read || s->measured)) {
        if (s->leader_read) {
            vp_on_heartbeat(g->vp, vp_get_number(g->vp), s->now_ms);
        }
        if (is_linked(s, g)) {
            count_gateways(s);
        }
        for (int i = 0; i < s->gateways; i++) {
            send_frame(s, i, NULL, vp_get_number(g->vp));
        }
    }
    if (s->now_ms < s->change_ms || s->append_ms || !s->leader_read ||
        !reaches_store(s, g)) {
        return;
    }
    s->change_ms = s->now_ms + CHANGE_MS;
    GBytes *plan = propose_plan(s, g);
    if (plan) { /* the store has it at once, and answers later */
        if (s->stored) {
            g_bytes_unref(s->stored);
        }
        s->stored = plan;
        s->appended = plan;
        s->append_ms = s->now_ms + STORE_MS;
    }
}

/* ---- faults ------------------------------------------------------------- */

static void
hit(Script *s, const Fault *f, int who)
{
    Gateway *g = &s->all[who];
    uint64_t until_ms = s->now_ms + f->for_ms;
    if (f->kind == 'k') {
        start_gateway(g);
        g->down_ms = until_ms;
        if (who == s->leader) {
            s->leader = -1;
            s->append_ms = 0;
            s->elect_ms = s->now_ms + LEASE_MS;
        }
        for (guint i = 0; i < s->streams->len; i++) {
            Stream *x = s->streams->pdata[i];
            if (x->gateway == who && x->resume_ms > until_ms) {
                x->resume_ms = s->now_ms + 20 + pick(s, 6000);
            }
        }
    }
    else if (f->kind == 'c') {
        g->cut_ms = until_ms;
    }
    else {
        g->frozen_ms = until_ms;
        s->links[who].frozen_ms = s->now_ms;
    }
}

static void
change_link(Script *s, const Fault *f)
{
    Link *l = &s->links[f->who];
    l->delay_ms = (uint32_t)f->for_ms;
    if (f->kind == 'l') {
        l->due_ms = s->now_ms;
        open_link(s, f->who);
    }
}

static void
crash_engines(Script *s, const Fault *f)
{
    for (int i = 0; i < s->engines; i++) {
        Engine *e = &s->real[i];
        if (pick(s, 1000) < f->share * 1000) {
            uint64_t models = e->models;
            e->id = s->next_id++;
            /* What it held may be loaded elsewhere meanwhile. */
            s->real[pick(s, (uint32_t)s->engines)].models |= models;
            e->models = 1;
        }
    }
}

static void
apply_faults(Script *s)
{
    for (guint i = 0; i < s->faults->len; i++) {
        const Fault *f = &g_array_index(s->faults, Fault, i);
        if (s->now_ms < f->at_ms || s->now_ms >= f->at_ms + STEP_MS) {
            continue;
        }
        if (f->kind == 'o') {
            s->outage_ms = s->now_ms + f->for_ms;
        }
        else if (f->kind == 'e') {
            crash_engines(s, f);
        }
        else if (f->kind == 'l' || f->kind == 's') {
            change_link(s, f);
        }
        int leader = s->leader;
        for (int k = 0; strchr("kcf", f->kind) && k < s->gateways; k++) {
            if (f->who == -2 || k == (f->who < 0 ? leader : f->who)) {
                hit(s, f, k);
            }
        }
    }
    if (s->rollout_ms && s->now_ms >= s->rollout_ms &&
        s->rolled < s->engines) {
        Engine *e = &s->real[s->rolled++];
        start_engine(s, e, s->version, e->models);
        s->rollout_ms += s->rollout_step_ms;
    }
}

/* ---- streams ------------------------------------------------------------ */

static void
note_versions(const Script *s, Gateway *g)
{
    g->first_ms = g->first_ms ? g->first_ms : s->now_ms;
    for (int i = 0; i < s->engines; i++) {
        int version = g->known[i].name[1] - '0';
        if (version > 0 && version < MAX_VERSIONS) {
            g->seen_ms[version] = s->now_ms;
        }
    }
}

static void
look_at_engines(Script *s)
{
    for (int i = 0; i < s->gateways; i++) {
        Gateway *g = &s->all[i];
        if (s->now_ms >= g->known_ms + ENTRY_MS && reaches_store(s, g)) {
            note_versions(s, g); /* it learns now of those that went */
            memcpy(g->known, s->real, sizeof(g->known));
            g->known_ms = s->now_ms;
            note_versions(s, g);
        }
    }
}

/* The engine that G sends to, as it really is; NULL: none that it knows is
   there. */
static const Engine *
choose_engine(Script *s, const Gateway *g, int model, const char *version)
{
    uint32_t first = pick(s, (uint32_t)s->engines);
    for (int k = 0; k < s->engines; k++) {
        uint32_t i = (first + (uint32_t)k) % (uint32_t)s->engines;
        const Engine *e = &g->known[i];
        bool fits = e->up && e->models >> model & 1 &&
                    (!version || strcmp(e->name, version) == 0);
        /* Another process at that address answers that it is another. */
        if (fits && s->real[i].up && s->real[i].id == e->id) {
            return &s->real[i];
        }
    }
    return NULL;
}

static void
tell_keepers(Script *s, const Stream *x)
{
    for (int k = 0; k < KEEPERS; k++) {
        uint64_t h = XXH64(x->attempt, strlen(x->attempt), (uint64_t)k);
        Gateway *g = &s->all[h % (uint64_t)s->gateways];
        s->bytes += FRAME_BYTES * 2;
        if (is_linked(s, g) && is_linked(s, &s->all[x->gateway])) {
            take_note(g, x->attempt, x->version);
        }
    }
}

static const char *
ask_keepers(Script *s, Gateway *from, const char *attempt)
{
    const char *own = g_hash_table_lookup(from->notes, attempt);
    for (int k = 0; !own && s->policy == BY_KEEPERS && k < KEEPERS; k++) {
        uint64_t h = XXH64(attempt, strlen(attempt), (uint64_t)k);
        const Gateway *g = &s->all[h % (uint64_t)s->gateways];
        s->bytes += FRAME_BYTES * 2;
        if (is_linked(s, g) && is_linked(s, from)) {
            own = g_hash_table_lookup(g->notes, attempt);
        }
    }
    return own;
}

/* The only version that G knows; NULL: several, or none. */
static const char *
find_only(const Script *s, const Gateway *g)
{
    const char *only = NULL;
    for (int i = 0; i < s->engines; i++) {
        const Engine *e = &g->known[i];
        if (e->up && only && strcmp(only, e->name) != 0) {
            return NULL;
        }
        only = e->up ? e->name : only;
    }
    return only;
}

static bool
may_begin(Script *s, Gateway *g, const Stream *x, const char **version)
{
    char model[8];
    name_model(x->model, model);
    *version = NULL;
    if (s->policy > BY_PLAN || x->unplanned) {
        return true;
    }
    VpAnswer a =
        vp_begin(g->vp, s->now_ms, SERVICE, model, x->attempt, version);
    if (a == VP_ASK && reaches_store(s, g)) {
        take_stored(s, g, s->now_ms);
        s->delay_ms += STORE_MS;
        a = vp_begin(g->vp, s->now_ms, SERVICE, model, x->attempt, version);
    }
    bool none = vp_get_number(g->vp) == 0;
    bool any = find_only(s, g) || vp_may_be_unplanned(g->vp, s->now_ms);
    return a == VP_AT || (none && any);
}

static void
begin_stream(Script *s)
{
    Stream *x = g_new0(Stream, 1);
    x->gateway = (int)pick(s, (uint32_t)s->gateways);
    Gateway *g = &s->all[x->gateway];
    x->model = pick(s, 2) ? 0 : (int)pick(s, (uint32_t)s->models);
    (void)g_snprintf(x->attempt, sizeof(x->attempt), "%016llx",
                     (unsigned long long)bg_next_random(&s->rng));
    x->begun_ms = s->now_ms;
    x->resume_ms =
        pick(s, 4) ? UINT64_MAX : s->now_ms + 200 + pick(s, LIFE_MS - 500);
    if (s->impatient) {
        x->resume_ms = s->now_ms + STEP_MS + pick(s, IMPATIENT_MS);
    }
    x->unplanned = is_former(s, x->gateway);
    const char *version;
    const Engine *e = is_up(s, g) && may_begin(s, g, x, &version)
                          ? choose_engine(s, g, x->model, version)
                          : NULL;
    s->refused_begins += is_up(s, g) && !e;
    if (!e) {
        g_free(x);
        return;
    }
    s->begun++;
    g_strlcpy(x->version, e->name, sizeof(x->version));
    if (x->unplanned) {
        g_ptr_array_add(s->streams, x);
        return;
    }
    take_note(g, x->attempt, x->version);
    if (s->policy == BY_KEEPERS) { /* they answer before it goes out */
        tell_keepers(s, x);
        s->delay_ms += 2 * (1 + pick(s, s->lag_ms * 2));
    }
    if (s->policy == BY_NOTES && has_unsettled_share(g, x)) {
        send_note(s, g, x->attempt, x->version);
    }
    g_ptr_array_add(s->streams, x);
}

/* By this gateway's notes, or else the leader's. */
static const char *
find_note(Script *s, const Gateway *g, const Stream *x)
{
    const char *own = g_hash_table_lookup(g->notes, x->attempt);
    if (own || s->leader < 0 || !has_unsettled_share(g, x)) {
        return own;
    }
    const Gateway *leader = &s->all[s->leader];
    s->bytes += FRAME_BYTES * 2;
    return is_linked(s, g) && is_linked(s, leader)
               ? g_hash_table_lookup(leader->notes, x->attempt)
               : NULL;
}

static const char *
find_version(Script *s, Gateway *g, const Stream *x)
{
    char model[8];
    name_model(x->model, model);
    if (s->policy > BY_PLAN) {
        return ask_keepers(s, g, x->attempt);
    }
    const char *version = s->policy == BY_NOTES ? find_note(s, g, x) : NULL;
    if (version) {
        return version;
    }
    if (vp_may_be_unplanned(g->vp, s->now_ms) && !is_single(s, g) &&
        !has_unsettled_share(g, x)) {
        return NULL;
    }
    VpAnswer a = vp_resume(g->vp, s->now_ms, x->came_ms, SERVICE, model,
                           x->attempt, &version);
    if (a == VP_ASK && reaches_store(s, g)) {
        take_stored(s, g, s->now_ms);
        a = vp_resume(g->vp, s->now_ms, x->came_ms, SERVICE, model, x->attempt,
                      &version);
    }
    if (a == VP_AT) {
        return version;
    }
    /* Without any plan gateways that follow none may be there. */
    bool planned = vp_get_number(g->vp) > 0 || is_single(s, g);
    return a == VP_UNPLANNED && planned ? find_only(s, g) : NULL;
}

static bool
is_served(const Script *s, const Stream *x)
{
    for (int i = 0; i < s->engines; i++) {
        const Engine *e = &s->real[i];
        if (e->up && strcmp(e->name, x->version) == 0 &&
            e->models >> x->model & 1) {
            return true;
        }
    }
    return false;
}

/* The leader tells G whether it has a note. */
static bool
is_answered(const Script *s, const Gateway *g)
{
    return s->leader >= 0 && s->gather_ms == 0 && is_linked(s, g) &&
           is_linked(s, &s->all[s->leader]);
}

/* Its caller comes to a gateway that runs, if it finds one. */
static bool
come_back(Script *s, Stream *x)
{
    x->back_at = (int)pick(s, (uint32_t)s->gateways);
    if (is_former(s, x->back_at)) {
        x->resume_ms = UINT64_MAX;
        return false;
    }
    if (!is_up(s, &s->all[x->back_at])) {
        x->resume_ms = x->tries++ < 3 ? s->now_ms + 300 : UINT64_MAX;
        return false;
    }
    x->came_ms = s->now_ms;
    s->taken_up++;
    return true;
}

static void
take_up(Script *s, Stream *x)
{
    if (!x->came_ms && !come_back(s, x)) {
        return;
    }
    Gateway *g = &s->all[x->back_at];
    x->resume_ms = UINT64_MAX;
    if (!is_up(s, g) || s->now_ms > x->begun_ms + LIFE_MS) {
        return;
    }
    const char *version = find_version(s, g, x);
    if (!version && s->policy == BY_NOTES && has_unsettled_share(g, x) &&
        !is_answered(s, g) && s->now_ms < x->came_ms + NOTE_WAIT_MS) {
        x->resume_ms = s->now_ms + STEP_MS;
        return;
    }
    bool possible = is_served(s, x) && reaches_store(s, g) && !x->unplanned;
    const Engine *e = version ? choose_engine(s, g, x->model, version) : NULL;
    s->possible += possible;
    s->went_on += possible && e;
    s->mixed += e && strcmp(e->name, x->version) != 0;
}

static gboolean
is_over(gconstpointer stream, uint64_t now_ms)
{
    return now_ms > ((const Stream *)stream)->begun_ms + LIFE_MS;
}

static void
run_streams(Script *s)
{
    uint32_t new_streams = 1 + pick(s, s->impatient ? 10 : 3);
    for (uint32_t i = 0; i < new_streams; i++) {
        begin_stream(s);
    }
    for (guint i = 0; i < s->streams->len;) {
        Stream *x = s->streams->pdata[i];
        if (s->now_ms >= x->resume_ms) {
            take_up(s, x);
        }
        if (is_over(x, s->now_ms)) {
            g_ptr_array_remove_index_fast(s->streams, i);
        }
        else {
            i++;
        }
    }
}

static void
run_fleet(Script *s, uint64_t for_ms)
{
    uint64_t end_ms = START_MS + for_ms;
    for (s->now_ms = START_MS; s->now_ms < end_ms; s->now_ms += STEP_MS) {
        apply_faults(s);
        look_at_engines(s);
        elect(s);
        gather_notes(s);
        store_notes(s);
        deliver_frames(s);
        send_stamps(s);
        lead(s);
        if (s->now_ms > START_MS + 3000) {
            run_streams(s);
        }
    }
    printf("taken up %llu possible %llu went on %llu mixed %llu begun %llu "
           "refused %llu bytes %llu delay %llu\n",
           (unsigned long long)s->taken_up, (unsigned long long)s->possible,
           (unsigned long long)s->went_on, (unsigned long long)s->mixed,
           (unsigned long long)s->begun, (unsigned long long)s->refused_begins,
           (unsigned long long)s->bytes, (unsigned long long)s->delay_ms);
}

/* ---- commands ----------------------------------------------------------- */

static int
read_who(const Script *s, const char *word)
{
    return strcmp(word, "all") == 0 ? -2
           : strcmp(word, "leader") == 0
               ? -1
               : (int)strtol(word, NULL, 10) % s->gateways;
}

static void
add_fault(Script *s, char kind, int who, const char *at, const char *length,
          double share)
{
    Fault f = {kind, who, START_MS + strtoull(at, NULL, 10),
               strtoull(length, NULL, 10), share};
    f.at_ms -= f.at_ms % STEP_MS;
    g_array_append_val(s->faults, f);
}

/* Another process takes its place when it changes. */
static void
add_former(Script *s, char **words)
{
    int who = read_who(s, words[1]);
    uint64_t from_ms = strtoull(words[2], NULL, 10);
    Former f = {START_MS + from_ms, START_MS + strtoull(words[3], NULL, 10)};
    s->former[who] = f;
    if (from_ms > 0) {
        add_fault(s, 'k', who, words[2], "200", 0);
    }
    add_fault(s, 'k', who, words[3], "200", 0);
}

static bool
run_link_line(Script *s, char **words, int count)
{
    if (count == 4 &&
        (strcmp(words[0], "link") == 0 || strcmp(words[0], "slow") == 0)) {
        add_fault(s, words[0][0], read_who(s, words[1]), words[2], words[3],
                  0);
    }
    else if (strcmp(words[0], "relay") == 0 && count == 3) {
        Link *l = &s->links[read_who(s, words[1])];
        l->is_relayed = true;
        l->relay = read_who(s, words[2]);
    }
    else if (strcmp(words[0], "reads") == 0 && count == 2) {
        s->reads_ms = (uint32_t)strtoul(words[1], NULL, 10);
    }
    else if (strcmp(words[0], "impatient") == 0) {
        s->impatient = true;
    }
    else {
        return false;
    }
    return true;
}

static bool
run_fleet_line(Script *s, char **words, int count)
{
    if (strcmp(words[0], "fleet") == 0 && count == 5) {
        create_fleet(s, words);
    }
    else if (strcmp(words[0], "policy") == 0 && count == 2) {
        s->policy = strcmp(words[1], "notes") == 0     ? BY_NOTES
                    : strcmp(words[1], "plan") == 0    ? BY_PLAN
                    : strcmp(words[1], "keepers") == 0 ? BY_KEEPERS
                                                       : BY_LOCAL;
    }
    else if (strcmp(words[0], "lag") == 0 && count == 2) {
        s->lag_ms = (uint32_t)strtoul(words[1], NULL, 10);
    }
    else if (strcmp(words[0], "late") == 0 && count == 2) {
        s->late_ms = (uint32_t)strtoul(words[1], NULL, 10);
    }
    else if (strcmp(words[0], "rollout") == 0 && count == 3) {
        s->rollout_ms = START_MS + strtoull(words[1], NULL, 10);
        s->rollout_step_ms = strtoull(words[2], NULL, 10);
        s->version++;
    }
    else if (strcmp(words[0], "crash") == 0 && count == 4) {
        add_fault(s, 'e', 0, words[1], words[3],
                  g_ascii_strtod(words[2], NULL));
    }
    else if (strcmp(words[0], "outage") == 0 && count == 3) {
        add_fault(s, 'o', 0, words[1], words[2], 0);
    }
    else if (count == 4 &&
             (strcmp(words[0], "kill") == 0 || strcmp(words[0], "cut") == 0 ||
              strcmp(words[0], "freeze") == 0)) {
        add_fault(s, words[0][0], read_who(s, words[1]), words[2], words[3],
                  0);
    }
    else if (strcmp(words[0], "former") == 0 && count == 4) {
        add_former(s, words);
    }
    else if (run_link_line(s, words, count)) {
        s->measured = true;
    }
    else if (strcmp(words[0], "run") == 0 && count == 2) {
        run_fleet(s, strtoull(words[1], NULL, 10));
    }
    else {
        return false;
    }
    return true;
}

static bool
run_line(void *ctx, char **words, int count)
{
    return run_plan_line(ctx, words, count) ||
           run_fleet_line(ctx, words, count);
}

int
main(void)
{
    static Script s;
    return script_run(run_line, &s);
}
