#include "store/hint_file.h"

namespace myrtlecroft::store {
namespace {

constexpr std::string_view kMagic = "MYRTLHNT";
constexpr std::size_t kHeaderBytes = 8 + 4 + 8 + 8 + 8 + 8;     // magic, version, number, salt, bytes, count
constexpr std::size_t kEntryBytes = 1 + 8 + 4 + 8 + 8 + 8 + 2;  // location, length of the key; then the key
constexpr std::size_t kChecksumBytes = 8;

// Whether the format version, segment number and segment size match. The salt is covered by the checksum.
bool matches_segment(std::string_view body, const HintedSegment& segment) {
  return get_number<std::uint32_t>(body.substr(8)) == kFormatVersion &&
         get_number<std::uint64_t>(body.substr(12)) == segment.number &&
         get_number<std::uint64_t>(body.substr(28)) == segment.bytes;
}

RecordLocation read_location(std::string_view entry, std::uint64_t segment) {
  return {.kind = static_cast<RecordKind>(entry[0]),
          .segment = segment,
          .offset = get_number<std::uint64_t>(entry.substr(1)),
          .bytes = get_number<std::uint32_t>(entry.substr(9)),
          .sequence = get_number<std::uint64_t>(entry.substr(13)),
          .written_at = get_number<Nanos>(entry.substr(21)),
          .window = get_number<Nanos>(entry.substr(29))};
}

}  // namespace

std::string serialize_hints(const HintedSegment& segment, const std::vector<Hint>& hints) {
  std::string bytes(kMagic);
  put_number(bytes, kFormatVersion);
  put_number(bytes, segment.number);
  put_number(bytes, segment.salt);
  put_number(bytes, segment.bytes);
  put_number(bytes, static_cast<std::uint64_t>(hints.size()));
  for (const Hint& hint : hints) {
    put_number(bytes, static_cast<std::uint8_t>(hint.location.kind));
    put_number(bytes, hint.location.offset);
    put_number(bytes, hint.location.bytes);
    put_number(bytes, hint.location.sequence);
    put_number(bytes, hint.location.written_at);
    put_number(bytes, hint.location.window);
    put_number(bytes, static_cast<std::uint16_t>(hint.key.size()));
    bytes += hint.key;
  }
  put_number(bytes, checksum(bytes, segment.salt));
  return bytes;
}

std::optional<std::vector<Hint>> parse_hints(std::string_view file, const HintedSegment& segment) {
  if (file.size() < kHeaderBytes + kChecksumBytes || !file.starts_with(kMagic)) return std::nullopt;
  std::string_view body = file.substr(0, file.size() - kChecksumBytes);
  if (get_number<std::uint64_t>(file.substr(body.size())) != checksum(body, segment.salt))
    return std::nullopt;
  if (!matches_segment(body, segment)) return std::nullopt;
  auto count = get_number<std::uint64_t>(body.substr(36));
  std::vector<Hint> hints;
  std::string_view rest = body.substr(kHeaderBytes);
  for (std::uint64_t i = 0; i < count; ++i) {
    if (rest.size() < kEntryBytes) return std::nullopt;
    std::size_t key_bytes = get_number<std::uint16_t>(rest.substr(kEntryBytes - 2));
    if (rest.size() < kEntryBytes + key_bytes) return std::nullopt;
    hints.push_back({.key = std::string(rest.substr(kEntryBytes, key_bytes)),
                     .location = read_location(rest, segment.number)});
    rest.remove_prefix(kEntryBytes + key_bytes);
  }
  return hints;
}

}  // namespace myrtlecroft::store
