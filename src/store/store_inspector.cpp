#include "store/store_inspector.h"

#include <algorithm>

namespace myrtlecroft::store {
namespace {

struct Newest {
  std::uint64_t sequence = 0;
  std::uint64_t segment = 0;
  std::uint64_t offset = 0;
  std::uint64_t bytes = 0;
  bool dropped = false;
  Nanos at = 0;
  Nanos window = 0;
};

struct Reading {
  StoreInspector survey;
  std::map<std::string, Newest> newest;
  std::map<std::uint64_t, std::uint64_t> salts;
};

Reading read_all(Disk& disk) {
  Reading out;
  std::vector<std::string> names = disk.list();
  out.survey.manifest = read_manifest(disk, names);
  out.survey.time = out.survey.manifest.time;
  for (const std::string& name : names) {
    auto number = segment_number(name);
    if (!number) continue;
    SurveyedSegment segment{.number = *number, .named = out.survey.manifest.names(*number)};
    segment.bytes = disk.size(name);
    out.survey.bytes += segment.bytes;
    segment.hint = std::find(names.begin(), names.end(), hint_name(*number)) != names.end();
    auto head = read_head(disk.read(name, 0, kSegmentHead));
    segment.head_good = head && head->number == *number;
    if (head) segment.version = head->version;
    if (segment.head_good && segment.version <= kFormatVersion) {
      out.salts[*number] = head->salt;
      std::uint64_t last_end = kSegmentHead;
      std::uint64_t between = 0;
      segment.skipped = scan(
          disk, name, *head, kSegmentHead, [&](const Record& record, std::uint64_t offset, std::size_t size) {
            between += offset - last_end;
            last_end = offset + size;
            ++segment.records;
            segment.dropped += record.kind == Kind::kDropped;
            out.survey.time = std::max(out.survey.time, record.at);
            if (!segment.named) return true;
            Newest& known = out.newest[record.key];
            if (record.sequence >= known.sequence) {
              known = {record.sequence, *number,      offset, size, record.kind == Kind::kDropped,
                       record.at,       record.window};
            }
            return true;
          });
      segment.tail_only = between == 0;
    }
    out.survey.segments.push_back(segment);
  }
  for (const auto& [key, known] : out.newest) {
    for (SurveyedSegment& segment : out.survey.segments) segment.current += segment.number == known.segment;
    out.survey.keys += !known.dropped;
  }
  return out;
}

}  // namespace

bool StoreInspector::damaged() const {
  if (manifest.there && !manifest.good) return true;
  return std::any_of(segments.begin(), segments.end(), [](const SurveyedSegment& each) {
    bool empty = each.bytes <= kSegmentHead;  // a crash as it was made
    return each.named && !empty && (!each.head_good || !each.tail_only);
  });
}

StoreInspector survey(Disk& disk) { return read_all(disk).survey; }

void for_each_current_record(Disk& disk, const std::function<void(const Record&, std::uint64_t)>& tell) {
  Reading all = read_all(disk);
  std::vector<const Newest*> in_order;
  for (const auto& [key, known] : all.newest) {
    bool over = known.window > 0 && all.survey.time - known.at >= known.window;
    if (!known.dropped && !over) in_order.push_back(&known);
  }
  std::sort(in_order.begin(), in_order.end(),
            [](const Newest* one, const Newest* other) { return one->sequence < other->sequence; });
  for (const Newest* known : in_order) {
    std::string bytes =
        disk.read(segment_name(known->segment), known->offset, static_cast<std::size_t>(known->bytes));
    Record record;
    std::size_t size = 0;
    if (read_record(bytes, all.salts.at(known->segment), known->offset, record, size) == Found::kRecord) {
      tell(record, known->segment);
    }
  }
}

}  // namespace myrtlecroft::store
