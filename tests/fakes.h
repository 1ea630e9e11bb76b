// A Service with fakes of all its ports (ServiceHarness).
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "controller_harness.h"
#include "myrtlecroft/controller.h"
#include "service/service.h"

namespace myrtlecroft {

// Records the answers to one request or health check.
struct Caller : service::AnswerSink {
  void answer(const service::FinalAnswer& final_answer) override {
    using service::Answer;
    unrecognized = final_answer.unrecognized;
    answers.push_back(final_answer.kind == Answer::kCompleted
                          ? "completed " + std::string(final_answer.result)
                      : final_answer.kind == Answer::kRejected ? "denied"
                                                               : "terminated");
  }
  std::string single_answer() const {
    return answers.size() == 1 ? answers[0] : std::to_string(answers.size());
  }
  std::string id;                             // of its request
  service::ServerRequest* request = nullptr;  // valid until the service has done with it
  std::vector<std::string> answers;
  bool unrecognized = false;
};

// A Service and all its ports. The test plays the engine: it sends hello, notices and gauges. The commands of
// the service are recorded in order.
class ServiceHarness : public service::Clock,
                       public service::Listener,
                       public service::Engine,
                       public service::Dependency,
                       public service::HealthReporter,
                       public service::Logger {
 public:
  explicit ServiceHarness(ServiceConfig config = two_core_config(), std::size_t max_result_bytes = 1000,
                          service::IdempotencyLog* idempotency_log = nullptr,
                          const service::ShardOwnership* ownership = nullptr)
      : service({.config = std::move(config),
                 .gauge_names = {"core_use", "on_cores", "heap_share", "links"},
                 .seed = 7,
                 .stop_after = 3 * kSecond,
                 .max_result_bytes = max_result_bytes},
                {*this, *this, *this, *this, *this, *this, idempotency_log, ownership}) {}

  void engine_up() {
    service.engine().link_established();
    service.engine().hello(false, 0);
    answer_gauges();
  }
  // The engine answers the last query, which confirms all commands sent so far.
  void answer_gauges() { service.engine().stats(last_token, {0.5, 1, 0.1, 3}); }
  void reconnect_engine() {
    service.engine().link_lost();
    engine_up();
  }

  Caller& read(const std::string& id, RequestClassIndex request_class = kReadClass,
               const std::string& key = "", Nanos client_timeout = 2 * kSecond,
               const std::string& body = "") {
    auto request = std::make_unique<service::ServerRequest>();
    Caller& caller = callers.emplace_back();
    caller.id = id;
    caller.request = request.get();
    request->id = id;
    request->key = key;
    request->body = body.empty() ? "body of " + (key.empty() ? id : key) : body;
    request->request_class = &service.config().request_classes[static_cast<std::size_t>(request_class)];
    request->queued_kb = 10;
    request->arrived = time;
    request->client_deadline = time + client_timeout;
    request->has_lookup_key = true;
    request->sink = &caller;
    service.request_received(std::move(request));
    return caller;
  }
  void done(const std::string& id, Outcome outcome = Outcome::kOk, const std::string& result = "result") {
    service.engine().notice({service::Notice::Kind::kDone, ++notice_count, id, outcome, result});
  }
  void request_call(const std::string& id, const std::string& body = "call") {
    service.engine().notice({service::Notice::Kind::kNeed, ++notice_count, id, Outcome::kOk, body});
  }
  void advance_time(Nanos duration) {
    Nanos end = time + duration;
    while (timer <= end) {
      time = std::max(time, timer);
      timer = end + kSecond;
      service.timer_expired();
    }
    time = end;
  }
  long count(const std::string& command_name) const {
    return std::count(did.begin(), did.end(), command_name);
  }

  Nanos now() const override { return time; }
  void wake_at(Nanos when) override { timer = when; }
  void close_idle(Nanos) override {}
  void stop_accepting() override { did.push_back("finish"); }
  bool is_open() const override { return link_is_open; }
  void attach(std::uint64_t last_notice) override { did.push_back("attach " + std::to_string(last_notice)); }
  void run(std::string_view id, std::string_view, std::string_view) override { note("run ", id); }
  void deliver_reply(std::string_view id, std::string_view reply) override {
    note("feed ", std::string(id) + " " + std::string(reply));
  }
  void skip(std::string_view id, std::uint64_t) override { note("skip ", id); }
  void query_gauges(std::uint64_t token) override { last_token = token; }
  void test(std::uint64_t token) override {
    did.push_back("test");
    test_token = token;
  }
  void call(const std::string& request_id, std::string_view, Nanos) override {
    note("call ", request_id);
    if (on_call) on_call(request_id);
  }
  void abandon_call(const std::string& request_id) override { note("give up ", request_id); }
  void report(bool is_healthy) override { healthy = is_healthy; }
  void line(const std::string&) override {}
  void write_rate_limited(const std::string&) override {}
  void write_routine(const std::string&) override {}

  Nanos time = 100 * kSecond;
  Nanos timer = 0;
  std::uint64_t last_token = 0;
  std::uint64_t test_token = 0;
  std::uint64_t notice_count = 0;
  bool healthy = false;
  bool link_is_open = true;
  std::deque<Caller> callers;
  std::vector<std::string> did;
  std::function<void(const std::string& request_id)> on_call;
  service::Service service;

 private:
  void note(const std::string& command_name, std::string_view request_id) {
    did.push_back(command_name + std::string(request_id));
  }
};

}  // namespace myrtlecroft
