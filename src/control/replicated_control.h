// One control replica of several, with its adapters: the raft log's folder, the links to the other replicas
// and the timer. Made by Control, which asks it for what is agreed instead of deciding alone; used on the
// loop's thread. Owns the storage, the links, the rollout controller and the replica.
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

struct AgreementOptions {
  consensus::ReplicaId id = 0;  // 0: this control service decides alone
  std::string address;          // where the other replicas reach this one
  std::string folder;           // of the raft log
  // The members of a new cluster, this one among them; empty where the folder has a log.
  std::vector<consensus::Server> bootstrap;
  // Replicas that are reached from here at another address than the cluster knows.
  std::vector<consensus::Server> address_overrides;
  bool join = false;  // a new replica: it waits until the leader adds it
  std::uint32_t max_entry_format = agreement::kEntryFormat;  // the newest that it accepts and writes
  unsigned snapshot_threshold = 512;                         // log entries
};

// The text of an option is no list of instances; what() names the part that is wrong.
class InstanceListError final : public std::runtime_error {
 public:
  explicit InstanceListError(const std::string& part)
      : std::runtime_error("not an instance like 1=127.0.0.1:7401: '" + part + "'"), part_(part) {}
  const std::string& part() const { return part_; }

 private:
  std::string part_;
};

// The folder of the raft log does not fit the options; what() says what to do.
class LogFolderError final : public std::runtime_error {
 public:
  enum class Kind { kOfAnotherInstance, kEmpty, kHasALog };
  LogFolderError(Kind kind, const std::string& message) : std::runtime_error(message), kind_(kind) {}
  Kind kind() const { return kind_; }

 private:
  Kind kind_;
};

// Parses "1=127.0.0.1:7401,2=127.0.0.1:7402". Throws InstanceListError.
std::vector<consensus::Server> parse_instances(const std::string& list);

class ReplicatedControl {
 public:
  using StateChanged = std::function<void()>;
  struct Start {
    fleet::Fleet fleet;
    bool first_start = false;           // no proxy was ever served for this fleet
    std::uint64_t fleet_file_hash = 0;  // of the fleet file, so that replicas see whether theirs differ
  };
  // `state_changed` is called on the loop's thread after a decision was applied here. Throws LogFolderError,
  // and std::runtime_error where the folder can't be used or the address can't be listened on.
  ReplicatedControl(net::Loop& loop, service::Logger& log, const AgreementOptions& options, Start start,
                    StateChanged state_changed);
  ~ReplicatedControl();

  agreement::ControlReplica& replica() { return *replica_; }
  const agreement::ControlReplica& replica() const { return *replica_; }
  const PeerLinks& links() const { return *links_; }
  const releases::RolloutController& rollout() const { return rollout_; }
  // Where this replica leads and there are others, another takes the lead, so that none waits for an
  // election. `done` is called in any case.
  void transfer_leadership(std::function<void()> done);

 private:
  void open_log(const AgreementOptions& options);
  void connect(net::Loop& loop, const AgreementOptions& options);
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
