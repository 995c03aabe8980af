#include "net/link/frame.h"

#include <bit>
#include <cmath>

namespace millethollow::link {
namespace {

std::uint64_t Big(std::string_view bytes) {
  std::uint64_t v = 0;
  for (const char c : bytes) v = v << 8 | static_cast<unsigned char>(c);
  return v;
}

}  // namespace

Writer& Writer::Number(std::uint64_t v, int bytes) {
  for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
    bytes_.push_back(static_cast<char>(v >> shift & 0xff));
  }
  return *this;
}

Writer& Writer::Real(double v) { return U64(std::bit_cast<std::uint64_t>(v)); }

Writer& Writer::Text(std::string_view v) {
  v = v.substr(0, 0xffff);
  Number(v.size(), 2);
  bytes_.append(v);
  return *this;
}

Writer& Writer::Put(const Outcome& o) {
  U8(static_cast<std::uint8_t>(o.status)).Real(o.latency_s).U8(o.client_error).U8(o.has_report);
  for (const double v : o.report) Real(v);
  return *this;
}

Writer& Writer::Put(const balancing::Endpoint& m) {
  return Text(m.worker)
      .U8(static_cast<std::uint8_t>(m.readiness))
      .I32(m.zone)
      .I32(m.kind)
      .I32(m.cell)
      .Real(m.capacity_hint)
      .Real(m.started_at_s);
}

Writer& Writer::Raw(std::string_view v) {
  bytes_.append(v);
  return *this;
}

std::string Writer::Done() {
  const std::size_t size = bytes_.size() - 4;
  for (std::size_t i = 0; i < 4; ++i) bytes_[i] = static_cast<char>(size >> (24 - 8 * i) & 0xff);
  return std::move(bytes_);
}

std::uint64_t Reader::Number(std::size_t bytes) {
  if (!ok_ || rest_.size() < bytes) {
    ok_ = false;
    return 0;
  }
  const std::uint64_t v = Big(rest_.substr(0, bytes));
  rest_.remove_prefix(bytes);
  return v;
}

double Reader::Real() {
  const auto v = std::bit_cast<double>(U64());
  if (std::isfinite(v)) return v;
  ok_ = false;
  return 0;
}

std::string Reader::Text() {
  const std::size_t size = Number(2);
  if (!ok_ || rest_.size() < size) {
    ok_ = false;
    return {};
  }
  std::string text(rest_.substr(0, size));
  rest_.remove_prefix(size);
  return text;
}

std::string Reader::Rest() {
  std::string rest(ok_ ? rest_ : std::string_view());
  rest_ = {};
  return rest;
}

Outcome Reader::GetOutcome() {
  Outcome o;
  const std::uint8_t verdict = U8();
  if (verdict > static_cast<std::uint8_t>(AttemptStatus::kNotSent)) ok_ = false;
  o.status = ok_ ? static_cast<AttemptStatus>(verdict) : AttemptStatus::kServerError;
  o.latency_s = Real();
  o.client_error = U8() != 0;
  o.has_report = U8() != 0;
  for (double& v : o.report) v = Real();
  return o;
}

balancing::Endpoint Reader::GetMember() {
  balancing::Endpoint m;
  m.worker = Text();
  const std::uint8_t readiness = U8();
  if (readiness > static_cast<std::uint8_t>(balancing::Readiness::kGone)) ok_ = false;
  m.readiness = ok_ ? static_cast<balancing::Readiness>(readiness) : balancing::Readiness::kGone;
  m.zone = I32();
  m.kind = I32();
  m.cell = I32();
  m.capacity_hint = Real();
  m.started_at_s = Real();
  return m;
}

std::optional<std::string> FrameDecoder::Next() {
  if (bad_ || held_.size() < 4) return std::nullopt;
  const std::size_t size = Big(std::string_view(held_).substr(0, 4));
  if (size == 0 || size > kMaxFrameBytes) {
    bad_ = true;
    held_.clear();
    return std::nullopt;
  }
  if (held_.size() < 4 + size) return std::nullopt;
  std::string frame = held_.substr(4, size);
  held_.erase(0, 4 + size);
  return frame;
}

}  // namespace millethollow::link
