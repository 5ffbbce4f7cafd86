/* Fields of heads: fixed rows cut at each byte, and random heads beside a
   plain reader. */

#include "http_internal.h"

#include <CUnit/Basic.h>
#include <string.h>

#define RANDOM_HEADS 4000
#define MAX_FIELDS 8
#define MAX_PIECES 6

typedef struct {
    HtMessage msg;
    bool is_answer;
    bool begun;
    bool over;
} Reading;

static int
on_begin(http_parser *p)
{
    Reading *r = p->data;
    ht_start_message(&r->msg, r->is_answer);
    r->begun = true;
    return 0;
}

static int
on_name(http_parser *p, const char *at, size_t len)
{
    ht_add_header_name(&((Reading *)p->data)->msg, at, len);
    return 0;
}

static int
on_value(http_parser *p, const char *at, size_t len)
{
    ht_add_header_value(&((Reading *)p->data)->msg, at, len);
    return 0;
}

static int
on_head(http_parser *p)
{
    ht_finish_head(&((Reading *)p->data)->msg, p);
    return 0;
}

static int
on_end(http_parser *p)
{
    ((Reading *)p->data)->over = true;
    http_parser_pause(p, 1);
    return 0;
}

static const http_parser_settings settings = {.on_message_begin = on_begin,
                                              .on_header_field = on_name,
                                              .on_header_value = on_value,
                                              .on_headers_complete = on_head,
                                              .on_message_complete = on_end};

static void
print_fields(const HtMessage *m, GString *out)
{
    for (guint i = 0; i < m->head.headers->len; i++) {
        const HtHeader *h = &g_array_index(m->head.headers, HtHeader, i);
        g_string_append_printf(out, "%s=%s|", h->name, h->value);
    }
}

/* The fields of the message TEXT, which comes in pieces that end at CUTS
   (ascending); "refused" if it isn't taken.  Free with g_free. */
static char *
read_pieces(const char *text, size_t len, bool is_answer, const size_t *cuts,
            size_t cut_count)
{
    Reading r = {.is_answer = is_answer};
    http_parser parser;
    http_parser_init(&parser, is_answer ? HTTP_RESPONSE : HTTP_REQUEST);
    parser.data = &r;
    size_t at = 0;
    bool failed = false;
    for (size_t i = 0; i <= cut_count && !r.over && !failed; i++) {
        size_t end = i < cut_count ? cuts[i] : len;
        if (end == at) {
            continue; /* no bytes mean the connection's end */
        }
        size_t used =
            http_parser_execute(&parser, &settings, text + at, end - at);
        failed = !r.over &&
                 (HTTP_PARSER_ERRNO(&parser) != HPE_OK || used != end - at);
        at = end;
    }
    GString *out = g_string_new(NULL);
    if (!r.over || r.msg.malformed || !ht_has_known_coding(&r.msg.head)) {
        g_string_assign(out, "refused");
    }
    else {
        print_fields(&r.msg, out);
    }
    if (r.begun) {
        ht_free_message(&r.msg);
    }
    return g_string_free(out, FALSE);
}

typedef struct {
    const char *lines; /* fields; a head's end follows */
    const char *request;
    const char *answer; /* NULL: as the request */
} Row;

static const Row rows[] = {
    {"A: b\r\n", "A=b|", NULL},
    {"A:b\r\n", "A=b|", NULL},
    {"A: \t b \t\r\n", "A=b|", NULL},
    {"A:\r\nB: c\r\n", "A=|B=c|", NULL},
    {"A: \r\nB: c\r\n", "A=|B=c|", NULL},
    {"A:\r\nB:\r\nC:\r\n", "A=|B=|C=|", NULL},
    {"A:\nB: c\n", "A=|B=c|", NULL},
    {"B: c\r\nA:\r\n", "B=c|A=|", NULL},
    {"A: b\r\nA: c\r\na: d\r\n", "A=b|A=c|a=d|", NULL},
    {"A: b\r\n c\r\nB: d\r\n", "A=b c|B=d|", NULL},
    {"A: b\r\n\tc\r\nB: d\r\n", "A=b\tc|B=d|", NULL},
    {"A:\r\n c\r\nB: d\r\n", "A=c|B=d|", NULL},
    {"A:\r\n \r\nB: d\r\n", "A=|B=d|", NULL},
    {"A: b\r\n \r\nB: d\r\n", "A=b|B=d|", NULL},
    {"A: b:c: d\r\n", "A=b:c: d|", NULL},
    {"A: bHTTP/1.1 200 OK\r\n", "A=bHTTP/1.1 200 OK|", "refused"},
    {"A: bHTTP/1.1  200 OK\r\n", "A=bHTTP/1.1  200 OK|", "refused"},
    {"A: HTTP/HTTP/1.0 404 \r\n", "A=HTTP/HTTP/1.0 404|", "refused"},
    {"Via: HTTP/1.1 proxy\r\n", "Via=HTTP/1.1 proxy|", NULL},
    {"A: b\x80\xff\r\n", "A=b\x80\xff|", NULL},
    {"A : b\r\n", "refused", "A=b|"},
    {"A B: c\r\n", "refused", NULL},
    {" A: b\r\n", "refused", NULL},
    {": b\r\n", "refused", NULL},
    {"A\r\n", "refused", NULL},
    {"A\x80: b\r\n", "refused", NULL},
    {"(A): b\r\n", "refused", NULL},
    {"A: b\x01\r\n", "refused", NULL},
    {"A: b\rC: d\r\n", "refused", NULL},
    {"Transfer-Encoding : chunked\r\n", "refused", NULL},
    {"Content-Length : 5\r\n", "refused", NULL},
    {"Connection : close\r\n", "refused", NULL},
    {"Transfer-Encoding: gzip, chunked\r\n", "refused", NULL},
};

static char *
make_message(const char *lines, bool is_answer)
{
    return g_strdup_printf("%s\r\n%sContent-Length: 0\r\n\r\n",
                           is_answer ? "HTTP/1.1 200 OK" : "POST /x HTTP/1.1",
                           lines);
}

static void
check_row(const Row *row, bool is_answer)
{
    const char *want = is_answer && row->answer ? row->answer : row->request;
    g_autofree char *fields =
        g_strcmp0(want, "refused") == 0
            ? g_strdup(want)
            : g_strconcat(want, "Content-Length=0|", NULL);
    g_autofree char *text = make_message(row->lines, is_answer);
    size_t len = strlen(text);
    for (size_t cut = 1; cut < len; cut++) {
        g_autofree char *got = read_pieces(text, len, is_answer, &cut, 1);
        CU_ASSERT_STRING_EQUAL(got, fields);
        if (strcmp(got, fields) != 0) {
            printf("\n%s cut at %zu: got %s\n", row->lines, cut, got);
            return;
        }
    }
}

static void
test_rows(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(rows); i++) {
        check_row(&rows[i], false);
        check_row(&rows[i], true);
    }
}

static void
test_zero_byte(void)
{
    char text[] = "POST /x HTTP/1.1\r\nA: b?c\r\nContent-Length: 0\r\n\r\n";
    size_t len = strlen(text);
    *strchr(text, '?') = '\0';
    g_autofree char *got = read_pieces(text, len, false, NULL, 0);
    CU_ASSERT_STRING_EQUAL(got, "refused");
}

/* Fields behind the last chunk are none of the head. */
static void
test_trailers(void)
{
    static const char lines[] = "Transfer-Encoding: chunked\r\nA: b\r\n\r\n"
                                "1\r\nx\r\n0\r\nC: d\r\nE:\r\nA: f\r\n\r\n";
    for (int is_answer = 0; is_answer < 2; is_answer++) {
        g_autofree char *text =
            g_strconcat(is_answer ? "HTTP/1.1 200 OK" : "POST /x HTTP/1.1",
                        "\r\n", lines, NULL);
        size_t len = strlen(text);
        for (size_t cut = 1; cut < len; cut++) {
            g_autofree char *got = read_pieces(text, len, is_answer, &cut, 1);
            CU_ASSERT_STRING_EQUAL(got, "Transfer-Encoding=chunked|A=b|");
        }
    }
}

/* ---- random heads ------------------------------------------------------- */

static void
append_random(BgRandom *rng, const char *alphabet, uint32_t max, GString *out)
{
    uint32_t count = bg_pick_random(rng, max + 1);
    for (uint32_t i = 0; i < count; i++) {
        g_string_append_c(
            out, alphabet[bg_pick_random(rng, (uint32_t)strlen(alphabet))]);
    }
}

/* A field, and what a plain reader makes of it: its value is all behind the
   colon, without the ends of lines and without blanks around it. */
static void
append_field(BgRandom *rng, GString *text, GString *want)
{
    g_autoptr(GString) name = g_string_new("X");
    append_random(rng, "abZ-_.!9", 5, name);
    g_autoptr(GString) value = g_string_new(NULL);
    g_string_append_printf(text, "%s:", name->str);
    for (uint32_t line = bg_pick_random(rng, 8) ? 0 : 1; line < 2; line++) {
        g_autoptr(GString) part = g_string_new(NULL);
        append_random(rng, " \t", 2, part);
        append_random(rng, "ab:,;= \"\t\xc3", 6, part);
        if (line == 0) {
            g_string_append(text, part->str);
            g_string_append(value, part->str);
            g_string_append(text, bg_pick_random(rng, 2) ? "\r\n " : "\n ");
            g_string_append_c(value, ' ');
            continue;
        }
        g_string_append(text, part->str);
        g_string_append(value, part->str);
    }
    g_string_append(text, bg_pick_random(rng, 4) ? "\r\n" : "\n");
    g_string_append_printf(want, "%s=%s|", name->str, g_strstrip(value->str));
}

static int
compare_sizes(const void *a, const void *b)
{
    size_t x = *(const size_t *)a;
    size_t y = *(const size_t *)b;
    return (x > y) - (x < y);
}

static bool
check_random_head(BgRandom *rng, uint32_t nth)
{
    bool is_answer = bg_pick_random(rng, 2);
    g_autoptr(GString) lines = g_string_new(NULL);
    g_autoptr(GString) want = g_string_new(NULL);
    uint32_t count = bg_pick_random(rng, MAX_FIELDS + 1);
    for (uint32_t i = 0; i < count; i++) {
        append_field(rng, lines, want);
    }
    g_string_append(want, "Content-Length=0|");
    g_autofree char *text = make_message(lines->str, is_answer);
    size_t len = strlen(text);
    size_t cuts[MAX_PIECES];
    uint32_t cut_count = bg_pick_random(rng, MAX_PIECES + 1);
    for (uint32_t i = 0; i < cut_count; i++) {
        cuts[i] = 1 + bg_pick_random(rng, (uint32_t)len - 1);
    }
    qsort(cuts, cut_count, sizeof(cuts[0]), compare_sizes);
    g_autofree char *got = read_pieces(text, len, is_answer, cuts, cut_count);
    if (strcmp(got, want->str) != 0) {
        printf("\nhead %u: %s\ngot %s\nwant %s\n", nth, text, got, want->str);
        return false;
    }
    return true;
}

static void
test_random_heads(void)
{
    BgRandom rng;
    bg_seed_random(&rng, 1);
    for (uint32_t i = 0; i < RANDOM_HEADS; i++) {
        bool same = check_random_head(&rng, i);
        CU_ASSERT(same);
        if (!same) {
            return;
        }
    }
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite s = CU_add_suite("http", NULL, NULL);
    CU_add_test(s, "fields, cut at each byte", test_rows);
    CU_add_test(s, "zero byte in a value", test_zero_byte);
    CU_add_test(s, "trailers", test_trailers);
    CU_add_test(s, "random heads", test_random_heads);
    CU_basic_run_tests();
    unsigned int failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed ? 1 : 0;
}
