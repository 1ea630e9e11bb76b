#include "caller_pool.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "xds/wire.h"

namespace myrtlecroft::capacity {
namespace {

constexpr Nanos kRequestInterval = 10 * kMs;  // on the sessions' clock; the sessions limit the request rate
constexpr const char* kRuntimeLayer = "admission";

}  // namespace

CallerPool::SharedNames CallerPool::share_names(const std::vector<std::string>& names) {
  if (!last_names_ || *last_names_ != names)
    last_names_ = std::make_shared<const std::vector<std::string>>(names);
  return last_names_;
}

void CallerPool::send_request(const Caller& caller, const xds::Request& request) {
  now_ += kRequestInterval;
  xds::StreamError error =
      table_.request(caller.stream, "caller-" + std::to_string(caller.number), "z0", request, now_);
  if (error != xds::StreamError::kNone)
    throw std::runtime_error(std::string("session closed: ") + name_of(error));
}

void CallerPool::subscribe_by_name(Caller& caller, xds::ResourceType type,
                                   const std::vector<std::string>& names) {
  xds::Request request;
  request.type = type;
  (subscription_.variant == xds::ProtocolVariant::kDelta ? request.subscribe : request.names) = names;
  send_request(caller, request);
}

Traffic CallerPool::connect(std::size_t count) {
  Traffic out;
  for (std::size_t i = 0; i < count; ++i) {
    callers_.emplace_back();
    Caller& caller = callers_.back();
    caller.number = callers_.size();
    caller.stream =
        table_.open(subscription_.variant, "10.0.0.1:" + std::to_string(++streams_opened_ % 60'000));
    subscribe_by_name(caller, xds::ResourceType::kClusters, subscription_.clusters);
    subscribe_by_name(caller, xds::ResourceType::kListeners, {});
    subscribe_by_name(caller, xds::ResourceType::kRuntime, {kRuntimeLayer});
    receive(caller, out);
  }
  return out;
}

void CallerPool::disconnect() {
  for (const Caller& caller : callers_) table_.close(caller.stream, now_);
  callers_.clear();
}

Traffic CallerPool::receive_all() {
  Traffic out;
  for (Caller& caller : callers_) receive(caller, out);
  return out;
}

void CallerPool::receive(Caller& caller, Traffic& traffic) {
  while (auto response = table_.next(caller.stream)) {
    ++traffic.responses;
    traffic.bytes += static_cast<double>(encode_response_header(*response, subscription_.variant).size());
    for (const xds::ResourcePtr& resource : response->resources) {
      traffic.bytes += static_cast<double>(encoded_resource(*resource, subscription_.variant).size());
    }
    accept(caller, *response);
  }
}

// ACKs a response. The state-of-the-world variant repeats the subscribed names in each request.
void CallerPool::accept(Caller& caller, const xds::Response& response) {
  xds::Request request;
  request.type = response.type;
  request.nonce = response.nonce;
  if (subscription_.variant == xds::ProtocolVariant::kStateOfTheWorld) {
    if (response.type == xds::ResourceType::kClusters) request.names = subscription_.clusters;
    if (response.type == xds::ResourceType::kEndpoints) request.names = *caller.endpoints;
    if (response.type == xds::ResourceType::kRoutes) request.names = {listener_};
    if (response.type == xds::ResourceType::kRuntime) request.names = {kRuntimeLayer};
  }
  send_request(caller, request);
  if (response.type == xds::ResourceType::kClusters) subscribe_to_endpoints(caller, response);
  if (response.type == xds::ResourceType::kListeners && !caller.routes && !response.resources.empty()) {
    listener_ = response.resources.front()->name;
    caller.routes = true;
    subscribe_by_name(caller, xds::ResourceType::kRoutes, {listener_});
  }
}

// Subscribes to the endpoints of clusters not seen before. These fleets never remove a cluster.
void CallerPool::subscribe_to_endpoints(Caller& caller, const xds::Response& clusters) {
  std::vector<std::string> names;
  if (caller.endpoints && subscription_.variant == xds::ProtocolVariant::kDelta) names = *caller.endpoints;
  for (const xds::ResourcePtr& cluster : clusters.resources) names.push_back(cluster->name);
  std::sort(names.begin(), names.end());
  names.erase(std::unique(names.begin(), names.end()), names.end());
  if (caller.endpoints && *caller.endpoints == names) return;
  caller.endpoints = share_names(names);
  subscribe_by_name(caller, xds::ResourceType::kEndpoints, names);
}

}  // namespace myrtlecroft::capacity
