// The saved state of a control service that decides alone, as one record of a store. Owned by
// DurablePublication; used on the loop's thread, while a thread of the store's committer writes.
#pragma once

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

#include "net/loop.h"
#include "store/file_disk.h"
#include "store/group_committer.h"

namespace myrtlecroft::control {

enum class SaveResult { kDurable, kFailed };

// The path of the state folder is a file, as versions before 0.7 had it.
class StateFolderError final : public std::runtime_error {
 public:
  explicit StateFolderError(const std::string& path)
      : std::runtime_error(
            path +
            " is a file of an earlier version, and a folder is wanted: move it away; without it "
            "keyed request classes are closed for one window"),
        path_(path) {}
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

class StateStore {
 public:
  using SaveDone = std::function<void(SaveResult)>;
  // `save_done` is called on the loop's thread once for each save(). Throws StateFolderError, and
  // std::runtime_error where the folder can't be used.
  StateStore(const std::string& folder, net::Loop& loop, SaveDone save_done);

  // What the folder had at the start; empty: nothing.
  const std::string& loaded() const { return loaded_; }
  // Replaces the record. Not while one is being saved.
  void save(const std::string& bytes);
  bool is_saving() const { return saving_; }

 private:
  store::FileDisk disk_;
  store::Store store_;
  std::string loaded_;
  bool saving_ = false;
  SaveDone save_done_;
  net::CrossThreadWakeup wakeup_;
  std::unique_ptr<store::GroupCommitter> committer_;  // last: its thread ends before the members it uses
};

}  // namespace myrtlecroft::control
