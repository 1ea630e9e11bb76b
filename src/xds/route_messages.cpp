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

constexpr Nanos kStreamSlack = 2 * kSecond;
constexpr std::uint32_t kRejected = 503;
constexpr std::uint32_t kTerminated = 500;

void set_duration(google::protobuf::Duration& out, Nanos time) {
  out.set_seconds(time / kSecond);
  out.set_nanos(static_cast<std::int32_t>(time % kSecond));
}

// Routes of some groups, in one virtual host.
class RouteBuilder {
 public:
  RouteBuilder(const routing::Snapshot& from, const std::string& name) : from_(from) {
    out_.set_name(name);
    host_ = out_.add_virtual_hosts();
    host_->set_name(name);
    host_->add_domains("*");
  }
  // A group with owners has a route for each of them: what they share is said once.
  void share_retries(const routing::RequestClassRoute& request_class) {
    if (usual_ || request_class.idempotency != Idempotency::kKeyed || request_class.retry_policy.retries == 0)
      return;
    usual_ = &request_class.retry_policy;
    set_retries(*host_->mutable_retry_policy(), request_class.retry_policy);
  }
  void add(const routing::RequestClassRoute& request_class) {
    request_class.idempotency == Idempotency::kKeyed ? add_owner_routes(*host_, request_class)
                                                     : add_group_route(*host_, request_class);
  }
  RouteMessage take() { return {std::move(out_), std::move(refers_)}; }

 private:
  static std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return text;
  }

  static void answer_directly(route::Route& out, std::uint32_t status, Nanos retry_after) {
    out.mutable_direct_response()->set_status(status);
    core::HeaderValue& header = *out.add_response_headers_to_add()->mutable_header();
    header.set_key("hold-off-ms");
    header.set_value(std::to_string((retry_after + kMs - 1) / kMs));
  }

  static void set_retries(route::RetryPolicy& retry, const routing::RetryPolicy& rule) {
    std::string on;
    auto say = [&](const char* words) { on += (on.empty() ? "" : ",") + std::string(words); };
    for (RetryOn when : rule.on) {
      switch (when) {
        case RetryOn::kNeverSent:
          say("connect-failure,refused-stream");
          break;
        case RetryOn::kRejected:
          say("retriable-status-codes");
          retry.add_retriable_status_codes(429);
          retry.add_retriable_status_codes(kRejected);
          break;
        case RetryOn::kReset:
          say("reset,unavailable,resource-exhausted");
          break;
        case RetryOn::kAttemptTimeout:
          say("gateway-error");
          break;
      }
    }
    retry.set_retry_on(on);
    retry.mutable_num_retries()->set_value(static_cast<std::uint32_t>(rule.retries));
    if (rule.per_attempt_timeout > 0)
      set_duration(*retry.mutable_per_try_timeout(), rule.per_attempt_timeout);
    set_duration(*retry.mutable_retry_back_off()->mutable_base_interval(), rule.backoff_min);
    set_duration(*retry.mutable_retry_back_off()->mutable_max_interval(), rule.backoff_max);
  }

  void set_action(route::Route& out, const routing::RequestClassRoute& request_class, const std::string& to) {
    route::RouteAction& action = *out.mutable_route();
    action.set_cluster(to);
    set_duration(*action.mutable_timeout(), request_class.timeout);
    // An outer bound for clients that know no other. Some were seen to count it from more than a second
    // before the call (docs/design/control-xds.md): it must not cut short what is still in time.
    set_duration(*action.mutable_max_stream_duration()->mutable_max_stream_duration(),
                 request_class.timeout + kStreamSlack);
    if (request_class.retry_policy.retries > 0 && !(usual_ && *usual_ == request_class.retry_policy)) {
      set_retries(*action.mutable_retry_policy(), request_class.retry_policy);
    }
    if (request_class.idempotency == Idempotency::kIdempotent && !request_class.key_header.empty()) {
      action.add_hash_policy()->mutable_header()->set_header_name(lower(request_class.key_header));
    }
  }

  void add_group_route(route::VirtualHost& host, const routing::RequestClassRoute& request_class) {
    route::Route& out = *host.add_routes();
    out.set_name(request_class.name);
    out.mutable_match()->set_path(request_class.path);
    set_action(out, request_class, request_class_cluster_name(request_class.name));
    refers_.insert(request_class_cluster_name(request_class.name));
    if (request_class.idempotency != Idempotency::kNone) return;
    // How much is let through comes by runtime layer, so that a change of it touches no route.
    core::RuntimeFractionalPercent& fraction = *out.mutable_match()->mutable_runtime_fraction();
    fraction.mutable_default_value()->set_numerator(100);
    fraction.set_runtime_key(kRuntimeName + "." + request_class.name);
    route::Route& rest = *host.add_routes();
    rest.set_name(request_class.name + "/denied");
    rest.mutable_match()->set_path(request_class.path);
    answer_directly(rest, kRejected, request_class.retry_after);
  }

  // Who owns the shard of a key runs it. Where nobody does, the request may have run already, and nobody
  // knows: it is terminated, never rejected.
  void add_owner_routes(route::VirtualHost& host, const routing::RequestClassRoute& request_class) {
    std::map<int, std::vector<std::size_t>> owned;
    for (std::size_t at = 0; at < from_.shards.size(); ++at) {
      if (from_.shards[at] != routing::kClosed) owned[from_.shards[at]].push_back(at);
    }
    for (const auto& [at, shards] : owned) {
      const routing::NodeRoute& node = from_.nodes[static_cast<std::size_t>(at)];
      route::Route& out = *host.add_routes();
      out.set_name(request_class.name + "/" + node.name);
      out.mutable_match()->set_path(request_class.path);
      route::HeaderMatcher& header = *out.mutable_match()->add_headers();
      header.set_name(lower(request_class.key_header));
      auto& pattern =
          *header.mutable_safe_regex_match();  // older than string_match, and known to more clients
      pattern.mutable_google_re2();
      pattern.set_regex(shard_key_pattern(shards, from_.shard_digits));
      set_action(out, request_class, cluster_of_node(node.name));
      refers_.insert(cluster_of_node(node.name));
    }
    route::Route& rest = *host.add_routes();
    rest.set_name(request_class.name + "/closed");
    rest.mutable_match()->set_path(request_class.path);
    answer_directly(rest, kTerminated, from_.closed_retry_after);
  }

  const routing::Snapshot& from_;
  route::RouteConfiguration out_;
  route::VirtualHost* host_ = nullptr;
  std::set<std::string> refers_;
  const routing::RetryPolicy* usual_ = nullptr;  // as said for all routes that say nothing else
};

}  // namespace

RouteMessage fleet_routes(const routing::Snapshot& snapshot) {
  RouteBuilder builder(snapshot, snapshot.listener);
  for (const routing::RequestClassRoute& request_class : snapshot.request_classes)
    builder.share_retries(request_class);
  for (const routing::RequestClassRoute& request_class : snapshot.request_classes) builder.add(request_class);
  return builder.take();
}

RouteMessage service_routes(const routing::Snapshot& snapshot,
                            const routing::RequestClassRoute& request_class) {
  RouteBuilder builder(snapshot, request_class.name);
  builder.share_retries(request_class);
  builder.add(request_class);
  return builder.take();
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
