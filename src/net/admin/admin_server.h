// The admin address, for operators and their tools: HTTP/1.1, one request per connection.
//
// Everything here runs on the thread of the event loop.
#ifndef MILLETHOLLOW_NET_ADMIN_ADMIN_SERVER_H_
#define MILLETHOLLOW_NET_ADMIN_ADMIN_SERVER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/loop.h"

namespace millethollow::admin {

class AdminConnection;

// Owns the listening socket and the connections of the admin address. The loop is not owned and
// must outlive the server.
class AdminServer {
 public:
  // What the server shows and changes.
  struct Hooks {
    // Whether the process takes requests, for /healthcheck.
    std::function<bool()> is_serving;
    // The body of /stats.
    std::function<std::string()> stats;
    // Takes the HTTP status and the body of a response.
    using ResponseCallback = std::function<void(int status, const std::string& body)>;
    // Puts a worker into maintenance or back into service. Has to call `respond` once, immediately
    // or later.
    std::function<void(const std::string& worker, bool in_maintenance, ResponseCallback respond)>
        set_maintenance;
    // The body of /members, as JSON. Empty if the process belongs to no cluster.
    std::function<std::string()> members_json;
  };
  // Most open connections; their descriptors are among those that DescriptorBudget reserves. A new
  // connection beyond the limit evicts the oldest open one, so that idle connections cannot lock
  // operators out.
  static constexpr std::size_t kMaxConnections = 24;

  AdminServer(Loop* loop, Hooks hooks);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;
  // Starts listening on an IPv4 address "a.b.c.d:port". False, with `error`, if it fails.
  bool Listen(const std::string& address, std::string* error);
  // The address as bound, with the port that the kernel chose where 0 was asked for.
  std::string address() const;

 private:
  friend class AdminConnection;
  void Accept();
  // Destroys the connection at the end of the loop's turn.
  void Remove(AdminConnection* connection);

  Loop* loop_;
  Hooks hooks_;
  int listen_socket_ = -1;
  EventPtr read_event_;
  std::map<AdminConnection*, std::unique_ptr<AdminConnection>> connections_;
};

}  // namespace millethollow::admin

#endif  // MILLETHOLLOW_NET_ADMIN_ADMIN_SERVER_H_
