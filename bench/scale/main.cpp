// The scale tests' program: runs one axis or all, and writes what it found.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "scale/axes.h"
#include "scale/process.h"
#include "scale/report.h"

namespace {

using namespace millethollow::scale;

constexpr std::size_t kNeededMemory = 2048 * kMebibyte;
constexpr std::size_t kNeededMemoryShort = 1024 * kMebibyte;
constexpr char kAll[] = "all";

struct Arguments {
  std::string axis = kAll;
  std::string json_path = "scale.json";
  std::string table_path = "scale.txt";
  AxisOptions options;
};

std::vector<Axis> ChosenAxes(const std::string& name) {
  std::vector<Axis> chosen;
  for (const Axis& axis : AllAxes()) {
    if (name == kAll || name == axis.name) chosen.push_back(axis);
  }
  return chosen;
}

// Runs the axis and writes its result. False where a point or a file failed.
bool RunAndWrite(const Axis& axis, const Arguments& arguments) {
  const AxisResult result = axis.run(arguments.options);
  std::fputs(TableOf(result).c_str(), stdout);
  std::fflush(stdout);
  std::string error;
  const RunNotes notes{arguments.options.seed, arguments.options.is_short};
  if (!WriteResult(result, notes, arguments.json_path, arguments.table_path, &error)) {
    std::fprintf(stderr, "%s\n", error.c_str());
    return false;
  }
  return result.failures.empty() && !result.points.empty();
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  CLI::App app{"Measures how the program's parts grow with the size of a fleet."};
  std::vector<std::string> names{kAll};
  for (const Axis& axis : AllAxes()) names.push_back(axis.name);
  app.add_option("--axis", arguments.axis, "which axis")->check(CLI::IsMember(names));
  app.add_flag("--short", arguments.options.is_short, "small sizes, within a minute");
  app.add_option("--seed", arguments.options.seed, "of all that is drawn");
  app.add_option("--json", arguments.json_path, "figures; other axes in the file stay");
  app.add_option("--out", arguments.table_path, "the same as a table");
  CLI11_PARSE(app, argc, argv);
  const std::size_t needed = arguments.options.is_short ? kNeededMemoryShort : kNeededMemory;
  const std::string refusal = RefusalForMemory(AvailableMemory(), needed);
  if (!refusal.empty()) {
    std::fprintf(stderr, "%s\n", refusal.c_str());
    return 2;
  }
  bool good = true;
  for (const Axis& axis : ChosenAxes(arguments.axis)) {
    good = RunAndWrite(axis, arguments) && good;
  }
  return good ? 0 : 1;
}
