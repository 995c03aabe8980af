// Writes results as JSON and as a text table.
#ifndef MILLETHOLLOW_BENCH_SCALE_REPORT_H_
#define MILLETHOLLOW_BENCH_SCALE_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "scale/figures.h"

namespace millethollow::scale {

// Serialization of a point that a child process returns to its parent.
std::string PointToText(const Point& point);
std::optional<Point> PointFromText(std::string_view text);

// Parameters of the run that are recorded with its results.
struct RunParameters {
  std::uint64_t seed = 0;
  bool is_short = false;
};

// Replaces this axis in the JSON file, keeps the other axes in it, and writes the table of all
// axes. Returns false and sets `error` if a file cannot be written.
bool WriteResult(const AxisResult& result, const RunParameters& parameters,
                 const std::string& json_path, const std::string& table_path, std::string* error);

// The table of one axis as text.
std::string FormatTable(const AxisResult& result);

}  // namespace millethollow::scale

#endif  // MILLETHOLLOW_BENCH_SCALE_REPORT_H_
