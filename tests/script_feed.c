/* Drives four feeds on one simulated log from a script on standard input, for
   the scripted tests and test_fuzz_fold.py.  Feeds 0 and 1 are placers and 2 a
   router of dc1; 3 is a placer of dc2.

     append NAME PRIORITY     a new version of template NAME
     bad                      append an entry that does not decode
     trim OFFSET              the log keeps nothing below OFFSET
     down 0|1                 1: reads and appends fail
     read I [repeat|reverse|damage|skip]
                              answer the pending read of feed I
     link I J / unlink I J
     beat I J                 I's heartbeat reaches J
     deliver I [drop|twice|reverse]   the frames queued for I
     tick MS                  time passes for all
     restart I                I restarts without state
     reset                    replace the log by a new, empty one
     rounds N                 N times: 100 ms, heartbeats, frames, reads
     compare I J              their offsets, and whether their states agree
     check                    offset of each; compares all with the log
     settle                   end all faults, run rounds until all have caught
                              up (at most MAX_ROUNDS), then check */
#include "base.h"
#include "ckpt.h"
#include "feed.h"
#include "log_records.h"
#include "script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FEEDS 4
#define MAX_WORDS 6
#define MAX_ROUNDS 200
#define MIN_ROUNDS 30
#define STEP_MS 100
#define HEARTBEAT_ROUNDS 2
#define PAGE_ENTRIES 20

/* An entry of the log. */
typedef struct {
    uint8_t *data;
    size_t len;
    uint64_t digest; /* of the fold's state after it */
} Entry;

typedef struct {
    int from;
    Bg__Frame *frame;
} QueuedFrame;

typedef struct World World;

typedef struct {
    World *world;
    int id;
    char name[8];
    Fold *fold;
    Feed *feed;
    uint64_t read_offset; /* of the pending read; 0: none */
    GQueue inbox;         /* QueuedFrame */
    uint64_t top;         /* highest offset since its start */
} FeedProcess;

struct World {
    GArray *log; /* Entry; offset 1 is index 0 */
    uint64_t first;
    bool down;
    Fold *reference;
    uint32_t batches;
    uint32_t damaged_reads;
    uint64_t now_ms;
    FeedProcess processes[FEEDS];
    bool linked[FEEDS][FEEDS];
};

static const char *const centres[FEEDS] = {"dc1", "dc1", "dc1", "dc2"};
static const char *const roles[FEEDS] = {"placer", "placer", "router",
                                         "placer"};

/* ---- the log ------------------------------------------------------------ */

static uint64_t
get_next(const World *w)
{
    return w->log->len + 1;
}

static void
append_bytes(World *w, uint8_t *data, size_t len)
{
    Entry e = {data, len, 0};
    g_autoptr(GError) err = NULL;
    fold_apply(w->reference, get_next(w), data, len, &err);
    e.digest = fold_digest(w->reference);
    g_array_append_val(w->log, e);
}

static void
append_record(World *w, Bg__Record *r)
{
    char id[BG_ID_LEN + 1];
    snprintf(id, sizeof(id), "%032x", ++w->batches);
    size_t len;
    uint8_t *data = rec_encode_batch(id, &r, 1, &len);
    append_bytes(w, data, len);
}

static LogPage
make_page(const World *w, uint64_t from)
{
    LogPage page = {w->first, get_next(w),
                    g_array_new(FALSE, TRUE, sizeof(LogEntry))};
    for (uint64_t at = from; at < get_next(w) && at < from + PAGE_ENTRIES;
         at++) {
        const Entry *e = &g_array_index(w->log, Entry, at - 1);
        LogEntry copy = {at, g_memdup2(e->data, e->len), e->len};
        g_array_append_val(page.entries, copy);
    }
    return page;
}

static void
inject_read_fault(World *w, LogPage *page, const char *how)
{
    GArray *a = page->entries;
    if (!how || a->len == 0) {
        return;
    }
    LogEntry *e = &g_array_index(a, LogEntry, 0);
    if (strcmp(how, "damage") == 0) {
        /* Differs each time: the feed accepts an entry that does not decode
           if two reads return the same bytes. */
        e->data[w->damaged_reads % e->len] ^=
            (uint8_t)(1 + w->damaged_reads % 255);
        w->damaged_reads++;
    }
    else if (strcmp(how, "repeat") == 0) {
        LogEntry copy = {e->offset, g_memdup2(e->data, e->len), e->len};
        g_array_append_val(a, copy);
    }
    else if (strcmp(how, "skip") == 0) {
        g_free(e->data);
        g_array_remove_index(a, 0);
    }
    else {
        for (guint i = 0; i < a->len / 2; i++) {
            LogEntry *x = &g_array_index(a, LogEntry, i);
            LogEntry *y = &g_array_index(a, LogEntry, a->len - 1 - i);
            LogEntry t = *x;
            *x = *y;
            *y = t;
        }
    }
}

static void
read_log(World *w, FeedProcess *b, const char *how)
{
    uint64_t from = b->read_offset;
    if (!from) {
        return;
    }
    if (w->down) {
        feed_on_unreachable(b->feed, w->now_ms);
    }
    else if (from < w->first) {
        feed_on_trimmed(b->feed, w->now_ms, w->first, get_next(w));
    }
    else {
        LogPage page = make_page(w, from);
        inject_read_fault(w, &page, how);
        b->read_offset = 0;
        feed_on_page(b->feed, w->now_ms, from, &page);
        lc_clear_page(&page);
    }
}

/* ---- output of the feeds ------------------------------------------------ */

static void
take_read_from(void *ctx, uint64_t offset)
{
    ((FeedProcess *)ctx)->read_offset = offset;
}

static Bg__Frame *
copy_frame(const Bg__Frame *f)
{
    size_t len = bg__frame__get_packed_size(f);
    g_autofree uint8_t *data = g_malloc(len + 1);
    bg__frame__pack(f, data);
    return bg__frame__unpack(NULL, len, data);
}

static void
queue_frame(World *w, int from, int to, const Bg__Frame *frame)
{
    if (!w->linked[from][to]) {
        return;
    }
    QueuedFrame *m = g_new0(QueuedFrame, 1);
    m->from = from;
    m->frame = copy_frame(frame);
    g_queue_push_tail(&w->processes[to].inbox, m);
}

static void
take_send(void *ctx, const char *node, const Bg__Frame *frame)
{
    FeedProcess *b = ctx;
    for (int i = 0; i < FEEDS; i++) {
        if (strcmp(b->world->processes[i].name, node) == 0) {
            queue_frame(b->world, b->id, i, frame);
        }
    }
}

static void
take_append(void *ctx, Bg__Record *r)
{
    FeedProcess *b = ctx;
    if (!b->world->down) {
        append_record(b->world, r);
    }
    rec_free(r);
}

static void
take_open(void *ctx, bool open)
{
    (void)ctx;
    (void)open;
}

/* ---- processes ---------------------------------------------------------- */

static void
free_frame(gpointer p)
{
    QueuedFrame *m = p;
    bg__frame__free_unpacked(m->frame, NULL);
    g_free(m);
}

static void
start_process(World *w, int i)
{
    FeedProcess *b = &w->processes[i];
    b->world = w;
    b->id = i;
    snprintf(b->name, sizeof(b->name), "n%d", i);
    b->fold = fold_create();
    FeedParams p = {.node = b->name,
                    .data_centre = centres[i],
                    .role = roles[i],
                    .readers_per_centre = 1,
                    .relay_wait_ms = 500,
                    .checkpoint_entries = 8,
                    .checkpoint_ms = 60000,
                    .seed = (uint64_t)i + 1};
    FeedOutput out = {b,           take_read_from, take_send,
                      take_append, take_open,      NULL};
    b->feed = feed_create(&p, b->fold, &out);
    b->read_offset = 0;
    b->top = 0;
}

static void
stop_process(FeedProcess *b)
{
    feed_destroy(b->feed);
    fold_destroy(b->fold);
    g_queue_clear_full(&b->inbox, free_frame);
}

static PeerInfo
get_info(const World *w, int i)
{
    PeerInfo info = {w->processes[i].name, centres[i], roles[i]};
    return info;
}

static void
set_link(World *w, int i, int j, bool up)
{
    if (i == j || w->linked[i][j] == up) {
        return;
    }
    w->linked[i][j] = w->linked[j][i] = up;
    PeerInfo a = get_info(w, i);
    PeerInfo b = get_info(w, j);
    feed_on_link(w->processes[i].feed, w->now_ms, &b, up);
    feed_on_link(w->processes[j].feed, w->now_ms, &a, up);
}

static void
send_heartbeat(World *w, int i, int j)
{
    Bg__Heartbeat hb = BG__HEARTBEAT__INIT;
    hb.node = w->processes[i].name;
    feed_fill_heartbeat(w->processes[i].feed, &hb);
    Bg__Frame frame = BG__FRAME__INIT;
    frame.body_case = BG__FRAME__BODY_HEARTBEAT;
    frame.heartbeat = &hb;
    queue_frame(w, i, j, &frame);
}

static void
deliver_one(World *w, int i, QueuedFrame *m)
{
    PeerInfo from = get_info(w, m->from);
    feed_on_frame(w->processes[i].feed, w->now_ms, &from, m->frame);
}

static void
deliver(World *w, int i, const char *how)
{
    GQueue *inbox = &w->processes[i].inbox;
    /* Frames that are sent during the delivery are left for the next one. */
    guint count = inbox->length;
    if (how && strcmp(how, "reverse") == 0) {
        g_queue_reverse(inbox);
    }
    for (guint k = 0; k < count; k++) {
        QueuedFrame *m = g_queue_pop_head(inbox);
        if (!how || strcmp(how, "drop") != 0) {
            deliver_one(w, i, m);
        }
        if (how && strcmp(how, "twice") == 0) {
            deliver_one(w, i, m);
        }
        free_frame(m);
    }
}

/* ---- commands ----------------------------------------------------------- */

static void
run_append(World *w, char **words)
{
    const FoldConfig *now = fold_find_template(w->reference, words[1]);
    g_autofree char *text =
        g_strdup_printf("[template]\nname = %s\n[workspace]\npriority = %s\n",
                        words[1], words[2]);
    Bg__ConfigRecord c = BG__CONFIG_RECORD__INIT;
    c.name = words[1];
    c.base_version = now ? now->version : 0;
    c.template_text = text;
    Bg__Record r = BG__RECORD__INIT;
    r.body_case = BG__RECORD__BODY_CONFIG;
    r.config = &c;
    append_record(w, &r);
}

static void
run_bad(World *w, char **words)
{
    (void)words;
    append_bytes(w, (uint8_t *)g_strdup("no batch"), 8);
}

static void
run_trim(World *w, char **words)
{
    uint64_t first = strtoull(words[1], NULL, 10);
    w->first = CLAMP(first, w->first, get_next(w));
}

static void
run_down(World *w, char **words)
{
    w->down = words[1][0] == '1';
}

static int
get_process(const char *word)
{
    int i = atoi(word);
    return i >= 0 && i < FEEDS ? i : 0;
}

static void
run_read(World *w, char **words)
{
    read_log(w, &w->processes[get_process(words[1])], words[2]);
}

static void
run_link(World *w, char **words)
{
    set_link(w, get_process(words[1]), get_process(words[2]), true);
}

static void
run_unlink(World *w, char **words)
{
    set_link(w, get_process(words[1]), get_process(words[2]), false);
}

static void
run_heartbeat(World *w, char **words)
{
    send_heartbeat(w, get_process(words[1]), get_process(words[2]));
}

static void
run_deliver(World *w, char **words)
{
    deliver(w, get_process(words[1]), words[2]);
}

static void
pass_time(World *w, uint64_t wait_ms)
{
    w->now_ms += wait_ms;
    for (int i = 0; i < FEEDS; i++) {
        feed_on_tick(w->processes[i].feed, w->now_ms);
    }
}

static void
run_tick(World *w, char **words)
{
    pass_time(w, strtoull(words[1], NULL, 10));
}

static void
run_restart(World *w, char **words)
{
    int i = get_process(words[1]);
    for (int j = 0; j < FEEDS; j++) {
        set_link(w, i, j, false);
    }
    stop_process(&w->processes[i]);
    start_process(w, i);
}

/* The invariant: the state of a feed at an offset is the one that the log's
   entries up to that offset give, and the offset never goes back. */
static void
check_process(World *w, FeedProcess *b)
{
    uint64_t offset = fold_get_offset(b->fold);
    const char *result = "ok";
    if (offset < b->top) {
        result = "STEPPED BACK";
    }
    else if (offset > w->log->len) {
        result = "AHEAD OF THE LOG";
    }
    else if (offset > 0 && g_array_index(w->log, Entry, offset - 1).digest !=
                               fold_digest(b->fold)) {
        result = "DIFFERS";
    }
    b->top = MAX(b->top, offset);
    printf(" %llu%s:%s", (unsigned long long)offset,
           feed_has_state(b->feed) ? "" : "-", result);
}

static void
run_check(World *w, char **words)
{
    (void)words;
    printf("%llu", (unsigned long long)w->log->len);
    for (int i = 0; i < FEEDS; i++) {
        check_process(w, &w->processes[i]);
    }
    puts("");
}

static void
run_round(World *w, int round)
{
    pass_time(w, STEP_MS);
    for (int i = 0; i < FEEDS; i++) {
        for (int j = 0; j < FEEDS && round % HEARTBEAT_ROUNDS == 0; j++) {
            send_heartbeat(w, i, j);
        }
    }
    for (int i = 0; i < FEEDS; i++) {
        deliver(w, i, NULL);
        read_log(w, &w->processes[i], NULL);
    }
}

static void
run_reset(World *w, char **words)
{
    (void)words;
    for (guint i = 0; i < w->log->len; i++) {
        g_free(g_array_index(w->log, Entry, i).data);
    }
    g_array_set_size(w->log, 0);
    w->first = 1;
    fold_destroy(w->reference);
    w->reference = fold_create();
}

static void
run_rounds(World *w, char **words)
{
    int count = atoi(words[1]);
    for (int round = 0; round < count; round++) {
        run_round(w, round);
    }
}

static void
run_compare(World *w, char **words)
{
    const Fold *a = w->processes[get_process(words[1])].fold;
    const Fold *b = w->processes[get_process(words[2])].fold;
    printf("%llu %llu %s\n", (unsigned long long)fold_get_offset(a),
           (unsigned long long)fold_get_offset(b),
           fold_digest(a) == fold_digest(b) ? "same" : "differ");
}

static bool
is_caught_up(const World *w)
{
    for (int i = 0; i < FEEDS; i++) {
        if (fold_get_offset(w->processes[i].fold) < w->log->len) {
            return false;
        }
    }
    return true;
}

static void
run_settle(World *w, char **words)
{
    w->down = false;
    for (int i = 0; i < FEEDS; i++) {
        for (int j = 0; j < FEEDS; j++) {
            set_link(w, i, j, true);
        }
    }
    for (int round = 0; round < MAX_ROUNDS; round++) {
        run_round(w, round);
        if (round >= MIN_ROUNDS && is_caught_up(w)) {
            break;
        }
    }
    run_check(w, words);
}

typedef struct {
    const char *name;
    int words; /* at least, with the command itself */
    void (*run)(World *w, char **words);
} Command;

static const Command commands[] = {
    {"append", 3, run_append},   {"bad", 1, run_bad},
    {"trim", 2, run_trim},       {"down", 2, run_down},
    {"read", 2, run_read},       {"link", 3, run_link},
    {"unlink", 3, run_unlink},   {"beat", 3, run_heartbeat},
    {"deliver", 2, run_deliver}, {"tick", 2, run_tick},
    {"restart", 2, run_restart}, {"check", 1, run_check},
    {"reset", 1, run_reset},     {"rounds", 2, run_rounds},
    {"compare", 3, run_compare}, {"settle", 1, run_settle}};

static void
run_line(World *w, char *line)
{
    char *words[MAX_WORDS + 1] = {0};
    int count = script_split(line, words, MAX_WORDS);
    if (count == 0) {
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, words[0]) == 0 &&
            count >= commands[i].words) {
            commands[i].run(w, words);
            fflush(stdout);
            return;
        }
    }
    printf("no such command: %s\n", words[0]);
}

int
main(void)
{
    World w = {.log = g_array_new(FALSE, TRUE, sizeof(Entry)),
               .first = 1,
               .reference = fold_create(),
               .now_ms = 1000};
    for (int i = 0; i < FEEDS; i++) {
        start_process(&w, i);
    }
    char line[256];
    while (fgets(line, sizeof(line), stdin)) {
        run_line(&w, line);
    }
    for (int i = 0; i < FEEDS; i++) {
        stop_process(&w.processes[i]);
    }
    for (guint i = 0; i < w.log->len; i++) {
        g_free(g_array_index(w.log, Entry, i).data);
    }
    g_array_free(w.log, TRUE);
    fold_destroy(w.reference);
    return 0;
}
