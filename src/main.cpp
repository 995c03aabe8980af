// millethollow: reads its configuration and runs one node until it is told to stop.
#include <iostream>
#include <string>
#include <string_view>

#include "log.h"
#include "node.h"

namespace {

int Complain(const std::string& why) {
  std::cerr << "millethollow: " << why << std::endl;
  return 1;
}

}  // namespace

int main(int argc, char** argv) {
  std::string path;
  bool check = false;
  for (int i = 1; i < argc; ++i) {
    const std::string_view arg = argv[i];
    if (arg == "--config" && i + 1 < argc) {
      path = argv[++i];
    } else if (arg == "--check") {
      check = true;
    } else {
      return Complain("usage: millethollow [--config FILE] [--check]");
    }
  }
  millethollow::Config config;
  std::string why;
  if (!millethollow::LoadConfig(path, &config, &why)) return Complain(why);
  if (check) return 0;
  using millethollow::Level;
  millethollow::LogLevel() = config.log_level == "error"   ? Level::kError
                             : config.log_level == "warn"  ? Level::kWarn
                             : config.log_level == "debug" ? Level::kDebug
                                                           : Level::kInfo;
  try {
    millethollow::Node node(std::move(config));
    if (!node.Start(&why)) return Complain(why);
    node.CatchSignals();
    node.Run();
    node.PrintCounters(std::clog);
  } catch (const std::exception& e) {
    return Complain(std::string("cannot go on: ") + e.what());
  }
  return 0;
}
