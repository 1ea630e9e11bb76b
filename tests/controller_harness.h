// A Controller with its configuration and clock, and a record of its actions.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "myrtlecroft/controller.h"

namespace myrtlecroft {

// A server of two cores with a class for each kind of request: idempotent, keyed, keyed with a required call,
// and idempotent with a call that it can do without.
inline ServiceConfig two_core_config() {
  ServiceConfig config;
  RequestClass read{
      .name = "read", .priority_weight = 1, .latency_objective = 2 * kSecond, .client_timeout = 5 * kSecond};
  RequestClass write = read;
  write.name = "write";
  write.idempotency = Idempotency::kKeyed;
  write.deduplication_window = 10 * kSecond;
  RequestClass caller = write;
  caller.name = "caller";
  caller.makes_calls = true;
  RequestClass skipper = read;
  skipper.name = "skipper";
  skipper.makes_calls = true;
  skipper.degraded_weight_share = 0.5;
  config.request_classes = {read, write, caller, skipper};
  config.tenants = {{"big", 100}, {"small", 1}};
  config.cores = 2;
  config.memory_kb = 100'000;
  config.running_memory_factor = 4;
  config.key_kb = 10;
  config.over_quota_weight = 0.05;
  config.weight_is_per_core_second = true;
  config.max_running_per_core = 8;
  config.contention_window = 2 * kSecond;
  config.has_dependency = true;
  config.dependency_share = 2;
  config.dependency_window = 5 * kSecond;
  config.abandoned_call_lifetime = 200 * kMs;
  config.drain_grace = kSecond;
  config.answer_slack = 100 * kMs;
  config.tick = kMs;
  config.max_retry_after = kSecond;
  config.max_idle_time = 30 * kSecond;
  return config;
}

// A server with another share of the dependency.
inline ServiceConfig config_with_dependency_share(double dependency_share,
                                                  ServiceConfig config = two_core_config()) {
  config.dependency_share = dependency_share;
  return config;
}

// A server on which only the admission window rejects: latency objectives are too long to limit the queue.
inline ServiceConfig config_limited_by_the_window_alone() {
  ServiceConfig config = two_core_config();
  for (RequestClass& request_class : config.request_classes)
    request_class.latency_objective = request_class.client_timeout = 3600 * kSecond;
  return config;
}

enum RequestClassIndex { kReadClass, kWriteClass, kRequiredCallClass, kOptionalCallClass };

// Calls the Controller with the time `now`, and records its actions by name in `actions`.
class ControllerHarness : public ControllerActions {
 public:
  explicit ControllerHarness(ServiceConfig initial_config = two_core_config())
      : config(std::move(initial_config)), controller(config, *this, 7) {
    controller.start(now);
  }

  // Receives a new request of a class. `configure` may change it first.
  Request& receive(RequestClassIndex request_class = kReadClass,
                   std::function<void(Request&)> configure = {}) {
    Request& request = requests.emplace_back();
    request.request_class = &config.request_classes[static_cast<std::size_t>(request_class)];
    request.queued_kb = 10;
    request.arrived = now;
    if (configure) configure(request);
    controller.request_received(request, now);
    return request;
  }
  Request& retry_of(Request& other, RequestClassIndex request_class = kWriteClass) {
    return receive(request_class, [&](Request& request) {
      request.is_retry = true;
      request.original = &other;
    });
  }
  void receive_many(int count, RequestClassIndex request_class = kReadClass) {
    for (int i = 0; i < count; ++i) receive(request_class);
  }
  void complete(Request& request, Outcome outcome = Outcome::kOk) {
    controller.run_completed(request, outcome, now);
  }
  // Advances the clock in steps of 25 ms, each with an expired timer and these gauges.
  void advance(Nanos time, double runnable_threads = 2, double connections = 2) {
    for (Nanos end = now + time; now < end;) {
      now += 25 * kMs;
      Gauges gauges;
      gauges.runnable_threads = runnable_threads;
      gauges.connections = connections;
      controller.timer_expired(0, gauges, now);
    }
  }
  // Runs `count` requests to a timely completion, one after the other.
  void serve(int count, Nanos run_time = 100 * kMs, RequestClassIndex request_class = kReadClass) {
    for (int i = 0; i < count; ++i) {
      Request& request = receive(request_class);
      advance(run_time);
      complete(request);
    }
  }
  // Runs `count` requests that each make one call and do no other work.
  void serve_calls(int count, Nanos duration) {
    for (int i = 0; i < count; ++i) {
      Request& request = receive(kRequiredCallClass);
      controller.call_needed(request, now);
      advance(duration);
      controller.call_ended(request, Outcome::kOk, duration, now);
      complete(request);
    }
  }
  int count(const std::string& action_name) const {
    int n = 0;
    for (const auto& action : actions) n += action.first == action_name;
    return n;
  }
  std::string last_action(const Request& request) const {
    std::string last_name;
    for (const auto& action : actions) {
      if (action.second == &request) last_name = action.first;
    }
    return last_name;
  }

  void run(Request& request) override { note("run", &request); }
  void stop_work(Request& request) override { note("stop", &request); }
  void reject(Request& request, bool failover_is_useless, Nanos delay) override {
    note("reject", &request);
    no_failover = failover_is_useless;
    retry_after = delay;
  }
  void fail(Request& request) override { note("fail", &request); }
  void call(Request& request, Nanos max_duration) override {
    note("call", &request);
    max_call_duration = max_duration;
  }
  bool abandon_call(Request& request) override {
    note("abandon call", &request);
    return true;
  }
  void skip_call(Request& request) override { note("skip call", &request); }
  void retain_key(Request& request, Nanos lifetime) override {
    note("retain key", &request);
    key_lifetime = lifetime;
  }
  void forget_key(Request& request) override { note("forget key", &request); }
  void coalesce(Request& request) override { note("coalesce", &request); }
  void report_health(bool is_healthy) override { healthy = is_healthy; }
  void advertise(double value) override { advertised = value; }
  void close_idle(Nanos after) override { idle_limit = after; }
  void schedule_timer(Nanos, std::uint64_t) override { note("schedule timer", nullptr); }
  void log(const std::string& line) override { lines.push_back(line); }
  void release(Request&) override {}

  ServiceConfig config;
  Nanos now = 100 * kSecond;
  Nanos retry_after = 0;
  Nanos key_lifetime = 0;
  Nanos max_call_duration = 0;
  Nanos idle_limit = 0;
  bool healthy = false;
  bool no_failover = false;
  double advertised = -1;
  std::deque<Request> requests;
  std::vector<std::pair<std::string, const Request*>> actions;
  std::vector<std::string> lines;
  Controller controller;

 private:
  void note(const char* action_name, const Request* request) { actions.emplace_back(action_name, request); }
};

}  // namespace myrtlecroft
