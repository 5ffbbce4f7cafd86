#include "upstream_room.h"

#include <math.h>

/* Within this time a gateway is told that its request was turned away, and
   tells the leader. */
#define FATE_MS 150
/* The same, counted for slots up to LEVEL: most of it passes on the way. */
#define SAFE_FATE_MS 30
/* What was accepted is likely to be so again for this long. */
#define LEVEL_MS 3000
/* The upstream may be done with a request a little later than its answer
   says. */
#define SETTLE_MS 10
/* One turned away so soon after another one: there is far less room. */
#define AGAIN_MS 1500
#define AGAIN_FACTOR 0.7
/* Between two steps of the room. */
#define GROW_MS 250
/* No step for so long after a request was turned away, divided by how many the
   upstream bears; doubles each time it turns out too short. */
#define CALM_MS 8000
#define MIN_CALM_MS 1000
#define MAX_CALM_MS 16000
/* After the first word of a brittle upstream its slots are handed out only
   when the gateways had time to report what is under way there. */
#define HEAR_MS 250
#define MAX_WAITING 1000
/* Weight of a new interval in the mean between two slots. */
#define INTERVAL_WEIGHT 0.2
#define MAX_INTERVAL_MS 1000
#define MIN_RETRY_MS 50
#define MAX_RETRY_MS 5000
/* State of an upstream without slots and asks is kept for this long. */
#define IDLE_MS 30000

typedef struct Room Room;

typedef struct {
    Room *room;
    char *key; /* of its VM and ticket */
    uint64_t from_ms;
    uint64_t until_ms;
    uint32_t inside; /* slots when it was handed out, itself included */
    bool accepted;
    bool over; /* it counts until UNTIL_MS */
} Slot;

typedef struct {
    char *vm;
    uint64_t ticket;
    uint64_t until_ms;
    uint32_t hold_ms;
} Waiter;

struct Room {
    char *upstream;
    double rejects_per_s;
    uint32_t size;       /* slots at a time */
    bool limited;        /* a request was turned away once */
    uint32_t level;      /* slots that were accepted at a time, lately */
    uint64_t level_ms;   /* when */
    GPtrArray *slots;    /* Slot, owned by the Ur */
    GQueue waiting;      /* Waiter */
    GArray *rejected_ms; /* uint64_t, oldest first */
    uint64_t lowered_ms; /* SIZE was last lowered */
    uint64_t grown_ms;
    uint32_t calm_ms;
    double interval_ms; /* mean between two slots handed out */
    uint64_t granted_ms;
    uint64_t begun_ms;
    uint64_t used_ms;
};

struct Ur {
    UrAnswerFn answer;
    void *ctx;
    GHashTable *rooms; /* id -> Room */
    GHashTable *slots; /* key -> Slot */
    uint64_t lead_ms;  /* 0: never led */
};

/* ---- memory ------------------------------------------------------------- */

static void
free_waiter(Waiter *w)
{
    g_free(w->vm);
    g_free(w);
}

static void
free_room(void *p)
{
    Room *m = p;
    g_free(m->upstream);
    g_ptr_array_free(m->slots, TRUE);
    g_array_free(m->rejected_ms, TRUE);
    Waiter *w;
    while ((w = g_queue_pop_head(&m->waiting))) {
        free_waiter(w);
    }
    g_free(m);
}

static void
free_slot(void *p)
{
    Slot *s = p;
    g_ptr_array_remove_fast(s->room->slots, s);
    g_free(s->key);
    g_free(s);
}

Ur *
ur_create(UrAnswerFn answer, void *ctx)
{
    Ur *r = g_new0(Ur, 1);
    r->answer = answer;
    r->ctx = ctx;
    r->rooms = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_room);
    r->slots = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_slot);
    return r;
}

void
ur_destroy(Ur *r)
{
    g_hash_table_destroy(r->slots);
    g_hash_table_destroy(r->rooms);
    g_free(r);
}

void
ur_on_lead(Ur *r, uint64_t now_ms)
{
    g_hash_table_remove_all(r->slots);
    g_hash_table_remove_all(r->rooms);
    r->lead_ms = now_ms;
}

/* Requests that it may turn away within a window. */
static uint32_t
get_bearable(const Room *m)
{
    return (uint32_t)MAX(floor(MIN(m->rejects_per_s, 1e6)), 1);
}

static uint32_t
get_first_calm_ms(const Room *m)
{
    return MAX(CALM_MS / get_bearable(m), MIN_CALM_MS);
}

static Room *
get_room(Ur *r, uint64_t now_ms, const char *upstream, double rejects_per_s)
{
    Room *m = g_hash_table_lookup(r->rooms, upstream);
    if (!m) {
        m = g_new0(Room, 1);
        m->upstream = g_strdup(upstream);
        m->size = 1;
        m->begun_ms = now_ms;
        m->slots = g_ptr_array_new();
        m->rejected_ms = g_array_new(FALSE, FALSE, sizeof(uint64_t));
        g_queue_init(&m->waiting);
        g_hash_table_insert(r->rooms, m->upstream, m);
    }
    m->rejects_per_s = rejects_per_s;
    m->calm_ms = MAX(m->calm_ms, get_first_calm_ms(m));
    m->used_ms = now_ms;
    return m;
}

/* ---- what is known of a room -------------------------------------------- */

static void
raise_level(Room *m, uint64_t now_ms, uint32_t inside)
{
    if (inside >= m->level || now_ms > m->level_ms + LEVEL_MS) {
        m->level = inside;
        m->level_ms = now_ms;
    }
}

static bool
is_safe(const Room *m, uint64_t now_ms, uint32_t inside)
{
    return inside <= m->level && now_ms <= m->level_ms + LEVEL_MS;
}

/* Slots of which nobody has said that they were turned away. */
static void
accept_slots(Room *m, uint64_t now_ms)
{
    for (guint i = 0; i < m->slots->len; i++) {
        Slot *s = m->slots->pdata[i];
        if (!s->accepted && now_ms > s->from_ms + FATE_MS) {
            s->accepted = true;
            raise_level(m, now_ms, s->inside);
        }
    }
}

static uint32_t
count_rejected(Room *m, uint64_t now_ms)
{
    while (m->rejected_ms->len > 0 &&
           now_ms >
               g_array_index(m->rejected_ms, uint64_t, 0) + UR_WINDOW_MS) {
        g_array_remove_index(m->rejected_ms, 0);
    }
    return m->rejected_ms->len;
}

/* Slots that may yet turn out to have been turned away. */
static uint32_t
count_unknown(const Room *m, uint64_t now_ms)
{
    uint32_t n = 0;
    for (guint i = 0; i < m->slots->len; i++) {
        const Slot *s = m->slots->pdata[i];
        uint32_t fate_ms =
            is_safe(m, now_ms, s->inside) ? SAFE_FATE_MS : FATE_MS;
        n += !s->accepted && now_ms <= s->from_ms + fate_ms;
    }
    return n;
}

/* Slot S, which was handed out beside ACCEPTED others, was turned away. */
static void
lower_size(Room *m, uint64_t now_ms, const Slot *s, uint32_t accepted)
{
    m->level = MIN(m->level, accepted);
    bool known = m->limited && s->from_ms <= m->lowered_ms;
    bool again = m->limited && now_ms < m->lowered_ms + AGAIN_MS;
    double size = MIN(accepted, m->size);
    if (!known) {
        size *= again ? AGAIN_FACTOR : 1;
        m->calm_ms =
            m->limited ? MIN(m->calm_ms * 2, MAX_CALM_MS) : m->calm_ms;
        m->lowered_ms = now_ms;
    }
    m->limited = true;
    m->size = (uint32_t)MAX(size, 1);
}

/* All slots are taken and more are wanted. */
static void
grow(Room *m, uint64_t now_ms)
{
    if (!m->limited) {
        m->size++;
        return;
    }
    if (m->rejects_per_s < 1 || now_ms < m->lowered_ms + m->calm_ms ||
        now_ms < m->grown_ms + GROW_MS) {
        return; /* one that doesn't bear any isn't tried */
    }
    if (now_ms > m->lowered_ms + 2 * (uint64_t)m->calm_ms) {
        m->calm_ms = MAX(m->calm_ms / 2, get_first_calm_ms(m));
    }
    m->size++;
    m->grown_ms = now_ms;
}

/* ---- slots -------------------------------------------------------------- */

static char *
make_key(const char *vm, uint64_t ticket)
{
    return g_strdup_printf("%s %llu", vm, (unsigned long long)ticket);
}

static Slot *
add_slot(Ur *r, Room *m, uint64_t now_ms, const UrAsk *ask)
{
    char *key = make_key(ask->vm, ask->ticket);
    g_hash_table_remove(r->slots, key);
    Slot *s = g_new0(Slot, 1);
    s->room = m;
    s->key = key;
    s->from_ms = now_ms;
    s->until_ms = now_ms + ask->hold_ms;
    g_ptr_array_add(m->slots, s);
    s->inside = m->slots->len;
    g_hash_table_insert(r->slots, s->key, s);
    return s;
}

static bool
has_slot(Ur *r, Room *m, uint64_t now_ms)
{
    bool listens = r->lead_ms && now_ms < r->lead_ms + UR_GATHER_MS;
    if (listens || now_ms < m->begun_ms + HEAR_MS) {
        return false;
    }
    if (m->slots->len >= m->size) {
        grow(m, now_ms);
    }
    return m->slots->len < m->size &&
           count_rejected(m, now_ms) + count_unknown(m, now_ms) <
               get_bearable(m);
}

/* A waiting gateway got a slot. */
static void
note_interval(Room *m, uint64_t now_ms)
{
    double passed_ms = (double)(now_ms - MIN(m->granted_ms, now_ms));
    if (m->granted_ms) {
        m->interval_ms += INTERVAL_WEIGHT *
                          (MIN(passed_ms, MAX_INTERVAL_MS) - m->interval_ms);
    }
    m->granted_ms = now_ms;
}

static void
grant(Ur *r, Room *m, uint64_t now_ms, const UrAsk *ask)
{
    add_slot(r, m, now_ms, ask);
    r->answer(r->ctx, ask->vm, ask->ticket, true, 0);
}

/* Until a slot is free for one that comes behind those that wait. */
static uint32_t
estimate_wait_ms(const Room *m)
{
    double wait_ms = (g_queue_get_length((GQueue *)&m->waiting) + 1) *
                     MAX(m->interval_ms, 1);
    return (uint32_t)MIN(wait_ms, MAX_RETRY_MS);
}

static void
refuse(const Ur *r, const Room *m, const char *vm, uint64_t ticket)
{
    r->answer(r->ctx, vm, ticket, false,
              MAX(estimate_wait_ms(m), MIN_RETRY_MS));
}

static void
add_waiter(Room *m, uint64_t now_ms, const UrAsk *ask)
{
    Waiter *w = g_new0(Waiter, 1);
    w->vm = g_strdup(ask->vm);
    w->ticket = ask->ticket;
    w->until_ms = now_ms + ask->max_wait_ms;
    w->hold_ms = ask->hold_ms;
    g_queue_push_tail(&m->waiting, w);
}

void
ur_ask(Ur *r, uint64_t now_ms, const char *upstream, double rejects_per_s,
       const UrAsk *ask)
{
    Room *m = get_room(r, now_ms, upstream, rejects_per_s);
    accept_slots(m, now_ms);
    if (g_queue_is_empty(&m->waiting) && has_slot(r, m, now_ms)) {
        m->granted_ms = 0; /* nobody waits: says nothing of the interval */
        grant(r, m, now_ms, ask);
    }
    else if (estimate_wait_ms(m) > ask->max_wait_ms ||
             g_queue_get_length(&m->waiting) >= MAX_WAITING) {
        refuse(r, m, ask->vm, ask->ticket);
    }
    else {
        add_waiter(m, now_ms, ask);
    }
}

void
ur_on_held(Ur *r, uint64_t now_ms, const char *upstream, double rejects_per_s,
           const UrAsk *ask)
{
    Room *m = get_room(r, now_ms, upstream, rejects_per_s);
    add_slot(r, m, now_ms, ask)->accepted = true;
    raise_level(m, now_ms, m->slots->len);
    m->size = m->limited ? m->size : MAX(m->size, m->slots->len);
}

void
ur_on_over(Ur *r, uint64_t now_ms, const char *vm, uint64_t ticket, UrEnd end)
{
    g_autofree char *key = make_key(vm, ticket);
    Slot *s = g_hash_table_lookup(r->slots, key);
    if (!s || s->over) {
        return;
    }
    Room *m = s->room;
    if (end == UR_TURNED_AWAY) {
        g_array_append_val(m->rejected_ms, now_ms);
        lower_size(m, now_ms, s, s->inside - 1);
        g_hash_table_remove(r->slots, key);
        return;
    }
    if (end == UR_SERVED) {
        raise_level(m, now_ms, s->inside);
    }
    s->accepted = true;
    s->over = true;
    s->until_ms = now_ms + SETTLE_MS;
}

/* ---- time --------------------------------------------------------------- */

static gboolean
is_slot_over(gpointer key, gpointer slot, gpointer now_ms)
{
    (void)key;
    return *(uint64_t *)now_ms >= ((Slot *)slot)->until_ms;
}

static void
refuse_late(Ur *r, Room *m, uint64_t now_ms)
{
    GList *next;
    for (GList *l = m->waiting.head; l; l = next) {
        next = l->next;
        Waiter *w = l->data;
        if (now_ms >= w->until_ms) {
            g_queue_delete_link(&m->waiting, l);
            refuse(r, m, w->vm, w->ticket);
            free_waiter(w);
        }
    }
}

static void
serve_waiting(Ur *r, Room *m, uint64_t now_ms)
{
    refuse_late(r, m, now_ms);
    while (!g_queue_is_empty(&m->waiting) && has_slot(r, m, now_ms)) {
        Waiter *w = g_queue_pop_head(&m->waiting);
        UrAsk ask = {w->vm, w->ticket, 0, w->hold_ms};
        note_interval(m, now_ms);
        grant(r, m, now_ms, &ask);
        free_waiter(w);
    }
}

static bool
is_idle(const Room *m, uint64_t now_ms)
{
    return m->slots->len == 0 && now_ms > m->used_ms + IDLE_MS;
}

void
ur_on_tick(Ur *r, uint64_t now_ms)
{
    g_hash_table_foreach_remove(r->slots, is_slot_over, &now_ms);
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, r->rooms);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Room *m = v;
        accept_slots(m, now_ms);
        serve_waiting(r, m, now_ms);
        if (is_idle(m, now_ms)) {
            g_hash_table_iter_remove(&it);
        }
    }
}

void
ur_print(const Ur *r, uint64_t now_ms, GString *out)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, r->rooms);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        Room *m = v;
        g_string_append_printf(
            out,
            "{\"upstream\":\"%s\",\"rejects_per_s\":%.3f,\"room\":%u,"
            "\"slots\":%u,\"waiting\":%u,\"rejected\":%u}\n",
            m->upstream, m->rejects_per_s, m->size, m->slots->len,
            g_queue_get_length(&m->waiting), count_rejected(m, now_ms));
    }
}
