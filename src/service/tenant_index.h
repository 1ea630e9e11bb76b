// An index of tenants by name. Each request names its tenant, so the lookup must be fast among all tenants of
// a deployment.
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

// A list of tenant indexes sorted by name, with a binary search. It takes four bytes a tenant, since a server
// may have hundreds of thousands of them. The tenants must outlive the index at their addresses.
template <class Less = std::less<std::string_view>>
class TenantIndex {
 public:
  explicit TenantIndex(const std::vector<Tenant>& tenants, Less less = {})
      : tenants_(tenants), less_(std::move(less)), by_name_(tenants.size()) {
    std::iota(by_name_.begin(), by_name_.end(), 0u);
    // Tenants with the same name keep their order.
    std::stable_sort(by_name_.begin(), by_name_.end(), [this](std::uint32_t left, std::uint32_t right) {
      return less_(name(left), name(right));
    });
  }

  // Returns the last tenant of that name in the settings, or null if there is none.
  const Tenant* find(std::string_view tenant_name) const {
    auto after = std::upper_bound(
        by_name_.begin(), by_name_.end(), tenant_name,
        [this](std::string_view searched, std::uint32_t index) { return less_(searched, name(index)); });
    if (after == by_name_.begin()) return nullptr;
    const Tenant& found = tenants_[*std::prev(after)];
    return found.name == tenant_name ? &found : nullptr;
  }

 private:
  std::string_view name(std::uint32_t index) const { return tenants_[index].name; }

  const std::vector<Tenant>& tenants_;
  Less less_;
  std::vector<std::uint32_t> by_name_;
};

}  // namespace myrtlecroft::service
