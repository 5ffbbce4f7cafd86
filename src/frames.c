#include "frames.h"

#include <arpa/inet.h>
#include <string.h>

#define HEAD_BYTES 4

GByteArray *
fr_pack(const Gwp__Frame *frame)
{
    size_t len = gwp__frame__get_packed_size(frame);
    uint32_t head = htonl((uint32_t)len);
    GByteArray *bytes = g_byte_array_new();
    g_byte_array_set_size(bytes, HEAD_BYTES + (guint)len);
    memcpy(bytes->data, &head, HEAD_BYTES);
    gwp__frame__pack(frame, bytes->data + HEAD_BYTES);
    return bytes;
}

FrResult
fr_next(const GByteArray *in, size_t *at, size_t max_bytes, Gwp__Frame **out)
{
    if (in->len - *at < HEAD_BYTES) {
        return FR_PARTIAL;
    }
    uint32_t head;
    memcpy(&head, in->data + *at, HEAD_BYTES);
    size_t len = ntohl(head);
    if (len > max_bytes) {
        return FR_INVALID;
    }
    if (in->len - *at - HEAD_BYTES < len) {
        return FR_PARTIAL;
    }
    *out = gwp__frame__unpack(NULL, len, in->data + *at + HEAD_BYTES);
    if (!*out) {
        return FR_INVALID;
    }
    *at += HEAD_BYTES + len;
    return FR_WHOLE;
}
