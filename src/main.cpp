// The program millethollow: runs a node, the planners and forwarders of a two-level deployment, or
// the HAProxy importer.
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
    "       --also FILE: reads the section 'scheduling' from this file too\n"
    "       millethollow import-haproxy FILE    writes a configuration to standard output";

// Prints an error to standard error. Returns the exit status.
int ReportError(const std::string& error) {
  std::cerr << "millethollow: " << error << std::endl;
  return 1;
}

// Runs the command `import-haproxy`. Returns the exit status.
int RunHaproxyImport(const std::string& path) {
  std::ifstream input(path);
  std::stringstream text;
  if (!input || !(text << input.rdbuf())) return ReportError("cannot read " + path);
  millethollow::HaproxyImport import;
  std::string error;
  if (!millethollow::ImportHaproxy(text.str(), &import, &error))
    return ReportError(path + ": " + error);
  for (const std::string& note : import.notes) std::cerr << path << ": " << note << "\n";
  std::cout << import.config;
  return 0;
}

// Runs a node until it is stopped. Returns the exit status.
int RunNode(const Config& config, Role role, const std::string& path) {
  try {
    millethollow::Node node(config, role);
    if (const millethollow::Status started = node.Start(); !started) {
      return ReportError(started.error().message);
    }
    node.CatchSignals(path);
    node.Run();
    node.PrintCounters(std::clog);
  } catch (const std::exception& exception) {
    return ReportError(std::string("fatal: ") + exception.what());
  }
  return 0;
}

// The command line.
struct Arguments {
  std::string config_path, scheduling_path;
  bool check_only = false;
};

// Returns nullopt for arguments that kUsage does not list.
std::optional<Arguments> ParseArguments(int argc, char** argv) {
  Arguments arguments;
  for (int i = 1; i < argc; ++i) {
    const std::string_view argument = argv[i];
    if (argument == "--config" && i + 1 < argc) {
      arguments.config_path = argv[++i];
    } else if (argument == "--also" && i + 1 < argc) {
      arguments.scheduling_path = argv[++i];
    } else if (argument == "--check") {
      arguments.check_only = true;
    } else {
      return std::nullopt;
    }
  }
  return arguments;
}

// Blocks SIGHUP until a handler is installed, since its default action ends the process.
void BlockReloadSignal() {
  sigset_t reload;
  sigemptyset(&reload);
  sigaddset(&reload, SIGHUP);
  sigprocmask(SIG_BLOCK, &reload, nullptr);
}

// Reloads the file for the supervisor, so that processes which it restarts use the new one.
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
  if (argc == 3 && std::string_view(argv[1]) == "import-haproxy") return RunHaproxyImport(argv[2]);
  const std::optional<Arguments> arguments = ParseArguments(argc, argv);
  if (!arguments) return ReportError(std::string(kUsage));
  const std::string& path = arguments->config_path;
  Config config;
  config.scheduling_path = arguments->scheduling_path;
  std::string reason;
  if (!millethollow::LoadConfig(path, &config, &reason)) return ReportError(reason);
  if (arguments->check_only) return 0;
  millethollow::LogLevel() = millethollow::ParseLogLevel(config.log_level);
  BlockReloadSignal();
  if (config.link_directory.empty()) return RunNode(config, {}, path);
  return millethollow::Supervise(
      config.planners, config.forwarders, [&](Role role) { return RunNode(config, role, path); },
      [&] { return Reload(path, &config); });
}
