// The part of Service that answers health checks: with the health that the controller reported or, for a
// probe, after a self-test of the engine.
#include <utility>

#include "service/service.h"

namespace myrtlecroft::service {
namespace {

constexpr Nanos kHealthCheckTimeout = 1000 * kMs;  // for the engine's self-test; then the check fails

}  // namespace

void Service::health_check(AnswerSink& sink, bool probe) {
  handle_event([&] {
    if (!healthy_ || !probe) {
      sink.answer({.kind = healthy_ ? Answer::kCompleted : Answer::kRejected});
      return;
    }
    if (health_checks_.empty()) {
      health_checks_deadline_ = now_ + kHealthCheckTimeout;
      if (!engine_.test()) {
        sink.answer({.kind = Answer::kRejected});
        return;
      }
    }
    health_checks_.push_back(&sink);
  });
}

void Service::health_check_disconnected(AnswerSink& sink) { std::erase(health_checks_, &sink); }

void Service::answer_health_checks(bool healthy) {
  std::vector<AnswerSink*> sinks = std::exchange(health_checks_, {});
  for (AnswerSink* sink : sinks) sink->answer({.kind = healthy ? Answer::kCompleted : Answer::kRejected});
}

void Service::test_completed(bool passed) {
  handle_event([&] { answer_health_checks(passed && healthy_); });
}

void Service::report_health(bool healthy) {
  healthy_ = healthy;
  if (!healthy) answer_health_checks(false);
  ports_.health.report(healthy);
}

}  // namespace myrtlecroft::service
