/* Runs placement cores over one log by a script on standard input, and prints
   the records that they append and the orders that they give.  Used by the
   scripted tests and by the fuzzer.  After each command the invariants of
   every core are checked ("BROKEN ..."), then "ok" is printed.

     config                 append the configuration with the models below
     limits LOADS GAP_MS    limits of loads from the store, for new placers
     place NODE             start a placer of dc1, which has read no entry
     kill NODE              end it
     time MS                set the clock
     tick NODE
     vms NODE ID:DEPLOYMENT[:leaving] ...
     log NODE up|down
     read NODE COUNT        deliver the next entries
     restore NODE           restore the state of the whole log, without
                            delivering the records
     commit N / drop N      append N enters the log, or is lost
     beat NODE FROM         NODE receives a heartbeat of FROM, the owner
     demand NODE MODEL:WAITING:INFLIGHT[:SLACK_MS[:PRIORITY]] ...
     done NODE N acked|stale|busy|unsent|unknown SEQ
     report NODE N BOOT SEQ CAPACITY MODEL:LOAD:loading|loaded:MB ...
     drain NODE / drained NODE / state NODE / offset

   Upstreams of deployment "fen" check fencing tokens, those of "ign" don't.
   Models: fa, fb on fen and ia, ib on ign, 40 and 60 MB, ceilings 1 and 2; fl
   is an adapter of 10 MB on fb. */
#include "base.h"
#include "fold.h"
#include "log_records.h"
#include "placer.h"
#include "script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_WORDS 32
#define MAX_ENTRIES 100000

static const char template_text[] =
    "[template]\nname = t\ncold_second_cost = 10\nidle_hour_cost = 3000\n"
    "[upstreams fen]\nkind = engine\nfencing = checked\n"
    "[upstreams ign]\nkind = engine\nfencing = ignored\n"
    "[model fa]\nupstreams = fen\nmemory_mb = 40\nload_ms = 100\n"
    "replicas = 1\n"
    "[model fb]\nupstreams = fen\nmemory_mb = 60\nload_ms = 100\n"
    "replicas = 2\n"
    "[adapter fl]\nbase = fb\nmemory_mb = 10\n"
    "[model ia]\nupstreams = ign\nmemory_mb = 40\nload_ms = 100\n"
    "replicas = 1\n"
    "[model ib]\nupstreams = ign\nmemory_mb = 60\nload_ms = 100\n"
    "replicas = 2\n[workspace]\nmodels = *\n";

typedef struct {
    uint8_t *data;
    size_t len;
} Bytes;

typedef struct {
    PlOrderKind kind;
    char *upstream;
    char *model;
    char *load_id;
    uint64_t fence;
    uint64_t epoch;
} Order;

typedef struct {
    char *name;
    struct Script *script;
    Fold *fold;
    PlCore *core;
    uint32_t read; /* entries delivered */
    uint64_t now_ms;
} Node;

typedef struct Script {
    GHashTable *nodes; /* name -> Node */
    GArray *log;       /* Bytes */
    GArray *appends;   /* Bytes; data NULL once decided */
    GPtrArray *orders; /* Order */
    uint64_t now_ms;
    uint32_t max_loads;
    uint32_t load_gap_ms;
} Script;

static const char *const kind_names[] = {"poll", "fence", "load", "unload"};

/* ---- output of the cores ------------------------------------------------ */

static void
print_record(const Node *n, guint id, const Bg__Record *r)
{
    printf("append %s %u ", n->name, id);
    switch (r->body_case) {
    case BG__RECORD__BODY_CLAIM:
        printf("claim on %llu, %zu granting\n",
               (unsigned long long)r->claim->base_epoch, r->claim->n_grant);
        break;
    case BG__RECORD__BODY_INTENT:
        printf("intent %s %s\n", r->intent->upstream, r->intent->model);
        break;
    case BG__RECORD__BODY_SETTLE:
        printf("settle %s %s %s%s\n", r->settle->upstream, r->settle->model,
               r->settle->closed       ? "closed"
               : r->settle->loaded     ? "loaded"
               : r->settle->life_ended ? "ended"
                                       : "absent",
               "");
        break;
    case BG__RECORD__BODY_QUIESCE:
        printf("quiesce %llu, %zu open\n",
               (unsigned long long)r->quiesce->epoch, r->quiesce->n_open);
        break;
    default:
        printf("clear\n");
        break;
    }
}

static guint
add_append(Script *s, Bg__Record *r)
{
    char id[BG_ID_LEN + 1];
    snprintf(id, sizeof(id), "%032x", s->appends->len + 1);
    Bytes b;
    b.data = rec_encode_batch(id, &r, 1, &b.len);
    g_array_append_val(s->appends, b);
    return s->appends->len - 1;
}

static void
output_append(void *ctx, Bg__Record *r)
{
    Node *n = ctx;
    print_record(n, add_append(n->script, r), r);
    rec_free(r);
}

static void
output_order(void *ctx, const PlOrder *o)
{
    Node *n = ctx;
    Order *copy = g_new0(Order, 1);
    copy->kind = o->kind;
    copy->upstream = g_strdup(o->upstream);
    copy->model = g_strdup(o->model);
    copy->load_id = g_strdup(o->load_id);
    copy->fence = o->fence;
    copy->epoch = o->epoch;
    g_ptr_array_add(n->script->orders, copy);
    printf("order %s %u %s %s %s %s %u %llu %llu %s\n", n->name,
           n->script->orders->len - 1, kind_names[o->kind], o->upstream,
           o->model ? o->model : "-", o->load_id ? o->load_id : "-",
           o->memory_mb, (unsigned long long)o->fence,
           (unsigned long long)o->epoch, o->boot ? o->boot : "-");
}

static void
output_refuse(void *ctx, const char *model, uint64_t retry_after_ms,
              const char *reason)
{
    Node *n = ctx;
    printf("refuse %s %s %llu %s\n", n->name, model,
           (unsigned long long)retry_after_ms, reason);
}

static void
observe(void *ctx, uint64_t offset, const char *batch_id, const Bg__Record *r,
        FoldResult result, const char *why)
{
    Node *n = ctx;
    (void)batch_id;
    if (result == FOLD_CONFLICT) {
        printf("lost %s %llu %s\n", n->name, (unsigned long long)offset, why);
    }
    if (n->core) {
        pl_on_record(n->core, n->now_ms, offset, r, result);
    }
}

/* ---- commands ----------------------------------------------------------- */

static uint64_t
get_number(const char *word)
{
    return word ? strtoull(word, NULL, 10) : 0;
}

static void
free_node(gpointer p)
{
    Node *n = p;
    pl_destroy(n->core);
    fold_destroy(n->fold);
    g_free(n->name);
    g_free(n);
}

static void
free_order(gpointer p)
{
    Order *o = p;
    g_free(o->upstream);
    g_free(o->model);
    g_free(o->load_id);
    g_free(o);
}

static Node *
get_node(Script *s, const char *name)
{
    Node *n = g_hash_table_lookup(s->nodes, name);
    if (n) {
        n->now_ms = s->now_ms;
    }
    return n;
}

static void
run_config(Script *s)
{
    g_autofree char *digest = bg_digest_hex("k", 1);
    g_autofree char *values = g_strdup_printf(
        "[workspace]\nname = w\ntemplate = t\nkeys_sha256 = %s\n", digest);
    Bg__ConfigRecord c = BG__CONFIG_RECORD__INIT;
    c.name = "t";
    c.template_text = (char *)template_text;
    c.values_text = &values;
    c.n_values_text = 1;
    Bg__Record r = BG__RECORD__INIT;
    r.body_case = BG__RECORD__BODY_CONFIG;
    r.config = &c;
    guint id = add_append(s, &r);
    Bytes *b = &g_array_index(s->appends, Bytes, id);
    g_array_append_val(s->log, *b);
    b->data = NULL;
}

static void
run_place(Script *s, const char *name)
{
    Node *n = g_new0(Node, 1);
    n->name = g_strdup(name);
    n->script = s;
    n->fold = fold_create();
    n->now_ms = s->now_ms;
    fold_set_observer(n->fold, observe, n);
    PlParams params = {.node = n->name,
                       .data_centre = "dc1",
                       .lease_ms = 2000,
                       .poll_ms = 200,
                       .max_loads = s->max_loads,
                       .load_gap_ms = s->load_gap_ms,
                       .max_adapters = 32,
                       .gone_ms = 10000,
                       .keep_min_ms = 2000,
                       .per_replica = 8,
                       .seed = 1};
    PlOutput out = {n, output_append, output_order, output_refuse};
    n->core = pl_create(&params, n->fold, &out);
    g_hash_table_replace(s->nodes, n->name, n);
}

static void
run_read(Script *s, Node *n, uint64_t count)
{
    for (; count > 0 && n->read < s->log->len; count--) {
        const Bytes *b = &g_array_index(s->log, Bytes, n->read++);
        g_autoptr(GError) err = NULL;
        if (!fold_apply(n->fold, n->read, b->data, b->len, &err)) {
            printf("refused whole: %s\n", err->message);
        }
    }
}

/* Restore the state of the whole log, as a process does that fell too far
   behind: the core gets no pl_on_record calls for it. */
static void
run_restore(Script *s, Node *n)
{
    Fold *whole = fold_create();
    for (guint i = 0; i < s->log->len; i++) {
        const Bytes *b = &g_array_index(s->log, Bytes, i);
        fold_apply(whole, i + 1, b->data, b->len, NULL);
    }
    g_autoptr(GByteArray) state = fold_encode(whole);
    g_autoptr(GError) err = NULL;
    if (fold_restore(n->fold, state->data, state->len, &err)) {
        n->read = s->log->len;
    }
    else {
        printf("not restored: %s\n", err->message);
    }
    fold_destroy(whole);
}

static void
run_vms(const Script *s, Node *n, char **w, int count)
{
    g_autoptr(GArray) vms = g_array_new(FALSE, TRUE, sizeof(PlVm));
    g_autoptr(GPtrArray) parts =
        g_ptr_array_new_with_free_func((GDestroyNotify)g_strfreev);
    for (int i = 0; i < count; i++) {
        char **part = g_strsplit(w[i], ":", 3);
        g_ptr_array_add(parts, part);
        PlVm vm = {part[0], part[1], part[0], part[2] != NULL};
        g_array_append_val(vms, vm);
    }
    pl_on_vms(n->core, s->now_ms, (PlVm *)(void *)vms->data, vms->len);
}

static void
run_demand(const Script *s, Node *n, char **w, int count)
{
    Bg__Demand d = BG__DEMAND__INIT;
    Bg__Want wants[MAX_WORDS];
    Bg__Want *want_list[MAX_WORDS];
    Bg__Usage uses[MAX_WORDS];
    Bg__Usage *use_list[MAX_WORDS];
    for (int i = 0; i < count; i++) {
        char *save;
        char *name = strtok_r(w[i], ":", &save);
        uint32_t waiting = (uint32_t)get_number(strtok_r(NULL, ":", &save));
        uint32_t inflight = (uint32_t)get_number(strtok_r(NULL, ":", &save));
        const char *slack = strtok_r(NULL, ":", &save);
        const char *priority = slack ? strtok_r(NULL, ":", &save) : NULL;
        bg__want__init(&wants[i]);
        wants[i].model = name;
        wants[i].waiting = waiting;
        wants[i].slack_ms = slack ? get_number(slack) : 10000;
        wants[i].priority = (uint32_t)get_number(priority);
        bg__usage__init(&uses[i]);
        uses[i].model = name;
        uses[i].inflight = inflight;
        if (waiting) {
            want_list[d.n_wants++] = &wants[i];
        }
        if (inflight) {
            use_list[d.n_usage++] = &uses[i];
        }
    }
    d.wants = want_list;
    d.usage = use_list;
    pl_on_demand(n->core, s->now_ms, "router", &d);
}

static void
finish_order(const Script *s, Node *n, const char *id, PlOrderOutcome outcome,
             uint64_t seq, const PlReport *report)
{
    if (get_number(id) >= s->orders->len) {
        printf("no order %s\n", id);
        return;
    }
    const Order *o = s->orders->pdata[get_number(id)];
    PlOrderResult r = {.kind = o->kind,
                       .upstream = o->upstream,
                       .model = o->model,
                       .load_id = o->load_id,
                       .outcome = outcome,
                       .fence = o->fence,
                       .epoch = o->epoch,
                       .seq = seq,
                       .report = report};
    pl_on_order_done(n->core, s->now_ms, &r);
}

static void
run_done(const Script *s, Node *n, char **w)
{
    static const char *const outcomes[] = {"acked", "stale", "busy", "unsent",
                                           "unknown"};
    for (int i = 0; i < (int)G_N_ELEMENTS(outcomes); i++) {
        if (strcmp(outcomes[i], w[1]) == 0) {
            finish_order(s, n, w[0], (PlOrderOutcome)i, get_number(w[2]),
                         NULL);
        }
    }
}

static void
run_report(const Script *s, Node *n, char **w, int count)
{
    PlResident list[MAX_WORDS];
    PlReport r = {.boot = w[1],
                  .seq = get_number(w[2]),
                  .capacity_mb = (uint32_t)get_number(w[3]),
                  .residents = list};
    for (int i = 4; i < count; i++) {
        char *save;
        PlResident *at = &list[r.resident_count++];
        at->model = strtok_r(w[i], ":", &save);
        at->load_id = strtok_r(NULL, ":", &save);
        at->loaded = strcmp(strtok_r(NULL, ":", &save), "loaded") == 0;
        at->memory_mb = (uint32_t)get_number(strtok_r(NULL, ":", &save));
    }
    finish_order(s, n, w[0], PL_ACKED, r.seq, &r);
}

static void
decide_append(Script *s, const char *id, bool commit)
{
    if (get_number(id) >= s->appends->len) {
        printf("no append %s\n", id);
        return;
    }
    Bytes *b = &g_array_index(s->appends, Bytes, get_number(id));
    if (b->data && commit && s->log->len < MAX_ENTRIES) {
        g_array_append_val(s->log, *b);
    }
    else {
        g_free(b->data);
    }
    b->data = NULL;
}

static void
print_state(const Node *n)
{
    g_autofree char *text = pl_dump(n->core);
    puts(text);
}

static bool
run_node_command(Script *s, Node *n, char **w, int count)
{
    if (strcmp(w[0], "tick") == 0) {
        pl_on_tick(n->core, s->now_ms);
    }
    else if (strcmp(w[0], "vms") == 0) {
        run_vms(s, n, w + 2, count - 2);
    }
    else if (strcmp(w[0], "log") == 0) {
        bool up = strcmp(w[2], "up") == 0;
        pl_on_log(n->core, s->now_ms, up, up && n->read == s->log->len);
    }
    else if (strcmp(w[0], "read") == 0) {
        run_read(s, n, get_number(w[2]));
    }
    else if (strcmp(w[0], "restore") == 0) {
        run_restore(s, n);
    }
    else if (strcmp(w[0], "beat") == 0) {
        pl_on_heartbeat(n->core, s->now_ms, w[2], true);
    }
    else if (strcmp(w[0], "demand") == 0) {
        run_demand(s, n, w + 2, count - 2);
    }
    else if (strcmp(w[0], "done") == 0) {
        run_done(s, n, w + 2);
    }
    else if (strcmp(w[0], "report") == 0) {
        run_report(s, n, w + 2, count - 2);
    }
    else if (strcmp(w[0], "drain") == 0) {
        pl_on_drain(n->core, s->now_ms);
    }
    else if (strcmp(w[0], "drained") == 0) {
        puts(pl_is_drained(n->core) ? "drained" : "not drained");
    }
    else if (strcmp(w[0], "state") == 0) {
        print_state(n);
    }
    else if (strcmp(w[0], "kill") == 0) {
        g_hash_table_remove(s->nodes, n->name);
    }
    else {
        return false;
    }
    return true;
}

static bool
run_command(Script *s, char **w, int count)
{
    if (strcmp(w[0], "config") == 0) {
        run_config(s);
    }
    else if (strcmp(w[0], "place") == 0) {
        run_place(s, w[1]);
    }
    else if (strcmp(w[0], "limits") == 0) {
        s->max_loads = (uint32_t)get_number(w[1]);
        s->load_gap_ms = (uint32_t)get_number(w[2]);
    }
    else if (strcmp(w[0], "time") == 0) {
        s->now_ms = get_number(w[1]);
    }
    else if (strcmp(w[0], "commit") == 0 || strcmp(w[0], "drop") == 0) {
        decide_append(s, w[1], strcmp(w[0], "commit") == 0);
    }
    else if (strcmp(w[0], "offset") == 0) {
        printf("%u\n", s->log->len);
    }
    else {
        Node *n = count > 1 ? get_node(s, w[1]) : NULL;
        return n && run_node_command(s, n, w, count);
    }
    return true;
}

static void
check_all(Script *s)
{
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, s->nodes);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Node *n = p;
        g_autoptr(GString) faults = g_string_new(NULL);
        if (pl_check(n->core, faults) > 0) {
            printf("BROKEN %s %s", n->name, faults->str);
        }
    }
}

static void
run_line(Script *s, char *line)
{
    static char nothing[] = "";
    char *words[MAX_WORDS];
    for (int i = 0; i < MAX_WORDS; i++) {
        words[i] = nothing;
    }
    int count = script_split(line, words, MAX_WORDS);
    if (count == 0) {
        return;
    }
    if (!run_command(s, words, count)) {
        printf("no such command: %s\n", words[0]);
    }
    check_all(s);
    puts("ok");
    fflush(stdout);
}

static void
free_bytes(GArray *list)
{
    for (guint i = 0; i < list->len; i++) {
        g_free(g_array_index(list, Bytes, i).data);
    }
    g_array_free(list, TRUE);
}

int
main(void)
{
    bg_set_log_level(BG_FAULT);
    Script s = {.now_ms = 100000, .max_loads = 4};
    s.nodes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_node);
    s.log = g_array_new(FALSE, FALSE, sizeof(Bytes));
    s.appends = g_array_new(FALSE, FALSE, sizeof(Bytes));
    s.orders = g_ptr_array_new_with_free_func(free_order);
    char line[65536];
    while (fgets(line, sizeof(line), stdin)) {
        run_line(&s, line);
    }
    g_hash_table_destroy(s.nodes);
    free_bytes(s.log);
    free_bytes(s.appends);
    g_ptr_array_free(s.orders, TRUE);
    return 0;
}
