#include "suspects_internal.h"

#include <string.h>

/* An answer to an older question is not used, so a turn that is granted begins
   within this time or never. */
#define ANSWER_LIFETIME_MS 400
#define MAX_LEFT 256

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
forget_ticket(Sp *s, SpTurn turn)
{
    const Ticket *t = g_hash_table_lookup(s->tickets, &turn);
    Suspect *x = t ? sp_find_row(s, t->request) : NULL;
    if (x && x->here == turn) {
        x->here = 0;
    }
    g_hash_table_remove(s->tickets, &turn);
}

SpTurn
sp_ask(Sp *s, uint64_t now_ms, uint64_t request, const char *upstream,
       uint32_t *wait_ms)
{
    Suspect *x = sp_add_row(s, request);
    const Ticket *t =
        x->here ? g_hash_table_lookup(s->tickets, &x->here) : NULL;
    *wait_ms = SP_MIN_WAIT_MS;
    if (t && is_waited_for(t, now_ms)) {
        return 0;
    }
    if (now_ms < x->retry_ms) {
        *wait_ms = sp_get_time_left(x->retry_ms, now_ms);
        return 0;
    }
    SpTurn turn = draw_turn(s);
    Ticket *n = g_new0(Ticket, 1);
    n->request = request;
    n->upstream = g_strdup(upstream);
    n->asked_ms = now_ms;
    x->here = turn;
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
    Suspect *x = sp_find_row(s, t->request);
    if (x) {
        x->retry_ms = now_ms + wait_ms;
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
keep_left(Sp *s, uint64_t now_ms, uint64_t request, const char *upstream)
{
    if (g_queue_get_length(&s->left) >= MAX_LEFT) {
        sp_free_left(g_queue_pop_head(&s->left));
    }
    Left *l = g_new0(Left, 1);
    l->request = request;
    l->upstream = g_strdup(upstream);
    l->at_ms = now_ms;
    g_queue_push_tail(&s->left, l);
}

/* A gateway that follows makes it a suspect at once; the leader counts, as
   others may have reported the same end. */
static void
count_own(Sp *s, uint64_t now_ms, uint64_t request, const char *upstream,
          SpRole role, bool blamed)
{
    Suspect *x = sp_add_row(s, request);
    x->own = true;
    if (role == SP_ALONE) {
        sp_note_end(s, now_ms, request, upstream, 0, blamed);
    }
    else if (role == SP_FOLLOWS && x->ends == 0) {
        sp_count_end(s, x, now_ms, false, false);
    }
}

static bool
clear_own(Sp *s, uint64_t now_ms, uint64_t request)
{
    Suspect *x = sp_find_row(s, request);
    if (!x || x->ends == 0) {
        return false;
    }
    sp_clear_row(s, x, now_ms);
    return true;
}

bool
sp_on_run(Sp *s, uint64_t now_ms, uint64_t request, const char *upstream,
          SpTurn turn, SpResult result, SpRole role)
{
    if (turn) {
        forget_ticket(s, turn);
    }
    if (result == SP_RUN_ENDED || result == SP_RUN_BLAMED) {
        count_own(s, now_ms, request, upstream, role, result == SP_RUN_BLAMED);
        return true;
    }
    if (result == SP_RUN_LEFT) {
        keep_left(s, now_ms, request, upstream);
    }
    if (role == SP_LEADS) {
        return true;
    }
    if (result == SP_RUN_ANSWERED) {
        return clear_own(s, now_ms, request);
    }
    if (turn) {
        sp_on_result(s, now_ms, request, upstream, turn, result);
    }
    return turn != 0;
}

void
sp_on_upstream_end(Sp *s, uint64_t now_ms, const char *upstream,
                   void (*blame)(void *ctx, uint64_t request,
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
        g_queue_delete_link(&s->left, l);
        if (!old) {
            blame(ctx, x->request, upstream);
        }
        sp_free_left(x);
    }
}
