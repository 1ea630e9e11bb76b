// The rig's real servers: processes, engines, the relays to the instances, restarts, and the checks of what
// they do on shard assignments and within the disruption budgets. Owned by Rig; used on the loop's thread.
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
    std::function<void(const standin::ObservedRun&)> run_started;  // at an engine
    // Whether servers may restart as told at this moment.
    std::function<bool()> release_under_way;
  };
  // `report_ports`: of the instances. Both references outlive this.
  RigServers(RigContext& context, const RigProxies& proxies, const std::vector<int>& report_ports,
             Handlers handlers);

  void write_files() const;
  void start_all();
  // Ends the processes.
  void close() { servers_.clear(); }

  // What the program does in this version, from a server's next start on.
  void set_behaviour(int version, standin::Behaviour behaviour) {
    behaviours_[version] = std::move(behaviour);
  }
  // How many run, and run this version.
  int running_version(int version) const;
  int count() const { return static_cast<int>(servers_.size()); }

  // Faults. After `length` it is as before.
  void kill(int server, Nanos length);
  void pause(int server, Nanos length);
  void slow_engine(int server, double times, Nanos length);
  void step_clock(int server, Nanos by, Nanos length);
  standin::Relay& report_relay(int server, int instance) {
    return *servers_[static_cast<std::size_t>(server)].reports[static_cast<std::size_t>(instance)];
  }
  void heal_links();

  // A request was received at `address` and its connection ended without an answer.
  void connection_cut(const std::string& address);
  void check_logs();
  // Starts those that exited again, in the version that their exit code names, as an installation does.
  void restart_exited();
  // `leased`: the servers with a maintenance lease, as agreed on.
  void check_budgets(const std::set<std::string>& leased);
  // Without a release: as many as may be out at once, at a fixed interval.
  void restart_next_batch();

 private:
  struct Server {
    int port = 0;
    standin::ChildProcess process;
    std::unique_ptr<standin::FaultFile> faults;
    std::unique_ptr<standin::Engine> engine;
    std::vector<std::unique_ptr<standin::Relay>> reports;  // by instance
    std::unique_ptr<LogTail> log;
    std::pair<std::uint64_t, std::uint64_t> epoch{};  // term and number of the last assignment it acted on
    Nanos killed_at = 0;
    bool alive = false;
    int version = 1;
    bool restarts_as_told = false;
    bool out_by_choice = false;  // from when proxies route nothing to it until it is back
  };

  void add(int index, const std::vector<int>& report_ports);
  void start(int server);
  void check_line(Server& server, const std::string& line);
  void leaves_as_told(Server& server);
  void mark_out_by_choice(Server& server);
  int out_by_choice() const;
  int failed() const;
  std::map<int, int> update_out_by_choice(const std::set<std::string>& leased);

  RigContext& context_;
  const RigProxies& proxies_;
  Handlers handlers_;
  standin::Database database_;
  std::vector<Server> servers_;
  std::map<int, standin::Behaviour> behaviours_;  // by version
  std::size_t batches_ = 0;                       // restarted
};

}  // namespace myrtlecroft::rehearsal
