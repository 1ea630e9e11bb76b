// Handles the events of one server: asks the mechanisms of this package in a fixed order and carries out
// their decisions through ControllerActions. One thread; no I/O, and the clock comes with each event.
#pragma once

#include <deque>
#include <vector>

#include "myrtlecroft/controller.h"
#include "overload/admission_window.h"
#include "overload/capacity_estimate.h"
#include "overload/concurrency_limit.h"
#include "overload/dependency_budget.h"
#include "overload/health_state.h"
#include "overload/idle_connections.h"
#include "overload/memory_budget.h"
#include "overload/request_lifecycle.h"
#include "overload/retry_advice.h"

namespace myrtlecroft {

class Controller::Core {
 public:
  // `config` and `actions` must outlive the core.
  Core(const ServiceConfig& config, ControllerActions& actions, std::uint64_t seed);

  // Must be called before each event, and dispatch() after it.
  void set_now(Nanos now) { now_ = now; }

  void start();
  void request_received(Request& request);
  void run_completed(Request& request, Outcome outcome);
  void intent_recorded(Request& request, bool durable);
  void call_needed(Request& request);
  void call_ended(Request& request, Outcome outcome, Nanos duration);
  void caller_disconnected(Request& request);
  void timer_expired(const Gauges& gauges);
  void begin_drain(Nanos stop_at);

  // Makes the pending change of health, then starts the queued requests and dependency calls that may start.
  void dispatch();

  ControllerStats stats() const;

 private:
  using Check = bool (Core::*)(const Request&) const;

  // Changes the phase of the request and performs the action of that transition. Nothing else changes a
  // phase.
  void apply(Request& request, overload::RequestEvent event);
  void perform(Request& request, overload::RequestAction action);

  // Actions of the request lifecycle.
  void enqueue(Request& request);
  void coalesce(Request& request);
  void reject(Request& request);
  void start_run(Request& request);
  void await_dependency(Request& request);
  void issue_call(Request& request);
  void skip_call(Request& request);
  void resume(Request& request);
  void await_again(Request& request);
  void count_lost_call(Request& request);
  void finish(Request& request);
  void abandon(Request& request);
  void fail_unstarted(Request& request);
  void disconnect(Request& request);
  void leave_queue(Request& request);
  void release(Request& request);

  // Reasons to reject an arrival or the request at the front of the queue.
  bool arrived_after_grace(const Request& request) const;
  bool has_no_time_left(const Request& request) const;
  bool is_unhealthy(const Request& request) const;
  bool lacks_memory(const Request& request) const;
  bool misses_objective(const Request& request) const;
  bool is_beyond_window(const Request& request) const;
  bool is_beyond_capacity(const Request& request) const;
  bool is_likely_late(const Request& request) const;
  bool lacks_dependency_slot(const Request& request) const;

  bool must_join_original(const Request& request) const;
  bool can_start(const Request& request) const;
  bool fleet_is_overloaded() const;
  Nanos key_lifetime(const Request& request) const;
  int next_position() const { return static_cast<int>(queue_.size()) + 1; }
  // How long before its deadline a request is answered.
  Nanos answer_lead_time() const;

  void measure_run(Request& request, Outcome outcome);
  void record_answer(Request& request);
  void record_late_answer(const Request& request);
  void answer_due_requests();
  void update_health();
  void dispatch_queue();
  void dispatch_calls();
  void advertise();
  void close_idle_connections(const Gauges& gauges);

  const ServiceConfig& config_;
  ControllerActions& actions_;
  Nanos now_ = 0;

  std::deque<Request*> queue_;           // in arrival order
  std::vector<Request*> open_requests_;  // all requests that are not done

  overload::AdmissionWindow window_;
  overload::MemoryBudget memory_;
  overload::ConcurrencyLimit concurrency_;
  overload::CapacityEstimate capacity_;
  overload::HealthState health_;
  overload::DependencyBudget dependency_;
  overload::RetryAdvice advice_;
  overload::IdleConnections idle_connections_;
  Nanos advertised_at_ = 0;
};

}  // namespace myrtlecroft
