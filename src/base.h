/* bg_base: used by all modules: the GError domain, logger, clocks, ids,
   digests, random numbers and counters. */
#ifndef BASE_H
#define BASE_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#define BG_VERSION "0.1.0"
#define BG_ID_LEN 32 /* hex digits of a random id */

/* ---- errors -------------------------------------------------------------
   Codes of the BG_ERROR domain.  After BG_ERR_UNKNOWN the call may have had
   its effect; after all others it had none. */
typedef enum {
    BG_ERR_INVALID,     /* a text, setting or message breaks its rules */
    BG_ERR_CONFLICT,    /* the base version was not current */
    BG_ERR_UNREACHABLE, /* the peer could not be reached */
    BG_ERR_UNKNOWN,     /* sent, but the acknowledgement is missing */
    BG_ERR_TRIMMED,     /* the log no longer keeps that offset */
    BG_ERR_FORMAT,      /* truncated, corrupt or otherwise malformed */
    BG_ERR_FULL,        /* a bounded queue or table has no room */
    BG_ERR_NEWER        /* valid, but of a newer format */
} BgErrorCode;

#define BG_ERROR bg_error_quark()
GQuark bg_error_quark(void);

/* ---- logger -------------------------------------------------------------
   Writes a line to standard error: time, level, module, text.  Never blocks:
   a line that finds no room is dropped, and how many were is told by
   log_lines_dropped_total and by a line once there is room again.
   Thread-safe. */
typedef enum { BG_DEBUG, BG_INFO, BG_WARN, BG_FAULT } BgLevel;

void bg_set_log_level(BgLevel level);
bool bg_parse_log_level(const char *text, BgLevel *level);
void bg_log(BgLevel level, const char *module, const char *fmt, ...)
    G_GNUC_PRINTF(3, 4);

/* ---- clock and ids ------------------------------------------------------ */
uint64_t bg_now_ms(void);  /* monotonic, milliseconds */
uint64_t bg_now_us(void);  /* monotonic, microseconds */
uint64_t bg_wall_ms(void); /* since the epoch, milliseconds */
/* Like bg_now_ms, but includes the time that the VM is suspended: for leases
   and deadlines, which expire meanwhile. */
uint64_t bg_boot_ms(void);
/* Time since THEN_MS; 0 if that is later than NOW_MS, as what happens within a
   tick may be later than the time at which the tick began. */
uint64_t bg_get_age_ms(uint64_t now_ms, uint64_t then_ms);
void bg_sleep_ms(uint32_t wait_ms);

/* Write the LEN bytes of DATA as 2 * LEN hex digits and a NUL into OUT. */
void bg_format_hex(const uint8_t *data, size_t len, char *out);

/* Write BG_ID_LEN random hex digits and a NUL into ID. */
void bg_make_id(char id[BG_ID_LEN + 1]);

#define BG_DIGEST_BYTES 32

/* SHA-256 of DATA. */
void bg_digest(const void *data, size_t len, uint8_t out[BG_DIGEST_BYTES]);
/* SHA-256 of A and B behind each other. */
void bg_digest_two(const void *a, size_t a_len, const void *b, size_t b_len,
                   uint8_t out[BG_DIGEST_BYTES]);
/* bg_digest as 64 hex digits; free with g_free. */
char *bg_digest_hex(const void *data, size_t len);

/* ---- random numbers, seedable, not for ids or keys ---------------------- */
typedef struct {
    uint64_t state;
} BgRandom;

void bg_seed_random(BgRandom *rng, uint64_t seed);
uint64_t bg_next_random(BgRandom *rng);
/* Uniform in [0, bound); 0 when BOUND is 0. */
uint32_t bg_pick_random(BgRandom *rng, uint32_t bound);

/* ---- counters ----------------------------------------------------------- */
/* Process-wide named counters and gauges, printed at /metrics in the
   Prometheus text format.  NAME must be a string literal. */
void bg_count(const char *name, uint64_t add);
void bg_gauge(const char *name, uint64_t value);
void bg_print_metrics(GString *out);

#endif
