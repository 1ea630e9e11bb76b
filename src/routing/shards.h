// Assigns each shard of the idempotency keys to the one server that may run requests with its keys.
//
// Only the server that ran a key knows it. Each shard therefore has one owner, and before the owner changes,
// the shard is closed and no server may run its keys: first until every proxy is known to have applied the
// closure, then for as long as an attempt may still be retried and run. A retry thus reaches either the
// server that ran the first attempt, or a new owner after the deduplication window is over. Owned by Router,
// called on its thread. No I/O; the time is passed in.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "routing/rendezvous.h"
#include "routing/server_registry.h"

namespace myrtlecroft::routing {

// The state of one shard; only an owned shard is open.
enum class ShardState {
  kOwned,
  kClosing,      // closed in publications; not all proxies are known to have applied one
  kQuarantined,  // closed at all proxies, for a deduplication window
};

// One shard of the idempotency keys.
struct Shard {
  ShardState state = ShardState::kOwned;
  std::string owner;              // server that runs its keys, or the last that did; empty = unknown
  std::uint64_t incarnation = 0;  // of that owner when it got the shard; 0 = not known
  Nanos since = 0;                // when the shard entered its state
  std::uint64_t closed_in = 0;    // first publication with the shard closed; 0 = not published yet
  bool migrating = false;         // closed for rebalancing, though its owner is in service
};

// The shards of a fleet. The functions that take a shard index require it to be less than the shard count.
class Shards {
 public:
  // Starts without known owners: all shards close for one deduplication window at the first step.
  explicit Shards(std::size_t count) : shards_(count), owners_(count, kNoServer), winners_(count) {}
  // Returns to the initial state with `count` shards. The winners are retained if the count is unchanged,
  // since they depend on the servers alone.
  void reset(std::size_t count);
  // Opens each shard at its winner at once. Only before the first step, and only if no snapshot was ever
  // served for this fleet, so that no key can have run anywhere.
  void assign_initial_owners(const ServerRegistry& registry);
  // Restores a shard from before a restart. Only before the first step.
  void restore(std::size_t shard_index, Shard shard) {
    shards_[shard_index] = std::move(shard);
    layout_generation_ = 0;
  }

  struct StepOptions {
    Nanos now = 0;
    Nanos quarantine = 0;       // how long a closed shard stays in quarantine; 0 = no class needs owners
    double max_migrating = 0;   // share of the shards that may be closed at once to rebalance the load
    std::uint64_t applied = 0;  // every proxy that may still send has applied this publication or a later one
  };
  // Applies all transitions that are due. Returns whether a shard changed its state or owner.
  bool step(const ServerRegistry& registry, const StepOptions& options);
  // Records that shards that are now closed are closed in publication `number`.
  void record_publication(std::uint64_t number);

  // Returns the owner of an open shard, or nullptr if the shard is closed or has no owner.
  const std::string* open_owner(std::size_t shard_index) const;
  // Returns the same as an index into the servers of the last step, or kNoServer.
  int open_owner_index(std::size_t shard_index) const {
    return shards_[shard_index].state == ShardState::kOwned ? owners_[shard_index] : kNoServer;
  }
  // Returns the preferred owner by rendezvous hashing, as an index into the servers of the last step.
  int winner(std::size_t shard_index) const { return winners_.winner(shard_index); }
  const std::vector<Shard>& all() const { return shards_; }
  // Returns the number of closed shards.
  std::size_t closed() const;

 private:
  using Servers = std::vector<ServerStatus>;
  enum class Event { kNone, kOwnerOutOfService, kOwnerReturned, kRebalance, kAppliedByAll, kQuarantineOver };
  struct Transition {
    ShardState state;
    Event event;
    ShardState next;
    void (Shards::*action)(std::size_t shard_index, const Servers& servers);
  };
  static const std::vector<Transition> kTransitions;

  Event next_event(std::size_t shard_index, const Servers& servers, const StepOptions& options) const;
  void learn_incarnation(std::size_t shard_index, const Servers& servers);
  void resolve_owner_indices(const ServerRegistry& registry);
  // Actions.
  void close(std::size_t shard_index, const Servers& servers);
  void close_to_migrate(std::size_t shard_index, const Servers& servers);
  void reopen(std::size_t shard_index, const Servers& servers);
  void quarantine(std::size_t shard_index, const Servers& servers);
  void transfer(std::size_t shard_index, const Servers& servers);

  std::vector<Shard> shards_;
  std::vector<int> owners_;  // owner of each shard as an index into the servers, or kNoServer
  Rendezvous winners_;
  std::uint64_t layout_generation_ = 0;  // of the servers that `owners_` refers to; 0: look up again
  Nanos now_ = 0;
  std::size_t migrating_ = 0;  // shards that are closed for rebalancing
};

}  // namespace myrtlecroft::routing
