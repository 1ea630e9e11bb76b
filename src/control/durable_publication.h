// Publishes the decisions of a standalone control service once the state behind them is on disk. Otherwise
// the new owner of a key would be unknown after a crash. Owned by ControlService, used on the loop's thread.
// Owns the store.
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

// Saves the state, then publishes the decisions it covers.
class DurablePublication {
 public:
  struct Targets {
    DiscoveryService& discovery;
    Publisher& publisher;
    std::function<routing::PersistedState()> state;  // the state to save; called after restore()
  };
  // With an empty `folder` nothing is saved and publications do not wait. The objects in `targets` must
  // outlive this one. Throws StateFolderError, and std::runtime_error if the folder cannot be used.
  DurablePublication(net::Loop& loop, service::Logger& log, const std::string& folder, Targets targets);

  // Returns the state saved before the start, if there is one that this version can read, and passes the
  // saved proxies to the discovery service.
  std::optional<routing::PersistedState> restore();
  // Sets the publication to save and publish next; replaces one that is still waiting.
  void set_pending_publication(std::shared_ptr<const routing::PublishedSnapshot> published) {
    pending_publication_ = std::move(published);
  }
  bool has_pending_publication() const { return pending_publication_ != nullptr; }
  // Starts a save if one is due, and publishes. Must be called several times a second.
  void step();
  // True if the last save failed.
  bool disk_fails() const { return disk_fails_; }

 private:
  void handle_save_result(SaveResult result);
  void log_disk_change(SaveResult result);

  net::Loop& loop_;
  service::Logger& log_;
  std::string folder_;
  Targets targets_;
  std::unique_ptr<StateStore> store_;                                      // nullptr if no state is saved
  std::shared_ptr<const routing::PublishedSnapshot> pending_publication_;  // decided, not yet saved
  std::shared_ptr<const routing::PublishedSnapshot>
      publication_being_saved_;  // covered by the state being saved
  std::string state_being_saved_;
  std::string last_saved_state_;
  bool disk_fails_ = false;
  Nanos last_attempt_at_ = 0;
};

}  // namespace myrtlecroft::control
