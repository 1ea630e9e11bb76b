// The compaction part of Store: copies the live records of a sealed segment to the active segment, then
// removes the sealed segment.
#include <algorithm>
#include <utility>

#include "store/store.h"

namespace myrtlecroft::store {
namespace {

constexpr std::size_t kRewriteSizeDivisor = 8;  // segments below segment_bytes / this are only merged
constexpr std::size_t kSmallSizeDivisor = 2;    // segments below segment_bytes / this are small

}  // namespace

bool Store::compact_slice() {
  index_.remove_expired(now());
  if (!compaction_.segment) {
    std::optional<std::uint64_t> number = choose_segment_to_compact();
    if (!number) return false;
    if (segments_.at(*number).live_bytes == 0) {
      remove_segment(*number);
      return true;
    }
    compaction_ = {.segment = *number, .next_offset = kSegmentHeaderBytes, .all_copied = false};
  }
  if (compaction_.all_copied) return true;  // the next commit finishes the compaction
  copy_slice();
  if (compaction_.all_copied && batch_.empty()) finish_compaction();
  return true;
}

// Returns the first sealed segment that should be rewritten; otherwise the smallest segment if there are more
// than max_small_segments small ones.
std::optional<std::uint64_t> Store::choose_segment_to_compact() const {
  std::optional<std::uint64_t> smallest;
  std::size_t small_segments = 0;
  for (const auto& [number, segment] : segments_) {
    if (!segment.sealed) continue;
    if (should_rewrite(segment)) return number;
    if (segment.bytes >= options_.segment_bytes / kSmallSizeDivisor) continue;
    ++small_segments;
    if (!smallest || segment.bytes < segments_.at(*smallest).bytes) smallest = number;
  }
  return small_segments > options_.max_small_segments ? smallest : std::nullopt;
}

// Whether the segment has no live bytes, or is large enough and has a large enough share of dead bytes.
bool Store::should_rewrite(const SegmentState& segment) const {
  if (segment.live_bytes == 0) return true;
  double dead_share = 1 - static_cast<double>(segment.live_bytes) /
                              static_cast<double>(std::max<std::uint64_t>(segment.bytes, 1));
  return dead_share >= options_.dead_share && segment.bytes >= options_.segment_bytes / kRewriteSizeDivisor;
}

// Adds the live records of the next slice to the batch. They keep their sequence.
void Store::copy_slice() {
  const std::uint64_t begin = compaction_.next_offset;
  bool all_copied = true;
  SegmentRange range{
      .segment = compaction_.segment, .salt = segments_.at(compaction_.segment).salt, .from = begin};
  auto copy = [&](const ScannedRecord& scanned) {
    if (scanned.end() - begin > options_.slice_bytes && scanned.offset > begin) {
      all_copied = false;
      return ScanStep::kStop;
    }
    compaction_.next_offset = scanned.end();
    if (index_.is_current(scanned.record.key, compaction_.segment, scanned.offset)) {
      batch_.push_back({.record = scanned.record,
                        .copied_from = CopySource{.segment = compaction_.segment, .offset = scanned.offset}});
    }
    return ScanStep::kContinue;
  };
  scan_segment(disk_, range, copy);
  compaction_.all_copied = all_copied;
}

void Store::finish_compaction() { remove_segment(std::exchange(compaction_.segment, 0)); }

// Replaces the manifest before removing the files, because every segment that the manifest lists must exist.
void Store::remove_segment(std::uint64_t number) {
  const SegmentState segment = segments_.at(number);
  segments_.erase(number);
  try {
    replace_manifest();
  } catch (const DiskError&) {
    segments_[number] = segment;
    throw;
  }
  disk_.remove(segment_name(number));
  disk_.remove(hint_name(number));
  ++stats_.removed_segments;
}

}  // namespace myrtlecroft::store
