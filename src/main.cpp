// millethollow: reads its configuration and runs a node, the processes of a two-level deployment,
// or the importer.
#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <string_view>

#include "config/haproxy.h"
#include "config/reload.h"
#include "logging/log.h"
#include "node/node.h"
#include "node/supervisor.h"

namespace {

using millethollow::Config;
using millethollow::Level;
using millethollow::Role;

constexpr std::string_view kUsage =
    "usage: millethollow [--config FILE] [--also FILE] [--check]\n"
    "       --also FILE: adds the section 'scheduling' to what the platform gives\n"
    "       millethollow import-haproxy FILE    writes an operator's file to standard output";

int Complain(const std::string& why) {
  std::cerr << "millethollow: " << why << std::endl;
  return 1;
}

int Import(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  if (!in || !(text << in.rdbuf())) return Complain("cannot read " + path);
  millethollow::Import import;
  std::string why;
  if (!millethollow::ImportHaproxy(text.str(), &import, &why)) return Complain(path + ": " + why);
  for (const std::string& note : import.notes) std::cerr << path << ": " << note << "\n";
  std::cout << import.config;
  return 0;
}

int RunNode(const Config& config, Role role, const std::string& path) {
  try {
    millethollow::Node node(config, role);
    std::string why;
    if (!node.Start(&why)) return Complain(why);
    node.CatchSignals(path);
    node.Run();
    node.PrintCounters(std::clog);
  } catch (const std::exception& e) {
    return Complain(std::string("cannot go on: ") + e.what());
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::string path, also;
  bool check = false;
  if (argc == 3 && std::string_view(argv[1]) == "import-haproxy") return Import(argv[2]);
  for (int i = 1; i < argc; ++i) {
    const std::string_view arg = argv[i];
    if (arg == "--config" && i + 1 < argc) {
      path = argv[++i];
    } else if (arg == "--also" && i + 1 < argc) {
      also = argv[++i];
    } else if (arg == "--check") {
      check = true;
    } else {
      return Complain(std::string(kUsage));
    }
  }
  Config config;
  config.also = also;
  std::string why;
  if (!millethollow::LoadConfig(path, &config, &why)) return Complain(why);
  if (check) return 0;
  millethollow::LogLevel() = millethollow::ParseLogLevel(config.log_level);
  // Held back until someone is there to catch it: a reload that comes early must not end us.
  sigset_t reload;
  sigemptyset(&reload);
  sigaddset(&reload, SIGHUP);
  sigprocmask(SIG_BLOCK, &reload, nullptr);
  if (config.link.empty()) return RunNode(config, {}, path);
  return millethollow::Supervise(
      config.planners, config.forwarders, [&](Role role) { return RunNode(config, role, path); },
      // What is started again later starts by the new file.
      [&] {
        millethollow::ClassChanges changes;
        if (millethollow::ReloadConfig(
                path, [](int) { return false; }, &config, &changes, &why)) {
          return true;
        }
        millethollow::LogLine(Level::kError) << why << "; the old one stays";
        return false;
      });
}
