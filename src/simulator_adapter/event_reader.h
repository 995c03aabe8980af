// Converts messages of the simulator to events of the decision module. event_reader.cpp has a table
// of the names on the wire and in the code.
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

// Reads an entry of an endpoint list.
Result<balancing::Endpoint> ReadEndpoint(const Fields& fields);

// Reads the messages that are events of one dispatcher.
class EventReader {
 public:
  // `lists`: the endpoint lists that messages refer to; must outlive the reader.
  explicit EventReader(const EndpointLists* lists) : lists_(lists) {}

  // Returns the event of a message; nullopt for a message that the decision module does not use.
  // The event holds views of the line and of this reader, which are valid until the next call.
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
  std::string peer_message_;  // decoded body of the last PeerMessage, which refers to it
};

}  // namespace millethollow::simulator_adapter

#endif  // MILLETHOLLOW_SIMULATOR_ADAPTER_EVENT_READER_H_
