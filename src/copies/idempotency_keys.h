// Keys that must not run twice, wherever in the cluster they come in. A key has its home in one of
// a fixed set of logs (copies.h); whoever acts on that log says who may run it, what was tried, and
// what the answer was. docs/design/copies.md has the promises.
//
// Decides only: words of members, what logs tell and time go in, calls of Hooks come out. Bounded
// by Limits. Times are seconds on a clock that counts pauses.
#ifndef MILLETHOLLOW_COPIES_IDEMPOTENCY_KEYS_H_
#define MILLETHOLLOW_COPIES_IDEMPOTENCY_KEYS_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "copies/durable_job_queue.h"

namespace millethollow::copies {

// One that a client asked with a key: the member, its process, and which of its claims.
struct ClaimId {
  NodeId who = 0;  // 0: nobody
  ProcessIncarnation process_incarnation = 0;
  std::uint64_t number = 0;
  auto operator<=>(const ClaimId&) const = default;
};

struct IdempotencyRecord {
  ClaimId claim;                        // who may run it now
  std::vector<AttemptRecord> attempts;  // and may have run, oldest first
  double window_s = 0;                  // of its class
  bool answered = false;
  std::string result;
};
std::string Encode(const IdempotencyRecord& record);
std::optional<IdempotencyRecord> DecodeIdempotencyRecord(std::string_view bytes);

// What the one who was asked and the owner of the key's log say to each other. Lost, doubled and
// late words do no harm: each is said again until it is answered.
struct KeyWord {
  enum class Kind : std::uint8_t {
    kClaim,     // may I run it?
    kTry,       // an attempt is about to go out
    kEnd,       // it has ended for me
    kGo,        // run it; tried and ages_s say what was tried before
    kWait,      // another runs it: there will be a word
    kAnswered,  // it was answered: result
    kMay,       // that attempt may go out
    kNo,        // not now, or not here; `step` of a kTry: that attempt may not
    kDone,      // the end is written
  };
  Kind kind = Kind::kClaim;
  LogId log = 0;
  std::string key;
  ClaimId claim;           // who asks
  std::uint64_t step = 0;  // of a kTry: rises
  double window_s = 0;
  std::string worker, result;
  bool local_worker = false, served = false;
  std::vector<std::string> ran_at;  // kEnd: workers where it may have run; "*": wherever tried
  std::vector<AttemptRecord> attempts;
  std::vector<double> ages_s;  // of `tried`: at most so long ago; infinite: not known
};

constexpr LogId kKeyLogs = 8;
// The log that a key has its home in, and whose part it is to open it where it is not there.
LogId LogOfKey(std::string_view key);
NodeId PreferredOpener(LogId log, const View& view);

// The owner's side.
class IdempotencyKeyRegistry {
 public:
  struct Limits {
    std::size_t keys = 100000, bytes = 64 << 20, waiting = 32;  // waiting: for one key
  };
  struct Hooks {
    // The view is looked at before each call of this class: no log ends within an append.
    std::function<SequenceNumber(LogId, std::string key, std::string value, bool gone,
                                 ReplicatedLogs::AppendError*)>
        append;
    std::function<double(LogId, SequenceNumber)> age;
    std::function<bool(const ClaimId&)> there;  // its process is in the view
    std::function<void(NodeId, const KeyWord&)> send;
  };
  struct Counters {
    std::uint64_t claims = 0, joined = 0, repeated = 0, taken_over = 0, refused = 0;
  };
  IdempotencyKeyRegistry(const Limits& limits, Hooks hooks)
      : limits_(limits), hooks_(std::move(hooks)) {}

  void Begun(double now, LogId log, const std::vector<Operation>& entries);
  void Ended(LogId log);
  void Kept(double now, LogId log, SequenceNumber seq);
  void Hear(double now, NodeId from, const KeyWord& word);
  void Tick(double now);  // each second or so, and when the view has changed

  std::size_t size() const { return records_.size(); }
  std::size_t bytes() const { return bytes_; }
  const Counters& counters() const { return counters_; }

 private:
  struct Record {
    IdempotencyRecord it;
    LogId log = 0;
    SequenceNumber put = 0;  // the last operation that wrote it
    bool kept = false;       // and it is kept
    std::uint64_t step = 0;  // of the claimer's last kTry
    double ends_at = 0;      // when nobody runs it: it is forgotten then
    bool ending = false;     // that is being written
    std::deque<ClaimId> waiting;
  };
  using Records = std::map<std::string, Record>;

  void Claim(double now, const KeyWord& w);
  void Try(double now, const KeyWord& w);
  void End(double now, const KeyWord& w);
  bool Release(const std::string& key, Record* record);
  bool Put(const std::string& key, Record* record);
  static void Date(Record* record);
  void Tell(const std::string& key, const Record& record, const ClaimId& to, KeyWord::Kind kind,
            std::uint64_t step = 0);
  void Settle(double now, const std::string& key, Record* record);
  static std::size_t SizeOf(const std::string& key, const IdempotencyRecord& record);

  Limits limits_;
  Hooks hooks_;
  Records records_;
  std::map<LogId, std::multimap<SequenceNumber, std::string>>
      logs_;  // on which it acts: keys that wait
  std::size_t bytes_ = 0;
  Counters counters_;
};

// The side of the member that a client asked.
class IdempotencyKeyClient {
 public:
  struct Result {
    enum class Kind : std::uint8_t { kGo, kAnswered, kRefused };
    Kind kind = Kind::kRefused;
    std::vector<AttemptRecord> attempts;  // kGo
    std::vector<double> ages_s;           // at most so long ago
    std::string result;                   // kAnswered
  };
  using Then = std::function<void(const Result&)>;
  struct Hooks {
    std::function<NodeId(LogId)> owner;  // as the view has it, with a lease held now; 0: none
    std::function<void(NodeId, const KeyWord&)> send;
  };
  IdempotencyKeyClient(NodeId self, ProcessIncarnation process_incarnation, Hooks hooks)
      : self_(self), process_incarnation_(process_incarnation), hooks_(std::move(hooks)) {}

  // `then` once, maybe at once, unless End comes first. Its number; 0: refused.
  std::uint64_t Claim(double now, const std::string& key, double window_s, Then then);
  // An attempt may go out once `then(true)` comes.
  void Try(double now, std::uint64_t number, const std::string& worker, bool local_worker,
           std::function<void(bool)> then);
  // It has ended here, answered or not; or nobody waits for it any more.
  void End(double now, std::uint64_t number, bool served, std::string result,
           std::vector<std::string> ran_at);
  // Does another run it, as far as is known?
  bool Waits(std::uint64_t number) const;
  void Hear(double now, const KeyWord& word);
  void Tick(double now);
  double NextAt() const;
  std::size_t size() const { return claims_.size(); }

 private:
  struct Open {
    KeyWord word;  // what is said again until it is answered
    Then then;
    std::function<void(bool)> may;
    bool asks = true, waits = false, went = false, ended = false;
    std::uint64_t step = 0;
    double said_at = 0, since = 0;
  };
  void Say(double now, Open* open);
  static double SayAt(const Open& open);

  NodeId self_;
  ProcessIncarnation process_incarnation_;
  Hooks hooks_;
  std::map<std::uint64_t, Open> claims_;
  std::uint64_t numbers_ = 0;
};

}  // namespace millethollow::copies

#endif  // MILLETHOLLOW_COPIES_IDEMPOTENCY_KEYS_H_
