// One server without a machine: a Controller, its terms, and a record of what it asked for (FakeHost); and
// the core of a real server with its ports (FakeWorld).
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "myrtlecroft/controller.h"
#include "service/service.h"

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
  config.weight_by_work = true;
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

enum Group { kReadClass, kWriteClass, kCallerClass, kSkipperClass };

class FakeHost : public ControllerActions {
 public:
  explicit FakeHost(ServiceConfig given = two_core_config())
      : config(std::move(given)), controller(config, *this, 7) {
    controller.start(now);
  }

  // A new request of a group, read now.
  Request& read(Group request_class = kReadClass, std::function<void(Request&)> with = {}) {
    Request& request = requests.emplace_back();
    request.request_class = &config.request_classes[static_cast<std::size_t>(request_class)];
    request.queued_kb = 10;
    request.arrived = now;
    if (with) with(request);
    controller.request_received(request, now);
    return request;
  }
  Request& repeat_of(Request& other, Group request_class = kWriteClass) {
    return read(request_class, [&](Request& request) { request.is_retry = true, request.original = &other; });
  }
  void read_many(int count, Group request_class = kReadClass) {
    for (int i = 0; i < count; ++i) read(request_class);
  }
  void settle(Request& request, Outcome outcome = Outcome::kOk) {
    controller.run_completed(request, outcome, now);
  }
  // Lets time pass in beats, with the gauges given.
  void pass(Nanos time, double on_cores = 2, double connections = 2) {
    for (Nanos end = now + time; now < end;) {
      now += 25 * kMs;
      Gauges gauges;
      gauges.on_cores = on_cores;
      gauges.connections = connections;
      controller.timer_expired(0, gauges, now);
    }
  }
  // Runs `count` requests to a timely end, one after the other.
  void serve(int count, Nanos each = 100 * kMs, Group request_class = kReadClass) {
    for (int i = 0; i < count; ++i) {
      Request& request = read(request_class);
      pass(each);
      settle(request);
    }
  }
  // The same for requests that make one call each and do nothing else.
  void serve_calls(int count, Nanos took) {
    for (int i = 0; i < count; ++i) {
      Request& request = read(kCallerClass);
      controller.call_needed(request, now);
      pass(took);
      controller.call_ended(request, Outcome::kOk, took, now);
      settle(request);
    }
  }
  int count(const std::string& what) const {
    int n = 0;
    for (const auto& did : done) n += did.first == what;
    return n;
  }
  std::string last_of(const Request& request) const {
    std::string last;
    for (const auto& did : done) {
      if (did.second == &request) last = did.first;
    }
    return last;
  }

  void run(Request& request) override { note("run", &request); }
  void stop_work(Request& request) override { note("stop", &request); }
  void reject(Request& request, bool last, Nanos pause) override {
    note("deny", &request);
    no_failover = last;
    retry_after = pause;
  }
  void fail(Request& request) override { note("terminate", &request); }
  void call(Request& request, Nanos longest) override { note("call", &request), longest_call = longest; }
  bool abandon_call(Request& request) override {
    note("give up call", &request);
    return true;
  }
  void skip_call(Request& request) override { note("skip", &request); }
  void retain_key(Request& request, Nanos lifetime) override { note("keep", &request), kept_for = lifetime; }
  void forget_key(Request& request) override { note("drop key", &request); }
  void coalesce(Request& request) override { note("attach", &request); }
  void report_health(bool good) override { healthy = good; }
  void advertise(double value) override { advertised = value; }
  void close_idle(Nanos after) override { idle_limit = after; }
  void schedule_timer(Nanos, std::uint64_t) override { note("ring", nullptr); }
  void log(const std::string& line) override { lines.push_back(line); }
  void release(Request&) override {}

  ServiceConfig config;
  Nanos now = 100 * kSecond;
  Nanos retry_after = 0;
  Nanos kept_for = 0;
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

// Who asked for an answer, and what came.
struct Caller : service::AnswerSink {
  void answer(const service::FinalAnswer& given) override {
    using service::Answer;
    unrecognized = given.unrecognized;
    answers.push_back(given.kind == Answer::kCompleted  ? "completed " + std::string(given.result)
                      : given.kind == Answer::kRejected ? "denied"
                                                        : "terminated");
  }
  std::string only() const { return answers.size() == 1 ? answers[0] : std::to_string(answers.size()); }
  service::ServerRequest* request = nullptr;
  std::vector<std::string> answers;
  bool unrecognized = false;
};

// All ports of one server. The engine's end of the link is played by the story.
class FakeWorld : public service::Clock,
                  public service::Listener,
                  public service::Engine,
                  public service::Dependency,
                  public service::HealthReporter,
                  public service::Logger {
 public:
  explicit FakeWorld(ServiceConfig config = two_core_config(), std::size_t result_bytes = 1000,
                     service::IdempotencyLog* records = nullptr,
                     const service::ShardOwnership* gate = nullptr)
      : service({.config = std::move(config),
                 .gauge_names = {"core_use", "on_cores", "heap_share", "links"},
                 .seed = 7,
                 .stop_after = 3 * kSecond,
                 .result_bytes = result_bytes},
                {*this, *this, *this, *this, *this, *this, records, gate}) {}

  void engine_up() {
    service.engine().linked();
    service.engine().hello(false, 0);
    answer_gauges();
  }
  // The engine has seen all that was sent.
  void answer_gauges() { service.engine().stats(last_token, {0.5, 1, 0.1, 3}); }
  void relink() {
    service.engine().lost();
    engine_up();
  }

  Caller& read(const std::string& id, Group request_class = kReadClass, const std::string& key = "",
               Nanos longest = 2 * kSecond, const std::string& body = "") {
    auto request = std::make_unique<service::ServerRequest>();
    Caller& caller = callers.emplace_back();
    caller.request = request.get();
    request->id = id;
    request->key = key;
    request->body = body.empty() ? "body of " + (key.empty() ? id : key) : body;
    request->request_class = &service.config().request_classes[static_cast<std::size_t>(request_class)];
    request->queued_kb = 10;
    request->arrived = time;
    request->client_deadline = time + longest;
    request->has_subject = true;
    request->sink = &caller;
    service.request_received(std::move(request));
    return caller;
  }
  void done(const std::string& id, Outcome outcome = Outcome::kOk, const std::string& result = "result") {
    service.engine().notice({service::Notice::Kind::kDone, ++notices, id, outcome, result});
  }
  void need(const std::string& id, const std::string& body = "call") {
    service.engine().notice({service::Notice::Kind::kNeed, ++notices, id, Outcome::kOk, body});
  }
  void pass(Nanos how_long) {
    Nanos end = time + how_long;
    while (timer <= end) {
      time = std::max(time, timer);
      timer = end + kSecond;
      service.timer_expired();
    }
    time = end;
  }
  long count(const std::string& what) const { return std::count(did.begin(), did.end(), what); }

  Nanos now() const override { return time; }
  void wake_at(Nanos when) override { timer = when; }
  void close_idle(Nanos) override {}
  void finish() override { did.push_back("finish"); }
  void attach(std::uint64_t last) override { did.push_back("attach " + std::to_string(last)); }
  void run(std::string_view id, std::string_view, std::string_view) override { note("run ", id); }
  void feed(std::string_view id, std::string_view reply) override {
    note("feed ", std::string(id) + " " + std::string(reply));
  }
  void skip(std::string_view id, std::uint64_t) override { note("skip ", id); }
  void stat(std::uint64_t token) override { last_token = token; }
  void test(std::uint64_t token) override { did.push_back("test"), test_token = token; }
  void call(service::ServerRequest& request, std::string_view, Nanos) override {
    note("call ", request.id);
    if (on_call) on_call(request);
  }
  void abandon_call(service::ServerRequest& request) override { note("give up ", request.id); }
  void report(bool good) override { healthy = good; }
  void line(const std::string&) override {}
  void frequent(const std::string&) override {}
  void routine(const std::string&) override {}

  Nanos time = 100 * kSecond;
  Nanos timer = 0;
  std::uint64_t last_token = 0;
  std::uint64_t test_token = 0;
  std::uint64_t notices = 0;
  bool healthy = false;
  std::deque<Caller> callers;
  std::vector<std::string> did;
  std::function<void(service::ServerRequest&)> on_call;
  service::Service service;

 private:
  void note(const std::string& what, std::string_view of) { did.push_back(what + std::string(of)); }
};

}  // namespace myrtlecroft
