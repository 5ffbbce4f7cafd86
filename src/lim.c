#include "lim.h"

#include <string.h>

#define LEASE_MARGIN_MS 500 /* max. clock drift between VMs in a lease */
#define MIN_ASK_INTERVAL_MS 200
#define DEMAND_WINDOW_MS 1000
#define MIN_RETRY_MS 1000

/* A loan from one router. */
typedef struct {
    uint64_t ask_id;
    uint64_t amount;
    uint64_t expires_ms;
} Borrowed;

/* A loan to one router, which may use it until until_ms. */
typedef struct {
    char *to;
    uint64_t amount;
    uint64_t until_ms;
} Lent;

/* One limit of one workspace. */
typedef struct {
    uint64_t home; /* share, LIM_UNIT */
    int64_t level; /* of the bucket; negative: debt */
    uint64_t refilled_ms;
    uint64_t in_use;          /* CONCURRENCY: requests in flight */
    uint64_t mean_run_ms;     /* CONCURRENCY: mean duration of a request */
    uint64_t window_demand;   /* demand in the current window */
    uint64_t demand;          /* in the last window, scaled to a period */
    uint64_t window_start_ms; /* start of the current window */
    GHashTable *borrowed;     /* lender -> Borrowed */
    GArray *lent;             /* Lent */
    uint64_t ask_id;          /* of the last ask */
    uint64_t asked_ms;
} Limit;

typedef struct {
    Limit limits[LIM_KINDS];
} Account;

struct Lim {
    LimParams params;
    LimOutput out;
    uint64_t started_ms;
    uint64_t next_ask;
    uint32_t peers;
    GHashTable *accounts; /* workspace -> Account */
};

/* Time in which a bucket is filled by one share. */
static const uint64_t periods_ms[LIM_KINDS] = {1000, 60000, 1};
/* Capacity of a bucket, as the time in which it fills. */
static const uint64_t bursts_ms[LIM_KINDS] = {2000, 10000, 1};

/* ---- creation and destruction ------------------------------------------- */

static void
clear_lent(gpointer p)
{
    g_free(((Lent *)p)->to);
}

static void
free_account(gpointer p)
{
    Account *a = p;
    for (int k = 0; k < LIM_KINDS; k++) {
        g_hash_table_destroy(a->limits[k].borrowed);
        g_array_free(a->limits[k].lent, TRUE);
    }
    g_free(a);
}

static Account *
create_account(uint64_t now_ms)
{
    Account *a = g_new0(Account, 1);
    for (int k = 0; k < LIM_KINDS; k++) {
        Limit *m = &a->limits[k];
        m->borrowed =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        m->lent = g_array_new(FALSE, TRUE, sizeof(Lent));
        g_array_set_clear_func(m->lent, clear_lent);
        m->refilled_ms = m->window_start_ms = now_ms;
    }
    return a;
}

Lim *
lim_create(const LimParams *params, const LimOutput *out, uint64_t now_ms)
{
    Lim *l = g_new0(Lim, 1);
    l->params = *params;
    l->out = *out;
    l->started_ms = now_ms;
    /* Differs from the ids of an earlier process on this VM. */
    l->next_ask = now_ms << 20;
    l->accounts =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_account);
    return l;
}

void
lim_destroy(Lim *l)
{
    if (l) {
        g_hash_table_destroy(l->accounts);
        g_free(l);
    }
}

/* ---- shares ------------------------------------------------------------- */

static uint64_t
get_lease_end(const Lim *l, uint64_t now_ms)
{
    return now_ms + l->params.lease_ms + LEASE_MARGIN_MS;
}

static uint64_t
sum_lent(const Lim *l, Limit *m, uint64_t now_ms)
{
    uint64_t sum = 0;
    for (guint i = m->lent->len; i-- > 0;) {
        const Lent *lent = &g_array_index(m->lent, Lent, i);
        if (lent->until_ms <= now_ms) {
            g_array_remove_index_fast(m->lent, i);
        }
    }
    for (guint i = 0; i < m->lent->len; i++) {
        sum += g_array_index(m->lent, Lent, i).amount;
    }
    return now_ms < get_lease_end(l, l->started_ms) ? MAX(sum, m->home / 2)
                                                    : sum;
}

static uint64_t
sum_borrowed(Limit *m, uint64_t now_ms)
{
    uint64_t sum = 0;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, m->borrowed);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Borrowed *b = p;
        if (b->expires_ms <= now_ms) {
            g_hash_table_iter_remove(&it);
        }
        else {
            sum += b->amount;
        }
    }
    return sum;
}

static uint64_t
get_share(const Lim *l, Limit *m, uint64_t now_ms)
{
    uint64_t lent = sum_lent(l, m, now_ms);
    return (m->home > lent ? m->home - lent : 0) + sum_borrowed(m, now_ms);
}

static Account *
find_account(const Lim *l, const char *workspace)
{
    return g_hash_table_lookup(l->accounts, workspace);
}

uint64_t
lim_get_share(Lim *l, uint64_t now_ms, const char *workspace, LimKind kind)
{
    Account *a = find_account(l, workspace);
    return a ? get_share(l, &a->limits[kind], now_ms) : 0;
}

/* ---- limits ------------------------------------------------------------- */

void
lim_set(Lim *l, const char *workspace, const uint32_t limits[LIM_KINDS])
{
    Account *a = find_account(l, workspace);
    bool fresh = a == NULL;
    if (fresh) {
        a = create_account(l->started_ms);
        g_hash_table_insert(l->accounts, g_strdup(workspace), a);
    }
    for (int k = 0; k < LIM_KINDS; k++) {
        Limit *m = &a->limits[k];
        m->home = (uint64_t)limits[k] * LIM_UNIT / MAX(l->params.routers, 1);
        if (fresh) {
            m->level =
                (int64_t)MAX(m->home * bursts_ms[k] / periods_ms[k], LIM_UNIT);
        }
    }
}

void
lim_on_config(Lim *l, const CfgSet *cfg)
{
    GPtrArray *list = cfg_list_workspaces((CfgSet *)cfg);
    for (guint i = 0; i < list->len; i++) {
        const CfgWorkspace *w = list->pdata[i];
        uint32_t limits[LIM_KINDS] = {w->requests_per_second,
                                      w->tokens_per_minute, w->concurrency};
        lim_set(l, w->name, limits);
    }
}

void
lim_on_peers(Lim *l, uint32_t count)
{
    l->peers = count;
}

/* ---- buckets ------------------------------------------------------------ */

static void
refill(const Lim *l, Limit *m, LimKind kind, uint64_t now_ms)
{
    uint64_t share = get_share(l, m, now_ms);
    uint64_t added = share * (now_ms - m->refilled_ms) / periods_ms[kind];
    /* Capacity for at least one request, as with a small share no request
       would ever pass; the rate is not affected. */
    uint64_t capacity =
        MAX(share * bursts_ms[kind] / periods_ms[kind], LIM_UNIT);
    if (added > 0) {
        m->level = MIN(m->level + (int64_t)added, (int64_t)capacity);
        m->refilled_ms = now_ms;
    }
}

/* Time until the bucket's level is NEED. */
static uint64_t
get_fill_time(const Lim *l, Limit *m, LimKind kind, uint64_t now_ms,
              int64_t need)
{
    uint64_t share = get_share(l, m, now_ms);
    uint64_t missing = need > m->level ? (uint64_t)(need - m->level) : 0;
    return missing * periods_ms[kind] / (share ? share : 1) + 1;
}

static void
note_demand(Limit *m, LimKind kind, uint64_t now_ms, uint64_t units)
{
    uint64_t window_ms = now_ms - m->window_start_ms;
    if (window_ms >= DEMAND_WINDOW_MS) {
        m->demand = m->window_demand * periods_ms[kind] / window_ms;
        m->window_demand = 0;
        m->window_start_ms = now_ms;
    }
    m->window_demand += units * LIM_UNIT;
}

/* ---- borrowing and lending ---------------------------------------------- */

static uint64_t
get_demand(const Limit *m, LimKind kind, uint64_t now_ms)
{
    if (kind == LIM_CONCURRENCY) {
        return m->in_use * LIM_UNIT;
    }
    return now_ms - m->window_start_ms < 2 * DEMAND_WINDOW_MS
               ? MAX(m->demand, m->window_demand)
               : 0;
}

static void
ask_for_more(Lim *l, const char *workspace, Limit *m, LimKind kind,
             uint64_t now_ms)
{
    if (l->peers == 0 || now_ms < m->asked_ms + MIN_ASK_INTERVAL_MS) {
        return;
    }
    Bg__LimitAsk ask = BG__LIMIT_ASK__INIT;
    m->ask_id = ++l->next_ask;
    m->asked_ms = now_ms;
    ask.workspace = (char *)workspace;
    ask.kind = (uint32_t)kind;
    ask.ask_id = m->ask_id;
    /* Each peer is asked for an equal part of the use beyond the home share,
       plus a reserve for growing demand. */
    uint64_t use = get_demand(m, kind, now_ms);
    uint64_t more = use > m->home ? use - m->home : 0;
    ask.amount = (more + m->home / 2 + LIM_UNIT) / l->peers + 1;
    l->out.ask(l->out.ctx, &ask);
}

/* Asks before the share is used up or the loans end. */
static void
ask_if_scarce(Lim *l, const char *workspace, Limit *m, LimKind kind,
              uint64_t now_ms)
{
    uint64_t use = get_demand(m, kind, now_ms);
    bool scarce = use > m->home / 2 && use + use / 4 > get_share(l, m, now_ms);
    bool expiring =
        use > m->home && now_ms > m->asked_ms + l->params.lease_ms / 2;
    if (scarce || expiring) {
        ask_for_more(l, workspace, m, kind, now_ms);
    }
}

/* Removes the earlier loans to TO and returns the largest amount.  The
   borrower replaces them by the new loan, but if that message is lost it uses
   the old one until it expires: so the larger of both amounts is counted. */
static uint64_t
remove_loans_to(Limit *m, const char *to, uint64_t now_ms)
{
    uint64_t max_amount = 0;
    for (guint i = m->lent->len; i-- > 0;) {
        const Lent *lent = &g_array_index(m->lent, Lent, i);
        if (strcmp(lent->to, to) == 0 && lent->until_ms > now_ms) {
            max_amount = MAX(max_amount, lent->amount);
            g_array_remove_index_fast(m->lent, i);
        }
    }
    return max_amount;
}

static void
lend(const Lim *l, Limit *m, const char *to, uint64_t now_ms,
     uint64_t previous, uint64_t amount)
{
    Lent lent = {g_strdup(to), MAX(previous, amount),
                 get_lease_end(l, now_ms)};
    g_array_append_val(m->lent, lent);
}

void
lim_on_ask(Lim *l, uint64_t now_ms, const char *from, const Bg__LimitAsk *ask)
{
    Account *a = find_account(l, ask->workspace);
    if (!a || ask->kind >= LIM_KINDS ||
        now_ms < get_lease_end(l, l->started_ms)) {
        return;
    }
    Limit *m = &a->limits[ask->kind];
    uint64_t previous = remove_loans_to(m, from, now_ms);
    uint64_t lent = sum_lent(l, m, now_ms);
    uint64_t use = get_demand(m, (LimKind)ask->kind, now_ms);
    uint64_t keep = MAX(m->home - m->home / 2, use + use / 4);
    uint64_t spare = m->home > keep + lent ? m->home - keep - lent : 0;
    uint64_t amount = MIN(spare, ask->amount);
    if (MAX(previous, amount) > 0) {
        lend(l, m, from, now_ms, previous, amount);
    }
    if (amount > 0) {
        Bg__LimitLoan loan = BG__LIMIT_LOAN__INIT;
        loan.workspace = ask->workspace;
        loan.kind = ask->kind;
        loan.ask_id = ask->ask_id;
        loan.amount = amount;
        l->out.lend(l->out.ctx, from, &loan);
    }
}

void
lim_on_loan(Lim *l, uint64_t now_ms, const char *from,
            const Bg__LimitLoan *loan)
{
    Account *a = find_account(l, loan->workspace);
    if (!a || loan->kind >= LIM_KINDS) {
        return;
    }
    Limit *m = &a->limits[loan->kind];
    /* The start of the lease is known only for the answer to the last ask. */
    if (loan->ask_id != m->ask_id ||
        now_ms >= m->asked_ms + l->params.lease_ms) {
        return;
    }
    /* Refills at the old share for the time up to now. */
    refill(l, m, (LimKind)loan->kind, now_ms);
    Borrowed *b = g_new0(Borrowed, 1);
    b->ask_id = loan->ask_id;
    b->amount = loan->amount;
    b->expires_ms = m->asked_ms + l->params.lease_ms;
    g_hash_table_replace(m->borrowed, g_strdup(from), b);
}

/* ---- requests ----------------------------------------------------------- */

static bool
has_room(Lim *l, Account *a, uint64_t now_ms, LimKind *exhausted,
         uint64_t *retry_after_ms)
{
    Limit *r = &a->limits[LIM_REQUESTS];
    Limit *t = &a->limits[LIM_TOKENS];
    Limit *n = &a->limits[LIM_CONCURRENCY];
    refill(l, r, LIM_REQUESTS, now_ms);
    refill(l, t, LIM_TOKENS, now_ms);
    if (r->level < LIM_UNIT) {
        *exhausted = LIM_REQUESTS;
        *retry_after_ms = get_fill_time(l, r, *exhausted, now_ms, LIM_UNIT);
        return false;
    }
    /* The number of tokens is known only at the end of a request: it is
       admitted while the bucket is not empty and may drive it into debt. */
    if (t->level <= 0) {
        *exhausted = LIM_TOKENS;
        *retry_after_ms = get_fill_time(l, t, *exhausted, now_ms, 1);
        return false;
    }
    if ((n->in_use + 1) * LIM_UNIT > get_share(l, n, now_ms)) {
        *exhausted = LIM_CONCURRENCY;
        *retry_after_ms = n->mean_run_ms / MAX(n->in_use, 1);
        return false;
    }
    return true;
}

bool
lim_admit(Lim *l, uint64_t now_ms, const char *workspace, uint32_t tokens,
          uint64_t *retry_after_ms)
{
    Account *a = find_account(l, workspace);
    if (!a) {
        return true; /* its configuration has only just come into force */
    }
    note_demand(&a->limits[LIM_REQUESTS], LIM_REQUESTS, now_ms, 1);
    note_demand(&a->limits[LIM_TOKENS], LIM_TOKENS, now_ms, tokens);
    for (int k = 0; k < LIM_KINDS; k++) {
        ask_if_scarce(l, workspace, &a->limits[k], (LimKind)k, now_ms);
    }
    LimKind exhausted;
    if (!has_room(l, a, now_ms, &exhausted, retry_after_ms)) {
        *retry_after_ms = MAX(*retry_after_ms, MIN_RETRY_MS);
        ask_for_more(l, workspace, &a->limits[exhausted], exhausted, now_ms);
        bg_count("router_limited_total", 1);
        return false;
    }
    a->limits[LIM_REQUESTS].level -= LIM_UNIT;
    a->limits[LIM_TOKENS].level -= (int64_t)tokens * LIM_UNIT;
    a->limits[LIM_CONCURRENCY].in_use++;
    return true;
}

void
lim_release(Lim *l, uint64_t now_ms, const char *workspace, uint32_t tokens,
            uint32_t used, uint64_t held_ms)
{
    (void)now_ms;
    Account *a = find_account(l, workspace);
    if (!a || a->limits[LIM_CONCURRENCY].in_use == 0) {
        return;
    }
    Limit *n = &a->limits[LIM_CONCURRENCY];
    n->in_use--;
    n->mean_run_ms = (n->mean_run_ms * 3 + held_ms) / 4;
    a->limits[LIM_TOKENS].level +=
        ((int64_t)tokens - (int64_t)used) * LIM_UNIT;
}
