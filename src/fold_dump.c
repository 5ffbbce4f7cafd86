/* The fold's state as a page for operators. */
#include "fold_internal.h"

#include <jansson.h>

static json_t *
dump_centre(const Centre *c)
{
    json_t *intents = json_array();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, c->intents);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        FoldIntent *in = p;
        json_array_append_new(
            intents,
            json_pack("{s:s, s:s, s:i, s:I, s:b, s:b}", "upstream",
                      in->upstream, "model", in->model, "memory_mb",
                      (int)in->memory_mb, "epoch", (json_int_t)in->epoch,
                      "loaded", in->loaded, "open", in->open->len > 0));
    }
    return json_pack("{s:s, s:I, s:o}", "holder",
                     c->claim.holder ? c->claim.holder : "", "epoch",
                     (json_int_t)c->claim.epoch, "intents", intents);
}

static uint32_t
count_quarantined(const Fold *f)
{
    uint32_t n = 0;
    GHashTableIter it;
    gpointer d;
    g_hash_table_iter_init(&it, f->deaths);
    while (g_hash_table_iter_next(&it, NULL, &d)) {
        n += ((Deaths *)d)->upstreams->len >= FOLD_DEATHS_TO_QUARANTINE;
    }
    return n;
}

char *
fold_dump(const Fold *f)
{
    json_t *templates = json_object();
    g_autoptr(GPtrArray) names = fold_list_templates(f);
    for (guint i = 0; i < names->len; i++) {
        json_object_set_new(
            templates, names->pdata[i],
            json_integer(
                (json_int_t)fold_find_template(f, names->pdata[i])->version));
    }
    json_t *centres = json_object();
    GHashTableIter it;
    gpointer name;
    gpointer p;
    g_hash_table_iter_init(&it, f->centres);
    while (g_hash_table_iter_next(&it, &name, &p)) {
        json_object_set_new(centres, name, dump_centre(p));
    }
    json_t *doc =
        json_pack("{s:I, s:o, s:o, s:i, s:i, s:i}", "offset",
                  (json_int_t)f->offset, "templates", templates,
                  "data_centres", centres, "keys", (int)keys_count(f->keys),
                  "deadly_requests", (int)g_hash_table_size(f->deaths),
                  "quarantined_requests", (int)count_quarantined(f));
    char *text = json_dumps(doc, JSON_SORT_KEYS | JSON_COMPACT);
    json_decref(doc);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}
