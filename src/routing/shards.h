// Which server may run requests with an idempotency key, by shard of the keys.
//
// A server knows the keys that ran at it, and no other server does. So each shard of the keys has one owner,
// and it changes owner only through a time in which nobody may run its keys: until every proxy is known to
// have the closed shard, and from then for as long as an attempt may be retried and run. A retry then finds
// either the server that ran the first attempt, or a deduplication window that is over.
// Owned by Router, called on its thread. No I/O; the time comes with each input.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "routing/rendezvous.h"
#include "routing/server_registry.h"

namespace myrtlecroft::routing {

enum class ShardState {
  kOwned,
  kClosing,      // closed in what is published; not all proxies are known to have it
  kQuarantined,  // closed at all proxies, for a deduplication window
};

struct Shard {
  ShardState state = ShardState::kOwned;
  std::string owner;              // who runs its keys, or was the last to; empty = unknown
  std::uint64_t incarnation = 0;  // of that owner, when it got the shard; 0 = not known
  Nanos since = 0;                // in this state
  std::uint64_t closed_in = 0;    // the first publication that has it closed; 0 = not published yet
  bool migrating = false;         // closed to get another owner, though its owner could go on
};

class Shards {
 public:
  // Nothing is known of who ran what: all shards close for a window at the first step.
  explicit Shards(std::size_t count) : shards_(count), owners_(count, kNoServer), winners_(count) {}
  // The same for so many shards; what depends on the servers alone is retained where it can be.
  void reset(std::size_t count);
  // Only before the first step, and only where no snapshot was ever served for this fleet: no key can have
  // run anywhere, and each shard is open at once.
  void assign_initial_owners(const ServerRegistry& registry);
  // Only before the first step: what was known before a restart.
  void restore(std::size_t at, Shard shard) {
    shards_[at] = std::move(shard);
    layout_ = 0;
  }

  struct StepOptions {
    Nanos now = 0;
    Nanos quarantine = 0;       // how long a closed shard stays closed; 0 = no request class needs owners
    double max_migrating = 0;   // share of the shards that may be closed to even out the load
    std::uint64_t applied = 0;  // every proxy that may still send has this publication, or a later one
  };
  // True where an owner changed, or a shard closed or opened.
  bool step(const ServerRegistry& registry, const StepOptions& options);
  // What is closed now is closed in this publication.
  void published(std::uint64_t number);

  // A shard's owner where it may run its keys, else nullptr.
  const std::string* open_owner(std::size_t at) const;
  // The same as a place among the servers of the last step, else kNoServer.
  int open_owner_place(std::size_t at) const {
    return shards_[at].state == ShardState::kOwned ? owners_[at] : kNoServer;
  }
  // Who would own a shard if it had no owner yet, as a place among the servers of the last step.
  int winner(std::size_t at) const { return winners_.winner(at); }
  const std::vector<Shard>& all() const { return shards_; }
  // How many are closed.
  std::size_t closed() const;

 private:
  using Servers = std::vector<ServerStatus>;
  enum class Event { kNone, kOwnerOut, kOwnerBack, kRebalance, kAppliedByAll, kQuarantineOver };
  struct Row {
    ShardState state;
    Event event;
    ShardState next;
    void (Shards::*action)(std::size_t at, const Servers& servers);
  };
  static const std::vector<Row> kRows;

  Event event_of(std::size_t at, const Servers& servers, const StepOptions& options) const;
  void learn_incarnation(std::size_t at, const Servers& servers);
  void find_owners(const ServerRegistry& registry);
  // Actions.
  void close(std::size_t at, const Servers& servers);
  void close_to_migrate(std::size_t at, const Servers& servers);
  void reopen(std::size_t at, const Servers& servers);
  void quarantine(std::size_t at, const Servers& servers);
  void transfer(std::size_t at, const Servers& servers);

  std::vector<Shard> shards_;
  std::vector<int> owners_;  // of each shard, as a place among the servers; kNoServer: none of them
  Rendezvous winners_;
  std::uint64_t layout_ = 0;  // of the servers whose places `owners_` has; 0: to be looked up again
  Nanos now_ = 0;
  std::size_t migrating_ = 0;  // shards, in this step
};

}  // namespace myrtlecroft::routing
