#include "xds/resources.h"

#include <xxhash.h>

#include <cstdio>

namespace myrtlecroft::xds {

std::string hex(std::uint64_t value) {
  char out[17];
  std::snprintf(out, sizeof out, "%016llx", static_cast<unsigned long long>(value));
  return out;
}

const std::string& type_url_of(ResourceType type) {
  static const std::array<std::string, kTypeCount> urls = {
      "type.googleapis.com/envoy.config.cluster.v3.Cluster",
      "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment",
      "type.googleapis.com/envoy.config.listener.v3.Listener",
      "type.googleapis.com/envoy.config.route.v3.RouteConfiguration",
      "type.googleapis.com/envoy.service.runtime.v3.Runtime"};
  return urls[static_cast<std::size_t>(type)];
}

const char* name_of(ResourceType type) {
  constexpr const char* names[] = {"clusters", "endpoints", "listeners", "routes", "runtime"};
  return names[static_cast<std::size_t>(type)];
}

std::optional<ResourceType> type_from_url(std::string_view url) {
  for (ResourceType type : kAllTypes) {
    if (type_url_of(type) == url) return type;
  }
  return std::nullopt;
}

std::string request_class_cluster_name(const std::string& request_class) { return "group/" + request_class; }
std::string server_cluster_name(const std::string& node) { return "node/" + node; }

std::string shard_key_pattern(const std::vector<std::size_t>& shards, int digits) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  // Key: all digits of a shard but the last; value: the last digits.
  std::map<std::size_t, std::string> last_digits_by_prefix;
  for (std::size_t shard : shards) last_digits_by_prefix[shard >> 4] += kDigits[shard & 15];
  std::string out = "(?i)(?:";
  for (const auto& [prefix, last] : last_digits_by_prefix) {
    if (out.back() != ':') out += '|';
    for (int at = digits - 2; at >= 0; --at) out += kDigits[(prefix >> (4 * at)) & 15];
    out += last.size() == kDigits.size() ? "[0-9a-f]" : last.size() == 1 ? last : "[" + last + "]";
  }
  return out + ").*";
}

std::string version_of(const Resources& resources) {
  std::string all;
  for (const auto& [name, resource] : resources) all += name + '\n' + resource->version + '\n';
  return hex(XXH3_64bits(all.data(), all.size()));
}

}  // namespace myrtlecroft::xds
