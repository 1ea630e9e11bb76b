#include "rig_proxies.h"

#include <algorithm>
#include <regex>
#include <string_view>

#include "rig_files.h"

namespace myrtlecroft::rehearsal {
namespace {

constexpr std::string_view kShardDigits = "0123456789abcdef";  // one shard per first digit of a key
constexpr unsigned kProxySeedOffset = 100;

// The servers to which requests without a key are routed.
std::set<std::string> servers_of(const standin::AppliedSet& set) {
  std::set<std::string> out;
  auto found = set.endpoints.find(std::string("group/") + kReadClasses[0]);
  if (found == set.endpoints.end()) return out;
  for (const auto& locality : found->second->endpoints()) out.insert(locality.locality().sub_zone());
  return out;
}

// For each shard the cluster, of one server, to which its keys are routed; empty: closed.
std::vector<std::string> owners_of(const standin::AppliedSet& set) {
  std::vector<std::string> out(kShardDigits.size());
  for (const auto& host : set.routes->virtual_hosts()) {
    for (const auto& route : host.routes()) {
      if (!route.has_route() || route.match().headers_size() == 0) continue;
      std::string pattern = route.match().headers(0).safe_regex_match().regex();
      std::regex key_pattern(pattern.starts_with("(?i)") ? pattern.substr(4) : pattern);
      for (std::size_t shard = 0; shard < kShardDigits.size(); ++shard) {
        std::string key(1, kShardDigits[shard]);
        if (std::regex_match(key + "0", key_pattern)) out[shard] = route.route().cluster();
      }
    }
  }
  return out;
}

}  // namespace

void RigProxies::add(const std::string& discovery) {
  int number = static_cast<int>(streams_.size());
  bool delta = number % 2 == 0;
  streams_.push_back(std::make_unique<standin::AdsLink>(discovery, delta, "p" + std::to_string(number)));
  latest_.emplace_back();
  proxies_.push_back(std::make_unique<standin::Proxy>(
      context_.loop(), context_.log(), [stream = streams_.back().get()] { return stream->applied(); },
      number + 1, context_.options().seed + kProxySeedOffset + static_cast<unsigned>(number)));
}

void RigProxies::close() {
  proxies_.clear();
  streams_.clear();
}

bool RigProxies::all_have_applied_sets() const {
  return std::all_of(streams_.begin(), streams_.end(),
                     [](const auto& stream) { return stream->applied() != nullptr; });
}

void RigProxies::send(standin::Request request, std::function<void(const standin::RequestResult&)> ended) {
  proxies_[context_.random()() % proxies_.size()]->send(std::move(request), std::move(ended));
}

void RigProxies::check_owners() {
  for (std::size_t i = 0; i < streams_.size(); ++i) {
    auto set = streams_[i]->applied();
    if (set && latest_[i].set != set) latest_[i] = {set, owners_of(*set), servers_of(*set)};
  }
  for (std::size_t shard = 0; shard < kShardDigits.size(); ++shard) check_shard(shard);
}

void RigProxies::check_shard(std::size_t shard) {
  const std::string* last_owner = nullptr;
  for (const LatestSet& latest : latest_) {
    if (!latest.set || latest.owners[shard].empty()) continue;
    const std::string& owner = latest.owners[shard];
    if (last_owner && *last_owner != owner) {
      std::string pair = *last_owner < owner ? *last_owner + owner : owner + *last_owner;
      if (reported_splits_.insert({shard, pair}).second) {
        context_.record_violation(
            &RigViolations::split_owners,
            "shard " + std::to_string(shard) + " is open at " + *last_owner + " and " + owner);
      }
    }
    last_owner = &owner;
  }
}

bool RigProxies::any_routes_to(const std::string& server) const {
  return std::any_of(latest_.begin(), latest_.end(),
                     [&](const LatestSet& latest) { return latest.servers.contains(server); });
}

}  // namespace myrtlecroft::rehearsal
