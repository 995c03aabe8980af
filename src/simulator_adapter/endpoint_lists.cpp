#include "simulator_adapter/endpoint_lists.h"

#include <utility>

namespace millethollow::simulator_adapter {

Status EndpointLists::Begin(std::int64_t list, std::int64_t entries) {
  if (list < 0 || list >= static_cast<std::int64_t>(kListCount)) {
    return MakeError(ErrorCode::kInvalidArgument, "list number out of range");
  }
  if (entries < 0 || entries > kMaxEntries) {
    return MakeError(ErrorCode::kInvalidArgument, "bad number of entries");
  }
  current_ = static_cast<std::size_t>(list);
  lists_[current_].clear();
  received_[current_] = true;
  entries_left_ = entries;
  return {};
}

void EndpointLists::Add(balancing::Endpoint endpoint) {
  lists_[current_].push_back(std::move(endpoint));
  --entries_left_;
}

const std::vector<balancing::Endpoint>* EndpointLists::Find(std::int64_t list) const {
  if (list < 0 || list >= static_cast<std::int64_t>(kListCount)) return nullptr;
  const auto index = static_cast<std::size_t>(list);
  return received_[index] ? &lists_[index] : nullptr;
}

}  // namespace millethollow::simulator_adapter
