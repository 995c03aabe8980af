#include "millethollow/balancing/load_balancer.h"

#include "balancing/load_balancer_impl.h"
#include "balancing/state_transfer.h"

namespace millethollow::balancing {

Balancer::Balancer(const Settings& settings, std::uint64_t seed)
    : brain_(std::make_unique<Brain>(settings, seed)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::Handle(double now_s, const Event& event, Actions* actions) {
  brain_->Handle(now_s, event, actions);
}

std::string Balancer::Learned() const { return Carry::Out(*brain_); }
bool Balancer::Learn(std::string_view text, const std::vector<int>& classes) {
  return Carry::In(text, classes, brain_.get());
}
bool Balancer::Avoids(std::string_view worker) const { return brain_->Avoids(worker); }
void Balancer::KeepRoom(RoomKeeper* room) { brain_->KeepRoom(room); }
std::uint64_t Balancer::version() const { return brain_->version(); }
std::vector<WorkerView> Balancer::Workers() const { return brain_->Views(); }
void Balancer::Agree(const Parts& parts) { brain_->Agree(parts); }
std::uint64_t Balancer::RefusedPeerMessages() const { return brain_->refused_messages(); }
double Balancer::DemandPart() const { return brain_->DemandPart(); }

}  // namespace millethollow::balancing
