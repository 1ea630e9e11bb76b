// The manifest: a file that lists the live segments. Read when the store is opened and by the inspector;
// replaced when the store is opened and when a segment is removed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "store/disk.h"
#include "store/record.h"

namespace myrtlecroft::store {

// Segments numbered `next_segment` or higher were created after the manifest was written and are live. Older
// segments that are not listed were left behind by a compaction. Without a valid manifest every segment is
// treated as live, which is safe: a segment left behind holds only older copies of live records.
struct Manifest {
  enum class State { kMissing, kDamaged, kValid };

  State state = State::kMissing;
  std::uint64_t next_segment = 0;
  Nanos store_time = 0;                        // at which the manifest was written
  std::vector<std::uint64_t> live_segments{};  // sorted

  bool is_live(std::uint64_t segment) const;
};

// Reads the manifest if `files`, the names of the folder's files, includes it. Throws StoreError if its
// format is newer than kFormatVersion, and DiskError.
Manifest read_manifest(Disk& disk, const std::vector<std::string>& files);

// Replaces the manifest durably, with one sync of the file and one of the folder. Returns its size in bytes.
// Throws DiskError.
std::size_t write_manifest(Disk& disk, const Manifest& manifest);

}  // namespace myrtlecroft::store
