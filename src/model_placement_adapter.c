#include "model_placement_internal.h"

#include <string.h>

#define ADAPTER_MIN_IDLE_MS 300
/* A slot that is free, or becomes so at once, is taken by then. */
#define SLOT_ORDER_MS 200
/* Added to the cost of an upstream without a free adapter slot, so that any
   with one is preferred. */
#define FULL_COST 100

static uint32_t
count_adapters(const Up *u)
{
    uint32_t n = 0;
    for (guint i = 0; i < u->replicas->len; i++) {
        n += ((Replica *)u->replicas->pdata[i])->adapters->len;
    }
    return n;
}

static bool
is_idle(const Mp *m, uint64_t now_ms, const Up *u, const Replica *r,
        const Adapter *a)
{
    if (a->leaving || now_ms < a->used_ms + ADAPTER_MIN_IDLE_MS) {
        return false;
    }
    const Demand *d = mp_find_adapter_demand(m, r->model, a->name);
    return !(d && d->waiting > 0) && !mp_is_in_use(u, r->model, a->name);
}

/* The least recently used of the adapters that are idle; NULL: none is. */
static Adapter *
pick_victim(const Mp *m, uint64_t now_ms, const Up *u, Model **model)
{
    Adapter *best = NULL;
    for (guint i = 0; i < u->replicas->len; i++) {
        const Replica *r = u->replicas->pdata[i];
        for (guint j = 0; j < r->adapters->len; j++) {
            Adapter *a = r->adapters->pdata[j];
            if ((!best || a->used_ms < best->used_ms) &&
                is_idle(m, now_ms, u, r, a)) {
                best = a;
                *model = r->model;
            }
        }
    }
    return best;
}

/* An adapter that requests wait for. */
typedef struct {
    Model *model;
    const char *name;
    const char *version; /* on upstreams of it; NULL: on any */
} Wanted;

static bool
fits_version(const Up *u, const Wanted *w)
{
    return !w->version || g_strcmp0(u->entry->version, w->version) == 0;
}

static bool
is_being_loaded(const Up *u, const Wanted *w)
{
    return u->ordered && !u->order_unload && u->order_model == w->model &&
           g_strcmp0(u->order_adapter, w->name) == 0;
}

static bool
holds_adapter(const Up *u, const Wanted *w)
{
    const Replica *r = mp_find_replica(u, w->model);
    for (guint i = 0; r && i < r->adapters->len; i++) {
        const Adapter *a = r->adapters->pdata[i];
        if (!a->leaving && strcmp(a->name, w->name) == 0) {
            return true;
        }
    }
    return false;
}

/* Loaded or being loaded on a usable upstream. */
static bool
is_placed(const Wanted *w)
{
    for (guint i = 0; i < w->model->holders->len; i++) {
        const Up *u = w->model->holders->pdata[i];
        if (mp_can_use(u) && fits_version(u, w) &&
            (holds_adapter(u, w) || is_being_loaded(u, w))) {
            return true;
        }
    }
    return false;
}

static Up *
find_upstream(const Mp *m, uint64_t now_ms, const Wanted *w)
{
    const Model *model = w->model;
    Up *best = NULL;
    uint32_t min_cost = 0;
    for (guint i = 0; i < model->holders->len; i++) {
        Up *u = model->holders->pdata[i];
        const Replica *r = mp_find_replica(u, model);
        if (!mp_can_use(u) || !fits_version(u, w) || r->unloading ||
            r->ready_ms > now_ms || !mp_can_order(u, now_ms)) {
            continue;
        }
        uint32_t cost = count_adapters(u);
        Model *owner;
        if (cost >= u->service->max_adapters) {
            if (!pick_victim(m, now_ms, u, &owner)) {
                continue;
            }
            cost += FULL_COST;
        }
        if (!best || cost < min_cost) {
            best = u;
            min_cost = cost;
        }
    }
    return best;
}

static void
place_adapter(Mp *m, uint64_t now_ms, const Wanted *w)
{
    Up *u = find_upstream(m, now_ms, w);
    if (!u) {
        return;
    }
    if (count_adapters(u) < u->service->max_adapters) {
        mp_send_order(m, now_ms, u, w->model, w->name, false);
        return;
    }
    Model *owner = NULL;
    const Adapter *a = pick_victim(m, now_ms, u, &owner);
    g_autofree char *name = g_strdup(a->name);
    mp_send_order(m, now_ms, u, owner, name, true);
}

static gint
compare_waiting(gconstpointer a, gconstpointer b)
{
    const AdapterDemand *x = *(const AdapterDemand *const *)a;
    const AdapterDemand *y = *(const AdapterDemand *const *)b;
    uint64_t x_ms = x->demand.waiting_since_ms;
    uint64_t y_ms = y->demand.waiting_since_ms;
    return x_ms != y_ms ? (x_ms < y_ms ? -1 : 1) : strcmp(x->name, y->name);
}

/* The adapters that requests wait for, the longest first: a slot that becomes
   free is theirs in turn.  Of AdapterDemand. */
static GPtrArray *
list_waiting(const Mp *m)
{
    GPtrArray *list = g_ptr_array_new();
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, m->adapters);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const AdapterDemand *d = v;
        Wanted w = {d->model, d->name, NULL};
        if (d->demand.waiting > 0 && !is_placed(&w)) {
            g_ptr_array_add(list, v);
        }
    }
    g_ptr_array_sort(list, compare_waiting);
    return list;
}

void
mp_place_adapters(Mp *m, uint64_t now_ms)
{
    g_autoptr(GPtrArray) list = list_waiting(m);
    for (guint i = 0; i < list->len; i++) {
        const AdapterDemand *d = list->pdata[i];
        Wanted w = {d->model, d->name, NULL};
        place_adapter(m, now_ms, &w);
    }
}

/* When the first of LIST that waits for an adapter of MODEL began to. */
static uint64_t
find_queue_start(const GPtrArray *list, const Model *model)
{
    for (guint i = 0; i < list->len; i++) {
        const AdapterDemand *d = list->pdata[i];
        if (d->model == model) {
            return d->demand.waiting_since_ms;
        }
    }
    return UINT64_MAX;
}

void
mp_visit_adapter_waits(const Mp *m, uint64_t now_ms,
                       void (*visit)(void *ctx, const char *key,
                                     uint32_t wait_ms),
                       void *ctx)
{
    g_autoptr(GPtrArray) list = list_waiting(m);
    for (guint i = 0; i < list->len; i++) {
        const AdapterDemand *d = list->pdata[i];
        uint64_t queued_ms =
            bg_get_age_ms(now_ms, find_queue_start(list, d->model));
        if (queued_ms < SLOT_ORDER_MS) {
            continue;
        }
        g_autofree char *key = dep_make_key(d->model->name, d->name);
        visit(ctx, key, (uint32_t)queued_ms);
    }
}

void
mp_place_adapter_at(Mp *m, uint64_t now_ms, const VersionDemand *d)
{
    Wanted w = {d->model, d->adapter, d->version};
    if (!is_placed(&w)) {
        place_adapter(m, now_ms, &w);
    }
}
