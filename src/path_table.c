#include "path_table.h"

#include <string.h>

/* Between two probes of a failed path; doubled with each that fails, up to the
   maximum, which bounds how long a path that is back stays unused. */
#define MIN_PROBE_MS 250
#define MAX_PROBE_MS 1000
/* A silent call makes one probe of its upstream in this time. */
#define SILENT_PROBE_MS 1000
/* So many upstreams must fail, without a success since the first, before this
   gateway counts as cut off: one alone may have crashed. */
#define CUT_OFF_UPSTREAMS 2
/* It also does where so many times more upstreams fail than were heard of
   within RECENT_ALIVE_MS. */
#define CUT_OFF_RATIO 2
#define RECENT_ALIVE_MS 2000
/* An upstream that no helper reaches either; doubled each time. */
#define MIN_NO_DETOUR_MS 250
#define MAX_NO_DETOUR_MS 2000
/* A helper that did not answer, or is cut off itself; doubled each time. */
#define MIN_HELPER_REST_MS 500
#define MAX_HELPER_REST_MS 4000
#define HELPER_FULL_MS 200
/* What it answered says so long something of its paths. */
#define HELPER_MEMORY_MS 3000
#define MAX_DOUBLINGS 8
/* What one helper answered for one upstream. */
#define NO_PATH_MEMORY_MS 2000
#define MAX_NO_PATHS 8
#define MAX_ADDRESS 24 /* IP:PORT */
/* A helper that is no longer named is used for this time still. */
#define KEEP_HELPER_MS 15000
#define MAX_HELPERS 128
/* After so long without any way a gateway counts as isolated: the first
   detours are open long before. */
#define ISOLATED_MS 1000
/* An answer by way of a helper within this time shows that a helper reaches
   upstreams. */
#define RECENT_DETOUR_MS 3000

/* A helper that lately had no path to one upstream. */
typedef struct {
    char helper[MAX_ADDRESS];
    uint64_t until_ms;
} NoPath;

typedef struct {
    char *address;
    char good_helper[MAX_ADDRESS]; /* that reached it last; "": none */
    NoPath no_paths[MAX_NO_PATHS];
    uint32_t next_no_path; /* the entry to use next */
    uint64_t failed_ms;    /* own connections fail since; 0: they don't */
    uint64_t next_probe_ms;
    uint32_t probe_ms;
    uint64_t alive_ms; /* last sign of it on an own connection */
    uint64_t silent_probe_ms;
    uint64_t no_detour_until_ms;
    uint32_t no_detours; /* in a row */
    bool in_run;         /* counted in Pt.failed_run */
} Path;

typedef struct {
    char *vm;
    char *data_centre;
    char *address;
    uint64_t dropped_ms; /* it is no longer named since; 0: it is */
    uint64_t opened_ms;  /* it last opened a detour; 0: never */
    uint64_t no_path_ms; /* it last had no path itself; 0: never */
    uint64_t rest_until_ms;
    uint32_t failures; /* in a row */
} Helper;

struct Pt {
    char *data_centre;
    char *address;
    BgRandom rng;
    GHashTable *paths;      /* address -> Path */
    GPtrArray *helpers;     /* Helper */
    uint32_t failed;        /* paths with failed_ms */
    uint32_t failed_run;    /* upstreams that failed since the last success */
    uint64_t detour_ms;     /* the last one was opened; 0: none */
    uint64_t bad_helper_ms; /* one had no path, or did not answer; 0: none */
    uint64_t cut_off_ms;    /* by the ticks, since; 0: it is not */
    bool mostly_failed;     /* by the last tick */
};

static void
free_path(void *p)
{
    g_free(((Path *)p)->address);
    g_free(p);
}

static void
free_helper(void *p)
{
    Helper *h = p;
    g_free(h->vm);
    g_free(h->data_centre);
    g_free(h->address);
    g_free(h);
}

Pt *
pt_create(const PtParams *params)
{
    Pt *t = g_new0(Pt, 1);
    t->data_centre = g_strdup(params->data_centre);
    t->address = g_strdup(params->address);
    bg_seed_random(&t->rng, params->seed);
    t->paths = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_path);
    t->helpers = g_ptr_array_new_with_free_func(free_helper);
    return t;
}

void
pt_destroy(Pt *t)
{
    g_hash_table_destroy(t->paths);
    g_ptr_array_free(t->helpers, TRUE);
    g_free(t->data_centre);
    g_free(t->address);
    g_free(t);
}

/* ---- helpers ------------------------------------------------------------ */

static Helper *
find_helper(const Pt *t, const char *address)
{
    for (guint i = 0; i < t->helpers->len; i++) {
        Helper *h = t->helpers->pdata[i];
        if (strcmp(h->address, address) == 0) {
            return h;
        }
    }
    return NULL;
}

static void
name_helper(Pt *t, const PtHelper *named)
{
    Helper *h = find_helper(t, named->address);
    if (!h) {
        h = g_new0(Helper, 1);
        h->vm = g_strdup(named->vm);
        h->data_centre = g_strdup(named->data_centre);
        h->address = g_strdup(named->address);
        g_ptr_array_add(t->helpers, h);
    }
    h->dropped_ms = 0;
}

static bool
is_named(const Helper *h, const PtHelper *helpers, size_t n)
{
    for (size_t i = 0; i < n; i++) {
        if (strcmp(helpers[i].address, h->address) == 0) {
            return true;
        }
    }
    return false;
}

static void
drop_helpers(Pt *t, uint64_t now_ms, const PtHelper *helpers, size_t n)
{
    for (guint i = t->helpers->len; i > 0; i--) {
        Helper *h = t->helpers->pdata[i - 1];
        if (is_named(h, helpers, n)) {
            continue;
        }
        h->dropped_ms = h->dropped_ms ? h->dropped_ms : now_ms;
        if (now_ms >= h->dropped_ms + KEEP_HELPER_MS ||
            t->helpers->len > MAX_HELPERS) {
            g_ptr_array_remove_index_fast(t->helpers, i - 1);
        }
    }
}

void
pt_set_helpers(Pt *t, uint64_t now_ms, const PtHelper *helpers, size_t n)
{
    drop_helpers(t, now_ms, helpers, n);
    for (size_t i = 0; i < n; i++) {
        if (*helpers[i].address &&
            strcmp(helpers[i].address, t->address) != 0) {
            name_helper(t, &helpers[i]);
        }
    }
}

uint32_t
pt_count_helpers(const Pt *t)
{
    return t->helpers->len;
}

static bool
was_tried(const GPtrArray *tried, const char *address)
{
    for (guint i = 0; i < tried->len; i++) {
        if (strcmp(tried->pdata[i], address) == 0) {
            return true;
        }
    }
    return false;
}

/* ---- paths -------------------------------------------------------------- */

static Path *
find_path(const Pt *t, const char *address)
{
    return g_hash_table_lookup(t->paths, address);
}

static Path *
get_path(Pt *t, const char *address)
{
    Path *p = find_path(t, address);
    if (!p) {
        p = g_new0(Path, 1);
        p->address = g_strdup(address);
        g_hash_table_insert(t->paths, p->address, p);
    }
    return p;
}

static bool
has_no_path(const Path *p, uint64_t now_ms, const char *helper)
{
    for (size_t i = 0; i < MAX_NO_PATHS; i++) {
        if (now_ms < p->no_paths[i].until_ms &&
            strcmp(p->no_paths[i].helper, helper) == 0) {
            return true;
        }
    }
    return false;
}

/* The one that reached this upstream goes first, one that did not goes last;
   between them, those that lately reached any go before those that did not.
   Among equals one of this data centre, where the way is short; but once a
   helper failed, any, as a whole data centre may be cut off. */
static uint32_t
rank_helper(const Pt *t, uint64_t now_ms, const Path *p, const Helper *h,
            bool first)
{
    if (strcmp(p->good_helper, h->address) == 0) {
        return 8;
    }
    if (has_no_path(p, now_ms, h->address)) {
        return 0;
    }
    bool near = first && strcmp(h->data_centre, t->data_centre) == 0;
    /* As long as all have paths the load is spread over all. */
    bool good = t->bad_helper_ms && h->opened_ms > h->no_path_ms &&
                now_ms < t->bad_helper_ms + HELPER_MEMORY_MS &&
                now_ms < h->opened_ms + HELPER_MEMORY_MS;
    bool bad = h->no_path_ms >= h->opened_ms && h->no_path_ms &&
               now_ms < h->no_path_ms + HELPER_MEMORY_MS;
    return (good ? 5 : bad ? 1 : 3) + near;
}

const char *
pt_pick_helper(Pt *t, uint64_t now_ms, const char *address,
               const GPtrArray *tried)
{
    const Path *p = get_path(t, address);
    const Helper *best = NULL;
    uint32_t best_rank = 0;
    uint32_t equals = 0;
    for (guint i = 0; i < t->helpers->len; i++) {
        const Helper *h = t->helpers->pdata[i];
        if (now_ms < h->rest_until_ms || was_tried(tried, h->address)) {
            continue;
        }
        uint32_t rank = rank_helper(t, now_ms, p, h, tried->len == 0);
        equals = !best || rank > best_rank ? 1 : equals + (rank == best_rank);
        if (!best || rank > best_rank ||
            (rank == best_rank && bg_pick_random(&t->rng, equals) == 0)) {
            best = h;
            best_rank = rank;
        }
    }
    return best ? best->address : NULL;
}

void
pt_forget(Pt *t, const char *address)
{
    Path *p = find_path(t, address);
    if (!p) {
        return;
    }
    t->failed -= p->failed_ms != 0;
    t->failed_run -= p->in_run;
    g_hash_table_remove(t->paths, address);
}

/* Whether the next probe is due: its caller makes it. */
static bool
take_probe(Path *p, uint64_t now_ms)
{
    if (now_ms < p->next_probe_ms) {
        return false;
    }
    p->next_probe_ms = now_ms + p->probe_ms;
    return true;
}

PtPlan
pt_plan(Pt *t, uint64_t now_ms, const char *address)
{
    Path *p = get_path(t, address);
    bool detour = t->helpers->len > 0 && now_ms >= p->no_detour_until_ms;
    if (!detour) {
        return (PtPlan){true, PT_NEVER};
    }
    if (!p->failed_ms) {
        return (PtPlan){true, pt_is_cut_off(t) ? 0 : PT_DETOUR_AFTER_MS};
    }
    return (PtPlan){take_probe(p, now_ms), 0};
}

bool
pt_may_connect(Pt *t, uint64_t now_ms, const char *address)
{
    Path *p = find_path(t, address);
    return !p || !p->failed_ms || take_probe(p, now_ms);
}

static void
end_run(Pt *t)
{
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, t->paths);
    while (t->failed_run > 0 && g_hash_table_iter_next(&it, NULL, &v)) {
        ((Path *)v)->in_run = false;
    }
    t->failed_run = 0;
}

static void
set_opened(Pt *t, Path *p, uint64_t now_ms)
{
    t->failed -= p->failed_ms != 0;
    p->failed_ms = 0;
    p->no_detour_until_ms = 0;
    p->no_detours = 0;
    p->alive_ms = now_ms;
    end_run(t);
}

static void
set_failed(Pt *t, Path *p, uint64_t now_ms)
{
    t->failed += p->failed_ms == 0;
    p->probe_ms =
        p->failed_ms ? MIN(p->probe_ms * 2, MAX_PROBE_MS) : MIN_PROBE_MS;
    p->failed_ms = p->failed_ms ? p->failed_ms : now_ms;
    /* The jitter keeps gateways that were cut off together from probing at the
       same moments. */
    p->next_probe_ms =
        now_ms + p->probe_ms / 2 + bg_pick_random(&t->rng, p->probe_ms);
    t->failed_run += !p->in_run;
    p->in_run = true;
}

void
pt_on_direct(Pt *t, uint64_t now_ms, const char *address, bool opened)
{
    Path *p = get_path(t, address);
    if (opened) {
        set_opened(t, p, now_ms);
    }
    else {
        set_failed(t, p, now_ms);
    }
}

void
pt_on_alive(Pt *t, uint64_t now_ms, const char *address)
{
    get_path(t, address)->alive_ms = now_ms;
    end_run(t);
}

void
pt_on_alive_by_detour(Pt *t, uint64_t now_ms)
{
    t->detour_ms = now_ms;
}

static uint32_t
double_rest(uint32_t least_ms, uint32_t most_ms, uint32_t times)
{
    return MIN(least_ms << MIN(times, MAX_DOUBLINGS), most_ms);
}

static void
note_no_path(Path *p, uint64_t now_ms, const char *helper)
{
    NoPath *n = &p->no_paths[p->next_no_path];
    p->next_no_path = (p->next_no_path + 1) % MAX_NO_PATHS;
    g_strlcpy(n->helper, helper, sizeof(n->helper));
    n->until_ms = now_ms + NO_PATH_MEMORY_MS;
    if (strcmp(p->good_helper, helper) == 0) {
        *p->good_helper = '\0';
    }
}

void
pt_on_detour(Pt *t, uint64_t now_ms, const char *address, const char *helper,
             PtAnswer answer)
{
    Helper *h = find_helper(t, helper);
    Path *p = get_path(t, address);
    if (answer == PT_OPENED) {
        g_strlcpy(p->good_helper, helper, sizeof(p->good_helper));
        t->detour_ms = now_ms;
        p->no_detours = 0;
        p->no_detour_until_ms = 0;
    }
    else {
        note_no_path(p, now_ms, helper);
        t->bad_helper_ms = now_ms;
    }
    if (!h) {
        return;
    }
    if (answer == PT_OPENED) {
        h->opened_ms = now_ms;
        h->failures = 0;
    }
    else if (answer == PT_NO_PATH) {
        h->no_path_ms = now_ms;
    }
    else if (answer == PT_FULL) {
        h->rest_until_ms = now_ms + HELPER_FULL_MS;
    }
    else {
        h->rest_until_ms =
            now_ms +
            double_rest(MIN_HELPER_REST_MS, MAX_HELPER_REST_MS, h->failures);
        h->failures++;
    }
}

void
pt_on_no_detour(Pt *t, uint64_t now_ms, const char *address)
{
    Path *p = get_path(t, address);
    p->no_detour_until_ms =
        now_ms +
        double_rest(MIN_NO_DETOUR_MS, MAX_NO_DETOUR_MS, p->no_detours);
    p->no_detours++;
}

bool
pt_wants_probe(Pt *t, uint64_t now_ms, const char *address, uint64_t sent_ms)
{
    Path *p = get_path(t, address);
    if (p->alive_ms >= sent_ms || p->failed_ms ||
        now_ms < p->silent_probe_ms + SILENT_PROBE_MS) {
        return false;
    }
    p->silent_probe_ms = now_ms;
    return true;
}

bool
pt_is_failed(const Pt *t, const char *address)
{
    const Path *p = find_path(t, address);
    return p && p->failed_ms;
}

bool
pt_is_cut_off(const Pt *t)
{
    return t->mostly_failed || t->failed_run >= CUT_OFF_UPSTREAMS;
}

static uint32_t
count_alive(const Pt *t, uint64_t now_ms)
{
    uint32_t alive = 0;
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, t->paths);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Path *p = v;
        alive += !p->failed_ms && p->alive_ms &&
                 now_ms < p->alive_ms + RECENT_ALIVE_MS;
    }
    return alive;
}

void
pt_on_tick(Pt *t, uint64_t now_ms)
{
    t->mostly_failed = t->failed >= CUT_OFF_UPSTREAMS &&
                       t->failed > count_alive(t, now_ms) * CUT_OFF_RATIO;
    if (!pt_is_cut_off(t)) {
        t->cut_off_ms = 0;
    }
    else if (t->cut_off_ms == 0) {
        t->cut_off_ms = now_ms;
    }
}

bool
pt_is_isolated(const Pt *t, uint64_t now_ms)
{
    return pt_is_cut_off(t) && t->cut_off_ms &&
           now_ms >= t->cut_off_ms + ISOLATED_MS &&
           !pt_is_cut_off_alone(t, now_ms);
}

bool
pt_is_cut_off_alone(const Pt *t, uint64_t now_ms)
{
    return pt_is_cut_off(t) && t->detour_ms &&
           now_ms < t->detour_ms + RECENT_DETOUR_MS;
}

uint32_t
pt_count_failed(const Pt *t)
{
    return t->failed;
}

void
pt_print(const Pt *t, uint64_t now_ms, GString *out)
{
    for (guint i = 0; i < t->helpers->len; i++) {
        const Helper *h = t->helpers->pdata[i];
        g_string_append_printf(
            out,
            "{\"helper\":\"%s\",\"address\":\"%s\",\"data_centre\":\"%s\","
            "\"rests_ms\":%llu}\n",
            h->vm, h->address, h->data_centre,
            (unsigned long long)(h->rest_until_ms > now_ms
                                     ? h->rest_until_ms - now_ms
                                     : 0));
    }
    GHashTableIter it;
    gpointer v;
    g_hash_table_iter_init(&it, t->paths);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const Path *p = v;
        if (p->failed_ms) {
            g_string_append_printf(
                out, "{\"upstream\":\"%s\",\"failed_ms\":%llu}\n", p->address,
                (unsigned long long)(now_ms - p->failed_ms));
        }
    }
}
