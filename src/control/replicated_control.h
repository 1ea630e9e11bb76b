// An instance among those that decide as one, with what it needs of the world: its folder, its links, its
// beat. Control asks it what is agreed instead of deciding alone.
#pragma once

#include <memory>
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
  consensus::InstanceId id = 0;  // 0: this control service decides alone
  std::string address;           // where other instances reach it
  std::string folder;            // of its log
  std::vector<consensus::Server>
      begin;  // the first instances of a fleet, itself among them; empty where there is a log
  std::vector<consensus::Server>
      reach;          // others, where they are reached from here by another address than all know
  bool join = false;  // new: it waits until it is let in
  std::uint32_t format = agreement::kFormat;  // the newest form of entries that it takes and writes
  unsigned snapshot_after = 512;              // entries
};

// "1=127.0.0.1:7401,2=127.0.0.1:7402". Throws std::runtime_error.
std::vector<consensus::Server> instances_of(const std::string& list);

class ReplicatedControl {
 public:
  using News = std::function<void()>;
  // Throws std::runtime_error, also where the folder is another instance's.
  ReplicatedControl(net::Loop& loop, service::Logger& log, const AgreementOptions& options,
                    fleet::Fleet fleet, bool first_start, std::uint64_t settings, News news);
  ~ReplicatedControl();

  agreement::ControlReplica& instance() { return *instance_; }
  const agreement::ControlReplica& instance() const { return *instance_; }
  const PeerLinks& links() const { return *links_; }
  const releases::RolloutController& rollout_controller() const { return rollout_controller_; }
  // Before a stop: leadership goes to another, so that nobody waits for an election.
  void transfer_leadership(std::function<void()> then);

 private:
  void beat();

  service::Logger& log_;
  News news_;
  net::CrossThreadWakeup disk_;
  std::unique_ptr<consensus::StoreRaftStorage> storage_;
  std::unique_ptr<PeerLinks> links_;
  releases::RolloutController rollout_controller_;
  std::unique_ptr<agreement::ControlReplica> instance_;
  net::Timer again_;
};

}  // namespace myrtlecroft::control
