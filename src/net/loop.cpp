#include "net/loop.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <stdexcept>

namespace myrtlecroft::net {
namespace {

constexpr Nanos kLateThreshold = 50'000'000;

event_base* new_base() {
  std::unique_ptr<event_config, decltype(&event_config_free)> config(event_config_new(), event_config_free);
  if (config) event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = config ? event_base_new_with_config(config.get()) : nullptr;
  if (!base || event_base_priority_init(base, 2) != 0) {
    throw std::runtime_error("cannot create the event loop");
  }
  return base;
}

}  // namespace

Timer::Timer(event_base* base, std::function<void()> callback)
    : callback_(std::move(callback)), event_(event_new(base, -1, 0, timer_expired, this)) {}

Timer::Timer(event_base* base, int signal, std::function<void()> callback)
    : callback_(std::move(callback)),
      event_(event_new(base, signal, EV_SIGNAL | EV_PERSIST, timer_expired, this)) {
  event_add(event_.get(), nullptr);
}

void Timer::timer_expired(evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->callback_(); }

void Timer::set(Nanos delay) {
  Nanos micros = std::max<Nanos>(0, (delay + 999) / 1000);
  timeval wait{.tv_sec = static_cast<time_t>(micros / 1'000'000),
               .tv_usec = static_cast<suseconds_t>(micros % 1'000'000)};
  event_add(event_.get(), &wait);
}

CrossThreadWakeup::CrossThreadWakeup(event_base* base, std::function<void()> callback)
    : callback_(std::move(callback)), descriptor_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (descriptor_ < 0)
    throw std::runtime_error(std::string("cannot create an eventfd: ") + std::strerror(errno));
  event_.reset(event_new(base, descriptor_, EV_READ | EV_PERSIST, on_readable, this));
  event_add(event_.get(), nullptr);
}

CrossThreadWakeup::~CrossThreadWakeup() {
  event_.reset();
  ::close(descriptor_);
}

void CrossThreadWakeup::notify() {
  std::uint64_t one = 1;
  if (::write(descriptor_, &one, sizeof one) < 0) return;  // the counter is full: a call is pending
}

void CrossThreadWakeup::on_readable(evutil_socket_t, short, void* context) {
  auto* self = static_cast<CrossThreadWakeup*>(context);
  std::uint64_t count = 0;
  if (::read(self->descriptor_, &count, sizeof count) < 0) return;
  self->callback_();
}

Loop::Loop() : base_(new_base()), timer_(base_.get(), [this] { timer_expired(); }) {}

void Loop::run() { event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY); }

Nanos Loop::now() const {
  return std::chrono::nanoseconds(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void Loop::wake_at(Nanos when) {
  wake_time_ = when;
  timer_.set(when - now());
}

// A timer that expires later than kLateThreshold shows that the process was paused. Waiting input is then
// handled first, or the tick would treat runs as stalled whose completion waits to be read. The cost: the
// tick comes one iteration of the loop later.
void Loop::timer_expired() {
  wake_deferred_ = !wake_deferred_ && now() - wake_time_ > kLateThreshold;
  if (wake_deferred_) return timer_.set(0);
  wake_();
}

Nanos Loop::unix_now() {
  return std::chrono::nanoseconds(std::chrono::system_clock::now().time_since_epoch()).count();
}

}  // namespace myrtlecroft::net
