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
    {State::kActive, Input::kFull, State::kPaused, Effect::kPause},
    {State::kActive, Input::kSlowIn, State::kFinalWarning, Effect::kNone},
    {State::kActive, Input::kSlowOut, State::kWriteStalled, Effect::kPause},
    {State::kActive, Input::kOverdue, State::kActive, Effect::kCancel},
    {State::kPaused, Input::kClear, State::kIdle, Effect::kReadOn},
    {State::kPaused, Input::kSteady, State::kActive, Effect::kReadOn},
    {State::kPaused, Input::kSlowOut, State::kWriteStalled, Effect::kNone},
    {State::kFinalWarning, Input::kClear, State::kIdle, Effect::kNone},
    {State::kFinalWarning, Input::kSteady, State::kActive, Effect::kNone},
    {State::kFinalWarning, Input::kFull, State::kPaused, Effect::kPause},
    {State::kFinalWarning, Input::kSlowOut, State::kWriteStalled, Effect::kPause},
    {State::kFinalWarning, Input::kOverdue, State::kActive, Effect::kCancel},
    {State::kFinalWarning, Input::kOver, State::kGone, Effect::kDropSlow},
    {State::kWriteStalled, Input::kClear, State::kIdle, Effect::kReadOn},
    {State::kWriteStalled, Input::kSteady, State::kActive, Effect::kReadOn},
    {State::kWriteStalled, Input::kFull, State::kPaused, Effect::kNone},
    {State::kWriteStalled, Input::kOver, State::kGone, Effect::kDropUnread},
};

bool is_slow(State state) { return state == State::kFinalWarning || state == State::kWriteStalled; }

}  // namespace

void SlowClientPolicy::join(ConnectionAccount& account, PacedPeer& peer, BalancerKey key) {
  account.peer_ = &peer;
  account.balancer_ = balancers_.try_emplace(key).first;
  ++account.balancer_->second.peers;
  ++peers_;
  ++counts_[static_cast<std::size_t>(account.state_)];
}

void SlowClientPolicy::leave(ConnectionAccount& account) {
  if (!account.peer_) return;
  unwatch(account);
  hold(account, 0);
  enter(account, State::kGone);
  --counts_[static_cast<std::size_t>(account.state_)];
  --peers_;
  account.peer_ = nullptr;
  if (--account.balancer_->second.peers == 0) balancers_.erase(account.balancer_);
}

void SlowClientPolicy::belongs_to(ConnectionAccount& account, BalancerKey key) {
  if (account.balancer_->first == key) return;
  auto old = account.balancer_;
  account.balancer_ = balancers_.try_emplace(key).first;
  account.balancer_->second.held += account.held_;
  ++account.balancer_->second.peers;
  old->second.held -= account.held_;
  if (--old->second.peers == 0) balancers_.erase(old);
}

void SlowClientPolicy::hold(ConnectionAccount& account, std::size_t bytes) {
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

void SlowClientPolicy::watch(ConnectionAccount& account, Nanos now) {
  if (account.watched_ || account.state_ == State::kGone) return;
  Nanos at = time(now);
  account.watched_ = true;
  account.look_at_ = at + kLookEvery;
  account.place_ = watched_.insert(watched_.end(), &account);
  enter(account, State::kActive);
  input_of(account, account.peer_->standing(), at);
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
  double span = static_cast<double>(options_.rate_over) / 1e9;
  double age = static_cast<double>(std::max<Nanos>(at - flow.since, 1)) / 1e9;
  return flow.moved->read(at) / (span * -std::expm1(-age / span));
}

Input SlowClientPolicy::input_of(ConnectionAccount& account, const ConnectionProgress& standing, Nanos at) {
  double strict = strictness();
  if (over_share(account.balancer_->second)) strict = kStrictest;
  Nanos grace = static_cast<Nanos>(static_cast<double>(options_.grace) / strict);
  auto slow = [&](ConnectionAccount::Flow& flow, bool waits, std::uint64_t total) {
    if (!waits) {
      flow = {};
      return false;
    }
    if (!flow.moved) {
      flow = {.since = at, .progress = at, .seen = total, .moved = DecayingSum(options_.rate_over)};
      return false;
    }
    std::uint64_t moved = total - std::exchange(flow.seen, total);
    if (moved) flow.progress = at;
    flow.moved->add(static_cast<double>(moved), at);
    return at - flow.since >= grace && rate(flow, at) < options_.min_rate * strict;
  };
  // What a paused peer sends is not read, and begins anew after that.
  bool awaited = standing.awaited && !account.paused();
  if (standing.awaited != account.awaited_) account.in_ = {};
  account.awaited_ = standing.awaited;
  bool slow_in = slow(account.in_, awaited, standing.in);
  bool slow_out = slow(account.out_, standing.unread > 0, standing.out);
  bool over = is_slow(account.state_) && at >= account.hurry_until_;
  if (!standing.awaited && !standing.unread) return Input::kClear;
  if (slow_out)
    return over && account.state_ == State::kWriteStalled && !standing.open ? Input::kOver : Input::kSlowOut;
  if (slow_in) return over && account.state_ == State::kFinalWarning ? Input::kOver : Input::kSlowIn;
  if (standing.unread && full(account, standing.unread, at)) return Input::kFull;
  if (awaited && at - account.in_.since >= options_.whole_within) return Input::kOverdue;
  return Input::kSteady;
}

// More than its share waits, and what waits won't be gone by the next look. Half the share must be free
// before a paused peer is read again, or it would be paused at every answer. Harm: answers that end together
// on one connection look alike for a turn of the loop, which is why a new flow is left alone that long.
bool SlowClientPolicy::full(const ConnectionAccount& account, std::size_t unread, Nanos at) const {
  if (unread < (account.paused() ? options_.unread_share / 2 : options_.unread_share)) return false;
  double soon = rate(account.out_, at) * static_cast<double>(kLookEvery) / 1e9;
  return at - account.out_.since >= kTurn && static_cast<double>(unread) > soon;
}

void SlowClientPolicy::step(ConnectionAccount& account, Input input, Nanos at) {
  for (const Row& row : kTable) {
    if (row.state != account.state_ || row.input != input) continue;
    if (is_slow(row.next)) {
      account.hurry_until_ = at + static_cast<Nanos>(static_cast<double>(options_.hurry) / strictness());
    }
    if (row.effect == Effect::kReadOn) account.in_ = {};
    enter(account, row.next);
    if (row.next == State::kIdle || row.next == State::kGone) unwatch(account);
    if (row.effect != Effect::kNone) account.peer_->paced(row.effect);  // may end the account
    return;
  }
}

void SlowClientPolicy::moved(ConnectionAccount& account, Nanos now) {
  ConnectionProgress standing = account.peer_->standing();
  if (standing.unread >= options_.unread_share) {
    judge(account, now);
  } else if (standing.awaited || standing.unread) {
    watch(account, now);
  }
}

void SlowClientPolicy::judge(ConnectionAccount& account, Nanos now) {
  if (!account.watched_) return watch(account, now);
  Nanos at = time(now);
  step(account, input_of(account, account.peer_->standing(), at), at);
}

void SlowClientPolicy::look(Nanos now) {
  Nanos at = time(now);
  while (!watched_.empty() && watched_.front()->look_at_ <= at) {
    ConnectionAccount& account = *watched_.front();
    account.look_at_ = at + kLookEvery;
    watched_.splice(watched_.end(), watched_, watched_.begin());
    step(account, input_of(account, account.peer_->standing(), at), at);
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

bool SlowClientPolicy::crowded(const ConnectionAccount& account) const {
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

ConnectionAccount* SlowClientPolicy::worst(const ConnectionAccount& account, Nanos now) {
  Nanos at = time(now);
  bool of_one = over_share(account.balancer_->second);
  ConnectionAccount* worst = nullptr;
  double max = 0;
  int compared = 0;
  for (ConnectionAccount* each : watched_) {
    if (++compared > kFew) break;
    if (of_one && each->balancer_ != account.balancer_) continue;
    double cost = waiting_cost(*each, at);
    if (cost > max) worst = each, max = cost;
  }
  return worst;
}

ConnectionAccount* SlowClientPolicy::slowest() {
  ConnectionAccount* slowest = nullptr;
  int compared = 0;
  for (ConnectionAccount* each : slow_) {
    if (++compared > kFew) break;
    if (each->peer_->standing().open) continue;
    if (!slowest || each->balancer_->second.peers > slowest->balancer_->second.peers) slowest = each;
  }
  return slowest;
}

}  // namespace myrtlecroft::peers
