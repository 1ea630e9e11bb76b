// Accepts shard assignments in epoch order and maps idempotency keys to shards.
#include "fencing/fencing_guard.h"

#include <algorithm>
#include <charconv>

namespace myrtlecroft::fencing {

std::optional<std::uint16_t> shard_of(std::string_view key, int digits) {
  auto count = static_cast<std::size_t>(digits);
  std::uint16_t parsed_shard = 0;
  if (key.size() < count) return std::nullopt;
  auto [end, error] = std::from_chars(key.data(), key.data() + count, parsed_shard, 16);
  if (error != std::errc() || end != key.data() + count) return std::nullopt;
  return parsed_shard;
}

FencingGuard::Verdict FencingGuard::accept(const ShardAssignment& assignment, std::uint64_t own_incarnation) {
  if (assignment_ && assignment.epoch < assignment_->epoch) return Verdict::kStale;
  if (assignment_ && assignment.epoch == assignment_->epoch) return Verdict::kDuplicate;
  if (assignment.incarnation != own_incarnation) return Verdict::kIncarnationMismatch;
  assignment_ = assignment;
  owned_shards_.assign(std::size_t{1} << (4 * assignment.shard_digits), false);
  for (std::uint16_t shard : assignment.shards) {
    if (shard < owned_shards_.size()) owned_shards_[shard] = true;
  }
  return Verdict::kAccepted;
}

bool FencingGuard::admits(std::string_view key) const {
  if (!assignment_) return false;
  std::optional<std::uint16_t> shard = shard_of(key, assignment_->shard_digits);
  return shard && *shard < owned_shards_.size() && owned_shards_[*shard];
}

}  // namespace myrtlecroft::fencing
