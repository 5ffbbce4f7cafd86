#include "ini.h"

#include <arpa/inet.h>
#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

struct IniFile {
    GHashTable *values; /* "section\nkey" -> text */
};

static char *
join_key(const char *sec, const char *key)
{
    return g_strconcat(sec, "\n", key, NULL);
}

const IniRule *
ini_find_rule(const IniRule *rules, const char *sec, const char *key)
{
    for (const IniRule *r = rules; r->section; r++) {
        if (strcmp(r->section, sec) == 0 &&
            (!key || strcmp(r->key, key) == 0)) {
            return r;
        }
    }
    return NULL;
}

bool
ini_check_address(const char *text)
{
    const char *colon = strrchr(text, ':');
    if (!colon) {
        return false;
    }
    g_autofree char *host = g_strndup(text, (gsize)(colon - text));
    struct in_addr addr;
    if (inet_pton(AF_INET, host, &addr) != 1) {
        return false;
    }
    char *end;
    long port = strtol(colon + 1, &end, 10);
    return *end == '\0' && end != colon + 1 && port >= 1 && port <= 65535;
}

static bool
has_choice(const char *choices, const char *value)
{
    g_auto(GStrv) words = g_strsplit(choices, "|", -1);
    return g_strv_contains((const char *const *)words, value);
}

char *
ini_check_value(const IniRule *rule, const char *value)
{
    char *end;
    switch (rule->type) {
    case INI_TEXT:
        return *value ? NULL : g_strdup("is empty");
    case INI_INT: {
        errno = 0;
        long long n = strtoll(value, &end, 10);
        if (errno || end == value || *end) {
            return g_strdup_printf("'%s' is not a whole number", value);
        }
        if (n < rule->min || n > rule->max) {
            return g_strdup_printf("%lld is not in %lld to %lld", n,
                                   (long long)rule->min, (long long)rule->max);
        }
        return NULL;
    }
    case INI_NUMBER: {
        errno = 0;
        double n = g_ascii_strtod(value, &end);
        if (errno || end == value || *end || !isfinite(n)) {
            return g_strdup_printf("'%s' is not a number", value);
        }
        if (n < (double)rule->min || n > (double)rule->max) {
            return g_strdup_printf("%g is not in %lld to %lld", n,
                                   (long long)rule->min, (long long)rule->max);
        }
        return NULL;
    }
    case INI_BOOL:
        return has_choice("true|false", value)
                   ? NULL
                   : g_strdup_printf("'%s' is not true or false", value);
    case INI_ADDRESS:
        return ini_check_address(value)
                   ? NULL
                   : g_strdup_printf("'%s' is not IP:PORT", value);
    case INI_CHOICE:
        return has_choice(rule->choices, value)
                   ? NULL
                   : g_strdup_printf("'%s' is not one of %s", value,
                                     rule->choices);
    }
    return NULL;
}

static void
check_section(IniFile *f, GKeyFile *kf, const char *path, const char *sec,
              const IniRule *rules, GString *faults)
{
    if (!ini_find_rule(rules, sec, NULL)) {
        g_string_append_printf(faults, "%s: [%s]: unknown section\n", path,
                               sec);
        return;
    }
    g_auto(GStrv) keys = g_key_file_get_keys(kf, sec, NULL, NULL);
    for (char **k = keys; k && *k; k++) {
        const IniRule *rule = ini_find_rule(rules, sec, *k);
        if (!rule) {
            g_string_append_printf(faults, "%s: [%s] %s: unknown key\n", path,
                                   sec, *k);
            continue;
        }
        char *value = g_key_file_get_value(kf, sec, *k, NULL);
        g_strstrip(value);
        if (!*value && !rule->required) {
            g_free(value);
            continue;
        }
        g_autofree char *wrong = ini_check_value(rule, value);
        if (wrong) {
            g_string_append_printf(faults, "%s: [%s] %s: %s\n", path, sec, *k,
                                   wrong);
        }
        g_hash_table_replace(f->values, join_key(sec, *k), value);
    }
}

static void
fill_fallbacks(IniFile *f, const char *path, const IniRule *rules,
               GString *faults)
{
    for (const IniRule *r = rules; r->section; r++) {
        char *full = join_key(r->section, r->key);
        if (g_hash_table_contains(f->values, full)) {
            g_free(full);
            continue;
        }
        if (r->required) {
            g_string_append_printf(faults, "%s: [%s] %s: is missing\n", path,
                                   r->section, r->key);
        }
        g_hash_table_replace(f->values, full,
                             g_strdup(r->fallback ? r->fallback : ""));
    }
}

IniFile *
ini_load(const char *path, const IniRule *rules, GString *faults)
{
    g_autoptr(GKeyFile) kf = g_key_file_new();
    g_autoptr(GError) err = NULL;
    if (!g_key_file_load_from_file(kf, path, G_KEY_FILE_NONE, &err)) {
        g_string_append_printf(faults, "%s: %s\n", path, err->message);
        return NULL;
    }
    IniFile *f = g_new0(IniFile, 1);
    f->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    gsize before = faults->len;
    g_auto(GStrv) groups = g_key_file_get_groups(kf, NULL);
    for (char **s = groups; *s; s++) {
        check_section(f, kf, path, *s, rules, faults);
    }
    fill_fallbacks(f, path, rules, faults);
    if (faults->len > before) {
        ini_destroy(f);
        return NULL;
    }
    return f;
}

void
ini_destroy(IniFile *f)
{
    if (f) {
        g_hash_table_destroy(f->values);
        g_free(f);
    }
}

const char *
ini_get_text(const IniFile *f, const char *sec, const char *key)
{
    g_autofree char *full = join_key(sec, key);
    const char *value = g_hash_table_lookup(f->values, full);
    /* ini_load filled in all keys of the schema. */
    g_assert(value != NULL);
    return value;
}

int64_t
ini_get_int(const IniFile *f, const char *sec, const char *key)
{
    return strtoll(ini_get_text(f, sec, key), NULL, 10);
}

double
ini_get_number(const IniFile *f, const char *sec, const char *key)
{
    return g_ascii_strtod(ini_get_text(f, sec, key), NULL);
}

bool
ini_get_bool(const IniFile *f, const char *sec, const char *key)
{
    return strcmp(ini_get_text(f, sec, key), "true") == 0;
}

void
ini_print_schema(const IniRule *rules, GString *out)
{
    const char *last = "";
    for (const IniRule *r = rules; r->section; r++) {
        if (strcmp(last, r->section) != 0) {
            g_string_append_printf(out, "%s[%s]\n", *last ? "\n" : "",
                                   r->section);
            last = r->section;
        }
        g_string_append_printf(out, "# %s%s\n%s = %s\n", r->doc,
                               r->required ? " (required)" : "", r->key,
                               r->fallback ? r->fallback : "");
    }
}
