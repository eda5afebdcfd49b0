/*
 * Makes system calls of a process fail, for tests: preloaded, and controlled by the environment.
 *
 * FAIL_CALL     the call that fails: accept, connect or socket; or poll, which does not report the
 *               end of a peer's stream
 * FAIL_ONE_IN   how many calls one failure is among
 * FAIL_WHILE    a file; calls fail only while it exists, and each failure appends a byte to it;
 *               unset: always
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

static const int ACCEPT_ERRORS[] = {ECONNABORTED, ENFILE, ENOBUFS, EMFILE, ENOMEM, EPROTO};
static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT};
static const int SOCKET_ERRORS[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};

static atomic_uint calls;
static atomic_uint failures;

static void count_failure(const char *while_file) {
    int file = while_file == NULL ? -1 : open(while_file, O_WRONLY | O_APPEND | O_CLOEXEC);
    if (file >= 0) {
        (void) !write(file, "x", 1);
        close(file);
    }
}

static int fails(const char *call, const int *errors, size_t count) {
    const char *failing = getenv("FAIL_CALL");
    const char *one_in = getenv("FAIL_ONE_IN");
    const char *while_file = getenv("FAIL_WHILE");
    if (failing == NULL || one_in == NULL || strcmp(failing, call) != 0) {
        return 0;
    }
    if (while_file != NULL && access(while_file, F_OK) != 0) {
        return 0;
    }
    if (atomic_fetch_add(&calls, 1) % (unsigned) atoi(one_in) != 0) {
        return 0;
    }
    count_failure(while_file);
    errno = errors[atomic_fetch_add(&failures, 1) % count];
    return 1;
}

#define FAILS(call, errors) fails(call, errors, sizeof(errors) / sizeof((errors)[0]))

static int is_waiting(int listening) {
    /* Without a connection in the queue, accept must go on to say so. */
    struct timeval none = {0, 0};
    fd_set set;
    if (listening >= FD_SETSIZE) {
        return 0;
    }
    FD_ZERO(&set);
    FD_SET(listening, &set);
    return select(listening + 1, &set, NULL, NULL, &none) == 1;
}

int accept(int listening, struct sockaddr *address, socklen_t *length) {
    int (*real)(int, struct sockaddr *, socklen_t *) = dlsym(RTLD_NEXT, "accept");
    return is_waiting(listening) && FAILS("accept", ACCEPT_ERRORS)
            ? -1
            : real(listening, address, length);
}

int accept4(int listening, struct sockaddr *address, socklen_t *length, int flags) {
    int (*real)(int, struct sockaddr *, socklen_t *, int) = dlsym(RTLD_NEXT, "accept4");
    return is_waiting(listening) && FAILS("accept", ACCEPT_ERRORS)
            ? -1
            : real(listening, address, length, flags);
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    int (*real)(int, const struct sockaddr *, socklen_t) = dlsym(RTLD_NEXT, "connect");
    return address->sa_family != AF_UNIX && FAILS("connect", CONNECT_ERRORS)
            ? -1
            : real(socket, address, length);
}

int socket(int domain, int type, int protocol) {
    int (*real)(int, int, int) = dlsym(RTLD_NEXT, "socket");
    return domain != AF_UNIX && FAILS("socket", SOCKET_ERRORS) ? -1 : real(domain, type, protocol);
}

int poll(struct pollfd *polled, nfds_t count, int timeout) {
    int (*real)(struct pollfd *, nfds_t, int) = dlsym(RTLD_NEXT, "poll");
    const char *failing = getenv("FAIL_CALL");
    int ready = real(polled, count, timeout);
    if (failing != NULL && strcmp(failing, "poll") == 0) {
        for (nfds_t i = 0; i < count; i++) {
            if (polled[i].events & POLLRDHUP) {
                polled[i].revents &= ~(POLLRDHUP | POLLHUP | POLLERR);
            }
        }
    }
    return ready;
}
