// Determines which callers of one process a change of the fleet affects, and when each of them has applied
// the change. It uses only the resource sets that callers applied, not what control reports. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "ads_client.h"

namespace myrtlecroft::capacity {

// Server numbers in ascending order.
using ServerSet = std::vector<std::uint32_t>;

// Thread-safe.
class ChangeTracker {
 public:
  // Records the resource set that a caller applied; `now_ns` is on the steady clock.
  void record_applied_set(std::uint32_t caller, const standin::AppliedSet& set, std::int64_t now_ns);

  // Announces the next change. Servers about to leave touch each caller that has one of them. Servers about
  // to return touch each caller that lost some of them in the previous change; the change is in force at a
  // caller once it has all of those again.
  void expect(ServerSet servers, bool present);

  struct Progress {
    std::uint32_t touched = 0;
    std::uint32_t in_force = 0;  // touched callers that applied the change
  };
  Progress progress() const;
  // One time for each touched caller that applied the change.
  std::vector<std::int64_t> in_force_at_ns() const;
  // Counts the callers whose current set doesn't match the expected change.
  std::uint32_t stale() const;
  // Endpoints in the request class clusters of all callers together.
  std::uint64_t endpoints_held() const;
  ServerSet servers_of_first() const;  // of the lowest-numbered caller

 private:
  struct Caller {
    std::vector<std::shared_ptr<const ServerSet>> clusters;  // clusters of request classes
    ServerSet lost;  // in the current change, or in the previous one when servers return
    bool touched = false;
    std::int64_t in_force_at_ns = 0;
  };
  std::shared_ptr<const ServerSet> servers_in(
      const std::shared_ptr<const standin::AppliedSet::Endpoints>& body);
  ServerSet expected_servers_of(const Caller& caller) const;
  bool matches_expectation(const Caller& caller) const;

  // Many callers share one parsed resource, so its server numbers are extracted once.
  struct ParsedEndpoints {
    std::weak_ptr<const standin::AppliedSet::Endpoints> body;
    std::shared_ptr<const ServerSet> servers;
  };
  mutable std::mutex mutex_;
  std::map<const standin::AppliedSet::Endpoints*, ParsedEndpoints> parsed_;
  std::size_t prune_at_size_ = 1000;
  std::map<std::uint32_t, Caller> callers_;
  bool present_ = true;
  ServerSet expected_;
  Progress progress_;
};

}  // namespace myrtlecroft::capacity
