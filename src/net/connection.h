// A connection as an object with callbacks, over a libevent bufferevent.
#ifndef MILLETHOLLOW_NET_CONNECTION_H_
#define MILLETHOLLOW_NET_CONNECTION_H_

#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <sys/un.h>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "config/address.h"
#include "net/loop.h"

namespace millethollow {

std::optional<sockaddr_un> UnixAddress(const std::string& path);
std::string AddressText(const sockaddr_in& address);

// The client side's times, the same on both fronts. Who sends what is no request, or never sends at
// all, is owed a close within 3 s of connecting. One that was used and rests is another matter: it
// may stay.
constexpr double kClientReadTimeoutS =
    2.5;  // from connecting to a first request's end; later, from its first byte
constexpr double kClientWriteTimeoutS = 2.5;  // an answer must be out within this

struct BufferFree {
  void operator()(bufferevent* b) const { bufferevent_free(b); }
};

class Connection {
 public:
  virtual ~Connection() { loop_->deadlines().Drop(&look_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  void Write(std::string_view bytes);
  // Hands to the system at once what it takes, where nothing waits before it; the rest goes as with
  // Write. What Write holds back goes out in a later turn, however long this process is stopped
  // before it. The socket must be connected.
  void WriteNow(std::string_view bytes);
  // True once every byte written so far has gone to the kernel.
  bool Drained() const { return Unsent() == 0; }
  std::size_t Unsent() const;
  std::string Peek(std::size_t max_bytes) const;  // of what has come in
  void Consume(std::size_t n);
  std::size_t Available() const;
  // Something has come that no turn has read yet: bytes, an end, or an error.
  bool HasUnreadInput() const;
  int descriptor() const;
  std::string PeerAddress() const;
  bool closed() const { return bev_ == nullptr; }
  // Lets go of the socket for another process to go on with: a descriptor that the caller owns, or
  // -1. What came in and was not consumed is in `unread`. The object is closed after it.
  int Release(std::string* unread);
  void StopReading();  // what comes in stays with the kernel, and so with the client
  // Ends the connection with its one log line. The object lives on until its owner drops it.
  void Close(const char* reason);

 protected:
  Connection(Loop* loop, const char* what) : loop_(loop), what_(what) {}
  void Adopt(evutil_socket_t fd);            // an accepted socket
  void PrependInput(std::string_view bytes);       // puts back what came in
  void SetHighPriority();                              // its events go before all others
  bool Connect(const sockaddr_in& address);  // false if it fails at once
  bool ConnectUnix(const std::string& path);
  void ShutdownWrite();  // half-closes: the peer can still be read
  virtual void OnConnected() {}
  virtual void OnRead() = 0;
  virtual void OnDrained() {}
  virtual void OnEnd(const char* reason) = 0;  // the peer ended or broke it

  Loop* loop_;

 private:
  void Attach(evutil_socket_t fd);
  void LookForEnd();
  const char* what_;
  std::unique_ptr<bufferevent, BufferFree> bev_;
  std::size_t in_ = 0, out_ = 0;
  bool held_back_ = false;
  double began_ = 0;
  Deadlines::Ticket look_ = Deadlines::kNone;  // while held back
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_CONNECTION_H_
