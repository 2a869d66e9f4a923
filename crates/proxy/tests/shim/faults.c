/*
 * Makes system calls of one process fail, as a test asks for while the process runs.
 *
 * Loaded with LD_PRELOAD. SHIM_CONTROL names a file of rules, one for each kind of call, that the test writes and this
 * library maps. Only sockets of the process are touched: TCP over IPv4 for most rules, Unix sockets for the signal pipe.
 * Linux only.
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
    uint32_t error;  /* what the call fails with; 0: it moves at most `bytes` bytes instead */
    uint32_t bytes;
    uint32_t every;  /* one call in so many fails */
    uint32_t left;   /* how many more calls fail */
    uint32_t port;   /* only sockets with this port at either end; 0: all */
    uint32_t seen;
    uint32_t hits;
    uint32_t unused;
};

struct control {
    struct rule rules[CALLS];
    int64_t wall_clock_offset_ms;
};

static struct control *control;

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

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAILS(call, fd) __extension__({ struct rule *r_ = hit(call, fd); if (r_ && r_->error) { errno = (int)r_->error; return -1; } r_; })

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

static struct rule *hit_always(enum call call)
{
    struct rule *rule = control ? &control->rules[call] : NULL;
    if (!rule || rule->left == 0 || ++rule->seen % (rule->every ? rule->every : 1) != 0)
        return NULL;
    rule->left--;
    rule->hits++;
    return rule;
}

/* The rule that this call on a TCP socket falls under now, if any. */
static struct rule *hit(enum call call, int fd)
{
    int type = 0, saved = errno;
    struct rule *rule = control ? &control->rules[call] : NULL;
    if (!rule || rule->left == 0)
        return NULL;
    int wanted = family_and_type(fd, &type) == AF_INET && type == SOCK_STREAM;
    if (wanted && rule->port)
        wanted = has_port(fd, rule->port);
    errno = saved;
    return wanted ? hit_always(call) : NULL;
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    FAILS(ACCEPT, fd);
    return REAL(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol)
{
    if (domain == AF_INET && (type & 0xf) == SOCK_STREAM) {
        struct rule *rule = hit_always(SOCKET);
        if (rule) {
            errno = (int)rule->error;
            return -1;
        }
    }
    return REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    struct rule *rule = control ? &control->rules[CONNECT] : NULL;
    int fits = address->sa_family == AF_INET && rule &&
               (rule->port == 0 || rule->port == ntohs(((const struct sockaddr_in *)address)->sin_port));
    if (fits && (rule = hit_always(CONNECT))) {
        errno = (int)rule->error;
        return -1;
    }
    return REAL(connect)(fd, address, length);
}

ssize_t recv(int fd, void *buffer, size_t length, int flags)
{
    struct rule *rule = FAILS(READ, fd);
    if (rule && length > rule->bytes)
        length = rule->bytes;
    return REAL(recv)(fd, buffer, length, flags);
}

ssize_t send(int fd, const void *buffer, size_t length, int flags)
{
    int type = 0;
    if (control && control->rules[SIGNAL_WAKE].left && family_and_type(fd, &type) == AF_UNIX) {
        struct rule *wake = hit_always(SIGNAL_WAKE);
        if (wake) {
            errno = (int)wake->error;
            return -1;
        }
    }
    struct rule *rule = FAILS(WRITE, fd);
    if (rule && length > rule->bytes)
        length = rule->bytes;
    return REAL(send)(fd, buffer, length, flags);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout)
{
    struct rule *rule = hit_always(EPOLL_WAIT);
    if (rule) {
        errno = (int)rule->error;
        return -1;
    }
    return REAL(epoll_wait)(fd, events, most, timeout);
}

int epoll_ctl(int fd, int operation, int target, struct epoll_event *event)
{
    if (operation == EPOLL_CTL_ADD)
        FAILS(EPOLL_ADD, target);
    return REAL(epoll_ctl)(fd, operation, target, event);
}

int getpeername(int fd, struct sockaddr *address, socklen_t *length)
{
    FAILS(PEER_NAME, fd);
    return REAL(getpeername)(fd, address, length);
}

int getsockopt(int fd, int level, int name, void *value, socklen_t *length)
{
    if (level == SOL_SOCKET && name == SO_ERROR)
        FAILS(SOCKET_ERROR, fd);
    return REAL(getsockopt)(fd, level, name, value, length);
}

ssize_t write(int fd, const void *buffer, size_t length)
{
    struct rule *rule = fd == 2 ? hit_always(LOG_WRITE) : NULL;
    if (rule && rule->error) {
        errno = (int)rule->error;
        return -1;
    }
    return REAL(write)(fd, buffer, rule && length > rule->bytes ? rule->bytes : length);
}

int open64(const char *path, int flags, ...)
{
    struct rule *rule = hit_always(FILE_OPEN);
    if (rule) {
        errno = (int)rule->error;
        return -1;
    }
    mode_t mode = 0;
    if (flags & O_CREAT) {
        __builtin_va_list arguments;
        __builtin_va_start(arguments, flags);
        mode = __builtin_va_arg(arguments, mode_t);
        __builtin_va_end(arguments);
    }
    return (int)syscall(SYS_openat, AT_FDCWD, path, flags, mode);
}

ssize_t read(int fd, void *buffer, size_t length)
{
    struct rule *rule = fd > 2 ? hit_always(FILE_READ) : NULL;
    if (rule && rule->error) {
        errno = (int)rule->error;
        return -1;
    }
    return REAL(read)(fd, buffer, rule && length > rule->bytes ? rule->bytes : length);
}

ssize_t sendto(int fd, const void *buffer, size_t length, int flags, const struct sockaddr *to, socklen_t size)
{
    struct rule *rule = hit_always(DATAGRAM_WRITE);
    if (rule) {
        errno = (int)rule->error;
        return -1;
    }
    return REAL(sendto)(fd, buffer, length, flags, to, size);
}

ssize_t recvfrom(int fd, void *buffer, size_t length, int flags, struct sockaddr *from, socklen_t *size)
{
    struct rule *rule = hit_always(DATAGRAM_READ);
    if (rule) {
        errno = (int)rule->error;
        return -1;
    }
    return REAL(recvfrom)(fd, buffer, length, flags, from, size);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length)
{
    if (level == IPPROTO_TCP)
        FAILS(SET_OPTION, fd);
    return REAL(setsockopt)(fd, level, name, value, length);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags)
{
    struct rule *rule = hit_always(MESSAGE_WRITE);
    if (rule) {
        errno = (int)rule->error;
        return -1;
    }
    return REAL(sendmsg)(fd, message, flags);
}

ssize_t recvmsg(int fd, struct msghdr *message, int flags)
{
    struct rule *rule = hit_always(MESSAGE_READ);
    if (rule) {
        errno = (int)rule->error;
        return -1;
    }
    return REAL(recvmsg)(fd, message, flags);
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
