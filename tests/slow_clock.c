/* slow_clock.so: preloaded into a gateway by tests, each reading of the clock
   of leases takes so long that two readings never agree, as on a VM short of
   processor time. */
#include <dlfcn.h>
#include <time.h>
#include <unistd.h>

#define PAUSE_US 250

typedef int (*ClockFn)(clockid_t clock, struct timespec *out);

int
clock_gettime(clockid_t clock, struct timespec *out)
{
    static ClockFn next;
    if (!next) {
        next = (ClockFn)dlsym(RTLD_NEXT, "clock_gettime");
    }
    if (clock == CLOCK_BOOTTIME) {
        usleep(PAUSE_US);
    }
    return next(clock, out);
}
