// Loaded before the system's library: a wall clock that can be set and a disk that can fail, as a
// page of the harness's says. Everything else passes through; nothing is allocated.
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

millethollow::rig::Shim* Page() {
  static millethollow::rig::Shim* page = [] {
    const char* path = getenv("MILLETHOLLOW_SHIM_PAGE");
    const int fd =
        path == nullptr ? -1 : static_cast<int>(syscall(SYS_openat, AT_FDCWD, path, O_RDWR));
    void* at = fd < 0 ? MAP_FAILED
                      : mmap(nullptr, sizeof(millethollow::rig::Shim), PROT_READ | PROT_WRITE,
                             MAP_SHARED, fd, 0);
    if (fd >= 0) syscall(SYS_close, fd);
    return at == MAP_FAILED ? nullptr : static_cast<millethollow::rig::Shim*>(at);
  }();
  return page;
}

bool Fails() {
  auto* page = Page();
  if (page == nullptr || page->fail_syncs.load() == 0) return false;
  page->failed_syncs += 1;
  errno = EIO;
  return true;
}

int Sync(long call, int fd) {
  if (auto* page = Page(); page != nullptr && page->slow_syncs_ms > 0)
    usleep(1000 * page->slow_syncs_ms);
  return Fails() ? -1 : static_cast<int>(syscall(call, fd));
}

}  // namespace

extern "C" {

int clock_gettime(clockid_t clock, timespec* t) noexcept {
  const int rc = static_cast<int>(syscall(SYS_clock_gettime, clock, t));
  const bool wall = clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE || clock == CLOCK_TAI;
  if (auto* page = wall && rc == 0 ? Page() : nullptr) {
    t->tv_sec += page->wall_off_s.load();
    page->wall_reads += 1;
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
