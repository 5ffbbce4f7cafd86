/* qr: quarantine of requests that crash upstreams.

   An upstream counts as crashed by a request if its connection broke after
   bytes were sent, and then either its process refused a new connection or a
   restart of it (another boot) was reported within BOOT_WAIT_MS.  A timeout
   does not count.  Each request in flight at a crash gets a death record in
   the log, since any of them may be the cause.  So one death only makes a
   request suspected: it then runs alone on an upstream, and an answer clears
   it.  Deaths of two distinct upstreams put it into quarantine: it is refused.

   A state machine without threads, I/O or clock, owned by a router's core
   thread. */
#ifndef QUARANTINE_H
#define QUARANTINE_H

#include "base.h"
#include "bglade.pb-c.h"
#include "fold.h"

typedef enum { QR_CLEAR, QR_SUSPECT, QR_QUARANTINED } QrVerdict;

typedef struct {
    const char *author; /* name of this VM */
    uint32_t resend_ms; /* append again unless seen in the log by then */
} QrParams;

typedef struct {
    void *ctx;
    /* Queues R for the log and takes it; false when the queue is full. */
    bool (*append)(void *ctx, Bg__Record *r);
} QrOutput;

typedef struct QrCore QrCore;

QrCore *qr_create(const QrParams *params, const QrOutput *out,
                  const Fold *fold);
void qr_destroy(QrCore *c);

/* Counts deaths that are in the log and those that wait to be appended. */
QrVerdict qr_get_verdict(const QrCore *c, const uint8_t digest[32]);

/* The connection broke after bytes were sent.  REFUSED: the process then
   refused a new connection. */
void qr_on_broken(QrCore *c, uint64_t now_ms, uint64_t wall_ms,
                  const uint8_t digest[32], const char *upstream,
                  bool refused);
/* A suspected request that ran alone was answered: record it as cleared. */
void qr_on_suspect_answered(QrCore *c, uint64_t wall_ms,
                            const uint8_t digest[32], const char *upstream);
/* UPSTREAM reported BOOT, the id of its process since the last start. */
void qr_on_boot(QrCore *c, uint64_t now_ms, uint64_t wall_ms,
                const char *upstream, const char *boot);
/* To be called for every death record that the fold has applied. */
void qr_on_record(QrCore *c, const Bg__DeathRecord *r);
void qr_on_tick(QrCore *c, uint64_t now_ms);

#endif
