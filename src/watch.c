#include "watch.h"

#include <arpa/inet.h>
#include <civetweb.h>
#include <errno.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#define FIRST_LOOK_MS 250
#define LOOK_MS 100
#define MAX_FDS 65536
#define NOT_FOUND (-2) /* looked for in vain: not looked for again */

void
watch_start(Watch *w, uint64_t now_ms)
{
    w->fd = -1;
    w->next_look_ms = now_ms + FIRST_LOOK_MS;
}

static bool
has_port(int fd, bool peer, int port, struct sockaddr_in *addr)
{
    socklen_t len = sizeof(*addr);
    int got = peer ? getpeername(fd, (struct sockaddr *)addr, &len)
                   : getsockname(fd, (struct sockaddr *)addr, &len);
    return got == 0 && addr->sin_family == AF_INET &&
           ntohs(addr->sin_port) == port;
}

static bool
is_socket_of(int fd, const struct mg_request_info *info)
{
    struct sockaddr_in addr = {0};
    char text[INET_ADDRSTRLEN];
    return has_port(fd, true, info->remote_port, &addr) &&
           inet_ntop(AF_INET, &addr.sin_addr, text, sizeof(text)) &&
           strcmp(text, info->remote_addr) == 0 &&
           has_port(fd, false, info->server_port, &addr);
}

static int
find_socket(const struct mg_request_info *info)
{
    struct rlimit limit;
    int most = MAX_FDS;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < MAX_FDS) {
        most = (int)limit.rlim_cur;
    }
    for (int fd = 0; fd < most; fd++) {
        if (is_socket_of(fd, info)) {
            return fd;
        }
    }
    return NOT_FOUND;
}

bool
watch_is_gone(Watch *w, uint64_t now_ms, const struct mg_request_info *info)
{
    if (now_ms < w->next_look_ms || w->fd == NOT_FOUND) {
        return false;
    }
    w->next_look_ms = now_ms + LOOK_MS;
    if (w->fd < 0) {
        /* The connection outlives its request, so the number stays its. */
        w->fd = find_socket(info);
    }
    if (w->fd < 0) {
        return false;
    }
    char byte;
    ssize_t got = recv(w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
}
