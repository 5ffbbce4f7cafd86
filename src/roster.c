#include "roster.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* Without a heartbeat for so long, a process is removed from the list. */
#define NODE_TIMEOUT_MS 5000
/* Without an update for so long, a data centre is removed. */
#define CENTRE_TIMEOUT_MS 3600000

typedef struct {
    Bg__NodeStatus status; /* owns its strings */
    uint64_t last_contact_ms;
} Row;

/* One data centre.  last_contact_ms: when its placer made the list. */
typedef struct {
    char *name;
    uint64_t last_contact_ms;
    GHashTable *rows; /* node -> Row */
} Centre;

struct Roster {
    char *node;
    char *data_centre;
    char *role;
    Bg__Heartbeat self;
    GHashTable *centres; /* name -> Centre */
};

static void
free_row(gpointer p)
{
    Row *row = p;
    g_free(row->status.node);
    g_free(row->status.data_centre);
    g_free(row->status.role);
    g_free(row);
}

static void
free_centre(gpointer p)
{
    Centre *c = p;
    g_hash_table_destroy(c->rows);
    g_free(c->name);
    g_free(c);
}

Roster *
roster_create(const char *node, const char *data_centre, const char *role)
{
    Roster *r = g_new0(Roster, 1);
    r->node = g_strdup(node);
    r->data_centre = g_strdup(data_centre);
    r->role = g_strdup(role);
    bg__heartbeat__init(&r->self);
    r->centres =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_centre);
    return r;
}

void
roster_destroy(Roster *r)
{
    g_hash_table_destroy(r->centres);
    g_free(r->node);
    g_free(r->data_centre);
    g_free(r->role);
    g_free(r);
}

static Centre *
get_centre(Roster *r, const char *name)
{
    Centre *c = g_hash_table_lookup(r->centres, name);
    if (!c) {
        c = g_new0(Centre, 1);
        c->name = g_strdup(name);
        c->rows =
            g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
        g_hash_table_insert(r->centres, c->name, c);
    }
    return c;
}

static void
set_row(Centre *c, uint64_t last_contact_ms, const char *node,
        const char *role, uint64_t version, uint64_t offset, bool held)
{
    Row *row = g_new0(Row, 1);
    bg__node_status__init(&row->status);
    row->status.node = g_strdup(node);
    row->status.data_centre = g_strdup(c->name);
    row->status.role = g_strdup(role);
    row->status.config_version = version;
    row->status.applied_offset = offset;
    row->status.held = held;
    row->last_contact_ms = last_contact_ms;
    g_hash_table_replace(c->rows, row->status.node, row);
}

void
roster_set_self(Roster *r, const Bg__Heartbeat *self)
{
    r->self = *self;
}

void
roster_on_heartbeat(Roster *r, uint64_t now_ms, const PeerInfo *from,
                    const Bg__Heartbeat *hb)
{
    if (strcmp(from->data_centre, r->data_centre) == 0) {
        set_row(get_centre(r, r->data_centre), now_ms, from->node, from->role,
                hb->config_version, hb->applied_offset, hb->held);
    }
}

void
roster_on_gossip(Roster *r, uint64_t now_ms, const Bg__Gossip *g)
{
    bool placer = strcmp(r->role, "placer") == 0;
    uint64_t last_contact_ms = now_ms > g->age_ms ? now_ms - g->age_ms : 1;
    Centre *c = get_centre(r, g->data_centre);
    /* For its own data centre a placer has newer data than any gossip. */
    if ((placer && strcmp(g->data_centre, r->data_centre) == 0) ||
        last_contact_ms <= c->last_contact_ms) {
        return;
    }
    c->last_contact_ms = last_contact_ms;
    g_hash_table_remove_all(c->rows);
    for (size_t i = 0; i < g->n_nodes; i++) {
        const Bg__NodeStatus *s = g->nodes[i];
        set_row(
            c, last_contact_ms > s->age_ms ? last_contact_ms - s->age_ms : 1,
            s->node, s->role, s->config_version, s->applied_offset, s->held);
    }
}

static gboolean
is_stale(gpointer key, gpointer row, gpointer now_ms)
{
    (void)key;
    return *(uint64_t *)now_ms - ((Row *)row)->last_contact_ms >
           NODE_TIMEOUT_MS;
}

static gboolean
is_expired(gpointer key, gpointer centre, gpointer now_ms)
{
    (void)key;
    return *(uint64_t *)now_ms - ((Centre *)centre)->last_contact_ms >
           CENTRE_TIMEOUT_MS;
}

/* Updates the list of this process's own data centre. */
static void
refresh(Roster *r, uint64_t now_ms)
{
    Centre *own = get_centre(r, r->data_centre);
    if (strcmp(r->role, "placer") == 0) {
        g_hash_table_foreach_remove(own->rows, is_stale, &now_ms);
        own->last_contact_ms = now_ms;
    }
    set_row(own, now_ms, r->node, r->role, r->self.config_version,
            r->self.applied_offset, r->self.held);
    own->last_contact_ms = MAX(own->last_contact_ms, 1);
    g_hash_table_foreach_remove(r->centres, is_expired, &now_ms);
}

static gint
compare_rows(gconstpointer a, gconstpointer b)
{
    const Row *x = *(Row *const *)a;
    const Row *y = *(Row *const *)b;
    return strcmp(x->status.node, y->status.node);
}

static GPtrArray *
list_rows(const Centre *c)
{
    GPtrArray *rows = g_ptr_array_new();
    GHashTableIter it;
    gpointer row;
    g_hash_table_iter_init(&it, c->rows);
    while (g_hash_table_iter_next(&it, NULL, &row)) {
        g_ptr_array_add(rows, row);
    }
    g_ptr_array_sort(rows, compare_rows);
    return rows;
}

static void
free_gossip(gpointer p)
{
    bg__gossip__free_unpacked(p, NULL);
}

static Bg__Gossip *
make_gossip(const Centre *c, uint64_t now_ms)
{
    g_autoptr(GPtrArray) rows = list_rows(c);
    Bg__Gossip g = BG__GOSSIP__INIT;
    g.data_centre = c->name;
    g.age_ms = now_ms - c->last_contact_ms;
    g.n_nodes = rows->len;
    g.nodes = (Bg__NodeStatus **)rows->pdata;
    for (guint i = 0; i < rows->len; i++) {
        Row *row = rows->pdata[i];
        row->status.age_ms = c->last_contact_ms > row->last_contact_ms
                                 ? c->last_contact_ms - row->last_contact_ms
                                 : 0;
    }
    size_t len = bg__gossip__get_packed_size(&g);
    g_autofree uint8_t *data = g_malloc(len + 1);
    bg__gossip__pack(&g, data);
    return bg__gossip__unpack(NULL, len, data);
}

GPtrArray *
roster_make_gossip(Roster *r, uint64_t now_ms)
{
    refresh(r, now_ms);
    GPtrArray *list = g_ptr_array_new_with_free_func(free_gossip);
    GHashTableIter it;
    gpointer c;
    g_hash_table_iter_init(&it, r->centres);
    while (g_hash_table_iter_next(&it, NULL, &c)) {
        g_ptr_array_add(list, make_gossip(c, now_ms));
    }
    return list;
}

static void
dump_centre(const Centre *c, uint64_t now_ms, json_t *nodes)
{
    g_autoptr(GPtrArray) rows = list_rows(c);
    for (guint i = 0; i < rows->len; i++) {
        const Row *row = rows->pdata[i];
        const Bg__NodeStatus *s = &row->status;
        json_array_append_new(
            nodes,
            json_pack("{s:s, s:s, s:s, s:I, s:I, s:I, s:b}", "node", s->node,
                      "data_centre", s->data_centre, "role", s->role,
                      "config_version", (json_int_t)s->config_version,
                      "applied_offset", (json_int_t)s->applied_offset,
                      "age_ms", (json_int_t)(now_ms - row->last_contact_ms),
                      "held", s->held));
    }
}

char *
roster_dump(Roster *r, uint64_t now_ms)
{
    refresh(r, now_ms);
    json_t *nodes = json_array();
    g_autoptr(GList) names = g_hash_table_get_keys(r->centres);
    names = g_list_sort(names, (GCompareFunc)strcmp);
    for (GList *l = names; l; l = l->next) {
        dump_centre(g_hash_table_lookup(r->centres, l->data), now_ms, nodes);
    }
    json_t *doc = json_pack(
        "{s:s, s:s, s:I, s:I, s:o}", "node", r->node, "data_centre",
        r->data_centre, "config_version", (json_int_t)r->self.config_version,
        "applied_offset", (json_int_t)r->self.applied_offset, "nodes", nodes);
    char *text = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    char *copy = g_strconcat(text, "\n", NULL);
    free(text);
    return copy;
}
