// The error that a store throws if it can't be opened or written.
#pragma once

#include <stdexcept>
#include <string>

namespace myrtlecroft::store {

// Thrown by Store and by the functions that read its files. `file` is the name of the affected file, or
// empty. Callers report what() to operators.
struct StoreError : std::runtime_error {
  enum class Problem { kLockedByAnotherProcess, kNewerFormat, kDamagedHeader, kRecordTooLarge };

  StoreError(Problem which, std::string file_name, const std::string& message)
      : std::runtime_error(file_name.empty() ? message : file_name + ": " + message),
        problem(which),
        file(std::move(file_name)) {}

  Problem problem;
  std::string file;
};

}  // namespace myrtlecroft::store
