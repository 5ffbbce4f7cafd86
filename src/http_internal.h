/* http_internal: internals of HTTP, for the http*.c files only: collects the
   head of a message from the parser's callbacks, for the server and the
   pool. */
#ifndef HTTP_INTERNAL_H
#define HTTP_INTERNAL_H

#include "http.h"

#include <http_parser.h>

#define HT_READ_BYTES 65536
/* Of each answer. */
#define HT_FIRST_BYTES "HTTP/"

typedef struct {
    HtHead head;
    GStringChunk *text;
    GString *name;
    GString *value;
    GString *target; /* of a request */
    GString *reason; /* of an answer: the text behind its status */
    size_t header_bytes;
    bool is_answer;
    bool in_value;  /* of the field being read */
    bool head_over; /* fields that follow are trailers, and are dropped */
    bool torn;      /* an answer's: it runs on into another one's */
    bool malformed; /* torn, or a field or the status is none of HTTP: the
                       message can't be passed on, as others may read it in
                       another way */
} HtMessage;

void ht_start_message(HtMessage *m, bool is_answer);
void ht_free_message(HtMessage *m);
/* Pieces of names and values, as the parser's callbacks get them: a name or
   value in any number of pieces, an empty value in one without bytes. */
void ht_add_header_name(HtMessage *m, const char *at, size_t len);
void ht_add_header_value(HtMessage *m, const char *at, size_t len);
/* The same for the reason. */
void ht_add_reason(HtMessage *m, const char *at, size_t len);
/* All headers were parsed. */
void ht_finish_head(HtMessage *m, const http_parser *p);
/* Its transfer coding is chunks or none: no other is undone here, nor passed
   on. */
bool ht_has_known_coding(const HtHead *head);
/* DATA begins as an answer does, perhaps behind blank lines, or is empty. */
bool ht_may_begin_answer(const uint8_t *data, size_t len);
/* The value of field NAME, if LINE holds it and its end; else NULL. */
char *ht_read_field(const char *line, size_t len, const char *name);

#endif
