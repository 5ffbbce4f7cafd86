/* Runs a fold on a script from standard input, one command per line, and
   prints the result of each record.  For the scripted tests; other tests use
   "emit" to make batches.

     config NAME BASE PRIORITY
     claim CENTRE HOLDER BASE
     grant CENTRE HOLDER BASE UPSTREAM DEPLOYMENT   a claim with a grant
     grants CENTRE         print the grants that were not cleared
     intent CENTRE EPOCH UPSTREAM MODEL MB CAPACITY CEILING LOAD
     fenced CENTRE EPOCH UPSTREAM MODEL MB CAPACITY CEILING LOAD
                           the same on an upstream that checks fencing tokens
     settle CENTRE EPOCH UPSTREAM MODEL LOAD loaded|closed|absent|gone
     quiesce CENTRE EPOCH HOLDER OPEN_UPSTREAM|- OPEN_MODEL|-
     clear CENTRE EPOCH
     key claim|result|release|unknown WORKSPACE KEY ATTEMPT
     time AUTHOR WALL      author and clock of later key and death records
     fill COUNT            COUNT claims of keys, printed as one line
     death DIGIT UPSTREAM|cleared
     again                 append the last batch again, with the same id
     bytes TEXT            append an entry that is not a batch
     emit KIND             print in hex a batch that a fold rejects: newer,
                           kind, truncated, corrupt or garbage
     bad KIND              append such a batch
     digest                print the digest of the state
     reload                encode the state and decode it into a new fold
     checkpoint            append the state as a checkpoint
     deaths DIGIT / memory CENTRE UPSTREAM / replicas CENTRE MODEL / state */
#include "base.h"
#include "ckpt.h"
#include "fold.h"
#include "log_records.h"
#include "script.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MAX_WORDS 12

typedef struct {
    Fold *fold;
    uint64_t offset; /* of the next entry */
    uint32_t batches;
    uint8_t *last;
    size_t last_len;
    char author[32];
    uint64_t wall_ms;
    uint32_t filled; /* claims of the last fill that took effect */
    bool quiet;
} Script;

static void
print_outcome(void *ctx, uint64_t offset, const char *batch_id,
              const Bg__Record *r, FoldResult result, const char *why)
{
    static const char *const names[] = {"won", "lost", "bad"};
    Script *s = ctx;
    (void)batch_id;
    (void)r;
    if (s->quiet) {
        s->filled += result == FOLD_APPLIED;
        return;
    }
    printf("%llu %s%s%s\n", (unsigned long long)offset, names[result],
           *why ? ": " : "", why);
}

static void
apply_bytes(Script *s, const uint8_t *data, size_t len)
{
    g_autoptr(GError) err = NULL;
    uint64_t offset = s->offset++;
    if (!fold_apply(s->fold, offset, data, len, &err)) {
        printf("%llu refused whole: %s\n", (unsigned long long)offset,
               err->message);
    }
}

static void
apply_record(Script *s, Bg__Record *r)
{
    char id[BG_ID_LEN + 1];
    snprintf(id, sizeof(id), "%032x", ++s->batches);
    g_free(s->last);
    s->last = rec_encode_batch(id, &r, 1, &s->last_len);
    apply_bytes(s, s->last, s->last_len);
}

static uint64_t
get_number(const char *word)
{
    return strtoull(word, NULL, 10);
}

static void
run_config(Script *s, char **w)
{
    g_autofree char *text = g_strdup_printf(
        "[template]\nname = %s\n[upstreams %s-u]\nkind = engine\n"
        "[model %s-m]\nupstreams = %s-u\nmemory_mb = 10\n"
        "[workspace]\npriority = %s\n",
        w[1], w[1], w[1], w[1], w[3]);
    g_autofree char *digest = bg_digest_hex(w[1], strlen(w[1]));
    g_autofree char *values = g_strdup_printf(
        "[workspace]\nname = %s-w\ntemplate = %s\nkeys_sha256 = %s\n", w[1],
        w[1], digest);
    Bg__ConfigRecord c = BG__CONFIG_RECORD__INIT;
    c.name = w[1];
    c.base_version = get_number(w[2]);
    c.template_text = text;
    c.values_text = &values;
    c.n_values_text = 1;
    Bg__Record r = BG__RECORD__INIT;
    r.body_case = BG__RECORD__BODY_CONFIG;
    r.config = &c;
    apply_record(s, &r);
}

static void
run_claim(Script *s, char **w)
{
    Bg__ClaimRecord c = BG__CLAIM_RECORD__INIT;
    c.data_centre = w[1];
    c.holder = w[2];
    c.base_epoch = get_number(w[3]);
    Bg__GrantUpstream name = BG__GRANT_UPSTREAM__INIT;
    Bg__GrantUpstream *list = &name;
    name.upstream = w[4];
    name.deployment = w[5];
    c.n_grant = strcmp(w[0], "grant") == 0;
    c.grant = &list;
    Bg__Record r = BG__RECORD__INIT;
    r.body_case = BG__RECORD__BODY_CLAIM;
    r.claim = &c;
    apply_record(s, &r);
}

static void
run_grants(Script *s, char **w)
{
    const GPtrArray *all = fold_get_grants(s->fold, w[1]);
    for (guint i = 0; all && i < all->len; i++) {
        const FoldGrant *g = all->pdata[i];
        printf("grant of %llu to %llu:", (unsigned long long)g->first_epoch,
               (unsigned long long)g->last_epoch);
        for (guint j = 0; j < g->upstreams->len; j++) {
            printf(" %s:%s", (char *)g->upstreams->pdata[j],
                   (char *)g->deployments->pdata[j]);
        }
        printf("\n");
    }
}

static void
run_intent(Script *s, char **w)
{
    Bg__IntentRecord i = BG__INTENT_RECORD__INIT;
    i.data_centre = w[1];
    i.epoch = get_number(w[2]);
    i.upstream = w[3];
    i.model = w[4];
    i.memory_mb = (uint32_t)get_number(w[5]);
    i.capacity_mb = (uint32_t)get_number(w[6]);
    i.ceiling = (uint32_t)get_number(w[7]);
    i.load_id = w[8];
    i.fenced = strcmp(w[0], "fenced") == 0;
    Bg__Record r = BG__RECORD__INIT;
    r.body_case = BG__RECORD__BODY_INTENT;
    r.intent = &i;
    apply_record(s, &r);
}

static void
run_settle(Script *s, char **w)
{
    Bg__SettleRecord t = BG__SETTLE_RECORD__INIT;
    t.data_centre = w[1];
    t.epoch = get_number(w[2]);
    t.upstream = w[3];
    t.model = w[4];
    t.load_id = w[5];
    t.closed = strcmp(w[6], "closed") == 0;
    t.loaded = t.closed || strcmp(w[6], "loaded") == 0;
    t.life_ended = strcmp(w[6], "gone") == 0;
    Bg__Record r = BG__RECORD__INIT;
    r.body_case = BG__RECORD__BODY_SETTLE;
    r.settle = &t;
    apply_record(s, &r);
}

static void
run_quiesce(Script *s, char **w)
{
    Bg__QuiesceRecord q = BG__QUIESCE_RECORD__INIT;
    q.data_centre = w[1];
    q.epoch = get_number(w[2]);
    q.holder = w[3];
    Bg__OpenOrder open = BG__OPEN_ORDER__INIT;
    Bg__OpenOrder *list = &open;
    open.upstream = w[4];
    open.model = w[5];
    q.n_open = strcmp(w[4], "-") != 0;
    q.open = &list;
    Bg__Record r = BG__RECORD__INIT;
    r.body_case = BG__RECORD__BODY_QUIESCE;
    r.quiesce = &q;
    apply_record(s, &r);
}

static void
run_clear(Script *s, char **w)
{
    Bg__ClearRecord c = BG__CLEAR_RECORD__INIT;
    c.data_centre = w[1];
    c.epoch = get_number(w[2]);
    Bg__Record r = BG__RECORD__INIT;
    r.body_case = BG__RECORD__BODY_CLEAR;
    r.clear = &c;
    apply_record(s, &r);
}

static void
run_key(Script *s, char **w)
{
    static const char *const steps[] = {"claim", "result", "release",
                                        "unknown"};
    uint8_t digest[32] = {0};
    Bg__KeyRecord k = BG__KEY_RECORD__INIT;
    for (int i = 0; i < 4; i++) {
        if (strcmp(steps[i], w[1]) == 0) {
            k.step = (Bg__KeyStep)i;
        }
    }
    k.workspace = w[2];
    k.key = w[3];
    k.attempt_id = w[4];
    k.request_digest.data = digest;
    k.request_digest.len = sizeof(digest);
    k.author = s->author;
    k.wall_ms = s->wall_ms;
    Bg__Record r = BG__RECORD__INIT;
    r.body_case = BG__RECORD__BODY_KEY;
    r.key = &k;
    apply_record(s, &r);
}

static void
run_time(Script *s, char **w)
{
    g_strlcpy(s->author, w[1], sizeof(s->author));
    s->wall_ms = get_number(w[2]);
}

static void
run_fill(Script *s, char **w)
{
    s->quiet = true;
    s->filled = 0;
    for (uint64_t i = 0; i < get_number(w[1]); i++) {
        char key[32];
        snprintf(key, sizeof(key), "fill-%llu", (unsigned long long)i);
        char *words[] = {"key", "claim", "w", key, key};
        run_key(s, words);
    }
    s->quiet = false;
    printf("%u claims won, %u keys\n", s->filled, fold_count_keys(s->fold));
}

static void
run_death(Script *s, char **w)
{
    uint8_t digest[32] = {(uint8_t)get_number(w[1])};
    Bg__DeathRecord d = BG__DEATH_RECORD__INIT;
    d.request_digest.data = digest;
    d.request_digest.len = sizeof(digest);
    d.upstream = w[2];
    d.cleared = strcmp(w[2], "cleared") == 0;
    d.author = s->author;
    d.wall_ms = s->wall_ms;
    Bg__Record r = BG__RECORD__INIT;
    r.body_case = BG__RECORD__BODY_DEATH;
    r.death = &d;
    apply_record(s, &r);
}

static void
run_deaths(Script *s, char **w)
{
    uint8_t digest[32] = {(uint8_t)get_number(w[1])};
    printf("%u\n", fold_count_deaths(s->fold, digest));
}

static void
run_again(Script *s, char **w)
{
    (void)w;
    apply_bytes(s, s->last, s->last_len);
}

static void
run_bytes(Script *s, char **w)
{
    apply_bytes(s, (const uint8_t *)w[1], strlen(w[1]));
}

static void
run_memory(Script *s, char **w)
{
    printf("%u\n", fold_count_memory(s->fold, w[1], w[2]));
}

static void
run_replicas(Script *s, char **w)
{
    printf("%u\n", fold_count_replicas(s->fold, w[1], w[2]));
}

static void
run_state(Script *s, char **w)
{
    (void)w;
    g_autofree char *text = fold_dump(s->fold);
    puts(text);
}

static GByteArray *
make_batch(uint32_t format, const Bg__RecordList *list)
{
    Bg__Batch b = BG__BATCH__INIT;
    b.format = format;
    b.batch_id = "00000000000000000000000000000001";
    b.payload.len = bg__record_list__get_packed_size(list);
    b.payload.data = g_malloc(b.payload.len + 1);
    bg__record_list__pack(list, b.payload.data);
    b.digest = rec_digest(format, b.batch_id, b.payload.data, b.payload.len);
    GByteArray *out = g_byte_array_new();
    g_byte_array_set_size(out, (guint)bg__batch__get_packed_size(&b));
    bg__batch__pack(&b, out->data);
    g_free(b.payload.data);
    return out;
}

/* A batch with one record of TAG (a kind's number on the wire). */
static GByteArray *
make_unknown_batch(uint32_t format, uint8_t tag)
{
    uint8_t wire[] = {0x0a, 0x02, (uint8_t)(tag << 3 | 2), 0x00};
    Bg__RecordList *list = bg__record_list__unpack(NULL, sizeof(wire), wire);
    GByteArray *out = make_batch(format, list);
    bg__record_list__free_unpacked(list, NULL);
    return out;
}

static GByteArray *
make_bad(const char *kind)
{
    GByteArray *out = strcmp(kind, "kind") == 0    ? make_unknown_batch(1, 15)
                      : strcmp(kind, "newer") == 0 ? make_unknown_batch(2, 7)
                                                   : make_unknown_batch(1, 7);
    if (strcmp(kind, "truncated") == 0) {
        g_byte_array_set_size(out, out->len - 3);
    }
    else if (strcmp(kind, "corrupt") == 0) {
        /* In the digest, which comes before the payload of six bytes. */
        out->data[out->len - 8] ^= 1;
    }
    else if (strcmp(kind, "garbage") == 0) {
        memset(out->data, 0xff, out->len);
    }
    return out;
}

static void
run_emit(Script *s, char **w)
{
    (void)s;
    g_autoptr(GByteArray) bytes = make_bad(w[1]);
    for (guint i = 0; i < bytes->len; i++) {
        printf("%02x", bytes->data[i]);
    }
    puts("");
}

static void
run_apply_bad(Script *s, char **w)
{
    g_autoptr(GByteArray) bytes = make_bad(w[1]);
    apply_bytes(s, bytes->data, bytes->len);
}

static void
run_digest(Script *s, char **w)
{
    (void)w;
    printf("%llu %016llx\n", (unsigned long long)fold_get_offset(s->fold),
           (unsigned long long)fold_digest(s->fold));
}

static void
run_reload(Script *s, char **w)
{
    (void)w;
    g_autoptr(GByteArray) bytes = fold_encode(s->fold);
    Fold *next = fold_create();
    fold_set_observer(next, print_outcome, s);
    g_autoptr(GError) err = NULL;
    bool good = fold_restore(next, bytes->data, bytes->len, &err);
    printf("%s, digest %s\n", good ? "taken" : err->message,
           fold_digest(next) == fold_digest(s->fold) ? "equal" : "differs");
    fold_destroy(s->fold);
    s->fold = next;
    g_clear_error(&err);
    good = fold_restore(next, bytes->data, bytes->len, &err);
    printf("again: %s\n", good ? "taken" : err->message);
}

static void
run_checkpoint(Script *s, char **w)
{
    (void)w;
    g_autoptr(GPtrArray) records = ckpt_make_records(s->fold);
    for (guint i = 0; i < records->len; i++) {
        Bg__Record *r = records->pdata[i];
        /* A fixed id: it is part of the state, and of its digest. */
        memset(r->checkpoint->checkpoint_id, 'c', BG_ID_LEN);
        apply_record(s, r);
        rec_free(r);
    }
}

typedef struct {
    const char *name;
    int words; /* with the command itself */
    void (*run)(Script *s, char **w);
} Command;

static const Command commands[] = {
    {"config", 4, run_config},   {"claim", 4, run_claim},
    {"intent", 9, run_intent},   {"settle", 7, run_settle},
    {"quiesce", 6, run_quiesce}, {"fenced", 9, run_intent},
    {"clear", 3, run_clear},     {"grant", 6, run_claim},
    {"grants", 2, run_grants},   {"key", 5, run_key},
    {"death", 3, run_death},     {"time", 3, run_time},
    {"fill", 2, run_fill},       {"deaths", 2, run_deaths},
    {"again", 1, run_again},     {"bytes", 2, run_bytes},
    {"memory", 3, run_memory},   {"replicas", 3, run_replicas},
    {"state", 1, run_state},     {"emit", 2, run_emit},
    {"bad", 2, run_apply_bad},   {"digest", 1, run_digest},
    {"reload", 1, run_reload},   {"checkpoint", 1, run_checkpoint}};

static void
run_line(Script *s, char *line)
{
    char *words[MAX_WORDS] = {0};
    int count = script_split(line, words, MAX_WORDS);
    if (count == 0) {
        return;
    }
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, words[0]) == 0 &&
            commands[i].words == count) {
            commands[i].run(s, words);
            fflush(stdout);
            return;
        }
    }
    printf("no such command: %s\n", words[0]);
}

int
main(void)
{
    Script s = {.fold = fold_create(), .offset = 1};
    fold_set_observer(s.fold, print_outcome, &s);
    char line[4096];
    while (fgets(line, sizeof(line), stdin)) {
        run_line(&s, line);
    }
    fold_destroy(s.fold);
    g_free(s.last);
    return 0;
}
