// The overload controller of one server: events go in by Controller, decisions come out through
// ControllerActions.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "myrtlecroft/request.h"
#include "myrtlecroft/service_config.h"

namespace myrtlecroft {

// What the server as a whole does.
enum class Mode {
  kServing,
  kStalled,  // runs make no progress or fail: arrivals are rejected
  kProbing,  // half-open: a few trial runs decide whether it serves again
  kDraining  // graceful shutdown
};

// How a run or a dependency call ended.
enum class Outcome { kOk, kFailed, kAtCapacity, kTimedOut, kUnreachable, kReset, kCanceled, kIgnored };

// Measured by the server, where it can be.
struct Gauges {
  std::optional<double> core_utilization;  // share of the cores' time
  std::optional<double> runnable_threads;  // threads that run or want to run
  std::optional<double> connections;       // open ones
};

// How a Controller fares, for monitoring. Nothing of it is an input to its decisions.
struct ControllerStats {
  Mode mode = Mode::kServing;
  bool warming_up = false;
  int window = 0;           // positions
  double limit = 0;         // running requests
  int queued_requests = 0;  // queued requests
  int running = 0;
};

// Carries out what a Controller decides. Calls take effect in the order made, at the time of the event, and
// must not call the Controller.
class ControllerActions {
 public:
  virtual ~ControllerActions() = default;
  virtual void run(Request& request) = 0;
  virtual void stop_work(Request& request) = 0;
  // The final answer: it has not run. `no_failover`: another attempt elsewhere would not fare better;
  // `retry_after`: when to come back, 0 where nothing is advised.
  virtual void reject(Request& request, bool no_failover, Nanos retry_after) = 0;
  // The final answer: it failed, and may have run.
  virtual void fail(Request& request) = 0;
  virtual void call(Request& request, Nanos longest) = 0;
  // False where a call in flight can't be abandoned.
  virtual bool abandon_call(Request& request) = 0;
  virtual void skip_call(Request& request) = 0;
  // Retains the request's key and result for retries, or forgets them.
  virtual void retain_key(Request& request, Nanos lifetime) = 0;
  virtual void forget_key(Request& request) = 0;
  // Records durably that the request may run; Controller::intent_recorded() follows. Called only for a
  // request with `awaits_intent`.
  virtual void record_intent(Request&) {}
  // The request gets the result of the one that it retries.
  virtual void coalesce(Request& request) = 0;
  virtual void report_health(bool healthy) = 0;
  virtual void advertise(double value) = 0;
  // Connections that have been idle for this long are closed from now on.
  virtual void close_idle(Nanos after) = 0;
  // Controller::timer_expired() follows with the token.
  virtual void schedule_timer(Nanos delay, std::uint64_t token) = 0;
  virtual void log(const std::string& line) = 0;
  // The Controller holds no pointer to the request any more. It may be freed after the present batch of
  // events at the earliest.
  virtual void release(Request& request) = 0;
};

// Decides which requests one server admits, runs, rejects and fails, and when it calls its dependency. One
// thread; the clock comes with each event, in nanoseconds, and never goes back. Events must not nest.
class Controller {
 public:
  // `config` must outlive it: requests point to their classes and tenants there.
  Controller(const ServiceConfig& config, ControllerActions& actions, std::uint64_t seed);
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  void start(Nanos now);
  void request_received(Request& request, Nanos now);
  // The run waits for a dependency call.
  void call_needed(Request& request, Nanos now);
  void call_ended(Request& request, Outcome outcome, Nanos took, Nanos now);
  void run_completed(Request& request, Outcome outcome, Nanos now);
  // `durable`: the intent is known to be recorded. If not, a request that has not run is rejected.
  void intent_recorded(Request& request, bool durable, Nanos now);
  void caller_disconnected(Request& request, Nanos now);
  void timer_expired(std::uint64_t token, const Gauges& gauges, Nanos now);
  // Graceful shutdown: all requests are answered before `stop_at`.
  void begin_drain(Nanos stop_at, Nanos now);
  ControllerStats stats() const;

 private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace myrtlecroft
