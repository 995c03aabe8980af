#include "config/json_object.h"

namespace millethollow {
namespace {

constexpr int kMaxNesting = 64;

}  // namespace

std::optional<nlohmann::json> ParseJsonObject(std::string_view text, std::string* error) {
  bool too_deep = false;
  const auto keep = [&too_deep](int depth, nlohmann::json::parse_event_t, const nlohmann::json&) {
    too_deep |= depth > kMaxNesting;
    return depth <= kMaxNesting;
  };
  nlohmann::json root = nlohmann::json::parse(text, keep, false, true);
  if (too_deep) {
    *error = "configuration: values are nested too deeply";
    return std::nullopt;
  }
  if (!root.is_object()) {
    *error = "configuration: not a JSON object";
    return std::nullopt;
  }
  return root;
}

}  // namespace millethollow
