// Which assignment is in force, and the shard of a key.
#include "fencing/fencing_guard.h"

#include <algorithm>
#include <charconv>

namespace myrtlecroft::fencing {

std::optional<std::uint16_t> shard_of(std::string_view key, int digits) {
  auto count = static_cast<std::size_t>(digits);
  std::uint16_t out = 0;
  if (key.size() < count) return std::nullopt;
  auto [past, error] = std::from_chars(key.data(), key.data() + count, out, 16);
  if (error != std::errc() || past != key.data() + count) return std::nullopt;
  return out;
}

FencingGuard::Verdict FencingGuard::accept(const ShardAssignment& assignment, std::uint64_t own_incarnation) {
  if (assignment_ && assignment.epoch < assignment_->epoch) return Verdict::kStale;
  if (assignment_ && assignment.epoch == assignment_->epoch) return Verdict::kDuplicate;
  if (assignment.incarnation != own_incarnation) return Verdict::kIncarnationMismatch;
  assignment_ = assignment;
  own_.assign(std::size_t{1} << (4 * assignment.shard_digits), false);
  for (std::uint16_t shard : assignment.shards) {
    if (shard < own_.size()) own_[shard] = true;
  }
  return Verdict::kAccepted;
}

bool FencingGuard::admits(std::string_view key) const {
  if (!assignment_) return false;
  std::optional<std::uint16_t> shard = shard_of(key, assignment_->shard_digits);
  return shard && *shard < own_.size() && own_[*shard];
}

}  // namespace myrtlecroft::fencing
