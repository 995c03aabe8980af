#include "node/node_environment.h"

#include <utility>

#include "logging/log.h"

namespace millethollow {

void NodeEnvironment::Subscribe(bool enable) {
  if (components_.discovery != nullptr) components_.discovery->Subscribe(enable);
}

void NodeEnvironment::FetchEndpoints() {
  if (components_.discovery != nullptr) components_.discovery->Fetch();
}

bool NodeEnvironment::EndpointsOverdue() {
  return components_.discovery != nullptr && components_.discovery->IsOverdue();
}

void NodeEnvironment::SendPeerMessage(int recipient, const std::string& body) {
  if (recipient == components_.dispatcher_index) {  // the sibling process in a hot restart
    if (components_.hot_restart != nullptr) components_.hot_restart->SendPeerMessage(body);
  } else if (components_.peers != nullptr) {
    components_.peers->SendMessage(recipient, body);
  }
}

std::optional<balancing::FleetShare> NodeEnvironment::FleetShare() {
  if (!components_.in_cluster) return std::nullopt;
  return components_.member != nullptr ? components_.member->CurrentFleetShare()
                                       : balancing::FleetShare{};
}

void NodeEnvironment::OnWireIdReserved(const std::string& wire_id) {
  if (components_.hot_restart != nullptr) components_.hot_restart->SendWireId(wire_id);
}

// To the sibling, the second message about an id means that the request may have run.
void NodeEnvironment::OnWireIdSent(const std::string& wire_id) { OnWireIdReserved(wire_id); }

void NodeEnvironment::Log(const std::string& line) { LogLine(Level::kWarn) << line; }

void NodeEnvironment::Record(const AttemptRecorder::Attempt& attempt, DoneCallback done) {
  if (components_.durable_jobs == nullptr) return done(false);
  components_.durable_jobs->RecordAttempt(attempt, std::move(done));
}

}  // namespace millethollow
