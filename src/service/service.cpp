#include "service/service.h"

#include <algorithm>
#include <utility>

namespace myrtlecroft::service {
namespace {

// A call that never ran is told no sooner than this after it was made, so that a database that turns
// everything away at once is not asked in a tight loop.
constexpr Nanos kMinCall = 10 * kMs;
constexpr Nanos kGaugesFresh = 250 * kMs;  // older ones say nothing of now
constexpr Nanos kProbeWait = 1000 * kMs;   // a check that waits for work gets its answer by then
constexpr Nanos kFinishLead = 60 * kMs;    // before the stop, to flush and to close callers' connections

// FNV-1a: the same in every build, since keys outlive this process.
std::uint64_t mark_of(std::string_view bytes) {
  std::uint64_t mark = 0xcbf29ce484222325;
  for (char byte : bytes) mark = (mark ^ static_cast<std::uint8_t>(byte)) * 0x100000001b3;
  return mark;
}

ServerRequest& own(Request& request) { return static_cast<ServerRequest&>(request); }

}  // namespace

Service::Service(Start start, const Ports& ports)
    : start_(std::move(start)), ports_(ports), engine_(ports.engine, *this), keys_(start_.result_bytes) {
  // The protocol has no word to stop a run and no field for a free value.
  start_.config.stop_mode = StopMode::kNone;
  start_.config.advertised_capacity = AdvertisedCapacity::kNone;
  counts_.resize(start_.config.request_classes.size());
}

std::optional<ControllerStats> Service::stats() const {
  if (!controller_) return std::nullopt;
  return controller_->stats();
}

// Every input passes here. What follows from it without an input of its own (results for repeats) comes after
// it, since inputs never nest; what is over is freed last.
template <class Step>
void Service::take(Step step) {
  if (inside_) {
    step();
    return;
  }
  inside_ = true;
  now_ = std::max(now_, ports_.clock.now());
  step();
  while (!deferred_.empty()) {
    auto [request, outcome] = deferred_.front();
    deferred_.pop_front();
    if (request->phase == Phase::kDone) continue;
    if (request->phase != Phase::kCoalesced) {
      run_ended(*request, outcome, "");
    } else {
      end(*request, outcome,
          request->entry && outcome == Outcome::kOk ? std::string_view(request->entry->result) : "");
    }
  }
  for (ServerRequest* request : released_) requests_.erase(request->id);
  released_.clear();
  finish_when_empty();
  set_timer();
  inside_ = false;
}

// ---- From the front

void Service::request_received(std::unique_ptr<ServerRequest> given) {
  take([&] {
    ServerRequest& request = *given;
    ++unanswered_;
    ++counts_of(request).read;
    if (!controller_) return answer(request, before_engine(request));
    // An id that is in hand already has, or gets, its answer.
    auto same = requests_.find(request.id);
    if (same != requests_.end()) return answer(request, {.unrecognized = same->second->sink != nullptr});
    if (!name_key(request)) return answer(request, {.unrecognized = true});
    find_original(request);
    if (not_ours(request)) return answer(request, elsewhere());
    // What is known, or runs here, needs no record of its own.
    if (ports_.records && request.request_class->idempotency == Idempotency::kKeyed && !request.is_retry) {
      if (!ports_.records->accepts_writes()) {
        return answer(request, {.kind = Answer::kRejected, .retry_after = start_.config.max_retry_after});
      }
      request.awaits_intent = true;
    }
    requests_.emplace(request.id, std::move(given));
    controller_->request_received(request, now_);
  });
}

// A key whose shard is another server's, by what the fleet has agreed: it came by an old set, or before this
// life was told what is its own. It does not run here, but it may have run where it belongs, or in an earlier
// life: so it is terminated, as a rejection would say that it never did, and is told to come back. Could harm
// where no control service is there to tell a server that has just started: until one is, its keyed requests
// go without.
bool Service::not_ours(const ServerRequest& request) const {
  return ports_.gate && request.request_class->idempotency == Idempotency::kKeyed && !request.is_retry &&
         !ports_.gate->admits(request.key);
}

FinalAnswer Service::elsewhere() const {
  return {.kind = Answer::kFailed, .retry_after = start_.config.max_retry_after};
}

// Nothing can run before the engine is up, and what is new is rejected. What an earlier incarnation ran, or
// may have run, is not: a rejection would say that it never did.
FinalAnswer Service::before_engine(ServerRequest& request) {
  if (request.request_class->idempotency != Idempotency::kKeyed) return {.kind = Answer::kRejected};
  if (!name_key(request)) return {.unrecognized = true};
  KeyEntry* entry = keys_.find(request.request_class, request.key);
  if (!entry) return not_ours(request) ? elsewhere() : FinalAnswer{.kind = Answer::kRejected};
  bool known = entry->state == KeyEntry::State::kOk;
  return {.kind = known ? Answer::kCompleted : Answer::kFailed, .result = entry->result};
}

// Tries of one deduplicated request carry one key and one body. The body is part of what they go by here, so
// that the same key with another body neither gets the result nor disturbs it. False where the key is known
// to be another's.
bool Service::name_key(ServerRequest& request) {
  if (request.key.empty() || request.request_class->idempotency != Idempotency::kKeyed) return true;
  std::string beginning = request.key + '/';
  request.key = beginning + std::to_string(mark_of(request.body));
  return keys_.find(request.request_class, request.key) || !keys_.taken(request.request_class, beginning);
}

// The entry of a deduplicated request stands for as long as it is kept. That of a read is of use while it is
// open, and for some time after it ended well.
void Service::find_original(ServerRequest& request) {
  if (request.key.empty()) return;
  KeyEntry* entry = keys_.find(request.request_class, request.key);
  if (!entry) return;
  if (request.request_class->idempotency == Idempotency::kIdempotent) {
    bool fresh =
        entry->state == KeyEntry::State::kOk && now_ - entry->ended <= start_.config.answer_sharing_window;
    if (entry->state != KeyEntry::State::kOpen && !fresh) return;
  }
  request.entry = entry;
  request.is_retry = true;
  request.original = entry->holder;
}

void Service::caller_disconnected(ServerRequest& request) {
  take([&] {
    request.sink = nullptr;
    --unanswered_;
    controller_->caller_disconnected(request, now_);
    abandon(request);
  });
}

void Service::health_check(AnswerSink& sink, bool probe) {
  take([&] {
    if (!good_ || !probe) {
      sink.answer({.kind = good_ ? Answer::kCompleted : Answer::kRejected});
      return;
    }
    if (probes_.empty()) {
      probes_until_ = now_ + kProbeWait;
      if (!engine_.test()) {
        sink.answer({.kind = Answer::kRejected});
        return;
      }
    }
    probes_.push_back(&sink);
  });
}

void Service::health_check_disconnected(AnswerSink& sink) { std::erase(probes_, &sink); }

void Service::answer_checks(bool good) {
  std::vector<AnswerSink*> probes = std::exchange(probes_, {});
  for (AnswerSink* sink : probes) sink->answer({.kind = good ? Answer::kCompleted : Answer::kRejected});
}

// ---- From the engine

void Service::engine_up(bool booting, Nanos age) {
  take([&] {
    start_.config.warming_up = start_.config.warming_up || booting;
    ports_.log.line(std::string("engine up, ") + (booting ? "booting" : "steady") + ", for " +
                    std::to_string(age / kMs) + " ms");
    controller_ = std::make_unique<Controller>(start_.config, *this, start_.seed);
    controller_->start(now_);
    if (stop_at_) controller_->begin_drain(stop_at_, now_);
  });
}

void Service::run_needs_call(ServerRequest& request) {
  take([&] {
    if (request.entry && request.entry->holder == &request) request.entry->proven = true;
    controller_->call_needed(request, now_);
  });
}

void Service::run_ended(ServerRequest& request, Outcome outcome, std::string_view result) {
  take([&] {
    engine_.forget(request);
    leave_call(request);
    tell_records(request, outcome, result);
    KeyEntry* entry = request.entry && request.entry->holder == &request ? request.entry : nullptr;
    end(request, outcome, result);
    if (!entry) return;
    if (outcome == Outcome::kIgnored) {  // it never ran: repeats of it may
      drop(*entry);
      return;
    }
    keys_.end(*entry, outcome == Outcome::kOk, result, now_);
    for (ServerRequest* waiter : std::exchange(entry->waiters, {})) {
      deferred_.push_back({waiter, entry->state == KeyEntry::State::kOk ? Outcome::kOk : Outcome::kFailed});
    }
  });
}

void Service::tell_records(ServerRequest& request, Outcome outcome, std::string_view result) {
  if (!std::exchange(request.intended, false)) return;
  if (outcome == Outcome::kIgnored) {
    ports_.records->erase_intent(request);
  } else {
    ports_.records->record_outcome(request, outcome == Outcome::kOk, result);
  }
}

void Service::record_intent(Request& given) {
  ServerRequest& request = own(given);
  request.intended = true;
  ports_.records->record_intent(request, key_lifetime(request, request.request_class->deduplication_window));
}

void Service::intent_recorded(const std::string& id, bool durable) {
  take([&] {
    auto place = requests_.find(id);
    if (place == requests_.end() || !place->second->awaits_intent) return;
    if (!durable) place->second->intended = false;
    controller_->intent_recorded(*place->second, durable, now_);
  });
}

void Service::restore(const std::string& request_class, const std::string& key, bool good,
                      std::string_view result, Nanos left) {
  now_ = std::max(now_, ports_.clock.now());
  for (const RequestClass& each : start_.config.request_classes) {
    if (each.name == request_class) keys_.restore(&each, key, good, result, now_, now_ + left);
  }
}

// The end of a run, or of the wait for another's result.
void Service::end(ServerRequest& request, Outcome outcome, std::string_view result) {
  bool good = outcome == Outcome::kOk;
  answer(request, {.kind = good ? Answer::kCompleted : Answer::kFailed,
                   .result = result,
                   .unrecognized = request.unknown});
  controller_->run_completed(request, outcome, now_);
}

void Service::gauges_received(const std::vector<double>& values) {
  gauges_ = {};
  for (std::size_t i = 0; i < std::min(values.size(), start_.gauge_names.size()); ++i) {
    const std::string& name = start_.gauge_names[i];
    if (name == "core_use") gauges_.core_use = values[i];
    if (name == "on_cores") gauges_.on_cores = values[i];
    if (name == "links") gauges_.connections = values[i];
  }
  gauges_at_ = ports_.clock.now();
}

void Service::tested(bool good) {
  take([&] { answer_checks(good && good_); });
}

// ---- From the database client

void Service::call_completed(ServerRequest& request, CallResult result, std::string body) {
  take([&] {
    if (!request.calling || request.call_verdict) return;
    switch (result) {
      case CallResult::kRows:
        end_call(request, Outcome::kOk);
        if (request.answered) return;
        engine_.feed(request, std::move(body));
        return;
      case CallResult::kFailed:
        return end_call(request, Outcome::kFailed);
      case CallResult::kTimedOut:
        return end_call(request, Outcome::kTimedOut);
      case CallResult::kConnectionLost:
        return end_call(request, Outcome::kReset);
      case CallResult::kAtCapacity:
      case CallResult::kNotExecuted:
        request.call_verdict = Outcome::kFull;
        break;
      case CallResult::kUnreachable:
        request.call_verdict = Outcome::kUnreachable;
        break;
    }
    request.call_until = std::min(request.call_until, request.call_since + kMinCall);
  });
}

void Service::end_call(ServerRequest& request, Outcome outcome) {
  std::erase(calls_, &request);
  request.calling = false;
  controller_->call_ended(request, outcome, now_ - request.call_since, now_);
}

void Service::leave_call(ServerRequest& request) {
  if (!request.calling) return;
  ports_.dependency.abandon_call(request);
  std::erase(calls_, &request);
  request.calling = false;
}

// We keep the time limit of a call ourselves.
void Service::end_calls_due() {
  std::vector<ServerRequest*> calls = calls_;
  for (ServerRequest* request : calls) {
    if (!request->calling || request->call_until > now_) continue;
    if (!request->call_verdict) ports_.dependency.abandon_call(*request);
    end_call(*request, request->call_verdict.value_or(Outcome::kTimedOut));
  }
}

// ---- From the clock and the operators

void Service::timer_expired() {
  take([&] {
    if (!controller_) return;
    end_calls_due();
    if (!probes_.empty() && now_ >= probes_until_) answer_checks(false);
    if (ring_at_ == 0 || now_ < ring_at_) return;
    ring_at_ = 0;
    engine_.request_gauges();
    keys_.expire(now_);
    controller_->timer_expired(ring_token_, now_ - gauges_at_ <= kGaugesFresh ? gauges_ : Gauges{}, now_);
  });
}

void Service::begin_drain() {
  take([&] {
    if (stop_at_) return;
    notice_at_ = now_;
    stop_at_ = now_ + start_.stop_after;
    ports_.log.line("notice to leave, stop in " + std::to_string(start_.stop_after / kMs) + " ms");
    if (controller_) controller_->begin_drain(stop_at_, now_);
  });
}

// Past the grace nothing new may run: once all is answered, callers are better off with a refused connection.
void Service::finish_when_empty() {
  if (!stop_at_ || finishing_) return;
  bool past_grace = now_ > notice_at_ + start_.config.drain_grace;
  bool empty = unanswered_ == 0 && past_grace;
  if (controller_ && !empty && now_ < stop_at_ - kFinishLead) return;
  finishing_ = true;
  ports_.front.finish();
}

void Service::set_timer() {
  Nanos next = ring_at_ ? ring_at_ : now_ + 1000 * kMs;
  for (const ServerRequest* request : calls_) next = std::min(next, request->call_until);
  if (!probes_.empty()) next = std::min(next, probes_until_);
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
      counts.in_time += now_ <= request.arrived + request.request_class->latency_objective;
      break;
    case Answer::kRejected:
      ++counts.rejected;
      break;
    case Answer::kFailed:
      ++counts.terminated;
      break;
  }
  sink->answer(answer);
}

void Service::run(Request& request) { engine_.run(own(request)); }

void Service::reject(Request& request, bool no_failover, Nanos retry_after) {
  answer(own(request), {.kind = Answer::kRejected, .no_failover = no_failover, .retry_after = retry_after});
}

void Service::fail(Request& request) {
  answer(own(request), {.kind = Answer::kFailed});
  abandon(own(request));
}

// Its work goes on unwanted. A run that may never have reached the engine would keep its place for good.
void Service::abandon(ServerRequest& request) {
  if (request.phase != Phase::kAbandoned) return;
  leave_call(request);
  if (request.in_doubt && request.command == Command::kRun) deferred_.push_back({&request, Outcome::kFailed});
}

void Service::call(Request& given, Nanos longest) {
  ServerRequest& request = own(given);
  request.calling = true;
  request.call_verdict.reset();
  request.call_since = now_;
  request.call_until = now_ + longest;
  calls_.push_back(&request);
  ports_.dependency.call(request, request.payload, longest);
}

bool Service::abandon_call(Request& given) {
  ServerRequest& request = own(given);
  if (!request.calling || request.call_verdict) return false;
  leave_call(request);
  return true;
}

void Service::skip_call(Request& request) { engine_.skip(own(request)); }

// A try can be read long after it was written; its entry stays for that much longer. Tries of one key are one
// request, so that a late match harms nothing.
void Service::retain_key(Request& given, Nanos lifetime) {
  ServerRequest& request = own(given);
  if (request.key.empty()) return;
  if (KeyEntry* old = keys_.find(request.request_class, request.key)) fail_waiters(*old);
  keys_.keep(request, now_ + key_lifetime(request, lifetime));
}

Nanos Service::key_lifetime(const ServerRequest& request, Nanos lifetime) const {
  return lifetime + (request.request_class->idempotency == Idempotency::kKeyed
                         ? 2 * request.request_class->client_timeout
                         : 0);
}

void Service::forget_key(Request& given) {
  ServerRequest& request = own(given);
  if (!request.entry || request.entry->holder != &request) return;
  drop(*std::exchange(request.entry, nullptr));
}

void Service::drop(KeyEntry& entry) {
  fail_waiters(entry);
  keys_.drop(entry);
}

void Service::fail_waiters(KeyEntry& entry) {
  for (ServerRequest* waiter : std::exchange(entry.waiters, {})) {
    waiter->entry = nullptr;
    deferred_.push_back({waiter, Outcome::kFailed});
  }
}

void Service::coalesce(Request& given) {
  ServerRequest& request = own(given);
  if (request.entry && request.entry->state == KeyEntry::State::kOpen) {
    request.entry->waiters.push_back(&request);
  } else {
    bool good = request.entry && request.entry->state == KeyEntry::State::kOk;
    deferred_.push_back({&request, good ? Outcome::kOk : Outcome::kFailed});
  }
}

void Service::report_health(bool good) {
  good_ = good;
  if (!good) answer_checks(false);
  ports_.membership.report(good);
}

void Service::schedule_timer(Nanos delay, std::uint64_t token) {
  ring_at_ = now_ + delay;
  ring_token_ = token;
}

void Service::release(Request& given) {
  ServerRequest& request = own(given);
  engine_.forget(request);
  leave_call(request);
  if (!request.ran) tell_records(request, Outcome::kIgnored, {});
  if (request.entry) {
    std::erase(request.entry->waiters, &request);
    if (request.entry->holder == &request) request.entry->holder = nullptr;
  }
  core_time_ += request.core_time;
  released_.push_back(&request);
}

}  // namespace myrtlecroft::service
