// The core of a server with fakes of all that it talks to (FakeWorld).
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
  explicit FakeWorld(ServiceConfig config = two_core_config(), std::size_t max_result_bytes = 1000,
                     service::IdempotencyLog* records = nullptr,
                     const service::ShardOwnership* gate = nullptr)
      : service({.config = std::move(config),
                 .gauge_names = {"core_use", "on_cores", "heap_share", "links"},
                 .seed = 7,
                 .stop_after = 3 * kSecond,
                 .max_result_bytes = max_result_bytes},
                {*this, *this, *this, *this, *this, *this, records, gate}) {}

  void engine_up() {
    service.engine().link_established();
    service.engine().hello(false, 0);
    answer_gauges();
  }
  // The engine has seen all that was sent.
  void answer_gauges() { service.engine().stats(last_token, {0.5, 1, 0.1, 3}); }
  void relink() {
    service.engine().link_lost();
    engine_up();
  }

  Caller& read(const std::string& id, RequestClassIndex request_class = kReadClass,
               const std::string& key = "", Nanos longest = 2 * kSecond, const std::string& body = "") {
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
    request->has_lookup_key = true;
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
  void deliver_reply(std::string_view id, std::string_view reply) override {
    note("feed ", std::string(id) + " " + std::string(reply));
  }
  void skip(std::string_view id, std::uint64_t) override { note("skip ", id); }
  void query_gauges(std::uint64_t token) override { last_token = token; }
  void test(std::uint64_t token) override { did.push_back("test"), test_token = token; }
  void call(service::ServerRequest& request, std::string_view, Nanos) override {
    note("call ", request.id);
    if (on_call) on_call(request);
  }
  void abandon_call(service::ServerRequest& request) override { note("give up ", request.id); }
  void report(bool good) override { healthy = good; }
  void line(const std::string&) override {}
  void write_rate_limited(const std::string&) override {}
  void write_routine(const std::string&) override {}

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
