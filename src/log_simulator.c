#include "log_simulator.h"

#include <civetweb.h>
#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define DEFAULT_MAX 500

typedef struct {
    uint8_t *data;
    uint32_t len;
} Entry;

struct FakeLog {
    FlParams params;
    struct mg_context *http;
    pthread_mutex_t lock;
    pthread_cond_t changed;
    GPtrArray *entries; /* Entry; the first one has offset first */
    uint64_t first;
    uint64_t appends;
    uint64_t reads;
    uint64_t bytes;
    uint64_t next_append_us; /* when the next append may take effect */
    atomic_bool stopping;
};

/* ---- state -------------------------------------------------------------- */

static void
free_entry(gpointer p)
{
    Entry *e = p;
    g_free(e->data);
    g_free(e);
}

/* Delays an append by the rate limit and the simulated latency. */
static void
delay_append(FakeLog *f)
{
    uint64_t now_us = bg_now_us();
    uint64_t until_us = now_us;
    if (f->params.rate) {
        pthread_mutex_lock(&f->lock);
        f->next_append_us =
            MAX(f->next_append_us, now_us) + 1000000u / f->params.rate;
        until_us = f->next_append_us;
        pthread_mutex_unlock(&f->lock);
    }
    until_us += (uint64_t)f->params.latency_ms * 1000;
    if (until_us > now_us) {
        usleep((useconds_t)(until_us - now_us));
    }
}

static uint64_t
append_entry(FakeLog *f, const GByteArray *body)
{
    Entry *e = g_new(Entry, 1);
    e->data = g_memdup2(body->data, body->len);
    e->len = body->len;
    pthread_mutex_lock(&f->lock);
    g_ptr_array_add(f->entries, e);
    f->appends++;
    f->bytes += body->len;
    uint64_t offset = f->first + f->entries->len - 1;
    /* Trims keep entries at a time, so that the cost per append is low. */
    if (f->params.keep && f->entries->len >= 2 * f->params.keep) {
        g_ptr_array_remove_range(f->entries, 0, f->params.keep);
        f->first += f->params.keep;
    }
    pthread_cond_broadcast(&f->changed);
    pthread_mutex_unlock(&f->lock);
    return offset;
}

/* Under the lock.  Waits up to WAIT_MS for an entry at FROM. */
static void
wait_entry(FakeLog *f, uint64_t from, uint32_t wait_ms)
{
    struct timespec until;
    clock_gettime(CLOCK_MONOTONIC, &until);
    until.tv_sec += wait_ms / 1000;
    until.tv_nsec += (long)(wait_ms % 1000) * 1000000;
    if (until.tv_nsec >= 1000000000) {
        until.tv_sec++;
        until.tv_nsec -= 1000000000;
    }
    int waited = 0;
    while (from >= f->first + f->entries->len && waited != ETIMEDOUT &&
           !atomic_load(&f->stopping)) {
        waited = pthread_cond_timedwait(&f->changed, &f->lock, &until);
    }
}

/* Under the lock. */
static void
print_entries(const FakeLog *f, uint64_t from, uint32_t max_entries,
              GString *out)
{
    uint64_t next = f->first + f->entries->len;
    g_string_append_printf(out, "{\"first\":%llu,\"next\":%llu,\"records\":[",
                           (unsigned long long)f->first,
                           (unsigned long long)next);
    for (uint64_t at = MAX(from, f->first); at < next && max_entries > 0;
         at++, max_entries--) {
        const Entry *e = f->entries->pdata[at - f->first];
        g_autofree char *data = g_base64_encode(e->data, e->len);
        g_string_append_printf(out, "%s{\"offset\":%llu,\"data\":\"%s\"}",
                               at == MAX(from, f->first) ? "" : ",",
                               (unsigned long long)at, data);
    }
    g_string_append(out, "]}");
}

/* ---- HTTP --------------------------------------------------------------- */

static int
reply(struct mg_connection *conn, int status, const char *text)
{
    g_autofree char *answer = g_strdup_printf(
        "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
        "Content-Length: %zu\r\n\r\n%s",
        status, mg_get_response_code_text(conn, status), strlen(text), text);
    mg_write(conn, answer, strlen(answer));
    return status;
}

static int
serve_append(FakeLog *f, struct mg_connection *conn)
{
    g_autoptr(GByteArray) body = g_byte_array_new();
    uint8_t chunk[16384];
    int got;
    while ((got = mg_read(conn, chunk, sizeof(chunk))) > 0) {
        g_byte_array_append(body, chunk, (guint)got);
    }
    delay_append(f);
    g_autofree char *text = g_strdup_printf(
        "{\"offset\":%llu}", (unsigned long long)append_entry(f, body));
    return reply(conn, 200, text);
}

static uint64_t
read_number(const char *query, const char *key, uint64_t fallback)
{
    char value[32];
    if (!query ||
        mg_get_var(query, strlen(query), key, value, sizeof(value)) <= 0) {
        return fallback;
    }
    return g_ascii_strtoull(value, NULL, 10);
}

static int
serve_read(FakeLog *f, struct mg_connection *conn)
{
    const char *query = mg_get_request_info(conn)->query_string;
    uint64_t from = read_number(query, "from", 1);
    uint32_t max_entries = (uint32_t)read_number(query, "max", DEFAULT_MAX);
    g_autoptr(GString) text = g_string_new(NULL);
    pthread_mutex_lock(&f->lock);
    f->reads++;
    wait_entry(f, from, (uint32_t)read_number(query, "wait_ms", 0));
    int status = from < f->first ? 410 : 200;
    print_entries(f, from, status == 200 ? max_entries : 0, text);
    pthread_mutex_unlock(&f->lock);
    return reply(conn, status, text->str);
}

static int
serve_state(FakeLog *f, struct mg_connection *conn)
{
    pthread_mutex_lock(&f->lock);
    uint64_t next = f->first + f->entries->len;
    g_autofree char *text = g_strdup_printf(
        "{\"first\":%llu,\"next\":%llu,\"appends\":%llu,\"bytes\":%llu,"
        "\"reads\":%llu}",
        (unsigned long long)f->first, (unsigned long long)next,
        (unsigned long long)f->appends, (unsigned long long)f->bytes,
        (unsigned long long)f->reads);
    pthread_mutex_unlock(&f->lock);
    return reply(conn, 200, text);
}

static int
handle_http(struct mg_connection *conn)
{
    FakeLog *f = mg_get_user_data(mg_get_context(conn));
    const char *path = mg_get_request_info(conn)->local_uri;
    if (strcmp(path, "/v1/append") == 0) {
        return serve_append(f, conn);
    }
    if (strcmp(path, "/v1/records") == 0) {
        return serve_read(f, conn);
    }
    if (strcmp(path, "/test/state") == 0) {
        return serve_state(f, conn);
    }
    return reply(conn, 404, "{\"error\":\"no such path\"}");
}

/* ---- start and stop ----------------------------------------------------- */

FakeLog *
fl_start(const FlParams *params, GError **err)
{
    FakeLog *f = g_new0(FakeLog, 1);
    f->params = *params;
    f->first = 1;
    f->entries = g_ptr_array_new_with_free_func(free_entry);
    pthread_mutex_init(&f->lock, NULL);
    pthread_condattr_t clock;
    pthread_condattr_init(&clock);
    pthread_condattr_setclock(&clock, CLOCK_MONOTONIC);
    pthread_cond_init(&f->changed, &clock);
    pthread_condattr_destroy(&clock);
    g_autofree char *threads = g_strdup_printf("%u", params->threads);
    const char *options[] = {"listening_ports",
                             params->listen,
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
                    params->listen);
        fl_stop(f);
        return NULL;
    }
    return f;
}

void
fl_stop(FakeLog *f)
{
    pthread_mutex_lock(&f->lock);
    atomic_store(&f->stopping, true);
    pthread_cond_broadcast(&f->changed);
    pthread_mutex_unlock(&f->lock);
    if (f->http) {
        mg_stop(f->http);
    }
    g_ptr_array_free(f->entries, TRUE);
    pthread_cond_destroy(&f->changed);
    pthread_mutex_destroy(&f->lock);
    g_free(f);
}
