#include "peers/slow_client_policy.h"

#include <algorithm>
#include <cmath>

namespace myrtlecroft::peers {
namespace {

constexpr Nanos kLookEvery = 100 * kMs;
constexpr Nanos kStoodStill = 100 * kMs;  // a look that comes this much too late
constexpr Nanos kTurn = 20 * kMs;         // for answers written together to go out together
constexpr double kShortFrom = 0.75;       // of a limit that is used by those who are waited for
constexpr double kStrictest = 4;
constexpr int kFew = 64;  // compared when one must go

struct Row {
  State state;
  Input input;
  State next;
  Effect effect;
};

// What is not named here changes nothing. A paused peer can't be blamed for what we don't read, and a blocked
// one with requests in hand waits for their answers before kOver comes.
constexpr Row kTable[] = {
    {State::kActive, Input::kClear, State::kIdle, Effect::kNone},
    {State::kActive, Input::kFull, State::kPaused, Effect::kPauseReading},
    {State::kActive, Input::kSlowIn, State::kFinalWarning, Effect::kNone},
    {State::kActive, Input::kSlowOut, State::kWriteStalled, Effect::kPauseReading},
    {State::kActive, Input::kOverdue, State::kActive, Effect::kCancelRequest},
    {State::kPaused, Input::kClear, State::kIdle, Effect::kResumeReading},
    {State::kPaused, Input::kSteady, State::kActive, Effect::kResumeReading},
    {State::kPaused, Input::kSlowOut, State::kWriteStalled, Effect::kNone},
    {State::kFinalWarning, Input::kClear, State::kIdle, Effect::kNone},
    {State::kFinalWarning, Input::kSteady, State::kActive, Effect::kNone},
    {State::kFinalWarning, Input::kFull, State::kPaused, Effect::kPauseReading},
    {State::kFinalWarning, Input::kSlowOut, State::kWriteStalled, Effect::kPauseReading},
    {State::kFinalWarning, Input::kOverdue, State::kActive, Effect::kCancelRequest},
    {State::kFinalWarning, Input::kOver, State::kRemoved, Effect::kCloseSlowSender},
    {State::kWriteStalled, Input::kClear, State::kIdle, Effect::kResumeReading},
    {State::kWriteStalled, Input::kSteady, State::kActive, Effect::kResumeReading},
    {State::kWriteStalled, Input::kFull, State::kPaused, Effect::kNone},
    {State::kWriteStalled, Input::kOver, State::kRemoved, Effect::kCloseSlowReader},
};

bool is_slow(State state) { return state == State::kFinalWarning || state == State::kWriteStalled; }

}  // namespace

void SlowClientPolicy::add_connection(ConnectionAccount& account, MonitoredConnection& peer,
                                      BalancerKey key) {
  account.peer_ = &peer;
  account.balancer_ = balancers_.try_emplace(key).first;
  ++account.balancer_->second.peers;
  ++peers_;
  ++counts_[static_cast<std::size_t>(account.state_)];
}

void SlowClientPolicy::remove_connection(ConnectionAccount& account) {
  if (!account.peer_) return;
  unwatch(account);
  set_held_bytes(account, 0);
  enter(account, State::kRemoved);
  --counts_[static_cast<std::size_t>(account.state_)];
  --peers_;
  account.peer_ = nullptr;
  if (--account.balancer_->second.peers == 0) balancers_.erase(account.balancer_);
}

void SlowClientPolicy::set_balancer(ConnectionAccount& account, BalancerKey key) {
  if (account.balancer_->first == key) return;
  auto old = account.balancer_;
  account.balancer_ = balancers_.try_emplace(key).first;
  account.balancer_->second.held += account.held_;
  ++account.balancer_->second.peers;
  old->second.held -= account.held_;
  if (--old->second.peers == 0) balancers_.erase(old);
}

void SlowClientPolicy::set_held_bytes(ConnectionAccount& account, std::size_t bytes) {
  bytes_ += bytes - account.held_;
  account.balancer_->second.held += bytes - account.held_;
  account.held_ = bytes;
}

// A look that comes late comes in a process that stood still: nobody could have moved anything then, and that
// time counts for none. Without it, one pause would be taken for all peers being slow. Harm: a peer that is
// slow while we are short of a core is given more time.
Nanos SlowClientPolicy::time(Nanos now) {
  if (!watched_.empty()) {
    Nanos late = now - stood_still_ - watched_.front()->look_at_;
    if (late > kStoodStill) stood_still_ += late;
  }
  return now - stood_still_;
}

void SlowClientPolicy::start_watching(ConnectionAccount& account, Nanos now) {
  if (account.watched_ || account.state_ == State::kRemoved) return;
  Nanos at = time(now);
  account.watched_ = true;
  account.look_at_ = at + kLookEvery;
  account.place_ = watched_.insert(watched_.end(), &account);
  enter(account, State::kActive);
  input_of(account, account.peer_->current_progress(), at);
}

void SlowClientPolicy::unwatch(ConnectionAccount& account) {
  if (!std::exchange(account.watched_, false)) return;
  watched_.erase(account.place_);
  account.in_ = account.out_ = {};
  account.awaited_ = 0;
}

void SlowClientPolicy::enter(ConnectionAccount& account, State next) {
  --counts_[static_cast<std::size_t>(account.state_)];
  ++counts_[static_cast<std::size_t>(next)];
  bool was_slow = is_slow(std::exchange(account.state_, next));
  if (is_slow(next) == was_slow) return;
  if (!was_slow) {
    account.slow_place_ = slow_.insert(slow_.end(), &account);
  } else {
    slow_.erase(account.slow_place_);
  }
}

// Unbiased from the start on: the sum is set against what a steady stream of this age would have left in it.
double SlowClientPolicy::rate(const ConnectionAccount::Flow& flow, Nanos at) const {
  double span = static_cast<double>(options_.rate_window) / 1e9;
  double age = static_cast<double>(std::max<Nanos>(at - flow.since, 1)) / 1e9;
  return flow.moved->read(at) / (span * -std::expm1(-age / span));
}

Input SlowClientPolicy::input_of(ConnectionAccount& account, const ConnectionProgress& current_progress,
                                 Nanos at) {
  double strict = strictness();
  if (over_share(account.balancer_->second)) strict = kStrictest;
  Nanos grace = static_cast<Nanos>(static_cast<double>(options_.grace) / strict);
  auto slow = [&](ConnectionAccount::Flow& flow, bool waits, std::uint64_t total) {
    if (!waits) {
      flow = {};
      return false;
    }
    if (!flow.moved) {
      flow = {.since = at, .progress = at, .seen = total, .moved = DecayingSum(options_.rate_window)};
      return false;
    }
    std::uint64_t moved = total - std::exchange(flow.seen, total);
    if (moved) flow.progress = at;
    flow.moved->add(static_cast<double>(moved), at);
    return at - flow.since >= grace && rate(flow, at) < options_.min_rate * strict;
  };
  // What a paused peer sends is not read, and begins anew after that.
  bool awaited = current_progress.awaited && !account.paused();
  if (current_progress.awaited != account.awaited_) account.in_ = {};
  account.awaited_ = current_progress.awaited;
  bool slow_in = slow(account.in_, awaited, current_progress.in);
  bool slow_out = slow(account.out_, current_progress.unread > 0, current_progress.out);
  bool over = is_slow(account.state_) && at >= account.hurry_until_;
  if (!current_progress.awaited && !current_progress.unread) return Input::kClear;
  if (slow_out)
    return over && account.state_ == State::kWriteStalled && !current_progress.open ? Input::kOver
                                                                                    : Input::kSlowOut;
  if (slow_in) return over && account.state_ == State::kFinalWarning ? Input::kOver : Input::kSlowIn;
  if (current_progress.unread && full(account, current_progress.unread, at)) return Input::kFull;
  if (awaited && at - account.in_.since >= options_.max_request_read_time) return Input::kOverdue;
  return Input::kSteady;
}

// More than its share waits, and what waits won't be gone by the next look. Half the share must be free
// before a paused peer is read again, or it would be paused at every answer. Harm: answers that end together
// on one connection look alike for a turn of the loop, which is why a new flow is left alone that long.
bool SlowClientPolicy::full(const ConnectionAccount& account, std::size_t unread, Nanos at) const {
  if (unread < (account.paused() ? options_.max_unread_bytes / 2 : options_.max_unread_bytes)) return false;
  double soon = rate(account.out_, at) * static_cast<double>(kLookEvery) / 1e9;
  return at - account.out_.since >= kTurn && static_cast<double>(unread) > soon;
}

void SlowClientPolicy::step(ConnectionAccount& account, Input input, Nanos at) {
  for (const Row& row : kTable) {
    if (row.state != account.state_ || row.input != input) continue;
    if (is_slow(row.next)) {
      account.hurry_until_ =
          at + static_cast<Nanos>(static_cast<double>(options_.final_warning_time) / strictness());
    }
    if (row.effect == Effect::kResumeReading) account.in_ = {};
    enter(account, row.next);
    if (row.next == State::kIdle || row.next == State::kRemoved) unwatch(account);
    if (row.effect != Effect::kNone) account.peer_->apply_effect(row.effect);  // may end the account
    return;
  }
}

void SlowClientPolicy::moved(ConnectionAccount& account, Nanos now) {
  ConnectionProgress current_progress = account.peer_->current_progress();
  if (current_progress.unread >= options_.max_unread_bytes) {
    evaluate(account, now);
  } else if (current_progress.awaited || current_progress.unread) {
    start_watching(account, now);
  }
}

void SlowClientPolicy::evaluate(ConnectionAccount& account, Nanos now) {
  if (!account.watched_) return start_watching(account, now);
  Nanos at = time(now);
  step(account, input_of(account, account.peer_->current_progress(), at), at);
}

void SlowClientPolicy::evaluate_due_connections(Nanos now) {
  Nanos at = time(now);
  while (!watched_.empty() && watched_.front()->look_at_ <= at) {
    ConnectionAccount& account = *watched_.front();
    account.look_at_ = at + kLookEvery;
    watched_.splice(watched_.end(), watched_, watched_.begin());
    step(account, input_of(account, account.peer_->current_progress(), at), at);
  }
}

// Peers that are waited for are what room is short of: idle ones can be let go at any time.
double SlowClientPolicy::strictness() const {
  double used = std::max(
      static_cast<double>(bytes_) / static_cast<double>(std::max<std::size_t>(limits_.bytes, 1)),
      static_cast<double>(watched_.size()) / static_cast<double>(std::max<std::size_t>(limits_.peers, 1)));
  return 1 + (kStrictest - 1) * std::clamp((used - kShortFrom) / (1 - kShortFrom), 0.0, 1.0);
}

// A balancer that has us to itself may use all.
bool SlowClientPolicy::over_share(const ConnectionAccount::Balancer& balancer) const {
  return balancer.peers<peers_&& static_cast<double>(balancer.held)> options_.balancer_share *
         static_cast<double>(limits_.bytes);
}

bool SlowClientPolicy::exceeds_memory_limit(const ConnectionAccount& account) const {
  return bytes_ > limits_.bytes || over_share(account.balancer_->second);
}

// Bytes held times the time without progress.
double SlowClientPolicy::waiting_cost(const ConnectionAccount& account, Nanos at) const {
  Nanos progress = at;
  for (const ConnectionAccount::Flow* flow : {&account.in_, &account.out_}) {
    if (flow->moved) progress = std::min(progress, flow->progress);
  }
  return static_cast<double>(account.held_ + 1) * static_cast<double>(at - progress + kMs);
}

ConnectionAccount* SlowClientPolicy::costliest_connection(const ConnectionAccount& account, Nanos now) {
  Nanos at = time(now);
  bool of_one = over_share(account.balancer_->second);
  ConnectionAccount* costliest_connection = nullptr;
  double max = 0;
  int compared = 0;
  for (ConnectionAccount* each : watched_) {
    if (++compared > kFew) break;
    if (of_one && each->balancer_ != account.balancer_) continue;
    double cost = waiting_cost(*each, at);
    if (cost > max) costliest_connection = each, max = cost;
  }
  return costliest_connection;
}

ConnectionAccount* SlowClientPolicy::slowest_connection() {
  ConnectionAccount* slowest_connection = nullptr;
  int compared = 0;
  for (ConnectionAccount* each : slow_) {
    if (++compared > kFew) break;
    if (each->peer_->current_progress().open) continue;
    if (!slowest_connection || each->balancer_->second.peers > slowest_connection->balancer_->second.peers)
      slowest_connection = each;
  }
  return slowest_connection;
}

}  // namespace myrtlecroft::peers
