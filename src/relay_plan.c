#include "relay_plan.h"

#include <stdlib.h>
#include <string.h>

/* Gateways of each data centre that stay linked to the leader besides its
   relays. */
#define SPARES 1

typedef struct {
    const RlPeer *peer;
    size_t which;
    bool fit;      /* at least half as fit as the fittest of its data centre */
    uint32_t load; /* members, including those that this plan moves to it */
    uint32_t moved; /* members that this plan moves to it */
} Candidate;

static int
compare_flags(bool a, bool b)
{
    return (int)b - (int)a;
}

static int
compare_numbers(uint32_t a, uint32_t b)
{
    return (b > a) - (b < a);
}

/* Sorts the best candidates for a relay first.  An existing relay precedes
   others that are fit as well, so that its members stay. */
static int
compare_candidates(const void *a, const void *b)
{
    const Candidate *x = a;
    const Candidate *y = b;
    int c = compare_flags(!x->peer->leaving, !y->peer->leaving);
    c = c ? c : compare_flags(x->fit, y->fit);
    c = c ? c : compare_flags(x->peer->members > 0, y->peer->members > 0);
    c = c ? c : compare_numbers(x->peer->fitness, y->peer->fitness);
    return c ? c : strcmp(x->peer->vm, y->peer->vm);
}

static int
compare_data_centres(const void *a, const void *b)
{
    const Candidate *x = a;
    const Candidate *y = b;
    return strcmp(x->peer->data_centre, y->peer->data_centre);
}

/* The relay with the fewest members that accepts one more; NULL: none. */
static Candidate *
pick_relay(Candidate *relays, size_t count, const RlParams *params,
           const char *unreachable_relay)
{
    Candidate *best = NULL;
    for (size_t i = 0; i < count; i++) {
        Candidate *r = &relays[i];
        bool usable = !r->peer->leaving && r->load < params->members &&
                      r->moved < params->moves &&
                      g_strcmp0(r->peer->address, unreachable_relay) != 0;
        if (usable && (!best || r->load < best->load)) {
            best = r;
        }
    }
    return best;
}

static void
mark_fit(Candidate *list, size_t count)
{
    uint32_t max_fitness = 0;
    for (size_t i = 0; i < count; i++) {
        max_fitness = MAX(max_fitness, list[i].peer->fitness);
    }
    for (size_t i = 0; i < count; i++) {
        list[i].fit = list[i].peer->fitness * 2 >= max_fitness;
    }
}

/* A small VM that became a relay because no other was there. */
static bool
should_step_down(const Candidate *c, const Candidate *best)
{
    return c->peer->members > 0 && !c->fit && best->fit;
}

/* Moves C, and with it its members, to a relay. */
static void
move_to_relay(Candidate *relays, size_t count, const RlParams *params,
              const Candidate *c, RlMove move, void *ctx)
{
    Candidate *r =
        pick_relay(relays, count, params, c->peer->unreachable_relay);
    if (r && !c->peer->leaving) {
        r->load += 1 + c->peer->members;
        r->moved += 1 + c->peer->members;
        move(ctx, c->which, r->peer->address);
    }
}

/* LIST: all candidates of one data centre. */
static void
plan_data_centre(const RlParams *params, Candidate *list, size_t count,
                 RlMove move, void *ctx)
{
    uint32_t vms = 0;
    for (size_t i = 0; i < count; i++) {
        vms += 1 + list[i].peer->members;
    }
    size_t relays = (vms + params->members) / (params->members + 1);
    mark_fit(list, count);
    qsort(list, count, sizeof(*list), compare_candidates);
    size_t spares = SPARES;
    for (size_t i = relays; i < count; i++) {
        const Candidate *c = &list[i];
        if (spares > 0 && !should_step_down(c, &list[0])) {
            spares--;
            continue;
        }
        move_to_relay(list, relays, params, c, move, ctx);
    }
}

void
rl_plan(const RlParams *params, const RlPeer *peers, size_t count, RlMove move,
        void *ctx)
{
    if (count <= params->direct) {
        return;
    }
    g_autofree Candidate *all = g_new0(Candidate, count);
    for (size_t i = 0; i < count; i++) {
        all[i] = (Candidate){
            .peer = &peers[i], .which = i, .load = peers[i].members};
    }
    qsort(all, count, sizeof(*all), compare_data_centres);
    for (size_t i = 0; i < count;) {
        size_t n = 1;
        while (i + n < count &&
               compare_data_centres(&all[i], &all[i + n]) == 0) {
            n++;
        }
        plan_data_centre(params, &all[i], n, move, ctx);
        i += n;
    }
}
