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
using routing::RepeatOn;

constexpr Nanos kStreamSlack = 2 * kSecond;
constexpr std::uint32_t kDenied = 503;
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
  void share_repeats(const routing::GroupRoute& group) {
    if (usual_ || group.effect != Effect::kDeduplicated || group.repeats.retries == 0) return;
    usual_ = &group.repeats;
    set_retries(*host_->mutable_retry_policy(), group.repeats);
  }
  void add(const routing::GroupRoute& group) {
    group.effect == Effect::kDeduplicated ? add_owner_routes(*host_, group) : add_group_route(*host_, group);
  }
  RouteMessage take() { return {std::move(out_), std::move(refers_)}; }

 private:
  static std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return text;
  }

  static void answer_directly(route::Route& out, std::uint32_t status, Nanos stay_away) {
    out.mutable_direct_response()->set_status(status);
    core::HeaderValue& header = *out.add_response_headers_to_add()->mutable_header();
    header.set_key("hold-off-ms");
    header.set_value(std::to_string((stay_away + kMs - 1) / kMs));
  }

  static void set_retries(route::RetryPolicy& retry, const routing::RepeatRule& rule) {
    std::string on;
    auto say = [&](const char* words) { on += (on.empty() ? "" : ",") + std::string(words); };
    for (RepeatOn when : rule.on) {
      switch (when) {
        case RepeatOn::kNeverSent:
          say("connect-failure,refused-stream");
          break;
        case RepeatOn::kDenied:
          say("retriable-status-codes");
          retry.add_retriable_status_codes(429);
          retry.add_retriable_status_codes(kDenied);
          break;
        case RepeatOn::kReset:
          say("reset,unavailable,resource-exhausted");
          break;
        case RepeatOn::kLate:
          say("gateway-error");
          break;
      }
    }
    retry.set_retry_on(on);
    retry.mutable_num_retries()->set_value(static_cast<std::uint32_t>(rule.retries));
    if (rule.per_try > 0) set_duration(*retry.mutable_per_try_timeout(), rule.per_try);
    set_duration(*retry.mutable_retry_back_off()->mutable_base_interval(), rule.wait_least);
    set_duration(*retry.mutable_retry_back_off()->mutable_max_interval(), rule.wait_most);
  }

  void set_action(route::Route& out, const routing::GroupRoute& group, const std::string& to) {
    route::RouteAction& action = *out.mutable_route();
    action.set_cluster(to);
    set_duration(*action.mutable_timeout(), group.timeout);
    // An outer bound for clients that know no other. Some were seen to count it from more than a second
    // before the call (docs/design/control-xds.md): it must not cut short what is still in time.
    set_duration(*action.mutable_max_stream_duration()->mutable_max_stream_duration(),
                 group.timeout + kStreamSlack);
    if (group.repeats.retries > 0 && !(usual_ && *usual_ == group.repeats)) {
      set_retries(*action.mutable_retry_policy(), group.repeats);
    }
    if (group.effect == Effect::kRepeatable && !group.key_header.empty()) {
      action.add_hash_policy()->mutable_header()->set_header_name(lower(group.key_header));
    }
  }

  void add_group_route(route::VirtualHost& host, const routing::GroupRoute& group) {
    route::Route& out = *host.add_routes();
    out.set_name(group.name);
    out.mutable_match()->set_path(group.path);
    set_action(out, group, cluster_of_group(group.name));
    refers_.insert(cluster_of_group(group.name));
    if (group.effect != Effect::kMutating) return;
    // How much is let through comes by runtime layer, so that a change of it touches no route.
    core::RuntimeFractionalPercent& fraction = *out.mutable_match()->mutable_runtime_fraction();
    fraction.mutable_default_value()->set_numerator(100);
    fraction.set_runtime_key(kRuntimeName + "." + group.name);
    route::Route& rest = *host.add_routes();
    rest.set_name(group.name + "/denied");
    rest.mutable_match()->set_path(group.path);
    answer_directly(rest, kDenied, group.stay_away);
  }

  // Who owns the shard of a key runs it. Where nobody does, the exchange may have run already, and nobody
  // knows: it is terminated, never denied.
  void add_owner_routes(route::VirtualHost& host, const routing::GroupRoute& group) {
    std::map<int, std::vector<std::size_t>> owned;
    for (std::size_t at = 0; at < from_.shards.size(); ++at) {
      if (from_.shards[at] != routing::kClosed) owned[from_.shards[at]].push_back(at);
    }
    for (const auto& [at, shards] : owned) {
      const routing::NodeRoute& node = from_.nodes[static_cast<std::size_t>(at)];
      route::Route& out = *host.add_routes();
      out.set_name(group.name + "/" + node.name);
      out.mutable_match()->set_path(group.path);
      route::HeaderMatcher& header = *out.mutable_match()->add_headers();
      header.set_name(lower(group.key_header));
      auto& pattern =
          *header.mutable_safe_regex_match();  // older than string_match, and known to more clients
      pattern.mutable_google_re2();
      pattern.set_regex(pattern_of(shards, from_.shard_digits));
      set_action(out, group, cluster_of_node(node.name));
      refers_.insert(cluster_of_node(node.name));
    }
    route::Route& rest = *host.add_routes();
    rest.set_name(group.name + "/closed");
    rest.mutable_match()->set_path(group.path);
    answer_directly(rest, kTerminated, from_.closed_for);
  }

  const routing::Snapshot& from_;
  route::RouteConfiguration out_;
  route::VirtualHost* host_ = nullptr;
  std::set<std::string> refers_;
  const routing::RepeatRule* usual_ = nullptr;  // as said for all routes that say nothing else
};

}  // namespace

RouteMessage fleet_routes(const routing::Snapshot& snapshot) {
  RouteBuilder builder(snapshot, snapshot.listener);
  for (const routing::GroupRoute& group : snapshot.groups) builder.share_repeats(group);
  for (const routing::GroupRoute& group : snapshot.groups) builder.add(group);
  return builder.take();
}

RouteMessage service_routes(const routing::Snapshot& snapshot, const routing::GroupRoute& group) {
  RouteBuilder builder(snapshot, group.name);
  builder.share_repeats(group);
  builder.add(group);
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
  for (const routing::GroupRoute& group : snapshot.groups) {
    if (group.effect == Effect::kMutating) add_fraction(kRuntimeName + "." + group.name, group.admitted);
  }
  for (const routing::CustomerShare& customer : snapshot.customers) {
    add_fraction("share." + customer.name, customer.share);
  }
  return out;
}

}  // namespace myrtlecroft::xds
