// A listening socket that can hold back accepting.
#ifndef MILLETHOLLOW_NET_LISTENER_H_
#define MILLETHOLLOW_NET_LISTENER_H_

#include <event2/listener.h>

#include <functional>
#include <memory>
#include <string>

#include "net/loop.h"

namespace millethollow {

class Listener {
 public:
  using Accepted = std::function<void(evutil_socket_t)>;
  bool Open(Loop* loop, const std::string& address, Accepted accepted, std::string* error,
            bool shared = false);
  bool OpenUnix(Loop* loop, const std::string& path, Accepted accepted, std::string* error);
  // Goes on with a socket that listens already, from another process.
  bool Adopt(Loop* loop, evutil_socket_t fd, Accepted accepted);
  int descriptor() const { return listener_ ? evconnlistener_get_fd(listener_.get()) : -1; }
  void Pause() {
    if (listener_) evconnlistener_disable(listener_.get());
  }
  void Resume() {
    if (listener_) evconnlistener_enable(listener_.get());
  }
  void AcceptPending();  // all that have connected by now
  void Close() { listener_.reset(); }
  bool open() const { return listener_ != nullptr; }
  std::string address() const;  // as bound: with the port that port 0 became

 private:
  bool Bind(const sockaddr* address, int size, unsigned flags, const std::string& name,
            std::string* error);
  void Watch();
  struct Free {
    void operator()(evconnlistener* l) const { evconnlistener_free(l); }
  };
  std::unique_ptr<evconnlistener, Free> listener_;
  Accepted accepted_;
  Loop* loop_ = nullptr;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_LISTENER_H_
