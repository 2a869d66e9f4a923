/*
 * Injects failures of system calls into the process that loads this library, under the control of a test.
 *
 * Loaded with LD_PRELOAD. SHIM_CONTROL names a file of rules, one for each kind of call, that the test writes
 * and this library maps. Socket rules apply only to sockets of the process: TCP over IPv4 for most rules,
 * Unix sockets for the signal pipe. Linux only.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

/* The order is that of `SystemCall` in helper/shim.rs. */
enum call {
    ACCEPT,
    SOCKET,
    CONNECT,
    READ,
    WRITE,
    EPOLL_WAIT,
    EPOLL_ADD,
    SIGNAL_WAKE,
    PEER_NAME,
    SOCKET_ERROR,
    LOG_WRITE,
    FILE_OPEN,
    FILE_READ,
    DATAGRAM_WRITE,
    DATAGRAM_READ,
    SET_OPTION,
    MESSAGE_WRITE,
    MESSAGE_READ,
    CALLS
};

struct rule {
    uint32_t error;      /* errno of the failing call; 0: it transfers at most max_bytes instead */
    uint32_t max_bytes;
    uint32_t every;      /* every n-th call fails */
    uint32_t remaining;  /* number of calls that are still to fail */
    uint32_t port;       /* only sockets with this local or remote port; 0: all */
    uint32_t calls;      /* calls counted for `every` */
    uint32_t hits;       /* calls that have failed or been shortened */
    uint32_t unused;
};

struct control {
    struct rule rules[CALLS];
    int64_t wall_clock_offset_ms;
};

static struct control *control;

/* The functions that this library replaces and passes calls on to. */
#define REPLACED_FUNCTIONS(apply) \
    apply(accept4) apply(socket) apply(connect) apply(recv) apply(send) apply(epoll_wait) apply(epoll_ctl) \
    apply(getpeername) apply(getsockopt) apply(write) apply(read) apply(sendto) apply(recvfrom) \
    apply(setsockopt) apply(sendmsg) apply(recvmsg)

#define DECLARE_REAL(name) static __typeof__(&name) real_##name;
REPLACED_FUNCTIONS(DECLARE_REAL)

/*
 * Finds the real functions before the program starts: dlsym() takes a lock that is not safe against signals,
 * so a signal handler that called it, for example through send(), could block its own thread forever.
 */
__attribute__((constructor)) static void find_real_functions(void)
{
#define FIND_REAL(name) real_##name = (__typeof__(&name))dlsym(RTLD_NEXT, #name);
    REPLACED_FUNCTIONS(FIND_REAL)
}

__attribute__((constructor)) static void map_control(void)
{
    const char *path = getenv("SHIM_CONTROL");
    int fd = path ? (int)syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CLOEXEC) : -1;
    if (fd < 0)
        return;
    void *mapped = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    syscall(SYS_close, fd);
    if (mapped != MAP_FAILED)
        control = mapped;
}

/*
 * Returns -1 from the calling function if an error rule applies; otherwise evaluates to the rule of a short
 * transfer, or NULL.
 */
#define FAIL_IF_HIT(call, fd) \
    __extension__({ \
        struct rule *r_ = hit_socket(call, fd); \
        if (r_ && r_->error) { \
            errno = (int)r_->error; \
            return -1; \
        } \
        r_; \
    })

static int port_of(const struct sockaddr_storage *address)
{
    return address->ss_family == AF_INET ? ntohs(((const struct sockaddr_in *)address)->sin_port) : -1;
}

static int has_port(int fd, uint32_t port)
{
    struct sockaddr_storage address;
    socklen_t length = sizeof address;
    if (syscall(SYS_getsockname, fd, &address, &length) == 0 && port_of(&address) == (int)port)
        return 1;
    length = sizeof address;
    return syscall(SYS_getpeername, fd, &address, &length) == 0 && port_of(&address) == (int)port;
}

static int family_and_type(int fd, int *type)
{
    int family = -1;
    socklen_t length = sizeof family;
    if (syscall(SYS_getsockopt, fd, SOL_SOCKET, SO_DOMAIN, &family, &length) != 0)
        return -1;
    length = sizeof *type;
    syscall(SYS_getsockopt, fd, SOL_SOCKET, SO_TYPE, type, &length);
    return family;
}

/* Counts the call and returns its rule if the call is to fail now. */
static struct rule *hit(enum call call)
{
    struct rule *rule = control ? &control->rules[call] : NULL;
    if (!rule || rule->remaining == 0 || ++rule->calls % (rule->every ? rule->every : 1) != 0)
        return NULL;
    rule->remaining--;
    rule->hits++;
    return rule;
}

/* As hit(), for a call on a TCP socket over IPv4 that has the rule's port. */
static struct rule *hit_socket(enum call call, int fd)
{
    int type = 0, saved = errno;
    struct rule *rule = control ? &control->rules[call] : NULL;
    if (!rule || rule->remaining == 0)
        return NULL;
    int matches = family_and_type(fd, &type) == AF_INET && type == SOCK_STREAM;
    if (matches && rule->port)
        matches = has_port(fd, rule->port);
    errno = saved;
    return matches ? hit(call) : NULL;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    FAIL_IF_HIT(ACCEPT, fd);
    return real_accept4(fd, address, length, flags);
}

int socket(int domain, int type, int protocol)
{
    if (domain == AF_INET && (type & 0xf) == SOCK_STREAM) {
        struct rule *rule = hit(SOCKET);
        if (rule) {
            errno = (int)rule->error;
            return -1;
        }
    }
    return real_socket(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    struct rule *rule = control ? &control->rules[CONNECT] : NULL;
    int matches = address->sa_family == AF_INET && rule &&
                  (rule->port == 0 || rule->port == ntohs(((const struct sockaddr_in *)address)->sin_port));
    if (matches && (rule = hit(CONNECT))) {
        errno = (int)rule->error;
        return -1;
    }
    return real_connect(fd, address, length);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags)
{
    struct rule *rule = FAIL_IF_HIT(READ, fd);
    if (rule && length > rule->max_bytes)
        length = rule->max_bytes;
    return real_recv(fd, buffer, length, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags)
{
    int type = 0;
    if (control && control->rules[SIGNAL_WAKE].remaining && family_and_type(fd, &type) == AF_UNIX) {
        struct rule *wake = hit(SIGNAL_WAKE);
        if (wake) {
            errno = (int)wake->error;
            return -1;
        }
    }
    struct rule *rule = FAIL_IF_HIT(WRITE, fd);
    if (rule && length > rule->max_bytes)
        length = rule->max_bytes;
    return real_send(fd, buffer, length, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout)
{
    struct rule *rule = hit(EPOLL_WAIT);
    if (rule) {
        errno = (int)rule->error;
        return -1;
    }
    return real_epoll_wait(fd, events, max_events, timeout);
}

int epoll_ctl(int fd, int operation, int target, struct epoll_event *event)
{
    if (operation == EPOLL_CTL_ADD)
        FAIL_IF_HIT(EPOLL_ADD, target);
    return real_epoll_ctl(fd, operation, target, event);
}

int getpeername(int fd, struct sockaddr *address, socklen_t *length)
{
    FAIL_IF_HIT(PEER_NAME, fd);
    return real_getpeername(fd, address, length);
}

int getsockopt(int fd, int level, int name, void *value, socklen_t *length)
{
    if (level == SOL_SOCKET && name == SO_ERROR)
        FAIL_IF_HIT(SOCKET_ERROR, fd);
    return real_getsockopt(fd, level, name, value, length);
}

ssize_t write(int fd, const void *buffer, size_t length)
{
    struct rule *rule = fd == 2 ? hit(LOG_WRITE) : NULL;
    if (rule && rule->error) {
        errno = (int)rule->error;
        return -1;
    }
    return real_write(fd, buffer, rule && length > rule->max_bytes ? rule->max_bytes : length);
}

/* Opens a file, or returns -1 with the error of a rule. */
static int open_or_fail(const char *path, int flags, mode_t mode)
{
    struct rule *rule = hit(FILE_OPEN);
    if (rule) {
        errno = (int)rule->error;
        return -1;
    }
    return (int)syscall(SYS_openat, AT_FDCWD, path, flags, mode);
}

/* Which of the two names a program calls depends on the kind of machine. */
#define REPLACE_OPEN(name) \
    int name(const char *path, int flags, ...) \
    { \
        mode_t mode = 0; \
        if (flags & O_CREAT) { \
            __builtin_va_list arguments; \
            __builtin_va_start(arguments, flags); \
            mode = __builtin_va_arg(arguments, mode_t); \
            __builtin_va_end(arguments); \
        } \
        return open_or_fail(path, flags, mode); \
    }
REPLACE_OPEN(open)
REPLACE_OPEN(open64)

ssize_t read(int fd, void *buffer, size_t length)
{
    struct rule *rule = fd > 2 ? hit(FILE_READ) : NULL;
    if (rule && rule->error) {
        errno = (int)rule->error;
        return -1;
    }
    return real_read(fd, buffer, rule && length > rule->max_bytes ? rule->max_bytes : length);
}

ssize_t sendto(int fd, const void *buffer, size_t length, int flags, const struct sockaddr *to,
               socklen_t size)
{
    struct rule *rule = hit(DATAGRAM_WRITE);
    if (rule) {
        errno = (int)rule->error;
        return -1;
    }
    return real_sendto(fd, buffer, length, flags, to, size);
}

ssize_t recvfrom(int fd, void *buffer, size_t length, int flags, struct sockaddr *from, socklen_t *size)
{
    struct rule *rule = hit(DATAGRAM_READ);
    if (rule) {
        errno = (int)rule->error;
        return -1;
    }
    return real_recvfrom(fd, buffer, length, flags, from, size);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length)
{
    if (level == IPPROTO_TCP)
        FAIL_IF_HIT(SET_OPTION, fd);
    return real_setsockopt(fd, level, name, value, length);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags)
{
    struct rule *rule = hit(MESSAGE_WRITE);
    if (rule) {
        errno = (int)rule->error;
        return -1;
    }
    return real_sendmsg(fd, message, flags);
}

ssize_t recvmsg(int fd, struct msghdr *message, int flags)
{
    struct rule *rule = hit(MESSAGE_READ);
    if (rule) {
        errno = (int)rule->error;
        return -1;
    }
    return real_recvmsg(fd, message, flags);
}

int clock_gettime(clockid_t clock, struct timespec *time)
{
    int result = (int)syscall(SYS_clock_gettime, clock, time);
    if (result == 0 && clock == CLOCK_REALTIME && control) {
        int64_t offset = control->wall_clock_offset_ms;
        time->tv_sec += offset / 1000;
        time->tv_nsec += offset % 1000 * 1000000;
        if (time->tv_nsec < 0) {
            time->tv_nsec += 1000000000;
            time->tv_sec--;
        } else if (time->tv_nsec >= 1000000000) {
            time->tv_nsec -= 1000000000;
            time->tv_sec++;
        }
    }
    return result;
}
