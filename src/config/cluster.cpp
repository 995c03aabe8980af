#include "config/cluster.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "config/keys.h"

namespace millethollow {
namespace {

using Json = nlohmann::json;
constexpr std::size_t kMaxMembers = 1024, kMaxWordBytes = 64;
constexpr std::size_t kLeast = 2;     // copies of a promise where the file says nothing
constexpr double kLeastRenewals = 3;  // of a quota lease in its span: two may be lost
constexpr double kGrantOnItsWayS =
    0.05;  // between the look at the membership lease and the sending

bool Word(const std::string& text) {
  return !text.empty() && text.size() <= kMaxWordBytes &&
         std::none_of(text.begin(), text.end(), [](char c) { return c <= ' ' || c >= 0x7f; });
}

bool Refuse(const std::string& what, std::string* error) {
  *error = "configuration: cluster: " + what;
  return false;
}

bool CheckAllocators(const ClusterOptions& o, std::string* error) {
  std::set<std::string> seen;
  for (const std::string& id : o.quota.allocators) {
    if (o.Find(id) == nullptr) {
      return Refuse("'quota.allocators' names no member: '" + id + "'", error);
    }
    if (!seen.insert(id).second) {
      return Refuse("'quota.allocators' names '" + id + "' twice", error);
    }
  }
  return true;
}

bool CheckQuota(const ClusterOptions& o, std::string* error) {
  if (!o.quota.on) return true;
  if (!CheckAllocators(o, error)) return false;
  const quota::LeaseTimings& t = o.quota.timings;
  if (t.renew_interval_s * kLeastRenewals > t.lease_duration_s) {
    return Refuse("'quota.span_s' must be at least three times 'quota.renew_s'", error);
  }
  if (t.min_report_interval_s > t.renew_interval_s) {
    return Refuse("'quota.report_gap_s' must not be over 'quota.renew_s'", error);
  }
  if (MaxSupersededLeaseS(t) + t.renew_interval_s > kMaxQuotaPropagationS) {
    return Refuse("'timings.lease_s' and 'quota.span_s' are too long for a quota in force in 9 s",
                  error);
  }
  return true;
}

// What is derived and not told: the pace of clocks is one assumption for the whole cluster, and a
// replaced allocator may grant until its membership lease is over by its own clock.
void CompleteQuota(ClusterOptions* o) {
  if (!o->quota.on) return;
  quota::LeaseTimings& t = o->quota.timings;
  t.max_clock_drift = o->agreement.clock_drift;
  t.superseded_grant_s = o->agreement.lease_s * (1 + 2 * t.max_clock_drift) + kGrantOnItsWayS;
  if (!o->quota.allocators.empty()) return;
  for (const ClusterMember& m : o->members) {
    if (m.voter) o->quota.allocators.push_back(m.id);
  }
}

bool Check(const ClusterOptions& o, std::string* error) {
  const auto wrong = [error](const std::string& what) { return Refuse(what, error); };
  if (!Word(o.name)) return wrong("'name' must be one plain word");
  if (o.members.empty()) return wrong("no members");
  std::set<std::string> ids, addresses;
  std::size_t voters = 0;
  for (const ClusterMember& m : o.members) {
    if (!Word(m.id)) return wrong("a member's 'id' must be one plain word");
    if (!m.failure_domain.empty() && !Word(m.failure_domain))
      return wrong("the place of '" + m.id + "' must be one plain word");
    if (!ids.insert(m.id).second) return wrong("two members '" + m.id + "'");
    if (m.address.empty()) return wrong("member '" + m.id + "' has no address");
    if (!addresses.insert(m.address).second) return wrong("two members at " + m.address);
    voters += m.voter;
  }
  const ClusterMember* self = o.Self();
  if (self == nullptr) return wrong("'self' names no member: '" + o.self + "'");
  if (voters != 1 && voters != 3 && voters != 5 && voters != 7) {
    return wrong("1, 3, 5 or 7 members must be voters, not " + std::to_string(voters));
  }
  if (self->voter && o.store.empty()) return wrong("a voter needs a folder: 'store' is missing");
  if (o.min_replicas > o.copies) return wrong("'copies_least' must not be over 'copies'");
  if (o.min_replicas > o.members.size()) {
    return wrong("'copies_least' is over the number of members");
  }
  if (o.jobs.retry_min_s > o.jobs.retry_max_s) {
    return wrong("'jobs.again_least_s' must not be over 'jobs.again_most_s'");
  }
  // A lease must outlive a change of the leader, and be asked for several times in its span.
  const auto& a = o.agreement;
  if (a.heartbeat_s * 2 > a.election_s)
    return wrong("'election_s' must be at least twice 'beat_s'");
  if (a.lease_s < 3 * a.election_s)
    return wrong("'lease_s' must be at least three times 'election_s'");
  if (a.renew_s * 4 > a.lease_s) return wrong("'lease_s' must be at least four times 'renew_s'");
  const auto& d = o.detector;
  if (d.probe_timeout_s >= d.probe_interval_s) return wrong("'timeout_s' must be under 'probe_s'");
  if (d.suspicion_min_s > d.suspicion_max_s)
    return wrong("'suspect_s' must not be over 'suspect_most_s'");
  return CheckQuota(o, error);
}

KeyReader QuotaKey(QuotaOptions* quota, std::string* error) {
  return [quota, error](const Json& value, const std::string& path) {
    const KeyReaders readers{
        {"allocators", NamesKey(&quota->allocators, kMaxMembers, error)},
        {"span_s", NumberKey(&quota->timings.lease_duration_s, 0.3, 60, error)},
        {"renew_s", NumberKey(&quota->timings.renew_interval_s, 0.05, 20, error)},
        {"report_gap_s", NumberKey(&quota->timings.min_report_interval_s, 0.01, 5, error)},
        {"floor_part", NumberKey(&quota->timings.floor_fraction, 0, 0.5, error)},
        {"hysteresis", NumberKey(&quota->timings.hysteresis, 0, 0.5, error)},
    };
    quota->on = true;
    return ReadKeys(value, path, readers, error);
  };
}

}  // namespace

const ClusterMember* ClusterOptions::Find(std::string_view id) const {
  const auto it = std::find_if(members.begin(), members.end(),
                               [id](const ClusterMember& m) { return m.id == id; });
  return it == members.end() ? nullptr : &*it;
}

double MaxSupersededLeaseS(const quota::LeaseTimings& timings) {
  return timings.superseded_grant_s + timings.lease_duration_s * (1 + 3 * timings.max_clock_drift);
}

bool ReadCluster(std::string_view text, ClusterOptions* options, std::string* error) {
  const Json root = Json::parse(text, nullptr, false, true);
  if (!root.is_object()) return *error = "configuration: not a JSON object", false;
  const auto section = root.find("cluster");
  if (section == root.end() || section->is_null()) return true;
  ClusterOptions o;
  const auto number = [error](double* out, double min, double max) {
    return NumberKey(out, min, max, error);
  };
  const auto members = [&](const Json& value, const std::string& path) {
    if (!value.is_array() || value.size() > kMaxMembers) {
      return *error = "configuration: '" + path + "' is not a list of up to 1024 members", false;
    }
    for (const Json& item : value) {
      ClusterMember m;
      const std::string at = path + "." + std::to_string(o.members.size());
      if (!ReadKeys(item, at,
                    {{"id", TextKey(&m.id, error)},
                     {"address", TextKey(&m.address, error)},
                     {"place", TextKey(&m.failure_domain, error)},
                     {"voter", FlagKey(&m.voter, error)}},
                    error)) {
        return false;
      }
      o.members.push_back(std::move(m));
    }
    return true;
  };
  const KeyReaders timings{
      {"probe_s", number(&o.detector.probe_interval_s, 0.02, 60)},
      {"timeout_s", number(&o.detector.probe_timeout_s, 0.005, 30)},
      {"gossip_s", number(&o.detector.gossip_interval_s, 0.01, 30)},
      {"suspect_s", number(&o.detector.suspicion_min_s, 0.05, 300)},
      {"suspect_most_s", number(&o.detector.suspicion_max_s, 0.05, 600)},
      {"failed_probe_s", number(&o.detector.failed_probe_interval_s, 0.05, 600)},
      {"beat_s", number(&o.agreement.heartbeat_s, 0.02, 60)},
      {"election_s", number(&o.agreement.election_s, 0.05, 120)},
      {"lease_s", number(&o.agreement.lease_s, 0.2, 600)},
      {"renew_s", number(&o.agreement.renew_s, 0.02, 120)},
      {"view_gap_s", number(&o.agreement.min_view_interval_s, 0.05, 600)},
      {"drift", number(&o.agreement.clock_drift, 0, 0.2)},
      {"return_s", number(&o.agreement.rejoin_backoff_s, 0, 600)},
      {"return_most_s", number(&o.agreement.rejoin_backoff_max_s, 0, 3600)},
      {"forgive_s", number(&o.agreement.rejoin_backoff_reset_s, 0, 86400)},
  };
  auto store_bytes = static_cast<double>(o.store_bytes);
  auto copies = static_cast<double>(o.copies), least = 0.0;
  auto max_jobs = static_cast<double>(o.jobs.jobs), bytes = static_cast<double>(o.jobs.bytes),
       running = static_cast<double>(o.jobs.running);
  const KeyReaders jobs{
      {"most", number(&max_jobs, 1, 1e6)},
      {"bytes", number(&bytes, 1 << 16, 1e11)},
      {"running", number(&running, 1, 1e4)},
      {"tenant_share", number(&o.jobs.tenant_share, 0.001, 1)},
      {"again_least_s", number(&o.jobs.retry_min_s, 0.01, 60)},
      {"again_most_s", number(&o.jobs.retry_max_s, 0.01, 3600)},
  };
  const KeyReaders readers{
      {"name", TextKey(&o.name, error)},
      {"self", TextKey(&o.self, error)},
      {"listen", TextKey(&o.listen, error)},
      {"store", TextKey(&o.store, error)},
      {"members", members},
      {"cut_off_part", number(&o.isolated_share, 0, 1)},
      {"store_bytes", number(&store_bytes, 1 << 20, 1e12)},
      {"copies", number(&copies, 1, 8)},
      {"copies_least", number(&least, 1, 8)},
      {"jobs", [&](const Json& value,
                   const std::string& path) { return ReadKeys(value, path, jobs, error); }},
      {"quota", QuotaKey(&o.quota, error)},
      {"timings", [&](const Json& value,
                      const std::string& path) { return ReadKeys(value, path, timings, error); }},
  };
  if (!ReadKeys(*section, "cluster", readers, error)) return false;
  o.store_bytes = static_cast<std::uint64_t>(store_bytes);
  o.copies = static_cast<std::size_t>(copies);
  o.min_replicas = static_cast<std::size_t>(least);
  o.jobs.jobs = static_cast<std::size_t>(max_jobs);
  o.jobs.bytes = static_cast<std::size_t>(bytes);
  o.jobs.running = static_cast<std::size_t>(running);
  CompleteQuota(&o);
  if (!Check(o, error)) return false;
  if (o.min_replicas == 0) o.min_replicas = std::min({o.copies, o.members.size(), kLeast});
  if (o.listen.empty()) o.listen = o.Self()->address;
  *options = std::move(o);
  return true;
}

}  // namespace millethollow
