// The common log of one instance on the durable store: its vote, its entries and the last snapshot, each a
// record. The store's thread writes; what it has done is told from the loop.
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
  // `wake` is called on the store's thread when take_done() has something to tell. Throws store::StoreError
  // where the folder can't be used, also where another process has it, and std::runtime_error where the log
  // in it has a gap.
  StoreRaftStorage(const std::string& folder, std::function<Nanos()> clock, std::function<void()> wake);
  ~StoreRaftStorage() override;

  void take_done();
  // Who the folder belongs to: an instance whose id is another's must not use it. 0: nobody yet.
  InstanceId owner() const { return owner_; }
  void set_owner(InstanceId id);

  PersistentState load() override;
  bool is_writable() const override;
  bool save_vote(std::uint64_t term, InstanceId voted_for) override;
  void append(std::uint64_t first, std::vector<LogEntry> entries, Done done) override;
  void truncate(std::uint64_t from) override;
  void save_snapshot(const LogSnapshot& snapshot, std::uint64_t first_retained, Done done) override;
  void replace(const PersistentState& kept) override;

 private:
  struct Finished {
    Done done;
    bool durable = false;
  };
  void recover();
  void put(const std::string& key, const std::string& value, std::function<void(bool)> done);
  void drop_entry(std::uint64_t index);
  bool put_and_wait(const std::string& key, const std::string& value);  // false: it is not known to be there
  Done in_order(Done done, std::function<void()> kept);

  store::FileDisk disk_;
  store::Store store_;
  InstanceId owner_ = 0;
  // As the disk is known to have it.
  PersistentState kept_;
  std::uint64_t highest_ = 0;  // entry that was ever sent there
  bool failed_ = false;        // something was not kept since the last load
  std::uint64_t generation_ = 0;
  std::deque<Finished> finished_;
  std::unique_ptr<store::GroupCommitter> committer_;  // last: its thread goes first
};

}  // namespace myrtlecroft::consensus
