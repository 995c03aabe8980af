#include "quota/tenant_leases.h"

#include <algorithm>

#include "quota/rate_division.h"

namespace millethollow::quota {
namespace {

// A raise that the free rate allows only in part is granted in part if the part is at least this
// fraction of the proposed rate, or of the raise: smaller steps cost messages, while waiting leaves
// free rate unused.
constexpr double kMinRaiseFractionOfRate = 0.05;
constexpr double kMinFractionOfRaise = 0.5;

}  // namespace

void DispatcherShare::Confirm(const TenantUsage& usage, bool trusted) {
  demand_rps = usage.demand_rps;
  inherited = usage.lease_rps > 0 && usage.grant_number == 0;
  confirmed_rps = trusted ? usage.lease_rps : std::min(usage.lease_rps, CurrentRate());
  if (usage.grant_number < pending_grant_number) return;
  pending_rps = 0;
  pending_grant_number = 0;
  max_pending_rps = 0;
}

void DispatcherShare::GrantRate(double rate, std::uint64_t grant) {
  pending_rps = rate;
  pending_grant_number = grant;
  max_pending_rps = std::max(max_pending_rps, rate);
}

// A pending grant may still arrive.
void DispatcherShare::ConfirmNothing() {
  demand_rps = 0;
  confirmed_rps = 0;
  inherited = false;
}

void DispatcherShare::Expire() {
  confirmed_rps = 0;
  inherited = false;
  pending_rps = 0;
  pending_grant_number = 0;
  max_pending_rps = 0;
}

void DispatcherShare::StartIncarnation() {
  const double in_force = RateInForce();
  *this = DispatcherShare{};
  earlier_rps = in_force;
}

double TenantLeases::RateInForce() const {
  double sum = 0;
  for (const auto& [dispatcher, share] : shares) sum += share.RateInForce();
  return sum;
}

// Rates that earlier processes may still use are not available.
std::vector<TenantLeases::ProposedChange> TenantLeases::ProposedChanges(double hysteresis) const {
  std::vector<DispatcherDemand> demands;
  std::vector<ProposedChange> proposals;
  double available = leasable_rps;
  for (const auto& [dispatcher, share] : shares) {
    available -= share.earlier_rps;
    demands.push_back({share.unreachable ? 0 : share.demand_rps, share.IntendedRate()});
    proposals.push_back({dispatcher, share.IntendedRate(), 0});
  }
  const std::vector<double> rates =
      RatesWithHysteresis(std::max(0.0, available), demands, hysteresis);
  for (std::size_t i = 0; i < proposals.size(); ++i) proposals[i].to = rates[i];
  return proposals;
}

std::vector<RateChange> TenantLeases::Divide(double hysteresis,
                                             const std::function<bool(NodeId)>& can_grant) const {
  if (taking_over) return {};
  std::vector<ProposedChange> grantable;
  for (const ProposedChange& proposal : ProposedChanges(hysteresis)) {
    const DispatcherShare& share = shares.at(proposal.dispatcher);
    const bool needed = proposal.from != proposal.to || share.inherited;
    if (needed && !share.has_pending() && can_grant(proposal.dispatcher))
      grantable.push_back(proposal);
  }
  return FitToFreeRate(grantable);
}

std::vector<RateChange> TenantLeases::FitToFreeRate(
    const std::vector<ProposedChange>& proposals) const {
  double total_raise = 0;
  for (const ProposedChange& proposal : proposals)
    total_raise += std::max(0.0, proposal.to - proposal.from);
  const double free = std::max(0.0, leasable_rps - RateInForce());
  const double fraction = total_raise > free ? free / total_raise : 1;
  std::vector<RateChange> changes;
  for (const ProposedChange& proposal : proposals) {
    double rate = proposal.to;
    if (proposal.to > proposal.from) {
      const double raise = fraction * (proposal.to - proposal.from);
      const bool large_enough =
          fraction >= kMinFractionOfRaise || raise >= kMinRaiseFractionOfRate * proposal.to;
      rate = large_enough ? proposal.from + raise : proposal.from;
    }
    if (rate != proposal.from || shares.at(proposal.dispatcher).inherited) {
      changes.push_back({proposal.dispatcher, rate});
    }
  }
  return changes;
}

}  // namespace millethollow::quota
