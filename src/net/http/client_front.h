// The platform's front: its clients on HTTP/1.1, kept thin.
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

// Names of what a client may ask for, in the settings' order.
struct FrontOptions {
  std::vector<std::string> classes, tenants;
  std::vector<bool> requires_key;  // by class: must carry an idempotency key
  double retry_after_s = 0;  // told to those turned away here; 0: the settings allow no advice
};

// Fills `held` from a whole request, apart from its expiry. Returns 0, or the status of its fault
// with `error`.
int ReadRequest(const Head& head, const FrontOptions& names, ClientRequest* held, double* timeout_s,
                std::string* error);

class ClientConnection;

class ClientFront {
 public:
  ClientFront(Forwarder* forwarder, FrontOptions names, Counters* counters);
  ~ClientFront();
  // `shared`: other processes listen on the same address too.
  bool Listen(const std::string& address, bool shared, std::string* error);
  std::string address() const { return listener_.address(); }
  void SetOptions(FrontOptions names) { names_ = std::move(names); }
  void SetServing(bool serving) { serving_ = serving; }
  // Goes on serving, and asks each client to leave with its next answer.
  void BeginStop();
  // Goes on with the listening socket of the process that went before.
  bool AdoptListener(int fd);
  int listener() const { return listener_.descriptor(); }
  // A connection that rested there; `served` if it has been served, `unread` what it had sent.
  void AdoptClient(int fd, bool served, const std::string& unread);
  // Another process serves at our address: nothing new is accepted here, and each connection goes
  // to it as soon as no request of it is here. Empty: that process is gone, and all is as before.
  using Taker = std::function<void(int fd, bool served, const std::string& unread)>;
  void HandOver(Taker taker);
  // No new connections; idle ones are ended, and so is one that has just connected, soon.
  void CloseIdle();
  std::size_t connections() const { return clients_.size(); }

 private:
  friend class ClientConnection;
  void Accept(evutil_socket_t fd);
  ClientConnection* Add(evutil_socket_t fd);
  void Resume();
  void Drop(ClientConnection* client);
  bool MakeRoom(const ClientConnection* newest);

  Forwarder* forwarder_;
  FrontOptions names_;
  Counters* counters_;
  Listener listener_;
  std::map<ClientConnection*, std::unique_ptr<ClientConnection>> clients_;
  bool serving_ = false, stopping_ = false;
  double stopped_at_ = 0;
  Taker taker_;
};

}  // namespace millethollow::http

#endif  // MILLETHOLLOW_NET_HTTP_CLIENT_FRONT_H_
