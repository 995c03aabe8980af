// Random days on several processes: faults from a seed, clients, promised jobs and workers all the
// while, everything healed at the end. SEEDS plays so many days, and longer ones, from SEED on; a
// failure says its faults.
#include "support/days.h"

#include <gtest/gtest.h>

#include "support/history.h"
#include "support/job_history.h"

namespace millethollow::rig {
namespace {

class ProcessDay {
 public:
  ProcessDay(std::uint64_t seed, double length_s)
      : members_(3 + seed % 3),
        faults_(seed * 7919 + 1),
        harness_(
            {.members = members_, .voters = 3, .seed = seed, .workers = kWorkers, .gearman = true}),
        history_(&harness_, kWorkers),
        jobs_(&harness_, kWorkers) {
    for (std::size_t w = 0; w < kWorkers; ++w) {
      harness_.worker(w).on_request = [this](const FakeWorker::ReceivedRequest& got) {
        jobs_.served.insert(got.body);
        FakeWorker::RespondWithResult(got, "ok");
      };
    }
    harness_.StartAll();
    if (!Serve([this] { return harness_.Whole(); }, 25)) {
      Wrong("no first view");
      return;
    }
    const double until = harness_.now() + length_s;
    while (harness_.now() < until) {
      Fault();
      Serve([] { return false; }, 0.2 + 1.3 * faults_.Unit());
    }
    Record("heal all");
    harness_.Heal();
    for (std::size_t i = 0; i < members_; ++i) {
      harness_.Continue(i);
      harness_.Start(i);
    }
    const auto together = [this] {
      for (std::size_t i = 0; i < members_; ++i)
        harness_.Start(i);  // one may have been on its way out
      return harness_.Whole() && SameOut();
    };
    if (!Serve(together, 60)) Wrong("they don't come together");
    asks_ = false;
    if (!Serve([this] { return history_.AllTold() && jobs_.AllAnswered(); }, 15))
      Wrong("a client was told nothing");
    double look_at = 0;
    const auto done = [&] {
      if (harness_.now() < look_at) return false;
      look_at = harness_.now() + 0.5;
      return jobs_.Held() == 0 && jobs_.Wrong().empty();
    };
    if (!harness_.Until(done, 30)) Wrong("promised jobs are left");
    for (const std::string& w : jobs_.Wrong()) Wrong(w);
    for (const std::string& w : history_.Wrong()) Wrong(w);
    for (const std::string& w : harness_.broken()) Wrong(w);
  }
  const std::string& wrong() const { return wrong_; }
  const std::string& script() const { return script_; }
  std::size_t asked() const { return history_.asked(); }
  std::size_t promised() const { return jobs_.promised(); }
  std::string Describe() {
    std::string all;
    for (std::size_t i = 0; i < members_; ++i) {
      all += ClusterHarness::Name(i) + ": " + harness_.polled(i).told.dump() + "\n" +
             harness_.LogOf(i);
    }
    return all;
  }

 private:
  static constexpr std::size_t kWorkers = 3;
  static constexpr double kAskS = 0.04;

  void Wrong(const std::string& what) { wrong_ += "\n" + what; }
  void Record(const std::string& what) {
    script_ += std::to_string(harness_.now()) + " " + what + "\n";
  }
  // Time passes, with clients.
  template <typename Done>
  bool Serve(Done done, double timeout_s) {
    return harness_.Until(
        [&] {
          if (asks_ && harness_.now() >= ask_at_) {
            ask_at_ = harness_.now() + kAskS;
            history_.Ask();
            if (history_.asked() % 2 == 0) jobs_.SubmitAny();
          }
          history_.Gather();
          jobs_.Gather();
          return done();
        },
        timeout_s);
  }
  bool SameOut() {
    for (std::size_t i = 0; i < members_; ++i) {
      if (!harness_.polled(i).told.is_object()) return false;
      if (harness_.polled(i).told["workers_out"] != harness_.polled(0).told["workers_out"])
        return false;
    }
    return true;
  }
  std::size_t Any() { return faults_.Below(members_); }
  std::size_t Other(std::size_t than) {
    return (than + 1 + faults_.Below(members_ - 1)) % members_;
  }
  // A majority of voters must remember: one at most is without its folder.
  bool OthersRemember(std::size_t i) {
    for (std::size_t v = 0; v < 3; ++v) {
      const auto& told = harness_.polled(v).told;
      if (v != i && (!harness_.Running(v) || !told.is_object() || told["vote"] != "voting"))
        return false;
    }
    return true;
  }
  // One disk less than `copies_least` is lost at a time: what was lost before is on another again.
  bool CopiesElsewhere() {
    if (!harness_.Whole() || harness_.now() - taken_at_ < 8) return false;
    for (const auto& log : harness_.polled(0).told["logs"]) {
      if (log["holders"].size() < 2 || log["owner"] == "-") return false;
    }
    return true;
  }
  void Fault() {
    const std::size_t a = Any(), b = Other(a);
    const std::string one = ClusterHarness::Name(a), pair = one + ClusterHarness::Name(b);
    switch (faults_.Below(14)) {
      case 0:
        Record("kill " + one);
        return harness_.Kill(a);
      case 1:
        if (!OthersRemember(a) || !CopiesElsewhere()) return;
        taken_at_ = harness_.now();
        Record("kill, without its folder " + one);
        harness_.Kill(a);
        return harness_.TakeFolder(a);
      case 2:
        Record("terminate " + one);
        return harness_.Terminate(a);
      case 3:
        Record("stop " + one);
        return harness_.Stop(a);
      case 4: {
        std::vector<int> group;
        std::string members;
        for (std::size_t i = 0; i < members_; ++i) {
          group.push_back(static_cast<int>(faults_.Below(2)));
          members += std::to_string(group.back());
        }
        Record("split " + members);
        return harness_.Split(group);
      }
      case 5:
        Record("cut one way " + pair);
        harness_.link(a, b).cut = true;
        return;
      case 6:
        Record("lose, double, reorder, garble");
        return harness_.EachLink([](LinkFaults* l) {
          l->loss = 0.15, l->doubled = 0.1, l->jitter_s = 0.02, l->garbled = 0.02;
        });
      case 7:
        Record("late, throttled, reset " + pair);
        harness_.link(a, b).delay_s = 0.15;
        harness_.link(a, b).bytes_per_s = 2000;
        harness_.link(b, a).reset_streams = true;
        return;
      case 8: {
        const std::string w = "w" + std::to_string(1 + faults_.Below(kWorkers - 1));
        const bool out = faults_.Below(2) == 0;
        if (!harness_.Serves(a)) return;
        Record(w + (out ? " out at " : " back at ") + one);
        harness_.Ask(a, "PUT /workers/" + w + (out ? "/maint" : "/ready"));
        return;
      }
      case 9:
      case 10:
        Record("continue and start");
        for (std::size_t i = 0; i < members_; ++i) {
          harness_.Continue(i);
          harness_.Start(i);
        }
        return;
      default:
        Record("heal");
        harness_.Heal();
    }
  }

  std::size_t members_;
  membership::Random faults_;
  ClusterHarness harness_;
  History history_;
  JobHistory jobs_;
  std::string script_, wrong_;
  bool asks_ = true;
  double ask_at_ = 0, taken_at_ = -10;
};

TEST(ProcessDays, KeepEveryPromiseToClientsAndComeTogetherAgain) {
  const std::uint64_t from = FromEnvironment("SEED", 1), days = FromEnvironment("SEEDS", 0);
  const std::uint64_t count = days == 0 ? 2 : days;
  std::size_t asked = 0, promised = 0;
  for (std::uint64_t seed = from; seed < from + count; ++seed) {
    ProcessDay day(seed, days == 0 ? 6 : 25);
    EXPECT_EQ(day.wrong(), "") << "seed " << seed << "\n" << day.script() << day.Describe();
    asked += day.asked();
    promised += day.promised();
  }
  EXPECT_GT(asked, 100U * count);
  EXPECT_GT(promised, 10U * count);
  std::printf("%lu days, %zu requests, %zu promised jobs\n", count, asked, promised);
}

}  // namespace
}  // namespace millethollow::rig
