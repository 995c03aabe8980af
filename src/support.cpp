#include "support.h"

#include <bit>
#include <cmath>

#include "decksail/balancer.h"

namespace decksail {
namespace {

// Form: 'D', version, flags, number of rates; fleet rate and rates as 32-bit floats; number of
// workers, and for each 16 bits of its hash and 8 of slots out; then bucket, allowed and denied as
// 16-bit numbers for each bucket used. Little-endian.
constexpr char kMagic = 'D', kVersion = 2;
constexpr std::size_t kMostBytes = 256, kHead = 8, kUsageBytes = 6, kOutBytes = 3;
constexpr std::size_t kMostOut = 40;  // workers told of: the rates and some usage must fit too

void Put(std::string* out, std::uint32_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) out->push_back(static_cast<char>(value >> (8 * i) & 0xff));
}
std::uint32_t Get(std::string_view in, std::size_t at, std::size_t bytes) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < bytes; ++i) {
    value |= static_cast<std::uint32_t>(static_cast<unsigned char>(in[at + i])) << (8 * i);
  }
  return value;
}
void PutReal(std::string* out, double v) {
  Put(out, std::bit_cast<std::uint32_t>(static_cast<float>(v)), 4);
}
bool GetReal(std::string_view in, std::size_t at, double* v) {
  *v = std::bit_cast<float>(Get(in, at, 4));
  return *v >= 0 && *v < 1e12;
}

}  // namespace

std::string EncodeReport(const UsageReport& report) {
  std::string out{kMagic, kVersion, static_cast<char>((report.fresh ? 1 : 0) | (report.hears_all ? 2 : 0) |
                                                       report.view << 2),
                  static_cast<char>(report.rates.size())};
  PutReal(&out, report.rate);
  for (const double v : report.rates) PutReal(&out, v);
  const std::size_t told = std::min(report.out.size(), kMostOut);
  Put(&out, static_cast<std::uint32_t>(told), 1);
  for (std::size_t i = 0; i < told; ++i) {
    Put(&out, report.out[i].first, 2);
    Put(&out, static_cast<std::uint32_t>(std::min(report.out[i].second, 255)), 1);
  }
  for (const UsageReport::Usage& u : report.usage) {
    if (out.size() + kUsageBytes > kMostBytes) break;
    for (const int v : {u.bucket, u.allowed, u.denied}) Put(&out, static_cast<std::uint32_t>(v), 2);
  }
  return out;
}

bool DecodeReport(std::string_view body, std::size_t rates, UsageReport* report) {
  const std::size_t fixed = kHead + 4 * rates + 1;
  if (body.size() < fixed || body[0] != kMagic || body[1] != kVersion ||
      static_cast<unsigned char>(body[3]) != rates) {
    return false;
  }
  const std::size_t told = Get(body, fixed - 1, 1), usage_at = fixed + kOutBytes * told;
  if (told > kMostOut || body.size() < usage_at || (body.size() - usage_at) % kUsageBytes != 0) {
    return false;
  }
  report->fresh = (body[2] & 1) != 0;
  report->hears_all = (body[2] & 2) != 0;
  report->view = static_cast<std::uint8_t>(static_cast<unsigned char>(body[2]) >> 2);
  if (!GetReal(body, 4, &report->rate)) return false;
  report->rates.assign(rates, 0);
  std::size_t at = kHead;
  for (double& v : report->rates) {
    if (!GetReal(body, at, &v)) return false;
    at += 4;
  }
  report->out.clear();
  for (at += 1; at < usage_at; at += kOutBytes) {
    report->out.emplace_back(Get(body, at, 2), static_cast<int>(Get(body, at + 2, 1)));
  }
  report->usage.clear();
  for (; at < body.size(); at += kUsageBytes) {
    report->usage.push_back({static_cast<int>(Get(body, at, 2)),
                             static_cast<int>(Get(body, at + 2, 2)),
                             static_cast<int>(Get(body, at + 4, 2))});
  }
  return true;
}

bool CheckSettings(const Settings& s, std::string* why) {
  const auto bad = [why](const char* text) {
    *why = text;
    return false;
  };
  if (s.classes.empty()) return bad("no classes");
  if (s.dispatchers < 1 || s.ordinal < 0) return bad("dispatchers or ordinal out of range");
  if (s.most_tries < 1) return bad("no attempts allowed");
  for (const double t :
       {s.tick_s, s.max_retry_after_s, s.progress_s, s.ask_within_s, s.cold_s, s.drain_grace_s,
        s.overload_for_s, s.answer_slack_s, s.fall_multiple, s.cold_share}) {
    if (!(t >= 0) || !std::isfinite(t)) return bad("a negative or infinite time or figure");
  }
  for (const ClassSettings& c : s.classes) {
    if (!(c.aim_s >= 0) || !(c.give_up_s > 0) || !(c.stretch >= 0) || !(c.window_s >= 0)) {
      return bad("a class with a negative time or no deadline");
    }
  }
  for (const TenantSettings& t : s.tenants) {
    if (!(t.share >= 0) || !(t.quota_rps >= 0))
      return bad("a tenant with a negative share or quota");
  }
  return true;
}

}  // namespace decksail
