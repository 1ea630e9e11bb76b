// The event loop, with its timers and the clock of the core.
#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>

#include "service/ports.h"

namespace myrtlecroft::net {

struct EventDeleter {
  void operator()(event* timer_event) const { event_free(timer_event); }
  void operator()(event_base* base) const { event_base_free(base); }
};

// Calls a function on the loop's thread when its time is over, or each time a signal arrives.
class Timer {
 public:
  Timer(event_base* base, std::function<void()> callback);
  Timer(event_base* base, int signal, std::function<void()> callback);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  // Calls after `delay`, at once if that is not positive. Replaces a delay that is still pending.
  void set(Nanos delay);
  void clear() { event_del(event_.get()); }
  bool is_set() const { return event_pending(event_.get(), EV_TIMEOUT, nullptr); }

 private:
  static void timer_expired(evutil_socket_t, short, void* self);
  std::function<void()> callback_;
  std::unique_ptr<event, EventDeleter> event_;
};

// Lets other threads call a function on the loop's thread. Several notifications before the call are merged
// into one.
class CrossThreadWakeup {
 public:
  // Throws std::runtime_error when the eventfd can't be created, for lack of descriptors.
  CrossThreadWakeup(event_base* base, std::function<void()> callback);
  ~CrossThreadWakeup();
  CrossThreadWakeup(const CrossThreadWakeup&) = delete;
  CrossThreadWakeup& operator=(const CrossThreadWakeup&) = delete;
  void notify();  // callable from any thread

 private:
  static void on_readable(evutil_socket_t, short, void* context);
  std::function<void()> callback_;
  int descriptor_;
  std::unique_ptr<event, EventDeleter> event_;
};

// The event loop of a thread. Construction throws std::runtime_error when libevent can't create it.
class Loop final : public service::Clock {
 public:
  Loop();
  event_base* base() const { return base_.get(); }
  // Sets the function called when the time given to wake_at() has come.
  void set_wake_callback(std::function<void()> wake) { wake_ = std::move(wake); }
  void run();
  void stop() { event_base_loopbreak(base_.get()); }

  Nanos now() const override;
  void wake_at(Nanos when) override;
  static Nanos unix_now();  // system clock, since the Unix epoch

 private:
  void timer_expired();

  std::unique_ptr<event_base, EventDeleter> base_;
  std::function<void()> wake_;
  Timer timer_;
  Nanos wake_time_ = 0;
  bool wake_deferred_ = false;
};

}  // namespace myrtlecroft::net
