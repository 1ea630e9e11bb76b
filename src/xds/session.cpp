#include "xds/session.h"

#include <algorithm>
#include <utility>

namespace myrtlecroft::xds {
namespace {

constexpr std::size_t kMaxNamesPerType = 20'000;  // names of one type that a proxy may subscribe to
constexpr std::size_t kMaxNameLength = 256;
// Limit on requests within about a second; a proxy that starts up sends some dozens.
constexpr double kMaxRecentRequests = 400;
constexpr std::size_t kMaxReasonLength = 500;  // bytes of a rejection's reason that are stored and shown

// Types whose state-of-the-world responses list every resource, so that a missing one is a removed one (xDS
// specification, "State of the World").
bool requires_full_state(ResourceType type) {
  return type == ResourceType::kClusters || type == ResourceType::kListeners;
}

// Types whose resources may stay with the proxy for a while after they have left the set.
bool may_outlive_set(ResourceType type) {
  return type == ResourceType::kClusters || type == ResourceType::kEndpoints;
}

}  // namespace

const char* name_of(StreamError error) {
  constexpr const char* names[] = {"none", "too many names", "too many requests"};
  return names[static_cast<std::size_t>(error)];
}

bool Session::Subscription::wants(const std::string& name) const {
  return wildcard || std::binary_search(names.begin(), names.end(), name);
}

bool Session::Subscription::has_resource(ResourceType type, const std::string& name) const {
  if (auto other = differences.find(name); other != differences.end()) return !other->second.version.empty();
  return accepted_set && accepted_set->of(type).contains(name);
}

ResourcePtr Session::find(const ResourceSet* set, ResourceType type, const std::string& name) const {
  if (!set) return nullptr;
  auto found = set->of(type).find(name);
  return found == set->of(type).end() ? nullptr : resource_for_caller(found->second, caller_);
}

Session::KnownResource Session::known_resource(ResourceType type, const std::string& name) const {
  const Subscription& state = subscription(type);
  if (auto other = state.differences.find(name); other != state.differences.end()) return other->second;
  ResourcePtr resource = find(state.accepted_set.get(), type, name);
  return resource ? KnownResource{resource->version, resource} : KnownResource{};
}

bool Session::has_version(ResourceType type, const Resource& resource) const {
  return known_resource(type, resource.name).version == resource.version;
}

// ---- Requests

StreamError Session::request(const Request& request, Nanos now) {
  requests_.add(1, now);
  if (requests_.read(now) > kMaxRecentRequests) return StreamError::kTooManyRequests;
  auto too_long = [](const auto& names) {
    return std::any_of(names.begin(), names.end(),
                       [](const auto& name) { return name.size() > kMaxNameLength; });
  };
  Subscription& state = subscription(request.type);
  if (request.names.size() > kMaxNamesPerType || too_long(request.names) || too_long(request.subscribe) ||
      state.names.size() + request.subscribe.size() > kMaxNamesPerType ||
      request.known_versions.size() > kMaxNamesPerType) {
    return StreamError::kTooManyNames;
  }
  handle_request(state, request);
  applied_publication();
  return StreamError::kNone;
}

void Session::set_target(std::shared_ptr<const ResourceSet> set) {
  applied_publication();
  // Another set of the same publication, such as the set with all shards closed, may have been sent before.
  // Without this reset a caller that has the closed set would count as up to date and never receive the
  // open shards.
  if (target_ && set && set != target_ && set->number == target_->number) {
    for (Subscription& state : subscriptions_) state.synced_publication = 0;
  }
  target_ = std::move(set);
}

// How a request is handled, by its nonce:
//
// Nonce                  State of the world                      Delta
// first of its type      subscribes; a nonce, if there is one,   the same, with the versions the proxy has
//                        is from another stream
// pending response       ACK or NACK, then the subscription is   the same
//                        updated
// last response          the subscription is updated             the same
// any other              stale, ignored: the proxy repeats its   the subscription is updated, since each
//                        names with the pending response's       request carries a change; no ACK or NACK
//                        nonce
void Session::handle_request(Subscription& state, const Request& request) {
  bool is_first = !std::exchange(state.subscribed, true);
  bool answers_pending = state.pending && request.nonce == state.pending->nonce;
  bool answers_last = !state.pending && request.nonce == std::to_string(state.response_count);
  if (!is_first && !answers_pending && !answers_last && !request.nonce.empty() &&
      variant_ == ProtocolVariant::kStateOfTheWorld)
    return;
  if (answers_pending && request.error) handle_nack(state, request.type, *request.error);
  if (answers_pending && !request.error) handle_ack(state, request.type);
  update_subscription(state, request, is_first);
}

void Session::handle_ack(Subscription& state, ResourceType type) {
  ++acks_;
  has_accepted_routes_ =
      has_accepted_routes_ || (type == ResourceType::kRoutes && !state.pending->resources.empty());
  for (ResourcePtr& resource : state.pending->resources) {
    auto rejected = state.rejected.find(resource->name);
    ResourcePtr in_target =
        rejected == state.rejected.end() ? nullptr : find(target_.get(), type, resource->name);
    // While the target has the rejected version, the response carried an older version in its place, and the
    // rejection stays.
    bool is_older_version = in_target && in_target->version == rejected->second.first;
    if (rejected != state.rejected.end() && !is_older_version) state.rejected.erase(rejected);
    if (type == ResourceType::kClusters && !has_version(type, *resource)) {
      discard_endpoints(resource->name);
    }
    state.differences[resource->name] = {resource->version, resource};
  }
  for (const std::string& name : state.pending->removed) {
    state.differences[name] = {};
    if (type == ResourceType::kClusters) discard_endpoints(name);
  }
  state.pending.reset();
  if (state.synced_publication == target_->number && state.names_to_answer.empty() &&
      !state.response_required)
    record_synced(type, state, true);
}

// A proxy that replaces or removes a cluster also discards its endpoints and waits to receive them again.
void Session::discard_endpoints(const std::string& cluster) {
  Subscription& endpoints = subscription(ResourceType::kEndpoints);
  if (!endpoints.wants(cluster)) return;
  endpoints.differences[cluster] = {};
  endpoints.synced_publication = 0;
}

// A NACK rejects the whole response. Resources that the reason names are withheld until their content
// changes, and the others are sent again. If the reason names none, all resources that were new in the
// response are withheld.
void Session::handle_nack(Subscription& state, ResourceType type, const std::string& reason) {
  ++nacks_;
  std::vector<ResourcePtr> changed_resources;
  std::vector<ResourcePtr> named;
  for (const ResourcePtr& resource : state.pending->resources) {
    if (has_version(type, *resource)) continue;
    changed_resources.push_back(resource);
    if (reason.find(resource->name) != std::string::npos) named.push_back(resource);
  }
  for (const ResourcePtr& resource : named.empty() ? changed_resources : named) {
    state.rejected[resource->name] = {resource->version, reason.substr(0, kMaxReasonLength)};
  }
  state.pending.reset();
  state.synced_publication = 0;
}

void Session::unsubscribe(Subscription& state, const std::string& name) {
  state.names_to_answer.erase(name);
  state.rejected.erase(name);
  state.differences[name] = {};
  if (state.pending)
    std::erase_if(state.pending->resources, [&](const auto& one) { return one->name == name; });
}

void Session::update_subscription(Subscription& state, const Request& request, bool is_first) {
  // An ordinary ACK repeats the same names in the same order.
  if (!is_first && variant_ == ProtocolVariant::kStateOfTheWorld && !state.wildcard &&
      request.names == state.names)
    return;
  std::vector<std::string> names;
  bool wildcard = state.wildcard;
  if (variant_ == ProtocolVariant::kStateOfTheWorld) {
    names = request.names;
    wildcard = std::erase(names, "*") > 0 ||
               (requires_full_state(request.type) && names.empty() && (is_first || state.wildcard));
  } else {
    std::set<std::string> new_names(state.names.begin(), state.names.end());
    if (is_first) wildcard = requires_full_state(request.type) && request.subscribe.empty();
    new_names.insert(request.subscribe.begin(), request.subscribe.end());
    for (const std::string& name : request.unsubscribe)
      new_names.erase(name), wildcard = wildcard && name != "*";
    wildcard = new_names.erase("*") > 0 || wildcard;
    names.assign(new_names.begin(), new_names.end());
    if (is_first) {
      for (const auto& [name, version] : request.known_versions) state.differences[name] = {version, nullptr};
    }
  }
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  if (!is_first && names == state.names && wildcard == state.wildcard && request.subscribe.empty()) return;

  // A name that is newly requested is always sent, whatever the proxy is known to have.
  for (const std::string& name : names) {
    if (state.wants(name) || (is_first && request.known_versions.contains(name))) continue;
    state.differences[name] = {};
    state.response_required = true;
    if (variant_ == ProtocolVariant::kDelta) state.names_to_answer.insert(name);
  }
  for (const std::string& name : request.subscribe) {
    if (is_first || name == "*" || !state.wants(name)) continue;
    state.differences[name] = {};
    state.names_to_answer.insert(name);
  }
  std::vector<std::string> previous_names = std::exchange(state.names, std::move(names));
  state.response_required = state.response_required || is_first || wildcard != state.wildcard;
  state.wildcard = wildcard;
  for (const std::string& name : previous_names) {
    if (!state.wants(name)) unsubscribe(state, name);
  }
  state.synced_publication = 0;
}

// ---- Desired state

// True if the proxy has the target's routes. A proxy with a wildcard subscription to clusters may still
// hold routes from before this stream until it subscribes to routes.
bool Session::routes_up_to_date() const {
  const Subscription& state = subscription(ResourceType::kRoutes);
  if (!state.subscribed) return !subscription(ResourceType::kClusters).wildcard;
  if (state.pending) return false;
  const Resources& target_routes = target_->of(ResourceType::kRoutes);
  if (state.wildcard) {
    return std::all_of(target_routes.begin(), target_routes.end(),
                       [&](const auto& one) { return has_version(ResourceType::kRoutes, *one.second); });
  }
  return std::all_of(state.names.begin(), state.names.end(), [&](const std::string& name) {
    auto found = target_routes.find(name);
    return found == target_routes.end() || has_version(ResourceType::kRoutes, *found->second);
  });
}

// True if the proxy has accepted every cluster that the routes refer to, with its endpoints. A proxy that
// subscribes to clusters by name does so after it has read the routes, and orders the updates itself.
bool Session::references_accepted(const Resource& routes) const {
  const Subscription& clusters = subscription(ResourceType::kClusters);
  const Subscription& endpoints = subscription(ResourceType::kEndpoints);
  if (!clusters.subscribed || !clusters.wildcard) return true;
  auto being_removed = [](const Subscription& state, const std::string& name) {
    return state.pending && std::find(state.pending->removed.begin(), state.pending->removed.end(), name) !=
                                state.pending->removed.end();
  };
  return std::all_of(routes.references.begin(), routes.references.end(), [&](const std::string& name) {
    return !being_removed(clusters, name) && !being_removed(endpoints, name) &&
           clusters.has_resource(ResourceType::kClusters, name) &&
           (!endpoints.subscribed ||
            (endpoints.wants(name) && endpoints.has_resource(ResourceType::kEndpoints, name)));
  });
}

// Endpoints are removed after their cluster: they stay while the proxy still has it.
bool Session::has_cluster(const std::string& name) const {
  const Subscription& clusters = subscription(ResourceType::kClusters);
  return clusters.wildcard && clusters.has_resource(ResourceType::kClusters, name);
}

// True if the proxy has all of the previous set and nothing is withheld, so that only the changes since
// then have to be examined.
bool Session::only_changes_needed(ResourceType type, const Subscription& state) const {
  return target_->previous_number != 0 && state.synced_publication == target_->previous_number &&
         state.rejected.empty() && state.names_to_answer.empty() && !state.response_required &&
         type != ResourceType::kRoutes && !target_->has_removals[static_cast<std::size_t>(type)];
}

// Visits the wanted resources that changed since the previous set. Iterates over the shorter of the two
// lists; `changed` is sorted by name.
template <class Visit>
void Session::for_each_wanted_change(ResourceType type, const Subscription& state, Visit visit) const {
  const std::vector<ResourcePtr>& changed = target_->changed[static_cast<std::size_t>(type)];
  if (state.wildcard || changed.size() < state.names.size()) {
    for (const ResourcePtr& one : changed) {
      if (state.wants(one->name)) visit(one);
    }
    return;
  }
  auto before = [](const ResourcePtr& one, const std::string& name) { return one->name < name; };
  for (const std::string& name : state.names) {
    auto found = std::lower_bound(changed.begin(), changed.end(), name, before);
    if (found != changed.end() && (*found)->name == name) visit(*found);
  }
}

// Visits the names in the last accepted set that the caller still wants. A subscription by name has only
// these names: with thousands of services, iterating over the whole set for each caller would delay every
// change by seconds.
template <class Visit>
void Session::for_each_accepted_name(ResourceType type, const Subscription& state, Visit visit) const {
  if (!state.accepted_set || state.accepted_set == target_) return;
  const Resources& accepted_set = state.accepted_set->of(type);
  if (state.wildcard) {
    for (const auto& [name, resource] : accepted_set) visit(name);
    return;
  }
  for (const std::string& name : state.names) {
    if (accepted_set.contains(name)) visit(name);
  }
}

Session::ResponsePlan Session::plan_response(ResourceType type, const Subscription& state) const {
  ResponsePlan out;
  const Resources& all = target_->of(type);
  const bool changes_only = only_changes_needed(type, state);
  const bool full_state = variant_ == ProtocolVariant::kStateOfTheWorld && requires_full_state(type);
  if (changes_only) {
    for_each_wanted_change(type, state, [&](const ResourcePtr& changed) {
      // For a service with subsets, the change may be in the subset of another caller.
      ResourcePtr resource = resource_for_caller(changed, caller_);
      if (!has_version(type, *resource)) out.changed.push_back(std::move(resource));
    });
    if (!full_state || out.changed.empty()) return out;
  }
  auto add_resource = [&](const std::string& name, const ResourcePtr& in_set) {
    ResourcePtr resource = resource_for_caller(in_set, caller_);
    auto rejected = state.rejected.find(name);
    bool withheld = rejected != state.rejected.end() && rejected->second.first == resource->version;
    bool references_missing = type == ResourceType::kRoutes && !references_accepted(*resource);
    if (references_missing) out.complete = false;
    if (withheld || references_missing) resource = known_resource(type, name).resource;
    if (!resource) return;
    if (!changes_only && !has_version(type, *resource)) out.changed.push_back(resource);
    if (full_state) out.all.push_back(std::move(resource));
  };
  if (state.wildcard) {
    for (const auto& [name, resource] : all) add_resource(name, resource);
  } else {
    for (const std::string& name : state.names) {
      if (auto found = all.find(name); found != all.end()) add_resource(name, found->second);
    }
  }
  if (changes_only) return out;

  // Resources that the proxy has and the target lacks. At the start of a stream the proxy may have more
  // than the session knows.
  const bool retains_removed = may_outlive_set(type) && !routes_up_to_date();
  if (retains_removed && full_state && !has_accepted_routes_) {
    out.complete = false;
    for (const auto& [name, resource] : target_->retired_clusters) {
      if (!all.contains(name) && state.wants(name)) add_resource(name, resource);
    }
  }
  // Decides about a resource that the target lacks: it is removed, or kept until the proxy no longer uses
  // it.
  auto check_removed = [&](const std::string& name) {
    if (all.contains(name) || !state.wants(name)) return;
    KnownResource known = known_resource(type, name);
    if (known.version.empty()) return;
    if (!retains_removed && !(type == ResourceType::kEndpoints && has_cluster(name))) {
      out.removed.push_back(name);
      return;
    }
    out.complete = false;
    if (full_state && known.resource && (has_accepted_routes_ || !target_->retired_clusters.contains(name))) {
      out.all.push_back(known.resource);
    }
  };
  for (const auto& [name, resource] : state.differences) check_removed(name);
  for_each_accepted_name(type, state, [&](const std::string& name) {
    if (!state.differences.contains(name)) check_removed(name);
  });
  return out;
}

std::optional<Response> Session::next() {
  if (!target_) return std::nullopt;
  for (ResourceType type : kAllTypes) {
    Subscription& state = subscription(type);
    if (!state.subscribed || state.pending) continue;
    if (auto response = make_response(type, state)) return response;
  }
  return std::nullopt;
}

// Called when no response is pending or needed: the proxy then has the target set itself, except for
// rejected resources.
void Session::record_synced(ResourceType type, Subscription& state, bool complete) {
  state.synced_publication = complete ? target_->number : 0;
  if (!complete || !state.rejected.empty()) return;
  std::erase_if(state.differences, [&](const auto& one) {
    ResourcePtr in_target = find(target_.get(), type, one.first);
    return in_target ? in_target->version == one.second.version || !state.wants(one.first)
                     : one.second.version.empty();
  });
  state.accepted_set = target_;
}

// Proxies keep endpoints, routes and runtime layers until an update replaces them, so only changes are sent
// in both protocol variants. Clusters and listeners are sent as full state in state of the world.
std::optional<Response> Session::make_response(ResourceType type, Subscription& state) {
  if (state.synced_publication == target_->number && state.names_to_answer.empty() &&
      !state.response_required)
    return std::nullopt;
  ResponsePlan plan = this->plan_response(type, state);
  const bool full_state = variant_ == ProtocolVariant::kStateOfTheWorld && requires_full_state(type);
  for (const std::string& name : std::exchange(state.names_to_answer, {})) {
    if (!target_->of(type).contains(name)) plan.removed.push_back(name);
  }
  bool empty_response_required = std::exchange(state.response_required, false) && full_state;
  // In state of the world only a full-state response can express a removal.
  bool cannot_report_removal = variant_ == ProtocolVariant::kStateOfTheWorld && !full_state;
  if (plan.changed.empty() && !empty_response_required && (plan.removed.empty() || cannot_report_removal)) {
    for (const std::string& name : plan.removed) state.differences[name] = {};
    record_synced(type, state, plan.complete);
    return std::nullopt;
  }
  state.synced_publication = plan.complete ? target_->number : 0;
  Response response;
  response.type = type;
  response.version = target_->versions[static_cast<std::size_t>(type)];
  if (!state.rejected.empty()) response.version += "-held-" + std::to_string(state.rejected.size());
  response.nonce = std::to_string(++state.response_count);
  response.resources = full_state ? std::move(plan.all) : std::move(plan.changed);
  if (variant_ == ProtocolVariant::kDelta) response.removed = plan.removed;
  state.pending = Pending{response.nonce, response.resources, std::move(plan.removed)};
  return response;
}

// ---- Status

std::uint64_t Session::applied_publication() {
  if (!target_ || !subscribes_to_routes()) return 0;
  for (ResourceType type : {ResourceType::kRoutes, ResourceType::kClusters, ResourceType::kEndpoints}) {
    const Subscription& state = subscription(type);
    if (!state.subscribed) continue;
    if (state.pending || !state.rejected.empty() || state.synced_publication != target_->number)
      return applied_;
  }
  return applied_ = target_->number;
}

std::vector<RejectedResource> Session::rejected_resources() const {
  std::vector<RejectedResource> out;
  for (ResourceType type : kAllTypes) {
    for (const auto& [name, rejected] : subscription(type).rejected) {
      out.push_back({type, name, rejected.first, rejected.second});
    }
  }
  return out;
}

}  // namespace myrtlecroft::xds
