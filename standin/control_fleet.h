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
std::string on_loopback(int port);

struct ControlFleetOptions {
  std::string folder;
  std::string fleet;  // its file
  int instances = 3;
  bool agreed = true;             // false: each decides alone
  std::vector<std::string> more;  // options of each
};

class ControlFleet {
 public:
  struct Place {
    int xds = 0, reports = 0, admin = 0, peer = 0;
    std::string reach;  // others, where this one reaches them by another address: "2=127.0.0.1:7,..."
    std::unique_ptr<FaultFile> faults;
    Child process;
  };
  ControlFleet(ControlFleetOptions options, std::set<int>& taken);

  // Options of each instance that starts from here on.
  void set_more(std::vector<std::string> more) { options_.more = std::move(more); }
  enum class Start { kFirst, kAgain, kJoin };
  void start(int at, Start how = Start::kAgain);
  void start_all();
  // A place more, for an instance that is to be let in; not started.
  int add();

  std::vector<Place>& all() { return places_; }
  Place& operator[](int at) { return places_[static_cast<std::size_t>(at)]; }
  int size() const { return static_cast<int>(places_.size()); }
  std::string log(int at) const { return options_.folder + "/control" + std::to_string(at) + ".log"; }
  std::string state(int at) const { return options_.folder + "/log" + std::to_string(at + 1); }
  // For a proxy's channel; `first` is tried first.
  std::string discovery(int first) const;

 private:
  ControlFleetOptions options_;
  std::set<int>& taken_;
  std::vector<Place> places_;
};

}  // namespace myrtlecroft::standin
