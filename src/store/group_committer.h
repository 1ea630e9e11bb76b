// Runs a Store beside an event loop: a thread of its own does all disk work, the records that wait share one
// sync, and a caller learns of its record once that sync is over. Created and called on the loop's thread;
// the store belongs to the committer's thread until the committer is destroyed.
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

enum class DiskHealth {
  kHealthy,
  kSlow,   // the commit under way takes longer than CommitterOptions::slow_commit_threshold
  kFailed  // the last write or sync failed; records are not accepted until a probe commit succeeds
};
const char* name_of(DiskHealth health);

struct CommitterOptions {
  Nanos slow_commit_threshold = 500 * kMs;  // of one commit
  Nanos initial_backoff = 100 * kMs;        // from a failure to the first probe commit; doubles each time
  Nanos max_backoff = 5 * kSecond;          // between probe commits
  std::size_t max_queued_records = 10'000;  // beyond them a record fails at once
};

class GroupCommitter {
 public:
  // `durable` false: it is unknown whether the record is on the disk, or it was not accepted.
  using Completion = std::function<void(bool durable)>;

  // `store` must be open. `wake` is called on either thread when deliver_completions() has something to
  // deliver; it must not call back.
  GroupCommitter(Store& store, const CommitterOptions& options, std::function<Nanos()> clock,
                 std::function<void()> wake);
  ~GroupCommitter();  // commits what is queued, unless the disk has failed
  GroupCommitter(const GroupCommitter&) = delete;
  GroupCommitter& operator=(const GroupCommitter&) = delete;

  // Queues a record that expires after `window` (0: never). Does not wait for the disk.
  void put(std::string key, std::string value, Nanos window, Completion completion);
  // Queues an erasure; it is lost where the disk has failed or the queue is full.
  void erase(std::string key);
  // Calls the completions of the commits that are over, on the calling thread.
  void deliver_completions();
  DiskHealth health() const;

  struct Stats {
    std::uint64_t commits = 0;
    std::uint64_t failed = 0;
    std::uint64_t records = 0;
    Nanos longest_commit = 0;  // since the last call of take_stats()
  };
  // Since the start, and resets the longest commit.
  Stats take_stats();

 private:
  struct Request {
    std::string key;
    std::string value;
    Nanos window = 0;
    bool erases = false;
    Completion completion;
  };
  struct Result {
    Completion completion;
    bool durable = false;
  };

  void run();
  bool wait_for_requests(std::vector<Request>& requests, bool compacting);
  void commit_requests(std::vector<Request>& requests);
  bool commit(std::vector<Request>& requests);
  bool compact();
  void probe_disk();

  Store& store_;
  CommitterOptions options_;
  std::function<Nanos()> clock_;
  std::function<void()> wake_;
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Request> requests_;  // under the mutex, as are the next three
  std::vector<Result> results_;
  Stats stats_;
  bool stopping_ = false;
  std::atomic<Nanos> commit_began_ = 0;  // 0: none is under way
  std::atomic<bool> failed_ = false;
  Nanos backoff_ = 0;   // of the committer's thread
  std::thread thread_;  // last, since it starts at once
};

}  // namespace myrtlecroft::store
