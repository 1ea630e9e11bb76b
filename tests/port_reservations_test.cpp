// Tests of the ports that are reserved for processes of tests and measurements.
#include "../standin/port_reservations.h"

#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <set>

#include "net/address.h"

namespace myrtlecroft::standin {
namespace {

// Listens as the project's programs do. Returns the socket, or -1 if the port can't be bound.
int listen_at(int port) {
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int enabled = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  sockaddr_in address = net::loopback(static_cast<std::uint16_t>(port));
  if (::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
      ::listen(socket, 1) == 0) {
    return socket;
  }
  ::close(socket);
  return -1;
}

// Guards against two rigs that run at the same time and choose the same port. Both objects draw from the same
// seed.
TEST(PortReservationsTest, PortIsReservedOnceThoughNobodyListens) {
  constexpr int kPorts = 8;
  PortReservations first;
  PortReservations second;
  std::set<int> ports;
  for (int i = 0; i < kPorts; ++i) ports.insert(first.reserve());
  for (int i = 0; i < kPorts; ++i) ports.insert(second.reserve());
  EXPECT_EQ(ports.size(), 2u * kPorts);
}

TEST(PortReservationsTest, ProcessCanListenAgainAfterItWasDown) {
  PortReservations ports;
  int port = ports.reserve();
  for (int start = 0; start < 3; ++start) {
    int listener = listen_at(port);
    EXPECT_GE(listener, 0) << "start " << start;
    ::close(listener);
  }
}

}  // namespace
}  // namespace myrtlecroft::standin
