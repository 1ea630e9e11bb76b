// The core of one real server: carries out what its Controller decides, and keeps what the simulator kept for
// it (requests, keys with results, timers, health, drain). No I/O: the world is behind the ports.
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

// How a call below ended, as the database client saw it.
enum class CallResult { kRows, kAtCapacity, kFailed, kTimedOut, kNotExecuted, kUnreachable, kConnectionLost };

class Service final : public ControllerActions, public EngineEvents {
 public:
  struct Start {
    ServiceConfig config;
    std::vector<std::string> gauge_names;
    std::uint64_t seed = 0;
    Nanos stop_after = 0;          // from the notice to leave
    std::size_t result_bytes = 0;  // for results kept by key
  };
  Service(Start start, const Ports& ports);

  // Of one request class, since the start.
  struct Counts {
    std::uint64_t read = 0;
    std::uint64_t rejected = 0;
    std::uint64_t completed = 0;
    std::uint64_t in_time = 0;  // completed within the latency objective
    std::uint64_t terminated = 0;
  };

  const ServiceConfig& config() const { return start_.config; }
  const Tenant* tenant(std::string_view name) const { return tenants_.find(name); }  // null: none
  const std::vector<Counts>& counts() const { return counts_; }  // in the order of the terms' groups
  Nanos core_time() const { return core_time_; }                 // of all work that is over
  bool good() const { return good_; }
  // How the Controller fares; none before the engine is up.
  std::optional<ControllerStats> stats() const;
  EngineSession& engine() { return engine_; }

  // From the front. An request is read once its last byte is; its sink gets one answer.
  void request_received(std::unique_ptr<ServerRequest> request);
  void caller_disconnected(ServerRequest& request);
  void health_check(AnswerSink& sink, bool probe);
  void health_check_disconnected(AnswerSink& sink);
  // From the database client.
  void call_completed(ServerRequest& request, CallResult result, std::string body);
  // From the records: whether the intent of that request is known to be durable; and, before anything is
  // read, what an earlier incarnation left of an request by group and key. Not `good`: it may have run.
  void intent_recorded(const std::string& id, bool durable);
  void restore(const std::string& request_class, const std::string& key, bool good, std::string_view result,
               Nanos left);
  // From the clock and the operators.
  void timer_expired();
  void begin_drain();
  bool draining() const { return stop_at_ != 0; }

  // From the engine session.
  void engine_up(bool booting, Nanos age) override;
  void run_needs_call(ServerRequest& request) override;
  void run_ended(ServerRequest& request, Outcome outcome, std::string_view result) override;
  void gauges_received(const std::vector<double>& values) override;
  void tested(bool good) override;

  // From the Controller.
  void run(Request& request) override;
  void stop_work(Request&) override {}
  void reject(Request& request, bool no_failover, Nanos retry_after) override;
  void fail(Request& request) override;
  void call(Request& request, Nanos longest) override;
  bool abandon_call(Request& request) override;
  void skip_call(Request& request) override;
  void retain_key(Request& request, Nanos lifetime) override;
  void forget_key(Request& request) override;
  void record_intent(Request& request) override;
  void coalesce(Request& request) override;
  void report_health(bool good) override;
  void advertise(double) override {}
  void close_idle(Nanos after) override { ports_.front.close_idle(after); }
  void schedule_timer(Nanos delay, std::uint64_t token) override;
  void log(const std::string& line) override { ports_.log.line(line); }
  void release(Request& request) override;

 private:
  struct Deferred {
    ServerRequest* request;
    Outcome outcome;
  };

  template <class Step>
  void take(Step step);
  void end(ServerRequest& request, Outcome outcome, std::string_view result);
  void tell_records(ServerRequest& request, Outcome outcome, std::string_view result);
  void answer(ServerRequest& request, const FinalAnswer& answer);
  Counts& counts_of(const ServerRequest& request) {
    return counts_[static_cast<std::size_t>(request.request_class - start_.config.request_classes.data())];
  }
  bool name_key(ServerRequest& request);
  bool not_ours(const ServerRequest& request) const;
  FinalAnswer elsewhere() const;
  FinalAnswer before_engine(ServerRequest& request);
  Nanos key_lifetime(const ServerRequest& request, Nanos lifetime) const;
  void find_original(ServerRequest& request);
  void fail_waiters(KeyEntry& entry);
  void drop(KeyEntry& entry);
  void leave_call(ServerRequest& request);
  void abandon(ServerRequest& request);
  void end_call(ServerRequest& request, Outcome outcome);
  void end_calls_due();
  void finish_when_empty();
  void set_timer();
  void answer_checks(bool good);

  Start start_;
  TenantIndex<> tenants_{start_.config.tenants};
  Ports ports_;
  EngineSession engine_;
  KeyTable keys_;
  std::unique_ptr<Controller> controller_;  // from the first HELLO on
  std::unordered_map<std::string, std::unique_ptr<ServerRequest>> requests_;
  std::vector<ServerRequest*> calls_;
  std::vector<ServerRequest*> released_;
  std::deque<Deferred> deferred_;
  std::vector<AnswerSink*> probes_;
  std::vector<Counts> counts_;
  Nanos core_time_ = 0;
  Gauges gauges_;
  Nanos gauges_at_ = 0;
  Nanos now_ = 0;
  Nanos ring_at_ = 0;
  std::uint64_t ring_token_ = 0;
  Nanos probes_until_ = 0;
  Nanos notice_at_ = 0;
  Nanos stop_at_ = 0;
  std::size_t unanswered_ = 0;
  bool good_ = false;
  bool finishing_ = false;
  bool inside_ = false;
};

}  // namespace myrtlecroft::service
