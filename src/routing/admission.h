// What share of each request class proxies admit, while the whole fleet rejects much.
//
// Each server decides for itself what it admits. But receiving what it then rejects costs it CPU time, and
// with most of the fleet's load rejected that is what its cores do. So the classes of the lowest priority are
// shed at the proxies, in part, for as long as servers reject much. Requests with an idempotency key never
// are: whether one has run is known at its server alone. Owned by Router, called on its thread. No I/O.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/fleet.h"
#include "routing/server_registry.h"

namespace myrtlecroft::routing {

class Admission {
 public:
  // Looks at what servers in service have rejected lately; several times a second. True where the admitted
  // share of a class changed.
  bool step(const fleet::Fleet& fleet, const ServerRegistry& registry, Nanos now);
  // Of ten thousand, in the order of the fleet's request classes; empty before the first step.
  const std::vector<std::uint32_t>& admitted() const { return admitted_; }
  // The share of the fleet's load that proxies are to shed.
  double shed() const { return shed_; }

 private:
  struct Inputs {
    const fleet::Fleet& fleet;
    const ServerRegistry& registry;
    Nanos now;
  };
  void adjust_shed(const Inputs& inputs, double passed_seconds);
  std::vector<std::uint32_t> shares(const Inputs& inputs);
  std::vector<double> offered_by_class(const Inputs& inputs) const;
  void order_by_priority(const Inputs& inputs);

  double shed_ = 0;
  Nanos last_step_at_ = 0;
  bool stepped_ = false;
  std::vector<std::uint32_t> admitted_;
  std::vector<std::size_t> order_;  // of the request classes, from the lowest priority weight
  std::uint64_t layout_ = 0;        // of the registry, when `order_` was made
};

}  // namespace myrtlecroft::routing
