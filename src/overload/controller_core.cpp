#include "overload/controller_core.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include "overload/units.h"

namespace myrtlecroft {
namespace {

using overload::RequestEvent;
using overload::seconds;

constexpr Nanos kTimerInterval = 25 * kMs;
constexpr Nanos kAdviceInterval = 250 * kMs;
constexpr double kManyRejected = 0.35;  // of what is received: more than uneven callers explain
constexpr double kFewRejected = 0.1;  // of what is received; with more rejected, less capacity is advertised
// From this share on, an answer past the latency objective is worth nearly as much as one in time.
constexpr double kLateIsUseful = 0.5;
// Of the latency objective, spent before the request was read: others wait unread behind it.
constexpr double kLongUnread = 0.2;

Nanos min_latency_objective(const ServiceConfig& config) {
  Nanos out = config.request_classes.front().latency_objective;
  for (const RequestClass& one : config.request_classes) out = std::min(out, one.latency_objective);
  return out;
}

}  // namespace

Controller::Core::Core(const ServiceConfig& config, ControllerActions& actions, std::uint64_t seed)
    : config_(config),
      actions_(actions),
      window_(config.cores),
      memory_(config),
      concurrency_(config),
      capacity_(config, concurrency_),
      health_(min_latency_objective(config), concurrency_, capacity_),
      dependency_(config, concurrency_, capacity_),
      advice_(config, seed),
      idle_connections_(config) {}

// ---- Events

void Controller::Core::start() {
  concurrency_.start(now_);
  health_.start(now_);
  dependency_.start(now_);
  actions_.report_health(true);
  actions_.schedule_timer(kTimerInterval, 0);
}

void Controller::Core::request_received(Request& request) {
  const RequestClass& request_class = *request.request_class;
  Nanos client_deadline =
      request.client_deadline ? request.client_deadline : request.arrived + request_class.client_timeout;
  request.deadline = std::max(now_, client_deadline);
  request.useful_until = request.deadline;
  if (request_class.late_weight_share < kLateIsUseful) {
    request.useful_until = std::min(request.deadline, request.arrived + request_class.latency_objective);
  }
  capacity_.request_received(request, now_);
  request.phase = Phase::kReceived;
  request.admitted = now_;
  open_requests_.push_back(&request);
  bool in_time = !arrived_after_grace(request) && !has_no_time_left(request);
  bool is_idempotent = request_class.idempotency == Idempotency::kIdempotent;
  if (must_join_original(request) && (in_time || !is_idempotent)) {
    apply(request, in_time ? RequestEvent::kJoinsOriginal : RequestEvent::kTimedOut);
    return;
  }
  static constexpr std::array<Check, 7> kRejections = {
      &Core::arrived_after_grace, &Core::has_no_time_left, &Core::is_unhealthy,      &Core::lacks_memory,
      &Core::misses_objective,    &Core::is_beyond_window, &Core::is_beyond_capacity};
  bool rejected = std::any_of(kRejections.begin(), kRejections.end(),
                              [&](Check applies) { return (this->*applies)(request); });
  apply(request, rejected ? RequestEvent::kRejected : RequestEvent::kAdmitted);
}

void Controller::Core::run_completed(Request& request, Outcome outcome) {
  if (request.phase == Phase::kDone) return;
  if (request.phase != Phase::kCoalesced && outcome != Outcome::kIgnored) measure_run(request, outcome);
  apply(request, RequestEvent::kRunEnded);
}

// A request that can't be protected from running twice must not run: it is rejected, having never started.
void Controller::Core::intent_recorded(Request& request, bool durable) {
  request.awaits_intent = false;
  if (!durable && request.phase == Phase::kQueued) apply(request, RequestEvent::kRejected);
}

void Controller::Core::call_needed(Request& request) {
  apply(request, RequestEvent::kNeedsCall);
  health_.progress(now_);
}

void Controller::Core::call_ended(Request& request, Outcome outcome, Nanos took) {
  dependency_.call_ended(request, outcome, took, now_);
  health_.progress(now_);
  RequestEvent event = RequestEvent::kCallLost;
  if (outcome == Outcome::kOk) event = RequestEvent::kCallOk;
  if (overload::DependencyBudget::never_ran(outcome)) event = RequestEvent::kCallNeverRan;
  apply(request, event);
}

void Controller::Core::caller_disconnected(Request& request) {
  apply(request, RequestEvent::kCallerDisconnected);
}

void Controller::Core::timer_expired(const Gauges& gauges) {
  actions_.schedule_timer(kTimerInterval, 0);
  concurrency_.follow(gauges, !queue_.empty(), now_);
  answer_due_requests();
  if (now_ - advertised_at_ < kAdviceInterval) return;
  advertised_at_ = now_;
  advertise();
  close_idle_connections(gauges);
}

void Controller::Core::begin_drain(Nanos stop_at) { health_.begin_drain(stop_at, now_); }

ControllerStats Controller::Core::stats() const {
  return {.mode = health_.mode(),
          .warming_up = concurrency_.warm_up_progress(now_) < 1,
          .window = window_.size(),
          .limit = concurrency_.limit(),
          .queued_requests = static_cast<int>(queue_.size()),
          .running = concurrency_.running()};
}

// ---- Checks

bool Controller::Core::arrived_after_grace(const Request& request) const {
  return health_.arrived_after_grace(request, config_.drain_grace);
}

bool Controller::Core::has_no_time_left(const Request& request) const {
  return request.deadline - now_ <= answer_lead();
}

bool Controller::Core::is_unhealthy(const Request&) const {
  return health_.rejects_arrivals(static_cast<int>(queue_.size()) + concurrency_.running());
}

bool Controller::Core::lacks_memory(const Request& request) const {
  return !memory_.fits_queued(request, key_lifetime(request) > 0);
}

// A late answer is of little value, and a core spent on it makes others late too. A request that waited long
// before it was read has unread ones behind it even when the queue is empty. With nothing behind it it runs
// all the same.
bool Controller::Core::misses_objective(const Request& request) const {
  double left = seconds(request.useful_until - now_);
  double unread = seconds(request.admitted - request.arrived);
  std::size_t itself = request.position ? 1 : 0;
  bool others_wait =
      queue_.size() > itself || unread > kLongUnread * seconds(request.request_class->latency_objective);
  return others_wait && left < 0.5 * capacity_.run_time_of(request, now_);
}

bool Controller::Core::is_beyond_window(const Request&) const {
  return window_.rejects_arrival(next_position());
}

bool Controller::Core::is_beyond_capacity(const Request& request) const {
  if (queue_.empty() && can_start(request)) return false;
  double call_wait = dependency_.expected_wait(request, now_);
  return next_position() > capacity_.max_position(request, window_.size(), call_wait, now_);
}

bool Controller::Core::is_likely_late(const Request& request) const {
  return window_.is_likely_late(request.position);
}

// With all slots taken and the dependency slow, a request that needs a call would keep those behind it from
// idle cores. One is rejected now and then just before a slot is free.
bool Controller::Core::lacks_dependency_slot(const Request& request) const {
  if (!dependency_.lacks_slot(request, now_)) return false;
  return dependency_.slots(now_) == 0 || (queue_.size() > 1 && dependency_.is_slow_for(request, now_));
}

// A retry of a keyed request that is queued, runs or has run is never run again: it gets the other's result.
// An original that is no longer known is one that has run. Two attempts in one batch name each other, and one
// that was rejected before it ran binds nobody.
bool Controller::Core::must_join_original(const Request& request) const {
  if (!request.is_retry) return false;
  const Request* original = request.original;
  if (!original) return true;
  return original->phase != Phase::kReceived && (original->phase != Phase::kDone || original->ran);
}

bool Controller::Core::can_start(const Request& request) const {
  if (concurrency_.running() + 1 > health_.max_running(concurrency_.limit())) return false;
  int in_server = concurrency_.running() + dependency_.requests_in_calls();
  if (in_server + 1 > concurrency_.max_concurrency(now_)) return false;
  if (dependency_.lacks_slot(request, now_)) return false;
  return memory_.fits_running(request);
}

// As quick as usual and still rejecting much, this server is one of many that are short of capacity: a
// rejection is then best passed on at once, as further attempts cost other servers their reading.
bool Controller::Core::fleet_is_overloaded() const {
  return health_.mode() == Mode::kServing && capacity_.rejects_more_than(kManyRejected, now_) &&
         capacity_.runs_at_usual_speed(now_);
}

// A keyed request needs its key; a read that may share its answer has one while memory is to spare.
Nanos Controller::Core::key_lifetime(const Request& request) const {
  const RequestClass& request_class = *request.request_class;
  if (request_class.idempotency == Idempotency::kKeyed) return request_class.deduplication_window;
  bool may_share =
      request_class.idempotency == Idempotency::kIdempotent && request.has_lookup_key && !request.writes;
  return may_share && memory_.has_room_for_shared_answers() ? config_.answer_sharing_window : 0;
}

Nanos Controller::Core::answer_lead() const { return kTimerInterval + 2 * config_.tick; }

// ---- Measures and upkeep

void Controller::Core::measure_run(Request& request, Outcome outcome) {
  bool ok = outcome == Outcome::kOk;
  if (ok || outcome == Outcome::kFailed) health_.run_ended(ok, now_);
  if (ok) count_answer(request);
  // What was stopped while it ran tells that work takes longer: without it, only short work would count.
  bool stopped = outcome == Outcome::kCanceled && request.occupies_core;
  if ((!ok && !stopped) || !health_.started_after_stall(request)) return;
  concurrency_.end_running(request, now_);
  capacity_.run_measured(request, now_);
}

void Controller::Core::count_answer(Request& request) {
  if (request.answered) return;
  if (now_ <= request.deadline) {
    window_.answer_was_timely();
  } else {
    answer_was_late(request);
  }
}

// A position measures the wait in the queue. Where the calls took longer than that wait, the dependency made
// the answer late, and a smaller window would only reject requests that do not call it.
void Controller::Core::answer_was_late(const Request& request) {
  Nanos queued = request.started - request.admitted;
  Nanos in_calls = now_ - request.started - request.core_time;
  bool caused_by_dependency = request.ran && in_calls > queued && request.calls > 0 && !request.occupies_core;
  window_.answer_was_late(request.position, caused_by_dependency);
}

// Every request is answered before its deadline, and all of them before the stop, whatever still runs.
void Controller::Core::answer_due_requests() {
  bool stopping = health_.stops_within(4 * answer_lead(), now_);
  std::vector<Request*> due;
  for (Request* request : open_requests_) {
    if (!request->answered && (stopping || has_no_time_left(*request))) due.push_back(request);
  }
  for (Request* request : due) {
    apply(*request, request->phase == Phase::kQueued ? RequestEvent::kRejected : RequestEvent::kTimedOut);
  }
}

void Controller::Core::change_health() {
  auto transition = health_.next(now_);
  if (!transition) {
    health_.clear_progress();
    return;
  }
  char line[200];
  std::snprintf(line, sizeof line,
                "%s -> %s: %s; running %d, queued %zu, window %d, limit %.1f, core time %.3f s, failed %.2f",
                overload::name_of(transition->from), overload::name_of(transition->to), transition->reason,
                concurrency_.running(), queue_.size(), window_.size(), concurrency_.limit(),
                capacity_.core_time(now_), health_.failed_share(now_));
  actions_.log(line);
  health_.enter(*transition, now_);
  switch (transition->action) {
    case overload::HealthAction::kShedQueue:
      actions_.report_health(false);
      while (!queue_.empty()) apply(*queue_.front(), RequestEvent::kRejected);
      break;
    case overload::HealthAction::kProbe:
      actions_.report_health(true);
      break;
    case overload::HealthAction::kRestart:
      window_.restart();
      break;
    case overload::HealthAction::kReportBad:
      actions_.report_health(false);
      break;
  }
  health_.clear_progress();
}

void Controller::Core::dispatch() {
  memory_.expire_keys(now_);
  dependency_.expire_abandoned_calls(now_);
  change_health();
  dispatch_queue();
  dispatch_calls();
}

void Controller::Core::dispatch_queue() {
  for (std::size_t at = 0; at < queue_.size();) {
    Request& request = *queue_[at];
    if (is_likely_late(request) || misses_objective(request) || lacks_dependency_slot(request)) {
      apply(request, RequestEvent::kRejected);
    } else if (request.awaits_intent) {
      ++at;  // waits for the disk and not for a core: those behind it may start
    } else if (can_start(request)) {
      apply(request, RequestEvent::kStarted);
    } else {
      break;
    }
  }
}

void Controller::Core::dispatch_calls() {
  for (Request* request : dependency_.lost_calls(now_)) {
    if (actions_.abandon_call(*request)) apply(*request, RequestEvent::kCallLost);
  }
  dependency_.refill(now_);
  using Decision = overload::DependencyBudget::Decision;
  for (Request* request : dependency_.awaiting_by_value()) {
    switch (dependency_.decide(*request, now_)) {
      case Decision::kWait:
        break;
      case Decision::kIssue:
        apply(*request, RequestEvent::kCallIssued);
        break;
      case Decision::kSkip:
        apply(*request, RequestEvent::kCallSkipped);
        break;
      case Decision::kFail:
        apply(*request, RequestEvent::kTimedOut);
        break;
    }
  }
}

void Controller::Core::advertise() {
  bool many_rejected = capacity_.rejects_more_than(kFewRejected, now_);
  double admissible = 0;
  if (config_.advertised_capacity == AdvertisedCapacity::kMaxInFlight) {
    admissible = concurrency_.limit() + capacity_.max_queue(window_.size(), now_);
  }
  std::optional<double> value = advice_.advertised(health_.mode(), many_rejected, admissible);
  if (value) actions_.advertise(*value);
}

void Controller::Core::close_idle_connections(const Gauges& gauges) {
  overload::IdleConnections::Load load{
      .open_requests = open_requests_.size(),
      .received_recently = capacity_.received_recently(now_),
      .other_threads = concurrency_.contention(now_) - concurrency_.running()};
  std::optional<Nanos> limit = idle_connections_.next_limit(gauges, load);
  if (limit) actions_.close_idle(*limit);
}

}  // namespace myrtlecroft
