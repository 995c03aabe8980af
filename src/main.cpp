// millethollow: reads its configuration and runs a node, the processes of a two-level deployment,
// or the importer.
#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
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

// Prints an error for the operator. Returns the exit status.
int Complain(const std::string& error) {
  std::cerr << "millethollow: " << error << std::endl;
  return 1;
}

// The command `import-haproxy`.
int Import(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  if (!in || !(text << in.rdbuf())) return Complain("cannot read " + path);
  millethollow::Import import;
  std::string error;
  if (!millethollow::ImportHaproxy(text.str(), &import, &error))
    return Complain(path + ": " + error);
  for (const std::string& note : import.notes) std::cerr << path << ": " << note << "\n";
  std::cout << import.config;
  return 0;
}

int RunNode(const Config& config, Role role, const std::string& path) {
  try {
    millethollow::Node node(config, role);
    if (const millethollow::Status started = node.Start(); !started) {
      return Complain(started.error().message);
    }
    node.CatchSignals(path);
    node.Run();
    node.PrintCounters(std::clog);
  } catch (const std::exception& e) {
    return Complain(std::string("cannot go on: ") + e.what());
  }
  return 0;
}

struct Arguments {
  std::string config_path, also_path;
  bool check_only = false;
};

// None: they are not those of kUsage.
std::optional<Arguments> ParseArguments(int argc, char** argv) {
  Arguments arguments;
  for (int i = 1; i < argc; ++i) {
    const std::string_view arg = argv[i];
    if (arg == "--config" && i + 1 < argc) {
      arguments.config_path = argv[++i];
    } else if (arg == "--also" && i + 1 < argc) {
      arguments.also_path = argv[++i];
    } else if (arg == "--check") {
      arguments.check_only = true;
    } else {
      return std::nullopt;
    }
  }
  return arguments;
}

// SIGHUP stays blocked until a handler is installed: by default it ends the process.
void BlockReloadSignal() {
  sigset_t reload;
  sigemptyset(&reload);
  sigaddset(&reload, SIGHUP);
  sigprocmask(SIG_BLOCK, &reload, nullptr);
}

// For the supervisor: processes that are restarted later use the new file.
bool Reload(const std::string& path, Config* config) {
  millethollow::ClassChanges changes;
  std::string reason;
  const auto in_use = [](int) { return false; };
  if (millethollow::ReloadConfig(path, in_use, config, &changes, &reason)) return true;
  millethollow::LogLine(Level::kError) << "config-rejected reason=\"" << reason << '"';
  return false;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 3 && std::string_view(argv[1]) == "import-haproxy") return Import(argv[2]);
  const std::optional<Arguments> arguments = ParseArguments(argc, argv);
  if (!arguments) return Complain(std::string(kUsage));
  const std::string& path = arguments->config_path;
  Config config;
  config.also = arguments->also_path;
  std::string reason;
  if (!millethollow::LoadConfig(path, &config, &reason)) return Complain(reason);
  if (arguments->check_only) return 0;
  millethollow::LogLevel() = millethollow::ParseLogLevel(config.log_level);
  BlockReloadSignal();
  if (config.link_directory.empty()) return RunNode(config, {}, path);
  return millethollow::Supervise(
      config.planners, config.forwarders, [&](Role role) { return RunNode(config, role, path); },
      [&] { return Reload(path, &config); });
}
