// Stand-in for the client side of xDS aggregated discovery (state of the world and delta), written from the
// specification and not from the server's code. Detects updates that could be applied only in part. No I/O.
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

// Everything a proxy needs to route requests. Immutable once published; replaced as a whole.
struct AppliedSet {
  using Cluster = envoy::config::cluster::v3::Cluster;
  using Endpoints = envoy::config::endpoint::v3::ClusterLoadAssignment;
  using Routes = envoy::config::route::v3::RouteConfiguration;

  std::shared_ptr<const Routes> routes;  // merged from all services that are subscribed to by name
  std::map<std::string, std::shared_ptr<const Cluster>> clusters;
  std::map<std::string, std::shared_ptr<const Endpoints>> endpoints;
  std::map<std::string, double> fractions;  // from the runtime layer, 0 to 1
};

// Shares one parsed message among all proxies of a process that received equal bytes, so that one machine can
// run a thousand proxies. May be used from any thread.
class ParsedResourceCache {
 public:
  struct Body {
    std::string name;
    std::shared_ptr<const google::protobuf::Message> message;
    std::set<std::string> references;  // clusters of routes, routes of a listener
  };
  // Returns the parsed resource; its name is empty if `bytes` can't be parsed.
  std::shared_ptr<const Body> read(const std::string& type, const std::string& bytes);

 private:
  std::mutex mutex_;
  std::map<std::uint64_t, std::weak_ptr<const Body>> bodies_;
};

// Not thread-safe; AdsLink serializes the calls.
class AdsClient {
 public:
  // `services`: listeners to subscribe to by name, together with the resources that they reference; empty:
  // wildcard subscription to everything.
  AdsClient(bool delta, std::string id, std::string zone,
            std::shared_ptr<ParsedResourceCache> bodies = nullptr, std::vector<std::string> services = {})
      : delta_(delta),
        id_(std::move(id)),
        zone_(std::move(zone)),
        bodies_(bodies ? std::move(bodies) : std::make_shared<ParsedResourceCache>()),
        services_(std::move(services)) {}

  // Starts a new stream and returns the requests that open it. The applied set stays in use.
  std::vector<std::string> open_stream();
  // Handles one serialized response. Returns the requests to send: the ACK or NACK, and changed
  // subscriptions; none if the response can't be parsed.
  std::vector<std::string> handle_response(const std::string& bytes);
  // From now on sends a NACK for each response with a new resource whose name contains `name_part`; nullopt:
  // accepts all.
  void nack_matching(std::optional<std::string> name_part) { nacked_name_part_ = std::move(name_part); }

  const std::shared_ptr<const AppliedSet>& applied() const { return applied_; }
  // Number of times that a route arrived before the cluster or endpoints that it references, or one of these
  // was removed before the route.
  int half_applied() const { return half_applied_; }
  const std::string& half_applied_last() const { return half_applied_last_; }
  std::uint64_t bytes_in() const { return bytes_in_; }
  std::uint64_t changes() const { return changes_; }  // counts changes of the applied set

 private:
  struct AcceptedResource {
    std::string version;
    std::shared_ptr<const ParsedResourceCache::Body> body;
  };
  struct TypeState {
    std::map<std::string, AcceptedResource> accepted;
    std::string version;
    std::string nonce;
    std::vector<std::string> subscribed;
  };
  std::string request(const std::string& type, const std::optional<std::string>& error, bool first,
                      const std::vector<std::string>& subscribe, const std::vector<std::string>& unsubscribe);
  std::optional<std::string> validate_and_store(const std::string& type, TypeState& state,
                                                std::map<std::string, AcceptedResource> resources,
                                                const std::vector<std::string>& removed, bool replaces_all);
  void update_subscription(std::vector<std::string>& out, const std::string& type,
                           std::set<std::string> names);
  std::set<std::string> referenced_by(const std::string& type) const;
  std::shared_ptr<const AppliedSet::Routes> merged_routes();
  void apply();
  void half_applied(std::string description) { ++half_applied_, half_applied_last_ = std::move(description); }

  bool delta_;
  std::string id_;
  std::string zone_;
  std::shared_ptr<ParsedResourceCache> bodies_;
  std::vector<std::string> services_;
  std::map<std::string, TypeState> types_;
  std::optional<std::string> nacked_name_part_;
  std::shared_ptr<const AppliedSet> applied_;
  int half_applied_ = 0;
  std::string half_applied_last_;
  std::uint64_t bytes_in_ = 0;
  std::uint64_t changes_ = 0;
};

}  // namespace myrtlecroft::standin
