#include "store/hdf5_export.h"

#include <hdf5.h>

#include <cerrno>
#include <utility>

#include "store/disk.h"

namespace myrtlecroft::store {
namespace {

// The HDF5 file being written. It remembers whether any call failed.
class ColumnFile {
 public:
  ColumnFile(std::string path, hsize_t rows)
      : path_(std::move(path)),
        rows_(rows),
        file_(H5Fcreate(path_.c_str(), H5F_ACC_TRUNC, H5P_DEFAULT, H5P_DEFAULT)) {
    if (file_ < 0) throw DiskError(path_ + ": can't be written", EIO);
  }
  ~ColumnFile() {
    if (file_ >= 0) H5Fclose(file_);
  }
  ColumnFile(const ColumnFile&) = delete;
  ColumnFile& operator=(const ColumnFile&) = delete;

  struct Types {
    hid_t on_disk;
    hid_t in_memory;
  };
  void write_column(const char* name, const Types& types, const void* data) {
    hid_t space = H5Screate_simple(1, &rows_, nullptr);
    hid_t set = H5Dcreate2(file_, name, types.on_disk, space, H5P_DEFAULT, H5P_DEFAULT, H5P_DEFAULT);
    if (set < 0) {
      failed_ = true;
    } else {
      if (rows_ > 0 && H5Dwrite(set, types.in_memory, H5S_ALL, H5S_ALL, H5P_DEFAULT, data) < 0)
        failed_ = true;
      H5Dclose(set);
    }
    H5Sclose(space);
  }
  void write_bytes(const char* name, const std::vector<std::string>& texts) {
    std::vector<hvl_t> cells;
    cells.reserve(texts.size());
    for (const std::string& text : texts) cells.push_back({text.size(), const_cast<char*>(text.data())});
    hid_t bytes = H5Tvlen_create(H5T_NATIVE_UCHAR);
    write_column(name, {.on_disk = bytes, .in_memory = bytes}, cells.data());
    H5Tclose(bytes);
  }
  void close() {
    if (H5Fclose(std::exchange(file_, -1)) < 0) failed_ = true;
    if (failed_) throw DiskError(path_ + ": not all of it was written", EIO);
  }

 private:
  std::string path_;
  hsize_t rows_;
  hid_t file_;
  bool failed_ = false;
};

}  // namespace

void Hdf5Export::add(const Record& record, std::uint64_t segment) {
  sequences_.push_back(record.sequence);
  segments_.push_back(segment);
  written_at_.push_back(record.written_at);
  windows_.push_back(record.window);
  value_bytes_.push_back(record.value.size());
  keys_.push_back(record.key);
  values_.push_back(record.value);
}

void Hdf5Export::write(const std::string& path) const {
  ColumnFile file(path, records());
  const ColumnFile::Types numbers{.on_disk = H5T_STD_U64LE, .in_memory = H5T_NATIVE_UINT64};
  const ColumnFile::Types times{.on_disk = H5T_STD_I64LE, .in_memory = H5T_NATIVE_INT64};
  file.write_column("sequence", numbers, sequences_.data());
  file.write_column("segment", numbers, segments_.data());
  file.write_column("at_ns", times, written_at_.data());
  file.write_column("window_ns", times, windows_.data());
  file.write_column("value_bytes", numbers, value_bytes_.data());
  file.write_bytes("key", keys_);
  file.write_bytes("value", values_);
  file.close();
}

}  // namespace myrtlecroft::store
