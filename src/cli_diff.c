/* Line differences between two texts. */
#include "cli.h"

#include <string.h>

/* The table of the longest common subsequence has at most so many cells
   (64 MB).  For larger texts all lines between the common start and the common
   end are shown as replaced. */
#define MAX_CELLS (16u * 1024 * 1024)

typedef struct {
    char **old;
    char **now;
    guint old_len;
    guint now_len;
    guint head; /* count of equal lines at the start */
    GString *out;
    guint shown; /* index of the old line that follows the last output */
} Diff;

static void
print_line(Diff *d, char mark, guint at, const char *line)
{
    if (d->shown != at || d->out->len == 0) {
        g_string_append_printf(d->out, "@@ %u\n", at + 1);
    }
    g_string_append_printf(d->out, "%c%s\n", mark, line);
    d->shown = mark == '-' ? at + 1 : at;
}

static void
replace_all(Diff *d, guint old_end, guint now_end)
{
    for (guint i = d->head; i < old_end; i++) {
        print_line(d, '-', i, d->old[i]);
    }
    for (guint i = d->head; i < now_end; i++) {
        print_line(d, '+', old_end, d->now[i]);
    }
}

/* Cell (i, j), row-major: length of the longest common subsequence of the old
   lines from i and the new lines from j, both counted from head. */
static uint32_t *
make_table(const Diff *d, guint rows, guint cols)
{
    uint32_t *t = g_new0(uint32_t, (size_t)(rows + 1) * (cols + 1));
    for (guint i = rows; i-- > 0;) {
        for (guint j = cols; j-- > 0;) {
            uint32_t *cell = &t[(size_t)i * (cols + 1) + j];
            bool same = strcmp(d->old[d->head + i], d->now[d->head + j]) == 0;
            *cell = same ? cell[cols + 2] + 1 : MAX(cell[cols + 1], cell[1]);
        }
    }
    return t;
}

static void
walk_table(Diff *d, const uint32_t *t, guint rows, guint cols)
{
    guint i = 0;
    guint j = 0;
    while (i < rows || j < cols) {
        const uint32_t *cell = &t[(size_t)i * (cols + 1) + j];
        if (i < rows && j < cols &&
            strcmp(d->old[d->head + i], d->now[d->head + j]) == 0) {
            i++;
            j++;
        }
        else if (i < rows && (j == cols || cell[cols + 1] >= cell[1])) {
            print_line(d, '-', d->head + i, d->old[d->head + i]);
            i++;
        }
        else {
            print_line(d, '+', d->head + i, d->now[d->head + j]);
            j++;
        }
    }
}

static void
compare_lines(Diff *d)
{
    guint old_end = d->old_len;
    guint now_end = d->now_len;
    while (d->head < old_end && d->head < now_end &&
           strcmp(d->old[d->head], d->now[d->head]) == 0) {
        d->head++;
    }
    while (old_end > d->head && now_end > d->head &&
           strcmp(d->old[old_end - 1], d->now[now_end - 1]) == 0) {
        old_end--;
        now_end--;
    }
    guint rows = old_end - d->head;
    guint cols = now_end - d->head;
    if ((uint64_t)(rows + 1) * (cols + 1) > MAX_CELLS) {
        replace_all(d, old_end, now_end);
        return;
    }
    uint32_t *t = make_table(d, rows, cols);
    walk_table(d, t, rows, cols);
    g_free(t);
}

char *
cli_diff(const char *old_text, const char *new_text)
{
    g_auto(GStrv) old = g_strsplit(old_text, "\n", -1);
    g_auto(GStrv) now = g_strsplit(new_text, "\n", -1);
    Diff d = {old,
              now,
              g_strv_length(old),
              g_strv_length(now),
              0,
              g_string_new(NULL),
              0};
    compare_lines(&d);
    return g_string_free(d.out, FALSE);
}
