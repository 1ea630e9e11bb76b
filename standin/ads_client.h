// A stand-in for a proxy's side of aggregated discovery, in both forms, written from the specification alone.
// It sees whether what it is told could ever be half applied. No I/O.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster.pb.h"
#include "endpoint.pb.h"
#include "route.pb.h"

namespace myrtlecroft::standin {

// All that a proxy needs to send an request; swapped whole.
struct AppliedSet {
  using Cluster = envoy::config::cluster::v3::Cluster;
  using Endpoints = envoy::config::endpoint::v3::ClusterLoadAssignment;
  using Routes = envoy::config::route::v3::RouteConfiguration;

  std::shared_ptr<const Routes> routes;  // of all services that were asked for by name, together
  std::map<std::string, std::shared_ptr<const Cluster>> clusters;
  std::map<std::string, std::shared_ptr<const Endpoints>> endpoints;
  std::map<std::string, double> fractions;  // from the runtime layer, 0 to 1
};

// What was read from equal bytes, once for all the proxies of a process: a thousand of them must not cost a
// thousand machines.
class ParsedResourceCache {
 public:
  struct Body {
    std::string name;
    std::shared_ptr<const google::protobuf::Message> message;
    std::set<std::string> refers;  // of routes: clusters; of listeners: routes
  };
  std::shared_ptr<const Body> read(const std::string& type, const std::string& bytes);

 private:
  std::mutex mutex_;
  std::map<std::uint64_t, std::weak_ptr<const Body>> bodies_;
};

class AdsClient {
 public:
  // `services`: listeners that it asks for by name, and then only for what they refer to; none: all there
  // are.
  AdsClient(bool delta, std::string id, std::string zone,
            std::shared_ptr<ParsedResourceCache> bodies = nullptr, std::vector<std::string> services = {})
      : delta_(delta),
        id_(std::move(id)),
        zone_(std::move(zone)),
        bodies_(bodies ? std::move(bodies) : std::make_shared<ParsedResourceCache>()),
        services_(std::move(services)) {}

  // A new stream: the requests that open it. What was applied stays.
  std::vector<std::string> open_stream();
  // A response as it came; the requests that follow from it.
  std::vector<std::string> handle_response(const std::string& bytes);
  // From now on refuses answers that hold a resource with this in its name; nothing: refuses none.
  void nack_matching(std::optional<std::string> part) { refuses_ = std::move(part); }

  const std::shared_ptr<const AppliedSet>& applied() const { return applied_; }
  // Times that routes came before what they refer to, or it went before they did.
  int half_applied() const { return half_applied_; }
  const std::string& half_applied_last() const { return half_applied_last_; }
  std::uint64_t bytes_in() const { return bytes_in_; }
  std::uint64_t changes() const { return changes_; }  // of what is applied

 private:
  struct Held {
    std::string version;
    std::shared_ptr<const ParsedResourceCache::Body> body;
  };
  struct Kind {
    std::map<std::string, Held> held;
    std::string version;
    std::string nonce;
    std::vector<std::string> asked;
  };
  std::string request(const std::string& type, const std::optional<std::string>& error, bool first,
                      const std::vector<std::string>& more, const std::vector<std::string>& fewer);
  std::optional<std::string> take(const std::string& type, Kind& kind, std::map<std::string, Held> resources,
                                  const std::vector<std::string>& removed, bool whole);
  void follow(std::vector<std::string>& out, const std::string& type, std::set<std::string> names);
  std::set<std::string> referred_by(const std::string& type) const;
  std::shared_ptr<const AppliedSet::Routes> held_routes();
  void apply();
  void half_applied(std::string what) { ++half_applied_, half_applied_last_ = std::move(what); }

  bool delta_;
  std::string id_;
  std::string zone_;
  std::shared_ptr<ParsedResourceCache> bodies_;
  std::vector<std::string> services_;
  std::map<std::string, Kind> kinds_;
  std::optional<std::string> refuses_;
  std::shared_ptr<const AppliedSet> applied_;
  int half_applied_ = 0;
  std::string half_applied_last_;
  std::uint64_t bytes_in_ = 0;
  std::uint64_t changes_ = 0;
};

}  // namespace myrtlecroft::standin
