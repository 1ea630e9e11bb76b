// Random sequences of events, each a function of its seed alone, against the rules that callers and the
// engine can check. MYRTLECROFT_SEEDS=FIRST-LAST plays other seeds than those of CI.
#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>
#include <set>
#include <string>

#include "engine_model.h"

namespace myrtlecroft {
namespace {

using service::CallResult;

constexpr int kSteps = 3000;
constexpr Nanos kKeyPeriod = 2 * kSecond;  // a key is used for so long, far below its window
constexpr Nanos kAnswerSlack = 100 * kMs;  // of the configuration

ServiceConfig random_events_config() {
  ServiceConfig config = config_with_each_idempotency();
  config.cores = 8;
  config.answer_sharing_window = 200 * kMs;
  return config;
}

class RandomEvents : public EngineModel {
 public:
  explicit RandomEvents(std::uint64_t seed) : EngineModel(random_events_config()), random_(seed) {
    kept_notices = 4 + below(20);
    connect();
    exchange_all();
  }

  void run(std::string_view id, std::string_view request_class, std::string_view body) override {
    Attempt& attempt = attempts_.at(std::string(id));
    EXPECT_FALSE(attempt.after_grace) << id << " arrived after the grace";
    if (attempt.idempotency != Idempotency::kIdempotent)
      EXPECT_EQ(++run_commands_[attempt.group], 1)
          << id << " of " << attempt.group << " is told to run again";
    EngineModel::run(id, request_class, body);
  }
  void call(const std::string& request_id, std::string_view body, Nanos max_duration) override {
    if (attempts_.at(request_id).idempotency != Idempotency::kIdempotent)
      EXPECT_TRUE(calls_that_may_have_run_.insert(std::string(body)).second) << body << " is made again";
    EngineModel::call(request_id, body, max_duration);
  }

  void play() {
    for (int step = 0; step < kSteps && !testing::Test::HasFailure(); ++step) {
      take_step();
      check_answers();
    }
    drain();
  }

 private:
  struct Attempt {
    Caller* caller;
    Idempotency idempotency;
    std::string group;  // the key, or the id of a request without one
    Nanos deadline = 0;
    bool disconnected = false;
    bool after_grace = false;
    std::size_t answers_checked = 0;
  };

  std::uint64_t below(std::uint64_t limit) { return random_() % limit; }

  void receive() {
    auto index = static_cast<RequestClassIndex>(below(config().request_classes.size()));
    std::string id = "r" + std::to_string(attempts_.size());
    std::string key;
    Idempotency idempotency = config().request_classes[std::size_t(index)].idempotency;
    if (idempotency != Idempotency::kNone)
      key = std::to_string(time / kKeyPeriod) + "-" + std::to_string(below(8)) + "-" + std::to_string(index);
    Nanos timeout = static_cast<Nanos>(50 + below(1000)) * kMs;
    std::string group = idempotency == Idempotency::kKeyed ? key : id;
    Attempt& attempt = attempts_[id];
    attempt = {.caller = nullptr, .idempotency = idempotency, .group = group, .deadline = time + timeout};
    attempt.after_grace = grace_ends_at_ && time > grace_ends_at_;
    attempt.caller = &read(id, index, key, timeout);
    calls_per_run = static_cast<int>(below(3));
    open_.push_back(id);
  }
  void disconnect(std::size_t count) {
    for (; count > 0 && !open_.empty(); --count) {
      Attempt& attempt = attempts_.at(open_[below(open_.size())]);
      attempt.disconnected = true;
      service.caller_disconnected(attempt.caller->id, *attempt.caller);
    }
  }
  void end_call() {
    if (calls_in_flight.empty()) return;
    auto call = std::next(calls_in_flight.begin(), static_cast<long>(below(calls_in_flight.size())));
    constexpr CallResult kResults[] = {
        CallResult::kSucceeded,   CallResult::kSucceeded,      CallResult::kSucceeded,
        CallResult::kAtCapacity,  CallResult::kFailed,         CallResult::kTimedOut,
        CallResult::kNotExecuted, CallResult::kConnectionLost, CallResult::kUnreachable};
    CallResult result = kResults[below(std::size(kResults))];
    bool never_ran = result == CallResult::kAtCapacity || result == CallResult::kNotExecuted ||
                     result == CallResult::kUnreachable;
    if (never_ran) calls_that_may_have_run_.erase(call->second);
    complete_call(std::string(call->first), result);
  }
  void check_health() {
    Caller& probe = probes_.emplace_back();
    service.health_check(probe, true);
    if (below(2) == 0) service.health_check_disconnected(probe);
  }
  void take_step() {
    if (!link_is_up() && below(5) == 0) connect();
    if (!link_is_open && below(2) == 0) break_link(below(2) == 0);
    std::uint64_t action = below(100);
    if (action < 10) {
      receive();
    } else if (action < 50) {
      for (std::uint64_t count = below(6); count > 0; --count) below(2) ? receive_command() : receive_line();
    } else if (action < 51) {
      if (below(4) == 0) lose_notice();
      for (std::uint64_t count = below(6); count > 0; --count) remark();
    } else if (action < 70) {
      std::vector<std::string> ids = running();
      if (!ids.empty()) advance_run(ids[below(ids.size())]);
    } else if (action < 85) {
      end_call();
    } else if (action < 86) {
      link_is_open = false;  // the session learns of it later
    } else if (action < 88) {
      disconnect(below(20) == 0 ? open_.size() : 1);
    } else if (action < 89) {
      check_health();
    } else {
      advance_time(static_cast<Nanos>(1 + below(10)) * kMs);
    }
  }

  void check_answers() {
    std::erase_if(open_, [this](const std::string& id) {
      Attempt& attempt = attempts_.at(id);
      const std::vector<std::string>& answers = attempt.caller->answers;
      EXPECT_LE(answers.size(), 1u) << id;
      if (answers.empty()) {
        if (!attempt.disconnected) EXPECT_LE(time, attempt.deadline + kAnswerSlack) << id << " is unanswered";
        return attempt.disconnected;
      }
      check_answer(id, attempt, answers[0]);
      return true;
    });
  }
  void check_answer(const std::string& id, const Attempt& attempt, const std::string& answer) {
    if (answer == "denied") EXPECT_EQ(run_commands_[attempt.group], 0) << id << " is rejected, and has run";
    if (!answer.starts_with("completed")) return;
    std::string source = answer.substr(std::string("completed result of ").size());
    ASSERT_TRUE(attempts_.contains(source)) << id << ": " << answer;
    if (attempt.idempotency != Idempotency::kIdempotent)
      EXPECT_EQ(attempts_.at(source).group, attempt.group) << id << " has the result of " << source;
  }
  void drain() {
    service.begin_drain();
    Nanos stop_at = time + 3 * kSecond;
    grace_ends_at_ = time + config().drain_grace;
    while (time < stop_at && !testing::Test::HasFailure()) {
      take_step();
      advance_time(kMs);
      check_answers();
    }
    if (!link_is_open) break_link(false);
    if (!link_is_up()) connect();
    exchange_all();
    stop_runs();
    exchange_all();
    EXPECT_EQ(service.stats()->running, 0) << "places are kept for runs that have ended";
    for (const std::string& id : open_) {
      if (attempts_.at(id).deadline > stop_at - 200 * kMs) continue;  // it arrived in the last moment
      EXPECT_TRUE(attempts_.at(id).disconnected) << id << " is unanswered at the stop";
    }
  }
  const ServiceConfig& config() const { return service.config(); }

  std::mt19937_64 random_;
  std::map<std::string, Attempt> attempts_;  // by id
  std::vector<std::string> open_;            // unanswered
  std::map<std::string, int> run_commands_;  // of requests that must not run twice, by group
  std::set<std::string> calls_that_may_have_run_;
  std::deque<Caller> probes_;
  Nanos grace_ends_at_ = 0;  // 0: not draining
};

// Breaks of the link, lost and late commands, calls that end in every way, callers that leave, retries and a
// drain.
TEST(ServiceRandomTest, RulesHoldInRandomSequencesOfEvents) {
  unsigned first = 1;
  unsigned last = 60;
  if (const char* seeds = std::getenv("MYRTLECROFT_SEEDS")) {
    ASSERT_EQ(std::sscanf(seeds, "%u-%u", &first, &last), 2) << "MYRTLECROFT_SEEDS is FIRST-LAST";
  }
  for (unsigned seed = first; seed <= last && !HasFailure(); ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    RandomEvents(seed).play();
  }
}

}  // namespace
}  // namespace myrtlecroft
