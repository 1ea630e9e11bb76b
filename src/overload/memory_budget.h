// The memory that queued and running requests and retained idempotency keys share.
//
// Past its limit the server is killed, and a key without room would let an effect happen twice. So whatever
// does not fit is rejected before it runs.
#pragma once

#include <set>

#include "myrtlecroft/request.h"

namespace myrtlecroft::overload {

class MemoryBudget {
 public:
  explicit MemoryBudget(const ServiceConfig& config) : config_(config) {}

  bool fits_queued(const Request& request, bool retains_key) const;
  bool fits_running(const Request& request) const;
  // Whether keys of reads that may share an answer are worth their memory.
  bool has_room_for_shared_answers() const;

  // Sets what the request takes from here on, in kB.
  void charge(Request& request, double kb);

  void retain_key(Nanos until) { keys_.insert(until); }
  void forget_key(Nanos until);
  void expire_keys(Nanos now);

 private:
  double in_use_kb() const { return requests_kb_ + config_.key_kb * static_cast<double>(keys_.size()); }

  const ServiceConfig& config_;
  double requests_kb_ = 0;
  std::multiset<Nanos> keys_;  // when each retained key expires
};

}  // namespace myrtlecroft::overload
