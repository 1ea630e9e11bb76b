#include "store/group_committer.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace myrtlecroft::store {
namespace {

constexpr auto kIdle = std::chrono::milliseconds(50);          // between looks for what is over
constexpr auto kBetweenSlices = std::chrono::milliseconds(1);  // the disk is free for commits meanwhile
constexpr const char* kTrialKey = "\x01trial";

}  // namespace

const char* name_of(DiskHealth health) {
  constexpr const char* kNames[] = {"well", "slow", "sick"};
  return kNames[static_cast<std::size_t>(health)];
}

GroupCommitter::GroupCommitter(Store& store, const CommitterOptions& options, std::function<Nanos()> clock,
                               std::function<void()> wake)
    : store_(store), options_(options), clock_(std::move(clock)), wake_(std::move(wake)), thread_([this] {
        work();
      }) {}

GroupCommitter::~GroupCommitter() {
  {
    std::lock_guard lock(mutex_);
    ending_ = true;
  }
  more_.notify_one();
  thread_.join();
}

DiskHealth GroupCommitter::health() const {
  if (sick_) return DiskHealth::kFailed;
  Nanos since = since_;
  return since && clock_() - since > options_.slow_after ? DiskHealth::kSlow : DiskHealth::kHealthy;
}

void GroupCommitter::put(std::string key, std::string value, Nanos window, Done done) {
  bool wake = false;
  {
    std::lock_guard lock(mutex_);
    bool bounded = key.size() <= kLongestKey && value.size() <= kLongestValue;
    if (!bounded || sick_ || asked_.size() >= options_.max_waiting) {
      told_.push_back({std::move(done), false});
      wake = true;
    } else {
      asked_.push_back({std::move(key), std::move(value), window, false, std::move(done)});
    }
  }
  if (wake) return wake_();
  more_.notify_one();
}

void GroupCommitter::erase(std::string key) {
  {
    std::lock_guard lock(mutex_);
    if (sick_ || asked_.size() >= options_.max_waiting) return;
    asked_.push_back({std::move(key), {}, 0, true, {}});
  }
  more_.notify_one();
}

void GroupCommitter::deliver_completions() {
  std::vector<Told> told;
  {
    std::lock_guard lock(mutex_);
    told.swap(told_);
  }
  for (Told& one : told) {
    if (one.done) one.done(one.durable);
  }
}

GroupCommitter::Counts GroupCommitter::counts() {
  std::lock_guard lock(mutex_);
  Counts out = counts_;
  counts_.longest = 0;
  return out;
}

void GroupCommitter::work() {
  bool compacting = false;
  for (;;) {
    std::vector<Ask> asks;
    {
      std::unique_lock lock(mutex_);
      more_.wait_for(lock, compacting ? kBetweenSlices : kIdle, [&] { return ending_ || !asked_.empty(); });
      asks.swap(asked_);
      if (ending_ && asks.empty()) return;
    }
    if (!asks.empty()) {
      bool durable = !sick_ && commit(asks);
      {
        std::lock_guard lock(mutex_);
        for (Ask& ask : asks) told_.push_back({std::move(ask.done), durable});
      }
      wake_();
    }
    if (sick_) {
      compacting = false;
      try_again();
      continue;
    }
    try {
      compacting = store_.compact_slice();
      if (compacting) store_.commit();
    } catch (const DiskError&) {
      sick_ = true;
      compacting = false;
    }
  }
}

bool GroupCommitter::commit(std::vector<Ask>& asks) {
  Nanos begun = clock_();
  since_ = begun;
  bool good = true;
  try {
    for (Ask& ask : asks) {
      if (ask.drop) {
        store_.erase(ask.key);
      } else {
        store_.put(std::move(ask.key), std::move(ask.value), ask.window);
      }
    }
    store_.commit();
  } catch (const DiskError&) {
    good = false;
  }
  Nanos took = clock_() - begun;
  since_ = 0;
  if (!good) sick_ = true;
  std::lock_guard lock(mutex_);
  ++counts_.commits;
  counts_.failed += !good;
  counts_.records += asks.size();
  counts_.longest = std::max(counts_.longest, took);
  return good;
}

// A record of our own, on a segment of its own: what failed before is never synced again. Waits between
// trials, on this thread.
void GroupCommitter::try_again() {
  trial_wait_ = std::clamp(2 * trial_wait_, options_.first_trial, options_.last_trial);
  {
    std::unique_lock lock(mutex_);
    more_.wait_for(lock, std::chrono::nanoseconds(trial_wait_), [&] { return ending_; });
    if (ending_) return;
  }
  try {
    store_.put(kTrialKey, {}, kSecond);
    store_.commit();
  } catch (const DiskError&) {
    return;
  }
  trial_wait_ = 0;
  sick_ = false;
}

}  // namespace myrtlecroft::store
