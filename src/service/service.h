// The core of one server: handles requests and events, carries out the decisions of its Controller, and owns
// the requests, the keys with their results, the timers, the health checks and the drain. No I/O: sockets and
// files are behind the interfaces of ports.h. All calls on the loop's thread.
//
// service.cpp implements the course of requests; keyed_requests.cpp, dependency_calls.cpp, health_checks.cpp
// and drain.cpp implement the parts that they are named after.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "myrtlecroft/controller.h"
#include "service/engine_session.h"
#include "service/key_table.h"
#include "service/ports.h"
#include "service/tenant_index.h"

namespace myrtlecroft::service {

// How a call ended for the client of the dependency. After kAtCapacity, kNotExecuted and kUnreachable the
// call was certainly not executed.
enum class CallResult {
  kSucceeded,
  kAtCapacity,
  kFailed,
  kTimedOut,
  kNotExecuted,
  kUnreachable,
  kConnectionLost
};

class Service final : public ControllerActions, public EngineEvents {
 public:
  // The settings of a service, fixed when it starts.
  struct Options {
    ServiceConfig config;
    std::vector<std::string> gauge_names;  // of the values that the engine sends, in their order
    std::uint64_t seed = 0;
    Nanos stop_after = 0;              // from begin_drain()
    std::size_t max_result_bytes = 0;  // limit of all results retained by key
  };
  // The ports must outlive the service.
  Service(Options options, const Ports& ports);

  // Counters of the requests of one class since the start.
  struct Counts {
    std::uint64_t received = 0;  // received
    std::uint64_t rejected = 0;
    std::uint64_t completed = 0;
    std::uint64_t completed_in_time = 0;  // completed within the latency objective
    std::uint64_t failed = 0;             // failed
  };

  const ServiceConfig& config() const { return options_.config; }
  const Tenant* tenant(std::string_view name) const { return tenants_.find(name); }  // null: unknown
  const std::vector<Counts>& counts() const { return counts_; }  // in the order of config().request_classes
  Nanos core_time() const { return core_time_; }                 // of all requests that are done
  // Empty before the engine is up.
  std::optional<ControllerStats> stats() const;
  EngineSession& engine() { return engine_; }

  // Called by the listener once the last byte of a request was read. The sink of the request gets one answer,
  // unless the caller disconnects first.
  void request_received(std::unique_ptr<ServerRequest> request);
  // The caller of the request does not wait any more, and the sink gets no answer. No effect if it got one.
  void caller_disconnected(const std::string& id, const AnswerSink& sink);
  // `probe`: the engine does a self-test before the answer.
  void health_check(AnswerSink& sink, bool probe);
  // The sink gets no answer any more.
  void health_check_disconnected(AnswerSink& sink);
  // Called by the dependency's client.
  void call_completed(const std::string& id, CallResult result, std::string body);
  // Called by the idempotency log. `durable`: the intent of the request is known to be on disk.
  void intent_recorded(const std::string& id, bool durable);
  // Called by the idempotency log before any request is received, for each request of an earlier incarnation.
  // If it is not `completed`, it may have run. Its key is retained for `remaining`.
  void restore(const std::string& request_class, const std::string& key, bool completed,
               std::string_view result, Nanos remaining);
  // Called by the clock.
  void timer_expired();
  // Called when an operator signals a graceful shutdown; later calls have no effect.
  void begin_drain();
  bool draining() const { return stop_at_ != 0; }

  // EngineEvents, called by the engine session.
  void engine_up(bool booting, Nanos age) override;
  void run_needs_call(ServerRequest& request) override;
  void run_ended(ServerRequest& request, Outcome outcome, std::string_view result) override;
  void gauges_received(const std::vector<double>& values) override;
  void test_completed(bool passed) override;
  void commands_resolved(const ResolvedCommands& resolved) override;
  void notices_lost(std::uint64_t count, int runs_in_doubt) override;

  // ControllerActions, called by the Controller.
  void run(Request& request) override;
  void stop_work(Request&) override {}
  void reject(Request& request, bool no_failover, Nanos retry_after) override;
  void fail(Request& request) override;
  void call(Request& request, Nanos max_duration) override;
  bool abandon_call(Request& request) override;
  void skip_call(Request& request) override;
  void retain_key(Request& request, Nanos lifetime) override;
  void forget_key(Request& request) override;
  void record_intent(Request& request) override;
  void coalesce(Request& request) override;
  void report_health(bool healthy) override;
  void advertise(double) override {}
  void close_idle(Nanos after) override { ports_.listener.close_idle(after); }
  void schedule_timer(Nanos delay, std::uint64_t token) override;
  void log(const std::string& line) override { ports_.logger.line(line); }
  void release(Request& request) override;

 private:
  // The end of a request that another event caused.
  struct DeferredEnd {
    ServerRequest* request;
    Outcome outcome;
  };

  // Handles an event. Consequences that have no event of their own, such as results for retries, are handled
  // after it, since the Controller's events must not nest. Requests that are done are freed last.
  template <class Handler>
  void handle_event(Handler handler) {
    if (handling_event_) return handler();
    begin_event();
    handler();
    finish_event();
  }
  void begin_event();
  void finish_event();
  void finish_request(ServerRequest& request, Outcome outcome, std::string_view result);
  void update_idempotency_log(ServerRequest& request, Outcome outcome, std::string_view result);
  void answer(ServerRequest& request, const FinalAnswer& answer);
  Counts& counts_of(const ServerRequest& request) {
    return counts_[static_cast<std::size_t>(request.request_class - options_.config.request_classes.data())];
  }
  bool qualify_key(ServerRequest& request);
  bool is_owned_elsewhere(const ServerRequest& request) const;
  FinalAnswer owned_elsewhere_answer() const;
  FinalAnswer answer_without_engine(ServerRequest& request);
  Nanos key_lifetime(const ServerRequest& request, Nanos lifetime) const;
  void find_original(ServerRequest& request);
  void fail_waiters(KeyEntry& entry);
  void erase_key(KeyEntry& entry);
  void abandon_active_call(ServerRequest& request);
  void abandon(ServerRequest& request);
  void end_call(ServerRequest& request, Outcome outcome);
  void end_overdue_calls();
  void close_listener_when_drained();
  void set_timer();
  void answer_health_checks(bool healthy);

  Options options_;
  TenantIndex<> tenants_{options_.config.tenants};
  Ports ports_;
  EngineSession engine_;
  KeyTable keys_;
  std::unique_ptr<Controller> controller_;  // null until the engine is up
  std::unordered_map<std::string, std::unique_ptr<ServerRequest>> requests_;
  std::vector<ServerRequest*> calls_;     // requests with a dependency call in flight
  std::vector<ServerRequest*> released_;  // to be freed at the end of the event
  std::deque<DeferredEnd> deferred_;
  std::vector<AnswerSink*> health_checks_;  // that wait for the engine's self-test
  std::vector<Counts> counts_;
  Nanos core_time_ = 0;
  Gauges gauges_;
  Nanos gauges_at_ = 0;
  Nanos now_ = 0;       // time of the current event
  Nanos timer_at_ = 0;  // of the Controller's timer; 0: not set
  std::uint64_t timer_token_ = 0;
  Nanos health_checks_deadline_ = 0;
  Nanos drain_started_at_ = 0;
  Nanos stop_at_ = 0;           // 0: not draining
  std::size_t unanswered_ = 0;  // requests whose callers wait for an answer
  bool healthy_ = false;
  bool listener_closed_ = false;
  bool handling_event_ = false;
};

}  // namespace myrtlecroft::service
