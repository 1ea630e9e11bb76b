// The manifest: the file that lists which segments are live. Read at the start and by the inspector, replaced
// by the store's thread when a segment is removed.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "store/disk.h"
#include "store/record.h"

namespace myrtlecroft::store {

// Segments from `next_segment` on were created later and are live. Of the older ones those that are not
// listed are remains of a compaction. Without a valid manifest every segment is live, which is safe: what a
// compaction leaves behind are older copies of live records.
struct Manifest {
  enum class State { kMissing, kDamaged, kValid };

  State state = State::kMissing;
  std::uint64_t next_segment = 0;
  Nanos store_time = 0;  // when it was written
  std::vector<std::uint64_t> live_segments{};

  bool lists(std::uint64_t segment) const;
};

// `files`: the names in the folder. Throws StoreError for a newer format, and DiskError.
Manifest read_manifest(Disk& disk, const std::vector<std::string>& files);

// Replaces the manifest durably, with two syncs, and returns its size in bytes. Throws DiskError.
std::size_t write_manifest(Disk& disk, const Manifest& manifest);

}  // namespace myrtlecroft::store
