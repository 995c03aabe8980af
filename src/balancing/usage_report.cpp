#include "balancing/usage_report.h"

#include <algorithm>
#include <bit>
#include <optional>

#include "millethollow/balancing/load_balancer.h"

namespace millethollow::balancing {
namespace {

// All numbers are little-endian, rates are 32-bit floats. Two forms begin alike: 'D', version,
// flags, number of rates in this datagram, fleet rate. What follows:
//  whole row: rates; workers told of and, for each, 16 bits of its hash and 8 of slots out; then
//    bucket, allowed and denied as 16-bit numbers for each bucket used.
//  part of a row: index of its first rate and number of rates of the row, 16 bits each; rates;
//    workers as above.
constexpr char kMagic = 'D', kWholeRow = 2, kPartOfRow = 3;
constexpr std::size_t kRealBytes = 4, kUsageBytes = 6, kOutBytes = 3, kOutCountBytes = 1;
constexpr std::size_t kRateAt = 4, kWholeHead = 8, kFirstAt = 8, kTotalAt = 10, kPartHead = 12;
constexpr std::size_t kMaxWorkersReported = 40;  // workers told of: some rates must fit beside them
constexpr double kMaxRate = 1e12;
constexpr int kMaxSlots = 255;
constexpr unsigned kFreshFlag = 1, kHearsAllFlag = 2, kViewShift = 2;

void Put(std::string* out, std::size_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out->push_back(static_cast<char>(value >> (8 * i) & 0xff));
}

void PutReal(std::string* out, double value) {
  Put(out, std::bit_cast<std::uint32_t>(static_cast<float>(value)), kRealBytes);
}

std::uint32_t Get(std::string_view in, std::size_t at, std::size_t bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i) {
    value |= static_cast<std::uint32_t>(static_cast<unsigned char>(in[at + i])) << (8 * i);
  }
  return value;
}

bool GetReal(std::string_view in, std::size_t at, double* value) {
  *value = std::bit_cast<float>(Get(in, at, kRealBytes));
  return *value >= 0 && *value < kMaxRate;
}

std::size_t ReportedWorkers(const UsageReport& report) {
  return std::min(report.slots_in_flight.size(), kMaxWorkersReported);
}

// What both forms begin with.
std::string Head(const UsageReport& report, char version, std::size_t rates) {
  const unsigned flags = (report.fresh ? kFreshFlag : 0) | (report.hears_all ? kHearsAllFlag : 0) |
                         static_cast<unsigned>(report.view) << kViewShift;
  std::string head{kMagic, version, static_cast<char>(flags), static_cast<char>(rates)};
  PutReal(&head, report.rate);
  return head;
}

void PutRates(std::string* out, const std::vector<double>& rates, std::size_t first,
              std::size_t end) {
  for (std::size_t i = first; i < end; ++i) PutReal(out, rates[i]);
}

void PutOut(std::string* out, const UsageReport& report, std::size_t told) {
  Put(out, told, kOutCountBytes);
  for (std::size_t i = 0; i < told; ++i) {
    Put(out, report.slots_in_flight[i].first, 2);
    Put(out, static_cast<std::size_t>(std::min(report.slots_in_flight[i].second, kMaxSlots)), 1);
  }
}

std::string EncodeWhole(const UsageReport& report) {
  std::string out = Head(report, kWholeRow, report.rates.size());
  PutRates(&out, report.rates, 0, report.rates.size());
  PutOut(&out, report, ReportedWorkers(report));
  for (const UsageReport::Usage& used : report.usage) {
    if (out.size() + kUsageBytes > kMaxPeerMessageBytes) break;
    for (const int v : {used.bucket, used.allowed, used.denied}) {
      Put(&out, static_cast<std::size_t>(v), 2);
    }
  }
  return out;
}

std::vector<std::string> EncodeParts(const UsageReport& report, const RowLayout& layout) {
  std::vector<std::string> parts;
  const std::size_t total = report.rates.size();
  for (std::size_t first = 0; first < total;) {
    const std::size_t told = first == 0 ? ReportedWorkers(report) : 0;
    const std::size_t taken = kPartHead + kOutCountBytes + kOutBytes * told;
    std::size_t end = std::min(total, first + (kMaxPeerMessageBytes - taken) / kRealBytes);
    if (end < total) end = layout.GroupStart(end);
    std::string part = Head(report, kPartOfRow, end - first);
    Put(&part, first, 2);
    Put(&part, total, 2);
    PutRates(&part, report.rates, first, end);
    PutOut(&part, report, told);
    parts.push_back(std::move(part));
    first = end;
  }
  return parts;
}

// The rates that a datagram holds and where they stand.
struct Extent {
  std::size_t at = 0;  // byte of the first rate
  std::size_t first = 0, count = 0;
};

std::optional<Extent> ExtentOf(std::string_view body, const RowLayout& layout) {
  if (body.size() < kWholeHead || body[0] != kMagic) return std::nullopt;
  const std::size_t count = Get(body, 3, 1), total = layout.size();
  if (body[1] == kWholeRow && count == total) return Extent{kWholeHead, 0, count};
  if (body[1] != kPartOfRow || body.size() < kPartHead) return std::nullopt;
  const std::size_t first = Get(body, kFirstAt, 2), end = first + count;
  if (Get(body, kTotalAt, 2) != total || count == 0 || end > total) return std::nullopt;
  const bool begins_group = layout.GroupStart(first) == first;
  const bool ends_group = end == total || layout.GroupStart(end) == end;
  if (!begins_group || !ends_group) return std::nullopt;
  return Extent{kPartHead, first, count};
}

// Whether the bytes from `usage_at` on are what the form has after the workers.
bool HasValidTail(std::string_view body, std::size_t usage_at) {
  if (body.size() < usage_at) return false;
  const std::size_t rest = body.size() - usage_at;
  return body[1] == kWholeRow ? rest % kUsageBytes == 0 : rest == 0;
}

bool GetRates(std::string_view body, const Extent& extent, std::vector<double>* rates) {
  rates->assign(extent.count, 0);
  std::size_t at = extent.at;
  for (double& rate : *rates) {
    if (!GetReal(body, at, &rate)) return false;
    at += kRealBytes;
  }
  return true;
}

}  // namespace

std::size_t RowLayout::GroupStart(std::size_t index) const {
  if (index < tenants) return index;
  if (index < ProbeIndex()) return tenants;
  if (index < ClassIndex(0)) return ProbeIndex();
  if (index < KindIndex(0)) return index - (index - ClassIndex(0)) % kClassFigures;
  return index - (index - KindIndex(0)) % kKindFigures;
}

std::vector<std::string> EncodeReport(const UsageReport& report, const RowLayout& layout) {
  const std::size_t whole = kWholeHead + kRealBytes * report.rates.size() + kOutCountBytes +
                            kOutBytes * ReportedWorkers(report);
  if (whole <= kMaxPeerMessageBytes) return {EncodeWhole(report)};
  return EncodeParts(report, layout);
}

bool DecodeReport(std::string_view body, const RowLayout& layout, UsageReport* report) {
  const std::optional<Extent> extent = ExtentOf(body, layout);
  if (!extent) return false;
  const std::size_t workers_at = extent->at + kRealBytes * extent->count;
  if (body.size() < workers_at + kOutCountBytes) return false;
  const std::size_t told = Get(body, workers_at, kOutCountBytes);
  const std::size_t out_at = workers_at + kOutCountBytes, usage_at = out_at + kOutBytes * told;
  if (told > (extent->first == 0 ? kMaxWorkersReported : 0) || !HasValidTail(body, usage_at))
    return false;

  UsageReport read;
  const unsigned flags = Get(body, 2, 1);
  read.fresh = (flags & kFreshFlag) != 0;
  read.hears_all = (flags & kHearsAllFlag) != 0;
  read.view = static_cast<std::uint8_t>(flags >> kViewShift);
  read.first = extent->first;
  if (!GetReal(body, kRateAt, &read.rate) || !GetRates(body, *extent, &read.rates)) return false;
  for (std::size_t at = out_at; at < usage_at; at += kOutBytes) {
    read.slots_in_flight.emplace_back(Get(body, at, 2), static_cast<int>(Get(body, at + 2, 1)));
  }
  for (std::size_t at = usage_at; at < body.size(); at += kUsageBytes) {
    read.usage.push_back({static_cast<int>(Get(body, at, 2)),
                          static_cast<int>(Get(body, at + 2, 2)),
                          static_cast<int>(Get(body, at + 4, 2))});
  }
  *report = std::move(read);
  return true;
}

}  // namespace millethollow::balancing
