#include "simulator_adapter/adapter.h"

#include "simulator_adapter/action_writer.h"
#include "simulator_adapter/field_reader.h"
#include "simulator_adapter/settings_reader.h"

namespace millethollow::simulator_adapter {
namespace {

constexpr std::size_t kMaxReportedBytes = 200;  // of a malformed line, in an error report

std::string_view MessageName(std::string_view text) { return text.substr(0, text.find(' ')); }

}  // namespace

bool Adapter::HandleLine(std::string_view text) {
  ++line_number_;
  if (!text.empty() && text.back() == '\r') text.remove_suffix(1);
  if (text.empty()) return true;
  const std::string_view name = MessageName(text);
  if (name == "TURN") return BeginBatch(text);
  if (!in_batch_) {
    ReportError(text, "a line outside a batch, framing is lost");
    return false;
  }
  if (name == "YOUR_TURN") {
    EndBatch(text);
  } else {
    HandleMessage(text);
  }
  return true;
}

bool Adapter::BeginBatch(std::string_view text) {
  if (in_batch_) {
    ReportError(text, "a batch begins inside a batch, framing is lost");
    return false;
  }
  const Status split = SplitLine(text, &line_);
  const std::optional<double> now_s = ParseNumber(FieldReader(line_.fields).TextOrEmpty("ts_s"));
  if (!split || !now_s) {
    ReportError(text, "a batch without a readable clock, framing is lost");
    return false;
  }
  now_s_ = *now_s;
  in_batch_ = true;
  reply_.clear();
  return true;
}

void Adapter::EndBatch(std::string_view text) {
  if (endpoint_lists_.ExpectsEntry()) ReportError(text, "a list ended early");
  endpoint_lists_.End();
  reply_ += "NEXT\n";
  in_batch_ = false;
  reply_ready_ = true;
}

std::optional<std::string> Adapter::TakeReply() {
  if (!reply_ready_) return std::nullopt;
  reply_ready_ = false;
  return std::exchange(reply_, {});
}

void Adapter::HandleMessage(std::string_view text) {
  Status status = SplitLine(text, &line_);
  if (!status) return ReportError(text, status.error().message);
  if (endpoint_lists_.ExpectsEntry() && line_.name == "ENTRY") {
    status = HandleEndpoint();
  } else {
    if (endpoint_lists_.ExpectsEntry()) ReportError(text, "a list ended early");
    endpoint_lists_.End();
    status = line_.name == "CENSUS" ? BeginEndpointList() : HandleInstanceMessage();
  }
  if (!status) ReportError(text, status.error().message);
}

Status Adapter::HandleEndpoint() {
  Result<balancing::Endpoint> endpoint = ReadEndpoint(line_.fields);
  if (!endpoint) {
    endpoint_lists_.SkipEntry();
    return tl::unexpected(std::move(endpoint).error());
  }
  endpoint_lists_.Add(*std::move(endpoint));
  return {};
}

Status Adapter::BeginEndpointList() {
  FieldReader fields(line_.fields);
  const std::int64_t list = fields.RequiredInteger("list");
  const std::int64_t entries = fields.RequiredInteger("elements");
  return fields.ok() ? endpoint_lists_.Begin(list, entries) : fields.status();
}

Status Adapter::HandleInstanceMessage() {
  FieldReader fields(line_.fields);
  const std::int64_t id = fields.RequiredInteger("scheduler");
  if (!fields.ok()) return fields.status();
  if (line_.name == "START") return StartInstance(id);
  if (line_.name == "KILLED") {
    instances_.erase(id);
    return {};
  }
  return HandleEvent(id);
}

Status Adapter::StartInstance(std::int64_t id) {
  FieldReader fields(line_.fields);
  const std::uint64_t seed = fields.RequiredUnsigned("rng_seed");
  if (!fields.ok()) return fields.status();
  const Result<balancing::Settings> settings = ParseSettings(line_.fields);
  if (!settings) {
    AppendInstanceFailure(id, settings.error().message, &reply_);
    return tl::unexpected(settings.error());
  }
  std::unique_ptr<scheduling::SchedulingBalancer>& instance = instances_[id];
  instance = std::make_unique<scheduling::SchedulingBalancer>(*settings, seed, scheduler_options_);
  Deliver(id, instance.get(), balancing::DispatcherStarted{});
  return {};
}

Status Adapter::HandleEvent(std::int64_t id) {
  const auto instance = instances_.find(id);
  if (instance == instances_.end()) {
    return MakeError(ErrorCode::kNotFound, "unknown or stopped instance");
  }
  const Result<std::optional<balancing::Event>> event = event_reader_.Read(line_);
  if (!event) return tl::unexpected(event.error());
  if (event->has_value()) Deliver(id, instance->second.get(), **event);
  return {};
}

void Adapter::Deliver(std::int64_t id, scheduling::SchedulingBalancer* instance,
                      const balancing::Event& event) {
  actions_.clear();
  instance->Handle(now_s_, event, &actions_);
  for (const balancing::Action& action : actions_) AppendAction(id, action, &reply_);
}

void Adapter::ReportError(std::string_view text, std::string_view error) {
  *errors_ << "simulator_adapter: line " << line_number_ << ": " << error << ": "
           << text.substr(0, kMaxReportedBytes) << (text.size() > kMaxReportedBytes ? "..." : "")
           << "\n";
}

}  // namespace millethollow::simulator_adapter
