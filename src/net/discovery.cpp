#include "net/discovery.h"

#include <algorithm>

#include "encoding/json_value.h"
#include "logging/log.h"
#include "net/connection.h"
#include "net/http/parser.h"

namespace millethollow {

using balancing::EndpointListKind;
using balancing::Readiness;
using encoding::JsonValue;

namespace {

constexpr std::size_t kMaxListBytes = 4 * 1024 * 1024;
constexpr double kConnectTimeoutS = 1.0;
constexpr double kPollTimeoutS = 4.0;  // timeout of a poll that discovery may not hold
// A long poll times out this long after the time for which discovery may hold it: the changes that
// it should have returned count as delivered by then.
constexpr double kLongPollGraceS = 1.5;
// Longest time for which discovery may hold a long poll. A long poll that is never answered is
// noticed only kLongPollGraceS after that time, and changes are missed until then. Short long polls
// keep that time short and cost discovery little.
constexpr double kMaxLongPollS = 3;
// Discovery serves polls one at a time. With more nodes than this, short long polls alone
// keep it busy, and each change ends all of them at once: most polls would then be queued until
// they fail, and the nodes would keep sending to workers that are gone. Nodes of larger tiers use
// longer long polls, spread their polls over time, and back off for longer after a failure.
constexpr int kSmallTierNodes = 6;
constexpr double kLargeTierLongPollS = 12;
// Jitter as a share of the long poll, so that long polls that time out together are not repeated
// together.
constexpr double kLongPollJitter = 0.3;
// Delay after a long poll that was answered at once without a change, so that a discovery that does
// not hold polls is not polled in a busy loop. Less than the 200 ms within which a poll continues
// the watch.
constexpr double kUnchangedDelayS = 0.1;
// Share of the drain grace after a list for which requests may be sent by it without the answer to
// the next poll. The rest is for the time that sending takes.
constexpr double kOverdueShare = 0.95;
// Longest time for which requests are held back until the next poll. With longer delays discovery
// is so overloaded that requests would expire while they are held.
constexpr double kMaxSendHoldS = 1.0;
// After a change of address: the changes known at the new address count as delivered this long
// after it. Until then failed polls are retried quickly.
constexpr double kAddressChangeDeliveryS = 4.0;
constexpr double kAddressChangeRetryS = 0.15;

// Most entries of a list that is used.
constexpr std::size_t kMaxListEntries = 65'536;

// The members of a list's entry; unset where the entry has none of the name.
struct EntryFields {
  std::optional<JsonValue> id, address, max_in_flight, state, zone, kind, cell, weight, slots,
      memory, started_ms;
};

EntryFields ReadEntryFields(const JsonValue& entry) {
  EntryFields fields;
  const std::pair<std::string_view, std::optional<JsonValue>*> members[] = {
      {"id", &fields.id},
      {"addr", &fields.address},
      {"max_out", &fields.max_in_flight},
      {"state", &fields.state},
      {"zone", &fields.zone},
      {"kind", &fields.kind},
      {"cell", &fields.cell},
      {"weight", &fields.weight},
      {"slots", &fields.slots},
      {"memory", &fields.memory},
      {"started_ms", &fields.started_ms}};
  entry.ForEachMember([&](const std::string& name, const JsonValue& value) {
    for (const auto& [member_name, field] : members) {
      if (name == member_name) *field = value;
    }
  });
  return fields;
}

// The field as text; `fallback` if it is missing or of another type.
std::string Text(const std::optional<JsonValue>& field, const char* fallback) {
  const std::optional<std::string> text = field ? field->String() : std::nullopt;
  return text ? *text : fallback;
}

// The field as a number, bounded so that any value fits an integer of 64 bits.
double Number(const std::optional<JsonValue>& field, double fallback) {
  constexpr double kMaxNumber = 1e15;
  const std::optional<double> number = field ? field->Number() : std::nullopt;
  return number ? std::clamp(*number, -kMaxNumber, kMaxNumber) : fallback;
}

// The index that the field gives, as a number or by name; 0 if it is missing or unknown.
int IndexOf(const std::vector<std::string>& names, const std::optional<JsonValue>& field) {
  constexpr double kMaxIndex = 1e9;
  if (field && field->is_integer())
    return static_cast<int>(std::clamp(*field->Number(), -kMaxIndex, kMaxIndex));
  const std::optional<std::string> name = field ? field->String() : std::nullopt;
  if (!name) return 0;
  const auto position = std::find(names.begin(), names.end(), *name);
  return position == names.end() ? 0 : static_cast<int>(position - names.begin());
}

// Parses an entry of a list; nullopt without an id.
std::optional<ListEntry> ReadListEntry(const JsonValue& value,
                                       const std::vector<std::string>& zones,
                                       const std::vector<std::string>& kinds) {
  const EntryFields fields = ReadEntryFields(value);
  if (!fields.id || !fields.id->is_string()) return std::nullopt;
  ListEntry entry;
  entry.endpoint.worker = *fields.id->String();
  entry.address = Text(fields.address, "");
  entry.max_in_flight =
      static_cast<std::size_t>(std::clamp(Number(fields.max_in_flight, 0), 0.0, 1e6));
  const std::string state = Text(fields.state, "in_service");
  // A worker in an unknown state gets no new requests, as one that is draining.
  entry.endpoint.readiness = state == "in_service"   ? Readiness::kReady
                             : state == "terminated" ? Readiness::kGone
                                                     : Readiness::kDraining;
  entry.endpoint.zone = IndexOf(zones, fields.zone);
  entry.endpoint.kind = IndexOf(kinds, fields.kind);
  entry.endpoint.cell = static_cast<int>(std::clamp(Number(fields.cell, 0), -1e9, 1e9));
  entry.endpoint.capacity_hint = Number(fields.weight, 1.0);
  entry.endpoint.slots = std::clamp(Number(fields.slots, 0), 0.0, 1e6);
  entry.endpoint.memory = std::clamp(Number(fields.memory, 0), 0.0, 1e12);
  entry.endpoint.started_at_s =
      Number(fields.started_ms, 0) / 1000;  // the loop's clock is Unix time
  return entry;
}

}  // namespace

std::vector<balancing::Endpoint> EndpointList::Endpoints() const {
  std::vector<balancing::Endpoint> endpoints;
  for (const ListEntry& entry : entries) endpoints.push_back(entry.endpoint);
  return endpoints;
}

bool ReadEndpointList(std::string_view text, const std::vector<std::string>& zones,
                      const std::vector<std::string>& kinds, EndpointList* list,
                      std::string* error) {
  const std::optional<JsonValue> object = JsonValue::Parse(text);
  if (!object || !object->is_object()) return *error = "the list is not a JSON object", false;
  std::optional<JsonValue> servers, version, full;
  object->ForEachMember([&](const std::string& name, const JsonValue& value) {
    if (name == "servers") servers = value;
    if (name == "version") version = value;
    if (name == "full") full = value;
  });
  if (!servers || !servers->is_array()) return *error = "the list has no array 'servers'", false;
  list->version = static_cast<long long>(Number(version, 0));
  list->full = full && full->Boolean().value_or(false);
  bool too_long = false;
  servers->ForEachElement([&](const JsonValue& server) {
    if (std::optional<ListEntry> entry = ReadListEntry(server, zones, kinds)) {
      list->entries.push_back(*std::move(entry));
    }
    too_long = list->entries.size() > kMaxListEntries;
    return !too_long;
  });
  if (too_long) return *error = "the list has too many entries", false;
  return true;
}

// A keep-alive connection to discovery that carries one poll at a time.
class DiscoveryConnection final : public Connection {
 public:
  DiscoveryConnection(Discovery* owner, Loop* loop, bool is_fetch)
      : Connection(loop, "discovery"), owner_(owner), is_fetch_(is_fetch) {}
  ~DiscoveryConnection() override { loop_->deadlines().Drop(&timeout_timer_); }

  bool Open(const std::string& address) {
    const auto parsed = ParseAddress(address);
    return parsed && Connect(*parsed);
  }
  // `long_poll`: discovery may hold the poll until there is a change. `immediate`: the poll follows
  // an answer immediately.
  void SendPoll(const std::string& target, double timeout_s, bool long_poll, bool immediate) {
    parser_.Reset();
    long_poll_ = long_poll;
    immediate_ = immediate;
    busy_ = true;
    sent_at_ = loop_->Now();
    Write("GET " + target + " HTTP/1.1\r\nHost: discovery\r\n\r\n");
    loop_->deadlines().Drop(&timeout_timer_);
    timeout_timer_ = loop_->deadlines().At(sent_at_ + timeout_s, [this] {
      timeout_timer_ = Deadlines::kNone;
      long_poll_ ? owner_->OnLongPollTimeout(this)
                 : owner_->OnPollFailed(this, "timeout", is_fetch_);
    });
  }
  void Finish(const char* reason) { Close(reason); }
  bool busy() const { return busy_ && !closed(); }
  bool long_poll() const { return long_poll_; }
  bool immediate() const { return immediate_; }
  double sent_at() const { return sent_at_; }

 private:
  void OnRead() override {
    while (!closed() && !parser_.done()) {
      const std::string bytes = Peek(64 * 1024);
      if (bytes.empty()) return;
      if (!busy_) return owner_->OnPollFailed(this, "unasked-data", is_fetch_);
      Consume(parser_.Feed(bytes));
      if (parser_.error() != 0) return owner_->OnPollFailed(this, "nonsense", is_fetch_);
    }
    if (!closed()) Complete();
  }
  void Complete() {
    busy_ = false;
    loop_->deadlines().Drop(&timeout_timer_);
    const bool keep_alive = parser_.head().keep_alive;
    const std::string body = parser_.TakeBody();
    const int status = parser_.head().status;
    if (!keep_alive) Close("answered-last");
    owner_->OnAnswer(this, status, body, is_fetch_);
  }
  void OnEnd(const char* reason) override {
    if (busy_) {
      parser_.EndOfInput();
      if (parser_.done()) return Complete();
      return owner_->OnPollFailed(this, reason, is_fetch_);
    }
    Close(reason);
  }

  Discovery* owner_;
  bool is_fetch_, busy_ = false, long_poll_ = false, immediate_ = false;
  double sent_at_ = 0;
  http::Parser parser_{http::Parser::Side::kResponse, {.head = 16 * 1024, .body = kMaxListBytes}};
  Deadlines::TimerId timeout_timer_ = Deadlines::kNone;
};

Discovery::Discovery(Loop* loop, Options options, Hooks hooks)
    : loop_(loop),
      options_(std::move(options)),
      hooks_(std::move(hooks)),
      backoff_(options_.nodes),
      random_state_(options_.seed | 1) {}
Discovery::~Discovery() {
  loop_->deadlines().Drop(&poll_timer_);
  loop_->deadlines().Drop(&refetch_timer_);
}

void Discovery::SetAddress(const std::string& address) {
  if (stopped_ || address == options_.address) return;
  options_.address = address;
  LogLine(Level::kInfo) << "discovery moved to " << address;
  if (old_address_watch_ != nullptr) Drop(old_address_watch_.get());
  old_address_watch_ = std::move(watch_);
  if (old_address_watch_ != nullptr && !old_address_watch_->busy()) Drop(old_address_watch_.get());
  if (fetch_ != nullptr) Drop(fetch_.get());
  loop_->deadlines().Drop(&poll_timer_);
  loop_->deadlines().Drop(&refetch_timer_);
  consecutive_failures_ = 0;
  version_ = 0;
  awaiting_first_list_ = true;
  address_changed_at_ = loop_->Now();
  watching_ = true;
  SendPoll(false, 0);
}

bool Discovery::IsOverdue() const { return loop_->Now() >= overdue_from_; }

bool Discovery::IsLargeTier() const { return options_.nodes > kSmallTierNodes; }

double Discovery::LongPollS() {
  if (IsLargeTier()) {
    const double max_hold_s =
        std::min(kLargeTierLongPollS, kMaxLongPollS * options_.nodes / kSmallTierNodes);
    return max_hold_s * (1 - kLongPollJitter * RandomUnit());
  }
  return std::min(kMaxLongPollS, std::max(1.0, options_.max_poll_interval_s * 0.8));
}

double Discovery::RandomUnit() {
  random_state_ = random_state_ * 6364136223846793005ULL + 1442695040888963407ULL;
  return static_cast<double>(random_state_ >> 40) / static_cast<double>(1 << 24);
}

// Polls after `delay_s` seconds; `long_poll` makes it a long poll.
void Discovery::SchedulePoll(double delay_s, bool long_poll) {
  loop_->deadlines().Drop(&poll_timer_);
  poll_timer_ = loop_->deadlines().At(loop_->Now() + delay_s, [this, long_poll] {
    poll_timer_ = Deadlines::kNone;
    if (watching_ && !stopped_) SendPoll(false, long_poll ? LongPollS() : 0);
  });
}

void Discovery::Subscribe(bool enable) {
  if (stopped_) return;
  if (!enable) {
    watching_ = false;
    if (watch_ != nullptr) Drop(watch_.get());
    return;
  }
  if (watching_) return;  // the current poll will return the changes
  watching_ = true;
  loop_->deadlines().Drop(&poll_timer_);
  if (IsLargeTier() && loop_->Now() - address_changed_at_ >= kAddressChangeDeliveryS)
    return SchedulePoll(backoff_.InitialDelay(RandomUnit()));
  // The first poll is no long poll: it returns the changes so far and shows that discovery is up.
  SendPoll(false, 0);
}

void Discovery::Fetch() {
  if (!stopped_ && fetch_ == nullptr) SendPoll(true, 0);
}

void Discovery::Stop() {
  stopped_ = true;
  loop_->deadlines().Drop(&poll_timer_);
  loop_->deadlines().Drop(&refetch_timer_);
  if (old_address_watch_ != nullptr) Drop(old_address_watch_.get());
  if (watch_ != nullptr) Drop(watch_.get());
  if (fetch_ != nullptr) Drop(fetch_.get());
}

void Discovery::SendPoll(bool is_fetch, double hold_s, bool immediate) {
  auto& connection = is_fetch ? fetch_ : watch_;
  if (connection == nullptr || connection->closed()) {
    if (connection != nullptr) Drop(connection.get());
    connection = std::make_unique<DiscoveryConnection>(this, loop_, is_fetch);
    if (!connection->Open(options_.address))
      return OnPollFailed(connection.get(), "no-connection", is_fetch);
  }
  const auto hold_ms = static_cast<long long>(hold_s * 1000);
  connection->SendPoll(
      is_fetch || awaiting_first_list_ ? "/catalog/members"
                                       : "/catalog/members?after=" + std::to_string(version_) +
                                             "&wait_ms=" + std::to_string(hold_ms),
      hold_s > 0 ? hold_s + kLongPollGraceS : kPollTimeoutS, hold_s > 0, immediate);
}

void Discovery::OnAnswer(DiscoveryConnection* connection, int status, const std::string& body,
                         bool is_fetch) {
  if (connection == old_address_watch_.get()) {
    if (status == 200) OnOldAddressAnswer(body);
    return Drop(connection);
  }
  EndpointList list;
  std::string error;
  if (status != 200 || !ReadEndpointList(body, options_.zones, options_.kinds, &list, &error)) {
    return OnPollFailed(connection, status != 200 ? "status" : error.c_str(), is_fetch);
  }
  consecutive_failures_ = 0;
  if (is_fetch && list.version > 0 && list.version < version_) {
    // The watch has returned newer changes than this snapshot, which would bring back workers that
    // have terminated since. Fetch again.
    Drop(connection);
    loop_->deadlines().Drop(&refetch_timer_);
    refetch_timer_ = loop_->deadlines().At(loop_->Now() + kUnchangedDelayS, [this] {
      refetch_timer_ = Deadlines::kNone;
      Fetch();
    });
    return;
  }
  if (std::exchange(awaiting_first_list_, false)) KeepUnavailableDraining(&list);
  RecordUnavailable(list);
  if (is_fetch) {
    Drop(connection);
  } else if (watching_) {
    const bool changed = list.version > version_;
    const bool answered_at_once = loop_->Now() - connection->sent_at() < kUnchangedDelayS;
    if (list.version > 0) version_ = list.version;
    overdue_from_ = kNever;
    const double delay_s = IsLargeTier() ? backoff_.DelayAfterAnswer(RandomUnit()) : 0;
    if (changed && delay_s > 0) {
      // A change right after the answer counts as delivered, since the watch could have continued.
      const double max_delay_s = kOverdueShare * options_.drain_grace_s;
      if (delay_s < max_delay_s + kMaxSendHoldS) overdue_from_ = loop_->Now() + max_delay_s;
      SchedulePoll(delay_s);
    } else if (!changed && connection->long_poll() && answered_at_once) {
      SchedulePoll(kUnchangedDelayS, true);
    } else {  // immediately, on the same connection: a later poll would start a new watch
      SendPoll(false, LongPollS(), true);
    }
  }
  if (list.version > 0) version_ = std::max(version_, list.version);
  hooks_.on_list(list.full ? EndpointListKind::kSnapshot : EndpointListKind::kIncremental, list);
}

// The new address is now authoritative for which workers are in service. But a drain that only the
// old address reported has been delivered to this node and must be honoured.
void Discovery::OnOldAddressAnswer(const std::string& body) {
  EndpointList list;
  std::string error;
  if (!ReadEndpointList(body, options_.zones, options_.kinds, &list, &error)) return;
  std::erase_if(list.entries, [](const ListEntry& entry) {
    return entry.endpoint.readiness == Readiness::kReady;
  });
  if (list.entries.empty()) return;
  RecordUnavailable(list);
  hooks_.on_list(EndpointListKind::kIncremental, list);
}

// The first list of a new address may be older than the last one of the old address, so a worker
// that was draining or gone returns to service by it only with a later start time. Once all changes
// count as delivered, the complete list is fetched again and used as it is.
void Discovery::KeepUnavailableDraining(EndpointList* list) {
  bool any_changed = false;
  for (ListEntry& entry : list->entries) {
    const auto it = unavailable_.find(entry.endpoint.worker);
    if (it == unavailable_.end() || entry.endpoint.started_at_s > it->second) continue;
    if (entry.endpoint.readiness != Readiness::kReady) continue;
    entry.endpoint.readiness = Readiness::kDraining;
    any_changed = true;
  }
  if (!any_changed) return;
  refetch_timer_ = loop_->deadlines().At(address_changed_at_ + kAddressChangeDeliveryS, [this] {
    refetch_timer_ = Deadlines::kNone;
    Fetch();
  });
}

void Discovery::RecordUnavailable(const EndpointList& list) {
  if (list.full) unavailable_.clear();
  for (const ListEntry& entry : list.entries) {
    if (entry.endpoint.readiness == Readiness::kReady) {
      unavailable_.erase(entry.endpoint.worker);
    } else {
      unavailable_[entry.endpoint.worker] = entry.endpoint.started_at_s;
    }
  }
}

// A long poll was not answered in time. The changes that it should have returned are overdue; a
// poll on a new connection returns them.
void Discovery::OnLongPollTimeout(DiscoveryConnection* connection) {
  if (connection == old_address_watch_.get()) return Drop(connection);
  overdue_from_ = kNever;
  DropFailed(connection, "silent");
  SchedulePoll(backoff_.DelayAfterTimeout(RandomUnit()));
  hooks_.on_unavailable();
}

void Discovery::DropFailed(DiscoveryConnection* connection, const char* reason) {
  LogLine(Level::kWarn) << "poll of discovery failed: " << reason;
  Drop(connection);
}

void Discovery::OnPollFailed(DiscoveryConnection* connection, const char* reason, bool is_fetch) {
  if (connection == old_address_watch_.get())
    return Drop(connection);  // it was about to be dropped anyway
  if (!is_fetch) overdue_from_ = kNever;
  // A poll that was open for longer was held by discovery, and so failed with its connection
  // instead of being rejected.
  const bool rejected =
      connection->immediate() && loop_->Now() - connection->sent_at() < kPollTimeoutS;
  DropFailed(connection, reason);
  if (!is_fetch && IsLargeTier() && loop_->Now() - address_changed_at_ >= kAddressChangeDeliveryS) {
    if (rejected) backoff_.OnImmediatePollRejected();
    SchedulePoll(
        backoff_.DelayAfterFailure(RandomUnit()));  // also if the planner subscribes earlier
  } else if (!is_fetch) {
    watching_ = false;
    consecutive_failures_ = std::min(consecutive_failures_ + 1, 5);
    // The planner is expected to subscribe again. If it does not, this does so with exponential
    // backoff and jitter, always within the time that the list may go without a poll.
    const double random = RandomUnit();
    const double max_delay_s = 0.4 * options_.max_poll_interval_s;
    double delay_s =
        std::min(max_delay_s, 0.5 * (1 << consecutive_failures_)) * (0.75 + 0.5 * random) +
        0.1 * options_.max_poll_interval_s;
    if (loop_->Now() - address_changed_at_ < kAddressChangeDeliveryS)
      delay_s = kAddressChangeRetryS * (0.75 + 0.5 * random);
    loop_->deadlines().Drop(&poll_timer_);
    poll_timer_ = loop_->deadlines().At(loop_->Now() + delay_s, [this] {
      poll_timer_ = Deadlines::kNone;
      Subscribe(true);
    });
  }
  hooks_.on_unavailable();
}

void Discovery::Drop(DiscoveryConnection* connection) {
  auto& slot = watch_.get() == connection               ? watch_
               : old_address_watch_.get() == connection ? old_address_watch_
                                                        : fetch_;
  if (slot.get() != connection) return;
  connection->Finish("done");
  // One of its callbacks may be on the stack, so it is destroyed at the end of the turn.
  std::shared_ptr<DiscoveryConnection> dropped(std::move(slot));
  loop_->Defer([dropped] {});
}

}  // namespace millethollow
