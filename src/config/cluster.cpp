#include "config/cluster.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>

#include "config/json_object.h"
#include "config/keys.h"

namespace millethollow {
namespace {

using Json = nlohmann::json;
constexpr std::size_t kMaxMembers = 1024, kMaxIdentifierBytes = 64;
constexpr std::size_t kDefaultMinReplicas = 2;
constexpr double kMinRenewalsPerLease = 3;  // a quota lease survives the loss of two renewals
// Seconds between an allocator's check of its membership lease and the sending of a grant.
constexpr double kMaxGrantSendDelayS = 0.05;

// Whether the text is printable ASCII without spaces, of 1 to kMaxIdentifierBytes bytes.
bool IsIdentifier(const std::string& text) {
  return !text.empty() && text.size() <= kMaxIdentifierBytes &&
         std::none_of(text.begin(), text.end(), [](char c) { return c <= ' ' || c >= 0x7f; });
}

bool Fail(const std::string& what, std::string* error) {
  *error = "configuration: cluster: " + what;
  return false;
}

bool CheckAllocators(const ClusterOptions& options, std::string* error) {
  std::set<std::string> listed_ids;
  for (const std::string& id : options.quota.allocators) {
    if (options.Find(id) == nullptr) {
      return Fail("'quota.allocators' names no member: '" + id + "'", error);
    }
    if (!listed_ids.insert(id).second) {
      return Fail("'quota.allocators' names '" + id + "' twice", error);
    }
  }
  return true;
}

bool CheckQuota(const ClusterOptions& options, std::string* error) {
  if (!options.quota.on) return true;
  if (!CheckAllocators(options, error)) return false;
  const quota::LeaseTimings& timings = options.quota.timings;
  if (timings.renew_interval_s * kMinRenewalsPerLease > timings.lease_duration_s) {
    return Fail("'quota.span_s' must be at least three times 'quota.renew_s'", error);
  }
  if (timings.min_report_interval_s > timings.renew_interval_s) {
    return Fail("'quota.report_gap_s' must not be over 'quota.renew_s'", error);
  }
  if (MaxSupersededLeaseS(timings) + timings.renew_interval_s > kMaxQuotaPropagationS) {
    return Fail("'timings.lease_s' and 'quota.span_s' are too long for a quota in force in 9 s",
                error);
  }
  return true;
}

// Sets the options that the file does not give: the bound on clock drift is the one of the whole
// cluster, and a superseded allocator may grant until its membership lease expires by its own
// clock. If the file lists no allocators, the voters are the allocators.
void DeriveQuotaOptions(ClusterOptions* options) {
  if (!options->quota.on) return;
  quota::LeaseTimings& timings = options->quota.timings;
  timings.max_clock_drift = options->agreement.clock_drift;
  timings.superseded_grant_s =
      options->agreement.lease_s * (1 + 2 * timings.max_clock_drift) + kMaxGrantSendDelayS;
  if (!options->quota.allocators.empty()) return;
  for (const ClusterMember& member : options->members) {
    if (member.voter) options->quota.allocators.push_back(member.id);
  }
}

bool CheckConsistency(const ClusterOptions& options, std::string* error) {
  const auto fail = [error](const std::string& what) { return Fail(what, error); };
  if (!IsIdentifier(options.name)) return fail("'name' must be one plain word");
  if (options.members.empty()) return fail("no members");
  std::set<std::string> ids, addresses;
  std::size_t voters = 0;
  for (const ClusterMember& member : options.members) {
    if (!IsIdentifier(member.id)) return fail("a member's 'id' must be one plain word");
    if (!member.failure_domain.empty() && !IsIdentifier(member.failure_domain))
      return fail("the place of '" + member.id + "' must be one plain word");
    if (!ids.insert(member.id).second) return fail("two members '" + member.id + "'");
    if (member.address.empty()) return fail("member '" + member.id + "' has no address");
    if (!addresses.insert(member.address).second) return fail("two members at " + member.address);
    voters += member.voter;
  }
  const ClusterMember* self = options.Self();
  if (self == nullptr) return fail("'self' names no member: '" + options.self + "'");
  if (voters != 1 && voters != 3 && voters != 5 && voters != 7) {
    return fail("1, 3, 5 or 7 members must be voters, not " + std::to_string(voters));
  }
  if (self->voter && options.store.empty())
    return fail("a voter needs a directory: 'store' is missing");
  if (options.min_replicas > options.copies)
    return fail("'copies_least' must not be over 'copies'");
  if (options.min_replicas > options.members.size()) {
    return fail("'copies_least' is over the number of members");
  }
  if (options.jobs.retry_min_s > options.jobs.retry_max_s) {
    return fail("'jobs.again_least_s' must not be over 'jobs.again_most_s'");
  }
  // A lease must outlast the election of a new leader and be renewed several times before it
  // expires.
  const auto& agreement = options.agreement;
  if (agreement.heartbeat_s * 2 > agreement.election_s)
    return fail("'election_s' must be at least twice 'beat_s'");
  if (agreement.lease_s < 3 * agreement.election_s)
    return fail("'lease_s' must be at least three times 'election_s'");
  if (agreement.renew_s * 4 > agreement.lease_s)
    return fail("'lease_s' must be at least four times 'renew_s'");
  const auto& detector = options.detector;
  if (detector.probe_timeout_s >= detector.probe_interval_s)
    return fail("'timeout_s' must be under 'probe_s'");
  if (detector.suspicion_min_s > detector.suspicion_max_s)
    return fail("'suspect_s' must not be over 'suspect_most_s'");
  return CheckQuota(options, error);
}

KeyReader QuotaSectionReader(QuotaOptions* quota, std::string* error) {
  return [quota, error](const Json& value, const std::string& path) {
    const KeyReaders section_readers{
        {"allocators", TextListReader(&quota->allocators, kMaxMembers, error)},
        {"span_s", NumberReader(&quota->timings.lease_duration_s, 0.3, 60, error)},
        {"renew_s", NumberReader(&quota->timings.renew_interval_s, 0.05, 20, error)},
        {"report_gap_s", NumberReader(&quota->timings.min_report_interval_s, 0.01, 5, error)},
        {"floor_part", NumberReader(&quota->timings.floor_fraction, 0, 0.5, error)},
        {"hysteresis", NumberReader(&quota->timings.hysteresis, 0, 0.5, error)},
    };
    quota->on = true;
    return ReadKeys(value, path, section_readers, error);
  };
}

}  // namespace

const ClusterMember* ClusterOptions::Find(std::string_view id) const {
  const auto it = std::find_if(members.begin(), members.end(),
                               [id](const ClusterMember& member) { return member.id == id; });
  return it == members.end() ? nullptr : &*it;
}

double MaxSupersededLeaseS(const quota::LeaseTimings& timings) {
  return timings.superseded_grant_s + timings.lease_duration_s * (1 + 3 * timings.max_clock_drift);
}

bool ReadCluster(std::string_view text, ClusterOptions* options, std::string* error) {
  const std::optional<Json> parsed_text = ParseJsonObject(text, error);
  if (!parsed_text) return false;
  const Json& root = *parsed_text;
  const auto section = root.find("cluster");
  if (section == root.end() || section->is_null()) return true;
  ClusterOptions parsed;
  const auto number_reader = [error](double* out, double min, double max) {
    return NumberReader(out, min, max, error);
  };
  const auto read_members = [&](const Json& value, const std::string& path) {
    if (!value.is_array() || value.size() > kMaxMembers) {
      return *error = "configuration: '" + path + "' is not a list of up to 1024 members", false;
    }
    for (const Json& item : value) {
      ClusterMember member;
      const std::string item_path = path + "." + std::to_string(parsed.members.size());
      if (!ReadKeys(item, item_path,
                    {{"id", TextReader(&member.id, error)},
                     {"address", TextReader(&member.address, error)},
                     {"place", TextReader(&member.failure_domain, error)},
                     {"voter", FlagReader(&member.voter, error)}},
                    error)) {
        return false;
      }
      parsed.members.push_back(std::move(member));
    }
    return true;
  };
  const KeyReaders timing_readers{
      {"probe_s", number_reader(&parsed.detector.probe_interval_s, 0.02, 60)},
      {"timeout_s", number_reader(&parsed.detector.probe_timeout_s, 0.005, 30)},
      {"gossip_s", number_reader(&parsed.detector.gossip_interval_s, 0.01, 30)},
      {"suspect_s", number_reader(&parsed.detector.suspicion_min_s, 0.05, 300)},
      {"suspect_most_s", number_reader(&parsed.detector.suspicion_max_s, 0.05, 600)},
      {"failed_probe_s", number_reader(&parsed.detector.failed_probe_interval_s, 0.05, 600)},
      {"beat_s", number_reader(&parsed.agreement.heartbeat_s, 0.02, 60)},
      {"election_s", number_reader(&parsed.agreement.election_s, 0.05, 120)},
      {"lease_s", number_reader(&parsed.agreement.lease_s, 0.2, 600)},
      {"renew_s", number_reader(&parsed.agreement.renew_s, 0.02, 120)},
      {"view_gap_s", number_reader(&parsed.agreement.min_view_interval_s, 0.05, 600)},
      {"drift", number_reader(&parsed.agreement.clock_drift, 0, 0.2)},
      {"return_s", number_reader(&parsed.agreement.rejoin_backoff_s, 0, 600)},
      {"return_most_s", number_reader(&parsed.agreement.rejoin_backoff_max_s, 0, 3600)},
      {"forgive_s", number_reader(&parsed.agreement.rejoin_backoff_reset_s, 0, 86400)},
  };
  auto store_bytes = static_cast<double>(parsed.store_bytes);
  auto copies = static_cast<double>(parsed.copies), min_replicas = 0.0;
  auto max_jobs = static_cast<double>(parsed.jobs.jobs),
       max_job_bytes = static_cast<double>(parsed.jobs.bytes),
       max_running_jobs = static_cast<double>(parsed.jobs.running);
  const KeyReaders job_readers{
      {"most", number_reader(&max_jobs, 1, 1e6)},
      {"bytes", number_reader(&max_job_bytes, 1 << 16, 1e11)},
      {"running", number_reader(&max_running_jobs, 1, 1e4)},
      {"tenant_share", number_reader(&parsed.jobs.tenant_share, 0.001, 1)},
      {"again_least_s", number_reader(&parsed.jobs.retry_min_s, 0.01, 60)},
      {"again_most_s", number_reader(&parsed.jobs.retry_max_s, 0.01, 3600)},
  };
  const KeyReaders section_readers{
      {"name", TextReader(&parsed.name, error)},
      {"self", TextReader(&parsed.self, error)},
      {"listen", TextReader(&parsed.listen, error)},
      {"store", TextReader(&parsed.store, error)},
      {"members", read_members},
      {"cut_off_part", number_reader(&parsed.isolated_share, 0, 1)},
      {"store_bytes", number_reader(&store_bytes, 1 << 20, 1e12)},
      {"copies", number_reader(&copies, 1, 8)},
      {"copies_least", number_reader(&min_replicas, 1, 8)},
      {"jobs", [&](const Json& value,
                   const std::string& path) { return ReadKeys(value, path, job_readers, error); }},
      {"quota", QuotaSectionReader(&parsed.quota, error)},
      {"timings",
       [&](const Json& value, const std::string& path) {
         return ReadKeys(value, path, timing_readers, error);
       }},
  };
  if (!ReadKeys(*section, "cluster", section_readers, error)) return false;
  parsed.store_bytes = static_cast<std::uint64_t>(store_bytes);
  parsed.copies = static_cast<std::size_t>(copies);
  parsed.min_replicas = static_cast<std::size_t>(min_replicas);
  parsed.jobs.jobs = static_cast<std::size_t>(max_jobs);
  parsed.jobs.bytes = static_cast<std::size_t>(max_job_bytes);
  parsed.jobs.running = static_cast<std::size_t>(max_running_jobs);
  DeriveQuotaOptions(&parsed);
  if (!CheckConsistency(parsed, error)) return false;
  if (parsed.min_replicas == 0)
    parsed.min_replicas = std::min({parsed.copies, parsed.members.size(), kDefaultMinReplicas});
  if (parsed.listen.empty()) parsed.listen = parsed.Self()->address;
  *options = std::move(parsed);
  return true;
}

}  // namespace millethollow
