// Ports on loopback for processes that are started later, or again.
#pragma once

#include <random>
#include <string>
#include <vector>

namespace myrtlecroft::standin {

// Keeps each port bound without listening, so that nobody else can bind it while the process that needs it
// has not started or is down. That process can bind it, as long as it sets SO_REUSEADDR, as all programs of
// this project do.
class PortReservations {
 public:
  PortReservations();
  PortReservations(const PortReservations&) = delete;
  PortReservations& operator=(const PortReservations&) = delete;
  ~PortReservations();

  // Returns a port that was free. It stays reserved until this object is destroyed. The port is below the
  // kernel's ephemeral range: a process that is down must not lose its port to an outgoing connection.
  int reserve();

 private:
  std::mt19937 random_;
  std::vector<int> sockets_;
};

// Returns "127.0.0.1:PORT".
std::string loopback_address(int port);

}  // namespace myrtlecroft::standin
