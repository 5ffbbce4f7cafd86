/* ul: the limits that upstreams name.  An upstream in need says in its answers
   how many requests a second it takes from all gateways together.

   No threads, I/O or clock: callers pass the time in. */
#ifndef UPSTREAM_LIMITS_H
#define UPSTREAM_LIMITS_H

#include "base.h"

/* What one answer says of its upstream's limit. */
typedef enum {
    UL_UNLIMITED, /* it names none */
    UL_LIMITED,
    UL_UNREADABLE /* it names one that can't be read */
} UlKind;

typedef struct {
    UlKind kind;
    double per_s;     /* requests; UL_LIMITED only, above 0 */
    const char *text; /* as named; UL_UNREADABLE only, borrowed */
} UlNamed;

typedef enum {
    UL_SAME,
    UL_BEGUN,
    UL_CHANGED,
    UL_ENDED,
    UL_NOT_READ /* the first unreadable one in a row; the limit stays */
} UlChange;

typedef struct Ul Ul;

Ul *ul_create(void);
void ul_destroy(Ul *l);

/* UPSTREAM named NAMED in an answer to this gateway. */
UlChange ul_on_answer(Ul *l, const char *upstream, const UlNamed *named);
/* UPSTREAM is gone, or another process has its id now. */
void ul_forget(Ul *l, const char *upstream);
/* Requests a second that UPSTREAM takes; 0: it names no limit. */
double ul_get_limit(const Ul *l, const char *upstream);

#endif
