/* qr: quarantine of requests that upstreams die of.

   A state machine without threads, I/O or clock, owned by a router's core
   thread.  An upstream died under a request when its connection broke after
   bytes were sent and the process then refused a fresh connection, or
   another boot of it was reported within BOOT_WAIT_MS.  A timeout is no
   death.  Everything in flight at a death is a candidate and gets a record,
   so one death makes a suspect only: suspects run alone, and one that is
   answered is cleared.  Deaths of two distinct upstreams quarantine. */
#ifndef QR_H
#define QR_H

#include "bg_base.h"
#include "bglade.pb-c.h"
#include "fold.h"

typedef enum { QR_CLEAR, QR_SUSPECT, QR_QUARANTINED } QrVerdict;

typedef struct {
    const char *author; /* name of this VM */
    uint32_t resend_ms; /* a record not yet seen is appended again */
} QrParams;

typedef struct {
    void *ctx;
    /* Queue R for the log and take it; false when there is no room. */
    bool (*append)(void *ctx, Bg__Record *r);
} QrOutput;

typedef struct QrCore QrCore;

QrCore *qr_create(const QrParams *params, const QrOutput *out,
                  const Fold *fold);
void qr_destroy(QrCore *c);

/* What is known of the request, in the log or here. */
QrVerdict qr_judge(const QrCore *c, const uint8_t digest[32]);

/* The connection broke after bytes were sent.  REFUSED: the process then
   refused a fresh connection. */
void qr_on_broken(QrCore *c, uint64_t now_ms, uint64_t wall_ms,
                  const uint8_t digest[32], const char *upstream,
                  bool refused);
/* A suspect that ran alone was answered. */
void qr_on_alone(QrCore *c, uint64_t wall_ms, const uint8_t digest[32],
                 const char *upstream);
/* UPSTREAM's process is now the one named BOOT. */
void qr_on_boot(QrCore *c, uint64_t now_ms, uint64_t wall_ms,
                const char *upstream, const char *boot);
/* The fold has applied R; to be called for every death record. */
void qr_on_record(QrCore *c, const Bg__DeathRecord *r);
void qr_on_tick(QrCore *c, uint64_t now_ms);

#endif
