// Connects decision modules to the simulator's line protocol. It only translates; it makes no
// load-balancing decision.
#ifndef MILLETHOLLOW_SIMULATOR_ADAPTER_ADAPTER_H_
#define MILLETHOLLOW_SIMULATOR_ADAPTER_ADAPTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

#include "millethollow/balancing/load_balancer.h"
#include "millethollow/error.h"
#include "scheduling/scheduling_balancer.h"
#include "simulator_adapter/endpoint_lists.h"
#include "simulator_adapter/event_reader.h"
#include "simulator_adapter/wire_line.h"

namespace millethollow::simulator_adapter {

// Runs any number of instances, each a decision module behind its scheduler. Input comes in batches
// of lines, from TURN to YOUR_TURN, each of which has one reply. Malformed lines are reported and
// skipped.
class Adapter {
 public:
  // `errors`: receives one line for each malformed input line; must outlive the adapter. `options`:
  // the scheduler options of each instance.
  explicit Adapter(std::ostream* errors, scheduling::Options options = {})
      : errors_(errors), scheduler_options_(std::move(options)) {}

  // Handles one line of input. Returns false once the bounds of batches are lost, so that no
  // further line can be interpreted.
  bool HandleLine(std::string_view text);
  // Returns the reply to the batch that ended last, once; nullopt if no batch ended since.
  std::optional<std::string> TakeReply();
  // Whether a batch has begun and not ended.
  bool in_batch() const { return in_batch_; }

 private:
  using Instances = std::map<std::int64_t, std::unique_ptr<scheduling::SchedulingBalancer>>;

  bool BeginBatch(std::string_view text);
  void EndBatch(std::string_view text);
  void HandleMessage(std::string_view text);
  Status HandleEndpoint();
  Status BeginEndpointList();
  Status HandleInstanceMessage();
  Status StartInstance(std::int64_t id);
  Status HandleEvent(std::int64_t id);
  void Deliver(std::int64_t id, scheduling::SchedulingBalancer* instance,
               const balancing::Event& event);
  void ReportError(std::string_view text, std::string_view error);

  std::ostream* errors_;
  scheduling::Options scheduler_options_;
  Instances instances_;
  EndpointLists endpoint_lists_;
  EventReader event_reader_{&endpoint_lists_};
  bool in_batch_ = false;
  double now_s_ = 0;  // the simulator's clock at the start of the batch, in seconds
  std::uint64_t line_number_ = 0;
  WireLine line_;  // the current line
  balancing::Actions actions_;
  std::string reply_;
  bool reply_ready_ = false;
};

}  // namespace millethollow::simulator_adapter

#endif  // MILLETHOLLOW_SIMULATOR_ADAPTER_ADAPTER_H_
