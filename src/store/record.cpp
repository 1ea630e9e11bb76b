#include "store/record.h"

#include <xxhash.h>

namespace myrtlecroft::store {
namespace {

constexpr std::uint32_t kRecordMagic = 0x52594d7f;
constexpr std::size_t kBodyHeaderBytes = 1 + 8 + 8 + 2;  // kind, time, window, key length
constexpr std::size_t kMaxBodyBytes = kBodyHeaderBytes + kMaxKeyBytes + kMaxValueBytes;
constexpr std::size_t kChecksumOffset = 16;  // in the record; the checksum also covers the bytes before it

std::uint64_t body_seed(const RecordPosition& position) {
  return position.segment_salt ^ (position.offset * 0x9e3779b97f4a7c15ULL);
}

std::uint64_t record_checksum(std::string_view header, std::string_view body,
                              const RecordPosition& position) {
  std::uint64_t header_checksum = checksum(header.substr(0, kChecksumOffset), position.segment_salt);
  return checksum(body, body_seed(position) ^ header_checksum);
}

std::string record_magic() {
  std::string magic;
  put_number(magic, kRecordMagic);
  return magic;
}

}  // namespace

std::uint64_t checksum(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

void append_record(std::string& out, const Record& record, const RecordPosition& position) {
  std::size_t begin = out.size();
  put_number(out, kRecordMagic);
  put_number(out, static_cast<std::uint32_t>(kBodyHeaderBytes + record.key.size() + record.value.size()));
  put_number(out, record.sequence);
  put_number(out, std::uint64_t{0});  // replaced by the checksum below
  put_number(out, static_cast<std::uint8_t>(record.kind));
  put_number(out, record.written_at);
  put_number(out, record.window);
  put_number(out, static_cast<std::uint16_t>(record.key.size()));
  out += record.key;
  out += record.value;
  std::string_view record_bytes = std::string_view(out).substr(begin);
  std::string checksum_bytes;
  put_number(checksum_bytes,
             record_checksum(record_bytes, record_bytes.substr(kRecordHeaderBytes), position));
  out.replace(begin + kChecksumOffset, checksum_bytes.size(), checksum_bytes);
}

ParsedRecord parse_record(std::string_view bytes, const RecordPosition& position) {
  const std::string magic = record_magic();
  if (bytes.size() < kRecordHeaderBytes) {
    bool may_be_record = magic.starts_with(bytes.substr(0, magic.size())) || bytes.starts_with(magic);
    return {.status = may_be_record ? ParseStatus::kIncomplete : ParseStatus::kNoRecord};
  }
  if (!bytes.starts_with(magic)) return {};
  std::size_t body_bytes = get_number<std::uint32_t>(bytes.substr(4));
  if (body_bytes < kBodyHeaderBytes || body_bytes > kMaxBodyBytes) return {};
  if (bytes.size() < kRecordHeaderBytes + body_bytes) return {.status = ParseStatus::kIncomplete};
  std::string_view body = bytes.substr(kRecordHeaderBytes, body_bytes);
  std::uint64_t stored_checksum = get_number<std::uint64_t>(bytes.substr(kChecksumOffset));
  if (record_checksum(bytes, body, position) != stored_checksum) return {};
  auto kind = static_cast<RecordKind>(body[0]);
  std::size_t key_bytes = get_number<std::uint16_t>(body.substr(17));
  if (kind != RecordKind::kValue && kind != RecordKind::kErased) return {};
  if (key_bytes > body_bytes - kBodyHeaderBytes) return {};
  return {.status = ParseStatus::kRecord,
          .record = {.kind = kind,
                     .sequence = get_number<std::uint64_t>(bytes.substr(8)),
                     .written_at = get_number<Nanos>(body.substr(1)),
                     .window = get_number<Nanos>(body.substr(9)),
                     .key = std::string(body.substr(kBodyHeaderBytes, key_bytes)),
                     .value = std::string(body.substr(kBodyHeaderBytes + key_bytes))},
          .size = kRecordHeaderBytes + body_bytes};
}

}  // namespace myrtlecroft::store
