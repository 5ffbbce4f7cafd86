#include "base.h"

#include <openssl/evp.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <time.h>

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

void
bg_log(BgLevel level, const char *module, const char *fmt, ...)
{
    if ((int)level < atomic_load(&log_level)) {
        return;
    }
    char text[1024];
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
    /* One call, so that lines of several threads do not interleave. */
    fprintf(stderr, "%s.%03ldZ %-5s %s: %s\n", stamp, ts.tv_nsec / 1000000,
            level_names[level], module, text);
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
