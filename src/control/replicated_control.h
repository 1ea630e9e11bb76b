// One control replica with its adapters: the storage of the raft log, the links to the other replicas and the
// timer. Created by ControlService, which then serves the replicated state instead of its own decisions. Used
// on the loop's thread. Owns the storage, the links, the rollout controller and the replica.
#pragma once

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "agreement/control_replica.h"
#include "consensus/store_raft_storage.h"
#include "control/peer_links.h"
#include "net/loop.h"
#include "releases/rollout_controller.h"
#include "service/ports.h"

namespace myrtlecroft::control {

// Options of a replica, from the command line.
struct AgreementOptions {
  consensus::ReplicaId id = 0;  // 0: the control service is standalone
  std::string address;          // at which the other replicas reach this one
  std::string folder;           // that holds the raft log
  // The members of a new cluster, including this one. Empty if the folder already holds a log.
  std::vector<consensus::Server> bootstrap;
  // Replicas that this one reaches at another address than the cluster knows.
  std::vector<consensus::Server> address_overrides;
  bool join = false;  // a new replica that waits until the leader adds it
  std::uint32_t max_entry_format = agreement::kEntryFormat;  // newest format that it accepts and writes
  unsigned snapshot_threshold = 512;                         // log entries between two snapshots
};

// An option's text is not a list of instances. what() names the invalid entry.
class InstanceListError final : public std::runtime_error {
 public:
  explicit InstanceListError(const std::string& entry)
      : std::runtime_error("invalid instance, expected one such as 1=127.0.0.1:7401: '" + entry + "'"),
        entry_(entry) {}
  const std::string& entry() const { return entry_; }

 private:
  std::string entry_;
};

// The content of the raft log's folder contradicts the options. what() says how to resolve it.
class LogFolderError final : public std::runtime_error {
 public:
  enum class Kind { kOwnedByAnotherInstance, kEmpty, kNotEmpty };
  LogFolderError(Kind kind, const std::string& message) : std::runtime_error(message), kind_(kind) {}
  Kind kind() const { return kind_; }

 private:
  Kind kind_;
};

// Parses "1=127.0.0.1:7401,2=127.0.0.1:7402". Throws InstanceListError.
std::vector<consensus::Server> parse_instances(const std::string& list);

// Runs a ControlReplica on the event loop.
class ReplicatedControl {
 public:
  using StateChanged = std::function<void()>;
  // The fleet as read at the start.
  struct InitialFleet {
    fleet::Fleet fleet;
    bool first_start = false;           // no proxy was ever served for this fleet
    std::uint64_t fleet_file_hash = 0;  // replicas compare it to detect different fleet files
  };
  // `state_changed` is called on the loop's thread after this replica has applied a decision. Throws
  // LogFolderError, ListenError, and std::runtime_error if the folder cannot be used.
  ReplicatedControl(net::Loop& loop, service::Logger& log, const AgreementOptions& options,
                    InitialFleet initial_fleet, StateChanged state_changed);
  ~ReplicatedControl();

  agreement::ControlReplica& replica() { return *replica_; }
  const agreement::ControlReplica& replica() const { return *replica_; }
  const PeerLinks& links() const { return *links_; }
  const releases::RolloutController& rollout() const { return rollout_; }
  // Transfers leadership if this replica leads and there are other voters, so that the cluster need not wait
  // for an election. `done` is called in every case.
  void transfer_leadership(std::function<void()> done);

 private:
  void open_log(const AgreementOptions& options);
  void open_links(net::Loop& loop, const AgreementOptions& options);
  void tick();

  service::Logger& log_;
  StateChanged state_changed_;
  net::CrossThreadWakeup disk_wakeup_;
  std::unique_ptr<consensus::StoreRaftStorage> storage_;
  std::unique_ptr<PeerLinks> links_;
  releases::RolloutController rollout_;
  std::unique_ptr<agreement::ControlReplica> replica_;
  net::Timer tick_timer_;
};

}  // namespace myrtlecroft::control
