#include "scale/report.h"

#include <ctime>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace millethollow::scale {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kSignificantDigits = 4;  // In the table.
constexpr std::size_t kColumnGapChars = 2;

std::string FormatNumber(double value) {
  std::ostringstream out;
  const bool is_integer = value == static_cast<double>(static_cast<long long>(value));
  if (is_integer) {
    out << static_cast<long long>(value);
  } else {
    out << std::setprecision(kSignificantDigits) << value;
  }
  return out.str();
}

std::string FormatCurrentUtcTime() {
  const std::time_t now = std::time(nullptr);
  std::tm utc{};
  gmtime_r(&now, &utc);
  std::ostringstream out;
  out << std::put_time(&utc, "%FT%TZ");
  return out.str();
}

Json PointToJson(const Point& point) {
  Json json = Json::object();
  for (const Figure& figure : point.figures) json[figure.name] = figure.value;
  return json;
}

Json TrendToJson(const Trend& trend) {
  return {{"figure", trend.figure},
          {"over", trend.over},
          {"unit", trend.unit},
          {"slope", trend.line.slope},
          {"intercept", trend.line.intercept},
          {"from", trend.line.from},
          {"to", trend.line.to},
          {"largest_residual_over_mean", trend.line.relative_error}};
}

Json AxisToJson(const AxisResult& result, const RunParameters& parameters) {
  Json points = Json::array();
  Json units = Json::object();
  Json measured = Json::array();
  Json trends = Json::array();
  for (const Point& point : result.points) points.push_back(PointToJson(point));
  if (!result.points.empty()) {
    for (const Figure& figure : result.points.front().figures) {
      units[figure.name] = figure.unit;
      if (figure.source == Source::kMeasured) measured.push_back(figure.name);
    }
  }
  for (const Trend& trend : result.trends) trends.push_back(TrendToJson(trend));
  return {{"command", result.command},   {"taken_at", FormatCurrentUtcTime()},
          {"seed", parameters.seed},     {"short", parameters.is_short},
          {"units", std::move(units)},   {"measured", std::move(measured)},
          {"points", std::move(points)}, {"slopes", std::move(trends)},
          {"failures", result.failures}, {"table", FormatTable(result)}};
}

Json ReadResultsOrEmpty(const std::string& path) {
  std::ifstream file(path);
  Json json = Json::parse(file, nullptr, false);
  if (!json.is_object() || !json.contains("axes") || !json["axes"].is_object()) {
    return {{"axes", Json::object()}};
  }
  return json;
}

bool WriteFile(const std::string& path, const std::string& text, std::string* error) {
  std::ofstream file(path, std::ios::trunc);
  file << text;
  file.close();
  if (file) return true;
  *error = "scale: cannot write " + path;
  return false;
}

// Formats rows of cells, each column as wide as its widest cell.
std::string AlignColumns(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::ostringstream out;
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      out << std::setw(static_cast<int>(widths[i] + kColumnGapChars)) << row[i];
    }
    out << "\n";
  }
  return out.str();
}

}  // namespace

std::string PointToText(const Point& point) {
  Json figures = Json::array();
  for (const Figure& figure : point.figures) {
    figures.push_back({figure.name, figure.unit, figure.value, figure.source == Source::kMeasured});
  }
  return figures.dump();
}

std::optional<Point> PointFromText(std::string_view text) {
  const Json figures = Json::parse(text, nullptr, false);
  if (!figures.is_array()) return std::nullopt;
  Point point;
  for (const Json& figure : figures) {
    const bool measured = figure.at(3).get<bool>();
    point.figures.push_back({figure.at(0).get<std::string>(), figure.at(1).get<std::string>(),
                             figure.at(2).get<double>(),
                             measured ? Source::kMeasured : Source::kComputed});
  }
  return point;
}

std::string FormatTable(const AxisResult& result) {
  // One column per size and one row per figure, since there are more figures than sizes.
  std::vector<std::vector<std::string>> rows;
  if (!result.points.empty()) {
    for (const Figure& reference : result.points.front().figures) {
      std::vector<std::string> row{reference.name + " [" + reference.unit + "]"};
      for (const Point& point : result.points) {
        const Figure* figure = point.Find(reference.name);
        row.push_back(figure == nullptr ? "-" : FormatNumber(figure->value));
      }
      rows.push_back(std::move(row));
    }
  }
  std::ostringstream out;
  out << result.name << "  (" << result.command << ")\n" << AlignColumns(rows);
  for (const Trend& trend : result.trends) {
    out << "  slope of " << trend.figure << ": " << FormatNumber(trend.line.slope) << " "
        << trend.unit << ", from " << FormatNumber(trend.line.from) << " to "
        << FormatNumber(trend.line.to) << ", largest residual "
        << FormatNumber(trend.line.relative_error) << " of the mean\n";
  }
  for (const std::string& failure : result.failures) out << "  FAILED: " << failure << "\n";
  return out.str();
}

bool WriteResult(const AxisResult& result, const RunParameters& parameters,
                 const std::string& json_path, const std::string& table_path, std::string* error) {
  Json root = ReadResultsOrEmpty(json_path);
  root["axes"][result.name] = AxisToJson(result, parameters);
  std::string table;
  for (const auto& [name, axis] : root["axes"].items()) {
    table += axis.value("table", std::string()) + "\n";
  }
  return WriteFile(json_path, root.dump(1) + "\n", error) && WriteFile(table_path, table, error);
}

}  // namespace millethollow::scale
