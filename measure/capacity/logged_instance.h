// One instance that leads alone, deciding through its common log, with every server of its fleet reporting.
// It is the code of a process: agreement::Instance on consensus::Member; only the log's storage is a port.
#pragma once

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "agreement/control_replica.h"
#include "reporting_servers.h"

namespace myrtlecroft::capacity {

// The log's storage in memory: what is appended is done when deliver() is called.
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

// Nobody else belongs.
class NoPeers final : public consensus::Transport {
 public:
  void send(const consensus::PeerMessage&, const std::string&) override {}
};

// The first log, of this one instance.
void begin_log(consensus::RaftStorage& log);

class LoggedInstance {
 public:
  // `deliver` lets the log tell what it has done.
  LoggedInstance(fleet::Fleet fleet, consensus::RaftStorage& log, std::function<void()> deliver,
                 unsigned snapshot_threshold);

  // Until all servers are in service as agreed, and it is at rest.
  void begin();
  // Until what its log holds is in force again; throws std::runtime_error where that takes too long.
  void start_again(std::uint64_t decisions);
  // Reports of all servers, then one decision, in force when it returns. The time of the processor of this
  // thread from the tick that draws it up.
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
