// Reads JSON text in place: a value is a part of the text, and no tree is built. The depth and the
// number of nested values, which the sender chooses, decide neither the depth of recursion nor the
// memory used.
#ifndef MILLETHOLLOW_ENCODING_JSON_VALUE_H_
#define MILLETHOLLOW_ENCODING_JSON_VALUE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace millethollow::encoding {

// A value within a valid JSON text, which must outlive it.
class JsonValue {
 public:
  // The value that `text` consists of; nullopt if it is not valid JSON.
  static std::optional<JsonValue> Parse(std::string_view text);

  bool is_object() const { return text_.front() == '{'; }
  bool is_array() const { return text_.front() == '['; }
  bool is_string() const { return text_.front() == '"'; }
  bool is_number() const { return text_.front() == '-' || IsDigit(text_.front()); }
  bool is_integer() const;
  // The value as it stands in the text.
  std::string_view text() const { return text_; }
  // These return nullopt if the value is of another type.
  std::optional<std::string> String() const;
  std::optional<double> Number() const;
  std::optional<bool> Boolean() const;
  // The last member of this name; nullopt if there is none, or if this is not an object.
  std::optional<JsonValue> Find(std::string_view name) const;
  // Calls `each(name, value)` for each member of an object, `name` being a std::string.
  template <typename Each>
  void ForEachMember(Each each) const {
    if (!is_object()) return;
    for (Scanner scanner(text_); scanner.NextItem();) {
      const JsonValue name = scanner.TakeValue();
      scanner.SkipColon();
      each(*name.String(), scanner.TakeValue());
    }
  }
  // Calls `each(value)` for each element of an array until it returns false.
  template <typename Each>
  void ForEachElement(Each each) const {
    if (!is_array()) return;
    for (Scanner scanner(text_); scanner.NextItem();) {
      if (!each(scanner.TakeValue())) return;
    }
  }

 private:
  // Steps through the items of an object or array.
  class Scanner {
   public:
    explicit Scanner(std::string_view structured) : rest_(structured.substr(1)) {}
    // Moves to the next item. Returns false at the end.
    bool NextItem();
    JsonValue TakeValue();
    void SkipColon();

   private:
    void SkipSpace();
    std::string_view rest_;
  };
  static bool IsDigit(char c) { return c >= '0' && c <= '9'; }
  explicit JsonValue(std::string_view text) : text_(text) {}

  std::string_view text_;  // without surrounding white space, so never empty
};

}  // namespace millethollow::encoding

#endif  // MILLETHOLLOW_ENCODING_JSON_VALUE_H_
