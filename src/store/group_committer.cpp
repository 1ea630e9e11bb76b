#include "store/group_committer.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace myrtlecroft::store {
namespace {

constexpr auto kCompactionCheckInterval = std::chrono::milliseconds(50);  // while no segment needs it
constexpr auto kPauseBetweenSlices = std::chrono::milliseconds(1);        // leaves the disk free for commits
constexpr const char* kProbeKey = "\x01trial";  // the key in stored data; must not change
constexpr Nanos kProbeWindow = kSecond;

}  // namespace

const char* name_of(DiskHealth health) {
  constexpr const char* kNames[] = {"healthy", "slow", "failed"};
  return kNames[static_cast<std::size_t>(health)];
}

GroupCommitter::GroupCommitter(Store& store, const CommitterOptions& options, std::function<Nanos()> clock,
                               std::function<void()> wake)
    : store_(store), options_(options), clock_(std::move(clock)), wake_(std::move(wake)), thread_([this] {
        run();
      }) {}

GroupCommitter::~GroupCommitter() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  queue_changed_.notify_one();
  thread_.join();
}

DiskHealth GroupCommitter::health() const {
  if (failed_) return DiskHealth::kFailed;
  Nanos started_at = commit_started_at_;
  return started_at && clock_() - started_at > options_.slow_commit_threshold ? DiskHealth::kSlow
                                                                              : DiskHealth::kHealthy;
}

void GroupCommitter::put(std::string key, std::string value, Nanos window, Completion completion) {
  bool accepted = key.size() <= kMaxKeyBytes && value.size() <= kMaxValueBytes;
  {
    std::lock_guard lock(mutex_);
    accepted = accepted && !failed_ && queued_writes_.size() < options_.max_queued_records;
    if (accepted) {
      queued_writes_.push_back({.key = std::move(key),
                                .value = std::move(value),
                                .window = window,
                                .completion = std::move(completion)});
    } else {
      results_.push_back({.completion = std::move(completion), .durable = false});
    }
  }
  if (!accepted) return wake_();
  queue_changed_.notify_one();
}

void GroupCommitter::erase(std::string key) {
  {
    std::lock_guard lock(mutex_);
    if (failed_ || queued_writes_.size() >= options_.max_queued_records) return;
    queued_writes_.push_back({.key = std::move(key), .value = {}, .is_erasure = true, .completion = {}});
  }
  queue_changed_.notify_one();
}

void GroupCommitter::deliver_completions() {
  std::vector<Result> results;
  {
    std::lock_guard lock(mutex_);
    results.swap(results_);
  }
  for (Result& result : results) {
    if (result.completion) result.completion(result.durable);
  }
}

GroupCommitter::Stats GroupCommitter::take_stats() {
  std::lock_guard lock(mutex_);
  Stats stats = stats_;
  stats_.longest_commit = 0;
  return stats;
}

// ---- Runs on the committer thread

void GroupCommitter::run() {
  bool compacting = false;
  std::vector<QueuedWrite> writes;
  while (wait_for_writes(writes, compacting)) {
    if (!writes.empty()) commit_writes(writes);
    if (failed_) {
      compacting = false;
      probe_disk();
    } else {
      compacting = compact();
    }
  }
}

// Waits for queued writes, at most until the next compaction slice is due, and moves them to `writes`.
// Returns false once the committer is being destroyed and the queue is empty.
bool GroupCommitter::wait_for_writes(std::vector<QueuedWrite>& writes, bool compacting) {
  writes.clear();
  std::unique_lock lock(mutex_);
  queue_changed_.wait_for(lock, compacting ? kPauseBetweenSlices : kCompactionCheckInterval,
                          [&] { return stopping_ || !queued_writes_.empty(); });
  writes.swap(queued_writes_);
  return !stopping_ || !writes.empty();
}

void GroupCommitter::commit_writes(std::vector<QueuedWrite>& writes) {
  bool durable = !failed_ && commit(writes);
  {
    std::lock_guard lock(mutex_);
    for (QueuedWrite& write : writes) {
      results_.push_back({.completion = std::move(write.completion), .durable = durable});
    }
  }
  wake_();
}

bool GroupCommitter::commit(std::vector<QueuedWrite>& writes) {
  const Nanos started_at = clock_();
  commit_started_at_ = started_at;
  bool durable = true;
  try {
    for (QueuedWrite& write : writes) {
      if (write.is_erasure) {
        store_.erase(write.key);
      } else {
        store_.put(std::move(write.key), std::move(write.value), write.window);
      }
    }
    store_.commit();
  } catch (const DiskError&) {
    durable = false;
  }
  const Nanos duration = clock_() - started_at;
  commit_started_at_ = 0;
  if (!durable) failed_ = true;
  std::lock_guard lock(mutex_);
  ++stats_.commits;
  if (!durable) ++stats_.failed;
  stats_.records += writes.size();
  stats_.longest_commit = std::max(stats_.longest_commit, duration);
  return durable;
}

// Runs and commits one compaction slice. Returns whether there is more to compact.
bool GroupCommitter::compact() {
  try {
    if (!store_.compact_slice()) return false;
    store_.commit();
    return true;
  } catch (const DiskError&) {
    failed_ = true;
    return false;
  }
}

// Waits for the backoff, then commits a probe record. The store writes it to a new segment, because a segment
// whose write or sync failed is never synced again.
void GroupCommitter::probe_disk() {
  backoff_ = std::clamp(2 * backoff_, options_.initial_backoff, options_.max_backoff);
  {
    std::unique_lock lock(mutex_);
    queue_changed_.wait_for(lock, std::chrono::nanoseconds(backoff_), [&] { return stopping_; });
    if (stopping_) return;
  }
  try {
    store_.put(kProbeKey, {}, kProbeWindow);
    store_.commit();
  } catch (const DiskError&) {
    return;
  }
  backoff_ = 0;
  failed_ = false;
}

}  // namespace myrtlecroft::store
