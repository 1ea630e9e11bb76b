// Real processes of the control service on loopback, each with its own ports, folder and injected faults.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "child.h"
#include "faults.h"
#include "port_reservations.h"

namespace myrtlecroft::standin {

struct ControlClusterOptions {
  std::string folder;
  std::string fleet;  // path of the fleet file
  int instances = 3;
  bool replicated = true;         // false: each instance decides alone
  std::vector<std::string> more;  // extra command-line options of every instance
};

class ControlCluster {
 public:
  struct ReplicaProcess {
    int xds = 0, reports = 0, admin = 0, peer = 0;
    // Addresses at which this instance reaches others instead of their own: "2=127.0.0.1:7,...".
    std::string address_overrides;
    std::unique_ptr<FaultFile> faults;
    ChildProcess process;
  };
  ControlCluster(ControlClusterOptions options, PortReservations& ports);

  // Sets the extra command-line options of instances started from now on.
  void set_extra_options(std::vector<std::string> more) { options_.more = std::move(more); }
  enum class Start { kFirstStart, kRestart, kJoin };
  void start(int instance, Start mode = Start::kRestart);
  // Ends the period in which the instance may crash at a sync (FaultFile::crash_after_syncs). If it has begun
  // to crash, waits for its exit, starts it again and returns true.
  bool restart_if_crashed(int instance);
  void start_all();
  // Adds an instance that can join later, without starting it. Returns its index.
  int add();

  std::vector<ReplicaProcess>& all() { return replicas_; }
  ReplicaProcess& operator[](int instance) { return replicas_[static_cast<std::size_t>(instance)]; }
  int size() const { return static_cast<int>(replicas_.size()); }
  std::string log(int instance) const {
    return options_.folder + "/control" + std::to_string(instance) + ".log";
  }
  std::string state(int instance) const { return options_.folder + "/log" + std::to_string(instance + 1); }
  // The gRPC target with all instances, for a proxy's channel; instance `first` is tried first.
  std::string discovery(int first) const;

 private:
  ControlClusterOptions options_;
  PortReservations& ports_;
  std::vector<ReplicaProcess> replicas_;
};

}  // namespace myrtlecroft::standin
