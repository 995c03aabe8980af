// The bench's wire: parsing, formatting, base64, settings. No decision is made here.
#ifndef MILLETHOLLOW_SIMULATOR_ADAPTER_ADAPTER_H_
#define MILLETHOLLOW_SIMULATOR_ADAPTER_ADAPTER_H_

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "millethollow/balancing/load_balancer.h"
#include "scheduling/scheduling_balancer.h"

namespace millethollow::simulator_adapter {
using namespace balancing;  // NOLINT

using Fields = std::vector<std::pair<std::string_view, std::string_view>>;

// Splits `line` at single spaces into its name and name=value pairs. A part without '=' makes it
// malformed.
bool Split(std::string_view line, std::string_view* name, Fields* pairs);

bool ParseNumber(std::string_view text, double* value);  // finite numbers only
bool ParseInteger(std::string_view text, std::int64_t* value);
bool ParseToken(std::string_view text, std::uint64_t* value);
std::optional<std::string> DecodeBase64(std::string_view text);  // '-' is the empty string
std::string EncodeBase64(std::string_view bytes);
std::string FormatSeconds(double seconds);

// Reads settings from START's pairs; unknown ones are ignored. False, with `why`, if a value is
// bad.
bool ParseSettings(const Fields& pairs, Settings* settings, std::string* why);

// Hosts any number of instances behind the wire. Each instance is a Balancer of its own.
class Host {
 public:
  explicit Host(std::ostream* errors, millethollow::scheduling::Options options = {})
      : errors_(errors), options_(std::move(options)) {}

  // Takes one line of input. Returns false when framing is lost and nothing more can be read.
  bool Line(std::string_view line);
  // The reply to the batch just closed, if there is one; taken once.
  bool TakeReply(std::string* reply);
  bool InBatch() const { return in_batch_; }

 private:
  struct Instance {
    std::unique_ptr<millethollow::scheduling::SchedulingBalancer> balancer;
  };

  void HandleLine(std::string_view name, std::string_view line);
  void HandleEntry(std::string_view line);
  void Complain(std::string_view line, std::string_view what);
  bool Need(std::string_view line, std::string_view key, std::string_view* value);
  bool NeedId(std::string_view line, std::string_view key, std::int64_t* value);
  std::string_view Get(std::string_view key) const;
  bool Optional(std::string_view line, std::string_view key, double* value);
  bool OptionalInt(std::string_view line, std::string_view key, std::int64_t* value);
  bool ReadReport(std::string_view line, bool* has, double (&values)[4]);
  void Deliver(std::int64_t instance, const Event& event);
  void Write(std::int64_t instance, const Action& action);

  std::ostream* errors_;
  millethollow::scheduling::Options options_;
  bool in_batch_ = false, replied_ = false;
  double now_ = 0;
  std::uint64_t line_number_ = 0;
  std::map<std::int64_t, Instance> instances_;
  std::array<std::vector<Endpoint>, 16> lists_;
  std::array<bool, 16> list_known_{};
  std::int64_t entries_left_ = 0;
  std::size_t filling_ = 0;
  Fields pairs_;
  Actions actions_;
  std::string reply_;
};

}  // namespace millethollow::simulator_adapter

#endif  // MILLETHOLLOW_SIMULATOR_ADAPTER_ADAPTER_H_
