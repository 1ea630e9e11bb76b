// Decides how long slow clients are tolerated and which connections are closed first when memory or
// descriptors run short. Performs no I/O and reads no clock: the caller passes the time to each function.
// docs/design/slow-peers.md compares the options.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <utility>

#include "myrtlecroft/decaying_sum.h"

namespace myrtlecroft::peers {

// Settings of the slow-client policy.
struct SlowClientOptions {
  double min_rate = 500;           // bytes per second, for incoming requests and for outgoing answers alike
  Nanos rate_window = 1000 * kMs;  // time constant of the decaying sums behind the rates
  Nanos grace = 1000 * kMs;        // from the first pending byte until the rate is checked
  Nanos final_warning_time = 500 * kMs;      // from detecting too low a rate to closing the connection
  Nanos max_request_read_time = 5000 * kMs;  // for one request, from first to last byte, at any rate
  std::size_t max_unread_bytes = 65'536;     // of answers; from this size on, reading from the client pauses
  double balancer_share = 0.75;              // of SlowClientLimits::bytes, for one balancer among several
};

// Limits derived from the server's configuration at start.
struct SlowClientLimits {
  std::size_t bytes = 0;  // memory for all connections together
  std::size_t peers = 0;  // connections, bounded by the descriptors
};

// Progress of one connection at the time of the call. `in` and `out` are cumulative and never decrease.
struct ConnectionProgress {
  std::uint64_t in = 0;               // bytes received
  std::uint64_t out = 0;              // bytes sent
  std::uint64_t awaited_request = 0;  // identifies the partly received request; 0: there is none
  std::size_t unread_bytes = 0;       // bytes of answers that the client has not read yet
  std::size_t open = 0;               // requests that are not answered yet
};

// State of one connection.
enum class State {
  kIdle,          // nothing is pending in either direction; not evaluated
  kActive,        // data is pending and moves fast enough
  kPaused,        // too many answers are unread: no further requests are read
  kFinalWarning,  // sends a request too slowly: closed after final_warning_time unless it speeds up
  kWriteStalled,  // reads its answers too slowly: the same, and no further requests are read
  kRemoved
};

// Result of evaluating one connection.
enum class Input {
  kNothingPending,      // no partly received request, no unread answers
  kSteady,              // at the minimum rate or above it, or within the grace period
  kUnreadLimitReached,  // as kSteady, but with max_unread_bytes used up
  kSlowSending,         // sends a request below the minimum rate
  kSlowReading,         // reads answers below the minimum rate
  kRequestOverdue,      // one request exceeds max_request_read_time, at any rate
  kWarningExpired,      // final_warning_time has passed
};

// Action that the connection must take.
enum class Effect {
  kNone,
  kResumeReading,
  kPauseReading,
  kCancelRequest,    // cancels the partly received request alone
  kCloseSlowSender,  // closes the connection after answering its open requests
  kCloseSlowReader
};

// Connection that the policy monitors. All calls come from the thread that calls the policy.
class MonitoredConnection {
 public:
  virtual ~MonitoredConnection() = default;
  virtual ConnectionProgress current_progress() const = 0;
  // May destroy the connection and its account with it.
  virtual void apply_effect(Effect effect) = 0;
};

// Identifies the balancer behind a connection: the remote address, and the balancer's number once the
// balancer has sent it (-1 before).
struct BalancerKey {
  std::uint32_t address = 0;
  std::int64_t number = -1;
  auto operator<=>(const BalancerKey&) const =
      default;  // NOLINT(modernize-use-nullptr): false positive of clang-tidy 14 only
};

class SlowClientPolicy;

// State that the policy keeps for one connection. Owned by the connection; an idle one costs memory but no
// processing time.
class ConnectionAccount {
 public:
  State state() const { return state_; }
  // True while no requests are read from the connection.
  bool paused() const { return state_ == State::kPaused || state_ == State::kWriteStalled; }

 private:
  friend class SlowClientPolicy;
  // One direction of the connection while data is pending in it.
  struct Flow {
    Nanos since = 0;
    Nanos last_progress = 0;
    std::uint64_t counted_bytes = 0;
    std::optional<DecayingSum> moved_bytes;  // absent: no data is pending
  };
  struct Balancer {
    std::size_t held_bytes = 0;
    std::size_t peers = 0;
  };
  using Balancers = std::map<BalancerKey, Balancer>;

  MonitoredConnection* connection_ = nullptr;
  Balancers::iterator balancer_;
  State state_ = State::kIdle;
  std::uint64_t awaited_request_ = 0;
  Flow incoming_;
  Flow outgoing_;
  std::size_t held_bytes_ = 0;
  Nanos evaluate_at_ = 0;  // next evaluation, while watched; in effective time
  Nanos warning_expires_at_ = 0;
  std::list<ConnectionAccount*>::iterator watched_position_;
  std::list<ConnectionAccount*>::iterator slow_position_;
  bool watched_ = false;
};

// Tracks the progress of all connections and tells each what to do when its client is slow. Use from one
// thread.
class SlowClientPolicy {
 public:
  SlowClientPolicy(const SlowClientOptions& options, const SlowClientLimits& limits)
      : options_(options), limits_(limits) {}

  void set_options(const SlowClientOptions& options) { options_ = options; }

  // Registers a connection; `account` and `peer` must live until remove_connection.
  void add_connection(ConnectionAccount& account, MonitoredConnection& peer, BalancerKey key);
  void remove_connection(ConnectionAccount& account);
  void set_balancer(ConnectionAccount& account, BalancerKey key);
  // Call after bytes have moved on the connection: starts watching it if data is pending, and evaluates it at
  // once if its unread answers have reached max_unread_bytes.
  void on_progress(ConnectionAccount& account, Nanos now);
  // Records the memory that the connection uses, in bytes.
  void set_held_bytes(ConnectionAccount& account, std::size_t bytes);
  // Call when data becomes pending in one direction. Does nothing if the connection is watched already.
  void start_watching(ConnectionAccount& account, Nanos now);
  // Evaluates one connection now.
  void evaluate(ConnectionAccount& account, Nanos now);
  // Evaluates all connections that are due.
  void evaluate_due_connections(Nanos now);
  // Time at which to call evaluate_due_connections next; 0 while no connection is watched.
  Nanos next_evaluation_at() const {
    return watched_.empty() ? 0 : watched_.front()->evaluate_at_ + process_pause_total_;
  }

  // True if all connections together, or those of the account's balancer among several, use too much memory.
  bool exceeds_memory_limit(const ConnectionAccount& account) const;
  // Returns the connection with the largest product of memory and time without progress, among those of the
  // account's balancer or, if that is within its share, among all. Compares only the 64 watched connections
  // that were evaluated least recently, so that the search never costs more than it frees. Null if none is
  // watched.
  ConnectionAccount* costliest_connection(const ConnectionAccount& account, Nanos now);
  // Returns the connection to close when descriptors run short: among the 64 that have been slow for longest,
  // one without open requests that belongs to the balancer with the most connections. Null if there is none.
  ConnectionAccount* slowest_connection();
  MonitoredConnection& connection_of(ConnectionAccount& account) const { return *account.connection_; }

  std::size_t bytes() const { return bytes_; }
  std::size_t watched() const { return watched_.size(); }
  std::size_t count(State state) const { return counts_[static_cast<std::size_t>(state)]; }
  // Factor that multiplies the minimum rate and divides the time limits: 1 while memory and descriptors
  // suffice, up to 4 as they run out.
  double strictness() const;

 private:
  // `now` without the time during which the process was paused.
  Nanos effective_time(Nanos now);
  Input classify(ConnectionAccount& account, const ConnectionProgress& progress, Nanos at);
  void apply_input(ConnectionAccount& account, Input input, Nanos at);
  void enter_state(ConnectionAccount& account, State next);
  void stop_watching(ConnectionAccount& account);
  double rate(const ConnectionAccount::Flow& flow, Nanos at) const;
  bool unread_limit_reached(const ConnectionAccount& account, std::size_t unread_bytes, Nanos at) const;
  bool exceeds_balancer_share(const ConnectionAccount::Balancer& balancer) const;
  double waiting_cost(const ConnectionAccount& account, Nanos at) const;

  SlowClientOptions options_;
  SlowClientLimits limits_;
  ConnectionAccount::Balancers balancers_;
  std::list<ConnectionAccount*> watched_;  // by next evaluation; the interval is the same for all
  std::list<ConnectionAccount*> slow_;     // in kFinalWarning or kWriteStalled, longest first
  std::size_t bytes_ = 0;
  std::size_t connections_ = 0;
  std::size_t counts_[static_cast<std::size_t>(State::kRemoved) + 1] = {};
  Nanos process_pause_total_ = 0;  // total time that the process was paused, subtracted from each time
};

}  // namespace myrtlecroft::peers
