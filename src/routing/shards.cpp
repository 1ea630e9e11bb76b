// The transition table of shard states and the step that applies it to each shard.
#include "routing/shards.h"

#include <algorithm>

namespace myrtlecroft::routing {
namespace {

const ServerStatus* server_at(const std::vector<ServerStatus>& servers, int server_index) {
  return server_index == kNoServer ? nullptr : &servers[static_cast<std::size_t>(server_index)];
}

}  // namespace

// An owner that was only silent and returns as the same incarnation still knows its keys, so the shard
// reopens at once. An owner that lost its keys is treated like any other server.
const std::vector<Shards::Transition> Shards::kTransitions = {
    {ShardState::kOwned, Event::kOwnerOutOfService, ShardState::kClosing, &Shards::close},
    {ShardState::kOwned, Event::kRebalance, ShardState::kClosing, &Shards::close_to_migrate},
    {ShardState::kClosing, Event::kOwnerReturned, ShardState::kOwned, &Shards::reopen},
    {ShardState::kClosing, Event::kAppliedByAll, ShardState::kQuarantined, &Shards::quarantine},
    {ShardState::kQuarantined, Event::kOwnerReturned, ShardState::kOwned, &Shards::reopen},
    {ShardState::kQuarantined, Event::kQuarantineOver, ShardState::kOwned, &Shards::transfer},
};

// Owners are replicated and stored by name; their indices are looked up once for each fleet file.
void Shards::resolve_owner_indices(const ServerRegistry& registry) {
  if (layout_generation_ == registry.layout_generation()) return;
  layout_generation_ = registry.layout_generation();
  for (std::size_t shard_index = 0; shard_index < shards_.size(); ++shard_index) {
    owners_[shard_index] =
        shards_[shard_index].owner.empty() ? kNoServer : registry.index_of(shards_[shard_index].owner);
  }
}

// Sets the incarnation of an owner whose incarnation was unknown: it has owned the shard from the start.
void Shards::learn_incarnation(std::size_t shard_index, const Servers& servers) {
  const ServerStatus* owner = server_at(servers, owners_[shard_index]);
  Shard& shard = shards_[shard_index];
  if (owner && shard.incarnation == 0 && shard.state == ShardState::kOwned)
    shard.incarnation = owner->incarnation;
}

Shards::Event Shards::next_event(std::size_t shard_index, const Servers& servers,
                                 const StepOptions& options) const {
  const Shard& shard = shards_[shard_index];
  const ServerStatus* owner = server_at(servers, owners_[shard_index]);
  const ServerStatus* successor = server_at(servers, winners_.winner(shard_index));
  const bool in_service = owner && owner->in_service();
  const bool same_incarnation = owner && owner->incarnation == shard.incarnation;
  if (shard.state == ShardState::kOwned) {
    if (!in_service || (shard.incarnation != 0 && !same_incarnation)) return Event::kOwnerOutOfService;
    // A successor in slow start or warming up, whose weight is still reduced, takes over no shards.
    bool ready = successor && successor != owner && successor->state == ServerState::kServing;
    auto max = static_cast<std::size_t>(options.max_migrating * static_cast<double>(shards_.size()));
    return ready && migrating_ < max ? Event::kRebalance : Event::kNone;
  }
  const bool has_keys = in_service && shard.incarnation != 0 && same_incarnation;
  if (has_keys && !shard.migrating) return Event::kOwnerReturned;
  if (shard.state == ShardState::kClosing) {
    bool applied = shard.closed_in != 0 && options.applied >= shard.closed_in;
    return applied ? Event::kAppliedByAll : Event::kNone;
  }
  bool over = now_ - shard.since >= options.quarantine;
  return over && successor ? Event::kQuarantineOver : Event::kNone;
}

void Shards::close(std::size_t shard_index, const Servers&) { shards_[shard_index].closed_in = 0; }

void Shards::close_to_migrate(std::size_t shard_index, const Servers&) {
  shards_[shard_index].closed_in = 0;
  shards_[shard_index].migrating = true;
  ++migrating_;
}

void Shards::reopen(std::size_t shard_index, const Servers&) { shards_[shard_index].closed_in = 0; }

void Shards::quarantine(std::size_t, const Servers&) {}

void Shards::transfer(std::size_t shard_index, const Servers& servers) {
  Shard& shard = shards_[shard_index];
  owners_[shard_index] = winners_.winner(shard_index);
  const ServerStatus& successor = servers[static_cast<std::size_t>(owners_[shard_index])];
  shard.owner = successor.node.name;
  shard.incarnation = successor.incarnation;
  shard.closed_in = 0;
  shard.migrating = false;
}

void Shards::reset(std::size_t count) {
  if (count != shards_.size()) {
    *this = Shards(count);
    return;
  }
  shards_.assign(count, Shard{});
  layout_generation_ = 0;
}

void Shards::assign_initial_owners(const ServerRegistry& registry) {
  resolve_owner_indices(registry);
  winners_.update(registry);
  for (std::size_t shard_index = 0; shard_index < shards_.size(); ++shard_index) {
    if (winners_.winner(shard_index) != kNoServer) transfer(shard_index, registry.all());
  }
}

bool Shards::step(const ServerRegistry& registry, const StepOptions& options) {
  now_ = std::max(now_, options.now);
  resolve_owner_indices(registry);
  if (options.quarantine == 0) return false;
  migrating_ = static_cast<std::size_t>(
      std::count_if(shards_.begin(), shards_.end(), [](const Shard& shard) { return shard.migrating; }));
  winners_.update(registry);
  bool changed = false;
  for (std::size_t shard_index = 0; shard_index < shards_.size(); ++shard_index) {
    learn_incarnation(shard_index, registry.all());
    Event event = next_event(shard_index, registry.all(), options);
    if (event == Event::kNone) continue;
    Shard& shard = shards_[shard_index];
    for (const Transition& transition : kTransitions) {
      if (transition.state != shard.state || transition.event != event) continue;
      shard.state = transition.next;
      shard.since = now_;
      (this->*transition.action)(shard_index, registry.all());
      changed = true;
      break;
    }
  }
  return changed;
}

void Shards::record_publication(std::uint64_t number) {
  for (Shard& shard : shards_) {
    if (shard.state == ShardState::kClosing && shard.closed_in == 0) shard.closed_in = number;
  }
}

const std::string* Shards::open_owner(std::size_t shard_index) const {
  const Shard& shard = shards_[shard_index];
  return shard.state == ShardState::kOwned && !shard.owner.empty() ? &shard.owner : nullptr;
}

std::size_t Shards::closed() const {
  return static_cast<std::size_t>(std::count_if(
      shards_.begin(), shards_.end(), [](const Shard& shard) { return shard.state != ShardState::kOwned; }));
}

}  // namespace myrtlecroft::routing
