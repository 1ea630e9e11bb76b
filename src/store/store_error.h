// Why a store can't be opened or written, for callers that report it to the operators.
#pragma once

#include <stdexcept>
#include <string>

namespace myrtlecroft::store {

// Thrown by Store, and by the readers of its files. `file` names the file concerned, or is empty.
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
