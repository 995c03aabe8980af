#include "net/listener.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

#include "logging/log.h"
#include "net/connection.h"

namespace millethollow {

bool Listener::Open(Loop* loop, const std::string& address, AcceptHandler on_accept,
                    std::string* error, bool reuse_port) {
  const auto parsed = ParseAddress(address);
  if (!parsed) {
    *error = "not an address to listen on: '" + address + "'";
    return false;
  }
  loop_ = loop;
  on_accept_ = std::move(on_accept);
  return Bind(reinterpret_cast<const sockaddr*>(&*parsed), sizeof *parsed,
              reuse_port ? LEV_OPT_REUSEABLE_PORT : 0u, address, error);
}

bool Listener::OpenUnix(Loop* loop, const std::string& path, AcceptHandler on_accept,
                        std::string* error) {
  const auto address = UnixAddress(path);
  if (!address) return *error = "Unix socket path is empty or too long: '" + path + "'", false;
  loop_ = loop;
  on_accept_ = std::move(on_accept);
  unlink(path.c_str());  // a process that crashed leaves its socket file behind
  const bool bound =
      Bind(reinterpret_cast<const sockaddr*>(&*address), sizeof *address, 0, path, error);
  if (bound) chmod(path.c_str(), 0600);  // forwarders run as the same user
  return bound;
}

bool Listener::Bind(const sockaddr* address, int size, unsigned flags, const std::string& name,
                    std::string* error) {
  listener_.reset(evconnlistener_new_bind(
      loop_->base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<Listener*>(self)->on_accept_(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC | flags, 512, address,
      size));
  if (listener_ == nullptr) {
    *error = "cannot listen on " + name + ": " + std::strerror(errno);
    return false;
  }
  InstallErrorHandler();
  return true;
}

bool Listener::Adopt(Loop* loop, evutil_socket_t fd, AcceptHandler on_accept) {
  loop_ = loop;
  on_accept_ = std::move(on_accept);
  listener_.reset(evconnlistener_new(
      loop_->base(),
      [](evconnlistener*, evutil_socket_t peer, sockaddr*, int, void* self) {
        static_cast<Listener*>(self)->on_accept_(peer);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, 0, fd));
  if (listener_ != nullptr) InstallErrorHandler();
  return listener_ != nullptr;
}

void Listener::AcceptPending() {
  while (listener_ != nullptr) {
    const int fd = accept4(descriptor(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) return;
    on_accept_(fd);
  }
}

void Listener::InstallErrorHandler() {
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* arg) {
    // Most likely the process is out of descriptors: pause briefly instead of busy-looping.
    auto* self = static_cast<Listener*>(arg);
    LogLine(Level::kWarn) << "accept failed: " << std::strerror(errno);
    self->Pause();
    self->loop_->deadlines().At(self->loop_->Now() + 0.1, [self] { self->Resume(); });
  });
}

std::string Listener::address() const {
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  if (listener_ == nullptr) return {};
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&bound), &size);
  return AddressText(bound);
}

}  // namespace millethollow
