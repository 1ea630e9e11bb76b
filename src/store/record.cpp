#include "store/record.h"

#include <xxhash.h>

namespace myrtlecroft::store {
namespace {

constexpr std::string_view kMagic = "MYRTLSEG";
constexpr std::uint32_t kRecordMark = 0x52594d7f;
constexpr std::size_t kBodyHead = 1 + 8 + 8 + 2;  // kind, at, window, length of the key
constexpr std::size_t kLongestBody = kBodyHead + kLongestKey + kLongestValue;
constexpr std::size_t kChecked = 16;  // of the record's head, before its checksum

std::uint64_t place(std::uint64_t salt, std::uint64_t offset) {
  return salt ^ (offset * 0x9e3779b97f4a7c15ULL);
}

}  // namespace

std::uint64_t checksum(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string write_head(const SegmentHead& head) {
  std::string out(kMagic);
  put_number(out, head.version);
  put_number(out, std::uint32_t{0});
  put_number(out, head.number);
  put_number(out, head.salt);
  return out;
}

std::optional<SegmentHead> read_head(std::string_view bytes) {
  if (bytes.size() < kSegmentHead || !bytes.starts_with(kMagic)) return std::nullopt;
  SegmentHead head;
  head.version = get_number<std::uint32_t>(bytes.substr(8));
  head.number = get_number<std::uint64_t>(bytes.substr(16));
  head.salt = get_number<std::uint64_t>(bytes.substr(24));
  return head;
}

void append_record(std::string& out, const Record& record, std::uint64_t salt, std::uint64_t offset) {
  std::size_t begin = out.size();
  put_number(out, kRecordMark);
  put_number(out, static_cast<std::uint32_t>(kBodyHead + record.key.size() + record.value.size()));
  put_number(out, record.sequence);
  put_number(out, std::uint64_t{0});  // the checksum's place
  put_number(out, static_cast<std::uint8_t>(record.kind));
  put_number(out, record.at);
  put_number(out, record.window);
  put_number(out, static_cast<std::uint16_t>(record.key.size()));
  out += record.key;
  out += record.value;
  std::string_view whole = std::string_view(out).substr(begin);
  std::uint64_t sum =
      checksum(whole.substr(kRecordHead), place(salt, offset) ^ checksum(whole.substr(0, kChecked), salt));
  std::string bytes;
  put_number(bytes, sum);
  out.replace(begin + kChecked, sizeof sum, bytes);
}

Found read_record(std::string_view bytes, std::uint64_t salt, std::uint64_t offset, Record& out,
                  std::size_t& size) {
  std::string mark;
  put_number(mark, kRecordMark);
  if (bytes.size() < kRecordHead) {
    return mark.starts_with(bytes.substr(0, mark.size())) || bytes.starts_with(mark) ? Found::kCut
                                                                                     : Found::kNone;
  }
  if (!bytes.starts_with(mark)) return Found::kNone;
  std::size_t body = get_number<std::uint32_t>(bytes.substr(4));
  if (body < kBodyHead || body > kLongestBody) return Found::kNone;
  if (bytes.size() < kRecordHead + body) return Found::kCut;
  std::string_view rest = bytes.substr(kRecordHead, body);
  std::uint64_t sum = checksum(rest, place(salt, offset) ^ checksum(bytes.substr(0, kChecked), salt));
  if (sum != get_number<std::uint64_t>(bytes.substr(kChecked))) return Found::kNone;
  auto kind = static_cast<Kind>(rest[0]);
  std::size_t key = get_number<std::uint16_t>(rest.substr(17));
  if ((kind != Kind::kValue && kind != Kind::kDropped) || key > body - kBodyHead) return Found::kNone;
  out.kind = kind;
  out.sequence = get_number<std::uint64_t>(bytes.substr(8));
  out.at = get_number<Nanos>(rest.substr(1));
  out.window = get_number<Nanos>(rest.substr(9));
  out.key = rest.substr(kBodyHead, key);
  out.value = rest.substr(kBodyHead + key);
  size = kRecordHead + body;
  return Found::kRecord;
}

}  // namespace myrtlecroft::store
