/* What the answer to an order tells of its upstream. */
#include "model_placement_internal.h"

/* Before the next order after a conflict with our own running order. */
#define CONFLICT_RETRY_MS 25
/* An unload waits for running requests.  So conflicts are expected for this
   long after it is accepted, and are no sign of unknown content. */
#define UNLOAD_DRAIN_MS 1200
/* Steps of the wait after an unload, whenever the next order was refused or
   accepted: one in six is refused then. */
#define UNLOAD_WAIT_MORE_MS 10
#define UNLOAD_WAIT_LESS_MS 2
#define MAX_UNLOAD_WAIT_MS 100

static void
apply_model_order(const Mp *m, Up *u, uint64_t now_ms)
{
    Replica *r = mp_find_replica(u, u->order_model);
    if (u->order_unload) {
        /* Its memory counts as free from now on: until the unload is done the
           upstream refuses the next order with a conflict. */
        u->unloaded_ms = now_ms;
        u->after_unload = true;
        u->retry_ms = now_ms + m->unload_ms;
        if (r) {
            mp_remove_replica(u, r);
        }
        return;
    }
    if (!r) {
        r = mp_add_replica(u, u->order_model, 0);
    }
    r->ordered_ms = now_ms;
    r->late = false;
    r->expected_ms = now_ms + u->order_load_ms;
    r->integral_at_start_ms = m->load_integral_ms;
    r->ready_ms = u->order_from_store ? WHEN_REPORTED : r->expected_ms;
    r->used_ms = r->expected_ms;
    u->busy_until_ms = r->ready_ms;
    u->next_report_ms = r->expected_ms;
    mp_add_copies(u, u->order_model);
}

static void
apply_adapter_order(Up *u, uint64_t now_ms)
{
    Replica *r = mp_find_replica(u, u->order_model);
    Adapter *a = r ? mp_find_adapter(r, u->order_adapter) : NULL;
    if (u->order_unload && a) {
        /* It occupies its slot until a report no longer lists it. */
        a->leaving = true;
    }
    else if (!u->order_unload && r && !a) {
        mp_add_adapter(r, u->order_adapter, now_ms + ADAPTER_LOAD_MS);
    }
}

/* The adapter was not in use and has been unloaded already. */
static void
remove_adapter(Up *u)
{
    Replica *r = mp_find_replica(u, u->order_model);
    Adapter *a = r ? mp_find_adapter(r, u->order_adapter) : NULL;
    if (a) {
        g_ptr_array_remove(r->adapters, a);
    }
    u->sequence++;
    u->published = false;
}

static void
apply_order(const Mp *m, Up *u, uint64_t now_ms)
{
    if (u->order_adapter) {
        apply_adapter_order(u, now_ms);
    }
    else {
        apply_model_order(m, u, now_ms);
    }
    u->published = false;
}

/* The unload is not known to have been accepted.  The replica is published
   again; otherwise its callers could not use it, and its model would not be
   loaded on this upstream again. */
static void
cancel_unload(Up *u)
{
    Replica *r = mp_find_replica(u, u->order_model);
    if (r) {
        r->unloading = false;
        u->published = false;
    }
}

static void
on_accepted(const Mp *m, Up *u, uint64_t now_ms)
{
    u->sequence++;
    u->changed_ms = now_ms;
    apply_order(m, u, now_ms);
    if (!u->order_unload && !u->order_adapter) {
        mp_set_goal(u, NULL);
    }
    else if (u->order_adapter && u->order_unload) {
        mp_invalidate_content(u, now_ms + REPORT_LAG_MS);
    }
}

static void
on_no_change(const Mp *m, Up *u, uint64_t now_ms)
{
    u->changed_ms = now_ms;
    if (u->order_adapter && u->order_unload) {
        remove_adapter(u);
        return;
    }
    /* The answer does not say whether the order counts in the sequence, so a
       report is needed. */
    u->order_load_ms = 0;
    apply_order(m, u, now_ms);
    mp_invalidate_content(u, now_ms);
    mp_set_goal(u, NULL);
}

/* The first order after an unload shows whether it came too early. */
static void
note_after_unload(Mp *m, Up *u, MpOrderResult result)
{
    uint64_t after_ms = u->order_ms - u->unloaded_ms;
    if (!u->after_unload) {
        return;
    }
    u->after_unload = false;
    if (result == MP_ORDER_CONFLICT && after_ms <= MAX_UNLOAD_WAIT_MS) {
        m->unload_ms =
            MIN(MAX(m->unload_ms, (uint32_t)after_ms) + UNLOAD_WAIT_MORE_MS,
                MAX_UNLOAD_WAIT_MS);
    }
    else if (result == MP_ORDER_ACCEPTED &&
             m->unload_ms >= UNLOAD_WAIT_LESS_MS) {
        m->unload_ms -= UNLOAD_WAIT_LESS_MS;
    }
}

void
mp_on_order_result(Mp *m, uint64_t now_ms, const char *id,
                   MpOrderResult result)
{
    Up *u = g_hash_table_lookup(m->ups, id);
    if (!u || !u->ordered) {
        return;
    }
    u->ordered = false;
    note_after_unload(m, u, result);
    if (u->order_from_store && result != MP_ORDER_ACCEPTED &&
        result != MP_ORDER_UNKNOWN) {
        mp_cancel_store_start(m, u->order_ms);
    }
    if (u->order_unload && !u->order_adapter && result != MP_ORDER_ACCEPTED) {
        cancel_unload(u);
    }
    /* If only the answer is missing the upstream may be healthy: a report is
       requested first.  An order that wasn't sent says nothing of the upstream
       either: orders go directly, and reports come by any way. */
    if (result != MP_ORDER_NOT_SENT) {
        u->unsent_orders = 0;
        mp_set_reachable(m, u, true);
    }
    switch (result) {
    case MP_ORDER_ACCEPTED:
        on_accepted(m, u, now_ms);
        break;
    case MP_ORDER_NO_CHANGE:
        on_no_change(m, u, now_ms);
        break;
    case MP_ORDER_CONFLICT:
        u->retry_ms = now_ms + CONFLICT_RETRY_MS;
        if (now_ms > u->unloaded_ms + UNLOAD_DRAIN_MS) {
            mp_invalidate_content(u, now_ms + CONFLICT_RETRY_MS);
        }
        break;
    case MP_ORDER_NOT_SENT:
        u->retry_ms = now_ms + (REPORT_INTERVAL_MS
                                << MIN(u->unsent_orders, MAX_REPORT_BACKOFFS));
        u->unsent_orders++;
        if (!u->report_pending) {
            mp_request_report(m, u);
        }
        break;
    case MP_ORDER_REFUSED:
    case MP_ORDER_UNKNOWN:
        u->changed_ms = now_ms;
        u->retry_ms = now_ms + REPORT_INTERVAL_MS;
        mp_invalidate_content(u, now_ms + REPORT_INTERVAL_MS);
        mp_set_goal(u, NULL);
        break;
    }
}
