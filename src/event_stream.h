/* es: reader of an event stream (text/event-stream, as the HTML standard
   defines it).

   Takes the stream in pieces of any size and hands out its events with their
   bytes unchanged, each as soon as its blank line is there.  Lines end in LF,
   CRLF or CR.

   Workload: pieces of one byte, events of some megabytes in thousands of
   pieces; each byte is looked at once, and only the current event is kept.

   No I/O or clock.  Not thread-safe. */
#ifndef EVENT_STREAM_H
#define EVENT_STREAM_H

#include "base.h"

typedef struct Es Es;

/* Lines up to a blank one. */
typedef struct {
    /* Until the next call of es_read. */
    const char *text;
    size_t len;
    size_t mark_len; /* of the byte order mark in front of it */
    const char *id;  /* NULL: it names none; "": it takes the last one back */
    bool has_data;   /* else it is comments, or fields without effect */
} EsEvent;

typedef enum {
    ES_MORE, /* all bytes were used */
    ES_EVENT,
    ES_TOO_LARGE /* the event has more bytes than allowed; read no further */
} EsResult;

Es *es_create(size_t max_event_bytes);
void es_destroy(Es *s);

/* Reads DATA up to the end of an event; *USED is the number of bytes read. */
EsResult es_read(Es *s, const char *data, size_t len, size_t *used,
                 EsEvent *event);

/* Whether a stream that ends here ends inside an event: behind the begin of a
   line, or behind a field without its blank line. */
bool es_is_inside(const Es *s);
/* Whether any line so far has a field that the standard knows. */
bool es_has_fields(const Es *s);
/* The bytes behind the last event, until the next call of es_read. */
const char *es_get_rest(const Es *s, size_t *len);

#endif
