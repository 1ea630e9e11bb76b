// State machine of one proxy's aggregated discovery (ADS) stream: its subscriptions, the resources it has
// and the resources it rejected. No I/O.
//
// Handles both protocol variants: state of the world, where a response lists all wanted resources of a
// type, and delta, where it lists the changes. At most one response per type is pending, so that a proxy
// that doesn't read occupies a bounded amount of memory, and skips to the newest set when it reads again.
//
// Make before break: routes that refer to a cluster are withheld until the proxy has accepted that cluster
// and its endpoints, and clusters that have left the set stay until the proxy has accepted routes without
// them.
#pragma once

#include <deque>
#include <set>

#include "myrtlecroft/decaying_sum.h"
#include "xds/resources.h"

namespace myrtlecroft::xds {

enum class ProtocolVariant { kStateOfTheWorld, kDelta };

// A parsed request of either protocol variant.
struct Request {
  ResourceType type = ResourceType::kClusters;
  std::string nonce;
  std::optional<std::string> error;  // set: NACK of the response with this nonce
  // State of the world: all names subscribed to.
  std::vector<std::string> names;
  // Delta: changes of the subscription.
  std::vector<std::string> subscribe;
  std::vector<std::string> unsubscribe;
  // Key: name, value: version, of resources that the proxy had before this stream.
  std::map<std::string, std::string> known_versions;
};

// A response of either protocol variant, before it is encoded.
struct Response {
  ResourceType type = ResourceType::kClusters;
  std::string version;
  std::string nonce;
  std::vector<ResourcePtr> resources;
  std::vector<std::string> removed;  // delta only
};

// Why the control service closes a stream.
enum class StreamError { kNone, kTooManyNames, kTooManyRequests };
const char* name_of(StreamError error);

// A resource that the proxy rejected by a NACK, with the proxy's reason.
struct RejectedResource {
  ResourceType type;
  std::string resource;
  std::string version;
  std::string reason;
};

// Not thread-safe: SessionTable's owner serialises the calls.
class Session {
 public:
  explicit Session(ProtocolVariant variant) : variant_(variant) {}

  // Selects the subsets of services that the proxy receives. Must be called before the first set_target().
  void set_caller(const Caller& caller) { caller_ = caller; }
  // Sets the resource set that the proxy is to reach. The previous set is released once nothing of it is
  // needed.
  void set_target(std::shared_ptr<const ResourceSet> set);
  // Processes a request at the time `now` (monotonic). Returns why the stream must be closed, or kNone.
  StreamError request(const Request& request, Nanos now);
  // Returns the next response to write; nothing if an ACK or NACK must come first, or the proxy is up to
  // date.
  std::optional<Response> next();

  // The number of the last publication that the proxy has applied completely; 0 = none yet.
  std::uint64_t applied_publication();
  // A proxy may send requests only once it has subscribed to routes.
  bool subscribes_to_routes() const { return subscription(ResourceType::kRoutes).subscribed; }
  std::vector<RejectedResource> rejected_resources() const;
  std::uint64_t acks() const { return acks_; }
  std::uint64_t nacks() const { return nacks_; }
  ProtocolVariant variant() const { return variant_; }

 private:
  // What the proxy has accepted under one resource name.
  struct KnownResource {
    std::string version;   // empty: none, or it must be sent again
    ResourcePtr resource;  // null if only the version is known, from before this stream
  };
  // A response that was sent and is not yet acknowledged or rejected.
  struct Pending {
    std::string nonce;
    std::vector<ResourcePtr> resources;
    std::vector<std::string> removed;
  };
  // State of one resource type. The resources that the proxy has accepted are those of `accepted_set`,
  // which all sessions share, except for `differences`.
  struct Subscription {
    bool subscribed = false;
    bool wildcard = false;
    std::vector<std::string> names;  // sorted
    // Delta: requested names that need a response, even if they don't exist.
    std::set<std::string> names_to_answer;
    // State of the world: a response is due even if nothing changed.
    bool response_required = false;
    std::shared_ptr<const ResourceSet> accepted_set;
    std::map<std::string, KnownResource> differences;
    std::optional<Pending> pending;
    std::uint64_t response_count = 0;
    // The publication that the proxy is up to date with once no response is pending; 0 = none.
    std::uint64_t synced_publication = 0;
    std::map<std::string, std::pair<std::string, std::string>> rejected;  // name -> version, reason

    bool wants(const std::string& name) const;
    bool has_resource(ResourceType type, const std::string& name) const;
  };
  // The content of a response of one type, if it were sent now.
  struct ResponsePlan {
    std::vector<ResourcePtr> all;      // every resource the proxy should have
    std::vector<ResourcePtr> changed;  // the part of `all` that it lacks
    std::vector<std::string> removed;
    bool complete = true;  // false: resources are withheld, or kept, to preserve the update order
  };

  Subscription& subscription(ResourceType type) { return subscriptions_[static_cast<std::size_t>(type)]; }
  const Subscription& subscription(ResourceType type) const {
    return subscriptions_[static_cast<std::size_t>(type)];
  }

  // The resource of a set that this caller receives under a name; null if there is none.
  ResourcePtr find(const ResourceSet* set, ResourceType type, const std::string& name) const;
  // The resource that the proxy has accepted under a name.
  KnownResource known_resource(ResourceType type, const std::string& name) const;
  bool has_version(ResourceType type, const Resource& resource) const;

  void handle_request(Subscription& state, const Request& request);
  void handle_ack(Subscription& state, ResourceType type);
  void discard_endpoints(const std::string& cluster);
  void handle_nack(Subscription& state, ResourceType type, const std::string& reason);
  void update_subscription(Subscription& state, const Request& request, bool is_first);
  static void unsubscribe(Subscription& state, const std::string& name);

  bool references_accepted(const Resource& routes) const;
  bool routes_up_to_date() const;
  bool has_cluster(const std::string& name) const;
  bool only_changes_needed(ResourceType type, const Subscription& state) const;
  ResponsePlan plan_response(ResourceType type, const Subscription& state) const;
  template <class Visit>
  void for_each_wanted_change(ResourceType type, const Subscription& state, Visit visit) const;
  template <class Visit>
  void for_each_accepted_name(ResourceType type, const Subscription& state, Visit visit) const;
  std::optional<Response> make_response(ResourceType type, Subscription& state);
  void record_synced(ResourceType type, Subscription& state, bool complete);

  ProtocolVariant variant_;
  Caller caller_;
  std::shared_ptr<const ResourceSet> target_;
  std::array<Subscription, kTypeCount> subscriptions_;
  DecayingSum requests_{kSecond};
  bool has_accepted_routes_ = false;  // on this stream
  std::uint64_t applied_ = 0;
  std::uint64_t acks_ = 0;
  std::uint64_t nacks_ = 0;
};

}  // namespace myrtlecroft::xds
