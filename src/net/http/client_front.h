// The HTTP/1.1 front: accepts client connections, turns their requests into ClientRequests for the
// forwarder, and writes the answers. Everything here runs on the forwarder's loop.
#ifndef MILLETHOLLOW_NET_HTTP_CLIENT_FRONT_H_
#define MILLETHOLLOW_NET_HTTP_CLIENT_FRONT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "net/connection.h"
#include "net/forwarder.h"
#include "net/http/parser.h"
#include "net/listener.h"

namespace millethollow::http {

// The classes and tenants that a request may name, and how the front answers requests that it
// rejects itself.
struct FrontOptions {
  std::vector<std::string> classes, tenants;  // names, in the order of the settings
  std::vector<bool> requires_key;             // by class: requests must carry an Idempotency-Key
  double retry_after_s = 0;  // Retry-After of 503 answers made here, in seconds; 0: no header
};

// Fills `client_request` from the head of a complete request, except for its body and expiry, and
// sets `timeout_s`. Returns 0, or the status with which to reject the request, and `error` for its
// body.
int ReadRequest(const Head& head, const FrontOptions& options, ClientRequest* client_request,
                double* timeout_s, std::string* error);

class ClientConnection;

// Owns the listening socket and the client connections. `forwarder` and `counters` must outlive it.
class ClientFront {
 public:
  ClientFront(Forwarder* forwarder, FrontOptions options, Counters* counters);
  ~ClientFront();
  // Binds `address` and starts accepting. `shared`: other processes listen on it too. On failure
  // returns false with `error`.
  bool Listen(const std::string& address, bool shared, std::string* error);
  // The bound address, with the actual port if port 0 was requested.
  std::string address() const { return listener_.address(); }
  // Takes effect with the next request.
  void SetOptions(FrontOptions options) { options_ = std::move(options); }
  // Whether the health check reports that this process serves.
  void SetServing(bool serving) { serving_ = serving; }
  // Starts the shutdown: requests are still served, but every answer closes its connection.
  void BeginStop();
  // Accepts on the listening socket of the previous process, and takes ownership of `fd`.
  bool AdoptListener(int fd);
  // The descriptor of the listening socket, or -1. The front owns it.
  int listener() const { return listener_.descriptor(); }
  // Takes over an idle connection of the previous process. `served_before`: it has sent a valid
  // request before; `unread`: bytes received there and not yet parsed.
  void AdoptClient(int fd, bool served_before, const std::string& unread);
  // Hands the clients over to a successor process that serves the same address: stops accepting,
  // and passes each connection to `callback`, which owns `fd` from then on, as soon as it has no
  // request in progress. An empty callback cancels the handover, when the successor has exited.
  using HandoverCallback =
      std::function<void(int fd, bool served_before, const std::string& unread)>;
  void HandOver(HandoverCallback callback);
  // Closes the listening socket after accepting what is pending, and closes idle connections. A
  // connection that has just been accepted may still send its first request.
  void CloseIdle();
  // Number of client connections, including those that are about to be destroyed.
  std::size_t connections() const { return clients_.size(); }

 private:
  friend class ClientConnection;
  void Accept(evutil_socket_t fd);
  ClientConnection* AddClient(evutil_socket_t fd);
  void ResumeAccepting();
  // Destroys the connection at the end of the loop's turn.
  void Remove(ClientConnection* client);
  // Closes the connection that is least useful, other than `newest`. False if none may be closed.
  bool EvictIdleConnection(const ClientConnection* newest);

  Forwarder* forwarder_;
  FrontOptions options_;
  Counters* counters_;
  Listener listener_;
  std::map<ClientConnection*, std::unique_ptr<ClientConnection>> clients_;
  bool serving_ = false, stopping_ = false;
  double stopping_since_ = 0;  // loop time in seconds
  HandoverCallback handover_;  // empty unless a handover is in progress
};

}  // namespace millethollow::http

#endif  // MILLETHOLLOW_NET_HTTP_CLIENT_FRONT_H_
