/* js: parses JSON from untrusted sources, with a limit on nesting. */
#ifndef JSON_PARSER_H
#define JSON_PARSER_H

#include "base.h"

#include <jansson.h>

#define JS_MAX_DEPTH 64

/* Parses LEN bytes; NULL with BG_ERR_INVALID when they are not JSON, have an
   object with a duplicate key, or nest deeper than JS_MAX_DEPTH.  ERR may be
   NULL. */
json_t *js_parse(const char *data, size_t len, GError **err);
/* About the most memory that the parsed form of DATA takes. */
size_t js_estimate_bytes(const char *data, size_t len);

#endif
