#include "retry_budget.h"

/* The sliding window is counted in slices; a retry counts until its whole
   slice has left the window. */
#define SLICES 10
/* Part of the budget that is used: requests may arrive elsewhere than where
   they are counted. */
#define SAFETY_FACTOR 0.7
/* Part of its slack that a new process uses in its first window: the process
   before it may have spent the rest. */
#define NEW_PROCESS_SHARE 0.3

typedef struct {
    uint64_t slice; /* number of the newest slice counted */
    uint32_t requests[SLICES + 1];
    uint32_t retries[SLICES + 1];
} Account;

struct Rb {
    RbParams params;
    uint64_t start_ms;
    uint64_t gateways_ms; /* when params.gateways or more were last known */
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
    if (b->params.gateways == 0 || gateways >= b->params.gateways ||
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
        a->retries[a->slice % (SLICES + 1)] = 0;
    }
    return a;
}

void
rb_on_request(Rb *b, uint64_t now_ms, const char *service)
{
    Account *a = get_account(b, now_ms, service);
    a->requests[a->slice % (SLICES + 1)]++;
}

/* This gateway's part of the slack.  One that does not know how many share it
   uses none: hundreds may start at once. */
static double
get_slack(const Rb *b, uint64_t now_ms)
{
    if (b->params.gateways == 0) {
        return 0;
    }
    bool is_new = now_ms < b->start_ms + b->params.window_ms;
    return b->params.slack / b->params.gateways *
           (is_new ? NEW_PROCESS_SHARE : 1);
}

bool
rb_take(Rb *b, uint64_t now_ms, const char *service)
{
    Account *a = get_account(b, now_ms, service);
    uint32_t requests = 0;
    uint32_t retries = 0;
    for (int i = 0; i <= SLICES; i++) {
        requests += a->requests[i];
        retries += a->retries[i];
    }
    double slack = get_slack(b, now_ms);
    double allowed = SAFETY_FACTOR * (b->params.ratio * requests + slack);
    if (retries + 1 > allowed) {
        return false;
    }
    a->retries[a->slice % (SLICES + 1)]++;
    return true;
}
