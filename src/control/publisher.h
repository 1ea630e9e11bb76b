// Builds resource sets from routing decisions and passes them to the discovery service, together with the
// proxies that may receive them. Owned by ControlService, used on the loop's thread. Owns the served sets.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>

#include "agreement/control_replica.h"
#include "control/discovery_service.h"
#include "control/publication_pacer.h"
#include "net/loop.h"
#include "service/ports.h"

namespace myrtlecroft::control {

// Serves one publication at a time.
class Publisher {
 public:
  // All arguments must outlive this object.
  Publisher(net::Loop& loop, service::Logger& log, DiscoveryService& discovery)
      : loop_(loop), log_(log), discovery_(discovery) {}

  // Serves this publication from now on. An inconsistent publication is logged and not served.
  void publish(const routing::PublishedSnapshot& published);
  // Serves the publication that the replicas have agreed on to the proxies in the replicated state. Without a
  // leader lease, new streams are sent the same publication with all shards closed. Must be called after
  // each change of the replicated state and several times a second.
  void publish_agreed(const agreement::ControlReplica& replica);

  // False during the pause that PublicationPacer requires after a publication.
  bool may_publish() const { return pacer_.may_publish(loop_.now()); }
  // Number of the publication that is served; 0: none.
  std::uint64_t number() const { return served_set_ ? served_set_->number : 0; }

 private:
  void build_closed_set(const routing::PublishedSnapshot& published);
  void update_gate(const agreement::ReplicatedState& state, Nanos fresh_until);

  net::Loop& loop_;
  service::Logger& log_;
  DiscoveryService& discovery_;
  PublicationPacer pacer_;
  std::shared_ptr<const xds::ResourceSet> served_set_;
  std::shared_ptr<const xds::ResourceSet> closed_set_;  // the same publication with all shards closed
  std::optional<agreement::Epoch> gate_epoch_;          // epoch of the list of proxies in the gate
};

}  // namespace myrtlecroft::control
