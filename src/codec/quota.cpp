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
  kGrantAckedSequence = 2,
  kGrantRequestFullReport = 3,
  kGrantLeaseDuration = 4,
  kGrantAssignment = 5,
  kGrantProcessIncarnation = 6,
};

// An entry is a sequence of values without field numbers, to which a later version may append.
std::string EncodeEntry(const TenantUsage& usage) {
  Writer writer;
  writer.Raw(usage.tenant);
  writer.Raw(usage.demand_rps);
  writer.Raw(usage.lease_rps);
  writer.Raw(usage.lease_remaining_s);
  writer.Raw(usage.grant_number);
  return writer.Take();
}

void DecodeEntry(Reader* reader, TenantUsage* usage) {
  usage->tenant = reader->Raw<std::uint64_t>();
  usage->demand_rps = reader->Raw<double>();
  usage->lease_rps = reader->Raw<double>();
  usage->lease_remaining_s = reader->Raw<double>();
  usage->grant_number = reader->Raw<std::uint64_t>();
}

std::string EncodeEntry(const Assignment& assignment) {
  Writer writer;
  writer.Raw(assignment.tenant);
  writer.Raw(assignment.rate_rps);
  writer.Raw(assignment.grant_number);
  return writer.Take();
}

void DecodeEntry(Reader* reader, Assignment* assignment) {
  assignment->tenant = reader->Raw<std::uint64_t>();
  assignment->rate_rps = reader->Raw<double>();
  assignment->grant_number = reader->Raw<std::uint64_t>();
}

template <typename Entry>
void AppendEntry(Reader* reader, std::vector<Entry>* entries) {
  if (entries->size() >= quota::kMaxEntries) return reader->Fail();
  DecodeEntry(reader, &entries->emplace_back());
}

void EncodeFields(const UsageReport& report, Writer* writer) {
  writer->Raw(std::uint8_t{kReport});
  writer->Number(kReportEpoch, report.epoch);
  writer->Number(kReportSequence, report.sequence);
  writer->Number(kReportFull, static_cast<std::uint8_t>(report.full));
  for (const TenantUsage& usage : report.usages) writer->Nested(kReportUsage, EncodeEntry(usage));
}

void EncodeFields(const Grant& grant, Writer* writer) {
  writer->Raw(std::uint8_t{kGrant});
  writer->Number(kGrantEpoch, grant.epoch);
  writer->Number(kGrantAckedSequence, grant.acked_sequence);
  writer->Number(kGrantRequestFullReport, static_cast<std::uint8_t>(grant.request_full_report));
  writer->Number(kGrantLeaseDuration, grant.lease_duration_s);
  writer->Number(kGrantProcessIncarnation, grant.process_incarnation);
  for (const Assignment& assignment : grant.assignments)
    writer->Nested(kGrantAssignment, EncodeEntry(assignment));
}

std::optional<quota::Message> DecodeReport(std::string_view fields) {
  UsageReport report;
  Reader reader(fields);
  while (reader.Next()) {
    switch (reader.field()) {
      case kReportEpoch:
        report.epoch = reader.Raw<std::uint64_t>();
        break;
      case kReportSequence:
        report.sequence = reader.Raw<std::uint64_t>();
        break;
      case kReportFull:
        report.full = reader.Raw<std::uint8_t>() != 0;
        break;
      case kReportUsage:
        AppendEntry(&reader, &report.usages);
        break;
      default:
        break;
    }
  }
  if (!reader.ok()) return std::nullopt;
  return report;
}

std::optional<quota::Message> DecodeGrant(std::string_view fields) {
  Grant grant;
  Reader reader(fields);
  while (reader.Next()) {
    switch (reader.field()) {
      case kGrantEpoch:
        grant.epoch = reader.Raw<std::uint64_t>();
        break;
      case kGrantAckedSequence:
        grant.acked_sequence = reader.Raw<std::uint64_t>();
        break;
      case kGrantRequestFullReport:
        grant.request_full_report = reader.Raw<std::uint8_t>() != 0;
        break;
      case kGrantLeaseDuration:
        grant.lease_duration_s = reader.Raw<double>();
        break;
      case kGrantAssignment:
        AppendEntry(&reader, &grant.assignments);
        break;
      case kGrantProcessIncarnation:
        grant.process_incarnation = reader.Raw<std::uint64_t>();
        break;
      default:
        break;
    }
  }
  if (!reader.ok()) return std::nullopt;
  return grant;
}

}  // namespace

std::string Encode(const quota::Message& message) {
  Writer writer;
  std::visit([&writer](const auto& body) { EncodeFields(body, &writer); }, message);
  return writer.Take();
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
