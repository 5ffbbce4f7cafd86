#include "stream_position.h"

#include <string.h>

struct Po {
    char *after; /* id of the last event that the caller had before, or NULL */
    char *last;  /* ... that it got here, or NULL */
    bool begun;  /* an event was passed on */
    bool unplaced; /* events with data, and no id, followed LAST */
    bool skipping; /* the run may still repeat events */
};

Po *
po_create(int64_t after)
{
    Po *p = g_new0(Po, 1);
    p->after = after >= 0 ? g_strdup_printf("%lld", (long long)after) : NULL;
    return p;
}

void
po_destroy(Po *p)
{
    if (p) {
        g_free(p->after);
        g_free(p->last);
        g_free(p);
    }
}

void
po_start_run(Po *p)
{
    p->skipping = true;
}

static bool
read_number(const char *id, guint64 *out)
{
    return g_ascii_string_to_unsigned(id, 10, 0, G_MAXUINT64, out, NULL);
}

/* Whether the event with that ID is not behind the one called LAST. */
static bool
is_repeated(const char *id, const char *last)
{
    guint64 a;
    guint64 b;
    if (read_number(id, &a) && read_number(last, &b)) {
        return a <= b;
    }
    return strcmp(id, last) == 0;
}

static bool
has_already(Po *p, const EsEvent *event)
{
    const char *last = p->last ? p->last : p->after;
    if (!p->skipping || !event->id) {
        return false;
    }
    p->skipping = last && is_repeated(event->id, last);
    return p->skipping;
}

static void
move(Po *p, const EsEvent *event)
{
    if (event->id) {
        g_free(p->last);
        p->last = *event->id ? g_strdup(event->id) : NULL;
        p->unplaced = !p->last;
    }
    else if (event->has_data) {
        p->unplaced = true;
    }
}

bool
po_take(Po *p, const EsEvent *event)
{
    if (has_already(p, event)) {
        return false;
    }
    p->begun = true;
    move(p, event);
    return true;
}

bool
po_has_begun(const Po *p)
{
    return p->begun;
}

bool
po_may_resume(const Po *p)
{
    return !p->unplaced;
}

const char *
po_get_id(const Po *p)
{
    return p->last;
}
