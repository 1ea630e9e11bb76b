// The rig's real servers: processes, engines, relays to the instances and restarts, and the checks of their
// shard assignments and of the disruption budgets. Owned by Rig; used on the loop's thread.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "../standin/child.h"
#include "../standin/engine.h"
#include "../standin/faults.h"
#include "../standin/relay.h"
#include "log_tail.h"
#include "rig_context.h"
#include "rig_proxies.h"

namespace myrtlecroft::rehearsal {

class RigServers {
 public:
  struct Handlers {
    std::function<void(const standin::ObservedRun&)> run_started;  // called when an engine starts a run
    // Returns whether servers may restart by order at this moment.
    std::function<bool()> release_under_way;
  };
  // `report_ports`: report ports of the instances. `context` and `proxies` must outlive this object.
  RigServers(RigContext& context, const RigProxies& proxies, const std::vector<int>& report_ports,
             Handlers handlers);

  void write_files() const;
  void start_all();
  // Kills the processes.
  void close() { servers_.clear(); }

  // Sets how this version of the program behaves, from each server's next start on.
  void set_behaviour(int version, standin::Behaviour behaviour) {
    behaviours_[version] = std::move(behaviour);
  }
  // The number of running servers that have this version.
  int running_version(int version) const;
  int count() const { return static_cast<int>(servers_.size()); }

  // Each fault ends after `length`.
  void kill(int server, Nanos length);
  void pause(int server, Nanos length);
  void slow_engine(int server, double times, Nanos length);
  void step_clock(int server, Nanos by, Nanos length);
  standin::Relay& report_relay(int server, int instance) {
    return *servers_[static_cast<std::size_t>(server)].reports[static_cast<std::size_t>(instance)];
  }
  void heal_links();

  // Call when a server that received a request closed its connection without an answer.
  void handle_connection_lost(const std::string& address);
  void check_logs();
  // Restarts servers that exited, in the version that their exit code names, as an installation's supervisor
  // does.
  void restart_exited();
  // `leased`: the servers that hold a maintenance lease, according to the agreed state.
  void check_budgets(const std::set<std::string>& leased);
  // Without a release: restarts as many servers as may be out at once, at a fixed interval.
  void restart_next_batch();

 private:
  struct Server {
    int port = 0;
    standin::ChildProcess process;
    std::unique_ptr<standin::FaultFile> faults;
    std::unique_ptr<standin::Engine> engine;
    std::vector<std::unique_ptr<standin::Relay>> reports;  // relays to the instances, by instance
    std::unique_ptr<LogTail> log;
    std::pair<std::uint64_t, std::uint64_t>
        epoch{};  // term and number of the last assignment that took effect
    Nanos killed_at = 0;
    bool alive = false;
    int version = 1;
    bool restart_ordered = false;
    bool out_by_choice = false;  // from the moment when no proxy routes to it until it is back
  };

  void add(int index, const std::vector<int>& report_ports);
  void start(int server);
  void check_line(Server& server, const std::string& line);
  void begin_ordered_restart(Server& server);
  void mark_out_by_choice(Server& server);
  int out_by_choice() const;
  int failed() const;
  std::map<int, int> update_out_by_choice(const std::set<std::string>& leased);

  RigContext& context_;
  const RigProxies& proxies_;
  Handlers handlers_;
  standin::Database database_;
  std::vector<Server> servers_;
  std::map<int, standin::Behaviour> behaviours_;  // behaviours by version
  std::size_t batches_ = 0;                       // batches restarted so far
};

}  // namespace myrtlecroft::rehearsal
