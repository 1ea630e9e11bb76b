// Epochs order the decisions of the control service, so that a receiver recognizes an outdated one.
//
// Used by agreement, report and fencing_guard.h. Plain data.
#pragma once

#include <compare>
#include <cstdint>

namespace myrtlecroft::fencing {

// Identifies one committed decision. A later decision compares greater, whichever replica was the leader.
struct Epoch {
  std::uint64_t term = 0;                          // of the leader that made the decision
  std::uint64_t number = 0;                        // of the decision
  auto operator<=>(const Epoch&) const = default;  // NOLINT(modernize-use-nullptr): clang-tidy 14 only
};

}  // namespace myrtlecroft::fencing
