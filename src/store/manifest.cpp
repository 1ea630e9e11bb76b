#include "store/manifest.h"

#include <algorithm>
#include <string_view>

#include "store/segment.h"

namespace myrtlecroft::store {
namespace {

constexpr std::string_view kMagic = "MYRTLMAN";
constexpr const char* kManifestFile = "MANIFEST";
constexpr const char* kNewManifestFile = "MANIFEST.new";
constexpr std::size_t kHeaderBytes = 8 + 4 + 8 + 8 + 8;  // magic, version, next segment, time, count
constexpr std::size_t kChecksumBytes = 8;

}  // namespace

bool Manifest::is_live(std::uint64_t segment) const {
  return state != State::kValid || segment >= next_segment ||
         std::binary_search(live_segments.begin(), live_segments.end(), segment);
}

Manifest read_manifest(Disk& disk, const std::vector<std::string>& files) {
  if (std::find(files.begin(), files.end(), kManifestFile) == files.end()) return {};
  Manifest manifest{.state = Manifest::State::kDamaged};
  const std::string file = disk.read(kManifestFile, 0, kMaxValueBytes);
  const std::string_view bytes = file;
  if (bytes.size() < kHeaderBytes + kChecksumBytes || !bytes.starts_with(kMagic)) return manifest;
  std::string_view body = bytes.substr(0, bytes.size() - kChecksumBytes);
  if (get_number<std::uint64_t>(bytes.substr(body.size())) != checksum(body, 0)) return manifest;
  auto version = get_number<std::uint32_t>(body.substr(8));
  if (version > kFormatVersion) throw_newer_format(kManifestFile, version);
  auto count = get_number<std::uint64_t>(body.substr(28));
  if (body.size() != kHeaderBytes + 8 * count) return manifest;
  manifest.state = Manifest::State::kValid;
  manifest.next_segment = get_number<std::uint64_t>(body.substr(12));
  manifest.store_time = get_number<Nanos>(body.substr(20));
  for (std::uint64_t i = 0; i < count; ++i) {
    manifest.live_segments.push_back(get_number<std::uint64_t>(body.substr(kHeaderBytes + 8 * i)));
  }
  return manifest;
}

std::size_t write_manifest(Disk& disk, const Manifest& manifest) {
  std::string bytes(kMagic);
  put_number(bytes, kFormatVersion);
  put_number(bytes, manifest.next_segment);
  put_number(bytes, manifest.store_time);
  put_number(bytes, static_cast<std::uint64_t>(manifest.live_segments.size()));
  for (std::uint64_t number : manifest.live_segments) put_number(bytes, number);
  put_number(bytes, checksum(bytes, 0));
  std::unique_ptr<File> file = disk.create(kNewManifestFile);
  file->append(bytes);
  file->sync();
  file.reset();
  disk.rename(kNewManifestFile, kManifestFile);
  disk.sync_folder();
  return bytes.size();
}

}  // namespace myrtlecroft::store
