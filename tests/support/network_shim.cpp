// Preloaded into the processes under test. Replaces the calls that read the wall clock or sync a
// file, so that the harness can shift the clock and make syncs slow or fail through a page of
// shared memory. Allocates nothing.
#include "support/network_shim.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <ctime>

namespace {

millethollow::cluster_test::Shim* SharedShim() {
  static millethollow::cluster_test::Shim* shim = [] {
    const char* path = getenv("MILLETHOLLOW_SHIM_PAGE");
    const int fd =
        path == nullptr ? -1 : static_cast<int>(syscall(SYS_openat, AT_FDCWD, path, O_RDWR));
    void* at = fd < 0 ? MAP_FAILED
                      : mmap(nullptr, sizeof(millethollow::cluster_test::Shim),
                             PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    if (fd >= 0) syscall(SYS_close, fd);
    return at == MAP_FAILED ? nullptr : static_cast<millethollow::cluster_test::Shim*>(at);
  }();
  return shim;
}

bool FailSync() {
  auto* shim = SharedShim();
  if (shim == nullptr || shim->fail_syncs.load() == 0) return false;
  shim->failed_syncs += 1;
  errno = EIO;
  return true;
}

int Sync(long call, int fd) {
  if (auto* shim = SharedShim(); shim != nullptr && shim->sync_delay_ms > 0)
    usleep(1000 * shim->sync_delay_ms);
  return FailSync() ? -1 : static_cast<int>(syscall(call, fd));
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* t) noexcept {
  const int rc = static_cast<int>(syscall(SYS_clock_gettime, clock, t));
  const bool wall = clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE || clock == CLOCK_TAI;
  if (auto* shim = wall && rc == 0 ? SharedShim() : nullptr) {
    t->tv_sec += shim->wall_clock_offset_s.load();
    shim->wall_clock_reads += 1;
  }
  return rc;
}

int gettimeofday(timeval* t, void*) noexcept {
  timespec now{};
  const int rc = clock_gettime(CLOCK_REALTIME, &now);
  t->tv_sec = now.tv_sec;
  t->tv_usec = now.tv_nsec / 1000;
  return rc;
}

time_t time(time_t* to) noexcept {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  if (to != nullptr) *to = now.tv_sec;
  return now.tv_sec;
}

int fdatasync(int fd) { return Sync(SYS_fdatasync, fd); }
int fsync(int fd) { return Sync(SYS_fsync, fd); }
}
