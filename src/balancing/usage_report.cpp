#include "balancing/usage_report.h"

#include <algorithm>
#include <bit>
#include <optional>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {
namespace {

// The format of datagrams. Numbers are little-endian, rates are 32-bit floats. Both forms have a
// common header: 'D', version, flags, number of rates in this datagram, fleet rate. It is followed
// by:
//  - complete row: the rates; the number of workers and for each 16 bits of its hash and 8 bits of
//    slots in flight; then for each token bucket in use its index and the requests allowed and
//    denied, 16 bits each.
//  - part of a row: index of the first rate and number of rates of the row, 16 bits each; the
//    rates; workers as above.
constexpr char kMagic = 'D', kWholeRow = 2, kPartOfRow = 3;
constexpr std::size_t kFloatBytes = 4, kUsageBytes = 6, kSlotsEntryBytes = 3, kSlotsCountBytes = 1;
constexpr std::size_t kFleetRateOffset = 4, kWholeRowHeaderBytes = 8, kFirstIndexOffset = 8,
                      kRowSizeOffset = 10, kPartHeaderBytes = 12;
constexpr std::size_t kMaxWorkersReported = 40;  // so that some rates fit beside them
constexpr double kMaxRate = 1e12;
constexpr int kMaxReportedSlots = 255;
constexpr unsigned kReplyRequestedFlag = 1, kReceivesAllFlag = 2, kViewShift = 2;

void Append(std::string* output, std::size_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) output->push_back(static_cast<char>(value >> (8 * i) & 0xff));
}

void AppendFloat(std::string* output, double value) {
  Append(output, std::bit_cast<std::uint32_t>(static_cast<float>(value)), kFloatBytes);
}

std::uint32_t Read(std::string_view input, std::size_t offset, std::size_t bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i) {
    value |= static_cast<std::uint32_t>(static_cast<unsigned char>(input[offset + i])) << (8 * i);
  }
  return value;
}

bool ReadFloat(std::string_view input, std::size_t offset, double* value) {
  *value = std::bit_cast<float>(Read(input, offset, kFloatBytes));
  return *value >= 0 && *value < kMaxRate;
}

std::size_t ReportedWorkers(const UsageReport& report) {
  return std::min(report.slots_in_flight.size(), kMaxWorkersReported);
}

// Encodes the header that both forms have in common.
std::string EncodeHeader(const UsageReport& report, char version, std::size_t rates) {
  const unsigned flags = (report.reply_requested ? kReplyRequestedFlag : 0) |
                         (report.receives_all ? kReceivesAllFlag : 0) |
                         static_cast<unsigned>(report.view) << kViewShift;
  std::string header{kMagic, version, static_cast<char>(flags), static_cast<char>(rates)};
  AppendFloat(&header, report.fleet_rate_rps);
  return header;
}

void AppendRates(std::string* output, const std::vector<double>& rates, std::size_t first,
                 std::size_t end) {
  for (std::size_t i = first; i < end; ++i) AppendFloat(output, rates[i]);
}

void AppendSlotsInFlight(std::string* output, const UsageReport& report, std::size_t worker_count) {
  Append(output, worker_count, kSlotsCountBytes);
  for (std::size_t i = 0; i < worker_count; ++i) {
    Append(output, report.slots_in_flight[i].first, 2);
    Append(output,
           static_cast<std::size_t>(std::min(report.slots_in_flight[i].second, kMaxReportedSlots)),
           1);
  }
}

std::string EncodeWhole(const UsageReport& report) {
  std::string output = EncodeHeader(report, kWholeRow, report.rates.size());
  AppendRates(&output, report.rates, 0, report.rates.size());
  AppendSlotsInFlight(&output, report, ReportedWorkers(report));
  for (const UsageReport::Usage& usage : report.usage) {
    if (output.size() + kUsageBytes > kMaxPeerMessageBytes) break;
    for (const int value : {usage.bucket, usage.allowed, usage.denied}) {
      Append(&output, static_cast<std::size_t>(value), 2);
    }
  }
  return output;
}

std::vector<std::string> EncodeParts(const UsageReport& report, const RowLayout& layout) {
  std::vector<std::string> datagrams;
  const std::size_t total = report.rates.size();
  for (std::size_t first = 0; first < total;) {
    const std::size_t worker_count = first == 0 ? ReportedWorkers(report) : 0;
    const std::size_t header_bytes =
        kPartHeaderBytes + kSlotsCountBytes + kSlotsEntryBytes * worker_count;
    std::size_t end = std::min(total, first + (kMaxPeerMessageBytes - header_bytes) / kFloatBytes);
    if (end < total) end = layout.GroupStart(end);
    std::string datagram = EncodeHeader(report, kPartOfRow, end - first);
    Append(&datagram, first, 2);
    Append(&datagram, total, 2);
    AppendRates(&datagram, report.rates, first, end);
    AppendSlotsInFlight(&datagram, report, worker_count);
    datagrams.push_back(std::move(datagram));
    first = end;
  }
  return datagrams;
}

// The rates that a datagram contains, and where they are.
struct RateRange {
  std::size_t offset = 0;  // offset of the first rate in the datagram, in bytes
  std::size_t first = 0, count = 0;
};

std::optional<RateRange> FindRates(std::string_view body, const RowLayout& layout) {
  if (body.size() < kWholeRowHeaderBytes || body[0] != kMagic) return std::nullopt;
  const std::size_t count = Read(body, 3, 1), total = layout.size();
  if (body[1] == kWholeRow && count == total) return RateRange{kWholeRowHeaderBytes, 0, count};
  if (body[1] != kPartOfRow || body.size() < kPartHeaderBytes) return std::nullopt;
  const std::size_t first = Read(body, kFirstIndexOffset, 2), end = first + count;
  if (Read(body, kRowSizeOffset, 2) != total || count == 0 || end > total) return std::nullopt;
  const bool begins_group = layout.GroupStart(first) == first;
  const bool ends_group = end == total || layout.GroupStart(end) == end;
  if (!begins_group || !ends_group) return std::nullopt;
  return RateRange{kPartHeaderBytes, first, count};
}

// Whether the bytes from `usage_at` on are what the form permits after the workers.
bool HasValidTail(std::string_view body, std::size_t usage_at) {
  if (body.size() < usage_at) return false;
  const std::size_t tail_bytes = body.size() - usage_at;
  return body[1] == kWholeRow ? tail_bytes % kUsageBytes == 0 : tail_bytes == 0;
}

bool ReadRates(std::string_view body, const RateRange& range, std::vector<double>* rates) {
  rates->assign(range.count, 0);
  std::size_t offset = range.offset;
  for (double& rate : *rates) {
    if (!ReadFloat(body, offset, &rate)) return false;
    offset += kFloatBytes;
  }
  return true;
}

}  // namespace

std::size_t RowLayout::GroupStart(std::size_t index) const {
  if (index < tenants) return index;
  if (index < ProbeIndex()) return tenants;
  if (index < ClassIndex(0)) return ProbeIndex();
  if (index < KindIndex(0)) return index - (index - ClassIndex(0)) % kClassValues;
  return index - (index - KindIndex(0)) % kKindValues;
}

std::vector<std::string> EncodeReport(const UsageReport& report, const RowLayout& layout) {
  const std::size_t whole = kWholeRowHeaderBytes + kFloatBytes * report.rates.size() +
                            kSlotsCountBytes + kSlotsEntryBytes * ReportedWorkers(report);
  if (whole <= kMaxPeerMessageBytes) return {EncodeWhole(report)};
  return EncodeParts(report, layout);
}

bool DecodeReport(std::string_view body, const RowLayout& layout, UsageReport* report) {
  const std::optional<RateRange> range = FindRates(body, layout);
  if (!range) return false;
  const std::size_t workers_at = range->offset + kFloatBytes * range->count;
  if (body.size() < workers_at + kSlotsCountBytes) return false;
  const std::size_t worker_count = Read(body, workers_at, kSlotsCountBytes);
  const std::size_t slots_at = workers_at + kSlotsCountBytes,
                    usage_at = slots_at + kSlotsEntryBytes * worker_count;
  if (worker_count > (range->first == 0 ? kMaxWorkersReported : 0) || !HasValidTail(body, usage_at))
    return false;

  UsageReport decoded;
  const unsigned flags = Read(body, 2, 1);
  decoded.reply_requested = (flags & kReplyRequestedFlag) != 0;
  decoded.receives_all = (flags & kReceivesAllFlag) != 0;
  decoded.view = static_cast<std::uint8_t>(flags >> kViewShift);
  decoded.first_index = range->first;
  if (!ReadFloat(body, kFleetRateOffset, &decoded.fleet_rate_rps) ||
      !ReadRates(body, *range, &decoded.rates))
    return false;
  for (std::size_t offset = slots_at; offset < usage_at; offset += kSlotsEntryBytes) {
    decoded.slots_in_flight.emplace_back(Read(body, offset, 2),
                                         static_cast<int>(Read(body, offset + 2, 1)));
  }
  for (std::size_t offset = usage_at; offset < body.size(); offset += kUsageBytes) {
    decoded.usage.push_back({static_cast<int>(Read(body, offset, 2)),
                             static_cast<int>(Read(body, offset + 2, 2)),
                             static_cast<int>(Read(body, offset + 4, 2))});
  }
  *report = std::move(decoded);
  return true;
}

}  // namespace millethollow::balancing
