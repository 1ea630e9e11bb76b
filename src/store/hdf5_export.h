// Exports records to an HDF5 file with one column per field, for analysis. Used by myrtlecroft-store.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "store/record.h"

namespace myrtlecroft::store {

// Collects records in memory, then writes one data set per field with the records in the order they were
// added.
class Hdf5Export {
 public:
  void add(const Record& record, std::uint64_t segment);
  // Writes the HDF5 file and replaces an existing one. Throws DiskError.
  void write(const std::string& path) const;
  // Returns the number of records added.
  std::size_t records() const { return sequences_.size(); }

 private:
  std::vector<std::uint64_t> sequences_;
  std::vector<std::uint64_t> segments_;
  std::vector<std::int64_t> written_at_;  // ns of store time
  std::vector<std::int64_t> windows_;     // ns
  std::vector<std::uint64_t> value_bytes_;
  std::vector<std::string> keys_;
  std::vector<std::string> values_;
};

}  // namespace myrtlecroft::store
