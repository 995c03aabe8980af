#include "net/discovery.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "logging/log.h"
#include "net/connection.h"
#include "net/http/parser.h"

namespace millethollow {

using balancing::EndpointListKind;
using balancing::Readiness;
using Json = nlohmann::json;

namespace {

constexpr std::size_t kMaxListBytes = 4 * 1024 * 1024;
constexpr double kConnectS = 1.0;
constexpr double kCallS = 4.0;  // a call that does not wait is given up after this
// What a watch had to tell counts as told this long after its wait: silence may not last longer.
constexpr double kPastWaitS = 1.5;
// Of one watch. A watch that falls silent is noticed only kPastWaitS after its wait, and until then
// all that changes goes unheard: short waits cost discovery little and keep that short too.
constexpr double kMaxWaitS = 3;
// Discovery works through calls one after the other. Of a tier of this many nodes short watches
// alone keep it busy, and each change ends all watches at once: most calls then waited until they
// failed, and the nodes went on sending to workers long gone. Many nodes watch for longer, spread
// their calls, and keep away for longer after one that failed.
constexpr int kCrowd = 6;
constexpr double kCrowdWaitS = 12;
constexpr double kCrowdWaitSpread = 0.3;  // of it: watches that fell silent together end apart
// A watch that ends at once with nothing new: the next comes a little later, else a discovery that
// does not wait is called without end. Sooner than 200 ms, within which a watch goes on.
constexpr double kNoNewsS = 0.1;
// Of the drain grace after a list, when nothing may be sent by it until the next call's answer. The
// rest is for what the send itself takes.
constexpr double kOverdueShare = 0.95;
// Sends wait no longer than this for a call that is to come: beyond, discovery bears so few calls
// that requests would end while they wait.
constexpr double kMaxHeldS = 1.0;
// After a move: what the new address has to tell counts as told this long after it, and until then
// a call that fails is soon tried again.
constexpr double kMoveS = 4.0;
constexpr double kMoveRetryS = 0.15;

int IndexOf(const std::vector<std::string>& names, const Json& entry, const char* field) {
  const auto it = entry.find(field);
  if (it == entry.end()) return 0;
  if (it->is_number_integer()) return it->get<int>();
  if (!it->is_string()) return 0;
  const auto at = std::find(names.begin(), names.end(), it->get_ref<const std::string&>());
  return at == names.end() ? 0 : static_cast<int>(at - names.begin());
}

// Bounded, so that whatever stands there fits an integer.
double Number(const Json& entry, const char* field, double otherwise) {
  constexpr double kMaxNumber = 1e15;
  const auto it = entry.find(field);
  if (it == entry.end() || !it->is_number()) return otherwise;
  return std::clamp(it->get<double>(), -kMaxNumber, kMaxNumber);
}

}  // namespace

std::vector<balancing::Endpoint> ServerList::Members() const {
  std::vector<balancing::Endpoint> members;
  for (const ListEntry& e : entries) members.push_back(e.member);
  return members;
}

bool ReadServerList(std::string_view text, const std::vector<std::string>& zones,
                    const std::vector<std::string>& kinds, ServerList* list, std::string* error) {
  const Json object = Json::parse(text, nullptr, false);
  if (!object.is_object()) return *error = "the list is not a JSON object", false;
  const auto servers = object.find("servers");
  if (servers == object.end() || !servers->is_array()) {
    return *error = "the list has no array 'servers'", false;
  }
  list->version = static_cast<long long>(Number(object, "version", 0));
  const auto full = object.find("full");
  list->full = full != object.end() && full->is_boolean() && full->get<bool>();
  for (const Json& s : *servers) {
    if (!s.is_object() || !s.contains("id") || !s["id"].is_string()) continue;
    ListEntry entry;
    entry.member.worker = s["id"].get<std::string>();
    if (s.contains("addr") && s["addr"].is_string()) entry.address = s["addr"].get<std::string>();
    entry.max_in_flight = static_cast<std::size_t>(std::clamp(Number(s, "max_out", 0), 0.0, 1e6));
    const std::string state = s.contains("state") && s["state"].is_string()
                                  ? s["state"].get<std::string>()
                                  : std::string("in_service");
    // An unknown state is taken as draining: nothing new goes where we do not know better.
    entry.member.readiness = state == "in_service"   ? Readiness::kReady
                             : state == "terminated" ? Readiness::kGone
                                                     : Readiness::kDraining;
    entry.member.zone = IndexOf(zones, s, "zone");
    entry.member.kind = IndexOf(kinds, s, "kind");
    entry.member.cell = static_cast<int>(std::clamp(Number(s, "cell", 0), -1e9, 1e9));
    entry.member.capacity_hint = Number(s, "weight", 1.0);
    entry.member.slots = std::clamp(Number(s, "slots", 0), 0.0, 1e6);
    entry.member.memory = std::clamp(Number(s, "memory", 0), 0.0, 1e12);
    entry.member.started_at_s = Number(s, "started_ms", 0) / 1000;  // the loop's clock is Unix time
    list->entries.push_back(std::move(entry));
  }
  return true;
}

// One connection to discovery, with one call after the other on it.
class DiscoveryCall final : public Connection {
 public:
  DiscoveryCall(Discovery* owner, Loop* loop, bool whole)
      : Connection(loop, "discovery"), owner_(owner), whole_(whole) {}
  ~DiscoveryCall() override { loop_->deadlines().Drop(&limit_); }

  bool Open(const std::string& address) {
    const auto parsed = ParseAddress(address);
    return parsed && Connect(*parsed);
  }
  // `waits`: discovery may keep it until there is something to tell.
  // `goes_on`: it follows an answer at once.
  void Ask(const std::string& target, double limit_s, bool waits, bool goes_on) {
    parser_.Reset();
    waits_ = waits;
    goes_on_ = goes_on;
    busy_ = true;
    asked_at_ = loop_->Now();
    Write("GET " + target + " HTTP/1.1\r\nHost: discovery\r\n\r\n");
    loop_->deadlines().Drop(&limit_);
    limit_ = loop_->deadlines().At(asked_at_ + limit_s, [this] {
      limit_ = Deadlines::kNone;
      waits_ ? owner_->Silent(this) : owner_->Failed(this, "timeout", whole_);
    });
  }
  void Finish(const char* reason) { Close(reason); }
  bool busy() const { return busy_ && !closed(); }
  bool waits() const { return waits_; }
  bool goes_on() const { return goes_on_; }
  double asked_at() const { return asked_at_; }

 private:
  void OnRead() override {
    while (!closed() && !parser_.done()) {
      const std::string bytes = Peek(64 * 1024);
      if (bytes.empty()) return;
      if (!busy_) return owner_->Failed(this, "unasked-data", whole_);
      Consume(parser_.Feed(bytes));
      if (parser_.error() != 0) return owner_->Failed(this, "nonsense", whole_);
    }
    if (!closed()) Complete();
  }
  void Complete() {
    busy_ = false;
    loop_->deadlines().Drop(&limit_);
    const bool keep = parser_.head().keep_alive;
    const std::string body = parser_.TakeBody();
    const int status = parser_.head().status;
    if (!keep) Close("answered-last");
    owner_->Answered(this, status, body, whole_);
  }
  void OnEnd(const char* reason) override {
    if (busy_) {
      parser_.EndOfInput();
      if (parser_.done()) return Complete();
      return owner_->Failed(this, reason, whole_);
    }
    Close(reason);
  }

  Discovery* owner_;
  bool whole_, busy_ = false, waits_ = false, goes_on_ = false;
  double asked_at_ = 0;
  http::Parser parser_{http::Parser::Side::kResponse, {.head = 16 * 1024, .body = kMaxListBytes}};
  Deadlines::Ticket limit_ = Deadlines::kNone;
};

Discovery::Discovery(Loop* loop, Options options, Hooks hooks)
    : loop_(loop),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      pace_(options_.nodes),
      jitter_(options_.seed | 1) {}
Discovery::~Discovery() {
  loop_->deadlines().Drop(&retry_);
  loop_->deadlines().Drop(&settle_);
}

void Discovery::SetAddress(const std::string& address) {
  if (stopped_ || address == options_.address) return;
  options_.address = address;
  LogLine(Level::kInfo) << "discovery moved to " << address;
  if (old_ != nullptr) Drop(old_.get());
  old_ = std::move(watch_);
  if (old_ != nullptr && !old_->busy()) Drop(old_.get());
  if (fetch_ != nullptr) Drop(fetch_.get());
  loop_->deadlines().Drop(&retry_);
  loop_->deadlines().Drop(&settle_);
  failures_ = 0;
  version_ = 0;
  unread_ = true;
  moved_at_ = loop_->Now();
  watching_ = true;
  Ask(false, 0);
}

bool Discovery::IsOverdue() const { return loop_->Now() >= overdue_from_; }

bool Discovery::IsLargeTier() const { return options_.nodes > kCrowd; }

double Discovery::WaitS() {
  if (IsLargeTier()) {
    const double max_wait_s = std::min(kCrowdWaitS, kMaxWaitS * options_.nodes / kCrowd);
    return max_wait_s * (1 - kCrowdWaitSpread * Unit());
  }
  return std::min(kMaxWaitS, std::max(1.0, options_.max_poll_interval_s * 0.8));
}

double Discovery::Unit() {
  jitter_ = jitter_ * 6364136223846793005ULL + 1442695040888963407ULL;
  return static_cast<double>(jitter_ >> 40) / static_cast<double>(1 << 24);
}

// Once `wait_s` have passed; `waits`: discovery may keep the call.
void Discovery::CallIn(double wait_s, bool waits) {
  loop_->deadlines().Drop(&retry_);
  retry_ = loop_->deadlines().At(loop_->Now() + wait_s, [this, waits] {
    retry_ = Deadlines::kNone;
    if (watching_ && !stopped_) Ask(false, waits ? WaitS() : 0);
  });
}

void Discovery::Subscribe(bool enable) {
  if (stopped_) return;
  if (!enable) {
    watching_ = false;
    if (watch_ != nullptr) Drop(watch_.get());
    return;
  }
  if (watching_) return;  // the watch is still out: what it has to tell will come
  watching_ = true;
  loop_->deadlines().Drop(&retry_);
  if (IsLargeTier() && loop_->Now() - moved_at_ >= kMoveS)
    return CallIn(pace_.InitialDelay(Unit()));
  // The first call does not wait: it says what was missed, and that discovery is there.
  Ask(false, 0);
}

void Discovery::Fetch() {
  if (!stopped_ && fetch_ == nullptr) Ask(true, 0);
}

void Discovery::Stop() {
  stopped_ = true;
  loop_->deadlines().Drop(&retry_);
  loop_->deadlines().Drop(&settle_);
  if (old_ != nullptr) Drop(old_.get());
  if (watch_ != nullptr) Drop(watch_.get());
  if (fetch_ != nullptr) Drop(fetch_.get());
}

void Discovery::Ask(bool whole, double wait_s, bool goes_on) {
  auto& call = whole ? fetch_ : watch_;
  if (call == nullptr || call->closed()) {
    if (call != nullptr) Drop(call.get());
    call = std::make_unique<DiscoveryCall>(this, loop_, whole);
    if (!call->Open(options_.address)) return Failed(call.get(), "no-connection", whole);
  }
  const auto wait_ms = static_cast<long long>(wait_s * 1000);
  call->Ask(whole || unread_ ? "/catalog/members"
                             : "/catalog/members?after=" + std::to_string(version_) +
                                   "&wait_ms=" + std::to_string(wait_ms),
            wait_s > 0 ? wait_s + kPastWaitS : kCallS, wait_s > 0, goes_on);
}

void Discovery::Answered(DiscoveryCall* call, int status, const std::string& body, bool whole) {
  if (call == old_.get()) {
    if (status == 200) OnOldAddressAnswer(body);
    return Drop(call);
  }
  ServerList list;
  std::string error;
  if (status != 200 || !ReadServerList(body, options_.zones, options_.kinds, &list, &error)) {
    return Failed(call, status != 200 ? "status" : error.c_str(), whole);
  }
  failures_ = 0;
  if (whole && list.version > 0 && list.version < version_) {
    // It was written before what the watch has told meanwhile: who ended since is no server again.
    Drop(call);
    loop_->deadlines().Drop(&settle_);
    settle_ = loop_->deadlines().At(loop_->Now() + kNoNewsS, [this] {
      settle_ = Deadlines::kNone;
      Fetch();
    });
    return;
  }
  if (std::exchange(unread_, false)) KeepDown(&list);
  RememberDown(list);
  if (whole) {
    Drop(call);
  } else if (watching_) {
    const bool news = list.version > version_;
    const bool soon = loop_->Now() - call->asked_at() < kNoNewsS;
    if (list.version > 0) version_ = list.version;
    overdue_from_ = kNever;
    const double spread_s = IsLargeTier() ? pace_.DelayAfterAnswer(Unit()) : 0;
    if (news && spread_s > 0) {
      // What changed right after the answer counts as told, since the watch might have gone on.
      const double max_delay_s = kOverdueShare * options_.drain_grace_s;
      if (spread_s < max_delay_s + kMaxHeldS) overdue_from_ = loop_->Now() + max_delay_s;
      CallIn(spread_s);
    } else if (!news && call->waits() && soon) {
      CallIn(kNoNewsS, true);
    } else {  // at once, on the same connection: a later call would begin a new watch
      Ask(false, WaitS(), true);
    }
  }
  if (list.version > 0) version_ = std::max(version_, list.version);
  hooks_.on_list(list.full ? EndpointListKind::kSnapshot : EndpointListKind::kIncremental, list);
}

// From here on the new address has the last word on who is in service. But a drain that only the
// old one told has been told to us all the same, and counts.
void Discovery::OnOldAddressAnswer(const std::string& body) {
  ServerList list;
  std::string error;
  if (!ReadServerList(body, options_.zones, options_.kinds, &list, &error)) return;
  std::erase_if(list.entries,
                [](const ListEntry& e) { return e.member.readiness == Readiness::kReady; });
  if (list.entries.empty()) return;
  RememberDown(list);
  hooks_.on_list(EndpointListKind::kIncremental, list);
}

// The first list of a new address may be older than what the old one told: nobody is back in
// service by it without a new start. Once all counts as told, the whole list is asked for again
// and believed.
void Discovery::KeepDown(ServerList* list) {
  bool kept = false;
  for (ListEntry& e : list->entries) {
    const auto it = down_.find(e.member.worker);
    if (it == down_.end() || e.member.started_at_s > it->second) continue;
    if (e.member.readiness != Readiness::kReady) continue;
    e.member.readiness = Readiness::kDraining;
    kept = true;
  }
  if (!kept) return;
  settle_ = loop_->deadlines().At(moved_at_ + kMoveS, [this] {
    settle_ = Deadlines::kNone;
    Fetch();
  });
}

void Discovery::RememberDown(const ServerList& list) {
  if (list.full) down_.clear();
  for (const ListEntry& e : list.entries) {
    if (e.member.readiness == Readiness::kReady) {
      down_.erase(e.member.worker);
    } else {
      down_[e.member.worker] = e.member.started_at_s;
    }
  }
}

// A watch that nobody answered though its wait is over: what it missed is overdue, and a call on a
// new connection brings it.
void Discovery::Silent(DiscoveryCall* call) {
  if (call == old_.get()) return Drop(call);
  overdue_from_ = kNever;
  Lost(call, "silent");
  CallIn(pace_.DelayAfterTimeout(Unit()));
  hooks_.on_unavailable();
}

void Discovery::Lost(DiscoveryCall* call, const char* reason) {
  LogLine(Level::kWarn) << "discovery call failed: " << reason;
  Drop(call);
}

void Discovery::Failed(DiscoveryCall* call, const char* reason, bool whole) {
  if (call == old_.get()) return Drop(call);  // it was to end
  if (!whole) overdue_from_ = kNever;
  // One that has lasted for longer was a watch, and has ended with discovery or its connection.
  const bool refused = call->goes_on() && loop_->Now() - call->asked_at() < kCallS;
  Lost(call, reason);
  if (!whole && IsLargeTier() && loop_->Now() - moved_at_ >= kMoveS) {
    if (refused) pace_.OnImmediatePollRejected();
    CallIn(pace_.DelayAfterFailure(Unit()));  // whatever the module asks meanwhile, no sooner
  } else if (!whole) {
    watching_ = false;
    failures_ = std::min(failures_ + 1, 5);
    // The module asks again in its own time; should it not, we do, later each time, and always
    // within the time that the list may be left unasked.
    const double unit = Unit();
    const double max_wait_s = 0.4 * options_.max_poll_interval_s;
    double wait = std::min(max_wait_s, 0.5 * (1 << failures_)) * (0.75 + 0.5 * unit) +
                  0.1 * options_.max_poll_interval_s;
    if (loop_->Now() - moved_at_ < kMoveS) wait = kMoveRetryS * (0.75 + 0.5 * unit);
    loop_->deadlines().Drop(&retry_);
    retry_ = loop_->deadlines().At(loop_->Now() + wait, [this] {
      retry_ = Deadlines::kNone;
      Subscribe(true);
    });
  }
  hooks_.on_unavailable();
}

void Discovery::Drop(DiscoveryCall* call) {
  auto& slot = watch_.get() == call ? watch_ : old_.get() == call ? old_ : fetch_;
  if (slot.get() != call) return;
  call->Finish("done");
  // Its callback may be on the stack: destroyed at the turn's end.
  std::shared_ptr<DiscoveryCall> old(std::move(slot));
  loop_->Defer([old] {});
}

}  // namespace millethollow
