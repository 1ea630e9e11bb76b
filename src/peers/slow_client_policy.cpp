#include "peers/slow_client_policy.h"

#include <algorithm>
#include <cmath>

namespace myrtlecroft::peers {
namespace {

constexpr Nanos kEvaluationInterval = 100 * kMs;
constexpr Nanos kPauseDetectionThreshold = 100 * kMs;  // lateness of an evaluation
constexpr Nanos kMinFlowAge = 20 * kMs;  // lets answers written in one turn of the loop be sent together
constexpr double kStrictnessThreshold = 0.75;  // used fraction of a limit above which strictness rises
constexpr double kMaxStrictness = 4;
constexpr int kMaxCandidates = 64;  // connections compared when choosing one to close

struct Transition {
  State state;
  Input input;
  State next;
  Effect effect;
};

// A pair of state and input without a row changes nothing. A paused connection has no row for slow sending,
// since the server does not read from it; a write-stalled one with open requests gets kWarningExpired only
// after they are answered.
constexpr Transition kTransitions[] = {
    {State::kActive, Input::kNothingPending, State::kIdle, Effect::kNone},
    {State::kActive, Input::kUnreadLimitReached, State::kPaused, Effect::kPauseReading},
    {State::kActive, Input::kSlowSending, State::kFinalWarning, Effect::kNone},
    {State::kActive, Input::kSlowReading, State::kWriteStalled, Effect::kPauseReading},
    {State::kActive, Input::kRequestOverdue, State::kActive, Effect::kCancelRequest},
    {State::kPaused, Input::kNothingPending, State::kIdle, Effect::kResumeReading},
    {State::kPaused, Input::kSteady, State::kActive, Effect::kResumeReading},
    {State::kPaused, Input::kSlowReading, State::kWriteStalled, Effect::kNone},
    {State::kFinalWarning, Input::kNothingPending, State::kIdle, Effect::kNone},
    {State::kFinalWarning, Input::kSteady, State::kActive, Effect::kNone},
    {State::kFinalWarning, Input::kUnreadLimitReached, State::kPaused, Effect::kPauseReading},
    {State::kFinalWarning, Input::kSlowReading, State::kWriteStalled, Effect::kPauseReading},
    {State::kFinalWarning, Input::kRequestOverdue, State::kActive, Effect::kCancelRequest},
    {State::kFinalWarning, Input::kWarningExpired, State::kRemoved, Effect::kCloseSlowSender},
    {State::kWriteStalled, Input::kNothingPending, State::kIdle, Effect::kResumeReading},
    {State::kWriteStalled, Input::kSteady, State::kActive, Effect::kResumeReading},
    {State::kWriteStalled, Input::kUnreadLimitReached, State::kPaused, Effect::kNone},
    {State::kWriteStalled, Input::kWarningExpired, State::kRemoved, Effect::kCloseSlowReader},
};

bool is_slow(State state) { return state == State::kFinalWarning || state == State::kWriteStalled; }

}  // namespace

void SlowClientPolicy::add_connection(ConnectionAccount& account, MonitoredConnection& peer,
                                      BalancerKey key) {
  account.connection_ = &peer;
  account.balancer_ = balancers_.try_emplace(key).first;
  ++account.balancer_->second.peers;
  ++connections_;
  ++counts_[static_cast<std::size_t>(account.state_)];
}

void SlowClientPolicy::remove_connection(ConnectionAccount& account) {
  if (!account.connection_) return;
  stop_watching(account);
  set_held_bytes(account, 0);
  enter_state(account, State::kRemoved);
  --counts_[static_cast<std::size_t>(account.state_)];
  --connections_;
  account.connection_ = nullptr;
  if (--account.balancer_->second.peers == 0) balancers_.erase(account.balancer_);
}

void SlowClientPolicy::set_balancer(ConnectionAccount& account, BalancerKey key) {
  if (account.balancer_->first == key) return;
  auto old = account.balancer_;
  account.balancer_ = balancers_.try_emplace(key).first;
  account.balancer_->second.held_bytes += account.held_bytes_;
  ++account.balancer_->second.peers;
  old->second.held_bytes -= account.held_bytes_;
  if (--old->second.peers == 0) balancers_.erase(old);
}

void SlowClientPolicy::set_held_bytes(ConnectionAccount& account, std::size_t bytes) {
  bytes_ += bytes - account.held_bytes_;
  account.balancer_->second.held_bytes += bytes - account.held_bytes_;
  account.held_bytes_ = bytes;
}

// A late evaluation means that the process itself was paused, so no client could make progress; that time is
// not counted. Otherwise one pause of the process would make all clients look slow. Drawback: a client that
// is slow while the server lacks CPU gets more time.
Nanos SlowClientPolicy::effective_time(Nanos now) {
  if (!watched_.empty()) {
    Nanos delay = now - process_pause_total_ - watched_.front()->evaluate_at_;
    if (delay > kPauseDetectionThreshold) process_pause_total_ += delay;
  }
  return now - process_pause_total_;
}

void SlowClientPolicy::start_watching(ConnectionAccount& account, Nanos now) {
  if (account.watched_ || account.state_ == State::kRemoved) return;
  Nanos at = effective_time(now);
  account.watched_ = true;
  account.evaluate_at_ = at + kEvaluationInterval;
  account.watched_position_ = watched_.insert(watched_.end(), &account);
  enter_state(account, State::kActive);
  classify(account, account.connection_->current_progress(), at);
}

void SlowClientPolicy::stop_watching(ConnectionAccount& account) {
  if (!std::exchange(account.watched_, false)) return;
  watched_.erase(account.watched_position_);
  account.incoming_ = account.outgoing_ = {};
  account.awaited_request_ = 0;
}

void SlowClientPolicy::enter_state(ConnectionAccount& account, State next) {
  --counts_[static_cast<std::size_t>(account.state_)];
  ++counts_[static_cast<std::size_t>(next)];
  bool was_slow = is_slow(std::exchange(account.state_, next));
  if (is_slow(next) == was_slow) return;
  if (!was_slow) {
    account.slow_position_ = slow_.insert(slow_.end(), &account);
  } else {
    slow_.erase(account.slow_position_);
  }
}

// Returns bytes per second, unbiased from the start: divides the decayed sum by the value that a steady
// stream of 1 byte/s and the same age would have reached.
double SlowClientPolicy::rate(const ConnectionAccount::Flow& flow, Nanos at) const {
  double span = static_cast<double>(options_.rate_window) / 1e9;
  double age = static_cast<double>(std::max<Nanos>(at - flow.since, 1)) / 1e9;
  return flow.moved_bytes->read(at) / (span * -std::expm1(-age / span));
}

Input SlowClientPolicy::classify(ConnectionAccount& account, const ConnectionProgress& progress, Nanos at) {
  double strictness_factor = strictness();
  if (exceeds_balancer_share(account.balancer_->second)) strictness_factor = kMaxStrictness;
  Nanos grace = static_cast<Nanos>(static_cast<double>(options_.grace) / strictness_factor);
  auto update_flow = [&](ConnectionAccount::Flow& flow, bool pending, std::uint64_t total) {
    if (!pending) {
      flow = {};
      return false;
    }
    if (!flow.moved_bytes) {
      flow = {.since = at,
              .last_progress = at,
              .counted_bytes = total,
              .moved_bytes = DecayingSum(options_.rate_window)};
      return false;
    }
    std::uint64_t new_bytes = total - std::exchange(flow.counted_bytes, total);
    if (new_bytes) flow.last_progress = at;
    flow.moved_bytes->add(static_cast<double>(new_bytes), at);
    return at - flow.since >= grace && rate(flow, at) < options_.min_rate * strictness_factor;
  };
  // A paused connection is not read; its incoming flow starts afresh when reading resumes.
  bool awaits_request = progress.awaited_request && !account.paused();
  if (progress.awaited_request != account.awaited_request_) account.incoming_ = {};
  account.awaited_request_ = progress.awaited_request;
  bool sending_slowly = update_flow(account.incoming_, awaits_request, progress.in);
  bool reading_slowly = update_flow(account.outgoing_, progress.unread_bytes > 0, progress.out);
  bool expired = is_slow(account.state_) && at >= account.warning_expires_at_;
  if (!progress.awaited_request && !progress.unread_bytes) return Input::kNothingPending;
  if (reading_slowly)
    return expired && account.state_ == State::kWriteStalled && !progress.open ? Input::kWarningExpired
                                                                               : Input::kSlowReading;
  if (sending_slowly)
    return expired && account.state_ == State::kFinalWarning ? Input::kWarningExpired : Input::kSlowSending;
  if (progress.unread_bytes && unread_limit_reached(account, progress.unread_bytes, at))
    return Input::kUnreadLimitReached;
  if (awaits_request && at - account.incoming_.since >= options_.max_request_read_time)
    return Input::kRequestOverdue;
  return Input::kSteady;
}

// True if the unread answers exceed the limit and will not be sent by the next evaluation at the present
// rate. Reading resumes only once half the limit is free; otherwise each answer would pause the connection
// again. Drawback: answers that complete together on one connection look the same for one turn of the loop,
// so a flow younger than kMinFlowAge is never paused.
bool SlowClientPolicy::unread_limit_reached(const ConnectionAccount& account, std::size_t unread_bytes,
                                            Nanos at) const {
  if (unread_bytes < (account.paused() ? options_.max_unread_bytes / 2 : options_.max_unread_bytes))
    return false;
  double sendable_bytes = rate(account.outgoing_, at) * static_cast<double>(kEvaluationInterval) / 1e9;
  return at - account.outgoing_.since >= kMinFlowAge && static_cast<double>(unread_bytes) > sendable_bytes;
}

void SlowClientPolicy::apply_input(ConnectionAccount& account, Input input, Nanos at) {
  for (const Transition& transition : kTransitions) {
    if (transition.state != account.state_ || transition.input != input) continue;
    if (is_slow(transition.next)) {
      account.warning_expires_at_ =
          at + static_cast<Nanos>(static_cast<double>(options_.final_warning_time) / strictness());
    }
    if (transition.effect == Effect::kResumeReading) account.incoming_ = {};
    enter_state(account, transition.next);
    if (transition.next == State::kIdle || transition.next == State::kRemoved) stop_watching(account);
    if (transition.effect != Effect::kNone)
      account.connection_->apply_effect(transition.effect);  // may destroy the account
    return;
  }
}

void SlowClientPolicy::on_progress(ConnectionAccount& account, Nanos now) {
  ConnectionProgress progress = account.connection_->current_progress();
  if (progress.unread_bytes >= options_.max_unread_bytes) {
    evaluate(account, now);
  } else if (progress.awaited_request || progress.unread_bytes) {
    start_watching(account, now);
  }
}

void SlowClientPolicy::evaluate(ConnectionAccount& account, Nanos now) {
  if (!account.watched_) return start_watching(account, now);
  Nanos at = effective_time(now);
  apply_input(account, classify(account, account.connection_->current_progress(), at), at);
}

void SlowClientPolicy::evaluate_due_connections(Nanos now) {
  Nanos at = effective_time(now);
  while (!watched_.empty() && watched_.front()->evaluate_at_ <= at) {
    ConnectionAccount& account = *watched_.front();
    account.evaluate_at_ = at + kEvaluationInterval;
    watched_.splice(watched_.end(), watched_, watched_.begin());
    apply_input(account, classify(account, account.connection_->current_progress(), at), at);
  }
}

// Counts only watched connections against the connection limit: idle ones can be closed at any time.
double SlowClientPolicy::strictness() const {
  double used = std::max(
      static_cast<double>(bytes_) / static_cast<double>(std::max<std::size_t>(limits_.bytes, 1)),
      static_cast<double>(watched_.size()) / static_cast<double>(std::max<std::size_t>(limits_.peers, 1)));
  return 1 + (kMaxStrictness - 1) *
                 std::clamp((used - kStrictnessThreshold) / (1 - kStrictnessThreshold), 0.0, 1.0);
}

// A balancer without others beside it may use all the memory.
bool SlowClientPolicy::exceeds_balancer_share(const ConnectionAccount::Balancer& balancer) const {
  return balancer.peers<connections_&& static_cast<double>(balancer.held_bytes)> options_.balancer_share *
         static_cast<double>(limits_.bytes);
}

bool SlowClientPolicy::exceeds_memory_limit(const ConnectionAccount& account) const {
  return bytes_ > limits_.bytes || exceeds_balancer_share(account.balancer_->second);
}

// Product of the memory used and the time without progress.
double SlowClientPolicy::waiting_cost(const ConnectionAccount& account, Nanos at) const {
  Nanos last_progress = at;
  for (const ConnectionAccount::Flow* flow : {&account.incoming_, &account.outgoing_}) {
    if (flow->moved_bytes) last_progress = std::min(last_progress, flow->last_progress);
  }
  return static_cast<double>(account.held_bytes_ + 1) * static_cast<double>(at - last_progress + kMs);
}

ConnectionAccount* SlowClientPolicy::costliest_connection(const ConnectionAccount& account, Nanos now) {
  Nanos at = effective_time(now);
  bool only_this_balancer = exceeds_balancer_share(account.balancer_->second);
  ConnectionAccount* costliest = nullptr;
  double max_cost = 0;
  int compared_count = 0;
  for (ConnectionAccount* candidate : watched_) {
    if (++compared_count > kMaxCandidates) break;
    if (only_this_balancer && candidate->balancer_ != account.balancer_) continue;
    double cost = waiting_cost(*candidate, at);
    if (cost > max_cost) costliest = candidate, max_cost = cost;
  }
  return costliest;
}

ConnectionAccount* SlowClientPolicy::slowest_connection() {
  ConnectionAccount* slowest = nullptr;
  int compared_count = 0;
  for (ConnectionAccount* candidate : slow_) {
    if (++compared_count > kMaxCandidates) break;
    if (candidate->connection_->current_progress().open) continue;
    if (!slowest || candidate->balancer_->second.peers > slowest->balancer_->second.peers)
      slowest = candidate;
  }
  return slowest;
}

}  // namespace myrtlecroft::peers
