// The share of each request class that proxies admit while the fleet rejects a large part of its load.
//
// Each server decides which requests it admits. But a request that the server rejects still costs it CPU
// time, and if most of the fleet's load is rejected, the cores do little else. Proxies therefore shed part of
// the classes with the lowest priority for as long as servers reject much. Requests with an idempotency key
// are never shed: only their server knows whether they have run. Owned by Router, called on its thread. No
// I/O.
#pragma once

#include <cstdint>
#include <vector>

#include "fleet/fleet.h"
#include "routing/server_registry.h"

namespace myrtlecroft::routing {

// Computes the admitted share of each request class from the recent rejections of the servers.
class Admission {
 public:
  // Adjusts the shares to the recent rejections of the servers in service; to be called several times a
  // second. Returns whether the admitted share of a class changed.
  bool step(const fleet::Fleet& fleet, const ServerRegistry& registry, Nanos now);
  // Admitted shares in ten-thousandths, in the order of the fleet's classes; empty before the first step.
  const std::vector<std::uint32_t>& admitted() const { return admitted_; }
  // The share of the fleet's load that proxies are to shed, from 0 to 1.
  double shed() const { return shed_; }

 private:
  struct Inputs {
    const fleet::Fleet& fleet;
    const ServerRegistry& registry;
    Nanos now;
  };
  void adjust_shed(const Inputs& inputs, double elapsed_seconds);
  std::vector<std::uint32_t> compute_shares(const Inputs& inputs);
  std::vector<double> estimate_offered_load(const Inputs& inputs) const;
  void sort_classes_by_priority(const Inputs& inputs);

  double shed_ = 0;
  Nanos last_step_at_ = 0;
  bool has_stepped_ = false;
  std::vector<std::uint32_t> admitted_;
  std::vector<std::size_t> classes_by_priority_;  // indices, by ascending priority weight
  std::uint64_t layout_generation_ = 0;           // of the registry when the order was computed
};

}  // namespace myrtlecroft::routing
