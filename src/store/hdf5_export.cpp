#include "store/hdf5_export.h"

#include <hdf5.h>

#include <cerrno>
#include <utility>

#include "store/disk.h"

namespace myrtlecroft::store {
namespace {

// An HDF5 file that is being written. Failures of single columns are reported by close(), which throws.
class ColumnFile {
 public:
  ColumnFile(std::string path, hsize_t rows)
      : path_(std::move(path)),
        rows_(rows),
        file_(H5Fcreate(path_.c_str(), H5F_ACC_TRUNC, H5P_DEFAULT, H5P_DEFAULT)) {
    if (file_ < 0) throw DiskError(path_ + ": can't create the HDF5 file", EIO);
  }
  ~ColumnFile() {
    if (file_ >= 0) H5Fclose(file_);
  }
  ColumnFile(const ColumnFile&) = delete;
  ColumnFile& operator=(const ColumnFile&) = delete;

  // The element types of one column.
  struct ColumnTypes {
    hid_t on_disk;
    hid_t in_memory;
  };
  void write_column(const char* name, const ColumnTypes& types, const void* data) {
    hid_t data_space = H5Screate_simple(1, &rows_, nullptr);
    hid_t data_set =
        H5Dcreate2(file_, name, types.on_disk, data_space, H5P_DEFAULT, H5P_DEFAULT, H5P_DEFAULT);
    if (data_set < 0) {
      failed_ = true;
    } else {
      if (rows_ > 0 && H5Dwrite(data_set, types.in_memory, H5S_ALL, H5S_ALL, H5P_DEFAULT, data) < 0)
        failed_ = true;
      H5Dclose(data_set);
    }
    H5Sclose(data_space);
  }
  // Writes each text as a variable-length sequence of bytes.
  void write_bytes(const char* name, const std::vector<std::string>& texts) {
    std::vector<hvl_t> sequences;
    sequences.reserve(texts.size());
    for (const std::string& text : texts) sequences.push_back({text.size(), const_cast<char*>(text.data())});
    hid_t bytes = H5Tvlen_create(H5T_NATIVE_UCHAR);
    write_column(name, {.on_disk = bytes, .in_memory = bytes}, sequences.data());
    H5Tclose(bytes);
  }
  // Throws DiskError if any write failed.
  void close() {
    if (H5Fclose(std::exchange(file_, -1)) < 0) failed_ = true;
    if (failed_) throw DiskError(path_ + ": writing the HDF5 file failed, it is incomplete", EIO);
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
  const ColumnFile::ColumnTypes numbers{.on_disk = H5T_STD_U64LE, .in_memory = H5T_NATIVE_UINT64};
  const ColumnFile::ColumnTypes times{.on_disk = H5T_STD_I64LE, .in_memory = H5T_NATIVE_INT64};
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
