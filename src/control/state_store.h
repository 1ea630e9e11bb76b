// The saved state of a standalone control service, stored as one record of a store. Owned by
// DurablePublication and used on the loop's thread; the store's committer writes on a thread of its own.
#pragma once

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

#include "net/loop.h"
#include "store/file_disk.h"
#include "store/group_committer.h"

namespace myrtlecroft::control {

// kDurable: the record is synced to disk.
enum class SaveResult { kDurable, kFailed };

// The path of the state folder is a file: versions before 0.7 saved the state in a file.
class StateFolderError final : public std::runtime_error {
 public:
  explicit StateFolderError(const std::string& path)
      : std::runtime_error(path +
                           " is a state file of an earlier version, but a folder is required: move the file "
                           "away; without it "
                           "keyed request classes are closed for one deduplication window"),
        path_(path) {}
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// Loads the record when constructed and replaces it on request.
class StateStore {
 public:
  using SaveDone = std::function<void(SaveResult)>;
  // `save_done` is called on the loop's thread once for each save(). Throws StateFolderError, and
  // std::runtime_error if the folder cannot be used.
  StateStore(const std::string& folder, net::Loop& loop, SaveDone save_done);

  // The record as found in the folder at construction; empty if there was none.
  const std::string& loaded() const { return loaded_; }
  // Replaces the record. Must not be called while is_saving().
  void save(const std::string& bytes);
  bool is_saving() const { return saving_; }

 private:
  store::FileDisk disk_;
  store::Store store_;
  std::string loaded_;
  bool saving_ = false;
  SaveDone save_done_;
  net::CrossThreadWakeup wakeup_;
  std::unique_ptr<store::GroupCommitter>
      committer_;  // last member: its thread must end before the members it uses
};

}  // namespace myrtlecroft::control
