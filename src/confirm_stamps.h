/* cs: time stamps of a linked gateway, which come back to it with what they
   confirm.

   A gateway sends its time stamp, and what it later hears with that stamp was
   true, as the sender knows it, after the stamp had left.  So its age is known
   by one clock, whatever the link or a relay delays; nothing is estimated.

   No threads, I/O or clock. */
#ifndef CONFIRM_STAMPS_H
#define CONFIRM_STAMPS_H

#include "base.h"

#define CS_STAMPS 8
/* Stamps that come sooner after the last one are passed over, so that those
   kept reach back far enough. */
#define CS_APART_MS 100

typedef struct {
    uint64_t stamp_ms; /* by the clock of the gateway that sent it */
    uint64_t taken_ms; /* by ours; 0: none */
} CsStamp;

/* Of one link. */
typedef struct {
    CsStamp rows[CS_STAMPS];
    uint32_t newest;
} Cs;

/* STAMP_MS came; 0: its sender sends none. */
void cs_take(Cs *c, uint64_t now_ms, uint64_t stamp_ms);
/* The newest stamp that had come by AS_OF_MS: what was true then is true as of
   it.  0: none. */
uint64_t cs_find(const Cs *c, uint64_t as_of_ms);

#endif
