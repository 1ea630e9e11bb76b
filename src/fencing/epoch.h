// The number of an agreed decision, by which a receiver tells an old one from a new one.
//
// Used by agreement, report and fencing_guard.h. Plain data.
#pragma once

#include <compare>
#include <cstdint>

namespace myrtlecroft::fencing {

// Later decisions compare greater, whichever instance led.
struct Epoch {
  std::uint64_t term = 0;                          // of the leader
  std::uint64_t number = 0;                        // of the decision
  auto operator<=>(const Epoch&) const = default;  // NOLINT(modernize-use-nullptr): of clang-tidy 14 alone
};

}  // namespace myrtlecroft::fencing
