/* bglade: the operators' client. */
#include "cfg.h"
#include "fold.h"
#include "hc.h"
#include "ini.h"
#include "lc.h"

#include <argp.h>
#include <jansson.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* Exit codes, as --help states them. */
enum {
    EXIT_GOOD = 0,
    EXIT_FAILED = 1,   /* could not be done; nothing changed */
    EXIT_INVALID = 2,  /* a file or an argument is wrong */
    EXIT_CONFLICT = 3, /* another operator was first; nothing changed */
    EXIT_UNKNOWN = 4   /* may have taken effect; ask again */
};

#define READ_WAIT_MS 200
#define SETTLE_MS 15000
#define CALL_MS 5000

typedef struct {
    const char *log_address;
    const char *note;
    const char *author;
    uint64_t base;
    bool has_base;
    bool json;
    int word_count;
    char **words;
} Arguments;

/* The log as a command sees it. */
typedef struct {
    LogApi *api;
    Fold *fold;
    const char *batch_id; /* ours, once written */
    bool seen;
    FoldResult result;
    uint64_t offset;
    GString *why;
} Session;

/* ---- the log ------------------------------------------------------------ */

static void
observe(void *ctx, uint64_t offset, const char *batch_id, const Bg__Record *r,
        FoldResult result, const char *why)
{
    Session *s = ctx;
    (void)r;
    if (s->batch_id && strcmp(batch_id, s->batch_id) == 0) {
        s->seen = true;
        s->result = result;
        s->offset = offset;
        g_string_assign(s->why, why);
    }
}

static bool
read_page(Session *s, bool *more, GError **err)
{
    LogPage page = {0};
    uint64_t from = fold_get_offset(s->fold) + 1;
    bool good = s->api->read(s->api, from, READ_WAIT_MS, &page, err);
    for (guint i = 0; good && i < page.entries->len; i++) {
        LogEntry *e = &g_array_index(page.entries, LogEntry, i);
        g_autoptr(GError) bad = NULL;
        if (!fold_apply(s->fold, e->offset, e->data, e->len, &bad)) {
            fprintf(stderr, "bglade: entry %llu is refused: %s\n",
                    (unsigned long long)e->offset, bad->message);
        }
    }
    *more = good && fold_get_offset(s->fold) + 1 < page.next;
    lc_clear_page(&page);
    return good;
}

static bool
read_all(Session *s, GError **err)
{
    bool more = true;
    while (more) {
        if (!read_page(s, &more, err)) {
            return false;
        }
    }
    return true;
}

static bool
open_session(Session *s, const Arguments *a)
{
    memset(s, 0, sizeof(*s));
    if (!a->log_address || !ini_check_address(a->log_address)) {
        fprintf(stderr, "bglade: --log IP:PORT is missing or wrong\n");
        return false;
    }
    s->api = lc_open_http(a->log_address);
    s->fold = fold_create();
    s->why = g_string_new(NULL);
    fold_set_observer(s->fold, observe, s);
    g_autoptr(GError) err = NULL;
    if (!read_all(s, &err)) {
        fprintf(stderr, "bglade: the log cannot be read: %s\n", err->message);
        return false;
    }
    return true;
}

static void
close_session(Session *s)
{
    if (s->api) {
        s->api->destroy(s->api);
        fold_destroy(s->fold);
        g_string_free(s->why, TRUE);
    }
}

/* Write RECORD and learn from the log itself what became of it.  The same
   batch is written again while its acknowledgement is missing: the fold
   takes one. */
static int
write_record(Session *s, Bg__Record *record)
{
    char id[BG_ID_LEN + 1];
    bg_make_id(id);
    s->batch_id = id;
    size_t len;
    g_autofree uint8_t *data = rec_encode_batch(id, &record, 1, &len);
    bool maybe = false;
    uint64_t until_ms = bg_now_ms() + SETTLE_MS;
    while (!s->seen && bg_now_ms() < until_ms) {
        g_autoptr(GError) err = NULL;
        uint64_t offset;
        bool acked = s->api->append(s->api, data, len, &offset, &err);
        maybe = maybe || acked || err->code == BG_ERR_UNKNOWN;
        g_autoptr(GError) read_err = NULL;
        if (maybe) {
            read_all(s, &read_err);
        }
        if (!s->seen) {
            bg_sleep_ms(100);
        }
    }
    s->batch_id = NULL;
    if (s->seen) {
        return s->result == FOLD_WON    ? EXIT_GOOD
               : s->result == FOLD_LOST ? EXIT_CONFLICT
                                        : EXIT_INVALID;
    }
    return maybe ? EXIT_UNKNOWN : EXIT_FAILED;
}

/* ---- files -------------------------------------------------------------- */

typedef struct {
    char *name;
    char *template_text;
    char **values_text;
    size_t values_count;
} Files;

static void
clear_files(Files *f)
{
    g_free(f->name);
    g_free(f->template_text);
    g_strfreev(f->values_text);
}

static char *
read_file(const char *path)
{
    char *text = NULL;
    g_autoptr(GError) err = NULL;
    if (!g_file_get_contents(path, &text, NULL, &err)) {
        fprintf(stderr, "bglade: %s\n", err->message);
    }
    return text;
}

static bool
read_files(Files *f, const Arguments *a)
{
    memset(f, 0, sizeof(*f));
    if (a->word_count < 2) {
        fprintf(stderr, "bglade: a template file is missing\n");
        return false;
    }
    f->template_text = read_file(a->words[1]);
    f->values_count = (size_t)a->word_count - 2;
    f->values_text = g_new0(char *, f->values_count + 1);
    bool good = f->template_text != NULL;
    for (size_t i = 0; good && i < f->values_count; i++) {
        f->values_text[i] = read_file(a->words[i + 2]);
        good = f->values_text[i] != NULL;
    }
    if (good) {
        f->name = cfg_read_template_name(f->template_text);
        if (!f->name) {
            fprintf(stderr, "bglade: %s: [template] name: is missing\n",
                    a->words[1]);
        }
    }
    return good && f->name;
}

static bool
check_files(const Files *f)
{
    CfgSource src = {f->name, 1, f->template_text, f->values_text,
                     f->values_count};
    g_autoptr(GString) faults = g_string_new(NULL);
    CfgSet *set = cfg_compile(&src, 1, faults);
    fputs(faults->str, stderr);
    cfg_unref(set);
    return set != NULL;
}

/* ---- commands ----------------------------------------------------------- */

static int
run_check(const Arguments *a)
{
    Files f;
    bool good = read_files(&f, a) && check_files(&f);
    if (good) {
        printf("%s: template and %zu workspaces are good\n", f.name,
               f.values_count);
    }
    clear_files(&f);
    return good ? EXIT_GOOD : EXIT_INVALID;
}

static int
write_config(const Arguments *a, const Files *f, uint64_t base)
{
    Session s;
    if (!open_session(&s, a)) {
        close_session(&s);
        return EXIT_FAILED;
    }
    Bg__ConfigRecord c = BG__CONFIG_RECORD__INIT;
    c.name = f->name;
    c.base_version = base;
    c.template_text = f->template_text;
    c.values_text = f->values_text;
    c.n_values_text = f->values_count;
    c.author = (char *)a->author;
    c.note = (char *)a->note;
    c.wall_ms = bg_wall_ms();
    Bg__Record r = BG__RECORD__INIT;
    r.body_case = BG__RECORD__BODY_CONFIG;
    r.config = &c;
    int code = write_record(&s, &r);
    if (code == EXIT_GOOD) {
        printf("%s: version %llu is accepted\n", f->name,
               (unsigned long long)s.offset);
    }
    else if (code == EXIT_UNKNOWN) {
        fprintf(stderr, "bglade: %s: not known whether it was accepted\n",
                f->name);
    }
    else {
        fprintf(stderr, "bglade: %s: not accepted: %s\n", f->name,
                s.why->len ? s.why->str : "the log cannot be written");
    }
    close_session(&s);
    return code;
}

static int
run_write(const Arguments *a, uint64_t base)
{
    Files f;
    int code = EXIT_INVALID;
    if (read_files(&f, a) && check_files(&f)) {
        code = write_config(a, &f, base);
    }
    clear_files(&f);
    return code;
}

static int
run_publish(const Arguments *a)
{
    return run_write(a, 0);
}

static int
run_revise(const Arguments *a)
{
    if (!a->has_base) {
        fprintf(stderr, "bglade: revise needs --base VERSION\n");
        return EXIT_INVALID;
    }
    return run_write(a, a->base);
}

static json_t *
describe_template(const Fold *fold, const char *name)
{
    const FoldConfig *c = fold_find_template(fold, name);
    return json_pack("{s:s, s:I, s:i, s:s, s:s, s:s}", "name", name, "version",
                     (json_int_t)c->version, "workspaces",
                     (int)g_strv_length(c->values_text), "author", c->author,
                     "note", c->note, "template", c->template_text);
}

static void
print_templates(const Arguments *a, const Fold *fold, const char *only)
{
    g_autoptr(GPtrArray) names = fold_list_templates(fold);
    json_t *list = json_array();
    for (guint i = 0; i < names->len; i++) {
        const char *name = names->pdata[i];
        if (only && strcmp(only, name) != 0) {
            continue;
        }
        json_t *t = describe_template(fold, name);
        if (!a->json) {
            printf("%s  version %lld  workspaces %lld\n", name,
                   json_integer_value(json_object_get(t, "version")),
                   json_integer_value(json_object_get(t, "workspaces")));
            if (only) {
                puts(json_string_value(json_object_get(t, "template")));
            }
        }
        json_array_append_new(list, t);
    }
    if (a->json) {
        char *text = json_dumps(list, JSON_SORT_KEYS | JSON_COMPACT);
        puts(text);
        free(text);
    }
    json_decref(list);
}

static int
run_show(const Arguments *a)
{
    Session s;
    int code = EXIT_FAILED;
    if (open_session(&s, a)) {
        const char *only = a->word_count > 1 ? a->words[1] : NULL;
        if (only && !fold_find_template(s.fold, only)) {
            fprintf(stderr, "bglade: no template '%s'\n", only);
        }
        else {
            print_templates(a, s.fold, only);
            code = EXIT_GOOD;
        }
    }
    close_session(&s);
    return code;
}

static int
run_dump(const Arguments *a)
{
    if (a->word_count != 2 || !ini_check_address(a->words[1])) {
        fprintf(stderr, "bglade: dump needs IP:PORT of a process\n");
        return EXIT_INVALID;
    }
    g_autofree char *url = g_strconcat("http://", a->words[1], "/dump", NULL);
    HcRequest req = {.method = "GET",
                     .url = url,
                     .connect_ms = CALL_MS,
                     .total_ms = CALL_MS};
    HcClient *http = hc_create();
    HcResult res;
    hc_call(http, &req, &res);
    int code = EXIT_FAILED;
    if (res.end == HC_DONE && res.status == 200) {
        fputs(res.body->str, stdout);
        code = EXIT_GOOD;
    }
    else {
        fprintf(stderr, "bglade: no answer from %s: %s\n", a->words[1],
                hc_end_name(res.end));
    }
    hc_free_result(&res);
    hc_destroy(http);
    return code;
}

/* ---- command line ------------------------------------------------------- */

typedef struct {
    const char *name;
    int (*run)(const Arguments *a);
} Command;

static const Command commands[] = {{"check", run_check},
                                   {"publish", run_publish},
                                   {"revise", run_revise},
                                   {"show", run_show},
                                   {"dump", run_dump}};

static const char doc[] =
    "Operate bitternglade.\n\n"
    "check TEMPLATE VALUES...    check files, change nothing\n"
    "publish TEMPLATE VALUES...  accept a new template\n"
    "revise TEMPLATE VALUES...   accept a new version, on --base VERSION\n"
    "show [NAME]                 what is in force\n"
    "dump IP:PORT                a process's state\n"
    "\vExit codes: 0 done; 1 failed, nothing changed; 2 a file or argument "
    "is wrong; 3 conflict, nothing changed; 4 not known whether it took "
    "effect.";

static const struct argp_option options[] = {
    {"log", 'l', "IP:PORT", 0, "The platform's log service", 0},
    {"base", 'b', "VERSION", 0, "Version that a revision builds on", 0},
    {"note", 'n', "TEXT", 0, "Why; kept with the version", 0},
    {"author", 'a', "NAME", 0, "Who; default: the login name", 0},
    {"json", 'j', NULL, 0, "Print JSON", 0},
    {0}};

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    Arguments *a = state->input;
    switch (key) {
    case 'l':
        a->log_address = arg;
        return 0;
    case 'b':
        a->base = g_ascii_strtoull(arg, NULL, 10);
        a->has_base = true;
        return 0;
    case 'n':
        a->note = arg;
        return 0;
    case 'a':
        a->author = arg;
        return 0;
    case 'j':
        a->json = true;
        return 0;
    case ARGP_KEY_ARGS:
        a->words = state->argv + state->next;
        a->word_count = state->argc - state->next;
        return 0;
    case ARGP_KEY_NO_ARGS:
        argp_error(state, "a command is missing");
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

const char *argp_program_version = "bitternglade " BG_VERSION;

int
main(int argc, char **argv)
{
    Arguments a = {.note = "", .author = g_get_user_name()};
    struct argp argp = {
        options, parse_option, "COMMAND [ARGUMENT...]", doc, NULL, NULL, NULL};
    argp_parse(&argp, argc, argv, 0, NULL, &a);
    signal(SIGPIPE, SIG_IGN);
    hc_init_process();
    int code = EXIT_INVALID;
    size_t i = 0;
    for (; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, a.words[0]) == 0) {
            code = commands[i].run(&a);
            break;
        }
    }
    if (i == G_N_ELEMENTS(commands)) {
        fprintf(stderr, "bglade: no command '%s'\n", a.words[0]);
    }
    hc_end_process();
    return code;
}
