#include "suspects_internal.h"

#include <string.h>

/* An answer to an older question is not used, so a turn that is granted begins
   within this time or never. */
#define ANSWER_LIFETIME_MS 400
#define MAX_LEFT 256
/* Another key may be why a turn was refused; requests without that one needn't
   wait for it. */
#define MAX_PART_WAIT_MS 100

static SpTurn
draw_turn(Sp *s)
{
    SpTurn turn = 0;
    while (turn == 0) {
        turn = bg_next_random(&s->rng);
    }
    return turn;
}

static bool
is_waited_for(const Ticket *t, uint64_t now_ms)
{
    return t->used || now_ms < t->asked_ms + ANSWER_LIFETIME_MS;
}

static void
leave_row(const Sp *s, uint64_t key, SpTurn turn)
{
    Suspect *x = sp_find_row(s, key);
    if (x && x->here == turn) {
        x->here = 0;
    }
}

static void
leave_rows(const Sp *s, const SpKeys *keys, SpTurn turn)
{
    leave_row(s, keys->request, turn);
    for (uint32_t i = 0; i < keys->part_count; i++) {
        leave_row(s, keys->parts[i], turn);
    }
}

static void
forget_ticket(Sp *s, SpTurn turn)
{
    const Ticket *t = g_hash_table_lookup(s->tickets, &turn);
    if (t) {
        leave_rows(s, &t->keys, turn);
    }
    g_hash_table_remove(s->tickets, &turn);
}

/* The time until X may be asked for again here; 0: now. */
static uint32_t
get_ask_wait_ms(const Sp *s, const Suspect *x, uint64_t now_ms)
{
    const Ticket *t =
        x->here ? g_hash_table_lookup(s->tickets, &x->here) : NULL;
    if (t && is_waited_for(t, now_ms)) {
        return SP_MIN_WAIT_MS;
    }
    return sp_get_time_left(x->retry_ms, now_ms);
}

SpTurn
sp_ask(Sp *s, uint64_t now_ms, const SpKeys *keys, const char *upstream,
       uint32_t *wait_ms)
{
    SuspectList l;
    sp_list_suspects(s, keys, &l);
    if (l.count == 0) {
        l.rows[l.count++] = sp_add_row(s, keys->request, false);
    }
    *wait_ms = 0;
    for (uint32_t i = 0; i < l.count; i++) {
        *wait_ms = MAX(*wait_ms, get_ask_wait_ms(s, l.rows[i], now_ms));
    }
    if (*wait_ms) {
        return 0;
    }
    SpTurn turn = draw_turn(s);
    Ticket *n = g_new0(Ticket, 1);
    n->keys = *keys;
    n->upstream = g_strdup(upstream);
    n->asked_ms = now_ms;
    for (uint32_t i = 0; i < l.count; i++) {
        l.rows[i]->here = turn;
    }
    int64_t *key = g_new(int64_t, 1);
    *key = (int64_t)turn;
    g_hash_table_insert(s->tickets, key, n);
    return turn;
}

bool
sp_on_turn(Sp *s, uint64_t now_ms, SpTurn turn, bool granted, uint32_t wait_ms)
{
    Ticket *t = g_hash_table_lookup(s->tickets, &turn);
    if (!t || t->used || !is_waited_for(t, now_ms)) {
        return false;
    }
    if (granted) {
        t->granted = true;
        return true;
    }
    SuspectList l;
    sp_list_suspects(s, &t->keys, &l);
    for (uint32_t i = 0; i < l.count; i++) {
        bool part = l.rows[i]->part;
        l.rows[i]->retry_ms =
            now_ms + (part ? MIN(wait_ms, MAX_PART_WAIT_MS) : wait_ms);
    }
    forget_ticket(s, turn);
    return true;
}

SpTurnState
sp_check(const Sp *s, uint64_t now_ms, SpTurn turn)
{
    const Ticket *t = g_hash_table_lookup(s->tickets, &turn);
    if (!t || !is_waited_for(t, now_ms)) {
        return SP_TURN_NONE;
    }
    return t->granted ? SP_TURN_GRANTED : SP_TURN_ASKED;
}

const char *
sp_get_upstream(const Sp *s, SpTurn turn)
{
    const Ticket *t = g_hash_table_lookup(s->tickets, &turn);
    return t ? t->upstream : NULL;
}

void
sp_use(Sp *s, SpTurn turn)
{
    Ticket *t = g_hash_table_lookup(s->tickets, &turn);
    if (t) {
        t->used = true;
    }
}

bool
sp_release(Sp *s, SpTurn turn)
{
    const Ticket *t = g_hash_table_lookup(s->tickets, &turn);
    bool granted = t && t->granted;
    forget_ticket(s, turn);
    return granted;
}

static void
keep_left(Sp *s, uint64_t now_ms, const SpKeys *keys, const char *upstream)
{
    if (g_queue_get_length(&s->left) >= MAX_LEFT) {
        sp_free_left(g_queue_pop_head(&s->left));
    }
    Left *l = g_new0(Left, 1);
    l->keys = *keys;
    l->upstream = g_strdup(upstream);
    l->at_ms = now_ms;
    g_queue_push_tail(&s->left, l);
}

static void
count_own_key(Sp *s, uint64_t now_ms, uint64_t key, bool part,
              uint64_t request, SpRole role)
{
    Suspect *x = sp_add_row(s, key, part);
    x->own = true;
    if (role == SP_FOLLOWS && x->ends == 0) {
        sp_count_end(s, x, now_ms, request, false, false);
    }
}

/* A gateway that follows makes them suspects at once; the leader counts, as
   others may have reported the same end. */
static void
count_own(Sp *s, uint64_t now_ms, const SpKeys *keys, const char *upstream,
          SpRole role, bool blamed)
{
    SpKeys unproved;
    sp_copy_unproved(s, keys, &unproved);
    if (keys->request) {
        count_own_key(s, now_ms, keys->request, false, keys->request, role);
    }
    for (uint32_t i = 0; i < unproved.part_count; i++) {
        count_own_key(s, now_ms, unproved.parts[i], true, keys->request, role);
    }
    if (role == SP_ALONE) {
        sp_note_ends(s, now_ms, &unproved,
                     (RunEnd){.upstream = upstream, .blamed = blamed});
    }
}

static bool
clear_own_key(Sp *s, uint64_t now_ms, uint64_t key)
{
    Suspect *x = sp_find_row(s, key);
    if (!x || x->ends == 0) {
        return false;
    }
    sp_clear_row(s, x, now_ms);
    return true;
}

static bool
clear_own(Sp *s, uint64_t now_ms, const SpKeys *keys)
{
    if (s->suspects == 0) {
        return false;
    }
    bool cleared = clear_own_key(s, now_ms, keys->request);
    for (uint32_t i = 0; i < keys->part_count; i++) {
        cleared = clear_own_key(s, now_ms, keys->parts[i]) || cleared;
    }
    return cleared;
}

bool
sp_on_run(Sp *s, uint64_t now_ms, const SpKeys *keys, const char *upstream,
          SpTurn turn, SpResult result, SpRole role)
{
    if (turn) {
        forget_ticket(s, turn);
    }
    if (result == SP_RUN_ENDED || result == SP_RUN_BLAMED) {
        count_own(s, now_ms, keys, upstream, role, result == SP_RUN_BLAMED);
        return true;
    }
    if (result == SP_RUN_LEFT) {
        keep_left(s, now_ms, keys, upstream);
    }
    if (role == SP_LEADS) {
        return true;
    }
    if (result == SP_RUN_ANSWERED) {
        sp_prove(s, now_ms, keys);
        return clear_own(s, now_ms, keys) || turn != 0;
    }
    if (turn) {
        sp_on_result(s, now_ms, keys, upstream, turn, result);
    }
    return turn != 0;
}

/* True: nothing is left of L to be blamed. */
static bool
blame_left(Left *l, bool sure, const char *upstream,
           void (*blame)(void *ctx, const SpKeys *keys, const char *upstream),
           void *ctx)
{
    SpKeys keys = l->keys;
    if (!sure) {
        keys.part_count = 0;
    }
    if (keys.request || keys.part_count > 0) {
        blame(ctx, &keys, upstream);
    }
    l->keys.request = 0;
    return sure || l->keys.part_count == 0;
}

void
sp_on_upstream_end(Sp *s, uint64_t now_ms, const char *upstream, bool sure,
                   void (*blame)(void *ctx, const SpKeys *keys,
                                 const char *upstream),
                   void *ctx)
{
    (void)sp_note_upstream_end(s, now_ms, upstream, 0);
    GList *next;
    for (GList *l = s->left.head; l; l = next) {
        next = l->next;
        Left *x = l->data;
        bool old = now_ms > x->at_ms + SP_LEFT_MS;
        bool here = strcmp(x->upstream, upstream) == 0;
        if (!old && !here) {
            continue;
        }
        if (old || blame_left(x, sure, upstream, blame, ctx)) {
            g_queue_delete_link(&s->left, l);
            sp_free_left(x);
        }
    }
}
