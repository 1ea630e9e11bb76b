#include "store/store.h"

#include <algorithm>
#include <utility>

namespace myrtlecroft::store {
namespace {

// Window of a tombstone for a key that the index doesn't have. It can be short because there is no older
// record that the tombstone must hide.
constexpr Nanos kUnknownKeyErasureWindow = kSecond;

RecordLocation make_location(const Record& record, std::uint64_t segment, std::uint64_t offset) {
  return {.kind = record.kind,
          .segment = segment,
          .offset = offset,
          .bytes = 0,
          .sequence = record.sequence,
          .written_at = record.written_at,
          .window = record.window};
}

}  // namespace

Store::Store(Disk& disk, const StoreOptions& options, std::function<Nanos()> clock, std::uint32_t seed)
    : disk_(disk), options_(options), clock_(std::move(clock)), random_(seed), clock_at_open_(clock_()) {}

std::optional<Record> Store::get(const std::string& key) {
  if (!contains(key)) return std::nullopt;
  const RecordLocation& location = *index_.find(key);
  std::string bytes = disk_.read(segment_name(location.segment), location.offset, location.bytes);
  ParsedRecord parsed =
      parse_record(bytes, {.segment_salt = segments_.at(location.segment).salt, .offset = location.offset});
  if (parsed.status != ParseStatus::kRecord) return std::nullopt;
  return std::move(parsed.record);
}

void Store::for_each(const std::function<void(const Record&)>& visit) {
  for (const std::string* key : index_.keys_in_disk_order(now())) {
    std::optional<Record> record = get(*key);
    if (record) visit(*record);
  }
}

void Store::put(std::string key, std::string value, Nanos window) {
  if (key.size() > kMaxKeyBytes || value.size() > kMaxValueBytes) {
    throw StoreError(StoreError::Problem::kRecordTooLarge, "",
                     "record too large: " + std::to_string(key.size()) + " bytes of key, " +
                         std::to_string(value.size()) + " bytes of value");
  }
  batch_.push_back({.record = {.sequence = ++sequence_,
                               .written_at = now(),
                               .window = window,
                               .key = std::move(key),
                               .value = std::move(value)},
                    .copied_from = {}});
}

// The tombstone gets the window of the record that it hides, so that it outlives that record in older
// segments.
void Store::erase(const std::string& key) {
  const RecordLocation* current = index_.find(key);
  batch_.push_back({.record = {.kind = RecordKind::kErased,
                               .sequence = ++sequence_,
                               .written_at = now(),
                               .window = current ? current->window : kUnknownKeyErasureWindow,
                               .key = key,
                               .value = {}},
                    .copied_from = {}});
}

void Store::commit() {
  if (batch_.empty()) return;
  std::vector<RecordLocation> locations;
  try {
    if (!active_file_) start_segment();
    locations = write_batch();
  } catch (const DiskError&) {
    abandon_batch();
    throw;
  }
  index_batch(locations);
  batch_.clear();
  seal_full_segment();
  if (!compaction_.segment || !compaction_.all_copied) return;
  try {
    finish_compaction();
  } catch (const DiskError&) {
    // The commit is durable nevertheless. The old segment has no live records; a later slice removes it.
  }
}

void Store::start_segment() {
  std::uint64_t number = std::max<std::uint64_t>(next_segment_, 1);
  active_file_ = disk_.create(segment_name(number));
  next_segment_ = number + 1;
  active_segment_ = number;
  SegmentState& segment = segments_[number];
  segment.salt = random_();
  active_hints_.clear();
  std::string header = serialize_header({.number = number, .salt = segment.salt});
  active_file_->append(header);
  segment.bytes = header.size();
  active_file_->sync();
  disk_.sync_folder();
  stats_.written_bytes += header.size();
  stats_.syncs += 2;
}

std::vector<RecordLocation> Store::write_batch() {
  std::vector<RecordLocation> locations;
  SegmentState& segment = segments_.at(active_segment_);
  std::string bytes;
  for (const PendingRecord& pending : batch_) {
    std::size_t begin = bytes.size();
    std::uint64_t offset = segment.bytes + begin;
    append_record(bytes, pending.record, {.segment_salt = segment.salt, .offset = offset});
    std::size_t size = bytes.size() - begin;
    RecordLocation& location = locations.emplace_back(make_location(pending.record, active_segment_, offset));
    location.bytes = static_cast<std::uint32_t>(size);
    if (!pending.copied_from) stats_.appended_bytes += size;
  }
  segment.bytes += bytes.size();  // counted before the write: if it fails, the bytes may still be on the disk
  active_file_->append(bytes);
  active_file_->sync();
  ++stats_.syncs;
  stats_.written_bytes += bytes.size();
  return locations;
}

void Store::index_batch(const std::vector<RecordLocation>& locations) {
  for (std::size_t i = 0; i < batch_.size(); ++i) {
    const PendingRecord& pending = batch_[i];
    const std::string& key = pending.record.key;
    active_hints_.push_back({.key = key, .location = locations[i]});
    // A copy is indexed only if its original is still the key's current record.
    if (pending.copied_from &&
        !index_.is_current(key, pending.copied_from->segment, pending.copied_from->offset)) {
      continue;
    }
    index_.apply(key, locations[i]);
  }
}

// After a failed write or sync it is unknown which bytes are on the disk, and a later successful sync would
// not prove that they are. The segment is therefore sealed and never written again. The next recovery scans
// it.
void Store::abandon_batch() {
  batch_.clear();
  compaction_.segment = 0;
  if (!active_segment_) return;
  segments_.at(active_segment_).sealed = true;
  active_segment_ = 0;
  active_file_.reset();
}

void Store::seal_full_segment() {
  SegmentState& segment = segments_.at(active_segment_);
  if (segment.bytes < options_.segment_bytes) return;
  segment.sealed = true;
  active_file_.reset();
  try {
    std::string hints = serialize_hints(
        {.number = active_segment_, .salt = segment.salt, .bytes = segment.bytes}, active_hints_);
    disk_.create(hint_name(active_segment_))->append(hints);
    stats_.written_bytes += hints.size();
  } catch (const DiskError&) {
    // Without a hint file, the next recovery scans the segment.
  }
  active_segment_ = 0;
}

}  // namespace myrtlecroft::store
