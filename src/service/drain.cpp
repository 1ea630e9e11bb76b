// The part of Service that handles graceful shutdown: its start and the closing of the listener.

#include "service/service.h"

namespace myrtlecroft::service {
namespace {

// Before the stop, for flushing and closing callers' connections.
constexpr Nanos kListenerCloseLeadTime = 60 * kMs;

}  // namespace

void Service::begin_drain() {
  handle_event([&] {
    if (stop_at_) return;
    drain_started_at_ = now_;
    stop_at_ = now_ + options_.stop_after;
    ports_.logger.line("drain begun, stop in " + std::to_string(options_.stop_after / kMs) + " ms");
    if (controller_) controller_->begin_drain(stop_at_, now_);
  });
}

// After the grace period no new request may run. Once all requests are answered, a refused connection is
// better for callers than a rejection.
void Service::close_listener_when_drained() {
  if (!stop_at_ || listener_closed_) return;
  bool past_grace = now_ > drain_started_at_ + options_.config.drain_grace;
  bool drained = unanswered_ == 0 && past_grace;
  if (controller_ && !drained && now_ < stop_at_ - kListenerCloseLeadTime) return;
  listener_closed_ = true;
  ports_.listener.stop_accepting();
}

}  // namespace myrtlecroft::service
