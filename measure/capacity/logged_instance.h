// A control replica that is the only member of its cluster, so it leads and decides through its own log, with
// every server of its fleet reporting. It is the production code, agreement::ControlReplica on
// consensus::RaftNode; only the log storage can be replaced.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "agreement/control_replica.h"
#include "reporting_servers.h"

namespace myrtlecroft::capacity {

// Log storage in memory; writes complete when deliver() is called.
class MemoryLog final : public consensus::RaftStorage {
 public:
  consensus::PersistentState load() override { return kept_; }
  bool is_writable() const override { return true; }
  bool save_vote(std::uint64_t term, consensus::ReplicaId voted_for) override;
  void append(std::uint64_t first, std::vector<consensus::LogEntry> entries, WriteCallback done) override;
  void truncate(std::uint64_t) override {}
  void save_snapshot(const consensus::LogSnapshot&, std::uint64_t, WriteCallback done) override;
  void replace(const consensus::PersistentState& kept) override { kept_ = kept; }

  void deliver();
  const std::string& last_entry() const { return last_entry_; }

 private:
  consensus::PersistentState kept_;
  std::deque<WriteCallback> due_;
  std::string last_entry_;
};

// Transport of a cluster with a single member: sends nothing.
class NoPeers final : public consensus::Transport {
 public:
  void send(const consensus::PeerMessage&, const std::string&) override {}
};

// Bootstraps the log with this single member.
void begin_log(consensus::RaftStorage& log);

class LoggedInstance {
 public:
  // `deliver` runs the log's completed write callbacks.
  LoggedInstance(fleet::Fleet fleet, consensus::RaftStorage& log, std::function<void()> deliver,
                 unsigned snapshot_threshold);

  // Runs until a committed decision has all servers in service and further decisions change nothing. Throws
  // std::runtime_error after 30 s.
  void begin();
  // Runs until the replica has applied the `decisions` decisions in its log; throws std::runtime_error after 30 s.
  void start_again(std::uint64_t decisions);
  // Delivers the reports of all servers, then makes one decision and waits until it is applied. Returns the CPU
  // time of the calling thread in ms, from the tick that makes the decision.
  double decide_ms();
  void leave(int server) { servers_.leave(server); }

  agreement::ControlReplica& instance() { return instance_; }
  std::uint64_t published() const { return instance_.committed_state().published(); }
  std::uint64_t decisions() const { return instance_.committed_state().epoch().number; }

 private:
  void wait_for(const std::function<bool()>& over, const char* what);

  Nanos now_ = 1000 * kSecond;
  NoPeers wire_;
  std::function<void()> deliver_;
  ReportingServers servers_;
  agreement::ControlReplica instance_;
};

}  // namespace myrtlecroft::capacity
