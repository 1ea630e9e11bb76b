// The core of one real server: carries out what its Controller decides, and keeps what the simulator kept for
// it (exchanges, keys with results, timers, health, drain). No I/O: the world is behind the ports.
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "myrtlecroft/controller.h"
#include "service/customer_index.h"
#include "service/engine_session.h"
#include "service/key_table.h"
#include "service/ports.h"

namespace myrtlecroft::service {

// How a call below ended, as the database client saw it.
enum class Reply { kRows, kFull, kFailed, kTimedOut, kNoRun, kUnreachable, kBroken };

class Service final : public Host, public EngineEvents {
 public:
  struct Start {
    ServiceTerms terms;
    std::vector<std::string> gauge_names;
    std::uint64_t seed = 0;
    Nanos stop_after = 0;          // from the notice to leave
    std::size_t result_bytes = 0;  // for results kept by key
  };
  Service(Start start, const Ports& ports);

  // Of one endpoint group, since the start.
  struct Counts {
    std::uint64_t read = 0;
    std::uint64_t denied = 0;
    std::uint64_t completed = 0;
    std::uint64_t in_time = 0;  // completed within the SLO time
    std::uint64_t terminated = 0;
  };

  const ServiceTerms& terms() const { return start_.terms; }
  const Customer* customer(std::string_view name) const { return customers_.find(name); }  // null: none
  const std::vector<Counts>& counts() const { return counts_; }  // in the order of the terms' groups
  Nanos core_time() const { return core_time_; }                 // of all work that is over
  bool good() const { return good_; }
  // How the Controller fares; none before the engine is up.
  std::optional<Figures> figures() const;
  EngineSession& engine() { return engine_; }

  // From the front. An exchange is read once its last byte is; its sink gets one answer.
  void read(std::unique_ptr<ServerExchange> ex);
  void caller_gone(ServerExchange& ex);
  void check(AnswerSink& sink, bool probe);
  void check_gone(AnswerSink& sink);
  // From the database client.
  void replied(ServerExchange& ex, Reply reply, std::string body);
  // From the records: whether the intent of that exchange is known to be durable; and, before anything is
  // read, what an earlier life left of an exchange by group and key. Not `good`: it may have run.
  void recorded(const std::string& id, bool durable);
  void restore(const std::string& group, const std::string& key, bool good, std::string_view result,
               Nanos left);
  // From the clock and the operators.
  void woke();
  void leave();
  bool leaving() const { return stop_at_ != 0; }

  // From the engine session.
  void engine_up(bool booting, Nanos age) override;
  void run_needs_call(ServerExchange& ex) override;
  void run_ended(ServerExchange& ex, Outcome outcome, std::string_view result) override;
  void gauges_came(const std::vector<double>& values) override;
  void tested(bool good) override;

  // From the Controller.
  void run(Exchange& ex) override;
  void stop_work(Exchange&) override {}
  void deny(Exchange& ex, bool not_elsewhere, Nanos stay_away) override;
  void terminate(Exchange& ex) override;
  void call(Exchange& ex, Nanos longest) override;
  bool give_up_call(Exchange& ex) override;
  void skip_call(Exchange& ex) override;
  void keep_key(Exchange& ex, Nanos lifetime) override;
  void drop_key(Exchange& ex) override;
  void record(Exchange& ex) override;
  void attach(Exchange& ex) override;
  void report_health(bool good) override;
  void advertise(double) override {}
  void close_idle(Nanos after) override { ports_.front.close_idle(after); }
  void ring_in(Nanos delay, std::uint64_t token) override;
  void log(const std::string& line) override { ports_.log.line(line); }
  void release(Exchange& ex) override;

 private:
  struct Deferred {
    ServerExchange* ex;
    Outcome outcome;
  };

  template <class Step>
  void take(Step step);
  void end(ServerExchange& ex, Outcome outcome, std::string_view result);
  void tell_records(ServerExchange& ex, Outcome outcome, std::string_view result);
  void answer(ServerExchange& ex, const FinalAnswer& answer);
  Counts& counts_of(const ServerExchange& ex) {
    return counts_[static_cast<std::size_t>(ex.group - start_.terms.groups.data())];
  }
  bool name_key(ServerExchange& ex);
  bool not_ours(const ServerExchange& ex) const;
  FinalAnswer elsewhere() const;
  FinalAnswer before_engine(ServerExchange& ex);
  Nanos key_lifetime(const ServerExchange& ex, Nanos lifetime) const;
  void find_prior(ServerExchange& ex);
  void fail_waiters(KeyEntry& entry);
  void drop(KeyEntry& entry);
  void leave_call(ServerExchange& ex);
  void abandon(ServerExchange& ex);
  void end_call(ServerExchange& ex, Outcome outcome);
  void end_calls_due();
  void finish_when_empty();
  void set_timer();
  void answer_checks(bool good);

  Start start_;
  CustomerIndex<> customers_{start_.terms.customers};
  Ports ports_;
  EngineSession engine_;
  KeyTable keys_;
  std::unique_ptr<Controller> controller_;  // from the first HELLO on
  std::unordered_map<std::string, std::unique_ptr<ServerExchange>> exchanges_;
  std::vector<ServerExchange*> calls_;
  std::vector<ServerExchange*> released_;
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
