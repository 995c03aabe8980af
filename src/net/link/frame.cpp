#include "net/link/frame.h"

#include <bit>
#include <cmath>

namespace millethollow::link {
namespace {

std::uint64_t ReadBigEndian(std::string_view bytes) {
  std::uint64_t value = 0;
  for (const char byte : bytes) value = value << 8 | static_cast<unsigned char>(byte);
  return value;
}

}  // namespace

Writer& Writer::Number(std::uint64_t value, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    bytes_.push_back(static_cast<char>(value >> shift & 0xff));
  }
  return *this;
}

Writer& Writer::F64(double value) { return U64(std::bit_cast<std::uint64_t>(value)); }

Writer& Writer::Text(std::string_view value) {
  value = value.substr(0, 0xffff);
  Number(value.size(), 2);
  bytes_.append(value);
  return *this;
}

Writer& Writer::Put(const Outcome& outcome) {
  U8(static_cast<std::uint8_t>(outcome.status))
      .F64(outcome.latency_s)
      .U8(outcome.client_error)
      .U8(outcome.has_report);
  for (const double value : outcome.report) F64(value);
  return *this;
}

Writer& Writer::Put(const balancing::Endpoint& endpoint) {
  return Text(endpoint.worker)
      .U8(static_cast<std::uint8_t>(endpoint.readiness))
      .I32(endpoint.zone)
      .I32(endpoint.kind)
      .I32(endpoint.cell)
      .F64(endpoint.capacity_hint)
      .F64(endpoint.started_at_s);
}

Writer& Writer::Raw(std::string_view value) {
  bytes_.append(value);
  return *this;
}

std::string Writer::Finish() {
  const std::size_t size = bytes_.size() - 4;
  for (std::size_t i = 0; i < 4; ++i) bytes_[i] = static_cast<char>(size >> (24 - 8 * i) & 0xff);
  return std::move(bytes_);
}

std::uint64_t Reader::Number(std::size_t bytes) {
  if (!ok_ || unread_.size() < bytes) {
    ok_ = false;
    return 0;
  }
  const std::uint64_t value = ReadBigEndian(unread_.substr(0, bytes));
  unread_.remove_prefix(bytes);
  return value;
}

double Reader::F64() {
  const auto value = std::bit_cast<double>(U64());
  if (std::isfinite(value)) return value;
  ok_ = false;
  return 0;
}

std::string Reader::Text() {
  const std::size_t size = Number(2);
  if (!ok_ || unread_.size() < size) {
    ok_ = false;
    return {};
  }
  std::string text(unread_.substr(0, size));
  unread_.remove_prefix(size);
  return text;
}

std::string Reader::Rest() {
  std::string rest(ok_ ? unread_ : std::string_view());
  unread_ = {};
  return rest;
}

Outcome Reader::GetOutcome() {
  Outcome outcome;
  const std::uint8_t status = U8();
  if (status > static_cast<std::uint8_t>(AttemptStatus::kNotSent)) ok_ = false;
  outcome.status = ok_ ? static_cast<AttemptStatus>(status) : AttemptStatus::kServerError;
  outcome.latency_s = F64();
  outcome.client_error = U8() != 0;
  outcome.has_report = U8() != 0;
  for (double& value : outcome.report) value = F64();
  return outcome;
}

balancing::Endpoint Reader::GetEndpoint() {
  balancing::Endpoint endpoint;
  endpoint.worker = Text();
  const std::uint8_t readiness = U8();
  if (readiness > static_cast<std::uint8_t>(balancing::Readiness::kGone)) ok_ = false;
  endpoint.readiness =
      ok_ ? static_cast<balancing::Readiness>(readiness) : balancing::Readiness::kGone;
  endpoint.zone = I32();
  endpoint.kind = I32();
  endpoint.cell = I32();
  endpoint.capacity_hint = F64();
  endpoint.started_at_s = F64();
  return endpoint;
}

std::optional<std::string> FrameDecoder::Next() {
  if (malformed_ || buffer_.size() < 4) return std::nullopt;
  const std::size_t size = ReadBigEndian(std::string_view(buffer_).substr(0, 4));
  if (size == 0 || size > kMaxFrameBytes) {
    malformed_ = true;
    buffer_.clear();
    return std::nullopt;
  }
  if (buffer_.size() < 4 + size) return std::nullopt;
  std::string frame = buffer_.substr(4, size);
  buffer_.erase(0, 4 + size);
  return frame;
}

}  // namespace millethollow::link
