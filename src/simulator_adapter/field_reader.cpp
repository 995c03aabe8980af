#include "simulator_adapter/field_reader.h"

namespace millethollow::simulator_adapter {

std::string_view FieldReader::TextOrEmpty(std::string_view name) const {
  for (const auto& [field, value] : fields_) {
    if (field == name) return value;
  }
  return {};
}

std::string_view FieldReader::RequiredText(std::string_view name) {
  const std::string_view text = TextOrEmpty(name);
  if (text.empty()) Fail("missing field '" + std::string(name) + "'");
  return text;
}

double FieldReader::RequiredNumber(std::string_view name) {
  RequiredText(name);
  return NumberOr(name, 0);
}

double FieldReader::NumberOr(std::string_view name, double default_value) {
  const std::string_view text = TextOrEmpty(name);
  if (text.empty()) return default_value;
  const std::optional<double> value = ParseNumber(text);
  if (!value) FailNumber(name);
  return value.value_or(default_value);
}

std::int64_t FieldReader::RequiredInteger(std::string_view name) {
  const std::optional<std::int64_t> value = ParseInteger(RequiredText(name));
  if (!value) FailNumber(name);
  return value.value_or(0);
}

int FieldReader::IntOr(std::string_view name, int default_value) {
  if (TextOrEmpty(name).empty()) return default_value;
  return RequiredInt(name);
}

std::uint64_t FieldReader::RequiredUnsigned(std::string_view name) {
  const std::optional<std::uint64_t> value = ParseUnsigned(TextOrEmpty(name));
  if (!value) Fail("missing or bad '" + std::string(name) + "'");
  return value.value_or(0);
}

void FieldReader::Fail(std::string message) {
  if (ok()) status_ = MakeError(ErrorCode::kInvalidArgument, std::move(message));
}

void FieldReader::FailNumber(std::string_view name) {
  Fail("bad number in '" + std::string(name) + "'");
}

}  // namespace millethollow::simulator_adapter
