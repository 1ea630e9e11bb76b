#include "xds/route_messages.h"

#include <algorithm>
#include <map>

#include "http_connection_manager.pb.h"
#include "router.pb.h"
#include "xds/resources.h"

namespace myrtlecroft::xds {

const std::string kRuntimeName = "admission";

namespace {

namespace core = envoy::config::core::v3;
namespace listener = envoy::config::listener::v3;
namespace route = envoy::config::route::v3;
using routing::RetryOn;

// Added to the timeout of a request class for the maximum stream duration, see set_action().
constexpr Nanos kStreamSlack = 2 * kSecond;
// HTTP statuses: the request was not run; the outcome of the request is unknown.
constexpr std::uint32_t kRejectedStatus = 503;
constexpr std::uint32_t kTerminatedStatus = 500;

void set_duration(google::protobuf::Duration& out, Nanos time) {
  out.set_seconds(time / kSecond);
  out.set_nanos(static_cast<std::int32_t>(time % kSecond));
}

// Builds the routes of one or several request classes in one virtual host.
class RouteBuilder {
 public:
  RouteBuilder(const routing::Snapshot& from, const std::string& name) : snapshot_(from) {
    out_.set_name(name);
    host_ = out_.add_virtual_hosts();
    host_->set_name(name);
    host_->add_domains("*");
  }
  // A keyed request class has one route per shard owner. The retry policy that they share is set once, at
  // the virtual host.
  void set_default_retries(const routing::RequestClassRoute& request_class) {
    if (default_retry_policy_ || request_class.idempotency != Idempotency::kKeyed ||
        request_class.retry_policy.retries == 0)
      return;
    default_retry_policy_ = &request_class.retry_policy;
    set_retries(*host_->mutable_retry_policy(), request_class.retry_policy);
  }
  void add(const routing::RequestClassRoute& request_class) {
    request_class.idempotency == Idempotency::kKeyed ? add_owner_routes(*host_, request_class)
                                                     : add_request_class_route(*host_, request_class);
  }
  RouteMessage finish() { return {std::move(out_), std::move(clusters_)}; }

 private:
  static std::string to_lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return text;
  }

  static void set_direct_response(route::Route& out, std::uint32_t status, Nanos retry_after) {
    out.mutable_direct_response()->set_status(status);
    core::HeaderValue& header = *out.add_response_headers_to_add()->mutable_header();
    header.set_key("hold-off-ms");
    header.set_value(std::to_string((retry_after + kMs - 1) / kMs));
  }

  static void set_retries(route::RetryPolicy& retry, const routing::RetryPolicy& policy) {
    std::string on;
    auto add_condition = [&](const char* condition) {
      on += (on.empty() ? "" : ",") + std::string(condition);
    };
    for (RetryOn when : policy.on) {
      switch (when) {
        case RetryOn::kNeverSent:
          add_condition("connect-failure,refused-stream");
          break;
        case RetryOn::kRejected:
          add_condition("retriable-status-codes");
          retry.add_retriable_status_codes(429);
          retry.add_retriable_status_codes(kRejectedStatus);
          break;
        case RetryOn::kReset:
          add_condition("reset,unavailable,resource-exhausted");
          break;
        case RetryOn::kAttemptTimeout:
          add_condition("gateway-error");
          break;
      }
    }
    retry.set_retry_on(on);
    retry.mutable_num_retries()->set_value(static_cast<std::uint32_t>(policy.retries));
    if (policy.per_attempt_timeout > 0)
      set_duration(*retry.mutable_per_try_timeout(), policy.per_attempt_timeout);
    set_duration(*retry.mutable_retry_back_off()->mutable_base_interval(), policy.backoff_min);
    set_duration(*retry.mutable_retry_back_off()->mutable_max_interval(), policy.backoff_max);
  }

  void set_action(route::Route& out, const routing::RequestClassRoute& request_class, const std::string& to) {
    route::RouteAction& action = *out.mutable_route();
    action.set_cluster(to);
    set_duration(*action.mutable_timeout(), request_class.timeout);
    // An upper bound for clients that apply no other timeout. Some clients were seen to start counting more
    // than a second before the call (docs/design/control-xds.md), so the slack keeps the bound from cutting
    // off requests that are still in time.
    set_duration(*action.mutable_max_stream_duration()->mutable_max_stream_duration(),
                 request_class.timeout + kStreamSlack);
    if (request_class.retry_policy.retries > 0 &&
        !(default_retry_policy_ && *default_retry_policy_ == request_class.retry_policy)) {
      set_retries(*action.mutable_retry_policy(), request_class.retry_policy);
    }
    if (request_class.idempotency == Idempotency::kIdempotent && !request_class.key_header.empty()) {
      action.add_hash_policy()->mutable_header()->set_header_name(to_lower(request_class.key_header));
    }
  }

  void add_request_class_route(route::VirtualHost& host, const routing::RequestClassRoute& request_class) {
    route::Route& out = *host.add_routes();
    out.set_name(request_class.name);
    out.mutable_match()->set_path(request_class.path);
    set_action(out, request_class, request_class_cluster_name(request_class.name));
    clusters_.insert(request_class_cluster_name(request_class.name));
    if (request_class.idempotency != Idempotency::kNone) return;
    // The admitted share is set by the runtime layer, so that a change of it changes no route.
    core::RuntimeFractionalPercent& fraction = *out.mutable_match()->mutable_runtime_fraction();
    fraction.mutable_default_value()->set_numerator(100);
    fraction.set_runtime_key(kRuntimeName + "." + request_class.name);
    route::Route& fallback = *host.add_routes();
    fallback.set_name(request_class.name + "/denied");
    fallback.mutable_match()->set_path(request_class.path);
    set_direct_response(fallback, kRejectedStatus, request_class.retry_after);
  }

  // A keyed request is routed to the owner of its key's shard. If the shard has no owner, the request may
  // already have run elsewhere, so it is terminated (500) instead of rejected (503).
  void add_owner_routes(route::VirtualHost& host, const routing::RequestClassRoute& request_class) {
    std::map<int, std::vector<std::size_t>> owned;
    for (std::size_t at = 0; at < snapshot_.shards.size(); ++at) {
      if (snapshot_.shards[at] != routing::kClosed) owned[snapshot_.shards[at]].push_back(at);
    }
    for (const auto& [at, shards] : owned) {
      const routing::NodeRoute& node = snapshot_.nodes[static_cast<std::size_t>(at)];
      route::Route& out = *host.add_routes();
      out.set_name(request_class.name + "/" + node.name);
      out.mutable_match()->set_path(request_class.path);
      route::HeaderMatcher& header = *out.mutable_match()->add_headers();
      header.set_name(to_lower(request_class.key_header));
      auto& pattern =
          // safe_regex_match is older than string_match and supported by more clients.
          *header.mutable_safe_regex_match();
      pattern.mutable_google_re2();
      pattern.set_regex(shard_key_pattern(shards, snapshot_.shard_digits));
      set_action(out, request_class, server_cluster_name(node.name));
      clusters_.insert(server_cluster_name(node.name));
    }
    route::Route& fallback = *host.add_routes();
    fallback.set_name(request_class.name + "/closed");
    fallback.mutable_match()->set_path(request_class.path);
    set_direct_response(fallback, kTerminatedStatus, snapshot_.closed_retry_after);
  }

  const routing::Snapshot& snapshot_;
  route::RouteConfiguration out_;
  route::VirtualHost* host_ = nullptr;
  std::set<std::string> clusters_;
  // Policy set at the virtual host; applies to all routes without their own.
  const routing::RetryPolicy* default_retry_policy_ = nullptr;
};

}  // namespace

RouteMessage fleet_routes(const routing::Snapshot& snapshot) {
  RouteBuilder builder(snapshot, snapshot.listener);
  for (const routing::RequestClassRoute& request_class : snapshot.request_classes)
    builder.set_default_retries(request_class);
  for (const routing::RequestClassRoute& request_class : snapshot.request_classes) builder.add(request_class);
  return builder.finish();
}

RouteMessage service_routes(const routing::Snapshot& snapshot,
                            const routing::RequestClassRoute& request_class) {
  RouteBuilder builder(snapshot, request_class.name);
  builder.set_default_retries(request_class);
  builder.add(request_class);
  return builder.finish();
}

listener::Listener listener_message(const std::string& name) {
  envoy::extensions::filters::network::http_connection_manager::v3::HttpConnectionManager manager;
  manager.set_stat_prefix(name);
  manager.mutable_rds()->set_route_config_name(name);
  manager.mutable_rds()->mutable_config_source()->mutable_ads();
  manager.mutable_rds()->mutable_config_source()->set_resource_api_version(core::V3);
  auto& filter = *manager.add_http_filters();
  filter.set_name("envoy.filters.http.router");
  filter.mutable_typed_config()->PackFrom(envoy::extensions::filters::http::router::v3::Router());
  listener::Listener out;
  out.set_name(name);
  out.mutable_api_listener()->mutable_api_listener()->PackFrom(manager);
  return out;
}

envoy::service::runtime::v3::Runtime runtime_message(const routing::Snapshot& snapshot) {
  envoy::service::runtime::v3::Runtime out;
  out.set_name(kRuntimeName);
  auto& fields = *out.mutable_layer()->mutable_fields();
  auto add_fraction = [&](const std::string& key, std::uint32_t share) {
    auto& fraction = *fields[key].mutable_struct_value()->mutable_fields();
    fraction["numerator"].set_number_value(share);
    fraction["denominator"].set_string_value("TEN_THOUSAND");
  };
  for (const routing::RequestClassRoute& request_class : snapshot.request_classes) {
    if (request_class.idempotency == Idempotency::kNone)
      add_fraction(kRuntimeName + "." + request_class.name, request_class.admitted);
  }
  for (const routing::TenantQuota& tenant : snapshot.tenants) {
    add_fraction("share." + tenant.name, tenant.quota);
  }
  return out;
}

}  // namespace myrtlecroft::xds
