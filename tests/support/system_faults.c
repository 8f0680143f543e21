/* Lets system calls of the process that loads this library fail as Linux documents.
 *
 * The file that SYSTEM_FAULTS names holds one fault a line: CALL ERRNO EVERY. Each EVERY-th call of CALL then fails
 * with ERRNO; with ERRNO 0, a read or a write transfers one byte. The line `clock MILLISECONDS 1` shifts the wall
 * clock. The file is read again every 5 ms; without it no call fails.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define REREAD_NANOSECONDS 5000000L
#define MAX_FAULTS 16

struct fault {
    char call[24];
    long value;
    unsigned long every;
    unsigned long calls;
};

static __thread struct fault faults[MAX_FAULTS];
static __thread int fault_count;
static __thread long read_at;

static long monotonic_nanoseconds(void) {
    struct timespec now;
    syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
    return now.tv_sec * 1000000000L + now.tv_nsec;
}

/* Reads the faults with system calls of its own, so that they are not subject to faults. */
static void read_faults(void) {
    long now = monotonic_nanoseconds();
    if (read_at != 0 && now - read_at < REREAD_NANOSECONDS) return;
    read_at = now;
    const char *path = getenv("SYSTEM_FAULTS");
    char text[1024];
    long length = 0;
    if (path) {
        long file = syscall(SYS_openat, AT_FDCWD, path, O_RDONLY | O_CLOEXEC, 0);
        if (file >= 0) {
            length = syscall(SYS_read, file, text, sizeof text - 1);
            syscall(SYS_close, file);
        }
    }
    text[length > 0 ? length : 0] = 0;
    struct fault found[MAX_FAULTS];
    int count = 0;
    char *rest = text;
    for (char *line; count < MAX_FAULTS && (line = strsep(&rest, "\n"));) {
        struct fault *fault = &found[count];
        fault->calls = 0;
        if (sscanf(line, "%23s %ld %lu", fault->call, &fault->value, &fault->every) == 3 && fault->every > 0) count++;
    }
    for (int i = 0; i < count; i++)
        for (int j = 0; j < fault_count; j++)
            if (!strcmp(found[i].call, faults[j].call)) found[i].calls = faults[j].calls;
    memcpy(faults, found, sizeof faults);
    fault_count = count;
}

static struct fault *find(const char *call) {
    read_faults();
    for (int i = 0; i < fault_count; i++)
        if (!strcmp(faults[i].call, call)) return &faults[i];
    return 0;
}

/* Returns whether this call is to fail, and sets its error; 0 stands for a short transfer. */
static int is_due(const char *call, long *error) {
    struct fault *fault = find(call);
    if (!fault || ++fault->calls % fault->every) return 0;
    *error = fault->value;
    return 1;
}

#define NEXT(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))
#define FAIL_IF_DUE(call)                  \
    do {                                   \
        long error;                        \
        if (is_due(call, &error)) {        \
            errno = (int)error;            \
            return -1;                     \
        }                                  \
    } while (0)

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    FAIL_IF_DUE("accept");
    return NEXT(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
    FAIL_IF_DUE("socket");
    return NEXT(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    FAIL_IF_DUE("connect");
    return NEXT(connect)(fd, address, length);
}

ssize_t recv(int fd, void *bytes, size_t length, int flags) {
    long error;
    if (!(flags & MSG_PEEK) && length > 0 && is_due("recv", &error)) {
        if (error) {
            errno = (int)error;
            return -1;
        }
        length = 1;
    }
    return NEXT(recv)(fd, bytes, length, flags);
}

ssize_t writev(int fd, const struct iovec *slices, int count) {
    long error;
    if (is_due("writev", &error)) {
        if (error) {
            errno = (int)error;
            return -1;
        }
        struct iovec first;
        for (int i = 0; i < count; i++) {
            if (slices[i].iov_len == 0) continue;
            first.iov_base = slices[i].iov_base;
            first.iov_len = 1;
            return NEXT(writev)(fd, &first, 1);
        }
    }
    return NEXT(writev)(fd, slices, count);
}

ssize_t write(int fd, const void *bytes, size_t length) {
    struct fault *fault = find("write_file");
    long error;
    if (fault && fd > 2 && length > 8 && is_due("write_file", &error)) {
        if (error) {
            errno = (int)error;
            return -1;
        }
        length /= 2;
    }
    return NEXT(write)(fd, bytes, length);
}

ssize_t read(int fd, void *bytes, size_t length) {
    if (fd > 2 && length > 8) FAIL_IF_DUE("read_file");
    return NEXT(read)(fd, bytes, length);
}

int fsync(int fd) {
    FAIL_IF_DUE("fsync");
    return NEXT(fsync)(fd);
}

int rename(const char *from, const char *to) {
    FAIL_IF_DUE("rename");
    return NEXT(rename)(from, to);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    int result = (int)syscall(SYS_clock_gettime, clock, now);
    if (result == 0 && clock == CLOCK_REALTIME) {
        struct fault *step = find("clock");
        if (step) {
            now->tv_sec += step->value / 1000;
            now->tv_nsec += (step->value % 1000) * 1000000;
            if (now->tv_nsec < 0) now->tv_sec--, now->tv_nsec += 1000000000;
            if (now->tv_nsec >= 1000000000) now->tv_sec++, now->tv_nsec -= 1000000000;
        }
    }
    return result;
}
