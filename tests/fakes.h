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

inline ServiceTerms two_core_terms() {
  ServiceTerms terms;
  EndpointGroup read{.name = "read", .benefit = 1, .slo_time = 2 * kSecond, .async_timeout = 5 * kSecond};
  EndpointGroup write = read;
  write.name = "write";
  write.effect = Effect::kDeduplicated;
  write.repeat_window = 10 * kSecond;
  EndpointGroup caller = write;
  caller.name = "caller";
  caller.makes_calls = true;
  EndpointGroup skipper = read;
  skipper.name = "skipper";
  skipper.makes_calls = true;
  skipper.skip_benefit = 0.5;
  terms.groups = {read, write, caller, skipper};
  terms.customers = {{"big", 100}, {"small", 1}};
  terms.cores = 2;
  terms.memory_kb = 100'000;
  terms.run_factor = 4;
  terms.key_kb = 10;
  terms.over_share_benefit = 0.05;
  terms.benefit_by_work = true;
  terms.crowd_factor = 8;
  terms.crowd_window = 2 * kSecond;
  terms.has_dependency = true;
  terms.calls_share = 2;
  terms.calls_window = 5 * kSecond;
  terms.call_lingers = 200 * kMs;
  terms.drain_grace = kSecond;
  terms.answer_slack = 100 * kMs;
  terms.tick = kMs;
  terms.longest_pause = kSecond;
  terms.longest_idle = 30 * kSecond;
  return terms;
}

enum Group { kReadGroup, kWriteGroup, kCallerGroup, kSkipperGroup };

class FakeHost : public Host {
 public:
  explicit FakeHost(ServiceTerms given = two_core_terms())
      : terms(std::move(given)), controller(terms, *this, 7) {
    controller.start(now);
  }

  // A new exchange of a group, read now.
  Exchange& read(Group group = kReadGroup, std::function<void(Exchange&)> with = {}) {
    Exchange& ex = exchanges.emplace_back();
    ex.group = &terms.groups[static_cast<std::size_t>(group)];
    ex.held_kb = 10;
    ex.arrived = now;
    if (with) with(ex);
    controller.read(ex, now);
    return ex;
  }
  Exchange& repeat_of(Exchange& other, Group group = kWriteGroup) {
    return read(group, [&](Exchange& ex) { ex.repeats = true, ex.prior = &other; });
  }
  void read_many(int count, Group group = kReadGroup) {
    for (int i = 0; i < count; ++i) read(group);
  }
  void settle(Exchange& ex, Outcome outcome = Outcome::kOk) { controller.settled(ex, outcome, now); }
  // Lets time pass in beats, with the gauges given.
  void pass(Nanos time, double on_cores = 2, double connections = 2) {
    for (Nanos end = now + time; now < end;) {
      now += 25 * kMs;
      Gauges gauges;
      gauges.on_cores = on_cores;
      gauges.connections = connections;
      controller.rang(0, gauges, now);
    }
  }
  // Runs `count` exchanges to a timely end, one after the other.
  void serve(int count, Nanos each = 100 * kMs, Group group = kReadGroup) {
    for (int i = 0; i < count; ++i) {
      Exchange& ex = read(group);
      pass(each);
      settle(ex);
    }
  }
  // The same for exchanges that make one call each and do nothing else.
  void serve_calls(int count, Nanos took) {
    for (int i = 0; i < count; ++i) {
      Exchange& ex = read(kCallerGroup);
      controller.reached_call(ex, now);
      pass(took);
      controller.call_ended(ex, Outcome::kOk, took, now);
      settle(ex);
    }
  }
  int count(const std::string& what) const {
    int n = 0;
    for (const auto& did : done) n += did.first == what;
    return n;
  }
  std::string last_of(const Exchange& ex) const {
    std::string last;
    for (const auto& did : done) {
      if (did.second == &ex) last = did.first;
    }
    return last;
  }

  void run(Exchange& ex) override { note("run", &ex); }
  void stop_work(Exchange& ex) override { note("stop", &ex); }
  void deny(Exchange& ex, bool last, Nanos pause) override {
    note("deny", &ex);
    not_elsewhere = last;
    stay_away = pause;
  }
  void terminate(Exchange& ex) override { note("terminate", &ex); }
  void call(Exchange& ex, Nanos longest) override { note("call", &ex), longest_call = longest; }
  bool give_up_call(Exchange& ex) override {
    note("give up call", &ex);
    return true;
  }
  void skip_call(Exchange& ex) override { note("skip", &ex); }
  void keep_key(Exchange& ex, Nanos lifetime) override { note("keep", &ex), kept_for = lifetime; }
  void drop_key(Exchange& ex) override { note("drop key", &ex); }
  void attach(Exchange& ex) override { note("attach", &ex); }
  void report_health(bool good) override { healthy = good; }
  void advertise(double value) override { advertised = value; }
  void close_idle(Nanos after) override { idle_limit = after; }
  void ring_in(Nanos, std::uint64_t) override { note("ring", nullptr); }
  void log(const std::string& line) override { lines.push_back(line); }
  void release(Exchange&) override {}

  ServiceTerms terms;
  Nanos now = 100 * kSecond;
  Nanos stay_away = 0;
  Nanos kept_for = 0;
  Nanos longest_call = 0;
  Nanos idle_limit = 0;
  bool healthy = false;
  bool not_elsewhere = false;
  double advertised = -1;
  std::deque<Exchange> exchanges;
  std::vector<std::pair<std::string, const Exchange*>> done;
  std::vector<std::string> lines;
  Controller controller;

 private:
  void note(const char* what, const Exchange* ex) { done.emplace_back(what, ex); }
};

// Who asked for an answer, and what came.
struct Caller : service::AnswerSink {
  void answer(const service::FinalAnswer& given) override {
    using service::Answer;
    unfounded = given.unfounded;
    answers.push_back(given.kind == Answer::kCompleted ? "completed " + std::string(given.result)
                      : given.kind == Answer::kDenied  ? "denied"
                                                       : "terminated");
  }
  std::string only() const { return answers.size() == 1 ? answers[0] : std::to_string(answers.size()); }
  service::ServerExchange* ex = nullptr;
  std::vector<std::string> answers;
  bool unfounded = false;
};

// All ports of one server. The engine's end of the link is played by the story.
class FakeWorld : public service::Clock,
                  public service::FrontPort,
                  public service::EnginePort,
                  public service::DependencyPort,
                  public service::MembershipPort,
                  public service::LogPort {
 public:
  explicit FakeWorld(ServiceTerms terms = two_core_terms(), std::size_t result_bytes = 1000,
                     service::RecordPort* records = nullptr, const service::KeyGate* gate = nullptr)
      : service({.terms = std::move(terms),
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

  Caller& read(const std::string& id, Group group = kReadGroup, const std::string& key = "",
               Nanos longest = 2 * kSecond, const std::string& body = "") {
    auto ex = std::make_unique<service::ServerExchange>();
    Caller& caller = callers.emplace_back();
    caller.ex = ex.get();
    ex->id = id;
    ex->key = key;
    ex->body = body.empty() ? "body of " + (key.empty() ? id : key) : body;
    ex->group = &service.terms().groups[static_cast<std::size_t>(group)];
    ex->held_kb = 10;
    ex->arrived = time;
    ex->gives_up_at = time + longest;
    ex->has_subject = true;
    ex->sink = &caller;
    service.read(std::move(ex));
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
      service.woke();
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
  void call(service::ServerExchange& ex, std::string_view, Nanos) override {
    note("call ", ex.id);
    if (on_call) on_call(ex);
  }
  void give_up(service::ServerExchange& ex) override { note("give up ", ex.id); }
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
  std::function<void(service::ServerExchange&)> on_call;
  service::Service service;

 private:
  void note(const std::string& what, std::string_view of) { did.push_back(what + std::string(of)); }
};

}  // namespace myrtlecroft
