#include "json_parser.h"

/* Max nesting of brackets outside of strings. */
static int
measure_depth(const char *data, size_t len)
{
    int depth = 0;
    int max_depth = 0;
    bool in_string = false;
    for (size_t i = 0; i < len; i++) {
        char c = data[i];
        if (in_string) {
            if (c == '\\') {
                i++;
            }
            else if (c == '"') {
                in_string = false;
            }
        }
        else if (c == '"') {
            in_string = true;
        }
        else if (c == '[' || c == '{') {
            depth++;
            max_depth = MAX(max_depth, depth);
        }
        else if (c == ']' || c == '}') {
            depth--;
        }
    }
    return max_depth;
}

#define ARRAY_BYTES 144 /* with its first places */
#define OBJECT_BYTES 320
#define VALUE_BYTES 40 /* with its place in an array */
#define MEMBER_BYTES 96

size_t
js_estimate_bytes(const char *data, size_t len)
{
    size_t bytes = len;
    for (size_t i = 0; i < len; i++) {
        switch (data[i]) {
        case '[':
            bytes += ARRAY_BYTES;
            break;
        case '{':
            bytes += OBJECT_BYTES;
            break;
        case ',':
            bytes += VALUE_BYTES;
            break;
        case ':':
            bytes += MEMBER_BYTES;
            break;
        default:
            break;
        }
    }
    return bytes;
}

json_t *
js_parse(const char *data, size_t len, GError **err)
{
    /* The parser is recursive and an HTTP thread has a stack of 100 kB: a body
       of brackets would overflow it and crash the process. */
    if (measure_depth(data, len) > JS_MAX_DEPTH) {
        g_set_error(err, BG_ERROR, BG_ERR_INVALID, "JSON nests deeper than %d",
                    JS_MAX_DEPTH);
        return NULL;
    }
    json_error_t why;
    json_t *doc = json_loadb(data, len, JSON_REJECT_DUPLICATES, &why);
    if (!doc) {
        g_set_error(err, BG_ERROR, BG_ERR_INVALID,
                    "not JSON at line %d, column %d", why.line, why.column);
    }
    return doc;
}
