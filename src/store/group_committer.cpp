#include "store/group_committer.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace myrtlecroft::store {
namespace {

constexpr auto kIdleWait = std::chrono::milliseconds(50);  // between looks for what compaction could do
constexpr auto kSliceWait = std::chrono::milliseconds(1);  // between its slices: the disk is free meanwhile
constexpr const char* kProbeKey = "\x01trial";             // stored
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
  changed_.notify_one();
  thread_.join();
}

DiskHealth GroupCommitter::health() const {
  if (failed_) return DiskHealth::kFailed;
  Nanos began = commit_began_;
  return began && clock_() - began > options_.slow_commit_threshold ? DiskHealth::kSlow
                                                                    : DiskHealth::kHealthy;
}

void GroupCommitter::put(std::string key, std::string value, Nanos window, Completion completion) {
  bool accepted = key.size() <= kMaxKeyBytes && value.size() <= kMaxValueBytes;
  {
    std::lock_guard lock(mutex_);
    accepted = accepted && !failed_ && requests_.size() < options_.max_queued_records;
    if (accepted) {
      requests_.push_back({.key = std::move(key),
                           .value = std::move(value),
                           .window = window,
                           .completion = std::move(completion)});
    } else {
      results_.push_back({.completion = std::move(completion), .durable = false});
    }
  }
  if (!accepted) return wake_();
  changed_.notify_one();
}

void GroupCommitter::erase(std::string key) {
  {
    std::lock_guard lock(mutex_);
    if (failed_ || requests_.size() >= options_.max_queued_records) return;
    requests_.push_back({.key = std::move(key), .value = {}, .erases = true, .completion = {}});
  }
  changed_.notify_one();
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

// ---- On the committer's thread

void GroupCommitter::run() {
  bool compacting = false;
  std::vector<Request> requests;
  while (wait_for_requests(requests, compacting)) {
    if (!requests.empty()) commit_requests(requests);
    if (failed_) {
      compacting = false;
      probe_disk();
    } else {
      compacting = compact();
    }
  }
}

// Waits for requests, or for the time of the next slice of compaction. False: it is time to stop.
bool GroupCommitter::wait_for_requests(std::vector<Request>& requests, bool compacting) {
  requests.clear();
  std::unique_lock lock(mutex_);
  changed_.wait_for(lock, compacting ? kSliceWait : kIdleWait,
                    [&] { return stopping_ || !requests_.empty(); });
  requests.swap(requests_);
  return !stopping_ || !requests.empty();
}

void GroupCommitter::commit_requests(std::vector<Request>& requests) {
  bool durable = !failed_ && commit(requests);
  {
    std::lock_guard lock(mutex_);
    for (Request& request : requests) {
      results_.push_back({.completion = std::move(request.completion), .durable = durable});
    }
  }
  wake_();
}

bool GroupCommitter::commit(std::vector<Request>& requests) {
  const Nanos began = clock_();
  commit_began_ = began;
  bool durable = true;
  try {
    for (Request& request : requests) {
      if (request.erases) {
        store_.erase(request.key);
      } else {
        store_.put(std::move(request.key), std::move(request.value), request.window);
      }
    }
    store_.commit();
  } catch (const DiskError&) {
    durable = false;
  }
  const Nanos took = clock_() - began;
  commit_began_ = 0;
  if (!durable) failed_ = true;
  std::lock_guard lock(mutex_);
  ++stats_.commits;
  if (!durable) ++stats_.failed;
  stats_.records += requests.size();
  stats_.longest_commit = std::max(stats_.longest_commit, took);
  return durable;
}

// Does one slice of compaction; true: there is more to do.
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

// Waits for the backoff, then commits a record of its own. It goes to a new segment: one that failed is never
// synced again.
void GroupCommitter::probe_disk() {
  backoff_ = std::clamp(2 * backoff_, options_.initial_backoff, options_.max_backoff);
  {
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, std::chrono::nanoseconds(backoff_), [&] { return stopping_; });
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
