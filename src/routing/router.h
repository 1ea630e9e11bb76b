// Combines all routing decisions: computes snapshots from the fleet file, the reports of servers and proxies,
// and the time.
//
// Owned by the control service if it runs alone, or by ControlReplica if it is replicated; called on its
// loop's thread. No I/O; the time is passed in.
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

// Publishes a new snapshot whenever a decision changes.
class Router {
 public:
  // `persisted`: the result of persisted_state() before a restart, if known. `first_start`: no proxy has ever
  // been served for this fleet, so no key can have run anywhere.
  Router(fleet::Fleet fleet, std::optional<PersistedState> persisted, bool first_start, Nanos now,
         ServerRegistry::Log log);

  // Replaces the fleet description after a reload of the fleet file.
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
  // Sets the complete list of servers that are out for maintenance.
  void set_out_for_maintenance(const std::set<std::string>& nodes) {
    registry_.set_out_for_maintenance(nodes);
  }
  // Reports that every proxy that may still send requests has applied publication `number` or a later one.
  void set_applied_by_all_proxies(std::uint64_t number) { applied_ = number; }

  struct QuarantineOptions {
    Nanos min = 0;           // lower limit, for short deduplication windows
    Nanos clock_margin = 0;  // added to the longest window, for clock errors
  };
  void set_quarantine(const QuarantineOptions& options) { quarantine_ = options; }
  // Returns how long a closed shard stays in quarantine; 0 if no request class needs shard owners.
  Nanos quarantine() const;

  // Makes all decisions; to be called several times a second. Returns a new publication if the snapshot has
  // changed, else nullptr. persisted_state() has what must be on disk before the publication is served.
  // `agreed_now`: the clock of the quarantines, on which replicas agree.
  std::shared_ptr<const PublishedSnapshot> step(Nanos now, Nanos agreed_now);
  std::shared_ptr<const PublishedSnapshot> step(Nanos now) { return step(now, now); }
  // Evaluates the reports without making decisions, while another replica is the leader.
  void observe(Nanos now) { registry_.step(now); }
  // Starts to decide as the first leader, when nothing has been committed yet: drops earlier decisions, but
  // not the reports.
  void reset(bool first_start);
  // Starts to decide as a new leader, from the committed state. A server that has not reported to this
  // replica yet gets its committed state. `published`: the last publication, or nullptr if there was none.
  void resume(const std::vector<PersistedState::Node>& nodes, std::vector<Shard> shards,
              std::shared_ptr<const PublishedSnapshot> published);

  // The last publication; nullptr before the first.
  const std::shared_ptr<const PublishedSnapshot>& published() const { return published_; }
  // The state to store or replicate for a restart.
  PersistedState persisted_state() const;
  const fleet::Fleet& fleet() const { return fleet_; }
  const ServerRegistry& registry() const { return registry_; }
  const Shards& shards() const { return shards_; }
  const Admission& admission() const { return admission_; }

 private:
  SnapshotInputs inputs() const {
    return {.fleet = fleet_, .registry = registry_, .shards = shards_, .admitted = admission_.admitted()};
  }
  // Serves this snapshot, adapted to the current fleet file, until enough servers have reported. If the
  // adapted snapshot is invalid, drops it and returns the error.
  std::optional<SnapshotError> restore_snapshot(Snapshot snapshot);
  void decide(Nanos now, Nanos agreed_now);
  bool publication_is_current() const;
  // Publishes `next` if it differs from the last publication, is valid and does not come too soon.
  std::shared_ptr<const PublishedSnapshot> publish(Snapshot next, Nanos now);
  // Records the inputs of the last publication, for publication_is_current().
  void record_published_inputs();

  fleet::Fleet fleet_;
  ServerRegistry registry_;
  Shards shards_;
  Admission admission_;
  std::uint64_t applied_ = 0;
  std::shared_ptr<const PublishedSnapshot> published_;
  // The registry's layout generation and the admitted shares when this process built `published_`; generation
  // 0 if it did not build it.
  std::uint64_t published_layout_generation_ = 0;
  std::vector<std::uint32_t> published_admitted_;
  std::optional<Snapshot> restored_;  // served until enough servers have reported
  bool restored_published_ = false;   // `published_` has the content of `restored_`
  Nanos published_at_ = 0;
  QuarantineOptions quarantine_;
  ServerRegistry::Log log_;
  std::optional<SnapshotError> last_error_;  // the last one logged, to log each error once
};

}  // namespace myrtlecroft::routing
