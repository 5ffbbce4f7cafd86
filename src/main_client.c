/* bglade: the operators' client.  Parses the command line and runs one of
   the commands of cli.h. */
#include "blocking_http.h"
#include "cli.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
    const char *name;
    int (*run)(const CliArguments *a);
    const char *synopsis;
    const char *text;
} Command;

static int run_help(const CliArguments *a);

static const Command commands[] = {
    {"check", cli_check, "check TEMPLATE VALUES...",
     "Checks a template file and the values files of its workspaces and\n"
     "lists every error. Changes nothing and needs no log.\n"
     "Exit: 0 valid, 2 errors."},
    {"publish", cli_publish, "--log IP:PORT publish TEMPLATE VALUES...",
     "Publishes a new template. It is accepted in full or not at all.\n"
     "Exit: 0 accepted; 1 not accepted; 2 errors in the files; 3 the name\n"
     "exists (its versions are shown); 4 not known: the record was sent but\n"
     "was not seen in the log, and may take effect yet."},
    {"revise", cli_revise,
     "--log IP:PORT --base VERSION revise TEMPLATE VALUES...",
     "Publishes a new version based on VERSION. If another operator has\n"
     "published one since, nothing is changed, and each version after\n"
     "VERSION is shown as a diff.\n"
     "Exit: as publish; 3 VERSION is not the current one."},
    {"rollback", cli_rollback, "--log IP:PORT --to VERSION rollback NAME",
     "Publishes the text of an older version as a new version based on the\n"
     "current one (or on --base). 'history' lists the versions kept.\n"
     "Exit: as revise."},
    {"show", cli_show, "--log IP:PORT [--to VERSION] show [NAME]",
     "Lists the accepted templates; with NAME, prints the text of its\n"
     "current version or of --to.\n"
     "Exit: 0; 1 the log cannot be read; 2 no such name."},
    {"history", cli_history, "--log IP:PORT history NAME",
     "Lists the kept versions, oldest first, with time, author and note.\n"
     "Exit: as show."},
    {"diff", cli_compare, "--log IP:PORT diff NAME [FROM [TO]]",
     "Prints the lines that differ between two versions; without FROM,\n"
     "between the last two.\nExit: as show."},
    {"status", cli_status, "[--log IP:PORT] --at IP:PORT [--wait S] status",
     "Lists the version in force at each process of each data centre, and\n"
     "the age of that information. Any process can answer. With --wait it\n"
     "polls for up to S seconds until the newest version (of the log, or\n"
     "--to) is in force everywhere.\n"
     "Exit: 0; 1 no answer, or not in force everywhere after --wait."},
    {"dump", cli_dump, "dump IP:PORT",
     "Prints the state of one process as JSON, with a digest of the state\n"
     "that it derived from the log. Processes at the same offset have the\n"
     "same digest.\n"
     "Exit: 0, 1 no answer."},
    {"drain", cli_drain, "--key-file FILE drain IP:PORT",
     "Stops one process gracefully, as SIGTERM does. FILE holds the\n"
     "operators' key whose digest is [node] operator_key_sha256.\n"
     "Exit: 0 it stops, 1 no answer or refused."},
    {"explain", cli_explain, "[--json] explain ID FILE...",
     "Traces one request through the structured logs of several VMs, with\n"
     "the events of its model, upstreams and VMs during that time.\n"
     "Exit: 0, 1 no log line of it, 2 a file can't be read."},
    {"losses", cli_losses, "losses FILE...",
     "Counts late and failed requests in the structured logs of all\n"
     "gateways: the reasons by route and by workspace, upstreams whose\n"
     "streams paused too long, waits for models to load, and periods without\n"
     "any order while requests waited for a model.\n"
     "Exit: 0, 2 a file can't be read."},
    {"timeline", cli_timeline, "timeline FILE...",
     "Counts the events in the structured logs of all gateways, in rows of\n"
     "two seconds: requests in time, late, refused, failed and left by their\n"
     "callers; requests that wait, are sent, broken off and not run; orders\n"
     "taken, in conflict, unsent and unanswered; status polls of upstreams\n"
     "and upstreams found unreachable; links to the leader made and lost;\n"
     "late event loops, losses of the store, and VMs that became leader.\n"
     "Exit: 0, 2 a file can't be read."},
    {"help", run_help, "help COMMAND", "Describes a command."}};

static const char doc[] =
    "Operate bitternglade.\n\n"
    "check TEMPLATE VALUES...    check files, change nothing\n"
    "publish TEMPLATE VALUES...  publish a new template\n"
    "revise TEMPLATE VALUES...   publish a new version, needs --base\n"
    "rollback NAME               publish an old version again, needs --to\n"
    "show [NAME]                 list templates or print one\n"
    "history NAME                list versions with author and time\n"
    "diff NAME [FROM [TO]]       compare two versions\n"
    "status                      list versions in force, needs --at\n"
    "dump IP:PORT                print the state of a process\n"
    "drain IP:PORT               stop a process gracefully\n"
    "explain ID FILE...          trace one request through logs\n"
    "losses FILE...              count late and failed requests in logs\n"
    "timeline FILE...            count events in logs, every two seconds\n"
    "help COMMAND                describe a command\n"
    "\vExit codes: 0 done; 1 failed, nothing changed; 2 a file or argument "
    "is wrong; 3 conflict, nothing changed; 4 not known whether it took "
    "effect.";

enum { KEY_AT = 1000, KEY_KEY_FILE, KEY_SETTLE };

static const struct argp_option options[] = {
    {"log", 'l', "IP:PORT", 0, "Address of the platform's log service", 0},
    {"at", KEY_AT, "IP:PORT", 0, "Process that answers status", 0},
    {"base", 'b', "VERSION", 0, "Version that a new one is based on", 0},
    {"to", 't', "VERSION", 0, "Version to roll back to, show or wait for", 0},
    {"wait", 'w', "SECONDS", 0, "Wait until it is in force everywhere", 0},
    {"settle", KEY_SETTLE, "SECONDS", 0,
     "Timeout for a record to appear in the log (15)", 0},
    {"note", 'n', "TEXT", 0, "Reason for the change; kept with the version",
     0},
    {"author", 'a', "NAME", 0,
     "Author of the version; default: the login name", 0},
    {"key-file", KEY_KEY_FILE, "FILE", 0, "File with the operators' key", 0},
    {"json", 'j', NULL, 0, "Print JSON", 0},
    {0}};

static const Command *
find_command(const char *name)
{
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, name) == 0) {
            return &commands[i];
        }
    }
    fprintf(stderr, "bglade: no command '%s'\n", name);
    return NULL;
}

static int
run_help(const CliArguments *a)
{
    const Command *c = find_command(a->word_count > 1 ? a->words[1] : "help");
    if (!c) {
        return CLI_INVALID;
    }
    printf("bglade %s\n\n%s\n", c->synopsis, c->text);
    return CLI_GOOD;
}

static uint64_t
parse_number(const char *text, struct argp_state *state)
{
    char *end;
    uint64_t n = g_ascii_strtoull(text, &end, 10);
    if (!*text || *end) {
        argp_error(state, "'%s' is not a number", text);
    }
    return n;
}

static error_t
parse_option(int key, char *arg, struct argp_state *state)
{
    CliArguments *a = state->input;
    switch (key) {
    case 'l':
        a->log_address = arg;
        return 0;
    case KEY_AT:
        a->at = arg;
        return 0;
    case 'b':
        a->base = parse_number(arg, state);
        a->has_base = true;
        return 0;
    case 't':
        a->to = parse_number(arg, state);
        a->has_to = true;
        return 0;
    case 'w':
        a->wait_s = (uint32_t)parse_number(arg, state);
        a->has_wait = true;
        return 0;
    case 'n':
        a->note = arg;
        return 0;
    case 'a':
        a->author = arg;
        return 0;
    case KEY_SETTLE:
        a->settle_s = (uint32_t)parse_number(arg, state);
        return 0;
    case KEY_KEY_FILE:
        a->key_file = arg;
        return 0;
    case 'j':
        a->json = true;
        return 0;
    case ARGP_KEY_ARGS:
        a->words = state->argv + state->next;
        a->word_count = state->argc - state->next;
        return 0;
    case ARGP_KEY_NO_ARGS:
        argp_error(state, "a command is missing");
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

const char *argp_program_version = "bitternglade " BG_VERSION;

int
main(int argc, char **argv)
{
    CliArguments a = {.settle_s = 15, .note = "", .author = g_get_user_name()};
    struct argp argp = {
        options, parse_option, "COMMAND [ARGUMENT...]", doc, NULL, NULL, NULL};
    /* argp exits with 64 by default; the help promises 2. */
    argp_err_exit_status = CLI_INVALID;
    argp_parse(&argp, argc, argv, 0, NULL, &a);
    signal(SIGPIPE, SIG_IGN);
    hc_init_process();
    const Command *c = find_command(a.words[0]);
    int code = c ? c->run(&a) : CLI_INVALID;
    hc_end_process();
    return code;
}
