// Makes resource sets of what was decided and passes them to the discovery service, with the proxies that may
// have them. Owned by Control; used on the loop's thread. Owns the sets that are served.
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

class Publisher {
 public:
  // All outlive this.
  Publisher(net::Loop& loop, service::Logger& log, DiscoveryService& discovery)
      : loop_(loop), log_(log), discovery_(discovery) {}

  // Serves this publication from now on. One that fails the consistency check is logged and not served.
  void publish(const routing::PublishedSnapshot& published);
  // Serves what the replicas have agreed on, to the proxies they have agreed on. To be called after each
  // change of the agreed state, and several times a second.
  void publish_agreed(const agreement::ControlReplica& replica);

  // False for some time after a publication that took long.
  bool may_publish() const { return pacer_.may_publish(loop_.now()); }
  // The publication that is served; 0: none.
  std::uint64_t number() const { return served_ ? served_->number : 0; }

 private:
  void make_closed_set(const routing::PublishedSnapshot& published);
  void update_gate(const agreement::ReplicatedState& state, Nanos fresh_until);

  net::Loop& loop_;
  service::Logger& log_;
  DiscoveryService& discovery_;
  PublicationPacer pacer_;
  std::shared_ptr<const xds::ResourceSet> served_;
  std::shared_ptr<const xds::ResourceSet> closed_;  // the same without an open shard
  std::optional<agreement::Epoch> gate_epoch_;      // of the proxies that the gate admits
};

}  // namespace myrtlecroft::control
