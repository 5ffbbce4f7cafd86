/* Commands on templates: check, publish, revise, rollback, show, history and
   diff. */
#include "cli.h"

#include "cfg.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

void
cli_print_json(json_t *doc)
{
    char *text = json_dumps(doc, JSON_SORT_KEYS | JSON_COMPACT);
    puts(text);
    free(text);
    json_decref(doc);
}

static json_t *
make_number(uint64_t n)
{
    return json_integer((json_int_t)n);
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
read_files(Files *f, const CliArguments *a)
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

int
cli_check(const CliArguments *a)
{
    Files f;
    bool good = read_files(&f, a) && check_files(&f);
    if (good) {
        printf("%s: template and %zu workspaces are good\n", f.name,
               f.values_count);
    }
    clear_files(&f);
    return good ? CLI_GOOD : CLI_INVALID;
}

/* ---- versions ----------------------------------------------------------- */

static char *
format_time(uint64_t wall_ms)
{
    time_t seconds = (time_t)(wall_ms / 1000);
    struct tm tm;
    char text[32];
    gmtime_r(&seconds, &tm);
    strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &tm);
    return g_strdup(text);
}

/* Template and values of a version as one text, to be compared. */
static char *
join_texts(const FoldConfig *c)
{
    GString *all = g_string_new(c->template_text);
    for (char **v = c->values_text; *v; v++) {
        g_string_append_printf(all, "\n# values %u\n%s",
                               (unsigned)(v - c->values_text) + 1, *v);
    }
    return g_string_free(all, FALSE);
}

static char *
diff_versions(const FoldConfig *old, const FoldConfig *now)
{
    g_autofree char *a = old ? join_texts(old) : g_strdup("");
    g_autofree char *b = join_texts(now);
    return cli_diff(a, b);
}

static const FoldConfig *
find_version(const Fold *fold, const char *name, uint64_t version)
{
    const GPtrArray *h = fold_get_history(fold, name);
    for (guint i = 0; h && i < h->len; i++) {
        const FoldConfig *c = h->pdata[i];
        if (c->version == version) {
            return c;
        }
    }
    return NULL;
}

static json_t *
describe_version(const FoldConfig *c)
{
    g_autofree char *when = format_time(c->wall_ms);
    return json_pack("{s:o, s:s, s:s, s:s, s:i}", "version",
                     make_number(c->version), "author", c->author, "note",
                     c->note, "time", when, "workspaces",
                     (int)g_strv_length(c->values_text));
}

static void
print_version(const FoldConfig *c)
{
    g_autofree char *when = format_time(c->wall_ms);
    printf("version %llu  %s  %s%s%s\n", (unsigned long long)c->version, when,
           c->author, *c->note ? ": " : "", c->note);
}

/* ---- writing a version -------------------------------------------------- */

/* Prints and returns the versions after BASE as diffs, for the operator to
   merge. */
static json_t *
report_conflict(const CliArguments *a, const Fold *fold, const char *name,
                uint64_t base)
{
    json_t *list = json_array();
    const GPtrArray *h = fold_get_history(fold, name);
    const FoldConfig *before = find_version(fold, name, base);
    for (guint i = 0; h && i < h->len; i++) {
        const FoldConfig *c = h->pdata[i];
        if (c->version <= base) {
            continue;
        }
        g_autofree char *diff = diff_versions(before, c);
        if (!a->json) {
            print_version(c);
            fputs(diff, stdout);
        }
        json_t *v = describe_version(c);
        json_object_set_new(v, "diff", json_string(diff));
        json_array_append_new(list, v);
        before = c;
    }
    if (!a->json && before) {
        printf("Nothing was changed, your files included. Merge the changes "
               "above into them and revise with --base %llu.\n",
               (unsigned long long)before->version);
    }
    return list;
}

static const char *
get_outcome_name(int code)
{
    static const char *const words[] = {"accepted", "not accepted", "invalid",
                                        "conflict", "not known"};
    return words[code];
}

static void
report_result(const CliArguments *a, const CliSession *s, const char *name,
              uint64_t base, int code)
{
    json_t *doc = json_pack("{s:s, s:s, s:i}", "name", name, "outcome",
                            get_outcome_name(code), "exit", code);
    const char *why = s->why->len ? s->why->str : "the log cannot be written";
    if (code == CLI_GOOD) {
        json_object_set_new(doc, "version", make_number(s->offset));
        if (!a->json) {
            printf("%s: version %llu is accepted\n", name,
                   (unsigned long long)s->offset);
        }
    }
    else if (code == CLI_UNKNOWN) {
        fprintf(stderr,
                "bglade: %s: not known whether it was accepted: it was sent, "
                "but its record was not seen in the log, and may take effect "
                "yet; see 'history %s' before you try again\n",
                name, name);
    }
    else {
        json_object_set_new(doc, "why", json_string(why));
        fprintf(stderr, "bglade: %s: not accepted: %s\n", name, why);
    }
    if (code == CLI_CONFLICT) {
        json_object_set_new(doc, "changes",
                            report_conflict(a, s->fold, name, base));
    }
    if (a->json) {
        cli_print_json(doc);
    }
    else {
        json_decref(doc);
    }
}

static int
write_version(const CliArguments *a, CliSession *s, const Files *f,
              uint64_t base)
{
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
    int code = cli_write(s, &r);
    report_result(a, s, f->name, base, code);
    return code;
}

static int
write_files(const CliArguments *a, uint64_t base)
{
    Files f;
    CliSession s = {0};
    int code = CLI_INVALID;
    if (read_files(&f, a) && check_files(&f)) {
        code = cli_open(&s, a) ? write_version(a, &s, &f, base) : CLI_FAILED;
    }
    cli_close(&s);
    clear_files(&f);
    return code;
}

int
cli_publish(const CliArguments *a)
{
    return write_files(a, 0);
}

int
cli_revise(const CliArguments *a)
{
    if (!a->has_base) {
        fprintf(stderr, "bglade: revise needs --base VERSION\n");
        return CLI_INVALID;
    }
    return write_files(a, a->base);
}

/* ---- reading ------------------------------------------------------------ */

/* The template named by the first argument; NULL after an error message. */
static const FoldConfig *
require_template(const CliArguments *a, const CliSession *s)
{
    const FoldConfig *c = NULL;
    if (a->word_count < 2) {
        fprintf(stderr, "bglade: %s needs the name of a template\n",
                a->words[0]);
    }
    else if (!(c = fold_find_template(s->fold, a->words[1]))) {
        fprintf(stderr, "bglade: no template '%s'\n", a->words[1]);
    }
    return c;
}

static const FoldConfig *
require_version(const CliSession *s, const char *name, uint64_t version)
{
    const FoldConfig *c = find_version(s->fold, name, version);
    if (!c) {
        fprintf(stderr, "bglade: version %llu of '%s' is not kept\n",
                (unsigned long long)version, name);
    }
    return c;
}

int
cli_rollback(const CliArguments *a)
{
    CliSession s = {0};
    int code = CLI_FAILED;
    const FoldConfig *old = NULL;
    const FoldConfig *now = NULL;
    if (!a->has_to) {
        fprintf(stderr, "bglade: rollback needs --to VERSION\n");
        return CLI_INVALID;
    }
    if (cli_open(&s, a)) {
        code = CLI_INVALID;
        now = require_template(a, &s);
        old = now ? require_version(&s, a->words[1], a->to) : NULL;
    }
    if (old) {
        Files f = {g_strdup(a->words[1]), g_strdup(old->template_text),
                   g_strdupv(old->values_text),
                   g_strv_length(old->values_text)};
        code = write_version(a, &s, &f, a->has_base ? a->base : now->version);
        clear_files(&f);
    }
    cli_close(&s);
    return code;
}

static json_t *
describe_template(const char *name, const FoldConfig *c)
{
    json_t *t = describe_version(c);
    json_object_set_new(t, "name", json_string(name));
    json_object_set_new(t, "template", json_string(c->template_text));
    json_t *values = json_array();
    for (char **v = c->values_text; *v; v++) {
        json_array_append_new(values, json_string(*v));
    }
    json_object_set_new(t, "values", values);
    return t;
}

static void
print_template(const char *name, const FoldConfig *c, bool with_text)
{
    printf("%s  version %llu  workspaces %u\n", name,
           (unsigned long long)c->version, g_strv_length(c->values_text));
    if (with_text) {
        g_autofree char *text = join_texts(c);
        puts(text);
    }
}

static void
show_all(const CliArguments *a, const Fold *fold)
{
    g_autoptr(GPtrArray) names = fold_list_templates(fold);
    json_t *list = json_array();
    for (guint i = 0; i < names->len; i++) {
        const char *name = names->pdata[i];
        const FoldConfig *c = fold_find_template(fold, name);
        if (!a->json) {
            print_template(name, c, false);
        }
        json_array_append_new(list, describe_template(name, c));
    }
    if (a->json) {
        cli_print_json(list);
    }
    else {
        json_decref(list);
    }
}

static int
show_one(const CliArguments *a, const CliSession *s)
{
    const FoldConfig *c = require_template(a, s);
    if (c && a->has_to) {
        c = require_version(s, a->words[1], a->to);
    }
    if (!c) {
        return CLI_INVALID;
    }
    if (a->json) {
        json_t *list = json_array();
        json_array_append_new(list, describe_template(a->words[1], c));
        cli_print_json(list);
    }
    else {
        print_template(a->words[1], c, true);
    }
    return CLI_GOOD;
}

int
cli_show(const CliArguments *a)
{
    CliSession s;
    int code = CLI_FAILED;
    if (cli_open(&s, a)) {
        code = CLI_GOOD;
        if (a->word_count > 1) {
            code = show_one(a, &s);
        }
        else {
            show_all(a, s.fold);
        }
    }
    cli_close(&s);
    return code;
}

static void
list_history(const CliArguments *a, const CliSession *s)
{
    const GPtrArray *h = fold_get_history(s->fold, a->words[1]);
    json_t *list = json_array();
    for (guint i = 0; i < h->len; i++) {
        if (!a->json) {
            print_version(h->pdata[i]);
        }
        json_array_append_new(list, describe_version(h->pdata[i]));
    }
    if (a->json) {
        cli_print_json(list);
    }
    else {
        json_decref(list);
    }
}

int
cli_history(const CliArguments *a)
{
    CliSession s;
    int code = CLI_FAILED;
    if (cli_open(&s, a)) {
        code = CLI_INVALID;
        if (require_template(a, &s)) {
            list_history(a, &s);
            code = CLI_GOOD;
        }
    }
    cli_close(&s);
    return code;
}

/* diff NAME: the last change; diff NAME FROM [TO]: between two versions. */
static int
compare_versions(const CliArguments *a, const CliSession *s)
{
    const char *name = a->words[1];
    const FoldConfig *now = require_template(a, s);
    if (!now) {
        return CLI_INVALID;
    }
    const GPtrArray *h = fold_get_history(s->fold, name);
    const FoldConfig *old = h->len > 1 ? h->pdata[h->len - 2] : NULL;
    if (a->word_count > 2) {
        old =
            require_version(s, name, g_ascii_strtoull(a->words[2], NULL, 10));
    }
    if (a->word_count > 3) {
        now =
            require_version(s, name, g_ascii_strtoull(a->words[3], NULL, 10));
    }
    if (!now || (a->word_count > 2 && !old)) {
        return CLI_INVALID;
    }
    g_autofree char *diff = diff_versions(old, now);
    if (a->json) {
        cli_print_json(json_pack("{s:s, s:o, s:o, s:s}", "name", name, "from",
                                 make_number(old ? old->version : 0), "to",
                                 make_number(now->version), "diff", diff));
    }
    else {
        fputs(diff, stdout);
    }
    return CLI_GOOD;
}

int
cli_compare(const CliArguments *a)
{
    CliSession s;
    int code = cli_open(&s, a) ? compare_versions(a, &s) : CLI_FAILED;
    cli_close(&s);
    return code;
}
