// Puts the decisions together: from the fleet file, the reports of servers and proxies and the time, one
// snapshot after another.
//
// Owned by the control service (alone) or by a ControlReplica (one of several); called on its loop's thread.
// No I/O, no clock of its own.
#pragma once

#include <algorithm>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "routing/admission.h"
#include "routing/persisted_state.h"
#include "routing/server_registry.h"
#include "routing/shards.h"
#include "routing/snapshot.h"
#include "routing/snapshot_builder.h"

namespace myrtlecroft::routing {

class Router {
 public:
  // `persisted`: what persisted_state() was before a restart, if known. `first_start`: no proxy was ever
  // served for this fleet, so that no key can have run anywhere.
  Router(fleet::Fleet fleet, std::optional<PersistedState> persisted, bool first_start, Nanos now,
         ServerRegistry::Log log);

  void update_fleet(fleet::Fleet fleet, Nanos now);
  ServerRegistry::Verdict handle_report(const report::LoadReport& report, Nanos now, std::int64_t unix_now) {
    return registry_.handle_report(report, now, unix_now);
  }
  void handle_report_connection(const std::string& node, bool up, Nanos now) {
    registry_.handle_report_connection(node, up, now);
  }
  void handle_proxy_counts(const ProxyCounts& counts, Nanos now) {
    registry_.handle_proxy_counts(counts, now);
  }
  // Exactly these servers are out for maintenance, as agreed.
  void set_out_for_maintenance(const std::set<std::string>& nodes) {
    registry_.set_out_for_maintenance(nodes);
  }
  // Every proxy that may still send has applied this publication or a later one.
  void set_applied_by_all_proxies(std::uint64_t number) { applied_ = number; }

  struct QuarantineOptions {
    Nanos min = 0;           // however short the deduplication windows are
    Nanos clock_margin = 0;  // added to the longest window: what a clock may be wrong by
  };
  void set_quarantine(const QuarantineOptions& options) { quarantine_ = options; }
  // How long a closed shard stays in quarantine; 0: no request class needs owners.
  Nanos quarantine() const;

  // Decides; to be called several times a second. A new publication where the snapshot has changed, else
  // null. What must be on disk before it is served is in persisted_state(). `agreed_now`: the time that
  // quarantines are counted in, where several instances agree on one.
  std::shared_ptr<const PublishedSnapshot> step(Nanos now, Nanos agreed_now);
  std::shared_ptr<const PublishedSnapshot> step(Nanos now) { return step(now, now); }
  // Follows the reports without deciding: another instance decides.
  void observe(Nanos now) { registry_.step(now); }
  // From here on it decides, and nothing was agreed yet: forgets its own decisions, not the reports.
  void reset(bool first_start);
  // From here on it decides, and goes on from what the instances have agreed on. A server that has not
  // reported here yet gets its agreed state. `published`: nullptr where nothing was ever published.
  void resume(const std::vector<PersistedState::Node>& nodes, std::vector<Shard> shards,
              std::shared_ptr<const PublishedSnapshot> published);

  const std::shared_ptr<const PublishedSnapshot>& published() const { return published_; }
  PersistedState persisted_state() const;
  const fleet::Fleet& fleet() const { return fleet_; }
  const ServerRegistry& registry() const { return registry_; }
  const Shards& shards() const { return shards_; }
  const Admission& admission() const { return admission_; }

 private:
  SnapshotInputs inputs() const {
    return {.fleet = fleet_, .registry = registry_, .shards = shards_, .admitted = admission_.admitted()};
  }
  // Serves this snapshot, fitted to the fleet file as it is, until enough servers have reported. Returns what
  // makes it unfit; then it is dropped.
  std::optional<SnapshotError> restore_snapshot(Snapshot snapshot);
  void decide(Nanos now, Nanos agreed_now);
  bool publication_is_current() const;
  // Publishes what differs from the last publication, unless it is unfit or comes too soon.
  std::shared_ptr<const PublishedSnapshot> publish(Snapshot next, Nanos now);
  // Notes what the last publication was built from.
  void note_inputs();

  fleet::Fleet fleet_;
  ServerRegistry registry_;
  Shards shards_;
  Admission admission_;
  std::uint64_t applied_ = 0;
  std::shared_ptr<const PublishedSnapshot> published_;
  // The registry's layout and what was admitted when `published_` was built here; layout 0: it was not.
  std::uint64_t published_layout_ = 0;
  std::vector<std::uint32_t> published_admitted_;
  std::optional<Snapshot> restored_;  // served until enough servers have reported
  bool restored_published_ = false;   // `published_` is `restored_`
  Nanos published_at_ = 0;
  QuarantineOptions quarantine_;
  ServerRegistry::Log log_;
  std::optional<SnapshotError> last_error_;  // logged last
};

}  // namespace myrtlecroft::routing
