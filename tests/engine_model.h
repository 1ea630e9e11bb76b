// A Service whose engine, link and database follow the protocol, on the fake clock. Commands and notices are
// on their way until the test lets them arrive, so that every crossing of a break can be forced.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fakes.h"

namespace myrtlecroft {

// Two cores, and classes that are idempotent, keyed, and mutating without a key, the last one.
inline ServiceConfig config_with_each_idempotency() {
  ServiceConfig config = two_core_config();
  config.dependency_share = 20;
  RequestClass mutating = config.request_classes[kRequiredCallClass];
  mutating.name = "mutating";
  mutating.idempotency = Idempotency::kNone;
  config.request_classes.push_back(mutating);
  return config;
}

// The engine runs again what it is told to run after its run has ended, and passes a reply to whichever call
// waits.
class EngineModel : public ServiceHarness {
 public:
  explicit EngineModel(ServiceConfig config) : ServiceHarness(std::move(config)) {}

  // Port of the engine session: commands go on their way, unless the link is down.
  void attach(std::uint64_t last_notice) override {
    ServiceHarness::attach(last_notice);
    send({.kind = Kind::kAttach, .number = last_notice});
  }
  void run(std::string_view id, std::string_view request_class, std::string_view body) override {
    ServiceHarness::run(id, request_class, body);
    send({.kind = Kind::kRun, .id = std::string(id), .text = std::string(body)});
  }
  void deliver_reply(std::string_view id, std::string_view reply) override {
    ServiceHarness::deliver_reply(id, reply);
    send({.kind = Kind::kFeed, .id = std::string(id), .text = std::string(reply)});
  }
  void skip(std::string_view id, std::uint64_t notice) override {
    ServiceHarness::skip(id, notice);
    send({.kind = Kind::kSkip, .id = std::string(id), .number = notice});
  }
  void query_gauges(std::uint64_t token) override { send({.kind = Kind::kStat, .number = token}); }
  void test(std::uint64_t token) override { send({.kind = Kind::kTest, .number = token}); }
  // Port of the dependency: the test decides what becomes of a call.
  void call(const std::string& request_id, std::string_view body, Nanos max_duration) override {
    ServiceHarness::call(request_id, body, max_duration);
    calls_in_flight[request_id] = body;
  }
  void abandon_call(const std::string& request_id) override {
    ServiceHarness::abandon_call(request_id);
    calls_in_flight.erase(request_id);
  }

  // Lets the next command reach the engine. Returns false if none is on its way.
  bool receive_command() {
    if (commands_.empty()) return false;
    Message command = std::move(commands_.front());
    commands_.pop_front();
    handle(command);
    return true;
  }
  // Lets the next line of the engine reach the server. Returns false if none is on its way.
  bool receive_line() {
    if (lines_.empty() || !link_is_open) return false;
    Message line = std::move(lines_.front());
    lines_.pop_front();
    switch (line.kind) {
      case Kind::kHello:
        service.engine().hello(false, 0);
        break;
      case Kind::kStat:
        service.engine().stats(line.number, {0.5, 1, 0.1, 3});
        break;
      case Kind::kTest:
        service.engine().test_completed(line.number, true);
        break;
      default:
        service.engine().notice(notices_[line.number - 1]);
    }
    return true;
  }
  void exchange_all() {
    while (receive_command() || receive_line()) {
    }
  }
  void connect() {
    link_is_up_ = true;
    link_is_open = true;
    service.engine().link_established();
  }
  // Commands on their way are lost or arrive late. The engine sends its notices again on the next link.
  void break_link(bool commands_are_lost) {
    if (!link_is_up_) return;
    while (!commands_are_lost && receive_command()) {
    }
    commands_.clear();
    lines_.clear();
    link_is_up_ = false;
    service.engine().link_lost();
  }
  bool link_is_up() const { return link_is_up_; }

  // Lets a run go on to its next call or its end. Returns false if it waits for a reply or there is none.
  bool advance_run(const std::string& id) {
    auto found = runs_.find(id);
    if (found == runs_.end() || !found->second.awaited_call.empty()) return false;
    Run& run = found->second;
    using NoticeKind = service::Notice::Kind;
    if (run.calls_left == 0) {
      runs_.erase(found);
      emit({NoticeKind::kDone, notices_.size() + 1, id, Outcome::kOk, "result of " + id});
      return true;
    }
    run.awaited_call = "call " + std::to_string(run.calls_left--) + " of " + id;
    run.call_notice = notices_.size() + 1;
    emit({NoticeKind::kNeed, run.call_notice, id, Outcome::kOk, run.awaited_call});
    return true;
  }
  std::vector<std::string> running() const {
    std::vector<std::string> ids;
    for (const auto& [id, run] : runs_) ids.push_back(id);
    return ids;
  }
  // Ends every run, also those that wait for a reply.
  void stop_runs() {
    for (const auto& [id, run] : runs_)
      emit({service::Notice::Kind::kDone, notices_.size() + 1, id, Outcome::kFailed, ""});
    runs_.clear();
  }
  void complete_call(const std::string& id, service::CallResult result) {
    std::string body = std::exchange(calls_in_flight[id], {});
    calls_in_flight.erase(id);
    service.call_completed(id, result, "reply to " + body);
  }

  // A notice about no request.
  void remark() { emit({service::Notice::Kind::kNote, notices_.size() + 1, "", Outcome::kOk, ""}); }
  // Loses the next line if it is a notice, as if its bytes were damaged each time it is sent.
  void lose_notice() {
    if (!lines_.empty() && lines_.front().kind == Kind::kNotice) lines_.pop_front();
  }

  int calls_per_run = 1;
  std::size_t kept_notices = 4000;                     // that a new link can ask for
  std::map<std::string, int> starts;                   // of runs, by request
  std::map<std::string, std::string> calls_in_flight;  // request and body

 private:
  enum class Kind { kAttach, kRun, kFeed, kSkip, kStat, kTest, kHello, kNotice };
  struct Message {
    Kind kind;
    std::string id{};
    std::string text{};
    std::uint64_t number = 0;  // a token, or that of a notice
  };
  struct Run {
    int calls_left = 0;
    std::string awaited_call{};  // its body; empty while the run waits for none
    std::uint64_t call_notice = 0;
  };

  void send(Message command) {
    EXPECT_TRUE(link_is_open) << "a command is sent on a broken link";
    if (link_is_up_) commands_.push_back(std::move(command));
  }
  void emit(service::Notice notice) {
    notices_.push_back(std::move(notice));
    if (link_is_up_) lines_.push_back({.kind = Kind::kNotice, .number = notices_.size()});
  }
  std::uint64_t first_kept_after(std::uint64_t last_notice) const {
    std::size_t dropped = notices_.size() - std::min(kept_notices, notices_.size());
    return std::max<std::uint64_t>(last_notice, dropped) + 1;
  }
  void handle(const Message& command) {
    auto run = runs_.find(command.id);
    switch (command.kind) {
      case Kind::kAttach:
        lines_.push_back({.kind = Kind::kHello});
        for (std::uint64_t number = first_kept_after(command.number); number <= notices_.size(); ++number)
          lines_.push_back({.kind = Kind::kNotice, .number = number});
        return;
      case Kind::kRun:
        EXPECT_FALSE(command.text.empty()) << "the body of " << command.id << " is missing";
        if (runs_.emplace(command.id, Run{.calls_left = calls_per_run}).second) ++starts[command.id];
        return;
      case Kind::kFeed:
        if (run == runs_.end() || run->second.awaited_call.empty()) return;
        EXPECT_EQ(command.text, "reply to " + run->second.awaited_call);
        run->second.awaited_call.clear();
        return;
      case Kind::kSkip:
        if (run != runs_.end() && run->second.call_notice == command.number) run->second.awaited_call.clear();
        return;
      default:
        lines_.push_back({.kind = command.kind, .number = command.number});
    }
  }

  bool link_is_up_ = false;
  std::deque<Message> commands_;  // on their way to the engine
  std::deque<Message> lines_;     // on their way to the server
  std::vector<service::Notice> notices_;
  std::map<std::string, Run> runs_;
};

}  // namespace myrtlecroft
