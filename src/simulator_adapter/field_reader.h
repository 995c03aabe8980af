// Typed access to the fields of one message.
#ifndef MILLETHOLLOW_SIMULATOR_ADAPTER_FIELD_READER_H_
#define MILLETHOLLOW_SIMULATOR_ADAPTER_FIELD_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "millethollow/error.h"
#include "simulator_adapter/wire_line.h"

namespace millethollow::simulator_adapter {

// Reads fields by name and remembers the first that is missing or has a bad value: status() says
// which. Reads after that return values that mean nothing, so a caller checks once, at the end. An
// empty value counts as missing. Of two fields with one name the first counts.
class FieldReader {
 public:
  // `fields` must outlive the reader.
  explicit FieldReader(const Fields& fields) : fields_(fields) {}

  // The value; empty if the field is missing, which is no error.
  std::string_view TextOrEmpty(std::string_view name) const;
  std::string_view RequiredText(std::string_view name);

  double RequiredNumber(std::string_view name);
  double NumberOr(std::string_view name, double otherwise);

  std::int64_t RequiredInteger(std::string_view name);
  // These two cut the value to an int.
  int RequiredInt(std::string_view name) { return static_cast<int>(RequiredInteger(name)); }
  int IntOr(std::string_view name, int otherwise);
  std::uint64_t RequiredUnsigned(std::string_view name);
  // Whether the value is 1.
  bool IsSet(std::string_view name) const { return TextOrEmpty(name) == "1"; }

  // A name that must be in `table`; `error` says that it is not.
  template <typename T, std::size_t N>
  T RequiredName(std::string_view name, const NamedValue<T> (&table)[N], std::string_view error) {
    const std::string_view text = RequiredText(name);
    const std::optional<T> value = FindByName(table, text);
    if (!value) Fail(std::string(error));
    return value.value_or(T{});
  }

  // For errors that the caller finds; only the first one is kept.
  void Fail(std::string message);
  bool ok() const { return status_.has_value(); }
  const Status& status() const { return status_; }

 private:
  void FailNumber(std::string_view name);

  const Fields& fields_;
  Status status_;
};

}  // namespace millethollow::simulator_adapter

#endif  // MILLETHOLLOW_SIMULATOR_ADAPTER_FIELD_READER_H_
