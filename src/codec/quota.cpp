#include "codec/quota.h"

#include <utility>

#include "encoding/fields.h"

namespace millethollow::codec {
namespace {

using encoding::Reader;
using encoding::Writer;

using quota::Assignment;
using quota::Grant;
using quota::TenantUsage;
using quota::UsageReport;

enum Kind : std::uint8_t { kReport = 1, kGrant = 2 };
enum ReportField : std::uint8_t {
  kReportEpoch = 1,
  kReportSequence = 2,
  kReportFull = 3,
  kReportUsage = 4,
};
enum GrantField : std::uint8_t {
  kGrantEpoch = 1,
  kGrantAnswers = 2,
  kGrantWantFull = 3,
  kGrantSpan = 4,
  kGrantAssignment = 5,
  kGrantLife = 6,
};

// Entries are plain values in a row; a later build may append more to each.
std::string EncodeEntry(const TenantUsage& usage) {
  Writer w;
  w.Raw(usage.tenant);
  w.Raw(usage.demand_rps);
  w.Raw(usage.lease_rps);
  w.Raw(usage.lease_remaining_s);
  w.Raw(usage.grant_number);
  return w.Take();
}

void DecodeEntry(Reader* r, TenantUsage* usage) {
  usage->tenant = r->Raw<std::uint64_t>();
  usage->demand_rps = r->Raw<double>();
  usage->lease_rps = r->Raw<double>();
  usage->lease_remaining_s = r->Raw<double>();
  usage->grant_number = r->Raw<std::uint64_t>();
}

std::string EncodeEntry(const Assignment& assignment) {
  Writer w;
  w.Raw(assignment.tenant);
  w.Raw(assignment.rate_rps);
  w.Raw(assignment.grant_number);
  return w.Take();
}

void DecodeEntry(Reader* r, Assignment* assignment) {
  assignment->tenant = r->Raw<std::uint64_t>();
  assignment->rate_rps = r->Raw<double>();
  assignment->grant_number = r->Raw<std::uint64_t>();
}

template <typename Entry>
void AppendEntry(Reader* r, std::vector<Entry>* entries) {
  if (entries->size() >= quota::kMaxEntries) return r->Fail();
  DecodeEntry(r, &entries->emplace_back());
}

void EncodeFields(const UsageReport& report, Writer* w) {
  w->Raw(std::uint8_t{kReport});
  w->Number(kReportEpoch, report.epoch);
  w->Number(kReportSequence, report.sequence);
  w->Number(kReportFull, static_cast<std::uint8_t>(report.full));
  for (const TenantUsage& usage : report.usages) w->Nested(kReportUsage, EncodeEntry(usage));
}

void EncodeFields(const Grant& grant, Writer* w) {
  w->Raw(std::uint8_t{kGrant});
  w->Number(kGrantEpoch, grant.epoch);
  w->Number(kGrantAnswers, grant.acked_sequence);
  w->Number(kGrantWantFull, static_cast<std::uint8_t>(grant.request_full_report));
  w->Number(kGrantSpan, grant.lease_duration_s);
  w->Number(kGrantLife, grant.process_incarnation);
  for (const Assignment& a : grant.assignments) w->Nested(kGrantAssignment, EncodeEntry(a));
}

std::optional<quota::Message> DecodeReport(std::string_view fields) {
  UsageReport report;
  Reader r(fields);
  while (r.Next()) {
    switch (r.field()) {
      case kReportEpoch:
        report.epoch = r.Raw<std::uint64_t>();
        break;
      case kReportSequence:
        report.sequence = r.Raw<std::uint64_t>();
        break;
      case kReportFull:
        report.full = r.Raw<std::uint8_t>() != 0;
        break;
      case kReportUsage:
        AppendEntry(&r, &report.usages);
        break;
      default:
        break;
    }
  }
  if (!r.ok()) return std::nullopt;
  return report;
}

std::optional<quota::Message> DecodeGrant(std::string_view fields) {
  Grant grant;
  Reader r(fields);
  while (r.Next()) {
    switch (r.field()) {
      case kGrantEpoch:
        grant.epoch = r.Raw<std::uint64_t>();
        break;
      case kGrantAnswers:
        grant.acked_sequence = r.Raw<std::uint64_t>();
        break;
      case kGrantWantFull:
        grant.request_full_report = r.Raw<std::uint8_t>() != 0;
        break;
      case kGrantSpan:
        grant.lease_duration_s = r.Raw<double>();
        break;
      case kGrantAssignment:
        AppendEntry(&r, &grant.assignments);
        break;
      case kGrantLife:
        grant.process_incarnation = r.Raw<std::uint64_t>();
        break;
      default:
        break;
    }
  }
  if (!r.ok()) return std::nullopt;
  return grant;
}

}  // namespace

std::string Encode(const quota::Message& message) {
  Writer w;
  std::visit([&w](const auto& m) { EncodeFields(m, &w); }, message);
  return w.Take();
}

std::optional<quota::Message> DecodeQuota(std::string_view bytes) {
  if (bytes.empty()) return std::nullopt;
  const std::string_view fields = bytes.substr(1);
  switch (static_cast<std::uint8_t>(bytes[0])) {
    case kReport:
      return DecodeReport(fields);
    case kGrant:
      return DecodeGrant(fields);
    default:
      return std::nullopt;
  }
}

}  // namespace millethollow::codec
