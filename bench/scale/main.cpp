// Command line program of the scale tests: measures one axis or all and writes the results.
#include <CLI/CLI.hpp>
#include <cstdio>

#include "scale/axes.h"
#include "scale/process.h"
#include "scale/report.h"

namespace {

using namespace millethollow::scale;

constexpr std::size_t kRequiredMemoryBytes = 2048 * kMebibyte;
constexpr std::size_t kRequiredMemoryShortBytes = 1024 * kMebibyte;
constexpr char kAllAxes[] = "all";

struct Arguments {
  std::string axis = kAllAxes;
  std::string json_path = "scale.json";
  std::string table_path = "scale.txt";
  AxisOptions options;
};

std::vector<Axis> SelectAxes(const std::string& name) {
  std::vector<Axis> selected;
  for (const Axis& axis : AllAxes()) {
    if (name == kAllAxes || name == axis.name) selected.push_back(axis);
  }
  return selected;
}

// Runs the axis and writes its result. Returns false if a measurement or a file failed.
bool RunAndWrite(const Axis& axis, const Arguments& arguments) {
  const AxisResult result = axis.run(arguments.options);
  std::fputs(FormatTable(result).c_str(), stdout);
  std::fflush(stdout);
  std::string error;
  const RunParameters parameters{arguments.options.seed, arguments.options.is_short};
  if (!WriteResult(result, parameters, arguments.json_path, arguments.table_path, &error)) {
    std::fprintf(stderr, "%s\n", error.c_str());
    return false;
  }
  return result.failures.empty() && !result.points.empty();
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  CLI::App app{"Measures how the program's parts grow with the size of a fleet."};
  std::vector<std::string> names{kAllAxes};
  for (const Axis& axis : AllAxes()) names.push_back(axis.name);
  app.add_option("--axis", arguments.axis, "axis to measure, or all")->check(CLI::IsMember(names));
  app.add_flag("--short", arguments.options.is_short,
               "small sizes, for continuous integration; under a minute");
  app.add_option("--seed", arguments.options.seed, "seed of all random numbers");
  app.add_option("--json", arguments.json_path, "JSON output; other axes in the file are kept");
  app.add_option("--out", arguments.table_path, "table output");
  CLI11_PARSE(app, argc, argv);
  const std::size_t required_bytes =
      arguments.options.is_short ? kRequiredMemoryShortBytes : kRequiredMemoryBytes;
  const std::string memory_shortage = MemoryShortageMessage(AvailableMemory(), required_bytes);
  if (!memory_shortage.empty()) {
    std::fprintf(stderr, "%s\n", memory_shortage.c_str());
    return 2;
  }
  bool succeeded = true;
  for (const Axis& axis : SelectAxes(arguments.axis)) {
    succeeded = RunAndWrite(axis, arguments) && succeeded;
  }
  return succeeded ? 0 : 1;
}
