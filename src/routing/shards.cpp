#include "routing/shards.h"

#include <algorithm>

namespace myrtlecroft::routing {

const char* name_of(ShardState state) {
  constexpr const char* names[] = {"owned", "closing", "cooling"};
  return names[static_cast<std::size_t>(state)];
}

// An owner that is only unheard of, and comes back as the life it was, still knows its keys: the shard opens
// at once. One that lost them is treated like any other server.
const std::vector<Shards::Step> Shards::kSteps = {
    {ShardState::kOwned, Input::kOwnerOut, ShardState::kClosing, &Shards::close},
    {ShardState::kOwned, Input::kEvenOut, ShardState::kClosing, &Shards::move},
    {ShardState::kClosing, Input::kOwnerBack, ShardState::kOwned, &Shards::reopen},
    {ShardState::kClosing, Input::kAllApplied, ShardState::kQuarantined, &Shards::cool},
    {ShardState::kQuarantined, Input::kOwnerBack, ShardState::kOwned, &Shards::reopen},
    {ShardState::kQuarantined, Input::kCooled, ShardState::kOwned, &Shards::hand_over},
};

// Owners are kept by name where they are agreed on or kept on disk, and looked up once for each fleet file.
void Shards::find_owners(const ServerRegistry& registry) {
  if (layout_ == registry.layout()) return;
  layout_ = registry.layout();
  for (std::size_t at = 0; at < shards_.size(); ++at) {
    owners_[at] = shards_[at].owner.empty() ? kNobody : registry.place_of(shards_[at].owner);
  }
}

Shards::Input Shards::input_of(std::size_t at, const std::vector<ServerStatus>& registry,
                               const Terms& options, std::uint64_t applied) {
  Shard& shard = shards_[at];
  auto server = [&](int place) {
    return place == kNobody ? nullptr : &registry[static_cast<std::size_t>(place)];
  };
  const ServerStatus* owner = server(owners_[at]);
  successor_place_ = winners_.winner(at);
  successor_ = server(successor_place_);
  // A life that is learned of only now is the one that had the shard from the start.
  if (owner && shard.incarnation == 0 && shard.state == ShardState::kOwned)
    shard.incarnation = owner->incarnation;
  bool knows_keys =
      owner && owner->in_service() && shard.incarnation != 0 && owner->incarnation == shard.incarnation;
  switch (shard.state) {
    case ShardState::kOwned: {
      if (!owner || !owner->in_service() ||
          (shard.incarnation != 0 && owner->incarnation != shard.incarnation)) {
        return Input::kOwnerOut;
      }
      // One whose load is still cut for being new or cold takes no more over.
      bool ready = successor_ && successor_ != owner && successor_->state == ServerState::kServing;
      auto max = static_cast<std::size_t>(options.max_migrating * static_cast<double>(shards_.size()));
      return ready && moving_ < max ? Input::kEvenOut : Input::kNone;
    }
    case ShardState::kClosing:
      if (knows_keys && !shard.moves) return Input::kOwnerBack;
      return shard.closed_in != 0 && applied >= shard.closed_in ? Input::kAllApplied : Input::kNone;
    case ShardState::kQuarantined:
      if (knows_keys && !shard.moves) return Input::kOwnerBack;
      if (now_ - shard.since < options.window) return Input::kNone;
      return successor_ ? Input::kCooled : Input::kNone;
  }
  return Input::kNone;
}

void Shards::close(Shard& shard) { shard.closed_in = 0; }

void Shards::move(Shard& shard) {
  shard.closed_in = 0;
  shard.moves = true;
  ++moving_;
}

void Shards::hand_over(Shard& shard) {
  owners_[static_cast<std::size_t>(&shard - shards_.data())] = successor_place_;
  shard.owner = successor_->node.name;
  shard.incarnation = successor_->incarnation;
  shard.closed_in = 0;
  shard.moves = false;
}

void Shards::reset(std::size_t count) {
  if (count != shards_.size()) {
    *this = Shards(count);
    return;
  }
  shards_.assign(count, Shard{});
  layout_ = 0;
}

void Shards::first_owners(const ServerRegistry& registry) {
  find_owners(registry);
  winners_.follow(registry);
  for (std::size_t at = 0; at < shards_.size(); ++at) {
    successor_place_ = winners_.winner(at);
    if (successor_place_ == kNobody) continue;
    successor_ = &registry.all()[static_cast<std::size_t>(successor_place_)];
    hand_over(shards_[at]);
  }
}

bool Shards::step(const ServerRegistry& registry, const Terms& options, std::uint64_t applied, Nanos now) {
  now_ = std::max(now_, now);
  find_owners(registry);
  if (options.window == 0) return false;
  moving_ = static_cast<std::size_t>(
      std::count_if(shards_.begin(), shards_.end(), [](const Shard& shard) { return shard.moves; }));
  winners_.follow(registry);
  bool changed = false;
  for (std::size_t at = 0; at < shards_.size(); ++at) {
    Input input = input_of(at, registry.all(), options, applied);
    Shard& shard = shards_[at];
    if (input == Input::kNone) continue;
    for (const Step& row : kSteps) {
      if (row.state != shard.state || row.input != input) continue;
      shard.state = row.next;
      shard.since = now_;
      (this->*row.idempotency)(shard);
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

const std::string* Shards::open_at(std::size_t at) const {
  const Shard& shard = shards_[at];
  return shard.state == ShardState::kOwned && !shard.owner.empty() ? &shard.owner : nullptr;
}

std::size_t Shards::closed() const {
  return static_cast<std::size_t>(std::count_if(
      shards_.begin(), shards_.end(), [](const Shard& shard) { return shard.state != ShardState::kOwned; }));
}

}  // namespace myrtlecroft::routing
