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
// Shares of the received requests that are rejected. Above the first, the fleet counts as overloaded: uneven
// load from callers does not explain so many. Above the second, less capacity is advertised.
constexpr double kFleetOverloadRejectedShare = 0.35;
constexpr double kReducedCapacityRejectedShare = 0.1;
// Share of its weight from which an answer past the latency objective counts as nearly as valuable as a
// timely one.
constexpr double kUsefulLateWeightShare = 0.5;
// Share of the latency objective: a request that waited longer before it was read has unread requests behind
// it.
constexpr double kUnreadBacklogShare = 0.2;

Nanos min_latency_objective(const ServiceConfig& config) {
  Nanos shortest = config.request_classes.front().latency_objective;
  for (const RequestClass& candidate : config.request_classes)
    shortest = std::min(shortest, candidate.latency_objective);
  return shortest;
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
  if (request_class.late_weight_share < kUsefulLateWeightShare) {
    request.useful_until = std::min(request.deadline, request.arrived + request_class.latency_objective);
  }
  capacity_.request_received(request, now_);
  request.phase = Phase::kReceived;
  request.admitted = now_;
  open_requests_.push_back(&request);
  bool arrived_in_time = !arrived_after_grace(request) && !has_no_time_left(request);
  bool is_idempotent = request_class.idempotency == Idempotency::kIdempotent;
  if (must_join_original(request) && (arrived_in_time || !is_idempotent)) {
    apply(request, arrived_in_time ? RequestEvent::kJoinsOriginal : RequestEvent::kTimedOut);
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

// A request whose intent is not durable could run again after a crash. It is rejected before it starts.
void Controller::Core::intent_recorded(Request& request, bool durable) {
  request.awaits_intent = false;
  if (!durable && request.phase == Phase::kQueued) apply(request, RequestEvent::kRejected);
}

void Controller::Core::call_needed(Request& request) {
  apply(request, RequestEvent::kNeedsCall);
  health_.record_progress(now_);
}

void Controller::Core::call_ended(Request& request, Outcome outcome, Nanos duration) {
  dependency_.call_ended(request, outcome, duration, now_);
  health_.record_progress(now_);
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
  concurrency_.adjust(gauges, !queue_.empty(), now_);
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

// ---- Admission and dispatch checks

bool Controller::Core::arrived_after_grace(const Request& request) const {
  return health_.arrived_after_grace(request, config_.drain_grace);
}

bool Controller::Core::has_no_time_left(const Request& request) const {
  return request.deadline - now_ <= answer_lead_time();
}

bool Controller::Core::is_unhealthy(const Request&) const {
  return health_.rejects_arrivals(static_cast<int>(queue_.size()) + concurrency_.running());
}

bool Controller::Core::lacks_memory(const Request& request) const {
  return !memory_.fits_queued(request, key_lifetime(request) > 0);
}

// A late answer has little value, and the core time spent on it delays other requests. If a request waited
// long before it was read, others wait unread behind it even when the queue is empty. A request with no other
// behind it runs in any case.
bool Controller::Core::misses_objective(const Request& request) const {
  double time_left = seconds(request.useful_until - now_);
  double unread_time = seconds(request.admitted - request.arrived);
  std::size_t own_entries = request.position ? 1 : 0;
  bool other_requests_wait =
      queue_.size() > own_entries ||
      unread_time > kUnreadBacklogShare * seconds(request.request_class->latency_objective);
  return other_requests_wait && time_left < 0.5 * capacity_.run_time_of(request, now_);
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

// While all slots are taken and the dependency is slow, a request that needs a call would keep the requests
// behind it from idle cores. Occasionally a request is rejected just before a slot becomes free.
bool Controller::Core::lacks_dependency_slot(const Request& request) const {
  if (!dependency_.lacks_slot(request, now_)) return false;
  return dependency_.slots(now_) == 0 || (queue_.size() > 1 && dependency_.is_slow_for(request, now_));
}

// A retry of a keyed request that is queued, runs or has run never runs itself; it gets the result of its
// original. An original that is no longer known has run. Two attempts in one batch name each other as
// originals, so an original that is not yet admitted does not count, nor does one that was rejected before it
// ran.
bool Controller::Core::must_join_original(const Request& request) const {
  if (!request.is_retry) return false;
  const Request* original = request.original;
  if (!original) return true;
  return original->phase != Phase::kReceived && (original->phase != Phase::kDone || original->ran);
}

bool Controller::Core::can_start(const Request& request) const {
  if (concurrency_.running() + 1 > health_.max_running(concurrency_.limit())) return false;
  int requests_in_server = concurrency_.running() + dependency_.requests_in_calls();
  if (requests_in_server + 1 > concurrency_.max_concurrency(now_)) return false;
  if (dependency_.lacks_slot(request, now_)) return false;
  return memory_.fits_running(request);
}

// A server that rejects many requests although its runs take no longer than usual is one of many that lack
// capacity. Callers should then not fail over: further attempts only cost other servers the time to read
// them.
bool Controller::Core::fleet_is_overloaded() const {
  return health_.mode() == Mode::kServing && capacity_.rejects_more_than(kFleetOverloadRejectedShare, now_) &&
         capacity_.runs_at_usual_speed(now_);
}

// How long the key of a request is retained; 0: not at all. A keyed request always needs its key, a read that
// may share its answer has one only while memory is available.
Nanos Controller::Core::key_lifetime(const Request& request) const {
  const RequestClass& request_class = *request.request_class;
  if (request_class.idempotency == Idempotency::kKeyed) return request_class.deduplication_window;
  bool may_share =
      request_class.idempotency == Idempotency::kIdempotent && request.has_lookup_key && !request.writes;
  return may_share && memory_.has_room_for_shared_answers() ? config_.answer_sharing_window : 0;
}

Nanos Controller::Core::answer_lead_time() const { return kTimerInterval + 2 * config_.tick; }

// ---- Measurements and periodic work

void Controller::Core::measure_run(Request& request, Outcome outcome) {
  bool ok = outcome == Outcome::kOk;
  if (ok || outcome == Outcome::kFailed) health_.record_run_end(ok, now_);
  if (ok) record_answer(request);
  // A run that was stopped shows that runs take longer. If it were left out, only short runs would be
  // measured.
  bool was_stopped_running = outcome == Outcome::kCanceled && request.occupies_core;
  if ((!ok && !was_stopped_running) || !health_.started_after_stall(request)) return;
  concurrency_.end_running(request, now_);
  capacity_.record_run(request, now_);
}

void Controller::Core::record_answer(Request& request) {
  if (request.answered) return;
  if (now_ <= request.deadline) {
    window_.record_timely_answer();
  } else {
    record_late_answer(request);
  }
}

// A queue position measures the wait in the queue. If the calls took longer than that wait, the dependency
// made the answer late, and a smaller window would only reject requests that do not call it.
void Controller::Core::record_late_answer(const Request& request) {
  Nanos queue_time = request.started - request.admitted;
  Nanos call_time = now_ - request.started - request.core_time;
  bool caused_by_dependency =
      request.ran && call_time > queue_time && request.calls > 0 && !request.occupies_core;
  window_.record_late_answer(request.position, caused_by_dependency);
}

// Answers each request before its deadline, and all requests before a graceful shutdown ends, even if they
// still run.
void Controller::Core::answer_due_requests() {
  bool stop_is_near = health_.stops_within(4 * answer_lead_time(), now_);
  std::vector<Request*> due_requests;
  for (Request* request : open_requests_) {
    if (!request->answered && (stop_is_near || has_no_time_left(*request))) due_requests.push_back(request);
  }
  for (Request* request : due_requests) {
    apply(*request, request->phase == Phase::kQueued ? RequestEvent::kRejected : RequestEvent::kTimedOut);
  }
}

void Controller::Core::update_health() {
  auto transition = health_.due_transition(now_);
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
    case overload::HealthAction::kResetWindow:
      window_.reset();
      break;
    case overload::HealthAction::kReportUnhealthy:
      actions_.report_health(false);
      break;
  }
  health_.clear_progress();
}

void Controller::Core::dispatch() {
  memory_.expire_keys(now_);
  dependency_.expire_abandoned_calls(now_);
  update_health();
  dispatch_queue();
  dispatch_calls();
}

void Controller::Core::dispatch_queue() {
  for (std::size_t index = 0; index < queue_.size();) {
    Request& request = *queue_[index];
    if (is_likely_late(request) || misses_objective(request) || lacks_dependency_slot(request)) {
      apply(request, RequestEvent::kRejected);
    } else if (request.awaits_intent) {
      ++index;  // waits for the disk and not for a core, so requests behind it may start
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
  dependency_.refill_credit(now_);
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
  bool many_rejected = capacity_.rejects_more_than(kReducedCapacityRejectedShare, now_);
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
