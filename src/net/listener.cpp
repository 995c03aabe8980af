#include "net/listener.h"

#include <netinet/in.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstring>

#include "log.h"
#include "net/connection.h"

namespace millethollow {

bool Listener::Open(Loop* loop, const std::string& address, Accepted accepted, std::string* why) {
  const auto parsed = ParseAddress(address);
  if (!parsed) {
    *why = "not an address to listen on: '" + address + "'";
    return false;
  }
  loop_ = loop;
  accepted_ = std::move(accepted);
  listener_.reset(evconnlistener_new_bind(
      loop->base(),
      [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<Listener*>(self)->accepted_(fd);
      },
      this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, 512,
      reinterpret_cast<const sockaddr*>(&*parsed), sizeof *parsed));
  if (listener_ == nullptr) {
    *why = "cannot listen on " + address + ": " + std::strerror(errno);
    return false;
  }
  evconnlistener_set_error_cb(listener_.get(), [](evconnlistener*, void* arg) {
    // Out of descriptors, most likely: a short pause instead of a spin.
    auto* self = static_cast<Listener*>(arg);
    LogLine(Level::kWarn) << "accept failed: " << std::strerror(errno);
    self->Pause();
    self->loop_->deadlines().At(self->loop_->Now() + 0.1, [self] { self->Resume(); });
  });
  return true;
}

std::string Listener::address() const {
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  if (listener_ == nullptr) return {};
  getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&bound), &size);
  return AddressText(bound);
}

}  // namespace millethollow
