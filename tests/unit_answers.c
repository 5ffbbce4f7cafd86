#include "answer_end.h"

#include <CUnit/Basic.h>
#include <string.h>

#define MAX_BYTES 64

typedef struct {
    AeFraming framing;
    const char *type;
    const char *encoding;
    bool as_stream; /* its reader asked for events */
    bool continues;
    bool (*may_end)(const GByteArray *body);
    uint16_t status; /* 0: 200 */
} Shape;

static Ae *
read_answer(const Shape *shape, const char *body)
{
    AeExpect expect = {0, 0, shape->may_end};
    AeHead head = {.status = shape->status ? shape->status : 200,
                   .framing = shape->framing,
                   .type = shape->type,
                   .encoding = shape->encoding};
    Ae *a = ae_create(&expect);
    ae_on_head(a, &head);
    if (shape->as_stream) {
        ae_read_events(a, shape->continues);
    }
    size_t len = strlen(body);
    size_t used = 0;
    EsEvent event;
    for (size_t at = 0; at < len; at += used) {
        CU_ASSERT(ae_read(a, body + at, len - at, &used, &event) !=
                  AE_READ_TOO_LARGE);
    }
    return a;
}

/* How the answer with that BODY ends after SIGNAL. */
static AeEnd
judge(const Shape *shape, const char *body, AeSignal signal)
{
    Ae *a = read_answer(shape, body);
    AeEnd end = ae_end(a, signal);
    ae_destroy(a);
    return end;
}

static const char half[] = "id: 0\ndata: a\n\nid: 1\nda";
static const char whole[] = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";

static void
test_message_over(void)
{
    Shape s = {.framing = AE_BY_LENGTH};
    CU_ASSERT_EQUAL(judge(&s, "text", AE_MESSAGE_OVER), AE_WHOLE_LENGTH);
    s.framing = AE_BY_CHUNKS;
    CU_ASSERT_EQUAL(judge(&s, "text", AE_MESSAGE_OVER), AE_WHOLE_CHUNKS);
    s.framing = AE_BY_CLOSE;
    CU_ASSERT_EQUAL(judge(&s, "text", AE_MESSAGE_OVER), AE_WHOLE_CLOSE);
    s.framing = AE_NO_BODY;
    CU_ASSERT_EQUAL(judge(&s, "", AE_MESSAGE_OVER), AE_WHOLE_NO_BODY);
}

static void
test_connection_that_ends_early(void)
{
    Shape s = {.framing = AE_BY_CHUNKS};
    CU_ASSERT_EQUAL(judge(&s, "text", AE_CLOSED), AE_SHORT);
    CU_ASSERT_EQUAL(judge(&s, "text", AE_FAILED), AE_RESET);
    CU_ASSERT_EQUAL(judge(&s, "text", AE_INVALID), AE_NOT_HTTP);
    AeExpect expect = {0, 0, NULL};
    Ae *a = ae_create(&expect);
    CU_ASSERT_EQUAL(ae_end(a, AE_CLOSED), AE_UNANSWERED);
    ae_destroy(a);
}

/* Guards against a stream that its framing calls whole and its events don't.
 */
static void
test_stream_that_ends_inside_an_event(void)
{
    const AeFraming framings[] = {AE_BY_LENGTH, AE_BY_CHUNKS, AE_BY_CLOSE};
    Shape s = {.type = "text/event-stream; charset=utf-8", .as_stream = true};
    for (size_t i = 0; i < G_N_ELEMENTS(framings); i++) {
        s.framing = framings[i];
        CU_ASSERT_EQUAL(judge(&s, half, AE_MESSAGE_OVER), AE_INSIDE);
        CU_ASSERT(ae_is_whole(judge(&s, whole, AE_MESSAGE_OVER)));
        CU_ASSERT(ae_is_whole(judge(&s, "", AE_MESSAGE_OVER)));
        CU_ASSERT(ae_is_whole(judge(&s, ": c\n", AE_MESSAGE_OVER)));
        CU_ASSERT_FALSE(ae_is_whole(judge(&s, whole, AE_FAILED)));
    }
}

/* Guards against an answer that is no stream and counts as a broken one. */
static void
test_answer_that_is_no_stream(void)
{
    Shape s = {.framing = AE_BY_CLOSE, .as_stream = true};
    CU_ASSERT_EQUAL(judge(&s, "{\"a\": 1}", AE_MESSAGE_OVER), AE_WHOLE_CLOSE);
    CU_ASSERT_EQUAL(judge(&s, half, AE_MESSAGE_OVER), AE_INSIDE);
    s.continues = true;
    CU_ASSERT_EQUAL(judge(&s, "{\"a\": 1}", AE_MESSAGE_OVER), AE_INSIDE);
    s = (Shape){
        .framing = AE_BY_CLOSE, .as_stream = true, .type = "application/json"};
    CU_ASSERT_EQUAL(judge(&s, half, AE_MESSAGE_OVER), AE_WHOLE_CLOSE);
    s = (Shape){.framing = AE_BY_CLOSE,
                .as_stream = true,
                .type = "text/event-stream",
                .encoding = "gzip"};
    CU_ASSERT_EQUAL(judge(&s, half, AE_MESSAGE_OVER), AE_WHOLE_CLOSE);
}

/* Guards against half a document that is read as a whole one. */
static void
test_document_without_length(void)
{
    Shape s = {.framing = AE_BY_CLOSE, .may_end = ae_is_json};
    CU_ASSERT_EQUAL(judge(&s, "{\"a\": [1]}", AE_MESSAGE_OVER),
                    AE_WHOLE_CLOSE);
    CU_ASSERT_EQUAL(judge(&s, "{\"a\": [1", AE_MESSAGE_OVER), AE_INSIDE);
    CU_ASSERT_EQUAL(judge(&s, "", AE_MESSAGE_OVER), AE_INSIDE);
    s.status = 503; /* its body isn't read */
    CU_ASSERT_EQUAL(judge(&s, "", AE_MESSAGE_OVER), AE_WHOLE_CLOSE);
    s = (Shape){.framing = AE_BY_CLOSE, .may_end = ae_is_never_whole};
    CU_ASSERT_EQUAL(judge(&s, "text", AE_MESSAGE_OVER), AE_INSIDE);
    s.framing = AE_BY_LENGTH;
    CU_ASSERT_EQUAL(judge(&s, "text", AE_MESSAGE_OVER), AE_WHOLE_LENGTH);
}

static void
test_rest_of_a_stream(void)
{
    Shape s = {.framing = AE_BY_CLOSE,
               .type = "text/event-stream",
               .as_stream = true};
    Ae *a = read_answer(&s, "data: a\n\n: end\n");
    CU_ASSERT_EQUAL(ae_end(a, AE_MESSAGE_OVER), AE_WHOLE_CLOSE);
    const GByteArray *rest = ae_get_body(a);
    CU_ASSERT_EQUAL(rest->len, strlen(": end\n"));
    CU_ASSERT_EQUAL(ae_get_rest_bytes(a), rest->len);
    CU_ASSERT_EQUAL(ae_get_bytes(a), strlen("data: a\n\n: end\n"));
    ae_destroy(a);
}

static bool
is_too_large(bool as_stream, size_t pieces)
{
    AeExpect expect = {MAX_BYTES, MAX_BYTES, NULL};
    AeHead head = {.status = 200, .framing = AE_BY_CHUNKS};
    Ae *a = ae_create(&expect);
    ae_on_head(a, &head);
    if (as_stream) {
        ae_read_events(a, false);
    }
    AeResult r = AE_READ_ALL;
    for (size_t i = 0; i < pieces && r == AE_READ_ALL; i++) {
        size_t used;
        EsEvent event;
        r = ae_read(a, "data: 7\n", 8, &used, &event);
    }
    ae_destroy(a);
    return r == AE_READ_TOO_LARGE;
}

static void
test_bounds(void)
{
    size_t fit = MAX_BYTES / 8;
    CU_ASSERT_FALSE(is_too_large(false, fit));
    CU_ASSERT(is_too_large(false, fit + 1));
    CU_ASSERT_FALSE(is_too_large(true, fit));
    CU_ASSERT(is_too_large(true, fit + 1));
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("answers", NULL, NULL);
    CU_ADD_TEST(suite, test_message_over);
    CU_ADD_TEST(suite, test_connection_that_ends_early);
    CU_ADD_TEST(suite, test_stream_that_ends_inside_an_event);
    CU_ADD_TEST(suite, test_answer_that_is_no_stream);
    CU_ADD_TEST(suite, test_document_without_length);
    CU_ADD_TEST(suite, test_rest_of_a_stream);
    CU_ADD_TEST(suite, test_bounds);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed ? 1 : 0;
}
