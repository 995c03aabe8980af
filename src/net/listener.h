// A listening socket whose accepting can be paused.
//
// Everything here runs on the thread of the event loop.
#ifndef MILLETHOLLOW_NET_LISTENER_H_
#define MILLETHOLLOW_NET_LISTENER_H_

#include <event2/listener.h>

#include <functional>
#include <memory>
#include <string>

#include "net/loop.h"

namespace millethollow {

// Owns a listening socket and passes each accepted, non-blocking connection to a handler, which
// takes ownership of the descriptor. The loop is not owned and must outlive the listener.
class Listener {
 public:
  using AcceptHandler = std::function<void(evutil_socket_t)>;
  // Listens on an IPv4 address "a.b.c.d:port". With `reuse_port`, several processes may listen on
  // the same port (SO_REUSEPORT). False, with `error`, if it fails.
  bool Open(Loop* loop, const std::string& address, AcceptHandler on_accept, std::string* error,
            bool reuse_port = false);
  // Listens on a Unix domain socket, which replaces whatever is at `path`.
  bool OpenUnix(Loop* loop, const std::string& path, AcceptHandler on_accept, std::string* error);
  // Takes ownership of a socket that already listens, received from another process.
  bool Adopt(Loop* loop, evutil_socket_t fd, AcceptHandler on_accept);
  // The socket's file descriptor, or -1 while closed.
  int descriptor() const { return listener_ ? evconnlistener_get_fd(listener_.get()) : -1; }
  // Stops accepting; new connections wait in the kernel's backlog until Resume.
  void Pause() {
    if (listener_) evconnlistener_disable(listener_.get());
  }
  void Resume() {
    if (listener_) evconnlistener_enable(listener_.get());
  }
  // Accepts every connection that is in the backlog now.
  void AcceptPending();
  void Close() { listener_.reset(); }
  bool open() const { return listener_ != nullptr; }
  // The IPv4 address as bound, with the port that the kernel chose where 0 was asked for.
  std::string address() const;

 private:
  bool Bind(const sockaddr* address, int size, unsigned flags, const std::string& name,
            std::string* error);
  // Pauses accepting for a moment after each failure to accept.
  void InstallErrorHandler();
  struct ListenerDeleter {
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
  };
  std::unique_ptr<evconnlistener, ListenerDeleter> listener_;
  AcceptHandler on_accept_;
  Loop* loop_ = nullptr;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_LISTENER_H_
