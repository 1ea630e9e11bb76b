// Simulates control service replicas, servers and proxies in virtual time. The replicas run the production
// decision code; a seed determines every fault of links, disks, clocks and processes, so a run is
// reproducible from its seed.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "agreement/control_replica.h"
#include "fencing/fencing_guard.h"
#include "releases/rollout_controller.h"

namespace myrtlecroft::rehearsal {

// Size, load and faults of one simulation; all times are virtual.
struct SimulationOptions {
  std::uint32_t seed = 1;
  int instances = 3;  // replicas of the control service
  int nodes = 6;      // servers
  int proxies = 4;
  int shard_digits = 1;
  double faults_per_s = 0.5;
  double keys_per_s = 40;
  Nanos fault_duration = 30 * kSecond;
  Nanos recovery_duration = 25 * kSecond;  // time without faults at the end, in which everything must recover
  Nanos window = 2000 * kMs;               // deduplication window
  bool fences = true;                      // false: servers admit every request, to show that fencing matters
  // Operators start, halt and roll back releases, some of a bad version, and drain servers, through any
  // replica.
  bool releases = true;
  int max_unavailable = 2;  // disruption budget: servers out of service at once
};

// Counts of events and of broken invariants over one simulation.
struct SimulationResult {
  int faults = 0;
  std::uint64_t decisions = 0;
  std::uint64_t runs = 0;
  std::uint64_t rejected = 0;
  int duplicate_runs = 0;        // runs of a key beyond its first within the deduplication window
  int split_owners = 0;          // two proxies routed one shard to different servers at the same time
  int stale_epochs = 0;          // a server accepted an assignment of an older epoch than its own
  int lost_entries = 0;          // two states with one epoch number, or a committed entry that is missing
  int rejected_old_folders = 0;  // replicas that detected that their folder was restored from an older copy
  int invalid_proposals = 0;     // proposals of a leader that the replicated state rejected
  int not_recovered = 0;         // at the end: no single leader, a replica without quorum, or a closed shard
  int releases = 0;              // started
  int restarts = 0;              // of servers, ordered by the control service
  int over_budget = 0;           // restarts that exceeded max_unavailable
  int unpermitted_restarts = 0;  // a server restarted without an agreed maintenance lease
  int bad_versions_completed = 0;  // releases of a bad version that finished
  std::string first;               // the first violation with its seed and time; empty: none
  int violations() const {
    return duplicate_runs + split_owners + stale_epochs + lost_entries + not_recovered + over_budget +
           unpermitted_restarts + bad_versions_completed;
  }
};

// Runs one simulation on the calling thread.
class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options);
  ~Simulation();
  // Runs to the end of the virtual time; to be called once.
  SimulationResult play();

 private:
  struct Disk;
  struct ReplicaTransport;
  struct Replica;
  struct Server;
  struct Proxy;
  struct KeyedRequest;
  struct Event {
    Nanos at;
    std::uint64_t number;
    std::function<void()> action;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void schedule(Nanos delay, std::function<void()> action);
  double draw_fraction() { return std::uniform_real_distribution<>(0, 1)(random_); }
  int draw_index(int count) { return std::uniform_int_distribution<>(0, count - 1)(random_); }
  Nanos draw_duration(Nanos min, Nanos max) {
    return std::uniform_int_distribution<Nanos>(min, max)(random_);
  }
  // Datagrams may be lost; stream data waits while the link is cut.
  void deliver(int from, int to, std::function<void()> on_arrival);
  void send_on_stream(int from, int to, std::function<void()> on_arrival);
  bool is_cut(int from, int to) const;

  void start_replica(Replica& replica);
  void kill_replica(Replica& replica);
  void tick_replica(Replica& replica);
  void run_server(Server& server);
  report::LoadReport next_report(Server& server);
  void run_proxy(Proxy& proxy);
  void connect(Proxy& proxy);
  void send_to_proxies(Replica& replica);
  void send_keyed_request();
  void send_attempt(std::shared_ptr<KeyedRequest> request);
  void handle_request(Server& server, std::shared_ptr<KeyedRequest> request);
  void inject_fault();
  // Faults, one function for each kind, applied to randomly chosen targets.
  static constexpr int kFaultKinds = 16;
  struct FaultTarget {
    Replica& replica;
    Server& server;
    Proxy& proxy;
    Nanos length;
  };
  void crash_leader(const FaultTarget& target);
  void crash_replica(const FaultTarget& target);
  void pause_replica(const FaultTarget& target);
  void cut_one_way(const FaultTarget& target);
  void partition_replicas(const FaultTarget& target);
  void slow_replica(const FaultTarget& target);
  void flap_link(const FaultTarget& target);
  void fail_disk(const FaultTarget& target);
  void advance_clock(const FaultTarget& target);
  void crash_server(const FaultTarget& target);
  void cut_server(const FaultTarget& target);
  void reset_proxy(const FaultTarget& target);
  void cut_proxy(const FaultTarget& target);
  void lose_messages(const FaultTarget& target);
  void crash_all_replicas(const FaultTarget& target);
  void restore_old_folder(const FaultTarget& target);
  void swap_in_old_folder(Replica& restored);
  void cut_link_for(int from, int to, Nanos duration);
  void crash_for(Replica& replica, Nanos duration);
  void run_operator();
  agreement::Plan random_plan();
  void restart_as_ordered(Server& server, const fencing::ShardAssignment& order, Nanos reported_at);
  // Notes which servers may restart, and counts releases of bad versions that finished.
  void track_leases(const agreement::ReplicatedState& state);
  void end_all_faults();
  void check_shard_owners();
  void check_recovery();
  // Increments `count`, and keeps the description of the first violation.
  void record_violation(int& count, const std::string& description);
  fleet::Fleet fleet() const;

  SimulationOptions options_;
  std::mt19937 random_;
  Nanos now_ = 0;
  std::uint64_t event_count_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  std::vector<std::unique_ptr<Replica>> replicas_;
  std::vector<std::unique_ptr<Server>> servers_;
  std::vector<std::unique_ptr<Proxy>> proxies_;
  // Directed links between network places: replicas from 0, servers from 1000, proxies from 5000.
  std::set<std::pair<int, int>> cut_links_;
  std::map<std::pair<int, int>, Nanos> link_delays_;
  bool folder_restored_ = false;
  Nanos no_faults_until_ = 0;
  double loss_probability_ = 0;
  double duplication_probability_ = 0;
  std::map<std::uint64_t, std::uint64_t> digest_by_epoch_;  // state digest, by epoch number
  std::uint64_t highest_agreed_epoch_ = 0;                  // highest epoch number applied by any replica
  std::map<std::string, Nanos> allowed_to_restart_;         // by server: when it last had a lease to restart
  std::set<std::uint32_t> bad_versions_;
  std::uint32_t next_version_ = 2;
  SimulationResult result_;
};

}  // namespace myrtlecroft::rehearsal
