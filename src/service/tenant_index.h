// Finds a tenant by name among as many as a deployment has: every request names one.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <numeric>
#include <string_view>
#include <utility>
#include <vector>

#include "myrtlecroft/service_config.h"

namespace myrtlecroft::service {

// A sorted list of places, at four bytes a tenant: a server of hundreds of thousands holds it beside them.
// The tenants must outlive it, where they are.
template <class Less = std::less<std::string_view>>
class TenantIndex {
 public:
  explicit TenantIndex(const std::vector<Tenant>& tenants, Less less = {})
      : tenants_(tenants), less_(std::move(less)), by_name_(tenants.size()) {
    std::iota(by_name_.begin(), by_name_.end(), 0u);
    // Of those with one name they keep their order.
    std::stable_sort(by_name_.begin(), by_name_.end(), [this](std::uint32_t one, std::uint32_t other) {
      return less_(name(one), name(other));
    });
  }

  // Of several with that name the last in the settings; null where there is none.
  const Tenant* find(std::string_view wanted) const {
    auto past = std::upper_bound(
        by_name_.begin(), by_name_.end(), wanted,
        [this](std::string_view sought, std::uint32_t place) { return less_(sought, name(place)); });
    if (past == by_name_.begin()) return nullptr;
    const Tenant& found = tenants_[*std::prev(past)];
    return found.name == wanted ? &found : nullptr;
  }

 private:
  std::string_view name(std::uint32_t place) const { return tenants_[place].name; }

  const std::vector<Tenant>& tenants_;
  Less less_;
  std::vector<std::uint32_t> by_name_;
};

}  // namespace myrtlecroft::service
