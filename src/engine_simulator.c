#include "engine_simulator.h"

#include "json_parser.h"

#include <civetweb.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DEFAULT_TOKENS 8
#define ADAPTER_LOAD_US 5000
#define REPLY_MAX 512

typedef struct {
    char *name;
    char *base; /* of an adapter, or NULL */
    char *load_id;
    uint32_t memory_mb;
    uint64_t ready_us; /* when its load ends */
    uint32_t in_use;
} Model;

typedef struct {
    char *id;
    char *boot;
    uint64_t seq;
    uint64_t fence;
    uint32_t inflight;
    uint64_t loads;
    uint32_t overcommits;
    GHashTable *models; /* name -> Model */
    pthread_mutex_t lock;
} Engine;

struct FakeEngines {
    FeParams params;
    Engine *engines;
    struct mg_context *http;
};

/* ---- answers ------------------------------------------------------------ */

char *
fe_make_token(const char *digest, uint32_t index, uint32_t count)
{
    if (index == 0) {
        return g_strndup(digest, FE_DIGEST_LEN);
    }
    return index <= count ? g_strdup_printf(" t%u", index - 1)
                          : g_strdup(" end");
}

char *
fe_make_text(const char *prompt, uint32_t count)
{
    g_autofree char *digest = bg_digest_hex(prompt, strlen(prompt));
    GString *text = g_string_new(NULL);
    for (uint32_t i = 0; i < count + 2; i++) {
        g_autofree char *token = fe_make_token(digest, i, count);
        g_string_append(text, token);
    }
    return g_string_free(text, FALSE);
}

/* ---- creation and destruction ------------------------------------------- */

static void
free_model(gpointer p)
{
    Model *m = p;
    g_free(m->name);
    g_free(m->base);
    g_free(m->load_id);
    g_free(m);
}

static void
add_model(Engine *e, const char *name, const char *base, const char *load_id,
          uint32_t memory_mb, uint64_t ready_us)
{
    Model *m = g_new0(Model, 1);
    m->name = g_strdup(name);
    m->base = base && *base ? g_strdup(base) : NULL;
    m->load_id = g_strdup(load_id);
    m->memory_mb = memory_mb;
    m->ready_us = ready_us;
    g_hash_table_replace(e->models, m->name, m);
}

static void
init_engine(Engine *e, const FeParams *params, uint32_t index)
{
    char boot[BG_ID_LEN + 1];
    bg_make_id(boot);
    e->boot = g_strdup(boot);
    e->id = g_strdup_printf("engine-%u", params->first_port + index);
    e->models =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_model);
    pthread_mutex_init(&e->lock, NULL);
    g_auto(GStrv) names = g_strsplit(params->models, ",", -1);
    for (char **name = names; *name; name++) {
        if (**name) {
            add_model(e, *name, NULL, "start", 0, 0);
        }
    }
}

static void
clear_engine(Engine *e)
{
    g_free(e->id);
    g_free(e->boot);
    g_hash_table_destroy(e->models);
    pthread_mutex_destroy(&e->lock);
}

/* ---- HTTP --------------------------------------------------------------- */

static Engine *
find_engine(const FakeEngines *f, const struct mg_connection *conn)
{
    int port = mg_get_request_info(conn)->server_port;
    return &f->engines[port - f->params.first_port];
}

static int
reply(struct mg_connection *conn, int status, const char *state,
      const char *text)
{
    size_t len = strlen(text);
    g_autofree char *answer = g_strdup_printf(
        "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n%s%s%s"
        "Content-Length: %zu\r\n\r\n%s",
        status, mg_get_response_code_text(conn, status),
        state ? "X-Upstream-State: " : "", state ? state : "",
        state ? "\r\n" : "", len, text);
    mg_write(conn, answer, strlen(answer));
    return status;
}

static int
reply_json(struct mg_connection *conn, int status, json_t *doc)
{
    char *text = json_dumps(doc, JSON_COMPACT);
    json_decref(doc);
    int sent = reply(conn, status, NULL, text);
    free(text);
    return sent;
}

static json_t *
read_body(struct mg_connection *conn)
{
    g_autoptr(GByteArray) body = g_byte_array_new();
    uint8_t chunk[16384];
    int got;
    while ((got = mg_read(conn, chunk, sizeof(chunk))) > 0) {
        g_byte_array_append(body, chunk, (guint)got);
    }
    return js_parse((const char *)body->data, body->len, NULL);
}

static const char *
get_text(const json_t *doc, const char *key)
{
    const char *text = json_string_value(json_object_get(doc, key));
    return text ? text : "";
}

static uint64_t
get_number(const json_t *doc, const char *key)
{
    return (uint64_t)json_integer_value(json_object_get(doc, key));
}

/* ---- orders ------------------------------------------------------------- */

/* Under the lock.  False: the order's fencing token is outdated. */
static bool
check_fence(const FakeEngines *f, Engine *e, const json_t *order)
{
    uint64_t fence = get_number(order, "fence");
    if (f->params.fencing && fence < e->fence) {
        return false;
    }
    e->fence = MAX(e->fence, fence);
    return true;
}

static uint32_t
count_memory(const Engine *e)
{
    uint32_t mb = 0;
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, e->models);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        mb += ((Model *)p)->memory_mb;
    }
    return mb;
}

/* Under the lock. */
static void
apply_load(const FakeEngines *f, Engine *e, const json_t *order)
{
    const char *name = get_text(order, "model");
    if (g_hash_table_contains(e->models, name)) {
        return;
    }
    const char *base = get_text(order, "base");
    uint64_t load_us =
        *base ? ADAPTER_LOAD_US
              : get_number(order, "load_ms") * 10 * f->params.load_scale;
    add_model(e, name, base, get_text(order, "load_id"),
              (uint32_t)get_number(order, "memory_mb"), bg_now_us() + load_us);
    e->loads++;
    if (count_memory(e) > f->params.memory_mb) {
        e->overcommits++;
    }
}

/* Under the lock.  NULL, or why the model was not unloaded. */
static const char *
apply_unload(Engine *e, const json_t *order)
{
    const char *name = get_text(order, "model");
    const Model *m = g_hash_table_lookup(e->models, name);
    if (m && m->in_use > 0) {
        return "in use";
    }
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, e->models);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        if (g_strcmp0(((Model *)p)->base, name) == 0) {
            return "adapters loaded";
        }
    }
    g_hash_table_remove(e->models, name);
    return NULL;
}

/* Under the lock. */
static json_t *
make_report(const FakeEngines *f, Engine *e)
{
    json_t *models = json_array();
    uint64_t now_us = bg_now_us();
    GHashTableIter it;
    gpointer p;
    g_hash_table_iter_init(&it, e->models);
    while (g_hash_table_iter_next(&it, NULL, &p)) {
        const Model *m = p;
        json_array_append_new(
            models,
            json_pack("{s:s, s:s, s:i, s:s}", "name", m->name, "state",
                      now_us >= m->ready_us ? "loaded" : "loading",
                      "memory_mb", (int)m->memory_mb, "load_id", m->load_id));
    }
    return json_pack("{s:s, s:s, s:I, s:i, s:i, s:I, s:i, s:b, s:{}, s:o}",
                     "id", e->id, "boot", e->boot, "seq", (json_int_t)++e->seq,
                     "capacity_mb", (int)f->params.memory_mb, "used_mb",
                     (int)count_memory(e), "fence", (json_int_t)e->fence,
                     "inflight", (int)e->inflight, "leaving", false, "tiers",
                     "models", models);
}

static int
serve_order(FakeEngines *f, struct mg_connection *conn, const char *verb)
{
    Engine *e = find_engine(f, conn);
    json_t *order = read_body(conn);
    json_t *answer = NULL;
    int status = 200;
    pthread_mutex_lock(&e->lock);
    if (!check_fence(f, e, order)) {
        status = 409;
        answer = json_pack("{s:s, s:I}", "error", "fence", "fence",
                           (json_int_t)e->fence);
    }
    else if (strcmp(verb, "load") == 0) {
        status = 202;
        apply_load(f, e, order);
        answer = json_pack("{s:s, s:I}", "state", "loading", "seq",
                           (json_int_t)++e->seq);
    }
    else if (strcmp(verb, "unload") == 0) {
        const char *why = apply_unload(e, order);
        status = why ? 409 : 200;
        answer = why ? json_pack("{s:s}", "error", why)
                     : json_pack("{s:s, s:I}", "state", "absent", "seq",
                                 (json_int_t)++e->seq);
    }
    else {
        answer = make_report(f, e);
    }
    pthread_mutex_unlock(&e->lock);
    json_decref(order);
    return reply_json(conn, status, answer);
}

static int
serve_report(FakeEngines *f, struct mg_connection *conn)
{
    Engine *e = find_engine(f, conn);
    pthread_mutex_lock(&e->lock);
    json_t *doc = make_report(f, e);
    pthread_mutex_unlock(&e->lock);
    return reply_json(conn, 200, doc);
}

static int
serve_audit(FakeEngines *f, struct mg_connection *conn)
{
    Engine *e = find_engine(f, conn);
    pthread_mutex_lock(&e->lock);
    json_t *doc =
        json_pack("{s:I, s:i, s:i, s:i, s:i}", "loads", (json_int_t)e->loads,
                  "overcommits", (int)e->overcommits, "inflight",
                  (int)e->inflight, "used_mb", (int)count_memory(e), "models",
                  (int)g_hash_table_size(e->models));
    pthread_mutex_unlock(&e->lock);
    return reply_json(conn, 200, doc);
}

/* ---- requests ----------------------------------------------------------- */

typedef struct {
    FakeEngines *engines;
    struct mg_connection *conn;
    const char *model;
    char *digest;
    uint32_t count;
    bool chat;
} Call;

/* The prompt; for a chat, its messages joined by newlines. */
static char *
read_prompt(const json_t *doc)
{
    const json_t *messages = json_object_get(doc, "messages");
    if (!json_is_array(messages)) {
        return g_strdup(get_text(doc, "prompt"));
    }
    GString *text = g_string_new(NULL);
    size_t i;
    json_t *m;
    json_array_foreach(messages, i, m)
    {
        g_string_append_printf(text, "%s%s", i ? "\n" : "",
                               get_text(m, "content"));
    }
    return g_string_free(text, FALSE);
}

/* Waits until the time of token INDEX, computed from the start so that late
   wake-ups don't add up. */
static void
wait_token(const Call *c, uint64_t start_us, uint32_t index)
{
    uint64_t due_us =
        start_us + (uint64_t)c->engines->params.token_us * (index + 1);
    uint64_t now_us = bg_now_us();
    if (due_us > now_us) {
        usleep((useconds_t)(due_us - now_us));
    }
}

static bool
send_event(const Call *c, uint32_t index)
{
    g_autofree char *token = fe_make_token(c->digest, index, c->count);
    char event[REPLY_MAX];
    int len = snprintf(
        event, sizeof(event),
        "data: {\"id\":\"cmpl-1\",\"model\":\"%.128s\",\"choices\":[{%s"
        "\"%s\"%s,\"index\":0,\"finish_reason\":%s}]}\n\n",
        c->model, c->chat ? "\"delta\":{\"content\":" : "\"text\":", token,
        c->chat ? "}" : "", index == c->count + 1 ? "\"stop\"" : "null");
    char chunk[REPLY_MAX + 32];
    int size =
        snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n", (unsigned)len, event);
    return mg_write(c->conn, chunk, (size_t)size) == size;
}

static int
stream_answer(const Call *c)
{
    static const char head[] =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n";
    static const char tail[] = "e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n";
    uint64_t start_us = bg_now_us();
    mg_write(c->conn, head, sizeof(head) - 1);
    for (uint32_t i = 0; i < c->count + 2; i++) {
        wait_token(c, start_us, i);
        if (!send_event(c, i)) {
            return 499;
        }
    }
    mg_write(c->conn, tail, sizeof(tail) - 1);
    return 200;
}

static int
send_answer(const Call *c, const char *prompt)
{
    wait_token(c, bg_now_us(), c->count + 1);
    g_autofree char *text = fe_make_text(prompt, c->count);
    json_t *choice =
        json_pack("{s:i, s:s}", "index", 0, "finish_reason", "stop");
    json_t *part = json_string(text);
    if (c->chat) {
        part = json_pack("{s:s, s:o}", "role", "assistant", "content", part);
    }
    json_object_set_new(choice, c->chat ? "message" : "text", part);
    return reply_json(c->conn, 200,
                      json_pack("{s:s, s:s, s:[o], s:{s:i}}", "id", "cmpl-1",
                                "model", c->model, "choices", choice, "usage",
                                "completion_tokens", (int)c->count + 2));
}

/* Under the lock. */
static bool
is_loaded(const Engine *e, const char *name)
{
    const Model *m = g_hash_table_lookup(e->models, name);
    return m && bg_now_us() >= m->ready_us &&
           (!m->base || is_loaded(e, m->base));
}

static bool
enter_model(Engine *e, const char *name)
{
    pthread_mutex_lock(&e->lock);
    bool loaded = is_loaded(e, name);
    if (loaded) {
        e->inflight++;
        ((Model *)g_hash_table_lookup(e->models, name))->in_use++;
    }
    pthread_mutex_unlock(&e->lock);
    return loaded;
}

static void
leave_model(Engine *e, const char *name)
{
    pthread_mutex_lock(&e->lock);
    e->inflight--;
    Model *m = g_hash_table_lookup(e->models, name);
    if (m) {
        m->in_use--;
    }
    pthread_mutex_unlock(&e->lock);
}

static int
serve_completion(FakeEngines *f, struct mg_connection *conn, bool chat)
{
    Engine *e = find_engine(f, conn);
    json_t *doc = read_body(conn);
    Call c = {.engines = f,
              .conn = conn,
              .model = get_text(doc, "model"),
              .count = DEFAULT_TOKENS,
              .chat = chat};
    const json_t *count = json_object_get(doc, "max_tokens");
    if (json_is_integer(count)) {
        c.count = (uint32_t)json_integer_value(count);
    }
    int status = 404;
    if (!enter_model(e, c.model)) {
        reply(conn, 404, "not-loaded",
              "{\"error\":\"not loaded\",\"run\":false}");
    }
    else {
        g_autofree char *prompt = read_prompt(doc);
        c.digest = bg_digest_hex(prompt, strlen(prompt));
        status = json_is_true(json_object_get(doc, "stream"))
                     ? stream_answer(&c)
                     : send_answer(&c, prompt);
        g_free(c.digest);
        leave_model(e, c.model);
    }
    json_decref(doc);
    return status;
}

static int
handle_http(struct mg_connection *conn)
{
    FakeEngines *f = mg_get_user_data(mg_get_context(conn));
    const char *path = mg_get_request_info(conn)->local_uri;
    if (strcmp(path, "/v1/completions") == 0) {
        return serve_completion(f, conn, false);
    }
    if (strcmp(path, "/v1/chat/completions") == 0) {
        return serve_completion(f, conn, true);
    }
    if (strcmp(path, "/control/report") == 0) {
        return serve_report(f, conn);
    }
    if (strcmp(path, "/control/audit") == 0) {
        return serve_audit(f, conn);
    }
    if (strncmp(path, "/control/", 9) == 0) {
        return serve_order(f, conn, path + 9);
    }
    return reply(conn, 404, NULL, "{\"error\":\"no such path\"}");
}

/* ---- start and stop ----------------------------------------------------- */

static char *
make_ports(const FeParams *params)
{
    GString *ports = g_string_new(NULL);
    for (uint32_t i = 0; i < params->engines; i++) {
        g_string_append_printf(ports, "%s%s:%u", i ? "," : "", params->address,
                               params->first_port + i);
    }
    return g_string_free(ports, FALSE);
}

FakeEngines *
fe_start(const FeParams *params, GError **err)
{
    FakeEngines *f = g_new0(FakeEngines, 1);
    f->params = *params;
    f->engines = g_new0(Engine, params->engines);
    for (uint32_t i = 0; i < params->engines; i++) {
        init_engine(&f->engines[i], params, i);
    }
    g_autofree char *ports = make_ports(params);
    g_autofree char *threads = g_strdup_printf("%u", params->threads);
    const char *options[] = {"listening_ports",
                             ports,
                             "num_threads",
                             threads,
                             "enable_keep_alive",
                             "yes",
                             "keep_alive_timeout_ms",
                             "60000",
                             "tcp_nodelay",
                             "1",
                             "connection_queue",
                             "1024",
                             "listen_backlog",
                             "1024",
                             NULL};
    struct mg_callbacks callbacks = {.begin_request = handle_http};
    f->http = mg_start(&callbacks, f, options);
    if (!f->http) {
        g_set_error(err, BG_ERROR, BG_ERR_UNREACHABLE, "cannot listen on %s",
                    ports);
        fe_stop(f);
        return NULL;
    }
    return f;
}

void
fe_stop(FakeEngines *f)
{
    if (f->http) {
        mg_stop(f->http);
    }
    for (uint32_t i = 0; i < f->params.engines; i++) {
        clear_engine(&f->engines[i]);
    }
    g_free(f->engines);
    g_free(f);
}
