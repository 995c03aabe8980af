// What one member knows and decides: the detector and the agreement together, and which process of
// a member is listened to. Decides only; the process and the tests run this same class.
#ifndef MILLETHOLLOW_MEMBERSHIP_CLUSTER_H_
#define MILLETHOLLOW_MEMBERSHIP_CLUSTER_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "membership/agreement.h"
#include "membership/detector.h"
#include "membership/facts.h"

namespace millethollow::membership {

using Frame = std::variant<Probe, Message, FactNews>;

class Cluster {
 public:
  struct MemberOptions {
    NodeId id = 0;
    std::string place;
    bool voter = false;
  };
  struct Options {
    NodeId self = 0;
    Life life = 0;
    std::vector<MemberOptions> members;  // this one among them
    DetectorTimings detector;
    AgreementTimings agreement;
    FactTimings facts;
    // Of one Nth that each member has while it is cut off, and that is kept back for it: 0 to 1.
    double cut_off_part = 0.5;
  };
  struct Actions {
    std::vector<std::pair<NodeId, Frame>> send;
    std::vector<Change> changes;
    bool write = false;  // votes(), then Stored(ticket) or StoreFailed()
    std::uint64_t ticket = 0;
    bool new_view = false, yield = false;
    Facts::Actions facts;
    // To where the frame came from, whatever address its sender has in the list.
    std::optional<Message> answer = std::nullopt;
  };

  // The clock of `now` is one of this machine that counts pauses and never runs back, in seconds.
  Cluster(const Options& options, Votes votes, std::uint64_t seed, double now);

  void Hear(double now, NodeId from, Life life, const Frame& frame, Actions* actions);
  // Is what this process of a member says to be listened to, beside what Hear takes?
  bool Hears(double now, NodeId from, Life life) {
    return from != options_.self && !agreement_.yielded() && Listens(now, from, life);
  }
  void Tick(double now, Actions* actions);
  void Stored(double now, std::uint64_t ticket, Actions* actions);
  void StoreFailed() { agreement_.StoreFailed(); }
  void Leave(double now, Actions* actions);
  void Want(double now, std::uint64_t disk, std::vector<LogPlace> logs) {
    agreement_.Want(now, disk, std::move(logs));
  }
  // A worker is taken out by hand or put back; as Facts::Say.
  std::uint64_t Say(double now, const std::string& worker, bool out, Actions* actions);
  void Told(double now, const std::string& worker, double started_at_s, bool gone) {
    facts_.Told(now, worker, started_at_s, gone);
  }
  void Restore(double now, const Fact& fact) { facts_.Restore(now, fact); }
  double NextAt() const;

  // This member's part of what the whole cluster may do, 0 to 1. Over all members, whatever is cut,
  // the parts never come to more than 1.
  double Part(double now) const;
  const Detector& detector() const { return detector_; }
  const Agreement& agreement() const { return agreement_; }
  const Facts& facts() const { return facts_; }
  const Options& options() const { return options_; }

 private:
  struct Heard {
    Life life = 0;
    double at = 0;
    // Another that speaks under the same id and is not listened to.
    Life rival = 0;
    double rival_since = 0, rival_at = 0;
  };
  bool Listens(double now, NodeId from, Life life);
  void Take(Detector::Actions* from, Actions* to);
  void Take(Agreement::Actions* from, Actions* to);
  void SendFacts(Actions* actions);
  std::vector<NodeId> Alive() const;  // others

  Options options_;
  Detector detector_;
  Agreement agreement_;
  Facts facts_;
  std::map<NodeId, Heard> heard_;
};

}  // namespace millethollow::membership

#endif  // MILLETHOLLOW_MEMBERSHIP_CLUSTER_H_
