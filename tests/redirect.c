/* redirect.so: preloaded into a gateway by tests, it sends each connection
   through the relay of a pair (gateway, upstream).  BGLADE_TEST_PATHS names a
   file of lines "TARGET RELAY", both IP:PORT; what it does not list is
   connected to as usual. */
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

typedef int (*ConnectFn)(int fd, const struct sockaddr *to, socklen_t len);

static void
print_address(const struct sockaddr_in *a, char *out, size_t size)
{
    char ip[INET_ADDRSTRLEN] = "";
    inet_ntop(AF_INET, &a->sin_addr, ip, sizeof(ip));
    snprintf(out, size, "%s:%u", ip, ntohs(a->sin_port));
}

static void
replace_port(struct sockaddr_in *a, const char *relay)
{
    const char *colon = strrchr(relay, ':');
    if (colon) {
        a->sin_port = htons((uint16_t)strtol(colon + 1, NULL, 10));
    }
}

static void
redirect(struct sockaddr_in *a)
{
    const char *path = getenv("BGLADE_TEST_PATHS");
    FILE *f = path ? fopen(path, "r") : NULL;
    if (!f) {
        return;
    }
    char wanted[64];
    char target[64];
    char relay[64];
    print_address(a, wanted, sizeof(wanted));
    while (fscanf(f, "%63s %63s", target, relay) == 2) {
        if (strcmp(target, wanted) == 0) {
            replace_port(a, relay);
            break;
        }
    }
    fclose(f);
}

int
connect(int fd, const struct sockaddr *to, socklen_t len)
{
    ConnectFn next = (ConnectFn)dlsym(RTLD_NEXT, "connect");
    if (!to || to->sa_family != AF_INET || len < sizeof(struct sockaddr_in)) {
        return next(fd, to, len);
    }
    struct sockaddr_in copy;
    memcpy(&copy, to, sizeof(copy));
    redirect(&copy);
    return next(fd, (struct sockaddr *)&copy, sizeof(copy));
}
