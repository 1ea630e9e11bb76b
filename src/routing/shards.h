// Which server may run deduplicated requests of which keys.
//
// A server knows the keys that ran at it, and no other server does. So each shard of the keys has one owner,
// and it changes owner only through a time in which nobody may run its keys: until every proxy is known to
// have the closed shard, and from then for as long as a try may come again and run. A repeat then finds
// either the server that ran the first try, or a window that is over. No I/O; the time comes with each input.
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
  kQuarantined,  // closed at all proxies, for a window
};
const char* name_of(ShardState state);

struct Shard {
  ShardState state = ShardState::kOwned;
  std::string owner;              // who runs its keys, or was the last to; empty = unknown
  std::uint64_t incarnation = 0;  // of that owner, when it got the shard; 0 = not known
  Nanos since = 0;                // in this state
  std::uint64_t closed_in = 0;    // a publication that has it closed; 0 = not published yet
  bool moves = false;             // closed to go elsewhere, though its owner could go on
};

class Shards {
 public:
  // Nothing is known of who ran what: all shards close for a window at the first step.
  explicit Shards(std::size_t count) : shards_(count), owners_(count, kNobody), winners_(count) {}
  // As if made anew, for so many; the winners, which hang on the members alone, are kept where they can be.
  void reset(std::size_t count);
  // Only before the first step: nothing ever ran by what another control service published.
  void first_owners(const ServerRegistry& registry);
  // The same: what was known before a restart.
  void restore(std::size_t at, Shard shard) {
    shards_[at] = std::move(shard);
    layout_ = 0;
  }

  struct Terms {
    Nanos window = 0;          // 0 = no group needs owners
    double max_migrating = 0;  // share of the shards that may be closed to even out the load
  };
  // Once a step. `applied` is the publication that every proxy which may still send has, or a later one.
  // True where an owner or a closure changed.
  bool step(const ServerRegistry& registry, const Terms& options, std::uint64_t applied, Nanos now);
  // What is closed now is closed in this publication.
  void published(std::uint64_t number);

  // A shard's owner where it may run its keys, else nullptr.
  const std::string* open_at(std::size_t at) const;
  // The same as a place among the members of the last step, else kNobody.
  int open_place(std::size_t at) const {
    return shards_[at].state == ShardState::kOwned ? owners_[at] : kNobody;
  }
  // Who would own a shard were nothing closed for it, as a place among the members of the last step.
  int winner(std::size_t at) const { return winners_.winner(at); }
  const std::vector<Shard>& all() const { return shards_; }
  std::size_t closed() const;

 private:
  enum class Input { kNone, kOwnerOut, kOwnerBack, kEvenOut, kAllApplied, kCooled };
  struct Step {
    ShardState state;
    Input input;
    ShardState next;
    void (Shards::*idempotency)(Shard&);
  };
  static const std::vector<Step> kSteps;

  Input input_of(std::size_t at, const std::vector<ServerStatus>& registry, const Terms& options,
                 std::uint64_t applied);
  void close(Shard& shard);
  void move(Shard& shard);
  void reopen(Shard& shard) { shard.closed_in = 0; }
  void cool(Shard&) {}
  void hand_over(Shard& shard);
  void find_owners(const ServerRegistry& registry);

  std::vector<Shard> shards_;
  std::vector<int> owners_;  // of each shard, as a place among the members; kNobody: none of them
  Rendezvous winners_;
  std::uint64_t layout_ = 0;  // of the members whose places `owners_` has; 0: to be found again
  Nanos now_ = 0;
  std::size_t moving_ = 0;         // closed to even out the load
  int successor_place_ = kNobody;  // the winner of the shard that is looked at
  const ServerStatus* successor_ = nullptr;
};

}  // namespace myrtlecroft::routing
