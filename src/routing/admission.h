// How much of each request class proxies let through at all, while the whole fleet rejects much.
//
// Each server decides for itself what it admits. But reading what it then rejects costs it core time, and
// with most of the fleet's load rejected that is what its cores do. So what earns least is rejected at the
// proxies, in part, for as long as servers reject much. Deduplicated requests never are: whether one has run
// is known at its server alone. No I/O.
#pragma once

#include <vector>

#include "fleet/fleet.h"
#include "routing/server_registry.h"

namespace myrtlecroft::routing {

class Admission {
 public:
  // Looks at what servers in service have rejected lately. True where a group's share changed by a step that
  // is worth telling.
  bool step(const fleet::Fleet& fleet, const ServerRegistry& registry, Nanos now);
  // Of ten thousand, in the order of the fleet's groups.
  const std::vector<std::uint32_t>& admitted() const { return admitted_; }
  double shed() const { return shed_; }

 private:
  void share_out(const fleet::Fleet& fleet, const ServerRegistry& registry, Nanos now,
                 std::vector<std::uint32_t>& next);
  static std::vector<double> reads_of(const fleet::Fleet& fleet, const ServerRegistry& registry, Nanos now);
  void order_by_priority(const fleet::Fleet& fleet, const ServerRegistry& registry);

  double shed_ = 0;  // share of what comes, by benefit, that proxies reject
  Nanos at_ = 0;
  bool begun_ = false;
  std::vector<std::uint32_t> admitted_;
  std::vector<std::size_t> order_;  // of the groups, from the one that earns least
  std::uint64_t layout_ = 0;        // of the members, when `order_` was made
};

}  // namespace myrtlecroft::routing
