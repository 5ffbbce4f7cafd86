/* bglade-load: tool for load tests and experiments.  A load generator, and
   fast simulators of engines and of the log. */
#include "blocking_http.h"
#include "engine_simulator.h"
#include "ini.h"
#include "load_generator.h"
#include "log_simulator.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Exit codes, as --help states them. */
enum { EXIT_GOOD = 0, EXIT_UNCLEAN = 1, EXIT_INVALID = 2 };

const char *argp_program_version = "bitternglade " BG_VERSION;

/* Parses the number of an option; exits with a message if it is invalid. */
static uint64_t
read_number(const struct argp_state *state, const char *text,
            uint64_t max_value)
{
    char *end;
    uint64_t value = g_ascii_strtoull(text, &end, 10);
    if (end == text || *end || *text == '-' || value > max_value) {
        argp_error(state, "'%s' is not a number from 0 to %llu", text,
                   (unsigned long long)max_value);
    }
    return value;
}

static double
read_share(const struct argp_state *state, const char *text)
{
    char *end;
    double value = g_ascii_strtod(text, &end);
    if (end == text || *end || !(value >= 0 && value <= 1e9)) {
        argp_error(state, "'%s' is not a number", text);
    }
    return value;
}

static void
block_stop_signals(sigset_t *set)
{
    sigemptyset(set);
    sigaddset(set, SIGTERM);
    sigaddset(set, SIGINT);
    pthread_sigmask(SIG_BLOCK, set, NULL);
}

/* ---- run ---------------------------------------------------------------- */

typedef struct {
    LdParams params;
    bool json;
} RunArguments;

enum {
    OPT_STREAM = 256,
    OPT_CHAT,
    OPT_BURST,
    OPT_BURST_EVERY,
    OPT_TIMEOUT,
    OPT_RAMP,
    OPT_PROMPT
};

static const struct argp_option run_options[] = {
    {"to", 't', "IP:PORT,...", 0, "Routers or engines; used round-robin", 0},
    {"key", 'k', "KEY", 0, "API key of a workspace", 0},
    {"models", 'm', "NAME,...", 0, "Models; m% with --count is m0, m1, ...",
     0},
    {"count", 'N', "N", 0, "Number of models that % stands for", 0},
    {"zipf", 'z', "S", 0, "The k-th model's share is 1/k^S (default 0)", 0},
    {"stream", OPT_STREAM, NULL, 0, "Request streamed answers", 0},
    {"chat", OPT_CHAT, NULL, 0, "Request chat completions", 0},
    {"connections", 'c', "N", 0, "Connections (default 8)", 0},
    {"rate", 'r', "R", 0,
     "Open loop: arrivals per second (default 0: closed loop)", 0},
    {"duration", 'd', "MS", 0, "Duration of the run (default 2000)", 0},
    {"requests", 'n', "N", 0, "Max. number of requests (default: no limit)",
     0},
    {"tokens", 'T', "N", 0, "max_tokens (default 8)", 0},
    {"prompt-bytes", OPT_PROMPT, "N", 0, "Length of a prompt (default 64)", 0},
    {"burst", OPT_BURST, "N", 0, "Open loop: requests for one model at once",
     0},
    {"burst-every", OPT_BURST_EVERY, "MS", 0, "Interval between bursts", 0},
    {"timeout", OPT_TIMEOUT, "MS", 0, "Timeout of a request (default 30000)",
     0},
    {"ramp", OPT_RAMP, "MS", 0, "Closed loop: time to start all connections",
     0},
    {"seed", 's', "N", 0, "Seed (default 1)", 0},
    {"json", 'j', NULL, 0, "Print JSON", 0},
    {0}};

static error_t
parse_run_size(int key, const char *arg, struct argp_state *state)
{
    LdParams *p = &((RunArguments *)state->input)->params;
    switch (key) {
    case 'N':
        p->model_count = (uint32_t)read_number(state, arg, 1000000);
        return 0;
    case 'c':
        p->connections = (uint32_t)read_number(state, arg, 20000);
        return 0;
    case 'd':
        p->duration_ms = (uint32_t)read_number(state, arg, 3600000);
        return 0;
    case 'n':
        p->requests = read_number(state, arg, UINT32_MAX);
        return 0;
    case 'T':
        p->tokens = (uint32_t)read_number(state, arg, 1000000);
        return 0;
    case OPT_PROMPT:
        p->prompt_bytes = (uint32_t)read_number(state, arg, 1000000);
        return 0;
    case OPT_BURST:
        p->burst = (uint32_t)read_number(state, arg, 20000);
        return 0;
    case OPT_BURST_EVERY:
        p->burst_every_ms = (uint32_t)read_number(state, arg, 3600000);
        return 0;
    case OPT_TIMEOUT:
        p->timeout_ms = (uint32_t)read_number(state, arg, 3600000);
        return 0;
    case OPT_RAMP:
        p->ramp_ms = (uint32_t)read_number(state, arg, 600000);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static error_t
parse_run(int key, char *arg, struct argp_state *state)
{
    RunArguments *a = state->input;
    LdParams *p = &a->params;
    switch (key) {
    case 't':
        p->to = arg;
        return 0;
    case 'k':
        p->key = arg;
        return 0;
    case 'm':
        p->models = arg;
        return 0;
    case 'z':
        p->zipf = read_share(state, arg);
        return 0;
    case 'r':
        p->rate = read_share(state, arg);
        return 0;
    case OPT_STREAM:
        p->stream = true;
        return 0;
    case OPT_CHAT:
        p->chat = true;
        return 0;
    case 's':
        p->seed = read_number(state, arg, UINT64_MAX);
        return 0;
    case 'j':
        a->json = true;
        return 0;
    case ARGP_KEY_END:
        if (!p->to || !p->models) {
            argp_error(state, "--to and --models are needed");
        }
        return 0;
    default:
        return parse_run_size(key, arg, state);
    }
}

static int
run_load(int argc, char **argv)
{
    RunArguments a = {.params = {.connections = 8,
                                 .duration_ms = 2000,
                                 .tokens = 8,
                                 .prompt_bytes = 64,
                                 .timeout_ms = 30000,
                                 .seed = 1}};
    struct argp argp = {run_options,
                        parse_run,
                        NULL,
                        "Send requests and measure.\vExit codes: 0 every "
                        "answer complete and correct, or refused; 1 "
                        "otherwise; 2 invalid argument.",
                        NULL,
                        NULL,
                        NULL};
    argp_parse(&argp, argc, argv, 0, NULL, &a);
    g_autoptr(GError) err = NULL;
    LoadRun *r = ld_run(&a.params, &err);
    if (!r) {
        fprintf(stderr, "bglade-load: %s\n", err->message);
        return EXIT_INVALID;
    }
    g_autofree char *text = a.json ? ld_print_json(r) : ld_print(r);
    puts(text);
    int code = ld_is_clean(r) ? EXIT_GOOD : EXIT_UNCLEAN;
    ld_destroy(r);
    return code;
}

/* ---- engine ------------------------------------------------------------- */

static const struct argp_option engine_options[] = {
    {"port", 'p', "PORT", 0, "First port, on 127.0.0.1", 0},
    {"engines", 'e', "N", 0, "Engines, on consecutive ports (default 1)", 0},
    {"threads", 'n', "N", 0, "Concurrent connections (default 128)", 0},
    {"memory-mb", 'M', "MB", 0, "Memory of each engine (default 80000)", 0},
    {"token-us", 'u', "US", 0, "Time for each token (default 2000)", 0},
    {"load-scale", 'l', "PERCENT", 0,
     "Load time in percent of load_ms (default 100)", 0},
    {"ignore-fence", 'i', NULL, 0,
     "Accept orders with outdated fencing tokens", 0},
    {"loaded", 'm', "NAME,...", 0, "Models loaded from the start", 0},
    {0}};

static error_t
parse_engine(int key, char *arg, struct argp_state *state)
{
    FeParams *p = state->input;
    switch (key) {
    case 'p':
        p->first_port = (uint16_t)read_number(state, arg, UINT16_MAX);
        return 0;
    case 'e':
        p->engines = (uint32_t)read_number(state, arg, 4096);
        return 0;
    case 'n':
        p->threads = (uint32_t)read_number(state, arg, 20000);
        return 0;
    case 'M':
        p->memory_mb = (uint32_t)read_number(state, arg, INT32_MAX);
        return 0;
    case 'u':
        p->token_us = (uint32_t)read_number(state, arg, 10000000);
        return 0;
    case 'l':
        p->load_scale = (uint32_t)read_number(state, arg, 100000);
        return 0;
    case 'i':
        p->fencing = false;
        return 0;
    case 'm':
        p->models = arg;
        return 0;
    case ARGP_KEY_END:
        if (!p->first_port || !p->engines ||
            p->first_port + p->engines > UINT16_MAX) {
            argp_error(state, "--port and at least one engine are needed");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static int
run_engine(int argc, char **argv)
{
    FeParams p = {.address = "127.0.0.1",
                  .engines = 1,
                  .threads = 128,
                  .memory_mb = 80000,
                  .token_us = 2000,
                  .load_scale = 100,
                  .fencing = true,
                  .models = ""};
    struct argp argp = {
        engine_options, parse_engine, NULL, "Simulate engines.",
        NULL,           NULL,         NULL};
    argp_parse(&argp, argc, argv, 0, NULL, &p);
    sigset_t set;
    block_stop_signals(&set);
    g_autoptr(GError) err = NULL;
    FakeEngines *f = fe_start(&p, &err);
    if (!f) {
        fprintf(stderr, "bglade-load: %s\n", err->message);
        return EXIT_UNCLEAN;
    }
    int sig;
    sigwait(&set, &sig);
    fe_stop(f);
    return EXIT_GOOD;
}

/* ---- log ---------------------------------------------------------------- */

static const struct argp_option log_options[] = {
    {"listen", 'p', "IP:PORT", 0, "Listen address", 0},
    {"threads", 'n', "N", 0, "Concurrent connections (default 256)", 0},
    {"rate", 'r', "R", 0, "Max. appends per second (default: no limit)", 0},
    {"latency", 'l', "MS", 0, "Latency of an append (default 0)", 0},
    {"keep", 'k', "N", 0, "Min. entries retained (default: all)", 0},
    {0}};

static error_t
parse_log(int key, char *arg, struct argp_state *state)
{
    FlParams *p = state->input;
    switch (key) {
    case 'p':
        p->listen = arg;
        return 0;
    case 'n':
        p->threads = (uint32_t)read_number(state, arg, 20000);
        return 0;
    case 'r':
        p->rate = (uint32_t)read_number(state, arg, 1000000);
        return 0;
    case 'l':
        p->latency_ms = (uint32_t)read_number(state, arg, 60000);
        return 0;
    case 'k':
        p->keep = (uint32_t)read_number(state, arg, UINT32_MAX);
        return 0;
    case ARGP_KEY_END:
        if (!p->listen || !ini_check_address(p->listen)) {
            argp_error(state, "--listen IP:PORT is needed");
        }
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static int
run_log(int argc, char **argv)
{
    FlParams p = {.threads = 256};
    struct argp argp = {
        log_options, parse_log, NULL, "Simulate the log service.",
        NULL,        NULL,      NULL};
    argp_parse(&argp, argc, argv, 0, NULL, &p);
    sigset_t set;
    block_stop_signals(&set);
    g_autoptr(GError) err = NULL;
    FakeLog *f = fl_start(&p, &err);
    if (!f) {
        fprintf(stderr, "bglade-load: %s\n", err->message);
        return EXIT_UNCLEAN;
    }
    int sig;
    sigwait(&set, &sig);
    fl_stop(f);
    return EXIT_GOOD;
}

/* ---- command line ------------------------------------------------------- */

typedef struct {
    const char *name;
    int (*run)(int argc, char **argv);
    const char *doc;
} Command;

static const Command commands[] = {
    {"run", run_load, "send requests and measure"},
    {"engine", run_engine, "simulate model engines"},
    {"log", run_log, "simulate the log service"}};

static void
print_usage(FILE *to)
{
    fputs("Usage: bglade-load COMMAND [OPTION...]\n", to);
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        fprintf(to, "  %-8s %s\n", commands[i].name, commands[i].doc);
    }
    fputs("bglade-load COMMAND --help lists a command's options.\n", to);
}

int
main(int argc, char **argv)
{
    if (argc < 2 || strcmp(argv[1], "--help") == 0) {
        print_usage(argc < 2 ? stderr : stdout);
        return argc < 2 ? EXIT_INVALID : EXIT_GOOD;
    }
    argp_err_exit_status = EXIT_INVALID;
    signal(SIGPIPE, SIG_IGN);
    for (size_t i = 0; i < G_N_ELEMENTS(commands); i++) {
        if (strcmp(commands[i].name, argv[1]) == 0) {
            g_autofree char *name = g_strconcat("bglade-load ", argv[1], NULL);
            argv[1] = name;
            hc_init_process();
            int code = commands[i].run(argc - 1, argv + 1);
            hc_end_process();
            return code;
        }
    }
    fprintf(stderr, "bglade-load: no command '%s'\n", argv[1]);
    print_usage(stderr);
    return EXIT_INVALID;
}
