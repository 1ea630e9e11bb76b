#include "routing/router.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

#include "routing/retry_policy.h"

namespace myrtlecroft::routing {
namespace {

constexpr double kWeightScale = 100;          // told weights: hundredths of a capacity of one
constexpr double kWeightWorthTelling = 0.05;  // of the weight: each change is a push to every proxy
constexpr double kInFlightRoom = 1.5;  // proxies are uneven: each gets this much more than its even part
constexpr double kMinInFlight = 4;     // for each proxy: fewer would bind before the server does
constexpr double kInFlightWorthTelling = 0.25;
constexpr double kAdviceShare = 0.25;  // of the latency objective, to stay away after a rejection by a proxy

// The servers of a snapshot by name. Where it was drawn over the same fleet file, a server is found at its
// place.
class RoutesBefore {
 public:
  explicit RoutesBefore(const Snapshot* snapshot) : snapshot_(snapshot) {}

  const NodeRoute* find(const std::string& name, std::size_t likely_place) {
    if (!snapshot_) return nullptr;
    const std::vector<NodeRoute>& nodes = snapshot_->nodes;
    if (likely_place < nodes.size() && nodes[likely_place].name == name) return &nodes[likely_place];
    if (by_name_.empty()) {
      for (const NodeRoute& node : nodes) by_name_.emplace(node.name, &node);
    }
    auto found = by_name_.find(name);
    return found == by_name_.end() ? nullptr : found->second;
  }

 private:
  const Snapshot* snapshot_;
  std::unordered_map<std::string, const NodeRoute*> by_name_;  // only looked up
};

// The figure told before, where the new one differs by less than is worth telling.
std::uint32_t steady(double value, std::uint32_t before, double worth_telling) {
  auto told = static_cast<std::uint32_t>(std::max(1.0, std::round(value)));
  double old = before;
  return before > 0 && std::abs(value - old) < worth_telling * old ? before : told;
}

Shard shard_of(const PersistedState::Owner& owner) {
  return {.state = owner.open ? ShardState::kOwned : ShardState::kClosing,
          .owner = owner.node,
          .incarnation = owner.incarnation};
}

// The restored snapshot over the fleet file as it is now: servers that are gone from it take nothing.
void fit(Snapshot& restored, const ServerRegistry& registry) {
  for (NodeRoute& node : restored.nodes) {
    const ServerStatus* server = registry.server(node.name);
    const fleet::Node* known = server ? &server->node : nullptr;
    if (!known || known->host != node.host || known->port != node.port) node.health = Health::kOut;
    if (node.health == Health::kOut) node.weight = 0;
  }
  for (int& owner : restored.shards) {
    if (owner != kClosed && restored.nodes[static_cast<std::size_t>(owner)].health == Health::kOut)
      owner = kClosed;
  }
}

}  // namespace

Router::Router(fleet::Fleet fleet, std::optional<PersistedState> memory, bool first_start, Nanos now,
               ServerRegistry::Log log)
    : fleet_(std::move(fleet)), registry_(fleet_, now, log), shards_(fleet_.shards()), log_(std::move(log)) {
  if (!memory) {
    if (first_start) shards_.first_owners(registry_);
    return;
  }
  for (const PersistedState::Node& node : memory->nodes) {
    registry_.restore(node.name, node.state, node.incarnation, node.weight, node.flaps, node.version);
  }
  // With another number of shards nobody knows who ran what: they close for a window.
  if (memory->shards.size() == fleet_.shards()) {
    for (std::size_t at = 0; at < memory->shards.size(); ++at)
      shards_.restore(at, shard_of(memory->shards[at]));
  }
  std::string fault = show_again(std::move(memory->snapshot));
  if (!fault.empty()) log_("what was served before does not fit the fleet file any more: " + fault);
}

std::string Router::show_again(Snapshot snapshot) {
  fit(snapshot, registry_);
  std::string fault = fault_of(snapshot);
  if (fault.empty()) restored_ = std::move(snapshot);
  restored_shown_ = false;
  return fault;
}

void Router::fleet_changed(fleet::Fleet fleet, Nanos now) {
  bool other_shards = fleet.shards() != fleet_.shards();
  fleet_ = std::move(fleet);
  registry_.fleet_changed(fleet_, now);
  if (other_shards) shards_ = Shards(fleet_.shards());
}

std::uint32_t Router::told_weight(const ServerStatus& server, const NodeRoute* before) const {
  double whole = kWeightScale * server.node.capacity;
  double weight = kWeightScale * server.share();
  bool at_rest = weight >= whole;  // a figure that is reached for good is told as it is
  return steady(weight, before && !at_rest ? before->weight : 0, kWeightWorthTelling);
}

// What a server says it takes, its window of positions and what it runs, is what proxies together may have at
// it.
std::uint32_t Router::told_in_flight(const ServerStatus& server, const NodeRoute* before) const {
  if (server.heard_at == 0) return before ? before->in_flight : 0;
  double takes = static_cast<double>(server.report.window) + server.report.limit;
  double each = std::max(kMinInFlight, kInFlightRoom * takes / fleet_.proxies);
  return steady(each, before ? before->in_flight : 0, kInFlightWorthTelling);
}

NodeRoute Router::route_to(const ServerStatus& server, const NodeRoute* before) const {
  NodeRoute out{.name = server.node.name,
                .zone = server.node.zone,
                .host = server.node.host,
                .port = server.node.port,
                .priority = server.node.priority};
  if (before) out.in_flight = before->in_flight;
  if (server.in_service()) {
    out.health = Health::kHealthy;
    out.weight = told_weight(server, before);
    out.in_flight = told_in_flight(server, before);
  } else if (server.called_out || server.state == ServerState::kDraining) {
    out.health = Health::kDraining;
  }
  return out;
}

bool Router::shows_what_is_published() const {
  // The fleet file is the same, and with it all that stands there.
  if (!published_ || drawn_layout_ != registry_.layout()) return false;
  if (admission_.admitted() != drawn_admitted_) return false;
  const Snapshot& shown = published_->snapshot;
  for (std::size_t at = 0; at < shown.shards.size(); ++at) {
    if (shown.shards[at] != shards_.open_place(at)) return false;
  }
  for (std::size_t place = 0; place < shown.nodes.size(); ++place) {
    const NodeRoute& node = shown.nodes[place];
    if (route_to(registry_.all()[place], &node) != node) return false;
  }
  return true;
}

Snapshot Router::picture() const {
  RoutesBefore before(published_ ? &published_->snapshot : nullptr);
  Snapshot out;
  out.listener = fleet_.listener;
  out.shard_digits = fleet_.bounds.shard_digits;
  out.retry_budget = fleet_.bounds.retry_budget;
  out.expected_proxies = fleet_.proxies;
  out.closed_for = fleet_.longest_window();
  out.nodes.reserve(registry_.all().size());
  out.service_listeners = fleet_.service_listeners;
  for (const ServerStatus& server : registry_.all()) {
    out.nodes.push_back(route_to(server, before.find(server.node.name, out.nodes.size())));
  }
  for (std::size_t i = 0; i < fleet_.request_classes.size(); ++i) {
    const fleet::RequestClass& request_class = fleet_.request_classes[i];
    RequestClassRoute route{.name = request_class.name,
                            .path = request_class.path,
                            .idempotency = request_class.idempotency,
                            .key_header = request_class.key_header,
                            .timeout = request_class.client_timeout,
                            .retry_policy = retry_policy_for(request_class, fleet_.bounds)};
    if (i < admission_.admitted().size()) route.admitted = admission_.admitted()[i];
    route.retry_after =
        static_cast<Nanos>(kAdviceShare * static_cast<double>(request_class.latency_objective));
    route.servers = request_class.servers;  // members stand in the order of the file
    route.subset_size = request_class.subset_size;
    out.request_classes.push_back(std::move(route));
  }
  for (const fleet::Tenant& tenant : fleet_.tenants) {
    out.tenants.push_back({tenant.name, static_cast<std::uint32_t>(std::lround(tenant.share * 10'000))});
  }
  // Servers stand in the order of the members.
  static_assert(kClosed == kNobody);
  for (std::size_t at = 0; at < shards_.all().size(); ++at) out.shards.push_back(shards_.open_place(at));
  return out;
}

void Router::reset(bool first_start) {
  shards_.reset(fleet_.shards());
  if (first_start) shards_.first_owners(registry_);
  published_.reset();
  restored_.reset();
  published_at_ = 0;
}

void Router::resume(const std::vector<PersistedState::Node>& nodes, std::vector<Shard> shards,
                    std::shared_ptr<const Published> published) {
  for (const PersistedState::Node& node : nodes) {
    const ServerStatus* known = registry_.server(node.name);
    if (known && known->heard_at == 0)
      registry_.restore(node.name, node.state, node.incarnation, node.weight, node.flaps, node.version);
  }
  // With another number of shards nobody knows who ran what.
  bool same = shards.size() == fleet_.shards();
  shards_.reset(fleet_.shards());
  for (std::size_t at = 0; same && at < shards.size(); ++at) shards_.restore(at, std::move(shards[at]));
  published_ = std::move(published);
  drawn_layout_ = 0;
  restored_.reset();
  fault_.clear();
  if (!same || !published_ || registry_.view() != View::kRestoring) return;
  show_again(published_->snapshot);
}

std::shared_ptr<const Published> Router::step(Nanos now, Nanos agreed_now) {
  registry_.step(now);
  const bool shows_restored = registry_.view() == View::kRestoring && restored_;
  if (!shows_restored) {
    restored_.reset();
    Shards::Terms options{.window = window(), .max_migrating = fleet_.bounds.max_migrating};
    if (registry_.view() != View::kClear) options.max_migrating = 0;
    shards_.step(registry_, options, applied_, agreed_now);
    if (registry_.view() == View::kClear) admission_.step(fleet_, registry_, now);
  }
  if (shows_restored ? restored_shown_ : shows_what_is_published()) {
    shards_.published(published_->number);
    return nullptr;
  }
  return publish(shows_restored ? *restored_ : picture(), now);
}

// What differs from what is published, where it is fit to be served.
std::shared_ptr<const Published> Router::publish(Snapshot next, Nanos now) {
  if (published_ && next == published_->snapshot) {
    note_drawn();
    shards_.published(published_->number);
    return nullptr;
  }
  if (published_ && now - published_at_ < fleet_.bounds.settle) return nullptr;
  if (std::string fault = fault_of(next); !fault.empty()) {
    if (fault != fault_) log_("a snapshot is not fit to be served, the last one stays: " + fault);
    fault_ = fault;
    return nullptr;
  }
  fault_.clear();
  published_at_ = now;
  std::uint64_t number = published_ ? published_->number + 1 : 1;
  published_ = std::make_shared<const Published>(Published{number, std::move(next)});
  note_drawn();
  if (!restored_) shards_.published(number);
  return published_;
}

// `published_` is what was drawn in this step.
void Router::note_drawn() {
  restored_shown_ = restored_.has_value();
  drawn_layout_ = restored_ ? 0 : registry_.layout();
  drawn_admitted_ = admission_.admitted();
}

PersistedState Router::memory() const {
  PersistedState out;
  out.nodes.reserve(registry_.all().size());
  out.shards.reserve(shards_.all().size());
  for (const ServerStatus& server : registry_.all()) {
    out.nodes.push_back(
        {server.node.name, server.state, server.incarnation, server.weight, server.flaps, server.version});
  }
  for (std::size_t at = 0; at < shards_.all().size(); ++at) {
    const Shard& shard = shards_.all()[at];
    out.shards.push_back({shard.owner, shard.incarnation, shards_.open_at(at) != nullptr});
  }
  if (published_) out.snapshot = published_->snapshot;
  return out;
}

}  // namespace myrtlecroft::routing
