// Results as JSON and as a table for people.
#ifndef MILLETHOLLOW_BENCH_SCALE_REPORT_H_
#define MILLETHOLLOW_BENCH_SCALE_REPORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "scale/figures.h"

namespace millethollow::scale {

// A point on its way from a child process.
std::string PointToText(const Point& point);
std::optional<Point> PointFromText(std::string_view text);

struct RunNotes {
  std::uint64_t seed = 0;
  bool is_short = false;
};

// Puts the axis into the JSON file and writes the table of all axes in it. Axes that the file held
// before and that are not this one stay. False, with `error`, where a file can't be written.
bool WriteResult(const AxisResult& result, const RunNotes& notes, const std::string& json_path,
                 const std::string& table_path, std::string* error);

// The table of one axis.
std::string TableOf(const AxisResult& result);

}  // namespace millethollow::scale

#endif  // MILLETHOLLOW_BENCH_SCALE_REPORT_H_
