/* Commands that ask a process over HTTP: status, dump and drain. */
#include "cli.h"

#include "blocking_http.h"
#include "ini.h"
#include "json_parser.h"

#include <stdio.h>
#include <string.h>

#define CALL_TIMEOUT_MS 5000
#define POLL_MS 200
/* A request for its status makes a process fetch that of the others, so the
   first answer may be incomplete.  status polls for at least this long. */
#define MIN_POLLING_MS 1500

/* Prints an error and returns false unless the answer is 200.  The caller
   frees RES in any case. */
static bool
call_process(const char *address, const char *method, const char *path,
             const char *key, HcResult *res)
{
    g_autofree char *url = g_strconcat("http://", address, path, NULL);
    g_autofree char *auth = g_strconcat("Authorization: Bearer ", key, NULL);
    const char *headers[] = {key ? auth : NULL, NULL};
    HcRequest req = {.method = method,
                     .url = url,
                     .headers = headers,
                     .connect_ms = CALL_TIMEOUT_MS,
                     .total_ms = CALL_TIMEOUT_MS};
    HcClient *http = hc_create();
    hc_call(http, &req, res);
    hc_destroy(http);
    if (res->end != HC_DONE) {
        fprintf(stderr, "bglade: no answer from %s: %s\n", address,
                hc_end_name(res->end));
    }
    else if (res->status != 200) {
        fprintf(stderr, "bglade: %s answered %ld: %s\n", address, res->status,
                res->body->str);
    }
    return res->end == HC_DONE && res->status == 200;
}

/* The command's only argument, an address; NULL after an error message. */
static const char *
get_address(const CliArguments *a)
{
    if (a->word_count != 2 || !ini_check_address(a->words[1])) {
        fprintf(stderr, "bglade: %s needs the IP:PORT of a process\n",
                a->words[0]);
        return NULL;
    }
    return a->words[1];
}

int
cli_dump(const CliArguments *a)
{
    const char *address = get_address(a);
    if (!address) {
        return CLI_INVALID;
    }
    HcResult res;
    bool good = call_process(address, "GET", "/dump", NULL, &res);
    if (good) {
        fputs(res.body->str, stdout);
    }
    hc_free_result(&res);
    return good ? CLI_GOOD : CLI_FAILED;
}

int
cli_drain(const CliArguments *a)
{
    const char *address = get_address(a);
    g_autofree char *key = NULL;
    g_autoptr(GError) err = NULL;
    if (!address) {
        return CLI_INVALID;
    }
    if (!a->key_file || !g_file_get_contents(a->key_file, &key, NULL, &err)) {
        fprintf(stderr, "bglade: drain needs --key-file FILE%s%s\n",
                err ? ": " : "", err ? err->message : "");
        return CLI_INVALID;
    }
    HcResult res;
    bool good = call_process(address, "POST", "/drain", g_strstrip(key), &res);
    if (good) {
        printf("%s finishes what it has in flight, then stops\n", address);
    }
    hc_free_result(&res);
    return good ? CLI_GOOD : CLI_FAILED;
}

/* ---- status ------------------------------------------------------------- */

static json_t *
fetch_status(const char *address)
{
    HcResult res;
    json_t *doc = NULL;
    if (call_process(address, "GET", "/status", NULL, &res)) {
        doc = js_parse(res.body->str, res.body->len, NULL);
    }
    hc_free_result(&res);
    return doc;
}

static json_int_t
get_number(const json_t *doc, const char *key)
{
    return json_integer_value(json_object_get(doc, key));
}

/* Whether VERSION is in force at every process that the answer lists. */
static bool
is_in_force_everywhere(const json_t *doc, json_int_t version)
{
    size_t i;
    json_t *n;
    json_t *list = json_object_get(doc, "nodes");
    json_array_foreach(list, i, n)
    {
        if (get_number(n, "config_version") < version) {
            return false;
        }
    }
    return json_array_size(list) > 0;
}

static json_int_t
find_newest(const json_t *doc)
{
    json_int_t newest = 0;
    size_t i;
    json_t *n;
    json_array_foreach(json_object_get(doc, "nodes"), i, n)
    {
        newest = MAX(newest, get_number(n, "config_version"));
    }
    return newest;
}

static void
print_status(const json_t *doc, json_int_t wanted)
{
    size_t i;
    json_t *n;
    json_array_foreach(json_object_get(doc, "nodes"), i, n)
    {
        printf("%-12s %-7s %-32s version %lld  offset %lld  heard %.1f s "
               "ago%s%s\n",
               json_string_value(json_object_get(n, "data_centre")),
               json_string_value(json_object_get(n, "role")),
               json_string_value(json_object_get(n, "node")),
               get_number(n, "config_version"),
               get_number(n, "applied_offset"),
               (double)get_number(n, "age_ms") / 1000,
               json_is_true(json_object_get(n, "held")) ? "  held" : "",
               get_number(n, "config_version") < wanted ? "  BEHIND" : "");
    }
}

/* The version to wait for: --to, else the newest that the log or a process
   has. */
static json_int_t
find_wanted_version(const CliArguments *a, const json_t *doc)
{
    json_int_t wanted = find_newest(doc);
    if (a->has_to) {
        return (json_int_t)a->to;
    }
    CliSession s = {0};
    if (a->log_address && cli_open(&s, a)) {
        CfgSet *cfg = fold_get_config(s.fold);
        wanted = MAX(wanted, (json_int_t)cfg_get_version(cfg));
        cfg_unref(cfg);
    }
    cli_close(&s);
    return wanted;
}

int
cli_status(const CliArguments *a)
{
    if (!a->at || !ini_check_address(a->at)) {
        fprintf(
            stderr,
            "bglade: status needs --at IP:PORT, the address of a process\n");
        return CLI_INVALID;
    }
    uint64_t start_ms = bg_now_ms();
    uint64_t until_ms = start_ms + MAX(a->wait_s * 1000ull, MIN_POLLING_MS);
    json_t *doc = fetch_status(a->at);
    json_int_t wanted = doc ? find_wanted_version(a, doc) : 0;
    while (doc && bg_now_ms() < until_ms &&
           (bg_now_ms() - start_ms < MIN_POLLING_MS ||
            !is_in_force_everywhere(doc, wanted))) {
        bg_sleep_ms(POLL_MS);
        json_decref(doc);
        doc = fetch_status(a->at);
    }
    if (!doc) {
        return CLI_FAILED;
    }
    bool everywhere = is_in_force_everywhere(doc, wanted);
    json_object_set_new(doc, "wanted_version", json_integer(wanted));
    json_object_set_new(doc, "in_force_everywhere", json_boolean(everywhere));
    if (a->json) {
        cli_print_json(doc);
    }
    else {
        print_status(doc, wanted);
        printf("version %lld is %sin force everywhere\n", wanted,
               everywhere ? "" : "not ");
        json_decref(doc);
    }
    return everywhere || !a->has_wait ? CLI_GOOD : CLI_FAILED;
}
