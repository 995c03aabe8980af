// Runs decision modules behind the simulator's line protocol. No decision is made here.
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

// Any number of instances, each a decision module with the scheduler before it. Input comes in
// batches of lines (TURN to YOUR_TURN), each of which is answered at its end. A line that can't be
// used is reported and skipped.
class Adapter {
 public:
  // `errors`: where bad input is reported, one line each; must outlive the adapter. `options`: of
  // the scheduler of each instance.
  explicit Adapter(std::ostream* errors, scheduling::Options options = {})
      : errors_(errors), options_(std::move(options)) {}

  // Takes one line of input. False when the bounds of batches are lost and no further line can be
  // understood.
  bool HandleLine(std::string_view text);
  // The reply to the batch that was closed last, once; none if no batch was closed since.
  std::optional<std::string> TakeReply();
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
  scheduling::Options options_;
  Instances instances_;
  EndpointLists lists_;
  EventReader event_reader_{&lists_};
  bool in_batch_ = false;
  double now_s_ = 0;  // the simulator's clock at the batch
  std::uint64_t line_number_ = 0;
  WireLine line_;  // the one in hand
  balancing::Actions actions_;
  std::string reply_;
  bool reply_ready_ = false;
};

}  // namespace millethollow::simulator_adapter

#endif  // MILLETHOLLOW_SIMULATOR_ADAPTER_ADAPTER_H_
