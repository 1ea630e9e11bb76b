// The error of a listening address that can't be had. Thrown by the control service's servers at the start.
#pragma once

#include <stdexcept>
#include <string>

namespace myrtlecroft::control {

class ListenError final : public std::runtime_error {
 public:
  // `peers`: who was to connect there. `cause` may be empty where the library gives none.
  ListenError(const std::string& peers, const std::string& address, const std::string& cause = "")
      : std::runtime_error("can't listen for " + peers + " on " + address +
                           (cause.empty() ? "" : ": " + cause)),
        address_(address) {}
  const std::string& address() const { return address_; }

 private:
  std::string address_;
};

}  // namespace myrtlecroft::control
