// From messages of the simulator to events of the decision module. The table of the wire's names
// and the code's is in event_reader.cpp.
#ifndef MILLETHOLLOW_SIMULATOR_ADAPTER_EVENT_READER_H_
#define MILLETHOLLOW_SIMULATOR_ADAPTER_EVENT_READER_H_

#include <optional>
#include <string>
#include <string_view>

#include "millethollow/balancing/load_balancer.h"
#include "millethollow/error.h"
#include "simulator_adapter/endpoint_lists.h"
#include "simulator_adapter/field_reader.h"
#include "simulator_adapter/wire_line.h"

namespace millethollow::simulator_adapter {

// An entry of an endpoint list.
Result<balancing::Endpoint> ReadEndpoint(const Fields& fields);

// Reads the messages that are events of one dispatcher.
class EventReader {
 public:
  // `lists`: the endpoint lists that messages refer to; must outlive the reader.
  explicit EventReader(const EndpointLists* lists) : lists_(lists) {}

  // The event of a message; none for a message that the decision module has no use for. The event
  // holds views of the line and of this reader, which are valid until the next call.
  Result<std::optional<balancing::Event>> Read(const WireLine& line);

 private:
  using MaybeEvent = std::optional<balancing::Event>;
  using Handler = MaybeEvent (EventReader::*)(FieldReader* fields);

  static std::optional<Handler> FindHandler(std::string_view message);
  MaybeEvent ReadRequestArrived(FieldReader* fields);
  MaybeEvent ReadStreamStarted(FieldReader* fields);
  MaybeEvent ReadAttemptProgress(FieldReader* fields);
  MaybeEvent ReadAttemptEnded(FieldReader* fields);
  MaybeEvent ReadRequestCancelled(FieldReader* fields);
  MaybeEvent ReadTimerFired(FieldReader* fields);
  MaybeEvent ReadProbeAnswered(FieldReader* fields);
  MaybeEvent ReadPeerMessage(FieldReader* fields);
  MaybeEvent ReadEndpointsUpdated(FieldReader* fields);

  const EndpointLists* lists_;
  std::string peer_message_;  // decoded; the event refers to it
};

}  // namespace millethollow::simulator_adapter

#endif  // MILLETHOLLOW_SIMULATOR_ADAPTER_EVENT_READER_H_
