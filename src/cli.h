/* cli: parts of the operators' client.

   cli_log     the log as a command sees it: a fold up to now, one record
               written and its fate
   cli_diff    line differences between two texts
   cli_config  publish, revise, rollback, show, history, diff
   cli_process status, dump, drain: what processes say over HTTP
   cli_lines   structured logs of several VMs, in order
   cli_explain one request's story from them
   cli_losses  where answers came late or not at all, from them
   cli_timeline what happened when, in rows of two seconds, from them */
#ifndef CLI_H
#define CLI_H

#include "bg_base.h"
#include "bglade.pb-c.h"
#include "fold.h"
#include "lc.h"

#include <jansson.h>

/* Exit codes, as --help states them. */
enum {
    CLI_GOOD = 0,
    CLI_FAILED = 1,   /* could not be done; nothing changed */
    CLI_INVALID = 2,  /* a file or an argument is wrong */
    CLI_CONFLICT = 3, /* another operator was first; nothing changed */
    CLI_UNKNOWN = 4   /* may have taken effect, or may yet; ask again */
};

typedef struct {
    const char *log_address;
    const char *at; /* IP:PORT of a process, for status */
    const char *note;
    const char *author;
    const char *key_file;
    uint64_t base;
    bool has_base;
    uint64_t to; /* a version */
    bool has_to;
    uint32_t wait_s;
    uint32_t settle_s; /* for the fate of a record */
    bool has_wait;
    bool json;
    int word_count; /* with the command itself */
    char **words;
} CliArguments;

/* ---- cli_lines ---------------------------------------------------------- */

typedef struct {
    int64_t t_ms;   /* wall time of the VM that wrote it */
    guint order;    /* as read: lines of one file stay in order */
    json_t *fields; /* an object with an "event" */
} CliLine;

/* CliLine of all PATHS by time; NULL when one can't be read, which standard
   error tells. */
GPtrArray *cli_read_lines(char **paths, int count);
/* "" when there is none. */
const char *cli_get_text(const json_t *fields, const char *name);

/* ---- cli_log ------------------------------------------------------------ */

typedef struct {
    LogApi *api;
    Fold *fold;
    uint32_t settle_ms;
    const char *batch_id; /* ours, once written */
    bool seen;            /* ... and read back */
    FoldResult result;
    uint64_t offset;
    GString *why;
    uint32_t trims; /* looks that retention overtook */
} CliSession;

/* Read the log up to its end, from its newest checkpoint if need be; the
   fault goes to standard error.  Close it in either case. */
bool cli_open(CliSession *s, const CliArguments *a);
void cli_close(CliSession *s);
/* Write RECORD and learn from the log itself what became of it: an exit
   code; s->offset and s->why tell more. */
int cli_write(CliSession *s, Bg__Record *record);

/* ---- cli_diff ----------------------------------------------------------- */

/* Lines taken away ("-") and added ("+"), with "@@ N" before each run of
   them; empty when the texts are equal.  Free with g_free. */
char *cli_diff(const char *old_text, const char *new_text);

/* ---- commands: exit codes ----------------------------------------------- */
int cli_check(const CliArguments *a);
int cli_publish(const CliArguments *a);
int cli_revise(const CliArguments *a);
int cli_rollback(const CliArguments *a);
int cli_show(const CliArguments *a);
int cli_history(const CliArguments *a);
int cli_compare(const CliArguments *a);
int cli_status(const CliArguments *a);
int cli_dump(const CliArguments *a);
int cli_drain(const CliArguments *a);
int cli_explain(const CliArguments *a);
int cli_losses(const CliArguments *a);
int cli_timeline(const CliArguments *a);

/* Print DOC on one line and free it. */
void cli_print_json(json_t *doc);

#endif
