// The rig's stand-in proxies: their discovery streams and the sets that they have applied. Owned by Rig; used
// on the loop's thread.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../standin/ads_link.h"
#include "../standin/proxy.h"
#include "rig_context.h"

namespace myrtlecroft::rehearsal {

class RigProxies {
 public:
  explicit RigProxies(RigContext& context) : context_(context) {}

  // `discovery`: gRPC target of the proxy's channel.
  void add(const std::string& discovery);
  void close();

  bool all_have_applied_sets() const;
  // Sends the request through a randomly chosen proxy.
  void send(standin::Request request, std::function<void(const standin::RequestResult&)> ended);
  void cut_stream(int proxy) { streams_[static_cast<std::size_t>(proxy)]->reset_stream(); }
  // Reads newly applied sets, and checks that no shard is open at two servers.
  void check_owners();
  // Whether some proxy routes reads to the server.
  bool any_routes_to(const std::string& server) const;

 private:
  struct LatestSet {
    std::shared_ptr<const standin::AppliedSet> set;
    std::vector<std::string> owners;  // owner of each shard; empty: closed
    std::set<std::string> servers;    // servers that get reads
  };
  void check_shard(std::size_t shard);

  RigContext& context_;
  std::vector<std::unique_ptr<standin::AdsLink>> streams_;
  std::vector<std::unique_ptr<standin::Proxy>> proxies_;
  std::vector<LatestSet> latest_;
  std::set<std::pair<std::size_t, std::string>> reported_splits_;
};

}  // namespace myrtlecroft::rehearsal
