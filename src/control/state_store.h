// The last good state of a control service that decides alone, as one record of a store beside the loop. What
// is about to be served is on the disk first.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "net/loop.h"
#include "store/file_disk.h"
#include "store/group_committer.h"

namespace myrtlecroft::control {

class StateStore {
 public:
  // `told` is called from the loop once what was given to keep() is on the disk, or is not. Throws
  // std::runtime_error where the folder can't be used.
  StateStore(const std::string& folder, net::Loop& loop, std::function<void(bool durable)> told);

  const std::string& found() const { return found_; }  // at the start; empty: nothing
  // One at a time.
  void keep(const std::string& bytes);
  bool busy() const { return busy_; }

 private:
  store::FileDisk disk_;
  store::Store store_;
  std::string found_;
  bool busy_ = false;
  std::function<void(bool)> told_;
  net::CrossThreadWakeup wake_;
  std::unique_ptr<store::GroupCommitter> committer_;  // last: its thread goes first
};

}  // namespace myrtlecroft::control
