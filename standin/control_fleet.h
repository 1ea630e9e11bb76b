// Real instances of the control service on loopback, each with ports, a folder and faults of its own.
#pragma once

#include <memory>
#include <set>
#include <string>
#include <vector>

#include "child.h"
#include "faults.h"

namespace myrtlecroft::standin {

// A port that nobody has, below those that the kernel gives to whoever connects: one that is asked of the
// kernel may be somebody's again before the process that is meant to have it has started.
int free_port(std::set<int>& taken);
std::string loopback_address(int port);

struct ControlClusterOptions {
  std::string folder;
  std::string fleet;  // its file
  int instances = 3;
  bool replicated = true;         // false: each decides alone
  std::vector<std::string> more;  // options of each
};

class ControlCluster {
 public:
  struct ReplicaProcess {
    int xds = 0, reports = 0, admin = 0, peer = 0;
    std::string
        address_overrides;  // others, where this one reaches them by another address: "2=127.0.0.1:7,..."
    std::unique_ptr<FaultFile> faults;
    ChildProcess process;
  };
  ControlCluster(ControlClusterOptions options, std::set<int>& taken);

  // Options of each instance that starts from here on.
  void set_extra_options(std::vector<std::string> more) { options_.more = std::move(more); }
  enum class Start { kFirstStart, kRestart, kJoin };
  void start(int at, Start how = Start::kRestart);
  void start_all();
  // A place more, for an instance that is to be let in; not started.
  int add();

  std::vector<ReplicaProcess>& all() { return places_; }
  ReplicaProcess& operator[](int at) { return places_[static_cast<std::size_t>(at)]; }
  int size() const { return static_cast<int>(places_.size()); }
  std::string log(int at) const { return options_.folder + "/control" + std::to_string(at) + ".log"; }
  std::string state(int at) const { return options_.folder + "/log" + std::to_string(at + 1); }
  // For a proxy's channel; `first` is tried first.
  std::string discovery(int first) const;

 private:
  ControlClusterOptions options_;
  std::set<int>& taken_;
  std::vector<ReplicaProcess> places_;
};

}  // namespace myrtlecroft::standin
