#include "node/supervisor.h"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <ctime>

#include "logging/log.h"

namespace millethollow {
namespace {

constexpr int kMostQuickDeaths = 5;  // of one process, each within kQuickS: something is wrong
constexpr std::time_t kQuickS = 2;

struct Child {
  Role role;
  pid_t pid = -1;
  std::time_t began = 0;
  int quick_deaths = 0;
};

}  // namespace

int Supervise(int planners, int forwarders, const std::function<int(Role)>& run,
              const std::function<bool()>& reload) {
  sigset_t ours, before;
  sigemptyset(&ours);
  for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP, SIGCHLD}) sigaddset(&ours, signal);
  sigprocmask(SIG_BLOCK, &ours, &before);

  std::vector<Child> children;
  for (int i = 0; i < planners; ++i) children.push_back({{Role::Kind::kPlanner, i}});
  for (int i = 0; i < forwarders; ++i) children.push_back({{Role::Kind::kForwarder, i}});
  const auto start = [&](Child& child) {
    child.began = std::time(nullptr);
    child.pid = fork();
    if (child.pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGTERM);  // none is left behind if we are killed
      sigprocmask(SIG_SETMASK, &before, nullptr);
      _exit(run(child.role));
    }
    if (child.pid < 0) LogLine(Level::kError) << "cannot start a process";
  };
  const auto send = [&](Role::Kind kind, int signal) {
    bool any = false;
    for (const Child& c : children) {
      if (c.role.kind != kind || c.pid <= 0) continue;
      kill(c.pid, signal);
      any = true;
    }
    return any;
  };
  for (Child& child : children) start(child);

  bool stopping = false, planners_told = false;
  int status = 0;
  while (std::any_of(children.begin(), children.end(), [](const Child& c) { return c.pid > 0; })) {
    const int signal = sigwaitinfo(&ours, nullptr);
    if (signal == SIGUSR1) {
      send(Role::Kind::kPlanner, SIGUSR1);
      send(Role::Kind::kForwarder, SIGUSR1);
    } else if (signal == SIGHUP) {
      // One bad file is one line here, not one from each process.
      if (!reload()) continue;
      send(Role::Kind::kPlanner, SIGHUP);
      send(Role::Kind::kForwarder, SIGHUP);
    } else if (signal == SIGTERM || signal == SIGINT) {
      stopping = true;
      send(Role::Kind::kForwarder, SIGTERM);
    }
    int how = 0;
    for (pid_t pid = waitpid(-1, &how, WNOHANG); pid > 0; pid = waitpid(-1, &how, WNOHANG)) {
      const auto dead = std::find_if(children.begin(), children.end(),
                                     [pid](const Child& c) { return c.pid == pid; });
      if (dead == children.end()) continue;
      dead->pid = -1;
      if (stopping) continue;
      LogLine(Level::kWarn) << (dead->role.kind == Role::Kind::kPlanner ? "planner " : "forwarder ")
                            << dead->role.index << " died";
      const bool quick = std::time(nullptr) - dead->began < kQuickS;
      dead->quick_deaths = quick ? dead->quick_deaths + 1 : 0;
      if (dead->quick_deaths < kMostQuickDeaths) {
        start(*dead);
      } else {  // it can't be had; the whole ends, so that whoever started us learns of it
        status = 1;
        stopping = true;
        send(Role::Kind::kForwarder, SIGTERM);
      }
    }
    const bool forwarders_gone = std::none_of(children.begin(), children.end(), [](const Child& c) {
      return c.role.kind == Role::Kind::kForwarder && c.pid > 0;
    });
    if (stopping && forwarders_gone && !planners_told) {
      planners_told = true;
      send(Role::Kind::kPlanner, SIGTERM);
    }
  }
  return status;
}

}  // namespace millethollow
