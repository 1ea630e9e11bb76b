#include "ads_client.h"

#include <xxhash.h>

#include <algorithm>

#include "discovery.pb.h"
#include "http_connection_manager.pb.h"
#include "listener.pb.h"
#include "runtime.pb.h"

namespace myrtlecroft::standin {
namespace {

namespace discovery = envoy::service::discovery::v3;
const std::string kPrefix = "type.googleapis.com/envoy.";
const std::string kClusters = kPrefix + "config.cluster.v3.Cluster";
const std::string kEndpoints = kPrefix + "config.endpoint.v3.ClusterLoadAssignment";
const std::string kListeners = kPrefix + "config.listener.v3.Listener";
const std::string kRoutes = kPrefix + "config.route.v3.RouteConfiguration";
const std::string kRuntime = kPrefix + "service.runtime.v3.Runtime";

template <class Message>
std::shared_ptr<const Message> parse(const std::string& bytes) {
  auto out = std::make_shared<Message>();
  return out->ParseFromString(bytes) ? out : nullptr;
}

ParsedResourceCache::Body parse_body(const std::string& type, const std::string& bytes) {
  if (type == kClusters) {
    if (auto body = parse<AppliedSet::Cluster>(bytes)) return {body->name(), body, {}};
  } else if (type == kEndpoints) {
    if (auto body = parse<AppliedSet::Endpoints>(bytes)) return {body->cluster_name(), body, {}};
  } else if (type == kListeners) {
    if (auto body = parse<envoy::config::listener::v3::Listener>(bytes)) {
      envoy::extensions::filters::network::http_connection_manager::v3::HttpConnectionManager manager;
      body->api_listener().api_listener().UnpackTo(&manager);
      return {body->name(), body, {manager.rds().route_config_name()}};
    }
  } else if (type == kRoutes) {
    if (auto body = parse<AppliedSet::Routes>(bytes)) {
      ParsedResourceCache::Body out{body->name(), body, {}};
      for (const auto& host : body->virtual_hosts()) {
        for (const auto& route : host.routes()) {
          if (route.has_route()) out.references.insert(route.route().cluster());
        }
      }
      return out;
    }
  } else if (auto body = parse<envoy::service::runtime::v3::Runtime>(bytes)) {
    return {body->name(), body, {}};
  }
  return {};
}

template <class Message>
std::shared_ptr<const Message> body_as(const ParsedResourceCache::Body& body) {
  return std::static_pointer_cast<const Message>(body.message);
}

}  // namespace

std::shared_ptr<const ParsedResourceCache::Body> ParsedResourceCache::read(const std::string& type,
                                                                           const std::string& bytes) {
  std::uint64_t hash = XXH3_64bits_withSeed(bytes.data(), bytes.size(), std::hash<std::string>()(type));
  std::lock_guard lock(mutex_);
  std::weak_ptr<const Body>& known = bodies_[hash];
  if (auto body = known.lock()) return body;
  auto body = std::make_shared<const Body>(parse_body(type, bytes));
  known = body;
  return body;
}

std::vector<std::string> AdsClient::open_stream() {
  std::vector<std::string> out;
  for (const std::string& type : {kClusters, kEndpoints, kListeners, kRoutes, kRuntime}) {
    TypeState& state = types_[type];
    state.nonce.clear();
    if (type == kRuntime && state.subscribed.empty()) state.subscribed = {"admission"};
    if (type == kListeners) state.subscribed = services_;
    bool wildcard = services_.empty() && (type == kClusters || type == kListeners);
    if (wildcard || !state.subscribed.empty())
      out.push_back(request(type, std::nullopt, true, state.subscribed, {}));
  }
  return out;
}

std::string AdsClient::request(const std::string& type, const std::optional<std::string>& error, bool first,
                               const std::vector<std::string>& subscribe,
                               const std::vector<std::string>& unsubscribe) {
  const TypeState& state = types_.at(type);
  auto fill = [&](auto& out) {
    out.set_type_url(type);
    out.set_response_nonce(state.nonce);
    if (error) out.mutable_error_detail()->set_message(*error);
    if (first) {
      out.mutable_node()->set_id(id_);
      out.mutable_node()->mutable_locality()->set_zone(zone_);
    }
    return out.SerializeAsString();
  };
  if (!delta_) {
    discovery::DiscoveryRequest out;
    out.set_version_info(state.version);
    for (const std::string& name : state.subscribed) out.add_resource_names(name);
    return fill(out);
  }
  discovery::DeltaDiscoveryRequest out;
  for (const std::string& name : subscribe) out.add_resource_names_subscribe(name);
  for (const std::string& name : unsubscribe) out.add_resource_names_unsubscribe(name);
  if (first) {
    for (const auto& [name, resource] : state.accepted)
      (*out.mutable_initial_resource_versions())[name] = resource.version;
  }
  return fill(out);
}

std::vector<std::string> AdsClient::handle_response(const std::string& bytes) {
  bytes_in_ += bytes.size();
  std::map<std::string, AcceptedResource> resources;
  std::vector<std::string> removed;
  std::string type;
  std::string version;
  std::string nonce;
  if (delta_) {
    discovery::DeltaDiscoveryResponse response;
    if (!response.ParseFromString(bytes)) return {};
    type = response.type_url(), version = response.system_version_info(), nonce = response.nonce();
    for (const auto& one : response.resources()) {
      resources[one.name()] = {one.version(), bodies_->read(type, one.resource().value())};
    }
    removed.assign(response.removed_resources().begin(), response.removed_resources().end());
  } else {
    discovery::DiscoveryResponse response;
    if (!response.ParseFromString(bytes)) return {};
    type = response.type_url(), version = response.version_info(), nonce = response.nonce();
    for (const auto& one : response.resources()) {
      auto body = bodies_->read(type, one.value());
      resources[body->name] = {version, body};
    }
  }
  TypeState& state = types_[type];
  state.nonce = nonce;
  bool replaces_all = !delta_ && (type == kClusters || type == kListeners);
  std::optional<std::string> error =
      validate_and_store(type, state, std::move(resources), removed, replaces_all);
  if (!error) state.version = version;
  std::vector<std::string> out = {request(type, error, false, {}, {})};
  if (error) return out;
  if (type == kClusters) {
    std::set<std::string> names;
    for (const auto& [name, resource] : state.accepted) names.insert(name);
    update_subscription(out, kEndpoints, std::move(names));
  } else if (type == kListeners) {
    update_subscription(out, kRoutes, referenced_by(type));
  } else if (type == kRoutes && !services_.empty()) {
    update_subscription(out, kClusters, referenced_by(type));
  }
  apply();
  return out;
}

std::set<std::string> AdsClient::referenced_by(const std::string& type) const {
  std::set<std::string> names;
  for (const auto& [name, resource] : types_.at(type).accepted)
    names.insert(resource.body->references.begin(), resource.body->references.end());
  return names;
}

// Subscribes to resources that are newly referenced, and unsubscribes from and drops those no longer
// referenced.
void AdsClient::update_subscription(std::vector<std::string>& out, const std::string& type,
                                    std::set<std::string> names) {
  TypeState& state = types_[type];
  std::set<std::string> before(state.subscribed.begin(), state.subscribed.end());
  if (names == before) return;
  std::vector<std::string> subscribe;
  std::vector<std::string> unsubscribe;
  std::set_difference(names.begin(), names.end(), before.begin(), before.end(),
                      std::back_inserter(subscribe));
  std::set_difference(before.begin(), before.end(), names.begin(), names.end(),
                      std::back_inserter(unsubscribe));
  bool first = state.subscribed.empty();
  state.subscribed.assign(names.begin(), names.end());
  for (const std::string& name : unsubscribe) state.accepted.erase(name);
  out.push_back(request(type, std::nullopt, first, subscribe, unsubscribe));
}

std::optional<std::string> AdsClient::validate_and_store(const std::string& type, TypeState& state,
                                                         std::map<std::string, AcceptedResource> resources,
                                                         const std::vector<std::string>& removed,
                                                         bool replaces_all) {
  if (nacked_name_part_) {
    for (const auto& [name, resource] : resources) {
      auto before = state.accepted.find(name);
      bool known = before != state.accepted.end() && before->second.body == resource.body;
      if (!known && name.find(*nacked_name_part_) != std::string::npos)
        return "resource rejected on request of the test: " + name;
    }
  }
  // A client that subscribes by name requests clusters only after it has read the routes, so for it this
  // order is normal.
  if (type == kRoutes && services_.empty()) {
    for (const auto& [name, resource] : resources) {
      for (const std::string& target : resource.body->references) {
        if (!types_[kClusters].accepted.contains(target)) half_applied("routes before cluster " + target);
        if (!types_[kEndpoints].accepted.contains(target)) half_applied("routes before endpoints " + target);
      }
    }
  }
  if (replaces_all) state.accepted.clear();
  for (const std::string& name : removed) state.accepted.erase(name);
  for (auto& [name, resource] : resources) state.accepted[name] = std::move(resource);
  if (type == kClusters && services_.empty()) {
    for (const auto& [name, resource] : types_[kRoutes].accepted) {
      for (const std::string& target : resource.body->references) {
        if (!state.accepted.contains(target))
          half_applied("no cluster " + target + " before its routes went");
      }
    }
  }
  return std::nullopt;
}

// Of several route configurations, a wildcard client uses the fleet's own, which references the most
// clusters; a client that subscribes by name uses all of them merged.
std::shared_ptr<const AppliedSet::Routes> AdsClient::merged_routes() {
  const auto& routes = types_[kRoutes].accepted;
  if (services_.empty() || routes.size() == 1) {
    auto max = std::max_element(routes.begin(), routes.end(), [](const auto& one, const auto& other) {
      return one.second.body->references.size() < other.second.body->references.size();
    });
    return body_as<AppliedSet::Routes>(*max->second.body);
  }
  auto all = std::make_shared<AppliedSet::Routes>();
  auto& host = *all->add_virtual_hosts();
  for (const auto& [name, one] : routes) {
    for (const auto& from : body_as<AppliedSet::Routes>(*one.body)->virtual_hosts()) {
      for (const auto& route : from.routes()) *host.add_routes() = route;
    }
  }
  return all;
}

// Publishes a new set only once every resource that it references is present.
void AdsClient::apply() {
  if (types_[kListeners].accepted.empty() || types_[kRoutes].accepted.empty()) return;
  if (types_[kRoutes].accepted.size() < services_.size()) return;
  auto next = std::make_shared<AppliedSet>();
  next->routes = merged_routes();
  for (const std::string& name : referenced_by(kRoutes)) {
    auto cluster = types_[kClusters].accepted.find(name);
    auto endpoints = types_[kEndpoints].accepted.find(name);
    if (cluster == types_[kClusters].accepted.end() || endpoints == types_[kEndpoints].accepted.end()) return;
    next->clusters.emplace_hint(next->clusters.end(), name,
                                body_as<AppliedSet::Cluster>(*cluster->second.body));
    auto body = body_as<AppliedSet::Endpoints>(*endpoints->second.body);
    if (body->endpoints_size() == 0) return half_applied("cluster " + name + " without endpoints");
    next->endpoints.emplace_hint(next->endpoints.end(), name, std::move(body));
  }
  for (const auto& [name, resource] : types_[kRuntime].accepted) {
    for (const auto& [key, value] :
         body_as<envoy::service::runtime::v3::Runtime>(*resource.body)->layer().fields()) {
      next->fractions[key] = value.struct_value().fields().at("numerator").number_value() / 10'000;
    }
  }
  applied_ = std::move(next);
  ++changes_;
}

}  // namespace myrtlecroft::standin
