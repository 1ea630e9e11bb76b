// myrtlecroft's decisions, all of them: what one server takes, starts, rejects, calls and reports.
//
// How to call it: make one Controller for each incarnation of a server, with the ServiceConfig it was given,
// a Host that carries out effects and a seed; call start() once, then one input for each event, in order,
// with the clock. Inputs never nest, and every effect is made before the input returns. The interface is in
// include/myrtlecroft/: terms.h (what is read at start), request.h (one request) and controller.h.
//
// The design decides the ordinary path: a window over queue positions with both refusal checks, +1 each tenth
// timely answer, a cut to position - 10 when lower, FIFO starts under a running limit (docs/design.md).
// Mechanisms beside it:
//   1. room: maxWindow follows the measured pace and the latency objectives, less for what earns less
//   (room()).
//   2. out of time: what can no longer meet its latency objective, on arrival, at the front or waiting for a
//   slow
//      dependency, gives way to the others.
//   3. modes: a server whose work stands still or fails rejects, reports it, and comes back by trial runs.
//   4. call pacing: calls below are paid by the time they take, out of a share that is smaller while they are
//      slow; each may be out for so long; some may be skipped, some made again when lost.
//   5. advice: rejections say how long to stay away, and the free value says how much is welcome.
//   6. connections: idle ones are closed the sooner the more are open and the rarer a caller returns, and
//      kept in a storm of tries.
// The guards that the four rules ask for (due times, keys, memory, crowd, drain) stand with the inputs.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <random>
#include <set>
#include <vector>

#include "myrtlecroft/controller.h"
#include "myrtlecroft/decaying_sum.h"

namespace myrtlecroft {
namespace {

// The design's figures.
constexpr int kStep = 10;         // successes for each +1, margin of the cut, margin of the front check
constexpr int kStartPerCore = 4;  // start window

// The running limit.
constexpr double kGrowth = 0.25;  // a beat, while cores idle and work is held
constexpr double kBusy = 0.95;    // of the cores' time in use
constexpr double kRoomy = 1.2;    // on the cores, for each core: up to here use tells whether they idle
constexpr double kCrowded = 1.5;  // on the cores, for each core: from here the limit falls back
constexpr double kCeiling = 0.7;  // of the crowd that the server survives

// Memory, as shares of all there is.
constexpr double kHoldMemory = 0.8;
constexpr double kRunMemory = 0.92;
constexpr double kKeyMemory = 0.5;  // up to here, keys of reads that may share an answer are worth theirs

// Room, calls and modes.
constexpr double kSloUsed = 0.7;  // of the latency objective that an request may be expected to take
constexpr double kLateIsFine =
    0.5;  // of the benefit kept past the latency objective: that time then does not matter
constexpr double kUnreadLong =
    0.2;                        // of the latency objective, spent before it was read: others queue unread
constexpr double kUsual = 1.4;  // times its usual core time, and a server is slow for itself
constexpr double kManyRejected = 0.35;  // of what is read: more than uneven callers explain
constexpr double kRejectedFine = 0.1;  // of what is read; with more rejected, floor and weight keep more back
constexpr double kPressMore = 0.05;
constexpr double kPressLess = 0.02;
constexpr double kPressMost = 0.95;
constexpr double kMinRoom = 0.4;     // of the room, for what earns next to nothing
constexpr double kWorkOfSlo = 8;     // first guess: latency objective over core time
constexpr double kCallsQuick = 0.8;  // of our share of the dependency, while calls are quick
constexpr double kCallsSlow = 0.3;  // and at least, when they are slow: it slows down well before all is used
constexpr double kSlowCalls = 3;    // times the best recent time: slow for all who call
constexpr double kLostCall = 8;  // times the time that calls take, with later ones back: no reply will come
constexpr int kCallTries = 2;    // of what may run again
constexpr double kCallPlaces = 0.5;   // of the crowd's ceiling: the rest is left to what runs
constexpr double kCallsBurst = 0.05;  // of our share over its window, saved up while few calls were made
constexpr double kCallsDebt = 0.3;    // of the same, owed at most by a call that does not come back
constexpr double kForget = 0.02;      // a second: how quickly the best call time is forgotten
constexpr double kSilence = 16;       // stalled when no run moves for this many core times over the runs, and
constexpr double kSilenceMin = 2;     // for this many more: what still runs is the longer part of it
constexpr double kSilentSlo = 0.4;    // and the quiet lasts this part of the shortest latency objective
constexpr Nanos kRest = 3 * kSecond;  // sick at least this long once runs fail, and between trials
constexpr double kFailShare = 0.3;    // of recent runs failed: failing
constexpr double kFailCount = 6;
constexpr int kTrialRuns = 2;  // at once
constexpr int kProven = 6;     // good trial runs in a row that end the trial

constexpr Nanos kBeat = 25 * kMs;
constexpr Nanos kRecent = 4 * kSecond;
constexpr Nanos kCallRecent = kSecond;
constexpr double kCallKnown = 0.5;          // samples that the call time last known weighs
constexpr Nanos kSickRecent = 3 * kSecond;  // over which failed runs count
constexpr Nanos kSlowRecent = 2 * kSecond;  // for tenants, and for a server beside what is usual
constexpr Nanos kUsualOver = 60 * kSecond;  // over which it learns what is usual
constexpr Nanos kAdvertiseEvery = 250 * kMs;
constexpr double kIdlePerCore = 16;  // connections without an request in hand, for each core, where a caller
constexpr double kIdleReuse = 8;     // comes back within this many seconds,
constexpr double kIdleFew = 1;       // and where it does not
constexpr double kIdleSooner = 0.7;
constexpr double kIdleLater = 1.1;
constexpr double kIdleStorm = 4;
constexpr double kDoorCrowd = 1;  // reading and handshakes on the cores, for each core: a storm of tries
constexpr Nanos kIdleMin = 10 * kMs;
constexpr double kCallGuess = 0.05;  // seconds

constexpr double kQuotaGuess = 4;  // requests within its quota that a tenant is taken to have sent
constexpr double kGuess = 2;       // samples that a first guess weighs

class DecayingMean {
 public:
  explicit DecayingMean(Nanos over = kRecent) : total_(over), weight_(over) {}
  void add(double x, Nanos now) { total_.add(x, now), weight_.add(1, now); }
  // A guess counts as some samples: what ends first is not typical of all that runs.
  double mean(double guess, Nanos now, double samples = kGuess) const {
    double weight = weight_.read(now);
    return (total_.read(now) + guess * samples) / (weight + samples);
  }

 private:
  DecayingSum total_;
  DecayingSum weight_;
};

double seconds(Nanos t) { return static_cast<double>(t) / static_cast<double>(kSecond); }
Nanos nanos(double s) { return static_cast<Nanos>(s * static_cast<double>(kSecond)); }

const char* name_of(Mode mode) {
  constexpr std::array<const char*, 4> names = {"serving", "stalled", "trial", "leaving"};
  return names[static_cast<std::size_t>(mode)];
}

}  // namespace

class Controller::Core {
 public:
  Core(const ServiceConfig& config, ControllerActions& host, std::uint64_t seed)
      : config_(config), host_(host), random_(static_cast<std::mt19937::result_type>(seed)) {
    min_window_ = std::max(1, config_.cores);
    window_ = kStartPerCore * min_window_;
    limit_ = config_.cores;
    shortest_slo_ = config_.request_classes.front().latency_objective;
    for (const RequestClass& request_class : config_.request_classes)
      shortest_slo_ = std::min(shortest_slo_, request_class.latency_objective);
    calls_over_ = std::max(kSecond, config_.dependency_window);
    rows_.resize(config_.request_classes.size());
    tenant_rate_.assign(config_.tenants.size(), DecayingSum(kSlowRecent));
  }

  // Inputs.
  void start(Nanos now);
  void read(Request& request);
  void run_completed(Request& request, Outcome outcome);
  void recorded(Request& request, bool durable);
  void reached_call(Request& request) { apply(request, Input::kNeedsCall), progress(); }
  void call_ended(Request& request, Outcome outcome, Nanos took);
  void caller_disconnected(Request& request) { apply(request, Input::kGone); }
  void timer_expired(const Gauges& gauges);
  void begin_drain(Nanos stop_at);
  void at(Nanos now) { now_ = now; }
  void pump();
  ControllerStats stats() const;

 private:
  enum class Input {
    kAdmit,
    kJoin,
    kReject,
    kStart,
    kNeedsCall,
    kIssue,
    kSkip,
    kCallOk,
    kCallNone,
    kCallLost,
    kDone,
    kGiveUp,
    kGone
  };
  struct Step {
    Phase phase;
    Input input;
    Phase next;
    void (Core::*idempotency)(Request&);
  };
  struct Reason {
    const char* why;
    bool (Core::*applies)(const Request&) const;
  };
  struct ModeStep {
    Mode mode;
    bool (Core::*when)() const;
    Mode next;
    void (Core::*idempotency)();
    const char* why;
  };
  // What is known of each request class.
  struct GroupRow {
    DecayingMean core_time;  // seconds on the cores, calls left out
    DecayingMean run_time;   // seconds from start to end
    DecayingMean calls;      // calls below for each run
  };
  static const std::array<Step, 27> kSteps;
  static const std::array<Reason, 7> kTurnedAway;
  static const std::array<Reason, 3> kNotStarted;
  static const std::array<ModeStep, 7> kModes;

  void apply(Request& request, Input input);

  // Effects of the steps.
  void hold(Request& request);
  void join(Request& request);
  void reject(Request& request);
  void run(Request& request);
  void wait_to_call(Request& request);
  void issue(Request& request);
  void skip(Request& request);
  void call_ok(Request& request);
  void call_none(Request& request);
  void call_lost(Request& request);
  void finish(Request& request);
  void give_up(Request& request);
  void give_up_held(Request& request);
  void gone(Request& request);

  // Reasons to turn an arrival away, and not to start what is at the front.
  bool came_after_grace(const Request& request) const;
  bool sick(const Request& request) const;
  bool no_memory(const Request& request) const;
  bool beyond_window(const Request&) const { return next_position() > window_; }
  bool no_time_left(const Request& request) const { return request.deadline - now_ <= lead(); }
  bool beyond_room(const Request& request) const;
  bool likely_late(const Request& request) const { return request.position > window_ + kStep; }
  bool out_of_time(const Request& request) const;
  bool no_call_place(const Request& request) const;

  // When modes change, and what that brings.
  bool stands_still() const;
  bool rested() const { return now_ - stalled_at_ >= kRest; }
  bool may_try() const { return rested() ? on_core_ == 0 || progressed_ : progressed_ && !runs_fail(); }
  bool runs_fail() const { return runs_.read(now_) >= kFailCount && failed_share() > kFailShare; }
  bool proven() const { return trial_good_ >= kProven; }
  bool told_to_leave() const { return stop_at_ != 0; }
  void turn_sick();
  void try_again();
  void turn_well();
  void turn_bad() { host_.report_health(false); }
  void change_modes();
  double failed_share() const { return failures_.read(now_) / std::max(1.0, runs_.read(now_)); }
  void progress() { last_progress_ = now_, progressed_ = true; }

  // Measures.
  std::size_t row_of(const Request& request) const {
    return static_cast<std::size_t>(request.request_class - config_.request_classes.data());
  }
  std::size_t tenant_of(const Request& request) const {
    return static_cast<std::size_t>(request.tenant - config_.tenants.data());
  }
  int next_position() const { return static_cast<int>(held_.size()) + 1; }
  Nanos key_lifetime(const Request& request) const;
  Nanos lead() const { return kBeat + 2 * config_.tick; }
  double warm_share() const;
  double cores_crowd() const { return crowd_.mean(config_.cores, now_); }  // all that wants a core
  double ceiling() const;
  double core_time(std::size_t row) const;
  double core_time() const { return core_time_.mean(core_time_guess(0), now_); }
  double core_time_guess(std::size_t row) const;
  double run_time(std::size_t row) const;
  double pace() const { return limit_ / core_time(); }
  double worth(std::size_t row) const;
  double tenant_factor(const Request& request) const;
  double room(const Request& request) const;
  double widest_room() const;
  double budget(std::size_t row, Nanos time) const { return kSloUsed * seconds(time) - run_time(row); }
  double learned_call_time() const { return call_time_.mean(known_call_, now_, kCallKnown); }
  // One still out tells as much as one that ended, unless a later one is back: then it tells of itself alone.
  bool overtaken(const Request& request) const { return request.since < newest_back_; }
  double call_time() const {
    auto oldest = std::find_if_not(calls_out_.begin(), calls_out_.end(),
                                   [this](const Request* request) { return overtaken(*request); });
    return std::max(learned_call_time(), oldest == calls_out_.end() ? 0 : seconds(now_ - (*oldest)->since));
  }
  double share_over_window() const { return config_.dependency_share * seconds(calls_over_); }
  double longest_call() const;
  double call_wait(const Request& request) const;
  double call_worth(const Request& request) const {
    return request.request_class->priority_weight * (1 - request.request_class->degraded_weight_share);
  }
  double calls_held() const { return static_cast<double>(calls_out_.size() + lingering_.size()); }
  double calls_target() const {
    return config_.dependency_share *
           std::clamp(kCallsQuick * quick_call_ / call_time(), kCallsSlow, kCallsQuick);
  }
  int in_calls() const { return static_cast<int>(to_call_.size() + calls_out_.size()); }
  int call_places() const {
    return config_.dependency_share <= 0 ? 0 : std::max(1, static_cast<int>(kCallPlaces * ceiling()));
  }
  bool can_start(const Request& request) const;
  double memory() const { return memory_kb_ + config_.key_kb * static_cast<double>(keys_.size()); }
  // As quick as usual and still denying much, this server is taken for one of many that are short: a
  // rejection is then best passed on at once, as further tries cost others their reading. Harm: where callers
  // crowd on some.
  bool fleet_short() const {
    bool much = rejected_.read(now_) > kManyRejected * read_.read(now_);
    return mode_ == Mode::kServing && much && pace_time_.mean(0, now_) < kUsual * usual_time_.mean(0, now_);
  }
  bool calls_below(const Request& request) const {
    return request.request_class->makes_calls && config_.has_dependency;
  }
  bool needs_call(const Request& request) const {
    return calls_below(request) && request.request_class->degraded_weight_share <= 0;
  }
  bool lacks_place(const Request& request) const {
    return needs_call(request) && in_calls() >= call_places();
  }
  bool dependency_slow(const Request& request) const {
    return calls_below(request) && call_time() > kSlowCalls * quick_call_;
  }
  Nanos retry_after();

  // Upkeep.
  void late(Request& request);
  void timely();
  void set_memory(Request& request, double kb) {
    memory_kb_ += kb - request.memory_kb, request.memory_kb = kb;
  }
  void on_core(Request& request);
  void off_core(Request& request);
  void leave_hold(Request& request);
  void leave_call(Request& request);
  void close(Request& request);
  void answer_due();
  void pump_calls();
  void give_up_lost_calls();
  void advertise();
  void close_idle(const Gauges& gauges);
  void follow_gauges(const Gauges& gauges);

  const ServiceConfig& config_;
  ControllerActions& host_;
  std::mt19937 random_;
  Nanos shortest_slo_ = 0;
  Nanos now_ = 0;
  Nanos started_ = 0;

  std::deque<Request*> held_;       // in arrival order
  std::deque<Request*> to_call_;    // waiting for leave to call
  std::deque<Request*> calls_out_;  // oldest first
  std::vector<Request*> open_;      // all that are not over
  std::multiset<Nanos> keys_;       // when kept entries end
  std::multiset<Nanos> lingering_;  // when abandoned calls are surely gone

  int window_ = 0;
  int min_window_ = 0;
  int successes_ = 0;
  double limit_ = 0;
  int on_core_ = 0;
  double memory_kb_ = 0;

  Mode mode_ = Mode::kServing;
  Nanos notice_ = 0;
  Nanos stop_at_ = 0;
  Nanos last_progress_ = 0;
  Nanos stalled_at_ = 0;
  bool progressed_ = false;
  int trial_good_ = 0;
  DecayingSum runs_{kSickRecent};
  DecayingSum failures_{kSickRecent};

  std::vector<GroupRow> rows_;
  std::vector<DecayingSum> tenant_rate_;
  DecayingMean core_time_;
  DecayingMean pace_time_{kSlowRecent};  // core time as if nothing but runs shared the cores
  DecayingMean usual_time_{kUsualOver};  // the same, over long
  DecayingMean call_time_{kCallRecent};
  DecayingMean call_base_;
  double known_call_ = kCallGuess;  // what it was when a call last ended
  Nanos newest_back_ = 0;           // when the latest made of those that are back was made
  double quick_call_ = 1e9;         // the best recent time of a call
  Nanos calls_over_ = 0;            // the window of our share
  DecayingMean crowd_{250 * kMs};
  DecayingSum rejected_{kRecent};
  DecayingSum read_{kRecent};
  double call_credit_ = 0;  // call seconds that are ours to spend
  Nanos credited_ = 0;
  Nanos advertised_ = 0;
  Nanos idle_limit_ = 0;
  double pressure_ = 0;  // what callers are asked to keep back
};

// The life of an request. What is not listed changes nothing.
const std::array<Controller::Core::Step, 27> Controller::Core::kSteps = {{
    {Phase::kReceived, Input::kAdmit, Phase::kQueued, &Core::hold},
    {Phase::kReceived, Input::kJoin, Phase::kCoalesced, &Core::join},
    {Phase::kReceived, Input::kReject, Phase::kDone, &Core::reject},
    {Phase::kReceived, Input::kGiveUp, Phase::kDone, &Core::give_up_held},
    {Phase::kQueued, Input::kStart, Phase::kRunning, &Core::run},
    {Phase::kQueued, Input::kReject, Phase::kDone, &Core::reject},
    {Phase::kQueued, Input::kGiveUp, Phase::kDone, &Core::give_up_held},
    {Phase::kQueued, Input::kGone, Phase::kDone, &Core::leave_hold},
    {Phase::kCoalesced, Input::kGone, Phase::kDone, &Core::leave_hold},
    {Phase::kRunning, Input::kNeedsCall, Phase::kAwaitingDependency, &Core::wait_to_call},
    {Phase::kRunning, Input::kDone, Phase::kDone, &Core::finish},
    {Phase::kRunning, Input::kGiveUp, Phase::kAbandoned, &Core::give_up},
    {Phase::kRunning, Input::kGone, Phase::kAbandoned, &Core::gone},
    {Phase::kAwaitingDependency, Input::kIssue, Phase::kCalling, &Core::issue},
    {Phase::kAwaitingDependency, Input::kSkip, Phase::kRunning, &Core::skip},
    {Phase::kAwaitingDependency, Input::kGiveUp, Phase::kAbandoned, &Core::give_up},
    {Phase::kAwaitingDependency, Input::kGone, Phase::kAbandoned, &Core::gone},
    {Phase::kAwaitingDependency, Input::kDone, Phase::kDone, &Core::finish},
    {Phase::kCalling, Input::kCallOk, Phase::kRunning, &Core::call_ok},
    {Phase::kCalling, Input::kCallNone, Phase::kAwaitingDependency, &Core::call_none},
    {Phase::kCalling, Input::kCallLost, Phase::kAwaitingDependency, &Core::call_lost},
    {Phase::kCalling, Input::kGiveUp, Phase::kAbandoned, &Core::give_up},
    {Phase::kCalling, Input::kGone, Phase::kAbandoned, &Core::gone},
    {Phase::kCalling, Input::kDone, Phase::kDone, &Core::finish},
    {Phase::kCoalesced, Input::kDone, Phase::kDone, &Core::finish},
    {Phase::kCoalesced, Input::kGiveUp, Phase::kDone, &Core::give_up_held},
    {Phase::kAbandoned, Input::kDone, Phase::kDone, &Core::finish},
}};

// Why an arrival is rejected, first match first.
const std::array<Controller::Core::Reason, 7> Controller::Core::kTurnedAway = {{
    {"after the drain grace", &Core::came_after_grace},
    {"no time left", &Core::no_time_left},
    {"work here stands still or fails", &Core::sick},
    {"memory", &Core::no_memory},
    {"past its SLO time", &Core::out_of_time},
    {"window", &Core::beyond_window},
    {"room", &Core::beyond_room},
}};

// Why what stands at the front is rejected instead of started.
const std::array<Controller::Core::Reason, 3> Controller::Core::kNotStarted = {{
    {"likely to time out", &Core::likely_late},
    {"past its SLO time", &Core::out_of_time},
    {"its call has no place", &Core::no_call_place},
}};

const std::array<Controller::Core::ModeStep, 7> Controller::Core::kModes = {{
    {Mode::kServing, &Core::told_to_leave, Mode::kDraining, &Core::turn_bad, "notice to leave"},
    {Mode::kStalled, &Core::told_to_leave, Mode::kDraining, &Core::turn_bad, "notice to leave"},
    {Mode::kProbing, &Core::told_to_leave, Mode::kDraining, &Core::turn_bad, "notice to leave"},
    {Mode::kServing, &Core::stands_still, Mode::kStalled, &Core::turn_sick, "runs stand still or fail"},
    {Mode::kProbing, &Core::stands_still, Mode::kStalled, &Core::turn_sick, "trial runs went badly"},
    {Mode::kStalled, &Core::may_try, Mode::kProbing, &Core::try_again, "a run moved, or rested"},
    {Mode::kProbing, &Core::proven, Mode::kServing, &Core::turn_well, "trial runs went well"},
}};

void Controller::Core::apply(Request& request, Input input) {
  for (const Step& step : kSteps) {
    if (step.phase != request.phase || step.input != input) continue;
    request.phase = step.next;
    (this->*step.idempotency)(request);
    if (request.phase == Phase::kDone) close(request);
    return;
  }
}

// ---- Inputs

void Controller::Core::start(Nanos now) {
  now_ = started_ = last_progress_ = credited_ = now;
  host_.report_health(true);
  idle_limit_ = config_.max_idle_time;
  host_.schedule_timer(kBeat, 0);
}

void Controller::Core::read(Request& request) {
  request.deadline =
      std::max(now_, request.client_deadline ? request.client_deadline
                                             : request.arrived + request.request_class->client_timeout);
  request.useful_until =
      request.request_class->late_weight_share < kLateIsFine
          ? std::min(request.deadline, request.arrived + request.request_class->latency_objective)
          : request.deadline;
  read_.add(1, now_);
  request.phase = Phase::kReceived;
  request.admitted = now_;
  open_.push_back(&request);
  if (request.tenant) tenant_rate_[tenant_of(request)].add(1, now_);
  // A repeat of a deduplicated request that runs, has run or is held here is never run again. It gets the
  // other's result; an id no longer known is one that has run. Two tries in one batch name each other, and
  // one rejected unrun binds nobody.
  bool other_unread = request.original && request.original->phase == Phase::kReceived;
  bool other_unrun = request.original && request.original->phase == Phase::kDone && !request.original->ran;
  bool in_time = !came_after_grace(request) && !no_time_left(request);
  bool must_join = request.request_class->idempotency != Idempotency::kIdempotent;
  if (request.is_retry && !other_unread && !other_unrun && (in_time || must_join)) {
    apply(request, in_time ? Input::kJoin : Input::kGiveUp);
    return;
  }
  for (const Reason& reason : kTurnedAway) {
    if (!(this->*reason.applies)(request)) continue;
    apply(request, Input::kReject);
    return;
  }
  apply(request, Input::kAdmit);
}

void Controller::Core::run_completed(Request& request, Outcome outcome) {
  if (request.phase == Phase::kDone) return;
  if (request.phase != Phase::kCoalesced && outcome != Outcome::kIgnored) {
    bool good = outcome == Outcome::kOk;
    if (good || outcome == Outcome::kFailed) {
      progress();
      runs_.add(1, now_);
      if (!good) failures_.add(1, now_);
      if (good && !request.answered && now_ <= request.deadline) {
        timely();
      } else if (good && !request.answered) {
        late(request);
      }
      trial_good_ = good ? trial_good_ + 1 : 0;
    }
    // What was stopped on a core tells that work takes longer: without it, only what is short would count.
    // What spans a stall tells how long the stall was, not how long work takes.
    bool stopped = outcome == Outcome::kCanceled && request.on_core;
    if ((good || stopped) && request.started >= stalled_at_) {
      off_core(request);
      double spent = seconds(request.core_time);
      rows_[row_of(request)].core_time.add(spent, now_);
      rows_[row_of(request)].run_time.add(seconds(now_ - request.started), now_);
      rows_[row_of(request)].calls.add(request.calls, now_);
      core_time_.add(spent, now_);
      double alone = spent * std::min(1.0, config_.cores / std::max(1.0, cores_crowd()));
      pace_time_.add(alone, now_);
      usual_time_.add(alone, now_);
    }
  }
  apply(request, Input::kDone);
}

// What can't be protected from running twice must not run: it is rejected, having never started.
void Controller::Core::recorded(Request& request, bool durable) {
  request.awaits_intent = false;
  if (!durable && request.phase == Phase::kQueued) apply(request, Input::kReject);
}

void Controller::Core::call_ended(Request& request, Outcome outcome, Nanos took) {
  bool never_ran = outcome == Outcome::kFull || outcome == Outcome::kUnreachable;
  bool tells_time =
      !never_ran && outcome != Outcome::kReset && !(outcome == Outcome::kTimedOut && overtaken(request));
  if (outcome == Outcome::kOk) newest_back_ = std::max(newest_back_, request.since);
  if (tells_time) {
    call_time_.add(seconds(took), now_);
    call_base_.add(seconds(took), now_);
    known_call_ = learned_call_time();
  }
  progress();
  apply(request, outcome == Outcome::kOk ? Input::kCallOk : never_ran ? Input::kCallNone : Input::kCallLost);
}

void Controller::Core::timer_expired(const Gauges& gauges) {
  host_.schedule_timer(kBeat, 0);
  follow_gauges(gauges);
  answer_due();
  if (now_ - advertised_ < kAdvertiseEvery) return;
  advertised_ = now_;
  advertise();
  close_idle(gauges);
}

void Controller::Core::begin_drain(Nanos stop_at) { notice_ = now_, stop_at_ = stop_at; }

// ---- Effects

// A deduplicated request needs its key; a read that may share its answer has one while memory is to spare.
Nanos Controller::Core::key_lifetime(const Request& request) const {
  if (request.request_class->idempotency == Idempotency::kKeyed)
    return request.request_class->deduplication_window;
  bool shares = request.request_class->idempotency == Idempotency::kIdempotent && request.has_subject &&
                !request.writes;
  return shares && memory() < kKeyMemory * config_.memory_kb ? config_.answer_sharing_window : 0;
}

void Controller::Core::hold(Request& request) {
  request.position = next_position();
  set_memory(request, request.queued_kb);
  held_.push_back(&request);
  if (request.awaits_intent) host_.record_intent(request);
  // Kept while held, so that a repeat names it instead of looking like new work.
  Nanos lifetime = key_lifetime(request);
  if (lifetime <= 0) return;
  request.key_retained = true;
  request.key_until = now_ + lifetime;
  keys_.insert(request.key_until);
  host_.retain_key(request, lifetime);
}

void Controller::Core::join(Request& request) {
  request.ran = true;  // some try of it has, or may yet
  set_memory(request, request.queued_kb);
  host_.coalesce(request);
}

void Controller::Core::reject(Request& request) {
  rejected_.add(1, now_);
  leave_hold(request);
  host_.reject(request, fleet_short() || dependency_slow(request), retry_after());
}

void Controller::Core::run(Request& request) {
  std::erase(held_, &request);
  request.ran = true;
  request.started = now_;
  set_memory(request, request.queued_kb * config_.running_memory_factor);
  if (on_core_ == 0) last_progress_ = now_;
  on_core(request);
  host_.run(request);
}

void Controller::Core::wait_to_call(Request& request) {
  off_core(request);
  ++request.calls;
  to_call_.push_back(&request);
}

void Controller::Core::issue(Request& request) {
  std::erase(to_call_, &request);
  request.call_in_flight = true;
  request.since = now_;
  host_.call(request, std::max(kMs, std::min(request.deadline - now_, nanos(longest_call()))));
  calls_out_.push_back(&request);  // after its longest time was taken, which counts it as one more
}

void Controller::Core::skip(Request& request) {
  std::erase(to_call_, &request);
  on_core(request);
  host_.skip_call(request);
}

void Controller::Core::call_ok(Request& request) {
  leave_call(request);
  on_core(request);
}

void Controller::Core::call_none(Request& request) {
  leave_call(request);
  to_call_.push_back(&request);
}

void Controller::Core::call_lost(Request& request) {
  call_none(request);
  ++request.calls_lost;
}

void Controller::Core::finish(Request& request) {
  off_core(request);
  leave_call(request);
}

// The final answer to what has run or may have: an error that promises nothing. Work that can be stopped is,
// unless a repeat may still want its result.
void Controller::Core::give_up(Request& request) {
  if (!request.answered) {
    host_.fail(request);
    late(request);
  }
  request.answered = true;
  leave_call(request);
  if (request.on_core && config_.stop_mode != StopMode::kNone &&
      request.request_class->idempotency == Idempotency::kIdempotent) {
    host_.stop_work(request);
  }
}

void Controller::Core::give_up_held(Request& request) {
  leave_hold(request);
  host_.fail(request);
  if (request.position) late(request);
}

void Controller::Core::gone(Request& request) {
  late(request);
  request.answered = true;
  give_up(request);
}

// ---- Turning away

bool Controller::Core::came_after_grace(const Request& request) const {
  return stop_at_ != 0 && request.arrived > notice_ + config_.drain_grace;
}

bool Controller::Core::sick(const Request&) const {
  if (mode_ == Mode::kStalled) return true;
  return mode_ == Mode::kProbing && static_cast<int>(held_.size()) + on_core_ >= kTrialRuns;
}

// Held and running requests and kept keys share one memory, and past it the server dies. A key that has no
// room would let an effect happen twice, so what needs one is rejected before it runs.
bool Controller::Core::no_memory(const Request& request) const {
  double key = key_lifetime(request) > 0 ? config_.key_kb : 0;
  return memory() + request.queued_kb + key > kHoldMemory * config_.memory_kb;
}

bool Controller::Core::beyond_room(const Request& request) const {
  if (held_.empty() && can_start(request)) return false;
  return next_position() > room(request);
}

// A late answer earns little, and a core spent on it makes others late too. What waited long before it was
// read has a backlog of unread ones behind it even when the hold is empty. With nobody behind it is run all
// the same.
bool Controller::Core::out_of_time(const Request& request) const {
  double left = seconds(request.useful_until - now_);
  double unread = seconds(request.admitted - request.arrived);
  bool wanted_behind = held_.size() > (request.position ? 1 : 0) ||
                       unread > kUnreadLong * seconds(request.request_class->latency_objective);
  return wanted_behind && left < 0.5 * run_time(row_of(request));
}

// With all places at calls taken and the dependency slow, one that needs a call would keep those behind it
// from idle cores. Harm: one rejected just before a place comes free.
bool Controller::Core::no_call_place(const Request& request) const {
  if (!lacks_place(request)) return false;
  return call_places() == 0 || (held_.size() > 1 && dependency_slow(request));
}

// ---- Modes

void Controller::Core::change_modes() {
  for (const ModeStep& step : kModes) {
    if (step.mode != mode_ || !(this->*step.when)()) continue;
    char line[160];
    std::snprintf(line, sizeof line,
                  "%s -> %s: %s; on cores %d, held %zu, window %d, limit %.1f, core time %.3f s, failed %.2f",
                  name_of(mode_), name_of(step.next), step.why, on_core_, held_.size(), window_, limit_,
                  core_time(), failed_share());
    host_.log(line);
    mode_ = step.next;
    (this->*step.idempotency)();
    break;
  }
  progressed_ = false;
}

// Guards against work that hangs while reading goes on, and against runs that fail fast. The fewer runs, the
// longer a quiet that chance explains, more so where some work is far longer than most. A sudden slowdown of
// several times looks the same at first; it costs a short trial.
bool Controller::Core::stands_still() const {
  if (runs_fail()) return true;
  if (on_core_ == 0) return false;
  double quiet = seconds(now_ - last_progress_);
  return quiet > core_time() * (kSilenceMin + kSilence / on_core_) &&
         quiet > kSilentSlo * seconds(shortest_slo_);
}

// What is held has not run: it is told at once, so that it can be tried elsewhere.
void Controller::Core::turn_sick() {
  turn_bad();
  stalled_at_ = now_;
  while (!held_.empty()) apply(*held_.front(), Input::kReject);
}

// Health is good again from the first trial on: nobody would send what a trial needs otherwise.
void Controller::Core::try_again() {
  trial_good_ = 0;
  failures_ = runs_ = DecayingSum(kSickRecent);
  last_progress_ = now_;
  host_.report_health(true);
}

// What a stall made late said nothing of positions: the window starts anew.
void Controller::Core::turn_well() { window_ = kStartPerCore * min_window_; }

// ---- Measures

double Controller::Core::warm_share() const {
  if (!config_.warming_up || config_.warm_up_time <= 0) return 1;
  double part = seconds(now_ - started_) / seconds(config_.warm_up_time);
  return std::min(1.0, config_.warm_up_initial_speed + (1 - config_.warm_up_initial_speed) * part);
}

// The crowd that the server survives, calls that may all come back at once included, with a margin.
double Controller::Core::ceiling() const {
  return std::max(1.0, kCeiling * config_.cores * (1 + (config_.max_running_per_core - 1) * warm_share()));
}

double Controller::Core::core_time_guess(std::size_t row) const {
  return seconds(config_.request_classes[row].latency_objective) / kWorkOfSlo / warm_share();
}

double Controller::Core::core_time(std::size_t row) const {
  return rows_[row].core_time.mean(core_time_guess(row), now_);
}

double Controller::Core::run_time(std::size_t row) const {
  return rows_[row].run_time.mean(core_time_guess(row), now_);
}

// Benefit for the work it takes.
double Controller::Core::worth(std::size_t row) const {
  return config_.request_classes[row].priority_weight / (config_.weight_by_work ? 1 : core_time(row));
}

// What a tenant sends beyond its quota earns little, and nobody tells which requests those are: as seen
// here, each one earns on average what the quota's part of the tenant's rate does.
double Controller::Core::tenant_factor(const Request& request) const {
  if (!request.tenant || request.tenant->quota_per_s <= 0) return 1;
  double quota = request.tenant->quota_per_s / config_.servers;
  double over = seconds(kSlowRecent);
  double rate = (tenant_rate_[tenant_of(request)].read(now_) + kQuotaGuess) / (over + kQuotaGuess / quota);
  double within = std::min(1.0, quota / rate);
  return within + (1 - within) * config_.over_quota_weight;
}

// maxWindow: the positions from which an answer can still come within the latency objective at the measured
// pace. What earns less stays below the room of all that earns more, and below a share of it.
double Controller::Core::room(const Request& request) const {
  std::size_t own = row_of(request);
  double own_worth = worth(own);
  double at_pace = pace();
  double best = 0;
  double min = window_;
  for (std::size_t row = 0; row < rows_.size(); ++row) {
    double its_worth = worth(row);
    best = std::max(best, its_worth);
    if (its_worth < own_worth) continue;
    double wait = row == own ? budget(row, request.useful_until - now_) - call_wait(request)
                             : budget(row, config_.request_classes[row].latency_objective);
    min = std::min(min, at_pace * wait);
  }
  double value = own_worth / best * tenant_factor(request);
  return min * (kMinRoom + (1 - kMinRoom) * value);
}

// The most that any group may hold of what is fresh.
double Controller::Core::widest_room() const {
  double max = 1;
  for (std::size_t row = 0; row < rows_.size(); ++row) {
    max = std::max(max, pace() * budget(row, config_.request_classes[row].latency_objective));
  }
  return std::min(max, 1.0 * window_);
}

// How long the calls of one that can't do without them would wait for leave: behind all that are worth as
// much.
double Controller::Core::call_wait(const Request& request) const {
  if (!needs_call(request)) return 0;
  double ahead = 0;
  for (const Request* other : to_call_) ahead += call_worth(*other) >= call_worth(request);
  return ahead * std::max(0.001, call_time()) / calls_target() * rows_[row_of(request)].calls.mean(1, now_);
}

bool Controller::Core::can_start(const Request& request) const {
  if (mode_ == Mode::kStalled || on_core_ + 1 > (mode_ == Mode::kProbing ? kTrialRuns : limit_)) return false;
  if (on_core_ + in_calls() + 1 > ceiling()) return false;
  if (lacks_place(request)) return false;
  return memory() + request.queued_kb * config_.running_memory_factor <= kRunMemory * config_.memory_kb;
}

// Spread by chance, so that those sent away together don't come back together.
Nanos Controller::Core::retry_after() {
  if (mode_ != Mode::kServing) return config_.max_retry_after;
  double wait = static_cast<double>(held_.size()) / pace();
  double part = std::uniform_real_distribution<double>(0.3, 0.7)(random_);
  return std::min(config_.max_retry_after, nanos(part * wait));
}

// ---- Upkeep

void Controller::Core::timely() {
  if (++successes_ % kStep == 0) ++window_;
  window_ = std::min(window_, kStartPerCore * kStartPerCore * min_window_);
}

// Position is a gauge of the wait in the hold. Where more time went by at calls below than in the hold, the
// lateness is the dependency's, and a smaller window would only turn away what does not call it.
void Controller::Core::late(Request& request) {
  successes_ = 0;
  if (request.ran && now_ - request.started - request.core_time > request.started - request.admitted &&
      request.calls > 0 && !request.on_core)
    return;
  window_ = std::min(window_, std::max(min_window_, request.position - kStep));
}

void Controller::Core::on_core(Request& request) {
  request.on_core = true;
  request.since = now_;
  ++on_core_;
}

void Controller::Core::off_core(Request& request) {
  if (!request.on_core) return;
  request.on_core = false;
  request.core_time += now_ - request.since;
  --on_core_;
}

// Out of the hold without having run: its key must not bind repeats.
void Controller::Core::leave_hold(Request& request) {
  std::erase(held_, &request);
  if (!request.key_retained) return;
  request.key_retained = false;
  if (auto key = keys_.find(request.key_until); key != keys_.end()) keys_.erase(key);
  host_.forget_key(request);
}

// An abandoned call stays below for a while and counts there.
void Controller::Core::leave_call(Request& request) {
  std::erase(to_call_, &request);
  if (!request.call_in_flight) return;
  request.call_in_flight = false;
  std::erase(calls_out_, &request);
  if (request.phase == Phase::kAbandoned) lingering_.insert(now_ + config_.abandoned_call_lifetime);
}

void Controller::Core::close(Request& request) {
  set_memory(request, 0);
  std::erase(open_, &request);
  host_.release(request);
}

// Every request is answered before its due time, and all of them before the stop, whatever still runs.
void Controller::Core::answer_due() {
  std::vector<Request*> deadline;
  bool stopping = stop_at_ != 0 && stop_at_ - now_ <= 4 * lead();
  for (Request* request : open_) {
    if (!request->answered && (stopping || request->deadline - now_ <= lead())) deadline.push_back(request);
  }
  for (Request* request : deadline)
    apply(*request, request->phase == Phase::kQueued ? Input::kReject : Input::kGiveUp);
}

void Controller::Core::pump() {
  while (!keys_.empty() && *keys_.begin() < now_) keys_.erase(keys_.begin());
  while (!lingering_.empty() && *lingering_.begin() < now_) lingering_.erase(lingering_.begin());
  change_modes();
  for (std::size_t at = 0; at < held_.size();) {
    Request& front = *held_[at];
    bool rejected = false;
    for (const Reason& reason : kNotStarted) rejected = rejected || (this->*reason.applies)(front);
    if (!rejected && front.awaits_intent) {  // its disk's time is not the cores': those behind it may start
      ++at;
      continue;
    }
    if (!rejected && !can_start(front)) break;
    apply(front, rejected ? Input::kReject : Input::kStart);
  }
  pump_calls();
}

// How long a call may be out, so that with all others we hold no more than our share over its window even
// when none comes back: what all servers call dies of many that each keep only one call too long. Harm: a
// call is given up that would soon have ended; that is rare while the rate follows the time they take.
double Controller::Core::longest_call() const {
  double debt = kCallsDebt * share_over_window();
  double lingers = std::min(seconds(config_.abandoned_call_lifetime), debt / 2);
  return (call_credit_ + debt) / (calls_held() + 1) - lingers;
}

// Guards against a reply that never comes, while the dependency answers others: the call is made again. Also
// against a connection that went dead. Harm: a call far longer than most is made twice.
void Controller::Core::give_up_lost_calls() {
  std::vector<Request*> out(calls_out_.begin(), calls_out_.end());
  for (Request* request : out) {
    bool lost = overtaken(*request) && seconds(now_ - request->since) > kLostCall * learned_call_time();
    if (lost && request->request_class->idempotency == Idempotency::kIdempotent &&
        host_.abandon_call(*request))
      apply(*request, Input::kCallLost);
  }
}

// Calls go out, dearest first, as the time they take is paid for: the account grows with a share that follows
// their recent time, so that the dependency is busy but not crowded. A slow dependency thus holds back only
// what calls it: what may do without goes on once its wait would cost it the latency objective or the places
// are taken, and what is past its latency objective gives up its place. A lost call of what must not happen
// twice ends the request.
void Controller::Core::pump_calls() {
  give_up_lost_calls();
  double passed = seconds(now_ - credited_);
  quick_call_ = std::min(call_base_.mean(known_call_, now_), quick_call_ * (1 + kForget * passed));
  call_credit_ =
      std::min(kCallsBurst * share_over_window(), call_credit_ + (calls_target() - calls_held()) * passed);
  credited_ = now_;
  std::vector<Request*> waiting(to_call_.begin(), to_call_.end());
  std::stable_sort(waiting.begin(), waiting.end(),
                   [this](const Request* a, const Request* b) { return call_worth(*a) > call_worth(*b); });
  for (Request* request : waiting) {
    double left = seconds(request->useful_until - now_);
    bool hurried = left < core_time(row_of(*request)) + 2 * call_time();
    bool crowded = in_calls() > call_places();
    bool spent = request->calls_lost >=
                 (request->request_class->idempotency == Idempotency::kIdempotent ? kCallTries : 1);
    if (request->request_class->degraded_weight_share > 0 && (hurried || crowded || spent)) {
      apply(*request, Input::kSkip);
    } else if (request->calls_lost > 0 && request->request_class->idempotency != Idempotency::kIdempotent) {
      apply(*request, Input::kGiveUp);
    } else if ((crowded || dependency_slow(*request)) && left < 0) {
      apply(*request, Input::kGiveUp);
    } else if (call_credit_ >= 0 && calls_held() + 1 <= std::max(1.0, calls_target())) {
      apply(*request, Input::kIssue);
    }
  }
}

void Controller::Core::follow_gauges(const Gauges& gauges) {
  if (gauges.on_cores) crowd_.add(*gauges.on_cores, now_);
  double crowd = cores_crowd();
  bool idle =
      gauges.core_use ? *gauges.core_use < kBusy && crowd < kRoomy * config_.cores : crowd < config_.cores;
  if (!held_.empty() && on_core_ + 1 > limit_ && idle) limit_ += kGrowth;
  if (crowd > kCrowded * config_.cores) limit_ -= kGrowth;
  limit_ = std::clamp(limit_, static_cast<double>(config_.cores), std::max(ceiling(), 1.0 * config_.cores));
}

void Controller::Core::advertise() {
  if (config_.advertised_capacity == AdvertisedCapacity::kNone) return;
  bool well = mode_ == Mode::kServing;
  bool much = rejected_.read(now_) > kRejectedFine * read_.read(now_);
  pressure_ = std::clamp(pressure_ + (much ? kPressMore : -kPressLess), 0.0, kPressMost);
  if (config_.advertised_capacity == AdvertisedCapacity::kAllowance) {
    host_.advertise(well ? std::max(1 - pressure_, (limit_ + widest_room()) / config_.callers) : 0.1);
  } else if (config_.advertised_capacity == AdvertisedCapacity::kWeight) {
    host_.advertise(1 - (well ? pressure_ : kPressMost));
  } else {
    host_.advertise(well ? pressure_ : kPressMost);
  }
}

// Guards against a table of connections filled by many callers that each come rarely: a full one turns new
// callers away unseen, while cores idle, and an open connection costs core time. Also against callers that
// died. Where reading and handshakes crowd the cores already, a fuller table keeps a storm of tries out, and
// the limit grows again. Harm: a handshake more for callers that would have come again soon.
void Controller::Core::close_idle(const Gauges& gauges) {
  if (!gauges.connections || config_.max_idle_time <= 0) return;
  double idle = *gauges.connections - static_cast<double>(open_.size());
  double returns = kIdleReuse * read_.read(now_) / seconds(kRecent) / config_.callers;
  double max = config_.cores * (kIdleFew + (kIdlePerCore - kIdleFew) * std::min(1.0, returns));
  bool busy = gauges.core_use.value_or(1) > kBusy;
  bool stormed = busy && cores_crowd() - on_core_ > kDoorCrowd * config_.cores;
  double factor = stormed ? kIdleStorm : idle > max ? kIdleSooner : idle < max / 2 ? kIdleLater : 1;
  Nanos limit = static_cast<Nanos>(factor * static_cast<double>(idle_limit_));
  limit = std::clamp(limit, kIdleMin, std::max(kIdleMin, config_.max_idle_time));
  if (limit != idle_limit_) host_.close_idle(limit);
  idle_limit_ = limit;
}

// ---- The interface

ControllerStats Controller::Core::stats() const {
  return {.mode = mode_,
          .warming_up = warm_share() < 1,
          .window = window_,
          .limit = limit_,
          .held = static_cast<int>(held_.size()),
          .running = on_core_};
}

Controller::Controller(const ServiceConfig& config, ControllerActions& host, std::uint64_t seed)
    : core_(std::make_unique<Core>(config, host, seed)) {}
Controller::~Controller() = default;

void Controller::start(Nanos now) { core_->start(now); }

void Controller::request_received(Request& request, Nanos now) {
  core_->at(now), core_->read(request), core_->pump();
}

void Controller::call_needed(Request& request, Nanos now) {
  core_->at(now), core_->reached_call(request), core_->pump();
}

void Controller::call_ended(Request& request, Outcome outcome, Nanos took, Nanos now) {
  core_->at(now), core_->call_ended(request, outcome, took), core_->pump();
}

void Controller::run_completed(Request& request, Outcome outcome, Nanos now) {
  core_->at(now), core_->run_completed(request, outcome), core_->pump();
}

void Controller::intent_recorded(Request& request, bool durable, Nanos now) {
  core_->at(now), core_->recorded(request, durable), core_->pump();
}

void Controller::caller_disconnected(Request& request, Nanos now) {
  core_->at(now), core_->caller_disconnected(request), core_->pump();
}

void Controller::timer_expired(std::uint64_t, const Gauges& gauges, Nanos now) {
  core_->at(now), core_->timer_expired(gauges), core_->pump();
}

void Controller::begin_drain(Nanos stop_at, Nanos now) {
  core_->at(now), core_->begin_drain(stop_at), core_->pump();
}

ControllerStats Controller::stats() const { return core_->stats(); }

}  // namespace myrtlecroft
