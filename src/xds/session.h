// One proxy's stream of aggregated discovery: what it asked for, what it has, what it refused. No I/O.
//
// Both forms of the protocol are one machine here: state of the world, where an answer lists all that is
// wanted of a type, and delta, where it lists what changed. For each type at most one answer is out, so that
// a proxy that does not read costs what it has already got, and skips to the newest set when it reads again.
//
// Make before break: routes that refer to a cluster are held until the proxy has accepted that cluster and
// its endpoints, and clusters that are no longer in the set stay until the proxy has accepted routes without
// them.
#pragma once

#include <deque>
#include <set>

#include "myrtlecroft/decaying_sum.h"
#include "xds/resources.h"

namespace myrtlecroft::xds {

enum class ProtocolVariant { kStateOfTheWorld, kDelta };

// A request in either form, as it was read.
struct Request {
  ResourceType type = ResourceType::kClusters;
  std::string nonce;
  std::optional<std::string> error;  // the proxy refuses the answer with this nonce
  // State of the world: all names that are wanted.
  std::vector<std::string> names;
  // Delta.
  std::vector<std::string> subscribe;
  std::vector<std::string> unsubscribe;
  std::map<std::string, std::string> has;  // names and versions from before this stream
};

struct Response {
  ResourceType type = ResourceType::kClusters;
  std::string version;
  std::string nonce;
  std::vector<ResourcePtr> resources;
  std::vector<std::string> removed;  // delta only
};

// Why a stream is ended by us.
enum class StreamError { kNone, kTooManyNames, kTooManyRequests };
const char* name_of(StreamError fault);

struct RejectedResource {
  ResourceType type;
  std::string resource;
  std::string version;
  std::string reason;
};

class Session {
 public:
  explicit Session(ProtocolVariant variant) : form_(variant) {}

  // Who is served: it decides which subsets of services it is told of. Before the first set is offered.
  void set_caller(const Caller& caller) { caller_ = caller; }
  // A newer set. The one before is let go of as soon as nothing of it is needed.
  void offer(std::shared_ptr<const ResourceSet> set);
  StreamError request(const Request& request, Nanos now);
  // What should be written next; nothing where the proxy must answer first, or has all there is.
  std::optional<Response> next();

  // The publication that the proxy has applied whole; 0 = none yet.
  std::uint64_t applied();
  // It has asked for routes, so that it may send requests.
  bool routes() const { return of(ResourceType::kRoutes).subscribed; }
  std::vector<RejectedResource> rejected_resources() const;
  std::uint64_t acks() const { return acks_; }
  std::uint64_t nacks() const { return nacks_; }
  ProtocolVariant variant() const { return form_; }

 private:
  // What the proxy has under a name.
  struct Has {
    std::string version;   // empty: nothing, or it must be told again
    ResourcePtr resource;  // null where only the version is known, from before this stream
  };
  struct Pending {
    std::string nonce;
    std::vector<ResourcePtr> resources;
    std::vector<std::string> removed;
  };
  // What the proxy has accepted is a set that all proxies share, and what differs from that.
  struct Subscription {
    bool subscribed = false;
    bool wildcard = false;
    std::vector<std::string> names;    // in order
    std::set<std::string> unanswered;  // delta: names to be told of, whatever there is
    bool must_answer = false;          // state of the world: an answer is owed even if nothing changed
    std::shared_ptr<const ResourceSet> base;
    std::map<std::string, Has> differs;
    std::optional<Pending> pending;
    std::uint64_t answers = 0;
    std::uint64_t synced = 0;  // with nothing out: the proxy has all it can have of this set
    std::map<std::string, std::pair<std::string, std::string>> refused;  // name -> version, reason

    bool wants(const std::string& name) const;
    bool has_any(ResourceType type, const std::string& name) const;
  };
  // What should go out of one type, were it told now.
  struct Plan {
    std::vector<ResourcePtr> whole;    // all that the proxy should have
    std::vector<ResourcePtr> changed;  // of that
    std::vector<std::string> gone;
    bool complete = true;  // nothing is held back for the sake of order
  };

  Subscription& of(ResourceType type) { return subscriptions_[static_cast<std::size_t>(type)]; }
  const Subscription& of(ResourceType type) const { return subscriptions_[static_cast<std::size_t>(type)]; }

  // What this caller is told of a set under a name; null where there is nothing.
  ResourcePtr find(const ResourceSet* set, ResourceType type, const std::string& name) const;
  Has has(ResourceType type, const std::string& name) const;
  bool has_version(ResourceType type, const Resource& resource) const;

  void handle(Subscription& state, const Request& request);
  void accept(Subscription& state, ResourceType type);
  void forget_endpoints(const std::string& cluster);
  void refuse(Subscription& state, ResourceType type, const std::string& reason);
  void subscribe(Subscription& state, const Request& request, bool first);
  static void drop(Subscription& state, const std::string& name);

  bool usable(const Resource& routes) const;
  bool routes_settled() const;
  bool has_cluster(const std::string& name) const;
  bool only_news(ResourceType type, const Subscription& state) const;
  Plan plan(ResourceType type, const Subscription& state) const;
  template <class Visit>
  void for_each_wanted_change(ResourceType type, const Subscription& state, Visit visit) const;
  template <class Visit>
  void for_each_in_base(ResourceType type, const Subscription& state, Visit visit) const;
  std::optional<Response> answer(ResourceType type, Subscription& state);
  void settle(ResourceType type, Subscription& state, bool complete);

  ProtocolVariant form_;
  Caller caller_;
  std::shared_ptr<const ResourceSet> target_;
  std::array<Subscription, kTypes> subscriptions_;
  DecayingSum requests_{kSecond};
  bool routes_once_ = false;  // the proxy has accepted routes on this stream
  std::uint64_t applied_ = 0;
  std::uint64_t acks_ = 0;
  std::uint64_t nacks_ = 0;
};

}  // namespace myrtlecroft::xds
