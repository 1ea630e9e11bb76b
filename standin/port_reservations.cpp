#include "port_reservations.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

#include "net/address.h"

namespace myrtlecroft::standin {
namespace {

constexpr int kFirstPort = 12'000;
constexpr int kPortCount = 18'000;

bool bind_socket(int socket, int port) {
  sockaddr_in address = net::loopback(static_cast<std::uint16_t>(port));
  return ::bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
}

// Set after the bind: set before it, the bind would succeed on a port that somebody else has reserved.
void allow_listener(int socket) {
  int enabled = 1;
  setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
}

}  // namespace

PortReservations::PortReservations() : random_(static_cast<unsigned>(::getpid())) {}

PortReservations::~PortReservations() {
  for (int socket : sockets_) ::close(socket);
}

int PortReservations::reserve() {
  for (;;) {
    int port = kFirstPort + static_cast<int>(random_() % kPortCount);
    int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (bind_socket(socket, port)) {
      allow_listener(socket);
      sockets_.push_back(socket);
      return port;
    }
    ::close(socket);
  }
}

std::string loopback_address(int port) { return "127.0.0.1:" + std::to_string(port); }

}  // namespace myrtlecroft::standin
