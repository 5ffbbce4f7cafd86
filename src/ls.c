#include "ls.h"

#include <stdlib.h>
#include <string.h>

#define REFUSED_PAUSE_MS 120 /* a store that refuses is not pressed */
#define MAX_READ_DOUBLINGS 2
#define READ_PAUSE_MS 300 /* between reads while the holder is not heard */
/* Not all VMs claim at one moment, and the former holder, whose VM needs no
   rest, goes before them. */
#define FIRST_CLAIM_MS 120
#define JITTER_MS 200
/* "free" in place of a process: the holder gave the lease up. */
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
    char *holder_vm; /* of the newest record; NULL: none was written */
    char *holder_process;
    char *holder_address;
    uint64_t seen_ms;      /* when that record was first seen */
    uint64_t read_sent_ms; /* of the last read that was answered */
    uint64_t heard_ms;     /* the holder, over a link */

    uint64_t sent_ms;     /* of the append that is out */
    uint64_t read_out_ms; /* of the read that is out */
    uint64_t next_read_ms;
    uint64_t next_append_ms; /* after one was refused */
    uint64_t next_claim_ms;  /* 0: not waiting to claim */

    uint64_t token;
    uint64_t valid_until_ms; /* of our right */
    uint64_t renewed_ms;     /* when the last renewal was sent */
    uint64_t order_from_ms;
    uint64_t yielded_until_ms;
    uint64_t held_off_until_ms;

    uint32_t holder_rest_ms; /* that its VM had left when it was written */
    uint32_t holder_fleet;   /* 0: not told */
    uint32_t fleet;          /* that we tell with our own */
    uint32_t failed_reads;   /* in a row */
    bool known;              /* the topic was read once */
    bool reading;
    bool writing;
    bool giving_up; /* the append that is out frees the lease */
    bool holding;
    bool stopping;
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
    g_free(l->holder_vm);
    g_free(l->holder_process);
    g_free(l->holder_address);
    g_free(l);
}

static bool
is_ours(const Ls *l)
{
    return g_strcmp0(l->holder_process, l->process) == 0;
}

static bool
is_free(const Ls *l)
{
    return !l->holder_process || strcmp(l->holder_process, FREE_PROCESS) == 0;
}

static void
lose(Ls *l)
{
    if (l->holding) {
        l->holding = false;
        l->out.changed(l->out.ctx);
    }
}

#define RECORD_WORDS 4

/* "VM PROCESS ADDRESS REST [FLEET]", words without blanks. */
static void
take_record(Ls *l, uint64_t now_ms, const char *value)
{
    g_auto(GStrv) words = g_strsplit(value ? value : "", " ", RECORD_WORDS);
    bool whole = g_strv_length(words) == RECORD_WORDS;
    g_free(l->holder_vm);
    g_free(l->holder_process);
    g_free(l->holder_address);
    l->holder_vm = g_strdup(whole ? words[0] : "?");
    l->holder_process = g_strdup(whole ? words[1] : "?");
    l->holder_address = whole ? g_strdup(words[2]) : NULL;
    char *rest = NULL;
    l->holder_rest_ms = whole ? (uint32_t)strtoul(words[3], &rest, 10) : 0;
    l->holder_fleet = rest ? (uint32_t)strtoul(rest, NULL, 10) : 0;
    l->seen_ms = now_ms;
    l->next_claim_ms = 0;
    if (!is_ours(l)) {
        lose(l);
    }
    l->out.changed(l->out.ctx);
}

static char *
make_record(const Ls *l, uint64_t now_ms, const char *process)
{
    return g_strdup_printf("%s %s %s %u %u", l->vm, process, l->address,
                           ls_get_rest_ms(l, now_ms), l->fleet);
}

static void
start_append(Ls *l, uint64_t now_ms, const char *process)
{
    g_autofree char *value = make_record(l, now_ms, process);
    l->writing = true;
    l->sent_ms = now_ms;
    l->out.append(l->out.ctx, l->tail, value);
}

/* When a right that is claimed now would begin to order. */
static uint64_t
find_order_time(const Ls *l, uint64_t now_ms)
{
    if (!l->holder_process) {
        return now_ms;
    }
    /* A process on the same VM follows itself, or one that is gone: it goes on
       with what that had left to rest.  Without that a successor that was
       killed or cut off in its rest ordered at once when it was back, beside
       the orders of the one before it. */
    if (strcmp(l->holder_vm, l->vm) == 0) {
        return MAX(now_ms, l->seen_ms + l->holder_rest_ms);
    }
    /* One that gave the lease up ordered nothing after it wrote that. */
    uint32_t order_ms = is_free(l) ? 0 : l->params.order_ms;
    return MAX(now_ms, l->seen_ms + order_ms + l->params.rest_ms);
}

/* When the lease may be claimed; 0: not as far as we know. */
static uint64_t
find_claim_time(const Ls *l)
{
    if (is_free(l)) {
        return 1;
    }
    /* Our own VM's former process is gone: its ports are ours. */
    if (g_strcmp0(l->holder_vm, l->vm) == 0) {
        return 1;
    }
    return l->seen_ms + l->params.lease_ms;
}

static void
consider_claim(Ls *l, uint64_t now_ms)
{
    uint64_t from_ms = find_claim_time(l);
    if (now_ms < from_ms) {
        l->next_claim_ms = 0;
        return;
    }
    /* A read that was sent after that time showed no renewal. */
    if (l->read_sent_ms < from_ms) {
        return;
    }
    if (l->next_claim_ms == 0) {
        bool former = g_strcmp0(l->holder_vm, l->vm) == 0;
        l->next_claim_ms = now_ms;
        if (!former) {
            l->next_claim_ms += FIRST_CLAIM_MS + l->params.claim_ms +
                                bg_pick_random(&l->rng, JITTER_MS);
        }
    }
    if (now_ms >= l->next_claim_ms) {
        l->next_claim_ms = 0;
        l->order_from_ms = find_order_time(l, now_ms);
        start_append(l, now_ms, l->process);
    }
}

static void
consider_read(Ls *l, uint64_t now_ms)
{
    bool quiet = !l->holding && now_ms >= l->held_off_until_ms &&
                 now_ms - l->heard_ms > l->params.quiet_ms;
    if (!l->reading && !l->writing && now_ms >= l->next_read_ms &&
        (!l->known || quiet)) {
        l->reading = true;
        l->read_out_ms = now_ms;
        l->out.read(l->out.ctx, l->tail);
    }
}

void
ls_on_tick(Ls *l, uint64_t now_ms)
{
    if (l->holding && now_ms >= l->valid_until_ms) {
        bg_log(BG_WARN, "lease", "lapsed: not renewed for %u ms",
               l->params.lease_ms);
        lose(l);
    }
    consider_read(l, now_ms);
    if (!l->known || l->writing || l->reading || now_ms < l->next_append_ms) {
        return;
    }
    if (!l->holding) {
        if (!l->stopping && now_ms >= l->yielded_until_ms &&
            now_ms >= l->held_off_until_ms) {
            consider_claim(l, now_ms);
        }
    }
    else if (now_ms >= l->sent_ms + l->params.renew_ms) {
        start_append(l, now_ms, l->process);
    }
}

void
ls_on_read(Ls *l, uint64_t now_ms, StResult end, const char *value,
           uint64_t offset, uint64_t tail)
{
    l->reading = false;
    l->next_read_ms =
        now_ms + (READ_PAUSE_MS << MIN(l->failed_reads, MAX_READ_DOUBLINGS));
    if (end != ST_OK) {
        l->failed_reads++;
        return;
    }
    l->failed_reads = 0;
    l->known = true;
    l->read_sent_ms = l->read_out_ms;
    if (value && offset + 1 > l->newest) {
        l->newest = offset + 1;
        take_record(l, now_ms, value);
    }
    l->tail = tail;
}

static void
take_right(Ls *l, uint64_t now_ms, uint64_t offset)
{
    l->holding = true;
    l->token = offset + 1;
    bg_log(BG_INFO, "lease", "held, token %llu, first order in %u ms",
           (unsigned long long)l->token, ls_get_rest_ms(l, now_ms));
}

void
ls_on_append(Ls *l, uint64_t now_ms, StResult end, uint64_t offset,
             uint64_t tail)
{
    l->writing = false;
    if (l->giving_up) {
        /* Done or not, what the topic says now is to be read. */
        l->giving_up = false;
        l->known = false;
        l->next_read_ms = now_ms;
        g_free(l->holder_process);
        l->holder_process = g_strdup(FREE_PROCESS);
        l->out.changed(l->out.ctx);
        return;
    }
    if (end == ST_OK && now_ms < l->yielded_until_ms) {
        /* It was given up while this renewal was out. */
        l->tail = offset + 1;
        l->giving_up = true;
        start_append(l, now_ms, FREE_PROCESS);
        return;
    }
    if (end == ST_OK) {
        bool began = !l->holding && !l->stopping;
        if (began) {
            take_right(l, now_ms, offset);
        }
        l->tail = offset + 1;
        l->newest = offset + 1;
        l->valid_until_ms = l->sent_ms + l->params.lease_ms;
        l->renewed_ms = l->sent_ms;
        g_autofree char *value = make_record(l, now_ms, l->process);
        take_record(l, now_ms, value);
        return;
    }
    if (end == ST_REFUSED) {
        l->next_append_ms = now_ms + REFUSED_PAUSE_MS +
                            bg_pick_random(&l->rng, REFUSED_PAUSE_MS);
        return;
    }
    /* Somebody wrote, or our own append was done and its answer lost: the
       topic tells which. */
    (void)tail;
    l->known = false;
    l->next_read_ms = now_ms;
}

void
ls_on_heard(Ls *l, uint64_t heard_ms)
{
    l->heard_ms = MAX(l->heard_ms, heard_ms);
}

void
ls_hold_off(Ls *l, uint64_t until_ms)
{
    l->held_off_until_ms = until_ms;
}

static void
give_up_lease(Ls *l, uint64_t now_ms)
{
    bool free_it = l->holding && !l->writing;
    lose(l);
    if (free_it) {
        l->giving_up = true;
        start_append(l, now_ms, FREE_PROCESS);
    }
}

void
ls_yield(Ls *l, uint64_t now_ms, uint32_t pause_ms)
{
    l->yielded_until_ms = now_ms + pause_ms;
    give_up_lease(l, now_ms);
}

void
ls_leave(Ls *l)
{
    l->stopping = true;
}

bool
ls_is_holder(const Ls *l, uint64_t now_ms)
{
    return l->holding && now_ms < l->valid_until_ms;
}

bool
ls_may_order(const Ls *l, uint64_t now_ms)
{
    return ls_is_holder(l, now_ms) && now_ms >= l->order_from_ms &&
           now_ms < l->renewed_ms + l->params.order_ms;
}

uint64_t
ls_get_token(const Ls *l)
{
    return l->token;
}

uint32_t
ls_get_rest_ms(const Ls *l, uint64_t now_ms)
{
    return now_ms < l->order_from_ms ? (uint32_t)(l->order_from_ms - now_ms)
                                     : 0;
}

const char *
ls_get_holder_address(const Ls *l)
{
    return is_free(l) ? NULL : l->holder_address;
}

const char *
ls_get_holder_vm(const Ls *l)
{
    return is_free(l) ? NULL : l->holder_vm;
}

void
ls_set_fleet(Ls *l, uint32_t gateways)
{
    l->fleet = gateways;
}

uint32_t
ls_get_fleet(const Ls *l)
{
    return l->holder_fleet;
}
