#include "sockets.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 512 /* if the queue is full, SYNs are dropped for seconds */
/* With bytes unacknowledged for this long the kernel closes the connection. */
#define USER_TIMEOUT_MS 4000
#define DIGITS "0123456789"
#define MAX_PORT_DIGITS 5

/* Digits only, as strtol would also take "+80" and "80x"; 0: invalid. */
static uint16_t
parse_port(const char *text)
{
    size_t len = strlen(text);
    if (len == 0 || len > MAX_PORT_DIGITS || strspn(text, DIGITS) != len) {
        return 0;
    }
    long port = strtol(text, NULL, 10);
    return port <= UINT16_MAX ? (uint16_t)port : 0;
}

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
    char host[INET_ADDRSTRLEN];
    const char *colon = strrchr(text, ':');
    if (!colon || (size_t)(colon - text) >= sizeof(host)) {
        return false;
    }
    memcpy(host, text, (size_t)(colon - text));
    host[colon - text] = '\0';
    uint16_t port = parse_port(colon + 1);
    memset(out, 0, sizeof(*out));
    out->sin_family = AF_INET;
    out->sin_port = htons(port);
    return port > 0 && inet_pton(AF_INET, host, &out->sin_addr) == 1;
}

bool
so_is_address(const char *text)
{
    struct sockaddr_in addr;
    if (!parse_address(text, &addr)) {
        return false;
    }
    in_addr_t ip = ntohl(addr.sin_addr.s_addr);
    return ip != INADDR_ANY && ip != INADDR_BROADCAST && !IN_MULTICAST(ip);
}

static void
tune_socket(int fd)
{
    int on = 1;
    unsigned int user_ms = USER_TIMEOUT_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_ms, sizeof(user_ms));
}

static int
open_socket(void)
{
    return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

int
so_listen(const char *address, GError **err)
{
    struct sockaddr_in addr;
    if (!parse_address(address, &addr)) {
        g_set_error(err, BG_ERROR, BG_ERR_INVALID, "%s: not IP:PORT", address);
        return -1;
    }
    int fd = open_socket();
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (fd < 0 || bind(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 ||
        listen(fd, BACKLOG) != 0) {
        g_set_error(err, BG_ERROR, BG_ERR_UNREACHABLE, "%s: %s", address,
                    g_strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return -1;
    }
    return fd;
}

int
so_connect(const char *address)
{
    struct sockaddr_in addr;
    int fd = parse_address(address, &addr) ? open_socket() : -1;
    if (fd < 0) {
        return -1;
    }
    tune_socket(fd);
    if (connect(fd, (struct sockaddr *)&addr, sizeof(addr)) != 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return -1;
    }
    return fd;
}

bool
so_is_connected(int fd)
{
    int e = 0;
    socklen_t len = sizeof(e);
    return getsockopt(fd, SOL_SOCKET, SO_ERROR, &e, &len) == 0 && e == 0;
}

int
so_accept(int fd)
{
    int conn = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (conn >= 0) {
        tune_socket(conn);
    }
    return conn;
}

bool
so_lacks_descriptors(void)
{
    return errno == EMFILE || errno == ENFILE;
}

bool
so_is_closed_by_peer(int fd)
{
    char byte;
    ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK &&
                        errno != EINTR);
}

bool
so_is_quiet(int fd)
{
    char byte;
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
}

void
so_reset_on_close(int fd)
{
    struct linger reset = {1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}
