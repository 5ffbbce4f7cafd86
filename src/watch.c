#include "watch.h"

#include <arpa/inet.h>
#include <civetweb.h>
#include <errno.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>

#define FIRST_CHECK_MS 250
#define CHECK_INTERVAL_MS 100
#define MAX_SEARCHED_FDS 65536
#define NOT_FOUND (-2) /* the search is not repeated */

void
watch_start(Watch *w, uint64_t now_ms)
{
    w->fd = -1;
    w->next_check_ms = now_ms + FIRST_CHECK_MS;
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
    int max_fds = MAX_SEARCHED_FDS;
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
        limit.rlim_cur < MAX_SEARCHED_FDS) {
        max_fds = (int)limit.rlim_cur;
    }
    for (int fd = 0; fd < max_fds; fd++) {
        if (is_socket_of(fd, info)) {
            return fd;
        }
    }
    return NOT_FOUND;
}

bool
watch_is_gone(Watch *w, uint64_t now_ms, const struct mg_request_info *info)
{
    if (now_ms < w->next_check_ms || w->fd == NOT_FOUND) {
        return false;
    }
    w->next_check_ms = now_ms + CHECK_INTERVAL_MS;
    if (w->fd < 0) {
        /* The connection stays open longer than the request, so the descriptor
           is not reused meanwhile. */
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

void
watch_interrupt(const struct mg_request_info *info)
{
    int fd = find_socket(info);
    if (fd >= 0) {
        shutdown(fd, SHUT_RD);
    }
}
