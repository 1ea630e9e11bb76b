// The recovery part of Store: finds the live segments of a folder and rebuilds the index from them.
#include <algorithm>

#include "store/store.h"

namespace myrtlecroft::store {

RecoveryStats Store::open() {
  if (!disk_.try_lock()) {
    throw StoreError(StoreError::Problem::kLockedByAnotherProcess, "",
                     "another process has this folder open");
  }
  RecoveryStats stats;
  const std::vector<std::string> files = disk_.list();
  const Manifest manifest = read_manifest(disk_, files);
  next_segment_ = manifest.next_segment;
  find_live_segments(manifest, files);
  for (const auto& [number, segment] : segments_) recover_segment(number, stats);
  if (!segments_.empty()) next_segment_ = std::max(next_segment_, segments_.rbegin()->first + 1);
  // Store time continues from the latest time found in any file.
  const RecordIndex::Latest latest = index_.latest();
  store_time_at_open_ = std::max(manifest.store_time, latest.written_at);
  sequence_ = std::max(sequence_, latest.sequence);
  clock_at_open_ = clock_();
  index_.remove_expired(now());
  stats.segments = segments_.size();
  stats.live_records = index_.size();
  replace_manifest();
  remove_dead_files(files);
  return stats;
}

void Store::find_live_segments(const Manifest& manifest, const std::vector<std::string>& files) {
  for (const std::string& name : files) {
    std::optional<std::uint64_t> number = segment_number(name);
    if (number && manifest.is_live(*number)) segments_[*number] = {};
  }
  // A segment's header is synced before its first record is written, so a file without a complete header has
  // no records.
  std::erase_if(segments_, [this](const auto& entry) {
    std::string header = disk_.read(segment_name(entry.first), 0, kSegmentHeaderBytes + 1);
    return header.size() <= kSegmentHeaderBytes && !parse_header(header);
  });
}

void Store::recover_segment(std::uint64_t number, RecoveryStats& stats) {
  const std::string name = segment_name(number);
  SegmentState& segment = segments_.at(number);
  segment.sealed = true;
  segment.bytes = disk_.size(name);
  stats.bytes += segment.bytes;
  std::optional<SegmentHeader> header = parse_header(disk_.read(name, 0, kSegmentHeaderBytes));
  if (header && header->version > kFormatVersion) throw_newer_format(name, header->version);
  if (!header || header->number != number)
    throw StoreError(StoreError::Problem::kDamagedHeader, name, "its header is damaged");
  segment.salt = header->salt;
  if (recover_from_hints(number, stats)) {
    ++stats.segments_from_hints;
    return;
  }
  stats.skipped_bytes +=
      scan_segment(disk_, {.segment = number, .salt = segment.salt}, [&](const ScannedRecord& scanned) {
        const Record& record = scanned.record;
        ++stats.records_read;
        index_.apply(record.key, {.kind = record.kind,
                                  .segment = number,
                                  .offset = scanned.offset,
                                  .bytes = static_cast<std::uint32_t>(scanned.size),
                                  .sequence = record.sequence,
                                  .written_at = record.written_at,
                                  .window = record.window});
        return ScanStep::kContinue;
      });
}

// Returns false if there is no valid hint file for the segment.
bool Store::recover_from_hints(std::uint64_t number, RecoveryStats& stats) {
  const SegmentState& segment = segments_.at(number);
  std::string file;
  try {
    const std::string name = hint_name(number);
    file = disk_.read(name, 0, static_cast<std::size_t>(disk_.size(name)));
  } catch (const DiskError&) {
    return false;
  }
  std::optional<std::vector<Hint>> hints =
      parse_hints(file, {.number = number, .salt = segment.salt, .bytes = segment.bytes});
  if (!hints) return false;
  for (const Hint& hint : *hints) index_.apply(hint.key, hint.location);
  stats.records_read += hints->size();
  return true;
}

void Store::remove_dead_files(const std::vector<std::string>& files) {
  for (const std::string& name : files) {
    std::optional<std::uint64_t> number = segment_number(name);
    if (!number) number = hint_number(name);
    if (number && !segments_.contains(*number)) disk_.remove(name);
  }
}

// The manifest includes the store time, because records that had expired when a segment was removed must also
// be expired after the next start. Otherwise an older record of the same key would be read from another
// segment.
void Store::replace_manifest() {
  next_segment_ = std::max<std::uint64_t>(next_segment_, 1);
  Manifest manifest{.state = Manifest::State::kValid, .next_segment = next_segment_, .store_time = now()};
  for (const auto& [number, segment] : segments_) manifest.live_segments.push_back(number);
  stats_.written_bytes += write_manifest(disk_, manifest);
  stats_.syncs += 2;
}

}  // namespace myrtlecroft::store
