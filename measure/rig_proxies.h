// The rig's stand-in proxies: their discovery streams, and what the sets say that they have applied. Owned by
// Rig; used on the loop's thread.
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

  // `discovery`: the targets of its channel.
  void add(const std::string& discovery);
  void close();

  bool all_have_a_set() const;
  // Through a proxy that chance draws.
  void send(standin::Request request, std::function<void(const standin::RequestResult&)> ended);
  void cut_stream(int proxy) { streams_[static_cast<std::size_t>(proxy)]->reset_stream(); }
  // Takes the sets that are new, and checks that no shard is open at two servers.
  void check_owners();
  // Whether some proxy routes reads to the server.
  bool route_to(const std::string& server) const;

 private:
  struct LatestSet {
    std::shared_ptr<const standin::AppliedSet> set;
    std::vector<std::string> owners;  // by shard; empty: closed
    std::set<std::string> servers;    // of reads
  };
  void check_shard(std::size_t shard);

  RigContext& context_;
  std::vector<std::unique_ptr<standin::AdsLink>> streams_;
  std::vector<std::unique_ptr<standin::Proxy>> proxies_;
  std::vector<LatestSet> latest_;
  std::set<std::pair<std::size_t, std::string>> reported_splits_;
};

}  // namespace myrtlecroft::rehearsal
