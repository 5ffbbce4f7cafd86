/* fr: framing of the messages between gateways: a protobuf message preceded by
   its length (4 bytes, big-endian). */
#ifndef FRAMES_H
#define FRAMES_H

#include "base.h"
#include "gateway.pb-c.h"

/* Enough for all upstreams of a large fleet. */
#define FR_MAX_BYTES (8 * 1024 * 1024)

/* FRAME with its length; to be freed. */
GByteArray *fr_pack(const Gwp__Frame *frame);

typedef enum { FR_WHOLE, FR_PARTIAL, FR_INVALID } FrResult;

/* Reads the frame at *AT of IN, which has at most MAX_BYTES, and advances *AT
   past it.  FR_WHOLE: *OUT is to be freed with gwp__frame__free_unpacked. */
FrResult fr_next(const GByteArray *in, size_t *at, size_t max_bytes,
                 Gwp__Frame **out);

#endif
