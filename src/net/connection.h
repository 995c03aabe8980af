// A buffered, non-blocking stream connection (TCP or Unix domain) on top of a libevent bufferevent.
//
// Everything here runs on the thread of the connection's event loop.
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

// The socket address of a path, or nothing if the path is empty or too long for one.
std::optional<sockaddr_un> UnixAddress(const std::string& path);
// The address as "a.b.c.d:port".
std::string AddressText(const sockaddr_in& address);

// Timeouts of client connections, in seconds, the same for the HTTP and the Gearman front. A client
// that sends no valid request has to be disconnected within 3 s of connecting. An idle connection
// that has carried a request is not subject to them.

// For reading a request: the first one from the time of connecting, later ones from their first
// byte.
constexpr double kClientReadTimeoutS = 2.5;
// For writing a whole response to the client.
constexpr double kClientWriteTimeoutS = 2.5;

// Deleter for bufferevents held by smart pointers.
struct BuffereventDeleter {
  void operator()(bufferevent* handle) const { bufferevent_free(handle); }
};

// Base class of all connections of a process: owns the socket and its buffers, and calls the
// virtual functions of the derived class from the event loop. None of them is called from within a
// call into this class. The loop is not owned and must outlive the connection.
class Connection {
 public:
  virtual ~Connection() { loop_->deadlines().Drop(&peer_close_check_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Appends to the output buffer, which the loop writes out. Does nothing once closed.
  void Write(std::string_view bytes);
  // Sends at once what the kernel accepts if the output buffer is empty, and buffers the rest as
  // Write does. Buffered bytes go out only in a later turn of the loop, which may be long after if
  // the process is stopped in between. The socket must be connected.
  void WriteNow(std::string_view bytes);
  // True once the kernel has accepted every byte written so far.
  bool Drained() const { return Unsent() == 0; }
  // Bytes in the output buffer.
  std::size_t Unsent() const;
  // Whether this process or its kernel holds bytes that have not been sent to the peer yet: the
  // peer cannot have everything that was written. Costs a system call unless the output buffer has
  // some.
  bool HasUnsentBytes() const;
  // Whether the peer's kernel has acknowledged every byte written so far. Costs a system call
  // unless the output buffer has some.
  bool Delivered() const;
  // Up to `max_bytes` from the front of the input buffer, which is left unchanged.
  std::string Peek(std::size_t max_bytes) const;
  // Removes bytes from the front of the input buffer; resumes reading if it was paused because the
  // buffer was full.
  void Consume(std::size_t bytes);
  // Bytes in the input buffer.
  std::size_t Available() const;
  // Whether the kernel holds something that the loop has not read yet: bytes, an end of stream, or
  // an error. Costs a system call.
  bool HasUnreadInput() const;
  // The socket's file descriptor, or -1 once closed.
  int descriptor() const;
  // The IPv4 address of the peer, or "-" if it is unknown.
  std::string PeerAddress() const;
  // Whether Close or Release has ended the connection.
  bool closed() const { return bufferevent_ == nullptr; }
  // Detaches the socket so that another process can take it over. Returns a duplicate descriptor
  // that the caller owns, or -1, and puts the unconsumed input into `unread`. Where a descriptor is
  // returned the connection is closed.
  int Release(std::string* unread);
  // Whether the kernel knows that the peer has closed or reset the connection, also while unread
  // input is before the end. Costs a system call.
  bool PeerHasClosed() const;
  // Reads what the kernel holds until `max_bytes` are in the input buffer, and returns whether the
  // peer has closed or reset the connection. The kernel reports a close only once its receive
  // buffer has room for everything that the peer sent before. At most two system calls if nothing
  // is unread.
  bool PeerHasClosedBehindInput(std::size_t max_bytes);
  // From now on input is discarded, some of it at a time. Stopping to read instead would keep the
  // peer's close back too, behind more input than the kernel's buffers hold.
  void DiscardInput();
  // Stops reading from the socket. Further input stays in the kernel's buffers, so that TCP flow
  // control holds the peer back.
  void StopReading();
  // Closes the socket and writes the connection's one log line with `reason`. The object stays
  // valid until its owner destroys it.
  void Close(const char* reason);
  // As Close, but resets the connection: bytes that have not been sent are discarded, where the
  // kernel would send them on after Close.
  void Abort(const char* reason);

 protected:
  // `kind` names the connection in its log line; it must be a string literal.
  Connection(Loop* loop, const char* kind) : loop_(loop), kind_(kind) {}
  // Takes ownership of an accepted socket.
  void Adopt(evutil_socket_t fd);
  // Has OnRead called again in a later iteration of the event loop, for a reader that leaves input
  // so that others get their turn.
  void ReadLater();
  // Puts bytes back at the front of the input buffer and schedules OnRead.
  void PrependInput(std::string_view bytes);
  // Handles the events of this connection before all ordinary ones.
  void SetHighPriority();
  // Start connecting; OnConnected or OnEnd follows. False if it fails at once.
  bool Connect(const sockaddr_in& address);
  bool ConnectUnix(const std::string& path);
  // Reads and discards what the kernel holds, up to a limit. False if the stream has ended.
  bool DiscardReceived();
  // Half-closes the connection: nothing more is sent, but input can still be read.
  void ShutdownWrite();
  // The connection that Connect started is established.
  virtual void OnConnected() {}
  // The input buffer has new bytes.
  virtual void OnRead() = 0;
  // The output buffer is empty.
  virtual void OnDrained() {}
  // The peer has closed the connection while input is paused. Unread input may be left.
  virtual void OnPeerClosedWhilePaused() { OnEnd("peer-closed"); }
  // The peer closed ("peer-closed") or reset ("reset") the connection, or it could not be
  // established. The socket is still open: the derived class has to call Close.
  virtual void OnEnd(const char* reason) = 0;

  Loop* loop_;

 private:
  void Attach(evutil_socket_t fd);
  // Input is paused and resumed here instead of by libevent's read watermark: with deferred
  // callbacks, a reader that leaves bytes above the watermark is called again at once, so that the
  // turn of the loop never ends.
  void PauseInput();
  void ResumeInput();
  // Polls for the peer's close while reading is paused.
  void CheckForPeerClose();
  const char* kind_;
  std::unique_ptr<bufferevent, BuffereventDeleter> bufferevent_;
  std::size_t bytes_in_ = 0, bytes_out_ = 0;                // consumed and written
  bool input_paused_ = false;                               // the input buffer is full
  bool discarding_ = false;                                 // input is paused for good
  double opened_at_ = 0;                                    // on the loop's clock, in seconds
  Deadlines::TimerId peer_close_check_ = Deadlines::kNone;  // set while input is paused
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_CONNECTION_H_
