// Runs the decisions of a step in order and restores state after a restart or a change of the leader.
#include "routing/router.h"

namespace myrtlecroft::routing {
namespace {

Shard restored_shard(const PersistedState::Owner& owner) {
  return {.state = owner.open ? ShardState::kOwned : ShardState::kClosing,
          .owner = owner.node,
          .incarnation = owner.incarnation};
}

// Takes servers out of a restored snapshot's rotation that the current fleet file does not name, or names
// with another address.
void exclude_unknown_servers(Snapshot& restored, const ServerRegistry& registry) {
  for (NodeRoute& node : restored.nodes) {
    const ServerStatus* server = registry.server(node.name);
    const fleet::Node* known = server ? &server->node : nullptr;
    if (!known || known->host != node.host || known->port != node.port) node.health = Health::kOutOfRotation;
    if (node.health == Health::kOutOfRotation) node.weight = 0;
  }
  for (int& owner : restored.shards) {
    if (owner != kClosed && restored.nodes[static_cast<std::size_t>(owner)].health == Health::kOutOfRotation)
      owner = kClosed;
  }
}

}  // namespace

Router::Router(fleet::Fleet fleet, std::optional<PersistedState> persisted, bool first_start, Nanos now,
               ServerRegistry::Log log)
    : fleet_(std::move(fleet)), registry_(fleet_, now, log), shards_(fleet_.shards()), log_(std::move(log)) {
  if (!persisted) {
    if (first_start) shards_.assign_initial_owners(registry_);
    return;
  }
  for (const PersistedState::Node& node : persisted->nodes) registry_.restore(node);
  // With another number of shards it is unknown which server ran which key: all shards close for a window.
  if (persisted->shards.size() == fleet_.shards()) {
    for (std::size_t shard_index = 0; shard_index < persisted->shards.size(); ++shard_index)
      shards_.restore(shard_index, restored_shard(persisted->shards[shard_index]));
  }
  if (std::optional<SnapshotError> error = restore_snapshot(std::move(persisted->snapshot))) {
    log_("restored snapshot is invalid with the current fleet file and is discarded: " + error->message());
  }
}

std::optional<SnapshotError> Router::restore_snapshot(Snapshot snapshot) {
  exclude_unknown_servers(snapshot, registry_);
  std::optional<SnapshotError> error = find_error(snapshot);
  if (!error) restored_ = std::move(snapshot);
  restored_published_ = false;
  return error;
}

void Router::update_fleet(fleet::Fleet fleet, Nanos now) {
  bool shard_count_changed = fleet.shards() != fleet_.shards();
  fleet_ = std::move(fleet);
  registry_.update_fleet(fleet_, now);
  if (shard_count_changed) shards_ = Shards(fleet_.shards());
}

Nanos Router::quarantine() const {
  Nanos longest = fleet_.longest_deduplication_window();
  return longest > 0 ? std::max(longest + quarantine_.clock_margin, quarantine_.min) : 0;
}

void Router::reset(bool first_start) {
  shards_.reset(fleet_.shards());
  if (first_start) shards_.assign_initial_owners(registry_);
  published_.reset();
  restored_.reset();
  published_at_ = 0;
}

void Router::resume(const std::vector<PersistedState::Node>& nodes, std::vector<Shard> shards,
                    std::shared_ptr<const PublishedSnapshot> published) {
  for (const PersistedState::Node& node : nodes) {
    const ServerStatus* known = registry_.server(node.name);
    if (known && known->last_report_at == 0) registry_.restore(node);
  }
  // With another number of shards it is unknown which server ran which key.
  bool shard_count_unchanged = shards.size() == fleet_.shards();
  shards_.reset(fleet_.shards());
  for (std::size_t shard_index = 0; shard_count_unchanged && shard_index < shards.size(); ++shard_index)
    shards_.restore(shard_index, std::move(shards[shard_index]));
  published_ = std::move(published);
  published_layout_generation_ = 0;
  restored_.reset();
  last_error_.reset();
  if (!shard_count_unchanged || !published_ || registry_.view() != ConnectivityState::kRestoring) return;
  restore_snapshot(published_->snapshot);
}

void Router::decide(Nanos now, Nanos agreed_now) {
  const bool connected = registry_.view() == ConnectivityState::kConnected;
  shards_.step(registry_, {.now = agreed_now,
                           .quarantine = quarantine(),
                           .max_migrating = connected ? fleet_.bounds.max_migrating : 0,
                           .applied = applied_});
  if (connected) admission_.step(fleet_, registry_, now);
}

std::shared_ptr<const PublishedSnapshot> Router::step(Nanos now, Nanos agreed_now) {
  registry_.step(now);
  const bool serves_restored = registry_.view() == ConnectivityState::kRestoring && restored_;
  if (!serves_restored) {
    restored_.reset();
    decide(now, agreed_now);
  }
  if (serves_restored ? restored_published_ : publication_is_current()) {
    shards_.record_publication(published_->number);
    return nullptr;
  }
  const Snapshot* before = published_ ? &published_->snapshot : nullptr;
  return publish(serves_restored ? *restored_ : build_snapshot(inputs(), before), now);
}

// The same layout generation means the same fleet file, and so the same settings in the snapshot.
bool Router::publication_is_current() const {
  return published_ && published_layout_generation_ == registry_.layout_generation() &&
         published_admitted_ == admission_.admitted() && is_current(published_->snapshot, inputs());
}

std::shared_ptr<const PublishedSnapshot> Router::publish(Snapshot next, Nanos now) {
  if (published_ && next == published_->snapshot) {
    record_published_inputs();
    shards_.record_publication(published_->number);
    return nullptr;
  }
  if (published_ && now - published_at_ < fleet_.bounds.publish_interval) return nullptr;
  if (std::optional<SnapshotError> error = find_error(next)) {
    if (error != last_error_)
      log_("snapshot rejected, the last publication stays in use: " + error->message());
    last_error_ = std::move(error);
    return nullptr;
  }
  last_error_.reset();
  published_at_ = now;
  std::uint64_t number = published_ ? published_->number + 1 : 1;
  published_ = std::make_shared<const PublishedSnapshot>(PublishedSnapshot{number, std::move(next)});
  record_published_inputs();
  if (!restored_) shards_.record_publication(number);
  return published_;
}

void Router::record_published_inputs() {
  restored_published_ = restored_.has_value();
  published_layout_generation_ = restored_ ? 0 : registry_.layout_generation();
  published_admitted_ = admission_.admitted();
}

PersistedState Router::persisted_state() const {
  PersistedState out;
  out.nodes.reserve(registry_.all().size());
  out.shards.reserve(shards_.all().size());
  for (const ServerStatus& server : registry_.all()) {
    out.nodes.push_back({.name = server.node.name,
                         .state = server.state,
                         .incarnation = server.incarnation,
                         .weight = server.weight,
                         .flaps = server.flaps,
                         .version = server.version});
  }
  for (std::size_t shard_index = 0; shard_index < shards_.all().size(); ++shard_index) {
    const Shard& shard = shards_.all()[shard_index];
    out.shards.push_back({shard.owner, shard.incarnation, shards_.open_owner(shard_index) != nullptr});
  }
  if (published_) out.snapshot = published_->snapshot;
  return out;
}

}  // namespace myrtlecroft::routing
