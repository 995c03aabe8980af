// What other threads have for the loop's: taken out in turns of the loop, in order.
#ifndef MILLETHOLLOW_NET_MAILBOX_H_
#define MILLETHOLLOW_NET_MAILBOX_H_

#include <functional>
#include <mutex>
#include <string>
#include <vector>

#include "net/loop.h"

namespace millethollow {

// To outlive the threads that speak to it. What is left in it at its end is not run.
class Mailbox {
 public:
  using Letter = std::function<void()>;
  Mailbox() = default;
  ~Mailbox();
  Mailbox(const Mailbox&) = delete;
  Mailbox& operator=(const Mailbox&) = delete;

  bool Open(Loop* loop, std::string* error);  // false: no descriptor to be had
  void Post(Letter letter);                   // on any thread

 private:
  void Turn();

  std::mutex mutex_;
  std::vector<Letter> letters_;
  int wake_ = -1;
  EventPtr woken_;
};

}  // namespace millethollow

#endif  // MILLETHOLLOW_NET_MAILBOX_H_
