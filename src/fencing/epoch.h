// Which agreed decision something rests on.
#pragma once

#include <compare>
#include <cstdint>

namespace myrtlecroft::fencing {

// Later ones are greater, whoever leads.
struct Epoch {
  std::uint64_t term = 0;
  std::uint64_t number = 0;
  auto operator<=>(const Epoch&) const = default;
};

}  // namespace myrtlecroft::fencing
