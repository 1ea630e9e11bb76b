// The part of Service for graceful shutdown: when it began, and when the listener closes.

#include "service/service.h"

namespace myrtlecroft::service {
namespace {

constexpr Nanos kCloseLead = 60 * kMs;  // before the stop, to flush and close callers' connections

}  // namespace

void Service::begin_drain() {
  handle([&] {
    if (stop_at_) return;
    drain_began_ = now_;
    stop_at_ = now_ + start_.stop_after;
    ports_.logger.line("drain begun, stop in " + std::to_string(start_.stop_after / kMs) + " ms");
    if (controller_) controller_->begin_drain(stop_at_, now_);
  });
}

// After the grace period nothing new may run: once all requests are answered, callers are better served by a
// refused connection.
void Service::close_listener_when_drained() {
  if (!stop_at_ || listener_closed_) return;
  bool past_grace = now_ > drain_began_ + start_.config.drain_grace;
  bool empty = unanswered_ == 0 && past_grace;
  if (controller_ && !empty && now_ < stop_at_ - kCloseLead) return;
  listener_closed_ = true;
  ports_.listener.finish();
}

}  // namespace myrtlecroft::service
