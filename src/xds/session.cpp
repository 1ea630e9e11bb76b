#include "xds/session.h"

#include <algorithm>
#include <utility>

namespace myrtlecroft::xds {
namespace {

constexpr std::size_t kMaxNames = 20'000;  // of one type, that a proxy may ask for
constexpr std::size_t kLongestName = 256;
constexpr double kMaxRequests = 400;  // within about a second; a proxy that starts asks for some dozens
constexpr std::size_t kLongestReason = 500;  // of a refusal, as kept and shown

// Types whose answers tell by absence that something is gone (the specification, "State of the World").
bool told_whole(ResourceType type) {
  return type == ResourceType::kClusters || type == ResourceType::kListeners;
}

// Types of which something may stay for a while after it has left the set.
bool may_linger(ResourceType type) {
  return type == ResourceType::kClusters || type == ResourceType::kEndpoints;
}

}  // namespace

const char* name_of(StreamError fault) {
  constexpr const char* names[] = {"none", "too many names", "too many requests"};
  return names[static_cast<std::size_t>(fault)];
}

bool Session::Subscription::wants(const std::string& name) const {
  return wildcard || std::binary_search(names.begin(), names.end(), name);
}

bool Session::Subscription::has_any(ResourceType type, const std::string& name) const {
  if (auto other = differs.find(name); other != differs.end()) return !other->second.version.empty();
  return base && base->of(type).contains(name);
}

ResourcePtr Session::find(const ResourceSet* set, ResourceType type, const std::string& name) const {
  if (!set) return nullptr;
  auto found = set->of(type).find(name);
  return found == set->of(type).end() ? nullptr : resolved(found->second, caller_);
}

Session::Has Session::has(ResourceType type, const std::string& name) const {
  const Subscription& state = of(type);
  if (auto other = state.differs.find(name); other != state.differs.end()) return other->second;
  ResourcePtr resource = find(state.base.get(), type, name);
  return resource ? Has{resource->version, resource} : Has{};
}

bool Session::has_version(ResourceType type, const Resource& resource) const {
  return has(type, resource.name).version == resource.version;
}

// ---- What the proxy says

StreamError Session::request(const Request& request, Nanos now) {
  requests_.add(1, now);
  if (requests_.read(now) > kMaxRequests) return StreamError::kTooManyRequests;
  auto too_long = [](const auto& names) {
    return std::any_of(names.begin(), names.end(),
                       [](const auto& name) { return name.size() > kLongestName; });
  };
  Subscription& state = of(request.type);
  if (request.names.size() > kMaxNames || too_long(request.names) || too_long(request.subscribe) ||
      state.names.size() + request.subscribe.size() > kMaxNames || request.has.size() > kMaxNames) {
    return StreamError::kTooManyNames;
  }
  handle(state, request);
  applied();
  return StreamError::kNone;
}

void Session::offer(std::shared_ptr<const ResourceSet> set) {
  applied();
  // Another set of the same publication, as the one without an open shard is: what was told of that one says
  // nothing of this, and a caller that got the closed one first would never hear of the open shards.
  if (target_ && set && set != target_ && set->number == target_->number) {
    for (Subscription& state : subscriptions_) state.synced = 0;
  }
  target_ = std::move(set);
}

// Input              state of the world                        delta
// first of a type    subscribes; its nonce is another          the same, with the versions it has
//                    stream's
// nonce of what      accepted or refused, then the names       the same
//   is out
// nonce of the last  the names have changed                    the same
//   answer
// another nonce      stale: the proxy will say its names       its names count, as each request tells of a
//                    again with the answer that is out         change; nothing is acknowledged
void Session::handle(Subscription& state, const Request& request) {
  bool first = !std::exchange(state.subscribed, true);
  bool current = state.pending && request.nonce == state.pending->nonce;
  bool last = !state.pending && request.nonce == std::to_string(state.answers);
  if (!first && !current && !last && !request.nonce.empty() && form_ == ProtocolVariant::kStateOfTheWorld)
    return;
  if (current && request.error) refuse(state, request.type, *request.error);
  if (current && !request.error) accept(state, request.type);
  subscribe(state, request, first);
}

void Session::accept(Subscription& state, ResourceType type) {
  ++acks_;
  routes_once_ = routes_once_ || (type == ResourceType::kRoutes && !state.pending->resources.empty());
  for (ResourcePtr& resource : state.pending->resources) {
    auto refused = state.refused.find(resource->name);
    ResourcePtr now = refused == state.refused.end() ? nullptr : find(target_.get(), type, resource->name);
    bool stand_in = now && now->version == refused->second.first;
    if (refused != state.refused.end() && !stand_in) state.refused.erase(refused);
    if (type == ResourceType::kClusters && !has_version(type, *resource)) {
      forget_endpoints(resource->name);
    }
    state.differs[resource->name] = {resource->version, resource};
  }
  for (const std::string& name : state.pending->removed) {
    state.differs[name] = {};
    if (type == ResourceType::kClusters) forget_endpoints(name);
  }
  state.pending.reset();
  if (state.synced == target_->number && state.unanswered.empty() && !state.must_answer)
    settle(type, state, true);
}

// A proxy that replaces a cluster, or lets it go, lets go of its endpoints too, and waits to be told them
// anew.
void Session::forget_endpoints(const std::string& cluster) {
  Subscription& endpoints = of(ResourceType::kEndpoints);
  if (!endpoints.wants(cluster)) return;
  endpoints.differs[cluster] = {};
  endpoints.synced = 0;
}

// An answer is refused whole. What the proxy names in its reason is held back until its content changes, and
// the rest is sent again; where it names nothing, all that was new in the answer is held back.
void Session::refuse(Subscription& state, ResourceType type, const std::string& reason) {
  ++nacks_;
  std::vector<ResourcePtr> suspects;
  std::vector<ResourcePtr> named;
  for (const ResourcePtr& resource : state.pending->resources) {
    if (has_version(type, *resource)) continue;
    suspects.push_back(resource);
    if (reason.find(resource->name) != std::string::npos) named.push_back(resource);
  }
  for (const ResourcePtr& resource : named.empty() ? suspects : named) {
    state.refused[resource->name] = {resource->version, reason.substr(0, kLongestReason)};
  }
  state.pending.reset();
  state.synced = 0;
}

void Session::drop(Subscription& state, const std::string& name) {
  state.unanswered.erase(name);
  state.refused.erase(name);
  state.differs[name] = {};
  if (state.pending)
    std::erase_if(state.pending->resources, [&](const auto& one) { return one->name == name; });
}

void Session::subscribe(Subscription& state, const Request& request, bool first) {
  // The usual acknowledgement says the same names again, in the same order.
  if (!first && form_ == ProtocolVariant::kStateOfTheWorld && !state.wildcard && request.names == state.names)
    return;
  std::vector<std::string> names;
  bool all = state.wildcard;
  if (form_ == ProtocolVariant::kStateOfTheWorld) {
    names = request.names;
    all = std::erase(names, "*") > 0 ||
          (told_whole(request.type) && names.empty() && (first || state.wildcard));
  } else {
    std::set<std::string> next(state.names.begin(), state.names.end());
    if (first) all = told_whole(request.type) && request.subscribe.empty();
    next.insert(request.subscribe.begin(), request.subscribe.end());
    for (const std::string& name : request.unsubscribe) next.erase(name), all = all && name != "*";
    all = next.erase("*") > 0 || all;
    names.assign(next.begin(), next.end());
    if (first) {
      for (const auto& [name, version] : request.has) state.differs[name] = {version, nullptr};
    }
  }
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  if (!first && names == state.names && all == state.wildcard && request.subscribe.empty()) return;

  // A name that is asked for anew is told again, whatever is known of it.
  for (const std::string& name : names) {
    if (state.wants(name) || (first && request.has.contains(name))) continue;
    state.differs[name] = {};
    state.must_answer = true;
    if (form_ == ProtocolVariant::kDelta) state.unanswered.insert(name);
  }
  for (const std::string& name : request.subscribe) {
    if (first || name == "*" || !state.wants(name)) continue;
    state.differs[name] = {};
    state.unanswered.insert(name);
  }
  std::vector<std::string> before = std::exchange(state.names, std::move(names));
  state.must_answer = state.must_answer || first || all != state.wildcard;
  state.wildcard = all;
  for (const std::string& name : before) {
    if (!state.wants(name)) drop(state, name);
  }
  state.synced = 0;
}

// ---- What the proxy should have

// A proxy that asks for all clusters may have routes from before this stream, and has not yet asked for them.
bool Session::routes_settled() const {
  const Subscription& state = of(ResourceType::kRoutes);
  if (!state.subscribed) return !of(ResourceType::kClusters).wildcard;
  if (state.pending) return false;
  const Resources& now = target_->of(ResourceType::kRoutes);
  if (state.wildcard) {
    return std::all_of(now.begin(), now.end(),
                       [&](const auto& one) { return has_version(ResourceType::kRoutes, *one.second); });
  }
  return std::all_of(state.names.begin(), state.names.end(), [&](const std::string& name) {
    auto found = now.find(name);
    return found == now.end() || has_version(ResourceType::kRoutes, *found->second);
  });
}

// Whether the proxy has accepted every cluster that the routes refer to, with its endpoints. One that asks
// for clusters by name does so after it has read the routes, and sees to the order itself.
bool Session::usable(const Resource& routes) const {
  const Subscription& clusters = of(ResourceType::kClusters);
  const Subscription& endpoints = of(ResourceType::kEndpoints);
  if (!clusters.subscribed || !clusters.wildcard) return true;
  auto goes = [](const Subscription& of, const std::string& name) {
    return of.pending && std::find(of.pending->removed.begin(), of.pending->removed.end(), name) !=
                             of.pending->removed.end();
  };
  return std::all_of(routes.references.begin(), routes.references.end(), [&](const std::string& name) {
    return !goes(clusters, name) && !goes(endpoints, name) &&
           clusters.has_any(ResourceType::kClusters, name) &&
           (!endpoints.subscribed ||
            (endpoints.wants(name) && endpoints.has_any(ResourceType::kEndpoints, name)));
  });
}

// Endpoints go after their cluster.
bool Session::has_cluster(const std::string& name) const {
  const Subscription& clusters = of(ResourceType::kClusters);
  return clusters.wildcard && clusters.has_any(ResourceType::kClusters, name);
}

// The proxy has the set before this one whole, and nothing stands in the way of what is new in it: there is
// no need to look at the rest.
bool Session::only_news(ResourceType type, const Subscription& state) const {
  return target_->before != 0 && state.synced == target_->before && state.refused.empty() &&
         state.unanswered.empty() && !state.must_answer && type != ResourceType::kRoutes &&
         !target_->has_removals[static_cast<std::size_t>(type)];
}

// What changed since the set before, and the caller asks for; whichever list is shorter is gone through.
// Changes stand in the order of their names.
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

// The names of an earlier set that the caller has and wants. One that asks by name has no others: with
// thousands of services a look through all of them for each caller would hold every change up by seconds.
template <class Visit>
void Session::for_each_in_base(ResourceType type, const Subscription& state, Visit visit) const {
  if (!state.base || state.base == target_) return;
  const Resources& base = state.base->of(type);
  if (state.wildcard) {
    for (const auto& [name, resource] : base) visit(name);
    return;
  }
  for (const std::string& name : state.names) {
    if (base.contains(name)) visit(name);
  }
}

Session::Plan Session::plan(ResourceType type, const Subscription& state) const {
  Plan out;
  const Resources& all = target_->of(type);
  const bool news = only_news(type, state);
  const bool whole = form_ == ProtocolVariant::kStateOfTheWorld && told_whole(type);
  if (news) {
    for_each_wanted_change(type, state, [&](const ResourcePtr& changed) {
      // Of a service with subsets another one may have changed than this caller's.
      ResourcePtr resource = resolved(changed, caller_);
      if (!has_version(type, *resource)) out.changed.push_back(std::move(resource));
    });
    if (!whole || out.changed.empty()) return out;
  }
  auto take = [&](const std::string& name, const ResourcePtr& in_set) {
    ResourcePtr resource = resolved(in_set, caller_);
    auto refused = state.refused.find(name);
    bool held_back = refused != state.refused.end() && refused->second.first == resource->version;
    bool too_early = type == ResourceType::kRoutes && !usable(*resource);
    if (too_early) out.complete = false;
    if (held_back || too_early) resource = has(type, name).resource;
    if (!resource) return;
    if (!news && !has_version(type, *resource)) out.changed.push_back(resource);
    if (whole) out.whole.push_back(std::move(resource));
  };
  if (state.wildcard) {
    for (const auto& [name, resource] : all) take(name, resource);
  } else {
    for (const std::string& name : state.names) {
      if (auto found = all.find(name); found != all.end()) take(name, found->second);
    }
  }
  if (news) return out;

  // What the proxy has and the set has not. At the start of a stream it may have more than we know of.
  const bool lingers = may_linger(type) && !routes_settled();
  if (lingers && whole && !routes_once_) {
    out.complete = false;
    for (const auto& [name, resource] : target_->late_clusters) {
      if (!all.contains(name) && state.wants(name)) take(name, resource);
    }
  }
  auto look_at_old = [&](const std::string& name) {
    if (all.contains(name) || !state.wants(name)) return;
    Has had = has(type, name);
    if (had.version.empty()) return;
    if (!lingers && !(type == ResourceType::kEndpoints && has_cluster(name))) {
      out.gone.push_back(name);
      return;
    }
    out.complete = false;
    if (whole && had.resource && (routes_once_ || !target_->late_clusters.contains(name))) {
      out.whole.push_back(had.resource);
    }
  };
  for (const auto& [name, known] : state.differs) look_at_old(name);
  for_each_in_base(type, state, [&](const std::string& name) {
    if (!state.differs.contains(name)) look_at_old(name);
  });
  return out;
}

std::optional<Response> Session::next() {
  if (!target_) return std::nullopt;
  for (ResourceType type : kAllTypes) {
    Subscription& state = of(type);
    if (!state.subscribed || state.pending) continue;
    if (auto response = answer(type, state)) return response;
  }
  return std::nullopt;
}

// With nothing out and nothing to say, what the proxy has is the set itself but for what it refused.
void Session::settle(ResourceType type, Subscription& state, bool complete) {
  state.synced = complete ? target_->number : 0;
  if (!complete || !state.refused.empty()) return;
  std::erase_if(state.differs, [&](const auto& one) {
    ResourcePtr now = find(target_.get(), type, one.first);
    return now ? now->version == one.second.version || !state.wants(one.first) : one.second.version.empty();
  });
  state.base = target_;
}

// Endpoints, routes and runtime layers stay until something else is said of them, so only what changed goes
// out in either form; clusters and listeners are told whole in the older one.
std::optional<Response> Session::answer(ResourceType type, Subscription& state) {
  if (state.synced == target_->number && state.unanswered.empty() && !state.must_answer) return std::nullopt;
  Plan plan = this->plan(type, state);
  const bool whole = form_ == ProtocolVariant::kStateOfTheWorld && told_whole(type);
  for (const std::string& name : std::exchange(state.unanswered, {})) {
    if (!target_->of(type).contains(name)) plan.gone.push_back(name);
  }
  bool owed = std::exchange(state.must_answer, false) && whole;
  bool silent = form_ == ProtocolVariant::kStateOfTheWorld && !whole;  // no way to say that something is gone
  if (plan.changed.empty() && !owed && (plan.gone.empty() || silent)) {
    for (const std::string& name : plan.gone) state.differs[name] = {};
    settle(type, state, plan.complete);
    return std::nullopt;
  }
  state.synced = plan.complete ? target_->number : 0;
  Response response;
  response.type = type;
  response.version = target_->versions[static_cast<std::size_t>(type)];
  if (!state.refused.empty()) response.version += "-held-" + std::to_string(state.refused.size());
  response.nonce = std::to_string(++state.answers);
  response.resources = whole ? std::move(plan.whole) : std::move(plan.changed);
  if (form_ == ProtocolVariant::kDelta) response.removed = plan.gone;
  state.pending = Pending{response.nonce, response.resources, std::move(plan.gone)};
  return response;
}

// ---- How it stands

std::uint64_t Session::applied() {
  if (!target_ || !routes()) return 0;
  for (ResourceType type : {ResourceType::kRoutes, ResourceType::kClusters, ResourceType::kEndpoints}) {
    const Subscription& state = of(type);
    if (!state.subscribed) continue;
    if (state.pending || !state.refused.empty() || state.synced != target_->number) return applied_;
  }
  return applied_ = target_->number;
}

std::vector<RejectedResource> Session::rejected_resources() const {
  std::vector<RejectedResource> out;
  for (ResourceType type : kAllTypes) {
    for (const auto& [name, refused] : of(type).refused) {
      out.push_back({type, name, refused.first, refused.second});
    }
  }
  return out;
}

}  // namespace myrtlecroft::xds
