// The error thrown at startup by a server of the control service that cannot listen on its address.
#pragma once

#include <stdexcept>
#include <string>

namespace myrtlecroft::control {

// what() names the expected clients, the address and the cause.
class ListenError final : public std::runtime_error {
 public:
  // `peers` says who would connect to the address. `cause` is empty if the library gives none.
  ListenError(const std::string& peers, const std::string& address, const std::string& cause = "")
      : std::runtime_error("can't listen for " + peers + " on " + address +
                           (cause.empty() ? "" : ": " + cause)),
        address_(address) {}
  const std::string& address() const { return address_; }

 private:
  std::string address_;
};

}  // namespace myrtlecroft::control
