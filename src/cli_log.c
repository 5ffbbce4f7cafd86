/* A session of a command with the log. */
#include "cli.h"

#include "ckpt.h"
#include "ini.h"
#include "log_records.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define READ_WAIT_MS 200 /* how long a read waits for new entries */
#define MAX_TRIMMED_READS 10
#define RETRY_MS 100

static void
observe(void *ctx, uint64_t offset, const char *batch_id, const Bg__Record *r,
        FoldResult result, const char *why)
{
    CliSession *s = ctx;
    (void)r;
    if (s->batch_id && strcmp(batch_id, s->batch_id) == 0) {
        s->seen = true;
        s->result = result;
        s->offset = offset;
        g_string_assign(s->why, why);
    }
}

static bool
apply_page(CliSession *s, const LogPage *page, GError **err)
{
    for (guint i = 0; i < page->entries->len; i++) {
        const LogEntry *e = &g_array_index(page->entries, LogEntry, i);
        g_autoptr(GError) bad = NULL;
        if (e->offset > fold_get_offset(s->fold) + 1) {
            break;
        }
        if (fold_apply(s->fold, e->offset, e->data, e->len, &bad)) {
            continue;
        }
        if (bad->code == BG_ERR_NEWER) {
            g_set_error(err, BG_ERROR, BG_ERR_NEWER,
                        "entry %llu needs a newer bglade: %s",
                        (unsigned long long)e->offset, bad->message);
            return false;
        }
        fprintf(stderr, "bglade: entry %llu is refused: %s\n",
                (unsigned long long)e->offset, bad->message);
    }
    return true;
}

/* Restores the fold from the newest checkpoint in the log, which begins at
   FIRST. */
static bool
restore_checkpoint(CliSession *s, uint64_t first, GError **err)
{
    CkptCollector *collector = ckpt_create_collector();
    bool good = true;
    uint64_t next = first + 1;
    for (uint64_t from = first; good && from < next;) {
        LogPage page = {0};
        good = s->api->read(s->api, from, READ_WAIT_MS, &page, err);
        for (guint i = 0; good && i < page.entries->len; i++) {
            const LogEntry *e = &g_array_index(page.entries, LogEntry, i);
            ckpt_collect(collector, e->data, e->len);
            from = e->offset + 1;
        }
        next = good && page.entries->len ? page.next : from;
        lc_clear_page(&page);
    }
    uint64_t covered;
    const GByteArray *state = ckpt_get_newest(collector, &covered);
    if (good && (!state || covered + 1 < first)) {
        g_set_error(err, BG_ERROR, BG_ERR_TRIMMED,
                    "it begins at offset %llu and holds no usable checkpoint",
                    (unsigned long long)first);
        good = false;
    }
    good = good && fold_restore(s->fold, state->data, state->len, err);
    ckpt_destroy_collector(collector);
    return good;
}

static bool
read_page(CliSession *s, bool *more, GError **err)
{
    LogPage page = {0};
    uint64_t from = fold_get_offset(s->fold) + 1;
    g_autoptr(GError) read_err = NULL;
    g_autoptr(GError) ckpt_err = NULL;
    bool good = s->api->read(s->api, from, READ_WAIT_MS, &page, &read_err);
    *more = true;
    if (good) {
        good = apply_page(s, &page, err);
        *more = fold_get_offset(s->fold) + 1 < page.next;
    }
    else if (read_err->code == BG_ERR_TRIMMED) {
        good = restore_checkpoint(s, page.first, &ckpt_err);
        /* Retention may trim the log further during the search; the next read
           starts over at the new beginning. */
        if (!good && ckpt_err->code == BG_ERR_TRIMMED &&
            ++s->trimmed_reads < MAX_TRIMMED_READS) {
            bg_sleep_ms(RETRY_MS);
            good = true;
        }
        else if (!good) {
            g_propagate_error(err, g_steal_pointer(&ckpt_err));
        }
    }
    else {
        g_propagate_error(err, g_steal_pointer(&read_err));
    }
    lc_clear_page(&page);
    return good;
}

static bool
read_all(CliSession *s, GError **err)
{
    bool more = true;
    while (more) {
        if (!read_page(s, &more, err)) {
            return false;
        }
    }
    return true;
}

bool
cli_open(CliSession *s, const CliArguments *a)
{
    memset(s, 0, sizeof(*s));
    if (!a->log_address || !ini_check_address(a->log_address)) {
        fprintf(stderr, "bglade: --log IP:PORT is missing or invalid\n");
        return false;
    }
    s->settle_ms = a->settle_s * 1000;
    s->api = lc_open_http(a->log_address);
    s->fold = fold_create();
    s->why = g_string_new(NULL);
    fold_set_observer(s->fold, observe, s);
    g_autoptr(GError) err = NULL;
    if (!read_all(s, &err)) {
        fprintf(stderr, "bglade: the log cannot be read: %s\n", err->message);
        return false;
    }
    return true;
}

void
cli_close(CliSession *s)
{
    if (s->api) {
        s->api->destroy(s->api);
        fold_destroy(s->fold);
        g_string_free(s->why, TRUE);
    }
}

/* Appends the same batch again until one append is acknowledged; the fold
   applies only the first copy. */
int
cli_write(CliSession *s, Bg__Record *record)
{
    char id[BG_ID_LEN + 1];
    bg_make_id(id);
    s->batch_id = id;
    size_t len;
    g_autofree uint8_t *data = rec_encode_batch(id, &record, 1, &len);
    bool may_be_written = false;
    bool acked = false;
    uint64_t until_ms = bg_now_ms() + s->settle_ms;
    while (!s->seen && bg_now_ms() < until_ms) {
        g_autoptr(GError) err = NULL;
        uint64_t offset;
        acked = acked || s->api->append(s->api, data, len, &offset, &err);
        may_be_written =
            may_be_written || acked || err->code == BG_ERR_UNKNOWN;
        g_autoptr(GError) read_err = NULL;
        if (may_be_written) {
            read_all(s, &read_err);
        }
        if (!s->seen) {
            bg_sleep_ms(RETRY_MS);
        }
    }
    s->batch_id = NULL;
    if (s->seen) {
        return s->result == FOLD_APPLIED    ? CLI_GOOD
               : s->result == FOLD_CONFLICT ? CLI_CONFLICT
                                            : CLI_INVALID;
    }
    return may_be_written ? CLI_UNKNOWN : CLI_FAILED;
}
