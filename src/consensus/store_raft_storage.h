// RaftStorage on the durable store: the vote, each entry and the last snapshot are one record each. Owned by
// the control service's event loop and used on its thread; the store's own thread writes.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>

#include "consensus/raft_node.h"
#include "store/file_disk.h"
#include "store/group_committer.h"

namespace myrtlecroft::consensus {

class StoreRaftStorage final : public RaftStorage {
 public:
  // `wake` is called on the store's thread when run_completions() has completions to run. Throws
  // store::StoreError where the folder can't be used, also where another process has it, and
  // std::runtime_error where the log in it has a gap.
  StoreRaftStorage(const std::string& folder, std::function<Nanos()> clock, std::function<void()> wake);
  ~StoreRaftStorage() override;

  // Runs the WriteCallbacks of completed writes, in the order of the writes.
  void run_completions();
  // The replica that the folder belongs to; another one must not use it. 0: none yet.
  ReplicaId owner() const { return owner_; }
  // Durable on return. Throws std::runtime_error where the write fails.
  void set_owner(ReplicaId id);

  PersistentState load() override;
  bool is_writable() const override;
  bool save_vote(std::uint64_t term, ReplicaId voted_for) override;
  void append(std::uint64_t first, std::vector<LogEntry> entries, WriteCallback done) override;
  void truncate(std::uint64_t from) override;
  void save_snapshot(const LogSnapshot& snapshot, std::uint64_t first_retained, WriteCallback done) override;
  void replace(const PersistentState& state) override;

 private:
  struct Completion {
    WriteCallback done;
    bool durable = false;
  };
  void recover();
  void read_record(const store::Record& record, std::map<std::uint64_t, LogEntry>& entries);
  void put(const std::string& key, const std::string& value, std::function<void(bool)> done);
  void erase_entry(std::uint64_t index);
  bool put_and_wait(const std::string& key, const std::string& value);  // false: not known to be durable
  WriteCallback ordered_completion(WriteCallback done, std::function<void()> on_durable);

  store::FileDisk disk_;
  store::Store store_;
  ReplicaId owner_ = 0;
  // The state that is known to be durable.
  PersistentState persisted_;
  std::uint64_t highest_written_ = 0;  // highest index of an entry that may be in the store
  bool write_failed_ = false;          // since the last load()
  std::uint64_t generation_ = 0;       // incremented by load(): completions from before it are ignored
  std::deque<Completion> completions_;
  std::unique_ptr<store::GroupCommitter> committer_;  // declared last, so that its thread ends first
};

}  // namespace myrtlecroft::consensus
