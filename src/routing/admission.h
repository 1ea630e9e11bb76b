// How much of each endpoint group proxies let through at all, while the whole fleet denies much.
//
// Each node decides for itself what it admits. But reading what it then denies costs it core time, and with
// most of the fleet's load denied that is what its cores do. So what earns least is denied at the proxies, in
// part, for as long as nodes deny much. Deduplicated exchanges never are: whether one has run is known at its
// node alone. No I/O.
#pragma once

#include <vector>

#include "fleet/fleet.h"
#include "routing/members.h"

namespace myrtlecroft::routing {

class Admission {
 public:
  // Looks at what nodes in service have denied lately. True where a group's share changed by a step that is
  // worth telling.
  bool step(const fleet::Fleet& fleet, const Members& members, Nanos now);
  // Of ten thousand, in the order of the fleet's groups.
  const std::vector<std::uint32_t>& admitted() const { return admitted_; }
  double shed() const { return shed_; }

 private:
  void share_out(const fleet::Fleet& fleet, const Members& members, Nanos now,
                 std::vector<std::uint32_t>& next);
  static std::vector<double> reads_of(const fleet::Fleet& fleet, const Members& members, Nanos now);
  void order_by_benefit(const fleet::Fleet& fleet, const Members& members);

  double shed_ = 0;  // share of what comes, by benefit, that proxies deny
  Nanos at_ = 0;
  bool begun_ = false;
  std::vector<std::uint32_t> admitted_;
  std::vector<std::size_t> order_;  // of the groups, from the one that earns least
  std::uint64_t layout_ = 0;        // of the members, when `order_` was made
};

}  // namespace myrtlecroft::routing
