/* cli: the commands of bglade, the operators' client.  main_client parses the
   arguments and calls one of them; its return value is the exit code.

   cli_log      a session with the log: reads its state, writes one record and
                finds out whether it was accepted
   cli_config   check, publish, revise, rollback, show, history, diff
   cli_diff     line differences between two texts
   cli_process  status, dump, drain: HTTP requests to processes
   cli_lines    reads the structured logs of several VMs, sorted by time
   cli_explain  traces one request through these logs
   cli_losses   counts late and failed requests in them, by reason
   cli_timeline counts events in them, in rows of two seconds */
#ifndef CLI_H
#define CLI_H

#include "base.h"
#include "bglade.pb-c.h"
#include "fold.h"
#include "log_client.h"

#include <jansson.h>

/* Exit codes, as --help states them. */
enum {
    CLI_GOOD = 0,
    CLI_FAILED = 1,   /* could not be done; nothing changed */
    CLI_INVALID = 2,  /* a file or an argument is wrong */
    CLI_CONFLICT = 3, /* another operator was first; nothing changed */
    CLI_UNKNOWN = 4   /* may have taken effect or may yet; check first */
};

typedef struct {
    const char *log_address;
    const char *at; /* IP:PORT of a process, for status */
    const char *note;
    const char *author;
    const char *key_file;
    uint64_t base;
    bool has_base;
    uint64_t to; /* version */
    bool has_to;
    uint32_t wait_s;
    uint32_t settle_s; /* timeout for a record to appear in the log */
    bool has_wait;
    bool json;
    int word_count; /* including the command itself */
    char **words;   /* positional arguments */
} CliArguments;

/* ---- cli_lines ---------------------------------------------------------- */

typedef struct {
    int64_t t_ms;     /* wall time of the VM that wrote it */
    guint read_index; /* position in the input; breaks ties of t_ms */
    json_t *fields;   /* an object with an "event" */
} CliLine;

/* Reads all PATHS and returns their lines (CliLine) sorted by time.  NULL,
   with a message on standard error, when a file can't be read.  Lines without
   an event are skipped. */
GPtrArray *cli_read_lines(char **paths, int count);
/* Returns "" when the field is missing or no string. */
const char *cli_get_text(const json_t *fields, const char *name);

/* ---- cli_log ------------------------------------------------------------ */

typedef struct {
    LogApi *api;
    Fold *fold;
    uint32_t settle_ms;
    const char *batch_id; /* of the batch being written, else NULL */
    bool seen;            /* that batch was read back from the log */
    FoldResult result;
    uint64_t offset;
    GString *why;
    uint32_t trimmed_reads; /* reads whose start was trimmed meanwhile */
} CliSession;

/* Reads the log up to its end.  If its start was trimmed, the state comes from
   the newest checkpoint in it.  Errors are printed to standard error.  The
   caller closes the session also after a failure. */
bool cli_open(CliSession *s, const CliArguments *a);
void cli_close(CliSession *s);
/* Appends RECORD and reads the log until the record appears or settle_ms have
   passed.  Returns an exit code; s->offset is the record's offset, s->why the
   reason why it was not accepted. */
int cli_write(CliSession *s, Bg__Record *record);

/* ---- cli_diff ----------------------------------------------------------- */

/* Removed ("-") and added ("+") lines, with "@@ LINE" before each run of them;
   empty when the texts are equal.  Free with g_free. */
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

/* Prints DOC on one line and frees it. */
void cli_print_json(json_t *doc);

#endif
