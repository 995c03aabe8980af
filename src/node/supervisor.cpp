#include "node/supervisor.h"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <vector>

#include "logging/log.h"

namespace millethollow {
namespace {

// A process that exits this many times in a row, each time within kQuickExitS seconds of its start,
// is not restarted.
constexpr int kMaxQuickExits = 5;
constexpr std::time_t kQuickExitS = 2;

constexpr int kSignals[] = {SIGTERM, SIGINT, SIGUSR1, SIGHUP, SIGCHLD};

const char* RoleText(Role::Kind kind) {
  return kind == Role::Kind::kPlanner ? "planner" : "forwarder";
}

struct Child {
  Role role;
  pid_t pid = -1;  // -1: not running
  std::time_t started_at = 0;
  int quick_exits = 0;
};

class Supervisor {
 public:
  Supervisor(int planners, int forwarders, const std::function<int(Role)>& run,
             const std::function<bool()>& reload)
      : run_(run), reload_(reload) {
    for (int i = 0; i < planners; ++i) children_.push_back({{Role::Kind::kPlanner, i}});
    for (int i = 0; i < forwarders; ++i) children_.push_back({{Role::Kind::kForwarder, i}});
  }

  int Run() {
    sigset_t handled;
    sigemptyset(&handled);
    for (const int signal : kSignals) sigaddset(&handled, signal);
    sigprocmask(SIG_BLOCK, &handled, &original_mask_);
    for (Child& child : children_) Start(&child);
    while (AnyRunning()) {
      if (!OnSignal(sigwaitinfo(&handled, nullptr))) continue;
      ReapChildren();
      StopPlannersOnceForwardersExited();
    }
    return exit_status_;
  }

 private:
  void Start(Child* child) {
    child->started_at = std::time(nullptr);
    child->pid = fork();
    if (child->pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGTERM);  // stops the child if the supervisor is killed
      sigprocmask(SIG_SETMASK, &original_mask_, nullptr);
      _exit(run_(child->role));
    }
    if (child->pid < 0) {
      LogLine(Level::kError) << "process-start-failed role=" << RoleText(child->role.kind)
                             << " index=" << child->role.index;
    }
  }

  void Signal(Role::Kind kind, int signal) const {
    for (const Child& child : children_) {
      if (child.role.kind == kind && child.pid > 0) kill(child.pid, signal);
    }
  }
  void SignalAll(int signal) const {
    Signal(Role::Kind::kPlanner, signal);
    Signal(Role::Kind::kForwarder, signal);
  }

  // Returns false if a reload was rejected.
  bool OnSignal(int signal) {
    if (signal == SIGUSR1) {
      SignalAll(SIGUSR1);
    } else if (signal == SIGHUP) {
      // Checked here, so that an invalid file is logged once and not by each process.
      if (!reload_()) return false;
      SignalAll(SIGHUP);
    } else if (signal == SIGTERM || signal == SIGINT) {
      BeginStop();
    }
    return true;
  }

  void BeginStop() {
    stopping_ = true;
    Signal(Role::Kind::kForwarder, SIGTERM);
  }

  void ReapChildren() {
    int status = 0;
    for (pid_t pid = waitpid(-1, &status, WNOHANG); pid > 0; pid = waitpid(-1, &status, WNOHANG)) {
      const auto child =
          std::find_if(children_.begin(), children_.end(),
                       [pid](const Child& candidate) { return candidate.pid == pid; });
      if (child != children_.end()) OnExit(&*child);
    }
  }

  void OnExit(Child* child) {
    child->pid = -1;
    if (stopping_) return;
    LogLine(Level::kWarn) << "process-died role=" << RoleText(child->role.kind)
                          << " index=" << child->role.index;
    const bool quick = std::time(nullptr) - child->started_at < kQuickExitS;
    child->quick_exits = quick ? child->quick_exits + 1 : 0;
    if (child->quick_exits < kMaxQuickExits) return Start(child);
    exit_status_ = 1;  // reports the failure to the supervisor's parent process
    BeginStop();
  }

  void StopPlannersOnceForwardersExited() {
    const bool forwarders_gone =
        std::none_of(children_.begin(), children_.end(), [](const Child& child) {
          return child.role.kind == Role::Kind::kForwarder && child.pid > 0;
        });
    if (!stopping_ || !forwarders_gone || planners_stopped_) return;
    planners_stopped_ = true;
    Signal(Role::Kind::kPlanner, SIGTERM);
  }

  bool AnyRunning() const {
    return std::any_of(children_.begin(), children_.end(),
                       [](const Child& child) { return child.pid > 0; });
  }

  const std::function<int(Role)>& run_;
  const std::function<bool()>& reload_;
  std::vector<Child> children_;
  sigset_t original_mask_{};
  bool stopping_ = false, planners_stopped_ = false;
  int exit_status_ = 0;
};

}  // namespace

int Supervise(int planners, int forwarders, const std::function<int(Role)>& run,
              const std::function<bool()>& reload) {
  return Supervisor(planners, forwarders, run, reload).Run();
}

}  // namespace millethollow
