#include "suspects_internal.h"

#include <stdio.h>
#include <string.h>

#define NOTE_ROWS 32  /* of a lease record, which is written often */
#define MAX_NOTE 2048 /* bytes of one that is read */
/* What was cleared lately stays so. */
#define NOTE_AGE_MS 10000

/* Before the key of a part; a former release passes over such words. */
#define PART_MARK 'p'
#define MANY_MARK 'P' /* ... under more than one request */

/* The surest first, of these the ones that come most often. */
static gint
compare_surety(gconstpointer a, gconstpointer b)
{
    const Suspect *x = a;
    const Suspect *y = b;
    if (x->ends != y->ends) {
        return x->ends < y->ends ? 1 : -1;
    }
    return (x->asked < y->asked) - (x->asked > y->asked);
}

char *
sp_print_note(const Sp *s, uint64_t now_ms)
{
    if (s->suspects == 0) {
        return NULL;
    }
    GList *rows =
        g_list_sort(g_hash_table_get_values(s->rows), compare_surety);
    GString *out = g_string_new(NULL);
    uint32_t count = 0;
    for (GList *l = rows; l && count < NOTE_ROWS; l = l->next) {
        const Suspect *x = l->data;
        if (x->ends == 0) {
            break;
        }
        if (count > 0) {
            g_string_append_c(out, ',');
        }
        if (x->part) {
            g_string_append_c(out, x->many ? MANY_MARK : PART_MARK);
        }
        g_string_append_printf(out, "%llx.%u.%u.%u.%u",
                               (unsigned long long)x->request, x->ends,
                               x->solo_ends, x->late_runs,
                               sp_get_time_left(x->hold_until_ms, now_ms));
        count++;
    }
    g_list_free(rows);
    return g_string_free(out, FALSE);
}

void
sp_read_note(Sp *s, uint64_t now_ms, const char *note)
{
    if (strlen(note) > MAX_NOTE) {
        bg_log(BG_WARN, "suspects", "ignored a lease record's note");
        return;
    }
    g_auto(GStrv) words = g_strsplit(note, ",", NOTE_ROWS);
    for (char **w = words; *w; w++) {
        unsigned long long request;
        unsigned ends;
        unsigned solo_ends;
        unsigned late_runs;
        unsigned hold_ms;
        int length = 0;
        bool many = **w == MANY_MARK;
        bool part = many || **w == PART_MARK;
        const char *word = *w + part;
        int fields = sscanf(word, "%16llx.%9u.%9u.%9u.%9u%n", &request, &ends,
                            &solo_ends, &late_runs, &hold_ms, &length);
        if (fields != 5 || word[length]) {
            bg_log(BG_WARN, "suspects", "ignored '%s' of a lease record", *w);
            continue;
        }
        SpRow row = {.request = request,
                     .ends = ends,
                     .solo_ends = MIN(solo_ends, ends),
                     .late_runs = MIN(late_runs, SP_LATE_RUNS),
                     .hold_ms = MIN(hold_ms, SP_BLOCK_MS),
                     .age_ms = NOTE_AGE_MS,
                     .part = part,
                     .many = many};
        sp_on_known(s, now_ms, &row);
    }
}
