#include "upstream_limits.h"

typedef struct {
    double per_s; /* 0: no limit now */
    bool unreadable;
} Entry;

struct Ul {
    GHashTable *entries; /* id -> Entry */
};

Ul *
ul_create(void)
{
    Ul *l = g_new0(Ul, 1);
    l->entries =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return l;
}

void
ul_destroy(Ul *l)
{
    g_hash_table_destroy(l->entries);
    g_free(l);
}

static Entry *
get_entry(Ul *l, const char *upstream)
{
    Entry *e = g_hash_table_lookup(l->entries, upstream);
    if (!e) {
        e = g_new0(Entry, 1);
        g_hash_table_insert(l->entries, g_strdup(upstream), e);
    }
    return e;
}

UlChange
ul_on_answer(Ul *l, const char *upstream, const UlNamed *named)
{
    Entry *e = g_hash_table_lookup(l->entries, upstream);
    if (named->kind == UL_UNLIMITED && !e) {
        return UL_SAME;
    }
    e = e ? e : get_entry(l, upstream);
    bool was_unreadable = e->unreadable;
    e->unreadable = named->kind == UL_UNREADABLE;
    if (e->unreadable) {
        return was_unreadable ? UL_SAME : UL_NOT_READ;
    }
    double before = e->per_s;
    e->per_s = named->kind == UL_LIMITED ? named->per_s : 0;
    return e->per_s == before ? UL_SAME
           : e->per_s == 0    ? UL_ENDED
           : before == 0      ? UL_BEGUN
                              : UL_CHANGED;
}

void
ul_forget(Ul *l, const char *upstream)
{
    g_hash_table_remove(l->entries, upstream);
}

double
ul_get_limit(const Ul *l, const char *upstream)
{
    const Entry *e = g_hash_table_lookup(l->entries, upstream);
    return e ? e->per_s : 0;
}
