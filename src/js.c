#include "js.h"

/* The deepest nesting of brackets outside strings. */
static int
measure_depth(const char *data, size_t len)
{
    int depth = 0;
    int deepest = 0;
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
            deepest = MAX(deepest, depth);
        }
        else if (c == ']' || c == '}') {
            depth--;
        }
    }
    return deepest;
}

json_t *
js_parse(const char *data, size_t len, GError **err)
{
    /* The parser recurses, and an HTTP thread's stack has 100 kB: a body of
       brackets would overrun it and end the process. */
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
