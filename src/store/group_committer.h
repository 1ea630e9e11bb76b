// Group commit for a Store in a program with an event loop: a separate committer thread does all disk work,
// all queued records share one sync, and each record's completion is called after that sync. Created and
// called on the event loop's thread. Only the committer thread may use the store until the committer is
// destroyed.
#pragma once

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "store/store.h"

namespace myrtlecroft::store {

// The state of the disk, from the commits so far and the one in progress.
enum class DiskHealth {
  kHealthy,
  kSlow,   // the commit in progress has taken longer than CommitterOptions::slow_commit_threshold
  kFailed  // the last write or sync failed; records are not accepted until a probe commit succeeds
};
// Returns the state's name for logs and admin output.
const char* name_of(DiskHealth health);

// Limits of the committer; times in nanoseconds.
struct CommitterOptions {
  Nanos slow_commit_threshold = 500 * kMs;  // a commit that takes longer makes the disk kSlow
  Nanos initial_backoff = 100 * kMs;        // before the first probe commit; doubled after each failed one
  Nanos max_backoff = 5 * kSecond;          // upper bound of the time between probe commits
  std::size_t max_queued_records = 10'000;  // a record put while the queue is full fails at once
};

// Commits records of one store in groups, on a thread of its own.
class GroupCommitter {
 public:
  // Receives true once the record is durable. Receives false if the record was not accepted, or if its commit
  // failed, in which case it is unknown whether the record is on the disk.
  using Completion = std::function<void(bool durable)>;

  // `store` must be open. `clock` returns monotonic nanoseconds. `wake` is called on the event loop's thread
  // or on the committer thread when completions are ready to be delivered; it must not call into the
  // committer.
  GroupCommitter(Store& store, const CommitterOptions& options, std::function<Nanos()> clock,
                 std::function<void()> wake);
  // Commits the queued records, unless the disk has failed, and joins the committer thread.
  ~GroupCommitter();
  GroupCommitter(const GroupCommitter&) = delete;
  GroupCommitter& operator=(const GroupCommitter&) = delete;

  // Queues a record that expires after `window` (0: never). Doesn't wait for the disk. `completion` is called
  // by deliver_completions().
  void put(std::string key, std::string value, Nanos window, Completion completion);
  // Queues the erasure of a key. The erasure is dropped if the disk has failed or the queue is full.
  void erase(std::string key);
  // Calls the completions of all finished commits and rejected records, on the calling thread.
  void deliver_completions();
  // Returns the state of the disk at this moment.
  DiskHealth health() const;

  // Counters since the committer was created, except for `longest_commit`.
  struct Stats {
    std::uint64_t commits = 0;
    std::uint64_t failed = 0;   // commits that failed
    std::uint64_t records = 0;  // records and erasures in all commits, failed ones included
    Nanos longest_commit = 0;   // since the last call of take_stats()
  };
  // Returns the counters and resets `longest_commit`.
  Stats take_stats();

 private:
  // A record to put or a key to erase.
  struct QueuedWrite {
    std::string key;
    std::string value;
    Nanos window = 0;
    bool is_erasure = false;
    Completion completion;  // empty for an erasure
  };
  // A completion that is ready to be called.
  struct Result {
    Completion completion;
    bool durable = false;
  };

  void run();
  bool wait_for_writes(std::vector<QueuedWrite>& writes, bool compacting);
  void commit_writes(std::vector<QueuedWrite>& writes);
  bool commit(std::vector<QueuedWrite>& writes);
  bool compact();
  void probe_disk();

  Store& store_;
  CommitterOptions options_;
  std::function<Nanos()> clock_;
  std::function<void()> wake_;
  mutable std::mutex mutex_;
  std::condition_variable queue_changed_;
  std::vector<QueuedWrite> queued_writes_;  // guarded by mutex_, as are the next three members
  std::vector<Result> results_;
  Stats stats_;
  bool stopping_ = false;
  std::atomic<Nanos> commit_started_at_ = 0;  // 0: no commit is in progress
  std::atomic<bool> failed_ = false;
  Nanos backoff_ = 0;   // before the next probe commit; used by the committer thread only
  std::thread thread_;  // declared last: it starts in the constructor and uses the other members
};

}  // namespace myrtlecroft::store
