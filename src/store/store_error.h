// Why a store can't be opened or written, for callers that report it to the operators.
#pragma once

#include <stdexcept>
#include <string>

namespace myrtlecroft::store {

// Thrown by Store, and by the readers of its files. `file` names the file concerned, or is empty.
struct StoreError : std::runtime_error {
  enum class Problem { kLockedByAnotherProcess, kNewerFormat, kDamagedHeader, kRecordTooLarge };

  StoreError(Problem problem_, std::string file_, const std::string& message)
      : std::runtime_error(file_.empty() ? message : file_ + ": " + message),
        problem(problem_),
        file(std::move(file_)) {}

  Problem problem;
  std::string file;
};

}  // namespace myrtlecroft::store
