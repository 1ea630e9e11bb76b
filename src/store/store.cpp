#include "store/store.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace myrtlecroft::store {
namespace {

constexpr std::string_view kHintMagic = "MYRTLHNT";
constexpr std::string_view kManifestMagic = "MYRTLMAN";
constexpr const char* kManifest = "MANIFEST";
constexpr const char* kNewManifest = "MANIFEST.new";
constexpr std::size_t kChunk = std::size_t{1} << 20;
constexpr std::size_t kHintHead = 8 + 4 + 8 + 8 + 8 + 8;  // magic, version, number, salt, bytes, count
constexpr std::size_t kHintEntry = 1 + 8 + 4 + 8 + 8 + 8 + 2;
constexpr std::size_t kSum = 8;

[[noreturn]] void newer(const std::string& name, std::uint32_t version) {
  throw StoreError(name + ": written in format " + std::to_string(version) + ", this build reads " +
                   std::to_string(kFormatVersion));
}

}  // namespace

std::string segment_name(std::uint64_t number) {
  char name[32];
  std::snprintf(name, sizeof name, "%012llu.seg", static_cast<unsigned long long>(number));
  return name;
}

std::string hint_name(std::uint64_t number) { return segment_name(number).substr(0, 12) + ".hint"; }

std::optional<std::uint64_t> segment_number(const std::string& name) {
  if (name.size() != 16 || !name.ends_with(".seg")) return std::nullopt;
  std::uint64_t number = 0;
  for (char digit : name.substr(0, 12)) {
    if (digit < '0' || digit > '9') return std::nullopt;
    number = number * 10 + static_cast<std::uint64_t>(digit - '0');
  }
  return number;
}

Manifest read_manifest(Disk& disk, const std::vector<std::string>& names) {
  Manifest manifest;
  if (std::find(names.begin(), names.end(), kManifest) == names.end()) return manifest;
  manifest.there = true;
  std::string bytes = disk.read(kManifest, 0, kLongestValue);
  constexpr std::size_t kHead = 8 + 4 + 8 + 8 + 8;  // magic, version, next segment, time, count
  if (bytes.size() < kHead + kSum || !bytes.starts_with(kManifestMagic)) return manifest;
  std::string_view body = std::string_view(bytes).substr(0, bytes.size() - kSum);
  if (get_number<std::uint64_t>(std::string_view(bytes).substr(body.size())) != checksum(body, 0))
    return manifest;
  std::uint32_t version = get_number<std::uint32_t>(body.substr(8));
  if (version > kFormatVersion) newer(kManifest, version);
  std::uint64_t count = get_number<std::uint64_t>(body.substr(28));
  if (body.size() != kHead + 8 * count) return manifest;
  manifest.good = true;
  manifest.next = get_number<std::uint64_t>(body.substr(12));
  manifest.time = get_number<Nanos>(body.substr(20));
  for (std::uint64_t i = 0; i < count; ++i) {
    manifest.live.push_back(get_number<std::uint64_t>(body.substr(kHead + 8 * i)));
  }
  return manifest;
}

bool Manifest::names(std::uint64_t segment) const {
  return !good || segment >= next || std::binary_search(live.begin(), live.end(), segment);
}

std::uint64_t scan(Disk& disk, const std::string& name, const SegmentHead& head, std::uint64_t from,
                   const std::function<bool(const Record&, std::uint64_t, std::size_t)>& tell) {
  std::uint64_t offset = from;  // of the first byte of `bytes`
  std::uint64_t skipped = 0;
  std::string bytes;
  std::size_t at = 0;
  bool ended = false;
  Record record;
  for (;;) {
    std::size_t size = 0;
    Found found = read_record(std::string_view(bytes).substr(at), head.salt, offset + at, record, size);
    if (found == Found::kRecord) {
      if (!tell(record, offset + at, size)) return skipped;
      at += size;
    } else if (found == Found::kCut && !ended) {
      bytes.erase(0, at);
      offset += at;
      at = 0;
      std::string more = disk.read(name, offset + bytes.size(), kChunk + bytes.size());
      ended = more.empty();
      bytes += more;
    } else if (at < bytes.size()) {
      // Damage, or a tail that was torn. What lies behind it may be whole.
      ++at;
      ++skipped;
    } else {
      return skipped;
    }
  }
}

Store::Store(Disk& disk, const StoreOptions& options, std::function<Nanos()> clock, std::uint32_t seed)
    : disk_(disk), options_(options), clock_(std::move(clock)), random_(seed) {
  opened_at_ = clock_();
}

// ---- The start

RecoveryStats Store::open() {
  if (!disk_.lock()) throw StoreError("another process has this folder open");
  RecoveryStats found;
  std::vector<std::string> names = disk_.list();
  Manifest manifest = read_manifest(disk_, names);
  next_segment_ = manifest.next;
  base_ = manifest.time;
  for (const std::string& name : names) {
    auto number = segment_number(name);
    if (number && manifest.names(*number)) segments_[*number] = {};
  }
  std::vector<std::uint64_t> empty;
  for (auto& [number, segment] : segments_) {
    // Its head was synced before any record: without one there is nothing in it.
    std::string head = disk_.read(segment_name(number), 0, kSegmentHead + 1);
    if (head.size() <= kSegmentHead && !read_head(head)) empty.push_back(number);
  }
  for (std::uint64_t number : empty) segments_.erase(number);
  for (auto& [number, segment] : segments_) recover_segment(number, found);
  if (!segments_.empty()) next_segment_ = std::max(next_segment_, segments_.rbegin()->first + 1);
  // Windows count from the last moment that is known of; what is over by then is over.
  for (const auto& [key, entry] : index_) {
    base_ = std::max(base_, entry.at);
    sequence_ = std::max(sequence_, entry.sequence);
  }
  opened_at_ = clock_();
  expire();
  found.segments = segments_.size();
  found.live_records = index_.size();
  write_manifest();
  for (const std::string& name : names) {
    auto number = segment_number(name);
    bool hint = name.ends_with(".hint");
    if (hint) number = segment_number(name.substr(0, name.size() - 5) + ".seg");
    if (number && !segments_.contains(*number)) disk_.remove(name);
  }
  return found;
}

void Store::write_manifest() {
  next_segment_ = std::max<std::uint64_t>(next_segment_, 1);
  std::string bytes(kManifestMagic);
  put_number(bytes, kFormatVersion);
  put_number(bytes, next_segment_);
  // What was over when a segment went must be over at the next start too, or an older record of the same key
  // would come back from another segment.
  put_number(bytes, now());
  put_number(bytes, static_cast<std::uint64_t>(segments_.size()));
  for (const auto& [number, segment] : segments_) put_number(bytes, number);
  put_number(bytes, checksum(bytes, 0));
  std::unique_ptr<File> file = disk_.create(kNewManifest);
  file->append(bytes);
  file->sync();
  file.reset();
  disk_.rename(kNewManifest, kManifest);
  disk_.sync_folder();
  totals_.written += bytes.size();
  totals_.syncs += 2;
}

void Store::recover_segment(std::uint64_t number, RecoveryStats& found) {
  std::string name = segment_name(number);
  Segment& segment = segments_[number];
  segment.sealed = true;
  segment.bytes = disk_.size(name);
  found.bytes += segment.bytes;
  auto head = read_head(disk_.read(name, 0, kSegmentHead));
  if (head && head->version > kFormatVersion) newer(name, head->version);
  if (!head || head->number != number) throw StoreError(name + ": its head is damaged");
  segment.salt = head->salt;
  if (recover_by_hint(number, segment, found)) {
    ++found.segments_from_hints;
    return;
  }
  found.skipped_bytes += scan(disk_, name, *head, kSegmentHead,
                              [&](const Record& record, std::uint64_t offset, std::size_t size) {
                                ++found.records_read;
                                apply(record.key, entry_of(record, number, offset, size));
                                return true;
                              });
}

// A hint that is not of this segment as it stands is not heeded.
bool Store::recover_by_hint(std::uint64_t number, Segment& segment, RecoveryStats& found) {
  std::string bytes;
  try {
    std::string name = hint_name(number);
    bytes = disk_.read(name, 0, static_cast<std::size_t>(disk_.size(name)));
  } catch (const DiskError&) {
    return false;
  }
  std::string_view all = bytes;
  if (all.size() < kHintHead + kSum || !all.starts_with(kHintMagic)) return false;
  std::string_view body = all.substr(0, all.size() - kSum);
  if (get_number<std::uint64_t>(all.substr(body.size())) != checksum(body, segment.salt)) return false;
  if (get_number<std::uint32_t>(body.substr(8)) != kFormatVersion) return false;
  if (get_number<std::uint64_t>(body.substr(12)) != number) return false;
  if (get_number<std::uint64_t>(body.substr(28)) != segment.bytes) return false;
  std::uint64_t count = get_number<std::uint64_t>(body.substr(36));
  std::size_t at = kHintHead;
  for (std::uint64_t i = 0; i < count; ++i) {
    if (body.size() < at + kHintEntry) return false;
    std::string_view entry = body.substr(at);
    std::size_t key = get_number<std::uint16_t>(entry.substr(kHintEntry - 2));
    if (entry.size() < kHintEntry + key) return false;
    apply(std::string(entry.substr(kHintEntry, key)),
          {.kind = static_cast<Kind>(entry[0]),
           .segment = number,
           .offset = get_number<std::uint64_t>(entry.substr(1)),
           .bytes = get_number<std::uint32_t>(entry.substr(9)),
           .sequence = get_number<std::uint64_t>(entry.substr(13)),
           .at = get_number<Nanos>(entry.substr(21)),
           .window = get_number<Nanos>(entry.substr(29)),
           .expiry = {}});
    at += kHintEntry + key;
    ++found.records_read;
  }
  return true;
}

// Not synced: one that is lost or torn costs a scan.
void Store::write_hint(std::uint64_t number) {
  const Segment& segment = segments_.at(number);
  std::string bytes(kHintMagic);
  put_number(bytes, kFormatVersion);
  put_number(bytes, number);
  put_number(bytes, segment.salt);
  put_number(bytes, segment.bytes);
  put_number(bytes, static_cast<std::uint64_t>(hinted_.size()));
  for (const Hinted& hinted : hinted_) {
    put_number(bytes, static_cast<std::uint8_t>(hinted.entry.kind));
    put_number(bytes, hinted.entry.offset);
    put_number(bytes, hinted.entry.bytes);
    put_number(bytes, hinted.entry.sequence);
    put_number(bytes, hinted.entry.at);
    put_number(bytes, hinted.entry.window);
    put_number(bytes, static_cast<std::uint16_t>(hinted.key.size()));
    bytes += hinted.key;
  }
  put_number(bytes, checksum(bytes, segment.salt));
  disk_.create(hint_name(number))->append(bytes);
  totals_.written += bytes.size();
}

// ---- The index

Store::Entry Store::entry_of(const Record& record, std::uint64_t segment, std::uint64_t offset,
                             std::size_t bytes) {
  return {.kind = record.kind,
          .segment = segment,
          .offset = offset,
          .bytes = static_cast<std::uint32_t>(bytes),
          .sequence = record.sequence,
          .at = record.at,
          .window = record.window,
          .expiry = {}};
}

void Store::apply(const std::string& key, const Entry& entry) {
  auto [place, fresh] = index_.try_emplace(key);
  Entry& known = place->second;
  if (!fresh) {
    if (known.sequence > entry.sequence) return;
    segments_.at(known.segment).live -= known.bytes;
    if (known.expires) expiries_.erase(known.expiry);
  }
  known = entry;
  segments_.at(entry.segment).live += entry.bytes;
  known.expires = entry.window > 0;
  if (known.expires)
    known.expiry = expiries_.emplace_hint(expiries_.end(), entry.at + entry.window, &place->first);
}

void Store::forget(Index::iterator place) {
  segments_.at(place->second.segment).live -= place->second.bytes;
  if (place->second.expires) expiries_.erase(place->second.expiry);
  index_.erase(place);
}

void Store::expire() {
  Nanos time = now();
  while (!expiries_.empty() && expiries_.begin()->first <= time) {
    forget(index_.find(*expiries_.begin()->second));
  }
}

bool Store::contains(const std::string& key) const {
  auto place = index_.find(key);
  if (place == index_.end() || place->second.kind == Kind::kDropped) return false;
  return !place->second.expires || place->second.expiry->first > now();
}

std::optional<Record> Store::get(const std::string& key) {
  if (!contains(key)) return std::nullopt;
  const Entry& entry = index_.at(key);
  std::string bytes = disk_.read(segment_name(entry.segment), entry.offset, entry.bytes);
  Record record;
  std::size_t size = 0;
  std::uint64_t salt = segments_.at(entry.segment).salt;
  if (read_record(bytes, salt, entry.offset, record, size) != Found::kRecord) return std::nullopt;
  return record;
}

void Store::for_each(const std::function<void(const Record&)>& tell) {
  std::map<std::pair<std::uint64_t, std::uint64_t>, const std::string*> by_place;
  for (const auto& [key, entry] : index_) {
    if (contains(key)) by_place[{entry.segment, entry.offset}] = &key;
  }
  for (const auto& [place, key] : by_place) {
    if (auto record = get(*key)) tell(*record);
  }
}

// ---- Writing

void Store::put(std::string key, std::string value, Nanos window) {
  if (key.size() > kLongestKey || value.size() > kLongestValue)
    throw StoreError("a record beyond its bounds");
  Record record{.sequence = ++sequence_,
                .at = now(),
                .window = window,
                .key = std::move(key),
                .value = std::move(value)};
  batch_.push_back({.record = std::move(record)});
}

// A dropped key is remembered for as long as the record it drops could come back from an older segment.
void Store::erase(const std::string& key) {
  auto place = index_.find(key);
  Nanos window = place == index_.end() ? kSecond : place->second.window;
  Record record{.kind = Kind::kDropped,
                .sequence = ++sequence_,
                .at = now(),
                .window = window,
                .key = key,
                .value = {}};
  batch_.push_back({.record = std::move(record)});
}

void Store::open_segment() {
  std::uint64_t number = std::max<std::uint64_t>(next_segment_, 1);
  file_ = disk_.create(segment_name(number));
  next_segment_ = number + 1;
  active_ = number;
  Segment& segment = segments_[number];
  segment.salt = random_();
  hinted_.clear();
  std::string head = write_head({.number = number, .salt = segment.salt});
  file_->append(head);
  segment.bytes = head.size();
  file_->sync();
  disk_.sync_folder();
  totals_.written += head.size();
  totals_.syncs += 2;
}

// A failed write or sync says nothing of what is on the disk, and a second sync that succeeds says no more:
// the segment is left as it is and never written again. What of it is there is found by the next start.
void Store::abandon() {
  batch_.clear();
  compacting_ = 0;
  if (!active_) return;
  segments_.at(active_).sealed = true;
  active_ = 0;
  file_.reset();
}

void Store::commit() {
  if (batch_.empty()) return;
  std::vector<std::pair<const Pending*, Entry>> made;
  try {
    if (!file_) open_segment();
    Segment& segment = segments_.at(active_);
    std::string bytes;
    for (const Pending& pending : batch_) {
      std::size_t begin = bytes.size();
      std::uint64_t offset = segment.bytes + begin;
      append_record(bytes, pending.record, segment.salt, offset);
      made.emplace_back(&pending, entry_of(pending.record, active_, offset, bytes.size() - begin));
      if (!pending.copy) totals_.appended += bytes.size() - begin;
    }
    segment.bytes += bytes.size();  // also where it fails: that much may be there
    file_->append(bytes);
    file_->sync();
    ++totals_.syncs;
    totals_.written += bytes.size();
  } catch (const DiskError&) {
    abandon();
    throw;
  }
  for (const auto& [pending, entry] : made) {
    hinted_.push_back({pending->record.key, entry});
    // What was put anew or forgotten since it was copied stays so.
    if (pending->copy) {
      auto known = index_.find(pending->record.key);
      if (known == index_.end() || known->second.segment != pending->from ||
          known->second.offset != pending->from_offset) {
        continue;
      }
    }
    apply(pending->record.key, entry);
  }
  batch_.clear();
  if (segments_.at(active_).bytes >= options_.segment_bytes) {
    segments_.at(active_).sealed = true;
    file_.reset();
    try {
      write_hint(active_);
    } catch (const DiskError&) {
      // Costs a scan at the next start.
    }
    active_ = 0;
  }
  if (compacting_ && copies_out_) {
    try {
      retire(std::exchange(compacting_, 0));
    } catch (const DiskError&) {
      // What was put is durable all the same. The segment holds nothing live, and goes with a later slice.
    }
  }
}

// ---- Compaction

std::optional<std::uint64_t> Store::to_compact() const {
  std::optional<std::uint64_t> smallest;
  std::size_t small = 0;
  for (const auto& [number, segment] : segments_) {
    if (!segment.sealed) continue;
    double dead = 1 - static_cast<double>(segment.live) /
                          static_cast<double>(std::max<std::uint64_t>(segment.bytes, 1));
    if (segment.live == 0 || (dead >= options_.dead_share && segment.bytes >= options_.segment_bytes / 8))
      return number;
    if (segment.bytes >= options_.segment_bytes / 2) continue;
    ++small;
    if (!smallest || segment.bytes < segments_.at(*smallest).bytes) smallest = number;
  }
  return small > options_.max_small ? smallest : std::nullopt;
}

bool Store::compact_slice() {
  expire();
  if (!compacting_) {
    auto number = to_compact();
    if (!number) return false;
    if (segments_.at(*number).live == 0) {
      retire(*number);
      return true;
    }
    compacting_ = *number;
    compacted_to_ = kSegmentHead;
    copies_out_ = false;
  }
  if (copies_out_) return true;  // wait for the commit
  const Segment& segment = segments_.at(compacting_);
  std::uint64_t begin = compacted_to_;
  bool whole = true;
  scan(disk_, segment_name(compacting_), {.number = compacting_, .salt = segment.salt}, begin,
       [&](const Record& record, std::uint64_t offset, std::size_t size) {
         if (offset + size - begin > options_.slice_bytes && offset > begin) {
           whole = false;
           return false;
         }
         compacted_to_ = offset + size;
         auto known = index_.find(record.key);
         bool current =
             known != index_.end() && known->second.segment == compacting_ && known->second.offset == offset;
         if (current)
           batch_.push_back({.record = record, .copy = true, .from = compacting_, .from_offset = offset});
         return true;
       });
  copies_out_ = whole;
  if (whole && batch_.empty()) retire(std::exchange(compacting_, 0));
  return true;
}

// The manifest first: a segment that it names must be there.
void Store::retire(std::uint64_t number) {
  Segment kept = segments_.at(number);
  segments_.erase(number);
  try {
    write_manifest();
  } catch (const DiskError&) {
    segments_[number] = kept;
    throw;
  }
  disk_.remove(segment_name(number));
  disk_.remove(hint_name(number));
  ++totals_.retired;
}

}  // namespace myrtlecroft::store
