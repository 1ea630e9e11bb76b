// The rig's control instances: processes, the relays between them, their faults, failovers, and whether they
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
  // Ends the processes.
  void close();
  std::string discovery(int first) const { return fleet_->discovery(first); }
  std::vector<int> admin_ports() const;
  std::vector<int> report_ports() const;
  // The instance that decided last; -1: none.
  int leader() const { return leader_; }

  // After `length` it starts again, with an empty folder where that was removed.
  void kill(int instance, Nanos length);
  void kill_and_remove_folder(int instance, Nanos length);
  void pause(int instance, Nanos length);
  // Disk and clock faults inside the process.
  void fail_inside(int instance, const Step& step);
  standin::Relay& relay(int from, int to) {
    return *instances_[static_cast<std::size_t>(from)].peers[static_cast<std::size_t>(to)];
  }
  void heal_links();

  // Notices who decides, from the logs.
  void check_logs();
  // Whether all instances have recovered and have the same state, by what each says at one moment.
  void check_recovered();
  RigFailovers failovers() const;

 private:
  struct Instance {
    std::vector<std::unique_ptr<standin::Relay>> peers;  // by instance
    std::unique_ptr<LogTail> log;
    bool paused = false;
    bool folder_lost = false;
  };
  struct RecoveryCheck;

  void start(int instance, standin::ControlCluster::Start how);
  bool can_fail(int instance);
  void leader_may_have_failed(int instance);
  void started_to_decide(int instance);
  void kill_at_sync(int instance, const Step& step);
  void check_instance(int instance, int round, RecoveryCheck& check);

  RigContext& context_;
  std::unique_ptr<standin::ControlCluster> fleet_;
  std::vector<Instance> instances_;
  std::vector<double> failovers_ms_;
  Nanos leader_failed_at_ = 0;  // 0: the leader has not failed, or another decides by now
  int leader_ = -1;
};

}  // namespace myrtlecroft::rehearsal
