// Publishes what a control service that decides alone has decided, once the state it rests on is on disk:
// after a crash a key's new owner must still be known. Owned by Control; used on the loop's thread. Owns the
// store.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "control/discovery_service.h"
#include "control/publisher.h"
#include "control/state_store.h"
#include "routing/router.h"

namespace myrtlecroft::control {

class DurablePublication {
 public:
  struct Targets {
    DiscoveryService& discovery;
    Publisher& publisher;
    std::function<routing::PersistedState()> state;  // what must be saved, at any time after restore()
  };
  // An empty `folder`: nothing is saved, and publications need not wait. What the targets name outlives this.
  // Throws as StateStore does.
  DurablePublication(net::Loop& loop, service::Logger& log, const std::string& folder, Targets targets);

  // What was saved before the start; passes the proxies that were known then to the discovery service.
  std::optional<routing::PersistedState> restore();
  // Replaces a publication that waits.
  void set_pending(std::shared_ptr<const routing::PublishedSnapshot> published) {
    pending_ = std::move(published);
  }
  bool has_pending() const { return pending_ != nullptr; }
  // Saves, and publishes, what is due. To be called several times a second.
  void step();
  bool disk_fails() const { return disk_fails_; }

 private:
  void saved(SaveResult result);
  void log_disk_change(SaveResult result);

  net::Loop& loop_;
  service::Logger& log_;
  std::string folder_;
  Targets targets_;
  std::unique_ptr<StateStore> store_;                          // nullptr: nothing is saved
  std::shared_ptr<const routing::PublishedSnapshot> pending_;  // decided, not yet saved
  std::shared_ptr<const routing::PublishedSnapshot> covered_;  // by the state that is being saved
  std::string saving_;
  std::string saved_;
  bool disk_fails_ = false;
  Nanos attempted_at_ = 0;
};

}  // namespace myrtlecroft::control
