#include "quota/tenant_leases.h"

#include <algorithm>

#include "quota/rate_division.h"

namespace millethollow::quota {
namespace {

// A raise that is only partly possible is granted if it is this share of the wanted rate, or this
// share of the raise: smaller steps cost messages, and waiting leaves free rate unused.
constexpr double kMinRaiseOfRate = 0.05;
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
  std::vector<ProposedChange> wishes;
  double available = leasable;
  for (const auto& [dispatcher, share] : shares) {
    available -= share.earlier_rps;
    demands.push_back({share.unreachable ? 0 : share.demand_rps, share.IntendedRate()});
    wishes.push_back({dispatcher, share.IntendedRate(), 0});
  }
  const std::vector<double> rates =
      RatesWithHysteresis(std::max(0.0, available), demands, hysteresis);
  for (std::size_t i = 0; i < wishes.size(); ++i) wishes[i].to = rates[i];
  return wishes;
}

std::vector<RateChange> TenantLeases::Divide(double hysteresis,
                                             const std::function<bool(NodeId)>& open) const {
  if (taking_over) return {};
  std::vector<ProposedChange> possible;
  for (const ProposedChange& wish : ProposedChanges(hysteresis)) {
    const DispatcherShare& share = shares.at(wish.dispatcher);
    const bool needed = wish.from != wish.to || share.inherited;
    if (needed && !share.has_pending() && open(wish.dispatcher)) possible.push_back(wish);
  }
  return FitToFreeRate(possible);
}

std::vector<RateChange> TenantLeases::FitToFreeRate(
    const std::vector<ProposedChange>& wishes) const {
  double wanted = 0;
  for (const ProposedChange& wish : wishes) wanted += std::max(0.0, wish.to - wish.from);
  const double free = std::max(0.0, leasable - RateInForce());
  const double part = wanted > free ? free / wanted : 1;
  std::vector<RateChange> changes;
  for (const ProposedChange& wish : wishes) {
    double rate = wish.to;
    if (wish.to > wish.from) {
      const double raise = part * (wish.to - wish.from);
      const bool worth_it = part >= kMinFractionOfRaise || raise >= kMinRaiseOfRate * wish.to;
      rate = worth_it ? wish.from + raise : wish.from;
    }
    if (rate != wish.from || shares.at(wish.dispatcher).inherited) {
      changes.push_back({wish.dispatcher, rate});
    }
  }
  return changes;
}

}  // namespace millethollow::quota
