#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>

namespace myrtlecroft::net {

// Whether both have the same IPv4 address and port.
inline bool same_address(const sockaddr_in& one, const sockaddr_in& other) {
  return one.sin_port == other.sin_port && one.sin_addr.s_addr == other.sin_addr.s_addr;
}

// 127.0.0.1 with the given port; binding to port 0 picks a free one.
inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(port);
  out.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return out;
}

}  // namespace myrtlecroft::net
