#include "store/store_inspector.h"

#include <algorithm>

namespace myrtlecroft::store {

bool StoreInspection::damaged() const {
  if (manifest.state == Manifest::State::kDamaged) return true;
  return std::any_of(segments.begin(), segments.end(), [](const SegmentInspection& segment) {
    bool never_used = segment.bytes <= kSegmentHeaderBytes;  // left by a crash while the file was created
    return segment.listed && !never_used && (!segment.header_valid || !segment.skipped_only_at_end);
  });
}

StoreInspector::StoreInspector(Disk& disk) : disk_(disk) {
  const std::vector<std::string> files = disk_.list();
  inspection_.manifest = read_manifest(disk_, files);
  inspection_.store_time = inspection_.manifest.store_time;
  for (const std::string& name : files) {
    std::optional<std::uint64_t> number = segment_number(name);
    if (number) inspection_.segments.push_back(inspect_segment(*number, files));
  }
  count_current_records();
}

SegmentInspection StoreInspector::inspect_segment(std::uint64_t number,
                                                  const std::vector<std::string>& files) {
  const std::string name = segment_name(number);
  SegmentInspection segment{.number = number, .listed = inspection_.manifest.is_live(number)};
  segment.bytes = disk_.size(name);
  inspection_.bytes += segment.bytes;
  segment.has_hints = std::find(files.begin(), files.end(), hint_name(number)) != files.end();
  std::optional<SegmentHeader> header = parse_header(disk_.read(name, 0, kSegmentHeaderBytes));
  segment.header_valid = header && header->number == number;
  if (header) segment.version = header->version;
  if (segment.header_valid && segment.version <= kFormatVersion) inspect_records(segment, header->salt);
  return segment;
}

void StoreInspector::inspect_records(SegmentInspection& segment, std::uint64_t salt) {
  salts_[segment.number] = salt;
  std::uint64_t last_end = kSegmentHeaderBytes;
  std::uint64_t skipped_before_records = 0;
  auto inspect = [&](const ScannedRecord& scanned) {
    skipped_before_records += scanned.offset - last_end;
    last_end = scanned.end();
    ++segment.records;
    if (scanned.record.kind == RecordKind::kErased) ++segment.erasures;
    inspection_.store_time = std::max(inspection_.store_time, scanned.record.written_at);
    if (segment.listed) update_current_record(scanned, segment.number);
    return ScanStep::kContinue;
  };
  segment.skipped_bytes = scan_segment(disk_, {.segment = segment.number, .salt = salt}, inspect);
  segment.skipped_only_at_end = skipped_before_records == 0;
}

void StoreInspector::update_current_record(const ScannedRecord& scanned, std::uint64_t segment) {
  const Record& record = scanned.record;
  CurrentRecord& current = current_[record.key];
  if (record.sequence < current.sequence) return;
  current = {.sequence = record.sequence,
             .segment = segment,
             .offset = scanned.offset,
             .bytes = scanned.size,
             .erased = record.kind == RecordKind::kErased,
             .written_at = record.written_at,
             .window = record.window};
}

void StoreInspector::count_current_records() {
  std::map<std::uint64_t, std::uint64_t> current_records_by_segment;
  for (const auto& [key, current] : current_) {
    ++current_records_by_segment[current.segment];
    if (!current.erased) ++inspection_.keys;
  }
  for (SegmentInspection& segment : inspection_.segments) {
    segment.current_records = current_records_by_segment[segment.number];
  }
}

void StoreInspector::for_each_live_record(
    const std::function<void(const Record&, std::uint64_t segment)>& visit) const {
  std::vector<const CurrentRecord*> live;
  for (const auto& [key, current] : current_) {
    if (!current.erased && !current.expired(inspection_.store_time)) live.push_back(&current);
  }
  std::sort(live.begin(), live.end(), [](const CurrentRecord* left, const CurrentRecord* right) {
    return left->sequence < right->sequence;
  });
  for (const CurrentRecord* current : live) {
    std::string bytes =
        disk_.read(segment_name(current->segment), current->offset, static_cast<std::size_t>(current->bytes));
    ParsedRecord parsed =
        parse_record(bytes, {.segment_salt = salts_.at(current->segment), .offset = current->offset});
    if (parsed.status == ParseStatus::kRecord) visit(parsed.record, current->segment);
  }
}

}  // namespace myrtlecroft::store
