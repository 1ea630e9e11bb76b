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
std::shared_ptr<const Message> parsed(const std::string& bytes) {
  auto out = std::make_shared<Message>();
  return out->ParseFromString(bytes) ? out : nullptr;
}

ParsedResourceCache::Body body_of(const std::string& type, const std::string& bytes) {
  if (type == kClusters) {
    if (auto body = parsed<AppliedSet::Cluster>(bytes)) return {body->name(), body, {}};
  } else if (type == kEndpoints) {
    if (auto body = parsed<AppliedSet::Endpoints>(bytes)) return {body->cluster_name(), body, {}};
  } else if (type == kListeners) {
    if (auto body = parsed<envoy::config::listener::v3::Listener>(bytes)) {
      envoy::extensions::filters::network::http_connection_manager::v3::HttpConnectionManager manager;
      body->api_listener().api_listener().UnpackTo(&manager);
      return {body->name(), body, {manager.rds().route_config_name()}};
    }
  } else if (type == kRoutes) {
    if (auto body = parsed<AppliedSet::Routes>(bytes)) {
      ParsedResourceCache::Body out{body->name(), body, {}};
      for (const auto& host : body->virtual_hosts()) {
        for (const auto& route : host.routes()) {
          if (route.has_route()) out.refers.insert(route.route().cluster());
        }
      }
      return out;
    }
  } else if (auto body = parsed<envoy::service::runtime::v3::Runtime>(bytes)) {
    return {body->name(), body, {}};
  }
  return {};
}

template <class Message>
std::shared_ptr<const Message> as(const ParsedResourceCache::Body& body) {
  return std::static_pointer_cast<const Message>(body.message);
}

}  // namespace

std::shared_ptr<const ParsedResourceCache::Body> ParsedResourceCache::read(const std::string& type,
                                                                           const std::string& bytes) {
  std::uint64_t hash = XXH3_64bits_withSeed(bytes.data(), bytes.size(), std::hash<std::string>()(type));
  std::lock_guard lock(mutex_);
  std::weak_ptr<const Body>& known = bodies_[hash];
  if (auto body = known.lock()) return body;
  auto body = std::make_shared<const Body>(body_of(type, bytes));
  known = body;
  return body;
}

std::vector<std::string> AdsClient::open_stream() {
  std::vector<std::string> out;
  for (const std::string& type : {kClusters, kEndpoints, kListeners, kRoutes, kRuntime}) {
    Kind& kind = kinds_[type];
    kind.nonce.clear();
    if (type == kRuntime && kind.asked.empty()) kind.asked = {"admission"};
    if (type == kListeners) kind.asked = services_;
    bool wildcard = services_.empty() && (type == kClusters || type == kListeners);
    if (wildcard || !kind.asked.empty()) out.push_back(request(type, std::nullopt, true, kind.asked, {}));
  }
  return out;
}

std::string AdsClient::request(const std::string& type, const std::optional<std::string>& error, bool first,
                               const std::vector<std::string>& more, const std::vector<std::string>& fewer) {
  const Kind& kind = kinds_.at(type);
  auto fill = [&](auto& out) {
    out.set_type_url(type);
    out.set_response_nonce(kind.nonce);
    if (error) out.mutable_error_detail()->set_message(*error);
    if (first) {
      out.mutable_node()->set_id(id_);
      out.mutable_node()->mutable_locality()->set_zone(zone_);
    }
    return out.SerializeAsString();
  };
  if (!delta_) {
    discovery::DiscoveryRequest out;
    out.set_version_info(kind.version);
    for (const std::string& name : kind.asked) out.add_resource_names(name);
    return fill(out);
  }
  discovery::DeltaDiscoveryRequest out;
  for (const std::string& name : more) out.add_resource_names_subscribe(name);
  for (const std::string& name : fewer) out.add_resource_names_unsubscribe(name);
  if (first) {
    for (const auto& [name, held] : kind.held)
      (*out.mutable_initial_resource_versions())[name] = held.version;
  }
  return fill(out);
}

std::vector<std::string> AdsClient::handle_response(const std::string& bytes) {
  bytes_in_ += bytes.size();
  std::map<std::string, Held> resources;
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
  Kind& kind = kinds_[type];
  kind.nonce = nonce;
  bool whole = !delta_ && (type == kClusters || type == kListeners);
  std::optional<std::string> error = take(type, kind, std::move(resources), removed, whole);
  if (!error) kind.version = version;
  std::vector<std::string> out = {request(type, error, false, {}, {})};
  if (error) return out;
  if (type == kClusters) {
    std::set<std::string> names;
    for (const auto& [name, held] : kind.held) names.insert(name);
    follow(out, kEndpoints, std::move(names));
  } else if (type == kListeners) {
    follow(out, kRoutes, referred_by(type));
  } else if (type == kRoutes && !services_.empty()) {
    follow(out, kClusters, referred_by(type));
  }
  apply();
  return out;
}

std::set<std::string> AdsClient::referred_by(const std::string& type) const {
  std::set<std::string> names;
  for (const auto& [name, held] : kinds_.at(type).held)
    names.insert(held.body->refers.begin(), held.body->refers.end());
  return names;
}

// What the resources refer to is asked for; what nothing refers to any more is let go.
void AdsClient::follow(std::vector<std::string>& out, const std::string& type, std::set<std::string> names) {
  Kind& kind = kinds_[type];
  std::set<std::string> before(kind.asked.begin(), kind.asked.end());
  if (names == before) return;
  std::vector<std::string> more;
  std::vector<std::string> fewer;
  std::set_difference(names.begin(), names.end(), before.begin(), before.end(), std::back_inserter(more));
  std::set_difference(before.begin(), before.end(), names.begin(), names.end(), std::back_inserter(fewer));
  bool first = kind.asked.empty();
  kind.asked.assign(names.begin(), names.end());
  for (const std::string& name : fewer) kind.held.erase(name);
  out.push_back(request(type, std::nullopt, first, more, fewer));
}

std::optional<std::string> AdsClient::take(const std::string& type, Kind& kind,
                                           std::map<std::string, Held> resources,
                                           const std::vector<std::string>& removed, bool whole) {
  if (refuses_) {
    for (const auto& [name, held] : resources) {
      auto before = kind.held.find(name);
      bool known = before != kind.held.end() && before->second.body == held.body;
      if (!known && name.find(*refuses_) != std::string::npos) return "refused by the story: " + name;
    }
  }
  // Who asks by name asks for clusters after it has read the routes, and waits for them.
  if (type == kRoutes && services_.empty()) {
    for (const auto& [name, held] : resources) {
      for (const std::string& to : held.body->refers) {
        if (!kinds_[kClusters].held.contains(to)) half_applied("routes before cluster " + to);
        if (!kinds_[kEndpoints].held.contains(to)) half_applied("routes before endpoints " + to);
      }
    }
  }
  if (whole) kind.held.clear();
  for (const std::string& name : removed) kind.held.erase(name);
  for (auto& [name, held] : resources) kind.held[name] = std::move(held);
  if (type == kClusters && services_.empty()) {
    for (const auto& [name, held] : kinds_[kRoutes].held) {
      for (const std::string& to : held.body->refers) {
        if (!kind.held.contains(to)) half_applied("no cluster " + to + " before its routes went");
      }
    }
  }
  return std::nullopt;
}

// Of several, who asks for all has the fleet's own, which refers to the most; who asks by name has them
// together.
std::shared_ptr<const AppliedSet::Routes> AdsClient::held_routes() {
  const auto& held = kinds_[kRoutes].held;
  if (services_.empty() || held.size() == 1) {
    auto max = std::max_element(held.begin(), held.end(), [](const auto& one, const auto& other) {
      return one.second.body->refers.size() < other.second.body->refers.size();
    });
    return as<AppliedSet::Routes>(*max->second.body);
  }
  auto all = std::make_shared<AppliedSet::Routes>();
  auto& host = *all->add_virtual_hosts();
  for (const auto& [name, one] : held) {
    for (const auto& from : as<AppliedSet::Routes>(*one.body)->virtual_hosts()) {
      for (const auto& route : from.routes()) *host.add_routes() = route;
    }
  }
  return all;
}

// Only what is complete is applied, and then at once.
void AdsClient::apply() {
  if (kinds_[kListeners].held.empty() || kinds_[kRoutes].held.empty()) return;
  if (kinds_[kRoutes].held.size() < services_.size()) return;
  auto next = std::make_shared<AppliedSet>();
  next->routes = held_routes();
  for (const std::string& name : referred_by(kRoutes)) {
    auto cluster = kinds_[kClusters].held.find(name);
    auto endpoints = kinds_[kEndpoints].held.find(name);
    if (cluster == kinds_[kClusters].held.end() || endpoints == kinds_[kEndpoints].held.end()) return;
    next->clusters.emplace_hint(next->clusters.end(), name, as<AppliedSet::Cluster>(*cluster->second.body));
    auto body = as<AppliedSet::Endpoints>(*endpoints->second.body);
    if (body->endpoints_size() == 0) return half_applied("cluster " + name + " without endpoints");
    next->endpoints.emplace_hint(next->endpoints.end(), name, std::move(body));
  }
  for (const auto& [name, held] : kinds_[kRuntime].held) {
    for (const auto& [key, value] : as<envoy::service::runtime::v3::Runtime>(*held.body)->layer().fields()) {
      next->fractions[key] = value.struct_value().fields().at("numerator").number_value() / 10'000;
    }
  }
  applied_ = std::move(next);
  ++changes_;
}

}  // namespace myrtlecroft::standin
