// The rig's control instances: processes, the relays between them, faults, failovers, and the check that they
// agree in the end. Owned by Rig; used on the loop's thread.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "../standin/control_fleet.h"
#include "../standin/relay.h"
#include "log_tail.h"
#include "rig_context.h"

namespace myrtlecroft::rehearsal {

class RigInstances {
 public:
  explicit RigInstances(RigContext& context);

  void start_all();
  // Kills the processes.
  void close();
  std::string discovery(int first) const { return fleet_->discovery(first); }
  std::vector<int> admin_ports() const;
  std::vector<int> report_ports() const;
  // Index of the instance that last became leader; -1: none yet.
  int leader() const { return leader_; }

  // Kills the instance and starts it again after `length`; without its folder if that was removed.
  void kill(int instance, Nanos length);
  void kill_and_remove_folder(int instance, Nanos length);
  void pause(int instance, Nanos length);
  // Injects a disk or clock fault, or a kill at a sync, into the process.
  void inject_process_fault(int instance, const Step& step);
  standin::Relay& relay(int from, int to) {
    return *instances_[static_cast<std::size_t>(from)].peers[static_cast<std::size_t>(to)];
  }
  void heal_links();

  // Records a violation for each instance that exited without an injected fault.
  void check_exits();
  // Detects a change of leader from the logs.
  void check_logs();
  // Checks that all instances have recovered and have the same state at the same epoch.
  void check_recovered();
  RigFailovers failovers() const;

 private:
  struct Instance {
    std::vector<std::unique_ptr<standin::Relay>> peers;  // relays to the other instances, by instance
    std::unique_ptr<LogTail> log;
    bool paused = false;
    bool folder_lost = false;
  };
  struct RecoveryCheck;

  void start(int instance, standin::ControlCluster::Start mode);
  bool can_fail(int instance);
  void note_leader_failure(int instance);
  void handle_leader_change(int instance);
  void kill_at_sync(int instance, const Step& step);
  void check_instance(int instance, int round, RecoveryCheck& check);

  RigContext& context_;
  std::unique_ptr<standin::ControlCluster> fleet_;
  std::vector<Instance> instances_;
  std::vector<double> failovers_ms_;
  Nanos leader_failed_at_ = 0;  // 0: the leader has not failed, or has been replaced
  int leader_ = -1;
};

}  // namespace myrtlecroft::rehearsal
