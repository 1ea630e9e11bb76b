// One server without a machine: a Controller, its terms, and a record of what it asked for.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "myrtlecroft/controller.h"

namespace myrtlecroft {

constexpr Nanos kMs = 1'000'000;
constexpr Nanos kSecond = 1'000 * kMs;

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

}  // namespace myrtlecroft
