#include "routing/router.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>

#include "routing/repeats.h"

namespace myrtlecroft::routing {
namespace {

constexpr double kWeightScale = 100;          // told weights: hundredths of a capacity of one
constexpr double kWeightWorthTelling = 0.05;  // of the weight: each change is a push to every proxy
constexpr double kInFlightRoom = 1.5;  // proxies are uneven: each gets this much more than its even part
constexpr double kLeastInFlight = 4;   // for each proxy: fewer would bind before the node does
constexpr double kInFlightWorthTelling = 0.25;
constexpr double kAdviceShare = 0.25;  // of the SLO time, to stay away after a denial by a proxy

// The nodes of a snapshot by name. Where it was drawn over the same fleet file, a node is found at its place.
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

Shard shard_of(const Memory::Owner& owner) {
  return {.state = owner.open ? ShardState::kOwned : ShardState::kClosing,
          .owner = owner.node,
          .life = owner.life};
}

// The restored picture over the fleet file as it is now: nodes that are gone from it take nothing.
void fit(Snapshot& restored, const Members& members) {
  for (NodeRoute& node : restored.nodes) {
    const Member* member = members.member(node.name);
    const fleet::Node* known = member ? &member->node : nullptr;
    if (!known || known->host != node.host || known->port != node.port) node.health = Health::kOut;
    if (node.health == Health::kOut) node.weight = 0;
  }
  for (int& owner : restored.shards) {
    if (owner != kClosed && restored.nodes[static_cast<std::size_t>(owner)].health == Health::kOut)
      owner = kClosed;
  }
}

}  // namespace

Router::Router(fleet::Fleet fleet, std::optional<Memory> memory, bool first_start, Nanos now,
               Members::Log log)
    : fleet_(std::move(fleet)), members_(fleet_, now, log), shards_(fleet_.shards()), log_(std::move(log)) {
  if (!memory) {
    if (first_start) shards_.first_owners(members_);
    return;
  }
  for (const Memory::Node& node : memory->nodes) {
    members_.restore(node.name, node.state, node.life, node.weight, node.flaps, node.version);
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
  fit(snapshot, members_);
  std::string fault = fault_of(snapshot);
  if (fault.empty()) restored_ = std::move(snapshot);
  restored_shown_ = false;
  return fault;
}

void Router::fleet_changed(fleet::Fleet fleet, Nanos now) {
  bool other_shards = fleet.shards() != fleet_.shards();
  fleet_ = std::move(fleet);
  members_.fleet_changed(fleet_, now);
  if (other_shards) shards_ = Shards(fleet_.shards());
}

std::uint32_t Router::told_weight(const Member& member, const NodeRoute* before) const {
  double whole = kWeightScale * member.node.capacity;
  double weight = kWeightScale * member.share();
  bool at_rest = weight >= whole;  // a figure that is reached for good is told as it is
  return steady(weight, before && !at_rest ? before->weight : 0, kWeightWorthTelling);
}

// What a node says it takes, its window of positions and what it runs, is what proxies together may have at
// it.
std::uint32_t Router::told_in_flight(const Member& member, const NodeRoute* before) const {
  if (member.heard_at == 0) return before ? before->in_flight : 0;
  double takes = static_cast<double>(member.report.window) + member.report.limit;
  double each = std::max(kLeastInFlight, kInFlightRoom * takes / fleet_.proxies);
  return steady(each, before ? before->in_flight : 0, kInFlightWorthTelling);
}

NodeRoute Router::route_to(const Member& member, const NodeRoute* before) const {
  NodeRoute out{.name = member.node.name,
                .zone = member.node.zone,
                .host = member.node.host,
                .port = member.node.port,
                .priority = member.node.priority};
  if (before) out.in_flight = before->in_flight;
  if (member.in_service()) {
    out.health = Health::kHealthy;
    out.weight = told_weight(member, before);
    out.in_flight = told_in_flight(member, before);
  } else if (member.called_out || member.state == State::kLeaving) {
    out.health = Health::kDraining;
  }
  return out;
}

bool Router::shows_what_is_published() const {
  // The fleet file is the same, and with it all that stands there.
  if (!published_ || drawn_layout_ != members_.layout()) return false;
  if (admission_.admitted() != drawn_admitted_) return false;
  const Snapshot& shown = published_->snapshot;
  for (std::size_t at = 0; at < shown.shards.size(); ++at) {
    if (shown.shards[at] != shards_.open_place(at)) return false;
  }
  for (std::size_t place = 0; place < shown.nodes.size(); ++place) {
    const NodeRoute& node = shown.nodes[place];
    if (route_to(members_.all()[place], &node) != node) return false;
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
  out.nodes.reserve(members_.all().size());
  out.service_listeners = fleet_.service_listeners;
  for (const Member& member : members_.all()) {
    out.nodes.push_back(route_to(member, before.find(member.node.name, out.nodes.size())));
  }
  for (std::size_t i = 0; i < fleet_.groups.size(); ++i) {
    const fleet::Group& group = fleet_.groups[i];
    GroupRoute route{.name = group.name,
                     .path = group.path,
                     .effect = group.effect,
                     .key_header = group.key_header,
                     .timeout = group.async_timeout,
                     .repeats = repeat_rule(group, fleet_.bounds)};
    if (i < admission_.admitted().size()) route.admitted = admission_.admitted()[i];
    route.stay_away = static_cast<Nanos>(kAdviceShare * static_cast<double>(group.slo_time));
    route.servers = group.servers;  // members stand in the order of the file
    route.subset_size = group.subset_size;
    out.groups.push_back(std::move(route));
  }
  for (const fleet::Customer& customer : fleet_.customers) {
    out.customers.push_back(
        {customer.name, static_cast<std::uint32_t>(std::lround(customer.share * 10'000))});
  }
  // Nodes stand in the order of the members.
  static_assert(kClosed == kNobody);
  for (std::size_t at = 0; at < shards_.all().size(); ++at) out.shards.push_back(shards_.open_place(at));
  return out;
}

void Router::begin_again(bool first_start) {
  shards_.begin_again(fleet_.shards());
  if (first_start) shards_.first_owners(members_);
  published_.reset();
  restored_.reset();
  published_at_ = 0;
}

void Router::resume(const std::vector<Memory::Node>& nodes, std::vector<Shard> shards,
                    std::shared_ptr<const Published> published) {
  for (const Memory::Node& node : nodes) {
    const Member* known = members_.member(node.name);
    if (known && known->heard_at == 0)
      members_.restore(node.name, node.state, node.life, node.weight, node.flaps, node.version);
  }
  // With another number of shards nobody knows who ran what.
  bool same = shards.size() == fleet_.shards();
  shards_.begin_again(fleet_.shards());
  for (std::size_t at = 0; same && at < shards.size(); ++at) shards_.restore(at, std::move(shards[at]));
  published_ = std::move(published);
  drawn_layout_ = 0;
  restored_.reset();
  fault_.clear();
  if (!same || !published_ || members_.view() != View::kRestoring) return;
  show_again(published_->snapshot);
}

std::shared_ptr<const Published> Router::step(Nanos now, Nanos agreed_now) {
  members_.step(now);
  const bool shows_restored = members_.view() == View::kRestoring && restored_;
  if (!shows_restored) {
    restored_.reset();
    Shards::Terms terms{.window = window(), .most_moving = fleet_.bounds.most_moving};
    if (members_.view() != View::kClear) terms.most_moving = 0;
    shards_.step(members_, terms, applied_, agreed_now);
    if (members_.view() == View::kClear) admission_.step(fleet_, members_, now);
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
  drawn_layout_ = restored_ ? 0 : members_.layout();
  drawn_admitted_ = admission_.admitted();
}

Memory Router::memory() const {
  Memory out;
  out.nodes.reserve(members_.all().size());
  out.shards.reserve(shards_.all().size());
  for (const Member& member : members_.all()) {
    out.nodes.push_back({member.node.name, member.state, member.life, member.weight, member.flaps, member.version});
  }
  for (std::size_t at = 0; at < shards_.all().size(); ++at) {
    const Shard& shard = shards_.all()[at];
    out.shards.push_back({shard.owner, shard.life, shards_.open_at(at) != nullptr});
  }
  if (published_) out.snapshot = published_->snapshot;
  return out;
}

}  // namespace myrtlecroft::routing
