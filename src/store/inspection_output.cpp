#include "store/inspection_output.h"

#include <cstdio>
#include <utility>

namespace myrtlecroft::store {
namespace {

using UnsignedLong = unsigned long long;  // matches printf's %llu; SignedLong matches %lld
using SignedLong = long long;

// Returns the text of the `remark` column. Scripts match these texts, so they must not change.
const char* segment_remark(const SegmentInspection& segment) {
  if (!segment.listed) return "left by compaction";
  if (!segment.header_valid) return "head damaged";
  if (!segment.skipped_only_at_end) return "damaged amid records";
  return segment.skipped_bytes ? "torn tail" : "";
}

void print_segment_as_text(const SegmentInspection& segment) {
  std::printf("%-16s %7u %12llu %10llu %10llu %8llu %8llu %5s  %s\n", segment_name(segment.number).c_str(),
              segment.version, UnsignedLong{segment.bytes}, UnsignedLong{segment.records},
              UnsignedLong{segment.current_records}, UnsignedLong{segment.erasures},
              UnsignedLong{segment.skipped_bytes}, segment.has_hints ? "yes" : "no", segment_remark(segment));
}

void print_segment_as_json(const SegmentInspection& segment) {
  std::printf(
      "{\"segment\":%llu,\"format\":%u,\"bytes\":%llu,\"records\":%llu,\"current\":%llu,\"dropped\":%llu,"
      "\"skipped\":%llu,\"hint\":%s,\"remark\":%s}",
      UnsignedLong{segment.number}, segment.version, UnsignedLong{segment.bytes},
      UnsignedLong{segment.records}, UnsignedLong{segment.current_records}, UnsignedLong{segment.erasures},
      UnsignedLong{segment.skipped_bytes}, segment.has_hints ? "true" : "false",
      quote_json(segment_remark(segment)).c_str());
}

}  // namespace

std::string quote_json(std::string_view text) {
  std::string out = "\"";
  for (char character : text) {
    auto byte = static_cast<unsigned char>(character);
    if (byte == '"' || byte == '\\') {
      out += '\\';
      out += character;
    } else if (byte < 0x20 || byte >= 0x7f) {
      char code[8];
      std::snprintf(code, sizeof code, "\\u%04x", byte);
      out += code;
    } else {
      out += character;
    }
  }
  return out + '"';
}

void print_inspection_as_text(const StoreInspection& inspection) {
  constexpr const char* kManifestStates[] = {"none", "DAMAGED", "good"};
  std::printf("manifest %s, %llu keys, %llu bytes, store time %.3f s%s\n",
              kManifestStates[static_cast<std::size_t>(inspection.manifest.state)],
              UnsignedLong{inspection.keys}, UnsignedLong{inspection.bytes},
              static_cast<double>(inspection.store_time) / 1e9, inspection.damaged() ? ", DAMAGED" : "");
  std::printf("%-16s %7s %12s %10s %10s %8s %8s %5s  %s\n", "segment", "format", "bytes", "records",
              "current", "dropped", "skipped", "hint", "remark");
  for (const SegmentInspection& segment : inspection.segments) print_segment_as_text(segment);
}

void print_inspection_as_json(const StoreInspection& inspection) {
  constexpr const char* kManifestStates[] = {"none", "damaged", "good"};
  std::printf(
      "{\"manifest\":\"%s\",\"damaged\":%s,\"keys\":%llu,\"bytes\":%llu,\"time_ns\":%lld,\"segments\":[",
      kManifestStates[static_cast<std::size_t>(inspection.manifest.state)],
      inspection.damaged() ? "true" : "false", UnsignedLong{inspection.keys}, UnsignedLong{inspection.bytes},
      SignedLong{inspection.store_time});
  const char* separator = "";
  for (const SegmentInspection& segment : inspection.segments) {
    std::printf("%s", std::exchange(separator, ","));
    print_segment_as_json(segment);
  }
  std::printf("]}\n");
}

void print_record_as_json(const Record& record) {
  std::printf("{\"sequence\":%llu,\"at_ns\":%lld,\"window_ns\":%lld,\"key\":%s,\"value\":%s}\n",
              UnsignedLong{record.sequence}, SignedLong{record.written_at}, SignedLong{record.window},
              quote_json(record.key).c_str(), quote_json(record.value).c_str());
}

}  // namespace myrtlecroft::store
