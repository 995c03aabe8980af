// Usage reports between dispatchers, modelled on RLQS usage reports (gRPC proposal A77), and their
// encoding in datagrams.
#ifndef MILLETHOLLOW_BALANCING_USAGE_REPORT_H_
#define MILLETHOLLOW_BALANCING_USAGE_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace millethollow::balancing {

// The positions of the values in a report's row of rates: the demand of each tenant, then the
// signals: first attempts, requests that found workers full, and late starts. In a large tier these
// follow: probed workers and those of them with capacity; run time and requests of each class;
// slowdown, requests and slots of each worker kind.
struct RowLayout {
  static constexpr std::size_t kSignalValues = 3, kProbeValues = 2, kClassValues = 2,
                               kKindValues = 3;

  std::size_t tenants = 1;
  bool large_tier = false;
  std::size_t classes = 0, kinds = 0;  // of the estimates that a large tier shares

  // First indices of the values of probes, of a class and of a worker kind.
  std::size_t ProbeIndex() const { return tenants + kSignalValues; }
  std::size_t ClassIndex(std::size_t class_index) const {
    return ProbeIndex() + kProbeValues + kClassValues * class_index;
  }
  std::size_t KindIndex(std::size_t kind) const { return ClassIndex(classes) + kKindValues * kind; }
  // Number of values in the row.
  std::size_t size() const { return large_tier ? KindIndex(kinds) : ProbeIndex(); }

  // The first index of the group that `index` belongs to. The values of a group, such as the run
  // time and requests of a class, are meaningful only together: a datagram contains all of them or
  // none.
  std::size_t GroupStart(std::size_t index) const;
};

// A usage report, or the part of one that a datagram contains.
struct UsageReport {
  // Requests of a token bucket since the last report. Receivers do not use it.
  struct Usage {
    int bucket = 0;
    int allowed = 0, denied = 0;
  };
  bool reply_requested = false;  // the sender has just started and asks for a report in return
  double fleet_rate_rps = 0;     // the sender's fleet rate in requests per second; 0: not limited
  std::vector<double> rates;     // per second, in the order of RowLayout, from `first_index` on
  // Slots that the sender has in flight at each worker, by 16 bits of the hash of the worker's
  // name; workers with 0 are omitted. Only in the part that begins the row.
  std::vector<std::pair<std::uint16_t, int>> slots_in_flight;
  std::vector<Usage> usage;  // as many as fit beside a complete row; none in parts
  // Where the tier agrees on shares (AgreedShare): whether the sender receives the reports of all
  // members, and six bits of the view that its share belongs to; 0: the sender is cut off.
  bool receives_all = false;
  std::uint8_t view = 0;
  std::size_t first_index = 0;

  // Whether this is the part that begins the row.
  bool BeginsRow() const { return first_index == 0; }
};

// Encodes a complete report (`first_index` is 0) in datagrams of at most kMaxPeerMessageBytes. The
// datagram that begins the row comes first.
std::vector<std::string> EncodeReport(const UsageReport& report, const RowLayout& layout);

// Decodes one datagram. Returns false for one that is damaged, not a usage report, or part of a row
// of another size.
bool DecodeReport(std::string_view body, const RowLayout& layout, UsageReport* report);

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_USAGE_REPORT_H_
