// A Controller with its configuration and clock, and a record of the actions that it asked for.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "myrtlecroft/controller.h"

namespace myrtlecroft {

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
inline ServiceConfig sharing(double dependency_share, ServiceConfig config = two_core_config()) {
  config.dependency_share = dependency_share;
  return config;
}

// A server whose window alone decides: latency objectives far away, so that the room never binds.
inline ServiceConfig window_only() {
  ServiceConfig config = two_core_config();
  for (RequestClass& request_class : config.request_classes)
    request_class.latency_objective = request_class.client_timeout = 3600 * kSecond;
  return config;
}

enum RequestClassIndex { kReadClass, kWriteClass, kCallerClass, kSkipperClass };

class ControllerHarness : public ControllerActions {
 public:
  explicit ControllerHarness(ServiceConfig given = two_core_config())
      : config(std::move(given)), controller(config, *this, 7) {
    controller.start(now);
  }

  // A new request of a class, received now.
  Request& receive(RequestClassIndex request_class = kReadClass, std::function<void(Request&)> with = {}) {
    Request& request = requests.emplace_back();
    request.request_class = &config.request_classes[static_cast<std::size_t>(request_class)];
    request.queued_kb = 10;
    request.arrived = now;
    if (with) with(request);
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
  // Lets time pass, with a timer each 25 ms and the gauges given.
  void advance(Nanos time, double runnable_threads = 2, double connections = 2) {
    for (Nanos end = now + time; now < end;) {
      now += 25 * kMs;
      Gauges gauges;
      gauges.runnable_threads = runnable_threads;
      gauges.connections = connections;
      controller.timer_expired(0, gauges, now);
    }
  }
  // Runs `count` requests to a timely end, one after the other.
  void serve(int count, Nanos each = 100 * kMs, RequestClassIndex request_class = kReadClass) {
    for (int i = 0; i < count; ++i) {
      Request& request = receive(request_class);
      advance(each);
      complete(request);
    }
  }
  // The same for requests that make one call each and do nothing else.
  void serve_calls(int count, Nanos took) {
    for (int i = 0; i < count; ++i) {
      Request& request = receive(kCallerClass);
      controller.call_needed(request, now);
      advance(took);
      controller.call_ended(request, Outcome::kOk, took, now);
      complete(request);
    }
  }
  int count(const std::string& what) const {
    int n = 0;
    for (const auto& did : done) n += did.first == what;
    return n;
  }
  std::string last_action(const Request& request) const {
    std::string last;
    for (const auto& did : done) {
      if (did.second == &request) last = did.first;
    }
    return last;
  }

  void run(Request& request) override { note("run", &request); }
  void stop_work(Request& request) override { note("stop", &request); }
  void reject(Request& request, bool last, Nanos pause) override {
    note("reject", &request);
    no_failover = last;
    retry_after = pause;
  }
  void fail(Request& request) override { note("fail", &request); }
  void call(Request& request, Nanos longest) override {
    note("call", &request);
    longest_call = longest;
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
  void report_health(bool good) override { healthy = good; }
  void advertise(double value) override { advertised = value; }
  void close_idle(Nanos after) override { idle_limit = after; }
  void schedule_timer(Nanos, std::uint64_t) override { note("schedule timer", nullptr); }
  void log(const std::string& line) override { lines.push_back(line); }
  void release(Request&) override {}

  ServiceConfig config;
  Nanos now = 100 * kSecond;
  Nanos retry_after = 0;
  Nanos key_lifetime = 0;
  Nanos longest_call = 0;
  Nanos idle_limit = 0;
  bool healthy = false;
  bool no_failover = false;
  double advertised = -1;
  std::deque<Request> requests;
  std::vector<std::pair<std::string, const Request*>> done;
  std::vector<std::string> lines;
  Controller controller;

 private:
  void note(const char* what, const Request* request) { done.emplace_back(what, request); }
};

}  // namespace myrtlecroft
