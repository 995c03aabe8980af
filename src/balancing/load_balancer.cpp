#include "millethollow/balancing/load_balancer.h"

#include "balancing/load_balancer_impl.h"
#include "balancing/state_transfer.h"

namespace millethollow::balancing {

LoadBalancer::LoadBalancer(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<LoadBalancerImpl>(settings, seed)) {}
LoadBalancer::~LoadBalancer() = default;
LoadBalancer::LoadBalancer(LoadBalancer&&) noexcept = default;
LoadBalancer& LoadBalancer::operator=(LoadBalancer&&) noexcept = default;

void LoadBalancer::Handle(double now_s, const Event& event, Actions* actions) {
  impl_->Handle(now_s, event, actions);
}

std::string LoadBalancer::SaveState() const { return StateTransfer::Save(*impl_); }
bool LoadBalancer::RestoreState(std::string_view text, const std::vector<int>& classes) {
  return StateTransfer::Restore(text, classes, impl_.get());
}
bool LoadBalancer::Excludes(std::string_view worker) const { return impl_->Excludes(worker); }
void LoadBalancer::SetCapacityReservations(CapacityReservations* reservations) {
  impl_->SetCapacityReservations(reservations);
}
std::uint64_t LoadBalancer::version() const { return impl_->version(); }
std::vector<WorkerView> LoadBalancer::Workers() const { return impl_->WorkerViews(); }
void LoadBalancer::SetFleetShare(const FleetShare& share) { impl_->SetFleetShare(share); }
std::uint64_t LoadBalancer::RejectedPeerMessages() const { return impl_->rejected_messages(); }
double LoadBalancer::DemandShare() const { return impl_->DemandShare(); }

}  // namespace millethollow::balancing
