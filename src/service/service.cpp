#include "service/service.h"

#include <algorithm>
#include <utility>

namespace myrtlecroft::service {
namespace {

constexpr Nanos kMaxGaugeAge = 250 * kMs;     // older gauges are passed as unknown
constexpr Nanos kMaxTimerDelay = 1000 * kMs;  // if the Controller has set no timer

}  // namespace

Service::Service(Options options, const Ports& ports)
    : options_(std::move(options)),
      ports_(ports),
      engine_(ports.engine, *this),
      keys_(options_.max_result_bytes) {
  // The engine protocol has no command to stop a run and no field for an advertised capacity.
  options_.config.stop_mode = StopMode::kNone;
  options_.config.advertised_capacity = AdvertisedCapacity::kNone;
  counts_.resize(options_.config.request_classes.size());
}

std::optional<ControllerStats> Service::stats() const {
  if (!controller_) return std::nullopt;
  return controller_->stats();
}

void Service::begin_event() {
  handling_event_ = true;
  now_ = std::max(now_, ports_.clock.now());
}

void Service::finish_event() {
  while (!deferred_.empty()) {
    auto [request, outcome] = deferred_.front();
    deferred_.pop_front();
    if (request->phase == Phase::kDone) continue;
    if (request->phase != Phase::kCoalesced) {
      run_ended(*request, outcome, "");
    } else {
      finish_request(
          *request, outcome,
          request->entry && outcome == Outcome::kOk ? std::string_view(request->entry->result) : "");
    }
  }
  for (ServerRequest* request : released_) requests_.erase(request->id);
  released_.clear();
  close_listener_when_drained();
  set_timer();
  handling_event_ = false;
}

// ---- From the listener

void Service::request_received(std::unique_ptr<ServerRequest> new_request) {
  handle_event([&] {
    ServerRequest& request = *new_request;
    ++unanswered_;
    ++counts_of(request).received;
    if (!controller_) return answer(request, answer_without_engine(request));
    // The id belongs to a request that is not done yet, which has got or will get the answer.
    auto existing = requests_.find(request.id);
    if (existing != requests_.end())
      return answer(request, {.unrecognized = existing->second->sink != nullptr});
    if (!qualify_key(request)) return answer(request, {.unrecognized = true});
    find_original(request);
    if (is_owned_elsewhere(request)) return answer(request, owned_elsewhere_answer());
    // A retry needs no intent of its own: its original has one.
    if (ports_.idempotency_log && request.request_class->idempotency == Idempotency::kKeyed &&
        !request.is_retry) {
      if (!ports_.idempotency_log->accepts_writes()) {
        return answer(request, {.kind = Answer::kRejected, .retry_after = options_.config.max_retry_after});
      }
      request.awaits_intent = true;
    }
    requests_.emplace(request.id, std::move(new_request));
    controller_->request_received(request, now_);
  });
}

void Service::caller_disconnected(const std::string& id, const AnswerSink& sink) {
  handle_event([&] {
    auto found = requests_.find(id);
    if (found == requests_.end() || found->second->sink != &sink) return;
    ServerRequest& request = *found->second;
    request.sink = nullptr;
    --unanswered_;
    controller_->caller_disconnected(request, now_);
    abandon(request);
  });
}

// ---- From the engine

void Service::engine_up(bool booting, Nanos age) {
  handle_event([&] {
    options_.config.warming_up = options_.config.warming_up || booting;
    ports_.logger.line(std::string("engine up: ") + (booting ? "booting" : "steady") + " for " +
                       std::to_string(age / kMs) + " ms");
    controller_ = std::make_unique<Controller>(options_.config, *this, options_.seed);
    controller_->start(now_);
    if (stop_at_) controller_->begin_drain(stop_at_, now_);
  });
}

void Service::run_needs_call(ServerRequest& request) {
  handle_event([&] {
    if (request.entry && request.entry->original == &request) request.entry->accepted_by_engine = true;
    controller_->call_needed(request, now_);
  });
}

void Service::run_ended(ServerRequest& request, Outcome outcome, std::string_view result) {
  handle_event([&] {
    engine_.forget(request);
    abandon_active_call(request);
    update_idempotency_log(request, outcome, result);
    KeyEntry* entry = request.entry && request.entry->original == &request ? request.entry : nullptr;
    finish_request(request, outcome, result);
    if (!entry) return;
    if (outcome == Outcome::kIgnored) {  // it never ran, so a retry may run
      erase_key(*entry);
      return;
    }
    keys_.complete(*entry, outcome == Outcome::kOk, result, now_);
    for (ServerRequest* waiter : std::exchange(entry->waiters, {})) {
      deferred_.push_back({waiter, entry->state == KeyEntry::State::kOk ? Outcome::kOk : Outcome::kFailed});
    }
  });
}

// Ends a run or the wait for the result of another request.
void Service::finish_request(ServerRequest& request, Outcome outcome, std::string_view result) {
  bool completed = outcome == Outcome::kOk;
  answer(request, {.kind = completed ? Answer::kCompleted : Answer::kFailed,
                   .result = result,
                   .unrecognized = request.unknown_to_engine});
  controller_->run_completed(request, outcome, now_);
}

void Service::gauges_received(const std::vector<double>& values) {
  gauges_ = {};
  for (std::size_t i = 0; i < std::min(values.size(), options_.gauge_names.size()); ++i) {
    const std::string& name = options_.gauge_names[i];
    if (name == "core_use") gauges_.core_utilization = values[i];
    if (name == "on_cores") gauges_.runnable_threads = values[i];
    if (name == "links") gauges_.connections = values[i];
  }
  gauges_at_ = ports_.clock.now();
}

void Service::commands_resolved(const ResolvedCommands& resolved) {
  ports_.logger.write_rate_limited(
      "engine link ready, commands in doubt " + std::to_string(resolved.total()) + ": sent again " +
      std::to_string(resolved.sent_again) + ", replaced by a skip " + std::to_string(resolved.skipped) +
      ", left pending " + std::to_string(resolved.pending) + ", ended " + std::to_string(resolved.ended));
}

void Service::notices_lost(std::uint64_t count, int runs_in_doubt) {
  ports_.logger.write_rate_limited("engine notices lost for good: " + std::to_string(count) +
                                   ", runs that may have ended meanwhile: " + std::to_string(runs_in_doubt));
}

// ---- From the clock and the operators

void Service::timer_expired() {
  handle_event([&] {
    if (!controller_) return;
    end_overdue_calls();
    if (!health_checks_.empty() && now_ >= health_checks_deadline_) answer_health_checks(false);
    if (timer_at_ == 0 || now_ < timer_at_) return;
    timer_at_ = 0;
    engine_.request_gauges();
    keys_.expire(now_);
    controller_->timer_expired(timer_token_, now_ - gauges_at_ <= kMaxGaugeAge ? gauges_ : Gauges{}, now_);
  });
}

void Service::set_timer() {
  Nanos next = timer_at_ ? timer_at_ : now_ + kMaxTimerDelay;
  for (const ServerRequest* request : calls_) next = std::min(next, request->dependency_call.deadline);
  if (!health_checks_.empty()) next = std::min(next, health_checks_deadline_);
  ports_.clock.wake_at(next);
}

// ---- From the Controller

void Service::answer(ServerRequest& request, const FinalAnswer& answer) {
  AnswerSink* sink = std::exchange(request.sink, nullptr);
  if (!sink) return;
  --unanswered_;
  Counts& counts = counts_of(request);
  switch (answer.kind) {
    case Answer::kCompleted:
      ++counts.completed;
      counts.completed_in_time += now_ <= request.arrived + request.request_class->latency_objective;
      break;
    case Answer::kRejected:
      ++counts.rejected;
      break;
    case Answer::kFailed:
      ++counts.failed;
      break;
  }
  sink->answer(answer);
}

void Service::run(Request& request) { engine_.run(server_request(request)); }

void Service::reject(Request& request, bool no_failover, Nanos retry_after) {
  answer(server_request(request),
         {.kind = Answer::kRejected, .no_failover = no_failover, .retry_after = retry_after});
}

void Service::fail(Request& request) {
  answer(server_request(request), {.kind = Answer::kFailed});
  abandon(server_request(request));
}

// The engine continues to work on an abandoned request. If it is unknown whether the run command reached the
// engine, or notices were lost, the notice of its end may never come; the run is ended at once, so that its
// place in the concurrency limit is freed.
void Service::abandon(ServerRequest& request) {
  if (request.phase != Phase::kAbandoned) return;
  abandon_active_call(request);
  if (request.end_is_in_doubt()) deferred_.push_back({&request, Outcome::kFailed});
}

void Service::skip_call(Request& request) { engine_.skip(server_request(request)); }

void Service::schedule_timer(Nanos delay, std::uint64_t token) {
  timer_at_ = now_ + delay;
  timer_token_ = token;
}

void Service::release(Request& base_request) {
  ServerRequest& request = server_request(base_request);
  engine_.forget(request);
  abandon_active_call(request);
  if (!request.ran) update_idempotency_log(request, Outcome::kIgnored, {});
  if (request.entry) {
    std::erase(request.entry->waiters, &request);
    if (request.entry->original == &request) request.entry->original = nullptr;
  }
  core_time_ += request.core_time;
  released_.push_back(&request);
}

}  // namespace myrtlecroft::service
