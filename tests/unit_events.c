#include "event_stream.h"

#include <CUnit/Basic.h>
#include <stdlib.h>
#include <string.h>

#define MAX_EVENT_BYTES 4096
#define MAX_INPUT_BYTES 400
#define SEED 20261204
#define FUZZ_INPUTS 100000 /* unless $EVENT_INPUTS says otherwise */

/* ---- a slow plain reader, which has the whole stream at once ------------ */

typedef struct {
    size_t end; /* behind its blank line */
    bool has_id;
    bool has_data;
    GString *id;
} PlainEvent;

static void
clear_plain(void *event)
{
    g_string_free(((PlainEvent *)event)->id, TRUE);
}

static GArray *
create_plain(void)
{
    GArray *out = g_array_new(FALSE, TRUE, sizeof(PlainEvent));
    g_array_set_clear_func(out, clear_plain);
    return out;
}

static void
read_plain_line(const char *line, size_t len, PlainEvent *e, bool *has_field)
{
    if (len == 0 || line[0] == ':') {
        return;
    }
    size_t name_len = 0;
    while (name_len < len && line[name_len] != ':') {
        name_len++;
    }
    size_t at = name_len;
    if (at < len) {
        at++;
    }
    if (at < len && line[at] == ' ') {
        at++;
    }
    *has_field = true;
    if (name_len == 4 && strncmp(line, "data", 4) == 0) {
        e->has_data = true;
    }
    if (name_len == 2 && strncmp(line, "id", 2) == 0 &&
        !memchr(line + at, '\0', len - at)) {
        e->has_id = true;
        g_string_truncate(e->id, 0);
        g_string_append_len(e->id, line + at, (gssize)(len - at));
    }
}

/* Returns the PlainEvents; *INSIDE: the stream ends inside another one. */
static GArray *
read_plain(const char *in, size_t len, bool *inside)
{
    GArray *out = create_plain();
    PlainEvent e = {.id = g_string_new(NULL)};
    bool has_field = false;
    size_t start = len >= 3 && memcmp(in, "\xEF\xBB\xBF", 3) == 0 ? 3 : 0;
    for (size_t at = start; at < len;) {
        if (in[at] != '\n' && in[at] != '\r') {
            at++;
            continue;
        }
        read_plain_line(in + start, at - start, &e, &has_field);
        bool blank = at == start;
        at += in[at] == '\r' && at + 1 < len && in[at + 1] == '\n' ? 2 : 1;
        start = at;
        if (blank) {
            e.end = at;
            g_array_append_val(out, e);
            e = (PlainEvent){.id = g_string_new(NULL)};
            has_field = false;
        }
    }
    *inside = has_field || start < len;
    clear_plain(&e);
    return out;
}

/* ---- the reader, in pieces ---------------------------------------------- */

typedef struct {
    GString *text; /* of all events so far */
    GArray *events;
    bool inside;
    bool too_large;
} Reading;

static void
add_event(Reading *r, const EsEvent *e)
{
    PlainEvent p = {.id = g_string_new(e->id),
                    .has_id = e->id != NULL,
                    .has_data = e->has_data};
    g_string_append_len(r->text, e->text, (gssize)e->len);
    p.end = r->text->len;
    g_array_append_val(r->events, p);
}

static void
read_piece(Reading *r, Es *s, const char *data, size_t len)
{
    EsResult result = ES_EVENT;
    while (result == ES_EVENT) {
        size_t used;
        EsEvent e;
        result = es_read(s, data, len, &used, &e);
        data += used;
        len -= used;
        if (result == ES_EVENT) {
            add_event(r, &e);
        }
    }
    r->too_large = r->too_large || result == ES_TOO_LARGE;
}

static void
finish_reading(Reading *r, Es *s)
{
    size_t len;
    const char *rest = es_get_rest(s, &len);
    g_string_append_len(r->text, rest, (gssize)len);
    r->inside = es_is_inside(s);
    es_destroy(s);
}

static void
clear_reading(Reading *r)
{
    g_string_free(r->text, TRUE);
    g_array_free(r->events, TRUE);
}

static Reading
start_reading(void)
{
    return (Reading){.text = g_string_new(NULL), .events = create_plain()};
}

/* The reader may hand out an event between the CR and the LF of its blank
   line. */
static bool
is_same_event(const PlainEvent *a, const PlainEvent *b)
{
    return a->has_id == b->has_id && a->has_data == b->has_data &&
           g_string_equal(a->id, b->id) && a->end - b->end <= 1;
}

static bool
is_same(const Reading *r, const GArray *plain, bool inside, const char *in,
        size_t len)
{
    bool same = r->events->len == plain->len && r->inside == inside &&
                !r->too_large && r->text->len == len &&
                memcmp(r->text->str, in, len) == 0;
    for (guint i = 0; same && i < plain->len; i++) {
        same = is_same_event(&g_array_index(plain, PlainEvent, i),
                             &g_array_index(r->events, PlainEvent, i));
    }
    return same;
}

/* Reads IN, cut where CUT(ctx, at) says so; false: it differs from the plain
   reader's. */
static bool
check_cuts(const char *in, size_t len, bool (*cut)(void *ctx, size_t at),
           void *ctx)
{
    bool inside;
    GArray *plain = read_plain(in, len, &inside);
    Reading r = start_reading();
    Es *s = es_create(MAX_EVENT_BYTES);
    size_t from = 0;
    for (size_t at = 1; at <= len; at++) {
        if (at == len || cut(ctx, at)) {
            read_piece(&r, s, in + from, at - from);
            from = at;
        }
    }
    finish_reading(&r, s);
    bool same = is_same(&r, plain, inside, in, len);
    clear_reading(&r);
    g_array_free(plain, TRUE);
    return same;
}

/* ---- tests -------------------------------------------------------------- */

static bool
cut_at(void *ctx, size_t at)
{
    return at == *(size_t *)ctx;
}

static bool
cut_always(void *ctx, size_t at)
{
    (void)ctx;
    (void)at;
    return true;
}

static bool
cut_at_random(void *ctx, size_t at)
{
    (void)at;
    return bg_pick_random(ctx, 4) == 0;
}

static const char *const streams[] = {
    "id: 0\ndata: event 0\n\nid: 1\ndata: event 1\n\n",
    "id: 0\r\ndata: event 0\r\n\r\nid: 1\r\ndata: event 1\r\n\r\n",
    "id: 0\rdata: event 0\r\rid: 1\rdata: event 1\r\r",
    "\xEF\xBB\xBFid: 0\n\n: comment\n\ndata\n\nid\n\nretry: 10\n\n",
    "x-weight: 4\nid: 7\ndata: a\ndata: b\r\n\r\n\n\n:half a comm",
};

static void
test_cut_at_every_byte(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(streams); i++) {
        size_t len = strlen(streams[i]);
        for (size_t at = 0; at < len; at++) {
            CU_ASSERT(check_cuts(streams[i], len, cut_at, &at));
            CU_ASSERT(check_cuts(streams[i], at, cut_always, NULL));
        }
    }
}

static size_t
make_input(BgRandom *rng, char *in)
{
    static const struct {
        const char *text;
        size_t len;
    } words[] = {{"id", 2},   {"data", 4}, {"event", 5}, {":", 1},
                 {": ", 2},   {" ", 1},    {"17", 2},    {"x", 1},
                 {"\0", 1},   {"\n", 1},   {"\n", 1},    {"\r", 1},
                 {"\r\n", 2}, {"\n\n", 2}, {"\r\r", 2},  {"\xEF\xBB\xBF", 3},
                 {"\xEF", 1}, {"id: ", 4}};
    size_t count = bg_pick_random(rng, 60);
    size_t len = 0;
    for (size_t i = 0; i < count; i++) {
        size_t w = bg_pick_random(rng, G_N_ELEMENTS(words));
        memcpy(in + len, words[w].text, words[w].len);
        len += words[w].len;
    }
    return len;
}

/* Guards against events that are found, ended or named otherwise than the
   standard says, for any bytes in any pieces. */
static void
test_random_streams_in_random_pieces(void)
{
    const char *asked = getenv("EVENT_INPUTS");
    long inputs = asked ? strtol(asked, NULL, 10) : FUZZ_INPUTS;
    BgRandom rng;
    bg_seed_random(&rng, SEED);
    char in[MAX_INPUT_BYTES];
    long different = 0;
    for (long i = 0; i < inputs; i++) {
        size_t len = make_input(&rng, in);
        different += !check_cuts(in, len, cut_at_random, &rng);
    }
    CU_ASSERT_EQUAL(different, 0);
}

static void
test_event_without_end_is_not_kept(void)
{
    Es *s = es_create(MAX_EVENT_BYTES);
    Reading r = start_reading();
    for (int i = 0; i < MAX_EVENT_BYTES && !r.too_large; i++) {
        read_piece(&r, s, "data: 0123456789\n", 17);
    }
    size_t len;
    es_get_rest(s, &len);
    CU_ASSERT(r.too_large);
    CU_ASSERT(len <= MAX_EVENT_BYTES);
    es_destroy(s);
    clear_reading(&r);
}

int
main(void)
{
    CU_initialize_registry();
    CU_pSuite suite = CU_add_suite("events", NULL, NULL);
    CU_ADD_TEST(suite, test_cut_at_every_byte);
    CU_ADD_TEST(suite, test_random_streams_in_random_pieces);
    CU_ADD_TEST(suite, test_event_without_end_is_not_kept);
    CU_basic_run_tests();
    unsigned failed = CU_get_number_of_failures();
    CU_cleanup_registry();
    return failed ? 1 : 0;
}
