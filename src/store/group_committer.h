// The store beside an event loop: a thread of its own does all that touches the disk, many records share one
// sync, and a caller is told only after it.
#pragma once

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "store/store.h"

namespace myrtlecroft::store {

enum class DiskHealth {
  kHealthy,
  kSlow,   // a sync is out for longer than it should
  kFailed  // the last write or sync failed: nothing is taken until a trial has gone well
};
const char* name_of(DiskHealth health);

struct CommitterOptions {
  Nanos slow_after = 500 * kMs;   // of one commit
  Nanos first_trial = 100 * kMs;  // after a failure; twice as long after each more
  Nanos last_trial = 5 * kSecond;
  std::size_t max_waiting = 10'000;  // records; beyond them a put fails at once
};

class GroupCommitter {
 public:
  // `durable` false: it is not known whether the record is on the disk, or it never was sent there.
  using Done = std::function<void(bool durable)>;

  // `wake` is called on the thread when deliver_completions() has something to tell. The store is open, and
  // belongs to the thread from here on.
  GroupCommitter(Store& store, const CommitterOptions& options, std::function<Nanos()> clock,
                 std::function<void()> wake);
  ~GroupCommitter();  // what waits is committed first, if the disk is well

  // All from the loop's thread. Nothing here waits for the disk.
  void put(std::string key, std::string value, Nanos window, Done done);
  void erase(std::string key);
  void deliver_completions();
  DiskHealth health() const;

  struct Counts {
    std::uint64_t commits = 0;
    std::uint64_t failed = 0;
    std::uint64_t records = 0;
    Nanos longest = 0;  // commit since the last look
  };
  Counts counts();

 private:
  struct Ask {
    std::string key;
    std::string value;
    Nanos window = 0;
    bool drop = false;
    Done done;
  };
  struct Told {
    Done done;
    bool durable = false;
  };
  void work();
  bool commit(std::vector<Ask>& asks);
  void try_again();

  Store& store_;
  CommitterOptions options_;
  std::function<Nanos()> clock_;
  std::function<void()> wake_;
  mutable std::mutex mutex_;
  std::condition_variable more_;
  std::vector<Ask> asked_;
  std::vector<Told> told_;
  Counts counts_;
  std::atomic<Nanos> since_ = 0;  // a commit is out; 0: none
  std::atomic<bool> sick_ = false;
  bool ending_ = false;
  Nanos trial_wait_ = 0;
  std::thread thread_;  // last: it begins at once
};

}  // namespace myrtlecroft::store
