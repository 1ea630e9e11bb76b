// How long callers that move their bytes slowly are waited for, and which of them go first when memory or
// descriptors are short. Decisions only: no I/O, and the time comes with each word. docs/design/slow-peers.md
// weighs the options.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <utility>

#include "myrtlecroft/decaying_sum.h"

namespace myrtlecroft::peers {

struct SlowClientOptions {
  double min_rate = 500;           // bytes per second, of a request on its way in or answers on their way out
  Nanos rate_window = 1000 * kMs;  // the span of the sums that the rates are read from
  Nanos grace = 1000 * kMs;        // before a rate is judged
  Nanos final_warning_time = 500 * kMs;      // from too slow a rate to the end
  Nanos max_request_read_time = 5000 * kMs;  // one request, from its first byte to its last, at whatever rate
  std::size_t max_unread_bytes = 65'536;     // bytes of answers; beyond them a peer's next requests wait
  double balancer_share = 0.75;              // of the memory, for all peers of one balancer beside others
};

// Derived from the limits told at the start.
struct SlowClientLimits {
  std::size_t bytes = 0;  // of memory, for all peers
  std::size_t peers = 0;  // descriptors
};

// What a connection tells of itself when it is looked at. `in` and `out` only grow.
struct ConnectionProgress {
  std::uint64_t in = 0;       // bytes that came
  std::uint64_t out = 0;      // bytes that went
  std::uint64_t awaited = 0;  // what has begun to come and is not whole, by a number of its own; 0: nothing
  std::size_t unread = 0;     // bytes of answers that wait to be taken
  std::size_t open = 0;       // requests in hand
};

enum class State {
  kIdle,          // nothing moves; not looked at
  kActive,        // fast enough
  kPaused,        // too much waits unread: its next requests are not read
  kFinalWarning,  // brings a request too slowly: a short time to do better
  kWriteStalled,  // takes its answers too slowly: a short time to do better, and nothing more is read
  kRemoved
};

enum class Input {
  kClear,    // nothing waits in either direction
  kSteady,   // moves at the least rate or above, or is in its grace
  kFull,     // the same, with its share of unread answers used up
  kSlowIn,   // below the rate with a request
  kSlowOut,  // below the rate with answers
  kOverdue,  // one request among others takes too long, at whatever rate
  kOver,     // the hurry's time is over
};

enum class Effect {
  kNone,
  kResumeReading,
  kPauseReading,
  kCancelRequest,    // ends the request that is awaited, alone
  kCloseSlowSender,  // ends the connection: what is open is answered first
  kCloseSlowReader
};

// The connection behind an account.
class MonitoredConnection {
 public:
  virtual ~MonitoredConnection() = default;
  virtual ConnectionProgress current_progress() const = 0;
  // May end the connection and with it the account.
  virtual void apply_effect(Effect effect) = 0;
};

// Whose connection it is: the address it came from, and the balancer's number once it has told one.
struct BalancerKey {
  std::uint32_t address = 0;
  std::int64_t number = -1;
  auto operator<=>(const BalancerKey&) const =
      default;  // NOLINT(modernize-use-nullptr): of clang-tidy 14 alone
};

class SlowClientPolicy;

// What is remembered of one peer. Belongs to its connection; a quiet one costs nothing but its bytes.
class ConnectionAccount {
 public:
  State state() const { return state_; }
  bool paused() const { return state_ == State::kPaused || state_ == State::kWriteStalled; }  // not read

 private:
  friend class SlowClientPolicy;
  // One direction, from when something waits in it.
  struct Flow {
    Nanos since = 0;
    Nanos progress = 0;
    std::uint64_t seen = 0;
    std::optional<DecayingSum> moved;  // none: nothing waits
  };
  struct Balancer {
    std::size_t held = 0;
    std::size_t peers = 0;
  };
  using Balancers = std::map<BalancerKey, Balancer>;

  MonitoredConnection* peer_ = nullptr;
  Balancers::iterator balancer_;
  State state_ = State::kIdle;
  std::uint64_t awaited_ = 0;
  Flow in_;
  Flow out_;
  std::size_t held_ = 0;
  Nanos look_at_ = 0;  // the next time, while it is watched
  Nanos hurry_until_ = 0;
  std::list<ConnectionAccount*>::iterator place_;
  std::list<ConnectionAccount*>::iterator slow_place_;
  bool watched_ = false;
};

class SlowClientPolicy {
 public:
  SlowClientPolicy(const SlowClientOptions& options, const SlowClientLimits& limits)
      : options_(options), limits_(limits) {}

  void set_options(const SlowClientOptions& options) { options_ = options; }

  void add_connection(ConnectionAccount& account, MonitoredConnection& peer, BalancerKey key);
  void remove_connection(ConnectionAccount& account);
  void set_balancer(ConnectionAccount& account, BalancerKey key);
  // Its connection has moved on: it is watched from here on where something waits, and judged at once where
  // its unread answers may be beyond their share.
  void moved(ConnectionAccount& account, Nanos now);
  // Says how many bytes of memory it holds now.
  void set_held_bytes(ConnectionAccount& account, std::size_t bytes);
  // Something has begun to wait in one direction. Costs nothing where that is known.
  void start_watching(ConnectionAccount& account, Nanos now);
  // Judges one peer at once.
  void evaluate(ConnectionAccount& account, Nanos now);
  // Judges all whose time has come.
  void evaluate_due_connections(Nanos now);
  // When to look next; 0: not before something is watched.
  Nanos next_evaluation_at() const {
    return watched_.empty() ? 0 : watched_.front()->look_at_ + stood_still_;
  }

  // Over a bound of memory: for all peers, or of one balancer beside others.
  bool exceeds_memory_limit(const ConnectionAccount& account) const;
  // The one that holds most for longest without progress, of the account's balancer or, where that is
  // within its share, of all. With many waited for, of the few not looked at for longest: finding it must not
  // cost more than what it frees. Null: nobody is waited for.
  ConnectionAccount* costliest_connection(const ConnectionAccount& account, Nanos now);
  // For its descriptor: among the few that have been hurried or blocked for longest and have nothing in hand,
  // one of the balancer with most connections. Null: there is none.
  ConnectionAccount* slowest_connection();
  MonitoredConnection& connection_of(ConnectionAccount& account) const { return *account.peer_; }

  std::size_t bytes() const { return bytes_; }
  std::size_t watched() const { return watched_.size(); }
  std::size_t count(State state) const { return counts_[static_cast<std::size_t>(state)]; }
  // 1 where there is room; what the least rate is multiplied by, and the times divided, as room runs out.
  double strictness() const;

 private:
  Nanos time(Nanos now);
  Input input_of(ConnectionAccount& account, const ConnectionProgress& current_progress, Nanos at);
  void step(ConnectionAccount& account, Input input, Nanos at);
  void enter(ConnectionAccount& account, State next);
  void unwatch(ConnectionAccount& account);
  double rate(const ConnectionAccount::Flow& flow, Nanos at) const;
  bool full(const ConnectionAccount& account, std::size_t unread, Nanos at) const;
  bool over_share(const ConnectionAccount::Balancer& balancer) const;
  double waiting_cost(const ConnectionAccount& account, Nanos at) const;

  SlowClientOptions options_;
  SlowClientLimits limits_;
  ConnectionAccount::Balancers balancers_;
  std::list<ConnectionAccount*> watched_;  // by the time of the next look, which is as far away for all
  std::list<ConnectionAccount*> slow_;     // hurried or blocked, longest so first
  std::size_t bytes_ = 0;
  std::size_t peers_ = 0;
  std::size_t counts_[static_cast<std::size_t>(State::kRemoved) + 1] = {};
  Nanos stood_still_ = 0;  // for so long in all, taken off every time
};

}  // namespace myrtlecroft::peers
