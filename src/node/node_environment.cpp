#include "node/node_environment.h"

#include <utility>

#include "logging/log.h"

namespace millethollow {

void NodeEnvironment::Subscribe(bool enable) {
  if (parts_.discovery != nullptr) parts_.discovery->Subscribe(enable);
}

void NodeEnvironment::FetchEndpoints() {
  if (parts_.discovery != nullptr) parts_.discovery->Fetch();
}

bool NodeEnvironment::EndpointsOverdue() {
  return parts_.discovery != nullptr && parts_.discovery->IsOverdue();
}

void NodeEnvironment::SendPeerMessage(int recipient, const std::string& body) {
  if (recipient == parts_.dispatcher_index) {  // the sibling process in a hot restart
    if (parts_.hot_restart != nullptr) parts_.hot_restart->SendPeerMessage(body);
  } else if (parts_.peers != nullptr) {
    parts_.peers->SendMessage(recipient, body);
  }
}

std::optional<balancing::FleetShare> NodeEnvironment::FleetShare() {
  if (!parts_.in_cluster) return std::nullopt;
  return parts_.member != nullptr ? parts_.member->CurrentFleetShare() : balancing::FleetShare{};
}

void NodeEnvironment::OnWireIdReserved(const std::string& wire_id) {
  if (parts_.hot_restart != nullptr) parts_.hot_restart->SendWireId(wire_id);
}

void NodeEnvironment::Log(const std::string& line) { LogLine(Level::kWarn) << line; }

void NodeEnvironment::Record(const AttemptRecorder::Attempt& attempt, Done done) {
  if (parts_.durable_jobs == nullptr) return done(false);
  parts_.durable_jobs->RecordAttempt(attempt.durable_job, attempt.worker, attempt.local_worker,
                                     attempt.idempotent, std::move(done));
}

}  // namespace millethollow
