// The event loop, and the clock and timer that it gives to the core.
#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>

#include "service/ports.h"

namespace myrtlecroft::net {

struct Freer {
  void operator()(event* one) const { event_free(one); }
  void operator()(event_base* base) const { event_base_free(base); }
};

// A timer of its own, or a signal, that calls what it was made with.
class Timer {
 public:
  Timer(event_base* base, std::function<void()> expired);
  Timer(event_base* base, int signal, std::function<void()> expired);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void set(Nanos delay);
  void clear() { event_del(event_.get()); }
  bool is_set() const { return event_pending(event_.get(), EV_TIMEOUT, nullptr); }

 private:
  static void timer_expired(evutil_socket_t, short, void* self);
  std::function<void()> expired_;
  std::unique_ptr<event, Freer> event_;
};

// Another thread's word that there is something to do. Many that come together are one.
class CrossThreadWakeup {
 public:
  // Throws std::runtime_error where no descriptor is left.
  CrossThreadWakeup(event_base* base, std::function<void()> woken);
  ~CrossThreadWakeup();
  CrossThreadWakeup(const CrossThreadWakeup&) = delete;
  CrossThreadWakeup& operator=(const CrossThreadWakeup&) = delete;
  void notify();  // from any thread

 private:
  static void came(evutil_socket_t, short, void* self);
  std::function<void()> woken_;
  int descriptor_;
  std::unique_ptr<event, Freer> event_;
};

class Loop final : public service::Clock {
 public:
  Loop();
  event_base* base() const { return base_.get(); }
  void on_wake(std::function<void()> wake) { wake_ = std::move(wake); }
  void run();
  void stop() { event_base_loopbreak(base_.get()); }

  Nanos now() const override;
  void wake_at(Nanos when) override;
  static Nanos unix_now();

 private:
  void timer_expired();

  std::unique_ptr<event_base, Freer> base_;
  std::function<void()> wake_;
  Timer timer_;
  Nanos wanted_ = 0;
  bool waived_ = false;
};

}  // namespace myrtlecroft::net
