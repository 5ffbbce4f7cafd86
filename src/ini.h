/* ini: settings files.  A schema lists every section and key with its type and
   range.  A file with any fault is rejected, and every fault is listed as
   "FILE: [SECTION] KEY: what is wrong". */
#ifndef INI_H
#define INI_H

#include "base.h"

typedef enum {
    INI_TEXT,
    INI_INT,
    INI_NUMBER, /* whole, or with a fraction */
    INI_BOOL,
    INI_ADDRESS,
    INI_CHOICE
} IniType;

typedef struct {
    const char *section;
    const char *key;
    IniType type;
    bool required;
    const char *fallback; /* text form; NULL: the empty text */
    int64_t min;          /* INI_INT and INI_NUMBER */
    int64_t max;
    const char *choices; /* INI_CHOICE: words separated by '|' */
    const char *doc;
} IniRule;

typedef struct IniFile IniFile;

/* Read PATH and check it against RULES (ended by a NULL section).  Faults are
   appended to FAULTS, one a line; returns NULL if there was any.  An optional
   key with an empty value counts as missing, because templates leave a key
   empty when they have no value for it. */
IniFile *ini_load(const char *path, const IniRule *rules, GString *faults);
void ini_destroy(IniFile *f);

/* The value of a key of the schema, or its fallback.  F owns the text. */
const char *ini_get_text(const IniFile *f, const char *sec, const char *key);
int64_t ini_get_int(const IniFile *f, const char *sec, const char *key);
double ini_get_number(const IniFile *f, const char *sec, const char *key);
bool ini_get_bool(const IniFile *f, const char *sec, const char *key);

/* NULL if VALUE conforms to RULE, else what is wrong; free with g_free. */
char *ini_check_value(const IniRule *rule, const char *value);
/* The rule of SEC and KEY (any rule of SEC when KEY is NULL), or NULL. */
const IniRule *ini_find_rule(const IniRule *rules, const char *sec,
                             const char *key);

/* IP:PORT with a numeric address and a port from 1 to 65535. */
bool ini_check_address(const char *text);

/* The schema as a commented sample file. */
void ini_print_schema(const IniRule *rules, GString *out);

#endif
