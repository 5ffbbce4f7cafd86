/* former_frames.so: preloaded into a gateway by tests, it sends frames as the
   release before the version plan did. */
#include "../src/gateway.pb-c.h"

#include <dlfcn.h>
#include <string.h>

typedef size_t (*SizeFn)(const ProtobufCMessage *message);
typedef size_t (*PackFn)(const ProtobufCMessage *message, uint8_t *out);

static void
strip_upstreams(Gwp__Upstreams *m)
{
    for (size_t i = 0; i < m->n_upstreams; i++) {
        m->upstreams[i]->version = (char *)protobuf_c_empty_string;
        m->upstreams[i]->versioned = 0;
    }
}

static void
strip_frame(Gwp__Frame *f)
{
    switch (f->body_case) {
    case GWP__FRAME__BODY_HELLO:
        f->hello->plans = 0;
        f->hello->unplanned = 0;
        break;
    case GWP__FRAME__BODY_MEMBERS:
        f->members->unplanned = 0;
        break;
    case GWP__FRAME__BODY_STATE:
        f->state->version_plan = 0;
        f->state->plans = 0;
        break;
    case GWP__FRAME__BODY_UPSTREAMS:
        strip_upstreams(f->upstreams);
        break;
    case GWP__FRAME__BODY_VERSION_PLAN:
    case GWP__FRAME__BODY_STREAM_NOTES:
    case GWP__FRAME__BODY_NOTE_ASK:
    case GWP__FRAME__BODY_NOTE_ANSWER:
        f->body_case = GWP__FRAME__BODY__NOT_SET;
        break;
    default:
        break;
    }
}

static void
strip(const ProtobufCMessage *message)
{
    if (strcmp(message->descriptor->name, "gwp.Frame") == 0) {
        strip_frame((Gwp__Frame *)message);
    }
}

size_t
protobuf_c_message_get_packed_size(const ProtobufCMessage *message)
{
    SizeFn next =
        (SizeFn)dlsym(RTLD_NEXT, "protobuf_c_message_get_packed_size");
    strip(message);
    return next(message);
}

size_t
protobuf_c_message_pack(const ProtobufCMessage *message, uint8_t *out)
{
    PackFn next = (PackFn)dlsym(RTLD_NEXT, "protobuf_c_message_pack");
    strip(message);
    return next(message, out);
}
