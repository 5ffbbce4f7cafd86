/* slow_start.so: preloaded into a process by tests, its web server listens for
   a while before mg_start() returns. */
#include <civetweb.h>
#include <dlfcn.h>
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
