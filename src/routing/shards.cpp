// The table of shard states and the step that walks it for each shard.
#include "routing/shards.h"

#include <algorithm>

namespace myrtlecroft::routing {
namespace {

const ServerStatus* server_at(const std::vector<ServerStatus>& servers, int place) {
  return place == kNoServer ? nullptr : &servers[static_cast<std::size_t>(place)];
}

}  // namespace

// An owner that was only silent, and comes back as the same incarnation, still knows its keys: the shard
// opens at once. One that lost them is treated like any other server.
const std::vector<Shards::Row> Shards::kRows = {
    {ShardState::kOwned, Event::kOwnerOut, ShardState::kClosing, &Shards::close},
    {ShardState::kOwned, Event::kRebalance, ShardState::kClosing, &Shards::close_to_migrate},
    {ShardState::kClosing, Event::kOwnerBack, ShardState::kOwned, &Shards::reopen},
    {ShardState::kClosing, Event::kAppliedByAll, ShardState::kQuarantined, &Shards::quarantine},
    {ShardState::kQuarantined, Event::kOwnerBack, ShardState::kOwned, &Shards::reopen},
    {ShardState::kQuarantined, Event::kQuarantineOver, ShardState::kOwned, &Shards::transfer},
};

// Owners are agreed on and stored by name, and looked up once for each fleet file.
void Shards::find_owners(const ServerRegistry& registry) {
  if (layout_ == registry.layout_generation()) return;
  layout_ = registry.layout_generation();
  for (std::size_t at = 0; at < shards_.size(); ++at) {
    owners_[at] = shards_[at].owner.empty() ? kNoServer : registry.index_of(shards_[at].owner);
  }
}

// An incarnation that is learned only now is the one that has had the shard from the start.
void Shards::learn_incarnation(std::size_t at, const Servers& servers) {
  const ServerStatus* owner = server_at(servers, owners_[at]);
  Shard& shard = shards_[at];
  if (owner && shard.incarnation == 0 && shard.state == ShardState::kOwned)
    shard.incarnation = owner->incarnation;
}

Shards::Event Shards::event_of(std::size_t at, const Servers& servers, const StepOptions& options) const {
  const Shard& shard = shards_[at];
  const ServerStatus* owner = server_at(servers, owners_[at]);
  const ServerStatus* successor = server_at(servers, winners_.winner(at));
  const bool in_service = owner && owner->in_service();
  const bool same_incarnation = owner && owner->incarnation == shard.incarnation;
  if (shard.state == ShardState::kOwned) {
    if (!in_service || (shard.incarnation != 0 && !same_incarnation)) return Event::kOwnerOut;
    // A successor whose weight is still reduced, in slow start or warming up, gets no shards from others.
    bool ready = successor && successor != owner && successor->state == ServerState::kServing;
    auto max = static_cast<std::size_t>(options.max_migrating * static_cast<double>(shards_.size()));
    return ready && migrating_ < max ? Event::kRebalance : Event::kNone;
  }
  const bool has_keys = in_service && shard.incarnation != 0 && same_incarnation;
  if (has_keys && !shard.migrating) return Event::kOwnerBack;
  if (shard.state == ShardState::kClosing) {
    bool applied = shard.closed_in != 0 && options.applied >= shard.closed_in;
    return applied ? Event::kAppliedByAll : Event::kNone;
  }
  bool over = now_ - shard.since >= options.quarantine;
  return over && successor ? Event::kQuarantineOver : Event::kNone;
}

void Shards::close(std::size_t at, const Servers&) { shards_[at].closed_in = 0; }

void Shards::close_to_migrate(std::size_t at, const Servers&) {
  shards_[at].closed_in = 0;
  shards_[at].migrating = true;
  ++migrating_;
}

void Shards::reopen(std::size_t at, const Servers&) { shards_[at].closed_in = 0; }

void Shards::quarantine(std::size_t, const Servers&) {}

void Shards::transfer(std::size_t at, const Servers& servers) {
  Shard& shard = shards_[at];
  owners_[at] = winners_.winner(at);
  const ServerStatus& successor = servers[static_cast<std::size_t>(owners_[at])];
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
  layout_ = 0;
}

void Shards::assign_initial_owners(const ServerRegistry& registry) {
  find_owners(registry);
  winners_.follow(registry);
  for (std::size_t at = 0; at < shards_.size(); ++at) {
    if (winners_.winner(at) != kNoServer) transfer(at, registry.all());
  }
}

bool Shards::step(const ServerRegistry& registry, const StepOptions& options) {
  now_ = std::max(now_, options.now);
  find_owners(registry);
  if (options.quarantine == 0) return false;
  migrating_ = static_cast<std::size_t>(
      std::count_if(shards_.begin(), shards_.end(), [](const Shard& shard) { return shard.migrating; }));
  winners_.follow(registry);
  bool changed = false;
  for (std::size_t at = 0; at < shards_.size(); ++at) {
    learn_incarnation(at, registry.all());
    Event event = event_of(at, registry.all(), options);
    if (event == Event::kNone) continue;
    Shard& shard = shards_[at];
    for (const Row& row : kRows) {
      if (row.state != shard.state || row.event != event) continue;
      shard.state = row.next;
      shard.since = now_;
      (this->*row.action)(at, registry.all());
      changed = true;
      break;
    }
  }
  return changed;
}

void Shards::published(std::uint64_t number) {
  for (Shard& shard : shards_) {
    if (shard.state == ShardState::kClosing && shard.closed_in == 0) shard.closed_in = number;
  }
}

const std::string* Shards::open_owner(std::size_t at) const {
  const Shard& shard = shards_[at];
  return shard.state == ShardState::kOwned && !shard.owner.empty() ? &shard.owner : nullptr;
}

std::size_t Shards::closed() const {
  return static_cast<std::size_t>(std::count_if(
      shards_.begin(), shards_.end(), [](const Shard& shard) { return shard.state != ShardState::kOwned; }));
}

}  // namespace myrtlecroft::routing
