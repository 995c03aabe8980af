// Usage reports between dispatchers, in the manner of RLQS usage reports (A77), and their
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

// Where each value stands in the row of rates of a report: demand by tenant, then first attempts,
// jobs that found workers full, and late starts. In a large tier these follow: workers probed and
// those with capacity; run time and jobs of each class; pace, jobs and slots of each worker kind.
struct RowLayout {
  static constexpr std::size_t kSignals = 3, kProbeFigures = 2, kClassFigures = 2, kKindFigures = 3;

  std::size_t tenants = 1;
  bool large_tier = false;
  std::size_t classes = 0, kinds = 0;  // of the shared estimates of a large tier

  std::size_t ProbeIndex() const { return tenants + kSignals; }
  std::size_t ClassIndex(std::size_t cls) const {
    return ProbeIndex() + kProbeFigures + kClassFigures * cls;
  }
  std::size_t KindIndex(std::size_t kind) const {
    return ClassIndex(classes) + kKindFigures * kind;
  }
  std::size_t size() const { return large_tier ? KindIndex(kinds) : ProbeIndex(); }

  // The first index of the group that `index` belongs to. Figures of a group, such as time and jobs
  // of a class, mean something only together: a datagram holds all of them or none.
  std::size_t GroupStart(std::size_t index) const;
};

// A report, or the part of one that a datagram holds.
struct UsageReport {
  // Jobs of a bucket since the last report. Receivers do not use it.
  struct Usage {
    int bucket = 0;
    int allowed = 0, denied = 0;
  };
  bool fresh = false;         // the sender has just started and asks for a report
  double rate = 0;            // the sender's fleet rate in jobs per second; 0: not limited
  std::vector<double> rates;  // per second, as RowLayout has them, from index `first` on
  // Slots that the sender has in flight at each worker, by 16 bits of the worker's hash; 0 is
  // omitted. Only in the part that begins the row.
  std::vector<std::pair<std::uint16_t, int>> slots_in_flight;
  std::vector<Usage> usage;  // as many as fit beside a whole row; none in parts
  // Where the tier agrees on shares (AgreedShare): the sender hears all members, and six bits of
  // the view that it has its share in; 0: it is cut off.
  bool hears_all = false;
  std::uint8_t view = 0;
  std::size_t first = 0;

  bool BeginsRow() const { return first == 0; }
};

// The datagrams of a whole report (`first` is 0), kMaxPeerMessageBytes long at most each. The one
// that begins the row comes first.
std::vector<std::string> EncodeReport(const UsageReport& report, const RowLayout& layout);

// Reads one datagram. False for a damaged or foreign one, and one for a row of another size.
bool DecodeReport(std::string_view body, const RowLayout& layout, UsageReport* report);

}  // namespace millethollow::balancing

#endif  // MILLETHOLLOW_BALANCING_USAGE_REPORT_H_
