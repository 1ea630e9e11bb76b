// The overload controller of one server. The server calls a method of Controller for each event, and the
// Controller calls ControllerActions to carry out its decisions.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "myrtlecroft/request.h"
#include "myrtlecroft/service_config.h"

namespace myrtlecroft {

// The operating mode of the whole server.
enum class Mode {
  kServing,  // admits requests
  kStalled,  // runs make no progress or fail, so arrivals are rejected
  kProbing,  // half-open: a few probe runs decide whether the server returns to kServing
  kDraining  // graceful shutdown
};

// How a run or a dependency call ended. After kAtCapacity and kUnreachable a dependency call was certainly
// not executed; after kReset and kTimedOut it may have been. kCanceled is a run that was stopped; kIgnored is
// a run that the engine never started.
enum class Outcome { kOk, kFailed, kAtCapacity, kTimedOut, kUnreachable, kReset, kCanceled, kIgnored };

// Measurements of the server process. A gauge that the server could not measure is empty.
struct Gauges {
  std::optional<double> core_utilization;  // share of the cores' time in use, 0 to 1
  std::optional<double> runnable_threads;  // threads that run or wait for a core
  std::optional<double> connections;       // open connections of callers
};

// The state of a Controller, for monitoring only: no decision depends on these values.
struct ControllerStats {
  Mode mode = Mode::kServing;
  bool warming_up = false;
  int window = 0;    // size of the admission window, in queue positions
  double limit = 0;  // concurrency limit, in running requests
  int queued_requests = 0;
  int running = 0;  // requests
};

// Carries out the decisions of a Controller. The actions take effect in the order of the calls, at the time
// of the event. They run on the Controller's thread and must not call the Controller.
class ControllerActions {
 public:
  virtual ~ControllerActions() = default;
  // Starts the request.
  virtual void run(Request& request) = 0;
  // Stops the work of a running request, whose final answer has been given.
  virtual void stop_work(Request& request) = 0;
  // Gives the final answer that the request was rejected without having run. `no_failover`: an attempt at
  // another server would not succeed either. `retry_after`: when the caller may retry; 0 gives no advice.
  virtual void reject(Request& request, bool no_failover, Nanos retry_after) = 0;
  // Gives the final answer that the request failed; it may have run.
  virtual void fail(Request& request) = 0;
  // Issues the dependency call that the run waits for; the call has to end within `max_duration`.
  // Controller::call_ended() follows.
  virtual void call(Request& request, Nanos max_duration) = 0;
  // Abandons the call in flight. Returns false if the call can't be abandoned.
  virtual bool abandon_call(Request& request) = 0;
  // Lets the run continue without its dependency call.
  virtual void skip_call(Request& request) = 0;
  // Retains the request's key and, once known, its result, so that retries can be matched to the request.
  virtual void retain_key(Request& request, Nanos lifetime) = 0;
  // Discards a retained key: the request has not run, so a retry may run.
  virtual void forget_key(Request& request) = 0;
  // Records durably that the request may run; Controller::intent_recorded() follows. Called only for requests
  // with `awaits_intent` set.
  virtual void record_intent(Request&) {}
  // Answers the request with the result of its original.
  virtual void coalesce(Request& request) = 0;
  // Reports the server's health to the membership service.
  virtual void report_health(bool healthy) = 0;
  // Advertises a capacity to callers, in the unit that AdvertisedCapacity selects.
  virtual void advertise(double value) = 0;
  // Closes every connection that has been idle for `after`, from now on.
  virtual void close_idle(Nanos after) = 0;
  // Calls Controller::timer_expired() with `token` after `delay`.
  virtual void schedule_timer(Nanos delay, std::uint64_t token) = 0;
  virtual void log(const std::string& line) = 0;
  // The Controller keeps no pointer to the request. The request may be freed once the current batch of events
  // has been handled, but no earlier.
  virtual void release(Request& request) = 0;
};

// Decides which requests one server admits, runs, rejects and fails, and when it calls its dependency. All
// calls must come from one thread, and an event must not be passed in while another is handled. `now` is the
// time of the event on a clock that never goes backwards.
class Controller {
 public:
  // `config` and `actions` must outlive the Controller; requests point to their classes and tenants in
  // `config`. `seed` determines all random choices.
  Controller(const ServiceConfig& config, ControllerActions& actions, std::uint64_t seed);
  ~Controller();
  Controller(const Controller&) = delete;
  Controller& operator=(const Controller&) = delete;

  // Must be called before any other event.
  void start(Nanos now);
  void request_received(Request& request, Nanos now);
  // The run of the request waits for a dependency call.
  void call_needed(Request& request, Nanos now);
  // `duration`: from the issue of the call to its end.
  void call_ended(Request& request, Outcome outcome, Nanos duration, Nanos now);
  void run_completed(Request& request, Outcome outcome, Nanos now);
  // `durable`: the intent is known to be on disk. Otherwise a request that has not started is rejected.
  void intent_recorded(Request& request, bool durable, Nanos now);
  void caller_disconnected(Request& request, Nanos now);
  void timer_expired(std::uint64_t token, const Gauges& gauges, Nanos now);
  // Begins a graceful shutdown, in which every request is answered before `stop_at`.
  void begin_drain(Nanos stop_at, Nanos now);
  ControllerStats stats() const;

 private:
  class Core;
  std::unique_ptr<Core> core_;
};

}  // namespace myrtlecroft
