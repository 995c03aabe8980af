#include "quota/leases.h"

#include <algorithm>

#include "quota/split.h"

namespace millethollow::quota {
namespace {

// A raise that is only partly free yet is not granted below this share of the wanted rate.
constexpr double kLeastPartOfRate = 0.05;

}  // namespace

void Share::Tell(const Usage& usage, bool trusted) {
  demand = usage.demand;
  const bool applied = offered() && usage.grant >= offer_grant;
  const double most = applied ? offer : confirmed;
  confirmed = trusted ? usage.held : std::min(usage.held, most);
  if (!applied) return;
  offer = 0;
  offer_grant = 0;
}

// An offer on its way may still be taken.
void Share::TellNothing() {
  demand = 0;
  confirmed = 0;
}

void Share::Lapse() {
  const double still_former = former;
  *this = Share{};
  former = still_former;
}

void Share::StartLife() {
  const double in_force = InForce();
  *this = Share{};
  former = in_force;
}

double TenantLeases::InForce() const {
  double sum = 0;
  for (const auto& [dispatcher, share] : shares) sum += share.InForce();
  return sum;
}

// What former lives may use can't be divided.
std::vector<TenantLeases::Wish> TenantLeases::Wishes(double hysteresis) const {
  std::vector<Claim> claims;
  std::vector<Wish> wishes;
  double available = leasable;
  for (const auto& [dispatcher, share] : shares) {
    available -= share.former;
    claims.push_back({share.demand, share.Intended()});
    wishes.push_back({dispatcher, share.Intended(), 0});
  }
  const std::vector<double> rates = SteadyRates(std::max(0.0, available), claims, hysteresis);
  for (std::size_t i = 0; i < wishes.size(); ++i) wishes[i].to = rates[i];
  std::erase_if(wishes, [](const Wish& wish) { return wish.from == wish.to; });
  return wishes;
}

std::vector<RateChange> TenantLeases::Granted(const std::vector<Wish>& wishes) const {
  const double in_force = InForce();
  const bool raises = !taking_over && in_force < leasable;
  const bool lowers = !taking_over || in_force > leasable;
  std::vector<RateChange> changes;
  double wanted = 0;
  for (const Wish& wish : wishes) {
    if (wish.to > wish.from) wanted += wish.to - wish.from;
    if (wish.to < wish.from && lowers) changes.push_back({wish.dispatcher, wish.to});
  }
  if (!raises || wanted <= 0) return changes;
  const double free = leasable - in_force;
  const double part = std::min(1.0, free / wanted);
  for (const Wish& wish : wishes) {
    const double raise = part * (wish.to - wish.from);
    const bool worth_it = part >= 1 - kRounding || raise >= kLeastPartOfRate * wish.to;
    if (raise > 0 && worth_it) changes.push_back({wish.dispatcher, wish.from + raise});
  }
  return changes;
}

}  // namespace millethollow::quota
