#pragma once

#include <netinet/in.h>

namespace myrtlecroft::net {

inline bool same_address(const sockaddr_in& one, const sockaddr_in& other) {
  return one.sin_port == other.sin_port && one.sin_addr.s_addr == other.sin_addr.s_addr;
}

}  // namespace myrtlecroft::net
