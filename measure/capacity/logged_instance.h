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
  consensus::PersistentState load() override { return state_; }
  bool is_writable() const override { return true; }
  bool save_vote(std::uint64_t term, consensus::ReplicaId voted_for) override;
  void append(std::uint64_t first, std::vector<consensus::LogEntry> entries, WriteCallback done) override;
  void truncate(std::uint64_t) override {}
  void save_snapshot(const consensus::LogSnapshot&, std::uint64_t, WriteCallback done) override;
  void replace(const consensus::PersistentState& state) override { state_ = state; }

  void complete_writes();
  const std::string& last_entry() const { return last_entry_; }

 private:
  consensus::PersistentState state_;
  std::deque<WriteCallback> pending_callbacks_;
  std::string last_entry_;
};

// Transport of a cluster with a single member: sends nothing.
class NullTransport final : public consensus::Transport {
 public:
  void send(const consensus::PeerMessage&, const std::string&) override {}
};

// Bootstraps the log with this single member.
void bootstrap_log(consensus::RaftStorage& log);

class LoggedInstance {
 public:
  // `complete_writes` runs the log's completed write callbacks.
  LoggedInstance(fleet::Fleet fleet, consensus::RaftStorage& log, std::function<void()> complete_writes,
                 unsigned snapshot_threshold);

  // Runs until a committed decision has all servers in service, then makes three more decisions. Throws
  // std::runtime_error when that takes longer than 30 s.
  void start();
  // Runs until the replica has applied the `expected_decisions` decisions in its log; throws
  // std::runtime_error after 30 s.
  void restart(std::uint64_t expected_decisions);
  // Delivers the reports of all servers, then makes one decision and waits until it is applied. Returns the
  // CPU time of the calling thread in ms, from the tick that makes the decision.
  double measure_decision_ms();
  void start_draining(int server) { servers_.start_draining(server); }

  agreement::ControlReplica& replica() { return replica_; }
  std::uint64_t published() const { return replica_.committed_state().published(); }
  std::uint64_t committed_decisions() const { return replica_.committed_state().epoch().number; }

 private:
  void wait_for(const std::function<bool()>& condition, const char* what);

  Nanos now_ = 1000 * kSecond;
  NullTransport transport_;
  std::function<void()> complete_writes_;
  ReportingServers servers_;
  agreement::ControlReplica replica_;
};

}  // namespace myrtlecroft::capacity
