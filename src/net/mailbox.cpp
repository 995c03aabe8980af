#include "net/mailbox.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <utility>

namespace millethollow {

Mailbox::~Mailbox() {
  woken_.reset();
  if (wake_ >= 0) close(wake_);
}

bool Mailbox::Open(Loop* loop, std::string* error) {
  wake_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  if (wake_ < 0) return *error = "no descriptor to be had", false;
  woken_.reset(event_new(
      loop->base(), wake_, EV_READ | EV_PERSIST,
      [](evutil_socket_t, short, void* self) { static_cast<Mailbox*>(self)->Turn(); }, this));
  event_add(woken_.get(), nullptr);
  return true;
}

void Mailbox::Post(Letter letter) {
  {
    const std::lock_guard lock(mutex_);
    letters_.push_back(std::move(letter));
  }
  eventfd_write(wake_, 1);
}

void Mailbox::Turn() {
  eventfd_t count = 0;
  eventfd_read(wake_, &count);
  std::vector<Letter> letters;
  {
    const std::lock_guard lock(mutex_);
    letters.swap(letters_);
  }
  for (const Letter& letter : letters) letter();
}

}  // namespace millethollow
