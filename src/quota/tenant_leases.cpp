#include "quota/tenant_leases.h"

#include <algorithm>

#include "quota/rate_division.h"

namespace millethollow::quota {
namespace {

// A raise that is only partly free yet is granted where it is this share of the wanted rate, or
// this share of the raise: little by little would be many messages, and not at all would leave it
// unused as long as others' demand fades.
constexpr double kLeastPartOfRate = 0.05;
constexpr double kLeastPartOfRaise = 0.5;

}  // namespace

void DispatcherShare::Confirm(const TenantUsage& usage, bool trusted) {
  demand_rps = usage.demand_rps;
  inherited = usage.lease_rps > 0 && usage.grant_number == 0;
  confirmed = trusted ? usage.lease_rps : std::min(usage.lease_rps, Current());
  if (usage.grant_number < offer_grant) return;
  offer = 0;
  offer_grant = 0;
  most_offered = 0;
}

void DispatcherShare::Offer(double rate, std::uint64_t grant) {
  offer = rate;
  offer_grant = grant;
  most_offered = std::max(most_offered, rate);
}

// An offer on its way may still be taken.
void DispatcherShare::ConfirmNothing() {
  demand_rps = 0;
  confirmed = 0;
  inherited = false;
}

void DispatcherShare::Lapse() {
  confirmed = 0;
  inherited = false;
  offer = 0;
  offer_grant = 0;
  most_offered = 0;
}

void DispatcherShare::StartLife() {
  const double in_force = InForce();
  *this = DispatcherShare{};
  former = in_force;
}

double TenantLeases::InForce() const {
  double sum = 0;
  for (const auto& [dispatcher, share] : shares) sum += share.InForce();
  return sum;
}

// What former lives may use can't be divided.
std::vector<TenantLeases::Wish> TenantLeases::Wishes(double hysteresis) const {
  std::vector<DispatcherDemand> claims;
  std::vector<Wish> wishes;
  double available = leasable;
  for (const auto& [dispatcher, share] : shares) {
    available -= share.former;
    claims.push_back({share.unreachable ? 0 : share.demand_rps, share.Intended()});
    wishes.push_back({dispatcher, share.Intended(), 0});
  }
  const std::vector<double> rates =
      RatesWithHysteresis(std::max(0.0, available), claims, hysteresis);
  for (std::size_t i = 0; i < wishes.size(); ++i) wishes[i].to = rates[i];
  return wishes;
}

std::vector<RateChange> TenantLeases::Divide(double hysteresis,
                                             const std::function<bool(NodeId)>& open) const {
  if (taking_over) return {};
  std::vector<Wish> possible;
  for (const Wish& wish : Wishes(hysteresis)) {
    const DispatcherShare& share = shares.at(wish.dispatcher);
    const bool needed = wish.from != wish.to || share.inherited;
    if (needed && !share.offered() && open(wish.dispatcher)) possible.push_back(wish);
  }
  return Granted(possible);
}

std::vector<RateChange> TenantLeases::Granted(const std::vector<Wish>& wishes) const {
  double wanted = 0;
  for (const Wish& wish : wishes) wanted += std::max(0.0, wish.to - wish.from);
  const double free = std::max(0.0, leasable - InForce());
  const double part = wanted > free ? free / wanted : 1;
  std::vector<RateChange> changes;
  for (const Wish& wish : wishes) {
    double rate = wish.to;
    if (wish.to > wish.from) {
      const double raise = part * (wish.to - wish.from);
      const bool worth_it = part >= kLeastPartOfRaise || raise >= kLeastPartOfRate * wish.to;
      rate = worth_it ? wish.from + raise : wish.from;
    }
    if (rate != wish.from || shares.at(wish.dispatcher).inherited) {
      changes.push_back({wish.dispatcher, rate});
    }
  }
  return changes;
}

}  // namespace millethollow::quota
