#include "base.h"

#include <fcntl.h>
#include <openssl/evp.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

GQuark
bg_error_quark(void)
{
    return g_quark_from_static_string("bglade");
}

/* ---- logger ------------------------------------------------------------- */

static atomic_int log_level = BG_INFO;
static const char *const level_names[] = {"debug", "info", "warn", "fault"};

void
bg_set_log_level(BgLevel level)
{
    atomic_store(&log_level, (int)level);
}

bool
bg_parse_log_level(const char *text, BgLevel *level)
{
    for (int i = 0; i < (int)G_N_ELEMENTS(level_names); i++) {
        if (strcmp(text, level_names[i]) == 0) {
            *level = (BgLevel)i;
            return true;
        }
    }
    return false;
}

/* A line with its time, level and module; below PIPE_BUF, so that a pipe takes
   it whole or not at all. */
#define TEXT_BYTES 1024
#define LINE_BYTES (TEXT_BYTES + 128)

static pthread_once_t log_once = PTHREAD_ONCE_INIT;
static int log_fd = STDERR_FILENO;
static bool log_is_socket;
static atomic_uint_fast64_t dropped; /* lines that found no room */

/* A pipe is opened once more: its flags are shared with other processes. */
static void
open_log(void)
{
    struct stat st;
    if (fstat(STDERR_FILENO, &st) != 0) {
        return;
    }
    log_is_socket = S_ISSOCK(st.st_mode);
    if (S_ISFIFO(st.st_mode)) {
        int fd = open("/proc/self/fd/2", O_WRONLY | O_NONBLOCK | O_CLOEXEC);
        log_fd = fd >= 0 ? fd : STDERR_FILENO;
    }
}

/* Never blocks; false: there is no room for it, or nobody to read it. */
static bool
write_line(const char *line, size_t len)
{
    pthread_once(&log_once, open_log);
    if (log_is_socket) {
        return send(log_fd, line, len, MSG_DONTWAIT | MSG_NOSIGNAL) ==
               (ssize_t)len;
    }
    struct pollfd room = {log_fd, POLLOUT, 0};
    return poll(&room, 1, 0) == 1 && !(room.revents & (POLLERR | POLLNVAL)) &&
           write(log_fd, line, len) == (ssize_t)len;
}

static bool
write_dropped(void)
{
    uint64_t count = atomic_load(&dropped);
    if (count == 0) {
        return true;
    }
    char line[LINE_BYTES];
    int len = snprintf(line, sizeof(line), "log: %llu lines were dropped\n",
                       (unsigned long long)count);
    if (!write_line(line, (size_t)len)) {
        return false;
    }
    atomic_fetch_sub(&dropped, count);
    return true;
}

void
bg_log(BgLevel level, const char *module, const char *fmt, ...)
{
    if ((int)level < atomic_load(&log_level)) {
        return;
    }
    char text[TEXT_BYTES];
    va_list args;
    va_start(args, fmt);
    vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    struct timespec ts;
    struct tm tm;
    clock_gettime(CLOCK_REALTIME, &ts);
    gmtime_r(&ts.tv_sec, &tm);
    char stamp[32];
    strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
    char line[LINE_BYTES];
    int len = snprintf(line, sizeof(line), "%s.%03ldZ %-5s %s: %s\n", stamp,
                       ts.tv_nsec / 1000000, level_names[level], module, text);
    if (!write_dropped() || !write_line(line, (size_t)len)) {
        atomic_fetch_add(&dropped, 1);
        bg_count("log_lines_dropped_total", 1);
    }
}

/* ---- clock and ids ------------------------------------------------------ */

static uint64_t
read_clock_us(clockid_t id)
{
    struct timespec ts;
    clock_gettime(id, &ts);
    return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

uint64_t
bg_now_us(void)
{
    return read_clock_us(CLOCK_MONOTONIC);
}

uint64_t
bg_now_ms(void)
{
    return read_clock_us(CLOCK_MONOTONIC) / 1000;
}

uint64_t
bg_wall_ms(void)
{
    return read_clock_us(CLOCK_REALTIME) / 1000;
}

uint64_t
bg_get_age_ms(uint64_t now_ms, uint64_t then_ms)
{
    return now_ms > then_ms ? now_ms - then_ms : 0;
}

uint64_t
bg_boot_ms(void)
{
    return read_clock_us(CLOCK_BOOTTIME) / 1000;
}

void
bg_sleep_ms(uint32_t wait_ms)
{
    struct timespec ts = {wait_ms / 1000, (long)(wait_ms % 1000) * 1000000};
    nanosleep(&ts, NULL);
}

void
bg_format_hex(const uint8_t *data, size_t len, char *out)
{
    static const char digits[] = "0123456789abcdef";
    for (size_t i = 0; i < len; i++) {
        out[2 * i] = digits[data[i] >> 4];
        out[2 * i + 1] = digits[data[i] & 15];
    }
    out[2 * len] = '\0';
}

void
bg_make_id(char id[BG_ID_LEN + 1])
{
    uint8_t raw[BG_ID_LEN / 2];
    /* Ids decide who won a race, so a weaker source is not safe here. */
    if (getrandom(raw, sizeof(raw), 0) != (ssize_t)sizeof(raw)) {
        g_error("base: no random bytes");
    }
    bg_format_hex(raw, sizeof(raw), id);
}

void
bg_digest(const void *data, size_t len, uint8_t out[BG_DIGEST_BYTES])
{
    unsigned int out_len = BG_DIGEST_BYTES;
    if (!EVP_Digest(data, len, out, &out_len, EVP_sha256(), NULL)) {
        g_error("base: SHA-256 is not available");
    }
}

void
bg_digest_two(const void *a, size_t a_len, const void *b, size_t b_len,
              uint8_t out[BG_DIGEST_BYTES])
{
    unsigned int out_len = BG_DIGEST_BYTES;
    EVP_MD_CTX *c = EVP_MD_CTX_new();
    if (!c || !EVP_DigestInit_ex(c, EVP_sha256(), NULL) ||
        !EVP_DigestUpdate(c, a, a_len) || !EVP_DigestUpdate(c, b, b_len) ||
        !EVP_DigestFinal_ex(c, out, &out_len)) {
        g_error("base: SHA-256 is not available");
    }
    EVP_MD_CTX_free(c);
}

char *
bg_digest_hex(const void *data, size_t len)
{
    uint8_t raw[BG_DIGEST_BYTES];
    bg_digest(data, len, raw);
    char *hex = g_malloc(2 * BG_DIGEST_BYTES + 1);
    bg_format_hex(raw, sizeof(raw), hex);
    return hex;
}

/* ---- random source ------------------------------------------------------ */

void
bg_seed_random(BgRandom *rng, uint64_t seed)
{
    rng->state = seed;
}

uint64_t
bg_next_random(BgRandom *rng)
{
    /* splitmix64 */
    uint64_t z = (rng->state += 0x9e3779b97f4a7c15u);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9u;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebu;
    return z ^ (z >> 31);
}

uint32_t
bg_pick_random(BgRandom *rng, uint32_t bound)
{
    return bound ? (uint32_t)(bg_next_random(rng) % bound) : 0;
}

/* ---- counters ----------------------------------------------------------- */

#define MAX_COUNTERS 128

typedef struct {
    const char *_Atomic name;
    atomic_uint_fast64_t value;
    bool gauge;
} Counter;

static Counter counters[MAX_COUNTERS];
static pthread_mutex_t counter_lock = PTHREAD_MUTEX_INITIALIZER;

static Counter *
find_counter(const char *name, bool gauge)
{
    int i = 0;
    const char *at;
    for (; i < MAX_COUNTERS && (at = atomic_load(&counters[i].name)); i++) {
        if (at == name || strcmp(at, name) == 0) {
            return &counters[i];
        }
    }
    pthread_mutex_lock(&counter_lock);
    for (; i < MAX_COUNTERS && (at = atomic_load(&counters[i].name)); i++) {
        if (strcmp(at, name) == 0) {
            break;
        }
    }
    if (i < MAX_COUNTERS && !atomic_load(&counters[i].name)) {
        counters[i].gauge = gauge;
        atomic_store(&counters[i].name, name);
    }
    pthread_mutex_unlock(&counter_lock);
    return i < MAX_COUNTERS ? &counters[i] : NULL;
}

void
bg_count(const char *name, uint64_t add)
{
    Counter *c = find_counter(name, false);
    if (c) {
        atomic_fetch_add(&c->value, add);
    }
}

void
bg_gauge(const char *name, uint64_t value)
{
    Counter *c = find_counter(name, true);
    if (c) {
        atomic_store(&c->value, value);
    }
}

void
bg_print_metrics(GString *out)
{
    const char *name;
    for (int i = 0; i < MAX_COUNTERS; i++) {
        if (!(name = atomic_load(&counters[i].name))) {
            break;
        }
        g_string_append_printf(out, "# TYPE bglade_%s %s\nbglade_%s %llu\n",
                               name, counters[i].gauge ? "gauge" : "counter",
                               name, (unsigned long long)counters[i].value);
    }
}
