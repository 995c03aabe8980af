// The second address, for the operators' staff and their tools: HTTP/1.1, one call per connection.
#ifndef MILLETHOLLOW_NET_ADMIN_ADMIN_SERVER_H_
#define MILLETHOLLOW_NET_ADMIN_ADMIN_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/loop.h"

namespace millethollow::admin {

class AdminConnection;

class AdminServer {
 public:
  struct Hooks {
    std::function<bool()> is_serving;
    std::function<std::string()> stats;
    // Takes a worker out, or puts it back, and says what to answer: at once, or later.
    using ResponseCallback = std::function<void(int status, const std::string& body)>;
    std::function<void(const std::string& worker, bool in_maintenance, ResponseCallback respond)>
        set_maintenance;
    std::function<std::string()>
        members_json;  // of the cluster, as JSON; none: there is no cluster
  };
  // Part of the descriptors that the budget leaves aside. Whoever comes beyond it costs the
  // connection that has been here longest without a whole call its place: nobody is shut out.
  static constexpr std::size_t kMaxConnections = 24;

  AdminServer(Loop* loop, Hooks hooks);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  bool Listen(const std::string& address, std::string* error);
  std::string address() const;  // as bound

 private:
  friend class AdminConnection;
  void Accept();
  void Drop(AdminConnection* connection);

  Loop* loop_;
  Hooks hooks_;
  int fd_ = -1;
  EventPtr readable_;
  std::map<AdminConnection*, std::unique_ptr<AdminConnection>> connections_;
};

}  // namespace millethollow::admin

#endif  // MILLETHOLLOW_NET_ADMIN_ADMIN_SERVER_H_
