#include "json_log.h"

#include "ring.h"

#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <time.h>
#include <unistd.h>

#define RING_LINES 1024
#define THREAD_STACK (64 * 1024) /* it only writes */

struct JlLine {
    GString *text;
};

static Ring *ring;
static pthread_t writer;
static atomic_bool stopping;
static atomic_uint_fast64_t dropped;
static char *node_name;

static void
write_all(const GString *s)
{
    size_t at = 0;
    while (at < s->len) {
        ssize_t n = write(STDOUT_FILENO, s->str + at, s->len - at);
        if (n < 0 && errno != EINTR) {
            return; /* standard output is closed: no place to report it */
        }
        at += n > 0 ? (size_t)n : 0;
    }
}

static void
write_dropped(uint64_t *reported)
{
    uint64_t now = atomic_load(&dropped);
    if (now == *reported) {
        return;
    }
    g_autoptr(GString) s = g_string_new(NULL);
    g_string_printf(s, "{\"event\":\"log-dropped\",\"lines\":%llu}\n",
                    (unsigned long long)(now - *reported));
    *reported = now;
    write_all(s);
}

static void *
run_writer(void *arg)
{
    (void)arg;
    uint64_t reported = 0;
    for (;;) {
        GString *s = ring_pop(ring, 10000);
        if (s) {
            write_all(s);
            g_string_free(s, TRUE);
            write_dropped(&reported);
        }
        else if (atomic_load(&stopping)) {
            return NULL;
        }
    }
}

void
jl_start(const char *node)
{
    node_name = g_strescape(node, NULL);
    ring = ring_create(RING_LINES);
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, THREAD_STACK);
    if (pthread_create(&writer, &attr, run_writer, NULL) != 0) {
        g_error("log: no thread for the writer");
    }
    pthread_attr_destroy(&attr);
}

void
jl_stop(uint32_t wait_ms)
{
    atomic_store(&stopping, true);
    ring_close(ring);
    struct timespec until;
    clock_gettime(CLOCK_REALTIME, &until);
    until.tv_sec += wait_ms / 1000;
    until.tv_nsec += (long)(wait_ms % 1000) * 1000000;
    if (until.tv_nsec >= 1000000000) {
        until.tv_sec++;
        until.tv_nsec -= 1000000000;
    }
    /* The process exits next, which ends a writer that is blocked. */
    pthread_timedjoin_np(writer, NULL, &until);
}

/* Bytes that are no UTF-8 become replacement characters. */
static void
append_quoted(GString *s, const char *text)
{
    g_autofree char *valid =
        g_utf8_validate(text, -1, NULL) ? NULL : g_utf8_make_valid(text, -1);
    g_string_append_c(s, '"');
    for (const char *c = valid ? valid : text; *c; c++) {
        unsigned char u = (unsigned char)*c;
        if (u < 0x20 || u == '"' || u == '\\') {
            g_string_append_printf(s, "\\u%04x", u);
        }
        else {
            g_string_append_c(s, *c);
        }
    }
    g_string_append_c(s, '"');
}

JlLine *
jl_begin(const char *event)
{
    if (!ring) {
        return NULL;
    }
    if (ring_count(ring) >= RING_LINES) {
        atomic_fetch_add(&dropped, 1);
        bg_count("log_lines_dropped_total", 1);
        return NULL;
    }
    JlLine *l = g_new(JlLine, 1);
    l->text = g_string_sized_new(256);
    uint64_t wall_ms = bg_wall_ms();
    g_string_append_printf(
        l->text, "{\"t_ms\":%llu,\"up_ms\":%llu,\"node\":\"%s\",\"event\":",
        (unsigned long long)wall_ms, (unsigned long long)bg_boot_ms(),
        node_name);
    append_quoted(l->text, event);
    return l;
}

void
jl_text(JlLine *l, const char *field, const char *value)
{
    if (l && value) {
        g_string_append_printf(l->text, ",\"%s\":", field);
        append_quoted(l->text, value);
    }
}

void
jl_number(JlLine *l, const char *field, int64_t value)
{
    if (l) {
        g_string_append_printf(l->text, ",\"%s\":%lld", field,
                               (long long)value);
    }
}

void
jl_end(JlLine *l)
{
    if (!l) {
        return;
    }
    g_string_append(l->text, "}\n");
    if (!ring_push(ring, l->text)) {
        atomic_fetch_add(&dropped, 1);
        g_string_free(l->text, TRUE);
    }
    g_free(l);
}

uint64_t
jl_count_dropped(void)
{
    return atomic_load(&dropped);
}
