// Sees, for the callers of one process, whom a change of the fleet touches and when it is in force there. It
// goes by what each caller has applied alone, never by control's word. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "ads_client.h"

namespace myrtlecroft::capacity {

// Numbers of servers, sorted.
using ServerSet = std::vector<std::uint32_t>;

class ChangeTracker {
 public:
  // What a caller has applied, from whatever thread.
  void applied(std::uint32_t caller, const standin::AppliedSet& set, std::int64_t now_ns);

  // These servers are about to go: touched is each caller that has one of them. Or they are about to come
  // back: touched is each caller that lost some of them by the change before, and it must have all of these
  // again.
  void expect(ServerSet servers, bool present);

  struct Progress {
    std::uint32_t touched = 0;
    std::uint32_t in_force = 0;  // of these
  };
  Progress progress() const;
  std::vector<std::int64_t> in_force_at_ns() const;
  // Callers whose set is now not as expected.
  std::uint32_t stale() const;
  std::uint64_t endpoints_held() const;
  ServerSet servers_of_first() const;  // of the caller with the lowest number

 private:
  struct Caller {
    std::vector<std::shared_ptr<const ServerSet>> clusters;  // of request classes
    ServerSet lost;  // by the change that is expected, or the one before it
    bool touched = false;
    std::int64_t in_force_at_ns = 0;
  };
  std::shared_ptr<const ServerSet> servers_in(
      const std::shared_ptr<const standin::AppliedSet::Endpoints>& body);
  ServerSet expected_of(const Caller& caller) const;
  bool as_expected(const Caller& caller) const;

  // Many callers have the same body: it is read once.
  struct Known {
    std::weak_ptr<const standin::AppliedSet::Endpoints> body;
    std::shared_ptr<const ServerSet> servers;
  };
  mutable std::mutex mutex_;
  std::map<const standin::AppliedSet::Endpoints*, Known> known_;
  std::size_t prune_at_ = 1000;
  std::map<std::uint32_t, Caller> callers_;
  bool present_ = true;
  ServerSet expected_;
  Progress progress_;
};

}  // namespace myrtlecroft::capacity
