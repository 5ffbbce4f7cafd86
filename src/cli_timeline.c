/* bglade timeline: counts the events in the logs of all gateways in rows of
   two seconds: results of requests and orders, links, late event loops, and
   VMs that became leader. */
#include "cli.h"

#include <stdio.h>
#include <string.h>

#define ROW_MS 2000
/* The field "end" of an order-end event: MP_ORDER_NOT_SENT. */
#define END_NOT_SENT 4

typedef enum {
    COL_IN_TIME,
    COL_LATE,
    COL_REFUSED,
    COL_FAILED,
    COL_LEFT,
    COL_WAITS,
    COL_SENDS,
    COL_BROKEN,
    COL_NOT_RUN,
    COL_TAKEN,
    COL_CONFLICT,
    COL_UNSENT,
    COL_NO_ANSWER,
    COL_ASKED,
    COL_AWAY,
    COL_LINKED,
    COL_UNLINKED,
    COL_LATE_LOOP,
    COL_NOSTORE,
    COLUMNS
} Column;

static const char *const titles[COLUMNS] = {
    "in-time", "late",   "refused",  "failed",   "left",   "waits", "sends",
    "broken",  "notrun", "taken",    "conflict", "unsent", "noans", "asked",
    "away",    "linked", "unlinked", "lateloop", "nostore"};

typedef struct {
    int64_t begin_ms;
    uint32_t counts[COLUMNS];
    GPtrArray *leaders; /* char *, borrowed: VMs that became leader */
} Row;

/* Events that count in one column whatever their fields say. */
typedef struct {
    const char *event;
    Column column;
} EventColumn;

static const EventColumn event_columns[] = {
    {"request-waits", COL_WAITS},   {"request-sent", COL_SENDS},
    {"request-broken", COL_BROKEN}, {"request-not-run", COL_NOT_RUN},
    {"upstream-report", COL_ASKED}, {"upstream-away", COL_AWAY},
    {"placer-linked", COL_LINKED},  {"placer-lost", COL_UNLINKED},
    {"loop-late", COL_LATE_LOOP},   {"store-lost", COL_NOSTORE}};

static Column
classify_request(const json_t *f)
{
    const char *outcome = cli_get_text(f, "outcome");
    if (strcmp(outcome, "answered") == 0) {
        return *cli_get_text(f, "late") ? COL_LATE : COL_IN_TIME;
    }
    if (strcmp(outcome, "refused") == 0 || strcmp(outcome, "limited") == 0) {
        return COL_REFUSED;
    }
    return strcmp(outcome, "caller-gone") == 0 ? COL_LEFT : COL_FAILED;
}

static Column
classify_order(const json_t *f)
{
    switch (json_integer_value(json_object_get(f, "status"))) {
    case 200:
    case 202:
        return COL_TAKEN;
    case 0:
        return json_integer_value(json_object_get(f, "end")) == END_NOT_SENT
                   ? COL_UNSENT
                   : COL_NO_ANSWER;
    default:
        return COL_CONFLICT;
    }
}

static void
count_line(Row *row, const CliLine *line)
{
    const char *event = cli_get_text(line->fields, "event");
    for (size_t i = 0; i < G_N_ELEMENTS(event_columns); i++) {
        row->counts[event_columns[i].column] +=
            strcmp(event, event_columns[i].event) == 0;
    }
    if (strcmp(event, "request-end") == 0) {
        row->counts[classify_request(line->fields)]++;
    }
    else if (strcmp(event, "order-end") == 0) {
        row->counts[classify_order(line->fields)]++;
    }
    else if (strcmp(event, "lease-held") == 0) {
        g_ptr_array_add(row->leaders,
                        (void *)cli_get_text(line->fields, "node"));
    }
}

static void
print_row(const Row *row, int64_t first_ms)
{
    printf("%7.1f", (double)(row->begin_ms - first_ms) / 1000);
    for (int i = 0; i < COLUMNS; i++) {
        printf(" %*u", (int)strlen(titles[i]), row->counts[i]);
    }
    for (guint i = 0; i < row->leaders->len; i++) {
        printf(" %s", (const char *)row->leaders->pdata[i]);
    }
    putchar('\n');
}

static void
print_titles(void)
{
    printf("%7s", "seconds");
    for (int i = 0; i < COLUMNS; i++) {
        printf(" %s", titles[i]);
    }
    puts(" began to place");
}

static void
begin_row(Row *row, int64_t begin_ms)
{
    row->begin_ms = begin_ms;
    memset(row->counts, 0, sizeof(row->counts));
    g_ptr_array_set_size(row->leaders, 0);
}

int
cli_timeline(const CliArguments *a)
{
    if (a->word_count < 2) {
        fprintf(stderr, "bglade: timeline needs at least one file\n");
        return CLI_INVALID;
    }
    g_autoptr(GPtrArray) all = cli_read_lines(a->words + 1, a->word_count - 1);
    if (!all) {
        return CLI_INVALID;
    }
    g_autoptr(GPtrArray) leaders = g_ptr_array_new();
    Row row = {.leaders = leaders};
    int64_t first_ms = all->len ? ((CliLine *)all->pdata[0])->t_ms : 0;
    begin_row(&row, first_ms);
    print_titles();
    for (guint i = 0; i < all->len; i++) {
        const CliLine *line = all->pdata[i];
        while (line->t_ms >= row.begin_ms + ROW_MS) {
            print_row(&row, first_ms);
            begin_row(&row, row.begin_ms + ROW_MS);
        }
        count_line(&row, line);
    }
    print_row(&row, first_ms);
    return CLI_GOOD;
}
