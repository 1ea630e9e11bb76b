#include "overload/memory_budget.h"

namespace myrtlecroft::overload {
namespace {

// Shares of ServiceConfig::memory_kb.
constexpr double kMaxQueuedShare = 0.8;
constexpr double kMaxRunningShare = 0.92;
constexpr double kMaxSharedAnswersShare = 0.5;

}  // namespace

bool MemoryBudget::fits_queued(const Request& request, bool retains_key) const {
  double key_kb = retains_key ? config_.key_kb : 0;
  return !(in_use_kb() + request.queued_kb + key_kb > kMaxQueuedShare * config_.memory_kb);
}

bool MemoryBudget::fits_running(const Request& request) const {
  return in_use_kb() + request.queued_kb * config_.running_memory_factor <=
         kMaxRunningShare * config_.memory_kb;
}

bool MemoryBudget::has_room_for_shared_answers() const {
  return in_use_kb() < kMaxSharedAnswersShare * config_.memory_kb;
}

void MemoryBudget::charge(Request& request, double kb) {
  requests_kb_ += kb - request.memory_kb;
  request.memory_kb = kb;
}

void MemoryBudget::forget_key(Nanos expires_at) {
  auto key = keys_.find(expires_at);
  if (key != keys_.end()) keys_.erase(key);
}

void MemoryBudget::expire_keys(Nanos now) {
  while (!keys_.empty() && *keys_.begin() < now) keys_.erase(keys_.begin());
}

}  // namespace myrtlecroft::overload
