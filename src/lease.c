#include "lease.h"

#include <stdlib.h>
#include <string.h>

/* Pause after the store refused an append, so as not to add to its load. */
#define REFUSED_PAUSE_MS 120
/* VMs claim at different times, and the VM of the former leader, which needs
   no guard interval, claims before all others. */
#define MIN_CLAIM_DELAY_MS 120
#define CLAIM_JITTER_MS 200
/* In a record in place of a process: the lease was released. */
#define FREE_PROCESS "free"

struct Ls {
    LsParams params;
    char *vm;
    char *process;
    char *address;
    LsOutput out;
    BgRandom rng;

    uint64_t tail;
    uint64_t newest; /* 1 + offset of the newest record seen; 0: none */
    char *record_vm; /* of the newest record; NULL: there is none */
    char *record_process;
    char *record_address;
    uint64_t record_seen_ms; /* when the newest record was first seen */
    uint64_t read_sent_ms;   /* start of the last read that succeeded */
    uint64_t contact_ms;     /* last contact with the leader over a link */

    uint64_t append_sent_ms;  /* start of the last append */
    uint64_t read_started_ms; /* start of the last read */
    uint64_t next_read_ms;
    uint64_t next_append_ms; /* not before, as one was refused */
    uint64_t next_claim_ms;  /* 0: no claim is due */

    uint64_t token;
    uint64_t valid_until_ms; /* end of this VM's lease */
    uint64_t renewed_ms;     /* when the last renewal was sent */
    uint64_t order_from_ms;
    uint64_t yielded_until_ms;
    uint64_t held_off_until_ms;

    uint32_t record_delay_ms; /* until its VM's first order, when written */
    uint32_t record_fleet;    /* 0: not in the record */
    uint32_t fleet;           /* written in our records */
    char *record_note;        /* NULL: not in the record */
    char *note;               /* written in our records; NULL: none */
    uint32_t failed_reads;    /* consecutive */
    bool caught_up;           /* the topic has been read to its end */
    bool reading;
    bool writing;
    bool releasing; /* the pending append releases the lease */
    bool holding;   /* this VM has the lease */
    bool stopping;  /* see ls_stop_claiming */
};

Ls *
ls_create(const LsParams *params, const LsOutput *out)
{
    Ls *l = g_new0(Ls, 1);
    l->params = *params;
    l->vm = g_strdup(params->vm);
    l->process = g_strdup(params->process);
    l->address = g_strdup(params->address);
    l->out = *out;
    bg_seed_random(&l->rng, params->seed);
    return l;
}

void
ls_destroy(Ls *l)
{
    g_free(l->vm);
    g_free(l->process);
    g_free(l->address);
    g_free(l->record_vm);
    g_free(l->record_process);
    g_free(l->record_address);
    g_free(l->record_note);
    g_free(l->note);
    g_free(l);
}

static bool
is_ours(const Ls *l)
{
    return g_strcmp0(l->record_process, l->process) == 0;
}

static bool
is_free(const Ls *l)
{
    return !l->record_process || strcmp(l->record_process, FREE_PROCESS) == 0;
}

static void
end_leadership(Ls *l)
{
    if (l->holding) {
        l->holding = false;
        l->out.changed(l->out.ctx);
    }
}

#define RECORD_WORDS 4

/* VALUE: "VM PROCESS ADDRESS ORDER_DELAY_MS [FLEET [NOTE]]", words without
   blanks. */
static void
take_record(Ls *l, uint64_t now_ms, const char *value)
{
    g_auto(GStrv) words = g_strsplit(value ? value : "", " ", RECORD_WORDS);
    bool whole = g_strv_length(words) == RECORD_WORDS;
    g_free(l->record_vm);
    g_free(l->record_process);
    g_free(l->record_address);
    l->record_vm = g_strdup(whole ? words[0] : "?");
    l->record_process = g_strdup(whole ? words[1] : "?");
    l->record_address = whole ? g_strdup(words[2]) : NULL;
    char *number_end = NULL;
    l->record_delay_ms =
        whole ? (uint32_t)strtoul(words[3], &number_end, 10) : 0;
    l->record_fleet =
        number_end ? (uint32_t)strtoul(number_end, &number_end, 10) : 0;
    g_free(l->record_note);
    l->record_note =
        number_end && *number_end == ' ' ? g_strdup(number_end + 1) : NULL;
    l->record_seen_ms = now_ms;
    l->next_claim_ms = 0;
    if (!is_ours(l)) {
        end_leadership(l);
    }
    l->out.changed(l->out.ctx);
}

static char *
make_record(const Ls *l, uint64_t now_ms, const char *process)
{
    return g_strdup_printf("%s %s %s %u %u%s%s", l->vm, process, l->address,
                           ls_get_order_delay_ms(l, now_ms), l->fleet,
                           l->note ? " " : "", l->note ? l->note : "");
}

static void
start_append(Ls *l, uint64_t now_ms, const char *process)
{
    g_autofree char *value = make_record(l, now_ms, process);
    l->writing = true;
    l->append_sent_ms = now_ms;
    l->out.append(l->out.ctx, l->tail, value);
}

/* When a lease that is claimed now would permit the first order. */
static uint64_t
find_order_time(const Ls *l, uint64_t now_ms)
{
    if (!l->record_process) {
        return now_ms;
    }
    /* This process or a former one of the same VM had the lease: what was left
       of its guard interval still applies.  Otherwise a successor that was
       killed or cut off during the guard interval would send orders as soon as
       it is back, concurrently with late ones of the leader before it. */
    if (strcmp(l->record_vm, l->vm) == 0) {
        return MAX(now_ms, l->record_seen_ms + l->record_delay_ms);
    }
    /* A leader sends no orders after it wrote that it released the lease. */
    uint32_t order_ms = is_free(l) ? 0 : l->params.order_ms;
    return MAX(now_ms, l->record_seen_ms + order_ms + l->params.guard_ms);
}

/* When the lease may be claimed, going by the newest record. */
static uint64_t
find_claim_time(const Ls *l)
{
    if (is_free(l)) {
        return 1;
    }
    /* The former process of this VM is gone: this one has its ports. */
    if (g_strcmp0(l->record_vm, l->vm) == 0) {
        return 1;
    }
    return l->record_seen_ms + l->params.lease_ms;
}

static void
claim_if_due(Ls *l, uint64_t now_ms)
{
    uint64_t from_ms = find_claim_time(l);
    if (now_ms < from_ms) {
        l->next_claim_ms = 0;
        return;
    }
    /* Only a read that was started after that time shows that the lease was
       not renewed. */
    if (l->read_sent_ms < from_ms) {
        return;
    }
    if (l->next_claim_ms == 0) {
        bool same_vm = g_strcmp0(l->record_vm, l->vm) == 0;
        l->next_claim_ms = now_ms;
        if (!same_vm) {
            l->next_claim_ms += MIN_CLAIM_DELAY_MS + l->params.claim_delay_ms +
                                bg_pick_random(&l->rng, CLAIM_JITTER_MS);
        }
    }
    if (now_ms >= l->next_claim_ms) {
        l->next_claim_ms = 0;
        l->order_from_ms = find_order_time(l, now_ms);
        start_append(l, now_ms, l->process);
    }
}

static void
read_if_due(Ls *l, uint64_t now_ms)
{
    bool out_of_contact = !l->holding && now_ms >= l->held_off_until_ms &&
                          now_ms - l->contact_ms > l->params.leader_timeout_ms;
    if (!l->reading && !l->writing && now_ms >= l->next_read_ms &&
        (!l->caught_up || out_of_contact)) {
        l->reading = true;
        l->read_started_ms = now_ms;
        l->out.read(l->out.ctx, l->tail);
    }
}

void
ls_on_tick(Ls *l, uint64_t now_ms)
{
    if (l->holding && now_ms >= l->valid_until_ms) {
        bg_log(BG_WARN, "lease", "lapsed: not renewed for %u ms",
               l->params.lease_ms);
        end_leadership(l);
    }
    read_if_due(l, now_ms);
    if (!l->caught_up || l->writing || l->reading ||
        now_ms < l->next_append_ms) {
        return;
    }
    if (!l->holding) {
        if (!l->stopping && now_ms >= l->yielded_until_ms &&
            now_ms >= l->held_off_until_ms) {
            claim_if_due(l, now_ms);
        }
    }
    else if (now_ms >= l->append_sent_ms + l->params.renew_ms) {
        start_append(l, now_ms, l->process);
    }
}

void
ls_on_read(Ls *l, uint64_t now_ms, StResult result, const char *value,
           uint64_t offset, uint64_t tail)
{
    l->reading = false;
    l->next_read_ms =
        now_ms +
        (LS_READ_INTERVAL_MS << MIN(l->failed_reads, LS_MAX_READ_DOUBLINGS));
    if (result != ST_OK) {
        l->failed_reads++;
        return;
    }
    l->failed_reads = 0;
    l->caught_up = true;
    l->read_sent_ms = l->read_started_ms;
    if (value && offset + 1 > l->newest) {
        l->newest = offset + 1;
        take_record(l, now_ms, value);
    }
    l->tail = tail;
}

static void
begin_leadership(Ls *l, uint64_t now_ms, uint64_t offset)
{
    l->holding = true;
    l->token = offset + 1;
    bg_log(BG_INFO, "lease", "held, token %llu, first order in %u ms",
           (unsigned long long)l->token, ls_get_order_delay_ms(l, now_ms));
}

void
ls_on_append(Ls *l, uint64_t now_ms, StResult result, uint64_t offset,
             uint64_t tail)
{
    l->writing = false;
    if (l->releasing) {
        /* Whether the append was done or not, the topic is read again. */
        l->releasing = false;
        l->caught_up = false;
        l->next_read_ms = now_ms;
        g_free(l->record_process);
        l->record_process = g_strdup(FREE_PROCESS);
        l->out.changed(l->out.ctx);
        return;
    }
    if (result == ST_OK && now_ms < l->yielded_until_ms) {
        /* The lease was yielded while this renewal was pending. */
        l->tail = offset + 1;
        l->releasing = true;
        start_append(l, now_ms, FREE_PROCESS);
        return;
    }
    if (result == ST_OK) {
        bool begins = !l->holding && !l->stopping;
        if (begins) {
            begin_leadership(l, now_ms, offset);
        }
        l->tail = offset + 1;
        l->newest = offset + 1;
        l->valid_until_ms = l->append_sent_ms + l->params.lease_ms;
        l->renewed_ms = l->append_sent_ms;
        g_autofree char *value = make_record(l, now_ms, l->process);
        take_record(l, now_ms, value);
        return;
    }
    if (result == ST_REFUSED) {
        l->next_append_ms = now_ms + REFUSED_PAUSE_MS +
                            bg_pick_random(&l->rng, REFUSED_PAUSE_MS);
        return;
    }
    /* Another VM wrote a record, or this append was done and its answer lost:
       reading the topic shows which. */
    (void)tail;
    l->caught_up = false;
    l->next_read_ms = now_ms;
}

void
ls_on_leader_contact(Ls *l, uint64_t contact_ms)
{
    l->contact_ms = MAX(l->contact_ms, contact_ms);
}

void
ls_hold_off(Ls *l, uint64_t until_ms)
{
    l->held_off_until_ms = until_ms;
}

static void
release_lease(Ls *l, uint64_t now_ms)
{
    bool free_it = l->holding && !l->writing;
    end_leadership(l);
    if (free_it) {
        l->releasing = true;
        start_append(l, now_ms, FREE_PROCESS);
    }
}

void
ls_yield(Ls *l, uint64_t now_ms, uint32_t pause_ms)
{
    l->yielded_until_ms = now_ms + pause_ms;
    release_lease(l, now_ms);
}

void
ls_stop_claiming(Ls *l)
{
    l->stopping = true;
}

bool
ls_is_leader(const Ls *l, uint64_t now_ms)
{
    return l->holding && now_ms < l->valid_until_ms;
}

bool
ls_may_order(const Ls *l, uint64_t now_ms)
{
    return ls_is_leader(l, now_ms) && now_ms >= l->order_from_ms &&
           now_ms < l->renewed_ms + l->params.order_ms;
}

uint64_t
ls_get_token(const Ls *l)
{
    return l->token;
}

uint32_t
ls_get_order_delay_ms(const Ls *l, uint64_t now_ms)
{
    return now_ms < l->order_from_ms ? (uint32_t)(l->order_from_ms - now_ms)
                                     : 0;
}

const char *
ls_get_leader_address(const Ls *l)
{
    return is_free(l) ? NULL : l->record_address;
}

const char *
ls_get_leader_vm(const Ls *l)
{
    return is_free(l) ? NULL : l->record_vm;
}

uint32_t
ls_get_leader_delay_ms(const Ls *l)
{
    return l->record_delay_ms;
}

void
ls_set_fleet(Ls *l, uint32_t gateways)
{
    l->fleet = gateways;
}

uint32_t
ls_get_fleet(const Ls *l)
{
    return l->record_fleet;
}

void
ls_set_note(Ls *l, const char *note)
{
    g_free(l->note);
    l->note = g_strdup(note);
}

const char *
ls_get_note(const Ls *l)
{
    return l->record_note;
}
