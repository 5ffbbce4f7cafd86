/* slow_start.so: preloaded into a process by tests, its web server listens for
   a while before mg_start() returns, and its event loop takes a while to
   create. */
#include <civetweb.h>
#include <dlfcn.h>
#include <ev.h>
#include <unistd.h>

#define PAUSE_US 300000

typedef struct mg_context *(*StartFn)(const struct mg_callbacks *callbacks,
                                      void *user_data, const char **options);

struct mg_context *
mg_start(const struct mg_callbacks *callbacks, void *user_data,
         const char **options)
{
    StartFn next = (StartFn)dlsym(RTLD_NEXT, "mg_start");
    struct mg_context *http = next(callbacks, user_data, options);
    usleep(PAUSE_US);
    return http;
}

typedef struct ev_loop *(*LoopFn)(unsigned int flags);

struct ev_loop *
ev_loop_new(unsigned int flags)
{
    static const char line[] = "the event loop is created slowly\n";
    LoopFn next = (LoopFn)dlsym(RTLD_NEXT, "ev_loop_new");
    if (write(STDERR_FILENO, line, sizeof(line) - 1) < 0) {
        return NULL;
    }
    usleep(PAUSE_US);
    return next(flags);
}
