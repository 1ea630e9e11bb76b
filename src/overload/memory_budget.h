// The memory budget that queued and running requests and retained idempotency keys share.
//
// A server that exceeds its memory limit is killed, and a key that is not retained would let a request run
// twice. So a request that does not fit is rejected before it runs.
#pragma once

#include <set>

#include "myrtlecroft/request.h"

namespace myrtlecroft::overload {

// One thread.
class MemoryBudget {
 public:
  // `config` must outlive the budget.
  explicit MemoryBudget(const ServiceConfig& config) : config_(config) {}

  // Whether a queued request fits, with its key if `retains_key`.
  bool fits_queued(const Request& request, bool retains_key) const;
  // Whether the request fits once it runs.
  bool fits_running(const Request& request) const;
  // Whether memory suffices for the keys of reads that may share an answer.
  bool has_room_for_shared_answers() const;

  // Sets the memory that the request uses from now on.
  void charge(Request& request, double kb);

  void retain_key(Nanos expires_at) { keys_.insert(expires_at); }
  void forget_key(Nanos expires_at);
  void expire_keys(Nanos now);

 private:
  double in_use_kb() const { return requests_kb_ + config_.key_kb * static_cast<double>(keys_.size()); }

  const ServiceConfig& config_;
  double requests_kb_ = 0;
  std::multiset<Nanos> keys_;  // when each retained key expires
};

}  // namespace myrtlecroft::overload
