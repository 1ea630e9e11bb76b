// Instances of the control service, servers and proxies in virtual time: the decision code as it runs in
// processes, with links, disks, clocks and processes that fail as one seed says. The same seed plays the same
// again.
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

struct SimulationOptions {
  std::uint32_t seed = 1;
  int instances = 3;
  int nodes = 6;
  int proxies = 4;
  int shard_digits = 1;
  double faults_per_s = 0.5;
  double keys_per_s = 40;
  Nanos faults_for = 30 * kSecond;
  Nanos quiet_for = 25 * kSecond;  // then all is well again, and must come back
  Nanos window = 2000 * kMs;
  bool fences = true;  // false: servers take what comes, to see that it matters
  // Operators start releases, some of a bad version, halt them, take them back and drain servers, at any
  // instance.
  bool releases = true;
  int max_unavailable = 2;  // servers at once
};

struct SimulationResult {
  int faults = 0;
  std::uint64_t decisions = 0;
  std::uint64_t runs = 0;
  std::uint64_t rejected = 0;
  int doubled = 0;               // keys that ran twice within their window
  int split_owners = 0;          // two proxies had a shard open to different servers at one time
  int stale_acted = 0;           // a server took up an older order than it had
  int lost_entries = 0;          // two states under one epoch, or one that was agreed and is gone
  int rejected_old_folders = 0;  // put back from an older copy, and found out
  int invalid_proposals = 0;     // a leader drew up what the rules refuse
  int not_back = 0;              // after the quiet: no leader, somebody out of touch, or a shard still closed
  int releases = 0;              // begun
  int restarts = 0;              // of servers, as they were told
  int over = 0;                  // more servers out by choice than may be
  int unpermitted = 0;           // a server went that nobody had agreed to let go
  int bad_finished = 0;          // a bad version that came to all servers
  std::string first;             // what was violated first, and when
  int violations() const {
    return doubled + split_owners + stale_acted + lost_entries + not_back + over + unpermitted + bad_finished;
  }
};

class Simulation {
 public:
  explicit Simulation(const SimulationOptions& options);
  ~Simulation();
  SimulationResult play();

 private:
  struct Disk;
  struct Line;
  struct Control;
  struct Node;
  struct Proxy;
  struct Key;
  struct Event {
    Nanos at;
    std::uint64_t number;
    std::function<void()> happen;
    bool operator>(const Event& other) const {
      return at != other.at ? at > other.at : number > other.number;
    }
  };

  void later(Nanos delay, std::function<void()> happen);
  double chance() { return std::uniform_real_distribution<>(0, 1)(random_); }
  int pick(int count) { return std::uniform_int_distribution<>(0, count - 1)(random_); }
  Nanos between(Nanos min, Nanos max) { return std::uniform_int_distribution<Nanos>(min, max)(random_); }
  void deliver(int from, int to, std::function<void()> arrive);
  void stream(int from, int to, std::function<void()> arrive);
  bool cut(int from, int to) const;

  void start(Control& control);
  void kill(Control& control);
  void run_control(Control& control);
  void run_node(Node& node);
  report::LoadReport next_report(Node& node);
  void run_proxy(Proxy& proxy);
  void connect(Proxy& proxy);
  void serve(Control& control);
  void send_key();
  void try_key(std::shared_ptr<Key> key);
  void arrive(Node& node, std::shared_ptr<Key> key);
  void inject_fault();
  // One fault of each kind, at what chance picked for it.
  static constexpr int kFaultKinds = 16;
  struct FaultTarget {
    Control& control;
    Node& node;
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
  void put_back_folder(Control& one);
  void cut_for(int from, int to, Nanos duration);
  void crash_for(Control& control, Nanos duration);
  void run_operator();
  agreement::Plan random_plan();
  void restart_as_ordered(Node& node, const fencing::ShardAssignment& order, Nanos asked_at);
  void track_leases(const agreement::ReplicatedState& state);
  void end_all_faults();
  void check_shard_owners();
  void check_recovery();
  void violate(int& count, const std::string& what);
  fleet::Fleet fleet() const;

  SimulationOptions options_;
  std::mt19937 random_;
  Nanos now_ = 0;
  std::uint64_t events_ = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> queue_;
  std::vector<std::unique_ptr<Control>> controls_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::vector<std::unique_ptr<Proxy>> proxies_;
  // Places on the network: instances, then servers, then proxies.
  std::set<std::pair<int, int>> cuts_;
  std::map<std::pair<int, int>, Nanos> slow_;
  bool folder_restored_ = false;
  Nanos calm_until_ = 0;
  double loss_ = 0;
  double duplication_ = 0;
  std::map<std::uint64_t, std::uint64_t> digests_;   // of each epoch's number, as first seen
  std::uint64_t agreed_ = 0;                         // the last that anybody applied
  std::map<std::string, Nanos> allowed_to_restart_;  // servers, and when they last had leave to go
  std::set<std::uint32_t> bad_versions_;             // versions
  std::uint32_t next_version_ = 2;
  SimulationResult result_;
};

}  // namespace myrtlecroft::rehearsal
