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

// Reads fields by name. status() holds the first error, such as a missing field or a malformed
// value. Results after an error are meaningless, so a caller checks once, at the end. An empty
// value counts as missing. Of several fields with one name the first counts.
class FieldReader {
 public:
  // `fields` must outlive the reader.
  explicit FieldReader(const Fields& fields) : fields_(fields) {}

  // The value; empty if the field is missing, which is not an error.
  std::string_view TextOrEmpty(std::string_view name) const;
  // The Required functions fail if the field is missing or malformed. The Or functions return the
  // default if it is missing and fail if it is malformed.
  std::string_view RequiredText(std::string_view name);

  double RequiredNumber(std::string_view name);
  double NumberOr(std::string_view name, double default_value);

  std::int64_t RequiredInteger(std::string_view name);
  // The next two truncate the value to an int.
  int RequiredInt(std::string_view name) { return static_cast<int>(RequiredInteger(name)); }
  int IntOr(std::string_view name, int default_value);
  std::uint64_t RequiredUnsigned(std::string_view name);
  // Whether the value is 1.
  bool IsSet(std::string_view name) const { return TextOrEmpty(name) == "1"; }

  // The value that `table` has for the field's text. Fails with `error` for a text that is not in
  // the table.
  template <typename T, std::size_t N>
  T RequiredName(std::string_view name, const NamedValue<T> (&table)[N], std::string_view error) {
    const std::string_view text = RequiredText(name);
    const std::optional<T> value = FindByName(table, text);
    if (!value) Fail(std::string(error));
    return value.value_or(T{});
  }

  // Records an error that the caller found; only the first error is kept.
  void Fail(std::string message);
  // Whether there was no error.
  bool ok() const { return status_.has_value(); }
  const Status& status() const { return status_; }

 private:
  void FailNumber(std::string_view name);

  const Fields& fields_;
  Status status_;
};

}  // namespace millethollow::simulator_adapter

#endif  // MILLETHOLLOW_SIMULATOR_ADAPTER_FIELD_READER_H_
