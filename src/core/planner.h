// The planner: owns the decision module, maps events and actions, and keeps the ledger that gives
// each request exactly one final answer. Its checks are a last line; policy is the module's.
#ifndef MILLETHOLLOW_CORE_PLANNER_H_
#define MILLETHOLLOW_CORE_PLANNER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/deadlines.h"
#include "core/demand_meter.h"
#include "core/planner_link.h"
#include "core/request.h"
#include "millethollow/balancing/load_balancer.h"
#include "scheduling/scheduling_balancer.h"

namespace millethollow {

class Planner {
 public:
  // The ways out that are not forwarders.
  struct Hooks {
    std::function<double()> now;
    std::function<void(bool)> subscribe = [](bool) {};
    std::function<void()> fetch_list = [] {};
    // While the list is overdue nothing is sent by it: sends wait for the next word of it.
    std::function<bool()> list_overdue = [] { return false; };
    std::function<void(int, const std::string&)> tell_peer = [](int, const std::string&) {};
    std::function<void(const std::string&)> log = [](const std::string&) {};
    std::function<balancing::FleetShare()> parts;  // where nodes agree on them; none: no cluster
    std::function<void(const std::string&)> took = [](const std::string&) {};  // a Request-Id
    // Before an attempt for a promise (its handle) goes out; `own`: the worker is one that
    // connected here by itself. It may once `then(true)` comes, at once or later; `repeatable`: it
    // may be made twice. None: there are no promises.
    std::function<void(const std::string& promise, const std::string& worker, bool own,
                       bool repeatable, std::function<void(bool)> then)>
        before_send = {};
  };

  Planner(const balancing::Settings& settings, std::uint64_t seed, Deadlines* deadlines,
          Hooks hooks, Counters* counters, const scheduling::Options& options = {});

  // Tells the module that it lives and what it last knew. Call once, before anything else.
  void Start(const std::vector<balancing::Endpoint>& known);
  // A forwarder takes part from now on; its requests carry the number returned. In process, its
  // word of a start cannot be under way while we decide.
  std::uint64_t AddForwarder(ForwarderPort* port, bool in_process);
  // The forwarder is gone, and with it all of its clients and connections.
  void OnForwarderLost(std::uint64_t forwarder);

  void OnRequest(const Request& request);
  void OnRequestCancelled(RequestId id);
  void OnAttemptStarted(RequestId id, int attempt);
  void OnAttemptEnded(RequestId id, int attempt, const Outcome& outcome);
  void OnProbeAnswered(const std::string& worker, const Outcome& outcome);
  void OnLocalWorkerChanged(std::uint64_t forwarder, const balancing::Endpoint& member);
  void OnEndpointsUpdated(balancing::EndpointListKind kind,
                          const std::vector<balancing::Endpoint>& members);
  void OnPeerMessage(int sender, const std::string& body);
  // An operator takes a worker out of service, or puts it back. The state stands over whatever
  // lists say; one call back undoes any number out. False if no such worker was ever listed.
  bool SetMaintenance(const std::string& worker, bool out);
  // The names of the classes, by index; those not live only open requests have.
  void NameClasses(std::vector<std::string> names, std::vector<bool> live);
  int ClassIndex(const std::string& name) const;  // -1: none
  // Other settings under load: open requests keep their class, and so its rules, and the number of
  // attempts that they came with.
  void Configure(const balancing::Settings& settings, std::vector<std::string> names,
                 std::vector<bool> live, std::vector<int> begun);
  // Other bounds on the waiting room and on what is held; open requests that wait go on waiting.
  void Configure(const scheduling::Options& options) { balancer_.Configure(options); }
  bool InUse(int cls) const;  // by an open request

  // While a process is replaced, two planners are one. What is known of a worker goes from the
  // old one to the new: when a drain was told or it was taken out, each -1 if it was not.
  struct WorkerSnapshot {
    balancing::Endpoint member;
    double drain_told_at = -1, out_since = -1;
  };
  std::vector<WorkerSnapshot> ExportWorkers() const;
  // Before Start: what the other knew, and what its module had learned.
  void ImportState(const std::vector<WorkerSnapshot>& known, std::string_view learned,
                   const std::vector<int>& classes);
  std::string SaveState() const { return balancer_.SaveState(); }
  std::vector<std::string> WireIds() const;         // all that may not come again
  void MarkWireIdUsed(const std::string& wire_id);  // by the other
  void OnSiblingProcess(bool present, bool leaving);
  // The other was told that a worker drains or is gone: so were we, unless we know a later start.
  void OnSiblingWorkerDown(const balancing::Endpoint& member);
  // The same from another node, which names the start that it speaks of.
  void OnPeerWorkerDown(const std::string& worker, double started_at_s, bool gone);
  bool HasWorker(const std::string& worker) const { return workers_.contains(worker); }

  std::size_t open_requests() const { return ledger_.size(); }
  const scheduling::SchedulingBalancer& balancer() const { return balancer_; }
  // By tenant: requests per second that came in lately, whether they were let in or not. What a
  // client marks as sent again counts once. The module's own measure is smoothed for longer, and
  // the more so the larger the tier.
  std::vector<double> TenantDemand() { return demand_.Rates(hooks_.now()); }
  const std::string& class_name(int cls) const {
    return class_names_[static_cast<std::size_t>(cls)];
  }
  std::size_t pending() const { return pending_; }  // taken and without a final answer yet
  // Workers on the list, and those of them that nothing new goes to.
  std::pair<std::size_t, std::size_t> Members() const;
  const balancing::Settings& settings() const { return settings_; }

 private:
  struct Attempt {
    std::string worker;
    double sent_at = 0;
    bool open = true, may_have_run = true;
    bool began = false;  // word has come that it runs
    bool held = false;   // it waits for a promise to be written, or for the list
  };
  struct Entry {
    int cls = 0, max_attempts = 1;
    std::string wire_id, promise;
    bool answered = false;
    std::vector<Attempt> attempts;
    Deadlines::Ticket expiry = Deadlines::kNone;
    bool MayHaveRun() const;
  };
  struct Worker {
    balancing::Endpoint member;
    double drain_told_at = -1;    // when it was first told to drain or be gone; -1: in service
    std::uint64_t forwarder = 0;  // owner, for one that connects by itself
    bool local = false;
    double out_since = -1;  // when an operator took it out; -1: in service
  };

  void Post(std::function<void()> event);
  void Deliver(const balancing::Event& event);
  void Do(const balancing::SendAttempt& a);
  void Do(const balancing::RejectRequest& a);
  void Do(const balancing::FailRequest& a);
  void Do(const balancing::CancelAttempt& a);
  void Do(const balancing::SetTimer& a);
  void Do(const balancing::Probe& a);
  void Do(const balancing::SendPeerMessage& a);
  void Do(const balancing::Subscribe& a);
  void Do(const balancing::FetchEndpoints& a);
  void Do(const balancing::AwaitCapacity&) {}  // the desk keeps it
  void Do(const balancing::Log& a);

  Entry* Find(RequestId id);
  Entry* Find(const std::string& name, RequestId* id);
  ForwarderPort* PortOf(RequestId id);
  // `itself`: the attempt that is asked about, where it is in the entry already.
  const char* WhyNot(const Entry& entry, RequestId id, const std::string& worker,
                     std::size_t itself = static_cast<std::size_t>(-1)) const;
  const char* WhyNotAgain(const Attempt& before, const balancing::ClassSettings& cls,
                          const Worker& worker_state) const;
  bool TakeUp(const Request& request, Entry* entry, std::vector<balancing::PreviousAttempt>* tried);
  bool Repeatable(int cls) const;
  void ListCame();
  void Dispatch(RequestId id, std::size_t attempt, const std::string& worker, double timeout_s);
  void End(RequestId id, Entry* entry, std::size_t attempt, const Outcome& outcome);
  bool SurelyWaiting(RequestId id, const Attempt& attempt) const;
  void Answer(RequestId id, Entry* entry, FinalAnswer answer);
  void Expire(RequestId id);
  void Forget(RequestId id);
  void Note(const balancing::Endpoint& member, bool local, std::uint64_t forwarder);
  void RememberId(std::string wire_id);
  void ForgetWhatTheModuleForgot();

  balancing::Settings settings_;
  scheduling::SchedulingBalancer balancer_;  // the module, with the scheduler before it
  Deadlines* deadlines_;
  Hooks hooks_;
  Counters* counters_;
  std::map<std::uint64_t, ForwarderPort*> forwarders_;
  std::set<std::uint64_t> in_process_;
  std::uint64_t next_forwarder_ = 0;
  std::unordered_map<RequestId, Entry> ledger_;
  std::unordered_set<std::string> wire_ids_;  // of all in the ledger, and of the last that ended
  std::deque<std::string> ended_ids_;         // those, in order
  std::map<std::string, Worker> workers_;
  struct Waiting {
    RequestId id;
    std::size_t attempt;
    std::string worker;
    double timeout_s;
  };
  std::vector<Waiting> waiting_;  // sends, for the list
  std::deque<std::function<void()>> queue_;
  bool running_ = false;
  balancing::FleetShare parts_;  // as last agreed on, where nodes do
  double parts_at_ = 0;
  DemandMeter demand_;
  std::size_t pending_ = 0;
  std::vector<std::string> class_names_;
  std::vector<bool> class_live_;
};

// The link for a forwarder in the planner's own process.
class LocalLink final : public PlannerLink {
 public:
  LocalLink(Planner* planner, std::uint64_t forwarder) : planner_(planner), me_(forwarder) {}
  void OnRequest(const Request& request) override { planner_->OnRequest(request); }
  void OnRequestCancelled(RequestId id) override { planner_->OnRequestCancelled(id); }
  void OnAttemptStarted(RequestId id, int attempt) override {
    planner_->OnAttemptStarted(id, attempt);
  }
  void OnAttemptEnded(RequestId id, int attempt, const Outcome& o) override {
    planner_->OnAttemptEnded(id, attempt, o);
  }
  void OnProbeAnswered(const std::string& worker, const Outcome& o) override {
    planner_->OnProbeAnswered(worker, o);
  }
  void OnWorkerChanged(const balancing::Endpoint& m) override {
    planner_->OnLocalWorkerChanged(me_, m);
  }

 private:
  Planner* planner_;
  std::uint64_t me_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_CORE_PLANNER_H_
