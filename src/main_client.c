/* bglade: the operators' client. */
#include "cli.h"
#include "hc.h"

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
     "Checks a template file and its workspaces' values files in full and\n"
     "lists every fault. Changes nothing and needs no log.\n"
     "Exit: 0 good, 2 faults."},
    {"publish", cli_publish, "--log IP:PORT publish TEMPLATE VALUES...",
     "Accepts a new template, whole or not at all.\n"
     "Exit: 0 accepted; 1 surely not; 2 faults; 3 the name exists (what was\n"
     "done to it is shown); 4 not known: the record was sent, was not seen\n"
     "in the log, and may take effect yet."},
    {"revise", cli_revise,
     "--log IP:PORT --base VERSION revise TEMPLATE VALUES...",
     "Accepts a new version that builds on VERSION. If another operator was\n"
     "first, nothing is changed and what they did since VERSION is shown,\n"
     "version by version, as differences.\n"
     "Exit: as publish; 3 when VERSION is not current."},
    {"rollback", cli_rollback, "--log IP:PORT --to VERSION rollback NAME",
     "Accepts the text of an older version as a new version on top of the\n"
     "current one (or of --base). 'history' lists the versions kept.\n"
     "Exit: as revise."},
    {"show", cli_show, "--log IP:PORT [--to VERSION] show [NAME]",
     "Lists what is accepted; with NAME, the text of its current version\n"
     "or of --to.\nExit: 0, 1 the log cannot be read, 2 no such name."},
    {"history", cli_history, "--log IP:PORT history NAME",
     "Lists the kept versions, oldest first, with time, author and note.\n"
     "Exit: as show."},
    {"diff", cli_compare, "--log IP:PORT diff NAME [FROM [TO]]",
     "Lines that differ between two versions; without FROM, the last\n"
     "change.\nExit: as show."},
    {"status", cli_status, "[--log IP:PORT] --at IP:PORT [--wait S] status",
     "Which version is in force at which VM of which data centre, and how\n"
     "long ago that was heard. Any process can be asked. With --wait it\n"
     "goes on for S seconds until the newest version (of the log, or --to)\n"
     "is in force everywhere.\n"
     "Exit: 0; 1 no answer, or not in force everywhere after --wait."},
    {"dump", cli_dump, "dump IP:PORT",
     "The state of one process as JSON, with a digest of the log's state\n"
     "that is comparable between processes at one offset.\n"
     "Exit: 0, 1 no answer."},
    {"drain", cli_drain, "--key-file FILE drain IP:PORT",
     "Asks one process for a graceful stop, as SIGTERM does. FILE holds the\n"
     "operators' key whose digest is [node] operator_key_sha256.\n"
     "Exit: 0 it stops, 1 no answer or refused."},
    {"explain", cli_explain, "[--json] explain ID FILE...",
     "The story of one request from the structured logs of several VMs, in\n"
     "order, with what befell its model, upstreams and VMs meanwhile.\n"
     "Exit: 0, 1 no line about it, 2 a file can't be read."},
    {"losses", cli_losses, "losses FILE...",
     "Where answers came late or not at all, from the structured logs of all\n"
     "gateways: by route the reasons, the upstreams whose streams paused too\n"
     "long, the waits for models, and spans in which nothing was loaded.\n"
     "Exit: 0, 2 a file can't be read."},
    {"timeline", cli_timeline, "timeline FILE...",
     "A day in rows of two seconds, from the structured logs of all "
     "gateways:\n"
     "requests in time, late, refused, failed and left by their callers; "
     "waits,\n"
     "sends, calls broken off and not run; orders taken, in conflict, unsent\n"
     "and unanswered; upstreams asked and found away; links made and lost;\n"
     "loops that were late, losses of the store, and who began to place.\n"
     "Exit: 0, 2 a file can't be read."},
    {"help", run_help, "help COMMAND", "What a command does."}};

static const char doc[] =
    "Operate bitternglade.\n\n"
    "check TEMPLATE VALUES...    check files, change nothing\n"
    "publish TEMPLATE VALUES...  accept a new template\n"
    "revise TEMPLATE VALUES...   accept a new version, on --base VERSION\n"
    "rollback NAME               accept an old version's text anew, --to\n"
    "show [NAME]                 what is accepted\n"
    "history NAME                versions, who and when\n"
    "diff NAME [FROM [TO]]       what changed between versions\n"
    "status                      what is in force where, --at IP:PORT\n"
    "dump IP:PORT                a process's state\n"
    "drain IP:PORT               a process's graceful stop\n"
    "explain ID FILE...          one request's story from logs\n"
    "losses FILE...              where answers came late, from logs\n"
    "timeline FILE...            what happened when, from logs\n"
    "help COMMAND                more on one of these\n"
    "\vExit codes: 0 done; 1 failed, nothing changed; 2 a file or argument "
    "is wrong; 3 conflict, nothing changed; 4 not known whether it took "
    "effect.";

enum { KEY_AT = 1000, KEY_KEY_FILE, KEY_SETTLE };

static const struct argp_option options[] = {
    {"log", 'l', "IP:PORT", 0, "The platform's log service", 0},
    {"at", KEY_AT, "IP:PORT", 0, "A process to ask for the status", 0},
    {"base", 'b', "VERSION", 0, "Version that a revision builds on", 0},
    {"to", 't', "VERSION", 0, "Version to roll back to, show or wait for", 0},
    {"wait", 'w', "SECONDS", 0, "Wait until it is in force everywhere", 0},
    {"settle", KEY_SETTLE, "SECONDS", 0,
     "How long to try to learn a record's fate (15)", 0},
    {"note", 'n', "TEXT", 0, "Why; kept with the version", 0},
    {"author", 'a', "NAME", 0, "Who; default: the login name", 0},
    {"key-file", KEY_KEY_FILE, "FILE", 0, "Holds the operators' key", 0},
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
    /* A wrong option is a wrong argument: exit code 2 for both. */
    argp_err_exit_status = CLI_INVALID;
    argp_parse(&argp, argc, argv, 0, NULL, &a);
    signal(SIGPIPE, SIG_IGN);
    hc_init_process();
    const Command *c = find_command(a.words[0]);
    int code = c ? c->run(&a) : CLI_INVALID;
    hc_end_process();
    return code;
}
