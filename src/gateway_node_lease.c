#include "gateway_node.h"

#include <string.h>

/* A renewal that the store did not answer in this time is also requested from
   linked gateways.  The leader is the gateway that most often loses its path
   to the store while its links still work; without this, no orders would go
   out for four seconds each time.  All these appends have the same condition,
   so at most one of them succeeds.  The lease counts from the moment at which
   the first was begun. */
#define RELAY_AFTER_MS 150
/* If our own append failed, and none of theirs succeeded within this time, the
   failure is reported to ls. */
#define RELAY_WAIT_MS 500
#define RELAYS 2 /* one of them may be cut off from the store as well */
#define OWNER_KEY "owner" /* records under others are none of ours */

/* ---- reading ------------------------------------------------------------ */

typedef struct {
    char *value; /* NULL: none */
    uint64_t offset;
} Newest;

static Newest
find_newest(const StReply *r)
{
    Newest n = {NULL, 0};
    const StRecord *newest = NULL;
    for (guint i = 0; r->result == ST_OK && i < r->records->len; i++) {
        const StRecord *x = r->records->pdata[i];
        bool newer = !newest || x->offset >= newest->offset;
        newest = newer && strcmp(x->key, OWNER_KEY) == 0 ? x : newest;
    }
    if (newest) {
        gsize len = 0;
        const char *data =
            newest->value ? g_bytes_get_data(newest->value, &len) : "";
        n.value = g_strndup(data, len);
        n.offset = newest->offset;
    }
    return n;
}

static void
on_lease_read(void *ctx, const StReply *r)
{
    Gateway *g = ctx;
    Newest n = find_newest(r);
    ls_on_read(g->lease, bg_boot_ms(), r->result, n.value, n.offset, r->next);
    g_free(n.value);
    if (r->result == ST_OK) {
        gn_take_lease_note(g);
    }
}

static void
list_lease(Gateway *g)
{
    g->store->ops->list(g->store, ST_OWNER, NULL, on_lease_read, g);
}

static void
on_lease_tail(void *ctx, const StReply *r)
{
    if (r->result == ST_TRIMMED) {
        list_lease(ctx);
        return;
    }
    on_lease_read(ctx, r);
}

void
gn_read_lease(void *ctx, uint64_t from)
{
    Gateway *g = ctx;
    if (from == 0) {
        list_lease(g);
        return;
    }
    g->store->ops->read(g->store, ST_OWNER, from, 0, on_lease_tail, g);
}

/* ---- appending, directly or through linked gateways --------------------- */

static void
finish_append(Gateway *g, StResult result, uint64_t offset, uint64_t tail)
{
    g->renewal.pending = false;
    g_clear_pointer(&g->renewal.value, g_free);
    ls_on_append(g->lease, bg_boot_ms(), result, offset, tail);
}

static void
relay_append(Gateway *g)
{
    Renewal *r = &g->renewal;
    if (r->relayed || !g->is_leader) {
        return;
    }
    r->relayed = true;
    Gwp__LeaseAppend a = GWP__LEASE_APPEND__INIT;
    a.id = r->id;
    a.at = r->at;
    a.value = r->value;
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_LEASE_APPEND;
    f.lease_append = &a;
    uint32_t count = lk_send_some(g->links, RELAYS, &f);
    JlLine *l = jl_begin("lease-relayed");
    jl_number(l, "to", count);
    jl_end(l);
}

typedef struct {
    Gateway *g;
    uint64_t id;
} AppendCtx;

static void
on_own_append(void *ctx, const StReply *reply)
{
    AppendCtx *c = ctx;
    Gateway *g = c->g;
    Renewal *r = &g->renewal;
    bool current = r->pending && r->id == c->id;
    bool settled = reply->result == ST_OK || reply->result == ST_CONFLICT;
    g_free(c);
    g->store_unresponsive = !settled;
    if (!current) {
        return;
    }
    if (settled || !g->is_leader || lk_count_peers(g->links) == 0) {
        finish_append(g, reply->result, reply->offset, reply->tail);
        return;
    }
    r->own_failed = true;
    r->own_result = reply->result;
    relay_append(g);
}

void
gn_append_lease(void *ctx, uint64_t at, const char *value)
{
    Gateway *g = ctx;
    Renewal *r = &g->renewal;
    uint64_t id = r->id + 1;
    g_free(r->value);
    *r = (Renewal){.id = id,
                   .pending = true,
                   .at = at,
                   .value = g_strdup(value),
                   .sent_ms = bg_boot_ms()};
    AppendCtx *c = g_new0(AppendCtx, 1);
    c->g = g;
    c->id = id;
    g->store->ops->append(g->store, ST_OWNER, at, OWNER_KEY, value,
                          strlen(value), on_own_append, c);
    if (g->store_unresponsive) {
        relay_append(g);
    }
}

void
gn_tick_lease(Gateway *g, uint64_t now_ms)
{
    Renewal *r = &g->renewal;
    if (!r->pending) {
        return;
    }
    if (now_ms >= r->sent_ms + RELAY_AFTER_MS) {
        relay_append(g);
    }
    if (r->own_failed && now_ms >= r->sent_ms + RELAY_WAIT_MS) {
        finish_append(g, r->own_result, 0, 0);
    }
}

void
gn_take_lease_answer(Gateway *g, const Gwp__LeaseAnswer *a)
{
    const Renewal *r = &g->renewal;
    if (!r->pending || r->id != a->id) {
        return;
    }
    if (a->end == ST_OK) {
        finish_append(g, ST_OK, a->offset, a->tail);
    }
    else if (a->end == ST_CONFLICT) {
        /* Either our own append succeeded and its answer was lost, or
           another VM has claimed the lease: the record that the gateway read
           for us shows which. */
        finish_append(g, ST_CONFLICT, 0, a->tail);
        ls_on_read(g->lease, bg_boot_ms(), ST_OK, a->value, a->offset,
                   a->tail);
    }
}

/* ---- appending for the leader ------------------------------------------- */

typedef struct {
    Gateway *g;
    uint64_t id;
} RelayCtx;

static void
answer_relay(const RelayCtx *c, StResult result, const Newest *n,
             uint64_t tail)
{
    Gwp__LeaseAnswer a = GWP__LEASE_ANSWER__INIT;
    a.id = c->id;
    a.end = result;
    a.offset = n->offset;
    a.tail = tail;
    a.value = n->value ? n->value : (char *)"";
    Gwp__Frame f = GWP__FRAME__INIT;
    f.body_case = GWP__FRAME__BODY_LEASE_ANSWER;
    f.lease_answer = &a;
    lk_send_up(c->g->links, &f);
}

static void
on_relay_read(void *ctx, const StReply *r)
{
    RelayCtx *c = ctx;
    Newest n = find_newest(r);
    if (n.value) {
        answer_relay(c, ST_CONFLICT, &n, r->next);
    }
    g_free(n.value);
    g_free(c);
}

static void
on_relay_append(void *ctx, const StReply *r)
{
    RelayCtx *c = ctx;
    if (r->result == ST_CONFLICT) {
        St *store = c->g->store;
        store->ops->list(store, ST_OWNER, NULL, on_relay_read, c);
        return;
    }
    if (r->result == ST_OK) {
        Newest n = {NULL, r->offset};
        answer_relay(c, ST_OK, &n, r->tail);
    }
    g_free(c);
}

void
gn_relay_lease(Gateway *g, const Gwp__LeaseAppend *a)
{
    RelayCtx *c = g_new0(RelayCtx, 1);
    c->g = g;
    c->id = a->id;
    g->store->ops->append(g->store, ST_OWNER, a->at, OWNER_KEY, a->value,
                          strlen(a->value), on_relay_append, c);
}

/* ---- change of leader --------------------------------------------------- */

/* A renewal that was read in the store shows that the leader lives, also to a
   gateway that has no link to it. */
static void
note_renewal(Gateway *g)
{
    const char *leader = g->lease ? ls_get_leader_vm(g->lease) : NULL;
    if (leader && !g->is_leader &&
        strcmp(leader, gn_get_text(g, "name")) != 0) {
        gw_on_leader(g->gw, bg_boot_ms(), ls_get_leader_delay_ms(g->lease));
    }
}

void
gn_on_lease_changed(void *ctx)
{
    Gateway *g = ctx;
    note_renewal(g);
    /* Until a leader is known the link stays where it is. */
    const char *address = g->lease ? ls_get_leader_address(g->lease) : NULL;
    gn_set_leader(g, address ? address : g->uplink.leader);
}
