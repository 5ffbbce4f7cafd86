#include "rb.h"

/* The window slides, so it is counted in slices; a repeat is held against
   the budget until its whole slice has left the window. */
#define SLICES 10
/* Of the allowance: requests may arrive elsewhere than they are counted. */
#define CAUTION 0.7
/* Share of the slack of a process that has just started: the one before it
   may have spent the rest. */
#define FRESH_SHARE 0.3

typedef struct {
    uint64_t slice; /* number of the newest slice counted */
    uint32_t requests[SLICES + 1];
    uint32_t repeats[SLICES + 1];
} Account;

struct Rb {
    RbParams params;
    uint64_t start_ms;
    uint64_t gateways_ms; /* when as many were last seen */
    GHashTable *accounts; /* service -> Account */
};

Rb *
rb_create(const RbParams *params, uint64_t now_ms)
{
    Rb *b = g_new0(Rb, 1);
    b->params = *params;
    b->start_ms = now_ms;
    b->gateways_ms = now_ms;
    b->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return b;
}

void
rb_destroy(Rb *b)
{
    g_hash_table_destroy(b->accounts);
    g_free(b);
}

void
rb_on_gateways(Rb *b, uint64_t now_ms, uint32_t gateways)
{
    if (gateways >= b->params.gateways ||
        now_ms > b->gateways_ms + RB_MEMORY_MS) {
        b->params.gateways = MAX(gateways, 1);
        b->gateways_ms = now_ms;
    }
}

void
rb_set_allowance(Rb *b, double ratio, double slack)
{
    b->params.ratio = ratio;
    b->params.slack = slack;
}

static Account *
get_account(Rb *b, uint64_t now_ms, const char *service)
{
    Account *a = g_hash_table_lookup(b->accounts, service);
    if (!a) {
        a = g_new0(Account, 1);
        g_hash_table_insert(b->accounts, g_strdup(service), a);
    }
    uint64_t slice = now_ms / MAX(b->params.window_ms / SLICES, 1);
    if (slice > a->slice + SLICES) {
        a->slice = slice - SLICES - 1;
    }
    while (a->slice < slice) {
        a->slice++;
        a->requests[a->slice % (SLICES + 1)] = 0;
        a->repeats[a->slice % (SLICES + 1)] = 0;
    }
    return a;
}

void
rb_on_request(Rb *b, uint64_t now_ms, const char *service)
{
    Account *a = get_account(b, now_ms, service);
    a->requests[a->slice % (SLICES + 1)]++;
}

bool
rb_take(Rb *b, uint64_t now_ms, const char *service)
{
    Account *a = get_account(b, now_ms, service);
    uint32_t requests = 0;
    uint32_t repeats = 0;
    for (int i = 0; i <= SLICES; i++) {
        requests += a->requests[i];
        repeats += a->repeats[i];
    }
    bool new_here = now_ms < b->start_ms + b->params.window_ms;
    double slack = b->params.slack / MAX(b->params.gateways, 1) *
                   (new_here ? FRESH_SHARE : 1);
    double allowed = CAUTION * (b->params.ratio * requests + slack);
    if (repeats + 1 > allowed) {
        return false;
    }
    a->repeats[a->slice % (SLICES + 1)]++;
    return true;
}
